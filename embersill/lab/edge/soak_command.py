"""`python -m embersill.lab soak`: seeded runs of the whole gateway as processes, checked against rules."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from embersill.rig.soak.fences import FENCES, cut_copy
from embersill.rig.soak.judge import Finding, Rule, judge
from embersill.rig.soak.record import Record
from embersill.rig.soak.schedule import Schedule, generate
from embersill.rig.soak.shrink import shrink
from embersill.rig.soak.soak_run import SoakRun

MAX_PRINTED_FINDINGS = 8  # per run


class Result(msgspec.Struct):
    """The result of one run."""

    schedule: Schedule
    record: Record
    findings: list[Finding]
    logs: list[str]


async def run(schedule: Schedule, environ: dict[str, str]) -> Result:
    """Runs a schedule in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak_run = SoakRun(schedule, Path(folder), environ)
        record = await soak_run.run()
        return Result(schedule, record, judge(record), soak_run.logs())


async def run_all(
    schedules: list[Schedule], jobs: int, environ: dict[str, str], output_folder: Path
) -> list[Result]:
    """Runs schedules, `jobs` at a time; runs with findings are written to a folder."""
    slots, results = asyncio.Semaphore(jobs), list[Result]()

    async def run_one(schedule: Schedule) -> None:
        async with slots:
            result = await run(schedule, environ)
        results.append(result)
        print_result(result)
        if result.findings:
            write_files(result, output_folder)

    await asyncio.gather(*(run_one(schedule) for schedule in schedules))
    return results


def print_result(result: Result) -> None:
    """Prints one line for a run, and its first findings."""
    record = result.record
    abandoned = sum(attempt.disconnected for attempt in record.tries)
    print(
        f"seed {result.schedule.seed}: {len(record.tries)} requests, {abandoned} whose clients left, "
        f"{len(record.struck)} faults, {len(record.exits)} exits: {len(result.findings)} findings",
        flush=True,
    )
    for finding in result.findings[:MAX_PRINTED_FINDINGS]:
        print(
            f"  {finding.at:8.3f} s  g{finding.gateway} {finding.rule.value} {finding.attempt} {finding.text}"
        )


def write_files(result: Result, output_folder: Path) -> None:
    """Writes the schedule, record, findings, time line and logs of a run to files."""
    folder = output_folder / f"soak-{result.schedule.seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for name, part in (
        ("schedule", result.schedule),
        ("record", result.record),
        ("findings", result.findings),
    ):
        (folder / f"{name}.json").write_bytes(msgspec.json.format(msgspec.json.encode(part)))
    (folder / "timeline.txt").write_text("\n".join(timeline(result)) + "\n")
    (folder / "logs.txt").write_text("\n".join(result.logs) + "\n")


def timeline(result: Result) -> list[str]:
    """All events of the requests with findings, and all faults, by time."""
    attempts_with_findings = {finding.attempt for finding in result.findings}
    lines: list[tuple[float, str]] = [
        (finding.at, f"FOUND {finding.rule.value} {finding.attempt} {finding.text}")
        for finding in result.findings
    ]
    for fault in result.record.struck:
        lines.append((fault.began, f"g{fault.gateway} {fault.kind.value} until {fault.ended:.3f}"))
    for attempt in result.record.tries:
        if attempt.attempt in attempts_with_findings:
            lines.append(
                (attempt.sent_at, f"client {attempt.client} sends {attempt.attempt} to g{attempt.gateway}")
            )
            lines += [
                (answer.at, f"client {attempt.client} receives {answer.status} for {attempt.attempt}")
                for answer in attempt.answers
            ]
            lines += [
                (time, f"{event} {attempt.attempt}")
                for time, event in ((attempt.left_at, "left"), (attempt.cut_at, "cut"))
                if time
            ]
    for backend_run in result.record.runs:
        if backend_run.attempt in attempts_with_findings:
            lines.append(
                (
                    backend_run.arrived,
                    f"{backend_run.backend} ({backend_run.kind.value}) gets {backend_run.attempt}",
                )
            )
            lines.append(
                (
                    backend_run.ended,
                    f"{backend_run.backend} ends {backend_run.attempt}: {backend_run.end.value}",
                )
            )
    lines += [
        (process_exit.at, f"g{process_exit.gateway} ended with {process_exit.code}")
        for process_exit in result.record.exits
    ]
    return [f"{time:9.3f}  {text}" for time, text in sorted(lines)]


def summary(results: list[Result]) -> dict[str, int]:
    """Totals over all runs."""
    counts = Counter(found.rule for result in results for found in result.findings)
    return {
        "seeds": len(results),
        "bad": sum(bool(result.findings) for result in results),
        **{rule.value: counts[rule] for rule in Rule},
        "requests": sum(len(result.record.tries) for result in results),
        "left": sum(attempt.disconnected for result in results for attempt in result.record.tries),
        "processes_most": max((result.record.processes_most for result in results), default=0),
    }


def shrink_schedule(result: Result, environ: dict[str, str], output_folder: Path) -> None:
    """Shrinks the schedule of a run to a smaller failing one and writes it to a file."""
    rules = {finding.rule for finding in result.findings}

    def still_breaks(schedule: Schedule) -> bool:
        rerun = asyncio.run(run(schedule, environ))
        return any(finding.rule in rules for finding in rerun.findings)

    shrunk = shrink(result.schedule, still_breaks)
    path = output_folder / f"soak-{result.schedule.seed}" / "smaller.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(shrunk)))
    print(
        f"seed {shrunk.seed} shrunk to {len(shrunk.actions)} actions, {len(shrunk.troubles)} faults: {path}"
    )


def main(options: argparse.Namespace) -> int:
    """Runs the schedules; 1 if a run has findings."""
    # so that the child processes end with this one, as on Ctrl-C
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix="soak-fence-") as copy:
        environ = cut_copy(options.fence, Path(copy)) if options.fence else {}
        if options.replay:
            schedules = [msgspec.json.decode(Path(options.replay).read_bytes(), type=Schedule)]
        else:
            seeds = (
                [options.seed]
                if options.seed is not None
                else range(options.first, options.first + options.seeds)
            )
            schedules = [generate(seed, options.seconds, options.gateways, options.clients) for seed in seeds]
        results = asyncio.run(run_all(schedules, options.jobs, environ, options.keep))
        bad = [result for result in results if result.findings]
        if bad and options.shrink:
            shrink_schedule(bad[0], environ, options.keep)
    print(json.dumps(summary(results)))
    return 1 if bad else 0


def add_to(subparsers: Any) -> None:
    """Adds the command and its options."""
    parser = subparsers.add_parser("soak", help="seeded runs of the whole gateway as processes")
    parser.set_defaults(what="soak")
    parser.add_argument("--seeds", type=int, default=5, help="number of runs, with consecutive seeds")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seed", type=int, help="run only this seed")
    parser.add_argument("--seconds", type=float, default=30.0, help="duration of traffic in each run")
    parser.add_argument("--gateways", type=int, default=5, help="gateway processes in each run")
    parser.add_argument("--clients", type=int, default=40, help="clients in each run")
    parser.add_argument("--jobs", type=int, default=1, help="concurrent runs")
    parser.add_argument("--fence", choices=sorted(FENCES), help="remove this safeguard of the product")
    parser.add_argument("--keep", type=Path, default=Path("found"), help="folder for runs with findings")
    parser.add_argument("--replay", help="run a saved schedule.json or smaller.json")
    parser.add_argument("--shrink", action="store_true", help="shrink the first failing schedule")
