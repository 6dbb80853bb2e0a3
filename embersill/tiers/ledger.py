"""What was sent on lately for each customer, and how much of a ceiling that surely leaves.

A token bucket with depth d and rate r forgets: whatever was passed longer ago than d / r no longer shows
in it once it had that time to fill. So the spends of the last few of these spans, replayed from an empty
bucket, give a level that the true one is never below, and that equals it wherever the bucket was full once
within them. No level is ever carried over the wire, hence none can be carried twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping

from embersill.interface import Plan
from embersill.tiers.parts import part_of

SPANS = 2.0  # times the span in which a bucket fills that spends are kept
LONGEST = 60.0  # seconds they are kept at most
MOST_REPORTED = 16  # spends of one customer in a report: it has to fit a link, whoever took part
MOST_SPENDS = 64  # of one customer: older ones are taken together, as if spent at the later time


def horizon_of(plan: Plan) -> float:
    """Seconds of spends from which a replay tells what is left of a plan's quota and ceiling."""
    spans = [0.0]
    if plan.rate > 0:
        spans.append(plan.burst / plan.rate)
    if plan.ceiling_rate > 0:
        spans.append(plan.ceiling_depth / plan.ceiling_rate)
    return min(SPANS * max(spans), LONGEST)


def replay(
    depth: float, rate: float, span: float, level: float, spends: Iterable[tuple[float, float]]
) -> float:
    """The level now of a bucket that had `level` units `span` seconds ago, after spends of age and units.

    It never counts below nought after a spend: each was let through by a bucket that held its units.
    """
    at = span
    for age, units in sorted(spends, reverse=True):
        if age <= span:
            level = max(min(depth, level + rate * (at - age)) - units, 0.0)
            at = age
    return min(depth, level + rate * at)


class Ledger:
    """The spends of one forwarder, or those that one planner granted. Bounded in customers and in spends."""

    def __init__(self, plans: Iterable[Plan], most_customers: int, now: float, parts: int = 1) -> None:
        self.horizons = {p.name: horizon_of(p) for p in plans if p.rate > 0 or p.ceiling_rate > 0}
        self.most_customers = most_customers
        self.since = now  # all that was spent from then on is known
        self.spends: dict[str, tuple[str, deque[tuple[float, float, str]]]] = {}  # when, units, over whom
        self.by_part: list[set[str]] = [set() for _ in range(parts)]  # the customers of these, by part

    def spent(self, customer: str, plan: str, units: float, now: float, who: str = "") -> None:
        """`who` sent it on: its own report will tell of it, too."""
        if plan not in self.horizons:
            return
        known = self.spends.pop(customer, None)  # the customer used last stands last
        if known is None:
            known = plan, deque()
            self.make_room(now)
            self.by_part[part_of(customer, len(self.by_part))].add(customer)
        self.spends[customer] = known
        spends = known[1]
        spends.append((now, units, who))
        while spends[0][0] < now - self.horizons[plan]:
            spends.popleft()
        if len(spends) > MOST_SPENDS:
            (_, first, whose), (later, second, other) = spends.popleft(), spends.popleft()
            spends.appendleft((later, first + second, whose if whose == other else ""))

    def unspent(self, customer: str, units: float, when: float) -> None:
        """Nothing of what was spent then came to any backend.

        It is taken out, not given back: a replay that stands at nought forgives what it can't take, and
        would give back what it never took. One that was taken together with others stays: that errs to the
        safe side.
        """
        known = self.spends.get(customer)
        spends = known[1] if known is not None else deque()
        spend = next((spend for spend in spends if spend[:2] == (when, units)), None)
        if spend is not None:
            spends.remove(spend)
            if not spends:
                self.drop(customer)

    def drop(self, customer: str) -> None:
        del self.spends[customer]
        self.by_part[part_of(customer, len(self.by_part))].discard(customer)

    def make_room(self, now: float) -> None:
        """Drops customers whose spends no longer matter; at the bound others too, and notes since when."""
        while self.spends:
            customer = next(iter(self.spends))
            plan, spends = self.spends[customer]
            last = spends[-1][0]
            if last >= now - self.horizons[plan]:
                if len(self.spends) < self.most_customers:
                    return
                self.since = max(self.since, last)
            self.drop(customer)

    def of(
        self, customer: str, now: float, reported: Mapping[str, float] | None = None
    ) -> list[tuple[float, float]]:
        """The spends of a customer, as pairs of age and units.

        `reported`: since when each who has told of its own anew. What it sent on before is left out: it
        stands in that report, or never came to anything.
        """
        known, since = self.spends.get(customer), reported or {}
        return (
            []
            if known is None
            else [
                (max(now - at, 0.0), units)
                for at, units, who in known[1]
                if at > since.get(who, float("-inf"))
            ]
        )

    def report(self, part: int, now: float) -> list[tuple[str, str, list[tuple[float, float]]]]:
        """Customer, plan and spends of all in a part that still matter."""
        return [
            (customer, plan, taken_together(self.of(customer, now)))
            for customer in self.by_part[part]
            for plan, spends in (self.spends[customer],)
            if spends[-1][0] >= now - self.horizons[plan]
        ]


def taken_together(spends: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """At most MOST_REPORTED spends: the older ones as one, as if spent when the last of them was."""
    surplus = len(spends) - MOST_REPORTED
    if surplus <= 0:
        return spends
    older = spends[: surplus + 1]
    return [(older[-1][0], sum(units for _, units in older)), *spends[surplus + 1 :]]
