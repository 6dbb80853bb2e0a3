"""Offices: one owner at a time, numbers that grow, and acts that are refused once it is over."""

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


class Posts(Bench):
    """Members that stand for one office."""

    def __init__(
        self, n: int = 3, terms: CouncilTerms = TERMS, prefer: tuple[str, ...] = ("m0", "m1", "m2")
    ) -> None:
        super().__init__(n, terms)
        self.posts = {
            name: OfficeLease("work", member, terms, self.now, prefer=prefer)
            for name, member in self.members.items()
        }
        for name, member in self.members.items():
            member.register.on_accepted = self.seen(name)
        self.stopped = set(self.names[1:])
        self.most = 0
        self.go(0.2)  # the first one takes it
        self.stopped.clear()

    def seen(self, name: str) -> Callable[[str, Entry], None]:
        def observe(key: str, entry: Entry) -> None:
            if key == "office/work":
                self.posts[name].observe(entry, self.now, confirmed=False)

        return observe

    def go(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for name, post in self.posts.items():
                if name not in self.stopped:
                    post.tick(self.now)
            self.settle(0.01)
            self.most = max(self.most, sum(post.held(self.now) for post in self.posts.values()))

    def owners(self) -> list[str]:
        return [name for name, post in self.posts.items() if post.held(self.now)]


def test_the_first_in_the_order_takes_it_and_keeps_it() -> None:
    bench = Posts()
    bench.go(1.0)
    assert bench.owners() == ["m0"] and bench.most == 1
    number = bench.posts["m0"].known_number()
    bench.go(5.0)
    assert bench.owners() == ["m0"] and bench.posts["m0"].counts["taken"] == 1
    assert all(
        post.known_number() == number and post.holder(bench.now) == "m0" for post in bench.posts.values()
    )


def test_an_owner_that_stands_still_is_followed_once_its_lease_is_over_and_not_before() -> None:
    bench = Posts()
    bench.go(1.0)
    post = bench.posts["m0"]
    bench.stopped.add("m0")
    began, until = bench.now, post.lease.expires_at if post.lease is not None else 0.0
    while not bench.posts["m1"].held(bench.now):
        bench.go(0.01)
    assert until <= bench.now <= began + TERMS.lease + 0.2
    assert bench.most == 1
    with pytest.raises(NotHeld):
        post.act(bench.now)
    assert bench.posts["m1"].known_number() == 2
    bench.stopped.clear()
    bench.go(0.2)
    assert bench.owners() == ["m1"] and post.counts["lost"] == 1


def test_an_owner_that_is_cut_off_stops_by_itself_before_another_begins() -> None:
    bench = Posts()
    bench.go(1.0)
    bench.alone("m0")
    gap = 0
    for _ in range(120):
        bench.go(0.01)
        gap += not bench.owners()
    assert bench.owners() == ["m1"] and bench.most == 1
    assert 0 < gap * 0.01 < 0.25
    bench.drop = lambda *a: False
    bench.go(1.0)
    assert bench.owners() == ["m1"]


def test_where_each_hears_only_its_neighbours_it_stands_with_one() -> None:
    bench = Posts()
    bench.cut(("m0", "m2"), ("m2", "m0"))
    bench.go(10.0)
    assert len(bench.owners()) == 1 and bench.most == 1
    assert sum(post.counts["taken"] for post in bench.posts.values()) <= 2


def test_one_that_hears_nobody_disturbs_nobody() -> None:
    bench = Posts()
    bench.go(1.0)
    bench.cut(("m0", "m2"), ("m1", "m2"))  # m2 is heard and hears nothing
    rounds = bench.members["m0"].counts["lost"]
    bench.go(5.0)
    assert bench.owners() == ["m0"] and bench.members["m0"].counts["lost"] == rounds
    assert bench.posts["m0"].counts["taken"] == 1


def test_it_is_given_up_in_order_and_taken_at_once() -> None:
    bench = Posts()
    bench.go(1.0)
    bench.posts["m0"].leave(bench.now)
    began = bench.now
    while not bench.owners():
        bench.go(0.01)
    assert bench.owners() == ["m1"] and bench.now - began < TERMS.lease / 2 and bench.most == 1
    bench.go(2.0)
    assert bench.owners() == ["m1"]


def test_who_goes_before_gets_it_back_once_it_was_well_for_long() -> None:
    bench = Posts(terms=CouncilTerms(settle_back=3.0))
    bench.go(1.0)
    bench.alone("m0")
    bench.go(1.5)
    assert bench.owners() == ["m1"]
    bench.drop = lambda *a: False
    bench.go(2.0)
    assert bench.owners() == ["m1"]  # not yet
    bench.go(3.0)
    assert bench.owners() == ["m0"] and bench.most == 1 and bench.posts["m1"].counts["given"] == 1


def test_one_that_resigns_does_not_take_it_again_for_a_while() -> None:
    bench = Posts()
    bench.go(1.0)
    bench.posts["m0"].resign(bench.now, 3.0)
    bench.go(1.0)
    assert bench.owners() == ["m1"]
    bench.alone("m1")
    bench.go(1.0)
    assert bench.owners() == ["m2"]


def test_acts_are_numbered_and_say_until_when_they_may_be_written() -> None:
    bench = Posts()
    bench.go(1.0)
    post = bench.posts["m0"]
    first, second = post.act(bench.now), post.act(bench.now)
    assert (first.act.number, first.act.sequence, second.act.sequence) == (1, 1, 2)
    assert bench.now < first.write_by <= bench.now + TERMS.usable
    with pytest.raises(NotHeld):
        post.act(first.write_by)


def test_what_one_member_accepted_and_no_majority_did_begins_the_wait_anew() -> None:
    bench = Posts()
    bench.go(1.0)
    post = bench.posts["m1"]
    assert post.observed is not None
    before, free = post.observed, post.may_take_at()
    bench.now += 0.3
    other = Entry(
        before.version, "another write", encode_office(OfficeRecord("m2", 1, before.record.number, 0))
    )
    post.observe(other, bench.now, confirmed=False)
    assert post.may_take_at() >= free + 0.25 and post.observed.writer == "another write"
    older = Entry(before.version - 1, "late", encode_office(OfficeRecord("", 0, 1, 0)))
    post.observe(older, bench.now + 0.1, confirmed=False)
    assert post.observed.writer == "another write"


def test_what_can_t_be_read_is_nobody_s() -> None:
    assert read_office(Entry(3, "w", b"\xc1")).holder == "" and read_office(None).number == 0


def test_the_order_is_the_same_for_all_and_spreads_offices() -> None:
    names = [f"m{n}" for n in range(5)]
    assert candidate_order("a", names) == candidate_order("a", reversed(names))
    assert (
        candidate_order("a", names, ["m3"])[0] == "m3" and len(set(candidate_order("a", names, ["m3"]))) == 5
    )
    firsts = {candidate_order(f"office {n}", names)[0] for n in range(40)}
    assert firsts == set(names)


def test_terms_that_do_not_fit_are_refused() -> None:
    check_council_terms(CouncilTerms())
    with pytest.raises(ValueError, match="hello_every"):
        check_council_terms(CouncilTerms(hello_every=0.0))


KNOWN = {"probes": (3, "m1")}


def test_a_fence_takes_each_act_once_and_in_order() -> None:
    fence = Fence(frozenset({"probes"}))
    known = KNOWN.__getitem__
    assert fence.check(Act("probes", 3, 5), "m1", known) is FenceResult.TAKEN
    assert fence.check(Act("probes", 3, 5), "m1", known) is FenceResult.REPEATED
    assert fence.check(Act("probes", 3, 4), "m1", known) is FenceResult.REPEATED
    assert fence.check(Act("probes", 3, 6), "m1", known) is FenceResult.TAKEN
    assert fence.refused() == 2


@pytest.mark.parametrize(
    ("act", "sender", "known", "why"),
    [
        (Act("probes", 2, 9), "m1", (3, "m1"), FenceResult.OLD),
        (Act("probes", 3, 1), "m1", (3, ""), FenceResult.OLD),
        (Act("probes", 4, 1), "m1", (3, "m1"), FenceResult.UNKNOWN),
        (Act("probes", 1 << 60, 1), "m1", (3, "m1"), FenceResult.UNKNOWN),
        (Act("probes", 3, 1), "m2", (3, "m1"), FenceResult.STRANGER),
        (Act("other", 3, 1), "m1", (3, "m1"), FenceResult.NO_OFFICE),
    ],
)
def test_a_fence_says_why(act: Act, sender: str, known: tuple[int, str], why: FenceResult) -> None:
    fence = Fence(frozenset({"probes"}))
    assert fence.check(act, sender, lambda office: known) is why
    # and whatever it was, it is in nobody's way
    assert fence.check(Act("probes", 3, 1), "m1", lambda office: (3, "m1")) is FenceResult.TAKEN


def test_a_fence_that_took_a_higher_number_takes_no_lower_one_whatever_the_register_shows() -> None:
    fence = Fence(frozenset({"probes"}))
    assert fence.check(Act("probes", 5, 1), "m2", lambda office: (5, "m2")) is FenceResult.TAKEN
    assert fence.check(Act("probes", 4, 9), "m1", lambda office: (4, "m1")) is FenceResult.OLD
