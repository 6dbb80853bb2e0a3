"""Measures quotas while the shared counter is faulty: four gateways as processes, with and without a keeper.

`python -m benchmarks.counting` runs two deployments side by side with the same customers and the same faults
at the same times, and judges both only by the requests that reached their backends. The last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections.abc import Callable
from typing import Any

import uvloop

from embersill.counting.bound import Case
from embersill.counting.terms import Terms
from embersill.lab.counting.judge import EPOCH_S, Customer, QuotaOracle
from embersill.lab.counting.standin import FaultyCounter
from embersill.rig.audit import ClientRequest
from embersill.rig.deployment import Deployment, Shape
from embersill.rig.settings import settings_object
from embersill.rig.standins import BackendBehaviour
from embersill.rig.traffic import Customer as Client
from embersill.rig.traffic import Traffic
from embersill.settings import read_settings

GATEWAYS = ["g0", "g1", "g2", "g3"]
FAULT_EFFECT_S = 4.0  # after a fault: refusals are attributed to it, and epochs count as affected
MAX_REQUEST_UNITS = 3
# by plan: units/s, burst, ceiling in units/s, and the ceiling's burst
PLANS = {"basis": (0.25, 6.0, 0.0, 0.0), "plus": (0.5, 9.0, 0.0, 0.0), "pro": (1.0, 12.0, 2.0, 24.0)}
CEILING_SLACK_UNITS = float(MAX_REQUEST_UNITS)  # a ceiling may be exceeded by one largest request, or a tenth
DEMAND_FACTORS = (0.3, 0.3, 0.5, 0.9, 0.9, 1.5, 4.0)  # relative to the quota, for customers in turn
NO_FAULT = "none"


def settings_fields() -> dict[str, Any]:
    """The settings of the gateways, with the plans above."""
    fields = settings_object(len(GATEWAYS))
    for plan in fields["packages"]:
        if plan["name"] == "free":
            plan["name"] = "plus"
        rate, burst, ceiling, depth = PLANS[plan["name"]]
        plan.update(units_per_s=rate, peak_units=burst, hard_rate=ceiling, cap_depth=depth)
    fields["domain"]["max_units"] = MAX_REQUEST_UNITS
    fields["domain"]["post_paid"] = False
    fields["domain"]["count_limit"] = 100.0  # ms: clients, backends and counters share one process here
    return fields


class JudgedDeployment:
    """A deployment, its counter, and the judge of the requests that it forwards."""

    def __init__(self, keeper: bool, customers: int, seed: int) -> None:
        self.keeper, self.customers, self.seed = keeper, customers, seed
        self.faults: list[tuple[str, float, float]] = []
        self.judge = QuotaOracle(Terms(), self.faults_in, CEILING_SLACK_UNITS)
        self.counter: FaultyCounter
        self.deployment: Deployment

    def faults_in(self, epoch: int) -> list[str]:
        """Kinds of the faults that affect an epoch."""
        return [
            kind
            for kind, begin, end in self.faults
            if begin <= (epoch + 1) * EPOCH_S and end + FAULT_EFFECT_S >= epoch * EPOCH_S
        ]

    def current_fault(self) -> str:
        """Kind of the latest fault that still has an effect, or `NO_FAULT`."""
        now = time.time()
        in_effect = (
            kind for kind, begin, end in reversed(self.faults) if begin <= now <= end + FAULT_EFFECT_S
        )
        return next(in_effect, NO_FAULT)

    async def start(self) -> None:
        """Starts the counter and the deployment, and draws the customers."""
        self.counter = FaultyCounter(GATEWAYS)
        await self.counter.start()
        fields = settings_fields()
        shape = Shape(
            fronts=len(GATEWAYS),
            planners=0,
            backends=4,
            rate=1.0,
            seed=self.seed,
            settings=fields,
            customers=0,
            behaviour=BackendBehaviour(0.005, 0.02),
            operator="[counting]\n" if self.keeper else "",
        )
        self.deployment = Deployment(shape)
        self.deployment.counter_addresses = self.counter.addresses
        await self.deployment.start()
        settings, audit = read_settings(fields), self.deployment.audit
        plans = {p.name: p for p in settings.plans}
        rng, clients, rate = random.Random(self.seed), [], 0.0
        for number in range(self.customers):
            plan, width = plans[list(PLANS)[number % 3]], 2 + number % 3
            demand = DEMAND_FACTORS[number % len(DEMAND_FACTORS)] * plan.rate / ((1 + MAX_REQUEST_UNITS) / 2)
            clients.append(Client(0xC000 + number, plan.name, demand, rng.randrange(4), width))
            rate += demand
            case = Case(plan.rate, plan.burst, width, MAX_REQUEST_UNITS, settings.counter_patience)
            name = f"{0xc000 + number:016x}"
            self.judge.add(name, Customer(case, plan.ceiling_rate, plan.ceiling_depth), time.time())
        self.deployment.traffic = traffic = Traffic(
            settings,
            audit,
            self.deployment.fronts,
            clients,
            rate,
            self.seed,
            busiest_share=0.6,
            rotation_period_s=9.0,
        )
        traffic.max_units = MAX_REQUEST_UNITS
        audit.on_first_attempt = self.on_sent
        traffic.on_answer = self.on_answer

    def on_sent(self, request: ClientRequest, now: float) -> None:
        """Passes a request that reached a backend to the judge."""
        self.judge.on_sent(request.customer, request.units, time.time())
        self.judge.on_request(self.current_fault())

    def on_answer(self, request: ClientRequest, status: int) -> None:
        """Passes a refusal by quota to the judge."""
        if status == 429 and not request.sent:
            fault = self.current_fault()
            self.judge.on_request(fault)
            self.judge.on_refused(request.customer, request.units, time.time(), fault)

    def record_fault(self, kind: str, seconds: float = 0.0) -> None:
        """Records a fault that begins now."""
        now = time.time()
        self.faults.append((kind, now, now + seconds))

    def figures(self) -> dict[str, Any]:
        """Overspending and refusals, overall and by kind of fault."""
        judge = self.judge
        findings = judge.finish()
        ratios = sorted(f.peak_backlog / f.bound for f in findings)
        overspend = [max(f.peak_backlog - judge.customers[f.customer].case.burst, 0.0) for f in findings]
        by_epoch: dict[str, float] = {}
        for finding, units in zip(findings, overspend, strict=True):
            key = "+".join(sorted(set(self.faults_in(finding.epoch)))) or NO_FAULT
            by_epoch[key] = round(by_epoch.get(key, 0.0) + units, 1)
        worst = max(findings, key=lambda f: f.peak_backlog / f.bound)
        kinds = sorted(key.partition(" ")[2] for key in judge.counts if key.startswith("asked "))
        return {
            "overspend_units": round(sum(overspend), 1),
            "most_overspend_units": round(max(overspend), 1),
            "stated_bound_units": round(worst.bound, 1),
            "worst_ratio_to_bound": round(ratios[-1], 3),
            "median_ratio_to_bound": round(ratios[len(ratios) // 2], 3),
            "windows_over_bound": sum(ratio > 1.0 for ratio in ratios),
            "windows": len(ratios),
            "overspend_by_epoch": by_epoch,
            "beyond_quota_share": round(judge.beyond_units / max(judge.units, 1.0), 4),
            "units_sent": judge.units,
            "ceiling_breaches": len(judge.breached_ceilings),
            "calls": self.counter.calls,
            "refused_with_room_share": {
                kind: round(judge.refused_with_room_share(kind), 4) for kind in kinds
            },
        }


async def inject_faults(deployments: list[JudgedDeployment], seed: int, seconds: float) -> None:
    """Injects the same faults into all deployments at the same times, one kind after the other."""
    rng, started_at = random.Random(seed), time.time()

    async def inject(
        kind: str,
        begin: Callable[[JudgedDeployment], None],
        end: Callable[[JudgedDeployment], None],
        duration_s: float,
    ) -> None:
        for judged in deployments:
            judged.record_fault(kind, duration_s)
            begin(judged)
        await asyncio.sleep(duration_s)
        for judged in deployments:
            end(judged)

    def set_flag(name: str, value: Any) -> Callable[[JudgedDeployment], None]:
        return lambda judged: setattr(judged.counter, name, value)

    def restore_snapshot(age_s: float) -> Callable[[JudgedDeployment], None]:
        return lambda judged: judged.counter.storage.roll_back(age_s)

    def do_nothing(judged: JudgedDeployment) -> None:
        pass

    others = frozenset({"g0", "g1"})
    kinds: list[Callable[[], Any]] = [
        lambda: inject(
            "split",
            lambda s: s.counter.storage.split(others),
            lambda s: s.counter.storage.rejoin(False),
            rng.uniform(15.0, 25.0),
        ),
        lambda: inject("silent", set_flag("lost", True), set_flag("lost", False), rng.uniform(4.0, 10.0)),
        lambda: inject("empty", lambda s: s.counter.storage.clear(), do_nothing, 0.1),
        lambda: inject("slow", set_flag("slow", 0.12), set_flag("slow", 0.0), rng.uniform(4.0, 8.0)),
        lambda: inject("stale", restore_snapshot(rng.choice((5.0, 15.0, 30.0))), do_nothing, 0.1),
        lambda: inject(
            "cut",
            lambda s: s.counter.cut.add("g2"),
            lambda s: s.counter.cut.discard("g2"),
            rng.uniform(5.0, 10.0),
        ),
        lambda: inject("deaf", set_flag("deaf", True), set_flag("deaf", False), rng.uniform(2.0, 4.0)),
        lambda: inject(
            "silent", set_flag("refused", True), set_flag("refused", False), rng.uniform(4.0, 8.0)
        ),
    ]
    turn = 0
    await asyncio.sleep(8.0)
    while time.time() - started_at < seconds - 30.0:
        await kinds[turn % len(kinds)]()
        turn += 1
        await asyncio.sleep(rng.uniform(9.0, 13.0))
    if seconds >= 60.0:
        for judged in deployments:
            judged.record_fault("killed", 1.0)
        await asyncio.gather(*(s.deployment.restart_front(s.deployment.fronts[1], 1.0) for s in deployments))


async def measure(seconds: float, customers: int, seed: int) -> dict[str, Any]:
    """Runs both deployments under the same faults and compares them."""
    deployments = [JudgedDeployment(True, customers, seed), JudgedDeployment(False, customers, seed)]
    try:
        await asyncio.gather(*(judged.start() for judged in deployments))
        await asyncio.gather(
            *(judged.deployment.traffic.run(seconds) for judged in deployments),
            inject_faults(deployments, seed, seconds),
        )
        await asyncio.gather(*(judged.deployment.traffic.wait_answered(13.0) for judged in deployments))
        ends = [await judged.deployment.stop() for judged in deployments]
    finally:
        for judged in deployments:
            judged.deployment.close()
            judged.counter.close()
    with_keeper, without_keeper = (judged.figures() for judged in deployments)
    for line in deployments[0].deployment.logs():
        print(line, file=sys.stderr)
    audit_figures = deployments[0].deployment.audit.figures()
    return {
        **with_keeper,
        "seconds": seconds,
        "customers": customers,
        "troubles": len(deployments[0].faults),
        "calls_to_before": round(with_keeper["calls"] / max(without_keeper["calls"], 1), 2),
        "lost": audit_figures["answers_none"],
        "bad_ends": ends,
        "before": without_keeper,
    }


def main() -> None:
    """Prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=180.0)
    parser.add_argument("--customers", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(json.dumps(uvloop.run(measure(options.seconds, options.customers, options.seed))))


if __name__ == "__main__":
    main()
