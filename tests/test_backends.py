"""Outcomes of attempts over loopback sockets: those that never ran are told from those that may have run."""

from __future__ import annotations

import asyncio
import os
import select
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from embersill.interface import Outcome
from embersill.net import backends
from embersill.net.attempt import Answer, Attempt
from embersill.net.backend_pool import MIN_IDLE_S, Pool
from embersill.net.backends import MAX_BODY_BYTES, MAX_HEAD_BYTES, BackendConnection
from embersill.net.sent_bytes import UNKNOWN_BYTES
from tests.bed import run
from tests.peers import HOST, SOON, Asked, BackendPeer, Step, message

HEAD = b"POST /api HTTP/1.1\r\nX-Call-Id: 1\r\nContent-Length: 2\r\n"


class Ended:
    """The owner of an attempt, with a future for its answer."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None:
        self.answer.set_result(answer)

    def stream_began(
        self, attempt: Attempt, headers: bytes, length: int | None, source: BackendConnection
    ) -> None:
        raise AssertionError("long answers are not passed on here")


class Sender:
    """A connection pool with one backend, and attempts whose outcomes can be awaited."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool

    def start(self, wait: float = 5.0, body: bytes = b"ab") -> tuple[Attempt, asyncio.Future[Answer]]:
        owner, now = Ended(), self.pool.clock()
        head = HEAD.replace(b"2\r", b"%d\r" % len(body))
        attempt = Attempt("b", head, body, now, now + wait, 0, owner)
        self.pool.start(attempt)
        return attempt, owner.answer

    async def outcome(self, wait: float = 5.0) -> Outcome:
        return (await self.start(wait)[1]).outcome


@asynccontextmanager
async def sending(*script: Step, keepalive: float = 60.0) -> AsyncIterator[tuple[Sender, BackendPeer]]:
    peer = BackendPeer()
    await peer.start()
    peer.script = list(script)
    pool = Pool(asyncio.get_running_loop().time, 0.25, keepalive, 10)
    host, _, port = peer.address.rpartition(":")
    pool.set_address("b", (host, int(port)))
    yield Sender(pool), peer
    pool.close()
    await peer.stop()


def says(text: bytes, close: bool = False) -> Step:
    def step(writer: asyncio.StreamWriter, asked: Asked) -> None:
        writer.write(text)
        if close:
            writer.close()

    return step


def cuts(writer: asyncio.StreamWriter, asked: Asked) -> None:
    writer.transport.abort()


@pytest.mark.parametrize(
    ("text", "outcome"),
    [
        (message(200, b"x"), Outcome.SERVED),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + message(200, b"x"), Outcome.SERVED),
        (message(200, b"x", "Connection: close"), Outcome.SERVED),
        (message(200, b"x") + message(200, b"y"), Outcome.SERVED),
        (message(500), Outcome.ERROR),
        (message(204), Outcome.ERROR),
        (message(503), Outcome.ERROR),
        (message(500, b"", "X-Rejected: 1"), Outcome.ERROR),
        (message(503, b"", "X-Rejected: 1"), Outcome.TURNED_AWAY),
        (message(504, b"", "X-Rejected: 1"), Outcome.TURNED_AWAY),
        (message(504, b"", "X-Rejected: 0"), Outcome.ERROR),
        (b"rubbish\r\n\r\n", Outcome.BROKEN),
        (message(200, b"x" * MAX_BODY_BYTES), Outcome.SERVED),
        (message(200, b"x" * (MAX_BODY_BYTES + 1)), Outcome.BROKEN),
    ],
)
def test_an_answer_tells_whether_the_attempt_ran(text: bytes, outcome: Outcome) -> None:
    async def test() -> None:
        async with sending(says(text)) as (sender, peer):
            assert await sender.outcome() is outcome
            assert await sender.outcome() is Outcome.SERVED  # in any case the next attempt is unaffected
            assert len(peer.seen) == 2

    run(test)


@pytest.mark.parametrize(
    "step",
    [
        cuts,
        says(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", close=True),
        says(b"", close=True),
        says(b"HTTP/1.1 200 OK\r\n\r\nab", close=True),
    ],
)
def test_a_connection_that_breaks_after_the_write_may_have_run(step: Step) -> None:
    async def test() -> None:
        async with sending(step) as (sender, _):
            assert await sender.outcome() is Outcome.BROKEN

    run(test)


def test_a_kept_connection_that_is_dead_after_the_write_is_no_free_retry() -> None:
    async def test() -> None:
        async with sending(says(message(200)), cuts) as (sender, peer):
            assert await sender.outcome() is Outcome.SERVED
            await asyncio.sleep(2 * MIN_IDLE_S)
            assert await sender.outcome() is Outcome.BROKEN
            assert len(peer.seen) == 2 and peer.connections == 1

    run(test)


def test_a_refused_connection_never_ran() -> None:
    async def test() -> None:
        async with sending() as (sender, peer):
            await peer.stop()
            assert await sender.outcome() is Outcome.NO_CONNECTION

    run(test)


def test_a_request_that_was_written_in_part_may_have_run() -> None:
    """Guards against review/2: the kernel has part of a large body, the rest is still buffered here."""

    async def test() -> None:
        async def takes_little(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(10)
            await asyncio.sleep(0)
            writer.transport.abort()

        server = await asyncio.start_server(takes_little, HOST, 0, limit=16)
        async with sending() as (sender, _):
            sender.pool.set_address("b", server.sockets[0].getsockname())
            attempt, ended = sender.start(body=b"x" * 30_000_000)
            assert (await ended).outcome is Outcome.BROKEN
            assert attempt.written and sender.pool.tries == 1
            assert (sender.pool.lost_sending, sender.pool.lost_waiting) == (1, 0)
        server.close()

    run(test)


def test_a_request_of_which_the_kernel_took_nothing_never_ran() -> None:
    """Guards against giving up a request whose connection broke unnoticed just before it was written."""

    async def test() -> None:
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen()
            pool = Pool(asyncio.get_running_loop().time, 5.0, 60.0, 10)
            pool.set_address("b", listener.getsockname())
            sender = Sender(pool)
            _, ended = sender.start()
            in_thread = asyncio.get_running_loop().run_in_executor
            peer, _ = await in_thread(None, listener.accept)
            await in_thread(None, peer.recv, 1024)
            peer.sendall(message(200, b"x"))
            assert (await ended).outcome is Outcome.SERVED
            (connection,) = pool.connections
            pool.endpoints["b"].idle.remove(connection)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.close()  # resets the connection: the kernel knows, the event loop does not yet
            owner, now = Ended(), pool.clock()
            attempt = Attempt("b", HEAD, b"ab", now, now + 5.0, 0, owner)
            connection.send(attempt, 5.0)
            assert (await owner.answer).outcome is Outcome.NO_CONNECTION
            assert not attempt.written and pool.tries == 1
            pool.close()

    run(test)


def test_the_kernel_tells_how_much_it_has_taken_of_each_request() -> None:
    async def test() -> None:
        declines = says(message(503, b"", "X-Rejected: 1"))
        async with sending(says(message(200, b"x")), declines) as (sender, peer):
            assert await sender.outcome() is Outcome.SERVED
            await asyncio.sleep(2 * MIN_IDLE_S)
            attempt, ended = sender.start(body=b"x" * 3000)
            assert (await ended).outcome is Outcome.TURNED_AWAY
            (connection,) = sender.pool.connections
            assert connection.is_reused() and connection.earlier_bytes > 0
            assert attempt.kernel_bytes == connection.request_bytes > 3000
            connection.close()
            await asyncio.sleep(0.01)
            assert connection.request_bytes_taken() == UNKNOWN_BYTES

    run(test)


class ClosingLoop:
    """The event loop, but for connections: when one comes up, its other end has closed it already."""

    def __init__(self, listener: socket.socket) -> None:
        self.listener, self.loop = listener, asyncio.get_running_loop()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, factory: Any, host: str, port: int) -> Any:
        made = await self.loop.create_connection(factory, host, port)
        self.listener.accept()[0].close()  # it is up, so this does not wait
        return made


def test_a_connection_that_its_backend_closed_before_the_write_is_not_written_to() -> None:
    """Guards against giving up a request to a backend that closes connections beyond its limit at once."""

    async def test() -> None:
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen()
            pool = Pool(asyncio.get_running_loop().time, 5.0, 60.0, 10)
            pool.loop = ClosingLoop(listener)  # type: ignore[assignment]
            pool.set_address("b", listener.getsockname())
            attempt, ended = Sender(pool).start()
            assert (await ended).outcome is Outcome.NO_CONNECTION
            assert not attempt.written
            pool.close()

    run(test)


def test_time_out_and_cancel_close_the_connection() -> None:
    async def test() -> None:
        async with sending(says(b""), says(b"")) as (sender, peer):
            assert await sender.outcome(0.05) is Outcome.TIMED_OUT
            attempt, ended = sender.start()
            await peer.until(lambda: len(peer.seen) == 2)
            attempt.end(Answer(Outcome.CANCELLED))
            assert (await ended).outcome is Outcome.CANCELLED
            await peer.until(lambda: peer.ended == 2)
            assert not sender.pool.connections or await sender.outcome() is Outcome.SERVED

    run(test)


@asynccontextmanager
async def hanging() -> AsyncIterator[tuple[Sender, socket.socket]]:
    """A backend whose connections are not established before its full backlog is accepted."""
    with socket.socket() as listener, socket.socket() as filler:
        listener.bind((HOST, 0))
        listener.listen(0)
        filler.connect(listener.getsockname())
        pool = Pool(asyncio.get_running_loop().time, 30.0, 60.0, 10)
        pool.set_address("b", listener.getsockname())
        yield Sender(pool), listener
        pool.close()


@pytest.mark.parametrize("way", ["drain", "gone", "end", "time-out"])
def test_an_attempt_that_waits_for_its_connection_is_not_written_afterwards(way: str) -> None:
    # a drain or the request's end comes while the connection is being made: nothing may be written after that
    async def test() -> None:
        async with hanging() as (sender, listener):
            attempt, ended = sender.start(0.05 if way == "time-out" else 20.0)
            await asyncio.sleep(0)
            assert sender.pool.dialling
            if way == "drain":
                sender.pool.retire("b")
            elif way == "gone":
                sender.pool.forget_others([])
            elif way == "end":
                attempt.end(Answer(Outcome.NOT_SENT))
            assert (await ended).outcome.never_ran
            await asyncio.sleep(0)
            assert not sender.pool.dialling and not sender.pool.connections
            assert not attempt.written

    run(test)


def test_a_dial_that_does_not_come_up_ends_in_time() -> None:
    async def test() -> None:
        async with hanging() as (sender, _):
            sender.pool.dial_timeout = 0.05
            assert await sender.outcome() is Outcome.NO_CONNECTION

    run(test)


def test_idle_connections_are_closed_well_before_the_backend_does() -> None:
    async def test() -> None:
        now = 0.0
        async with sending(keepalive=10.0) as (sender, peer):
            sender.pool.clock = lambda: now
            assert await sender.outcome() is Outcome.SERVED
            now = 4.9
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 1
            now = 10.0
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 2
            now = 16.0
            sender.pool.sweep()
            await peer.until(lambda: peer.ended == 2)

    run(test)


def test_a_backend_that_was_silent_or_restarted_is_dialled_anew() -> None:
    # connections to an unreachable machine stay open and silent: what is written to one may have run, while
    # a connection that is never established proves that the attempt did not run
    async def test() -> None:
        served, silent = says(message(200)), says(b"")
        async with sending(silent, silent, served, served, served) as (sender, peer):
            _, first = sender.start(5.0)
            await peer.until(lambda: len(peer.seen) == 1)
            _, second = sender.start(5.0)
            await peer.until(lambda: len(peer.seen) == 2)
            assert await sender.outcome() is Outcome.SERVED  # a third connection, kept
            line = sender.pool.endpoints["b"]
            assert len(line.idle) == 1
            attempt = next(c.attempt for c in sender.pool.connections if c.attempt is not None)
            attempt.time_out()
            assert not line.idle and (first.done() or second.done())
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 4
            sender.pool.set_address("b", sender.pool.endpoints["b"].address, 7.0)
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 5

    run(test)


def test_the_pool_is_bounded_and_idle_connections_make_way() -> None:
    async def test() -> None:
        async with sending(says(b""), says(b"")) as (sender, peer):
            sender.pool.most = 2
            first, _ = sender.start()
            second, _ = sender.start()
            assert await sender.outcome() is Outcome.NO_CONNECTION
            await peer.until(lambda: len(peer.seen) == 2)
            first.end(Answer(Outcome.CANCELLED))
            await peer.until(lambda: peer.ended == 1)
            assert await sender.outcome() is Outcome.SERVED
            sender.pool.set_address("c", sender.pool.endpoints["b"].address)
            now = sender.pool.clock()
            sender.pool.start(Attempt("c", HEAD, b"ab", now, now + 5, 0, Ended()))
            await peer.until(lambda: peer.ended >= 2)

    run(test)


SECOND = message(500, b"another's body", "Billed-Units: 7", "X-Rejected: 1")


@pytest.mark.parametrize("behind", [SECOND, message(200, b"mine", "Billed-Units: 2"), b"\x00noise\r\n\r\n"])
@pytest.mark.parametrize("together", [True, False])
def test_what_comes_behind_an_answer_changes_neither_it_nor_the_next(behind: bytes, together: bool) -> None:
    # a second answer in the same read was appended to the first one's body and replaced its status and units;
    # one that came later could be taken for the answer to the next request on that connection
    async def test() -> None:
        async def later(writer: asyncio.StreamWriter, asked: Asked) -> None:
            writer.write(message(200, b"mine", "Billed-Units: 2") + (behind if together else b""))
            if not together:
                await writer.drain()
                await first
                writer.write(behind)

        async with sending(later, says(message(200, b"next"))) as (sender, peer):
            _, first = sender.start()
            answer = await first
            assert (answer.outcome, answer.body, answer.units) == (Outcome.SERVED, b"mine", 2.0)
            await asyncio.sleep(2 * MIN_IDLE_S)
            assert (await sender.start()[1]).body == b"next"
            assert peer.connections == 2  # a connection with surplus bytes is not reused

    run(test)


def test_surplus_that_was_not_read_yet_is_found_before_the_next_request_goes_out() -> None:
    async def test() -> None:
        async with sending(says(message(200, b"mine"))) as (sender, peer):
            await sender.outcome()
            await asyncio.sleep(2 * MIN_IDLE_S)
            (connection,) = sender.pool.connections
            assert connection.is_quiet()
            sock = next(iter(peer.open)).get_extra_info("socket")
            os.write(sock.fileno(), message(200, b"late"))
            select.select([connection.descriptor], [], [], SOON)  # it is there, but not read yet
            assert not connection.is_quiet()

    run(test)


@pytest.mark.parametrize(
    "ahead",
    [
        b"HTTP/1.1 100 Continue\r\nBilled-Units: 7\r\nX-Rejected: 1\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Type: a/b\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
    ],
)
@pytest.mark.parametrize("status", [200, 503])
def test_interim_answers_leave_no_traces(ahead: bytes, status: int) -> None:
    async def test() -> None:
        async with sending(says(ahead + message(status, b"real")), says(message(200))) as (sender, peer):
            answer = await sender.start()[1]
            if status == 200:
                assert answer == Answer(Outcome.SERVED, b"real", 0.0, b"")
            else:
                assert answer.outcome is Outcome.ERROR  # the rejection header was not the final answer's
            await asyncio.sleep(2 * MIN_IDLE_S)
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 1

    run(test)


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppppppppppppppp\r\n" * (MAX_HEAD_BYTES // 20),
        b"HTTP/1.1 100 Continue\r\n\r\n" * (MAX_HEAD_BYTES // 20),
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1;xxxxxxxx\r\na\r\n" * (MAX_BODY_BYTES // 5),
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ],
)
def test_a_spoilt_answer_ends_the_attempt_long_before_its_time(
    text: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # each of these held the attempt until its time-out, so that the request failed
    async def test() -> None:
        if len(text) > 50 or b"\r\n\r\n" in text and b": 10\r" not in text:  # not those that just end early
            monkeypatch.setattr(backends, "STALL_TIMEOUT_S", 1000.0)
        async with sending(says(text)) as (sender, peer):
            assert await sender.outcome(1000.0) is Outcome.BROKEN
            await peer.until(lambda: peer.ended == 1)

    run(test)


def test_a_backend_at_a_new_address_is_served_by_no_old_connection() -> None:
    # an answer that came after a change of address returned its connection to the pool under the same id
    async def test() -> None:
        free = asyncio.Event()

        async def slow(writer: asyncio.StreamWriter, asked: Asked) -> None:
            await free.wait()
            writer.write(message(200, b"old"))

        async with sending(slow) as (sender, peer):
            other = BackendPeer()
            await other.start()
            other.script = [says(message(200, b"new"))]
            _, first = sender.start()
            await peer.until(lambda: len(peer.seen) == 1)
            host, _, port = other.address.rpartition(":")
            sender.pool.set_address("b", (host, int(port)))
            free.set()
            assert (await first).body == b"old"
            await peer.until(lambda: peer.ended == 1)
            assert (await sender.start()[1]).body == b"new"
            await other.stop()

    run(test)


def test_kept_connections_that_die_unannounced_are_kept_for_less_long() -> None:
    # a request written to a dead one is lost, as it may have run; only a new one is certain to be alive
    async def test() -> None:
        now = 0.0
        async with sending(says(message(200)), cuts, keepalive=60.0) as (sender, peer):
            sender.pool.clock = lambda: now
            assert await sender.outcome() is Outcome.SERVED
            now = 5.0
            assert await sender.outcome() is Outcome.BROKEN and peer.connections == 1
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 2
            now = 9.0  # the idle time that was too long before
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 3
            now = 11.0
            before = sender.pool.idle_limit
            assert await sender.outcome() is Outcome.SERVED and peer.connections == 3
            assert before < sender.pool.idle_limit < 30.0  # a live one shows that a longer time is safe

    run(test)
