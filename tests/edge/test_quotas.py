"""Quotas over all gateways under stress: tenants get active, overload and move between failing gateways.

After each send, every run checks what a tenant's requests used against the quota's bound
(`SystemSimulation.record_run`).
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import pytest

from embersill.lab.edge.fleet import Machine
from embersill.lab.edge.system_simulation import SystemSimulation, system_with_quota
from embersill.lab.edge.totals import FAULTS, measure


def press(system: SystemSimulation, per_s: float, seconds: float, at: Sequence[Machine]) -> None:
    """Sends a tenant's requests to those of these machines that are up."""
    chance = system.kernel.stream(f"where {system.kernel.now}")

    def where() -> Machine:
        return chance.choice([m for m in at if m.node is not None] or list(system.machines))

    system.generate_traffic("t", per_s, where, system.kernel.now + seconds)


@pytest.mark.parametrize("gateways", [1, 2, 5, 14])
def test_a_tenant_that_was_idle_and_presses_has_one_burst_and_not_two(gateways: int) -> None:
    # part of the burst is in the gateways' own buckets, and the reserve has to hold exactly that much less
    system = system_with_quota(1, gateways, 60.0, 60.0)
    press(system, 5.0, 2.0, system.machines)
    system.run(12.0)
    press(system, 360.0, 8.0, system.machines)
    system.run(8.0)
    assert 0.8 < system.peak_quota_usage["t"] <= 1.0


@pytest.mark.parametrize("rate", [2.0, 5.0])
def test_a_thin_tenant_that_presses_at_many_gateways_has_no_request_from_each(rate: float) -> None:
    # a full bucket of less than a token would admit one request at each of forty gateways at once
    system = system_with_quota(6, 40, rate, rate)
    press(system, 80.0, 6.0, system.machines)
    system.run(6.0)
    assert 0.3 < system.peak_quota_usage["t"] <= 1.0


@pytest.mark.parametrize("seed", range(3))
def test_the_member_that_sums_is_cut_off_with_callers_of_its_own(seed: int) -> None:
    # the others use the even slice without being heard: the member must not count them as idle
    system = system_with_quota(seed, 5, 200.0, 200.0)
    node = system.machines[0].node
    assert node is not None
    summing = system.by_name[node.demand.summing("t")]
    press(system, 800.0, 6.0, system.machines)
    system.cut({summing.name})
    system.run(3.3)
    system.heal()
    system.run(3.0)
    assert system.peak_quota_usage["t"] > 0.7


def test_callers_that_move_from_one_gateway_to_all_others_take_no_second_burst() -> None:
    system = system_with_quota(4, 8, 60.0, 60.0)
    press(system, 480.0, 6.0, system.machines[4:5])
    system.run(6.0)
    press(system, 480.0, 6.0, [m for m in system.machines if m is not system.machines[4]])
    system.run(6.0)
    assert 0.7 < system.peak_quota_usage["t"] <= 1.0


@pytest.mark.parametrize("seed", range(16))
def test_no_mix_of_loads_moves_and_troubles_passes_a_quota(seed: int) -> None:
    chance = random.Random(seed)
    gateways, rate = chance.choice([1, 2, 3, 5, 8, 14]), chance.choice([5.0, 20.0, 60.0, 200.0])
    system = system_with_quota(seed, gateways, rate, rate * chance.choice([0.5, 1.0, 2.0]))
    system.run(chance.choice([0.0, 3.0, 8.0]))
    for _ in range(5):
        seconds, width = chance.uniform(1.0, 5.0), chance.choice([1, max(1, gateways // 2), gateways])
        press(
            system,
            rate * chance.choice([0.3, 0.9, 1.5, 4.0, 8.0]),
            seconds,
            chance.sample(system.machines, width),
        )
        victim, trouble = (
            chance.choice(system.machines),
            chance.choice(["", "", "cut", "kill", "all", "slow"]),
        )
        if trouble == "cut":
            system.cut({victim.name})
        elif trouble == "slow":
            system.added_delay_s[victim.name] = 0.2
        elif trouble in ("kill", "all"):
            dead = [victim] if trouble == "kill" else list(system.machines)
            for machine in dead:
                machine.kill()
            system.run(0.4)
            for machine in dead:
                machine.start()
        system.run(seconds)
        system.heal()
        system.added_delay_s.clear()
    assert system.requests


@pytest.mark.parametrize("gateways, trouble", [(3, "none"), (14, "none"), *((5, t) for t in FAULTS[1:])])
def test_totals_come_near_the_truth_and_serve_what_is_inside_the_quota(gateways: int, trouble: str) -> None:
    got = measure(gateways, trouble)
    assert got.error < 0.2 and got.lag_s <= 2.5 and got.peak_quota_usage <= 1.0
    assert got.served > 0.97 and got.served_during_fault > 0.6
