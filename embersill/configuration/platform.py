"""What the platform tells a gateway: RELAY_CONFIG's file and the variables that go before it."""

from __future__ import annotations

import json
import resource
from dataclasses import dataclass
from typing import Any

from embersill.interface import ListKind, Settings
from embersill.net.discovery import BadList, Listing, read_address, read_listing
from embersill.settings import Limits, read_limits, read_settings

LEAST_SOCKETS = 32  # with fewer there is nothing left to serve with


class BadConfiguration(Exception):
    """The gateway can't start with what it was told."""


@dataclass(frozen=True, slots=True)
class Configuration:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    discovery_filed: tuple[str, int] | None  # the same by the file, whatever the environment said
    counter: tuple[str, int] | None
    operator: tuple[str, int] | None  # where staff's calls are taken; None: nowhere
    seed: int
    sockets: int
    memory: int  # bytes that all processes of the gateway may use together
    known: Listing
    settings: Settings
    limits: Limits


def read_configuration(environ: dict[str, str]) -> Configuration:
    """RELAY_CONFIG's file; the other variables hold parts of it and go before it where they are set."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise BadConfiguration("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
        return build_configuration(told, environ)
    except OSError as error:
        raise BadConfiguration(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise BadConfiguration(f"{path}: {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, BadList) as error:
        raise BadConfiguration(f"{path}: {' '.join(str(error).split())}") from error


def build_configuration(told: dict[str, Any], environ: dict[str, str]) -> Configuration:
    settings = read_settings(told["settings"])
    counter = read_address(told["counter"]) if settings.counter else None
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = min(int(told["limits"]["sockets"]), soft)
    if sockets < LEAST_SOCKETS:
        raise ValueError(f"limits: sockets is below {LEAST_SOCKETS}")
    operator = environ.get("RELAY_OPERATOR") or told.get("operator")
    return Configuration(
        name=str(environ.get("RELAY_NAME") or told["name"]),
        listen=read_address(environ.get("RELAY_LISTEN") or told["listen"]),
        discovery=read_address(environ.get("RELAY_DISCOVERY") or told["discovery"]),
        discovery_filed=read_address(told["discovery"]) if "discovery" in told else None,
        counter=counter,
        operator=read_address(operator) if operator else None,
        seed=int(told["seed"], 16),
        sockets=sockets,
        memory=int(told["limits"]["memory_mb"] * 1_000_000),
        known=read_listing(told["known"], ListKind.REMEMBERED),
        settings=settings,
        limits=read_limits(told["settings"]),
    )
