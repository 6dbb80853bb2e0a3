"""Simulates gateways that share counters by a schedule, and checks the requests they send. No I/O.

Kinds of steps: outage (`how`: lost, refused, deaf or busy, for `seconds`; `back`: then its sums are kept,
empty or stale by `age`), slow (by `factor`), swap (to an empty counter), back (to the sums of `age` ago, at
once), split (`seconds`, `other`: gateways of the other half, `keep`: whose sums are kept), cut (`who`), kill
(`who`, for `seconds`), stop (the same in order), move (to `counters`).
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
from embersill.counting.keeper import Step as KeeperStep
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

EPOCH_START_S = 6000.0  # start of an epoch by the clocks; a shape's `start` is added to it
NO_TROUBLE = "none"
AFTERMATH_S = 4.0  # after a trouble's end, for which refusals are still attributed to it
CALM_AFTER_S = 12.0  # without trouble, in an epoch that had none, from which no customer may be starved
STEADY_SHARE = 0.5  # of its quota, up to which a customer's demand must never be refused then
WARM_UP_S = 5.0  # in which gateways run before any request, as in a deployment after its first start
DRAIN_S = 2.0  # without requests at a run's end: all use has been reported by then
CHARGE_SLACK_BURSTS = 0.75  # by which a sum may exceed the use: see `check_charges`
BACKENDS = tuple(Backend(f"b{n}", "z", "k", 0, Status.SERVING, 1.0, None) for n in range(4))


class GatewayNode(Node):
    """A gateway: the module, its keeper (or none, as in earlier versions), timers and calls."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(world.kernel, f"g{number}")
        self.world, self.number = world, number
        self.gateway: Gateway
        self.keeper: Keeper | None = None
        self.events: list[Event] = []
        self.handling = False
        self.call_start_times: dict[int, float] = {}  # of calls in flight
        self.call_count = 0
        self.leaving = False

    def start(self) -> None:
        """Starts a new life of the gateway."""
        world = self.world
        shape = world.shape
        skew = shape.get("skew", 0.0) * (self.number / max(world.gateways - 1, 1) - 0.5)
        self.begin_life(0.0, EPOCH_START_S + shape.get("start", 0.0) + skew)
        now = self.clock()
        seed = world.kernel.stream(f"{self.name} {self.life}").getrandbits(32)
        with_keeper: bool = shape.get("keeper", True)
        self.gateway = Gateway(
            replace(world.settings, me=self.number), seed, now - world.initial_age_s(self), repays=with_keeper
        )
        self.call_start_times, self.leaving = {}, False
        self.keeper = (
            Keeper(world.terms, self.number, world.gateways, world.counter_addresses) if with_keeper else None
        )
        self.handle(BackendList(ListKind.WHOLE, BACKENDS))
        if self.keeper is not None:
            self.beat()

    def stop(self) -> None:
        """Stops in order: announces it by marks, and waits for answers to calls in flight."""
        if self.keeper is not None and not self.leaving:
            self.leaving = True
            self.perform(self.keeper.leave(self.clock()))
        self.after(0.3, self.crash)

    def crash(self) -> None:
        """Ends without notice."""
        self.alive = False

    # the module

    def handle(self, event: Event) -> None:
        """Passes an event to the module and executes its actions; nested events wait their turn."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.gateway.handle(self.events.pop(0), self.clock()):
                self.execute(action)
        self.handling = False

    def execute(self, action: Action) -> None:
        """Executes an action of the module."""
        if isinstance(action, SetTimer):
            self.after(action.delay, self.handle, TimerDue(action.key))
        elif isinstance(action, Send):
            self.world.on_send(self, action)
        elif isinstance(action, Refuse | Fail):
            self.world.on_refusal(action.request)
        elif isinstance(action, Count):
            if self.keeper is not None:
                self.perform(self.keeper.count(action, self.clock()))
            else:
                self.call_without_keeper(action)

    def call_without_keeper(self, action: Count) -> None:
        """Earlier versions: one counter, and one result for each call, at its timeout at the latest."""

        def on_end(outcome: Outcome, total: float, elapsed: float) -> None:
            self.handle(CounterResult(action.name, outcome, elapsed, total))

        self.make_call(self.world.counters[0], action.name, action.amount, action.forget_after, on_end, None)

    def perform(self, steps: list[KeeperStep]) -> None:
        """Executes what the keeper returned."""
        for step in steps:
            if isinstance(step, Call):
                self.call_for_keeper(step)
            else:
                self.handle(step)

    def call_for_keeper(self, call: Call) -> None:
        """Makes a call, and reports its result or its late answer to the keeper."""
        keeper = self.keeper
        assert keeper is not None

        def on_end(outcome: Outcome, total: float, elapsed: float) -> None:
            self.perform(keeper.answered(call.id, outcome, elapsed, total, self.clock()))

        counter = next(c for c in self.world.counters if c.name == call.place)
        self.make_call(
            counter,
            call.name,
            call.amount,
            call.forget_after,
            on_end,
            lambda: keeper.late(call.id, self.clock()),
        )

    def make_call(
        self,
        counter: ModelCounter,
        name: str,
        amount: float,
        ttl: float,
        on_end: Callable[[Outcome, float, float], None],
        on_late: Callable[[], None] | None,
    ) -> None:
        """Calls a counter; `on_end` runs once, `on_late` for an answer after the timeout."""
        timeout_s = self.world.settings.counter_patience
        finished, life = [False], self.life

        def on_result(outcome: Outcome, total: float, elapsed: float) -> None:
            if not self.alive or self.life != life:
                return
            if finished[0]:
                if on_late is not None and outcome is Outcome.SERVED:
                    on_late()
                return
            finished[0] = True
            on_end(outcome, total, elapsed)

        def on_timeout() -> None:
            if not finished[0]:
                finished[0] = True
                on_end(Outcome.TIMED_OUT, 0.0, timeout_s)

        self.after(timeout_s, on_timeout)
        counter.call(self.name, name, amount, ttl, on_result)

    def beat(self) -> None:
        """Runs the keeper's beat, and schedules the next one."""
        assert self.keeper is not None
        now = self.clock()
        if not self.leaving:
            self.perform(self.keeper.beat(now))
        self.after(max(self.keeper.next_beat(now) - now, 0.01), self.beat)

    def move(self, places: list[str]) -> None:
        """Uses the counters at these addresses from now on."""
        if self.keeper is not None:
            self.perform(self.keeper.move(places, self.clock()))


class World:
    """One run. Keys of the shape: gateways, counters (how many are used at first), customers (plan, width,
    first gateway, tries a second, units, and `uneven`: share of requests to the busiest gateway), seconds,
    start (in the epoch), skew, keeper, terms, turn_every (seconds after which the busiest gateways change).
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
        self.counter_addresses = [c.name for c in self.counters[: shape.get("counters", 1)]]
        self.troubled: list[tuple[str, float, float]] = []  # kind, start, end
        slack = max(self.settings.most_units, 0.1 * max(p.ceiling_depth for p in self.settings.plans))
        self.oracle = QuotaOracle(self.terms, self.troubles_in, slack)
        self.nodes = [GatewayNode(self, n) for n in range(self.gateways)]
        self.requests: dict[int, tuple[str, float, int]] = {}  # by number: customer, units, attempts
        self.request_count = 0
        self.customers: dict[str, dict[str, Any]] = {}
        self.counts = {"tries": 0, "passed": 0, "refused": 0, "with_room": 0}
        self.sent_units: dict[tuple[str, int], float] = {}  # units by customer and epoch

    def now(self) -> float:
        """Returns the time of the shared clock."""
        return EPOCH_START_S + self.start + self.kernel.now

    def initial_age_s(self, node: GatewayNode) -> float:
        """Returns for how long a gateway is taken to have run: a first life starts with full ceilings."""
        return 60.0 if node.life == 1 else 0.0

    # troubles

    def troubles_in(self, epoch: int) -> list[str]:
        """Returns the kind of each trouble that touched an epoch."""
        return [
            kind
            for kind, begin, end in self.troubled
            if begin <= (epoch + 1) * EPOCH and end + AFTERMATH_S >= epoch * EPOCH
        ]

    def record_trouble(self, kind: str, seconds: float = 0.0) -> None:
        """Records a trouble that starts now."""
        self.troubled.append((kind, self.now(), self.now() + seconds))

    def current_trouble(self) -> str:
        """Returns the kind of the latest trouble that still has effects."""
        now = self.now()
        for kind, begin, end in reversed(self.troubled):
            if begin <= now <= end + AFTERMATH_S:
                return kind
        return NO_TROUBLE

    def apply(self, step: Step) -> None:
        """Applies a step of the schedule."""
        now, args = self.kernel.now, step.args
        self.trace.add(Fault(now, step.what, step.who, step.seconds))
        if self.coverage is not None:
            self.coverage.record(step.what, self.current_trouble())
        counter = self.counters[args.get("counter", 0)]
        if step.what == "outage":
            how = args.get("how", "lost")
            setattr(counter, f"{how}_until", now + step.seconds)
            self.record_trouble("deaf" if how == "deaf" else "silent", step.seconds)
            back = args.get("back", "kept")
            if back != "kept":
                self.kernel.at(now + step.seconds, self.lose_sums, counter, back, args.get("age", 0.0))
        elif step.what == "slow":
            counter.slow_factor, counter.slow_until = args.get("factor", 4.0), now + step.seconds
            self.record_trouble("slow", step.seconds)
        elif step.what == "swap":
            self.lose_sums(counter, "empty", 0.0)
        elif step.what == "back":
            self.lose_sums(counter, "stale", args.get("age", 5.0))
        elif step.what == "split":
            others = frozenset(f"g{n}" for n in args.get("other", []))
            counter.storage.split(others)
            self.record_trouble("split", step.seconds)
            self.kernel.at(now + step.seconds, counter.storage.rejoin, bool(args.get("keep", 0)))
        elif step.what == "cut":
            counter.cut[step.who] = now + step.seconds
            self.record_trouble("cut", step.seconds)
        elif step.what in ("kill", "stop"):
            node = self.nodes[int(step.who[1:])]
            if not node.alive:
                return
            self.record_trouble("killed", step.seconds)
            if step.what == "kill":
                node.crash()
            else:
                node.stop()
            self.kernel.at(now + max(step.seconds, 0.4), self.restart, node)
        elif step.what == "move":
            places = [self.counters[n].name for n in args.get("counters", [0])]
            self.record_trouble("moved", 1.0)
            for node in self.nodes:
                self.kernel.at(now + 0.3 * node.number, self.move, node, places)

    def move(self, node: GatewayNode, places: list[str]) -> None:
        """Moves a gateway to other counters."""
        self.counter_addresses = places
        if node.alive:
            node.move(places)

    def lose_sums(self, counter: ModelCounter, back: str, age: float) -> None:
        """Loses all sums of a counter, or those of the last `age` seconds."""
        if back == "empty":
            counter.storage.clear()
        else:
            counter.storage.roll_back(age)
        self.record_trouble(back)

    def restart(self, node: GatewayNode) -> None:
        """Starts a gateway that is down."""
        if not node.alive:
            node.start()

    # traffic

    def request(self, name: str) -> None:
        """Sends a customer's request to a gateway, and schedules the next one."""
        kernel, customer = self.kernel, self.customers[name]
        if kernel.now > self.seconds - DRAIN_S:
            return
        rng = customer["chance"]
        kernel.at(kernel.now + rng.expovariate(customer["tries"]), self.request, name)
        width: int = customer["width"]
        turn = int(kernel.now / self.shape.get("turn_every", 5.0) + customer["number"]) % width
        position = turn if rng.random() < customer["uneven"] else rng.randrange(width)
        units = float(rng.randint(1, customer["units"]))
        for n in range(width):
            node = self.nodes[(customer["first"] + (position + n) % width) % self.gateways]
            if node.alive and not node.leaving:
                break
        else:
            return
        self.request_count += 1
        self.requests[self.request_count] = name, units, 0
        self.counts["tries"] += 1
        self.oracle.on_request(self.current_trouble())
        node.handle(
            Request(
                self.request_count,
                "lookup",
                customer["plan"],
                name,
                node.clock() + 8.0,
                units,
                width,
                customer["first"],
                False,
            )
        )

    def on_send(self, node: GatewayNode, action: Send) -> None:
        """Records an attempt, and ends it after a while."""
        name, units, attempts = self.requests[action.request]
        self.requests[action.request] = name, units, attempts + 1
        if attempts == 0:
            now = self.now()
            self.counts["passed"] += 1
            self.oracle.on_sent(name, units, now)
            key = name, int(now // EPOCH)
            self.sent_units[key] = self.sent_units.get(key, 0.0) + units
            self.trace.add(Written(self.kernel.now, action.request, 0, action.backend, name, (node.name,)))
            if self.oracle.breached_ceilings:
                raise Broken("ceiling", self.kernel.now, f"{self.oracle.breached_ceilings[0]}")
        elapsed = 0.02 + 0.06 * node.world.customers[name]["chance"].random()
        node.after(
            elapsed,
            node.handle,
            AttemptEnded(action.request, attempts, action.backend, Outcome.SERVED, elapsed, True, 0.0, ()),
        )

    def on_refusal(self, request: int) -> None:
        """Records a refusal; Broken if the customer is starved."""
        name, units, attempts = self.requests[request]
        if attempts:
            return
        self.counts["refused"] += 1
        trouble = self.current_trouble()
        had_room = self.oracle.on_refused(name, units, self.now(), trouble)
        self.counts["with_room"] += had_room
        customer = self.customers[name]
        if had_room and customer["asks"] <= STEADY_SHARE and self.is_calm():
            raise Broken(
                "starved",
                self.kernel.now,
                f"{name} asks for {customer['asks']:.2f} of its quota and is refused without any trouble",
            )

    def is_calm(self) -> bool:
        """Whether no uncertainty is left: no trouble for long, and none in this epoch."""
        now = self.now()
        last_end = max((end for _, _, end in self.troubled), default=-math.inf)
        return (
            self.kernel.now > CALM_AFTER_S
            and now > max(last_end + CALM_AFTER_S, math.floor(now / EPOCH) * EPOCH + AFTERMATH_S)
            and last_end < now // EPOCH * EPOCH
        )

    # a run

    def run(self) -> dict[str, float]:
        """Runs the schedule to its end and returns figures; Broken for the first rule that is violated."""
        for number, customer in enumerate(self.shape.get("customers", [])):
            name = f"c{number}"
            plan = self.plans[customer["plan"]]
            width = min(customer["width"], self.gateways)
            mean_units = (1 + customer["units"]) / 2
            self.customers[name] = {
                **customer,
                "number": number,
                "width": width,
                "chance": self.kernel.stream(f"customer {name}"),
                "asks": customer["tries"] * mean_units / plan.rate,
            }
            case: Case = case_of(plan, self.settings, width)
            self.oracle.add(name, Customer(case, plan.ceiling_rate, plan.ceiling_depth), self.now())
        for node in self.nodes:
            self.kernel.at(0.001 * node.number, node.start)
        for name in self.customers:
            first_at = WARM_UP_S + self.customers[name]["chance"].random()
            self.kernel.at(first_at, self.request, name)
        for step in self.schedule.steps:
            self.kernel.at(step.at, self.apply, step)
        self.kernel.run(self.seconds)
        if self.is_settled():
            self.check_reported()
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
                    f"of epoch {finding.epoch}, the stated bound is {finding.bound:.1f} "
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

    def is_settled(self) -> bool:
        """Whether all troubles are over, and gateways had time to report the use that they still owed."""
        settled_at = self.now() - AFTERMATH_S - self.terms.settle - DRAIN_S
        with_keeper: bool = self.shape.get("keeper", True)
        return with_keeper and all(end < settled_at for _, _, end in self.troubled)

    def compound_excess(self, case: Case) -> float:
        """Returns the units that several losses may leave unknown: each further one adds those uncertain."""
        kinds = [kind for kind, _, _ in self.troubled]
        losses = sum(kinds.count(kind) for kind in ("empty", "stale", "split"))
        if losses:  # nobody restores a crashed gateway's use; use that moves meanwhile may be added twice
            losses += ("killed" in kinds) + kinds.count("moved")
        return max(losses - 1, 0) * excess("empty", case, self.terms)

    def check_reported(self) -> None:
        """The sums contain all use: no gateway assumes that more of a quota is left than there is.

        Except for what other gateways are uncertain of, and use that was not reported before a crash. Two
        losses within two beats are not checked: what is restored after the first is lost with the second.
        """
        now = self.now()
        losses = sorted(end for kind, _, end in self.troubled if kind in ("empty", "stale", "split"))
        if any(later - earlier < 2.5 for earlier, later in itertools.pairwise(losses)):
            return
        epoch, begin = int(now // EPOCH), math.floor(now / EPOCH) * EPOCH
        if begin > EPOCH_START_S + self.start and self.shape.get("skew", 0.0):
            return  # near the turn of an epoch, clocks that differ put the same use into different epochs
        crashes = sum(kind == "killed" for kind, _, _ in self.troubled)
        for name, customer in self.oracle.customers.items():
            case, parameters = customer.case, self.customers[name]
            backlog = (
                customer.backlog - case.rate * (now - customer.backlog_at) if customer.epoch == epoch else 0.0
            )
            members = [
                self.nodes[(parameters["first"] + n) % self.gateways] for n in range(parameters["width"])
            ]
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
                action = Count(
                    f"{name}.{epoch}", 0.0, EPOCH, parameters["first"], parameters["width"], case.rate, True
                )
                assumed_sum = node.keeper.trusted_sum(
                    counter, counter.accounts.get(action.name), action, total, now
                )
                remaining = min(case.burst, case.burst + case.rate * (now - begin) - assumed_sum)
                others = sum(units for other, units in uncertain_units.items() if other is not node)
                allowed = others + crashes * excess("killed", case, self.terms)
                allowed += case.untrimmed + case.rate * FRESH + self.settings.most_units
                allowed += self.compound_excess(case)
                if remaining > case.burst - max(backlog, 0.0) + allowed + 1e-6:
                    raise Broken(
                        "told",
                        self.kernel.now,
                        f"{node.name} assumes that {name} has {remaining:.1f} units left; there are "
                        f"{case.burst - max(backlog, 0.0):.1f}, and {allowed:.1f} may be unknown to it",
                    )

    def check_charges(self) -> None:
        """No sum is much higher than the use: nothing lost was added twice.

        It may be higher by part of a burst: two gateways may correct a sum at the same moment.
        """
        now = self.now()
        epoch = int(now // EPOCH)
        for name, customer in self.oracle.customers.items():
            case = customer.case
            for counter in self.counters:
                if counter.name not in self.counter_addresses:
                    continue
                total = counter.storage.sums.entries.get(f"{name}.{epoch}", (0.0, 0.0))[0]
                remaining = self.oracle.remaining_units(customer, now)
                excess_units = total - case.rate * (now - epoch * EPOCH) + remaining - case.burst
                allowed = (
                    CHARGE_SLACK_BURSTS * case.burst + self.settings.most_units + self.units_over_quota(name)
                )
                allowed += self.compound_excess(case)
                if excess_units > allowed:
                    raise Broken(
                        "charge",
                        self.kernel.now,
                        f"{name} is charged {excess_units:.1f} units over its use, limit {allowed:.1f}",
                    )

    def units_over_quota(self, name: str) -> float:
        """Returns the units beyond the quota that were sent, and are rightly charged afterwards."""
        customer = self.oracle.customers[name]
        return max(customer.backlog - customer.case.rate * (self.now() - customer.backlog_at), 0.0)


def play(
    schedule: Schedule, *, trace: Trace | None = None, coverage: Coverage | None = None
) -> dict[str, float]:
    """Runs a schedule; raises Broken, or returns figures."""
    return World(schedule, trace=trace, coverage=coverage).run()
