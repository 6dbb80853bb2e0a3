"""What the platform tells a process in its settings file: read, checked, and turned into what parts need."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NotRequired, TypedDict

from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked
from embersill.net.discovery import read_address

VARIABLE = "EMBERSILL_CONFIG"


class Listen(TypedDict):
    """Addresses to listen at, as host:port."""

    front_http: NotRequired[str]
    readiness: NotRequired[str]
    control_plane: NotRequired[str]


class Limits(TypedDict):
    """What the machine gives this process."""

    memory_mb: float
    file_descriptors: float
    cpu_fraction: NotRequired[float]
    disk_mb: NotRequired[float]


class Tolerance(TypedDict):
    """What may be lost at once."""

    machine_failures: int
    zones: NotRequired[int]
    regions: NotRequired[int]


class Local(TypedDict):
    """The settings file. Fields that are not named here are ignored."""

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
    """The settings that the environment names, or one line that says what is wrong with them."""
    path = environment.get(VARIABLE, "")
    if not path:
        return Error(f"{VARIABLE} names no settings file")
    try:
        loaded = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        return Error(f"{path}: {error}")
    return checked(loaded, Local, "settings").bind(sound)


def sound(local: Local) -> Result[Local, str]:
    """What no type can say: ports in order, addresses that are some."""
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
    """One of the deployment's bounds."""
    value = local["bounds"].get(name, default)
    return float(value) if isinstance(value, int | float) else default
