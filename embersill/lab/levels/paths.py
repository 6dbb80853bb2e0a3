"""Simulated forwarders and planners whose sessions use several paths, some relayed by other planners.

The sessions are those of `tiers/links.py`; a path is one stream, or two with a planner between them that
relays the data. Handshakes always succeed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from embersill.interface import Action
from embersill.lab.levels.nodes import MAX_FRAME_BYTES, TICK_INTERVAL_S, ForwarderNode, PlannerNode
from embersill.tiers.links import ForwarderLine, PlannerEndpoint, PlannerEndpoints
from embersill.tiers.messages import AnyMessage, BadFrame, Batch
from embersill.tiers.multipath import DIRECT
from embersill.tiers.wire import MAGIC, NONCE_BYTES, FrameReader, HandshakeError, Proof
from embersill.world.kernel import Node
from embersill.world.network import Stream

if TYPE_CHECKING:
    from embersill.lab.levels.world import World

MAX_UNSENT_BYTES = 1 << 24


class PathStream(Stream):
    """A stream that is a path of a session, or half of one; each end sets its own callbacks."""

    def __init__(self, world: World, first: MultipathNode, second: MultipathNode) -> None:
        super().__init__(world.network, first, second)
        self.on_data: dict[Node, Callable[[bytes], None]] = {}
        self.on_closed: dict[Node, Callable[[], None]] = {}
        first.paths[self] = None
        second.paths[self] = None


class Hop:
    """One end of a path, with the interface that its session uses."""

    def __init__(self, stream: PathStream, node: Node, via: str, number: int) -> None:
        self.stream, self.node, self.via, self.number = stream, node, via, number

    def write(self, framed: bytes) -> None:
        """Sends a frame."""
        self.stream.send(self.node, framed)

    def close(self) -> None:
        """Closes the path."""
        self.stream.close(self.node)


class MultipathNode(Node):
    """Common base of both roles."""

    paths: dict[PathStream, None]  # in the order of creation, so that runs are reproducible

    def stream_data(self, stream: Stream, data: bytes) -> None:
        """Calls the path's callback for received data."""
        assert isinstance(stream, PathStream)
        stream.on_data[self](data)

    def stream_closed(self, stream: Stream) -> None:
        """Calls the path's callback for its end."""
        assert isinstance(stream, PathStream)
        self.paths.pop(stream, None)
        stream.on_closed[self]()

    def close_paths(self, quiet: bool) -> None:
        """Closes all paths; with `quiet` the other ends don't notice."""
        for stream in list(self.paths):
            stream.close(self, reset=not quiet)
        self.paths = {}


class ObservedEndpoints(PlannerEndpoints):
    """A planner's sessions, whose messages are reported to the simulation."""

    def __init__(self, node: MultipathPlannerNode) -> None:
        super().__init__(node.core, node.clock, MAX_FRAME_BYTES, MAX_UNSENT_BYTES, node.flush)
        self.world, self.node = node.world, node

    def received(self, endpoint: PlannerEndpoint, batch: Batch) -> None:
        """Processes a batch."""
        if self.world.reports_messages:
            self.world.got(self.world.members[endpoint.name], self.node, batch.messages)
        super().received(endpoint, batch)
        self.node.note_loans_received(endpoint.name, batch)

    def send(self, endpoint: PlannerEndpoint, messages: list[AnyMessage], basis: int, acked: int) -> None:
        """Sends a batch."""
        if self.world.reports_messages:
            self.world.sent(self.node, self.world.members[endpoint.name], messages)
        super().send(endpoint, messages, basis, acked)


class MultipathPlannerNode(MultipathNode, PlannerNode):
    """A planner whose sessions use several paths."""

    sessions: PlannerEndpoints | None

    def start(self) -> None:
        """Starts the process without sessions."""
        self.paths, self.sessions = {}, None
        super().start()

    def endpoints(self) -> PlannerEndpoints:
        """Returns the sessions of the current life."""
        if self.sessions is None:
            self.sessions = ObservedEndpoints(self)
        return self.sessions

    def tick(self) -> None:
        """Runs the periodic work of core and sessions."""
        self.core.tick(self.clock())
        self.endpoints().check_sessions()
        self.flush()
        self.after(self.world.terms.beat_every, self.tick)

    def kill(self, quiet: bool = False) -> None:
        """Kills the process and closes its paths."""
        self.alive = False
        self.close_paths(quiet)

    def receive(self, stream: PathStream, reader: FrameReader, name: str, path: str, data: bytes) -> None:
        """Processes frames of a forwarder's session on one of its paths; an invalid one closes the path."""
        sessions = self.endpoints()
        endpoint = sessions.endpoints.get(name)
        try:
            for frame in reader.feed(data):
                if endpoint is not None and stream.open[self]:
                    sessions.receive(endpoint, path, frame)
        except BadFrame:
            stream.close(self)

    def flush(self) -> None:
        """Sets the core's timers and sends what the sessions have queued."""
        self.set_timers()
        self.endpoints().flush()


class LineHost:
    """The interface of a forwarder that its lines use."""

    def __init__(self, node: MultipathForwarderNode) -> None:
        self.node, self.core, self.clock = node, node.core, node.clock
        self.most_frame, self.most_unsent = MAX_FRAME_BYTES, MAX_UNSENT_BYTES

    def perform(self, actions: Iterable[Action]) -> None:
        """Executes actions of the core."""
        self.node.perform(list(actions))

    def heard(self, planner: str, batch: Batch) -> None:
        """Processes a batch of a planner."""
        self.node.process_batch(planner, batch)


class MultipathForwarderNode(MultipathNode, ForwarderNode):
    """A forwarder whose sessions use several paths."""

    def start(self) -> None:
        """Starts the process without lines."""
        self.paths = {}
        self.lines: dict[str, ForwarderLine] = {}
        super().start()

    def tick(self) -> None:
        """Runs the periodic work of core and lines."""
        self.perform(self.core.tick(self.clock()))
        dead, self.core.dead = self.core.dead, []
        for name, line in self.lines.items():
            if name in dead:
                line.end()
            else:
                line.tick()
        self.after(TICK_INTERVAL_S, self.tick)

    def kill(self, quiet: bool = False) -> None:
        """Kills the process and closes its paths."""
        super().kill(quiet)
        self.close_paths(quiet)

    # paths

    def dial(self, planner: PlannerNode) -> None:
        """Begins to connect each path to a planner."""
        self.lines[planner.name] = ForwarderLine(LineHost(self), planner.name)
        for via in (DIRECT, *(p.name for p in self.world.planners if p is not planner)):
            self.dial_path(planner, via)

    def dial_path(self, planner: PlannerNode, via: str) -> None:
        """Connects one path after a random delay."""
        self.after(self.chance.uniform(0.02, 0.2), self.connect, planner, via)

    def connect(self, planner: PlannerNode, via: str) -> None:
        """Connects a path and joins it to the session at both ends, or retries if a hop can't be reached."""
        network, world = self.world.network, self.world
        route: list[MultipathNode] = [self, *([world.members[via]] if via else []), planner]  # type: ignore[list-item]
        hops = list(zip(route, route[1:], strict=False))
        assert isinstance(planner, MultipathPlannerNode)
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
        readers = FrameReader(MAX_FRAME_BYTES), FrameReader(MAX_FRAME_BYTES)
        for near, far, node in zip(streams, streams[1:], route[1:], strict=False):
            near.on_data[node] = lambda data, far=far, node=node: far.send(node, data)  # type: ignore[misc]
            far.on_data[node] = lambda data, near=near, node=node: near.send(node, data)  # type: ignore[misc]
            near.on_closed[node] = lambda far=far, node=node: far.close(node)  # type: ignore[misc]
            far.on_closed[node] = lambda near=near, node=node: near.close(node)  # type: ignore[misc]
        first.on_data[self] = lambda data: self.receive(line, here, readers[0], data)
        last.on_data[planner] = lambda data: planner.receive(last, readers[1], self.name, via, data)
        first.on_closed[self] = lambda: self.path_closed(line, here, planner)
        last.on_closed[planner] = lambda: planner.endpoints().lost(endpoint, via, there)
        endpoint.join(via, there)
        line.join(here, f"{planner.name}.{planner.life}", endpoint.token)
        planner.flush()
        return None

    def receive(self, line: ForwarderLine, hop: Hop, reader: FrameReader, data: bytes) -> None:
        """Processes frames of a planner on one path; an invalid one closes the path."""
        try:
            for frame in reader.feed(data):
                if hop.stream.open[self]:
                    line.receive(hop, frame)
        except BadFrame:
            hop.close()

    def path_closed(self, line: ForwarderLine, hop: Hop, planner: PlannerNode) -> None:
        """Removes a closed path from its session and connects it again."""
        line.leave(hop)
        self.dial_path(planner, hop.via)

    def flush(self) -> None:
        """Sends what the core has in its outboxes."""
        for name, line in self.lines.items():
            messages = self.core.outbox[name]
            if messages and line.token:
                self.core.outbox[name] = []
                self.note_sent(name, messages)
                line.endpoint.send(messages)
