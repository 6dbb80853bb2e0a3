"""A journal on disk: records that survive crashes, in one file that is rewritten when it has grown too large.

A frame holds the records written between two syncs: a magic word, the body's length and its CRC-32, four
bytes each, big-endian, and the body, an array of records. The first frame of a file names its owner and
the file it was written to (`JournalHeader`). A copy, or a restored backup, is another file, and its state
counts as lost, since the original's owner may have made further promises.

A crash may leave any part of the one frame that was not synced yet, and no answer depended on that frame: a
broken frame without a valid one behind it is cut off. A broken frame with a valid one behind it had been
synced, so the medium has lost data and the journal cannot be trusted (`Damaged`). (Pillai and others 2014,
"All File Systems Are Not Created Equal"; Alagappan and others 2018, "Protocol-Aware Recovery for
Consensus-Based Storage".) The loss of the last synced frame cannot be detected from the file; the other
members' marks reveal it.
"""

from __future__ import annotations

import os
import zlib
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

import msgspec

MAGIC = b"\x93EJ1"
HEADER_BYTES = 12
MAX_FRAME_BYTES = 16 << 20
COMPACTION_RATIO = 4  # size at which the file is rewritten, in multiples of its size after the last rewrite
MIN_COMPACTION_BYTES = 1 << 20  # a smaller file is not rewritten


class Damaged(Exception):
    """The file's content cannot be trusted; says why, and where."""


class JournalHeader(msgspec.Struct, frozen=True):
    """A journal's first record."""

    kind: str
    owner: str
    file: str  # identifies the file it was written to; a copy is another file


class Files(Protocol):
    """The files of one folder. OSError as the system raises it."""

    def read(self, name: str) -> bytes | None:
        """A file's content; None if there is no such file."""
        ...

    def create(self, name: str) -> None:
        """Creates an empty file, in place of one of that name."""
        ...

    def identity(self, name: str) -> str:
        """Identifies a file, independently of its name and content."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, without a sync."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file off at `size` bytes."""
        ...

    def sync(self, name: str) -> None:
        """Returns once a file's content is on disk."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames a file, and returns once that is on disk."""
        ...


class Folder:
    """A folder of the local file system."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.descriptors: dict[str, int] = {}

    def descriptor(self, name: str) -> int:
        """The descriptor of a file, which is opened if it is not open."""
        if name not in self.descriptors:
            self.descriptors[name] = os.open(self.path / name, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        return self.descriptors[name]

    def read(self, name: str) -> bytes | None:
        """A file's content; None if there is no such file."""
        try:
            return (self.path / name).read_bytes()
        except FileNotFoundError:
            return None

    def create(self, name: str) -> None:
        """Creates an empty file, in place of one of that name."""
        self.close(name)
        flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        self.descriptors[name] = os.open(self.path / name, flags, 0o600)

    def identity(self, name: str) -> str:
        """Host, device and inode."""
        found = os.fstat(self.descriptor(name))
        return f"{os.uname().nodename}/{found.st_dev}/{found.st_ino}"

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, without a sync."""
        written, descriptor = 0, self.descriptor(name)
        while written < len(data):
            written += os.write(descriptor, data[written:])

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file off at `size` bytes."""
        os.ftruncate(self.descriptor(name), size)

    def sync(self, name: str) -> None:
        """Returns once a file's content is on disk."""
        os.fdatasync(self.descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Renames a file, and returns once that is on disk."""
        self.close(new)
        os.replace(self.path / old, self.path / new)
        if old in self.descriptors:
            self.descriptors[new] = self.descriptors.pop(old)
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self, name: str) -> None:
        """Closes a file if it is open."""
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def close_all(self) -> None:
        """Closes all open files."""
        for name in list(self.descriptors):
            self.close(name)


def make_frame(records: Iterable[bytes]) -> bytes:
    """Encodes records as a frame."""
    body = msgspec.msgpack.encode(list(records))
    return MAGIC + len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body


def read_frame(content: bytes, at: int) -> tuple[list[bytes], int] | None:
    """The records of the frame at `at`, and where it ends; None unless it is complete and valid."""
    header = content[at : at + HEADER_BYTES]
    if len(header) < HEADER_BYTES or header[:4] != MAGIC:
        return None
    size = int.from_bytes(header[4:8], "big")
    body = content[at + HEADER_BYTES : at + HEADER_BYTES + size]
    if (
        not 0 < size <= MAX_FRAME_BYTES
        or len(body) < size
        or zlib.crc32(body) != int.from_bytes(header[8:], "big")
    ):
        return None
    try:
        return msgspec.msgpack.decode(body, type=list[bytes]), at + HEADER_BYTES + size
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def read_frames(content: bytes, prefix: bool = False) -> tuple[list[list[bytes]], int]:
    """The frames of a file, and their total size; Damaged if a valid frame follows a broken one.

    `prefix`: that is not checked, and only the frames before the first broken one count.
    """
    found: list[list[bytes]] = []
    at = 0
    while (frame := read_frame(content, at)) is not None:
        found.append(frame[0])
        at = frame[1]
    behind = at
    while not prefix and (behind := content.find(MAGIC, behind + 1)) >= 0:
        if read_frame(content, behind) is not None:
            raise Damaged(f"broken at byte {at}, with a valid frame at byte {behind}")
    return found, at


class Journal:
    """The records of one owner in one file. Call `open` first; records are durable once they are synced."""

    def __init__(self, files: Files, name: str, kind: str, owner: str) -> None:
        self.files, self.name, self.kind, self.owner = files, name, kind, owner
        self.size = self.compacted_size = 0

    def open(self, prefix: bool = False) -> list[bytes] | None:
        """The stored records; None for a new file, Damaged for one that cannot be trusted.

        After either of these, `rewrite` must come first. `prefix`: frames were written without a sync each,
        so a broken one may precede valid ones, and only the records before it count.
        """
        content = self.files.read(self.name)
        if content is None:
            return None
        frames, whole = read_frames(content, prefix)
        if not frames:
            if any(content[HEADER_BYTES:]):
                raise Damaged("it has no first frame")
            return None  # the machine stopped between the file's creation and the first write
        try:
            header: JournalHeader = msgspec.msgpack.decode(frames[0][0], type=JournalHeader)
        except (msgspec.DecodeError, msgspec.ValidationError, IndexError) as error:
            raise Damaged(f"its first record: {error}") from error
        if (header.kind, header.owner) != (self.kind, self.owner):
            raise Damaged(f"it is the {header.kind} of {header.owner!r}")
        if header.file != self.files.identity(self.name):
            raise Damaged("it is a copy: the original may have been written to since")
        if whole < len(content):
            self.files.truncate(self.name, whole)
            self.files.sync(self.name)
        self.size = self.compacted_size = whole
        return [record for frame in frames for record in frame][1:]

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replaces all records by these; after a crash the file has either the old ones or the new ones."""
        new_name = f"{self.name}.new"
        self.files.create(new_name)
        header = JournalHeader(self.kind, self.owner, self.files.identity(new_name))
        content = make_frame((msgspec.msgpack.encode(header), *records))
        self.files.append(new_name, content)
        self.files.sync(new_name)
        self.files.rename(new_name, self.name)
        self.size = self.compacted_size = len(content)

    def write(self, records: Iterable[bytes], sync: bool = True) -> None:
        """Appends one frame; with `sync` it is durable once this returns."""
        data = make_frame(records)
        self.files.append(self.name, data)
        self.size += len(data)
        if sync:
            self.sync()

    def sync(self) -> None:
        """Everything written is durable once this returns."""
        self.files.sync(self.name)

    @property
    def needs_compaction(self) -> bool:
        """Whether the file should be rewritten with only what still matters."""
        return self.size > max(COMPACTION_RATIO * self.compacted_size, MIN_COMPACTION_BYTES)
