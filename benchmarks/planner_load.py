"""Forwarders without clients: they ask a planner as fast as it answers, over the real links.

Run by benchmarks.tiers as a process of its own for each planner, so that the planner is what is full.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from functools import partial
from pathlib import Path

import uvloop

from embersill.tiers.frames import Dialler
from embersill.tiers.links import ForwarderLine, ForwarderLink
from embersill.tiers.messages import AnyMessage, Ask, Batch, Beat, Echo, Ended, Grant, Lend
from embersill.tiers.terms import Terms
from embersill.tiers.wire import Secret, deployment_digest

CUSTOMERS = 1000


class Load:
    """One named forwarder that lends all parts to one planner and keeps so many requests open there."""

    def __init__(
        self, name: str, names: list[str], planner: str, port: int, secret: bytes, parts: int, most_open: int
    ) -> None:
        self.name, self.parts, self.most_open = name, parts, most_open
        self.secret = Secret(secret, deployment_digest(names, parts, Terms()))
        self.most_frame, self.most_unsent = 1 << 20, 64 << 20
        self.loop = asyncio.get_running_loop()
        self.clock = time.monotonic
        self.asks = self.decided = 0
        # stands in for a forwarder's links and its core: the line tells both of its session
        self.core, self.life, self.planners = self, name, {planner: ("127.0.0.1", port)}
        self.terms = Terms()
        self.line = ForwarderLine(self, planner)  # type: ignore[arg-type]
        self.dialler = Dialler(partial(ForwarderLink, self, self.line, ""), self.planners[planner])  # type: ignore[arg-type]
        self.loop.call_later(0.05, self.tick)

    def tick(self) -> None:
        self.line.tick()
        self.loop.call_later(0.05, self.tick)

    def link_up(self, planner: str, incarnation: str, now: float) -> None:
        self.line.endpoint.send(
            [Lend(list(range(self.parts)), 60.0, 0.0), *(self.ask() for _ in range(self.most_open))]
        )

    def link_lost(self, planner: str, now: float) -> None: ...

    def link_down(self, planner: str, now: float) -> None: ...

    def perform(self, actions: None) -> None: ...

    def ask(self) -> Ask:
        self.asks += 1
        return Ask(self.asks, "lookup", "free", f"{self.asks % CUSTOMERS:016x}", 5.0, 1.0, False)

    def heard(self, planner: str, batch: Batch) -> None:
        said: list[AnyMessage] = []
        for message in batch.messages:
            if isinstance(message, Grant):
                said.append(Ended(message.ask, message.attempt, message.backend, "served", 0.02, True, 1.0))
            elif isinstance(message, Beat):
                said.append(Echo(message.number))
                continue
            else:
                continue
            self.decided += 1
            said.append(self.ask())
        if said:
            self.line.endpoint.send(said)


async def main() -> None:
    port, planner, secret, named, seconds = sys.argv[1:6]
    names = named.split(",")
    key = Path(secret).read_bytes().strip()
    loads = [Load(name, names, planner, int(port), key, 64, 64) for name in names]
    await asyncio.sleep(1.0)
    before, began = sum(load.decided for load in loads), time.monotonic()
    print("began", flush=True)
    await asyncio.sleep(float(seconds))
    decided = sum(load.decided for load in loads) - before
    print(json.dumps({"decided": decided, "seconds": time.monotonic() - began}), flush=True)


if __name__ == "__main__":
    uvloop.run(main())
