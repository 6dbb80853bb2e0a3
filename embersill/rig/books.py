"""What really happened in a lab, and what the five rules say of it. No core sees any of this."""

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

SLACK_TIME = 0.15  # seconds of a ceiling's rate that its slack is wider by on sockets
GRACE = 0.55  # seconds after it was told that a drain must be kept, with the sockets' 50 ms
ALL = "all"  # the processes of a deployment, which discovery tells at one moment
MOST_RECORDS = 1_000_000  # of a trace: a long run keeps its beginning
BEFORE = 0.05  # seconds that a refusal may have been decided before it is seen


@dataclass(slots=True)
class Level:
    """A token bucket as it really is, over all front machines."""

    depth: float
    rate: float
    level: float
    when: float

    def at(self, now: float) -> float:
        return min(self.depth, self.level + self.rate * (now - self.when))

    def take(self, units: float, now: float) -> float:
        self.level, self.when = self.at(now) - units, now
        return self.level


@dataclass(frozen=True, slots=True)
class Refusal:
    """A try that was refused, and whether its customer had room by the books then."""

    when: float
    asked: Asked
    quota_left: bool
    ceiling_left: bool


@dataclass(slots=True)
class Asked:
    """One try of a client."""

    call_id: str
    klass: str
    plan: str
    customer: str
    units: float
    front: str
    at: float
    end: float
    answers: int = 0
    lost_with: bool = False  # its front machine was killed: it is the client's to retry
    runs: list[tuple[str, float]] = field(default_factory=list)
    sent: bool = False
    written: int = 0  # attempts that came whole


class Books:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.plans: dict[str, Plan] = {p.name: p for p in settings.plans}
        self.classes = {c.name: c for c in settings.classes}
        self.tries: dict[str, Asked] = {}
        self.ceilings: dict[str, Level] = {}
        self.quotas: dict[str, Level] = {}
        self.drained: dict[str, float] = {}
        self.cells: dict[str, int] = {}
        self.counts: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.refusals: list[Refusal] = []
        self.ceiling_lowest = 0.0
        self.units = self.beyond_quota = 0.0  # of plans with a quota: sent on, and of them beyond it
        self.breaches: list[str] = []
        self.on_first: Callable[[Asked, float], None] = lambda asked, now: None  # sent on for the first time
        self.records: list[Record] = []  # the same as a trace, for checkers that know nothing of this one
        self.numbers: dict[str, int] = {}  # call ids as the trace has them

    def note(self, record: Record) -> None:
        if len(self.records) < MOST_RECORDS:
            self.records.append(record)

    def rule_terms(self) -> RuleTerms:
        """The rules on sockets, for whoever judges `records`: it is known what came, not what is out."""
        return RuleTerms(
            classes={
                c.name: ClassTerms(RULE_WORDS[c.repeats], c.memory + BEFORE) for c in self.settings.classes
            },
            ceilings={
                p.name: Ceiling(p.ceiling_rate, p.ceiling_depth, self.slack(p))
                for p in self.settings.plans
                if p.ceiling_rate > 0
            },
            max_attempts=self.settings.max_attempts,
            second_copies=True,
            drain_grace=GRACE,
            late_by=BEFORE,
        )

    def slack(self, plan: Plan) -> float:
        return max(0.1 * plan.ceiling_depth, self.settings.most_units) + SLACK_TIME * plan.ceiling_rate

    def drains(self, backend: str, now: float) -> None:
        self.drained[backend] = now
        self.note(BackendNotified(now, ALL, backend, False))

    def serves(self, backend: str, now: float) -> None:
        self.drained.pop(backend, None)
        self.note(BackendNotified(now, ALL, backend, True))

    def breach(self, rule: str, text: str) -> None:
        self.counts[rule] += 1
        if len(self.breaches) < 100:
            self.breaches.append(f"{rule}: {text}")

    # clients

    def asked(self, asked: Asked) -> None:
        self.counts["tries"] += 1
        self.tries[asked.call_id] = asked
        number = self.numbers[asked.call_id] = len(self.numbers) + 1
        self.note(
            RequestReceived(
                asked.at, number, asked.klass, asked.plan, asked.customer, asked.units, asked.front, asked.end
            )
        )

    def answered(self, asked: Asked, status: int, body: bytes, now: float) -> None:
        asked.answers += 1
        how = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        self.note(RequestAnswered(now, self.numbers[asked.call_id], how))
        if asked.answers > 1:
            return self.breach("answers_two", asked.call_id)
        if status == 200:
            if body[: len(asked.call_id)] != asked.call_id.encode():
                self.breach("answers_wrong", asked.call_id)
            self.counts["served"] += 1
            self.latencies.append(now - asked.at)
        elif status in (429, 503):
            self.counts["refused"] += 1
            klass = self.classes[asked.klass]
            if asked.runs and klass.repeats is not Repeats.SAFE:
                self.breach("refused_after_run", asked.call_id)
            plan, ceiling = self.plans[asked.plan], self.ceilings.get(asked.customer)
            quota_left = plan.rate <= 0 or self.quota(asked, plan, now).at(now - BEFORE) >= asked.units
            if plan.rate > 0 and quota_left:
                self.counts["refused_with_quota_left"] += 1
            if len(self.refusals) < MOST_RECORDS:
                self.refusals.append(
                    Refusal(
                        now, asked, quota_left, ceiling is None or ceiling.at(now - BEFORE) >= asked.units
                    )
                )
        else:
            self.counts["failed"] += 1
        return None

    def unanswered(self, asked: Asked) -> None:
        """Its time is up, or its connection ended."""
        if asked.answers:
            return
        asked.answers = 1
        if asked.lost_with:
            self.note(RequestDropped(asked.at, self.numbers[asked.call_id]))
            self.counts["with_a_killed_front"] += 1
        else:
            self.breach("answers_none", f"{asked.call_id} {asked.klass} at {asked.front}")

    # backends

    def arrived(self, arrival: Arrival, runs: bool) -> None:
        self.counts["attempts"] += 1
        asked = self.tries.get(arrival.call_id)
        if asked is None:
            return self.breach("unknown_sent", arrival.call_id)
        since = self.drained.get(arrival.backend)
        if since is not None and arrival.first_byte > since + GRACE:
            self.breach("late_drain_sends", f"{arrival.backend} {arrival.first_byte - since:.3f} s")
        number, place = self.numbers[arrival.call_id], asked.written
        asked.written += 1
        group = str(self.cells.get(arrival.backend, 0))
        self.note(Written(arrival.first_byte, number, place, arrival.backend, group, (ALL,)))
        self.note(AttemptFinished(arrival.whole, number, place, "", not runs))
        if not asked.sent:
            asked.sent = True
            self.on_first(asked, arrival.whole)
            self.first(asked, arrival.whole)
        if not runs:
            return None
        klass = self.classes[asked.klass]
        if asked.runs:
            self.counts["repeats"] += 1
            if klass.repeats is Repeats.ONCE:
                self.breach("unsafe_twice", f"{asked.call_id} at {asked.runs[0][0]} and {arrival.backend}")
            elif klass.repeats is Repeats.BY_KEY:
                cells = {self.cells[name] for name, _ in asked.runs} | {self.cells[arrival.backend]}
                if len(cells) > 1 or arrival.whole - asked.runs[0][1] > klass.memory:
                    self.breach("keyed_twice", asked.call_id)
        asked.runs.append((arrival.backend, arrival.whole))
        return None

    def quota(self, asked: Asked, plan: Plan, now: float) -> Level:
        return self.quotas.setdefault(asked.customer, Level(plan.burst, plan.rate, plan.burst, now))

    def first(self, asked: Asked, now: float) -> None:
        plan = self.plans[asked.plan]
        if plan.rate > 0:
            self.units += asked.units
            quota = self.quota(asked, plan, now)
            if quota.take(asked.units, now) < 0:  # beyond the quota, whose debt does not add up
                self.beyond_quota -= quota.level
                quota.level = 0.0
        if plan.ceiling_rate > 0:
            ceiling = self.ceilings.setdefault(
                asked.customer, Level(plan.ceiling_depth, plan.ceiling_rate, plan.ceiling_depth, now)
            )
            left = ceiling.take(asked.units, now)
            self.ceiling_lowest = min(self.ceiling_lowest, left)
            if left < -self.slack(plan):
                self.breach("ceiling_over_slack", f"{asked.customer} {-left:.2f}")

    # figures

    def figures(self) -> dict[str, float]:
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
        told: dict[str, float] = {name: self.counts[name] for name in names}
        ordered = sorted(self.latencies)
        for name, part in (("median_ms", 0.5), ("p99_ms", 0.99)):
            told[name] = round(1000 * ordered[int(part * (len(ordered) - 1))], 2) if ordered else 0.0
        told["beyond_quota_share"] = round(self.beyond_quota / max(self.units, 1.0), 4)
        told["ceiling_lowest"] = round(self.ceiling_lowest, 2)
        return told
