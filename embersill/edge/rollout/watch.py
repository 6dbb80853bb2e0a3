"""A gateway's counts during a policy rollout: outcomes and answer times by kind of request. No I/O.

Counted only while there is a run, separately for its stages (`rollouts.label`), so that the counts before
and after a step can be compared. The counts of several gateways can be added. Lost and doubled requests are
recorded one by one: a request that must not run twice but was sent again, and one that is neither open nor
ended.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Collection, Iterable, Mapping

import msgspec

# histogram bounds of answer times, spaced by a constant factor; a last bucket is above all of them
BOUNDS_S = tuple(0.01 * 1.25**n for n in range(32))
MAX_STAGES = 32  # the oldest is dropped first
MAX_KINDS = 2000
MAX_LISTED = 16  # lost or doubled requests that are listed for each kind
MAX_TRACKED = 20000  # requests that are tracked until they end


class Seen(msgspec.Struct):
    """Counts of one kind of request; `took`: the served ones by the bound up to which they took."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    took: list[int] = msgspec.field(default_factory=lambda: [0] * (len(BOUNDS_S) + 1))
    doubled: list[int] = msgspec.field(default_factory=list)  # request numbers
    missing: list[int] = msgspec.field(default_factory=list)

    @property
    def asked(self) -> int:
        """The number of requests that have ended."""
        return self.served + self.refused + self.failed

    def add(self, other: Seen) -> None:
        """Adds another gateway's counts."""
        self.served += other.served
        self.refused += other.refused
        self.failed += other.failed
        self.took = [mine + theirs for mine, theirs in zip(self.took, other.took, strict=True)]
        self.doubled = [*self.doubled, *other.doubled][:MAX_LISTED]
        self.missing = [*self.missing, *other.missing][:MAX_LISTED]


ByKind = dict[str, Seen]


class Watch:
    """One gateway's counts, by stage and kind of request."""

    def __init__(self) -> None:
        self.stages: dict[str, ByKind] = {}
        self.now: ByKind = {}  # the counts of the current stage
        self.open: dict[int, str] = {}  # kinds of the admitted requests that have not ended, by number

    def follow(self, label: str) -> None:
        """Counts for this stage from now on."""
        if label not in self.stages:
            while len(self.stages) >= MAX_STAGES:
                del self.stages[next(iter(self.stages))]
            self.stages[label] = {}
        self.now = self.stages[label]

    def of(self, kind: str) -> Seen | None:
        """The counts of a kind of request, created if missing; None if there are too many kinds."""
        found = self.now.get(kind)
        if found is None and len(self.now) < MAX_KINDS:
            found = self.now[kind] = Seen()
        return found

    def note_admitted(self, number: int, kind: str) -> None:
        """Notes a request that was admitted."""
        if len(self.open) < MAX_TRACKED:
            self.open[number] = kind

    def left(self, number: int) -> None:
        """Forgets a request whose client has left: it has no outcome."""
        self.open.pop(number, None)

    def ended(self, number: int, kind: str) -> Seen | None:
        """Notes the end of a request; returns the counts of its kind."""
        self.open.pop(number, None)
        return self.of(kind)

    def served(self, number: int, kind: str, seconds: float) -> None:
        """Counts a request that was answered successfully after so many seconds."""
        seen = self.ended(number, kind)
        if seen is not None:
            seen.served += 1
            seen.took[bisect_left(BOUNDS_S, seconds)] += 1

    def refused(self, number: int, kind: str) -> None:
        """Counts a request that was refused."""
        seen = self.ended(number, kind)
        if seen is not None:
            seen.refused += 1

    def failed(self, number: int, kind: str) -> None:
        """Counts a request that failed."""
        seen = self.ended(number, kind)
        if seen is not None:
            seen.failed += 1

    def doubled(self, number: int, kind: str) -> None:
        """Records a request that must not run twice but was sent again though it may have run."""
        seen = self.of(kind)
        if seen is not None and len(seen.doubled) < MAX_LISTED:
            seen.doubled.append(number)

    def record_missing(self, known: Collection[int]) -> None:
        """Records lost requests: tracked ones that are not in `known`, which still wait for an answer."""
        for number in [number for number in self.open if number not in known]:
            seen = self.of(self.open.pop(number))
            if seen is not None and len(seen.missing) < MAX_LISTED:
                seen.missing.append(number)


def total_by_kind(all_of: Iterable[Mapping[str, Seen]]) -> ByKind:
    """The sum of several gateways' counts, by kind."""
    whole: ByKind = {}
    for kinds in all_of:
        for kind, seen in kinds.items():
            whole.setdefault(kind, Seen()).add(seen)
    return whole
