"""Runs drawn requests through gateways with the real module, a limited counter, and ample backends."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from embersill.control import Gateway
from embersill.emulator.counter import LimitedCounter
from embersill.emulator.demand import CustomerRequest
from embersill.emulator.stores import Ledger
from embersill.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    Cancel,
    Count,
    CounterResult,
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
from embersill.world.kernel import Kernel, Node

CLOCK_START_S = 6000.0  # clocks at the start of a run; `Site.start` comes on top
RETRY_BACKOFF_S = (0.1, 0.8)  # range of the delay before a retry; doubles with each further one
BACKEND_KINDS = ("std-4", "slow-4")


@dataclass(slots=True)
class PendingRequest:
    """A request at one gateway."""

    request: CustomerRequest
    retry: int  # 0 for the first attempt
    within_quota: bool = False
    send_count: int = 0


@dataclass
class Site:
    """The deployment that a run emulates."""

    settings: Settings
    counter_calls_per_s: float
    counter_partitions: int = 2
    counter_latency_s: float = 0.001
    backends: int = 130
    retries: int = 1
    start: float = 10.0  # seconds into a minute at which the run begins
    # start and end of each time in which the counter does not answer
    outages: list[tuple[float, float]] = field(default_factory=list)
    # time, and number of the gateway that restarts without its state
    restarts: list[tuple[float, int]] = field(default_factory=list)
    make_gateway: Callable[[Settings, int, float], Gateway] = Gateway


class GatewayNode(Node):
    """One gateway: the module, its timers and its calls."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        super().__init__(fleet.kernel, f"g{number}")
        self.fleet, self.number = fleet, number
        self.pending: dict[int, PendingRequest] = {}
        self.last_id = 0
        self.gateway: Gateway

    def start(self) -> None:
        """Starts the gateway, or restarts it without its state."""
        site = self.fleet.site
        self.begin_life(0.0, CLOCK_START_S + site.start)
        seed = self.fleet.kernel.stream(f"{self.name} {self.life}").getrandbits(32)
        self.gateway = site.make_gateway(replace(site.settings, me=self.number), seed, self.clock())
        self.pending = {}
        self.deliver(BackendList(ListKind.WHOLE, self.fleet.backends))

    def deliver(self, event: Event) -> None:
        """Passes an event to the module and carries out what it decides."""
        for action in self.gateway.handle(event, self.clock()):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        """Carries out an action of the module."""
        if isinstance(action, SetTimer):
            self.after(action.delay, self.deliver, TimerDue(action.key))
        elif isinstance(action, Send):
            self.fleet.handle_send(self, action)
        elif isinstance(action, Refuse | Fail):
            self.fleet.handle_refusal(self, action.request)
        elif isinstance(action, Count):
            self.call_counter(action)
        else:
            assert not isinstance(action, Cancel)

    def call_counter(self, action: Count) -> None:
        """Makes a call to the counter; its result is dropped if the gateway restarts first."""
        life = self.life

        def ended(outcome: Outcome, total: float, elapsed_s: float) -> None:
            if self.alive and self.life == life:
                self.deliver(CounterResult(action.name, outcome, elapsed_s, total))

        self.fleet.counter.call(action.name, action.amount, action.forget_after, ended)

    def receive(self, request: CustomerRequest, retry: int) -> None:
        """Handles a request of a customer. `retry`: 0 for its first attempt."""
        self.last_id += 1
        self.pending[self.last_id] = PendingRequest(request, retry)
        klass = self.gateway.classes[request.klass]
        customer = request.customer
        self.deliver(
            Request(
                self.last_id,
                request.klass,
                customer.plan.name,
                customer.name,
                self.clock() + klass.deadline,
                request.units,
                customer.width,
                customer.first,
                retry > 0,
            )
        )


class Fleet:
    """One run; `ledger` has its figures after `run`."""

    def __init__(self, site: Site, requests: list[CustomerRequest], seed: int) -> None:
        self.site, self.requests = site, requests
        self.kernel = Kernel(seed, most_events=20_000_000)
        self.counter = LimitedCounter(
            self.kernel,
            site.counter_calls_per_s,
            site.counter_partitions,
            site.counter_latency_s,
            site.settings.counter_patience,
        )
        self.counter.outages = site.outages
        self.backends = tuple(
            Backend(f"b{n}", site.settings.zone, BACKEND_KINDS[n % 2], n // 4, Status.SERVING, 1.0, None)
            for n in range(site.backends)
        )
        self.ledger = Ledger({c.name: c.worth for c in site.settings.classes})
        self.chance: random.Random = self.kernel.stream("day")
        self.nodes = [GatewayNode(self, n) for n in range(site.settings.gateways)]

    def run(self, seconds: float) -> Ledger:
        """Emulates that many seconds; returns the figures."""
        for node in self.nodes:
            node.start()
        for when, number in self.site.restarts:
            self.kernel.at(when, self.nodes[number].start)
        if self.requests:
            self.kernel.at(self.requests[0].at, self.submit_next, 0)
        self.kernel.run(seconds)
        return self.ledger

    def submit_next(self, index: int) -> None:
        """Submits a request for the first time, and schedules the next one."""
        request = self.requests[index]
        if index + 1 < len(self.requests):
            self.kernel.at(self.requests[index + 1].at, self.submit_next, index + 1)
        self.ledger.record_request(request)
        self.submit(request, 0)

    def submit(self, request: CustomerRequest, retry: int) -> None:
        """Submits a request to one of its customer's gateways."""
        gateway = request.customer.pick_gateway(self.kernel.now, self.chance)
        self.nodes[gateway].receive(request, retry)

    def handle_send(self, node: GatewayNode, action: Send) -> None:
        """Handles the send of a request to a backend, which serves it after a random time."""
        pending = node.pending[action.request]
        elapsed_s = self.chance.lognormvariate(-1.6, 0.6)
        if not pending.send_count:
            useful = (
                self.kernel.now + elapsed_s
                <= pending.request.at + node.gateway.classes[pending.request.klass].aim
            )
            pending.within_quota = self.ledger.record_send(pending.request, self.kernel.now, useful)
        pending.send_count += 1
        node.after(elapsed_s, self.finish_attempt, node, action, pending, elapsed_s)

    def finish_attempt(
        self, node: GatewayNode, action: Send, pending: PendingRequest, elapsed_s: float
    ) -> None:
        """Handles the end of an attempt: settles the units, and reports it to the gateway."""
        if pending.within_quota:
            self.ledger.record_settlement(pending.request, self.kernel.now)
        node.pending.pop(action.request, None)
        node.deliver(
            AttemptEnded(
                action.request,
                pending.send_count - 1,
                action.backend,
                Outcome.SERVED,
                elapsed_s,
                True,
                pending.request.true_units,
                (),
            )
        )

    def handle_refusal(self, node: GatewayNode, number: int) -> None:
        """Handles a refused request, which its customer may retry."""
        pending = node.pending.pop(number)
        self.ledger.record_refusal(pending.request, self.kernel.now)
        if pending.retry < self.site.retries:
            wait_s = self.chance.uniform(*RETRY_BACKOFF_S) * 2**pending.retry
            self.kernel.at(self.kernel.now + wait_s, self.submit, pending.request, pending.retry + 1)
