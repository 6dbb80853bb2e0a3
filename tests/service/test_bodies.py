"""Bodies over 64 KiB in both directions, over real sockets; slow readers, and backends that stop half way."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Iterator

import pytest

from tests.bed import Client, request, run, running
from tests.peers import Asked, Step
from tests.service.test_running import figures, free_address, until

LONG = bytes(range(256)) * 4096  # 1 MiB


@pytest.fixture(autouse=True)
def folder(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    yield


def chunked(body: bytes, size: int) -> bytes:
    pieces = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x;note=1\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\nTrailer: x\r\n\r\n"


FORMS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG), LONG),
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG, 5000),
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG), LONG),
    "until its end": b"HTTP/1.1 200 OK\r\n\r\n" + LONG,
}


def answering(text: bytes, then_end: bool = False, piece: int = 0) -> Step:
    async def write(writer: asyncio.StreamWriter) -> None:
        for i in range(0, len(text), piece or len(text)):
            writer.write(text[i : i + (piece or len(text))])
            await writer.drain()
        if then_end:
            writer.close()

    def step(writer: asyncio.StreamWriter, asked: Asked) -> object:
        return write(writer)

    return step  # type: ignore[return-value]


async def whole(client: Client, size: int = 0) -> tuple[bytes, bytes]:
    """An answer's head and body, unframed by hand: the length that it names, or its chunks."""
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


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("piece", [0, 1371])
def test_a_long_answer_comes_whole_in_every_form(form: str, piece: int) -> None:
    async def test() -> None:
        door = free_address()
        async with running(1, operator=door) as bed:
            bed.backends[0].script = [answering(FORMS[form], form == "until its end", piece)]
            client = await bed.client()
            client.send(request(1))
            head, body = await whole(client)
            assert b" 200 " in head and body == LONG
            assert (await client.ask(request(2)))[0] == 200  # the connection goes on
            told = await figures(door)
            assert told["gateway.passed.lookup"] == 2 and told["gateway.in_progress"] == 0

    run(test)


def test_a_client_that_reads_slowly_holds_little_and_gets_all() -> None:
    async def test() -> None:
        async with running(1, operator=free_address()) as bed:
            sixteen = LONG * 16
            text = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(sixteen), sixteen)
            bed.backends[0].script = [answering(text)]
            client = await bed.client(receive_buffer=16_384)
            client.send(request(1))
            await asyncio.sleep(0.5)  # all that can come has come by now
            connection = next(iter(bed.program.front.connections))
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() < 1 << 20
            _, body = await whole(client)
            assert body == sixteen

    run(test)


def test_an_answer_that_stops_half_way_is_seen_to_be_cut() -> None:
    async def test() -> None:
        door = free_address()
        async with running(1, operator=door) as bed:
            for form in ("length", "chunked"):
                bed.backends[0].script = [answering(FORMS[form][:500_000], True)]
                client = await bed.client()
                client.send(request(1 if form == "length" else 2))
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await whole(client)
            assert (await figures(door))["gateway.bad_gateway.lookup"] == 2
            assert len(bed.seen()) == 2  # what the client has seen part of is not tried anew

    run(test)


def test_a_client_that_leaves_ends_its_long_answer() -> None:
    async def test() -> None:
        async with running(1, operator=free_address()) as bed:
            bed.backends[0].script = [answering(FORMS["length"] + LONG)]
            client = await bed.client(receive_buffer=16_384)
            client.send(request(1))
            await client.reader.readuntil(b"\r\n\r\n")
            client.reset()
            await until(lambda: bed.backends[0].ended == 1 or not bed.program.pool.connections)
            await until(lambda: not bed.program.driver.pending)

    run(test)


def test_a_long_request_goes_on_whole_and_room_for_such_has_a_bound() -> None:
    async def test() -> None:
        async with running(1, operator=free_address()) as bed:
            front = bed.program.front
            assert front.body_room_total == int(0.3 * 192_000_000)
            client = await bed.client()
            assert (await client.ask(request(1, "extract", body=LONG)))[0] == 200
            assert bed.seen()[0][2] == LONG
            in_chunks = request(2, "extract", body=b"", Transfer_Encoding="chunked", drop="Content-Length")
            client.send(in_chunks + chunked(LONG, 40_000))
            assert (await client.answer())[0] == 200 and bed.seen()[1][2] == LONG
            assert front.body_room_free == front.body_room_total
            front.body_room_free = 100_000  # others have the rest
            assert (await client.ask(request(3, "extract", body=LONG)))[0] == 503
            again = await bed.client()
            front.body_room_free = front.body_room_total
            too_long = request(4, "extract", body=b"", Content_Length=str(front.body_room_total + 1))
            assert (await again.ask(too_long))[0] == 413
            half = await bed.client()
            half.send(request(5, "extract", body=LONG)[:300_000])
            await until(lambda: front.body_room_free < front.body_room_total)
            half.reset()
            await until(lambda: front.body_room_free == front.body_room_total)
            assert len(bed.seen()) == 2

    run(test)
