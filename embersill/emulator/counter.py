"""A counter of fixed capacity, in parts by name; it also serves calls that were given up, for nobody."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable

from embersill.interface import Outcome
from embersill.world.kernel import Kernel

WAY = (0.0003, 0.0012)  # seconds to it, and back
LONGEST_QUEUE = 0.25  # seconds of work that a part takes in; what comes beyond it is turned away


class CrowdedCounter:
    """Serves calls in turn in each part; `down` holds times in which it answers nothing."""

    def __init__(
        self, kernel: Kernel, calls_a_second: float, parts: int, work: float, patience: float
    ) -> None:
        """`work`: seconds that a call takes beside its turn."""
        self.kernel, self.work, self.patience = kernel, work, patience
        self.turn = parts / calls_a_second
        self.free_at = [0.0] * parts
        self.sums: dict[str, tuple[float, float]] = {}
        self.chance: random.Random = kernel.stream("counter")
        self.down: list[tuple[float, float]] = []
        self.calls = self.lost = self.refused = 0

    def call(
        self, name: str, amount: float, life: float, told: Callable[[Outcome, float, float], None]
    ) -> None:
        """`told` hears outcome, total and seconds once, at its patience's end at the latest."""
        now = self.kernel.now
        self.calls += 1
        if any(begin <= now < end for begin, end in self.down):
            self.lost += 1
            return self.kernel.at(now + self.patience, told, Outcome.TIMED_OUT, 0.0, self.patience)
        part = zlib.crc32(name.encode()) % len(self.free_at)
        come = now + self.chance.uniform(*WAY)
        if self.free_at[part] - come > LONGEST_QUEUE:
            self.refused += 1
            back = come + self.chance.uniform(*WAY)
            return self.kernel.at(back, told, Outcome.TURNED_AWAY, 0.0, back - now)
        self.free_at[part] = max(self.free_at[part], come) + self.turn
        done = self.free_at[part] + self.work
        back = done + self.chance.uniform(*WAY)
        late = back - now > self.patience
        if late:
            self.lost += 1
            self.kernel.at(now + self.patience, told, Outcome.TIMED_OUT, 0.0, self.patience)
        return self.kernel.at(done, self.add, name, amount, life, None if late else told, now, back)

    def add(
        self,
        name: str,
        amount: float,
        life: float,
        told: Callable[[Outcome, float, float], None] | None,
        began: float,
        back: float,
    ) -> None:
        now = self.kernel.now
        total, until = self.sums.get(name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + min(max(life, 0.001), 60.0)
        total += amount
        self.sums[name] = total, until
        if told is not None:
            self.kernel.at(back, told, Outcome.SERVED, float(f"{total:.7g}"), back - began)
