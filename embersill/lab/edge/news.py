"""What gateways tell one another: bytes and messages by kind, and the processor time of the deciding parts.

A town of so many gateways and backends is played calm: backends call, requests come, tenants' demand is
summed. Heartbeats of idle links are not messages of the node's and are counted apart, by the links' own rule.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from embersill.edge.peers.links import HEARTBEAT_INTERVAL_S
from embersill.lab.edge.fleet import Machine
from embersill.lab.edge.town import Gateway, SystemSimulation, system_with_tenants

ASKED = 8.0  # requests a second and gateway
TENANTS_EACH = 0.9  # tenants a gateway
BACKENDS_EACH = 1.4  # backends a gateway
BEAT = 1.3  # seconds between a backend's calls
JOIN = 4.0  # seconds in which all link and load rises, which are not counted
HEARTBEAT = len(msgspec.json.encode({"kind": "beat"})) + 1  # bytes of a line that only says "I am here"


class MeasuredGateway(Gateway):
    """Counts the time that its deciding parts take."""

    spent = 0.0

    def timed(self, what: Callable[[], None]) -> None:
        """Calls it and adds the processor time that it took."""
        began = time.process_time()
        what()
        self.spent += time.process_time() - began

    def tick(self) -> None:
        """A tick, timed."""
        self.timed(super().tick)


class MeasuredTown(SystemSimulation):
    """A town that counts messages and their bytes, and times its gateways."""

    machine_type = MeasuredGateway

    def __init__(self, *arguments: Any, **more: Any) -> None:
        self.told: Counter[tuple[str, bool]] = Counter()  # bytes by kind, and if to another zone
        self.messages: Counter[str] = Counter()
        self.out_of: Counter[str] = Counter()  # bytes by who sent them
        self.into: Counter[str] = Counter()
        super().__init__(*arguments, **more)

    def send(self, sender: Machine, peer: str, message: Any) -> None:
        """Sends a message and counts its bytes by kind, sender and reader."""
        if peer in sender.link_active_at:
            size, kind = len(msgspec.json.encode(message)) + 1, str(message["kind"])
            if kind in ("ask", "told"):
                kind = "register"
            self.told[kind, sender.zone != self.by_name[peer].zone] += size
            self.messages[kind] += 1
            self.out_of[sender.name] += size
            self.into[peer] += size
        super().send(sender, peer, message)

    def deliver(self, sender: Machine, life: int, to: Machine, its_life: int, message: Any) -> None:
        """A message arrives; what the reader does with it is timed."""
        began = time.process_time()
        super().deliver(sender, life, to, its_life, message)
        if isinstance(to, MeasuredGateway):
            to.spent += time.process_time() - began

    def check_invariants(self, machine: Machine) -> None:
        """The rules are left to the tests: to look at all backends at each step is most of the time."""

    def clear(self) -> None:
        """Counts from nought again."""
        for counter in (self.told, self.messages, self.out_of, self.into):
            counter.clear()
        for machine in self.machines:
            if isinstance(machine, MeasuredGateway):
                machine.spent = 0.0


def beating(system: SystemSimulation, count: int, until: float) -> None:
    """Backends that call their keeper, as the answer to their last call named it."""

    def beat(number: int, calls: int, where: Machine) -> None:
        told = {
            "id": f"i-{number}",
            "service": "s",
            "address": f"10.9.{number // 250}.{number % 250}:80",
            "zone": "abc"[number % 3],
            "version": "v1",
            "capacity_slots": 4,
            "state": "ready",
            "call_sequence": calls,
            "warmup_remaining_s": 0,
        }
        heard = where.call("beat", told)

        def again() -> None:
            named = heard[0].body.get("heartbeat_address", "") if heard else ""
            to = next((m for m in system.machines if m.ip == str(named).partition(":")[0]), where)
            if system.kernel.now < until:
                beat(number, calls + 1, to)

        system.kernel.at(system.kernel.now + BEAT, again)

    for number in range(count):
        machine = system.machines[number % len(system.machines)]
        system.kernel.at(system.kernel.now + BEAT * number / count, beat, number, 1, machine)


@dataclass(frozen=True, slots=True)
class Shape:
    """A town's size, and what is asked of it."""

    gateways: int
    backends: int
    tenants: int
    asked: float = ASKED  # requests a second and gateway
    cores: int = 3  # members of the core among the gateways


def usual(gateways: int, cores: int = 0) -> Shape:
    """A town as deployments of that size are; three members of the core, six from 50 gateways on."""
    cores = cores or (6 if gateways >= 50 else 3)
    backends, tenants = int(BACKENDS_EACH * gateways), int(TENANTS_EACH * gateways)
    return Shape(gateways, max(backends, 12), max(tenants, 4), ASKED, cores)


def played(shape: Shape, seconds: float, seed: int) -> tuple[MeasuredTown, int]:
    """A town after so many calm seconds that were counted, and the bytes that it took to join."""
    quotas = {f"t{n}": (4 * shape.asked, 4 * shape.asked) for n in range(shape.tenants)}
    system = system_with_tenants(seed, shape.gateways, quotas, 4, shape.backends, MeasuredTown, shape.cores)
    assert isinstance(system, MeasuredTown)
    chance, until = system.kernel.stream("where"), system.kernel.now + seconds + JOIN
    beating(system, len(system.backends), until)
    for name in quotas:
        rate = shape.asked * shape.gateways / shape.tenants
        system.generate_traffic(name, rate, lambda: chance.choice(system.machines), until)
    system.run(JOIN)
    joined = sum(system.told.values())
    system.clear()
    system.run(seconds)
    return system, joined


def measure(
    gateways: int, seconds: float = 10.0, seed: int = 1, cores: int = 0, shape: Shape | None = None
) -> dict[str, Any]:
    """Figures of a calm town: by kind, bytes a second and gateway; the busiest gateway's; processor time.

    `shape`: in place of the usual one for so many gateways.
    """
    shape = shape or usual(gateways, cores)
    system, joined = played(shape, seconds, seed)
    unit = shape.gateways * seconds
    links = sum(len(machine.link_active_at) for machine in system.machines)
    core = [m for m in system.machines if m.core]
    edge = [m for m in system.machines if not m.core]
    spent = {m.name: m.spent / seconds for m in system.machines if isinstance(m, MeasuredGateway)}
    both_ways = system.out_of + system.into
    return {
        "gateways": shape.gateways,
        "core": shape.cores,
        "backends": len(system.backends),
        "tenants": shape.tenants,
        "bytes_a_gateway_and_s": round(sum(system.told.values()) / unit, 1),
        "between_zones": round(sum(size for (_, far), size in system.told.items() if far) / unit, 1),
        "by_kind": {
            kind: round(sum(size for (one, _), size in system.told.items() if one == kind) / unit, 2)
            for kind in sorted({kind for kind, _ in system.told})
        },
        "messages_a_gateway_and_s": round(sum(system.messages.values()) / unit, 2),
        "heartbeats_at_most": round(links / shape.gateways * HEARTBEAT / HEARTBEAT_INTERVAL_S, 1),
        "busiest_out_bytes_a_s": round(max(system.out_of.values()) / seconds),
        "busiest_in_bytes_a_s": round(max(system.into.values()) / seconds),
        "least_of_core_out_bytes_a_s": round(min(system.out_of[m.name] for m in core) / seconds),
        "edge_bytes_a_s": round(sum(both_ways[m.name] for m in edge) / max(len(edge), 1) / seconds, 1),
        "core_bytes_a_s": round(sum(both_ways[m.name] for m in core) / len(core) / seconds, 1),
        "processor_core_most": round(max(spent[m.name] for m in core), 4),
        "processor_core": round(sum(spent[m.name] for m in core) / len(core), 5),
        "processor_gateway": round(sum(spent[m.name] for m in edge) / max(len(edge), 1), 5),
        "bytes_to_join": joined,
    }
