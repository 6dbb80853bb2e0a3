"""Names the limit because of which a request was refused: the one with the longest wait. No I/O."""

from __future__ import annotations

from embersill.throttle import Throttle
from embersill.work import EPS

BACKENDS = "backends"  # not a limit of the customer: the backends' limits, or no time left


def limiting_factor(throttle: Throttle | None, units: float) -> str:
    """The limit with the longest wait for a request of so many units: "ceiling", "quota" or "backends"."""
    if throttle is None:
        return BACKENDS
    plan, waits = throttle.plan, {BACKENDS: EPS}
    if plan.ceiling_rate > 0:
        waits["ceiling"] = (units - throttle.cap) / throttle.cap_rate
    if plan.rate > 0:
        waits["quota"] = (min(units, throttle.bank) - throttle.level) / throttle.rate
    return max(waits, key=lambda name: waits[name])
