"""Chooses the members of the next epoch: replaces, removes and adds members in one step. No I/O.

A newcomer that has the state in force takes the seat of a lost or leaving member in the same epoch change
that removes that member. The number of members therefore does not grow in between, and once the epoch has
begun the system tolerates as many further losses as before. While all members are healthy a newcomer is only
a standby.

Where whole zones or regions may fail, no such failure domain may have so many seats that the others are not
a majority: a seat goes to a newcomer of the same domain, otherwise of the domain with the fewest seats, and
never to one that would overfill its domain. Seats of domains that are overfull all the same go to newcomers
of other domains as soon as there are any.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from embersill.council.terms import majority
from embersill.edge.records import Roster, Seat

MAX_MEMBERS = 9  # more would slow agreement down without making it safer
REPLACE_AFTER_S = 0.5  # without a link, after which a newcomer may take the member's seat
REMOVE_AFTER_S = 6.0  # without a link, after which a member is removed without a successor if enough remain


@dataclass(frozen=True, slots=True)
class Candidate:
    """A core machine that is eligible for a seat."""

    name: str
    zone: str
    seat: Seat


@dataclass(frozen=True, slots=True)
class Requirements:
    """The failures that the deployment must tolerate."""

    min_members: int = 3  # fewest members that tolerate the required losses
    # by zone, the unit that may fail as a whole: the zone itself or its region; empty if only machines fail
    failure_domains: Mapping[str, str] = field(default_factory=dict)

    def failure_domain(self, zone: str) -> str:
        """The failure domain of a zone's machines."""
        return self.failure_domains.get(zone, zone)

    def max_seats_per_domain(self, members: int) -> int:
        """Seats that one failure domain may have so that the others are still a majority."""
        return members - majority(members) if self.failure_domains else members


@dataclass(frozen=True, slots=True)
class Shortfall:
    """Why the members can't tolerate the losses that the deployment requires."""

    members: int
    min_members: int  # members that are needed
    critical_domain: str = ""  # a failure domain whose loss leaves no majority; empty if there is none

    def __str__(self) -> str:
        if self.critical_domain:
            return f"losing {self.critical_domain} leaves no majority of {self.members} members"
        return f"{self.members} members where {self.min_members} are needed"


def shortfall(
    members: Collection[str], zones: Mapping[str, str], requirements: Requirements
) -> Shortfall | None:
    """Which required losses these members can't tolerate; None if they tolerate all of them.

    `zones`: known zones by member name; members of unknown zones count in no failure domain.
    """
    failure_domains = Counter(requirements.failure_domain(zones[name]) for name in members if name in zones)
    max_seats = requirements.max_seats_per_domain(len(members))
    overfull = sorted(
        failure_domain for failure_domain, seats in failure_domains.items() if seats > max_seats
    )
    if overfull:
        return Shortfall(len(members), requirements.min_members, overfull[0])
    if len(members) < requirements.min_members:
        return Shortfall(len(members), requirements.min_members)
    return None


def members_to_replace(roster: Roster, missing: Mapping[str, float], leaving: Collection[str]) -> list[str]:
    """Members whose seats newcomers may take, those missing longest first.

    `missing`: seconds for which each member has had no link. `leaving`: members that were told to stop.
    """
    absent = [name for name in roster.members if missing.get(name, 0.0) >= REPLACE_AFTER_S or name in leaving]
    return sorted(absent, key=lambda name: (-missing.get(name, 0.0), name))


class SeatAssignment:
    """The seats of the next epoch while they are assigned."""

    def __init__(
        self,
        roster: Roster,
        candidates: list[Candidate],
        zones: Mapping[str, str],
        requirements: Requirements,
    ) -> None:
        """`zones`: known zones of members, by name."""
        self.members = dict(roster.members)
        self.unseated = list(candidates)
        self.requirements = requirements
        self.zones = {**zones, **{newcomer.name: newcomer.zone for newcomer in candidates}}

    def domain_of(self, name: str) -> str | None:
        """The failure domain of a machine; None if its zone is not known."""
        zone = self.zones.get(name)
        return self.requirements.failure_domain(zone) if zone is not None else None

    def seats_by_domain(self) -> Counter[str | None]:
        """The number of seats in each failure domain."""
        return Counter(self.domain_of(name) for name in self.members)

    def successor(self, name: str) -> Candidate | None:
        """The newcomer that takes a member's seat; None if each would overfill its failure domain."""
        zone, failure_domain, seats = self.zones.get(name), self.domain_of(name), self.seats_by_domain()
        max_seats = self.requirements.max_seats_per_domain(len(self.members))

        def fits(candidate: Candidate) -> bool:
            own_domain = self.domain_of(candidate.name)
            return own_domain == failure_domain or seats[own_domain] < max_seats

        def preference(candidate: Candidate) -> tuple[bool, bool, int, str]:
            elsewhere = self.domain_of(candidate.name) != failure_domain
            return (
                candidate.zone != zone,
                elsewhere,
                self.seats_in_domain_of(candidate, seats),
                candidate.name,
            )

        fitting = [newcomer for newcomer in self.unseated if fits(newcomer)]
        return min(fitting, key=preference) if fitting else None

    def seats_in_domain_of(self, candidate: Candidate, seats: Counter[str | None]) -> int:
        """Seats in a newcomer's failure domain; 0 if only machines may fail."""
        return seats[self.domain_of(candidate.name)] if self.requirements.failure_domains else 0

    def seat(self, candidate: Candidate, instead_of: str | None = None) -> None:
        """Gives a newcomer an additional seat, or the one of the member `instead_of`."""
        if instead_of is not None:
            del self.members[instead_of]
        self.unseated.remove(candidate)
        self.members[candidate.name] = candidate.seat

    def spread_seats(self) -> None:
        """Moves seats from overfull failure domains to newcomers of others."""
        max_seats = self.requirements.max_seats_per_domain(len(self.members))
        while self.unseated:
            seats = self.seats_by_domain()
            overfull = [name for name in sorted(self.members) if seats[self.domain_of(name)] > max_seats]
            newcomers = [
                newcomer for newcomer in self.unseated if seats[self.domain_of(newcomer.name)] < max_seats
            ]
            if not overfull or not newcomers:
                return
            self.seat(
                min(
                    newcomers, key=lambda newcomer: (self.seats_in_domain_of(newcomer, seats), newcomer.name)
                ),
                overfull[-1],
            )


def next_members(
    roster: Roster,
    candidates: list[Candidate],
    missing: Mapping[str, float],
    leaving: Collection[str],
    zones: Mapping[str, str],
    requirements: Requirements,
) -> dict[str, Seat]:
    """The members of the next epoch; the current ones if nothing needs to change.

    `candidates`: linked core machines without a seat that are up to date. `zones`: known zones of members.
    """
    assignment = SeatAssignment(roster, candidates, zones, requirements)
    members = assignment.members
    for name in members_to_replace(roster, missing, leaving):
        chosen = assignment.successor(name)
        if chosen is not None:
            assignment.seat(chosen, instead_of=name)
        elif (
            missing.get(name, 0.0) >= REMOVE_AFTER_S
            and len(members) > requirements.min_members
            and not requirements.failure_domains
        ):
            del members[name]
    while assignment.unseated and len(members) < min(requirements.min_members, MAX_MEMBERS):
        seats = assignment.seats_by_domain()
        assignment.seat(
            min(
                assignment.unseated,
                key=lambda newcomer: (assignment.seats_in_domain_of(newcomer, seats), newcomer.name),
            )
        )
    assignment.spread_seats()
    return members
