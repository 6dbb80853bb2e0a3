"""All orders of losses, replacements and writes in small clusters: whatever may be lost, the rest goes on.

The model is of disks and votes alone; who is to be a member is decided by the product's own `next_members`.
An order is acknowledged by any smallest majority, the worst case; a newcomer has the state once it has begun
the epoch; a loss stops counting once the successor, or the member that comes back empty, has the state.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import combinations

import pytest

from embersill.council.terms import majority
from embersill.edge.consensus.membership import REPLACE_AFTER_S, Candidate, Requirements, next_members
from embersill.edge.records import Roster, Seat

Choose = Callable[["Cluster", int], frozenset[str]]
Names = frozenset[str]
NOBODY: Names = frozenset()


@dataclass(frozen=True)
class Cluster:
    """What every disk has, and who is up. All fields name machines but the counts."""

    roster: Names
    up: Names
    holders: Names  # have the newest acknowledged order on disk
    standby: Names = NOBODY  # newcomers that are up and have no seat
    pending: Names = NOBODY  # have a seat and have not begun the epoch
    learning: Names = NOBODY  # came back with an empty disk
    lost: int = 0  # losses that count
    made: int = 0  # newcomers so far

    @property
    def voters(self) -> Names:
        return (self.roster & self.up) - self.pending - self.learning


def chosen(cluster: Cluster, borne: int) -> Names:
    """The next epoch's members, as the product decides."""
    seats = {name: Seat(name, name) for name in sorted(cluster.roster)}
    candidates = [Candidate(name, name, Seat(name, name)) for name in sorted(cluster.standby)]
    missing = {name: REPLACE_AFTER_S for name in cluster.roster - cluster.up}
    return frozenset(next_members(Roster(1, seats), candidates, missing, (), {}, Requirements(2 * borne + 1)))


def eager(cluster: Cluster, borne: int) -> Names:
    """A newcomer has a seat of its own at once, and the lost member stays: as it was before."""
    return cluster.roster | cluster.standby


def losses(cluster: Cluster, borne: int) -> Iterator[Cluster]:
    if cluster.lost >= borne:
        return
    for name in cluster.roster & cluster.up - cluster.learning - cluster.pending:
        gone, kept = {name}, cluster.holders - {name}
        yield replace(cluster, up=cluster.up - gone, holders=kept, lost=cluster.lost + 1)
        yield replace(cluster, learning=cluster.learning | gone, holders=kept, lost=cluster.lost + 1)


def repairs(cluster: Cluster, borne: int, choose: Choose) -> Iterator[Cluster]:
    dead = cluster.roster - cluster.up
    needed = majority(len(cluster.roster))
    if len(dead) > len(cluster.standby) and cluster.made < 2 * borne:
        new = frozenset({f"n{cluster.made}"})
        yield replace(cluster, up=cluster.up | new, standby=cluster.standby | new, made=cluster.made + 1)
    if len(cluster.voters) >= needed and not cluster.pending:
        members = choose(cluster, borne)
        if members != cluster.roster:
            new = members - cluster.roster
            yield replace(cluster, roster=members, standby=cluster.standby - new, pending=new)
    for name in cluster.pending & cluster.up:
        if cluster.holders & cluster.up:  # whoever sealed, or has begun, tells it the state
            yield replace(
                cluster,
                pending=cluster.pending - {name},
                holders=cluster.holders | {name},
                lost=cluster.lost - 1,
            )
    for name in cluster.learning:
        if len(cluster.voters) >= needed:
            yield replace(
                cluster,
                learning=cluster.learning - {name},
                holders=cluster.holders | {name},
                lost=cluster.lost - 1,
            )


def writes(cluster: Cluster) -> Iterator[Cluster]:
    for quorum in combinations(sorted(cluster.voters), majority(len(cluster.roster))):
        yield replace(cluster, holders=frozenset(quorum))


def stuck(cluster: Cluster, borne: int) -> str:
    """What could not be borne now; empty if all that may be lost can be."""
    at_risk = sorted(cluster.roster & cluster.up - cluster.learning - cluster.pending)
    for lost in combinations(at_risk, min(borne - cluster.lost, len(at_risk))):
        left = cluster.voters - set(lost)
        if len(left | (cluster.pending & cluster.up)) < majority(len(cluster.roster)):
            return f"no majority without {lost}: {cluster}"
        if not cluster.holders & (left | cluster.pending):
            return f"an acknowledged order is lost with {lost}: {cluster}"
    return ""


def explore(members: int, borne: int, choose: Choose) -> tuple[int, str]:
    """How many states there are, and the first that could not bear what it has to."""
    names = frozenset(f"m{number}" for number in range(members))
    begin = Cluster(names, names, names)
    seen, todo = {begin}, [begin]
    while todo:
        cluster = todo.pop()
        why = stuck(cluster, borne)
        if why:
            return len(seen), why
        for following in (*losses(cluster, borne), *repairs(cluster, borne, choose), *writes(cluster)):
            if following not in seen:
                seen.add(following)
                todo.append(following)
    return len(seen), ""


@pytest.mark.parametrize(("members", "borne"), [(3, 1), (4, 1), (5, 1), (5, 2), (6, 2)])
def test_whatever_may_be_lost_the_rest_goes_on_and_has_every_order(members: int, borne: int) -> None:
    states, why = explore(members, borne, chosen)
    assert not why and states > 100


def test_the_search_finds_what_went_wrong_with_a_seat_beside_the_lost_members() -> None:
    assert "no majority" in explore(3, 1, eager)[1]
