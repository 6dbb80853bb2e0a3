"""TCP relays between processes, one for each directed link, which inject network faults.

A link is named `from>to`: the process `from` connects to the relay, which connects to `to`. The relay carries
both directions of each connection: `up` towards `to`, `down` back to `from`. A fault holds from when it is
added until it is removed, so several may hold on one link at a time.

A relay stands in for a network, so it loses no byte of a connection that stays open: swallowed bytes stall
and arrive once the fault is over, as TCP retransmits what an unplugged cable has lost; a new connection gets
no answer meanwhile. Only a cut or a half-open connection loses bytes for good, and then it is lost itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from embersill.rig.standins import HOST

CHUNK_BYTES = 1 << 16  # per read
MAX_QUEUED_BYTES = 1 << 20  # per direction of a connection; the sender waits beyond that
MAX_CONNECTIONS = 4096  # per relay; a further one is reset
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


class LinkFaultKind(Enum):
    """Kinds of network faults, by the names that scenarios use."""

    REFUSE = "refuse"  # nobody listens: new connections are refused, open ones continue
    CUT = "cut"  # open and new connections are reset
    SWALLOW = "swallow"  # nothing is forwarded; new connections hang
    HALF = "half"  # the target closes and the client is not told; new connections hang
    DELAY = "delay"  # by `seconds` and up to `jitter` more, in order
    NARROW = "narrow"  # `rate` bytes a second
    DRIBBLE = "dribble"  # `size` bytes at a time, `seconds` apart


class Direction(Enum):
    """Direction of the bytes that a fault affects."""

    UP = "up"
    DOWN = "down"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class LinkFault:
    """One fault with its parameters. A cut or a refusal has no direction."""

    kind: LinkFaultKind
    direction: Direction = Direction.BOTH
    seconds: float = 0.0
    jitter: float = 0.0
    rate: float = 0.0
    size: int = 1

    def affects(self, direction: Direction) -> bool:
        """Whether the fault affects bytes in that direction."""
        return self.direction in (direction, Direction.BOTH)


class Pump:
    """One direction of one connection: reads, queues until the delay is over, writes."""

    def __init__(
        self, relay: Relay, direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.relay, self.direction, self.reader, self.writer = relay, direction, reader, writer
        self.queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        self.queued_bytes = 0
        self.space_freed = asyncio.Event()
        self.last_due = 0.0

    async def run(self) -> None:
        """Forwards until the reader's end of stream has been forwarded."""
        reading = asyncio.ensure_future(self.read())
        try:
            await self.write()
        finally:
            reading.cancel()

    async def read(self) -> None:
        """Queues what is read with the time at which it is due; empty data marks the end."""
        clock = asyncio.get_running_loop().time
        data = b"x"
        while data:
            try:
                data = await self.reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            # data stays in order, whatever delays are drawn
            self.last_due = max(self.last_due, clock() + self.relay.draw_delay(self.direction))
            self.queue.put_nowait((self.last_due, data))
            self.queued_bytes += len(data)
            while self.queued_bytes > MAX_QUEUED_BYTES:
                self.space_freed.clear()
                await self.space_freed.wait()

    async def write(self) -> None:
        """Writes queued data once it is due and no fault stalls the direction."""
        clock = asyncio.get_running_loop().time
        while True:
            due, data = await self.queue.get()
            if due > clock():
                await asyncio.sleep(due - clock())
            await self.relay.wait_passable(self.direction)
            if not data:
                return
            for piece, pause in self.relay.pieces(self.direction, data):
                await self.relay.wait_passable(self.direction)
                self.writer.write(piece)
                await self.writer.drain()
                if pause:
                    await asyncio.sleep(pause)
            self.queued_bytes -= len(data)
            self.space_freed.set()


class Relay:
    """The relay of one directed link, and the faults that hold on it."""

    def __init__(self, name: str, target: Callable[[], tuple[str, int]], seed: int) -> None:
        """`target` returns the current address to connect to: a process may restart at another one."""
        self.name, self.target = name, target
        self.rng = random.Random(f"{seed} {name}")
        self.faults: dict[int, LinkFault] = {}
        self.last_fault_id = 0
        self.server: asyncio.Server | None = None
        self.port_reservation: socket.socket | None = None  # keeps the port while REFUSE holds
        self.port = 0
        self.connections: dict[asyncio.Task[None], tuple[asyncio.StreamWriter, ...]] = {}
        self.faults_changed = asyncio.Event()
        self.counts = {"connections": 0, "reset": 0}

    @property
    def address(self) -> str:
        """Address at which clients connect."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Reserves a port and listens on it."""
        self.port_reservation = bound_socket(0)
        self.port = int(self.port_reservation.getsockname()[1])
        await self.listen()

    async def listen(self) -> None:
        """Listens on the reserved port."""
        self.server = await asyncio.start_server(
            self.handle_connection, sock=bound_socket(self.port), backlog=1024
        )

    # faults

    async def add_fault(self, fault: LinkFault) -> int:
        """Starts a fault; returns the id by which it is removed."""
        self.last_fault_id += 1
        self.faults[self.last_fault_id] = fault
        if fault.kind is LinkFaultKind.CUT:
            self.reset_all()
        elif fault.kind is LinkFaultKind.HALF:
            for _, *upstream in self.connections.values():
                for writer in upstream:
                    writer.close()
        elif fault.kind is LinkFaultKind.REFUSE and self.server is not None:
            self.server.close()
            self.server = None
        self.notify_change()
        return self.last_fault_id

    async def remove_fault(self, fault_id: int) -> None:
        """Ends a fault; listens again once no REFUSE is left."""
        fault = self.faults.pop(fault_id, None)
        refusing = any(fault.kind is LinkFaultKind.REFUSE for fault in self.faults.values())
        if fault is not None and fault.kind is LinkFaultKind.REFUSE and not refusing:
            await self.listen()
        self.notify_change()

    def notify_change(self) -> None:
        """Wakes whatever waits for a change of the faults."""
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()

    def has_fault(self, kind: LinkFaultKind, direction: Direction = Direction.BOTH) -> bool:
        """Whether a fault of that kind holds; BOTH asks for a fault in any direction."""
        return any(
            fault.kind is kind and (direction is Direction.BOTH or fault.affects(direction))
            for fault in self.faults.values()
        )

    async def wait_passable(self, direction: Direction) -> None:
        """Waits while SWALLOW holds in that direction."""
        while self.has_fault(LinkFaultKind.SWALLOW, direction):
            await self.faults_changed.wait()

    def draw_delay(self, direction: Direction) -> float:
        """Seconds by which data in that direction is delayed now."""
        return sum(
            fault.seconds + fault.jitter * self.rng.random()
            for fault in self.faults.values()
            if fault.kind is LinkFaultKind.DELAY and fault.affects(direction)
        )

    def pieces(self, direction: Direction, data: bytes) -> Iterable[tuple[bytes, float]]:
        """Splits data as NARROW or DRIBBLE asks: each piece, and the seconds to wait after it."""
        for fault in self.faults.values():
            if fault.kind is LinkFaultKind.DRIBBLE and fault.affects(direction):
                size = max(fault.size, 1)
                return [(data[at : at + size], fault.seconds) for at in range(0, len(data), size)]
            if fault.kind is LinkFaultKind.NARROW and fault.affects(direction):
                return [
                    (data[at : at + 1024], len(data[at : at + 1024]) / max(fault.rate, 1.0))
                    for at in range(0, len(data), 1024)
                ]
        return [(data, 0.0)]

    # connections

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connects to the target and forwards, or resets if the target cannot be reached."""
        task = asyncio.current_task()
        assert task is not None
        self.counts["connections"] += 1
        if self.has_fault(LinkFaultKind.CUT) or len(self.connections) >= MAX_CONNECTIONS:
            return self.reset(writer)
        self.connections[task] = (writer,)
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            while self.has_fault(LinkFaultKind.HALF) or self.has_fault(LinkFaultKind.SWALLOW):
                await self.faults_changed.wait()
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.target())
            self.connections[task] = (writer, upstream_writer)
            for end in (writer, upstream_writer):
                end.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.forward(reader, writer, upstream_reader, upstream_writer)
        except (OSError, asyncio.CancelledError):
            self.reset(writer)
        finally:
            self.connections.pop(task, None)
            writer.close()
            if upstream_writer is not None:
                upstream_writer.close()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        upstream_reader: asyncio.StreamReader,
        upstream_writer: asyncio.StreamWriter,
    ) -> None:
        """Forwards both directions until one ends; while HALF holds, the target's end is not passed on."""
        pumps = [
            asyncio.ensure_future(Pump(self, Direction.UP, reader, upstream_writer).run()),
            asyncio.ensure_future(Pump(self, Direction.DOWN, upstream_reader, writer).run()),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            while self.has_fault(LinkFaultKind.HALF):
                await self.faults_changed.wait()
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)

    def reset(self, writer: asyncio.StreamWriter) -> None:
        """Closes a connection with a TCP reset."""
        if writer.transport.is_closing():
            return
        self.counts["reset"] += 1
        with contextlib.suppress(OSError):
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()

    def reset_all(self) -> None:
        """Resets every open connection at both ends."""
        for task, writers in list(self.connections.items()):
            for writer in writers:
                self.reset(writer)
            task.cancel()

    def close(self) -> None:
        """Stops listening and ends every connection."""
        if self.server is not None:
            self.server.close()
        if self.port_reservation is not None:
            self.port_reservation.close()
        for task in list(self.connections):
            task.cancel()


def bound_socket(port: int) -> socket.socket:
    """A socket bound on loopback with SO_REUSEPORT; bound without listening, it keeps the port reserved."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((HOST, port))
    sock.setblocking(False)
    return sock
