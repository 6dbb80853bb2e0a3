"""Measures the rate limit service and its client: `python -m benchmarks.ratelimit`.

- answering: the service and, alternately in one run, a handler of the same library that always answers OK,
  each pinned to one core, at 1, 64 and 512 streams.
- asking: what a query to an external service adds to a request's latency and to the gateway's processor time.
- agreement: compares the decisions on one sequence of requests by the gateway's throttle, by an external
  service that the gateway queries, and by the gateway as the service of a client.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
from typing import Any

import uvloop

from benchmarks.closed_loop import ClosedLoop
from benchmarks.tiers import print_figures
from embersill.lab.agreement import compare
from embersill.rig.deployment import Deployment, Shape
from embersill.rig.processes import processor_time, resident_kb
from embersill.lab.limiter import Limiter
from embersill.rig.standins import BackendBehaviour

MAX_LOAD_PROCESSES = 3  # load generators per server


async def measure_server(kind: str, streams: int, seconds: float) -> dict[str, float]:
    """Throughput, latency, processor time and memory of one server process under load."""
    server = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.ratelimit_server", kind, stdout=asyncio.subprocess.PIPE
    )
    assert server.stdout is not None
    try:
        port = int(await server.stdout.readline())
        cores = sorted(os.sched_getaffinity(0))
        os.sched_setaffinity(server.pid, cores[:1])
        for thread in os.listdir(f"/proc/{server.pid}/task"):
            os.sched_setaffinity(int(thread), cores[:1])
        count = min(MAX_LOAD_PROCESSES, streams)
        before = sum(processor_time(server.pid))
        clients = [
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "benchmarks.ratelimit_load",
                str(port),
                str(streams // count),
                str(seconds),
                stdout=asyncio.subprocess.PIPE,
            )
            for _ in range(count)
        ]
        for client in clients:
            os.sched_setaffinity(client.pid, cores[1:] or cores)
        answered, latencies = 0, list[float]()
        for client in clients:
            out, _ = await client.communicate()
            report = json.loads(out)
            answered += report["count"]
            latencies += report["latencies"]
        latencies.sort()
        processor_time_s = sum(processor_time(server.pid)) - before
        return {
            "per_second": answered / seconds,
            "cpu_us": 1e6 * processor_time_s / answered,
            "p50_ms": 1000 * latencies[len(latencies) // 2],
            "p99_ms": 1000 * latencies[int(0.99 * (len(latencies) - 1))],
            "memory_mb": resident_kb(server.pid) / 1024,
        }
    finally:
        server.kill()
        await server.wait()


async def answering(seconds: float) -> dict[str, Any]:
    """Compares the service with the handler that always answers OK."""
    figures: dict[str, Any] = {}
    for streams in (1, 64, 512):
        runs: dict[str, list[dict[str, float]]] = {"bare": [], "ours": []}
        for _ in range(2):
            for kind in runs:
                runs[kind].append(await measure_server(kind, streams, seconds))
        for kind, measured in runs.items():
            for figure in measured[0]:
                value = sum(run[figure] for run in measured) / len(measured)
                figures[f"{kind}_{streams}_{figure}"] = round(value, 2)
        ratio = figures[f"ours_{streams}_per_second"] / figures[f"bare_{streams}_per_second"]
        figures[f"throughput_vs_bare_{streams}"] = round(ratio, 3)
    figures["throughput_vs_bare"] = min(figures[f"throughput_vs_bare_{n}"] for n in (1, 64, 512))
    return print_figures("answering", figures)


async def measure_gateway(operator_settings: str, connections: int, seconds: float) -> dict[str, float]:
    """Latency and processor time of a gateway under a closed-loop load."""
    deployment = Deployment(
        Shape(
            fronts=1, planners=0, backends=4, behaviour=BackendBehaviour(0.0, 0.0), operator=operator_settings
        )
    )
    for backend in deployment.backends:
        backend.on_arrival = lambda arrival, runs: None
    try:
        await deployment.start()
        load = ClosedLoop(connections)
        await load.start(deployment.fronts[0].port)
        await asyncio.sleep(1.0)
        load.reset()
        front = deployment.members[deployment.fronts[0].name]
        before = front.cpu_seconds()
        await asyncio.sleep(seconds)
        processor_time_s, served = front.cpu_seconds() - before, load.served
        load.stop()
    finally:
        deployment.close()
    return {
        "cpu_us": 1e6 * processor_time_s / max(served, 1),
        "median_us": load.quantile_us(0.5),
        "p99_us": load.quantile_us(0.99),
        "served": served,
    }


async def asking(seconds: float) -> dict[str, Any]:
    """Compares a gateway that queries an external service with one that does not."""
    limiter = Limiter({"free": (1e9, 1e9)}, asyncio.get_running_loop().time)
    limiter.record_requests = False
    await limiter.start()
    operator_settings = (
        f'[ratelimit.ask]\nservices = ["{limiter.address}"]\ndomain = "lookup"\nplans = ["free"]\n'
        "timeout = 1.0\nwithin = 1.0\nwithin_part = 0.5\n"
    )
    runs: dict[str, list[dict[str, float]]] = {"plain": [], "asking": []}
    for _ in range(2):
        runs["plain"].append(await measure_gateway("", 1, seconds))
        runs["asking"].append(await measure_gateway(operator_settings, 1, seconds))
    await limiter.stop()
    figures: dict[str, Any] = {}
    for figure in ("median_us", "p99_us", "cpu_us"):
        means = {
            kind: sum(run[figure] for run in measured) / len(measured) for kind, measured in runs.items()
        }
        figures[f"asking_adds_{figure}"] = round(means["asking"] - means["plain"], 1)
    return print_figures("asking", figures)


async def run(options: argparse.Namespace) -> dict[str, Any]:
    """Runs the selected measurements."""
    selected = set(options.only.split(",")) if options.only else {"answering", "asking", "agreement"}
    figures: dict[str, Any] = {}
    if "answering" in selected:
        figures.update(await answering(options.seconds))
    if "asking" in selected:
        figures.update(await asking(options.seconds))
    if "agreement" in selected:
        figures.update(print_figures("agreement", await compare(options.tries)))
    return figures


def main() -> int:
    """Prints the figures; fails if the decisions of the agreement measurement differ."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.ratelimit", description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="duration of each measurement")
    parser.add_argument("--tries", type=int, default=100_000, help="length of the sequence compared")
    parser.add_argument("--only", default="", help="comma-separated: answering,asking,agreement")
    figures = uvloop.run(run(parser.parse_args()))
    print(json.dumps(figures))
    return 1 if figures.get("asking_differs") or figures.get("asked_differs") else 0


if __name__ == "__main__":
    sys.exit(main())
