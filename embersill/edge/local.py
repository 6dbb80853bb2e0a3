"""The settings file that the platform gives to a gateway process: reading and validation."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NotRequired, TypedDict

from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked
from embersill.net.discovery import read_address

CONFIG_VARIABLE = "EMBERSILL_CONFIG"


class Listen(TypedDict):
    """Listen addresses, as host:port."""

    front_http: NotRequired[str]
    readiness: NotRequired[str]
    control_plane: NotRequired[str]


class Limits(TypedDict):
    """The resource limits of this process."""

    memory_mb: float
    file_descriptors: float
    cpu_fraction: NotRequired[float]
    disk_mb: NotRequired[float]


class Tolerance(TypedDict):
    """The simultaneous failures that the system has to tolerate."""

    machine_failures: int
    zones: NotRequired[int]
    regions: NotRequired[int]


class Local(TypedDict):
    """The settings file. Unknown fields are ignored."""

    node_name: str
    ip_address: str
    zone: str
    listen_addresses: Listen
    internal_port_range: list[int]
    seed_nodes: list[str]
    first_start: bool
    counts_toward_quorum: bool
    limits: Limits
    bounds: dict[str, Any]
    data_directory: NotRequired[str | None]
    heartbeat_interval_s: NotRequired[float]
    fault_tolerance: NotRequired[Tolerance]
    zones: NotRequired[dict[str, str]]


def read_local(environment: Mapping[str, str]) -> Result[Local, str]:
    """The settings from the file that the environment names, or a one-line error."""
    path = environment.get(CONFIG_VARIABLE, "")
    if not path:
        return Error(f"{CONFIG_VARIABLE} names no settings file")
    try:
        loaded = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        return Error(f"{path}: {error}")
    return checked(loaded, Local, "settings").bind(validated)


def validated(local: Local) -> Result[Local, str]:
    """Checks what the types do not: the port range and the addresses."""
    ports = local["internal_port_range"]
    if len(ports) != 2 or not 0 < ports[0] <= ports[1] < 65536:
        return Error("settings.internal_port_range: not a first and a last port")
    try:
        for text in (*local["listen_addresses"].values(), *local["seed_nodes"]):
            read_address(str(text))
    except ValueError as error:
        return Error(f"settings: {error}")
    return Ok(local)


def bound(local: Local, name: str, default: float) -> float:
    """One of the deployment's numeric bounds; the default if it is missing or not a number."""
    value = local["bounds"].get(name, default)
    return float(value) if isinstance(value, int | float) else default
