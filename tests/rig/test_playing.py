"""Deployments of processes with relays between them: faults are injected, and no rule breaks."""

from __future__ import annotations

import asyncio

import uvloop

from embersill.rig.deployment import Deployment
from embersill.rig.scenario_run import ScenarioRun, shape_of
from embersill.rig.scenarios import Scenario, read_scenario
from embersill.world.records import Fault


def run_scenario(scenario: Scenario) -> tuple[ScenarioRun, dict[str, object]]:
    async def run_all() -> tuple[ScenarioRun, dict[str, object]]:
        scenario_run = ScenarioRun(scenario, Deployment(shape_of(scenario)))
        async with asyncio.timeout(60.0):
            return scenario_run, await scenario_run.run()

    return uvloop.run(run_all())


def test_no_rule_breaks_under_link_and_process_faults() -> None:
    scenario_run, figures = run_scenario(
        read_scenario("""
        seconds = 6.0
        rate = 80.0
        drain_every = 0.8
        [shape]
        planners = 2
        relayed = ["@forwarder>@planner", "@forwarder>@backend"]
        [[faults]]
        what = "kill"
        who = ["p0"]
        at = 1.5
        seconds = 0.5
        [[faults]]
        what = "stop"
        who = ["p1"]
        at = 3.0
        seconds = 0.8
        [[drawn]]
        what = ["cut", "refuse", "swallow", "half", "delay"]
        ways = ["@forwarder>@planner", "@forwarder>@backend"]
        part = 0.2
        every = [0.4, 0.6]
        seconds = [0.2, 0.8]
        direction = "any"
        late = 0.05
        """)
    )
    assert not figures["breaches"] and not figures["bad_ends"], figures
    assert scenario_run.counts["kill"] == scenario_run.counts["stop"] == 1 and scenario_run.counts.total() > 9
    relays = scenario_run.deployment.relays.values()
    assert len(relays) == 3 * (2 + 4) and all(relay.counts["connections"] for relay in relays)
    assert sum(relay.counts["reset"] for relay in relays) or not scenario_run.counts["cut"]
    records = [record for record in scenario_run.deployment.audit.records if isinstance(record, Fault)]
    assert len(records) == sum(len(fault.ways) + len(fault.who) for fault in scenario_run.faults)


def test_gateways_of_one_level_reach_their_counter_over_relays() -> None:
    scenario_run, figures = run_scenario(
        read_scenario("""
        seconds = 3.0
        [shape]
        gateways = 2
        relayed = ["@gateway>counter", "@gateway>discovery"]
        [[faults]]
        what = "swallow"
        ways = ["@gateway>counter", "@gateway>discovery"]
        at = 0.5
        seconds = 1.5
        """)
    )
    assert not figures["breaches"] and figures["served"], figures
    assert scenario_run.deployment.relays["g0>counter"].counts["connections"]
