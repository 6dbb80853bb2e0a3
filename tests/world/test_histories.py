"""The linearizability checker, on histories whose verdict is known."""

from __future__ import annotations

import math
import random

from embersill.world.histories import Op, is_linearizable


def test_a_sequential_history_is_linearizable() -> None:
    assert is_linearizable([Op(0, 1, None, "a"), Op(2, 3, "a", "b"), Op(4, 5, "b")])
    assert is_linearizable([])


def test_a_stale_read_is_detected() -> None:
    assert not is_linearizable([Op(0, 1, None, "a"), Op(2, 3, "a", "b"), Op(4, 5, "a")])


def test_a_read_concurrent_with_a_write_may_return_either_value() -> None:
    for found in ("a", "b"):
        assert is_linearizable([Op(0, 1, None, "a"), Op(2, 6, "a", "b"), Op(3, 4, found)])


def test_reads_that_return_an_older_value_after_a_newer_one_are_detected() -> None:
    ops = [Op(0, 1, None, "a"), Op(2, 9, "a", "b"), Op(3, 4, "b"), Op(5, 6, "a")]
    assert not is_linearizable(ops)


def test_a_lost_update_is_detected() -> None:
    assert not is_linearizable([Op(0, 1, None, "a"), Op(2, 4, "a", "b"), Op(3, 5, "a", "c")])


def test_a_write_without_a_known_end_may_take_effect_late_or_never() -> None:
    pending = Op(0, math.inf, None, "a", sure=False)
    assert is_linearizable([pending, Op(1, 2, None), Op(3, 4, "a")])
    assert is_linearizable([pending, Op(1, 2, None), Op(3, 4, None)])
    assert not is_linearizable([pending, Op(1, 2, "a"), Op(3, 4, None)])


def test_random_histories_of_a_correct_register_pass_and_a_stale_read_fails() -> None:
    detected = 0
    for seed in range(40):
        chance, value, ops, now = random.Random(seed), None, list[Op](), 0.0
        values: list[str | None] = [None]
        for number in range(30):
            began, effect_at = now + chance.random() * 0.2, now + 0.3
            ended = effect_at + chance.random() * 0.4
            now = effect_at
            if chance.random() < 0.5:
                ops.append(Op(began, ended, value, f"v{number}"))
                value = f"v{number}"
                values.append(value)
            else:
                ops.append(Op(began, ended, value))
        assert is_linearizable(ops)
        stale_read = Op(now + 5, now + 6, chance.choice(values[:-3]))
        detected += not is_linearizable([*ops, stale_read])
    assert detected == 40
