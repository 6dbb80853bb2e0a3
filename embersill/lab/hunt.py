"""Plays schedules with one fence taken out until one breaks a rule. A process of its own for each fence.

Nothing of the product is imported before the fence is out: `embersill/world/fences.py` says why.
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
    """What the schedules of some seeds find in this process without a fence; "" takes none out."""
    if fence:
        take_out(part_of(world, "fences").BY_NAME[fence])
    generate = part_of(world, "generate").generate
    breaks, shorten = part_of(world, "shorten").breaks, part_of(world, "shorten").shorten
    from embersill.world.schedules import encode_saved

    for played, seed in enumerate(range(first, first + seeds), 1):
        schedule = generate(seed)
        broken = breaks(schedule)
        if broken is not None:
            told: dict[str, Any] = {
                "fence": fence,
                "found": True,
                "played": played,
                "seed": seed,
                "rule": broken.rule,
                "text": str(broken),
                "steps": len(schedule.steps),
            }
            if keep:
                kept, runs = shorten(schedule, broken, fence)
                Path(keep).write_bytes(encode_saved(kept))
                told |= {"shrunk_to": len(kept.schedule.steps), "runs": runs}
            return told
    return {"fence": fence, "found": False, "played": seeds}


def hunt_apart(fence: str, first: int, seeds: int, keep: str = "", world: str = "levels") -> dict[str, Any]:
    """The same in a new process."""
    command = [sys.executable, "-m", "embersill.lab.hunt", fence, str(first), str(seeds), keep, world]
    ran = subprocess.run(command, capture_output=True, text=True, check=False)
    if ran.returncode:
        raise RuntimeError(f"{fence}: {ran.stderr.strip()[-2000:]}")
    loaded: dict[str, Any] = json.loads(ran.stdout)
    return loaded


def hunt_all(
    first: int, seeds: int, processes: int, names: list[str] | None = None, world: str = "levels"
) -> Iterator[dict[str, Any]]:
    """All fences of a world, some at a time; results come as they are there."""
    chosen = names or [fence.name for fence in part_of(world, "fences").FENCES]
    with ThreadPoolExecutor(processes) as pool:
        running = [pool.submit(hunt_apart, name, first, seeds, "", world) for name in chosen]
        for done in as_completed(running):
            yield done.result()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("fence")
    parser.add_argument("first", type=int)
    parser.add_argument("seeds", type=int)
    parser.add_argument("keep", nargs="?", default="")
    parser.add_argument("world", nargs="?", default="levels")
    given = parser.parse_args()
    print(json.dumps(hunt(given.fence, given.first, given.seeds, given.keep, given.world)))
