"""Listening at an address that another process may still hold for a moment."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable

PAUSE = 0.05  # seconds between tries


async def when_free(listen: Callable[[], Awaitable[None] | None], within: float) -> None:
    """Listens, and tries again for so many seconds while the address is in use.

    OSError if it is in use after that, or can't be listened at for another reason.
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
        await asyncio.sleep(PAUSE)
