"""Writes a message to a transport, and tells whether its receiver may have got any of it.

A receiver may act on a message before it has read all of it. So a message counts as sent as soon as the
kernel has taken its first byte, and nothing that happens to its remainder or to the connection proves
otherwise.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence


def disable_buffering(transport: asyncio.WriteTransport) -> None:
    """Makes a transport try each write at once, and report (pause_writing) what the kernel did not take."""
    transport.set_write_buffer_limits(high=0)


def write_message(transport: asyncio.WriteTransport, first: bytes, rest: Sequence[bytes] = ()) -> bool:
    """Writes a message to an unbuffered transport that has written all before; True if any of it is sent.

    False proves that nothing was sent: the kernel refused even the first bytes, since the connection had
    broken before, and the transport closes.

    The whole message is one write. A transport may learn of an error behind a part of a write, and report it
    later: it drops the rest of that write, but would still send the next one.
    """
    if transport.is_closing():
        return False
    if rest:
        transport.writelines([first, *rest])
    else:
        transport.write(first)
    return not transport.is_closing()
