"""Quotas while the shared counter is in trouble: four gateways as processes, with and without a keeper.

`python -m benchmarks.counting` runs two deployments side by side with the same customers and the same
troubles at the same moments, and judges both by what came to their backends alone. The last line is JSON.
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
from embersill.rig.books import ClientRequest
from embersill.rig.deployment import Deployment, Shape
from embersill.rig.settings import settings_object
from embersill.rig.standins import BackendBehaviour
from embersill.rig.traffic import Customer as Client
from embersill.rig.traffic import Traffic
from embersill.settings import read_settings

GATEWAYS = ["g0", "g1", "g2", "g3"]
TOUCHES = 4.0  # seconds after a trouble in which refusals are laid to it, and for which it touches an epoch
LARGEST = 3  # units of one request
# plans: units a second, at once, ceiling a second and at once
PLANS = {"basis": (0.25, 6.0, 0.0, 0.0), "plus": (0.5, 9.0, 0.0, 0.0), "pro": (1.0, 12.0, 2.0, 24.0)}
SLACK = float(LARGEST)  # units by which a ceiling may be passed: one of the largest requests, or a tenth
ASKS = (0.3, 0.3, 0.5, 0.9, 0.9, 1.5, 4.0)  # of a quota, by turns
NONE = "none"


def figures() -> dict[str, Any]:
    told = settings_object(len(GATEWAYS))
    for plan in told["packages"]:
        if plan["name"] == "free":
            plan["name"] = "plus"
        rate, burst, ceiling, depth = PLANS[plan["name"]]
        plan.update(units_per_s=rate, peak_units=burst, hard_rate=ceiling, cap_depth=depth)
    told["domain"]["max_units"] = LARGEST
    told["domain"]["post_paid"] = False
    told["domain"]["count_limit"] = 100.0  # ms: clients, backends and counters share one process here
    return told


class Side:
    """One deployment, its counter, and the oracle for what it sends on."""

    def __init__(self, keeper: bool, customers: int, seed: int) -> None:
        self.keeper, self.customers, self.seed = keeper, customers, seed
        self.troubled: list[tuple[str, float, float]] = []
        self.oracle = QuotaOracle(Terms(), self.troubles_in, SLACK)
        self.counter: FaultyCounter
        self.deployment: Deployment

    def troubles_in(self, epoch: int) -> list[str]:
        return [
            what
            for what, begin, end in self.troubled
            if begin <= (epoch + 1) * EPOCH_S and end + TOUCHES >= epoch * EPOCH_S
        ]

    def trouble_now(self) -> str:
        now = time.time()
        now_on = (what for what, begin, end in reversed(self.troubled) if begin <= now <= end + TOUCHES)
        return next(now_on, NONE)

    async def start(self) -> None:
        self.counter = FaultyCounter(GATEWAYS)
        await self.counter.start()
        told = figures()
        shape = Shape(
            fronts=len(GATEWAYS),
            planners=0,
            backends=4,
            rate=1.0,
            seed=self.seed,
            settings=told,
            customers=0,
            behaviour=BackendBehaviour(0.005, 0.02),
            operator="[counting]\n" if self.keeper else "",
        )
        self.deployment = Deployment(shape)
        self.deployment.counter_addresses = self.counter.addresses
        await self.deployment.start()
        settings, audit = read_settings(told), self.deployment.audit
        plans = {p.name: p for p in settings.plans}
        rng, clients, rate = random.Random(self.seed), [], 0.0
        for number in range(self.customers):
            plan, width = plans[list(PLANS)[number % 3]], 2 + number % 3
            asks = ASKS[number % len(ASKS)] * plan.rate / ((1 + LARGEST) / 2)
            clients.append(Client(0xC000 + number, plan.name, asks, rng.randrange(4), width))
            rate += asks
            case = Case(plan.rate, plan.burst, width, LARGEST, settings.counter_patience)
            name = f"{0xc000 + number:016x}"
            self.oracle.add(name, Customer(case, plan.ceiling_rate, plan.ceiling_depth), time.time())
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
        traffic.max_units = LARGEST
        audit.on_first_attempt = self.sent
        traffic.on_answer = self.answered

    def sent(self, asked: ClientRequest, now: float) -> None:
        self.oracle.on_sent(asked.customer, asked.units, time.time())
        self.oracle.on_request(self.trouble_now())

    def answered(self, asked: ClientRequest, status: int) -> None:
        if status == 429 and not asked.sent:
            trouble = self.trouble_now()
            self.oracle.on_request(trouble)
            self.oracle.on_refused(asked.customer, asked.units, time.time(), trouble)

    def trouble(self, what: str, seconds: float = 0.0) -> None:
        now = time.time()
        self.troubled.append((what, now, now + seconds))

    def told(self) -> dict[str, Any]:
        oracle = self.oracle
        findings = oracle.finish()
        ratios = sorted(f.peak_backlog / f.bound for f in findings)
        over = [max(f.peak_backlog - oracle.customers[f.customer].case.burst, 0.0) for f in findings]
        by_epoch: dict[str, float] = {}
        for finding, units in zip(findings, over, strict=True):
            key = "+".join(sorted(set(self.troubles_in(finding.epoch)))) or NONE
            by_epoch[key] = round(by_epoch.get(key, 0.0) + units, 1)
        worst = max(findings, key=lambda f: f.peak_backlog / f.bound)
        kinds = sorted(key.partition(" ")[2] for key in oracle.counts if key.startswith("asked "))
        return {
            "overspend_units": round(sum(over), 1),
            "most_overspend_units": round(max(over), 1),
            "stated_bound_units": round(worst.bound, 1),
            "worst_ratio_to_bound": round(ratios[-1], 3),
            "median_ratio_to_bound": round(ratios[len(ratios) // 2], 3),
            "windows_over_bound": sum(ratio > 1.0 for ratio in ratios),
            "windows": len(ratios),
            "overspend_by_epoch": by_epoch,
            "beyond_quota_share": round(oracle.beyond_units / max(oracle.units, 1.0), 4),
            "units_sent": oracle.units,
            "ceiling_breaches": len(oracle.breached_ceilings),
            "calls": self.counter.calls,
            "refused_with_room_share": {
                kind: round(oracle.refused_with_room_share(kind), 4) for kind in kinds
            },
        }


async def trouble_both(sides: list[Side], seed: int, seconds: float) -> None:
    """The same troubles on both sides at the same moments, one kind after the other, for so long."""
    rng, began = random.Random(seed), time.time()

    async def spell(
        what: str, begin: Callable[[Side], None], end: Callable[[Side], None], long: float
    ) -> None:
        for side in sides:
            side.trouble(what, long)
            begin(side)
        await asyncio.sleep(long)
        for side in sides:
            end(side)

    def flag(name: str, value: Any) -> Callable[[Side], None]:
        return lambda side: setattr(side.counter, name, value)

    def go_back(age: float) -> Callable[[Side], None]:
        return lambda side: side.counter.storage.roll_back(age)

    def nothing(side: Side) -> None:
        pass

    others = frozenset({"g0", "g1"})
    kinds: list[Callable[[], Any]] = [
        lambda: spell(
            "split",
            lambda s: s.counter.storage.split(others),
            lambda s: s.counter.storage.rejoin(False),
            rng.uniform(15.0, 25.0),
        ),
        lambda: spell("silent", flag("lost", True), flag("lost", False), rng.uniform(4.0, 10.0)),
        lambda: spell("empty", lambda s: s.counter.storage.clear(), nothing, 0.1),
        lambda: spell("slow", flag("slow", 0.12), flag("slow", 0.0), rng.uniform(4.0, 8.0)),
        lambda: spell("stale", go_back(rng.choice((5.0, 15.0, 30.0))), nothing, 0.1),
        lambda: spell(
            "cut",
            lambda s: s.counter.cut.add("g2"),
            lambda s: s.counter.cut.discard("g2"),
            rng.uniform(5.0, 10.0),
        ),
        lambda: spell("deaf", flag("deaf", True), flag("deaf", False), rng.uniform(2.0, 4.0)),
        lambda: spell("silent", flag("refused", True), flag("refused", False), rng.uniform(4.0, 8.0)),
    ]
    turn = 0
    await asyncio.sleep(8.0)
    while time.time() - began < seconds - 30.0:
        await kinds[turn % len(kinds)]()
        turn += 1
        await asyncio.sleep(rng.uniform(9.0, 13.0))
    if seconds >= 60.0:
        for side in sides:
            side.trouble("killed", 1.0)
        await asyncio.gather(*(s.deployment.restart_front(s.deployment.fronts[1], 1.0) for s in sides))


async def measure(seconds: float, customers: int, seed: int) -> dict[str, Any]:
    sides = [Side(True, customers, seed), Side(False, customers, seed)]
    try:
        await asyncio.gather(*(side.start() for side in sides))
        await asyncio.gather(
            *(side.deployment.traffic.run(seconds) for side in sides), trouble_both(sides, seed, seconds)
        )
        await asyncio.gather(*(side.deployment.traffic.wait_answered(13.0) for side in sides))
        ends = [await side.deployment.stop() for side in sides]
    finally:
        for side in sides:
            side.deployment.close()
            side.counter.close()
    kept, before = (side.told() for side in sides)
    for line in sides[0].deployment.logs():
        print(line, file=sys.stderr)
    books = sides[0].deployment.audit.figures()
    return {
        **kept,
        "seconds": seconds,
        "customers": customers,
        "troubles": len(sides[0].troubled),
        "calls_to_before": round(kept["calls"] / max(before["calls"], 1), 2),
        "lost": books["answers_none"],
        "bad_ends": ends,
        "before": before,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=180.0)
    parser.add_argument("--customers", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(json.dumps(uvloop.run(measure(options.seconds, options.customers, options.seed))))


if __name__ == "__main__":
    main()
