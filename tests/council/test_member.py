"""Reads and writes of the register, restarts and recovery of members, one message at a time."""

from __future__ import annotations

import msgspec
import pytest

from embersill.council.member import How
from embersill.council.messages import (
    MAX_AHEAD,
    Accept,
    Accepted,
    Answer,
    Ballot,
    CellReply,
    Entry,
    Hello,
    Join,
    JoinReply,
    Life,
    NotReady,
    Origin,
    Prepare,
    Question,
    Refused,
    Request,
    Superseded,
    decode_question,
    decode_reply,
    encode_frame,
)
from embersill.council.register import Register
from embersill.council.terms import MAX_KEYS, MAX_VALUE_BYTES
from embersill.tiers.messages import BadFrame
from tests.council.helpers import Bench, value


def test_a_member_reads_what_another_wrote() -> None:
    bench = Bench()
    written = bench.write("m0", "k", "a")
    bench.settle()
    assert value(written) == "a"
    read = bench.read("m2", "k")
    bench.settle()
    assert value(read) == "a"
    assert bench.read("m1", "nothing") == []


@pytest.mark.parametrize("members", [1, 2, 3, 5])
def test_a_register_works_with_any_number_of_members(members: int) -> None:
    bench = Bench(members)
    for n, name in enumerate(bench.names):
        written = bench.write(name, "k", f"v{n}")
        bench.settle(0.5)
        assert value(written) == f"v{n}"


def test_a_change_that_declines_the_value_found_writes_nothing() -> None:
    bench = Bench()
    bench.write("m0", "k", "a")
    bench.settle()
    refused = bench.write("m1", "k", "b", wanted="x")
    bench.settle(0.5)
    assert refused[0].how is How.REFUSED and refused[0].entry is not None
    assert refused[0].entry.data == b"a" and refused[0].entry.version == 1


def test_the_second_write_of_one_member_needs_one_round() -> None:
    bench = Bench()
    bench.write("m0", "k", "a")
    bench.settle()
    seen: list[str] = []

    def watch(sender: str, to: str, message: Request | Answer) -> bool:
        if sender == "m0" and isinstance(message, Prepare | Accept):
            seen.append(type(message).__name__)
        return False

    bench.drop = watch
    again = bench.write("m0", "k", "b")
    bench.settle()
    assert value(again) == "b" and seen == ["Accept"] * 3


def test_a_refusal_based_on_advance_promises_is_confirmed_by_a_majority() -> None:
    bench = Bench()
    bench.write("m0", "k", "a")
    bench.settle()
    bench.write("m1", "k", "b")
    bench.settle(0.5)
    refused = bench.write("m0", "k", "c", wanted="a")  # the last entry m0 wrote itself is "a", since replaced
    bench.settle(0.5)
    assert refused[0].how is How.REFUSED and refused[0].entry is not None
    assert refused[0].entry.data == b"b"


def test_an_isolated_member_can_neither_read_nor_write() -> None:
    bench = Bench()
    bench.isolate("m0")
    read, written = bench.read("m0", "k"), bench.write("m0", "k", "a")
    bench.settle(3.0)
    assert read[0].how is How.FAILED and written[0].how is How.FAILED
    others = bench.write("m1", "k", "b")
    bench.settle(0.5)
    assert value(others) == "b"


def test_a_write_accepted_by_a_minority_ends_unknown_and_a_read_completes_it() -> None:
    bench = Bench()
    bench.write("m0", "k", "a")
    bench.settle()
    bench.drop = lambda sender, to, message: isinstance(message, Accept) and to != "m0"
    written = bench.write("m0", "k", "b")
    bench.settle(2.5)
    assert written[0].how is How.UNKNOWN
    bench.cut(("m1", "m0"), ("m0", "m1"))  # m2 reaches a majority with m0, which has the entry
    read = bench.read("m2", "k")
    bench.settle(1.0)
    first = value(read)
    bench.drop = lambda *a: False
    for name in bench.names:
        again = bench.read(name, "k")
        bench.settle(1.0)
        assert value(again) == first == "b"


def test_a_peek_does_not_return_an_entry_accepted_by_one_member_only() -> None:
    bench = Bench()
    bench.write("m0", "k", "a")
    bench.settle()
    bench.drop = lambda sender, to, message: isinstance(message, Accept) and to != "m0"
    bench.write("m0", "k", "b")
    bench.deliver_round()
    bench.members["m0"].operations.clear()
    bench.cut(("m0", "m1"), ("m0", "m2"))  # m0's answers are lost
    read = bench.read("m1", "k")
    bench.settle(1.0)
    assert value(read) == "a"


def test_two_concurrent_writes_both_end_and_at_least_one_is_done() -> None:
    bench = Bench()
    both = [bench.write(name, "k", name) for name in ("m0", "m1")]
    bench.settle(2.0)
    ends = {done[0].how for done in both}
    assert How.DONE in ends and ends <= {How.DONE, How.UNKNOWN}
    read = bench.read("m2", "k")
    bench.settle(0.5)
    assert value(read) in ("m0", "m1")


def test_a_duplicate_accept_is_answered_again_and_recorded_once() -> None:
    register = Register("m0", ["m0"])
    register.load([])
    register.begin_life("n")
    register.votes = True
    origin = Origin("m0", register.life, 0)
    ballot = Ballot(1, "m0", 1)
    accept = Accept(origin, "k", ballot, Entry(1, "w", b"a"), Ballot(2, "m0", 1))
    mark = register.mark
    assert isinstance(register.handle(accept), Accepted) and register.mark == mark + 1
    assert isinstance(register.handle(accept), Accepted) and register.mark == mark + 1
    lower = Accept(origin, "k", Ballot(0, "m9", 1), Entry(1, "w", b"b"), Ballot(1, "m9", 1))
    assert isinstance(register.handle(lower), Refused)


def test_implausible_ballots_and_keys_beyond_the_limit_are_refused() -> None:
    register = Register("m0", ["m0"])
    register.load([])
    register.begin_life("n")
    register.votes = True
    origin = Origin("m0", register.life, 0)
    far = Prepare(origin, "k", Ballot(MAX_AHEAD + 1, "m0", 1))
    assert isinstance(register.handle(far), NotReady) and not register.cells
    for n in range(MAX_KEYS):
        assert isinstance(register.handle(Prepare(origin, f"k{n}", Ballot(1, "m0", 1))), CellReply)
    assert isinstance(register.handle(Prepare(origin, "more", Ballot(1, "m0", 1))), NotReady)


def records_of(bench: Bench, name: str) -> list[bytes]:
    return [msgspec.msgpack.encode(bench.members[name].register.snapshot())]


def test_a_member_that_restarts_with_its_state_votes_again() -> None:
    bench = Bench()
    bench.write("m0", "k", "a")
    bench.settle()
    member = bench.start("m0", records_of(bench, "m0"))
    assert not member.register.votes and member.register.life.boot == 2
    bench.settle(1.0)
    assert member.register.votes
    bench.isolate("m2")
    read = bench.read("m1", "k")
    bench.settle(0.5)
    assert value(read) == "a"


def test_the_register_survives_a_restart_of_all_members_at_once() -> None:
    bench = Bench()
    bench.write("m0", "k", "a")
    bench.settle()
    kept = {name: records_of(bench, name) for name in bench.names}
    for name, records in kept.items():
        bench.start(name, records)
    bench.settle(2.0)
    read = bench.read("m1", "k")
    bench.settle(0.5)
    assert value(read) == "a"


def test_a_member_without_its_state_recovers_it_from_a_majority_of_the_others() -> None:
    bench = Bench()
    bench.write("m0", "k", "a")
    bench.settle()
    bench.isolate("m2")  # it misses the write
    bench.write("m0", "k", "b")
    bench.settle(0.5)
    bench.cut(("m0", "m2"), ("m2", "m0"))
    member = bench.start("m0", None)  # m0 and m1 had "b"; m0 has lost it, and m2 has "a"
    bench.settle(2.0)
    assert not member.register.votes  # m1 alone cannot know what m0 had promised to others
    bench.drop = lambda *a: False
    bench.settle(2.0)
    assert member.register.votes and member.register.life.boot > 1
    bench.isolate("m1")
    read = bench.read("m2", "k")
    bench.settle(1.0)
    assert value(read) == "b"


def test_an_outdated_state_is_recovered_from_the_others() -> None:
    bench = Bench()
    old = records_of(bench, "m0")
    bench.write("m1", "k", "a")
    bench.settle(1.0)
    member = bench.start("m0", old)
    bench.settle(2.0)
    assert member.register.votes and member.counts["learned"] == 1
    assert member.register.cells["k"].entry is not None


def test_an_answer_of_a_life_that_is_over_no_longer_counts_towards_a_majority() -> None:
    # m0 promises to m1 and loses its state; m1's majority would be m0's old life and
    # m2, which knows the new one
    bench = Bench()
    promises: list[str] = []

    def hold(sender: str, to: str, message: Request | Answer) -> bool:
        if isinstance(message, Prepare) and sender == "m1" and to == "m2":
            return True
        if isinstance(message, CellReply) and to == "m1":
            promises.append(sender)
        return False

    bench.drop = hold
    m1 = bench.members["m1"]
    bench.write("m1", "k", "a")
    operation = next(iter(m1.operations.values()))
    bench.drop = lambda sender, to, message: hold(sender, to, message) or sender == to == "m1"
    bench.deliver_round()
    assert set(operation.replies) == {"m0"}
    life = Life(7, "x")
    m2 = bench.members["m2"].register
    m2.note_origin(Origin("m0", life, 0))
    answer = m2.handle(Prepare(Origin("m1", m1.register.life, 0), "k", operation.ballot))
    m1.on_answer(operation.number, answer, bench.now)
    assert not operation.accepted and operation.phase.value == "prepare"


def test_the_older_of_two_processes_with_one_name_retires() -> None:
    bench = Bench()
    retired: list[Life] = []
    first = bench.members["m0"]
    first.on_retired = retired.append
    bench.start("m0", records_of(bench, "m0"))
    bench.settle(1.0)
    answer = bench.members["m1"].register.handle(Hello(first.register.origin))
    first.on_answer(0, answer, bench.now)
    assert isinstance(answer, Superseded) and first.register.retired and retired
    results = []
    first.read("k", lambda result, now: results.append(result), bench.now)
    assert results[0].how is How.FAILED


def test_a_member_without_a_vote_sends_no_state() -> None:
    register = Register("m0", ["m0", "m1"])
    register.load([])
    register.begin_life("n")
    answer = register.handle(Join(Origin("m1", Life(1, "n"), 0)))
    assert isinstance(answer, NotReady) and answer.reason == "starting"
    register.votes = True
    assert isinstance(register.handle(Join(Origin("m1", Life(2, "n"), 0))), JoinReply)


def test_an_undecodable_record_is_refused() -> None:
    with pytest.raises(ValueError, match="undecodable journal record"):
        Register("m0", ["m0"]).load([b"\xc1"])


@pytest.mark.parametrize("frame", [b"", b"\xc1", b"\x93\xa1q\x01\x01", bytes(50)])
def test_undecodable_frames_are_refused(frame: bytes) -> None:
    with pytest.raises(BadFrame):
        decode_question(frame)
    with pytest.raises(BadFrame):
        decode_reply(frame)


def test_a_value_over_the_limit_is_refused_by_its_receiver() -> None:
    origin = Origin("m0", Life(1, "n"), 0)
    entry = Entry(1, "w", b"x" * (MAX_VALUE_BYTES + 1))
    frame = encode_frame(Question(1, Accept(origin, "k", Ballot(1, "m0", 1), entry, Ballot(2, "m0", 1))))
    with pytest.raises(BadFrame):
        decode_question(frame)
