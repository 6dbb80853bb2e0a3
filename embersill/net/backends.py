"""Connections to backends: a pool, one attempt at a time on each, and how every attempt ended.

An attempt is written once, on one connection, and never again by this file: whether a request may be sent
another time depends on how far this one came, and only the decision module judges that.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import cast

import httptools

from embersill.interface import Outcome

MOST_BODY = 64 * 1024  # bytes of an answer, by the protocol
IDLE_PART = 0.5  # of the backends' idle limit after which a connection is closed here: well before theirs
SWEEP_EVERY = 1.0  # seconds between looks for idle connections


@dataclass(frozen=True, slots=True)
class Answer:
    """How an attempt ended, with the backend's answer if there was a whole one."""

    outcome: Outcome
    body: bytes = b""
    units: float = 0.0
    headers: bytes = b""  # header lines that tell how to read the body


class Attempt:
    """One attempt: what to write, where to, and what became of it. `done` is called exactly once."""

    __slots__ = (
        "backend", "body", "connection", "dial", "done", "ended", "head", "sent_at", "timer", "until",
    )

    def __init__(
        self, backend: str, head: bytes, body: bytes, sent_at: float, until: float,
        done: Callable[[Attempt, Answer], None],
    ) -> None:
        self.backend, self.head, self.body = backend, head, body
        self.sent_at, self.until, self.done = sent_at, until, done
        self.connection: BackendConnection | None = None
        self.dial: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False

    @property
    def written(self) -> bool:
        """True once any of it was handed to a connection: from then on it may run."""
        return self.connection is not None

    def end(self, answer: Answer) -> None:
        """The first end counts; a dial under way is stopped, and a connection still in use is given up."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if self.connection is not None:
            self.connection.give_up(self)
        self.done(self, answer)

    def time_out(self) -> None:
        # one that still waits for its connection was never written, so it is known not to have run
        connection = self.connection
        self.end(Answer(Outcome.TIMED_OUT if connection is not None else Outcome.NO_CONNECTION))
        if connection is not None:
            # a machine that is cut off leaves its kept connections open and silent: what is written to them
            # may have run, while a dial that does not come up is known not to have
            connection.pool.drop_idle(self.backend)


class BackendConnection(asyncio.Protocol):
    """A kept-alive connection that carries one attempt at a time."""

    def __init__(self, pool: Pool, backend: str) -> None:
        self.pool, self.backend = pool, backend
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.unsent = False  # the kernel has not yet taken all of the request
        self.parser = httptools.HttpResponseParser(self)
        self.start_answer()

    def start_answer(self) -> None:
        self.parts: list[bytes] = []
        self.size, self.units, self.headers = 0, 0.0, b""
        self.rejected = self.complete = self.keep = self.surplus = self.garbled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        # with no room above the kernel's buffer, pause_writing tells that the request is not written whole
        self.transport.set_write_buffer_limits(high=0)
        self.pool.opened(self)

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def send(self, attempt: Attempt, wait: float) -> None:
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self.start_answer()
        self.transport.write(b"%bX-Budget: %.3f\r\n\r\n%b" % (attempt.head, wait, attempt.body))

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

    # what the parser tells

    def on_message_begin(self) -> None:
        self.surplus = self.surplus or self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"x-rejected":
            self.rejected = value.strip() == b"1"
        elif name == b"billed-units":
            self.units = read_units(value)
        elif name in (b"content-type", b"content-encoding"):
            self.headers += b"%b: %b\r\n" % (name.title(), value)

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size <= MOST_BODY:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        if not 100 <= self.parser.get_status_code() < 200:  # an interim answer goes before the real one
            self.complete = True
            self.keep = self.parser.should_keep_alive()  # the parser knows only while in this call

    # what the transport tells

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:
            return self.close()  # nothing was asked
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.garbled = True
        if self.complete:
            self.finish(attempt)
        elif self.garbled or self.size > MOST_BODY:
            # a backend that answers at all may have run the request, however odd the answer is
            attempt.end(Answer(Outcome.BROKEN))

    def finish(self, attempt: Attempt) -> None:
        status = self.parser.get_status_code()
        whole = self.size <= MOST_BODY
        # the connection is free before anybody hears of the answer: the next attempt may want it
        reuse = whole and self.keep
        if reuse and not (self.unsent or self.surplus or self.garbled):
            self.attempt = attempt.connection = None
            self.pool.put_back(self)
        if not whole:
            attempt.end(Answer(Outcome.BROKEN))
        elif status == 200:
            attempt.end(Answer(Outcome.SERVED, b"".join(self.parts), self.units, self.headers))
        elif status in (503, 504) and self.rejected:
            attempt.end(Answer(Outcome.TURNED_AWAY))
        else:
            attempt.end(Answer(Outcome.ERROR))

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.closed(self)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            # an unsent rest proves that the backend never had the whole; a write that went through proves
            # nothing, also not on a kept connection that the backend had closed by then
            attempt.end(Answer(Outcome.NO_CONNECTION if self.unsent else Outcome.BROKEN))


def read_units(value: bytes) -> float:
    try:
        units = float(value)
    except ValueError:
        return 0.0
    return units if 0.0 < units < 1e6 else 0.0


class Pool:
    """All connections to backends, at most `most` of them with the dials under way."""

    def __init__(
        self, clock: Callable[[], float], dial_timeout: float, keepalive: float, most: int
    ) -> None:
        self.clock, self.dial_timeout, self.most = clock, dial_timeout, most
        self.idle_limit = keepalive * IDLE_PART
        self.loop = asyncio.get_running_loop()
        self.addresses: dict[str, tuple[str, int]] = {}
        self.starts: dict[str, float | None] = {}
        self.idle: dict[str, list[BackendConnection]] = {}
        self.connections: set[BackendConnection] = set()
        self.dialling: set[Attempt] = set()
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def set_address(self, backend: str, address: tuple[str, int], started: float | None = None) -> None:
        """Where a backend listens; connections to where it was, or to before its restart, are of no use."""
        if self.addresses.get(backend) != address or self.starts.get(backend) != started:
            self.drop_idle(backend)
            self.addresses[backend], self.starts[backend] = address, started

    def retire(self, backend: str) -> None:
        """For one that drains or is gone: nothing is written to it from now on, not even what is dialling.

        Attempts that are out go on to their ends, and their connections are closed after them.
        """
        self.drop_idle(backend)
        self.addresses.pop(backend, None)
        for attempt in [a for a in self.dialling if a.backend == backend]:
            attempt.end(Answer(Outcome.NO_CONNECTION))

    def forget_others(self, known: Iterable[str]) -> None:
        """After a whole list: what it does not name is gone."""
        for backend in self.addresses.keys() - set(known):
            self.retire(backend)
            self.starts.pop(backend, None)

    def drop_idle(self, backend: str) -> None:
        for connection in self.idle.pop(backend, []):
            connection.close()

    def start(self, attempt: Attempt) -> None:
        now = self.clock()
        attempt.timer = self.loop.call_later(max(attempt.until - now, 0.0), attempt.time_out)
        idle = self.idle.get(attempt.backend, [])
        while idle:
            connection = idle.pop()
            if connection.usable() and now - connection.idle_since < self.idle_limit:
                return connection.send(attempt, max(attempt.until - now, 0.001))
            connection.close()
        address = self.addresses.get(attempt.backend)
        if address is None or not self.has_room():
            return attempt.end(Answer(Outcome.NO_CONNECTION))
        self.dialling.add(attempt)
        attempt.dial = self.loop.create_task(self.connect(attempt, address))
        return None

    def has_room(self) -> bool:
        """True if one more may be dialled; an idle connection makes way where the bound is reached."""
        if len(self.connections) + len(self.dialling) < self.most:
            return True
        oldest = min((c for line in self.idle.values() for c in line), default=None,
                     key=lambda c: c.idle_since)
        if oldest is None:
            return False
        self.idle[oldest.backend].remove(oldest)
        oldest.close()
        return True

    async def connect(self, attempt: Attempt, address: tuple[str, int]) -> None:
        made, up = BackendConnection(self, attempt.backend), False
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.loop.create_connection(lambda: made, *address)
            up = made.usable()
        except (OSError, TimeoutError):  # refused, unreachable, no descriptor left, or not up in time
            pass
        finally:
            self.dialling.discard(attempt)
            attempt.dial = None
            if not up or attempt.ended:
                made.close()  # also where the attempt ended just as its connection came up
        if up and not attempt.ended:
            made.send(attempt, max(attempt.until - self.clock(), 0.001))
        else:
            attempt.end(Answer(Outcome.NO_CONNECTION))

    def opened(self, connection: BackendConnection) -> None:
        self.connections.add(connection)

    def closed(self, connection: BackendConnection) -> None:
        self.connections.discard(connection)
        line = self.idle.get(connection.backend)
        if line is not None and connection in line:
            line.remove(connection)

    def put_back(self, connection: BackendConnection) -> None:
        if connection.backend not in self.addresses:
            return connection.close()
        connection.idle_since = self.clock()
        return self.idle.setdefault(connection.backend, []).append(connection)

    def sweep(self) -> None:
        """Closes what has been idle for long; the longest idle stand first in their line."""
        before = self.clock() - self.idle_limit
        for line in self.idle.values():
            while line and line[0].idle_since < before:
                line.pop(0).close()
        self.sweeper = self.loop.call_later(SWEEP_EVERY, self.sweep)

    def close(self) -> None:
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close()
