"""Random days of the control plane on the simulated cluster: losses, partitions and replacements at any time.

At each moment at most as many members are lost as must be tolerated, counted as the deployment documentation
counts them: a member is lost while it is down, paused, slowed or partitioned, and for `CATCH_UP_S` once it is
back; a removed one is lost until its successor has had that time. Meanwhile operators send configuration
changes to any gateway, retry when an answer is lost, and race each other. Checked are the history of all
changes and reads (`version_history`), and two bounds while the core is undisturbed: changes are acknowledged,
and gateways apply what was acknowledged.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from embersill.edge.verdict import Verdict
from embersill.lab.edge.control import (
    CATCH_UP_S,
    Report,
    founded_fleet,
    node_of,
    order_from_call,
    read_from_call,
    remove_machine,
)
from embersill.lab.edge.fleet import Fleet, Machine, change
from embersill.world.version_history import Outcome, Read, violations

SETTLE_TIME_S = 3.0  # the core counts as settled this long after its last disturbance
ACKNOWLEDGE_TIMEOUT_S = 5.0  # seconds for an order in a settled time
APPLY_TIMEOUT_S = 2.5  # from an acknowledgement until connected gateways have the version
CALL_TIMEOUT_S = 1.0  # after this a caller tries another gateway
STOP_GRACE_S = 5.3  # time that a member has to stop once it is asked to
FAULT_DURATIONS_S = (0.4, 1.5, 4.0, 8.0, 20.0)
FAULT_INTERVALS_S = (0.2, 1.0, 3.0, 9.0)  # between two faults
STEP_S = 0.05  # simulation step
STRIKE_STEP_S = 0.0005  # a loss follows an acknowledgement within this time
ANSWER_LOSS_RATE = 0.15
FOREVER = float("inf")


@dataclass(slots=True)
class PendingCall:
    """A call by an operator that has not been answered yet."""

    body: dict[str, Any]
    began: float
    verdicts: list[Verdict]


@dataclass(slots=True)
class PendingChange:
    """A change that is sent to one gateway after another until it is acknowledged."""

    body: dict[str, Any]
    began: float
    call: PendingCall
    remaining_gateways: list[Machine] = field(default_factory=list)


class Operators:
    """One operator who submits changes in sequence, and others who race it and resend old changes."""

    def __init__(self, fleet: Fleet, chance: random.Random) -> None:
        self.fleet, self.chance = fleet, chance
        self.submitted = [change(1, 0)]
        self.orders, self.reads = (
            [order_from_call(self.submitted[0], 0.0, fleet.kernel.now, 200)],
            list[Read](),
        )
        self.calls: list[PendingCall] = []
        self.current: PendingChange | None = None
        self.newest = 1
        self.on_acknowledged: Callable[[int], None] = lambda version: None
        self.on_timeout: Callable[[PendingChange], None] = lambda pending: None

    def call(self, operation: str, body: dict[str, Any], machine: Machine) -> PendingCall:
        """Calls a gateway; one that is down or paused does not answer."""
        responsive = machine.node is not None and machine.process.is_running
        verdicts = machine.call(operation, body) if responsive else []
        return PendingCall(body, self.fleet.kernel.now, verdicts)

    def submit(self, body: dict[str, Any], machine: Machine) -> PendingCall:
        """Submits a change to a gateway."""
        call = self.call("PUT", body, machine)
        self.calls.append(call)
        return call

    def step(self) -> None:
        """Processes answers and time-outs, then sends further calls."""
        now = self.fleet.kernel.now
        for call in list(self.calls):
            if call.verdicts or now - call.began > CALL_TIMEOUT_S:
                self.calls.remove(call)
                self.record_answer(call)
        if self.current is not None:
            self.retry(self.current)
        elif self.chance.random() < STEP_S:
            self.submit_next()
        if self.chance.random() < 0.3 * STEP_S:
            self.submit_conflicting()
        if self.chance.random() < STEP_S:
            self.read()

    def record_answer(self, call: PendingCall) -> None:
        """Records how a call ended; some answers are dropped as if lost on the network."""
        answered = bool(call.verdicts) and self.chance.random() >= ANSWER_LOSS_RATE
        status = call.verdicts[0].status if answered else 0
        order = order_from_call(call.body, call.began, self.fleet.kernel.now, status)
        self.orders.append(order)
        if order.outcome is Outcome.TAKEN:
            self.newest = max(self.newest, order.version)
            self.on_acknowledged(order.version)
        if self.current is not None and self.current.call is call and order.outcome is not Outcome.UNCLEAR:
            self.current = None

    def submit_next(self) -> None:
        """Submits the next change, based on the newest version."""
        base = max(self.newest, *(m.node.state["version"] for m in self.fleet.machines if m.node is not None))
        body = change(base + self.chance.randrange(1, 4), base, self.chance.randrange(1, 4))
        self.submitted.append(body)
        gateways = self.chance.sample(self.fleet.machines, len(self.fleet.machines))
        now = self.fleet.kernel.now
        self.current = PendingChange(body, now, self.submit(body, gateways[0]), gateways[1:])

    def retry(self, pending: PendingChange) -> None:
        """Sends the pending change again if it had no conclusive answer."""
        now = self.fleet.kernel.now
        if now - pending.began > ACKNOWLEDGE_TIMEOUT_S:
            self.on_timeout(pending)
            self.current = None
        elif pending.call not in self.calls and now - pending.call.began > 0.1:
            if not pending.remaining_gateways:
                pending.remaining_gateways = self.chance.sample(self.fleet.machines, len(self.fleet.machines))
            pending.call = self.submit(pending.body, pending.remaining_gateways.pop(0))

    def submit_conflicting(self) -> None:
        """Submits a few changes that conflict with others' or repeat earlier ones."""
        for _ in range(self.chance.randrange(1, 5)):
            machine = self.chance.choice(self.fleet.machines)
            if self.chance.random() < 0.5:
                self.submit(self.chance.choice(self.submitted[-60:]), machine)
                continue
            base = max(self.newest, 1)
            body = change(base + 1, base, self.chance.randrange(4, 9))
            self.submitted.append(body)
            self.submit(body, machine)

    def read(self) -> None:
        """Reads the configuration from a random gateway."""
        call = self.call("GET", {}, self.chance.choice(self.fleet.machines))
        self.fleet.kernel.at(call.began + CALL_TIMEOUT_S, self.record_read, call)

    def record_read(self, call: PendingCall) -> None:
        """Records the result of a read."""
        read = read_from_call(call.verdicts, call.began, self.fleet.kernel.now)
        if read is not None:
            self.reads.append(read)


class FaultInjector:
    """Injects faults into a cluster and tracks which members count as lost."""

    def __init__(self, fleet: Fleet, tolerated: int) -> None:
        """`tolerated`: number of members that may be lost at once."""
        self.fleet, self.tolerated = fleet, tolerated
        self.chance = fleet.kernel.stream("day")
        self.lost_until: dict[str, float] = {}  # by name of a member that counts as lost
        self.disturbed_at = {
            machine.name: 0.0 for machine in fleet.machines
        }  # by machine name: last disturbance
        self.core_disturbed_at = fleet.kernel.now  # last disturbance of the core
        self.pending_successors = 0  # replacements that have not joined yet
        self.member_faults: tuple[Callable[[Machine], None], ...] = (
            self.kill,
            self.wipe,
            self.cut,
            self.mute,
            self.pause,
            self.slow,
            self.fill_disk,
            self.replace,
            self.replace_as_planned,
        )
        self.faults: tuple[Callable[[], None], ...] = (
            *(partial(self.strike_member, fault) for fault in self.member_faults),
            self.kill_all,
            self.kill_gateway,
            self.wipe_behind_stale_member,
            self.strike_after_next_acknowledgement,
            self.strike_after_next_acknowledgement,
        )
        self.strike_pending = False  # a loss follows the next acknowledged change at once

    @property
    def now(self) -> float:
        """The simulated time in seconds."""
        return self.fleet.kernel.now

    def mark_disturbed(self, machine: Machine) -> None:
        """Records that a fault of this machine begins or ends now."""
        self.disturbed_at[machine.name] = self.now
        if machine.core:
            self.core_disturbed_at = self.now

    def remaining_losses(self) -> int:
        """The number of members that may still be lost now."""
        return (
            self.tolerated
            - self.pending_successors
            - sum(until > self.now for until in self.lost_until.values())
        )

    def choose_victim(self) -> Machine | None:
        """A random healthy member, or None if no more losses are allowed now."""
        healthy = [
            machine
            for machine in self.fleet.machines
            if machine.core
            and self.lost_until.get(machine.name, 0.0) <= self.now
            and machine.node is not None
        ]
        return self.chance.choice(healthy) if healthy and self.remaining_losses() > 0 else None

    def mark_lost(self, machine: Machine, seconds: float, restore: Callable[[], None]) -> None:
        """Counts a member as lost from now on; restores it after so many seconds."""
        self.lost_until[machine.name] = FOREVER
        self.mark_disturbed(machine)

        def restore_member() -> None:
            restore()
            self.mark_disturbed(machine)
            self.lost_until[machine.name] = self.now + CATCH_UP_S

        self.fleet.kernel.at(self.now + seconds, restore_member)

    def refresh_seeds(self) -> None:
        """Gives processes that start from now on the addresses of running machines, one of them connected."""
        fleet = self.fleet
        running = [machine for machine in fleet.machines if machine.process.is_running]
        isolated = fleet.muted | fleet.cut_off.keys()
        in_touch = [machine for machine in running if machine.name not in isolated]
        if in_touch:
            addresses = {
                self.chance.choice(in_touch).ip,
                *(machine.ip for machine in self.chance.sample(running, min(len(running), 2))),
            }
            fleet.seeds = sorted(addresses)

    # faults

    def strike_member(self, fault: Callable[[Machine], None]) -> None:
        """Applies a fault to a random member, if one may be lost now."""
        machine = self.choose_victim()
        if machine is not None:
            fault(machine)

    def kill(self, machine: Machine) -> None:
        """Kills a member's process and restarts it later."""
        machine.kill()
        self.mark_lost(machine, self.chance.choice(FAULT_DURATIONS_S), machine.start)

    def wipe(self, machine: Machine) -> None:
        """Kills a member, erases its disk and restarts it later."""
        machine.wipe()
        self.mark_lost(machine, self.chance.choice(FAULT_DURATIONS_S), machine.start)

    def cut(self, machine: Machine) -> None:
        """Isolates a member, sometimes together with a gateway, sometimes restarting it meanwhile."""
        names = {machine.name}
        if self.chance.random() < 0.4:
            gateway = self.chance.choice([machine for machine in self.fleet.machines if not machine.core])
            if self.disturbed_at[gateway.name] < FOREVER:
                names.add(gateway.name)
                self.disturbed_at[gateway.name] = FOREVER
        self.fleet.cut(names)
        if self.chance.random() < 0.3:
            machine.kill()
            machine.start()

        def heal() -> None:
            for name in names:
                self.fleet.cut_off.pop(name, None)
                self.disturbed_at[name] = self.now

        self.mark_lost(machine, self.chance.choice(FAULT_DURATIONS_S), heal)

    def mute(self, machine: Machine) -> None:
        """Drops all messages that a member sends; it still receives."""
        self.fleet.muted.add(machine.name)
        self.mark_lost(
            machine, self.chance.choice(FAULT_DURATIONS_S), lambda: self.fleet.muted.discard(machine.name)
        )

    def pause(self, machine: Machine) -> None:
        """Pauses a member's process."""
        seconds = self.chance.choice(FAULT_DURATIONS_S)
        machine.process.pause(seconds)
        self.mark_lost(machine, seconds, lambda: None)

    def slow(self, machine: Machine) -> None:
        """Delays all messages from and to a member."""
        slowed = self.fleet.added_delay_s
        slowed[machine.name] = self.chance.uniform(0.05, 0.4)

        def heal() -> None:
            slowed.pop(machine.name, None)

        self.mark_lost(machine, self.chance.choice(FAULT_DURATIONS_S), heal)

    def fill_disk(self, machine: Machine) -> None:
        """Makes a member's disk refuse every write."""
        machine.disk_refuses = True

        def empty() -> None:
            machine.disk_refuses = False

        self.mark_lost(machine, self.chance.choice(FAULT_DURATIONS_S), empty)

    def add_successor(self, machine: Machine) -> None:
        """Adds a machine with an empty disk as the successor of one that is removed."""
        new = self.fleet.add(core=True, zone=machine.zone)
        self.pending_successors -= 1
        self.lost_until.pop(machine.name, None)
        self.lost_until[new.name] = self.now + CATCH_UP_S
        self.mark_disturbed(new)

    def replace(self, machine: Machine) -> None:
        """Removes a member permanently; a successor with an empty disk joins later at another address."""
        self.pending_successors += 1
        if self.chance.random() < 0.5:
            machine.wipe()
        remove_machine(self.fleet, machine)
        self.mark_disturbed(machine)
        self.fleet.kernel.at(self.now + self.chance.choice((0.3, 1.0, 4.0)), self.add_successor, machine)

    def replace_as_planned(self, machine: Machine) -> None:
        """Replaces a member by a successor that joins first; the member then leaves in an orderly way."""
        self.pending_successors += 1
        self.add_successor(machine)
        self.lost_until[machine.name] = (
            FOREVER  # the member and its successor both count as lost until it has left
        )
        self.fleet.kernel.at(self.now + 1.0, self.request_stop, machine)

    def request_stop(self, machine: Machine) -> None:
        """Asks a member to stop, as SIGTERM does."""
        if machine.node is not None:
            machine.node.leave()
            machine.carry_out()
        self.mark_disturbed(machine)
        self.fleet.kernel.at(self.now + 2.3, self.remove_when_ready, machine, self.now + STOP_GRACE_S)

    def remove_when_ready(self, machine: Machine, until: float) -> None:
        """Removes a stopping member once its handover is complete or its grace period is over."""
        node = machine.node
        if node is not None and not node.agreement.handover.complete and self.now < until:
            self.fleet.kernel.at(self.now + STEP_S, self.remove_when_ready, machine, until)
            return
        remove_machine(self.fleet, machine)
        self.mark_disturbed(machine)
        self.lost_until.pop(machine.name, None)

    def kill_all(self) -> None:
        """Kills all core members at once; they keep their disks and restart."""
        if self.remaining_losses() < self.tolerated:
            return
        for machine in self.fleet.machines:
            if machine.core:
                machine.kill()
                self.mark_lost(machine, self.chance.uniform(0.2, 1.0), machine.start)

    def strike_after_next_acknowledgement(self) -> None:
        """Arms a loss of one or all members right after the next acknowledged change."""
        self.strike_pending = True

    def strike(self) -> None:
        """Kills all members, or wipes one."""
        self.strike_pending = False
        if self.chance.random() < 0.6:
            self.kill_all()
        else:
            self.strike_member(self.wipe)

    def wipe_behind_stale_member(self) -> None:
        """Isolates a member so that it misses changes, then wipes another; only these two run for a while."""
        members = [machine for machine in self.fleet.machines if machine.core and machine.node is not None]
        if self.remaining_losses() < self.tolerated or len(members) < 3:
            return
        stale, wiped, *others = self.chance.sample(members, len(members))
        self.fleet.cut({stale.name})
        for machine in members:
            self.lost_until[machine.name] = FOREVER
        self.core_disturbed_at = self.now
        outage_s = self.chance.choice((1.0, 4.0))

        def wipe() -> None:
            wiped.wipe()
            for machine in others:
                machine.kill()
            self.fleet.cut_off.pop(stale.name, None)
            wiped.start()
            self.fleet.kernel.at(self.now + outage_s, restore_member)

        def restore_member() -> None:
            for machine in others:
                machine.start()
            for machine in members:
                self.mark_disturbed(machine)
                self.lost_until[machine.name] = self.now + CATCH_UP_S

        self.fleet.kernel.at(self.now + self.chance.choice((2.0, 6.0)), wipe)

    def kill_gateway(self) -> None:
        """Kills a gateway outside the core and restarts it."""
        machine = self.chance.choice([machine for machine in self.fleet.machines if not machine.core])
        if self.disturbed_at[machine.name] < FOREVER:
            machine.kill()
            self.disturbed_at[machine.name] = FOREVER

            def restore_member() -> None:
                machine.start()
                self.disturbed_at[machine.name] = self.now

            self.fleet.kernel.at(self.now + self.chance.choice((0.3, 2.0)), restore_member)


class RandomDay(FaultInjector):
    """One random day: its cluster, faults, operators and report."""

    def __init__(self, seed: int, cores: int, tolerated: int) -> None:
        super().__init__(founded_fleet(seed, cores, 2), tolerated)
        self.fleet.tolerate_losses(tolerated)
        self.report = Report()
        self.operators = Operators(self.fleet, self.fleet.kernel.stream("operators"))
        self.operators.on_acknowledged, self.operators.on_timeout = self.on_acknowledged, self.on_timeout

    def on_timeout(self, pending: PendingChange) -> None:
        """Handles a change that was not acknowledged in time: a failure if the core was settled."""
        if self.core_disturbed_at < pending.began - SETTLE_TIME_S:
            self.report.expect(
                False, f"change {pending.body['version']} of {pending.began:.2f} s was not acknowledged"
            )

    def on_acknowledged(self, version: int) -> None:
        """Schedules the check that an acknowledged change is applied."""
        self.fleet.kernel.at(self.now + APPLY_TIMEOUT_S, self.check_applied, version, self.now)

    def check_applied(self, version: int, since: float) -> None:
        """Checks that gateways that were connected throughout have applied the version."""
        if self.core_disturbed_at >= since - SETTLE_TIME_S:
            return
        for machine in self.fleet.machines:
            undisturbed = self.disturbed_at.get(machine.name, 0.0) < since - SETTLE_TIME_S
            if undisturbed and self.lost_until.get(machine.name, 0.0) < since and machine.node is not None:
                actual = machine.node.state["version"]
                self.report.expect(
                    actual >= version,
                    f"{machine.name} has {actual} {APPLY_TIMEOUT_S} s after {version} was acknowledged",
                )

    def run_day(self, seconds: float) -> Report:
        """Runs the day, lets all faults end, and checks the outcome."""
        end, next_fault_at = self.now + seconds, self.now + 1.0
        while self.now < end:
            if self.now >= next_fault_at:
                self.chance.choice(self.faults)()
                next_fault_at = self.now + self.chance.choice(FAULT_INTERVALS_S)
            self.refresh_seeds()
            self.operators.step()
            self.advance()
        self.finish(end + max(FAULT_DURATIONS_S) + STOP_GRACE_S + CATCH_UP_S)
        return self.report

    def advance(self) -> None:
        """Advances by one step; an armed loss strikes right after an acknowledgement."""
        until = self.now + STEP_S
        while self.strike_pending and self.now < until:
            self.fleet.run(STRIKE_STEP_S)
            if any(call.verdicts and call.verdicts[0].status == 200 for call in self.operators.calls):
                self.strike()
        self.fleet.run(max(until - self.now, 0.0))

    def finish(self, end: float) -> None:
        """Waits for all faults to end, then checks that all machines have what was acknowledged."""
        while self.now < end:
            self.refresh_seeds()
            self.operators.step()
            self.fleet.run(STEP_S)
        newest = self.operators.newest
        for machine in self.fleet.machines:
            actual = node_of(machine).state["version"]
            self.report.expect(actual >= newest, f"{machine.name} has {actual} at the end, not {newest}")
        self.report.failures += violations(self.operators.orders, self.operators.reads)
        self.report.expect(len(self.operators.orders) > 10, "too few changes were sent")


def random_day(seed: int, cores: int = 3, tolerated: int = 1, seconds: float = 60.0) -> Report:
    """A random day of a cluster of `cores` members, of which `tolerated` may be lost at once."""
    day = RandomDay(seed, cores, tolerated)
    try:
        return day.run_day(seconds)
    except AssertionError as error:  # from the invariants checked after every step
        day.report.expect(False, str(error))
        return day.report


def random_day_of_five(seed: int) -> Report:
    """A random day in which two of five members may be lost at once."""
    return random_day(seed, 5, 2)


def random_day_of_six(seed: int) -> Report:
    """A random day in which two of six members may be lost at once."""
    return random_day(seed, 6, 2)
