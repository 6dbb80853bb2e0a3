"""The same sequence of requests through the throttle, a queried service, and a querying client."""

from __future__ import annotations

import pytest

from embersill.interface import AttemptEnded
from embersill.lab import agreement
from embersill.lab.agreement import Attempt, compare
from tests.ratelimit.test_service import run


def test_all_three_doors_say_the_same_and_hold_the_ceiling() -> None:
    async def test() -> None:
        told = await compare(1500)
        assert told["asking_differs"] == told["asked_differs"] == 0, told
        assert 0.2 * 1500 < told["passed"] < 0.8 * 1500  # the limits take effect, and admit requests
        assert 0.0 <= told["ceiling_lowest"] < 3.0

    run(test)


def test_a_difference_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    served = agreement.served_event
    calls = 0

    def forgets(number: int, send: object, one: Attempt) -> AttemptEnded:
        nonlocal calls
        calls += 1  # alternates between the two entry points: only one of them skips settlement
        return served(
            number,
            send,  # type: ignore[arg-type]
            Attempt(one.at, one.customer, one.plan, one.units, 0) if calls % 2 else one,
        )

    monkeypatch.setattr(agreement, "served_event", forgets)

    async def test() -> None:
        told = await compare(1500)
        assert told["asking_differs"] + told["asked_differs"] > 0

    run(test)
