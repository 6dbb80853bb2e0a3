"""Cuts a failing schedule of the two levels down, and tells it as a story of a screen or less."""

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

MOST_LINES = 40
MOVES = ("Lend", "Recall", "Returned", "Bequeath", "Leaving")


def breaks(schedule: Schedule) -> Broken | None:
    """The rule that a schedule breaks, if it breaks one."""
    return breaks_in(play, schedule)


def shorten(
    schedule: Schedule, broken: Broken, fence: str = "", most_runs: int = 2000
) -> tuple[SavedSchedule, int]:
    """The shortest schedule found that breaks the same rule, with its story, and in how many runs."""
    shrinker = shrinker_of(play, broken, most_runs)
    pinned = with_pins(schedule)
    short = shrinker.shrink(pinned if shrinker.fails(pinned) else schedule, broken.at)
    return SavedSchedule(short, broken.rule, fence, story(short)), shrinker.runs


def with_pins(schedule: Schedule) -> Schedule:
    """The same with each aimed step at the time at which it came: its moment may then go as well."""
    world = World(schedule)
    try:
        world.run()
    except Broken:
        pass
    steps = [
        world.pinned.get(place, step)
        for place, step in enumerate(schedule.steps)
        if not step.on or place in world.pinned
    ]
    return schedule.with_steps(sorted(steps, key=lambda step: step.at))


def story(schedule: Schedule) -> str:
    """What happens in a schedule, a line an event: its last screen."""
    trace = Trace()
    world = World(schedule, trace=trace)
    end = end_of(world.run)
    lines: list[str] = []
    for record in reversed(trace.records):
        line = told(record)
        if line and (not lines or lines[-1] != line):
            lines.append(line)
        if len(lines) >= MOST_LINES - 2:
            break
    return "\n".join([*reversed(lines), end])


def told(record: Record) -> str:
    """A record as people would say it; empty for what a story does without."""
    if isinstance(record, Fault):
        took = f" for {record.seconds:g} s" if record.seconds else ""
        text = f"{record.what} {record.who}{took}"
    elif isinstance(record, MessageLogged):
        if record.kind not in MOVES:
            return ""
        verb = "says" if record.phase == "sent" else "has said"
        text = f"{record.sender} {verb} {record.kind} to {record.receiver}"
    elif isinstance(record, RequestReceived):
        text = (
            f"request {record.request} ({record.klass}, {record.customer}, {record.units:g} units) "
            f"comes to {record.front}"
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
        text = f"{record.process} hears that {record.backend} drains or is gone"
    elif isinstance(record, SharesHeld) and any(len(users) > 1 for _, users in record.users):
        text = f"shares of part {record.part}: " + "; ".join(
            f"{lender} to {' and '.join(users)}" for lender, users in record.users
        )
    elif isinstance(record, CreditsBelieved) and sum(units > 0 for _, units in record.beliefs) > 1:
        text = f"credit of {record.customer}: " + ", ".join(f"{n} {u:.1f}" for n, u in record.beliefs)
    else:
        return ""
    return f"{record.at:7.3f} s  {text}"
