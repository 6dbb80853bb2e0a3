"""The rate limit service, measured: `python -m benchmarks.ratelimit`.

- answering: our service next to a handler of the same library that always says OK, each held to one core, at
  1, 64 and 512 streams; by turns in one run.
- asking: what a gateway's question to a service adds to a request, and to its own processor time.
- agreement: one sequence through the gateway's throttle, a service that it asks, a client that asks it.
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
from benchmarks.tiers import say
from embersill.lab.agreement import compare
from embersill.rig.deployment import Deployment, Shape
from embersill.rig.processes import processor_time, resident_kb
from embersill.lab.limiter import Limiter
from embersill.rig.standins import BackendBehaviour

CLIENTS = 3  # processes that load a server


async def one_server(kind: str, streams: int, seconds: float) -> dict[str, float]:
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
        count = min(CLIENTS, streams)
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
            told = json.loads(out)
            answered += told["count"]
            latencies += told["latencies"]
        latencies.sort()
        spent = sum(processor_time(server.pid)) - before
        return {
            "per_second": answered / seconds,
            "cpu_us": 1e6 * spent / answered,
            "p50_ms": 1000 * latencies[len(latencies) // 2],
            "p99_ms": 1000 * latencies[int(0.99 * (len(latencies) - 1))],
            "memory_mb": resident_kb(server.pid) / 1024,
        }
    finally:
        server.kill()
        await server.wait()


async def answering(seconds: float) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for streams in (1, 64, 512):
        runs: dict[str, list[dict[str, float]]] = {"bare": [], "ours": []}
        for _ in range(2):
            for kind in runs:
                runs[kind].append(await one_server(kind, streams, seconds))
        for kind, made in runs.items():
            for figure in made[0]:
                value = sum(run[figure] for run in made) / len(made)
                figures[f"{kind}_{streams}_{figure}"] = round(value, 2)
        ratio = figures[f"ours_{streams}_per_second"] / figures[f"bare_{streams}_per_second"]
        figures[f"throughput_vs_bare_{streams}"] = round(ratio, 3)
    figures["throughput_vs_bare"] = min(figures[f"throughput_vs_bare_{n}"] for n in (1, 64, 512))
    return say("answering", figures)


async def loaded(text: str, connections: int, seconds: float) -> dict[str, float]:
    deployment = Deployment(
        Shape(fronts=1, planners=0, backends=4, behaviour=BackendBehaviour(0.0, 0.0), operator=text)
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
        spent, served = front.cpu_seconds() - before, load.served
        load.stop()
    finally:
        deployment.close()
    return {
        "cpu_us": 1e6 * spent / max(served, 1),
        "median_us": load.quantile_us(0.5),
        "p99_us": load.quantile_us(0.99),
        "served": served,
    }


async def asking(seconds: float) -> dict[str, Any]:
    limiter = Limiter({"free": (1e9, 1e9)}, asyncio.get_running_loop().time)
    limiter.record_requests = False
    await limiter.start()
    text = (
        f'[ratelimit.ask]\nservices = ["{limiter.address}"]\ndomain = "lookup"\nplans = ["free"]\n'
        "timeout = 1.0\nwithin = 1.0\nwithin_part = 0.5\n"
    )
    runs: dict[str, list[dict[str, float]]] = {"plain": [], "asking": []}
    for _ in range(2):
        runs["plain"].append(await loaded("", 1, seconds))
        runs["asking"].append(await loaded(text, 1, seconds))
    await limiter.stop()
    figures: dict[str, Any] = {}
    for figure in ("median_us", "p99_us", "cpu_us"):
        means = {kind: sum(run[figure] for run in made) / len(made) for kind, made in runs.items()}
        figures[f"asking_adds_{figure}"] = round(means["asking"] - means["plain"], 1)
    return say("asking", figures)


async def run(options: argparse.Namespace) -> dict[str, Any]:
    wanted = set(options.only.split(",")) if options.only else {"answering", "asking", "agreement"}
    figures: dict[str, Any] = {}
    if "answering" in wanted:
        figures.update(await answering(options.seconds))
    if "asking" in wanted:
        figures.update(await asking(options.seconds))
    if "agreement" in wanted:
        figures.update(say("agreement", await compare(options.tries)))
    return figures


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.ratelimit", description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="of each measurement")
    parser.add_argument("--tries", type=int, default=100_000, help="of the recorded sequence")
    parser.add_argument("--only", default="", help="some of answering,asking,agreement")
    figures = uvloop.run(run(parser.parse_args()))
    print(json.dumps(figures))
    return 1 if figures.get("asking_differs") or figures.get("asked_differs") else 0


if __name__ == "__main__":
    sys.exit(main())
