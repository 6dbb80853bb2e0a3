"""The lab's `fuzz` command: deterministic from a seed, or guided by coverage for a time."""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from embersill.lab.fuzzing.corpus import SEEDS
from embersill.lab.fuzzing.engine import Finding, run_guided, run_seeded


def fuzz_seeded(job: tuple[str, int, int, str]) -> tuple[str, int, Finding | None]:
    """Fuzzes one target; returns its name, how many inputs ran, and the first finding."""
    target, seed, inputs, corpus = job
    count, finding = run_seeded(target, seed, inputs, Path(corpus) if corpus else None)
    return target, count, finding


def fuzz_guided(target: str, seconds: int, corpus: str) -> tuple[str, int, str]:
    """Fuzzes one target in a process of its own.

    Returns its name, how many inputs ran, and the end of the log if the process failed.
    """
    command = [sys.executable, "-m", "embersill.lab.fuzzing.command", target, str(seconds), corpus]
    process = subprocess.run(command, capture_output=True, text=True, check=False)
    stats = [line for line in process.stderr.splitlines() if "number_of_executed_units" in line]
    inputs = int(stats[-1].split()[-1]) if stats else 0
    return target, inputs, "" if process.returncode == 0 else process.stderr[-2000:]


def fuzz(options: argparse.Namespace) -> int:
    """Runs the command; returns its exit status. The last line of the output is JSON."""
    targets = options.target or list(SEEDS)
    unknown = [target for target in targets if target not in SEEDS]
    if unknown:
        print(f"unknown target {unknown[0]!r}; known targets: {', '.join(SEEDS)}", file=sys.stderr)
        return 2
    figures: dict[str, Any] = {"targets": len(targets), "fuzz_inputs": 0, "fuzz_crashes": 0}
    if options.guided:
        with ThreadPoolExecutor(os.cpu_count() or 1) as pool:
            for target, inputs, log in pool.map(
                lambda t: fuzz_guided(t, options.guided, options.corpus), targets
            ):
                figures["fuzz_inputs"] += inputs
                figures["fuzz_crashes"] += bool(log)
                print(f"{target}: {inputs} inputs{', ' + log if log else ''}", flush=True)
    else:
        jobs = [(target, options.seed, options.inputs, options.corpus) for target in targets]
        with multiprocessing.Pool(min(os.cpu_count() or 1, len(jobs))) as pool:
            for target, count, finding in pool.imap(fuzz_seeded, jobs):
                figures["fuzz_inputs"] += count
                figures["fuzz_crashes"] += finding is not None
                print(
                    f"{target}: {count} inputs{f', {finding.error}: {finding.data!r}' if finding else ''}",
                    flush=True,
                )
    print(json.dumps(figures))
    return 1 if figures["fuzz_crashes"] else 0


def add_to(commands: Any) -> None:
    """Adds the command to the parser of the lab's commands."""
    parser = commands.add_parser("fuzz", help="feed mutated bytes to all code that reads bytes from outside")
    parser.set_defaults(what="fuzz")
    parser.add_argument("--target", nargs="+", default=[], help="only these targets")
    parser.add_argument("--inputs", type=int, default=20_000, help="for each target")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--corpus", metavar="DIR", default="", help="further inputs, in a folder for each target"
    )
    parser.add_argument(
        "--guided",
        type=int,
        metavar="S",
        default=0,
        help="guided by coverage for S seconds (needs requirements-fuzz.txt); new inputs go to the corpus",
    )


if __name__ == "__main__":
    run_guided(sys.argv[1], int(sys.argv[2]), Path(sys.argv[3]))
