"""Sums a tenant's demand over all gateways in memory, and divides its quota into slices and a reserve.

One core member, chosen by the ring, sums a tenant's demand. Each gateway reports the tenant's demand to it
once a second and receives its slice: its own demand plus a split of the headroom, or the quota times its
part of the demand. Rate that other gateways hold by their last slices is never assigned a second time,
whoever asks first. So no clocks have to agree, and slices, reserve and the use of silent gateways never
exceed the quota together.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from embersill.throttle import slice_of

DEMAND_SMOOTHING = 0.5  # weight of the last second in a gateway's smoothed demand
DEMAND_TTL_S = 1.6  # a report is valid this long: they come every second, and one may be late
STARTUP_GRACE_S = 0.8  # after a member begins to sum, for gateways to report the slices that they still use
SLICE_TTL_S = 2.6  # how long a slice may be used after it was assigned, with a little for its delivery
MIN_SLICE_SHARE = 0.02  # of the even slice, always assigned so that demand which moves here can be noticed
HEADROOM_SHARE = 0.35  # of the unused quota, split among slices; the rest flows into the reserve
# shares of the overshoot that the bound allows above a quota; with these, two starts in a window stay
# within it
RESERVE_DEPTH_SHARE = 0.35  # the most that a reserve may hold of it
RESERVE_REFILL_SHARE = 0.2  # refilled per window
RESERVE_INITIAL_SHARE = 0.2  # held at the start
BURST_WINDOW_S = 5.0  # over which the overshoot above a quota is spread
MAX_TENANTS = 20000


@dataclass(frozen=True, slots=True)
class Division:
    """How quotas are divided at the moment.

    `width`: the even slice is one part in so many. `silent`: by name, the share of each quota that gateways
    may use which can't be heard. `settling`: slices that were assigned elsewhere, or before a restart, may
    still be in use without being known here.
    """

    width: int
    silent: Mapping[str, float] = field(default_factory=dict)
    settling: bool = False

    def even(self, quota: float) -> float:
        """The even slice."""
        return quota / max(self.width, 1)


class Account:
    """One tenant's demand and slice by gateway, and the reserve of what slices leave."""

    def __init__(self, now: float) -> None:
        self.demand: dict[str, tuple[float, float]] = {}  # gateway: smoothed requests/s, reported at
        self.slices: dict[str, tuple[float, float]] = {}  # gateway: rate, assigned at
        self.level, self.stamp = 0.0, now  # of the reserve
        self.begun = False  # whether the reserve has received its initial level

    def in_use(self, gateway: str, now: float) -> bool:
        """True if the last slice assigned to this gateway may still be in use there."""
        found = self.slices.get(gateway)
        return found is not None and now - found[1] <= SLICE_TTL_S


class Sums:
    """The accounts kept at this member. After a start it does not know yet which slices others hold."""

    def __init__(self, overshoot: float = 0.0, slack: float = 0.0) -> None:
        """`overshoot`, `slack`: allowed by the deployment's bound above a quota, as a share and in units."""
        self.overshoot, self.slack = overshoot, slack
        self.accounts: dict[str, Account] = {}

    def account(self, tenant: str, now: float) -> Account | None:
        """A tenant's account, created if missing; None if there are too many."""
        found = self.accounts.get(tenant)
        if found is None and len(self.accounts) < MAX_TENANTS:
            found = self.accounts[tenant] = Account(now)
        return found

    def charge_unheard(self, tenant: str, gateway: str, even: float, seconds: float, now: float) -> None:
        """Takes from a reserve what a gateway may have used beyond its slice while it was not heard.

        `even`: the rate that it may use without a slice, for so many seconds. Meanwhile that rate was lent to
        others, as if the gateway were idle.
        """
        account = self.accounts.get(tenant)
        if account is not None:
            known = account.slices[gateway][0] if account.in_use(gateway, now) else 0.0
            account.level -= max(even - known, 0.0) * seconds

    def record_demand(self, gateway: str, use: Mapping[str, float], now: float) -> None:
        """Records the units that tenants asked a gateway for in its last second."""
        for tenant, asked in use.items():
            account = self.account(tenant, now)
            if account is not None:
                before, at = account.demand.get(gateway, (0.0, now))
                before = before if now - at <= DEMAND_TTL_S else 0.0
                account.demand[gateway] = before + DEMAND_SMOOTHING * (max(asked, 0.0) - before), now

    def restore_slices(self, gateway: str, slices: Mapping[str, float], now: float) -> None:
        """Restores a gateway's slices that were assigned before this member lost its accounts."""
        for tenant, rate in slices.items():
            account = self.account(tenant, now)
            if account is not None and gateway not in account.slices:
                account.slices[gateway] = max(rate, 0.0), now

    def total(self, tenant: str, quota: float, silent: Mapping[str, float], now: float) -> float:
        """The total demand in requests per second; a silent gateway counts for at least its share."""
        account = self.accounts.get(tenant)
        demand = account.demand if account is not None else {}
        whole = sum(
            own for name, (own, at) in demand.items() if now - at <= DEMAND_TTL_S and name not in silent
        )
        away = sum(max(share * quota, demand.get(name, (0.0, 0.0))[0]) for name, share in silent.items())
        return whole + away

    def committed(
        self, account: Account, quota: float, silent: Mapping[str, float], now: float, excluding: str = ""
    ) -> float:
        """The rate that all others may use now: their last slices, and for silent gateways their shares."""
        heard = sum(
            rate
            for name, (rate, _) in account.slices.items()
            if name != excluding and name not in silent and account.in_use(name, now)
        )
        away = sum(
            max(account.slices.get(name, (0.0, 0.0))[0], share * quota)
            for name, share in silent.items()
            if name != excluding
        )
        return heard + away

    def has_slice(self, tenant: str, gateway: str, now: float) -> bool:
        """True if this gateway uses a slice that was assigned here, and not the even one."""
        account = self.accounts.get(tenant)
        return account is not None and account.in_use(gateway, now)

    def tenants_by_gateway(self, now: float) -> dict[str, list[str]]:
        """By gateway, the tenants of which it may still use a slice that was assigned here."""
        found: dict[str, list[str]] = {}
        for tenant, account in self.accounts.items():
            for name in account.slices:
                if account.in_use(name, now):
                    found.setdefault(name, []).append(tenant)
        return found

    def idle_gateways(self, account: Account, division: Division, now: float) -> int:
        """The number of gateways on the even slice: idle, with a part of the burst in their own buckets."""
        others = {name for name in account.slices if account.in_use(name, now)}.union(division.silent)
        return max(division.width - len(others), 0)

    def slice(
        self,
        tenant: str,
        gateway: str,
        quota: float,
        division: Division,
        now: float,
        burst: float = math.inf,
    ) -> float:
        """Assigns a gateway's rate from now on; minimal if its bucket could not hold a whole token."""
        account, even = self.account(tenant, now), division.even(quota)
        if account is None or quota <= 0:
            return even
        own = account.demand.get(gateway, (0.0, now))[0]
        total = max(self.total(tenant, quota, division.silent, now), own)
        rate = slice_of(own, total, quota, max(division.width, 1), HEADROOM_SHARE)
        if division.settling:  # older slices may be in use, and no demand is known yet
            rate = even
        rate = min(rate, quota - self.committed(account, quota, division.silent, now, gateway))
        if burst * rate < quota:  # left to the reserve, which lends it to the gateway that asks first
            rate = 0.0
        # rounded as it is sent: traffic between zones is expensive
        rate = float(f"{max(rate, MIN_SLICE_SHARE * even):.4g}")
        account.slices[gateway] = rate, now
        return rate

    def lend(
        self,
        tenant: str,
        asked: float,
        quota: float,
        burst: float,
        division: Division,
        now: float,
        exact: bool = False,
    ) -> float:
        """Lends whole units out of the quota that slices leave and a part of the allowed overshoot.

        `exact`: lends nothing of the overshoot above the quota.
        """
        account = self.account(tenant, now)
        if account is None or quota <= 0:
            return 0.0
        even = division.even(quota)
        free = max(quota - self.committed(account, quota, division.silent, now), 0.0)
        if division.settling or division.width <= 1:
            free = 0.0  # not known yet; or the only gateway has the whole quota as its slice
        above = 0.0 if exact else self.overshoot * (BURST_WINDOW_S * quota + burst) + self.slack
        if not account.begun:
            account.begun, account.level = True, RESERVE_INITIAL_SHARE * above
        # buckets that cannot hold a whole token admit nothing by themselves
        idle = self.idle_gateways(account, division, now) if burst >= division.width else 0
        depth = burst * max(free - even * idle, 0.0) / quota + RESERVE_DEPTH_SHARE * above
        flow = free + RESERVE_REFILL_SHARE * above / BURST_WINDOW_S
        level = min(account.level + flow * max(now - account.stamp, 0.0), depth)
        lent = float(max(min(int(level + 1e-9), int(asked)), 0))
        account.level, account.stamp = level - lent, now
        return lent

    def forget(self, now: float) -> None:
        """Drops expired demand, slices and accounts."""
        for tenant, account in list(self.accounts.items()):
            for known, most in ((account.demand, 2 * DEMAND_TTL_S), (account.slices, 60.0)):
                for name, (_, at) in list(known.items()):
                    if now - at > most:
                        del known[name]
            if not account.demand and not account.slices and now - account.stamp > 60.0:
                del self.accounts[tenant]
