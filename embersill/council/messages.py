"""Requests between the council's members, and the answers to them: msgspec structs, as MessagePack arrays.

Every request begins with its sender (`Origin`): name, life (a number that grows with each start, and a nonce)
and mark (the number of records it has written). Every answer begins with the same of its sender, and with the
lives of other members that the sender knows: an answer from a life that another member of the same majority
knows to be over does not count.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from embersill.council.terms import MAX_KEY_CHARS, MAX_KEYS, MAX_MEMBERS, MAX_VALUE_BYTES
from embersill.tiers.messages import MAX_TEXT_CHARS, BadFrame

VERSION = 1
MAX_ENTRIES = 4096  # in a batch of usage; other lists are shorter
# how far a number may exceed those known, in one step: a corrupt number must not exhaust the range
MAX_AHEAD = 1 << 32

Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_CHARS)]
Data = Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
Span = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Units = Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]


class Ballot(NamedTuple):
    """A ballot; higher ones take precedence, and no two lives ever use the same."""

    round: Number
    member: Text
    boot: Number


ZERO_BALLOT = Ballot(0, "", 0)


class Entry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A key's value: how often it was written, the last write's name, and the data."""

    version: Number
    writer: Text  # names the write, so that its author recognizes it
    data: Data


class Life(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One start of a member. The nonce distinguishes two starts with the same number."""

    boot: Number
    nonce: Text


class Origin(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The sender of a message; `mark`: how many records it has written."""

    name: Text
    life: Life
    mark: Number


class KeyState(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One member's complete state of one key."""

    key: Key
    promised: Ballot
    accepted: Ballot
    entry: Entry | None


class Request(msgspec.Struct, array_like=True, frozen=True, tag=True, gc=False):
    """The base of all requests."""

    origin: Origin


class Hello(Request, frozen=True, tag=1):
    """Announces a member, and asks what the receiver knows of it."""


class Peek(Request, frozen=True, tag=2):
    """Asks for the entry accepted last for a key, unless its ballot is `known`: that one the sender has."""

    key: Key
    known: Ballot = ZERO_BALLOT


class Prepare(Request, frozen=True, tag=3):
    """Asks for a promise to accept nothing below this ballot, and for the entry accepted last."""

    key: Key
    ballot: Ballot


class Accept(Request, frozen=True, tag=4):
    """Asks to accept an entry, and to promise the next ballot to the same member at once."""

    key: Key
    ballot: Ballot
    entry: Entry
    following: Ballot


class Join(Request, frozen=True, tag=5):
    """From a member that has lost its state, in a new life: asks to declare its earlier lives over and to
    send all state."""


class Act(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Identifies an action under an office's lease. Only `OfficeLease.act` creates one."""

    office: Key
    number: Number
    sequence: Number


class Offer(Request, frozen=True, tag=6):
    """To the owner of the export: a batch of one planner's usage; repeated until it is confirmed."""

    stream: Text
    batch: Number
    entries: Annotated[list[tuple[Text, Number, Units]], msgspec.Meta(max_length=MAX_ENTRIES)]


class Suspect(Request, frozen=True, tag=7):
    """To the owner of the probes: backends whose requests have failed at the sender."""

    backends: Annotated[list[Text], msgspec.Meta(max_length=1024)]


class Verdicts(Request, frozen=True, tag=8):
    """From the owner of the probes: (backend, whether it is usable, seconds since its last probe)."""

    act: Act
    verdicts: Annotated[list[tuple[Text, bool, Span]], msgspec.Meta(max_length=1024)]


class Answer(msgspec.Struct, array_like=True, frozen=True, tag=True, gc=False):
    """The base of all answers."""

    origin: Origin
    lives: Annotated[
        dict[Text, Number], msgspec.Meta(max_length=MAX_MEMBERS)
    ]  # numbers of known lives, by name


class HelloReply(Answer, frozen=True, tag=1):
    """To a Hello: the latest life and mark of its sender that are known here."""

    memory_complete: bool = msgspec.field(name="remembers")  # the sender has its complete state
    votes: bool
    keys: Number  # how many the sender knows
    life: Life
    mark: Number


class CellReply(Answer, frozen=True, tag=2):
    """To a Peek, and to a Prepare whose ballot is promised: the state of the key."""

    promised: Ballot
    accepted: Ballot
    entry: Entry | None


class Accepted(Answer, frozen=True, tag=3):
    """To an Accept: the entry is accepted."""

    ballot: Ballot


class Refused(Answer, frozen=True, tag=4):
    """To a Prepare or an Accept: a higher ballot than the request's is promised to another member."""

    promised: Ballot
    ballot: Ballot
    accepted: Ballot  # the last one: if it is lower than `ballot`, that was never accepted


class Superseded(Answer, frozen=True, tag=5):
    """A later life of the request's sender is known here."""

    life: Life
    mark: Number


class NotReady(Answer, frozen=True, tag=6):
    """The sender has no vote: it has lost its state, or has just started."""

    reason: Text


class JoinReply(Answer, frozen=True, tag=7):
    """To a Join: the state of all keys."""

    keys: Annotated[list[KeyState], msgspec.Meta(max_length=MAX_KEYS)]
    mark: Number
    known: Annotated[dict[Text, Life], msgspec.Meta(max_length=MAX_MEMBERS)]


class Confirmed(Answer, frozen=True, tag=8):
    """To an Offer: batches of the stream up to this one are booked."""

    stream: Text
    batch: Number


class OfficeReply(Answer, frozen=True, tag=9):
    """To a message about an office's work: `reason` is empty if it was accepted."""

    reason: Text = msgspec.field(name="why")


AnyRequest = Hello | Peek | Prepare | Accept | Join | Offer | Suspect | Verdicts
AnyAnswer = (
    HelloReply | CellReply | Accepted | Refused | Superseded | NotReady | JoinReply | Confirmed | OfficeReply
)


class Question(msgspec.Struct, array_like=True, frozen=True, tag="q"):
    """A frame that carries a request."""

    number: Number
    ask: AnyRequest


class Reply(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """A frame that carries an answer."""

    number: Number
    answer: AnyAnswer


_encoder = msgspec.msgpack.Encoder()
_question: msgspec.msgpack.Decoder[Question] = msgspec.msgpack.Decoder(Question)
_reply: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)


def encode_frame(frame: Question | Reply) -> bytes:
    """Encodes a frame's content."""
    return _encoder.encode(frame)


def decode_question(frame: bytes) -> Question:
    """Decodes a request's frame; BadFrame if it is not one."""
    try:
        return _question.decode(frame)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise BadFrame(f"not a request frame: {error}") from error


def decode_reply(frame: bytes) -> Reply:
    """Decodes an answer's frame; BadFrame if it is not one."""
    try:
        return _reply.decode(frame)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise BadFrame(f"not an answer frame: {error}") from error
