"""Gateways of the system in the world's time and network: links, disks and processes that fail by a seed."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import msgspec

from embersill.edge.consensus.election import VOTE_KEY
from embersill.edge.consensus.founding import address_key
from embersill.edge.records import EpochStart, RegisterSnapshot, Save, Stored, Vote
from embersill.edge.configuration.document import NO_LAPSES, Order, State, revision
from embersill.edge.consensus.membership import Requirements
from embersill.edge.node import Node
from embersill.edge.peers.peer_set import Hello
from embersill.edge.verdict import Verdict
from embersill.world import kernel as world
from embersill.world.kernel import Kernel
from embersill.world.network import LinkConditions, Network

TICK = 0.02
SILENT = 1.4
DIALLED = 0.25
CONTROL = 8000


def document(version: int, routes: int = 1, rate: float = 50.0) -> dict[str, Any]:
    """A sound configuration."""
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
    """A whole configuration, as an operator sends it."""
    return {**document(version, routes), "based_on_version": f"{based_on:08x}"}


class Machine:
    """One machine: its process may die, its disk stays unless it is wiped."""

    def __init__(self, fleet: Fleet, number: int, core: bool, zone: str) -> None:
        self.fleet, self.number, self.core, self.zone = fleet, number, core, zone
        self.name, self.ip = f"edge-{zone}-{number}", f"10.0.0.{number}"
        self.process = world.Node(fleet.kernel, self.name)
        self.disk: dict[str, bytes] = {}
        self.disk_refuses = False
        self.refuse_next: set[str] = set()  # values whose next save is refused
        self.node: Node | None = None
        self.saves: deque[Save] = deque()
        self.up: dict[str, float] = {}  # links by peer, since when nothing has come over them
        self.seen = 0, 0  # how new a state this life has had in force
        self.checked: State | None = None  # the last state that was looked at
        self.states: dict[str, str] = {}

    def start(self, first: bool = False) -> None:
        """Starts the process with what the disk has; `first`: the whole system's very first start."""
        kernel, chance = self.fleet.kernel, self.fleet.chance
        self.process.begin_life(0.0, 0.0)
        if self.core and "store" not in self.disk:
            self.disk["store"] = f"{chance.getrandbits(32):x}".encode()
        store = self.disk.get("store", b"none").decode()
        begun, kept = self.disk.get("begun"), self.disk.get("remembered")
        stored = Stored(
            store,
            msgspec.json.decode(begun, type=EpochStart) if begun else None,
            msgspec.msgpack.decode(kept, type=RegisterSnapshot) if kept else None,
            gateways=int(self.disk.get("gateways", b"0")),
            vote=self.vote(first),
            state=msgspec.msgpack.decode(self.disk["state"], type=State) if "state" in self.disk else None,
        )
        hello = Hello(
            self.name,
            self.ip,
            self.zone,
            f"{self.ip}:{CONTROL}",
            self.core,
            store,
            f"{chance.getrandbits(32):x}",
        )
        self.node = Node(hello, self.fleet.seeds, stored, random.Random(chance.getrandbits(32)), kernel.now)
        self.node.founding.requirements = self.fleet.requirements
        self.seen = 0, 0
        self.states = {}
        self.serve(first)
        self.node.begin()
        self.tick()

    def vote(self, first: bool) -> Vote | None:
        """A seed's vote on the first epoch: new at the very first start, from its disk later."""
        if first and self.ip in self.fleet.seeds:
            vote = Vote(tuple(sorted(self.fleet.seeds, key=address_key)))
            if self.core:
                self.disk[VOTE_KEY] = msgspec.json.encode(vote)
            return vote
        kept = self.disk.get(VOTE_KEY) if self.core else None
        return msgspec.json.decode(kept, type=Vote) if kept else None

    def serve(self, first: bool) -> None:
        """Once there is a node: for machines that also take requests."""

    def kill(self) -> None:
        """The process dies; a save that was under way is on disk or not."""
        if self.node is None:
            return
        if not self.fleet.disks:
            self.saves.clear()
            self.disk.clear()
        while self.saves and self.fleet.chance.random() < 0.5:
            save = self.saves.popleft()
            self.disk.update({save.name: save.data, **save.also})
        self.saves.clear()
        self.process.alive, self.node = False, None
        for name in list(self.up):
            self.fleet.unlink(self, self.fleet.by_name[name])

    def wipe(self) -> None:
        """The process dies and the disk is lost."""
        self.kill()
        self.disk.clear()

    def tick(self) -> None:
        """What is due by now, again every `TICK` seconds of this process's life."""
        if self.node is None:
            return
        self.node.tick(self.fleet.kernel.now)
        self.carry_out()
        self.process.after(TICK, self.tick)

    def carry_out(self) -> None:
        """Sends mail over the links there are, and begins saves."""
        while self.node is not None and (self.node.effects.mail or self.node.effects.saves):
            mail, saves = self.node.effects.take()
            for peer, message in mail:
                self.fleet.send(self, peer, message)
            for save in saves:
                self.saves.append(save)
                if len(self.saves) == 1:
                    self.process.after(self.fleet.chance.uniform(*self.fleet.save_takes), self.saved)
        self.fleet.check(self)

    def saved(self) -> None:
        """The oldest save has ended, well or refused by the disk."""
        save = self.saves.popleft()
        refused = self.refuse_next & {save.name, *save.also}
        self.refuse_next -= refused
        good = not self.disk_refuses and not refused
        if good:
            self.disk.update({save.name: save.data, **save.also})
        save.then(good)
        if self.saves:
            self.process.after(self.fleet.chance.uniform(*self.fleet.save_takes), self.saved)
        self.carry_out()

    def call(self, what: str, body: Any) -> list[Verdict]:
        """Makes a call here; its verdict comes into the list."""
        heard: list[Verdict] = []
        if self.node is not None:
            self.node.call(what, body, heard.append, self.fleet.kernel.now)
            self.carry_out()
        return heard


class Fleet:
    """All machines of a world, the links between them, and the rules that hold at every step."""

    machine: type[Machine] = Machine  # what they are made of

    def __init__(self, seed: int, cores: int = 3, others: int = 2, disks: bool = True) -> None:
        self.save_takes = 0.002, 0.008
        self.requirements = Requirements()
        self.disks = disks  # else those of the core have their state in memory
        self.kernel = Kernel(seed)
        self.chance = self.kernel.stream("fleet")
        self.network = Network(self.kernel, LinkConditions(0.0005, 0.003))
        zones = ["a", "b", "c"]
        self.machines = [self.machine(self, n + 1, n < cores, zones[n % 3]) for n in range(cores + others)]
        self.made = len(self.machines)
        self.seeds = [machine.ip for machine in self.machines[:3]]
        self.by_name = {machine.name: machine for machine in self.machines}
        self.slowed: dict[str, float] = {}  # machines by name: seconds that their messages take in addition
        self.cut_off: dict[str, set[str]] = {}  # machines by name: whom each can't reach
        self.muted: set[str] = set()  # machines by name: they hear the others, and are not heard
        self.last: dict[tuple[str, str], float] = {}
        self.orders: dict[int, dict[str, Order]] = {}  # about lapsed tenants, as seen anywhere, by number
        self.ordered_at: dict[int, float] = {}  # when each number was seen first
        self.in_force: dict[int, str] = {}  # what each version was, wherever it was seen first
        for machine in self.machines:
            machine.start(first=True)
        self.dial()

    def add(self, core: bool, zone: str) -> Machine:
        """A machine with an empty disk joins."""
        self.made += 1
        machine = self.machine(self, self.made, core, zone)
        self.machines.append(machine)
        self.by_name[machine.name] = machine
        machine.start()
        return machine

    def apart(self, one: str, other: str) -> bool:
        """True while a cut is between two machines."""
        return other in self.cut_off.get(one, ()) or one in self.cut_off.get(other, ())

    def cut(self, names: set[str]) -> None:
        """These reach each other and nobody else."""
        for name in names:
            self.cut_off[name] = self.by_name.keys() - names

    def heal(self) -> None:
        """Ends all cuts; machines that were muted are heard again."""
        self.cut_off.clear()
        self.muted.clear()

    def hears(self, one: str, other: str) -> bool:
        """True while what `other` sends comes to `one`, and is read there."""
        sender, reader = self.by_name.get(other), self.by_name.get(one)
        if sender is None or reader is None or self.apart(one, other) or other in self.muted:
            return False
        return max(sender.process.paused_until, reader.process.paused_until) <= self.kernel.now

    def require(self, lost: int) -> None:
        """Tells all gateways, and those that start later, how many losses are to be borne."""
        self.requirements = Requirements(2 * lost + 1)
        for machine in self.machines:
            if machine.node is not None:
                machine.node.founding.requirements = self.requirements

    def dial(self) -> None:
        """Ends links that are silent, and links whoever wants to be, again every `DIALLED` seconds."""
        now = self.kernel.now
        for machine in self.machines:
            if machine.process.paused_until > now:
                continue
            for name, heard in list(machine.up.items()):
                if self.hears(machine.name, name):
                    machine.up[name] = now
                    if machine.node is not None:
                        machine.node.peers.touch(name, now)
                elif now - heard > SILENT:
                    self.unlink(machine, self.by_name[name])
            for ip in machine.node.peers.targets() if machine.node is not None else ():
                other = next((m for m in self.machines if m.ip == ip), None)
                if other is None or other.node is None:
                    continue
                if self.hears(machine.name, other.name) and self.hears(other.name, machine.name):
                    self.link(machine, other)
        self.kernel.at(now + DIALLED, self.dial)

    def link(self, one: Machine, other: Machine) -> None:
        """Links two machines, unless they are or one of them is down."""
        if other.name in one.up or one.node is None or other.node is None:
            return
        now = self.kernel.now
        one.up[other.name] = other.up[one.name] = now
        mine, theirs = one.node.hello(), other.node.hello()
        one.node.linked(theirs, now)
        other.node.linked(mine, now)
        one.carry_out()
        other.carry_out()

    def unlink(self, one: Machine, other: Machine) -> None:
        """Ends the link of two machines at both ends."""
        for machine, peer in ((one, other), (other, one)):
            if machine.up.pop(peer.name, None) is not None and machine.node is not None:
                machine.node.unlinked(peer.name, self.kernel.now)

    def send(self, sender: Machine, peer: str, message: Any) -> None:
        """Sends a message over a link; it arrives late, in order, or never."""
        if peer not in sender.up:
            return
        to, key = self.by_name[peer], (sender.name, peer)
        late = self.slowed.get(sender.name, 0.0) + self.slowed.get(peer, 0.0)
        arrival = max(self.network.arrival_time(*key) + late, self.last.get(key, 0.0) + 1e-6)
        self.last[key] = arrival
        told = msgspec.json.decode(msgspec.json.encode(message))
        self.kernel.at(arrival, self.arrive, sender, sender.process.life, to, to.process.life, told)

    def arrive(self, sender: Machine, life: int, to: Machine, its_life: int, message: Any) -> None:
        """A message arrives, unless a life that it was between has ended or a cut is in between."""
        if self.apart(sender.name, to.name) or sender.process.life != life or to.process.life != its_life:
            return
        if sender.name in self.muted:
            return
        if to.process.paused_until > self.kernel.now:
            self.kernel.at(to.process.paused_until, self.arrive, sender, life, to, its_life, message)
            return
        if to.node is not None and sender.name in to.up:
            to.node.heard(sender.name, message, self.kernel.now)
            to.carry_out()

    def run(self, seconds: float) -> None:
        """Runs the cluster for so many seconds."""
        self.kernel.run(self.kernel.now + seconds)

    def settled(self) -> None:
        """Runs until all that are alive have one version."""
        for _ in range(200):
            if len({m.node.state["version"] for m in self.machines if m.node is not None}) == 1:
                return
            self.run(0.1)
        raise AssertionError(f"versions {[m.node and m.node.state['version'] for m in self.machines]}")

    # the rules

    def check(self, machine: Machine) -> None:
        """After each step of a machine: it never goes back, and a version is one and the same everywhere."""
        if machine.node is None:
            return
        state: State = machine.node.state
        assert revision(state) >= machine.seen, f"{machine.name} went back to {revision(state)}"
        machine.seen = revision(state)
        if state is not machine.checked:
            machine.checked = state
            self.check_state(state)
        for name, one in machine.node.registry.instances.known.items():
            ranks = {"ready": 0, "draining": 1, "gone": 2}
            before = machine.states.get(name, "ready")
            assert ranks[one.state] >= ranks[before], f"{name} went back to {one.state}"
            machine.states[name] = one.state

    def check_state(self, state: State) -> None:
        """A version, and a number of orders, is one and the same wherever it is seen."""
        text = msgspec.json.encode(state["document"], order="deterministic").decode()
        assert self.in_force.setdefault(state["version"], text) == text, f"two versions {state['version']}"
        number = revision(state)[1]
        self.ordered_at.setdefault(number, self.kernel.now)
        for tenant, order in (state.get("lapses") or NO_LAPSES)["orders"].items():
            known = self.orders.setdefault(number, {}).setdefault(tenant, order)
            assert known == order, f"two orders for {tenant} under number {number}"
