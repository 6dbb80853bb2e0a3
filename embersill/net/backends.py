"""Connections to backends, which carry one attempt at a time and report how it ended."""

from __future__ import annotations

import asyncio
import logging
import select
from typing import TYPE_CHECKING, cast

import httptools

from embersill.interface import Outcome
from embersill.net.attempt import Answer, Attempt, Sink
from embersill.net.sent_bytes import UNKNOWN_BYTES, bytes_taken
from embersill.net.writing import disable_buffering, write_message

if TYPE_CHECKING:
    from embersill.net.backend_pool import Pool

MAX_BODY_BYTES = 64 * 1024  # of a response, by the protocol
MAX_HEAD_BYTES = 32 * 1024  # before the body, with interim responses: a sound backend sends a hundredth
SLOW_STALL_TIMEOUT_S = 2.0  # without a byte, if long bodies are streamed: backends may write slowly
STREAM_STALL_TIMEOUT_S = 10.0  # the same once it is streamed to the client: giving up loses the request
STALL_TIMEOUT_S = 0.5  # for the rest of a response that has begun: backends send it when it is complete
MAX_FOREIGN_ANSWERS = 2  # responses to other requests that are skipped on one connection
DEAD_WITHIN_S = 0.02  # after the write, a dead connection breaks: a response is cut off only later

log = logging.getLogger("embersill")


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


def is_interim(status: int) -> bool:
    """True for 1xx statuses, which precede the final response."""
    return 100 <= status < 200
