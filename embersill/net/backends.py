"""A pool of connections to backends, which carry one attempt at a time and report how it ended.

An attempt is written once, on one connection, and never retried here: whether a request may be sent again
depends on how far its attempt came, which only the decision module judges.
"""

from __future__ import annotations

import asyncio
import logging
import math
import select
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from embersill.interface import Outcome
from embersill.net.deadlines import Deadline, Deadlines
from embersill.net.sent_bytes import UNKNOWN_BYTES, bytes_taken
from embersill.net.writing import disable_buffering, write_message

MAX_BODY_BYTES = 64 * 1024  # of a response, by the protocol
MAX_HEAD_BYTES = 32 * 1024  # before the body, with interim responses: a sound backend sends a hundredth
MAX_STREAM_BYTES = 32 * 1024 * 1024  # of a response's body if those over 64 KiB are streamed
SLOW_STALL_TIMEOUT_S = 2.0  # without a byte, if long bodies are streamed: backends may write slowly
STREAM_STALL_TIMEOUT_S = 10.0  # the same once it is streamed to the client: giving up loses the request
STALL_TIMEOUT_S = 0.5  # for the rest of a response that has begun: backends send it when it is complete
MAX_FOREIGN_ANSWERS = 2  # responses to other requests that are skipped on one connection
MIN_IDLE_S = 0.01  # before a connection is reused: surplus data behind a response shows by then
IDLE_LIMIT_SHARE = 0.5  # of the backends' idle limit: connections are closed here well before that
MIN_IDLE_LIMIT_S = 0.05  # lower bound of the idle limit, however many idle connections turn out dead
IDLE_DECREASE, IDLE_INCREASE = 0.7, 1.01  # factors on the idle limit for a dead connection and a live one
DEAD_WITHIN_S = 0.02  # after the write, a dead connection breaks: a response is cut off only later
MIN_LEFT_S = 0.001  # least time that a backend is told to be left
SWEEP_INTERVAL_S = 1.0  # between checks for idle connections
# statuses that tell a client that its request has not run and never will, so that it may send it again
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))

log = logging.getLogger("embersill")


@dataclass(frozen=True, slots=True)
class Answer:
    """How an attempt ended, with the backend's response if it was complete."""

    outcome: Outcome
    body: bytes = b""
    units: float = 0.0
    headers: bytes = b""  # header lines for the client, such as Content-Type
    status: int = 0  # of a complete response of the backend
    load: tuple[float, ...] = ()  # the load that the backend reported


class Dialect(Protocol):
    """The protocol between gateways and backends, as far as it is in message heads."""

    def head(self, attempt: Attempt, wait: float) -> bytes:
        """The head of a request whose client waits `wait` seconds more."""
        ...

    def header(self, connection: BackendConnection, name: bytes, value: bytes) -> None:
        """Handles one header line of a response; its name is in lower case."""
        ...

    def judge(self, connection: BackendConnection, attempt: Attempt, body: bytes) -> Answer:
        """The outcome of an attempt that got a complete response."""
        ...

    def belongs(self, connection: BackendConnection, attempt: Attempt) -> bool:
        """True if a response belongs to the attempt, by its head: no other is streamed to the client."""
        ...


class Sink(Protocol):
    """Where a streamed response goes."""

    def send_piece(self, data: bytes) -> bool:
        """Takes a piece; False if the source must pause until it is told to resume."""
        ...


class Owner(Protocol):
    """Receives the outcome of an attempt."""

    def stream_began(
        self, attempt: Attempt, headers: bytes, length: int | None, source: BackendConnection
    ) -> Sink | None:
        """A response of more than 64 KiB begins; None if it is no longer wanted."""
        ...

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None:
        """The attempt has ended; called once."""
        ...


class Attempt:
    """One attempt: what to write, where to, and how it ended. Its owner is told of the end exactly once."""

    __slots__ = (
        "backend",
        "began_at",
        "body",
        "connection",
        "dial",
        "head",
        "id",
        "kernel_bytes",
        "outcome",
        "owner",
        "place",
        "body_pieces",
        "sent_at",
        "timer",
        "until",
        "write_by",
        "written",
    )

    def __init__(
        self,
        backend: str,
        head: bytes,
        body: bytes,
        sent_at: float,
        until: float,
        place: int,
        owner: Owner,
        write_by: float = math.inf,
    ) -> None:
        self.backend, self.head, self.body = backend, head, body
        self.sent_at, self.until, self.place, self.write_by = sent_at, until, place, write_by
        self.owner: Owner | None = owner
        self.body_pieces: list[bytes] | None = None  # the pieces of a body over 64 KiB, instead of `body`
        self.id = b""  # the client's id for it, where backends name the attempt that they answer
        self.began_at = 0.0  # when its response began to be streamed
        self.written = False  # any of it is sent: from then on the backend may run it
        self.outcome: Outcome | None = None  # how it ended
        self.kernel_bytes = 0  # bytes that the kernel had taken of it, if it is proven that it has not run
        self.connection: BackendConnection | None = None
        self.dial: asyncio.Task[None] | None = None
        self.timer: Deadline | None = None

    @property
    def ended(self) -> bool:
        """True once its owner has been told of the end."""
        return self.owner is None

    def end(self, answer: Answer) -> None:
        """Ends the attempt unless it has ended; stops its dial and closes a connection still in use."""
        owner, self.owner = self.owner, None  # also breaks the reference cycle with the owner
        if owner is None:
            return
        self.outcome = answer.outcome
        if self.timer is not None:
            self.timer.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if self.connection is not None:
            self.connection.give_up(self)
        owner.attempt_ended(self, answer)

    def fail(self, outcome: Outcome) -> None:
        """Ends the attempt without a response. `outcome` is that of an attempt which may have run.

        Only one of which nothing was written has certainly not run. See docs/design/execution-safety.md.
        """
        if not self.written and self.connection is not None:
            self.kernel_bytes = self.connection.request_bytes_taken()
        self.end(Answer(outcome if self.written else Outcome.NO_CONNECTION))

    def time_out(self) -> None:
        """Ends the attempt at its deadline."""
        connection = self.connection
        self.fail(Outcome.TIMED_OUT)
        if connection is not None:
            # The idle connections of an unreachable machine stay open and silent. A request written to one
            # may have run, whereas one that waits for a failed dial certainly has not.
            connection.endpoint.drop_idle()


class Endpoint:
    """A backend at one address, since one start. Its connections are used for no other.

    An id may come back at another address, or its address may pass to another id: connections that were
    dialled before belong to the old Endpoint.
    """

    __slots__ = ("address", "backend", "idle", "started")

    def __init__(self, backend: str, address: tuple[str, int], started: float | None) -> None:
        self.backend, self.address, self.started = backend, address, started
        self.idle: list[BackendConnection] = []  # the longest idle first

    def drop_idle(self) -> None:
        """Closes all idle connections."""
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.close()


class BackendConnection(asyncio.Protocol):
    """A persistent connection that carries one attempt at a time."""

    def __init__(self, pool: Pool, endpoint: Endpoint) -> None:
        self.pool, self.endpoint = pool, endpoint
        self.transport: asyncio.Transport | None = None
        self.descriptor = -1
        self.attempt: Attempt | None = None
        self.stall: asyncio.TimerHandle | None = None
        self.idle_since = self.idle_time = 0.0  # since when it is idle; how long it was before its last use
        self.unsent = False  # part of the request is not yet in the kernel's buffer
        self.request_bytes = self.earlier_bytes = 0  # sizes of the present request, and of all before it
        self.paused = False  # reading has stopped because the client's buffer is full
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.start_answer()

    def start_answer(self) -> None:
        """Resets the state of the response as a whole."""
        self.received_bytes = self.status = self.foreign_answers = 0
        self.complete = self.keep = self.surplus = self.malformed = self.begun = self.in_body = False
        self.length: int | None = None
        self.chunked = False
        self.sink: Sink | None = None
        self.start_message()

    def start_message(self) -> None:
        """Resets the state of one message; interim responses are messages of their own."""
        self.parts: list[bytes] = []
        self.size, self.units, self.headers, self.rejected = 0, 0.0, b"", False
        self.answers_to, self.idle_limit_s = b"", 0.0  # set by dialects
        self.load: tuple[float, ...] = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Transport callback: registers the connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        disable_buffering(self.transport)
        self.poll = select.poll()
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.poll.register(self.descriptor, select.POLLIN)
        self.pool.opened(self)

    def pause_writing(self) -> None:
        """Transport callback: not all written data is in the kernel's buffer."""
        self.unsent = True

    def resume_writing(self) -> None:
        """Transport callback: the kernel has taken all written data."""
        self.unsent = False

    def send(self, attempt: Attempt, wait: float) -> None:
        """Writes an attempt whose client waits `wait` seconds more."""
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self.start_answer()
        first = self.pool.dialect.head(attempt, wait) + attempt.body
        rest = attempt.body_pieces or ()
        self.earlier_bytes += self.request_bytes
        self.request_bytes = len(first) + (sum(map(len, rest)) if rest else 0)
        attempt.written = True  # also if the write raises: some of it may have left before
        try:
            attempt.written = write_message(self.transport, first, rest)
        except Exception:  # such as a lack of memory
            log.exception("a request could not be written backend=%s", attempt.backend)
            return attempt.fail(Outcome.BROKEN)
        if not attempt.written:
            return attempt.fail(Outcome.BROKEN)
        self.pool.tries += 1
        return None

    def request_bytes_taken(self) -> int:
        """The bytes that the kernel has taken of the present request; -1 if it does not tell."""
        taken = bytes_taken(self.descriptor)
        return taken - self.earlier_bytes if taken != UNKNOWN_BYTES else UNKNOWN_BYTES

    def give_up(self, attempt: Attempt) -> None:
        """Closes the connection, which tells the backend that the attempt was cancelled."""
        if self.attempt is attempt:
            self.attempt = None
            self.close()

    def close(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def usable(self) -> bool:
        """True while the connection is up."""
        return self.transport is not None and not self.transport.is_closing()

    def is_reused(self) -> bool:
        """True if it has carried an attempt before the present one."""
        return self.idle_time > 0.0

    def is_quiet(self) -> bool:
        """True if nothing is readable: no surplus that would pass for the next response, no end."""
        return not self.poll.poll(0)

    # parser callbacks

    def on_message_begin(self) -> None:
        """Parser callback."""
        self.begun = True
        if self.complete:
            self.surplus = True
        else:
            self.start_message()  # discards what an interim response has set

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback."""
        if self.complete:  # what follows a complete response belongs to no attempt
            return
        name = name.lower()
        if name == b"content-length":
            # a response that declares too long a body is rejected at once
            if value.isdigit():
                self.length = length = int(value)
                self.malformed = self.malformed or length > self.pool.most_body
            else:
                self.malformed = True
        elif name == b"transfer-encoding":
            self.chunked = True
        else:
            self.pool.dialect.header(self, name, value)

    def on_headers_complete(self) -> None:
        """Parser callback."""
        self.in_body = self.parser is not None and not is_interim(self.parser.get_status_code())

    def on_body(self, body: bytes) -> None:
        """Parser callback: keeps a piece of the body."""
        if not self.complete:
            self.size += len(body)
            if self.size <= self.pool.most_body:
                self.parts.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: skips interim and foreign responses."""
        if self.complete or self.parser is None:
            return
        self.begun = False
        status = self.parser.get_status_code()
        if self.answers_to and self.attempt is not None and self.answers_to != self.attempt.id:
            self.foreign_answers += 1  # a late response to another request: the right one may still come
            self.in_body, self.length, self.chunked = False, None, False
            self.malformed = self.malformed or self.foreign_answers > MAX_FOREIGN_ANSWERS
        elif not is_interim(status):  # interim responses precede the final one
            self.complete, self.status = True, status
            self.keep = self.parser.should_keep_alive()  # the parser can only tell during this callback

    # transport callbacks

    def data_received(self, data: bytes) -> None:
        """Transport callback: parses a response; ends the attempt once it is complete or invalid."""
        attempt = self.attempt
        if attempt is None:
            return self.close()  # unrequested data, or surplus behind a response
        self.received_bytes += len(data)
        self.parse(data)
        if self.pool.streams and self.sink is None and not self.complete and self.is_long():
            self.handle_long_answer(attempt)
        if self.sink is not None and self.attempt is attempt:
            self.pass_on(self.sink)
        if self.attempt is not attempt:
            return  # its client has left meanwhile
        if self.complete:
            self.finish(attempt)
        elif self.is_invalid():
            # a backend that sends anything may have run the request, however malformed the response is
            attempt.fail(Outcome.BROKEN)
        elif self.begun and (self.stall is None or self.pool.streams):
            if self.stall is not None:
                self.stall.cancel()
            self.stall = self.pool.loop.call_later(self.stall_timeout(), self.has_stalled, attempt)

    def is_long(self) -> bool:
        """True for a 200 response over 64 KiB, by its declared length or by what has arrived."""
        if not self.in_body or self.malformed or self.parser is None:
            return False
        return self.parser.get_status_code() == 200 and max(self.length or 0, self.size) > MAX_BODY_BYTES

    def handle_long_answer(self, attempt: Attempt) -> None:
        """Handles a response that is too long to be buffered: streams it if it belongs to the attempt."""
        if self.pool.dialect.belongs(self, attempt):
            self.begin_stream(attempt)
        elif self.answers_to and self.answers_to != attempt.id:
            self.parts.clear()  # a late response to another request: the right one may follow
        else:
            attempt.fail(Outcome.BROKEN)

    def begin_stream(self, attempt: Attempt) -> None:
        """Starts to stream the response to the attempt's owner."""
        owner = attempt.owner
        if owner is None:
            return
        attempt.began_at = self.pool.clock()
        if attempt.timer is not None:
            attempt.timer.cancel()  # a response that begins in time is streamed to its end
        length = None if self.chunked else self.length
        self.sink = owner.stream_began(attempt, self.headers, length, self)
        if self.sink is None:
            attempt.end(Answer(Outcome.CANCELLED))

    def pass_on(self, sink: Sink) -> None:
        """Hands on what has arrived, and pauses reading if the sink is full."""
        parts, self.parts = self.parts, []
        if (
            parts
            and not sink.send_piece(b"".join(parts))
            and not self.complete
            and self.transport is not None
        ):
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading: the client has room for more."""
        if self.paused and self.usable() and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()

    def stall_timeout(self) -> float:
        """Seconds that the rest of the response, or its next bytes, may take."""
        if not self.pool.streams:
            return STALL_TIMEOUT_S
        return STREAM_STALL_TIMEOUT_S if self.sink is not None else SLOW_STALL_TIMEOUT_S

    def parse(self, data: bytes) -> None:
        """Feeds the parser, and starts a new one behind an upgrade."""
        while self.parser is not None and data:
            try:
                return self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                # an unrequested 101: the final response follows it and needs a new parser
                self.parser, data = httptools.HttpResponseParser(self), data[upgrade.args[0] :]
            except httptools.HttpParserError:
                self.malformed = True
                return

    def is_invalid(self) -> bool:
        """True if the response is malformed or too long."""
        # chunk framing is allowed to double the size of the body
        most = MAX_HEAD_BYTES + 2 * self.pool.most_body if self.in_body else MAX_HEAD_BYTES
        return self.malformed or self.received_bytes > most or self.size > self.pool.most_body

    def has_stalled(self, attempt: Attempt) -> None:
        """Timer callback: no more of the response came in time."""
        # the attempt is ended early, since another one may help while this response is waited for
        self.stall = None
        if self.attempt is not attempt:
            return
        if self.paused:  # the client does not read: its own connection has a time limit for that
            self.stall = self.pool.loop.call_later(self.stall_timeout(), self.has_stalled, attempt)
        else:
            attempt.fail(Outcome.BROKEN)

    def finish(self, attempt: Attempt) -> None:
        """Ends the attempt with the complete response, and returns the connection to the pool."""
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None
        parts, self.parts = self.parts, []
        self.sink = None
        if self.size <= self.pool.most_body:
            answer = self.pool.dialect.judge(self, attempt, b"".join(parts))
        else:
            answer = Answer(Outcome.BROKEN)
        if answer.outcome.never_ran:
            attempt.kernel_bytes = self.request_bytes_taken()
        whole = answer.outcome is not Outcome.BROKEN
        # the connection is returned before the outcome is reported: the next attempt may need it
        if (
            whole
            and self.keep
            and not (self.unsent or self.surplus or self.malformed or self.foreign_answers)
        ):
            self.attempt = attempt.connection = None
            self.pool.raise_idle_limit(self.idle_time)
            self.pool.put_back(self)
        attempt.end(answer)

    def eof_received(self) -> bool:
        """Transport callback: the end of the stream may complete a response."""
        attempt = self.attempt
        delimited = self.length is None and not self.chunked
        if self.pool.streams and attempt is not None and self.in_body and delimited and not self.malformed:
            # a response with neither length nor chunks is complete when the backend closes cleanly
            if not self.complete and self.parser is not None:
                self.complete, self.keep, self.status = True, False, self.parser.get_status_code()
                self.finish(attempt)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Transport callback: ends the attempt, as broken unless nothing of it was written."""
        self.pool.closed(self)
        attempt, self.attempt = self.attempt, None
        self.parser = self.transport = None  # breaks the cycle with the parser: both are freed at once
        if self.stall is not None:
            self.stall.cancel()
        if attempt is not None:
            if (
                self.idle_time
                and not self.received_bytes
                and self.pool.clock() - attempt.sent_at < DEAD_WITHIN_S
            ):
                self.pool.lower_idle_limit(self.idle_time)
            if self.unsent:
                self.pool.lost_sending += 1
            else:
                self.pool.lost_waiting += 1
            attempt.fail(Outcome.BROKEN)
        self.descriptor = -1


class CallDialect:
    """The protocol of the gateway in service: budgets in seconds, rejections and billed units."""

    def head(self, attempt: Attempt, wait: float) -> bytes:
        """The attempt's head with the remaining budget."""
        return b"%bX-Budget: %.3f\r\n\r\n" % (attempt.head, wait)

    def header(self, connection: BackendConnection, name: bytes, value: bytes) -> None:
        """Reads the headers of rejections and billing, and set_idle_limit those that describe the body."""
        if name == b"x-rejected":
            connection.rejected = value.strip() == b"1"
        elif name == b"billed-units":
            connection.units = read_units(value)
        elif name in (b"content-type", b"content-encoding"):
            connection.headers += b"%b: %b\r\n" % (name.title(), value)

    def belongs(self, connection: BackendConnection, attempt: Attempt) -> bool:
        """Always true: these heads name no attempt."""
        return True

    def judge(self, connection: BackendConnection, attempt: Attempt, body: bytes) -> Answer:
        """The outcome by status; only an explicit rejection proves that the request was not run."""
        if connection.status == 200:
            return Answer(Outcome.SERVED, body, connection.units, connection.headers)
        turned_away = connection.status in (503, 504) and connection.rejected
        return Answer(Outcome.TURNED_AWAY if turned_away else Outcome.ERROR)


def is_interim(status: int) -> bool:
    """True for 1xx statuses, which precede the final response."""
    return 100 <= status < 200


def read_units(value: bytes) -> float:
    """Billed units; 0 for a value that is invalid or out of bounds."""
    try:
        units = float(value)
    except ValueError:
        return 0.0
    return units if 0.0 < units < 1e6 else 0.0


class Pool:
    """All connections to backends: at most `most`, including dials in progress."""

    def __init__(
        self,
        clock: Callable[[], float],
        dial_timeout: float,
        keepalive: float,
        most: int,
        dialect: Dialect | None = None,
    ) -> None:
        self.clock, self.dial_timeout, self.most = clock, dial_timeout, most
        self.dialect: Dialect = dialect or CallDialect()
        self.streams, self.most_body = False, MAX_BODY_BYTES
        self.idle_limit = self.most_idle = keepalive * IDLE_LIMIT_SHARE
        self.loop = asyncio.get_running_loop()
        self.deadlines = Deadlines(self.loop, lambda: self.clock())
        self.endpoints: dict[str, Endpoint] = {}
        self.connections: set[BackendConnection] = set()
        self.dialling: dict[Attempt, Endpoint] = {}
        self.tries = 0  # attempts of which any part was sent
        self.lost_sending = 0  # of these, lost with the connection while a part was unsent
        self.lost_waiting = 0  # the same with all of it sent
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def set_idle_limit(self, told: float) -> None:
        """Adopts a backend's announced idle limit, in seconds."""
        most = told * IDLE_LIMIT_SHARE
        if most != self.most_idle:
            self.idle_limit = self.most_idle = most

    def enable_streaming(self) -> None:
        """Allows response bodies over 64 KiB, which are streamed to the client."""
        self.streams, self.most_body = True, MAX_STREAM_BYTES

    def set_address(self, backend: str, address: tuple[str, int], started: float | None = None) -> None:
        """Sets a backend's address; connections to an earlier address or start are retired."""
        endpoint = self.endpoints.get(backend)
        if endpoint is None or (endpoint.address, endpoint.started) != (address, started):
            self.retire(backend)
            self.endpoints[backend] = Endpoint(backend, address, started)

    def at(self, address: tuple[str, int]) -> list[str]:
        """The backends that are listed with this address."""
        return [b for b, endpoint in self.endpoints.items() if endpoint.address == address]

    def retire(self, backend: str) -> None:
        """Stops writing to a backend that drains or is gone; attempts that are still dialling it end.

        Attempts in flight run to their ends, and their connections are closed after that.
        """
        endpoint = self.endpoints.pop(backend, None)
        if endpoint is not None:
            endpoint.drop_idle()
            for attempt in [a for a, target in self.dialling.items() if target is endpoint]:
                attempt.fail(Outcome.BROKEN)

    def suspend(self, backend: str) -> None:
        """Closes a backend's idle connections and ends attempts that are dialling it; for a hold."""
        endpoint = self.endpoints.get(backend)
        if endpoint is not None:
            endpoint.drop_idle()
        self.cancel_dials(backend)

    def cancel_dials(self, backend: str) -> None:
        """Ends attempts that are still dialling a backend, for which a drain was reported elsewhere."""
        for attempt in [a for a in self.dialling if a.backend == backend]:
            attempt.fail(Outcome.BROKEN)

    def forget_others(self, known: Iterable[str]) -> None:
        """Retires backends that a whole list does not name."""
        for backend in self.endpoints.keys() - set(known):
            self.retire(backend)

    def start(self, attempt: Attempt) -> None:
        """Writes an attempt to an idle connection, or dials one for it."""
        now = self.clock()
        attempt.timer = self.deadlines.at(attempt.until, Attempt.time_out, attempt)
        endpoint = self.endpoints.get(attempt.backend)
        if endpoint is None:
            return attempt.fail(Outcome.BROKEN)
        connection = self.take_idle(endpoint, now)
        if connection is not None:
            left = attempt.until - now
            return connection.send(attempt, left if left > MIN_LEFT_S else MIN_LEFT_S)
        if not self.has_room():
            return attempt.fail(Outcome.BROKEN)
        self.dialling[attempt] = endpoint
        attempt.dial = self.loop.create_task(self.connect(attempt, endpoint))
        return None

    def take_idle(self, endpoint: Endpoint, now: float) -> BackendConnection | None:
        """The last used connection that has been idle long enough; closes those that became unusable."""
        for place in range(len(endpoint.idle) - 1, -1, -1):
            connection = endpoint.idle[place]
            if now - connection.idle_since < MIN_IDLE_S:
                continue
            del endpoint.idle[place]
            fresh = now - connection.idle_since < self.idle_limit
            if fresh and connection.usable() and connection.is_quiet():
                connection.idle_time = now - connection.idle_since
                return connection
            connection.close()
        return None

    def lower_idle_limit(self, idle_time: float) -> None:
        """Lowers the idle limit: each idle connection that was closed without notice costs a request."""
        self.idle_limit = max(min(self.idle_limit, idle_time) * IDLE_DECREASE, MIN_IDLE_LIMIT_S)

    def raise_idle_limit(self, idle_time: float) -> None:
        """Raises the idle limit after a connection was reused well into it."""
        if idle_time > self.idle_limit / 2:
            self.idle_limit = min(self.idle_limit * IDLE_INCREASE, self.most_idle)

    def has_room(self) -> bool:
        """True if one more may be dialled; at the limit, the longest idle connection is closed for it."""
        if len(self.connections) + len(self.dialling) < self.most:
            return True
        oldest = min(
            (endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle),
            default=None,
            key=lambda c: c.idle_since,
        )
        if oldest is None:
            return False
        oldest.endpoint.idle.remove(oldest)
        oldest.close()
        return True

    async def connect(self, attempt: Attempt, endpoint: Endpoint) -> None:
        """Dials a connection and writes the attempt to it."""
        connection, up = BackendConnection(self, endpoint), False
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.loop.create_connection(lambda: connection, *endpoint.address)
            up = connection.usable() and connection.is_quiet()  # the backend may have closed it already
        except (OSError, TimeoutError):  # refused, unreachable, out of descriptors, or timed out
            pass
        finally:
            self.dialling.pop(attempt, None)
            attempt.dial = None
            if not up or attempt.ended:
                connection.close()  # also if the attempt ended just as its connection came up
        if up and self.clock() > attempt.write_by:  # the dial was slow, or this process was suspended
            up = False
            connection.close()
        if up and not attempt.ended:
            connection.send(attempt, max(attempt.until - self.clock(), MIN_LEFT_S))
        else:
            attempt.fail(Outcome.BROKEN)

    def opened(self, connection: BackendConnection) -> None:
        """Registers a connection."""
        self.connections.add(connection)

    def closed(self, connection: BackendConnection) -> None:
        """Removes a connection that was lost."""
        self.connections.discard(connection)
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)

    def put_back(self, connection: BackendConnection) -> None:
        """Keeps a connection for reuse, unless its backend has been retired."""
        endpoint = connection.endpoint
        if self.endpoints.get(endpoint.backend) is not endpoint:
            return connection.close()
        connection.idle_since = self.clock()
        return endpoint.idle.append(connection)

    def sweep(self) -> None:
        """Closes connections over the idle limit, at intervals; in each list the longest idle come first."""
        before = self.clock() - self.idle_limit
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since < before:
                endpoint.idle.pop(0).close()
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def close(self) -> None:
        """Closes all connections."""
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close()
