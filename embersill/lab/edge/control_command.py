"""`python -m embersill.lab control`: plays the control plane's worst days, and prints one line of JSON."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable, Mapping
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from embersill.lab.edge import control_fences
from embersill.lab.edge.control import (
    Report,
    caught_up,
    cut_member,
    previous_process_answer,
    previous_process_update,
    last_copy,
    racing_changes,
    refused_epoch,
    restarted_alone,
    second_loss,
    second_loss_of_five,
    late_resend,
    paused_member,
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

Scenario = Callable[[int], Report]
POINTS: dict[str, tuple[Scenario, ...]] = {
    "cut_off": (cut_member, restarted_alone, paused_member),
    "orders": (racing_changes, late_resend),
    "membership": (second_loss, second_loss_of_five, last_copy, refused_epoch),
    "catching_up": (caught_up, wiped_caught_up),
    "answers": (previous_process_answer, previous_process_update),
    "first_start": (
        first_losses,
        all_killed,
        killed_before_the_first_save,
        founder_gone,
        founder_lost_as_elected,
    ),
    "drawn_days": (worst_day, worst_day_of_five, worst_day_of_six),
}
SLOW = {late_resend, caught_up, wiped_caught_up}  # hundreds of changes each: a tenth of the runs
SLOW_PART = 10
MOST_TOLD = 20  # runs that went wrong, told of each point
CHUNK = 4  # runs that a process is given at a time


def part(figures: list[float], share: float) -> float:
    """A quantile; nought where there are no figures."""
    return round(sorted(figures)[min(int(share * len(figures)), len(figures) - 1)], 2) if figures else 0.0


def played(scenario: Scenario, seed: int) -> Report:
    """One run; what the cluster itself checks at every step counts as wrong like all else."""
    try:
        return scenario(seed)
    except AssertionError as error:
        return Report([f"a check failed: {error}"])


def seeds_of(scenario: Scenario, runs: int, first_seed: int) -> range:
    """The seeds that a scenario is played with."""
    count = max(runs // SLOW_PART, 1) if scenario in SLOW else runs
    return range(first_seed, first_seed + count)


def told(scenarios: tuple[Scenario, ...], reports: Mapping[tuple[Scenario, int], Report]) -> dict[str, Any]:
    """What the runs of one point have shown."""
    mine = {run: report for run, report in reports.items() if run[0] in scenarios}
    failures = [
        f"{scenario.__name__} seed {seed}: {why}"
        for (scenario, seed), report in mine.items()
        for why in report.failures
    ]
    counts: dict[str, Any] = {
        "runs": len(mine),
        "bad": sum(bool(report.failures) for report in mine.values()),
        "wrong": failures[:MOST_TOLD],
    }
    for scenario in scenarios:
        durations_s = [
            took for run, report in mine.items() if run[0] is scenario for took in report.durations_s
        ]
        if durations_s:
            figures = {"p50": part(durations_s, 0.5), "p99": part(durations_s, 0.99)}
            counts[f"{scenario.__name__}_seconds"] = figures
    return counts


def play(runs: int, first_seed: int, jobs: int = 1) -> dict[str, Any]:
    """All points, `runs` seeds each, in so many processes."""
    scenarios = [scenario for point in POINTS.values() for scenario in point]
    asked = [(one, seed) for one in scenarios for seed in seeds_of(one, runs, first_seed)]
    with ProcessPoolExecutor(jobs) as pool:
        found = pool.map(played, *zip(*asked, strict=True), chunksize=CHUNK)
        reports = dict(zip(asked, found, strict=True))
    return {point: told(members, reports) for point, members in POINTS.items()}


def add_to(others: Any) -> None:
    """The command's options."""
    parser = others.add_parser("control", help="the control plane's worst days, on the simulated cluster")
    parser.set_defaults(what="control")
    parser.add_argument("--runs", type=int, default=20, help="seeds a scenario, a tenth for slow ones")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=1, help="processes")
    parser.add_argument("--fences", action="store_true", help="also take out each line that keeps them safe")


def main(options: argparse.Namespace) -> int:
    """Plays and prints; 1 if anything went wrong or a fence was missed."""
    points = play(options.runs, options.seed, options.jobs)
    shown: dict[str, Any] = dict(points)
    bad = any(point["bad"] for point in points.values())
    if options.fences:
        missed = [name for name in control_fences.BY_NAME if not control_fences.found(name)]
        count = len(control_fences.GUARDED)
        shown |= {"fences": count, "found": count - len(missed), "missed": missed}
        bad = bad or bool(missed)
    print(json.dumps(shown))
    return 1 if bad else 0
