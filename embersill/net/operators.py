"""The operators' HTTP/1.1 server: it has an address of its own and takes one call per connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from embersill.net.clients import REASONS

MAX_CONNECTIONS = 32  # beyond this the oldest connection whose call is not complete is closed
MAX_CALL_BYTES = 16 * 1024
CALL_TIMEOUT_S = 5.0  # a call must have arrived completely by then

Handler = Callable[[str, str], tuple[int, str]]


class OperatorConnection(asyncio.Protocol):
    """One connection, which carries one call."""

    def __init__(self, server: OperatorServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target, self.received_bytes, self.answered = b"", 0, False
        self.timer = server.loop.call_later(CALL_TIMEOUT_S, self.reply, 408, "the call did not come whole\n")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Transport callback: registers the connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.server.add(self)

    def on_url(self, url: bytes) -> None:
        """Parser callback; a target may arrive in several pieces."""
        self.target += url

    def on_message_complete(self) -> None:
        """Parser callback: handles the call."""
        if self.answered or self.parser is None:
            return
        try:
            method, target = self.parser.get_method().decode("ascii"), self.target.decode("ascii")
        except UnicodeDecodeError:
            return self.reply(400, "not a call\n")
        self.reply(*self.server.handle(method, target))

    def data_received(self, data: bytes) -> None:
        """Transport callback: feeds the parser."""
        self.received_bytes += len(data)
        if self.answered or self.parser is None:
            return
        if self.received_bytes > MAX_CALL_BYTES:
            return self.reply(413, "the call is too long\n")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reply(400, "not a call\n")

    def reply(self, status: int, text: str) -> None:
        """Sends the one response and closes the connection; later ones are ignored."""
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
        """Transport callback: removes the connection."""
        self.timer.cancel()
        self.transport = self.parser = None  # breaks the cycle with the parser: both are freed at once
        self.server.connections.pop(self, None)


class OperatorServer:
    """Listens for operators' calls and keeps their connections."""

    def __init__(self, handle: Handler) -> None:
        self.handle = handle
        self.loop = asyncio.get_running_loop()
        self.connections: dict[OperatorConnection, None] = {}  # oldest first
        self.listener: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Starts to accept connections."""
        self.listener = await self.loop.create_server(lambda: OperatorConnection(self), *address)

    def add(self, connection: OperatorConnection) -> None:
        """Adds a new connection; over the limit the oldest one is aborted."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()
