"""Simulates harmless and harmful policy rollouts with component faults: `python -m benchmarks.rollout`.

Prints JSON. Each run is a separate system in simulated time, with a drawn policy: a harmless one, which only
changes parameters, or one that triggers an injected fault. In half of the runs a gateway or the holder of the
rollout's duty is killed midway, or a core member is partitioned for a while.
"""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from embersill.edge.configuration.policy import Policy
from embersill.edge.configuration.rollouts import rollouts_of
from embersill.lab.edge.rollout_simulation import HARMS, MARKED_TENANT, RolloutSimulation, rollout_simulation
from embersill.lab.edge.system_simulation import quantile, worth

ROLLOUT_TIMEOUT_S = 200.0  # simulated
BASELINE_S = 6.0  # traffic before the rollout starts
OBSERVATION_S = 6.0  # measured after the rollout's end
FAULTS = "", "", "", "gateway killed", "holder killed", "core cut"


def schedule_fault(simulation: RolloutSimulation, fault: str) -> None:
    """Schedules a fault at a random time; "" is none."""
    chance, kernel = simulation.kernel.stream("trouble"), simulation.kernel
    at = kernel.now + chance.uniform(2.0, 20.0)
    if fault == "core cut":
        kernel.at(at, simulation.cut, {simulation.machines[chance.randrange(3)].name})
        kernel.at(at + 3.0, simulation.heal)
    elif fault:

        def kill() -> None:
            holders = [rollouts_of(m.node.state)["holder"] for m in simulation.machines if m.node is not None]
            target = max(holders, default="") if fault == "holder killed" else simulation.machines[-1].name
            victim = simulation.by_name.get(target, simulation.machines[-1])
            victim.kill()
            kernel.at(kernel.now + 2.0, lambda: victim.start() if victim.node is None else None)

        kernel.at(at, kill)


def simulate(job: tuple[int, str, int]) -> dict[str, Any]:
    """One run with a number of gateways, a harm ("" for none) and a seed."""
    gateways, harm, seed = job
    simulation = rollout_simulation(seed, gateways)
    chance = simulation.kernel.stream("policy")
    policy: Policy = {"name": harm or "good", "far_share": round(chance.uniform(0.0, 0.3), 3)}
    fault = chance.choice(FAULTS)
    simulation.run(BASELINE_S)
    started_at = simulation.kernel.now
    simulation.start_rollout(policy)
    schedule_fault(simulation, fault)
    zones_reached: list[str] = []
    in_force_at = finished_at = 0.0
    while not simulation.last_finished_run() and simulation.kernel.now < started_at + ROLLOUT_TIMEOUT_S:
        simulation.run(0.1)
        for machine in simulation.machines:
            if (
                machine.node is not None
                and machine.node.policy[0] == policy
                and machine.zone not in zones_reached
            ):
                zones_reached.append(machine.zone)
                in_force_at = in_force_at or simulation.kernel.now
    finished_at = simulation.kernel.now
    finished_run = simulation.last_finished_run()
    while any(m.node is not None and m.node.policy[0]["name"] == harm for m in simulation.machines) and harm:
        simulation.run(0.05)
    rolled_back_at = simulation.kernel.now
    simulation.run(OBSERVATION_S)
    after = [
        record
        for record in simulation.requests
        if rolled_back_at <= record.asked_at < simulation.kernel.now - 2.5
    ]
    marked = [
        record
        for record in simulation.requests
        if record.caller == "c" and started_at <= record.asked_at < simulation.kernel.now - 2.5
    ]
    before = [
        record for record in simulation.requests if record.caller == "c" and record.asked_at < started_at
    ]
    return {
        "gateways": gateways,
        "harm": harm,
        "trouble": fault,
        "seed": seed,
        "how": finished_run.get("how", "open"),
        "step": finished_run.get("step", -1),
        "why": finished_run.get("why", ""),
        "reached": zones_reached,
        "s_to_halt": round(finished_at - in_force_at, 2) if in_force_at else 0.0,
        "s_to_back": round(rolled_back_at - finished_at, 2),
        "doubled_after": sum(record.runs > 1 for record in after),
        "lost_after": sum(not record.end for record in after),
        "marked_ratio": round(worth(marked) / max(worth(before), 1e-9), 4),
    }


def summarize(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """How soon harmful policies were halted, and what harmless ones and other traffic suffered."""
    harmful, harmless = [r for r in rows if r["harm"]], [r for r in rows if not r["harm"]]
    halted = sorted(r["s_to_halt"] for r in harmful if r["how"] == "halted")
    return {
        "runs": len(rows),
        "marked_traffic": MARKED_TENANT,
        "bad_stopped_at_first_step": round(
            sum(r["how"] == "halted" and len(r["reached"]) <= 1 for r in harmful) / max(len(harmful), 1), 4
        ),
        "bad_reached_last_sites": sum("c" in r["reached"] for r in harmful),
        "good_halted": round(sum(r["how"] != "done" for r in harmless) / max(len(harmless), 1), 4),
        "doubled_after_halt": sum(r["doubled_after"] for r in rows),
        "lost_after_halt": sum(r["lost_after"] for r in rows),
        "s_to_halt_p50": quantile(halted, 0.5),
        "s_to_halt_p99": quantile(halted, 0.99),
        "s_to_back_p99": quantile(sorted(r["s_to_back"] for r in harmful), 0.99),
        "marked_traffic_worth_ratio": min((r["marked_ratio"] for r in rows if not r["trouble"]), default=1.0),
    }


def main() -> int:
    """Runs the simulations in parallel processes and prints the result."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.rollout", description=__doc__)
    parser.add_argument("--gateways", type=int, nargs="*", default=[14, 96])
    parser.add_argument("--runs", type=int, default=60, help="per number of gateways")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    kinds = ["", *HARMS]
    jobs = [
        (count, kinds[n % len(kinds)], options.seed + n)
        for count in options.gateways
        for n in range(options.runs)
    ]
    with ProcessPoolExecutor(options.jobs) as pool:
        rows = list(pool.map(simulate, jobs))
    summaries = {
        str(count): summarize([row for row in rows if row["gateways"] == count]) for count in options.gateways
    }
    json.dump({"summed": summaries, "rows": rows}, sys.stdout, indent=1)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
