"""The export of use to billing: each unit once, whoever owns it and whenever it dies. No I/O.

Billing is an append-only log that takes an append only at the position it expects, and of an office's numbers
only those no lower than the highest it took. With that alone, and the register:

1. A new owner claims its number at billing: from then on nothing of an older owner is taken, however late it
   comes, so the position that the claim's answer tells is final.
2. The register holds the position, what is confirmed of each planner's stream, and the *intent*: what will be
   confirmed once the next append is in. Is billing one position on, the intent was booked; is it not, never.
3. Only then does it append: the intent is written first, and the append is sent again, the same to the
letter,
   until an answer is certain. A second copy finds the position taken.
4. Planners keep a batch until they hear that it is confirmed.

This is the write-ahead rule, with billing's position as the log's end (as in Kreps' "exactly once" for logs:
position and effect in one place).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from embersill.council.member import How, Member, Result
from embersill.council.messages import Entry
from embersill.council.offices import Permit, OfficeLease
from embersill.council.usage import Use

KEY = "export"
OFFICE = "export"
MOST_STREAMS = 256
MOST_WAITING = 32  # batches of one stream that the owner keeps
MOST_APPEND = 2000  # entries in one append, give or take a batch
APPEND_EVERY = 0.2  # seconds
AGAIN = 0.1  # seconds before what had no certain answer is tried again; doubled each time
MOST_AGAIN = 1.0
RESIGN_AFTER = 2.0  # seconds without a certain answer, after which another is to try
RESIGN_FOR = 6.0  # seconds for which this one does not take the office again


class Booking(msgspec.Struct, frozen=True):
    """The register's value."""

    number: int  # of the office, under which it was written
    position: int
    confirmed: dict[str, int]  # by stream
    intent: dict[str, int] | None = None


class Step(Enum):
    IDLE = "idle"  # another owns it, or nobody
    CLAIM = "claim"
    RESOLVE = "resolve"  # what became of the owner before
    READY = "ready"
    INTEND = "intend"
    APPEND = "append"
    CONFIRM = "confirm"
    HALTED = "halted"  # billing and the register don't fit: somebody has to look


@dataclass(frozen=True, slots=True)
class Call:
    """A call to billing: a claim if there is no `body`."""

    permit: Permit
    position: int
    body: dict[str, Any] | None
    number: int = 0  # of the call: an answer to another one is not for now


@dataclass(frozen=True, slots=True)
class Answered:
    """Billing's answer; `status` nought where none came or it could not be read."""

    status: int
    position: int = -1
    meta: dict[str, int] | None = None


class Exporter:
    """One member's part in the export: all it does, it does while its post is held."""

    def __init__(self, post: OfficeLease, member: Member) -> None:
        self.post, self.member = post, member
        self.step = Step.IDLE
        self.number = 0
        self.booking = Booking(0, 0, {})
        self.offered: dict[str, dict[int, list[Use]]] = {}
        self.call: Call | None = None  # to be made, by whoever has the sockets
        self.calls = 0
        self.out = False  # it was made, and has no answer yet
        self.busy = False  # a write to the register is under way
        self.due = 0.0
        self.waits = AGAIN
        self.failing_since = float("inf")
        self.body: dict[str, Any] = {}
        self.intent: dict[str, int] = {}
        self.meta: dict[str, int] | None = None
        self.position = 0
        self.why = ""
        self.counts = {"appends": 0, "claims": 0, "again": 0, "adopted": 0, "refused": 0, "resigned": 0}

    # planners

    def offer(self, stream: str, batch: int, entries: list[Use]) -> int | None:
        """A planner's batch: up to which number the stream is booked; None where that is not known here."""
        if self.step in (Step.IDLE, Step.CLAIM, Step.RESOLVE, Step.HALTED) or not self.post.held(
                self.member.now):
            return None
        done = self.booking.confirmed.get(stream, 0)
        if stream not in self.booking.confirmed and len(self.booking.confirmed) >= MOST_STREAMS:
            self.why = f"more than {MOST_STREAMS} streams of use"
            return None
        if batch > done:
            waiting = self.offered.setdefault(stream, {})
            if len(waiting) < MOST_WAITING:
                waiting.setdefault(batch, entries)
        return done

    # the machine

    def tick(self, now: float) -> None:
        held = self.post.held(now)
        lease = self.post.lease
        if not held or lease is None or lease.number != self.number:
            self.reset()
            if held and lease is not None:
                self.number, self.step = lease.number, Step.CLAIM
        if self.step in (Step.IDLE, Step.INTEND, Step.CONFIRM) or self.busy or now < self.due:
            return
        if self.call is not None or self.out:
            return
        if self.step in (Step.CLAIM, Step.HALTED):
            self.counts["claims"] += 1
            self.say(now, 0, None)
        elif self.step is Step.RESOLVE:
            self.resolve(now)
        elif self.step is Step.READY:
            self.intend(now)
        elif self.step is Step.APPEND:
            self.say(now, self.position, self.body)

    def reset(self) -> None:
        self.step, self.number, self.call, self.out = Step.IDLE, 0, None, False
        self.offered, self.waits, self.due, self.busy = {}, AGAIN, 0.0, False
        self.failing_since = float("inf")
        self.calls += 1

    def say(self, now: float, position: int, body: dict[str, Any] | None) -> None:
        self.calls += 1
        self.call = Call(self.post.act(now), position, body, self.calls)

    def later(self, now: float) -> None:
        self.counts["again"] += 1
        self.failing_since = min(self.failing_since, now)
        if now - self.failing_since >= RESIGN_AFTER:  # billing may be well, and only not for this process
            self.counts["resigned"] += 1
            self.failing_since = float("inf")
            self.post.resign(now, RESIGN_FOR)
        self.due = now + self.waits
        self.waits = min(2 * self.waits, MOST_AGAIN)

    def answered(self, call: Call, answer: Answered, now: float) -> None:
        """What came of a call, if it is the last that was made."""
        if call.number != self.calls:
            return
        self.out = False
        if answer.status == 412:  # a later owner has been there: the lease ends soon, by itself
            self.counts["refused"] += 1
            return self.later(now)
        if call.body is None:
            if answer.status == 200 and answer.position >= 0:
                self.position, self.meta = answer.position, answer.meta
                self.step, self.waits, self.failing_since = Step.RESOLVE, AGAIN, float("inf")
            else:
                self.later(now)
        elif answer.status == 201 or answer.status == 409 and answer.position == call.position + 1:
            self.counts["appends"] += 1
            self.waits, self.failing_since = AGAIN, float("inf")
            self.confirm(now)
        elif answer.status == 409:
            self.step = Step.CLAIM
        else:
            self.later(now)
        return None

    # the register

    def put(self, now: float, wanted: Step, change: Any, then: Any) -> None:
        """Writes the booking; anything but a certain end begins anew with a claim."""
        self.step, self.busy = wanted, True
        number = self.number

        def done(result: Result, now: float) -> None:
            if self.number != number:
                return
            self.busy = False
            if result.how is How.DONE and result.entry is not None:
                self.booking = read_booking(result.entry)
                then(now)
            else:
                self.step = self.step if self.step is Step.HALTED else Step.CLAIM
                self.later(now)

        self.member.write(KEY, change, done, now)

    def resolve(self, now: float) -> None:
        """Was the intent of the owner before booked? Billing's position tells."""
        position, meta, number = self.position, self.meta, self.number

        def change(entry: Entry | None) -> bytes | None:
            if entry is None:  # nothing was ever exported by this council: what billing's tail says goes
                return written(Booking(number, position, dict(meta or {})))
            found = read_booking(entry)
            if found.number > number:
                return None
            if found.position == position:
                return written(Booking(number, position, found.confirmed))
            if found.position + 1 == position and found.intent is not None:
                return written(Booking(number, position, found.intent))
            self.step = Step.HALTED
            self.why = f"billing is at {position}, the register at {found.position}"
            return None

        def then(now: float) -> None:
            self.step, self.why = Step.READY, ""
            self.counts["adopted"] += 1

        self.put(now, Step.RESOLVE, change, then)

    def intend(self, now: float) -> None:
        """Gathers what is offered in order, and writes down what will be confirmed once it is booked."""
        self.due = now + APPEND_EVERY
        batches: list[dict[str, Any]] = []
        intent, entries = dict(self.booking.confirmed), 0
        for stream in sorted(self.offered):
            waiting = self.offered[stream]
            for old in [n for n in waiting if n <= intent.get(stream, 0)]:
                del waiting[old]
            while entries < MOST_APPEND and (number := intent.get(stream, 0) + 1) in waiting:
                uses = waiting[number]
                entries += len(uses)
                intent[stream] = number
                batches.append({"stream": stream, "number": number, "uses": uses})
        if not batches:
            return
        before = self.booking
        self.position = before.position
        self.intent = intent
        self.body = {"batches": batches, "meta": intent}

        def change(entry: Entry | None) -> bytes | None:
            if entry is None or read_booking(entry) != before:
                return None
            return written(Booking(self.number, before.position, before.confirmed, intent))

        def then(now: float) -> None:
            self.step, self.due = Step.APPEND, now

        self.put(now, Step.INTEND, change, then)

    def confirm(self, now: float) -> None:
        before = self.booking

        def change(entry: Entry | None) -> bytes | None:
            if entry is None or read_booking(entry) != before or before.intent is None:
                return None
            return written(Booking(self.number, before.position + 1, before.intent))

        def then(now: float) -> None:
            self.step = Step.READY

        self.put(now, Step.CONFIRM, change, then)

    def status(self) -> dict[str, object]:
        """What an operator watches; docs/operate/offices.md explains each figure."""
        return {"step": self.step.value, "why": self.why, "position": self.booking.position, **self.counts}


def read_booking(entry: Entry) -> Booking:
    return msgspec.msgpack.decode(entry.data, type=Booking)


def written(booking: Booking) -> bytes:
    return msgspec.msgpack.encode(booking)


def meta_of(told: Mapping[str, Any]) -> dict[str, int] | None:
    """The tail's words in billing's answer, if they are what this module writes."""
    try:
        return msgspec.convert(told.get("meta"), dict[str, int])
    except msgspec.ValidationError:
        return None
