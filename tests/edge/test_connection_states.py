"""What a gateway makes of every state in which a backend's connection can fail, by the product's own pool.

For each behaviour of a backend: how the attempt ends, whether that promises that the request has not run
(only then may one that must not run twice go elsewhere), and that the next request gets its own answer.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest

from embersill.edge.dataplane.dialect import EdgeDialect
from embersill.interface import Outcome
from embersill.net.backends import MIN_IDLE_S, Answer, Attempt, BackendConnection, Pool
from tests.bed import run

HOST = "127.0.0.1"
LONG = 300_000  # bytes: more than the kernel takes at once, and more than is kept before it is passed on
WAIT = 0.4  # seconds that an attempt may take
SEAL = b"X-Backend-Seal: s\r\n"
NOT_EXECUTED = b"X-Request-Not-Executed: 1\r\n"


def answer(name: bytes, status: bytes = b"200 OK", body: bytes = b"own", more: bytes = SEAL) -> bytes:
    head = b"HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\n%bContent-Length: %d\r\n\r\n"
    return head % (status, name, more, len(body)) + body


def unframed(name: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n%bConnection: close\r\n\r\nown" % (name, SEAL)


@dataclass
class Backend:
    """A stand-in whose first request meets a behaviour, and whose later ones are answered in order."""

    behave: Behaviour
    ran: list[bytes] = field(default_factory=list)  # ids of requests that were read whole
    met: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = dict(line.split(b": ", 1) for line in head.strip().split(b"\r\n")[1:])
                name, size = lines[b"X-Attempt-Id"], int(lines[b"Content-Length"])
                self.met += 1
                if self.met == 1:
                    await self.behave(self, Met(reader, writer, name, size))
                else:
                    await reader.readexactly(size)
                    self.ran.append(name)
                    writer.write(answer(name))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@dataclass
class Met:
    """The first request, whose head was read."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    name: bytes
    size: int

    async def read(self, backend: Backend) -> None:
        await self.reader.readexactly(self.size)
        backend.ran.append(self.name)

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Behaviour = Callable[[Backend, Met], Awaitable[None]]


async def reset_in_the_body(backend: Backend, met: Met) -> None:
    met.reset()


async def reset_after_it(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.reset()


async def closed_after_it(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.close()


async def silent(backend: Backend, met: Met) -> None:
    await met.read(backend)
    await asyncio.sleep(2 * WAIT)


async def cut_answer(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.write(answer(met.name)[:-1])
    await met.writer.drain()
    met.reset()


async def declined(backend: Backend, met: Met) -> None:
    await met.reader.readexactly(met.size)
    met.writer.write(answer(met.name, b"503 Service Unavailable", more=NOT_EXECUTED))


async def misdirected(backend: Backend, met: Met) -> None:
    await met.reader.readexactly(met.size)
    met.writer.write(answer(met.name, b"421 Misdirected Request", more=b""))


async def declined_early(backend: Backend, met: Met) -> None:
    """Answers before the body is in, keeps the connection and reads on later."""
    met.writer.write(answer(met.name, b"503 Service Unavailable", more=NOT_EXECUTED))
    await asyncio.sleep(0.05)
    await met.reader.readexactly(met.size)


async def failed(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.write(answer(met.name, b"500 Internal Server Error"))


async def own_after_anothers(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.write(answer(b"another") + answer(met.name))


async def own_after_anothers_long(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.write(answer(b"another", body=b"x" * LONG) + answer(met.name))


async def another_only(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.write(answer(b"another"))
    await asyncio.sleep(2 * WAIT)


async def surplus(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.write(answer(met.name) + answer(b"another"))


async def late_surplus(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.write(answer(met.name))
    await asyncio.sleep(0.1)
    met.writer.write(answer(b"another"))


async def unsealed(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.write(answer(met.name, more=b""))


async def ended_in_order(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.write(unframed(met.name))
    met.writer.close()


async def ended_by_a_reset(backend: Backend, met: Met) -> None:
    await met.read(backend)
    met.writer.write(unframed(met.name))
    await met.writer.drain()
    await asyncio.sleep(0.05)
    met.reset()


class Owner:
    """Whose attempt it is. Nothing that is passed on while it comes is wanted here."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def stream_began(
        self, attempt: Attempt, headers: bytes, length: int | None, source: BackendConnection
    ) -> None:
        raise AssertionError("another request's answer is passed on")

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None:
        self.answer.set_result(answer)


async def attempted(pool: Pool, name: bytes, size: int) -> Answer:
    owner, now = Owner(), pool.clock()
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %b\r\nContent-Length: %d\r\n" % (name, size)
    attempt = Attempt("b", head, b"", now, now + WAIT, 0, owner)
    attempt.id, attempt.body_pieces = name, [b"y" * size]
    pool.start(attempt)
    return await owner.answer


STATES: list[tuple[Behaviour, int, Outcome]] = [
    (reset_in_the_body, 40 * LONG, Outcome.NO_CONNECTION),
    (reset_after_it, 2, Outcome.BROKEN),
    (closed_after_it, 2, Outcome.BROKEN),
    (silent, 2, Outcome.TIMED_OUT),
    (cut_answer, 2, Outcome.BROKEN),
    (declined, 2, Outcome.TURNED_AWAY),
    (misdirected, 2, Outcome.TURNED_AWAY),
    (declined_early, LONG, Outcome.TURNED_AWAY),
    (declined_early, 40 * LONG, Outcome.TURNED_AWAY),
    (failed, 2, Outcome.ERROR),
    (own_after_anothers, 2, Outcome.SERVED),
    (own_after_anothers_long, 2, Outcome.SERVED),
    (another_only, 2, Outcome.TIMED_OUT),
    (surplus, 2, Outcome.SERVED),
    (late_surplus, 2, Outcome.SERVED),
    (unsealed, 2, Outcome.BROKEN),
    (ended_in_order, 2, Outcome.SERVED),
    (ended_by_a_reset, 2, Outcome.BROKEN),
]


@pytest.mark.parametrize(
    ("behave", "size", "outcome"), STATES, ids=[f"{b.__name__}-{s}" for b, s, _ in STATES]
)
def test_how_an_attempt_ends_and_that_the_next_one_has_its_own_answer(
    behave: Behaviour, size: int, outcome: Outcome
) -> None:
    async def test() -> None:
        backend = Backend(behave)
        server = await asyncio.start_server(backend.serve, HOST, 0)
        pool = Pool(asyncio.get_running_loop().time, 0.25, 60.0, 10, EdgeDialect())
        pool.enable_streaming()
        pool.set_address("b", server.sockets[0].getsockname()[:2])
        first = await attempted(pool, b"one", size)
        assert first.outcome is outcome
        if first.outcome.never_ran:
            assert b"one" not in backend.ran  # the promise that lets it go elsewhere
        if first.outcome is Outcome.SERVED:
            assert first.body == b"own"
        await asyncio.sleep(MIN_IDLE_S + 0.15)
        for name in (b"two", b"three"):
            following = await attempted(pool, name, 2)
            assert (following.outcome, following.body) == (Outcome.SERVED, b"own")
        assert sorted(backend.ran) == sorted({*backend.ran}) and {b"two", b"three"} <= {*backend.ran}
        pool.close()
        server.close()

    run(test)
