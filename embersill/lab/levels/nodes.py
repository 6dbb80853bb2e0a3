"""Simulated forwarder and planner processes: the real cores, with the simulation kernel instead of sockets.

A node does the work of links and driver (`tiers/links.py`, `net/driver.py`) and records in the trace what a
client or a backend would observe.
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

# before a client's deadline, as in the driver: the deadline of the core, and the latest answer
DEADLINE_MARGIN_S, RESCUE_MARGIN_S = 0.1, 0.05
MAX_FRAME_BYTES = 1 << 20
TICK_INTERVAL_S = 0.025  # the links use half of it, which would slow runs down more than it would reveal
OUTCOMES = {outcome.value: outcome for outcome in Outcome}
NEVER_RAN = Outcome.NO_CONNECTION


class Wire(Stream):
    """A stream that carries frames between a forwarder and a planner."""

    def __init__(self, world: World, forwarder: ForwarderNode, planner: PlannerNode) -> None:
        super().__init__(world.network, forwarder, planner)
        self.forwarder, self.planner = forwarder, planner
        self.numbers: dict[Node, BatchSequence] = {forwarder: BatchSequence(), planner: BatchSequence()}
        self.readers: dict[Node, FrameReader] = {
            forwarder: FrameReader(MAX_FRAME_BYTES),
            planner: FrameReader(MAX_FRAME_BYTES),
        }
        self.session: Session | None = None
        self.coded = world.coded  # send frames as bytes; otherwise pass the same objects, which is faster

    def send_batch(self, node: Node, messages: list[AnyMessage], basis: int = 0, acked: int = 0) -> None:
        """Sends messages to the other end in one batch."""
        numbers = self.numbers[node]
        numbers.sent += 1
        batch = Batch(numbers.sent, basis, acked, messages)
        if self.coded:
            self.send(node, pack(batch))
        elif self.open[node]:
            to: Any = self.peers[node]
            self.enqueue(to, to.on_batch, self, batch)

    def read(self, node: Node, data: bytes) -> list[Batch] | None:
        """Returns the batches that are complete; None after an invalid frame, which closes the link."""
        try:
            return [self.numbers[node].read(frame) for frame in self.readers[node].feed(data)]
        except BadFrame:
            self.close(node)
            return None


class Member(Node):
    """Common base of both roles: the list of backends and its updates."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world.kernel, name)
        self.world = world
        self.chance = world.kernel.stream(f"node {name}")

    def start_clock(self) -> None:
        """Begins a new life with a random clock drift and offset."""
        max_drift = self.world.drift
        self.begin_life(self.chance.uniform(-max_drift, max_drift), self.chance.uniform(0.0, 1e6))

    def localized(self, backend: Backend) -> Backend:
        """Returns an entry of the list with its start time by this node's clock."""
        return (
            backend if backend.started is None else replace(backend, started=self.local_time(backend.started))
        )

    def receive_full_list(self) -> None:
        """Gets the complete list of backends from service discovery."""
        known = list(self.world.backends.values())
        for backend in known:
            self.record_status(backend)
        self.on_list(BackendList(ListKind.WHOLE, tuple(self.localized(b) for b in known)))

    def receive_change(self, name: str) -> None:
        """Gets the current state of one backend from service discovery."""
        backend = self.world.backends[name]
        self.record_status(backend)
        self.on_list(BackendList(ListKind.CHANGES, (self.localized(backend),)))

    def record_status(self, backend: Backend) -> None:
        """Records in the trace that this node was notified of a backend."""
        serving = backend.status is Status.SERVING
        self.world.trace.add(BackendNotified(self.kernel.now, self.name, backend.address, serving))

    def stream_data(self, stream: Stream, data: bytes) -> None:
        """Processes the batches in received data."""
        assert isinstance(stream, Wire)
        for batch in stream.read(self, data) or ():
            if stream.open[self]:
                self.on_batch(stream, batch)

    def on_batch(self, wire: Wire, batch: Batch) -> None:
        """Processes a batch of the other end."""
        raise NotImplementedError

    def on_list(self, event: BackendList) -> None:
        """Processes an update of the list of backends."""
        raise NotImplementedError

    def start(self) -> None:
        """Starts the process."""
        raise NotImplementedError

    def kill(self, quiet: bool = False) -> None:
        """Kills the process; with `quiet` its peers don't notice that connections end."""
        raise NotImplementedError


class PlannerNode(Member):
    """A simulated planner process."""

    core: Planner

    def start(self) -> None:
        """Starts the process with an empty core."""
        self.start_clock()
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
        self.receive_full_list()
        self.tick()

    def tick(self) -> None:
        """Runs the core's periodic work."""
        self.core.tick(self.clock())
        if self.core.dead:
            dead, self.core.dead = self.core.dead, []
            for wire in [w for w in self.wires if w.session in dead]:
                wire.close(self)
        self.flush()
        self.after(self.world.terms.beat_every, self.tick)

    def kill(self, quiet: bool = False) -> None:
        """Kills the process and closes its connections."""
        self.alive = False
        for wire in list(self.wires):
            wire.close(self, reset=not quiet)
        self.wires = []

    def leave(self) -> None:
        """Begins a planned stop: the process ends once no share is lent to it any more."""
        self.leaving = True
        self.core.leave(self.clock())
        self.flush()

    def link_up(self, wire: Wire) -> None:
        """Accepts a connection, which replaces older ones of the same forwarder."""
        for older in [w for w in self.wires if w.forwarder is wire.forwarder]:
            older.close(self)
        wire.session = self.core.link_up(wire.forwarder.name, self.clock())
        self.wires.append(wire)
        self.flush()

    def stream_closed(self, stream: Stream) -> None:
        """Reports the end of a connection to the core."""
        assert isinstance(stream, Wire)
        if stream in self.wires:
            self.wires.remove(stream)
            assert stream.session is not None
            self.core.link_down(stream.session, self.clock())
            self.flush()

    def on_batch(self, wire: Wire, batch: Batch) -> None:
        """Hands a batch to the core; an invalid one closes the connection."""
        assert wire.session is not None
        if self.world.reports_messages:
            self.world.got(wire.forwarder, self, batch.messages)
        try:
            self.core.received(wire.session, batch, self.clock())
        except BadFrame:
            return wire.close(self)
        self.note_loans_received(wire.forwarder.name, batch)
        return self.flush()

    def note_loans_received(self, forwarder: str, batch: Batch) -> None:
        """Notes that a forwarder's loans are no longer in flight."""
        for message in batch.messages:
            if type(message) is Lend:
                self.world.loans_in_flight.difference_update((forwarder, part) for part in message.parts)

    def on_list(self, event: BackendList) -> None:
        """Hands an update of the list to the core."""
        self.core.list_told(event, self.clock())
        self.flush()

    def set_timers(self) -> None:
        """Sets the timers that the core requested."""
        timers, self.core.timers = self.core.timers, []
        for delay, key in timers:
            self.after(delay, self.timer_due, key, self.clock() + delay)

    def flush(self) -> None:
        """Sends what the core has in its outboxes."""
        core = self.core
        self.set_timers()
        for wire in tuple(self.wires):
            session = wire.session
            if session is not None and (session.outbox or session.acked > session.acked_told):
                messages, basis, acked = core.take_outbox(session)
                if self.world.reports_messages:
                    self.world.sent(self, wire.forwarder, messages)
                wire.send_batch(self, messages, basis, acked)

    def timer_due(self, key: str, due: float) -> None:
        """Reports a timer that is due to the core."""
        self.core.timer_due(key, due, max(due, self.clock()))
        self.flush()


@dataclass(eq=False)
class DriverAttempt:
    """The driver's state of one attempt."""

    backend: str
    index: int
    sent: float  # by the node's clock
    decider: str
    fate: tuple[str, float, float]  # outcome, seconds until it, seconds of dialling before
    written: bool = False
    outcome: Outcome | None = None


@dataclass(eq=False)
class PendingRequest:
    """The driver's state of a request."""

    number: int
    request: Request
    fates: Sequence[tuple[str, float, float]]
    attempts: list[DriverAttempt] = field(default_factory=list)
    over: bool = False


class ForwarderNode(Member):
    """A simulated forwarder process with its driver."""

    core: Forwarder

    def start(self) -> None:
        """Starts the process with an empty core and connects to all planners."""
        self.start_clock()
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
        self.pending: dict[int, PendingRequest] = {}
        self.serving: set[str] = set()
        self.events: list[Event] = []
        self.handling = False
        self.batch_sender = ""  # the planner whose batch is being processed
        self.retiring = False
        self.receive_full_list()
        for planner in world.planners:
            self.dial(planner)
        self.tick()

    def tick(self) -> None:
        """Runs the core's periodic work and closes the links that it gave up."""
        core = self.core
        self.perform(core.tick(self.clock()))
        if core.dead:
            dead, core.dead = core.dead, []
            for name in dead:
                if name in self.wires:
                    self.wires[name].close(self)
        self.after(TICK_INTERVAL_S, self.tick)

    def kill(self, quiet: bool = False) -> None:
        """Kills the process; its open requests are dropped."""
        self.alive = False
        for wire in list(self.wires.values()):
            wire.close(self, reset=not quiet)
        self.wires = {}
        for pending in self.pending.values():
            if not pending.over:
                self.world.trace.add(RequestDropped(self.kernel.now, pending.number))

    def stop(self) -> None:
        """Sends the last messages of an orderly stop, once no request is open."""
        self.core.stop(self.clock())
        self.flush()

    # links

    def dial(self, planner: PlannerNode) -> None:
        """Connects to a planner after a random delay."""
        self.after(self.chance.uniform(0.02, 0.2), self.connected, planner)

    def connected(self, planner: PlannerNode) -> None:
        """Completes a connection, or retries if the planner can't be reached."""
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
        """Reports the end of a connection to the core and connects again."""
        assert isinstance(stream, Wire)
        name = stream.planner.name
        if self.wires.get(name) is stream:
            del self.wires[name]
            self.perform(self.core.link_down(name, self.clock()))
            self.dial(stream.planner)

    def on_batch(self, wire: Wire, batch: Batch) -> None:
        """Processes a batch of a planner."""
        self.process_batch(wire.planner.name, batch)

    def process_batch(self, planner: str, batch: Batch) -> None:
        """Hands a batch to the core, executes its actions and aborts withdrawn attempts."""
        if self.world.reports_messages:
            self.world.got(self.world.members[planner], self, batch.messages)
        self.batch_sender = planner
        self.perform(self.core.received(planner, batch, self.clock()))
        self.batch_sender = ""
        if self.core.withdrawn:
            withdrawn, self.core.withdrawn = self.core.withdrawn, []
            for backend in withdrawn:
                self.abort_unwritten(backend)

    # the driver

    def on_list(self, event: BackendList) -> None:
        """Updates the serving backends and hands the update to the core."""
        for backend in event.backends:
            if backend.status is Status.SERVING:
                self.serving.add(backend.address)
            else:
                self.serving.discard(backend.address)
                self.abort_unwritten(backend.address)
        self.post(event)

    def abort_unwritten(self, backend: str) -> None:
        """Ends the attempts at a backend that are not written yet."""
        for pending in list(self.pending.values()):
            for attempt in pending.attempts:
                if attempt.backend == backend and not attempt.written and attempt.outcome is None:
                    self.end_attempt(pending, attempt, NEVER_RAN)

    def post(self, event: Event) -> None:
        """Queues an event for the core and processes the queue, unless that is going on already."""
        self.events.append(event)
        if not self.handling:
            self.perform([])

    def perform(self, actions: list[Action]) -> None:
        """Executes actions, then the queued events unless this is a nested call."""
        nested, self.handling = self.handling, True
        for action in actions:
            self.execute(action)
        if not nested:
            while self.events:
                for action in self.core.handle(self.events.pop(0), self.clock()):
                    self.execute(action)
            self.handling = False
            self.flush()

    def flush(self) -> None:
        """Sends what the core has in its outboxes."""
        outbox = self.core.outbox
        if not any(outbox.values()):
            return
        for name, wire in tuple(self.wires.items()):
            messages = outbox[name]
            if messages:
                outbox[name] = []
                self.note_sent(name, messages)
                wire.send_batch(self, messages)

    def note_sent(self, planner: str, messages: list[AnyMessage]) -> None:
        """Reports messages to a planner to the simulation."""
        for message in messages:
            if type(message) is Lend:
                self.world.loans_in_flight.update((self.name, part) for part in message.parts)
        if self.world.reports_messages:
            self.world.sent(self, self.world.members[planner], messages)

    def receive_request(
        self,
        number: int,
        klass: str,
        plan: str,
        customer: str,
        units: float,
        budget: float,
        fates: Sequence[tuple[str, float, float]],
    ) -> None:
        """Accepts a request. `fates`: outcomes of its attempts; the last applies to all later ones."""
        now = self.kernel.now
        request = Request(
            number, klass, plan, customer, self.clock() + budget - DEADLINE_MARGIN_S, units, 2, 0, False
        )
        pending = self.pending[number] = PendingRequest(number, request, fates)
        self.world.trace.add(
            RequestReceived(
                now, number, klass, plan, customer, units, self.name, now + budget * (1 + MAX_CLOCK_DRIFT)
            )
        )
        self.after(budget - RESCUE_MARGIN_S, self.answer_before_deadline, pending)
        self.post(request)

    def answer_before_deadline(self, pending: PendingRequest) -> None:
        """Answers a request that the core has not answered by then, as the driver does."""
        if not pending.over:
            self.world.counts["guarded"] += 1
            self.answer(pending, "failed")
            self.post(ClientLeft(pending.number))
            self.forget(pending)

    def execute(self, action: Action) -> None:
        """Executes one action of the core."""
        if isinstance(action, SetTimer):
            self.after(action.delay, self.post, TimerDue(action.key))
        elif isinstance(action, Send):
            self.send(action)
        elif isinstance(action, Refuse | Fail):
            pending = self.pending.get(action.request)
            if pending is not None and not pending.over:
                self.answer(pending, "refused" if isinstance(action, Refuse) else "failed")
                self.forget(pending)
        elif isinstance(action, Cancel):
            pending = self.pending.get(action.request)
            if pending is not None and action.attempt < len(pending.attempts):
                attempt = pending.attempts[action.attempt]
                if attempt.outcome is None:
                    self.end_attempt(pending, attempt, Outcome.CANCELLED)

    def send(self, action: Send) -> None:
        """Begins an attempt: dials if its fate says so, then writes."""
        pending = self.pending[action.request]
        index = len(pending.attempts)
        fate = pending.fates[min(index, len(pending.fates) - 1)]
        task = self.core.tasks.get(action.request)
        decided_locally = (
            task is not None and task.local
        )  # decided here, even if a planner's batch triggered it
        attempt = DriverAttempt(
            action.backend, index, self.clock(), "" if decided_locally else self.batch_sender, fate
        )
        pending.attempts.append(attempt)
        until = pending.request.deadline
        if action.timeout > 0:
            until = min(until, self.clock() + action.timeout)
        if pending.over or self.clock() >= pending.request.deadline:
            return self.end_attempt(pending, attempt, Outcome.NOT_SENT)
        if action.backend not in self.serving:
            return self.end_attempt(pending, attempt, NEVER_RAN)
        self.after(until - self.clock(), self.end_attempt, pending, attempt, Outcome.TIMED_OUT)
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

    def write(self, pending: PendingRequest, attempt: DriverAttempt, write_by: float) -> None:
        """Writes an attempt to its backend and schedules its outcome."""
        world = self.world
        if attempt.outcome is not None:
            return
        if self.clock() > write_by or attempt.backend in world.unreachable:
            return self.end_attempt(pending, attempt, NEVER_RAN)
        outcome = OUTCOMES[attempt.fate[0]]
        if outcome is NEVER_RAN:
            return self.end_attempt(pending, attempt, NEVER_RAN)
        attempt.written = True
        deciders = (self.name, attempt.decider) if attempt.decider else (self.name,)
        world.trace.add(
            Written(
                self.kernel.now,
                pending.number,
                attempt.index,
                attempt.backend,
                str(world.backends[attempt.backend].cell),
                deciders,
            )
        )
        world.record_credits(pending.request.customer)
        return self.after(attempt.fate[1], self.end_attempt, pending, attempt, outcome)

    def end_attempt(self, pending: PendingRequest, attempt: DriverAttempt, outcome: Outcome) -> None:
        """Ends an attempt with its outcome and reports it to the core."""
        if attempt.outcome is not None:
            return
        if not attempt.written and outcome is Outcome.TIMED_OUT:
            outcome = NEVER_RAN
        attempt.outcome = outcome
        unrun = outcome.never_ran or not attempt.written
        self.world.trace.add(
            AttemptFinished(self.kernel.now, pending.number, attempt.index, outcome.value, unrun)
        )
        if outcome is Outcome.SERVED and not pending.over:
            self.answer(pending, "served")
        self.post(
            AttemptEnded(
                pending.number,
                attempt.index,
                attempt.backend,
                outcome,
                self.clock() - attempt.sent,
                pending.over,
                2.0 if outcome is Outcome.SERVED else 0.0,
                (),
            )
        )
        self.forget(pending)

    def answer(self, pending: PendingRequest, how: str) -> None:
        """Answers the client; attempts that are not written are not sent any more."""
        pending.over = True
        self.world.counts[how] += 1
        self.world.trace.add(RequestAnswered(self.kernel.now, pending.number, how))
        for attempt in pending.attempts:
            if attempt.outcome is None and not attempt.written:
                self.end_attempt(pending, attempt, Outcome.NOT_SENT)

    def forget(self, pending: PendingRequest) -> None:
        """Drops the state of a request that is answered and has no open attempts."""
        if pending.over and all(a.outcome is not None for a in pending.attempts):
            self.pending.pop(pending.number, None)


def backend_of(message: AnyMessage) -> str:
    """Returns the backend that a message grants, or ""."""
    return message.backend if isinstance(message, Grant) else ""
