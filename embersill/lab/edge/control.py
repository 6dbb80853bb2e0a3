"""Scenarios of the control plane's worst days, on the simulated cluster: five points, each brought about.

Each scenario takes a seed and tells what went wrong, a line each. `control_command` plays many; the tests
play a few of each, and with each safeguard taken out (`control_fences`).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from embersill.edge.configuration.document import digest, read_version
from embersill.edge.node import Node
from embersill.edge.verdict import Verdict
from embersill.lab.edge.fleet import Fleet, Machine, change
from embersill.world.version_history import Order, Outcome, Read, violations

CATCH_UP = 4.0  # seconds after a start from which a machine does not count as lost any more
CUT_FOR = 20.0  # seconds
LEASE_ENDS = 4.0  # seconds after a cut by which a member with few others has no lease any more
ACKNOWLEDGED_WITHIN = 5.0  # seconds for an order, while a majority is there
REFUSALS = (400, 412)


@dataclass(slots=True)
class Report:
    """What a run has shown."""

    wrong: list[str] = field(default_factory=list)
    seconds: list[float] = field(default_factory=list)  # a figure of the scenario's, as it says

    def expect(self, good: bool, why: str) -> None:
        """Notes what is wrong unless it is good."""
        if not good:
            self.wrong.append(why)


def node_of(machine: Machine) -> Node:
    """The node of a machine that is up."""
    assert machine.node is not None, f"{machine.name} is down"
    return machine.node


def beat(state: str = "ready", sequence: int = 1, zone: str = "a", name: str = "i-1") -> dict[str, Any]:
    """The body of a backend's heartbeat."""
    return {
        "id": name,
        "service": "s",
        "address": "10.1.0.1:80",
        "zone": zone,
        "capacity_slots": 2,
        "state": state,
        "call_sequence": sequence,
    }


def founded(seed: int, cores: int = 3, others: int = 2) -> Fleet:
    """A cluster with version 1 in force."""
    fleet = Fleet(seed, cores, others)
    fleet.run(3.0)
    heard = fleet.machines[-1].call("PUT", change(1, 0))
    fleet.run(1.0)
    assert [verdict.status for verdict in heard] == [200]
    fleet.settled()
    return fleet


def ordered(
    fleet: Fleet, version: int, based_on: int, among: list[Machine], within: float = ACKNOWLEDGED_WITHIN
) -> float | None:
    """An operator sends an order to one gateway after the other; seconds until it is acknowledged."""
    began, turn = fleet.kernel.now, 0
    while fleet.kernel.now - began < within:
        up = [machine for machine in among if machine.node is not None]
        heard = up[turn % len(up)].call("PUT", change(version, based_on))
        turn += 1
        until = fleet.kernel.now + 1.0
        while not heard and fleet.kernel.now < until:
            fleet.run(0.01)
        if heard and heard[0].status == 200:
            return fleet.kernel.now - began
        fleet.run(0.1)
    return None


def remove(fleet: Fleet, machine: Machine) -> None:
    """A machine is gone for good."""
    machine.kill()
    fleet.machines.remove(machine)
    del fleet.by_name[machine.name]


# 1. a member that is cut off


def cut_member(seed: int) -> Report:
    """Cut off for twenty seconds with one gateway: it takes, confirms and hands out nothing meanwhile."""
    report, fleet = Report(), founded(seed, 3, 3)
    cut = fleet.machines[seed % 3]
    others = [machine for machine in fleet.machines[:3] if machine is not cut]
    near = fleet.machines[-1]
    cut.call("beat", beat())
    fleet.run(0.5)
    fleet.cut({cut.name, near.name})
    told = cut.call("beat", beat("draining", 2))
    report.expect(ordered(fleet, 5, 1, others) is not None, "the majority took no order")
    fleet.run(LEASE_ENDS)
    report.expect(bool(told) and told[0].status >= 500, f"a draining backend was told {told} behind a cut")
    near.kill()
    near.start()
    answers: list[list[Verdict]] = []
    while fleet.kernel.now < 4.0 + CUT_FOR:
        machine = (cut, near)[len(answers) % 2]
        calls: tuple[tuple[str, dict[str, Any]], ...] = (
            ("PUT", change(6, 1)),
            ("GET", {}),
            ("beat", beat("ready", 3 + len(answers), "b", "i-2")),
            ("beat", beat("draining", 3 + len(answers))),
            ("leave", {"id": "i-3"}),
        )
        answers += [machine.call(what, body) for what, body in calls]
        fleet.run(1.3)
    report.expect(node_of(near).table is None, "a gateway was handed an old configuration")
    clear = [verdict for heard in answers for verdict in heard if verdict.status < 500]
    report.expect(not clear, f"a member that was cut off told {clear[:1]}")
    fleet.heal()
    fleet.run(4.0)
    for machine in fleet.machines:
        report.expect(node_of(machine).state["version"] == 5, f"{machine.name} did not catch up")
    report.expect(cut.call("beat", beat("ready", 90, "c", "i-4"))[0].status == 200, "no beats are taken")
    return report


def restarted_alone(seed: int) -> Report:
    """A member that is cut off and restarted serves nothing from its disk; with a majority it does, soon."""
    report, fleet = Report(), founded(seed, 3, 1)
    alone = fleet.machines[seed % 3]
    fleet.cut({alone.name})
    others = [m for m in fleet.machines[:3] if m is not alone]
    report.expect(ordered(fleet, 5, 1, others) is not None, "the majority took no order")
    alone.kill()
    alone.start()
    fleet.run(CUT_FOR - 10.0)
    report.expect(node_of(alone).table is None, "a member that is alone serves by its disk")
    fleet.heal()
    fleet.run(2.0)
    report.expect(node_of(alone).state["version"] == 5, "it did not catch up")
    return report


def stood_still(seed: int) -> Report:
    """A member's process stands still while an order is taken; it hands nothing old out as it wakes up."""
    report, fleet = Report(), founded(seed, 3, 2)
    frozen, near = fleet.machines[seed % 3], fleet.machines[-1]
    others = [m for m in fleet.machines[:3] if m is not frozen]
    near.kill()
    fleet.cut({frozen.name, near.name})
    report.expect(ordered(fleet, 5, 1, others) is not None, "the majority took no order")
    fleet.run(8.0)
    near.start()
    fleet.run(0.6)  # it is linked to nobody but the one that has just woken up
    report.expect(node_of(near).table is None, "the lease went on while the process stood still")
    return report


# 2. orders


def order_of(body: dict[str, Any], began: float, ended: float, status: int) -> Order:
    """An order's call in a history; `status`: nought where no answer was heard."""
    if status == 200:
        outcome = Outcome.TAKEN
    else:
        outcome = Outcome.REFUSED if status in REFUSALS else Outcome.UNCLEAR
    version, based_on = (int(body[name], 16) for name in ("version", "based_on_version"))
    return Order(version, based_on, digest("PUT", body), began, ended, outcome)


def read_of(heard: list[Verdict], began: float, ended: float) -> Read | None:
    """A read's call in a history; None where it was not answered with a version."""
    version = read_version(heard[0].body.get("version")) if heard else None
    if not heard or heard[0].status != 200 or version is None:
        return None
    return Read(version, began, ended)


def raced_orders(seed: int) -> Report:
    """Eight orders at a time with lost answers and retries; members killed, cut and wiped."""
    report, fleet = Report(), founded(seed, 3, 2)
    chance = fleet.kernel.stream("orders")
    sent: list[tuple[dict[str, Any], float, list[Verdict]]] = []
    asked: list[tuple[float, list[Verdict]]] = []
    began, wiped_at = fleet.kernel.now, fleet.kernel.now
    orders = [Order(1, 0, digest("PUT", change(1, 0)), 0.0, began, Outcome.TAKEN)]
    reads: list[Read] = []

    def note() -> None:
        now = fleet.kernel.now
        for body, at, heard in list(sent):
            if heard or now - at > 1.0:
                sent.remove((body, at, heard))
                status = heard[0].status if heard and chance.random() > 0.2 else 0  # some answers are lost
                orders.append(order_of(body, at, now, status))
        for at, heard in list(asked):
            if heard:
                asked.remove((at, heard))
                read = read_of(heard, at, now)
                if read is not None:
                    reads.append(read)

    bodies: list[dict[str, Any]] = []
    for turn in range(60):
        newest = max(node_of(m).state["version"] for m in fleet.machines if m.node is not None)
        if turn % 3 == 0:
            version = newest + chance.randrange(1, 3)
            bodies += [change(version + n // 4, newest, routes=1 + n) for n in range(chance.randrange(1, 9))]
        up = [machine for machine in fleet.machines if machine.node is not None]
        for body in chance.sample(bodies[-40:], min(len(bodies), 4)):
            sent.append((body, fleet.kernel.now, chance.choice(up).call("PUT", body)))
        asked.append((fleet.kernel.now, chance.choice(up).call("GET", {})))
        trouble, victim = (
            chance.choice(("kill", "cut", "wipe", "heal", "none", "none")),
            fleet.machines[chance.randrange(3)],
        )
        if trouble == "kill" and all(machine.node is not None for machine in fleet.machines[:3]):
            victim.kill()
        elif trouble == "cut":
            fleet.cut({victim.name})
        elif trouble == "wipe" and fleet.kernel.now - wiped_at > 8.0 and len(up) == len(fleet.machines):
            wiped_at = fleet.kernel.now
            victim.wipe()
        elif trouble == "heal":
            fleet.heal()
        for _ in range(chance.randrange(1, 60)):
            fleet.run(0.01)
            note()
        for machine in fleet.machines:
            if machine.node is None:
                machine.start()
    while sent:  # a history has all orders, those without an answer too
        fleet.run(0.01)
        note()
    report.wrong += violations(orders, reads)
    return report


def sent_again_late(seed: int) -> Report:
    """Orders that were acknowledged up to 300 changes ago are sent again, and acknowledged again."""
    report, fleet = Report(), founded(seed, 3, 1)
    for version in range(2, 302):
        fleet.machines[version % 3].call("PUT", change(version, version - 1))
        fleet.run(0.15)
        if node_of(fleet.machines[0]).state["version"] != version:
            ordered(fleet, version, version - 1, fleet.machines)
    for version in (1, 2, 100, 301):
        heard = fleet.machines[seed % 4].call("PUT", change(version, version - 1))
        fleet.run(1.5)
        status = heard[0].status if heard else 0
        report.expect(status == 200, f"order {version} was told {status} as it was sent again")
    return report


# 3. membership


def second_loss(seed: int, cores: int = 3, lost: int = 1) -> Report:
    """`lost` of `cores` members are replaced, and as many more are lost as soon as that is allowed."""
    report, fleet = Report(), founded(seed, cores, 2)
    fleet.require(lost)
    chance = fleet.kernel.stream("losses")
    members = [machine for machine in fleet.machines if machine.core]
    gone, planned = chance.sample(members, lost), bool(chance.randrange(2)) and lost == 1
    if planned:
        new = [fleet.add(core=True, zone=gone[0].zone)]
        fleet.run(1.0)
        node_of(gone[0]).leave()
        gone[0].carry_out()
        fleet.run(2.0)
        remove(fleet, gone[0])
        fleet.run(CATCH_UP - 3.0)
    else:
        for machine in gone:
            remove(fleet, machine)
        fleet.run(1.0)
        new = [fleet.add(core=True, zone=machine.zone) for machine in gone]
        if chance.randrange(2):
            fleet.run(0.5)
            report.expect(ordered(fleet, 2, 1, fleet.machines) is not None, "no order between the losses")
        fleet.run(max(CATCH_UP - (fleet.kernel.now - 5.0), 0.1))
    base = max(node_of(m).state["version"] for m in fleet.machines)
    left = [machine for machine in fleet.machines if machine.core and machine not in new]
    for machine in chance.sample(left, lost):
        if chance.randrange(2):
            machine.wipe()
        remove(fleet, machine)
    took = ordered(fleet, base + 1, base, fleet.machines)
    report.expect(took is not None, f"no majority after the second loss (planned: {planned})")
    if took is not None:
        report.seconds.append(took)
    return report


def second_loss_of_five(seed: int) -> Report:
    """Two of five are replaced and two more are lost."""
    return second_loss(seed, 5, 2)


def released(leaver: Machine) -> bool:
    """True once a member that leaves has been replaced, and its successors have the state on disk."""
    agreement = node_of(leaver).agreement
    members = agreement.roster.members if agreement.roster is not None else {}
    return leaver.name not in members and agreement.handover.complete


def last_copy(seed: int) -> Report:
    """A member that leaves holds the newest state with one other, which is then lost: it has waited."""
    report, fleet = Report(), founded(seed, 3, 1)
    leaver, lost, slow = (fleet.machines[(seed + n) % 3] for n in range(3))
    new = fleet.add(core=True, zone=leaver.zone)
    fleet.run(3.0)
    fleet.slowed[slow.name] = fleet.slowed[new.name] = 0.08  # what goes to these takes its time
    heard = lost.call("PUT", change(7, 1))
    while not heard and fleet.kernel.now < 12.0:
        fleet.run(0.001)
    node_of(leaver).leave()
    leaver.carry_out()
    until = fleet.kernel.now + 6.0
    fleet.run(0.05)
    while fleet.kernel.now < until and not released(leaver):
        fleet.run(0.001)
    remove(fleet, leaver)
    lost.wipe()
    remove(fleet, lost)
    fleet.slowed.clear()
    fleet.run(4.0)
    read = slow.call("GET", {})
    fleet.run(1.5)
    if heard and heard[0].status == 200:
        good = bool(read) and read[0].status == 200 and read[0].body["version"] == "00000007"
        report.expect(good, f"the acknowledged order went with the member that left: {read}")
    return report


def refused_epoch(seed: int) -> Report:
    """The disk of a member refuses the save of a new epoch; after a restart it has forgotten no promise."""
    report, fleet = Report(), founded(seed, 3, 1)
    gone, one, other = (fleet.machines[(seed + n) % 3] for n in range(3))
    remove(fleet, gone)
    fleet.run(1.0)
    one.refuse_next = {"begun", "remembered"}
    new = fleet.add(core=True, zone=gone.zone)
    fleet.run(3.0)
    report.expect(ordered(fleet, 5, 1, fleet.machines) is not None, "no order was taken")
    disk = dict(one.disk)
    one.kill()
    one.start()
    kept = node_of(one).agreement.roster
    fresh = "remembered" not in disk
    report.expect(kept is not None and kept.epoch >= 2 and not fresh, "its disk has an older epoch")
    other.wipe()
    remove(fleet, other)
    fleet.run(3.0)
    read = new.call("GET", {})
    fleet.run(1.5)
    good = bool(read) and read[0].status == 200 and read[0].body["version"] == "00000005"
    report.expect(good, f"an acknowledged order is lost: {read}")
    return report


# 4. catching up


def caught_up(seed: int, changes: int = 300, wiped: bool = False, routes: int = 1) -> Report:
    """A member sleeps through many changes, and is a full member again soon after its restart."""
    report, fleet = Report(), founded(seed, 3, 1)
    late = fleet.machines[seed % 3]
    late.kill()
    others = [m for m in fleet.machines if m is not late]
    for version in range(2, changes + 1):
        if version == changes and routes > 1:
            others[0].call("PUT", change(version, version - 1, routes))
        else:
            others[version % 2].call("PUT", change(version, version - 1))
        fleet.run(0.1)
        if node_of(others[0]).state["version"] != version:
            ordered(fleet, version, version - 1, others)
    if wiped:
        late.wipe()
    began = fleet.kernel.now
    late.start()
    while fleet.kernel.now - began < 20.0:
        node = node_of(late)
        report.expect(node.state["version"] in (0, changes), f"it led with version {node.state['version']}")
        if node.agreement.votes and node.state["version"] == changes and node.agreement.speaks():
            break
        fleet.run(0.02)
    report.seconds.append(fleet.kernel.now - began)
    report.expect(report.seconds[-1] <= CATCH_UP, f"it took {report.seconds[-1]:.1f} s to catch up")
    remove(fleet, others[seed % 2])
    report.expect(ordered(fleet, changes + 1, changes, fleet.machines) is not None, "it does not count")
    return report


def wiped_caught_up(seed: int) -> Report:
    """The same with an empty disk."""
    return caught_up(seed, wiped=True)


# 5. answers for others


def earlier_life(seed: int) -> Report:
    """A gateway passes an order on, dies, and passes another on: each has its own answer."""
    report, fleet = Report(), founded(seed, 3, 2)
    edge = fleet.machines[-1]
    fleet.slowed[fleet.machines[0].name] = 0.05  # the member that settles changes
    edge.call("PUT", change(2, 1))
    fleet.run(0.1)  # it has come there, and is not answered yet
    edge.kill()
    edge.start()
    fleet.run(0.27)
    edge.call("GET", {})  # the first call of this life too, as in the one before: numbers agree
    heard = edge.call("PUT", change(9, 8))  # nobody can take that
    fleet.run(2.0)
    told = heard[0] if heard else None
    report.expect(told is not None and told.status != 200, f"order 9 was told {told}")
    return report


def earlier_news(seed: int) -> Report:
    """A member that was restarted isn't told that gateways know of news which only its earlier life sent."""
    report, fleet = Report(), founded(seed, 3, 2)
    keeper, edge = fleet.machines[0], fleet.machines[-1]
    for number in range(4):
        keeper.call("beat", beat(name=f"i-{number}"))
    fleet.slowed[edge.name] = 0.2
    keeper.call("beat", beat("draining", 2, name="i-0"))
    fleet.run(0.01)
    keeper.kill()
    keeper.start()
    fleet.run(0.5)
    heard = keeper.call("beat", beat("draining", 2, name="i-1"))
    while not heard:
        fleet.run(0.0005)
    known = node_of(edge).registry.instances.known.get("i-1")
    good = heard[0].status >= 500 or known is not None and not known.open
    report.expect(good, "a leaving backend was acknowledged before a linked gateway knew")
    return report
