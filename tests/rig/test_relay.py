"""What each kind of network fault does to a relay's connections, and that removing the fault ends it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from embersill.rig.relay import Direction, LinkFault, LinkFaultKind, Relay
from embersill.rig.standins import HOST
from tests.bed import run
from tests.peers import SOON

SILENCE_S = 0.15  # during which nothing must arrive


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(1 << 16):
            writer.write(data.upper())
            await writer.drain()
    except (OSError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


def with_relay(test: Callable[[Relay], Awaitable[None]]) -> None:
    async def run_relay() -> None:
        server = await asyncio.start_server(echo, HOST, 0)
        port = int(server.sockets[0].getsockname()[1])
        relay = Relay("a>b", lambda: (HOST, port), 1)
        await relay.start()
        try:
            async with asyncio.timeout(SOON):
                await test(relay)
        finally:
            relay.close()
            server.close()

    run(run_relay)


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def dial(relay: Relay) -> Streams:
    return await asyncio.open_connection(HOST, relay.port)


async def echoed(streams: Streams, text: bytes) -> bytes:
    streams[1].write(text)
    return await streams[0].readexactly(len(text))


async def silent(streams: Streams) -> bool:
    try:
        async with asyncio.timeout(SILENCE_S):
            return not await streams[0].read(1)
    except TimeoutError:
        return True


def test_a_relay_without_faults_carries_both_directions() -> None:
    async def test(relay: Relay) -> None:
        assert await echoed(await dial(relay), b"hello") == b"HELLO"

    with_relay(test)


def test_refuse_rejects_new_connections_and_keeps_open_ones() -> None:
    async def test(relay: Relay) -> None:
        streams = await dial(relay)
        assert await echoed(streams, b"a") == b"A"
        fault_id = await relay.add_fault(LinkFault(LinkFaultKind.REFUSE))
        with pytest.raises(ConnectionRefusedError):
            await dial(relay)
        assert await echoed(streams, b"b") == b"B"
        await relay.remove_fault(fault_id)
        assert await echoed(await dial(relay), b"c") == b"C"

    with_relay(test)


def test_cut_resets_open_and_new_connections() -> None:
    async def test(relay: Relay) -> None:
        streams = await dial(relay)
        assert await echoed(streams, b"a") == b"A"
        fault_id = await relay.add_fault(LinkFault(LinkFaultKind.CUT))
        with pytest.raises(ConnectionResetError):
            await streams[0].readexactly(1)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await (await dial(relay))[0].readexactly(1)
        await relay.remove_fault(fault_id)
        assert await echoed(await dial(relay), b"c") == b"C"

    with_relay(test)


@pytest.mark.parametrize("direction", list(Direction))
def test_swallowed_bytes_arrive_once_the_fault_ends(direction: Direction) -> None:
    async def test(relay: Relay) -> None:
        streams = await dial(relay)
        assert await echoed(streams, b"a") == b"A"
        fault_id = await relay.add_fault(LinkFault(LinkFaultKind.SWALLOW, direction))
        streams[1].write(b"late")
        assert await silent(streams)
        await relay.remove_fault(fault_id)
        assert await streams[0].readexactly(4) == b"LATE"

    with_relay(test)


def test_swallow_stalls_only_its_direction() -> None:
    async def test(relay: Relay) -> None:
        pump = Direction.UP
        await relay.add_fault(LinkFault(LinkFaultKind.SWALLOW, pump))
        async with asyncio.timeout(SOON):
            await relay.wait_passable(Direction.DOWN)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SILENCE_S):
                await relay.wait_passable(Direction.UP)

    with_relay(test)


def test_half_open_connection_stays_open_only_at_the_client() -> None:
    async def test(relay: Relay) -> None:
        streams = await dial(relay)
        assert await echoed(streams, b"a") == b"A"
        fault_id = await relay.add_fault(LinkFault(LinkFaultKind.HALF))
        streams[1].write(b"into nothing")
        assert await silent(streams) and not streams[0].at_eof()
        await relay.remove_fault(fault_id)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await streams[0].readexactly(1)
        assert await echoed(await dial(relay), b"c") == b"C"

    with_relay(test)


def test_delayed_bytes_arrive_late_and_in_order() -> None:
    async def test(relay: Relay) -> None:
        loop = asyncio.get_running_loop()
        await relay.add_fault(LinkFault(LinkFaultKind.DELAY, Direction.UP, 0.1, 0.1))
        streams = await dial(relay)
        began = loop.time()
        for piece in (b"one ", b"two ", b"three"):
            streams[1].write(piece)
            await asyncio.sleep(0.01)
        assert await streams[0].readexactly(13) == b"ONE TWO THREE"
        assert loop.time() - began >= 0.1

    with_relay(test)


@pytest.mark.parametrize(
    "fault",
    [LinkFault(LinkFaultKind.NARROW, rate=5000.0), LinkFault(LinkFaultKind.DRIBBLE, seconds=0.01, size=100)],
)
def test_narrow_and_dribble_deliver_everything_slowly(fault: LinkFault) -> None:
    async def test(relay: Relay) -> None:
        loop = asyncio.get_running_loop()
        await relay.add_fault(fault)
        streams = await dial(relay)
        began = loop.time()
        assert await echoed(streams, b"x" * 2000) == b"X" * 2000
        assert loop.time() - began >= 0.1

    with_relay(test)


def test_two_faults_hold_until_both_are_removed() -> None:
    async def test(relay: Relay) -> None:
        streams = await dial(relay)
        first, second = (
            await relay.add_fault(LinkFault(LinkFaultKind.SWALLOW)),
            await relay.add_fault(LinkFault(LinkFaultKind.SWALLOW)),
        )
        streams[1].write(b"a")
        await relay.remove_fault(first)
        assert await silent(streams)
        await relay.remove_fault(second)
        assert await streams[0].readexactly(1) == b"A"

    with_relay(test)


def test_connection_is_reset_if_nobody_listens_at_the_target() -> None:
    async def connect() -> None:
        relay = Relay("a>b", lambda: (HOST, 1), 1)
        await relay.start()
        async with asyncio.timeout(SOON):
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await (await dial(relay))[0].readexactly(1)
        relay.close()

    run(connect)
