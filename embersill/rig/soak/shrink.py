"""Cuts a schedule down that breaks a rule, as long as what is left breaks it too. No I/O of its own."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from embersill.rig.soak.schedule import Schedule
from embersill.world.shrink import minimize

MOST_PLAYS = 16


def shrink(
    schedule: Schedule, still_breaks: Callable[[Schedule], bool], most_plays: int = MOST_PLAYS
) -> Schedule:
    """The smallest schedule found with so many plays: first troubles are left out, then clients."""
    plays = 0

    def goes_on() -> bool:
        return plays < most_plays

    def breaks(smaller: Schedule) -> bool:
        nonlocal plays
        if not goes_on():
            return False
        plays += 1
        return still_breaks(smaller)

    troubles = minimize(
        list(schedule.troubles),
        lambda some: breaks(msgspec.structs.replace(schedule, troubles=tuple(some))),
        goes_on,
    )
    kept = msgspec.structs.replace(schedule, troubles=tuple(troubles))
    clients = minimize(
        sorted({action.client for action in kept.actions}),
        lambda some: breaks(kept.with_clients(some)),
        goes_on,
    )
    return kept.with_clients(clients)
