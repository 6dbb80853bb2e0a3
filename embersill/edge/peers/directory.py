"""The directory of gateways that may use a share of each quota without asking, kept by every core member.

A gateway that can't reach the member which sums a tenant's demand goes on serving by its *fallback share*, an
even part of the quota (`quota_share`). What the members may assign is the quota less the fallback shares of
all gateways that they don't hear. So they have to know of each such gateway, also of one that was cut off
before a member was restarted or replaced. For each gateway a member therefore keeps on its disk

- `reserved`: the share that it sets aside while it does not hear the gateway;
- `claim`: the largest share that it has granted, or may still grant; the others reserve that much at least.

A member grants a share only once all members have said, in answer to its claim, that they reserve it. It
lowers its claim once the gateway confirms a smaller share, or was not heard for longer than a lease lasts; it
lowers what it reserves to the largest claim of all members. A member that is new or has lost its disk may
lack gateways: it assigns and grants nothing until it has received the directory of a member that knows all.
Nothing is sent while nothing changes. See docs/design/quota-safety.md. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from embersill.edge.peers.directory_exchange import DirectoryExchange, DirectoryMessage
from embersill.edge.peers.peer_set import PeerSet
from embersill.edge.peers.share_table import (
    EPSILON,
    EXPIRE_AFTER_S,
    UNNAMED_PREFIX,
    Entry,
    OtherMember,
    ShareTable,
)
from embersill.edge.records import DirectorySnapshot, Effects, EntrySnapshot, Message, Roster

DIRECTORY_MESSAGE_KINDS = frozenset(("gateways", "counted"))
SETTLE_S = 0.3  # without a change of the width, after which larger shares are granted: many may be joining
EXPIRY_INTERVAL_S = 1.0  # between searches for expired entries


class GatewayDirectory:
    """One member's directory; empty at gateways that are no members."""

    def __init__(self, me: str, peers: PeerSet, effects: Effects) -> None:
        self.me, self.peers, self.effects = me, peers, effects
        self.table = ShareTable(me)
        self.exchange = DirectoryExchange(self.table, peers, effects)
        self.exchange.on_published = self.published
        self.roster: Roster | None = None
        self.active = False  # this gateway is a member
        self.incomplete_since = 0.0
        self.told: dict[str, tuple[int, bool]] = {}  # by linked gateway: the width it was sent, and a grant
        self.width, self.width_changed_at, self.now = 0, 0.0, 0.0
        self.settling = False  # the width has changed a moment ago
        self.expiry_at = 0.0
        self.on_own_width: Callable[[int, bool], None] = lambda width, granted: None

    @property
    def complete(self) -> bool:
        """True if no gateway with a share is missing."""
        return self.exchange.complete

    @complete.setter
    def complete(self, complete: bool) -> None:
        self.exchange.complete = complete

    # membership

    def restore(
        self,
        snapshot: DirectorySnapshot | None,
        legacy_count: int,
        roster: Roster,
        same_disk: bool,
        now: float,
    ) -> None:
        """Restores a member's directory after a restart; all its gateways count as silent until they link.

        `legacy_count`: how many gateways there were, as saved by a version that did not know their names.
        `same_disk`: the roster names the disk that this gateway has.
        """
        saved = dict(snapshot.entries) if snapshot is not None else {}
        if snapshot is None and legacy_count > 1:
            share = 1.0 / legacy_count
            unnamed = (f"{UNNAMED_PREFIX}{number}" for number in range(1, legacy_count))
            saved = {name: EntrySnapshot(share, share, share) for name in (self.me, *unnamed)}
        self.table.restore(saved, now)
        if snapshot is not None:
            # a member of the epoch before this one knows all gateways that had a share in that epoch
            complete = snapshot.complete and snapshot.epoch >= roster.epoch - 1
        else:
            complete = legacy_count > 0 or self.is_first(roster, same_disk)
        self.join(roster, complete, now)

    @staticmethod
    def is_first(roster: Roster, same_disk: bool) -> bool:
        """True in the first epoch, before which no gateway had a share, if no record of it was lost."""
        return roster.epoch == 1 and same_disk

    def change_members(self, before: Roster | None, roster: Roster, same_disk: bool, now: float) -> None:
        """Follows a new epoch: only a member of the epoch before is sure to know all gateways.

        `same_disk`: the roster names the disk that this gateway has.
        """
        if self.me not in roster.members:
            self.deactivate(roster)
            return
        stays = before is not None and before.epoch == roster.epoch - 1 and self.me in before.members
        self.join(roster, (stays and self.complete) or self.is_first(roster, same_disk), now)

    def join(self, roster: Roster, complete: bool, now: float) -> None:
        """Becomes or stays a member in this epoch."""
        if not complete and (self.complete or not self.active):
            self.incomplete_since = now
        self.roster, self.active, self.complete = roster, True, complete
        self.exchange.epoch = roster.epoch
        self.table.inherit_claims([name for name in self.table.others if name not in roster.members])
        self.table.others = {
            name: self.table.others.get(name, OtherMember()) for name in roster.members if name != self.me
        }
        for name in list(self.table.entries):
            self.table.lower(name)
        self.table.entry(self.me, now).unlinked_at = None
        for name in self.peers.linked:
            self.link(name, now)
        self.table.dirty = self.table.changed = True
        for name in self.table.others:
            self.exchange.send_all(name)
            self.exchange.answer(name)
        self.tick(now)

    def deactivate(self, roster: Roster) -> None:
        """Forgets everything: this gateway is no member (any more)."""
        self.roster, self.active, self.complete, self.width = roster, False, False, 0
        self.exchange.epoch = 0
        self.table.clear()
        self.told.clear()

    # gateways that come and go

    def linked(self, name: str, now: float) -> None:
        """Handles a new link."""
        if not self.active:
            return
        self.link(name, now)
        if name in self.table.others:
            self.table.others[name].received = 0
            self.exchange.send_all(name)
        if self.complete:
            self.width = self.width or self.table.wanted_width()
            self.grant(name)

    def link(self, name: str, now: float) -> None:
        """Marks a gateway as linked; what it was told before may not have arrived."""
        self.told.pop(name, None)
        self.table.link(name, now)
        if name in self.table.others:
            self.table.others[name].keeps_directory = self.peers.linked[name].keeps_directory

    def unlinked(self, name: str, last_heard: float) -> None:
        """Handles the loss of a link; `last_heard`: time of the last message over it."""
        self.told.pop(name, None)
        self.table.unlink(name, last_heard)

    def silent_shares(self, unheard: Iterable[str], now: float) -> dict[str, float]:
        """Shares that gateways may be using while cut off; `unheard`: linked ones that have fallen silent."""
        return self.table.silent_shares(unheard, now)

    # widths and grants

    def tick(self, now: float) -> None:
        """Does what is due: grants, the expiry of claims, saves."""
        self.now = max(self.now, now)
        if not self.active:
            return
        if not self.complete:
            self.complete_alone(now)
        if self.complete and (self.table.changed or self.settling):
            self.update_grants(now)
        if now >= self.expiry_at:
            self.expiry_at = now + EXPIRY_INTERVAL_S
            self.table.expire(now)
        self.exchange.tick(now)

    def published(self) -> None:
        """Follows a save: grants may have waited for it."""
        if self.active and self.complete:
            self.update_grants(self.now)

    def complete_alone(self, now: float) -> None:
        """Counts as complete if no member has a complete directory and all earlier leases have ended."""
        if (
            len(self.peers.core) == len(self.table.others) + 1
            and now - self.incomplete_since > EXPIRE_AFTER_S
        ):
            self.become_complete()

    def become_complete(self) -> None:
        """Counts as complete. What it has granted before its disk was lost may be all that is reserved."""
        for entry in self.table.entries.values():
            entry.raise_claim(entry.reserved)
        self.complete = self.table.dirty = self.table.changed = True
        for name in self.table.others:
            self.exchange.send_all(name)

    def update_grants(self, now: float) -> None:
        """Follows a changed number of gateways, and tells each linked one its width."""
        width = self.table.wanted_width()
        if width != self.width:
            # a new member has seen gateways come and go before it counted them
            self.width_changed_at = now if self.width else self.peers.linked_at
            self.width = width
        self.table.changed = False
        self.settling = now - self.width_changed_at < SETTLE_S
        for name in (self.me, *self.peers.linked):
            if not self.settling:
                self.claim_share(name)
            self.grant(name)

    def claim_share(self, name: str) -> None:
        """Claims the present even share for a gateway that can be granted less."""
        entry, share = self.table.entries.get(name), 1.0 / self.width
        if entry is None or entry.claim >= share - EPSILON:
            return
        entry.raise_claim(share)
        self.table.dirty = self.table.urgent = True

    def grant(self, name: str) -> None:
        """Tells a linked gateway, or this one, its width: at once if it grows, else once all members know."""
        entry = self.table.entries.get(name)
        if entry is None:
            return
        share = 1.0 / self.width - EPSILON
        if entry.grantable < share <= entry.claim and self.all_reserve(name, entry, share):
            entry.grantable = 1.0 / self.width
            self.table.dirty = True
        told = self.told.get(name)
        if entry.grantable >= share and not self.peers.lacks_majority:
            wanted = self.width, True
        elif told is None:
            wanted = self.width, False
        else:
            wanted = max(self.width, told[0]), told[1]
        if wanted != told:
            self.told[name] = wanted
            self.tell(name, *wanted)

    def tell(self, name: str, width: int, granted: bool) -> None:
        """Sends a gateway its width, or reports this gateway's own."""
        if name == self.me:
            self.on_own_width(width, granted)
            self.counted(name, width)
        else:
            self.effects.mail.append((name, {"kind": "present", "count": width, "share": granted}))

    def all_reserve(self, name: str, entry: Entry, share: float) -> bool:
        """True if all members have said, knowing of the claim, that they reserve the share for a gateway."""
        own = self.table.on_disk.get(name)
        if own is None or own.reserved < share or own.claim < share:
            return False
        return all(other.reserves(name, share, entry.claimed_in) for other in self.table.keeping())

    def counted(self, name: str, width: int) -> None:
        """Lowers the claim for a gateway that confirms the width it was told last."""
        entry, told = self.table.entries.get(name), self.told.get(name)
        if entry is None or told is None or told[0] != width:
            return
        share = max(1.0 / width, 1.0 / self.width)
        if entry.claim > share + EPSILON:
            entry.claim, entry.grantable = share, min(entry.grantable, share)
            self.table.dirty = True
            self.table.lower(name)

    # between members

    def heard(self, peer: str, message: Message, now: float) -> None:
        """Handles a peer's message; raises KeyError, TypeError or ValueError if it is malformed."""
        if not self.active:
            return
        if message["kind"] == "counted":
            self.counted(peer, int(message["width"]))
        elif peer in self.table.others:
            self.merge(peer, msgspec.convert(message["body"], DirectoryMessage), now)

    def merge(self, peer: str, message: DirectoryMessage, now: float) -> None:
        """Takes over what another member has on disk; that one may complete this directory."""
        assert self.roster is not None
        other = self.table.others[peer]
        other.received, other.epoch = message.number, message.epoch
        if message.full:
            other.reserved.clear()
        if message.full and message.complete:
            other.claims = {}
        same_epoch = message.epoch == self.roster.epoch
        completing = message.full and message.complete and not self.complete and same_epoch
        # in another epoch the sender does not speak for the same members
        seen = message.seen if same_epoch else 0
        for name, statement in message.statements.items():
            other.note(name, statement, seen)
            self.table.reserve(name, statement.reserved if completing else statement.claim, message.full, now)
        other.asks.update(message.asks)
        self.exchange.answer(peer)
        if completing:
            self.become_complete()
        elif message.full and message.wants_all and self.complete:
            self.exchange.send_all(peer)
        for name in list(self.table.entries) if message.full else message.statements:
            self.table.lower(name)
        if self.complete:
            self.update_grants(now)
