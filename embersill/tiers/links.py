"""The sockets between forwarders and planners: one kept connection for each pair, batches both ways.

What has to be said is gathered until the loop's next round and goes out as one frame. A link that breaks, or
brings what it should not, is closed whole; the forwarder dials again.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterable

from embersill.interface import Action
from embersill.net.driver import Driver
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.frames import Dialler, FrameProtocol, TakenProtocol
from embersill.tiers.messages import AnyMessage, Batch
from embersill.tiers.planner import Planner, Session
from embersill.tiers.wire import ForwarderSide, Numbers, PlannerSide, Secret, pack

log = logging.getLogger("embersill")


class LinkProtocol(FrameProtocol):
    """A link that carries batches, numbered each way."""

    def __init__(self, most_frame: int, most_unsent: int) -> None:
        super().__init__(most_frame, most_unsent)
        self.numbers = Numbers()

    def frame_came(self, frame: bytes) -> None:
        self.batch_came(self.numbers.read(frame))

    def say(self, messages: list[AnyMessage], basis: int = 0, acked: int = 0) -> None:
        """Writes messages in as few batches as the bound allows."""
        if self.transport is None or self.transport.is_closing():
            return
        text = pack(Batch(self.numbers.sent + 1, basis, acked, messages))
        if len(text) > self.most_frame and len(messages) > 1:
            half = len(messages) // 2
            self.say(messages[:half], basis, acked)
            return self.say(messages[half:], basis, acked)
        self.numbers.sent += 1
        return self.write(text)

    def batch_came(self, batch: Batch) -> None:
        raise NotImplementedError


class PlannerLink(TakenProtocol, LinkProtocol):
    def __init__(self, server: PlannerServer) -> None:
        side = PlannerSide(server.secret, server.name, server.incarnation, os.urandom(32))
        super().__init__(server.strangers, side, server.most_frame, server.most_unsent)
        self.server = server
        self.session: Session | None = None

    def handshake_came(self, frame: bytes) -> None:
        core, server = self.server.core, self.server
        name = self.welcome(frame, core.forwarders)
        older = server.links.pop(name, None)
        if older is not None:
            older.close()
        server.links[name] = self
        self.session = core.link_up(name, server.clock())
        server.due()

    def batch_came(self, batch: Batch) -> None:
        assert self.session is not None
        self.server.core.received(self.session, batch, self.server.clock())
        self.server.due()

    def lost(self) -> None:
        super().lost()
        if self.session is not None:
            if self.server.links.get(self.session.name) is self:
                del self.server.links[self.session.name]
            self.server.core.link_down(self.session, self.server.clock())
            self.server.due()


class PlannerServer:
    """A planner's side of all links, and its timers."""

    def __init__(
        self, core: Planner, clock: Callable[[], float], secret: Secret, name: str, *, most_frame: int,
        most_unsent: int,
    ) -> None:
        self.core, self.clock, self.secret, self.name = core, clock, secret, name
        self.most_frame, self.most_unsent = most_frame, most_unsent
        self.incarnation = os.urandom(8).hex()
        self.links: dict[str, PlannerLink] = {}
        self.strangers: set[TakenProtocol] = set()
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.flushing = False
        self.ticker: asyncio.TimerHandle | None = None
        self.before_said: Callable[[], None] | None = None  # what must be on disk before it is acted on

    async def start(self, address: tuple[str, int]) -> None:
        self.server = await self.loop.create_server(lambda: PlannerLink(self), *address)
        self.tick()

    @property
    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def tick(self) -> None:
        self.core.tick(self.clock())
        dead, self.core.dead = self.core.dead, []
        for session in dead:
            link = self.links.get(session.name)
            if link is not None and link.session is session:
                link.close()
        self.due()
        self.ticker = self.loop.call_later(self.core.terms.beat_every, self.tick)

    def due(self) -> None:
        """Something may have to be said or timed: once a round of the loop."""
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.flushing = False
        timers, self.core.timers = self.core.timers, []
        now = self.clock()
        for delay, key in timers:
            self.loop.call_later(delay, self.timer_due, key, now + delay)
        if self.before_said is not None:
            self.before_said()
        for link in list(self.links.values()):
            session = link.session
            assert session is not None
            if session.outbox or session.acked > session.acked_told:
                link.say(*self.core.said(session))

    def timer_due(self, key: str, due: float) -> None:
        self.core.timer_due(key, due, max(self.clock(), due))
        self.due()

    def close(self) -> None:
        if self.ticker is not None:
            self.ticker.cancel()
        if self.server is not None:
            self.server.close()
        for link in (*self.links.values(), *self.strangers):
            link.close()


class ForwarderLink(LinkProtocol):
    def __init__(self, line: ForwarderLine) -> None:
        super().__init__(line.links.most_frame, line.links.most_unsent)
        self.line = line
        self.side = ForwarderSide(line.links.secret, line.links.name, line.planner, os.urandom(32))

    def handshake_came(self, frame: bytes) -> None:
        answer = self.side.read(frame)
        if answer is not None:
            assert self.transport is not None
            return self.transport.write(answer)
        self.prove()
        assert self.side.challenge is not None
        return self.line.up(self, self.side.challenge.incarnation)

    def batch_came(self, batch: Batch) -> None:
        self.line.links.heard(self.line.planner, batch)

    def turn_away(self, reason: str) -> None:
        if reason != self.line.last_reason:
            log.warning("planner %s: %s", self.line.planner, reason)
        self.line.last_reason = reason
        self.close()

    def lost(self) -> None:
        if self.proved:
            self.line.down(self)


class ForwarderLine:
    """The connection to one planner: dialled again whenever it ends."""

    def __init__(self, links: ForwarderLinks, planner: str, address: tuple[str, int]) -> None:
        self.links, self.planner = links, planner
        self.link: ForwarderLink | None = None
        self.last_reason = ""
        self.dialler = Dialler(lambda: ForwarderLink(self), address)

    def up(self, link: ForwarderLink, incarnation: str) -> None:
        self.link, self.last_reason = link, ""
        self.links.perform(self.links.core.link_up(self.planner, incarnation, self.links.clock()))

    def down(self, link: ForwarderLink) -> None:
        if self.link is link:
            self.link = None
            self.links.perform(self.links.core.link_down(self.planner, self.links.clock()))

    def close(self) -> None:
        self.dialler.task.cancel()
        if self.link is not None:
            self.link.close()


class ForwarderLinks:
    """A forwarder's side of all links. Stands in for the decision module towards the driver."""

    def __init__(
        self, core: Forwarder, clock: Callable[[], float], secret: Secret, name: str,
        planners: dict[str, tuple[str, int]], *, most_frame: int, most_unsent: int,
    ) -> None:
        self.core, self.clock, self.secret, self.name = core, clock, secret, name
        self.settings = core.settings
        self.planners = planners
        self.most_frame, self.most_unsent = most_frame, most_unsent
        self.loop = asyncio.get_running_loop()
        self.driver: Driver | None = None
        self.lines: dict[str, ForwarderLine] = {}
        self.flushing = False
        self.ticker: asyncio.TimerHandle | None = None

    def start(self, driver: Driver) -> None:
        self.driver = driver
        for planner, address in self.planners.items():
            self.lines[planner] = ForwarderLine(self, planner, address)
        self.tick()

    def handle(self, event: object, now: float) -> list[Action]:
        actions = self.core.handle(event, now)  # type: ignore[arg-type]
        self.due()
        return actions

    def heard(self, planner: str, batch: Batch) -> None:
        self.perform(self.core.received(planner, batch, self.clock()))
        if self.core.withdrawn:
            assert self.driver is not None
            for backend in self.core.withdrawn:
                self.driver.pool.call_back(backend)
            self.core.withdrawn.clear()

    def perform(self, actions: Iterable[Action]) -> None:
        assert self.driver is not None
        self.driver.perform(actions)
        self.due()

    def tick(self) -> None:
        self.perform(self.core.tick(self.clock()))
        dead, self.core.dead = self.core.dead, []
        for planner in dead:
            link = self.lines[planner].link
            if link is not None:
                link.close()
        self.ticker = self.loop.call_later(self.core.terms.beat_every / 4, self.tick)

    def due(self) -> None:
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.flushing = False
        for planner, line in self.lines.items():
            messages = self.core.outbox[planner]
            if messages and line.link is not None:
                self.core.outbox[planner] = []
                line.link.say(messages)

    def close(self) -> None:
        if self.ticker is not None:
            self.ticker.cancel()
        self.core.stop(self.clock())
        self.flush()
        for line in self.lines.values():
            line.dialler.task.cancel()
            if line.link is not None and line.link.transport is not None:
                line.link.transport.close()  # after the last words
