"""What each verb does to the connections of a way, and that it ends when it is taken back."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from embersill.rig.relay import Direction, Trouble, Verb, Way
from embersill.rig.standins import HOST
from tests.bed import run
from tests.peers import SOON

A_WHILE = 0.15  # seconds in which nothing must come


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(1 << 16):
            writer.write(data.upper())
            await writer.drain()
    except (OSError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


def on_a_way(test: Callable[[Way], Awaitable[None]]) -> None:
    async def whole() -> None:
        server = await asyncio.start_server(echo, HOST, 0)
        port = int(server.sockets[0].getsockname()[1])
        way = Way("a>b", lambda: (HOST, port), 1)
        await way.start()
        try:
            async with asyncio.timeout(SOON):
                await test(way)
        finally:
            way.close()
            server.close()

    run(whole)


Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def dial(way: Way) -> Ends:
    return await asyncio.open_connection(HOST, way.port)


async def said(ends: Ends, text: bytes) -> bytes:
    ends[1].write(text)
    return await ends[0].readexactly(len(text))


async def silent(ends: Ends) -> bool:
    try:
        async with asyncio.timeout(A_WHILE):
            return not await ends[0].read(1)
    except TimeoutError:
        return True


def test_an_untroubled_way_carries_both_directions() -> None:
    async def test(way: Way) -> None:
        assert await said(await dial(way), b"hello") == b"HELLO"

    on_a_way(test)


def test_refused_connections_are_refused_and_those_that_stand_go_on() -> None:
    async def test(way: Way) -> None:
        ends = await dial(way)
        assert await said(ends, b"a") == b"A"
        number = await way.put(Trouble(Verb.REFUSE))
        with pytest.raises(ConnectionRefusedError):
            await dial(way)
        assert await said(ends, b"b") == b"B"
        await way.take_off(number)
        assert await said(await dial(way), b"c") == b"C"

    on_a_way(test)


def test_a_cut_resets_what_stands_and_what_comes() -> None:
    async def test(way: Way) -> None:
        ends = await dial(way)
        assert await said(ends, b"a") == b"A"
        number = await way.put(Trouble(Verb.CUT))
        with pytest.raises(ConnectionResetError):
            await ends[0].readexactly(1)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await (await dial(way))[0].readexactly(1)
        await way.take_off(number)
        assert await said(await dial(way), b"c") == b"C"

    on_a_way(test)


@pytest.mark.parametrize("direction", list(Direction))
def test_what_is_swallowed_stands_still_and_comes_in_the_end(direction: Direction) -> None:
    async def test(way: Way) -> None:
        ends = await dial(way)
        assert await said(ends, b"a") == b"A"
        number = await way.put(Trouble(Verb.SWALLOW, direction))
        ends[1].write(b"late")
        assert await silent(ends)
        await way.take_off(number)
        assert await ends[0].readexactly(4) == b"LATE"

    on_a_way(test)


def test_only_the_direction_that_is_swallowed_stands_still() -> None:
    async def test(way: Way) -> None:
        pump = Direction.UP
        await way.put(Trouble(Verb.SWALLOW, pump))
        async with asyncio.timeout(SOON):
            await way.passable(Direction.DOWN)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(A_WHILE):
                await way.passable(Direction.UP)

    on_a_way(test)


def test_a_half_open_connection_is_open_at_the_dialler_only() -> None:
    async def test(way: Way) -> None:
        ends = await dial(way)
        assert await said(ends, b"a") == b"A"
        number = await way.put(Trouble(Verb.HALF))
        ends[1].write(b"into nothing")
        assert await silent(ends) and not ends[0].at_eof()
        await way.take_off(number)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await ends[0].readexactly(1)
        assert await said(await dial(way), b"c") == b"C"

    on_a_way(test)


def test_late_bytes_come_late_and_in_order() -> None:
    async def test(way: Way) -> None:
        loop = asyncio.get_running_loop()
        await way.put(Trouble(Verb.DELAY, Direction.UP, 0.1, 0.1))
        ends = await dial(way)
        began = loop.time()
        for piece in (b"one ", b"two ", b"three"):
            ends[1].write(piece)
            await asyncio.sleep(0.01)
        assert await ends[0].readexactly(13) == b"ONE TWO THREE"
        assert loop.time() - began >= 0.1

    on_a_way(test)


@pytest.mark.parametrize(
    "trouble", [Trouble(Verb.NARROW, rate=5000.0), Trouble(Verb.DRIBBLE, seconds=0.01, size=100)]
)
def test_a_narrow_way_and_one_that_dribbles_carry_all_slowly(trouble: Trouble) -> None:
    async def test(way: Way) -> None:
        loop = asyncio.get_running_loop()
        await way.put(trouble)
        ends = await dial(way)
        began = loop.time()
        assert await said(ends, b"x" * 2000) == b"X" * 2000
        assert loop.time() - began >= 0.1

    on_a_way(test)


def test_two_troubles_hold_until_both_are_taken_off() -> None:
    async def test(way: Way) -> None:
        ends = await dial(way)
        first, second = await way.put(Trouble(Verb.SWALLOW)), await way.put(Trouble(Verb.SWALLOW))
        ends[1].write(b"a")
        await way.take_off(first)
        assert await silent(ends)
        await way.take_off(second)
        assert await ends[0].readexactly(1) == b"A"

    on_a_way(test)


def test_a_way_to_nobody_is_reset() -> None:
    async def test() -> None:
        way = Way("a>b", lambda: (HOST, 1), 1)
        await way.start()
        async with asyncio.timeout(SOON):
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await (await dial(way))[0].readexactly(1)
        way.close()

    run(test)
