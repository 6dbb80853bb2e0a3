"""Who asks for what, when and at which gateway: a day's first tries, drawn from ranges as a site states them.

Each customer has a plan, a width (gateways in a row that its requests come through) and a way of asking:
calm, near its quota, heavily beyond it for long spells, or in spikes. Its requests are dealt unevenly over
its gateways (a Zipf law) in an order that is drawn anew every some seconds.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from dataclasses import dataclass, field

from embersill.interface import Plan

CALM_USE = (0.15, 0.5)  # of its quota that a calm customer asks for, drawn for the day
NEAR, HEAVY, SPIKY = (0.12, 0.25), (0.062, 0.14), (0.11, 0.24)  # parts of all customers, drawn for the day
HEAVY_TIMES, SPIKE_TIMES = (2.2, 4.2), (2.9, 6.6)  # times their quota that these ask for
HEAVY_SPELL, SPIKE_SPELL, SPIKE_EVERY = (8.0, 20.0), (1.2, 4.7), (15.0, 24.0)  # seconds
SHIFT = (8.0, 23.0)  # seconds until the busiest gateways of a customer are others
SKEW = (0.3, 1.1)  # exponent of the law by which a customer's gateways share its requests
UNITS = (1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 3.0, 4.0, 6.0)  # of a request, each as likely
MEAN_UNITS = sum(UNITS) / len(UNITS)


@dataclass(slots=True)
class Customer:
    name: str
    plan: Plan
    first: int
    width: int
    spells: list[tuple[float, float, float]]  # from, until, units a second asked for
    weights: list[float] = field(default_factory=list)  # summed up, of its gateways in their order
    orders: list[tuple[float, list[int]]] = field(default_factory=list)  # from when, gateways, busiest first

    def gateway(self, when: float, chance: random.Random) -> int:
        at = bisect.bisect_right(self.orders, when, key=lambda o: o[0]) - 1
        place = bisect.bisect_left(self.weights, chance.random() * self.weights[-1])
        return self.orders[at][1][place]


@dataclass(slots=True)
class Try:
    """One request of a customer; `number` is its place among all."""

    number: int
    at: float
    customer: Customer
    klass: str
    units: float  # as it says; what it truly takes is told with its answer
    true_units: float


@dataclass(frozen=True, slots=True)
class Mix:
    """A plan's part of what is asked for inside quotas, and the part of all gateways its customers use."""

    plan: Plan
    share: float
    widths: tuple[int, int]


def draw_customers(
    chance: random.Random, mixes: list[Mix], gateways: int, units_a_second: float, seconds: float
) -> list[Customer]:
    """Customers who together ask for about so many units a second inside their quotas."""
    made: list[Customer] = []
    calm = chance.uniform(*CALM_USE)
    kinds = (chance.uniform(*NEAR), chance.uniform(*HEAVY), chance.uniform(*SPIKY))
    for mix in mixes:
        asked = 0.0
        while asked < units_a_second * mix.share:
            plan = mix.plan
            use, spells = draw_use(chance, plan.rate, seconds, calm, kinds)
            width = chance.randint(*mix.widths)
            one = Customer(f"{chance.getrandbits(32):016x}", plan, chance.randrange(gateways), width, spells)
            exponent = chance.uniform(*SKEW)
            one.weights = list(itertools.accumulate((n + 1) ** -exponent for n in range(width)))
            when = 0.0
            while when < seconds:
                order = [(one.first + n) % gateways for n in range(width)]
                chance.shuffle(order)
                one.orders.append((when, order))
                when += chance.uniform(*SHIFT)
            made.append(one)
            asked += use
    return made


def draw_use(
    chance: random.Random, rate: float, seconds: float, usual: float, kinds: tuple[float, float, float]
) -> tuple[float, list[tuple[float, float, float]]]:
    """About what a customer uses inside its quota, units a second, and the spells of its asking."""
    near, heavily, spiky = kinds
    kind, calm = chance.random(), usual * chance.uniform(0.5, 1.5) * rate
    if kind < near:
        return 0.9 * rate, [(0.0, seconds, rate * chance.uniform(0.85, 1.0))]
    if kind < near + heavily + spiky:
        heavy = kind < near + heavily
        spells, when = [], chance.uniform(-10.0, 10.0)
        before = 0.0
        while when < seconds:
            spell = chance.uniform(*(HEAVY_SPELL if heavy else SPIKE_SPELL))
            times = chance.uniform(*(HEAVY_TIMES if heavy else SPIKE_TIMES))
            if when > before:
                spells.append((before, when, calm))
            if when + spell > 0:
                spells.append((max(when, 0.0), when + spell, times * rate))
            before = max(when + spell, 0.0)
            when += spell + chance.uniform(*SPIKE_EVERY) * (0.5 if heavy else 1.0)
        spells.append((before, seconds, calm))
        return (0.8 if heavy else 0.5) * rate, spells
    return calm, [(0.0, seconds, calm)]


def draw_tries(
    chance: random.Random, customers: list[Customer], classes: list[tuple[str, float]], guess_cv: float
) -> list[Try]:
    """All first tries in order of time: Poisson within each spell."""
    sigma = math.sqrt(math.log(1.0 + guess_cv**2))
    names, parts = [name for name, _ in classes], [part for _, part in classes]
    found: list[Try] = []
    for customer in customers:
        for begin, end, rate in customer.spells:
            when = begin + chance.expovariate(rate / MEAN_UNITS)
            while when < end:
                units = chance.choice(UNITS)
                true = max(units * chance.lognormvariate(-sigma * sigma / 2, sigma), 0.1)
                klass = chance.choices(names, parts)[0]
                found.append(Try(0, when, customer, klass, units, true))
                when += chance.expovariate(rate / MEAN_UNITS)
    found.sort(key=lambda t: t.at)
    for number, one in enumerate(found):
        one.number = number
    return found
