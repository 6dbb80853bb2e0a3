"""The emulator itself: stores by their definition, a counter that gets crowded, and days that repeat."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from benchmarks.scarce_counter import day, figures
from embersill.control import Gateway
from embersill.emulator.counter import LimitedCounter
from embersill.emulator.demand import Customer, CustomerRequest
from embersill.emulator.stores import Ledger, Store
from embersill.interface import Outcome, Plan, Settings
from embersill.world.kernel import Kernel

PLAN = Plan("small", 2.0, 8.0, 0, 3.0, 10.0, 1.0, 0.0, 1.0)


def one(number: int, at: float, units: float, true: float) -> CustomerRequest:
    return CustomerRequest(number, at, Customer("c", PLAN, 0, 2, []), "read", units, true)


def test_a_store_starts_full_fills_at_its_rate_and_no_higher() -> None:
    store = Store(2.0, 8.0)
    assert store.take(8.0, 1.0) and not store.take(0.5, 1.2) and store.take(0.5, 1.25)
    assert store.now(100.0) == 8.0 and not store.take(8.1, 100.0)


def test_the_ledger_tells_what_is_inside_beyond_and_refused_with_room() -> None:
    ledger = Ledger({"read": 3.0})
    first, second = one(0, 0.0, 6.0, 9.0), one(1, 0.1, 4.0, 4.0)
    for asked in (first, second):
        ledger.asked(asked)
    assert ledger.sent(first, 0.0, True)
    ledger.settled(first, 0.0)  # three more than it said: the store stands at -1
    assert not ledger.sent(second, 0.1, True)
    ledger.refused(one(2, 0.2, 1.0, 1.0), 0.2)
    ledger.refused(one(3, 3.0, 1.0, 1.0), 3.0)
    tally = ledger.tallies["small"]
    assert (tally.inside, tally.beyond, tally.gained) == (18.0, 12.0, 18.0 - 12.0)
    assert (tally.refused, tally.refused_with_room) == (6.0, 3.0)
    assert tally.offered == 18.0  # the second would have found no more, had one gateway seen both
    assert ledger.breach == 0.0
    ledger.sent(one(4, 0.1, 8.0, 8.0), 0.1, True)
    assert ledger.breach == pytest.approx(8.0, abs=0.5)  # 18 units at once of a ceiling of 10


def test_a_crowded_counter_is_late_adds_all_the_same_and_turns_away_at_its_bound() -> None:
    kernel = Kernel(1)
    counter = LimitedCounter(kernel, 100.0, 1, 0.001, 0.03)
    told: list[tuple[Outcome, float]] = []
    for _ in range(60):
        counter.call("c.1", 1.0, 60.0, lambda outcome, total, took: told.append((outcome, total)))
    kernel.run(2.0)
    outcomes = [outcome for outcome, _ in told]
    assert len(told) == 60 and set(outcomes) == {Outcome.SERVED, Outcome.TIMED_OUT, Outcome.TURNED_AWAY}
    assert counter.timed_out == outcomes.count(Outcome.TIMED_OUT) and counter.rejected > 0
    assert counter.sums["c.1"][0] == 60 - counter.rejected  # what nobody waited for is added too
    counter.call("c.1", 1.0, 60.0, lambda outcome, total, took: told.append((outcome, total)))
    kernel.run(3.0)
    assert told[-1] == (Outcome.SERVED, 61.0 - counter.rejected)


def test_a_day_repeats_exactly_and_its_ceilings_hold() -> None:
    told = [figures(day(7, 12, 120.0, 1.0, 4.0), 4.0) for _ in range(2)]
    for found in told:
        found.pop("cpu")
    assert told[0] == told[1]
    assert told[0]["ceiling_over"] <= 0.0 < told[0]["gained"] <= 1.2
    assert told[0]["calls_per_try"] > 0.1


def test_a_gateway_that_lets_all_in_is_caught() -> None:
    def open_gateway(settings: Settings, seed: int, now: float) -> Gateway:
        plans = tuple(replace(p, rate=1e6, burst=1e6, ceiling_rate=0.0) for p in settings.plans)
        return Gateway(replace(settings, plans=plans), seed, now)

    fair, made = figures(day(7, 12, 120.0, 1.0, 20.0), 20.0), day(7, 12, 120.0, 1.0, 20.0)
    made.site.make = open_gateway
    found = figures(made, 20.0)
    assert found["beyond_quota_share"] > 1.5 * fair["beyond_quota_share"]
    assert found["ceiling_over"] > 8.0 >= fair["ceiling_over"]


def test_draws_follow_the_site() -> None:
    made = day(3, 40, 300.0, 1.0, 6.0)
    rate = len(made.tries) / 6.0
    assert 0.5 * 300 < rate < 2 * 300
    chance = random.Random(1)
    for t in made.tries[:500]:
        place = t.customer.pick_gateway(t.at, chance)
        assert (place - t.customer.first) % 40 < t.customer.width
