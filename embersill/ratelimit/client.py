"""The gRPC client for rate limit services: one persistent channel per service, and decoding of the answers.

The library's own retries are off: each query is sent once, and only `Asking` decides whether to send another.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import grpc
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc

from embersill.control import Gateway
from embersill.interface import Action, Event
from embersill.ratelimit.asking import Asking, Call, Ruling
from embersill.ratelimit.settings import AskTable

MAX_ANSWER_BYTES = 65_536
OPTIONS = [
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", MAX_ANSWER_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
]


def read_ruling(answer: Any, asked: int) -> Ruling | None:
    """A verdict; None for UNKNOWN or an answer whose statuses do not match the `asked` descriptors."""
    codes = rls_pb2.RateLimitResponse
    if answer.overall_code not in (codes.OK, codes.OVER_LIMIT):
        return None
    if answer.statuses and len(answer.statuses) != asked:
        return None
    resets = [
        s.duration_until_reset.seconds + s.duration_until_reset.nanos / 1e9
        for s in answer.statuses
        if s.code == codes.OVER_LIMIT
    ]
    ok = answer.overall_code == codes.OK
    if ok and resets:
        return None  # contradictory
    return Ruling(ok, max(min(max(resets, default=0.0), 3600.0), 0.0))


def write_question(domain: str, call: Call) -> Any:
    """The protocol's request message for a call."""
    question = rls_pb2.RateLimitRequest(domain=domain, hits_addend=call.hits)
    descriptor = question.descriptors.add()
    for key, value in call.entries:
        descriptor.entries.add(key=key, value=value)
    # zero in the request stands for one hit; in the descriptor it is zero hits
    descriptor.hits_addend.value = call.hits
    return question


class Services:
    """The channels to all services."""

    def __init__(self, table: AskTable) -> None:
        self.table = table
        self.channels = {a: grpc.aio.insecure_channel(a, options=OPTIONS) for a in table.services}
        self.stubs = {a: rls_pb2_grpc.RateLimitServiceStub(c) for a, c in self.channels.items()}

    async def ask(self, call: Call, left: float) -> Ruling | None:
        """The verdict of one call; None if no valid answer arrived within `left` seconds."""
        try:
            answer = await self.stubs[call.service].ShouldRateLimit(
                write_question(self.table.domain, call), timeout=max(left, 0.001)
            )
        except grpc.RpcError:  # an error status, a deadline, a broken connection or GOAWAY
            return None
        return read_ruling(answer, 1)

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self.channels.values():
            await channel.close()


class AskingGateway:
    """The decision module behind `Asking`, with the module's own interface."""

    def __init__(self, gateway: Gateway, table: AskTable, clock: Callable[[], float]) -> None:
        self.gateway, self.settings, self.clock = gateway, gateway.settings, clock
        self.asking = Asking(table, gateway.settings, gateway.handle, clock())
        self.services = Services(table)
        self.perform: Callable[[list[Action]], None] = lambda actions: None
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        # read by a planner
        self.throttles, self.jobs = gateway.throttles, gateway.jobs

    @property
    def servers(self) -> Any:
        """The module's backends."""
        return self.gateway.servers

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handles an event of the driver."""
        actions = self.asking.handle(event, now)
        self.flush()
        return actions

    def flush(self) -> None:
        """Sends the pending calls, and schedules the next tick."""
        calls, self.asking.outbox = self.asking.outbox, []
        for call in calls:
            task = self.loop.create_task(self.call(call))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        look = self.asking.next_tick_at()
        if look is not None and self.timer is None:
            self.timer = self.loop.call_later(max(look - self.clock(), 0.0), self.tick)

    async def call(self, call: Call) -> None:
        """Sends a call and performs the actions that follow from its answer."""
        ruling: Ruling | None = None
        try:
            ruling = await self.services.ask(call, call.until - self.clock())
        finally:
            self.perform(self.asking.answered(call.number, ruling, self.clock()))
            self.flush()

    def tick(self) -> None:
        """The timer of `Asking.tick`."""
        self.timer = None
        self.perform(self.asking.tick(self.clock()))
        self.flush()

    async def close(self) -> None:
        """Cancels the timer and all calls, and closes the channels."""
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.tasks):
            task.cancel()
        await self.services.close()
