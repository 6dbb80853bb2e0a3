"""A duty that one member of the core does for all, by the agreed record: taken over, handed on. No I/O.

The holder names its successor as it leaves. When it is lost for a while the next by the ring takes the duty,
which takes a majority, since it is laid on the newest record like everything that the holder lays.
"""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.configuration.document import State
from embersill.edge.consensus.proposals import duty_step
from embersill.edge.peers.ring import by_place
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.verdict import Verdict

LOST_AFTER = 2.5  # seconds without its holder after which another takes the duty
AGAIN_AFTER = 0.25  # seconds after a change that came to nothing
Change = Callable[[State], State | None]


class Duty:
    """One member's part in a duty: whether it has it, takes it over, or hands it on."""

    def __init__(
        self,
        name: str,
        me: Hello,
        peers: PeerSet,
        agreement: Agreement,
        holder: Callable[[], str],
        held: Callable[[State, str, str], State | None],
    ) -> None:
        """`name`: on the ring. `holder`: by the record as it is in force here. `held`: lays another one."""
        self.name, self.me, self.peers, self.agreement = name, me, peers, agreement
        self.holder, self.held = holder, held
        self.again_at = 0.0
        self.lost_at: float | None = None  # since when the holder is not linked
        self.busy = False
        self.now = 0.0
        self.on_view: Callable[[str], None] = lambda text: None

    def mine(self, now: float) -> bool:
        """True if this member may act now; a duty that nobody has, or whose holder is lost, it may take."""
        self.now = now
        if not self.agreement.votes or self.busy or now < self.again_at:
            return False
        holder = self.holder()
        if holder == self.me.name:
            return True
        self.take_over(holder)
        return False

    def take_over(self, holder: str) -> None:
        """Takes the duty of a holder that has been lost for a while, if it is next by the ring."""
        there = self.peers.core
        if holder in there:
            self.lost_at = None
            return
        self.lost_at = self.now if self.lost_at is None else self.lost_at
        if holder and self.now - self.lost_at < LOST_AFTER:
            return
        if by_place(self.name, there)[0] == self.me.name:
            self.pass_on(holder, self.me.name)

    def hand_over(self) -> None:
        """This gateway leaves: it names who goes on."""
        others = [name for name in self.peers.core if name != self.me.name]
        if self.holder() == self.me.name and others and self.agreement.votes:
            self.pass_on(self.me.name, by_place(self.name, others)[0])

    def pass_on(self, before: str, holder: str) -> None:
        """Names another holder on the record."""
        self.lay(lambda state: self.held(state, before, holder), f"duty name={self.name} holder={holder}")

    def lay(self, change: Change, what: str) -> None:
        """Lays a change on the newest record; nothing else is laid until that is certain, or can't be."""
        self.busy = True

        def decided(verdict: Verdict, state: State | None) -> None:
            self.busy = False
            self.again_at = self.now + (0.0 if state is not None else AGAIN_AFTER)
            self.on_view(f"{what} status={verdict.status}")

        self.agreement.decide(duty_step(change), decided)
