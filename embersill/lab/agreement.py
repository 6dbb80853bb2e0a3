"""Checks that three rate limiting paths decide alike on the same sequence of attempts.

(a) the gateway's own throttle; (b) a gateway that queries a stand-in limit service over loopback; (c) a plain
gRPC client that queries the gateway. All three use one clock that the sequence advances. The sequence has
bursts, pauses, units settled above the estimate, and both quotas and a ceiling that take effect.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import grpc
import msgspec
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc

from embersill.control import Gateway
from embersill.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    ListKind,
    Outcome,
    Question,
    Refuse,
    Request,
    Send,
    Settings,
    Status,
    Verdict,
)
from embersill.lab.limiter import Limiter
from embersill.rig.settings import lab_settings
from embersill.rig.standins import HOST
from embersill.ratelimit.answering import Answering
from embersill.ratelimit.client import AskingGateway
from embersill.ratelimit.server import RateLimitServer
from embersill.ratelimit.settings import RateLimitTable

START_TIME_S = (
    1000.0  # of the sequence's clock: long after the gateways' start, so that all ceilings have full budget
)
INSTANT_DEADLINE_S = 1e-7  # an attempt may not be queued, since an answer over the protocol can't be
RULES = [
    {
        "domain": "lookup",
        "match": {"settle": "*"},
        "customer": "customer",
        "plan_from": "plan",
        "mode": "settle",
        "spread": 1,
    },
    {"domain": "lookup", "match": {}, "customer": "customer", "plan_from": "plan", "spread": 1},
]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt by a customer at a time."""

    at: float
    customer: str
    plan: str
    units: int
    extra_units: int  # units used above the estimate, if it is allowed


def attempt_sequence(count: int, seed: int) -> Iterator[Attempt]:
    """Generates attempts of customers of three plans: by turns quiet, at their quota, and far above it."""
    rng, now = random.Random(seed), START_TIME_S
    customers = [(f"{n:016x}", ("basis", "plus", "pro")[n % 3]) for n in range(1, 31)]
    active = customers
    for number in range(count):
        if number % 500 == 0:
            active = rng.sample(customers, rng.randint(1, 12))
        if rng.random() < 0.002:
            now += rng.uniform(1.0, 8.0)  # a pause
        now += rng.expovariate(90.0)
        customer, plan = rng.choice(active if rng.random() < 0.8 else customers)
        extra_units = rng.randint(1, 3) if plan != "pro" and rng.random() < 0.1 else 0
        yield Attempt(now, customer, plan, rng.randint(1, 8), extra_units)


def agreement_settings() -> Settings:
    """Settings of one gateway: in bursts the ceiling of `pro` takes effect, the others' quotas always."""
    settings = lab_settings(1)
    basis, pro = settings.plans[0], settings.plans[1]
    plans = (
        basis,
        replace(basis, name="plus", rate=9.0, burst=27.0),
        replace(pro, rate=40.0, burst=400.0, ceiling_rate=14.0, ceiling_depth=30.0),
    )
    return replace(settings, plans=plans, counter=False)


def served_event(number: int, send: Send, attempt: Attempt) -> AttemptEnded:
    """The event that an attempt was served with all its units."""
    return AttemptEnded(
        number, 0, send.backend, Outcome.SERVED, 0.01, True, float(attempt.units + attempt.extra_units), ()
    )


class ThrottlePath:
    """Common part of the three paths: a gateway, and the clock that each attempt sets."""

    def __init__(self) -> None:
        self.settings = agreement_settings()
        self.now = START_TIME_S
        self.gateway = Gateway(self.settings, 1, 0.0)
        self.gateway.handle(
            BackendList(
                ListKind.WHOLE,
                tuple(Backend(f"b{n}", "z", "k", 0, Status.SERVING, 1.0, None) for n in range(4)),
            ),
            0.0,
        )

    async def start(self) -> None:
        """Starts servers and connections, if any."""

    async def allows(self, number: int, attempt: Attempt) -> bool:
        """Whether this path allows the attempt."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Closes servers and connections, if any."""


class LocalThrottle(ThrottlePath):
    """Path (a): the gateway's own throttle."""

    async def allows(self, number: int, attempt: Attempt) -> bool:
        """Whether the throttle allows the attempt."""
        self.now = attempt.at
        request = Request(
            number,
            "lookup",
            attempt.plan,
            attempt.customer,
            attempt.at + INSTANT_DEADLINE_S,
            float(attempt.units),
            1,
            0,
            False,
        )
        sends = [a for a in self.gateway.handle(request, attempt.at) if isinstance(a, Send)]
        if sends:
            self.gateway.handle(served_event(number, sends[0], attempt), attempt.at)
        return bool(sends)


class ExternalService(ThrottlePath):
    """Path (b): a gateway that queries an external limit service."""

    async def start(self) -> None:
        """Starts the limit service and the gateway that queries it."""
        limits = {p.name: (p.rate, p.burst) for p in self.settings.plans}
        self.limiter = Limiter(limits, lambda: self.now)
        self.limiter.record_requests = False
        await self.limiter.start()
        table = msgspec.convert(
            {
                "ask": {
                    "services": [self.limiter.address],
                    "domain": "lookup",
                    "plans": list(limits),
                    "settle": "ask",
                    "timeout": 5.0,
                    "within": 5.0,
                    "within_part": 0.5,
                    "late": 10.0,
                }
            },
            RateLimitTable,
        ).ask
        assert table is not None
        self.asking = AskingGateway(self.gateway, table, lambda: self.now)
        self.asking.perform = self.perform
        self.waiting: dict[int, asyncio.Future[Send | Refuse]] = {}

    def perform(self, actions: list[Action]) -> None:
        """Completes the attempts that these actions decide on."""
        for action in actions:
            if isinstance(action, Send | Refuse) and action.request in self.waiting:
                self.waiting.pop(action.request).set_result(action)

    async def allows(self, number: int, attempt: Attempt) -> bool:
        """Whether the service allows the attempt."""
        self.now = attempt.at
        self.waiting[number] = decided = asyncio.get_running_loop().create_future()
        request = Request(
            number,
            "lookup",
            attempt.plan,
            attempt.customer,
            attempt.at + 8.0,
            float(attempt.units),
            1,
            0,
            False,
        )
        self.perform(self.asking.handle(request, attempt.at))
        action = await decided
        if isinstance(action, Send):
            self.perform(self.asking.handle(served_event(number, action, attempt), attempt.at))
        while self.asking.tasks:  # the report of units above the estimate must arrive before time advances
            await asyncio.wait(list(self.asking.tasks))
        return isinstance(action, Send)

    async def stop(self) -> None:
        """Closes the gateway's client and the service."""
        await self.asking.close()
        await self.limiter.stop()


class ServingClient(ThrottlePath):
    """Path (c): a gRPC client that queries the gateway."""

    async def start(self) -> None:
        """Starts the gateway's rate limit server and connects a client."""
        table = msgspec.convert({"answer": {"listen": f"{HOST}:0", "rules": RULES}}, RateLimitTable).answer
        assert table is not None
        self.server = RateLimitServer(table, Answering(table, self.settings, self.decide))
        await self.server.start()
        self.channel = grpc.aio.insecure_channel(f"{HOST}:{self.server.port}")
        self.stub = rls_pb2_grpc.RateLimitServiceStub(self.channel)

    def decide(self, question: Question) -> Verdict:
        """The gateway's verdict on a question."""
        return next(a for a in self.gateway.handle(question, self.now) if isinstance(a, Verdict))

    async def ask(self, attempt: Attempt, hits: int, *extra_keys: str) -> Any:
        """Sends a rate limit request for an attempt; returns the response."""
        question = rls_pb2.RateLimitRequest(domain="lookup", hits_addend=hits)
        descriptor = question.descriptors.add()
        for key, value in (
            ("customer", attempt.customer),
            ("plan", attempt.plan),
            *((k, "1") for k in extra_keys),
        ):
            descriptor.entries.add(key=key, value=value)
        return await self.stub.ShouldRateLimit(question)

    async def allows(self, number: int, attempt: Attempt) -> bool:
        """Whether the gateway allows the attempt; settles units above the estimate."""
        self.now = attempt.at
        answer = await self.ask(attempt, attempt.units)
        ok = bool(answer.overall_code == rls_pb2.RateLimitResponse.OK)
        if ok and attempt.extra_units:
            await self.ask(attempt, attempt.extra_units, "settle")
        return ok

    async def stop(self) -> None:
        """Closes the client and the server."""
        await self.channel.close()
        await self.server.stop(0.0)


async def compare(count: int, seed: int = 1) -> dict[str, Any]:
    """Runs a sequence through all three paths; counts differences and the lowest level of a ceiling."""
    paths: dict[str, ThrottlePath] = {
        "own": LocalThrottle(),
        "asking": ExternalService(),
        "asked": ServingClient(),
    }
    for path in paths.values():
        await path.start()
    figures: dict[str, Any] = {"tries": 0, "passed": 0, "asking_differs": 0, "asked_differs": 0}
    pro = next(p for p in agreement_settings().plans if p.ceiling_rate > 0)
    ceilings: dict[tuple[str, str], tuple[float, float]] = {}
    lowest, first = pro.ceiling_depth, ""
    for number, attempt in enumerate(attempt_sequence(count, seed), 1):
        allowed = {name: await path.allows(number, attempt) for name, path in paths.items()}
        figures["tries"] += 1
        figures["passed"] += allowed["own"]
        for name in ("asking", "asked"):
            if allowed[name] != allowed["own"]:
                figures[f"{name}_differs"] += 1
                first = first or f"{name} at {number}: {attempt}"
        for name in paths:
            if attempt.plan == "pro" and allowed[name]:
                level, at = ceilings.get((name, attempt.customer), (pro.ceiling_depth, attempt.at))
                level = min(pro.ceiling_depth, level + pro.ceiling_rate * (attempt.at - at)) - attempt.units
                ceilings[name, attempt.customer] = level, attempt.at
                lowest = min(lowest, level)
    for path in paths.values():
        await path.stop()
    figures["ceiling_lowest"] = round(lowest, 6)
    if first:
        figures["first_difference"] = first
    return figures
