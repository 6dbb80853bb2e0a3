"""Simulation of the whole system: the control plane of `fleet` plus the gateways' data plane and its traffic.

Each machine runs the production decision code (`Node`, `EdgeGateway`, `QuotaClient`); clients, backends and
the network are simulated. The outcome of every request is recorded, and each tenant's usage is checked
against its quota after every send.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from embersill.edge.configuration.policy import Policy
from embersill.edge.configuration.routes import Table, settings_for
from embersill.edge.dataplane.gateway import EdgeGateway
from embersill.edge.dataplane.in_flight import InFlight
from embersill.edge.dataplane.quota_client import QuotaClient
from embersill.edge.peers.share_table import EPSILON
from embersill.interface import (
    AttemptEnded,
    Backend,
    BackendList,
    Borrow,
    Configured,
    Count,
    Event,
    Fail,
    ListKind,
    Outcome,
    QuotaWidth,
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    Status,
    TimerDue,
)
from embersill.lab.edge.fleet import Fleet, Machine, change

QUOTA_WINDOW_S, QUOTA_OVERSHOOT, QUOTA_SLACK = 5.0, 0.1, 20.0  # as in both reference deployments
RETRY_BUDGET_RATIO, RETRY_BUDGET_SLACK = 0.2, 68.0  # budget for retries
BACKEND_COUNT, SLOTS_PER_BACKEND = 30, 4  # of the single service; requests each runs at once
SERVICE_TIME_S = 0.03, 0.12  # range
CONNECTION_REFUSED_S = 0.002  # time until a connection to a backend that is down is refused
CLIENT_TIMEOUT_S = 2.0  # default
TARGET_LATENCY_S, LATE_WORTH = 0.5, 0.5  # full worth up to this latency; worth after it
DEADLINE_MARGIN_S = 0.1  # a request's deadline is this long before its client's timeout


@dataclass(slots=True)
class RequestRecord:
    """One request: when it arrived, and its outcome."""

    tenant: str
    gateway: str
    asked_at: float
    ended_at: float = 0.0
    end: str = ""  # "served", "refused" or "failed"; empty while in progress
    over_quota: bool = False
    retry_after: float = 0.0
    sends: int = 0
    runs: int = 0  # sends that a backend executed
    caller: str = ""  # group of the tenant's callers that sent it
    route: str = ""


def served_share(requests: list[RequestRecord]) -> float:
    """The fraction of these requests that were served."""
    return sum(record.end == "served" for record in requests) / max(len(requests), 1)


def served_durations(requests: Iterable[RequestRecord]) -> list[float]:
    """Durations of the served requests in seconds, sorted."""
    return sorted(record.ended_at - record.asked_at for record in requests if record.end == "served")


def quantile(ordered: list[float], fraction: float) -> float:
    """A quantile of sorted values; 0 if there are none."""
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def worth(requests: Iterable[RequestRecord]) -> float:
    """Mean worth of requests: 1 if served within the target latency, `LATE_WORTH` if served later, else 0."""
    values = [
        1.0
        if record.end == "served" and record.ended_at - record.asked_at <= TARGET_LATENCY_S
        else LATE_WORTH
        if record.end == "served"
        else 0.0
        for record in requests
    ]
    return sum(values) / max(len(values), 1)


class Gateway(Machine):
    """A machine that also serves requests; requests in progress fail when its process ends."""

    def start_data_plane(self, first_start: bool) -> None:
        """Creates the data plane and connects it to the node."""
        assert self.node is not None
        self.first_start, self.count, self.quota_width = first_start, 1, -1
        self.node.demand.on_holding = lambda: self.decider.slices_in_use(self.fleet.kernel.now)
        self.decider = EdgeGateway(self.settings(), self.fleet.chance.getrandbits(32), self.fleet.kernel.now)
        self.quota_client = QuotaClient(
            self.node, lambda: self.fleet.kernel.now, self.post, self.process.after
        )
        self.quota_client.on_flush = self.carry_out
        self.flights = InFlight(self.node, self.post, self.process.after)
        self.flights.on_flush = self.carry_out
        self.decider.attempts.on_in_flight_change = self.flights.changed
        self.node.on_table = self.on_table
        self.node.on_policy = self.on_policy
        self.node.rollout_runner.counts = self.decider.seen
        sums = self.node.demand.sums
        sums.overshoot, sums.slack = QUOTA_OVERSHOOT, QUOTA_SLACK
        self.events: deque[Event] = deque()
        self.handling = False
        self.open_requests: dict[int, RequestRecord] = {}
        self.sent: dict[int, int] = {}
        assert isinstance(self.fleet, SystemSimulation)
        backends = tuple(
            Backend(name, "abc"[n % 3], name, 0, Status.SERVING, 1.0, None, "s", SLOTS_PER_BACKEND)
            for n, name in enumerate(self.fleet.backends)
        )
        self.post(BackendList(ListKind.CHANGES, backends))

    def settings(self) -> Settings:
        """The gateway settings for the current configuration and number of gateways."""
        assert self.node is not None
        return settings_for(
            self.node.table,
            zone=self.zone,
            me=self.number,
            gateways=self.count,
            fresh=self.first_start,
            ratio=RETRY_BUDGET_RATIO,
            slack=RETRY_BUDGET_SLACK,
            policy=self.node.policy[0],
        )

    def on_table(self, table: Table) -> None:
        """Applies a new configuration."""
        assert self.node is not None
        self.decider.slow(table.slowed_tenants, self.node.slowdown_counts)
        self.post(Configured(self.settings()))

    def on_policy(self, policy: Policy, label: str) -> None:
        """Applies a new policy."""
        self.decider.follow(policy, label)
        self.post(Configured(self.settings()))

    def tick(self) -> None:
        """Runs due timers, those of the data plane too."""
        if self.node is not None:
            self.quota_client.tick()
            if self.node.peers.count != self.count:
                self.count = self.node.peers.count
                self.post(Configured(self.settings()))
            if self.node.quota_share.width != self.quota_width:
                self.quota_width = self.node.quota_share.width
                self.post(QuotaWidth(self.quota_width))
        super().tick()

    def kill(self) -> None:
        """Kills the process; its requests in progress fail."""
        if self.node is not None:
            self.quota_client.close()
            for record in self.open_requests.values():
                record.end, record.ended_at = "failed", self.fleet.kernel.now
            self.open_requests.clear()
        super().kill()

    def request(
        self, tenant: str, timeout_s: float, route: str = "r0", repeat: bool = False, caller: str = ""
    ) -> RequestRecord | None:
        """Sends a client's request to this gateway; None if it accepts none."""
        if self.node is None or self.node.table is None:
            return None
        now, system = self.fleet.kernel.now, self.fleet
        assert isinstance(system, SystemSimulation)
        system.request_count += 1
        record = self.open_requests[system.request_count] = RequestRecord(
            tenant, self.name, now, caller=caller, route=route
        )
        system.requests.append(record)
        if self.node.table.stopped(tenant):  # as the HTTP front end does
            self.finish(system.request_count, "refused")
            return record
        self.post(
            Request(
                system.request_count,
                route,
                tenant,
                tenant,
                now + timeout_s - DEADLINE_MARGIN_S,
                1.0,
                0,
                -1,
                repeat,
                "s",
            )
        )
        self.carry_out()
        return record

    def post(self, event: Event) -> None:
        """Handles events one after another, as the driver does."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.decider.handle(self.events.popleft(), self.fleet.kernel.now):
                self.execute(action)
        self.handling = False

    def execute(self, action: Any) -> None:
        """Executes an action that the gateway decided on."""
        if isinstance(action, SetTimer):
            self.process.after(action.delay, lambda: self.post(TimerDue(action.key)))
        elif isinstance(action, Count):
            self.quota_client.count(action)
        elif isinstance(action, Borrow):
            self.quota_client.borrow(action)
        elif isinstance(action, Send):
            self.send(action)
        elif isinstance(action, Refuse):
            record = self.finish(action.request, "refused")
            if record is not None:
                record.over_quota, record.retry_after = action.over_quota, action.retry_after
        elif isinstance(action, Fail):
            self.finish(action.request, "failed")

    def finish(self, request_id: int, end: str) -> RequestRecord | None:
        """Records the end of a request; None if it had ended before."""
        record = self.open_requests.pop(request_id, None)
        if record is not None:
            record.end, record.ended_at = end, self.fleet.kernel.now
        return record

    def send(self, action: Send) -> None:
        """Simulates an attempt at a backend."""
        system, record = self.fleet, self.open_requests[action.request]
        assert isinstance(system, SystemSimulation)
        attempt, record.sends = record.sends, record.sends + 1
        down = action.backend in system.backends_down
        if not down:
            record.runs += 1
            system.record_run(record.tenant)
        backend, now = system.backends[action.backend], system.kernel.now
        duration_s = (
            CONNECTION_REFUSED_S
            if down
            else self.attempt_duration(action, backend.service_time(now, system.service_time_random))
        )
        outcome = Outcome.NO_CONNECTION if down else self.attempt_outcome(action, attempt)

        def ended() -> None:
            served = outcome is Outcome.SERVED
            if served:
                self.finish(action.request, "served")
            load = () if down else backend.load(system.kernel.now)
            self.post(
                AttemptEnded(action.request, attempt, action.backend, outcome, duration_s, served, 0.0, load)
            )
            self.carry_out()

        self.process.after(duration_s, ended)

    def attempt_duration(self, action: Send, service_time_s: float) -> float:
        """Seconds until the answer to an attempt arrives."""
        return service_time_s

    def attempt_outcome(self, action: Send, attempt: int) -> Outcome:
        """How an attempt at a running backend ends."""
        return Outcome.SERVED


class SimulatedBackend:
    """A backend with a fixed number of slots; further requests wait for a free slot."""

    def __init__(self) -> None:
        self.slot_free_at = [0.0] * SLOTS_PER_BACKEND
        self.in_progress_until: list[float] = []  # end times of requests running or waiting

    def service_time(self, now: float, chance: random.Random) -> float:
        """Admits a request that arrives now; returns the seconds until its answer."""
        ends_at = max(heapq.heappop(self.slot_free_at), now) + chance.uniform(*SERVICE_TIME_S)
        heapq.heappush(self.slot_free_at, ends_at)
        heapq.heappush(self.in_progress_until, ends_at)
        return ends_at - now

    def load(self, now: float) -> tuple[float, float, float]:
        """Running requests, waiting requests and slots, as reported with its answers."""
        while self.in_progress_until and self.in_progress_until[0] <= now:
            heapq.heappop(self.in_progress_until)
        running = min(len(self.in_progress_until), SLOTS_PER_BACKEND)
        return float(running), float(len(self.in_progress_until) - running), float(SLOTS_PER_BACKEND)


class SystemSimulation(Fleet):
    """A fleet of gateways, the traffic of its tenants, and a record of all requests."""

    machine_type = Gateway

    def __init__(
        self,
        seed: int,
        cores: int = 3,
        others: int = 2,
        persistent_disks: bool = True,
        backends: int = BACKEND_COUNT,
    ) -> None:
        self.backends = {f"b{n}": SimulatedBackend() for n in range(backends)}
        self.requests: list[RequestRecord] = []
        self.request_count = 0
        self.backends_down: set[str] = set()
        self.recent_runs: dict[str, deque[float]] = {}
        self.peak_quota_usage: dict[
            str, float
        ] = {}  # by tenant: largest fraction of the bound used in a window
        self.fail_on_violation = True  # exceeding a quota raises AssertionError
        self.quota_bounds: dict[str, float] = {}  # by tenant: runs allowed in a window, if enforced
        self.service_time_random = random.Random(f"{seed}/work")
        super().__init__(seed, cores, others, persistent_disks)

    @property
    def gateways(self) -> list[Gateway]:
        """All machines, as gateways that serve requests."""
        return [machine for machine in self.machines if isinstance(machine, Gateway)]

    def enforce_quota(self, tenant: str, rate: float, burst: float) -> None:
        """Checks the tenant's usage against this quota from now on."""
        self.quota_bounds[tenant] = (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK

    def record_run(self, tenant: str) -> None:
        """Counts a request that a backend has run towards its tenant's quota."""
        runs = self.recent_runs.setdefault(tenant, deque())
        runs.append(self.kernel.now)
        while runs[0] < self.kernel.now - QUOTA_WINDOW_S:
            runs.popleft()
        bound = self.quota_bounds.get(tenant)
        if bound is not None:
            self.peak_quota_usage[tenant] = max(self.peak_quota_usage.get(tenant, 0.0), len(runs) / bound)
            within = len(runs) <= bound or not self.fail_on_violation
            assert within, f"{tenant} ran {len(runs)}, more than {bound:.0f}, at {self.kernel.now:.2f} s"

    def generate_traffic(
        self,
        tenant: str,
        rate_per_s: float,
        choose_machine: Callable[[], Machine],
        until: float,
        timeout_s: float = CLIENT_TIMEOUT_S,
        retries: int = 0,
        caller: str = "",
        routes: int = 1,
    ) -> None:
        """Generates a tenant's requests as a Poisson process; refused ones are retried."""
        chance = self.kernel.stream(f"callers of {tenant} {caller}".rstrip())

        def send_request(retries_left: int) -> None:
            machine = choose_machine()
            assert isinstance(machine, Gateway)
            route = f"r{chance.randrange(routes)}" if routes > 1 else "r0"
            record = machine.request(tenant, timeout_s, route, retries_left < retries, caller)
            if record is not None and retries_left:
                self.kernel.at(self.kernel.now + timeout_s / 3, retry_if_refused, record, retries_left)

        def retry_if_refused(record: RequestRecord, retries_left: int) -> None:
            if record.end == "refused":
                send_request(retries_left - 1)

        def arrive() -> None:
            if self.kernel.now < until:
                send_request(retries)
                self.kernel.at(self.kernel.now + chance.expovariate(rate_per_s), arrive)

        self.kernel.at(self.kernel.now + chance.expovariate(rate_per_s), arrive)


def missing_shares(system: SystemSimulation) -> list[str]:
    """The shares that a member which may assign quotas has not, or not in full, in its directory."""
    now = system.kernel.now
    nodes = {machine.name: machine.node for machine in system.machines if machine.node is not None}
    epochs = [node.agreement.roster.epoch for node in nodes.values() if node.agreement.roster is not None]
    found = []
    for name, node in nodes.items():
        roster, directory = node.agreement.roster, node.directory
        if roster is None or roster.epoch < max(epochs) or not directory.complete:
            continue
        for gateway, other in nodes.items():
            width = other.quota_share.width
            entry = directory.table.entries.get(gateway)
            if not width or not other.quota_share.lease_held(now):
                continue
            if entry is None or entry.reserved < 1.0 / width - EPSILON:
                held = f"1/{width}, entered as {entry.reserved if entry is not None else 'nothing'}"
                found.append(f"{gateway} may use {held} at {name}, at {now:.2f} s")
    return found


def system_with_tenants(
    seed: int,
    gateways: int,
    quotas: Mapping[str, tuple[float, float]],
    routes: int = 1,
    backends: int = BACKEND_COUNT,
    simulation: type[SystemSimulation] = SystemSimulation,
    cores: int = 3,
) -> SystemSimulation:
    """A simulation in which all gateways have a configuration with these tenants' quotas (rate, burst)."""
    system = simulation(seed, min(gateways, cores), max(gateways - cores, 0), backends=backends)
    system.run(3.0)
    body = change(1, 0, routes)
    body["tenants"] = {
        name: {"api_keys": [name], "rate_per_s": rate, "burst_size": burst}
        for name, (rate, burst) in quotas.items()
    }
    system.machines[0].call("PUT", body)
    system.run(1.0)
    system.run_until_converged()
    return system


def system_with_quota(seed: int, gateways: int, rate: float, burst: float) -> SystemSimulation:
    """A simulation with a single tenant, `t`, whose quota is checked from now on."""
    system = system_with_tenants(seed, gateways, {"t": (rate, burst)})
    system.enforce_quota("t", rate, burst)
    return system
