"""The journal on disks that tear writes, lose unsynced data, or are copied."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from unittest.mock import patch

import pytest

from embersill.council.journal import MAGIC, Damaged, Folder, Journal
from embersill.lab.council.model import WorldFiles
from embersill.world.disk import Disk


def world_files(seed: int = 1, capacity: int | None = None) -> WorldFiles:
    numbers = iter(range(1, 1000))
    return WorldFiles(Disk(random.Random(seed), capacity), lambda: next(numbers))


def journal(files: WorldFiles, owner: str = "m0") -> Journal:
    return Journal(files, "j", "test", owner)


def test_written_records_are_read_back() -> None:
    files = world_files()
    first = journal(files)
    assert first.open() is None
    first.rewrite([b"a"])
    first.write([b"b", b"c"])
    assert journal(files).open() == [b"a", b"b", b"c"]


def test_a_new_file_in_a_real_folder(tmp_path: Path) -> None:
    folder = Folder(tmp_path / "state")
    first = Journal(folder, "j", "test", "m0")
    assert first.open() is None
    first.rewrite([])
    first.write([b"b"])
    folder.close_all()
    again = Journal(Folder(tmp_path / "state"), "j", "test", "m0")
    assert again.open() == [b"b"]
    again.rewrite([b"x"])
    again.write([b"y"])
    assert Journal(Folder(tmp_path / "state"), "j", "test", "m0").open() == [b"x", b"y"]


def test_a_copy_in_a_real_folder_is_not_trusted(tmp_path: Path) -> None:
    folder = Folder(tmp_path / "one")
    Journal(folder, "j", "test", "m0").rewrite([b"a"])
    (tmp_path / "two").mkdir()
    (tmp_path / "two" / "j").write_bytes((tmp_path / "one" / "j").read_bytes())
    with pytest.raises(Damaged, match="copy"):
        Journal(Folder(tmp_path / "two"), "j", "test", "m0").open()


def test_crashes_lose_no_synced_record_and_keep_their_order() -> None:
    torn = 0
    for seed in range(300):
        files, chance = world_files(seed), random.Random(f"j {seed}")
        stored = journal(files)
        stored.rewrite([])
        done: list[bytes] = []
        for n in range(chance.randint(1, 12)):
            record = bytes([n]) * chance.randint(1, 900)
            if chance.random() < 0.2:
                stored.rewrite([*done, record])
            else:
                stored.write([record])
            done.append(record)
        late = b"z" * chance.randint(1, 3000)
        files.append("j", b"".join([MAGIC, len(late).to_bytes(4, "big"), b"1234", late]))  # never synced
        files.disk.crash()
        assert journal(files).open() == done
        torn += files.disk.counts["torn"]
    assert torn > 30


def test_a_crash_during_a_rewrite_leaves_the_old_records_or_the_new() -> None:
    class Stops(Exception):
        pass

    found = set()
    for seed in range(60):
        files = world_files(seed)
        stored = journal(files)
        stored.rewrite([b"old"])
        steps = iter(range(seed % 4))

        def step(steps: Iterator[int] = steps) -> None:
            if next(steps, None) is None:
                raise Stops

        def stepped(call: Callable[..., None], step: Callable[[], None]) -> Callable[..., None]:
            def run(*args: object) -> None:
                step()
                call(*args)

            return run

        try:
            with ExitStack() as stack:
                for name in ("append", "sync", "rename"):
                    stack.enter_context(patch.object(files, name, stepped(getattr(files, name), step)))
                stored.rewrite([b"new"])
        except Stops:
            pass
        files.disk.crash()
        records = journal(files).open()
        assert records in ([b"old"], [b"new"])
        found.add(records[0])
    assert found == {b"old", b"new"}


def test_a_broken_frame_before_a_valid_one_is_damage() -> None:
    files = world_files()
    stored = journal(files)
    stored.rewrite([])
    stored.write([b"first" * 20])
    place = len(files.read("j") or b"") - 5
    stored.write([b"second"])
    files.disk.write("j", place, b"?")
    with pytest.raises(Damaged, match="broken at byte"):
        journal(files).open()
    assert journal(files).open(prefix=True) == []  # of frames without a sync each, it is a torn end


@pytest.mark.parametrize(
    ("content", "reason"),
    [(b"no journal at all, but some text", "no first frame"), (MAGIC + bytes(40) + b"x", "no first frame")],
)
def test_files_that_are_not_journals_are_refused(content: bytes, reason: str) -> None:
    files = world_files()
    files.create("j")
    files.append("j", content)
    with pytest.raises(Damaged, match=reason):
        journal(files).open()


def test_another_member_s_journal_is_refused() -> None:
    files = world_files()
    journal(files, "m1").rewrite([b"a"])
    with pytest.raises(Damaged, match="m1"):
        journal(files).open()


def test_an_empty_file_counts_as_a_new_journal() -> None:
    files = world_files()
    files.create("j")
    assert journal(files).open() is None


def test_a_full_disk_raises_and_leaves_the_old_content() -> None:
    files = world_files(capacity=4000)
    stored = journal(files)
    stored.rewrite([b"a" * 1000])
    with pytest.raises(OSError, match="space"):
        stored.rewrite([b"b" * 4000])
    assert journal(files).open() == [b"a" * 1000]


def test_a_grown_journal_needs_compaction() -> None:
    files = world_files()
    stored = journal(files)
    stored.rewrite([])
    while not stored.needs_compaction:
        stored.write([b"r" * 100_000])
    assert 1 << 20 < stored.size < (1 << 20) + 200_000
