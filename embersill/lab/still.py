"""A gateway's own parts in one process, with transports, a loop and a clock that only count.

Nothing waits and nothing is sent: a client's bytes go in, a backend's answer is handed back, timers that are
due fire as the clock is moved. Whatever is done twice has the same outcome, on every machine.
"""

from __future__ import annotations

import heapq
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from embersill.control import Gateway
from embersill.interface import Backend, ListKind, Status
from embersill.rig.settings import lab_settings
from embersill.net.backends import BackendConnection, Pool
from embersill.net.clients import ClientConnection, Front
from embersill.net.discovery import Entry, Listing
from embersill.net.driver import Driver

STEP = 0.001  # seconds by which the clock moves with each request
BACKENDS, CONNECTIONS = 4, 16  # enough that one has rested whenever it is wanted
HEAD = (
    "{method} /api?client={customer:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {number:016x}\r\n"
    "X-Call-Class: {klass}\r\nPlan: free\r\nX-Budget: 5.000\r\n{more}"
    "Quota-Info: units=2,spread=2,first=0\r\n\r\n"
)


class CountingHandle:
    """A timer of the counting loop."""

    __slots__ = ("args", "call", "cancelled", "loop")

    def __init__(self, loop: CountingLoop, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.loop, self.call, self.args, self.cancelled = loop, call, args, False

    def cancel(self) -> None:
        self.loop.counts["timers_cancelled"] += 1
        self.cancelled = True


class CountingLoop:
    """As much of a loop as the gateway's parts use on the ordinary path."""

    def __init__(self) -> None:
        self.now, self.order = 100.0, 0
        self.counts: Counter[str] = Counter()
        self.due: list[tuple[float, int, CountingHandle]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, call: Callable[..., Any], *args: Any) -> CountingHandle:
        self.counts["timers_set"] += 1
        self.order += 1
        handle = CountingHandle(self, call, args)
        heapq.heappush(self.due, (self.now + delay, self.order, handle))
        return handle

    def call_soon(self, call: Callable[..., Any], *args: Any) -> CountingHandle:
        return self.call_later(0.0, call, *args)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        while self.due and self.due[0][0] <= self.now:
            _, _, handle = heapq.heappop(self.due)
            if not handle.cancelled:
                self.counts["timers_fired"] += 1
                handle.call(*handle.args)


class CountingTransport:
    """Takes what is written, and counts it. Its socket is real: the pool looks whether it is quiet."""

    def __init__(self, counts: Counter[str], kind: str) -> None:
        self.counts, self.kind = counts, kind
        self.written: list[bytes] = []
        self.pair = socket.socketpair()

    def write(self, data: bytes) -> None:
        self.counts["writes"] += 1
        self.counts["bytes_written"] += len(data)
        self.written.append(data)

    def get_extra_info(self, name: str) -> socket.socket:
        return self.pair[0]

    def set_write_buffer_limits(self, high: int) -> None: ...

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None: ...

    close = write_eof = abort


def answer(size: int) -> bytes:
    return b"HTTP/1.1 200 OK\r\nBilled-Units: 2\r\nContent-Length: %d\r\n\r\n%b" % (size, b"a" * size)


class Harness:
    """A gateway's parts around the counting loop, with so many kept connections to each backend."""

    def __init__(self, connections: int = CONNECTIONS) -> None:
        self.loop = CountingLoop()
        settings = replace(lab_settings(2), counter=False)
        clock = self.loop.time
        self.pool = Pool(clock, 0.25, 15.0, 512)
        self.pool.sweeper.cancel()
        self.pool.loop = self.loop  # type: ignore[assignment]
        self.pool.deadlines.loop = self.loop  # type: ignore[assignment]
        self.driver = Driver(Gateway(settings, 1, clock()), clock, self.pool)
        self.driver.loop = self.loop  # type: ignore[assignment]
        self.front = Front(self.driver, settings, clock, 512, lambda: True)
        self.front.sweeper.cancel()
        self.front.loop = self.loop  # type: ignore[assignment]
        served = (Backend(f"b{n}", "z", "k", 0, Status.SERVING, 1.0, None) for n in range(BACKENDS))
        entries = tuple(Entry(backend, ("127.0.0.1", 1000 + n)) for n, backend in enumerate(served))
        self.driver.list_told(Listing(ListKind.WHOLE, 1, entries))
        self.transports: list[CountingTransport] = []
        self.backends: list[tuple[BackendConnection, CountingTransport]] = []
        for line in self.pool.endpoints.values():
            for _ in range(connections):
                connection = BackendConnection(self.pool, line)
                transport = self.transport("backend")
                connection.connection_made(transport)  # type: ignore[arg-type]
                self.pool.put_back(connection)
                self.backends.append((connection, transport))
        self.client = ClientConnection(self.front)
        self.near = self.transport("client")
        self.client.connection_made(self.near)  # type: ignore[arg-type]
        self.number = 0
        self.loop.advance(1.0)

    def transport(self, kind: str) -> CountingTransport:
        made = CountingTransport(self.loop.counts, kind)
        self.transports.append(made)
        return made

    def request(self, klass: str, body: int) -> bytes:
        self.number += 1
        get = klass == "lookup"
        more = "" if get else f"Content-Length: {body}\r\n"
        if klass == "report":
            more += f"Idempotency-Key: k{self.number:031x}\r\n"
        head = HEAD.format(
            method="GET" if get else "POST",
            customer=0xC000 + self.number % 100,
            number=self.number,
            klass=klass,
            more=more,
        )
        return head.encode() + (b"" if get else b"b" * body)

    def one(self, pieces: list[bytes], answered: bytes) -> None:
        """One request, its answer, and a millisecond."""
        for piece in pieces:
            self.client.data_received(piece)
        for connection, transport in self.backends:
            if transport.written:
                transport.written.clear()
                connection.data_received(answered)
                break
        else:
            raise AssertionError("the request did not go out")
        assert len(self.near.written) == 1, "the request was not answered"
        self.near.written.clear()
        self.loop.advance(STEP)

    def close(self) -> None:
        for transport in self.transports:
            for end in transport.pair:
                end.close()
