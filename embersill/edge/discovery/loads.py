"""Attempts in flight at each backend from all gateways, summed by the keeper of its zone. No I/O.

A gateway by itself knows only what it has sent; the load that a backend reports is as old as its last answer
there. So each gateway reports its in-flight count at a backend to the keeper of the backend's zone, and the
keeper sends the sums to the gateways of its zone, which use them to choose backends. Both are batched, and
sums for longer the more gateways there are, so that the keeper's work stays the same.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from embersill.edge.records import Effects
from embersill.edge.peers.peer_set import Hello, PeerSet

BATCH_DELAY_S = 0.004  # sums are batched for this long in a zone of up to `BATCH_ZONE_SIZE` gateways
BATCH_ZONE_SIZE = 6
MAX_BACKENDS = 20000


class Loads:
    """In-flight counts per backend: reported by every gateway, summed by the keeper of the backend's zone."""

    def __init__(self, me: Hello, peers: PeerSet, effects: Effects) -> None:
        self.me, self.peers, self.effects = me, peers, effects
        self.out: dict[str, dict[str, int]] = {}  # as keeper: by gateway and backend
        self.sums: dict[str, int] = {}
        self.changed: set[str] = set()
        self.gathering = False
        self.mine: dict[str, int] = {}  # this gateway's counts as last reported
        self.zones: dict[str, str] = {}  # of the backends in its reports
        self.on_due: Callable[[float], object] = lambda delay: None  # schedules `flush`
        self.on_others: Callable[[dict[str, int]], None] = lambda others: None

    # every gateway

    def report(self, out: Mapping[str, tuple[str, int]]) -> None:
        """Reports in-flight counts by backend, each with the backend's zone, to the keepers, if changed."""
        by_keeper: dict[str, dict[str, int]] = {}
        for backend, (zone, count) in out.items():
            if self.mine.get(backend, 0) != count:
                self.mine[backend], self.zones[backend] = count, zone
                by_keeper.setdefault(self.peers.keeper(zone), {})[backend] = count
        for keeper, told in by_keeper.items():
            if keeper == self.me.name:
                self.record_report(keeper, told)
            elif keeper:
                self.effects.mail.append((keeper, {"kind": "out", "out": told}))

    def heard(self, sums: Mapping[str, int]) -> None:
        """Handles the keeper's sums, of which this gateway's own counts are subtracted."""
        self.on_others({b: max(count - self.mine.get(b, 0), 0) for b, count in sums.items()})

    def linked(self, peer: str) -> None:
        """Reports all counts to a newly linked keeper, which may have just started."""
        out = {b: count for b, count in self.mine.items() if count}
        told = {b: count for b, count in out.items() if self.peers.keeper(self.zones[b]) == peer}
        if told:
            self.effects.mail.append((peer, {"kind": "out", "out": told}))

    def unlinked(self, peer: str) -> None:
        """Drops a lost gateway's counts, and, if it was a core member, the sums that are now outdated."""
        gone = self.out.pop(peer, {})
        self.add({b: -count for b, count in gone.items()})
        if peer in (self.peers.roster.members if self.peers.roster is not None else ()):
            self.on_others({b: -1 for b in self.zones})

    def forget(self, backend: str) -> None:
        """Drops a backend that is gone."""
        self.mine.pop(backend, None)
        self.zones.pop(backend, None)

    # the keeper of a zone

    def record_report(self, gateway: str, out: Mapping[str, int]) -> None:
        """Takes a gateway's in-flight counts by backend."""
        known = self.out.setdefault(gateway, {})
        changes = {}
        for backend, count in out.items():
            if len(self.sums) < MAX_BACKENDS or backend in self.sums:
                changes[backend] = count - known.get(backend, 0)
                known[backend] = count
                if not count:
                    del known[backend]
        self.add(changes)

    def add(self, changes: Mapping[str, int]) -> None:
        """Changes sums, and schedules sending them."""
        for backend, change in changes.items():
            if change:
                self.sums[backend] = self.sums.get(backend, 0) + change
                self.changed.add(backend)
        if self.changed and not self.gathering:
            self.gathering = True
            zone = sum(hello.zone == self.me.zone for hello in self.peers.linked.values())
            self.on_due(BATCH_DELAY_S * max(1.0, zone / BATCH_ZONE_SIZE))

    def flush(self) -> None:
        """Sends the changed sums to the zone's gateways."""
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
