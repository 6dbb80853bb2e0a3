"""The table behind a member's directory of gateways: what is reserved and claimed for each. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from embersill.edge.peers.peer_set import UNLINKED_SILENT_AFTER_S
from embersill.edge.peers.quota_share import QUOTA_LEASE_S
from embersill.edge.records import EntrySnapshot

MAX_ENTRIES = 20000
EXPIRE_AFTER_S = QUOTA_LEASE_S + 5.0  # without a message from a gateway; longer than its lease lasts
MIN_LINKED_SHARE = 0.01  # of each quota, divided among the linked gateways even if silent ones hold it all
UNNAMED_PREFIX = "?"  # of gateways that an earlier version only counted
EPSILON = 1e-9  # of shares that are compared


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """What a member has on its disk about one gateway, as it tells the others."""

    reserved: float
    claim: float


@dataclass(slots=True)
class Entry:
    """One gateway. The shares are parts of each quota."""

    reserved: float = 0.0
    grantable: float = 0.0  # what may be granted without asking the other members
    claim: float = 0.0  # at least `grantable`, and more while the others are being asked
    claimed_in: int = 0  # the number of the message that made the claim; 0 if it was not sent yet
    unlinked_at: float | None = None  # time of its last message; None while it is linked here
    silent_from: float = 0.0  # if it is not linked: from when on it counts as silent

    def raise_claim(self, share: float) -> None:
        """Claims at least this share, which is also reserved here; the other members don't know of it yet."""
        if share > self.claim:
            self.claim, self.claimed_in = share, 0
            self.reserved = max(self.reserved, share)


@dataclass(slots=True)
class OtherMember:
    """What another member has said."""

    keeps_directory: bool = True  # False: it runs an earlier version
    reserved: dict[str, float] = field(default_factory=dict)
    seen: dict[str, int] = field(default_factory=dict)  # by gateway: what it had seen when it said so
    claims: dict[str, float] | None = None  # None: not known
    epoch: int = 0  # that it was in when it sent its last message
    received: int = 0  # the number of that message, if it came over this link
    asks: set[str] = field(default_factory=set)  # gateways about which it waits for an answer

    def note(self, name: str, statement: Statement, seen: int) -> None:
        """Notes a statement; one without any share needs no place. Raises ValueError if it is impossible."""
        if not (0.0 <= statement.reserved <= 1.0 and 0.0 <= statement.claim <= 1.0):
            raise ValueError(f"{name}: shares of {statement.reserved} and {statement.claim}")
        claims = self.claims if self.claims is not None else {}
        self.reserved[name], self.seen[name], claims[name] = statement.reserved, seen, statement.claim
        if statement.reserved <= 0.0 and statement.claim <= 0.0:
            for table in (self.reserved, self.seen, claims):
                table.pop(name, None)

    def reserves(self, name: str, share: float, claimed_in: int) -> bool:
        """True if it has said, knowing of the claim, that it reserves this share for a gateway."""
        return 0 < claimed_in <= self.seen.get(name, 0) and self.reserved.get(name, 0.0) >= share


class ShareTable:
    """The gateways that a member knows, and what the other members have said about them."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.entries: dict[str, Entry] = {}
        self.away: dict[str, Entry] = {}  # the entries of gateways that are not linked here
        self.on_disk: dict[str, Statement] = {}
        self.others: dict[str, OtherMember] = {}  # the other members
        self.changed = False  # something happened that may change widths or grants
        self.dirty = False  # entries differ from those on disk
        self.urgent = False  # somebody waits for the next save

    def clear(self) -> None:
        """Forgets everything."""
        for table in (self.entries, self.away, self.on_disk, self.others):
            table.clear()

    def restore(self, saved: Mapping[str, EntrySnapshot], now: float) -> None:
        """Restores entries from the disk: these gateways count as silent until they link."""
        for name, entry in saved.items():
            self.entries[name] = Entry(entry.reserved, entry.grantable, entry.claim, 0, now, now)
        self.away = {name: entry for name, entry in self.entries.items() if name != self.me}
        self.on_disk = {name: Statement(entry.reserved, entry.claim) for name, entry in saved.items()}

    def snapshot(self) -> dict[str, EntrySnapshot]:
        """The entries to be saved."""
        return {
            name: EntrySnapshot(entry.reserved, entry.grantable, entry.claim)
            for name, entry in self.entries.items()
            if entry.reserved > 0.0
        }

    def keeping(self) -> list[OtherMember]:
        """The other members that keep a directory."""
        return [other for other in self.others.values() if other.keeps_directory]

    def entry(self, name: str, now: float) -> Entry:
        """A gateway's entry; a new one is not linked, and has no share yet."""
        found = self.entries.get(name)
        if found is None:
            found = Entry(unlinked_at=now, silent_from=now + UNLINKED_SILENT_AFTER_S)
            if len(self.entries) < MAX_ENTRIES:
                self.entries[name] = found
                if name != self.me:
                    self.away[name] = found
                    self.replace_unnamed()
        return found

    def replace_unnamed(self) -> None:
        """Removes one of the gateways that an earlier version only counted: another one has its name now."""
        unnamed = next((name for name in self.away if name.startswith(UNNAMED_PREFIX)), None)
        if unnamed is not None:
            self.remove(unnamed)

    def link(self, name: str, now: float) -> None:
        """Marks a gateway as linked."""
        self.entry(name, now).unlinked_at = None
        self.away.pop(name, None)
        self.changed = True

    def unlink(self, name: str, last_heard: float) -> None:
        """Marks a gateway as not linked any more; `last_heard`: time of its last message."""
        entry = self.entries.get(name)
        if entry is None:
            return
        entry.unlinked_at, entry.silent_from = last_heard, last_heard + UNLINKED_SILENT_AFTER_S
        self.away[name] = entry
        self.changed = True
        self.lower(name)

    def remove(self, name: str) -> None:
        """Removes an entry."""
        self.entries.pop(name, None)
        self.away.pop(name, None)
        self.limit_on_disk(name, 0.0)
        self.dirty = self.changed = True

    def silent_shares(self, unheard: Iterable[str], now: float) -> dict[str, float]:
        """Shares that gateways may be using while cut off; `unheard`: linked ones that have fallen silent."""
        found = {name: entry.reserved for name, entry in self.away.items() if now >= entry.silent_from}
        for name in unheard:
            entry = self.entries.get(name)
            if entry is not None:
                found[name] = entry.reserved
        return found

    def wanted_width(self) -> int:
        """By how many an even share is divided, so that all shares together stay within the whole."""
        away_share = sum(entry.reserved for entry in self.away.values())
        linked = len(self.entries) - len(self.away)
        even = linked / max(1.0 - away_share, MIN_LINKED_SHARE)
        return max(math.ceil(even - EPSILON), len(self.entries), 1)

    def reserve(self, name: str, share: float, full: bool, now: float) -> None:
        """Reserves at least this share for a gateway."""
        if share <= 0.0 or name.startswith(UNNAMED_PREFIX):
            return
        entry = self.entry(name, now)
        if full and name in self.away and share > entry.reserved:
            entry.silent_from = min(entry.silent_from, now)  # it may have been cut off for long
        if share > entry.reserved:
            entry.reserved = share
            self.dirty = self.urgent = self.changed = True

    def expire(self, now: float) -> None:
        """Ends the claims for gateways that were not heard for longer than their lease lasts."""
        for name, entry in list(self.away.items()):
            if entry.unlinked_at is None or now - entry.unlinked_at < EXPIRE_AFTER_S:
                continue
            if name.startswith(UNNAMED_PREFIX):
                self.remove(name)
            elif entry.claim > 0.0:
                entry.claim = entry.grantable = 0.0
                self.dirty = True
                self.lower(name)

    def lower(self, name: str) -> None:
        """Lowers what is reserved for a gateway to the largest claim; removes an entry without any share."""
        entry = self.entries.get(name)
        if entry is None or name.startswith(UNNAMED_PREFIX):
            return
        others = self.keeping()
        if all(other.claims is not None for other in others):
            claims = (other.claims.get(name, 0.0) for other in others if other.claims is not None)
            largest = max((entry.claim, *claims))
            if entry.reserved > largest + EPSILON:
                entry.reserved = largest
                self.limit_on_disk(name, largest)
                self.dirty = self.changed = True
        if entry.reserved <= 0.0 and name in self.away:
            self.remove(name)

    def limit_on_disk(self, name: str, reserved: float) -> None:
        """Takes into account that the next save, which may be under way, stores no more than this share."""
        statement = self.on_disk.get(name)
        if statement is not None and statement.reserved > reserved:
            self.on_disk[name] = Statement(reserved, statement.claim)

    def inherit_claims(self, removed: Iterable[str]) -> None:
        """Makes the claims of former members this one's: the shares that they granted may be in use."""
        for member in removed:
            claims = self.others[member].claims
            for name, entry in self.entries.items():
                entry.raise_claim(
                    min(entry.reserved if claims is None else claims.get(name, 0.0), entry.reserved)
                )
