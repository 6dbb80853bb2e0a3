"""A minimal reverse proxy on the gateway's libraries: the cost of a request without decisions or checks.

Each client connection has its own backend connection; requests and responses are forwarded unchanged.
"""

from __future__ import annotations

import asyncio
import sys
from typing import cast

import httptools
import uvloop


class BackendConnection(asyncio.Protocol):
    """The backend connection of one client connection."""

    def __init__(self, client: ClientConnection) -> None:
        self.client = client
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the client's requests that waited for the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.client.backend_connected(self)

    def data_received(self, data: bytes) -> None:
        """Keeps the bytes and looks for the end of the response."""
        self.parts.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Forwards the whole response to the client."""
        parts, self.parts = self.parts, []
        if self.client.transport is not None:
            self.client.transport.write(parts[0] if len(parts) == 1 else b"".join(parts))

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the client connection too."""
        if self.client.transport is not None:
            self.client.transport.close()


class ClientConnection(asyncio.Protocol):
    """A connection accepted from a client."""

    def __init__(self, backend_port: int) -> None:
        self.backend_port = backend_port
        self.transport: asyncio.Transport | None = None
        self.backend: BackendConnection | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.parts: list[bytes] = []
        self.pending: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to connect to the backend."""
        self.transport = cast(asyncio.Transport, transport)
        loop = asyncio.get_running_loop()
        self.connecting = loop.create_task(
            loop.create_connection(lambda: BackendConnection(self), "127.0.0.1", self.backend_port)
        )

    def backend_connected(self, backend: BackendConnection) -> None:
        """Sends the requests that came before the connection was established."""
        self.backend = backend
        pending, self.pending = self.pending, []
        for request in pending:
            self.send(request)

    def data_received(self, data: bytes) -> None:
        """Keeps the bytes and looks for the end of the request."""
        self.parts.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Forwards the whole request to the backend."""
        parts, self.parts = self.parts, []
        self.send(parts[0] if len(parts) == 1 else b"".join(parts))

    def send(self, request: bytes) -> None:
        """Sends a request, or holds it until the backend connection is established."""
        if self.backend is not None and self.backend.transport is not None:
            self.backend.transport.write(request)
        else:
            self.pending.append(request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the backend connection too."""
        self.transport = None
        if self.backend is not None and self.backend.transport is not None:
            self.backend.transport.close()


async def main(backend_port: int) -> None:
    """Starts the proxy, prints its port and serves until the process is killed."""
    server = await asyncio.get_running_loop().create_server(
        lambda: ClientConnection(backend_port), "127.0.0.1", 0
    )
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1])))
