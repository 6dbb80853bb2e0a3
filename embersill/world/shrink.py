"""Shrinks a failing schedule to a few steps that still fail for the same reason. No I/O.

It is delta debugging (Zeller and Hildebrandt 2002, ddmin) over explicit steps: the result is a subset of the
original steps, so that each can be read as it was played. Hypothesis shrinks the random draws from which an
example is built, which is better for small examples; here, removing one step would shift all later draws, and
thousands of steps are many times more than it is designed for.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from embersill.world.schedules import Schedule, Step

Item = TypeVar("Item")


def minimize(
    items: list[Item], still_fails: Callable[[list[Item]], bool], may_continue: Callable[[], bool]
) -> list[Item]:
    """Removes ever smaller runs of items for which `still_fails` holds without them, down to single items.

    `may_continue`: False once the limit of tests is reached.
    """
    size = max(1, len(items) // 2)
    while may_continue():
        removed, at = False, 0
        while at < len(items):
            fewer = items[:at] + items[at + size :]
            if still_fails(fewer):
                items, removed = fewer, True
            else:
                at += size
        if size == 1 and not removed:
            break
        size = max(1, size // 2)
    return items


class Shrinker:
    """Shrinks schedules; `fails` plays one and returns whether it fails for the same reason.

    It is called at most `max_runs` times.
    """

    def __init__(self, fails: Callable[[Schedule], bool], max_runs: int = 2000) -> None:
        self.fails, self.max_runs = fails, max_runs
        self.runs = 0

    def still_fails(self, schedule: Schedule) -> bool:
        """Plays a schedule; False without a play once `max_runs` is reached."""
        if self.runs >= self.max_runs:
            return False
        self.runs += 1
        return self.fails(schedule)

    def shrink(self, schedule: Schedule, failed_at: float | None = None) -> Schedule:
        """Returns the smallest failing schedule found; ValueError if the given one does not fail.

        `failed_at`: the time of the failure; removing all later steps is tried first.
        """
        if not self.still_fails(schedule):
            raise ValueError("the schedule does not fail for the expected reason")
        if failed_at is not None:
            early = schedule.with_steps([step for step in schedule.steps if step.at <= failed_at])
            if len(early.steps) < len(schedule.steps) and self.still_fails(early):
                schedule = early
        schedule = self.remove_steps(schedule)
        return self.round_times(schedule)

    def remove_steps(self, schedule: Schedule) -> Schedule:
        """Removes ever smaller runs of steps, until no single one can be removed."""
        steps = minimize(
            schedule.steps,
            lambda fewer: self.still_fails(schedule.with_steps(fewer)),
            lambda: self.runs < self.max_runs,
        )
        return schedule.with_steps(steps)

    def round_times(self, schedule: Schedule) -> Schedule:
        """Rounds times and durations where the schedule still fails: fewer digits are easier to read."""
        for index in range(len(schedule.steps)):
            for digits in (1, 2):
                step = schedule.steps[index]
                rounded: Step = msgspec.structs.replace(
                    step, at=round(step.at, digits), seconds=round(step.seconds, digits)
                )
                if rounded == step:
                    break
                steps = list(schedule.steps)
                steps[index] = rounded
                if self.still_fails(schedule.with_steps(steps)):
                    schedule = schedule.with_steps(steps)
                    break
        return schedule
