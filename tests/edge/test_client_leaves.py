"""What becomes of requests whose clients leave before they have their answers, by whole gateways on loopback.

The judge is the stand-in for a backend: it notes when each request came, and whether its work came to its own
end or was dropped because the gateway closed the connection.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from embersill.edge.program import System
from tests.edge.test_sockets import Backend, answer, play, until

HOST = "127.0.0.4"
WORK = 1.2  # seconds that a backend takes for a request below /p0/long or /p1/long
NOTICED_WITHIN = 0.5  # seconds, by the operators' pages, after which nobody works for a client that has left
REPEATABLE, ORDER = "/p0/long", "/p1/long"


@dataclass
class Run:
    """One request at the backend; times by the loop's clock, 0 where it has not come to that."""

    attempt: str
    began: float
    finished: float = 0.0
    dropped: float = 0.0


class WorkingBackend(Backend):
    """Works on each request for a while, and drops it if the connection closes meanwhile."""

    drops = True  # it stops work as the connection closes

    async def start(self) -> None:
        """Listens; several connections are served side by side."""
        self.runs: list[Run] = []
        self.connections = 0
        await super().start()

    def run_of(self, attempt: str) -> Run | None:
        """The only run of a request; None if it has not come."""
        found = [run for run in self.runs if run.attempt == attempt]
        assert len(found) <= 1, f"{attempt} ran {len(found)} times"
        return found[0] if found else None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection, a request at a time."""
        self.connections += 1
        loop = asyncio.get_running_loop()
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.strip().split(b"\r\n")
                headers = {n.lower(): v for n, _, v in (one.partition(b": ") for one in lines)}
                await reader.readexactly(int(headers.get(b"content-length", b"0")))
                run = Run(headers[b"x-attempt-id"].decode(), loop.time())
                self.runs.append(run)
                if b"/long" in first:
                    if not await self.works(reader):
                        run.dropped = loop.time()
                        return writer.close()
                run.finished = loop.time()
                writer.write(answer(headers))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            writer.close()

    async def works(self, reader: asyncio.StreamReader) -> bool:
        """True once the work is done; False if the connection closed meanwhile and the work was dropped."""
        closing = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closing}, timeout=WORK)
        if done and self.drops:
            return False
        if done:
            await asyncio.sleep(WORK)
        closing.cancel()
        return True


def request(name: str, path: str = REPEATABLE, key: str = "k", wait_ms: int = 3000) -> bytes:
    """A client's request."""
    method = "GET" if path.startswith("/p0") else "POST"
    length = "" if method == "GET" else "Content-Length: 0\r\n"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {name}\r\nX-Key: {key}\r\n"
        f"X-Deadline-Remaining-Ms: {wait_ms}\r\n{length}\r\n"
    ).encode()


@dataclass
class Client:
    """One connection to a gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def connect(cls, port: int) -> Client:
        """A new connection to the gateway's listener for clients."""
        return cls(*await asyncio.open_connection(HOST, port))

    def send(self, *requests: bytes) -> None:
        """Writes requests, all at once."""
        self.writer.write(b"".join(requests))

    def close(self) -> None:
        """Leaves in order."""
        self.writer.close()

    def reset(self) -> None:
        """Leaves without a word."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def half_close(self) -> None:
        """Ends its own direction only."""
        self.writer.write_eof()


Leave = Callable[[Client], None]
LEAVES: tuple[Leave, ...] = (Client.close, Client.reset, Client.half_close)
Then = Callable[[int, WorkingBackend, System], Awaitable[None]]


def play_working(folder: Path, then: Then, kind: type[WorkingBackend] = WorkingBackend) -> None:
    """Plays with four gateways; `then` has the port of clients, the backend and the gateway they talk to."""

    async def adapted(ports: list[int], backend: Backend, systems: list[System]) -> None:
        assert isinstance(backend, WorkingBackend)
        await then(ports[0], backend, systems[3])

    play(folder, lambda path, headers: None, adapted, kind)


def is_calm(system: System) -> bool:
    """True if nothing is under way any more, and each count of it is back at nought."""
    gauges = system.metrics.gauges()
    names = (
        "requests_unanswered",
        "requests_pending",
        "requests_held",
        "attempts_out",
        "attempts_counted_out",
    )
    return not any(gauges[name] for name in names)


@pytest.mark.parametrize("pipelined", [False, True], ids=["alone", "pipelined"])
@pytest.mark.parametrize("leave", LEAVES, ids=[leave.__name__ for leave in LEAVES])
def test_no_backend_works_on_for_a_client_that_has_left(
    tmp_path: Path, leave: Leave, pipelined: bool
) -> None:
    async def then(port: int, backend: WorkingBackend, system: System) -> None:
        names = ["one", "two", "three"] if pipelined else ["one"]
        client = await Client.connect(port)
        client.send(*map(request, names))
        await until(lambda: len(backend.runs) == len(names))
        leave(client)
        left = asyncio.get_running_loop().time()
        await asyncio.sleep(NOTICED_WITHIN)
        ran_on = [run.attempt for run in backend.runs if not 0 < run.dropped - left < NOTICED_WITHIN]
        assert not ran_on
        await until(lambda: is_calm(system))

    play_working(tmp_path, then)
