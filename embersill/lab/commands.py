"""Lab commands without sockets: random schedules, fences, stories of schedules, and exhaustive search."""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from embersill.lab.hunt import hunt_all
from embersill.lab.levels import wide
from embersill.lab.levels.search import search
from embersill.lab.worlds import WORLDS, part_of
from embersill.world.oracles import Broken
from embersill.world.schedules import decode_saved, encode_saved
from embersill.world.swarm import Coverage

SEEDS_PER_ROUND = 200  # with --steer: seeds between two evaluations of the coverage
FOCUS_KINDS = 4  # message kinds that the next round aims at


def run_schedule(
    task: tuple[str, int, tuple[str, ...], bool],
) -> tuple[int, str, dict[str, float], list[Any]]:
    """Runs a seed's schedule; returns the seed, the violated rule if any, figures, and covered pairs."""
    world, seed, focus, with_coverage = task
    coverage = Coverage() if with_coverage else None
    try:
        schedule = part_of(world, "generate").generate(seed, focus)
        figures = part_of(world, "world").play(schedule, coverage=coverage)
        violation = ""
    except Broken as error:
        figures, violation = {}, str(error)
    return seed, violation, figures, list(coverage.pairs.items()) if coverage is not None else []


def save_shortened(folder: Path, world: str, seed: int, focus: tuple[str, ...]) -> str:
    """Shortens a failing schedule and writes it to a file; returns its story."""
    schedule = part_of(world, "generate").generate(seed, focus)
    shorten = part_of(world, "shorten")
    broken = shorten.breaks(schedule)
    assert broken is not None, "a failing schedule did not fail when run again"
    saved, _ = shorten.shorten(schedule, broken)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{seed}.json").write_bytes(encode_saved(saved))
    return str(saved.story)


def schedules(options: argparse.Namespace) -> int:
    """Runs schedules on all cores; prints each violation with the seed that reproduces it."""
    first = options.first if options.seed is None else options.seed
    seeds = options.seeds if options.seed is None else 1
    totals: dict[str, Any] = {"schedules": 0, "broken": 0, "tries": 0, "events": 0}
    lowest, began, duration_s = float("inf"), time.monotonic(), 0.0
    coverage, focus = Coverage(), tuple[str, ...]()
    with_coverage = options.coverage or options.steer
    with multiprocessing.Pool(min(os.cpu_count() or 1, seeds)) as pool:
        for start in range(first, first + seeds, SEEDS_PER_ROUND):
            end = min(start + SEEDS_PER_ROUND, first + seeds)
            tasks = [(options.world, seed, focus, with_coverage) for seed in range(start, end)]
            for seed, violation, figures, pairs in pool.imap(run_schedule, tasks, chunksize=4):
                totals["schedules"] += 1
                coverage.add(pairs)
                if violation:
                    totals["broken"] += 1
                    print(f"seed {seed}: {violation}", flush=True)
                    if options.keep:
                        print(save_shortened(Path(options.keep), options.world, seed, focus), flush=True)
                else:
                    totals["tries"] += figures["tries"]
                    totals["events"] += figures["events"]
                    lowest = min(lowest, figures["lowest"])
            if totals["schedules"] % 1000 == 0:
                print(f"{totals['schedules']} schedules, {totals['broken']} broken", flush=True)
            focus = tuple(coverage.rarest(FOCUS_KINDS)) if options.steer else ()
        duration_s = time.monotonic() - began
    if with_coverage:
        print(coverage.table())
    print(
        json.dumps(
            {
                **totals,
                "ceiling_lowest": lowest,
                "seconds": round(duration_s, 1),
                "pairs_met": len(coverage.pairs),
            }
        )
    )
    return 1 if totals["broken"] else 0


def fences(options: argparse.Namespace) -> int:
    """Removes one fence after another and prints how many seeds it took to detect that."""
    by_name = part_of(options.world, "fences").BY_NAME
    unknown = [name for name in options.only if name not in by_name]
    if unknown:
        print(f"no fence {unknown[0]!r}; there are: {', '.join(by_name)}", file=sys.stderr)
        return 2
    results = []
    for result in hunt_all(
        options.first, options.seeds, os.cpu_count() or 1, options.only or None, options.world
    ):
        results.append(result)
        outcome = (
            f"seed no. {result['played']}: {result['text']}"
            if result["found"]
            else f"NOT FOUND in {result['played']} seeds"
        )
        print(f"{result['fence']:<20} {by_name[result['fence']].guards}\n{'':<20} {outcome}", flush=True)
    detected = [result for result in results if result["found"]]
    print(
        json.dumps(
            {
                "fences": len(results),
                "fences_found": len(detected),
                "median_seeds_to_find": statistics.median(result["played"] for result in results),
                "most_seeds_to_find": max(result["played"] for result in results),
            }
        )
    )
    return 0 if len(detected) == len(results) else 1


def show_story(options: argparse.Namespace) -> int:
    """Runs a schedule from a file again and prints its story."""
    try:
        saved = decode_saved(Path(options.file).read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        print(f"{options.file}: {error}", file=sys.stderr)
        return 2
    for step in saved.schedule.steps:
        print(step.describe())
    print(part_of(options.world, "shorten").story(saved.schedule))
    return 0


def search_small(options: argparse.Namespace) -> int:
    """Searches all interleavings of two forwarders and two planners, or three members, up to a depth."""
    search_function = search if options.world == "levels" else part_of(options.world, "search").search
    result = search_function(options.depth, options.most_states, os.cpu_count() or 1)
    print(json.dumps(result))
    return 1 if result["broken"] else 0


COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "mutants": wide.command,
    "schedules": schedules,
    "fences": fences,
    "story": show_story,
    "search": search_small,
}


def world_argument(parser: argparse.ArgumentParser) -> None:
    """Adds the option that selects the simulated world."""
    parser.add_argument("--world", choices=WORLDS, default="levels", help="what is simulated")


def add_to(subparsers: Any) -> None:
    """Adds the commands and their options."""
    parser = subparsers.add_parser("schedules", help="seeded schedules, without sockets")
    parser.set_defaults(what="schedules")
    world_argument(parser)
    parser.add_argument("--seeds", type=int, default=1000, help="number of seeds")
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--seed", type=int, default=None, help="run only this seed")
    parser.add_argument(
        "--coverage", action="store_true", help="print which messages arrived in which states"
    )
    parser.add_argument(
        "--steer", action="store_true", help="aim each round of seeds at what earlier rounds covered least"
    )
    parser.add_argument(
        "--keep", metavar="DIR", default="", help="shorten failing schedules and write them there"
    )
    parser = subparsers.add_parser("fences", help="remove fences, and check that schedules detect it")
    parser.set_defaults(what="fences")
    world_argument(parser)
    parser.add_argument("--seeds", type=int, default=500, help="maximum for each fence")
    parser.add_argument("--first", type=int, default=7_000_000, help="the first seed")
    parser.add_argument("--only", nargs="+", default=[], metavar="NAME")
    parser = subparsers.add_parser("story", help="print what happens in a saved schedule")
    parser.set_defaults(what="story")
    world_argument(parser)
    parser.add_argument("file")
    wide.add_to(subparsers)
    parser = subparsers.add_parser("search", help="search all interleavings of a small system up to a depth")
    parser.set_defaults(what="search")
    parser.add_argument(
        "--world", choices=("levels", "council"), default="levels", help="the system to search"
    )
    parser.add_argument("--depth", type=int, default=8)
    parser.add_argument("--most-states", type=int, default=2_000_000)
