"""Members of a council as processes that do nothing but read and write its register, and say what they found.

`python -m embersill.rig.clerks FILE` is one of them. It prints a line as each operation begins and one as it
ends, with the machine's monotonic clock, which all processes share: what they print together is a history
that can be judged, and one that is killed leaves an operation of which nobody knows whether it took effect.
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

from embersill.council.chair import CouncilService
from embersill.council.member import How, Result
from embersill.council.messages import Entry
from embersill.council.settings import Council
from embersill.council.terms import CouncilTerms
from embersill.rig.processes import Member, free_ports
from embersill.rig.relay import Way
from embersill.rig.standins import HOST
from embersill.roles import start_clock
from embersill.world.histories import Op

KEYS = ("k0", "k1", "k2")
EVERY = 0.02  # seconds between operations, on the mean


class Told(msgspec.Struct, forbid_unknown_fields=True):
    """What a clerk is told. `stale`: it answers reads from memory, which a checker has to notice."""

    name: str
    members: dict[str, tuple[str, int]]
    state: str
    seed: int
    stale: bool = False


class Clerk:
    def __init__(self, told: Told) -> None:
        self.told = told
        council = Council(Path(told.state), told.members, CouncilTerms(), None, None, {})
        self.chair = CouncilService(council, told.name, b"k" * 32, start_clock())
        self.chance = random.Random(f"{told.seed} {told.name} {time.monotonic()}")
        self.numbers = 0
        self.cache: dict[str, str | None] = {}

    def say(self, **line: object) -> None:
        print(json.dumps({"name": self.told.name, "at": time.monotonic(), **line}), flush=True)

    async def run(self) -> None:
        await self.chair.start()
        while True:
            await asyncio.sleep(EVERY * 2 * self.chance.random())
            self.one()

    def one(self) -> None:
        self.numbers += 1
        number, key = f"{self.told.name}.{self.chance.getrandbits(48):x}", self.chance.choice(KEYS)
        writes = self.chance.random() < 0.4
        values: dict[str, str | None] = {}  # what was written, and what it was put in place of

        def change(entry: Entry | None) -> bytes:
            value = f"{number}.{len(values)}"
            values[value] = None if entry is None else entry.data.decode()
            self.say(op=number, key=key, writes=value, found=values[value])
            return value.encode()

        def done(result: Result, now: float) -> None:
            found = None if result.entry is None else result.entry.data.decode()
            if result.how is How.DONE:
                self.cache.setdefault(key, found)
            if result.how is How.DONE and writes:
                self.say(op=number, key=key, end="done", value=found, found=values[found or ""])
            elif result.how is How.DONE:
                found = self.cache[key] if self.told.stale else found
                self.say(op=number, key=key, end="done", found=found)
            else:
                self.say(op=number, key=key, end=result.how.value)

        self.say(op=number, key=key, begin="write" if writes else "read")
        if writes:
            self.chair.core.member.write(key, change, done, self.chair.clock())
        else:
            self.chair.core.member.read(key, done, self.chair.clock())
        self.chair.send()


class Clerks:
    """Some of them, with a relay on each way between two, and the history that they tell."""

    def __init__(self, count: int, seed: int, stale: str = "") -> None:
        self.names = [f"m{n}" for n in range(count)]
        self.seed, self.stale = seed, stale
        self.folder = tempfile.TemporaryDirectory(prefix="embersill-clerks-")
        self.ways: dict[str, Way] = {}
        self.members: dict[str, Member] = {}
        self.lines: list[dict[str, object]] = []

    async def start(self) -> None:
        ports = dict(zip(self.names, free_ports(len(self.names)), strict=True))
        for one in self.names:
            for other in self.names:
                if one != other:
                    way = Way(
                        f"{one}>{other}",
                        lambda port=ports[other]: (HOST, port),  # type: ignore[misc]
                        self.seed,
                    )
                    self.ways[way.name] = way
                    await way.start()
        for name in self.names:
            told = {
                "name": name,
                "state": f"{self.folder.name}/{name}",
                "seed": self.seed,
                "stale": name == self.stale,
                "members": {
                    other: [HOST, ports[name] if other == name else self.ways[f"{name}>{other}"].port]
                    for other in self.names
                },
            }
            path = Path(self.folder.name) / f"{name}.json"
            path.write_text(json.dumps(told))
            member = Member(name, "clerk", [sys.executable, "-m", "embersill.rig.clerks", str(path)], {})
            member.environ = {"PYTHONPATH": str(Path(__file__).parents[2]), "PATH": "/usr/bin:/bin"}
            member.on_status = lambda member: self.lines.append(member.status)
            self.members[name] = member
        await asyncio.gather(*(member.start() for member in self.members.values()))

    def close(self) -> None:
        for member in self.members.values():
            member.finish()
        for way in self.ways.values():
            way.close()
        self.folder.cleanup()

    def histories(self) -> dict[str, list[Op]]:
        """By key, what was told so far."""
        begun: dict[str, tuple[str, float]] = {}
        tried: dict[str, list[tuple[str | None, str]]] = {}
        ended: dict[str, dict[str, object]] = {}
        for line in self.lines:
            number = str(line["op"])
            if "begin" in line:
                begun[number] = str(line["key"]), float(str(line["at"]))
            elif "writes" in line:
                found = line["found"]
                pair = None if found is None else str(found), str(line["writes"])
                tried.setdefault(number, []).append(pair)
            else:
                ended[number] = line
        made: dict[str, list[Op]] = {}
        for number, (key, at) in begun.items():
            ops, end = made.setdefault(key, []), ended.get(number)
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
                ops += [Op(at, math.inf, found, value, sure=False) for found, value in tried.get(number, ())]
        return made


async def main(path: str) -> None:
    await Clerk(msgspec.json.decode(Path(path).read_bytes(), type=Told)).run()


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1]))
