"""Why a request was refused, in few words: which limit it would have waited for the longest. No I/O."""

from __future__ import annotations

from embersill.throttle import Throttle
from embersill.work import EPS

BACKENDS = "backends"  # no limit of the customer: the backends' limits, or no time left


def lacking(throttle: Throttle | None, units: float) -> str:
    """ "ceiling", "quota" or "backends": what a request of so many units would wait for the longest."""
    if throttle is None:
        return BACKENDS
    plan, waits = throttle.plan, {BACKENDS: EPS}
    if plan.ceiling_rate > 0:
        waits["ceiling"] = (units - throttle.cap) / throttle.cap_rate
    if plan.rate > 0:
        waits["quota"] = (min(units, throttle.bank) - throttle.level) / throttle.rate
    return max(waits, key=lambda name: waits[name])
