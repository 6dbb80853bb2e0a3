"""The sockets between forwarders and planners: one session for each pair, over one connection or several.

What has to be said is gathered until the loop's next round and goes out as one frame. A session goes on while
any of its connections stands, the direct one or one that another planner carries (`multipath.py`), and for
`silent_after` without any. A connection that brings what it should not ends its session; the forwarder dials
again.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

from embersill.interface import Action
from embersill.net.driver import Driver
from embersill.tiers.carrying import Carried, Carrier
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.frames import Dialler, FrameProtocol, TakenProtocol
from embersill.tiers.messages import AnyMessage, BadFrame, Batch
from embersill.tiers.multipath import DIRECT, Multipath
from embersill.tiers.parts import weight
from embersill.tiers.planner import Planner, Session
from embersill.tiers.wire import ForwarderSide, PlannerSide, Proof, Secret, HandshakeError

log = logging.getLogger("embersill")


class Connection(Protocol):
    """What a path is to its session."""

    def write(self, framed: bytes) -> None: ...

    def close(self) -> None: ...


class Trunk:
    """One end of a session: its connections by path, and what of it both ends have alike."""

    def __init__(self, clock: Callable[[], float], multipath: Multipath) -> None:
        self.clock, self.multipath = clock, multipath
        self.links: dict[str, Connection] = {}
        self.pathless_since = clock()

    def join(self, path: str, link: Connection) -> None:
        older = self.links.pop(path, None)
        if older is not None:
            older.close()
            self.multipath.leave(path, self.clock())
        self.links[path] = link
        self.multipath.join(path, self.clock())
        self.write()

    def leave(self, path: str, link: Connection) -> bool:
        """False for a connection that is no path any more."""
        if self.links.get(path) is not link:
            return False
        del self.links[path]
        self.multipath.leave(path, self.clock())
        if not self.links:
            self.pathless_since = self.clock()
        self.write()
        return True

    def say(self, messages: list[AnyMessage], basis: int = 0, acked: int = 0) -> None:
        self.multipath.say(messages, basis, acked, self.clock())
        self.write()

    def came(self, path: str, frame: bytes) -> list[Batch]:
        batches = self.multipath.came(path, frame, self.clock())
        self.write()
        return batches

    def write(self) -> None:
        out, self.multipath.out = self.multipath.out, []
        for path, frame in out:
            link = self.links.get(path)
            if link is not None:
                link.write(frame)

    def over(self, silent_after: float) -> bool:
        """Looks after the paths; True once the session can't go on."""
        self.multipath.tick(self.clock())
        self.write()
        if self.multipath.overfull:
            log.warning("a session ends: the other end does not say what it has")
            return True
        return not self.links and self.clock() - self.pathless_since > silent_after

    def close(self) -> None:
        links, self.links = self.links, {}
        for link in links.values():
            link.close()


class PlannerTrunk(Trunk):
    def __init__(self, trunks: PlannerTrunks, proof: Proof, token: int) -> None:
        super().__init__(trunks.clock, Multipath(trunks.core.terms, trunks.most_frame, trunks.most_unsent))
        self.name, self.life, self.number, self.token = proof.name, proof.life, proof.session, token
        self.session: Session = trunks.core.link_up(proof.name, trunks.clock())


class PlannerTrunks:
    """All sessions of a planner with forwarders. `due` is called when something may have to be said."""

    def __init__(
        self,
        core: Planner,
        clock: Callable[[], float],
        most_frame: int,
        most_unsent: int,
        due: Callable[[], None],
    ) -> None:
        self.core, self.clock, self.due = core, clock, due
        self.most_frame, self.most_unsent = most_frame, most_unsent
        self.trunks: dict[str, PlannerTrunk] = {}  # by forwarder
        self.last_token = 0

    def trunk_of(self, proof: Proof) -> PlannerTrunk:
        """The session that a connection belongs to; a new one takes the place of an older one."""
        trunk = self.trunks.get(proof.name)
        if trunk is not None and trunk.life == proof.life:
            if trunk.number == proof.session:
                return trunk
            if trunk.number > proof.session:
                raise HandshakeError("an older session")
        if trunk is not None:
            self.end(trunk)
        self.last_token += 1
        trunk = self.trunks[proof.name] = PlannerTrunk(self, proof, self.last_token)
        return trunk

    def came(self, trunk: PlannerTrunk, path: str, frame: bytes) -> None:
        """A frame on a path of a session, which a bad one ends: BadFrame."""
        if self.trunks.get(trunk.name) is not trunk:
            return
        try:
            for batch in trunk.came(path, frame):
                self.received(trunk, batch)
        except BadFrame:
            self.end(trunk)
            raise
        self.due()

    def received(self, trunk: PlannerTrunk, batch: Batch) -> None:
        self.core.received(trunk.session, batch, self.clock())

    def lost(self, trunk: PlannerTrunk, path: str, link: Connection) -> None:
        """A connection is over."""
        if trunk.leave(path, link):
            if not trunk.links:
                self.core.link_lost(trunk.session)
            self.due()

    def end(self, trunk: PlannerTrunk) -> None:
        if self.trunks.get(trunk.name) is trunk:
            del self.trunks[trunk.name]
            self.core.link_down(trunk.session, self.clock())
            self.due()
        trunk.close()

    def look_after(self) -> None:
        """To be called once in a beat, after the core's own tick."""
        dead, self.core.dead = self.core.dead, []
        for trunk in list(self.trunks.values()):
            if trunk.session in dead or trunk.over(self.core.terms.silent_after):
                self.end(trunk)

    def flush(self) -> None:
        for trunk in list(self.trunks.values()):
            session = trunk.session
            if session.outbox or session.acked > session.acked_told:
                self.say(trunk, *self.core.said(session))

    def say(self, trunk: PlannerTrunk, messages: list[AnyMessage], basis: int, acked: int) -> None:
        trunk.say(messages, basis, acked)


class PlannerLink(TakenProtocol):
    """A connection that a forwarder has dialled: one of its session's, or one to be carried on."""

    def __init__(self, server: PlannerServer) -> None:
        side = PlannerSide(server.secret, server.name, server.incarnation, os.urandom(32))
        super().__init__(server.strangers, side, server.most_frame, server.most_unsent)
        self.server = server
        self.trunk: PlannerTrunk | None = None
        self.path = DIRECT
        self.carried: Carried | None = None
        self.dialling: asyncio.Task[None] | None = None

    def handshake_came(self, frame: bytes) -> None:
        if self.dialling is not None:
            raise BadFrame("a frame before the welcome")
        proof = self.side.check(frame, self.server.core.forwarders)
        if proof.to:
            if proof.to not in self.server.carrier.others:
                raise HandshakeError(f"no planner {proof.to!r} to be carried to")
            self.dialling = self.server.loop.create_task(self.carry(proof))
            return
        self.path = proof.via
        self.trunk = self.server.sessions.trunk_of(proof)
        self.accept(proof, self.trunk.token)
        self.trunk.join(self.path, self)
        self.server.due()

    async def carry(self, proof: Proof) -> None:
        assert self.transport is not None
        made = await self.server.carrier.begin(proof.name, proof.to, self.transport)
        if made is None:
            return self.close()
        self.accept(proof)
        self.carried = made
        made.start()
        return None

    def data_received(self, data: bytes) -> None:
        if self.carried is not None:
            return self.carried.forth(data)
        return super().data_received(data)

    def pause_writing(self) -> None:
        if self.carried is not None:
            self.carried.back_is_full(True)

    def resume_writing(self) -> None:
        if self.carried is not None:
            self.carried.back_is_full(False)

    def frame_came(self, frame: bytes) -> None:
        assert self.trunk is not None
        self.server.sessions.came(self.trunk, self.path, frame)

    def lost(self) -> None:
        super().lost()
        if self.dialling is not None:
            self.dialling.cancel()
        if self.carried is not None:
            self.carried.close()
        if self.trunk is not None:
            self.server.sessions.lost(self.trunk, self.path, self)


class PlannerServer:
    """A planner's side of all sessions, and its timers."""

    def __init__(
        self,
        core: Planner,
        clock: Callable[[], float],
        secret: Secret,
        name: str,
        *,
        most_frame: int,
        most_unsent: int,
        others: dict[str, tuple[str, int]] | None = None,
    ) -> None:
        """`others`: the planners to which forwarders are carried."""
        self.core, self.clock, self.secret, self.name = core, clock, secret, name
        self.most_frame, self.most_unsent = most_frame, most_unsent
        self.incarnation = os.urandom(8).hex()
        self.sessions = PlannerTrunks(core, clock, most_frame, most_unsent, self.due)
        self.trunks = self.sessions.trunks
        self.strangers: set[TakenProtocol] = set()
        self.carrier = Carrier({p: place for p, place in (others or {}).items() if p != name})
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
        self.sessions.look_after()
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
        self.sessions.flush()

    def timer_due(self, key: str, due: float) -> None:
        self.core.timer_due(key, due, max(self.clock(), due))
        self.due()

    def status(self) -> dict[str, object]:
        """What an operator watches of the links."""
        return {
            "carried": len(self.carrier.carried),
            "resent": sum(trunk.multipath.resent for trunk in self.trunks.values()),
        }

    def close(self) -> None:
        if self.ticker is not None:
            self.ticker.cancel()
        if self.server is not None:
            self.server.close()
        self.carrier.close()
        for trunk in self.trunks.values():
            trunk.close()
        for stranger in list(self.strangers):
            stranger.close()


class ForwarderLink(FrameProtocol):
    """A connection to a planner, direct or carried by another, to which it proves itself first."""

    def __init__(self, links: ForwarderLinks, line: ForwarderLine, via: str) -> None:
        super().__init__(links.most_frame, links.most_unsent)
        self.links, self.line, self.via, self.number = links, line, via, line.number
        self.carrying = bool(via)  # its end is the one who carries, as yet
        self.side = self.side_to(line.planner if not via else via, to=line.planner if via else "")

    def side_to(self, planner: str, to: str = "") -> ForwarderSide:
        links = self.links
        return ForwarderSide(
            links.secret,
            links.name,
            planner,
            os.urandom(32),
            life=links.life,
            session=self.number,
            via="" if to else self.via,
            to=to,
        )

    def handshake_came(self, frame: bytes) -> None:
        answer = self.side.read(frame)
        if answer is not None:
            assert self.transport is not None
            return self.transport.write(answer)
        if self.carrying:
            self.carrying, self.side = False, self.side_to(self.line.planner)
            return None
        self.prove()
        assert self.side.challenge is not None
        return self.line.join(self, self.side.challenge.incarnation, self.side.token)

    def frame_came(self, frame: bytes) -> None:
        self.line.came(self, frame)

    def turn_away(self, reason: str) -> None:
        if reason != self.line.last_reason:
            log.warning("planner %s: %s", self.via or self.line.planner, reason)
        self.line.last_reason = reason
        self.close()

    def lost(self) -> None:
        if self.proved:
            self.line.leave(self)


class LineHost(Protocol):
    """What a line needs of the forwarder's side."""

    core: Forwarder
    clock: Callable[[], float]
    most_frame: int
    most_unsent: int

    def perform(self, actions: Iterable[Action]) -> None: ...

    def heard(self, planner: str, batch: Batch) -> None: ...


class Dialled(Connection, Protocol):
    """A connection of a line: over whom, and of which of its sessions."""

    via: str
    number: int


class ForwarderLine:
    """The session with one planner, and the connections that it goes over: dialled again when they end."""

    def __init__(self, links: LineHost, planner: str) -> None:
        self.links, self.planner = links, planner
        self.last_reason = ""
        self.number = 1  # of the session
        self.token = 0  # the planner's name of it, once there is one
        self.trunk = self.new_trunk()

    def new_trunk(self) -> Trunk:
        links = self.links
        return Trunk(
            links.clock, Multipath(links.core.terms, links.most_frame, links.most_unsent, beats=True)
        )

    def join(self, link: Dialled, incarnation: str, token: int) -> None:
        if link.number != self.number:  # of a session that ended meanwhile
            return link.close()
        if self.token and token != self.token:  # the planner has given the session up
            self.end()
            return link.close()
        self.last_reason = ""
        begins = not self.token
        self.token = token
        if begins:
            self.links.perform(self.links.core.link_up(self.planner, incarnation, self.links.clock()))
        return self.trunk.join(link.via, link)

    def came(self, link: Dialled, frame: bytes) -> None:
        if link.number != self.number or not self.token:
            return
        try:
            batches = self.trunk.came(link.via, frame)
        except BadFrame:
            self.end()
            raise
        for batch in batches:
            self.links.heard(self.planner, batch)

    def leave(self, link: Dialled) -> None:
        if link.number == self.number and self.trunk.leave(link.via, link) and not self.trunk.links:
            self.links.perform(self.links.core.link_lost(self.planner, self.links.clock()))

    def tick(self) -> None:
        if self.token and self.trunk.over(self.links.core.terms.silent_after):
            self.end()

    def end(self) -> None:
        """The session is over; the next connection begins another."""
        ended, self.trunk = self.trunk, self.new_trunk()
        self.number, self.token = self.number + 1, 0
        ended.close()
        self.links.perform(self.links.core.link_down(self.planner, self.links.clock()))


class ForwarderLinks:
    """A forwarder's side of all sessions. Stands in for the decision module towards the driver."""

    def __init__(
        self,
        core: Forwarder,
        clock: Callable[[], float],
        secret: Secret,
        name: str,
        planners: dict[str, tuple[str, int]],
        *,
        most_frame: int,
        most_unsent: int,
        helpers: int = 0,
    ) -> None:
        """`helpers`: how many other planners, at most, carry a connection to each."""
        self.core, self.clock, self.secret, self.name = core, clock, secret, name
        self.settings = core.settings
        self.planners = planners
        self.life = os.urandom(8).hex()
        self.most_frame, self.most_unsent, self.helpers = most_frame, most_unsent, helpers
        self.loop = asyncio.get_running_loop()
        self.driver: Driver | None = None
        self.lines: dict[str, ForwarderLine] = {}
        self.diallers: list[Dialler[ForwarderLink]] = []
        self.flushing = False
        self.ticker: asyncio.TimerHandle | None = None

    def helpers_to(self, planner: str) -> list[str]:
        """Who carries to a planner: others for each forwarder, so that no planner carries for all."""
        others = [name for name in self.planners if name != planner]
        return sorted(others, key=lambda name: weight(0, f"{self.name} {planner} {name}"))[: self.helpers]

    def start(self, driver: Driver) -> None:
        self.driver = driver
        for planner in self.planners:
            line = self.lines[planner] = ForwarderLine(self, planner)
            self.diallers += [
                Dialler(partial(ForwarderLink, self, line, via), self.planners[via or planner])
                for via in (DIRECT, *self.helpers_to(planner))
            ]
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
        for planner, line in self.lines.items():
            if planner in dead:
                line.end()
            else:
                line.tick()
        self.ticker = self.loop.call_later(self.core.terms.beat_every / 4, self.tick)

    def due(self) -> None:
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.flushing = False
        for planner, line in self.lines.items():
            messages = self.core.outbox[planner]
            if messages and line.token:
                self.core.outbox[planner] = []
                line.trunk.say(messages)

    def status(self) -> dict[str, object]:
        """What an operator watches; docs/operate/tiers.md explains each figure."""
        paths = {
            planner: None if (used := line.trunk.multipath.used) is None else used.name or "direct"
            for planner, line in self.lines.items()
        }
        return {
            **self.core.status(),
            "paths": paths,
            "resent": sum(line.trunk.multipath.resent for line in self.lines.values()),
        }

    def close(self) -> None:
        if self.ticker is not None:
            self.ticker.cancel()
        self.core.stop(self.clock())
        self.flush()
        for dialler in self.diallers:
            dialler.task.cancel()
        for line in self.lines.values():
            for link in line.trunk.links.values():
                if isinstance(link, FrameProtocol) and link.transport is not None:
                    link.transport.close()  # after the last words
