"""Counts what an ordinary request costs, deterministically: `python -m benchmarks.counts --check`.

The gateway's components run in this process on substitutes for transports, event loop and clock that only
count: a client's bytes go in, a backend's response is returned, and due timers fire as the clock advances by
1 ms per request. No time is measured, so the result is the same on every machine. `--check` compares the
counts with `ceilings.json`.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import math
import sys
import tracemalloc
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

from embersill.lab import counting_harness
from embersill.lab.counting_harness import Harness, backend_response

CEILINGS = Path(__file__).with_name("ceilings.json")
WARMUP_REQUESTS, MEASURED_REQUESTS = 500, 1000


def peak_memory(call: Callable[[], None], repetitions: int = 21) -> float:
    """Median of the peak bytes that one request has allocated; shows copies of bodies."""
    peaks = []
    tracemalloc.start()
    for _ in range(repetitions):
        tracemalloc.reset_peak()
        before, _ = tracemalloc.get_traced_memory()
        call()
        peaks.append(tracemalloc.get_traced_memory()[1] - before)
    tracemalloc.stop()
    return sorted(peaks)[repetitions // 2]


def count(klass: str, body: int = 0, answered: int = 200, piece: int = 0) -> dict[str, float]:
    """Mean counts per request: calls of Python and C functions, objects created, timers, writes and bytes."""
    harness = Harness()
    response = backend_response(answered)
    calls: Counter[str] = Counter()

    def profile(frame: FrameType, event: str, argument: Any) -> None:
        if frame.f_code.co_filename in (__file__, counting_harness.__file__):
            return
        if event == "call":
            calls["python_calls"] += 1
            calls["objects_made"] += frame.f_code.co_name == "__init__"
        elif event == "c_call":
            calls["c_calls"] += 1
            calls["polls"] += argument.__name__ == "poll" and argument.__self__ is not None

    def run(requests: int) -> None:
        for _ in range(requests):
            request = harness.request(klass, body)
            pieces = [request[i : i + piece] for i in range(0, len(request), piece)] if piece else [request]
            harness.exchange(pieces, response)

    was_enabled = gc.isenabled()
    gc.disable()
    run(WARMUP_REQUESTS)
    harness.loop.counts.clear()
    gc.collect()
    blocks = sys.getallocatedblocks()
    sys.setprofile(profile)
    try:
        run(MEASURED_REQUESTS)
    finally:
        sys.setprofile(None)
    blocks_kept = sys.getallocatedblocks() - blocks
    cycles = gc.collect()
    if was_enabled:
        gc.enable()
    totals = {**calls, **harness.loop.counts}
    peak = peak_memory(lambda: run(1))
    harness.close()
    per_request = {
        name: round(totals.get(name, 0) / MEASURED_REQUESTS, 3)
        for name in (
            "python_calls",
            "c_calls",
            "objects_made",
            "timers_set",
            "timers_fired",
            "timers_cancelled",
            "writes",
            "polls",
            "bytes_written",
        )
    }
    per_request["objects_in_cycles"] = round(cycles / MEASURED_REQUESTS, 3)
    per_request["peak_kib"] = float(math.ceil(peak / 1024))
    per_request["blocks_kept"] = float(max(0, round(blocks_kept / MEASURED_REQUESTS)))
    return per_request


CASES: dict[str, dict[str, Any]] = {
    "lookup": {"klass": "lookup"},
    "report": {"klass": "report", "body": 200},
    "extract": {"klass": "extract", "body": 200},
    "extract of 16 KiB": {"klass": "extract", "body": 16_384},
    "extract in pieces of 100 bytes": {"klass": "extract", "body": 1000, "piece": 100},
}


async def count_all() -> dict[str, dict[str, float]]:
    """The counts of every case."""
    return {name: count(**case) for name, case in CASES.items()}


def over(figures: dict[str, dict[str, float]], ceilings: dict[str, dict[str, float]]) -> list[str]:
    """A message for each count that exceeds its ceiling, or has none."""
    messages = []
    for case, counts in figures.items():
        for name, value in counts.items():
            ceiling = ceilings.get(case, {}).get(name)
            if ceiling is None:
                messages.append(f"{case}: {name} has no ceiling")
            elif value > ceiling:
                messages.append(
                    f"{case}: {name} is {value:g} a request, {value - ceiling:g} over its {ceiling:g}"
                )
    return messages


def main() -> int:
    """Prints the counts; fails on --check if one exceeds its ceiling."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.counts", description=__doc__)
    parser.add_argument("--check", action="store_true", help="fail if a count exceeds its ceiling")
    parser.add_argument("--write", action="store_true", help="write the counts as the new ceilings")
    options = parser.parse_args()
    figures = asyncio.run(count_all())
    for case, counts in figures.items():
        print(f"== {case}")
        for name, value in counts.items():
            print(f"   {name:20} {value:g}")
    if options.write:
        CEILINGS.write_text(json.dumps(figures, indent=2) + "\n")
    exceeded = over(figures, json.loads(CEILINGS.read_text())) if options.check else []
    for line in exceeded:
        print(f"over: {line}")
    print(json.dumps(figures))
    return 1 if exceeded else 0


if __name__ == "__main__":
    sys.exit(main())
