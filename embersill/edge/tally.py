"""Where a gateway's counts of demand go: to the gateways that sum them, over the links that are held."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from embersill.edge.node import Node
from embersill.interface import Borrow, Count, Counted, Lent, Outcome

GATHER = 0.02  # seconds in which counts are gathered into one message
LENT_WITHIN = 0.1  # seconds that a request waits for what a reserve may lend
ANSWERED_WITHIN = 0.4  # seconds after which a total that was asked for is taken not to come


class Tally:
    """The module's counter, as the driver sees it: nothing is stored, and what is lost is told anew."""

    def __init__(self, node: Node, clock: Callable[[], float],
                 told: Callable[[Counted | Lent], None]) -> None:
        self.node, self.clock, self.told = node, clock, told
        self.loop = asyncio.get_running_loop()
        self.use: dict[str, float] = {}
        self.asked: dict[str, tuple[str, float]] = {}  # by tenant: the name that is read, since when
        self.wanted: list[str] = []
        self.gathering: asyncio.TimerHandle | None = None
        self.flushed: Callable[[], None] = lambda: None
        node.on_totals = self.totals
        self.lenders: dict[str, float] = {}  # by tenant, until when what was asked of its reserve may come
        node.on_lent = self.lent

    def count(self, action: Count) -> None:
        tenant = action.name.rpartition(".")[0]
        if action.amount > 0:
            self.use[tenant] = action.amount
        else:
            self.asked[tenant] = (action.name, self.clock())
            self.wanted.append(tenant)
        if self.gathering is None:
            self.gathering = self.loop.call_later(GATHER, self.flush)

    def borrow(self, action: Borrow) -> None:
        """Asks the one gateway that has the tenant's reserve; where it can't be reached there is nothing."""
        asked = {action.customer: action.units}
        lender = (self.node.summing(action.customer) or [""])[0]
        self.lenders[action.customer] = self.clock() + LENT_WITHIN
        if lender == self.node.me.name:
            self.loop.call_soon(lambda: self.lent(self.node.lend(asked)))
        elif lender in self.node.roll.linked:
            self.node.effects.mail.append((lender, {"kind": "borrow", "units": asked}))
            self.flushed()
        else:
            self.loop.call_soon(self.lent, {action.customer: 0.0})

    def lent(self, units: dict[str, float]) -> None:
        for tenant, lent in units.items():
            if self.lenders.pop(tenant, None) is not None:
                self.told(Lent(tenant, lent))

    def flush(self) -> None:
        self.gathering = None
        use, self.use, wanted, self.wanted = self.use, {}, self.wanted, []
        me, linked, mail = self.node.me.name, self.node.roll.linked, self.node.effects.mail
        telling: dict[str, dict[str, float]] = {}
        reading: dict[str, list[str]] = {}
        for tenant, amount in use.items():
            for name in self.node.summing(tenant):
                telling.setdefault(name, {})[tenant] = amount
        for tenant in wanted:
            there = [name for name in self.node.summing(tenant) if name == me or name in linked]
            if there:
                reading.setdefault(there[0], []).append(tenant)
            else:
                self.missed(tenant, Outcome.NO_CONNECTION)
        for name, told in telling.items():
            if name == me:
                self.node.sums.tell(me, told, self.node.now)
            elif name in linked:
                mail.append((name, {"kind": "use", "use": told}))
        for name, tenants in reading.items():
            if name == me:
                self.totals(self.node.totals(tenants))
            else:
                mail.append((name, {"kind": "totals", "names": tenants}))
        self.flushed()

    def totals(self, totals: dict[str, float]) -> None:
        for tenant, total in totals.items():
            name, since = self.asked.pop(tenant, ("", 0.0))
            if name:
                self.told(Counted(name, Outcome.SERVED, self.clock() - since, total, alone=True))

    def missed(self, tenant: str, outcome: Outcome) -> None:
        name, since = self.asked.pop(tenant, ("", 0.0))
        if name:
            self.told(Counted(name, outcome, self.clock() - since, 0.0, alone=True))

    def tick(self) -> None:
        now = self.clock()
        for tenant, until in list(self.lenders.items()):
            if now >= until:
                self.lent({tenant: 0.0})
        for tenant, (_, since) in list(self.asked.items()):
            if now - since > ANSWERED_WITHIN:
                self.missed(tenant, Outcome.TIMED_OUT)

    def move(self, address: tuple[str, int]) -> None:
        """There is no counter that could move."""

    def close(self) -> None:
        if self.gathering is not None:
            self.gathering.cancel()
