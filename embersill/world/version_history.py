"""A checker of histories of a versioned value: could one single copy have told callers what they were told?

The value is replaced by orders, each of which names a new version and the version that it builds on
(compare and set). Versions make the search for a linearization trivial: the taken orders must form one chain,
each acknowledged one must be on it, none may be refused that was taken, and a read must return a version
that is neither older than what was acknowledged before it was asked for, nor one that nobody has ordered by
its end (Herlihy and Wing 1990, "Linearizability"). `histories` searches where values have no versions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """What a caller was told."""

    TAKEN = "taken"
    REFUSED = "refused"  # another version is in place, or the order is invalid
    UNCLEAR = "unclear"  # an error that promises nothing, or no answer at all


@dataclass(frozen=True, slots=True)
class Order:
    """One call that replaces the value; the same `mark` is the same order, sent again. Times in seconds."""

    version: int
    based_on: int
    mark: str
    began: float
    ended: float
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Read:
    """One call that was answered with a version."""

    version: int
    began: float
    ended: float


def forks(orders: list[Order]) -> list[str]:
    """Acknowledged orders that can't all be on one chain."""
    found: list[str] = []
    by_base: dict[int, Order] = {}
    by_version: dict[int, Order] = {}
    for order in orders:
        if order.outcome is not Outcome.TAKEN:
            continue
        for known, key, what in ((by_base, order.based_on, "on top of"), (by_version, order.version, "as")):
            other = known.setdefault(key, order)
            if other.mark != order.mark:
                found.append(f"two orders were both acknowledged {what} version {key}")
    return found


def lost_refusals(orders: list[Order]) -> list[str]:
    """Orders that were refused although they had been acknowledged before the call began."""
    acknowledged: dict[str, float] = {}
    for order in orders:
        if order.outcome is Outcome.TAKEN:
            acknowledged[order.mark] = min(order.ended, acknowledged.get(order.mark, order.ended))
    return [
        f"order {order.version} was refused after it was acknowledged"
        for order in orders
        if order.outcome is Outcome.REFUSED and acknowledged.get(order.mark, order.ended) < order.began
    ]


def stale_reads(orders: list[Order], reads: list[Read]) -> list[str]:
    """Reads that return less than was acknowledged before them, or what nobody had ordered yet."""
    found: list[str] = []
    for read in reads:
        before = [
            order.version for order in orders if order.outcome is Outcome.TAKEN and order.ended < read.began
        ]
        ordered = {0} | {order.version for order in orders if order.began <= read.ended}
        if before and read.version < max(before):
            found.append(f"version {read.version} was read after {max(before)} had been acknowledged")
        if read.version not in ordered:
            found.append(f"version {read.version} was read, which nobody had ordered")
    return found


def violations(orders: list[Order], reads: list[Read]) -> list[str]:
    """What no single copy could have told, a line each; empty for a linearizable history."""
    return forks(orders) + lost_refusals(orders) + stale_reads(orders, reads)
