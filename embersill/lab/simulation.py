"""Seeded schedules of the two levels without a socket: the cores, and a network and clocks that go wrong.

One seed is one schedule: the same faults at the same moments, so a failing one replays alone
(`python -m embersill.lab schedules --seed N`). Planners are killed, paused and cut off; forwarders are killed
and paused; links lose, double and reorder frames or bring them seconds late, each end seeing it on its own;
clocks run apart and every life of a process has another; backends drain, fail and spoil. After every step the
five rules are checked against what really happened, which no core sees.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from embersill.interface import (
    Action, AttemptEnded, Backend, BackendList, Cancel, ClientLeft, Event, Fail, ListKind, Outcome, Refuse,
    Repeats, Request, Send, SetTimer, Settings, Status, TimerDue,
)
from embersill.lab.settings import lab_settings
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.messages import AnyMessage, BadFrame, Batch
from embersill.tiers.planner import Planner, Session
from embersill.tiers.terms import DRIFT, Terms
from embersill.tiers.wire import FrameReader, Numbers, pack

PARTS = 8
EARLY, GUARD = 0.1, 0.05  # as the driver's: seconds before a client's end
DRAIN_GRACE = 0.5
CEILING_SLACK_TIME = 0.15  # seconds of a ceiling's rate that its slack is wider by
OUTCOMES = ((Outcome.SERVED, 0.8), (Outcome.ERROR, 0.05), (Outcome.BROKEN, 0.05),
            (Outcome.TURNED_AWAY, 0.06), (Outcome.NO_CONNECTION, 0.04))


class Broken(Exception):
    """A rule was broken; the text says which and when."""


@dataclass
class Truth:
    """What really happened, and what the rules say of it."""

    ceiling_rate: float
    ceiling_depth: float
    slack: float
    levels: dict[str, tuple[float, float]] = field(default_factory=dict)  # customer: (level, when)
    lowest: float = float("inf")
    told: dict[tuple[str, str], float] = field(default_factory=dict)  # (node, backend): drain told
    answers: dict[int, int] = field(default_factory=dict)
    runs: dict[int, list[tuple[str, int, float, Outcome | None]]] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=lambda: {
        "tries": 0, "served": 0, "refused": 0, "failed": 0, "written": 0, "guarded": 0, "taken_over": 0})


class Node:
    """A process: its own clock, and a time in which it does not run."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.life = 0
        self.alive = False
        self.paused_until = 0.0
        self.rate, self.offset = 1.0, 0.0

    def new_clock(self) -> None:
        self.life += 1
        self.alive = True
        self.rate = 1.0 + self.world.random.uniform(-DRIFT / 2, DRIFT / 2) * 0.95
        self.offset = self.world.random.uniform(0.0, 1e6)

    def clock(self) -> float:
        return self.offset + self.rate * self.world.now

    def after(self, local_delay: float, call: Callable[[], None]) -> None:
        """Calls back once so much time has gone by on this node's clock, unless its life is over by then."""
        life = self.life

        def due() -> None:
            if self.alive and self.life == life:
                if self.paused_until > self.world.now:
                    self.world.at(self.paused_until, due)
                else:
                    call()

        self.world.at(self.world.now + max(local_delay, 0.0) / self.rate, due)


class Wire:
    """One connection between a forwarder and a planner: frames in order, until either end sees it broken."""

    def __init__(self, world: World, forwarder: ForwarderNode, planner: PlannerNode) -> None:
        self.world, self.forwarder, self.planner = world, forwarder, planner
        self.ends: dict[Node, bool] = {forwarder: True, planner: True}  # whether each still has it open
        self.numbers = {forwarder: Numbers(), planner: Numbers()}
        self.last = {forwarder: 0.0, planner: 0.0}  # arrival of the last frame towards each
        self.session: Session | None = None

    def other(self, node: Node) -> Node:
        return self.planner if node is self.forwarder else self.forwarder

    def latency(self) -> float:
        rng = self.world.random
        if self.world.faults_on and rng.random() < 0.004:
            return rng.uniform(0.05, 2.0)
        return rng.uniform(0.0002, 0.004)

    def carry(self, to: Node, call: Callable[[], None]) -> None:
        """Brings something to an end of the wire, behind all that went before it."""
        def arrive() -> None:
            if self.world.is_cut(self):
                self.world.at(self.world.now + 0.05, arrive)  # the network tries again
            elif self.ends[to]:
                to.after(0.0, lambda: call() if self.ends[to] else None)

        self.last[to] = max(self.last[to] + 1e-6, self.world.now + self.latency())
        self.world.at(self.last[to], arrive)

    def send(self, sender: Node, messages: list[AnyMessage], basis: int = 0, acked: int = 0) -> None:
        if not self.ends[sender]:
            return
        to, numbers, rng = self.other(sender), self.numbers[sender], self.world.random
        numbers.sent += 1
        text = pack(Batch(numbers.sent, basis, acked, messages))
        if self.world.faults_on and rng.random() < 0.001:
            return self.carry(to, lambda: self.deliver(to, text + text))  # doubled
        if self.world.faults_on and rng.random() < 0.001:
            return None  # lost, and the stream goes on as if nothing had been: no TCP does that
        return self.carry(to, lambda: self.deliver(to, text))

    def deliver(self, to: Node, text: bytes) -> None:
        try:
            for frame in FrameReader(1 << 20).feed(text):
                batch = self.numbers[to].read(frame)
                if isinstance(to, PlannerNode):
                    to.received(self, batch)
                elif isinstance(to, ForwarderNode):
                    to.received(self, batch)
        except BadFrame:
            self.close(to)

    def close(self, node: Node, reset: bool = True) -> None:
        """One end goes; the other hears of it, behind what is still under way."""
        if not self.ends[node]:
            return
        self.ends[node] = False
        other = self.other(node)
        if node.alive:
            self.hear_end(node)
        if reset:
            self.carry(other, lambda: self.close(other, False))

    def hear_end(self, node: Node) -> None:
        if isinstance(node, PlannerNode):
            node.link_down(self)
        elif isinstance(node, ForwarderNode):
            node.link_down(self)


class PlannerNode(Node):
    core: Planner

    def start(self) -> None:
        self.new_clock()
        world = self.world
        self.core = Planner(
            world.settings, world.random.randrange(1 << 30), self.clock(), forwarders=world.names,
            planners=len(world.planners), parts=PARTS, terms=world.terms)
        self.wires: list[Wire] = []
        world.tell_list(self, whole=True)
        life = self.life

        def tick() -> None:
            if self.life == life:
                self.core.tick(self.clock())
                dead, self.core.dead = self.core.dead, []
                for wire in [w for w in self.wires if w.session in dead]:
                    wire.close(self)
                self.flush()
                self.after(world.terms.beat_every, tick)

        tick()

    def kill(self) -> None:
        self.alive = False
        for wire in self.wires:
            wire.close(self)

    def link_up(self, wire: Wire) -> None:
        for older in [w for w in self.wires if w.forwarder is wire.forwarder]:
            older.close(self)
        wire.session = self.core.link_up(wire.forwarder.name, self.clock())
        self.wires.append(wire)
        self.flush()

    def link_down(self, wire: Wire) -> None:
        if wire in self.wires:
            self.wires.remove(wire)
            assert wire.session is not None
            self.core.link_down(wire.session, self.clock())
            self.flush()

    def received(self, wire: Wire, batch: Batch) -> None:
        assert wire.session is not None
        self.core.received(wire.session, batch, self.clock())
        self.flush()

    def list_told(self, event: BackendList) -> None:
        self.core.list_told(event, self.clock())
        self.flush()

    def flush(self) -> None:
        timers, self.core.timers = self.core.timers, []
        for delay, key in timers:
            self.after(delay, partial(self.timer_due, key, self.clock() + delay))
        for wire in list(self.wires):
            session = wire.session
            if session is not None and (session.outbox or session.acked > session.acked_told):
                wire.send(self, *self.core.said(session))

    def timer_due(self, key: str, due: float) -> None:
        self.core.timer_due(key, due, max(due, self.clock()))
        self.flush()


@dataclass(eq=False)
class Pending:
    """The driver's part of a request."""

    number: int
    request: Request
    born: float  # true time
    end: float  # true time of the client's end
    attempts: list[Try] = field(default_factory=list)
    over: bool = False


@dataclass(eq=False)
class Try:
    backend: str
    place: int
    sent: float
    granted_by: str
    written: float = -1.0
    outcome: Outcome | None = None


class ForwarderNode(Node):
    core: Forwarder

    def start(self) -> None:
        self.new_clock()
        world = self.world
        self.core = Forwarder(
            world.settings, world.random.randrange(1 << 30), self.clock(), forwarders=len(world.names),
            planners=[p.name for p in world.planners], parts=PARTS, terms=world.terms)
        self.wires: dict[str, Wire] = {}
        self.pending: dict[int, Pending] = {}
        self.serving: set[str] = set()
        self.events: list[Event] = []
        self.handling = False
        self.listening = ""  # the planner whose batch is being worked off
        self.paused_at = -1.0
        world.tell_list(self, whole=True)
        for planner in world.planners:
            self.dial(planner)
        life = self.life

        def tick() -> None:
            if self.life == life:
                self.perform(self.core.tick(self.clock()))
                dead, self.core.dead = self.core.dead, []
                for name in dead:
                    if name in self.wires:
                        self.wires[name].close(self)
                self.after(world.terms.beat_every / 4, tick)

        tick()

    def kill(self) -> None:
        self.alive = False
        for wire in list(self.wires.values()):
            wire.close(self)
        for pending in self.pending.values():
            for attempt in pending.attempts:
                if attempt.outcome is None and attempt.written < 0:
                    attempt.outcome = Outcome.NO_CONNECTION
            if not pending.over:
                self.world.truth.answers.pop(pending.number, None)  # the client's to retry

    # links

    def dial(self, planner: PlannerNode) -> None:
        def up() -> None:
            reachable = planner.alive and planner.paused_until <= self.world.now
            if not reachable or self.world.cut.get((self.name, planner.name), 0.0) > self.world.now:
                return self.dial(planner)
            wire = Wire(self.world, self, planner)
            self.wires[planner.name] = wire
            planner.link_up(wire)
            if wire.ends[self]:
                self.perform(self.core.link_up(planner.name, f"{planner.name}.{planner.life}", self.clock()))
            return None

        self.after(self.world.random.uniform(0.02, 0.2), up)

    def link_down(self, wire: Wire) -> None:
        name = wire.planner.name
        if self.wires.get(name) is wire:
            del self.wires[name]
            self.perform(self.core.link_down(name, self.clock()))
            self.dial(wire.planner)

    def received(self, wire: Wire, batch: Batch) -> None:
        self.listening = wire.planner.name
        self.perform(self.core.received(wire.planner.name, batch, self.clock()))
        self.listening = ""
        for backend in self.core.withdrawn:
            self.call_back(backend)
        self.core.withdrawn.clear()

    # the driver

    def list_told(self, event: BackendList) -> None:
        for backend in event.backends:
            if backend.status is Status.SERVING:
                self.serving.add(backend.address)
            else:
                self.serving.discard(backend.address)
                self.call_back(backend.address)
        self.post(event)

    def call_back(self, backend: str) -> None:
        for pending in list(self.pending.values()):
            for attempt in pending.attempts:
                if attempt.backend == backend and attempt.written < 0 and attempt.outcome is None:
                    self.ended(pending, attempt, Outcome.NO_CONNECTION)

    def post(self, event: Event) -> None:
        self.events.append(event)
        if not self.handling:
            self.perform([])

    def perform(self, actions: list[Action]) -> None:
        nested, self.handling = self.handling, True
        for action in actions:
            self.act(action)
        if not nested:
            while self.events:
                for action in self.core.handle(self.events.pop(0), self.clock()):
                    self.act(action)
            self.handling = False
            for name, wire in list(self.wires.items()):
                if self.core.outbox[name]:
                    messages, self.core.outbox[name] = self.core.outbox[name], []
                    wire.send(self, messages)

    def take(self, klass: str, plan: str, customer: str, units: float, budget: float) -> None:
        truth = self.world.truth
        truth.counts["tries"] += 1
        number = truth.counts["tries"]
        now = self.clock()
        request = Request(number, klass, plan, customer, now + budget - EARLY, units, 2, 0, False)
        pending = Pending(number, request, self.world.now, self.world.now + budget * (1 + DRIFT))
        self.pending[number] = pending
        truth.answers[number] = 0
        truth.runs[number] = []
        self.after(budget - GUARD, lambda: self.rescue(pending))
        self.post(request)

    def rescue(self, pending: Pending) -> None:
        if not pending.over:
            self.world.truth.counts["guarded"] += 1
            self.finish(pending, "failed")
            self.post(ClientLeft(pending.number))
            self.forget(pending)

    def act(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.after(action.delay, lambda: self.post(TimerDue(action.key)))
        elif isinstance(action, Send):
            self.send(action)
        elif isinstance(action, Refuse | Fail):
            pending = self.pending.get(action.request)
            if pending is not None and not pending.over:
                if isinstance(action, Refuse):
                    self.world.check_refusal(pending)
                self.finish(pending, "refused" if isinstance(action, Refuse) else "failed")
                self.forget(pending)
        elif isinstance(action, Cancel):
            pending = self.pending.get(action.request)
            if pending is not None and action.attempt < len(pending.attempts):
                attempt = pending.attempts[action.attempt]
                if attempt.outcome is None:
                    self.ended(pending, attempt, Outcome.CANCELLED)

    def send(self, action: Send) -> None:
        pending = self.pending[action.request]
        rng, world = self.world.random, self.world
        attempt = Try(action.backend, len(pending.attempts), self.clock(), self.listening)
        pending.attempts.append(attempt)
        until = pending.request.deadline
        if action.timeout > 0:
            until = min(until, self.clock() + action.timeout)
        if pending.over or self.clock() >= pending.request.deadline:
            return self.ended(pending, attempt, Outcome.NOT_SENT)
        if action.backend not in self.serving:
            return self.ended(pending, attempt, Outcome.NO_CONNECTION)
        self.after(until - self.clock(), lambda: self.ended(pending, attempt, Outcome.TIMED_OUT))
        dial = rng.uniform(0.001, 0.1) if rng.random() < 0.1 else 0.0

        def write() -> None:
            if attempt.outcome is not None:
                return
            if self.clock() > action.write_by:
                return self.ended(pending, attempt, Outcome.NO_CONNECTION)
            attempt.written = world.now
            world.check_write(self, pending, attempt)
            outcome = rng.choices([o for o, _ in OUTCOMES], [w for _, w in OUTCOMES])[0]
            spell = rng.uniform(0.5, 3.0) if rng.random() < 0.05 else rng.uniform(0.005, 0.2)
            self.after(spell, lambda: self.ended(pending, attempt, outcome))
            return None

        if dial:
            self.after(dial, write)
        else:
            write()
        return None

    def ended(self, pending: Pending, attempt: Try, outcome: Outcome) -> None:
        if attempt.outcome is not None:
            return
        if attempt.written < 0 and outcome is Outcome.TIMED_OUT:
            outcome = Outcome.NO_CONNECTION
        attempt.outcome = outcome
        if outcome is Outcome.SERVED and not pending.over:
            self.finish(pending, "served")
        self.post(AttemptEnded(
            pending.number, attempt.place, attempt.backend, outcome, self.clock() - attempt.sent,
            pending.over, 2.0 if outcome is Outcome.SERVED else 0.0, ()))
        self.forget(pending)

    def finish(self, pending: Pending, how: str) -> None:
        pending.over = True
        self.world.answered(self, pending, how)
        for attempt in pending.attempts:
            if attempt.outcome is None and attempt.written < 0:
                self.ended(pending, attempt, Outcome.NOT_SENT)

    def forget(self, pending: Pending) -> None:
        if pending.over and all(a.outcome is not None for a in pending.attempts):
            self.pending.pop(pending.number, None)


def with_tight_ceiling(settings: Settings) -> Settings:
    """The ceiling under the quota, and under the demand: nothing but the ceiling itself then holds it."""
    plans = tuple(replace(p, rate=60.0, burst=120.0, ceiling_rate=8.0, ceiling_depth=24.0)
                  if p.ceiling_rate > 0 else p for p in settings.plans)
    return replace(settings, plans=plans)


class World:
    """One schedule."""

    def __init__(self, seed: int, *, forwarders: int = 3, planners: int = 2, seconds: float = 5.0,
                 rate: float = 30.0) -> None:
        self.random = random.Random(seed)
        self.seed, self.seconds, self.rate = seed, seconds, rate
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.steps = 0
        self.faults_on = True
        self.cut: dict[tuple[str, str], float] = {}  # links that the network does not carry until then
        self.terms = Terms()
        self.settings = with_tight_ceiling(lab_settings(forwarders))
        self.classes = {c.name: c for c in self.settings.classes}
        pro = next(p for p in self.settings.plans if p.ceiling_rate > 0)
        # far less than the rule's own slack of a tenth or one of the largest requests: dials and drift only
        self.truth = Truth(pro.ceiling_rate, pro.ceiling_depth, CEILING_SLACK_TIME * pro.ceiling_rate + 1.0)
        self.backends = {f"b{n}": Backend(f"b{n}", "z", "k", n % 2, Status.SERVING, 1.0, None)
                         for n in range(4)}
        self.names = [f"f{n}" for n in range(forwarders)]
        self.planners = [PlannerNode(self, f"p{n}") for n in range(planners)]
        self.forwarders = [ForwarderNode(self, name) for name in self.names]

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.steps += 1
        heapq.heappush(self.queue, (when, self.steps, call))

    def is_cut(self, wire: Wire) -> bool:
        return self.cut.get((wire.forwarder.name, wire.planner.name), 0.0) > self.now

    # the rules

    def fail(self, what: str) -> None:
        raise Broken(f"seed {self.seed}, at {self.now:.3f} s: {what}")

    def answered(self, node: Node, pending: Pending, how: str) -> None:
        answers = self.truth.answers
        if pending.number not in answers:
            return
        answers[pending.number] += 1
        self.truth.counts[how] += 1
        if answers[pending.number] > 1:
            self.fail(f"request {pending.number} has two answers")
        if self.now > pending.end and node.paused_until < pending.born:
            self.fail(f"request {pending.number} is answered late")

    def check_refusal(self, pending: Pending) -> None:
        if self.classes[pending.request.klass].repeats is Repeats.SAFE:
            return
        if any(a.written >= 0 and (a.outcome is None or not a.outcome.never_ran) for a in pending.attempts):
            self.fail(f"request {pending.number} is refused, though it may have run")

    def check_write(self, node: ForwarderNode, pending: Pending, attempt: Try) -> None:
        truth, request = self.truth, pending.request
        truth.counts["written"] += 1
        for who in {node.name, attempt.granted_by} - {""}:
            told = truth.told.get((who, attempt.backend))
            if told is not None and self.now > told + DRAIN_GRACE:
                self.fail(f"{attempt.backend} gets request {pending.number} "
                          f"{self.now - told:.3f} s after {who} was told that it drains")
        earlier = [a for a in pending.attempts if a is not attempt and a.written >= 0]
        if any(a.outcome is None for a in earlier):
            self.fail(f"request {pending.number} has two attempts out")
        risky = [a for a in earlier if a.outcome is not None and not a.outcome.never_ran]
        klass = self.classes[request.klass]
        if risky and klass.repeats is Repeats.ONCE:
            self.fail(f"request {pending.number} of {klass.name} goes out again, though it may have run")
        if risky and klass.repeats is Repeats.BY_KEY:
            cells = {self.backends[a.backend].cell for a in (*risky, attempt)}
            if len(cells) > 1 or self.now - risky[0].written > klass.memory:
                self.fail(f"request {pending.number} of {klass.name} goes to where its repeat is not dropped")
        if len(pending.attempts) > self.settings.max_attempts:
            self.fail(f"request {pending.number} has too many attempts")
        if not earlier and request.plan == "pro":
            level, when = truth.levels.get(request.customer, (truth.ceiling_depth, self.now))
            level = min(truth.ceiling_depth, level + truth.ceiling_rate * (self.now - when)) - request.units
            truth.levels[request.customer] = level, self.now
            truth.lowest = min(truth.lowest, level)
            if level < -truth.slack:
                self.fail(f"{request.customer} is {-level:.2f} units over its ceiling")

    # what goes on

    def tell_list(self, node: PlannerNode | ForwarderNode, whole: bool) -> None:
        kind = ListKind.WHOLE if whole else ListKind.CHANGES
        for backend in self.backends.values():
            self.note_told(node, backend)
        node.list_told(BackendList(kind, tuple(self.backends.values())))

    def note_told(self, node: Node, backend: Backend) -> None:
        key = node.name, backend.address
        if backend.status is Status.SERVING:
            self.truth.told.pop(key, None)
        else:
            self.truth.told.setdefault(key, self.now)

    def drain(self) -> None:
        name = self.random.choice(sorted(self.backends))
        before = self.backends[name]
        serving = before.status is Status.SERVING
        if serving and sum(b.status is Status.SERVING for b in self.backends.values()) <= 2:
            return
        status = Status.DRAINING if serving else Status.SERVING
        after = self.backends[name] = Backend(name, "z", "k", before.cell, status, 1.0, None)

        def tell(node: PlannerNode | ForwarderNode) -> None:
            if self.backends[name] is after:
                self.note_told(node, after)
                node.list_told(BackendList(ListKind.CHANGES, (after,)))

        nodes: list[PlannerNode | ForwarderNode] = [*self.planners, *self.forwarders]
        for node in nodes:
            if node.alive:
                node.after(self.random.uniform(0.0, 1.0), partial(tell, node))

    def fault(self) -> None:
        if not self.faults_on:
            return
        rng = self.random
        self.at(self.now + rng.expovariate(2.5), self.fault)
        kind = rng.choice(("kill", "kill", "pause", "pause", "cut", "cut", "break", "drain", "lose", "hold"))
        planner, forwarder = rng.choice(self.planners), rng.choice(self.forwarders)
        if kind == "kill" and planner.alive:
            planner.kill()
            self.at(self.now + rng.uniform(0.05, 2.0), planner.start)
        elif kind == "pause" and planner.alive:
            planner.paused_until = max(planner.paused_until, self.now + rng.uniform(0.05, 2.5))
        elif kind == "cut":  # a part of the forwarders loses a planner, or all lose it
            for node in rng.sample(self.forwarders, rng.randint(1, len(self.forwarders))):
                self.cut[node.name, planner.name] = self.now + rng.uniform(0.05, 2.0)
        elif kind == "break":
            wires = list(forwarder.wires.values()) if forwarder.alive else []
            if wires:
                wire = rng.choice(wires)
                wire.close(rng.choice((wire.forwarder, wire.planner)), reset=rng.random() < 0.7)
        elif kind == "drain":
            self.drain()
        elif kind == "lose" and forwarder.alive and rng.random() < 0.4:
            forwarder.kill()
            self.at(self.now + rng.uniform(0.2, 1.5), forwarder.start)
        elif kind == "hold" and forwarder.alive:
            forwarder.paused_until = max(forwarder.paused_until, self.now + rng.uniform(0.02, 1.0))

    def traffic(self) -> None:
        rng = self.random
        if self.now < self.seconds:
            self.at(self.now + rng.expovariate(self.rate), self.traffic)
        node = rng.choice(self.forwarders)
        if not node.alive or node.paused_until > self.now:
            return
        plan = rng.choice(("basis", "pro", "pro", "pro", "free"))
        klass = rng.choice(("lookup", "report", "extract"))
        units = float(rng.choice((1, 1, 2, 3, 8)))
        node.take(klass, plan, f"{plan}{rng.randrange(2)}", units, rng.choice((0.3, 1.0, 2.0)))

    def run(self) -> dict[str, float]:
        """Plays the schedule: faults, then a time in which all heals. Broken tells of a broken rule."""
        for planner in self.planners:
            planner.start()
        for node in self.forwarders:
            node.start()
        self.at(0.5, self.traffic)
        self.at(1.0, self.fault)
        self.at(self.seconds, self.heal)
        end = self.seconds + 8.0
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.check_end()
        return {**self.truth.counts, "lowest": round(self.truth.lowest, 3)}

    def heal(self) -> None:
        self.faults_on = False
        self.cut.clear()

    def check_end(self) -> None:
        for number, answers in self.truth.answers.items():
            if answers != 1:
                self.fail(f"request {number} has {answers} answers")
        for node in self.forwarders:
            if node.core.tasks or node.pending or node.core.asks:
                self.fail(f"{node.name} still remembers requests: {len(node.core.tasks)}")
            for part in node.core.parts:
                if part.holder is None or part.holder.name != part.order[0] or part.recalled:
                    self.fail(f"part {part.number} has not come back to its first choice at {node.name}")
        for planner in self.planners:
            if planner.core.jobs or planner.core.gateway.jobs:
                self.fail(f"{planner.name} still remembers {len(planner.core.jobs)} requests")
            if any(server.flight for server in planner.core.gateway.servers.values()):
                self.fail(f"{planner.name} counts attempts that are over")
            for held in planner.core.parts:
                if held.lenders and not held.whole:
                    self.fail(f"part {held.number} is not whole at {planner.name}")


def play(seed: int, **shape: float) -> dict[str, float]:
    """One schedule by its seed."""
    return World(seed, **shape).run()  # type: ignore[arg-type]
