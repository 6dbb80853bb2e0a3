"""What stands around a deployment on loopback: backends, discovery, the counter, by the platform's protocol.

All of a lab's stand-ins live in one process with its clients: what happened is seen by one clock.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast
from urllib.parse import parse_qs

import hiredis
import httptools

HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that came whole to a backend."""

    backend: str
    call_id: str
    customer: str
    first_byte: float
    whole: float


class Listener:
    """A listening socket on an ephemeral port of loopback."""

    async def start(self) -> None:
        raise NotImplementedError

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self, make: Callable[[], asyncio.Protocol]) -> None:
        self.server = await asyncio.get_running_loop().create_server(make, HOST, 0, backlog=1024)
        self.port = int(self.server.sockets[0].getsockname()[1])

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def close(self) -> None:
        if self.server is not None:
            self.server.close()


@dataclass(slots=True)
class Behaviour:
    """How a backend answers: work in seconds, and parts of requests that go wrong."""

    least_work: float = 0.01
    most_work: float = 0.04
    errors: float = 0.0  # answered 500 after running
    resets: float = 0.0  # run, and the connection then breaks
    turned_away: float = 0.0  # 503 with X-Rejected, never run


class BackendConnection(asyncio.Protocol):
    def __init__(self, backend: StandInBackend) -> None:
        self.backend = backend
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.loop = asyncio.get_running_loop()
        self.url, self.call_id, self.began, self.came = b"", "", 0.0, 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.backend.open.add(self)

    def data_received(self, data: bytes) -> None:
        self.came = self.loop.time()
        try:
            if self.parser is not None:
                self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_message_begin(self) -> None:
        self.url, self.call_id, self.began = b"", "", self.came

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-call-id":
            self.call_id = value.decode()

    def on_message_complete(self) -> None:
        self.backend.came(self, self.call_id, self.url, self.began, self.came)

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)
            )

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self.parser = None
        self.backend.open.discard(self)


class StandInBackend(Listener):
    """Serves a request with its id, which tells the client whether the answer is its own."""

    def __init__(
        self, name: str, behaviour: Behaviour, seed: int, told: Callable[[Arrival, bool], None]
    ) -> None:
        """`told` hears of every arrival, and whether it runs."""
        super().__init__()
        self.name, self.behaviour, self.told = name, behaviour, told
        self.random = random.Random(f"{seed} {name}")
        self.pad = b""
        self.open: set[BackendConnection] = set()

    async def start(self) -> None:
        await self.listen(lambda: BackendConnection(self))

    def came(
        self, connection: BackendConnection, call_id: str, url: bytes, began: float, whole: float
    ) -> None:
        query = parse_qs(url.partition(b"?")[2].decode("latin-1"))
        arrival = Arrival(self.name, call_id, query.get("client", [""])[0], began, whole)
        draw, plan = self.random.random(), self.behaviour
        if draw < plan.turned_away:
            self.told(arrival, False)
            return connection.answer(503, b"", b"X-Rejected: 1\r\n")
        self.told(arrival, True)
        work = self.random.uniform(plan.least_work, plan.most_work)
        body = call_id.encode() + self.pad
        if draw < plan.turned_away + plan.errors:
            end: Callable[[], None] = lambda: connection.answer(500, b"")  # noqa: E731
        elif draw < plan.turned_away + plan.errors + plan.resets:
            end = connection.close
        else:
            end = lambda: connection.answer(200, body)  # noqa: E731
        if work <= 0:
            return end()
        connection.loop.call_later(work, end)
        return None


class StreamServer(Listener):
    """A stand-in that reads one call after the other from each connection."""

    def __init__(self) -> None:
        super().__init__()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.connected, HOST, 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                await self.call(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        super().close()
        for task in self.tasks:
            task.cancel()


class StandInDiscovery(StreamServer):
    """The agent of every machine at one address: the list, and watches that end with a change."""

    def __init__(self) -> None:
        super().__init__()
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}
        self.changed = asyncio.Condition()

    def entry(
        self, backend: StandInBackend, cell: int, status: str = "SERVING", zone: str = "z"
    ) -> dict[str, Any]:
        return {
            "instanceId": backend.name,
            "hostPort": backend.address,
            "zone": zone,
            "machineType": "k",
            "cell": cell,
            "lifecycle": status,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def changed_entry(self, name: str, status: str) -> dict[str, Any]:
        return {**self.entries[name], "lifecycle": status}

    def now_at(self) -> int:
        return self.generation

    def listing(self, since: int | None = None) -> dict[str, Any]:
        named = [
            e
            for e in self.entries.values()
            if since is None or self.changed_in.get(e["instanceId"], 0) > since
        ]
        return {"generation": self.generation, "reset": since is None, "instances": named}

    async def set(self, entry: dict[str, Any]) -> None:
        async with self.changed:
            self.generation += 1
            self.entries[entry["instanceId"]] = entry
            self.changed_in[entry["instanceId"]] = self.generation
            self.changed.notify_all()

    async def call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        query = parse_qs(head.split(b" ", 2)[1].partition(b"?")[2].decode())
        since = int(query["since"][0]) if "since" in query else None
        if since is not None:
            wait = int(query.get("timeout_ms", ["0"])[0]) / 1000.0
            try:
                async with asyncio.timeout(wait), self.changed:
                    await self.changed.wait_for(lambda: self.now_at() > since)
            except TimeoutError:
                pass
        body = json.dumps(self.listing(since)).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class DiscoveryView(StandInDiscovery):
    """What one process is told: the same list, with relays in place of some backends' addresses."""

    def __init__(self, source: StandInDiscovery, places: dict[str, str]) -> None:
        """`places`: addresses by backend; who is not named stands at its own."""
        super().__init__()
        self.source, self.places = source, places
        self.entries, self.changed_in, self.changed = source.entries, source.changed_in, source.changed

    def listing(self, since: int | None = None) -> dict[str, Any]:
        self.generation = self.source.generation
        told = super().listing(since)
        told["instances"] = [
            {**e, "hostPort": self.places.get(e["instanceId"], e["hostPort"])} for e in told["instances"]
        ]
        return told

    def now_at(self) -> int:
        return self.source.generation


class StandInCounter(StreamServer):
    """Adds up names, by RESP2; names are forgotten after their lives."""

    def __init__(self) -> None:
        super().__init__()
        self.sums: dict[str, tuple[float, float]] = {}  # name: (total, until)
        self.calls = 0

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser, now = hiredis.Reader(), asyncio.get_running_loop().time
        try:
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (call := parser.gets()) is not False:
                    self.calls += 1
                    name, amount, life = call[1].decode(), float(call[2]), float(call[3]) / 1000.0
                    total, until = self.sums.get(name, (0.0, 0.0))
                    if until < now():
                        total, until = 0.0, now() + min(life, 60.0)
                    self.sums[name] = total + amount, until
                    text = f"{total + amount:.7g}".encode()
                    writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
        except (OSError, asyncio.CancelledError, hiredis.HiredisError):
            pass
        finally:
            writer.close()
