"""Runs schedules with one fence removed until one violates a rule, in a separate process for each fence.

Nothing of the product is imported before the fence is removed; `embersill/world/fences.py` explains why.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from typing import Any

from embersill.lab.worlds import part_of
from embersill.world.fences import take_out


def hunt(fence: str, first: int, seeds: int, keep: str = "", world: str = "levels") -> dict[str, Any]:
    """Runs the schedules of some seeds in this process without a fence; "" removes none."""
    if fence:
        take_out(part_of(world, "fences").BY_NAME[fence])
    generate = part_of(world, "generate").generate
    breaks, shorten = part_of(world, "shorten").breaks, part_of(world, "shorten").shorten
    from embersill.world.schedules import encode_saved

    for played, seed in enumerate(range(first, first + seeds), 1):
        schedule = generate(seed)
        violation = breaks(schedule)
        if violation is not None:
            result: dict[str, Any] = {
                "fence": fence,
                "found": True,
                "played": played,
                "seed": seed,
                "rule": violation.rule,
                "text": str(violation),
                "steps": len(schedule.steps),
            }
            if keep:
                saved, runs = shorten(schedule, violation, fence)
                Path(keep).write_bytes(encode_saved(saved))
                result |= {"shrunk_to": len(saved.schedule.steps), "runs": runs}
            return result
    return {"fence": fence, "found": False, "played": seeds}


def hunt_in_subprocess(
    fence: str, first: int, seeds: int, keep: str = "", world: str = "levels"
) -> dict[str, Any]:
    """As `hunt`, in a new process."""
    command = [sys.executable, "-m", "embersill.lab.hunt", fence, str(first), str(seeds), keep, world]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    if completed.returncode:
        raise RuntimeError(f"{fence}: {completed.stderr.strip()[-2000:]}")
    result: dict[str, Any] = json.loads(completed.stdout)
    return result


def hunt_all(
    first: int, seeds: int, processes: int, names: list[str] | None = None, world: str = "levels"
) -> Iterator[dict[str, Any]]:
    """Hunts all fences of a world, `processes` at a time; yields results as they finish."""
    chosen = names or [fence.name for fence in part_of(world, "fences").FENCES]
    with ThreadPoolExecutor(processes) as pool:
        running = [pool.submit(hunt_in_subprocess, name, first, seeds, "", world) for name in chosen]
        for finished in as_completed(running):
            yield finished.result()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("fence")
    parser.add_argument("first", type=int)
    parser.add_argument("seeds", type=int)
    parser.add_argument("keep", nargs="?", default="")
    parser.add_argument("world", nargs="?", default="levels")
    arguments = parser.parse_args()
    print(
        json.dumps(hunt(arguments.fence, arguments.first, arguments.seeds, arguments.keep, arguments.world))
    )
