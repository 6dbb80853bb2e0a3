"""Control plane failure scenarios on the simulated cluster, in five groups.

Each scenario takes a seed and returns a report with one line for each failed expectation. `control_command`
runs many seeds of each; the tests run a few, also with each safeguard removed (`control_fences`).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from embersill.edge.configuration.document import digest, read_version
from embersill.edge.node import Node
from embersill.edge.verdict import Verdict
from embersill.lab.edge.fleet import Fleet, Machine, change
from embersill.world.version_history import Order, Outcome, Read, violations

CATCH_UP_S = 4.0  # after its start a machine counts as lost for this long
CUT_DURATION_S = 20.0
LEASE_EXPIRY_S = 4.0  # this long after a partition a member on the minority side holds no lease any more
ACKNOWLEDGE_TIMEOUT_S = 5.0  # for a configuration change, while there is a majority
REFUSAL_STATUSES = (400, 412)


@dataclass(slots=True)
class Report:
    """The result of one scenario run."""

    failures: list[str] = field(default_factory=list)
    durations_s: list[float] = field(default_factory=list)  # what is measured depends on the scenario

    def expect(self, condition: bool, failure: str) -> None:
        """Records the failure unless the condition holds."""
        if not condition:
            self.failures.append(failure)


def node_of(machine: Machine) -> Node:
    """The node of a machine whose process is running."""
    assert machine.node is not None, f"{machine.name} is down"
    return machine.node


def heartbeat_body(
    state: str = "ready", sequence: int = 1, zone: str = "a", name: str = "i-1"
) -> dict[str, Any]:
    """The body of a heartbeat call by a backend."""
    return {
        "id": name,
        "service": "s",
        "address": "10.1.0.1:80",
        "zone": zone,
        "capacity_slots": 2,
        "state": state,
        "call_sequence": sequence,
    }


def founded_fleet(seed: int, cores: int = 3, others: int = 2) -> Fleet:
    """A cluster in which configuration version 1 is in force."""
    fleet = Fleet(seed, cores, others)
    fleet.run(3.0)
    verdicts = fleet.machines[-1].call("PUT", change(1, 0))
    fleet.run(1.0)
    assert [verdict.status for verdict in verdicts] == [200]
    fleet.run_until_converged()
    return fleet


def submit_change(
    fleet: Fleet,
    version: int,
    based_on: int,
    machines: list[Machine],
    timeout_s: float = ACKNOWLEDGE_TIMEOUT_S,
) -> float | None:
    """Sends a change to one gateway after another until one acknowledges it.

    Returns the seconds that took, or None after the timeout.
    """
    began, attempt = fleet.kernel.now, 0
    while fleet.kernel.now - began < timeout_s:
        running = [machine for machine in machines if machine.node is not None]
        verdicts = running[attempt % len(running)].call("PUT", change(version, based_on))
        attempt += 1
        deadline = fleet.kernel.now + 1.0
        while not verdicts and fleet.kernel.now < deadline:
            fleet.run(0.01)
        if verdicts and verdicts[0].status == 200:
            return fleet.kernel.now - began
        fleet.run(0.1)
    return None


def remove_machine(fleet: Fleet, machine: Machine) -> None:
    """Kills a machine and removes it from the cluster permanently."""
    machine.kill()
    fleet.machines.remove(machine)
    del fleet.by_name[machine.name]


# 1. a member isolated by a network partition


def cut_member(seed: int) -> Report:
    """A member isolated with one gateway for 20 s accepts, confirms and serves nothing in that time."""
    report, fleet = Report(), founded_fleet(seed, 3, 3)
    isolated = fleet.machines[seed % 3]
    others = [machine for machine in fleet.machines[:3] if machine is not isolated]
    gateway = fleet.machines[-1]
    isolated.call("beat", heartbeat_body())
    fleet.run(0.5)
    fleet.cut({isolated.name, gateway.name})
    replies = isolated.call("beat", heartbeat_body("draining", 2))
    report.expect(submit_change(fleet, 5, 1, others) is not None, "the majority accepted no change")
    fleet.run(LEASE_EXPIRY_S)
    report.expect(
        bool(replies) and replies[0].status >= 500,
        f"an isolated member answered a draining backend with {replies}",
    )
    gateway.kill()
    gateway.start()
    answers: list[list[Verdict]] = []
    while fleet.kernel.now < 4.0 + CUT_DURATION_S:
        machine = (isolated, gateway)[len(answers) % 2]
        calls: tuple[tuple[str, dict[str, Any]], ...] = (
            ("PUT", change(6, 1)),
            ("GET", {}),
            ("beat", heartbeat_body("ready", 3 + len(answers), "b", "i-2")),
            ("beat", heartbeat_body("draining", 3 + len(answers))),
            ("leave", {"id": "i-3"}),
        )
        answers += [machine.call(operation, body) for operation, body in calls]
        fleet.run(1.3)
    report.expect(
        node_of(gateway).table is None, "an isolated member served an old configuration to a gateway"
    )
    conclusive = [verdict for verdicts in answers for verdict in verdicts if verdict.status < 500]
    report.expect(not conclusive, f"an isolated member answered {conclusive[:1]}")
    fleet.heal()
    fleet.run(4.0)
    for machine in fleet.machines:
        report.expect(node_of(machine).state["version"] == 5, f"{machine.name} did not catch up")
    report.expect(
        isolated.call("beat", heartbeat_body("ready", 90, "c", "i-4"))[0].status == 200,
        "heartbeats are refused after the partition",
    )
    return report


def restarted_alone(seed: int) -> Report:
    """An isolated member that restarts serves nothing from its disk until it reaches a majority again."""
    report, fleet = Report(), founded_fleet(seed, 3, 1)
    isolated = fleet.machines[seed % 3]
    fleet.cut({isolated.name})
    others = [m for m in fleet.machines[:3] if m is not isolated]
    report.expect(submit_change(fleet, 5, 1, others) is not None, "the majority accepted no change")
    isolated.kill()
    isolated.start()
    fleet.run(CUT_DURATION_S - 10.0)
    report.expect(
        node_of(isolated).table is None, "an isolated member serves the configuration from its disk"
    )
    fleet.heal()
    fleet.run(2.0)
    report.expect(node_of(isolated).state["version"] == 5, "the member did not catch up after the partition")
    return report


def paused_member(seed: int) -> Report:
    """A member that was paused while a change was accepted serves no old configuration when it resumes."""
    report, fleet = Report(), founded_fleet(seed, 3, 2)
    paused, gateway = fleet.machines[seed % 3], fleet.machines[-1]
    others = [m for m in fleet.machines[:3] if m is not paused]
    gateway.kill()
    fleet.cut({paused.name, gateway.name})
    report.expect(submit_change(fleet, 5, 1, others) is not None, "the majority accepted no change")
    fleet.run(8.0)
    gateway.start()
    fleet.run(0.6)  # connected only to the member that has just resumed
    report.expect(node_of(gateway).table is None, "the lease stayed valid while the process was paused")
    return report


# 2. configuration changes


def order_from_call(body: dict[str, Any], began: float, ended: float, status: int) -> Order:
    """The history entry of a change; `status` is 0 if no answer arrived."""
    if status == 200:
        outcome = Outcome.TAKEN
    else:
        outcome = Outcome.REFUSED if status in REFUSAL_STATUSES else Outcome.UNCLEAR
    version, based_on = (int(body[name], 16) for name in ("version", "based_on_version"))
    return Order(version, based_on, digest("PUT", body), began, ended, outcome)


def read_from_call(verdicts: list[Verdict], began: float, ended: float) -> Read | None:
    """The history entry of a read; None if the answer contained no version."""
    version = read_version(verdicts[0].body.get("version")) if verdicts else None
    if not verdicts or verdicts[0].status != 200 or version is None:
        return None
    return Read(version, began, ended)


def racing_changes(seed: int) -> Report:
    """Concurrent changes with lost answers and retries, while members are killed, isolated and wiped."""
    report, fleet = Report(), founded_fleet(seed, 3, 2)
    chance = fleet.kernel.stream("orders")
    pending_changes: list[tuple[dict[str, Any], float, list[Verdict]]] = []
    pending_reads: list[tuple[float, list[Verdict]]] = []
    began, wiped_at = fleet.kernel.now, fleet.kernel.now
    orders = [Order(1, 0, digest("PUT", change(1, 0)), 0.0, began, Outcome.TAKEN)]
    reads: list[Read] = []

    def collect_answers() -> None:
        now = fleet.kernel.now
        for body, submitted_at, verdicts in list(pending_changes):
            if verdicts or now - submitted_at > 1.0:
                pending_changes.remove((body, submitted_at, verdicts))
                status = (
                    verdicts[0].status if verdicts and chance.random() > 0.2 else 0
                )  # some answers are lost
                orders.append(order_from_call(body, submitted_at, now, status))
        for submitted_at, verdicts in list(pending_reads):
            if verdicts:
                pending_reads.remove((submitted_at, verdicts))
                read = read_from_call(verdicts, submitted_at, now)
                if read is not None:
                    reads.append(read)

    bodies: list[dict[str, Any]] = []
    for turn in range(60):
        newest = max(node_of(m).state["version"] for m in fleet.machines if m.node is not None)
        if turn % 3 == 0:
            version = newest + chance.randrange(1, 3)
            bodies += [change(version + n // 4, newest, routes=1 + n) for n in range(chance.randrange(1, 9))]
        running = [machine for machine in fleet.machines if machine.node is not None]
        for body in chance.sample(bodies[-40:], min(len(bodies), 4)):
            pending_changes.append((body, fleet.kernel.now, chance.choice(running).call("PUT", body)))
        pending_reads.append((fleet.kernel.now, chance.choice(running).call("GET", {})))
        fault, victim = (
            chance.choice(("kill", "cut", "wipe", "heal", "none", "none")),
            fleet.machines[chance.randrange(3)],
        )
        if fault == "kill" and all(machine.node is not None for machine in fleet.machines[:3]):
            victim.kill()
        elif fault == "cut":
            fleet.cut({victim.name})
        elif fault == "wipe" and fleet.kernel.now - wiped_at > 8.0 and len(running) == len(fleet.machines):
            wiped_at = fleet.kernel.now
            victim.wipe()
        elif fault == "heal":
            fleet.heal()
        for _ in range(chance.randrange(1, 60)):
            fleet.run(0.01)
            collect_answers()
        for machine in fleet.machines:
            if machine.node is None:
                machine.start()
    while pending_changes:  # the history contains unanswered changes too
        fleet.run(0.01)
        collect_answers()
    report.failures += violations(orders, reads)
    return report


def late_resend(seed: int) -> Report:
    """Changes acknowledged up to 300 versions ago are sent again and must be acknowledged again."""
    report, fleet = Report(), founded_fleet(seed, 3, 1)
    for version in range(2, 302):
        fleet.machines[version % 3].call("PUT", change(version, version - 1))
        fleet.run(0.15)
        if node_of(fleet.machines[0]).state["version"] != version:
            submit_change(fleet, version, version - 1, fleet.machines)
    for version in (1, 2, 100, 301):
        verdicts = fleet.machines[seed % 4].call("PUT", change(version, version - 1))
        fleet.run(1.5)
        status = verdicts[0].status if verdicts else 0
        report.expect(status == 200, f"change {version} was answered {status} when sent again")
    return report


# 3. membership


def second_loss(seed: int, cores: int = 3, lost: int = 1) -> Report:
    """`lost` of `cores` members are replaced; as many more are lost once the replacements have caught up."""
    report, fleet = Report(), founded_fleet(seed, cores, 2)
    fleet.tolerate_losses(lost)
    chance = fleet.kernel.stream("losses")
    members = [machine for machine in fleet.machines if machine.core]
    replaced, planned = chance.sample(members, lost), bool(chance.randrange(2)) and lost == 1
    if planned:
        new = [fleet.add(core=True, zone=replaced[0].zone)]
        fleet.run(1.0)
        node_of(replaced[0]).leave()
        replaced[0].carry_out()
        fleet.run(2.0)
        remove_machine(fleet, replaced[0])
        fleet.run(CATCH_UP_S - 3.0)
    else:
        for machine in replaced:
            remove_machine(fleet, machine)
        fleet.run(1.0)
        new = [fleet.add(core=True, zone=machine.zone) for machine in replaced]
        if chance.randrange(2):
            fleet.run(0.5)
            report.expect(
                submit_change(fleet, 2, 1, fleet.machines) is not None,
                "no change was accepted between the losses",
            )
        fleet.run(max(CATCH_UP_S - (fleet.kernel.now - 5.0), 0.1))
    base = max(node_of(m).state["version"] for m in fleet.machines)
    remaining = [machine for machine in fleet.machines if machine.core and machine not in new]
    for machine in chance.sample(remaining, lost):
        if chance.randrange(2):
            machine.wipe()
        remove_machine(fleet, machine)
    elapsed = submit_change(fleet, base + 1, base, fleet.machines)
    report.expect(elapsed is not None, f"no majority after the second loss (planned: {planned})")
    if elapsed is not None:
        report.durations_s.append(elapsed)
    return report


def second_loss_of_five(seed: int) -> Report:
    """Two of five members are replaced and two more are lost."""
    return second_loss(seed, 5, 2)


def released(leaver: Machine) -> bool:
    """True once a leaving member has been replaced and its successors have the state on disk."""
    agreement = node_of(leaver).agreement
    members = agreement.roster.members if agreement.roster is not None else {}
    return leaver.name not in members and agreement.handover.complete


def last_copy(seed: int) -> Report:
    """A leaving member must stay until its successors have the newest state.

    Only it and one other member have that state, and the other one is then lost.
    """
    report, fleet = Report(), founded_fleet(seed, 3, 1)
    leaver, other_holder, slow_member = (fleet.machines[(seed + n) % 3] for n in range(3))
    new = fleet.add(core=True, zone=leaver.zone)
    fleet.run(3.0)
    fleet.added_delay_s[slow_member.name] = fleet.added_delay_s[new.name] = (
        0.08  # messages to and from these are delayed
    )
    verdicts = other_holder.call("PUT", change(7, 1))
    while not verdicts and fleet.kernel.now < 12.0:
        fleet.run(0.001)
    node_of(leaver).leave()
    leaver.carry_out()
    until = fleet.kernel.now + 6.0
    fleet.run(0.05)
    while fleet.kernel.now < until and not released(leaver):
        fleet.run(0.001)
    remove_machine(fleet, leaver)
    other_holder.wipe()
    remove_machine(fleet, other_holder)
    fleet.added_delay_s.clear()
    fleet.run(4.0)
    read = slow_member.call("GET", {})
    fleet.run(1.5)
    if verdicts and verdicts[0].status == 200:
        survived = bool(read) and read[0].status == 200 and read[0].body["version"] == "00000007"
        report.expect(survived, f"the acknowledged change was lost with the member that left: {read}")
    return report


def refused_epoch(seed: int) -> Report:
    """A member whose disk refused to save a new epoch keeps every promise over a restart."""
    report, fleet = Report(), founded_fleet(seed, 3, 1)
    replaced, refusing, wiped = (fleet.machines[(seed + n) % 3] for n in range(3))
    remove_machine(fleet, replaced)
    fleet.run(1.0)
    refusing.refused_saves = {"begun", "remembered"}
    new = fleet.add(core=True, zone=replaced.zone)
    fleet.run(3.0)
    report.expect(submit_change(fleet, 5, 1, fleet.machines) is not None, "no change was accepted")
    disk = dict(refusing.disk)
    refusing.kill()
    refusing.start()
    roster = node_of(refusing).agreement.roster
    blank = "remembered" not in disk
    report.expect(
        roster is not None and roster.epoch >= 2 and not blank, "its disk has an older epoch than it voted in"
    )
    wiped.wipe()
    remove_machine(fleet, wiped)
    fleet.run(3.0)
    read = new.call("GET", {})
    fleet.run(1.5)
    survived = bool(read) and read[0].status == 200 and read[0].body["version"] == "00000005"
    report.expect(survived, f"an acknowledged change is lost: {read}")
    return report


# 4. catching up


def caught_up(seed: int, changes: int = 300, wiped: bool = False, routes: int = 1) -> Report:
    """A member that was down during many changes is a full member again soon after its restart."""
    report, fleet = Report(), founded_fleet(seed, 3, 1)
    member = fleet.machines[seed % 3]
    member.kill()
    others = [m for m in fleet.machines if m is not member]
    for version in range(2, changes + 1):
        if version == changes and routes > 1:
            others[0].call("PUT", change(version, version - 1, routes))
        else:
            others[version % 2].call("PUT", change(version, version - 1))
        fleet.run(0.1)
        if node_of(others[0]).state["version"] != version:
            submit_change(fleet, version, version - 1, others)
    if wiped:
        member.wipe()
    began = fleet.kernel.now
    member.start()
    while fleet.kernel.now - began < 20.0:
        node = node_of(member)
        report.expect(
            node.state["version"] in (0, changes),
            f"the member had version {node.state['version']}, neither none nor the newest",
        )
        if node.agreement.votes and node.state["version"] == changes and node.agreement.speaks():
            break
        fleet.run(0.02)
    report.durations_s.append(fleet.kernel.now - began)
    report.expect(report.durations_s[-1] <= CATCH_UP_S, f"catching up took {report.durations_s[-1]:.1f} s")
    remove_machine(fleet, others[seed % 2])
    report.expect(
        submit_change(fleet, changes + 1, changes, fleet.machines) is not None,
        "the member does not count towards a majority",
    )
    return report


def wiped_caught_up(seed: int) -> Report:
    """As `caught_up`, but the member has lost its disk too."""
    return caught_up(seed, wiped=True)


# 5. answers to forwarded calls


def previous_process_answer(seed: int) -> Report:
    """A gateway forwards a change, restarts and forwards another: neither gets the answer to the other."""
    report, fleet = Report(), founded_fleet(seed, 3, 2)
    edge = fleet.machines[-1]
    fleet.added_delay_s[fleet.machines[0].name] = 0.05  # the member that serializes changes
    edge.call("PUT", change(2, 1))
    fleet.run(0.1)  # the change has arrived there and is not answered yet
    edge.kill()
    edge.start()
    fleet.run(0.27)
    edge.call("GET", {})  # so that call numbers agree: the first call of this process too
    verdicts = edge.call("PUT", change(9, 8))  # based on a version that does not exist
    fleet.run(2.0)
    reply = verdicts[0] if verdicts else None
    report.expect(reply is not None and reply.status != 200, f"change 9 was answered {reply}")
    return report


def previous_process_update(seed: int) -> Report:
    """A restarted member doesn't count acknowledgements of updates that its previous process sent."""
    report, fleet = Report(), founded_fleet(seed, 3, 2)
    keeper, edge = fleet.machines[0], fleet.machines[-1]
    for number in range(4):
        keeper.call("beat", heartbeat_body(name=f"i-{number}"))
    fleet.added_delay_s[edge.name] = 0.2
    keeper.call("beat", heartbeat_body("draining", 2, name="i-0"))
    fleet.run(0.01)
    keeper.kill()
    keeper.start()
    fleet.run(0.5)
    verdicts = keeper.call("beat", heartbeat_body("draining", 2, name="i-1"))
    while not verdicts:
        fleet.run(0.0005)
    known = node_of(edge).registry.instances.known.get("i-1")
    consistent = verdicts[0].status >= 500 or known is not None and not known.open
    report.expect(consistent, "a leaving backend was acknowledged before a connected gateway knew of it")
    return report
