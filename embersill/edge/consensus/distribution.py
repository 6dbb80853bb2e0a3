"""How the configuration in force comes to all gateways: who has which version, who fetches it where. No I/O.

Every gateway tells its version to those that it is linked to. One that hears of a newer version at a member
of the core fetches it there, the nearest first. A member hands its configuration on only while a majority
vouches for it (`lease`), else once one has.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.configuration.document import State, revision
from embersill.edge.records import Effects, Message
from embersill.edge.peers.peer_set import Hello, PeerSet

FETCH_AGAIN = 0.4  # seconds after which a configuration that did not come is asked for elsewhere
ACKED_WITHIN = 0.5  # seconds that an operator's change waits for the gateways' word
UNTOLD = 0, 0  # the version of a gateway that has told none

Version = tuple[int, int]  # of the configuration, and of the orders beside it; see `document.revision`


@dataclass(frozen=True, slots=True)
class Awaited:
    """A change that is in force, and who waits for the gateways to have it."""

    version: Version
    until: float  # they have had their time by then
    go_on: Callable[[], None]


class Distribution:
    """One gateway's part in it."""

    def __init__(
        self,
        peers: PeerSet,
        agreement: Agreement,
        effects: Effects,
        state: Callable[[], State],
        clock: Callable[[], float],
    ) -> None:
        """`state`: what is in force here. `clock`: the time of what is being handled."""
        self.peers, self.agreement, self.effects, self.state = peers, agreement, effects, state
        self.clock = clock
        self.newest: dict[str, Version] = {}  # of linked peers, as they told
        self.fetched_at, self.fetched_from = float("-inf"), ""
        self.awaited: list[Awaited] = []

    @property
    def version(self) -> Version:
        """What is in force here."""
        return revision(self.state())

    def linked(self, hello: Hello) -> None:
        """A peer is linked; it is told if it has an older version."""
        self.newest[hello.name] = hello.version, hello.orders
        if self.version > self.newest[hello.name]:
            self.effects.mail.append((hello.name, self.told()))

    def unlinked(self, peer: str) -> None:
        """A peer is not linked any more."""
        self.newest.pop(peer, None)

    def told(self) -> Message:
        """The version in force here, as a message."""
        version, orders = self.version
        return {"kind": "version", "version": version, "orders": orders}

    def tell_all(self) -> None:
        """Another version is in force here: what was asked for has come."""
        self.fetched_at = float("-inf")
        told = self.told()
        self.effects.mail.extend((name, told) for name in self.peers.linked)

    def heard(self, peer: str, message: Message) -> None:
        """A peer tells its version."""
        self.newest[peer] = int(message["version"]), int(message["orders"])
        self.check_applied()
        self.catch_up()

    def catch_up(self) -> None:
        """Asks a member that has a newer version, one after the other."""
        version, now = self.version, self.clock()
        ahead = [name for name in self.peers.core if self.newest.get(name, version) > version]
        if not ahead or (now - self.fetched_at < FETCH_AGAIN and self.fetched_from in ahead):
            return
        ahead.sort(key=lambda name: (name == self.fetched_from, self.peers.distance(name)))
        self.fetched_at, self.fetched_from = now, ahead[0]
        self.effects.mail.append((ahead[0], {"kind": "fetch"}))

    def hand_on(self, peer: str) -> None:
        """Hands the configuration on, once a majority vouches that it is the one in force."""

        def vouched(good: bool) -> None:
            state = self.state()
            if good and state["version"]:
                handed = {**state, "taken": []}  # which orders were taken concerns members alone
                self.effects.mail.append((peer, {"kind": "document", "state": handed}))

        if self.agreement.speaks():
            vouched(True)
        else:
            self.agreement.confirm(vouched)

    def has(self, peer: str, version: Version) -> bool:
        """True if a linked peer has told that it has this version or a newer one."""
        return self.newest.get(peer, UNTOLD) >= version

    def all_have(self, version: Version) -> bool:
        """True once all linked gateways have told that they have this version."""
        return all(self.has(name, version) for name in self.peers.linked)

    def all_up_to_date(self) -> bool:
        """True once all linked gateways have what is in force here."""
        return self.all_have(self.version)

    def when_applied(self, version: Version, go_on: Callable[[], None]) -> None:
        """Calls it once all linked gateways have the version, or have had their time."""
        self.awaited.append(Awaited(version, self.clock() + ACKED_WITHIN, go_on))
        self.check_applied()

    def check_applied(self) -> None:
        """Goes on with what waited for gateways to have a version, or has waited long enough."""
        for one in list(self.awaited):
            if self.clock() >= one.until or self.all_have(one.version):
                self.awaited.remove(one)
                one.go_on()

    def tick(self) -> None:
        """What is due by now."""
        self.catch_up()
        self.check_applied()
