"""The operator's own file: what the platform has no word for. TOML, typed, and nothing in it is guessed.

It is read only where it is named (`--operator FILE` or EMBERSILL_OPERATOR); without it a process is the
platform's one-level gateway. `deploy/operator.example.toml` shows every key.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from embersill.configuration.platform import BadConfiguration
from embersill.council.settings import Council, CouncilTable, check_council
from embersill.counting.terms import Terms as CountingTerms
from embersill.counting.terms import check_terms as check_counting_terms
from embersill.net.discovery import read_address
from embersill.ratelimit.settings import RateLimitTable, check_ratelimit
from embersill.tiers.terms import Terms, check_terms

LEAST_SECRET = 16  # bytes
MOST_MEMBERS = 256
MOST_COUNTERS = 16
REPORT_BYTES = 400  # of one customer in a forwarder's report, at most: 16 spends of 18 bytes, and its names


class TiersTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[tiers]: who belongs to the deployment, and its bounds."""

    planners: dict[str, str]  # name: address
    forwarders: list[str]
    secret_file: str
    parts: int = 64
    most_frame_bytes: int = 1 << 20
    most_unsent_bytes: int = 64 << 20
    most_customers: int = 100_000
    most_open: int = 50_000
    status_every: float = 0.0  # seconds between lines on the state, on standard output; nought: none
    helpers: int = 0  # further planners at most over which a forwarder reaches each one
    tell_refusals: bool = False  # a forwarder writes a line on each refusal, for whoever looks for causes
    terms: Terms = Terms()


class CountingTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[counting]: the shared counters, and how far they are believed."""

    counters: list[str] = []  # addresses; none: the platform's one. The same at all gateways, in any order
    terms: CountingTerms = CountingTerms()


class OperatorTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    role: Literal["gateway", "forwarder", "planner"] = "gateway"
    tiers: TiersTable | None = None
    ratelimit: RateLimitTable | None = None
    counting: CountingTable | None = None
    council: CouncilTable | None = None


class Tiers(msgspec.Struct, frozen=True):
    """The tiers table, checked: what both roles are built from."""

    planners: dict[str, tuple[str, int]]
    forwarders: tuple[str, ...]
    secret: bytes
    parts: int
    most_frame: int
    most_unsent: int
    most_customers: int
    most_open: int
    status_every: float
    helpers: int
    tell_refusals: bool
    terms: Terms


class Operator(msgspec.Struct, frozen=True):
    role: Literal["gateway", "forwarder", "planner"]
    tiers: Tiers | None
    ratelimit: RateLimitTable | None
    counting: CountingTable | None = None
    council: Council | None = None


def read_operator(path: str) -> Operator:
    """The file, checked whole; BadConfiguration names the file, the key and the reason."""
    try:
        table = msgspec.convert(tomllib.loads(Path(path).read_text(encoding="utf-8")), OperatorTable)
        tiers = None if table.tiers is None else check_tiers(table.tiers, Path(path).parent)
        if table.ratelimit is not None:
            check_ratelimit(table.ratelimit)
            check_role(table.role, table.ratelimit)
        if table.counting is not None:
            check_counting(table.role, table.counting)
        if table.role != "gateway" and tiers is None:
            raise ValueError(f"role {table.role} needs the table tiers")
        council = None
        if table.council is not None:
            planners = {} if tiers is None else tiers.planners
            council = check_council(table.role, table.council, planners, Path(path).parent)
    except OSError as error:
        raise BadConfiguration(f"{error.filename or path}: {error.strerror}") from error
    except (msgspec.ValidationError, ValueError) as error:  # a TOML error is a ValueError too
        raise BadConfiguration(f"{path}: {' '.join(str(error).split())}") from error
    return Operator(table.role, tiers, table.ratelimit, table.counting, council)


def check_counting(role: str, table: CountingTable) -> None:
    if role != "gateway":
        raise ValueError(f"counting: a {role} has no counter; it belongs to gateways")
    if len(table.counters) > MOST_COUNTERS:
        raise ValueError(f"counting.counters: more than {MOST_COUNTERS}")
    for number, address in enumerate(table.counters):
        try:
            read_address(address)
        except ValueError as error:
            raise ValueError(f"counting.counters[{number}]: {error}") from error
    if len(set(table.counters)) != len(table.counters):
        raise ValueError("counting.counters: an address stands twice")
    try:
        check_counting_terms(table.terms)
    except ValueError as error:
        raise ValueError(f"counting.terms.{error}") from error


def check_role(role: str, table: RateLimitTable) -> None:
    if role == "forwarder":
        raise ValueError("ratelimit: a forwarder decides nothing; it belongs to gateways and planners")
    if role == "planner" and table.answer is not None:
        for number, rule in enumerate(table.answer.rules):
            if rule.override == "apply":  # its throttles are no customer's, so no part's either
                raise ValueError(f"ratelimit.answer.rules[{number}].override: not at a planner")
            if rule.spread not in (0, 1):
                raise ValueError(f"ratelimit.answer.rules[{number}].spread: not at a planner")


def check_tiers(table: TiersTable, folder: Path) -> Tiers:
    members = len(table.planners), len(table.forwarders)
    if not (0 < members[0] <= MOST_MEMBERS and 0 < members[1] <= MOST_MEMBERS):
        raise ValueError(f"tiers: planners and forwarders must be 1 to {MOST_MEMBERS}")
    if len(set(table.forwarders)) != members[1]:
        raise ValueError("tiers.forwarders: a name stands twice")
    for name in (*table.planners, *table.forwarders):
        if not 0 < len(name) <= 64 or not name.isprintable():
            raise ValueError(f"tiers: {name!r} is no name: 1 to 64 printable characters")
    planners = {}
    for name, address in table.planners.items():
        try:
            planners[name] = read_address(address)
        except ValueError as error:
            raise ValueError(f"tiers.planners.{name}: {error}") from error
    if len(set(planners.values())) != len(planners):
        raise ValueError("tiers.planners: an address stands twice")
    bounds = {
        "parts": (table.parts, 1, 4096),
        "most_frame_bytes": (table.most_frame_bytes, 1 << 18, 1 << 26),
        "most_unsent_bytes": (table.most_unsent_bytes, 1 << 18, 1 << 30),
        "most_customers": (table.most_customers, 1, 10_000_000),
        "most_open": (table.most_open, 1, 10_000_000),
        "helpers": (table.helpers, 0, 8),
    }
    for key, (value, least, most) in bounds.items():
        if not least <= value <= most:
            raise ValueError(f"tiers.{key}: {value} is not from {least} to {most}")
    if table.most_unsent_bytes < REPORT_BYTES * table.most_customers:
        raise ValueError(
            f"tiers.most_unsent_bytes: a report on most_customers takes up to {REPORT_BYTES} bytes each"
        )
    if not 0 <= table.status_every <= 3600:
        raise ValueError("tiers.status_every: must be from 0 to 3600 s")
    try:
        check_terms(table.terms)
    except ValueError as error:
        raise ValueError(f"tiers.terms: {error}") from error
    secret = (folder / table.secret_file).read_bytes().strip()
    if len(secret) < LEAST_SECRET:
        raise ValueError(f"tiers.secret_file: {table.secret_file} has fewer than {LEAST_SECRET} bytes")
    return Tiers(
        planners,
        tuple(table.forwarders),
        secret,
        table.parts,
        table.most_frame_bytes,
        table.most_unsent_bytes,
        table.most_customers,
        table.most_open,
        table.status_every,
        table.helpers,
        table.tell_refusals,
        table.terms,
    )
