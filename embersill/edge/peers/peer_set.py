"""Tracks the linked gateways, and whom to dial. No I/O.

Every gateway keeps a link to each core member, and the members watch it: both ends close a link that brings
nothing for a while.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from embersill.edge.records import Effects, Roster

FORGET_AFTER_S = 60.0  # after which an unlinked gateway is no longer known here
LINK_SILENT_AFTER_S = 0.65  # without a message over a link, after which its other end may be cut off
UNLINKED_SILENT_AFTER_S = 1.0  # after an unlinked gateway's last message, after which it may be cut off


class Hello(msgspec.Struct, frozen=True):
    """How a gateway presents itself at the start of a link."""

    name: str
    ip: str
    zone: str
    control: str  # address of its control interface
    core: bool  # it has a disk and may become a member
    store: str  # its disk's nonce
    boot: str  # identifies this run of its process
    epoch: int = 0
    version: int = 0
    orders: int = 0  # the number of the orders beside the configuration
    elector: bool = False  # a seed that votes on the members of the first epoch
    leaving: bool = False  # it is shutting down: another gateway should take its seat, if there is one
    keeps_directory: bool = False  # as a member it tells the others which gateways have a share


class PeerSet:
    """The gateways that are linked here, and those that were recently."""

    def __init__(self, me: Hello, seeds: Iterable[str], effects: Effects, now: float) -> None:
        """`seeds`: IP addresses."""
        self.all_seeds = list(seeds)
        self.me, self.seeds, self.effects = me, [ip for ip in self.all_seeds if ip != me.ip], effects
        self.linked: dict[str, Hello] = {}
        self.known_peers: dict[str, Hello] = {}  # all that were linked here, until FORGET_AFTER_S
        self.unlinked_since: dict[str, float] = {}  # time of the last message of each unlinked one
        self.heard_at: dict[str, float] = {}  # time of the last message of each linked one
        self.linked_at = now  # time of the newest link
        self.roster: Roster | None = None
        self.count = 1  # by how many gateways what all share is divided, as the members tell it

    def link(self, hello: Hello, now: float) -> None:
        """Records a new link."""
        self.linked[hello.name] = self.known_peers[hello.name] = hello
        self.heard_at[hello.name] = self.linked_at = now
        self.unlinked_since.pop(hello.name, None)

    def unlink(self, name: str, now: float) -> None:
        """Records a lost link."""
        if self.linked.pop(name, None) is not None:
            self.unlinked_since[name] = self.heard_at.pop(name)

    @property
    def core(self) -> list[str]:
        """Linked core members, including this gateway if it is one."""
        members = self.roster.members if self.roster is not None else {}
        return [name for name in members if name in self.linked or name == self.me.name]

    @property
    def lacks_majority(self) -> bool:
        """True if at most half of the members, this one included, are linked; also without members."""
        members = self.roster.members if self.roster is not None else {}
        return 2 * len(self.core) <= len(members)

    def targets(self) -> list[str]:
        """IP addresses to dial: unlinked core members and, if members are missing, the seeds."""
        linked_ips = {hello.ip for hello in self.linked.values()}
        members = self.roster.members if self.roster is not None else {}
        wanted = [seat.ip for seat in members.values()]
        if not members or len(self.core) < len(members):
            wanted += self.seeds
        return [ip for ip in dict.fromkeys(wanted) if ip != self.me.ip and ip not in linked_ips]

    def core_machines(self) -> list[Hello]:
        """Linked core machines, on the roster or not, including this gateway."""
        return [hello for hello in (self.me, *self.linked.values()) if hello.core]

    def keeper(self, zone: str) -> str:
        """The member that tracks a zone's backends, in that zone if possible; empty if none is linked."""
        core = self.core
        zones = {name: (self.me if name == self.me.name else self.linked[name]).zone for name in core}
        near = sorted(name for name in core if zones[name] == zone)
        if near:
            return near[0]
        return self.me.name if self.me.name in core else (sorted(core)[0] if core else "")

    def leaving(self, name: str) -> bool:
        """True for a linked gateway that is shutting down."""
        return name in self.linked and self.linked[name].leaving

    def mark_leaving(self, name: str) -> None:
        """Records that a linked gateway is shutting down."""
        if name in self.linked:
            self.linked[name] = msgspec.structs.replace(self.linked[name], leaving=True)

    def distance(self, peer: str) -> tuple[bool, str]:
        """A sort key for linked peers that puts those of this zone first."""
        return self.linked[peer].zone != self.me.zone, peer

    def touch(self, name: str, now: float) -> None:
        """Records that a message arrived over the link."""
        self.heard_at[name] = now

    def silent(self, now: float) -> list[str]:
        """Gateways that may be serving while cut off: unlinked for a while, or linked and silent."""
        absent = [
            name
            for name, since in self.unlinked_since.items()
            if UNLINKED_SILENT_AFTER_S < now - since <= FORGET_AFTER_S
        ]
        return absent + self.unheard(now)

    def unheard(self, now: float) -> list[str]:
        """Linked gateways that have sent nothing for a while, though even an idle one sends heartbeats."""
        return [name for name, at in self.heard_at.items() if now - at > LINK_SILENT_AFTER_S]

    def tick(self, now: float) -> None:
        """Forgets gateways that were unlinked for long."""
        for name, since in list(self.unlinked_since.items()):
            if now - since > FORGET_AFTER_S:
                del self.unlinked_since[name], self.known_peers[name]
