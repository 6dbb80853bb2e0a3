"""A member of the council: its reads and writes, its start, and the recovery of lost state. No I/O.

The caller sends `outbox` (including requests to this member's own register, which go through the same disk
path as the others), passes each answer to `on_answer`, and calls `tick` some fifty times a second. All times
are from this process's own clock.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from embersill.council.messages import (
    ZERO_BALLOT,
    Accept,
    Accepted,
    Answer,
    Request,
    Ballot,
    Entry,
    Hello,
    HelloReply,
    Join,
    Life,
    Origin,
    Peek,
    Prepare,
    Refused,
    JoinReply,
    Superseded,
    CellReply,
)
from embersill.council.register import Cell, Register
from embersill.council.terms import CouncilTerms, majority

MAX_LATENCY_SAMPLES = 1000  # write latencies kept for the status
LATENCY_SMOOTHING = 0.2  # weight of the newest operation in the smoothed latency
MAX_OPERATIONS = 256  # open at a time; a further one fails at once
RECOVERY_RETRY_S = 0.5  # after which a member without complete state sends its requests again

Change = Callable[[Entry | None], bytes | None]


class How(Enum):
    """How a read or a write ended."""

    DONE = "done"  # a majority has it
    REFUSED = "refused"  # the change function declined the value it was given: nothing was written
    UNKNOWN = "unknown"  # no majority answered in time, and some member may have accepted it
    FAILED = "failed"  # no majority answered in time, and no member has accepted it


@dataclass(frozen=True, slots=True)
class Result:
    """How an operation ended. `entry`: the key's value, as written or found; None if there is none. `began`:
    when the operation was started."""

    how: How
    entry: Entry | None
    began: float


OnResult = Callable[[Result, float], None]


class Phase(Enum):
    """What an operation is waiting for."""

    PEEK = "peek"
    PREPARE = "prepare"
    ACCEPT = "accept"
    WAIT = "wait"  # back-off before the next round, after one that failed


@dataclass(slots=True)
class Operation:
    """One read (no `change`) or write of a key."""

    number: int
    key: str
    change: Change | None
    on_result: OnResult
    began: float
    deadline: float
    phase: Phase = Phase.WAIT
    ballot: Ballot = ZERO_BALLOT
    entry: Entry | None = None  # the proposed entry
    refused: bool = False  # the change function declined the value found
    replies: dict[str, CellReply] = field(default_factory=dict)
    accepted: dict[str, Accepted] = field(default_factory=dict)
    phase_deadline: float = 0.0
    rounds: int = 0
    local: Cell = field(default_factory=Cell)  # what this member had accepted when it sent the request
    # own entries that some member may have accepted: version by writer
    undecided: dict[str, int] = field(default_factory=dict)
    writers: dict[Ballot, str] = field(default_factory=dict)  # of these entries, by the ballot of each
    refusals: dict[Ballot, set[str]] = field(default_factory=dict)  # members that refused each ballot


@dataclass(slots=True)
class Peer:
    """What is known of another member."""

    last_answer_at: float = float("-inf")
    answering_since: float = float("-inf")  # since when it has answered, voting, without a gap
    hello: HelloReply | None = None  # its latest answer to a Hello


def latest_boots(answers: Iterable[Answer]) -> dict[str, int]:
    """The number of the latest life of each member that any of these answers lists, by name."""
    boots: dict[str, int] = {}
    for answer in answers:
        for name, boot in (*answer.lives.items(), (answer.origin.name, answer.origin.life.boot)):
            boots[name] = max(boots.get(name, 0), boot)
    return boots


def valid_voters(answers: Mapping[str, Answer]) -> set[str]:
    """The members whose answers count towards a majority; one from a life known to be over does not."""
    boots = latest_boots(answers.values())
    return {name for name, answer in answers.items() if answer.origin.life.boot >= boots[name]}


def ignore_recovery() -> None:
    """The default `on_recovered` callback, which does nothing."""


def ignore_life(life: Life) -> None:
    """The default `on_retired` callback, which does nothing."""


class Member:
    """Proposer and client of the register, and the start and recovery of this member's own acceptor."""

    def __init__(self, register: Register, terms: CouncilTerms, chance: random.Random, now: float) -> None:
        """`register`: already loaded, with its life begun. `chance`: for back-off and nonces."""
        self.register, self.terms, self.chance = register, terms, chance
        self.me = register.me
        self.others = sorted(register.members - {self.me})
        self.needed = majority(len(register.members))
        self.peers = {name: Peer() for name in self.others}
        self.outbox: list[tuple[str, int, Request]] = []  # receiver, operation number, request
        self.operations: dict[int, Operation] = {}
        self.number = 0
        self.highest_round = 0  # of any ballot seen
        self.prepared: dict[str, tuple[Ballot, Entry, dict[str, CellReply]]] = {}  # ahead, by key
        self.now = self.started_at = now
        self.next_hello_at = now
        self.join_replies: dict[str, JoinReply] = {}
        self.new_life: Life | None = None
        self.next_recovery_at = now
        self.on_recovered: Callable[[], None] = ignore_recovery  # the journal must be rewritten
        self.on_retired: Callable[[Life], None] = ignore_life
        self.reason = "starting"
        if register.memory_complete and not self.others:
            register.votes = True
        self.write_latencies: deque[float] = deque(maxlen=MAX_LATENCY_SAMPLES)  # in seconds
        self.latency = 0.0  # seconds that an operation of a single round takes, smoothed
        self.counts = {"reads": 0, "writes": 0, "rounds": 0, "lost": 0, "learned": 0}

    # operations

    def read(self, key: str, on_result: OnResult, now: float, within: float | None = None) -> None:
        """Reads a key (linearizable): the result was current at some moment after this call."""
        self.start(key, None, on_result, now, within)

    def write(
        self, key: str, change: Change, on_result: OnResult, now: float, within: float | None = None
    ) -> None:
        """Replaces the key's value by what `change` makes of it; if `change` returns None, the write is
        refused.

        `change` may be called several times; only the value that a majority accepts counts.
        """
        self.start(key, change, on_result, now, within)

    def start(
        self, key: str, change: Change | None, on_result: OnResult, now: float, within: float | None
    ) -> None:
        """Starts an operation; it fails at once if this member cannot serve it."""
        self.now = max(self.now, now)
        within = self.terms.within if within is None else min(within, self.terms.within)
        if not self.register.votes or self.register.retired or len(self.operations) >= MAX_OPERATIONS:
            return on_result(Result(How.FAILED, None, self.now), self.now)
        self.number += 1
        operation = Operation(self.number, key, change, on_result, self.now, self.now + within)
        self.operations[self.number] = operation
        self.counts["reads" if change is None else "writes"] += 1
        return self.start_round(operation)

    def broadcast(self, operation: Operation, request: Request, phase: Phase) -> None:
        """Adds a request to all members, this one included, to the outbox."""
        operation.phase, operation.phase_deadline = phase, self.now + self.terms.attempt
        for name in (self.me, *self.others):
            self.outbox.append((name, operation.number, request))

    def start_round(self, operation: Operation) -> None:
        """Starts an operation's next round: a Peek, an Accept on a ballot promised ahead, or a Prepare."""
        operation.rounds += 1
        self.counts["rounds"] += 1
        operation.replies, operation.accepted = {}, {}
        cell = self.register.cells.get(operation.key)
        if operation.change is None and operation.rounds == 1:
            operation.local = Cell() if cell is None else Cell(accepted=cell.accepted, entry=cell.entry)
            request = Peek(self.register.origin, operation.key, operation.local.accepted)
            return self.broadcast(operation, request, Phase.PEEK)
        prepared = self.prepared.pop(operation.key, None)
        if (
            prepared is not None
            and operation.change is not None
            and operation.rounds == 1
            and (cell is None or cell.promised <= prepared[0])
        ):  # no other proposer is known to have intervened
            operation.ballot, operation.replies = prepared[0], prepared[2]
            return self.propose(operation, fresh=False)
        self.highest_round += 1
        operation.ballot = Ballot(self.highest_round, self.me, self.register.life.boot)
        prepare = Prepare(self.register.origin, operation.key, operation.ballot)
        return self.broadcast(operation, prepare, Phase.PREPARE)

    def propose(self, operation: Operation, fresh: bool = True) -> None:
        """A majority has promised: applies the change to the latest accepted entry and proposes the result.

        `fresh` is False if the promises were made before the operation began: another member may have written
        since, so the entry found proves nothing until a majority has accepted it again.
        """
        latest = max(operation.replies.values(), key=lambda reply: reply.accepted)
        found = latest.entry
        if found is not None and found.writer in operation.undecided:
            operation.entry = found  # its own, of an earlier round: bring it to a majority
        elif operation.undecided and found is not None and found.version >= min(operation.undecided.values()):
            return self.finish(operation, How.UNKNOWN, found)  # an own entry may lie beneath another's
        else:
            data = operation.change(found) if operation.change is not None else None
            operation.refused = operation.change is not None and data is None
            if data is None:
                settled = all(reply.accepted == latest.accepted for reply in operation.replies.values())
                if found is None or settled and fresh:
                    return self.finish(operation, How.REFUSED if operation.refused else How.DONE, found)
                operation.entry = found  # perhaps accepted by a minority only: bring it to a majority
            else:
                writer = f"{self.me}.{self.register.life.boot}.{operation.number}.{operation.rounds}"
                version = 1 if found is None else found.version + 1
                operation.entry = Entry(version, writer, data)
                operation.undecided[writer] = version
                operation.writers[operation.ballot] = writer
        following = operation.ballot._replace(round=operation.ballot.round + 1)
        self.highest_round = max(self.highest_round, following.round)
        request = Accept(self.register.origin, operation.key, operation.ballot, operation.entry, following)
        return self.broadcast(operation, request, Phase.ACCEPT)

    def on_answer(self, number: int, answer: Answer, now: float) -> None:
        """Processes the answer to request `number`; 0 if it belongs to no operation."""
        self.now = max(self.now, now)
        name = answer.origin.name
        if name in self.peers:
            self.note_answer(name, answer)
        if isinstance(answer, Superseded):
            return self.on_superseded(answer)
        if isinstance(answer, HelloReply):
            return self.on_hello_reply(name, answer)
        if isinstance(answer, JoinReply):
            return self.on_join_reply(name, answer)
        operation = self.operations.get(number)
        if operation is None or name not in self.register.members:
            return None
        if name in self.peers and not self.register.note_origin(answer.origin):
            return None
        if isinstance(answer, CellReply):
            self.on_cell_reply(operation, name, answer)
        elif isinstance(answer, Accepted):
            if operation.phase is Phase.ACCEPT and answer.ballot == operation.ballot:
                operation.accepted[name] = answer
                self.check_accepted(operation)
        elif isinstance(answer, Refused):
            self.highest_round = max(self.highest_round, answer.promised.round)
            self.on_refused(operation, name, answer)
            if operation.phase in (Phase.PREPARE, Phase.ACCEPT) and answer.ballot == operation.ballot:
                self.retry_later(operation)
        return None

    def on_refused(self, operation: Operation, name: str, answer: Refused) -> None:
        """Notes a refusal. An entry that all members have refused is accepted nowhere, and never will be."""
        if answer.accepted >= answer.ballot:
            return  # this member may have accepted it before it promised a higher ballot
        by = operation.refusals.setdefault(answer.ballot, set())
        by.add(name)
        writer = operation.writers.get(answer.ballot, "")
        if by == self.register.members and writer in operation.undecided:
            del operation.undecided[writer]

    def on_cell_reply(self, operation: Operation, name: str, answer: CellReply) -> None:
        """Processes the answer to a Peek or a Prepare."""
        self.highest_round = max(self.highest_round, answer.promised.round, answer.accepted.round)
        if operation.phase is Phase.PEEK:
            if answer.accepted == operation.local.accepted:  # a ballot is proposed with one entry only
                answer = msgspec.structs.replace(answer, entry=operation.local.entry)
            operation.replies[name] = answer
            if len(valid_voters(operation.replies)) >= self.needed:
                latest = max(operation.replies.values(), key=lambda reply: reply.accepted)
                same = {n: t for n, t in operation.replies.items() if t.accepted == latest.accepted}
                if len(valid_voters(operation.replies) & same.keys()) >= self.needed:
                    self.finish(operation, How.DONE, latest.entry)
                elif len(operation.replies) == len(self.register.members):
                    self.start_round(operation)  # a write is incomplete: complete it
        elif operation.phase is Phase.PREPARE and answer.promised == operation.ballot:
            operation.replies[name] = answer
            if len(valid_voters(operation.replies)) >= self.needed:
                operation.replies = {n: operation.replies[n] for n in valid_voters(operation.replies)}
                self.propose(operation)

    def check_accepted(self, operation: Operation) -> None:
        """Finishes an operation once a majority has accepted its entry."""
        voters = valid_voters(operation.accepted)
        if len(voters) < self.needed:
            return
        entry = operation.entry
        assert entry is not None
        following = operation.ballot._replace(round=operation.ballot.round + 1)
        # these members also promised the next ballot, so the next write of this key needs no Prepare
        self.prepared[operation.key] = (
            following,
            entry,
            {
                name: CellReply(accepted.origin, accepted.lives, following, operation.ballot, entry)
                for name, accepted in operation.accepted.items()
                if name in voters
            },
        )
        self.finish(operation, How.REFUSED if operation.refused else How.DONE, entry)

    def retry_later(self, operation: Operation) -> None:
        """A round was overridden by another proposer's: retries after a randomized back-off, since both
        would otherwise go on overriding each other."""
        self.counts["lost"] += 1
        self.prepared.pop(operation.key, None)
        wait = min(self.terms.back_off * 2.0 ** min(operation.rounds, 10), self.terms.most_back_off)
        operation.phase = Phase.WAIT
        operation.phase_deadline = self.now + wait * (0.5 + self.chance.random())

    def finish(self, operation: Operation, how: How, entry: Entry | None) -> None:
        """Ends an operation and reports its result."""
        self.operations.pop(operation.number, None)
        if how is How.DONE and operation.change is not None:
            self.write_latencies.append(self.now - operation.began)
        if how is How.DONE and operation.rounds == 1:
            self.latency += LATENCY_SMOOTHING * (self.now - operation.began - self.latency)
        operation.on_result(Result(how, entry, operation.began), self.now)

    def close(self) -> None:
        """Ends all operations: this member no longer takes part, and callers have to retry elsewhere."""
        for operation in list(self.operations.values()):
            self.finish(operation, How.UNKNOWN if operation.undecided else How.FAILED, None)

    # time

    def tick(self, now: float) -> None:
        """Advances time: ends operations past their deadline, retries rounds, sends Hellos."""
        self.now = max(self.now, now)
        for operation in list(self.operations.values()):
            if self.now >= operation.deadline:
                uncertain = operation.change is not None and operation.undecided
                self.finish(operation, How.UNKNOWN if uncertain else How.FAILED, None)
            elif self.now >= operation.phase_deadline:
                if operation.phase is Phase.WAIT:
                    self.start_round(operation)
                else:
                    self.retry_later(operation)
        if self.now >= self.next_hello_at and not self.register.retired:
            self.next_hello_at = self.now + self.terms.hello_every
            for name in self.others:
                self.outbox.append((name, 0, Hello(self.register.origin)))
        self.try_to_vote()

    # peers, start and recovery

    def note_answer(self, name: str, answer: Answer) -> None:
        """Records that a peer has answered; a gap or a lost vote restarts its time of answering."""
        peer = self.peers[name]
        if self.now - peer.last_answer_at > 3 * self.terms.hello_every or (
            isinstance(answer, HelloReply) and not answer.votes or peer.answering_since == float("-inf")
        ):
            peer.answering_since = self.now
        peer.last_answer_at = self.now

    def answering_since(self, name: str) -> float:
        """The time since which a member has answered without a gap; infinite if it does not answer now."""
        peer = self.peers[name]
        return (
            peer.answering_since
            if self.now - peer.last_answer_at <= 3 * self.terms.hello_every
            else float("inf")
        )

    def on_hello_reply(self, name: str, hello: HelloReply) -> None:
        """Processes what a peer knows of this member; it may show that the state here is incomplete."""
        if name not in self.peers:
            return
        if hello.origin.life.boot and not self.register.note_origin(hello.origin):
            return
        self.peers[name].hello = hello
        register = self.register
        if register.memory_complete and not register.votes and self.is_behind(hello.life, hello.mark):
            self.forget(f"{name} has seen records that are missing from this member's journal")
        self.try_to_vote()

    def is_behind(self, known: Life, mark: int) -> bool:
        """Whether another member knows of a later life of this member, or of more records, than it has."""
        mine = self.register.life
        return (
            known.boot > mine.boot
            or (known.boot == mine.boot and known.nonce != mine.nonce)
            or mark > self.register.mark
        )

    def forget(self, reason: str) -> None:
        """The state here is incomplete and must be recovered from the other members."""
        self.reason = reason
        self.register.forget()
        self.join_replies, self.new_life, self.next_recovery_at = {}, None, self.now

    def try_to_vote(self) -> None:
        """Gains the vote as soon as enough other members have confirmed that the state here is complete."""
        register = self.register
        if register.votes or register.retired:
            return
        if not register.memory_complete:
            if self.is_new():
                register.initialize(f"{self.chance.getrandbits(64):016x}")
                self.reason = "founded"
                self.next_hello_at = self.now
            return self.recover()
        confirming = [
            peer.hello
            for peer in self.peers.values()
            if peer.hello is not None and peer.hello.memory_complete
        ]
        if len(confirming) == len(self.others) or (
            len(confirming) >= self.needed - 1 and self.now >= self.started_at + self.terms.settle
        ):
            register.votes, self.reason = True, ""

    def is_new(self) -> bool:
        """Whether all others have said that they never met this member and know of no key."""
        if self.new_life is not None or self.register.known_boot(self.me) or self.register.cells:
            return False
        hellos = [peer.hello for peer in self.peers.values()]
        return all(hello is not None and not hello.life.boot and not hello.keys for hello in hellos)

    def recover(self) -> None:
        """Requests all others to declare this member's earlier lives over and send their state; repeated
        until a majority has."""
        hellos = [peer.hello for peer in self.peers.values()]
        known = [hello for hello in hellos if hello is not None and hello.memory_complete]
        if self.register.memory_complete or self.now < self.next_recovery_at or len(known) < self.needed:
            return
        self.next_recovery_at = self.now + RECOVERY_RETRY_S * (0.5 + self.chance.random())
        latest = max(
            [
                self.register.known_boot(self.me),
                *(hello.life.boot for hello in known),
                self.new_life.boot if self.new_life is not None else 0,
            ]
        )
        self.new_life = Life(latest + 1, f"{self.chance.getrandbits(64):016x}")
        self.join_replies = {}
        for name in self.others:
            self.outbox.append((name, 0, Join(Origin(self.me, self.new_life, self.register.durable_mark))))

    def on_join_reply(self, name: str, state: JoinReply) -> None:
        """Collects the peers' states; the recovery completes with those of a majority."""
        new_life = self.new_life
        if new_life is None or name not in self.peers or state.lives.get(self.me) != new_life.boot:
            return
        self.join_replies[name] = state
        voters = valid_voters(self.join_replies)
        if len(voters) >= self.needed:  # a majority of all members, without this one
            self.register.learn(new_life, [self.join_replies[n] for n in sorted(voters)])
            self.new_life, self.join_replies = None, {}
            self.counts["learned"] += 1
            self.on_recovered()
            self.register.votes, self.reason = True, ""

    def on_superseded(self, answer: Superseded) -> None:
        """A later life of this member is known elsewhere: retires, or recovers if it has just started."""
        register = self.register
        if register.retired or not self.is_behind(answer.life, 0):
            return
        if self.new_life is not None and answer.life == self.new_life:
            return
        if not register.votes:  # it has just started, on outdated state
            if register.memory_complete:
                self.forget(f"{answer.origin.name} knows a later life of this member")
            elif self.new_life is not None and answer.life.boot >= self.new_life.boot:
                self.new_life, self.next_recovery_at = None, self.now
                register.lives[self.me] = answer.life
            return
        register.retired, register.votes = True, False
        self.reason = "another process was started under this name"
        self.close()
        self.on_retired(answer.life)

    def status(self) -> dict[str, object]:
        """Figures for operators; docs/operate/offices.md explains each of them."""
        hears = sum(self.answering_since(name) <= self.now for name in self.others)
        register = self.register
        took = sorted(self.write_latencies)
        times = {
            f"write_ms_p{part}": round(1000 * took[part * (len(took) - 1) // 100], 2) if took else 0.0
            for part in (50, 99)
        }
        return {
            "votes": register.votes,
            "why": self.reason,
            "life": register.life.boot,
            "hears": hears,
            "members": len(register.members),
            "keys": len(register.cells),
            **times,
            **self.counts,
        }
