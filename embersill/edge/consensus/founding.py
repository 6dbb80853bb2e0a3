"""Founds the first epoch and starts the following ones; one gateway at a time proposes. No I/O.

At the very first start all gateways are configured with the same seeds. These elect the first roster
(`election`): the linked seed with the lowest address proposes it, once no further core machine has appeared
for a while. From then on the members change the membership themselves (`membership`).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.configuration.document import EMPTY
from embersill.edge.consensus.election import Election
from embersill.edge.consensus.membership import (
    MAX_MEMBERS,
    Candidate,
    Requirements,
    Shortfall,
    next_members,
    shortfall,
)
from embersill.edge.records import Effects, Roster, Seat, Stored
from embersill.edge.peers.peer_set import Hello, PeerSet

SETTLE_S = 1.0  # without a further core machine, after which the first epoch is founded
FOUND_BY_S = 4.0  # after which it is founded with the machines present
RESEAT_INTERVAL_S = 1.0  # between attempts to change the members
ELECTION_INTERVAL_S = 0.5  # between election attempts, times the proposer's place among the seeds
STAGGER_S = 0.3  # that a member waits for each member before it, by name


def round_robin(groups: Mapping[str, list[Hello]]) -> list[Hello]:
    """Interleaves the groups: one machine of each in turn."""
    rounds = max((len(group) for group in groups.values()), default=0)
    return [group[n] for n in range(rounds) for _, group in sorted(groups.items()) if n < len(group)]


def group_by(cores: Iterable[Hello], key: Callable[[Hello], str]) -> dict[str, list[Hello]]:
    """Machines by a key, in their given order."""
    groups: dict[str, list[Hello]] = {}
    for hello in cores:
        groups.setdefault(key(hello), []).append(hello)
    return groups


def first_members(cores: list[Hello], requirements: Requirements) -> list[Hello]:
    """The first members, taken in turn from each failure domain, and within it from each zone."""
    by_zone = round_robin(group_by(sorted(cores, key=lambda hello: hello.name), lambda hello: hello.zone))
    ordered = round_robin(group_by(by_zone, lambda hello: requirements.failure_domain(hello.zone)))
    seats = min(len(ordered), MAX_MEMBERS)
    while requirements.failure_domains and seats > requirements.min_members:
        taken = Counter(requirements.failure_domain(hello.zone) for hello in ordered[:seats])
        if max(taken.values()) <= requirements.max_seats_per_domain(seats):
            break
        seats -= 1  # the last ones are of the domains that have most
    return ordered[:seats]


def address_key(ip: str) -> tuple[int, ...]:
    """A sort key that orders IP addresses numerically."""
    return tuple(int(part) for part in ip.split("."))


class Founding:
    """One gateway's part in the first epoch and in changes of membership."""

    def __init__(
        self, me: Hello, peers: PeerSet, agreement: Agreement, stored: Stored, effects: Effects, now: float
    ) -> None:
        """`stored`: the contents of this gateway's disk, with its vote in the election if it has one."""
        is_blank_seed = stored.blank and me.core and me.ip in peers.all_seeds
        blank_seeds = tuple(sorted(peers.all_seeds, key=address_key)) if is_blank_seed else ()
        self.election = Election(me.ip, me.boot, stored.open_vote, effects, self.elected, blank_seeds)
        self.election.undecided = lambda: agreement.roster is None
        self.election.roster = self.first_roster
        self.election.linked = lambda: list(peers.linked)
        self.election.address_of = lambda name: peers.linked[name].ip if name in peers.linked else None
        self.requirements = Requirements()
        self.stopping = False  # this gateway is shutting down
        self.up_to_date: Callable[[str], bool] = lambda name: True  # whether a linked gateway has the state
        self.wanted: dict[str, Seat] = {}  # the target membership, and below since when it is wanted
        self.wanted_at = now
        self.me, self.peers, self.agreement = me, peers, agreement
        self.started_at = self.last_change_at = now
        self.founders_seen = 0
        self.missing: dict[str, float] = {}  # members that are not linked, and since when
        self.next_attempt_at = now

    def tick(self, now: float) -> None:
        """Proposes the first epoch or a change of members, if that is due."""
        if self.agreement.roster is None:
            self.propose_first_roster(now)
        elif self.agreement.votes and now >= self.next_attempt_at:
            self.change_members(now)

    def propose_first_roster(self, now: float) -> None:
        """Proposes the first roster, if it is this gateway's turn."""
        if now < self.next_attempt_at:
            return
        if self.election.blank:
            return self.recall(now)
        if not self.election.votes or self.me.ip != self.proposer():
            return
        cores = self.founders()
        if len(cores) != self.founders_seen:
            self.founders_seen, self.last_change_at = len(cores), now
        if not cores or now - self.started_at < SETTLE_S:
            return
        all_there = len(self.peers.linked) >= len(self.peers.seeds)
        if now - self.last_change_at >= SETTLE_S and all_there or now - self.started_at >= FOUND_BY_S:
            self.schedule_attempt(now)
            self.election.attempt()

    def recall(self, now: float) -> None:
        """Recovers the vote of a seed with a blank disk, once all other seeds are linked."""
        linked = {hello.ip for hello in self.peers.linked.values() if hello.core}
        if now - self.started_at >= FOUND_BY_S and linked.issuperset({*self.election.seeds} - {self.me.ip}):
            self.schedule_attempt(now)
            self.election.recall()

    def schedule_attempt(self, now: float) -> None:
        """Delays the next attempt by this seed's place in address order, so that seeds don't collide."""
        place = sorted(self.election.seeds, key=address_key).index(self.me.ip) + 1
        self.next_attempt_at = now + ELECTION_INTERVAL_S * place

    def proposer(self) -> str:
        """The IP address of the seed whose turn it is: the lowest of those that are linked and vote."""
        linked = [hello.ip for hello in self.peers.linked.values() if hello.elector]
        return min([self.me.ip, *linked], key=address_key)

    def founders(self) -> list[Hello]:
        """Core machines that are eligible as first members."""
        return [hello for hello in self.peers.core_machines() if hello.epoch == 0]

    def first_roster(self) -> Roster | None:
        """The roster that this gateway would propose; None while it sees no core machine."""
        chosen = first_members(self.founders(), self.requirements)
        return Roster(1, {hello.name: Seat(hello.ip, hello.store) for hello in chosen}) if chosen else None

    def elected(self, roster: Roster) -> None:
        """Begins the first epoch with the roster on which the seeds have decided."""
        if self.agreement.roster is None:
            self.agreement.begin(roster, EMPTY)
            self.send_first_epoch()

    def send_first_epoch(self) -> None:
        """Sends the first epoch with its initial state to every linked member; done by the founder."""
        roster = self.agreement.roster
        for name in self.peers.linked:
            if roster is not None and name in roster.members:
                message = self.agreement.roster_message(name)
                self.agreement.effects.mail.append((name, {**message, "base": EMPTY}))

    def change_members(self, now: float) -> None:
        """Seals this epoch if another membership is wanted; staggered, so that members don't compete."""
        roster = self.agreement.roster
        assert roster is not None
        linked_members = sorted(self.peers.core)
        self.missing = {
            name: self.missing.get(name, now) for name in roster.members if name not in linked_members
        }
        wanted = next_members(
            roster,
            self.candidates(roster),
            {name: now - since for name, since in self.missing.items()},
            self.leaving(),
            self.zones(),
            self.requirements,
        )
        if wanted != self.wanted:
            self.wanted, self.wanted_at = wanted, now
        delay = STAGGER_S * linked_members.index(self.me.name) if self.me.name in linked_members else math.inf
        if wanted != roster.members and now - self.wanted_at >= delay:
            self.next_attempt_at = now + RESEAT_INTERVAL_S
            self.agreement.change_members(self.with_present_disks(wanted))

    def with_present_disks(self, members: dict[str, Seat]) -> dict[str, Seat]:
        """The seats, with the nonces of the disks that linked members have now.

        A member that lost its disk has recovered its promises in this epoch. With its old disk's nonce it
        would take itself in the next epoch for one that has lost its promises, and could not vote before
        the others did.
        """
        stores = {hello.name: hello.store for hello in self.peers.core_machines()}
        return {name: Seat(seat.ip, stores.get(name, seat.store)) for name, seat in members.items()}

    def zones(self) -> dict[str, str]:
        """Known zones of the members, by name."""
        roster, known_peers = self.agreement.roster, self.peers.known_peers
        known = {
            name: known_peers[name].zone for name in (roster.members if roster else ()) if name in known_peers
        }
        return {**known, self.me.name: self.me.zone}

    def shortfall(self) -> Shortfall | None:
        """Which required losses the core members can't tolerate; None if there are none, or no members."""
        roster = self.agreement.roster
        return shortfall(roster.members, self.zones(), self.requirements) if roster is not None else None

    def candidates(self, roster: Roster) -> list[Candidate]:
        """Core machines without a seat that have the state in force; others could not vote at once."""
        return [
            Candidate(hello.name, hello.zone, Seat(hello.ip, hello.store))
            for hello in self.peers.core_machines()
            if hello.name not in roster.members and not hello.leaving and self.up_to_date(hello.name)
        ]

    def leaving(self) -> set[str]:
        """Linked gateways that are shutting down, this one included."""
        linked = {hello.name for hello in self.peers.linked.values() if hello.leaving}
        return linked | {self.me.name} if self.stopping else linked
