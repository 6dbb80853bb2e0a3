"""A slice of the council's schedules, fences taken out, and the search in the small."""

from __future__ import annotations

import pytest

from embersill.lab.council.fences import BY_NAME, FENCES
from embersill.lab.council.generate import generate
from embersill.lab.council.search import Bounds, search
from embersill.lab.council.shorten import breaks, shorten
from embersill.lab.council.world import World, play
from embersill.lab.hunt import hunt_in_subprocess
from embersill.world.fences import source_of
from embersill.world.oracles import Broken
from embersill.world.schedules import Schedule, decode_saved, encode_saved
from embersill.world.swarm import Coverage

SEEDS = range(60)
FOUND_SOON = (
    "majority",
    "highest-found",
    "wait-lease",
    "unchanged",
    "number",
    "until-certain",
    "kept-batch",
    "repeated",
)


def test_schedules_break_no_rule_and_meet_what_they_are_for() -> None:
    sums: dict[str, float] = {}
    coverage = Coverage()
    for seed in SEEDS:
        schedule = generate(seed)
        assert breaks(schedule) is None, seed
        for name, figure in play(schedule, coverage=coverage).items():
            sums[name] = sums.get(name, 0) + figure
    assert sums["late"] > 0 and sums["learned"] > 0 and sums["refused"] > 0 and sums["appends"] > 500
    assert {kind for kind, _ in coverage.pairs} >= {
        "Hello",
        "Peek",
        "Prepare",
        "Accept",
        "Join",
        "Offer",
        "Suspect",
        "Verdicts",
    }


def test_a_seed_plays_the_same_again() -> None:
    assert generate(5) == generate(5) and play(generate(5)) == play(generate(5))


@pytest.mark.parametrize("name", [fence.name for fence in FENCES])
def test_each_fence_stands_where_its_list_says(name: str) -> None:
    fence = BY_NAME[name]
    for module in fence.modules():
        _, source = source_of(module)
        assert fence.applied(module, source) != source


@pytest.mark.parametrize("name", FOUND_SOON)
def test_a_fence_that_is_taken_out_is_found(name: str) -> None:
    told = hunt_in_subprocess(name, 7_000_000, 40, "", "council")
    assert told["found"], told


def test_a_schedule_that_breaks_a_rule_is_cut_down_to_what_does_it() -> None:
    class Two(World):
        def look(self) -> None:
            super().look()
            if any(not node.alive for node in self.nodes.values()):
                raise Broken("one owner", self.kernel.now, "as planted")

    schedule = next(
        s
        for s in map(generate, range(100))
        if len(s.steps) > 5 and any(step.what == "kill" and not step.who.startswith("@") for step in s.steps)
    )

    def planted(tried: Schedule) -> object:
        return Two(tried).run()

    with pytest.MonkeyPatch.context() as patched:
        patched.setattr("embersill.lab.council.world.play", planted)
        broken = breaks(schedule)
        assert broken is not None
        kept, _ = shorten(schedule, broken)
    assert len(kept.schedule.steps) == 1 and decode_saved(encode_saved(kept)) == kept
    assert "no rule is broken" in kept.story


def test_every_interleaving_of_two_writers_and_a_reader_in_the_small_is_linearizable() -> None:
    told = search(5, 100_000, 1, Bounds(lates=0, agains=1, forgets=()))
    assert told["search_complete"] and not told["broken"] and told["states_explored"] > 300, told


def test_every_interleaving_with_a_memory_that_is_lost() -> None:
    told = search(6, 100_000, 1, Bounds(writers=("m0",), readers=("m1",), lates=1, agains=0))
    assert told["search_complete"] and not told["broken"] and told["states_explored"] > 300, told
