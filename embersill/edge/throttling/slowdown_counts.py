"""Request counts of slowed tenants and all others at one gateway, by step: admissions, rejections, waits.

Counted only while there are orders. Waits go into a histogram with fixed bounds, so that the counts of
several gateways can be added. No I/O.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping

import msgspec

from embersill.edge.configuration.document import Order

# histogram bounds; a last bucket is above all of them
BOUNDS_S = (0.0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
MAX_LABELS = 64  # per order; the oldest is dropped first


class Counts(msgspec.Struct):
    """Counts of requests; `waits`: the admitted ones by the bound up to which they waited."""

    let: int = 0
    refused: int = 0
    waits: list[int] = msgspec.field(default_factory=lambda: [0] * (len(BOUNDS_S) + 1))

    def add(self, other: Counts) -> None:
        """Adds another gateway's counts."""
        self.let += other.let
        self.refused += other.refused
        self.waits = [mine + theirs for mine, theirs in zip(self.waits, other.waits, strict=True)]

    def wait(self, part: float) -> float | None:
        """The wait quantile `part` of the admitted requests in seconds; None if it is above all bounds."""
        left = part * self.let
        for bound, count in zip(BOUNDS_S, self.waits, strict=False):
            left -= count
            if left <= 0:
                return bound
        return None

    def summary(self) -> dict[str, object]:
        """The counts as reports show them."""
        return {
            "asked": self.let + self.refused,
            "served": self.let,
            "refused": self.refused,
            "held": self.let - self.waits[0],
            "wait_p50_s": self.wait(0.5),
            "wait_p99_s": self.wait(0.99),
        }


Labelled = dict[str, tuple[Counts, Counts]]  # by step's label: the tenant's counts, all others' counts


def label(order: Order) -> str:
    """The label of an order's step, under which requests are counted."""
    if order["phase"] == "restored":
        return "restored"
    return f"step {order['step']}" if order["step"] >= 0 else "waiting"


class SlowdownCounts:
    """One gateway's counts for each order that it knows."""

    def __init__(self) -> None:
        self.orders: dict[str, Labelled] = {}
        self.now: dict[str, tuple[Counts, Counts]] = {}  # by tenant: the counts of the current step

    def follow(self, orders: Mapping[str, Order]) -> None:
        """Counts for these orders from now on, each under its current step."""
        for name in self.orders.keys() - orders.keys():
            del self.orders[name]
        self.now = {}
        for name, order in orders.items():
            labelled = self.orders.setdefault(name, {})
            if label(order) not in labelled and len(labelled) >= MAX_LABELS:
                del labelled[next(iter(labelled))]
            self.now[name] = labelled.setdefault(label(order), (Counts(), Counts()))

    def count_admitted(self, tenant: str, wait: float) -> None:
        """Counts a tenant's request that was admitted after so many seconds."""
        place = bisect_left(BOUNDS_S, round(wait, 9))
        for name, (own, others) in self.now.items():
            counts = own if name == tenant else others
            counts.let += 1
            counts.waits[place] += 1

    def count_rejected(self, tenant: str) -> None:
        """Counts a tenant's request that was rejected."""
        for name, (own, others) in self.now.items():
            (own if name == tenant else others).refused += 1

    def of(self, tenant: str) -> Labelled:
        """The counts for a tenant's order by step."""
        return self.orders.get(tenant, {})


def total_counts(all_of: Iterable[Labelled]) -> Labelled:
    """The sum of several gateways' counts, by label."""
    whole: Labelled = {}
    for labelled in all_of:
        for name, (own, others) in labelled.items():
            before = whole.setdefault(name, (Counts(), Counts()))
            before[0].add(own)
            before[1].add(others)
    return whole


def report_of(labelled: Labelled) -> dict[str, object]:
    """Counts in the form of `Report` in the OpenAPI file."""
    return {
        name: {"tenant": own.summary(), "others": others.summary()}
        for name, (own, others) in labelled.items()
    }
