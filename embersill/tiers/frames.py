"""Framed connections between members of a deployment: frames in, frames out, dialled again when they end.

A link that breaks, or brings what it should not, is closed whole; whoever dialled it dials again.
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
    PlannerSide,
    Proof,
    HandshakeError,
    rejection,
)

HANDSHAKE_WITHIN = 2.0  # seconds
MOST_STRANGERS = 64  # connections at a listener that have not proved themselves yet
DIAL_WITHIN = 1.0  # seconds
FIRST_BACK_OFF, MOST_BACK_OFF = 0.02, 0.25  # seconds before it is dialled again: doubled each time
STABLE = 1.0  # seconds for which a link must have stood for the next back-off to begin anew

log = logging.getLogger("embersill")


class FrameProtocol(asyncio.Protocol):
    """What both ends share: frames in, frames out, and an end for whatever breaks the rules."""

    def __init__(self, most_frame: int, most_unsent: int) -> None:
        self.most_frame, self.most_unsent = most_frame, most_unsent
        self.reader = FrameReader(MAX_HANDSHAKE_BYTES)
        self.transport: asyncio.Transport | None = None
        self.handshake: asyncio.TimerHandle | None = None
        self.proved = False
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.handshake = asyncio.get_running_loop().call_later(HANDSHAKE_WITHIN, self.close)

    def data_received(self, data: bytes) -> None:
        try:
            for frame in self.reader.feed(data):
                if self.transport is None or self.transport.is_closing():
                    return
                if self.proved:
                    self.frame_came(frame)
                else:
                    self.handshake_came(frame)
        except HandshakeError as error:
            self.turn_away(str(error))
        except BadFrame as error:
            log.warning("a link is closed: %s", error)
            self.close()

    def prove(self) -> None:
        self.proved, self.reader.max_bytes = True, self.most_frame
        if self.handshake is not None:
            self.handshake.cancel()

    def write(self, framed: bytes) -> None:
        """A frame with its length; a peer that does not read loses its link."""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(framed)
        if self.transport.get_write_buffer_size() > self.most_unsent:
            log.warning("a link is closed: the other end does not read")
            self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.handshake is not None:
            self.handshake.cancel()
        if not self.ended.done():
            self.ended.set_result(None)
        self.lost()

    def handshake_came(self, frame: bytes) -> None:
        raise NotImplementedError

    def frame_came(self, frame: bytes) -> None:
        raise NotImplementedError

    def turn_away(self, reason: str) -> None:
        raise NotImplementedError

    def lost(self) -> None:
        """The connection is over."""


class TakenProtocol(FrameProtocol):
    """A connection that was dialled by another: it proves itself before it is more than a stranger."""

    def __init__(
        self, strangers: set[TakenProtocol], side: PlannerSide, most_frame: int, most_unsent: int
    ) -> None:
        """`strangers`: of one listener, those that have not proved themselves yet."""
        super().__init__(most_frame, most_unsent)
        self.strangers, self.side = strangers, side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if len(self.strangers) >= MOST_STRANGERS:
            return self.close()
        self.strangers.add(self)
        assert self.transport is not None
        return self.transport.write(self.side.challenge())

    def welcome(self, frame: bytes, known: frozenset[str]) -> str:
        """Who has proved itself, by name; HandshakeError for one that may not link."""
        proof = self.side.check(frame, known)
        self.accept(proof)
        return proof.name

    def accept(self, proof: Proof, token: int = 0) -> None:
        """Lets one in that has proved itself."""
        self.prove()
        self.strangers.discard(self)
        assert self.transport is not None
        self.transport.write(self.side.welcome(proof, token))

    def turn_away(self, reason: str) -> None:
        log.warning("a link is turned away: %s", reason)
        if self.transport is not None:
            self.transport.write(rejection(reason))
            self.transport.close()

    def lost(self) -> None:
        self.strangers.discard(self)


Link = TypeVar("Link", bound=FrameProtocol)


class Dialler(Generic[Link]):
    """The connection to one member: dialled again whenever it ends."""

    def __init__(self, make: Callable[[], Link], address: tuple[str, int]) -> None:
        self.make, self.address = make, address
        self.loop = asyncio.get_running_loop()
        self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        back_off = FIRST_BACK_OFF
        while True:
            began, link = self.loop.time(), self.make()
            try:
                async with asyncio.timeout(DIAL_WITHIN):
                    await self.loop.create_connection(lambda link=link: link, *self.address)  # type: ignore[misc]
                await link.ended
            except (OSError, TimeoutError):
                link.close()
            if link.proved and self.loop.time() - began > STABLE:
                back_off = FIRST_BACK_OFF
            await asyncio.sleep(back_off)
            back_off = min(2 * back_off, MOST_BACK_OFF)
