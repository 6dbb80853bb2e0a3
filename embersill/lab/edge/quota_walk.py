"""Seeded walks of the whole simulated system through restarts, replacements, cuts and changes of quota.

A tenant asks for several times its quota all the while. Checked all along are the quota's bound, on what
backends have run, and the invariant on which it rests (docs/design/quota-safety.md): each gateway that may
use a share of the quotas without asking stands, with that share at least, in the directory of every member
that assigns quotas.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from embersill.lab.edge.fleet import Machine, change
from embersill.lab.edge.system_simulation import SystemSimulation, missing_shares, system_with_tenants

TENANT = "t"
STEPS = 12  # disruptions in one walk
STEP_S = 0.3, 4.0  # range of the time between two of them
RESTART_S = 0.3, 1.0  # range of the time for which a process is down
RECOVERY_S = 8.0  # after the loss of a member's disk or machine, before another is lost
CHECK_INTERVAL_S = 0.1
PRESSURE = 4.0  # what the tenant asks for, in quotas


@dataclass(frozen=True, slots=True)
class Site:
    """A deployment: its machines, the losses that it has to bear, and the tenant's quota."""

    name: str
    cores: int
    others: int
    losses: int
    rate: float
    burst: float


SITES = (
    Site("three core machines of fourteen", 3, 11, 1, 60.0, 60.0),
    Site("three core machines of five, small burst", 3, 2, 1, 100.0, 25.0),
    Site("five core machines of twelve", 5, 7, 2, 80.0, 160.0),
    Site("many gateways, thin tenant", 3, 27, 1, 20.0, 20.0),
    Site("one core machine", 1, 4, 0, 60.0, 60.0),
)


@dataclass(slots=True)
class Walk:
    """One walk: the system, and what has been done to it."""

    site: Site
    seed: int
    system: SystemSimulation = field(init=False)
    chance: random.Random = field(init=False)
    cut: set[str] = field(default_factory=set)
    removed: set[str] = field(default_factory=set)  # machines that never come back
    lost_at: float = -RECOVERY_S  # when the last disk or core machine was lost
    rate: float = 0.0  # of the quota, as last sent
    history: list[str] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.chance = random.Random(f"{self.site.name}/{self.seed}")
        quotas = {TENANT: (self.site.rate, self.site.burst)}
        gateways = self.site.cores + self.site.others
        self.system = system_with_tenants(self.seed, gateways, quotas, cores=self.site.cores)
        self.system.tolerate_losses(self.site.losses)
        self.system.enforce_quota(TENANT, self.site.rate, self.site.burst)
        self.system.fail_on_violation = False
        self.rate = self.site.rate

    @property
    def running(self) -> list[Machine]:
        """The machines whose processes run."""
        return [machine for machine in self.system.machines if machine.node is not None]

    @property
    def core(self) -> list[Machine]:
        """The core machines that were not removed."""
        return [
            machine for machine in self.system.machines if machine.core and machine.name not in self.removed
        ]

    def run(self) -> Walk:
        """Plays the walk."""
        actions = (
            self.restart_core,
            self.restart_core,
            self.restart_some,
            self.restart_all,
            self.cut_off,
            self.cut_off,
            self.heal,
            self.replace_member,
            self.wipe_member,
            self.join,
            self.end_one,
            self.change_quota,
        )
        self.check()
        self.system.run(3.0)
        until = self.system.kernel.now + STEPS * STEP_S[1] + 20.0
        self.system.generate_traffic(TENANT, PRESSURE * self.rate, self.choose_machine, until)
        for _ in range(STEPS):
            self.act(self.chance.choice(actions))
            self.system.run(self.chance.uniform(*STEP_S))
        self.heal()
        self.system.run(8.0)
        return self

    def act(self, action: Callable[[], None]) -> None:
        """Carries out a disruption, and notes it."""
        self.history.append(f"{self.system.kernel.now:.2f} {action.__name__}")
        action()

    def check(self) -> None:
        """Looks for missing shares, again and again."""
        self.missing += missing_shares(self.system)
        self.system.kernel.at(self.system.kernel.now + CHECK_INTERVAL_S, self.check)

    def choose_machine(self) -> Machine:
        """The machine that the next request goes to."""
        return self.chance.choice(self.running or list(self.system.machines))

    # disruptions

    def restart(self, machines: list[Machine]) -> None:
        """Kills processes together; each is started again after a while."""
        for machine in machines:
            if machine.node is not None:
                machine.kill()
                back_at = self.system.kernel.now + self.chance.uniform(*RESTART_S)
                self.system.kernel.at(back_at, self.start, machine)

    def start(self, machine: Machine) -> None:
        """Starts a machine's process unless it runs or was removed."""
        if machine.node is None and machine.name not in self.removed:
            machine.start()

    def restart_core(self) -> None:
        """Restarts the whole core."""
        self.restart(self.core)

    def restart_all(self) -> None:
        """Restarts all processes."""
        self.restart(self.running)

    def restart_some(self) -> None:
        """Restarts some gateways, members or not."""
        machines = self.running
        self.restart(self.chance.sample(machines, self.chance.randint(1, max(len(machines) // 2, 1))))

    def cut_off(self) -> None:
        """Cuts some machines off from all others; they reach each other."""
        machines = [machine.name for machine in self.system.machines if machine.name not in self.removed]
        self.heal()
        self.cut = set(self.chance.sample(machines, self.chance.randint(1, max(len(machines) // 2, 1))))
        self.system.cut(self.cut)

    def heal(self) -> None:
        """Ends the cut."""
        self.cut = set()
        self.system.heal()

    def add(self, core: bool, zone: str) -> Machine:
        """Adds a machine; whoever is cut off doesn't reach it."""
        machine = self.system.add(core, zone)
        if self.cut:
            self.system.cut(self.cut)
        return machine

    def may_lose(self) -> bool:
        """True if the loss of a member is to be borne now; otherwise nothing is done."""
        now = self.system.kernel.now
        return self.site.losses > 0 and now - self.lost_at >= RECOVERY_S

    def replace_member(self) -> None:
        """Replaces a core machine by an empty one, as planned or not."""
        running = [machine for machine in self.core if machine.node is not None]
        if not running or not self.may_lose():
            return
        self.lost_at = self.system.kernel.now
        old = self.chance.choice(running)
        self.removed.add(old.name)
        planned = self.chance.random() < 0.5
        if planned and old.node is not None:
            self.add(True, old.zone)
            old.node.leave()
            old.carry_out()
            self.system.kernel.at(self.system.kernel.now + 2.0, old.kill)
        else:
            old.kill()
            self.add(True, old.zone)
        running_core = [machine.ip for machine in self.core]
        self.system.seeds = [ip for ip in self.system.seeds if ip != old.ip] + running_core[-1:]

    def wipe_member(self) -> None:
        """Lets a core machine lose its disk."""
        if self.may_lose():
            self.lost_at = self.system.kernel.now
            victim = self.chance.choice(self.core)
            victim.wipe()
            self.system.kernel.at(self.lost_at + self.chance.uniform(*RESTART_S), self.start, victim)

    def join(self) -> None:
        """Adds new gateways."""
        for _ in range(self.chance.randint(1, 4)):
            self.add(False, self.chance.choice("abc"))

    def end_one(self) -> None:
        """Ends a gateway for good, without a word."""
        others = [machine for machine in self.running if not machine.core]
        if len(others) > 1:
            victim = self.chance.choice(others)
            self.removed.add(victim.name)
            victim.kill()

    def change_quota(self) -> None:
        """Sends a configuration with another quota. A lower one binds only once all gateways have it."""
        machines = [machine for machine in self.running if machine.name not in self.cut]
        sender = self.chance.choice(machines) if machines else None
        if sender is None or sender.node is None:
            return
        version = sender.node.state["version"]
        self.rate = self.site.rate * self.chance.choice([0.5, 1.0, 2.0])
        burst = self.site.burst * self.rate / self.site.rate
        body: dict[str, Any] = {**change(version + 1, version)}
        body["tenants"] = {TENANT: {"api_keys": [TENANT], "rate_per_s": self.rate, "burst_size": burst}}
        sender.call("PUT", body)
        before = self.system.quota_bounds[TENANT]
        self.system.enforce_quota(TENANT, self.rate, burst)
        self.system.quota_bounds[TENANT] = max(before, self.system.quota_bounds[TENANT])

    @property
    def peak(self) -> float:
        """The most of the quota's bound that was used in a window."""
        return self.system.peak_quota_usage.get(TENANT, 0.0)

    @property
    def broken(self) -> bool:
        """True if the quota or the invariant was broken."""
        return self.peak > 1.0 or bool(self.missing)


def add_to(subparsers: Any) -> None:
    """`python -m embersill.lab quotas`."""
    parser = subparsers.add_parser("quotas", help="quotas through drawn restarts, replacements and cuts")
    parser.set_defaults(what="quotas")
    parser.add_argument("--seeds", type=int, default=10, help="walks on each site")
    parser.add_argument("--first", type=int, default=0, help="the first seed")


def main(arguments: argparse.Namespace) -> int:
    """Plays walks on each site; prints a line for each site and the history of each broken walk."""
    broken = 0
    for site in SITES:
        walks = [Walk(site, seed).run() for seed in range(arguments.first, arguments.first + arguments.seeds)]
        bad = [walk for walk in walks if walk.broken]
        broken += len(bad)
        print(
            f"{site.name}: {len(walks)} walks, {len(bad)} broken, peak {max(walk.peak for walk in walks):.3f}"
        )
        for walk in bad:
            print(f"  seed {walk.seed}: peak {walk.peak:.3f}; {'; '.join(walk.history)}")
            print(*(f"    {line}" for line in walk.missing[:3]), sep="\n")
    return 1 if broken else 0
