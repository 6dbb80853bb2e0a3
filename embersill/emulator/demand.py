"""Random demand: which customer sends which request when to which gateway, from ranges that a site states.

Each customer has a plan, a width (consecutive gateways that receive its requests) and a load pattern: steady,
near its quota, far beyond it for long phases, or in spikes. Its requests are spread unevenly over its
gateways (Zipf's law) in an order that is redrawn every 8 to 23 s.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from dataclasses import dataclass, field

from embersill.interface import Plan

STEADY_LOAD = (0.15, 0.5)  # steady load as a share of the quota, drawn once per run
# shares of the customers, drawn once per run
NEAR_QUOTA_SHARE, OVERLOADING_SHARE, SPIKY_SHARE = (0.12, 0.25), (0.062, 0.14), (0.11, 0.24)
OVERLOAD_FACTOR, SPIKE_FACTOR = (2.2, 4.2), (2.9, 6.6)  # load in such a phase as a multiple of the quota
OVERLOAD_S, SPIKE_S, PHASE_GAP_S = (8.0, 20.0), (1.2, 4.7), (15.0, 24.0)
SHIFT_INTERVAL_S = (8.0, 23.0)  # time after which a customer's busiest gateways change
SKEW_EXPONENT = (0.3, 1.1)  # of the Zipf law by which a customer's requests are spread over its gateways
REQUEST_UNITS = (1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 3.0, 4.0, 6.0)  # all equally likely
MEAN_REQUEST_UNITS = sum(REQUEST_UNITS) / len(REQUEST_UNITS)


@dataclass(slots=True)
class Customer:
    """A customer with its load over time, and how its requests are spread over its gateways."""

    name: str
    plan: Plan
    first: int
    width: int
    phases: list[tuple[float, float, float]]  # start, end, units per second
    weights: list[float] = field(default_factory=list)  # cumulative, from the busiest gateway down
    # start, gateways from the busiest down
    gateway_orders: list[tuple[float, list[int]]] = field(default_factory=list)

    def pick_gateway(self, when: float, chance: random.Random) -> int:
        """Draws the gateway that receives a request."""
        current = bisect.bisect_right(self.gateway_orders, when, key=lambda o: o[0]) - 1
        index = bisect.bisect_left(self.weights, chance.random() * self.weights[-1])
        return self.gateway_orders[current][1][index]


@dataclass(slots=True)
class CustomerRequest:
    """A customer's request; `number` counts all of a run in order of time."""

    number: int
    at: float
    customer: Customer
    klass: str
    units: float  # as the request states; the true ones are known with the response
    true_units: float


@dataclass(frozen=True, slots=True)
class PlanShare:
    """A plan's share of the load within quotas, and the least and greatest width of its customers."""

    plan: Plan
    share: float
    widths: tuple[int, int]


def draw_customers(
    chance: random.Random, plan_shares: list[PlanShare], gateways: int, units_per_s: float, seconds: float
) -> list[Customer]:
    """Draws customers who together use about that many units per second within their quotas."""
    customers: list[Customer] = []
    steady = chance.uniform(*STEADY_LOAD)
    shares = (
        chance.uniform(*NEAR_QUOTA_SHARE),
        chance.uniform(*OVERLOADING_SHARE),
        chance.uniform(*SPIKY_SHARE),
    )
    for plan_share in plan_shares:
        load = 0.0
        while load < units_per_s * plan_share.share:
            plan = plan_share.plan
            quota_use, phases = draw_load(chance, plan.rate, seconds, steady, shares)
            width = chance.randint(*plan_share.widths)
            customer = Customer(
                f"{chance.getrandbits(32):016x}", plan, chance.randrange(gateways), width, phases
            )
            exponent = chance.uniform(*SKEW_EXPONENT)
            customer.weights = list(itertools.accumulate((n + 1) ** -exponent for n in range(width)))
            when = 0.0
            while when < seconds:
                order = [(customer.first + n) % gateways for n in range(width)]
                chance.shuffle(order)
                customer.gateway_orders.append((when, order))
                when += chance.uniform(*SHIFT_INTERVAL_S)
            customers.append(customer)
            load += quota_use
    return customers


def draw_load(
    chance: random.Random, rate: float, seconds: float, usual_load: float, shares: tuple[float, float, float]
) -> tuple[float, list[tuple[float, float, float]]]:
    """Draws a customer's load; returns its approximate use within the quota per second, and its phases."""
    near_quota, overloading, spiky = shares
    kind, steady = chance.random(), usual_load * chance.uniform(0.5, 1.5) * rate
    if kind < near_quota:
        return 0.9 * rate, [(0.0, seconds, rate * chance.uniform(0.85, 1.0))]
    if kind < near_quota + overloading + spiky:
        is_overloading = kind < near_quota + overloading
        phases, when = [], chance.uniform(-10.0, 10.0)
        before = 0.0
        while when < seconds:
            length_s = chance.uniform(*(OVERLOAD_S if is_overloading else SPIKE_S))
            factor = chance.uniform(*(OVERLOAD_FACTOR if is_overloading else SPIKE_FACTOR))
            if when > before:
                phases.append((before, when, steady))
            if when + length_s > 0:
                phases.append((max(when, 0.0), when + length_s, factor * rate))
            before = max(when + length_s, 0.0)
            when += length_s + chance.uniform(*PHASE_GAP_S) * (0.5 if is_overloading else 1.0)
        phases.append((before, seconds, steady))
        return (0.8 if is_overloading else 0.5) * rate, phases
    return steady, [(0.0, seconds, steady)]


def draw_requests(
    chance: random.Random, customers: list[Customer], classes: list[tuple[str, float]], guess_cv: float
) -> list[CustomerRequest]:
    """Draws all requests in order of time: a Poisson process within each phase."""
    sigma = math.sqrt(math.log(1.0 + guess_cv**2))
    names, weights_by_class = [name for name, _ in classes], [part for _, part in classes]
    requests: list[CustomerRequest] = []
    for customer in customers:
        for begin, end, rate in customer.phases:
            when = begin + chance.expovariate(rate / MEAN_REQUEST_UNITS)
            while when < end:
                units = chance.choice(REQUEST_UNITS)
                true = max(units * chance.lognormvariate(-sigma * sigma / 2, sigma), 0.1)
                klass = chance.choices(names, weights_by_class)[0]
                requests.append(CustomerRequest(0, when, customer, klass, units, true))
                when += chance.expovariate(rate / MEAN_REQUEST_UNITS)
    requests.sort(key=lambda request: request.at)
    for number, request in enumerate(requests):
        request.number = number
    return requests
