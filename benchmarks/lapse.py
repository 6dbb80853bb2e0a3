"""A lapsed tenant slowed down, measured: `python -m benchmarks.lapse`. JSON on standard output.

- town: the deciding parts on a simulated network, by number of gateways, calm and with each trouble, each run
  beside the same one without an order.
- ways: what was weighed against tokens by demand, on one and the same town.
- hall: gateways as processes on loopback, with callers on kept connections and on new ones.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import random
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from embersill.lab.edge.lapsing import FAULTS, SLOWDOWN_METHODS, compare_runs, simulate
from embersill.lab.edge.town import quantile
from embersill.rig.hall import Answered, Hall

HALL_TENANTS = {"lapsed": (60.0, 60.0), "dispatch": (60.0, 60.0)}
HALL_ASKED = {"lapsed": 90.0, "dispatch": 40.0}  # requests a second
HALL_SHARES = 0.5, 0.2
HALL_CALM, HALL_STEP, HALL_SETTLES = 8.0, 16.0, 4.0  # seconds before, of each step, until one is settled


def one(job: tuple[int, str, str, int]) -> dict[str, Any]:
    gateways, trouble, way, seed = job
    played, without = (
        simulate(gateways, trouble, seed, method=way),
        simulate(gateways, trouble, seed, ordered=False),
    )
    return {"gateways": gateways, "trouble": trouble, "way": way, "seed": seed,
            **compare_runs(played, without)}


async def callers(hall: Hall, tenant: str, per_s: float, until: float, book: list[Answered]) -> None:
    """Tries by chance, at gateways that get uneven parts, half of them on connections of their own."""
    chance, open_ones = random.Random(tenant), set[asyncio.Task[None]]()
    weights = [1 + number % 3 for number in range(hall.size)]

    async def ask(number: int, gateway: int) -> None:
        route = "order" if number % 4 == 0 else "ask"
        book.append(await hall.ask(tenant, gateway, route, fresh=number % 2 == 0))

    number = 0
    while time.monotonic() < until:
        task = asyncio.create_task(ask(number, chance.choices(range(hall.size), weights)[0]))
        open_ones.add(task)
        task.add_done_callback(open_ones.discard)
        number += 1
        await asyncio.sleep(chance.expovariate(per_s))
    await asyncio.gather(*open_ones)


async def in_a_hall(gateways: int) -> dict[str, Any]:
    book: list[Answered] = []
    with tempfile.TemporaryDirectory() as folder:
        async with Hall(Path(folder), gateways, tenants=HALL_TENANTS) as hall:
            began = time.monotonic()
            until = began + HALL_CALM + HALL_STEP * len(HALL_SHARES)
            calling = [
                asyncio.create_task(callers(hall, name, rate, until, book))
                for name, rate in HALL_ASKED.items()
            ]
            await asyncio.sleep(HALL_CALM)
            ladder = [{"share": share, "lasts_s": HALL_STEP} for share in HALL_SHARES]
            ordered_at = time.monotonic()
            status, told = await hall.control(
                gateways - 1,
                "PUT",
                "/api/lapses/lapsed",
                {"action": "start", "by": "benchmark", "ladder": ladder},
            )
            if status != 200:
                raise RuntimeError(f"the order was answered {status}: {told}")
            await asyncio.gather(*calling)
            _, report = await hall.control(0, "GET", "/api/lapses/lapsed")
            return {
                **hall_figures(book, ordered_at, gateways),
                "doubled": sum(count > 1 for count in hall.ran().values()),
                "report": report,
            }


def hall_figures(book: list[Answered], ordered_at: float, gateways: int) -> dict[str, Any]:
    found: dict[str, Any] = {"lost": sum(one.status in (0, 502, 504) for one in book)}
    others = [one for one in book if one.tenant != "lapsed"]
    for name, asked in (
        ("before", [one for one in others if one.asked_at < ordered_at]),
        ("during", [one for one in others if one.asked_at >= ordered_at]),
    ):
        took = sorted(one.took for one in asked if one.status == 200)
        found[f"others_served_{name}"] = round(len(took) / max(len(asked), 1), 4)
        found[f"others_p99_ms_{name}"] = round(1000 * quantile(took, 0.99), 1)
    for step, share in enumerate(HALL_SHARES):
        since = ordered_at + step * HALL_STEP + HALL_SETTLES
        asked = [
            one
            for one in book
            if one.tenant == "lapsed" and since <= one.asked_at < since + HALL_STEP - HALL_SETTLES - 0.5
        ]
        by_gateway = [[one for one in asked if one.gateway == number] for number in range(gateways)]
        parts = [
            (sum(one.status == 200 for one in part) / max(len(part), 1), len(part)) for part in by_gateway
        ]
        whole = sum(one.status == 200 for one in asked) / max(len(asked), 1)
        low, high = min(parts), max(parts)
        chance = 2 * math.sqrt(whole * (1 - whole)) * sum(1 / math.sqrt(max(n, 1)) for _, n in (low, high))
        found[f"step_{step}"] = {
            "rate": HALL_TENANTS["lapsed"][0] * share,
            "served": round(whole, 4),
            "served_per_s": round(whole * len(asked) / (HALL_STEP - HALL_SETTLES - 0.5), 2),
            "evenness_raw": round(high[0] - low[0], 4),
            "evenness": round(max(high[0] - low[0] - chance, 0.0), 4),
        }
    return found


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.lapse", description=__doc__)
    parser.add_argument("--gateways", type=int, nargs="*", default=[3, 14, 96])
    parser.add_argument("--troubles", nargs="*", default=list(FAULTS), choices=FAULTS)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--ways", type=int, default=14, help="gateways for the ways weighed; 0: none")
    parser.add_argument("--hall", type=int, default=5, help="gateways as processes; 0: none")
    parser.add_argument("--jobs", type=int, default=4)
    chosen = parser.parse_args()
    jobs = [
        (count, trouble, SLOWDOWN_METHODS[0], seed)
        for count in sorted(chosen.gateways, reverse=True)
        for trouble in chosen.troubles
        for seed in range(1, chosen.seeds + 1)
    ]
    jobs += [(chosen.ways, "calm", way, 1) for way in SLOWDOWN_METHODS if chosen.ways]
    found: dict[str, Any] = {}
    if chosen.hall:
        found["hall"] = asyncio.run(in_a_hall(chosen.hall))
    with ProcessPoolExecutor(chosen.jobs) as pool:
        rows = list(pool.map(one, jobs))
    found["town"] = [row for row in rows if row["way"] == SLOWDOWN_METHODS[0]]
    found["ways"] = [row for row in rows if row["gateways"] == chosen.ways and row["trouble"] == "calm"]
    json.dump(found, sys.stdout, indent=1)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
