"""Tells a replaced member when it may stop: once a majority of its successors has the state. No I/O."""

from __future__ import annotations

from embersill.council.terms import majority
from embersill.edge.records import Effects, Roster


class Handover:
    """Tracks which gateways have stored an epoch on disk, and which ones are to be notified of that."""

    def __init__(self, me: str, effects: Effects) -> None:
        self.me, self.effects = me, effects
        self.roster: Roster | None = None
        self.previous_members: tuple[str, ...] = ()  # the epoch before's, which wait to be notified
        self.saved_epochs: dict[str, int] = {}  # the latest epoch that each has reported to be on its disk

    def begin(self, before: Roster | None, roster: Roster) -> None:
        """Starts tracking a later epoch."""
        self.previous_members = tuple(before.members) if before is not None else ()
        self.roster = roster

    def saved(self) -> None:
        """Notifies the previous members that the epoch is on this member's disk."""
        assert self.roster is not None
        message = {"kind": "seated", "epoch": self.roster.epoch}
        self.effects.mail.extend((name, message) for name in self.previous_members if name != self.me)

    def told(self, peer: str, epoch: int) -> None:
        """Records that an epoch is on a peer's disk."""
        self.saved_epochs[peer] = max(epoch, self.saved_epochs.get(peer, 0))

    @property
    def complete(self) -> bool:
        """False while this gateway is replaced and less than a majority of its successors has the state."""
        if self.roster is None or self.me in self.roster.members or self.me not in self.previous_members:
            return True
        saved = sum(self.saved_epochs.get(name, 0) >= self.roster.epoch for name in self.roster.members)
        return saved >= majority(len(self.roster.members))
