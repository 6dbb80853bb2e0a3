"""Operator of the soak: valid, racing and invalid changes, each sent again until its result is known."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from embersill.rig.gateway_cluster import GatewayCluster
from embersill.rig.soak.record import Change

MAX_SENDS = 12  # of one change
SEND_INTERVAL_S = 0.2
FINAL_STATUSES = frozenset((200, 400, 412))


class Operator:
    """Sends configuration changes to gateways that may be down, and records each answer."""

    def __init__(self, cluster: GatewayCluster, changes: list[Change], clock: Callable[[], float]) -> None:
        self.cluster, self.changes, self.clock = cluster, changes, clock
        self.version, self.last_sent = 1, 1  # the newest known to be accepted, and the newest sent
        self.lock = asyncio.Lock()

    async def change(self, gateway: int) -> None:
        """Sends a valid change."""
        async with self.lock:
            await self.send(self.next_change(valid=True), gateway)
            await self.refresh_version(gateway)

    async def race(self, gateway: int) -> None:
        """Sends two changes based on the same version at once: at most one may be accepted."""
        async with self.lock:
            pair = [self.next_change(valid=True), self.next_change(valid=True)]
            await asyncio.gather(*(self.send(change, gateway + offset) for offset, change in enumerate(pair)))
            await self.refresh_version(gateway)

    async def invalid(self, gateway: int) -> None:
        """Sends a change that names an unknown service."""
        async with self.lock:
            await self.send(self.next_change(valid=False), gateway)

    def next_change(self, valid: bool) -> Change:
        """Records a change that is about to be sent."""
        self.last_sent += 1
        change = Change(self.last_sent, self.version, valid, self.clock())
        self.changes.append(change)
        return change

    def document(self, change: Change) -> dict[str, Any]:
        """Configuration document of a change; each has another timeout, so that all differ."""
        document = self.cluster.configuration(change.version, change.based_on)
        document["routes"]["ask"]["timeout_s"] = 8.0 + change.version / 1000.0
        if not change.valid:
            document["routes"]["ask"]["service"] = "unknown"
        return document

    async def send(self, change: Change, gateway: int) -> None:
        """Sends a change to one gateway after the other until its result is known."""
        document = self.document(change)
        for number in range(MAX_SENDS):
            target = (gateway + number) % self.cluster.size
            status, _ = await self.cluster.control(target, "PUT", "/api/configuration", document)
            change.statuses.append(status)
            if status in FINAL_STATUSES:
                if status == 200:
                    self.version = max(self.version, change.version)
                return
            await asyncio.sleep(SEND_INTERVAL_S)

    async def refresh_version(self, gateway: int) -> None:
        """Reads the newest version: a change whose result never became known may be in force."""
        for number in range(MAX_SENDS):
            version = await self.read((gateway + number) % self.cluster.size)
            if version:
                self.version = max(self.version, version)
                return
            await asyncio.sleep(SEND_INTERVAL_S)

    async def read(self, gateway: int) -> int:
        """Version of a gateway's configuration; 0 without an answer."""
        status, answer = await self.cluster.control(gateway, "GET", "/api/configuration")
        return int(answer["version"], 16) if status == 200 else 0
