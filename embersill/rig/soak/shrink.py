"""Cuts a schedule down that breaks a rule, as long as what is left breaks it too. No I/O of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import msgspec

from embersill.rig.soak.schedule import Schedule

MOST_PLAYS = 16

Item = TypeVar("Item")
StillBreaks = Callable[[Schedule], Awaitable[bool]]


async def shrink(schedule: Schedule, still_breaks: StillBreaks, most_plays: int = MOST_PLAYS) -> Schedule:
    """The smallest schedule found with so many plays: first troubles are left out, then clients."""
    plays = 0

    async def breaks(smaller: Schedule) -> bool:
        nonlocal plays
        plays += 1
        return plays <= most_plays and await still_breaks(smaller)

    kept = schedule
    for troubles in parts_left_out(schedule.troubles):
        smaller = msgspec.structs.replace(kept, troubles=tuple(t for t in kept.troubles if t in troubles))
        if smaller.troubles != kept.troubles and await breaks(smaller):
            kept = smaller
    clients = sorted({action.client for action in kept.actions})
    for some in parts_left_out(clients):
        smaller = msgspec.structs.replace(kept, actions=tuple(a for a in kept.actions if a.client in some))
        if smaller.actions != kept.actions and await breaks(smaller):
            kept = smaller
    return kept


def parts_left_out(items: Sequence[Item]) -> list[list[Item]]:
    """What is left of items without each half, then without each quarter, and without each eighth."""
    found = []
    for pieces in (2, 4, 8):
        size = max(len(items) // pieces, 1)
        for first in range(0, len(items), size):
            found.append([*items[:first], *items[first + size :]])
    return found
