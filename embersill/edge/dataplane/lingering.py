"""Cancelled attempts that a backend may still be working on after their connection was closed. No I/O.

Most backends drop a request when its connection closes, but some work on, and there is no way to know
which. So a cancelled attempt counts as in flight for as long as it would usually have taken, or until the
backend reports a load too low to include it. Backend selection uses that count: without it a backend that
works on would be sent one request after the other, each on a new connection.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from embersill.work import Server

TIMER_KEY_PREFIX = "w"
MAX_LINGERING = 10_000  # attempts; beyond it the oldest is no longer counted


class LingeringAttempts:
    """Cancelled attempts that still count as in flight at their backends."""

    def __init__(
        self, on_in_flight_change: Callable[[Server], None], set_timer: Callable[[float, str], None]
    ) -> None:
        """`on_in_flight_change`: called when a count changed; `set_timer`: seconds, timer key."""
        self.on_in_flight_change, self.set_timer = on_in_flight_change, set_timer
        self.serial = 0
        self.serials_by_server: dict[Server, deque[int]] = {}  # oldest first
        self.servers: dict[int, Server] = {}  # by serial, oldest first

    def add(self, server: Server, seconds: float) -> None:
        """Counts an attempt as in flight at this backend for that many more seconds."""
        if len(self.servers) >= MAX_LINGERING:
            self.end(next(iter(self.servers)))
        self.serial += 1
        self.servers[self.serial] = server
        self.serials_by_server.setdefault(server, deque()).append(self.serial)
        server.flight += 1
        self.on_in_flight_change(server)
        self.set_timer(seconds, f"{TIMER_KEY_PREFIX}{self.serial}")

    def end(self, serial: int) -> None:
        """Stops counting an attempt; does nothing if it is not counted any more."""
        server = self.servers.pop(serial, None)
        if server is None:
            return
        serials = self.serials_by_server[server]
        serials.remove(serial)
        if not serials:
            del self.serials_by_server[server]
        server.flight -= 1
        self.on_in_flight_change(server)

    def end_freed(self, server: Server, work: float) -> None:
        """Stops counting the attempts for which there is no room in the load that a backend reports."""
        serials = self.serials_by_server.get(server)
        if serials is None:
            return
        known = server.flight - len(serials) + max(server.others, 0)
        for _ in range(len(serials) - int(max(work - known, 0))):
            self.end(serials[0])
