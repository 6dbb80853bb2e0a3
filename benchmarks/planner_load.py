"""A load generator for planners: forwarders without clients that send queries as fast as they are answered.

benchmarks.tiers runs it as a separate process per planner, over the real links, so that the planner is the
bottleneck.
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


class LoadForwarder:
    """A named forwarder that lends all parts to one planner and keeps `most_open` queries open there."""

    def __init__(
        self, name: str, names: list[str], planner: str, port: int, secret: bytes, parts: int, most_open: int
    ) -> None:
        self.name, self.parts, self.most_open = name, parts, most_open
        self.secret = Secret(secret, deployment_digest(names, parts, Terms()))
        self.most_frame, self.most_unsent = 1 << 20, 64 << 20
        self.loop = asyncio.get_running_loop()
        self.clock = time.monotonic
        self.queries_sent = self.decided = 0
        # takes the place of the forwarder's links and of its core, which the line notifies of its session
        self.core, self.life, self.planners = self, name, {planner: ("127.0.0.1", port)}
        self.terms = Terms()
        self.line = ForwarderLine(self, planner)  # type: ignore[arg-type]
        self.dialler = Dialler(partial(ForwarderLink, self, self.line, ""), self.planners[planner])  # type: ignore[arg-type]
        self.loop.call_later(0.05, self.tick)

    def tick(self) -> None:
        """Runs the line's timers."""
        self.line.tick()
        self.loop.call_later(0.05, self.tick)

    def link_up(self, planner: str, incarnation: str, now: float) -> None:
        """Lends all parts and sends the first queries when the session starts."""
        self.line.endpoint.send(
            [Lend(list(range(self.parts)), 60.0, 0.0), *(self.next_query() for _ in range(self.most_open))]
        )

    def link_lost(self, planner: str, now: float) -> None:
        """Ignored: queries are sent anew when the session starts again."""
        ...

    def link_down(self, planner: str, now: float) -> None:
        """Ignored, like `link_lost`."""
        ...

    def perform(self, actions: None) -> None:
        """Does nothing: the callbacks here return no actions."""
        ...

    def next_query(self) -> Ask:
        """A query for the next customer in turn."""
        self.queries_sent += 1
        return Ask(
            self.queries_sent, "lookup", "free", f"{self.queries_sent % CUSTOMERS:016x}", 5.0, 1.0, False
        )

    def heard(self, planner: str, batch: Batch) -> None:
        """Ends each granted attempt at once, and sends a new query for it."""
        replies: list[AnyMessage] = []
        for message in batch.messages:
            if isinstance(message, Grant):
                replies.append(
                    Ended(message.ask, message.attempt, message.backend, "served", 0.02, True, 1.0)
                )
            elif isinstance(message, Beat):
                replies.append(Echo(message.number))
                continue
            else:
                continue
            self.decided += 1
            replies.append(self.next_query())
        if replies:
            self.line.endpoint.send(replies)


async def main() -> None:
    """Measures the rate of decisions after a second of warm-up and prints it."""
    port, planner, secret_path, joined_names, seconds = sys.argv[1:6]
    names = joined_names.split(",")
    secret = Path(secret_path).read_bytes().strip()
    forwarders = [LoadForwarder(name, names, planner, int(port), secret, 64, 64) for name in names]
    await asyncio.sleep(1.0)
    decided_before, started_at = sum(forwarder.decided for forwarder in forwarders), time.monotonic()
    print("began", flush=True)
    await asyncio.sleep(float(seconds))
    decided = sum(forwarder.decided for forwarder in forwarders) - decided_before
    print(json.dumps({"decided": decided, "seconds": time.monotonic() - started_at}), flush=True)


if __name__ == "__main__":
    uvloop.run(main())
