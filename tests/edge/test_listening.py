"""A gateway that starts while another process still listens at one of its addresses."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from embersill.edge.listening import listen_when_free


def listener(address: tuple[str, int]) -> socket.socket:
    bound = socket.socket()
    try:
        bound.bind(address)
        bound.listen()
    except OSError:
        bound.close()
        raise
    return bound


def test_it_waits_for_an_address_that_is_still_held() -> None:
    async def scenario() -> None:
        held = listener(("127.0.0.1", 0))
        address, tries = held.getsockname(), []

        def listen() -> None:
            tries.append(1)
            if len(tries) == 3:
                held.close()
            listener(address).close()

        await listen_when_free(listen, 5.0)
        assert len(tries) == 3

    asyncio.run(scenario())


def test_it_says_what_is_wrong_with_an_address_that_stays_held_or_is_none_of_its_own() -> None:
    async def scenario(error: int, tries: int) -> None:
        asked = []

        async def listen() -> None:
            asked.append(1)
            raise OSError(error, "no")

        with pytest.raises(OSError) as raised:
            await listen_when_free(listen, 0.0)
        assert raised.value.errno == error and len(asked) == tries

    asyncio.run(scenario(errno.EADDRINUSE, 1))
    asyncio.run(scenario(errno.EADDRNOTAVAIL, 1))
