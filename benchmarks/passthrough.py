"""A bare pass-through on the gateway's own libraries: what a request costs with nothing decided or checked.

Each client connection has one backend connection; a request goes out as it came, and so does its answer.
"""

from __future__ import annotations

import asyncio
import sys
from typing import cast

import httptools
import uvloop


class Far(asyncio.Protocol):
    """The backend's side of one client."""

    def __init__(self, near: Near) -> None:
        self.near = near
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.near.backend_up(self)

    def data_received(self, data: bytes) -> None:
        self.parts.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        parts, self.parts = self.parts, []
        if self.near.transport is not None:
            self.near.transport.write(parts[0] if len(parts) == 1 else b"".join(parts))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.near.transport is not None:
            self.near.transport.close()


class Near(asyncio.Protocol):
    """A client's side."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.transport: asyncio.Transport | None = None
        self.far: Far | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.parts: list[bytes] = []
        self.ready: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        loop = asyncio.get_running_loop()
        self.dial = loop.create_task(loop.create_connection(lambda: Far(self), "127.0.0.1", self.port))

    def backend_up(self, far: Far) -> None:
        self.far = far
        ready, self.ready = self.ready, []
        for text in ready:
            self.send(text)

    def data_received(self, data: bytes) -> None:
        self.parts.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        parts, self.parts = self.parts, []
        self.send(parts[0] if len(parts) == 1 else b"".join(parts))

    def send(self, text: bytes) -> None:
        if self.far is not None and self.far.transport is not None:
            self.far.transport.write(text)
        else:
            self.ready.append(text)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.far is not None and self.far.transport is not None:
            self.far.transport.close()


async def main(backend: int) -> None:
    server = await asyncio.get_running_loop().create_server(lambda: Near(backend), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1])))
