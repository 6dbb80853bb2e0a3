"""Joins the decision module to the sockets: events in, actions out, one final answer a request.

Nothing is chosen here. What happened becomes an event of the module; its actions are carried out in their
order. The one exception is the guard that answers a request which would otherwise go without, and logs it.
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
    Cancel,
    ClientLeft,
    Count,
    Counted,
    Event,
    Fail,
    Lent,
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
from embersill.net.backends import Answer, Attempt, BackendConnection, Pool, Sink
from embersill.net.deadlines import Deadline
from embersill.net.disconnects import ClientDisconnects
from embersill.net.discovery import Listing

if TYPE_CHECKING:
    from embersill.service.figures import Figures

EARLY = 0.1  # seconds before the client's end at which the module takes a request to be over: the budget
# runs from the client's send, the answer has its way back, and the core may be busy with another gateway
GUARD = 0.05  # seconds before the client's end at which an unanswered request is failed by the guard
SCANT = 0.25  # of the budget, at most, that these two may take

log = logging.getLogger("embersill")


@dataclass(slots=True)
class Call:
    """A client's request in the protocol's terms, as it goes to the module and to backends."""

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
    head: bytes  # request line and headers for a backend, but for the budget and the blank line
    body: bytes
    service: str = ""  # whose backends it goes to, where there are several
    rest: list[bytes] | None = None  # in its place a body over 64 KiB, in the pieces in which it came


class Exchange(Protocol):
    """Where a request's answer goes."""

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None: ...

    def begin(self, headers: bytes, length: int | None, source: BackendConnection) -> Sink:
        """Begins an answer that is passed on while it comes."""
        ...

    def done(self, whole: bool) -> None:
        """Ends that one; where it is not whole the client must be able to tell."""
        ...


class Pending:
    """A request that was taken, until it has its answer and the last of its attempts has ended."""

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
        "out",
        "over",
        "streamed",
    )

    def __init__(self, driver: Driver, number: int, call: Call, exchange: Exchange) -> None:
        self.driver, self.number, self.call = driver, number, call
        self.exchange: Exchange | None = exchange
        self.end = call.received + call.budget - min(EARLY, SCANT * call.budget)
        self.attempts: list[Attempt] = []
        self.out, self.over = 0, False
        self.guard: Deadline | None = None
        self.error: Answer | None = None  # a backend's own answer that is none of success
        self.streamed: Attempt | None = None  # the one whose answer is being passed on
        self.left_at = 0.0  # when its client was seen to have left without an answer; 0: it has not

    def attempt_began(
        self, attempt: Attempt, headers: bytes, length: int | None, source: BackendConnection
    ) -> Sink | None:
        return self.driver.attempt_began(self, attempt, headers, length, source)

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None:
        self.driver.attempt_ended(self, attempt, answer)


class Decider(Protocol):
    """What decides: the module itself, or a stand-in that asks one elsewhere and performs what it says."""

    @property
    def settings(self) -> Settings: ...

    def handle(self, event: Event, now: float) -> list[Action]: ...


class Counts(Protocol):
    """Where the module's calls of the counter go; what becomes of them comes back by `counter_told`."""

    def count(self, action: Count) -> None: ...

    def move(self, address: tuple[str, int]) -> None: ...

    def close(self) -> None: ...


class Driver:
    """Owns the one decider of this process."""

    def __init__(self, gateway: Decider, clock: Callable[[], float], pool: Pool) -> None:
        self.gateway, self.clock, self.pool = gateway, clock, pool
        self.most_units = gateway.settings.most_units
        self.counter: Counts | None = None
        self.reserve: Callable[[Borrow], None] | None = None  # `post` hears what it lends
        self.busy = 429  # the status of a refusal that is not for the customer's quota
        self.loop = asyncio.get_running_loop()
        self.deadlines = pool.deadlines
        self.pending: dict[int, Pending] = {}
        self.open: set[bytes] = set()  # the clients' ids of these
        self.unanswered = 0
        self.taken = 0
        self.all_answered = asyncio.Event()
        self.serving: set[str] = set()  # backends that the list shows as serving
        self.listed: set[str] = set()  # these and those that drain
        self.figures: Figures | None = None
        self.disconnects = ClientDisconnects()
        self.events: deque[tuple[Event, float]] = deque()
        self.handling = False
        self.carry: dict[type, Callable[..., None]] = {
            Send: self.send,
            SetTimer: self.set_timer,
            Refuse: self.refuse,
            Fail: self.fail,
            Cancel: self.cancel,
            Count: self.count,
            Borrow: self.borrow,
        }

    # what happened

    def take(self, call: Call, exchange: Exchange) -> int:
        """A client's request; its number is the module's name for it."""
        self.taken += 1
        pending = Pending(self, self.taken, call, exchange)
        self.pending[pending.number] = pending
        self.open.add(call.id)
        self.unanswered += 1
        end = call.received + call.budget - min(GUARD, SCANT * call.budget / 2)
        pending.guard = self.deadlines.at(end, self.rescue, pending)
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
        return call_id in self.open

    def client_left(self, number: int) -> None:
        pending = self.pending.get(number)
        if pending is not None and not pending.over:
            pending.left_at = self.clock()
            self.disconnects.requests += 1
            self.finish(pending)
            self.post(ClientLeft(number))
            self.forget(pending)

    def list_told(self, listing: Listing) -> None:
        backends: list[Backend] = []
        for entry in listing.entries:
            backend = entry.backend
            if backend.status is Status.SERVING:
                # an address that goes to a new id is no longer the old one's, whose end may be told later
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
        """Staff's word on a backend: nothing that waits to be written goes there any more."""
        self.post(held)
        self.pool.rest_line(held.backend)

    def counter_told(self, counted: Counted) -> None:
        self.post(counted)

    def timer_due(self, key: str, due: float) -> None:
        # the loop counts whole milliseconds and may come early: for the module a timer is never early
        self.post(TimerDue(key), due)

    def attempt_began(
        self,
        pending: Pending,
        attempt: Attempt,
        headers: bytes,
        length: int | None,
        source: BackendConnection,
    ) -> Sink | None:
        """From the first byte that is passed on this attempt's answer is the request's, whole or not."""
        exchange = pending.exchange
        if pending.over or exchange is None or pending.streamed is not None:
            return None
        pending.streamed = attempt
        if pending.guard is not None:
            pending.guard.cancel()
        self.post(StreamBegun(pending.number, attempt.place))
        return exchange.begin(headers, length, source)

    def attempt_ended(self, pending: Pending, attempt: Attempt, answer: Answer) -> None:
        pending.out -= 1
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
        elif answer.outcome is Outcome.ERROR and answer.status:
            pending.error = answer
        elapsed = (attempt.began_at or self.clock()) - attempt.sent_at
        over = pending.over
        units = answer.units if answer.units <= self.most_units else 0.0  # no request takes as much
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

    # the module

    def post(self, event: Event, due: float = 0.0) -> None:
        """Hands an event on; one that an action brings about waits until all actions are carried out."""
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
        """Carries out decisions that were made elsewhere, and then what comes of them."""
        self.handling = True
        try:
            self.act(actions)
            while self.events:
                self.handle(*self.events.popleft())
        finally:
            self.handling = False

    def handle(self, event: Event, due: float) -> None:
        try:
            now = self.clock()
            self.act(self.gateway.handle(event, now if now > due else due))
        except Exception:  # one event that goes wrong must not take the other requests with it
            log.exception("the event %r went wrong", event)

    def act(self, actions: Iterable[Action]) -> None:
        carry = self.carry
        for action in actions:
            kind = type(action)
            if kind in carry:  # the one other is Subscribe: discovery is followed all the time
                carry[kind](action)

    # what the module wants

    def send(self, action: Send) -> None:
        pending = self.pending.get(action.request)
        if pending is None:
            return log.warning("a send for request %d, which is over and done", action.request)
        now, place = self.clock(), len(pending.attempts)
        until = pending.end if action.timeout <= 0 else min(pending.end, now + action.timeout)
        attempt = Attempt(
            action.backend, pending.call.head, pending.call.body, now, until, place, pending, action.write_by
        )
        attempt.rest, attempt.id = pending.call.rest, pending.call.id
        pending.attempts.append(attempt)
        pending.out += 1
        if pending.over or now >= pending.end:
            return attempt.end(Answer(Outcome.NOT_SENT))
        return self.pool.start(attempt)

    def cancel(self, action: Cancel) -> None:
        pending = self.pending.get(action.request)
        if pending is not None and action.attempt < len(pending.attempts):
            pending.attempts[action.attempt].end(Answer(Outcome.CANCELLED))

    def refuse(self, action: Refuse) -> None:
        advice = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0 else b""
        self.finish_number(action.request, 429 if action.over_quota else self.busy, b"", advice)

    def fail(self, action: Fail) -> None:
        pending = self.pending.get(action.request)
        error = None if pending is None else pending.error
        if error is not None:  # what the backend said itself tells the client more than a word of ours
            return self.finish_number(action.request, error.status, error.body, error.headers)
        return self.finish_number(action.request, 502)

    def set_timer(self, action: SetTimer) -> None:
        due = self.clock() + action.delay
        self.loop.call_later(action.delay, self.timer_due, action.key, due)

    def count(self, action: Count) -> None:
        if self.counter is None:
            return self.post(Counted(action.name, Outcome.NO_CONNECTION, 0.0, 0.0))
        return self.counter.count(action)

    def borrow(self, action: Borrow) -> None:
        if self.reserve is None:
            return self.post(Lent(action.customer, 0.0))
        return self.reserve(action)

    # final answers

    def finish_number(self, number: int, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        pending = self.pending.get(number)
        if pending is not None and not pending.over:
            self.finish(pending, status, body, headers)
            self.forget(pending)

    def finish(self, pending: Pending, status: int = 0, body: bytes = b"", headers: bytes = b"") -> None:
        """The one place where a request ends; with no status its client is gone and hears nothing."""
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
            if not (attempt.ended or attempt.written):  # it must not be written for a request that is over
                attempt.end(Answer(Outcome.NOT_SENT))
            elif attempt is pending.streamed and not attempt.ended:
                attempt.end(Answer(Outcome.CANCELLED))  # nobody is there to read the rest

    def forget(self, pending: Pending) -> None:
        if pending.over and not pending.out and self.pending.pop(pending.number, None) is not None:
            self.open.discard(pending.call.id)

    def rescue(self, pending: Pending) -> None:
        """The guard: the module should have ended this request by now, and its client's time is up."""
        if not pending.over:
            log.warning("request %d had no answer from the module at its end", pending.number)
            self.finish(pending, 504)
            self.post(ClientLeft(pending.number))
            self.forget(pending)

    def rescue_all(self) -> None:
        for pending in list(self.pending.values()):
            self.rescue(pending)

    async def wait_answered(self, at_most: float) -> bool:
        """Waits until nothing that was taken is unanswered; False if that took too long."""
        end = self.clock() + at_most
        while self.unanswered:
            self.all_answered.clear()
            try:
                await asyncio.wait_for(self.all_answered.wait(), max(end - self.clock(), 0.0))
            except TimeoutError:
                return False
        return True
