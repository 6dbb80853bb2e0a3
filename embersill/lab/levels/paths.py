"""Forwarders and planners of a world whose sessions go over several paths, some carried by other planners.

The sessions are those of `tiers/links.py`; a path is one stream, or two with a planner between them that
passes on what comes. Handshakes are taken to have succeeded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from embersill.interface import Action
from embersill.lab.levels.nodes import MOST_FRAME, TICK, ForwarderNode, PlannerNode
from embersill.tiers.links import ForwarderLine, PlannerEndpoint, PlannerEndpoints
from embersill.tiers.messages import AnyMessage, BadFrame, Batch
from embersill.tiers.multipath import DIRECT
from embersill.tiers.wire import MAGIC, NONCE_BYTES, FrameReader, HandshakeError, Proof
from embersill.world.kernel import Node
from embersill.world.network import Stream

if TYPE_CHECKING:
    from embersill.lab.levels.world import World

MOST_UNSENT = 1 << 24  # bytes


class PathStream(Stream):
    """A stream that is a path of a session, or half of one. Each end says what becomes of what comes."""

    def __init__(self, world: World, one: Pathed, other: Pathed) -> None:
        super().__init__(world.network, one, other)
        self.on_data: dict[Node, Callable[[bytes], None]] = {}
        self.on_over: dict[Node, Callable[[], None]] = {}
        one.paths[self] = None
        other.paths[self] = None


class Hop:
    """One end of a path, as its session has it."""

    def __init__(self, stream: PathStream, node: Node, via: str, number: int) -> None:
        self.stream, self.node, self.via, self.number = stream, node, via, number

    def write(self, framed: bytes) -> None:
        self.stream.send(self.node, framed)

    def close(self) -> None:
        self.stream.close(self.node)


class Pathed(Node):
    """What both roles share."""

    paths: dict[PathStream, None]  # in the order of their beginning: a play repeats exactly

    def stream_data(self, stream: Stream, data: bytes) -> None:
        assert isinstance(stream, PathStream)
        stream.on_data[self](data)

    def stream_closed(self, stream: Stream) -> None:
        assert isinstance(stream, PathStream)
        self.paths.pop(stream, None)
        stream.on_over[self]()

    def end_paths(self, quiet: bool) -> None:
        for stream in list(self.paths):
            stream.close(self, reset=not quiet)
        self.paths = {}


class Watched(PlannerEndpoints):
    """A planner's sessions, which the world hears of."""

    def __init__(self, node: PathedPlanner) -> None:
        super().__init__(node.core, node.clock, MOST_FRAME, MOST_UNSENT, node.flush)
        self.world, self.node = node.world, node

    def received(self, endpoint: PlannerEndpoint, batch: Batch) -> None:
        if self.world.detailed:
            self.world.got(self.world.members[endpoint.name], self.node, batch.messages)
        super().received(endpoint, batch)
        self.node.note_lent(endpoint.name, batch)

    def send(self, endpoint: PlannerEndpoint, messages: list[AnyMessage], basis: int, acked: int) -> None:
        if self.world.detailed:
            self.world.sent(self.node, self.world.members[endpoint.name], messages)
        super().send(endpoint, messages, basis, acked)


class PathedPlanner(Pathed, PlannerNode):
    sessions: PlannerEndpoints | None

    def start(self) -> None:
        self.paths, self.sessions = {}, None
        super().start()

    def endpoints(self) -> PlannerEndpoints:
        if self.sessions is None:
            self.sessions = Watched(self)
        return self.sessions

    def tick(self) -> None:
        self.core.tick(self.clock())
        self.endpoints().check_sessions()
        self.flush()
        self.after(self.world.terms.beat_every, self.tick)

    def kill(self, quiet: bool = False) -> None:
        self.alive = False
        self.end_paths(quiet)

    def receive(self, stream: PathStream, reader: FrameReader, name: str, path: str, data: bytes) -> None:
        """Frames of a forwarder's session on one of its paths; a bad one ends it."""
        sessions = self.endpoints()
        endpoint = sessions.endpoints.get(name)
        try:
            for frame in reader.feed(data):
                if endpoint is not None and stream.open[self]:
                    sessions.receive(endpoint, path, frame)
        except BadFrame:
            stream.close(self)

    def flush(self) -> None:
        self.set_timers()
        self.endpoints().flush()


class Host:
    """What a line needs of its forwarder."""

    def __init__(self, node: PathedForwarder) -> None:
        self.node, self.core, self.clock = node, node.core, node.clock
        self.most_frame, self.most_unsent = MOST_FRAME, MOST_UNSENT

    def perform(self, actions: Iterable[Action]) -> None:
        self.node.perform(list(actions))

    def heard(self, planner: str, batch: Batch) -> None:
        self.node.heard(planner, batch)


class PathedForwarder(Pathed, ForwarderNode):
    def start(self) -> None:
        self.paths = {}
        self.lines: dict[str, ForwarderLine] = {}
        super().start()

    def tick(self) -> None:
        self.perform(self.core.tick(self.clock()))
        dead, self.core.dead = self.core.dead, []
        for name, line in self.lines.items():
            if name in dead:
                line.end()
            else:
                line.tick()
        self.after(TICK, self.tick)

    def kill(self, quiet: bool = False) -> None:
        super().kill(quiet)
        self.end_paths(quiet)

    # paths

    def dial(self, planner: PlannerNode) -> None:
        """The first dial of each path to a planner."""
        self.lines[planner.name] = ForwarderLine(Host(self), planner.name)
        for via in (DIRECT, *(p.name for p in self.world.planners if p is not planner)):
            self.dial_path(planner, via)

    def dial_path(self, planner: PlannerNode, via: str) -> None:
        self.after(self.chance.uniform(0.02, 0.2), self.connect, planner, via)

    def connect(self, planner: PlannerNode, via: str) -> None:
        network, world = self.world.network, self.world
        route: list[Pathed] = [self, *([world.members[via]] if via else []), planner]  # type: ignore[list-item]
        hops = list(zip(route, route[1:], strict=False))
        assert isinstance(planner, PathedPlanner)
        line = self.lines[planner.name]
        proof = Proof(MAGIC, 0, self.name, b"n" * NONCE_BYTES, "", b"", f"{self.life}", line.number, via)
        if (
            any(
                network.is_cut(a.name, b.name) or network.is_cut(b.name, a.name) or not b.is_running
                for a, b in hops
            )
            or planner.leaving
        ):
            return self.dial_path(planner, via)
        try:
            endpoint = planner.endpoints().endpoint_of(proof)
        except HandshakeError:
            return self.dial_path(planner, via)
        streams = [PathStream(world, a, b) for a, b in hops]
        first, last = streams[0], streams[-1]
        here, there = Hop(first, self, via, line.number), Hop(last, planner, via, line.number)
        readers = FrameReader(MOST_FRAME), FrameReader(MOST_FRAME)
        for one, other, node in zip(streams, streams[1:], route[1:], strict=False):
            one.on_data[node] = lambda data, other=other, node=node: other.send(node, data)  # type: ignore[misc]
            other.on_data[node] = lambda data, one=one, node=node: one.send(node, data)  # type: ignore[misc]
            one.on_over[node] = lambda other=other, node=node: other.close(node)  # type: ignore[misc]
            other.on_over[node] = lambda one=one, node=node: one.close(node)  # type: ignore[misc]
        first.on_data[self] = lambda data: self.receive(line, here, readers[0], data)
        last.on_data[planner] = lambda data: planner.receive(last, readers[1], self.name, via, data)
        first.on_over[self] = lambda: self.over(line, here, planner)
        last.on_over[planner] = lambda: planner.endpoints().lost(endpoint, via, there)
        endpoint.join(via, there)
        line.join(here, f"{planner.name}.{planner.life}", endpoint.token)
        planner.flush()
        return None

    def receive(self, line: ForwarderLine, hop: Hop, reader: FrameReader, data: bytes) -> None:
        try:
            for frame in reader.feed(data):
                if hop.stream.open[self]:
                    line.receive(hop, frame)
        except BadFrame:
            hop.close()

    def over(self, line: ForwarderLine, hop: Hop, planner: PlannerNode) -> None:
        line.leave(hop)
        self.dial_path(planner, hop.via)

    def flush(self) -> None:
        for name, line in self.lines.items():
            messages = self.core.outbox[name]
            if messages and line.token:
                self.core.outbox[name] = []
                self.note_said(name, messages)
                line.endpoint.send(messages)
