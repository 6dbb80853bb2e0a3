"""How near the totals that gateways go by come to the truth, and what that costs a tenant.

One tenant's callers come to all gateways by chance; their number triples for a while. What the member that
sums the tenant's demand takes for its total is held against what was truly asked in the last second.
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from typing import Any

from embersill.lab.edge.fleet import Machine
from embersill.lab.edge.town import RequestRecord, system_with_quota

QUOTA = 60.0  # requests a second, and the burst
CALM, JUMP = 30.0, 90.0  # requests a second that are asked for
JUMPS = 10.0, 20.0  # seconds after the start from which and up to which more is asked
LASTS = 30.0
LOOK = 0.1  # seconds between looks at the total
MOST_LAG = 30  # looks by which the total may come late
TROUBLES = ("none", "lost", "cut", "slow")  # of the member that sums, from 12 s to 16 s
LOST = 12.0, 16.0
SLOW = 0.15  # seconds that each of its messages takes then


@dataclass(frozen=True, slots=True)
class Figures:
    """`error`: mean distance of total and truth, as a part of the quota, once the lag is taken out.

    `lag`: seconds by which the total comes after the truth. `served`: part of what was asked inside the quota
    that was served, outside the trouble and inside it. `most`: of the bound that a window may use.
    """

    gateways: int
    trouble: str
    error: float
    lag: float
    served: float
    served_inside: float
    most: float


def measure(gateways: int, trouble: str = "none", seed: int = 1) -> Figures:
    """One run; AssertionError if the tenant ever runs more than its quota's bound."""
    system = system_with_quota(seed, gateways, QUOTA, QUOTA)
    start, chance = system.kernel.now, system.kernel.stream("where")
    end = start + LASTS

    def where() -> Machine:
        up = [machine for machine in system.machines if machine.node is not None]
        return chance.choice(up)

    node = system.machines[0].node
    assert node is not None
    summing = system.by_name[node.demand.summing("t")]
    system.generate_traffic("t", CALM, where, end)
    system.kernel.at(
        start + JUMPS[0], lambda: system.generate_traffic("t", JUMP - CALM, where, start + JUMPS[1])
    )
    if trouble == "lost":
        system.kernel.at(start + LOST[0], summing.kill)
        system.kernel.at(start + LOST[1], summing.start)
    elif trouble == "cut":
        system.kernel.at(start + LOST[0], system.cut, {summing.name})
        system.kernel.at(start + LOST[1], system.heal)
    elif trouble == "slow":
        system.kernel.at(start + LOST[0], system.added_delay_s.update, {summing.name: SLOW})
        system.kernel.at(start + LOST[1], system.added_delay_s.clear)
    totals, truths = [], []
    while system.kernel.now < end:
        system.run(LOOK)
        now = system.kernel.now
        truths.append(sum(now - 1.0 < one.asked_at <= now for one in reversed(system.requests)))
        known = summing.node.demand.sums.total("t", 0.0, (), now) if summing.node is not None else 0.0
        totals.append(known)
    calm = [
        n
        for n in range(MOST_LAG, len(totals))
        if not LOST[0] <= n * LOOK < LOST[1] + 2.0 or trouble == "none"
    ]

    def distance(lag: int) -> float:
        return sum(abs(totals[n] - truths[n - lag]) for n in calm) / len(calm) / QUOTA

    lag = min(range(MOST_LAG), key=distance)
    inside = [one for one in system.requests if LOST[0] <= one.asked_at - start < LOST[1]]
    outside = [one for one in system.requests if not JUMPS[0] <= one.asked_at - start < LOST[1] + 4.0]
    owed = min(1.0, QUOTA * (LOST[1] - LOST[0]) / max(len(inside), 1))

    def served(asked: list[RequestRecord]) -> float:
        return sum(one.end == "served" for one in asked) / max(len(asked), 1)

    return Figures(
        gateways,
        trouble,
        distance(lag),
        lag * LOOK,
        served(outside),
        min(served(inside) / owed, 1.0),
        system.peak_quota_usage.get("t", 0.0),
    )


def add_to(subparsers: Any) -> None:
    """`python -m embersill.lab totals`."""
    parser = subparsers.add_parser(
        "totals", help="the whole gateway's totals against the truth, without sockets"
    )
    parser.set_defaults(what="totals")
    parser.add_argument("--gateways", type=int, nargs="+", default=[1, 3, 14])
    parser.add_argument("--seed", type=int, default=1)


def main(arguments: argparse.Namespace) -> int:
    """Prints a table: a line for each number of gateways and each trouble."""
    print("gateways trouble  error    lag  served  inside    most")
    for count in arguments.gateways:
        for trouble in TROUBLES:
            if trouble != "none" and count < 3:
                continue
            got = measure(count, trouble, arguments.seed)
            print(
                f"{got.gateways:8d} {got.trouble:7s} {got.error:6.3f} {got.lag:5.1f} s {got.served:7.3f} "
                f"{got.served_inside:7.3f} {got.most:7.3f}"
            )
    return 0
