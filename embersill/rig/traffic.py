"""Clients: an open load of tries over kept connections, each dealt to one of its customer's fronts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from embersill.interface import Repeats, Settings
from embersill.rig.books import ClientRequest, TrafficAudit
from embersill.rig.standins import HOST

AFTER_END = 0.25  # seconds past a try's end for which its answer is still waited for
MOST_IDLE = 64  # kept connections to a front machine


@dataclass(slots=True)
class Front:
    """A gateway or forwarder as clients see it."""

    name: str
    port: int
    up: bool = False
    idle: list[ClientConnection] | None = None


@dataclass(frozen=True, slots=True)
class Customer:
    number: int
    plan: str
    weight: float
    first: int
    spread: int


class ClientConnection(asyncio.Protocol):
    def __init__(self, traffic: Traffic, front: Front) -> None:
        self.traffic, self.front = traffic, front
        self.transport: asyncio.Transport | None = None
        self.request: ClientRequest | None = None
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, request: ClientRequest, text: bytes) -> None:
        assert self.transport is not None
        self.request, self.body = request, []
        loop = self.traffic.loop
        self.timer = loop.call_later(max(request.deadline - loop.time(), 0.0) + AFTER_END, self.out_of_time)
        self.transport.write(text)

    def out_of_time(self) -> None:
        request, self.request = self.request, None
        if request is not None:
            self.traffic.audit.request_unanswered(request)
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.parser is None:
            return
        if self.request is None:  # more than the one answer
            self.traffic.audit.report_breach("answers_two", f"surplus at {self.front.name}")
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_message_begin(self) -> None:
        self.body = []

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        request, self.request = self.request, None
        if request is None or self.parser is None:
            return
        if self.timer is not None:
            self.timer.cancel()
        keep = self.parser.should_keep_alive()
        self.traffic.answered(request, self.parser.get_status_code(), b"".join(self.body))
        idle = self.front.idle
        if keep and idle is not None and len(idle) < MOST_IDLE:
            idle.append(self)
        elif self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self.parser = None
        if self.timer is not None:
            self.timer.cancel()
        if self.front.idle is not None and self in self.front.idle:
            self.front.idle.remove(self)
        request, self.request = self.request, None
        if request is not None:
            request.front_killed = request.front_killed or not self.front.up
            self.traffic.audit.request_unanswered(request)


class Traffic:
    """Poisson arrivals of tries at `rate` a second, dealt over customers by weight and over their fronts."""

    def __init__(
        self,
        settings: Settings,
        audit: TrafficAudit,
        fronts: list[Front],
        customers: list[Customer],
        rate: float,
        seed: int,
        uneven: float = 0.7,
        turn_every: float = 8.0,
    ) -> None:
        """`uneven`: part of a customer's tries that come through its busiest front, which changes in turn."""
        self.settings, self.audit, self.fronts, self.customers = settings, audit, fronts, customers
        self.rate, self.uneven, self.turn_every = rate, uneven, turn_every
        self.random = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.classes = [c for c in settings.classes]
        self.weights = [c.weight for c in customers]
        self.made = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.on_answer: Callable[[ClientRequest, int], None] = lambda request, status: None
        self.most_units = 3

    async def run(self, seconds: float) -> None:
        began = due = self.loop.time()
        while due < began + seconds:
            due += self.random.expovariate(self.rate)
            await asyncio.sleep(max(due - self.loop.time(), 0.0))
            task = self.loop.create_task(self.one())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def drained(self, at_most: float) -> None:
        """Waits until every try has its end."""
        end = self.loop.time() + at_most
        while self.loop.time() < end and any(not a.answers for a in self.audit.requests.values()):
            await asyncio.sleep(0.02)

    def pick_front(self, customer: Customer) -> list[Front]:
        """The customer's fronts, the one that is drawn first: the busiest changes every so often."""
        count = len(self.fronts)
        members = [self.fronts[(customer.first + n) % count] for n in range(customer.spread)]
        turn = int(self.loop.time() / self.turn_every + customer.number) % customer.spread
        at = turn if self.random.random() < self.uneven else self.random.randrange(customer.spread)
        return members[at:] + members[:at]

    async def one(self) -> None:
        rng = self.random
        customer = rng.choices(self.customers, self.weights)[0]
        klass = rng.choices(self.classes, [0.6, 0.22, 0.18][: len(self.classes)])[0]
        units, budget = rng.randint(1, self.most_units), klass.deadline * rng.uniform(0.5, 1.0)
        self.made += 1
        call_id = f"{self.made:016x}"
        for front in self.pick_front(customer):
            connection = await self.connect(front)
            if connection is None:
                continue
            now = self.loop.time()
            request = ClientRequest(
                call_id,
                klass.name,
                customer.plan,
                f"{customer.number:016x}",
                float(units),
                front.name,
                now,
                now + budget,
            )
            self.audit.request_sent(request)
            return connection.ask(request, request_text(request, klass.repeats, budget, customer))
        self.audit.counts["no_front"] += 1
        return None

    async def connect(self, front: Front) -> ClientConnection | None:
        if not front.up:
            return None
        while front.idle:
            connection = front.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        connection = ClientConnection(self, front)
        try:
            await self.loop.create_connection(lambda: connection, HOST, front.port)
        except OSError:
            return None
        return connection

    def answered(self, request: ClientRequest, status: int, body: bytes) -> None:
        self.audit.answer_received(request, status, body, self.loop.time())
        self.on_answer(request, status)


def request_text(request: ClientRequest, repeats: Repeats, budget: float, customer: Customer) -> bytes:
    """The try by the platform's protocol."""
    get = repeats is Repeats.SAFE
    lines = [
        f"{'GET' if get else 'POST'} /api?client={request.customer} HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {request.call_id}",
        f"X-Call-Class: {request.klass}",
        f"Plan: {request.plan}",
        f"X-Budget: {budget:.3f}",
        f"Quota-Info: units={request.units:g},spread={customer.spread},first={customer.first}",
    ]
    if repeats is Repeats.BY_KEY:
        lines.append(f"Idempotency-Key: k{request.call_id}")
    if not get:
        lines.append("Content-Length: 10")
    return "\r\n".join([*lines, "", ""]).encode() + (b"" if get else b"typed text")
