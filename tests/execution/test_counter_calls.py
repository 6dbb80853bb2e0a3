"""A counter call that is told as not added was not added, however its connection ends.

The counter of these tests adds an amount as soon as it has it, before the end of the call has arrived. The
kernel's buffer is a model that takes a drawn number of bytes at a time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import cast

import hiredis
import pytest

from embersill.interface import Outcome
from embersill.net.counter import Counter, CounterCall, CounterConnection

WALKS = 400  # of each seed
STEPS = 12
NOT_ADDED = (Outcome.NO_CONNECTION, Outcome.TURNED_AWAY, Outcome.ERROR)


@dataclass(eq=False)
class SentCall:
    """A call as the counter sees it: bytes of the stream, and what came of it."""

    call: CounterCall
    size: int
    amount_end: int  # offset in the call behind its amount
    offset: int = -1  # of its first byte in the stream; -1: never written
    declined: bool = False
    added: bool = False
    outcome: Outcome | None = None


@dataclass
class Owner:
    """Stands in for the client of the counter: it is told of the end of each call."""

    calls: dict[CounterCall, SentCall] = field(default_factory=dict)
    unpipelined: bool = False
    call_timeout: float = 1.0
    leaving: set[CounterConnection] = field(default_factory=set)

    def clock(self) -> float:
        """A clock that stands still."""
        return 1.0

    def finish_call(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """Notes the outcome of a call; only the first counts."""
        if not call.reported:
            call.reported = True
            self.calls[call].outcome = outcome


class Kernel:
    """A transport whose kernel buffer takes a drawn number of bytes at a time."""

    def __init__(self, owner: Owner, chance: random.Random, raise_share: float) -> None:
        self.owner, self.chance, self.raise_share = owner, chance, raise_share
        self.connection: CounterConnection
        self.written = self.taken = 0  # bytes of the stream
        self.broken = self.closing = False
        self.next_call: SentCall | None = None
        self.stream: list[SentCall] = []

    def set_write_buffer_limits(self, high: int) -> None:
        """Does nothing: nothing is buffered before a write fails to be taken whole."""

    def is_closing(self) -> bool:
        """True once a write has failed."""
        return self.closing

    def abort(self) -> None:
        """Closes the transport."""
        self.closing = True

    def write(self, data: bytes) -> None:
        """Takes a part of a call, at least a byte, or fails if the connection has broken."""
        if self.broken:
            self.closing = True
            return
        sent = next(s for s in self.owner.calls.values() if s.call is self.expected)
        sent.offset = self.written
        self.stream.append(sent)
        self.written += len(data)
        self.take(self.chance.choice((len(data), self.chance.randint(1, len(data)))))
        if self.raise_share and self.chance.random() < self.raise_share:
            raise MemoryError
        if self.taken < self.written:
            self.connection.pause_writing()

    @property
    def expected(self) -> CounterCall:
        """The call that is being written: the first of those that have neither been written nor ended."""
        return next(s.call for s in self.owner.calls.values() if s.offset < 0 and s.outcome is None)

    def take(self, count: int) -> None:
        """The kernel takes so many bytes more, and the counter adds what it can."""
        self.taken = min(self.taken + count, self.written)
        for sent in self.stream:
            if not sent.added and not sent.declined and self.taken >= sent.offset + sent.amount_end:
                sent.declined = self.chance.random() < 0.2
                sent.added = not sent.declined

    def drain(self) -> None:
        """The kernel takes some of what waits."""
        if self.taken < self.written:
            self.take(self.chance.randint(1, self.written - self.taken))
            if self.taken == self.written:
                self.connection.resume_writing()

    def answer(self) -> None:
        """The counter answers the first whole call that has no answer."""
        if not self.stream or self.taken < self.stream[0].offset + self.stream[0].size:
            return
        sent = self.stream.pop(0)
        self.connection.data_received(b"-BUSY\r\n" if sent.declined else b":1\r\n")


def walk(chance: random.Random, raise_share: float = 0.0) -> list[SentCall]:
    """Plays one connection to its end; returns its calls. `raise_share`: of writes, those that raise."""
    owner = Owner(unpipelined=chance.random() < 0.3)
    connection = CounterConnection(cast(Counter, owner))
    kernel = Kernel(owner, chance, raise_share)
    kernel.connection = connection
    if chance.random() < 0.8:
        connection.connection_made(cast("object", kernel))  # type: ignore[arg-type]
    for number in range(STEPS):
        step = chance.choice(("call", "call", "drain", "answer", "time out", "break"))
        if step == "call" and connection.is_usable(1.0):
            words = ("CNT.ADD", f"c{number}.{'n' * chance.randint(1, 40)}", "12.5", "4000")
            text = hiredis.pack_command(words)  # type: ignore[arg-type]  # the stub allows only one word
            call = CounterCall(words[1], 1.0)
            owner.calls[call] = SentCall(call, len(text), text.index(b"12.5") + 4)
            connection.call(call, text)
        elif step == "drain":
            kernel.drain()
        elif step == "answer":
            kernel.answer()
        elif step == "time out" and owner.calls:
            call = chance.choice(list(owner.calls))
            owner.finish_call(call, Outcome.TIMED_OUT if call.written else Outcome.NO_CONNECTION, 0.0)
        elif step == "break" and chance.random() < 0.2:
            kernel.broken = True
    connection.connection_lost(None)
    return list(owner.calls.values())


def check(sent: SentCall, case: str) -> None:
    """What holds for each call when its connection has ended."""
    assert sent.outcome is not None, case
    assert not (sent.added and sent.outcome in NOT_ADDED), case
    if sent.offset < 0:  # nothing was sent: this is known, so it can be counted again
        assert sent.outcome is Outcome.NO_CONNECTION, case


@pytest.mark.parametrize("seed", range(5))
def test_a_call_that_is_told_as_not_added_was_not_added(seed: int) -> None:
    """Guards against counting a call again whose end alone had not been sent."""
    chance = random.Random(seed)
    outcomes: set[Outcome | None] = set()
    for number in range(WALKS):
        for sent in walk(chance):
            check(sent, f"walk {number}: {sent}")
            outcomes.add(sent.outcome)
    assert outcomes == {Outcome.SERVED, Outcome.TIMED_OUT, Outcome.NO_CONNECTION, Outcome.TURNED_AWAY}


@pytest.mark.parametrize("seed", range(5))
def test_a_call_whose_write_raises_may_have_been_added(seed: int) -> None:
    """Guards against counting a call again that had left when its write raised."""
    chance = random.Random(seed)
    for number in range(WALKS):
        for sent in walk(chance, raise_share=0.2):
            check(sent, f"walk {number}: {sent}")
