"""Deadlines that mostly don't come due: one timer of the loop for all of them, and cancelling costs nothing.

Every request has two (its guard, its attempt's time-out), set and cancelled within milliseconds. As timers
of the loop each is an object of the library, put into its heap and taken out again. Here they go into a slot
of a few milliseconds and stay there, emptied, until the slot is due: the loop is armed once for each slot.
(Varghese and Lauck, 1987, "Hashed and hierarchical timing wheels".)
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from typing import Any

SLOT = 0.005  # seconds: a deadline comes due so much later at most, and never early


class Deadline:
    """One that is set. Cancelled, it lets go of what it was for."""

    __slots__ = ("argument", "call")

    def __init__(self, call: Callable[[Any], None], argument: Any) -> None:
        self.call: Callable[[Any], None] | None = call
        self.argument = argument

    def cancel(self) -> None:
        self.call = self.argument = None


class Deadlines:
    """All deadlines of one loop, by the gateway's clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self.loop, self.clock = loop, clock
        self.slots: dict[int, list[Deadline]] = {}
        self.order: list[int] = []  # heap of the slots in use
        self.armed: asyncio.TimerHandle | None = None
        self.armed_for = 0

    def at(self, when: float, call: Callable[[Any], None], argument: Any) -> Deadline:
        """Calls back with the argument at `when`, by the clock, or up to a slot later."""
        slot = int(when / SLOT) + 1
        deadline = Deadline(call, argument)
        there = self.slots.get(slot)
        if there is not None:
            there.append(deadline)
            return deadline
        self.slots[slot] = [deadline]
        heapq.heappush(self.order, slot)
        if self.armed is None or slot < self.armed_for:
            self.arm(slot)
        return deadline

    def arm(self, slot: int) -> None:
        if self.armed is not None:
            self.armed.cancel()
        self.armed_for = slot
        self.armed = self.loop.call_later(max(slot * SLOT - self.clock(), 0.0), self.due)

    def due(self) -> None:
        self.armed = None
        now = self.clock()
        while self.order and self.order[0] * SLOT <= now:
            for deadline in self.slots.pop(heapq.heappop(self.order)):
                call, argument = deadline.call, deadline.argument
                if call is not None:
                    deadline.cancel()
                    call(argument)
        if self.order and (self.armed is None or self.order[0] < self.armed_for):
            self.arm(self.order[0])
