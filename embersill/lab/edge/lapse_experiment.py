"""Simulated experiment: a lapsed tenant is slowed down step by step; what do it and all other tenants get?

The system is simulated twice with the same seed, with the lapse order and without it. The lapsed tenant has
several groups of callers; the results of each gateway, zone, route and group in a step are compared.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from statistics import pstdev

from embersill.edge.configuration.lapses import Slowed, lapses_of
from embersill.lab.edge.fleet import Machine, change
from embersill.lab.edge.system_simulation import (
    CLIENT_TIMEOUT_S,
    QUOTA_WINDOW_S,
    Gateway,
    RequestRecord,
    SystemSimulation,
    quantile,
    served_durations,
    served_share,
    system_with_tenants,
    worth,
)

LAPSED_TENANT, OTHER_TENANTS = "lapsed", ("dispatch", "ferries", "pharmacy")
LAPSED_RATE_PER_S, OTHER_RATE_PER_S = 40.0, 8.0  # per gateway: the lapsed tenant, each other tenant
LAPSED_QUOTA_PER_S, OTHER_QUOTA_PER_S = 30.0, 16.0  # per gateway; the burst is as large
BACKENDS_PER_GATEWAY = 3
WARMUP_S, STEP_S, RECOVERY_S = 6.0, 12.0, 8.0  # before the order, of each step, after the tenant is restored
STEP_SHARES = 0.5, 0.2, 0.1
SETTLE_TIME_S = 3.0  # from a step's start until tokens accrued before it are used up
POLL_INTERVAL_S = 0.1  # interval at which the step in force is observed
ROUTE_COUNT = 2
FAULTS = (
    "calm",
    "holder killed",
    "gateway cut off",
    "core cut",
    "all killed",
    "quota changed",
    "one gateway",
    "ten lapsed",
    "backends lost",
)
# the one in service; refusal at random; only a smaller burst; only lower priority; a longer delay; a fixed
# equal part for each gateway
SLOWDOWN_METHODS = (
    "tokens by demand",
    "random shedding",
    "shrinking burst",
    "lower priority",
    "delay",
    "even tokens",
)
BASE_DELAY_S = 0.1  # delay of each request, divided by the share: "delay"
MAX_GATEWAYS_FOR_TENFOLD_LOAD = 14  # up to this many gateways, a crowding tenant sends ten times its usual
MIN_SAMPLE_SIZE = 20  # a share of fewer requests means nothing


@dataclass(slots=True)
class LapseRun:
    """One simulated run: all its requests, and when each step took effect."""

    system: SystemSimulation
    step_starts: list[tuple[float, int]] = field(
        default_factory=list
    )  # time and step as first seen; -1: restored
    # gateways that were lost: name, start, end
    outages: list[tuple[str, float, float]] = field(default_factory=list)
    agreed_steps: list[int] = field(default_factory=list)  # steps that the core agreed on, in order

    def window(self, step: int) -> tuple[float, float]:
        """Start and end of the time in which a step had settled; an empty interval if it never had."""
        starts = [start for start, seen_step in self.step_starts if seen_step == step]
        if not starts:
            return math.inf, -math.inf
        later_starts = [start for start, seen_step in self.step_starts if start > starts[0]]
        return starts[0] + SETTLE_TIME_S, min(later_starts, default=self.system.kernel.now)

    def is_undisturbed(self, record: RequestRecord) -> bool:
        """True if the request's gateway was up and settled throughout the request."""
        return not any(
            name == record.gateway and since - CLIENT_TIMEOUT_S <= record.asked_at < until + SETTLE_TIME_S
            for name, since, until in self.outages
        )


class AlternativeGateway(Gateway):
    """A gateway that slows the lapsed tenant by one of the methods that were considered and rejected."""

    method, share = "", 1.0

    def use_method(self, method: str) -> None:
        """Slows the lapsed tenant down by this method from now on."""
        self.method = method
        self.shedding_random = random.Random(f"{self.name}/{method}")
        # each gateway's equal part, for "even tokens"
        self.rate, self.tokens, self.refilled_at = LAPSED_QUOTA_PER_S, LAPSED_QUOTA_PER_S, 0.0

    def set_share(self, share: float) -> None:
        """Sets the share of its rate that the lapsed tenant gets from now on."""
        self.share = share
        if self.method == "lower priority":
            self.decider.attempts.slowed_tenants = {LAPSED_TENANT: Slowed(0.0, 0.0, share - 1.0)}

    def request(
        self, tenant: str, timeout_s: float, route: str = "r0", repeat: bool = False, caller: str = ""
    ) -> RequestRecord | None:
        """Handles a request; the lapsed tenant's is slowed by the alternative method."""
        if tenant != LAPSED_TENANT or self.share >= 1.0 or self.node is None:
            return super().request(tenant, timeout_s, route, repeat, caller)
        now = self.fleet.kernel.now
        if self.method == "delay":
            record = RequestRecord(tenant, self.name, now, caller=caller, route=route)
            delay_s = min(BASE_DELAY_S / self.share, timeout_s / 2)

            def forward() -> None:
                forwarded = Gateway.request(self, tenant, timeout_s - delay_s, route, repeat, caller)
                if forwarded is not None:
                    forwarded.asked_at = now

            self.process.after(delay_s, forward)
            return record
        if self.method == "random shedding" and self.shedding_random.random() > self.share:
            return self.refuse(tenant, route, caller)
        if self.method == "even tokens":
            rate = self.rate * self.share
            self.tokens = min(self.tokens + rate * (now - self.refilled_at), rate)
            self.refilled_at = now
            if self.tokens < 1.0:
                return self.refuse(tenant, route, caller)
            self.tokens -= 1.0
        return super().request(tenant, timeout_s, route, repeat, caller)

    def refuse(self, tenant: str, route: str, caller: str) -> RequestRecord:
        """Refuses a request before any further decision."""
        system, now = self.fleet, self.fleet.kernel.now
        assert isinstance(system, SystemSimulation)
        record = RequestRecord(tenant, self.name, now, now, "refused", True, caller=caller, route=route)
        system.requests.append(record)
        return record


class AlternativeSystem(SystemSimulation):
    """A simulation whose gateways slow the lapsed tenant by an alternative method."""

    machine_type = AlternativeGateway


def send_order(system: SystemSimulation, tenant: str, body: dict[str, object]) -> bool:
    """Sends an operator's order to one gateway after another; True once one acknowledges it."""
    for number in range(40):
        machine = system.machines[number % len(system.machines)]
        verdicts = machine.call("lapse", {"id": tenant, "by": "staff", **body})
        system.run(0.6)
        if verdicts and verdicts[0].status == 200:
            return True
    return False


def add_callers(
    system: SystemSimulation, tenant: str, rate_per_s: float, until: float, crowded: bool = False
) -> None:
    """Adds a tenant's callers: half keep to one gateway each, half pick any.

    With `crowded` all use the same gateway and move on to another one from time to time.
    """
    machines, chance = system.machines, system.kernel.stream(f"places of {tenant}")
    weighted_machines = [machine for n, machine in enumerate(machines) for _ in range(1 + n % 3)]
    if crowded:
        start = system.kernel.now

        def crowded_machine() -> Machine:
            running = [m for m in machines if m.node is not None] or machines
            return running[int((system.kernel.now - start) / 9.0) * 7 % len(running)]

        return system.generate_traffic(
            tenant, rate_per_s, crowded_machine, until, CLIENT_TIMEOUT_S, 1, "crowd", ROUTE_COUNT
        )

    def running_machine(choices: list[Machine]) -> Machine:
        return chance.choice([m for m in choices if m.node is not None] or machines)

    system.generate_traffic(
        tenant,
        rate_per_s / 2,
        lambda: running_machine(weighted_machines),
        until,
        CLIENT_TIMEOUT_S,
        1,
        "new",
        ROUTE_COUNT,
    )
    for number, machine in enumerate(
        machines
    ):  # persistent connections; while their gateway is down they use another
        machine_rate_per_s = rate_per_s / 2 * (1 + number % 3) / sum(1 + n % 3 for n in range(len(machines)))
        system.generate_traffic(
            tenant,
            machine_rate_per_s,
            lambda m=machine: running_machine([m]),  # type: ignore[misc]
            until,
            CLIENT_TIMEOUT_S,
            1,
            f"kept {number}",
            ROUTE_COUNT,
        )
    return None


def simulate(
    gateways: int, fault: str = "calm", seed: int = 1, ordered: bool = True, method: str = SLOWDOWN_METHODS[0]
) -> LapseRun:
    """Simulates a system with a fault; AssertionError if an invariant is violated."""
    quotas = {LAPSED_TENANT: (LAPSED_QUOTA_PER_S * gateways, LAPSED_QUOTA_PER_S * gateways)}
    quotas |= {name: (OTHER_QUOTA_PER_S * gateways, OTHER_QUOTA_PER_S * gateways) for name in OTHER_TENANTS}
    further_tenants = [f"lapsed{n}" for n in range(9)] if fault == "ten lapsed" else []
    quotas |= dict.fromkeys(further_tenants, (2.0 * gateways, 2.0 * gateways))
    system = system_with_tenants(
        seed,
        gateways,
        quotas,
        ROUTE_COUNT,
        BACKENDS_PER_GATEWAY * max(gateways, 5),
        SystemSimulation if method == SLOWDOWN_METHODS[0] else AlternativeSystem,
    )
    lapse_run, start = LapseRun(system), system.kernel.now
    end = start + WARMUP_S + STEP_S * len(STEP_SHARES) + RECOVERY_S
    crowded, load_factor = fault == "one gateway", 10.0 if gateways <= MAX_GATEWAYS_FOR_TENFOLD_LOAD else 3.0
    add_callers(
        system, LAPSED_TENANT, LAPSED_RATE_PER_S * gateways * (load_factor if crowded else 1.0), end, crowded
    )
    for name in OTHER_TENANTS:
        add_callers(system, name, OTHER_RATE_PER_S * gateways, end)
    for name in further_tenants:
        add_callers(system, name, 2.0 * gateways, end)
    system.run(WARMUP_S)
    ladder = [{"share": share, "lasts_s": STEP_S} for share in STEP_SHARES]
    if method != SLOWDOWN_METHODS[0]:
        return simulate_alternative(lapse_run, method, end)
    if ordered:
        for name in (LAPSED_TENANT, *further_tenants):
            assert send_order(
                system, name, {"action": "start", "ladder": ladder}
            ), "the lapse order was not accepted"
    schedule_fault(system, fault, lapse_run)
    while system.kernel.now < end - RECOVERY_S:
        system.run(POLL_INTERVAL_S)
        observe_step(lapse_run)
    if ordered:
        system.quota_bounds.pop(LAPSED_TENANT, None)
        assert send_order(system, LAPSED_TENANT, {"action": "restore"}), "the restore order was not accepted"
    observe_step(lapse_run)
    system.run(max(end - system.kernel.now, 0.0) + CLIENT_TIMEOUT_S + 1.0)
    lapse_run.agreed_steps = [
        orders[LAPSED_TENANT]["step"]
        for _, orders in sorted(system.lapse_orders.items())
        if LAPSED_TENANT in orders
    ]
    return lapse_run


def simulate_alternative(lapse_run: LapseRun, method: str, end: float) -> LapseRun:
    """Applies the same steps by an alternative method; exceeding a step's rate is only recorded."""
    system = lapse_run.system
    system.fail_on_violation = False
    gateways = [machine for machine in system.machines if isinstance(machine, AlternativeGateway)]
    for machine in gateways:
        machine.use_method(method)
    quota_per_s = LAPSED_QUOTA_PER_S * len(gateways)
    for step, share in enumerate(STEP_SHARES):
        lapse_run.step_starts.append((system.kernel.now, step))
        for machine in gateways:
            machine.set_share(share)
        if method == "shrinking burst":
            change_quota(system, burst_factor=share)
        system.quota_bounds.pop(LAPSED_TENANT, None)
        system.run(QUOTA_WINDOW_S)
        system.enforce_quota(LAPSED_TENANT, quota_per_s * share, quota_per_s * share)
        system.run(STEP_S - QUOTA_WINDOW_S)
    lapse_run.step_starts.append((system.kernel.now, -1))
    system.quota_bounds.pop(LAPSED_TENANT, None)
    for machine in gateways:
        machine.set_share(1.0)
    system.run(max(end - system.kernel.now, 0.0) + CLIENT_TIMEOUT_S + 1.0)
    return lapse_run


def observe_step(lapse_run: LapseRun) -> None:
    """Records a step seen for the first time; enforces its quota once a quota window has passed."""
    system = lapse_run.system
    orders_by_gateway = [lapses_of(m.node.state)["orders"] for m in system.machines if m.node is not None]
    orders = max(
        (entry for entry in orders_by_gateway if LAPSED_TENANT in entry),
        key=lambda entry: entry[LAPSED_TENANT]["step"],
        default=None,
    )
    if orders is None:
        return
    order = orders[LAPSED_TENANT]
    step = -1 if order["phase"] == "restored" else order["step"]
    now = system.kernel.now
    if step != (lapse_run.step_starts[-1][1] if lapse_run.step_starts else -1):
        lapse_run.step_starts.append((now, step))
        system.quota_bounds.pop(LAPSED_TENANT, None)
    elif (
        step >= 0
        and LAPSED_TENANT not in system.quota_bounds
        and now - lapse_run.step_starts[-1][0] > QUOTA_WINDOW_S
    ):
        tables = [m.node.table for m in system.machines if m.node is not None and m.node.table is not None]
        slowed_tenants = [
            table.slowed_tenants[LAPSED_TENANT] for table in tables if LAPSED_TENANT in table.slowed_tenants
        ]
        if slowed_tenants:
            system.enforce_quota(
                LAPSED_TENANT,
                max(entry.rate for entry in slowed_tenants),
                max(entry.burst for entry in slowed_tenants),
            )


def schedule_fault(system: SystemSimulation, fault: str, lapse_run: LapseRun) -> None:
    """Schedules the events of a fault, relative to the time of the order."""
    kernel, machines, now = system.kernel, system.machines, system.kernel.now

    def lose(victims: Iterable[Machine], outage_s: float) -> None:
        lost = [m for m in victims if m.node is not None]
        for machine in lost:
            lapse_run.outages.append((machine.name, kernel.now, kernel.now + outage_s))
            machine.kill()
        for machine in lost:
            kernel.at(kernel.now + outage_s, machine.start)

    def holder() -> list[Machine]:
        names = [lapses_of(m.node.state)["holder"] for m in machines if m.node is not None]
        return [system.by_name[name] for name in names if name][:1]

    if fault == "holder killed":  # between decision and notification, or notification and effect
        for strike_at in (STEP_S - 0.02, 2 * STEP_S + 0.3):
            kernel.at(now + strike_at, lambda: lose(holder(), 4.0))
    elif fault == "gateway cut off":  # through two steps
        kernel.at(now + STEP_S / 2, system.cut, {machines[-1].name})
        kernel.at(now + 2.5 * STEP_S, system.heal)
        lapse_run.outages.append((machines[-1].name, now + STEP_S / 2, now + 2.5 * STEP_S))
    elif fault == "core cut":
        kernel.at(now + STEP_S - 0.5, system.cut, {machines[0].name})
        kernel.at(now + STEP_S + 5.0, system.heal)
        lapse_run.outages.append((machines[0].name, now + STEP_S - 0.5, now + STEP_S + 5.0))
    elif fault == "all killed":
        kernel.at(now + 1.5 * STEP_S, lambda: lose(list(machines), 0.6))
    elif fault == "quota changed":
        kernel.at(now + 1.5 * STEP_S, lambda: change_quota(system, 0.5, 0.5))
    elif fault == "backends lost":
        lost = [name for n, name in enumerate(system.backends) if n % 3 == 0]
        kernel.at(now + STEP_S / 2, system.backends_down.update, lost)


def change_quota(system: SystemSimulation, rate_factor: float = 1.0, burst_factor: float = 1.0) -> None:
    """Submits a configuration with the lapsed tenant's quota scaled by these factors."""
    gateway = system.machines[-1]
    assert gateway.node is not None
    state = gateway.node.state
    body = {**change(state["version"] + 1, state["version"], ROUTE_COUNT)}
    body["tenants"] = {name: dict(tenant) for name, tenant in state["document"].get("tenants", {}).items()}
    full_quota_per_s = LAPSED_QUOTA_PER_S * len(system.machines)
    body["tenants"][LAPSED_TENANT] |= {
        "rate_per_s": full_quota_per_s * rate_factor,
        "burst_size": full_quota_per_s * burst_factor,
    }
    gateway.call("PUT", body)


# evaluation


def group_requests(
    requests: list[RequestRecord], key: Callable[[RequestRecord], str]
) -> list[list[RequestRecord]]:
    """Groups requests by a key; groups below the minimum sample size are left out."""
    groups: dict[str, list[RequestRecord]] = {}
    for record in requests:
        groups.setdefault(key(record), []).append(record)
    return [group for group in groups.values() if len(group) >= MIN_SAMPLE_SIZE]


def extreme_deviation(parts: int) -> float:
    """About how many standard errors the extreme of so many samples lies from their mean, at least 2."""
    return max(2.0, math.sqrt(2 * math.log(parts)))


def unevenness(
    requests: list[RequestRecord], key: Callable[[RequestRecord], str], minimum: float = 0.0
) -> float:
    """The largest difference in served share between two groups, beyond what chance explains.

    Chance explains, at either end, as many standard errors of a share as the extremes of so many groups lie
    from their mean, and at least two.
    """
    groups = group_requests(requests, key)
    if len(groups) < 2:
        return minimum
    shares = [(served_share(group), len(group)) for group in groups]
    overall = served_share(requests)
    low, high = min(shares), max(shares)
    error_scale = 1 / math.sqrt(low[1]) + 1 / math.sqrt(high[1])
    expected_by_chance = extreme_deviation(len(groups)) * math.sqrt(overall * (1 - overall)) * error_scale
    return max(high[0] - low[0] - expected_by_chance, minimum)


def median_spread(requests: list[RequestRecord], key: Callable[[RequestRecord], str]) -> float:
    """The largest difference in median latency between two groups, as a fraction of the overall median.

    Only what chance does not explain, as in `unevenness`; the standard error of a median is 1.25 times that
    of a mean.
    """
    overall = served_durations(requests)
    groups = [
        durations
        for durations in map(served_durations, group_requests(requests, key))
        if len(durations) >= MIN_SAMPLE_SIZE
    ]
    medians = sorted((quantile(durations, 0.5), len(durations)) for durations in groups)
    if len(medians) < 2:
        return 0.0
    error_scale = 1 / math.sqrt(medians[0][1]) + 1 / math.sqrt(medians[-1][1])
    expected_by_chance = extreme_deviation(len(groups)) * 1.25 * pstdev(overall) * error_scale
    return max(medians[-1][0] - medians[0][0] - expected_by_chance, 0.0) / quantile(overall, 0.5)


def used_allowance(lapse_run: LapseRun) -> float:
    """What the lapsed tenant was served in settled steps, as a fraction of what the steps allow."""
    served = allowed = 0.0
    for step, share in enumerate(STEP_SHARES):
        since, until = lapse_run.window(step)
        if until > since:
            allowed += LAPSED_QUOTA_PER_S * len(lapse_run.system.machines) * share * (until - since)
            served += sum(
                record.tenant == LAPSED_TENANT and record.end == "served" and since <= record.asked_at < until
                for record in lapse_run.system.requests
            )
    return served / max(allowed, 1e-9)


def compare_runs(lapse_run: LapseRun, baseline: LapseRun) -> dict[str, float]:
    """The figures of a run, compared with a baseline run without the order."""
    system = lapse_run.system
    undisturbed = [record for record in system.requests if lapse_run.is_undisturbed(record)]
    figures = dict.fromkeys(
        (
            "evenness",
            "evenness_raw",
            "evenness_zones",
            "evenness_routes",
            "evenness_callers",
            "wait_p50_spread",
        ),
        0.0,
    )
    for step in range(len(STEP_SHARES)):
        since, until = lapse_run.window(step)
        inside = [
            record
            for record in undisturbed
            if record.tenant == LAPSED_TENANT and since <= record.asked_at < until - CLIENT_TIMEOUT_S
        ]
        groups = group_requests(inside, lambda record: record.gateway)
        largest_difference = (
            max(map(served_share, groups)) - min(map(served_share, groups)) if groups else 0.0
        )
        zone = {machine.name: machine.zone for machine in system.machines}
        for name, value in (
            ("evenness", unevenness(inside, lambda record: record.gateway)),
            ("evenness_raw", largest_difference),
            ("evenness_zones", unevenness(inside, lambda record, zone=zone: zone[record.gateway])),  # type: ignore[misc]
            ("evenness_routes", unevenness(inside, lambda record: record.route)),
            ("evenness_callers", unevenness(inside, lambda record: record.caller.partition(" ")[0])),
            ("wait_p50_spread", median_spread(inside, lambda record: record.gateway)),
        ):
            figures[name] = max(figures[name], value)
    others = [
        [
            record
            for record in compared_run.system.requests
            if record.tenant in OTHER_TENANTS and lapse_run.is_undisturbed(record)
        ]
        for compared_run in (lapse_run, baseline)
    ]
    figures["others_worth_ratio"] = worth(others[0]) / max(worth(others[1]), 1e-9)
    figures["others_p99_ratio"] = quantile(served_durations(others[0]), 0.99) / max(
        quantile(served_durations(others[1]), 0.99), 1e-9
    )
    figures["lost"] = sum(not record.end or record.end == "failed" for record in undisturbed)
    figures["doubled"] = sum(record.runs > 1 for record in system.requests)
    agreed_steps = lapse_run.agreed_steps
    figures["steps_skipped"] = sum(
        after - before > 1 for before, after in zip(agreed_steps, agreed_steps[1:], strict=False)
    )
    downward_steps = [
        step
        for step, before in zip(agreed_steps[1:], agreed_steps, strict=False)
        if step != before and step >= 0
    ]
    figures["steps_repeated"] = len(downward_steps) - len(set(downward_steps))
    figures["steps_taken"] = len(set(downward_steps))
    figures["overshoot"] = system.peak_quota_usage.get(LAPSED_TENANT, 0.0)
    figures["passed"] = used_allowance(lapse_run)
    return {name: round(figure, 4) for name, figure in figures.items()}
