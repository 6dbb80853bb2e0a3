"""The checker of histories, on some whose answer is known."""

from __future__ import annotations

import math
import random

from embersill.world.histories import Op, is_linearizable


def test_what_came_one_after_the_other_is_in_order() -> None:
    assert is_linearizable([Op(0, 1, None, "a"), Op(2, 3, "a", "b"), Op(4, 5, "b")])
    assert is_linearizable([])


def test_a_stale_read_is_caught() -> None:
    assert not is_linearizable([Op(0, 1, None, "a"), Op(2, 3, "a", "b"), Op(4, 5, "a")])


def test_a_read_beside_a_write_may_find_either() -> None:
    for found in ("a", "b"):
        assert is_linearizable([Op(0, 1, None, "a"), Op(2, 6, "a", "b"), Op(3, 4, found)])


def test_two_reads_that_see_a_write_go_back_are_caught() -> None:
    ops = [Op(0, 1, None, "a"), Op(2, 9, "a", "b"), Op(3, 4, "b"), Op(5, 6, "a")]
    assert not is_linearizable(ops)


def test_a_lost_update_is_caught() -> None:
    assert not is_linearizable([Op(0, 1, None, "a"), Op(2, 4, "a", "b"), Op(3, 5, "a", "c")])


def test_an_unsure_write_may_take_effect_late_or_never() -> None:
    unsure = Op(0, math.inf, None, "a", sure=False)
    assert is_linearizable([unsure, Op(1, 2, None), Op(3, 4, "a")])
    assert is_linearizable([unsure, Op(1, 2, None), Op(3, 4, None)])
    assert not is_linearizable([unsure, Op(1, 2, "a"), Op(3, 4, None)])


def test_drawn_histories_of_a_true_register_pass_and_one_changed_read_fails() -> None:
    caught = 0
    for seed in range(40):
        chance, value, ops, now = random.Random(seed), None, list[Op](), 0.0
        values: list[str | None] = [None]
        for number in range(30):
            began, point = now + chance.random() * 0.2, now + 0.3
            ended = point + chance.random() * 0.4
            now = point
            if chance.random() < 0.5:
                ops.append(Op(began, ended, value, f"v{number}"))
                value = f"v{number}"
                values.append(value)
            else:
                ops.append(Op(began, ended, value))
        assert is_linearizable(ops)
        last = Op(now + 5, now + 6, chance.choice(values[:-3]))
        caught += not is_linearizable([*ops, last])
    assert caught == 40
