"""The listener of the rate limit service: envoy.service.ratelimit.v3 over grpc.aio, health and reflection.

Bounds: the library answers RESOURCE_EXHAUSTED to an oversized message and to queries beyond `most_open`;
streams beyond `most_streams` wait at the client (RFC 9113, 5.1.2); and no state outlives its query.
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
IDLE_MS, PING_MS = 300_000, 30_000  # closes idle connections, and detects dead ones

log = logging.getLogger("embersill")


class Unavailable(Exception):
    """Another process decides for the customer, or none does at the moment."""


class RateLimitServicer(rls_pb2_grpc.RateLimitServiceServicer):  # type: ignore[misc]
    """The gRPC service: converts messages, and errors to status codes."""

    def __init__(self, answering: Answering) -> None:
        self.answering = answering

    async def ShouldRateLimit(self, request: Any, context: Any) -> Any:  # noqa: N802 - the protocol's name
        """Answers one query."""
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


def read_descriptor(message: Any) -> Descriptor:
    """A descriptor of the protocol's message."""
    override = None
    if message.HasField("limit"):
        override = Override(message.limit.requests_per_unit, message.limit.unit)
    hits = message.hits_addend.value if message.HasField("hits_addend") else None
    return Descriptor(tuple((e.key, e.value) for e in message.entries), hits, override)


def write_answer(answer: Answer) -> Any:
    """The protocol's message for an answer."""
    codes = rls_pb2.RateLimitResponse
    response = codes(overall_code=codes.OK if answer.ok else codes.OVER_LIMIT)
    for status in answer.statuses:
        entry = response.statuses.add(code=codes.OK if status.ok else codes.OVER_LIMIT)
        if status.unit:
            entry.current_limit.name = status.name
            entry.current_limit.requests_per_unit = status.requests_per_unit
            entry.current_limit.unit = status.unit if status.unit != 7 else 0
            entry.limit_remaining = status.remaining
            # rounded up, so that a client that retries then finds the units
            nanos = math.ceil(status.reset * 1e9)
            entry.duration_until_reset.seconds, entry.duration_until_reset.nanos = divmod(
                nanos, 1_000_000_000
            )
    return response


class RateLimitServer:
    """Starts and stops the listener; queries are answered in the process's own event loop."""

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
        """Starts to listen; raises OSError if the address can't be bound."""
        try:
            self.port = self.server.add_insecure_port(self.table.listen)
        except RuntimeError as error:
            raise OSError(f"ratelimit.answer.listen: {self.table.listen}: {error}") from error
        await self.server.start()
        for name in ("", SERVICE):
            await self.health.set(name, health_pb2.HealthCheckResponse.SERVING)

    async def stop(self, grace: float) -> None:
        """Sends GOAWAY on all connections; open queries are answered within `grace` seconds."""
        await self.health.enter_graceful_shutdown()
        await self.server.stop(grace)
