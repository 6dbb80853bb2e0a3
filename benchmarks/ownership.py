"""Measures the ownership of offices under process faults: `python -m benchmarks.ownership [--seconds 75]`.

Prints JSON. Five planners and three forwarders, 60 requests/s. One run without faults, one in which the owner
of the export is killed every 5 s, and one with at least 60 faults of all kinds; also the rate of probes at 3,
10 and 30 processes, with one backend of six dead. How long an office had no owner is derived from the status
that processes report 20 times a second: from the moment its owner is killed; a lease reported by a live
process counts as used until it ends.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from typing import Any

import msgspec
import uvloop

from embersill.rig.billing import BillingBehaviour
from embersill.rig.deployment import Deployment, Shape
from embersill.rig.ownership import (
    OwnershipLog,
    judge_billing,
    owner_of,
    record_ownership,
    wait_exported,
    wait_owner,
)
from embersill.rig.scenario_run import COUNCIL_TABLES, RULES, ScenarioRun, shape_of
from embersill.rig.scenarios import DrawnTable, Scenario, ShapeTable
from embersill.rig.standins import BackendBehaviour
from embersill.world.oracles import Rules, first_violation

RELAYED = ("@planner>@planner", "@planner>billing", "@forwarder>@planner")
KILL_INTERVAL_S = 5.0
MIXED_FAULTS = [
    DrawnTable(["kill", "stop", "starve"], (3.0, 5.0), (0.3, 1.5), who=["@planner"]),
    DrawnTable(
        ["cut", "refuse", "swallow", "half", "delay", "narrow", "dribble"],
        (1.6, 2.6),
        (0.3, 1.5),
        ways=["@planner>@planner", "@planner>billing"],
        part=0.3,
        direction="any",
        late=0.1,
        jitter=0.5,
    ),
    DrawnTable(["clone"], (20.0, 30.0), (3.0, 3.0), who=["p4"]),
]


def draw_scenario(seconds: float, drawn_faults: list[DrawnTable], seed: int) -> Scenario:
    """The scenario with faults drawn from the tables."""
    return Scenario(
        "ownership", seed, seconds, 60.0, 0.0, ShapeTable(3, 5, 0, 6, 24, True, {}, RELAYED), [], drawn_faults
    )


async def play(
    seconds: float,
    drawn_faults: list[DrawnTable],
    seed: int,
    kill_interval_s: float = 0.0,
    billing: BillingBehaviour | None = None,
) -> dict[str, Any]:
    """One run: gaps without an owner, exports, broken rules and served share."""
    scenario = draw_scenario(seconds, drawn_faults, seed)
    deployment = Deployment(shape_of(scenario, status_every=0.05))
    if billing is not None:
        deployment.billing.behaviour = billing
    scenario_run = ScenarioRun(scenario, deployment)
    report: dict[str, Any] = {}
    ownership_logs: list[OwnershipLog] = []

    async def kill_owners(deployment: Deployment) -> None:
        loop = asyncio.get_running_loop()
        await wait_owner(deployment, "export")
        ownership_logs.append(record_ownership(deployment))
        started_at = loop.time()
        while kill_interval_s and loop.time() < started_at + seconds - kill_interval_s - 3.0:
            await asyncio.sleep(kill_interval_s)
            owner = owner_of(deployment, "export")
            if owner:
                report["kills"] = report.get("kills", 0) + 1
                member = deployment.members[owner]
                ownership_logs[0].kills.append((loop.time(), owner))
                await member.kill()
                await asyncio.sleep(1.0)
                await member.start()
        await asyncio.sleep(max(started_at + seconds - 1.0 - loop.time(), 0.0))
        ended = loop.time()
        gaps = sorted(ownership_logs[0].gaps("export", started_at, ended))
        report["unowned_share"] = round(sum(gaps) / (ended - started_at), 4)
        report["gaps_ms"] = [round(1000 * gap) for gap in gaps]
        report["changes"] = ownership_logs[0].changes("export")
        deployment.billing.behaviour = BillingBehaviour()

    deployment_stop = deployment.stop

    async def stop() -> dict[str, int]:
        try:
            await wait_exported(deployment, 30.0)
        except TimeoutError:
            report["not_booked"] = {m.name: m.status.get("export") for m in deployment.planners()}
        statuses = {m.name: m.status for m in deployment.planners()}
        report["write_ms"] = [
            (s["council"]["write_ms_p50"], s["council"]["write_ms_p99"])
            for s in statuses.values()
            if s.get("council", {}).get("writes", 0) > 20
        ]
        report["refused_effects"] = sum(s.get("refused_effects", 0) for s in statuses.values())
        report["unreported"] = sum(s["export"]["unreported"] for s in statuses.values() if "export" in s)
        return await deployment_stop()

    deployment.stop = stop  # type: ignore[method-assign]
    figures = await scenario_run.run(kill_owners)
    audit = deployment.audit
    report |= judge_billing(deployment.billing)
    report["served_share"] = figures["served_share"]
    report["faults"] = scenario_run.counts.total() + report.get("kills", 0)
    report["fault_kinds"] = dict(scenario_run.counts)
    report["units_served"] = sum(request.units for request in audit.requests.values() if request.sent)
    violation = first_violation(
        sorted(audit.records, key=lambda r: r[0]), Rules(audit.rule_terms(), lambda c: c)
    )
    report["rule_breaches"] = sum(int(figures[rule]) for rule in RULES) + (violation is not None)
    report["bad_ends"] = figures["bad_ends"]
    return report


async def probe_rate(forwarders: int, planners: int, seconds: float) -> float:
    """Probes per second of all processes together, with one backend of six dead."""
    deployment = Deployment(
        Shape(
            fronts=forwarders,
            planners=planners,
            backends=6,
            customers=24,
            rate=100.0,
            status_every=0.2,
            behaviour=BackendBehaviour(0.01, 0.03),
            council_tables=COUNCIL_TABLES,
        )
    )
    try:
        await deployment.start()
        traffic = asyncio.create_task(deployment.traffic.run(seconds + 12.0))
        await wait_owner(deployment, "probes")
        deployment.backends[0].close()
        for connection in list(deployment.backends[0].connections):
            connection.close()
        async with asyncio.timeout(30.0):
            while not probes_sent(deployment):
                await asyncio.sleep(0.05)
        before = probes_sent(deployment)
        await asyncio.sleep(seconds)
        count = probes_sent(deployment) - before
        traffic.cancel()
        await deployment.stop()
    finally:
        deployment.close()
    return round(count / seconds, 2)


def probes_sent(deployment: Deployment) -> int:
    """Health probes that the planners report to have sent."""
    return sum(m.status.get("probes", {}).get("probes", 0) for m in deployment.planners())


async def run(options: argparse.Namespace) -> dict[str, Any]:
    """Performs the three runs and the probe measurements."""
    calm = await play(min(options.seconds, 30.0), [], options.seed)
    killed = await play(options.seconds, [], options.seed, KILL_INTERVAL_S)
    mixed = await play(
        options.seconds,
        MIXED_FAULTS,
        options.seed,
        0.0,
        BillingBehaviour(unanswered_share=0.05, late_share=0.05, duplicate_share=0.05, busy_share=0.05),
    )
    gaps = sorted(killed["gaps_ms"])
    handovers = [gap for gap in gaps if gap > 20]
    writes = sorted(p50 for p50, _ in calm["write_ms"]), sorted(p99 for _, p99 in calm["write_ms"])
    probes = {str(f + p): await probe_rate(f, p, 8.0) for f, p in ((1, 2), (5, 5), (25, 5))}
    runs = (calm, killed, mixed)
    report: dict[str, Any] = {
        "owners_at_once_most": max(p["owners_at_once_most"] for p in runs),
        "late_effects_refused": sum(p["late_effects_refused"] + p["refused_effects"] for p in runs),
        "late_effects_taken": sum(p["late_effects_taken"] for p in runs),
        "unowned_share": killed["unowned_share"],
        "handover_ms_p50": handovers[len(handovers) // 2] if handovers else 0,
        "handover_ms_p99": handovers[-1] if handovers else 0,
        "exported_twice": sum(p["exported_twice"] for p in runs),
        "exported_never": sum(p["unreported"] + p["exported_out_of_order"] for p in runs),
        "units_served": sum(p["units_served"] for p in runs),
        "units_exported": sum(p["units_exported"] for p in runs),
        "probes_per_s_fleet": probes,
        "write_ms_p50": writes[0][len(writes[0]) // 2] if writes[0] else None,
        "write_ms_p99": writes[1][-1] if writes[1] else None,
        "rule_breaches": sum(p["rule_breaches"] for p in runs),
        "served_share_vs_calm": round(
            min(p["served_share"] for p in (killed, mixed)) / calm["served_share"], 4
        ),
        "faults": sum(p["faults"] for p in runs),
        "plays": {"calm": calm, "killed": killed, "mixed": mixed},
    }
    return report


def main() -> None:
    """Prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=75.0)
    parser.add_argument("--seed", type=int, default=1)
    print(msgspec.json.format(json.dumps(uvloop.run(run(parser.parse_args()))), indent=1))


if __name__ == "__main__":
    main()
