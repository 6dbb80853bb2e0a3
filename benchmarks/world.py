"""What the world to test in finds, how fast, and how much it searched: `python -m benchmarks.world`.

Prints, last, one line of JSON. Speed is told against the schedules of the time before the kernel, taken from
the repository's history and played by turns in the same run, at the same shape; without that history the old
figure is left out. Counts repeat exactly; what is timed does not.
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

BEFORE = "b3aa9c4"  # the last commit with the schedules of before
TURNS, A_TURN = 5, 30  # turns of each, and schedules a turn
FORWARDERS, PLANNERS, SECONDS, RATE = 3, 2, 5.0, 30.0  # the shape in which both are timed
OLD = """
import sys, time
from embersill.lab.simulation import play
began = time.process_time()
for seed in range(int(sys.argv[1]), int(sys.argv[2])):
    play(seed)
print(time.process_time() - began)
"""


def old_turn(folder: Path, first: int) -> float:
    command = [sys.executable, "-c", OLD, str(first), str(first + A_TURN)]
    ran = subprocess.run(
        command,
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
        check=True,
    )
    return A_TURN / float(ran.stdout)


def new_turn(first: int) -> float:
    schedules = [
        generate(seed, forwarders=FORWARDERS, planners=PLANNERS, seconds=SECONDS, rate=RATE)
        for seed in range(first, first + A_TURN)
    ]
    began = time.process_time()
    for schedule in schedules:
        play(schedule)
    return A_TURN / (time.process_time() - began)


def speeds() -> dict[str, Any]:
    new, old = list[float](), list[float]()
    with tempfile.TemporaryDirectory() as name:
        has_old = extract_commit(BEFORE, Path(name))
        for turn in range(TURNS):
            new.append(new_turn(turn * A_TURN))
            if has_old:
                old.append(old_turn(Path(name), turn * A_TURN))
    told: dict[str, Any] = {"schedules_per_core_second": round(statistics.median(new), 1)}
    if old:
        told["schedules_per_core_second_before"] = round(statistics.median(old), 1)
        told["speed_ratio"] = round(statistics.median(n / o for n, o in zip(new, old, strict=True)), 2)
    return told


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--depth", type=int, default=5, help="of the search")
    parser.add_argument("--seeds", type=int, default=500, help="at most, for each fence")
    parser.add_argument("--first", type=int, default=7_000_000, help="the first seed for the fences")
    parser.add_argument("--inputs", type=int, default=20_000, help="fuzzed, for each target")
    options = parser.parse_args()
    cores = os.cpu_count() or 1
    told = speeds()
    print(told, flush=True)
    results = list(hunt_all(options.first, options.seeds, cores))
    played = sorted(result["played"] for result in results)
    told |= {
        "fences": len(results),
        "fences_found": sum(result["found"] for result in results),
        "median_seeds_to_find": statistics.median(played),
        "most_seeds_to_find": played[-1],
        "slowest_fences": [r["fence"] for r in sorted(results, key=lambda r: -r["played"])[:3]],
    }
    print(told, flush=True)
    searched = search(options.depth, 2_000_000, cores)
    told |= {key: searched[key] for key in ("states_explored", "steps", "depth", "search_complete", "broken")}
    print(told, flush=True)
    inputs, crashes = 0, list[str]()
    for target in SEEDS:
        ran, found = run_seeded(target, 1, options.inputs)
        inputs += ran
        crashes += [f"{target}: {found.error}"] if found is not None else []
    told |= {"fuzz_inputs": inputs, "fuzz_crashes": len(crashes), "crashes": crashes}
    print(json.dumps(told))
    return 0 if told["fences"] == told["fences_found"] and not (crashes or told["broken"]) else 1


if __name__ == "__main__":
    sys.exit(main())
