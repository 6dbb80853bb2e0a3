"""Stand-ins for a deployment's surroundings on loopback: backends, discovery and the counter.

They speak the platform's protocol. All live in one process with the clients, so one clock times all events.
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
    """A request that a backend has received completely."""

    backend: str
    call_id: str
    customer: str
    first_byte_at: float
    completed_at: float


class Listener:
    """A listening socket on an ephemeral port of loopback."""

    async def start(self) -> None:
        """Begins to serve."""
        raise NotImplementedError

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self, make_protocol: Callable[[], asyncio.Protocol]) -> None:
        """Listens on a free port."""
        self.server = await asyncio.get_running_loop().create_server(make_protocol, HOST, 0, backlog=1024)
        self.port = int(self.server.sockets[0].getsockname()[1])

    @property
    def address(self) -> str:
        """Address to connect to."""
        return f"{HOST}:{self.port}"

    def close(self) -> None:
        """Stops listening."""
        if self.server is not None:
            self.server.close()


@dataclass(slots=True)
class BackendBehaviour:
    """How a backend answers: its working time, and the shares of requests that fail."""

    min_work_s: float = 0.01
    max_work_s: float = 0.04
    error_share: float = 0.0  # answered 500 after running
    reset_share: float = 0.0  # the connection is reset after running
    reject_share: float = 0.0  # answered 503 with X-Rejected, not run


class BackendConnection(asyncio.Protocol):
    """One connection of a gateway to a stand-in backend."""

    def __init__(self, backend: StandInBackend) -> None:
        self.backend = backend
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.loop = asyncio.get_running_loop()
        self.url, self.call_id, self.began_at, self.received_at = b"", "", 0.0, 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection with its backend."""
        self.transport = cast(asyncio.Transport, transport)
        self.backend.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parses; invalid HTTP resets the connection."""
        self.received_at = self.loop.time()
        try:
            if self.parser is not None:
                self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_message_begin(self) -> None:
        """Parser callback: a request begins."""
        self.url, self.call_id, self.began_at = b"", "", self.received_at

    def on_url(self, url: bytes) -> None:
        """Parser callback: a piece of the URL."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header."""
        if name.lower() == b"x-call-id":
            self.call_id = value.decode()

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        self.backend.handle_request(self, self.call_id, self.url, self.began_at, self.received_at)

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Writes a response, unless the connection has been closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)
            )

    def close(self) -> None:
        """Aborts the connection."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self.transport = self.parser = None
        self.backend.connections.discard(self)


class StandInBackend(Listener):
    """Answers each request with its call id, so that the client can check that the answer is its own."""

    def __init__(
        self, name: str, behaviour: BackendBehaviour, seed: int, on_arrival: Callable[[Arrival, bool], None]
    ) -> None:
        """`on_arrival` is called with every request received, and whether it runs."""
        super().__init__()
        self.name, self.behaviour, self.on_arrival = name, behaviour, on_arrival
        self.random = random.Random(f"{seed} {name}")
        self.body_padding = b""
        self.connections: set[BackendConnection] = set()

    async def start(self) -> None:
        """Begins to serve."""
        await self.listen(lambda: BackendConnection(self))

    def handle_request(
        self, connection: BackendConnection, call_id: str, url: bytes, began_at: float, completed_at: float
    ) -> None:
        """Draws how a request ends, reports its arrival and answers after the working time."""
        query = parse_qs(url.partition(b"?")[2].decode("latin-1"))
        arrival = Arrival(self.name, call_id, query.get("client", [""])[0], began_at, completed_at)
        draw, behaviour = self.random.random(), self.behaviour
        if draw < behaviour.reject_share:
            self.on_arrival(arrival, False)
            return connection.answer(503, b"", b"X-Rejected: 1\r\n")
        self.on_arrival(arrival, True)
        work_s = self.random.uniform(behaviour.min_work_s, behaviour.max_work_s)
        body = call_id.encode() + self.body_padding
        if draw < behaviour.reject_share + behaviour.error_share:
            finish: Callable[[], None] = lambda: connection.answer(500, b"")  # noqa: E731
        elif draw < behaviour.reject_share + behaviour.error_share + behaviour.reset_share:
            finish = connection.close
        else:
            finish = lambda: connection.answer(200, body)  # noqa: E731
        if work_s <= 0:
            return finish()
        connection.loop.call_later(work_s, finish)
        return None


class StreamServer(Listener):
    """A stand-in that handles the calls of each connection one after the other."""

    def __init__(self) -> None:
        super().__init__()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begins to serve."""
        self.server = await asyncio.start_server(self.handle_connection, HOST, 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles calls until the connection ends."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                await self.handle_call(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def handle_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads one call and answers it."""
        raise NotImplementedError

    def close(self) -> None:
        """Stops listening and ends all connections."""
        super().close()
        for task in self.tasks:
            task.cancel()


class StandInDiscovery(StreamServer):
    """Discovery: the list of backends, and long polls that end with a change.

    One address stands for the agents of all machines.
    """

    def __init__(self) -> None:
        super().__init__()
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.last_changed: dict[str, int] = {}
        self.change_condition = asyncio.Condition()

    def entry(
        self, backend: StandInBackend, cell: int, status: str = "SERVING", zone: str = "z"
    ) -> dict[str, Any]:
        """A list entry of a backend."""
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

    def entry_with_status(self, name: str, status: str) -> dict[str, Any]:
        """The current entry of a backend with another status."""
        return {**self.entries[name], "lifecycle": status}

    def current_generation(self) -> int:
        """Generation of the list now."""
        return self.generation

    def listing(self, since: int | None = None) -> dict[str, Any]:
        """The whole list, or the entries changed since a generation."""
        named = [
            e
            for e in self.entries.values()
            if since is None or self.last_changed.get(e["instanceId"], 0) > since
        ]
        return {"generation": self.generation, "reset": since is None, "instances": named}

    async def update(self, entry: dict[str, Any]) -> None:
        """Replaces an entry and ends the waiting polls."""
        async with self.change_condition:
            self.generation += 1
            self.entries[entry["instanceId"]] = entry
            self.last_changed[entry["instanceId"]] = self.generation
            self.change_condition.notify_all()

    async def handle_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers with the list, or waits for a change as a poll asks."""
        head = await reader.readuntil(b"\r\n\r\n")
        query = parse_qs(head.split(b" ", 2)[1].partition(b"?")[2].decode())
        since = int(query["since"][0]) if "since" in query else None
        if since is not None:
            wait = int(query.get("timeout_ms", ["0"])[0]) / 1000.0
            try:
                async with asyncio.timeout(wait), self.change_condition:
                    await self.change_condition.wait_for(lambda: self.current_generation() > since)
            except TimeoutError:
                pass
        body = json.dumps(self.listing(since)).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class DiscoveryView(StandInDiscovery):
    """Discovery for one process: the same list, with relays in place of some backends' addresses."""

    def __init__(self, source: StandInDiscovery, relay_addresses: dict[str, str]) -> None:
        """`relay_addresses`: by backend; one that is not named keeps its own address."""
        super().__init__()
        self.source, self.relay_addresses = source, relay_addresses
        self.entries, self.last_changed, self.change_condition = (
            source.entries,
            source.last_changed,
            source.change_condition,
        )

    def listing(self, since: int | None = None) -> dict[str, Any]:
        """The source's list with relay addresses."""
        self.generation = self.source.generation
        listing = super().listing(since)
        listing["instances"] = [
            {**e, "hostPort": self.relay_addresses.get(e["instanceId"], e["hostPort"])}
            for e in listing["instances"]
        ]
        return listing

    def current_generation(self) -> int:
        """Generation of the source's list now."""
        return self.source.generation


class StandInCounter(StreamServer):
    """The counter: adds up amounts by name, over RESP2; a name expires after its lifetime."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[str, tuple[float, float]] = {}  # total and expiry by name
        self.calls = 0

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Adds to a name with each command and answers with its total."""
        parser, now = hiredis.Reader(), asyncio.get_running_loop().time
        try:
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (command := parser.gets()) is not False:
                    self.calls += 1
                    name, amount, lifetime_s = (
                        command[1].decode(),
                        float(command[2]),
                        float(command[3]) / 1000.0,
                    )
                    total, until = self.totals.get(name, (0.0, 0.0))
                    if until < now():
                        total, until = 0.0, now() + min(lifetime_s, 60.0)
                    self.totals[name] = total + amount, until
                    text = f"{total + amount:.7g}".encode()
                    writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
        except (OSError, asyncio.CancelledError, hiredis.HiredisError):
            pass
        finally:
            writer.close()
