"""The platform's configuration of a gateway: RELAY_CONFIG's file, and variables that override it."""

from __future__ import annotations

import json
import resource
from dataclasses import dataclass
from typing import Any

from embersill.interface import ListKind, Settings
from embersill.net.discovery import BadList, Listing, read_address, read_listing
from embersill.settings import Limits, read_limits, read_settings

MIN_SOCKETS = 32  # with fewer, none are left for serving


class BadConfiguration(Exception):
    """The gateway can't start with its configuration."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """A gateway's configuration, validated."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    discovery_in_file: tuple[str, int] | None  # the address in the file, whatever the environment says
    counter: tuple[str, int] | None
    operator: tuple[str, int] | None  # where operators' calls are accepted; None: nowhere
    seed: int
    sockets: int
    memory: int  # bytes that all processes of the gateway may use together
    known: Listing
    settings: Settings
    limits: Limits


def read_configuration(environ: dict[str, str]) -> Configuration:
    """Reads RELAY_CONFIG's file; the other variables override parts of it."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise BadConfiguration("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            content = json.load(file)
        return build_configuration(content, environ)
    except OSError as error:
        raise BadConfiguration(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise BadConfiguration(f"{path}: {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, BadList) as error:
        raise BadConfiguration(f"{path}: {' '.join(str(error).split())}") from error


def build_configuration(content: dict[str, Any], environ: dict[str, str]) -> Configuration:
    """Validates the file's content, with the overrides; raises ValueError, KeyError or the like."""
    settings = read_settings(content["settings"])
    counter = read_address(content["counter"]) if settings.counter else None
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = min(int(content["limits"]["sockets"]), soft)
    if sockets < MIN_SOCKETS:
        raise ValueError(f"limits: sockets is below {MIN_SOCKETS}")
    operator = environ.get("RELAY_OPERATOR") or content.get("operator")
    return Configuration(
        name=str(environ.get("RELAY_NAME") or content["name"]),
        listen=read_address(environ.get("RELAY_LISTEN") or content["listen"]),
        discovery=read_address(environ.get("RELAY_DISCOVERY") or content["discovery"]),
        discovery_in_file=read_address(content["discovery"]) if "discovery" in content else None,
        counter=counter,
        operator=read_address(operator) if operator else None,
        seed=int(content["seed"], 16),
        sockets=sockets,
        memory=int(content["limits"]["memory_mb"] * 1_000_000),
        known=read_listing(content["known"], ListKind.REMEMBERED),
        settings=settings,
        limits=read_limits(content["settings"]),
    )
