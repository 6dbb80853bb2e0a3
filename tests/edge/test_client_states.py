"""What a gateway makes of every state in which a client's connection can end, by whole gateways on loopback.

For each behaviour of a client: what it is told, that requests which must not run twice run once at most and
only if they came whole, and that the next client gets its own answers.
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
SLOW = 0.15  # seconds that a backend takes for requests below /p1/slow
TOLD_WITHIN = 3.0  # seconds


class SlowBackend(Backend):
    """Takes its time where the path says so."""

    async def process(self, path: bytes) -> None:
        """Waits, for some paths."""
        if b"/slow" in path:
            await asyncio.sleep(SLOW)


def request(
    name: str, path: str = "/p1/x", body: bytes = b"", size: int | None = None, more: str = ""
) -> bytes:
    """A request that must not run twice; `size`: what its head says of the body."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {name}\r\nX-Key: k\r\n"
        f"X-Deadline-Remaining-Ms: 2000\r\n{more}"
        f"Content-Length: {len(body) if size is None else size}\r\n\r\n"
    )
    return head.encode() + body


@dataclass
class Told:
    """One answer."""

    status: int
    body: str


@dataclass
class Client:
    """One connection to a gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, *requests: bytes) -> None:
        """Writes requests, all at once."""
        self.writer.write(b"".join(requests))

    async def told(self) -> Told:
        """The next answer."""
        async with asyncio.timeout(TOLD_WITHIN):
            first, *lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
            headers = {n.lower(): v for n, _, v in (line.partition(": ") for line in lines)}
            body = await self.reader.readexactly(int(headers["content-length"]))
        return Told(int(first.split(" ")[1]), body.decode())

    async def ended(self) -> bool:
        """True if the gateway ends the connection and says nothing more."""
        async with asyncio.timeout(TOLD_WITHIN):
            return await self.reader.read() == b""

    def reset(self) -> None:
        """Leaves without a word."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Behaviour = Callable[[Client, Backend], Awaitable[None]]


def saw(backend: Backend, name: str) -> int:
    """How often a request came to the backend."""
    return sum(headers[b"x-attempt-id"] == name.encode() for headers in backend.received)


async def asks_once(client: Client, backend: Backend) -> None:
    client.send(request("one"))
    assert await client.told() == Told(200, "one")


async def asks_again_on_a_kept_connection(client: Client, backend: Backend) -> None:
    for name in ("one", "two", "three"):
        client.send(request(name, body=b"x" * 9))
        assert await client.told() == Told(200, name)


async def pipelines_a_slow_one_first(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"), request("two"), request("three", "/p1/slow"), request("four"))
    assert [(await client.told()).body for _ in range(4)] == ["one", "two", "three", "four"]


async def pipelines_one_that_is_turned_away(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"), request("two", "/none/"), request("three"))
    told = [await client.told() for _ in range(3)]
    assert [one.status for one in told] == [200, 404, 200]
    assert (told[0].body, told[2].body) == ("one", "three") and not saw(backend, "two")


async def sends_the_next_before_the_answer(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"))
    await asyncio.sleep(SLOW / 3)
    client.send(request("two"))
    assert [(await client.told()).body for _ in range(2)] == ["one", "two"]


async def sends_the_same_id_while_it_is_open(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"), request("one", "/p1/slow"))
    assert [(await client.told()).status for _ in range(2)] == [200, 409] and saw(backend, "one") == 1


async def leaves_within_the_head(client: Client, backend: Backend) -> None:
    client.send(request("one")[:40])
    await asyncio.sleep(0.05)
    client.reset()


async def leaves_within_the_body(client: Client, backend: Backend) -> None:
    client.send(request("one", body=b"x" * 100, size=200))
    await asyncio.sleep(0.05)
    client.reset()
    await asyncio.sleep(0.05)
    assert not saw(backend, "one")


async def ends_within_the_body(client: Client, backend: Backend) -> None:
    client.send(request("one", body=b"x" * 100, size=200))
    client.writer.write_eof()
    await asyncio.sleep(0.1)
    assert not saw(backend, "one")


async def leaves_before_the_answer(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"))
    await wait_until(lambda: saw(backend, "one") == 1)
    client.reset()
    await asyncio.sleep(2 * SLOW)
    assert saw(backend, "one") == 1


async def leaves_between_two_answers(client: Client, backend: Backend) -> None:
    client.send(request("one"), request("two", "/p1/slow"), request("three", "/p1/slow"))
    assert await client.told() == Told(200, "one")
    client.reset()
    await asyncio.sleep(2 * SLOW)
    assert saw(backend, "two") <= 1 and saw(backend, "three") <= 1


async def closes_its_direction_only(client: Client, backend: Backend) -> None:
    """It has left, as far as can be told; an order that is at work runs to its end, once."""
    client.send(request("one", "/p1/slow"))
    await wait_until(lambda: saw(backend, "one") == 1)
    client.writer.write_eof()
    assert await client.ended()
    await asyncio.sleep(2 * SLOW)
    assert saw(backend, "one") == 1


async def asks_to_close(client: Client, backend: Backend) -> None:
    client.send(request("one", more="Connection: close\r\n"), request("two"))
    assert await client.told() == Told(200, "one") and await client.ended()
    assert not saw(backend, "two")


async def hides_a_request_in_a_body(client: Client, backend: Backend) -> None:
    hidden = request("hidden")
    client.send(request("one", body=hidden))
    assert await client.told() == Told(200, "one")
    client.send(request("two"))
    assert await client.told() == Told(200, "two") and not saw(backend, "hidden")


async def words_its_length_twice(client: Client, backend: Backend) -> None:
    hidden = request("hidden")
    client.send(request("one", body=hidden, more="Transfer-Encoding: chunked\r\n"))
    assert (await client.told()).status == 400 and await client.ended()
    assert not saw(backend, "one") and not saw(backend, "hidden")


async def sends_rubbish_after_a_request(client: Client, backend: Backend) -> None:
    client.send(request("one", "/p1/slow"), b"\x00\x01 rubbish\r\n\r\n" + request("hidden"))
    assert await client.told() == Told(200, "one")
    assert (await client.told()).status == 400 and await client.ended()
    assert not saw(backend, "hidden")


BEHAVIOURS: tuple[Behaviour, ...] = (
    asks_once,
    asks_again_on_a_kept_connection,
    pipelines_a_slow_one_first,
    pipelines_one_that_is_turned_away,
    sends_the_next_before_the_answer,
    sends_the_same_id_while_it_is_open,
    leaves_within_the_head,
    leaves_within_the_body,
    ends_within_the_body,
    leaves_before_the_answer,
    leaves_between_two_answers,
    closes_its_direction_only,
    asks_to_close,
    hides_a_request_in_a_body,
    words_its_length_twice,
    sends_rubbish_after_a_request,
)


@pytest.mark.parametrize("behave", BEHAVIOURS, ids=[one.__name__ for one in BEHAVIOURS])
def test_each_client_is_told_its_own_and_what_must_not_run_twice_does_not(
    tmp_path: Path, behave: Behaviour
) -> None:
    async def then(ports: list[int], backend: Backend, systems: list[GatewayProcess]) -> None:
        client = Client(*await asyncio.open_connection(HOST, ports[0]))
        await behave(client, backend)
        following = Client(*await asyncio.open_connection(HOST, ports[0]))
        for name in ("next", "after"):
            following.send(request(name))
            assert await following.told() == Told(200, name)
        for received in backend.received:
            assert saw(backend, received[b"x-attempt-id"].decode()) == 1
        client.writer.close()
        following.writer.close()

    run_scenario(
        tmp_path, lambda path, headers: answer(headers, body=headers[b"x-attempt-id"]), then, SlowBackend
    )
