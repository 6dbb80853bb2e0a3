"""Measures the slowdown of a lapsed tenant: `python -m benchmarks.lapse`. Prints JSON.

- town: the decision code on a simulated network, by number of gateways, without faults and with each fault;
  every run is compared with the same one without a slowdown.
- ways: the alternatives to tokens by demand, on the same simulated system.
- hall: gateways as processes on loopback, with clients on persistent and on new connections.
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

from embersill.lab.edge.lapse_experiment import FAULTS, SLOWDOWN_METHODS, compare_runs, simulate
from embersill.lab.edge.system_simulation import quantile
from embersill.rig.gateway_cluster import GatewayCluster, RequestResult

CLUSTER_TENANTS = {"lapsed": (60.0, 60.0), "dispatch": (60.0, 60.0)}  # requests/s, burst
CLUSTER_REQUESTS_PER_S = {"lapsed": 90.0, "dispatch": 40.0}
SLOWDOWN_SHARES = 0.5, 0.2  # of the tenant's quota, step by step
BASELINE_S, STEP_S, SETTLING_S = 8.0, 16.0, 4.0  # before the slowdown, of a step, and left out at its start


def compare_with_baseline(job: tuple[int, str, str, int]) -> dict[str, Any]:
    """A simulated run with a slowdown, compared with the same run without it."""
    gateways, fault, method, seed = job
    slowed, baseline = (
        simulate(gateways, fault, seed, method=method),
        simulate(gateways, fault, seed, ordered=False),
    )
    return {
        "gateways": gateways,
        "trouble": fault,
        "way": method,
        "seed": seed,
        **compare_runs(slowed, baseline),
    }


async def send_requests(
    cluster: GatewayCluster, tenant: str, requests_per_s: float, until: float, results: list[RequestResult]
) -> None:
    """Sends requests at random times, unevenly over the gateways, half of them on new connections."""
    chance, pending = random.Random(tenant), set[asyncio.Task[None]]()
    weights = [1 + number % 3 for number in range(cluster.size)]

    async def send(number: int, gateway: int) -> None:
        route = "order" if number % 4 == 0 else "ask"
        results.append(await cluster.send_request(tenant, gateway, route, fresh=number % 2 == 0))

    number = 0
    while time.monotonic() < until:
        task = asyncio.create_task(send(number, chance.choices(range(cluster.size), weights)[0]))
        pending.add(task)
        task.add_done_callback(pending.discard)
        number += 1
        await asyncio.sleep(chance.expovariate(requests_per_s))
    await asyncio.gather(*pending)


async def measure_cluster(gateways: int) -> dict[str, Any]:
    """Starts a slowdown in a cluster of processes under load and measures it by step."""
    results: list[RequestResult] = []
    with tempfile.TemporaryDirectory() as folder:
        async with GatewayCluster(Path(folder), gateways, tenants=CLUSTER_TENANTS) as cluster:
            started_at = time.monotonic()
            until = started_at + BASELINE_S + STEP_S * len(SLOWDOWN_SHARES)
            clients = [
                asyncio.create_task(send_requests(cluster, name, rate, until, results))
                for name, rate in CLUSTER_REQUESTS_PER_S.items()
            ]
            await asyncio.sleep(BASELINE_S)
            ladder = [{"share": share, "lasts_s": STEP_S} for share in SLOWDOWN_SHARES]
            ordered_at = time.monotonic()
            status, answer = await cluster.control(
                gateways - 1,
                "PUT",
                "/api/lapses/lapsed",
                {"action": "start", "by": "benchmark", "ladder": ladder},
            )
            if status != 200:
                raise RuntimeError(f"the slowdown was answered with status {status}: {answer}")
            await asyncio.gather(*clients)
            _, report = await cluster.control(0, "GET", "/api/lapses/lapsed")
            return {
                **cluster_figures(results, ordered_at, gateways),
                "doubled": sum(count > 1 for count in cluster.run_counts().values()),
                "report": report,
            }


def cluster_figures(results: list[RequestResult], ordered_at: float, gateways: int) -> dict[str, Any]:
    """What other tenants noticed, and how exactly and evenly each step slowed the lapsed tenant."""
    figures: dict[str, Any] = {"lost": sum(result.status in (0, 502, 504) for result in results)}
    others = [result for result in results if result.tenant != "lapsed"]
    for name, requests in (
        ("before", [result for result in others if result.sent_at < ordered_at]),
        ("during", [result for result in others if result.sent_at >= ordered_at]),
    ):
        durations = sorted(result.duration_s for result in requests if result.status == 200)
        figures[f"others_served_{name}"] = round(len(durations) / max(len(requests), 1), 4)
        figures[f"others_p99_ms_{name}"] = round(1000 * quantile(durations, 0.99), 1)
    for step, share in enumerate(SLOWDOWN_SHARES):
        since = ordered_at + step * STEP_S + SETTLING_S
        requests = [
            result
            for result in results
            if result.tenant == "lapsed" and since <= result.sent_at < since + STEP_S - SETTLING_S - 0.5
        ]
        by_gateway = [
            [result for result in requests if result.gateway == number] for number in range(gateways)
        ]
        served_shares = [
            (sum(result.status == 200 for result in sent) / max(len(sent), 1), len(sent))
            for sent in by_gateway
        ]
        served_share = sum(result.status == 200 for result in requests) / max(len(requests), 1)
        low, high = min(served_shares), max(served_shares)
        # the difference that chance allows: twice the sum of the standard deviations of both shares
        noise = (
            2
            * math.sqrt(served_share * (1 - served_share))
            * sum(1 / math.sqrt(max(n, 1)) for _, n in (low, high))
        )
        figures[f"step_{step}"] = {
            "rate": CLUSTER_TENANTS["lapsed"][0] * share,
            "served": round(served_share, 4),
            "served_per_s": round(served_share * len(requests) / (STEP_S - SETTLING_S - 0.5), 2),
            "evenness_raw": round(high[0] - low[0], 4),
            "evenness": round(max(high[0] - low[0] - noise, 0.0), 4),
        }
    return figures


def main() -> int:
    """Measures the cluster, then simulates in parallel processes, and prints the result."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.lapse", description=__doc__)
    parser.add_argument("--gateways", type=int, nargs="*", default=[3, 14, 96])
    parser.add_argument("--troubles", nargs="*", default=list(FAULTS), choices=FAULTS)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--ways", type=int, default=14, help="gateways in the comparison of methods; 0: none")
    parser.add_argument("--hall", type=int, default=5, help="gateways in the cluster of processes; 0: none")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    jobs = [
        (count, fault, SLOWDOWN_METHODS[0], seed)
        for count in sorted(options.gateways, reverse=True)
        for fault in options.troubles
        for seed in range(1, options.seeds + 1)
    ]
    jobs += [(options.ways, "calm", method, 1) for method in SLOWDOWN_METHODS if options.ways]
    figures: dict[str, Any] = {}
    if options.hall:
        figures["hall"] = asyncio.run(measure_cluster(options.hall))
    with ProcessPoolExecutor(options.jobs) as pool:
        rows = list(pool.map(compare_with_baseline, jobs))
    figures["town"] = [row for row in rows if row["way"] == SLOWDOWN_METHODS[0]]
    figures["ways"] = [row for row in rows if row["gateways"] == options.ways and row["trouble"] == "calm"]
    json.dump(figures, sys.stdout, indent=1)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
