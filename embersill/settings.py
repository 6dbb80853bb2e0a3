"""Reads the settings object, which the adapter gets over its wire and the gateway from its file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from embersill.interface import Plan, Repeats, RequestClass, Scope, Settings, Status

REPEATS = {"repeatable": Repeats.SAFE, "by_key": Repeats.BY_KEY, "once": Repeats.ONCE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}
STATUSES = {"SERVING": Status.SERVING, "DRAINING": Status.DRAINING, "DELETED": Status.GONE}


def take(source: dict[str, Any], key: str) -> Any:
    """The value of a key; ValueError if it is missing."""
    if not isinstance(source, dict) or key not in source:
        raise ValueError(f"settings: missing key {key}")
    return source[key]


def read_settings(env: dict[str, Any]) -> Settings:
    """Reads all settings of a gateway; ValueError names a key that is missing or has a wrong value."""
    limits, rules, domain = take(env, "limits"), take(env, "rules"), take(env, "domain")

    def number(source: dict[str, Any], key: str) -> float:
        value = take(source, key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f"settings: {key} is not a number")
        return float(value)

    def seconds(source: dict[str, Any], key: str) -> float:
        return number(source, key) / 1000.0

    def named(table: dict[str, Any], source: dict[str, Any], key: str) -> Any:
        value = take(source, key)
        if value not in table:
            raise ValueError(f"settings: {key} has an unknown value {value!r}")
        return table[value]

    classes = tuple(
        RequestClass(
            name=take(c, "name"),
            repeats=named(REPEATS, c, "semantics"),
            scope=named(SCOPES, c, "dedup_scope"),
            memory=seconds(c, "memory_span"),
            aim=seconds(c, "aim"),
            deadline=seconds(c, "deadline"),
            late_share=number(c, "late_share"),
            worth=number(c, "credit"),
            stream=bool(take(c, "stream")),
        )
        for c in take(env, "services")
    )
    plans = tuple(
        Plan(
            name=take(p, "name"),
            rate=number(p, "units_per_s"),
            burst=number(p, "peak_units"),
            concurrency=int(number(p, "concurrency")),
            ceiling_rate=number(p, "hard_rate"),
            ceiling_depth=number(p, "cap_depth"),
            worth_factor=number(p, "value_factor"),
            beyond_worth=number(p, "extra_worth"),
            beyond_cost=number(p, "overrun_cost"),
        )
        for p in take(env, "packages")
    )
    return Settings(
        me=int(number(env, "me")),
        gateways=int(number(env, "balancers")),
        classes=classes,
        plans=plans,
        zone=take(env, "zone"),
        list_pushed=take(env, "membership_mode") == "pushed",
        ask_every=seconds(rules, "ask_every"),
        counter=bool(take(domain, "counter")),
        counter_patience=seconds(domain, "count_limit"),
        counter_price=number(domain, "count_fee"),
        may_cancel=bool(take(limits, "cancel")),
        may_probe=bool(take(limits, "may_probe")),
        second_copies=bool(take(limits, "second_copies")),
        max_attempts=int(number(limits, "max_attempts")),
        retry_after=bool(take(limits, "retry_after")),
        max_retry_after=seconds(limits, "max_retry_after"),
        cold_from=number(rules, "cold_from"),
        warm_within=seconds(rules, "warm_within"),
        fall_multiple=number(rules, "fall_multiple"),
        overload_for=seconds(rules, "overload_for"),
        report_fields=tuple(take(take(env, "report"), "fields")),
        most_units=number(domain, "max_units"),
        settles=bool(take(domain, "post_paid")),
    )


@dataclass(frozen=True, slots=True)
class Limits:
    """The settings of connections, in seconds: the network code needs them, the decision logic doesn't."""

    dial_timeout: float
    keepalive: float


def read_limits(env: dict[str, Any]) -> Limits:
    """Reads the settings of connections; ValueError names a key that is missing or has a wrong value."""
    limits = take(env, "limits")
    dial, keep = float(take(limits, "dial_timeout")), float(take(limits, "keepalive"))
    if dial <= 0 or keep <= 0:
        raise ValueError("settings: dial_timeout and keepalive must be above 0")
    return Limits(dial / 1000.0, keep / 1000.0)
