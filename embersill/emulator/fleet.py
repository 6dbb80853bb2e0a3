"""Plays a day's tries on gateways with the real module, a crowded counter, and backends never short."""

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

BEGIN = 6000.0  # what clocks show at the start, and a part of a minute more
BACK_OFF = (0.1, 0.8)  # seconds until a client asks again: drawn, and doubled each time
KINDS = ("std-4", "slow-4")


@dataclass(slots=True)
class Asked:
    """A try on its way through one gateway."""

    one: CustomerRequest
    again: int
    inside: bool = False
    sends: int = 0


@dataclass
class Site:
    """What the fleet is: all that a day is played with but its tries."""

    settings: Settings
    calls_a_second: float
    parts: int = 2
    work: float = 0.001
    backends: int = 130
    retries: int = 1
    start: float = 10.0  # seconds into a minute at which the day begins
    down: list[tuple[float, float]] = field(default_factory=list)  # when the counter is silent
    kills: list[tuple[float, int]] = field(default_factory=list)  # when a gateway starts again from nothing
    make: Callable[[Settings, int, float], Gateway] = Gateway


class FleetNode(Node):
    def __init__(self, fleet: Fleet, number: int) -> None:
        super().__init__(fleet.kernel, f"g{number}")
        self.fleet, self.number = fleet, number
        self.asked: dict[int, Asked] = {}
        self.count = 0
        self.gateway: Gateway

    def start(self) -> None:
        site = self.fleet.site
        self.begin_life(0.0, BEGIN + site.start)
        seed = self.fleet.kernel.stream(f"{self.name} {self.life}").getrandbits(32)
        self.gateway = site.make(replace(site.settings, me=self.number), seed, self.clock())
        self.asked = {}
        self.tell(BackendList(ListKind.WHOLE, self.fleet.backends))

    def tell(self, event: Event) -> None:
        for action in self.gateway.handle(event, self.clock()):
            self.carry(action)

    def carry(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.after(action.delay, self.tell, TimerDue(action.key))
        elif isinstance(action, Send):
            self.fleet.sent(self, action)
        elif isinstance(action, Refuse | Fail):
            self.fleet.turned_away(self, action.request)
        elif isinstance(action, Count):
            self.ask(action)
        else:
            assert not isinstance(action, Cancel)

    def ask(self, action: Count) -> None:
        life = self.life

        def ended(outcome: Outcome, total: float, took: float) -> None:
            if self.alive and self.life == life:
                self.tell(CounterResult(action.name, outcome, took, total))

        self.fleet.counter.call(action.name, action.amount, action.forget_after, ended)

    def come(self, one: CustomerRequest, again: int) -> None:
        self.count += 1
        self.asked[self.count] = Asked(one, again)
        klass = self.gateway.classes[one.klass]
        who = one.customer
        self.tell(
            Request(
                self.count,
                one.klass,
                who.plan.name,
                who.name,
                self.clock() + klass.deadline,
                one.units,
                who.width,
                who.first,
                again > 0,
            )
        )


class Fleet:
    """One day; `ledger` has its figures after `play`."""

    def __init__(self, site: Site, tries: list[CustomerRequest], seed: int) -> None:
        self.site, self.tries = site, tries
        self.kernel = Kernel(seed, most_events=20_000_000)
        self.counter = LimitedCounter(
            self.kernel, site.calls_a_second, site.parts, site.work, site.settings.counter_patience
        )
        self.counter.outages = site.down
        self.backends = tuple(
            Backend(f"b{n}", site.settings.zone, KINDS[n % 2], n // 4, Status.SERVING, 1.0, None)
            for n in range(site.backends)
        )
        self.ledger = Ledger({c.name: c.worth for c in site.settings.classes})
        self.chance: random.Random = self.kernel.stream("day")
        self.nodes = [FleetNode(self, n) for n in range(site.settings.gateways)]

    def play(self, seconds: float) -> Ledger:
        for node in self.nodes:
            node.start()
        for when, number in self.site.kills:
            self.kernel.at(when, self.nodes[number].start)
        if self.tries:
            self.kernel.at(self.tries[0].at, self.next, 0)
        self.kernel.run(seconds)
        return self.ledger

    def next(self, place: int) -> None:
        one = self.tries[place]
        if place + 1 < len(self.tries):
            self.kernel.at(self.tries[place + 1].at, self.next, place + 1)
        self.ledger.asked(one)
        self.come(one, 0)

    def come(self, one: CustomerRequest, again: int) -> None:
        gateway = one.customer.pick_gateway(self.kernel.now, self.chance)
        self.nodes[gateway].come(one, again)

    def sent(self, node: FleetNode, action: Send) -> None:
        asked = node.asked[action.request]
        took = self.chance.lognormvariate(-1.6, 0.6)
        if not asked.sends:
            useful = self.kernel.now + took <= asked.one.at + node.gateway.classes[asked.one.klass].aim
            asked.inside = self.ledger.sent(asked.one, self.kernel.now, useful)
        asked.sends += 1
        node.after(took, self.served, node, action, asked, took)

    def served(self, node: FleetNode, action: Send, asked: Asked, took: float) -> None:
        if asked.inside:
            self.ledger.settled(asked.one, self.kernel.now)
        node.asked.pop(action.request, None)
        node.tell(
            AttemptEnded(
                action.request,
                asked.sends - 1,
                action.backend,
                Outcome.SERVED,
                took,
                True,
                asked.one.true_units,
                (),
            )
        )

    def turned_away(self, node: FleetNode, request: int) -> None:
        asked = node.asked.pop(request)
        self.ledger.refused(asked.one, self.kernel.now)
        if asked.again < self.site.retries:
            wait = self.chance.uniform(*BACK_OFF) * 2**asked.again
            self.kernel.at(self.kernel.now + wait, self.come, asked.one, asked.again + 1)
