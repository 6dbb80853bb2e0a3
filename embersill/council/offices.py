"""Offices: singleton jobs of the fleet, each held by one process at a time under a lease. No I/O.

An office is a key of the register: its holder, the holder's life, its number (a fencing token), and how often
it was renewed. The number grows by one each time the office changes hands, and at no other time.
`council/terms.py` shows why two members cannot hold it at once. No lease can prevent an old owner's last
action from arriving late, so every action carries the number, and its receiver refuses a lower one
(`fences.py`).

Only `OfficeLease.act` permits an action. It refuses once the lease is over, and the action must be written
before `write_by`; if the process stalls between the two, the fence catches the late action.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from embersill.council.member import How, Member, Result
from embersill.council.messages import Act, Entry, Key, Number, Text
from embersill.council.terms import CouncilTerms

KEY_PREFIX = "office/"
TURN_LATENCIES = 3.0  # least wait of each candidate after the one before it, in latencies of an operation
WATCH_INTERVAL_S = 1.0  # between reads of an office by a member that is not a candidate for it


class NotHeld(Exception):
    """This process does not hold the office, or no longer does."""


class OfficeRecord(msgspec.Struct, array_like=True, frozen=True):
    """An office's value in the register."""

    holder: Text  # empty if nobody holds it
    boot: Number  # the holder's life
    number: Number
    renewals: Number = msgspec.field(name="beat")
    successor: Text = msgspec.field(default="", name="for_whom")  # the member it was released for, if any


_decoder: msgspec.msgpack.Decoder[OfficeRecord] = msgspec.msgpack.Decoder(OfficeRecord)


def read_office(entry: Entry | None) -> OfficeRecord:
    """Decodes an office's value; without a value, or with an undecodable one, nobody holds it and its number
    is 0."""
    if entry is None:
        return OfficeRecord("", 0, 0, 0)
    try:
        return _decoder.decode(entry.data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return OfficeRecord("", 0, 0, 0)


def encode_office(record: OfficeRecord) -> bytes:
    """Encodes an office's value."""
    return msgspec.msgpack.encode(record)


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission for one action: the token it carries, and the time by which it must be written, on this
    process's clock."""

    act: Act
    write_by: float


@dataclass(slots=True)
class HeldLease:
    """A lease that this member holds."""

    number: int
    since: float
    expires_at: float
    sequence: int = 0


def candidate_order(office: str, members: Iterable[str], prefer: Iterable[str] = ()) -> list[str]:
    """The order in which members take an office: `prefer` first, the others by rendezvous hashing."""
    first = [name for name in prefer]
    rest = sorted(
        (name for name in members if name not in first),
        key=lambda name: hashlib.blake2b(f"{office}/{name}".encode(), digest_size=8).digest(),
    )
    return first + rest


@dataclass(frozen=True, slots=True)
class Observation:
    """An office's value as last read from the register, or as some member has accepted it since."""

    version: int
    writer: str
    record: OfficeRecord

    @classmethod
    def of(cls, entry: Entry | None) -> Observation:
        """The observation of a register entry."""
        return (
            cls(0, "", read_office(None))
            if entry is None
            else cls(entry.version, entry.writer, read_office(entry))
        )


class OfficeLease:
    """One office as one member sees it, and this member's lease on it."""

    def __init__(
        self,
        office: Key,
        member: Member,
        terms: CouncilTerms,
        now: float,
        *,
        prefer: Iterable[str] = (),
        candidate: bool = True,
    ) -> None:
        """`candidate`: this member takes the office when it can; otherwise it only watches it."""
        self.office, self.member, self.terms = office, member, terms
        self.key = KEY_PREFIX + office
        members = member.register.members
        self.order = [name for name in candidate_order(office, members, prefer) if name in members]
        self.candidate = candidate
        self.lease: HeldLease | None = None
        self.observed: Observation | None = None
        self.observed_at = now
        self.read_at = now
        self.released_at = float("-inf")
        self.expired_at: dict[str, float] = {}  # when the leases of earlier owners were seen to expire
        self.busy = False
        self.renew_at = now
        self.failed_attempts = 0
        self.resigned_until = float("-inf")
        self.next_attempt_at = now  # no read or write before then
        self.leaving = False
        self.on_change: Callable[[OfficeLease], None] = lambda post: None  # after it was taken or lost
        self.counts = {"taken": 0, "lost": 0, "given": 0, "renewals": 0}

    # seen by every member

    def observe(self, entry: Entry | None, now: float, confirmed: bool = True) -> None:
        """Notes the office's value: `confirmed` by a majority, or accepted by a single member.

        The latter may never be decided, and another entry with the same version may be decided instead, so
        every entry that differs restarts the wait for the lease.
        """
        found = Observation.of(entry)
        if (
            found == self.observed
            or not confirmed
            and self.observed is not None
            and found.version < self.observed.version
        ):
            return
        self.observed, self.observed_at = found, now
        if self.lease is not None and not self.is_own(found.record):
            self.lose(now)

    def is_own(self, record: OfficeRecord) -> bool:
        """Whether a value is that of the lease held here."""
        return (
            record.holder == self.member.me
            and record.boot == self.member.register.life.boot
            and self.lease is not None
            and record.number == self.lease.number
        )

    def holder(self, now: float) -> str:
        """The holder as far as is known here; empty if no holder is certain."""
        if self.lease is not None:
            return self.member.me if now < self.lease.expires_at else ""
        if self.observed is None or now >= self.observed_at + self.terms.lease:
            return ""
        return self.observed.record.holder

    def known_number(self) -> int:
        """The office's number as last observed."""
        return 0 if self.observed is None else self.observed.record.number

    # the holder

    def held(self, now: float) -> bool:
        """Whether this member holds the office and may act under it."""
        return self.lease is not None and now < self.lease.expires_at and not self.leaving

    def act(self, now: float) -> Permit:
        """Permits one action under the lease; NotHeld if it must not be performed."""
        if self.lease is None or not self.held(now):
            raise NotHeld(self.office)
        self.lease.sequence += 1
        return Permit(Act(self.office, self.lease.number, self.lease.sequence), self.lease.expires_at)

    def lose(self, now: float) -> None:
        """Drops the lease held here, if any."""
        if self.lease is not None:
            self.lease = None
            self.counts["lost"] += 1
            self.on_change(self)

    # time

    def tick(self, now: float) -> None:
        """Advances time: expires, renews, releases, takes or refreshes the office."""
        if self.lease is not None and now >= self.lease.expires_at:
            self.lose(now)
        if self.busy or now < self.next_attempt_at or not self.member.register.votes:
            return
        if self.lease is not None:
            if self.leaving or now < self.resigned_until or self.should_yield(now):
                self.release(now)
            elif now >= self.renew_at:
                self.renew(now)
        elif self.observed is None or (not self.candidate and now >= self.read_at + WATCH_INTERVAL_S):
            self.refresh(now)
        elif self.candidate and not self.leaving and now >= max(self.may_take_at(), self.resigned_until):
            self.confirm(now)

    def rank(self) -> int:
        """This member's place in the order of candidates, with a named successor first."""
        assert self.observed is not None
        order = self.order
        successor = self.observed.record.successor
        if successor in order:
            order = [successor, *(name for name in order if name != successor)]
        return order.index(self.member.me)

    def may_take_at(self) -> float:
        """The time from which this member may try to take the office: candidates before it have a turn."""
        assert self.observed is not None
        wait = self.terms.lease if self.observed.record.holder else 0.0
        # a turn lasts as long as a read and a write take here, or candidates would interfere with each other
        turn = max(self.terms.stagger, TURN_LATENCIES * self.member.latency)
        return self.observed_at + wait + self.rank() * turn

    def back_off(self, now: float) -> None:
        """An attempt to take the office failed: the next one waits longer, with jitter."""
        self.failed_attempts = min(self.failed_attempts + 1, 5)
        longest = max(self.terms.stagger, self.terms.attempt) * 2.0**self.failed_attempts
        self.next_attempt_at = now + min(longest, self.terms.lease) * self.member.chance.random()

    def refresh(self, now: float) -> None:
        """Reads the office from the register."""
        if self.busy:
            return
        self.busy = True

        def done(result: Result, now: float) -> None:
            self.busy = False
            self.next_attempt_at = now + self.terms.stagger
            if result.how is How.DONE:
                self.observe(result.entry, now)
                if not self.candidate:
                    self.read_at = now

        self.member.read(self.key, done, now)

    def confirm(self, now: float) -> None:
        """Reads the office before trying to take it, in case others have seen a renewal that was missed here.

        A member that receives no answers gets no majority for the read, and so never disturbs the others.
        """
        self.busy = True
        assert self.observed is not None
        before = self.observed

        def done(result: Result, now: float) -> None:
            self.busy = False
            self.next_attempt_at = now + self.terms.stagger
            if result.how is not How.DONE:
                return self.back_off(now)
            self.observe(result.entry, now)
            if self.observed == before and now >= self.may_take_at():
                self.take(now)

        self.member.read(self.key, done, now)

    def take(self, now: float) -> None:
        """Writes this member in as the holder, unless the office has changed since it was read."""
        self.busy = True
        assert self.observed is not None
        before, number = self.observed, self.observed.record.number + 1
        record = OfficeRecord(self.member.me, self.member.register.life.boot, number, 0)

        def change(entry: Entry | None) -> bytes | None:
            return encode_office(record) if Observation.of(entry) == before else None

        def done(result: Result, now: float) -> None:
            self.busy = False
            self.back_off(now)
            if result.how is How.DONE:
                self.failed_attempts, self.next_attempt_at = 0, now
                if before.record.holder:
                    self.expired_at[before.record.holder] = now
                self.observe(result.entry, now)
                expires_at = result.began + self.terms.usable
                if now < expires_at and not self.leaving:
                    self.lease = HeldLease(number, now, expires_at)
                    self.renew_at = result.began + self.terms.renew_every
                    self.counts["taken"] += 1
                    self.on_change(self)
            elif result.how is How.REFUSED:
                self.observe(result.entry, now)

        self.member.write(self.key, change, done, now, self.terms.usable)

    def renew(self, now: float) -> None:
        """Renews the lease; it counts from the moment at which the write began."""
        self.busy = True
        assert self.lease is not None
        number = self.lease.number

        def change(entry: Entry | None) -> bytes | None:
            record = read_office(entry)
            if not self.is_own(record) or record.number != number:
                return None
            return encode_office(OfficeRecord(record.holder, record.boot, record.number, record.renewals + 1))

        def done(result: Result, now: float) -> None:
            self.busy = False
            self.renew_at = result.began + self.terms.renew_every
            if result.entry is not None:
                self.observe(result.entry, now)
            if self.lease is None or self.lease.number != number:
                return
            if result.how is How.DONE:
                self.lease.expires_at = max(self.lease.expires_at, result.began + self.terms.usable)
                self.counts["renewals"] += 1
            elif result.how is How.REFUSED:
                self.lose(now)

        self.member.write(self.key, change, done, now, max(self.lease.expires_at - now, 0.0))

    def should_yield(self, now: float) -> bool:
        """Whether a candidate before this member in the order has been healthy for `settle_back`.

        At most once in that time: if that candidate does not take the office, it is not released again at
        once.
        """
        return now >= self.released_at + self.terms.settle_back and self.preferred_member(now) != ""

    def preferred_member(self, now: float) -> str:
        """The first healthy candidate before this member in the order; empty if there is none."""
        for name in self.order:
            if name == self.member.me:
                return ""
            if (
                now - max(self.member.answering_since(name), self.expired_at.get(name, 0.0))
                >= self.terms.settle_back
            ):
                return name
        return ""

    def release(self, now: float) -> None:
        """Releases the office, so that other members need not wait for the lease to expire."""
        assert self.lease is not None
        number = self.lease.number
        successor = "" if self.leaving or now < self.resigned_until else self.preferred_member(now)
        boot = self.member.register.life.boot
        self.counts["given"] += 1
        self.released_at = now
        self.lose(now)
        self.busy = True

        def change(entry: Entry | None) -> bytes | None:
            record = read_office(entry)
            if (record.holder, record.boot, record.number) != (self.member.me, boot, number):
                return None
            return encode_office(OfficeRecord("", 0, number, 0, successor))

        def done(result: Result, now: float) -> None:
            self.busy = False
            if result.entry is not None:
                self.observe(result.entry, now)

        self.member.write(self.key, change, done, now)

    def resign(self, now: float, seconds: float) -> None:
        """This process cannot do the work: releases the office, and is no candidate for `seconds`."""
        self.resigned_until = now + seconds

    def leave(self, now: float) -> None:
        """The process is stopping: releases the office and takes it no more."""
        self.leaving = True
        self.next_attempt_at = now
        self.tick(now)

    def status(self, now: float) -> dict[str, object]:
        """Figures for operators; docs/operate/offices.md explains each of them."""
        lease = self.lease
        return {
            "name": self.office,
            "holder": self.holder(now),
            "held": self.held(now),
            "number": lease.number if lease is not None else self.known_number(),
            "left": round(lease.expires_at - now, 3) if lease is not None else 0.0,
            **self.counts,
        }
