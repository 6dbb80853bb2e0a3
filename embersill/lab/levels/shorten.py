"""Shrinks failing schedules of the two levels and describes a run in at most one screen of text."""

from __future__ import annotations

from embersill.lab.levels.world import World, play
from embersill.lab.shortening import breaks_in, end_of, shrinker_of
from embersill.world.oracles import Broken
from embersill.world.records import (
    AttemptFinished,
    BackendNotified,
    CreditsBelieved,
    Fault,
    MessageLogged,
    Record,
    RequestAnswered,
    RequestReceived,
    SharesHeld,
    Written,
)
from embersill.world.schedules import SavedSchedule, Schedule
from embersill.world.trace import Trace

MAX_STORY_LINES = 40
SHARE_MESSAGES = ("Lend", "Recall", "Returned", "Bequeath", "Leaving")


def breaks(schedule: Schedule) -> Broken | None:
    """Returns the violation that a schedule causes, if any."""
    return breaks_in(play, schedule)


def shorten(
    schedule: Schedule, broken: Broken, fence: str = "", most_runs: int = 2000
) -> tuple[SavedSchedule, int]:
    """Returns the shortest schedule found that violates the same rule, and the number of runs."""
    shrinker = shrinker_of(play, broken, most_runs)
    pinned = with_fixed_times(schedule)
    short = shrinker.shrink(pinned if shrinker.fails(pinned) else schedule, broken.at)
    return SavedSchedule(short, broken.rule, fence, story(short)), shrinker.runs


def with_fixed_times(schedule: Schedule) -> Schedule:
    """Returns the schedule with each aimed step at the time at which it was executed.

    Then the steps that caused its moment can be removed as well.
    """
    world = World(schedule)
    try:
        world.run()
    except Broken:
        pass
    steps = [
        world.pinned.get(index, step)
        for index, step in enumerate(schedule.steps)
        if not step.on or index in world.pinned
    ]
    return schedule.with_steps(sorted(steps, key=lambda step: step.at))


def story(schedule: Schedule) -> str:
    """Describes the run of a schedule, one line per event; only its last screen."""
    trace = Trace()
    world = World(schedule, trace=trace)
    end = end_of(world.run)
    lines: list[str] = []
    for record in reversed(trace.records):
        line = describe(record)
        if line and (not lines or lines[-1] != line):
            lines.append(line)
        if len(lines) >= MAX_STORY_LINES - 2:
            break
    return "\n".join([*reversed(lines), end])


def describe(record: Record) -> str:
    """Describes a record in one line; empty for records that a story omits."""
    if isinstance(record, Fault):
        duration = f" for {record.seconds:g} s" if record.seconds else ""
        text = f"{record.what} {record.who}{duration}"
    elif isinstance(record, MessageLogged):
        if record.kind not in SHARE_MESSAGES:
            return ""
        verb = "sends" if record.phase == "sent" else "delivered"
        text = f"{record.sender} {verb} {record.kind} to {record.receiver}"
    elif isinstance(record, RequestReceived):
        text = (
            f"request {record.request} ({record.klass}, {record.customer}, {record.units:g} units) "
            f"arrives at {record.front}"
        )
    elif isinstance(record, Written):
        text = (
            f"attempt {record.attempt} of request {record.request} reaches {record.backend}, "
            f"by {' and '.join(record.deciders)}"
        )
    elif isinstance(record, AttemptFinished):
        text = f"attempt {record.attempt} of request {record.request} ends: {record.outcome}"
    elif isinstance(record, RequestAnswered):
        text = f"request {record.request} is {record.how}"
    elif isinstance(record, BackendNotified) and not record.serving:
        text = f"{record.process} is notified that {record.backend} drains or is gone"
    elif isinstance(record, SharesHeld) and any(len(users) > 1 for _, users in record.users):
        text = f"shares of part {record.part}: " + "; ".join(
            f"{lender} to {' and '.join(users)}" for lender, users in record.users
        )
    elif isinstance(record, CreditsBelieved) and sum(units > 0 for _, units in record.beliefs) > 1:
        text = f"credit of {record.customer}: " + ", ".join(f"{n} {u:.1f}" for n, u in record.beliefs)
    else:
        return ""
    return f"{record.at:7.3f} s  {text}"
