"""Framed connections between members of a deployment, redialled when they end.

A link that breaks or delivers an invalid frame is closed; the end that dialled it redials.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Generic, TypeVar, cast

from embersill.tiers.messages import BadFrame
from embersill.tiers.wire import (
    MAX_HANDSHAKE_BYTES,
    FrameReader,
    HandshakeError,
    PlannerSide,
    Proof,
    rejection,
)

HANDSHAKE_TIMEOUT_S = 2.0
MAX_UNAUTHENTICATED = 64  # connections of one listener before authentication
DIAL_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.25  # before a redial; doubles each time
STABLE_AFTER_S = 1.0  # a link that lasted this long resets the back-off

log = logging.getLogger("embersill")


class FrameProtocol(asyncio.Protocol):
    """Common to both ends: splits the stream into frames and closes the link on a protocol error."""

    def __init__(self, most_frame: int, most_unsent: int) -> None:
        self.most_frame, self.most_unsent = most_frame, most_unsent
        self.reader = FrameReader(MAX_HANDSHAKE_BYTES)
        self.transport: asyncio.Transport | None = None
        self.handshake: asyncio.TimerHandle | None = None
        self.authenticated = False
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets TCP_NODELAY and starts the handshake's time-out."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.handshake = asyncio.get_running_loop().call_later(HANDSHAKE_TIMEOUT_S, self.close)

    def data_received(self, data: bytes) -> None:
        """Handles the complete frames; closes the link on a protocol error."""
        try:
            for frame in self.reader.feed(data):
                if self.transport is None or self.transport.is_closing():
                    return
                if self.authenticated:
                    self.frame_received(frame)
                else:
                    self.handshake_received(frame)
        except HandshakeError as error:
            self.reject(str(error))
        except BadFrame as error:
            log.warning("a link is closed: %s", error)
            self.close()

    def mark_authenticated(self) -> None:
        """The handshake is complete: allows large frames and stops the handshake's time-out."""
        self.authenticated, self.reader.max_bytes = True, self.most_frame
        if self.handshake is not None:
            self.handshake.cancel()

    def write(self, framed: bytes) -> None:
        """Sends a length-prefixed frame; closes the link of a peer that does not read."""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(framed)
        if self.transport.get_write_buffer_size() > self.most_unsent:
            log.warning("a link is closed: the other end does not read what is sent")
            self.close()

    def close(self) -> None:
        """Aborts the connection."""
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        """Closes the connection when the other end does."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Completes `ended` and calls `lost`."""
        self.transport = None
        if self.handshake is not None:
            self.handshake.cancel()
        if not self.ended.done():
            self.ended.set_result(None)
        self.lost()

    def handshake_received(self, frame: bytes) -> None:
        """A frame has arrived before authentication."""
        raise NotImplementedError

    def frame_received(self, frame: bytes) -> None:
        """A frame has arrived after authentication."""
        raise NotImplementedError

    def reject(self, reason: str) -> None:
        """The handshake has failed."""
        raise NotImplementedError

    def lost(self) -> None:
        """The connection has ended."""


class AcceptedProtocol(FrameProtocol):
    """An accepted connection: the other end has to authenticate itself within the handshake's time-out."""

    def __init__(
        self, unauthenticated: set[AcceptedProtocol], side: PlannerSide, most_frame: int, most_unsent: int
    ) -> None:
        """`unauthenticated`: the listener's connections that have not completed the handshake."""
        super().__init__(most_frame, most_unsent)
        self.unauthenticated, self.side = unauthenticated, side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the challenge; closes the connection if too many are unauthenticated."""
        super().connection_made(transport)
        if len(self.unauthenticated) >= MAX_UNAUTHENTICATED:
            return self.close()
        self.unauthenticated.add(self)
        assert self.transport is not None
        return self.transport.write(self.side.challenge())

    def welcome(self, frame: bytes, known: frozenset[str]) -> str:
        """Accepts a member and returns its name; raises HandshakeError for one that may not connect."""
        proof = self.side.check(frame, known)
        self.accept(proof)
        return proof.name

    def accept(self, proof: Proof, token: int = 0) -> None:
        """Answers a verified proof with the welcome."""
        self.mark_authenticated()
        self.unauthenticated.discard(self)
        assert self.transport is not None
        self.transport.write(self.side.welcome(proof, token))

    def reject(self, reason: str) -> None:
        """Sends the reason and closes the connection."""
        log.warning("a link is rejected: %s", reason)
        if self.transport is not None:
            self.transport.write(rejection(reason))
            self.transport.close()

    def lost(self) -> None:
        """Frees the place among the unauthenticated connections."""
        self.unauthenticated.discard(self)


Link = TypeVar("Link", bound=FrameProtocol)


class Dialler(Generic[Link]):
    """Keeps a connection to one member: redials with back-off whenever it ends."""

    def __init__(self, make: Callable[[], Link], address: tuple[str, int]) -> None:
        self.make, self.address = make, address
        self.loop = asyncio.get_running_loop()
        self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        """Dials until cancelled."""
        back_off = INITIAL_BACKOFF_S
        while True:
            began, link = self.loop.time(), self.make()
            try:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    await self.loop.create_connection(lambda link=link: link, *self.address)  # type: ignore[misc]
                await link.ended
            except (OSError, TimeoutError):
                link.close()
            if link.authenticated and self.loop.time() - began > STABLE_AFTER_S:
                back_off = INITIAL_BACKOFF_S
            await asyncio.sleep(back_off)
            back_off = min(2 * back_off, MAX_BACKOFF_S)
