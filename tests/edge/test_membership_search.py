"""Exhaustive search over orders of losses, replacements and writes in small clusters.

Whatever may be lost, the remaining members must keep a majority and every acknowledged write. The model has
only disks and votes; the next members are chosen by the product's own `next_members`. A write is acknowledged
by any smallest majority, the worst case. A newcomer has the state once it has begun the epoch. A loss stops
counting once the successor, or the member that returns with an empty disk, has the state.
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
    """Contents of the disks, and which machines are up. All fields but the counts are sets of machines."""

    roster: Names
    up: Names
    holders: Names  # have the newest acknowledged write on disk
    standby: Names = NOBODY  # newcomers that are up and have no seat
    pending: Names = NOBODY  # have a seat but have not begun the epoch
    learning: Names = NOBODY  # returned with an empty disk
    lost: int = 0  # losses that still count
    newcomers_made: int = 0  # number of newcomers so far

    @property
    def voters(self) -> Names:
        return (self.roster & self.up) - self.pending - self.learning


def chosen(cluster: Cluster, tolerated: int) -> Names:
    """The next epoch's members, as chosen by the product."""
    seats = {name: Seat(name, name) for name in sorted(cluster.roster)}
    candidates = [Candidate(name, name, Seat(name, name)) for name in sorted(cluster.standby)]
    missing = {name: REPLACE_AFTER_S for name in cluster.roster - cluster.up}
    return frozenset(
        next_members(Roster(1, seats), candidates, missing, (), {}, Requirements(2 * tolerated + 1))
    )


def seat_every_newcomer(cluster: Cluster, tolerated: int) -> Names:
    """The earlier, faulty rule: a newcomer gets an additional seat at once and the lost member stays."""
    return cluster.roster | cluster.standby


def losses(cluster: Cluster, tolerated: int) -> Iterator[Cluster]:
    if cluster.lost >= tolerated:
        return
    for name in cluster.roster & cluster.up - cluster.learning - cluster.pending:
        lost_names, remaining_holders = {name}, cluster.holders - {name}
        yield replace(cluster, up=cluster.up - lost_names, holders=remaining_holders, lost=cluster.lost + 1)
        yield replace(
            cluster, learning=cluster.learning | lost_names, holders=remaining_holders, lost=cluster.lost + 1
        )


def repairs(cluster: Cluster, tolerated: int, choose: Choose) -> Iterator[Cluster]:
    dead = cluster.roster - cluster.up
    needed = majority(len(cluster.roster))
    if len(dead) > len(cluster.standby) and cluster.newcomers_made < 2 * tolerated:
        new = frozenset({f"n{cluster.newcomers_made}"})
        yield replace(
            cluster,
            up=cluster.up | new,
            standby=cluster.standby | new,
            newcomers_made=cluster.newcomers_made + 1,
        )
    if len(cluster.voters) >= needed and not cluster.pending:
        members = choose(cluster, tolerated)
        if members != cluster.roster:
            new = members - cluster.roster
            yield replace(cluster, roster=members, standby=cluster.standby - new, pending=new)
    for name in cluster.pending & cluster.up:
        if cluster.holders & cluster.up:  # a member that sealed or began the epoch sends it the state
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


def intolerable_loss(cluster: Cluster, tolerated: int) -> str:
    """A further loss that the cluster would not tolerate; empty if it tolerates all it has to."""
    at_risk = sorted(cluster.roster & cluster.up - cluster.learning - cluster.pending)
    for lost in combinations(at_risk, min(tolerated - cluster.lost, len(at_risk))):
        left = cluster.voters - set(lost)
        if len(left | (cluster.pending & cluster.up)) < majority(len(cluster.roster)):
            return f"no majority without {lost}: {cluster}"
        if not cluster.holders & (left | cluster.pending):
            return f"an acknowledged order is lost with {lost}: {cluster}"
    return ""


def explore(members: int, tolerated: int, choose: Choose) -> tuple[int, str]:
    """The number of states explored, and the first intolerable loss, if any."""
    names = frozenset(f"m{number}" for number in range(members))
    begin = Cluster(names, names, names)
    seen, unexplored = {begin}, [begin]
    while unexplored:
        cluster = unexplored.pop()
        reason = intolerable_loss(cluster, tolerated)
        if reason:
            return len(seen), reason
        for following in (
            *losses(cluster, tolerated),
            *repairs(cluster, tolerated, choose),
            *writes(cluster),
        ):
            if following not in seen:
                seen.add(following)
                unexplored.append(following)
    return len(seen), ""


@pytest.mark.parametrize(("members", "tolerated"), [(3, 1), (4, 1), (5, 1), (5, 2), (6, 2)])
def test_whatever_may_be_lost_the_rest_goes_on_and_has_every_order(members: int, tolerated: int) -> None:
    states, reason = explore(members, tolerated, chosen)
    assert not reason and states > 100


def test_the_search_finds_what_went_wrong_with_a_seat_beside_the_lost_members() -> None:
    assert "no majority" in explore(3, 1, seat_every_newcomer)[1]
