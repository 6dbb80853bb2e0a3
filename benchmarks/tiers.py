"""Measures the two-level deployment: `python -m benchmarks.tiers --seconds 60`.

- trouble: five forwarders and two planners, one of which is killed or paused every 3 s, and the same load
  without these faults.
- cost: processor time per request at a forwarder and at a one-level gateway, and the latency of the hop.
- planners: decisions per second of 1, 2 and 4 planners, each on its own core.
- shift: front machines killed and restarted under shifting traffic, with one level and with two.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from typing import Any

import uvloop

from benchmarks.closed_loop import ClosedLoop
from embersill.rig.deployment import Deployment, Shape, run_with_faults
from embersill.rig.settings import settings_object
from embersill.rig.standins import BackendBehaviour

RULES = (
    "answers_none",
    "answers_two",
    "answers_wrong",
    "unsafe_twice",
    "keyed_twice",
    "refused_after_run",
    "unknown_sent",
    "late_drain_sends",
    "ceiling_over_slack",
)


def print_figures(title: str, figures: dict[str, Any]) -> dict[str, Any]:
    """Prints figures under a title and returns them."""
    print(f"== {title}")
    for name, value in figures.items():
        print(f"   {name:28} {value}")
    sys.stdout.flush()
    return figures


async def trouble(seconds: float, rate: float) -> dict[str, Any]:
    """The same requests with and without planner faults; backends fail and drain in both."""
    settings = settings_object(5)
    # a ceiling just above the quota, and customers that exceed it, so that the ceiling takes effect
    settings["packages"][1].update(units_per_s=12.0, peak_units=24.0, hard_rate=14.0, cap_depth=28.0)
    runs = {}
    for name, fault_interval_s in (("troubled", 3.0), ("calm", 0.0)):
        deployment = Deployment(
            Shape(
                fronts=5,
                planners=2,
                rate=rate,
                settings=settings,
                customers=60,
                behaviour=BackendBehaviour(
                    0.01, 0.04, error_share=0.005, reset_share=0.005, reject_share=0.01
                ),
            )
        )
        figures = await run_with_faults(
            deployment, seconds, planner_fault_every=fault_interval_s, drain_every=2.0
        )
        runs[name] = print_figures(name, figures)
    shares = {name: figures["served"] / figures["tries"] for name, figures in runs.items()}
    figures = {rule: runs["troubled"][rule] + runs["calm"][rule] for rule in RULES}
    return print_figures(
        "trouble",
        {
            "tries": runs["troubled"]["tries"],
            **figures,
            "served_share": round(shares["troubled"], 4),
            "served_share_calm": round(shares["calm"], 4),
            "served_share_vs_calm": round(shares["troubled"] / shares["calm"], 4),
            "beyond_quota_share": runs["troubled"]["beyond_quota_share"],
            "beyond_quota_share_calm": runs["calm"]["beyond_quota_share"],
            "planner_kills": runs["troubled"].get("planner_kills", 0),
            "planner_pauses": runs["troubled"].get("planner_pauses", 0),
            "p99_ms": runs["troubled"]["p99_ms"],
            "p99_ms_calm": runs["calm"]["p99_ms"],
        },
    )


async def measure_front(planners: int, connections: int, seconds: float) -> dict[str, Any]:
    """One front machine under a closed-loop load of unlimited lookups, with backends that answer at once."""
    deployment = Deployment(
        Shape(fronts=1, planners=planners, backends=4, behaviour=BackendBehaviour(0.0, 0.0), status_every=0.0)
    )
    deployment.arrived = lambda arrival, runs: None  # type: ignore[method-assign]
    for backend in deployment.backends:
        backend.on_arrival = lambda arrival, runs: None
        backend.body_padding = b"x" * 184
    try:
        await deployment.start()
        load = ClosedLoop(connections)
        await load.start(deployment.fronts[0].port)
        await asyncio.sleep(1.0)
        load.reset()
        before = {name: member.cpu_seconds() for name, member in deployment.members.items()}
        await asyncio.sleep(seconds)
        processor_time_s = {
            name: member.cpu_seconds() - before[name] for name, member in deployment.members.items()
        }
        served, other = load.served, load.other
        load.stop()
    finally:
        deployment.close()
    front = deployment.fronts[0].name
    return {
        "served": served,
        "other": other,
        "per_second": round(served / seconds),
        "front_us": round(1e6 * processor_time_s.pop(front) / max(served, 1), 1),
        "planners_us": round(1e6 * sum(processor_time_s.values()) / max(served, 1), 1),
        "median_us": load.quantile_us(0.5),
        "p99_us": load.quantile_us(0.99),
    }


async def cost(seconds: float) -> dict[str, Any]:
    """Alternates the deployments, since machines are noisy. Latency at one connection, cost at sixteen."""
    runs: dict[str, list[dict[str, Any]]] = {"one": [], "two": [], "one_idle": [], "two_idle": []}
    for _ in range(2):
        runs["one"].append(await measure_front(0, 16, seconds))
        runs["two"].append(await measure_front(1, 16, seconds))
        runs["one_idle"].append(await measure_front(0, 1, seconds / 2))
        runs["two_idle"].append(await measure_front(1, 1, seconds / 2))

    def mean(kind: str, figure: str) -> float:
        return float(sum(run[figure] for run in runs[kind]) / len(runs[kind]))

    return print_figures(
        "cost",
        {
            "gateway_cpu_us": round(mean("one", "front_us"), 1),
            "forwarder_cpu_us": round(mean("two", "front_us"), 1),
            "planner_cpu_us": round(mean("two", "planners_us"), 1),
            "forwarder_vs_gateway": round(mean("two", "front_us") / mean("one", "front_us"), 3),
            "hop_median_us": round(mean("two_idle", "median_us") - mean("one_idle", "median_us"), 1),
            "hop_p99_us": round(mean("two_idle", "p99_us") - mean("one_idle", "p99_us"), 1),
            "gateway_per_second": round(mean("one", "per_second")),
            "forwarder_per_second": round(mean("two", "per_second")),
            "not_served": sum(run["other"] for kind in runs.values() for run in kind),
        },
    )


async def decisions(count: int, seconds: float) -> dict[str, float]:
    """Rate and processor time of the decisions of a number of planners under load."""
    deployment = Deployment(Shape(fronts=1, planners=count, backends=8, status_every=0.0))
    try:
        for component in (deployment.discovery, deployment.counter, *deployment.backends):
            await component.start()
        for n, backend in enumerate(deployment.backends):
            deployment.discovery.entries[backend.name] = deployment.discovery.entry(backend, n % 2)
        ports = await deployment.start_planners(["l0", "l1"])
        load_processes = [
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "benchmarks.planner_load",
                str(port),
                name,
                f"{deployment.folder.name}/secret",
                "l0,l1",
                str(seconds),
                stdout=asyncio.subprocess.PIPE,
            )
            for name, port in ports.items()
        ]
        for process in load_processes:
            assert process.stdout is not None
            await process.stdout.readline()
        before = {m.name: m.cpu_seconds() for m in deployment.planners()}
        await asyncio.sleep(seconds * 0.9)
        processor_time_s = sum(m.cpu_seconds() - before[m.name] for m in deployment.planners()) / 0.9
        rates = []
        for process in load_processes:
            assert process.stdout is not None
            report = json.loads(await process.stdout.readline())
            rates.append(report["decided"] / report["seconds"])
            await process.wait()
    finally:
        deployment.close()
    total = sum(rates)
    return {"per_second": round(total), "cpu_us": round(1e6 * processor_time_s / (total * seconds), 1)}


async def planners(seconds: float) -> dict[str, Any]:
    """Rate and cost of decisions by the number of planners."""
    figures: dict[str, Any] = {}
    for count in (1, 2, 4):
        measured = await decisions(count, seconds)
        figures[f"decisions_{count}"] = measured["per_second"]
        figures[f"decision_cpu_us_{count}"] = measured["cpu_us"]
    return print_figures("planners", figures)


async def shift(seconds: float, rate: float) -> dict[str, Any]:
    """Refusals with quota left, under shifting traffic and with a front machine killed every few seconds."""
    figures: dict[str, Any] = {}
    for name, count in (("one", 0), ("two", 2)):
        settings = settings_object(4)
        shape = Shape(
            fronts=4,
            planners=count,
            rate=rate,
            settings=settings,
            customers=48,
            plans=("basis", "pro"),
            seed=3,
        )
        deployment = Deployment(shape)
        measured = print_figures(
            f"{name} level", await run_with_faults(deployment, seconds, restart_front_every=4.0)
        )
        figures[f"refused_with_quota_left_{name}"] = measured["refused_with_quota_left"]
        figures[f"refused_{name}"] = measured["refused"]
        figures[f"share_{name}"] = round(measured["refused_with_quota_left"] / measured["tries"], 4)
        figures[f"ceiling_over_slack_{name}"] = measured["ceiling_over_slack"]
        figures[f"answers_none_{name}"] = measured["answers_none"]
    figures["two_vs_one"] = round(figures["share_two"] / max(figures["share_one"], 1e-9), 3)
    return print_figures("shift", figures)


async def run(options: argparse.Namespace) -> dict[str, Any]:
    """Runs the selected measurements."""
    selected = set(options.only.split(",")) if options.only else {"trouble", "cost", "planners", "shift"}
    figures: dict[str, Any] = {}
    if "trouble" in selected:
        figures.update(await trouble(options.seconds, options.rate))
    if "cost" in selected:
        figures.update(await cost(max(options.seconds / 10, 2.0)))
    if "planners" in selected:
        figures.update(await planners(max(options.seconds / 12, 2.0)))
    if "shift" in selected:
        figures.update(await shift(max(options.seconds / 2, 10.0), options.rate))
    return figures


def main() -> int:
    """Prints the figures; fails if a rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.tiers", description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=60.0, help="duration of trouble; the others in proportion"
    )
    parser.add_argument("--rate", type=float, default=250.0, help="requests/s")
    parser.add_argument("--only", default="", help="comma-separated: trouble,cost,planners,shift")
    figures = uvloop.run(run(parser.parse_args()))
    print(json.dumps(figures))
    return 1 if any(figures.get(rule) for rule in RULES) else 0


if __name__ == "__main__":
    sys.exit(main())
