"""Scenario files: what is refused, who is meant, and that a seed draws the same faults again."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from embersill.rig.playing import kept_text, shape_of
from embersill.rig.scenarios import BadScenario, FaultTable, Names, Scenario, planned, read_scenario

NAMES = Names(
    {"g0": "forwarder", "g1": "forwarder", "p0": "planner", "p1": "planner", "b0": "backend"},
    {"a": ["g0", "p0"], "b": ["g1", "p1", "b*"]},
)
WAYS = [f"g{g}>p{p}" for g in range(2) for p in range(2)]
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
        ('[[faults]]\nwhat = "stop"\nwho = ["p0"]\nways = ["g0>p0"]', "not done to ways"),
        ('[[faults]]\nwhat = "cut"\nways = ["p0"]', "from>to"),
        ('[[faults]]\nwhat = "narrow"\nways = ["g0>p0"]', "rate"),
        ('[[faults]]\nwhat = "kill"\nwho = ["p0"]\nat = -1.0', "below nought"),
        ("[[drawn]]\nwhat = []\nevery = [1.0, 2.0]\nseconds = [1.0, 2.0]", "nothing to draw"),
        ('[[drawn]]\nwhat = ["kill"]\nwho = ["p0"]\nevery = [2.0, 1.0]\nseconds = [1.0, 2.0]', "least, most"),
        ("[[faults]", "Expected"),
    ],
)
def test_a_file_that_is_no_scenario_says_why(text: str, reason: str) -> None:
    with pytest.raises(BadScenario, match=reason):
        read_scenario(text)


def test_words_mean_names_roles_and_zones() -> None:
    assert NAMES.meant("g*") == NAMES.meant("@forwarder") == ["g0", "g1"]
    assert NAMES.meant("zone:b") == ["b0", "g1", "p1"]
    assert NAMES.ways(["zone:a>@planner"]) == ["g0>p0", "g0>p1", "p0>p1"]
    with pytest.raises(BadScenario, match="nobody"):
        NAMES.meant("@gateway")


def test_drawn_faults_are_the_same_for_a_seed_and_others_for_another() -> None:
    scenario = read_scenario(DRAWN)
    first, again = (planned(scenario, NAMES, WAYS) for _ in range(2))
    assert first == again and len(first) > 10
    assert all(len(fault.ways) == 2 for fault in first)
    assert planned(msgspec.structs.replace(scenario, seed=8), NAMES, WAYS) != first


def test_a_fault_on_ways_without_a_relay_is_refused() -> None:
    scenario = Scenario(faults=[FaultTable("cut", ways=["p0>p1"])])
    with pytest.raises(BadScenario, match="relay"):
        planned(scenario, NAMES, WAYS)


def test_a_kept_play_is_read_back_with_the_faults_that_were_drawn() -> None:
    scenario = read_scenario(DRAWN)
    faults = planned(scenario, NAMES, WAYS)
    again = read_scenario(kept_text(scenario, faults))
    assert planned(again, NAMES, WAYS) == faults and not again.drawn


SCENARIOS = sorted(Path("benchmarks/scenarios").glob("*.toml"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_the_scenarios_that_stand_in_the_tree_are_good(path: Path) -> None:
    scenario = read_scenario(path.read_text())
    assert shape_of(scenario).fronts and (scenario.faults or scenario.drawn)
