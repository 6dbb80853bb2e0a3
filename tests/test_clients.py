"""The HTTP server over loopback sockets: which requests are accepted or rejected, and in which order."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from embersill.net.backend_pool import MIN_IDLE_S
from embersill.net.clients import MAX_BODY_BYTES, MAX_BAD_REQUESTS, MAX_HEAD_BYTES, EVICTABLE_IDLE_S
from tests.bed import READY, Bed, Client, request, roomy_settings, run, running
from tests.peers import SOON, Asked, message, serve, serve_after


def with_bed(test: Callable[[Bed, Client], Awaitable[None]]) -> None:
    async def inside() -> None:
        async with running() as bed:
            await test(bed, await bed.client())

    run(inside)


def test_a_request_goes_on_unchanged_and_so_does_its_answer() -> None:
    async def test(bed: Bed, client: Client) -> None:
        status, _, body = await client.ask(request(0xABC, "report", body=b"Vestergade 1"))
        assert (status, body) == (200, b"served 0000000000000abc")
        first, headers, sent = bed.seen()[0]
        assert first == "POST /api?client=00000000000000c1 HTTP/1.1" and sent == b"Vestergade 1"
        assert headers["idempotency-key"] == f"key{0xabc:029x}"
        assert 0 < float(headers["x-budget"]) <= 5.0

    with_bed(test)


def test_connections_on_both_sides_are_used_again() -> None:
    # the parser knows whether to keep a connection only during its callback; later it says no
    async def test(bed: Bed, client: Client) -> None:
        for number in range(5):
            assert (await client.ask(request(number)))[0] == 200
            await asyncio.sleep(2 * MIN_IDLE_S)
        assert bed.backends[0].connections == 1

    with_bed(test)


def test_pipelined_requests_are_answered_in_order_though_the_first_takes_longest() -> None:
    async def test(bed: Bed, client: Client) -> None:
        both = asyncio.Event()

        async def answer(writer: asyncio.StreamWriter, asked: Asked) -> None:
            if asked[1]["x-call-id"].endswith("1"):
                await both.wait()
            serve(writer, asked)
            both.set()

        bed.backends[0].script = [answer, answer]
        client.send(request(1) + request(2))
        for number in (1, 2):
            assert (await client.answer())[2] == f"served {number:016x}".encode()

    with_bed(test)


def test_a_long_pipeline_is_answered_whole() -> None:
    # reading pauses while enough requests wait, and must resume; the gateway may refuse some of so many
    async def test(bed: Bed, client: Client) -> None:
        client.send(b"".join(request(n, "report", body=b"x" * 5000) for n in range(60)))
        for number in range(60):
            status, _, body = await client.answer()
            assert status == 429 or body == f"served {number:016x}".encode()

    with_bed(test)


def test_split_and_chunked_requests_arrive_whole() -> None:
    async def test(bed: Bed, client: Client) -> None:
        text = request(7, "extract", drop="Content-Length", Transfer_Encoding="chunked", body=b"")
        text += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        for place in range(len(text)):
            client.send(text[place : place + 1])
            await client.writer.drain()
            await asyncio.sleep(0)
        assert (await client.answer())[0] == 200
        assert bed.seen()[0][2] == b"abcde" and bed.seen()[0][1]["content-length"] == "5"

    with_bed(test)


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"rubbish\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (request(1, drop="X-Call-Id"), 400),
        (request(1, drop="X-Call-Class"), 400),
        (request(1, drop="Plan"), 400),
        (request(1, drop="X-Budget"), 400),
        (request(1, drop="Quota-Info"), 400),
        (request(1, "report", drop="Idempotency-Key"), 400),
        (request(1, "extract", Idempotency_Key="k"), 400),
        (request(1, X_Budget="soon"), 400),
        (request(1, X_Budget="nan"), 400),
        (request(1, X_Budget="-1"), 400),
        (request(1, Plan="gold"), 400),
        (request(1, X_Call_Class="order"), 400),
        (request(1, X_Call_Id="a b"), 400),
        (request(1, Quota_Info="units=2"), 400),
        (request(1, Quota_Info="units=0,spread=2,first=0"), 400),
        (request(1, customer="xyz"), 400),
        (request(1).replace(b"Plan: basis", b"Plan: basis\r\nPlan: pro"), 400),
        (request(1).replace(b"/api?", b"/other?"), 404),
        (b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (request(1).replace(b"GET ", b"DELETE "), 405),
        (request(1).replace(b"GET ", b"POST "), 405),
        (b"POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
        (request(1, Quota_Info="units=9,spread=2,first=0"), 400),
        (request(1, Quota_Info="units=999999999,spread=2,first=0"), 400),
        (request(1, Quota_Info="units=nan,spread=2,first=0"), 400),
        (request(1, Quota_Info="units=1,spread=3,first=0"), 400),
        (request(1, Quota_Info="units=1,spread=0,first=0"), 400),
        (request(1, Quota_Info="units=1,spread=1.5,first=0"), 400),
        (request(1, Quota_Info="units=1,spread=2,first=2"), 400),
        (request(1, customer="0000000200000000"), 400),
        (request(1, budget=8.2), 400),
        (request(1, budget=0.0), 400),
        (request(1, "extract").replace(b"Content-Length: 10", b"Content-Length:\r\n 10"), 400),
        (request(1, "extract", Content_Length="10\r\nContent-Length: 10"), 400),
        (request(1, "extract", Content_Length="-1"), 400),
        (request(1, "extract", Content_Length="10\r\n Transfer-Encoding: chunked"), 400),
        (request(1, "extract", Transfer_Encoding="chunked"), 400),
        (request(1, "extract", Transfer_Encoding="identity"), 400),
        (request(1, "extract", body=b"x" * (MAX_BODY_BYTES + 1)), 413),
        (
            request(1, "extract", drop="Content-Length", body=b"", Transfer_Encoding="chunked")
            + b"20000\r\n"
            + b"x" * 0x20000
            + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * (4 * MAX_HEAD_BYTES), 431),
    ],
)
def test_bad_input_is_told_and_reaches_nobody(text: bytes, status: int) -> None:
    async def test(bed: Bed, client: Client) -> None:
        told, _, body = await client.ask(text)
        assert told == status and len(body.splitlines()) <= 1
        assert bed.program.driver.taken == 0 and not bed.seen()
        assert (await (await bed.client()).ask(request(2)))[0] == 200  # and the process still serves

    with_bed(test)


def test_the_largest_body_passes() -> None:
    async def test(bed: Bed, client: Client) -> None:
        assert (await client.ask(request(1, "extract", body=b"x" * MAX_BODY_BYTES)))[0] == 200

    with_bed(test)


@pytest.mark.parametrize("leave", [Client.reset, Client.close, Client.half_close])
def test_a_client_that_leaves_is_an_event_and_its_attempt_is_called_off(
    leave: Callable[[Client], None],
) -> None:
    async def inside() -> None:
        env = roomy_settings()
        env["services"][0]["aim"] = env["services"][0]["deadline"] = 1e6  # no time-out interferes
        async with running(env=env) as bed:
            client, gone = await bed.client(), asyncio.Event()
            bed.backends[0].script = [lambda writer, asked: gone.set()]
            client.send(request(1, budget=1000.0))
            await gone.wait()  # the backend has the request, and does not answer
            leave(client)
            await bed.backends[0].until(lambda: bed.backends[0].ended == 1)
            assert bed.program.driver.disconnects.requests == 1
            assert not bed.program.driver.unanswered and not bed.program.driver.pending

    run(inside)


def test_a_full_house_makes_room_by_idle_connections_only() -> None:
    async def test(bed: Bed, client: Client) -> None:
        free = asyncio.Event()
        bed.backends[0].script = [serve_after(free)]
        bed.program.front.most = 2
        client.send(request(1))
        await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 1)
        idle, third = await bed.client(), await bed.client()
        assert (await idle.ask(request(2)))[0] == 200
        assert (await third.ask(request(3)))[0] == 200
        assert await idle.closed()
        free.set()
        assert (await client.answer())[0] == 200

    with_bed(test)


def test_a_client_that_reads_nothing_is_not_read_either() -> None:
    # otherwise its answers would fill the gateway's memory
    async def test(bed: Bed, client: Client) -> None:
        large = message(200, b"x" * MAX_BODY_BYTES)
        bed.backends[0].script = [lambda writer, asked: writer.write(large)] * 1000
        client = await bed.client(receive_buffer=8192)
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send(b"".join(request(n) for n in range(1000)))
        while not any(c.stuck for c in bed.program.front.connections):
            await asyncio.sleep(0)
        await bed.program.driver.wait_answered(SOON)
        assert bed.program.driver.taken < 1000
        connection = next(c for c in bed.program.front.connections if c.stuck)
        assert connection.transport is not None
        assert connection.transport.get_write_buffer_size() < 3_000_000
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(1000):
            assert (await client.answer())[0] in (200, 429)

    with_bed(test)


def test_half_sent_requests_make_way_for_clients_that_ask() -> None:
    async def test(bed: Bed, client: Client) -> None:
        front, now = bed.program.front, bed.program.front.clock()
        front.clock = lambda: now
        client = await bed.client()
        client.send(request(1)[:40])
        await until(lambda: any(c.in_request for c in front.connections))
        front.most = len(front.connections)
        assert not front.has_room()
        assert not any(c.closing for c in front.connections)
        front.clock = lambda: now + 2 * EVICTABLE_IDLE_S
        other = await bed.client()
        assert (await other.ask(READY))[0] == 200
        assert (await client.answer())[0] == 408 and await client.closed()

    with_bed(test)


def test_a_crowd_that_says_nothing_does_not_keep_out_those_who_ask() -> None:
    # one connection was freed every 20 ms and kept a second more: hundreds of silent clients held all of them
    async def test(bed: Bed, client: Client) -> None:
        front = bed.program.front
        front.most = 40
        silent = [await bed.client() for _ in range(400)]
        asking = [await bed.client() for _ in range(20)]
        for number, one in enumerate(asking):
            one.send(request(number))
        for one in asking:
            assert (await one.answer())[0] in (200, 429)
        assert sum(s.reader.at_eof() for s in silent) > 300

    with_bed(test)


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(SOON):
        while not done():
            await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("sent", "status"),
    [(b"", 0), (b"\r\n" * 5, 0), (request(1)[:40], 408), (request(1, "extract")[:-3], 408)],
)
def test_one_that_sends_nothing_whole_is_owed_an_error_or_a_close_within_three_seconds(
    sent: bytes, status: int
) -> None:
    async def test() -> None:
        async with running() as bed:
            front, now = bed.program.front, bed.program.front.clock()
            front.clock = lambda: now
            client = await bed.client()
            client.send(sent)
            await until(lambda: len(front.connections) == 1)
            (connection,) = front.connections
            await until(lambda: (connection.received > 0) == bool(sent))
            assert connection.in_request == connection.used == (status > 0)
            front.clock = lambda: now + 1.9
            front.sweep()
            assert not connection.closing
            front.clock = lambda: now + 2.7
            front.sweep()
            if status:
                assert (await client.answer())[0] == status
            assert await client.closed()

    run(test)


def test_connections_that_asked_once_and_stay_are_closed_not_before_two_seconds() -> None:
    async def test(bed: Bed, client: Client) -> None:
        front = bed.program.front
        assert (await client.ask(request(1)))[0] == 200
        (connection,) = front.connections
        front.most = 2
        since = connection.idle_since
        front.clock = lambda: since + 2.0
        front.sweep()
        assert not connection.closing
        front.clock = lambda: since + 3.0
        front.sweep()
        assert await client.closed() and not front.connections

    with_bed(test)


def test_an_id_that_is_open_already_is_an_error_for_the_second_only() -> None:
    async def test(bed: Bed, client: Client) -> None:
        free = asyncio.Event()
        bed.backends[0].script = [serve_after(free)]
        client.send(request(1))
        await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 1)
        other = await bed.client()
        assert (await other.ask(request(1)))[0] == 409
        free.set()
        assert (await client.answer())[0] == 200
        assert (await other.ask(request(1)))[0] == 200 and not bed.program.driver.open

    with_bed(test)


def test_errors_on_a_connection_are_spaced_and_then_end_it() -> None:
    # a client that repeats its error at full speed costs as much for each as for a request
    async def test(bed: Bed, client: Client) -> None:
        bad = request(1, Plan="gold")
        assert (await client.ask(bad))[0] == 400
        (connection,) = bed.program.front.connections
        assert connection.error_pause is not None and connection.paused
        client.send(bad * 300)
        for _ in range(MAX_BAD_REQUESTS - 1):
            assert (await client.answer())[0] == 400
        assert await client.closed()

    with_bed(test)


def test_the_error_reaches_one_who_goes_on_sending_a_huge_body() -> None:
    async def test(bed: Bed, client: Client) -> None:
        client.send(request(1, "extract", body=b"", Content_Length="60000000"))
        for _ in range(100):
            client.send(b"x" * 600_000)
        assert (await client.answer())[0] == 413
        assert await client.closed()

    with_bed(test)


def test_a_stopping_gateway_answers_the_whole_pipeline_before_it_closes() -> None:
    # the first answer's "Connection: close" cut off the requests behind it that had been accepted
    async def test(bed: Bed, client: Client) -> None:
        free = asyncio.Event()
        bed.backends[0].script = [serve_after(free)] * 2
        client.send(request(1) + request(2))
        await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 2)
        bed.program.front.stopping = True
        free.set()
        first, second = await client.answer(), await client.answer()
        assert (first[0], second[0]) == (200, 200)
        assert "connection" not in first[1] and second[1]["connection"] == "close"
        assert await client.closed()

    with_bed(test)


def test_ready_follows_the_list() -> None:
    async def test(bed: Bed, client: Client) -> None:
        assert (await client.ask(READY))[0] == 200
        asked = len(bed.discovery.asked)
        await bed.discovery.change(bed.discovery.entry("b0", bed.backends[0].address, "DRAINING"))
        await bed.discovery.until_asked(asked + 1)
        assert (await client.ask(READY))[0] == 503

    with_bed(test)
