"""The [council] table of the operator file, and its checks."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from urllib.parse import urlsplit

import msgspec

from embersill.council.probes import ProbeSettings
from embersill.council.terms import MAX_MEMBERS, CouncilTerms, check_council_terms
from embersill.net.discovery import read_address

OFFICES = ("export", "probes")


class ExportTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[council.export]: where usage is booked, and the wall-clock period by which it is aggregated."""

    billing: str  # http://host:port
    period: float = 3600.0  # seconds


class CouncilTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[council]."""

    state: str  # a folder of this planner alone, on a persistent disk; relative to the file
    members: dict[str, str]  # every planner's name, and the address on which it listens for the others
    terms: CouncilTerms = CouncilTerms()
    export: ExportTable | None = None
    probes: ProbeSettings | None = None
    prefer: dict[str, list[str]] = {}  # by office, the members that take it before others


class Council(msgspec.Struct, frozen=True):
    """The checked [council] table."""

    state: Path
    members: dict[str, tuple[str, int]]
    terms: CouncilTerms
    export: ExportTable | None
    probes: ProbeSettings | None
    prefer: dict[str, list[str]]


def check_council(role: str, table: CouncilTable, planners: Mapping[str, object], folder: Path) -> Council:
    """Checks the [council] table; ValueError names the key and the reason."""
    if role != "planner":
        raise ValueError(f"council: a {role} cannot be a member; only planners can")
    if not 0 < len(table.members) <= MAX_MEMBERS:
        raise ValueError(f"council.members: must be from 1 to {MAX_MEMBERS}")
    if set(table.members) != set(planners):
        raise ValueError("council.members: must be the planners of tiers.planners, all of them")
    members: dict[str, tuple[str, int]] = {}
    for name, address in table.members.items():
        try:
            members[name] = read_address(address)
        except ValueError as error:
            raise ValueError(f"council.members.{name}: {error}") from error
    if len(set(members.values())) != len(members):
        raise ValueError("council.members: duplicate address")
    try:
        check_council_terms(table.terms)
    except ValueError as error:
        raise ValueError(f"council.terms: {error}") from error
    if table.export is not None:
        check_export(table.export)
    if table.probes is not None and not 0 < table.probes.per_second <= 1000:
        raise ValueError("council.probes.per_second: must be greater than 0 and at most 1000")
    if table.probes is not None and table.probes.path and not table.probes.path.startswith("/"):
        raise ValueError("council.probes.path: must begin with a slash or be empty")
    for office, names in table.prefer.items():
        if office not in OFFICES:
            raise ValueError(f"council.prefer: no office {office!r}; known offices: {', '.join(OFFICES)}")
        unknown = [name for name in names if name not in members]
        if unknown or len(set(names)) != len(names):
            raise ValueError(f"council.prefer.{office}: must list members, each at most once")
    if not table.state:
        raise ValueError("council.state: must name a folder")
    return Council(folder / table.state, members, table.terms, table.export, table.probes, table.prefer)


def check_export(table: ExportTable) -> None:
    """Checks the [council.export] table; ValueError names the key and the reason."""
    parts = urlsplit(table.billing)
    try:
        good = parts.scheme == "http" and bool(parts.hostname) and parts.port is not None and not parts.query
    except ValueError:
        good = False
    if not good:
        raise ValueError(f"council.export.billing: {table.billing!r} is not http://host:port")
    if not 1.0 <= table.period <= 86400 * 31:
        raise ValueError("council.export.period: must be from 1 s to 31 days")
