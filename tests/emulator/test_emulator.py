"""The emulator: token buckets by their definition, an overloaded counter, and runs that repeat."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from benchmarks.scarce_counter import draw_fleet, measure
from embersill.control import Gateway
from embersill.emulator.counter import LimitedCounter
from embersill.emulator.demand import Customer, CustomerRequest
from embersill.emulator.stores import Ledger, TokenBucket
from embersill.interface import Outcome, Plan, Settings
from embersill.world.kernel import Kernel

PLAN = Plan("small", 2.0, 8.0, 0, 3.0, 10.0, 1.0, 0.0, 1.0)


def customer_request(number: int, at: float, units: float, true: float) -> CustomerRequest:
    return CustomerRequest(number, at, Customer("c", PLAN, 0, 2, []), "read", units, true)


def test_a_bucket_starts_full_and_fills_at_its_rate_up_to_its_burst() -> None:
    bucket = TokenBucket(2.0, 8.0)
    assert bucket.take(8.0, 1.0) and not bucket.take(0.5, 1.2) and bucket.take(0.5, 1.25)
    assert bucket.level_at(100.0) == 8.0 and not bucket.take(8.1, 100.0)


def test_the_ledger_counts_worth_within_beyond_and_refused_with_room() -> None:
    ledger = Ledger({"read": 3.0})
    first, second = customer_request(0, 0.0, 6.0, 9.0), customer_request(1, 0.1, 4.0, 4.0)
    for request in (first, second):
        ledger.record_request(request)
    assert ledger.record_send(first, 0.0, True)
    ledger.record_settlement(first, 0.0)  # three more than stated: the level is -1
    assert not ledger.record_send(second, 0.1, True)
    ledger.record_refusal(customer_request(2, 0.2, 1.0, 1.0), 0.2)
    ledger.record_refusal(customer_request(3, 3.0, 1.0, 1.0), 3.0)
    tally = ledger.tallies["small"]
    assert (tally.within_quota, tally.beyond_quota, tally.gained) == (18.0, 12.0, 18.0 - 12.0)
    assert (tally.refused, tally.refused_with_room) == (6.0, 3.0)
    assert tally.offered == 18.0  # a single gateway would not have admitted the second either
    assert ledger.max_breach == 0.0
    ledger.record_send(customer_request(4, 0.1, 8.0, 8.0), 0.1, True)
    assert ledger.max_breach == pytest.approx(8.0, abs=0.5)  # 18 units at once against a ceiling of 10


def test_an_overloaded_counter_adds_calls_that_timed_out_and_rejects_beyond_its_queue() -> None:
    kernel = Kernel(1)
    counter = LimitedCounter(kernel, 100.0, 1, 0.001, 0.03)
    results: list[tuple[Outcome, float]] = []
    for _ in range(60):
        counter.call("c.1", 1.0, 60.0, lambda outcome, total, took: results.append((outcome, total)))
    kernel.run(2.0)
    outcomes = [outcome for outcome, _ in results]
    assert len(results) == 60 and set(outcomes) == {Outcome.SERVED, Outcome.TIMED_OUT, Outcome.TURNED_AWAY}
    assert counter.timed_out == outcomes.count(Outcome.TIMED_OUT) and counter.rejected > 0
    assert counter.sums["c.1"][0] == 60 - counter.rejected  # calls that timed out are added too
    counter.call("c.1", 1.0, 60.0, lambda outcome, total, took: results.append((outcome, total)))
    kernel.run(3.0)
    assert results[-1] == (Outcome.SERVED, 61.0 - counter.rejected)


def test_a_run_repeats_exactly_and_keeps_its_ceilings() -> None:
    results = [measure(draw_fleet(7, 12, 120.0, 1.0, 4.0), 4.0) for _ in range(2)]
    for figures_found in results:
        figures_found.pop("cpu")
    assert results[0] == results[1]
    assert results[0]["ceiling_over"] <= 0.0 < results[0]["gained"] <= 1.2
    assert results[0]["calls_per_try"] > 0.1


def test_a_gateway_that_admits_everything_is_detected() -> None:
    def open_gateway(settings: Settings, seed: int, now: float) -> Gateway:
        plans = tuple(replace(p, rate=1e6, burst=1e6, ceiling_rate=0.0) for p in settings.plans)
        return Gateway(replace(settings, plans=plans), seed, now)

    fair, fleet = measure(draw_fleet(7, 12, 120.0, 1.0, 20.0), 20.0), draw_fleet(7, 12, 120.0, 1.0, 20.0)
    fleet.site.make_gateway = open_gateway
    figures_found = measure(fleet, 20.0)
    assert figures_found["beyond_quota_share"] > 1.5 * fair["beyond_quota_share"]
    assert figures_found["ceiling_over"] > 8.0 >= fair["ceiling_over"]


def test_drawn_requests_match_the_rate_and_the_gateways_of_customers() -> None:
    fleet = draw_fleet(3, 40, 300.0, 1.0, 6.0)
    rate = len(fleet.requests) / 6.0
    assert 0.5 * 300 < rate < 2 * 300
    chance = random.Random(1)
    for request in fleet.requests[:500]:
        gateway = request.customer.pick_gateway(request.at, chance)
        assert (gateway - request.customer.first) % 40 < request.customer.width
