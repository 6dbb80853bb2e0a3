"""Links between the system's own processes: JSON, a line a message, over connections that are held."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any, Protocol, cast

import msgspec

from embersill.edge.peers.peer_set import Hello

MOST_LINE = 16 << 20  # bytes: a configuration of some 20,000 routes fits
MOST_UNSENT = 32 << 20  # bytes that wait for a peer, after which it is given up
BEAT_EVERY = 0.4  # seconds without a message after which one says that this end is there
SILENT_FOR = 1.4  # seconds without a byte after which a link is taken to be broken
DIAL_WITHIN = 0.8  # seconds
DIAL_AGAIN = 0.25  # seconds after a dial that failed; more with each further one, up to
DIAL_AGAIN_MOST = 1.0
Message = dict[str, Any]

log = logging.getLogger("embersill.edge")
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder().decode


class Peers(Protocol):
    """What hears of links and messages."""

    def hello(self) -> Hello:
        """How this gateway presents itself now."""

    def linked(self, hello: Hello, now: float) -> None:
        """A link to a peer is up."""

    def unlinked(self, name: str, now: float) -> None:
        """The link to a peer is gone."""

    def heard(self, peer: str, message: Message, now: float) -> None:
        """A message of a linked peer's; KeyError, TypeError, ValueError for one that is none."""


class Link(asyncio.Protocol):
    """One connection to a peer, whichever end dialled."""

    def __init__(self, links: Links, dialled: bool) -> None:
        self.links, self.dialled = links, dialled
        self.transport: asyncio.Transport | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.hello: Hello | None = None
        self.heard_at = self.sent_at = links.clock()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Presents this gateway."""
        self.transport = cast(asyncio.Transport, transport)
        self.links.open.add(self)
        self.send(msgspec.to_builtins(self.links.peers.hello()))

    def send(self, message: Message) -> None:
        """Sends one message."""
        self.write(_encode(message) + b"\n")

    def write(self, line: bytes) -> None:
        """Sends one line; drops a peer that does not read."""
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > MOST_UNSENT:
            return self.drop("does not read")
        self.sent_at = self.links.clock()
        self.transport.write(line)

    def data_received(self, data: bytes) -> None:
        """Takes the lines that are whole."""
        self.heard_at = self.links.clock()
        self.size += len(data)
        if self.size > MOST_LINE:
            return self.drop("a line that is too long")
        *lines, rest = data.split(b"\n")
        if not lines:
            self.parts.append(data)
            return
        lines[0] = b"".join((*self.parts, lines[0]))
        self.parts, self.size = [rest], len(rest)
        for line in lines:
            if line and self.transport is not None:
                self.line_came(line)
        self.links.flush()

    def line_came(self, line: bytes) -> None:
        """The first line presents the peer, the others are its messages."""
        try:
            message = _decode(line)
            if self.hello is None:
                self.hello = msgspec.convert(message, Hello)
                return self.links.came(self)
            if self.links.up.get(self.hello.name) is self:
                self.links.peers.heard(self.hello.name, message, self.links.clock())
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError, AttributeError) as error:
            self.drop(f"a message that is none: {type(error).__name__}: {error}")

    def drop(self, why: str) -> None:
        """Ends this connection; `why` goes to the log."""
        if self.transport is not None:
            if why:
                log.info("link peer=%s %s", self.hello.name if self.hello else "?", why)
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over."""
        self.transport = None
        self.links.gone(self)


class Links:
    """All links of this process. One to each peer counts: of two, that of the lower name's dialling."""

    def __init__(
        self, peers: Peers, clock: Callable[[], float], ip: str, port: int, targets: Callable[[], list[str]]
    ) -> None:
        self.peers, self.clock, self.ip, self.port, self.targets = peers, clock, ip, port, targets
        self.loop = asyncio.get_running_loop()
        self.open: set[Link] = set()
        self.up: dict[str, Link] = {}
        self.dialling: dict[str, asyncio.Task[None]] = {}
        self.next_dial: dict[str, tuple[float, float]] = {}  # by IP: when, and the pause after it
        self.server: asyncio.Server | None = None
        self.flush: Callable[[], None] = lambda: None
        self.closed = False

    async def start(self) -> None:
        """Listens for peers."""
        self.server = await self.loop.create_server(
            lambda: Link(self, False), self.ip, self.port, backlog=512
        )

    def came(self, link: Link) -> None:
        """A peer has said who it is."""
        assert link.hello is not None
        name, me = link.hello.name, self.peers.hello().name
        before = self.up.get(name)
        if name == me:
            return link.drop("")
        if before is not None and before is not link and before.hello is not None:
            lower = me < name
            same_life = before.hello.boot == link.hello.boot
            if same_life and before.dialled == lower and link.dialled != lower:
                return link.drop("")
            self.up.pop(name)
            self.peers.unlinked(name, self.clock())
            before.drop("")
        self.up[name] = link
        self.peers.linked(link.hello, self.clock())
        self.flush()

    def gone(self, link: Link) -> None:
        """A connection is over, and with it the link if it was the one that counts."""
        self.open.discard(link)
        if link.hello is not None and self.up.get(link.hello.name) is link:
            del self.up[link.hello.name]
            self.peers.unlinked(link.hello.name, self.clock())
            if not self.closed:
                self.flush()

    def post(self, mail: list[tuple[str, Message]]) -> None:
        """Sends messages; those to a peer that is not linked are not: it will be told when it is."""
        encoded: dict[int, bytes] = {}  # one message may go to many
        for name, message in mail:
            link = self.up.get(name)
            if link is not None:
                line = encoded.get(id(message))
                if line is None:
                    line = encoded[id(message)] = _encode(message) + b"\n"
                link.write(line)

    def tick(self) -> None:
        """Says that this end is there, gives up silent links, and dials."""
        now = self.clock()
        for link in list(self.open):
            if now - link.heard_at > SILENT_FOR:
                link.drop("silent")
            elif now - link.sent_at > BEAT_EVERY and link.hello is not None:
                link.send({"kind": "here"})
        for ip in self.targets():
            when, pause = self.next_dial.get(ip, (0.0, DIAL_AGAIN))
            if ip not in self.dialling and now >= when:
                self.next_dial[ip] = now + pause, min(2 * pause, DIAL_AGAIN_MOST)
                self.dialling[ip] = self.loop.create_task(self.dial(ip))

    async def dial(self, ip: str) -> None:
        """Tries to connect to a peer."""
        try:
            async with asyncio.timeout(DIAL_WITHIN):
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
        """Ends all links."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        for task in self.dialling.values():
            task.cancel()
        for link in list(self.open):
            link.drop("")
