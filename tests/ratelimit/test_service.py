"""Over loopback: standard and hostile clients at the listener, and queries to misbehaving services."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import grpc
import msgspec
import pytest
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc
from grpc_health.v1 import health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection_pb2, reflection_pb2_grpc

from embersill.control import Gateway
from embersill.interface import Action, Backend, BackendList, ListKind, Question, Request, Status, Verdict
from embersill.lab.limiter import Limiter
from embersill.ratelimit.answering import Answering
from embersill.ratelimit.client import AskingGateway
from embersill.ratelimit.server import SERVICE, RateLimitServer
from embersill.ratelimit.settings import RateLimitTable
from embersill.rig.deployment import Deployment, Shape
from embersill.rig.processes import free_ports
from embersill.rig.settings import lab_settings
from embersill.rig.standins import HOST
from tests.peers import SOON

CUSTOMER = "00000000000000c1"
CODES = rls_pb2.RateLimitResponse
RULES = [{"domain": "lookup", "match": {}, "customer": "account", "plan_from": "plan"}]


def run(test: Callable[[], Awaitable[None]]) -> None:
    import uvloop

    async def bounded() -> None:
        async with asyncio.timeout(4 * SOON):
            await test()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


def question(
    hits: int = 0, customer: str = CUSTOMER, plan: str = "pro", domain: str = "lookup", descriptors: int = 1
) -> Any:
    asked = rls_pb2.RateLimitRequest(domain=domain, hits_addend=hits)
    for _ in range(descriptors):
        descriptor = asked.descriptors.add()
        descriptor.entries.add(key="account", value=customer)
        descriptor.entries.add(key="plan", value=plan)
    return asked


class Listener:
    """The rate limit service with a gateway behind it."""

    def __init__(self, **changes: Any) -> None:
        self.gateway = Gateway(replace(lab_settings(1), counter=False), 1, 0.0)
        told = {"listen": f"{HOST}:0", "rules": RULES, **changes}
        table = msgspec.convert({"answer": told}, RateLimitTable).answer
        assert table is not None
        self.answering = Answering(table, self.gateway.settings, self.decide)
        self.server = RateLimitServer(table, self.answering)
        self.now = 100.0  # constant, so that verdicts don't depend on the test's speed

    def decide(self, asked: Question) -> Verdict:
        return next(a for a in self.gateway.handle(asked, self.now) if isinstance(a, Verdict))

    def level(self, customer: str = CUSTOMER) -> float:
        return self.gateway.throttles[customer].level


@asynccontextmanager
async def listening(**changes: Any) -> AsyncIterator[tuple[Listener, Any]]:
    listener = Listener(**changes)
    await listener.server.start()
    async with grpc.aio.insecure_channel(f"{HOST}:{listener.server.port}") as channel:
        yield listener, channel
    await listener.server.stop(0.0)


async def status_of(call: Awaitable[Any]) -> grpc.StatusCode:
    try:
        await call
    except grpc.aio.AioRpcError as error:
        code: grpc.StatusCode = error.code()
        return code
    return grpc.StatusCode.OK


def test_a_stock_client_a_health_check_and_reflection_work() -> None:
    async def test() -> None:
        async with listening() as (listener, channel):
            stub = rls_pb2_grpc.RateLimitServiceStub(channel)
            answer = await stub.ShouldRateLimit(question(20))
            assert answer.overall_code == CODES.OK
            (status,) = answer.statuses
            assert (status.current_limit.requests_per_unit, status.current_limit.unit) == (12, 1)
            assert status.limit_remaining == 4
            answer = await stub.ShouldRateLimit(question(6))
            assert answer.overall_code == answer.statuses[0].code == CODES.OVER_LIMIT
            assert 0.16 < answer.statuses[0].duration_until_reset.nanos / 1e9 < 0.17
            health = health_pb2_grpc.HealthStub(channel)
            checked = await health.Check(health_pb2.HealthCheckRequest(service=SERVICE))
            assert checked.status == health_pb2.HealthCheckResponse.SERVING
            reflected = reflection_pb2_grpc.ServerReflectionStub(channel).ServerReflectionInfo(
                iter([reflection_pb2.ServerReflectionRequest(list_services="")])
            )
            names = [s.name async for told in reflected for s in told.list_services_response.service]
            assert SERVICE in names

    run(test)


def test_hostile_questions_get_a_clear_status_and_take_nothing() -> None:
    async def test() -> None:
        async with listening(most_descriptors=16, most_message_bytes=4096) as (listener, channel):
            ask = rls_pb2_grpc.RateLimitServiceStub(channel).ShouldRateLimit
            assert await status_of(ask(question(domain=""))) is grpc.StatusCode.INVALID_ARGUMENT
            assert await status_of(ask(question(descriptors=0))) is grpc.StatusCode.INVALID_ARGUMENT
            assert await status_of(ask(question(descriptors=17))) is grpc.StatusCode.INVALID_ARGUMENT
            assert await status_of(ask(question(customer="me"))) is grpc.StatusCode.INVALID_ARGUMENT
            assert await status_of(ask(question(descriptors=10_000))) is grpc.StatusCode.RESOURCE_EXHAUSTED
            assert not listener.gateway.throttles
            answer = await ask(question(2**32 - 1))
            assert answer.overall_code == CODES.OVER_LIMIT and listener.level() == 24.0
            raw = channel.unary_unary(f"/{SERVICE}/ShouldRateLimit")
            assert await status_of(raw(b"\xff\xff\xff")) is not grpc.StatusCode.OK
            assert (
                await status_of(channel.unary_unary(f"/{SERVICE}/Nothing")(b""))
                is grpc.StatusCode.UNIMPLEMENTED
            )
            assert (await ask(question(1))).overall_code == CODES.OK  # other clients are not affected

    run(test)


def test_thousands_of_streams_and_many_connections_take_what_there_is_and_no_more() -> None:
    async def test() -> None:
        async with listening(most_open=100_000) as (listener, channel):
            ask = rls_pb2_grpc.RateLimitServiceStub(channel).ShouldRateLimit
            # more concurrent streams than the bound: they wait, or are refused with their own status
            answers = await asyncio.gather(*(ask(question(1)) for _ in range(2000)), return_exceptions=True)
            given = [a for a in answers if not isinstance(a, BaseException)]
            refused = [a for a in answers if isinstance(a, grpc.aio.AioRpcError)]
            assert len(given) + len(refused) == 2000 and len(given) >= 256
            assert {a.code() for a in refused} <= {grpc.StatusCode.UNAVAILABLE}
            assert sum(a.overall_code == CODES.OK for a in given) == 24
            channels = [
                grpc.aio.insecure_channel(
                    f"{HOST}:{listener.server.port}", options=[("grpc.use_local_subchannel_pool", 1)]
                )
                for _ in range(60)
            ]
            stubs = [rls_pb2_grpc.RateLimitServiceStub(c) for c in channels]
            told = await asyncio.gather(*(s.ShouldRateLimit(question(1, "00000000000000d1")) for s in stubs))
            assert sum(a.overall_code == CODES.OK for a in told) == 24
            for made in channels:
                await made.close()
            assert len(listener.gateway.throttles) == 2

    run(test)


def test_what_is_no_http2_is_closed_and_disturbs_nobody() -> None:
    async def test() -> None:
        async with listening() as (listener, channel):
            preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
            for noise in (b"GET / HTTP/1.1\r\n\r\n", b"\x00" * 100, preface + b"\xff" * 64):
                reader, writer = await asyncio.open_connection(HOST, listener.server.port)
                writer.write(noise)
                try:
                    while await reader.read(4096):
                        pass
                except ConnectionError:
                    pass
                writer.close()
            ask = rls_pb2_grpc.RateLimitServiceStub(channel).ShouldRateLimit
            assert (await ask(question(1))).overall_code == CODES.OK

    run(test)


# asking


class Asker:
    """A gateway that queries services, and its actions on requests."""

    def __init__(self, *addresses: str, **changes: Any) -> None:
        loop = asyncio.get_running_loop()
        told = {
            "services": list(addresses),
            "domain": "lookup",
            "plans": ["pro"],
            "timeout": 0.15,
            "within": 0.4,
            "within_part": 0.5,
            "break_after": 100,
            "without_verdict": "deny",
            **changes,
        }
        table = msgspec.convert({"ask": told}, RateLimitTable).ask
        assert table is not None
        gateway = Gateway(replace(lab_settings(1), counter=False), 1, loop.time() - 60.0)  # full ceilings
        gateway.handle(
            BackendList(
                ListKind.WHOLE,
                tuple(Backend(f"b{n}", "z", "k", 0, Status.SERVING, 1.0, None) for n in range(8)),
            ),
            loop.time(),
        )
        self.asking = AskingGateway(gateway, table, loop.time)
        self.asking.perform = self.perform
        self.answers: dict[int, asyncio.Future[str]] = {}
        self.told: list[tuple[int, str]] = []

    def perform(self, actions: list[Action]) -> None:
        for action in actions:
            kind = type(action).__name__
            if kind in ("Send", "Refuse", "Fail"):
                number: int = action.request  # type: ignore[union-attr]
                self.told.append((number, kind))
                if not self.answers[number].done():
                    self.answers[number].set_result(kind)

    async def ask(self, number: int, units: float = 2.0) -> str:
        loop = asyncio.get_running_loop()
        self.answers[number] = loop.create_future()
        asked = Request(number, "lookup", "pro", CUSTOMER, loop.time() + 5.0, units, 1, 0, False)
        self.perform(self.asking.handle(asked, loop.time()))
        return await self.answers[number]

    async def idle(self) -> None:
        """Waits until no call is in flight and late answers have been handled."""
        while self.asking.tasks:
            await asyncio.wait(list(self.asking.tasks))


@asynccontextmanager
async def limiters(count: int) -> AsyncIterator[list[Limiter]]:
    made = [Limiter({"pro": (12.0, 24.0)}, lambda: 100.0) for _ in range(count)]
    for limiter in made:
        await limiter.start()
    yield made
    for limiter in made:
        await limiter.stop()


def never(request: Any, context: Any) -> Any:
    return asyncio.sleep(60.0)


def unknown(request: Any, context: Any) -> Any:
    return CODES(overall_code=CODES.UNKNOWN)


def other_statuses(request: Any, context: Any) -> Any:
    told = CODES(overall_code=CODES.OK)
    for _ in range(3):
        told.statuses.add(code=CODES.OK)
    return told


def both(request: Any, context: Any) -> Any:
    told = CODES(overall_code=CODES.OK)
    told.statuses.add(code=CODES.OVER_LIMIT)
    return told


async def error_status(request: Any, context: Any) -> Any:
    await context.abort(grpc.StatusCode.INTERNAL, "broken")


def oversized(request: Any, context: Any) -> Any:
    return CODES(overall_code=CODES.OK, raw_body=b"x" * 200_000)


@pytest.mark.parametrize("step", [unknown, other_statuses, both, error_status, oversized, never])
def test_what_is_no_verdict_leads_to_the_next_service_and_then_to_the_operators_choice(step: Any) -> None:
    async def test() -> None:
        async with limiters(2) as (first, second):
            asker = Asker(first.address, second.address)
            first.script = [step]
            assert await asker.ask(1) == "Send"
            assert len(second.received) == 1 and second.buckets.granted_hits == {CUSTOMER: 2.0}
            first.script, second.script = [step], [step]
            assert await asker.ask(2) == "Refuse"
            await asker.asking.close()

    run(test)


def test_a_service_that_dies_goes_away_and_comes_back_with_fresh_counts() -> None:
    async def test() -> None:
        async with limiters(1) as (limiter,):
            asker = Asker(limiter.address)
            assert [await asker.ask(n, 8.0) for n in range(1, 5)] == ["Send"] * 3 + ["Refuse"]
            limiter.script = [never]
            dying = asyncio.ensure_future(asker.ask(5))
            await limiter.wait_for_requests(5)
            await limiter.stop(0.0)  # GOAWAY, and the stream is aborted
            assert await dying == "Refuse"
            assert await asker.ask(6) == "Refuse"  # refused connections
            fresh = Limiter({"pro": (12.0, 24.0)}, lambda: 100.0)
            await fresh.start(limiter.port)
            number = 7
            while await asker.ask(number) != "Send":  # the channel reconnects
                number += 1
                await asyncio.sleep(0.05)
            assert fresh.buckets.granted_hits[CUSTOMER] >= 2.0
            await fresh.stop()
            await asker.asking.close()

    run(test)


def test_a_verdict_that_comes_after_the_request_has_left() -> None:
    async def test() -> None:
        async with limiters(1) as (limiter,):
            asker = Asker(limiter.address, without_verdict="share", within=0.15)
            free = asyncio.Event()

            async def late(request: Any, context: Any) -> Any:
                await free.wait()
                return limiter.verdict(request)

            limiter.script = [late]
            assert await asker.ask(1) == "Send"
            free.set()
            await asker.idle()
            assert asker.told == [(1, "Send")]
            assert asker.asking.asking.counts["late"] == 1
            assert asker.asking.asking.accounts[CUSTOMER].due == 0.0  # charged by the service, and used
            await asker.asking.close()

    run(test)


def test_one_byte_a_second_is_no_verdict() -> None:
    async def test() -> None:
        async def drip(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                for byte in b"\x00\x00\x00\x04\x00\x00\x00\x00\x00":
                    writer.write(bytes([byte]))
                    await asyncio.sleep(0.2)
            finally:
                writer.close()

        server = await asyncio.start_server(drip, HOST, 0)
        asker = Asker(f"{HOST}:{server.sockets[0].getsockname()[1]}")
        assert await asker.ask(1) == "Refuse"
        await asker.asking.close()
        server.close()

    run(test)


# whole processes


@asynccontextmanager
async def deployed(text: str, planners: int = 0) -> AsyncIterator[Deployment]:
    deployment = Deployment(Shape(fronts=1, planners=planners, backends=2, operator=text))
    await deployment.start()
    try:
        yield deployment
    finally:
        deployment.close()


async def until_led(deployment: Deployment, planners: int) -> None:
    """Waits until a forwarder follows its planner for all parts: before that it asks no planner."""
    async with asyncio.timeout(SOON):
        while planners and set(deployment.members["g0"].status.get("holders", {""})) != {"p0"}:
            await asyncio.sleep(0.01)


def answer_text(port: int) -> str:
    return (
        f'[ratelimit.answer]\nlisten = "{HOST}:{port}"\n[[ratelimit.answer.rules]]\ndomain = "lookup"\n'
        'match = {}\ncustomer = "account"\nplan_from = "plan"\nspread = 1\n'
    )


@pytest.mark.parametrize("planners", [0, 1])
def test_a_process_answers_and_stops_in_order(planners: int) -> None:
    async def test() -> None:
        (port,) = free_ports(1)
        async with deployed(answer_text(port), planners) as deployment:
            async with grpc.aio.insecure_channel(f"{HOST}:{port}") as channel:
                ask = rls_pb2_grpc.RateLimitServiceStub(channel).ShouldRateLimit
                answer = await ask(question(20), wait_for_ready=True)
                while answer.overall_code != CODES.OK:  # its part of the ceiling fills from its start on
                    answer = await ask(question(20))
                assert (await ask(question(20))).overall_code == CODES.OVER_LIMIT
                member = deployment.members["p0" if planners else "g0"]
                member.send(signal.SIGTERM)
                calls = [asyncio.ensure_future(status_of(ask(question(1)))) for _ in range(20)]
                codes = set(await asyncio.gather(*calls))
                # calls that arrive during the stop are refused by the library, with either of its messages
                assert codes <= {grpc.StatusCode.OK, grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.CANCELLED}
                assert await member.wait_exit() == 0
                with pytest.raises(ConnectionRefusedError), socket.socket() as probe:
                    probe.connect((HOST, port))
            assert not list(deployment.logs())

    run(test)


@pytest.mark.parametrize("planners", [0, 1])
def test_a_process_asks(planners: int) -> None:
    async def test() -> None:
        async with limiters(1) as (limiter,):
            text = (
                f'[ratelimit.ask]\nservices = ["{limiter.address}"]\ndomain = "lookup"\nplans = ["pro"]\n'
                "timeout = 1.0\nwithin = 1.0\nwithin_part = 0.5\n"
            )
            async with deployed(text, planners) as deployment:
                await until_led(deployment, planners)
                await deployment.traffic.run(1.0)
                await deployment.traffic.wait_answered(SOON)
                told = deployment.audit.figures()
                assert told["answers_none"] == 0 and told["served"] > 0
                pro = [t for t in deployment.audit.requests.values() if t.plan == "pro"]
                assert len(limiter.received) == len(pro) > 0

    run(test)
