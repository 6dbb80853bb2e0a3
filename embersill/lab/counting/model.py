"""Simulated counter: named sums, and faults of the counter and of calls to it. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable

from embersill.interface import Outcome
from embersill.world.kernel import Kernel

OnResult = Callable[[Outcome, float, float], None]  # outcome, total, elapsed seconds
SNAPSHOT_INTERVAL_S = 0.25
SNAPSHOT_RETENTION_S = 62.0


class Sums:
    """The named sums that one machine of a counter holds."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[float, float]] = {}  # name: total, time of expiry

    def add(self, name: str, amount: float, ttl: float, now: float) -> float:
        """Adds to a name, which is created if it is missing or has expired; returns its total."""
        total, expires_at = self.entries.get(name, (0.0, 0.0))
        if expires_at <= now:
            total, expires_at = 0.0, now + min(max(ttl, 0.001), 60.0)
        self.entries[name] = total + amount, expires_at
        return float(f"{total + amount:.7g}")  # a counter returns totals to seven digits

    def copy(self) -> Sums:
        """Returns an independent copy."""
        copied = Sums()
        copied.entries = dict(self.entries)
        return copied


class CounterStorage:
    """The storage of a counter: one machine, or while it is split two halves that are not synchronized."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.sums = Sums()
        self.other_half: Sums | None = None
        self.other_gateways: frozenset[str] = frozenset()  # those that reach the other half
        self.snapshots: list[tuple[float, Sums]] = []

    def add(self, gateway: str, name: str, amount: float, ttl: float) -> float:
        """Adds to a name in the half that the gateway reaches; returns the total there."""
        sums = (
            self.other_half if self.other_half is not None and gateway in self.other_gateways else self.sums
        )
        return sums.add(name, amount, ttl, self.clock())

    def take_snapshot(self) -> None:
        """Saves a copy of the sums, and drops the copies that are too old."""
        now = self.clock()
        self.snapshots.append((now, self.sums.copy()))
        while self.snapshots[0][0] < now - SNAPSHOT_RETENTION_S:
            self.snapshots.pop(0)

    def clear(self) -> None:
        """Loses all sums."""
        self.sums = Sums()

    def roll_back(self, seconds: float) -> None:
        """Restores the latest snapshot that is at least so old; without one all sums are lost."""
        when = self.clock() - seconds
        before = [sums for at, sums in self.snapshots if at <= when]
        self.sums = before[-1].copy() if before else Sums()

    def split(self, gateways: frozenset[str]) -> None:
        """Splits the storage into two halves; the given gateways reach the other one."""
        self.other_half, self.other_gateways = self.sums.copy(), gateways

    def rejoin(self, keep_other: bool) -> None:
        """Ends a split; only the sums of one half are kept."""
        if self.other_half is not None and keep_other:
            self.sums = self.other_half
        self.other_half, self.other_gateways = None, frozenset()


class ModelCounter:
    """One counter at one address, called by gateways under their names.

    Each fault lasts until a time: `lost_until` (calls are lost), `refused_until` (connections are refused),
    `deaf_until` (adds but does not answer), `busy_until` (calls are rejected), `slow_until` (calls take
    `slow_factor` times as long); `cut` holds the end of the fault for single gateways.
    """

    def __init__(self, kernel: Kernel, name: str) -> None:
        self.kernel, self.name = kernel, name
        self.storage = CounterStorage(lambda: kernel.now)
        self.lost_until = self.refused_until = self.deaf_until = self.busy_until = self.slow_until = -1.0
        self.slow_factor = 1.0
        self.cut: dict[str, float] = {}
        self.rng: random.Random = kernel.stream(f"counter {name}")
        self.calls = 0
        self.free_at = 0.0  # when the queue of calls is processed
        kernel.at(0.0, self.take_snapshot)

    def take_snapshot(self) -> None:
        """Takes a snapshot at regular intervals."""
        self.storage.take_snapshot()
        self.kernel.at(self.kernel.now + SNAPSHOT_INTERVAL_S, self.take_snapshot)

    def call(self, gateway: str, name: str, amount: float, ttl: float, on_result: OnResult) -> None:
        """Starts a call; `on_result` may run after the caller's timeout, or never."""
        now, rng = self.kernel.now, self.rng
        self.calls += 1
        latency = 0.0002 + 0.001 * rng.random()
        if now < max(self.refused_until, self.cut.get(gateway, -1.0)):
            return self.kernel.at(now + latency, on_result, Outcome.NO_CONNECTION, 0.0, latency)
        if now < self.lost_until:
            return None
        if now < self.busy_until:
            return self.kernel.at(now + 2 * latency, on_result, Outcome.TURNED_AWAY, 0.0, 2 * latency)
        slow_factor = self.slow_factor if now < self.slow_until else 1.0
        self.free_at = max(self.free_at, now) + 0.0004 * slow_factor
        extra_delay = 0.02 * slow_factor * rng.random() if slow_factor > 1 else 0.0
        done_at = max(now + latency, self.free_at) + 0.0005 * slow_factor + extra_delay
        return self.kernel.at(done_at, self.add, gateway, name, amount, ttl, now, on_result)

    def add(
        self, gateway: str, name: str, amount: float, ttl: float, sent_at: float, on_result: OnResult
    ) -> None:
        """Processes a call, and sends the answer unless the counter is deaf."""
        total = self.storage.add(gateway, name, amount, ttl)
        now = self.kernel.now
        if now >= self.deaf_until:
            received_at = now + 0.0002 + 0.001 * self.rng.random()
            self.kernel.at(received_at, on_result, Outcome.SERVED, total, received_at - sent_at)
