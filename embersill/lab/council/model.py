"""What stands around members in their world: a disk as their files, receivers, books of use. No I/O."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass

from embersill.rig.billing import StandInBilling
from embersill.world.disk import Disk, StoredFile
from embersill.world.oracles import Broken


class WorldFiles:
    """A world's disk as the journal wants it. A file that is copied is another."""

    def __init__(self, disk: Disk, token: Callable[[], int]) -> None:
        self.disk, self.token = disk, token
        self.tokens: dict[StoredFile, int] = {}
        self.ill = ""  # a file that takes nothing

    def read(self, name: str) -> bytes | None:
        try:
            return self.disk.read(name)
        except FileNotFoundError:
            return None

    def create(self, name: str) -> None:
        self.disk.create(name)
        self.tokens[self.disk.files[name]] = self.token()

    def identity(self, name: str) -> str:
        return str(self.tokens.get(self.disk.files[name], 0))

    def append(self, name: str, data: bytes) -> None:
        if self.ill and name.startswith(self.ill):
            raise OSError(errno.EIO, "the file can't be written", name)
        self.disk.append(name, data)

    def truncate(self, name: str, size: int) -> None:
        self.disk.truncate(name, size)

    def sync(self, name: str) -> None:
        self.disk.fsync(name)

    def rename(self, old: str, new: str) -> None:
        self.disk.rename(old, new)
        self.disk.fsync_folder()

    def copied(self) -> dict[str, bytes]:
        return {name: self.disk.read(name) for name in self.disk.list_names()}

    def put_back(self, files: dict[str, bytes]) -> None:
        """In place of all that is there: files that have the same in them, and are others."""
        ill, self.disk.error = self.disk.error, None  # somebody does that by hand
        for name in self.disk.list_names():
            self.disk.remove(name)
        for name, content in files.items():
            self.create(name)
            self.disk.append(name, content)
            self.disk.fsync(name)
        self.disk.fsync_folder()
        self.disk.error = ill


@dataclass(slots=True)
class Effect:
    """What an owner did to somebody outside."""

    number: int
    sequence: int
    owner: str


class Receiver:
    """Somebody outside whom an office acts upon: keeps the highest number, as every receiver has to."""

    def __init__(self) -> None:
        self.highest = (0, 0)
        self.owners: dict[int, str] = {}
        self.taken = self.late = 0

    def came(self, effect: Effect, now: float) -> None:
        if self.owners.setdefault(effect.number, effect.owner) != effect.owner:
            raise Broken(
                "one owner",
                now,
                f"number {effect.number} is both {effect.owner}'s and " f"{self.owners[effect.number]}'s",
            )
        if (effect.number, effect.sequence) <= self.highest:
            self.late += effect.number < self.highest[0]
            return
        self.highest = effect.number, effect.sequence
        self.taken += 1


class Books:
    """What each stream of use noted, and what may be exported of it at least and at most."""

    def __init__(self) -> None:
        self.low: dict[str, float] = {}  # synced
        self.high: dict[str, float] = {}  # ever used
        self.pending: dict[str, float] = {}  # written and not synced
        self.unwritten: dict[str, float] = {}

    def used(self, stream: str, units: float) -> None:
        self.high[stream] = self.high.get(stream, 0.0) + units
        self.unwritten[stream] = self.unwritten.get(stream, 0.0) + units

    def written(self, stream: str) -> None:
        self.pending[stream] = self.pending.get(stream, 0.0) + self.unwritten.pop(stream, 0.0)

    def synced(self, stream: str) -> None:
        self.low[stream] = self.low.get(stream, 0.0) + self.pending.pop(stream, 0.0)

    def killed(self, stream: str, power: bool) -> None:
        self.unwritten.pop(stream, None)
        if power:
            self.pending.pop(stream, None)

    def judge(self, billing: StandInBilling, alive: set[str], now: float) -> None:
        """Each batch once, in order; and of streams whose planner runs, all that it noted."""
        last: dict[str, int] = {}
        units: dict[str, float] = {}
        for booked in billing.appends:
            for batch in booked.body["batches"]:
                stream, number = batch["stream"], batch["number"]
                if number != last.get(stream, 0) + 1:
                    raise Broken(
                        "each unit once", now, f"batch {number} of {stream} after " f"{last.get(stream, 0)}"
                    )
                last[stream] = number
                units[stream] = units.get(stream, 0.0) + sum(u for _, _, u in batch["uses"])
        for stream, found in units.items():
            if found > self.high.get(stream, 0.0) + 1e-6:
                raise Broken(
                    "each unit once",
                    now,
                    f"{found:g} units of {stream} where "
                    f"{self.high.get(stream, 0.0):g} at most were noted",
                )
        for stream in alive:
            least = sum(kind.get(stream, 0.0) for kind in (self.low, self.pending, self.unwritten))
            if units.get(stream, 0.0) < least - 1e-6:
                raise Broken(
                    "each unit once",
                    now,
                    f"{units.get(stream, 0.0):g} units of {stream} where " f"{least:g} were noted",
                )
