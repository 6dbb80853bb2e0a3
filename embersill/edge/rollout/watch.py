"""What a gateway sees while a policy is on its way: by kind of request, how it ended, and after how long.

Counted only while there is a run, by its stretches (`rollouts.label`), so that what was before a step stands
beside what came after it. Counts of gateways add up. Cases of lost and doubled work are kept one by one: a
request that must not run twice and was sent on again, one that is neither open nor ended. No I/O.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Collection, Iterable, Mapping

import msgspec

# seconds an answer took, evenly by a factor; a last class is over all of them
BOUNDS = tuple(0.01 * 1.25**n for n in range(32))
MOST_STRETCHES = 32  # the oldest goes first
MOST_KINDS = 2000
MOST_NAMED = 16  # requests that are named of each kind
MOST_OPEN = 20000  # requests that are followed to their end


class Seen(msgspec.Struct):
    """`took`: how many of those served took up to each bound, and more than all."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    took: list[int] = msgspec.field(default_factory=lambda: [0] * (len(BOUNDS) + 1))
    doubled: list[int] = msgspec.field(default_factory=list)  # requests by number
    missing: list[int] = msgspec.field(default_factory=list)

    @property
    def asked(self) -> int:
        """All requests that have ended."""
        return self.served + self.refused + self.failed

    def add(self, other: Seen) -> None:
        """Adds another gateway's counts."""
        self.served += other.served
        self.refused += other.refused
        self.failed += other.failed
        self.took = [one + more for one, more in zip(self.took, other.took, strict=True)]
        self.doubled = [*self.doubled, *other.doubled][:MOST_NAMED]
        self.missing = [*self.missing, *other.missing][:MOST_NAMED]


ByKind = dict[str, Seen]


class Watch:
    """One gateway's counts, by stretch and kind."""

    def __init__(self) -> None:
        self.stretches: dict[str, ByKind] = {}
        self.now: ByKind = {}  # of the stretch that counts go to
        self.open: dict[int, str] = {}  # requests that were let on and have not ended, by number: their kind

    def follow(self, label: str) -> None:
        """Counts go to this stretch from now on."""
        if label not in self.stretches:
            while len(self.stretches) >= MOST_STRETCHES:
                del self.stretches[next(iter(self.stretches))]
            self.stretches[label] = {}
        self.now = self.stretches[label]

    def of(self, kind: str) -> Seen | None:
        """The counts of a kind of request; None if there are too many kinds."""
        found = self.now.get(kind)
        if found is None and len(self.now) < MOST_KINDS:
            found = self.now[kind] = Seen()
        return found

    def let_on(self, number: int, kind: str) -> None:
        """A request went on."""
        if len(self.open) < MOST_OPEN:
            self.open[number] = kind

    def left(self, number: int) -> None:
        """Its client has gone: it has no end that could be told."""
        self.open.pop(number, None)

    def ended(self, number: int, kind: str) -> Seen | None:
        """A request has ended; the counts of its kind."""
        self.open.pop(number, None)
        return self.of(kind)

    def served(self, number: int, kind: str, seconds: float) -> None:
        """A request was answered with success after so many seconds."""
        seen = self.ended(number, kind)
        if seen is not None:
            seen.served += 1
            seen.took[bisect_left(BOUNDS, seconds)] += 1

    def refused(self, number: int, kind: str) -> None:
        """A request was refused."""
        seen = self.ended(number, kind)
        if seen is not None:
            seen.refused += 1

    def failed(self, number: int, kind: str) -> None:
        """A request has failed."""
        seen = self.ended(number, kind)
        if seen is not None:
            seen.failed += 1

    def doubled(self, number: int, kind: str) -> None:
        """One that must not run twice was sent on though it may have run."""
        seen = self.of(kind)
        if seen is not None and len(seen.doubled) < MOST_NAMED:
            seen.doubled.append(number)

    def look_for_missing(self, known: Collection[int]) -> None:
        """`known`: requests that this gateway still owes an answer."""
        for number in [number for number in self.open if number not in known]:
            seen = self.of(self.open.pop(number))
            if seen is not None and len(seen.missing) < MOST_NAMED:
                seen.missing.append(number)


def added(all_of: Iterable[Mapping[str, Seen]]) -> ByKind:
    """The counts of many gateways, by kind."""
    whole: ByKind = {}
    for kinds in all_of:
        for kind, seen in kinds.items():
            whole.setdefault(kind, Seen()).add(seen)
    return whole
