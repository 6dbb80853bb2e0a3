"""What the council's members ask each other, and their answers: msgspec structs, as MessagePack arrays.

Every question begins with who asks (`Origin`): name, life (a number that grows with each start, and a nonce)
and mark (how many records it has written). Every answer tells the same of who answers, and which lives of the
others it knows: answers of a life that somebody in the same majority knows to be over count for nothing.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from embersill.council.terms import MOST_KEY, MOST_KEYS, MOST_MEMBERS, MOST_VALUE
from embersill.tiers.messages import MAX_TEXT_CHARS, BadFrame

VERSION = 1
MOST_ENTRIES = 4096  # of a batch of use; lists of other things are shorter
# by how much a number may run ahead of those known, in one step: a figure gone wrong must not use them up
MOST_AHEAD = 1 << 32

Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MOST_KEY)]
Data = Annotated[bytes, msgspec.Meta(max_length=MOST_VALUE)]
Span = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Units = Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]


class Ballot(NamedTuple):
    """Greater ones go before lower ones; no two lives ever have the same."""

    round: Number
    member: Text
    boot: Number


NOUGHT = Ballot(0, "", 0)


class Entry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A key's value: how often it was written, by which write last, and what it is."""

    version: Number
    writer: Text  # names the write, so that whoever made it knows it again
    data: Data


class Life(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One start of a member. Two with the same number are told apart by the nonce."""

    boot: Number
    nonce: Text


class Origin(msgspec.Struct, array_like=True, frozen=True, gc=False):
    name: Text
    life: Life
    mark: Number


class Kept(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """All that one member knows of one key."""

    key: Key
    promised: Ballot
    accepted: Ballot
    entry: Entry | None


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=True, gc=False):
    origin: Origin


class Hello(Ask, frozen=True, tag=1):
    """I am here; what do you know of me?"""


class Peek(Ask, frozen=True, tag=2):
    """What did you accept last for this key? The entry that I have, by its ballot, need not be told again."""

    key: Key
    known: Ballot = NOUGHT


class Prepare(Ask, frozen=True, tag=3):
    """Promise to accept nothing below this ballot, and tell what you accepted last."""

    key: Key
    ballot: Ballot


class Accept(Ask, frozen=True, tag=4):
    """Accept this entry; and promise the next ballot to the same member in one go."""

    key: Key
    ballot: Ballot
    entry: Entry
    following: Ballot


class Join(Ask, frozen=True, tag=5):
    """My memory is lost, and this is a new life: take my old ones to be over, and tell me all."""


class Act(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What every message of an office carries. Only `offices.Post.act` makes one."""

    office: Key
    number: Number
    sequence: Number


class Offer(Ask, frozen=True, tag=6):
    """To the owner of the export: a batch of one planner's use, until it is confirmed."""

    stream: Text
    batch: Number
    entries: Annotated[list[tuple[Text, Number, Units]], msgspec.Meta(max_length=MOST_ENTRIES)]


class Suspect(Ask, frozen=True, tag=7):
    """To the owner of the probes: backends that have failed here."""

    backends: Annotated[list[Text], msgspec.Meta(max_length=1024)]


class Verdicts(Ask, frozen=True, tag=8):
    """From the owner of the probes: (backend, whether it can be used, seconds since it was probed last)."""

    act: Act
    verdicts: Annotated[list[tuple[Text, bool, Span]], msgspec.Meta(max_length=1024)]


class Answer(msgspec.Struct, array_like=True, frozen=True, tag=True, gc=False):
    origin: Origin
    lives: Annotated[dict[Text, Number], msgspec.Meta(max_length=MOST_MEMBERS)]  # boots known, by name


class Here(Answer, frozen=True, tag=1):
    """To a Hello: what is known of whoever asked."""

    remembers: bool  # whoever answers has its memory
    votes: bool
    keys: Number  # that it knows of
    life: Life
    mark: Number


class Told(Answer, frozen=True, tag=2):
    """To a Peek, and to a Prepare that is promised."""

    promised: Ballot
    accepted: Ballot
    entry: Entry | None


class Accepted(Answer, frozen=True, tag=3):
    ballot: Ballot


class Refused(Answer, frozen=True, tag=4):
    """A higher ballot than the one that was asked with was promised to another."""

    promised: Ballot
    ballot: Ballot
    accepted: Ballot  # last of all: if that is lower, this one never was


class Superseded(Answer, frozen=True, tag=5):
    """A later life of whoever asked is known here."""

    life: Life
    mark: Number


class NotYet(Answer, frozen=True, tag=6):
    """Whoever answers has no vote: it has lost its memory, or has just started."""

    reason: Text


class State(Answer, frozen=True, tag=7):
    """To a Join: all that is known of all keys."""

    keys: Annotated[list[Kept], msgspec.Meta(max_length=MOST_KEYS)]
    mark: Number
    known: Annotated[dict[Text, Life], msgspec.Meta(max_length=MOST_MEMBERS)]


class Confirmed(Answer, frozen=True, tag=8):
    """To an Offer: batches of that stream up to this one are booked."""

    stream: Text
    batch: Number


class Taken(Answer, frozen=True, tag=9):
    """To an office's message: `why` is empty if it was taken."""

    why: Text


AnyAsk = Hello | Peek | Prepare | Accept | Join | Offer | Suspect | Verdicts
AnyAnswer = Here | Told | Accepted | Refused | Superseded | NotYet | State | Confirmed | Taken


class Question(msgspec.Struct, array_like=True, frozen=True, tag="q"):
    """A frame towards whoever is asked."""

    number: Number
    ask: AnyAsk


class Reply(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """A frame back."""

    number: Number
    answer: AnyAnswer


_encoder = msgspec.msgpack.Encoder()
_question: msgspec.msgpack.Decoder[Question] = msgspec.msgpack.Decoder(Question)
_reply: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)


def packed(frame: Question | Reply) -> bytes:
    return _encoder.encode(frame)


def read_question(frame: bytes) -> Question:
    """BadFrame for anything that is not one."""
    try:
        return _question.decode(frame)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise BadFrame(f"no question: {error}") from error


def read_reply(frame: bytes) -> Reply:
    """BadFrame for anything that is not one."""
    try:
        return _reply.decode(frame)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise BadFrame(f"no answer: {error}") from error
