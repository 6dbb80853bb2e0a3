"""Seeded runs of the whole control plane on a simulated network; invariants are checked at each step."""

from __future__ import annotations

import json
from typing import Any

import pytest

from embersill.edge.verdict import Verdict
from embersill.lab.edge.control import founded_fleet, heartbeat_body
from embersill.lab.edge.fleet import Fleet, Machine, change


def put_until_answered(fleet: Fleet, body: dict[str, object], tries: int = 30, what: str = "PUT") -> int:
    """Sends a change to one gateway after the other until one gives a definite answer; returns its status."""
    for number in range(tries):
        machine = fleet.machines[number % len(fleet.machines)]
        heard = machine.call(what, body)
        fleet.run(1.0)
        if heard and heard[0].status in (200, 400, 404, 412):
            return heard[0].status
    raise AssertionError("no clear answer")


def test_a_change_comes_to_every_gateway_and_is_answered_again_as_it_was() -> None:
    fleet = founded_fleet(1)
    assert all(m.node is not None and m.node.state["version"] == 1 for m in fleet.machines)
    assert put_until_answered(fleet, change(1, 0)) == 200
    assert put_until_answered(fleet, change(1, 0, routes=2)) == 412
    assert put_until_answered(fleet, change(1, 1)) == 400  # not above the current one
    read = fleet.machines[-1].call("GET", {})
    fleet.run(1.0)
    assert read[0].body["version"] == "00000001" and "based_on_version" not in read[0].body


@pytest.mark.parametrize("seed", range(12))
def test_of_two_changes_on_the_same_version_one_is_taken(seed: int) -> None:
    fleet = founded_fleet(seed)
    for version in range(2, 6):
        base = fleet.machines[0].node.state["version"]  # type: ignore[union-attr]
        calls = [fleet.machines[(seed + n) % 5].call("PUT", change(10 * version + n, base)) for n in range(3)]
        fleet.run(1.2)
        taken = [heard for heard in calls if heard and heard[0].status == 200]
        assert len(taken) <= 1
        fleet.run_until_converged()
    assert fleet.machines[0].node.state["version"] > 1  # type: ignore[union-attr]


@pytest.mark.parametrize("seed", range(40))
def test_what_was_acknowledged_outlives_kills_cuts_wipes_and_exchanged_members(seed: int) -> None:
    """Random faults of the core, one lost member at a time, during changes; then recovery."""
    fleet = founded_fleet(seed, 3, 2)
    chance, acknowledged, version = fleet.kernel.stream("troubles"), 1, 1
    wiped_at = -100.0
    for _ in range(12):
        victim = fleet.machines[chance.randrange(3)]
        trouble = chance.choice(("kill", "cut", "wipe", "all", "refuse", "one way", "none"))
        if trouble == "kill":
            victim.kill()
        elif trouble == "cut":
            fleet.cut({victim.name})
        elif trouble == "one way":
            fleet.cut_off[victim.name] = {fleet.machines[chance.randrange(5)].name}
        elif trouble == "wipe" and fleet.kernel.now - wiped_at > 8.0:
            wiped_at = fleet.kernel.now
            victim.wipe()
        elif trouble == "all":
            for machine in fleet.machines[:3]:
                machine.kill()
        elif trouble == "refuse":
            victim.disk_refuses = True
        version += chance.randrange(1, 4)
        base = max(m.node.state["version"] for m in fleet.machines if m.node is not None)
        heard = fleet.machines[chance.randrange(5)].call("PUT", change(version, base))
        fleet.run(chance.uniform(0.02, 1.5))
        for machine in fleet.machines:
            machine.disk_refuses = False
            if machine.node is None:
                machine.start()
        if chance.random() < 0.7:
            fleet.heal()
        fleet.run(chance.uniform(0.5, 2.0))
        if heard and heard[0].status == 200:
            acknowledged = max(acknowledged, version)
    fleet.heal()
    fleet.run(6.0)
    fleet.run_until_converged()
    read = [machine.call("GET", {}) for machine in fleet.machines]
    fleet.run(1.0)
    for answers in read:
        assert answers and answers[0].status == 200, answers
        assert int(str(answers[0].body["version"]), 16) >= acknowledged
    base = fleet.machines[0].node.state["version"]  # type: ignore[union-attr]
    assert put_until_answered(fleet, change(version + 100, base)) == 200


@pytest.mark.parametrize("seed", range(6))
def test_a_core_machine_is_exchanged_for_another_at_another_address(seed: int) -> None:
    fleet = founded_fleet(seed)
    replaced: Machine = fleet.machines[seed % 3]
    replaced.kill()
    if seed % 2:
        fleet.run(4.0)  # an unplanned loss: the replacement is added later
    fleet.machines.remove(replaced)
    del fleet.by_name[replaced.name]
    new = fleet.add(core=True, zone=replaced.zone)
    fleet.run(8.0)
    roster = new.node.agreement.roster  # type: ignore[union-attr]
    assert roster is not None and replaced.name not in roster.members and new.name in roster.members
    # the newcomer votes: with another old member down, changes still succeed
    other = next(m for m in fleet.machines if m.core and m is not new)
    other.kill()
    fleet.run(2.0)
    assert put_until_answered(fleet, change(50, 1)) == 200
    fleet.run_until_converged()


@pytest.mark.parametrize("seed", range(10))
def test_what_was_acknowledged_is_on_disks_by_then(seed: int) -> None:
    """Disks are slow, and all machines lose power at the moment of the acknowledgement."""
    fleet = founded_fleet(seed)
    fleet.save_duration_s = 0.05, 0.2
    heard = fleet.machines[seed % 3].call("PUT", change(7, 1))
    while not heard:
        fleet.run(0.001)
    for machine in fleet.machines:
        machine.kill()
    for machine in fleet.machines:
        machine.start()
    fleet.run(6.0)
    read = fleet.machines[4].call("GET", {})
    fleet.run(1.0)
    assert heard[0].status != 200 or read[0].body["version"] == "00000007"


def test_a_member_with_an_empty_disk_has_no_vote_until_a_majority_of_the_others_has_told_it() -> None:
    fleet = founded_fleet(9)
    one, other, late = fleet.machines[:3]
    late.kill()
    assert put_until_answered(fleet, change(2, 1)) == 200
    one.wipe()
    other.kill()
    one.start()
    late.start()  # it has missed version 2, which only a stopped member knows
    fleet.run(3.0)
    heard = late.call("PUT", change(3, 1))
    fleet.run(2.0)
    assert heard[0].status >= 500
    other.start()
    fleet.run(4.0)
    fleet.run_until_converged()
    assert put_until_answered(fleet, change(3, 2)) == 200


def test_a_core_without_disks_learns_what_a_restart_forgets() -> None:
    fleet = Fleet(8, 12, 0, persistent_disks=False)
    fleet.run(4.0)
    assert put_until_answered(fleet, change(1, 0)) == 200
    roster = fleet.machines[0].node.agreement.roster  # type: ignore[union-attr]
    assert roster is not None and len(roster.members) == 9  # spread over all zones
    for version in range(2, 6):
        victim = fleet.machines[version]
        victim.kill()
        fleet.run(0.3)
        victim.start()
        fleet.run(3.0)
        assert put_until_answered(fleet, change(version, version - 1)) == 200
    fleet.run_until_converged()
    seated = [m.node for m in fleet.machines if m.name in roster.members]
    assert all(node is not None and node.agreement.votes for node in seated)


def test_a_leaving_backend_is_answered_once_all_linked_gateways_know() -> None:
    fleet = founded_fleet(3)
    heard = fleet.machines[-1].call("beat", heartbeat_body())
    fleet.run(0.2)
    assert heard[0].status == 200 and heard[0].body["heartbeat_address"] == "10.0.0.1:8000"
    fleet.run(0.5)
    assert all(m.node.registry.instances.known["i-1"].open for m in fleet.machines if m.node is not None)
    fleet.added_delay_s[fleet.machines[-1].name] = 0.1  # this one learns of the decision long after the core
    leaving = fleet.machines[1].call("beat", heartbeat_body("draining", 2))
    again = fleet.machines[1].call("beat", heartbeat_body("draining", 3))  # must not be answered sooner
    while not leaving and not again:
        fleet.run(0.0005)
    assert not any(m.node.registry.instances.known["i-1"].open for m in fleet.machines if m.node is not None)
    late = fleet.machines[0].call("beat", heartbeat_body("ready", 1))  # delayed past the later beats
    fleet.run(0.5)
    assert late[0].status == 200
    assert not any(m.node.registry.instances.known["i-1"].open for m in fleet.machines if m.node is not None)


def test_a_silent_gateway_holds_a_leaving_backend_up_for_a_moment_only() -> None:
    fleet = founded_fleet(4)
    fleet.machines[0].call("beat", heartbeat_body())
    fleet.run(0.5)
    fleet.cut({fleet.machines[4].name})
    leaving = fleet.machines[0].call("leave", {"id": "i-1"})
    fleet.run(0.4)
    assert not leaving
    fleet.run(0.3)
    assert [verdict.status for verdict in leaving] == [200]


def test_a_backend_that_falls_silent_is_taken_out_and_comes_back_with_its_next_beat() -> None:
    fleet = founded_fleet(5)
    fleet.machines[0].call("beat", heartbeat_body())
    fleet.run(5.0)
    known = [m.node.registry.instances.known["i-1"] for m in fleet.machines if m.node is not None]
    assert all(one.lost for one in known)
    fleet.machines[0].call("beat", heartbeat_body(sequence=9))
    fleet.run(0.5)
    assert all(m.node.registry.instances.known["i-1"].open for m in fleet.machines if m.node is not None)


def test_without_a_majority_nothing_is_acknowledged() -> None:
    fleet = founded_fleet(6)
    fleet.machines[0].kill()
    fleet.machines[1].kill()
    fleet.run(2.0)
    verdicts: list[Verdict] = []
    for machine in fleet.machines[2:]:
        verdicts += machine.call("PUT", change(9, 1))
    fleet.run(3.0)
    assert all(verdict.status >= 500 for verdict in verdicts)


def test_a_disk_that_refuses_acknowledges_nothing_and_the_others_go_on() -> None:
    fleet = founded_fleet(7)
    for machine in fleet.machines[:2]:
        machine.disk_refuses = True
    heard = fleet.machines[0].call("PUT", change(9, 1))
    fleet.run(2.0)
    assert heard and heard[0].status >= 500
    for machine in fleet.machines[:2]:
        machine.disk_refuses = False
    assert put_until_answered(fleet, change(9, 1)) == 200


def test_nobody_serves_an_unvouched_configuration_and_one_on_its_own_counts_all() -> None:
    """After a power loss everywhere one member alone serves nothing; a majority soon serves the old state."""
    fleet = founded_fleet(11, 3, 4)
    fleet.machines[0].call("beat", heartbeat_body())
    fleet.run(1.0)
    for machine in fleet.machines:
        machine.kill()
    fleet.run(1.0)
    one, other = fleet.machines[:2]
    one.start()
    assert one.node is not None and one.node.table is None
    fleet.run(20.0)  # no other gateway is back: its quota slice stays one of seven
    assert one.node.peers.count == 7 and one.node.table is None
    other.start()
    fleet.run(1.6)
    assert one.node.state["version"] == 1 and other.node is not None and other.node.state["version"] == 1
    for machine in fleet.machines[2:]:
        machine.start()
    fleet.run(3.0)
    assert put_until_answered(fleet, change(2, 1)) == 200
    fleet.run_until_converged()
    edge = fleet.machines[-1]
    edge.kill()
    edge.start()
    assert (
        edge.node is not None and edge.node.table is None
    )  # without a disk it has to fetch the configuration
    fleet.run(1.0)
    assert edge.node.state["version"] == 2


def test_after_a_loss_of_power_everywhere_all_serve_again_within_a_second() -> None:
    fleet = founded_fleet(12, 3, 4)
    for machine in fleet.machines:
        machine.kill()
    for machine in fleet.machines:
        machine.start()
    fleet.run(0.8)
    assert all(m.node is not None and m.node.state["version"] == 1 for m in fleet.machines)


def test_nobody_judges_backends_that_call_a_member_which_the_core_can_not_hear() -> None:
    """One member is cut off from the other two only; every backend goes on calling its own member."""
    fleet = founded_fleet(12, 3, 3)
    cut, *others = fleet.machines[:3]
    for sequence in range(1, 17):
        if sequence == 3:
            fleet.cut_off[cut.name] = {machine.name for machine in others}
        for number, machine in enumerate(fleet.machines[:3]):
            machine.call("beat", {**heartbeat_body("ready", sequence, machine.zone), "id": f"i-{number}"})
        fleet.run(0.7)
        for machine in fleet.machines:
            assert machine.node is not None
            known = machine.node.registry.instances.known
            assert len(known) == 3
            assert all(one.open for one in known.values()), (machine.name, sequence)


def test_a_member_that_is_cut_off_takes_no_backend_for_lost_that_has_gone_back_to_its_keeper() -> None:
    """A backend reports once to a member that is cut off from the others, and then to its keeper again.

    For the keeper nothing has changed, so it sends no update; gateways have only the other member's report.
    """
    fleet = founded_fleet(12, 3, 3)
    cut, keeper, other = fleet.machines[:3]
    keeper.call("beat", heartbeat_body("ready", 1, keeper.zone))
    fleet.run(0.7)
    fleet.cut_off[cut.name] = {keeper.name, other.name}
    cut.call("beat", heartbeat_body("ready", 2, keeper.zone))
    for sequence in range(3, 20):
        if sequence == 16:
            fleet.heal()  # silence before the heal must not count
        fleet.run(0.7)
        keeper.call("beat", heartbeat_body("ready", sequence, keeper.zone))
        for machine in fleet.machines:
            assert machine.node is not None
            known = machine.node.registry.instances.known
            assert all(one.open for one in known.values()), (machine.name, sequence)


def test_members_that_look_whether_another_has_written_do_not_tell_what_is_known() -> None:
    fleet = founded_fleet(5, others=2)
    base = fleet.machines[0].node.state["version"]  # type: ignore[union-attr]
    assert put_until_answered(fleet, change(base + 1, base, routes=300)) == 200
    fleet.run(2.0)
    told: list[int] = []
    send = fleet.send

    def counted(sender: Machine, peer_name: str, message: Any) -> None:
        if message["kind"] == "told":
            told.append(len(json.dumps(message)))
        send(sender, peer_name, message)

    fleet.send = counted  # type: ignore[method-assign]
    fleet.run(5.0)
    assert len(told) >= 20 and max(told) < 1000  # the configuration has 60,000 bytes
    # a member that has missed a write still receives it
    late = fleet.machines[2]
    fleet.cut({late.name})
    fleet.run(2.0)
    assert put_until_answered(fleet, change(base + 2, base + 1, routes=2)) == 200
    fleet.heal()
    fleet.run(4.0)
    assert late.node is not None and late.node.state["version"] == base + 2
