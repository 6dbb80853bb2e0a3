"""No part of a quota is given out twice, whoever restarts, is replaced or is cut off.

See docs/design/quota-safety.md.
"""

from __future__ import annotations

import msgspec
import pytest

from embersill.edge.dataplane.admission import NO_SHARE_WIDTH
from embersill.edge.peers.directory import SETTLE_S
from embersill.edge.peers.directory_exchange import DIRECTORY_KEY, DirectoryMessage
from embersill.edge.peers.quota_share import QUOTA_LEASE_S
from embersill.edge.peers.share_table import EXPIRE_AFTER_S, Statement
from embersill.lab.edge.fleet import Machine
from embersill.lab.edge.quota_walk import SITES, Site, Walk
from embersill.lab.edge.system_simulation import (
    Gateway,
    SystemSimulation,
    missing_shares,
    system_with_quota,
)

RATE, BURST = 108.0, 108.0


def press(system: SystemSimulation, per_s: float, seconds: float) -> None:
    """Sends a tenant's requests to all machines that are up, for so many seconds from now on."""
    chance = system.kernel.stream(f"where {system.kernel.now}")

    def choose_machine() -> Machine:
        return chance.choice([machine for machine in system.machines if machine.node is not None])

    system.generate_traffic("t", per_s, choose_machine, system.kernel.now + seconds)


def cut_off_gateways(system: SystemSimulation) -> list[Gateway]:
    """Cuts four gateways off that are no members."""
    gateways = system.gateways[4:8]
    system.cut({gateway.name for gateway in gateways})
    return gateways


def restart_and_press(system: SystemSimulation, machines: list[Machine]) -> None:
    """Starts machines, and then has a tenant ask for much more than its quota."""
    system.run(0.4)
    start_all(machines)
    system.run(2.0)
    press(system, 8 * RATE, 6.7)
    system.run(8.0)


def start_all(machines: list[Machine]) -> None:
    """Starts the processes of these machines."""
    for machine in machines:
        machine.start()


@pytest.mark.parametrize("seed", range(3))
def test_a_core_that_restarts_sets_aside_what_gateways_that_are_cut_off_may_use(seed: int) -> None:
    # the restarted members used to know only whom they heard: 1.11 of the bound (review case 3, QUOTA)
    system = system_with_quota(seed, 14, RATE, BURST)
    core = system.machines[:3]
    system.run(6.0)
    for machine in core:
        machine.kill()
    system.run(0.1)
    cut_off_gateways(system)
    restart_and_press(system, core)
    assert 0.7 < system.peak_quota_usage["t"] <= 1.0
    assert not missing_shares(system)


@pytest.mark.parametrize("planned", [True, False])
def test_a_new_member_sets_aside_what_gateways_that_are_cut_off_may_use(planned: bool) -> None:
    # a member that takes another's place used to divide the whole quota among those that link to it
    system = system_with_quota(1, 14, RATE, BURST)
    node = system.machines[0].node
    assert node is not None
    old = system.by_name[node.demand.summing("t")]
    system.run(2.0)
    away = cut_off_gateways(system)
    system.run(1.0)
    if planned and old.node is not None:
        old.node.leave()
        old.carry_out()
    else:
        old.kill()
    system.add(True, old.zone)
    system.cut({gateway.name for gateway in away})
    system.run(1.0)
    old.kill()
    press(system, 8 * RATE, 8.0)
    system.run(9.0)
    assert 0.7 < system.peak_quota_usage["t"] <= 1.0
    assert not missing_shares(system)


def test_a_member_without_its_disk_assigns_nothing_before_another_has_told_it_who_has_a_share() -> None:
    # alone with the gateways that it hears it would divide the whole quota among them
    system = system_with_quota(2, 8, RATE, BURST)
    system.run(2.0)
    victim = system.machines[0]
    cut_off_gateways(system)
    victim.wipe()
    for machine in system.machines[1:3]:
        machine.kill()
    victim.start()
    system.run(2.0)
    assert victim.node is not None and not victim.node.directory.complete
    start_all(list(system.machines[1:3]))
    system.run(3.0)
    assert victim.node.directory.complete and len(victim.node.directory.table.entries) == 8
    press(system, 8 * RATE, 6.0)
    system.run(7.0)
    assert system.peak_quota_usage["t"] <= 1.0 and not missing_shares(system)
    summing = system.by_name[victim.node.demand.summing("t")].node
    assert summing is not None and summing.demand.quota("t", system.kernel.now) == (RATE, BURST)
    summing.directory.complete = False
    assert summing.demand.quota("t", system.kernel.now) == (0.0, 0.0)


def test_a_core_that_knows_only_how_many_gateways_there_were_sets_their_shares_aside() -> None:
    # the disk of a version without a directory: after an upgrade nobody knows their names
    system = system_with_quota(7, 14, RATE, BURST)
    core = system.machines[:3]
    system.run(2.0)
    for machine in core:
        machine.kill()
        del machine.disk[DIRECTORY_KEY]
        machine.disk["gateways"] = b"14"
    away = cut_off_gateways(system)
    restart_and_press(system, core)
    assert 0.7 < system.peak_quota_usage["t"] <= 1.0
    system.heal()
    system.run(3.0)
    assert {gateway.quota_width for gateway in [*away, *system.gateways[:4]]} == {14}


def test_gateways_that_join_divide_only_what_those_cut_off_do_not_hold() -> None:
    # by the new number of gateways alone, those cut off would count for less than they still use
    system = system_with_quota(3, 6, RATE, BURST)
    system.run(2.0)
    away = system.gateways[3:6]
    names = {gateway.name for gateway in away}
    system.cut(names)
    system.run(1.5)
    for zone in "abcabcabc":
        system.add(False, zone)
    system.cut(names)
    system.run(2.0)
    assert {gateway.quota_width for gateway in away} == {6}
    shares = [1 / gateway.quota_width for gateway in system.gateways]
    assert len(shares) == 15 and sum(shares) <= 1.0 + 1e-9
    for machine in system.machines[:3]:  # nobody is left to assign anything
        machine.kill()
    press(system, 8 * RATE, 8.0)
    system.run(9.0)
    assert system.peak_quota_usage["t"] <= 1.0


def test_a_share_lapses_before_it_is_divided_among_the_others_and_comes_back() -> None:
    # what the members gave to others after a minute used to stay in use at a gateway that was cut off
    system = system_with_quota(4, 5, 40.0, 40.0)
    away = system.gateways[4]
    press(system, 200.0, QUOTA_LEASE_S + 30.0)
    system.cut({away.name})
    system.run(QUOTA_LEASE_S - 2.0)
    assert away.quota_width == 5 and system.gateways[0].quota_width == 5
    system.run(4.0)
    assert away.quota_width == 0 and away.decider.throttles["t"].width == NO_SHARE_WIDTH
    assert system.gateways[0].quota_width == 5
    system.run(EXPIRE_AFTER_S - QUOTA_LEASE_S + 4.0)
    assert system.gateways[0].quota_width == 4
    system.heal()
    system.run(SETTLE_S + 1.5)
    assert {gateway.quota_width for gateway in system.gateways} == {5}
    assert 0.7 < system.peak_quota_usage["t"] <= 1.0


def test_a_gateway_has_no_share_while_a_member_can_not_store_it() -> None:
    # a member that loses power would not know of the gateway afterwards
    system = system_with_quota(5, 5, RATE, BURST)
    system.run(2.0)
    system.machines[1].disk_refuses = True
    joined = system.add(False, "b")
    assert isinstance(joined, Gateway)
    system.run(3.0)
    assert joined.quota_width == 0 and system.gateways[4].quota_width == 6
    system.machines[1].disk_refuses = False
    system.run(2.0)
    assert joined.quota_width == 6 and not missing_shares(system)


def test_what_a_member_of_another_epoch_says_proves_nothing_about_a_claim() -> None:
    # it may speak for other members, one of which does not know of the gateway
    system = system_with_quota(8, 5, RATE, BURST)
    system.run(2.0)
    asking, refusing = system.machines[0].node, system.machines[1]
    assert asking is not None and asking.agreement.roster is not None
    epoch = asking.agreement.roster.epoch
    refusing.disk_refuses = True
    joined = system.add(False, "b")
    system.run(2.0)
    assert isinstance(joined, Gateway)
    for told_epoch, width in ((epoch + 1, 0), (epoch, 6)):
        statements = {joined.name: Statement(1 / 6, 0.0)}
        message = DirectoryMessage(told_epoch, True, False, 10**6, 10**6, False, statements)
        body = msgspec.to_builtins(message)
        asking.heard(refusing.name, {"kind": "gateways", "body": body}, system.kernel.now)
        system.run(0.2)
        assert joined.quota_width == width


def test_a_restarted_gateway_has_its_share_at_once_though_a_member_is_lost() -> None:
    # its share is on the lost member's disk already: nothing has to be agreed on anew
    system = system_with_quota(6, 6, RATE, BURST)
    system.run(2.0)
    system.machines[2].kill()
    gateway = system.gateways[5]
    gateway.kill()
    system.run(0.5)
    gateway.start()
    system.run(1.0)
    assert gateway.quota_width == 6


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("site", SITES, ids=lambda site: site.name)
def test_no_walk_through_restarts_replacements_cuts_and_changes_of_quota_breaks_a_quota(
    site: Site, seed: int
) -> None:
    # the bound on what ran, and that every share is reserved wherever quotas are assigned
    walk = Walk(site, seed).run()
    assert walk.peak <= 1.0, walk.history
    assert not walk.missing, walk.history


@pytest.mark.parametrize("gateways, rate, burst", [(5, 200.0, 20.0), (8, 200.0, 20.0)])
def test_a_member_that_is_cut_off_as_its_tenant_begins_lends_no_rate_that_others_use(
    gateways: int, rate: float, burst: float
) -> None:
    # until the others count as silent it took them for idle, and lent their rate to itself: 1.02 of the bound
    system = system_with_quota(1, gateways, rate, burst)
    system.run(3.0)
    node = system.machines[0].node
    assert node is not None
    summing = system.by_name[node.demand.summing("t")]
    chance = system.kernel.stream("where")

    def choose_machine() -> Machine:
        return summing if chance.random() < 0.5 else chance.choice(system.machines)

    system.cut({summing.name})
    system.generate_traffic("t", 4 * rate, choose_machine, system.kernel.now + 8.0)
    system.run(2.3)
    system.heal()
    system.run(6.0)
    assert 0.7 < system.peak_quota_usage["t"] <= 1.0
