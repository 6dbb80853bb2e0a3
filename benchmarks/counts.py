"""What one ordinary request costs in counts that repeat exactly: `python -m benchmarks.counts --check`.

The gateway's own parts run in this process, with transports, a loop and a clock that only count: a client's
bytes go in, a backend's answer is handed back, due timers fire as the clock moves a millisecond a request. No
time is measured, so the verdict is the same on every machine. `--check` holds the counts to `ceilings.json`.
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

from embersill.lab import still
from embersill.lab.still import Harness, backend_response

CEILINGS = Path(__file__).with_name("ceilings.json")
WARM_UP, MEASURED = 500, 1000


def peak_memory(call: Callable[[], None], times: int = 21) -> float:
    """Bytes that one request has allocated at once at most, the usual one of several: a copy shows in it."""
    peaks = []
    tracemalloc.start()
    for _ in range(times):
        tracemalloc.reset_peak()
        before, _ = tracemalloc.get_traced_memory()
        call()
        peaks.append(tracemalloc.get_traced_memory()[1] - before)
    tracemalloc.stop()
    return sorted(peaks)[times // 2]


def count(klass: str, body: int = 0, answered: int = 200, piece: int = 0) -> dict[str, float]:
    """Counts a request, over many: calls of Python and C functions, objects made, timers, writes, bytes."""
    harness = Harness()
    text = backend_response(answered)
    calls: Counter[str] = Counter()

    def watch(frame: FrameType, event: str, argument: Any) -> None:
        if frame.f_code.co_filename in (__file__, still.__file__):
            return
        if event == "call":
            calls["python_calls"] += 1
            calls["objects_made"] += frame.f_code.co_name == "__init__"
        elif event == "c_call":
            calls["c_calls"] += 1
            calls["polls"] += argument.__name__ == "poll" and argument.__self__ is not None

    def run(times: int) -> None:
        for _ in range(times):
            asked = harness.request(klass, body)
            pieces = [asked[i : i + piece] for i in range(0, len(asked), piece)] if piece else [asked]
            harness.exchange(pieces, text)

    was_enabled = gc.isenabled()
    gc.disable()
    run(WARM_UP)
    harness.loop.counts.clear()
    gc.collect()
    blocks = sys.getallocatedblocks()
    sys.setprofile(watch)
    try:
        run(MEASURED)
    finally:
        sys.setprofile(None)
    kept = sys.getallocatedblocks() - blocks
    cycles = gc.collect()
    if was_enabled:
        gc.enable()
    told = {**calls, **harness.loop.counts}
    peak = peak_memory(lambda: run(1))
    harness.close()
    per = {
        name: round(told.get(name, 0) / MEASURED, 3)
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
    per["objects_in_cycles"] = round(cycles / MEASURED, 3)
    per["peak_kib"] = float(math.ceil(peak / 1024))
    per["blocks_kept"] = float(max(0, round(kept / MEASURED)))
    return per


CASES: dict[str, dict[str, Any]] = {
    "lookup": {"klass": "lookup"},
    "report": {"klass": "report", "body": 200},
    "extract": {"klass": "extract", "body": 200},
    "extract of 16 KiB": {"klass": "extract", "body": 16_384},
    "extract in pieces of 100 bytes": {"klass": "extract", "body": 1000, "piece": 100},
}


async def count_all() -> dict[str, dict[str, float]]:
    return {name: count(**case) for name, case in CASES.items()}


def over(figures: dict[str, dict[str, float]], ceilings: dict[str, dict[str, float]]) -> list[str]:
    """Which count of which case is over its ceiling, and by how much."""
    told = []
    for case, counts in figures.items():
        for name, value in counts.items():
            most = ceilings.get(case, {}).get(name)
            if most is None:
                told.append(f"{case}: {name} has no ceiling")
            elif value > most:
                told.append(f"{case}: {name} is {value:g} a request, {value - most:g} over its {most:g}")
    return told


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.counts", description=__doc__)
    parser.add_argument("--check", action="store_true", help="fail where a count is over its ceiling")
    parser.add_argument("--write", action="store_true", help="make what was counted the ceilings")
    options = parser.parse_args()
    figures = asyncio.run(count_all())
    for case, counts in figures.items():
        print(f"== {case}")
        for name, value in counts.items():
            print(f"   {name:20} {value:g}")
    if options.write:
        CEILINGS.write_text(json.dumps(figures, indent=2) + "\n")
    broken = over(figures, json.loads(CEILINGS.read_text())) if options.check else []
    for line in broken:
        print(f"over: {line}")
    print(json.dumps(figures))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
