"""The operator of the soak: changes, races and invalid ones, each sent again until its answer is clear."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from embersill.rig.hall import GatewayCluster
from embersill.rig.soak.record import Change

TRIES = 12  # sends of one change
PAUSE = 0.2  # seconds between them
CLEAR = frozenset((200, 400, 412))


class Operator:
    """Sends changes to gateways that may be down, and notes each answer."""

    def __init__(self, cluster: GatewayCluster, changes: list[Change], clock: Callable[[], float]) -> None:
        self.cluster, self.changes, self.clock = cluster, changes, clock
        self.version, self.highest = 1, 1  # the newest that is known to be taken, and that was ever sent
        self.lock = asyncio.Lock()

    async def change(self, gateway: int) -> None:
        """One proper change."""
        async with self.lock:
            await self.send(self.next_change(valid=True), gateway)
            await self.learn(gateway)

    async def race(self, gateway: int) -> None:
        """Two changes on the same version at once, at two gateways: one wins at most."""
        async with self.lock:
            pair = [self.next_change(valid=True), self.next_change(valid=True)]
            await asyncio.gather(*(self.send(one, gateway + place) for place, one in enumerate(pair)))
            await self.learn(gateway)

    async def invalid(self, gateway: int) -> None:
        """A change that names a service which there is none of."""
        async with self.lock:
            await self.send(self.next_change(valid=False), gateway)

    def next_change(self, valid: bool) -> Change:
        """The entry of a change that is about to be sent."""
        self.highest += 1
        change = Change(self.highest, self.version, valid, self.clock())
        self.changes.append(change)
        return change

    def document(self, change: Change) -> dict[str, Any]:
        """The configuration that a change brings; each has another timeout, so that all differ."""
        document = self.cluster.configuration(change.version, change.based_on)
        document["routes"]["ask"]["timeout_s"] = 8.0 + change.version / 1000.0
        if not change.valid:
            document["routes"]["ask"]["service"] = "unknown"
        return document

    async def send(self, change: Change, gateway: int) -> None:
        """Sends a change, from gateway to gateway, until its answer is clear."""
        document = self.document(change)
        for number in range(TRIES):
            where = (gateway + number) % self.cluster.size
            status, _ = await self.cluster.control(where, "PUT", "/api/configuration", document)
            change.statuses.append(status)
            if status in CLEAR:
                if status == 200:
                    self.version = max(self.version, change.version)
                return
            await asyncio.sleep(PAUSE)

    async def learn(self, gateway: int) -> None:
        """Reads the newest version back: a change whose answer was never clear may be in force."""
        for number in range(TRIES):
            version = await self.read((gateway + number) % self.cluster.size)
            if version:
                self.version = max(self.version, version)
                return
            await asyncio.sleep(PAUSE)

    async def read(self, gateway: int) -> int:
        """The version that a gateway reads back; 0 without an answer."""
        status, told = await self.cluster.control(gateway, "GET", "/api/configuration")
        return int(told["version"], 16) if status == 200 else 0
