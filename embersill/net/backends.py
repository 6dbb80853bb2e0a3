"""Connections to backends: a pool, one attempt at a time on each, and how every attempt ended.

An attempt is written once, on one connection, and never again by this file: whether a request may be sent
another time depends on how far this one came, and only the decision module judges that.
"""

from __future__ import annotations

import asyncio
import math
import select
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from embersill.interface import Outcome
from embersill.net.deadlines import Deadline, Deadlines

MOST_BODY = 64 * 1024  # bytes of an answer's body, by the protocol
MOST_HEAD = 32 * 1024  # bytes before the body, interim answers too: a sound backend sends a hundredth of it
MOST_STREAM = 32 * 1024 * 1024  # bytes of an answer's body where bodies over 64 KiB are passed on in pieces
SLOW_STALLED = 2.0  # seconds without a byte, there: backends write as slowly as they like
STREAM_STALLED = 10.0  # the same once it is being passed on, when giving up loses the request
STALLED = 0.5  # seconds that the rest of an answer may take once it has begun: what it has is ready by then
MOST_STRANGERS = 2  # answers of other requests that are passed over on one connection
RESTED = 0.01  # seconds unused before another request goes out: what comes behind an answer shows by then
IDLE_PART = 0.5  # of the backends' idle limit after which a connection is closed here: well before theirs
LEAST_IDLE = 0.05  # seconds that a connection may stay unused, however many kept ones turn out to be dead
IDLE_LESS, IDLE_MORE = 0.7, 1.01  # times the limit for a kept one that was dead, and for one that was not
DEAD_WITHIN = 0.02  # seconds after the write in which a dead connection breaks: an answer's cut comes later
SWEEP_EVERY = 1.0  # seconds between looks for idle connections


@dataclass(frozen=True, slots=True)
class Answer:
    """How an attempt ended, with the backend's answer if there was a whole one."""

    outcome: Outcome
    body: bytes = b""
    units: float = 0.0
    headers: bytes = b""  # header lines that tell how to read the body
    status: int = 0  # the backend's own, where a whole answer came
    load: tuple[float, ...] = ()  # what it told of its load


class Dialect(Protocol):
    """What gateways and backends of a deployment say to one another in the heads of their messages."""

    def head(self, attempt: Attempt, wait: float) -> bytes:
        """The head of a request whose client waits so many seconds more."""
        ...

    def header(self, connection: BackendConnection, name: bytes, value: bytes) -> None:
        """Takes one header line of an answer, its name in lower case."""
        ...

    def judge(self, connection: BackendConnection, attempt: Attempt, body: bytes) -> Answer:
        """What a whole answer comes to."""
        ...

    def belongs(self, connection: BackendConnection, attempt: Attempt) -> bool:
        """True if an answer is the attempt's own, as far as its head tells: before that none is passed on."""
        ...


class Sink(Protocol):
    """Where an answer goes that is passed on while it comes."""

    def more(self, data: bytes) -> bool:
        """Takes a piece; False if no further ones may come until the source is told to go on."""
        ...


class Owner(Protocol):
    """Who wants to know how an attempt ended."""

    def attempt_began(
        self, attempt: Attempt, headers: bytes, length: int | None, source: BackendConnection
    ) -> Sink | None:
        """An answer of more than 64 KiB begins; None if nobody wants it any more."""
        ...

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None: ...


class Attempt:
    """One attempt: what to write, where to, and what became of it. Its owner hears of the end just once."""

    __slots__ = (
        "backend",
        "began_at",
        "body",
        "connection",
        "dial",
        "head",
        "id",
        "owner",
        "place",
        "rest",
        "sent_at",
        "timer",
        "until",
        "write_by",
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
        self.rest: list[bytes] | None = None  # the body in its pieces, where it is over 64 KiB
        self.id = b""  # the client's own for its try, where backends say which one they answer
        self.began_at = 0.0  # when its answer began to be passed on
        self.connection: BackendConnection | None = None
        self.dial: asyncio.Task[None] | None = None
        self.timer: Deadline | None = None

    @property
    def ended(self) -> bool:
        return self.owner is None

    @property
    def written(self) -> bool:
        """True once any of it was handed to a connection: from then on it may run."""
        return self.connection is not None

    def end(self, answer: Answer) -> None:
        """The first end counts; a dial under way is stopped, and a connection still in use is given up."""
        owner, self.owner = self.owner, None  # also parts the two: they name each other while it is out
        if owner is None:
            return
        if self.timer is not None:
            self.timer.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if self.connection is not None:
            self.connection.give_up(self)
        owner.attempt_ended(self, answer)

    def time_out(self) -> None:
        # one that still waits for its connection was never written, so it is known not to have run
        connection = self.connection
        self.end(Answer(Outcome.TIMED_OUT if connection is not None else Outcome.NO_CONNECTION))
        if connection is not None:
            # a machine that is cut off leaves its kept connections open and silent: what is written to them
            # may have run, while a dial that does not come up is known not to have
            connection.line.drop_idle()


class Line:
    """A backend as it was told: at this address, since this start. Its connections serve no other.

    An id may come back at another address, or its address go to another id: whatever was dialled before is
    the old one's, and stays with the old Line.
    """

    __slots__ = ("address", "backend", "idle", "started")

    def __init__(self, backend: str, address: tuple[str, int], started: float | None) -> None:
        self.backend, self.address, self.started = backend, address, started
        self.idle: list[BackendConnection] = []  # the longest idle first

    def drop_idle(self) -> None:
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.close()


class BackendConnection(asyncio.Protocol):
    """A kept-alive connection that carries one attempt at a time."""

    def __init__(self, pool: Pool, line: Line) -> None:
        self.pool, self.line = pool, line
        self.transport: asyncio.Transport | None = None
        self.descriptor = -1
        self.attempt: Attempt | None = None
        self.stall: asyncio.TimerHandle | None = None
        self.idle_since = self.rested = 0.0  # since when it is unused, and how long it was before
        self.unsent = False  # the kernel has not yet taken all of the request
        self.paused = False  # the client has no room for what would come
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.start_answer()

    def start_answer(self) -> None:
        self.taken = self.status = self.strangers = 0
        self.complete = self.keep = self.surplus = self.garbled = self.begun = self.in_body = False
        self.length: int | None = None
        self.chunked = False
        self.sink: Sink | None = None
        self.start_message()

    def start_message(self) -> None:
        self.parts: list[bytes] = []
        self.size, self.units, self.headers, self.rejected = 0, 0.0, b"", False
        self.answers_to, self.idles = b"", 0.0  # what a dialect reads: the try's id, when it closes if unused
        self.load: tuple[float, ...] = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        # with no room above the kernel's buffer, pause_writing tells that the request is not written whole
        self.transport.set_write_buffer_limits(high=0)
        self.poll = select.poll()
        self.descriptor = self.transport.get_extra_info("socket").fileno()
        self.poll.register(self.descriptor, select.POLLIN)
        self.pool.opened(self)

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def send(self, attempt: Attempt, wait: float) -> None:
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self.start_answer()
        self.pool.tries += 1
        self.transport.write(self.pool.dialect.head(attempt, wait) + attempt.body)
        if attempt.rest:
            self.transport.writelines(attempt.rest)

    def give_up(self, attempt: Attempt) -> None:
        """Closing is how a backend is told that nobody waits for the attempt any more."""
        if self.attempt is attempt:
            self.attempt = None
            self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def is_quiet(self) -> bool:
        """True if nothing waits to be read: no surplus that would pass for the next answer, and no end."""
        return not self.poll.poll(0)

    # what the parser tells

    def on_message_begin(self) -> None:
        self.begun = True
        if self.complete:
            self.surplus = True
        else:
            self.start_message()  # an interim answer ahead has left nothing behind

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:  # the answer is whole: what follows it, a second one maybe, belongs to nobody
            return
        name = name.lower()
        if name == b"content-length":
            # one that is declared too long is not waited for
            if value.isdigit():
                self.length = length = int(value)
                self.garbled = self.garbled or length > self.pool.most_body
            else:
                self.garbled = True
        elif name == b"transfer-encoding":
            self.chunked = True
        else:
            self.pool.dialect.header(self, name, value)

    def on_headers_complete(self) -> None:
        self.in_body = self.parser is not None and not is_interim(self.parser.get_status_code())

    def on_body(self, body: bytes) -> None:
        if not self.complete:
            self.size += len(body)
            if self.size <= self.pool.most_body:
                self.parts.append(body)

    def on_message_complete(self) -> None:
        if self.complete or self.parser is None:
            return
        self.begun = False
        status = self.parser.get_status_code()
        if self.answers_to and self.attempt is not None and self.answers_to != self.attempt.id:
            self.strangers += 1  # another request's, late: this one's own is still to come
            self.in_body, self.length, self.chunked = False, None, False
            self.garbled = self.garbled or self.strangers > MOST_STRANGERS
        elif not is_interim(status):  # an interim answer goes before the real one
            self.complete, self.status = True, status
            self.keep = self.parser.should_keep_alive()  # the parser knows only while in this call

    # what the transport tells

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:
            return self.close()  # nothing was asked, or more came than belonged to the answer
        self.taken += len(data)
        self.parse(data)
        if self.pool.streams and self.sink is None and not self.complete and self.is_long():
            self.long_answer(attempt)
        if self.sink is not None and self.attempt is attempt:
            self.pass_on(self.sink)
        if self.attempt is not attempt:
            return  # its client has gone meanwhile
        if self.complete:
            self.finish(attempt)
        elif self.is_spoilt():
            # a backend that answers at all may have run the request, however odd the answer is
            attempt.end(Answer(Outcome.BROKEN))
        elif self.begun and (self.stall is None or self.pool.streams):
            if self.stall is not None:
                self.stall.cancel()
            self.stall = self.pool.loop.call_later(self.patience(), self.has_stalled, attempt)

    def is_long(self) -> bool:
        """True if this is a good answer, over 64 KiB by its length or by what has come of it."""
        if not self.in_body or self.garbled or self.parser is None:
            return False
        return self.parser.get_status_code() == 200 and max(self.length or 0, self.size) > MOST_BODY

    def long_answer(self, attempt: Attempt) -> None:
        """One that is too long to be kept whole: passed on if it is the attempt's own, and never else."""
        if self.pool.dialect.belongs(self, attempt):
            self.begin_stream(attempt)
        elif self.answers_to and self.answers_to != attempt.id:
            self.parts.clear()  # another request's, late: this one's own may follow it
        else:
            attempt.end(Answer(Outcome.BROKEN))

    def begin_stream(self, attempt: Attempt) -> None:
        owner = attempt.owner
        if owner is None:
            return
        attempt.began_at = self.pool.clock()
        if attempt.timer is not None:
            attempt.timer.cancel()  # what begins in time is passed on to its end
        length = None if self.chunked else self.length
        self.sink = owner.attempt_began(attempt, self.headers, length, self)
        if self.sink is None:
            attempt.end(Answer(Outcome.CANCELLED))

    def pass_on(self, sink: Sink) -> None:
        parts, self.parts = self.parts, []
        if parts and not sink.more(b"".join(parts)) and not self.complete and self.transport is not None:
            self.paused = True
            self.transport.pause_reading()

    def go_on(self) -> None:
        """The client has room for more."""
        if self.paused and self.usable() and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()

    def patience(self) -> float:
        if not self.pool.streams:
            return STALLED
        return STREAM_STALLED if self.sink is not None else SLOW_STALLED

    def parse(self, data: bytes) -> None:
        while self.parser is not None and data:
            try:
                return self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                # a 101 that nobody asked for: the real answer comes behind it, for a parser of its own
                self.parser, data = httptools.HttpResponseParser(self), data[upgrade.args[0] :]
            except httptools.HttpParserError:
                self.garbled = True
                return

    def is_spoilt(self) -> bool:
        # chunks may bring their framing along, within reason
        most = MOST_HEAD + 2 * self.pool.most_body if self.in_body else MOST_HEAD
        return self.garbled or self.taken > most or self.size > self.pool.most_body

    def has_stalled(self, attempt: Attempt) -> None:
        # half an answer whose rest does not come is spoilt; while it is waited for, another try could help
        self.stall = None
        if self.attempt is not attempt:
            return
        if self.paused:  # it is the client that does not take it, and who looks after that one sees to it
            self.stall = self.pool.loop.call_later(self.patience(), self.has_stalled, attempt)
        else:
            attempt.end(Answer(Outcome.BROKEN))

    def finish(self, attempt: Attempt) -> None:
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None
        parts, self.parts = self.parts, []
        self.sink = None
        if self.size <= self.pool.most_body:
            answer = self.pool.dialect.judge(self, attempt, b"".join(parts))
        else:
            answer = Answer(Outcome.BROKEN)
        whole = answer.outcome is not Outcome.BROKEN
        # the connection is free before anybody hears of the answer: the next attempt may want it
        if whole and self.keep and not (self.unsent or self.surplus or self.garbled or self.strangers):
            self.attempt = attempt.connection = None
            self.pool.was_alive(self.rested)
            self.pool.put_back(self)
        attempt.end(answer)

    def eof_received(self) -> bool:
        attempt = self.attempt
        delimited = self.length is None and not self.chunked
        if self.pool.streams and attempt is not None and self.in_body and delimited and not self.garbled:
            # an answer with neither length nor chunks is whole when the backend ends the connection in order
            if not self.complete and self.parser is not None:
                self.complete, self.keep, self.status = True, False, self.parser.get_status_code()
                self.finish(attempt)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.closed(self)
        attempt, self.attempt = self.attempt, None
        self.parser = self.transport = None  # the parser knows its connection: parted, both are freed at once
        if self.stall is not None:
            self.stall.cancel()
        if attempt is not None:
            if self.rested and not self.taken and self.pool.clock() - attempt.sent_at < DEAD_WITHIN:
                self.pool.was_dead(self.rested)
            # an unsent rest proves that the backend never had the whole; a write that went through proves
            # nothing, also not on a kept connection that the backend had closed by then
            self.pool.tries -= self.unsent
            attempt.end(Answer(Outcome.NO_CONNECTION if self.unsent else Outcome.BROKEN))


class CallDialect:
    """The protocol of the gateway in service: budgets in seconds, rejections and billed units."""

    def head(self, attempt: Attempt, wait: float) -> bytes:
        return b"%bX-Budget: %.3f\r\n\r\n" % (attempt.head, wait)

    def header(self, connection: BackendConnection, name: bytes, value: bytes) -> None:
        if name == b"x-rejected":
            connection.rejected = value.strip() == b"1"
        elif name == b"billed-units":
            connection.units = read_units(value)
        elif name in (b"content-type", b"content-encoding"):
            connection.headers += b"%b: %b\r\n" % (name.title(), value)

    def belongs(self, connection: BackendConnection, attempt: Attempt) -> bool:
        return True  # nothing in these heads tells

    def judge(self, connection: BackendConnection, attempt: Attempt, body: bytes) -> Answer:
        if connection.status == 200:
            return Answer(Outcome.SERVED, body, connection.units, connection.headers)
        turned_away = connection.status in (503, 504) and connection.rejected
        return Answer(Outcome.TURNED_AWAY if turned_away else Outcome.ERROR)


def is_interim(status: int) -> bool:
    return 100 <= status < 200


def read_units(value: bytes) -> float:
    try:
        units = float(value)
    except ValueError:
        return 0.0
    return units if 0.0 < units < 1e6 else 0.0


class Pool:
    """All connections to backends, at most `most` of them with the dials under way."""

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
        self.streams, self.most_body = False, MOST_BODY
        self.idle_limit = self.most_idle = keepalive * IDLE_PART
        self.loop = asyncio.get_running_loop()
        self.deadlines = Deadlines(self.loop, lambda: self.clock())
        self.lines: dict[str, Line] = {}
        self.connections: set[BackendConnection] = set()
        self.dialling: dict[Attempt, Line] = {}
        self.tries = 0  # attempts written whole to backends
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def keeps(self, told: float) -> None:
        """A backend says after how many seconds it closes what is unused."""
        most = told * IDLE_PART
        if most != self.most_idle:
            self.idle_limit = self.most_idle = most

    def pass_long_answers(self) -> None:
        """Bodies over 64 KiB occur, and are passed on while they come."""
        self.streams, self.most_body = True, MOST_STREAM

    def set_address(self, backend: str, address: tuple[str, int], started: float | None = None) -> None:
        """Where a backend listens; connections to where it was, or to before its restart, are of no use."""
        line = self.lines.get(backend)
        if line is None or (line.address, line.started) != (address, started):
            self.retire(backend)
            self.lines[backend] = Line(backend, address, started)

    def at(self, address: tuple[str, int]) -> list[str]:
        """The backends that were told to listen there."""
        return [b for b, line in self.lines.items() if line.address == address]

    def retire(self, backend: str) -> None:
        """For one that drains or is gone: nothing is written to it from now on, not even what is dialling.

        Attempts that are out go on to their ends, and their connections are closed after them.
        """
        line = self.lines.pop(backend, None)
        if line is not None:
            line.drop_idle()
            for attempt in [a for a, towards in self.dialling.items() if towards is line]:
                attempt.end(Answer(Outcome.NO_CONNECTION))

    def rest_line(self, backend: str) -> None:
        """Nothing goes there for now: what is kept open there is closed, what is dialling is not written."""
        line = self.lines.get(backend)
        if line is not None:
            line.drop_idle()
        self.call_back(backend)

    def call_back(self, backend: str) -> None:
        """What is still dialling there is not written: somebody else was told that it drains."""
        for attempt in [a for a in self.dialling if a.backend == backend]:
            attempt.end(Answer(Outcome.NO_CONNECTION))

    def forget_others(self, known: Iterable[str]) -> None:
        """After a whole list: what it does not name is gone."""
        for backend in self.lines.keys() - set(known):
            self.retire(backend)

    def start(self, attempt: Attempt) -> None:
        now = self.clock()
        attempt.timer = self.deadlines.at(attempt.until, Attempt.time_out, attempt)
        line = self.lines.get(attempt.backend)
        if line is None:
            return attempt.end(Answer(Outcome.NO_CONNECTION))
        connection = self.take_idle(line, now)
        if connection is not None:
            return connection.send(attempt, max(attempt.until - now, 0.001))
        if not self.has_room():
            return attempt.end(Answer(Outcome.NO_CONNECTION))
        self.dialling[attempt] = line
        attempt.dial = self.loop.create_task(self.connect(attempt, line))
        return None

    def take_idle(self, line: Line, now: float) -> BackendConnection | None:
        """The last used of those that have rested; what brought more than its answer is closed instead."""
        for place in range(len(line.idle) - 1, -1, -1):
            connection = line.idle[place]
            if now - connection.idle_since < RESTED:
                continue
            del line.idle[place]
            fresh = now - connection.idle_since < self.idle_limit
            if fresh and connection.usable() and connection.is_quiet():
                connection.rested = now - connection.idle_since
                return connection
            connection.close()
        return None

    def was_dead(self, rested: float) -> None:
        """Kept connections that die unannounced cost a request each: they are kept for less long then."""
        self.idle_limit = max(min(self.idle_limit, rested) * IDLE_LESS, LEAST_IDLE)

    def was_alive(self, rested: float) -> None:
        if rested > self.idle_limit / 2:
            self.idle_limit = min(self.idle_limit * IDLE_MORE, self.most_idle)

    def has_room(self) -> bool:
        """True if one more may be dialled; an idle connection makes way where the bound is reached."""
        if len(self.connections) + len(self.dialling) < self.most:
            return True
        oldest = min(
            (line.idle[0] for line in self.lines.values() if line.idle),
            default=None,
            key=lambda c: c.idle_since,
        )
        if oldest is None:
            return False
        oldest.line.idle.remove(oldest)
        oldest.close()
        return True

    async def connect(self, attempt: Attempt, line: Line) -> None:
        made, up = BackendConnection(self, line), False
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.loop.create_connection(lambda: made, *line.address)
            up = made.usable()
        except (OSError, TimeoutError):  # refused, unreachable, no descriptor left, or not up in time
            pass
        finally:
            self.dialling.pop(attempt, None)
            attempt.dial = None
            if not up or attempt.ended:
                made.close()  # also where the attempt ended just as its connection came up
        if up and self.clock() > attempt.write_by:  # a slow dial, or this process stood still
            up = False
            made.close()
        if up and not attempt.ended:
            made.send(attempt, max(attempt.until - self.clock(), 0.001))
        else:
            attempt.end(Answer(Outcome.NO_CONNECTION))

    def opened(self, connection: BackendConnection) -> None:
        self.connections.add(connection)

    def closed(self, connection: BackendConnection) -> None:
        self.connections.discard(connection)
        if connection in connection.line.idle:
            connection.line.idle.remove(connection)

    def put_back(self, connection: BackendConnection) -> None:
        line = connection.line
        if self.lines.get(line.backend) is not line:
            return connection.close()
        connection.idle_since = self.clock()
        return line.idle.append(connection)

    def sweep(self) -> None:
        """Closes what has been idle for long; the longest idle stand first in their line."""
        before = self.clock() - self.idle_limit
        for line in self.lines.values():
            while line.idle and line.idle[0].idle_since < before:
                line.idle.pop(0).close()
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def close(self) -> None:
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close()
