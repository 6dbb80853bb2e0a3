"""What is out at each backend from all gateways, kept by its zone's keeper and told to the zone's gateways.

A gateway alone knows what it has sent itself; a backend's own word on its load is as old as its last answer
there. So each gateway tells the keeper of a backend's zone how many of its attempts are out at it, and the
keeper tells the sums to the gateways of its zone, which choose by them. Both are gathered for a moment: the
longer, the more gateways there are, so that the keeper's work stays the same. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from embersill.edge.records import Effects
from embersill.edge.peers.peer_set import Hello, PeerSet

GATHER = 0.004  # seconds in which sums are gathered, where a zone has few gateways
FEW = 6  # gateways of a zone
MOST = 20000  # backends


class Loads:
    """How many requests all gateways have out at each backend, gathered by the keeper of its zone."""

    def __init__(self, me: Hello, peers: PeerSet, effects: Effects) -> None:
        self.me, self.peers, self.effects = me, peers, effects
        self.out: dict[str, dict[str, int]] = {}  # as keeper: by gateway, what it has out at each backend
        self.sums: dict[str, int] = {}
        self.changed: set[str] = set()
        self.gathering = False
        self.mine: dict[str, int] = {}  # as told last
        self.zones: dict[str, str] = {}  # of the backends that this gateway has told of
        self.on_due: Callable[[float], object] = lambda delay: None  # `flush` is to be called then
        self.on_others: Callable[[dict[str, int]], None] = lambda others: None

    # as a gateway

    def report(self, out: Mapping[str, tuple[str, int]]) -> None:
        """What is out from here now, by backend, with its zone: only what has changed."""
        by_keeper: dict[str, dict[str, int]] = {}
        for backend, (zone, count) in out.items():
            if self.mine.get(backend, 0) != count:
                self.mine[backend], self.zones[backend] = count, zone
                by_keeper.setdefault(self.peers.keeper(zone), {})[backend] = count
        for keeper, told in by_keeper.items():
            if keeper == self.me.name:
                self.told(keeper, told)
            elif keeper:
                self.effects.mail.append((keeper, {"kind": "out", "out": told}))

    def heard(self, sums: Mapping[str, int]) -> None:
        """The keeper's sums: what is not one's own is the others'."""
        self.on_others({b: max(count - self.mine.get(b, 0), 0) for b, count in sums.items()})

    def linked(self, peer: str) -> None:
        """A keeper that is there again knows nothing of what is out from here."""
        out = {b: count for b, count in self.mine.items() if count}
        told = {b: count for b, count in out.items() if self.peers.keeper(self.zones[b]) == peer}
        if told:
            self.effects.mail.append((peer, {"kind": "out", "out": told}))

    def unlinked(self, peer: str) -> None:
        """What a lost gateway had out ends with it; a lost keeper's sums grow old."""
        gone = self.out.pop(peer, {})
        self.add({b: -count for b, count in gone.items()})
        if peer in (self.peers.roster.members if self.peers.roster is not None else ()):
            self.on_others({b: -1 for b in self.zones})

    def forget(self, backend: str) -> None:
        """A backend is gone."""
        self.mine.pop(backend, None)
        self.zones.pop(backend, None)

    # as a keeper

    def told(self, gateway: str, out: Mapping[str, int]) -> None:
        """A gateway has told how many it has out, by backend."""
        known = self.out.setdefault(gateway, {})
        changes = {}
        for backend, count in out.items():
            if len(self.sums) < MOST or backend in self.sums:
                changes[backend] = count - known.get(backend, 0)
                known[backend] = count
                if not count:
                    del known[backend]
        self.add(changes)

    def add(self, changes: Mapping[str, int]) -> None:
        """Changes sums, which are told soon."""
        for backend, change in changes.items():
            if change:
                self.sums[backend] = self.sums.get(backend, 0) + change
                self.changed.add(backend)
        if self.changed and not self.gathering:
            self.gathering = True
            zone = sum(hello.zone == self.me.zone for hello in self.peers.linked.values())
            self.on_due(GATHER * max(1.0, zone / FEW))

    def flush(self) -> None:
        """Tells the sums that have changed to the zone's gateways."""
        self.gathering = False
        told = {backend: self.sums[backend] for backend in self.changed}
        self.changed.clear()
        for backend, count in told.items():
            if not count:
                del self.sums[backend]
        message = {"kind": "loads", "out": told}
        for name, hello in self.peers.linked.items():
            if hello.zone == self.me.zone:
                self.effects.mail.append((name, message))
        self.heard(told)
