"""`python -m embersill.lab soak`: seeded runs of the whole gateway as processes, and what they broke."""

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
from embersill.rig.soak.play import Play
from embersill.rig.soak.record import Record
from embersill.rig.soak.schedule import Schedule, generate
from embersill.rig.soak.shrink import shrink

SHOWN = 8  # findings of a run that are printed


class Result(msgspec.Struct):
    """One run."""

    schedule: Schedule
    record: Record
    findings: list[Finding]
    logs: list[str]


async def run(schedule: Schedule, environ: dict[str, str]) -> Result:
    """Plays a schedule in a folder that is gone afterwards."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        play = Play(schedule, Path(folder), environ)
        record = await play.play()
        return Result(schedule, record, judge(record), play.logs())


async def run_all(schedules: list[Schedule], jobs: int, environ: dict[str, str], keep: Path) -> list[Result]:
    """Plays schedules, so many at a time; what breaks a rule is kept in a folder."""
    room, results = asyncio.Semaphore(jobs), list[Result]()

    async def one(schedule: Schedule) -> None:
        async with room:
            result = await run(schedule, environ)
        results.append(result)
        tell(result)
        if result.findings:
            write(result, keep)

    await asyncio.gather(*(one(schedule) for schedule in schedules))
    return results


def tell(result: Result) -> None:
    """One line for a run, and some for what it broke."""
    record = result.record
    left = sum(one.gone for one in record.tries)
    print(
        f"seed {result.schedule.seed}: {len(record.tries)} requests, {left} whose clients left, "
        f"{len(record.struck)} troubles, {len(record.exits)} exits: {len(result.findings)} findings",
        flush=True,
    )
    for found in result.findings[:SHOWN]:
        print(f"  {found.at:8.3f} s  g{found.gateway} {found.rule.value} {found.attempt} {found.text}")


def write(result: Result, keep: Path) -> None:
    """Keeps the schedule of a run, what was seen, what was found, and the logs, in files."""
    folder = keep / f"soak-{result.schedule.seed}"
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
    """All that was seen of the requests that broke a rule, and all troubles, by time."""
    named = {found.attempt for found in result.findings}
    lines: list[tuple[float, str]] = [(found.at, f"FOUND {found.rule.value} {found.attempt} {found.text}")
                                      for found in result.findings]  # fmt: skip
    for struck in result.record.struck:
        lines.append((struck.began, f"g{struck.gateway} {struck.kind.value} until {struck.ended:.3f}"))
    for one in result.record.tries:
        if one.attempt in named:
            lines.append((one.sent_at, f"client {one.client} sends {one.attempt} to g{one.gateway}"))
            lines += [
                (a.at, f"client {one.client} is told {a.status} for {one.attempt}") for a in one.answers
            ]
            lines += [
                (at, f"{what} {one.attempt}")
                for at, what in ((one.left_at, "left"), (one.cut_at, "cut"))
                if at
            ]
    for ran in result.record.runs:
        if ran.attempt in named:
            lines.append((ran.arrived, f"{ran.backend} ({ran.kind.value}) gets {ran.attempt}"))
            lines.append((ran.ended, f"{ran.backend} ends {ran.attempt}: {ran.end.value}"))
    lines += [(ended.at, f"g{ended.gateway} ended with {ended.code}") for ended in result.record.exits]
    return [f"{at:9.3f}  {text}" for at, text in sorted(lines)]


def summary(results: list[Result]) -> dict[str, int]:
    """Figures over all runs."""
    counts = Counter(found.rule for result in results for found in result.findings)
    return {
        "seeds": len(results),
        "bad": sum(bool(result.findings) for result in results),
        **{rule.value: counts[rule] for rule in Rule},
        "requests": sum(len(result.record.tries) for result in results),
        "left": sum(one.gone for result in results for one in result.record.tries),
        "processes_most": max((result.record.processes_most for result in results), default=0),
    }


def smaller(result: Result, environ: dict[str, str], keep: Path) -> None:
    """Cuts the schedule of a run down, and keeps it."""
    rules = {found.rule for found in result.findings}

    def still_breaks(schedule: Schedule) -> bool:
        again = asyncio.run(run(schedule, environ))
        return any(found.rule in rules for found in again.findings)

    found = shrink(result.schedule, still_breaks)
    path = keep / f"soak-{result.schedule.seed}" / "smaller.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(found)))
    print(
        f"seed {found.seed} cut down to {len(found.actions)} actions, {len(found.troubles)} troubles: {path}"
    )


def main(options: argparse.Namespace) -> int:
    """Plays what was asked for; 1 if a run broke a rule."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # its processes end with it, as on control-C
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
            smaller(bad[0], environ, options.keep)
    print(json.dumps(summary(results)))
    return 1 if bad else 0


def add_to(subparsers: Any) -> None:
    """The command's options."""
    parser = subparsers.add_parser("soak", help="play seeded runs of the whole gateway as processes")
    parser.set_defaults(what="soak")
    parser.add_argument("--seeds", type=int, default=5, help="how many runs, by seeds one after the other")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seed", type=int, help="this one alone")
    parser.add_argument("--seconds", type=float, default=30.0, help="of traffic, each")
    parser.add_argument("--gateways", type=int, default=5, help="processes of a run")
    parser.add_argument("--clients", type=int, default=40, help="of a run")
    parser.add_argument("--jobs", type=int, default=1, help="runs beside one another")
    parser.add_argument("--fence", choices=sorted(FENCES), help="without these lines of the product")
    parser.add_argument("--keep", type=Path, default=Path("found"), help="folder for what broke a rule")
    parser.add_argument("--replay", help="a schedule.json or smaller.json that was kept")
    parser.add_argument("--shrink", action="store_true", help="cut the first bad schedule down")
