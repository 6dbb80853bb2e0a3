"""Runs a schedule of the soak on real processes and returns the record."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import aiohttp

from embersill.rig.gateway_cluster import ZONES, GatewayCluster
from embersill.rig.soak.backends import SoakBackend
from embersill.rig.soak.clients import Clients
from embersill.rig.soak.judge import GAUGES, GRACE_PERIOD_S
from embersill.rig.soak.lives import Life
from embersill.rig.soak.operator import Operator
from embersill.rig.soak.record import IdleState, InjectedFault, Record
from embersill.rig.soak.schedule import CORE_GATEWAYS, Action, FaultKind, Schedule, ScheduledFault

TARGET_LATENCY_S = 4.0  # attempts are kept for longer than the longest work
ROUTE_TIMEOUT_S = 8.0  # of the routes
TENANTS = {"wide": (1000.0, 1000.0), "tight": (5.0, 5.0)}  # requests a second, and burst
STARVED_SHARE = 0.3  # of each 0.1 s in which the process runs
HUP_COUNT, HUP_INTERVAL_S = 5, 0.1  # of a series of signals
KILL_DELAY_S = 0.3  # from SIGTERM to SIGKILL
STALL_THRESHOLD_S = 0.5  # by which the soak itself runs late in a stall
POLL_INTERVAL_S = 0.05
QUIET_TIMEOUT_S = 15.0  # after the run, until nothing is in flight


class SoakCluster(GatewayCluster):
    """A cluster whose routes let a backend work for seconds."""

    def configuration(self, version: int = 1, based_on: int = 0) -> dict[str, Any]:
        """A configuration with long timeouts and target latencies."""
        document = super().configuration(version, based_on)
        for route in document["routes"].values():
            route["timeout_s"], route["target_latency_s"] = ROUTE_TIMEOUT_S, TARGET_LATENCY_S
        return document


class SoakRun:
    """One run of a schedule."""

    def __init__(self, schedule: Schedule, folder: Path, environ: Mapping[str, str] | None = None) -> None:
        """`folder`: for settings and disks. `environ`: additional variables for the gateways' processes."""
        self.schedule, self.record, self.began = schedule, Record(quotas=dict(TENANTS)), 0.0
        kinds = schedule.backends
        self.backends: list[SoakBackend] = []
        self.drain_lock = asyncio.Lock()

        def backend(cluster: GatewayCluster, number: int) -> SoakBackend:
            soak_backend = SoakBackend(cluster, number, kinds[number], self.record.runs, self.clock)
            self.backends.append(soak_backend)
            return soak_backend

        self.cluster = SoakCluster(
            folder,
            schedule.gateways,
            len(kinds),
            schedule.seed,
            TENANTS,
            make_backend=backend,
            grace=GRACE_PERIOD_S,
            environ=environ,
        )
        self.operator = Operator(self.cluster, self.record.changes, self.clock)
        self.clients = Clients(self.cluster, self.record.tries, self.clock)
        self.lives: list[Life] = []
        self.handlers: dict[FaultKind, Callable[[Life, ScheduledFault], Awaitable[None]]] = {
            FaultKind.HUP: self.hup,
            FaultKind.HUP_SERIES: self.hup_series,
            FaultKind.TERM: self.term,
            FaultKind.TERM_IN_CHANGE: self.term_in_change,
            FaultKind.KILL: self.kill,
            FaultKind.KILL_IN_DRAIN: self.kill_in_drain,
            FaultKind.STOP: self.stop,
            FaultKind.STARVE: self.starve,
            FaultKind.ZONE: self.zone,
            FaultKind.CORE_ROLL: self.core_roll,
            FaultKind.WIPE: self.wipe,
            FaultKind.PORT_HELD: self.port_held,
            FaultKind.DISK_FULL: self.disk_full,
            FaultKind.RELEASE: self.release,
            FaultKind.CHANGE: self.change,
            FaultKind.RACE: self.race,
            FaultKind.INVALID: self.invalid,
        }

    def clock(self) -> float:
        """Seconds since traffic began."""
        return time.monotonic() - self.began

    async def run(self) -> Record:
        """Starts the cluster, runs the schedule, waits until nothing is in flight, and stops everything."""
        async with self.cluster:
            self.began = time.monotonic()
            self.record.runs.clear()
            self.lives = [
                Life(self.cluster, n, self.record.exits, self.clock) for n in range(self.cluster.size)
            ]
            stall_detector = asyncio.create_task(self.detect_stalls())
            try:
                await asyncio.gather(self.run_clients(), self.inject_faults())
                await self.wait_quiet()
            finally:
                stall_detector.cancel()
                for life in self.lives:
                    life.closing = True
                    life.member.resume()
        for life in self.lives:
            life.watching.cancel()
        return self.record

    async def detect_stalls(self) -> None:
        """Records when the soak itself was stalled: times measured then are not reliable."""
        while True:
            due = self.clock() + POLL_INTERVAL_S
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.clock() - due > STALL_THRESHOLD_S:
                self.record.stalls.append((due, self.clock()))
            running = sum(life.member.running for life in self.lives)
            self.record.processes_most = max(self.record.processes_most, running + 1)

    async def run_clients(self) -> None:
        """Runs all clients."""
        actions: dict[int, list[Action]] = defaultdict(list)
        for action in self.schedule.actions:
            actions[action.client].append(action)
        await asyncio.gather(*(self.clients.run_client(client, own) for client, own in actions.items()))

    async def inject_faults(self) -> None:
        """Injects all faults, each at its time, independently of each other."""
        await asyncio.gather(*(self.inject_fault(fault) for fault in self.schedule.troubles))

    async def inject_fault(self, fault: ScheduledFault) -> None:
        """Injects one fault at its time."""
        await asyncio.sleep(max(fault.at - self.clock(), 0.0))
        effect = self.handlers[fault.kind](self.lives[fault.gateway], fault)
        await self.record_fault(fault.kind, fault.gateway, effect)

    async def record_fault(self, kind: FaultKind, gateway: int, effect: Awaitable[None]) -> None:
        """Records the time of a fault at a gateway, which may be a part of another fault."""
        injected = InjectedFault(kind, gateway, self.clock(), float("inf"))
        self.record.struck.append(injected)
        await effect
        injected.ended = self.clock()

    async def hup(self, life: Life, fault: ScheduledFault) -> None:
        """Sends SIGHUP: the settings are read again."""
        await life.hang_up()

    async def hup_series(self, life: Life, fault: ScheduledFault) -> None:
        """Sends a series of SIGHUPs."""
        for _ in range(HUP_COUNT):
            await life.hang_up()
            await asyncio.sleep(HUP_INTERVAL_S)

    async def term(self, life: Life, fault: ScheduledFault) -> None:
        """Restarts the gateway in order."""
        before = life.member.start_count
        await life.terminate(GRACE_PERIOD_S)
        await life.until_ready(before)

    async def term_in_change(self, life: Life, fault: ScheduledFault) -> None:
        """Restarts a gateway in order while it accepts a change."""
        changing = asyncio.create_task(self.operator.change(fault.gateway))
        await asyncio.sleep(0)
        await self.term(life, fault)
        await changing

    async def kill(self, life: Life, fault: ScheduledFault) -> None:
        """Kills the process."""
        before = life.member.start_count
        life.kill()
        await life.until_ready(before)

    async def kill_in_drain(self, life: Life, fault: ScheduledFault) -> None:
        """Kills the process while it shuts down."""
        before = life.member.start_count
        life.signal(signal.SIGTERM)
        await asyncio.sleep(KILL_DELAY_S)
        life.kill()
        await life.until_ready(before)

    async def stop(self, life: Life, fault: ScheduledFault) -> None:
        """Suspends the process for some seconds."""
        await life.member.pause(fault.seconds)

    async def starve(self, life: Life, fault: ScheduledFault) -> None:
        """Limits the CPU time of the process: it runs for a share of each 0.1 s at full speed."""
        await life.member.starve(fault.seconds, STARVED_SHARE)

    async def zone(self, life: Life, fault: ScheduledFault) -> None:
        """Kills all processes of a zone at once."""
        zone_gateways = [n for n in range(self.cluster.size) if n % len(ZONES) == fault.gateway % len(ZONES)]
        kills = (self.record_fault(FaultKind.KILL, n, self.kill(self.lives[n], fault)) for n in zone_gateways)
        await asyncio.gather(*kills)

    async def core_roll(self, life: Life, fault: ScheduledFault) -> None:
        """Restarts the core gateways one by one, with a change after each."""
        for number in range(min(CORE_GATEWAYS, self.cluster.size)):
            await self.record_fault(FaultKind.TERM, number, self.term(self.lives[number], fault))
            await self.operator.change(number)

    async def wipe(self, life: Life, fault: ScheduledFault) -> None:
        """Kills the process; a core gateway loses its disk."""
        before = life.member.start_count
        life.kill(wipes=fault.gateway < CORE_GATEWAYS)
        await life.until_ready(before)

    async def port_held(self, life: Life, fault: ScheduledFault) -> None:
        """Kills the process, and another socket listens at its port for a while."""
        before = life.member.start_count
        await life.hold_port(fault.seconds)
        await life.until_ready(before)

    async def disk_full(self, life: Life, fault: ScheduledFault) -> None:
        """Makes writes to the gateway's disk fail."""
        await life.fill_disk(fault.seconds)

    async def release(self, life: Life, fault: ScheduledFault) -> None:
        """Drains and stops a backend, and starts another in its place."""
        async with self.drain_lock:
            chosen = self.backends[len(self.record.drains) % len(self.backends)]
            await chosen.drain(self.record.drains)

    async def change(self, life: Life, fault: ScheduledFault) -> None:
        """Sends a configuration change."""
        await self.operator.change(fault.gateway)

    async def race(self, life: Life, fault: ScheduledFault) -> None:
        """Sends two configuration changes at once."""
        await self.operator.race(fault.gateway)

    async def invalid(self, life: Life, fault: ScheduledFault) -> None:
        """Sends an invalid configuration change."""
        await self.operator.invalid(fault.gateway)

    async def wait_quiet(self) -> None:
        """Waits until nothing is in flight at any gateway, and records the state of each."""
        end = self.clock() + QUIET_TIMEOUT_S
        while True:
            self.record.calm = [await self.read_state(number) for number in range(self.cluster.size)]
            quiet = all(self.is_quiet(state) for state in self.record.calm)
            if quiet or self.clock() > end:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def is_quiet(self, state: IdleState) -> bool:
        """True if nothing is in flight at a gateway and it has the newest configuration."""
        counts = [state.figures.get(f"embersill_{name}", 1.0) for name in GAUGES]
        return not any(counts) and state.version >= self.operator.version

    async def read_state(self, number: int) -> IdleState:
        """Current state of one gateway."""
        process = self.lives[number].member.process
        assert process is not None
        try:
            descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        except OSError:
            descriptors = 0
        version = await self.operator.read(number)
        return IdleState(number, await self.figures(number), version, descriptors)

    async def figures(self, number: int) -> dict[str, float]:
        """A gateway's metrics; empty without an answer."""
        url = f"http://{self.cluster.ip(number)}:{self.cluster.ports[1]}/api/metrics"
        try:
            async with self.cluster.session.get(url, timeout=aiohttp.ClientTimeout(1.0)) as answer:
                lines = (await answer.text()).splitlines()
        except (aiohttp.ClientError, TimeoutError):
            return {}
        return {name: float(value) for name, _, value in (line.rpartition(" ") for line in lines)}

    def logs(self) -> list[str]:
        """Log lines of all processes."""
        return [line for gateway in self.cluster.gateways for line in gateway.log]
