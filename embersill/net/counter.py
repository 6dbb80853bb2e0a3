"""The quota counter, spoken to in RESP2: calls are pipelined and answered in the order they were written."""

from __future__ import annotations

import asyncio
import re
import zlib
from collections import deque
from collections.abc import Callable
from typing import cast

import hiredis

from embersill.interface import Count, Counted, Outcome

LINES = 4  # connections: names are dealt out over them, so that one slow part holds up fewer of the others
SILENT_AFTER = 10.0  # times the patience that the first in line may wait before its connection is given up
IDLE_LIMIT = 3.0  # seconds unused after which a line is opened anew: the counter closes idle ones unannounced
TOTAL = re.compile(rb"-?\d{1,20}(\.\d{1,20})?([eE][+-]?\d{1,2})?")


class CounterCall:
    """One call; told to the driver once, though its answer may come and take its place in line after that."""

    __slots__ = ("name", "started", "token", "told", "timer", "written")

    def __init__(self, name: str, started: float, token: int = 0) -> None:
        self.name, self.started, self.told, self.written = name, started, False, False
        self.token = token  # the caller's name for it, where one tells its calls apart
        self.timer: asyncio.TimerHandle | None = None


class CounterLine(asyncio.Protocol):
    """One connection, with the calls that wait to be written and those that wait for their answers."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.transport: asyncio.Transport | None = None
        self.unwritten: list[tuple[CounterCall, bytes]] = []
        self.written: deque[CounterCall] = deque()
        self.reader = hiredis.Reader()
        self.used = counter.clock()
        self.unsent = self.dead = self.leaving = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.transport.set_write_buffer_limits(high=0)  # pause_writing then tells that a call is not written
        self.write_waiting()

    def write_waiting(self) -> None:
        """What waited for the line, or for the answer ahead of it; what was given up stays unwritten."""
        waiting, self.unwritten = self.unwritten, []
        for number, (call, text) in enumerate(waiting):
            if self.written and self.counter.one_by_one:
                self.unwritten = waiting[number:]
                return
            if not call.told:
                self.write(call, text)

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def call(self, call: CounterCall, text: bytes) -> None:
        self.used = call.started
        if self.transport is None or self.written and self.counter.one_by_one:
            self.unwritten.append((call, text))
        else:
            self.write(call, text)

    def write(self, call: CounterCall, text: bytes) -> None:
        assert self.transport is not None
        call.written = True
        self.written.append(call)
        self.transport.write(text)

    def fit(self, now: float) -> bool:
        """False where the next call should go over a new connection: it died, fell silent or stood idle."""
        if self.dead or self.transport is not None and self.transport.is_closing():
            return False
        if self.written:
            return now - self.written[0].started < SILENT_AFTER * self.counter.patience
        return now - self.used < IDLE_LIMIT

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            while (reply := self.reader.gets()) is not False:
                if not self.written:
                    # an answer to nothing: what follows can't be matched either. Where a counter answers
                    # twice, a call behind another gets that one's total: none goes behind another now
                    self.counter.one_by_one = True
                    return self.close()
                answer = read_reply(reply)
                self.counter.answered(self.written.popleft(), *(answer or (Outcome.TIMED_OUT, 0.0)))
                if answer is None:
                    return self.close()  # no answer that follows is sure to be the next call's
                if self.leaving and not self.written:
                    return self.close()
            if self.unwritten and not self.written:
                self.write_waiting()
        except (hiredis.ProtocolError, TypeError):  # a RESP3 map whose key can't be one raises the latter
            self.close()

    def eof_received(self) -> bool:
        return False

    def leave(self) -> None:
        """Takes no further call, and closes once those that are out have their answers."""
        self.leaving = True
        if not (self.written or self.unwritten):
            self.close()

    def close(self) -> None:
        self.dead = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.end()

    def end(self) -> None:
        """Tells what can be told of the calls left: the unwritten added nothing, the others may have."""
        self.dead = True
        self.counter.leaving.discard(self)
        if self.unsent and self.written:
            self.counter.answered(self.written.pop(), Outcome.NO_CONNECTION, 0.0)
        while self.written:
            self.counter.answered(self.written.popleft(), Outcome.TIMED_OUT, 0.0)
        for call, _ in self.unwritten:
            self.counter.answered(call, Outcome.NO_CONNECTION, 0.0)
        self.unwritten = []


def read_reply(reply: object) -> tuple[Outcome, float] | None:
    """A reply as outcome and total; None for one that is neither a number nor a known error.

    The module takes all but a time-out as proof that nothing was added, which a spoilt reply is not. Words
    that pass for numbers, as nan does, would set a level for good.
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
    """The calls of one gateway. `told` hears of each exactly once, at its patience's end at the latest."""

    def __init__(
        self,
        clock: Callable[[], float],
        address: tuple[str, int],
        patience: float,
        dial_timeout: float,
        told: Callable[[Counted], None],
    ) -> None:
        self.clock, self.address, self.patience, self.told = clock, address, patience, told
        self.dial_timeout = dial_timeout
        self.loop = asyncio.get_running_loop()
        self.lines: list[CounterLine | None] = [None] * LINES
        self.leaving: set[CounterLine] = set()  # to an address that was given up, with calls still out
        self.dials: set[asyncio.Task[None]] = set()
        self.one_by_one = False  # this counter has answered a call twice: each waits for the one ahead

    def add(self, name: str, amount: float, forget_after: float, token: int = 0) -> None:
        now = self.clock()
        call = CounterCall(name, now, token)
        call.timer = self.loop.call_later(self.patience, self.out_of_patience, call)
        # by customer: calls for one name keep their order, and so do the names of one customer
        place = zlib.crc32(name.partition(".")[0].encode()) % LINES
        line = self.lines[place]
        if line is None or not line.fit(now):
            if line is not None:
                line.close()
            line = self.lines[place] = CounterLine(self)
            task = self.loop.create_task(self.connect(line))
            self.dials.add(task)
            task.add_done_callback(self.dials.discard)
        words = ("CNT.ADD", name, f"{amount:.9g}", str(max(1, round(forget_after * 1000))))
        line.call(call, hiredis.pack_command(words))  # type: ignore[arg-type]  # its stub takes one word only

    def count(self, action: Count) -> None:
        self.add(action.name, action.amount, action.forget_after)

    def move(self, address: tuple[str, int]) -> None:
        """The next calls go to another address; those that are out end on the lines that they went by."""
        self.address = address
        self.leave()

    def leave(self) -> None:
        """No call goes on the present lines any more; each closes once those out have their answers."""
        self.one_by_one = False
        old, self.lines = self.lines, [None] * LINES
        for line in old:
            if line is not None and not line.dead:
                self.leaving.add(line)
                line.leave()
                # an answer may still be on its way then, but nobody waits for it
                self.loop.call_later(2 * self.patience, line.close)

    async def connect(self, line: CounterLine) -> None:
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.loop.create_connection(lambda: line, *self.address)
        except (OSError, TimeoutError):
            line.end()
        if line.dead:
            line.close()  # it was given up while it came up

    def out_of_patience(self, call: CounterCall) -> None:
        self.answered(call, Outcome.TIMED_OUT if call.written else Outcome.NO_CONNECTION, 0.0)

    def answered(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        if call.told:
            return
        call.told = True
        if call.timer is not None:
            call.timer.cancel()
        self.told(Counted(call.name, outcome, self.clock() - call.started, total))

    def close(self) -> None:
        for line in (*self.lines, *self.leaving):
            if line is not None:
                line.close()
        for task in self.dials:
            task.cancel()
