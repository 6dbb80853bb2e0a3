"""Leases on offices: one owner at a time, growing numbers, and actions that are refused after expiry."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from embersill.council.fences import Fence, FenceResult
from embersill.council.messages import Act, Entry
from embersill.council.offices import (
    OfficeRecord,
    NotHeld,
    OfficeLease,
    candidate_order,
    read_office,
    encode_office,
)
from embersill.council.terms import CouncilTerms, check_council_terms
from tests.council.helpers import TERMS, Bench


class LeaseBench(Bench):
    """Members that are candidates for one office."""

    def __init__(
        self, n: int = 3, terms: CouncilTerms = TERMS, prefer: tuple[str, ...] = ("m0", "m1", "m2")
    ) -> None:
        super().__init__(n, terms)
        self.leases = {
            name: OfficeLease("work", member, terms, self.now, prefer=prefer)
            for name, member in self.members.items()
        }
        for name, member in self.members.items():
            member.register.on_accepted = self.seen(name)
        self.stopped = set(self.names[1:])
        self.max_owners = 0
        self.run(0.2)  # the first member takes the office
        self.stopped.clear()

    def seen(self, name: str) -> Callable[[str, Entry], None]:
        def observe(key: str, entry: Entry) -> None:
            if key == "office/work":
                self.leases[name].observe(entry, self.now, confirmed=False)

        return observe

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for name, lease in self.leases.items():
                if name not in self.stopped:
                    lease.tick(self.now)
            self.settle(0.01)
            self.max_owners = max(
                self.max_owners, sum(lease.held(self.now) for lease in self.leases.values())
            )

    def owners(self) -> list[str]:
        return [name for name, lease in self.leases.items() if lease.held(self.now)]


def test_the_first_candidate_takes_the_office_and_keeps_it() -> None:
    bench = LeaseBench()
    bench.run(1.0)
    assert bench.owners() == ["m0"] and bench.max_owners == 1
    number = bench.leases["m0"].known_number()
    bench.run(5.0)
    assert bench.owners() == ["m0"] and bench.leases["m0"].counts["taken"] == 1
    assert all(
        lease.known_number() == number and lease.holder(bench.now) == "m0" for lease in bench.leases.values()
    )


def test_a_stalled_owner_is_replaced_after_its_lease_and_not_before() -> None:
    bench = LeaseBench()
    bench.run(1.0)
    lease = bench.leases["m0"]
    bench.stopped.add("m0")
    started_at, expires_at = bench.now, lease.lease.expires_at if lease.lease is not None else 0.0
    while not bench.leases["m1"].held(bench.now):
        bench.run(0.01)
    assert expires_at <= bench.now <= started_at + TERMS.lease + 0.2
    assert bench.max_owners == 1
    with pytest.raises(NotHeld):
        lease.act(bench.now)
    assert bench.leases["m1"].known_number() == 2
    bench.stopped.clear()
    bench.run(0.2)
    assert bench.owners() == ["m1"] and lease.counts["lost"] == 1


def test_an_isolated_owner_stops_before_another_member_begins() -> None:
    bench = LeaseBench()
    bench.run(1.0)
    bench.isolate("m0")
    gap = 0
    for _ in range(120):
        bench.run(0.01)
        gap += not bench.owners()
    assert bench.owners() == ["m1"] and bench.max_owners == 1
    assert 0 < gap * 0.01 < 0.25
    bench.drop = lambda *a: False
    bench.run(1.0)
    assert bench.owners() == ["m1"]


def test_the_office_stays_with_one_member_where_each_reaches_only_its_neighbours() -> None:
    bench = LeaseBench()
    bench.cut(("m0", "m2"), ("m2", "m0"))
    bench.run(10.0)
    assert len(bench.owners()) == 1 and bench.max_owners == 1
    assert sum(lease.counts["taken"] for lease in bench.leases.values()) <= 2


def test_a_member_that_receives_nothing_disturbs_nobody() -> None:
    bench = LeaseBench()
    bench.run(1.0)
    bench.cut(("m0", "m2"), ("m1", "m2"))  # m2 is heard and hears nothing
    rounds = bench.members["m0"].counts["lost"]
    bench.run(5.0)
    assert bench.owners() == ["m0"] and bench.members["m0"].counts["lost"] == rounds
    assert bench.leases["m0"].counts["taken"] == 1


def test_a_released_office_is_taken_at_once() -> None:
    bench = LeaseBench()
    bench.run(1.0)
    bench.leases["m0"].leave(bench.now)
    started_at = bench.now
    while not bench.owners():
        bench.run(0.01)
    assert bench.owners() == ["m1"] and bench.now - started_at < TERMS.lease / 2 and bench.max_owners == 1
    bench.run(2.0)
    assert bench.owners() == ["m1"]


def test_a_preferred_member_gets_the_office_back_after_settle_back() -> None:
    bench = LeaseBench(terms=CouncilTerms(settle_back=3.0))
    bench.run(1.0)
    bench.isolate("m0")
    bench.run(1.5)
    assert bench.owners() == ["m1"]
    bench.drop = lambda *a: False
    bench.run(2.0)
    assert bench.owners() == ["m1"]  # not yet
    bench.run(3.0)
    assert bench.owners() == ["m0"] and bench.max_owners == 1 and bench.leases["m1"].counts["given"] == 1


def test_a_member_that_resigned_does_not_take_the_office_for_a_while() -> None:
    bench = LeaseBench()
    bench.run(1.0)
    bench.leases["m0"].resign(bench.now, 3.0)
    bench.run(1.0)
    assert bench.owners() == ["m1"]
    bench.isolate("m1")
    bench.run(1.0)
    assert bench.owners() == ["m2"]


def test_permits_are_numbered_and_carry_their_deadline() -> None:
    bench = LeaseBench()
    bench.run(1.0)
    lease = bench.leases["m0"]
    first, second = lease.act(bench.now), lease.act(bench.now)
    assert (first.act.number, first.act.sequence, second.act.sequence) == (1, 1, 2)
    assert bench.now < first.write_by <= bench.now + TERMS.usable
    with pytest.raises(NotHeld):
        lease.act(first.write_by)


def test_an_entry_accepted_by_a_single_member_restarts_the_wait() -> None:
    bench = LeaseBench()
    bench.run(1.0)
    lease = bench.leases["m1"]
    assert lease.observed is not None
    before, may_take_at = lease.observed, lease.may_take_at()
    bench.now += 0.3
    other = Entry(
        before.version, "another write", encode_office(OfficeRecord("m2", 1, before.record.number, 0))
    )
    lease.observe(other, bench.now, confirmed=False)
    assert lease.may_take_at() >= may_take_at + 0.25 and lease.observed.writer == "another write"
    older = Entry(before.version - 1, "late", encode_office(OfficeRecord("", 0, 1, 0)))
    lease.observe(older, bench.now + 0.1, confirmed=False)
    assert lease.observed.writer == "another write"


def test_an_undecodable_office_has_no_holder() -> None:
    assert read_office(Entry(3, "w", b"\xc1")).holder == "" and read_office(None).number == 0


def test_the_candidate_order_is_the_same_for_all_members_and_spreads_offices() -> None:
    names = [f"m{n}" for n in range(5)]
    assert candidate_order("a", names) == candidate_order("a", reversed(names))
    assert (
        candidate_order("a", names, ["m3"])[0] == "m3" and len(set(candidate_order("a", names, ["m3"]))) == 5
    )
    firsts = {candidate_order(f"office {n}", names)[0] for n in range(40)}
    assert firsts == set(names)


def test_inconsistent_terms_are_refused() -> None:
    check_council_terms(CouncilTerms())
    with pytest.raises(ValueError, match="hello_every"):
        check_council_terms(CouncilTerms(hello_every=0.0))


KNOWN = {"probes": (3, "m1")}


def test_a_fence_accepts_each_action_once_and_in_order() -> None:
    fence = Fence(frozenset({"probes"}))
    known = KNOWN.__getitem__
    assert fence.check(Act("probes", 3, 5), "m1", known) is FenceResult.TAKEN
    assert fence.check(Act("probes", 3, 5), "m1", known) is FenceResult.REPEATED
    assert fence.check(Act("probes", 3, 4), "m1", known) is FenceResult.REPEATED
    assert fence.check(Act("probes", 3, 6), "m1", known) is FenceResult.TAKEN
    assert fence.refused() == 2


@pytest.mark.parametrize(
    ("act", "sender", "known", "result"),
    [
        (Act("probes", 2, 9), "m1", (3, "m1"), FenceResult.OLD),
        (Act("probes", 3, 1), "m1", (3, ""), FenceResult.OLD),
        (Act("probes", 4, 1), "m1", (3, "m1"), FenceResult.UNKNOWN),
        (Act("probes", 1 << 60, 1), "m1", (3, "m1"), FenceResult.UNKNOWN),
        (Act("probes", 3, 1), "m2", (3, "m1"), FenceResult.STRANGER),
        (Act("other", 3, 1), "m1", (3, "m1"), FenceResult.NO_OFFICE),
    ],
)
def test_a_fence_returns_the_reason_of_a_refusal(
    act: Act, sender: str, known: tuple[int, str], result: FenceResult
) -> None:
    fence = Fence(frozenset({"probes"}))
    assert fence.check(act, sender, lambda office: known) is result
    # a refused action never blocks a valid one
    assert fence.check(Act("probes", 3, 1), "m1", lambda office: (3, "m1")) is FenceResult.TAKEN


def test_a_fence_accepts_no_lower_number_than_before_whatever_the_register_shows() -> None:
    fence = Fence(frozenset({"probes"}))
    assert fence.check(Act("probes", 5, 1), "m2", lambda office: (5, "m2")) is FenceResult.TAKEN
    assert fence.check(Act("probes", 4, 9), "m1", lambda office: (4, "m1")) is FenceResult.OLD
