"""The configuration as the data plane asks it: a request's route, whose key it carries, what is allowed."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from embersill.edge.configuration.document import Document, Route, read_version
from embersill.edge.configuration.lapses import Slowed
from embersill.edge.configuration.policy import AS_BUILT, Policy
from embersill.interface import Plan, Repeats, RequestClass, Scope, Settings

PUBLIC = ""  # the plan of requests that carry no key: without a quota
LEAST_RATE = 1e-6  # requests a second, in the place of none: a rate of nought would be no limit
LATE_SHARE = 0.5  # of a request's worth that is left after its aim, as far as a gateway can know


@dataclass(frozen=True, slots=True)
class Way:
    """One route, ready for use. `shares`: services, each with the end of its part of 0 to 1."""

    name: str
    prefix: str
    public: bool
    timeout: float
    shares: tuple[tuple[str, float], ...]

    def service(self, draw: float) -> str:
        """The service for a draw from 0 to 1."""
        return next((service for service, end in self.shares if draw < end), self.shares[-1][0])


def way(name: str, route: Route) -> Way:
    """A route of the configuration, ready to be followed."""
    split = route.get("weighted_split") or [{"service": route.get("service", ""), "weight": 1.0}]
    whole, end = sum(share["weight"] for share in split), 0.0
    shares = []
    for share in split:
        end += share["weight"] / whole
        if share["weight"] > 0:
            shares.append((share["service"], end))
    public = route.get("public_access", False)
    return Way(name, route["path_prefix"], public, route["timeout_s"], tuple(shares))


class Table:
    """One version of the configuration. It is made whole before it is used, and never changed."""

    def __init__(self, document: Document, squeezed: Mapping[str, Slowed] | None = None) -> None:
        """`squeezed`: rate and burst of tenants that are slowed down, in the place of their quotas."""
        self.squeezed: Mapping[str, Slowed] = squeezed or {}
        self.document, self.version = document, read_version(document["version"]) or 0
        self.hosts: dict[str, list[Way]] = {}
        for name, route in document["routes"].items():
            self.hosts.setdefault(route["host"].lower(), []).append(way(name, route))
        for ways in self.hosts.values():
            ways.sort(key=lambda one: -len(one.prefix))
        tenants = document.get("tenants")
        self.keyed = tenants is not None
        self.keys = {key: name for name, tenant in (tenants or {}).items() for key in tenant["api_keys"]}

    def find(self, host: str, path: str) -> Way | None:
        """The route of that host with the longest prefix that begins the path."""
        name = host.lower()
        if name not in self.hosts:
            name = name.partition(":")[0]
        for one in self.hosts.get(name, ()):
            if path.startswith(one.prefix):
                return one
        return None

    def quota(self, tenant: str) -> tuple[float, float]:
        """Rate and burst over all gateways; a rate of nought is no limit."""
        step = self.squeezed.get(tenant)
        if step is not None:
            return max(step.rate, LEAST_RATE), step.burst
        found = self.document.get("tenants", {}).get(tenant)
        if found is None:
            return 0.0, 0.0
        return found.get("rate_per_s", 0.0), found.get("burst_size", 0.0)

    def stopped(self, tenant: str) -> bool:
        """True if none of its requests may pass."""
        step = self.squeezed.get(tenant)
        return step is not None and step.rate <= 0.0

    def classes(self, most_attempts: int) -> tuple[RequestClass, ...]:
        """The routes as kinds of request for the decisions."""
        return tuple(
            RequestClass(
                name,
                Repeats.SAFE if route["kind"] == "idempotent" else Repeats.ONCE,
                Scope.ALL,
                0.0,
                route["target_latency_s"],
                route["timeout_s"],
                LATE_SHARE,
                1.0,
                False,
                min(route["max_attempts"], most_attempts),
            )
            for name, route in self.document["routes"].items()
        )

    def plans(self) -> tuple[Plan, ...]:
        """A plan a tenant: its quota over all gateways together; nought is no limit."""
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
    policy: Policy = AS_BUILT,
) -> Settings:
    """What the decisions go by: this table's classes and plans, and the parts of what all gateways share.

    `fresh`: the very first start, from which throttles may begin full. `ratio` and `slack`: the budget of
    further attempts over all gateways, of which each has a part, and all together stay below it; `policy` may
    use less of it.
    """
    budget, attempts = policy.get("budget_share", 1.0), policy.get("most_attempts", MOST_ATTEMPTS)
    return Settings(
        me=me,
        gateways=gateways,
        classes=table.classes(attempts) if table else (),
        plans=table.plans() if table else (),
        zone=zone,
        list_pushed=True,
        ask_every=1.0,
        counter=True,
        counter_patience=READ_AFTER,
        counter_price=0.0,
        may_cancel=True,
        may_probe=False,
        second_copies=False,
        max_attempts=1,
        retry_after=True,
        cold_from=0.5,
        max_retry_after=policy.get("advice_s", MOST_ADVICE),
        warm_within=WARM_WITHIN,
        fall_multiple=3.0,
        overload_for=0.0,
        report_fields=(),
        most_units=0.0,
        settles=False,
        late_at=LATE_AT,
        max_saved_retries=slack * SLACK_PART * budget / gateways,
        retry_share=ratio * RATIO_PART * budget,
        count_all_customers=True,
        initial_fill=1.0 if fresh else 0.0,
    )


MOST_ATTEMPTS = 1 << 16  # of one try, where no policy says less than its route
READ_AFTER = 0.15  # seconds after the second's demand is told in which all have told theirs
MOST_ADVICE = 0.25  # seconds after which a refused client is told to come back, at most: others may have room
WARM_WITHIN = 3.0  # seconds before its warm-up's end in which a backend is taken to quicken evenly
LATE_AT = 0.8  # of the aim: where load is told, a short queue is no sign of too much of it
SLACK_PART, RATIO_PART = 0.6, 0.7  # of the budget of further attempts that gateways count on
