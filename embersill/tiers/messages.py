"""What forwarders and planners say to each other: msgspec structs, packed as MessagePack arrays.

All times are durations in seconds, as of when the message was written: no clock is ever compared with
another machine's. A batch is one frame; `read_batch` refuses what is not in this form.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

VERSION = 2  # of all that stands here; both ends must speak the same
MOST_TEXT = 256  # characters of a name
MOST = 1e9  # of any figure: no second, unit or number on a link comes near it

# what a figure may be: bounds also keep out NaN and infinities, which no comparison that follows would
Figure = Annotated[float, msgspec.Meta(ge=-MOST, le=MOST)]
Units = Annotated[float, msgspec.Meta(ge=0, le=MOST)]  # taken; what is below nought would be given
Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Text = Annotated[str, msgspec.Meta(max_length=MOST_TEXT)]


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True, gc=False):
    """Base of all messages: a tagged array."""


class Beat(Message, frozen=True, tag=1):
    """Planner to forwarder, several times a lease: asks it to lend its share for one more."""

    number: Number
    gathered: bool  # all forwarders are linked, or will not be soon: parts may move here
    reach: Number  # how many forwarders it hears


class Echo(Message, frozen=True, tag=2):
    """Forwarder to planner: all parts that it has lent there are lent for one more lease from that beat."""

    number: Number


class Spent(Message, frozen=True, tag=3):
    """Forwarder to planner, ahead of Lend: what it sent on for customers, as pairs of age and units."""

    customers: list[tuple[Text, Text, list[tuple[Figure, Units]]]]  # customer, plan, spends


class Lend(Message, frozen=True, tag=4):
    """Forwarder to planner: it obeys it for these parts, and lends its share of their customers' ceilings.

    `remembers`: for how long back the Spent messages before it are complete. `free_in`: until when the
    share may still be used by a planner that had it before.
    """

    parts: list[Number]
    remembers: Figure
    free_in: Figure
    term: Number = 0  # names this loan: what the planner says of another one counts for nothing


class Recall(Message, frozen=True, tag=5):
    """Forwarder to planner: it obeys it no longer for these parts. `token` comes back in Returned."""

    parts: list[Number]
    token: Number


class Returned(Message, frozen=True, tag=6):
    """Planner to forwarder: nothing more of these parts is used here."""

    token: Number


class Ask(Message, frozen=True, tag=7):
    """Forwarder to planner: a client's request. `ask` names it on this link and is never used again."""

    ask: Number
    klass: Text
    plan: Text
    customer: Text
    left: Figure  # until the client's end
    units: Units
    repeat: bool


class Open(Message, frozen=True, tag=8):
    """Forwarder to planner: a request that another decided so far; attempts as backend, age, outcome."""

    ask: Number
    klass: Text
    plan: Text
    customer: Text
    left: Figure
    units: Units
    repeat: bool
    age: Figure
    attempts: list[tuple[Text, Figure, Text | None]]


class Ended(Message, frozen=True, tag=9):
    """Forwarder to planner: an attempt came to its end."""

    ask: Number
    attempt: Number
    backend: Text
    outcome: Text
    elapsed: Figure
    over: bool
    units: Units


class Left(Message, frozen=True, tag=10):
    """Forwarder to planner: the request is no longer the planner's: its client left, or it took too long."""

    ask: Number


class Grant(Message, frozen=True, tag=11):
    """Planner to forwarder: start an attempt; the planner numbers a request's attempts from 0."""

    ask: Number
    attempt: Number
    backend: Text
    timeout: Figure


class Refused(Message, frozen=True, tag=12):
    """Planner to forwarder: final answer, trying again is harmless."""

    ask: Number
    retry_after: Figure
    why: Text = ""  # for whoever watches: which limit, and how the part stood (reasons.py)


class Failed(Message, frozen=True, tag=13):
    """Planner to forwarder: final answer, with no promise."""

    ask: Number


class Cancelled(Message, frozen=True, tag=14):
    """Planner to forwarder: give an attempt up."""

    ask: Number
    attempt: Number


class Withdrawn(Message, frozen=True, tag=15):
    """Planner to forwarder: these backends drain or are gone; nothing new goes to them."""

    backends: list[Text]


class Leaving(Message, frozen=True, tag=16):
    """Planner to forwarder: it stops soon; its parts are to be lent elsewhere."""


class Bequeath(Message, frozen=True, tag=17):
    """Forwarder to planner: it stops with nothing open; what it lent may be spent until the bequest's end."""


class Taken(Message, frozen=True, tag=18):
    """Planner to forwarder: units that were granted to another program's question, to be remembered."""

    customer: Text
    plan: Text
    units: Units


class Holds(Message, frozen=True, tag=21):
    """Forwarder to planner, ahead of Lend: what it holds of customers' ceilings in reserve."""

    customers: list[tuple[Text, Units]]


class Reserve(Message, frozen=True, tag=22):
    """Planner to forwarder, in a loan's term: units of a ceiling more to hold, or below nought, to give back.

    They are the forwarder's from now on, whoever it lends its share to, and are no planner's. `portion` is
    its part of what the customer asks for lately.
    """

    customer: Text
    plan: Text
    term: Number
    units: Figure
    portion: Annotated[float, msgspec.Meta(ge=0, le=1)]


class Used(Message, frozen=True, tag=23):
    """Forwarder to planner: it has spent units of its reserve while its share is lent there."""

    customer: Text
    plan: Text
    units: Units


class Yielded(Message, frozen=True, tag=24):
    """Forwarder to planner: units of its reserve that are the planner's again."""

    customer: Text
    units: Units


class Missing(Message, frozen=True, tag=25):
    """Either way, on one path and out of order: nothing has come for long, what was sent may be lost."""


class Probe(Message, frozen=True, tag=19):
    """Either way, on one path and out of order: whether anything comes over it."""

    number: Number


class Probed(Message, frozen=True, tag=20):
    """The answer to a probe, on the path on which it came."""

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
    """One frame: its number in the session, from 1, and what the sender has of the other's.

    `basis`: from a planner, the last beat that it has this forwarder's echo of. `acked`: from a planner,
    the last ask that it has taken. Both nought from a forwarder. `seen`: the last batch of the other's up to
    which the sender has all. Number 0 stands outside the order: probes of a path.
    """

    number: Number
    basis: Number
    acked: Number
    messages: list[AnyMessage]
    seen: Number = 0


encoder = msgspec.msgpack.Encoder()
decoder: msgspec.msgpack.Decoder[Batch] = msgspec.msgpack.Decoder(Batch)


class BadFrame(Exception):
    """A frame that is not in the form, out of its turn, or over the bound."""


def read_batch(frame: bytes) -> Batch:
    """BadFrame says what is wrong with one that is not a batch."""
    try:
        return decoder.decode(frame)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise BadFrame(f"not a batch: {error}") from error
