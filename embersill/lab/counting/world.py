"""Plays a schedule on gateways that share counters, and judges what they send on. No I/O.

The steps' words: outage (`how`: lost, refused, deaf or busy, for `seconds`, then `back` kept, empty or stale
by `age`), slow (by `factor`), swap, back (goes back by `age` at once), split (`seconds`, `other`: gateways,
`keep`: whose sums are left), cut (`who`), kill (`who`, for `seconds`), stop (the same in order), move (to
`counters`).
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from embersill.control import Gateway
from embersill.counting.bound import FRESH, Case, case_of, excess
from embersill.counting.keeper import Call, Keeper
from embersill.counting.keeper import Step as Asked
from embersill.counting.terms import Terms
from embersill.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    Count,
    CounterResult,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    Status,
    TimerDue,
)
from embersill.lab.counting.judge import Customer, QuotaOracle
from embersill.lab.counting.model import ModelCounter
from embersill.rig.settings import lab_settings
from embersill.totals import EPOCH
from embersill.world.kernel import Kernel, Node
from embersill.world.oracles import Broken
from embersill.world.records import Fault, Written
from embersill.world.schedules import Schedule, Step
from embersill.world.swarm import Coverage
from embersill.world.trace import Trace

BEGIN = 6000.0  # what clocks show as an epoch begins; a shape's `start` goes on top
NO_TROUBLE = "none"
TOUCHES = 4.0  # seconds after a trouble's end for which refusals are still laid to it
CALM_AFTER = 12.0  # seconds without trouble, in an epoch that had none, from which nobody may be starved
STEADY = 0.5  # of its quota that a customer may ask for to be one that must never be refused then
WARM_UP = 5.0  # seconds in which gateways run before anyone asks: a deployment, not its first start
QUIET_END = 2.0  # seconds without tries at a run's end: all that was passed on has been told by then
CHARGE_SLACK = 0.75  # bursts that a sum may stand above what was passed on: see `check_charges`
BACKENDS = tuple(Backend(f"b{n}", "z", "k", 0, Status.SERVING, 1.0, None) for n in range(4))


class GatewayNode(Node):
    """One gateway: the module, its keeper (or none: the code before), timers and calls."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(world.kernel, f"g{number}")
        self.world, self.number = world, number
        self.gateway: Gateway
        self.keeper: Keeper | None = None
        self.events: list[Event] = []
        self.busy = False
        self.told: dict[int, float] = {}  # calls that are out, and when each began
        self.numbers = 0
        self.leaving = False

    def start(self) -> None:
        world = self.world
        shape = world.shape
        skew = shape.get("skew", 0.0) * (self.number / max(world.gateways - 1, 1) - 0.5)
        self.begin_life(0.0, BEGIN + shape.get("start", 0.0) + skew)
        now = self.clock()
        seed = world.kernel.stream(f"{self.name} {self.life}").getrandbits(32)
        kept: bool = shape.get("keeper", True)
        self.gateway = Gateway(
            replace(world.settings, me=self.number), seed, now - world.settled_before(self), repays=kept
        )
        self.told, self.leaving = {}, False
        self.keeper = Keeper(world.terms, self.number, world.gateways, world.counting) if kept else None
        self.tell(BackendList(ListKind.WHOLE, BACKENDS))
        if self.keeper is not None:
            self.beat()

    def stop(self) -> None:
        """A stop in order: its marks tell the others, and what it held is answered."""
        if self.keeper is not None and not self.leaving:
            self.leaving = True
            self.perform(self.keeper.leave(self.clock()))
        self.after(0.3, self.die)

    def die(self) -> None:
        self.alive = False

    # the module

    def tell(self, event: Event) -> None:
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        while self.events:
            for action in self.gateway.handle(self.events.pop(0), self.clock()):
                self.carry(action)
        self.busy = False

    def carry(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.after(action.delay, self.tell, TimerDue(action.key))
        elif isinstance(action, Send):
            self.world.sent(self, action)
        elif isinstance(action, Refuse | Fail):
            self.world.turned_away(action.request)
        elif isinstance(action, Count):
            if self.keeper is not None:
                self.perform(self.keeper.count(action, self.clock()))
            else:
                self.call_bare(action)

    def call_bare(self, action: Count) -> None:
        """The code before: one counter, each call told once, at its patience's end at the latest."""

        def ended(outcome: Outcome, total: float, took: float) -> None:
            self.tell(CounterResult(action.name, outcome, took, total))

        self.make_call(self.world.counters[0], action.name, action.amount, action.forget_after, ended, None)

    def perform(self, steps: list[Asked]) -> None:
        for step in steps:
            if isinstance(step, Call):
                self.call_for_keeper(step)
            else:
                self.tell(step)

    def call_for_keeper(self, call: Call) -> None:
        keeper = self.keeper
        assert keeper is not None

        def ended(outcome: Outcome, total: float, took: float) -> None:
            self.perform(keeper.answered(call.id, outcome, took, total, self.clock()))

        counter = next(c for c in self.world.counters if c.name == call.place)
        self.make_call(
            counter,
            call.name,
            call.amount,
            call.forget_after,
            ended,
            lambda: keeper.late(call.id, self.clock()),
        )

    def make_call(
        self,
        counter: ModelCounter,
        name: str,
        amount: float,
        life: float,
        ended: Callable[[Outcome, float, float], None],
        late: Callable[[], None] | None,
    ) -> None:
        patience = self.world.settings.counter_patience
        over, number = [False], self.life

        def told(outcome: Outcome, total: float, took: float) -> None:
            if not self.alive or self.life != number:
                return
            if over[0]:
                if late is not None and outcome is Outcome.SERVED:
                    late()
                return
            over[0] = True
            ended(outcome, total, took)

        def out_of_patience() -> None:
            if not over[0]:
                over[0] = True
                ended(Outcome.TIMED_OUT, 0.0, patience)

        self.after(patience, out_of_patience)
        counter.call(self.name, name, amount, life, told)

    def beat(self) -> None:
        assert self.keeper is not None
        now = self.clock()
        if not self.leaving:
            self.perform(self.keeper.beat(now))
        self.after(max(self.keeper.next_beat(now) - now, 0.01), self.beat)

    def move(self, places: list[str]) -> None:
        if self.keeper is not None:
            self.perform(self.keeper.move(places, self.clock()))


class World:
    """One run. The shape's words: gateways, counters (how many are used at first), customers (plan,
    width, first gateway, tries a second, units, and `uneven`), seconds, start (in the epoch), skew, keeper,
    terms, turn_every (seconds after which the busiest gateways change).
    """

    def __init__(
        self, schedule: Schedule, *, trace: Trace | None = None, coverage: Coverage | None = None
    ) -> None:
        self.schedule, self.shape = schedule, schedule.shape
        shape = self.shape
        self.trace = trace if trace is not None else Trace(keep=False)
        self.coverage = coverage
        self.kernel = Kernel(schedule.seed, self.trace)
        self.gateways: int = shape.get("gateways", 3)
        self.settings: Settings = lab_settings(self.gateways)
        self.plans = {p.name: p for p in self.settings.plans}
        self.terms = Terms(**shape.get("terms", {}))
        self.seconds: float = shape.get("seconds", 20.0)
        self.start: float = shape.get("start", 0.0)
        self.counters = [ModelCounter(self.kernel, f"127.0.0.1:{9000 + n}") for n in range(2)]
        self.counting = [c.name for c in self.counters[: shape.get("counters", 1)]]
        self.troubled: list[tuple[str, float, float]] = []  # what, from, until
        slack = max(self.settings.most_units, 0.1 * max(p.ceiling_depth for p in self.settings.plans))
        self.oracle = QuotaOracle(self.terms, self.troubles_in, slack)
        self.nodes = [GatewayNode(self, n) for n in range(self.gateways)]
        self.asked: dict[int, tuple[str, float, int]] = {}  # requests: customer, units, attempts
        self.requests = 0
        self.customers: dict[str, dict[str, Any]] = {}
        self.counts = {"tries": 0, "passed": 0, "refused": 0, "with_room": 0}
        self.passed_in: dict[tuple[str, int], float] = {}  # units by customer and epoch

    def now(self) -> float:
        """The shared clock."""
        return BEGIN + self.start + self.kernel.now

    def settled_before(self, node: GatewayNode) -> float:
        """Seconds for which a gateway's first life is taken to have run already: its ceilings are full."""
        return 60.0 if node.life == 1 else 0.0

    # troubles

    def troubles_in(self, epoch: int) -> list[str]:
        return [
            what
            for what, begin, end in self.troubled
            if begin <= (epoch + 1) * EPOCH and end + TOUCHES >= epoch * EPOCH
        ]

    def trouble(self, what: str, seconds: float = 0.0) -> None:
        self.troubled.append((what, self.now(), self.now() + seconds))

    def trouble_now(self) -> str:
        now = self.now()
        for what, begin, end in reversed(self.troubled):
            if begin <= now <= end + TOUCHES:
                return what
        return NO_TROUBLE

    def do(self, step: Step) -> None:
        now, args = self.kernel.now, step.args
        self.trace.add(Fault(now, step.what, step.who, step.seconds))
        if self.coverage is not None:
            self.coverage.record(step.what, self.trouble_now())
        counter = self.counters[args.get("counter", 0)]
        if step.what == "outage":
            how = args.get("how", "lost")
            setattr(counter, f"{how}_until", now + step.seconds)
            self.trouble("deaf" if how == "deaf" else "silent", step.seconds)
            back = args.get("back", "kept")
            if back != "kept":
                self.kernel.at(now + step.seconds, self.come_back, counter, back, args.get("age", 0.0))
        elif step.what == "slow":
            counter.slow_factor, counter.slow_until = args.get("factor", 4.0), now + step.seconds
            self.trouble("slow", step.seconds)
        elif step.what == "swap":
            self.come_back(counter, "empty", 0.0)
        elif step.what == "back":
            self.come_back(counter, "stale", args.get("age", 5.0))
        elif step.what == "split":
            others = frozenset(f"g{n}" for n in args.get("other", []))
            counter.storage.split(others)
            self.trouble("split", step.seconds)
            self.kernel.at(now + step.seconds, counter.storage.rejoin, bool(args.get("keep", 0)))
        elif step.what == "cut":
            counter.cut[step.who] = now + step.seconds
            self.trouble("cut", step.seconds)
        elif step.what in ("kill", "stop"):
            node = self.nodes[int(step.who[1:])]
            if not node.alive:
                return
            self.trouble("killed", step.seconds)
            if step.what == "kill":
                node.die()
            else:
                node.stop()
            self.kernel.at(now + max(step.seconds, 0.4), self.revive, node)
        elif step.what == "move":
            places = [self.counters[n].name for n in args.get("counters", [0])]
            self.trouble("moved", 1.0)
            for node in self.nodes:
                self.kernel.at(now + 0.3 * node.number, self.move, node, places)

    def move(self, node: GatewayNode, places: list[str]) -> None:
        self.counting = places
        if node.alive:
            node.move(places)

    def come_back(self, counter: ModelCounter, back: str, age: float) -> None:
        if back == "empty":
            counter.storage.clear()
        else:
            counter.storage.roll_back(age)
        self.trouble(back)

    def revive(self, node: GatewayNode) -> None:
        if not node.alive:
            node.start()

    # traffic

    def ask(self, name: str) -> None:
        kernel, told = self.kernel, self.customers[name]
        if kernel.now > self.seconds - QUIET_END:
            return
        chance = told["chance"]
        kernel.at(kernel.now + chance.expovariate(told["tries"]), self.ask, name)
        width: int = told["width"]
        turn = int(kernel.now / self.shape.get("turn_every", 5.0) + told["number"]) % width
        at = turn if chance.random() < told["uneven"] else chance.randrange(width)
        units = float(chance.randint(1, told["units"]))
        for n in range(width):
            node = self.nodes[(told["first"] + (at + n) % width) % self.gateways]
            if node.alive and not node.leaving:
                break
        else:
            return
        self.requests += 1
        self.asked[self.requests] = name, units, 0
        self.counts["tries"] += 1
        self.oracle.on_request(self.trouble_now())
        node.tell(
            Request(
                self.requests,
                "lookup",
                told["plan"],
                name,
                node.clock() + 8.0,
                units,
                width,
                told["first"],
                False,
            )
        )

    def sent(self, node: GatewayNode, action: Send) -> None:
        name, units, attempts = self.asked[action.request]
        self.asked[action.request] = name, units, attempts + 1
        if attempts == 0:
            now = self.now()
            self.counts["passed"] += 1
            self.oracle.on_sent(name, units, now)
            key = name, int(now // EPOCH)
            self.passed_in[key] = self.passed_in.get(key, 0.0) + units
            self.trace.add(Written(self.kernel.now, action.request, 0, action.backend, name, (node.name,)))
            if self.oracle.breached_ceilings:
                raise Broken("ceiling", self.kernel.now, f"{self.oracle.breached_ceilings[0]}")
        took = 0.02 + 0.06 * node.world.customers[name]["chance"].random()
        node.after(
            took,
            node.tell,
            AttemptEnded(action.request, attempts, action.backend, Outcome.SERVED, took, True, 0.0, ()),
        )

    def turned_away(self, request: int) -> None:
        name, units, attempts = self.asked[request]
        if attempts:
            return
        self.counts["refused"] += 1
        trouble = self.trouble_now()
        had = self.oracle.on_refused(name, units, self.now(), trouble)
        self.counts["with_room"] += had
        told = self.customers[name]
        if had and told["asks"] <= STEADY and self.calm():
            raise Broken(
                "starved",
                self.kernel.now,
                f"{name} asks for {told['asks']:.2f} of its quota and is refused in calm",
            )

    def calm(self) -> bool:
        """No trouble for long, nor in this epoch: nothing that was unsure is left."""
        now = self.now()
        last = max((end for _, _, end in self.troubled), default=-math.inf)
        return (
            self.kernel.now > CALM_AFTER
            and now > max(last + CALM_AFTER, math.floor(now / EPOCH) * EPOCH + TOUCHES)
            and last < now // EPOCH * EPOCH
        )

    # a run

    def run(self) -> dict[str, float]:
        """Plays it to its end; Broken for the first rule that does not hold."""
        for number, told in enumerate(self.shape.get("customers", [])):
            name = f"c{number}"
            plan = self.plans[told["plan"]]
            width = min(told["width"], self.gateways)
            mean = (1 + told["units"]) / 2
            self.customers[name] = {
                **told,
                "number": number,
                "width": width,
                "chance": self.kernel.stream(f"customer {name}"),
                "asks": told["tries"] * mean / plan.rate,
            }
            case: Case = case_of(plan, self.settings, width)
            self.oracle.add(name, Customer(case, plan.ceiling_rate, plan.ceiling_depth), self.now())
        for node in self.nodes:
            self.kernel.at(0.001 * node.number, node.start)
        for name in self.customers:
            begin = WARM_UP + self.customers[name]["chance"].random()
            self.kernel.at(begin, self.ask, name)
        for step in self.schedule.steps:
            self.kernel.at(step.at, self.do, step)
        self.kernel.run(self.seconds)
        if self.in_quiet():
            self.check_told()
            self.check_charges()
        worst, over = 0.0, 0.0
        for finding in self.oracle.finish():
            worst = max(worst, finding.peak_backlog / finding.bound)
            over = max(over, finding.peak_backlog - self.oracle.customers[finding.customer].case.burst)
            if finding.peak_backlog > finding.bound + 1e-6:
                raise Broken(
                    "quota",
                    self.kernel.now,
                    f"{finding.customer} had {finding.peak_backlog:.1f} units beyond rate * time in a window "
                    f"of epoch {finding.epoch}, {finding.bound:.1f} are stated "
                    f"({', '.join(self.troubles_in(finding.epoch)) or 'no trouble'})",
                )
        return {
            "tries": self.counts["tries"],
            "events": self.kernel.events,
            "lowest": self.oracle.lowest_ceiling_level,
            "worst": worst,
            "over": over,
            "with_room": self.counts["with_room"],
            "calls": sum(c.calls for c in self.counters),
        }

    def in_quiet(self) -> bool:
        """All troubles are over, and whoever owes had the time to tell it."""
        settled = self.now() - TOUCHES - self.terms.settle - QUIET_END
        kept: bool = self.shape.get("keeper", True)
        return kept and all(end < settled for _, _, end in self.troubled)

    def compounded(self, case: Case) -> float:
        """What may be unknown where losses meet: each beyond the first takes along what is unsure then."""
        named = [what for what, _, _ in self.troubled]
        losses = sum(named.count(what) for what in ("empty", "stale", "split"))
        if losses:  # what a dead one had told, nobody tells anew; what moves meanwhile may be told twice
            losses += ("killed" in named) + named.count("moved")
        return max(losses - 1, 0) * excess("empty", case, self.terms)

    def check_told(self) -> None:
        """What was passed on stands in the sums: no gateway believes in more room than there is.

        But for what others are unsure of, and what was killed with a gateway before it was told. Two losses
        within two beats are not judged: what is told anew after the first goes with the second.
        """
        now = self.now()
        losses = sorted(end for what, _, end in self.troubled if what in ("empty", "stale", "split"))
        if any(later - earlier < 2.5 for earlier, later in itertools.pairwise(losses)):
            return
        epoch, begin = int(now // EPOCH), math.floor(now / EPOCH) * EPOCH
        if begin > BEGIN + self.start and self.shape.get("skew", 0.0):
            return  # near the turn, clocks that differ put the same use into different epochs
        killed = sum(what == "killed" for what, _, _ in self.troubled)
        for name, customer in self.oracle.customers.items():
            case, told = customer.case, self.customers[name]
            debt = (
                customer.backlog - case.rate * (now - customer.backlog_at) if customer.epoch == epoch else 0.0
            )
            members = [self.nodes[(told["first"] + n) % self.gateways] for n in range(told["width"])]
            uncertain_units = {}
            for node in members:
                counter = node.keeper.counter_for(f"{name}.{epoch}") if node.alive and node.keeper else None
                account = counter.accounts.get(f"{name}.{epoch}") if counter is not None else None
                uncertain_units[node] = account.uncertain_units if account is not None else 0.0
            for node in members:
                if not node.alive or node.keeper is None:
                    continue
                counter = node.keeper.counter_for(f"{name}.{epoch}")
                total = next(c for c in self.counters if c.name == counter.address).storage.sums.entries.get(
                    f"{name}.{epoch}", (0.0, 0.0)
                )[0]
                action = Count(f"{name}.{epoch}", 0.0, EPOCH, told["first"], told["width"], case.rate, True)
                believed = node.keeper.trusted_sum(
                    counter, counter.accounts.get(action.name), action, total, now
                )
                room = min(case.burst, case.burst + case.rate * (now - begin) - believed)
                others = sum(units for other, units in uncertain_units.items() if other is not node)
                allowed = others + killed * excess("killed", case, self.terms)
                allowed += case.untrimmed + case.rate * FRESH + self.settings.most_units
                allowed += self.compounded(case)
                if room > case.burst - max(debt, 0.0) + allowed + 1e-6:
                    raise Broken(
                        "told",
                        self.kernel.now,
                        f"{node.name} believes that {name} has {room:.1f} units left; it has "
                        f"{case.burst - max(debt, 0.0):.1f}, and {allowed:.1f} may be unknown",
                    )

    def check_charges(self) -> None:
        """No sum stands far above what was passed on: nothing lost was told twice.

        What may stand above is a part of a burst: two gateways may put a sum right at the same moment.
        """
        now = self.now()
        epoch = int(now // EPOCH)
        for name, customer in self.oracle.customers.items():
            case = customer.case
            for counter in self.counters:
                if counter.name not in self.counting:
                    continue
                total = counter.storage.sums.entries.get(f"{name}.{epoch}", (0.0, 0.0))[0]
                room = self.oracle.remaining_units(customer, now)
                above = total - case.rate * (now - epoch * EPOCH) + room - case.burst
                allowed = CHARGE_SLACK * case.burst + self.settings.most_units + self.unrepaid(name)
                allowed += self.compounded(case)
                if above > allowed:
                    raise Broken(
                        "charge",
                        self.kernel.now,
                        f"{name} is charged {above:.1f} units more than it used; {allowed:.1f} may be",
                    )

    def unrepaid(self, name: str) -> float:
        """Units beyond the quota that were passed on and are rightly paid back."""
        customer = self.oracle.customers[name]
        return max(customer.backlog - customer.case.rate * (self.now() - customer.backlog_at), 0.0)


def play(
    schedule: Schedule, *, trace: Trace | None = None, coverage: Coverage | None = None
) -> dict[str, float]:
    """Plays a schedule; raises Broken, or tells figures."""
    return World(schedule, trace=trace, coverage=coverage).run()
