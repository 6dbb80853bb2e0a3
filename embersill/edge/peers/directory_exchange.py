"""What core members state to each other about the gateways that have a share, and its saves. No I/O.

What a member states is on its disk. A claim waits for the answers of the other members, each of which is
given once what it claims is reserved on that member's disk.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from embersill.edge.peers.peer_set import PeerSet
from embersill.edge.peers.share_table import EPSILON, UNNAMED_PREFIX, ShareTable, Statement
from embersill.edge.records import DirectorySnapshot, Effects, Save

DIRECTORY_KEY = "directory"  # key of the value in the store
SAVE_INTERVAL_S = 0.3  # between saves that nobody waits for, and before a failed one is repeated


class DirectoryMessage(msgspec.Struct, frozen=True):
    """A member's statements to another one; `full`: about all gateways that it knows."""

    epoch: int
    complete: bool  # the sender knows all gateways that have a share
    full: bool
    number: int  # of this message; rises during one run of the sender
    seen: int  # the number of the last message from the receiver, over this link
    wants_all: bool  # the sender lacks what the receiver has on its disk
    statements: dict[str, Statement]
    asks: tuple[str, ...] = ()  # gateways about which an answer is wanted


class DirectoryExchange:
    """One member's statements: saves them, sends them, and answers those of others."""

    def __init__(self, table: ShareTable, peers: PeerSet, effects: Effects) -> None:
        self.table, self.peers, self.effects = table, peers, effects
        self.epoch, self.complete = 0, False
        self.number = 0  # of the last message
        self.saving = False
        self.save_at = 0.0
        self.on_published: Callable[[], None] = lambda: None

    def tick(self, now: float) -> None:
        """Saves the table if that is due."""
        table = self.table
        if table.dirty and not self.saving and (table.urgent or now >= self.save_at):
            self.save(now)

    def save(self, now: float) -> None:
        """Saves the table; the other members are told once it is on disk."""
        self.table.dirty = self.table.urgent = False
        self.saving, self.save_at = True, now + SAVE_INTERVAL_S
        epoch, entries = self.epoch, self.table.snapshot()

        def saved(good: bool) -> None:
            self.saving = False
            if not good:
                self.table.dirty = True
            elif self.epoch:
                self.publish({name: Statement(one.reserved, one.claim) for name, one in entries.items()})

        snapshot = DirectorySnapshot(epoch, self.complete, entries)
        self.effects.saves.append(Save(DIRECTORY_KEY, msgspec.msgpack.encode(snapshot), saved))

    def publish(self, saved: dict[str, Statement]) -> None:
        """Tells the other members which claims have come to be on disk here, and answers them."""
        news = {
            name: statement
            for name, statement in saved.items()
            if name not in self.table.on_disk or self.table.on_disk[name].claim != statement.claim
        }
        # claims that were dropped with their entries
        news |= {name: Statement(0.0, 0.0) for name in self.table.on_disk if name not in saved}
        self.table.on_disk = saved
        for name in saved:  # a share may have been lowered while the save was under way
            entry = self.table.entries.get(name)
            self.table.limit_on_disk(name, entry.reserved if entry is not None else 0.0)
        if news:
            for member in self.table.others:
                self.send(member, news)
        for member in self.table.others:
            self.answer(member)
        self.on_published()

    def send_all(self, member: str) -> None:
        """Sends a member all that is on disk here."""
        self.send(member, self.table.on_disk, full=True)

    def send(self, member: str, statements: dict[str, Statement], full: bool = False) -> None:
        """Sends a member statements about what is on disk here; nothing if it is not linked."""
        if member not in self.peers.linked:
            return
        self.number += 1
        statements = {
            name: statement for name, statement in statements.items() if not name.startswith(UNNAMED_PREFIX)
        }
        asks = tuple(name for name in statements if self.asks_for(name, statements[name]))
        message = DirectoryMessage(
            self.epoch,
            self.complete,
            full,
            self.number,
            self.table.others[member].received,
            not self.complete or self.table.others[member].claims is None,
            statements,
            asks,
        )
        body = msgspec.to_builtins(message)
        self.effects.mail.append((member, {"kind": "gateways", "body": body}))

    def asks_for(self, name: str, statement: Statement) -> bool:
        """True if a claim that is being sent waits for the other members' answers; notes that it was sent."""
        entry = self.table.entries.get(name)
        if entry is None or entry.claim != statement.claim or entry.grantable >= entry.claim:
            return False
        entry.claimed_in = entry.claimed_in or self.number
        return True

    def answer(self, peer: str) -> None:
        """Answers another member about the gateways for which its claim is reserved here, on disk.

        One that is in another epoch gets its answer once both are in the same: the members differ.
        """
        other = self.table.others[peer]
        if other.epoch != self.epoch:
            return
        ready = [
            name
            for name in other.asks
            if name in self.table.on_disk
            and self.table.on_disk[name].reserved >= (other.claims or {}).get(name, 0.0) - EPSILON
        ]
        if ready:
            other.asks.difference_update(ready)
            self.send(peer, {name: self.table.on_disk[name] for name in ready})
