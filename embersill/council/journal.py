"""A journal on disk: records that survive crashes, in one file that is written anew when it has grown.

A frame is what is written between two syncs: a magic word, its length and its CRC-32, four bytes each,
big-endian, and so many bytes, an array of records. The first frame of a file says whose it is and on which
file it was written (`Place`): a copy, or a backup that was put back, has another, and its memory counts as
lost, since whoever it was copied from may have promised more since.

A crash may leave any part of the one frame that was not synced yet, and it had not been answered for: what
is broken and has no good frame behind it is cut off. A broken frame with a good one behind it had been
synced, so the medium has lost what it had: the memory can't be believed (`Damaged`). (Pillai and others
2014, "All File Systems Are Not Created Equal"; Alagappan and others 2018, "Protocol-Aware Recovery for
Consensus-Based Storage".) That the last synced frame is lost can't be seen from the file: the other members'
marks tell it.
"""

from __future__ import annotations

import os
import zlib
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

import msgspec

MAGIC = b"\x93EJ1"
HEAD = 12
MOST_FRAME = 16 << 20  # bytes
GROWN = 4  # times what is kept that a file may take
LEAST_GROWN = 1 << 20  # bytes, below which it is left to grow


class Damaged(Exception):
    """What stands in the file can't be believed: what, and where."""


class Place(msgspec.Struct, frozen=True):
    """What a journal's first record says."""

    kind: str
    owner: str
    file: str  # names the file it was written to: a copy is another


class Files(Protocol):
    """One folder. OSError as the system raises it."""

    def read(self, name: str) -> bytes | None: ...

    def create(self, name: str) -> None: ...

    def identity(self, name: str) -> str: ...

    def append(self, name: str, data: bytes) -> None: ...

    def cut(self, name: str, size: int) -> None: ...

    def sync(self, name: str) -> None: ...

    def rename(self, old: str, new: str) -> None: ...


class Folder:
    """A folder of the machine's own."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.open: dict[str, int] = {}

    def handle(self, name: str) -> int:
        if name not in self.open:
            self.open[name] = os.open(self.path / name, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        return self.open[name]

    def read(self, name: str) -> bytes | None:
        try:
            return (self.path / name).read_bytes()
        except FileNotFoundError:
            return None

    def create(self, name: str) -> None:
        self.close(name)
        flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        self.open[name] = os.open(self.path / name, flags, 0o600)

    def identity(self, name: str) -> str:
        """Device and inode, on this machine."""
        found = os.fstat(self.handle(name))
        return f"{os.uname().nodename}/{found.st_dev}/{found.st_ino}"

    def append(self, name: str, data: bytes) -> None:
        written, handle = 0, self.handle(name)
        while written < len(data):
            written += os.write(handle, data[written:])

    def cut(self, name: str, size: int) -> None:
        os.ftruncate(self.handle(name), size)

    def sync(self, name: str) -> None:
        os.fdatasync(self.handle(name))

    def rename(self, old: str, new: str) -> None:
        self.close(new)
        os.replace(self.path / old, self.path / new)
        if old in self.open:
            self.open[new] = self.open.pop(old)
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self, name: str) -> None:
        handle = self.open.pop(name, None)
        if handle is not None:
            os.close(handle)

    def close_all(self) -> None:
        for name in list(self.open):
            self.close(name)


def sealed(records: Iterable[bytes]) -> bytes:
    body = msgspec.msgpack.encode(list(records))
    return MAGIC + len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body


def frame_at(content: bytes, at: int) -> tuple[list[bytes], int] | None:
    """The frame that begins there and where it ends; None for anything that is not a whole and good one."""
    head = content[at:at + HEAD]
    if len(head) < HEAD or head[:4] != MAGIC:
        return None
    size = int.from_bytes(head[4:8], "big")
    body = content[at + HEAD:at + HEAD + size]
    if not 0 < size <= MOST_FRAME or len(body) < size or zlib.crc32(body) != int.from_bytes(head[8:], "big"):
        return None
    try:
        return msgspec.msgpack.decode(body, type=list[bytes]), at + HEAD + size
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def records_of(content: bytes, prefix: bool = False) -> tuple[list[list[bytes]], int]:
    """The frames of a file, and how many bytes of it they are; Damaged where it is not only cut off."""
    found: list[list[bytes]] = []
    at = 0
    while (frame := frame_at(content, at)) is not None:
        found.append(frame[0])
        at = frame[1]
    behind = at
    while not prefix and (behind := content.find(MAGIC, behind + 1)) >= 0:
        if frame_at(content, behind) is not None:
            raise Damaged(f"it is broken at byte {at}, and goes on at {behind}")
    return found, at


class Journal:
    """The records of one owner in one file. `open` first; what is written counts once it is synced."""

    def __init__(self, files: Files, name: str, kind: str, owner: str) -> None:
        self.files, self.name, self.kind, self.owner = files, name, kind, owner
        self.size = self.kept = 0

    def open(self, prefix: bool = False) -> list[bytes] | None:
        """The records that are there; None for a new file, Damaged for one that can't be believed.

        After either, `rewrite` has to come first. `prefix`: frames were written without a sync each, so one
        that is broken may have good ones behind it, and what stands before it is all there is.
        """
        content = self.files.read(self.name)
        if content is None:
            return None
        frames, whole = records_of(content, prefix)
        if not frames:
            if any(content[HEAD:]):
                raise Damaged("it has no first frame")
            return None  # created, and the machine stopped before anything was in it
        try:
            place: Place = msgspec.msgpack.decode(frames[0][0], type=Place)
        except (msgspec.DecodeError, msgspec.ValidationError, IndexError) as error:
            raise Damaged(f"its first record: {error}") from error
        if (place.kind, place.owner) != (self.kind, self.owner):
            raise Damaged(f"it is the {place.kind} of {place.owner!r}")
        if place.file != self.files.identity(self.name):
            raise Damaged("it is a copy: the one that it was made from may have gone on")
        if whole < len(content):
            self.files.cut(self.name, whole)
            self.files.sync(self.name)
        self.size = self.kept = whole
        return [record for frame in frames for record in frame][1:]

    def rewrite(self, records: Iterable[bytes]) -> None:
        """These and no others stand in the file from now on; a crash leaves the old ones or the new ones."""
        fresh = f"{self.name}.new"
        self.files.create(fresh)
        place = Place(self.kind, self.owner, self.files.identity(fresh))
        content = sealed((msgspec.msgpack.encode(place), *records))
        self.files.append(fresh, content)
        self.files.sync(fresh)
        self.files.rename(fresh, self.name)
        self.size = self.kept = len(content)

    def write(self, records: Iterable[bytes], sync: bool = True) -> None:
        """Appends one frame. With `sync` it is safe once this returns, and may be answered for."""
        data = sealed(records)
        self.files.append(self.name, data)
        self.size += len(data)
        if sync:
            self.sync()

    def sync(self) -> None:
        """All that was written is safe once this returns."""
        self.files.sync(self.name)

    @property
    def grown(self) -> bool:
        """It is time to rewrite it with what still matters."""
        return self.size > max(GROWN * self.kept, LEAST_GROWN)
