"""Errors and partial writes at a gateway's sockets, by seed, on two event loops, with two sizes of buffers.

The receiver counts every byte. What must hold: an attempt, or a counter call, that is told as certainly not
run or not added has sent nothing, and what the kernel says of it agrees.
"""

from __future__ import annotations

import asyncio
import errno
import random
import socket
import struct
from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest
import uvloop

from embersill.interface import CounterResult, Outcome
from embersill.net.attempt import Answer, Attempt
from embersill.net.backend_pool import Pool
from embersill.net.counter import Counter
from tests.peers import HOST, message
from tests.test_backends import HEAD, Ended

WALKS = 10  # of each seed and condition
ERRORS = errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT, errno.ENOBUFS, errno.EAGAIN
SMALL_BUFFER_BYTES, LARGE_BUFFER_BYTES = 2 * 1024, 16 * 1024 * 1024
BODY_SIZES = 2, 60_000, 300_000, 3_000_000
PIECE_BYTES = 65_536
BUDGET_S = 0.3
CALL_TIMEOUT_S = 0.1


@dataclass
class WriteFaults:
    """What happens at the writes of a dialled socket."""

    chance: random.Random
    error_share: float = 0.0
    partial_share: float = 0.0

    def limit(self, size: int) -> int:
        """How many bytes of a write are tried; raises OSError for one that fails."""
        if self.chance.random() < self.error_share:
            raise OSError(self.chance.choice(ERRORS), "injected")
        return self.chance.randint(1, size) if self.chance.random() < self.partial_share else size


class FaultySocket(socket.socket):
    """A socket whose writes fail or are taken in part."""

    faults: WriteFaults

    def send(self, data: Any, flags: int = 0) -> int:
        """Sends what the faults let through."""
        return super().send(memoryview(data)[: self.faults.limit(len(data))], flags)


class FaultyLoop(asyncio.SelectorEventLoop):
    """Asyncio's own event loop, with faults at the writes of the sockets that it dials."""

    faults = WriteFaults(random.Random(0))

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        """Dials a socket with faults."""
        sock = FaultySocket()
        sock.faults = self.faults
        sock.setblocking(False)
        try:
            await self.sock_connect(sock, (host, port))
        except BaseException:
            sock.close()
            raise
        return await super().create_connection(factory, sock=sock, **more)


@dataclass
class Receiver:
    """Accepts connections, notes all that it gets on each, and ends each in a drawn way."""

    chance: random.Random
    buffer_bytes: int
    reply: bytes
    server: asyncio.Server | None = None
    connections: list[bytearray] = field(default_factory=list)

    async def start(self) -> tuple[str, int]:
        """Listens; returns the address."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer_bytes)
        sock.bind((HOST, 0))
        self.server = await asyncio.start_server(self.connected, sock=sock, limit=PIECE_BYTES)
        address: tuple[str, int] = sock.getsockname()
        return address

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads a drawn number of pieces, then answers, closes, resets or reads on."""
        got = bytearray()
        self.connections.append(got)
        end = self.chance.choice(("reset", "reset at once", "close", "reply", "reply", "read on"))
        try:
            for _ in range(0 if end == "reset at once" else self.chance.randint(1, 4)):
                got += await reader.read(self.chance.choice((1, 100, PIECE_BYTES)))
            if end == "reply":
                writer.write(self.reply)
            if end in ("reply", "read on"):
                while data := await reader.read(PIECE_BYTES):
                    got += data
            if end.startswith("reset"):
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
        except OSError:
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        """Stops listening."""
        assert self.server is not None
        self.server.close()


def faulty_loop(chance: random.Random) -> asyncio.AbstractEventLoop:
    """Asyncio's own loop with drawn shares of errors and partial writes."""
    loop = FaultyLoop()
    loop.faults = WriteFaults(chance, chance.choice((0.05, 0.3)), chance.choice((0.0, 0.5)))
    return loop


LOOPS = pytest.mark.parametrize(
    "make_loop", [lambda chance: uvloop.new_event_loop(), faulty_loop], ids=["uvloop", "asyncio-with-faults"]
)
BUFFERS = pytest.mark.parametrize("buffer_bytes", [SMALL_BUFFER_BYTES, LARGE_BUFFER_BYTES])
SEEDS = pytest.mark.parametrize("seed", range(3))
MakeLoop = Callable[[random.Random], asyncio.AbstractEventLoop]


async def attempt_once(pool: Pool, chance: random.Random, receiver: Receiver) -> tuple[Attempt, Answer, int]:
    """Makes an attempt on a connection of its own; returns it, its end and the bytes received meanwhile."""
    owner, now, size = Ended(), pool.clock(), chance.choice(BODY_SIZES)
    before = len(receiver.connections)
    attempt = Attempt("b", HEAD.replace(b"2\r", b"%d\r" % size), b"", now, now + BUDGET_S, 0, owner)
    if size > PIECE_BYTES:
        attempt.body_pieces = [b"x" * PIECE_BYTES for _ in range(size // PIECE_BYTES)]
        attempt.body_pieces.append(b"x" * (size % PIECE_BYTES))
    else:
        attempt.body = b"x" * size
    pool.start(attempt)
    answer = await owner.answer
    for connection in list(pool.connections):
        connection.close()
    await asyncio.sleep(0.02)  # what was on its way arrives
    return attempt, answer, sum(map(len, receiver.connections[before:]))


@LOOPS
@BUFFERS
@SEEDS
def test_an_attempt_that_never_ran_has_sent_nothing(
    make_loop: MakeLoop, buffer_bytes: int, seed: int
) -> None:
    """Guards against a second run after an error of the first write or of a later one."""
    chance = random.Random(seed)

    async def test() -> None:
        receiver = Receiver(chance, buffer_bytes, message(200, b"x", "Billed-Units: 1"))
        pool = Pool(asyncio.get_running_loop().time, BUDGET_S, 60.0, 10)
        pool.set_address("b", await receiver.start())
        outcomes: Tally[Outcome] = Tally()
        for number in range(WALKS):
            attempt, answer, received = await attempt_once(pool, chance, receiver)
            case = f"walk {number}: {answer.outcome}, {received} bytes received, {attempt.kernel_bytes} sent"
            outcomes[answer.outcome] += 1
            if answer.outcome.never_ran:
                assert received == 0 and attempt.kernel_bytes == 0, case
        assert outcomes[Outcome.BROKEN], outcomes
        pool.close()
        receiver.stop()

    with asyncio.Runner(loop_factory=lambda: make_loop(chance)) as runner:
        runner.run(asyncio.wait_for(test(), 60.0))


@LOOPS
@BUFFERS
@SEEDS
def test_a_counter_call_that_was_not_added_has_sent_nothing(
    make_loop: MakeLoop, buffer_bytes: int, seed: int
) -> None:
    """Guards against counting a call again after an error of its write."""
    chance = random.Random(seed)

    async def test() -> None:
        receiver = Receiver(chance, buffer_bytes, b":1\r\n")
        address = await receiver.start()
        outcomes: Tally[Outcome] = Tally()
        clock = asyncio.get_running_loop().time
        for number in range(WALKS):
            told: list[CounterResult] = []
            counter = Counter(clock, address, CALL_TIMEOUT_S, BUDGET_S, told.append)
            name = f"call{number}.{'n' * chance.randint(1, 2000)}"
            counter.add(name, 12.5, 4.0)
            while not told:
                await asyncio.sleep(0.001)
            counter.close()
            await asyncio.sleep(0.01)
            outcome = told[0].outcome
            outcomes[outcome] += 1
            received = b"".join(map(bytes, receiver.connections))
            if outcome is Outcome.NO_CONNECTION:
                assert f"call{number}.".encode() not in received, f"walk {number}"
        assert outcomes[Outcome.TIMED_OUT], outcomes
        receiver.stop()

    with asyncio.Runner(loop_factory=lambda: make_loop(chance)) as runner:
        runner.run(asyncio.wait_for(test(), 60.0))
