"""Swarm testing: random choice of the faults of a seed, and the coverage that steers it. No I/O.

Swarm testing (Groce et al. 2012): seeds that omit most kinds of faults and use the remaining ones often find
more than seeds that all use a little of everything, because faults can also mask each other.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import TypeVar

Kind = TypeVar("Kind")


def random_subset(chance: random.Random, kinds: Sequence[Kind], probability: float = 0.4) -> list[Kind]:
    """Returns each kind with the given probability, but at least one kind."""
    chosen = [kind for kind in kinds if chance.random() < probability]
    return chosen or [chance.choice(kinds)]


def log_uniform(chance: random.Random, least: float, most: float) -> float:
    """Draws a value between `least` and `most` whose logarithm is uniformly distributed."""
    return math.exp(chance.uniform(math.log(least), math.log(most)))


class Coverage:
    """Counts how often each pair (kind of message, state of its receiver) occurred."""

    def __init__(self) -> None:
        self.pairs: Counter[tuple[str, str]] = Counter()

    def record(self, kind: str, state: str) -> None:
        """Counts one occurrence of a pair."""
        self.pairs[kind, state] += 1

    def add(self, pairs: Iterable[tuple[tuple[str, str], int]]) -> None:
        """Adds the counts of another run."""
        for pair, count in pairs:
            self.pairs[pair] += count

    def rarest(self, count: int) -> list[str]:
        """Returns the kinds that occurred least often in some state: targets for the next seeds."""
        found: list[str] = []
        for (kind, _), _ in sorted(self.pairs.items(), key=lambda item: (item[1], item[0])):
            if kind not in found:
                found.append(kind)
        return found[:count]

    def table(self) -> str:
        """Returns a table of kinds by states with their counts; `.` for a pair that never occurred."""
        kinds = sorted({kind for kind, _ in self.pairs})
        states = sorted({state for _, state in self.pairs})
        if not kinds:
            return "no pair was recorded"
        kind_width = max(len(kind) for kind in kinds)
        lines = [" " * kind_width + "".join(f"  {state:>10}" for state in states)]
        for kind in kinds:
            cells = (self.pairs.get((kind, state), 0) for state in states)
            lines.append(f"{kind:<{kind_width}}" + "".join(f"  {cell or '.':>10}" for cell in cells))
        return "\n".join(lines)
