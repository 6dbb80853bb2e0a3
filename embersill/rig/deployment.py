"""A small deployment on loopback: gateways, forwarders and planners are processes, the rest runs here."""

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
from embersill.rig.audit import TrafficAudit
from embersill.rig.billing import StandInBilling
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

READY_TIMEOUT_S = 15.0  # for a front to accept clients


@dataclass(slots=True)
class Shape:
    """What a deployment consists of. With planners the fronts are forwarders, without they are gateways."""

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
    sockets: int = 1024  # file descriptors of each process, at most
    operator: str = ""  # further tables of the operator file of planners or gateways
    council_tables: str = ""  # below [council], with BILLING for billing's address; empty: no council
    relayed: tuple[str, ...] = ()  # links that go over relays, as patterns of scenarios
    zones: dict[str, list[str]] = field(default_factory=dict)
    helpers: int = 0  # other planners through which forwarders reach each one
    tell_refusals: bool = False  # forwarders print a line for each
    terms: dict[str, float] = field(
        default_factory=dict
    )  # of tiers/terms.py, where they differ from the defaults


class Deployment:
    """The processes, relays and stand-ins of one run, with the audit of its traffic."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.random = random.Random(shape.seed)
        self.settings_document = shape.settings or settings_object(shape.fronts)
        self.settings: Settings = read_settings(self.settings_document)
        self.audit = TrafficAudit(self.settings)
        self.discovery, self.counter, self.billing = StandInDiscovery(), StandInCounter(), StandInBilling()
        self.backends = [
            StandInBackend(f"b{n}", shape.behaviour, shape.seed, self.arrived) for n in range(shape.backends)
        ]
        self.counter_addresses: dict[str, str] = {}  # by gateway, where they differ
        self.fronts: list[Front] = []
        self.members: dict[str, Member] = {}
        self.ports: dict[str, int] = {}  # of planners, for forwarders
        self.council_ports: dict[str, int] = {}  # of planners, for each other
        self.relays: dict[str, Relay] = {}
        self.link_relays: dict[str, Relay] = {}  # between planners, for forwarders' connections
        self.discovery_views: list[DiscoveryView] = []
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
        """Passes a backend's request to the audit."""
        self.audit.attempt_arrived(arrival, runs)

    async def start(self) -> None:
        """Starts stand-ins, relays and processes, and waits until every front is ready."""
        shape = self.shape
        for stand_in in (self.discovery, self.counter, self.billing, *self.backends):
            await stand_in.start()
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
            await self.add_process(front.name, "forwarder" if shape.planners else "gateway", front.port)
        await asyncio.gather(*(self.members[front.name].start() for front in self.fronts))
        await asyncio.gather(*(self.wait_ready(front) for front in self.fronts))
        self.traffic = Traffic(
            self.settings, self.audit, self.fronts, self.customers(), shape.rate, shape.seed
        )

    # relays

    def relayed(self) -> list[str]:
        """The links that go over relays: only processes open connections."""
        return [
            link
            for link in self.topology.links(self.shape.relayed)
            if self.topology.roles[link.partition(">")[0]] in ("planner", "forwarder", "gateway")
        ]

    async def start_relays(self) -> None:
        """Starts a relay for each such link; between planners, a second for forwarders' connections."""
        for name in self.relayed():
            source, _, destination = name.partition(">")
            relay = self.relays[name] = Relay(name, self.relay_target(source, destination), self.shape.seed)
            await relay.start()
            if {self.topology.roles[source], self.topology.roles[destination]} == {"planner"}:
                link = self.link_relays[name] = Relay(
                    f"{name} link", self.link_target(destination), self.shape.seed
                )
                await link.start()

    def link_target(self, planner: str) -> Callable[[], tuple[str, int]]:
        """Target of a relay that leads to a planner's port for forwarders."""
        return lambda: (HOST, self.ports[planner])

    def relays_of(self, name: str) -> list[Relay]:
        """All relays of a link, which a fault of the link affects."""
        return [relays[name] for relays in (self.relays, self.link_relays) if name in relays]

    def relay_target(self, source: str, destination: str) -> Callable[[], tuple[str, int]]:
        """Target of a link's relay: its destination's current address."""

        def target() -> tuple[str, int]:
            role = self.topology.roles[destination]
            if role == "planner":
                ports = self.council_ports if self.topology.roles[source] == "planner" else self.ports
                return HOST, ports[destination]
            stand_ins = {
                "discovery": self.discovery,
                "counter": self.counter,
                "billing": self.billing,
                **{backend.name: backend for backend in self.backends},
            }
            return HOST, stand_ins[destination].port

        return target

    def address_for(self, source: str, destination: str, address: str) -> str:
        """Address at which a process reaches another: the relay's if there is one between them."""
        relay = self.relays.get(f"{source}>{destination}")
        return address if relay is None else relay.address

    async def start_planners(self, forwarders: list[str]) -> dict[str, int]:
        """Starts the planners for forwarders of these names; returns the planners' ports."""
        names = [f"p{n}" for n in range(self.shape.planners)]
        ports = free_ports(2 * len(names))
        self.ports = dict(zip(names, ports, strict=False))
        self.council_ports = dict(zip(names, ports[len(names) :], strict=True))
        folder = Path(self.folder.name)
        (folder / "secret").write_text(secrets.token_hex(16))
        for name in forwarders:
            self.write_operator_file(name, "forwarder", forwarders)
        for name in names:
            self.write_operator_file(name, "planner", forwarders)
            await self.add_process(name, "planner", 0)
        await asyncio.gather(*(self.members[name].start() for name in names))
        return self.ports

    def write_operator_file(self, name: str, role: str, forwarders: list[str]) -> None:
        """Writes the operator file of a forwarder or planner."""
        relays = self.relays if role == "forwarder" else self.link_relays
        planners = {
            planner: relays[f"{name}>{planner}"].address
            if f"{name}>{planner}" in relays
            else f"{HOST}:{port}"
            for planner, port in self.ports.items()
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
            *(f'{planner} = "{address}"' for planner, address in planners.items()),
            "[tiers.terms]",
            *(f"{name} = {seconds}" for name, seconds in self.shape.terms.items()),
        ]
        text = "\n".join(lines) + "\n"
        if role == "planner":
            text += self.shape.operator + self.council_section(name)
        self.operator_file(name).write_text(text)

    def council_section(self, name: str) -> str:
        """Council tables of a planner's operator file, empty without a council."""
        if not self.shape.council_tables:
            return ""
        members = {
            planner: f"{HOST}:{port}"
            if planner == name
            else self.address_for(name, planner, f"{HOST}:{port}")
            for planner, port in self.council_ports.items()
        }
        billing = self.address_for(name, "billing", self.billing.address)
        lines = [
            "[council]",
            f'state = "state-{name}"',
            "[council.members]",
            *(f'{planner} = "{address}"' for planner, address in members.items()),
        ]
        return "\n".join(lines) + "\n" + self.shape.council_tables.replace("BILLING", billing)

    def operator_file(self, name: str) -> Path:
        """Path of a process's operator file."""
        return Path(self.folder.name) / f"{name}.toml"

    def state_dir(self, name: str) -> Path:
        """Directory of a planner's persistent council state."""
        return Path(self.folder.name) / f"state-{name}"

    async def copy_state(self, name: str, target: Path) -> None:
        """Copies a consistent snapshot of a planner's state directory, if it exists.

        The planner is suspended meanwhile: it renames files while it runs, and a copy could miss some.
        """
        async with self.members[name].while_suspended():
            if self.state_dir(name).exists():
                shutil.copytree(self.state_dir(name), target)

    async def add_process(self, name: str, role: str, port: int, config: str = "") -> None:
        """Adds a process without starting it; `config` names its files where `name` is in use."""
        folder = Path(self.folder.name)
        discovery, known = self.discovery.address, self.discovery.listing()
        relay_addresses = {
            b.name: self.relays[f"{name}>{b.name}"].address
            for b in self.backends
            if f"{name}>{b.name}" in self.relays
        }
        if relay_addresses:
            view = DiscoveryView(self.discovery, relay_addresses)
            await view.start()
            self.discovery_views.append(view)
            discovery, known = view.address, view.listing()
        config_document = {
            "name": name,
            "listen": f"{HOST}:{port or 1}",
            "discovery": self.address_for(name, "discovery", discovery),
            "counter": self.address_for(
                name, "counter", self.counter_addresses.get(name, self.counter.address)
            ),
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.shape.sockets},
            "known": known,
            "settings": self.settings_document,
        }
        config = config or name
        path = folder / f"{config}.json"
        path.write_text(json.dumps(config_document))
        command = [sys.executable, "-m", "embersill"]
        if role == "gateway" and self.shape.operator:
            (folder / f"{config}.toml").write_text(self.shape.operator)
        if role != "gateway" or self.shape.operator:
            command += ["--operator", str(folder / f"{config}.toml")]
        inherited = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "EMBERSILL_"))}
        self.members[config] = Member(config, role, command, {**inherited, "RELAY_CONFIG": str(path)})

    async def clone(self, name: str) -> Member:
        """Starts a second planner of the same name, with its own addresses and a copy of the disk."""
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
        await self.add_process(name, "planner", 0, config)
        await self.members[config].start()
        return self.members[config]

    async def wait_ready(self, front: Front) -> None:
        """Polls a front until it is ready, and marks it up; TimeoutError after READY_TIMEOUT_S."""
        async with asyncio.timeout(READY_TIMEOUT_S):
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
        """Customers with the plans in rotation; those of `pro` have the largest share of the traffic."""
        shape, customers = self.shape, []
        for n in range(shape.customers):
            plan = shape.plans[n % len(shape.plans)]
            weight = 3.0 if plan == "pro" else 1.0
            spread = min(2 + n % 3, shape.fronts)
            customers.append(Customer(0xC000 + n, plan, weight, self.random.randrange(shape.fronts), spread))
        return customers

    def planners(self) -> list[Member]:
        """All planners, clones included."""
        return [member for member in self.members.values() if member.role == "planner"]

    # faults

    async def disturb_planners(
        self, every: float, until: float, down: float = 1.0, paused: float = 1.5
    ) -> None:
        """Kills or pauses the planners in rotation until the loop's time `until`."""
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
        """Kills a planner and starts it again after `down` seconds."""
        self.audit.counts["planner_kills"] += 1
        await member.kill()
        await asyncio.sleep(down)
        await member.start()

    async def pause(self, member: Member, seconds: float) -> None:
        """Suspends a planner for so long."""
        self.audit.counts["planner_pauses"] += 1
        await member.pause(seconds)

    async def restart_front(self, front: Front, down: float) -> None:
        """Kills a front and restarts it; retrying its open requests is up to the clients."""
        self.audit.counts["front_kills"] += 1
        front.up = False
        await self.members[front.name].kill()
        await asyncio.sleep(down)
        await self.members[front.name].start()
        await self.wait_ready(front)

    async def drain_in_rotation(self, every: float, until: float) -> None:
        """Drains the backends in rotation, each for `every` seconds."""
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

    # shutdown

    async def stop(self) -> dict[str, int]:
        """Stops all processes, the fronts first; returns the exit codes of those that failed."""
        codes = {}
        for roles in (("forwarder", "gateway"), ("planner",)):
            stopping = [m for m in self.members.values() if m.role in roles and m.running]
            for member in stopping:
                member.earlier_cpu_s += member.cpu_seconds()
                member.resume()
                member.send(signal.SIGTERM)
            for member in stopping:
                code = await member.wait_exit()
                if code:
                    codes[member.name] = code
        self.close()
        return codes

    def close(self) -> None:
        """Kills what still runs and removes all files."""
        for member in self.members.values():
            member.kill_now()
        for stand_in in (self.discovery, self.counter, self.billing, *self.backends, *self.discovery_views):
            stand_in.close()
        for relay in (*self.relays.values(), *self.link_relays.values()):
            relay.close()
        self.folder.cleanup()

    def logs(self) -> Iterable[str]:
        """Log lines of all processes."""
        return (f"{m.name}: {line}" for m in self.members.values() for line in m.log)


async def run_with_faults(
    deployment: Deployment,
    seconds: float,
    *,
    planner_fault_every: float = 0.0,
    drain_every: float = 0.0,
    restart_front_every: float = 0.0,
) -> dict[str, Any]:
    """Runs a deployment with traffic and periodic faults, stops it and returns the figures."""
    loop = asyncio.get_running_loop()
    try:
        await deployment.start()
        until = loop.time() + seconds
        faults: list[asyncio.Task[None]] = []
        if planner_fault_every > 0 and deployment.shape.planners:
            faults.append(asyncio.create_task(deployment.disturb_planners(planner_fault_every, until)))
        if drain_every > 0:
            faults.append(asyncio.create_task(deployment.drain_in_rotation(drain_every, until)))
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
    figures: dict[str, Any] = deployment.audit.figures()
    for name in ("planner_kills", "planner_pauses", "front_kills", "drains", "no_front"):
        if counts[name]:
            figures[name] = counts[name]
    figures["bad_ends"] = codes
    figures["breaches"] = deployment.audit.breaches[:10]
    return figures


async def restart_fronts(deployment: Deployment, every: float, until: float) -> None:
    """Kills and restarts the fronts in rotation until the loop's time `until`."""
    loop, turn = asyncio.get_running_loop(), 0
    while loop.time() + 2 * every < until:
        await asyncio.sleep(every)
        front = deployment.fronts[turn % len(deployment.fronts)]
        await deployment.restart_front(front, 0.5)
        turn += 1
