"""A closed load: so many requests under way over kept connections, which ask in turn."""

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


class Asker(asyncio.Protocol):
    """One connection. It looks for no more than an answer's end: the load must cost less than its target."""

    def __init__(self, load: ClosedLoop, number: int) -> None:
        self.load, self.number, self.count = load, number, 0
        self.transport: asyncio.Transport | None = None
        self.asked_at, self.buffer = 0.0, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self) -> None:
        load = self.load
        if load.stopped or self.transport is None:
            return
        self.count += 1
        load.asked += 1
        more = load.more
        if load.klass == b"report":
            more += b"Idempotency-Key: k%08x%08x\r\n" % (self.number, self.count)
        self.asked_at = perf_counter()
        self.transport.write(
            HEAD
            % (
                load.method,
                0xC000 + load.asked % load.customers,
                self.number,
                self.count,
                load.klass,
                more,
                load.body,
            )
        )

    def data_received(self, data: bytes) -> None:
        self.buffer = self.buffer + data if self.buffer else data
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        self.load.done(self, head.startswith(b"HTTP/1.1 200"), perf_counter() - self.asked_at)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None


class ClosedLoop:
    """With more connections than `under_way`, those that have waited longest ask next."""

    def __init__(
        self,
        connections: int,
        *,
        customers: int = 100,
        klass: str = "lookup",
        body: int = 0,
        under_way: int = 16,
    ) -> None:
        self.under_way = min(under_way, connections)
        self.idle: deque[Asker] = deque()
        self.connections, self.customers, self.klass = connections, customers, klass.encode()
        self.method = b"GET" if klass == "lookup" else b"POST"
        self.body = b"b" * body
        self.more = b"" if klass == "lookup" else b"Content-Length: %d\r\n" % body
        self.loop = asyncio.get_running_loop()
        self.asked = self.served = self.other = 0
        self.latencies: list[float] = []
        self.stopped = False

    def done(self, asker: Asker, served: bool, latency: float) -> None:
        self.idle.append(asker)
        self.idle.popleft().ask()
        if served:
            self.served += 1
            self.latencies.append(latency)
        else:
            self.other += 1

    def reset(self) -> None:
        self.served = self.other = 0
        self.latencies = []

    async def start(self, port: int) -> None:
        self.askers = [Asker(self, n) for n in range(self.connections)]
        for asker in self.askers:
            await self.loop.create_connection(lambda asker=asker: asker, HOST, port)  # type: ignore[misc]
        self.idle.extend(self.askers)
        for _ in range(self.under_way):
            self.idle.popleft().ask()

    def stop(self) -> None:
        self.stopped = True
        for asker in self.askers:
            if asker.transport is not None:
                asker.transport.close()

    def quantile_us(self, part: float) -> float:
        ordered = sorted(self.latencies)
        return round(1e6 * ordered[int(part * (len(ordered) - 1))], 1) if ordered else 0.0
