"""A closed-loop load generator: a fixed number of requests in flight over persistent connections, in turn."""

from __future__ import annotations

import asyncio
from collections import deque
from time import perf_counter
from typing import cast

from embersill.rig.standins import HOST

HEAD = (
    b"%b /api?client=%016x HTTP/1.1\r\nHost: b\r\nX-Call-Id: %08x%08x\r\nX-Call-Class: %b\r\n"
    b"Plan: free\r\nX-Budget: 5.000\r\n%bQuota-Info: units=1,spread=1,first=0\r\n\r\n%b"
)


class LoadConnection(asyncio.Protocol):
    """A connection that only looks for the end of a response: the load must cost less than its target."""

    def __init__(self, load: ClosedLoop, number: int) -> None:
        self.load, self.number, self.count = load, number, 0
        self.transport: asyncio.Transport | None = None
        self.sent_at, self.buffer = 0.0, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send_request(self) -> None:
        """Sends the next request, unless the load has stopped or the connection is closed."""
        load = self.load
        if load.stopped or self.transport is None:
            return
        self.count += 1
        load.sent += 1
        headers = load.headers
        if load.klass == b"report":
            headers += b"Idempotency-Key: k%08x%08x\r\n" % (self.number, self.count)
        self.sent_at = perf_counter()
        self.transport.write(
            HEAD
            % (
                load.method,
                0xC000 + load.sent % load.customers,
                self.number,
                self.count,
                load.klass,
                headers,
                load.body,
            )
        )

    def data_received(self, data: bytes) -> None:
        """Reports the response to the load once it is complete."""
        self.buffer = self.buffer + data if self.buffer else data
        head, separator, rest = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        self.load.response_received(self, head.startswith(b"HTTP/1.1 200"), perf_counter() - self.sent_at)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the transport, so that no request is sent here."""
        self.transport = None


class ClosedLoop:
    """Keeps `in_flight` requests open; of more connections than that, the one idle longest sends next."""

    def __init__(
        self,
        connections: int,
        *,
        customers: int = 100,
        klass: str = "lookup",
        body: int = 0,
        in_flight: int = 16,
    ) -> None:
        self.in_flight = min(in_flight, connections)
        self.idle: deque[LoadConnection] = deque()
        self.connections, self.customers, self.klass = connections, customers, klass.encode()
        self.method = b"GET" if klass == "lookup" else b"POST"
        self.body = b"b" * body
        self.headers = b"" if klass == "lookup" else b"Content-Length: %d\r\n" % body
        self.loop = asyncio.get_running_loop()
        self.sent = self.served = self.other = 0
        self.latencies: list[float] = []
        self.stopped = False

    def response_received(self, connection: LoadConnection, served: bool, latency: float) -> None:
        """Counts a response and sends a request on the connection that has been idle longest."""
        self.idle.append(connection)
        self.idle.popleft().send_request()
        if served:
            self.served += 1
            self.latencies.append(latency)
        else:
            self.other += 1

    def reset(self) -> None:
        """Discards the counts and latencies so far, for instance those of the warm-up."""
        self.served = self.other = 0
        self.latencies = []

    async def start(self, port: int) -> None:
        """Opens the connections and sends the first requests."""
        self.open_connections = [LoadConnection(self, n) for n in range(self.connections)]
        for connection in self.open_connections:
            await self.loop.create_connection(lambda connection=connection: connection, HOST, port)  # type: ignore[misc]
        self.idle.extend(self.open_connections)
        for _ in range(self.in_flight):
            self.idle.popleft().send_request()

    def stop(self) -> None:
        """Closes the connections; no further request is sent."""
        self.stopped = True
        for connection in self.open_connections:
            if connection.transport is not None:
                connection.transport.close()

    def quantile_us(self, fraction: float) -> float:
        """A quantile of the latencies of served requests, in microseconds; 0 if there were none."""
        ordered = sorted(self.latencies)
        return round(1e6 * ordered[int(fraction * (len(ordered) - 1))], 1) if ordered else 0.0
