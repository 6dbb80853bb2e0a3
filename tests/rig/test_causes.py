"""The cause table: what a global limiter grants, how refusals are named, and that each has a cause."""

from __future__ import annotations

from typing import Any

import pytest

from embersill.rig.audit import ClientRequest, TrafficAudit
from embersill.rig.causes import UNREPORTED, RefusalCauses, global_grants
from embersill.rig.deployment import Deployment
from embersill.rig.scenario_run import ScenarioRun, shape_of
from embersill.rig.scenarios import FaultTable, Scenario, ShapeTable
from embersill.rig.settings import lab_settings
from embersill.throttle import Throttle
from embersill.tiers.reasons import limiting_factor
from tests.bed import run

SETTINGS = lab_settings(1)
PLANS = {plan.name: plan for plan in SETTINGS.plans}


def add_request(
    audit: TrafficAudit, at: float, plan: str = "basis", units: float = 1.0, budget: float = 2.0
) -> str:
    request = ClientRequest(f"{len(audit.requests)}", "lookup", plan, "c", units, "g0", at, at + budget)
    audit.request_sent(request)
    return request.call_id


def test_global_limiter_grants_what_is_in_the_bucket_or_refills_in_time() -> None:
    audit = TrafficAudit(SETTINGS)
    burst = [add_request(audit, 100.0, units=4.0) for _ in range(4)]  # 16 units at once: the whole bucket
    held = add_request(audit, 100.0, units=4.0)  # 4 units a second: in a second
    late = add_request(audit, 100.0, units=4.0, budget=1.5)  # behind that, in two
    after = add_request(audit, 103.0, units=4.0)
    assert global_grants(audit) == {*burst, held, after}
    assert late not in global_grants(audit)


@pytest.mark.parametrize(
    ("level", "cap", "expected"),
    [
        (24.0, 48.0, "backends"),
        (24.0, 0.0, "ceiling"),
        (0.0, 48.0, "quota"),
        (0.0, -24.0, "ceiling"),
    ],
)
def test_limiting_factor_is_the_longest_wait(level: float, cap: float, expected: str) -> None:
    throttle = Throttle("c", PLANS["pro"], 1, 100.0, 0.0)
    throttle.level, throttle.cap = level, cap
    assert limiting_factor(throttle, 2.0) == expected
    assert limiting_factor(None, 2.0) == "backends"


def test_every_refusal_of_a_run_has_its_reported_reason() -> None:
    links = ["@forwarder>@planner"]
    scenario = Scenario(
        "all cut",
        3,
        5.0,
        150.0,
        0.0,
        ShapeTable(3, 2, 0, 4, 24, False, {}, ("@forwarder>@planner",)),
        [FaultTable("cut", 1.0, 3.0, ways=links)],
    )
    table: dict[str, Any] = {}

    async def test() -> None:
        deployment = Deployment(shape_of(scenario, status_every=0.1, tell_refusals=True))
        causes: list[RefusalCauses] = []

        async def listen(deployment: Deployment) -> None:
            causes.append(RefusalCauses(deployment))

        figures = await ScenarioRun(scenario, deployment).run(listen)
        assert not figures["breaches"] and not figures["bad_ends"]
        table.update(causes[0].table(), refused=figures["refused"])

    run(test)
    reasons = table["refusals"]
    assert sum(row["refused"] for row in reasons.values()) == table["refused"]
    assert reasons.get(UNREPORTED, {}).get("refused", 0) <= table["refused"] / 20
    assert any("alone" in why for why in reasons)
    assert 0.2 < table["lent_to_nobody"] < 0.9
    for plan in table["plans"].values():
        assert plan["sent"] <= plan["tries"]
