"""Compares tests that decide whether a rollout step does harm: `python -m benchmarks.judges`. Prints JSON.

Each run draws, per second, the number of slow requests of one kind at the step's sites and at the others,
before the step and since. In some runs a fault affects all sites alike for a while; in some the policy harms.
"""

from __future__ import annotations

import json
import math
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

from embersill.edge.rollout.judging import FALSE_ALARM, MISSED, compared, part, ratio

REQUESTS_PER_S = 60  # at the sites of the step, and as many at the others
BASELINE_S, WATCH_S = 10, 30  # before the step, and after it
# share of slow requests: normally, with a harmful policy, and during a fault
NORMAL_SHARE, HARM_SHARE, FAULT_SHARE = 0.1, 0.25, 0.4
RUNS = 400


@dataclass(slots=True)
class SlowCounts:
    """Slow requests per second at the sites of the step and at the others, before the step and since."""

    before: list[int] = field(default_factory=list)
    others_before: list[int] = field(default_factory=list)
    step: list[int] = field(default_factory=list)
    others: list[int] = field(default_factory=list)


def draw_counts(chance: random.Random, harm: bool, fault: bool) -> SlowCounts:
    """Draws a run, with a harmful policy or not, and with a fault of eight seconds or not."""
    counts, fault_at = SlowCounts(), chance.uniform(0, WATCH_S - 8)

    def draw_slow(share: float) -> int:
        return sum(chance.random() < share for _ in range(REQUESTS_PER_S))

    for _ in range(BASELINE_S):
        counts.before.append(draw_slow(NORMAL_SHARE))
        counts.others_before.append(draw_slow(NORMAL_SHARE))
    for second in range(WATCH_S):
        common = FAULT_SHARE if fault and fault_at <= second < fault_at + 8 else NORMAL_SHARE
        counts.step.append(draw_slow(min(common + (HARM_SHARE - NORMAL_SHARE if harm else 0.0), 1.0)))
        counts.others.append(draw_slow(common))
    return counts


def threshold(counts: SlowCounts) -> int | None:
    """Decides after the watch: harm if slow requests grew by more than half."""
    return WATCH_S if sum(counts.step) / WATCH_S > 1.5 * sum(counts.before) / BASELINE_S else None


def cusum(counts: SlowCounts) -> int | None:
    """Page's test (1954), every second: the likelihood ratio since its minimum; ignores the other sites."""
    level, expected = 0.0, max(part(sum(counts.before), BASELINE_S * REQUESTS_PER_S), 0.01)
    for second, slow in enumerate(counts.step):
        level = max(level + ratio(slow, REQUESTS_PER_S, expected, min(2 * expected, 0.9)), 0.0)
        if level > math.log(1 / FALSE_ALARM):
            return second + 1
    return None


def permutation(counts: SlowCounts) -> int | None:
    """Decides after the watch: a permutation test that swaps seconds of the step's sites and the others."""
    chance, pairs = random.Random(1), list(zip(counts.step, counts.others, strict=True))
    observed, larger = sum(a - b for a, b in pairs), 0
    for _ in range(1000):
        larger += sum((a - b) * chance.choice((-1, 1)) for a, b in pairs) >= observed
    return WATCH_S if larger <= 1000 * FALSE_ALARM else None


def sequential(counts: SlowCounts) -> int | None:
    """The gateway's own test, every second: Wald's, shifted by the drift at the other sites."""
    total_before = BASELINE_S * REQUESTS_PER_S
    share_before, others_share_before = (
        part(sum(counts.before), total_before),
        part(sum(counts.others_before), total_before),
    )
    for second in range(1, WATCH_S + 1):
        total = second * REQUESTS_PER_S
        drift = part(sum(counts.others[:second]), total) - others_share_before
        if compared(sum(counts.step[:second]), total, share_before, drift) == "harm":
            return second
    return None


TESTS: dict[str, Callable[[SlowCounts], int | None]] = {
    "fixed threshold": threshold,
    "CUSUM": cusum,
    "permutation": permutation,
    "sequential ratio": sequential,
}


def main() -> int:
    """Applies each test to the same runs and prints how often it errs and how soon it halts a step."""
    results = {}
    for name, test in TESTS.items():
        chance = random.Random(7)
        halts = {
            case: [test(draw_counts(chance, harm, fault)) for _ in range(RUNS)]
            for case, harm, fault in (
                ("calm", False, False),
                ("trouble", False, True),
                ("harm", True, False),
                ("harm in a trouble", True, True),
            )
        }
        halt_times = sorted(halt for halt in halts["harm"] if halt is not None)
        results[name] = {
            "false_alarms_calm": sum(halt is not None for halt in halts["calm"]) / RUNS,
            "false_alarms_trouble": sum(halt is not None for halt in halts["trouble"]) / RUNS,
            "missed": sum(halt is None for halt in halts["harm"]) / RUNS,
            "missed_in_a_trouble": sum(halt is None for halt in halts["harm in a trouble"]) / RUNS,
            "s_to_halt_p50": halt_times[len(halt_times) // 2] if halt_times else None,
        }
    targets = {"false_alarms": FALSE_ALARM, "missed": MISSED}
    json.dump({"wanted": targets, "ways": results}, sys.stdout, indent=1)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
