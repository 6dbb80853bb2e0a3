"""The simulated disk: torn writes, ignored syncs, a full and a failing disk."""

from __future__ import annotations

import errno
import random
import zlib

import pytest

from embersill.world.disk import SECTOR_BYTES, Disk

RECORD_BYTES = 700  # a record always spans two sectors


class Log:
    """A minimal crash-safe log: records with a checksum, read up to the first incomplete one."""

    def __init__(self, disk: Disk, verifies: bool = True) -> None:
        self.disk, self.verifies = disk, verifies
        if "log" not in disk.files:
            disk.create("log")
            disk.fsync("log")
            disk.fsync_folder()

    def append(self, number: int, sync: bool = True) -> None:
        body = number.to_bytes(4, "big") * (RECORD_BYTES // 4 - 1)
        self.disk.append("log", zlib.crc32(body).to_bytes(4, "big") + body)
        if sync:
            self.disk.fsync("log")

    def read(self) -> list[int]:
        data, found = self.disk.read("log"), list[int]()
        for at in range(0, len(data), RECORD_BYTES):
            checksum, body = data[at : at + 4], data[at + 4 : at + RECORD_BYTES]
            intact = len(body) == RECORD_BYTES - 4 and zlib.crc32(body) == int.from_bytes(checksum, "big")
            if self.verifies and not intact:
                break
            found.append(int.from_bytes(body[:4], "big"))
        return found


def crash_while_writing(
    seed: int, ignores_fsync: bool = False, verifies: bool = True
) -> tuple[list[int], int, Disk]:
    """Returns the records read after a crash, and how many records were synced before it."""
    chance = random.Random(seed)
    disk = Disk(chance)
    log = Log(disk, verifies)
    synced = 0
    for number in range(1, 6):
        disk.ignores_fsync = ignores_fsync and number > 3
        sync = chance.random() < 0.5
        log.append(number, sync)
        synced = number if sync else synced
    disk.crash()
    return log.read(), synced, disk


def test_synced_records_survive_a_crash_and_unwritten_ones_are_never_read() -> None:
    torn = 0
    for seed in range(2000):
        read, synced, disk = crash_while_writing(seed)
        assert read == list(range(1, len(read) + 1)) and len(read) >= synced
        torn += disk.counts["torn"]
    assert torn > 100


def test_a_reader_without_checksums_returns_torn_records() -> None:
    assert any(
        crash_while_writing(seed, verifies=False)[0]
        != list(range(1, len(crash_while_writing(seed, verifies=False)[0]) + 1))
        for seed in range(200)
    )


def test_an_ignored_sync_loses_records() -> None:
    lost = [
        seed
        for seed in range(500)
        if len(crash_while_writing(seed, ignores_fsync=True)[0])
        < crash_while_writing(seed, ignores_fsync=True)[1]
    ]
    assert lost
    for seed in range(500):
        read, _, _ = crash_while_writing(seed, ignores_fsync=True)
        assert read == list(range(1, len(read) + 1))  # the records that are read are still correct


def test_a_rename_is_durable_only_after_its_directory_is_synced() -> None:
    survived = {True: 0, False: 0}
    for seed in range(200):
        for synced in survived:
            disk = Disk(random.Random(seed))
            disk.create("old")
            disk.append("old", b"old")
            disk.fsync("old")
            disk.fsync_folder()
            disk.create("new")
            disk.append("new", b"new")
            disk.fsync("new")
            disk.rename("new", "old")
            if synced:
                disk.fsync_folder()
            disk.crash()
            assert disk.read("old") in (b"old", b"new")  # a rename is atomic
            survived[synced] += disk.read("old") == b"new"
    assert survived[True] == 200 and 0 < survived[False] < 200


def test_a_full_disk_writes_what_fits_and_raises() -> None:
    disk = Disk(random.Random(1), capacity=SECTOR_BYTES)
    disk.create("f")
    disk.append("f", b"x" * 500)
    with pytest.raises(OSError) as error:
        disk.append("f", b"y" * 500)
    assert error.value.errno == errno.ENOSPC
    assert disk.read("f") == b"x" * 500 + b"y" * 12
    disk.write("f", 0, b"z" * 100)  # overwriting still works
    disk.remove("f")
    with pytest.raises(FileNotFoundError):
        disk.read("f")


def test_a_failing_disk_fails_writes_and_syncs() -> None:
    disk = Disk(random.Random(1))
    disk.create("f")
    disk.error = OSError(errno.EIO, "I/O error")
    with pytest.raises(OSError):
        disk.append("f", b"x")
    with pytest.raises(OSError):
        disk.fsync("f")
    with pytest.raises(OSError):
        disk.fsync_folder()
    disk.error = None
    disk.append("f", b"abc")
    disk.truncate("f", 1)
    assert disk.read("f") == b"a" and disk.list_names() == ["f"]
