"""Records of the control plane: epochs, what a member keeps on disk, effects to carry out. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from embersill.council.register import Whole
from embersill.edge.configuration.document import State

Message = dict[str, Any]


class Seat(msgspec.Struct, frozen=True):
    """One member: where it is, and the nonce of the disk that it had as the epoch was agreed on."""

    ip: str
    store: str


class Roster(msgspec.Struct, frozen=True):
    """Who agrees, from an epoch on."""

    epoch: int
    members: dict[str, Seat]


class Value(msgspec.Struct, frozen=True):
    """What the register holds: the configuration's state, and the next epoch once it is sealed."""

    state: State
    next: Roster | None = None


class Begun(msgspec.Struct, frozen=True):
    """On disk: the epoch that this member is in, and the state that it began with."""

    roster: Roster
    base: State


class Remembered(msgspec.Struct, frozen=True, array_like=True):
    """On disk: all that this member's register holds, of one epoch."""

    epoch: int
    whole: Whole


class VoteBallot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A ballot of the election of the first epoch; no two attempts share one."""

    round: int = 0
    proposer: str = ""  # IP number
    life: str = ""  # of the proposer's process


class Vote(msgspec.Struct, frozen=True):
    """On disk: what a seed has answered for in the election of the first epoch."""

    seeds: tuple[str, ...]  # IP numbers, as told at the very first start
    promised: VoteBallot = VoteBallot()
    accepted: VoteBallot = VoteBallot()
    roster: Roster | None = None  # accepted under that ballot


class Stored(msgspec.Struct, frozen=True):
    """What a disk held at the start."""

    store: str  # the disk's nonce
    begun: Begun | None = None
    remembered: Remembered | None = None
    backends: bytes = b""  # the registry's last list, as it saved it
    gateways: int = 0  # how many there were
    state: State | None = None  # what was last in force here, once it was chosen
    vote: Vote | None = None  # a seed's, of the first epoch

    @property
    def open_vote(self) -> Vote | None:
        """A seed's vote as long as no epoch has begun here; None for all others."""
        return self.vote if self.begun is None else None

    @property
    def blank(self) -> bool:
        """True where nothing but a name was ever written."""
        return msgspec.structs.replace(self, store="") == Stored("")


@dataclass(slots=True)
class Save:
    """A value to be written to disk, in the order in which saves were asked for.

    `then` is called with True once it is on disk, or with False if the disk refused it. `also` holds further
    values by name; they are written in the same transaction, all of them or none.
    """

    name: str
    data: bytes
    then: Callable[[bool], None]
    also: dict[str, bytes] = field(default_factory=dict)


@dataclass(slots=True)
class Effects:
    """What is to be done: messages to peers, and saves."""

    mail: list[tuple[str, Message]] = field(default_factory=list)
    saves: list[Save] = field(default_factory=list)

    def take(self) -> tuple[list[tuple[str, Message]], list[Save]]:
        """Hands over what is to be done by now, and begins anew."""
        mail, saves = list(self.mail), list(self.saves)
        self.mail.clear()
        self.saves.clear()
        return mail, saves
