"""Connections between members: each dials every other, sends requests on the connections that it dialled,
and answers on those that it accepted.

So a one-way fault affects one of the two directions and not the other, and a second process under the same
name gets the answers to its own requests. Links are authenticated as forwarders' are (`tiers/wire.py`), with
a digest of the council's settings.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterable

from embersill.council.messages import (
    VERSION,
    Answer,
    Question,
    Reply,
    decode_question,
    decode_reply,
    encode_frame,
)
from embersill.council.terms import CouncilTerms
from embersill.tiers.frames import AcceptedProtocol, Dialler, FrameProtocol
from embersill.tiers.messages import BadFrame
from embersill.tiers.wire import ForwarderSide, PlannerSide, Secret, digest_of, length_prefixed

MAX_FRAME_BYTES = 8 << 20  # a whole register
MAX_UNSENT_BYTES = 16 << 20
ANSWER_TIMEOUT_S = 1.5  # without any answer to a request, after which a link is dialled again

log = logging.getLogger("embersill")

OnRequest = Callable[[str, Question, Callable[[Answer], None]], None]


def council_digest(members: Iterable[str], terms: CouncilTerms) -> str:
    """A digest of the settings that must be equal in all members' files."""
    return digest_of(["council", VERSION, sorted(members), terms])


class AcceptedLink(AcceptedProtocol):
    """A connection dialled by another member, which sends its requests on it."""

    def __init__(self, server: MemberServer) -> None:
        side = PlannerSide(server.secret, server.name, "", os.urandom(32))
        super().__init__(server.unauthenticated, side, MAX_FRAME_BYTES, MAX_UNSENT_BYTES)
        self.server, self.name = server, ""

    def handshake_received(self, frame: bytes) -> None:
        """Processes a frame of the handshake; the link counts once it is authenticated."""
        self.name = self.welcome(frame, self.server.members)
        self.server.links.add(self)

    def frame_received(self, frame: bytes) -> None:
        """Passes a request on; BadFrame if it is none, or its sender is not this link's member."""
        question = decode_question(frame)
        if question.ask.origin.name != self.name:
            raise BadFrame(f"member {self.name!r} sent a request as {question.ask.origin.name!r}")

        def send(answer: Answer) -> None:
            self.write(length_prefixed(encode_frame(Reply(question.number, answer))))  # type: ignore[arg-type]

        self.server.on_request(self.name, question, send)

    def lost(self) -> None:
        """Forgets the closed connection."""
        super().lost()
        self.server.links.discard(self)


class MemberServer:
    """The listener that other members dial."""

    def __init__(self, secret: Secret, name: str, members: frozenset[str], on_request: OnRequest) -> None:
        self.secret, self.name, self.members, self.on_request = secret, name, members, on_request
        self.unauthenticated: set[AcceptedProtocol] = set()
        self.links: set[AcceptedLink] = set()
        self.server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Begins to listen."""
        self.server = await asyncio.get_running_loop().create_server(lambda: AcceptedLink(self), *address)

    @property
    def port(self) -> int:
        """The port it listens on."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stops listening, and closes all connections."""
        if self.server is not None:
            self.server.close()
        for link in (*self.links, *self.unauthenticated):
            link.close()


class DialledLink(FrameProtocol):
    """A connection to another member, on which requests are sent to it."""

    def __init__(self, connection: MemberConnection) -> None:
        super().__init__(MAX_FRAME_BYTES, MAX_UNSENT_BYTES)
        self.connection = connection
        self.side = ForwarderSide(connection.secret, connection.me, connection.name, os.urandom(32))
        self.waiting_since: float | None = None  # when the oldest request without an answer was sent
        self.loop = asyncio.get_running_loop()

    def handshake_received(self, frame: bytes) -> None:
        """Processes a frame of the handshake; the link is used once it is authenticated."""
        answer = self.side.read(frame)
        if answer is not None:
            assert self.transport is not None
            return self.transport.write(answer)
        self.mark_authenticated()
        self.connection.link, self.connection.last_reason = self, ""
        return None

    def frame_received(self, frame: bytes) -> None:
        """Passes an answer on; BadFrame if it is none, or its sender is not this link's member."""
        reply = decode_reply(frame)
        if reply.answer.origin.name != self.connection.name:
            raise BadFrame(f"member {self.connection.name!r} answered as {reply.answer.origin.name!r}")
        self.waiting_since = None
        self.connection.on_reply(reply)

    def ask(self, question: Question) -> None:
        """Sends a request; closes the link if earlier ones have gone unanswered for too long."""
        now = self.loop.time()
        if self.waiting_since is not None and now - self.waiting_since > ANSWER_TIMEOUT_S:
            return self.close()
        self.waiting_since = self.waiting_since or now
        return self.write(length_prefixed(encode_frame(question)))

    def reject(self, reason: str) -> None:
        """Closes a link that failed authentication or broke the protocol; logs a reason once."""
        if reason != self.connection.last_reason:
            log.warning("member %s: %s", self.connection.name, reason)
        self.connection.last_reason = reason
        self.close()

    def lost(self) -> None:
        """Forgets the closed connection."""
        if self.connection.link is self:
            self.connection.link = None


class MemberConnection:
    """The dialled link to one other member, re-established as needed. Requests made while it is down are
    dropped; their senders retry."""

    def __init__(
        self, secret: Secret, me: str, name: str, address: tuple[str, int], on_reply: Callable[[Reply], None]
    ) -> None:
        self.secret, self.me, self.name, self.on_reply = secret, me, name, on_reply
        self.link: DialledLink | None = None
        self.last_reason = ""
        self.dialler = Dialler(lambda: DialledLink(self), address)

    def ask(self, question: Question) -> None:
        """Sends a request if the link is up."""
        if self.link is not None:
            self.link.ask(question)

    def close(self) -> None:
        """Closes the link and stops dialling."""
        self.dialler.task.cancel()
        if self.link is not None:
            self.link.close()
