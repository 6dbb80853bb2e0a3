"""Whole deployments of processes with relays between them: the faults happen, and no rule breaks."""

from __future__ import annotations

import asyncio

import uvloop

from embersill.rig.deployment import Deployment
from embersill.rig.playing import ScenarioRun, shape_of
from embersill.rig.scenarios import Scenario, read_scenario
from embersill.world.records import Fault


def played(scenario: Scenario) -> tuple[ScenarioRun, dict[str, object]]:
    async def test() -> tuple[ScenarioRun, dict[str, object]]:
        play = ScenarioRun(scenario, Deployment(shape_of(scenario)))
        async with asyncio.timeout(60.0):
            return play, await play.run()

    return uvloop.run(test())


def test_ways_and_processes_in_trouble_break_no_rule() -> None:
    play, told = played(
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
    assert not told["breaches"] and not told["bad_ends"], told
    assert play.counts["kill"] == play.counts["stop"] == 1 and play.counts.total() > 9
    ways = play.deployment.relays.values()
    assert len(ways) == 3 * (2 + 4) and all(way.counts["connections"] for way in ways)
    assert sum(way.counts["reset"] for way in ways) or not play.counts["cut"]
    records = [record for record in play.deployment.audit.records if isinstance(record, Fault)]
    assert len(records) == sum(len(fault.ways) + len(fault.who) for fault in play.faults)


def test_gateways_of_one_level_go_over_relays_to_their_counter() -> None:
    play, told = played(
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
    assert not told["breaches"] and told["served"], told
    assert play.deployment.relays["g0>counter"].counts["connections"]
