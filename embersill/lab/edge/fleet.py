"""Simulated cluster of gateways: control plane nodes, links, disks and processes, with seeded randomness."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import msgspec

from embersill.edge.consensus.election import VOTE_KEY
from embersill.edge.consensus.founding import address_key
from embersill.edge.peers.directory_exchange import DIRECTORY_KEY
from embersill.edge.records import DirectorySnapshot, EpochStart, RegisterSnapshot, Save, Stored, Vote
from embersill.edge.configuration.document import NO_LAPSES, Order, State, revision
from embersill.edge.consensus.membership import Requirements
from embersill.edge.node import Node
from embersill.edge.peers.peer_set import Hello
from embersill.edge.verdict import Verdict
from embersill.world import kernel as world
from embersill.world.kernel import Kernel
from embersill.world.network import LinkConditions, Network

TICK_INTERVAL_S = 0.02
LINK_TIMEOUT_S = 1.4
DIAL_INTERVAL_S = 0.25
CONTROL_PORT = 8000


def document(version: int, routes: int = 1, rate: float = 50.0) -> dict[str, Any]:
    """A valid configuration."""
    return {
        "version": f"{version:08x}",
        "routes": {
            f"r{n}": {
                "host": "a.example",
                "path_prefix": f"/p{n}/",
                "kind": "idempotent",
                "timeout_s": 2.0,
                "target_latency_s": 0.5,
                "priority": 1,
                "service": "s",
                "max_attempts": 2,
                "public_access": False,
            }
            for n in range(routes)
        },
        "services": {"s": {"health_path": "/health", "connection_limit": 100}},
        "limits": {"idle_timeout_s": 15},
        "tenants": {"t": {"api_keys": ["k"], "priority": 1, "rate_per_s": rate, "burst_size": rate}},
    }


def change(version: int, based_on: int, routes: int = 1) -> dict[str, Any]:
    """A request to replace the configuration, as an operator sends it."""
    return {**document(version, routes), "based_on_version": f"{based_on:08x}"}


class Machine:
    """One machine. Its process may be killed and restarted; its disk persists unless it is wiped."""

    def __init__(self, fleet: Fleet, number: int, core: bool, zone: str) -> None:
        self.fleet, self.number, self.core, self.zone = fleet, number, core, zone
        self.name, self.ip = f"edge-{zone}-{number}", f"10.0.0.{number}"
        self.process = world.Node(fleet.kernel, self.name)
        self.disk: dict[str, bytes] = {}
        self.disk_refuses = False
        self.refused_saves: set[str] = set()  # names of stored values whose next save fails
        self.node: Node | None = None
        self.saves: deque[Save] = deque()
        self.link_active_at: dict[str, float] = {}  # by connected peer: when it was last received from
        self.newest_revision = 0, 0  # newest state revision in this process's life
        self.last_checked_state: State | None = None  # state that was last checked for consistency
        self.backend_states: dict[str, str] = {}

    def start(self, first_start: bool = False) -> None:
        """Starts the process from its disk; `first_start`: the very first start of the whole system."""
        kernel, chance = self.fleet.kernel, self.fleet.chance
        self.process.begin_life(0.0, 0.0)
        if self.core and "store" not in self.disk:
            self.disk["store"] = f"{chance.getrandbits(32):x}".encode()
        store_id = self.disk.get("store", b"none").decode()
        epoch_start, snapshot = self.disk.get("begun"), self.disk.get("remembered")
        stored = Stored(
            store_id,
            msgspec.json.decode(epoch_start, type=EpochStart) if epoch_start else None,
            msgspec.msgpack.decode(snapshot, type=RegisterSnapshot) if snapshot else None,
            gateways=int(self.disk.get("gateways", b"0")),
            directory=msgspec.msgpack.decode(self.disk[DIRECTORY_KEY], type=DirectorySnapshot)
            if DIRECTORY_KEY in self.disk
            else None,
            vote=self.initial_vote(first_start),
            state=msgspec.msgpack.decode(self.disk["state"], type=State) if "state" in self.disk else None,
        )
        hello = Hello(
            self.name,
            self.ip,
            self.zone,
            f"{self.ip}:{CONTROL_PORT}",
            self.core,
            store_id,
            f"{chance.getrandbits(32):x}",
        )
        self.node = Node(hello, self.fleet.seeds, stored, random.Random(chance.getrandbits(32)), kernel.now)
        self.node.founding.requirements = self.fleet.requirements
        self.newest_revision = 0, 0
        self.backend_states = {}
        self.start_data_plane(first_start)
        self.node.begin()
        self.tick()

    def initial_vote(self, first_start: bool) -> Vote | None:
        """A seed's vote on the first epoch: new at the very first start, read from its disk after that."""
        if first_start and self.ip in self.fleet.seeds:
            vote = Vote(tuple(sorted(self.fleet.seeds, key=address_key)))
            if self.core:
                self.disk[VOTE_KEY] = msgspec.json.encode(vote)
            return vote
        encoded_vote = self.disk.get(VOTE_KEY) if self.core else None
        return msgspec.json.decode(encoded_vote, type=Vote) if encoded_vote else None

    def start_data_plane(self, first_start: bool) -> None:
        """Called once the node exists; overridden by machines that also serve requests."""

    def kill(self) -> None:
        """Kills the process; saves in progress may or may not reach the disk."""
        if self.node is None:
            return
        if not self.fleet.persistent_disks:
            self.saves.clear()
            self.disk.clear()
        while self.saves and self.fleet.chance.random() < 0.5:
            save = self.saves.popleft()
            self.disk.update({save.name: save.data, **save.also})
        self.saves.clear()
        self.process.alive, self.node = False, None
        for name in list(self.link_active_at):
            self.fleet.unlink(self, self.fleet.by_name[name])

    def wipe(self) -> None:
        """Kills the process and erases the disk."""
        self.kill()
        self.disk.clear()

    def tick(self) -> None:
        """Runs the node's timers, every `TICK_INTERVAL_S` seconds while the process is alive."""
        if self.node is None:
            return
        self.node.tick(self.fleet.kernel.now)
        self.carry_out()
        self.process.after(TICK_INTERVAL_S, self.tick)

    def carry_out(self) -> None:
        """Sends the node's messages over existing links and starts its saves."""
        while self.node is not None and (self.node.effects.mail or self.node.effects.saves):
            mail, saves = self.node.effects.take()
            for peer_name, message in mail:
                self.fleet.send(self, peer_name, message)
            for save in saves:
                self.saves.append(save)
                if len(self.saves) == 1:
                    self.process.after(
                        self.fleet.chance.uniform(*self.fleet.save_duration_s), self.finish_save
                    )
        self.fleet.check_invariants(self)

    def finish_save(self) -> None:
        """Ends the oldest save: it has succeeded, or the disk refused it."""
        save = self.saves.popleft()
        refused = self.refused_saves & {save.name, *save.also}
        self.refused_saves -= refused
        succeeded = not self.disk_refuses and not refused
        if succeeded:
            self.disk.update({save.name: save.data, **save.also})
        save.then(succeeded)
        if self.saves:
            self.process.after(self.fleet.chance.uniform(*self.fleet.save_duration_s), self.finish_save)
        self.carry_out()

    def call(self, operation: str, body: Any) -> list[Verdict]:
        """Makes a call to this machine; the verdict is appended to the returned list."""
        verdicts: list[Verdict] = []
        if self.node is not None:
            self.node.call(operation, body, verdicts.append, self.fleet.kernel.now)
            self.carry_out()
        return verdicts


class Fleet:
    """All machines of a simulation, the links between them, and invariants checked after every step."""

    machine_type: type[Machine] = Machine  # class of the machines that are created

    def __init__(self, seed: int, cores: int = 3, others: int = 2, persistent_disks: bool = True) -> None:
        self.save_duration_s = 0.002, 0.008
        self.requirements = Requirements()
        self.persistent_disks = persistent_disks  # False: core members too keep their state in memory only
        self.kernel = Kernel(seed)
        self.chance = self.kernel.stream("fleet")
        self.network = Network(self.kernel, LinkConditions(0.0005, 0.003))
        zones = ["a", "b", "c"]
        self.machines = [
            self.machine_type(self, n + 1, n < cores, zones[n % 3]) for n in range(cores + others)
        ]
        self.machines_created = len(self.machines)
        self.seeds = [machine.ip for machine in self.machines[:3]]
        self.by_name = {machine.name: machine for machine in self.machines}
        self.added_delay_s: dict[
            str, float
        ] = {}  # by machine name: added to each message it sends or receives
        self.cut_off: dict[str, set[str]] = {}  # by machine name: names of unreachable machines
        self.muted: set[str] = set()  # names of machines that receive but whose messages are lost
        self.last_arrival: dict[tuple[str, str], float] = {}
        self.lapse_orders: dict[int, dict[str, Order]] = {}  # first seen anywhere, by number and tenant
        self.lapse_orders_seen_at: dict[int, float] = {}  # when each number was first seen
        self.known_documents: dict[int, str] = {}  # by version, as first seen on any machine
        for machine in self.machines:
            machine.start(first_start=True)
        self.maintain_links()

    def add(self, core: bool, zone: str) -> Machine:
        """Adds and starts a machine with an empty disk."""
        self.machines_created += 1
        machine = self.machine_type(self, self.machines_created, core, zone)
        self.machines.append(machine)
        self.by_name[machine.name] = machine
        machine.start()
        return machine

    def is_partitioned(self, first: str, second: str) -> bool:
        """True while a partition separates two machines."""
        return second in self.cut_off.get(first, ()) or first in self.cut_off.get(second, ())

    def cut(self, names: set[str]) -> None:
        """Isolates these machines: they reach each other and nobody else."""
        for name in names:
            self.cut_off[name] = self.by_name.keys() - names

    def heal(self) -> None:
        """Ends all partitions and unmutes all machines."""
        self.cut_off.clear()
        self.muted.clear()

    def receives_from(self, receiver_name: str, sender_name: str) -> bool:
        """True while messages of the sender arrive at the receiver and are read there."""
        sender, receiver = self.by_name.get(sender_name), self.by_name.get(receiver_name)
        if (
            sender is None
            or receiver is None
            or self.is_partitioned(receiver_name, sender_name)
            or sender_name in self.muted
        ):
            return False
        return max(sender.process.paused_until, receiver.process.paused_until) <= self.kernel.now

    def tolerate_losses(self, count: int) -> None:
        """Sets how many lost members all gateways, running or started later, have to tolerate."""
        self.requirements = Requirements(2 * count + 1)
        for machine in self.machines:
            if machine.node is not None:
                machine.node.founding.requirements = self.requirements

    def maintain_links(self) -> None:
        """Closes silent links and opens requested ones, every `DIAL_INTERVAL_S` seconds."""
        now = self.kernel.now
        for machine in self.machines:
            if machine.process.paused_until > now:
                continue
            for name, active_at in list(machine.link_active_at.items()):
                if self.receives_from(machine.name, name):
                    machine.link_active_at[name] = now
                    if machine.node is not None:
                        machine.node.peers.touch(name, now)
                elif now - active_at > LINK_TIMEOUT_S:
                    self.unlink(machine, self.by_name[name])
            for ip in machine.node.peers.targets() if machine.node is not None else ():
                other = next((m for m in self.machines if m.ip == ip), None)
                if other is None or other.node is None:
                    continue
                if self.receives_from(machine.name, other.name) and self.receives_from(
                    other.name, machine.name
                ):
                    self.link(machine, other)
        self.kernel.at(now + DIAL_INTERVAL_S, self.maintain_links)

    def link(self, first: Machine, second: Machine) -> None:
        """Links two machines, unless they are linked already or one of them is down."""
        if second.name in first.link_active_at or first.node is None or second.node is None:
            return
        now = self.kernel.now
        first.link_active_at[second.name] = second.link_active_at[first.name] = now
        mine, theirs = first.node.hello(), second.node.hello()
        first.node.linked(theirs, now)
        second.node.linked(mine, now)
        first.carry_out()
        second.carry_out()

    def unlink(self, first: Machine, second: Machine) -> None:
        """Closes the link between two machines at both ends."""
        for machine, peer in ((first, second), (second, first)):
            if machine.link_active_at.pop(peer.name, None) is not None and machine.node is not None:
                machine.node.unlinked(peer.name, self.kernel.now)

    def send(self, sender: Machine, peer_name: str, message: Any) -> None:
        """Sends a message over a link; it arrives in order after a delay, or never."""
        if peer_name not in sender.link_active_at:
            return
        receiver, direction = self.by_name[peer_name], (sender.name, peer_name)
        delay_s = self.added_delay_s.get(sender.name, 0.0) + self.added_delay_s.get(peer_name, 0.0)
        arrival = max(
            self.network.arrival_time(*direction) + delay_s, self.last_arrival.get(direction, 0.0) + 1e-6
        )
        self.last_arrival[direction] = arrival
        decoded = msgspec.json.decode(msgspec.json.encode(message))
        self.kernel.at(
            arrival, self.deliver, sender, sender.process.life, receiver, receiver.process.life, decoded
        )

    def deliver(
        self, sender: Machine, sender_life: int, receiver: Machine, receiver_life: int, message: Any
    ) -> None:
        """Delivers a message, unless either process was restarted since or a partition is in between."""
        if (
            self.is_partitioned(sender.name, receiver.name)
            or sender.process.life != sender_life
            or receiver.process.life != receiver_life
        ):
            return
        if sender.name in self.muted:
            return
        if receiver.process.paused_until > self.kernel.now:
            self.kernel.at(
                receiver.process.paused_until,
                self.deliver,
                sender,
                sender_life,
                receiver,
                receiver_life,
                message,
            )
            return
        if receiver.node is not None and sender.name in receiver.link_active_at:
            receiver.node.heard(sender.name, message, self.kernel.now)
            receiver.carry_out()

    def run(self, seconds: float) -> None:
        """Runs the simulation for so many seconds."""
        self.kernel.run(self.kernel.now + seconds)

    def run_until_converged(self) -> None:
        """Runs until all running machines have the same version; AssertionError after 20 s."""
        for _ in range(200):
            if len({m.node.state["version"] for m in self.machines if m.node is not None}) == 1:
                return
            self.run(0.1)
        raise AssertionError(
            f"versions have not converged: {[m.node and m.node.state['version'] for m in self.machines]}"
        )

    # the invariants

    def check_invariants(self, machine: Machine) -> None:
        """Checks that a machine's state never goes back and agrees with what other machines have had."""
        if machine.node is None:
            return
        state: State = machine.node.state
        assert (
            revision(state) >= machine.newest_revision
        ), f"{machine.name} went back to revision {revision(state)}"
        machine.newest_revision = revision(state)
        if state is not machine.last_checked_state:
            machine.last_checked_state = state
            self.check_consistency(state)
        for name, instance in machine.node.registry.instances.known.items():
            ranks = {"ready": 0, "draining": 1, "gone": 2}
            before = machine.backend_states.get(name, "ready")
            assert ranks[instance.state] >= ranks[before], f"backend {name} went back to {instance.state}"
            machine.backend_states[name] = instance.state

    def check_consistency(self, state: State) -> None:
        """Checks that a version, and a number of lapse orders, means the same on all machines."""
        text = msgspec.json.encode(state["document"], order="deterministic").decode()
        assert (
            self.known_documents.setdefault(state["version"], text) == text
        ), f"two documents with version {state['version']}"
        number = revision(state)[1]
        self.lapse_orders_seen_at.setdefault(number, self.kernel.now)
        for tenant, order in (state.get("lapses") or NO_LAPSES)["orders"].items():
            known = self.lapse_orders.setdefault(number, {}).setdefault(tenant, order)
            assert known == order, f"two lapse orders for {tenant} with number {number}"
