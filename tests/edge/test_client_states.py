"""Client connections that end in every possible state, with whole gateways on loopback.

For each behaviour of a client: which responses it gets, that a non-repeatable request runs at most once and
only if it arrived whole, and that the next client gets its own responses.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from embersill.edge.program import GatewayProcess
from tests.edge.test_sockets import Backend, answer, run_scenario, wait_until

HOST = "127.0.0.4"
SLOW_RESPONSE_S = 0.15  # a backend's delay for requests below /p1/slow
RESPONSE_TIMEOUT_S = 3.0


class SlowBackend(Backend):
    """A backend that is slow for some paths."""

    async def process(self, path: bytes) -> None:
        """Waits if the path is a slow one."""
        if b"/slow" in path:
            await asyncio.sleep(SLOW_RESPONSE_S)


def request(
    name: str, path: str = "/p1/x", body: bytes = b"", size: int | None = None, more: str = ""
) -> bytes:
    """A request that must not run twice. `size`: its Content-Length, if not the body's."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {name}\r\nX-Key: k\r\n"
        f"X-Deadline-Remaining-Ms: 2000\r\n{more}"
        f"Content-Length: {len(body) if size is None else size}\r\n\r\n"
    )
    return head.encode() + body


@dataclass
class Response:
    """One response."""

    status: int
    body: str


@dataclass
class Client:
    """One connection to a gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, *requests: bytes) -> None:
        """Writes requests at once."""
        self.writer.write(b"".join(requests))

    async def read_response(self) -> Response:
        """Reads the next response."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            status_line, *lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
            headers = {n.lower(): v for n, _, v in (line.partition(": ") for line in lines)}
            body = await self.reader.readexactly(int(headers["content-length"]))
        return Response(int(status_line.split(" ")[1]), body.decode())

    async def is_closed(self) -> bool:
        """Waits for the gateway to close the connection; False if it sends anything first."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            return await self.reader.read() == b""

    def reset(self) -> None:
        """Resets the connection."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Behaviour = Callable[[Client, Backend], Awaitable[None]]


def times_received(backend: Backend, name: str) -> int:
    """How often the backend received a request."""
    return sum(headers[b"x-attempt-id"] == name.encode() for headers in backend.received)


async def sends_one_request(client: Client, backend: Backend) -> None:
    client.send(request("one"))
    assert await client.read_response() == Response(200, "one")


async def reuses_its_connection(client: Client, backend: Backend) -> None:
    for name in ("one", "two", "three"):
        client.send(request(name, body=b"x" * 9))
        assert await client.read_response() == Response(200, name)


async def pipelines_after_a_slow_request(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"), request("two"), request("three", "/p1/slow"), request("four"))
    assert [(await client.read_response()).body for _ in range(4)] == ["one", "two", "three", "four"]


async def pipelines_a_rejected_request(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"), request("two", "/none/"), request("three"))
    responses = [await client.read_response() for _ in range(3)]
    assert [response.status for response in responses] == [200, 404, 200]
    assert (responses[0].body, responses[2].body) == ("one", "three") and not times_received(backend, "two")


async def sends_a_request_before_the_response(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"))
    await asyncio.sleep(SLOW_RESPONSE_S / 3)
    client.send(request("two"))
    assert [(await client.read_response()).body for _ in range(2)] == ["one", "two"]


async def repeats_the_id_of_a_pending_request(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"), request("one", "/p1/slow"))
    assert [(await client.read_response()).status for _ in range(2)] == [200, 409] and (
        times_received(backend, "one") == 1
    )


async def resets_within_the_head(client: Client, backend: Backend) -> None:
    client.send(request("one")[:40])
    await asyncio.sleep(0.05)
    client.reset()


async def resets_within_the_body(client: Client, backend: Backend) -> None:
    client.send(request("one", body=b"x" * 100, size=200))
    await asyncio.sleep(0.05)
    client.reset()
    await asyncio.sleep(0.05)
    assert not times_received(backend, "one")


async def half_closes_within_the_body(client: Client, backend: Backend) -> None:
    client.send(request("one", body=b"x" * 100, size=200))
    client.writer.write_eof()
    await asyncio.sleep(0.1)
    assert not times_received(backend, "one")


async def resets_before_the_response(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"))
    await wait_until(lambda: times_received(backend, "one") == 1)
    client.reset()
    await asyncio.sleep(2 * SLOW_RESPONSE_S)
    assert times_received(backend, "one") == 1


async def resets_between_two_responses(client: Client, backend: Backend) -> None:
    client.send(request("one"), request("two", "/p1/slow"), request("three", "/p1/slow"))
    assert await client.read_response() == Response(200, "one")
    client.reset()
    await asyncio.sleep(2 * SLOW_RESPONSE_S)
    assert times_received(backend, "two") <= 1 and times_received(backend, "three") <= 1


async def half_closes_before_the_response(client: Client, backend: Backend) -> None:
    """A half-closed client counts as gone; a request that is running still runs to its end, once."""
    client.send(request("one", "/p1/slow"))
    await wait_until(lambda: times_received(backend, "one") == 1)
    client.writer.write_eof()
    assert await client.is_closed()
    await asyncio.sleep(2 * SLOW_RESPONSE_S)
    assert times_received(backend, "one") == 1


async def requests_connection_close(client: Client, backend: Backend) -> None:
    client.send(request("one", more="Connection: close\r\n"), request("two"))
    assert await client.read_response() == Response(200, "one") and await client.is_closed()
    assert not times_received(backend, "two")


async def hides_a_request_in_a_body(client: Client, backend: Backend) -> None:
    hidden = request("hidden")
    client.send(request("one", body=hidden))
    assert await client.read_response() == Response(200, "one")
    client.send(request("two"))
    assert await client.read_response() == Response(200, "two") and not times_received(backend, "hidden")


async def sends_two_body_framings(client: Client, backend: Backend) -> None:
    hidden = request("hidden")
    client.send(request("one", body=hidden, more="Transfer-Encoding: chunked\r\n"))
    assert (await client.read_response()).status == 400 and await client.is_closed()
    assert not times_received(backend, "one") and not times_received(backend, "hidden")


async def sends_invalid_bytes_after_a_request(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"), b"\x00\x01 rubbish\r\n\r\n" + request("hidden"))
    assert await client.read_response() == Response(200, "one")
    assert (await client.read_response()).status == 400 and await client.is_closed()
    assert not times_received(backend, "hidden")


BEHAVIOURS: tuple[Behaviour, ...] = (
    sends_one_request,
    reuses_its_connection,
    pipelines_after_a_slow_request,
    pipelines_a_rejected_request,
    sends_a_request_before_the_response,
    repeats_the_id_of_a_pending_request,
    resets_within_the_head,
    resets_within_the_body,
    half_closes_within_the_body,
    resets_before_the_response,
    resets_between_two_responses,
    half_closes_before_the_response,
    requests_connection_close,
    hides_a_request_in_a_body,
    sends_two_body_framings,
    sends_invalid_bytes_after_a_request,
)


@pytest.mark.parametrize("behaviour", BEHAVIOURS, ids=[behaviour.__name__ for behaviour in BEHAVIOURS])
def test_each_client_gets_its_own_responses_and_no_request_runs_twice(
    tmp_path: Path, behaviour: Behaviour
) -> None:
    async def scenario(ports: list[int], backend: Backend, gateways: list[GatewayProcess]) -> None:
        client = Client(*await asyncio.open_connection(HOST, ports[0]))
        await behaviour(client, backend)
        next_client = Client(*await asyncio.open_connection(HOST, ports[0]))
        for name in ("next", "after"):
            next_client.send(request(name))
            assert await next_client.read_response() == Response(200, name)
        for received in backend.received:
            assert times_received(backend, received[b"x-attempt-id"].decode()) == 1
        client.writer.close()
        next_client.writer.close()

    run_scenario(
        tmp_path, lambda path, headers: answer(headers, body=headers[b"x-attempt-id"]), scenario, SlowBackend
    )
