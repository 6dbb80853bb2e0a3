"""The two levels on a half-broken network: several processes, and relays between them that are in trouble."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from embersill.rig.causes import Causes
from embersill.rig.deployment import Deployment
from embersill.rig.playing import RULES, Play, shape_of
from embersill.rig.scenarios import DrawnTable, FaultTable, Scenario, ShapeTable
from tests.bed import run

RELAYED = ("@forwarder>@planner", "@planner>@planner")
LINKS = ["@forwarder>@planner"]


async def played(
    seconds: float, faults: list[FaultTable], drawn: list[DrawnTable] | None = None, planners: int = 2,
    forwarders: int = 3, seed: int = 5, look: Callable[[Deployment], None] = lambda deployment: None,
) -> dict[str, Any]:
    """A play's figures, its causes, and its processes' last words. `look` is called 20 times a second."""
    shape = ShapeTable(forwarders, planners, 0, 4, 36, False, {}, RELAYED)
    scenario = Scenario("partition", seed, seconds, 150.0, 0.0, shape, faults, drawn or [])
    deployment = Deployment(shape_of(scenario, status_every=0.05, tell_refusals=True))
    heard: list[Causes] = []
    last: dict[str, dict[str, Any]] = {}

    async def listen(deployment: Deployment) -> None:
        loop = asyncio.get_running_loop()
        heard.append(Causes(deployment))
        end = loop.time() + seconds - 0.2
        while loop.time() < end:
            await asyncio.sleep(0.05)
            look(deployment)
        last.update({name: dict(member.status) for name, member in deployment.members.items()})

    told = await Play(scenario, deployment).run(listen)
    told["last"] = last
    told["causes"] = heard[0].table()
    assert not told["breaches"] and not told["bad_ends"], told
    assert not any(told[rule] for rule in RULES), told
    return told


def of(told: dict[str, Any], what: str) -> int:
    return sum(said.get(what, 0) for said in told["last"].values())


def test_a_forwarder_cut_off_from_an_owner_reaches_it_over_another() -> None:
    paths: set[str] = set()

    def look(deployment: Deployment) -> None:
        paths.add(deployment.members["g0"].status.get("paths", {}).get("p0", ""))

    async def test() -> None:
        told = await played(6.0, [FaultTable("cut", 2.0, 2.0, ways=["g0>p0"])], look=look)
        assert paths >= {"direct", "p1"}
        # nothing moved, nothing was decided alone: forwarders lend 64 parts once each, some twice at first
        assert of(told, "local") == 0 and of(told, "moved") <= 2 * 3 * 64
        assert sum(len(said["holders"]) == 2 for said in told["last"].values() if "holders" in said) == 3
        assert told["served_share"] > 0.93

    run(test)


def test_one_direction_that_is_swallowed_is_gone_round() -> None:
    async def test() -> None:
        told = await played(7.0, [
            FaultTable("swallow", 2.0, 1.2, ways=["g0>p0", "g1>p1"], direction="up"),
            FaultTable("swallow", 4.0, 1.2, ways=["g0>p1", "g2>p0"], direction="down"),
        ])
        assert of(told, "resent") > 0 and of(told, "local") <= 3
        assert told["causes"]["lent_to_nobody"] < 0.01
        assert told["served_share"] > 0.9

    run(test)


def test_a_ring_in_which_each_hears_its_neighbours_only() -> None:
    """g0 hears p0, g1 both, g2 p1; the planners hear each other: all reach all."""
    async def test() -> None:
        told = await played(6.0, [FaultTable("cut", 1.5, 4.0, ways=["g0>p1", "g2>p0"])])
        assert of(told, "local") == 0
        assert of(told, "whole") == 64
        assert told["served_share"] > 0.93

    run(test)


def test_the_helper_that_carries_dies_and_the_owner_is_reached_over_the_third() -> None:
    seen: set[str] = set()

    def look(deployment: Deployment) -> None:
        seen.add(str(deployment.members["g0"].status.get("paths", {}).get("p0")))

    async def test() -> None:
        told = await played(8.0, [
            FaultTable("cut", 1.5, 6.0, ways=["g0>p0"]),
            FaultTable("kill", 3.0, 1.5, who=["p1"]),
            FaultTable("stop", 5.5, 0.8, who=["p2"]),
        ], planners=3, look=look)
        assert seen >= {"direct", "p1", "p2"}
        assert told["served_share"] > 0.85

    run(test)
