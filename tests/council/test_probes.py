"""Fleet-wide probes: the budget, the verdicts, and how planners use them."""

from __future__ import annotations

import pytest

from embersill.council.probes import (
    VERDICT_TTL_S,
    MAX_BACKENDS,
    PUBLISH_INTERVAL_S,
    SUSPICION_S,
    Advice,
    Prober,
    ProbeSettings,
    Suspicions,
)


def test_a_backend_is_suspected_for_a_time_after_failures_in_a_row() -> None:
    suspicions = Suspicions()
    for healthy in (False, False, True, False, False):
        suspicions.note_outcome("b", healthy, 1.0)
    assert not suspicions.suspected(1.0)
    suspicions.note_outcome("b", False, 2.0)
    assert suspicions.suspected(2.0) == ["b"]
    assert not suspicions.suspected(2.1 + SUSPICION_S)
    suspicions.note_outcome("gone", False, 3.0, unreachable=True)
    assert suspicions.suspected(3.0) == ["b", "gone"]
    for n in range(MAX_BACKENDS + 5):
        suspicions.note_outcome(f"b{n}", False, 3.0)
    assert len(suspicions.failed) == MAX_BACKENDS


@pytest.mark.parametrize("suspects", [1, 10, 400])
def test_the_probe_budget_does_not_depend_on_the_number_of_suspects(suspects: int) -> None:
    prober = Prober(ProbeSettings(per_second=5.0))
    probes = 0
    for step in range(500):
        now = step * 0.02
        prober.suspect([f"b{n}" for n in range(suspects)], now)
        for name in prober.due(now):
            probes += 1
            prober.on_probe_result(name, False)
    assert probes <= 5.0 * 10 + 3
    assert probes >= min(suspects, 40)


def test_backends_are_probed_in_turn() -> None:
    prober = Prober(ProbeSettings(per_second=100.0))
    prober.suspect(["a", "b", "c"], 0.0)
    order: list[str] = []
    for step in range(1, 60):
        for name in prober.due(step * 0.02):
            order.append(name)
            prober.on_probe_result(name, False)
    assert {order.count(name) for name in "abc"} <= {len(order) // 3, len(order) // 3 + 1}


def test_two_failures_make_a_backend_unusable_and_two_successes_usable() -> None:
    prober = Prober(ProbeSettings())
    prober.suspect(["b"], 0.0)
    verdicts = []
    for healthy in (False, True, False, False, True, False, True, True):
        prober.on_probe_result("b", healthy)
        verdicts.append(prober.backends["b"].unusable)
    assert verdicts == [False, False, False, True, True, True, True, False]
    assert prober.counts["condemned"] == prober.counts["acquitted"] == 1


def test_an_unusable_backend_is_probed_on_without_suspicion() -> None:
    prober = Prober(ProbeSettings())
    prober.suspect(["b"], 0.0)
    for _ in range(2):
        prober.on_probe_result("b", False)
    assert prober.due(1000.0) == ["b"]
    assert prober.due(1000.5) == []  # one at a time
    for _ in range(2):
        prober.on_probe_result("b", True)
    assert prober.due(2000.0) == [] and "b" not in prober.backends


def test_verdicts_are_published_at_intervals_with_their_age() -> None:
    prober = Prober(ProbeSettings())
    prober.suspect(["b"], 1.0)
    assert prober.due(1.0) == ["b"]
    prober.on_probe_result("b", False)
    verdicts = prober.verdicts(1.2)
    assert verdicts is not None and verdicts[0][:2] == ("b", True)
    assert verdicts[0][2] == pytest.approx(0.2)
    assert prober.verdicts(1.2 + PUBLISH_INTERVAL_S / 2) is None


def test_a_verdict_holds_for_its_time_to_live() -> None:
    advice, known = Advice(), {f"b{n}": True for n in range(6)}
    advice.update([("b1", False, 1.0), ("b2", True, 0.0), ("b3", False, VERDICT_TTL_S)], 10.0)
    assert advice.changes(known, 10.0) == [("b1", True)]
    assert advice.changes(known, 10.5) == []
    assert advice.changes(known, 10.0 + VERDICT_TTL_S) == [("b1", False)]


def test_verdicts_that_exclude_more_than_a_share_are_not_followed() -> None:
    advice, known = Advice(), {f"b{n}": True for n in range(6)}
    advice.update([(f"b{n}", False, 0.0) for n in range(2)], 10.0)
    assert len(advice.changes(known, 10.0)) == 2
    advice.update([(f"b{n}", False, 0.0) for n in range(6)], 11.0)
    assert sorted(advice.changes(known, 11.0)) == [("b0", False), ("b1", False)]
    assert advice.counts["too_many"] == 1
    advice.update([(f"b{n}", True, 0.0) for n in range(2, 6)], 12.0)
    assert sorted(advice.changes(known, 12.0)) == [("b0", True), ("b1", True)]


def test_verdicts_on_unknown_backends_are_ignored() -> None:
    advice = Advice()
    advice.update([("gone", False, 0.0)], 1.0)
    assert advice.changes({"b0": True, "b1": True, "b2": True}, 1.0) == []
