"""Usage is counted, stored, offered and booked exactly once, wherever the export's owner dies."""

from __future__ import annotations

import json
import random

import pytest

from embersill.council.export import (
    KEY,
    MAX_STREAMS,
    RESIGN_AFTER_S,
    BillingAnswer,
    BillingCall,
    Exporter,
    Step,
    meta_from,
    decode_state,
)
from embersill.council.journal import Journal
from embersill.council.messages import MAX_ENTRIES
from embersill.council.offices import HeldLease, OfficeLease
from embersill.council.usage import BATCH_INTERVAL_S, MAX_BATCHES, Tally, UsageJournal
from embersill.rig.billing import MAX_NUMBER_STEP, StandInBilling
from tests.council.helpers import TERMS, Bench
from tests.council.test_journal import world_files


def new_tally(name: str = "s") -> Tally:
    tally = Tally(10.0)
    tally.begin_stream(name)
    tally.records.clear()
    return tally


def close_batch(tally: Tally, now: float = 100.0) -> None:
    tally.take_notes()  # as if they were written
    tally.tick(now)
    tally.durable_batch = tally.closed


# planners


def test_usage_is_accumulated_by_customer_and_period_and_can_be_taken_back() -> None:
    tally = new_tally()
    for units, wall in ((2.0, 1.0), (3.0, 9.0), (1.0, 11.0), (-3.0, 9.5)):
        tally.add("c", units, wall)
    tally.add("d", 5.0, 1.0)
    tally.add("d", -5.0, 1.0)
    assert tally.take_notes() is not None
    tally.tick(100.0)
    assert tally.batches[1] == [("c", 0, 2.0), ("c", 1, 1.0)] and not tally.sums


def test_a_batch_is_offered_once_it_is_on_disk_and_until_it_is_confirmed() -> None:
    tally = new_tally()
    tally.add("c", 2.0, 1.0)
    tally.take_notes()
    tally.tick(100.0)
    assert not tally.offers(8)
    tally.durable_batch = tally.closed
    assert tally.offers(8) == tally.offers(8) == [(1, [("c", 0, 2.0)])]
    tally.confirm(1)
    assert not tally.offers(8) and tally.status()["unreported"] == 0.0
    tally.confirm(1)
    assert len(tally.records) == 2  # one batch and one confirmation


def test_batches_are_bounded_and_usage_accumulates_meanwhile() -> None:
    tally = new_tally()
    for n in range(MAX_BATCHES + 20):
        tally.add("c", 1.0, 1.0)
        close_batch(tally, n * BATCH_INTERVAL_S)
    assert len(tally.batches) == MAX_BATCHES and tally.sums == {("c", 0): 20.0}
    for n in range(MAX_ENTRIES + 10):
        tally.add(f"c{n}", 1.0, 1.0)
    tally.confirm(MAX_BATCHES)
    close_batch(tally, 1e6)
    assert [len(entries) for entries in tally.batches.values()] == [MAX_ENTRIES, 11]


def test_a_usage_journal_survives_a_kill_of_the_process() -> None:
    files = world_files()
    usage = UsageJournal(Journal(files, "use", "use", "m0"), Tally(10.0))
    usage.open("s")
    usage.tally.add("c", 2.0, 1.0)
    assert usage.write_notes()
    usage.tally.tick(100.0)
    assert usage.sync_batches() and usage.tally.offers(8)
    usage.tally.add("c", 3.0, 1.0)
    assert usage.write_notes()
    restarted = UsageJournal(Journal(files, "use", "use", "m0"), Tally(10.0))
    restarted.open("another")
    assert restarted.tally.name == "s" and restarted.tally.offers(8) == [(1, [("c", 0, 2.0)])]
    assert restarted.tally.sums == {("c", 0): 3.0}


def test_a_power_failure_loses_only_unsynced_usage() -> None:
    for seed in range(120):
        files = world_files(seed)
        usage = UsageJournal(Journal(files, "use", "use", "m0"), Tally(10.0))
        usage.open("s")
        chance, synced, noted = random.Random(seed), 0.0, 0.0
        for n in range(chance.randint(2, 20)):
            usage.tally.add(f"c{n % 3}", 1.0, 1.0)
            noted += 1.0
            assert usage.write_notes()
            if chance.random() < 0.3:
                usage.tally.tick(n * BATCH_INTERVAL_S)
                if usage.tally.records and usage.sync_batches():
                    synced = noted
        files.disk.crash()
        restarted = UsageJournal(Journal(files, "use", "use", "m0"), Tally(10.0))
        restarted.open("another")
        left = sum(restarted.tally.sums.values()) + sum(
            u for entries in restarted.tally.batches.values() for _, _, u in entries
        )
        assert synced <= left <= noted and restarted.tally.durable_batch >= usage.tally.durable_batch


def test_usage_stays_in_memory_on_a_full_disk_and_is_written_once_there_is_room() -> None:
    files = world_files()
    usage = UsageJournal(Journal(files, "use", "use", "m0"), Tally(10.0))
    usage.open("s")
    files.disk.error = OSError(28, "no space left on the disk")
    usage.tally.add("c", 2.0, 1.0)
    assert not usage.write_notes() and "space" in usage.disk_error
    files.disk.error = None
    assert usage.write_notes() and not usage.disk_error
    restarted = UsageJournal(Journal(files, "use", "use", "m0"), Tally(10.0))
    restarted.open("another")
    assert restarted.tally.sums == {("c", 0): 2.0}


def test_a_copied_usage_journal_begins_a_new_stream() -> None:
    files = world_files()
    usage = UsageJournal(Journal(files, "use", "use", "m0"), Tally(10.0))
    usage.open("s")
    files.put_back(files.copied())
    restarted = UsageJournal(Journal(files, "use", "use", "m0"), Tally(10.0))
    restarted.open("another")
    assert restarted.tally.name == "another" and "copy" in restarted.disk_error


def test_a_restored_usage_journal_begins_a_new_stream() -> None:
    tally = new_tally()
    tally.add("c", 2.0, 1.0)
    close_batch(tally)
    tally.confirm(7)  # more of this stream is booked than is stored here
    assert tally.name == "s'" and tally.closed == 0 and not tally.batches
    tally.add("c", 1.0, 1.0)
    close_batch(tally, 200.0)
    assert tally.offers(8)[0][0] == 1


# the owner


class Owner:
    """An exporter that holds its office, with a register of three members and billing."""

    def __init__(self) -> None:
        self.bench = Bench()
        self.billing = StandInBilling()
        self.number = 0
        self.exporter = self.next()

    def next(self) -> Exporter:
        """A new owner, which knows of the old one only by the register."""
        self.number += 1
        member = self.bench.members["m0"]
        for operation in list(member.operations.values()):
            operation.on_result = lambda result, now: None
        post = OfficeLease("export", member, TERMS, self.bench.now)
        post.lease = HeldLease(self.number, self.bench.now, self.bench.now + 1e6)
        self.exporter = Exporter(post, member)
        return self.exporter

    def call(self) -> BillingCall | None:
        call, self.exporter.call = self.exporter.call, None
        if call is not None:
            self.exporter.in_flight = True
        return call

    def booked(self, call: BillingCall) -> BillingAnswer:
        headers = {
            "office-number": str(call.permit.act.number),
            "if-position": str(call.position),
            "office-holder": f"owner {call.permit.act.number}",
        }
        method, path = ("PUT", "/usage/owner") if call.body is None else ("POST", "/usage")
        body = b"" if call.body is None else json.dumps(call.body).encode()
        status, told = self.billing.handle(method, path, headers, body, self.bench.now)
        return BillingAnswer(status, told.get("position", -1), meta_from(told))

    def go(self, seconds: float = 1.0) -> None:
        end = self.bench.now + seconds
        while self.bench.now < end:
            self.exporter.tick(self.bench.now)
            call = self.call()
            if call is not None:
                self.exporter.on_answer(call, self.booked(call), self.bench.now)
            self.bench.settle(0.02)

    def batches(self) -> list[tuple[str, int]]:
        return [
            (batch["stream"], batch["number"])
            for booked in self.billing.appends
            for batch in booked.body["batches"]
        ]


def test_offered_batches_are_booked_in_order_and_confirmed() -> None:
    owner = Owner()
    assert owner.exporter.offer("s", 1, [("c", 0, 1.0)]) is None  # the owner has not claimed yet
    owner.go(0.5)
    for number in (3, 1, 2):
        assert owner.exporter.offer("s", number, [("c", 0, 1.0)]) == 0
    owner.go()
    assert owner.batches() == [("s", 1), ("s", 2), ("s", 3)]
    assert owner.exporter.offer("s", 4, []) == 3 and owner.exporter.offer("t", 2, []) == 0
    owner.go()
    assert owner.batches()[3:] == [("s", 4)]  # t's first batch is missing


@pytest.mark.parametrize("booked", [True, False])
@pytest.mark.parametrize("point", range(24))
def test_an_owner_that_dies_at_any_point_of_an_append_leaves_each_batch_booked_once(
    point: int, booked: bool
) -> None:
    """`point`: steps before its death; `booked`: its last call still reaches billing, late."""
    owner = Owner()
    late: list[BillingCall] = []
    for step in range(point):
        owner.exporter.tick(owner.bench.now)
        owner.exporter.offer("s", 1, [("c", 0, 1.0)])
        owner.exporter.offer("s", 2, [("c", 0, 2.0)])
        call = owner.call()
        if call is not None and step == point - 1:
            late.append(call)
        elif call is not None:
            owner.exporter.on_answer(call, owner.booked(call), owner.bench.now)
        owner.bench.deliver_round()
        owner.bench.now += 0.02
    if booked:
        for call in late:
            owner.booked(call)
    owner.next()
    owner.go(0.5)
    for call in late if not booked else ():
        assert owner.booked(call).status in (412, 409)
    for _ in range(4):
        for number in (1, 2):
            owner.exporter.offer("s", number, [("c", 0, float(number))])
        owner.go(0.5)
    assert owner.batches() == [("s", 1), ("s", 2)]
    assert owner.exporter.state.confirmed == {"s": 2} and owner.exporter.step is Step.READY


def test_an_append_without_an_answer_is_repeated_unchanged_and_booked_once() -> None:
    owner = Owner()
    owner.go(0.5)
    owner.exporter.offer("s", 1, [("c", 0, 1.0)])
    calls: list[BillingCall] = []
    for _ in range(80):
        owner.exporter.tick(owner.bench.now)
        call = owner.call()
        if call is not None:
            calls.append(call)
            answer = owner.booked(call)
            owner.exporter.on_answer(call, answer if len(calls) > 3 else BillingAnswer(0), owner.bench.now)
        owner.exporter.offer("s", 2, [("c", 0, 1.0)])
        owner.bench.settle(0.02)
    assert owner.batches() == [("s", 1), ("s", 2)] and calls[0].body == calls[3].body
    assert owner.exporter.counts["again"] >= 3


def test_an_owner_without_answers_from_billing_resigns() -> None:
    owner = Owner()
    while not owner.exporter.counts["resigned"] and owner.bench.now < 120.0:
        owner.exporter.tick(owner.bench.now)
        call = owner.call()
        if call is not None:
            owner.exporter.on_answer(call, BillingAnswer(0), owner.bench.now)
        owner.bench.settle(0.02)
    assert owner.exporter.counts["resigned"] == 1
    assert owner.exporter.office.resigned_until > owner.bench.now
    assert owner.bench.now >= 102.0 + RESIGN_AFTER_S


def test_a_billing_that_lost_its_log_halts_the_export() -> None:
    owner = Owner()
    owner.go(0.5)
    for number in range(1, 4):
        owner.exporter.offer("s", number, [("c", 0, 1.0)])
        owner.go(0.5)
    owner.billing.appends.clear()
    owner.next()
    owner.go()
    assert owner.exporter.step is Step.HALTED and "billing is at 0" in owner.exporter.reason


def test_a_council_that_lost_its_state_adopts_billing_s_record() -> None:
    owner = Owner()
    owner.go(0.5)
    owner.exporter.offer("s", 1, [("c", 0, 1.0)])
    owner.go()
    owner.bench = Bench()
    owner.next()
    owner.go(0.5)
    assert owner.exporter.offer("s", 1, [("c", 0, 1.0)]) == 1
    owner.go()
    assert owner.batches() == [("s", 1)]


def test_streams_are_bounded() -> None:
    owner = Owner()
    owner.go(0.5)
    for n in range(MAX_STREAMS + 5):
        owner.exporter.offer(f"s{n}", 1, [("c", 0, 1.0)])
        if n % 16 == 0:
            owner.go(0.5)
    owner.go()
    assert owner.exporter.offer("one more", 1, []) is None and "streams" in owner.exporter.reason
    read = owner.bench.read("m1", KEY)
    owner.bench.settle(0.5)
    assert read[0].entry is not None
    assert len(decode_state(read[0].entry).confirmed) >= MAX_STREAMS


def test_billing_refuses_old_numbers_implausible_ones_and_two_holders_of_one() -> None:
    billing = StandInBilling()

    def claim(number: int, holder: str) -> int:
        return billing.handle(
            "PUT", "/usage/owner", {"office-number": str(number), "office-holder": holder}, b"", 0.0
        )[0]

    far = 3 + MAX_NUMBER_STEP + 1
    assert [claim(3, "a"), claim(2, "b"), claim(3, "c"), claim(far, "a"), claim(4, "c")] == [
        200,
        412,
        412,
        422,
        200,
    ]
    assert billing.handle("PUT", "/usage/owner", {}, b"", 0.0)[0] == 400


def test_metadata_from_billing_is_validated() -> None:
    assert meta_from({"meta": {"s": 1}}) == {"s": 1}
    assert (
        meta_from({}) is None and meta_from({"meta": {"s": "x"}}) is None and meta_from({"meta": 3}) is None
    )
