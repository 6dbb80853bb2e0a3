"""Shortening of failing schedules, common to all simulated worlds."""

from __future__ import annotations

from collections.abc import Callable
from types import ModuleType
from typing import Any

from embersill.world.oracles import Broken
from embersill.world.records import Fault
from embersill.world.schedules import SavedSchedule, Schedule
from embersill.world.shrink import Shrinker
from embersill.world.trace import Trace


def breaks_in(play: Callable[[Schedule], Any], schedule: Schedule) -> Broken | None:
    """Runs a schedule; the violation it ends with, or None."""
    try:
        play(schedule)
    except Broken as violation:
        return violation
    return None


def shrinker_of(play: Callable[[Schedule], Any], broken: Broken, most_runs: int) -> Shrinker:
    """A shrinker that keeps schedules which violate the same rule."""

    def fails(candidate: Schedule) -> bool:
        violation = breaks_in(play, candidate)
        return violation is not None and violation.rule == broken.rule

    return Shrinker(fails, most_runs)


def end_of(run: Callable[[], Any]) -> str:
    """The last line of a story: the violated rule, or that no rule was violated."""
    try:
        run()
    except Broken as violation:
        return str(violation)
    return "no rule is broken"


def troubles_of(trace: Trace, end: str) -> str:
    """The faults of a run in order, one a line, and its end."""
    lines = [
        f"{record.at:7.3f} s  {record.what} {record.who}".rstrip()
        + (f" for {record.seconds:g} s" if record.seconds else "")
        for record in trace.records
        if isinstance(record, Fault)
    ]
    return "\n".join([*lines, end])


class Shortening:
    """The functions `breaks`, `shorten` and `story` for a world, a module with `World` and `play`."""

    def __init__(self, world: ModuleType) -> None:
        self.world = world

    def breaks(self, schedule: Schedule) -> Broken | None:
        """The violation that a schedule ends with, or None."""
        return breaks_in(self.world.play, schedule)

    def shorten(
        self, schedule: Schedule, broken: Broken, fence: str = "", most_runs: int = 200
    ) -> tuple[SavedSchedule, int]:
        """The shortest schedule found that violates the same rule, with its story, and the number of runs."""
        shrinker = shrinker_of(self.world.play, broken, most_runs)
        short = shrinker.shrink(schedule, broken.at)
        return SavedSchedule(short, broken.rule, fence, self.story(short)), shrinker.runs

    def story(self, schedule: Schedule) -> str:
        """The faults of a schedule in order, and its end."""
        trace = Trace()
        world = self.world.World(schedule, trace=trace)
        return troubles_of(trace, end_of(world.run))
