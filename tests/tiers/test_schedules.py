"""Plays seeded schedules on the cores of both tiers and checks the rules at every step."""

from __future__ import annotations

from pathlib import Path

import pytest

from embersill.lab.hunt import hunt_all
from embersill.lab.levels.fences import FENCES
from embersill.lab.levels.generate import generate
from embersill.lab.levels.search import Bounds, search
from embersill.lab.levels.shorten import breaks
from embersill.lab.levels.world import play
from embersill.world.fences import source_of
from embersill.world.schedules import decode_saved
from embersill.world.swarm import Coverage

SEEDS = 160  # `python -m embersill.lab schedules --seeds 10000` plays more
KEPT = sorted((Path(__file__).parent / "kept").glob("*.json"))
QUICK = (
    "fresh",
    "detach",
    "usable",
    "recall",
    "left-of",
    "inherited",
    "drain",
    "ceiling",
    "unsafe-once",
    "uncharged-anew",
    "dedup-window",
    "at-one-moment",
)  # each found within some 100 seeds


@pytest.mark.parametrize("start", range(0, SEEDS, 40))
def test_schedules_break_no_rule(start: int) -> None:
    served = 0.0
    for seed in range(start, start + 40):
        served += play(generate(seed))["served"]
    assert served > 40 * 10  # requests were served


def test_five_forwarders_and_three_planners_break_no_rule() -> None:
    for seed in range(9000, 9010):
        play(generate(seed, forwarders=5, planners=3))


@pytest.mark.parametrize("path", KEPT)
def test_what_was_found_stays_mended(path: Path) -> None:
    kept = decode_saved(path.read_bytes())
    assert len(kept.schedule.steps) < 40
    assert breaks(kept.schedule) is None


@pytest.mark.parametrize("fence", FENCES)
def test_every_fence_stands_where_the_list_says(fence: object) -> None:
    from embersill.world.fences import Fence

    assert isinstance(fence, Fence)
    for module in fence.modules():
        path, source = source_of(module)
        assert fence.applied(module, source) != source
        compile(fence.applied(module, source), path, "exec")


def test_fences_that_are_taken_out_are_found() -> None:
    results = list(hunt_all(7_000_000, 300, 4, list(QUICK)))
    assert sorted(result["fence"] for result in results if not result["found"]) == []


def test_the_pairs_that_matter_are_met() -> None:
    coverage = Coverage()
    for seed in range(40):
        play(generate(seed), coverage=coverage)
    for pair in (
        ("Grant", "obeys"),
        ("Grant", "moving"),
        ("Echo", "gathering"),
        ("Lend", "partial"),
        ("Lend", "whole"),
        ("Recall", "whole"),
        ("Open", "gathering"),
        ("Ended", "partial"),
    ):
        assert coverage.pairs[pair], pair


def test_the_small_is_searched_with_a_helper_that_is_lost_too() -> None:
    """Two planners, two forwarders, and a session that loses its direct path and goes on over the other."""
    told = search(3, 100_000, 4, Bounds(advances=2, ends=0, breaks=0, losses=1))
    assert told["search_complete"] and not told["broken"]
    assert told["states_explored"] > 500


def test_the_small_is_searched_whole() -> None:
    told = search(3, 100_000, 4, Bounds(drains=1))
    assert told["search_complete"] and not told["broken"]
    assert told["states_explored"] > 1000
