"""Maps queries of the rate limit protocol to customers and plans, by the operator's rules. No I/O.

Nothing is granted here: the decision module answers, from the same throttles that requests use. This file
converts descriptors to takes, and the module's verdict to the protocol's statuses.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from embersill.interface import LimitState, Plan, Question, Settings, Take, Verdict
from embersill.ratelimit.settings import AnswerTable, RuleTable

CUSTOMER = re.compile(r"[0-9A-Fa-f]{16}")
MAX_TEXT_CHARS = 256  # of a domain, a key or a value
SECONDS_PER_UNIT = {1: 1.0, 2: 60.0, 3: 3600.0, 4: 86_400.0, 7: 604_800.0, 5: 2_592_000.0, 6: 31_536_000.0}
SECOND, MINUTE = (
    1,
    2,
)  # values of the protocol's enum, like the keys of SECONDS_PER_UNIT: WEEK was added later, as 7
MAX_REQUESTS_PER_UNIT = 1 << 32


class BadQuestion(Exception):
    """A query that violates the protocol or a bound (INVALID_ARGUMENT)."""


@dataclass(frozen=True, slots=True)
class Override:
    """The limit that a descriptor carries itself."""

    requests_per_unit: int
    unit: int


@dataclass(frozen=True, slots=True)
class Descriptor:
    """One descriptor: its ordered entries, its own hits (None: the query's), its own limit."""

    entries: tuple[tuple[str, str], ...]
    hits: int | None = None
    override: Override | None = None


@dataclass(frozen=True, slots=True)
class Status:
    """The answer on one descriptor. If no rule matches it, `name` is empty and there is no limit."""

    ok: bool
    name: str = ""
    requests_per_unit: int = 0
    unit: int = 0
    remaining: int = 0
    reset: float = 0.0  # seconds until it could be granted, or until the bucket is full again


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a query, with one status per descriptor."""

    ok: bool
    statuses: tuple[Status, ...]


class Answering:
    """Answers queries by the rules and with the verdicts of `decide`."""

    def __init__(self, table: AnswerTable, settings: Settings, decide: Callable[[Question], Verdict]) -> None:
        self.table, self.decide = table, decide
        self.plans = {p.name: p for p in settings.plans}
        self.gateways = settings.gateways
        self.rules: dict[str, list[RuleTable]] = {}
        for rule in table.rules:
            self.rules.setdefault(rule.domain, []).append(rule)
        self.asked = 0
        self.counts = {"questions": 0, "granted": 0, "refused": 0, "bad": 0, "shadow_refused": 0}

    def answer(self, domain: str, descriptors: Sequence[Descriptor], hits: int) -> Answer:
        """Answers a query; raises BadQuestion for an invalid one. Zero `hits` stands for one (RLS v3)."""
        self.counts["questions"] += 1
        try:
            self.check(domain, descriptors)
            found = [self.take(domain, descriptor, hits or 1) for descriptor in descriptors]
        except BadQuestion:
            self.counts["bad"] += 1
            raise
        takes = [take for take in found if isinstance(take, Take)]
        self.asked += 1
        denied = any(take is False for take in found)
        if denied:  # takes nothing for the other descriptors, and only reports their state
            takes = [Take(t.customer, t.plan, 0.0, t.width, True) for t in takes]
        verdict = self.decide(Question(self.asked, tuple(takes))) if takes else Verdict(self.asked, True, ())
        ok = verdict.granted and not denied
        self.counts["granted" if ok else "refused"] += 1
        states = iter(verdict.states)
        placed = iter(takes)
        return Answer(
            ok,
            tuple(
                Status(take is None)
                if not isinstance(take, Take)
                else self.status(next(placed), next(states))
                for take in found
            ),
        )

    def check(self, domain: str, descriptors: Sequence[Descriptor]) -> None:
        """Raises BadQuestion for an empty or oversized query."""
        if not domain or len(domain) > MAX_TEXT_CHARS:
            raise BadQuestion("the domain is empty or too long")
        if not 0 < len(descriptors) <= self.table.most_descriptors:
            raise BadQuestion(f"descriptors must be 1 to {self.table.most_descriptors}")
        for descriptor in descriptors:
            if not 0 < len(descriptor.entries) <= self.table.most_descriptors:
                raise BadQuestion("a descriptor has no entries or too many")
            if any(
                not key or max(len(key), len(value)) > MAX_TEXT_CHARS for key, value in descriptor.entries
            ):
                raise BadQuestion("an entry's key is empty, or it is too long")

    def take(self, domain: str, descriptor: Descriptor, hits: int) -> Take | None | bool:
        """The take for a descriptor; if no rule matches, None, or False where that means a refusal."""
        entries = dict(descriptor.entries)
        rule = next((r for r in self.rules.get(domain, ()) if matches(r, entries)), None)
        if rule is None:
            return None if self.table.unmatched == "allow" else False
        customer, plan = entries[rule.customer], self.plans.get(rule.plan or entries[rule.plan_from])
        if not CUSTOMER.fullmatch(customer):
            raise BadQuestion(f"the entry {rule.customer!r} is not a customer: 16 hex digits")
        if plan is None:
            raise BadQuestion(f"the entry {rule.plan_from!r} names no plan")
        customer = customer.lower()
        if descriptor.override is not None and rule.override != "ignore":
            if rule.override == "refuse":
                raise BadQuestion("this rule takes no limit from a descriptor")
            plan, customer = self.override_plan(descriptor.override, customer)
        own = hits if descriptor.hits is None else descriptor.hits
        return Take(
            customer,
            plan,
            own * rule.units,
            rule.spread or self.gateways,
            rule.mode == "shadow",
            rule.mode == "settle",
        )

    def override_plan(self, override: Override, customer: str) -> tuple[Plan, str]:
        """A plan and a throttle for a descriptor's own limit, separate from the customer's quota."""
        seconds = SECONDS_PER_UNIT.get(override.unit)
        if seconds is None or not 0 < override.requests_per_unit < MAX_REQUESTS_PER_UNIT:
            raise BadQuestion("a descriptor's limit has no unit or no number")
        rate, name = override.requests_per_unit / seconds, f"{override.requests_per_unit}/{override.unit}"
        plan = Plan(name, rate, float(override.requests_per_unit), 0, 0.0, 0.0, 1.0, 0.0, 1.0)
        return plan, f"{customer}|{name}"

    def status(self, take: Take, state: LimitState) -> Status:
        """The status of a descriptor, from the state of its limit."""
        if take.shadow and not state.granted:
            self.counts["shadow_refused"] += 1
        per, unit = per_unit(take.plan)
        remaining = int(min(state.remaining, 2.0**32 - 1)) if take.plan.rate > 0 else 0
        granted = state.granted or take.shadow
        return Status(granted, take.plan.name, per, unit, remaining, state.full_in if granted else state.wait)


def matches(rule: RuleTable, entries: dict[str, str]) -> bool:
    """Whether a descriptor with these entries has all that the rule requires."""
    if rule.customer not in entries or (rule.plan_from and rule.plan_from not in entries):
        return False
    return all(key in entries and value in ("*", entries[key]) for key, value in rule.match.items())


def per_unit(plan: Plan) -> tuple[int, int]:
    """A plan's rate as the protocol's integer: per second if that is whole, else per minute."""
    if plan.rate <= 0:
        return 0, 0
    if plan.rate == int(plan.rate):
        return int(plan.rate), SECOND
    return max(1, math.floor(plan.rate * 60.0)), MINUTE
