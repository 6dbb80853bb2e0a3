"""The operator's own file: settings that the platform's configuration lacks, as strictly validated TOML.

It is read only if it is named (`--operator FILE` or EMBERSILL_OPERATOR); without it a process is the
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

MIN_SECRET_BYTES = 16
MAX_MEMBERS = 256
MAX_COUNTERS = 16
REPORT_BYTES = 400  # at most, per customer in a forwarder's report: 16 spends of 18 bytes, and the names


class TiersTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[tiers]: the members of the deployment, and its limits."""

    planners: dict[str, str]  # name: address
    forwarders: list[str]
    secret_file: str
    parts: int = 64
    most_frame_bytes: int = 1 << 20
    most_unsent_bytes: int = 64 << 20
    most_customers: int = 100_000
    most_open: int = 50_000
    status_every: float = 0.0  # seconds between status lines on standard output; 0: none
    helpers: int = 0  # at most so many other planners relay a forwarder's messages to each planner
    tell_refusals: bool = False  # a forwarder writes a line for each refusal, for diagnosis
    terms: Terms = Terms()


class CountingTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """[counting]: the shared counters, and how far they are trusted."""

    counters: list[str] = []  # addresses, the same at all gateways in any order; none: the platform's counter
    terms: CountingTerms = CountingTerms()


class OperatorTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file, as it is written."""

    role: Literal["gateway", "forwarder", "planner"] = "gateway"
    tiers: TiersTable | None = None
    ratelimit: RateLimitTable | None = None
    counting: CountingTable | None = None
    council: CouncilTable | None = None


class Tiers(msgspec.Struct, frozen=True):
    """The validated tiers table, from which both roles are built."""

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
    """The whole file, validated."""

    role: Literal["gateway", "forwarder", "planner"]
    tiers: Tiers | None
    ratelimit: RateLimitTable | None
    counting: CountingTable | None = None
    council: Council | None = None


def read_operator(path: str) -> Operator:
    """Reads and validates the file; BadConfiguration names the file, the key and the reason."""
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
    except (msgspec.ValidationError, ValueError) as error:  # TOML errors are ValueErrors
        raise BadConfiguration(f"{path}: {' '.join(str(error).split())}") from error
    return Operator(table.role, tiers, table.ratelimit, table.counting, council)


def check_counting(role: str, table: CountingTable) -> None:
    """Raises ValueError for an invalid counting table."""
    if role != "gateway":
        raise ValueError(f"counting: a {role} has no counter; it belongs to gateways")
    if len(table.counters) > MAX_COUNTERS:
        raise ValueError(f"counting.counters: more than {MAX_COUNTERS}")
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
    """Raises ValueError for rate limit settings that a role does not support."""
    if role == "forwarder":
        raise ValueError("ratelimit: a forwarder decides nothing; it belongs to gateways and planners")
    if role == "planner" and table.answer is not None:
        for number, rule in enumerate(table.answer.rules):
            if rule.override == "apply":  # its throttles belong to no customer and so to no partition
                raise ValueError(f"ratelimit.answer.rules[{number}].override: not at a planner")
            if rule.spread not in (0, 1):
                raise ValueError(f"ratelimit.answer.rules[{number}].spread: not at a planner")


def check_tiers(table: TiersTable, folder: Path) -> Tiers:
    """Validates the tiers table and reads its secret file; paths are relative to `folder`."""
    members = len(table.planners), len(table.forwarders)
    if not (0 < members[0] <= MAX_MEMBERS and 0 < members[1] <= MAX_MEMBERS):
        raise ValueError(f"tiers: planners and forwarders must be 1 to {MAX_MEMBERS}")
    if len(set(table.forwarders)) != members[1]:
        raise ValueError("tiers.forwarders: a name stands twice")
    for name in (*table.planners, *table.forwarders):
        if not 0 < len(name) <= 64 or not name.isprintable():
            raise ValueError(f"tiers: {name!r} is not a valid name: 1 to 64 printable characters")
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
    for key, (value, low, high) in bounds.items():
        if not low <= value <= high:
            raise ValueError(f"tiers.{key}: {value} is not from {low} to {high}")
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
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f"tiers.secret_file: {table.secret_file} has fewer than {MIN_SECRET_BYTES} bytes")
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
