"""Tenants' demand on the links: what each gateway tells, and what the member that sums it gives. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.records import Effects, Message
from embersill.edge.peers.ring import by_place
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.configuration.routes import Table
from embersill.edge.quota.sums import Sums

FORGET_EVERY = 0.25  # seconds: a look at all accounts costs tenants times gateways
DEMAND = frozenset(("use", "holds", "totals", "sliced", "borrow", "lent"))  # kinds of messages


def amounts(told: object) -> dict[str, float]:
    """Amounts by tenant, as a message has them; TypeError, ValueError for anything else."""
    if not isinstance(told, dict):
        raise TypeError("not amounts by name")
    return {str(name): float(amount) for name, amount in told.items()}


class Demand:
    """One gateway's part: it tells and asks, and deals out the quotas that the ring gives it to deal out."""

    def __init__(self, me: Hello, peers: PeerSet, agreement: Agreement, effects: Effects, now: float) -> None:
        self.me, self.peers, self.agreement, self.effects = me, peers, agreement, effects
        self.sums = Sums(now)
        self.table: Table | None = None
        self.silent: set[str] = set()  # as of the last look
        self.forgot_at = now
        # slices by tenant, and when they were asked for by this gateway's clock; None: they weren't
        self.on_slices: Callable[[dict[str, float], float | None], None] = lambda slices, at: None
        self.on_lent: Callable[[dict[str, float]], None] = lambda lent: None
        self.on_holding: Callable[[], dict[str, float]] = dict

    def linked(self, peer: Hello) -> None:
        """A member that has just started does not know which slices are still used here."""
        holding = self.on_holding() if peer.core else {}
        if holding:
            self.effects.mail.append((peer.name, {"kind": "holds", "slices": holding}))

    def tick(self, now: float) -> None:
        """Who falls silent may go on by the even slice: what the others may use is told anew at once."""
        if now - self.forgot_at >= FORGET_EVERY:
            self.forgot_at = now
            self.sums.forget(now)
        silent = set(self.peers.silent(now))
        fell, self.silent = silent - self.silent, silent
        if not fell:
            return
        for gateway, tenants in self.sums.goes_by(now).items():
            if gateway == self.me.name:
                self.on_slices(self.slices(gateway, tenants, now), now)
            elif gateway not in silent:
                # with no time of asking they are no older than what the gateway goes by
                mail = {"kind": "sliced", "slices": self.slices(gateway, tenants, now), "at": None}
                self.effects.mail.append((gateway, mail))

    def heard(self, peer: str, message: Message, now: float) -> None:
        """A message about quotas of another gateway's; KeyError, TypeError, ValueError for none."""
        kind, mail = message["kind"], self.effects.mail
        if kind == "use":
            self.sums.tell(peer, amounts(message["use"]), now)
        elif kind == "holds":
            self.sums.holds(peer, amounts(message["slices"]), now)
        elif kind == "totals":
            slices = self.slices(peer, message["names"], now)
            mail.append((peer, {"kind": "sliced", "slices": slices, "at": message["at"]}))
        elif kind == "borrow":
            lent, slices = self.lend(peer, amounts(message["units"]), now)
            mail.append((peer, {"kind": "lent", "units": lent, "life": message["life"]}))
            if slices:
                mail.append((peer, {"kind": "sliced", "slices": slices, "at": message["at"]}))
        elif kind == "lent":
            self.on_lent(amounts(message["units"]))
        elif kind == "sliced":
            at = message["at"]
            self.on_slices(amounts(message["slices"]), None if at is None else float(at))

    def summing(self, tenant: str) -> str:
        """The member of the core that sums a tenant's demand and has its reserve; empty if none is known."""
        roster = self.agreement.roster
        return by_place(tenant, roster.members)[0] if roster is not None and roster.members else ""

    def quota(self, tenant: str) -> tuple[float, float]:
        """Rate and burst; nought where there is no limit, or where another member sums the demand."""
        if self.table is None or self.table.stopped(tenant) or self.summing(tenant) != self.me.name:
            return 0.0, 0.0
        return self.table.quota(tenant)

    def slices(self, gateway: str, tenants: list[str], now: float) -> dict[str, float]:
        """A gateway's slices of the quotas that are dealt out here."""
        silent, made = self.peers.silent(now), {}
        for tenant in tenants:
            rate, burst = self.quota(tenant)
            if rate > 0:
                made[tenant] = self.sums.slice(tenant, gateway, rate, self.peers.count, silent, now, burst)
        return made

    def lend(
        self, gateway: str, asked: dict[str, float], now: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        """What the reserves here give a gateway, nothing of other members' tenants; and slices it lacks.

        One that begins to borrow goes by the even slice until it is told the one that is counted with here.
        """
        begins = [tenant for tenant in asked if not self.sums.told(tenant, gateway, now)]
        silent, lent = self.peers.silent(now), {}
        for tenant, units in asked.items():
            rate, burst = self.quota(tenant)
            exact = self.table is not None and tenant in self.table.squeezed
            lent[tenant] = self.sums.lend(tenant, units, rate, burst, self.peers.count, silent, now, exact)
        return lent, self.slices(gateway, begins, now) if begins and self.peers.count > 1 else {}
