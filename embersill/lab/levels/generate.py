"""Schedules of the two levels from seeds: each with a mix of its own, and faults aimed at what matters."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from embersill.world.schedules import Schedule, Step
from embersill.world.swarm import log_uniform, random_subset

FORWARDER_SAYS = (
    "Ask",
    "Open",
    "Echo",
    "Lend",
    "Recall",
    "Ended",
    "Left",
    "Spent",
    "Bequeath",
    "Holds",
    "Used",
    "Yielded",
)
PLANNER_SAYS = (
    "Grant",
    "Beat",
    "Returned",
    "Refused",
    "Failed",
    "Cancelled",
    "Withdrawn",
    "Leaving",
    "Reserve",
)
OFTEN = ("Grant", "Echo", "Lend", "Recall", "Ask", "Ended", "Open", "Returned")  # the aim of two in three
KINDS = (
    "kill planner",
    "pause planner",
    "pause forwarder",
    "cut",
    "hold",
    "break",
    "half-open",
    "drain",
    "restart backend",
    "kill forwarder",
    "leave",
    "retire",
)
RECIPES = (
    "held grant",
    "paused grant",
    "paused dial",
    "held echo",
    "late echo",
    "lost lender",
    "lone cut",
    "quiet end",
    "all leave",
    "nobody leads",
    "cold return",
)
FATES = ("error", "broken", "turned away", "no connection")


class Maker:
    """Makes one schedule. `focus`: kinds of message to aim at, where few seeds have met them yet."""

    def __init__(
        self,
        seed: int,
        focus: Sequence[str] = (),
        *,
        forwarders: int = 3,
        planners: int = 2,
        seconds: float = 5.0,
        rate: float | None = None,
    ) -> None:
        self.seed, self.focus, self.seconds = seed, focus, seconds
        self.chance = chance = random.Random(f"schedule {seed}")
        self.forwarders = [f"f{n}" for n in range(forwarders)]
        self.planners = [f"p{n}" for n in range(planners)]
        self.backends = [f"b{n}" for n in range(4)]
        self.rate = rate if rate is not None else log_uniform(chance, 20.0, 80.0)
        self.kinds = random_subset(chance, KINDS, 0.35)
        self.recipes = random_subset(chance, RECIPES, 0.35)
        self.faults = log_uniform(chance, 1.0, 6.0)  # a second
        self.aimed = chance.choice((0.2, 0.5, 0.9))
        self.long = log_uniform(chance, 0.3, 2.5)  # seconds that most troubles take at most
        self.flaky_day = chance.random() < 0.1  # one connection in two is refused at once
        self.cold_day = chance.random() < 0.05
        self.refused_day = chance.random() < 0.2  # no backend takes a connection for a while
        self.shape: dict[str, Any] = {
            "forwarders": forwarders,
            "planners": planners,
            "seconds": seconds,
            "ceiling": chance.choice(((8.0, 24.0), (4.0, 8.0), (16.0, 48.0), (12.0, 12.0))),
            # a start takes the share to be in use for so long, which hides what else would be amiss
            "bequest": chance.choice((0.95, 0.95, 0.95, 5.0)),
            "beat_every": chance.choice((0.05, 0.1)),
            "memory": chance.choice((0.2, 0.5, 5.0)),
            "capacity": max(self.rate, 40.0) / len(self.backends),
            "weather": {
                "stall": chance.choice((0.0, 0.0, 0.004, 0.02)),
                "stall_most": 2.0,
                "lost": chance.choice((0.0, 0.0, 0.001)),
                "doubled": chance.choice((0.0, 0.0, 0.001)),
            },
        }
        depth = self.shape["ceiling"][1]
        # a quota far below the ceiling leaves half of that to be held in reserve
        self.shape["burst"] = random.Random(f"burst {seed}").choice((120.0, depth / 4, depth / 4))
        weather = self.shape["weather"]
        self.shape["coded"] = bool(weather["lost"] or weather["doubled"] or chance.random() < 0.25)
        self.steps: list[Step] = []
        # sessions over several paths, as TCP carries them: nothing of a stream that stays is lost
        if random.Random(f"helpers {seed}").random() < 0.4:
            self.shape["helpers"] = True
            weather["lost"] = weather["doubled"] = 0.0
        self.hoard_day = random.Random(f"hoard {seed}").random() < 0.25

    def make(self) -> Schedule:
        if self.hoard_day:
            return self.hoard()
        self.traffic()
        chance, at = self.chance, 1.0
        while (at := at + chance.expovariate(self.faults)) < self.seconds:
            if chance.random() >= self.aimed:
                self.steps += self.fault(chance.choice(self.kinds), at)
            elif chance.random() < 0.5:
                self.steps += self.recipe(chance.choice(self.recipes), at)
            else:
                self.aim(at)
        return Schedule(self.seed, self.shape, sorted(self.steps, key=lambda step: step.at))

    def hoard(self) -> Schedule:
        """Customers that ask little, so that much is held in reserve; then much, as links and planners go.

        Some customers go to another forwarder meanwhile, and what was held for them is asked back.
        """
        chance, rise = self.chance, 3.6
        self.shape |= {"ceiling": chance.choice(((16.0, 48.0), (12.0, 36.0))), "bequest": 0.95}
        self.shape |= {"burst": self.shape["ceiling"][1] / 4, "quota": 200.0, "beat_every": 0.05}
        self.shape["weather"] = {"stall": 0.0, "stall_most": 0.0, "lost": 0.0, "doubled": 0.0}
        self.shape["seconds"] = end = 6.5
        customers, units = chance.choice((1, 2)), chance.choice(((2.0,), (4.0,), (1.0, 2.0, 8.0)))
        first = {f"pro{n}": chance.choice(self.forwarders) for n in range(customers)}
        moves = {name: chance.choice(self.forwarders) for name in first}
        spread, moved = chance.choice((0.0, 0.2, 0.5)), chance.uniform(1.6, 3.2)
        at = 0.5
        busy = chance.choice((15.0, 40.0, 90.0))
        while (at := at + chance.expovariate(6.0 if at < rise else busy)) < end:
            customer = chance.choice(list(first))
            who = (first if at < moved else moves)[customer]
            if chance.random() < spread or (at >= rise and chance.random() < 0.6):
                who = chance.choice(self.forwarders)
            self.steps.append(
                Step(
                    "ask",
                    at,
                    who=who,
                    args={
                        "klass": "lookup",
                        "plan": "pro",
                        "customer": customer,
                        "units": 2.0 if at < rise else chance.choice(units),
                        "budget": 2.0,
                        "fates": [self.fate([], 0.0, 0.0, 0.0) for _ in range(3)],
                    },
                )
            )
        faults, at = chance.randint(1, 4), rise + chance.uniform(-0.6, 1.2)
        for _ in range(faults):
            self.steps += self.parting(at)
            at += chance.uniform(0.1, 1.2)
        return Schedule(self.seed, self.shape, sorted(self.steps, key=lambda step: step.at))

    def parting(self, at: float) -> list[Step]:
        """A forwarder that is cut off, or an owner that goes."""
        chance = self.chance
        kind = chance.choice(("alone", "alone", "all alone", "kill", "leave", "pause", "cut"))
        took = round(chance.uniform(0.4, 1.6), 3)
        if kind in ("kill", "leave", "pause"):
            return [Step(kind, at, who=chance.choice(self.planners), seconds=took)]
        if kind == "cut":
            return [
                Step(
                    "cut",
                    at,
                    who=chance.choice(self.forwarders),
                    to=chance.choice(self.planners),
                    seconds=took,
                    args={"both": True},
                )
            ]
        alone = self.forwarders if kind == "all alone" else [chance.choice(self.forwarders)]
        return [
            Step("cut", at, who=name, to=planner, seconds=took, args={"both": True})
            for name in alone
            for planner in self.planners
        ]

    # traffic

    def traffic(self) -> None:
        chance = self.chance
        plans = chance.choice(
            (("pro",), ("pro", "pro", "basis", "free"), ("free", "pro"), ("basis", "pro", "pro"))
        )
        klasses = chance.choice(
            (("lookup", "report", "extract"), ("extract",), ("report",), ("report", "extract"))
        )
        customers = chance.choice((1, 2, 4))
        units = chance.choice(((1.0,), (1.0, 1.0, 2.0, 3.0, 8.0), (4.0, 8.0)))
        fails, dials, slow = (
            chance.choice((0.0, 0.05, 0.4)),
            chance.choice((0.0, 0.1, 0.4)),
            chance.choice((0.02, 0.1, 0.3)),
        )
        ends = random_subset(chance, FATES, 0.5)
        if "paused dial" in self.recipes:
            dials = 0.4
        at, refusing, refused = 0.5, 0.0, [("no connection", 0.0, 0.0)]
        budgets: tuple[float, ...] = chance.choice(((0.3, 1.0, 2.0), (2.0,), (0.4,)))
        if self.flaky_day:  # of customers that use all that they may, and planners that come and go
            plans, klasses, units, budgets = ("pro",), ("lookup",), (4.0, 8.0), (2.0,)
            fails, dials, ends, customers = 0.5, 0.0, ["no connection"], 2
            self.kinds, self.shape["ceiling"] = ["kill planner", "kill forwarder", "break"], (4.0, 8.0)
        if self.cold_day:  # a backend comes back cold, and there is much that nothing but it keeps away
            plans, klasses, customers, budgets = ("free",), ("lookup",), 4, (2.0,)
            fails, dials, slow, self.faults, self.rate = 0.0, 0.0, 0.02, 0.2, max(self.rate, 60.0)
            self.shape["capacity"] = self.rate / len(self.backends)
            self.steps += self.recipe("cold return", 1.0)
        if self.refused_day:
            # a customer that comes late has a full bucket, and all that it may pass at once goes on late
            plans, customers, units, budgets = (
                ("pro",),
                chance.choice((1, 2)),
                ((4.0,), (2.0, 8.0))[self.seed % 2],
                (2.0,),
            )
            klasses, self.rate = ("lookup",), max(self.rate, 80.0)
            at = self.seconds - chance.uniform(1.5, 2.0)
            refusing = at + chance.uniform(0.2, 0.8)
            refused = [("no connection", 0.0, round(chance.uniform(0.2, 0.3), 3))] * chance.randint(3, 4)
            fails, dials, self.faults = 0.0, 0.0, 0.2
            self.shape["ceiling"] = chance.choice(((16.0, 48.0), (16.0, 48.0), (12.0, 12.0)))
            if chance.random() < 0.6:  # and whoever has it in hand goes
                late = round(at + chance.uniform(0.3, 1.4), 3)
                self.steps += [
                    Step(chance.choice(("kill", "leave")), late, who=name, seconds=0.5)
                    for name in chance.sample(self.planners, chance.randint(1, len(self.planners) - 1))
                ]
        fronts = chance.choice((self.forwarders, self.forwarders, self.forwarders[:1]))
        quiet, busy = chance.choice(((0.0, 1.0), (0.0, 1.0), (1.4, 0.1), (0.6, 0.6)))  # seconds, by turns
        while (at := at + chance.expovariate(self.rate * (quiet + busy) / busy)) < self.seconds:
            if quiet and at % (quiet + busy) < quiet:
                at += quiet - at % (quiet + busy)
            plan = chance.choice(plans)
            self.steps.append(
                Step(
                    "ask",
                    at,
                    who=chance.choice(fronts),
                    args={
                        "klass": chance.choice(klasses),
                        "plan": plan,
                        "customer": f"{plan}{chance.randrange(customers)}",
                        "units": chance.choice(units),
                        "budget": chance.choice(budgets),
                        "fates": (refused if at < refusing else [])
                        + [self.fate(ends, fails, dials, slow) for _ in range(3)],
                    },
                )
            )

    def fate(self, ends: list[str], fails: float, dials: float, slow: float) -> tuple[str, float, float]:
        chance = self.chance
        outcome = chance.choice(ends) if chance.random() < fails else "served"
        spell = chance.uniform(0.5, 3.0) if chance.random() < slow else chance.uniform(0.005, 0.2)
        dial = chance.uniform(0.001, 0.3) if chance.random() < dials else 0.0
        return outcome, round(spell, 4), round(dial, 4)

    # faults

    def took(self, least: float = 0.05) -> float:
        return round(self.chance.uniform(least, max(self.long, least * 1.5)), 3)

    def told(self) -> dict[str, float]:
        """When each process hears of a change: most within a second."""
        chance = self.chance
        return {name: round(chance.uniform(0.0, 1.0), 3) for name in (*self.planners, *self.forwarders)}

    def wakes(self) -> dict[str, bool]:
        return {"reads_first": self.chance.random() < 0.5}

    def pair(self) -> tuple[str, str]:
        pair = [self.chance.choice(self.forwarders), self.chance.choice(self.planners)]
        self.chance.shuffle(pair)
        return pair[0], pair[1]

    def fault(self, kind: str, at: float, on: str = "", nth: int = 1) -> list[Step]:
        """Steps for one fault, at a time or on a moment with its sender and receiver as victims."""
        chance = self.chance
        aimed: dict[str, Any] = {"on": on, "nth": nth} if on else {}
        planner_says = on.rpartition(" ")[2] in PLANNER_SAYS
        planner = ("@sender" if planner_says else "@receiver") if on else chance.choice(self.planners)
        forwarder = ("@receiver" if planner_says else "@sender") if on else chance.choice(self.forwarders)
        who, to = (
            (("@sender", "@receiver") if chance.random() < 0.7 else ("@receiver", "@sender"))
            if on
            else self.pair()
        )
        took = self.took()
        if kind == "kill planner":
            return [
                Step("kill", at, who=planner, seconds=took, args={"quiet": chance.random() < 0.3}, **aimed)
            ]
        if kind == "kill forwarder":
            return [
                Step("kill", at, who=forwarder, seconds=took, args={"quiet": chance.random() < 0.5}, **aimed)
            ]
        if kind == "pause planner":
            return [Step("pause", at, who=planner, seconds=took, args=self.wakes(), **aimed)]
        if kind == "pause forwarder":
            return [Step("pause", at, who=forwarder, seconds=took, args=self.wakes(), **aimed)]
        if kind == "cut" and not on:  # a part of the forwarders loses a planner
            some = chance.sample(self.forwarders, chance.randint(1, len(self.forwarders)))
            return [Step("cut", at, who=name, to=planner, seconds=took, args={"both": True}) for name in some]
        if kind == "cut":
            return [
                Step("cut", at, who=who, to=to, seconds=took, args={"both": chance.random() < 0.5}, **aimed)
            ]
        if kind == "hold":
            return [Step("hold", at, who=who, to=to, seconds=took, **aimed)]
        if kind in ("break", "half-open"):
            return [Step("break", at, who=who, to=to, args={"reset": kind == "break"}, **aimed)]
        if kind == "leave":
            return [Step("leave", at, who=planner, seconds=took, **aimed)]
        if kind == "retire":
            return [Step("retire", at, who=forwarder, seconds=took, **aimed)]
        backend = "@backend" if on.endswith("Grant") else chance.choice(self.backends)
        if kind == "drain":
            return [
                Step("drain", at, who=backend, seconds=self.took(0.3), args={"told": self.told()}, **aimed)
            ]
        assert kind == "restart backend"
        return [
            Step(
                "restart",
                at,
                who=backend,
                seconds=round(chance.uniform(0.1, 0.6), 3),
                args={"told": self.told()},
                **aimed,
            )
        ]

    def aim(self, at: float) -> None:
        """One fault at the moment of a message."""
        chance = self.chance
        if self.focus and chance.random() < 0.5:
            message = chance.choice(self.focus)
        else:
            message = chance.choice(OFTEN if chance.random() < 0.67 else FORWARDER_SAYS + PLANNER_SAYS)
        moment = f"{chance.choice(('sent', 'got'))} {message}"
        self.steps += self.fault(chance.choice(self.kinds), at, moment, chance.choice((1, 1, 2, 5)))

    def recipe(self, name: str, at: float) -> list[Step]:
        """Faults that belong together, at the moments that the fences were built for."""
        chance = self.chance
        took = round(chance.uniform(0.5, 1.6), 3)
        nth = chance.choice((1, 1, 2, 4))
        early_at_planner = {"@sender": 0.0, "@receiver": 2.5, "": 2.5}
        drained = Step(
            "drain", at, "sent Grant", nth, "@backend", seconds=3.0, args={"told": early_at_planner}
        )
        if name == "held grant":  # it is under way while its planner hears of a drain
            return [Step("hold", at, "sent Grant", nth, "@sender", "@receiver", took), drained]
        if name == "paused grant":
            return [
                Step("pause", at, "sent Grant", nth, "@receiver", seconds=took, args=self.wakes()),
                drained,
            ]
        if name == "paused dial":
            return [
                Step("pause", at, "dialling", nth, "@receiver", seconds=took),
                Step("drain", at, "dialling", nth, "@backend", seconds=3.0, args={"told": early_at_planner}),
            ]
        if name == "held echo":  # for longer than a lease, while its forwarder turns elsewhere
            return [
                Step("hold", at, "sent Echo", nth, "@sender", "@receiver", took),
                Step("hold", at, "sent Echo", nth, "@receiver", "@sender", took),
            ]
        if name == "late echo":  # it arrives when its forwarder has long ended the link
            return [
                Step("hold", at, "sent Echo", nth, "@sender", "@receiver", took),
                Step("cut", at, "sent Echo", nth, "@receiver", "@sender", took + 0.5),
                Step("break", at, "sent Echo", nth, "@sender", "@receiver", args={"reset": False}),
            ]
        if name == "lost lender":  # it is back before its planner has noticed that it was gone
            return [
                Step(
                    "kill",
                    at,
                    "sent Echo",
                    nth,
                    "@sender",
                    seconds=round(chance.uniform(0.02, 0.3), 3),
                    args={"quiet": True},
                )
            ]
        if name == "all leave":  # and one comes back at once, while the others' word is under way
            planner = chance.choice(self.planners)
            some = chance.sample(self.forwarders, chance.randint(2, len(self.forwarders)))
            late = chance.choice(some)
            return [
                *(Step("break", at, who=name, to=planner, args={"reset": name != late}) for name in some),
                Step("hold", at, who=late, to=planner, seconds=took),
                Step(
                    "break",
                    at + round(chance.uniform(0.05, 0.4), 3),
                    who=chance.choice(some),
                    to=chance.choice(self.planners),
                ),
            ]
        if name == "nobody leads":  # long enough for forwarders to have their own shares, then all at once
            return [Step("pause", at, who=name, seconds=round(took + 0.9, 3)) for name in self.planners]
        if name == "cold return":
            return [
                Step("restart", min(at, 1.3), who=name, seconds=0.1, args={"told": self.told()})
                for name in self.backends[:1]
            ]
        if name == "lone cut":  # one forwarder is cut off from a planner that the others obey
            planner = chance.choice(self.planners)
            return [
                Step(
                    "cut",
                    at,
                    who=chance.choice(self.forwarders),
                    to=planner,
                    seconds=took,
                    args={"both": True},
                )
            ]
        assert name == "quiet end"  # half-open at the planner, which goes on as if nothing had been
        return [
            Step(
                "break",
                at,
                f"got {chance.choice(('Lend', 'Echo', 'Ask'))}",
                nth,
                "@sender",
                "@receiver",
                args={"reset": False},
            )
        ]


def generate(seed: int, focus: Sequence[str] = (), **shape: Any) -> Schedule:
    """The schedule of a seed; the same on every machine."""
    return Maker(seed, focus, **shape).make()
