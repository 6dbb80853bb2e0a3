"""The two levels, measured: `python -m benchmarks.tiers --seconds 60`.

- trouble: five forwarders and two planners, one killed or paused every 3 s, and the same load in peace.
- cost: processor time a request at a forwarder and at a one-level gateway, and what the hop adds.
- planners: decisions a second of 1, 2 and 4 planners, each on a core of its own.
- shift: front machines that are killed and restarted under shifting traffic, one level against two.
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


def say(title: str, figures: dict[str, Any]) -> dict[str, Any]:
    print(f"== {title}")
    for name, value in figures.items():
        print(f"   {name:28} {value}")
    sys.stdout.flush()
    return figures


async def trouble(seconds: float, rate: float) -> dict[str, Any]:
    """The same tries with planners in trouble and in peace; backends fail and drain in both."""
    settings = settings_object(5)
    # a ceiling right above the quota, and customers that ask for more: it has to hold something back
    settings["packages"][1].update(units_per_s=12.0, peak_units=24.0, hard_rate=14.0, cap_depth=28.0)
    told = {}
    for name, every in (("troubled", 3.0), ("calm", 0.0)):
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
        figures = await run_with_faults(deployment, seconds, planner_fault_every=every, drain_every=2.0)
        told[name] = say(name, figures)
    shares = {name: figures["served"] / figures["tries"] for name, figures in told.items()}
    figures = {rule: told["troubled"][rule] + told["calm"][rule] for rule in RULES}
    return say(
        "trouble",
        {
            "tries": told["troubled"]["tries"],
            **figures,
            "served_share": round(shares["troubled"], 4),
            "served_share_calm": round(shares["calm"], 4),
            "served_share_vs_calm": round(shares["troubled"] / shares["calm"], 4),
            "beyond_quota_share": told["troubled"]["beyond_quota_share"],
            "beyond_quota_share_calm": told["calm"]["beyond_quota_share"],
            "planner_kills": told["troubled"].get("planner_kills", 0),
            "planner_pauses": told["troubled"].get("planner_pauses", 0),
            "p99_ms": told["troubled"]["p99_ms"],
            "p99_ms_calm": told["calm"]["p99_ms"],
        },
    )


async def loaded(planners: int, connections: int, seconds: float) -> dict[str, Any]:
    """One front machine under a closed load of unlimited lookups to backends that answer at once."""
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
        spent = {name: member.cpu_seconds() - before[name] for name, member in deployment.members.items()}
        served, other = load.served, load.other
        load.stop()
    finally:
        deployment.close()
    front = deployment.fronts[0].name
    return {
        "served": served,
        "other": other,
        "per_second": round(served / seconds),
        "front_us": round(1e6 * spent.pop(front) / max(served, 1), 1),
        "planners_us": round(1e6 * sum(spent.values()) / max(served, 1), 1),
        "median_us": load.quantile_us(0.5),
        "p99_us": load.quantile_us(0.99),
    }


async def cost(seconds: float) -> dict[str, Any]:
    """Side by side by turns: these machines are noisy. Latency at one connection, cost at sixteen."""
    runs: dict[str, list[dict[str, Any]]] = {"one": [], "two": [], "one_idle": [], "two_idle": []}
    for _ in range(2):
        runs["one"].append(await loaded(0, 16, seconds))
        runs["two"].append(await loaded(1, 16, seconds))
        runs["one_idle"].append(await loaded(0, 1, seconds / 2))
        runs["two_idle"].append(await loaded(1, 1, seconds / 2))

    def mean(kind: str, figure: str) -> float:
        return float(sum(run[figure] for run in runs[kind]) / len(runs[kind]))

    return say(
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
    deployment = Deployment(Shape(fronts=1, planners=count, backends=8, status_every=0.0))
    try:
        for part in (deployment.discovery, deployment.counter, *deployment.backends):
            await part.start()
        for n, backend in enumerate(deployment.backends):
            deployment.discovery.entries[backend.name] = deployment.discovery.entry(backend, n % 2)
        ports = await deployment.start_planners(["l0", "l1"])
        loads = [
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
        for load in loads:
            assert load.stdout is not None
            await load.stdout.readline()
        before = {m.name: m.cpu_seconds() for m in deployment.planners()}
        await asyncio.sleep(seconds * 0.9)
        spent = sum(m.cpu_seconds() - before[m.name] for m in deployment.planners()) / 0.9
        rates = []
        for load in loads:
            assert load.stdout is not None
            told = json.loads(await load.stdout.readline())
            rates.append(told["decided"] / told["seconds"])
            await load.wait()
    finally:
        deployment.close()
    total = sum(rates)
    return {"per_second": round(total), "cpu_us": round(1e6 * spent / (total * seconds), 1)}


async def planners(seconds: float) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for count in (1, 2, 4):
        told = await decisions(count, seconds)
        figures[f"decisions_{count}"] = told["per_second"]
        figures[f"decision_cpu_us_{count}"] = told["cpu_us"]
    return say("planners", figures)


async def shift(seconds: float, rate: float) -> dict[str, Any]:
    """Shifting traffic and a front machine killed every few seconds: who is refused with quota left?"""
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
        told = say(f"{name} level", await run_with_faults(deployment, seconds, restart_front_every=4.0))
        figures[f"refused_with_quota_left_{name}"] = told["refused_with_quota_left"]
        figures[f"refused_{name}"] = told["refused"]
        figures[f"share_{name}"] = round(told["refused_with_quota_left"] / told["tries"], 4)
        figures[f"ceiling_over_slack_{name}"] = told["ceiling_over_slack"]
        figures[f"answers_none_{name}"] = told["answers_none"]
    figures["two_vs_one"] = round(figures["share_two"] / max(figures["share_one"], 1e-9), 3)
    return say("shift", figures)


async def run(options: argparse.Namespace) -> dict[str, Any]:
    wanted = set(options.only.split(",")) if options.only else {"trouble", "cost", "planners", "shift"}
    figures: dict[str, Any] = {}
    if "trouble" in wanted:
        figures.update(await trouble(options.seconds, options.rate))
    if "cost" in wanted:
        figures.update(await cost(max(options.seconds / 10, 2.0)))
    if "planners" in wanted:
        figures.update(await planners(max(options.seconds / 12, 2.0)))
    if "shift" in wanted:
        figures.update(await shift(max(options.seconds / 2, 10.0), options.rate))
    return figures


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.tiers", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0, help="of the trouble; the rest in proportion")
    parser.add_argument("--rate", type=float, default=250.0, help="tries a second")
    parser.add_argument("--only", default="", help="some of trouble,cost,planners,shift")
    figures = uvloop.run(run(parser.parse_args()))
    print(json.dumps(figures))
    return 1 if any(figures.get(rule) for rule in RULES) else 0


if __name__ == "__main__":
    sys.exit(main())
