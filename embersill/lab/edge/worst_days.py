"""Drawn days of the control plane on the simulated cluster: losses, cuts and replacements at any moment.

A day loses, at each moment, at most as many members as are to be borne, counted as the deployment's pages
count them: a member is lost while it is down, stands still, is slowed or cut off, and for `CATCH_UP` seconds
once it is back; one that is removed, until its successor has had that time. Meanwhile operators send orders
to any gateway, again where the answer is lost, and race each other. Judged are the history of all orders and
reads (`version_history`), and two bounds that hold in calm times: orders are acknowledged, and gateways have
what was acknowledged.
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

CONTACT_WINDOW = 3.0  # seconds without a change of the core after which it is settled
ACKNOWLEDGE_TIMEOUT_S = 5.0  # seconds for an order in a settled time
APPLIED_WITHIN = 2.5  # seconds from an acknowledgement until gateways in touch have the version
ANSWERED_WITHIN = 1.0  # seconds that a caller waits before it asks another gateway
GRACE = 5.3  # seconds that a member which is told to stop may take
LASTS = (0.4, 1.5, 4.0, 8.0, 20.0)  # seconds
PAUSES = (0.2, 1.0, 3.0, 9.0)  # seconds from one trouble to the next
STEP = 0.05  # seconds between looks
AT_ONCE = 0.0005  # seconds within which a loss follows an answer
LOST_ANSWERS = 0.15  # share
FOR_EVER = float("inf")


@dataclass(slots=True)
class Call:
    """One call of an operator's, while it waits for its answer."""

    body: dict[str, Any]
    began: float
    heard: list[Verdict]


@dataclass(slots=True)
class Wanted:
    """An order whose acknowledgement is waited for, sent to one gateway after the other."""

    body: dict[str, Any]
    began: float
    call: Call
    turns: list[Machine] = field(default_factory=list)


class Operators:
    """One operator who sends orders one after the other, and others who race it and send old ones again."""

    def __init__(self, fleet: Fleet, chance: random.Random) -> None:
        self.fleet, self.chance = fleet, chance
        self.sent = [change(1, 0)]
        self.orders, self.reads = [order_from_call(self.sent[0], 0.0, fleet.kernel.now, 200)], list[Read]()
        self.calls: list[Call] = []
        self.wanted: Wanted | None = None
        self.newest = 1
        self.on_taken: Callable[[int], None] = lambda version: None
        self.on_late: Callable[[Wanted], None] = lambda wanted: None

    def call(self, what: str, body: dict[str, Any], machine: Machine) -> Call:
        """Calls a gateway; one that is down or stands still says nothing."""
        answers = machine.node is not None and machine.process.runs
        heard = machine.call(what, body) if answers else []
        return Call(body, self.fleet.kernel.now, heard)

    def order(self, body: dict[str, Any], machine: Machine) -> Call:
        """Sends an order."""
        call = self.call("PUT", body, machine)
        self.calls.append(call)
        return call

    def step(self) -> None:
        """Hears answers, sends what comes next."""
        now = self.fleet.kernel.now
        for call in list(self.calls):
            if call.heard or now - call.began > ANSWERED_WITHIN:
                self.calls.remove(call)
                self.ended(call)
        if self.wanted is not None:
            self.go_on(self.wanted)
        elif self.chance.random() < STEP:
            self.want()
        if self.chance.random() < 0.3 * STEP:
            self.race()
        if self.chance.random() < STEP:
            self.read()

    def ended(self, call: Call) -> None:
        """Notes how a call ended; some answers are lost on their way."""
        heard = bool(call.heard) and self.chance.random() >= LOST_ANSWERS
        status = call.heard[0].status if heard else 0
        order = order_from_call(call.body, call.began, self.fleet.kernel.now, status)
        self.orders.append(order)
        if order.outcome is Outcome.TAKEN:
            self.newest = max(self.newest, order.version)
            self.on_taken(order.version)
        if self.wanted is not None and self.wanted.call is call and order.outcome is not Outcome.UNCLEAR:
            self.wanted = None

    def want(self) -> None:
        """The next order, on top of the newest version."""
        base = max(self.newest, *(m.node.state["version"] for m in self.fleet.machines if m.node is not None))
        body = change(base + self.chance.randrange(1, 4), base, self.chance.randrange(1, 4))
        self.sent.append(body)
        turns = self.chance.sample(self.fleet.machines, len(self.fleet.machines))
        now = self.fleet.kernel.now
        self.wanted = Wanted(body, now, self.order(body, turns[0]), turns[1:])

    def go_on(self, wanted: Wanted) -> None:
        """Sends the order again where it had no clear answer."""
        now = self.fleet.kernel.now
        if now - wanted.began > ACKNOWLEDGE_TIMEOUT_S:
            self.on_late(wanted)
            self.wanted = None
        elif wanted.call not in self.calls and now - wanted.call.began > 0.1:
            if not wanted.turns:
                wanted.turns = self.chance.sample(self.fleet.machines, len(self.fleet.machines))
            wanted.call = self.order(wanted.body, wanted.turns.pop(0))

    def race(self) -> None:
        """Another operator's order under the same number, or an earlier order once more, or several."""
        for _ in range(self.chance.randrange(1, 5)):
            machine = self.chance.choice(self.fleet.machines)
            if self.chance.random() < 0.5:
                self.order(self.chance.choice(self.sent[-60:]), machine)
                continue
            base = max(self.newest, 1)
            body = change(base + 1, base, self.chance.randrange(4, 9))
            self.sent.append(body)
            self.order(body, machine)

    def read(self) -> None:
        """Reads the configuration somewhere."""
        call = self.call("GET", {}, self.chance.choice(self.fleet.machines))
        self.fleet.kernel.at(call.began + ANSWERED_WITHIN, self.was_read, call)

    def was_read(self, call: Call) -> None:
        """Notes what a read was told."""
        read = read_from_call(call.heard, call.began, self.fleet.kernel.now)
        if read is not None:
            self.reads.append(read)


class Troubles:
    """Brings troubles to a cluster, and keeps account of who counts as lost."""

    def __init__(self, fleet: Fleet, borne: int) -> None:
        """`borne`: members that may be lost at once."""
        self.fleet, self.borne = fleet, borne
        self.chance = fleet.kernel.stream("day")
        self.lost: dict[str, float] = {}  # members that count as lost, by name, and until when
        self.disturbed = {machine.name: 0.0 for machine in fleet.machines}  # when each was troubled last
        self.changed_at = fleet.kernel.now  # when the core was troubled last
        self.successors = 0  # that are on their way
        self.member_troubles: tuple[Callable[[Machine], None], ...] = (
            self.kill,
            self.wipe,
            self.cut,
            self.mute,
            self.stand_still,
            self.slow,
            self.fill_disk,
            self.replace,
            self.replace_as_planned,
        )
        self.troubles: tuple[Callable[[], None], ...] = (
            *(partial(self.to_a_member, trouble) for trouble in self.member_troubles),
            self.kill_all,
            self.kill_gateway,
            self.leave_behind,
            self.strike_after_answer,
            self.strike_after_answer,
        )
        self.strikes = False  # the next order that is acknowledged is followed by a loss at once

    @property
    def now(self) -> float:
        """The world's time, in seconds."""
        return self.fleet.kernel.now

    def disturb(self, machine: Machine) -> None:
        """A machine is troubled, or a trouble of its ends."""
        self.disturbed[machine.name] = self.now
        if machine.core:
            self.changed_at = self.now

    def room(self) -> int:
        """Members that may still be lost now."""
        return self.borne - self.successors - sum(until > self.now for until in self.lost.values())

    def victim(self) -> Machine | None:
        """A member that is well and may be lost."""
        well = [
            machine
            for machine in self.fleet.machines
            if machine.core and self.lost.get(machine.name, 0.0) <= self.now and machine.node is not None
        ]
        return self.chance.choice(well) if well and self.room() > 0 else None

    def lose(self, machine: Machine, seconds: float, come_back: Callable[[], None]) -> None:
        """A member is lost from now on; it is back after so many seconds."""
        self.lost[machine.name] = FOR_EVER
        self.disturb(machine)

        def back() -> None:
            come_back()
            self.disturb(machine)
            self.lost[machine.name] = self.now + CATCH_UP_S

        self.fleet.kernel.at(self.now + seconds, back)

    def renew_seeds(self) -> None:
        """Processes that start from now on are told of machines that are there, one of them in touch."""
        fleet = self.fleet
        there = [machine for machine in fleet.machines if machine.process.runs]
        alone = fleet.muted | fleet.cut_off.keys()
        in_touch = [machine for machine in there if machine.name not in alone]
        if in_touch:
            told = {
                self.chance.choice(in_touch).ip,
                *(one.ip for one in self.chance.sample(there, min(len(there), 2))),
            }
            fleet.seeds = sorted(told)

    # troubles

    def to_a_member(self, trouble: Callable[[Machine], None]) -> None:
        """Brings a trouble to a member, if one may be lost now."""
        machine = self.victim()
        if machine is not None:
            trouble(machine)

    def kill(self, machine: Machine) -> None:
        """A member's process is killed, and starts again."""
        machine.kill()
        self.lose(machine, self.chance.choice(LASTS), machine.start)

    def wipe(self, machine: Machine) -> None:
        """A member comes back with an empty disk."""
        machine.wipe()
        self.lose(machine, self.chance.choice(LASTS), machine.start)

    def cut(self, machine: Machine) -> None:
        """A member is cut off from all, at times with a gateway, at times started again meanwhile."""
        names = {machine.name}
        if self.chance.random() < 0.4:
            near = self.chance.choice([one for one in self.fleet.machines if not one.core])
            if self.disturbed[near.name] < FOR_EVER:
                names.add(near.name)
                self.disturbed[near.name] = FOR_EVER
        self.fleet.cut(names)
        if self.chance.random() < 0.3:
            machine.kill()
            machine.start()

        def heal() -> None:
            for name in names:
                self.fleet.cut_off.pop(name, None)
                self.disturbed[name] = self.now

        self.lose(machine, self.chance.choice(LASTS), heal)

    def mute(self, machine: Machine) -> None:
        """A member hears the others and is not heard."""
        self.fleet.muted.add(machine.name)
        self.lose(machine, self.chance.choice(LASTS), lambda: self.fleet.muted.discard(machine.name))

    def stand_still(self, machine: Machine) -> None:
        """A member's process stands still."""
        seconds = self.chance.choice(LASTS)
        machine.process.pause(seconds)
        self.lose(machine, seconds, lambda: None)

    def slow(self, machine: Machine) -> None:
        """What a member sends and is sent takes longer."""
        slowed = self.fleet.added_delay_s
        slowed[machine.name] = self.chance.uniform(0.05, 0.4)

        def heal() -> None:
            slowed.pop(machine.name, None)

        self.lose(machine, self.chance.choice(LASTS), heal)

    def fill_disk(self, machine: Machine) -> None:
        """A member's disk refuses every write."""
        machine.disk_refuses = True

        def empty() -> None:
            machine.disk_refuses = False

        self.lose(machine, self.chance.choice(LASTS), empty)

    def succeed(self, machine: Machine) -> None:
        """An empty machine comes in the place of one that is removed."""
        new = self.fleet.add(core=True, zone=machine.zone)
        self.successors -= 1
        self.lost.pop(machine.name, None)
        self.lost[new.name] = self.now + CATCH_UP_S
        self.disturb(new)

    def replace(self, machine: Machine) -> None:
        """A member is gone for good, and an empty machine comes at another address."""
        self.successors += 1
        if self.chance.random() < 0.5:
            machine.wipe()
        remove_machine(self.fleet, machine)
        self.disturb(machine)
        self.fleet.kernel.at(self.now + self.chance.choice((0.3, 1.0, 4.0)), self.succeed, machine)

    def replace_as_planned(self, machine: Machine) -> None:
        """The successor comes first; then the member is told to stop, and goes once it may."""
        self.successors += 1
        self.succeed(machine)
        self.lost[machine.name] = FOR_EVER  # two count until it has gone
        self.fleet.kernel.at(self.now + 1.0, self.stop, machine)

    def stop(self, machine: Machine) -> None:
        """SIGTERM."""
        if machine.node is not None:
            machine.node.leave()
            machine.carry_out()
        self.disturb(machine)
        self.fleet.kernel.at(self.now + 2.3, self.go, machine, self.now + GRACE)

    def go(self, machine: Machine, until: float) -> None:
        """Ends a member that was told to stop, as soon as it may go."""
        node = machine.node
        if node is not None and not node.agreement.handover.complete and self.now < until:
            self.fleet.kernel.at(self.now + STEP, self.go, machine, until)
            return
        remove_machine(self.fleet, machine)
        self.disturb(machine)
        self.lost.pop(machine.name, None)

    def kill_all(self) -> None:
        """All processes that count are killed at once; their disks are kept."""
        if self.room() < self.borne:
            return
        for machine in self.fleet.machines:
            if machine.core:
                machine.kill()
                self.lose(machine, self.chance.uniform(0.2, 1.0), machine.start)

    def strike_after_answer(self) -> None:
        """As soon as an order is acknowledged, some or all members are lost."""
        self.strikes = True

    def strike(self) -> None:
        """All members are killed, or one loses its disk."""
        self.strikes = False
        if self.chance.random() < 0.6:
            self.kill_all()
        else:
            self.to_a_member(self.wipe)

    def leave_behind(self) -> None:
        """One member misses changes; then another loses its disk, and these two are alone for a while."""
        members = [machine for machine in self.fleet.machines if machine.core and machine.node is not None]
        if self.room() < self.borne or len(members) < 3:
            return
        behind, wiped, *rest = self.chance.sample(members, len(members))
        self.fleet.cut({behind.name})
        for machine in members:
            self.lost[machine.name] = FOR_EVER
        self.changed_at = self.now
        dark = self.chance.choice((1.0, 4.0))

        def wipe() -> None:
            wiped.wipe()
            for machine in rest:
                machine.kill()
            self.fleet.cut_off.pop(behind.name, None)
            wiped.start()
            self.fleet.kernel.at(self.now + dark, back)

        def back() -> None:
            for machine in rest:
                machine.start()
            for machine in members:
                self.disturb(machine)
                self.lost[machine.name] = self.now + CATCH_UP_S

        self.fleet.kernel.at(self.now + self.chance.choice((2.0, 6.0)), wipe)

    def kill_gateway(self) -> None:
        """A gateway that does not count is killed."""
        machine = self.chance.choice([one for one in self.fleet.machines if not one.core])
        if self.disturbed[machine.name] < FOR_EVER:
            machine.kill()
            self.disturbed[machine.name] = FOR_EVER

            def back() -> None:
                machine.start()
                self.disturbed[machine.name] = self.now

            self.fleet.kernel.at(self.now + self.chance.choice((0.3, 2.0)), back)


class Day(Troubles):
    """One day: its cluster, its troubles, its operators, and what was wrong."""

    def __init__(self, seed: int, cores: int, borne: int) -> None:
        super().__init__(founded_fleet(seed, cores, 2), borne)
        self.fleet.tolerate_losses(borne)
        self.report = Report()
        self.operators = Operators(self.fleet, self.fleet.kernel.stream("operators"))
        self.operators.on_taken, self.operators.on_late = self.taken, self.late

    def late(self, wanted: Wanted) -> None:
        """An order had no acknowledgement in its time."""
        if self.changed_at < wanted.began - CONTACT_WINDOW:
            self.report.expect(False, f"order {wanted.body['version']} of {wanted.began:.2f} s was not taken")

    def taken(self, version: int) -> None:
        """An order was acknowledged."""
        self.fleet.kernel.at(self.now + APPLIED_WITHIN, self.applied, version, self.now)

    def applied(self, version: int, since: float) -> None:
        """Gateways that were in touch all the while have it."""
        if self.changed_at >= since - CONTACT_WINDOW:
            return
        for machine in self.fleet.machines:
            calm = self.disturbed.get(machine.name, 0.0) < since - CONTACT_WINDOW
            if calm and self.lost.get(machine.name, 0.0) < since and machine.node is not None:
                there = machine.node.state["version"]
                self.report.expect(
                    there >= version,
                    f"{machine.name} has {there} {APPLIED_WITHIN} s after {version} was taken",
                )

    def play(self, seconds: float) -> Report:
        """Plays the day, lets all heal, and judges."""
        end, next_trouble = self.now + seconds, self.now + 1.0
        while self.now < end:
            if self.now >= next_trouble:
                self.chance.choice(self.troubles)()
                next_trouble = self.now + self.chance.choice(PAUSES)
            self.renew_seeds()
            self.operators.step()
            self.advance()
        self.settle(end + max(LASTS) + GRACE + CATCH_UP_S)
        return self.report

    def advance(self) -> None:
        """Lets a step's time go by; where a loss is to follow an answer, it strikes at once."""
        until = self.now + STEP
        while self.strikes and self.now < until:
            self.fleet.run(AT_ONCE)
            if any(call.heard and call.heard[0].status == 200 for call in self.operators.calls):
                self.strike()
        self.fleet.run(max(until - self.now, 0.0))

    def settle(self, end: float) -> None:
        """All troubles end; what was acknowledged is there, everywhere."""
        while self.now < end:
            self.renew_seeds()
            self.operators.step()
            self.fleet.run(STEP)
        newest = self.operators.newest
        for machine in self.fleet.machines:
            there = node_of(machine).state["version"]
            self.report.expect(there >= newest, f"{machine.name} has {there} at the end, not {newest}")
        self.report.failures += violations(self.operators.orders, self.operators.reads)
        self.report.expect(len(self.operators.orders) > 10, "hardly any orders were sent")


def worst_day(seed: int, cores: int = 3, borne: int = 1, seconds: float = 60.0) -> Report:
    """A drawn day of a cluster with so many members, of which so many may be lost at once."""
    day = Day(seed, cores, borne)
    try:
        return day.play(seconds)
    except AssertionError as error:  # what is checked at every step
        day.report.expect(False, str(error))
        return day.report


def worst_day_of_five(seed: int) -> Report:
    """Two of five may be lost at once."""
    return worst_day(seed, 5, 2)


def worst_day_of_six(seed: int) -> Report:
    """Two of six may be lost at once."""
    return worst_day(seed, 6, 2)
