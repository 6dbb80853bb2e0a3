"""The ways between processes: a relay for each directed way, with whatever a network does to it.

A way is named `from>to`: the process `from` dials the relay, which dials `to`. What a connection then carries
goes both ways over that relay: `up` towards the one that was dialled, `down` back to the dialler. A trouble
holds from when it is put on a way until it is taken off, so that two may lie on one way at a time.

A relay stands in for a network, so it loses no byte of a connection that stays: what it swallows stands still
and comes once the trouble is over, as TCP sends again what a dead cable has lost; a new connection gets no
answer meanwhile. Only a cut or a half-open end takes bytes away for good, and then their connection is gone.
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

CHUNK = 1 << 16  # bytes that are carried at a time
MOST_UNDER_WAY = 1 << 20  # bytes in one direction that are late: the sender waits beyond that
MOST_CONNECTIONS = 4096  # of one way; a further one is reset
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


class Verb(Enum):
    """What becomes of a way."""

    REFUSE = "refuse"  # nobody listens: new connections are refused, those that stand go on
    CUT = "cut"  # all connections are reset, and so is every new one
    SWALLOW = "swallow"  # nothing is carried; new connections hang
    HALF = "half"  # the dialled end closes and the dialler never hears of it; new ones hang
    DELAY = "delay"  # `seconds`, and up to `jitter` more, in order
    NARROW = "narrow"  # `rate` bytes a second
    DRIBBLE = "dribble"  # `size` bytes at a time, `seconds` apart


class Direction(Enum):
    UP = "up"
    DOWN = "down"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class Trouble:
    """A verb with its figures. A cut or a refusal has no direction."""

    verb: Verb
    direction: Direction = Direction.BOTH
    seconds: float = 0.0
    jitter: float = 0.0
    rate: float = 0.0
    size: int = 1

    def holds(self, direction: Direction) -> bool:
        return self.direction in (direction, Direction.BOTH)


class Pump:
    """One direction of one connection: reads, keeps what is late, writes."""

    def __init__(
        self, way: Way, direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.way, self.direction, self.reader, self.writer = way, direction, reader, writer
        self.late: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        self.under_way = 0
        self.room = asyncio.Event()
        self.last_due = 0.0

    async def run(self) -> None:
        reading = asyncio.ensure_future(self.read())
        try:
            await self.write()
        finally:
            reading.cancel()

    async def read(self) -> None:
        clock = asyncio.get_running_loop().time
        data = b"x"
        while data:
            try:
                data = await self.reader.read(CHUNK)
            except OSError:
                data = b""
            # none overtakes another, whatever each draws
            self.last_due = max(self.last_due, clock() + self.way.lateness(self.direction))
            self.late.put_nowait((self.last_due, data))
            self.under_way += len(data)
            while self.under_way > MOST_UNDER_WAY:
                self.room.clear()
                await self.room.wait()

    async def write(self) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            due, data = await self.late.get()
            if due > clock():
                await asyncio.sleep(due - clock())
            await self.way.passable(self.direction)
            if not data:
                return
            for piece, pause in self.way.pieces(self.direction, data):
                await self.way.passable(self.direction)
                self.writer.write(piece)
                await self.writer.drain()
                if pause:
                    await asyncio.sleep(pause)
            self.under_way -= len(data)
            self.room.set()


class Way:
    """One directed way, and the troubles that lie on it."""

    def __init__(self, name: str, target: Callable[[], tuple[str, int]], seed: int) -> None:
        """`target` tells where to dial now: a process may come back elsewhere."""
        self.name, self.target = name, target
        self.chance = random.Random(f"{seed} {name}")
        self.troubles: dict[int, Trouble] = {}
        self.numbers = 0
        self.server: asyncio.Server | None = None
        self.held: socket.socket | None = None  # keeps the port while nobody listens on it
        self.port = 0
        self.open: dict[asyncio.Task[None], tuple[asyncio.StreamWriter, ...]] = {}
        self.changed = asyncio.Event()
        self.counts = {"connections": 0, "reset": 0}

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        self.held = bound_socket(0)
        self.port = int(self.held.getsockname()[1])
        await self.listen()

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.connected, sock=bound_socket(self.port), backlog=1024)

    # troubles

    async def put(self, trouble: Trouble) -> int:
        """Lays a trouble on the way; tells the number by which it is taken off."""
        self.numbers += 1
        self.troubles[self.numbers] = trouble
        if trouble.verb is Verb.CUT:
            self.reset_all()
        elif trouble.verb is Verb.HALF:
            for _, *dialled in self.open.values():
                for writer in dialled:
                    writer.close()
        elif trouble.verb is Verb.REFUSE and self.server is not None:
            self.server.close()
            self.server = None
        self.tell()
        return self.numbers

    async def take_off(self, number: int) -> None:
        trouble = self.troubles.pop(number, None)
        refused = any(t.verb is Verb.REFUSE for t in self.troubles.values())
        if trouble is not None and trouble.verb is Verb.REFUSE and not refused:
            await self.listen()
        self.tell()

    def tell(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def has(self, verb: Verb, direction: Direction = Direction.BOTH) -> bool:
        return any(
            t.verb is verb and (direction is Direction.BOTH or t.holds(direction))
            for t in self.troubles.values()
        )

    async def passable(self, direction: Direction) -> None:
        while self.has(Verb.SWALLOW, direction):
            await self.changed.wait()

    def lateness(self, direction: Direction) -> float:
        return sum(
            t.seconds + t.jitter * self.chance.random()
            for t in self.troubles.values()
            if t.verb is Verb.DELAY and t.holds(direction)
        )

    def pieces(self, direction: Direction, data: bytes) -> Iterable[tuple[bytes, float]]:
        """What is written at a time, and how long to wait after it."""
        for trouble in self.troubles.values():
            if trouble.verb is Verb.DRIBBLE and trouble.holds(direction):
                size = max(trouble.size, 1)
                return [(data[at : at + size], trouble.seconds) for at in range(0, len(data), size)]
            if trouble.verb is Verb.NARROW and trouble.holds(direction):
                return [
                    (data[at : at + 1024], len(data[at : at + 1024]) / max(trouble.rate, 1.0))
                    for at in range(0, len(data), 1024)
                ]
        return [(data, 0.0)]

    # connections

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.counts["connections"] += 1
        if self.has(Verb.CUT) or len(self.open) >= MOST_CONNECTIONS:
            return self.reset(writer)
        self.open[task] = (writer,)
        other: asyncio.StreamWriter | None = None
        try:
            while self.has(Verb.HALF) or self.has(Verb.SWALLOW):
                await self.changed.wait()
            answers, other = await asyncio.open_connection(*self.target())
            self.open[task] = (writer, other)
            for each in (writer, other):
                each.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.carry(reader, writer, answers, other)
        except (OSError, asyncio.CancelledError):
            self.reset(writer)
        finally:
            self.open.pop(task, None)
            writer.close()
            if other is not None:
                other.close()

    async def carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: asyncio.StreamReader,
        other: asyncio.StreamWriter,
    ) -> None:
        """Both directions, until one ends; the end of the dialled side is kept back while half-open."""
        pumps = [
            asyncio.ensure_future(Pump(self, Direction.UP, reader, other).run()),
            asyncio.ensure_future(Pump(self, Direction.DOWN, answers, writer).run()),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            while self.has(Verb.HALF):
                await self.changed.wait()
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)

    def reset(self, writer: asyncio.StreamWriter) -> None:
        if writer.transport.is_closing():
            return
        self.counts["reset"] += 1
        with contextlib.suppress(OSError):
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()

    def reset_all(self) -> None:
        for task, writers in list(self.open.items()):
            for writer in writers:
                self.reset(writer)
            task.cancel()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        if self.held is not None:
            self.held.close()
        for task in list(self.open):
            task.cancel()


def bound_socket(port: int) -> socket.socket:
    """Bound on loopback beside others at the same port: a bound socket that does not listen keeps a port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((HOST, port))
    sock.setblocking(False)
    return sock
