"""Who reaches the same counter, by marks in a sum."""

from __future__ import annotations

import pytest

from embersill.counting.presence import BASE, Presence, digits_of, group_of, mark_of, name_of
from embersill.counting.terms import Terms

TERMS = Terms(absent_after=2.5, release_after=10.0)


def present(*gateways: int) -> float:
    return sum(mark_of(g) for g in gateways)


def test_marks_are_read_back_for_seven_gateways_a_name() -> None:
    assert digits_of(0, present(0, 3, 6)) == {0: 1, 1: 0, 2: 0, 3: 1, 4: 0, 5: 0, 6: 1}
    assert digits_of(2, present(15))[15] == 1 and group_of(15) == 2 and name_of(7, 2) == "~7.2"
    assert digits_of(0, mark_of(2, leaving=True) + mark_of(2))[2] == 5
    # seven decimal digits are exact in a counter
    assert (BASE - 1) * sum(mark_of(g) for g in range(7)) < 1e7


@pytest.mark.parametrize("total", [-1.0, 0.5, float(BASE**7), 1e9])
def test_a_total_that_is_no_sum_of_marks_tells_nothing(total: float) -> None:
    assert digits_of(0, total) == {}
    made = Presence(3, 0, TERMS)
    assert made.record(0, total, 1.0) == {} and made.present_share(0, 3, 1.0) == 1.0


def test_a_gateway_without_marks_is_absent_and_its_even_part_is_held_until_it_is_released() -> None:
    made = Presence(3, 0, TERMS)
    for second in range(4):
        made.record(0, present(0, 1, 2), float(second))
    for second in range(4, 30):
        now = float(second)
        made.record(0, present(0, 1), now)
        away = now - 3.0
        if 2.5 < away <= 10.0:
            assert made.present_share(0, 3, now) == pytest.approx(2 / 3)
            assert made.assumed_units(0, 3, 6.0, 0.0, now) == pytest.approx(2.0 * away)
            assert made.assumed_units(0, 2, 6.0, 0.0, now) == 0.0  # it is none of this customer's
        else:
            assert made.present_share(0, 3, now) == 1.0 and made.assumed_units(0, 3, 6.0, 0.0, now) == 0.0


def test_one_that_comes_back_is_charged_until_it_had_the_time_to_tell() -> None:
    made = Presence(3, 0, Terms(settle=3.0))
    for second in range(10):
        made.record(0, present(0, 1, 2) if second < 2 or second == 9 else present(0, 1), float(second))
    assert made.returns == 3  # the two others' first marks, and the return
    assert made.assumed_units(0, 3, 6.0, 0.0, 9.5) == pytest.approx(2.0 * 8.0)
    assert made.assumed_units(0, 3, 6.0, 0.0, 12.1) == 0.0
    assert made.split_since(1.0, 9.5) and not made.split_since(9.5, 12.1)


def test_one_that_says_it_leaves_is_not_held_for() -> None:
    made = Presence(3, 0, TERMS)
    made.record(0, present(0, 1, 2), 0.0)
    made.record(0, present(0, 1) + mark_of(2) + mark_of(2, leaving=True), 1.0)
    for second in range(2, 9):
        made.record(0, present(0, 1), float(second))
        assert made.present_share(0, 3, float(second)) == 1.0
        assert made.assumed_units(0, 3, 6.0, 0.0, float(second)) == 0.0


def test_after_a_silence_of_this_side_nobody_has_been_missed() -> None:
    made = Presence(3, 0, TERMS)
    made.record(0, present(0, 1, 2), 0.0)
    made.record(0, present(0, 1), 20.0)  # the first marks that are read after 20 s without any
    assert made.present_share(0, 3, 20.0) == 1.0
    made.record(0, present(0, 1), 22.0)
    made.record(0, present(0, 1), 23.0)
    assert made.present_share(0, 3, 23.0) == pytest.approx(2 / 3)


def test_only_groups_that_customers_need_are_read_and_no_more_than_the_bound() -> None:
    made = Presence(100, 10, Terms(most_groups=3))
    assert made.groups_to_read(0.0) == [1]
    made.watch(12, 4, 5.0)  # 12 to 15: groups 1 and 2
    made.watch(98, 4, 9.0)  # 98, 99, 0, 1: groups 14 and 0
    made.watch(40, 2, 9.0)
    assert made.groups_to_read(1.0) == [1, 0, 2]
    assert made.groups_to_read(6.0) == [1, 0, 5]
    assert made.groups_to_read(10.0) == [1]
    assert made.members(-1, 3) == []
