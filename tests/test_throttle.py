"""Cases of the throttle and of a gateway's slice of a quota, worked out by hand."""

from __future__ import annotations

from dataclasses import replace

import pytest

from embersill.control import Gateway
from embersill.fleet import COLD_LIFT
from embersill.interface import Count, CounterResult, Outcome, Refuse, Send, SetTimer, TimerDue
from embersill.throttle import Throttle
from embersill.work import EPS
from tests.helpers import CAPPED, PLAN, SETTINGS, Watch, backend, backends, ended, gateway, request


def sends(actions: list[object]) -> int:
    return sum(isinstance(a, Send) for a in actions)


def test_starts_full_then_holds_then_overflows() -> None:
    made = gateway()  # an even slice of two: rate 2, bank 4; an aim of 1 s allows a wait of 0.4 s
    for number in range(4):
        assert sends(list(made.handle(request(number), 100.0))) == 1
    # the bank is empty: one unit comes in half a second, beyond the longest wait
    actions = made.handle(request(4), 100.0)
    assert isinstance(actions[-1], Refuse) and actions[-1].retry_after == pytest.approx(0.5)
    # after 0.3 s there are 0.6 units: the rest comes in 0.2 s, so the request is held, and sent just then
    held = made.handle(request(5), 100.3)
    assert sends(list(held)) == 0
    timer = next(a for a in held if isinstance(a, SetTimer) and a.key.startswith("r"))
    assert timer.delay == pytest.approx(0.2)
    assert sends(list(made.handle(TimerDue(timer.key), 100.3 + timer.delay))) == 1


def test_large_request_leaves_when_the_bank_is_full() -> None:
    throttle = Throttle("c", PLAN, 4, 0.0, 0.0)  # rate 1, bank 2
    assert throttle.wait(5.0) == 0.0
    throttle.level = 1.0
    assert throttle.wait(5.0) == pytest.approx(1.0)


def test_held_units_do_not_count_as_bank() -> None:
    throttle = Throttle("c", PLAN, 2, 0.0, 0.0)
    throttle.level, throttle.held = -3.0, 3.0
    throttle.refill(10.0)
    assert throttle.level == pytest.approx(1.0)  # bank 4 less the 3 held units


def test_settling_goes_below_nought_and_back() -> None:
    made = gateway(settles=True)
    made.handle(request(1, units=4.0), 100.0)
    sent = next(iter(made.jobs.values())).attempts[0].server.backend.address
    made.handle(ended(1, 0, sent, Outcome.SERVED, true_units=7.0), 100.0)
    assert made.throttles["c"].level == pytest.approx(-3.0)


def test_reading_moves_the_slice_and_silence_returns_it() -> None:
    throttle = Throttle("c", PLAN, 2, 0.0, 0.0)
    made = gateway()
    throttle.own = 1.0
    made.totals.read_total(throttle, 4.0)  # smoothed to 2 of 4: own 1, and half of the unused 2
    assert throttle.rate == pytest.approx(2.0)
    throttle.own = 3.0
    made.totals.read_total(throttle, 14.0)  # smoothed to 8, above the quota: 4 times 3/8
    assert throttle.rate == pytest.approx(1.5)


def test_lost_counts_are_not_lost_demand() -> None:
    made = gateway()
    throttle = Throttle("c", PLAN, 2, 0.0, 0.0)
    throttle.own, throttle.added, throttle.total = 3.0, 3.0, 6.0
    made.totals.read_total(throttle, 0.0)  # less than this gateway added: the counter has lost the name
    assert throttle.total == 6.0


def test_counter_calls_add_then_read_one_name() -> None:
    watch = Watch(gateway())
    watch.tell(backends(backend("a")))
    for number in range(4):
        watch.tell(request(number, deadline=108.0))
    watch.run_to(102.0)
    assert len(watch.counts) == 2 and watch.counts[0] == watch.counts[1]


def test_failing_counter_is_left_alone() -> None:
    made = gateway()
    for number in range(4):
        made.handle(request(number), 100.0)
    made.handle(CounterResult("c.100", Outcome.NO_CONNECTION, 0.0, 0.0), 101.0)
    assert not any(isinstance(a, Count) for a in made.handle(TimerDue("cc"), 101.1))


def test_ceiling_grants_only_what_refilled_since_start() -> None:
    made = gateway()
    first = made.handle(request(1, plan="capped"), 100.0)  # just started: nothing refilled yet
    assert sends(list(first)) == 0
    later = gateway(now=50.0)
    assert sends(list(later.handle(request(1, plan="capped"), 100.0))) == 1
    assert Throttle("c", CAPPED, 2, 100.0, 99.0).cap == pytest.approx(3.0)


def test_a_new_throttle_is_not_swept_and_idle_full_ones_are() -> None:
    made = gateway()
    made.handle(request(1), 100.0)
    assert "c" in made.throttles
    where = made.jobs[1].attempts[0].server.backend.address
    made.handle(ended(1, 0, where, Outcome.SERVED), 100.1)
    for second in range(101, 106):
        made.handle(TimerDue("cc"), float(second))
    for number in range(2, 5):
        made.handle(request(number, customer=f"other{number}", deadline=204.0), 200.0)
    assert "c" not in made.throttles


def test_open_cap_is_held_by_each_gateway() -> None:
    made = gateway()  # two attempts in flight in all, over two gateways: one here
    assert sends(list(made.handle(request(1, plan="open"), 100.0))) == 1
    assert sends(list(made.handle(request(2, plan="open"), 100.0))) == 0
    where = made.jobs[1].attempts[0].server.backend.address
    assert sends(list(made.handle(ended(1, 0, where, Outcome.SERVED), 100.1))) == 1


@pytest.mark.parametrize("plan", ["rate", "burst"])
def test_settings_below_nought_are_named(plan: str) -> None:
    from dataclasses import replace

    wrong = replace(PLAN, rate=-1.0) if plan == "rate" else replace(PLAN, burst=-1.0)
    bad = replace(SETTINGS, plans=(wrong,))
    with pytest.raises(ValueError, match=plan):
        Gateway(bad, 1, 0.0)


def test_a_held_request_behind_the_head_is_answered_in_its_own_time() -> None:
    """Requests behind the head of the queue were not answered in time for clients with short deadlines."""
    watch = Watch(gateway())
    watch.tell(backends(backend("a"), backend("b", 1)))
    for number in range(4):
        watch.tell(request(number, "pay", deadline=106.0))
    watch.tell(request(4, "pay", deadline=106.0))  # held: half a second of 0.8 to wait
    watch.tell(request(5, "pay", deadline=101.04, units=0.01))  # behind it, may wait 0.52 s
    watch.gateway.throttles["c"].set_share(0.001, 100.0)  # then the slice moves to other gateways
    watch.run_to(100.9)
    assert isinstance(watch.answered[5], Refuse) and isinstance(watch.answered[4], Refuse)


def test_a_plan_that_pays_beyond_its_quota_is_refused_only_while_the_fleet_is_pressed() -> None:
    # refusing gains nothing: excess use costs nothing here, and may be within the quota at another gateway
    made = gateway(plans=(replace(PLAN, beyond_worth=0.3, beyond_cost=0.0),))
    for number in range(12):
        assert sends(list(made.handle(request(number), 100.0))) == 1
        where = made.jobs[number].attempts[0].server.backend.address
        made.handle(ended(number, 0, where, Outcome.SERVED), 100.0)
    assert made.throttles["c"].level > -EPS  # not charged to later requests
    made.fleet("").passed = 0.9
    assert isinstance(made.handle(request(20), 100.0)[-1], Refuse)


def test_a_cold_backend_takes_its_share_also_while_the_others_are_late() -> None:
    # late answers of the others cut its share to nothing just when a half restarted fleet was needed
    cold = replace(backend("b"), started=98.0)
    made = gateway(listed=backends(backend("a"), cold))
    share = made.servers["b"].cold_share(100.0, made.settings)
    assert 0.2 < share < 1.0
    for number in range(40):
        if where := [
            a.backend
            for a in made.handle(request(number, customer=str(number)), 100.0)
            if isinstance(a, Send)
        ]:
            made.handle(ended(number, 0, where[0], Outcome.SERVED, elapsed=3.0), 100.0)
    assert made.fleet("").cold_chance(made.servers["b"]) > share


def test_a_cold_backend_takes_more_while_warm_ones_are_late_and_no_more_than_its_bound() -> None:
    # judged by age alone, a backend 10 s old got half of a warm one's load at a third of its answer time
    cold = replace(backend("b"), started=98.0)
    made = gateway(listed=backends(*(backend(f"w{n}") for n in range(9)), cold))
    server = made.servers["b"]
    calm, share = made.fleet("").cold_chance(server), server.cold_share(100.0, made.settings)
    for _ in range(100):
        made.fleet("").judge(True, made.servers["w0"])
    assert 1.5 * calm < made.fleet("").cold_chance(server) <= COLD_LIFT * 1.02 * share + EPS
    for _ in range(100):
        made.fleet("").judge(False, made.servers["w0"])
    assert made.fleet("").cold_chance(server) < 1.01 * calm
    for _ in range(100):
        made.fleet("").judge(True, server)  # its own lateness does not raise its share
    assert made.fleet("").cold_chance(server) < 1.01 * calm


def test_what_is_learned_is_bounded_whatever_units_clients_name() -> None:
    made = gateway()
    for number in range(200):
        made.handle(request(number, customer=str(number), units=1.0 + number / 1000), 100.0)
        if number in made.jobs:
            where = made.jobs[number].attempts[0].server.backend.address
            made.handle(ended(number, 0, where, Outcome.SERVED), 100.0)
    assert 0 < len(made.fleet("").usual) <= 3


def test_a_ceiling_is_taken_from_when_something_comes_to_a_backend() -> None:
    """Ceiling 2 units a second, depth 4: three requests are sent, and none of them reaches a backend."""
    plan = replace(PLAN, rate=100.0, burst=400.0, ceiling_rate=2.0, ceiling_depth=4.0)
    throttle = Throttle("c", plan, 1, 100.0, 0.0)
    charges = [throttle.charge(1.0, 100.0) for _ in range(3)]
    assert throttle.cap == pytest.approx(1.0)
    throttle.refill(101.0)
    assert throttle.cap == pytest.approx(3.0)  # but nothing was delivered: the bucket stayed full
    for charge in charges:
        throttle.uncharge(charge, 101.0)
        throttle.charge(1.0, 101.0)
    assert throttle.cap == pytest.approx(1.0)  # adding the units back would make it 2, 3 and 3
    throttle.uncharge(charges[0], 101.0)  # it is no longer among the charges
    assert throttle.cap == pytest.approx(1.0)


def test_what_came_is_final_and_is_forgotten_in_order() -> None:
    plan = replace(PLAN, rate=100.0, burst=400.0, ceiling_rate=2.0, ceiling_depth=4.0)
    throttle = Throttle("c", plan, 1, 100.0, 0.0)
    first, second = throttle.charge(1.0, 100.0), throttle.charge(1.0, 100.0)
    first.final = True
    throttle.refill(100.5)
    third = throttle.charge(1.0, 100.5)
    assert list(throttle.charges) == [second, third]
    throttle.uncharge(second, 100.5)
    assert throttle.cap == pytest.approx(4.0 - 1.0)  # the first has refilled
