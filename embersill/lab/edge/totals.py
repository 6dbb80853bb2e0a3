"""Measures how accurate the gateways' demand totals are, and what inaccuracy costs a tenant.

One tenant's requests arrive at random gateways; their rate triples for a while. The total known to the member
that sums the tenant's demand is compared with the actual number of requests in the last second.
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from typing import Any

from embersill.lab.edge.fleet import Machine
from embersill.lab.edge.system_simulation import RequestRecord, system_with_quota

QUOTA_PER_S = 60.0  # the burst is as large
BASE_RATE_PER_S, PEAK_RATE_PER_S = 30.0, 90.0  # request rates
PEAK_PERIOD_S = 10.0, 20.0  # start and end of the peak rate, from the start of the run
RUN_DURATION_S = 30.0
SAMPLE_INTERVAL_S = 0.1  # interval at which the total is sampled
MAX_LAG_SAMPLES = 30  # largest lag of the total that is considered
FAULTS = ("none", "lost", "cut", "slow")  # of the summing member, from 12 s to 16 s
FAULT_PERIOD_S = 12.0, 16.0
ADDED_DELAY_S = 0.15  # of each of its messages during the fault "slow"


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one run.

    `error`: mean distance between total and actual rate, as a fraction of the quota, with the lag removed.
    `lag_s`: by how much the total lags behind the actual rate. `served`, `served_during_fault`: fraction of
    the requests within the quota that were served, outside and during the fault. `peak_quota_usage`: largest
    fraction of the quota's bound that any window used.
    """

    gateways: int
    fault: str
    error: float
    lag_s: float
    served: float
    served_during_fault: float
    peak_quota_usage: float


def measure(gateways: int, fault: str = "none", seed: int = 1) -> Figures:
    """Simulates one run; AssertionError if the tenant ever exceeds its quota's bound."""
    system = system_with_quota(seed, gateways, QUOTA_PER_S, QUOTA_PER_S)
    start, chance = system.kernel.now, system.kernel.stream("where")
    end = start + RUN_DURATION_S

    def random_running_machine() -> Machine:
        running = [machine for machine in system.machines if machine.node is not None]
        return chance.choice(running)

    node = system.machines[0].node
    assert node is not None
    summing = system.by_name[node.demand.summing("t")]
    system.generate_traffic("t", BASE_RATE_PER_S, random_running_machine, end)
    system.kernel.at(
        start + PEAK_PERIOD_S[0],
        lambda: system.generate_traffic(
            "t", PEAK_RATE_PER_S - BASE_RATE_PER_S, random_running_machine, start + PEAK_PERIOD_S[1]
        ),
    )
    if fault == "lost":
        system.kernel.at(start + FAULT_PERIOD_S[0], summing.kill)
        system.kernel.at(start + FAULT_PERIOD_S[1], summing.start)
    elif fault == "cut":
        system.kernel.at(start + FAULT_PERIOD_S[0], system.cut, {summing.name})
        system.kernel.at(start + FAULT_PERIOD_S[1], system.heal)
    elif fault == "slow":
        system.kernel.at(
            start + FAULT_PERIOD_S[0], system.added_delay_s.update, {summing.name: ADDED_DELAY_S}
        )
        system.kernel.at(start + FAULT_PERIOD_S[1], system.added_delay_s.clear)
    estimated_totals, actual_rates = [], []
    while system.kernel.now < end:
        system.run(SAMPLE_INTERVAL_S)
        now = system.kernel.now
        actual_rates.append(sum(now - 1.0 < record.asked_at <= now for record in reversed(system.requests)))
        total = summing.node.demand.sums.total("t", 0.0, {}, now) if summing.node is not None else 0.0
        estimated_totals.append(total)
    fault_free_samples = [
        n
        for n in range(MAX_LAG_SAMPLES, len(estimated_totals))
        if not FAULT_PERIOD_S[0] <= n * SAMPLE_INTERVAL_S < FAULT_PERIOD_S[1] + 2.0 or fault == "none"
    ]

    def distance(lag_samples: int) -> float:
        return (
            sum(abs(estimated_totals[n] - actual_rates[n - lag_samples]) for n in fault_free_samples)
            / len(fault_free_samples)
            / QUOTA_PER_S
        )

    lag_samples = min(range(MAX_LAG_SAMPLES), key=distance)
    during_fault = [
        record
        for record in system.requests
        if FAULT_PERIOD_S[0] <= record.asked_at - start < FAULT_PERIOD_S[1]
    ]
    fault_free = [
        record
        for record in system.requests
        if not PEAK_PERIOD_S[0] <= record.asked_at - start < FAULT_PERIOD_S[1] + 4.0
    ]
    expected_share = min(
        1.0, QUOTA_PER_S * (FAULT_PERIOD_S[1] - FAULT_PERIOD_S[0]) / max(len(during_fault), 1)
    )

    def served(requests: list[RequestRecord]) -> float:
        return sum(record.end == "served" for record in requests) / max(len(requests), 1)

    return Figures(
        gateways,
        fault,
        distance(lag_samples),
        lag_samples * SAMPLE_INTERVAL_S,
        served(fault_free),
        min(served(during_fault) / expected_share, 1.0),
        system.peak_quota_usage.get("t", 0.0),
    )


def add_to(subparsers: Any) -> None:
    """`python -m embersill.lab totals`."""
    parser = subparsers.add_parser(
        "totals", help="accuracy of the gateways' demand totals, simulated without sockets"
    )
    parser.set_defaults(what="totals")
    parser.add_argument("--gateways", type=int, nargs="+", default=[1, 3, 14])
    parser.add_argument("--seed", type=int, default=1)


def main(arguments: argparse.Namespace) -> int:
    """Prints a table with a line for each number of gateways and each fault."""
    print("gateways fault    error    lag  served  inside    most")
    for count in arguments.gateways:
        for fault in FAULTS:
            if fault != "none" and count < 3:
                continue
            figures = measure(count, fault, arguments.seed)
            print(
                f"{figures.gateways:8d} {figures.fault:7s} {figures.error:6.3f} {figures.lag_s:5.1f} s "
                f"{figures.served:7.3f} {figures.served_during_fault:7.3f} {figures.peak_quota_usage:7.3f}"
            )
    return 0
