"""A sample of the council's schedules, removed fences, and the exhaustive search of small cases."""

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


def test_schedules_break_no_rule_and_cover_their_cases() -> None:
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


def test_a_seed_is_reproducible() -> None:
    assert generate(5) == generate(5) and play(generate(5)) == play(generate(5))


@pytest.mark.parametrize("name", [fence.name for fence in FENCES])
def test_each_fence_s_text_is_found_in_its_module(name: str) -> None:
    fence = BY_NAME[name]
    for module in fence.modules():
        _, source = source_of(module)
        assert fence.applied(module, source) != source


@pytest.mark.parametrize("name", FOUND_SOON)
def test_a_removed_fence_is_detected(name: str) -> None:
    result = hunt_in_subprocess(name, 7_000_000, 40, "", "council")
    assert result["found"], result


def test_a_failing_schedule_is_shortened_to_its_cause() -> None:
    class Planted(World):
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
        return Planted(tried).run()

    with pytest.MonkeyPatch.context() as patched:
        patched.setattr("embersill.lab.council.world.play", planted)
        broken = breaks(schedule)
        assert broken is not None
        kept, _ = shorten(schedule, broken)
    assert len(kept.schedule.steps) == 1 and decode_saved(encode_saved(kept)) == kept
    assert "no rule is broken" in kept.story


def test_every_interleaving_of_two_writers_and_a_reader_is_linearizable() -> None:
    result = search(5, 100_000, 1, Bounds(lates=0, agains=1, forgets=()))
    assert result["search_complete"] and not result["broken"] and result["states_explored"] > 300, result


def test_every_interleaving_with_a_lost_state_is_linearizable() -> None:
    result = search(6, 100_000, 1, Bounds(writers=("m0",), readers=("m1",), lates=1, agains=0))
    assert result["search_complete"] and not result["broken"] and result["states_explored"] > 300, result
