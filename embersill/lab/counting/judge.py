"""Quota oracle: checks quotas by the log of sent requests alone, independent of gateways, marks and sums.

For each customer and epoch it keeps the peak backlog: the most that any window sent beyond rate * length
(the recursion of Lindley 1952 for a queue's waiting time). It compares the peak with the stated bound for the
troubles that touched that epoch. Times are seconds of the shared clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from embersill.counting.bound import Case, allowed
from embersill.counting.terms import Terms

EPOCH_S = 60.0
TOLERANCE_UNITS = 1e-6
MIN_FREE_SHARE = 0.5  # of the burst; with less free, slightly outdated readings explain a refusal


@dataclass(slots=True)
class Customer:
    """A customer's parameters and what was observed of it."""

    case: Case
    ceiling_rate: float = 0.0
    ceiling_depth: float = 0.0
    epoch: int = -1
    backlog: float = 0.0  # most units beyond rate * length of any window that ends at `backlog_at`
    backlog_at: float = 0.0
    # units left of the quota if every gateway knew all use; what exceeds the quota takes nothing of it
    remaining: float = 0.0
    remaining_at: float = 0.0
    ceiling_level: float = 0.0
    ceiling_level_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Finding:
    """The worst window of a customer in an epoch, and the bound for it."""

    customer: str
    epoch: int
    peak_backlog: float  # units that the window had beyond rate * length
    bound: float


class QuotaOracle:
    """Checks quotas and ceilings by the requests that were sent, and refusals by the remaining quota."""

    def __init__(self, terms: Terms, troubles: Callable[[int], list[str]], slack: float) -> None:
        """`troubles(epoch)`: one name from counting/bound.py for each trouble that touched the epoch.

        `slack`: units by which a ceiling may be exceeded, from the deployment's settings.
        """
        self.terms, self.troubles, self.slack = terms, troubles, slack
        self.customers: dict[str, Customer] = {}
        self.worst: dict[str, Finding] = {}  # of the current epoch, by customer
        self.findings: list[Finding] = []
        self.breached_ceilings: list[tuple[str, float]] = []
        self.counts: Counter[str] = Counter()
        self.units = self.beyond_units = 0.0
        self.lowest_ceiling_level = 0.0

    def add(self, name: str, customer: Customer, now: float) -> None:
        """Adds a customer with its whole burst and ceiling available."""
        customer.remaining, customer.remaining_at = customer.case.burst, now
        customer.ceiling_level, customer.ceiling_level_at = customer.ceiling_depth, now
        self.customers[name] = customer

    def remaining_units(self, customer: Customer, now: float) -> float:
        """Returns the units that are left of the customer's quota."""
        case = customer.case
        return min(case.burst, customer.remaining + case.rate * (now - customer.remaining_at))

    def on_sent(self, name: str, units: float, now: float) -> float:
        """Records the first attempt of a request; returns the backlog after it."""
        customer = self.customers[name]
        epoch = int(now // EPOCH_S)
        if epoch != customer.epoch:
            self.close_epoch(name, customer)
            customer.epoch, customer.backlog, customer.backlog_at = epoch, 0.0, now
        customer.backlog = (
            max(0.0, customer.backlog - customer.case.rate * (now - customer.backlog_at)) + units
        )
        customer.backlog_at = now
        worst = self.worst.get(name)
        if worst is None or worst.peak_backlog < customer.backlog:
            self.worst[name] = Finding(name, epoch, customer.backlog, 0.0)
        remaining = self.remaining_units(customer, now)
        self.units += units
        self.beyond_units += max(units - remaining, 0.0)
        customer.remaining, customer.remaining_at = max(remaining - units, 0.0), now
        if customer.ceiling_rate > 0:
            level = (
                min(
                    customer.ceiling_depth,
                    customer.ceiling_level + customer.ceiling_rate * (now - customer.ceiling_level_at),
                )
                - units
            )
            customer.ceiling_level, customer.ceiling_level_at = level, now
            self.lowest_ceiling_level = min(self.lowest_ceiling_level, level)
            if level < -self.slack - TOLERANCE_UNITS:
                self.breached_ceilings.append((name, level))
        return customer.backlog

    def on_refused(self, name: str, units: float, now: float, trouble: str) -> bool:
        """Records a refusal; True if the quota had room: with the request no window has half a burst."""
        customer = self.customers[name]
        backlog = customer.backlog - customer.case.rate * (now - customer.backlog_at)
        backlog = backlog if now // EPOCH_S == customer.epoch else 0.0
        had_room = max(backlog, 0.0) + units <= MIN_FREE_SHARE * customer.case.burst
        self.counts[f"refused {trouble}"] += 1
        self.counts[f"with room {trouble}"] += had_room
        return had_room

    def on_request(self, trouble: str) -> None:
        """Counts a request that arrived during a trouble."""
        self.counts[f"asked {trouble}"] += 1

    def close_epoch(self, name: str, customer: Customer) -> None:
        """Ends a customer's epoch: compares its worst window with the bound."""
        worst = self.worst.pop(name, None)
        if worst is not None:
            bound = allowed(customer.case, self.terms, self.troubles(worst.epoch))
            self.findings.append(Finding(name, worst.epoch, worst.peak_backlog, bound))

    def finish(self) -> list[Finding]:
        """Ends the epochs of all customers; returns the findings of all epochs."""
        for name, customer in self.customers.items():
            self.close_epoch(name, customer)
        return self.findings

    def refused_with_room_share(self, trouble: str) -> float:
        """Returns the share of the requests during a trouble that were refused though the quota had room."""
        return self.counts[f"with room {trouble}"] / max(self.counts[f"asked {trouble}"], 1)
