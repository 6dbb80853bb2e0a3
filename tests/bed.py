"""A whole gateway in the test's own event loop, with scripted peers."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import uvloop

from embersill.configuration.platform import build_configuration
from embersill.roles import Program
from tests.peers import (
    HOST,
    SOON,
    Asked,
    BackendPeer,
    CounterPeer,
    DiscoveryPeer,
    read_message,
    settings_text,
)

CUSTOMER = "00000000000000c1"
READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(3 * SOON):
            await test()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


def request(
    number: int,
    klass: str = "lookup",
    budget: float = 5.0,
    plan: str = "basis",
    customer: str = CUSTOMER,
    units: str = "1",
    body: bytes = b"typed text",
    drop: str = "",
    **more: str,
) -> bytes:
    """The bytes of a client's request; `drop` omits a header, `more` replaces or adds headers."""
    get = klass == "lookup"
    headers = {
        "Host": "backend.local",
        "X-Call-Id": f"{number:016x}",
        "X-Call-Class": klass,
        "Plan": plan,
        "X-Budget": f"{budget:.3f}",
        "Quota-Info": f"units={units},spread=2,first=0",
    }
    if klass == "report":
        headers["Idempotency-Key"] = f"key{number:029x}"
    if not get:
        headers["Content-Length"] = str(len(body))
    headers.update({k.replace("_", "-"): v for k, v in more.items()})
    headers.pop(drop, None)
    lines = [f"{'GET' if get else 'POST'} /api?client={customer} HTTP/1.1"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + (b"" if get else body)


class Client:
    """A client's connection, over which the test sends raw bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, text: bytes) -> None:
        self.writer.write(text)

    async def answer(self) -> tuple[int, dict[str, str], bytes]:
        async with asyncio.timeout(SOON):
            first, headers, body = await read_message(self.reader)
        return int(first.split()[1]), headers, body

    async def ask(self, text: bytes) -> tuple[int, dict[str, str], bytes]:
        self.send(text)
        return await self.answer()

    def reset(self) -> None:
        """Resets the connection (RST), which the gateway can tell from an orderly close."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def close(self) -> None:
        """Closes the connection in an orderly way."""
        self.writer.close()

    def half_close(self) -> None:
        """Closes the client's sending direction only."""
        self.writer.write_eof()

    async def closed(self) -> bool:
        """Waits until the gateway closes the connection; False if it sends anything before that."""
        async with asyncio.timeout(SOON):
            return await self.reader.read(1) == b""


class Bed:
    """A gateway with its peers: backends, discovery and the counter."""

    def __init__(self, backends: int) -> None:
        self.backends = [BackendPeer() for _ in range(backends)]
        self.discovery, self.counter = DiscoveryPeer(), CounterPeer()
        self.port = 0
        self.operator = ""  # the address of the operators' server, if there is to be one
        self.program: Program

    async def start(self, env: dict[str, Any], sockets: int) -> None:
        for peer in (*self.backends, self.discovery, self.counter):
            await peer.start()
        entries = [self.discovery.entry(f"b{n}", b.address) for n, b in enumerate(self.backends)]
        self.discovery.entries = {e["instanceId"]: e for e in entries}
        told = self.told(env, sockets)
        configuration = build_configuration(told, {"RELAY_OPERATOR": self.operator})
        self.program = Program(configuration)
        self.program.listen = (HOST, self.port)
        await self.program.start()
        assert self.program.front.listener is not None
        self.port = self.program.front.listener.getsockname()[1]

    def told(self, env: dict[str, Any], sockets: int) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": f"{HOST}:1",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"generation": 1, "reset": True, "instances": list(self.discovery.entries.values())},
            "settings": env,
        }

    async def client(self, receive_buffer: int = 0) -> Client:
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self.port))
        return Client(*await asyncio.open_connection(sock=sock))

    def seen(self) -> list[Asked]:
        return [asked for b in self.backends for asked in b.seen]


def roomy_settings(**limits: Any) -> dict[str, Any]:
    """The settings with a first plan so large that its requests are sent at once and not counted."""
    env = settings_text(**limits)
    env["packages"][0].update(peak_units=400.0, units_per_s=100.0)
    return env


@asynccontextmanager
async def running(
    backends: int = 1, env: dict[str, Any] | None = None, sockets: int = 1024, operator: str = ""
) -> AsyncIterator[Bed]:
    bed = Bed(backends)
    bed.operator = operator
    await bed.start(env or roomy_settings(), sockets)
    try:
        yield bed
    finally:
        if not bed.program.front.stopping:
            await bed.program.stop(0.0, 0.0)
        for peer in (*bed.backends, bed.discovery, bed.counter):
            await peer.stop()
