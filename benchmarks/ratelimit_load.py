"""A client process of benchmarks.ratelimit: streams on one channel, each asking one question after another.

Questions and answers stay bytes here: the load must cost less than what it loads.
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


def questions() -> list[bytes]:
    made = []
    for number in range(CUSTOMERS):
        question = rls_pb2.RateLimitRequest(domain="lookup", hits_addend=1)
        descriptor = question.descriptors.add()
        descriptor.entries.add(key="account", value=f"{number:016x}")
        descriptor.entries.add(key="plan", value="basis")
        made.append(question.SerializeToString())
    return made


async def main() -> None:
    port, streams, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    asked, latencies = questions(), []
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = channel.unary_unary(f"/{SERVICE}/ShouldRateLimit")
        await call(asked[0])
        end = perf_counter() + seconds

        async def stream(number: int) -> None:
            while (began := perf_counter()) < end:
                number += 1
                await call(asked[number % CUSTOMERS])
                latencies.append(perf_counter() - began)

        await asyncio.gather(*(stream(n) for n in range(streams)))
    print(json.dumps({"count": len(latencies), "latencies": latencies[-20_000:]}))


if __name__ == "__main__":
    uvloop.run(main())
