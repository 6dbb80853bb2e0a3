"""What a quota and a ceiling are by their definition: one store for all gateways, and the judge of a day."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from embersill.emulator.demand import Customer, CustomerRequest


class Store:
    """Units that fill at a rate up to a burst, from full; below nought after a settlement."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, 0.0

    def now(self, when: float) -> float:
        self.level = min(self.burst, self.level + self.rate * (when - self.at))
        self.at = when
        return self.level

    def take(self, units: float, when: float) -> bool:
        if self.now(when) < units - 1e-9:
            return False
        self.level -= units
        return True

    def settle(self, units: float, true_units: float, when: float) -> None:
        """What was taken by a guess is put right: given back up to the burst, or taken below nought."""
        self.level = min(self.now(when) + units - true_units, self.burst)


@dataclass(slots=True)
class Tally:
    """Worth of one plan's tries, by what became of it."""

    offered: float = 0.0  # what one gateway for all first tries lets in, and the beyond_worth of the rest
    gained: float = 0.0
    inside: float = 0.0  # sent on inside the quota
    beyond: float = 0.0  # sent on beyond it
    refused_with_room: float = 0.0  # though the store held it then
    refused: float = 0.0
    asked: float = 0.0


@dataclass(slots=True)
class Ledger:
    """Stores of all customers as they were really used, and as one gateway would have let them be used."""

    worth: dict[str, float]  # of a unit, by class
    used: dict[str, Store] = field(default_factory=dict)
    ideal: dict[str, Store] = field(default_factory=dict)
    ceilings: dict[str, Store] = field(default_factory=dict)
    tallies: dict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))
    served: set[int] = field(default_factory=set)
    breach: float = 0.0  # most units by which a ceiling was passed

    def store(self, kept: dict[str, Store], customer: Customer) -> Store:
        found = kept.get(customer.name)
        if found is None:
            found = kept[customer.name] = Store(customer.plan.rate, customer.plan.burst)
        return found

    def value(self, one: CustomerRequest) -> float:
        return self.worth[one.klass] * one.customer.plan.worth_factor * one.units

    def asked(self, one: CustomerRequest) -> None:
        plan, tally = one.customer.plan, self.tallies[one.customer.plan.name]
        ideal = self.store(self.ideal, one.customer)
        tally.asked += self.value(one)
        if ideal.take(one.units, one.at):
            ideal.settle(one.units, one.true_units, one.at)
            tally.offered += self.value(one)
        else:
            tally.offered += plan.beyond_worth * self.value(one)

    def sent(self, one: CustomerRequest, when: float, useful: bool) -> bool:
        """True where it was inside the quota. `useful`: its answer will come within its aim."""
        plan, tally, worth = one.customer.plan, self.tallies[one.customer.plan.name], self.value(one)
        if plan.ceiling_rate > 0:
            name = one.customer.name
            ceiling = self.ceilings.setdefault(name, Store(plan.ceiling_rate, plan.ceiling_depth))
            ceiling.level = ceiling.now(when) - one.units
            self.breach = max(self.breach, -ceiling.level)
        inside = self.store(self.used, one.customer).take(one.units, when)
        if inside:
            tally.inside += worth
        else:
            tally.beyond += worth
            tally.gained -= plan.beyond_cost * worth
        if useful and one.number not in self.served:
            self.served.add(one.number)
            tally.gained += worth if inside else plan.beyond_worth * worth
        return inside

    def settled(self, one: CustomerRequest, when: float) -> None:
        self.store(self.used, one.customer).settle(one.units, one.true_units, when)

    def refused(self, one: CustomerRequest, when: float) -> None:
        tally, worth = self.tallies[one.customer.plan.name], self.value(one)
        tally.refused += worth
        if self.store(self.used, one.customer).now(when) >= one.units:
            tally.refused_with_room += worth
