"""Distributes the configuration in force: tracks the versions of peers and fetches newer ones. No I/O.

Every gateway announces its version to its linked peers. One that hears of a newer version at a core member
fetches it there, from the nearest first. A member sends its configuration while it holds the lease (`lease`),
otherwise only after a quorum read has confirmed it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.configuration.document import State, revision
from embersill.edge.records import Effects, Message
from embersill.edge.peers.peer_set import Hello, PeerSet

FETCH_RETRY_S = 0.4  # after which a configuration that did not arrive is requested from another member
ACK_TIMEOUT_S = 0.5  # that an operator's change waits for the gateways' acknowledgements
UNKNOWN_VERSION = 0, 0  # of a gateway that has announced none

Version = tuple[int, int]  # of the configuration, and of the orders beside it; see `document.revision`


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change that is in force, and the callback that waits for all gateways to apply it."""

    version: Version
    until: float  # time-out for the gateways' acknowledgements
    on_applied: Callable[[], None]


class Distribution:
    """One gateway's part in distributing the configuration."""

    def __init__(
        self,
        peers: PeerSet,
        agreement: Agreement,
        effects: Effects,
        state: Callable[[], State],
        clock: Callable[[], float],
    ) -> None:
        """`state`: returns the state in force here. `clock`: the time of the event being handled."""
        self.peers, self.agreement, self.effects, self.state = peers, agreement, effects, state
        self.clock = clock
        self.newest: dict[str, Version] = {}  # as announced by linked peers
        self.fetched_at, self.fetched_from = float("-inf"), ""
        self.pending: list[PendingChange] = []

    @property
    def version(self) -> Version:
        """The version in force here."""
        return revision(self.state())

    def linked(self, hello: Hello) -> None:
        """Handles a new link: a peer with an older version is sent the one in force here."""
        self.newest[hello.name] = hello.version, hello.orders
        if self.version > self.newest[hello.name]:
            self.effects.mail.append((hello.name, self.version_message()))

    def unlinked(self, peer: str) -> None:
        """Forgets the version of a peer whose link is lost."""
        self.newest.pop(peer, None)

    def version_message(self) -> Message:
        """The message that announces the version in force here."""
        version, orders = self.version
        return {"kind": "version", "version": version, "orders": orders}

    def announce(self) -> None:
        """Announces the new version in force here; a pending fetch counts as answered."""
        self.fetched_at = float("-inf")
        version_message = self.version_message()
        self.effects.mail.extend((name, version_message) for name in self.peers.linked)

    def heard(self, peer: str, message: Message) -> None:
        """Handles a peer's announcement of its version."""
        self.newest[peer] = int(message["version"]), int(message["orders"])
        self.check_applied()
        self.catch_up()

    def catch_up(self) -> None:
        """Fetches from a member that has a newer version, trying one at a time."""
        version, now = self.version, self.clock()
        ahead = [name for name in self.peers.core if self.newest.get(name, version) > version]
        if not ahead or (now - self.fetched_at < FETCH_RETRY_S and self.fetched_from in ahead):
            return
        ahead.sort(key=lambda name: (name == self.fetched_from, self.peers.distance(name)))
        self.fetched_at, self.fetched_from = now, ahead[0]
        self.effects.mail.append((ahead[0], {"kind": "fetch"}))

    def send_state(self, peer: str) -> None:
        """Sends the configuration to a peer, once it is confirmed to be the one in force."""

        def on_confirmed(good: bool) -> None:
            state = self.state()
            if good and state["version"]:
                sent_state = {**state, "taken": []}  # the record of accepted orders concerns members only
                self.effects.mail.append((peer, {"kind": "document", "state": sent_state}))

        if self.agreement.speaks():
            on_confirmed(True)
        else:
            self.agreement.confirm(on_confirmed)

    def has_version(self, peer: str, version: Version) -> bool:
        """True if a linked peer has announced this version or a newer one."""
        return self.newest.get(peer, UNKNOWN_VERSION) >= version

    def all_have(self, version: Version) -> bool:
        """True once all linked gateways have announced this version or a newer one."""
        return all(self.has_version(name, version) for name in self.peers.linked)

    def all_up_to_date(self) -> bool:
        """True once all linked gateways have the version in force here."""
        return self.all_have(self.version)

    def when_applied(self, version: Version, on_applied: Callable[[], None]) -> None:
        """Calls `on_applied` once all linked gateways have the version, or after the time-out."""
        self.pending.append(PendingChange(version, self.clock() + ACK_TIMEOUT_S, on_applied))
        self.check_applied()

    def check_applied(self) -> None:
        """Runs the callbacks of changes that all gateways have applied, or that have timed out."""
        for change in list(self.pending):
            if self.clock() >= change.until or self.all_have(change.version):
                self.pending.remove(change)
                change.on_applied()

    def tick(self) -> None:
        """Retries a fetch and completes pending changes that are due."""
        self.catch_up()
        self.check_applied()
