"""The sockets between members: each dials every other, asks on what it dialled, and answers on what it took.

So a one-way fault takes one of the two away and not the other, and a second process of a name gets the
answers to its own questions. Links are proved as forwarders' are (`tiers/wire.py`), with a digest of the
council's own.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterable

from embersill.council.messages import (
    VERSION, Answer, Question, Reply, decode_question, decode_reply, encode_frame,
)
from embersill.council.terms import CouncilTerms
from embersill.tiers.frames import AcceptedProtocol, Dialler, FrameProtocol
from embersill.tiers.messages import BadFrame
from embersill.tiers.wire import ForwarderSide, PlannerSide, Secret, digest_of, length_prefixed

MOST_FRAME = 8 << 20  # bytes: a whole register
MOST_UNSENT = 16 << 20
SILENT_FOR = 1.5  # seconds without an answer to what was asked, after which a link is dialled anew

log = logging.getLogger("embersill")

Asked = Callable[[str, Question, Callable[[Answer], None]], None]


def council_digest(members: Iterable[str], terms: CouncilTerms) -> str:
    """What all members' files must say alike."""
    return digest_of(["council", VERSION, sorted(members), terms])


class TakenLink(AcceptedProtocol):
    """A connection that another member has dialled: it asks here."""

    def __init__(self, server: MemberServer) -> None:
        side = PlannerSide(server.secret, server.name, "", os.urandom(32))
        super().__init__(server.unauthenticated, side, MOST_FRAME, MOST_UNSENT)
        self.server, self.name = server, ""

    def handshake_received(self, frame: bytes) -> None:
        self.name = self.welcome(frame, self.server.members)
        self.server.links.add(self)

    def frame_received(self, frame: bytes) -> None:
        question = decode_question(frame)
        if question.ask.origin.name != self.name:
            raise BadFrame(f"{self.name!r} asks in the name of {question.ask.origin.name!r}")

        def say(answer: Answer) -> None:
            self.write(length_prefixed(encode_frame(Reply(question.number, answer))))  # type: ignore[arg-type]

        self.server.asked(self.name, question, say)

    def lost(self) -> None:
        super().lost()
        self.server.links.discard(self)


class MemberServer:
    """Where other members dial."""

    def __init__(self, secret: Secret, name: str, members: frozenset[str], asked: Asked) -> None:
        self.secret, self.name, self.members, self.asked = secret, name, members, asked
        self.unauthenticated: set[AcceptedProtocol] = set()
        self.links: set[TakenLink] = set()
        self.server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        self.server = await asyncio.get_running_loop().create_server(lambda: TakenLink(self), *address)

    @property
    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for link in (*self.links, *self.unauthenticated):
            link.close()


class DialledLink(FrameProtocol):
    """A connection to another member, on which it is asked."""

    def __init__(self, line: MemberLine) -> None:
        super().__init__(MOST_FRAME, MOST_UNSENT)
        self.line = line
        self.side = ForwarderSide(line.secret, line.me, line.name, os.urandom(32))
        self.asked_at: float | None = None  # since when an answer is waited for
        self.loop = asyncio.get_running_loop()

    def handshake_received(self, frame: bytes) -> None:
        answer = self.side.read(frame)
        if answer is not None:
            assert self.transport is not None
            return self.transport.write(answer)
        self.mark_authenticated()
        self.line.link, self.line.last_reason = self, ""
        return None

    def frame_received(self, frame: bytes) -> None:
        reply = decode_reply(frame)
        if reply.answer.origin.name != self.line.name:
            raise BadFrame(f"{self.line.name!r} answers in the name of {reply.answer.origin.name!r}")
        self.asked_at = None
        self.line.answered(reply)

    def ask(self, question: Question) -> None:
        now = self.loop.time()
        if self.asked_at is not None and now - self.asked_at > SILENT_FOR:
            return self.close()
        self.asked_at = self.asked_at or now
        return self.write(length_prefixed(encode_frame(question)))

    def reject(self, reason: str) -> None:
        if reason != self.line.last_reason:
            log.warning("member %s: %s", self.line.name, reason)
        self.line.last_reason = reason
        self.close()

    def lost(self) -> None:
        if self.line.link is self:
            self.line.link = None


class MemberLine:
    """The way to one other member. What is asked while there is none is not asked: it is asked again."""

    def __init__(self, secret: Secret, me: str, name: str, address: tuple[str, int],
                 answered: Callable[[Reply], None]) -> None:
        self.secret, self.me, self.name, self.answered = secret, me, name, answered
        self.link: DialledLink | None = None
        self.last_reason = ""
        self.dialler = Dialler(lambda: DialledLink(self), address)

    def ask(self, question: Question) -> None:
        if self.link is not None:
            self.link.ask(question)

    def close(self) -> None:
        self.dialler.task.cancel()
        if self.link is not None:
            self.link.close()
