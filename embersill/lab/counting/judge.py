"""Whether quotas held, by the log of what was sent on alone: it knows nothing of gateways, marks or sums.

For each customer and epoch the most that any window passed beyond rate * length is kept as it comes (the
recursion of Lindley 1952 for a queue's waiting time), and held against the stated bound for the troubles that
touched that epoch. Times are seconds of the shared clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from embersill.counting.bound import Case, allowed
from embersill.counting.terms import Terms

EPOCH = 60.0
EPS = 1e-6
ROOM = 0.5  # of the burst that is free: with less, readings a moment old explain a refusal


@dataclass(slots=True)
class Customer:
    """A customer's figures, and what is seen of it."""

    case: Case
    ceiling_rate: float = 0.0
    ceiling_depth: float = 0.0
    epoch: int = -1
    debt: float = 0.0  # most that a window up to `at` has beyond rate * length
    at: float = 0.0
    room: float = 0.0  # of the quota, if all gateways had known all: what is beyond takes nothing of it
    room_at: float = 0.0
    cap: float = 0.0
    cap_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Finding:
    customer: str
    epoch: int
    beyond: float  # units that a window had beyond rate * length
    bound: float


class Judge:
    """`troubles(epoch)` names the troubles, one for each that touched an epoch, as in counting/bound.py."""

    def __init__(self, terms: Terms, troubles: Callable[[int], list[str]], slack: float) -> None:
        """`slack`: units by which a ceiling may be passed, from the site's own rules."""
        self.terms, self.troubles, self.slack = terms, troubles, slack
        self.customers: dict[str, Customer] = {}
        self.worst: dict[str, Finding] = {}  # of the epoch that is open, by customer
        self.findings: list[Finding] = []
        self.breached_ceilings: list[tuple[str, float]] = []
        self.counts: Counter[str] = Counter()
        self.units = self.beyond_units = 0.0
        self.lowest_cap = 0.0

    def add(self, name: str, customer: Customer, now: float) -> None:
        customer.room, customer.room_at = customer.case.burst, now
        customer.cap, customer.cap_at = customer.ceiling_depth, now
        self.customers[name] = customer

    def room_at(self, customer: Customer, now: float) -> float:
        case = customer.case
        return min(case.burst, customer.room + case.rate * (now - customer.room_at))

    def passed(self, name: str, units: float, now: float) -> float:
        """A request's units are sent on for the first time; tells the window's excess after it."""
        customer = self.customers[name]
        epoch = int(now // EPOCH)
        if epoch != customer.epoch:
            self.close(name, customer)
            customer.epoch, customer.debt, customer.at = epoch, 0.0, now
        customer.debt = max(0.0, customer.debt - customer.case.rate * (now - customer.at)) + units
        customer.at = now
        worst = self.worst.get(name)
        if worst is None or worst.beyond < customer.debt:
            self.worst[name] = Finding(name, epoch, customer.debt, 0.0)
        room = self.room_at(customer, now)
        self.units += units
        self.beyond_units += max(units - room, 0.0)
        customer.room, customer.room_at = max(room - units, 0.0), now
        if customer.ceiling_rate > 0:
            level = (
                min(customer.ceiling_depth, customer.cap + customer.ceiling_rate * (now - customer.cap_at))
                - units
            )
            customer.cap, customer.cap_at = level, now
            self.lowest_cap = min(self.lowest_cap, level)
            if level < -self.slack - EPS:
                self.breached_ceilings.append((name, level))
        return customer.debt

    def refused(self, name: str, units: float, now: float, trouble: str) -> bool:
        """A request is refused; True if there was clearly room: with it no window has half a burst."""
        customer = self.customers[name]
        debt = customer.debt - customer.case.rate * (now - customer.at)
        debt = debt if now // EPOCH == customer.epoch else 0.0
        had = max(debt, 0.0) + units <= ROOM * customer.case.burst
        self.counts[f"refused {trouble}"] += 1
        self.counts[f"with room {trouble}"] += had
        return had

    def asked(self, trouble: str) -> None:
        self.counts[f"asked {trouble}"] += 1

    def close(self, name: str, customer: Customer) -> None:
        """An epoch is over for a customer: its worst window is held against the bound."""
        worst = self.worst.pop(name, None)
        if worst is not None:
            bound = allowed(customer.case, self.terms, self.troubles(worst.epoch))
            self.findings.append(Finding(name, worst.epoch, worst.beyond, bound))

    def close_all(self) -> list[Finding]:
        for name, customer in self.customers.items():
            self.close(name, customer)
        return self.findings

    def room_share(self, trouble: str) -> float:
        """Of the tries in a trouble, those refused though their customer had room."""
        return self.counts[f"with room {trouble}"] / max(self.counts[f"asked {trouble}"], 1)
