"""Clients of the soak: they keep connections, pipeline requests, retry and disconnect."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from embersill.rig.gateway_cluster import GatewayCluster
from embersill.rig.soak.record import Answer, ClientRequest
from embersill.rig.soak.schedule import BODY_BYTES, Action, Disconnect, Phase, Route

ANSWER_TIMEOUT_S = 9.0  # that a client waits for its answers
DEADLINE_S = 8.0  # that its requests announce
CONNECT_TIMEOUT_S = 1.0
HALF_CLOSE_READ_S = 0.5  # for which a client still reads after a half-close
SILENCE_S = 1.0  # for which a silent client stays connected
SLOW_READ_DELAY_S = 0.3  # before a slow reader begins to read
RETRY_STATUSES = frozenset((429, 503))
MAX_RETRY_AFTER_S = 1.0
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass
class Connection:
    """One connection of one client to one gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    usable: bool = True

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.writer.transport.abort()


class Clients:
    """All clients of a run."""

    def __init__(
        self, cluster: GatewayCluster, requests: list[ClientRequest], clock: Callable[[], float]
    ) -> None:
        self.cluster, self.requests, self.clock = cluster, requests, clock
        self.kept: dict[tuple[int, int], Connection] = {}

    async def run_client(self, client: int, actions: list[Action]) -> None:
        """Runs the actions of one client, one after the other."""
        for action in actions:
            await asyncio.sleep(max(action.at - self.clock(), 0.0))
            with contextlib.suppress(ConnectionError):
                await self.run_action(action)
        for (owner, _), connection in list(self.kept.items()):
            if owner == client:
                connection.writer.transport.abort()

    async def connection(self, action: Action, gateway: int, fresh: bool) -> Connection | None:
        """A kept connection or a new one; None if the gateway accepts none."""
        key = action.client, gateway
        kept = None if fresh else self.kept.get(key)
        if kept is not None and kept.usable and not kept.reader.at_eof() and not kept.writer.is_closing():
            return kept
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.cluster.ip(gateway), self.cluster.ports[0]
                )
        except (OSError, TimeoutError):
            return None
        created = Connection(reader, writer)
        if not fresh:
            self.kept[key] = created
        return created

    def new_requests(self, action: Action, gateway: int, count: int) -> list[ClientRequest]:
        """Records requests that are about to be sent."""
        created = []
        for _ in range(count):
            name = f"a{len(self.requests)}"
            request = ClientRequest(
                name, action.client, gateway, action.tenant, action.route, action.work, self.clock()
            )
            self.requests.append(request)
            created.append(request)
        return created

    async def run_action(self, action: Action) -> None:
        """Sends the requests of an action and waits for the answers, disconnects, or retries a refusal."""
        connection = await self.connection(action, action.gateway, action.fresh)
        if connection is None:
            return
        requests = self.new_requests(action, action.gateway, action.requests)
        if action.leave is not None:
            return await self.send_and_leave(action, connection, requests)
        await self.send_and_wait(action, connection, requests)
        if action.requests == 1 and requests[0].answers and requests[0].answers[-1].status in RETRY_STATUSES:
            await self.retry(action)
        return None

    async def retry(self, action: Action) -> None:
        """Retries once at the next gateway, over a new connection."""
        gateway = (action.gateway + 1) % self.cluster.size
        await asyncio.sleep(MAX_RETRY_AFTER_S / 4)
        connection = await self.connection(action, gateway, True)
        if connection is not None:
            await self.send_and_wait(action, connection, self.new_requests(action, gateway, 1), final=True)

    async def send_and_wait(
        self, action: Action, connection: Connection, requests: list[ClientRequest], final: bool = False
    ) -> None:
        """Sends requests and reads their answers."""
        self.write(connection, requests)
        if action.slow_reader:
            await asyncio.sleep(SLOW_READ_DELAY_S)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self.receive(connection, requests)
        except TimeoutError:
            self.mark_disconnected(requests, Disconnect.CLOSE, Phase.WORKING)
            connection.usable = False
        if action.fresh or final or not connection.usable:
            connection.writer.transport.abort()

    def write(self, connection: Connection, requests: list[ClientRequest]) -> None:
        """Writes requests, all at once."""
        connection.writer.write(b"".join(request_bytes(request) for request in requests))
        for request in requests:
            request.whole = True

    async def send_and_leave(
        self, action: Action, connection: Connection, requests: list[ClientRequest]
    ) -> None:
        """Sends requests, or a part of one, and disconnects."""
        assert action.leave is not None
        connection.usable = False
        text = request_bytes(requests[0])
        if action.phase is Phase.HEAD:
            connection.writer.write(text[:40])
        elif action.phase is Phase.BODY and action.route is Route.ORDER:
            connection.writer.write(text[: -BODY_BYTES // 2])
        else:
            self.write(connection, requests)
        reading = asyncio.create_task(self.receive(connection, requests))
        if action.phase is not Phase.SENT:
            await asyncio.sleep(action.after)
        self.mark_disconnected(requests, action.leave, action.phase)
        await self.leave(action.leave, connection)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        connection.writer.transport.abort()

    def mark_disconnected(self, requests: list[ClientRequest], leave: Disconnect, phase: Phase) -> None:
        """Records the client's disconnect for all requests without an answer."""
        for request in requests:
            if not request.answers and not request.cut_at:
                request.left_at, request.leave, request.phase = self.clock(), leave, phase

    async def leave(self, leave: Disconnect, connection: Connection) -> None:
        """Disconnects in the given way."""
        if leave is Disconnect.RESET:
            connection.reset()
        elif leave is Disconnect.CLOSE:
            connection.writer.close()
        elif leave is Disconnect.HALF_CLOSE and not connection.writer.is_closing():
            connection.writer.write_eof()
            await asyncio.sleep(HALF_CLOSE_READ_S)
        elif leave is Disconnect.SILENCE:
            await asyncio.sleep(SILENCE_S)

    async def receive(self, connection: Connection, requests: list[ClientRequest]) -> None:
        """Reads the answers to requests, in their order."""
        for index, request in enumerate(requests):
            try:
                keep = await self.receive_answer(connection.reader, request)
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                connection.usable = False
                return self.mark_cut(requests[index:])
            if not keep:
                connection.usable = False
                return self.mark_cut(requests[index + 1 :])
        return None

    def mark_cut(self, requests: list[ClientRequest]) -> None:
        """Records that the gateway closed the connection without these answers."""
        for request in requests:
            if not request.left_at:
                request.cut_at = self.clock()

    async def receive_answer(self, reader: asyncio.StreamReader, request: ClientRequest) -> bool:
        """Reads one answer; True if more may follow on the connection."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").strip()
        status_line, *lines = head.split("\r\n")
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
        answer = Answer(
            self.clock(),
            int(status_line.split(" ")[1]),
            headers.get("x-attempt-id", ""),
            "x-backend-seal" in headers,
            False,
        )
        request.answers.append(answer)
        await reader.readexactly(int(headers.get("content-length", "0")))
        answer.whole = True
        return headers.get("connection", "").lower() != "close"


def request_bytes(request: ClientRequest) -> bytes:
    """Bytes of a client's request; its path says how long a backend works on it."""
    method, body = ("GET", b"") if request.route is Route.ASK else ("POST", b"x" * BODY_BYTES)
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} /{request.route.value}/w{request.work * 1000:.0f} HTTP/1.1\r\nHost: hall.example\r\n"
        f"X-Attempt-Id: {request.attempt}\r\nX-Key: {request.tenant}\r\n"
        f"X-Deadline-Remaining-Ms: {DEADLINE_S * 1000:.0f}\r\n{length}\r\n"
    ).encode() + body
