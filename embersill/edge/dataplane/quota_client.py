"""Reports a gateway's demand to the core members that sum it; fetches slices and loans of quotas."""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.node import Node
from embersill.interface import Borrow, BorrowResult, Count, QuotaSlice

GATHER_S = 0.02  # counts are batched into one message for this long
UNREACHABLE_UNITS = -1.0  # reported as lent if the lender could not be asked
BORROW_TIMEOUT_S = 0.1  # how long a request waits for a loan from the reserve


class QuotaClient:
    """The driver's counter of quotas. Nothing is stored, and lost messages are made up for by the next ones.

    Each second's demand goes to the member that sums the tenant's demand; the reading that the decisions
    request a moment later is the slice which that member assigns. If no answer comes the decisions use the
    even slice.
    """

    def __init__(
        self,
        node: Node,
        clock: Callable[[], float],
        post: Callable[[BorrowResult | QuotaSlice], None],
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        """`call_later`: calls a function after a delay in seconds; a call after shutdown does no harm."""
        self.node, self.clock, self.post, self.call_later = node, clock, post, call_later
        self.closed = False
        self.use: dict[str, float] = {}
        self.slices_wanted: set[str] = set()
        self.gathering = False
        self.borrow_deadlines: dict[str, float] = {}  # by tenant, for open requests to its reserve
        self.on_flush: Callable[[], None] = lambda: None
        node.demand.on_slices, node.demand.on_lent = self.slices, self.lent

    def count(self, action: Count) -> None:
        """Notes a tenant's use, or, with no amount, that its slice is wanted."""
        tenant = action.name.rpartition(".")[0]
        if action.amount > 0:
            self.use[tenant] = action.amount
        else:
            self.slices_wanted.add(tenant)
        if not self.gathering:
            self.gathering = True
            self.call_later(GATHER_S, self.flush)

    def flush(self) -> None:
        """Sends the batched counts and slice requests to the summing members."""
        self.gathering = False
        if self.closed:
            return
        use, self.use, slices_wanted, self.slices_wanted = self.use, {}, self.slices_wanted, set()
        uses_by_member: dict[str, dict[str, float]] = {}
        tenants_by_member: dict[str, list[str]] = {}
        for tenant, amount in use.items():
            uses_by_member.setdefault(self.node.demand.summing(tenant), {})[tenant] = amount
        for tenant in sorted(slices_wanted):
            tenants_by_member.setdefault(self.node.demand.summing(tenant), []).append(tenant)
        me, mail = self.node.me.name, self.node.effects.mail
        for name, reported in uses_by_member.items():
            if name == me:
                self.node.demand.sums.record_demand(me, reported, self.node.now)
            else:
                mail.append((name, {"kind": "use", "use": reported}))
        for name, tenants in tenants_by_member.items():
            if name == me:
                self.slices(self.node.demand.slices(me, tenants, self.node.now), self.clock())
            else:
                mail.append((name, {"kind": "totals", "names": tenants, "at": round(self.clock(), 4)}))
        self.on_flush()

    def slices(self, slices: dict[str, float], at: float | None) -> None:
        """Passes received slices on; `at`: when they were requested, by this gateway's clock."""
        age = max(self.clock() - at, 0.0) if at is not None else None
        for tenant, rate in slices.items():
            self.post(QuotaSlice(tenant, rate, age))

    def borrow(self, action: Borrow) -> None:
        """Asks the holder of the tenant's reserve for tokens; an unreachable one lends none."""
        asked = {action.customer: action.units}
        lender = self.node.demand.summing(action.customer)
        self.borrow_deadlines[action.customer] = self.clock() + BORROW_TIMEOUT_S
        if lender == self.node.me.name:
            self.call_later(0.0, lambda: self.lend_locally(asked))
        elif lender in self.node.peers.linked:
            message = {
                "kind": "borrow",
                "units": asked,
                "at": round(self.clock(), 4),
                "life": self.node.me.boot,
            }
            self.node.effects.mail.append((lender, message))
            self.on_flush()
        else:
            self.call_later(0.0, lambda: self.lent({action.customer: UNREACHABLE_UNITS}))

    def lend_locally(self, asked: dict[str, float]) -> None:
        """Borrows from a reserve that this gateway holds itself."""
        lent, slices = self.node.demand.lend(self.node.me.name, asked, self.node.now)
        self.lent(lent)
        self.slices(slices, self.clock())

    def lent(self, units: dict[str, float]) -> None:
        """Passes on what a reserve has lent, which may be nothing."""
        for tenant, lent in units.items():
            if self.borrow_deadlines.pop(tenant, None) is not None:
                self.post(BorrowResult(tenant, lent))

    def tick(self) -> None:
        """Gives up on loan requests that were not answered in time."""
        now = self.clock()
        for tenant, until in list(self.borrow_deadlines.items()):
            if now >= until:
                self.lent({tenant: UNREACHABLE_UNITS})

    def move(self, address: tuple[str, int]) -> None:
        """Does nothing: there is no external counter whose address could change."""

    def close(self) -> None:
        """Stops sending counts."""
        self.closed = True
