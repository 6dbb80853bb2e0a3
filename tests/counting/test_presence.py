"""Which gateways are present at a counter, by the marks in its sums."""

from __future__ import annotations

import pytest

from embersill.counting.presence import BASE, Presence, digits_of, group_of, mark_of, name_of
from embersill.counting.terms import Terms

TERMS = Terms(absent_after=2.5, release_after=10.0)


def marks_of(*gateways: int) -> float:
    return sum(mark_of(g) for g in gateways)


def test_marks_of_seven_gateways_per_name_are_decoded() -> None:
    assert digits_of(0, marks_of(0, 3, 6)) == {0: 1, 1: 0, 2: 0, 3: 1, 4: 0, 5: 0, 6: 1}
    assert digits_of(2, marks_of(15))[15] == 1 and group_of(15) == 2 and name_of(7, 2) == "~7.2"
    assert digits_of(0, mark_of(2, leaving=True) + mark_of(2))[2] == 5
    # seven decimal digits are exact in a counter
    assert (BASE - 1) * sum(mark_of(g) for g in range(7)) < 1e7


@pytest.mark.parametrize("total", [-1.0, 0.5, float(BASE**7), 1e9])
def test_a_total_that_is_no_sum_of_marks_is_ignored(total: float) -> None:
    assert digits_of(0, total) == {}
    presence = Presence(3, 0, TERMS)
    assert presence.record(0, total, 1.0) == {} and presence.present_share(0, 3, 1.0) == 1.0


def test_the_even_share_of_a_gateway_without_marks_is_reserved_until_its_release() -> None:
    presence = Presence(3, 0, TERMS)
    for second in range(4):
        presence.record(0, marks_of(0, 1, 2), float(second))
    for second in range(4, 30):
        now = float(second)
        presence.record(0, marks_of(0, 1), now)
        absent_s = now - 3.0
        if 2.5 < absent_s <= 10.0:
            assert presence.present_share(0, 3, now) == pytest.approx(2 / 3)
            assert presence.assumed_units(0, 3, 6.0, 0.0, now) == pytest.approx(2.0 * absent_s)
            assert presence.assumed_units(0, 2, 6.0, 0.0, now) == 0.0  # not one of this customer's gateways
        else:
            assert (
                presence.present_share(0, 3, now) == 1.0
                and presence.assumed_units(0, 3, 6.0, 0.0, now) == 0.0
            )


def test_a_returned_gateway_is_charged_until_it_had_time_to_restore_its_sums() -> None:
    presence = Presence(3, 0, Terms(settle=3.0))
    for second in range(10):
        presence.record(0, marks_of(0, 1, 2) if second < 2 or second == 9 else marks_of(0, 1), float(second))
    assert presence.returns == 3  # the two others' first marks, and the return
    assert presence.assumed_units(0, 3, 6.0, 0.0, 9.5) == pytest.approx(2.0 * 8.0)
    assert presence.assumed_units(0, 3, 6.0, 0.0, 12.1) == 0.0
    assert presence.split_since(1.0, 9.5) and not presence.split_since(9.5, 12.1)


def test_nothing_is_reserved_for_a_gateway_with_a_leaving_mark() -> None:
    presence = Presence(3, 0, TERMS)
    presence.record(0, marks_of(0, 1, 2), 0.0)
    presence.record(0, marks_of(0, 1) + mark_of(2) + mark_of(2, leaving=True), 1.0)
    for second in range(2, 9):
        presence.record(0, marks_of(0, 1), float(second))
        assert presence.present_share(0, 3, float(second)) == 1.0
        assert presence.assumed_units(0, 3, 6.0, 0.0, float(second)) == 0.0


def test_after_a_time_without_readings_no_gateway_is_absent_yet() -> None:
    presence = Presence(3, 0, TERMS)
    presence.record(0, marks_of(0, 1, 2), 0.0)
    presence.record(0, marks_of(0, 1), 20.0)  # the first reading after 20 s without one
    assert presence.present_share(0, 3, 20.0) == 1.0
    presence.record(0, marks_of(0, 1), 22.0)
    presence.record(0, marks_of(0, 1), 23.0)
    assert presence.present_share(0, 3, 23.0) == pytest.approx(2 / 3)


def test_only_groups_of_counted_customers_are_read_up_to_the_limit() -> None:
    presence = Presence(100, 10, Terms(most_groups=3))
    assert presence.groups_to_read(0.0) == [1]
    presence.watch(12, 4, 5.0)  # 12 to 15: groups 1 and 2
    presence.watch(98, 4, 9.0)  # 98, 99, 0, 1: groups 14 and 0
    presence.watch(40, 2, 9.0)
    assert presence.groups_to_read(1.0) == [1, 0, 2]
    assert presence.groups_to_read(6.0) == [1, 0, 5]
    assert presence.groups_to_read(10.0) == [1]
    assert presence.members(-1, 3) == []
