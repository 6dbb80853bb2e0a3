"""What the system's own news costs, by the number of gateways: `python -m benchmarks.news`. JSON."""

from __future__ import annotations

import argparse
import json
import math
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from embersill.lab.edge.news import measure


def growth(rows: list[dict[str, Any]]) -> list[float]:
    """Between neighbours, the power of gateways x backends that all bytes together grow with."""
    whole = [
        (row["gateways"] * row["backends"], row["gateways"] * row["bytes_a_gateway_and_s"]) for row in rows
    ]
    return [
        round(math.log(more / less) / math.log(size / before), 3)
        for (before, less), (size, more) in zip(whole, whole[1:], strict=False)
    ]


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.news", description=__doc__)
    parser.add_argument("--gateways", type=int, nargs="*", default=[14, 68, 96, 300])
    parser.add_argument("--seconds", type=float, default=10.0, help="of the town's time")
    parser.add_argument("--jobs", type=int, default=4)
    chosen = parser.parse_args()
    with ProcessPoolExecutor(chosen.jobs) as pool:
        rows = list(pool.map(measure, chosen.gateways, [chosen.seconds] * len(chosen.gateways)))
    json.dump({"rows": rows, "growth": growth(rows)}, sys.stdout, indent=1)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
