"""Cuts a failing schedule down to few steps that still fail for the same reason. No I/O.

Delta debugging (Zeller and Hildebrandt 2002, ddmin), over explicit steps: what is left is a subset of what
there was, so each step can be read as it was played. Hypothesis shrinks the draws from which an example is
made, which is better where examples are small; here one step less would shift all draws behind it, and
thousands of steps are many times what it is made for.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from embersill.world.schedules import Schedule, Step

Item = TypeVar("Item")


def leave_out(
    items: list[Item], holds: Callable[[list[Item]], bool], goes_on: Callable[[], bool]
) -> list[Item]:
    """Leaves out ever smaller runs of items while `holds` is true of the rest, until no single one can be.

    `goes_on`: false once enough was tried.
    """
    size = max(1, len(items) // 2)
    while goes_on():
        cut, at = False, 0
        while at < len(items):
            fewer = items[:at] + items[at + size :]
            if holds(fewer):
                items, cut = fewer, True
            else:
                at += size
        if size == 1 and not cut:
            break
        size = max(1, size // 2)
    return items


class Shrinker:
    """`fails` plays a schedule and tells whether it fails for the same reason. At most `most_runs` plays."""

    def __init__(self, fails: Callable[[Schedule], bool], most_runs: int = 2000) -> None:
        self.fails, self.most_runs = fails, most_runs
        self.runs = 0

    def holds(self, schedule: Schedule) -> bool:
        if self.runs >= self.most_runs:
            return False
        self.runs += 1
        return self.fails(schedule)

    def shrink(self, schedule: Schedule, failed_at: float | None = None) -> Schedule:
        """The smallest that was found; ValueError if the schedule does not fail at all.

        `failed_at`: when it failed; steps set for later are tried without first.
        """
        if not self.holds(schedule):
            raise ValueError("the schedule does not fail for that reason")
        if failed_at is not None:
            early = schedule.with_steps([step for step in schedule.steps if step.at <= failed_at])
            if len(early.steps) < len(schedule.steps) and self.holds(early):
                schedule = early
        schedule = self.without(schedule)
        return self.simpler(schedule)

    def without(self, schedule: Schedule) -> Schedule:
        """Leaves out ever smaller runs of steps, until no single one can be left out."""
        steps = leave_out(
            schedule.steps,
            lambda fewer: self.holds(schedule.with_steps(fewer)),
            lambda: self.runs < self.most_runs,
        )
        return schedule.with_steps(steps)

    def simpler(self, schedule: Schedule) -> Schedule:
        """Rounds what is left: a story with few digits is easier to read."""
        for place in range(len(schedule.steps)):
            for digits in (1, 2):
                step = schedule.steps[place]
                rounded: Step = msgspec.structs.replace(
                    step, at=round(step.at, digits), seconds=round(step.seconds, digits)
                )
                if rounded == step:
                    break
                steps = list(schedule.steps)
                steps[place] = rounded
                if self.holds(schedule.with_steps(steps)):
                    schedule = schedule.with_steps(steps)
                    break
        return schedule
