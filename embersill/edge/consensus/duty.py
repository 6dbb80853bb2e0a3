"""Leadership of one task among the core members, recorded in the replicated state. No I/O.

The holder names its successor when it leaves. If the holder has been lost for a while, the next member in
hashing order takes the duty over. This needs a majority, because the takeover is written on the newest state
like everything that the holder writes.
"""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.configuration.document import State
from embersill.edge.consensus.proposals import duty_step
from embersill.edge.peers.ring import rendezvous_order
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.verdict import Verdict

TAKEOVER_AFTER_S = 2.5  # without a link to the holder, after which another member takes the duty over
RETRY_AFTER_S = 0.25  # after a change that failed
Change = Callable[[State], State | None]


class Duty:
    """One member's part in a duty: whether it holds it, takes it over, or hands it over."""

    def __init__(
        self,
        name: str,
        me: Hello,
        peers: PeerSet,
        agreement: Agreement,
        holder: Callable[[], str],
        with_holder: Callable[[State, str, str], State | None],
    ) -> None:
        """`name`: hashed to order the candidates. `holder`: returns the holder in the state in force here.
        `with_holder`: the state with another holder, or None if it is no longer the one expected."""
        self.name, self.me, self.peers, self.agreement = name, me, peers, agreement
        self.holder, self.with_holder = holder, with_holder
        self.retry_at = 0.0
        self.lost_at: float | None = None  # when the holder was first seen without a link
        self.busy = False
        self.now = 0.0
        self.on_view: Callable[[str], None] = lambda text: None

    def may_act(self, now: float) -> bool:
        """True if this member may act now; otherwise tries to take over a duty without a live holder."""
        self.now = now
        if not self.agreement.votes or self.busy or now < self.retry_at:
            return False
        holder = self.holder()
        if holder == self.me.name:
            return True
        self.take_over(holder)
        return False

    def take_over(self, holder: str) -> None:
        """Takes the duty of a holder that has been lost for a while, if this member is next in order."""
        linked_members = self.peers.core
        if holder in linked_members:
            self.lost_at = None
            return
        self.lost_at = self.now if self.lost_at is None else self.lost_at
        if holder and self.now - self.lost_at < TAKEOVER_AFTER_S:
            return
        if rendezvous_order(self.name, linked_members)[0] == self.me.name:
            self.set_holder(holder, self.me.name)

    def hand_over(self) -> None:
        """Names a successor when this gateway leaves."""
        others = [name for name in self.peers.core if name != self.me.name]
        if self.holder() == self.me.name and others and self.agreement.votes:
            self.set_holder(self.me.name, rendezvous_order(self.name, others)[0])

    def set_holder(self, before: str, holder: str) -> None:
        """Writes another holder to the replicated state."""
        self.propose(
            lambda state: self.with_holder(state, before, holder), f"duty name={self.name} holder={holder}"
        )

    def propose(self, change: Change, what: str) -> None:
        """Proposes a change of the newest state; blocks further ones until its outcome is reported."""
        self.busy = True

        def decided(verdict: Verdict, state: State | None) -> None:
            self.busy = False
            self.retry_at = self.now + (0.0 if state is not None else RETRY_AFTER_S)
            self.on_view(f"{what} status={verdict.status}")

        self.agreement.decide(duty_step(change), decided)
