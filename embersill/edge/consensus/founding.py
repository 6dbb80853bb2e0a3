"""The first epoch, and the next ones: who becomes a member, decided by one gateway at a time. No I/O.

At the very first start all gateways are told the same seeds. These elect the first roster (`election`): the
one with the lowest address that is linked proposes it, when no further core machine has shown up for a while.
From then on the members change themselves (`membership`).
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

SETTLED = 1.0  # seconds without a further core machine after which the first epoch is founded
AT_LATEST = 4.0  # seconds after which it is founded with those that are there
RESEAT_EVERY = 1.0  # seconds between attempts
ELECT_EVERY = 0.5  # seconds between attempts at the first epoch, times the proposer's place among the seeds
STAGGER = 0.3  # seconds by which a member waits for each that goes before it, by name


def in_turn(groups: Mapping[str, list[Hello]]) -> list[Hello]:
    """One of each group in turn."""
    rounds = max((len(group) for group in groups.values()), default=0)
    return [group[n] for n in range(rounds) for _, group in sorted(groups.items()) if n < len(group)]


def grouped(cores: Iterable[Hello], key: Callable[[Hello], str]) -> dict[str, list[Hello]]:
    """Machines by a key, in their order."""
    groups: dict[str, list[Hello]] = {}
    for hello in cores:
        groups.setdefault(key(hello), []).append(hello)
    return groups


def spread(cores: list[Hello], requirements: Requirements) -> list[Hello]:
    """Who has a seat first: of each place that may be lost one in turn, and within it of each zone."""
    by_zone = in_turn(grouped(sorted(cores, key=lambda hello: hello.name), lambda hello: hello.zone))
    ordered = in_turn(grouped(by_zone, lambda hello: requirements.failure_domain(hello.zone)))
    seats = min(len(ordered), MAX_MEMBERS)
    while requirements.failure_domains and seats > requirements.min_members:
        taken = Counter(requirements.failure_domain(hello.zone) for hello in ordered[:seats])
        if max(taken.values()) <= requirements.max_seats_per_domain(seats):
            break
        seats -= 1  # the last ones are of the places that have most
    return ordered[:seats]


def address_key(ip: str) -> tuple[int, ...]:
    """An IP number as a key to sort by."""
    return tuple(int(part) for part in ip.split("."))


class Founding:
    """One gateway's part in the first epoch and in changes of membership."""

    def __init__(
        self, me: Hello, peers: PeerSet, agreement: Agreement, stored: Stored, effects: Effects, now: float
    ) -> None:
        """`stored`: what this gateway's disk has; its vote in the election of the first epoch, or none."""
        is_blank_seed = stored.blank and me.core and me.ip in peers.all_seeds
        blank_seeds = tuple(sorted(peers.all_seeds, key=address_key)) if is_blank_seed else ()
        self.election = Election(me.ip, me.boot, stored.open_vote, effects, self.elected, blank_seeds)
        self.election.undecided = lambda: agreement.roster is None
        self.election.roster = self.first_roster
        self.election.linked = lambda: list(peers.linked)
        self.election.address_of = lambda name: peers.linked[name].ip if name in peers.linked else None
        self.requirements = Requirements()
        self.stopping = False  # this gateway was told to stop
        self.up_to_date: Callable[[str], bool] = lambda name: True  # whether a linked gateway has the state
        self.wanted: dict[str, Seat] = {}  # the membership that is to be, and since when it is
        self.wanted_at = now
        self.me, self.peers, self.agreement = me, peers, agreement
        self.born = self.last = now
        self.found = 0
        self.missing: dict[str, float] = {}  # members that are not linked, since when
        self.again_at = now

    def tick(self, now: float) -> None:
        """Founds the first epoch or changes the membership, if that is due."""
        if self.agreement.roster is None:
            self.begin(now)
        elif self.agreement.votes and now >= self.again_at:
            self.reseat(now)

    def begin(self, now: float) -> None:
        """Proposes the first roster, if this is the one to do it."""
        if now < self.again_at:
            return
        if self.election.blank:
            return self.recall(now)
        if not self.election.votes or self.me.ip != self.proposer():
            return
        cores = self.founders()
        if len(cores) != self.found:
            self.found, self.last = len(cores), now
        if not cores or now - self.born < SETTLED:
            return
        all_there = len(self.peers.linked) >= len(self.peers.seeds)
        if now - self.last >= SETTLED and all_there or now - self.born >= AT_LATEST:
            self.wait_in_turn(now)
            self.election.attempt()

    def recall(self, now: float) -> None:
        """Asks for a vote, if this seed has been started with a blank disk and all other seeds are linked."""
        linked = {hello.ip for hello in self.peers.linked.values() if hello.core}
        if now - self.born >= AT_LATEST and linked.issuperset({*self.election.seeds} - {self.me.ip}):
            self.wait_in_turn(now)
            self.election.recall()

    def wait_in_turn(self, now: float) -> None:
        """The next attempt comes the later the higher this seed's address is, so that they don't collide."""
        place = sorted(self.election.seeds, key=address_key).index(self.me.ip) + 1
        self.again_at = now + ELECT_EVERY * place

    def proposer(self) -> str:
        """The IP number of the seed whose turn it is: the lowest of those that are linked and vote."""
        linked = [hello.ip for hello in self.peers.linked.values() if hello.elector]
        return min([self.me.ip, *linked], key=address_key)

    def founders(self) -> list[Hello]:
        """Core machines that could be the first members."""
        return [hello for hello in self.peers.cores() if hello.epoch == 0]

    def first_roster(self) -> Roster | None:
        """The roster that this gateway would propose; None while it sees no core machine."""
        chosen = spread(self.founders(), self.requirements)
        return Roster(1, {hello.name: Seat(hello.ip, hello.store) for hello in chosen}) if chosen else None

    def elected(self, roster: Roster) -> None:
        """The seeds have decided on the first roster."""
        if self.agreement.roster is None:
            self.agreement.begin(roster, EMPTY)
            self.send_all()

    def send_all(self) -> None:
        """Every member is told the state that the first epoch begins with, by the founder itself."""
        roster = self.agreement.roster
        for name in self.peers.linked:
            if roster is not None and name in roster.members:
                told = self.agreement.told_roster(name)
                self.agreement.effects.mail.append((name, {**told, "base": EMPTY}))

    def reseat(self, now: float) -> None:
        """Seals this epoch if another membership is wanted; members act one after the other, not at once."""
        roster = self.agreement.roster
        assert roster is not None
        there = sorted(self.peers.core)
        self.missing = {name: self.missing.get(name, now) for name in roster.members if name not in there}
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
        delay = STAGGER * there.index(self.me.name) if self.me.name in there else math.inf
        if wanted != roster.members and now - self.wanted_at >= delay:
            self.again_at = now + RESEAT_EVERY
            self.agreement.reseat(self.with_present_disks(wanted))

    def with_present_disks(self, members: dict[str, Seat]) -> dict[str, Seat]:
        """The seats, with the disks that linked members have now.

        One whose disk was lost has learned anew in this epoch. With its old disk's nonce it would take itself
        in the next one for a member that has forgotten its promises, and could not vote before others did.
        """
        stores = {hello.name: hello.store for hello in self.peers.cores()}
        return {name: Seat(seat.ip, stores.get(name, seat.store)) for name, seat in members.items()}

    def zones(self) -> dict[str, str]:
        """Zones of the members, as far as they are known here, by name."""
        roster, seen = self.agreement.roster, self.peers.seen
        known = {name: seen[name].zone for name in (roster.members if roster else ()) if name in seen}
        return {**known, self.me.name: self.me.zone}

    def shortfall(self) -> Shortfall | None:
        """What the members of the core can't bear; None if all that is asked for, or if there are none."""
        roster = self.agreement.roster
        return shortfall(roster.members, self.zones(), self.requirements) if roster is not None else None

    def candidates(self, roster: Roster) -> list[Candidate]:
        """Machines of the core without a seat that have the state in force: a learner counts for nothing."""
        return [
            Candidate(hello.name, hello.zone, Seat(hello.ip, hello.store))
            for hello in self.peers.cores()
            if hello.name not in roster.members and not hello.leaving and self.up_to_date(hello.name)
        ]

    def leaving(self) -> set[str]:
        """Members that were told to stop, as far as they are linked."""
        linked = {hello.name for hello in self.peers.linked.values() if hello.leaving}
        return linked | {self.me.name} if self.stopping else linked
