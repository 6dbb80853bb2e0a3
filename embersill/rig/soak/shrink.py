"""Shrinks a schedule that breaks a rule to a smaller one that still breaks it. No I/O of its own."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from embersill.rig.soak.schedule import Schedule
from embersill.world.shrink import minimize

MAX_RUNS = 16


def shrink(
    schedule: Schedule, still_breaks: Callable[[Schedule], bool], max_runs: int = MAX_RUNS
) -> Schedule:
    """The smallest schedule found with at most `max_runs` runs: faults are removed first, then clients."""
    runs = 0

    def may_continue() -> bool:
        return runs < max_runs

    def breaks(smaller: Schedule) -> bool:
        nonlocal runs
        if not may_continue():
            return False
        runs += 1
        return still_breaks(smaller)

    troubles = minimize(
        list(schedule.troubles),
        lambda subset: breaks(msgspec.structs.replace(schedule, troubles=tuple(subset))),
        may_continue,
    )
    reduced = msgspec.structs.replace(schedule, troubles=tuple(troubles))
    clients = minimize(
        sorted({action.client for action in reduced.actions}),
        lambda subset: breaks(reduced.with_clients(subset)),
        may_continue,
    )
    return reduced.with_clients(clients)
