"""Scenarios of the very first start on the simulated cluster: losses while the first epoch is elected.

Whatever is killed, isolated or wiped in that time, within the tolerated number of losses, exactly one first
roster must be elected, and the cluster must accept changes soon after all machines are back.
"""

from __future__ import annotations

import random

import msgspec

from embersill.edge.records import EpochStart, Roster
from embersill.lab.edge.control import ACKNOWLEDGE_TIMEOUT_S, Report, submit_change
from embersill.lab.edge.fleet import Fleet, Machine

STEP_S = 0.02  # interval at which the rosters are observed
ELECTION_PERIOD_S = 1.0, 1.3  # after the start: when undisturbed seeds hold their election
START_PERIOD_S = 0.0, 2.5  # after the start: when other losses occur
BEFORE_FIRST_SAVE_S = 0.001  # after the start
ALL_RUNNING_AFTER_S = 5.0  # after the start
FINE_STEP_S = 0.0005  # observation interval where the moment of the election matters
OUTAGE_S = 8.0  # of the founder and others: long enough for other seeds to found the cluster
FOUNDING_TIMEOUT_S = 6.0  # after all are back; until then a change may find no members
TOLERATED_LOSSES = {3: 1, 4: 1, 6: 2}  # by number of core members


class FirstRosters:
    """All rosters of the first epoch that any process or disk of the cluster has ever had."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.found: set[bytes] = set()

    def observe(self) -> None:
        """Records the rosters that exist now."""
        for machine in self.fleet.machines:
            if machine.node is not None and machine.node.agreement.roster is not None:
                self.record(machine.node.agreement.roster)
            if "begun" in machine.disk:
                epoch_start: EpochStart = msgspec.json.decode(machine.disk["begun"], type=EpochStart)
                self.record(epoch_start.roster)

    def record(self, roster: Roster) -> None:
        """Records a roster if it is of the first epoch."""
        if roster.epoch == 1:
            self.found.add(msgspec.json.encode(roster, order="deterministic"))

    def check(self, report: Report) -> None:
        """Checks that there was exactly one first roster."""
        report.expect(len(self.found) == 1, f"{len(self.found)} different first rosters instead of one")

    def run(self, seconds: float) -> None:
        """Runs the cluster and observes the rosters after each step."""
        until = self.fleet.kernel.now + seconds
        while self.fleet.kernel.now < until:
            self.fleet.run(STEP_S)
            self.observe()


def kill_for(fleet: Fleet, machine: Machine, kill_at: float, downtime_s: float, wiped: bool = False) -> None:
    """Kills a machine at a time and restarts it after `downtime_s`; `wiped`: with an empty disk."""

    def kill() -> None:
        if machine.node is not None:
            machine.wipe() if wiped else machine.kill()
            fleet.kernel.at(fleet.kernel.now + downtime_s, restart)

    def restart() -> None:
        if machine.node is None:
            machine.start()

    fleet.kernel.at(kill_at, kill)


def first_losses(seed: int) -> Report:
    """Kills processes at random times of the first start, erases some disks or isolates some machines."""
    chance = random.Random(f"{seed} first losses")
    cores = chance.choice(list(TOLERATED_LOSSES))
    report, fleet = Report(), Fleet(seed, cores, 2)
    fleet.tolerate_losses(TOLERATED_LOSSES[cores])
    rosters = FirstRosters(fleet)
    for machine in fleet.machines:
        if chance.random() < 0.5:
            kill_at = chance.uniform(*chance.choice((START_PERIOD_S, ELECTION_PERIOD_S)))
            kill_for(fleet, machine, kill_at, chance.choice((0.1, 0.5, 2.0)))
    disks_lost = chance.randrange(TOLERATED_LOSSES[cores] + 1)
    for machine in chance.sample(fleet.machines[:cores], disks_lost):
        kill_for(fleet, machine, chance.uniform(*START_PERIOD_S), 1.0, wiped=True)
    if disks_lost < TOLERATED_LOSSES[cores] and chance.random() < 0.8:
        names = {machine.name for machine in fleet.machines if chance.random() < 0.4}
        fleet.kernel.at(chance.uniform(*START_PERIOD_S), fleet.cut, names)
        fleet.kernel.at(chance.uniform(3.0, ALL_RUNNING_AFTER_S), fleet.heal)
    rosters.run(ALL_RUNNING_AFTER_S)
    fleet.heal()
    rosters.run(FOUNDING_TIMEOUT_S)
    elapsed = submit_change(fleet, 1, 0, fleet.machines, ACKNOWLEDGE_TIMEOUT_S)
    report.expect(elapsed is not None, "no change is accepted once all are back")
    rosters.run(1.0)
    rosters.check(report)
    return report


def all_killed(seed: int) -> Report:
    """Kills all processes at the same moment of the first start; those with a disk continue from it."""
    chance = random.Random(f"{seed} all killed")
    report, fleet = Report(), Fleet(seed, 3, 2)
    at = chance.uniform(0.05, 1.5)
    for machine in fleet.machines:
        kill_for(fleet, machine, at, chance.uniform(0.5, 1.0))
    rosters = FirstRosters(fleet)
    rosters.run(ALL_RUNNING_AFTER_S)
    report.expect(
        submit_change(fleet, 1, 0, fleet.machines) is not None, "no seed founds the cluster after the restart"
    )
    rosters.check(report)
    return report


def killed_before_the_first_save(seed: int) -> Report:
    """Kills members before their first save; they restart as if they had lost their disks."""
    chance = random.Random(f"{seed} killed before the first save")
    cores = chance.choice(list(TOLERATED_LOSSES))
    report, fleet = Report(), Fleet(seed, cores, 2)
    fleet.tolerate_losses(TOLERATED_LOSSES[cores])
    killed = chance.sample(fleet.machines[:cores], chance.randrange(1, cores + 1))
    for machine in killed:
        kill_for(fleet, machine, BEFORE_FIRST_SAVE_S, chance.uniform(0.3, 3.0), wiped=True)
    rosters = FirstRosters(fleet)
    rosters.run(ALL_RUNNING_AFTER_S + FOUNDING_TIMEOUT_S)
    report.expect(
        submit_change(fleet, 1, 0, fleet.machines) is not None, "no seed founds the cluster after the restart"
    )
    rosters.run(1.0)
    rosters.check(report)
    return report


def founder_gone(seed: int) -> Report:
    """Kills or isolates the proposing seed permanently at some moment of the first start."""
    chance = random.Random(f"{seed} founder gone")
    report, fleet = Report(), Fleet(seed, 3, 2)
    rosters, founder = FirstRosters(fleet), fleet.machines[0]
    at = chance.uniform(0.0, 1.3)
    cut_off = chance.random() < 0.5
    fleet.kernel.at(at, fleet.cut, {founder.name}) if cut_off else fleet.kernel.at(at, founder.kill)
    rosters.run(at + FOUNDING_TIMEOUT_S)
    others = fleet.machines[1:]
    report.expect(submit_change(fleet, 1, 0, others) is not None, "no other seed founded the cluster")
    fleet.heal()
    rosters.run(2.0)
    rosters.check(report)
    return report


def founder_lost_as_elected(seed: int) -> Report:
    """The other seeds must find out what was decided although the founder is lost.

    The founder and a member that is no seed are lost when the roster is decided, before anyone is notified;
    the other seeds keep running, are killed at that moment, or one of them is wiped.
    """
    chance = random.Random(f"{seed} founder lost as elected")
    report, fleet = Report(), Fleet(seed, 4, 1)
    rosters = FirstRosters(fleet)
    founder, other_seeds, non_seed = fleet.machines[0], fleet.machines[1:3], fleet.machines[3]
    while not rosters.found and fleet.kernel.now < ALL_RUNNING_AFTER_S:
        fleet.run(FINE_STEP_S)
        rosters.observe()
    report.expect(bool(rosters.found), "no seed founded the cluster")
    now = fleet.kernel.now
    kill_for(fleet, founder, now, OUTAGE_S)
    kill_for(fleet, non_seed, now, OUTAGE_S)
    other_seeds_fault = chance.choice(("none", "killed", "wiped"))
    if other_seeds_fault != "none":
        kill_for(fleet, other_seeds[0], now, 0.2, wiped=other_seeds_fault == "wiped")
        kill_for(fleet, other_seeds[1], now, 0.2)
    rosters.run(OUTAGE_S + FOUNDING_TIMEOUT_S)
    report.expect(
        submit_change(fleet, 1, 0, fleet.machines) is not None, "no change is accepted once all are back"
    )
    rosters.check(report)
    return report
