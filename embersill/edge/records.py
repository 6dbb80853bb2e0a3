"""Records of the control plane: epochs, the data that a member stores, pending effects. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from embersill.council.register import Snapshot
from embersill.edge.configuration.document import State

Message = dict[str, Any]


class Seat(msgspec.Struct, frozen=True):
    """One member: its address, and the nonce of its disk at the time when the epoch was agreed on."""

    ip: str
    store: str


class Roster(msgspec.Struct, frozen=True):
    """The voting members of an epoch."""

    epoch: int
    members: dict[str, Seat]


class Value(msgspec.Struct, frozen=True):
    """The register's value: the configuration's state and, once the epoch is sealed, the next epoch."""

    state: State
    next: Roster | None = None


class EpochStart(msgspec.Struct, frozen=True):
    """Stored on disk: the current epoch of this member, and the state with which that epoch began."""

    roster: Roster
    base: State


class RegisterSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Stored on disk: the full contents of this member's register in one epoch."""

    epoch: int
    whole: Snapshot


class VoteBallot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A ballot in the election of the first epoch; unique to one attempt."""

    round: int = 0
    proposer: str = ""  # IP address
    life: str = ""  # identifies one run of the proposer's process


class Vote(msgspec.Struct, frozen=True):
    """Stored on disk: what a seed has promised and accepted in the election of the first epoch."""

    seeds: tuple[str, ...]  # IP addresses, as configured at the very first start
    promised: VoteBallot = VoteBallot()
    accepted: VoteBallot = VoteBallot()
    roster: Roster | None = None  # the roster accepted under the `accepted` ballot


class EntrySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Stored on disk: parts of each quota, for one gateway (see `GatewayDirectory`)."""

    reserved: float  # set aside while it can't be heard
    grantable: float  # may be granted to it without asking the other members
    claim: float  # was granted to it, or may be


class DirectorySnapshot(msgspec.Struct, frozen=True):
    """Stored on disk: the gateways that may use a share of each quota, as known by a member of this epoch."""

    epoch: int
    complete: bool  # no gateway that has a share was missing
    entries: dict[str, EntrySnapshot]


class Stored(msgspec.Struct, frozen=True):
    """The contents of the disk at startup."""

    store: str  # the disk's nonce
    begun: EpochStart | None = None
    remembered: RegisterSnapshot | None = None
    backends: bytes = b""  # the registry's last saved list, encoded
    gateways: int = 0  # how many gateways the system had, as kept by versions without a directory
    state: State | None = None  # the last state in force here that was chosen by a majority
    vote: Vote | None = None  # a seed's vote in the election of the first epoch
    directory: DirectorySnapshot | None = None  # the gateways that may use a share of each quota

    @property
    def open_vote(self) -> Vote | None:
        """A seed's vote while no epoch has begun here; None for other gateways and after the first epoch."""
        return self.vote if self.begun is None else None

    @property
    def blank(self) -> bool:
        """True if nothing but the disk's nonce has ever been written."""
        return msgspec.structs.replace(self, store="") == Stored("")


@dataclass(slots=True)
class Save:
    """A value to write to disk. Saves are written in the order in which they were requested.

    `then` is called with True once the value is on disk, or with False if the write failed. `also` holds
    further values by name, written atomically in the same transaction.
    """

    name: str
    data: bytes
    then: Callable[[bool], None]
    also: dict[str, bytes] = field(default_factory=dict)


@dataclass(slots=True)
class Effects:
    """Pending side effects: messages to peers, and disk writes."""

    mail: list[tuple[str, Message]] = field(default_factory=list)
    saves: list[Save] = field(default_factory=list)

    def take(self) -> tuple[list[tuple[str, Message]], list[Save]]:
        """Returns the pending messages and saves, and clears both lists."""
        mail, saves = list(self.mail), list(self.saves)
        self.mail.clear()
        self.saves.clear()
        return mail, saves
