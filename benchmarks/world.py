"""Measures the simulator: faults found, speed, and states searched: `python -m benchmarks.world`.

The last line is JSON. Speed is compared with the simulator before the kernel, which is extracted from the
repository's history and runs alternately with the current one, with the same deployment; without that history
its figure is left out. Counts repeat exactly; times do not.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.history import extract_commit
from embersill.lab.fuzzing.corpus import SEEDS
from embersill.lab.fuzzing.engine import run_seeded
from embersill.lab.levels.generate import generate
from embersill.lab.hunt import hunt_all
from embersill.lab.levels.search import search
from embersill.lab.levels.world import play

OLD_COMMIT = "b3aa9c4"  # the last commit with the old simulator
TURNS, SCHEDULES_PER_TURN = 5, 30  # of each simulator
FORWARDERS, PLANNERS, DURATION_S, REQUESTS_PER_S = 3, 2, 5.0, 30.0  # the deployment in which both are timed
OLD_PROGRAM = """
import sys, time
from embersill.lab.simulation import play
began = time.process_time()
for seed in range(int(sys.argv[1]), int(sys.argv[2])):
    play(seed)
print(time.process_time() - began)
"""


def old_speed(folder: Path, first: int) -> float:
    """Schedules per core-second of the old simulator, in one turn."""
    command = [sys.executable, "-c", OLD_PROGRAM, str(first), str(first + SCHEDULES_PER_TURN)]
    result = subprocess.run(
        command,
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
        check=True,
    )
    return SCHEDULES_PER_TURN / float(result.stdout)


def new_speed(first: int) -> float:
    """Schedules per core-second of the current simulator, in one turn."""
    schedules = [
        generate(seed, forwarders=FORWARDERS, planners=PLANNERS, seconds=DURATION_S, rate=REQUESTS_PER_S)
        for seed in range(first, first + SCHEDULES_PER_TURN)
    ]
    started_at = time.process_time()
    for schedule in schedules:
        play(schedule)
    return SCHEDULES_PER_TURN / (time.process_time() - started_at)


def compare_speeds() -> dict[str, Any]:
    """Speed of the current simulator, and its ratio to the old one where the history has that."""
    new, old = list[float](), list[float]()
    with tempfile.TemporaryDirectory() as folder:
        has_old = extract_commit(OLD_COMMIT, Path(folder))
        for turn in range(TURNS):
            new.append(new_speed(turn * SCHEDULES_PER_TURN))
            if has_old:
                old.append(old_speed(Path(folder), turn * SCHEDULES_PER_TURN))
    figures: dict[str, Any] = {"schedules_per_core_second": round(statistics.median(new), 1)}
    if old:
        figures["schedules_per_core_second_before"] = round(statistics.median(old), 1)
        figures["speed_ratio"] = round(statistics.median(n / o for n, o in zip(new, old, strict=True)), 2)
    return figures


def main() -> int:
    """Measures and prints; fails if a fence was not found, or a search or a fuzzer found a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--depth", type=int, default=5, help="steps of the exhaustive search")
    parser.add_argument("--seeds", type=int, default=500, help="maximum per fence")
    parser.add_argument("--first", type=int, default=7_000_000, help="first seed used for the fences")
    parser.add_argument("--inputs", type=int, default=20_000, help="fuzzed inputs per target")
    options = parser.parse_args()
    cores = os.cpu_count() or 1
    figures = compare_speeds()
    print(figures, flush=True)
    results = list(hunt_all(options.first, options.seeds, cores))
    seeds_played = sorted(result["played"] for result in results)
    figures |= {
        "fences": len(results),
        "fences_found": sum(result["found"] for result in results),
        "median_seeds_to_find": statistics.median(seeds_played),
        "most_seeds_to_find": seeds_played[-1],
        "slowest_fences": [r["fence"] for r in sorted(results, key=lambda r: -r["played"])[:3]],
    }
    print(figures, flush=True)
    search_result = search(options.depth, 2_000_000, cores)
    figures |= {
        key: search_result[key] for key in ("states_explored", "steps", "depth", "search_complete", "broken")
    }
    print(figures, flush=True)
    inputs, crashes = 0, list[str]()
    for target in SEEDS:
        count, crash = run_seeded(target, 1, options.inputs)
        inputs += count
        crashes += [f"{target}: {crash.error}"] if crash is not None else []
    figures |= {"fuzz_inputs": inputs, "fuzz_crashes": len(crashes), "crashes": crashes}
    print(json.dumps(figures))
    return 0 if figures["fences"] == figures["fences_found"] and not (crashes or figures["broken"]) else 1


if __name__ == "__main__":
    sys.exit(main())
