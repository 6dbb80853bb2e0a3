"""Bodies over 64 KiB in both directions, over real sockets; slow readers, and truncated responses."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Iterator

import pytest

from tests.bed import Client, request, run, running
from tests.peers import Asked, Step
from tests.service.test_running import free_address, read_stats, wait_until

BODY_1_MIB = bytes(range(256)) * 4096


@pytest.fixture(autouse=True)
def folder(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    yield


def chunked(body: bytes, size: int) -> bytes:
    pieces = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x;note=1\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\nTrailer: x\r\n\r\n"


RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY_1_MIB), BODY_1_MIB),
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(BODY_1_MIB, 5000),
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY_1_MIB), BODY_1_MIB),
    "until its end": b"HTTP/1.1 200 OK\r\n\r\n" + BODY_1_MIB,
}


def respond_with(text: bytes, then_close: bool = False, piece: int = 0) -> Step:
    async def write(writer: asyncio.StreamWriter) -> None:
        for i in range(0, len(text), piece or len(text)):
            writer.write(text[i : i + (piece or len(text))])
            await writer.drain()
        if then_close:
            writer.close()

    def step(writer: asyncio.StreamWriter, request_seen: Asked) -> object:
        return write(writer)

    return step  # type: ignore[return-value]


async def read_response(client: Client, size: int = 0) -> tuple[bytes, bytes]:
    """A response's head and body, parsed here by its Content-Length or its chunks."""
    async with asyncio.timeout(10):
        head = await client.reader.readuntil(b"\r\n\r\n")
        if b"chunked" not in head:
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            return head, await client.reader.readexactly(length)
        body = b""
        while size := int((await client.reader.readuntil(b"\n")).split(b";")[0], 16):
            body += (await client.reader.readexactly(size + 2))[:-2]
        await client.reader.readline()
        return head, body


@pytest.mark.parametrize("form", RESPONSES)
@pytest.mark.parametrize("piece", [0, 1371])
def test_a_long_response_arrives_complete_with_every_framing(form: str, piece: int) -> None:
    async def test() -> None:
        operator_address = free_address()
        async with running(1, operator=operator_address) as bed:
            bed.backends[0].script = [respond_with(RESPONSES[form], form == "until its end", piece)]
            client = await bed.client()
            client.send(request(1))
            head, body = await read_response(client)
            assert b" 200 " in head and body == BODY_1_MIB
            assert (await client.ask(request(2)))[0] == 200  # the connection stays open
            stats = await read_stats(operator_address)
            assert stats["gateway.passed.lookup"] == 2 and stats["gateway.in_progress"] == 0

    run(test)


def test_a_slow_reader_gets_the_whole_response_with_little_buffered() -> None:
    async def test() -> None:
        async with running(1, operator=free_address()) as bed:
            body_16_mib = BODY_1_MIB * 16
            text = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body_16_mib), body_16_mib)
            bed.backends[0].script = [respond_with(text)]
            client = await bed.client(receive_buffer=16_384)
            client.send(request(1))
            await asyncio.sleep(0.5)  # by then everything that fits the buffers has arrived
            connection = next(iter(bed.program.front.connections))
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() < 1 << 20
            _, body = await read_response(client)
            assert body == body_16_mib

    run(test)


def test_a_truncated_response_closes_the_connection_and_is_not_retried() -> None:
    async def test() -> None:
        operator_address = free_address()
        async with running(1, operator=operator_address) as bed:
            for form in ("length", "chunked"):
                bed.backends[0].script = [respond_with(RESPONSES[form][:500_000], True)]
                client = await bed.client()
                client.send(request(1 if form == "length" else 2))
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await read_response(client)
            assert (await read_stats(operator_address))["gateway.bad_gateway.lookup"] == 2
            assert len(bed.seen()) == 2  # a partly delivered response is not retried

    run(test)


def test_a_client_that_disconnects_ends_its_long_response() -> None:
    async def test() -> None:
        async with running(1, operator=free_address()) as bed:
            bed.backends[0].script = [respond_with(RESPONSES["length"] + BODY_1_MIB)]
            client = await bed.client(receive_buffer=16_384)
            client.send(request(1))
            await client.reader.readuntil(b"\r\n\r\n")
            client.reset()
            await wait_until(lambda: bed.backends[0].ended == 1 or not bed.program.pool.connections)
            await wait_until(lambda: not bed.program.driver.pending)

    run(test)


def test_a_long_request_is_forwarded_whole_within_a_limit_on_buffered_bodies() -> None:
    async def test() -> None:
        async with running(1, operator=free_address()) as bed:
            front = bed.program.front
            assert front.body_room_total == int(0.3 * 192_000_000)
            client = await bed.client()
            assert (await client.ask(request(1, "extract", body=BODY_1_MIB)))[0] == 200
            assert bed.seen()[0][2] == BODY_1_MIB
            chunked_request = request(
                2, "extract", body=b"", Transfer_Encoding="chunked", drop="Content-Length"
            )
            client.send(chunked_request + chunked(BODY_1_MIB, 40_000))
            assert (await client.answer())[0] == 200 and bed.seen()[1][2] == BODY_1_MIB
            assert front.body_room_free == front.body_room_total
            front.body_room_free = 100_000  # other requests use the rest
            assert (await client.ask(request(3, "extract", body=BODY_1_MIB)))[0] == 503
            later_client = await bed.client()
            front.body_room_free = front.body_room_total
            too_long = request(4, "extract", body=b"", Content_Length=str(front.body_room_total + 1))
            assert (await later_client.ask(too_long))[0] == 413
            leaving_client = await bed.client()
            leaving_client.send(request(5, "extract", body=BODY_1_MIB)[:300_000])
            await wait_until(lambda: front.body_room_free < front.body_room_total)
            leaving_client.reset()
            await wait_until(lambda: front.body_room_free == front.body_room_total)
            assert len(bed.seen()) == 2

    run(test)
