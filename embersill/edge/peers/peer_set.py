"""Who is there: the gateways that are linked, those that others told of, and where to dial next. No I/O.

Every gateway holds a link to each of the core, whose members watch it: a link that brings nothing for a while
is over, on both ends. They tell everyone how many they see.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from embersill.edge.records import Effects, Roster

DROP_AFTER = 60.0  # seconds after which a gateway that nobody sees is no more counted on
LINKED_WITHIN = 4.0  # seconds after a start in which gateways that were there link again
UNHEARD = 0.65  # seconds without a word over a link from which its other end may be on its own
SILENT_AFTER = 1.0  # seconds after the last word of one that is not linked: its last slice counts till then
Message = dict[str, Any]


class Hello(msgspec.Struct, frozen=True):
    """How a gateway presents itself at the start of a link."""

    name: str
    ip: str
    zone: str
    control: str  # where it takes calls
    core: bool  # it has a disk, and counts
    store: str  # its disk's nonce
    boot: str  # this life of its process
    epoch: int = 0
    version: int = 0
    orders: int = 0  # the number of the orders beside the configuration
    elector: bool = False  # a seed that votes on the members of the first epoch
    leaving: bool = False  # it was told to stop: another is to take its seat, if there is one


class PeerSet:
    """The gateways that are linked here, and those that were."""

    def __init__(self, me: Hello, seeds: Iterable[str], effects: Effects, now: float) -> None:
        """`seeds`: IP numbers."""
        self.all_seeds = list(seeds)
        self.me, self.seeds, self.effects = me, [ip for ip in self.all_seeds if ip != me.ip], effects
        self.linked: dict[str, Hello] = {}
        self.seen: dict[str, Hello] = {}  # all that were ever linked here, and not for too long away
        self.away: dict[str, float] = {}  # of these, since when nothing came from them
        self.heard_at: dict[str, float] = {}  # of those that are linked, when something came last
        self.others: dict[str, int] = {}  # by core member: how many gateways it counts
        self.told = -1
        self.roster: Roster | None = None
        self.floor, self.floor_until = 0, now  # gateways there were before a restart: they will link again
        self.count = 1

    def link(self, hello: Hello, now: float) -> None:
        """A gateway is linked."""
        self.linked[hello.name] = self.seen[hello.name] = hello
        self.heard_at[hello.name] = now
        self.away.pop(hello.name, None)

    def unlink(self, name: str, now: float) -> None:
        """A gateway is not linked any more."""
        if self.linked.pop(name, None) is not None:
            self.away[name] = self.heard_at.pop(name)
            self.others.pop(name, None)

    @property
    def core(self) -> list[str]:
        """Linked members of the core, and this one if it is one."""
        members = self.roster.members if self.roster is not None else {}
        return [name for name in members if name in self.linked or name == self.me.name]

    @property
    def on_its_own(self) -> bool:
        """True where no more than half of the members are linked, this one among them; also without any."""
        members = self.roster.members if self.roster is not None else {}
        return 2 * len(self.core) <= len(members)

    def targets(self) -> list[str]:
        """IP numbers to hold links to, as far as there is none: the core's members, and the seeds."""
        there = {hello.ip for hello in self.linked.values()}
        members = self.roster.members if self.roster is not None else {}
        wanted = [seat.ip for seat in members.values()]
        if not members or len(self.core) < len(members):
            wanted += self.seeds
        return [ip for ip in dict.fromkeys(wanted) if ip != self.me.ip and ip not in there]

    def cores(self) -> list[Hello]:
        """Core machines that are linked, on the roster or not, and this one."""
        return [hello for hello in (self.me, *self.linked.values()) if hello.core]

    def keeper(self, zone: str) -> str:
        """The member that keeps a zone's backends: of that zone if one is linked; empty if there is none."""
        core = self.core
        zones = {name: (self.me if name == self.me.name else self.linked[name]).zone for name in core}
        near = sorted(name for name in core if zones[name] == zone)
        if near:
            return near[0]
        return self.me.name if self.me.name in core else (sorted(core)[0] if core else "")

    def leaving(self, name: str) -> bool:
        """True for a linked gateway that was told to stop."""
        return name in self.linked and self.linked[name].leaving

    def leaves(self, name: str) -> None:
        """A linked gateway has been told to stop."""
        if name in self.linked:
            self.linked[name] = msgspec.structs.replace(self.linked[name], leaving=True)

    def distance(self, peer: str) -> tuple[bool, str]:
        """Orders linked peers: those of one's own zone go first."""
        return self.linked[peer].zone != self.me.zone, peer

    def hear(self, name: str, now: float) -> None:
        """Something came over the link."""
        self.heard_at[name] = now

    def silent(self, now: float) -> list[str]:
        """Gateways that may serve on their own: not linked for a while, or linked and silent."""
        gone = [name for name, since in self.away.items() if SILENT_AFTER < now - since <= DROP_AFTER]
        return gone + [name for name, at in self.heard_at.items() if now - at > UNHEARD]

    def tick(self, now: float) -> None:
        """Forgets who was away for long, and counts those that are there."""
        for name, since in list(self.away.items()):
            if now - since > DROP_AFTER:
                del self.away[name], self.seen[name]
        if self.roster is not None and self.me.name in self.roster.members:
            if self.on_its_own:
                # it would take itself for all there are, and each quota for its own
                self.floor_until = now + LINKED_WITHIN
            self.count = max(len(self.seen) + 1, self.floor if now < self.floor_until else 0)
            if self.count != self.told:
                self.told = self.count
                for name in self.linked:
                    self.effects.mail.append((name, {"kind": "present", "count": self.count}))
        elif self.others:
            self.count = max(self.others.values())

    def remember(self, count: int, now: float) -> None:
        """So many there were before this process started: none is thought away until they had their time."""
        self.floor, self.floor_until = count, now + LINKED_WITHIN

    def heard(self, peer: str, message: Message) -> None:
        """A member of the core tells how many gateways it counts."""
        if self.roster is not None and peer in self.roster.members:
            self.others[peer] = max(int(message["count"]), 1)
