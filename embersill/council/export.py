"""The export of usage to billing: each unit exactly once, whichever member owns it and whenever that fails.
No I/O.

Billing is an append-only log. It accepts an append only at the position it expects, and only with an office
number not lower than the highest it has accepted. With that and the register:

1. A new owner claims its number at billing. From then on nothing from an older owner is accepted, however
   late it arrives, so the position in the answer to the claim is final.
2. The register holds the position, the last confirmed batch of each planner's stream, and the *intent*: what
   will be confirmed once the next append is booked. If billing is one position ahead, the intent was booked;
   if not, it never will be.
3. The intent is written before the append. The append is repeated unchanged until its outcome is certain; a
   second copy finds the position taken.
4. Planners keep a batch until it is confirmed.

This is write-ahead logging, with billing's position as the end of the log (as in Kreps' "exactly once" for
logs: position and effect in one place).
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
from embersill.council.usage import UsageEntry

KEY = "export"
OFFICE = "export"
MAX_STREAMS = 256
MAX_WAITING_BATCHES = 32  # of one stream, kept by the owner
MAX_APPEND_ENTRIES = 2000  # in one append, exceeded by at most one batch
APPEND_INTERVAL_S = 0.2
RETRY_S = 0.1  # before a call without a certain outcome is repeated; doubled each time
MAX_RETRY_S = 1.0
RESIGN_AFTER_S = 2.0  # without a certain outcome, after which another member should try
RESIGN_FOR_S = 6.0  # for which this member does not take the office again


class ExportState(msgspec.Struct, frozen=True):
    """The export's value in the register."""

    number: int  # the office's number under which it was written
    position: int
    confirmed: dict[str, int]  # by stream
    intent: dict[str, int] | None = None


class Step(Enum):
    """What the exporter does next."""

    IDLE = "idle"  # the office is not held here
    CLAIM = "claim"
    RESOLVE = "resolve"  # find out whether the previous owner's intent was booked
    READY = "ready"
    INTEND = "intend"
    APPEND = "append"
    CONFIRM = "confirm"
    HALTED = "halted"  # billing and the register contradict each other: an operator has to act


@dataclass(frozen=True, slots=True)
class BillingCall:
    """A call to billing: an append, or a claim if `body` is None."""

    permit: Permit
    position: int
    body: dict[str, Any] | None
    number: int = 0  # of the call; answers to earlier calls are ignored


@dataclass(frozen=True, slots=True)
class BillingAnswer:
    """Billing's answer; `status` is 0 if none came or it could not be read."""

    status: int
    position: int = -1
    meta: dict[str, int] | None = None


class Exporter:
    """One member's part in the export; it acts only while it holds the office."""

    def __init__(self, office: OfficeLease, member: Member) -> None:
        self.office, self.member = office, member
        self.step = Step.IDLE
        self.number = 0
        self.state = ExportState(0, 0, {})
        self.offered: dict[str, dict[int, list[UsageEntry]]] = {}
        self.call: BillingCall | None = None  # to be made by the caller
        self.last_call = 0
        self.in_flight = False  # the call was made and has no answer yet
        self.writing = False  # a write to the register is pending
        self.next_step_at = 0.0
        self.retry_delay = RETRY_S
        self.failing_since = float("inf")
        self.body: dict[str, Any] = {}
        self.intent: dict[str, int] = {}
        self.meta: dict[str, int] | None = None
        self.position = 0
        self.reason = ""
        self.counts = {"appends": 0, "claims": 0, "again": 0, "adopted": 0, "refused": 0, "resigned": 0}

    # planners

    def offer(self, stream: str, batch: int, entries: list[UsageEntry]) -> int | None:
        """Takes a planner's batch; returns the stream's last booked number, None if not known."""
        if self.step in (Step.IDLE, Step.CLAIM, Step.RESOLVE, Step.HALTED) or not self.office.held(
            self.member.now
        ):
            return None
        done = self.state.confirmed.get(stream, 0)
        if stream not in self.state.confirmed and len(self.state.confirmed) >= MAX_STREAMS:
            self.reason = f"more than {MAX_STREAMS} streams of usage"
            return None
        if batch > done:
            waiting = self.offered.setdefault(stream, {})
            if len(waiting) < MAX_WAITING_BATCHES:
                waiting.setdefault(batch, entries)
        return done

    # the state machine

    def tick(self, now: float) -> None:
        """Advances time and takes the next step."""
        held = self.office.held(now)
        lease = self.office.lease
        if not held or lease is None or lease.number != self.number:
            self.reset()
            if held and lease is not None:
                self.number, self.step = lease.number, Step.CLAIM
        if self.step in (Step.IDLE, Step.INTEND, Step.CONFIRM) or self.writing or now < self.next_step_at:
            return
        if self.call is not None or self.in_flight:
            return
        if self.step in (Step.CLAIM, Step.HALTED):
            self.counts["claims"] += 1
            self.call_billing(now, 0, None)
        elif self.step is Step.RESOLVE:
            self.resolve(now)
        elif self.step is Step.READY:
            self.intend(now)
        elif self.step is Step.APPEND:
            self.call_billing(now, self.position, self.body)

    def reset(self) -> None:
        """Returns to idle; answers to earlier calls are ignored from now on."""
        self.step, self.number, self.call, self.in_flight = Step.IDLE, 0, None, False
        self.offered, self.retry_delay, self.next_step_at, self.writing = {}, RETRY_S, 0.0, False
        self.failing_since = float("inf")
        self.last_call += 1

    def call_billing(self, now: float, position: int, body: dict[str, Any] | None) -> None:
        """Sets the call that the caller is to make."""
        self.last_call += 1
        self.call = BillingCall(self.office.act(now), position, body, self.last_call)

    def retry_later(self, now: float) -> None:
        """Delays the next step; resigns from the office after too long without a certain outcome."""
        self.counts["again"] += 1
        self.failing_since = min(self.failing_since, now)
        if now - self.failing_since >= RESIGN_AFTER_S:  # billing may be reachable for other members
            self.counts["resigned"] += 1
            self.failing_since = float("inf")
            self.office.resign(now, RESIGN_FOR_S)
        self.next_step_at = now + self.retry_delay
        self.retry_delay = min(2 * self.retry_delay, MAX_RETRY_S)

    def on_answer(self, call: BillingCall, answer: BillingAnswer, now: float) -> None:
        """Processes the answer to a call, if it is the latest call."""
        if call.number != self.last_call:
            return
        self.in_flight = False
        if answer.status == 412:  # a later owner has claimed: the lease will expire
            self.counts["refused"] += 1
            return self.retry_later(now)
        if call.body is None:
            if answer.status == 200 and answer.position >= 0:
                self.position, self.meta = answer.position, answer.meta
                self.step, self.retry_delay, self.failing_since = Step.RESOLVE, RETRY_S, float("inf")
            else:
                self.retry_later(now)
        elif answer.status == 201 or answer.status == 409 and answer.position == call.position + 1:
            self.counts["appends"] += 1
            self.retry_delay, self.failing_since = RETRY_S, float("inf")
            self.confirm(now)
        elif answer.status == 409:
            self.step = Step.CLAIM
        else:
            self.retry_later(now)
        return None

    # the register

    def write_state(self, now: float, wanted: Step, change: Any, then: Any) -> None:
        """Writes the export's state; unless the write certainly succeeds, it starts over with a claim."""
        self.step, self.writing = wanted, True
        number = self.number

        def done(result: Result, now: float) -> None:
            if self.number != number:
                return
            self.writing = False
            if result.how is How.DONE and result.entry is not None:
                self.state = decode_state(result.entry)
                then(now)
            else:
                self.step = self.step if self.step is Step.HALTED else Step.CLAIM
                self.retry_later(now)

        self.member.write(KEY, change, done, now)

    def resolve(self, now: float) -> None:
        """Finds out from billing's position whether the previous owner's intent was booked."""
        position, meta, number = self.position, self.meta, self.number

        def change(entry: Entry | None) -> bytes | None:
            if entry is None:  # no export by this council yet: billing's own record counts
                return encode_state(ExportState(number, position, dict(meta or {})))
            found = decode_state(entry)
            if found.number > number:
                return None
            if found.position == position:
                return encode_state(ExportState(number, position, found.confirmed))
            if found.position + 1 == position and found.intent is not None:
                return encode_state(ExportState(number, position, found.intent))
            self.step = Step.HALTED
            self.reason = f"billing is at {position}, the register at {found.position}"
            return None

        def then(now: float) -> None:
            self.step, self.reason = Step.READY, ""
            self.counts["adopted"] += 1

        self.write_state(now, Step.RESOLVE, change, then)

    def intend(self, now: float) -> None:
        """Collects the offered batches that are next in order, and writes the intent."""
        self.next_step_at = now + APPEND_INTERVAL_S
        batches: list[dict[str, Any]] = []
        intent, entries = dict(self.state.confirmed), 0
        for stream in sorted(self.offered):
            waiting = self.offered[stream]
            for old in [n for n in waiting if n <= intent.get(stream, 0)]:
                del waiting[old]
            while entries < MAX_APPEND_ENTRIES and (number := intent.get(stream, 0) + 1) in waiting:
                uses = waiting[number]
                entries += len(uses)
                intent[stream] = number
                batches.append({"stream": stream, "number": number, "uses": uses})
        if not batches:
            return
        before = self.state
        self.position = before.position
        self.intent = intent
        self.body = {"batches": batches, "meta": intent}

        def change(entry: Entry | None) -> bytes | None:
            if entry is None or decode_state(entry) != before:
                return None
            return encode_state(ExportState(self.number, before.position, before.confirmed, intent))

        def then(now: float) -> None:
            self.step, self.next_step_at = Step.APPEND, now

        self.write_state(now, Step.INTEND, change, then)

    def confirm(self, now: float) -> None:
        """Writes that the intent is booked."""
        before = self.state

        def change(entry: Entry | None) -> bytes | None:
            if entry is None or decode_state(entry) != before or before.intent is None:
                return None
            return encode_state(ExportState(self.number, before.position + 1, before.intent))

        def then(now: float) -> None:
            self.step = Step.READY

        self.write_state(now, Step.CONFIRM, change, then)

    def status(self) -> dict[str, object]:
        """Figures for operators; docs/operate/offices.md explains each of them."""
        return {"step": self.step.value, "why": self.reason, "position": self.state.position, **self.counts}


def decode_state(entry: Entry) -> ExportState:
    """Decodes the export's value in the register."""
    return msgspec.msgpack.decode(entry.data, type=ExportState)


def encode_state(state: ExportState) -> bytes:
    """Encodes the export's value in the register."""
    return msgspec.msgpack.encode(state)


def meta_from(content: Mapping[str, Any]) -> dict[str, int] | None:
    """The metadata of billing's last append in its answer, if it has the form that this module writes."""
    try:
        return msgspec.convert(content.get("meta"), dict[str, int])
    except msgspec.ValidationError:
        return None
