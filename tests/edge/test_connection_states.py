"""Backend connections that fail in every possible state, with the gateway's own connection pool.

For each behaviour of a backend: the outcome of the attempt, whether that guarantees that the request has not
run (only then may a non-repeatable one be sent elsewhere), and that the next request gets its own response.
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
from embersill.net.attempt import Answer, Attempt
from embersill.net.backend_pool import MIN_IDLE_S, Pool
from embersill.net.backends import BackendConnection
from tests.bed import run

HOST = "127.0.0.1"
# more than the kernel takes at once, and more than is buffered before a response is streamed
LONG_BODY_BYTES = 300_000
ATTEMPT_TIMEOUT_S = 0.4
SEAL = b"X-Backend-Seal: s\r\n"
NOT_EXECUTED = b"X-Request-Not-Executed: 1\r\n"


def response(name: bytes, status: bytes = b"200 OK", body: bytes = b"own", more: bytes = SEAL) -> bytes:
    head = b"HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\n%bContent-Length: %d\r\n\r\n"
    return head % (status, name, more, len(body)) + body


def response_until_close(name: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n%bConnection: close\r\n\r\nown" % (name, SEAL)


@dataclass
class Backend:
    """A stand-in that handles its first request by a behaviour, and answers later ones normally."""

    behaviour: Behaviour
    executed: list[bytes] = field(default_factory=list)  # ids of requests that were read completely
    received: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = dict(line.split(b": ", 1) for line in head.strip().split(b"\r\n")[1:])
                name, size = lines[b"X-Attempt-Id"], int(lines[b"Content-Length"])
                self.received += 1
                if self.received == 1:
                    await self.behaviour(self, FirstRequest(reader, writer, name, size))
                else:
                    await reader.readexactly(size)
                    self.executed.append(name)
                    writer.write(response(name))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@dataclass
class FirstRequest:
    """The first request to a backend, whose head has been read."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    name: bytes
    size: int

    async def read_body(self, backend: Backend) -> None:
        await self.reader.readexactly(self.size)
        backend.executed.append(self.name)

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Behaviour = Callable[[Backend, FirstRequest], Awaitable[None]]


async def resets_in_the_body(backend: Backend, first_request: FirstRequest) -> None:
    first_request.reset()


async def resets_after_the_body(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.reset()


async def closes_after_the_body(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.close()


async def never_answers(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    await asyncio.sleep(2 * ATTEMPT_TIMEOUT_S)


async def truncates_the_response(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.write(response(first_request.name)[:-1])
    await first_request.writer.drain()
    first_request.reset()


async def declines(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.reader.readexactly(first_request.size)
    first_request.writer.write(response(first_request.name, b"503 Service Unavailable", more=NOT_EXECUTED))


async def answers_misdirected(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.reader.readexactly(first_request.size)
    first_request.writer.write(response(first_request.name, b"421 Misdirected Request", more=b""))


async def declines_before_the_body(backend: Backend, first_request: FirstRequest) -> None:
    """Answers before the body has arrived, keeps the connection open and reads the rest later."""
    first_request.writer.write(response(first_request.name, b"503 Service Unavailable", more=NOT_EXECUTED))
    await asyncio.sleep(0.05)
    await first_request.reader.readexactly(first_request.size)


async def answers_an_error(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.write(response(first_request.name, b"500 Internal Server Error"))


async def answers_another_id_first(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.write(response(b"another") + response(first_request.name))


async def answers_another_id_at_length_first(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.write(
        response(b"another", body=b"x" * LONG_BODY_BYTES) + response(first_request.name)
    )


async def answers_another_id_only(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.write(response(b"another"))
    await asyncio.sleep(2 * ATTEMPT_TIMEOUT_S)


async def sends_a_second_response(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.write(response(first_request.name) + response(b"another"))


async def sends_a_late_second_response(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.write(response(first_request.name))
    await asyncio.sleep(0.1)
    first_request.writer.write(response(b"another"))


async def answers_without_a_seal(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.write(response(first_request.name, more=b""))


async def ends_the_response_by_closing(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.write(response_until_close(first_request.name))
    first_request.writer.close()


async def ends_the_response_by_a_reset(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.read_body(backend)
    first_request.writer.write(response_until_close(first_request.name))
    await first_request.writer.drain()
    await asyncio.sleep(0.05)
    first_request.reset()


class Owner:
    """Owner of an attempt, which fails the test if a response is streamed to it."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def stream_began(
        self, attempt: Attempt, headers: bytes, length: int | None, source: BackendConnection
    ) -> None:
        raise AssertionError("the response to another request was streamed")

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None:
        self.answer.set_result(answer)


async def run_attempt(pool: Pool, name: bytes, size: int) -> Answer:
    owner, now = Owner(), pool.clock()
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %b\r\nContent-Length: %d\r\n" % (name, size)
    attempt = Attempt("b", head, b"", now, now + ATTEMPT_TIMEOUT_S, 0, owner)
    attempt.id, attempt.body_pieces = name, [b"y" * size]
    pool.start(attempt)
    return await owner.answer


async def declines_without_a_name(backend: Backend, first_request: FirstRequest) -> None:
    await first_request.reader.readexactly(first_request.size)
    first_request.writer.write(
        b"HTTP/1.1 503 Service Unavailable\r\n%bContent-Length: 0\r\n\r\n" % NOT_EXECUTED
    )


CASES: list[tuple[Behaviour, int, Outcome]] = [
    (declines_without_a_name, 2, Outcome.TURNED_AWAY),
    (resets_in_the_body, 40 * LONG_BODY_BYTES, Outcome.BROKEN),
    (resets_after_the_body, 2, Outcome.BROKEN),
    (closes_after_the_body, 2, Outcome.BROKEN),
    (never_answers, 2, Outcome.TIMED_OUT),
    (truncates_the_response, 2, Outcome.BROKEN),
    (declines, 2, Outcome.TURNED_AWAY),
    (answers_misdirected, 2, Outcome.TURNED_AWAY),
    (declines_before_the_body, LONG_BODY_BYTES, Outcome.TURNED_AWAY),
    (declines_before_the_body, 40 * LONG_BODY_BYTES, Outcome.TURNED_AWAY),
    (answers_an_error, 2, Outcome.ERROR),
    (answers_another_id_first, 2, Outcome.SERVED),
    (answers_another_id_at_length_first, 2, Outcome.SERVED),
    (answers_another_id_only, 2, Outcome.TIMED_OUT),
    (sends_a_second_response, 2, Outcome.SERVED),
    (sends_a_late_second_response, 2, Outcome.SERVED),
    (answers_without_a_seal, 2, Outcome.BROKEN),
    (ends_the_response_by_closing, 2, Outcome.SERVED),
    (ends_the_response_by_a_reset, 2, Outcome.BROKEN),
]


@pytest.mark.parametrize(
    ("behaviour", "size", "outcome"), CASES, ids=[f"{b.__name__}-{s}" for b, s, _ in CASES]
)
def test_an_attempt_has_its_outcome_and_the_next_one_gets_its_own_response(
    behaviour: Behaviour, size: int, outcome: Outcome
) -> None:
    async def test() -> None:
        backend = Backend(behaviour)
        server = await asyncio.start_server(backend.serve, HOST, 0)
        pool = Pool(asyncio.get_running_loop().time, 0.25, 60.0, 10, EdgeDialect())
        pool.enable_streaming()
        pool.set_address("b", server.sockets[0].getsockname()[:2])
        first = await run_attempt(pool, b"one", size)
        assert first.outcome is outcome
        if first.outcome.never_ran:
            assert b"one" not in backend.executed  # so that it may be sent elsewhere
        if first.outcome is Outcome.SERVED:
            assert first.body == b"own"
        await asyncio.sleep(MIN_IDLE_S + 0.15)
        for name in (b"two", b"three"):
            later = await run_attempt(pool, name, 2)
            assert (later.outcome, later.body) == (Outcome.SERVED, b"own")
        assert sorted(backend.executed) == sorted({*backend.executed}) and {b"two", b"three"} <= {
            *backend.executed
        }
        pool.close()
        server.close()

    run(test)


def test_a_declining_answer_without_a_name_proves_nothing_on_a_connection_that_was_used_before() -> None:
    """Guards against a second attempt by proof of a late answer that belongs to an earlier request."""

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            first = FirstRequest(reader, writer, b"one", 2)
            for answer in (response(b"one"), None):
                await reader.readuntil(b"\r\n\r\n")
                if answer is not None:
                    await reader.readexactly(2)
                    writer.write(answer)
                else:
                    await declines_without_a_name(Backend(declines_without_a_name), first)
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        pool = Pool(asyncio.get_running_loop().time, 0.25, 60.0, 10, EdgeDialect())
        pool.set_address("b", server.sockets[0].getsockname()[:2])
        assert (await run_attempt(pool, b"one", 2)).outcome is Outcome.SERVED
        await asyncio.sleep(2 * MIN_IDLE_S)
        assert (await run_attempt(pool, b"two", 2)).outcome is Outcome.ERROR
        pool.close()
        server.close()

    run(test)
