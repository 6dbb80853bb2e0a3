"""The lab's commands without sockets: schedules, fences and stories of its worlds, and the search."""

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

ROUND = 200  # seeds between looks at what has been met, with --steer
FOCUS = 4  # kinds of message that the next round aims at


def one(work: tuple[str, int, tuple[str, ...], bool]) -> tuple[int, str, dict[str, float], list[Any]]:
    """A seed's schedule: its number, the rule it breaks if any, its figures, the pairs that it met."""
    world, seed, focus, covers = work
    coverage = Coverage() if covers else None
    try:
        schedule = part_of(world, "generate").generate(seed, focus)
        figures = part_of(world, "world").play(schedule, coverage=coverage)
        broken = ""
    except Broken as error:
        figures, broken = {}, str(error)
    return seed, broken, figures, list(coverage.pairs.items()) if coverage is not None else []


def keep(folder: Path, world: str, seed: int, focus: tuple[str, ...]) -> str:
    """Cuts a failing schedule down and writes it to a file; returns its story."""
    schedule = part_of(world, "generate").generate(seed, focus)
    shorten = part_of(world, "shorten")
    broken = shorten.breaks(schedule)
    assert broken is not None, "a schedule that broke a rule breaks none"
    kept, _ = shorten.shorten(schedule, broken)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{seed}.json").write_bytes(encode_saved(kept))
    return str(kept.story)


def schedules(options: argparse.Namespace) -> int:
    """Plays schedules on all cores; each one that breaks a rule is told with the seed that replays it."""
    first = options.first if options.seed is None else options.seed
    seeds = options.seeds if options.seed is None else 1
    told: dict[str, Any] = {"schedules": 0, "broken": 0, "tries": 0, "events": 0}
    lowest, began, spent = float("inf"), time.monotonic(), 0.0
    coverage, focus = Coverage(), tuple[str, ...]()
    covers = options.coverage or options.steer
    with multiprocessing.Pool(min(os.cpu_count() or 1, seeds)) as pool:
        for start in range(first, first + seeds, ROUND):
            end = min(start + ROUND, first + seeds)
            work = [(options.world, seed, focus, covers) for seed in range(start, end)]
            for seed, broken, figures, pairs in pool.imap(one, work, chunksize=4):
                told["schedules"] += 1
                coverage.add(pairs)
                if broken:
                    told["broken"] += 1
                    print(f"seed {seed}: {broken}", flush=True)
                    if options.keep:
                        print(keep(Path(options.keep), options.world, seed, focus), flush=True)
                else:
                    told["tries"] += figures["tries"]
                    told["events"] += figures["events"]
                    lowest = min(lowest, figures["lowest"])
            if told["schedules"] % 1000 == 0:
                print(f"{told['schedules']} schedules, {told['broken']} broken", flush=True)
            focus = tuple(coverage.rarest(FOCUS)) if options.steer else ()
        spent = time.monotonic() - began
    if covers:
        print(coverage.table())
    print(
        json.dumps(
            {**told, "ceiling_lowest": lowest, "seconds": round(spent, 1), "pairs_met": len(coverage.pairs)}
        )
    )
    return 1 if told["broken"] else 0


def fences(options: argparse.Namespace) -> int:
    """Takes out one fence after the other and tells how many seeds it took to find."""
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
        how = (
            f"seed no. {result['played']}: {result['text']}"
            if result["found"]
            else f"NOT FOUND in {result['played']} seeds"
        )
        print(f"{result['fence']:<20} {by_name[result['fence']].guards}\n{'':<20} {how}", flush=True)
    found = [result for result in results if result["found"]]
    print(
        json.dumps(
            {
                "fences": len(results),
                "fences_found": len(found),
                "median_seeds_to_find": statistics.median(result["played"] for result in results),
                "most_seeds_to_find": max(result["played"] for result in results),
            }
        )
    )
    return 0 if len(found) == len(results) else 1


def tell(options: argparse.Namespace) -> int:
    """The story of a schedule in a file, played anew."""
    try:
        kept = decode_saved(Path(options.file).read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        print(f"{options.file}: {error}", file=sys.stderr)
        return 2
    for step in kept.schedule.steps:
        print(step.describe())
    print(part_of(options.world, "shorten").story(kept.schedule))
    return 0


def search_small(options: argparse.Namespace) -> int:
    """All interleavings of two forwarders and two planners, or of three members, up to a depth."""
    find = search if options.world == "levels" else part_of(options.world, "search").search
    told = find(options.depth, options.most_states, os.cpu_count() or 1)
    print(json.dumps(told))
    return 1 if told["broken"] else 0


COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "mutants": wide.command,
    "schedules": schedules,
    "fences": fences,
    "story": tell,
    "search": search_small,
}


def world_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--world", choices=WORLDS, default="levels", help="what is played")


def add_to(commands: Any) -> None:
    """The commands' arguments."""
    parser = commands.add_parser("schedules", help="seeded schedules, without sockets")
    parser.set_defaults(what="schedules")
    world_argument(parser)
    parser.add_argument("--seeds", type=int, default=1000, help="how many")
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--seed", type=int, default=None, help="only this one")
    parser.add_argument("--coverage", action="store_true", help="print which message met which state")
    parser.add_argument(
        "--steer", action="store_true", help="aim each round of seeds at what the rounds before met least"
    )
    parser.add_argument("--keep", metavar="DIR", default="", help="cut what fails down, and write it there")
    parser = commands.add_parser("fences", help="take fences out, and see whether schedules find it")
    parser.set_defaults(what="fences")
    world_argument(parser)
    parser.add_argument("--seeds", type=int, default=500, help="at most, for each")
    parser.add_argument("--first", type=int, default=7_000_000, help="the first seed")
    parser.add_argument("--only", nargs="+", default=[], metavar="NAME")
    parser = commands.add_parser("story", help="what happens in a schedule that was kept")
    parser.set_defaults(what="story")
    world_argument(parser)
    parser.add_argument("file")
    wide.add_to(commands)
    parser = commands.add_parser("search", help="every interleaving in the small, up to a depth")
    parser.set_defaults(what="search")
    parser.add_argument("--world", choices=("levels", "council"), default="levels", help="what is searched")
    parser.add_argument("--depth", type=int, default=8)
    parser.add_argument("--most-states", type=int, default=2_000_000)
