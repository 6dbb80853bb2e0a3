"""Hollow gateways over sockets: many in a process, each with its deciding parts and links, without clients.

`python -m benchmarks.linked_gateways FIRST COUNT PORT SEED...` runs `COUNT` gateways whose addresses are on
loopback, linked to members of the core at the seeds' addresses, and reports on standard output, a line of
JSON every so often, until it is told to end.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time

import msgspec

from embersill.edge.configuration.routes import Table
from embersill.edge.node import Node
from embersill.edge.peers.links import Links
from embersill.edge.peers.peer_set import Hello
from embersill.edge.records import Stored

TICK = 0.1  # seconds between looks at what is due; a real gateway's is shorter
REPORT_EVERY = 0.1  # seconds
ZONES = "north", "south", "east"
PER_OCTET = 250  # addresses that differ in their last number only


class Report(msgspec.Struct):
    """What the gateways of a process have, since the last report where it is a list."""

    links: int  # to other gateways, all together
    versions: dict[int, list[float]]  # by version: when each gateway had it in force, by the steady clock

    @staticmethod
    def read(line: bytes) -> Report:
        """A line that a process has written."""
        return msgspec.json.decode(line, type=Report)


def address(number: int) -> str:
    """The IP number of a gateway; members of the core have 127.0.0.N."""
    return f"127.1.{number // PER_OCTET}.{number % PER_OCTET + 1}"


class HollowGateway:
    """One gateway: its deciding parts, and links on an address of its own."""

    def __init__(self, number: int, port: int, seeds: list[str], versions: dict[int, list[float]]) -> None:
        """`versions`: where it notes when it has which version in force."""
        ip, name = address(number), f"h{number}"
        hello = Hello(name, ip, ZONES[number % len(ZONES)], f"{ip}:0", False, "none", f"life-{name}")
        self.versions = versions
        self.node = Node(hello, seeds, Stored("none"), random.Random(number), time.monotonic())
        self.node.on_table = self.table_came
        self.links = Links(self.node, time.monotonic, ip, port, self.node.peers.targets)
        self.links.flush = self.carry_out

    def table_came(self, table: Table) -> None:
        """Another configuration is in force."""
        self.versions.setdefault(table.version, []).append(time.monotonic())

    def carry_out(self) -> None:
        """Sends the node's mail; nothing is kept on disk."""
        effects = self.node.effects
        while effects.mail or effects.saves:
            mail, saves = effects.take()
            self.links.post(mail)
            for save in saves:
                save.then(True)

    async def run(self) -> None:
        """Listens, links, and does what is due until it is cancelled."""
        await self.links.start()
        await asyncio.sleep(random.uniform(0.0, TICK))
        while True:
            self.node.tick(time.monotonic())
            self.links.tick()
            self.carry_out()
            await asyncio.sleep(TICK)


async def main(first: int, count: int, port: int, seeds: list[str]) -> None:
    """Runs the gateways until SIGTERM."""
    versions: dict[int, list[float]] = {}
    gateways = [HollowGateway(number, port, seeds, versions) for number in range(first, first + count)]
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    tasks = [asyncio.create_task(gateway.run()) for gateway in gateways]
    while not ended.is_set():
        await asyncio.sleep(REPORT_EVERY)
        report = Report(sum(len(gateway.links.by_peer) for gateway in gateways), dict(versions))
        versions.clear()
        sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
        sys.stdout.flush()
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), sys.argv[4:]))
