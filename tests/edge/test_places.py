"""Where whole zones or regions may be lost, seats are spread so that the rest is a majority: small cases."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from itertools import combinations_with_replacement, product
from typing import Any

import pytest

from embersill.council.terms import majority
from embersill.edge.consensus.founding import first_members
from embersill.edge.consensus.membership import (
    REPLACE_AFTER_S,
    MAX_MEMBERS,
    Candidate,
    Requirements,
    Shortfall,
    next_members,
    shortfall,
)
from embersill.edge.program import requirements_of
from embersill.edge.records import Roster, Seat
from embersill.edge.peers.peer_set import Hello
from embersill.edge.status import status_of
from embersill.lab.edge.fleet import Fleet

ZONES = ("a", "b", "c")
BY_ZONE = Requirements(3, {zone: zone for zone in ZONES})
REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
BY_REGION = Requirements(3, REGIONS)


def seats_of(zones: Iterator[str] | tuple[str, ...], first: int = 0) -> dict[str, str]:
    """Machines by name, with the zone of each."""
    return {f"m{number}": zone for number, zone in enumerate(zones, first)}


def bears(zones: list[str], requirements: Requirements) -> bool:
    """Whether a majority is left whichever place is lost."""
    lost = Counter(map(requirements.failure_domain, zones))
    return len(zones) - max(lost.values()) >= majority(len(zones))


def max_seats_per_domain(zones: list[str], requirements: Requirements) -> int:
    return max(Counter(map(requirements.failure_domain, zones)).values())


def next_zones(
    members: dict[str, str], newcomers: dict[str, str], missing: set[str], requirements: Requirements
) -> dict[str, str]:
    """The next epoch's members with their zones."""
    zones = {**members, **newcomers}
    chosen = next_members(
        Roster(1, {name: Seat(name, name) for name in members}),
        [Candidate(name, zone, Seat(name, name)) for name, zone in newcomers.items()],
        {name: REPLACE_AFTER_S for name in missing},
        (),
        members,
        requirements,
    )
    return {name: zones[name] for name in chosen}


def cases(zones: tuple[str, ...], sizes: tuple[int, ...]) -> Iterator[tuple[dict[str, str], dict[str, str]]]:
    """All memberships of these sizes, each with all groups of up to three newcomers."""
    for size, count in product(sizes, range(4)):
        for placed in combinations_with_replacement(zones, size):
            for more in combinations_with_replacement(zones, count):
                yield seats_of(placed), seats_of(more, size)


@pytest.mark.parametrize(
    ("requirements", "zones", "sizes"),
    [(BY_ZONE, ZONES, (3, 4, 5, 6)), (BY_REGION, tuple(REGIONS), (3, 5))],
    ids=["zones", "regions"],
)
def test_no_change_of_members_crowds_a_place_and_what_is_crowded_is_spread(
    requirements: Requirements, zones: tuple[str, ...], sizes: tuple[int, ...]
) -> None:
    count = 0
    for members, newcomers in cases(zones, sizes):
        for missing in (set[str](), {"m0"}, {"m0", "m1"}, {"m2"}):
            count += 1
            before, after = list(members.values()), next_zones(members, newcomers, missing, requirements)
            allowed = requirements.max_seats_per_domain(len(members))
            assert len(after) == len(members)
            assert max_seats_per_domain(list(after.values()), requirements) <= max(
                max_seats_per_domain(before, requirements), allowed
            )
            if bears(before, requirements):
                assert bears(list(after.values()), requirements)
            again = {name: zone for name, zone in newcomers.items() if name not in after}
            if any(
                Counter(map(requirements.failure_domain, after.values()))[requirements.failure_domain(zone)]
                < allowed
                for zone in again.values()
            ):
                assert bears(list(after.values()), requirements)  # else one of them had a use
            if not missing:
                assert next_zones(after, again, missing, requirements) == after
    assert count > 1000


def test_a_lost_member_is_replaced_from_its_own_place_and_not_where_that_would_crowd_another() -> None:
    members = {"m0": "a", "m1": "b", "m2": "c"}
    assert next_zones(members, {"n": "c"}, {"m2"}, BY_ZONE).keys() == {"m0", "m1", "n"}
    assert next_zones(members, {"n": "a"}, {"m2"}, BY_ZONE) == members  # two of three in one zone
    assert next_zones(members, {"n": "a"}, {"m2"}, Requirements(3)).keys() == {"m0", "m1", "n"}
    five = {"m0": "a1", "m1": "a2", "m2": "b1", "m3": "b2", "m4": "c1"}
    assert next_zones(five, {"n": "a1", "o": "c1"}, {"m3"}, BY_REGION).keys() == {"m0", "m1", "m2", "m4", "o"}
    crowded = {"m0": "a", "m1": "a", "m2": "b"}
    assert sorted(next_zones(crowded, {"n": "c"}, set(), BY_ZONE).values()) == ["a", "b", "c"]


def hello(number: int, zone: str) -> Hello:
    name = f"core-{number}"
    return Hello(name, f"10.0.0.{number}", zone, "", True, name, "life")


def test_the_first_members_are_spread_over_places_where_these_may_be_lost() -> None:
    for counts in product(range(4), repeat=len(REGIONS)):
        zones = [zone for zone, count in zip(REGIONS, counts, strict=True) for _ in range(count)]
        cores = [hello(number, zone) for number, zone in enumerate(zones)]
        for requirements in (BY_REGION, Requirements(3)):
            chosen = [one.zone for one in first_members(cores, requirements)]
            assert len(chosen) >= min(len(cores), requirements.min_members)
            assert len(chosen) <= MAX_MEMBERS and (
                requirements.failure_domains or len(chosen) == min(len(cores), 9)
            )
            if len({REGIONS[zone] for zone in zones}) == 3 and requirements.failure_domains:
                assert bears(chosen, requirements)


def test_what_has_to_be_borne_is_read_from_the_settings() -> None:
    def read(**borne: int) -> Requirements:
        local: Any = {"zone": "a1", "zones": REGIONS, "fault_tolerance": borne}
        return requirements_of(local)

    silent: Any = {"zone": "a1"}
    assert requirements_of(silent) == Requirements(3)
    assert read(machine_failures=2) == Requirements(5)
    assert read(machine_failures=1, zones=1, regions=0).failure_domain("a2") == "a2"
    assert read(machine_failures=1, zones=1).failure_domains.keys() == REGIONS.keys()
    assert read(regions=1).failure_domain("a2") == "a"


def test_what_the_members_cannot_bear_is_told() -> None:
    zones = {"m0": "a1", "m1": "a2", "m2": "b1", "m3": "c1"}
    two_regions = Requirements(3, {"a1": "a", "a2": "a", "b1": "b"})
    assert shortfall(("m0", "m2", "m3"), zones, BY_REGION) is None
    assert shortfall(("m0", "m1", "m2"), zones, two_regions) == Shortfall(3, 3, "a")
    assert str(Shortfall(3, 3, "a")) == "losing a leaves no majority of 3 members"
    assert shortfall(("m0", "m2", "m3"), zones, Requirements(5)) == Shortfall(3, 5)
    assert str(Shortfall(3, 5)) == "3 members where 5 are needed"
    assert shortfall(("m0", "m8", "m9"), {"m0": "a1"}, BY_REGION) is None, "unknown zones crowd no place"


def test_operators_hear_which_losses_cannot_be_borne_and_when_they_can_again() -> None:
    fleet = Fleet(1, 3, 1)
    lines: list[str] = []
    fleet.tolerate_losses(2)
    for machine in fleet.machines[:3]:
        assert machine.node is not None
        machine.node.on_view = lines.append
    fleet.run(3.0)
    first = fleet.machines[0]
    assert first.node is not None
    assert lines.count("members short: 3 members where 5 are needed") == 3
    assert status_of(first.node)["short"] == "3 members where 5 are needed"
    fleet.add(True, "a")
    fleet.add(True, "b")
    fleet.run(5.0)
    assert lines.count("members suffice") == 3 and status_of(first.node)["short"] == ""
