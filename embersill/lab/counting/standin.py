"""A counter on the loopback interface with faults: an address for each gateway, one set of sums behind them.

The addresses identify the gateways, so that a split or a cut can affect some of them only.
"""

from __future__ import annotations

import asyncio
import functools

import hiredis

from embersill.lab.counting.model import CounterStorage
from embersill.rig.standins import HOST

SNAPSHOT_INTERVAL_S = 0.5


class FaultyCounter:
    """A counter whose faults are attributes.

    `lost` discards calls, `deaf` adds but does not answer, `refused` closes connections. `slow` is the delay
    of each answer in seconds; `cut` holds the names of the gateways that cannot reach the counter.
    """

    def __init__(self, gateways: list[str]) -> None:
        self.gateways = gateways
        self.addresses: dict[str, str] = {}  # by gateway
        self.loop = asyncio.get_running_loop()
        self.storage = CounterStorage(self.loop.time)
        self.lost = self.deaf = self.refused = False
        self.slow = 0.0
        self.cut: set[str] = set()
        self.calls = 0
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.snapshot_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listens on one port for each gateway."""
        for gateway in self.gateways:
            server = await asyncio.start_server(functools.partial(self.serve_connection, gateway), HOST, 0)
            self.servers.append(server)
            self.addresses[gateway] = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        self.take_snapshot()

    def take_snapshot(self) -> None:
        """Takes a snapshot at regular intervals."""
        self.storage.take_snapshot()
        self.snapshot_timer = self.loop.call_later(SNAPSHOT_INTERVAL_S, self.take_snapshot)

    async def serve_connection(
        self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handles the calls on a gateway's connection until it ends or a fault closes it."""
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
                    self.handle_call(gateway, writer, call)
        except (OSError, asyncio.CancelledError, hiredis.HiredisError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def handle_call(self, gateway: str, writer: asyncio.StreamWriter, call: list[bytes]) -> None:
        """Adds the amount of a call and answers it, as the faults allow."""
        self.calls += 1
        if self.lost:
            return
        total = self.storage.add(gateway, call[1].decode(), float(call[2]), float(call[3]) / 1000.0)
        if self.deaf:
            return
        text = f"{total:.7g}".encode()
        answer = b"$%d\r\n%b\r\n" % (len(text), text)
        if self.slow:
            self.loop.call_later(self.slow, self.write_delayed, writer, answer)
        else:
            writer.write(answer)

    def write_delayed(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Writes a delayed answer unless the connection has closed meanwhile."""
        if not writer.is_closing():
            writer.write(answer)

    def close(self) -> None:
        """Stops listening and ends all connections."""
        if self.snapshot_timer is not None:
            self.snapshot_timer.cancel()
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()
