"""`python -m embersill.lab control`: runs the control plane failure scenarios, prints one JSON line."""

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
    last_copy,
    late_resend,
    paused_member,
    previous_process_answer,
    previous_process_update,
    racing_changes,
    refused_epoch,
    restarted_alone,
    second_loss,
    second_loss_of_five,
    wiped_caught_up,
)
from embersill.lab.edge.first_start import (
    all_killed,
    first_losses,
    founder_gone,
    founder_lost_as_elected,
    killed_before_the_first_save,
)
from embersill.lab.edge.random_days import random_day, random_day_of_five, random_day_of_six

Scenario = Callable[[int], Report]
GROUPS: dict[str, tuple[Scenario, ...]] = {
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
    "drawn_days": (random_day, random_day_of_five, random_day_of_six),
}
SLOW = {late_resend, caught_up, wiped_caught_up}  # hundreds of changes each, so they get a tenth of the runs
SLOW_RUN_DIVISOR = 10
MAX_SHOWN_FAILURES = 20  # failure messages listed for each group
RUNS_PER_TASK = 4  # batch size for a worker process


def quantile(values: list[float], fraction: float) -> float:
    """A quantile, rounded; 0 if there are no values."""
    return round(sorted(values)[min(int(fraction * len(values)), len(values) - 1)], 2) if values else 0.0


def run_scenario(scenario: Scenario, seed: int) -> Report:
    """Runs one scenario; a violated invariant of the simulated cluster counts as a failure too."""
    try:
        return scenario(seed)
    except AssertionError as error:
        return Report([f"invariant violated: {error}"])


def seeds_of(scenario: Scenario, runs: int, first_seed: int) -> range:
    """The seeds to run a scenario with."""
    count = max(runs // SLOW_RUN_DIVISOR, 1) if scenario in SLOW else runs
    return range(first_seed, first_seed + count)


def group_result(
    scenarios: tuple[Scenario, ...], reports: Mapping[tuple[Scenario, int], Report]
) -> dict[str, Any]:
    """The results of one group of scenarios."""
    group_reports = {run: report for run, report in reports.items() if run[0] in scenarios}
    failures = [
        f"{scenario.__name__} seed {seed}: {failure}"
        for (scenario, seed), report in group_reports.items()
        for failure in report.failures
    ]
    counts: dict[str, Any] = {
        "runs": len(group_reports),
        "bad": sum(bool(report.failures) for report in group_reports.values()),
        "wrong": failures[:MAX_SHOWN_FAILURES],
    }
    for scenario in scenarios:
        durations_s = [
            duration_s
            for run, report in group_reports.items()
            if run[0] is scenario
            for duration_s in report.durations_s
        ]
        if durations_s:
            quantiles = {"p50": quantile(durations_s, 0.5), "p99": quantile(durations_s, 0.99)}
            counts[f"{scenario.__name__}_seconds"] = quantiles
    return counts


def run_all(runs: int, first_seed: int, jobs: int = 1) -> dict[str, Any]:
    """Runs all groups with `runs` seeds for each scenario, in `jobs` processes."""
    scenarios = [scenario for group in GROUPS.values() for scenario in group]
    planned = [(scenario, seed) for scenario in scenarios for seed in seeds_of(scenario, runs, first_seed)]
    with ProcessPoolExecutor(jobs) as pool:
        results = pool.map(run_scenario, *zip(*planned, strict=True), chunksize=RUNS_PER_TASK)
        reports = dict(zip(planned, results, strict=True))
    return {name: group_result(members, reports) for name, members in GROUPS.items()}


def add_to(subparsers: Any) -> None:
    """Adds the command and its options."""
    parser = subparsers.add_parser("control", help="control plane failure scenarios on the simulated cluster")
    parser.set_defaults(what="control")
    parser.add_argument(
        "--runs", type=int, default=20, help="seeds per scenario; a tenth of that for slow ones"
    )
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=1, help="number of worker processes")
    parser.add_argument(
        "--fences", action="store_true", help="also check that each removed safeguard is detected"
    )


def main(options: argparse.Namespace) -> int:
    """Runs and prints; 1 if a scenario failed or a removed safeguard went undetected."""
    groups = run_all(options.runs, options.seed, options.jobs)
    summary: dict[str, Any] = dict(groups)
    failed = any(group["bad"] for group in groups.values())
    if options.fences:
        missed = [name for name in control_fences.BY_NAME if not control_fences.detects(name)]
        count = len(control_fences.CASES)
        summary |= {"fences": count, "found": count - len(missed), "missed": missed}
        failed = failed or bool(missed)
    print(json.dumps(summary))
    return 1 if failed else 0
