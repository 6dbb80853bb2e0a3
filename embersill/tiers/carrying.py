"""A planner relays forwarders' connections to other planners: it copies bytes both ways and adds none.

A planner relays only for an authenticated forwarder, only to a planner of the operator file, and only one
connection of each forwarder to each planner. The two ends of a relayed connection authenticate each other as
usual: the relay interprets nothing, and any corruption by it ends the connection. A planner never asks to be
relayed, so no connection passes through more than one relay.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from embersill.tiers.frames import DIAL_TIMEOUT_S
from embersill.tiers.wire import MAX_HANDSHAKE_BYTES

RELAY_BUFFER_BYTES = 1 << 20  # per direction, before backpressure on the sender


class RelayedConnection(asyncio.Protocol):
    """The onward connection. What it receives is written to `back`; it pauses while `back` is full."""

    def __init__(self, back: asyncio.Transport, over: Callable[[RelayedConnection], None]) -> None:
        self.back, self.over = back, over
        self.transport: asyncio.Transport | None = None
        self.early: bytearray | None = bytearray()  # received before the forwarder has its welcome

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits the buffers of both connections."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=RELAY_BUFFER_BYTES)
        self.back.set_write_buffer_limits(high=RELAY_BUFFER_BYTES)

    def start(self) -> None:
        """The forwarder has its welcome: passes everything on from now on."""
        early, self.early = self.early, None
        if early:
            self.back.write(bytes(early))

    def data_received(self, data: bytes) -> None:
        """Passes bytes of the planner on, or keeps them until `start`."""
        if self.early is not None:
            self.early += data
            if len(self.early) > MAX_HANDSHAKE_BYTES:
                self.close()
        elif not self.back.is_closing():
            self.back.write(data)

    def send_onward(self, data: bytes) -> None:
        """Passes bytes of the forwarder on to the planner."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def pause_writing(self) -> None:
        """Stops reading from the forwarder while the planner's buffer is full."""
        if not self.back.is_closing():
            self.back.pause_reading()

    def resume_writing(self) -> None:
        """Reads from the forwarder again."""
        if not self.back.is_closing():
            self.back.resume_reading()

    def set_backpressure(self, full: bool) -> None:
        """Pauses or resumes reading from the planner, as the forwarder's buffer fills or drains."""
        if self.transport is not None and not self.transport.is_closing():
            (self.transport.pause_reading if full else self.transport.resume_reading)()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the forwarder's connection, too."""
        self.transport = None
        self.back.close()
        self.over(self)

    def close(self) -> None:
        """Aborts the onward connection."""
        if self.transport is not None:
            self.transport.abort()


class ConnectionRelay:
    """All connections that one planner relays."""

    def __init__(self, others: dict[str, tuple[str, int]]) -> None:
        """`others`: the addresses of the planners to which it relays."""
        self.others = others
        self.carried: dict[tuple[str, str], RelayedConnection] = {}  # by forwarder and planner

    async def begin(self, forwarder: str, to: str, back: asyncio.Transport) -> RelayedConnection | None:
        """Dials the planner; None if it can't be reached. Closes an older connection of the same pair."""
        key = forwarder, to
        older = self.carried.pop(key, None)
        if older is not None:
            older.close()

        def over(end: RelayedConnection) -> None:
            if self.carried.get(key) is end:
                del self.carried[key]

        made = RelayedConnection(back, over)
        self.carried[key] = made
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: made, *self.others[to])
        except (OSError, TimeoutError):
            over(made)
            return None
        if self.carried.get(key) is not made or back.is_closing():
            made.close()
            return None
        return made

    def close(self) -> None:
        """Ends all relayed connections."""
        for made in list(self.carried.values()):
            made.close()
