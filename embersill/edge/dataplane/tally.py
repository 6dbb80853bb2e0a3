"""Where a gateway's counts of demand go: to the members of the core that sum them, over held links."""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.node import Node
from embersill.interface import Borrow, Count, Lent, Sliced

GATHER = 0.02  # seconds in which counts are gathered into one message
UNREACHED = -1.0  # units lent where nobody could be asked
LENT_WITHIN = 0.1  # seconds that a request waits for what a reserve may lend


class Tally:
    """The module's counter, as the driver sees it: nothing is stored, and what is lost is told anew.

    A second's demand goes to the tenant's summing member; the reading that the module asks for a moment later
    is the slice which that member gives. What does not come is silence: the module takes the even slice then.
    """

    def __init__(
        self,
        node: Node,
        clock: Callable[[], float],
        told: Callable[[Lent | Sliced], None],
        later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        """`later`: calls something after so many seconds; one that is called after the end does nothing."""
        self.node, self.clock, self.told, self.later = node, clock, told, later
        self.closed = False
        self.use: dict[str, float] = {}
        self.wanted: set[str] = set()
        self.gathering = False
        self.lenders: dict[str, float] = {}  # by tenant, until when what was asked of its reserve may come
        self.flushed: Callable[[], None] = lambda: None
        node.demand.on_slices, node.demand.on_lent = self.slices, self.lent

    def count(self, action: Count) -> None:
        """Notes what a tenant uses here, or that its slice is wanted."""
        tenant = action.name.rpartition(".")[0]
        if action.amount > 0:
            self.use[tenant] = action.amount
        else:
            self.wanted.add(tenant)
        if not self.gathering:
            self.gathering = True
            self.later(GATHER, self.flush)

    def flush(self) -> None:
        """Tells the members that sum what was gathered."""
        self.gathering = False
        if self.closed:
            return
        use, self.use, wanted, self.wanted = self.use, {}, self.wanted, set()
        telling: dict[str, dict[str, float]] = {}
        reading: dict[str, list[str]] = {}
        for tenant, amount in use.items():
            telling.setdefault(self.node.demand.summing(tenant), {})[tenant] = amount
        for tenant in sorted(wanted):
            reading.setdefault(self.node.demand.summing(tenant), []).append(tenant)
        me, mail = self.node.me.name, self.node.effects.mail
        for name, told in telling.items():
            if name == me:
                self.node.demand.sums.tell(me, told, self.node.now)
            else:
                mail.append((name, {"kind": "use", "use": told}))
        for name, tenants in reading.items():
            if name == me:
                self.slices(self.node.demand.slices(me, tenants, self.node.now), self.clock())
            else:
                mail.append((name, {"kind": "totals", "names": tenants, "at": round(self.clock(), 4)}))
        self.flushed()

    def slices(self, slices: dict[str, float], at: float | None) -> None:
        """Slices have come; `at`: when they were reckoned."""
        age = max(self.clock() - at, 0.0) if at is not None else None
        for tenant, rate in slices.items():
            self.told(Sliced(tenant, rate, age))

    def borrow(self, action: Borrow) -> None:
        """Asks the one gateway that has the tenant's reserve; where it can't be reached there is nothing."""
        asked = {action.customer: action.units}
        lender = self.node.demand.summing(action.customer)
        self.lenders[action.customer] = self.clock() + LENT_WITHIN
        if lender == self.node.me.name:
            self.later(0.0, lambda: self.lend_here(asked))
        elif lender in self.node.peers.linked:
            message = {
                "kind": "borrow",
                "units": asked,
                "at": round(self.clock(), 4),
                "life": self.node.me.boot,
            }
            self.node.effects.mail.append((lender, message))
            self.flushed()
        else:
            self.later(0.0, lambda: self.lent({action.customer: UNREACHED}))

    def lend_here(self, asked: dict[str, float]) -> None:
        """This gateway sums for these tenants itself."""
        lent, slices = self.node.demand.lend(self.node.me.name, asked, self.node.now)
        self.lent(lent)
        self.slices(slices, self.clock())

    def lent(self, units: dict[str, float]) -> None:
        """The reserve has lent, or not."""
        for tenant, lent in units.items():
            if self.lenders.pop(tenant, None) is not None:
                self.told(Lent(tenant, lent))

    def tick(self) -> None:
        """Gives up loans that nobody has answered in time."""
        now = self.clock()
        for tenant, until in list(self.lenders.items()):
            if now >= until:
                self.lent({tenant: UNREACHED})

    def move(self, address: tuple[str, int]) -> None:
        """There is no counter that could move."""

    def close(self) -> None:
        """Nothing is told any more."""
        self.closed = True
