"""Records what was recently forwarded for each customer, and derives a safe lower bound of the tokens left.

A token bucket with depth d and rate r refills in d / r, after which older spends no longer affect its level.
So the spends of the last few such spans, replayed from an empty bucket, give a level that the true one is
never below, and that equals it if the bucket was full once within them. No level is ever sent over the wire,
hence none can be counted twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping

from embersill.interface import Plan
from embersill.tiers.parts import part_of

HORIZON_REFILL_TIMES = 2.0  # spends are kept for this many refill times of a bucket
MAX_HORIZON_S = 60.0  # but no longer than this
MAX_REPORTED_SPENDS = 16  # a report on all customers has to fit a link
MAX_SPENDS_PER_CUSTOMER = 64  # older ones are merged, as if spent at the later time


def horizon_of(plan: Plan) -> float:
    """How many seconds of spends a replay needs to tell what is left of a plan's quota and ceiling."""
    spans = [0.0]
    if plan.rate > 0:
        spans.append(plan.burst / plan.rate)
    if plan.ceiling_rate > 0:
        spans.append(plan.ceiling_depth / plan.ceiling_rate)
    return min(HORIZON_REFILL_TIMES * max(spans), MAX_HORIZON_S)


def replay(
    depth: float, rate: float, span: float, level: float, spends: Iterable[tuple[float, float]]
) -> float:
    """The level of a bucket that had `level` units `span` seconds ago, after spends given as age and units.

    The level never falls below zero after a spend: each was admitted by a bucket that held its units.
    """
    at = span
    for age, units in sorted(spends, reverse=True):
        if age <= span:
            level = max(min(depth, level + rate * (at - age)) - units, 0.0)
            at = age
    return min(depth, level + rate * at)


class Ledger:
    """The spends of one forwarder, or those granted by one planner. Bounded in customers and in spends."""

    def __init__(self, plans: Iterable[Plan], most_customers: int, now: float, parts: int = 1) -> None:
        self.horizons = {p.name: horizon_of(p) for p in plans if p.rate > 0 or p.ceiling_rate > 0}
        self.most_customers = most_customers
        self.since = now  # the record is complete from then on
        self.spends: dict[str, tuple[str, deque[tuple[float, float, str]]]] = {}  # time, units, forwarder
        self.by_part: list[set[str]] = [set() for _ in range(parts)]  # customers with spends, by part

    def record(self, customer: str, plan: str, units: float, now: float, forwarder: str = "") -> None:
        """Records a spend. `forwarder`: who forwarded it and will include it in its own report."""
        if plan not in self.horizons:
            return
        known = self.spends.pop(customer, None)  # keeps the customers in order of their last use
        if known is None:
            known = plan, deque()
            self.make_room(now)
            self.by_part[part_of(customer, len(self.by_part))].add(customer)
        self.spends[customer] = known
        spends = known[1]
        spends.append((now, units, forwarder))
        while spends[0][0] < now - self.horizons[plan]:
            spends.popleft()
        if len(spends) > MAX_SPENDS_PER_CUSTOMER:
            (_, first, older), (at, second, newer) = spends.popleft(), spends.popleft()
            spends.appendleft((at, first + second, older if older == newer else ""))

    def cancel_spend(self, customer: str, units: float, when: float) -> None:
        """Removes the spend made at `when`, none of which reached a backend.

        The spend is removed from the record instead of being refunded: a replay whose level is zero ignores
        what it can't deduct, and a refund would add units that it never deducted. A spend that was merged
        with others stays, which errs on the safe side.
        """
        known = self.spends.get(customer)
        spends = known[1] if known is not None else deque()
        spend = next((spend for spend in spends if spend[:2] == (when, units)), None)
        if spend is not None:
            spends.remove(spend)
            if not spends:
                self.drop(customer)

    def drop(self, customer: str) -> None:
        """Removes a customer with all of its spends."""
        del self.spends[customer]
        self.by_part[part_of(customer, len(self.by_part))].discard(customer)

    def make_room(self, now: float) -> None:
        """Drops customers whose spends have expired; at the bound also others, and then moves `since`."""
        while self.spends:
            customer = next(iter(self.spends))
            plan, spends = self.spends[customer]
            last = spends[-1][0]
            if last >= now - self.horizons[plan]:
                if len(self.spends) < self.most_customers:
                    return
                self.since = max(self.since, last)
            self.drop(customer)

    def spends_of(
        self, customer: str, now: float, reported: Mapping[str, float] | None = None
    ) -> list[tuple[float, float]]:
        """The spends of a customer, as pairs of age and units.

        `reported`: when each forwarder last reported its own spends. What it forwarded before is left out: it
        is part of that report, or was never executed.
        """
        known, since = self.spends.get(customer), reported or {}
        return (
            []
            if known is None
            else [
                (max(now - at, 0.0), units)
                for at, units, forwarder in known[1]
                if at > since.get(forwarder, float("-inf"))
            ]
        )

    def report(self, part: int, now: float) -> list[tuple[str, str, list[tuple[float, float]]]]:
        """Customer, plan and spends of the customers of a part whose spends have not expired."""
        return [
            (customer, plan, merge_oldest(self.spends_of(customer, now)))
            for customer in self.by_part[part]
            for plan, spends in (self.spends[customer],)
            if spends[-1][0] >= now - self.horizons[plan]
        ]


def merge_oldest(spends: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """At most MAX_REPORTED_SPENDS spends: merges the older ones, as if spent when the last of them was."""
    surplus = len(spends) - MAX_REPORTED_SPENDS
    if surplus <= 0:
        return spends
    older = spends[: surplus + 1]
    return [(older[-1][0], sum(units for _, units in older)), *spends[surplus + 1 :]]
