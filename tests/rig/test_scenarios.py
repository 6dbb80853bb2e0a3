"""Scenario files: validation, pattern resolution, and that a seed draws the same faults again."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from embersill.rig.scenario_run import scenario_text, shape_of
from embersill.rig.scenarios import (
    FaultTable,
    InvalidScenario,
    Scenario,
    Topology,
    plan_faults,
    read_scenario,
)

TOPOLOGY = Topology(
    {"g0": "forwarder", "g1": "forwarder", "p0": "planner", "p1": "planner", "b0": "backend"},
    {"a": ["g0", "p0"], "b": ["g1", "p1", "b*"]},
)
LINKS = [f"g{g}>p{p}" for g in range(2) for p in range(2)]
DRAWN = """
seed = 7
[[drawn]]
what = ["cut", "delay"]
ways = ["@forwarder>@planner"]
part = 0.5
every = [0.2, 0.5]
seconds = [0.1, 0.4]
"""


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("second = 1.0", "second"),
        ("seconds = 0.0", "seconds"),
        ("[shape]\nplanners = 0", "planner"),
        ("[shape]\nforwarders = 60\nplanners = 9", "processes"),
        ("[shape]\ngateways = 3\ncouncil = true", "council"),
        ('[[faults]]\nwhat = "burn"\nwho = ["p0"]', "burn"),
        ('[[faults]]\nwhat = "cut"\nwho = ["p0"]', "needs ways"),
        ('[[faults]]\nwhat = "stop"\nwho = ["p0"]\nways = ["g0>p0"]', "does not apply to ways"),
        ('[[faults]]\nwhat = "cut"\nways = ["p0"]', "from>to"),
        ('[[faults]]\nwhat = "narrow"\nways = ["g0>p0"]', "rate"),
        ('[[faults]]\nwhat = "kill"\nwho = ["p0"]\nat = -1.0', "must not be negative"),
        ("[[drawn]]\nwhat = []\nevery = [1.0, 2.0]\nseconds = [1.0, 2.0]", "must name at least one kind"),
        ('[[drawn]]\nwhat = ["kill"]\nwho = ["p0"]\nevery = [2.0, 1.0]\nseconds = [1.0, 2.0]', "least, most"),
        ("[[faults]", "Expected"),
    ],
)
def test_invalid_scenario_names_the_reason(text: str, reason: str) -> None:
    with pytest.raises(InvalidScenario, match=reason):
        read_scenario(text)


def test_patterns_resolve_names_roles_and_zones() -> None:
    assert TOPOLOGY.resolve("g*") == TOPOLOGY.resolve("@forwarder") == ["g0", "g1"]
    assert TOPOLOGY.resolve("zone:b") == ["b0", "g1", "p1"]
    assert TOPOLOGY.links(["zone:a>@planner"]) == ["g0>p0", "g0>p1", "p0>p1"]
    with pytest.raises(InvalidScenario, match="matches no process"):
        TOPOLOGY.resolve("@gateway")


def test_drawn_faults_depend_only_on_the_seed() -> None:
    scenario = read_scenario(DRAWN)
    first, again = (plan_faults(scenario, TOPOLOGY, LINKS) for _ in range(2))
    assert first == again and len(first) > 10
    assert all(len(fault.ways) == 2 for fault in first)
    assert plan_faults(msgspec.structs.replace(scenario, seed=8), TOPOLOGY, LINKS) != first


def test_fault_on_a_link_without_a_relay_is_rejected() -> None:
    scenario = Scenario(faults=[FaultTable("cut", ways=["p0>p1"])])
    with pytest.raises(InvalidScenario, match="relay"):
        plan_faults(scenario, TOPOLOGY, LINKS)


def test_written_scenario_reads_back_with_its_drawn_faults() -> None:
    scenario = read_scenario(DRAWN)
    faults = plan_faults(scenario, TOPOLOGY, LINKS)
    again = read_scenario(scenario_text(scenario, faults))
    assert plan_faults(again, TOPOLOGY, LINKS) == faults and not again.drawn


SCENARIOS = sorted(Path("benchmarks/scenarios").glob("*.toml"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenarios_in_the_repository_are_valid(path: Path) -> None:
    scenario = read_scenario(path.read_text())
    assert shape_of(scenario).fronts and (scenario.faults or scenario.drawn)
