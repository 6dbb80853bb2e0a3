"""Schedules: the actions and faults of a simulation run, as data. No I/O.

A schedule is generated from a seed, shrunk from one that failed, or read from a file. A simulation that plays
it draws only small delays at random, so that the remaining steps have the same effect after some have been
removed, which shrinking needs.

A step is executed at a time, or it is aimed: from `at` on it waits for the `nth` occurrence of the moment
`on`, and is executed right then on the participants of that moment (`who` "@receiver" is the receiver of a
message).
"""

from __future__ import annotations

from typing import Any

import msgspec


class Step(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One action or fault. The simulation that plays it defines the values of `what` and `args`."""

    what: str
    at: float = 0.0  # seconds from the start
    on: str = ""  # the moment at which it is executed, if it is aimed
    nth: int = 1
    who: str = ""
    to: str = ""
    seconds: float = 0.0
    args: dict[str, Any] = {}

    def describe(self) -> str:
        """Returns the step as one line of text."""
        when = f"{self.at:7.3f} s  " if not self.on else f"{self.at:7.3f} s, at {self.on} (no. {self.nth}): "
        names = " ".join(name for name in (self.who, self.to) if name)
        duration = f" for {self.seconds:.3f} s" if self.seconds else ""
        extra = "".join(f" {key}={value}" for key, value in self.args.items())
        return f"{when}{self.what} {names}{duration}{extra}"


class Schedule(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Steps and the parameters of a run (`shape`), whose keys are defined by the simulation that plays it."""

    seed: int
    shape: dict[str, Any] = {}
    steps: list[Step] = []

    def with_steps(self, steps: list[Step]) -> Schedule:
        """Returns a copy with other steps."""
        return msgspec.structs.replace(self, steps=steps)


class SavedSchedule(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Content of a schedule file: a schedule, the rule that it violates, a description of the run (`story`).

    `fence`: name of the fence that had to be removed for the violation, if any.
    """

    schedule: Schedule
    rule: str = ""
    fence: str = ""
    story: str = ""


def encode_saved(saved: SavedSchedule) -> bytes:
    """Returns the content of a schedule file: indented JSON."""
    return msgspec.json.format(msgspec.json.encode(saved), indent=1) + b"\n"


def decode_saved(data: bytes) -> SavedSchedule:
    """Parses the content of a schedule file; msgspec.DecodeError or ValidationError if it is invalid."""
    return msgspec.json.decode(data, type=SavedSchedule)
