"""Outcomes of calls, each with whether the request may have been carried out."""

from __future__ import annotations

from enum import Enum

import msgspec


class Execution(Enum):
    """Whether the request was carried out."""

    NO = "no"  # and it never will be: the caller may safely retry
    YES = "yes"
    MAYBE = "maybe"  # not known: a retry may carry it out twice


class Verdict(msgspec.Struct, frozen=True):
    """How a call of an operator or a backend ended: HTTP status and body, and whether it was executed."""

    status: int
    ran: Execution
    body: dict[str, object] = {}


def refused(status: int, reason: str) -> Verdict:
    """The request was not carried out and never will be."""
    return Verdict(status, Execution.NO, {"error_message": reason})


def unknown(reason: str) -> Verdict:
    """The request may or may not have been carried out: a 500 promises neither; callers try elsewhere."""
    return Verdict(500, Execution.MAYBE, {"error_message": reason})


def done(body: dict[str, object] | None = None) -> Verdict:
    """The request was carried out."""
    return Verdict(200, Execution.YES, body or {})
