"""A whole small deployment on loopback: front machines as processes of their own, the rest in this one."""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from embersill.interface import Settings
from embersill.rig.billing import StandInBilling
from embersill.rig.books import TrafficAudit
from embersill.rig.processes import Member, free_ports
from embersill.rig.relay import Relay
from embersill.rig.scenarios import Topology
from embersill.rig.settings import settings_object
from embersill.rig.standins import (
    HOST,
    Arrival,
    BackendBehaviour,
    DiscoveryView,
    StandInBackend,
    StandInCounter,
    StandInDiscovery,
)
from embersill.rig.traffic import Customer, Front, Traffic
from embersill.settings import read_settings

READY_WITHIN = 15.0  # seconds for a process to take clients


@dataclass(slots=True)
class Shape:
    """What a lab consists of. With planners the fronts are forwarders, with none they are gateways."""

    fronts: int = 3
    planners: int = 2
    backends: int = 6
    customers: int = 60
    rate: float = 200.0
    seed: int = 1
    behaviour: BackendBehaviour = field(default_factory=BackendBehaviour)
    plans: tuple[str, ...] = ("basis", "pro", "free")
    settings: dict[str, Any] | None = None
    status_every: float = 0.5
    sockets: int = 1024  # descriptors that a front machine may hold
    operator: str = ""  # further tables of the operator file, for whoever decides
    council_tables: str = ""  # tables below [council], with BILLING for billing's address; "" is no council
    relayed: tuple[str, ...] = ()  # ways that go over relays, in the words of scenarios
    zones: dict[str, list[str]] = field(default_factory=dict)
    helpers: int = 0  # other planners over which forwarders reach each one
    tell_refusals: bool = False  # forwarders write a line on each
    terms: dict[str, float] = field(default_factory=dict)  # of tiers/terms.py, where not the usual


class Deployment:
    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.random = random.Random(shape.seed)
        self.object = shape.settings or settings_object(shape.fronts)
        self.settings: Settings = read_settings(self.object)
        self.audit = TrafficAudit(self.settings)
        self.discovery, self.counter, self.billing = StandInDiscovery(), StandInCounter(), StandInBilling()
        self.backends = [
            StandInBackend(f"b{n}", shape.behaviour, shape.seed, self.arrived) for n in range(shape.backends)
        ]
        self.counter_of: dict[str, str] = {}  # addresses of the counter by gateway, where they differ
        self.fronts: list[Front] = []
        self.members: dict[str, Member] = {}
        self.ports: dict[str, int] = {}  # of planners, for forwarders
        self.council_ports: dict[str, int] = {}  # of planners, for each other
        self.relays: dict[str, Relay] = {}
        self.link_relays: dict[str, Relay] = {}  # between planners, for forwarders' connections
        self.views: list[DiscoveryView] = []
        self.traffic: Traffic
        self.folder = tempfile.TemporaryDirectory(prefix="embersill-lab-")
        kind = "forwarder" if shape.planners else "gateway"
        self.topology = Topology(
            {
                **{f"g{n}": kind for n in range(shape.fronts)},
                **{f"p{n}": "planner" for n in range(shape.planners)},
                **{backend.name: "backend" for backend in self.backends},
                "discovery": "discovery",
                "counter": "counter",
                "billing": "billing",
            },
            shape.zones,
        )

    def arrived(self, arrival: Arrival, runs: bool) -> None:
        self.audit.attempt_arrived(arrival, runs)

    async def start(self) -> None:
        shape = self.shape
        for part in (self.discovery, self.counter, self.billing, *self.backends):
            await part.start()
        for n, backend in enumerate(self.backends):
            zone = self.topology.zone_of(backend.name) or "z"
            self.discovery.entries[backend.name] = self.discovery.entry(backend, n % 2, zone=zone)
            self.audit.cells[backend.name] = n % 2
        ports = free_ports(shape.fronts)
        self.fronts = [Front(f"g{n}", port, idle=[]) for n, port in enumerate(ports)]
        await self.start_relays()
        if shape.planners:
            await self.start_planners([front.name for front in self.fronts])
        for front in self.fronts:
            await self.add(front.name, "forwarder" if shape.planners else "gateway", front.port)
        await asyncio.gather(*(self.members[front.name].start() for front in self.fronts))
        await asyncio.gather(*(self.wait_ready(front) for front in self.fronts))
        self.traffic = Traffic(
            self.settings, self.audit, self.fronts, self.customers(), shape.rate, shape.seed
        )

    # ways

    def relayed(self) -> list[str]:
        """The ways that go over relays: only processes dial."""
        return [
            link
            for link in self.topology.links(self.shape.relayed)
            if self.topology.roles[link.partition(">")[0]] in ("planner", "forwarder", "gateway")
        ]

    async def start_relays(self) -> None:
        for name in self.relayed():
            begin, _, end = name.partition(">")
            relay = self.relays[name] = Relay(name, self.target_of(begin, end), self.shape.seed)
            await relay.start()
            if {self.topology.roles[begin], self.topology.roles[end]} == {"planner"}:
                link = self.link_relays[name] = Relay(f"{name} link", self.link_of(end), self.shape.seed)
                await link.start()

    def link_of(self, planner: str) -> Callable[[], tuple[str, int]]:
        return lambda: (HOST, self.ports[planner])

    def relays_of(self, name: str) -> list[Relay]:
        """What a fault on a way lies on: all that processes dial over it."""
        return [relays[name] for relays in (self.relays, self.link_relays) if name in relays]

    def target_of(self, begin: str, end: str) -> Callable[[], tuple[str, int]]:
        def target() -> tuple[str, int]:
            role = self.topology.roles[end]
            if role == "planner":
                ports = self.council_ports if self.topology.roles[begin] == "planner" else self.ports
                return HOST, ports[end]
            parts = {
                "discovery": self.discovery,
                "counter": self.counter,
                "billing": self.billing,
                **{backend.name: backend for backend in self.backends},
            }
            return HOST, parts[end].port

        return target

    def dialled(self, begin: str, end: str, address: str) -> str:
        """Where a process dials another: a relay if one lies between them."""
        relay = self.relays.get(f"{begin}>{end}")
        return address if relay is None else relay.address

    async def start_planners(self, forwarders: list[str]) -> dict[str, int]:
        """Starts the planners for forwarders by these names; tells the ports."""
        names = [f"p{n}" for n in range(self.shape.planners)]
        ports = free_ports(2 * len(names))
        self.ports = dict(zip(names, ports, strict=False))
        self.council_ports = dict(zip(names, ports[len(names) :], strict=True))
        folder = Path(self.folder.name)
        (folder / "secret").write_text(secrets.token_hex(16))
        for name in forwarders:
            self.write_operator(name, "forwarder", forwarders)
        for name in names:
            self.write_operator(name, "planner", forwarders)
            await self.add(name, "planner", 0)
        await asyncio.gather(*(self.members[name].start() for name in names))
        return self.ports

    def write_operator(self, name: str, role: str, forwarders: list[str]) -> None:
        ways = self.relays if role == "forwarder" else self.link_relays
        planners = {
            p: ways[f"{name}>{p}"].address if f"{name}>{p}" in ways else f"{HOST}:{port}"
            for p, port in self.ports.items()
        }
        lines = [
            f'role = "{role}"',
            "[tiers]",
            f"forwarders = {json.dumps(forwarders)}",
            'secret_file = "secret"',
            f"status_every = {self.shape.status_every}",
            f"helpers = {self.shape.helpers}",
            f"tell_refusals = {str(self.shape.tell_refusals).lower()}",
            "[tiers.planners]",
            *(f'{p} = "{address}"' for p, address in planners.items()),
            "[tiers.terms]",
            *(f"{name} = {seconds}" for name, seconds in self.shape.terms.items()),
        ]
        text = "\n".join(lines) + "\n"
        if role == "planner":
            text += self.shape.operator + self.council_text(name)
        self.operator_file(name).write_text(text)

    def council_text(self, name: str) -> str:
        if not self.shape.council_tables:
            return ""
        members = {
            p: f"{HOST}:{port}" if p == name else self.dialled(name, p, f"{HOST}:{port}")
            for p, port in self.council_ports.items()
        }
        billing = self.dialled(name, "billing", self.billing.address)
        lines = [
            "[council]",
            f'state = "state-{name}"',
            "[council.members]",
            *(f'{p} = "{address}"' for p, address in members.items()),
        ]
        return "\n".join(lines) + "\n" + self.shape.council_tables.replace("BILLING", billing)

    def operator_file(self, name: str) -> Path:
        return Path(self.folder.name) / f"{name}.toml"

    def state_of(self, name: str) -> Path:
        """Where a planner keeps what the council has it remember."""
        return Path(self.folder.name) / f"state-{name}"

    async def copy_state(self, name: str, target: Path) -> None:
        """Copies a planner's state as its disk has it at one moment; nothing is copied if there is none.

        The planner stands still meanwhile: its files are renamed while it runs, and a copy would miss some.
        """
        async with self.members[name].while_suspended():
            if self.state_of(name).exists():
                shutil.copytree(self.state_of(name), target)

    async def add(self, name: str, role: str, port: int, config: str = "") -> None:
        """A further process, not started yet; `config` names its files where the name is taken."""
        folder = Path(self.folder.name)
        discovery, known = self.discovery.address, self.discovery.listing()
        places = {
            b.name: self.relays[f"{name}>{b.name}"].address
            for b in self.backends
            if f"{name}>{b.name}" in self.relays
        }
        if places:
            view = DiscoveryView(self.discovery, places)
            await view.start()
            self.views.append(view)
            discovery, known = view.address, view.listing()
        told = {
            "name": name,
            "listen": f"{HOST}:{port or 1}",
            "discovery": self.dialled(name, "discovery", discovery),
            "counter": self.dialled(name, "counter", self.counter_of.get(name, self.counter.address)),
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.shape.sockets},
            "known": known,
            "settings": self.object,
        }
        config = config or name
        path = folder / f"{config}.json"
        path.write_text(json.dumps(told))
        command = [sys.executable, "-m", "embersill"]
        if role == "gateway" and self.shape.operator:
            (folder / f"{config}.toml").write_text(self.shape.operator)
        if role != "gateway" or self.shape.operator:
            command += ["--operator", str(folder / f"{config}.toml")]
        kept = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "EMBERSILL_"))}
        self.members[config] = Member(config, role, command, {**kept, "RELAY_CONFIG": str(path)})

    async def clone(self, name: str) -> Member:
        """A second planner of that name, as on another machine: its own addresses, a copy of the disk."""
        config = f"{name}+{sum(member.startswith(f'{name}+') for member in self.members) + 1}"
        folder = Path(self.folder.name)
        state = folder / f"state-{config}"
        await self.copy_state(name, state)
        text = self.operator_file(name).read_text()
        link, council = free_ports(2)
        text = text.replace(f'{name} = "{HOST}:{self.ports[name]}"', f'{name} = "{HOST}:{link}"')
        text = text.replace(f'{name} = "{HOST}:{self.council_ports[name]}"', f'{name} = "{HOST}:{council}"')
        text = text.replace(f'state = "state-{name}"', f'state = "{state.name}"')
        self.operator_file(config).write_text(text)
        await self.add(name, "planner", 0, config)
        await self.members[config].start()
        return self.members[config]

    async def wait_ready(self, front: Front) -> None:
        async with asyncio.timeout(READY_WITHIN):
            while True:
                try:
                    reader, writer = await asyncio.open_connection(HOST, front.port)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                    answer = await reader.read()
                    writer.close()
                    if b" 200 " in answer.partition(b"\r\n")[0]:
                        front.up = True
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.02)

    def customers(self) -> list[Customer]:
        """A few large customers and many small ones, their plans by turns."""
        shape, made = self.shape, []
        for n in range(shape.customers):
            plan = shape.plans[n % len(shape.plans)]
            weight = 3.0 if plan == "pro" else 1.0
            spread = min(2 + n % 3, shape.fronts)
            made.append(Customer(0xC000 + n, plan, weight, self.random.randrange(shape.fronts), spread))
        return made

    def planners(self) -> list[Member]:
        return [member for member in self.members.values() if member.role == "planner"]

    # faults

    async def trouble_planners(
        self, every: float, until: float, down: float = 1.0, paused: float = 1.5
    ) -> None:
        """Kills or pauses one planner after the other, by turns, until the loop's time `until`."""
        loop, turn = asyncio.get_running_loop(), 0
        tasks: list[asyncio.Task[None]] = []
        while loop.time() + every < until:
            await asyncio.sleep(every)
            # every second fault is a pause, and each planner gets both kinds
            member = self.planners()[turn // 2 % len(self.planners())]
            tasks.append(
                asyncio.create_task(
                    self.kill_and_restart(member, down) if turn % 2 == 0 else self.pause(member, paused)
                )
            )
            turn += 1
        await asyncio.gather(*tasks)

    async def kill_and_restart(self, member: Member, down: float) -> None:
        self.audit.counts["planner_kills"] += 1
        await member.kill()
        await asyncio.sleep(down)
        await member.start()

    async def pause(self, member: Member, seconds: float) -> None:
        self.audit.counts["planner_pauses"] += 1
        await member.pause(seconds)

    async def restart_front(self, front: Front, down: float) -> None:
        """Kills a front machine; what it held is its clients' to retry."""
        self.audit.counts["front_kills"] += 1
        front.up = False
        await self.members[front.name].kill()
        await asyncio.sleep(down)
        await self.members[front.name].start()
        await self.wait_ready(front)

    async def drain_by_turns(self, every: float, until: float) -> None:
        """Drains one backend after the other and brings it back."""
        loop, turn = asyncio.get_running_loop(), 0
        while loop.time() + 2 * every < until:
            await asyncio.sleep(every)
            place = turn % len(self.backends)
            backend = self.backends[place]
            await self.discovery.update(self.discovery.entry_with_status(backend.name, "DRAINING"))
            self.audit.backend_draining(backend.name, loop.time())
            self.audit.counts["drains"] += 1
            await asyncio.sleep(every)
            self.audit.backend_serving(backend.name, loop.time())
            await self.discovery.update(self.discovery.entry_with_status(backend.name, "SERVING"))
            turn += 1

    # the end

    async def stop(self) -> dict[str, int]:
        """Ends all in order, the fronts first; tells who did not end well, by its exit code."""
        codes = {}
        for roles in (("forwarder", "gateway"), ("planner",)):
            ending = [m for m in self.members.values() if m.role in roles and m.running]
            for member in ending:
                member.earlier_cpu_s += member.cpu_seconds()
                member.resume()
                member.send(signal.SIGTERM)
            for member in ending:
                code = await member.wait_exit()
                if code:
                    codes[member.name] = code
        self.close()
        return codes

    def close(self) -> None:
        for member in self.members.values():
            member.kill_now()
        for part in (self.discovery, self.counter, self.billing, *self.backends, *self.views):
            part.close()
        for relay in (*self.relays.values(), *self.link_relays.values()):
            relay.close()
        self.folder.cleanup()

    def logs(self) -> Iterable[str]:
        return (f"{m.name}: {line}" for m in self.members.values() for line in m.log)


async def play(
    deployment: Deployment,
    seconds: float,
    *,
    trouble_every: float = 0.0,
    drain_every: float = 0.0,
    restart_front_every: float = 0.0,
) -> dict[str, Any]:
    """Starts a deployment, sends it traffic and trouble, ends it, and tells what happened."""
    loop = asyncio.get_running_loop()
    try:
        await deployment.start()
        until = loop.time() + seconds
        faults: list[asyncio.Task[None]] = []
        if trouble_every > 0 and deployment.shape.planners:
            faults.append(asyncio.create_task(deployment.trouble_planners(trouble_every, until)))
        if drain_every > 0:
            faults.append(asyncio.create_task(deployment.drain_by_turns(drain_every, until)))
        if restart_front_every > 0:
            faults.append(asyncio.create_task(restart_fronts(deployment, restart_front_every, until)))
        await deployment.traffic.run(seconds)
        await asyncio.gather(*faults)
        longest = max(c.deadline for c in deployment.settings.classes)
        await deployment.traffic.wait_answered(longest + 1.0)
        codes = await deployment.stop()
    finally:
        deployment.close()
    counts = deployment.audit.counts
    told: dict[str, Any] = deployment.audit.figures()
    for name in ("planner_kills", "planner_pauses", "front_kills", "drains", "no_front"):
        if counts[name]:
            told[name] = counts[name]
    told["bad_ends"] = codes
    told["breaches"] = deployment.audit.breaches[:10]
    return told


async def restart_fronts(deployment: Deployment, every: float, until: float) -> None:
    loop, turn = asyncio.get_running_loop(), 0
    while loop.time() + 2 * every < until:
        await asyncio.sleep(every)
        front = deployment.fronts[turn % len(deployment.fronts)]
        await deployment.restart_front(front, 0.5)
        turn += 1
