"""Who is to be a member of the next epoch: replacement, removal and addition of members, as one step. No I/O.

A newcomer that has the state in force takes the seat of a member that is lost or leaving, in the same epoch
change in which that member loses it. So the number of members does not grow in between, and once the epoch
has begun as many further losses can be borne as before. While all members are well a newcomer only stands by.

Where whole zones or regions may be lost, no such place may have so many seats that the others are no
majority: a seat goes to a newcomer of the same place, else of the one with the fewest, and to none that would
crowd its place. Seats that are crowded all the same go to newcomers of other places as soon as there are any.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from embersill.council.terms import majority
from embersill.edge.records import Roster, Seat

MOST_SEATS = 9  # members: more would agree no better, only slower
GONE_AFTER = 0.5  # seconds without a link from which a newcomer may take a member's seat
LEFT_OUT_AFTER = 6.0  # seconds from which one is removed without a successor, if enough members remain


@dataclass(frozen=True, slots=True)
class Candidate:
    """A machine of the core that could have a seat."""

    name: str
    zone: str
    seat: Seat


@dataclass(frozen=True, slots=True)
class Requirements:
    """What the deployment has to bear."""

    least: int = 3  # members without which the losses that are to be borne could not be
    # by zone, the place that may be lost as a whole: the zone itself or its region; empty: only machines are
    places: Mapping[str, str] = field(default_factory=dict)

    def place(self, zone: str) -> str:
        """What is lost with a machine of this zone."""
        return self.places.get(zone, zone)

    def most_in_a_place(self, members: int) -> int:
        """Seats that one place may have, so that the others are a majority."""
        return members - majority(members) if self.places else members


@dataclass(frozen=True, slots=True)
class Shortfall:
    """Why the members can't bear the losses that the deployment asks for."""

    members: int
    least: int  # members that it takes
    crowded: str = ""  # a place whose loss leaves no majority; empty if there is none

    def __str__(self) -> str:
        if self.crowded:
            return f"losing {self.crowded} leaves no majority of {self.members} members"
        return f"{self.members} members where {self.least} are needed"


def shortfall(
    members: Collection[str], zones: Mapping[str, str], requirements: Requirements
) -> Shortfall | None:
    """What these members can't bear; None if they bear all that is asked for.

    `zones`: by member, as far as they are known; those of unknown zones crowd no place.
    """
    places = Counter(requirements.place(zones[name]) for name in members if name in zones)
    most = requirements.most_in_a_place(len(members))
    crowded = sorted(place for place, seats in places.items() if seats > most)
    if crowded:
        return Shortfall(len(members), requirements.least, crowded[0])
    if len(members) < requirements.least:
        return Shortfall(len(members), requirements.least)
    return None


def departures(roster: Roster, missing: Mapping[str, float], leaving: Collection[str]) -> list[str]:
    """Members whose seats newcomers may take, those that are missing longest first.

    `missing`: seconds for which each has not been linked. `leaving`: those that were told to stop.
    """
    gone = [name for name in roster.members if missing.get(name, 0.0) >= GONE_AFTER or name in leaving]
    return sorted(gone, key=lambda name: (-missing.get(name, 0.0), name))


class Seating:
    """Seats while the next epoch is made up."""

    def __init__(
        self,
        roster: Roster,
        candidates: list[Candidate],
        zones: Mapping[str, str],
        requirements: Requirements,
    ) -> None:
        """`zones`: of members, as far as they are known."""
        self.members = dict(roster.members)
        self.free = list(candidates)
        self.requirements = requirements
        self.zones = {**zones, **{one.name: one.zone for one in candidates}}

    def place_of(self, name: str) -> str | None:
        """The place of a machine; None where its zone is not known."""
        zone = self.zones.get(name)
        return self.requirements.place(zone) if zone is not None else None

    def seats_by_place(self) -> Counter[str | None]:
        """How many seats each place has."""
        return Counter(self.place_of(name) for name in self.members)

    def successor(self, name: str) -> Candidate | None:
        """The newcomer for a member's seat; None if each would crowd its place."""
        zone, place, seats = self.zones.get(name), self.place_of(name), self.seats_by_place()
        most = self.requirements.most_in_a_place(len(self.members))

        def fits(candidate: Candidate) -> bool:
            there = self.place_of(candidate.name)
            return there == place or seats[there] < most

        def preference(candidate: Candidate) -> tuple[bool, bool, int, str]:
            elsewhere = self.place_of(candidate.name) != place
            return candidate.zone != zone, elsewhere, self.crowd(candidate, seats), candidate.name

        fitting = [one for one in self.free if fits(one)]
        return min(fitting, key=preference) if fitting else None

    def crowd(self, candidate: Candidate, seats: Counter[str | None]) -> int:
        """Seats of a newcomer's place, where that matters."""
        return seats[self.place_of(candidate.name)] if self.requirements.places else 0

    def seat(self, candidate: Candidate, instead_of: str | None = None) -> None:
        """A newcomer takes a seat, its own or a member's."""
        if instead_of is not None:
            del self.members[instead_of]
        self.free.remove(candidate)
        self.members[candidate.name] = candidate.seat

    def spread_out(self) -> None:
        """Gives seats of crowded places to newcomers of others."""
        most = self.requirements.most_in_a_place(len(self.members))
        while self.free:
            seats = self.seats_by_place()
            crowded = [name for name in sorted(self.members) if seats[self.place_of(name)] > most]
            newcomers = [one for one in self.free if seats[self.place_of(one.name)] < most]
            if not crowded or not newcomers:
                return
            self.seat(min(newcomers, key=lambda one: (self.crowd(one, seats), one.name)), crowded[-1])


def next_members(
    roster: Roster,
    candidates: list[Candidate],
    missing: Mapping[str, float],
    leaving: Collection[str],
    zones: Mapping[str, str],
    requirements: Requirements,
) -> dict[str, Seat]:
    """The members of the next epoch; the same as now where nothing is to be changed.

    `candidates`: linked machines of the core that are up to date and have no seat. `zones`: of members, as
    far as they are known.
    """
    seating = Seating(roster, candidates, zones, requirements)
    members = seating.members
    for name in departures(roster, missing, leaving):
        chosen = seating.successor(name)
        if chosen is not None:
            seating.seat(chosen, instead_of=name)
        elif (
            missing.get(name, 0.0) >= LEFT_OUT_AFTER
            and len(members) > requirements.least
            and not requirements.places
        ):
            del members[name]
    while seating.free and len(members) < min(requirements.least, MOST_SEATS):
        seats = seating.seats_by_place()
        seating.seat(min(seating.free, key=lambda one: (seating.crowd(one, seats), one.name)))
    seating.spread_out()
    return members
