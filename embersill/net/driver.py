"""Connects the decision module to the network: events in, actions out, one response per request.

No decisions are made here. What happens becomes an event for the module, and its actions are carried out
in order. The one exception is the guard, which answers a request that the module left unanswered and logs it.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol

from embersill.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendHold,
    BackendList,
    Borrow,
    BorrowResult,
    Cancel,
    ClientLeft,
    Count,
    CounterResult,
    Event,
    Fail,
    Outcome,
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    Status,
    StreamBegun,
    TimerDue,
)
from embersill.net.attempt import NOT_EXECUTED_STATUSES, Answer, Attempt, Sink
from embersill.net.backend_pool import Pool
from embersill.net.backends import BackendConnection
from embersill.net.deadlines import Deadline
from embersill.net.disconnects import ClientDisconnects
from embersill.net.discovery import Listing
from embersill.net.second_attempts import SecondAttempt, second_attempt

if TYPE_CHECKING:
    from embersill.service.figures import Figures

# The module's deadline for a request is this much before the client's: the budget runs from the moment of the
# client's send, the response takes time to travel back, and the CPU core may be busy with another gateway.
DEADLINE_MARGIN_S = 0.1
GUARD_MARGIN_S = 0.05  # before the client's deadline, the guard fails a request that has no response
MAX_MARGIN_SHARE = 0.25  # of the budget that these two may take

log = logging.getLogger("embersill")


@dataclass(slots=True)
class Call:
    """A client's request in the protocol's terms, as the module and the backends get it."""

    id: bytes
    received: float
    budget: float
    klass: str
    plan: str
    customer: str
    units: float
    width: int
    first_gateway: int
    repeat: bool
    head: bytes  # request line and headers for a backend, without the budget and the blank line
    body: bytes
    service: str = ""  # the service whose backends get it, if there are several
    body_pieces: list[bytes] | None = None  # instead of `body`, the pieces of one over 64 KiB


class Exchange(Protocol):
    """Where a request's response goes."""

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Sends a complete response."""
        ...

    def begin(self, headers: bytes, length: int | None, source: BackendConnection) -> Sink:
        """Begins a streamed response."""
        ...

    def done(self, whole: bool) -> None:
        """Ends a streamed response; the client must notice if it is not complete."""
        ...


class PendingRequest:
    """An accepted request, until it has its response and its last attempt has ended."""

    __slots__ = (
        "attempts",
        "call",
        "driver",
        "end",
        "error",
        "exchange",
        "guard",
        "left_at",
        "number",
        "open_attempts",
        "over",
        "streamed",
    )

    def __init__(self, driver: Driver, number: int, call: Call, exchange: Exchange) -> None:
        self.driver, self.number, self.call = driver, number, call
        self.exchange: Exchange | None = exchange
        self.end = call.received + call.budget - min(DEADLINE_MARGIN_S, MAX_MARGIN_SHARE * call.budget)
        self.attempts: list[Attempt] = []
        self.open_attempts, self.over = 0, False
        self.guard: Deadline | None = None
        self.error: Answer | None = None  # a backend's own error, if it promises nothing that is not known
        self.streamed: Attempt | None = None  # the attempt whose response is being streamed
        self.left_at = 0.0  # when its client left without a complete response; 0: it has not

    def stream_began(
        self, attempt: Attempt, headers: bytes, length: int | None, source: BackendConnection
    ) -> Sink | None:
        """Passes the beginning of a streamed response to the driver."""
        return self.driver.stream_began(self, attempt, headers, length, source)

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None:
        """Passes the end of an attempt to the driver."""
        self.driver.attempt_ended(self, attempt, answer)


class Decider(Protocol):
    """The decision module, or a proxy that forwards events to one elsewhere and performs its actions."""

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        ...

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handles an event; returns the actions to carry out, in order."""
        ...


class CounterClient(Protocol):
    """Carries out the module's counter calls; their outcomes come back through `on_counted`."""

    def count(self, action: Count) -> None:
        """Starts a call."""
        ...

    def move(self, address: tuple[str, int]) -> None:
        """Sends later calls to another counter."""
        ...

    def close(self) -> None:
        """Closes all connections."""
        ...


class Driver:
    """Feeds events to the one decider of this process and carries out its actions."""

    def __init__(self, gateway: Decider, clock: Callable[[], float], pool: Pool) -> None:
        self.gateway, self.clock, self.pool = gateway, clock, pool
        self.most_units = gateway.settings.most_units
        self.counter: CounterClient | None = None
        self.reserve: Callable[[Borrow], None] | None = (
            None  # the outcome comes back as an event, through `post`
        )
        self.busy_status = 429  # the status of a refusal for another reason than the customer's quota
        self.loop = asyncio.get_running_loop()
        self.deadlines = pool.deadlines
        self.pending: dict[int, PendingRequest] = {}
        self.open: set[bytes] = set()  # the client-given ids of the pending requests
        self.unanswered = 0
        self.taken = 0
        self.all_answered = asyncio.Event()
        self.serving: set[str] = set()  # backends that are listed as serving
        self.listed: set[str] = set()  # backends that are listed as serving or draining
        self.figures: Figures | None = None
        self.on_second_attempt: Callable[[SecondAttempt], None] | None = None
        self.disconnects = ClientDisconnects()
        self.events: deque[tuple[Event, float]] = deque()
        self.handling = False
        self.action_handlers: dict[type, Callable[..., None]] = {
            Send: self.send,
            SetTimer: self.set_timer,
            Refuse: self.refuse,
            Fail: self.fail,
            Cancel: self.cancel,
            Count: self.count,
            Borrow: self.borrow,
        }

    # events

    def take(self, call: Call, exchange: Exchange) -> int:
        """Accepts a client's request; returns the number that identifies it to the module."""
        self.taken += 1
        pending = PendingRequest(self, self.taken, call, exchange)
        self.pending[pending.number] = pending
        self.open.add(call.id)
        self.unanswered += 1
        end = call.received + call.budget - min(GUARD_MARGIN_S, MAX_MARGIN_SHARE * call.budget / 2)
        pending.guard = self.deadlines.at(end, self.guard_expired, pending)
        self.post(
            Request(
                pending.number,
                call.klass,
                call.plan,
                call.customer,
                pending.end,
                call.units,
                call.width,
                call.first_gateway,
                call.repeat,
                call.service,
            )
        )
        return pending.number

    def is_open(self, call_id: bytes) -> bool:
        """True while a request with this client-given id is pending."""
        return call_id in self.open

    def client_left(self, number: int) -> None:
        """The client closed its connection before the response was complete."""
        pending = self.pending.get(number)
        if pending is not None and not pending.over:
            pending.left_at = self.clock()
            self.disconnects.requests += 1
            self.finish(pending)
            self.post(ClientLeft(number))
            self.forget(pending)

    def list_told(self, listing: Listing) -> None:
        """Applies a list from discovery and posts it to the module."""
        backends: list[Backend] = []
        for entry in listing.entries:
            backend = entry.backend
            if backend.status is Status.SERVING:
                # an address that passes to a new id ends the old id, whose removal may be listed only later
                for old in self.pool.at(entry.address):
                    if old != backend.address:
                        self.pool.retire(old)
                        self.serving.discard(old)
                        backends.append(replace(backend, address=old, status=Status.GONE))
                self.pool.set_address(backend.address, entry.address, backend.started)
                self.serving.add(backend.address)
            else:
                self.pool.retire(backend.address)
                self.serving.discard(backend.address)
            backends.append(backend)
        if listing.whole:
            named = {b.address for b in backends}
            self.pool.forget_others(named)
            self.serving &= named
            self.listed &= named
        for backend in backends:
            if backend.status is Status.GONE:
                self.listed.discard(backend.address)
            else:
                self.listed.add(backend.address)
        self.post(BackendList(listing.kind, tuple(backends)))

    def hold(self, held: BackendHold) -> None:
        """Applies an operator's hold or release: attempts that are not yet written no longer go there."""
        self.post(held)
        self.pool.suspend(held.backend)

    def on_counted(self, counted: CounterResult) -> None:
        """Posts the outcome of a counter call."""
        self.post(counted)

    def timer_due(self, key: str, due: float) -> None:
        """Posts a timer of the module's.

        The event loop counts whole milliseconds and may call too early; the module then sees the due time.
        """
        self.post(TimerDue(key), due)

    def stream_began(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        headers: bytes,
        length: int | None,
        source: BackendConnection,
    ) -> Sink | None:
        """Begins a streamed response, which from now on is the request's response, complete or not."""
        exchange = pending.exchange
        if pending.over or exchange is None or pending.streamed is not None:
            return None
        pending.streamed = attempt
        if pending.guard is not None:
            pending.guard.cancel()
        self.post(StreamBegun(pending.number, attempt.place))
        return exchange.begin(headers, length, source)

    def attempt_ended(self, pending: PendingRequest, attempt: Attempt, answer: Answer) -> None:
        """Sends a success to the client at once, and posts the end of the attempt."""
        pending.open_attempts -= 1
        if pending.left_at:
            self.disconnects.attempt_ended(
                self.clock() - pending.left_at,
                written=not answer.outcome.undelivered,
                cancelled=answer.outcome is Outcome.CANCELLED,
            )
        if pending.streamed is attempt and not pending.over:
            self.finish(pending, 200 if answer.outcome is Outcome.SERVED else 502)
        elif answer.outcome is Outcome.SERVED and not pending.over:
            self.finish(pending, answer.status or 200, answer.body, answer.headers)
        elif answer.outcome is Outcome.ERROR and answer.status not in (0, *NOT_EXECUTED_STATUSES):
            pending.error = answer
        elapsed = (attempt.began_at or self.clock()) - attempt.sent_at
        over = pending.over
        units = answer.units if answer.units <= self.most_units else 0.0  # more than any request can use
        self.post(
            AttemptEnded(
                pending.number,
                attempt.place,
                attempt.backend,
                answer.outcome,
                elapsed,
                over,
                units,
                answer.load,
            )
        )
        self.forget(pending)

    # handing events to the module

    def post(self, event: Event, due: float = 0.0) -> None:
        """Handles an event; one that an action causes waits until all actions are carried out."""
        if self.handling:
            return self.events.append((event, due))
        self.handling = True
        try:
            self.handle(event, due)
            while self.events:
                self.handle(*self.events.popleft())
        finally:
            self.handling = False
        return None

    def perform(self, actions: Iterable[Action]) -> None:
        """Carries out actions decided elsewhere, and handles the events that they cause."""
        self.handling = True
        try:
            self.carry_out(actions)
            while self.events:
                self.handle(*self.events.popleft())
        finally:
            self.handling = False

    def handle(self, event: Event, due: float) -> None:
        """Hands one event to the module and carries out its actions."""
        try:
            now = self.clock()
            self.carry_out(self.gateway.handle(event, now if now > due else due))
        except Exception:  # a failure on one event must not affect other requests
            log.exception("the event %r could not be handled", event)

    def carry_out(self, actions: Iterable[Action]) -> None:
        """Carries out actions in order."""
        action_handlers = self.action_handlers
        for action in actions:
            kind = type(action)
            if kind in action_handlers:  # only Subscribe has none: discovery is followed all the time
                action_handlers[kind](action)

    # actions

    def send(self, action: Send) -> None:
        """Starts an attempt."""
        pending = self.pending.get(action.request)
        if pending is None:
            return log.warning("a send for request %d, which has already ended", action.request)
        now, place = self.clock(), len(pending.attempts)
        until = pending.end if action.timeout <= 0 else min(pending.end, now + action.timeout)
        attempt = Attempt(
            action.backend, pending.call.head, pending.call.body, now, until, place, pending, action.write_by
        )
        attempt.body_pieces, attempt.id = pending.call.body_pieces, pending.call.id
        pending.attempts.append(attempt)
        pending.open_attempts += 1
        if pending.over or now >= pending.end:
            return attempt.end(Answer(Outcome.NOT_SENT))
        if place and self.on_second_attempt is not None:
            self.on_second_attempt(second_attempt(pending.call.klass, attempt, pending.attempts[:-1]))
        return self.pool.start(attempt)

    def cancel(self, action: Cancel) -> None:
        """Cancels an attempt."""
        pending = self.pending.get(action.request)
        if pending is not None and action.attempt < len(pending.attempts):
            pending.attempts[action.attempt].end(Answer(Outcome.CANCELLED))

    def refuse(self, action: Refuse) -> None:
        """Refuses a request, with advice on when to retry."""
        retry_header = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0 else b""
        self.finish_by_number(
            action.request, 429 if action.over_quota else self.busy_status, b"", retry_header
        )

    def fail(self, action: Fail) -> None:
        """Fails a request."""
        pending = self.pending.get(action.request)
        error = None if pending is None else pending.error
        if error is not None:  # the backend's own error tells the client more than a plain 502
            return self.finish_by_number(action.request, error.status, error.body, error.headers)
        return self.finish_by_number(action.request, 502)

    def set_timer(self, action: SetTimer) -> None:
        """Sets a timer of the module's."""
        due = self.clock() + action.delay
        self.loop.call_later(action.delay, self.timer_due, action.key, due)

    def count(self, action: Count) -> None:
        """Starts a counter call; without a counter it fails at once."""
        if self.counter is None:
            return self.post(CounterResult(action.name, Outcome.NO_CONNECTION, 0.0, 0.0))
        return self.counter.count(action)

    def borrow(self, action: Borrow) -> None:
        """Asks the shared reserve for units; without a reserve nothing is lent."""
        if self.reserve is None:
            return self.post(BorrowResult(action.customer, 0.0))
        return self.reserve(action)

    # final responses

    def finish_by_number(self, number: int, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Sends the final response to a request, unless it has one."""
        pending = self.pending.get(number)
        if pending is not None and not pending.over:
            self.finish(pending, status, body, headers)
            self.forget(pending)

    def finish(
        self, pending: PendingRequest, status: int = 0, body: bytes = b"", headers: bytes = b""
    ) -> None:
        """Ends a request; every request ends here. Without a status, the client has left and gets nothing."""
        pending.over = True
        self.unanswered -= 1
        if not self.unanswered:
            self.all_answered.set()
        if pending.guard is not None:
            pending.guard.cancel()
        exchange, pending.exchange = pending.exchange, None
        if status and self.figures is not None:
            self.figures.count(pending.call.klass, status)
        if status and exchange is not None:
            if pending.streamed is not None:
                exchange.done(status == 200)
            else:
                exchange.answer(status, body, headers)
        for attempt in pending.attempts:
            if not (attempt.ended or attempt.written):  # it must not be written after its request has ended
                attempt.end(Answer(Outcome.NOT_SENT))
            elif attempt is pending.streamed and not attempt.ended:
                attempt.end(Answer(Outcome.CANCELLED))  # the client does not get the rest

    def forget(self, pending: PendingRequest) -> None:
        """Removes a request that has ended together with all its attempts."""
        if pending.over and not pending.open_attempts and self.pending.pop(pending.number, None) is not None:
            self.open.discard(pending.call.id)

    def guard_expired(self, pending: PendingRequest) -> None:
        """Fails a request that the module has not ended although its client's deadline is near."""
        if not pending.over:
            log.warning("request %d had no response from the module by its deadline", pending.number)
            self.finish(pending, 504)
            self.post(ClientLeft(pending.number))
            self.forget(pending)

    def fail_unanswered(self) -> None:
        """Fails all requests that have no response."""
        for pending in list(self.pending.values()):
            self.guard_expired(pending)

    async def wait_answered(self, timeout_s: float) -> bool:
        """Waits until all accepted requests have responses; False if that takes too long."""
        end = self.clock() + timeout_s
        while self.unanswered:
            self.all_answered.clear()
            try:
                await asyncio.wait_for(self.all_answered.wait(), max(end - self.clock(), 0.0))
            except TimeoutError:
                return False
        return True
