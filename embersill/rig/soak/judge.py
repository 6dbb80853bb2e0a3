"""Finds breaches of the rules in the record of a run. Independent of the software under test, no I/O.

Rules with a time have a margin of seconds where the software takes milliseconds. Nothing is reported against
a gateway around a fault that stops it, nor against any gateway while the soak itself was stalled.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from embersill.rig.soak.record import ClientRequest, InjectedFault, Record, Run, RunEnd
from embersill.rig.soak.schedule import LONG_WORK_S, PLANNED_KINDS, FaultKind, Route

DISCONNECT_MARGIN_S = 1.0  # after a client's disconnect; later none of its requests may reach a backend
DISCONNECT_NOTICE_S = LONG_WORK_S - 1.0  # a disconnect must be noticed within so much work
FAULT_MARGIN_S = 1.0  # after a fault that stops a gateway, in which nothing is reported against it
DRAIN_DEADLINE_S = 3.0  # from the acknowledgement of a backend's drain: the bound and a margin
GRACE_PERIOD_S = 6.0  # from SIGTERM to SIGKILL, as in the gateways' settings
GRACE_USED_S = 4.8  # of the grace period, in which work is finished
DRAIN_ACCEPT_S = 2.2  # after SIGTERM, in which requests are accepted
QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT, QUOTA_SLACK = 0.1, 20.0
MAX_IDLE_DESCRIPTORS = 150  # of an idle gateway: files, links, kept connections to backends
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))  # promise that a request has not run and never will
GAUGES = ("requests_unanswered", "requests_pending", "requests_held", "attempts_out", "attempts_counted_out")


class Rule(Enum):
    """The rule that a finding breaks."""

    RUNS_AFTER_LEAVE = "runs_after_leave"  # work began or continued after the client's disconnect
    DOUBLED = "doubled"  # a request that must not be repeated ran twice
    REFUSED_AFTER_RUN = "refused_after_run"
    FOREIGN_ANSWER = "foreign_answer"  # an answer to another request, or a second one
    LOST = "lost"  # a running request got no answer because of a planned restart
    DRAIN = "drain"  # a request reached a backend long after it began to drain
    QUOTA = "quota"
    CONFIGURATION = "configuration"
    LEAKED = "leaked"
    EXITS = "exits"


class Finding(msgspec.Struct):
    """One breach of a rule."""

    rule: Rule
    at: float
    gateway: int  # -1 for all
    attempt: str
    text: str


def judge(record: Record) -> list[Finding]:
    """All findings of a run, in order of time."""
    checks: tuple[Callable[[Record], Iterable[Finding]], ...] = (
        runs_after_disconnect, repeated_runs, wrong_answers, lost_requests, runs_after_drain, quota_breaches,
        configuration_breaches, leaks, process_exits,
    )  # fmt: skip
    return sorted((finding for check in checks for finding in check(record)), key=lambda finding: finding.at)


def excused(record: Record, gateway: int, begin: float, end: float) -> bool:
    """True if a fault stopped the gateway, or the soak was stalled, at some time between."""
    for fault in record.struck:
        affected = fault.gateway in (gateway, -1) and fault.kind not in PLANNED_KINDS
        if affected and fault.began <= end and fault.ended + FAULT_MARGIN_S >= begin:
            return True
    return any(began <= end and ended >= begin for began, ended in record.stalls)


def runs_by_attempt(record: Record) -> dict[str, list[Run]]:
    """Runs that backends began, by the client's request."""
    runs = defaultdict(list)
    for run in record.runs:
        if run.end is not RunEnd.DECLINED:
            runs[run.attempt].append(run)
    return runs


def runs_after_disconnect(record: Record) -> Iterable[Finding]:
    """No request reaches a backend, or continues there, after its client's disconnect."""
    runs = runs_by_attempt(record)
    for request in record.tries:
        if not request.disconnected:
            continue
        for run in runs[request.attempt]:
            if excused(
                record,
                request.gateway,
                request.left_at,
                max(run.arrived, request.left_at + DISCONNECT_NOTICE_S),
            ):
                continue
            late = run.arrived - request.left_at
            if late > DISCONNECT_MARGIN_S:
                yield finding_of(
                    Rule.RUNS_AFTER_LEAVE, run.arrived, request, f"reached {run.backend} {late:.2f} s later"
                )
            elif request.route is Route.ASK and overrun_seconds(request, run) > DISCONNECT_NOTICE_S:
                seconds = overrun_seconds(request, run)
                yield finding_of(
                    Rule.RUNS_AFTER_LEAVE,
                    request.left_at,
                    request,
                    f"{run.backend} continued for {seconds:.2f} s",
                )


def overrun_seconds(request: ClientRequest, run: Run) -> float:
    """Seconds from the client's disconnect until the backend was informed, or its work ended."""
    ends = [at for at in (run.closed_at, run.ended) if at]
    return min(ends) - request.left_at if ends else 0.0


def finding_of(rule: Rule, at: float, request: ClientRequest, text: str) -> Finding:
    """A finding about a client's request."""
    left = (
        f"; client disconnected by {request.leave.value} at {request.left_at:.2f}"
        if request.leave and request.left_at
        else ""
    )
    return Finding(
        rule,
        at,
        request.gateway,
        request.attempt,
        f"{request.route.value} of {request.work:g} s: {text}{left}",
    )


def repeated_runs(record: Record) -> Iterable[Finding]:
    """A non-idempotent request runs at most once, and not if its client was told that it has not run."""
    runs = runs_by_attempt(record)
    for request in record.tries:
        if request.route is not Route.ORDER:
            continue
        executed = runs[request.attempt]
        if len(executed) > 1:
            yield finding_of(
                Rule.DOUBLED, executed[1].arrived, request, f"ran at {[run.backend for run in executed]}"
            )
        denials = [answer for answer in request.answers if answer.status in NOT_EXECUTED_STATUSES]
        if executed and denials:
            yield finding_of(
                Rule.REFUSED_AFTER_RUN,
                denials[0].at,
                request,
                f"answered {denials[0].status}, ran at {executed[0].backend}",
            )


def wrong_answers(record: Record) -> Iterable[Finding]:
    """A request gets only one answer, its own."""
    for request in record.tries:
        if len(request.answers) > 1:
            yield finding_of(
                Rule.FOREIGN_ANSWER, request.answers[1].at, request, f"{len(request.answers)} answers"
            )
        for answer in request.answers:
            succeeded = answer.status == 200
            if succeeded and (answer.attempt != request.attempt or not answer.sealed or not answer.whole):
                yield finding_of(
                    Rule.FOREIGN_ANSWER, answer.at, request, f"200 with attempt id {answer.attempt!r}"
                )


def lost_requests(record: Record) -> Iterable[Finding]:
    """Requests that backends run are answered in spite of planned restarts."""
    runs = runs_by_attempt(record)
    terminations = [
        fault for fault in record.struck if fault.kind in (FaultKind.TERM, FaultKind.TERM_IN_CHANGE)
    ]
    for request in record.tries:
        if request.left_at or not request.cut_at or not runs[request.attempt]:
            continue
        if excused(record, request.gateway, request.sent_at - FAULT_MARGIN_S, request.cut_at):
            continue
        run = runs[request.attempt][0]
        if run.end in (RunEnd.FINISHED, RunEnd.DROPPED) and not past_grace(terminations, request, run):
            yield finding_of(
                Rule.LOST, request.cut_at, request, f"{run.end.value} at {run.backend}, connection ended"
            )


def past_grace(terminations: list[InjectedFault], request: ClientRequest, run: Run) -> bool:
    """True if the work could not end within the grace period of a SIGTERM, or came after the drain."""
    for termination in terminations:
        if (
            termination.gateway != request.gateway
            or not termination.began - FAULT_MARGIN_S <= request.cut_at <= termination.ended + FAULT_MARGIN_S
        ):
            continue
        if (
            request.sent_at > termination.began + DRAIN_ACCEPT_S
            or run.began + 2 * request.work > termination.began + GRACE_USED_S
        ):
            return True
    return False


def runs_after_drain(record: Record) -> Iterable[Finding]:
    """No request reaches a backend later than DRAIN_DEADLINE_S after its drain was acknowledged."""
    tries = {request.attempt: request for request in record.tries}
    left = {drain.backend: drain.acknowledged_at for drain in record.drains if drain.acknowledged_at}
    for run in record.runs:
        since, request = left.get(run.backend), tries.get(run.attempt)
        if since is None or request is None or run.arrived <= since + DRAIN_DEADLINE_S:
            continue
        if not excused(record, request.gateway, since - FAULT_MARGIN_S, run.arrived):
            yield finding_of(
                Rule.DRAIN, run.arrived, request, f"{run.backend} has been draining since {since:.2f}"
            )


def quota_breaches(record: Record) -> Iterable[Finding]:
    """In no window does a tenant run more than its quota allows."""
    for tenant, (rate, burst) in record.quotas.items():
        limit = (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
        times = sorted(run.began for run in record.runs if run.tenant == tenant and run.began)
        first = 0
        for last, at in enumerate(times):
            while at - times[first] > QUOTA_WINDOW_S:
                first += 1
            if last - first + 1 > limit:
                text = f"{tenant}: {last - first + 1} runs within {QUOTA_WINDOW_S:g} s, limit {limit:.0f}"
                yield Finding(Rule.QUOTA, at, -1, "", text)
                break


def configuration_breaches(record: Record) -> Iterable[Finding]:
    """Acknowledged changes persist, only one change based on a version is accepted, and no invalid one."""
    accepted = [change for change in record.changes if 200 in change.statuses]
    for change in accepted:
        if not change.valid:
            yield Finding(
                Rule.CONFIGURATION, change.sent_at, -1, "", f"invalid version {change.version} was accepted"
            )
    bases = defaultdict(list)
    for change in accepted:
        bases[change.based_on].append(change.version)
    for base, versions in bases.items():
        if len(versions) > 1:
            yield Finding(
                Rule.CONFIGURATION, 0.0, -1, "", f"versions {versions} were all accepted on top of {base}"
            )
    newest = max((change.version for change in accepted if change.valid), default=0)
    for state in record.calm:
        if state.version < newest:
            text = f"reads version {state.version}, {newest} was acknowledged"
            yield Finding(Rule.CONFIGURATION, 0.0, state.gateway, "", text)


def leaks(record: Record) -> Iterable[Finding]:
    """After the run nothing is in flight, all gauges are 0 and no descriptors have leaked."""
    for state in record.calm:
        gauges = {name: state.figures.get(f"embersill_{name}", -1.0) for name in GAUGES}
        leaked = {name: value for name, value in gauges.items() if value}
        if state.descriptors > MAX_IDLE_DESCRIPTORS:
            leaked["descriptors"] = state.descriptors
        if leaked:
            yield Finding(Rule.LEAKED, 0.0, state.gateway, "", f"not released after the run: {leaked}")


def process_exits(record: Record) -> Iterable[Finding]:
    """No process ends by itself, and each ends within the grace period of a SIGTERM."""
    for process_exit in record.exits:
        if not process_exit.wanted:
            yield Finding(
                Rule.EXITS,
                process_exit.at,
                process_exit.gateway,
                "",
                f"exited by itself with code {process_exit.code}",
            )
        elif process_exit.overdue and not excused(
            record, process_exit.gateway, process_exit.at - GRACE_PERIOD_S - FAULT_MARGIN_S, process_exit.at
        ):
            yield Finding(
                Rule.EXITS,
                process_exit.at,
                process_exit.gateway,
                "",
                f"still ran {GRACE_PERIOD_S:g} s after SIGTERM",
            )
