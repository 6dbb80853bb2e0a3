"""Scenario files: the shape of a deployment and the faults of its processes and links. No I/O.

A scenario is TOML, and every key is checked. Faults have times, or are drawn from a mix by the scenario's
seed; both become one list of timed faults before anything is started, and a failing run is saved as that
list.

Patterns name a process by its name (`p0`, `f*`), its role (`@planner`, `@forwarder`, `@gateway`) or its zone
(`zone:a`). A link (key `ways`) is `from>to` of such patterns, where `to` may also be a backend (`b1`,
`@backend`), `discovery`, `counter` or `billing`.
"""

from __future__ import annotations

import random
import tomllib
from collections.abc import Iterable, Mapping
from fnmatch import fnmatchcase
from typing import Literal

import msgspec

from embersill.rig.relay import Direction, LinkFault, LinkFaultKind

ProcessFaultKind = Literal["kill", "stop", "starve", "restart", "clone"]
PROCESS_FAULT_KINDS: tuple[str, ...] = ("kill", "stop", "starve", "restart", "clone")
LINK_FAULT_KINDS = tuple(kind.value for kind in LinkFaultKind)
MAX_FAULTS = 10_000
MAX_PROCESSES = 64
MAX_DURATION_S = 3600.0  # of traffic


class InvalidScenario(Exception):
    """A scenario is not valid; the message names the key and the reason."""


class FaultTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One fault, from `at` on for `seconds`.

    On links: refuse, cut, swallow, half, delay (`late`, `jitter` in seconds), narrow (`rate` in bytes a
    second), dribble (`size` bytes each `late` seconds). On processes: kill (back after `seconds`), stop
    (SIGSTOP), starve (`share` of each 100 ms it runs), restart (SIGTERM first; `disk`: keep, empty or old),
    clone (a second process of that name, with a copy of its disk).
    """

    what: str
    at: float = 0.0
    seconds: float = 0.0
    who: list[str] = []
    ways: list[str] = []
    direction: Literal["up", "down", "both"] = "both"
    late: float = 0.0
    jitter: float = 0.0
    rate: float = 0.0
    size: int = 1
    share: float = 0.2
    disk: Literal["keep", "empty", "old", "torn"] = "keep"

    def link_fault(self) -> LinkFault:
        """The fault as relays take it."""
        kind, direction = LinkFaultKind(self.what), Direction(self.direction)
        return LinkFault(kind, direction, self.late, self.jitter, self.rate, self.size)

    def describe(self) -> str:
        """The fault in one line, for display."""
        targets = ", ".join([*self.who, *self.ways])
        suffix = f" {self.direction}" if self.ways and self.direction != "both" else ""
        return f"{self.what}{suffix} {targets} for {self.seconds:.2f} s"


class DrawnTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults drawn from a mix: a new one every `every` (least, most) seconds, each for `seconds`.

    A fault affects a share `part` of the links named, at least one, drawn anew for each fault.
    """

    what: list[str]
    every: tuple[float, float]
    seconds: tuple[float, float]
    who: list[str] = []
    ways: list[str] = []
    part: float = 1.0
    begin: float = 0.5
    end: float | None = None  # none: until the traffic ends
    direction: Literal["up", "down", "both", "any"] = "both"
    late: float = 0.0
    jitter: float = 0.0
    rate: float = 20_000.0
    size: int = 16
    share: float = 0.2


class ShapeTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Processes and links of the deployment."""

    forwarders: int = 3
    planners: int = 2
    gateways: int = 0  # if set, one level of so many gateways instead
    backends: int = 4
    customers: int = 24
    council: bool = False  # planners share a replicated register and hold offices
    zones: dict[str, list[str]] = {}  # names or patterns by zone
    relayed: tuple[str, ...] = ("@forwarder>@planner", "@planner>@planner")  # links that go over relays


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A scenario file: its traffic, deployment and faults."""

    name: str = ""
    seed: int = 1
    seconds: float = 8.0
    rate: float = 100.0
    drain_every: float = 0.0
    shape: ShapeTable = ShapeTable()
    faults: list[FaultTable] = []
    drawn: list[DrawnTable] = []


def read_scenario(text: str) -> Scenario:
    """Parses and validates a scenario; raises InvalidScenario."""
    try:
        scenario = msgspec.convert(tomllib.loads(text), Scenario)
    except (msgspec.ValidationError, tomllib.TOMLDecodeError) as error:
        raise InvalidScenario(" ".join(str(error).split())) from error
    validate(scenario)
    return scenario


def validate(scenario: Scenario) -> None:
    """Raises InvalidScenario if a value is out of range or the shape contradicts itself."""
    shape = scenario.shape
    if not 0 < scenario.seconds <= MAX_DURATION_S or not 0 < scenario.rate <= 100_000:
        raise InvalidScenario(
            f"seconds must be above 0 and at most {MAX_DURATION_S:.0f}, rate above 0 and at most 100000"
        )
    fronts = shape.gateways or shape.forwarders
    if fronts < 1 or fronts + shape.planners > MAX_PROCESSES or min(shape.planners, shape.gateways) < 0:
        raise InvalidScenario(
            f"shape: needs at least one front process and at most {MAX_PROCESSES} processes in all"
        )
    if shape.backends < 1 or shape.customers < 1:
        raise InvalidScenario("shape: backends and customers must be at least 1")
    if not shape.gateways and not shape.planners:
        raise InvalidScenario("shape: forwarders need a planner; set gateways for a deployment of one level")
    if shape.council and (shape.gateways or not shape.planners):
        raise InvalidScenario("shape.council: a council needs planners, and gateways have none")
    for number, fault in enumerate(scenario.faults):
        validate_fault(f"faults[{number}]", fault)
    for number, drawn in enumerate(scenario.drawn):
        key = f"drawn[{number}]"
        if not drawn.what:
            raise InvalidScenario(f"{key}.what: must name at least one kind of fault")
        for least, most in (drawn.every, drawn.seconds):
            if not 0 < least <= most:
                raise InvalidScenario(f"{key}: every and seconds must be [least, most], above 0")
        if not 0 < drawn.part <= 1:
            raise InvalidScenario(f"{key}.part: must be above 0 and at most 1")
        for what in drawn.what:
            validate_fault(
                key,
                FaultTable(
                    what,
                    who=drawn.who,
                    ways=drawn.ways,
                    seconds=drawn.seconds[0],
                    late=drawn.late,
                    rate=drawn.rate,
                    size=drawn.size,
                    share=drawn.share,
                    jitter=drawn.jitter,
                ),
                drawn_fault=True,
            )


def validate_fault(key: str, fault: FaultTable, drawn_fault: bool = False) -> None:
    """Raises InvalidScenario if a fault's targets or parameters don't fit its kind.

    A drawn fault may name both processes and links, as its kind is drawn.
    """
    if fault.what not in PROCESS_FAULT_KINDS and fault.what not in LINK_FAULT_KINDS:
        known = ", ".join((*PROCESS_FAULT_KINDS, *LINK_FAULT_KINDS))
        raise InvalidScenario(f"{key}.what: {fault.what!r} is not one of {known}")
    on_links = fault.what in LINK_FAULT_KINDS
    if not (fault.ways if on_links else fault.who):
        raise InvalidScenario(f"{key}: {fault.what} needs {'ways' if on_links else 'who'}")
    if not drawn_fault and (fault.who if on_links else fault.ways):
        raise InvalidScenario(f"{key}: {fault.what} does not apply to {'processes' if on_links else 'ways'}")
    for way in fault.ways:
        if way.count(">") != 1 or not all(way.split(">")):
            raise InvalidScenario(f"{key}.ways: {way!r} must have the form from>to")
    if min(fault.at, fault.seconds, fault.late, fault.jitter) < 0 or not 0 < fault.share < 1:
        raise InvalidScenario(f"{key}: times must not be negative, and share must be between 0 and 1")
    if fault.what == "narrow" and not fault.rate > 0:
        raise InvalidScenario(f"{key}.rate: must be above 0")
    if fault.what == "dribble" and fault.size < 1:
        raise InvalidScenario(f"{key}.size: must be at least 1 byte")


class Topology:
    """Processes by role and zone, and what patterns resolve to."""

    def __init__(self, roles: Mapping[str, str], zones: Mapping[str, Iterable[str]]) -> None:
        """`roles`: by name; a stand-in that is no process has its kind as its role."""
        self.roles = dict(roles)
        self.zones = {
            zone: sorted({name for pattern in patterns for name in self.roles if fnmatchcase(name, pattern)})
            for zone, patterns in zones.items()
        }

    def zone_of(self, name: str) -> str:
        """Zone of a process, empty if it has none."""
        return next((zone for zone, names in self.zones.items() if name in names), "")

    def resolve(self, pattern: str) -> list[str]:
        """Names that match a pattern, in order; raises InvalidScenario if none does."""
        if pattern.startswith("@"):
            found = [name for name, role in self.roles.items() if role == pattern[1:]]
        elif pattern.startswith("zone:"):
            found = self.zones.get(pattern[5:], [])
        else:
            found = [name for name in self.roles if fnmatchcase(name, pattern)]
        if not found:
            raise InvalidScenario(f"{pattern!r} matches no process")
        return found

    def links(self, patterns: Iterable[str]) -> list[str]:
        """All links `from>to` that match the patterns, none from a process to itself."""
        found: dict[str, None] = {}
        for pattern in patterns:
            begin, _, end = pattern.partition(">")
            for sender in self.resolve(begin):
                for receiver in self.resolve(end):
                    if sender != receiver:
                        found[f"{sender}>{receiver}"] = None
        return list(found)


def plan_faults(scenario: Scenario, names: Topology, relayed: Iterable[str]) -> list[FaultTable]:
    """All faults of a scenario in order of time, with names in place of patterns.

    Links without a relay are left out; raises InvalidScenario if a fault has none left.
    """
    relayed_links = set(relayed)
    planned = [resolve_fault(fault, names, relayed_links) for fault in scenario.faults]
    for number, drawn in enumerate(scenario.drawn):
        rng = random.Random(f"{scenario.seed} drawn {number}")
        until = scenario.seconds if drawn.end is None else drawn.end
        at = drawn.begin + rng.uniform(*drawn.every)
        while at < until:
            if len(planned) >= MAX_FAULTS:
                raise InvalidScenario(f"more than {MAX_FAULTS} faults")
            planned.append(resolve_fault(draw_fault(drawn, rng, at), names, relayed_links, rng, drawn.part))
            at += rng.uniform(*drawn.every)
    return sorted(planned, key=lambda fault: fault.at)


def draw_fault(drawn: DrawnTable, rng: random.Random, at: float) -> FaultTable:
    """One fault drawn from a mix."""
    what = rng.choice(drawn.what)
    on_links = what in LINK_FAULT_KINDS
    direction = rng.choice(("up", "down", "both")) if drawn.direction == "any" else drawn.direction
    return FaultTable(
        what,
        round(at, 3),
        round(rng.uniform(*drawn.seconds), 3),
        [] if on_links else drawn.who,
        drawn.ways if on_links else [],
        direction,
        drawn.late,
        drawn.jitter,
        drawn.rate,
        drawn.size,
        drawn.share,
    )


def resolve_fault(
    fault: FaultTable,
    names: Topology,
    relayed_links: set[str],
    rng: random.Random | None = None,
    part: float = 1.0,
) -> FaultTable:
    """A fault with names in place of patterns; with `rng`, one process or a share `part` of the links."""
    ways = [way for way in names.links(fault.ways) if way in relayed_links]
    if fault.ways and not ways:
        raise InvalidScenario(f"none of {', '.join(fault.ways)} goes over a relay; add it to shape.relayed")
    who = list(dict.fromkeys(name for pattern in fault.who for name in names.resolve(pattern)))
    if rng is not None:
        ways = sorted(rng.sample(ways, max(1, round(part * len(ways))))) if ways else []
        who = [rng.choice(who)] if who else []
    return msgspec.structs.replace(fault, ways=ways, who=who)
