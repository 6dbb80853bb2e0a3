"""A server process of benchmarks.ratelimit: the service ("ours") or one that always answers OK ("bare")."""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import replace
from typing import Any

import msgspec
import uvloop
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc

from embersill.control import Gateway
from embersill.interface import Question, Verdict
from embersill.rig.settings import lab_settings
from embersill.ratelimit.answering import Answering
from embersill.ratelimit.server import RateLimitServer, RateLimitServicer
from embersill.ratelimit.settings import RateLimitTable

RULES = [
    {"domain": "other", "match": {}, "customer": "account", "plan": "pro"},
    {
        "domain": "lookup",
        "match": {"settle": "*"},
        "customer": "account",
        "plan_from": "plan",
        "mode": "settle",
    },
    {"domain": "lookup", "match": {}, "customer": "account", "plan_from": "plan"},
]


class AlwaysOkServicer(rls_pb2_grpc.RateLimitServiceServicer):  # type: ignore[misc]
    """Answers OK without a decision: the cost of gRPC alone."""

    def __init__(self, answering: Answering) -> None:
        pass

    async def ShouldRateLimit(self, request: Any, context: Any) -> Any:  # noqa: N802 - the protocol's name
        """Answers one query."""
        return rls_pb2.RateLimitResponse(overall_code=rls_pb2.RateLimitResponse.OK)


async def main(kind: str) -> None:
    """Starts the server, prints its port and serves until the process is killed."""
    settings = replace(lab_settings(1), counter=False)
    gateway = Gateway(settings, 1, time.monotonic())

    def decide(question: Question) -> Verdict:
        actions = gateway.handle(question, time.monotonic())
        return next(a for a in actions if isinstance(a, Verdict))

    table = msgspec.convert(
        {"answer": {"listen": "127.0.0.1:0", "rules": RULES, "most_streams": 1024}}, RateLimitTable
    ).answer
    assert table is not None
    server = RateLimitServer(
        table, Answering(table, settings, decide), AlwaysOkServicer if kind == "bare" else RateLimitServicer
    )
    await server.start()
    print(server.port, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1]))
