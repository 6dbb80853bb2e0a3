"""A stand-in limit service: token buckets of its own behind the published protocol, and faults by script.

It shares no code with the gateway's throttle, so that verdicts which agree do so for two reasons.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc

from embersill.rig.standins import HOST

TINY = 1e-9  # float slack where a bucket is compared
Step = Callable[[Any, Any], Awaitable[Any] | Any]  # request, context: the answer, or an abort


class Buckets:
    """By customer: `rate` a second, `burst` at most; more than the burst goes when the bucket is full."""

    def __init__(self, limits: dict[str, tuple[float, float]], clock: Callable[[], float]) -> None:
        self.limits, self.clock = limits, clock
        self.levels: dict[str, tuple[float, float]] = {}
        self.taken: dict[str, float] = {}

    def hit(self, plan: str, customer: str, hits: float, settles: bool) -> tuple[bool, float, float]:
        """Whether it is granted, what is left, and seconds until it could be granted."""
        rate, burst = self.limits[plan]
        now = self.clock()
        level, at = self.levels.get(customer, (burst, now))
        level = max(level, min(burst, level + rate * (now - at)))
        ok = settles or min(hits, burst) - level <= TINY
        if ok:
            level -= hits
            self.taken[customer] = self.taken.get(customer, 0.0) + hits
        self.levels[customer] = level, now
        return ok, max(level, 0.0), 0.0 if ok else (min(hits, burst) - level) / rate


class Limiter(rls_pb2_grpc.RateLimitServiceServicer):  # type: ignore[misc]
    """The service. Steps in `script` answer the next questions in place of the buckets."""

    def __init__(self, limits: dict[str, tuple[float, float]], clock: Callable[[], float]) -> None:
        self.buckets = Buckets(limits, clock)
        self.script: list[Step] = []
        self.asked: list[Any] = []
        self.keep_asked = True
        self.arrived = asyncio.Condition()
        self.server: Any = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        rls_pb2_grpc.add_RateLimitServiceServicer_to_server(self, self.server)
        self.port = self.server.add_insecure_port(f"{HOST}:{port}")
        await self.server.start()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def stop(self, grace: float = 0.0) -> None:
        await self.server.stop(grace)

    async def until_asked(self, times: int) -> None:
        async with self.arrived:
            await self.arrived.wait_for(lambda: len(self.asked) >= times)

    async def ShouldRateLimit(self, request: Any, context: Any) -> Any:  # noqa: N802 - the protocol's name
        if self.keep_asked:
            async with self.arrived:
                self.asked.append(request)
                self.arrived.notify_all()
        if self.script:
            answer = self.script.pop(0)(request, context)
            return await answer if asyncio.iscoroutine(answer) else answer
        return self.verdict(request)

    def verdict(self, request: Any) -> Any:
        codes = rls_pb2.RateLimitResponse
        told = codes(overall_code=codes.OK)
        for descriptor in request.descriptors:
            entries = {e.key: e.value for e in descriptor.entries}
            own = descriptor.HasField("hits_addend")
            hits = descriptor.hits_addend.value if own else (request.hits_addend or 1)
            ok, left, wait = self.buckets.hit(
                entries["plan"], entries["customer"], float(hits), "settle" in entries
            )
            status = told.statuses.add(code=codes.OK if ok else codes.OVER_LIMIT, limit_remaining=int(left))
            status.duration_until_reset.seconds = int(wait)
            status.duration_until_reset.nanos = int((wait % 1.0) * 1e9)
            if not ok:
                told.overall_code = codes.OVER_LIMIT
        return told
