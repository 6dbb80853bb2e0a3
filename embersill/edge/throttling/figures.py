"""What slowed tenants and all others met at one gateway, by step: let on, turned away, how long they waited.

Counted only while there are orders. Waits fall into classes with fixed bounds, so that the counts of gateways
add up. No I/O.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping

import msgspec

from embersill.edge.configuration.document import Order

# seconds; a last class is over all of them
BOUNDS = (0.0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
MOST_LABELS = 64  # of an order, of which the oldest goes first


class Counts(msgspec.Struct):
    """`waits`: how many of those let on waited up to each bound, and more than all."""

    let: int = 0
    refused: int = 0
    waits: list[int] = msgspec.field(default_factory=lambda: [0] * (len(BOUNDS) + 1))

    def add(self, other: Counts) -> None:
        """Adds another gateway's counts."""
        self.let += other.let
        self.refused += other.refused
        self.waits = [one + more for one, more in zip(self.waits, other.waits, strict=True)]

    def wait(self, part: float) -> float | None:
        """Seconds that so large a part of those let on waited at most; None if that is over all bounds."""
        left = part * self.let
        for bound, count in zip(BOUNDS, self.waits, strict=False):
            left -= count
            if left <= 0:
                return bound
        return None

    def told(self) -> dict[str, object]:
        """The counts as reports show them."""
        return {
            "asked": self.let + self.refused,
            "served": self.let,
            "refused": self.refused,
            "held": self.let - self.waits[0],
            "wait_p50_s": self.wait(0.5),
            "wait_p99_s": self.wait(0.99),
        }


Labelled = dict[str, tuple[Counts, Counts]]  # by step's label: the tenant's own, all others'


def label(order: Order) -> str:
    """Under which stretch of an order requests are counted."""
    if order["phase"] == "restored":
        return "restored"
    return f"step {order['step']}" if order["step"] >= 0 else "waiting"


class Figures:
    """One gateway's counts, of every order that it knows."""

    def __init__(self) -> None:
        self.orders: dict[str, Labelled] = {}
        self.now: dict[str, tuple[Counts, Counts]] = {}  # by order's tenant: where counts go now

    def follow(self, orders: Mapping[str, Order]) -> None:
        """These orders stand from now on."""
        for name in self.orders.keys() - orders.keys():
            del self.orders[name]
        self.now = {}
        for name, order in orders.items():
            labelled = self.orders.setdefault(name, {})
            if label(order) not in labelled and len(labelled) >= MOST_LABELS:
                del labelled[next(iter(labelled))]
            self.now[name] = labelled.setdefault(label(order), (Counts(), Counts()))

    def let(self, tenant: str, wait: float) -> None:
        """A request of a tenant went on after so many seconds."""
        place = bisect_left(BOUNDS, round(wait, 9))
        for name, (own, others) in self.now.items():
            counts = own if name == tenant else others
            counts.let += 1
            counts.waits[place] += 1

    def turned_away(self, tenant: str) -> None:
        """A request of a tenant was refused."""
        for name, (own, others) in self.now.items():
            (own if name == tenant else others).refused += 1

    def of(self, tenant: str) -> Labelled:
        """What was counted under a tenant's order, by stretch."""
        return self.orders.get(tenant, {})


def added(all_of: Iterable[Labelled]) -> Labelled:
    """The counts of many gateways, by label."""
    whole: Labelled = {}
    for labelled in all_of:
        for name, (own, others) in labelled.items():
            before = whole.setdefault(name, (Counts(), Counts()))
            before[0].add(own)
            before[1].add(others)
    return whole


def told(labelled: Labelled) -> dict[str, object]:
    """As `Report` in the interface's file has them."""
    return {name: {"tenant": own.told(), "others": others.told()} for name, (own, others) in labelled.items()}
