"""Clients of the soak: they keep connections until the process is gone, pipeline, come again, and leave."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from embersill.rig.hall import GatewayCluster
from embersill.rig.soak.record import Answer, ClientRequest
from embersill.rig.soak.schedule import BODY_BYTES, Action, Disconnect, Phase, Route

PATIENCE = 9.0  # seconds that a client waits for its answers
DEADLINE = 8.0  # seconds that it says it waits
CONNECT_WITHIN = 1.0  # seconds
READ_AFTER_HALF_CLOSE = 0.5  # seconds in which a client that ended its direction still reads
SILENT_FOR = 1.0  # seconds that a client that fell silent stays connected
SLOW_READ = 0.3  # seconds before a slow reader begins to read
RETRY_STATUSES = frozenset((429, 503))
RETRY_AFTER_MOST = 1.0  # seconds
NO_LINGER = struct.pack("ii", 1, 0)


@dataclass
class Connection:
    """One connection of one client to one gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    usable: bool = True

    def reset(self) -> None:
        """Ends it by a reset."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.writer.transport.abort()


class Clients:
    """All clients of a run."""

    def __init__(
        self, cluster: GatewayCluster, tries: list[ClientRequest], clock: Callable[[], float]
    ) -> None:
        self.cluster, self.tries, self.clock = cluster, tries, clock
        self.kept: dict[tuple[int, int], Connection] = {}

    async def play(self, client: int, actions: list[Action]) -> None:
        """Does what one client does, one action after the other."""
        for action in actions:
            await asyncio.sleep(max(action.at - self.clock(), 0.0))
            with contextlib.suppress(ConnectionError):
                await self.act(action)
        for (owner, _), connection in list(self.kept.items()):
            if owner == client:
                connection.writer.transport.abort()

    async def connection(self, action: Action, gateway: int, fresh: bool) -> Connection | None:
        """A kept connection, or a new one; None where none comes up."""
        key = action.client, gateway
        kept = None if fresh else self.kept.get(key)
        if kept is not None and kept.usable and not kept.reader.at_eof() and not kept.writer.is_closing():
            return kept
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                reader, writer = await asyncio.open_connection(
                    self.cluster.ip(gateway), self.cluster.ports[0]
                )
        except (OSError, TimeoutError):
            return None
        made = Connection(reader, writer)
        if not fresh:
            self.kept[key] = made
        return made

    def new_tries(self, action: Action, gateway: int, count: int) -> list[ClientRequest]:
        """Entries for requests that are about to be sent."""
        made = []
        for _ in range(count):
            name = f"a{len(self.tries)}"
            one = ClientRequest(
                name, action.client, gateway, action.tenant, action.route, action.work, self.clock()
            )
            self.tries.append(one)
            made.append(one)
        return made

    async def act(self, action: Action) -> None:
        """Sends the requests of an action, and waits for the answers, leaves, or comes again."""
        connection = await self.connection(action, action.gateway, action.fresh)
        if connection is None:
            return
        tries = self.new_tries(action, action.gateway, action.requests)
        if action.leave is not None:
            return await self.send_and_leave(action, connection, tries)
        await self.send_and_wait(action, connection, tries)
        if action.requests == 1 and tries[0].answers and tries[0].answers[-1].status in RETRY_STATUSES:
            await self.come_again(action)
        return None

    async def come_again(self, action: Action) -> None:
        """Tries once more at the next gateway, on a new connection."""
        gateway = (action.gateway + 1) % self.cluster.size
        await asyncio.sleep(RETRY_AFTER_MOST / 4)
        connection = await self.connection(action, gateway, True)
        if connection is not None:
            await self.send_and_wait(action, connection, self.new_tries(action, gateway, 1), last=True)

    async def send_and_wait(
        self, action: Action, connection: Connection, tries: list[ClientRequest], last: bool = False
    ) -> None:
        """Sends requests and reads their answers."""
        self.write(connection, tries)
        if action.slow_reader:
            await asyncio.sleep(SLOW_READ)
        try:
            async with asyncio.timeout(PATIENCE):
                await self.receive(connection, tries)
        except TimeoutError:
            self.left(tries, Disconnect.CLOSE, Phase.WORKING)
            connection.usable = False
        if action.fresh or last or not connection.usable:
            connection.writer.transport.abort()

    def write(self, connection: Connection, tries: list[ClientRequest]) -> None:
        """Writes requests, all at once."""
        connection.writer.write(b"".join(request(one) for one in tries))
        for one in tries:
            one.whole = True

    async def send_and_leave(
        self, action: Action, connection: Connection, tries: list[ClientRequest]
    ) -> None:
        """Sends requests, or a part of one, and leaves."""
        assert action.leave is not None
        connection.usable = False
        text = request(tries[0])
        if action.phase is Phase.HEAD:
            connection.writer.write(text[:40])
        elif action.phase is Phase.BODY and action.route is Route.ORDER:
            connection.writer.write(text[: -BODY_BYTES // 2])
        else:
            self.write(connection, tries)
        reading = asyncio.create_task(self.receive(connection, tries))
        if action.phase is not Phase.SENT:
            await asyncio.sleep(action.after)
        self.left(tries, action.leave, action.phase)
        await self.leave(action.leave, connection)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        connection.writer.transport.abort()

    def left(self, tries: list[ClientRequest], leave: Disconnect, phase: Phase) -> None:
        """Notes that the client leaves now, for what is not answered."""
        for one in tries:
            if not one.answers and not one.cut_at:
                one.left_at, one.leave, one.phase = self.clock(), leave, phase

    async def leave(self, leave: Disconnect, connection: Connection) -> None:
        """Leaves in one of the ways."""
        if leave is Disconnect.RESET:
            connection.reset()
        elif leave is Disconnect.CLOSE:
            connection.writer.close()
        elif leave is Disconnect.HALF_CLOSE and not connection.writer.is_closing():
            connection.writer.write_eof()
            await asyncio.sleep(READ_AFTER_HALF_CLOSE)
        elif leave is Disconnect.SILENCE:
            await asyncio.sleep(SILENT_FOR)

    async def receive(self, connection: Connection, tries: list[ClientRequest]) -> None:
        """Reads the answers of requests, in their order."""
        for place, one in enumerate(tries):
            try:
                keep = await self.receive_one(connection.reader, one)
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                connection.usable = False
                return self.cut(tries[place:])
            if not keep:
                connection.usable = False
                return self.cut(tries[place + 1 :])
        return None

    def cut(self, tries: list[ClientRequest]) -> None:
        """Notes that the gateway ended the connection without these answers."""
        for one in tries:
            if not one.left_at:
                one.cut_at = self.clock()

    async def receive_one(self, reader: asyncio.StreamReader, one: ClientRequest) -> bool:
        """Reads one answer; True if more may follow on the connection."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").strip()
        first, *lines = head.split("\r\n")
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
        answer = Answer(
            self.clock(),
            int(first.split(" ")[1]),
            headers.get("x-attempt-id", ""),
            "x-backend-seal" in headers,
            False,
        )
        one.answers.append(answer)
        await reader.readexactly(int(headers.get("content-length", "0")))
        answer.whole = True
        return headers.get("connection", "").lower() != "close"


def request(one: ClientRequest) -> bytes:
    """The bytes of a client's request; its path says how long a backend works on it."""
    method, body = ("GET", b"") if one.route is Route.ASK else ("POST", b"x" * BODY_BYTES)
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} /{one.route.value}/w{one.work * 1000:.0f} HTTP/1.1\r\nHost: hall.example\r\n"
        f"X-Attempt-Id: {one.attempt}\r\nX-Key: {one.tenant}\r\n"
        f"X-Deadline-Remaining-Ms: {DEADLINE * 1000:.0f}\r\n{length}\r\n"
    ).encode() + body
