"""A load generator process of benchmarks.ratelimit: streams on one channel with one query each at a time.

Queries are encoded beforehand and answers not decoded: the generator must cost less than the server.
"""

from __future__ import annotations

import asyncio
import json
import sys
from time import perf_counter

import grpc
import uvloop
from envoy.service.ratelimit.v3 import rls_pb2

from embersill.ratelimit.server import SERVICE

CUSTOMERS = 100


def encoded_queries() -> list[bytes]:
    """One encoded query per customer."""
    queries = []
    for number in range(CUSTOMERS):
        query = rls_pb2.RateLimitRequest(domain="lookup", hits_addend=1)
        descriptor = query.descriptors.add()
        descriptor.entries.add(key="account", value=f"{number:016x}")
        descriptor.entries.add(key="plan", value="basis")
        queries.append(query.SerializeToString())
    return queries


async def main() -> None:
    """Sends queries for the given time and prints count and latencies."""
    port, streams, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    queries, latencies = encoded_queries(), []
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = channel.unary_unary(f"/{SERVICE}/ShouldRateLimit")
        await call(queries[0])
        end = perf_counter() + seconds

        async def stream(number: int) -> None:
            while (sent_at := perf_counter()) < end:
                number += 1
                await call(queries[number % CUSTOMERS])
                latencies.append(perf_counter() - sent_at)

        await asyncio.gather(*(stream(n) for n in range(streams)))
    print(json.dumps({"count": len(latencies), "latencies": latencies[-20_000:]}))


if __name__ == "__main__":
    uvloop.run(main())
