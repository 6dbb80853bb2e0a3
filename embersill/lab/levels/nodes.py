"""Forwarders and planners as processes of a world: the real cores, and in place of sockets the kernel.

A node does what links and driver do (`tiers/links.py`, `net/driver.py`), and tells the trace what a client
or a backend would have seen.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING, Any

from embersill.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    Cancel,
    ClientLeft,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Request,
    Send,
    SetTimer,
    Status,
    TimerDue,
)
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.messages import AnyMessage, BadFrame, Batch, Grant, Lend
from embersill.tiers.planner import Planner, Session
from embersill.tiers.terms import MAX_CLOCK_DRIFT
from embersill.tiers.wire import BatchSequence, FrameReader, pack
from embersill.world.kernel import Node
from embersill.world.network import Stream
from embersill.world.records import (
    AttemptFinished,
    BackendNotified,
    RequestAnswered,
    RequestDropped,
    RequestReceived,
    Written,
)

if TYPE_CHECKING:
    from embersill.lab.levels.world import World

EARLY, GUARD = 0.1, 0.05  # as the driver's: seconds before a client's end
MOST_FRAME = 1 << 20  # bytes
TICK = 0.025  # seconds; the links' own is half of it, which costs a run more than it shows
OUTCOMES = {outcome.value: outcome for outcome in Outcome}
NEVER = Outcome.NO_CONNECTION


class Wire(Stream):
    """A stream that carries frames between a forwarder and a planner."""

    def __init__(self, world: World, forwarder: ForwarderNode, planner: PlannerNode) -> None:
        super().__init__(world.network, forwarder, planner)
        self.forwarder, self.planner = forwarder, planner
        self.numbers: dict[Node, BatchSequence] = {forwarder: BatchSequence(), planner: BatchSequence()}
        self.readers: dict[Node, FrameReader] = {
            forwarder: FrameReader(MOST_FRAME),
            planner: FrameReader(MOST_FRAME),
        }
        self.session: Session | None = None
        self.coded = world.coded  # frames as bytes; else the same objects at both ends, which is faster

    def say(self, node: Node, messages: list[AnyMessage], basis: int = 0, acked: int = 0) -> None:
        numbers = self.numbers[node]
        numbers.sent += 1
        batch = Batch(numbers.sent, basis, acked, messages)
        if self.coded:
            self.send(node, pack(batch))
        elif self.open[node]:
            to: Any = self.peers[node]
            self.enqueue(to, to.batch_came, self, batch)

    def read(self, node: Node, data: bytes) -> list[Batch] | None:
        """The batches that are whole now; None after a frame that can't be, which ends the link."""
        try:
            return [self.numbers[node].read(frame) for frame in self.readers[node].feed(data)]
        except BadFrame:
            self.close(node)
            return None


class Member(Node):
    """What both roles share: the list of backends, and what is told of it."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world.kernel, name)
        self.world = world
        self.chance = world.kernel.stream(f"node {name}")

    def begin(self) -> None:
        most = self.world.drift
        self.begin_life(self.chance.uniform(-most, most), self.chance.uniform(0.0, 1e6))

    def here(self, backend: Backend) -> Backend:
        """An entry of the list with its start by this node's clock."""
        return (
            backend if backend.started is None else replace(backend, started=self.local_time(backend.started))
        )

    def hear_all(self) -> None:
        known = list(self.world.backends.values())
        for backend in known:
            self.note(backend)
        self.list_told(BackendList(ListKind.WHOLE, tuple(self.here(b) for b in known)))

    def hear(self, name: str) -> None:
        """Discovery's latest word on one backend comes."""
        backend = self.world.backends[name]
        self.note(backend)
        self.list_told(BackendList(ListKind.CHANGES, (self.here(backend),)))

    def note(self, backend: Backend) -> None:
        serving = backend.status is Status.SERVING
        self.world.trace.add(BackendNotified(self.kernel.now, self.name, backend.address, serving))

    def stream_data(self, stream: Stream, data: bytes) -> None:
        assert isinstance(stream, Wire)
        for batch in stream.read(self, data) or ():
            if stream.open[self]:
                self.batch_came(stream, batch)

    def batch_came(self, wire: Wire, batch: Batch) -> None:
        raise NotImplementedError

    def list_told(self, event: BackendList) -> None:
        raise NotImplementedError

    def start(self) -> None:
        raise NotImplementedError

    def kill(self, quiet: bool = False) -> None:
        raise NotImplementedError


class PlannerNode(Member):
    core: Planner

    def start(self) -> None:
        self.begin()
        world = self.world
        self.wires: list[Wire] = []
        self.leaving = False
        self.core = Planner(
            world.settings,
            self.chance.randrange(1 << 30),
            self.clock(),
            forwarders=world.forwarder_names,
            planners=len(world.planners),
            parts=world.parts,
            terms=world.terms,
        )
        self.hear_all()
        self.tick()

    def tick(self) -> None:
        self.core.tick(self.clock())
        if self.core.dead:
            dead, self.core.dead = self.core.dead, []
            for wire in [w for w in self.wires if w.session in dead]:
                wire.close(self)
        self.flush()
        self.after(self.world.terms.beat_every, self.tick)

    def kill(self, quiet: bool = False) -> None:
        self.alive = False
        for wire in list(self.wires):
            wire.close(self, reset=not quiet)
        self.wires = []

    def leave(self) -> None:
        """A planned stop: it ends once nothing is lent here any more."""
        self.leaving = True
        self.core.leave(self.clock())
        self.flush()

    def link_up(self, wire: Wire) -> None:
        for older in [w for w in self.wires if w.forwarder is wire.forwarder]:
            older.close(self)
        wire.session = self.core.link_up(wire.forwarder.name, self.clock())
        self.wires.append(wire)
        self.flush()

    def stream_closed(self, stream: Stream) -> None:
        assert isinstance(stream, Wire)
        if stream in self.wires:
            self.wires.remove(stream)
            assert stream.session is not None
            self.core.link_down(stream.session, self.clock())
            self.flush()

    def batch_came(self, wire: Wire, batch: Batch) -> None:
        assert wire.session is not None
        if self.world.detailed:
            self.world.got(wire.forwarder, self, batch.messages)
        try:
            self.core.received(wire.session, batch, self.clock())
        except BadFrame:
            return wire.close(self)
        self.note_lent(wire.forwarder.name, batch)
        return self.flush()

    def note_lent(self, forwarder: str, batch: Batch) -> None:
        """A forwarder's loans are no longer on their way."""
        for message in batch.messages:
            if type(message) is Lend:
                self.world.lending.difference_update((forwarder, part) for part in message.parts)

    def list_told(self, event: BackendList) -> None:
        self.core.list_told(event, self.clock())
        self.flush()

    def set_timers(self) -> None:
        timers, self.core.timers = self.core.timers, []
        for delay, key in timers:
            self.after(delay, self.timer_due, key, self.clock() + delay)

    def flush(self) -> None:
        core = self.core
        self.set_timers()
        for wire in tuple(self.wires):
            session = wire.session
            if session is not None and (session.outbox or session.acked > session.acked_told):
                messages, basis, acked = core.take_outbox(session)
                if self.world.detailed:
                    self.world.sent(self, wire.forwarder, messages)
                wire.say(self, messages, basis, acked)

    def timer_due(self, key: str, due: float) -> None:
        self.core.timer_due(key, due, max(due, self.clock()))
        self.flush()


@dataclass(eq=False)
class Try:
    """One attempt, as the driver has it."""

    backend: str
    place: int
    sent: float  # by the node's clock
    decider: str
    fate: tuple[str, float, float]  # outcome, seconds until it, seconds of a dial before it
    written: bool = False
    outcome: Outcome | None = None


@dataclass(eq=False)
class Pending:
    """The driver's part of a request."""

    number: int
    request: Request
    fates: Sequence[tuple[str, float, float]]
    attempts: list[Try] = field(default_factory=list)
    over: bool = False


class ForwarderNode(Member):
    core: Forwarder

    def start(self) -> None:
        self.begin()
        world = self.world
        self.core = Forwarder(
            world.settings,
            self.chance.randrange(1 << 30),
            self.clock(),
            forwarders=len(world.forwarders),
            planners=[p.name for p in world.planners],
            parts=world.parts,
            terms=world.terms,
        )
        self.wires: dict[str, Wire] = {}
        self.pending: dict[int, Pending] = {}
        self.serving: set[str] = set()
        self.events: list[Event] = []
        self.handling = False
        self.listening = ""  # the planner whose batch is being worked off
        self.retiring = False
        self.hear_all()
        for planner in world.planners:
            self.dial(planner)
        self.tick()

    def tick(self) -> None:
        core = self.core
        self.perform(core.tick(self.clock()))
        if core.dead:
            dead, core.dead = core.dead, []
            for name in dead:
                if name in self.wires:
                    self.wires[name].close(self)
        self.after(TICK, self.tick)

    def kill(self, quiet: bool = False) -> None:
        self.alive = False
        for wire in list(self.wires.values()):
            wire.close(self, reset=not quiet)
        self.wires = {}
        for pending in self.pending.values():
            if not pending.over:
                self.world.trace.add(RequestDropped(self.kernel.now, pending.number))

    def stop(self) -> None:
        """The last words of an orderly stop, once nothing is open."""
        self.core.stop(self.clock())
        self.flush()

    # links

    def dial(self, planner: PlannerNode) -> None:
        self.after(self.chance.uniform(0.02, 0.2), self.connected, planner)

    def connected(self, planner: PlannerNode) -> None:
        network = self.world.network
        cut = network.is_cut(self.name, planner.name) or network.is_cut(planner.name, self.name)
        if cut or not planner.is_running or planner.leaving:
            return self.dial(planner)
        wire = Wire(self.world, self, planner)
        self.wires[planner.name] = wire
        planner.link_up(wire)
        if wire.open[self]:
            life = f"{planner.name}.{planner.life}"
            self.perform(self.core.link_up(planner.name, life, self.clock()))
        return None

    def stream_closed(self, stream: Stream) -> None:
        assert isinstance(stream, Wire)
        name = stream.planner.name
        if self.wires.get(name) is stream:
            del self.wires[name]
            self.perform(self.core.link_down(name, self.clock()))
            self.dial(stream.planner)

    def batch_came(self, wire: Wire, batch: Batch) -> None:
        self.heard(wire.planner.name, batch)

    def heard(self, planner: str, batch: Batch) -> None:
        if self.world.detailed:
            self.world.got(self.world.members[planner], self, batch.messages)
        self.listening = planner
        self.perform(self.core.received(planner, batch, self.clock()))
        self.listening = ""
        if self.core.withdrawn:
            withdrawn, self.core.withdrawn = self.core.withdrawn, []
            for backend in withdrawn:
                self.call_back(backend)

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
                if attempt.backend == backend and not attempt.written and attempt.outcome is None:
                    self.ended(pending, attempt, NEVER)

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
            self.flush()

    def flush(self) -> None:
        outbox = self.core.outbox
        if not any(outbox.values()):
            return
        for name, wire in tuple(self.wires.items()):
            messages = outbox[name]
            if messages:
                outbox[name] = []
                self.note_said(name, messages)
                wire.say(self, messages)

    def note_said(self, planner: str, messages: list[AnyMessage]) -> None:
        """Tells the world what goes out to a planner."""
        for message in messages:
            if type(message) is Lend:
                self.world.lending.update((self.name, part) for part in message.parts)
        if self.world.detailed:
            self.world.sent(self, self.world.members[planner], messages)

    def take(
        self,
        number: int,
        klass: str,
        plan: str,
        customer: str,
        units: float,
        budget: float,
        fates: Sequence[tuple[str, float, float]],
    ) -> None:
        """A client's try comes. `fates`: what becomes of its attempts; the last one holds for all further."""
        now = self.kernel.now
        request = Request(number, klass, plan, customer, self.clock() + budget - EARLY, units, 2, 0, False)
        pending = self.pending[number] = Pending(number, request, fates)
        self.world.trace.add(
            RequestReceived(
                now, number, klass, plan, customer, units, self.name, now + budget * (1 + MAX_CLOCK_DRIFT)
            )
        )
        self.after(budget - GUARD, self.rescue, pending)
        self.post(request)

    def rescue(self, pending: Pending) -> None:
        if not pending.over:
            self.world.counts["guarded"] += 1
            self.finish(pending, "failed")
            self.post(ClientLeft(pending.number))
            self.forget(pending)

    def act(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.after(action.delay, self.post, TimerDue(action.key))
        elif isinstance(action, Send):
            self.send(action)
        elif isinstance(action, Refuse | Fail):
            pending = self.pending.get(action.request)
            if pending is not None and not pending.over:
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
        place = len(pending.attempts)
        fate = pending.fates[min(place, len(pending.fates) - 1)]
        task = self.core.tasks.get(action.request)
        alone = task is not None and task.local  # what a batch sets free here is no decision of its sender's
        attempt = Try(action.backend, place, self.clock(), "" if alone else self.listening, fate)
        pending.attempts.append(attempt)
        until = pending.request.deadline
        if action.timeout > 0:
            until = min(until, self.clock() + action.timeout)
        if pending.over or self.clock() >= pending.request.deadline:
            return self.ended(pending, attempt, Outcome.NOT_SENT)
        if action.backend not in self.serving:
            return self.ended(pending, attempt, NEVER)
        self.after(until - self.clock(), self.ended, pending, attempt, Outcome.TIMED_OUT)
        if fate[2] and self.world.kernel.watchers:
            self.world.kernel.moment(
                "dialling", sender=attempt.decider or self.name, receiver=self.name, backend=action.backend
            )
        write = partial(self.write, pending, attempt, action.write_by)
        dial = fate[2]
        if dial:
            self.after(dial, write)
        else:
            write()
        return None

    def write(self, pending: Pending, attempt: Try, write_by: float) -> None:
        world = self.world
        if attempt.outcome is not None:
            return
        if self.clock() > write_by or attempt.backend in world.down:
            return self.ended(pending, attempt, NEVER)
        outcome = OUTCOMES[attempt.fate[0]]
        if outcome is NEVER:
            return self.ended(pending, attempt, NEVER)
        attempt.written = True
        deciders = (self.name, attempt.decider) if attempt.decider else (self.name,)
        world.trace.add(
            Written(
                self.kernel.now,
                pending.number,
                attempt.place,
                attempt.backend,
                str(world.backends[attempt.backend].cell),
                deciders,
            )
        )
        world.look_at(pending.request.customer)
        return self.after(attempt.fate[1], self.ended, pending, attempt, outcome)

    def ended(self, pending: Pending, attempt: Try, outcome: Outcome) -> None:
        if attempt.outcome is not None:
            return
        if not attempt.written and outcome is Outcome.TIMED_OUT:
            outcome = NEVER
        attempt.outcome = outcome
        unrun = outcome.never_ran or not attempt.written
        self.world.trace.add(
            AttemptFinished(self.kernel.now, pending.number, attempt.place, outcome.value, unrun)
        )
        if outcome is Outcome.SERVED and not pending.over:
            self.finish(pending, "served")
        self.post(
            AttemptEnded(
                pending.number,
                attempt.place,
                attempt.backend,
                outcome,
                self.clock() - attempt.sent,
                pending.over,
                2.0 if outcome is Outcome.SERVED else 0.0,
                (),
            )
        )
        self.forget(pending)

    def finish(self, pending: Pending, how: str) -> None:
        pending.over = True
        self.world.counts[how] += 1
        self.world.trace.add(RequestAnswered(self.kernel.now, pending.number, how))
        for attempt in pending.attempts:
            if attempt.outcome is None and not attempt.written:
                self.ended(pending, attempt, Outcome.NOT_SENT)

    def forget(self, pending: Pending) -> None:
        if pending.over and all(a.outcome is not None for a in pending.attempts):
            self.pending.pop(pending.number, None)


def backend_of(message: AnyMessage) -> str:
    return message.backend if isinstance(message, Grant) else ""
