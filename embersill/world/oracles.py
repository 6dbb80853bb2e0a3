"""Test oracles: one small checker per rule, over a trace and independent of the code under test. No I/O.

Each checker takes records one by one and raises Broken with the rule's name; `Rules` combines them. They run
on the trace of a simulation while it progresses, or on records of the clients and backends of real processes.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from embersill.world.records import (
    AttemptFinished,
    BackendNotified,
    BackendStarted,
    CreditsBelieved,
    Fault,
    Record,
    RequestAnswered,
    RequestDropped,
    RequestReceived,
    SharesHeld,
    Written,
)

TIME_TOLERANCE_S = 1e-9


class Broken(Exception):
    """A rule was violated: its name (`rule`), the time (`at`) and a description (`text`)."""

    def __init__(self, rule: str, at: float, text: str) -> None:
        super().__init__(f"{rule}, at {at:.3f} s: {text}")
        self.rule, self.at, self.text = rule, at, text


@dataclass(frozen=True)
class ClassTerms:
    """When requests of a class may be repeated.

    `repeats` is "safe", "by key" or "once"; `memory`: seconds for which backends remember a key.
    """

    repeats: str
    memory: float = 0.0
    grouped: bool = True  # backends recognize a repeated key only within the group of the first attempt


@dataclass(frozen=True)
class Ceiling:
    """A token bucket: units per second, burst in units, and by how many units the level may be below zero."""

    rate: float
    depth: float
    slack: float


@dataclass(frozen=True)
class RuleTerms:
    """Parameters of all rules."""

    classes: dict[str, ClassTerms]
    ceilings: dict[str, Ceiling]  # by plan
    max_attempts: int = 5
    second_copies: bool = False
    drain_grace: float = 0.5
    late_by: float = 0.0  # seconds after a request's end within which an answer is accepted
    cold_from: float = 0.19  # fraction of its capacity that a backend has at its start
    warm_within: float = 16.0  # seconds
    fall_multiple: float = 3.0  # multiple of its current capacity that overloads a backend
    overload_for: float = 3.0  # seconds of such load


class OneAnswer:
    """No request is lost: each gets exactly one final answer, in time."""

    def __init__(self, terms: RuleTerms) -> None:
        self.terms = terms
        self.open: dict[int, RequestReceived] = {}
        self.answered: set[int] = set()
        self.paused_until: dict[str, float] = {}  # by front

    def on_received(self, record: RequestReceived) -> None:
        """Opens a request."""
        self.open[record.request] = record

    def on_answered(self, record: RequestAnswered) -> None:
        """Checks that the request is open and not past its end."""
        request = self.open.pop(record.request, None)
        if request is None:
            what = "two answers" if record.request in self.answered else "an answer but was never received"
            raise Broken("one answer", record.at, f"request {record.request} has {what}")
        self.answered.add(record.request)
        # a paused front can't answer
        paused = self.paused_until.get(request.front, -math.inf) >= request.at
        if record.at > request.end + self.terms.late_by + TIME_TOLERANCE_S and not paused:
            raise Broken(
                "one answer",
                record.at,
                f"request {record.request} is answered {record.at - request.end:.3f} s late",
            )

    def on_dropped(self, record: RequestDropped) -> None:
        """Closes a request that needs no answer any more."""
        self.open.pop(record.request, None)

    def on_fault(self, record: Fault) -> None:
        """Notes pauses, which excuse late answers."""
        if record.what == "pause":
            until = record.at + record.seconds
            self.paused_until[record.who] = max(self.paused_until.get(record.who, until), until)

    def finish(self, at: float) -> None:
        """Checks that no request is open at the end of the trace."""
        for number in self.open:
            raise Broken("one answer", at, f"request {number} has no answer")


@dataclass
class RequestAttempts:
    """The attempts of one request so far."""

    klass: str
    # by number: time when written, group, whether it never ran (None while the outcome is unknown)
    attempts: dict[int, list[Any]] = field(default_factory=dict)


class NoSecondEffect:
    """No request takes effect twice, and none is refused that may have taken effect."""

    def __init__(self, terms: RuleTerms) -> None:
        self.terms = terms
        self.requests: dict[int, RequestAttempts] = {}

    def on_received(self, record: RequestReceived) -> None:
        """Notes the request's class."""
        self.requests[record.request] = RequestAttempts(record.klass)

    def on_written(self, record: Written) -> None:
        """Checks that this attempt can't cause a second effect."""
        request = self.requests.get(record.request)
        if request is None:
            raise Broken("no second effect", record.at, f"request {record.request} was never received")
        klass = self.terms.classes[request.klass]
        which = f"request {record.request} of {request.klass}"
        if record.attempt in request.attempts:
            raise Broken("no second effect", record.at, f"{which}: attempt {record.attempt} is sent twice")
        if len(request.attempts) >= self.terms.max_attempts:
            raise Broken("no second effect", record.at, f"{which} has too many attempts")
        if not self.terms.second_copies and any(attempt[2] is None for attempt in request.attempts.values()):
            raise Broken("no second effect", record.at, f"{which} has two attempts in flight")
        maybe_executed = [attempt for attempt in request.attempts.values() if not attempt[2]]
        if maybe_executed and klass.repeats == "once":
            raise Broken(
                "no second effect", record.at, f"{which} is sent again, though it may have been executed"
            )
        if maybe_executed and klass.repeats == "by key":
            if klass.grouped and any(attempt[1] != record.group for attempt in maybe_executed):
                raise Broken("no second effect", record.at, f"{which} is sent to another group")
            if record.at - min(attempt[0] for attempt in maybe_executed) > klass.memory:
                raise Broken(
                    "no second effect", record.at, f"{which} is sent after the backends forgot its key"
                )
        request.attempts[record.attempt] = [record.at, record.group, None]

    def on_finished(self, record: AttemptFinished) -> None:
        """Notes whether the attempt was executed."""
        request = self.requests.get(record.request)
        if request is not None and record.attempt in request.attempts:
            request.attempts[record.attempt][2] = record.never_ran

    def on_answered(self, record: RequestAnswered) -> None:
        """Checks that a refused request was not executed."""
        request = self.requests.get(record.request)
        if request is None or record.how != "refused":
            return
        if self.terms.classes[request.klass].repeats == "safe":
            return
        if any(not attempt[2] for attempt in request.attempts.values()):
            raise Broken(
                "honest refusals",
                record.at,
                f"request {record.request} of {request.klass} is refused, though it may have been executed",
            )


class DrainGraceRespected:
    """No attempt is sent to a draining backend later than the grace period after its sender was notified."""

    def __init__(self, terms: RuleTerms) -> None:
        self.terms = terms
        self.draining_since: dict[tuple[str, str], float] = {}  # by process and backend

    def on_notified(self, record: BackendNotified) -> None:
        """Notes since when a process knows that a backend drains."""
        key = record.process, record.backend
        if record.serving:
            self.draining_since.pop(key, None)
        else:
            self.draining_since.setdefault(key, record.at)

    def on_written(self, record: Written) -> None:
        """Checks the time since each decider was notified."""
        for process in record.deciders:
            since = self.draining_since.get((process, record.backend))
            if since is not None and record.at > since + self.terms.drain_grace + TIME_TOLERANCE_S:
                raise Broken(
                    "drains kept",
                    record.at,
                    f"{record.backend} gets request {record.request} {record.at - since:.3f} s after "
                    f"{process} was notified that it drains",
                )


class ColdBackendsProtected:
    """No cold backend gets more than a multiple of its current capacity within a time window."""

    def __init__(self, terms: RuleTerms) -> None:
        self.terms = terms
        # by backend: time of its start, capacity, times of recent attempts
        self.cold: dict[str, tuple[float, float, deque[float]]] = {}

    def on_started(self, record: BackendStarted) -> None:
        """Begins to watch a backend."""
        self.cold[record.backend] = record.at, record.capacity, deque()

    def on_written(self, record: Written) -> None:
        """Counts the attempts in the window that ends now."""
        known = self.cold.get(record.backend)
        if known is None:
            return
        started_at, capacity, arrivals = known
        terms = self.terms
        arrivals.append(record.at)
        window_start = record.at - terms.overload_for
        while arrivals[0] < window_start:
            arrivals.popleft()
        if window_start < started_at:
            return
        if window_start - started_at > terms.warm_within:
            del self.cold[record.backend]
            return
        age = min((window_start + record.at) / 2 - started_at, terms.warm_within)  # mid-window
        warmth = terms.cold_from + (1.0 - terms.cold_from) * age / terms.warm_within
        overload = terms.fall_multiple * warmth * capacity * terms.overload_for
        if len(arrivals) > overload + math.sqrt(overload):
            raise Broken(
                "cold backends kept",
                record.at,
                f"{record.backend} gets {len(arrivals)} requests in {terms.overload_for:g} s, where "
                f"{overload:.1f} overload it",
            )


class CeilingsRespected:
    """A customer's requests stay within its token bucket; a request is charged at its first attempt."""

    def __init__(self, terms: RuleTerms) -> None:
        self.terms = terms
        self.uncharged: dict[int, RequestReceived] = {}
        self.levels: dict[str, tuple[float, float]] = {}  # by customer: level, time of it
        self.lowest = math.inf

    def on_received(self, record: RequestReceived) -> None:
        """Notes a request whose plan has a ceiling."""
        if record.plan in self.terms.ceilings:
            self.uncharged[record.request] = record

    def level(self, customer: str, ceiling: Ceiling, at: float) -> float:
        """Returns the level of a customer's bucket, in units."""
        level, when = self.levels.get(customer, (ceiling.depth, at))
        return min(ceiling.depth, level + ceiling.rate * (at - when))

    def on_written(self, record: Written) -> None:
        """Charges a request at its first attempt and checks the level."""
        request = self.uncharged.pop(record.request, None)
        if request is None:
            return
        ceiling = self.terms.ceilings[request.plan]
        level = self.level(request.customer, ceiling, record.at) - request.units
        self.levels[request.customer] = level, record.at
        self.lowest = min(self.lowest, level)
        if level < -ceiling.slack:
            raise Broken(
                "ceilings kept", record.at, f"{request.customer} is {-level:.2f} units over its ceiling"
            )


class CreditsConserved:
    """The processes together never believe more to be left of a ceiling than there is.

    Credit moves between processes; it is never duplicated.
    """

    def __init__(self, terms: RuleTerms, plan_of: Callable[[str], str], ceilings: CeilingsRespected) -> None:
        self.terms, self.plan_of, self.ceilings = terms, plan_of, ceilings

    def on_credits(self, record: CreditsBelieved) -> None:
        """Checks the sum of all beliefs."""
        ceiling = self.terms.ceilings[self.plan_of(record.customer)]
        left = self.ceilings.level(record.customer, ceiling, record.at)
        believed = sum(max(units, 0.0) for _, units in record.beliefs)
        if believed > max(left, 0.0) + ceiling.slack:
            who = ", ".join(f"{name} {units:.2f}" for name, units in record.beliefs if units > 0)
            raise Broken(
                "credits conserved",
                record.at,
                f"{left:.2f} units are left to {record.customer}, but processes believe: {who}",
            )


class OneHolder:
    """A share of a part's ceilings has at most one user at a time."""

    def on_held(self, record: SharesHeld) -> None:
        """Checks the users of each share."""
        for lender, users in record.users:
            if len(users) > 1:
                raise Broken(
                    "one holder",
                    record.at,
                    f"the share of {lender} in part {record.part} is used by {' and '.join(users)}",
                )


class Rules:
    """All checkers together, fed record by record."""

    def __init__(self, terms: RuleTerms, plan_of: Callable[[str], str] = lambda customer: customer) -> None:
        self.answers = OneAnswer(terms)
        effects, drains, cold = (
            NoSecondEffect(terms),
            DrainGraceRespected(terms),
            ColdBackendsProtected(terms),
        )
        self.ceilings = CeilingsRespected(terms)
        credits, holders = CreditsConserved(terms, plan_of, self.ceilings), OneHolder()
        self.checkers: dict[type, tuple[Callable[[Any], None], ...]] = {
            RequestReceived: (self.answers.on_received, effects.on_received, self.ceilings.on_received),
            RequestAnswered: (effects.on_answered, self.answers.on_answered),
            RequestDropped: (self.answers.on_dropped,),
            Fault: (self.answers.on_fault,),
            BackendNotified: (drains.on_notified,),
            BackendStarted: (cold.on_started,),
            Written: (effects.on_written, drains.on_written, cold.on_written, self.ceilings.on_written),
            AttemptFinished: (effects.on_finished,),
            CreditsBelieved: (credits.on_credits,),
            SharesHeld: (holders.on_held,),
        }

    def check(self, record: Record) -> None:
        """Hands a record to its checkers; raises Broken if it violates a rule."""
        for checker in self.checkers.get(type(record), ()):
            checker(record)

    def finish(self, at: float) -> None:
        """Ends the trace; raises Broken if a request is still without an answer."""
        self.answers.finish(at)


def first_violation(records: Iterable[Record], rules: Rules) -> Broken | None:
    """Checks a complete trace and returns the first violation, or None."""
    at = 0.0
    try:
        for record in records:
            rules.check(record)
            at = record.at
        rules.finish(at)
    except Broken as broken:
        return broken
    return None
