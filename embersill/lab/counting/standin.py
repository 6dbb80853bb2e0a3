"""A counter on loopback with the troubles of the model: an address for each gateway, one set of sums behind.

The addresses tell the gateways apart, so that a split or a cut can fall on some of them.
"""

from __future__ import annotations

import asyncio
import functools

import hiredis

from embersill.lab.counting.model import Machine
from embersill.rig.standins import HOST

SNAPSHOT_EVERY = 0.5


class TroubledCounter:
    """`lost` takes calls and gives nothing, `deaf` adds and gives nothing, `refused` closes connections.

    `slow` is seconds that each answer waits; `cut` names gateways that do not reach it.
    """

    def __init__(self, gateways: list[str]) -> None:
        self.gateways = gateways
        self.address: dict[str, str] = {}
        self.loop = asyncio.get_running_loop()
        self.machine = Machine(self.loop.time)
        self.lost = self.deaf = self.refused = False
        self.slow = 0.0
        self.cut: set[str] = set()
        self.calls = 0
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        for gateway in self.gateways:
            server = await asyncio.start_server(functools.partial(self.connected, gateway), HOST, 0)
            self.servers.append(server)
            self.address[gateway] = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        self.keep_snapshot()

    def keep_snapshot(self) -> None:
        self.machine.keep_snapshot()
        self.timer = self.loop.call_later(SNAPSHOT_EVERY, self.keep_snapshot)

    async def connected(
        self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        parser = hiredis.Reader()
        try:
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (call := parser.gets()) is not False:
                    if self.refused or gateway in self.cut:
                        return
                    self.answer(gateway, writer, call)
        except (OSError, asyncio.CancelledError, hiredis.HiredisError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def answer(self, gateway: str, writer: asyncio.StreamWriter, call: list[bytes]) -> None:
        self.calls += 1
        if self.lost:
            return
        total = self.machine.add(gateway, call[1].decode(), float(call[2]), float(call[3]) / 1000.0)
        if self.deaf:
            return
        text = f"{total:.7g}".encode()
        answer = b"$%d\r\n%b\r\n" % (len(text), text)
        if self.slow:
            self.loop.call_later(self.slow, self.write, writer, answer)
        else:
            writer.write(answer)

    def write(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        if not writer.is_closing():
            writer.write(answer)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()
