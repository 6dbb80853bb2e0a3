"""What is asked of the counters, and how far their answers are believed: no sockets, plain sums."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from embersill.counting.keeper import Keeper
from embersill.counting.placement import place_of
from embersill.counting.terms import Terms, check_terms
from embersill.interface import Count, CounterResult, Outcome, SetTimer, TimerDue
from tests.counting.helpers import BEGIN, A, B, Bench, Store, together


def running(units: float, *benches: Bench) -> None:
    """Beats for some seconds, with uses in each: whole benches of a counter that loses nothing."""
    for _ in range(4):
        for bench in benches:
            bench.count(units)
            bench.beat()


def test_a_call_is_told_once_with_its_number_and_total() -> None:
    bench = Bench()
    told = bench.count(3.0, number=7)
    assert told is not None and (told.outcome, told.total, told.call) == (Outcome.SERVED, 3.0, 7)
    assert not told.alone and bench.keeper.answered(1, Outcome.SERVED, 0.0, 9.0, bench.now) == []


def test_a_counter_that_comes_back_empty_is_told_each_gateways_own_once() -> None:
    stores = {A: Store()}
    one, two = Bench(0, 2, stores), Bench(1, 2, stores)
    running(2.0, one, two)
    assert one.sum() == 16.0
    stores[A].names.clear()
    one.now += 0.5
    two.now += 0.5
    together(one, two, times=3)
    # all but what was told after the last mark that was seen: that may have come to either counter
    uncertain_units = [b.keeper.counters[A].accounts[b.name()].uncertain_units for b in (one, two)]
    assert one.sum() + sum(uncertain_units) == 16.0 and max(uncertain_units) <= 2.0
    assert one.keeper.counters[A].losses == two.keeper.counters[A].losses == 1
    together(one, two, times=8)
    assert one.sum() + sum(uncertain_units) == 16.0 and one.keeper.counters[A].losses == 1


@pytest.mark.parametrize("age", [1, 3, 7, 12])
def test_a_counter_that_goes_back_is_told_what_came_since_and_no_more(age: int) -> None:
    stores = {A: Store()}
    one, two = Bench(0, 2, stores), Bench(1, 2, stores)
    kept: list[dict[str, float]] = []
    for _ in range(20):
        kept.append(dict(stores[A].names))
        for bench in (one, two):
            bench.count(2.0)
            bench.beat()
    stores[A].names = dict(kept[-age])
    together(one, two, times=4)
    uncertain_units = sum(b.keeper.counters[A].accounts[b.name()].uncertain_units for b in (one, two))
    # each is uncertain of what it added at the beat of the loss, and of the last beat
    assert 80.0 - 8.0 <= one.sum() <= 80.0 and 80.0 <= one.sum() + uncertain_units <= 80.0 + 8.0


def test_while_lost_sums_are_told_anew_none_is_believed_to_be_lower_than_it_was() -> None:
    stores = {A: Store()}
    one, two = Bench(0, 2, stores), Bench(1, 2, stores)
    running(5.0, one, two)
    stores[A].names.clear()
    one.beat()  # finds it, and tells its own; the other has not
    told = one.count(1.0)
    # 35 stood there when it last read, and 1 it has passed on since: the other told 5 after that
    assert told is not None and told.total == 36.0 and one.sum() < 30.0


def test_a_correction_waits_for_proof_and_is_dropped_after_a_loss() -> None:
    bench = Bench()
    running(2.0, bench)
    bench.now += 3.0
    calls = len(bench.calls)
    assert bench.count(0.0, corrects=20.0) is not None and bench.sum() == 28.0
    assert [call.name[0] for call in bench.calls[calls:]] == ["~", "c"]  # the look at the mark comes first
    bench.stores[A].names.clear()
    told = bench.count(0.0, corrects=20.0)
    assert told is not None and told.outcome is Outcome.TURNED_AWAY and told.alone
    bench.beat(4)
    assert bench.sum() <= 28.0  # its own again, and no correction on top


def test_one_correction_at_a_time() -> None:
    bench = Bench()
    running(2.0, bench)
    bench.now += 3.0
    bench.hold = True
    bench.count(0.0, corrects=20.0, number=1)
    told = bench.count(0.0, corrects=20.0, number=2)
    assert told is not None and told.call == 2 and told.outcome is Outcome.TURNED_AWAY


def test_a_loss_is_found_after_beats_that_went_without_an_answer() -> None:
    """A counter that is swapped in a silence, and marks of before and after it: the link is missing."""
    bench = Bench()
    running(2.0, bench)
    bench.how = Outcome.TIMED_OUT
    bench.beat(3)
    bench.stores[A].names.clear()
    bench.how = Outcome.SERVED
    bench.keeper.counters[A].quiet_until = 0.0
    bench.beat(2)
    assert bench.keeper.counters[A].losses == 1 and bench.sum() >= 6.0


def test_calls_that_may_have_been_added_stay_an_interval_until_their_answer_comes() -> None:
    bench = Bench()
    running(2.0, bench)
    bench.how, bench.adds = Outcome.TIMED_OUT, True
    bench.count(5.0, number=9)
    number = bench.calls[-1].id
    bench.how, bench.adds = Outcome.SERVED, False
    told = bench.count(1.0)
    assert told is not None and told.total == 14.0 + 5.0  # 8 and 5 and 1 are there; 5 may not be
    bench.keeper.late(number, bench.now)
    told = bench.count(1.0)
    assert told is not None and told.total == 15.0
    bench.keeper.late(number, bench.now)  # an answer that comes twice
    assert bench.count(1.0).total == 16.0  # type: ignore[union-attr]


def test_a_silent_counter_is_left_alone_and_found_back_by_a_beat() -> None:
    bench = Bench()
    running(1.0, bench)
    bench.how = Outcome.TIMED_OUT
    for _ in range(3):
        bench.count(1.0)
    calls = len(bench.calls)
    told = bench.count(1.0)
    assert told is not None and told.outcome is Outcome.NO_CONNECTION and told.alone
    assert len(bench.calls) == calls
    bench.how = Outcome.SERVED
    bench.beat()
    told = bench.count(1.0)
    assert told is not None and told.outcome is Outcome.SERVED


def test_trouble_of_one_counter_of_two_leaves_the_others_customers_untouched() -> None:
    bench = Bench(places=(A, B))
    here = next(f"c{n}" for n in range(99) if place_of(f"c{n}", (A, B)) == A)
    there = next(f"c{n}" for n in range(99) if place_of(f"c{n}", (A, B)) == B)
    bench.beat(2)
    for _ in range(5):
        bench.how = Outcome.TIMED_OUT
        told = bench.count(1.0, here)
        assert told is not None and told.outcome is not Outcome.SERVED and told.alone
        bench.how = Outcome.SERVED
        told = bench.count(1.0, there)
        assert told is not None and told.outcome is Outcome.SERVED
    assert bench.sum(there, B) == 5.0 and bench.sum(here, A) == 0.0


def test_names_move_with_all_that_was_told_and_back_without_telling_it_twice() -> None:
    bench = Bench()
    running(2.0, bench)
    bench.perform(bench.keeper.move((B,), bench.now))
    assert bench.sum(place=B) == 8.0
    bench.count(3.0)
    bench.beat()
    bench.perform(bench.keeper.move((A,), bench.now))
    assert bench.sum(place=A) == 11.0
    bench.beat(3)
    assert bench.sum(place=A) == 11.0 and bench.sum(place=B) == 11.0


def test_a_call_that_ends_at_the_counter_its_name_has_left_is_told_where_it_is_now() -> None:
    bench = Bench()
    running(2.0, bench)
    bench.hold = True
    bench.count(4.0, number=5)
    out = bench.held[-1]
    bench.hold = False
    bench.perform(bench.keeper.move((B,), bench.now))
    bench.carry(out)
    assert bench.told[-1].call == 5 and bench.told[-1].outcome is Outcome.TIMED_OUT
    bench.beat(2)
    assert bench.sum(place=B) == 12.0


def test_two_halves_that_meet_have_each_gateways_sums_and_one_line_of_corrections() -> None:
    first, second = Store(), Store()
    one = Bench(0, stores={A: first}, gateways=2)
    two = Bench(1, stores={A: first}, gateways=2)
    for _ in range(5):
        one.count(2.0)
        two.count(2.0)
        together(one, two)
    second.names = dict(first.names)
    two.stores = {A: second}
    for _ in range(10):
        one.count(2.0)
        two.count(1.0, corrects=3.0)
        together(one, two)
    assert one.keeper.counters[A].presence.present_share(0, 2, one.now) == 0.5
    two.stores = {A: first}  # the other half's sums are gone
    together(one, two, times=6)
    # what both passed on is 50; the half that put its sum right stood at 60, and so does the whole now
    assert 50.0 <= one.sum() <= 60.0 + 3.0


def test_an_absent_gateway_is_taken_to_use_its_even_part() -> None:
    bench = Bench(gateways=2)
    other = Bench(1, gateways=2, stores=bench.stores)
    for _ in range(3):
        together(bench, other)
    bench.beat(6)
    told = bench.count(1.0, rate=4.0)
    assert told is not None and told.total == pytest.approx(1.0 + 6.0 * 2.0, abs=2.1)
    told = bench.count(8.0, "d", rate=4.0, running=False)
    assert told is not None and told.total == 16.0  # the demand of those heard stands for all


def test_bounds_have_an_answer() -> None:
    bench = Bench(terms=Terms(most_names=2, most_calls=3, repays_a_beat=1))
    bench.beat()
    for customer in "abcd":
        assert bench.count(1.0, customer).outcome is Outcome.SERVED  # type: ignore[union-attr]
    assert bench.keeper.unrecorded == 2
    bench.hold = True
    for _ in range(3):
        bench.count(1.0, "a")
    told = bench.count(1.0, "a")
    assert told is not None and told.outcome is Outcome.NO_CONNECTION and told.alone


def test_what_belongs_to_an_epoch_that_is_over_is_forgotten() -> None:
    bench = Bench()
    running(2.0, bench)
    bench.now = BEGIN + 61.0
    bench.beat()
    assert not bench.keeper.counters[A].accounts and bench.keeper.name_count == 0
    for _ in range(70):
        bench.beat()
    assert len(bench.keeper.counters[A].marks) <= 56 and not bench.keeper.in_flight


def test_one_that_leaves_says_so() -> None:
    bench = Bench(me=2, gateways=3)
    bench.beat()
    bench.perform(bench.keeper.leave(bench.now))
    assert bench.calls[-1].amount == 4.0 * 64


def test_beats_come_once_a_second_by_turns() -> None:
    keepers = [Keeper(Terms(), me, 4, (A,)) for me in range(4)]
    due = [k.next_beat(BEGIN + 0.05) for k in keepers]
    assert due == sorted(due) and len(set(due)) == 4
    assert keepers[3].next_beat(due[3]) == pytest.approx(due[3] + 1.0)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("absent_after", 1.0),
        ("settle", 0.0),
        ("silent_from", 0),
        ("back_off", 0.0),
        ("most_back_off", 0.1),
        ("most_names", 0),
        ("most_calls", 0),
        ("most_groups", 0),
        ("repays_a_beat", 0),
        ("release_after", 1.0),
    ],
)
def test_terms_that_make_no_sense_are_refused_by_name(key: str, value: float) -> None:
    with pytest.raises(ValueError, match=key):
        check_terms(msgspec.structs.replace(Terms(), **{key: value}))


def test_rendezvous_moves_only_what_was_at_the_place_that_goes() -> None:
    places = tuple(f"127.0.0.1:{9000 + n}" for n in range(5))
    customers = [f"{n:016x}" for n in range(4000)]
    before = {c: place_of(c, places) for c in customers}
    counts = [list(before.values()).count(p) for p in places]
    assert min(counts) > 600 and max(counts) < 1000
    assert all(place_of(c, tuple(reversed(places))) == before[c] for c in customers)
    after = {c: place_of(c, places[:-1]) for c in customers}
    assert all(after[c] == before[c] for c in customers if before[c] != places[-1])
    with pytest.raises(ValueError, match="no counter"):
        place_of("c", ())


def test_a_module_that_is_told_of_one_name_alone_goes_on_asking_for_others() -> None:
    from tests.helpers import gateway

    made = gateway()
    for number in range(5):
        made.handle(CounterResult(f"x{number}.1", Outcome.NO_CONNECTION, 0.0, 0.0, True), 100.0 + number)
    totals = made.totals
    assert totals.quiet_until == 100.0 and totals.counted_part == 1.0 and totals.count_fails == 0
    made.handle(CounterResult("x.1", Outcome.NO_CONNECTION, 0.0, 0.0), 106.0)
    assert made.totals.quiet_until > 106.0


def test_a_count_says_whose_it_is() -> None:
    from tests.helpers import gateway, request

    made = gateway(most_units=40.0)
    actions = made.handle(request(1), 100.0)
    asked = next(a for a in actions if isinstance(a, Count))
    assert (asked.first, asked.width, asked.rate, asked.running, asked.call) == (0, 2, 4.0, True, 1)


def test_what_is_told_anew_by_a_call_that_is_turned_away_is_told_again() -> None:
    bench = Bench()
    running(2.0, bench)
    bench.stores[A].names.clear()
    bench.now += 0.5
    bench.crowded = "c."
    bench.beat(2)
    assert bench.keeper.counters[A].losses == 1 and bench.sum() == 0.0
    bench.crowded = ""
    bench.beat(2)
    assert bench.sum() == 8.0


def test_a_correction_is_dropped_while_others_may_be_telling_theirs_anew() -> None:
    bench = Bench()
    running(2.0, bench)
    bench.stores[A].names.clear()
    bench.beat()  # finds the loss
    told = bench.count(0.0, corrects=20.0)
    assert told is not None and told.outcome is Outcome.TURNED_AWAY
    assert bench.sum() <= 8.0


class Clocked:
    """A module that repays, at one gateway of two, with a customer that has a burst of eight."""

    def __init__(self) -> None:
        from embersill.control import Gateway
        from tests.helpers import SETTINGS, backend, backends

        self.gateway = Gateway(SETTINGS, 1, 6000.0, repays=True)
        self.gateway.handle(backends(backend("a"), backend("b", 1)), 6000.0)
        self.number = 0

    def ask(self, now: float, units: float = 1.0) -> list[Any]:
        from tests.helpers import request

        self.number += 1
        return self.gateway.handle(request(self.number, units=units, deadline=now + 8.0), now)


def counts(actions: list[Any]) -> list[Count]:
    return [action for action in actions if isinstance(action, Count)]


def test_after_a_call_without_an_answer_no_more_than_the_even_part_is_left() -> None:
    clocked = Clocked()
    asked = counts(clocked.ask(6001.0))[0]
    clocked.gateway.handle(CounterResult(asked.name, Outcome.SERVED, 0.001, 1.0, False, asked.call), 6001.01)
    throttle = clocked.gateway.throttles["c"]
    assert throttle.share == 1.0 and throttle.level > 6.0
    asked = counts(clocked.ask(6001.5))[0]
    clocked.gateway.handle(
        CounterResult(asked.name, Outcome.TIMED_OUT, 0.05, 0.0, False, asked.call), 6001.55
    )
    assert throttle.share == 0.5 and throttle.level <= 4.0


def test_what_a_silence_kept_untold_is_told_though_no_request_comes() -> None:
    clocked = Clocked()
    asked = counts(clocked.ask(6001.0))[0]
    actions = clocked.gateway.handle(
        CounterResult(asked.name, Outcome.NO_CONNECTION, 0.0, 0.0, True, asked.call), 6001.0
    )
    due = [a for a in actions if isinstance(a, SetTimer) and a.key == "cc"]
    assert due and clocked.gateway.throttles["c"].uncounted == 1.0
    told = counts(clocked.gateway.handle(TimerDue("cc"), 6002.0))
    assert [count.amount for count in told] == [1.0]


def test_an_epoch_is_not_charged_for_what_the_one_before_was_not_told() -> None:
    clocked = Clocked()
    asked = counts(clocked.ask(6058.0))[0]
    clocked.gateway.handle(
        CounterResult(asked.name, Outcome.NO_CONNECTION, 0.0, 0.0, True, asked.call), 6058.0
    )
    told = counts(clocked.gateway.handle(TimerDue("cc"), 6061.0))
    assert all(count.name.endswith(".101") and count.amount == 0.0 for count in told)


def test_in_a_crowd_no_request_is_counted_for_others_that_are_told_themselves() -> None:
    clocked = Clocked()
    clocked.gateway.totals.counted_part = 0.5
    amounts = [count.amount for n in range(20) for count in counts(clocked.ask(6001.0 + n))]
    assert amounts and max(amounts) <= 20.0
    assert clocked.gateway.jobs[1].counted in (0.0, 1.0)
