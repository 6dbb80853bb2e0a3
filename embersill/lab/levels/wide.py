"""Mutation testing of the modules that make decisions: finds mutants that no schedule or quick test detects.

`python -m embersill.lab mutants` runs each in a process of its own, which plays schedules, then the tests.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from embersill.world.fences import replace_source, source_of
from embersill.world.mutants import Mutant, mutants, mutated

MODULES = (
    "embersill.admission",
    "embersill.attempts",
    "embersill.backends",
    "embersill.control",
    "embersill.fleet",
    "embersill.totals",
    "embersill.throttle",
    "embersill.tiers.forwarder",
    "embersill.tiers.planner",
    "embersill.tiers.ledger",
    "embersill.tiers.parts",
    "embersill.tiers.reserves",
    "embersill.tiers.multipath",
    "embersill.ratelimit.asking",
)
TESTS = (
    "tests/test_rules.py",
    "tests/test_throttle.py",
    "tests/test_together.py",
    "tests/test_adapter.py",
    "tests/tiers/test_takeover.py",
    "tests/tiers/test_ledger.py",
    "tests/tiers/test_multipath.py",
    "tests/tiers/test_wire.py",
    "tests/ratelimit/test_asking.py",
    "tests/ratelimit/test_answering.py",
)  # tests without sockets
NOTHING = "nothing"
MUTANT_TIMEOUT_S = 120.0  # detects mutants that cause endless loops


def detect(module: str, number: int, what: str, seeds: int) -> str:
    """Runs a mutant in this process and returns what detected it: a rule, tests, or nothing ("")."""
    _, source = source_of(module)
    replace_source(module, mutated(source, Mutant(number, 0, what)))
    from embersill.lab.levels.generate import generate
    from embersill.lab.levels.world import play
    from embersill.world.oracles import Broken

    for seed in range(8_000_000, 8_000_000 + seeds):
        try:
            play(generate(seed))
        except Broken as broken:
            return f"schedules: {broken.rule}"
        except Exception as error:
            return f"schedules: {type(error).__name__}"
    import pytest

    return "" if pytest.main(["-q", "-x", "-p", "no:cacheprovider", *TESTS]) == 0 else "tests"


def detect_in_subprocess(module: str, mutant: Mutant, seeds: int) -> dict[str, Any]:
    """Runs a mutant in a process of its own and returns a report."""
    command = [
        sys.executable,
        "-m",
        "embersill.lab.levels.wide",
        module,
        str(mutant.number),
        mutant.what,
        str(seeds),
    ]
    report = {"module": module, "line": mutant.line, "what": mutant.what}
    try:
        result = subprocess.run(
            command, capture_output=True, text=True, check=False, timeout=MUTANT_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return {**report, "noticed": "runs for ever"}
    last = result.stdout.strip().splitlines()[-1:] or [""]
    if result.returncode or not last[0].startswith("noticed by "):
        return {**report, "noticed": "falls over"}
    return {**report, "noticed": last[0].removeprefix("noticed by ").removesuffix(NOTHING)}


def detect_all(modules: list[str], sample: int, seeds: int, seed: int) -> Iterator[dict[str, Any]]:
    """Runs all mutants of the modules, or a random sample of them, several in parallel."""
    chosen = [(module, mutant) for module in modules for mutant in mutants(source_of(module)[1])]
    if 0 < sample < len(chosen):
        chosen = sorted(
            random.Random(seed).sample(chosen, sample), key=lambda pair: (pair[0], pair[1].number)
        )
    with ThreadPoolExecutor(os.cpu_count() or 1) as pool:
        yield from pool.map(lambda pair: detect_in_subprocess(pair[0], pair[1], seeds), chosen)


def command(options: argparse.Namespace) -> int:
    """Prints undetected mutants and counts; the return value is the exit status."""
    counts = {"mutants": 0, "by_schedules": 0, "by_tests": 0, "otherwise": 0, "survivors": 0}
    for report in detect_all(
        options.module or list(MODULES), options.most, options.seeds, options.sample_seed
    ):
        counts["mutants"] += 1
        how = report["noticed"]
        kind = (
            "survivors"
            if not how
            else "by_tests"
            if how == "tests"
            else "by_schedules"
            if how.startswith("schedules")
            else "otherwise"
        )
        counts[kind] += 1
        if not how:
            print(f"{report['module']}:{report['line']}: {report['what']}", flush=True)
    print(json.dumps(counts))
    return 0


def add_to(commands: Any) -> None:
    """Adds the sub-command `mutants`."""
    parser = commands.add_parser("mutants", help="mutation testing of the modules that make decisions")
    parser.set_defaults(what="mutants")
    parser.add_argument("--module", nargs="+", default=[])
    parser.add_argument("--most", type=int, default=0, help="size of a random sample; 0: all")
    parser.add_argument("--sample-seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=20, help="schedules played against each mutant before the tests"
    )


if __name__ == "__main__":
    print("noticed by", detect(sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4])) or NOTHING)
