"""Client of the quota counter, in RESP2: calls are pipelined and answered in the order of their writing."""

from __future__ import annotations

import asyncio
import logging
import re
import zlib
from collections import deque
from collections.abc import Callable
from typing import cast

import hiredis

from embersill.interface import Count, CounterResult, Outcome
from embersill.net.writing import disable_buffering, write_message

CONNECTIONS = 4  # names are spread over these, so that one slow counter partition delays fewer others
SILENT_TIMEOUTS = 10.0  # call timeouts that the oldest call may wait before its connection is abandoned
IDLE_LIMIT_S = 3.0  # older idle connections are replaced: the counter closes them without notice
TOTAL = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][+-]?\d{1,2})?")

log = logging.getLogger("embersill")


class CounterCall:
    """One call. Its outcome is reported once; a later answer must still be matched to it, in order."""

    __slots__ = ("name", "reported", "started", "timer", "token", "written")

    def __init__(self, name: str, started: float, token: int = 0) -> None:
        self.name, self.started, self.reported, self.written = name, started, False, False
        self.token = token  # identifies the call to a caller that has several
        self.timer: asyncio.TimerHandle | None = None


class CounterConnection(asyncio.Protocol):
    """One connection, with the calls that wait to be written and those that wait for an answer."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.transport: asyncio.Transport | None = None
        self.unwritten: list[tuple[CounterCall, bytes]] = []
        self.written: deque[CounterCall] = deque()
        self.reader = hiredis.Reader()
        self.used = counter.clock()
        self.paused = False  # the kernel has not taken all that was written: further calls wait
        self.dead = self.leaving = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Transport callback."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        disable_buffering(self.transport)
        self.write_waiting()

    def must_wait(self) -> bool:
        """True if no call may be written now: the connection is not up or full, or an answer is due first."""
        return self.transport is None or self.paused or bool(self.written and self.counter.unpipelined)

    def write_waiting(self) -> None:
        """Writes calls that had to wait; skips abandoned ones."""
        waiting, self.unwritten = self.unwritten, []
        for number, (call, text) in enumerate(waiting):
            if self.must_wait():
                self.unwritten = waiting[number:]
                return
            if not call.reported:
                self.write(call, text)

    def pause_writing(self) -> None:
        """Transport callback: not all written data is in the kernel's buffer."""
        self.paused = True

    def resume_writing(self) -> None:
        """Transport callback: the kernel has taken all written data."""
        self.paused = False
        self.write_waiting()

    def call(self, call: CounterCall, text: bytes) -> None:
        """Writes a call, now or once the connection is ready for it."""
        self.used = call.started
        if self.must_wait():
            self.unwritten.append((call, text))
        else:
            self.write(call, text)

    def write(self, call: CounterCall, text: bytes) -> None:
        """Writes a call and queues it for its answer."""
        assert self.transport is not None
        call.written = True  # also if the write raises: some of it may have left before
        try:
            call.written = write_message(self.transport, text)
        except Exception:  # such as a lack of memory
            log.exception("a counter call could not be written")
            self.close()
        if call.written:
            self.written.append(call)
        else:
            self.counter.finish_call(call, Outcome.NO_CONNECTION, 0.0)

    def is_usable(self, now: float) -> bool:
        """False if the next call needs a new connection: this one died, fell silent or was idle too long."""
        if self.dead or self.transport is not None and self.transport.is_closing():
            return False
        if self.written:
            return now - self.written[0].started < SILENT_TIMEOUTS * self.counter.call_timeout
        return now - self.used < IDLE_LIMIT_S

    def data_received(self, data: bytes) -> None:
        """Transport callback: matches replies to calls, in order."""
        self.reader.feed(data)
        try:
            while (reply := self.reader.gets()) is not False:
                if not self.written:
                    # An answer without a call: later ones can't be matched either. If a counter answers
                    # twice, a pipelined call gets the total of the call before it, so pipelining ends here.
                    self.counter.unpipelined = True
                    return self.close()
                answer = read_reply(reply)
                self.counter.finish_call(self.written.popleft(), *(answer or (Outcome.TIMED_OUT, 0.0)))
                if answer is None:
                    return self.close()  # later answers may not belong to the next calls
                if self.leaving and not self.written:
                    return self.close()
            if self.unwritten and not self.written:
                self.write_waiting()
        except (hiredis.ProtocolError, TypeError):  # TypeError: a RESP3 map with an unhashable key
            self.close()

    def eof_received(self) -> bool:
        """Transport callback: lets the transport close."""
        return False

    def leave(self) -> None:
        """Stops taking calls, and closes once those in flight are answered."""
        self.leaving = True
        if not (self.written or self.unwritten):
            self.close()

    def close(self) -> None:
        """Closes the connection; calls in flight end when the transport reports it."""
        self.dead = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Transport callback: ends the remaining calls."""
        self.end()

    def end(self) -> None:
        """Ends the remaining calls. Those of which nothing was written added nothing, others may have."""
        self.dead = True
        self.counter.leaving.discard(self)
        while self.written:
            self.counter.finish_call(self.written.popleft(), Outcome.TIMED_OUT, 0.0)
        for call, _ in self.unwritten:
            self.counter.finish_call(call, Outcome.NO_CONNECTION, 0.0)
        self.unwritten = []


def read_reply(reply: object) -> tuple[Outcome, float] | None:
    """A reply as outcome and total; None for one that is neither a number nor a known error.

    The decision module takes any failure but a time-out as proof that nothing was added, which a malformed
    reply is not. A word that parses as a number, such as nan, would corrupt a level permanently.
    """
    if isinstance(reply, hiredis.ReplyError):
        known = str(reply).startswith(("BUSY", "ERR"))
        return (Outcome.TURNED_AWAY if str(reply)[0] == "B" else Outcome.ERROR, 0.0) if known else None
    if isinstance(reply, int):
        return Outcome.SERVED, float(reply)
    if isinstance(reply, bytes) and TOTAL.fullmatch(reply):
        return Outcome.SERVED, float(reply)
    return None


class Counter:
    """The counter calls of one gateway.

    `on_counted` receives the outcome of each call exactly once, at its timeout at the latest.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        address: tuple[str, int],
        call_timeout: float,
        dial_timeout: float,
        on_counted: Callable[[CounterResult], None],
    ) -> None:
        self.clock, self.address, self.call_timeout, self.on_counted = (
            clock,
            address,
            call_timeout,
            on_counted,
        )
        self.dial_timeout = dial_timeout
        self.loop = asyncio.get_running_loop()
        self.connections: list[CounterConnection | None] = [None] * CONNECTIONS
        self.leaving: set[CounterConnection] = set()  # to an earlier address, with calls in flight
        self.dials: set[asyncio.Task[None]] = set()
        self.unpipelined = False  # pipelining is off: this counter has answered a call twice

    def add(self, name: str, amount: float, forget_after: float, token: int = 0) -> None:
        """Adds an amount to a name's sum, which the counter drops after `forget_after` seconds."""
        now = self.clock()
        call = CounterCall(name, now, token)
        call.timer = self.loop.call_later(self.call_timeout, self.time_out, call)
        # all names of one customer share a connection, which keeps their calls in order
        index = zlib.crc32(name.partition(".")[0].encode()) % CONNECTIONS
        connection = self.connections[index]
        if connection is None or not connection.is_usable(now):
            if connection is not None:
                connection.close()
            connection = self.connections[index] = CounterConnection(self)
            task = self.loop.create_task(self.connect(connection))
            self.dials.add(task)
            task.add_done_callback(self.dials.discard)
        words = ("CNT.ADD", name, f"{amount:.9g}", str(max(1, round(forget_after * 1000))))
        connection.call(call, hiredis.pack_command(words))  # type: ignore[arg-type]  # the stub allows only one word

    def count(self, action: Count) -> None:
        """Carries out an action of the decision module."""
        self.add(action.name, action.amount, action.forget_after)

    def move(self, address: tuple[str, int]) -> None:
        """Sends further calls to another address; calls in flight end on their present connections."""
        self.address = address
        self.leave()

    def leave(self) -> None:
        """Sends no more calls on the present connections; each closes once its calls are answered."""
        self.unpipelined = False
        old, self.connections = self.connections, [None] * CONNECTIONS
        for connection in old:
            if connection is not None and not connection.dead:
                self.leaving.add(connection)
                connection.leave()
                # an answer may still arrive after that, but all callers have timed out
                self.loop.call_later(2 * self.call_timeout, connection.close)

    async def connect(self, connection: CounterConnection) -> None:
        """Connects within the dial timeout, or ends the calls that waited for it."""
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.loop.create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError):
            connection.end()
        if connection.dead:
            connection.close()  # it was closed while it was connecting

    def time_out(self, call: CounterCall) -> None:
        """Ends a call at its timeout."""
        self.finish_call(call, Outcome.TIMED_OUT if call.written else Outcome.NO_CONNECTION, 0.0)

    def finish_call(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """Reports a call's outcome, unless that has been done."""
        if call.reported:
            return
        call.reported = True
        if call.timer is not None:
            call.timer.cancel()
        self.on_counted(CounterResult(call.name, outcome, self.clock() - call.started, total))

    def close(self) -> None:
        """Closes all connections and stops dialling."""
        for connection in (*self.connections, *self.leaving):
            if connection is not None:
                connection.close()
        for task in self.dials:
            task.cancel()
