"""Crashes of the disk: torn writes, syncs that lied, a full disk, for code that keeps state."""

from __future__ import annotations

import errno
import random
import zlib

import pytest

from embersill.world.disk import SECTOR, Disk

SIZE = 700  # bytes of a record: it always stands on two sectors


class Log:
    """The least that survives a crash: records with a checksum, read up to the first that is not whole."""

    def __init__(self, disk: Disk, checks: bool = True) -> None:
        self.disk, self.checks = disk, checks
        if "log" not in disk.names:
            disk.create("log")
            disk.fsync("log")
            disk.fsync_folder()

    def append(self, number: int, sync: bool = True) -> None:
        body = number.to_bytes(4, "big") * (SIZE // 4 - 1)
        self.disk.append("log", zlib.crc32(body).to_bytes(4, "big") + body)
        if sync:
            self.disk.fsync("log")

    def read(self) -> list[int]:
        data, found = self.disk.read("log"), list[int]()
        for at in range(0, len(data), SIZE):
            check, body = data[at : at + 4], data[at + 4 : at + SIZE]
            whole = len(body) == SIZE - 4 and zlib.crc32(body) == int.from_bytes(check, "big")
            if self.checks and not whole:
                break
            found.append(int.from_bytes(body[:4], "big"))
        return found


def crashed(seed: int, lies: bool = False, checks: bool = True) -> tuple[list[int], int, Disk]:
    """What is read after a crash in the middle of things, and how many records were synced by then."""
    chance = random.Random(seed)
    disk = Disk(chance)
    log = Log(disk, checks)
    synced = 0
    for number in range(1, 6):
        disk.lies = lies and number > 3
        sync = chance.random() < 0.5
        log.append(number, sync)
        synced = number if sync else synced
    disk.crash()
    return log.read(), synced, disk


def test_what_was_synced_survives_and_nothing_is_read_that_was_not_written() -> None:
    torn = 0
    for seed in range(2000):
        read, synced, disk = crashed(seed)
        assert read == list(range(1, len(read) + 1)) and len(read) >= synced
        torn += disk.counts["torn"]
    assert torn > 100


def test_a_reader_without_checksums_is_caught_by_a_torn_write() -> None:
    assert any(
        crashed(seed, checks=False)[0] != list(range(1, len(crashed(seed, checks=False)[0]) + 1))
        for seed in range(200)
    )


def test_a_sync_that_lied_loses_what_it_promised() -> None:
    lost = [seed for seed in range(500) if len(crashed(seed, lies=True)[0]) < crashed(seed, lies=True)[1]]
    assert lost
    for seed in range(500):
        read, _, _ = crashed(seed, lies=True)
        assert read == list(range(1, len(read) + 1))  # what is read is still true


def test_a_name_is_safe_only_once_its_folder_is_synced() -> None:
    kept = {True: 0, False: 0}
    for seed in range(200):
        for synced in kept:
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
            assert disk.read("old") in (b"old", b"new")  # a rename is whole
            kept[synced] += disk.read("old") == b"new"
    assert kept[True] == 200 and 0 < kept[False] < 200


def test_a_full_disk_writes_what_fits_and_says_so() -> None:
    disk = Disk(random.Random(1), capacity=SECTOR)
    disk.create("f")
    disk.append("f", b"x" * 500)
    with pytest.raises(OSError) as error:
        disk.append("f", b"y" * 500)
    assert error.value.errno == errno.ENOSPC
    assert disk.read("f") == b"x" * 500 + b"y" * 12
    disk.write("f", 0, b"z" * 100)  # over what is there it still can
    disk.remove("f")
    with pytest.raises(FileNotFoundError):
        disk.read("f")


def test_a_failing_disk_fails_writes_and_syncs() -> None:
    disk = Disk(random.Random(1))
    disk.create("f")
    disk.fails = OSError(errno.EIO, "it is broken")
    with pytest.raises(OSError):
        disk.append("f", b"x")
    with pytest.raises(OSError):
        disk.fsync("f")
    with pytest.raises(OSError):
        disk.fsync_folder()
    disk.fails = None
    disk.append("f", b"abc")
    disk.truncate("f", 1)
    assert disk.read("f") == b"a" and disk.names_now() == ["f"]
