"""The configuration compiled for the data plane: routes, API keys and quotas."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from embersill.edge.configuration.document import Document, Route, read_version
from embersill.edge.configuration.lapses import Slowed
from embersill.edge.configuration.policy import BUILT_IN_POLICY, Policy
from embersill.interface import Plan, Repeats, RequestClass, Scope, Settings

PUBLIC = ""  # the plan of requests without an API key; it has no quota
MIN_RATE_PER_S = 1e-6  # used instead of 0, which would mean no limit
LATE_VALUE_SHARE = 0.5  # of a request's value that remains after its target latency


@dataclass(frozen=True, slots=True)
class CompiledRoute:
    """One route, ready for use. `shares`: services, each with the end of its interval within 0 to 1."""

    name: str
    prefix: str
    public: bool
    timeout: float
    shares: tuple[tuple[str, float], ...]

    def service(self, draw: float) -> str:
        """The service for a random number from 0 to 1."""
        return next((service for service, end in self.shares if draw < end), self.shares[-1][0])


def compile_route(name: str, route: Route) -> CompiledRoute:
    """Prepares a route of the configuration for use."""
    split = route.get("weighted_split") or [{"service": route.get("service", ""), "weight": 1.0}]
    total, end = sum(share["weight"] for share in split), 0.0
    shares = []
    for share in split:
        end += share["weight"] / total
        if share["weight"] > 0:
            shares.append((share["service"], end))
    public = route.get("public_access", False)
    return CompiledRoute(name, route["path_prefix"], public, route["timeout_s"], tuple(shares))


class Table:
    """One version of the configuration; immutable once built."""

    def __init__(self, document: Document, slowed_tenants: Mapping[str, Slowed] | None = None) -> None:
        """`slowed_tenants`: limits of slowed tenants, which replace their quotas."""
        self.slowed_tenants: Mapping[str, Slowed] = slowed_tenants or {}
        self.document, self.version = document, read_version(document["version"]) or 0
        self.hosts: dict[str, list[CompiledRoute]] = {}
        for name, route in document["routes"].items():
            self.hosts.setdefault(route["host"].lower(), []).append(compile_route(name, route))
        for compiled_routes in self.hosts.values():
            compiled_routes.sort(key=lambda one: -len(one.prefix))
        tenants = document.get("tenants")
        self.keyed = tenants is not None
        self.keys = {key: name for name, tenant in (tenants or {}).items() for key in tenant["api_keys"]}

    def find(self, host: str, path: str) -> CompiledRoute | None:
        """The route of the host with the longest prefix of the path."""
        name = host.lower()
        if name not in self.hosts:
            name = name.partition(":")[0]
        for one in self.hosts.get(name, ()):
            if path.startswith(one.prefix):
                return one
        return None

    def quota(self, tenant: str) -> tuple[float, float]:
        """Rate and burst over all gateways; a rate of 0 means no limit."""
        step = self.slowed_tenants.get(tenant)
        if step is not None:
            return max(step.rate, MIN_RATE_PER_S), step.burst
        found = self.document.get("tenants", {}).get(tenant)
        if found is None:
            return 0.0, 0.0
        return found.get("rate_per_s", 0.0), found.get("burst_size", 0.0)

    def stopped(self, tenant: str) -> bool:
        """True if none of the tenant's requests may pass."""
        step = self.slowed_tenants.get(tenant)
        return step is not None and step.rate <= 0.0

    def classes(self, most_attempts: int) -> tuple[RequestClass, ...]:
        """The routes as request classes for the decisions."""
        return tuple(
            RequestClass(
                name,
                Repeats.SAFE if route["kind"] == "idempotent" else Repeats.ONCE,
                Scope.ALL,
                0.0,
                route["target_latency_s"],
                route["timeout_s"],
                LATE_VALUE_SHARE,
                1.0,
                False,
                min(route["max_attempts"], most_attempts),
            )
            for name, route in self.document["routes"].items()
        )

    def plans(self) -> tuple[Plan, ...]:
        """One plan per tenant: its quota over all gateways together; 0 means no limit."""
        made = [
            Plan(name, *self.quota(name), 0, 0.0, 0.0, 1.0, 0.0, 0.0)
            for name in self.document.get("tenants", {})
        ]
        return (Plan(PUBLIC, 0.0, 0.0, 0, 0.0, 0.0, 1.0, 0.0, 0.0), *made)


def settings_for(
    table: Table | None,
    *,
    zone: str,
    me: int,
    gateways: int,
    fresh: bool,
    ratio: float,
    slack: float,
    policy: Policy = BUILT_IN_POLICY,
) -> Settings:
    """The settings of the decisions: this table's classes and plans, and a share of the common budgets.

    `fresh`: this is the very first start, at which throttles may begin full. `ratio` and `slack`: the retry
    budget over all gateways. Each gateway has a share of it, and all together stay below it; `policy` may use
    less of it.
    """
    budget, attempts = policy.get("budget_share", 1.0), policy.get("most_attempts", MAX_ATTEMPTS)
    return Settings(
        me=me,
        gateways=gateways,
        classes=table.classes(attempts) if table else (),
        plans=table.plans() if table else (),
        zone=zone,
        list_pushed=True,
        ask_every=1.0,
        counter=True,
        counter_patience=REPORT_WAIT_S,
        counter_price=0.0,
        may_cancel=True,
        may_probe=False,
        second_copies=False,
        max_attempts=1,
        retry_after=True,
        cold_from=0.5,
        max_retry_after=policy.get("advice_s", MAX_RETRY_AFTER_S),
        warm_within=WARM_UP_RAMP_S,
        fall_multiple=3.0,
        overload_for=0.0,
        report_fields=(),
        most_units=0.0,
        settles=False,
        late_at=LATE_AT_SHARE,
        max_saved_retries=slack * SLACK_SHARE * budget / gateways,
        retry_share=ratio * RATIO_SHARE * budget,
        count_all_customers=True,
        initial_fill=1.0 if fresh else 0.0,
    )


MAX_ATTEMPTS = 1 << 16  # of one request, so large that only its route limits it
REPORT_WAIT_S = 0.15  # after a second's demand is reported, within which all have reported theirs
MAX_RETRY_AFTER_S = 0.25  # longest delay given to a refused client: other gateways may have room sooner
WARM_UP_RAMP_S = 3.0  # before the end of warm-up, over which a backend's speed is taken to rise evenly
LATE_AT_SHARE = 0.8  # of the target latency: with reported load, a short queue is no sign of overload
SLACK_SHARE, RATIO_SHARE = 0.6, 0.7  # shares of the retry budget that gateways use
