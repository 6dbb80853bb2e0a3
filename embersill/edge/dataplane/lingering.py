"""Slots of backends that may work on after the connection of an attempt was closed. No I/O.

Most backends drop a request when its connection closes, some work on. Which of them does is not told, so an
attempt that was broken off counts as out for as long as it would usually have taken, or until its backend
tells a load in which it has no room. What is sent there meanwhile goes by that: without it a backend that
works on would be sent one request after the other, each on a new connection.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from embersill.work import Server

TIMER = "w"  # begins the keys of the timers
MOST = 10_000  # attempts that are kept in mind; past it the oldest counts no more


class LingeringAttempts:
    """Attempts that were broken off and whose backends may still be at work on them."""

    def __init__(self, on_flight: Callable[[Server], None], set_timer: Callable[[float, str], None]) -> None:
        """`on_flight`: hears of a backend whose count has changed; `set_timer`: seconds, the timer's key."""
        self.on_flight, self.set_timer = on_flight, set_timer
        self.serial = 0
        self.by_server: dict[Server, deque[int]] = {}  # serials of those at a backend, the oldest first
        self.servers: dict[int, Server] = {}  # by serial, the oldest first

    def add(self, server: Server, seconds: float) -> None:
        """Counts an attempt as out at this backend for so many seconds more."""
        if len(self.servers) >= MOST:
            self.end(next(iter(self.servers)))
        self.serial += 1
        self.servers[self.serial] = server
        self.by_server.setdefault(server, deque()).append(self.serial)
        server.flight += 1
        self.on_flight(server)
        self.set_timer(seconds, f"{TIMER}{self.serial}")

    def end(self, serial: int) -> None:
        """One of them has ended, as far as can be told; nothing if it had before."""
        server = self.servers.pop(serial, None)
        if server is None:
            return
        there = self.by_server[server]
        there.remove(serial)
        if not there:
            del self.by_server[server]
        server.flight -= 1
        self.on_flight(server)

    def load_told(self, server: Server, work: float) -> None:
        """A backend tells how many requests it has; those beyond that number have ended there."""
        there = self.by_server.get(server)
        if there is None:
            return
        known = server.flight - len(there) + max(server.others, 0)
        for _ in range(len(there) - int(max(work - known, 0))):
            self.end(there[0])
