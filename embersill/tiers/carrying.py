"""A planner carries forwarders' connections to other planners: bytes both ways, and no word of its own.

Only a forwarder that has proved itself is carried, only to a planner of the operator file, and only one
connection of each forwarder to each planner. The two ends of what is carried prove themselves to each other
as ever: who carries reads nothing, and what it could spoil ends the connection. A planner never asks to be
carried, so nothing goes over more than one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from embersill.tiers.frames import DIAL_WITHIN
from embersill.tiers.wire import MAX_HANDSHAKE_BYTES

MOST_WAITING = 1 << 20  # bytes of one direction that wait here before the sender is made to wait


class Carried(asyncio.Protocol):
    """The connection onwards. `back` takes what comes over it, which waits while `back` can't take more."""

    def __init__(self, back: asyncio.Transport, over: Callable[[Carried], None]) -> None:
        self.back, self.over = back, over
        self.transport: asyncio.Transport | None = None
        self.early: bytearray | None = bytearray()  # what came before the forwarder has its welcome

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=MOST_WAITING)
        self.back.set_write_buffer_limits(high=MOST_WAITING)

    def start(self) -> None:
        """The forwarder has its welcome: all that comes from now on is for it."""
        early, self.early = self.early, None
        if early:
            self.back.write(bytes(early))

    def data_received(self, data: bytes) -> None:
        if self.early is not None:
            self.early += data
            if len(self.early) > MAX_HANDSHAKE_BYTES:
                self.close()
        elif not self.back.is_closing():
            self.back.write(data)

    def forth(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def pause_writing(self) -> None:
        if not self.back.is_closing():
            self.back.pause_reading()

    def resume_writing(self) -> None:
        if not self.back.is_closing():
            self.back.resume_reading()

    def back_is_full(self, full: bool) -> None:
        if self.transport is not None and not self.transport.is_closing():
            (self.transport.pause_reading if full else self.transport.resume_reading)()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.back.close()
        self.over(self)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Carrier:
    """All that one planner carries."""

    def __init__(self, others: dict[str, tuple[str, int]]) -> None:
        """`others`: where each planner is to which forwarders may be carried."""
        self.others = others
        self.carried: dict[tuple[str, str], Carried] = {}  # by forwarder and planner

    async def begin(self, forwarder: str, to: str, back: asyncio.Transport) -> Carried | None:
        """Dials onwards; None where nobody is reached. A connection that was carried before ends."""
        key = forwarder, to
        older = self.carried.pop(key, None)
        if older is not None:
            older.close()

        def over(end: Carried) -> None:
            if self.carried.get(key) is end:
                del self.carried[key]

        made = Carried(back, over)
        self.carried[key] = made
        try:
            async with asyncio.timeout(DIAL_WITHIN):
                await asyncio.get_running_loop().create_connection(lambda: made, *self.others[to])
        except (OSError, TimeoutError):
            over(made)
            return None
        if self.carried.get(key) is not made or back.is_closing():
            made.close()
            return None
        return made

    def close(self) -> None:
        for made in list(self.carried.values()):
            made.close()
