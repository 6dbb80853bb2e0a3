"""A member of the council: its reads and writes, its start, and how it learns what it has lost. No I/O.

Whoever drives it sends `outbox` (one's own register is asked like the others', by way of the same disk),
brings each answer to `answered`, and calls `tick` some fifty times a second. All times are this process's
own clock.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from embersill.council.messages import (
    NOUGHT, Accept, Accepted, Answer, Ask, Ballot, Entry, Hello, Here, Join, Life, Origin, Peek, Prepare,
    Refused, State, Superseded, Told,
)
from embersill.council.register import Cell, Register
from embersill.council.terms import CouncilTerms, majority

KEPT_WRITES = 1000  # whose times are kept, for whoever looks on
TOOK_PART = 0.2  # of what a read or write took that goes into the smoothed figure
MOST_OPERATIONS = 256  # open at a time; a further one fails at once
LEARN_AGAIN = 0.5  # seconds after which a member without its memory asks anew

Change = Callable[[Entry | None], bytes | None]


class How(Enum):
    """How a read or a write ended."""

    DONE = "done"  # a majority has it
    REFUSED = "refused"  # the change did not want what it found: nothing was written
    UNKNOWN = "unknown"  # no majority answered in time, and some member may have it
    FAILED = "failed"  # no majority answered in time, and none has it


@dataclass(frozen=True, slots=True)
class Result:
    """`entry`: the key's value, as written or found; None if there is none. `began`: when it was asked
    for."""

    how: How
    entry: Entry | None
    began: float


Done = Callable[[Result, float], None]


class Phase(Enum):
    PEEK = "peek"
    PREPARE = "prepare"
    ACCEPT = "accept"
    WAIT = "wait"  # for the next round, after one that was lost


@dataclass(slots=True)
class Operation:
    """One read (no `change`) or write of a key."""

    number: int
    key: str
    change: Change | None
    done: Done
    began: float
    until: float
    phase: Phase = Phase.WAIT
    ballot: Ballot = NOUGHT
    entry: Entry | None = None  # that is put to the vote
    refused: bool = False  # the change did not want what was found
    told: dict[str, Told] = field(default_factory=dict)
    accepted: dict[str, Accepted] = field(default_factory=dict)
    phase_until: float = 0.0
    rounds: int = 0
    known: Cell = field(default_factory=Cell)  # what this member had accepted as it asked
    hidden: dict[str, int] = field(default_factory=dict)  # own entries that may be in: writer and version
    writers: dict[Ballot, str] = field(default_factory=dict)  # of these, by the ballot that they were put to
    refusals: dict[Ballot, set[str]] = field(default_factory=dict)  # who refused each ballot


@dataclass(slots=True)
class Peer:
    """What is known of another member."""

    heard: float = float("-inf")  # last answer
    since: float = float("-inf")  # from when on it has answered and voted without a break
    here: Here | None = None  # its last word on this member's own life


def alive_boots(answers: Iterable[Answer]) -> dict[str, int]:
    """By name, the latest life that any of these answers knows of."""
    boots: dict[str, int] = {}
    for answer in answers:
        for name, boot in (*answer.lives.items(), (answer.origin.name, answer.origin.life.boot)):
            boots[name] = max(boots.get(name, 0), boot)
    return boots


def counting(answers: Mapping[str, Answer]) -> set[str]:
    """Who of those that answered counts: an answer of a life that is known to be over does not."""
    boots = alive_boots(answers.values())
    return {name for name, answer in answers.items() if answer.origin.life.boot >= boots[name]}


def no_journal() -> None:
    """What is called after a member has learned, where there is none."""


def nobody_asks(life: Life) -> None:
    """What is called as a member retires, where nobody wants to know."""


class Member:
    def __init__(self, register: Register, terms: CouncilTerms, chance: random.Random, now: float) -> None:
        """`register`: loaded and begun. `chance`: for back-off and nonces."""
        self.register, self.terms, self.chance = register, terms, chance
        self.me = register.me
        self.others = sorted(register.members - {self.me})
        self.needed = majority(len(register.members))
        self.peers = {name: Peer() for name in self.others}
        self.outbox: list[tuple[str, int, Ask]] = []  # to whom, the operation's number, what
        self.operations: dict[int, Operation] = {}
        self.number = 0
        self.highest = 0  # round seen, of any ballot
        self.ready: dict[str, tuple[Ballot, Entry, dict[str, Told]]] = {}  # promised ahead, by key
        self.now = self.born = now
        self.hello_at = now
        self.states: dict[str, State] = {}
        self.learning: Life | None = None
        self.learn_at = now
        self.on_learned: Callable[[], None] = no_journal  # it is to be written anew
        self.on_retired: Callable[[Life], None] = nobody_asks
        self.why = "starting"
        if register.memory_complete and not self.others:
            register.votes = True
        self.writes_took: deque[float] = deque(maxlen=KEPT_WRITES)  # seconds each
        self.took = 0.0  # seconds of a read or write that nobody disturbed, smoothed
        self.counts = {"reads": 0, "writes": 0, "rounds": 0, "lost": 0, "learned": 0}

    # operations

    def read(self, key: str, done: Done, now: float, within: float | None = None) -> None:
        """The key's value: what it tells was true at some moment after it was asked for."""
        self.begin(key, None, done, now, within)

    def write(self, key: str, change: Change, done: Done, now: float, within: float | None = None) -> None:
        """Puts `change` of the key's value in its place; None from it refuses.

        `change` may be called several times, and only what a majority took counts.
        """
        self.begin(key, change, done, now, within)

    def begin(self, key: str, change: Change | None, done: Done, now: float, within: float | None) -> None:
        self.now = max(self.now, now)
        within = self.terms.within if within is None else min(within, self.terms.within)
        if not self.register.votes or self.register.retired or len(self.operations) >= MOST_OPERATIONS:
            return done(Result(How.FAILED, None, self.now), self.now)
        self.number += 1
        operation = Operation(self.number, key, change, done, self.now, self.now + within)
        self.operations[self.number] = operation
        self.counts["reads" if change is None else "writes"] += 1
        return self.round(operation)

    def ask_all(self, operation: Operation, ask: Ask, phase: Phase) -> None:
        operation.phase, operation.phase_until = phase, self.now + self.terms.attempt
        for name in (self.me, *self.others):
            self.outbox.append((name, operation.number, ask))

    def round(self, operation: Operation) -> None:
        operation.rounds += 1
        self.counts["rounds"] += 1
        operation.told, operation.accepted = {}, {}
        cell = self.register.cells.get(operation.key)
        if operation.change is None and operation.rounds == 1:
            operation.known = Cell() if cell is None else Cell(accepted=cell.accepted, entry=cell.entry)
            ask = Peek(self.register.origin, operation.key, operation.known.accepted)
            return self.ask_all(operation, ask, Phase.PEEK)
        ahead = self.ready.pop(operation.key, None)
        if ahead is not None and operation.change is not None and operation.rounds == 1 and (
                cell is None or cell.promised <= ahead[0]):  # nobody else has been there, as far as is known
            operation.ballot, operation.told = ahead[0], ahead[2]
            return self.propose(operation, fresh=False)
        self.highest += 1
        operation.ballot = Ballot(self.highest, self.me, self.register.life.boot)
        prepare = Prepare(self.register.origin, operation.key, operation.ballot)
        return self.ask_all(operation, prepare, Phase.PREPARE)

    def propose(self, operation: Operation, fresh: bool = True) -> None:
        """A majority has promised: what it had accepted is changed and put to the vote.

        `fresh` is False where it promised before the operation began: another may have written since, so what
        is found shows nothing until a majority has accepted it.
        """
        latest = max(operation.told.values(), key=lambda told: told.accepted)
        found = latest.entry
        if found is not None and found.writer in operation.hidden:
            operation.entry = found  # one's own of a round that seemed lost: it has to come to a majority
        elif operation.hidden and found is not None and found.version >= min(operation.hidden.values()):
            return self.end(operation, How.UNKNOWN, found)  # one's own may be in, beneath another's
        else:
            data = operation.change(found) if operation.change is not None else None
            operation.refused = operation.change is not None and data is None
            if data is None:
                settled = all(told.accepted == latest.accepted for told in operation.told.values())
                if found is None or settled and fresh:
                    return self.end(operation, How.REFUSED if operation.refused else How.DONE, found)
                operation.entry = found  # it may be with a minority only: it is brought to a majority
            else:
                writer = f"{self.me}.{self.register.life.boot}.{operation.number}.{operation.rounds}"
                version = 1 if found is None else found.version + 1
                operation.entry = Entry(version, writer, data)
                operation.hidden[writer] = version
                operation.writers[operation.ballot] = writer
        following = operation.ballot._replace(round=operation.ballot.round + 1)
        self.highest = max(self.highest, following.round)
        ask = Accept(self.register.origin, operation.key, operation.ballot, operation.entry, following)
        return self.ask_all(operation, ask, Phase.ACCEPT)

    def answered(self, number: int, answer: Answer, now: float) -> None:
        """An answer to what was sent as `number`; nought for those that belong to no operation."""
        self.now = max(self.now, now)
        name = answer.origin.name
        if name in self.peers:
            self.heard(name, answer)
        if isinstance(answer, Superseded):
            return self.superseded(answer)
        if isinstance(answer, Here):
            return self.welcomed(name, answer)
        if isinstance(answer, State):
            return self.state_came(name, answer)
        operation = self.operations.get(number)
        if operation is None or name not in self.register.members:
            return None
        if name in self.peers and not self.register.note_origin(answer.origin):
            return None
        if isinstance(answer, Told):
            self.told(operation, name, answer)
        elif isinstance(answer, Accepted):
            if operation.phase is Phase.ACCEPT and answer.ballot == operation.ballot:
                operation.accepted[name] = answer
                self.settle(operation)
        elif isinstance(answer, Refused):
            self.highest = max(self.highest, answer.promised.round)
            self.refused(operation, name, answer)
            if operation.phase in (Phase.PREPARE, Phase.ACCEPT) and answer.ballot == operation.ballot:
                self.lost(operation)
        return None

    def refused(self, operation: Operation, name: str, answer: Refused) -> None:
        """An entry that all members have refused is nowhere, and never will be."""
        if answer.accepted >= answer.ballot:
            return  # this member may have accepted it before it promised more
        by = operation.refusals.setdefault(answer.ballot, set())
        by.add(name)
        writer = operation.writers.get(answer.ballot, "")
        if by == self.register.members and writer in operation.hidden:
            del operation.hidden[writer]

    def told(self, operation: Operation, name: str, answer: Told) -> None:
        self.highest = max(self.highest, answer.promised.round, answer.accepted.round)
        if operation.phase is Phase.PEEK:
            if answer.accepted == operation.known.accepted:  # a ballot is put to the vote with one entry only
                answer = msgspec.structs.replace(answer, entry=operation.known.entry)
            operation.told[name] = answer
            if len(counting(operation.told)) >= self.needed:
                latest = max(operation.told.values(), key=lambda told: told.accepted)
                same = {n: t for n, t in operation.told.items() if t.accepted == latest.accepted}
                if len(counting(operation.told) & same.keys()) >= self.needed:
                    self.end(operation, How.DONE, latest.entry)
                elif len(operation.told) == len(self.register.members):
                    self.round(operation)  # some write is half done: it is brought to its end
        elif operation.phase is Phase.PREPARE and answer.promised == operation.ballot:
            operation.told[name] = answer
            if len(counting(operation.told)) >= self.needed:
                operation.told = {n: operation.told[n] for n in counting(operation.told)}
                self.propose(operation)

    def settle(self, operation: Operation) -> None:
        """Ends an operation once a majority has accepted."""
        counts = counting(operation.accepted)
        if len(counts) < self.needed:
            return
        entry = operation.entry
        assert entry is not None
        following = operation.ballot._replace(round=operation.ballot.round + 1)
        # who accepted has promised the next ballot too: the next write of this key needs no first round
        self.ready[operation.key] = following, entry, {
            name: Told(accepted.origin, accepted.lives, following, operation.ballot, entry)
            for name, accepted in operation.accepted.items() if name in counts}
        self.end(operation, How.REFUSED if operation.refused else How.DONE, entry)

    def lost(self, operation: Operation) -> None:
        """A round that another's went over: tried again after a while, so that both don't go on for ever."""
        self.counts["lost"] += 1
        self.ready.pop(operation.key, None)
        wait = min(self.terms.back_off * 2.0 ** min(operation.rounds, 10), self.terms.most_back_off)
        operation.phase = Phase.WAIT
        operation.phase_until = self.now + wait * (0.5 + self.chance.random())

    def end(self, operation: Operation, how: How, entry: Entry | None) -> None:
        self.operations.pop(operation.number, None)
        if how is How.DONE and operation.change is not None:
            self.writes_took.append(self.now - operation.began)
        if how is How.DONE and operation.rounds == 1:
            self.took += TOOK_PART * (self.now - operation.began - self.took)
        operation.done(Result(how, entry, operation.began), self.now)

    def close(self) -> None:
        """Ends all reads and writes: this member takes part no more, and whoever waits has to ask again."""
        for operation in list(self.operations.values()):
            self.end(operation, How.UNKNOWN if operation.hidden else How.FAILED, None)

    # time

    def tick(self, now: float) -> None:
        self.now = max(self.now, now)
        for operation in list(self.operations.values()):
            if self.now >= operation.until:
                taken = operation.change is not None and operation.hidden
                self.end(operation, How.UNKNOWN if taken else How.FAILED, None)
            elif self.now >= operation.phase_until:
                if operation.phase is Phase.WAIT:
                    self.round(operation)
                else:
                    self.lost(operation)
        if self.now >= self.hello_at and not self.register.retired:
            self.hello_at = self.now + self.terms.hello_every
            for name in self.others:
                self.outbox.append((name, 0, Hello(self.register.origin)))
        self.vote()

    # others, and one's own start

    def heard(self, name: str, answer: Answer) -> None:
        peer = self.peers[name]
        if self.now - peer.heard > 3 * self.terms.hello_every or (
                isinstance(answer, Here) and not answer.votes or peer.since == float("-inf")):
            peer.since = self.now
        peer.heard = self.now

    def well_since(self, name: str) -> float:
        """From when on a member has answered without a break; infinite if it does not now."""
        peer = self.peers[name]
        return peer.since if self.now - peer.heard <= 3 * self.terms.hello_every else float("inf")

    def welcomed(self, name: str, here: Here) -> None:
        if name not in self.peers:
            return
        if here.origin.life.boot and not self.register.note_origin(here.origin):
            return
        self.peers[name].here = here
        register = self.register
        if register.memory_complete and not register.votes and self.is_behind(here.life, here.mark):
            self.forget(f"{name} knows of more than this member's memory has")
        self.vote()

    def is_behind(self, known: Life, mark: int) -> bool:
        """Somebody knows of a later life of this member, or of more that it wrote, than stands here."""
        mine = self.register.life
        return known.boot > mine.boot or (known.boot == mine.boot and known.nonce != mine.nonce) \
            or mark > self.register.mark

    def forget(self, why: str) -> None:
        """What is here is not all that was answered for: it must be learned from the others."""
        self.why = why
        self.register.forget()
        self.states, self.learning, self.learn_at = {}, None, self.now

    def vote(self) -> None:
        """Takes part as soon as enough others have agreed that the memory here is all there is."""
        register = self.register
        if register.votes or register.retired:
            return
        if not register.memory_complete:
            if self.is_new():
                register.initialize(f"{self.chance.getrandbits(64):016x}")
                self.why = "founded"
                self.hello_at = self.now
            return self.learn()
        told = [peer.here for peer in self.peers.values() if peer.here is not None and peer.here.remembers]
        if len(told) == len(self.others) or (
                len(told) >= self.needed - 1 and self.now >= self.born + self.terms.settle):
            register.votes, self.why = True, ""

    def is_new(self) -> bool:
        """Nobody has ever met this member, all others say so, and none of them knows of any key."""
        if self.learning is not None or self.register.known_boot(self.me) or self.register.cells:
            return False
        heres = [peer.here for peer in self.peers.values()]
        return all(here is not None and not here.life.boot and not here.keys for here in heres)

    def learn(self) -> None:
        """Asks all others to take the old lives to be over and to tell all they know; again and again."""
        heres = [peer.here for peer in self.peers.values()]
        known = [here for here in heres if here is not None and here.remembers]
        if self.register.memory_complete or self.now < self.learn_at or len(known) < self.needed:
            return
        self.learn_at = self.now + LEARN_AGAIN * (0.5 + self.chance.random())
        latest = max([self.register.known_boot(self.me), *(here.life.boot for here in known),
                      self.learning.boot if self.learning is not None else 0])
        self.learning = Life(latest + 1, f"{self.chance.getrandbits(64):016x}")
        self.states = {}
        for name in self.others:
            self.outbox.append((name, 0, Join(Origin(self.me, self.learning, self.register.durable_mark))))

    def state_came(self, name: str, state: State) -> None:
        learning = self.learning
        if learning is None or name not in self.peers or state.lives.get(self.me) != learning.boot:
            return
        self.states[name] = state
        counts = counting(self.states)
        if len(counts) >= self.needed:  # a majority of all, and none of it is this member
            self.register.learn(learning, [self.states[n] for n in sorted(counts)])
            self.learning, self.states = None, {}
            self.counts["learned"] += 1
            self.on_learned()
            self.register.votes, self.why = True, ""

    def superseded(self, answer: Superseded) -> None:
        register = self.register
        if register.retired or not self.is_behind(answer.life, 0):
            return
        if self.learning is not None and answer.life == self.learning:
            return
        if not register.votes:  # it has just started, on a memory that is not the last
            if register.memory_complete:
                self.forget(f"{answer.origin.name} knows a later life of this member")
            elif self.learning is not None and answer.life.boot >= self.learning.boot:
                self.learning, self.learn_at = None, self.now
                register.lives[self.me] = answer.life
            return
        register.retired, register.votes = True, False
        self.why = "another process was started under this name"
        self.close()
        self.on_retired(answer.life)

    def status(self) -> dict[str, object]:
        """What an operator watches; docs/operate/offices.md explains each figure."""
        hears = sum(self.well_since(name) <= self.now for name in self.others)
        register = self.register
        took = sorted(self.writes_took)
        times = {f"write_ms_p{part}": round(1000 * took[part * (len(took) - 1) // 100], 2) if took else 0.0
                 for part in (50, 99)}
        return {"votes": register.votes, "why": self.why, "life": register.life.boot, "hears": hears,
                "members": len(register.members), "keys": len(register.cells), **times, **self.counts}
