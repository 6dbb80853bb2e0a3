"""A schedule of the council from a seed: its shape, and troubles of ways, processes and disks. No I/O."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from embersill.world.schedules import Schedule, Step
from embersill.world.swarm import log_uniform, random_subset

KINDS = (
    "cut",
    "one way",
    "hold",
    "part",
    "chain",
    "kill",
    "power",
    "lost disk",
    "old disk",
    "pause",
    "clone",
    "forge",
    "billing",
    "all killed",
    "full",
    "leave",
    "owner by turns",
    "slow renewal",
    "slow taking",
    "forgetful",
    "power in the middle",
    "owner cut off",
    "forged vacancy",
    "ill use",
)
BEGIN = 1.5  # seconds: all have founded, and hold something
SECONDS = 6.0


def shape_of(chance: random.Random) -> dict[str, Any]:
    members = chance.choice((3, 3, 3, 5, 5, 2, 1))
    weather: dict[str, float] = {}
    if chance.random() < 0.5:
        weather = {
            "lost": round(log_uniform(chance, 0.005, 0.2), 3),
            "doubled": round(log_uniform(chance, 0.005, 0.2), 3),
            "reordered": round(log_uniform(chance, 0.01, 0.5), 3),
            "most": chance.choice((0.004, 0.04)),
        }
    if chance.random() < 0.3:
        stall = round(log_uniform(chance, 0.01, 0.1), 3)
        weather |= {"stall": stall, "stall_most": chance.choice((0.3, 2.0))}
    drifts = [round(chance.uniform(-0.024, 0.024), 4) for _ in range(members)]
    if chance.random() < 0.4:
        drifts = [chance.choice((-0.024, 0.024)) for _ in range(members)]
    shape: dict[str, Any] = {
        "members": members,
        "weather": weather,
        "drifts": drifts,
        "seconds": SECONDS,
        "late_effects": chance.choice((0.0, 0.05, 0.3)),
        "bad": [f"b{n}" for n in range(12) if chance.random() < 0.15],
    }
    draw = chance.random()
    if draw < 0.25:
        shape["terms"] = {"lease": 0.3, "renew_every": 0.08, "attempt": 0.1, "stagger": 0.0}
    elif draw < 0.5:  # long leases: what a clock is off by shows
        shape["terms"] = {"lease": 1.2, "renew_every": 0.25, "stagger": 0.0}
    shape["slow_disk"] = chance.choice((0.02, 0.02, 0.4))
    return shape


class Maker:
    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.chance = random.Random(f"council {seed}")
        self.shape = shape_of(self.chance)
        self.names = [f"m{n}" for n in range(self.shape["members"])]
        self.damaged: set[str] = set()  # whose disk was lost: no more than a minority may be
        self.steps: list[Step] = []

    def who(self) -> str:
        return self.chance.choice(self.names)

    def pair(self) -> tuple[str, str]:
        one = self.who()
        return one, self.chance.choice([name for name in self.names if name != one] or [one])

    def may_lose(self, name: str) -> bool:
        """Whether one more disk may go: a majority of the others must always have theirs."""
        if len(self.names) - len(self.damaged | {name}) < len(self.names) // 2 + 1:
            return False
        self.damaged.add(name)
        return True

    def make(self) -> Schedule:
        chance = self.chance
        kinds = random_subset(chance, KINDS, 0.3)
        for _ in range(chance.choice((1, 2, 3, 5, 8))):
            self.trouble(chance.choice(kinds), round(chance.uniform(BEGIN, SECONDS - 1.0), 3))
        self.steps.sort(key=lambda step: step.at)
        return Schedule(self.seed, self.shape, self.steps)

    def add(
        self, what: str, at: float, who: str = "", to: str = "", seconds: float = 0.0, **args: Any
    ) -> None:
        self.steps.append(Step(what, round(at, 3), who=who, to=to, seconds=round(seconds, 3), args=args))

    def trouble(self, kind: str, at: float) -> None:
        chance, names = self.chance, self.names
        seconds = log_uniform(chance, 0.05, 2.5)
        who = self.who()
        one, other = self.pair()
        if kind == "cut":
            self.add("cut", at, one, other, seconds)
            self.add("cut", at, other, one, seconds)
        elif kind == "one way":  # one that is heard by all and hears nobody, or the other way round
            for name in names:
                if name != who:
                    ends = (who, name) if chance.random() < 0.5 else (name, who)
                    self.add("cut", at, *ends, seconds)
        elif kind == "hold":
            self.add("hold", at, one, other, seconds)
            if chance.random() < 0.5:
                self.add("hold", at, other, one, seconds)
        elif kind == "part":
            mixed = chance.sample(names, len(names))
            place = chance.randrange(len(names) + 1)
            self.add("part", at, seconds=seconds, groups=[sorted(mixed[:place]), sorted(mixed[place:])])
        elif kind == "chain":  # each hears its neighbours only
            for a in range(len(names)):
                for b in range(len(names)):
                    if abs(a - b) > 1:
                        self.add("cut", at, names[a], names[b], seconds)
        elif kind in ("kill", "power"):
            self.add("kill", at, who, seconds=seconds, disk="keep" if kind == "kill" else "power")
        elif kind == "lost disk" and self.may_lose(who):
            self.add("kill", at, who, seconds=seconds, disk="empty")
        elif kind == "old disk" and self.may_lose(who):
            self.add("backup", at - chance.uniform(0.1, 1.0), who)
            self.add("kill", at, who, seconds=min(seconds, 0.5), disk="old")
        elif kind == "pause":
            self.add("pause", at, who, seconds=seconds)
        elif kind == "clone" and self.may_lose(who):
            self.add("clone", at, who, seconds=seconds)
        elif kind == "forge":
            self.add("forge", at, who, number=chance.choice((0, 0, 1, 2, 3, 1000, 1 << 40)))
        elif kind == "forged vacancy":  # an act of the office, just as it was given up
            self.add("leave", at, "@probes", seconds=0.5)
            for n in range(10):
                self.add("forge", at + 0.004 + 0.003 * n, who, number=0)
        elif kind == "ill use":
            for name in names:  # what was used and closed is with the process alone, which then dies
                begin = chance.uniform(BEGIN, SECONDS - 2.0)
                self.add("full", begin, name, seconds=2.0, only="use")
                self.add(
                    "kill",
                    begin + chance.uniform(0.5, 1.8),
                    name,
                    seconds=0.2,
                    disk=chance.choice(("keep", "keep", "power")),
                )
        elif kind == "billing":
            self.add("billing", at, seconds=seconds, how=chance.choice(("silent", "late", "busy")))
        elif kind == "all killed":
            for name in names:
                self.add(
                    "kill",
                    at + chance.uniform(0.0, 0.05),
                    name,
                    seconds=seconds * chance.random(),
                    disk=chance.choice(("keep", "power")),
                )
        elif kind == "full":
            self.add("full", at, who, seconds=seconds)
        elif kind == "leave":
            self.add("leave", at, who, seconds=seconds)
        elif kind == "owner cut off":
            self.add("cut_off", at, "@work", seconds=chance.uniform(0.8, 2.5))
        elif kind == "slow renewal":  # others see it at once, and its owner hears late, and then no more
            late = chance.uniform(0.06, 0.14)
            self.add("deafen", at, "@work", seconds=late)
            self.add("cut_off", at + late + 0.004, "@work", seconds=2.0)
        elif kind == "slow taking":  # the same as an office changes hands
            for n in range(3):
                begin = BEGIN + 1.4 * n + 0.3 * chance.random()
                self.add("kill", begin, "@work", seconds=1.0, disk="keep")
                self.add("watch_take", begin + 0.05, seconds=1.3)
        elif kind == "forgetful" and self.may_lose(who):
            # some miss what the others write; then one of those loses its disk, and is left with the first
            rest = [name for name in names if name != who]
            few = sorted(chance.sample(rest, len(names) // 2))
            most = sorted(set(names) - set(few))
            self.add("part", at, seconds=1.0, groups=[few, most])
            self.add("kill", at + 0.95, who, seconds=0.06, disk="empty")
            self.add("part", at + 1.0, seconds=1.5, groups=[sorted([*few, who]), sorted(set(most) - {who})])
        elif kind == "power in the middle":
            for name in names:
                self.add(
                    "kill",
                    at + chance.uniform(0.0, 0.004),
                    name,
                    seconds=chance.uniform(0.05, 0.4),
                    disk="power",
                )
        elif kind == "owner by turns":
            for n, name in enumerate(chance.sample(names, len(names))):
                self.add(
                    chance.choice(("pause", "kill")),
                    at + n * chance.uniform(0.2, 0.8),
                    name,
                    seconds=chance.uniform(0.3, 1.2),
                )


def generate(seed: int, focus: Sequence[str] = ()) -> Schedule:
    """The schedule of a seed; `focus` is not used: kinds are drawn by a mix of the seed's own."""
    return Maker(seed).make()
