"""The lab's command that fuzzes: seeded and alike each time, or led by coverage for some seconds."""

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


def seeded(work: tuple[str, int, int, str]) -> tuple[str, int, Finding | None]:
    target, seed, inputs, corpus = work
    run, found = run_seeded(target, seed, inputs, Path(corpus) if corpus else None)
    return target, run, found


def guided(target: str, seconds: int, corpus: str) -> tuple[str, int, str]:
    """One target in a process of its own: how many inputs it ran, and its log's end if it found any."""
    command = [sys.executable, "-m", "embersill.lab.fuzzing.command", target, str(seconds), corpus]
    ran = subprocess.run(command, capture_output=True, text=True, check=False)
    stats = [line for line in ran.stderr.splitlines() if "number_of_executed_units" in line]
    inputs = int(stats[-1].split()[-1]) if stats else 0
    return target, inputs, "" if ran.returncode == 0 else ran.stderr[-2000:]


def fuzz(options: argparse.Namespace) -> int:
    targets = options.target or list(SEEDS)
    unknown = [target for target in targets if target not in SEEDS]
    if unknown:
        print(f"no target {unknown[0]!r}; there are: {', '.join(SEEDS)}", file=sys.stderr)
        return 2
    told: dict[str, Any] = {"targets": len(targets), "fuzz_inputs": 0, "fuzz_crashes": 0}
    if options.guided:
        with ThreadPoolExecutor(os.cpu_count() or 1) as pool:
            for target, inputs, log in pool.map(lambda t: guided(t, options.guided, options.corpus), targets):
                told["fuzz_inputs"] += inputs
                told["fuzz_crashes"] += bool(log)
                print(f"{target}: {inputs} inputs{', ' + log if log else ''}", flush=True)
    else:
        work = [(target, options.seed, options.inputs, options.corpus) for target in targets]
        with multiprocessing.Pool(min(os.cpu_count() or 1, len(work))) as processes:
            for target, run, found in processes.imap(seeded, work):
                told["fuzz_inputs"] += run
                told["fuzz_crashes"] += found is not None
                print(
                    f"{target}: {run} inputs{f', {found.error}: {found.data!r}' if found else ''}", flush=True
                )
    print(json.dumps(told))
    return 1 if told["fuzz_crashes"] else 0


def add_to(commands: Any) -> None:
    parser = commands.add_parser("fuzz", help="mutated bytes to everything that reads bytes from outside")
    parser.set_defaults(what="fuzz")
    parser.add_argument("--target", nargs="+", default=[], help="only these")
    parser.add_argument("--inputs", type=int, default=20_000, help="for each target")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--corpus", metavar="DIR", default="", help="more inputs, in a folder for each target"
    )
    parser.add_argument(
        "--guided",
        type=int,
        metavar="S",
        default=0,
        help="led by coverage for S seconds (needs requirements-fuzz.txt); " "what is new goes to the corpus",
    )


if __name__ == "__main__":
    run_guided(sys.argv[1], int(sys.argv[2]), Path(sys.argv[3]))
