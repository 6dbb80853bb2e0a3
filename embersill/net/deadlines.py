"""A timing wheel for deadlines that are mostly cancelled before they expire.

Every request sets two deadlines (its guard and its attempt's time-out) and cancels them within milliseconds.
As event loop timers, each would be a library object that is pushed onto the loop's heap and removed again.
Here a deadline goes into a slot of a few milliseconds. A cancelled deadline stays in its slot, emptied, until
the slot is due, so that cancelling costs nothing and the loop has only one timer per slot.
(Varghese and Lauck, 1987, "Hashed and hierarchical timing wheels".)
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from typing import Any

SLOT_S = 0.005  # a deadline expires at most this much late, and never early


class Deadline:
    """One pending deadline. Cancelling it releases its callback and argument."""

    __slots__ = ("argument", "callback")

    def __init__(self, callback: Callable[[Any], None], argument: Any) -> None:
        self.callback: Callable[[Any], None] | None = callback
        self.argument = argument

    def cancel(self) -> None:
        """Keeps the callback from being called; harmless on a deadline that has expired."""
        self.callback = self.argument = None


class Deadlines:
    """All deadlines of one event loop, measured by the gateway's clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self.loop, self.clock = loop, clock
        self.slots: dict[int, list[Deadline]] = {}
        self.slot_heap: list[int] = []  # the slots in use, earliest first
        self.timer: asyncio.TimerHandle | None = None
        self.timer_slot = 0

    def at(self, when: float, callback: Callable[[Any], None], argument: Any) -> Deadline:
        """Calls `callback(argument)` when the clock reaches `when`, or up to one slot later."""
        slot = int(when / SLOT_S) + 1
        deadline = Deadline(callback, argument)
        existing = self.slots.get(slot)
        if existing is not None:
            existing.append(deadline)
            return deadline
        self.slots[slot] = [deadline]
        heapq.heappush(self.slot_heap, slot)
        if self.timer is None or slot < self.timer_slot:
            self.arm(slot)
        return deadline

    def arm(self, slot: int) -> None:
        """Sets the loop's one timer to the end of this slot."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer_slot = slot
        self.timer = self.loop.call_later(max(slot * SLOT_S - self.clock(), 0.0), self.expire)

    def expire(self) -> None:
        """Calls the callbacks of all slots that are due and arms the timer for the next slot."""
        self.timer = None
        now = self.clock()
        while self.slot_heap and self.slot_heap[0] * SLOT_S <= now:
            for deadline in self.slots.pop(heapq.heappop(self.slot_heap)):
                callback, argument = deadline.callback, deadline.argument
                if callback is not None:
                    deadline.cancel()
                    callback(argument)
        if self.slot_heap and (self.timer is None or self.slot_heap[0] < self.timer_slot):
            self.arm(self.slot_heap[0])
