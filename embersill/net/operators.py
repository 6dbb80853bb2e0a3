"""The operators' door: HTTP/1.1 on an address of its own, one call to a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from embersill.net.clients import REASONS

MOST_CALLERS = 32  # at a time; past it the one that has waited longest without a whole call goes
MOST_BYTES = 16 * 1024  # of one call
CALL_WITHIN = 5.0  # seconds for a call to come whole

Answering = Callable[[str, str], tuple[int, str]]


class Caller(asyncio.Protocol):
    """One connection, which brings one call."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target, self.taken, self.answered = b"", 0, False
        self.timer = door.loop.call_later(CALL_WITHIN, self.reply, 408, "the call did not come whole\n")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.door.enter(self)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        if self.answered or self.parser is None:
            return
        try:
            method, target = self.parser.get_method().decode("ascii"), self.target.decode("ascii")
        except UnicodeDecodeError:
            return self.reply(400, "not a call\n")
        self.reply(*self.door.answer(method, target))

    def data_received(self, data: bytes) -> None:
        self.taken += len(data)
        if self.answered or self.parser is None:
            return
        if self.taken > MOST_BYTES:
            return self.reply(413, "the call is too long\n")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reply(400, "not a call\n")

    def reply(self, status: int, text: str) -> None:
        if self.answered or self.transport is None:
            return
        self.answered = True
        body = text.encode()
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, REASONS[status], len(body), body)
        )
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.timer.cancel()
        self.transport = self.parser = None  # the parser knows its caller: parted, both are freed at once
        self.door.callers.pop(self, None)


class Door:
    """The listener and its callers."""

    def __init__(self, answer: Answering) -> None:
        self.answer = answer
        self.loop = asyncio.get_running_loop()
        self.callers: dict[Caller, None] = {}  # in the order they came
        self.server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        self.server = await self.loop.create_server(lambda: Caller(self), *address)

    def enter(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            if caller.transport is not None:
                caller.transport.close()
