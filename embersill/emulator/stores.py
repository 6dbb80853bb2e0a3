"""Quotas and ceilings by their definition, one token bucket for all gateways, and the figures of a run."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from embersill.emulator.demand import Customer, CustomerRequest


class TokenBucket:
    """A token bucket, full at first; a settlement may take its level below zero."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, 0.0

    def level_at(self, when: float) -> float:
        """Refills up to a time; returns the level."""
        self.level = min(self.burst, self.level + self.rate * (when - self.at))
        self.at = when
        return self.level

    def take(self, units: float, when: float) -> bool:
        """Takes the units if the level allows it; returns whether it did."""
        if self.level_at(when) < units - 1e-9:
            return False
        self.level -= units
        return True

    def settle(self, units: float, true_units: float, when: float) -> None:
        """Corrects an estimate that was taken: returns the excess up to the burst, or takes the rest."""
        self.level = min(self.level_at(when) + units - true_units, self.burst)


@dataclass(slots=True)
class Tally:
    """The worth of one plan's requests, by outcome."""

    # what a single gateway for all first attempts admits, plus the rest at `beyond_worth`
    offered: float = 0.0
    gained: float = 0.0  # served in time, less the cost of use beyond quotas
    within_quota: float = 0.0  # sent within the quota
    beyond_quota: float = 0.0  # sent beyond it
    refused_with_room: float = 0.0  # though the bucket held enough units
    refused: float = 0.0
    requested: float = 0.0


@dataclass(slots=True)
class Ledger:
    """All customers' buckets as they were used, and as a single gateway would have used them."""

    worth: dict[str, float]  # of a unit, by request class
    used: dict[str, TokenBucket] = field(default_factory=dict)
    ideal: dict[str, TokenBucket] = field(default_factory=dict)
    ceilings: dict[str, TokenBucket] = field(default_factory=dict)
    tallies: dict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))
    served: set[int] = field(default_factory=set)
    max_breach: float = 0.0  # most units by which a ceiling was exceeded

    def bucket(self, buckets: dict[str, TokenBucket], customer: Customer) -> TokenBucket:
        """A customer's quota bucket among these, created if needed."""
        bucket = buckets.get(customer.name)
        if bucket is None:
            bucket = buckets[customer.name] = TokenBucket(customer.plan.rate, customer.plan.burst)
        return bucket

    def worth_of(self, request: CustomerRequest) -> float:
        """What serving a request within its quota is worth."""
        return self.worth[request.klass] * request.customer.plan.worth_factor * request.units

    def record_request(self, request: CustomerRequest) -> None:
        """Records a customer's first attempt."""
        plan, tally = request.customer.plan, self.tallies[request.customer.plan.name]
        ideal = self.bucket(self.ideal, request.customer)
        tally.requested += self.worth_of(request)
        if ideal.take(request.units, request.at):
            ideal.settle(request.units, request.true_units, request.at)
            tally.offered += self.worth_of(request)
        else:
            tally.offered += plan.beyond_worth * self.worth_of(request)

    def record_send(self, request: CustomerRequest, when: float, useful: bool) -> bool:
        """Records a send; returns whether it was within the quota. `useful`: it is served within its aim."""
        plan, tally, worth = (
            request.customer.plan,
            self.tallies[request.customer.plan.name],
            self.worth_of(request),
        )
        if plan.ceiling_rate > 0:
            name = request.customer.name
            ceiling = self.ceilings.setdefault(name, TokenBucket(plan.ceiling_rate, plan.ceiling_depth))
            ceiling.level = ceiling.level_at(when) - request.units
            self.max_breach = max(self.max_breach, -ceiling.level)
        is_within = self.bucket(self.used, request.customer).take(request.units, when)
        if is_within:
            tally.within_quota += worth
        else:
            tally.beyond_quota += worth
            tally.gained -= plan.beyond_cost * worth
        if useful and request.number not in self.served:
            self.served.add(request.number)
            tally.gained += worth if is_within else plan.beyond_worth * worth
        return is_within

    def record_settlement(self, request: CustomerRequest, when: float) -> None:
        """Charges the true units of a request that was served."""
        self.bucket(self.used, request.customer).settle(request.units, request.true_units, when)

    def record_refusal(self, request: CustomerRequest, when: float) -> None:
        """Records a request that a gateway refused."""
        tally, worth = self.tallies[request.customer.plan.name], self.worth_of(request)
        tally.refused += worth
        if self.bucket(self.used, request.customer).level_at(when) >= request.units:
            tally.refused_with_room += worth
