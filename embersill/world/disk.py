"""A simulated disk with realistic crashes, for testing code that persists state. No I/O.

It guarantees what a POSIX file system does and no more (Pillai et al. 2014, "All File Systems Are Not Created
Equal"):

- `write` is visible to readers at once; after a crash any subset of the sectors written since the last
  `fsync` may be present, the others have their previous content, and a file that grew may be shorter or
  contain zeros where nothing was written. One sector may be torn: its first bytes new, the rest old.
- `fsync` makes a file's content durable, unless the disk ignores it (`ignores_fsync`).
- a directory entry, created or renamed, is durable once its directory is synced (`fsync_folder`); before
  that a crash may undo it. `rename` is atomic: after a crash the name refers to the old file or the new one.
- a full disk writes what fits and raises OSError(ENOSPC).
"""

from __future__ import annotations

import errno
import random

SECTOR_BYTES = 512  # written atomically, except for the one sector that a crash can tear


class StoredFile:
    """One file: its content as readers see it, and as it is durable on the medium."""

    def __init__(self) -> None:
        self.content = bytearray()
        self.durable = b""
        self.dirty: set[int] = set()  # sectors written since the last sync


class Disk:
    """The files of one machine, in a single directory.

    `crash` leaves the state that the process finds after a restart. `capacity`: limit in bytes over all
    files; None is unlimited.
    """

    def __init__(self, chance: random.Random, capacity: int | None = None) -> None:
        self.chance, self.capacity = chance, capacity
        self.ignores_fsync = False  # fsync reports success without effect
        self.error: OSError | None = None  # raised by writes and syncs while it is set: a failing disk
        self.files: dict[str, StoredFile] = {}  # by name
        self.durable_files: dict[str, StoredFile] = {}  # the directory as it is durable on the medium
        self.counts = {"writes": 0, "bytes": 0, "syncs": 0, "crashes": 0, "torn": 0}

    def used_bytes(self) -> int:
        """Returns the total size of all files."""
        return sum(len(file.content) for file in self.files.values())

    def list_names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(self.files)

    def create(self, name: str) -> None:
        """Creates an empty file, replacing one of the same name."""
        self.files[name] = StoredFile()

    def read(self, name: str) -> bytes:
        """Returns a file's content; raises FileNotFoundError if there is no such file."""
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return bytes(self.files[name].content)

    def write(self, name: str, at: int, data: bytes) -> None:
        """Writes at an offset; a full disk writes what fits and raises OSError(ENOSPC)."""
        if self.error is not None:
            raise self.error
        file = self.files[name]
        growth = max(0, at + len(data) - len(file.content))
        free = growth if self.capacity is None else max(0, self.capacity - self.used_bytes())
        written = data[: len(data) - growth + min(growth, free)]
        if len(file.content) < at:
            file.content.extend(bytes(at - len(file.content)))
        file.content[at : at + len(written)] = written
        if written:
            file.dirty.update(range(at // SECTOR_BYTES, (at + len(written) - 1) // SECTOR_BYTES + 1))
        self.counts["writes"] += 1
        self.counts["bytes"] += len(written)
        if len(written) < len(data):
            raise OSError(errno.ENOSPC, "no space left on the disk", name)

    def append(self, name: str, data: bytes) -> None:
        """Writes at the end of a file."""
        self.write(name, len(self.files[name].content), data)

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to `size` bytes."""
        file = self.files[name]
        old_size = len(file.content)
        del file.content[size:]
        file.dirty.update(range(size // SECTOR_BYTES, old_size // SECTOR_BYTES + 1))

    def fsync(self, name: str) -> None:
        """Makes a file's content durable."""
        if self.error is not None:
            raise self.error
        self.counts["syncs"] += 1
        if not self.ignores_fsync:
            file = self.files[name]
            file.durable = bytes(file.content)
            file.dirty.clear()

    def fsync_folder(self) -> None:
        """Makes creations, renames and removals durable."""
        if self.error is not None:
            raise self.error
        self.counts["syncs"] += 1
        if not self.ignores_fsync:
            self.durable_files = dict(self.files)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing one of the new name."""
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        """Removes a file."""
        del self.files[name]

    def crash(self) -> None:
        """Crashes the machine: unsynced names and sectors persist or not at random; one may be torn."""
        self.counts["crashes"] += 1
        chance = self.chance
        surviving = dict(self.durable_files)
        for name in sorted(set(self.files) | set(self.durable_files)):
            if self.files.get(name) is not self.durable_files.get(name) and chance.random() < 0.5:
                if name in self.files:
                    surviving[name] = self.files[name]
                else:
                    surviving.pop(name)
        for file in {id(f): f for _, f in sorted(surviving.items())}.values():
            self.crash_file(file)
        self.files, self.durable_files = surviving, dict(surviving)

    def crash_file(self, file: StoredFile) -> None:
        """Draws which of a file's unsynced sectors reached the medium."""
        chance = self.chance
        dirty = sorted(file.dirty)
        persisted = [sector for sector in dirty if chance.random() < 0.5]
        torn = chance.choice(dirty) if dirty and chance.random() < 0.5 else -1
        # the size is metadata: the old one, the new one, or one in between
        sizes = [len(file.durable), len(file.content)]
        size = chance.choice((*sizes, chance.randint(min(sizes), max(sizes))))
        medium = bytearray(file.durable.ljust(size, b"\0")[:size])
        for sector in {*persisted, torn} - {-1}:
            begin, end = sector * SECTOR_BYTES, min((sector + 1) * SECTOR_BYTES, len(file.content), size)
            if sector == torn and end > begin:
                self.counts["torn"] += 1
                end = begin + chance.randint(0, end - begin)
            if end > begin:
                medium[begin:end] = file.content[begin:end]
        file.content, file.durable = medium, bytes(medium)
        file.dirty.clear()
