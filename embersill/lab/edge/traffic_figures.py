"""Measures traffic between gateways, in bytes and messages by kind, and the processor time of decision code.

A system without faults is simulated: backends send heartbeats, requests arrive, tenants' demand is summed.
Heartbeats of idle links are no messages of the node; their upper bound is computed from the link interval.
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
from embersill.lab.edge.system_simulation import Gateway, SystemSimulation, system_with_tenants

REQUESTS_PER_S = 8.0  # per gateway
TENANTS_PER_GATEWAY = 0.9
BACKENDS_PER_GATEWAY = 1.4
BACKEND_HEARTBEAT_INTERVAL_S = 1.3  # between two heartbeats of a backend
WARMUP_S = 4.0  # links are established and load rises in this time, which is not counted
HEARTBEAT_BYTES = len(msgspec.json.encode({"kind": "beat"})) + 1  # a link heartbeat with its newline


class MeasuredGateway(Gateway):
    """A gateway that measures the processor time of its decision code."""

    processor_time_s = 0.0

    def timed(self, function: Callable[[], None]) -> None:
        """Calls the function and adds up the processor time that it takes."""
        began = time.process_time()
        function()
        self.processor_time_s += time.process_time() - began

    def tick(self) -> None:
        """Runs and times a tick."""
        self.timed(super().tick)


class MeasuredSystem(SystemSimulation):
    """A simulation that counts messages and their bytes, and times its gateways."""

    machine_type = MeasuredGateway

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.bytes_by_kind: Counter[tuple[str, bool]] = Counter()  # by message kind and whether between zones
        self.messages: Counter[str] = Counter()
        self.bytes_sent: Counter[str] = Counter()  # by sender
        self.bytes_received: Counter[str] = Counter()
        super().__init__(*arguments, **options)

    def send(self, sender: Machine, peer_name: str, message: Any) -> None:
        """Sends a message and counts its bytes by kind, sender and reader."""
        if peer_name in sender.link_active_at:
            size, kind = len(msgspec.json.encode(message)) + 1, str(message["kind"])
            if kind in ("ask", "told"):
                kind = "register"
            self.bytes_by_kind[kind, sender.zone != self.by_name[peer_name].zone] += size
            self.messages[kind] += 1
            self.bytes_sent[sender.name] += size
            self.bytes_received[peer_name] += size
        super().send(sender, peer_name, message)

    def deliver(
        self, sender: Machine, sender_life: int, receiver: Machine, receiver_life: int, message: Any
    ) -> None:
        """Delivers a message and times how the receiver processes it."""
        began = time.process_time()
        super().deliver(sender, sender_life, receiver, receiver_life, message)
        if isinstance(receiver, MeasuredGateway):
            receiver.processor_time_s += time.process_time() - began

    def check_invariants(self, machine: Machine) -> None:
        """Does nothing: checking all backends at each step would take most of the time; the tests do that."""

    def reset_counters(self) -> None:
        """Sets all counters to zero."""
        for counter in (self.bytes_by_kind, self.messages, self.bytes_sent, self.bytes_received):
            counter.clear()
        for machine in self.machines:
            if isinstance(machine, MeasuredGateway):
                machine.processor_time_s = 0.0


def add_heartbeats(system: SystemSimulation, count: int, until: float) -> None:
    """Adds backends that send heartbeats to the gateway which the last answer named."""

    def beat(number: int, calls: int, gateway: Machine) -> None:
        body = {
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
        verdicts = gateway.call("beat", body)

        def beat_again() -> None:
            address = verdicts[0].body.get("heartbeat_address", "") if verdicts else ""
            next_gateway = next(
                (m for m in system.machines if m.ip == str(address).partition(":")[0]), gateway
            )
            if system.kernel.now < until:
                beat(number, calls + 1, next_gateway)

        system.kernel.at(system.kernel.now + BACKEND_HEARTBEAT_INTERVAL_S, beat_again)

    for number in range(count):
        machine = system.machines[number % len(system.machines)]
        system.kernel.at(
            system.kernel.now + BACKEND_HEARTBEAT_INTERVAL_S * number / count, beat, number, 1, machine
        )


@dataclass(frozen=True, slots=True)
class Shape:
    """The size and load of a simulated system."""

    gateways: int
    backends: int
    tenants: int
    asked: float = REQUESTS_PER_S  # requests a second per gateway
    cores: int = 3  # core members among the gateways


def typical_shape(gateways: int, cores: int = 0) -> Shape:
    """The shape of a typical deployment of that size; three core members, six from 50 gateways on."""
    cores = cores or (6 if gateways >= 50 else 3)
    backends, tenants = int(BACKENDS_PER_GATEWAY * gateways), int(TENANTS_PER_GATEWAY * gateways)
    return Shape(gateways, max(backends, 12), max(tenants, 4), REQUESTS_PER_S, cores)


def run_warmed_up(shape: Shape, seconds: float, seed: int) -> tuple[MeasuredSystem, int]:
    """Runs a system for the measured seconds; returns it, and the bytes sent while it warmed up."""
    quotas = {f"t{n}": (4 * shape.asked, 4 * shape.asked) for n in range(shape.tenants)}
    system = system_with_tenants(seed, shape.gateways, quotas, 4, shape.backends, MeasuredSystem, shape.cores)
    assert isinstance(system, MeasuredSystem)
    chance, until = system.kernel.stream("where"), system.kernel.now + seconds + WARMUP_S
    add_heartbeats(system, len(system.backends), until)
    for name in quotas:
        rate = shape.asked * shape.gateways / shape.tenants
        system.generate_traffic(name, rate, lambda: chance.choice(system.machines), until)
    system.run(WARMUP_S)
    warmup_bytes = sum(system.bytes_by_kind.values())
    system.reset_counters()
    system.run(seconds)
    return system, warmup_bytes


def measure(
    gateways: int, seconds: float = 10.0, seed: int = 1, cores: int = 0, shape: Shape | None = None
) -> dict[str, Any]:
    """Figures of a system without faults: bytes by kind, the busiest gateway's bytes, processor time.

    `shape` replaces the typical shape for that number of gateways.
    """
    shape = shape or typical_shape(gateways, cores)
    system, warmup_bytes = run_warmed_up(shape, seconds, seed)
    gateway_seconds = shape.gateways * seconds
    links = sum(len(machine.link_active_at) for machine in system.machines)
    core = [m for m in system.machines if m.core]
    edge = [m for m in system.machines if not m.core]
    processor_share = {
        m.name: m.processor_time_s / seconds for m in system.machines if isinstance(m, MeasuredGateway)
    }
    bytes_both_ways = system.bytes_sent + system.bytes_received
    return {
        "gateways": shape.gateways,
        "core": shape.cores,
        "backends": len(system.backends),
        "tenants": shape.tenants,
        "bytes_a_gateway_and_s": round(sum(system.bytes_by_kind.values()) / gateway_seconds, 1),
        "between_zones": round(
            sum(size for (_, between_zones), size in system.bytes_by_kind.items() if between_zones)
            / gateway_seconds,
            1,
        ),
        "by_kind": {
            kind: round(
                sum(size for (message_kind, _), size in system.bytes_by_kind.items() if message_kind == kind)
                / gateway_seconds,
                2,
            )
            for kind in sorted({kind for kind, _ in system.bytes_by_kind})
        },
        "messages_a_gateway_and_s": round(sum(system.messages.values()) / gateway_seconds, 2),
        "heartbeats_at_most": round(links / shape.gateways * HEARTBEAT_BYTES / HEARTBEAT_INTERVAL_S, 1),
        "busiest_out_bytes_a_s": round(max(system.bytes_sent.values()) / seconds),
        "busiest_in_bytes_a_s": round(max(system.bytes_received.values()) / seconds),
        "least_of_core_out_bytes_a_s": round(min(system.bytes_sent[m.name] for m in core) / seconds),
        "edge_bytes_a_s": round(sum(bytes_both_ways[m.name] for m in edge) / max(len(edge), 1) / seconds, 1),
        "core_bytes_a_s": round(sum(bytes_both_ways[m.name] for m in core) / len(core) / seconds, 1),
        "processor_core_most": round(max(processor_share[m.name] for m in core), 4),
        "processor_core": round(sum(processor_share[m.name] for m in core) / len(core), 5),
        "processor_gateway": round(sum(processor_share[m.name] for m in edge) / max(len(edge), 1), 5),
        "bytes_to_join": warmup_bytes,
    }
