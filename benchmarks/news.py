"""Measures the control traffic by the number of gateways: `python -m benchmarks.news`. Prints JSON."""

from __future__ import annotations

import argparse
import json
import math
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from embersill.lab.edge.traffic_figures import measure


def growth_exponents(rows: list[dict[str, Any]]) -> list[float]:
    """Between successive sizes, the exponent by which total traffic grows with gateways x backends."""
    totals = [
        (row["gateways"] * row["backends"], row["gateways"] * row["bytes_a_gateway_and_s"]) for row in rows
    ]
    return [
        round(math.log(larger_bytes / smaller_bytes) / math.log(larger / smaller), 3)
        for (smaller, smaller_bytes), (larger, larger_bytes) in zip(totals, totals[1:], strict=False)
    ]


def main() -> int:
    """Simulates each number of gateways in a process of its own and prints the result."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.news", description=__doc__)
    parser.add_argument("--gateways", type=int, nargs="*", default=[14, 68, 96, 300])
    parser.add_argument("--seconds", type=float, default=10.0, help="simulated time")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs) as pool:
        rows = list(pool.map(measure, options.gateways, [options.seconds] * len(options.gateways)))
    json.dump({"rows": rows, "growth": growth_exponents(rows)}, sys.stdout, indent=1)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
