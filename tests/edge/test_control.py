"""Control plane failure scenarios with a few seeds each, and unit tests of the parts they rely on."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

import pytest

from embersill.edge.configuration.document import EMPTY, MAX_KEPT_DIGESTS, apply_change, digest
from embersill.edge.consensus.lease import LEASE_MARGIN_S, Lease
from embersill.edge.consensus.membership import Candidate, Requirements, next_members
from embersill.edge.consensus.serial import Finished, SerialQueue
from embersill.edge.records import Roster, Seat
from embersill.lab.edge import control, days, sites
from embersill.lab.edge.fault_kinds import FAULTS, PLANNED
from embersill.lab.edge.fleet import change
from embersill.lab.edge.random_days import random_day
from embersill.world.version_history import Order, Outcome, Read, violations


@pytest.mark.parametrize("seed", range(4))
def test_a_member_that_is_cut_off_confirms_and_hands_out_nothing(seed: int) -> None:
    assert not control.cut_member(seed).failures


@pytest.mark.parametrize("seed", range(3))
def test_a_member_that_is_restarted_alone_serves_nothing_from_its_disk(seed: int) -> None:
    assert not control.restarted_alone(seed).failures


@pytest.mark.parametrize("seed", range(3))
def test_a_process_that_stood_still_has_no_lease_as_it_wakes_up(seed: int) -> None:
    assert not control.paused_member(seed).failures


@pytest.mark.parametrize("seed", range(12))
def test_orders_that_race_and_are_sent_again_have_a_linearizable_history(seed: int) -> None:
    assert not control.racing_changes(seed).failures


def test_an_order_that_was_taken_hundreds_of_changes_ago_is_acknowledged_again() -> None:
    assert not control.late_resend(1).failures


def test_beyond_what_is_remembered_an_order_has_no_clear_answer_and_is_never_refused() -> None:
    state = EMPTY
    for version in range(1, MAX_KEPT_DIGESTS + 3):
        state = apply_change(state, "PUT", change(version, version - 1)).ok
    assert len(state["taken"]) == MAX_KEPT_DIGESTS and state["forgotten"] == 2
    assert apply_change(state, "PUT", change(3, 2)).ok is state
    assert apply_change(state, "PUT", change(2, 1)).error.status == 500
    assert apply_change(state, "PUT", change(3, 2, routes=2)).error.status == 412
    assert len(digest("PUT", change(1, 0))) == 16


@pytest.mark.parametrize(("cores", "borne"), [(3, 1), (4, 1), (5, 2), (6, 2)])
@pytest.mark.parametrize("seed", range(3))
def test_drawn_days_of_losses_cuts_and_replacements_break_nothing(seed: int, cores: int, borne: int) -> None:
    assert not random_day(seed, cores, borne).failures


@pytest.mark.parametrize("seed", range(10))
def test_a_second_loss_after_a_replacement_leaves_a_majority(seed: int) -> None:
    assert not control.second_loss(seed).failures


@pytest.mark.parametrize("seed", range(6))
def test_two_of_five_are_replaced_and_two_more_may_be_lost(seed: int) -> None:
    assert not control.second_loss_of_five(seed).failures


@pytest.mark.parametrize("seed", range(6))
def test_a_member_that_leaves_waits_until_its_successors_have_what_it_has(seed: int) -> None:
    assert not control.last_copy(seed).failures


@pytest.mark.parametrize("seed", range(6))
def test_a_member_whose_disk_refused_an_epoch_has_forgotten_no_promise(seed: int) -> None:
    assert not control.refused_epoch(seed).failures


@pytest.mark.parametrize(("wiped", "routes"), [(False, 1), (True, 1), (False, 3000), (True, 3000)])
def test_a_member_that_slept_through_hundreds_of_changes_catches_up(wiped: bool, routes: int) -> None:
    assert not control.caught_up(2, 300, wiped, routes).failures


@pytest.mark.parametrize("seed", range(4))
def test_an_answer_to_an_earlier_life_is_no_answer_to_this_one(seed: int) -> None:
    assert not control.previous_process_answer(seed).failures
    assert not control.previous_process_update(seed).failures


def test_a_lease_runs_from_the_beginning_of_the_read_and_never_gets_shorter() -> None:
    lease = Lease()
    lease.set_read_interval(1.0)
    assert not lease.held(0.0)
    lease.renew(10.0)
    lease.renew(9.0)  # a read that began earlier and ended later
    assert lease.held(11.0 + LEASE_MARGIN_S) and not lease.held(11.1 + LEASE_MARGIN_S)


def test_operations_run_one_after_the_other_and_too_many_are_turned_away() -> None:
    serial, begun, finishers = SerialQueue(2), list[int](), list[Finished]()

    def operation(number: int) -> bool:
        def begin(finished: Finished) -> None:
            begun.append(number)
            finishers.append(finished)

        return serial.submit(begin)

    assert [operation(number) for number in range(4)] == [True, True, True, False]
    assert begun == [0]
    finishers[0]()
    assert begun == [0, 1] and operation(4)
    finishers[1]()
    finishers[2]()
    assert begun == [0, 1, 2, 4]


def seat(number: int) -> Seat:
    return Seat(f"10.0.0.{number}", f"disk{number}")


ROSTER = Roster(3, {f"m{n}": seat(n) for n in (1, 2, 3)})
ZONES = {"m1": "a", "m2": "b", "m3": "c"}
NEWCOMERS = [Candidate("n7", "b", seat(7)), Candidate("n8", "c", seat(8))]
TOLERATES_ONE = Requirements(3)
ZONES_MAY_FAIL = {zone: zone for zone in "abc"}


def next_names(
    candidates: list[Candidate],
    missing: dict[str, float],
    leaving: Collection[str] = (),
    roster: Roster = ROSTER,
    requirements: Requirements = TOLERATES_ONE,
) -> list[str]:
    return sorted(next_members(roster, candidates, missing, leaving, ZONES, requirements))


def test_a_newcomer_stands_by_and_takes_the_seat_of_who_is_lost_or_leaves_in_one_step() -> None:
    assert next_names(NEWCOMERS, {}) == ["m1", "m2", "m3"]  # no temporary fourth member
    assert next_names(NEWCOMERS, {"m3": 0.2}) == ["m1", "m2", "m3"]
    assert next_names(NEWCOMERS, {"m3": 0.6}) == ["m1", "m2", "n8"]  # the newcomer of the same zone
    assert next_names(NEWCOMERS[:1], {"m3": 0.6}) == ["m1", "m2", "n7"]
    assert next_names(NEWCOMERS, {}, {"m2"}) == ["m1", "m3", "n7"]
    assert next_names(NEWCOMERS, {"m1": 9.0, "m2": 1.0}) == [
        "m3",
        "n7",
        "n8",
    ]  # both are replaced in one epoch


def test_a_seat_is_given_up_without_a_successor_only_while_enough_remain() -> None:
    four = Roster(3, {**ROSTER.members, "m4": seat(4)})
    assert next_names([], {"m3": 60.0}) == ["m1", "m2", "m3"]
    assert next_names([], {"m3": 5.0}, roster=four) == ["m1", "m2", "m3", "m4"]
    assert next_names([], {"m3": 7.0}, roster=four) == ["m1", "m2", "m4"]
    assert next_names([], {"m3": 7.0}, roster=four, requirements=Requirements(3, ZONES_MAY_FAIL)) == [
        "m1",
        "m2",
        "m3",
        "m4",
    ]
    assert next_names(NEWCOMERS, {}, requirements=Requirements(5)) == ["m1", "m2", "m3", "n7", "n8"]


def order(version: int, based_on: int, outcome: Outcome, began: float, mark: str = "") -> Order:
    return Order(version, based_on, mark or f"{version}", began, began + 1.0, outcome)


def test_the_checker_of_histories_finds_what_no_single_copy_could_tell() -> None:
    taken, refused = Outcome.TAKEN, Outcome.REFUSED
    good = [
        order(1, 0, taken, 0.0),
        order(2, 1, taken, 2.0),
        order(3, 1, refused, 2.0),
        order(1, 0, taken, 5.0),
        order(4, 2, Outcome.UNCLEAR, 6.0),
    ]
    assert not violations(good, [Read(1, 1.5, 2.5), Read(2, 4.0, 5.0), Read(4, 7.0, 8.0)])
    assert violations([*good, order(5, 1, taken, 8.0)], [])  # a fork
    assert violations([*good, order(2, 1, taken, 8.0, "another")], [])  # two under one number
    assert violations([*good, order(1, 0, refused, 8.0)], [])  # refused after it was acknowledged
    assert violations(good, [Read(1, 4.0, 5.0)]) and violations(good, [Read(9, 4.0, 5.0)])


SITE = {"contracts": ["base"], "day": [{"name": "t-1", "slot": "trouble", "traffic": [], "labels": []}]}


def kinds_of(day: dict[str, Any]) -> set[str]:
    return {trouble["kind"] for trouble in (*day["plan"], *day["faults"])}


def test_drawn_days_repeat_and_know_only_what_their_site_knows() -> None:
    drawn = [days.day(SITE, days.ANYTHING, seed) for seed in range(60)]
    assert drawn[7] == days.day(SITE, days.ANYTHING, 7) != drawn[8]
    met = set[str]().union(*map(kinds_of, drawn))
    bound = {kind.name for kind in (*FAULTS, *PLANNED) if kind.contract}
    assert met == {kind.name for kind in (*FAULTS, *PLANNED)} - bound
    rich = {**SITE, "contracts": ["health", "pool"]}
    assert bound <= set[str]().union(*(kinds_of(days.day(rich, days.ANYTHING, seed)) for seed in range(60)))
    for point in days.POINTS:
        assert kinds_of(days.day(SITE, point, 1))


def test_another_deployment_is_made_of_a_sites_file() -> None:
    counted = [{"zone": zone, "count": 1, "counted": True} for zone in "abc"]
    site: dict[str, Any] = {
        "name": "s",
        "zones": [{"name": zone, "region": "r"} for zone in "abc"],
        "machines": [*counted, {"zone": "a", "count": 4}],
        "tolerate": {"machines": 1, "zones": 0, "regions": 0},
    }
    made = sites.variant(site, "five")
    assert [group["count"] for group in made["machines"]] == [2, 2, 1, 4]
    assert made["tolerate"] == {"machines": 2, "zones": 0, "regions": 0} and made["name"] == "s-five"
    assert sites.variant(site, "zones")["tolerate"]["zones"] == 1
    assert len({zone["region"] for zone in sites.variant(site, "regions")["zones"]}) == 3
    with pytest.raises(ValueError, match="three zones"):
        sites.variant({**site, "zones": site["zones"][:2]}, "six")


@pytest.mark.parametrize("seed", range(3))
def test_a_change_right_after_another_is_fetched_as_soon_as_it_is_told(seed: int) -> None:
    fleet = control.founded_fleet(seed, 3, 2)
    for version in (2, 3, 4):
        heard = fleet.machines[0].call("PUT", change(version, version - 1))
        fleet.run(0.15)
        assert [verdict.status for verdict in heard] == [200]
        assert {control.node_of(machine).state["version"] for machine in fleet.machines} == {version}


@pytest.mark.parametrize("lost", [(0,), (0, 1)])
def test_members_that_lost_their_disks_long_ago_vote_in_the_next_epoch_at_once(lost: tuple[int, ...]) -> None:
    fleet = control.founded_fleet(1, 3, 1)
    for number in lost:
        fleet.machines[number].wipe()
        fleet.run(0.5)
        fleet.machines[number].start()
        fleet.run(control.CATCH_UP_S)
    fleet.add(True, "c")
    fleet.run(2.0)
    control.remove_machine(fleet, fleet.machines[2])
    fleet.run(2.0)
    for number in (0, 1):
        machine = fleet.machines[number]
        agreement = control.node_of(machine).agreement
        assert agreement.roster is not None and agreement.roster.epoch == 2 and agreement.votes
        assert agreement.roster.members[machine.name].store == machine.disk["store"].decode()


def test_a_full_disk_and_two_lost_ones_long_ago_leave_a_majority_of_six() -> None:
    """Seed 125: at the epoch change two members had new disks, one had a full disk and one was paused."""
    assert not random_day(125, 6, 2).failures
