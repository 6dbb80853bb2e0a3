"""Gateways with their data plane in the world's time: the control plane of `fleet`, and requests on it.

Each machine decides by the classes that are in service (`Node`, `EdgeGateway`, `QuotaClient`); clients,
backends and the network are the world's. What every request came to is written down, and what each tenant
ran is held against its quota after every send.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from embersill.edge.dataplane.gateway import EdgeGateway
from embersill.edge.dataplane.in_flight import InFlight
from embersill.edge.configuration.policy import Policy
from embersill.edge.configuration.routes import Table, settings_for
from embersill.edge.dataplane.quota_client import QuotaClient
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
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    Status,
    TimerDue,
)
from embersill.lab.edge.fleet import Fleet, Machine, change

WINDOW, OVERSHOOT, SLACK = 5.0, 0.1, 20.0  # of the quota rule, as both deployments have them
RATIO, BUDGET_SLACK = 0.2, 68.0  # of the budget of further attempts
BACKENDS, SLOTS = 30, 4  # of the one service; each works on so many requests at once
SERVED_IN = 0.03, 0.12  # seconds that a backend takes
REFUSED_IN = 0.002  # and in which a dial to one that is down is refused
PATIENCE = 2.0  # seconds that a client waits, where nothing else is said
AIM, LATE = 0.5, 0.5  # seconds within which an answer has its whole worth; its worth after that
FRONT = 0.1  # seconds before its client's end at which a request is over


@dataclass(slots=True)
class Outcomes:
    """What became of one request: when it came, and its one answer."""

    tenant: str
    gateway: str
    asked_at: float
    ended_at: float = 0.0
    end: str = ""  # "served", "refused" or "failed"; empty while it is open
    over_quota: bool = False
    retry_after: float = 0.0
    sends: int = 0
    runs: int = 0  # of those that a backend worked on
    caller: str = ""  # which of its callers it came from
    route: str = ""


def share(asked: list[Outcomes]) -> float:
    """Requests that were served, of these."""
    return sum(one.end == "served" for one in asked) / max(len(asked), 1)


def waits(asked: Iterable[Outcomes]) -> list[float]:
    """Seconds that the served ones took, in order."""
    return sorted(one.ended_at - one.asked_at for one in asked if one.end == "served")


def at_part(ordered: list[float], part: float) -> float:
    """A quantile of ordered figures; nought where there are none."""
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def worth(asked: Iterable[Outcomes]) -> float:
    """Mean worth of requests: whole within the aim, a part after it."""
    owed = [
        1.0
        if one.end == "served" and one.ended_at - one.asked_at <= AIM
        else LATE
        if one.end == "served"
        else 0.0
        for one in asked
    ]
    return sum(owed) / max(len(owed), 1)


class Gateway(Machine):
    """A machine that also takes requests; what it had under way ends with its process."""

    def start_data_plane(self, first_start: bool) -> None:
        """Decides about requests too, from now on."""
        assert self.node is not None
        self.first_start, self.count = first_start, 1
        self.decider = EdgeGateway(self.settings(), self.fleet.chance.getrandbits(32), self.fleet.kernel.now)
        self.quota_client = QuotaClient(
            self.node, lambda: self.fleet.kernel.now, self.post, self.process.after
        )
        self.quota_client.on_flush = self.carry_out
        self.flights = InFlight(self.node, self.post, self.process.after)
        self.flights.on_flush = self.carry_out
        self.decider.attempts.on_in_flight_change = self.flights.changed
        self.node.on_table = self.table_came
        self.node.on_policy = self.policy_came
        self.node.rollout_runner.counts = self.decider.seen
        sums = self.node.demand.sums
        sums.overshoot, sums.slack = OVERSHOOT, SLACK
        self.events: deque[Event] = deque()
        self.handling = False
        self.open: dict[int, Outcomes] = {}
        self.sent: dict[int, int] = {}
        assert isinstance(self.fleet, Town)
        backends = tuple(
            Backend(name, "abc"[n % 3], name, 0, Status.SERVING, 1.0, None, "s", SLOTS)
            for n, name in enumerate(self.fleet.backends)
        )
        self.post(BackendList(ListKind.CHANGES, backends))

    def settings(self) -> Settings:
        """The settings of the decisions, by the configuration and the number of gateways."""
        assert self.node is not None
        return settings_for(
            self.node.table,
            zone=self.zone,
            me=self.number,
            gateways=self.count,
            fresh=self.first_start,
            ratio=RATIO,
            slack=BUDGET_SLACK,
            policy=self.node.policy[0],
        )

    def table_came(self, table: Table) -> None:
        """Another configuration is in force."""
        assert self.node is not None
        self.decider.slow(table.slowed_tenants, self.node.slowdown_counts)
        self.post(Configured(self.settings()))

    def policy_came(self, policy: Policy, label: str) -> None:
        """Another policy is in force."""
        self.decider.follow(policy, label)
        self.post(Configured(self.settings()))

    def tick(self) -> None:
        """What is due by now, of decisions too."""
        if self.node is not None:
            self.quota_client.tick()
            if self.node.peers.count != self.count:
                self.count = self.node.peers.count
                self.post(Configured(self.settings()))
        super().tick()

    def kill(self) -> None:
        """The process dies, and with it what it had under way."""
        if self.node is not None:
            self.quota_client.close()
            for one in self.open.values():
                one.end, one.ended_at = "failed", self.fleet.kernel.now
            self.open.clear()
        super().kill()

    def ask(
        self, tenant: str, patience: float, route: str = "r0", repeat: bool = False, caller: str = ""
    ) -> Outcomes | None:
        """A client's request; None where nobody takes it."""
        if self.node is None or self.node.table is None:
            return None
        now, town = self.fleet.kernel.now, self.fleet
        assert isinstance(town, Town)
        town.asked += 1
        told = self.open[town.asked] = Outcomes(tenant, self.name, now, caller=caller, route=route)
        town.book.append(told)
        if self.node.table.stopped(tenant):  # as the door does
            self.finish(town.asked, "refused")
            return told
        self.post(Request(town.asked, route, tenant, tenant, now + patience - FRONT, 1.0, 0, -1, repeat, "s"))
        self.carry_out()
        return told

    def post(self, event: Event) -> None:
        """Events one after the other, as the driver hands them on."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.decider.handle(self.events.popleft(), self.fleet.kernel.now):
                self.act(action)
        self.handling = False

    def act(self, action: Any) -> None:
        """Carries out what was decided."""
        if isinstance(action, SetTimer):
            self.process.after(action.delay, lambda: self.post(TimerDue(action.key)))
        elif isinstance(action, Count):
            self.quota_client.count(action)
        elif isinstance(action, Borrow):
            self.quota_client.borrow(action)
        elif isinstance(action, Send):
            self.send(action)
        elif isinstance(action, Refuse):
            told = self.finish(action.request, "refused")
            if told is not None:
                told.over_quota, told.retry_after = action.over_quota, action.retry_after
        elif isinstance(action, Fail):
            self.finish(action.request, "failed")

    def finish(self, number: int, end: str) -> Outcomes | None:
        """A request has ended; None where it had before."""
        told = self.open.pop(number, None)
        if told is not None:
            told.end, told.ended_at = end, self.fleet.kernel.now
        return told

    def send(self, action: Send) -> None:
        """Has a backend work on an attempt for a while."""
        town, told = self.fleet, self.open[action.request]
        assert isinstance(town, Town)
        place, told.sends = told.sends, told.sends + 1
        lost = action.backend in town.dead
        if not lost:
            told.runs += 1
            town.ran(told.tenant)
        backend, now = town.backends[action.backend], town.kernel.now
        takes = REFUSED_IN if lost else self.lasts(action, backend.takes(now, town.work))
        outcome = Outcome.NO_CONNECTION if lost else self.outcome_of(action, place)

        def ended() -> None:
            served = outcome is Outcome.SERVED
            if served:
                self.finish(action.request, "served")
            load = () if lost else backend.load(town.kernel.now)
            self.post(AttemptEnded(action.request, place, action.backend, outcome, takes, served, 0.0, load))
            self.carry_out()

        self.process.after(takes, ended)

    def lasts(self, action: Send, takes: float) -> float:
        """Seconds until the answer comes, of those that its backend takes."""
        return takes

    def outcome_of(self, action: Send, place: int) -> Outcome:
        """How an attempt ends that came to a backend which is up."""
        return Outcome.SERVED


class Slots:
    """A backend: it works on so many requests at once, and the others wait for a slot."""

    def __init__(self) -> None:
        self.free_at = [0.0] * SLOTS
        self.until: list[float] = []  # when those that are there end

    def takes(self, now: float, work: random.Random) -> float:
        """Seconds until the answer to a request that comes now."""
        ends = max(heapq.heappop(self.free_at), now) + work.uniform(*SERVED_IN)
        heapq.heappush(self.free_at, ends)
        heapq.heappush(self.until, ends)
        return ends - now

    def load(self, now: float) -> tuple[float, float, float]:
        """Running, waiting and slots, as it tells them with its answers."""
        while self.until and self.until[0] <= now:
            heapq.heappop(self.until)
        running = min(len(self.until), SLOTS)
        return float(running), float(len(self.until) - running), float(SLOTS)


class Town(Fleet):
    """A fleet of gateways, its tenants' callers, and the book of all requests."""

    machine_type = Gateway

    def __init__(
        self,
        seed: int,
        cores: int = 3,
        others: int = 2,
        persistent_disks: bool = True,
        backends: int = BACKENDS,
    ) -> None:
        self.backends = {f"b{n}": Slots() for n in range(backends)}
        self.book: list[Outcomes] = []
        self.asked = 0
        self.dead: set[str] = set()  # backends that are down
        self.runs: dict[str, deque[float]] = {}
        self.most: dict[str, float] = {}  # by tenant, the most of its bound that any window has used
        self.judged = True  # who passes a quota ends the run
        self.bounds: dict[str, float] = {}  # what may run in a window, where a quota is to be held
        self.work = random.Random(f"{seed}/work")
        super().__init__(seed, cores, others, persistent_disks)

    @property
    def gateways(self) -> list[Gateway]:
        """All machines, as gateways that take requests."""
        return [machine for machine in self.machines if isinstance(machine, Gateway)]

    def hold(self, tenant: str, rate: float, burst: float) -> None:
        """From now on what the tenant runs is held against this quota."""
        self.bounds[tenant] = (rate * WINDOW + burst) * (1 + OVERSHOOT) + SLACK

    def ran(self, tenant: str) -> None:
        """A backend has run a tenant's request: it counts towards the tenant's quota."""
        runs = self.runs.setdefault(tenant, deque())
        runs.append(self.kernel.now)
        while runs[0] < self.kernel.now - WINDOW:
            runs.popleft()
        bound = self.bounds.get(tenant)
        if bound is not None:
            self.most[tenant] = max(self.most.get(tenant, 0.0), len(runs) / bound)
            within = len(runs) <= bound or not self.judged
            assert within, f"{tenant} ran {len(runs)} of {bound:.0f} by {self.kernel.now:.2f}"

    def call(
        self,
        tenant: str,
        per_s: float,
        where: Callable[[], Machine],
        until: float,
        patience: float = PATIENCE,
        repeats: int = 0,
        caller: str = "",
        routes: int = 1,
    ) -> None:
        """Callers of a tenant come by chance, `per_s` each second, and come again after a refusal as told."""
        chance = self.kernel.stream(f"callers of {tenant} {caller}".rstrip())

        def once(left: int) -> None:
            machine = where()
            assert isinstance(machine, Gateway)
            route = f"r{chance.randrange(routes)}" if routes > 1 else "r0"
            told = machine.ask(tenant, patience, route, left < repeats, caller)
            if told is not None and left:
                self.kernel.at(self.kernel.now + patience / 3, again, told, left)

        def again(told: Outcomes, left: int) -> None:
            if told.end == "refused":
                once(left - 1)

        def come() -> None:
            if self.kernel.now < until:
                once(repeats)
                self.kernel.at(self.kernel.now + chance.expovariate(per_s), come)

        self.kernel.at(self.kernel.now + chance.expovariate(per_s), come)


def with_tenants(
    seed: int,
    gateways: int,
    quotas: Mapping[str, tuple[float, float]],
    routes: int = 1,
    backends: int = BACKENDS,
    kind: type[Town] = Town,
    cores: int = 3,
) -> Town:
    """A town whose tenants have these quotas, rate and burst; everybody knows of them."""
    town = kind(seed, min(gateways, cores), max(gateways - cores, 0), backends=backends)
    town.run(3.0)
    body = change(1, 0, routes)
    body["tenants"] = {
        name: {"api_keys": [name], "rate_per_s": rate, "burst_size": burst}
        for name, (rate, burst) in quotas.items()
    }
    town.machines[0].call("PUT", body)
    town.run(1.0)
    town.run_until_converged()
    return town


def with_quota(seed: int, gateways: int, rate: float, burst: float) -> Town:
    """A town in which the one tenant, `t`, has a quota, which is held from now on."""
    town = with_tenants(seed, gateways, {"t": (rate, burst)})
    town.hold("t", rate, burst)
    return town
