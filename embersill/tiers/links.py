"""The sockets between forwarders and planners: one session for each pair, over one connection or several.

Outgoing messages are collected until the event loop's next iteration and sent as one frame. A session lasts
while any of its connections is open, the direct one or one relayed by another planner (`multipath.py`), and
for `silent_after` without any. An invalid frame on a connection ends the session; the forwarder redials.
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
from embersill.tiers.carrying import ConnectionRelay, RelayedConnection
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.frames import AcceptedProtocol, Dialler, FrameProtocol
from embersill.tiers.messages import AnyMessage, BadFrame, Batch
from embersill.tiers.multipath import DIRECT, Multipath
from embersill.tiers.parts import weight
from embersill.tiers.planner import Planner, Session
from embersill.tiers.wire import ForwarderSide, HandshakeError, PlannerSide, Proof, Secret

log = logging.getLogger("embersill")


class Connection(Protocol):
    """The interface of a connection that a session uses as a path."""

    def write(self, framed: bytes) -> None:
        """Sends a length-prefixed frame."""
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...


class SessionEndpoint:
    """One end of a session: its connections by path, and the logic common to both ends."""

    def __init__(self, clock: Callable[[], float], multipath: Multipath) -> None:
        self.clock, self.multipath = clock, multipath
        self.links: dict[str, Connection] = {}
        self.pathless_since = clock()

    def join(self, path: str, link: Connection) -> None:
        """Adds a connection as a path; closes an older one of the same path."""
        older = self.links.pop(path, None)
        if older is not None:
            older.close()
            self.multipath.leave(path, self.clock())
        self.links[path] = link
        self.multipath.join(path, self.clock())
        self.write()

    def leave(self, path: str, link: Connection) -> bool:
        """Removes a connection; False if the session no longer uses it."""
        if self.links.get(path) is not link:
            return False
        del self.links[path]
        self.multipath.leave(path, self.clock())
        if not self.links:
            self.pathless_since = self.clock()
        self.write()
        return True

    def send(self, messages: list[AnyMessage], basis: int = 0, acked: int = 0) -> None:
        """Sends messages as batches of the session."""
        self.multipath.send(messages, basis, acked, self.clock())
        self.write()

    def receive(self, path: str, frame: bytes) -> list[Batch]:
        """Takes in a frame; returns the batches that are now next in order."""
        batches = self.multipath.receive(path, frame, self.clock())
        self.write()
        return batches

    def write(self) -> None:
        """Writes what the session has to send to its connections."""
        out, self.multipath.out = self.multipath.out, []
        for path, frame in out:
            link = self.links.get(path)
            if link is not None:
                link.write(frame)

    def over(self, silent_after: float) -> bool:
        """Runs the paths' timers; True once the session has to end."""
        self.multipath.tick(self.clock())
        self.write()
        if self.multipath.overfull:
            log.warning("a session ends: the other end does not acknowledge what it receives")
            return True
        return not self.links and self.clock() - self.pathless_since > silent_after

    def close(self) -> None:
        """Closes all connections."""
        links, self.links = self.links, {}
        for link in links.values():
            link.close()


class PlannerEndpoint(SessionEndpoint):
    """The planner's end of a session with one forwarder."""

    def __init__(self, endpoints: PlannerEndpoints, proof: Proof, token: int) -> None:
        super().__init__(
            endpoints.clock, Multipath(endpoints.core.terms, endpoints.most_frame, endpoints.most_unsent)
        )
        self.name, self.life, self.number, self.token = proof.name, proof.life, proof.session, token
        self.session: Session = endpoints.core.link_up(proof.name, endpoints.clock())


class PlannerEndpoints:
    """All sessions of a planner with forwarders. `due` is called when there may be something to send."""

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
        self.endpoints: dict[str, PlannerEndpoint] = {}  # by forwarder
        self.last_token = 0

    def endpoint_of(self, proof: Proof) -> PlannerEndpoint:
        """The session that a connection belongs to; a new session replaces an older one."""
        endpoint = self.endpoints.get(proof.name)
        if endpoint is not None and endpoint.life == proof.life:
            if endpoint.number == proof.session:
                return endpoint
            if endpoint.number > proof.session:
                raise HandshakeError("an older session")
        if endpoint is not None:
            self.end(endpoint)
        self.last_token += 1
        endpoint = self.endpoints[proof.name] = PlannerEndpoint(self, proof, self.last_token)
        return endpoint

    def receive(self, endpoint: PlannerEndpoint, path: str, frame: bytes) -> None:
        """Takes a frame from a path of a session; an invalid one ends the session and raises BadFrame."""
        if self.endpoints.get(endpoint.name) is not endpoint:
            return
        try:
            for batch in endpoint.receive(path, frame):
                self.received(endpoint, batch)
        except BadFrame:
            self.end(endpoint)
            raise
        self.due()

    def received(self, endpoint: PlannerEndpoint, batch: Batch) -> None:
        """Passes a batch to the core."""
        self.core.received(endpoint.session, batch, self.clock())

    def lost(self, endpoint: PlannerEndpoint, path: str, link: Connection) -> None:
        """A connection has ended."""
        if endpoint.leave(path, link):
            if not endpoint.links:
                self.core.link_lost(endpoint.session)
            self.due()

    def end(self, endpoint: PlannerEndpoint) -> None:
        """Ends a session and closes its connections."""
        if self.endpoints.get(endpoint.name) is endpoint:
            del self.endpoints[endpoint.name]
            self.core.link_down(endpoint.session, self.clock())
            self.due()
        endpoint.close()

    def check_sessions(self) -> None:
        """To be called once per beat, after the core's own tick."""
        dead, self.core.dead = self.core.dead, []
        for endpoint in list(self.endpoints.values()):
            if endpoint.session in dead or endpoint.over(self.core.terms.silent_after):
                self.end(endpoint)

    def flush(self) -> None:
        """Sends the pending messages of all sessions."""
        for endpoint in list(self.endpoints.values()):
            session = endpoint.session
            if session.outbox or session.acked > session.acked_told:
                self.send(endpoint, *self.core.take_outbox(session))

    def send(self, endpoint: PlannerEndpoint, messages: list[AnyMessage], basis: int, acked: int) -> None:
        """Sends messages on one session."""
        endpoint.send(messages, basis, acked)


class PlannerLink(AcceptedProtocol):
    """A connection dialled by a forwarder: a path of its session, or one to relay to another planner."""

    def __init__(self, server: PlannerServer) -> None:
        side = PlannerSide(server.secret, server.name, server.incarnation, os.urandom(32))
        super().__init__(server.unauthenticated, side, server.most_frame, server.most_unsent)
        self.server = server
        self.endpoint: PlannerEndpoint | None = None
        self.path = DIRECT
        self.carried: RelayedConnection | None = None
        self.dialling: asyncio.Task[None] | None = None

    def handshake_received(self, frame: bytes) -> None:
        """Verifies the proof, then joins the session or starts to relay."""
        if self.dialling is not None:
            raise BadFrame("frame received before the welcome")
        proof = self.side.check(frame, self.server.core.forwarders)
        if proof.to:
            if proof.to not in self.server.relay.others:
                raise HandshakeError(f"no planner {proof.to!r} to relay to")
            self.dialling = self.server.loop.create_task(self.carry(proof))
            return
        self.path = proof.via
        self.endpoint = self.server.sessions.endpoint_of(proof)
        self.accept(proof, self.endpoint.token)
        self.endpoint.join(self.path, self)
        self.server.due()

    async def carry(self, proof: Proof) -> None:
        """Relays the connection to another planner, or closes it if that can't be reached."""
        assert self.transport is not None
        made = await self.server.relay.begin(proof.name, proof.to, self.transport)
        if made is None:
            return self.close()
        self.accept(proof)
        self.carried = made
        made.start()
        return None

    def data_received(self, data: bytes) -> None:
        """Passes bytes on if the connection is relayed."""
        if self.carried is not None:
            return self.carried.send_onward(data)
        return super().data_received(data)

    def pause_writing(self) -> None:
        """Applies backpressure to a relayed connection."""
        if self.carried is not None:
            self.carried.set_backpressure(True)

    def resume_writing(self) -> None:
        """Lifts the backpressure again."""
        if self.carried is not None:
            self.carried.set_backpressure(False)

    def frame_received(self, frame: bytes) -> None:
        """Passes a frame to its session."""
        assert self.endpoint is not None
        self.server.sessions.receive(self.endpoint, self.path, frame)

    def lost(self) -> None:
        """Leaves the session, and ends what is relayed."""
        super().lost()
        if self.dialling is not None:
            self.dialling.cancel()
        if self.carried is not None:
            self.carried.close()
        if self.endpoint is not None:
            self.server.sessions.lost(self.endpoint, self.path, self)


class PlannerServer:
    """The planner's listener, its side of all sessions, and its timers."""

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
        """`others`: the planners to which forwarders' connections are relayed."""
        self.core, self.clock, self.secret, self.name = core, clock, secret, name
        self.most_frame, self.most_unsent = most_frame, most_unsent
        self.incarnation = os.urandom(8).hex()
        self.sessions = PlannerEndpoints(core, clock, most_frame, most_unsent, self.due)
        self.endpoints = self.sessions.endpoints
        self.unauthenticated: set[AcceptedProtocol] = set()
        self.relay = ConnectionRelay({p: place for p, place in (others or {}).items() if p != name})
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.flushing = False
        self.ticker: asyncio.TimerHandle | None = None
        self.before_said: Callable[[], None] | None = (
            None  # persists what must be on disk before messages are sent
        )

    async def start(self, address: tuple[str, int]) -> None:
        """Starts to listen, and the timers."""
        self.server = await self.loop.create_server(lambda: PlannerLink(self), *address)
        self.tick()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def tick(self) -> None:
        """Runs the timers of the core and the sessions, once per beat."""
        self.core.tick(self.clock())
        self.sessions.check_sessions()
        self.due()
        self.ticker = self.loop.call_later(self.core.terms.beat_every, self.tick)

    def due(self) -> None:
        """Schedules a flush, at most once per iteration of the event loop."""
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Schedules the core's timers and sends the pending messages."""
        self.flushing = False
        timers, self.core.timers = self.core.timers, []
        now = self.clock()
        for delay, key in timers:
            self.loop.call_later(delay, self.timer_due, key, now + delay)
        if self.before_said is not None:
            self.before_said()
        self.sessions.flush()

    def timer_due(self, key: str, due: float) -> None:
        """Passes a timer of the core on."""
        self.core.timer_due(key, due, max(self.clock(), due))
        self.due()

    def status(self) -> dict[str, object]:
        """The links' figures for the status line."""
        return {
            "carried": len(self.relay.carried),
            "resent": sum(endpoint.multipath.resent for endpoint in self.endpoints.values()),
        }

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self.ticker is not None:
            self.ticker.cancel()
        if self.server is not None:
            self.server.close()
        self.relay.close()
        for endpoint in self.endpoints.values():
            endpoint.close()
        for stranger in list(self.unauthenticated):
            stranger.close()


class ForwarderLink(FrameProtocol):
    """A connection to a planner, direct or relayed by another one; the forwarder authenticates first."""

    def __init__(self, links: ForwarderLinks, line: ForwarderLine, via: str) -> None:
        super().__init__(links.most_frame, links.most_unsent)
        self.links, self.line, self.via, self.number = links, line, via, line.number
        self.carrying = bool(via)  # the handshake with the relay is still under way
        self.side = self.side_to(line.planner if not via else via, to=line.planner if via else "")

    def side_to(self, planner: str, to: str = "") -> ForwarderSide:
        """The handshake with a planner; `to` asks it to relay."""
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

    def handshake_received(self, frame: bytes) -> None:
        """Answers the challenge, of the relay first if there is one; joins the session after the welcome."""
        answer = self.side.read(frame)
        if answer is not None:
            assert self.transport is not None
            return self.transport.write(answer)
        if self.carrying:
            self.carrying, self.side = False, self.side_to(self.line.planner)
            return None
        self.mark_authenticated()
        assert self.side.challenge is not None
        return self.line.join(self, self.side.challenge.incarnation, self.side.token)

    def frame_received(self, frame: bytes) -> None:
        """Passes a frame to its session."""
        self.line.receive(self, frame)

    def reject(self, reason: str) -> None:
        """Logs the reason once, and closes the connection."""
        if reason != self.line.last_reason:
            log.warning("planner %s: %s", self.via or self.line.planner, reason)
        self.line.last_reason = reason
        self.close()

    def lost(self) -> None:
        """Leaves the session."""
        if self.authenticated:
            self.line.leave(self)


class LineHost(Protocol):
    """What a ForwarderLine needs of its owner."""

    core: Forwarder
    clock: Callable[[], float]
    most_frame: int
    most_unsent: int

    def perform(self, actions: Iterable[Action]) -> None:
        """Performs actions of the core."""
        ...

    def heard(self, planner: str, batch: Batch) -> None:
        """Handles a batch of a planner."""
        ...


class Dialled(Connection, Protocol):
    """A connection of a ForwarderLine: the planner that relays it, and the number of its session."""

    via: str
    number: int


class ForwarderLine:
    """The session with one planner over its connections, which are redialled when they end."""

    def __init__(self, links: LineHost, planner: str) -> None:
        self.links, self.planner = links, planner
        self.last_reason = ""
        self.number = 1  # number of the session
        self.token = 0  # the planner's identifier of the session; 0 while there is none
        self.endpoint = self.new_endpoint()

    def new_endpoint(self) -> SessionEndpoint:
        """An endpoint for the next session."""
        links = self.links
        return SessionEndpoint(
            links.clock, Multipath(links.core.terms, links.most_frame, links.most_unsent, beats=True)
        )

    def join(self, link: Dialled, incarnation: str, token: int) -> None:
        """Adds an authenticated connection; the first one starts the session."""
        if link.number != self.number:  # belongs to a session that has ended meanwhile
            return link.close()
        if self.token and token != self.token:  # the planner has ended the session
            self.end()
            return link.close()
        self.last_reason = ""
        begins = not self.token
        self.token = token
        if begins:
            self.links.perform(self.links.core.link_up(self.planner, incarnation, self.links.clock()))
        return self.endpoint.join(link.via, link)

    def receive(self, link: Dialled, frame: bytes) -> None:
        """Takes in a frame; an invalid one ends the session and raises BadFrame."""
        if link.number != self.number or not self.token:
            return
        try:
            batches = self.endpoint.receive(link.via, frame)
        except BadFrame:
            self.end()
            raise
        for batch in batches:
            self.links.heard(self.planner, batch)

    def leave(self, link: Dialled) -> None:
        """Removes a connection that has ended."""
        if link.number == self.number and self.endpoint.leave(link.via, link) and not self.endpoint.links:
            self.links.perform(self.links.core.link_lost(self.planner, self.links.clock()))

    def tick(self) -> None:
        """Ends the session if it has timed out."""
        if self.token and self.endpoint.over(self.links.core.terms.silent_after):
            self.end()

    def end(self) -> None:
        """Ends the session; the next connection starts another."""
        ended, self.endpoint = self.endpoint, self.new_endpoint()
        self.number, self.token = self.number + 1, 0
        ended.close()
        self.links.perform(self.links.core.link_down(self.planner, self.links.clock()))


class ForwarderLinks:
    """The forwarder's side of all sessions; the driver uses it in place of the decision module."""

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
        """`helpers`: the maximum number of other planners that relay a connection to each planner."""
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
        """The relays to a planner: chosen per forwarder, so that no planner relays for all."""
        others = [name for name in self.planners if name != planner]
        return sorted(others, key=lambda name: weight(0, f"{self.name} {planner} {name}"))[: self.helpers]

    def start(self, driver: Driver) -> None:
        """Dials all planners, directly and over relays, and starts the timer."""
        self.driver = driver
        for planner in self.planners:
            line = self.lines[planner] = ForwarderLine(self, planner)
            self.diallers += [
                Dialler(partial(ForwarderLink, self, line, via), self.planners[via or planner])
                for via in (DIRECT, *self.helpers_to(planner))
            ]
        self.tick()

    def handle(self, event: object, now: float) -> list[Action]:
        """Handles an event of the driver."""
        actions = self.core.handle(event, now)  # type: ignore[arg-type]
        self.due()
        return actions

    def heard(self, planner: str, batch: Batch) -> None:
        """Passes a batch to the core, and withdraws backends that are draining."""
        self.perform(self.core.received(planner, batch, self.clock()))
        if self.core.withdrawn:
            assert self.driver is not None
            for backend in self.core.withdrawn:
                self.driver.pool.cancel_dials(backend)
            self.core.withdrawn.clear()

    def perform(self, actions: Iterable[Action]) -> None:
        """Passes actions to the driver."""
        assert self.driver is not None
        self.driver.perform(actions)
        self.due()

    def tick(self) -> None:
        """Runs the timers of the core and the sessions, four times per beat."""
        self.perform(self.core.tick(self.clock()))
        dead, self.core.dead = self.core.dead, []
        for planner, line in self.lines.items():
            if planner in dead:
                line.end()
            else:
                line.tick()
        self.ticker = self.loop.call_later(self.core.terms.beat_every / 4, self.tick)

    def due(self) -> None:
        """Schedules a flush, at most once per iteration of the event loop."""
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Sends the pending messages of all planners."""
        self.flushing = False
        for planner, line in self.lines.items():
            messages = self.core.outbox[planner]
            if messages and line.token:
                self.core.outbox[planner] = []
                line.endpoint.send(messages)

    def status(self) -> dict[str, object]:
        """The status line's figures, explained in docs/operate/tiers.md."""
        paths = {
            planner: None if (used := line.endpoint.multipath.used) is None else used.name or "direct"
            for planner, line in self.lines.items()
        }
        return {
            **self.core.status(),
            "paths": paths,
            "resent": sum(line.endpoint.multipath.resent for line in self.lines.values()),
        }

    def close(self) -> None:
        """Sends the last messages and closes all connections."""
        if self.ticker is not None:
            self.ticker.cancel()
        self.core.stop(self.clock())
        self.flush()
        for dialler in self.diallers:
            dialler.task.cancel()
        for line in self.lines.values():
            for link in line.endpoint.links.values():
                if isinstance(link, FrameProtocol) and link.transport is not None:
                    link.transport.close()  # sends what is buffered before it closes
