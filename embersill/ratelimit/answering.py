"""What a question of the rate limit protocol asks of whom, by the operator's rules. No I/O.

Nothing is granted here: the decision module answers, from the throttles that requests use. This file turns
descriptors into takes and the module's verdict into what the protocol tells.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from embersill.interface import LimitState, Plan, Question, Settings, Take, Verdict
from embersill.ratelimit.settings import AnswerTable, RuleTable

CUSTOMER = re.compile(r"[0-9A-Fa-f]{16}")
MAX_TEXT_CHARS = 256  # characters of a domain, a key or a value
UNITS = {1: 1.0, 2: 60.0, 3: 3600.0, 4: 86_400.0, 7: 604_800.0, 5: 2_592_000.0, 6: 31_536_000.0}
SECOND, MINUTE = 1, 2  # by the protocol's enum, as the keys of UNITS: WEEK came later, as 7
MOST_PER_UNIT = 1 << 32


class BadQuestion(Exception):
    """A question that the protocol or a bound does not allow (INVALID_ARGUMENT)."""


@dataclass(frozen=True, slots=True)
class Override:
    """A descriptor's own limit."""

    requests_per_unit: int
    unit: int


@dataclass(frozen=True, slots=True)
class Descriptor:
    """One descriptor: its entries in their order, its own hits (None: the question's), its own limit."""

    entries: tuple[tuple[str, str], ...]
    hits: int | None = None
    override: Override | None = None


@dataclass(frozen=True, slots=True)
class Status:
    """One descriptor's part of an answer. With no rule for it `name` is empty and there is no limit."""

    ok: bool
    name: str = ""
    requests_per_unit: int = 0
    unit: int = 0
    remaining: int = 0
    reset: float = 0.0  # seconds: until it could be granted, or until all is there again


@dataclass(frozen=True, slots=True)
class Answer:
    ok: bool
    statuses: tuple[Status, ...]


class Answering:
    """Answers questions by rules and by whoever decides."""

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
        """Answers a question; BadQuestion for one out of form. `hits` of nought stands for one (RLS v3)."""
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
        if denied:  # nothing may be taken for the others: they are only looked at
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
        """The take that a descriptor stands for; None where no rule is for it, False where it is refused."""
        entries = dict(descriptor.entries)
        rule = next((r for r in self.rules.get(domain, ()) if fits(r, entries)), None)
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
            plan, customer = self.overridden(descriptor.override, customer)
        own = hits if descriptor.hits is None else descriptor.hits
        return Take(
            customer,
            plan,
            own * rule.units,
            rule.spread or self.gateways,
            rule.mode == "shadow",
            rule.mode == "settle",
        )

    def overridden(self, override: Override, customer: str) -> tuple[Plan, str]:
        """A plan, and a throttle, of a descriptor's own: it says nothing of the customer's quota."""
        seconds = UNITS.get(override.unit)
        if seconds is None or not 0 < override.requests_per_unit < MOST_PER_UNIT:
            raise BadQuestion("a descriptor's limit has no unit or no number")
        rate, name = override.requests_per_unit / seconds, f"{override.requests_per_unit}/{override.unit}"
        plan = Plan(name, rate, float(override.requests_per_unit), 0, 0.0, 0.0, 1.0, 0.0, 1.0)
        return plan, f"{customer}|{name}"

    def status(self, take: Take, state: LimitState) -> Status:
        if take.shadow and not state.granted:
            self.counts["shadow_refused"] += 1
        per, unit = per_unit(take.plan)
        remaining = int(min(state.remaining, 2.0**32 - 1)) if take.plan.rate > 0 else 0
        granted = state.granted or take.shadow
        return Status(granted, take.plan.name, per, unit, remaining, state.full_in if granted else state.wait)


def fits(rule: RuleTable, entries: dict[str, str]) -> bool:
    if rule.customer not in entries or (rule.plan_from and rule.plan_from not in entries):
        return False
    return all(key in entries and value in ("*", entries[key]) for key, value in rule.match.items())


def per_unit(plan: Plan) -> tuple[int, int]:
    """A plan's rate in the protocol's whole numbers: by the second where it is whole, else by the minute."""
    if plan.rate <= 0:
        return 0, 0
    if plan.rate == int(plan.rate):
        return int(plan.rate), SECOND
    return max(1, math.floor(plan.rate * 60.0)), MINUTE
