"""Persistent connections between gateways, carrying one JSON message per line."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any, Protocol, cast

import msgspec

from embersill.edge.peers.peer_set import Hello

MAX_LINE_BYTES = 16 << 20  # a configuration of some 20,000 routes fits
MAX_UNSENT_BYTES = 32 << 20  # waiting to be sent; a peer with more is disconnected
HEARTBEAT_INTERVAL_S = 0.4  # without a sent message, after which a heartbeat is sent
LINK_TIMEOUT_S = 1.4  # without a received byte, after which a link is closed
CONNECT_TIMEOUT_S = 0.8
REDIAL_MIN_S = 0.25  # after the first failed dial; doubled with each further one up to the maximum
REDIAL_MAX_S = 1.0
Message = dict[str, Any]

log = logging.getLogger("embersill.edge")
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder().decode


class Peers(Protocol):
    """The receiver of link events and messages."""

    def hello(self) -> Hello:
        """This gateway's current hello message."""

    def linked(self, hello: Hello, now: float) -> None:
        """Called when a link to a peer is up."""

    def unlinked(self, name: str, now: float) -> None:
        """Called when the link to a peer is lost."""

    def heard(self, peer: str, message: Message, now: float) -> None:
        """Handles a linked peer's message; raises KeyError, TypeError or ValueError for an invalid one."""


class Link(asyncio.Protocol):
    """One connection to a peer, dialled by either end."""

    def __init__(self, links: Links, dialled: bool) -> None:
        self.links, self.dialled = links, dialled
        self.transport: asyncio.Transport | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.hello: Hello | None = None
        self.heard_at = self.sent_at = links.clock()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends this gateway's hello."""
        self.transport = cast(asyncio.Transport, transport)
        self.links.open.add(self)
        self.send(msgspec.to_builtins(self.links.peers.hello()))

    def send(self, message: Message) -> None:
        """Sends one message."""
        self.write(_encode(message) + b"\n")

    def write(self, line: bytes) -> None:
        """Sends one line; drops a peer that does not read its messages."""
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return self.drop("does not read its messages")
        self.sent_at = self.links.clock()
        self.transport.write(line)

    def data_received(self, data: bytes) -> None:
        """Splits the stream into lines and handles the complete ones."""
        self.heard_at = self.links.clock()
        self.size += len(data)
        if self.size > MAX_LINE_BYTES:
            return self.drop("a line that is too long")
        *lines, rest = data.split(b"\n")
        if not lines:
            self.parts.append(data)
            return
        lines[0] = b"".join((*self.parts, lines[0]))
        self.parts, self.size = [rest], len(rest)
        for line in lines:
            if line and self.transport is not None:
                self.on_line(line)
        self.links.flush()

    def on_line(self, line: bytes) -> None:
        """Handles one line: the first is the peer's hello, the others are messages."""
        try:
            message = _decode(line)
            if self.hello is None:
                self.hello = msgspec.convert(message, Hello)
                return self.links.on_hello(self)
            if self.links.by_peer.get(self.hello.name) is self:
                self.links.peers.heard(self.hello.name, message, self.links.clock())
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError, AttributeError) as error:
            self.drop(f"a message that is invalid: {type(error).__name__}: {error}")

    def drop(self, reason: str) -> None:
        """Closes this connection and logs the reason unless it is empty."""
        if self.transport is not None:
            if reason:
                log.info("link peer=%s %s", self.hello.name if self.hello else "?", reason)
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the closed connection."""
        self.transport = None
        self.links.on_closed(self)


class Links:
    """All links of this process. One per peer counts: of two, the one dialled by the lower name."""

    def __init__(
        self, peers: Peers, clock: Callable[[], float], ip: str, port: int, targets: Callable[[], list[str]]
    ) -> None:
        self.peers, self.clock, self.ip, self.port, self.targets = peers, clock, ip, port, targets
        self.loop = asyncio.get_running_loop()
        self.open: set[Link] = set()
        self.by_peer: dict[str, Link] = {}
        self.dialling: dict[str, asyncio.Task[None]] = {}
        self.next_dial: dict[
            str, tuple[float, float]
        ] = {}  # by IP address: time of the next dial, and the delay after it
        self.server: asyncio.Server | None = None
        self.flush: Callable[[], None] = lambda: None
        self.closed = False

    async def start(self) -> None:
        """Listens for peers."""
        self.server = await self.loop.create_server(
            lambda: Link(self, False), self.ip, self.port, backlog=512
        )

    def on_hello(self, link: Link) -> None:
        """Registers a peer's link after its hello; closes a duplicate."""
        assert link.hello is not None
        name, me = link.hello.name, self.peers.hello().name
        before = self.by_peer.get(name)
        if name == me:
            return link.drop("")
        if before is not None and before is not link and before.hello is not None:
            lower = me < name
            same_life = before.hello.boot == link.hello.boot
            if same_life and before.dialled == lower and link.dialled != lower:
                return link.drop("")
            self.by_peer.pop(name)
            self.peers.unlinked(name, self.clock())
            before.drop("")
        self.by_peer[name] = link
        self.peers.linked(link.hello, self.clock())
        self.flush()

    def on_closed(self, link: Link) -> None:
        """Removes a closed connection, and the peer's link if it was that connection."""
        self.open.discard(link)
        if link.hello is not None and self.by_peer.get(link.hello.name) is link:
            del self.by_peer[link.hello.name]
            self.peers.unlinked(link.hello.name, self.clock())
            if not self.closed:
                self.flush()

    def post(self, mail: list[tuple[str, Message]]) -> None:
        """Sends messages; those to unlinked peers are dropped, since a new link brings a peer up to date."""
        encoded: dict[int, bytes] = {}  # encodes a message to many peers once
        for name, message in mail:
            link = self.by_peer.get(name)
            if link is not None:
                line = encoded.get(id(message))
                if line is None:
                    line = encoded[id(message)] = _encode(message) + b"\n"
                link.write(line)

    def tick(self) -> None:
        """Sends heartbeats, closes silent links, and dials missing peers."""
        now = self.clock()
        for link in list(self.open):
            if now - link.heard_at > LINK_TIMEOUT_S:
                link.drop("silent")
            elif now - link.sent_at > HEARTBEAT_INTERVAL_S and link.hello is not None:
                link.send({"kind": "here"})
        for ip in self.targets():
            dial_at, delay = self.next_dial.get(ip, (0.0, REDIAL_MIN_S))
            if ip not in self.dialling and now >= dial_at:
                self.next_dial[ip] = now + delay, min(2 * delay, REDIAL_MAX_S)
                self.dialling[ip] = self.loop.create_task(self.dial(ip))

    async def dial(self, ip: str) -> None:
        """Tries to connect to a peer at an address."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await self.loop.create_connection(lambda: Link(self, True), ip, self.port)
            sock = link.transport.get_extra_info("socket") if link.transport is not None else None
            if sock is not None:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.next_dial.pop(ip, None)
        except (OSError, TimeoutError):
            pass
        finally:
            self.dialling.pop(ip, None)

    def close(self) -> None:
        """Stops listening and closes all links."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        for task in self.dialling.values():
            task.cancel()
        for link in list(self.open):
            link.drop("")
