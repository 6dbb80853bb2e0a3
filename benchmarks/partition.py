"""Measures two levels under network faults: `python -m benchmarks.partition [--seconds 24] [--seeds 1 2 3]`.

Five forwarders, two and three planners and 200 requests/s, with a relay on each connection between forwarder
and planner and between planners; one run per row (a fault pattern) and seed, `--beside` of them in parallel.
Prints JSON: the share served, overall and of plan `pro`, relative to the calm row of the same seed, moves,
broken rules, and the causes of refusals.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Iterator
from typing import Any

import msgspec
import uvloop

from embersill.rig.causes import RefusalCauses
from embersill.rig.deployment import Deployment
from embersill.rig.scenario_run import RULES, ScenarioRun, shape_of
from embersill.rig.scenarios import DrawnTable, FaultTable, Scenario, ShapeTable
from embersill.rig.standins import BackendBehaviour

RELAYED = ("@forwarder>@planner", "@planner>@planner")
LINKS = ["@forwarder>@planner"]
FORWARDERS = 5
CUSTOMERS = 60
WARMUP_S = 5.0  # before the first fault: ceilings start empty and take 4 s to fill
PARTS = 64
FIGURES = ("served_vs_calm", "pro_served_vs_calm", "moves_per_fault", "rules")


def rotating_faults(
    seconds: float, interval_s: float, fault: FaultTable, ways: list[list[str]]
) -> list[FaultTable]:
    """The same fault at intervals, each time on the next of `ways`."""
    faults, at, turn = [], WARMUP_S, 0
    while at + interval_s < seconds:
        names = ways[turn % len(ways)]
        faults.append(msgspec.structs.replace(fault, at=at, ways=names))
        at, turn = at + interval_s, turn + 1
    return faults


def rows(seconds: float, planners: int) -> Iterator[tuple[str, list[FaultTable], list[DrawnTable]]]:
    """The rows: a name, scheduled faults, and faults drawn with the seed."""
    names = [f"p{n}" for n in range(planners)]
    yield "calm", [], []
    yield (
        "stopped by turns",
        [],
        [DrawnTable(["stop"], (2.0, 3.0), (0.3, 2.0), who=["@planner"], part=0.5, begin=WARMUP_S)],
    )
    one_planner_each = [f"g{n}>{p}" for n in range(FORWARDERS) for p in names if p != names[n % planners]]
    yield (
        "one planner each",
        rotating_faults(seconds, 3.0, FaultTable("cut", seconds=2.0), [one_planner_each]),
        [],
    )
    yield (
        "one way swallowed",
        [],
        [
            DrawnTable(
                ["swallow"], (1.6, 2.4), (0.4, 2.0), ways=LINKS, part=0.5, direction="any", begin=WARMUP_S
            )
        ],
    )
    yield "half cut", [], [DrawnTable(["cut"], (1.0, 1.6), (0.2, 1.5), ways=LINKS, part=0.5, begin=WARMUP_S)]
    delay = FaultTable("delay", seconds=2.0, jitter=0.5)
    yield "one planner late", rotating_faults(seconds, 2.0, delay, [[f"@forwarder>{p}"] for p in names]), []
    yield "all cut", rotating_faults(seconds, 3.0, FaultTable("cut", seconds=2.0), [LINKS]), []
    # an intermittent link of one forwarder; planners partitioned from each other; latency on all links
    yield (
        "every second second",
        rotating_faults(seconds, 2.0, FaultTable("swallow", seconds=1.0), [["g0>*"]]),
        [],
    )
    yield (
        "planners apart",
        rotating_faults(
            seconds,
            3.0,
            FaultTable("cut", seconds=2.0),
            [["@planner>@planner", f"g0>{names[0]}", f"g1>{names[0]}"]],
        ),
        [],
    )
    yield "200 ms late", [FaultTable("delay", WARMUP_S, seconds - WARMUP_S - 1.0, ways=LINKS, late=0.1)], []


async def play(
    row: str, faults: list[FaultTable], drawn: list[DrawnTable], planners: int, seconds: float, seed: int
) -> dict[str, Any]:
    """One run of a row: shares served, moves, broken rules, latency and causes of refusals."""
    shape = ShapeTable(FORWARDERS, planners, 0, 6, CUSTOMERS, False, {}, RELAYED)
    scenario = Scenario(row, seed, seconds, 200.0, 0.0, shape, faults, drawn)
    deployment = Deployment(shape_of(scenario, status_every=0.1, tell_refusals=True, helpers=2))
    scenario_run = ScenarioRun(scenario, deployment)
    causes: list[RefusalCauses] = []
    final_status: dict[str, Any] = {}

    async def observe(deployment: Deployment) -> None:
        causes.append(RefusalCauses(deployment))
        await asyncio.sleep(seconds)
        final_status.update({name: dict(member.status) for name, member in deployment.members.items()})

    figures = await scenario_run.run(observe)
    table = causes[0].table()
    forwarders = [final_status[f"g{n}"] for n in range(FORWARDERS) if final_status.get(f"g{n}")]
    return {
        "served": figures["served_share"],
        "pro": round(table["plans"]["pro"]["sent"] / max(table["plans"]["pro"]["tries"], 1), 4),
        "faults": scenario_run.counts.total(),
        "moved": sum(status["moved"] for status in forwarders),
        "local": sum(status["local"] for status in forwarders),
        "stale": sum(status["stale"] for status in forwarders),
        "beyond_quota_share": figures["beyond_quota_share"],
        "rules": {rule: figures[rule] for rule in RULES if figures[rule]},
        "breaches": figures["breaches"],
        "bad_ends": figures["bad_ends"],
        "p99_ms": figures["p99_ms"],
        "median_ms": figures["median_ms"],
        "cpu_ms_a_try": cpu_ms_per_request(deployment, figures["tries"]),
        **table,
    }


def cpu_ms_per_request(deployment: Deployment, requests: float) -> float:
    """Processor time of all processes per request, in milliseconds."""
    cpu_s = sum(member.earlier_cpu_s for member in deployment.members.values())
    return round(1000 * cpu_s / max(requests, 1.0), 3)


async def measure_hop(cut: bool, seconds: float) -> dict[str, float]:
    """A forwarder with two planners, one reached only through the other if `cut`, and instant backends."""
    faults = [FaultTable("cut", 0.5, seconds, ways=["g0>p0"])] if cut else []
    shape = ShapeTable(1, 2, 0, 4, 60, False, {}, RELAYED)
    scenario = Scenario("hop", 1, seconds, 400.0, 0.0, shape, faults, [])
    deployment = Deployment(
        shape_of(scenario, plans=("free",), behaviour=BackendBehaviour(0.0, 0.0), helpers=2)
    )
    figures = await ScenarioRun(scenario, deployment).run()
    return {
        "median_ms": figures["median_ms"],
        "cpu_ms_a_try": cpu_ms_per_request(deployment, figures["tries"]),
    }


async def compare_hops(seconds: float) -> dict[str, float]:
    """The cost of an extra hop: twice the difference, as about half of all requests take it."""
    direct, relayed = await measure_hop(False, seconds), await measure_hop(True, seconds)
    return {
        "direct_median_ms": direct["median_ms"],
        "hop_ms": round(2 * (relayed["median_ms"] - direct["median_ms"]), 3),
        "hop_cpu_ms": round(2 * (relayed["cpu_ms_a_try"] - direct["cpu_ms_a_try"]), 3),
    }


async def measure(options: argparse.Namespace) -> dict[str, Any]:
    """Runs all selected rows and compares them with the calm ones."""
    run_slots = asyncio.Semaphore(options.beside)
    runs: dict[str, Any] = {}

    async def run_row(
        planners: int, seed: int, row: str, faults: list[FaultTable], drawn: list[DrawnTable]
    ) -> None:
        async with run_slots:
            result = await play(row, faults, drawn, planners, options.seconds, seed)
        runs[f"{planners} planners, seed {seed}, {row}"] = result
        print(f"{planners} planners, seed {seed}, {row}: {result['served']} {result['pro']}", file=sys.stderr)

    await asyncio.gather(
        *(
            run_row(planners, seed, row, faults, drawn)
            for planners in options.planners
            for seed in options.seeds
            for row, faults, drawn in rows(options.seconds, planners)
            if not options.rows or row in options.rows
        )
    )
    report: dict[str, Any] = {"plays": runs, "rows": compare_with_calm(runs)}
    if options.hops:
        report["hops"] = await compare_hops(options.seconds / 2)
    return report


def compare_with_calm(runs: dict[str, Any]) -> dict[str, Any]:
    """Means by row of the figures, with served shares relative to the calm run of the same seed."""
    by_row: dict[str, dict[str, list[float]]] = {}
    for key, run in runs.items():
        prefix, _, row = key.rpartition(", ")
        calm = runs.get(f"{prefix}, calm")
        if calm is None:
            continue
        values_by_figure = by_row.setdefault(row, {name: [] for name in FIGURES})
        values_by_figure["served_vs_calm"].append(run["served"] / calm["served"])
        values_by_figure["pro_served_vs_calm"].append(run["pro"] / calm["pro"])
        moved = run["moved"] - calm["moved"]
        values_by_figure["moves_per_fault"].append(moved / (FORWARDERS * PARTS * max(run["faults"], 1)))
        values_by_figure["rules"].append(sum(run["rules"].values()))
    return {
        row: {name: round(sum(values) / len(values), 4) for name, values in values_by_figure.items()}
        for row, values_by_figure in by_row.items()
    }


def main() -> None:
    """Prints the result."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.partition")
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--planners", type=int, nargs="+", default=[2, 3])
    parser.add_argument("--rows", nargs="+", default=[], help="run only these rows")
    parser.add_argument("--hops", action="store_true", help="also measure the cost of an extra hop")
    parser.add_argument("--beside", type=int, default=1, help="runs in parallel")
    print(json.dumps(uvloop.run(measure(parser.parse_args())), indent=1))


if __name__ == "__main__":
    main()
