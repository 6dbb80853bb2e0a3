"""The acceptor state of one member of the replicated register: its promises and accepted values. No I/O.

The register is CASPaxos (Rystsov 2018, "CASPaxos: Replicated State Machines without logs"): each key is a
value that a majority accepts ballot by ballot, with no log and no leader, so that any member that reaches a
majority can read and write, whatever the other members reach. An answer may be sent only after the records
that precede it are on disk: `handle` produces both, and the caller keeps that order.

One extension: a member that has lost its disk state takes part again only once a majority *of the others*,
all with complete state, has declared its earlier lives over and sent it everything they have. Answers list
the lives that their sender knows, so that the collector of a majority can leave out answers from a life that
is over (as in Michael and others 2017, "Recovering Shared Objects Without Stable Storage");
docs/design/offices.md has the argument.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from embersill.council.messages import (
    MAX_AHEAD,
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
    KeyState,
    Life,
    NotReady,
    Origin,
    Peek,
    Prepare,
    Refused,
    JoinReply,
    Superseded,
    CellReply,
)
from embersill.council.terms import MAX_KEYS


class LifeRecord(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Journal record: the current life of a member, which may be this one."""

    name: str
    life: Life


class PromiseRecord(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Journal record: a ballot was promised."""

    key: str
    ballot: Ballot
    marks: dict[str, int]


class AcceptRecord(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Journal record: an entry was accepted, and the following ballot promised."""

    key: str
    ballot: Ballot
    entry: Entry
    following: Ballot
    marks: dict[str, int]


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Journal record: the complete state, with which a rewritten journal begins."""

    lives: dict[str, Life]
    marks: dict[str, int]
    mark: int
    keys: list[KeyState]


Record = LifeRecord | PromiseRecord | AcceptRecord | Snapshot
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def ignore_entry(key: str, entry: Entry) -> None:
    """The default `on_accepted` callback, which does nothing."""


@dataclass(slots=True)
class Cell:
    """The acceptor state of one key: highest promised ballot, accepted ballot and accepted entry."""

    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    entry: Entry | None = None


class Register:
    """The acceptor state of `me` among `members`. `records` must be on disk before the answers that were
    returned with them are sent."""

    def __init__(self, me: str, members: Iterable[str]) -> None:
        self.me, self.members = me, frozenset(members)
        self.cells: dict[str, Cell] = {}
        self.lives: dict[str, Life] = {}
        self.marks: dict[str, int] = {}  # other members: how many records each is known to have written
        self.mark = 0  # records written, and how many of them are known to be on disk
        self.durable_mark = 0
        self.life = Life(0, "")
        self.life_mark = 0  # the record with the life: nothing is sent under the life before it is on disk
        self.memory_complete = False  # the state covers every answer that this member ever gave
        self.votes = False  # enough other members have confirmed that
        self.retired = False  # a later life of this member exists: this one no longer takes part
        self.records: list[Record] = []
        self.on_accepted: Callable[[str, Entry], None] = ignore_entry

    # the disk

    def load(self, records: list[bytes] | None) -> None:
        """Loads a journal's records; None if there is no trustworthy journal. ValueError for a record that
        cannot be decoded."""
        for data in records or ():
            try:
                record = _decoder.decode(data)
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                raise ValueError(f"undecodable journal record: {error}") from error
            self.replay(record)
        self.memory_complete = records is not None
        self.durable_mark = self.mark

    def replay(self, record: Record) -> None:
        """Applies one journal record."""
        if isinstance(record, LifeRecord):
            self.lives[record.name] = record.life
        elif isinstance(record, PromiseRecord):
            cell = self.cells.setdefault(record.key, Cell())
            cell.promised = max(cell.promised, record.ballot)
            self.marks.update(record.marks)
        elif isinstance(record, AcceptRecord):
            cell = self.cells.setdefault(record.key, Cell())
            cell.promised = max(cell.promised, record.following)
            cell.accepted, cell.entry = record.ballot, record.entry
            self.marks.update(record.marks)
        else:
            self.lives, self.marks, self.mark = dict(record.lives), dict(record.marks), record.mark
            self.cells = {k.key: Cell(k.promised, k.accepted, k.entry) for k in record.keys}
            return
        self.mark += 1

    def write(self, record: Record) -> None:
        """Appends a record to those that wait to be written to disk."""
        self.mark += 1
        self.records.append(record)

    def snapshot(self) -> Snapshot:
        """The complete state, with which a rewritten journal begins."""
        return Snapshot(dict(self.lives), dict(self.marks), self.mark, self.key_states())

    def key_states(self) -> list[KeyState]:
        """The state of every key, in the order of the keys."""
        return [KeyState(key, c.promised, c.accepted, c.entry) for key, c in sorted(self.cells.items())]

    # lives

    def begin_life(self, nonce: str) -> None:
        """Begins a new life, numbered one above the last that is known; without complete state it has to
        wait until that is recovered."""
        if self.memory_complete:
            self.set_life(Life(self.known_boot(self.me) + 1, nonce))

    def forget(self) -> None:
        """Marks the state as incomplete: some answers given earlier are not in it. What is there remains
        valid and is kept, but no request is answered from it."""
        self.memory_complete = self.votes = False
        self.life = Life(0, "")  # no life until the state is recovered

    def initialize(self, nonce: str) -> None:
        """Starts with an empty state: no member has ever met this one, and none knows of any key."""
        self.memory_complete = True
        self.set_life(Life(1, nonce))

    def set_life(self, life: Life) -> None:
        """Sets this member's life and records it."""
        self.life = self.lives[self.me] = life
        self.write(LifeRecord(self.me, life))
        self.life_mark = self.mark

    def known_boot(self, name: str) -> int:
        """The number of a member's latest known life; 0 if it has never been met."""
        known = self.lives.get(name)
        return 0 if known is None else known.boot

    def known_boots(self) -> dict[str, int]:
        """The number of each member's latest known life, by name."""
        return {name: life.boot for name, life in self.lives.items()}

    @property
    def origin(self) -> Origin:
        """The origin for requests, which are sent at once: it counts only records that are on disk, since
        the others may still be lost, and no member may come to expect them."""
        return Origin(self.me, self.life, self.durable_mark)

    @property
    def answer_origin(self) -> Origin:
        """The origin for answers, which are sent once all records before them are on disk."""
        return Origin(self.me, self.life, self.mark)

    def mark_durable(self, mark: int) -> None:
        """Notes that the first `mark` records are on disk."""
        self.durable_mark = max(self.durable_mark, mark)

    def note_origin(self, origin: Origin) -> bool:
        """Records a sender's life and mark; False if that life is over."""
        known = self.lives.get(origin.name)
        if known is not None and (
            origin.life.boot < known.boot
            or origin.life.boot == known.boot
            and origin.life.nonce != known.nonce
        ):
            return False
        if origin.life.boot > self.known_boot(origin.name) + MAX_AHEAD:
            return False
        if known != origin.life and origin.life.boot > 0:
            self.lives[origin.name] = origin.life
            self.write(LifeRecord(origin.name, origin.life))
        if origin.mark > self.marks.get(origin.name, 0):
            self.marks[origin.name] = origin.mark
        return True

    # requests

    def handle(self, request: Request) -> Answer:
        """Returns the answer to a member's request; any records added to `records` must be on disk before it
        is sent."""
        name = request.origin.name
        if isinstance(request, Hello):
            known = self.lives.get(name, Life(0, "")), self.marks.get(name, 0)
            if name != self.me and request.origin.life.boot and not self.note_origin(request.origin):
                return Superseded(self.answer_origin, self.known_boots(), *known)
            return HelloReply(
                self.answer_origin,
                self.known_boots(),
                self.memory_complete,
                self.votes,
                len(self.cells),
                *known,
            )
        if name != self.me and not self.note_origin(request.origin):
            return Superseded(
                self.answer_origin,
                self.known_boots(),
                self.lives.get(name, Life(0, "")),
                self.marks.get(name, 0),
            )
        if isinstance(request, Join):
            if not self.votes or self.retired:  # only with a vote have others confirmed this state complete
                return self.not_ready()
            return JoinReply(
                self.answer_origin,
                self.known_boots(),
                self.key_states(),
                self.marks.get(name, 0),
                dict(self.lives),
            )
        if not self.votes or self.retired:
            return self.not_ready()
        if isinstance(request, Peek):
            cell = self.cells.get(request.key, Cell())
            return self.cell_reply(cell, cell.accepted == request.known)
        if isinstance(request, Prepare):
            return self.prepare(request)
        if isinstance(request, Accept):
            return self.accept(request)
        return self.not_ready("not a request to the register")

    def not_ready(self, reason: str = "") -> NotReady:
        """The answer of a member that cannot serve a request."""
        reason = reason or ("retired" if self.retired else "starting" if self.memory_complete else "learning")
        return NotReady(self.answer_origin, self.known_boots(), reason)

    def cell_reply(self, cell: Cell, known: bool = False) -> CellReply:
        """A key's state; `known`: the requester has the entry and identifies it by its ballot."""
        entry = None if known else cell.entry
        return CellReply(self.answer_origin, self.known_boots(), cell.promised, cell.accepted, entry)

    def cell(self, key: str, ballot: Ballot) -> Cell | None:
        """The key's cell, created if there is room; None if not, or if the ballot is implausibly high."""
        cell = self.cells.get(key)
        if cell is None:
            if len(self.cells) >= MAX_KEYS:
                return None
            cell = Cell()
        if ballot.round > cell.promised.round + MAX_AHEAD:
            return None
        self.cells[key] = cell
        return cell

    def prepare(self, request: Prepare) -> Answer:
        """Promises a ballot unless a higher one is promised."""
        cell = self.cell(request.key, request.ballot)
        if cell is None:
            return self.not_ready("key limit reached")
        if request.ballot < cell.promised:
            return Refused(
                self.answer_origin, self.known_boots(), cell.promised, request.ballot, cell.accepted
            )
        if request.ballot > cell.promised:
            cell.promised = request.ballot
            self.write(PromiseRecord(request.key, request.ballot, dict(self.marks)))
        return self.cell_reply(cell)

    def accept(self, request: Accept) -> Answer:
        """Accepts an entry unless a higher ballot is promised."""
        cell = self.cell(request.key, request.ballot)
        if cell is None:
            return self.not_ready("key limit reached")
        if cell.accepted == request.ballot:
            return Accepted(self.answer_origin, self.known_boots(), request.ballot)  # a duplicate
        if request.ballot < cell.promised:
            return Refused(
                self.answer_origin, self.known_boots(), cell.promised, request.ballot, cell.accepted
            )
        cell.accepted, cell.entry = request.ballot, request.entry
        cell.promised = max(request.ballot, request.following)
        self.write(AcceptRecord(request.key, request.ballot, request.entry, cell.promised, dict(self.marks)))
        self.on_accepted(request.key, request.entry)
        return Accepted(self.answer_origin, self.known_boots(), request.ballot)

    # recovery of lost state

    def learn(self, life: Life, states: Iterable[JoinReply]) -> None:
        """Adopts the state that a majority of the others sent after declaring all earlier lives over."""
        for state in states:
            for key_state in state.keys:
                cell = self.cells.setdefault(key_state.key, Cell())
                cell.promised = max(cell.promised, key_state.promised)
                if key_state.accepted > cell.accepted:
                    cell.accepted, cell.entry = key_state.accepted, key_state.entry
            self.mark = max(self.mark, state.mark)
            for name, known in state.known.items():
                if known.boot > self.known_boot(name) and name in self.members:
                    self.lives[name] = known
        self.life = self.lives[self.me] = life
        self.memory_complete = True
        self.mark += 1  # the journal is rewritten with all of this
        self.life_mark = self.mark
