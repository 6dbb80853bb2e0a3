"""Settings of test deployments, in the platform's format."""

from __future__ import annotations

from typing import Any

from embersill.interface import Repeats, Settings
from embersill.settings import read_settings


def settings_object(gateways: int) -> dict[str, Any]:
    """Settings document of one of `gateways` gateways: three classes, and three plans, one with a ceiling."""

    def plan(name: str, rate: float, burst: float, ceiling_rate: float, depth: float) -> dict[str, Any]:
        return {
            "name": name,
            "units_per_s": rate,
            "peak_units": burst,
            "concurrency": 0,
            "hard_rate": ceiling_rate,
            "cap_depth": depth,
            "value_factor": 1.0,
            "extra_worth": 0.0,
            "overrun_cost": 1.0,
        }

    def service(name: str, semantics: str, scope: str, target_ms: float) -> dict[str, Any]:
        return {
            "name": name,
            "semantics": semantics,
            "dedup_scope": scope,
            "memory_span": 5000.0,
            "aim": target_ms,
            "deadline": 4 * target_ms,
            "late_share": 0.2,
            "credit": 3.0,
            "stream": False,
        }

    return {
        "me": 0,
        "balancers": gateways,
        "zone": "z",
        "membership_mode": "pushed",
        "packages": [
            plan("basis", 4.0, 16.0, 0.0, 0.0),
            plan("pro", 12.0, 24.0, 24.0, 48.0),
            plan("free", 0.0, 0.0, 0.0, 0.0),
        ],
        "services": [
            service("lookup", "repeatable", "all", 2000.0),
            service("report", "by_key", "cell", 2000.0),
            service("extract", "once", "all", 3000.0),
        ],
        "rules": {
            "ask_every": 10000.0,
            "cold_from": 0.19,
            "warm_within": 16000.0,
            "fall_multiple": 3.0,
            "overload_for": 3000.0,
        },
        "domain": {
            "counter": True,
            "count_limit": 30.0,
            "count_fee": 0.005,
            "max_units": 8,
            "post_paid": True,
        },
        "limits": {
            "cancel": True,
            "may_probe": False,
            "second_copies": False,
            "max_attempts": 5,
            "retry_after": True,
            "max_retry_after": 2000.0,
            "dial_timeout": 250.0,
            "keepalive": 15000.0,
        },
        "report": {"fields": []},
    }


# what a class allows once an attempt may have run, as the rule checkers name it
RULE_WORDS = {Repeats.SAFE: "safe", Repeats.BY_KEY: "by key", Repeats.ONCE: "once"}


def lab_settings(gateways: int) -> Settings:
    """The same, parsed."""
    return read_settings(settings_object(gateways))
