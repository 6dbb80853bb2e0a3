"""The ordinary path, measured: `python -m benchmarks.ordinary_path`.

A gateway and a bare pass-through on the same libraries, as processes in one run, by turns, under the same
closed load to backends that answer at once: processor time (user and system) and system calls a request,
requests a second of one core, latency; by class, by body, by connections and by customers. The counts that
repeat exactly are in `benchmarks.counts`, whose figures for an ordinary lookup are printed too.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import shutil
import signal
import sys
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.closed_loop import ClosedLoop
from benchmarks.counts import count
from benchmarks.tiers import say
from embersill.rig.deployment import Deployment, Shape
from embersill.rig.processes import processor_time, resident_kb
from embersill.rig.standins import BackendBehaviour

ANSWER = 200  # bytes


async def system_calls(pid: int, load: ClosedLoop, seconds: float) -> float:
    """System calls a request, by strace; nought where there is none. It slows down what it watches."""
    strace = shutil.which("strace")
    if strace is None:
        return 0.0
    tracer = await asyncio.create_subprocess_exec(
        strace, "-f", "-c", "-p", str(pid), stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE
    )
    await asyncio.sleep(0.3)
    before = load.served
    await asyncio.sleep(seconds)
    served = load.served - before
    tracer.send_signal(signal.SIGINT)
    _, told = await tracer.communicate()
    total = re.search(r"^\s*100[.,]00\s+\S+\s+\S*\s*(\d+)\s+(?:\d+\s+)?total", told.decode(), re.MULTILINE)
    # what came before and after the counted part is in the total too: at most a tenth
    return round(int(total[1]) / max(served, 1) * seconds / (seconds + 0.3), 2) if total else 0.0


class Target:
    """One process under load."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.deployment = Deployment(
            Shape(
                fronts=1,
                planners=0,
                backends=4,
                behaviour=BackendBehaviour(0.0, 0.0),
                status_every=0.0,
                sockets=4096,
            )
        )
        for backend in self.deployment.backends:
            backend.on_arrival = lambda arrival, runs: None
            backend.body_padding = b"a" * (ANSWER - 16)
        self.process: asyncio.subprocess.Process | None = None
        self.pid = self.port = 0

    async def start(self) -> None:
        if self.kind == "gateway":
            await self.deployment.start()
            front = self.deployment.fronts[0]
            member = self.deployment.members[front.name].process
            assert member is not None
            self.port, self.pid = front.port, member.pid
            return
        backend = self.deployment.backends[0]
        await backend.start()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.passthrough", str(backend.port), stdout=asyncio.subprocess.PIPE
        )
        assert self.process.stdout is not None
        self.port, self.pid = int(await self.process.stdout.readline()), self.process.pid

    def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        self.deployment.close()


async def measure(
    kind: str,
    seconds: float,
    *,
    connections: int = 16,
    customers: int = 100,
    klass: str = "lookup",
    body: int = 0,
    trace: bool = False,
) -> dict[str, float]:
    target = Target(kind)
    try:
        await target.start()
        load = ClosedLoop(connections, customers=customers, klass=klass, body=body)
        await load.start(target.port)
        await asyncio.sleep(1.0)
        load.reset()
        user, system = processor_time(target.pid)
        await asyncio.sleep(seconds)
        after = processor_time(target.pid)
        served = max(load.served, 1)
        told = {
            "user_us": 1e6 * (after[0] - user) / served,
            "system_us": 1e6 * (after[1] - system) / served,
            "per_second": load.served / seconds,
            "p50_us": load.quantile_us(0.5),
            "p99_us": load.quantile_us(0.99),
            "memory_kb": float(resident_kb(target.pid)),
            "not_served": float(load.other),
        }
        told["cpu_us"] = told["user_us"] + told["system_us"]
        if trace:
            told["system_calls"] = await system_calls(target.pid, load, 1.0)
        load.stop()
    finally:
        target.close()
    return told


async def several(
    times: int, seconds: float, kinds: tuple[str, ...], **how: Any
) -> dict[str, dict[str, float]]:
    """The best of so many turns, each kind once a turn: whatever else the machine does only adds."""
    runs: dict[str, list[dict[str, float]]] = {kind: [] for kind in kinds}
    for _ in range(times):
        for kind in kinds:
            runs[kind].append(await measure(kind, seconds, **how))
    return {
        kind: {name: round(value, 2) for name, value in min(made, key=lambda r: r["cpu_us"]).items()}
        for kind, made in runs.items()
    }


async def run(options: argparse.Namespace) -> dict[str, Any]:
    seconds = options.seconds
    told = await several(options.turns, seconds, ("passthrough", "gateway"), trace=True)
    figures: dict[str, Any] = {}
    for kind, means in told.items():
        figures.update({f"{kind}_{name}": value for name, value in say(kind, means).items()})
    figures["cpu_vs_passthrough"] = round(told["gateway"]["cpu_us"] / told["passthrough"]["cpu_us"], 2)
    others: dict[str, dict[str, Any]] = {
        "report": {"klass": "report", "body": 200},
        "extract": {"klass": "extract", "body": 200},
        "extract_16k": {"klass": "extract", "body": 16_384},
    }
    for name, how in others.items():
        means = (await several(options.turns, seconds, ("gateway",), **how))["gateway"]
        figures[f"{name}_cpu_us"] = say(name, means)["cpu_us"]
    for connections in options.connections:
        means = (await several(options.turns, seconds, ("gateway",), connections=connections))["gateway"]
        say(f"{connections} connections", means)
        figures[f"connections_{connections}_cpu_us"] = means["cpu_us"]
        figures[f"connections_{connections}_memory_kb"] = means["memory_kb"]
    for customers in options.customers:
        means = (await several(options.turns, seconds, ("gateway",), customers=customers))["gateway"]
        say(f"{customers} customers", means)
        figures[f"customers_{customers}_cpu_us"] = means["cpu_us"]
        figures[f"customers_{customers}_memory_kb"] = means["memory_kb"]
    figures["counts"] = say("counts a lookup", count("lookup"))
    return figures


def chart(figures: dict[str, Any], path: Path) -> None:
    """Bars of processor time a request, as SVG."""
    bars = [
        ("pass-through", figures["passthrough_cpu_us"]),
        ("lookup", figures["gateway_cpu_us"]),
        ("report", figures["report_cpu_us"]),
        ("extract", figures["extract_cpu_us"]),
        ("extract, 16 KiB", figures["extract_16k_cpu_us"]),
    ]
    bars += [
        (f"{k.split('_')[1]} {k.split('_')[0]}", v)
        for k, v in figures.items()
        if k.endswith("_cpu_us") and k.startswith(("connections_", "customers_"))
    ]
    widest = max(value for _, value in bars)
    rows = []
    for n, (name, value) in enumerate(bars):
        y, wide = 30 + 24 * n, 360 * value / widest
        rows.append(
            f'<text x="150" y="{y + 13}" text-anchor="end">{name}</text>'
            f'<rect x="160" y="{y}" width="{wide:.1f}" height="16" fill="#4878a8"/>'
            f'<text x="{166 + wide:.1f}" y="{y + 13}">{value:.0f}</text>'
        )
    high = 40 + 24 * len(bars)
    path.write_text(
        f'<svg xmlns="http://www.w3.org/2000/svg" width="600" height="{high}" font-family="sans-serif" '
        f'font-size="12"><text x="10" y="18">Processor time a request, microseconds</text>'
        + "".join(rows)
        + "</svg>\n"
    )


def numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(",") if part]


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.ordinary_path", description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="of each measurement")
    parser.add_argument("--turns", type=int, default=3, help="of which the best counts")
    parser.add_argument("--connections", type=numbers, default=[10, 100, 1000])
    parser.add_argument("--customers", type=numbers, default=[100, 10_000, 100_000])
    parser.add_argument("--chart", type=Path, default=None, help="an SVG to write")
    options = parser.parse_args()
    figures = uvloop.run(run(options))
    if options.chart is not None:
        chart(figures, options.chart)
    print(json.dumps(figures))
    return 1 if figures["gateway_not_served"] else 0


if __name__ == "__main__":
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    sys.exit(main())
