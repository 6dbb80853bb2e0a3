"""A counter of limited capacity, partitioned by name; it also serves calls that have timed out by then."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable

from embersill.interface import Outcome
from embersill.world.kernel import Kernel

TRANSIT_S = (0.0003, 0.0012)  # range of the transit time in each direction
MAX_QUEUE_S = 0.25  # work that a partition queues; further calls are rejected


class LimitedCounter:
    """Serves calls in order in each partition; does not answer during `outages`, which are (start, end)."""

    def __init__(
        self, kernel: Kernel, calls_per_s: float, partitions: int, latency_s: float, timeout_s: float
    ) -> None:
        """`latency_s`: what a call takes beside its service time in the partition's queue."""
        self.kernel, self.latency_s, self.timeout_s = kernel, latency_s, timeout_s
        self.service_s = partitions / calls_per_s
        self.free_at = [0.0] * partitions
        self.sums: dict[str, tuple[float, float]] = {}
        self.chance: random.Random = kernel.stream("counter")
        self.outages: list[tuple[float, float]] = []
        self.calls = self.timed_out = self.rejected = 0

    def call(
        self, name: str, amount: float, ttl_s: float, on_result: Callable[[Outcome, float, float], None]
    ) -> None:
        """Calls `on_result` once, with outcome, total and seconds taken: by the timeout at the latest."""
        now = self.kernel.now
        self.calls += 1
        if any(begin <= now < end for begin, end in self.outages):
            self.timed_out += 1
            return self.kernel.at(now + self.timeout_s, on_result, Outcome.TIMED_OUT, 0.0, self.timeout_s)
        partition = zlib.crc32(name.encode()) % len(self.free_at)
        arrives_at = now + self.chance.uniform(*TRANSIT_S)
        if self.free_at[partition] - arrives_at > MAX_QUEUE_S:
            self.rejected += 1
            returns_at = arrives_at + self.chance.uniform(*TRANSIT_S)
            return self.kernel.at(returns_at, on_result, Outcome.TURNED_AWAY, 0.0, returns_at - now)
        self.free_at[partition] = max(self.free_at[partition], arrives_at) + self.service_s
        done_at = self.free_at[partition] + self.latency_s
        returns_at = done_at + self.chance.uniform(*TRANSIT_S)
        late = returns_at - now > self.timeout_s
        if late:
            self.timed_out += 1
            self.kernel.at(now + self.timeout_s, on_result, Outcome.TIMED_OUT, 0.0, self.timeout_s)
        return self.kernel.at(
            done_at, self.add, name, amount, ttl_s, None if late else on_result, now, returns_at
        )

    def add(
        self,
        name: str,
        amount: float,
        ttl_s: float,
        on_result: Callable[[Outcome, float, float], None] | None,
        sent_at: float,
        returns_at: float,
    ) -> None:
        """Adds to a name as the call is served; a total that nobody waits for is not sent back."""
        now = self.kernel.now
        total, expires_at = self.sums.get(name, (0.0, 0.0))
        if expires_at <= now:
            total, expires_at = 0.0, now + min(max(ttl_s, 0.001), 60.0)
        total += amount
        self.sums[name] = total, expires_at
        if on_result is not None:
            self.kernel.at(returns_at, on_result, Outcome.SERVED, float(f"{total:.7g}"), returns_at - sent_at)
