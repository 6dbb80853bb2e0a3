"""Whether something that was asked for may have been done: what an answer may promise."""

from __future__ import annotations

from enum import Enum

import msgspec


class Ran(Enum):
    """How far it came."""

    NO = "no"  # and never will: it may be asked for again
    YES = "yes"
    MAYBE = "maybe"  # nothing may be promised


class Verdict(msgspec.Struct, frozen=True):
    """How a call of an operator or a backend ended: the answer's status and body, and what it promises."""

    status: int
    ran: Ran
    body: dict[str, object] = {}


def refused(status: int, why: str) -> Verdict:
    """Not done, and never will be."""
    return Verdict(status, Ran.NO, {"error_message": why})


def unknown(why: str) -> Verdict:
    """It may be done or not: a 500 makes no promise and has the caller ask elsewhere."""
    return Verdict(500, Ran.MAYBE, {"error_message": why})


def done(body: dict[str, object] | None = None) -> Verdict:
    """Done."""
    return Verdict(200, Ran.YES, body or {})
