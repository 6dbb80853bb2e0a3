"""A stand-in rate limit service: its own token buckets behind the published protocol, with scripted faults.

It shares no code with the gateway's throttle, so that equal verdicts are evidence that both are right.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc

from embersill.rig.standins import HOST

EPSILON = 1e-9  # tolerance for rounding where a bucket's level is compared
Step = Callable[[Any, Any], Awaitable[Any] | Any]  # request, context: the answer, or an abort


class Buckets:
    """A token bucket for each customer; a request larger than the burst is granted if the bucket is full."""

    def __init__(self, limits: dict[str, tuple[float, float]], clock: Callable[[], float]) -> None:
        self.limits, self.clock = limits, clock
        self.levels: dict[str, tuple[float, float]] = {}
        self.granted_hits: dict[str, float] = {}

    def hit(self, plan: str, customer: str, hits: float, settles: bool) -> tuple[bool, float, float]:
        """Returns whether it is granted, the remaining hits, and the seconds until it could be granted."""
        rate, burst = self.limits[plan]
        now = self.clock()
        level, at = self.levels.get(customer, (burst, now))
        level = max(level, min(burst, level + rate * (now - at)))
        ok = settles or min(hits, burst) - level <= EPSILON
        if ok:
            level -= hits
            self.granted_hits[customer] = self.granted_hits.get(customer, 0.0) + hits
        self.levels[customer] = level, now
        return ok, max(level, 0.0), 0.0 if ok else (min(hits, burst) - level) / rate


class Limiter(rls_pb2_grpc.RateLimitServiceServicer):  # type: ignore[misc]
    """The service. Steps in `script` answer the next requests instead of the buckets."""

    def __init__(self, limits: dict[str, tuple[float, float]], clock: Callable[[], float]) -> None:
        self.buckets = Buckets(limits, clock)
        self.script: list[Step] = []
        self.received: list[Any] = []
        self.record_requests = True
        self.arrived = asyncio.Condition()
        self.server: Any = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Starts the server; port 0 picks a free one."""
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        rls_pb2_grpc.add_RateLimitServiceServicer_to_server(self, self.server)
        self.port = self.server.add_insecure_port(f"{HOST}:{port}")
        await self.server.start()

    @property
    def address(self) -> str:
        """Host and port of the service."""
        return f"{HOST}:{self.port}"

    async def stop(self, grace: float = 0.0) -> None:
        """Stops the server."""
        await self.server.stop(grace)

    async def wait_for_requests(self, times: int) -> None:
        """Waits until so many requests have been received."""
        async with self.arrived:
            await self.arrived.wait_for(lambda: len(self.received) >= times)

    async def ShouldRateLimit(self, request: Any, context: Any) -> Any:  # noqa: N802 - the protocol's name
        """Handles a rate limit request, by the next step of the script if there is one."""
        if self.record_requests:
            async with self.arrived:
                self.received.append(request)
                self.arrived.notify_all()
        if self.script:
            answer = self.script.pop(0)(request, context)
            return await answer if asyncio.iscoroutine(answer) else answer
        return self.verdict(request)

    def verdict(self, request: Any) -> Any:
        """The response to a request by the buckets."""
        codes = rls_pb2.RateLimitResponse
        response = codes(overall_code=codes.OK)
        for descriptor in request.descriptors:
            entries = {e.key: e.value for e in descriptor.entries}
            has_own_hits = descriptor.HasField("hits_addend")
            hits = descriptor.hits_addend.value if has_own_hits else (request.hits_addend or 1)
            ok, remaining, wait_s = self.buckets.hit(
                entries["plan"], entries["customer"], float(hits), "settle" in entries
            )
            status = response.statuses.add(
                code=codes.OK if ok else codes.OVER_LIMIT, limit_remaining=int(remaining)
            )
            status.duration_until_reset.seconds = int(wait_s)
            status.duration_until_reset.nanos = int((wait_s % 1.0) * 1e9)
            if not ok:
                response.overall_code = codes.OVER_LIMIT
        return response
