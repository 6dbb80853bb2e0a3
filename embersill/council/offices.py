"""Offices: work on behalf of the fleet that one process does at a time, held by lease. No I/O.

An office is a key of the register: who holds it, in which life, under which number, and how often it was
renewed. The number grows by one each time the office is taken, and never else. `council/terms.py` says why
two can't hold it at once; that an old owner's last act arrives late no lease can prevent, so every act
carries the number, and whoever it acts upon refuses a lower one (`fences.py`).

An act is made by `Post.act` alone, which refuses once the lease is over, and must be written before
`write_by`: a process that stands still between the two is caught by the fence.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from embersill.council.member import How, Member, Result
from embersill.council.messages import Act, Entry, Key, Number, Text
from embersill.council.terms import CouncilTerms

PREFIX = "office/"
TURN = 3.0  # times what a read or write takes that the next in the order waits
LOOK_AGAIN = 1.0  # seconds after which one who has seen nothing of an office reads it


class NotHeld(Exception):
    """The office is not, or no longer, this process's."""


class Held(msgspec.Struct, array_like=True, frozen=True):
    """An office's value in the register."""

    holder: Text  # empty: nobody
    boot: Number  # the holder's life
    number: Number
    beat: Number
    for_whom: Text = ""  # who is to have it next, where it was given up for somebody


_decoder: msgspec.msgpack.Decoder[Held] = msgspec.msgpack.Decoder(Held)


def read_held(entry: Entry | None) -> Held:
    """What stands in the register; nobody under number nought for nothing, or for what can't be read."""
    if entry is None:
        return Held("", 0, 0, 0)
    try:
        return _decoder.decode(entry.data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return Held("", 0, 0, 0)


def written(held: Held) -> bytes:
    return msgspec.msgpack.encode(held)


@dataclass(frozen=True, slots=True)
class Permit:
    """What an act needs: what it carries, and until when it may be written, by this process's clock."""

    act: Act
    write_by: float


@dataclass(slots=True)
class Mine:
    """An office that is held here."""

    number: int
    since: float
    until: float
    sequence: int = 0


def order_of(office: str, members: Iterable[str], prefer: Iterable[str] = ()) -> list[str]:
    """Who is to have an office before whom: those named first, the others by rendezvous hashing."""
    first = [name for name in prefer]
    rest = sorted((name for name in members if name not in first),
                  key=lambda name: hashlib.blake2b(f"{office}/{name}".encode(), digest_size=8).digest())
    return first + rest


@dataclass(frozen=True, slots=True)
class Seen:
    """What the register held when it was looked at last, or what some member has accepted since."""

    version: int
    writer: str
    held: Held

    @classmethod
    def of(cls, entry: Entry | None) -> Seen:
        return cls(0, "", read_held(None)) if entry is None else cls(
            entry.version, entry.writer, read_held(entry))


class Post:
    """One office, as one member sees it."""

    def __init__(self, office: Key, member: Member, terms: CouncilTerms, now: float, *,
                 prefer: Iterable[str] = (), stands: bool = True) -> None:
        """`stands`: this member takes the office if it can; others only watch."""
        self.office, self.member, self.terms = office, member, terms
        self.key = PREFIX + office
        members = member.register.members
        self.order = [name for name in order_of(office, members, prefer) if name in members]
        self.stands = stands
        self.mine: Mine | None = None
        self.seen: Seen | None = None
        self.seen_at = now
        self.looked_at = now
        self.gave_at = float("-inf")
        self.lapsed: dict[str, float] = {}  # owners whose leases ran out, and when that was seen here
        self.busy = False
        self.renew_at = now
        self.misses = 0
        self.resigned_until = float("-inf")
        self.again_at = now  # before which nothing is tried
        self.leaving = False
        self.on_change: Callable[[Post], None] = lambda post: None  # it was taken, or lost
        self.counts = {"taken": 0, "lost": 0, "given": 0, "renewals": 0}

    # what everyone sees

    def observe(self, entry: Entry | None, now: float, read: bool = True) -> None:
        """The register's value, as a majority told it (`read`), or one that a single member has accepted.

        The latter may never come to be, and another with the same version in its place: each that differs
        begins the lease anew.
        """
        found = Seen.of(entry)
        if found == self.seen or not read and self.seen is not None and found.version < self.seen.version:
            return
        self.seen, self.seen_at = found, now
        if self.mine is not None and not self.is_mine(found.held):
            self.lose(now)

    def is_mine(self, held: Held) -> bool:
        return held.holder == self.member.me and held.boot == self.member.register.life.boot \
            and self.mine is not None and held.number == self.mine.number

    def holder(self, now: float) -> str:
        """Who holds it as far as is known here; empty if nobody surely does."""
        if self.mine is not None:
            return self.member.me if now < self.mine.until else ""
        if self.seen is None or now >= self.seen_at + self.terms.lease:
            return ""
        return self.seen.held.holder

    def known_number(self) -> int:
        return 0 if self.seen is None else self.seen.held.number

    # what its owner does

    def held(self, now: float) -> bool:
        return self.mine is not None and now < self.mine.until and not self.leaving

    def act(self, now: float) -> Permit:
        """What one act on behalf of the fleet needs; NotHeld if it must not be done."""
        if self.mine is None or not self.held(now):
            raise NotHeld(self.office)
        self.mine.sequence += 1
        return Permit(Act(self.office, self.mine.number, self.mine.sequence), self.mine.until)

    def lose(self, now: float) -> None:
        if self.mine is not None:
            self.mine = None
            self.counts["lost"] += 1
            self.on_change(self)

    # time

    def tick(self, now: float) -> None:
        if self.mine is not None and now >= self.mine.until:
            self.lose(now)
        if self.busy or now < self.again_at or not self.member.register.votes:
            return
        if self.mine is not None:
            if self.leaving or now < self.resigned_until or self.gives_way(now):
                self.give_up(now)
            elif now >= self.renew_at:
                self.renew(now)
        elif self.seen is None or (not self.stands and now >= self.looked_at + LOOK_AGAIN):
            self.look(now)
        elif self.stands and not self.leaving and now >= max(self.free_from(), self.resigned_until):
            self.confirm(now)

    def rank(self) -> int:
        assert self.seen is not None
        order = self.order
        for_whom = self.seen.held.for_whom
        if for_whom in order:
            order = [for_whom, *(name for name in order if name != for_whom)]
        return order.index(self.member.me)

    def free_from(self) -> float:
        """From when on this member may try to take it: who stands before it in the order goes first."""
        assert self.seen is not None
        wait = self.terms.lease if self.seen.held.holder else 0.0
        # a turn is as long as a read and a write take here, or those in the order get into each other's way
        turn = max(self.terms.stagger, TURN * self.member.latency)
        return self.seen_at + wait + self.rank() * turn

    def missed(self, now: float) -> None:
        """Somebody or something was in the way of taking it: tried again after a while that grows."""
        self.misses = min(self.misses + 1, 5)
        longest = max(self.terms.stagger, self.terms.attempt) * 2.0 ** self.misses
        self.again_at = now + min(longest, self.terms.lease) * self.member.chance.random()

    def look(self, now: float) -> None:
        """Reads what the register has."""
        if self.busy:
            return
        self.busy = True

        def done(result: Result, now: float) -> None:
            self.busy = False
            self.again_at = now + self.terms.stagger
            if result.how is How.DONE:
                self.observe(result.entry, now)
                if not self.stands:
                    self.looked_at = now

        self.member.read(self.key, done, now)

    def confirm(self, now: float) -> None:
        """Whether others have seen a renewal that was not seen here: read, before anything is written.

        Who hears nobody gets no majority for a read, and never disturbs those who hear each other.
        """
        self.busy = True
        assert self.seen is not None
        before = self.seen

        def done(result: Result, now: float) -> None:
            self.busy = False
            self.again_at = now + self.terms.stagger
            if result.how is not How.DONE:
                return self.missed(now)
            self.observe(result.entry, now)
            if self.seen == before and now >= self.free_from():
                self.take(now)

        self.member.read(self.key, done, now)

    def take(self, now: float) -> None:
        self.busy = True
        assert self.seen is not None
        before, number = self.seen, self.seen.held.number + 1
        mine = Held(self.member.me, self.member.register.life.boot, number, 0)

        def change(entry: Entry | None) -> bytes | None:
            return written(mine) if Seen.of(entry) == before else None

        def done(result: Result, now: float) -> None:
            self.busy = False
            self.missed(now)
            if result.how is How.DONE:
                self.misses, self.again_at = 0, now
                if before.held.holder:
                    self.lapsed[before.held.holder] = now
                self.observe(result.entry, now)
                until = result.began + self.terms.usable
                if now < until and not self.leaving:
                    self.mine = Mine(number, now, until)
                    self.renew_at = result.began + self.terms.renew_every
                    self.counts["taken"] += 1
                    self.on_change(self)
            elif result.how is How.REFUSED:
                self.observe(result.entry, now)

        self.member.write(self.key, change, done, now, self.terms.usable)

    def renew(self, now: float) -> None:
        self.busy = True
        assert self.mine is not None
        number = self.mine.number

        def change(entry: Entry | None) -> bytes | None:
            held = read_held(entry)
            if not self.is_mine(held) or held.number != number:
                return None
            return written(Held(held.holder, held.boot, held.number, held.beat + 1))

        def done(result: Result, now: float) -> None:
            self.busy = False
            self.renew_at = result.began + self.terms.renew_every
            if result.entry is not None:
                self.observe(result.entry, now)
            if self.mine is None or self.mine.number != number:
                return
            if result.how is How.DONE:
                self.mine.until = max(self.mine.until, result.began + self.terms.usable)
                self.counts["renewals"] += 1
            elif result.how is How.REFUSED:
                self.lose(now)

        self.member.write(self.key, change, done, now, max(self.mine.until - now, 0.0))

    def gives_way(self, now: float) -> bool:
        """Somebody who goes before this member in the order has been well for long.

        Once in that time only: if whoever it was given up for does not take it, it is not given up again.
        """
        return now >= self.gave_at + self.terms.settle_back and self.better(now) != ""

    def better(self, now: float) -> str:
        for name in self.order:
            if name == self.member.me:
                return ""
            if now - max(
                    self.member.answering_since(name), self.lapsed.get(name, 0.0)) >= self.terms.settle_back:
                return name
        return ""

    def give_up(self, now: float) -> None:
        """In order: from now on it is nobody's here, and nobody waits out the lease."""
        assert self.mine is not None
        number = self.mine.number
        heir = "" if self.leaving or now < self.resigned_until else self.better(now)
        boot = self.member.register.life.boot
        self.counts["given"] += 1
        self.gave_at = now
        self.lose(now)
        self.busy = True

        def change(entry: Entry | None) -> bytes | None:
            held = read_held(entry)
            if (held.holder, held.boot, held.number) != (self.member.me, boot, number):
                return None
            return written(Held("", 0, number, 0, heir))

        def done(result: Result, now: float) -> None:
            self.busy = False
            if result.entry is not None:
                self.observe(result.entry, now)

        self.member.write(self.key, change, done, now)

    def resign(self, now: float, seconds: float) -> None:
        """This process can't do the work: others are to have it, and it does not stand for a while."""
        self.resigned_until = now + seconds

    def leave(self, now: float) -> None:
        """The process is to stop: what it holds is given up, and it takes nothing more."""
        self.leaving = True
        self.again_at = now
        self.tick(now)

    def status(self, now: float) -> dict[str, object]:
        """What an operator watches; docs/operate/offices.md explains each figure."""
        mine = self.mine
        return {"name": self.office, "holder": self.holder(now), "held": self.held(now),
                "number": mine.number if mine is not None else self.known_number(),
                "left": round(mine.until - now, 3) if mine is not None else 0.0, **self.counts}
