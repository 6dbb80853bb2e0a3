"""A tenant's demand over all gateways, summed without a store by gateways that the ring names.

Each gateway tells once a second what its tenants with new use asked for. What is summed is the last word of
each gateway, so no clocks have to agree. One that is cut off goes on by its even slice, so that much is
reserved for it: the others' slices and its own never add up to more than the quota.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

FRESH = 1.6  # seconds that a word stands: told each second, one may come late
MOST_TENANTS = 20000
WINDOW = 5.0  # seconds over which what is above a quota is spread


RESERVE_DEPTH = 0.35  # of what the bound allows above a quota, that a reserve may hold
RESERVE_FLOW = 0.25  # and that may flow into it in a window


class Reserve:
    """What a tenant's slices leave of its quota, lent unit by unit to gateways whose slice is too thin.

    Slices take the demand and a part of the room under the quota; the rest of the room flows in here, with a
    part of what the bound allows on top. It begins empty, and is at one gateway only: two would lend twice.
    """

    def __init__(self) -> None:
        self.levels: dict[str, tuple[float, float]] = {}  # tenant: units, when

    def lend(self, tenant: str, asked: float, rate: float, burst: float, total: float, room_part: float,
             slack: float, now: float) -> float:
        """Whole units of those asked for. `total`: the demand; `slack`: units that the bound allows above."""
        free = max(rate - total, 0.0) * (1.0 - room_part)
        depth = burst * free / rate + RESERVE_DEPTH * slack if rate > 0 else 0.0
        level, stamp = self.levels.get(tenant, (0.0, now))
        flow = free + RESERVE_FLOW * slack / WINDOW
        level = min(level + flow * max(now - stamp, 0.0), depth)
        lent = float(max(min(int(level + 1e-9), int(asked)), 0))
        self.levels[tenant] = level - lent, now
        return lent


class Sums:
    def __init__(self) -> None:
        self.told: dict[str, dict[str, tuple[float, float]]] = {}  # tenant, gateway: requests a second, when

    def tell(self, gateway: str, use: Mapping[str, float], now: float) -> None:
        for tenant, asked in use.items():
            if tenant in self.told or len(self.told) < MOST_TENANTS:
                self.told.setdefault(tenant, {})[gateway] = (asked, now)

    def total(self, tenant: str, quota: float, gateways: int, silent: Iterable[str], now: float) -> float:
        """Requests a second asked for, where a silent gateway counts for its even slice at least."""
        words = self.told.get(tenant, {})
        away = set(silent)
        whole = sum(asked for name, (asked, at) in words.items() if now - at <= FRESH and name not in away)
        even = quota / max(gateways, 1)
        for name in away:
            asked, at = words.get(name, (0.0, -FRESH))
            whole += max(even, asked if now - at <= 2 * FRESH else 0.0)
        return whole

    def forget(self, now: float) -> None:
        """Drops words that stand no more."""
        for tenant, words in list(self.told.items()):
            for name, (_, at) in list(words.items()):
                if now - at > 2 * FRESH:
                    del words[name]
            if not words:
                del self.told[tenant]


