"""Ways to judge a step of a policy, on drawn requests: `python -m benchmarks.judges`. JSON.

Each run draws, second by second, how many requests of a kind were slow at the step's sites and at the others,
before the step and after it; in some a trouble strikes all sites alike for a while, in some the policy harms.
"""

from __future__ import annotations

import json
import math
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

from embersill.edge.rollout.judging import FALSE_ALARM, MISSED, compared, part, ratio

A_SECOND = 60  # requests at either side
BEFORE, WATCH = 10, 30  # seconds
USUAL, HARM, TROUBLE = 0.1, 0.25, 0.4  # part of requests that are slow: as it is, by the policy, in a trouble
RUNS = 400


@dataclass(slots=True)
class Sides:
    """Slow requests by second, `here` and at the others; each second has the same number of requests."""

    before: list[int] = field(default_factory=list)
    others_before: list[int] = field(default_factory=list)
    here: list[int] = field(default_factory=list)
    others: list[int] = field(default_factory=list)


def drawn(chance: random.Random, harm: bool, trouble: bool) -> Sides:
    sides, strikes = Sides(), chance.uniform(0, WATCH - 8)

    def slow(share: float) -> int:
        return sum(chance.random() < share for _ in range(A_SECOND))

    for _ in range(BEFORE):
        sides.before.append(slow(USUAL))
        sides.others_before.append(slow(USUAL))
    for second in range(WATCH):
        common = TROUBLE if trouble and strikes <= second < strikes + 8 else USUAL
        sides.here.append(slow(min(common + (HARM - USUAL if harm else 0.0), 1.0)))
        sides.others.append(slow(common))
    return sides


def threshold(sides: Sides) -> int | None:
    """After the watch: half as many slow ones more than before."""
    return WATCH if sum(sides.here) / WATCH > 1.5 * sum(sides.before) / BEFORE else None


def cusum(sides: Sides) -> int | None:
    """Page's test (1954): the likelihood ratio since its least value, against a bound; the others unseen."""
    level, expected = 0.0, max(part(sum(sides.before), BEFORE * A_SECOND), 0.01)
    for second, slow in enumerate(sides.here):
        level = max(level + ratio(slow, A_SECOND, expected, min(2 * expected, 0.9)), 0.0)
        if level > math.log(1 / FALSE_ALARM):
            return second + 1
    return None


def permuted(sides: Sides) -> int | None:
    """After the watch: seconds of here and of the others are exchanged; is the difference as large so?"""
    chance, pairs = random.Random(1), list(zip(sides.here, sides.others, strict=True))
    seen, larger = sum(a - b for a, b in pairs), 0
    for _ in range(1000):
        larger += sum((a - b) * chance.choice((-1, 1)) for a, b in pairs) >= seen
    return WATCH if larger <= 1000 * FALSE_ALARM else None


def sequential(sides: Sides) -> int | None:
    """In service: Wald's test, shifted by what the others saw; every second what it says so far."""
    whole = BEFORE * A_SECOND
    was, others_was = part(sum(sides.before), whole), part(sum(sides.others_before), whole)
    for second in range(1, WATCH + 1):
        of = second * A_SECOND
        drift = part(sum(sides.others[:second]), of) - others_was
        if compared(sum(sides.here[:second]), of, was, drift) == "harm":
            return second
    return None


WAYS: dict[str, Callable[[Sides], int | None]] = {
    "fixed threshold": threshold,
    "CUSUM": cusum,
    "permutation": permuted,
    "sequential ratio": sequential,
}


def main() -> int:
    found = {}
    for name, way in WAYS.items():
        chance = random.Random(7)
        ends = {
            case: [way(drawn(chance, harm, trouble)) for _ in range(RUNS)]
            for case, harm, trouble in (
                ("calm", False, False),
                ("trouble", False, True),
                ("harm", True, False),
                ("harm in a trouble", True, True),
            )
        }
        stops = sorted(end for end in ends["harm"] if end is not None)
        found[name] = {
            "false_alarms_calm": sum(end is not None for end in ends["calm"]) / RUNS,
            "false_alarms_trouble": sum(end is not None for end in ends["trouble"]) / RUNS,
            "missed": sum(end is None for end in ends["harm"]) / RUNS,
            "missed_in_a_trouble": sum(end is None for end in ends["harm in a trouble"]) / RUNS,
            "s_to_halt_p50": stops[len(stops) // 2] if stops else None,
        }
    wanted = {"false_alarms": FALSE_ALARM, "missed": MISSED}
    json.dump({"wanted": wanted, "ways": found}, sys.stdout, indent=1)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
