"""A gateway's own state on disk: a few named values in an lmdb folder, written one by one by a thread.

Each value carries a checksum. lmdb writes a page anew and syncs it before the page that names it, so that a
loss of power leaves the value before or the one after (SIGMOD has it as shadow paging; Chu 2011, "MDB").

Where the page that names the others could not be written, as on a disk that filled up in between, lmdb
refuses all later writes of that environment. It is opened anew then: else this member would keep nothing
until its process ends, with the disk long well again.
"""

from __future__ import annotations

import asyncio
import logging
import queue
import threading
import zlib
from collections.abc import Callable, Mapping
from pathlib import Path

import lmdb
import msgspec
from expression import Error, Ok, Result

from embersill.edge.consensus.election import VOTE_KEY
from embersill.edge.records import EpochStart, RegisterSnapshot, Save, Stored, Vote
from embersill.edge.configuration.document import State

FORMAT = b"embersill-1"
MOST_PART = 0.75  # of the disk that the map may take
LEAST_MAP = 4 << 20
MOST_MAP = 1 << 30
MOST_WAITING = 1000  # saves

log = logging.getLogger("embersill.edge")


def framed(data: bytes) -> bytes:
    """A value as it is kept, behind its checksum."""
    return zlib.crc32(data).to_bytes(4, "big") + data


def unframed(data: bytes) -> bytes | None:
    """What was kept; None if it does not agree with its checksum."""
    return data[4:] if len(data) >= 4 and zlib.crc32(data[4:]).to_bytes(4, "big") == data[:4] else None


def read_values(environment: lmdb.Environment, folder: Path) -> Result[dict[str, bytes], str]:
    """All values of a folder by name, none if it is empty, or what is wrong with it."""
    found: dict[str, bytes] = {}
    try:
        with environment.begin() as transaction:
            for key, framed_value in transaction.cursor():
                value = unframed(bytes(framed_value))
                if value is None:
                    return Error(f"{folder}: the value {bytes(key).decode()!r} is damaged")
                found[bytes(key).decode()] = value
    except (lmdb.Error, OSError, UnicodeDecodeError) as error:
        return Error(f"{folder}: {error}")
    if found and found.get("format") != FORMAT:
        return Error(f"{folder}: written in another format, {found.get('format', b'none')!r}")
    return Ok(found)


def stored_of(found: Mapping[str, bytes], folder: Path) -> Result[Stored, str]:
    """What values mean, or which of them means nothing."""
    begun, kept = found.get("begun"), found.get("remembered")
    try:
        return Ok(
            Stored(
                found["store"].decode(),
                msgspec.json.decode(begun, type=EpochStart) if begun else None,
                msgspec.msgpack.decode(kept, type=RegisterSnapshot) if kept else None,
                found.get("backends", b""),
                int(found.get("gateways", b"0")),
                msgspec.msgpack.decode(found["state"], type=State) if "state" in found else None,
                msgspec.json.decode(found[VOTE_KEY], type=Vote) if VOTE_KEY in found else None,
            )
        )
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        return Error(f"{folder}: a value that is none: {error}")


def look_into(folder: Path) -> Result[Stored, str]:
    """What a gateway that is stopped would start with; nothing is written. An empty folder is an error."""
    place = folder / "state"
    if not (place / "data.mdb").is_file():
        return Error(f"{folder}: no state is kept there")
    try:
        environment = lmdb.open(str(place), readonly=True, lock=False, max_dbs=0)
    except (lmdb.Error, OSError) as error:
        return Error(f"{folder}: {error}")
    with environment:
        read = read_values(environment, folder)
        if read.is_ok() and not read.ok:
            return Error(f"{folder}: no state is kept there")
        return read.bind(lambda found: stored_of(found, folder))


class Store:
    """One folder. Reads at the start; later saves come one by one, each answered once it is on disk."""

    def __init__(self, folder: Path, disk_mb: float) -> None:
        """`disk_mb`: the size of the whole disk. lmdb.Error, OSError where it can't be opened."""
        self.folder = folder
        self.map_size = int(min(max(disk_mb * MOST_PART * (1 << 20), LEAST_MAP), MOST_MAP))
        folder.mkdir(parents=True, exist_ok=True)
        self.environment = self.open(create=True)
        self.unusable = False  # the environment refuses all writes, whatever the disk does
        self.waiting: queue.Queue[Save | None] = queue.Queue(MOST_WAITING)
        self.loop: asyncio.AbstractEventLoop | None = None
        self.thread: threading.Thread | None = None
        self.done: Callable[[Save, bool], None] = lambda save, good: save.then(good)
        self.failing = False

    def open(self, create: bool) -> lmdb.Environment:
        """The folder's environment, opened; `create`: made where there is none."""
        place = str(self.folder / "state")
        return lmdb.open(place, map_size=self.map_size, lock=False, max_dbs=0, create=create)

    def write(self, values: dict[str, bytes]) -> None:
        """All of them or none; on disk once it returns. lmdb.Error, OSError where the disk refuses."""
        if self.unusable:
            self.reopen()
        try:
            self.put(values)
        except lmdb.PanicError:
            self.reopen()
            self.put(values)

    def put(self, values: dict[str, bytes]) -> None:
        """One transaction with these values."""
        with self.environment.begin(write=True) as transaction:
            for name, value in values.items():
                transaction.put(name.encode(), framed(value))

    def reopen(self) -> None:
        """Opens the environment anew after a write that lmdb can't go on from."""
        self.unusable = True
        self.environment.close()
        self.environment = self.open(create=False)
        self.unusable = False

    def begin(self, fresh: Callable[[], str], vote: Vote | None = None) -> Result[Stored, str]:
        """What the disk remembers; an empty one is named, with a nonce, before anything rests on it.

        `vote`: written with the name, where this is a seed at the very first start of the system.
        """
        read = read_values(self.environment, self.folder)
        if read.is_error() or read.ok:
            return read.bind(lambda found: stored_of(found, self.folder))
        found = {"format": FORMAT, "store": fresh().encode()}
        if vote is not None:
            found[VOTE_KEY] = msgspec.json.encode(vote)
        try:
            self.write(found)
        except (lmdb.Error, OSError) as error:
            return Error(f"{self.folder}: {error}")
        return stored_of(found, self.folder)

    def start(self, done: Callable[[Save, bool], None]) -> None:
        """From now on saves may be asked for; `done` hears of each in the loop's own thread."""
        self.loop, self.done = asyncio.get_running_loop(), done
        self.thread = threading.Thread(target=self.run, name="store", daemon=True)
        self.thread.start()

    def save(self, save: Save) -> None:
        """Has it written after those that wait; it has failed at once where too many do."""
        try:
            self.waiting.put_nowait(save)
        except queue.Full:
            self.done(save, False)

    def run(self) -> None:
        """The thread that writes, until it is told to end."""
        while (save := self.waiting.get()) is not None:
            good, why = True, ""
            try:
                self.write({save.name: save.data, **save.also})
            except (lmdb.Error, OSError) as error:
                good, why = False, str(error)
            if good == self.failing:
                self.failing = not good
                log.warning("disk %s", f"refuses to write: {why}" if self.failing else "writes again")
            assert self.loop is not None
            try:
                self.loop.call_soon_threadsafe(self.done, save, good)
            except RuntimeError:
                return  # the loop is closed: nobody waits any more

    def close(self) -> None:
        """Ends the thread without waiting for a disk that hangs."""
        try:
            self.waiting.put_nowait(None)
        except queue.Full:
            pass
