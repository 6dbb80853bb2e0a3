"""Quota messages between gateways: demand reports, slices, and loans from reserves. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.records import Effects, Message, Roster
from embersill.edge.peers.directory import GatewayDirectory
from embersill.edge.peers.ring import rendezvous_order
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.peers.quota_share import QuotaShare
from embersill.edge.configuration.routes import Table
from embersill.edge.quota.sums import SLICE_TTL_S, STARTUP_GRACE_S, Division, Sums

CLEANUP_INTERVAL_S = 0.25  # a pass over all accounts costs tenants times gateways
QUOTA_MESSAGE_KINDS = frozenset(("use", "holds", "totals", "sliced", "borrow", "lent"))


def amounts(told: object) -> dict[str, float]:
    """Amounts by tenant from a message; raises TypeError or ValueError for anything else."""
    if not isinstance(told, dict):
        raise TypeError("not amounts by name")
    return {str(name): float(amount) for name, amount in told.items()}


def summing_member(tenant: str, roster: Roster | None) -> str:
    """The member of an epoch that sums a tenant's demand; empty if there is none."""
    return rendezvous_order(tenant, roster.members)[0] if roster is not None and roster.members else ""


class Demand:
    """One gateway's side of the quota protocol; it assigns slices for the tenants the ring maps to it."""

    def __init__(
        self,
        me: Hello,
        peers: PeerSet,
        agreement: Agreement,
        directory: GatewayDirectory,
        share: QuotaShare,
        effects: Effects,
        now: float,
    ) -> None:
        self.me, self.peers, self.agreement, self.effects = me, peers, agreement, effects
        self.directory, self.share = directory, share
        self.sums, self.started_at = Sums(), now
        self.handovers: list[tuple[Roster, float]] = []  # recently ended epochs, and when they ended
        self.table: Table | None = None
        self.silent: set[str] = set()  # as of the last tick
        self.cleaned_at = now
        # slices by tenant, and when this gateway requested them by its own clock; None if it did not
        self.on_slices: Callable[[dict[str, float], float | None], None] = lambda slices, at: None
        self.on_lent: Callable[[dict[str, float]], None] = lambda lent: None
        self.on_holding: Callable[[], dict[str, float]] = dict

    def linked(self, peer: Hello) -> None:
        """Tells a newly linked core member which slices are in use here: it may have just started."""
        self.send_holding([peer.name] if peer.core else [])

    def send_holding(self, members: list[str]) -> None:
        """Tells members which slices are in use here."""
        holding = self.on_holding() if members else {}
        if holding:
            message = {"kind": "holds", "slices": holding}
            self.effects.mail.extend((name, message) for name in members)

    def change_members(self, before: Roster | None, roster: Roster, now: float) -> None:
        """Follows a new epoch: tenants may be summed by members that don't know the slices in use."""
        if before is None:
            return
        self.send_holding([name for name in roster.members if name in self.peers.linked])
        self.handovers = [(ended, at) for ended, at in self.handovers if now - at <= SLICE_TTL_S]
        self.handovers.append((before, now))

    def tick(self, now: float) -> None:
        """Recomputes all slices when a gateway falls silent, since it may go on using the even slice."""
        if now - self.cleaned_at >= CLEANUP_INTERVAL_S:
            self.cleaned_at = now
            self.sums.forget(now)
        silent = self.silent_shares(now)
        newly_silent, self.silent = silent.keys() - self.silent, set(silent)
        if not newly_silent:
            return
        self.charge_unheard({name: silent[name] for name in newly_silent}, now)
        for gateway, tenants in self.sums.tenants_by_gateway(now).items():
            if gateway == self.me.name:
                self.on_slices(self.slices(gateway, tenants, now), now)
            elif gateway not in silent:
                # without a request time the gateway gives them the age of the slices that it uses already
                mail = {"kind": "sliced", "slices": self.slices(gateway, tenants, now), "at": None}
                self.effects.mail.append((gateway, mail))

    def charge_unheard(self, shares: dict[str, float], now: float) -> None:
        """Takes from the reserves what linked gateways may have used since they were last heard."""
        heard_at = self.peers.heard_at
        linked = {name: share for name, share in shares.items() if name in heard_at}
        for tenant in self.sums.accounts if linked else ():
            rate, _ = self.quota(tenant, now)
            for name, share in linked.items() if rate > 0 else ():
                self.sums.charge_unheard(tenant, name, share * rate, now - heard_at[name], now)

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
        return summing_member(tenant, self.agreement.roster)

    def quota(self, tenant: str, now: float) -> tuple[float, float]:
        """A tenant's rate and burst; zeros if there is no limit, or this member may not divide the quota.

        It may not if another one sums the demand, if it may lack gateways in its directory, or if it has
        lost the majority for so long that others may divide the quota without regard to what it assigns.
        """
        if self.table is None or self.table.stopped(tenant) or self.summing(tenant) != self.me.name:
            return 0.0, 0.0
        if not self.directory.complete or not self.share.lease_held(now):
            return 0.0, 0.0
        return self.table.quota(tenant)

    def silent_shares(self, now: float) -> dict[str, float]:
        """By name, the share of each quota that gateways may use which can't be heard."""
        return self.directory.silent_shares(self.peers.unheard(now), now)

    def division(self, tenant: str, silent: dict[str, float], now: float) -> Division:
        """How a tenant's quota is divided at the moment."""
        # gateways that can't be heard can't report their slices: these have to run out
        settling_s = SLICE_TTL_S if silent else STARTUP_GRACE_S
        settling = now - self.started_at < settling_s or any(
            now - at < settling_s and summing_member(tenant, ended) != self.me.name
            for ended, at in self.handovers
        )
        return Division(self.peers.count, silent, settling)

    def slices(self, gateway: str, tenants: list[str], now: float) -> dict[str, float]:
        """A gateway's slices of the quotas that are assigned here."""
        silent, made = self.silent_shares(now), {}
        for tenant in tenants:
            rate, burst = self.quota(tenant, now)
            if rate > 0:
                division = self.division(tenant, silent, now)
                made[tenant] = self.sums.slice(tenant, gateway, rate, division, now, burst)
        return made

    def lend(
        self, gateway: str, asked: dict[str, float], now: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Lends a gateway units from the reserves held here, none for other tenants; and the slices it lacks.

        A gateway that begins to borrow uses the even slice until it receives the one that is reserved for
        it here.
        """
        missing = [tenant for tenant in asked if not self.sums.has_slice(tenant, gateway, now)]
        silent, lent = self.silent_shares(now), {}
        for tenant, units in asked.items():
            rate, burst = self.quota(tenant, now)
            exact = self.table is not None and tenant in self.table.slowed_tenants
            division = self.division(tenant, silent, now)
            lent[tenant] = self.sums.lend(tenant, units, rate, burst, division, now, exact)
        return lent, self.slices(gateway, missing, now) if missing and self.peers.count > 1 else {}
