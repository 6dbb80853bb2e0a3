"""The listener of the rate limit service: envoy.service.ratelimit.v3 over grpc.aio, health and reflection.

Bounds: a message over its bound and questions over `most_open` get RESOURCE_EXHAUSTED from the library,
streams over `most_streams` wait at the client (RFC 9113, 5.1.2), and nothing here outlives its question.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any

import grpc
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc
from grpc_health.v1 import health, health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection

from embersill.ratelimit.answering import Answer, Answering, BadQuestion, Descriptor, Override
from embersill.ratelimit.settings import AnswerTable

SERVICE = "envoy.service.ratelimit.v3.RateLimitService"
IDLE_MS, PING_MS = 300_000, 30_000  # a connection that asks nothing is closed, one that is gone is noticed

log = logging.getLogger("embersill")


class Unavailable(Exception):
    """The customer is decided elsewhere, or nowhere just now."""


class RateLimitServicer(rls_pb2_grpc.RateLimitServiceServicer):  # type: ignore[misc]
    def __init__(self, answering: Answering) -> None:
        self.answering = answering

    async def ShouldRateLimit(self, request: Any, context: Any) -> Any:  # noqa: N802 - the protocol's name
        try:
            answer = self.answering.answer(
                request.domain, [read_descriptor(d) for d in request.descriptors], request.hits_addend
            )
        except BadQuestion as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except Unavailable as error:
            await context.abort(grpc.StatusCode.UNAVAILABLE, str(error))
        except Exception:
            log.exception("a question went wrong")
            await context.abort(grpc.StatusCode.INTERNAL, "the question went wrong")
        return write_answer(answer)


def read_descriptor(told: Any) -> Descriptor:
    override = None
    if told.HasField("limit"):
        override = Override(told.limit.requests_per_unit, told.limit.unit)
    hits = told.hits_addend.value if told.HasField("hits_addend") else None
    return Descriptor(tuple((e.key, e.value) for e in told.entries), hits, override)


def write_answer(answer: Answer) -> Any:
    codes = rls_pb2.RateLimitResponse
    told = codes(overall_code=codes.OK if answer.ok else codes.OVER_LIMIT)
    for status in answer.statuses:
        one = told.statuses.add(code=codes.OK if status.ok else codes.OVER_LIMIT)
        if status.unit:
            one.current_limit.name = status.name
            one.current_limit.requests_per_unit = status.requests_per_unit
            one.current_limit.unit = status.unit if status.unit != 7 else 0
            one.limit_remaining = status.remaining
            # rounded up: who comes back then finds the units there
            nanos = math.ceil(status.reset * 1e9)
            one.duration_until_reset.seconds, one.duration_until_reset.nanos = divmod(nanos, 1_000_000_000)
    return told


class RateLimitServer:
    """Starts and stops the listener; questions are answered in the process's own loop."""

    def __init__(
        self,
        table: AnswerTable,
        answering: Answering,
        servicer: Callable[[Answering], Any] = RateLimitServicer,
    ) -> None:
        self.table, self.answering = table, answering
        self.server = grpc.aio.server(
            maximum_concurrent_rpcs=table.most_open,
            options=[
                ("grpc.max_receive_message_length", table.most_message_bytes),
                ("grpc.max_concurrent_streams", table.most_streams),
                ("grpc.max_metadata_size", 8192),
                ("grpc.max_connection_idle_ms", IDLE_MS),
                ("grpc.keepalive_time_ms", PING_MS),
                ("grpc.http2.max_pings_without_data", 0),
                ("grpc.so_reuseport", 0),
            ],
        )
        rls_pb2_grpc.add_RateLimitServiceServicer_to_server(servicer(answering), self.server)
        self.health = health.aio.HealthServicer()
        health_pb2_grpc.add_HealthServicer_to_server(self.health, self.server)
        if table.reflection:
            names = (SERVICE, health.SERVICE_NAME, reflection.SERVICE_NAME)
            reflection.enable_server_reflection(names, self.server)
        self.port = 0

    async def start(self) -> None:
        """OSError where the address can't be had."""
        try:
            self.port = self.server.add_insecure_port(self.table.listen)
        except RuntimeError as error:
            raise OSError(f"ratelimit.answer.listen: {self.table.listen}: {error}") from error
        await self.server.start()
        for name in ("", SERVICE):
            await self.health.set(name, health_pb2.HealthCheckResponse.SERVING)

    async def stop(self, grace: float) -> None:
        """GOAWAY to all connections; open questions are answered within `grace` seconds."""
        await self.health.enter_graceful_shutdown()
        await self.server.stop(grace)
