"""What a receiver gets of a message that is written in part, fails on the way, or whose write raises.

The transport of these tests is a model of uvloop's, which tries each write at once and the remainder once
more: an error at that second try drops the remainder, and is reported only later.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Iterable
from typing import Any, cast

import pytest

from embersill.interface import Outcome
from embersill.net.attempt import Attempt
from embersill.net.backend_pool import Pool
from embersill.net.backends import BackendConnection, Endpoint
from embersill.net.writing import write_message
from tests.bed import run
from tests.peers import HOST
from tests.test_backends import HEAD, Ended

WALKS = 400  # of each seed
FIRST, REST = b"POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n", [b"a" * 20, b"b" * 20, b"c" * 20]


class ModelTransport(asyncio.WriteTransport):
    """Takes a drawn part of each write, and fails at drawn places."""

    def __init__(
        self, chance: random.Random, raises: bool = False, sock: socket.socket | None = None
    ) -> None:
        super().__init__({"socket": sock})
        self.chance, self.raises = chance, raises
        self.received, self.queued, self.closing = b"", b"", False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Does nothing: each write is tried at once."""

    def is_closing(self) -> bool:
        """True once a first try has failed."""
        return self.closing

    def abort(self) -> None:
        """Drops what is queued, and closes."""
        self.closing, self.queued = True, b""

    def write(self, data: Any) -> None:
        """Writes one piece."""
        self.write_at_once(bytes(data))

    def writelines(self, pieces: Iterable[Any]) -> None:
        """Writes several pieces together."""
        self.write_at_once(b"".join(map(bytes, pieces)))

    def write_at_once(self, data: bytes) -> None:
        """Tries to write, and once more what the first try left."""
        if self.closing:
            return
        if self.queued:
            self.queued += data
            return
        if self.chance.random() < 0.1:
            self.closing = True
            return
        taken = self.chance.choice((0, self.chance.randint(0, len(data)), len(data)))
        self.received += data[:taken]
        if self.raises:
            raise MemoryError
        if self.chance.random() < 0.5:  # else the second try fails, too late for this call to tell
            self.queued = data[taken:]


@pytest.mark.parametrize("seed", range(5))
def test_a_receiver_gets_the_beginning_of_a_message_or_nothing(seed: int) -> None:
    """Guards against a body behind a head that was cut off: its bytes would pass for the rest of the head."""
    chance = random.Random(seed)
    cut_off = 0
    for _ in range(WALKS):
        transport = ModelTransport(chance)
        sent = write_message(transport, FIRST, chance.choice(([], REST)))
        received = transport.received + transport.queued
        assert b"".join([FIRST, *REST]).startswith(received)
        assert sent or not received
        cut_off += 0 < len(received) < len(FIRST)
    assert cut_off


@pytest.mark.parametrize("seed", range(5))
def test_an_attempt_whose_write_raises_may_have_run(seed: int) -> None:
    """Guards against a second run: the first bytes had left when the write of the others raised."""

    async def test() -> None:
        pool = Pool(asyncio.get_running_loop().time, 1.0, 60.0, 10)
        owner, now = Ended(), pool.clock()
        attempt = Attempt("b", HEAD, b"ab", now, now + 5.0, 0, owner)
        attempt.body_pieces = [b"c" * 100]
        connection = BackendConnection(pool, Endpoint("b", (HOST, 1), None))
        with socket.socket() as sock:
            transport = ModelTransport(random.Random(seed), raises=True, sock=sock)
            connection.connection_made(cast(asyncio.BaseTransport, transport))
            connection.send(attempt, 5.0)
            connection.connection_lost(None)
        assert (await owner.answer).outcome is Outcome.BROKEN
        pool.close()

    run(test)
