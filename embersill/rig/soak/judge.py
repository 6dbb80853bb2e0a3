"""Finds broken rules in what was seen of a run. It knows nothing of the product, and does no I/O.

It counts. Where a rule has a time in it, the margin is seconds where the product takes milliseconds, and
nothing is held against a gateway around a trouble that stops it, nor against any while the soak stood still.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from embersill.rig.soak.record import Record, Run, RunEnd, Struck, Try
from embersill.rig.soak.schedule import LONG_WORK, PLANNED, Route, TroubleKind

SENT_AFTER = 1.0  # seconds after a client has left from which no request of its may reach a backend
NOTICED_WITHIN = LONG_WORK - 1.0  # seconds of work that a leave must be noticed in
AROUND = 1.0  # seconds after a trouble that stops a gateway in which nothing is held against it
DRAIN_DEADLINE = 3.0  # seconds from the acknowledgement of a backend that leaves: the bound and a margin
GRACE = 6.0  # seconds from SIGTERM to the end, as gateways are told
GRACE_USED = 4.8  # seconds of it in which work comes to its end
DRAIN_SENDS = 2.2  # seconds after SIGTERM in which requests are taken
QUOTA_WINDOW = 5.0
QUOTA_OVERSHOOT, QUOTA_SLACK = 0.1, 20.0
KEPT_DESCRIPTORS = 150  # of a gateway in calm: files, links, connections to backends that are kept
UNRUN_STATUSES = frozenset((408, 421, 429, 503))  # promise that a request has not run and never will
GAUGES = ("requests_unanswered", "requests_pending", "requests_held", "attempts_out", "attempts_counted_out")


class Rule(Enum):
    """What a finding breaks."""

    RUNS_AFTER_LEAVE = "runs_after_leave"  # work went on, or began, for a client that had left
    DOUBLED = "doubled"  # what must not be repeated ran twice
    REFUSED_AFTER_RUN = "refused_after_run"
    FOREIGN_ANSWER = "foreign_answer"  # an answer of another request's, or a second one
    LOST = "lost"  # a request that was at work ended without an answer around planned work
    DRAIN = "drain"  # a request reached a backend long after it had said that it leaves
    QUOTA = "quota"
    CONFIGURATION = "configuration"
    LEAKED = "leaked"
    EXITS = "exits"


class Finding(msgspec.Struct):
    """A broken rule, once."""

    rule: Rule
    at: float
    gateway: int  # -1 for all
    attempt: str
    text: str


def judge(record: Record) -> list[Finding]:
    """All findings of a run, by time."""
    parts: tuple[Callable[[Record], Iterable[Finding]], ...] = (
        runs_after_leave, runs_twice, answers, lost, drains, quotas, configuration, leaks, exits,
    )  # fmt: skip
    return sorted((found for part in parts for found in part(record)), key=lambda found: found.at)


def stopped(record: Record, gateway: int, begin: float, end: float) -> bool:
    """True if a gateway was in a trouble that stops it, or the soak stood still, at some time between."""
    for one in record.struck:
        hit = one.gateway in (gateway, -1) and one.kind not in PLANNED
        if hit and one.began <= end and one.ended + AROUND >= begin:
            return True
    return any(began <= end and ended >= begin for began, ended in record.stalls)


def runs_by_attempt(record: Record) -> dict[str, list[Run]]:
    """Runs that were begun, by the client's try."""
    runs = defaultdict(list)
    for run in record.runs:
        if run.end is not RunEnd.DECLINED:
            runs[run.attempt].append(run)
    return runs


def runs_after_leave(record: Record) -> Iterable[Finding]:
    """No request reaches a backend after its client has left, and no backend works on for it."""
    runs = runs_by_attempt(record)
    for one in record.tries:
        if not one.gone:
            continue
        for run in runs[one.attempt]:
            if stopped(record, one.gateway, one.left_at, max(run.arrived, one.left_at + NOTICED_WITHIN)):
                continue
            late = run.arrived - one.left_at
            if late > SENT_AFTER:
                yield found(
                    Rule.RUNS_AFTER_LEAVE, run.arrived, one, f"reached {run.backend} {late:.2f} s later"
                )
            elif one.route is Route.ASK and ran_on(one, run) > NOTICED_WITHIN:
                seconds = ran_on(one, run)
                yield found(
                    Rule.RUNS_AFTER_LEAVE, one.left_at, one, f"{run.backend} worked on for {seconds:.2f} s"
                )


def ran_on(one: Try, run: Run) -> float:
    """Seconds from when the client left until the backend was told, or its work came to an end."""
    ends = [at for at in (run.closed_at, run.ended) if at]
    return min(ends) - one.left_at if ends else 0.0


def found(rule: Rule, at: float, one: Try, text: str) -> Finding:
    """A finding about a client's request."""
    left = f"; left by {one.leave.value} at {one.left_at:.2f}" if one.leave and one.left_at else ""
    return Finding(rule, at, one.gateway, one.attempt, f"{one.route.value} of {one.work:g} s: {text}{left}")


def runs_twice(record: Record) -> Iterable[Finding]:
    """An order runs once at most, and never if its client was told that it has not run."""
    runs = runs_by_attempt(record)
    for one in record.tries:
        if one.route is not Route.ORDER:
            continue
        ran = runs[one.attempt]
        if len(ran) > 1:
            yield found(Rule.DOUBLED, ran[1].arrived, one, f"ran at {[run.backend for run in ran]}")
        told = [answer for answer in one.answers if answer.status in UNRUN_STATUSES]
        if ran and told:
            yield found(
                Rule.REFUSED_AFTER_RUN, told[0].at, one, f"told {told[0].status}, ran at {ran[0].backend}"
            )


def answers(record: Record) -> Iterable[Finding]:
    """A request gets one final answer, its own."""
    for one in record.tries:
        if len(one.answers) > 1:
            yield found(Rule.FOREIGN_ANSWER, one.answers[1].at, one, f"{len(one.answers)} answers")
        for answer in one.answers:
            good = answer.status == 200
            if good and (answer.attempt != one.attempt or not answer.sealed or not answer.whole):
                yield found(Rule.FOREIGN_ANSWER, answer.at, one, f"200 with the id {answer.attempt!r}")


def lost(record: Record) -> Iterable[Finding]:
    """Around planned work, what a backend was at work on gets its answer."""
    runs = runs_by_attempt(record)
    terms = [one for one in record.struck if one.kind in (TroubleKind.TERM, TroubleKind.TERM_IN_CHANGE)]
    for one in record.tries:
        if one.left_at or not one.cut_at or not runs[one.attempt]:
            continue
        if stopped(record, one.gateway, one.sent_at - AROUND, one.cut_at):
            continue
        run = runs[one.attempt][0]
        if run.end in (RunEnd.FINISHED, RunEnd.DROPPED) and not past_grace(terms, one, run):
            yield found(Rule.LOST, one.cut_at, one, f"{run.end.value} at {run.backend}, connection ended")


def past_grace(terms: list[Struck], one: Try, run: Run) -> bool:
    """True if the work could not come to its end within the grace of a SIGTERM, or came after the drain."""
    for term in terms:
        if term.gateway != one.gateway or not term.began - AROUND <= one.cut_at <= term.ended + AROUND:
            continue
        if one.sent_at > term.began + DRAIN_SENDS or run.began + 2 * one.work > term.began + GRACE_USED:
            return True
    return False


def drains(record: Record) -> Iterable[Finding]:
    """No request reaches a backend some time after the acknowledgement that it leaves."""
    tries = {one.attempt: one for one in record.tries}
    left = {drain.backend: drain.acknowledged_at for drain in record.drains if drain.acknowledged_at}
    for run in record.runs:
        since, one = left.get(run.backend), tries.get(run.attempt)
        if since is None or one is None or run.arrived <= since + DRAIN_DEADLINE:
            continue
        if not stopped(record, one.gateway, since - AROUND, run.arrived):
            yield found(Rule.DRAIN, run.arrived, one, f"{run.backend} has left since {since:.2f}")


def quotas(record: Record) -> Iterable[Finding]:
    """In each window a tenant runs no more than its quota allows."""
    for tenant, (rate, burst) in record.quotas.items():
        most = (rate * QUOTA_WINDOW + burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
        times = sorted(run.began for run in record.runs if run.tenant == tenant and run.began)
        first = 0
        for last, at in enumerate(times):
            while at - times[first] > QUOTA_WINDOW:
                first += 1
            if last - first + 1 > most:
                text = f"{tenant}: {last - first + 1} runs within {QUOTA_WINDOW:g} s, {most:.0f} are allowed"
                yield Finding(Rule.QUOTA, at, -1, "", text)
                break


def configuration(record: Record) -> Iterable[Finding]:
    """What was acknowledged is there in the end; one change on a version is taken; no invalid one is."""
    taken = [change for change in record.changes if 200 in change.statuses]
    for change in taken:
        if not change.valid:
            yield Finding(Rule.CONFIGURATION, change.sent_at, -1, "", f"invalid {change.version} was taken")
    bases = defaultdict(list)
    for change in taken:
        bases[change.based_on].append(change.version)
    for base, versions in bases.items():
        if len(versions) > 1:
            yield Finding(Rule.CONFIGURATION, 0.0, -1, "", f"{versions} were all taken on top of {base}")
    newest = max((change.version for change in taken if change.valid), default=0)
    for calm in record.calm:
        if calm.version < newest:
            text = f"reads version {calm.version}, {newest} was acknowledged"
            yield Finding(Rule.CONFIGURATION, 0.0, calm.gateway, "", text)


def leaks(record: Record) -> Iterable[Finding]:
    """Once all is calm, nothing is under way and counts are back at nought."""
    for calm in record.calm:
        high = {name: calm.figures.get(f"embersill_{name}", -1.0) for name in GAUGES}
        held = {name: value for name, value in high.items() if value}
        if calm.descriptors > KEPT_DESCRIPTORS:
            held["descriptors"] = calm.descriptors
        if held:
            yield Finding(Rule.LEAKED, 0.0, calm.gateway, "", f"in calm: {held}")


def exits(record: Record) -> Iterable[Finding]:
    """No process ends by itself, and one that is told to ends in order."""
    for one in record.exits:
        if not one.wanted:
            yield Finding(Rule.EXITS, one.at, one.gateway, "", f"ended with {one.code}")
        elif one.overdue and not stopped(record, one.gateway, one.at - GRACE - AROUND, one.at):
            yield Finding(Rule.EXITS, one.at, one.gateway, "", f"had not ended {GRACE:g} s after SIGTERM")
