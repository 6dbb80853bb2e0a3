"""A gateway's own state on disk: a few named values in an lmdb folder, written by a background thread.

Each value carries a checksum. lmdb copies a page on write and syncs it before the page that refers to it, so
that a power loss leaves either the old value or the new one (called shadow paging at SIGMOD; Chu 2011,
"MDB").

If the meta page could not be written, as on a disk that filled up in between, lmdb refuses all later writes
of that environment. The environment is then reopened: otherwise this member would store nothing until its
process ends, even long after the disk has recovered.
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
from embersill.edge.peers.directory_exchange import DIRECTORY_KEY
from embersill.edge.records import DirectorySnapshot, EpochStart, RegisterSnapshot, Save, Stored, Vote
from embersill.edge.configuration.document import State

FORMAT = b"embersill-1"
MAX_DISK_SHARE = 0.75  # share of the disk that the map may take
MIN_MAP_BYTES = 4 << 20
MAX_MAP_BYTES = 1 << 30
MAX_WAITING_SAVES = 1000  # saves in the queue

log = logging.getLogger("embersill.edge")


def framed(data: bytes) -> bytes:
    """The value as stored, prefixed with its checksum."""
    return zlib.crc32(data).to_bytes(4, "big") + data


def unframed(data: bytes) -> bytes | None:
    """The value without its checksum; None if the checksum does not match."""
    return data[4:] if len(data) >= 4 and zlib.crc32(data[4:]).to_bytes(4, "big") == data[:4] else None


def read_values(environment: lmdb.Environment, folder: Path) -> Result[dict[str, bytes], str]:
    """All values of a folder by name (none if it is empty), or an error message."""
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
    """Decodes the stored values, or returns an error message."""
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
                msgspec.msgpack.decode(found[DIRECTORY_KEY], type=DirectorySnapshot)
                if DIRECTORY_KEY in found
                else None,
            )
        )
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        return Error(f"{folder}: invalid value: {error}")


def read_stored(folder: Path) -> Result[Stored, str]:
    """Reads a stopped gateway's state without writing anything. An empty folder is an error."""
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
    """One folder: read at startup, then written one save at a time; each save is reported once on disk."""

    def __init__(self, folder: Path, disk_mb: float) -> None:
        """`disk_mb`: the size of the whole disk. Raises lmdb.Error or OSError if it can't be opened."""
        self.folder = folder
        self.map_size = int(min(max(disk_mb * MAX_DISK_SHARE * (1 << 20), MIN_MAP_BYTES), MAX_MAP_BYTES))
        folder.mkdir(parents=True, exist_ok=True)
        self.environment = self.open(create=True)
        self.unusable = False  # lmdb refuses all further writes in this environment
        self.waiting: queue.Queue[Save | None] = queue.Queue(MAX_WAITING_SAVES)
        self.loop: asyncio.AbstractEventLoop | None = None
        self.thread: threading.Thread | None = None
        self.done: Callable[[Save, bool], None] = lambda save, ok: save.then(ok)
        self.failing = False

    def open(self, create: bool) -> lmdb.Environment:
        """Opens the folder's environment; `create`: creates it if it does not exist."""
        place = str(self.folder / "state")
        return lmdb.open(place, map_size=self.map_size, lock=False, max_dbs=0, create=create)

    def write(self, values: dict[str, bytes]) -> None:
        """Writes the values atomically and durably; raises lmdb.Error or OSError if the write fails."""
        if self.unusable:
            self.reopen()
        try:
            self.put(values)
        except lmdb.PanicError:
            self.reopen()
            self.put(values)

    def put(self, values: dict[str, bytes]) -> None:
        """Writes the values in one transaction."""
        with self.environment.begin(write=True) as transaction:
            for name, value in values.items():
                transaction.put(name.encode(), framed(value))

    def reopen(self) -> None:
        """Reopens the environment after a failed write from which lmdb can't recover."""
        self.unusable = True
        self.environment.close()
        self.environment = self.open(create=False)
        self.unusable = False

    def begin(self, fresh: Callable[[], str], vote: Vote | None = None) -> Result[Stored, str]:
        """Reads the disk; an empty one first gets a nonce, `fresh()`, before anything depends on it.

        `vote`: written with the nonce, for a seed at the very first start of the system.
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
        """Starts the writer thread; `done` is called for each save in the event loop's thread."""
        self.loop, self.done = asyncio.get_running_loop(), done
        self.thread = threading.Thread(target=self.run, name="store", daemon=True)
        self.thread.start()

    def save(self, save: Save) -> None:
        """Queues a save; reports it as failed at once if the queue is full."""
        try:
            self.waiting.put_nowait(save)
        except queue.Full:
            self.done(save, False)

    def run(self) -> None:
        """Body of the writer thread; ends at a None in the queue."""
        while (save := self.waiting.get()) is not None:
            ok, error_text = True, ""
            try:
                self.write({save.name: save.data, **save.also})
            except (lmdb.Error, OSError) as error:
                ok, error_text = False, str(error)
            if ok == self.failing:
                self.failing = not ok
                log.warning("disk %s", f"refuses to write: {error_text}" if self.failing else "writes again")
            assert self.loop is not None
            try:
                self.loop.call_soon_threadsafe(self.done, save, ok)
            except RuntimeError:
                return  # the event loop is closed: nobody waits for the result

    def close(self) -> None:
        """Ends the writer thread without waiting for a hanging disk."""
        try:
            self.waiting.put_nowait(None)
        except queue.Full:
            pass
