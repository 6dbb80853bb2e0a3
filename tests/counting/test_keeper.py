"""Which calls a keeper makes, and how far it trusts the answers: counters in memory, no sockets."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from embersill.counting.keeper import Keeper
from embersill.counting.placement import place_of
from embersill.counting.terms import Terms, check_terms
from embersill.interface import Count, CounterResult, Outcome, SetTimer, TimerDue
from tests.counting.helpers import EPOCH_START_S, A, B, CounterStore, KeeperHarness, beat_together


def count_and_beat(units: float, *harnesses: KeeperHarness) -> None:
    """Four beats with a use by each gateway, while the counter loses nothing."""
    for _ in range(4):
        for harness in harnesses:
            harness.count(units)
            harness.beat()


def test_a_call_is_reported_once_with_its_number_and_total() -> None:
    harness = KeeperHarness()
    result = harness.count(3.0, number=7)
    assert result is not None and (result.outcome, result.total, result.call) == (Outcome.SERVED, 3.0, 7)
    assert not result.alone and harness.keeper.answered(1, Outcome.SERVED, 0.0, 9.0, harness.now) == []


def test_each_gateway_restores_its_own_units_once_in_a_counter_that_was_emptied() -> None:
    stores = {A: CounterStore()}
    first, second = KeeperHarness(0, 2, stores), KeeperHarness(1, 2, stores)
    count_and_beat(2.0, first, second)
    assert first.sum() == 16.0
    stores[A].names.clear()
    first.now += 0.5
    second.now += 0.5
    beat_together(first, second, times=3)
    # uncertain: what was added after the last mark that was read, perhaps after the loss
    uncertain_units = [b.keeper.counters[A].accounts[b.name()].uncertain_units for b in (first, second)]
    assert first.sum() + sum(uncertain_units) == 16.0 and max(uncertain_units) <= 2.0
    assert first.keeper.counters[A].losses == second.keeper.counters[A].losses == 1
    beat_together(first, second, times=8)
    assert first.sum() + sum(uncertain_units) == 16.0 and first.keeper.counters[A].losses == 1


@pytest.mark.parametrize("age", [1, 3, 7, 12])
def test_only_later_units_are_restored_in_a_counter_that_went_back(age: int) -> None:
    stores = {A: CounterStore()}
    first, second = KeeperHarness(0, 2, stores), KeeperHarness(1, 2, stores)
    snapshots: list[dict[str, float]] = []
    for _ in range(20):
        snapshots.append(dict(stores[A].names))
        for harness in (first, second):
            harness.count(2.0)
            harness.beat()
    stores[A].names = dict(snapshots[-age])
    beat_together(first, second, times=4)
    uncertain_units = sum(b.keeper.counters[A].accounts[b.name()].uncertain_units for b in (first, second))
    # each gateway is uncertain of what it added at the beat of the loss, and at the last beat
    assert 80.0 - 8.0 <= first.sum() <= 80.0 and 80.0 <= first.sum() + uncertain_units <= 80.0 + 8.0


def test_while_lost_sums_are_restored_no_sum_is_trusted_to_be_lower_than_before() -> None:
    stores = {A: CounterStore()}
    first, second = KeeperHarness(0, 2, stores), KeeperHarness(1, 2, stores)
    count_and_beat(5.0, first, second)
    stores[A].names.clear()
    first.beat()  # detects the loss and restores its own units; the other gateway has not yet
    result = first.count(1.0)
    # it last read 35 and has used 1 since; the other gateway added 5 after that
    assert result is not None and result.total == 36.0 and first.sum() < 30.0


def test_a_correction_waits_for_proof_and_is_dropped_after_a_loss() -> None:
    harness = KeeperHarness()
    count_and_beat(2.0, harness)
    harness.now += 3.0
    calls = len(harness.calls)
    assert harness.count(0.0, corrects=20.0) is not None and harness.sum() == 28.0
    assert [call.name[0] for call in harness.calls[calls:]] == ["~", "c"]  # the mark is read first
    harness.stores[A].names.clear()
    result = harness.count(0.0, corrects=20.0)
    assert result is not None and result.outcome is Outcome.TURNED_AWAY and result.alone
    harness.beat(4)
    assert harness.sum() <= 28.0  # its own units are restored, without another correction


def test_one_correction_at_a_time() -> None:
    harness = KeeperHarness()
    count_and_beat(2.0, harness)
    harness.now += 3.0
    harness.hold = True
    harness.count(0.0, corrects=20.0, number=1)
    result = harness.count(0.0, corrects=20.0, number=2)
    assert result is not None and result.call == 2 and result.outcome is Outcome.TURNED_AWAY


def test_a_loss_is_detected_after_beats_without_an_answer() -> None:
    """The counter is replaced while it is silent, so no read connects the marks before and after that."""
    harness = KeeperHarness()
    count_and_beat(2.0, harness)
    harness.outcome = Outcome.TIMED_OUT
    harness.beat(3)
    harness.stores[A].names.clear()
    harness.outcome = Outcome.SERVED
    harness.keeper.counters[A].quiet_until = 0.0
    harness.beat(2)
    assert harness.keeper.counters[A].losses == 1 and harness.sum() >= 6.0


def test_calls_that_may_have_been_added_stay_uncertain_until_their_answer_arrives() -> None:
    harness = KeeperHarness()
    count_and_beat(2.0, harness)
    harness.outcome, harness.adds_on_timeout = Outcome.TIMED_OUT, True
    harness.count(5.0, number=9)
    number = harness.calls[-1].id
    harness.outcome, harness.adds_on_timeout = Outcome.SERVED, False
    result = harness.count(1.0)
    assert (
        result is not None and result.total == 14.0 + 5.0
    )  # the sum holds 8, 5 and 1; as the 5 are uncertain they are charged once more
    harness.keeper.late(number, harness.now)
    result = harness.count(1.0)
    assert result is not None and result.total == 15.0
    harness.keeper.late(number, harness.now)  # a second answer to the same call
    assert harness.count(1.0).total == 16.0  # type: ignore[union-attr]


def test_a_silent_counter_is_not_called_until_a_beat_detects_its_recovery() -> None:
    harness = KeeperHarness()
    count_and_beat(1.0, harness)
    harness.outcome = Outcome.TIMED_OUT
    for _ in range(3):
        harness.count(1.0)
    calls = len(harness.calls)
    result = harness.count(1.0)
    assert result is not None and result.outcome is Outcome.NO_CONNECTION and result.alone
    assert len(harness.calls) == calls
    harness.outcome = Outcome.SERVED
    harness.beat()
    result = harness.count(1.0)
    assert result is not None and result.outcome is Outcome.SERVED


def test_failure_of_one_counter_does_not_affect_customers_of_the_other() -> None:
    harness = KeeperHarness(places=(A, B))
    customer_at_a = next(f"c{n}" for n in range(99) if place_of(f"c{n}", (A, B)) == A)
    customer_at_b = next(f"c{n}" for n in range(99) if place_of(f"c{n}", (A, B)) == B)
    harness.beat(2)
    for _ in range(5):
        harness.outcome = Outcome.TIMED_OUT
        result = harness.count(1.0, customer_at_a)
        assert result is not None and result.outcome is not Outcome.SERVED and result.alone
        harness.outcome = Outcome.SERVED
        result = harness.count(1.0, customer_at_b)
        assert result is not None and result.outcome is Outcome.SERVED
    assert harness.sum(customer_at_b, B) == 5.0 and harness.sum(customer_at_a, A) == 0.0


def test_names_move_with_their_sums_and_back_without_counting_twice() -> None:
    harness = KeeperHarness()
    count_and_beat(2.0, harness)
    harness.perform(harness.keeper.move((B,), harness.now))
    assert harness.sum(place=B) == 8.0
    harness.count(3.0)
    harness.beat()
    harness.perform(harness.keeper.move((A,), harness.now))
    assert harness.sum(place=A) == 11.0
    harness.beat(3)
    assert harness.sum(place=A) == 11.0 and harness.sum(place=B) == 11.0


def test_a_call_that_ends_at_the_former_counter_of_its_name_is_counted_at_the_present_one() -> None:
    harness = KeeperHarness()
    count_and_beat(2.0, harness)
    harness.hold = True
    harness.count(4.0, number=5)
    call = harness.held_calls[-1]
    harness.hold = False
    harness.perform(harness.keeper.move((B,), harness.now))
    harness.carry_out(call)
    assert harness.results[-1].call == 5 and harness.results[-1].outcome is Outcome.TIMED_OUT
    harness.beat(2)
    assert harness.sum(place=B) == 12.0


def test_a_split_counter_that_reunites_has_all_use_and_one_half_of_the_corrections() -> None:
    main_half, other_half = CounterStore(), CounterStore()
    first = KeeperHarness(0, stores={A: main_half}, gateways=2)
    second = KeeperHarness(1, stores={A: main_half}, gateways=2)
    for _ in range(5):
        first.count(2.0)
        second.count(2.0)
        beat_together(first, second)
    other_half.names = dict(main_half.names)
    second.stores = {A: other_half}
    for _ in range(10):
        first.count(2.0)
        second.count(1.0, corrects=3.0)
        beat_together(first, second)
    assert first.keeper.counters[A].presence.present_share(0, 2, first.now) == 0.5
    second.stores = {A: main_half}  # the sums of the other half are lost
    beat_together(first, second, times=6)
    # both together used 50; the half with corrections stood at 60, and so does the reunited sum
    assert 50.0 <= first.sum() <= 60.0 + 3.0


def test_an_absent_gateway_is_assumed_to_use_its_even_share() -> None:
    harness = KeeperHarness(gateways=2)
    other = KeeperHarness(1, gateways=2, stores=harness.stores)
    for _ in range(3):
        beat_together(harness, other)
    harness.beat(6)
    result = harness.count(1.0, rate=4.0)
    assert result is not None and result.total == pytest.approx(1.0 + 6.0 * 2.0, abs=2.1)
    result = harness.count(8.0, "d", rate=4.0, running=False)
    assert result is not None and result.total == 16.0  # the absent gateway is taken to demand as much


def test_limits_on_names_and_calls_have_a_defined_result() -> None:
    harness = KeeperHarness(terms=Terms(most_names=2, most_calls=3, repays_a_beat=1))
    harness.beat()
    for customer in "abcd":
        assert harness.count(1.0, customer).outcome is Outcome.SERVED  # type: ignore[union-attr]
    assert harness.keeper.unrecorded == 2
    harness.hold = True
    for _ in range(3):
        harness.count(1.0, "a")
    result = harness.count(1.0, "a")
    assert result is not None and result.outcome is Outcome.NO_CONNECTION and result.alone


def test_state_of_a_past_epoch_is_dropped() -> None:
    harness = KeeperHarness()
    count_and_beat(2.0, harness)
    harness.now = EPOCH_START_S + 61.0
    harness.beat()
    assert not harness.keeper.counters[A].accounts and harness.keeper.name_count == 0
    for _ in range(70):
        harness.beat()
    assert len(harness.keeper.counters[A].marks) <= 56 and not harness.keeper.in_flight


def test_a_stopping_gateway_adds_a_leaving_mark() -> None:
    harness = KeeperHarness(me=2, gateways=3)
    harness.beat()
    harness.perform(harness.keeper.leave(harness.now))
    assert harness.calls[-1].amount == 4.0 * 64


def test_beats_are_due_once_a_second_at_a_different_time_for_each_gateway() -> None:
    keepers = [Keeper(Terms(), me, 4, (A,)) for me in range(4)]
    due = [k.next_beat(EPOCH_START_S + 0.05) for k in keepers]
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
def test_invalid_terms_are_rejected_with_their_key(key: str, value: float) -> None:
    with pytest.raises(ValueError, match=key):
        check_terms(msgspec.structs.replace(Terms(), **{key: value}))


def test_rendezvous_hashing_moves_only_names_of_a_removed_counter() -> None:
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


def test_a_failure_for_one_name_alone_does_not_pause_calls_for_others() -> None:
    from tests.helpers import gateway

    module = gateway()
    for number in range(5):
        module.handle(CounterResult(f"x{number}.1", Outcome.NO_CONNECTION, 0.0, 0.0, True), 100.0 + number)
    totals = module.totals
    assert totals.quiet_until == 100.0 and totals.counted_part == 1.0 and totals.count_fails == 0
    module.handle(CounterResult("x.1", Outcome.NO_CONNECTION, 0.0, 0.0), 106.0)
    assert module.totals.quiet_until > 106.0


def test_a_count_names_its_customers_gateways_and_rate() -> None:
    from tests.helpers import gateway, request

    module = gateway(most_units=40.0)
    actions = module.handle(request(1), 100.0)
    count = next(a for a in actions if isinstance(a, Count))
    assert (count.first, count.width, count.rate, count.running, count.call) == (0, 2, 4.0, True, 1)


def test_units_whose_restoring_call_is_turned_away_are_restored_again() -> None:
    harness = KeeperHarness()
    count_and_beat(2.0, harness)
    harness.stores[A].names.clear()
    harness.now += 0.5
    harness.rejected_prefix = "c."
    harness.beat(2)
    assert harness.keeper.counters[A].losses == 1 and harness.sum() == 0.0
    harness.rejected_prefix = ""
    harness.beat(2)
    assert harness.sum() == 8.0


def test_a_correction_is_dropped_while_others_may_be_restoring_their_sums() -> None:
    harness = KeeperHarness()
    count_and_beat(2.0, harness)
    harness.stores[A].names.clear()
    harness.beat()  # detects the loss
    result = harness.count(0.0, corrects=20.0)
    assert result is not None and result.outcome is Outcome.TURNED_AWAY
    assert harness.sum() <= 8.0


class RepayingModule:
    """A decision module with `repays` set, at one gateway of two; its customer has a burst of 8 units."""

    def __init__(self) -> None:
        from embersill.control import Gateway
        from tests.helpers import SETTINGS, backend, backends

        self.gateway = Gateway(SETTINGS, 1, 6000.0, repays=True)
        self.gateway.handle(backends(backend("a"), backend("b", 1)), 6000.0)
        self.number = 0

    def request(self, now: float, units: float = 1.0) -> list[Any]:
        from tests.helpers import request

        self.number += 1
        return self.gateway.handle(request(self.number, units=units, deadline=now + 8.0), now)


def counts_among(actions: list[Any]) -> list[Count]:
    return [action for action in actions if isinstance(action, Count)]


def test_after_a_call_without_an_answer_at_most_the_even_share_is_left() -> None:
    module = RepayingModule()
    count = counts_among(module.request(6001.0))[0]
    module.gateway.handle(CounterResult(count.name, Outcome.SERVED, 0.001, 1.0, False, count.call), 6001.01)
    throttle = module.gateway.throttles["c"]
    assert throttle.share == 1.0 and throttle.level > 6.0
    count = counts_among(module.request(6001.5))[0]
    module.gateway.handle(CounterResult(count.name, Outcome.TIMED_OUT, 0.05, 0.0, False, count.call), 6001.55)
    assert throttle.share == 0.5 and throttle.level <= 4.0


def test_use_that_a_silent_counter_missed_is_counted_later_without_a_further_request() -> None:
    module = RepayingModule()
    count = counts_among(module.request(6001.0))[0]
    actions = module.gateway.handle(
        CounterResult(count.name, Outcome.NO_CONNECTION, 0.0, 0.0, True, count.call), 6001.0
    )
    due = [a for a in actions if isinstance(a, SetTimer) and a.key == "cc"]
    assert due and module.gateway.throttles["c"].uncounted == 1.0
    later = counts_among(module.gateway.handle(TimerDue("cc"), 6002.0))
    assert [count.amount for count in later] == [1.0]


def test_an_epoch_is_not_charged_for_uncounted_use_of_the_previous_one() -> None:
    module = RepayingModule()
    count = counts_among(module.request(6058.0))[0]
    module.gateway.handle(
        CounterResult(count.name, Outcome.NO_CONNECTION, 0.0, 0.0, True, count.call), 6058.0
    )
    later = counts_among(module.gateway.handle(TimerDue("cc"), 6061.0))
    assert all(count.name.endswith(".101") and count.amount == 0.0 for count in later)


def test_with_an_overloaded_counter_no_counted_request_stands_in_for_others() -> None:
    module = RepayingModule()
    module.gateway.totals.counted_part = 0.5
    amounts = [count.amount for n in range(20) for count in counts_among(module.request(6001.0 + n))]
    assert amounts and max(amounts) <= 20.0
    assert module.gateway.jobs[1].counted in (0.0, 1.0)
