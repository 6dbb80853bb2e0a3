"""Measures the cost of ordinary requests: `python -m benchmarks.ordinary_path`.

A gateway and a minimal proxy on the same libraries run as processes, alternately in one run, under the same
closed-loop load with backends that answer at once. Measured are processor time (user and system) and system
calls per request, requests/s on one core, and latency; by class, body size, connections and customers. The
deterministic counts of `benchmarks.counts` for an ordinary lookup are printed too.
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
from benchmarks.tiers import print_figures
from embersill.rig.deployment import Deployment, Shape
from embersill.rig.processes import processor_time, resident_kb
from embersill.rig.standins import BackendBehaviour

RESPONSE_BYTES = 200


async def system_calls(pid: int, load: ClosedLoop, seconds: float) -> float:
    """System calls per request, by strace, which slows the process down; 0 if strace is not installed."""
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
    _, report = await tracer.communicate()
    total = re.search(r"^\s*100[.,]00\s+\S+\s+\S*\s*(\d+)\s+(?:\d+\s+)?total", report.decode(), re.MULTILINE)
    # the total includes calls before and after the counted interval, at most a tenth
    return round(int(total[1]) / max(served, 1) * seconds / (seconds + 0.3), 2) if total else 0.0


class Target:
    """The process under load: a gateway, or the pass-through."""

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
            backend.body_padding = b"a" * (RESPONSE_BYTES - 16)
        self.process: asyncio.subprocess.Process | None = None
        self.pid = self.port = 0

    async def start(self) -> None:
        """Starts the process and its backends, and learns its port and process id."""
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
        """Ends the process and its backends."""
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
    """Measures one target after a second of warm-up; `trace`: also its system calls."""
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
        figures = {
            "user_us": 1e6 * (after[0] - user) / served,
            "system_us": 1e6 * (after[1] - system) / served,
            "per_second": load.served / seconds,
            "p50_us": load.quantile_us(0.5),
            "p99_us": load.quantile_us(0.99),
            "memory_kb": float(resident_kb(target.pid)),
            "not_served": float(load.other),
        }
        figures["cpu_us"] = figures["user_us"] + figures["system_us"]
        if trace:
            figures["system_calls"] = await system_calls(target.pid, load, 1.0)
        load.stop()
    finally:
        target.close()
    return figures


async def best_of(
    turns: int, seconds: float, kinds: tuple[str, ...], **load_options: Any
) -> dict[str, dict[str, float]]:
    """The best of several turns, with each kind once per turn: other load on the machine only adds time."""
    runs: dict[str, list[dict[str, float]]] = {kind: [] for kind in kinds}
    for _ in range(turns):
        for kind in kinds:
            runs[kind].append(await measure(kind, seconds, **load_options))
    return {
        kind: {name: round(value, 2) for name, value in min(measured, key=lambda r: r["cpu_us"]).items()}
        for kind, measured in runs.items()
    }


async def run(options: argparse.Namespace) -> dict[str, Any]:
    """Runs all measurements."""
    seconds = options.seconds
    best = await best_of(options.turns, seconds, ("passthrough", "gateway"), trace=True)
    figures: dict[str, Any] = {}
    for kind, measured in best.items():
        figures.update({f"{kind}_{name}": value for name, value in print_figures(kind, measured).items()})
    figures["cpu_vs_passthrough"] = round(best["gateway"]["cpu_us"] / best["passthrough"]["cpu_us"], 2)
    others: dict[str, dict[str, Any]] = {
        "report": {"klass": "report", "body": 200},
        "extract": {"klass": "extract", "body": 200},
        "extract_16k": {"klass": "extract", "body": 16_384},
    }
    for name, load_options in others.items():
        measured = (await best_of(options.turns, seconds, ("gateway",), **load_options))["gateway"]
        figures[f"{name}_cpu_us"] = print_figures(name, measured)["cpu_us"]
    for connections in options.connections:
        measured = (await best_of(options.turns, seconds, ("gateway",), connections=connections))["gateway"]
        print_figures(f"{connections} connections", measured)
        figures[f"connections_{connections}_cpu_us"] = measured["cpu_us"]
        figures[f"connections_{connections}_memory_kb"] = measured["memory_kb"]
    for customers in options.customers:
        measured = (await best_of(options.turns, seconds, ("gateway",), customers=customers))["gateway"]
        print_figures(f"{customers} customers", measured)
        figures[f"customers_{customers}_cpu_us"] = measured["cpu_us"]
        figures[f"customers_{customers}_memory_kb"] = measured["memory_kb"]
    figures["counts"] = print_figures("counts per lookup", count("lookup"))
    return figures


def chart(figures: dict[str, Any], path: Path) -> None:
    """Writes a bar chart of processor time per request as SVG."""
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
    max_value = max(value for _, value in bars)
    rows = []
    for n, (name, value) in enumerate(bars):
        y, width = 30 + 24 * n, 360 * value / max_value
        rows.append(
            f'<text x="150" y="{y + 13}" text-anchor="end">{name}</text>'
            f'<rect x="160" y="{y}" width="{width:.1f}" height="16" fill="#4878a8"/>'
            f'<text x="{166 + width:.1f}" y="{y + 13}">{value:.0f}</text>'
        )
    height = 40 + 24 * len(bars)
    path.write_text(
        f'<svg xmlns="http://www.w3.org/2000/svg" width="600" height="{height}" font-family="sans-serif" '
        f'font-size="12"><text x="10" y="18">Processor time per request, microseconds</text>'
        + "".join(rows)
        + "</svg>\n"
    )


def parse_numbers(text: str) -> list[int]:
    """Comma-separated integers."""
    return [int(part) for part in text.split(",") if part]


def main() -> int:
    """Prints the figures; fails if the gateway did not serve every lookup."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.ordinary_path", description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="duration of each measurement")
    parser.add_argument("--turns", type=int, default=3, help="repetitions, of which the best counts")
    parser.add_argument("--connections", type=parse_numbers, default=[10, 100, 1000])
    parser.add_argument("--customers", type=parse_numbers, default=[100, 10_000, 100_000])
    parser.add_argument("--chart", type=Path, default=None, help="path of an SVG file to write")
    options = parser.parse_args()
    figures = uvloop.run(run(options))
    if options.chart is not None:
        chart(figures, options.chart)
    print(json.dumps(figures))
    return 1 if figures["gateway_not_served"] else 0


if __name__ == "__main__":
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    sys.exit(main())
