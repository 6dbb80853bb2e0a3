"""The messages between forwarders and planners: msgspec structs, encoded as MessagePack arrays.

All times are durations in seconds relative to when the message was encoded: no clock is ever compared with
another machine's. A batch is one frame; `read_batch` rejects a frame that does not match the schema.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

VERSION = 2  # of the message schema; both ends must use the same version
MAX_TEXT_CHARS = 256  # length of a name
MAX_FIGURE = 1e9  # far above any duration or amount of units that occurs on a link

# The bounds also reject NaN and infinities, which later comparisons would let through.
BoundedFloat = Annotated[float, msgspec.Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)]
Units = Annotated[float, msgspec.Meta(ge=0, le=MAX_FIGURE)]  # units spent: a negative amount would add units
Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True, gc=False):
    """Base class of all messages: an array that starts with the integer tag."""


class Beat(Message, frozen=True, tag=1):
    """Planner to forwarder, several times per lease: asks it to renew the loan of its share for one lease."""

    number: Number
    gathered: bool  # all forwarders are connected, or the wait for them is over: parts may move here
    reach: Number  # number of forwarders that the planner receives messages from


class Echo(Message, frozen=True, tag=2):
    """Forwarder to planner: renews the loan of all parts lent to it for one lease, counted from that beat."""

    number: Number


class Spent(Message, frozen=True, tag=3):
    """Forwarder to planner, before Lend: what it forwarded for each customer, as pairs of age and units."""

    customers: list[tuple[Text, Text, list[tuple[BoundedFloat, Units]]]]  # customer, plan, spends


class Lend(Message, frozen=True, tag=4):
    """Forwarder to planner: it follows the planner for these parts and lends its share of their ceilings.

    `remembers`: how far back the preceding Spent messages are complete. `free_in`: how long a planner that
    held the share before may still use it.
    """

    parts: list[Number]
    remembers: BoundedFloat
    free_in: BoundedFloat
    term: Number = 0  # identifies this loan: messages of the planner about another loan are ignored


class Recall(Message, frozen=True, tag=5):
    """Forwarder to planner: it no longer follows the planner for these parts; Returned echoes `token`."""

    parts: list[Number]
    token: Number


class Returned(Message, frozen=True, tag=6):
    """Planner to forwarder: it has stopped using the shares of the recalled parts."""

    token: Number


class Ask(Message, frozen=True, tag=7):
    """Forwarder to planner: a client's request. `ask` identifies it on this link and is never reused."""

    ask: Number
    klass: Text
    plan: Text
    customer: Text
    left: BoundedFloat  # time left until the client's deadline
    units: Units
    repeat: bool


class Open(Message, frozen=True, tag=8):
    """Forwarder to planner: a request handled elsewhere so far; its attempts as backend, age and outcome."""

    ask: Number
    klass: Text
    plan: Text
    customer: Text
    left: BoundedFloat
    units: Units
    repeat: bool
    age: BoundedFloat
    attempts: list[tuple[Text, BoundedFloat, Text | None]]


class Ended(Message, frozen=True, tag=9):
    """Forwarder to planner: an attempt has ended."""

    ask: Number
    attempt: Number
    backend: Text
    outcome: Text
    elapsed: BoundedFloat
    over: bool
    units: Units


class Left(Message, frozen=True, tag=10):
    """Forwarder to planner: drops a request whose client left or for which the planner took too long."""

    ask: Number


class Grant(Message, frozen=True, tag=11):
    """Planner to forwarder: start an attempt; the planner numbers the attempts of a request from 0."""

    ask: Number
    attempt: Number
    backend: Text
    timeout: BoundedFloat


class Refused(Message, frozen=True, tag=12):
    """Planner to forwarder: final answer; the client may safely retry."""

    ask: Number
    retry_after: BoundedFloat
    why: Text = ""  # for monitoring: which limit, and the state of the part (reasons.py)


class Failed(Message, frozen=True, tag=13):
    """Planner to forwarder: final answer; a retry is not known to be safe."""

    ask: Number


class Cancelled(Message, frozen=True, tag=14):
    """Planner to forwarder: cancel an attempt."""

    ask: Number
    attempt: Number


class Withdrawn(Message, frozen=True, tag=15):
    """Planner to forwarder: these backends are draining or gone; start no new attempt on them."""

    backends: list[Text]


class Leaving(Message, frozen=True, tag=16):
    """Planner to forwarder: it is about to stop; lend its parts to another planner."""


class Bequeath(Message, frozen=True, tag=17):
    """Forwarder to planner: it stops with no open request; its loan stays valid until the bequest ends."""


class Taken(Message, frozen=True, tag=18):
    """Planner to forwarder: units granted to an external rate limit query, for it to record."""

    customer: Text
    plan: Text
    units: Units


class Holds(Message, frozen=True, tag=21):
    """Forwarder to planner, before Lend: the reserves of customers' ceilings that it holds."""

    customers: list[tuple[Text, Units]]


class Reserve(Message, frozen=True, tag=22):
    """Planner to forwarder, within a loan: units to add to its reserve; a negative amount is to be returned.

    The units belong to the forwarder from then on, whichever planner it lends its share to, and to no
    planner. `portion` is the forwarder's fraction of the customer's recent demand.
    """

    customer: Text
    plan: Text
    term: Number
    units: BoundedFloat
    portion: Annotated[float, msgspec.Meta(ge=0, le=1)]


class Used(Message, frozen=True, tag=23):
    """Forwarder to planner: it spent units of its reserve while its share is lent to that planner."""

    customer: Text
    plan: Text
    units: Units


class Yielded(Message, frozen=True, tag=24):
    """Forwarder to planner: units of its reserve that it returns to the planner."""

    customer: Text
    units: Units


class Missing(Message, frozen=True, tag=25):
    """Either way, on one path and unordered: nothing has arrived for long, so batches may be lost."""


class Probe(Message, frozen=True, tag=19):
    """Either way, on one path and unordered: tests whether the path delivers anything."""

    number: Number


class Probed(Message, frozen=True, tag=20):
    """The answer to a probe, sent on the path on which the probe arrived."""

    number: Number


AnyMessage = (
    Beat
    | Echo
    | Spent
    | Lend
    | Recall
    | Returned
    | Bequeath
    | Ask
    | Open
    | Ended
    | Left
    | Grant
    | Refused
    | Failed
    | Cancelled
    | Withdrawn
    | Leaving
    | Taken
    | Probe
    | Probed
    | Holds
    | Reserve
    | Used
    | Yielded
    | Missing
)


class Batch(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One frame: its number in the session, from 1, and what the sender has received from the other end.

    `basis`: from a planner, the last beat that this forwarder has echoed. `acked`: from a planner, the last
    ask that it has received. Both are zero from a forwarder. `seen`: the highest batch number up to which
    the sender has received every batch. Number 0 is outside the sequence and used for path probes.
    """

    number: Number
    basis: Number
    acked: Number
    messages: list[AnyMessage]
    seen: Number = 0


encoder = msgspec.msgpack.Encoder()
decoder: msgspec.msgpack.Decoder[Batch] = msgspec.msgpack.Decoder(Batch)


class BadFrame(Exception):
    """A frame that is malformed, out of sequence or too large."""


def read_batch(frame: bytes) -> Batch:
    """Decodes a batch; raises BadFrame with the reason if the frame is not one."""
    try:
        return decoder.decode(frame)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise BadFrame(f"not a batch: {error}") from error
