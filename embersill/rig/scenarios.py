"""Scenarios: what a deployment is, and what becomes of its processes and ways, as a typed file. No I/O.

TOML with every key checked. Faults have times, or are drawn from a mix by the scenario's seed; both end up as
one list of faults with their times before anything is started, and a failing play is kept as that list.

Who and what: a process by its name (`p0`, `f*`), by its role (`@planner`, `@forwarder`, `@gateway`) or its
zone (`zone:a`); a way as `from>to` of such words, where `to` may also be a backend (`b1`, `@backend`),
`discovery`, `counter` or `billing`.
"""

from __future__ import annotations

import random
import tomllib
from collections.abc import Iterable, Mapping
from fnmatch import fnmatchcase
from typing import Literal

import msgspec

from embersill.rig.relay import Direction, LinkFault, LinkFaultKind

ProcessVerb = Literal["kill", "stop", "starve", "restart", "clone"]
PROCESS_VERBS: tuple[str, ...] = ("kill", "stop", "starve", "restart", "clone")
WAY_VERBS = tuple(verb.value for verb in LinkFaultKind)
MOST_FAULTS = 10_000
MOST_PROCESSES = 64
LONGEST = 3600.0  # seconds of traffic


class BadScenario(Exception):
    """A file that is no scenario: which key, and why."""


class FaultTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One fault: from `at` on, for `seconds`.

    On ways: refuse, cut, swallow, half, delay (`late`, `jitter` in seconds), narrow (`rate` in bytes a
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

    def trouble(self) -> LinkFault:
        verb, direction = LinkFaultKind(self.what), Direction(self.direction)
        return LinkFault(verb, direction, self.late, self.jitter, self.rate, self.size)

    def told(self) -> str:
        """In one line, for people."""
        on = ", ".join([*self.who, *self.ways])
        more = f" {self.direction}" if self.ways and self.direction != "both" else ""
        return f"{self.what}{more} {on} for {self.seconds:.2f} s"


class DrawnTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults drawn from a mix: a new one every `every` (least, most) seconds, each for `seconds`.

    `part` of the ways named are hit at a time, drawn anew for each fault, one at the least.
    """

    what: list[str]
    every: tuple[float, float]
    seconds: tuple[float, float]
    who: list[str] = []
    ways: list[str] = []
    part: float = 1.0
    begin: float = 0.5
    end: float | None = None  # none: as long as traffic goes on
    direction: Literal["up", "down", "both", "any"] = "both"
    late: float = 0.0
    jitter: float = 0.0
    rate: float = 20_000.0
    size: int = 16
    share: float = 0.2


class ShapeTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    forwarders: int = 3
    planners: int = 2
    gateways: int = 0  # one level of so many instead
    backends: int = 4
    customers: int = 24
    council: bool = False  # the planners keep a register in common and hold offices
    zones: dict[str, list[str]] = {}  # zone: names or patterns
    relayed: tuple[str, ...] = ("@forwarder>@planner", "@planner>@planner")  # ways that go over relays


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    name: str = ""
    seed: int = 1
    seconds: float = 8.0
    rate: float = 100.0
    drain_every: float = 0.0
    shape: ShapeTable = ShapeTable()
    faults: list[FaultTable] = []
    drawn: list[DrawnTable] = []


def read_scenario(text: str) -> Scenario:
    """A checked scenario; BadScenario names the key and the reason."""
    try:
        scenario = msgspec.convert(tomllib.loads(text), Scenario)
    except (msgspec.ValidationError, tomllib.TOMLDecodeError) as error:
        raise BadScenario(" ".join(str(error).split())) from error
    check(scenario)
    return scenario


def check(scenario: Scenario) -> None:
    shape = scenario.shape
    if not 0 < scenario.seconds <= LONGEST or not 0 < scenario.rate <= 100_000:
        raise BadScenario(f"seconds must be above nought and at most {LONGEST:.0f}, rate above nought")
    fronts = shape.gateways or shape.forwarders
    if fronts < 1 or fronts + shape.planners > MOST_PROCESSES or min(shape.planners, shape.gateways) < 0:
        raise BadScenario(f"shape: from one front machine to {MOST_PROCESSES} processes in all")
    if shape.backends < 1 or shape.customers < 1:
        raise BadScenario("shape: backends and customers must be at least one each")
    if not shape.gateways and not shape.planners:
        raise BadScenario("shape: forwarders need a planner; name gateways for one level")
    if shape.council and (shape.gateways or not shape.planners):
        raise BadScenario("shape.council: it is the planners' own")
    for number, fault in enumerate(scenario.faults):
        check_fault(f"faults[{number}]", fault)
    for number, drawn in enumerate(scenario.drawn):
        where = f"drawn[{number}]"
        if not drawn.what:
            raise BadScenario(f"{where}.what: nothing to draw from")
        for least, most in (drawn.every, drawn.seconds):
            if not 0 < least <= most:
                raise BadScenario(f"{where}: every and seconds are (least, most), above nought")
        if not 0 < drawn.part <= 1:
            raise BadScenario(f"{where}.part: above nought and at most one")
        for what in drawn.what:
            check_fault(
                where,
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
                mixed=True,
            )


def check_fault(where: str, fault: FaultTable, mixed: bool = False) -> None:
    if fault.what not in PROCESS_VERBS and fault.what not in WAY_VERBS:
        there_are = ", ".join((*PROCESS_VERBS, *WAY_VERBS))
        raise BadScenario(f"{where}.what: {fault.what!r} is none of {there_are}")
    on_ways = fault.what in WAY_VERBS
    if not (fault.ways if on_ways else fault.who):
        raise BadScenario(f"{where}: {fault.what} needs {'ways' if on_ways else 'who'}")
    if not mixed and (fault.who if on_ways else fault.ways):
        raise BadScenario(f"{where}: {fault.what} is not done to {'processes' if on_ways else 'ways'}")
    for way in fault.ways:
        if way.count(">") != 1 or not all(way.split(">")):
            raise BadScenario(f"{where}.ways: {way!r} is no way: from>to")
    if min(fault.at, fault.seconds, fault.late, fault.jitter) < 0 or not 0 < fault.share < 1:
        raise BadScenario(f"{where}: times are not below nought, share is between nought and one")
    if fault.what == "narrow" and not fault.rate > 0:
        raise BadScenario(f"{where}.rate: above nought")
    if fault.what == "dribble" and fault.size < 1:
        raise BadScenario(f"{where}.size: at least one byte")


class Names:
    """Which processes there are, by role and zone, and which words mean whom."""

    def __init__(self, roles: Mapping[str, str], zones: Mapping[str, Iterable[str]]) -> None:
        """`roles`: by name. What is no process has its kind as its role."""
        self.roles = dict(roles)
        self.zones = {
            zone: sorted({name for word in words for name in self.roles if fnmatchcase(name, word)})
            for zone, words in zones.items()
        }

    def zone_of(self, name: str) -> str:
        return next((zone for zone, names in self.zones.items() if name in names), "")

    def meant(self, word: str) -> list[str]:
        """Names, in order; BadScenario if nobody is meant."""
        if word.startswith("@"):
            found = [name for name, role in self.roles.items() if role == word[1:]]
        elif word.startswith("zone:"):
            found = self.zones.get(word[5:], [])
        else:
            found = [name for name in self.roles if fnmatchcase(name, word)]
        if not found:
            raise BadScenario(f"{word!r} is nobody here")
        return found

    def ways(self, words: Iterable[str]) -> list[str]:
        """All ways that are meant: `from>to`, no process to itself."""
        found: dict[str, None] = {}
        for word in words:
            begin, _, end = word.partition(">")
            for one in self.meant(begin):
                for other in self.meant(end):
                    if one != other:
                        found[f"{one}>{other}"] = None
        return list(found)


def planned(scenario: Scenario, names: Names, relayed: Iterable[str]) -> list[FaultTable]:
    """All faults of a scenario in order of time, each with names in place of words.

    Ways that go over no relay are left out of patterns; BadScenario if none is left.
    """
    have = set(relayed)
    made = [settled(fault, names, have) for fault in scenario.faults]
    for number, drawn in enumerate(scenario.drawn):
        chance = random.Random(f"{scenario.seed} drawn {number}")
        until = scenario.seconds if drawn.end is None else drawn.end
        at = drawn.begin + chance.uniform(*drawn.every)
        while at < until:
            if len(made) >= MOST_FAULTS:
                raise BadScenario(f"more than {MOST_FAULTS} faults")
            made.append(settled(draw(drawn, chance, at), names, have, chance, drawn.part))
            at += chance.uniform(*drawn.every)
    return sorted(made, key=lambda fault: fault.at)


def draw(drawn: DrawnTable, chance: random.Random, at: float) -> FaultTable:
    what = chance.choice(drawn.what)
    on_ways = what in WAY_VERBS
    direction = chance.choice(("up", "down", "both")) if drawn.direction == "any" else drawn.direction
    return FaultTable(
        what,
        round(at, 3),
        round(chance.uniform(*drawn.seconds), 3),
        [] if on_ways else drawn.who,
        drawn.ways if on_ways else [],
        direction,
        drawn.late,
        drawn.jitter,
        drawn.rate,
        drawn.size,
        drawn.share,
    )


def settled(
    fault: FaultTable, names: Names, have: set[str], chance: random.Random | None = None, part: float = 1.0
) -> FaultTable:
    ways = [way for way in names.ways(fault.ways) if way in have]
    if fault.ways and not ways:
        raise BadScenario(f"none of {', '.join(fault.ways)} goes over a relay: see shape.relayed")
    who = list(dict.fromkeys(name for word in fault.who for name in names.meant(word)))
    if chance is not None:
        ways = sorted(chance.sample(ways, max(1, round(part * len(ways))))) if ways else []
        who = [chance.choice(who)] if who else []
    return msgspec.structs.replace(fault, ways=ways, who=who)
