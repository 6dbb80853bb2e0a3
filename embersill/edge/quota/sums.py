"""A tenant's demand over all gateways, summed without a store, and what each gets of the quota for it.

One member of the core, which the ring names, sums a tenant's demand. Each gateway tells it once a second
what the tenant asked for there, and is told its slice: the design's, its own demand and a split of the room,
or the quota times its part. What others hold by their last slices is not given a second time, whoever asks
first: so no clocks have to agree, and slices, reserve and what silent gateways take are the quota at most.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from embersill.throttle import slice_of

BLEND = 0.5  # weight of the last second in a gateway's smoothed demand
FRESH = 1.6  # seconds that a word stands: told each second, one may come late
GRACE = 0.8  # seconds after a start in which gateways link and say which slices they still use
HELD = 2.6  # seconds that a slice may be used after it was told, and a little for its way
LEAST_SLICE = 0.02  # of the even slice that is always given, so that a tenant that moves can be heard of
ROOM_PART = 0.35  # of the room under a quota that slices split; the rest flows into the reserve
RESERVE_DEPTH = 0.35  # of what the bound allows above a quota, that a reserve may hold
RESERVE_FLOW = 0.2  # and that may flow into it in a window
RESERVE_START = 0.2  # and with which it begins: two starts in a window stay within the bound with these
WINDOW = 5.0  # seconds over which what is above a quota is spread
MOST_TENANTS = 20000


class Account:
    """One tenant's: demand and slice by gateway, and the reserve that slices leave."""

    def __init__(self, now: float) -> None:
        self.demand: dict[str, tuple[float, float]] = {}  # gateway: smoothed requests a second, when
        self.slices: dict[str, tuple[float, float]] = {}  # gateway: rate, when
        self.level, self.stamp = 0.0, now  # of the reserve
        self.begun = False  # it has been given what it starts with

    def uses(self, gateway: str, now: float) -> bool:
        """True if a slice that this gateway was told may still be used there."""
        found = self.slices.get(gateway)
        return found is not None and now - found[1] <= HELD


class Sums:
    """The accounts that are kept here. A gateway that has just started doesn't know what others hold."""

    def __init__(self, now: float, overshoot: float = 0.0, slack: float = 0.0) -> None:
        """`overshoot`, `slack`: what the deployment's bound allows above a quota, as a part and in units."""
        self.born, self.overshoot, self.slack = now, overshoot, slack
        self.accounts: dict[str, Account] = {}

    def account(self, tenant: str, now: float) -> Account | None:
        """A tenant's account; None if there are too many."""
        found = self.accounts.get(tenant)
        if found is None and len(self.accounts) < MOST_TENANTS:
            found = self.accounts[tenant] = Account(now)
        return found

    def tell(self, gateway: str, use: Mapping[str, float], now: float) -> None:
        """What tenants asked of a gateway in its last second."""
        for tenant, asked in use.items():
            account = self.account(tenant, now)
            if account is not None:
                before, at = account.demand.get(gateway, (0.0, now))
                before = before if now - at <= FRESH else 0.0
                account.demand[gateway] = before + BLEND * (max(asked, 0.0) - before), now

    def holds(self, gateway: str, slices: Mapping[str, float], now: float) -> None:
        """A gateway's slices of before, from a life of this account that is lost."""
        for tenant, rate in slices.items():
            account = self.account(tenant, now)
            if account is not None and gateway not in account.slices:
                account.slices[gateway] = max(rate, 0.0), now

    def total(self, tenant: str, even: float, silent: Iterable[str], now: float) -> float:
        """Requests a second asked for, where a silent gateway counts for its even slice at least."""
        account, away = self.accounts.get(tenant), set(silent)
        demand = account.demand if account is not None else {}
        whole = sum(own for name, (own, at) in demand.items() if now - at <= FRESH and name not in away)
        return whole + sum(max(even, demand.get(name, (0.0, 0.0))[0]) for name in away)

    def held(self, account: Account, even: float, silent: Iterable[str], now: float, but: str = "") -> float:
        """What all others may use now: their last slices; silent gateways go on by the even one."""
        away = set(silent) - {but}
        held = sum(
            max(rate, even if name in away else 0.0)
            for name, (rate, _) in account.slices.items()
            if name != but and (name in away or account.uses(name, now))
        )
        return held + even * len(away - account.slices.keys())

    def told(self, tenant: str, gateway: str, now: float) -> bool:
        """True if this gateway goes by a slice that was told here, and not by the even one."""
        account = self.accounts.get(tenant)
        return account is not None and account.uses(gateway, now)

    def goes_by(self, now: float) -> dict[str, list[str]]:
        """By gateway, the tenants whose slices it was told here and may still use."""
        found: dict[str, list[str]] = {}
        for tenant, account in self.accounts.items():
            for name in account.slices:
                if account.uses(name, now):
                    found.setdefault(name, []).append(tenant)
        return found

    def untold(self, account: Account, gateways: int, silent: list[str], now: float) -> int:
        """Gateways that go by the even slice: idle as yet, with a part of the burst in their own banks."""
        others = {name for name in account.slices if account.uses(name, now)}.union(silent)
        return max(gateways - len(others), 0)

    def slice(
        self,
        tenant: str,
        gateway: str,
        quota: float,
        gateways: int,
        silent: list[str],
        now: float,
        burst: float = math.inf,
    ) -> float:
        """The rate that a gateway has from now on; hardly any where its bank could not hold a token."""
        account, even = self.account(tenant, now), quota / max(gateways, 1)
        if account is None or quota <= 0:
            return even
        own = account.demand.get(gateway, (0.0, now))[0]
        total = max(self.total(tenant, even, silent, now), own)
        rate = slice_of(own, total, quota, max(gateways, 1), ROOM_PART)
        if now - self.born < GRACE:  # what was told before may still be used, and no demand is known as yet
            rate = even
        rate = min(rate, quota - self.held(account, even, silent, now, gateway))
        if burst * rate < quota:  # the reserve has it for whoever asks first
            rate = 0.0
        rate = float(f"{max(rate, LEAST_SLICE * even):.4g}")  # as it is told: links between zones are dear
        account.slices[gateway] = rate, now
        return rate

    def lend(
        self,
        tenant: str,
        asked: float,
        quota: float,
        burst: float,
        gateways: int,
        silent: list[str],
        now: float,
        exact: bool = False,
    ) -> float:
        """Whole units of those asked for, from what slices leave and a part of what the bound allows.

        `exact`: nothing of what the bound allows above a quota.
        """
        account = self.account(tenant, now)
        if account is None or quota <= 0:
            return 0.0
        even = quota / max(gateways, 1)
        free = max(quota - self.held(account, even, silent, now), 0.0) if now - self.born >= GRACE else 0.0
        if gateways <= 1:
            free = 0.0  # the one that borrows has the whole quota by itself
        above = 0.0 if exact else self.overshoot * (WINDOW * quota + burst) + self.slack
        if not account.begun:
            account.begun, account.level = True, RESERVE_START * above
        # where banks can hold no token they let none go by themselves
        idle = self.untold(account, gateways, silent, now) if burst >= gateways else 0
        depth = burst * max(free - even * idle, 0.0) / quota + RESERVE_DEPTH * above
        flow = free + RESERVE_FLOW * above / WINDOW
        level = min(account.level + flow * max(now - account.stamp, 0.0), depth)
        lent = float(max(min(int(level + 1e-9), int(asked)), 0))
        account.level, account.stamp = level - lent, now
        return lent

    def forget(self, now: float) -> None:
        """Drops what stands no more."""
        for tenant, account in list(self.accounts.items()):
            for known, most in ((account.demand, 2 * FRESH), (account.slices, 60.0)):
                for name, (_, at) in list(known.items()):
                    if now - at > most:
                        del known[name]
            if not account.demand and not account.slices and now - account.stamp > 60.0:
                del self.accounts[tenant]
