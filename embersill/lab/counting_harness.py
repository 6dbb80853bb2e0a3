"""A deterministic harness for a gateway's parts in one process, with counting transports, loop and clock.

Nothing waits and nothing is sent: a client's bytes are fed in, a backend's answer is fed back, and due timers
fire as the clock is advanced. The same input has the same outcome every time and on every machine.
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
from embersill.net.backend_pool import Pool
from embersill.net.backends import BackendConnection
from embersill.net.clients import ClientConnection, Front
from embersill.net.discovery import Entry, Listing
from embersill.net.driver import Driver
from embersill.rig.settings import lab_settings

STEP_S = 0.001  # the clock advances by this with each request
BACKEND_COUNT, CONNECTIONS_PER_BACKEND = 4, 16  # enough that a rested connection is always available
REQUEST_HEAD = (
    "{method} /api?client={customer:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {number:016x}\r\n"
    "X-Call-Class: {klass}\r\nPlan: free\r\nX-Budget: 5.000\r\n{more}"
    "Quota-Info: units=2,spread=2,first=0\r\n\r\n"
)


class CountingHandle:
    """The handle of a timer in the counting loop."""

    __slots__ = ("args", "call", "cancelled", "loop")

    def __init__(self, loop: CountingLoop, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.loop, self.call, self.args, self.cancelled = loop, call, args, False

    def cancel(self) -> None:
        """Cancels the timer."""
        self.loop.counts["timers_cancelled"] += 1
        self.cancelled = True


class CountingLoop:
    """The subset of an event loop that the gateway's parts use on the ordinary path."""

    def __init__(self) -> None:
        self.now, self.order = 100.0, 0
        self.counts: Counter[str] = Counter()
        self.timers: list[tuple[float, int, CountingHandle]] = []

    def time(self) -> float:
        """The simulated time in seconds."""
        return self.now

    def call_later(self, delay: float, call: Callable[..., Any], *args: Any) -> CountingHandle:
        """Sets a timer."""
        self.counts["timers_set"] += 1
        self.order += 1
        handle = CountingHandle(self, call, args)
        heapq.heappush(self.timers, (self.now + delay, self.order, handle))
        return handle

    def call_soon(self, call: Callable[..., Any], *args: Any) -> CountingHandle:
        """Sets a timer that is due at once."""
        return self.call_later(0.0, call, *args)

    def advance(self, seconds: float) -> None:
        """Advances the clock and fires due timers."""
        self.now += seconds
        while self.timers and self.timers[0][0] <= self.now:
            _, _, handle = heapq.heappop(self.timers)
            if not handle.cancelled:
                self.counts["timers_fired"] += 1
                handle.call(*handle.args)


class CountingTransport:
    """Records and counts writes. Its socket is real, because the pool checks whether it is readable."""

    def __init__(self, counts: Counter[str], kind: str) -> None:
        self.counts, self.kind = counts, kind
        self.written: list[bytes] = []
        self.pair = socket.socketpair()

    def write(self, data: bytes) -> None:
        """Records a write."""
        self.counts["writes"] += 1
        self.counts["bytes_written"] += len(data)
        self.written.append(data)

    def get_extra_info(self, name: str) -> socket.socket:
        """The socket, whatever is asked for."""
        return self.pair[0]

    def set_write_buffer_limits(self, high: int) -> None:
        """Does nothing."""

    def is_closing(self) -> bool:
        """Never closing."""
        return False

    def pause_reading(self) -> None:
        """Does nothing."""

    def resume_reading(self) -> None:
        """Does nothing."""

    def get_write_buffer_size(self) -> int:
        """The buffer is always empty."""
        return 0

    def abort(self) -> None:
        """Does nothing."""

    close = write_eof = abort


def backend_response(size: int) -> bytes:
    """A backend's response with a body of so many bytes."""
    return b"HTTP/1.1 200 OK\r\nBilled-Units: 2\r\nContent-Length: %d\r\n\r\n%b" % (size, b"a" * size)


class Harness:
    """A gateway's parts on the counting loop, with a number of persistent connections to each backend."""

    def __init__(self, connections: int = CONNECTIONS_PER_BACKEND) -> None:
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
        served = (Backend(f"b{n}", "z", "k", 0, Status.SERVING, 1.0, None) for n in range(BACKEND_COUNT))
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
        self.client_transport = self.transport("client")
        self.client.connection_made(self.client_transport)  # type: ignore[arg-type]
        self.number = 0
        self.loop.advance(1.0)

    def transport(self, kind: str) -> CountingTransport:
        """Creates a transport, which `close` closes."""
        transport = CountingTransport(self.loop.counts, kind)
        self.transports.append(transport)
        return transport

    def request(self, klass: str, body: int) -> bytes:
        """The bytes of a new request of a class, with a body of so many bytes unless it is a lookup."""
        self.number += 1
        is_lookup = klass == "lookup"
        extra_headers = "" if is_lookup else f"Content-Length: {body}\r\n"
        if klass == "report":
            extra_headers += f"Idempotency-Key: k{self.number:031x}\r\n"
        head = REQUEST_HEAD.format(
            method="GET" if is_lookup else "POST",
            customer=0xC000 + self.number % 100,
            number=self.number,
            klass=klass,
            more=extra_headers,
        )
        return head.encode() + (b"" if is_lookup else b"b" * body)

    def exchange(self, pieces: list[bytes], response: bytes) -> None:
        """Feeds in a request and a backend's response, checks the answer, advances the clock by a step."""
        for piece in pieces:
            self.client.data_received(piece)
        for connection, transport in self.backends:
            if transport.written:
                transport.written.clear()
                connection.data_received(response)
                break
        else:
            raise AssertionError("the request was not sent to a backend")
        assert len(self.client_transport.written) == 1, "the request was not answered"
        self.client_transport.written.clear()
        self.loop.advance(STEP_S)

    def close(self) -> None:
        """Closes all sockets."""
        for transport in self.transports:
            for end in transport.pair:
                end.close()
