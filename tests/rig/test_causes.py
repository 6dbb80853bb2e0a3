"""The cause table: what one that sees all grants, how refusals are named, and that each is told in a play."""

from __future__ import annotations

from typing import Any

import pytest

from embersill.rig.books import Asked, Books
from embersill.rig.causes import UNTOLD, Causes, all_seeing
from embersill.rig.deployment import Deployment
from embersill.rig.playing import ScenarioRun, shape_of
from embersill.rig.scenarios import FaultTable, Scenario, ShapeTable
from embersill.rig.settings import lab_settings
from embersill.throttle import Throttle
from embersill.tiers.reasons import limiting_factor
from tests.bed import run

SETTINGS = lab_settings(1)
PLANS = {plan.name: plan for plan in SETTINGS.plans}


def tried(books: Books, at: float, plan: str = "basis", units: float = 1.0, budget: float = 2.0) -> str:
    asked = Asked(f"{len(books.tries)}", "lookup", plan, "c", units, "g0", at, at + budget)
    books.asked(asked)
    return asked.call_id


def test_one_that_sees_all_grants_what_a_bucket_holds_and_what_fills_in_time() -> None:
    books = Books(SETTINGS)
    burst = [tried(books, 100.0, units=4.0) for _ in range(4)]  # 16 units at once: the whole bucket
    held = tried(books, 100.0, units=4.0)  # 4 units a second: in a second
    late = tried(books, 100.0, units=4.0, budget=1.5)  # behind that, in two
    after = tried(books, 103.0, units=4.0)
    assert all_seeing(books) == {*burst, held, after}
    assert late not in all_seeing(books)


@pytest.mark.parametrize(
    ("level", "cap", "wanted"),
    [
        (24.0, 48.0, "backends"),
        (24.0, 0.0, "ceiling"),
        (0.0, 48.0, "quota"),
        (0.0, -24.0, "ceiling"),
    ],
)
def test_a_refusal_is_named_by_what_it_would_wait_for_longest(level: float, cap: float, wanted: str) -> None:
    throttle = Throttle("c", PLANS["pro"], 1, 100.0, 0.0)
    throttle.level, throttle.cap = level, cap
    assert limiting_factor(throttle, 2.0) == wanted
    assert limiting_factor(None, 2.0) == "backends"


def test_each_refusal_of_a_play_is_told_with_its_reason() -> None:
    ways = ["@forwarder>@planner"]
    scenario = Scenario(
        "all cut",
        3,
        5.0,
        150.0,
        0.0,
        ShapeTable(3, 2, 0, 4, 24, False, {}, ("@forwarder>@planner",)),
        [FaultTable("cut", 1.0, 3.0, ways=ways)],
    )
    told: dict[str, Any] = {}

    async def test() -> None:
        deployment = Deployment(shape_of(scenario, status_every=0.1, tell_refusals=True))
        heard: list[Causes] = []

        async def listen(deployment: Deployment) -> None:
            heard.append(Causes(deployment))

        figures = await ScenarioRun(scenario, deployment).run(listen)
        assert not figures["breaches"] and not figures["bad_ends"]
        told.update(heard[0].table(), refused=figures["refused"])

    run(test)
    reasons = told["refusals"]
    assert sum(row["refused"] for row in reasons.values()) == told["refused"]
    assert reasons.get(UNTOLD, {}).get("refused", 0) <= told["refused"] / 20
    assert any("alone" in why for why in reasons)
    assert 0.2 < told["lent_to_nobody"] < 0.9
    for plan in told["plans"].values():
        assert plan["sent"] <= plan["tries"]
