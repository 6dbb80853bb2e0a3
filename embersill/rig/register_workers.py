"""Council members as processes that only read and write the replicated register and print what they read.

`python -m embersill.rig.register_workers FILE` runs one of them. It prints a line when an operation begins
and one when it ends, with the machine's monotonic clock, which all processes share. Their lines together are
a history to check for linearizability; a process that is killed leaves an operation of unknown effect.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import uvloop

from embersill.council.member import How, Result
from embersill.council.messages import Entry
from embersill.council.service import CouncilService
from embersill.council.settings import Council
from embersill.council.terms import CouncilTerms
from embersill.rig.processes import Member, free_ports
from embersill.rig.relay import Relay
from embersill.rig.standins import HOST
from embersill.roles import start_clock
from embersill.world.histories import Op

KEYS = ("k0", "k1", "k2")
MEAN_OPERATION_INTERVAL_S = 0.02


class WorkerConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of a worker. `stale`: it answers reads from its cache, which the checker has to notice."""

    name: str
    members: dict[str, tuple[str, int]]
    state: str
    seed: int
    stale: bool = False


class RegisterWorker:
    """One process: starts operations on the register and prints their beginnings and ends."""

    def __init__(self, config: WorkerConfig) -> None:
        self.config = config
        council = Council(Path(config.state), config.members, CouncilTerms(), None, None, {})
        self.chair = CouncilService(council, config.name, b"k" * 32, start_clock())
        self.rng = random.Random(f"{config.seed} {config.name} {time.monotonic()}")
        self.operation_count = 0
        self.cache: dict[str, str | None] = {}

    def print_event(self, **line: object) -> None:
        """Prints an event as a JSON line with the time."""
        print(json.dumps({"name": self.config.name, "at": time.monotonic(), **line}), flush=True)

    async def run(self) -> None:
        """Starts operations until the process is killed."""
        await self.chair.start()
        while True:
            await asyncio.sleep(MEAN_OPERATION_INTERVAL_S * 2 * self.rng.random())
            self.start_operation()

    def start_operation(self) -> None:
        """Starts a read or a write of a random key."""
        self.operation_count += 1
        operation, key = f"{self.config.name}.{self.rng.getrandbits(48):x}", self.rng.choice(KEYS)
        writes = self.rng.random() < 0.4
        written: dict[str, str | None] = {}  # each value written, and the value that it replaced

        def change(entry: Entry | None) -> bytes:
            value = f"{operation}.{len(written)}"
            written[value] = None if entry is None else entry.data.decode()
            self.print_event(op=operation, key=key, writes=value, found=written[value])
            return value.encode()

        def done(result: Result, now: float) -> None:
            found = None if result.entry is None else result.entry.data.decode()
            if result.how is How.DONE:
                self.cache.setdefault(key, found)
            if result.how is How.DONE and writes:
                self.print_event(op=operation, key=key, end="done", value=found, found=written[found or ""])
            elif result.how is How.DONE:
                found = self.cache[key] if self.config.stale else found
                self.print_event(op=operation, key=key, end="done", found=found)
            else:
                self.print_event(op=operation, key=key, end=result.how.value)

        self.print_event(op=operation, key=key, begin="write" if writes else "read")
        if writes:
            self.chair.core.member.write(key, change, done, self.chair.clock())
        else:
            self.chair.core.member.read(key, done, self.chair.clock())
        self.chair.send()


class RegisterCluster:
    """Several worker processes with a relay on each link between two, and the history that they print."""

    def __init__(self, count: int, seed: int, stale: str = "") -> None:
        self.names = [f"m{n}" for n in range(count)]
        self.seed, self.stale = seed, stale
        self.folder = tempfile.TemporaryDirectory(prefix="embersill-clerks-")
        self.relays: dict[str, Relay] = {}
        self.members: dict[str, Member] = {}
        self.lines: list[dict[str, object]] = []

    async def start(self) -> None:
        """Starts the relays and the processes."""
        ports = dict(zip(self.names, free_ports(len(self.names)), strict=True))
        for sender in self.names:
            for receiver in self.names:
                if sender != receiver:
                    relay = Relay(
                        f"{sender}>{receiver}",
                        lambda port=ports[receiver]: (HOST, port),  # type: ignore[misc]
                        self.seed,
                    )
                    self.relays[relay.name] = relay
                    await relay.start()
        for name in self.names:
            config = {
                "name": name,
                "state": f"{self.folder.name}/{name}",
                "seed": self.seed,
                "stale": name == self.stale,
                "members": {
                    receiver: [
                        HOST,
                        ports[name] if receiver == name else self.relays[f"{name}>{receiver}"].port,
                    ]
                    for receiver in self.names
                },
            }
            path = Path(self.folder.name) / f"{name}.json"
            path.write_text(json.dumps(config))
            member = Member(
                name, "clerk", [sys.executable, "-m", "embersill.rig.register_workers", str(path)], {}
            )
            member.environ = {"PYTHONPATH": str(Path(__file__).parents[2]), "PATH": "/usr/bin:/bin"}
            member.on_status = lambda member: self.lines.append(member.status)
            self.members[name] = member
        await asyncio.gather(*(member.start() for member in self.members.values()))

    def close(self) -> None:
        """Kills the processes and closes the relays."""
        for member in self.members.values():
            member.kill_now()
        for relay in self.relays.values():
            relay.close()
        self.folder.cleanup()

    def histories(self) -> dict[str, list[Op]]:
        """Operations so far, by key."""
        begun: dict[str, tuple[str, float]] = {}
        attempted: dict[str, list[tuple[str | None, str]]] = {}
        ended: dict[str, dict[str, object]] = {}
        for line in self.lines:
            operation = str(line["op"])
            if "begin" in line:
                begun[operation] = str(line["key"]), float(str(line["at"]))
            elif "writes" in line:
                found = line["found"]
                pair = None if found is None else str(found), str(line["writes"])
                attempted.setdefault(operation, []).append(pair)
            else:
                ended[operation] = line
        histories: dict[str, list[Op]] = {}
        for operation, (key, at) in begun.items():
            ops, end = histories.setdefault(key, []), ended.get(operation)
            if end is not None and end["end"] == "done":
                found, value = end["found"], end.get("value")
                ops.append(
                    Op(
                        at,
                        float(str(end["at"])),
                        None if found is None else str(found),
                        None if value is None else str(value),
                    )
                )
            elif end is None or end["end"] == "unknown":
                ops += [
                    Op(at, math.inf, found, value, sure=False)
                    for found, value in attempted.get(operation, ())
                ]
        return histories


async def main(path: str) -> None:
    """Runs the worker that a settings file describes."""
    await RegisterWorker(msgspec.json.decode(Path(path).read_bytes(), type=WorkerConfig)).run()


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1]))
