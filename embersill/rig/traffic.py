"""Traffic generator: an open load of requests over kept connections to the customers' fronts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from embersill.interface import Repeats, Settings
from embersill.rig.audit import ClientRequest, TrafficAudit
from embersill.rig.standins import HOST

ANSWER_GRACE_S = 0.25  # after a request's deadline, for its answer to arrive
MAX_IDLE_CONNECTIONS = 64  # per front


@dataclass(slots=True)
class Front:
    """A gateway or forwarder as clients see it; `idle`: kept connections to it."""

    name: str
    port: int
    up: bool = False
    idle: list[ClientConnection] | None = None


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer: its share of the traffic is by weight; its fronts are `spread` many, from `first` on."""

    number: int
    plan: str
    weight: float
    first: int
    spread: int


class ClientConnection(asyncio.Protocol):
    """One client connection to a front, with at most one request in flight."""

    def __init__(self, traffic: Traffic, front: Front) -> None:
        self.traffic, self.front = traffic, front
        self.transport: asyncio.Transport | None = None
        self.request: ClientRequest | None = None
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, request: ClientRequest, data: bytes) -> None:
        """Sends a request and sets its timer."""
        assert self.transport is not None
        self.request, self.body = request, []
        loop = self.traffic.loop
        self.timer = loop.call_later(
            max(request.deadline - loop.time(), 0.0) + ANSWER_GRACE_S, self.handle_timeout
        )
        self.transport.write(data)

    def handle_timeout(self) -> None:
        """Gives the request up and aborts the connection."""
        request, self.request = self.request, None
        if request is not None:
            self.traffic.audit.request_unanswered(request)
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses; data without a request in flight breaks a rule."""
        if self.parser is None:
            return
        if self.request is None:  # more than one answer
            self.traffic.audit.report_breach("answers_two", f"surplus at {self.front.name}")
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_message_begin(self) -> None:
        """Parser callback: an answer begins."""
        self.body = []

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: hands the answer over, and keeps or closes the connection."""
        request, self.request = self.request, None
        if request is None or self.parser is None:
            return
        if self.timer is not None:
            self.timer.cancel()
        keep = self.parser.should_keep_alive()
        self.traffic.handle_answer(request, self.parser.get_status_code(), b"".join(self.body))
        idle = self.front.idle
        if keep and idle is not None and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(self)
        elif self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the request in flight without an answer; excused if the front was down."""
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
    """Poisson arrivals of requests at `rate` a second, over customers by weight and over their fronts."""

    def __init__(
        self,
        settings: Settings,
        audit: TrafficAudit,
        fronts: list[Front],
        customers: list[Customer],
        rate: float,
        seed: int,
        busiest_share: float = 0.7,
        rotation_period_s: float = 8.0,
    ) -> None:
        """`busiest_share`: share of a customer's requests that goes to its busiest front.

        The busiest front changes every `rotation_period_s`.
        """
        self.settings, self.audit, self.fronts, self.customers = settings, audit, fronts, customers
        self.rate, self.busiest_share, self.rotation_period_s = rate, busiest_share, rotation_period_s
        self.random = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.classes = [c for c in settings.classes]
        self.weights = [c.weight for c in customers]
        self.request_count = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.on_answer: Callable[[ClientRequest, int], None] = lambda request, status: None
        self.max_units = 3

    async def run(self, seconds: float) -> None:
        """Sends requests for so long."""
        began = due = self.loop.time()
        while due < began + seconds:
            due += self.random.expovariate(self.rate)
            await asyncio.sleep(max(due - self.loop.time(), 0.0))
            task = self.loop.create_task(self.send_request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def wait_answered(self, timeout_s: float) -> None:
        """Waits until every request has ended, at most `timeout_s`."""
        end = self.loop.time() + timeout_s
        while self.loop.time() < end and any(not a.answers for a in self.audit.requests.values()):
            await asyncio.sleep(0.02)

    def order_fronts(self, customer: Customer) -> list[Front]:
        """The customer's fronts in the order to try them: first the one drawn."""
        count = len(self.fronts)
        fronts = [self.fronts[(customer.first + n) % count] for n in range(customer.spread)]
        turn = int(self.loop.time() / self.rotation_period_s + customer.number) % customer.spread
        at = turn if self.random.random() < self.busiest_share else self.random.randrange(customer.spread)
        return fronts[at:] + fronts[:at]

    async def send_request(self) -> None:
        """Draws a request and sends it to the first of its fronts that accepts a connection."""
        rng = self.random
        customer = rng.choices(self.customers, self.weights)[0]
        klass = rng.choices(self.classes, [0.6, 0.22, 0.18][: len(self.classes)])[0]
        units, budget = rng.randint(1, self.max_units), klass.deadline * rng.uniform(0.5, 1.0)
        self.request_count += 1
        call_id = f"{self.request_count:016x}"
        for front in self.order_fronts(customer):
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
            return connection.send(request, request_text(request, klass.repeats, budget, customer))
        self.audit.counts["no_front"] += 1
        return None

    async def connect(self, front: Front) -> ClientConnection | None:
        """An idle or new connection to a front, none if the front is down."""
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

    def handle_answer(self, request: ClientRequest, status: int, body: bytes) -> None:
        """Passes an answer to the audit and to `on_answer`."""
        self.audit.answer_received(request, status, body, self.loop.time())
        self.on_answer(request, status)


def request_text(request: ClientRequest, repeats: Repeats, budget: float, customer: Customer) -> bytes:
    """The request in the platform's protocol."""
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
