"""A gateway's fallback share: the part of each quota that it may use without asking anybody. No I/O.

Core members grant it (`directory`): one part in as many as the *width* that they tell. A gateway uses it for
tenants of which it has no slice, and for all tenants while it can't reach the members. It holds it under a
lease: once it has not heard a majority of the members for `QUOTA_LEASE_S` the share has lapsed, so that the
members may divide it among the others. Lapsed shares, and those of a gateway that has just started, have to
be granted anew.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from embersill.council.terms import majority
from embersill.edge.peers.peer_set import PeerSet
from embersill.edge.records import Effects, Message, Roster

QUOTA_LEASE_S = 60.0  # after the last message from a majority of the members
CONFIRM_DELAY_S = 0.5  # after a member has told a width: several may follow


@dataclass(frozen=True, slots=True)
class Told:
    """What a member has told this gateway."""

    width: int
    granted: bool


class QuotaShare:
    """What one gateway may use of each quota."""

    def __init__(self, me: str, peers: PeerSet, effects: Effects, now: float) -> None:
        self.me, self.peers, self.effects = me, peers, effects
        self.told: dict[str, Told] = {}  # by member
        self.confirm_at: dict[str, float] = {}  # by member: when its width is to be confirmed
        self.viewed, self.now = 0, now  # the width as last reported by `on_view`
        self.on_view: Callable[[str], None] = lambda text: None

    @property
    def count(self) -> int:
        """By how many what all gateways share is divided: the most that a member has told; at least 1."""
        return max((told.width for told in self.told.values()), default=1)

    @property
    def width(self) -> int:
        """As `count` while this gateway has a share; 0 if it has none."""
        return self.count if any(told.granted for told in self.told.values()) else 0

    def heard(self, peer: str, message: Message) -> None:
        """Handles a member's width. Earlier versions grant each share at once, and don't say so."""
        roster = self.peers.roster
        if roster is not None and peer in roster.members:
            self.note(peer, max(int(message["count"]), 1), bool(message.get("share", True)))

    def note(self, member: str, width: int, granted: bool) -> None:
        """Notes what a member says. A width that it has not granted never makes the share larger."""
        before = self.told.get(member)
        if not granted and before is not None:
            width, granted = max(width, before.width), before.granted
        self.told[member] = Told(width, granted)
        self.confirm_at.setdefault(member, self.now + CONFIRM_DELAY_S)

    def change_members(self, roster: Roster) -> None:
        """Forgets what gateways have told that are members no more."""
        self.told = {name: told for name, told in self.told.items() if name in roster.members}

    def lease_held(self, now: float) -> bool:
        """True if a majority of the members was heard not longer ago than the lease lasts."""
        if not self.peers.lacks_majority:
            return self.peers.roster is not None
        members = self.peers.roster.members if self.peers.roster is not None else {}
        heard = sum(now - self.last_heard(name, now) <= QUOTA_LEASE_S for name in members)
        return bool(members) and heard >= majority(len(members))

    def last_heard(self, name: str, now: float) -> float:
        """When this process last heard a member; minus infinity if it has not."""
        if name == self.me:
            return now
        never = float("-inf")
        return self.peers.heard_at.get(name, self.peers.unlinked_since.get(name, never))

    def tick(self, now: float) -> None:
        """Gives the share up when its lease has ended; confirms widths."""
        self.now = max(self.now, now)
        if self.width and not self.lease_held(now):
            self.told = {name: Told(told.width, False) for name, told in self.told.items()}
        if self.width != self.viewed:
            self.viewed = self.width
            self.on_view(f"quota share={f'1/{self.width}' if self.width else 'none'}")
        for member, at in list(self.confirm_at.items()):
            if now >= at:
                del self.confirm_at[member]
                self.confirm(member)

    def confirm(self, member: str) -> None:
        """Tells a member that its width arrived, so that it reserves no more than that for this gateway."""
        if member != self.me and member in self.told:
            message = {"kind": "counted", "width": self.told[member].width}
            self.effects.mail.append((member, message))
