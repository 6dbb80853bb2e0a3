"""The two levels on a half-broken network: `python -m benchmarks.partition [--seconds 24] [--seeds 1 2 3]`.

Five forwarders, two and three planners, 200 tries a second, a relay on each way between forwarder and
planner and between planners; one play for each row and seed, a few side by side. Prints JSON: what was served
and what of `pro`, each against the calm row of the same seed, moves, rules, and why tries were refused.
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
from embersill.rig.playing import RULES, ScenarioRun, shape_of
from embersill.rig.scenarios import DrawnTable, FaultTable, Scenario, ShapeTable
from embersill.rig.standins import BackendBehaviour

RELAYED = ("@forwarder>@planner", "@planner>@planner")
LINKS = ["@forwarder>@planner"]
FORWARDERS = 5
CUSTOMERS = 60
WARM = 5.0  # seconds before the first fault: ceilings start empty, and fill in four
PARTS = 64
FIGURES = ("served_vs_calm", "pro_served_vs_calm", "moves_per_fault", "rules")


def turns(seconds: float, every: float, what: FaultTable, ways: list[list[str]]) -> list[FaultTable]:
    """The same fault again and again, each time on the next of `ways`."""
    found, at, turn = [], WARM, 0
    while at + every < seconds:
        names = ways[turn % len(ways)]
        found.append(msgspec.structs.replace(what, at=at, ways=names))
        at, turn = at + every, turn + 1
    return found


def rows(seconds: float, planners: int) -> Iterator[tuple[str, list[FaultTable], list[DrawnTable]]]:
    """The rows: a name, faults with their times, and faults that the seed draws."""
    names = [f"p{n}" for n in range(planners)]
    yield "calm", [], []
    yield (
        "stopped by turns",
        [],
        [DrawnTable(["stop"], (2.0, 3.0), (0.3, 2.0), who=["@planner"], part=0.5, begin=WARM)],
    )
    one_each = [f"g{n}>{p}" for n in range(FORWARDERS) for p in names if p != names[n % planners]]
    yield "one planner each", turns(seconds, 3.0, FaultTable("cut", seconds=2.0), [one_each]), []
    yield (
        "one way swallowed",
        [],
        [DrawnTable(["swallow"], (1.6, 2.4), (0.4, 2.0), ways=LINKS, part=0.5, direction="any", begin=WARM)],
    )
    yield "half cut", [], [DrawnTable(["cut"], (1.0, 1.6), (0.2, 1.5), ways=LINKS, part=0.5, begin=WARM)]
    late = FaultTable("delay", seconds=2.0, jitter=0.5)
    yield "one planner late", turns(seconds, 2.0, late, [[f"@forwarder>{p}"] for p in names]), []
    yield "all cut", turns(seconds, 3.0, FaultTable("cut", seconds=2.0), [LINKS]), []
    # three more: a cable of one forwarder that comes and goes; planners that do not hear each other; all slow
    yield "every second second", turns(seconds, 2.0, FaultTable("swallow", seconds=1.0), [["g0>*"]]), []
    yield (
        "planners apart",
        turns(
            seconds,
            3.0,
            FaultTable("cut", seconds=2.0),
            [["@planner>@planner", f"g0>{names[0]}", f"g1>{names[0]}"]],
        ),
        [],
    )
    yield "200 ms late", [FaultTable("delay", WARM, seconds - WARM - 1.0, ways=LINKS, late=0.1)], []


async def play(
    row: str, faults: list[FaultTable], drawn: list[DrawnTable], planners: int, seconds: float, seed: int
) -> dict[str, Any]:
    shape = ShapeTable(FORWARDERS, planners, 0, 6, CUSTOMERS, False, {}, RELAYED)
    made = Scenario(row, seed, seconds, 200.0, 0.0, shape, faults, drawn)
    deployment = Deployment(shape_of(made, status_every=0.1, tell_refusals=True, helpers=2))
    player = ScenarioRun(made, deployment)
    causes: list[RefusalCauses] = []
    last: dict[str, Any] = {}

    async def listen(deployment: Deployment) -> None:
        causes.append(RefusalCauses(deployment))
        await asyncio.sleep(seconds)
        last.update({name: dict(member.status) for name, member in deployment.members.items()})

    figures = await player.run(listen)
    table = causes[0].table()
    forwarders = [last[f"g{n}"] for n in range(FORWARDERS) if last.get(f"g{n}")]
    return {
        "served": figures["served_share"],
        "pro": round(table["plans"]["pro"]["sent"] / max(table["plans"]["pro"]["tries"], 1), 4),
        "faults": player.counts.total(),
        "moved": sum(said["moved"] for said in forwarders),
        "local": sum(said["local"] for said in forwarders),
        "stale": sum(said["stale"] for said in forwarders),
        "beyond_quota_share": figures["beyond_quota_share"],
        "rules": {rule: figures[rule] for rule in RULES if figures[rule]},
        "breaches": figures["breaches"],
        "bad_ends": figures["bad_ends"],
        "p99_ms": figures["p99_ms"],
        "median_ms": figures["median_ms"],
        "cpu_ms_a_try": cpu_a_try(deployment, figures["tries"]),
        **table,
    }


def cpu_a_try(deployment: Deployment, tries: float) -> float:
    """Milliseconds of processor time of all processes for each try."""
    cpu_s = sum(member.earlier_cpu_s for member in deployment.members.values())
    return round(1000 * cpu_s / max(tries, 1.0), 3)


async def hop(cut: bool, seconds: float) -> dict[str, float]:
    """A forwarder with two planners, backends that answer at once; one planner over the other, or not."""
    faults = [FaultTable("cut", 0.5, seconds, ways=["g0>p0"])] if cut else []
    shape = ShapeTable(1, 2, 0, 4, 60, False, {}, RELAYED)
    made = Scenario("hop", 1, seconds, 400.0, 0.0, shape, faults, [])
    deployment = Deployment(shape_of(made, plans=("free",), behaviour=BackendBehaviour(0.0, 0.0), helpers=2))
    figures = await ScenarioRun(made, deployment).run()
    return {"median_ms": figures["median_ms"], "cpu_ms_a_try": cpu_a_try(deployment, figures["tries"])}


async def hops(seconds: float) -> dict[str, float]:
    """What one hop more adds; about half of all requests go over it, so the whole is twice the difference."""
    direct, carried = await hop(False, seconds), await hop(True, seconds)
    return {
        "direct_median_ms": direct["median_ms"],
        "hop_ms": round(2 * (carried["median_ms"] - direct["median_ms"]), 3),
        "hop_cpu_ms": round(2 * (carried["cpu_ms_a_try"] - direct["cpu_ms_a_try"]), 3),
    }


async def measure(options: argparse.Namespace) -> dict[str, Any]:
    gate = asyncio.Semaphore(options.beside)
    found: dict[str, Any] = {}

    async def one(
        planners: int, seed: int, row: str, faults: list[FaultTable], drawn: list[DrawnTable]
    ) -> None:
        async with gate:
            told = await play(row, faults, drawn, planners, options.seconds, seed)
        found[f"{planners} planners, seed {seed}, {row}"] = told
        print(f"{planners} planners, seed {seed}, {row}: {told['served']} {told['pro']}", file=sys.stderr)

    await asyncio.gather(
        *(
            one(planners, seed, row, faults, drawn)
            for planners in options.planners
            for seed in options.seeds
            for row, faults, drawn in rows(options.seconds, planners)
            if not options.rows or row in options.rows
        )
    )
    told: dict[str, Any] = {"plays": found, "rows": against_calm(found)}
    if options.hops:
        told["hops"] = await hops(options.seconds / 2)
    return told


def against_calm(found: dict[str, Any]) -> dict[str, Any]:
    """Each row's served share and that of `pro`, against the calm play of the same seed: means."""
    told: dict[str, dict[str, list[float]]] = {}
    for key, play in found.items():
        where, _, row = key.rpartition(", ")
        calm = found.get(f"{where}, calm")
        if calm is None:
            continue
        sums = told.setdefault(row, {name: [] for name in FIGURES})
        sums["served_vs_calm"].append(play["served"] / calm["served"])
        sums["pro_served_vs_calm"].append(play["pro"] / calm["pro"])
        moved = play["moved"] - calm["moved"]
        sums["moves_per_fault"].append(moved / (FORWARDERS * PARTS * max(play["faults"], 1)))
        sums["rules"].append(sum(play["rules"].values()))
    return {
        row: {name: round(sum(values) / len(values), 4) for name, values in sums.items()}
        for row, sums in told.items()
    }


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.partition")
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--planners", type=int, nargs="+", default=[2, 3])
    parser.add_argument("--rows", nargs="+", default=[], help="only these")
    parser.add_argument("--hops", action="store_true", help="what a carried request costs")
    parser.add_argument("--beside", type=int, default=1, help="plays at a time")
    print(json.dumps(uvloop.run(measure(parser.parse_args())), indent=1))


if __name__ == "__main__":
    main()
