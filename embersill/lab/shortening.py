"""Cutting a failing schedule down, the same in every world."""

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
    """The rule that a schedule breaks as it is played, if it breaks one."""
    try:
        play(schedule)
    except Broken as broken:
        return broken
    return None


def shrinker_of(play: Callable[[Schedule], Any], broken: Broken, most_runs: int) -> Shrinker:
    """One that keeps what breaks the same rule."""

    def fails(tried: Schedule) -> bool:
        found = breaks_in(play, tried)
        return found is not None and found.rule == broken.rule

    return Shrinker(fails, most_runs)


def end_of(run: Callable[[], Any]) -> str:
    """A run's last line in a story: the rule that it breaks, or that it breaks none."""
    try:
        run()
    except Broken as broken:
        return str(broken)
    return "no rule is broken"


def troubles_of(trace: Trace, end: str) -> str:
    """A run's troubles as they came, a line each, and its end."""
    lines = [
        f"{record.at:7.3f} s  {record.what} {record.who}".rstrip()
        + (f" for {record.seconds:g} s" if record.seconds else "")
        for record in trace.records
        if isinstance(record, Fault)
    ]
    return "\n".join([*lines, end])


class Shortening:
    """`breaks`, `shorten` and `story` of a world: a module with `World` and `play`."""

    def __init__(self, world: ModuleType) -> None:
        self.world = world

    def breaks(self, schedule: Schedule) -> Broken | None:
        """The rule that a schedule breaks, if it breaks one."""
        return breaks_in(self.world.play, schedule)

    def shorten(
        self, schedule: Schedule, broken: Broken, fence: str = "", most_runs: int = 200
    ) -> tuple[SavedSchedule, int]:
        """The shortest schedule found that breaks the same rule, with its story, and in how many runs."""
        shrinker = shrinker_of(self.world.play, broken, most_runs)
        short = shrinker.shrink(schedule, broken.at)
        return SavedSchedule(short, broken.rule, fence, self.story(short)), shrinker.runs

    def story(self, schedule: Schedule) -> str:
        """The troubles of a schedule as they came, and its end."""
        trace = Trace()
        world = self.world.World(schedule, trace=trace)
        return troubles_of(trace, end_of(world.run))
