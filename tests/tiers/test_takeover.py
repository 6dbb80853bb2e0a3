"""Takeovers, partitions and other edge cases of the two tiers, reproduced step by step on the cores."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from embersill.interface import AttemptEnded, ListKind, Outcome, Refuse, Status
from embersill.rig.settings import lab_settings
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.messages import Batch, Grant, Recall, Refused, Reserve
from embersill.tiers.parts import part_of
from embersill.tiers.reserves import Demand, depth_left, max_reserved, rebalance
from tests.tiers.helpers import PARTS, TERMS, Bench, backends


def ended(bench: Bench, forwarder: str, number: int, outcome: Outcome, attempt: int = 0) -> None:
    send = bench.sends(forwarder, number)[attempt]
    over = outcome is Outcome.SERVED
    bench.did(
        forwarder,
        bench.forwarders[forwarder].handle(
            AttemptEnded(number, attempt, send.backend, outcome, 0.1, over, 1.0, ()), bench.now
        ),
    )


def other(name: str) -> str:
    return "p1" if name == "p0" else "p0"


@pytest.mark.parametrize("outcome", [Outcome.SERVED, Outcome.BROKEN, Outcome.TURNED_AWAY])
def test_a_planner_dies_between_granting_an_extract_and_hearing_its_outcome(outcome: Outcome) -> None:
    bench = Bench()
    bench.link_all()
    old = bench.holder("f0")
    bench.ask("f0", 1, "extract", "pro", units=3.0)
    bench.exchange()
    assert len(bench.sends("f0", 1)) == 1
    for forwarder in bench.names:
        bench.cut(forwarder, old)
    bench.exchange()
    assert bench.holder("f0") == other(old)
    ended(bench, "f0", 1, outcome)
    bench.run(0.3)
    sends, answers = bench.sends("f0", 1), bench.answers("f0", 1)
    if outcome is Outcome.SERVED:
        assert len(sends) == 1 and not answers  # the driver has answered it
    elif (
        outcome is Outcome.BROKEN
    ):  # it may have run: must not be sent again, and not be refused as safe to retry
        assert len(sends) == 1 and len(answers) == 1 and not isinstance(answers[0], Refuse)
    else:
        assert len(sends) == 2 and not answers
    throttle = bench.planners[other(old)].gateway.throttles["c"]
    pro = bench.settings.plans[1]
    assert throttle.cap <= pro.ceiling_depth - 3.0 + pro.ceiling_rate * 0.4  # counted
    assert throttle.cap >= pro.ceiling_depth - 3.0 - 1e-6 - pro.ceiling_rate * 2  # and not twice


def test_units_spent_under_the_old_term_are_missing_from_the_new_ceiling() -> None:
    bench = Bench()
    bench.link_all()
    bench.run(5.0)  # long enough for the whole ceiling to be known
    old = bench.holder("f0")
    for number in range(8):
        bench.ask("f0" if number % 2 else "f1", number + 1, plan="pro", units=3.0)
    bench.exchange()
    assert sum(len(bench.sends(f, n)) for f in bench.names for n in range(1, 9)) == 8
    for forwarder in bench.names:
        bench.cut(forwarder, old)
    bench.exchange()
    bench.ask("f0", 99, plan="pro", units=1.0)
    bench.run(0.2)
    planner = bench.planners[other(old)]
    # includes the forwarders' reserves, which the old planner handed out and they kept
    held = planner.reserves_held(planner.parts[part_of("c", PARTS)], "c")
    cap = planner.gateway.throttles["c"].cap + held
    assert held > 0
    pro = bench.settings.plans[1]
    spent = 8 * 3.0 + 1.0
    assert pro.ceiling_depth - spent <= cap + 1e-6 <= pro.ceiling_depth - spent + pro.ceiling_rate * 0.3


def test_a_planner_that_was_paused_past_its_lease_is_not_obeyed_and_spends_nothing() -> None:
    bench = Bench()
    bench.link_all()
    bench.run(5.0)
    old = bench.holder("f0")
    bench.ask("f0", 1, plan="pro", units=3.0)
    bench.to_planner("f0", old)  # the ask has reached the planner, which stalls here
    session = bench.sessions["f0", old]
    grants, basis, acked = bench.planners[old].take_outbox(session)
    assert any(isinstance(m, Grant) for m in grants)
    bench.run(TERMS.lease + 0.5, frozen=(old,))
    assert bench.holder("f0") == other(old) and len(bench.sends("f0", 1)) == 1
    before = list(bench.sends("f0", 1))
    # it resumes: its earlier messages arrive, and it may no longer spend any of the ceiling
    bench.did("f0", bench.forwarders["f0"].received(old, Batch(0, basis, acked, grants), bench.now))
    assert bench.sends("f0", 1) == before
    planner = bench.planners[old]
    planner.tick(bench.now)
    part = planner.parts[part_of("c", PARTS)]
    assert not planner.usable(part) and part.ceiling == 0.0


def test_a_resumed_planner_gets_nothing_lent_by_an_echo_alone() -> None:
    """Found by schedules: with its link still up, the next echo renewed a loan that another held."""
    bench = Bench()
    bench.link_all()
    old = bench.holder("f0")
    bench.run(TERMS.silent_after + 0.1, frozen=(old,))
    assert bench.holder("f0") == other(old)
    assert any(isinstance(m, Recall) for m in bench.forwarders["f0"].outbox[old])


def test_an_old_grant_is_not_executed() -> None:
    """A grant older than its freshness may name a backend that is draining by now."""
    bench = Bench()
    bench.link_all()
    holder = bench.holder("f0")
    bench.ask("f0", 1)
    bench.to_planner("f0", holder)
    messages, basis, acked = bench.planners[holder].take_outbox(bench.sessions["f0", holder])
    bench.now += TERMS.fresh + 0.2
    bench.did("f0", bench.forwarders["f0"].received(holder, Batch(0, basis, acked, messages), bench.now))
    assert not bench.sends("f0", 1)
    assert bench.forwarders["f0"].counts["stale"] == 1
    bench.planners[holder].tick(bench.now)
    bench.to_forwarder(
        "f0", holder
    )  # a beat; its echo is sent with the report that the attempt was not started
    bench.exchange()
    bench.run(0.1)
    assert len(bench.sends("f0", 1)) == 1  # the planner learns that it was not started, and grants again


def test_a_share_is_not_lent_twice_at_once() -> None:
    """A partition: each planner keeps one forwarder. Together they never have more than one ceiling."""
    bench = Bench()
    bench.link_all()
    bench.run(TERMS.bequest)
    old = bench.holder("f0")
    # f1 loses the leader, which does not notice
    bench.cut("f1", old)
    bench.exchange()
    assert bench.holder("f0") == old and bench.holder("f1") == other(old)
    part = part_of("c", PARTS)
    shares = []
    for _ in range(60):
        bench.now += 0.02
        for name in bench.planners:
            bench.planners[name].tick(bench.now)
        bench.exchange()
        usable = [len(p.usable(p.parts[part])) for p in bench.planners.values()]
        shares.append(usable)
        assert sum(usable) <= len(bench.names)
    assert shares[0][int(old == "p1")] == 2 and shares[0][int(old == "p0")] == 0  # both still at the old
    assert shares[-1] == [1, 1]


def test_both_sides_of_a_partition_hold_one_ceiling() -> None:
    settings = lab_settings(2)
    plans = tuple(
        replace(p, rate=100.0, burst=200.0, ceiling_rate=5.0, ceiling_depth=10.0) if p.name == "pro" else p
        for p in settings.plans
    )
    bench = Bench(settings=replace(settings, plans=plans))
    bench.link_all()
    bench.run(5.0)
    old, sent, number = bench.holder("f0"), list[float](), 0
    bench.cut("f1", old)

    def pour() -> None:
        nonlocal number
        for forwarder in bench.names:
            number += 1
            bench.ask(forwarder, number, plan="pro", units=1.0, budget=0.5)
        bench.exchange()
        bench.serve()

    began = bench.now
    bench.run(4.0, each=pour)
    for forwarder in bench.names:
        sent += [bench.now for n in range(1, number + 1) if bench.sends(forwarder, n)]
    assert 10 <= len(sent) <= 10.0 + 5.0 * (bench.now - began) + 1e-6


def test_the_answer_of_an_old_leader_after_the_new_ones_is_ignored() -> None:
    bench = Bench()
    bench.link_all()
    old = bench.holder("f0")
    bench.ask("f0", 1)
    ask = bench.forwarders["f0"].last_ask
    bench.run(TERMS.silent_after + 0.1, frozen=(old,))
    assert len(bench.sends("f0", 1)) == 1
    late = [Refused(ask, 1.0), Grant(ask, 0, "b0", 1.0)]
    bench.did("f0", bench.forwarders["f0"].received(old, Batch(0, 1, 0, late), bench.now))  # type: ignore[arg-type]
    assert len(bench.sends("f0", 1)) == 1 and not bench.answers("f0", 1)


def test_a_slow_planner_costs_a_request_a_bounded_part_of_its_budget() -> None:
    bench = Bench(planners=1)
    bench.link_all()
    bench.ask("f0", 1, budget=1.0)
    began = bench.now
    while not bench.sends("f0", 1):
        bench.now += 0.01
        # beats still arrive, so it is not silent, but it receives nothing
        bench.did("f0", bench.forwarders["f0"].received("p0", Batch(0, 0, 0, []), bench.now))
        bench.did("f0", bench.forwarders["f0"].tick(bench.now))
        assert bench.now < began + 0.5
    assert bench.now - began <= TERMS.patience_part * 1.0 + 0.02
    assert bench.forwarders["f0"].counts["local"] == 1


def test_no_planner_serves_each_share_and_comes_back_without_a_jump() -> None:
    settings = lab_settings(2)
    plans = tuple(
        replace(p, rate=100.0, burst=200.0, ceiling_rate=5.0, ceiling_depth=10.0) if p.name == "pro" else p
        for p in settings.plans
    )
    bench = Bench(planners=1, settings=replace(settings, plans=plans))
    bench.link_all()
    bench.run(5.0)
    for forwarder in bench.names:
        bench.cut(forwarder, "p0")
    number, began = 0, bench.now

    def pour() -> None:
        nonlocal number
        for forwarder in bench.names:
            number += 1
            bench.ask(forwarder, number, plan="pro", units=1.0, budget=0.5)
        bench.serve()

    bench.run(TERMS.lease - 0.1, each=pour)
    assert not any(bench.sends(f, n) for f in bench.names for n in range(number + 1))  # still lent
    bench.run(10.0, each=pour)
    alone = sum(bool(bench.sends(f, n)) for f in bench.names for n in range(number + 1))
    assert 30 <= alone <= 5.0 * (bench.now - began) + 1e-6  # the whole rate, from the shares, and no burst
    bench.start_planner("p0")
    for forwarder in bench.names:
        bench.link(forwarder, "p0")

    def pour_both() -> None:
        pour()
        bench.exchange()

    bench.run(4.0, each=pour_both)
    after = sum(bool(bench.sends(f, n)) for f in bench.names for n in range(number + 1)) - alone
    assert 10 <= after <= 5.0 * 4.0 + 10.0 / 2 + 1.0  # no second burst: the shares had spent the tokens


def test_a_forwarder_that_starts_with_no_planner_serves() -> None:
    bench = Bench()
    bench.ask("f0", 1)
    bench.ask("f0", 2, plan="pro", customer="d")
    assert len(bench.sends("f0", 1)) == 1
    assert not bench.sends("f0", 2)  # the bequest of an earlier process may still be spent elsewhere
    bench.run(TERMS.bequest + 1.0)
    bench.ask("f0", 3, plan="pro", customer="d")
    assert len(bench.sends("f0", 3)) == 1


def test_a_forwarder_that_dies_leaves_nothing_open_and_its_share_unused() -> None:
    bench = Bench()
    bench.link_all()
    old = bench.holder("f0")
    bench.ask("f0", 1)
    bench.exchange()
    planner = bench.planners[old]
    assert planner.jobs
    session = bench.sessions.pop(("f0", old))
    planner.link_down(session, bench.now)
    assert not planner.jobs and not planner.gateway.jobs
    assert all(server.flight == 0 for server in planner.gateway.servers.values())
    assert len(planner.usable(planner.parts[part_of("c", PARTS)])) == 1


def test_a_forwarder_that_stops_in_order_leaves_its_share_for_a_while() -> None:
    bench = Bench()
    bench.link_all()
    old = bench.holder("f0")
    part = bench.planners[old].parts[part_of("c", PARTS)]
    bench.forwarders["f0"].stop(bench.now)
    bench.to_planner("f0", old)
    for planner in bench.planner_names:
        session = bench.sessions.pop(("f0", planner))
        bench.planners[planner].link_down(session, bench.now)
    bench.run(TERMS.lease + 0.5)
    assert len(bench.planners[old].usable(part)) == 2
    bench.run(TERMS.bequest)
    assert len(bench.planners[old].usable(part)) == 1


def test_a_planned_stop_of_a_planner_hands_over_with_nothing_lost() -> None:
    bench = Bench()
    bench.link_all()
    old = bench.holder("f0")
    bench.ask("f0", 1, "extract")
    bench.exchange()
    bench.planners[old].leave(bench.now)
    bench.exchange()
    bench.run(0.2)
    assert bench.planners[old].holds_nothing()
    assert bench.holder("f0") == other(old)
    ended(bench, "f0", 1, Outcome.TURNED_AWAY)
    bench.run(0.1)
    assert len(bench.sends("f0", 1)) == 2


def test_a_drain_told_to_the_planner_reaches_the_forwarder() -> None:
    bench = Bench()
    bench.link_all()
    planner = bench.planners[bench.holder("f0")]
    planner.list_told(backends("b0", status=Status.DRAINING, kind=ListKind.CHANGES), bench.now)
    bench.exchange()
    assert bench.forwarders["f0"].withdrawn == ["b0"]


def test_a_cold_backend_gets_its_part_from_two_planners_together() -> None:
    """Each planner draws independently and keeps the same fraction of draws on a cold backend."""
    bench = Bench(planners=2)
    bench.link_all()
    listed = backends("cold", "b0", "b1", "b2", "b3", "b4")
    cold = replace(listed.backends[0], started=bench.now - 0.1)
    listed = replace(listed, backends=(cold, *listed.backends[1:]))
    for planner in bench.planners.values():
        planner.list_told(listed, bench.now)
    to_cold, number = 0, 0
    for _ in range(300):
        for customer in ("c", "d", "e", "f"):
            number += 1
            bench.ask("f0", number, customer=customer)
        bench.exchange()
        for n in range(number - 3, number + 1):
            send = bench.sends("f0", n)[0]
            to_cold += send.backend == "cold"
            ended(bench, "f0", n, Outcome.SERVED)
        bench.exchange()
    assert {bench.holder("f0", c) for c in ("c", "d", "e", "f")} == {"p0", "p1"}
    assert 10 <= to_cold <= 76  # a warm one gets 200; a cold one can carry 3 x 19 % of that: 114


def test_a_planner_that_is_added_moves_only_its_part() -> None:
    few = Bench(planners=2)
    many = Bench(planners=3)
    few.link_all()
    many.link_all()
    for number in range(PARTS):
        before = few.forwarders["f0"].parts[number].holder
        after = many.forwarders["f0"].parts[number].holder
        assert before is not None and after is not None
        assert after.name in (before.name, "p2")


def test_a_planner_refuses_what_is_over_its_bound() -> None:
    bench = Bench()
    bench.link_all()
    planner = bench.planners[bench.holder("f0")]
    planner.most_open = 0
    bench.run(0.2)
    bench.ask("f0", 1)
    bench.exchange()
    assert [type(a).__name__ for a in bench.answers("f0", 1)] == ["Refuse"]


def test_a_part_is_whole_only_when_all_have_lent_it_at_one_moment() -> None:
    """Found by schedule 5863: one had moved to another planner, with its Recall still in flight."""
    bench = Bench(forwarders=3)
    bench.link_all()
    bench.run(TERMS.bequest)
    old = bench.holder("f0")
    planner, part = bench.planners[old], bench.planners[old].parts[part_of("c", PARTS)]
    assert part.whole
    # f2 hears nothing from its planner and leaves it; its Recall does not arrive
    for _ in range(8):
        bench.now += TERMS.beat_every
        for name in bench.names:
            bench.did(name, bench.forwarders[name].tick(bench.now))
        planner.tick(bench.now)
        for name in ("f0", "f1"):
            bench.to_planner(name, old)
            bench.to_forwarder(name, old)
        for name in bench.names:
            bench.to_planner(name, other(old))
            bench.planners[other(old)].tick(bench.now)
            bench.to_forwarder(name, other(old))
    assert bench.holder("f2") == other(old) and "f2" in part.lenders
    # f0 leaves and comes back: all three are listed as lenders, but f2 no longer is one
    bench.cut("f0", old)
    planner.link_down(planner.sessions["f0"], bench.now)
    bench.link("f0", old)
    bench.cut("f0", other(old))  # otherwise it would not come back at once
    for _ in range(3):
        bench.now += TERMS.beat_every
        planner.tick(bench.now)
        for name in ("f0", "f1"):
            bench.to_forwarder(name, old)
            bench.to_planner(name, old)
        bench.did("f0", bench.forwarders["f0"].tick(bench.now))
    assert part.lenders.keys() == {"f0", "f1", "f2"}
    assert not part.whole


def test_customers_that_come_once_are_forgotten() -> None:
    bench = Bench(planners=1)
    bench.link_all()
    planner, number = bench.planners["p0"], 0
    for _ in range(20):
        for _ in range(40):
            number += 1
            bench.ask("f0", number, customer=f"once{number}")
        bench.exchange()
        bench.serve()
        bench.exchange()
        bench.run(0.5)
    bench.run(3.0)
    assert number == 800
    assert sum(len(part.customers) for part in planner.parts) == len(planner.gateway.throttles) < 200
    assert not planner.jobs and not bench.forwarders["f0"].tasks and not bench.forwarders["f0"].asks
    assert len(bench.forwarders["f0"].ledger.spends) == 0  # nothing is recorded for an unlimited plan


def test_very_many_customers_are_lent_part_by_part() -> None:
    """Lending all at once would stall the forwarder for over a second, and the planner as long."""
    bench = Bench(forwarders=1, planners=1)
    forwarder = bench.forwarders["f0"]
    for number in range(12_000):
        forwarder.ledger.record(f"{number:016x}", "pro", 1.0, bench.now)
    bench.link("f0", "p0")
    held = [sum(part.holder is not None for part in forwarder.parts)]
    while held[-1] < PARTS:
        bench.run(TERMS.beat_every / 2)
        held.append(sum(part.holder is not None for part in forwarder.parts))
    assert held[0] == 1 and held[1] < PARTS  # 3,000 customers in each: one part at a time, by ticks and beats
    bench.run(0.2)
    assert all(part.whole for part in bench.planners["p0"].parts)


def reserved(bench: Bench, seconds: float = 6.0) -> tuple[Forwarder, str]:
    """A forwarder that holds a reserve of a customer's ceiling, and its planner."""
    bench.link_all()
    bench.run(5.0)
    for number in range(int(seconds * 4)):
        bench.ask("f0", 1000 + number, plan="pro", units=2.0)
        bench.run(0.25)
        bench.serve()
    forwarder = bench.forwarders["f0"]
    assert forwarder.reserves["c"].units > 10.0 and forwarder.reserves["c"].portion > 0.9
    return forwarder, bench.holder("f0")


def test_what_a_planner_hands_out_counts_in_its_own_loan_only() -> None:
    bench = Bench()
    forwarder, planner = reserved(bench)
    part = forwarder.parts[part_of("c", PARTS)]
    before = forwarder.reserves["c"].units
    link = forwarder.links[planner]
    for term, units in ((part.term - 1, 5.0), (part.term + 1, 5.0)):
        forwarder.on_reserve(link, Reserve("c", "pro", term, units, 1.0))
    forwarder.on_reserve(forwarder.links[other(planner)], Reserve("c", "pro", part.term, 5.0, 1.0))
    assert forwarder.reserves["c"].units == before
    forwarder.on_reserve(link, Reserve("c", "pro", part.term, 5.0, 1.0))
    assert forwarder.reserves["c"].units == before + 5.0


def test_what_is_asked_back_is_given_back_as_far_as_it_is_there() -> None:
    bench = Bench()
    forwarder, planner = reserved(bench)
    core, part = bench.planners[planner], bench.planners[planner].parts[part_of("c", PARTS)]
    held, term = forwarder.reserves["c"].units, forwarder.parts[part_of("c", PARTS)].term
    cap = core.gateway.throttles["c"].cap
    forwarder.on_reserve(forwarder.links[planner], Reserve("c", "pro", term, -99.0, 0.2))
    assert forwarder.reserves["c"].units == 0.0
    bench.to_planner("f0", planner)
    assert core.reserves_held(part, "c") == 0.0
    assert core.gateway.throttles["c"].cap == pytest.approx(cap + held, abs=2.5)  # 0.1 s of it fill


def test_a_reserve_that_is_spent_while_the_share_is_lent_counts_at_the_planner() -> None:
    bench = Bench()
    forwarder, planner = reserved(bench)
    core, part = bench.planners[planner], bench.planners[planner].parts[part_of("c", PARTS)]
    held = forwarder.reserves["c"].units
    bench.ask("f0", 1, plan="pro", units=3.0)
    forwarder.outbox[planner].clear()  # the planner does not receive it: the forwarder's wait ends
    for _ in range(10):
        bench.now += 0.05
        forwarder.links[planner].heard = bench.now
        bench.did("f0", forwarder.tick(bench.now))
    assert bench.sends("f0", 1) and forwarder.reserves["c"].units == pytest.approx(held - 3.0)
    bench.to_planner("f0", planner)
    assert core.reserves_held(part, "c") == pytest.approx(held - 3.0)
    assert 3.0 in [u for _, u in core.ledger.spends_of("c", bench.now)]


def test_one_that_is_cut_off_spends_its_reserve_at_once_and_no_more() -> None:
    bench = Bench()
    forwarder, planner = reserved(bench)
    held = forwarder.reserves["c"].units
    for name in bench.planner_names:
        bench.cut("f0", name)
    bench.did("f0", forwarder.tick(bench.now))
    for number in range(30):
        bench.ask("f0", 1 + number, plan="pro", units=2.0)
        bench.serve()
    sent = sum(len(bench.sends("f0", 1 + number)) for number in range(30))
    assert sent == int(held // 2.0)
    # and reports what is left when it is back
    bench.link("f0", planner)
    bench.run(0.3)
    core, part = bench.planners[planner], bench.planners[planner].parts[part_of("c", PARTS)]
    assert core.reserves_held(part, "c") <= 2.0


def test_a_planner_that_hears_fewer_is_left_by_all_and_taken_again_by_all_at_one_time() -> None:
    bench = Bench(forwarders=3)
    bench.link_all()
    bench.run(TERMS.bequest)
    old = bench.holder("f0")
    assert {bench.holder(name) for name in bench.names} == {old}
    bench.cut("f2", old)
    assert bench.holder("f2") == other(old)
    bench.run(2 * TERMS.silent_after + 3 * TERMS.beat_every)
    assert {bench.holder(name) for name in bench.names} == {other(old)}
    assert bench.planners[other(old)].parts[part_of("c", PARTS)].whole
    # f2 is back: nobody follows at once, then all do, at about one beat
    bench.link("f2", old)
    bench.run(TERMS.settle - 2 * TERMS.beat_every)
    assert {bench.holder(name) for name in bench.names} == {other(old)}
    bench.run(5 * TERMS.beat_every)
    assert {bench.holder(name) for name in bench.names} == {old}
    assert bench.planners[old].parts[part_of("c", PARTS)].whole


def test_one_that_loses_all_planners_goes_back_to_the_first_of_each_part_at_once() -> None:
    bench = Bench()
    bench.link_all()
    bench.run(TERMS.bequest)
    before = {bench.holder(name) for name in bench.names}
    for name in bench.names:
        for planner in bench.planner_names:
            bench.did(name, bench.forwarders[name].link_lost(planner, bench.now))
        assert bench.holder(name) == ""  # known at once, without a wait for the planner
    bench.run(3 * TERMS.beat_every)
    assert {bench.holder(name) for name in bench.names} == before


def test_where_all_planners_are_late_none_is_left_sooner_than_twice_the_silence() -> None:
    bench = Bench(forwarders=1)
    bench.link_all()
    bench.run(TERMS.bequest)
    core, holder = bench.forwarders["f0"], bench.holder("f0")
    for link in core.links.values():
        link.heard = bench.now
    bench.now += 1.5 * TERMS.silent_after
    core.tick(bench.now)
    assert bench.holder("f0") == holder
    bench.now += 0.6 * TERMS.silent_after
    core.tick(bench.now)
    assert bench.holder("f0") == ""


def test_reserves_follow_the_demand_and_never_add_up_to_more_than_they_may() -> None:
    demand, now, held = Demand(100.0), 100.0, {"f0": 0.0, "f1": 0.0, "f2": 0.0}
    chance = random.Random(5)
    busiest = "f0"
    for step in range(4000):
        now += 0.05
        if step % 800 == 400:
            busiest = {"f0": "f1", "f1": "f2", "f2": "f0"}[busiest]
        demand.record(busiest if chance.random() < 0.9 else chance.choice(list(held)), 2.0, now)
        for transfer in rebalance(demand, held, 24.0, chance.uniform(0.0, 20.0), now):
            held[transfer.forwarder] = max(held[transfer.forwarder] + transfer.units, 0.0)
            assert 0.0 <= transfer.portion <= 1.0
        if step % 40 == 0:
            held[busiest] = max(held[busiest] - chance.uniform(0.0, 8.0), 0.0)
        assert sum(held.values()) <= 24.0 + 1e-9
        if step % 800 == 399:
            assert held[busiest] > 8.0 and held[busiest] == max(held.values())


@pytest.mark.parametrize(
    ("burst", "depth", "rate", "wanted"),
    [
        (24.0, 48.0, 12.0, 24.0),
        (24.0, 30.0, 12.0, 6.0),
        (24.0, 24.0, 12.0, 0.0),
        (0.0, 48.0, 0.0, 24.0),
        (0.0, 20.0, 0.0, 4.0),
    ],
)
def test_a_customers_burst_passes_at_its_planner_whatever_is_held(
    burst: float,
    depth: float,
    rate: float,
    wanted: float,
) -> None:
    plan = replace(lab_settings(1).plans[1], burst=burst, rate=rate, ceiling_depth=depth)
    assert max_reserved(plan, 8.0) == wanted


@pytest.mark.parametrize("forwarders", [1, 2, 3, 5, 200])
def test_depths_add_up_to_no_more_than_the_ceilings(forwarders: int) -> None:
    """Holds for a planner with some lenders and for the other forwarders, whatever each of them holds."""
    plan, chance = lab_settings(1).plans[1], random.Random(forwarders)
    most = max_reserved(plan, 8.0)
    for _ in range(2000):
        lenders = chance.randint(0, forwarders)
        drawn = [chance.random() ** 4 for _ in range(forwarders)]
        whole = most * chance.random() / sum(drawn)
        holds = [part * whole for part in drawn]
        held = sum(holds[:lenders])
        planner = depth_left(plan, lenders / forwarders, held, lenders, forwarders, most)
        alone = [max(plan.ceiling_depth / forwarders, units) for units in holds[lenders:]]
        if planner > 0:
            assert planner + held + sum(alone) <= plan.ceiling_depth + 1e-9
