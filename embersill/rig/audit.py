"""Audit of a deployment's traffic as clients and backends saw it, checked against the five rules.

Nothing of it reaches the software under test.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from embersill.interface import Plan, Repeats, Settings
from embersill.rig.settings import RULE_WORDS
from embersill.rig.standins import Arrival
from embersill.world.oracles import Ceiling, ClassTerms, RuleTerms
from embersill.world.records import (
    AttemptFinished,
    BackendNotified,
    Record,
    RequestAnswered,
    RequestDropped,
    RequestReceived,
    Written,
)

CEILING_SLACK_S = 0.15  # of a ceiling's rate, by which its slack is wider on sockets
DRAIN_GRACE_S = 0.55  # after discovery announced a drain, including 50 ms for sockets
ALL_PROCESSES = "all"  # in records: discovery informs all processes at the same moment
MAX_RECORDS = 1_000_000  # a longer run keeps only its beginning
OBSERVATION_LAG_S = 0.05  # a refusal may have been decided so long before it is seen


@dataclass(slots=True)
class TokenBucket:
    """The true token bucket of a customer, over all front processes."""

    depth: float
    rate: float
    level: float
    updated_at: float

    def level_at(self, now: float) -> float:
        """Units in the bucket at a time."""
        return min(self.depth, self.level + self.rate * (now - self.updated_at))

    def take(self, units: float, now: float) -> float:
        """Takes units, below 0 if need be; returns the new level."""
        self.level, self.updated_at = self.level_at(now) - units, now
        return self.level


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused request, and whether its customer's true quota and ceiling had room for it then."""

    time: float
    request: ClientRequest
    quota_left: bool
    ceiling_left: bool


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, with what became of it."""

    call_id: str
    klass: str
    plan: str
    customer: str
    units: float
    front: str
    sent_at: float
    deadline: float
    answers: int = 0
    front_killed: bool = False  # its front process was killed, so the retry is up to the client
    runs: list[tuple[str, float]] = field(default_factory=list)  # backend and time of each execution
    sent: bool = False
    attempt_count: int = 0  # attempts that backends received completely


class TrafficAudit:
    """Records requests and attempts, counts breaches of the rules, and keeps the true token buckets."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.plans: dict[str, Plan] = {p.name: p for p in settings.plans}
        self.classes = {c.name: c for c in settings.classes}
        self.requests: dict[str, ClientRequest] = {}
        self.ceilings: dict[str, TokenBucket] = {}
        self.quotas: dict[str, TokenBucket] = {}
        self.drained: dict[str, float] = {}
        self.cells: dict[str, int] = {}
        self.counts: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.refusals: list[Refusal] = []
        self.ceiling_lowest = 0.0
        self.units = self.beyond_quota = (
            0.0  # of plans with a quota: units sent on, and those beyond the quota
        )
        self.breaches: list[str] = []
        # called with the first attempt of each request
        self.on_first_attempt: Callable[[ClientRequest, float], None] = lambda request, now: None
        self.records: list[Record] = []  # the same as a trace, for independent checkers
        self.call_numbers: dict[str, int] = {}  # numbers of calls in the trace, by call id

    def add_record(self, record: Record) -> None:
        """Appends to the trace, up to MAX_RECORDS."""
        if len(self.records) < MAX_RECORDS:
            self.records.append(record)

    def rule_terms(self) -> RuleTerms:
        """Terms for judging `records` of a deployment on sockets.

        There, attempts are known by their arrival, and not while they are in flight.
        """
        return RuleTerms(
            classes={
                c.name: ClassTerms(RULE_WORDS[c.repeats], c.memory + OBSERVATION_LAG_S)
                for c in self.settings.classes
            },
            ceilings={
                p.name: Ceiling(p.ceiling_rate, p.ceiling_depth, self.ceiling_slack(p))
                for p in self.settings.plans
                if p.ceiling_rate > 0
            },
            max_attempts=self.settings.max_attempts,
            second_copies=True,
            drain_grace=DRAIN_GRACE_S,
            late_by=OBSERVATION_LAG_S,
        )

    def ceiling_slack(self, plan: Plan) -> float:
        """Units by which a ceiling may be exceeded."""
        return max(0.1 * plan.ceiling_depth, self.settings.most_units) + CEILING_SLACK_S * plan.ceiling_rate

    def backend_draining(self, backend: str, now: float) -> None:
        """Discovery has announced that a backend drains."""
        self.drained[backend] = now
        self.add_record(BackendNotified(now, ALL_PROCESSES, backend, False))

    def backend_serving(self, backend: str, now: float) -> None:
        """Discovery is about to announce that a backend serves again."""
        self.drained.pop(backend, None)
        self.add_record(BackendNotified(now, ALL_PROCESSES, backend, True))

    def report_breach(self, rule: str, text: str) -> None:
        """Counts a breach of a rule; the first 100 are kept with their text."""
        self.counts[rule] += 1
        if len(self.breaches) < 100:
            self.breaches.append(f"{rule}: {text}")

    # clients

    def request_sent(self, request: ClientRequest) -> None:
        """A client sends a request."""
        self.counts["tries"] += 1
        self.requests[request.call_id] = request
        number = self.call_numbers[request.call_id] = len(self.call_numbers) + 1
        self.add_record(
            RequestReceived(
                request.sent_at,
                number,
                request.klass,
                request.plan,
                request.customer,
                request.units,
                request.front,
                request.deadline,
            )
        )

    def answer_received(self, request: ClientRequest, status: int, body: bytes, now: float) -> None:
        """A client receives an answer: the only one, its own, and no refusal of what has run."""
        request.answers += 1
        outcome = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        self.add_record(RequestAnswered(now, self.call_numbers[request.call_id], outcome))
        if request.answers > 1:
            return self.report_breach("answers_two", request.call_id)
        if status == 200:
            if body[: len(request.call_id)] != request.call_id.encode():
                self.report_breach("answers_wrong", request.call_id)
            self.counts["served"] += 1
            self.latencies.append(now - request.sent_at)
        elif status in (429, 503):
            self.counts["refused"] += 1
            klass = self.classes[request.klass]
            if request.runs and klass.repeats is not Repeats.SAFE:
                self.report_breach("refused_after_run", request.call_id)
            plan, ceiling = self.plans[request.plan], self.ceilings.get(request.customer)
            quota_left = (
                plan.rate <= 0
                or self.quota(request, plan, now).level_at(now - OBSERVATION_LAG_S) >= request.units
            )
            if plan.rate > 0 and quota_left:
                self.counts["refused_with_quota_left"] += 1
            if len(self.refusals) < MAX_RECORDS:
                self.refusals.append(
                    Refusal(
                        now,
                        request,
                        quota_left,
                        ceiling is None or ceiling.level_at(now - OBSERVATION_LAG_S) >= request.units,
                    )
                )
        else:
            self.counts["failed"] += 1
        return None

    def request_unanswered(self, request: ClientRequest) -> None:
        """A request ends without an answer: its time is up or its connection was closed."""
        if request.answers:
            return
        request.answers = 1
        if request.front_killed:
            self.add_record(RequestDropped(request.sent_at, self.call_numbers[request.call_id]))
            self.counts["with_a_killed_front"] += 1
        else:
            self.report_breach("answers_none", f"{request.call_id} {request.klass} at {request.front}")

    # backends

    def attempt_arrived(self, arrival: Arrival, executed: bool) -> None:
        """A backend has received an attempt; `executed`: it runs it and doesn't reject it."""
        self.counts["attempts"] += 1
        request = self.requests.get(arrival.call_id)
        if request is None:
            return self.report_breach("unknown_sent", arrival.call_id)
        drained_at = self.drained.get(arrival.backend)
        if drained_at is not None and arrival.first_byte_at > drained_at + DRAIN_GRACE_S:
            self.report_breach(
                "late_drain_sends", f"{arrival.backend} {arrival.first_byte_at - drained_at:.3f} s"
            )
        number, attempt_index = self.call_numbers[arrival.call_id], request.attempt_count
        request.attempt_count += 1
        group = str(self.cells.get(arrival.backend, 0))
        self.add_record(
            Written(arrival.first_byte_at, number, attempt_index, arrival.backend, group, (ALL_PROCESSES,))
        )
        self.add_record(AttemptFinished(arrival.completed_at, number, attempt_index, "", not executed))
        if not request.sent:
            request.sent = True
            self.on_first_attempt(request, arrival.completed_at)
            self.charge(request, arrival.completed_at)
        if not executed:
            return None
        klass = self.classes[request.klass]
        if request.runs:
            self.counts["repeats"] += 1
            if klass.repeats is Repeats.ONCE:
                self.report_breach(
                    "unsafe_twice", f"{request.call_id} at {request.runs[0][0]} and {arrival.backend}"
                )
            elif klass.repeats is Repeats.BY_KEY:
                cells = {self.cells[name] for name, _ in request.runs} | {self.cells[arrival.backend]}
                if len(cells) > 1 or arrival.completed_at - request.runs[0][1] > klass.memory:
                    self.report_breach("keyed_twice", request.call_id)
        request.runs.append((arrival.backend, arrival.completed_at))
        return None

    def quota(self, request: ClientRequest, plan: Plan, now: float) -> TokenBucket:
        """The true quota of a request's customer, full at its first use."""
        return self.quotas.setdefault(request.customer, TokenBucket(plan.burst, plan.rate, plan.burst, now))

    def charge(self, request: ClientRequest, now: float) -> None:
        """Takes a request's units from its customer's buckets, with its first attempt."""
        plan = self.plans[request.plan]
        if plan.rate > 0:
            self.units += request.units
            quota = self.quota(request, plan, now)
            if quota.take(request.units, now) < 0:  # beyond the quota; the debt does not accumulate
                self.beyond_quota -= quota.level
                quota.level = 0.0
        if plan.ceiling_rate > 0:
            ceiling = self.ceilings.setdefault(
                request.customer, TokenBucket(plan.ceiling_depth, plan.ceiling_rate, plan.ceiling_depth, now)
            )
            left = ceiling.take(request.units, now)
            self.ceiling_lowest = min(self.ceiling_lowest, left)
            if left < -self.ceiling_slack(plan):
                self.report_breach("ceiling_over_slack", f"{request.customer} {-left:.2f}")

    # figures

    def figures(self) -> dict[str, float]:
        """Counts, breaches by rule, and latencies."""
        names = (
            "tries",
            "served",
            "refused",
            "failed",
            "with_a_killed_front",
            "attempts",
            "refused_with_quota_left",
            "answers_none",
            "answers_two",
            "answers_wrong",
            "unsafe_twice",
            "keyed_twice",
            "refused_after_run",
            "unknown_sent",
            "late_drain_sends",
            "ceiling_over_slack",
        )
        figures: dict[str, float] = {name: self.counts[name] for name in names}
        ordered = sorted(self.latencies)
        for name, fraction in (("median_ms", 0.5), ("p99_ms", 0.99)):
            figures[name] = round(1000 * ordered[int(fraction * (len(ordered) - 1))], 2) if ordered else 0.0
        figures["beyond_quota_share"] = round(self.beyond_quota / max(self.units, 1.0), 4)
        figures["ceiling_lowest"] = round(self.ceiling_lowest, 2)
        return figures
