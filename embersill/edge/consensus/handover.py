"""How a member that was replaced knows when it may go: once its successors have the state. No I/O."""

from __future__ import annotations

from embersill.council.terms import majority
from embersill.edge.records import Effects, Roster


class Handover:
    """Which gateways have told that an epoch is on their disks, and who waits to hear that."""

    def __init__(self, me: str, effects: Effects) -> None:
        self.me, self.effects = me, effects
        self.roster: Roster | None = None
        self.previous: tuple[str, ...] = ()  # members of the epoch before, who wait for the word
        self.seated: dict[str, int] = {}  # the latest epoch that each member has told to be on its disk

    def begin(self, before: Roster | None, roster: Roster) -> None:
        """A later epoch begins here."""
        self.previous = tuple(before.members) if before is not None else ()
        self.roster = roster

    def saved(self) -> None:
        """The epoch is on this member's disk."""
        assert self.roster is not None
        told = {"kind": "seated", "epoch": self.roster.epoch}
        self.effects.mail.extend((name, told) for name in self.previous if name != self.me)

    def told(self, peer: str, epoch: int) -> None:
        """The epoch is on a peer's disk."""
        self.seated[peer] = max(epoch, self.seated.get(peer, 0))

    @property
    def complete(self) -> bool:
        """False while this gateway was replaced and less than a majority of its successors has the state."""
        if self.roster is None or self.me in self.roster.members or self.me not in self.previous:
            return True
        there = sum(self.seated.get(name, 0) >= self.roster.epoch for name in self.roster.members)
        return there >= majority(len(self.roster.members))
