"""Listening at an address that another process may still hold for a short time."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable

RETRY_INTERVAL_S = 0.05


async def listen_when_free(listen: Callable[[], Awaitable[None] | None], within: float) -> None:
    """Calls `listen`, and retries for `within` seconds while the address is in use.

    Raises OSError if it is still in use then, or if listening fails for another reason.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + within
    while True:
        try:
            waiting = listen()
            if waiting is not None:
                await waiting
            return
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() >= end:
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)
