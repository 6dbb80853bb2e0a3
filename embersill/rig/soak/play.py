"""Plays a schedule of the soak on real processes, and returns what was seen."""

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

from embersill.rig.hall import ZONES, GatewayCluster
from embersill.rig.soak.backends import SoakBackend
from embersill.rig.soak.clients import Clients
from embersill.rig.soak.judge import GAUGES, GRACE_PERIOD_S
from embersill.rig.soak.lives import Life
from embersill.rig.soak.operator import Operator
from embersill.rig.soak.record import IdleState, InjectedFault, Record
from embersill.rig.soak.schedule import CORE_GATEWAYS, Action, FaultKind, Schedule, ScheduledFault

AIM = 4.0  # seconds: attempts are kept on for longer than the longest work
TIMEOUT = 8.0  # seconds, by the routes
TENANTS = {"wide": (1000.0, 1000.0), "tight": (5.0, 5.0)}  # requests a second, and burst
STARVED_SHARE = 0.3  # of each tenth of a second
HUPS, HUP_GAP = 5, 0.1  # signals of a series, and seconds between them
KILLED_AFTER = 0.3  # seconds from a SIGTERM to the SIGKILL that meets it
STALLED = 0.5  # seconds by which the soak itself comes late that count as a stall
LOOK_EVERY = 0.05
CALM_WITHIN = 15.0  # seconds after the run until nothing is under way


class SoakCluster(GatewayCluster):
    """A hall whose routes let a backend work for seconds."""

    def configuration(self, version: int = 1, based_on: int = 0) -> dict[str, Any]:
        """A configuration with long timeouts and aims."""
        document = super().configuration(version, based_on)
        for route in document["routes"].values():
            route["timeout_s"], route["target_latency_s"] = TIMEOUT, AIM
        return document


class Play:
    """One run."""

    def __init__(self, schedule: Schedule, folder: Path, environ: Mapping[str, str] | None = None) -> None:
        """`folder`: for settings and disks. `environ`: more variables for the gateways' processes."""
        self.schedule, self.record, self.began = schedule, Record(quotas=dict(TENANTS)), 0.0
        kinds = schedule.backends
        self.backends: list[SoakBackend] = []
        self.releasing = asyncio.Lock()

        def backend(cluster: GatewayCluster, number: int) -> SoakBackend:
            made = SoakBackend(cluster, number, kinds[number], self.record.runs, self.clock)
            self.backends.append(made)
            return made

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
        self.strikes: dict[FaultKind, Callable[[Life, ScheduledFault], Awaitable[None]]] = {
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

    async def play(self) -> Record:
        """Starts all, plays the schedule, waits for calm, and ends all."""
        async with self.cluster:
            self.began = time.monotonic()
            self.record.runs.clear()
            self.lives = [
                Life(self.cluster, n, self.record.exits, self.clock) for n in range(self.cluster.size)
            ]
            watching = asyncio.create_task(self.watch_itself())
            try:
                await asyncio.gather(self.traffic(), self.troubles())
                await self.until_calm()
            finally:
                watching.cancel()
                for life in self.lives:
                    life.closing = True
                    life.member.resume()
        for life in self.lives:
            life.watching.cancel()
        return self.record

    async def watch_itself(self) -> None:
        """Notes when the soak itself stood still: what it saw then is not to be trusted in its times."""
        while True:
            due = self.clock() + LOOK_EVERY
            await asyncio.sleep(LOOK_EVERY)
            if self.clock() - due > STALLED:
                self.record.stalls.append((due, self.clock()))
            running = sum(life.member.running for life in self.lives)
            self.record.processes_most = max(self.record.processes_most, running + 1)

    async def traffic(self) -> None:
        """All clients do what they do."""
        actions: dict[int, list[Action]] = defaultdict(list)
        for action in self.schedule.actions:
            actions[action.client].append(action)
        await asyncio.gather(*(self.clients.play(client, some) for client, some in actions.items()))

    async def troubles(self) -> None:
        """All troubles, each at its time, whatever else goes on."""
        await asyncio.gather(*(self.strike(trouble) for trouble in self.schedule.troubles))

    async def strike(self, trouble: ScheduledFault) -> None:
        """One trouble."""
        await asyncio.sleep(max(trouble.at - self.clock(), 0.0))
        during = self.strikes[trouble.kind](self.lives[trouble.gateway], trouble)
        await self.noted(trouble.kind, trouble.gateway, during)

    async def noted(self, kind: FaultKind, gateway: int, during: Awaitable[None]) -> None:
        """Notes from when to when a gateway is in a trouble, which may be a part of another one."""
        struck = InjectedFault(kind, gateway, self.clock(), float("inf"))
        self.record.struck.append(struck)
        await during
        struck.ended = self.clock()

    async def hup(self, life: Life, trouble: ScheduledFault) -> None:
        """The settings are read again."""
        await life.hang_up()

    async def hup_series(self, life: Life, trouble: ScheduledFault) -> None:
        """The settings are read again, and again."""
        for _ in range(HUPS):
            await life.hang_up()
            await asyncio.sleep(HUP_GAP)

    async def term(self, life: Life, trouble: ScheduledFault) -> None:
        """A planned restart."""
        before = life.member.start_count
        await life.terminate(GRACE_PERIOD_S)
        await life.until_ready(before)

    async def term_in_change(self, life: Life, trouble: ScheduledFault) -> None:
        """A planned restart of the gateway that is just taking a change."""
        changing = asyncio.create_task(self.operator.change(trouble.gateway))
        await asyncio.sleep(0)
        await self.term(life, trouble)
        await changing

    async def kill(self, life: Life, trouble: ScheduledFault) -> None:
        """The process ends without a word."""
        before = life.member.start_count
        life.kill()
        await life.until_ready(before)

    async def kill_in_drain(self, life: Life, trouble: ScheduledFault) -> None:
        """The process is told to end, and ends before it has."""
        before = life.member.start_count
        life.signal(signal.SIGTERM)
        await asyncio.sleep(KILLED_AFTER)
        life.kill()
        await life.until_ready(before)

    async def stop(self, life: Life, trouble: ScheduledFault) -> None:
        """The process stands still for some seconds."""
        await life.member.pause(trouble.seconds)

    async def starve(self, life: Life, trouble: ScheduledFault) -> None:
        """The process has a quota of the processor: full speed, then nothing for the rest of a tenth."""
        await life.member.starve(trouble.seconds, STARVED_SHARE)

    async def zone(self, life: Life, trouble: ScheduledFault) -> None:
        """All processes of a zone end at once."""
        there = [n for n in range(self.cluster.size) if n % len(ZONES) == trouble.gateway % len(ZONES)]
        killed = (self.noted(FaultKind.KILL, n, self.kill(self.lives[n], trouble)) for n in there)
        await asyncio.gather(*killed)

    async def core_roll(self, life: Life, trouble: ScheduledFault) -> None:
        """The core ends one by one, with a change between."""
        for number in range(min(CORE_GATEWAYS, self.cluster.size)):
            await self.noted(FaultKind.TERM, number, self.term(self.lives[number], trouble))
            await self.operator.change(number)

    async def wipe(self, life: Life, trouble: ScheduledFault) -> None:
        """The process ends, and its disk is lost."""
        before = life.member.start_count
        life.kill(wipes=trouble.gateway < CORE_GATEWAYS)
        await life.until_ready(before)

    async def port_held(self, life: Life, trouble: ScheduledFault) -> None:
        """The process ends, and somebody else listens at its port for a while."""
        before = life.member.start_count
        await life.hold_port(trouble.seconds)
        await life.until_ready(before)

    async def disk_full(self, life: Life, trouble: ScheduledFault) -> None:
        """The disk of a gateway takes no more bytes."""
        await life.fill_disk(trouble.seconds)

    async def release(self, life: Life, trouble: ScheduledFault) -> None:
        """A backend drains and ends, and another one comes in its place."""
        async with self.releasing:
            chosen = self.backends[len(self.record.drains) % len(self.backends)]
            await chosen.drain(self.record.drains)

    async def change(self, life: Life, trouble: ScheduledFault) -> None:
        """The operator changes the configuration."""
        await self.operator.change(trouble.gateway)

    async def race(self, life: Life, trouble: ScheduledFault) -> None:
        """Two operators change the configuration at once."""
        await self.operator.race(trouble.gateway)

    async def invalid(self, life: Life, trouble: ScheduledFault) -> None:
        """The operator sends what can't be taken."""
        await self.operator.invalid(trouble.gateway)

    async def until_calm(self) -> None:
        """Waits until nothing is under way at any gateway, and notes how each stands then."""
        end = self.clock() + CALM_WITHIN
        while True:
            self.record.calm = [await self.look(number) for number in range(self.cluster.size)]
            settled = all(self.is_calm(calm) for calm in self.record.calm)
            if settled or self.clock() > end:
                return
            await asyncio.sleep(LOOK_EVERY)

    def is_calm(self, calm: IdleState) -> bool:
        """True if nothing is under way at a gateway, and it has the newest configuration."""
        counts = [calm.figures.get(f"embersill_{name}", 1.0) for name in GAUGES]
        return not any(counts) and calm.version >= self.operator.version

    async def look(self, number: int) -> IdleState:
        """What one gateway tells of itself now."""
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
        """What all processes wrote."""
        return [line for gateway in self.cluster.gateways for line in gateway.log]
