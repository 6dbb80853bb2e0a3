"""`python -m embersill.lab control`: plays the control plane's worst days, and prints one line of JSON."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable
from typing import Any

from embersill.lab.edge import control_fences
from embersill.lab.edge.control import (
    Report,
    caught_up,
    cut_member,
    earlier_life,
    earlier_news,
    last_copy,
    raced_orders,
    refused_epoch,
    restarted_alone,
    second_loss,
    second_loss_of_five,
    sent_again_late,
    stood_still,
    wiped_caught_up,
)
from embersill.lab.edge.first_start import (
    all_killed,
    first_losses,
    founder_gone,
    founder_lost_as_elected,
    killed_before_the_first_save,
)
from embersill.lab.edge.worst_days import worst_day, worst_day_of_five, worst_day_of_six

POINTS: dict[str, tuple[Callable[[int], Report], ...]] = {
    "cut_off": (cut_member, restarted_alone, stood_still),
    "orders": (raced_orders, sent_again_late),
    "membership": (second_loss, second_loss_of_five, last_copy, refused_epoch),
    "catching_up": (caught_up, wiped_caught_up),
    "answers": (earlier_life, earlier_news),
    "first_start": (
        first_losses,
        all_killed,
        killed_before_the_first_save,
        founder_gone,
        founder_lost_as_elected,
    ),
    "drawn_days": (worst_day, worst_day_of_five, worst_day_of_six),
}
SLOW = {sent_again_late, caught_up, wiped_caught_up}  # hundreds of changes each: a tenth of the runs
SLOW_PART = 10


def part(figures: list[float], share: float) -> float:
    """A quantile; nought where there are no figures."""
    return round(sorted(figures)[min(int(share * len(figures)), len(figures) - 1)], 2) if figures else 0.0


def play(runs: int, first_seed: int) -> dict[str, Any]:
    """All points, `runs` seeds each."""
    found: dict[str, Any] = {}
    for point, scenarios in POINTS.items():
        counts: dict[str, Any] = {"runs": 0, "bad": 0, "wrong": []}
        for scenario in scenarios:
            seconds: list[float] = []
            count = max(runs // SLOW_PART, 1) if scenario in SLOW else runs
            for seed in range(first_seed, first_seed + count):
                report = scenario(seed)
                counts["runs"] += 1
                counts["bad"] += bool(report.wrong)
                counts["wrong"] += [f"{scenario.__name__} seed {seed}: {why}" for why in report.wrong]
                seconds += report.seconds
            if seconds:
                figures = {"p50": part(seconds, 0.5), "p99": part(seconds, 0.99)}
                counts[f"{scenario.__name__}_seconds"] = figures
        counts["wrong"] = counts["wrong"][:20]
        found[point] = counts
    return found


def add_to(others: Any) -> None:
    """The command's options."""
    parser = others.add_parser("control", help="the control plane's worst days, on the simulated cluster")
    parser.set_defaults(what="control")
    parser.add_argument("--runs", type=int, default=20, help="seeds a scenario, a tenth for slow ones")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--fences", action="store_true", help="also take out each line that keeps them safe")


def main(options: argparse.Namespace) -> int:
    """Plays and prints; 1 if anything went wrong or a fence was missed."""
    points = play(options.runs, options.seed)
    told: dict[str, Any] = dict(points)
    bad = any(point["bad"] for point in points.values())
    if options.fences:
        missed = [name for name in control_fences.BY_NAME if not control_fences.found(name)]
        count = len(control_fences.GUARDED)
        told |= {"fences": count, "found": count - len(missed), "missed": missed}
        bad = bad or bool(missed)
    print(json.dumps(told))
    return 1 if bad else 0
