"""Quota messages between gateways: demand reports, slices, and loans from reserves. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.records import Effects, Message
from embersill.edge.peers.ring import rendezvous_order
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.configuration.routes import Table
from embersill.edge.quota.sums import Sums

CLEANUP_INTERVAL_S = 0.25  # a pass over all accounts costs tenants times gateways
QUOTA_MESSAGE_KINDS = frozenset(("use", "holds", "totals", "sliced", "borrow", "lent"))


def amounts(told: object) -> dict[str, float]:
    """Amounts by tenant from a message; raises TypeError or ValueError for anything else."""
    if not isinstance(told, dict):
        raise TypeError("not amounts by name")
    return {str(name): float(amount) for name, amount in told.items()}


class Demand:
    """One gateway's side of the quota protocol; it assigns slices for the tenants the ring maps to it."""

    def __init__(self, me: Hello, peers: PeerSet, agreement: Agreement, effects: Effects, now: float) -> None:
        self.me, self.peers, self.agreement, self.effects = me, peers, agreement, effects
        self.sums = Sums(now)
        self.table: Table | None = None
        self.silent: set[str] = set()  # as of the last tick
        self.cleaned_at = now
        # slices by tenant, and when this gateway requested them by its own clock; None if it did not
        self.on_slices: Callable[[dict[str, float], float | None], None] = lambda slices, at: None
        self.on_lent: Callable[[dict[str, float]], None] = lambda lent: None
        self.on_holding: Callable[[], dict[str, float]] = dict

    def linked(self, peer: Hello) -> None:
        """Tells a newly linked core member which slices are in use here: it may have just started."""
        holding = self.on_holding() if peer.core else {}
        if holding:
            self.effects.mail.append((peer.name, {"kind": "holds", "slices": holding}))

    def tick(self, now: float) -> None:
        """Recomputes all slices when a gateway falls silent, since it may go on using the even slice."""
        if now - self.cleaned_at >= CLEANUP_INTERVAL_S:
            self.cleaned_at = now
            self.sums.forget(now)
        silent = set(self.peers.silent(now))
        newly_silent, self.silent = silent - self.silent, silent
        if not newly_silent:
            return
        for gateway, tenants in self.sums.tenants_by_gateway(now).items():
            if gateway == self.me.name:
                self.on_slices(self.slices(gateway, tenants, now), now)
            elif gateway not in silent:
                # without a request time the gateway gives them the age of the slices that it uses already
                mail = {"kind": "sliced", "slices": self.slices(gateway, tenants, now), "at": None}
                self.effects.mail.append((gateway, mail))

    def heard(self, peer: str, message: Message, now: float) -> None:
        """Handles another gateway's quota message; raises KeyError, TypeError or ValueError if malformed."""
        kind, mail = message["kind"], self.effects.mail
        if kind == "use":
            self.sums.record_demand(peer, amounts(message["use"]), now)
        elif kind == "holds":
            self.sums.restore_slices(peer, amounts(message["slices"]), now)
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
        """The core member that sums a tenant's demand and holds its reserve; empty if none is known."""
        roster = self.agreement.roster
        return rendezvous_order(tenant, roster.members)[0] if roster is not None and roster.members else ""

    def quota(self, tenant: str) -> tuple[float, float]:
        """A tenant's rate and burst; zeros if there is no limit or another member sums the demand."""
        if self.table is None or self.table.stopped(tenant) or self.summing(tenant) != self.me.name:
            return 0.0, 0.0
        return self.table.quota(tenant)

    def slices(self, gateway: str, tenants: list[str], now: float) -> dict[str, float]:
        """A gateway's slices of the quotas that are assigned here."""
        silent, made = self.peers.silent(now), {}
        for tenant in tenants:
            rate, burst = self.quota(tenant)
            if rate > 0:
                made[tenant] = self.sums.slice(tenant, gateway, rate, self.peers.count, silent, now, burst)
        return made

    def lend(
        self, gateway: str, asked: dict[str, float], now: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Lends a gateway units from the reserves held here, none for other tenants; and the slices it lacks.

        A gateway that begins to borrow uses the even slice until it receives the one that is reserved for
        it here.
        """
        missing = [tenant for tenant in asked if not self.sums.has_slice(tenant, gateway, now)]
        silent, lent = self.peers.silent(now), {}
        for tenant, units in asked.items():
            rate, burst = self.quota(tenant)
            exact = self.table is not None and tenant in self.table.slowed_tenants
            lent[tenant] = self.sums.lend(tenant, units, rate, burst, self.peers.count, silent, now, exact)
        return lent, self.slices(gateway, missing, now) if missing and self.peers.count > 1 else {}
