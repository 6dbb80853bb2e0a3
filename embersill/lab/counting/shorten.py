"""Cuts a failing schedule of the counters down, and tells it as a story."""

from __future__ import annotations

from embersill.lab.counting.world import World, play
from embersill.lab.shortening import breaks_in, end_of, shrinker_of, troubles_of
from embersill.world.oracles import Broken
from embersill.world.schedules import Kept, Schedule
from embersill.world.trace import Trace


def breaks(schedule: Schedule) -> Broken | None:
    """The rule that a schedule breaks, if it breaks one."""
    return breaks_in(play, schedule)


def shorten(schedule: Schedule, broken: Broken, fence: str = "", most_runs: int = 200) -> tuple[Kept, int]:
    """The shortest schedule found that breaks the same rule, with its story, and in how many runs."""
    shrinker = shrinker_of(play, broken, most_runs)
    short = shrinker.shrink(schedule, broken.at)
    return Kept(short, broken.rule, fence, story(short)), shrinker.runs


def story(schedule: Schedule) -> str:
    """The troubles of a schedule as they came, and its end."""
    trace = Trace()
    world = World(schedule, trace=trace)
    return troubles_of(trace, end_of(world.run))
