"""Seeded schedules of both levels through the cores, with the five rules checked at every step."""

from __future__ import annotations

import pytest

from embersill.lab.simulation import Broken, play
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.messages import Open
from embersill.tiers.planner import Planner, Session

SEEDS = 160  # `python -m embersill.lab schedules --seeds 10000` plays more


@pytest.mark.parametrize("start", range(0, SEEDS, 20))
def test_schedules_break_no_rule(start: int) -> None:
    for seed in range(start, start + 20):
        played = play(seed)
        assert played["served"] > 20  # it was no standstill


def test_five_forwarders_and_three_planners_break_no_rule() -> None:
    for seed in range(9000, 9010):
        play(seed, forwarders=5, planners=3, rate=60.0)


@pytest.mark.parametrize("seed", [
    4746,  # a forwarder stood still between a fresh grant and the end of its dial: a drain was broken
    5863,  # a part passed for whole while one forwarder's word that it had left was under way: a ceiling
])
def test_schedules_that_found_something(seed: int) -> None:
    play(seed)


def test_a_schedule_replays_alone() -> None:
    assert play(7) == play(7)


def finds(seeds: range) -> str:
    """The first rule that the schedules find broken, without its figures."""
    for seed in seeds:
        try:
            play(seed)
        except Broken as error:
            return str(error).partition(" s: ")[2]
    return ""


def test_a_full_ceiling_at_a_new_leader_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Planner, "left_of", lambda self, part, customer, plan: (plan.ceiling_depth, 0.0))
    assert "over its ceiling" in finds(range(20))


def test_an_answer_of_the_old_leader_that_counts_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Forwarder, "release", lambda self, task: None)
    assert finds(range(60))


def test_attempts_forgotten_at_a_takeover_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    opened = Planner.opened

    def forget(self: Planner, session: Session, ask: Open) -> None:
        told: list[tuple[str, float, str | None]] = [
            (backend, age, "turned away") for backend, age, _ in ask.attempts]
        opened(self, session, Open(ask.ask, ask.klass, ask.plan, ask.customer, ask.left, ask.units,
                                   ask.repeat, ask.age, told))

    monkeypatch.setattr(Planner, "opened", forget)
    assert finds(range(20))
