"""A slowed tenant costs others nothing, and is slowed evenly over gateways, zones, callers and routes."""

from __future__ import annotations

import pytest

from embersill.edge.configuration.lapses import Slowed
from embersill.interface import Borrow, BorrowResult, Outcome, PeerLoad, Refuse, Send, TimerDue
from embersill.lab.edge.lapse_experiment import FAULTS, SLOWDOWN_METHODS, STEP_SHARES, compare_runs, simulate
from tests.edge.test_parts import actions_of, attempt_ended, make_gateway, make_request

HALF = {"t": Slowed(100.0, 100.0, 0.5)}


def test_further_attempts_of_a_slowed_tenant_take_nothing_from_the_others_budget() -> None:
    made = make_gateway(rate=200.0)
    made.slow(HALF, None)
    where = actions_of(made.handle(make_request(1, "r0"), 100.0), Send)[0].backend
    failed = made.handle(attempt_ended(1, 0, where, Outcome.ERROR), 100.0)
    # requests on "r0" may be retried
    assert not actions_of(failed, Send) and actions_of(failed, Refuse)[0].retry_after > 0
    where = actions_of(made.handle(make_request(2, "r0"), 100.0), Send)[0].backend
    # undelivered: this retry costs no budget
    assert actions_of(made.handle(attempt_ended(2, 0, where, Outcome.NO_CONNECTION), 100.0), Send)
    made.slow({}, None)
    where = actions_of(made.handle(make_request(3, "r0"), 100.0), Send)[0].backend
    assert actions_of(made.handle(attempt_ended(3, 0, where, Outcome.ERROR), 100.0), Send)


def test_a_slowed_tenant_waits_at_no_backend_before_others_and_is_given_its_token_back() -> None:
    made = make_gateway(rate=200.0)
    names = list(made.servers)
    made.handle(PeerLoad(dict.fromkeys(names, 3)), 100.0)  # two slots each, and one request that waits
    assert actions_of(made.handle(make_request(1), 100.0), Send)
    made.slow(HALF, None)
    before = made.throttles["t"].level
    refused = actions_of(made.handle(make_request(2), 100.0), Refuse)
    assert refused and not refused[0].over_quota and refused[0].retry_after > 0
    assert made.throttles["t"].level == pytest.approx(before)
    # a tenant that is not slowed may queue there
    assert actions_of(made.handle(make_request(3, tenant=""), 100.0), Send)
    made.handle(PeerLoad(dict.fromkeys(names, 1)), 100.0)
    assert actions_of(made.handle(make_request(4), 100.0), Send)


def test_a_slowed_tenant_is_held_for_a_moment_and_what_was_held_before_keeps_its_bound() -> None:
    made = make_gateway(rate=40.0)  # four gateways: ten requests/s and a bucket of ten at each
    for number in range(11):
        made.handle(make_request(number), 100.0)
    made.handle(BorrowResult("t", 0.0), 100.0)
    throttle = made.throttles["t"]
    assert [job.request.id for job in throttle.queue] == [10]  # a wait of 0.1 s, with a bound of 0.11 s
    made.slow({"t": Slowed(40.0, 40.0, 1.0)}, None)
    assert [sent.request for sent in actions_of(made.handle(TimerDue("rt"), 100.1001), Send)] == [10]
    # 0.1 s again, but the bound of a slowed tenant is 0.011 s
    assert actions_of(made.handle(make_request(21), 100.1001), Refuse)
    made.slow({}, None)
    made.handle(make_request(22), 100.1001)
    assert [job.request.id for job in throttle.queue] == [22]


def test_a_restarted_gateway_has_no_bank_of_its_own_to_begin_with() -> None:
    assert actions_of(make_gateway(rate=80.0).handle(make_request(1), 100.0), Send)
    made = make_gateway(rate=80.0, fresh=False).handle(make_request(1), 100.0)
    assert actions_of(made, Borrow) and not actions_of(made, Send)


@pytest.mark.parametrize("trouble", FAULTS)
def test_a_lapsed_tenant_meets_the_same_everywhere_and_nobody_else_feels_it(trouble: str) -> None:
    played, without = simulate(3, trouble), simulate(3, trouble, ordered=False)
    got = compare_runs(played, without)
    assert got["lost"] == got["doubled"] == got["steps_skipped"] == got["steps_repeated"] == 0
    assert got["steps_taken"] == len(STEP_SHARES) and got["overshoot"] <= 1.0
    assert got["evenness"] <= 0.05 and got["evenness_zones"] <= 0.05 and got["evenness_callers"] <= 0.05
    assert got["evenness_routes"] <= 0.05 and got["wait_p50_spread"] <= 0.1
    assert got["others_worth_ratio"] >= 0.99 and got["others_p99_ratio"] <= 1.05
    assert 0.5 < got["passed"] < 1.4


def test_the_experiment_finds_ways_that_are_uneven_or_pass_a_step() -> None:
    without = simulate(5, ordered=False)
    found = {way: compare_runs(simulate(5, method=way), without) for way in SLOWDOWN_METHODS[1:]}
    assert found["random shedding"]["overshoot"] > 1.0 and found["delay"]["overshoot"] > 1.0
    assert found["shrinking burst"]["overshoot"] > 1.0 and found["lower priority"]["overshoot"] > 1.0
    assert found["even tokens"]["evenness"] > 0.05
