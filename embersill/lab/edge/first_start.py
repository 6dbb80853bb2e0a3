"""Scenarios of the very first start, on the simulated cluster: losses while the first epoch is elected.

Whatever is killed, cut off or loses its disk meanwhile, within what is to be borne, there is one first
roster, and the cluster takes orders soon after all are back.
"""

from __future__ import annotations

import random

import msgspec

from embersill.edge.records import EpochStart, Roster
from embersill.lab.edge.control import ACKNOWLEDGE_TIMEOUT_S, Report, submit_change
from embersill.lab.edge.fleet import Fleet, Machine

STEP = 0.02  # seconds between looks at the rosters
ELECTED_ABOUT = 1.0, 1.3  # seconds after the start in which the seeds elect, if nothing disturbs them
STARTING = 0.0, 2.5  # seconds after the start in which other losses come
BEFORE_FIRST_SAVE = 0.001  # seconds after the start
ALL_BACK_AFTER = 5.0  # seconds after the start
FINE_STEP = 0.0005  # seconds between looks where the moment of the election matters
AWAY_FOR = 8.0  # seconds for which founder and others are lost: others have founded by then
FOUNDED_WITHIN = 6.0  # seconds after all are back, in which an order may find no members yet
BORNE = {3: 1, 4: 1, 6: 2}  # losses to be borne, by members of the core


class FirstRosters:
    """The rosters of the first epoch that any process or disk of a cluster ever had."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.found: set[bytes] = set()

    def look(self) -> None:
        """Notes what there is now."""
        for machine in self.fleet.machines:
            if machine.node is not None and machine.node.agreement.roster is not None:
                self.note(machine.node.agreement.roster)
            if "begun" in machine.disk:
                begun: EpochStart = msgspec.json.decode(machine.disk["begun"], type=EpochStart)
                self.note(begun.roster)

    def note(self, roster: Roster) -> None:
        """Notes a roster if it is of the first epoch."""
        if roster.epoch == 1:
            self.found.add(msgspec.json.encode(roster, order="deterministic"))

    def judge(self, report: Report) -> None:
        """There was one first roster."""
        report.expect(len(self.found) == 1, f"there are {len(self.found)} first rosters")

    def run(self, seconds: float) -> None:
        """Runs the cluster, and looks after each step."""
        until = self.fleet.kernel.now + seconds
        while self.fleet.kernel.now < until:
            self.fleet.run(STEP)
            self.look()


def kill_for(fleet: Fleet, machine: Machine, at: float, seconds: float, wiped: bool = False) -> None:
    """A machine's process is killed, and started again after a while; `wiped`: with an empty disk."""

    def begin() -> None:
        if machine.node is not None:
            machine.wipe() if wiped else machine.kill()
            fleet.kernel.at(fleet.kernel.now + seconds, back)

    def back() -> None:
        if machine.node is None:
            machine.start()

    fleet.kernel.at(at, begin)


def first_losses(seed: int) -> Report:
    """Any process is killed at any moment of the first start; some disks are lost, or machines cut off."""
    chance = random.Random(f"{seed} first losses")
    cores = chance.choice(list(BORNE))
    report, fleet = Report(), Fleet(seed, cores, 2)
    fleet.tolerate_losses(BORNE[cores])
    rosters = FirstRosters(fleet)
    for machine in fleet.machines:
        if chance.random() < 0.5:
            moment = chance.uniform(*chance.choice((STARTING, ELECTED_ABOUT)))
            kill_for(fleet, machine, moment, chance.choice((0.1, 0.5, 2.0)))
    disks_lost = chance.randrange(BORNE[cores] + 1)
    for wiped in chance.sample(fleet.machines[:cores], disks_lost):
        kill_for(fleet, wiped, chance.uniform(*STARTING), 1.0, wiped=True)
    if disks_lost < BORNE[cores] and chance.random() < 0.8:
        names = {machine.name for machine in fleet.machines if chance.random() < 0.4}
        fleet.kernel.at(chance.uniform(*STARTING), fleet.cut, names)
        fleet.kernel.at(chance.uniform(3.0, ALL_BACK_AFTER), fleet.heal)
    rosters.run(ALL_BACK_AFTER)
    fleet.heal()
    rosters.run(FOUNDED_WITHIN)
    taken = submit_change(fleet, 1, 0, fleet.machines, ACKNOWLEDGE_TIMEOUT_S)
    report.expect(taken is not None, "no order is taken once all are back")
    rosters.run(1.0)
    rosters.judge(report)
    return report


def all_killed(seed: int) -> Report:
    """All processes are killed at the same moment of the first start: those that have a disk go on by it."""
    chance = random.Random(f"{seed} all killed")
    report, fleet = Report(), Fleet(seed, 3, 2)
    at = chance.uniform(0.05, 1.5)
    for machine in fleet.machines:
        kill_for(fleet, machine, at, chance.uniform(0.5, 1.0))
    rosters = FirstRosters(fleet)
    rosters.run(ALL_BACK_AFTER)
    report.expect(submit_change(fleet, 1, 0, fleet.machines) is not None, "nobody founds any more")
    rosters.judge(report)
    return report


def killed_before_the_first_save(seed: int) -> Report:
    """Members are killed before anything of theirs is on disk: they come back as if they had lost it."""
    chance = random.Random(f"{seed} killed before the first save")
    cores = chance.choice(list(BORNE))
    report, fleet = Report(), Fleet(seed, cores, 2)
    fleet.tolerate_losses(BORNE[cores])
    killed = chance.sample(fleet.machines[:cores], chance.randrange(1, cores + 1))
    for machine in killed:
        kill_for(fleet, machine, BEFORE_FIRST_SAVE, chance.uniform(0.3, 3.0), wiped=True)
    rosters = FirstRosters(fleet)
    rosters.run(ALL_BACK_AFTER + FOUNDED_WITHIN)
    report.expect(submit_change(fleet, 1, 0, fleet.machines) is not None, "nobody founds any more")
    rosters.run(1.0)
    rosters.judge(report)
    return report


def founder_gone(seed: int) -> Report:
    """The seed that would propose is gone for good, or cut off, from some moment of the first start on."""
    chance = random.Random(f"{seed} founder gone")
    report, fleet = Report(), Fleet(seed, 3, 2)
    rosters, founder = FirstRosters(fleet), fleet.machines[0]
    at = chance.uniform(0.0, 1.3)
    cut_off = chance.random() < 0.5
    fleet.kernel.at(at, fleet.cut, {founder.name}) if cut_off else fleet.kernel.at(at, founder.kill)
    rosters.run(at + FOUNDED_WITHIN)
    others = fleet.machines[1:]
    report.expect(submit_change(fleet, 1, 0, others) is not None, "nobody founds in the place of the founder")
    fleet.heal()
    rosters.run(2.0)
    rosters.judge(report)
    return report


def founder_lost_as_elected(seed: int) -> Report:
    """The founder and a member that is no seed are lost as the roster is decided, before anybody is told; the
    other seeds go on, are killed at that moment, or one loses its disk. They find what was decided."""
    chance = random.Random(f"{seed} founder lost as elected")
    report, fleet = Report(), Fleet(seed, 4, 1)
    rosters = FirstRosters(fleet)
    founder, other_seeds, further = fleet.machines[0], fleet.machines[1:3], fleet.machines[3]
    while not rosters.found and fleet.kernel.now < ALL_BACK_AFTER:
        fleet.run(FINE_STEP)
        rosters.look()
    report.expect(bool(rosters.found), "nobody founds")
    now = fleet.kernel.now
    kill_for(fleet, founder, now, AWAY_FOR)
    kill_for(fleet, further, now, AWAY_FOR)
    lost = chance.choice(("none", "killed", "wiped"))
    if lost != "none":
        kill_for(fleet, other_seeds[0], now, 0.2, wiped=lost == "wiped")
        kill_for(fleet, other_seeds[1], now, 0.2)
    rosters.run(AWAY_FOR + FOUNDED_WITHIN)
    report.expect(
        submit_change(fleet, 1, 0, fleet.machines) is not None, "no order is taken once all are back"
    )
    rosters.judge(report)
    return report
