"""One recorded sequence of tries through three doors: do they say the same?

(a) the gateway's own throttle, on requests; (b) a gateway that asks a stand-in limit service over loopback;
(c) a plain gRPC client that asks the gateway. All three go by one clock that the sequence moves: bursts,
silences, units settled above the guess, quotas and a ceiling that both bind.
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

BEGIN = 1000.0  # of the sequence's clock: long after the gateways' start, so that all ceilings are full
AT_ONCE = 1e-7  # seconds that a try may be held: an answer by the protocol can't be
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
class Try:
    at: float
    customer: str
    plan: str
    units: int
    more: int  # units used above the guess, if it passes


def sequence(count: int, seed: int) -> Iterator[Try]:
    """Customers of three plans, each by turns quiet, at its quota and in bursts far above it."""
    rng, now = random.Random(seed), BEGIN
    customers = [(f"{n:016x}", ("basis", "plus", "pro")[n % 3]) for n in range(1, 31)]
    hot = customers
    for number in range(count):
        if number % 500 == 0:
            hot = rng.sample(customers, rng.randint(1, 12))
        if rng.random() < 0.002:
            now += rng.uniform(1.0, 8.0)  # silence
        now += rng.expovariate(90.0)
        customer, plan = rng.choice(hot if rng.random() < 0.8 else customers)
        more = rng.randint(1, 3) if plan != "pro" and rng.random() < 0.1 else 0
        yield Try(now, customer, plan, rng.randint(1, 8), more)


def agreement_settings() -> Settings:
    """One gateway; `pro` has a ceiling that binds in bursts, the others quotas that bind all the time."""
    made = lab_settings(1)
    basis, pro = made.plans[0], made.plans[1]
    plans = (
        basis,
        replace(basis, name="plus", rate=9.0, burst=27.0),
        replace(pro, rate=40.0, burst=400.0, ceiling_rate=14.0, ceiling_depth=30.0),
    )
    return replace(made, plans=plans, counter=False)


def served(number: int, send: Send, one: Try) -> AttemptEnded:
    return AttemptEnded(number, 0, send.backend, Outcome.SERVED, 0.01, True, float(one.units + one.more), ())


class Door:
    """What all three have in common: a gateway, and the clock that a try sets."""

    def __init__(self) -> None:
        self.settings = agreement_settings()
        self.now = BEGIN
        self.gateway = Gateway(self.settings, 1, 0.0)
        self.gateway.handle(
            BackendList(
                ListKind.WHOLE,
                tuple(Backend(f"b{n}", "z", "k", 0, Status.SERVING, 1.0, None) for n in range(4)),
            ),
            0.0,
        )

    async def start(self) -> None: ...

    async def passes(self, number: int, one: Try) -> bool:
        raise NotImplementedError

    async def stop(self) -> None: ...


class OwnThrottle(Door):
    async def passes(self, number: int, one: Try) -> bool:
        self.now = one.at
        asked = Request(
            number, "lookup", one.plan, one.customer, one.at + AT_ONCE, float(one.units), 1, 0, False
        )
        sent = [a for a in self.gateway.handle(asked, one.at) if isinstance(a, Send)]
        if sent:
            self.gateway.handle(served(number, sent[0], one), one.at)
        return bool(sent)


class AskingOther(Door):
    async def start(self) -> None:
        limits = {p.name: (p.rate, p.burst) for p in self.settings.plans}
        self.limiter = Limiter(limits, lambda: self.now)
        self.limiter.keep_asked = False
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
        for action in actions:
            if isinstance(action, Send | Refuse) and action.request in self.waiting:
                self.waiting.pop(action.request).set_result(action)

    async def passes(self, number: int, one: Try) -> bool:
        self.now = one.at
        self.waiting[number] = told = asyncio.get_running_loop().create_future()
        asked = Request(number, "lookup", one.plan, one.customer, one.at + 8.0, float(one.units), 1, 0, False)
        self.perform(self.asking.handle(asked, one.at))
        action = await told
        if isinstance(action, Send):
            self.perform(self.asking.handle(served(number, action, one), one.at))
        while self.asking.tasks:  # the report of what was used above the guess is heard before time goes on
            await asyncio.wait(list(self.asking.tasks))
        return isinstance(action, Send)

    async def stop(self) -> None:
        await self.asking.close()
        await self.limiter.stop()


class AskedByOther(Door):
    async def start(self) -> None:
        table = msgspec.convert({"answer": {"listen": f"{HOST}:0", "rules": RULES}}, RateLimitTable).answer
        assert table is not None
        self.server = RateLimitServer(table, Answering(table, self.settings, self.decide))
        await self.server.start()
        self.channel = grpc.aio.insecure_channel(f"{HOST}:{self.server.port}")
        self.stub = rls_pb2_grpc.RateLimitServiceStub(self.channel)

    def decide(self, question: Question) -> Verdict:
        return next(a for a in self.gateway.handle(question, self.now) if isinstance(a, Verdict))

    async def ask(self, one: Try, hits: int, *more: str) -> Any:
        question = rls_pb2.RateLimitRequest(domain="lookup", hits_addend=hits)
        descriptor = question.descriptors.add()
        for key, value in (("customer", one.customer), ("plan", one.plan), *((k, "1") for k in more)):
            descriptor.entries.add(key=key, value=value)
        return await self.stub.ShouldRateLimit(question)

    async def passes(self, number: int, one: Try) -> bool:
        self.now = one.at
        answer = await self.ask(one, one.units)
        ok = bool(answer.overall_code == rls_pb2.RateLimitResponse.OK)
        if ok and one.more:
            await self.ask(one, one.more, "settle")
        return ok

    async def stop(self) -> None:
        await self.channel.close()
        await self.server.stop(0.0)


async def compare(count: int, seed: int = 1) -> dict[str, Any]:
    """Plays a sequence through all three; tells how often each pair differed, and what the ceiling saw."""
    doors: dict[str, Door] = {"own": OwnThrottle(), "asking": AskingOther(), "asked": AskedByOther()}
    for door in doors.values():
        await door.start()
    figures: dict[str, Any] = {"tries": 0, "passed": 0, "asking_differs": 0, "asked_differs": 0}
    pro = next(p for p in agreement_settings().plans if p.ceiling_rate > 0)
    ceilings: dict[tuple[str, str], tuple[float, float]] = {}
    lowest, first = pro.ceiling_depth, ""
    for number, one in enumerate(sequence(count, seed), 1):
        passed = {name: await door.passes(number, one) for name, door in doors.items()}
        figures["tries"] += 1
        figures["passed"] += passed["own"]
        for name in ("asking", "asked"):
            if passed[name] != passed["own"]:
                figures[f"{name}_differs"] += 1
                first = first or f"{name} at {number}: {one}"
        for name in doors:
            if one.plan == "pro" and passed[name]:
                level, at = ceilings.get((name, one.customer), (pro.ceiling_depth, one.at))
                level = min(pro.ceiling_depth, level + pro.ceiling_rate * (one.at - at)) - one.units
                ceilings[name, one.customer] = level, one.at
                lowest = min(lowest, level)
    for door in doors.values():
        await door.stop()
    figures["ceiling_lowest"] = round(lowest, 6)
    if first:
        figures["first_difference"] = first
    return figures
