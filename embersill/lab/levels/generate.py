"""Generates schedules of the two levels from seeds: each with its own mix of traffic and (aimed) faults."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from embersill.world.schedules import Schedule, Step
from embersill.world.swarm import log_uniform, random_subset

FORWARDER_MESSAGES = (
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
PLANNER_MESSAGES = (
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
FREQUENT_TARGETS = ("Grant", "Echo", "Lend", "Recall", "Ask", "Ended", "Open", "Returned")  # of 2 aims in 3
FAULT_KINDS = (
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
SCENARIOS = (
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
FAILURES = ("error", "broken", "turned away", "no connection")


class Generator:
    """Generates one schedule. `focus`: kinds of message to aim at, because few seeds covered them yet."""

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
        self.kinds = random_subset(chance, FAULT_KINDS, 0.35)
        self.scenarios = random_subset(chance, SCENARIOS, 0.35)
        self.fault_rate = log_uniform(chance, 1.0, 6.0)  # per second
        self.aimed_share = chance.choice((0.2, 0.5, 0.9))  # of all faults
        self.max_fault_s = log_uniform(chance, 0.3, 2.5)  # maximum duration of most faults
        self.flaky_connections = chance.random() < 0.1  # every second connection is refused immediately
        self.cold_backend = chance.random() < 0.05
        self.refused_connections = chance.random() < 0.2  # no backend accepts connections for a while
        self.shape: dict[str, Any] = {
            "forwarders": forwarders,
            "planners": planners,
            "seconds": seconds,
            "ceiling": chance.choice(((8.0, 24.0), (4.0, 8.0), (16.0, 48.0), (12.0, 12.0))),
            # a starting forwarder assumes for so long that its share is in use, which masks other faults
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
        # a burst far below the ceiling's depth leaves half of the depth for reserves
        self.shape["burst"] = random.Random(f"burst {seed}").choice((120.0, depth / 4, depth / 4))
        weather = self.shape["weather"]
        self.shape["coded"] = bool(weather["lost"] or weather["doubled"] or chance.random() < 0.25)
        self.steps: list[Step] = []
        # sessions over several paths, as over TCP: a stream that stays open loses nothing
        if random.Random(f"helpers {seed}").random() < 0.4:
            self.shape["helpers"] = True
            weather["lost"] = weather["doubled"] = 0.0
        self.large_reserves = random.Random(f"hoard {seed}").random() < 0.25

    def generate(self) -> Schedule:
        """Returns the schedule."""
        if self.large_reserves:
            return self.reserves_schedule()
        self.add_traffic()
        chance, at = self.chance, 1.0
        while (at := at + chance.expovariate(self.fault_rate)) < self.seconds:
            if chance.random() >= self.aimed_share:
                self.steps += self.fault(chance.choice(self.kinds), at)
            elif chance.random() < 0.5:
                self.steps += self.scenario(chance.choice(self.scenarios), at)
            else:
                self.add_aimed_fault(at)
        return Schedule(self.seed, self.shape, sorted(self.steps, key=lambda step: step.at))

    def reserves_schedule(self) -> Schedule:
        """Returns a schedule with large reserves.

        Customers send few requests first, so that forwarders hold large reserves, then many, while links and
        planners fail. Some customers move to another forwarder in between, and their reserves are reclaimed.
        """
        chance, rise = self.chance, 3.6
        self.shape |= {"ceiling": chance.choice(((16.0, 48.0), (12.0, 36.0))), "bequest": 0.95}
        self.shape |= {"burst": self.shape["ceiling"][1] / 4, "quota": 200.0, "beat_every": 0.05}
        self.shape["weather"] = {"stall": 0.0, "stall_most": 0.0, "lost": 0.0, "doubled": 0.0}
        self.shape["seconds"] = end = 6.5
        customers, units = chance.choice((1, 2)), chance.choice(((2.0,), (4.0,), (1.0, 2.0, 8.0)))
        homes = {f"pro{n}": chance.choice(self.forwarders) for n in range(customers)}
        later_homes = {name: chance.choice(self.forwarders) for name in homes}
        spread, moved_at = chance.choice((0.0, 0.2, 0.5)), chance.uniform(1.6, 3.2)
        at = 0.5
        peak_rate = chance.choice((15.0, 40.0, 90.0))
        while (at := at + chance.expovariate(6.0 if at < rise else peak_rate)) < end:
            customer = chance.choice(list(homes))
            who = (homes if at < moved_at else later_homes)[customer]
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
            self.steps += self.separation(at)
            at += chance.uniform(0.1, 1.2)
        return Schedule(self.seed, self.shape, sorted(self.steps, key=lambda step: step.at))

    def separation(self, at: float) -> list[Step]:
        """Returns steps that cut forwarders off, or stop the planner that leads their parts."""
        chance = self.chance
        kind = chance.choice(("alone", "alone", "all alone", "kill", "leave", "pause", "cut"))
        duration = round(chance.uniform(0.4, 1.6), 3)
        if kind in ("kill", "leave", "pause"):
            return [Step(kind, at, who=chance.choice(self.planners), seconds=duration)]
        if kind == "cut":
            return [
                Step(
                    "cut",
                    at,
                    who=chance.choice(self.forwarders),
                    to=chance.choice(self.planners),
                    seconds=duration,
                    args={"both": True},
                )
            ]
        isolated = self.forwarders if kind == "all alone" else [chance.choice(self.forwarders)]
        return [
            Step("cut", at, who=name, to=planner, seconds=duration, args={"both": True})
            for name in isolated
            for planner in self.planners
        ]

    # traffic

    def add_traffic(self) -> None:
        """Adds the requests of all customers and, for some seeds, the faults that belong to them."""
        chance = self.chance
        plans = chance.choice(
            (("pro",), ("pro", "pro", "basis", "free"), ("free", "pro"), ("basis", "pro", "pro"))
        )
        klasses = chance.choice(
            (("lookup", "report", "extract"), ("extract",), ("report",), ("report", "extract"))
        )
        customers = chance.choice((1, 2, 4))
        units = chance.choice(((1.0,), (1.0, 1.0, 2.0, 3.0, 8.0), (4.0, 8.0)))
        failure_share, dial_share, slow_share = (
            chance.choice((0.0, 0.05, 0.4)),
            chance.choice((0.0, 0.1, 0.4)),
            chance.choice((0.02, 0.1, 0.3)),
        )
        failures = random_subset(chance, FAILURES, 0.5)
        if "paused dial" in self.scenarios:
            dial_share = 0.4
        at, refused_until, refused = 0.5, 0.0, [("no connection", 0.0, 0.0)]
        budgets: tuple[float, ...] = chance.choice(((0.3, 1.0, 2.0), (2.0,), (0.4,)))
        if self.flaky_connections:  # with customers that use their whole quota, and unstable planners
            plans, klasses, units, budgets = ("pro",), ("lookup",), (4.0, 8.0), (2.0,)
            failure_share, dial_share, failures, customers = 0.5, 0.0, ["no connection"], 2
            self.kinds, self.shape["ceiling"] = ["kill planner", "kill forwarder", "break"], (4.0, 8.0)
        if self.cold_backend:  # a backend restarts cold, and nothing but that limits the load on it
            plans, klasses, customers, budgets = ("free",), ("lookup",), 4, (2.0,)
            failure_share, dial_share, slow_share, self.fault_rate, self.rate = (
                0.0,
                0.0,
                0.02,
                0.2,
                max(self.rate, 60.0),
            )
            self.shape["capacity"] = self.rate / len(self.backends)
            self.steps += self.scenario("cold return", 1.0)
        if self.refused_connections:
            # a customer that starts late has a full bucket, and its whole burst is forwarded late
            plans, customers, units, budgets = (
                ("pro",),
                chance.choice((1, 2)),
                ((4.0,), (2.0, 8.0))[self.seed % 2],
                (2.0,),
            )
            klasses, self.rate = ("lookup",), max(self.rate, 80.0)
            at = self.seconds - chance.uniform(1.5, 2.0)
            refused_until = at + chance.uniform(0.2, 0.8)
            refused = [("no connection", 0.0, round(chance.uniform(0.2, 0.3), 3))] * chance.randint(3, 4)
            failure_share, dial_share, self.fault_rate = 0.0, 0.0, 0.2
            self.shape["ceiling"] = chance.choice(((16.0, 48.0), (16.0, 48.0), (12.0, 12.0)))
            if chance.random() < 0.6:  # and the planner that decides for it stops
                stop_at = round(at + chance.uniform(0.3, 1.4), 3)
                self.steps += [
                    Step(chance.choice(("kill", "leave")), stop_at, who=name, seconds=0.5)
                    for name in chance.sample(self.planners, chance.randint(1, len(self.planners) - 1))
                ]
        fronts = chance.choice((self.forwarders, self.forwarders, self.forwarders[:1]))
        # traffic alternates between pauses and bursts; seconds
        quiet, busy = chance.choice(((0.0, 1.0), (0.0, 1.0), (1.4, 0.1), (0.6, 0.6)))
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
                        "fates": (refused if at < refused_until else [])
                        + [self.fate(failures, failure_share, dial_share, slow_share) for _ in range(3)],
                    },
                )
            )

    def fate(
        self, failures: list[str], failure_share: float, dial_share: float, slow_share: float
    ) -> tuple[str, float, float]:
        """Draws an attempt's outcome, the seconds until it, and the seconds of dialling before."""
        chance = self.chance
        outcome = chance.choice(failures) if chance.random() < failure_share else "served"
        duration = chance.uniform(0.5, 3.0) if chance.random() < slow_share else chance.uniform(0.005, 0.2)
        dial = chance.uniform(0.001, 0.3) if chance.random() < dial_share else 0.0
        return outcome, round(duration, 4), round(dial, 4)

    # faults

    def duration(self, minimum: float = 0.05) -> float:
        """Draws the duration of a fault in seconds."""
        return round(self.chance.uniform(minimum, max(self.max_fault_s, minimum * 1.5)), 3)

    def notification_delays(self) -> dict[str, float]:
        """Draws after how many seconds each process is notified of a change: at most one."""
        chance = self.chance
        return {name: round(chance.uniform(0.0, 1.0), 3) for name in (*self.planners, *self.forwarders)}

    def pause_args(self) -> dict[str, bool]:
        """Draws whether a process reads from sockets before it runs timers after a pause."""
        return {"reads_first": self.chance.random() < 0.5}

    def pair(self) -> tuple[str, str]:
        """Draws a forwarder and a planner, in random order."""
        pair = [self.chance.choice(self.forwarders), self.chance.choice(self.planners)]
        self.chance.shuffle(pair)
        return pair[0], pair[1]

    def fault(self, kind: str, at: float, on: str = "", nth: int = 1) -> list[Step]:
        """Returns the steps of one fault, at a time or at a moment, whose sender and receiver it affects."""
        chance = self.chance
        aimed: dict[str, Any] = {"on": on, "nth": nth} if on else {}
        from_planner = on.rpartition(" ")[2] in PLANNER_MESSAGES
        planner = ("@sender" if from_planner else "@receiver") if on else chance.choice(self.planners)
        forwarder = ("@receiver" if from_planner else "@sender") if on else chance.choice(self.forwarders)
        who, to = (
            (("@sender", "@receiver") if chance.random() < 0.7 else ("@receiver", "@sender"))
            if on
            else self.pair()
        )
        duration = self.duration()
        if kind == "kill planner":
            return [
                Step(
                    "kill", at, who=planner, seconds=duration, args={"quiet": chance.random() < 0.3}, **aimed
                )
            ]
        if kind == "kill forwarder":
            return [
                Step(
                    "kill",
                    at,
                    who=forwarder,
                    seconds=duration,
                    args={"quiet": chance.random() < 0.5},
                    **aimed,
                )
            ]
        if kind == "pause planner":
            return [Step("pause", at, who=planner, seconds=duration, args=self.pause_args(), **aimed)]
        if kind == "pause forwarder":
            return [Step("pause", at, who=forwarder, seconds=duration, args=self.pause_args(), **aimed)]
        if kind == "cut" and not on:  # some forwarders lose a planner
            victims = chance.sample(self.forwarders, chance.randint(1, len(self.forwarders)))
            return [
                Step("cut", at, who=name, to=planner, seconds=duration, args={"both": True})
                for name in victims
            ]
        if kind == "cut":
            return [
                Step(
                    "cut", at, who=who, to=to, seconds=duration, args={"both": chance.random() < 0.5}, **aimed
                )
            ]
        if kind == "hold":
            return [Step("hold", at, who=who, to=to, seconds=duration, **aimed)]
        if kind in ("break", "half-open"):
            return [Step("break", at, who=who, to=to, args={"reset": kind == "break"}, **aimed)]
        if kind == "leave":
            return [Step("leave", at, who=planner, seconds=duration, **aimed)]
        if kind == "retire":
            return [Step("retire", at, who=forwarder, seconds=duration, **aimed)]
        backend = "@backend" if on.endswith("Grant") else chance.choice(self.backends)
        if kind == "drain":
            return [
                Step(
                    "drain",
                    at,
                    who=backend,
                    seconds=self.duration(0.3),
                    args={"told": self.notification_delays()},
                    **aimed,
                )
            ]
        assert kind == "restart backend"
        return [
            Step(
                "restart",
                at,
                who=backend,
                seconds=round(chance.uniform(0.1, 0.6), 3),
                args={"told": self.notification_delays()},
                **aimed,
            )
        ]

    def add_aimed_fault(self, at: float) -> None:
        """Adds a fault at the moment of a message."""
        chance = self.chance
        if self.focus and chance.random() < 0.5:
            message = chance.choice(self.focus)
        else:
            message = chance.choice(
                FREQUENT_TARGETS if chance.random() < 0.67 else FORWARDER_MESSAGES + PLANNER_MESSAGES
            )
        moment = f"{chance.choice(('sent', 'got'))} {message}"
        self.steps += self.fault(chance.choice(self.kinds), at, moment, chance.choice((1, 1, 2, 5)))

    def scenario(self, name: str, at: float) -> list[Step]:
        """Returns faults that belong together, at the moments that the fences protect."""
        chance = self.chance
        duration = round(chance.uniform(0.5, 1.6), 3)
        nth = chance.choice((1, 1, 2, 4))
        planner_first = {"@sender": 0.0, "@receiver": 2.5, "": 2.5}
        drained = Step("drain", at, "sent Grant", nth, "@backend", seconds=3.0, args={"told": planner_first})
        if name == "held grant":  # it is in flight while its planner is notified of a drain
            return [Step("hold", at, "sent Grant", nth, "@sender", "@receiver", duration), drained]
        if name == "paused grant":
            return [
                Step("pause", at, "sent Grant", nth, "@receiver", seconds=duration, args=self.pause_args()),
                drained,
            ]
        if name == "paused dial":
            return [
                Step("pause", at, "dialling", nth, "@receiver", seconds=duration),
                Step("drain", at, "dialling", nth, "@backend", seconds=3.0, args={"told": planner_first}),
            ]
        if name == "held echo":  # for longer than a lease, while its forwarder moves to another planner
            return [
                Step("hold", at, "sent Echo", nth, "@sender", "@receiver", duration),
                Step("hold", at, "sent Echo", nth, "@receiver", "@sender", duration),
            ]
        if name == "late echo":  # it arrives long after its forwarder closed the link
            return [
                Step("hold", at, "sent Echo", nth, "@sender", "@receiver", duration),
                Step("cut", at, "sent Echo", nth, "@receiver", "@sender", duration + 0.5),
                Step("break", at, "sent Echo", nth, "@sender", "@receiver", args={"reset": False}),
            ]
        if name == "lost lender":  # it restarts before its planner notices that it was down
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
        if name == "all leave":  # and one returns immediately, while the others' messages are in flight
            planner = chance.choice(self.planners)
            leavers = chance.sample(self.forwarders, chance.randint(2, len(self.forwarders)))
            delayed = chance.choice(leavers)
            return [
                *(
                    Step("break", at, who=name, to=planner, args={"reset": name != delayed})
                    for name in leavers
                ),
                Step("hold", at, who=delayed, to=planner, seconds=duration),
                Step(
                    "break",
                    at + round(chance.uniform(0.05, 0.4), 3),
                    who=chance.choice(leavers),
                    to=chance.choice(self.planners),
                ),
            ]
        if (
            name == "nobody leads"
        ):  # long enough for forwarders to use their own shares, then all return at once
            return [Step("pause", at, who=name, seconds=round(duration + 0.9, 3)) for name in self.planners]
        if name == "cold return":
            return [
                Step(
                    "restart", min(at, 1.3), who=name, seconds=0.1, args={"told": self.notification_delays()}
                )
                for name in self.backends[:1]
            ]
        if name == "lone cut":  # one forwarder is cut off from the planner that the others use
            planner = chance.choice(self.planners)
            return [
                Step(
                    "cut",
                    at,
                    who=chance.choice(self.forwarders),
                    to=planner,
                    seconds=duration,
                    args={"both": True},
                )
            ]
        assert name == "quiet end"  # half-open: the planner does not notice
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
    """Returns the schedule of a seed, which is the same on every machine."""
    return Generator(seed, focus, **shape).generate()
