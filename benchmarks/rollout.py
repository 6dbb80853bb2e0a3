"""Policies carried down the sites, good ones and bad ones, while parts of the system fail: JSON.

`python -m benchmarks.rollout`: each run is a town of its own, in simulated time, with a policy that is drawn:
one that only changes what it says, or one that does harm by a planted fault. In half of them a gateway or the
holder of the duty is killed in mid-run, or a member of the core is cut off for a while.
"""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from embersill.edge.configuration.policy import Policy
from embersill.edge.configuration.rollouts import rollouts_of
from embersill.lab.edge.rolling import HARMS, MARKED_TENANT, RolloutSimulation, rollout_simulation
from embersill.lab.edge.town import quantile, worth

MOST = 200.0  # seconds of a town's time for a run to end
BEFORE = 6.0  # seconds of traffic before the order
AFTER = 6.0  # seconds that are looked at after its end
TROUBLES = "", "", "", "gateway killed", "holder killed", "core cut"


def strike(town: RolloutSimulation, trouble: str) -> None:
    chance, kernel = town.kernel.stream("trouble"), town.kernel
    at = kernel.now + chance.uniform(2.0, 20.0)
    if trouble == "core cut":
        kernel.at(at, town.cut, {town.machines[chance.randrange(3)].name})
        kernel.at(at + 3.0, town.heal)
    elif trouble:

        def kill() -> None:
            holders = [rollouts_of(m.node.state)["holder"] for m in town.machines if m.node is not None]
            named = max(holders, default="") if trouble == "holder killed" else town.machines[-1].name
            victim = town.by_name.get(named, town.machines[-1])
            victim.kill()
            kernel.at(kernel.now + 2.0, lambda: victim.start() if victim.node is None else None)

        kernel.at(at, kill)


def one(job: tuple[int, str, int]) -> dict[str, Any]:
    gateways, harm, seed = job
    town = rollout_simulation(seed, gateways)
    chance = town.kernel.stream("policy")
    policy: Policy = {"name": harm or "good", "far_share": round(chance.uniform(0.0, 0.3), 3)}
    trouble = chance.choice(TROUBLES)
    town.run(BEFORE)
    start = town.kernel.now
    town.start_rollout(policy)
    strike(town, trouble)
    reached: list[str] = []
    bound_at = over_at = 0.0
    while not town.last_finished_run() and town.kernel.now < start + MOST:
        town.run(0.1)
        for machine in town.machines:
            if machine.node is not None and machine.node.policy[0] == policy and machine.zone not in reached:
                reached.append(machine.zone)
                bound_at = bound_at or town.kernel.now
    over_at = town.kernel.now
    past = town.last_finished_run()
    while any(m.node is not None and m.node.policy[0]["name"] == harm for m in town.machines) and harm:
        town.run(0.05)
    back_at = town.kernel.now
    town.run(AFTER)
    after = [o for o in town.requests if back_at <= o.asked_at < town.kernel.now - 2.5]
    marked = [o for o in town.requests if o.caller == "c" and start <= o.asked_at < town.kernel.now - 2.5]
    before = [o for o in town.requests if o.caller == "c" and o.asked_at < start]
    return {
        "gateways": gateways,
        "harm": harm,
        "trouble": trouble,
        "seed": seed,
        "how": past.get("how", "open"),
        "step": past.get("step", -1),
        "why": past.get("why", ""),
        "reached": reached,
        "s_to_halt": round(over_at - bound_at, 2) if bound_at else 0.0,
        "s_to_back": round(back_at - over_at, 2),
        "doubled_after": sum(o.runs > 1 for o in after),
        "lost_after": sum(not o.end for o in after),
        "marked_ratio": round(worth(marked) / max(worth(before), 1e-9), 4),
    }


def summed(rows: list[dict[str, Any]]) -> dict[str, Any]:
    bad, good = [r for r in rows if r["harm"]], [r for r in rows if not r["harm"]]
    halted = sorted(r["s_to_halt"] for r in bad if r["how"] == "halted")
    return {
        "runs": len(rows),
        "marked_traffic": MARKED_TENANT,
        "bad_stopped_at_first_step": round(
            sum(r["how"] == "halted" and len(r["reached"]) <= 1 for r in bad) / max(len(bad), 1), 4
        ),
        "bad_reached_last_sites": sum("c" in r["reached"] for r in bad),
        "good_halted": round(sum(r["how"] != "done" for r in good) / max(len(good), 1), 4),
        "doubled_after_halt": sum(r["doubled_after"] for r in rows),
        "lost_after_halt": sum(r["lost_after"] for r in rows),
        "s_to_halt_p50": quantile(halted, 0.5),
        "s_to_halt_p99": quantile(halted, 0.99),
        "s_to_back_p99": quantile(sorted(r["s_to_back"] for r in bad), 0.99),
        "marked_traffic_worth_ratio": min((r["marked_ratio"] for r in rows if not r["trouble"]), default=1.0),
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.rollout", description=__doc__)
    parser.add_argument("--gateways", type=int, nargs="*", default=[14, 96])
    parser.add_argument("--runs", type=int, default=60, help="for each number of gateways")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    chosen = parser.parse_args()
    kinds = ["", *HARMS]
    jobs = [
        (count, kinds[n % len(kinds)], chosen.seed + n)
        for count in chosen.gateways
        for n in range(chosen.runs)
    ]
    with ProcessPoolExecutor(chosen.jobs) as pool:
        rows = list(pool.map(one, jobs))
    told = {
        str(count): summed([row for row in rows if row["gateways"] == count]) for count in chosen.gateways
    }
    json.dump({"summed": told, "rows": rows}, sys.stdout, indent=1)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
