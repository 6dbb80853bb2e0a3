"""A gateway's state on disk and its check commands: damaged, full, foreign-format and invalid storage."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import random
from pathlib import Path
from typing import Any

import lmdb
import msgspec
import pytest

from embersill.council.register import Register
from embersill.edge.__main__ import main
from embersill.edge.records import (
    DirectorySnapshot,
    EntrySnapshot,
    EpochStart,
    RegisterSnapshot,
    Roster,
    Save,
    Seat,
)
from embersill.edge.configuration.document import EMPTY, State
from embersill.edge.discovery.instances import Instance
from embersill.edge.program import prepare
from embersill.edge.storage.store import Store
from embersill.lab.edge.fleet import document

Output = pytest.CaptureFixture[str]


def stored_folder(folder: Path) -> Store:
    """A folder with the state that a core member stores."""
    store = Store(folder, 16)
    assert store.begin(lambda: "nonce").ok.store == "nonce"
    roster = Roster(3, {"n1": Seat("10.0.0.1", "nonce"), "n2": Seat("10.0.0.2", "other")})
    register = Register("n1", roster.members)
    register.load([])
    state: State = {"version": 26, "document": document(26), "taken": []}
    one = Instance("i-1", "s", "10.1.0.1:80", "a", 2, "ready", 7, 0.0)
    share = EntrySnapshot(1 / 14, 1 / 14, 1 / 14)
    directory = DirectorySnapshot(3, True, {f"n{number}": share for number in range(14)})
    store.write(
        {
            "begun": msgspec.json.encode(EpochStart(roster, EMPTY)),
            "state": msgspec.msgpack.encode(state),
            "remembered": msgspec.msgpack.encode(RegisterSnapshot(3, register.snapshot())),
            "backends": msgspec.msgpack.encode([one]),
            "gateways": b"11",  # as kept by versions without a directory
            "directory": msgspec.msgpack.encode(directory),
        }
    )
    return store


def test_a_whole_folder_is_read_and_named(tmp_path: Path, capsys: Output) -> None:
    stored_folder(tmp_path).environment.close()
    assert main(["store", "check", str(tmp_path)]) == 0
    assert json.loads(capsys.readouterr().out) == {
        "store": "nonce",
        "epoch": 3,
        "members": ["n1", "n2"],
        "remembers": True,
        "version": "0000001a",
        "backends": 1,
        "gateways": 14,
    }
    again = Store(tmp_path, 16).begin(lambda: "another").ok
    assert again.store == "nonce" and again.begun is not None
    assert again.state is not None and again.state["version"] == 26
    assert again.directory is not None and again.directory.complete and again.directory.epoch == 3
    assert again.directory.entries["n13"].claim == 1 / 14


@pytest.mark.parametrize(
    "value", ["begun", "remembered", "state", "backends", "directory", "format", "store"]
)
def test_what_is_damaged_is_named_and_never_believed(tmp_path: Path, capsys: Output, value: str) -> None:
    store = stored_folder(tmp_path)
    with store.environment.begin(write=True) as transaction:
        framed = bytearray(transaction.get(value.encode()) or b"")
        framed[random.Random(value).randrange(len(framed))] ^= 0x10
        transaction.put(value.encode(), bytes(framed))
    assert f"{value!r} is damaged" in store.begin(lambda: "another").error
    store.environment.close()
    assert main(["store", "check", str(tmp_path)]) == 1
    assert f"{value!r} is damaged" in capsys.readouterr().err


def test_what_is_whole_and_means_nothing_is_named_too(tmp_path: Path, capsys: Output) -> None:
    for value, data, why in (
        ("begun", b"{}", "invalid value"),
        ("gateways", b"many", "invalid value"),
        ("directory", b"\xc1", "invalid value"),
        ("backends", b"\xc1", "list of backends"),
        ("format", b"embersill-9", "another format"),
    ):
        folder = tmp_path / value
        store = stored_folder(folder)
        store.write({value: data})
        store.environment.close()
        assert main(["store", "check", str(folder)]) == 1
        assert why in capsys.readouterr().err


def test_a_folder_that_is_none_and_a_file_of_rubbish_are_errors(tmp_path: Path, capsys: Output) -> None:
    assert main(["store", "check", str(tmp_path / "nothing")]) == 1
    (tmp_path / "state").mkdir()
    (tmp_path / "state" / "data.mdb").write_bytes(b"rubbish" * 2000)
    assert main(["store", "check", str(tmp_path)]) == 1
    told = capsys.readouterr().err
    assert "no state is kept there" in told and told.count("embersill.edge: ") == 2


def settings_file(folder: Path, disk: Path | None, **more: Any) -> Path:
    path = folder / "local.json"
    path.write_text(
        json.dumps(
            {
                "node_name": "n1",
                "ip_address": "127.0.0.1",
                "zone": "a",
                "first_start": False,
                "listen_addresses": {"control_plane": "127.0.0.1:8000"},
                "internal_port_range": [7000, 7010],
                "seed_nodes": ["127.0.0.2:8000"],
                "counts_toward_quorum": True,
                "limits": {"memory_mb": 300, "file_descriptors": 1000},
                "bounds": {},
                "data_directory": str(disk) if disk is not None else None,
                **more,
            }
        )
    )
    return path


def test_a_gateway_whose_disk_is_damaged_starts_without_it(tmp_path: Path) -> None:
    store = stored_folder(tmp_path / "disk")
    with store.environment.begin(write=True) as transaction:
        transaction.put(b"remembered", b"torn")
    store.environment.close()
    path = settings_file(tmp_path, tmp_path / "disk")
    local, used, stored = prepare({"EMBERSILL_CONFIG": str(path)}).ok
    assert used is None and stored.begun is None and stored.store != "nonce"


def test_a_full_disk_refuses_and_what_was_saved_stays(tmp_path: Path) -> None:
    """A failed save is reported to its caller, and later ones succeed as soon as there is space."""

    async def play() -> None:
        store, heard = stored_folder(tmp_path), []
        waits = asyncio.Event()

        def done(save: Save, good: bool) -> None:
            heard.append((save.name, good))
            waits.set()

        store.start(done)
        for name, size in (("huge", 64 << 20), ("state", 100), ("huge", 64 << 20), ("gateways", 2)):
            store.save(Save(name, b"1" * size, lambda good: None))
        async with asyncio.timeout(20.0):
            while len(heard) < 4:
                waits.clear()
                await waits.wait()
        assert heard == [("huge", False), ("state", True), ("huge", False), ("gateways", True)]
        store.close()
        assert store.thread is not None
        store.thread.join(5.0)
        store.environment.close()

    asyncio.run(play())
    read = lmdb.open(str(tmp_path / "state"), readonly=True, lock=False)
    with read, read.begin() as transaction:
        assert transaction.get(b"huge") is None
        assert (transaction.get(b"gateways") or b"")[4:] == b"11"


def meta_page_descriptor(folder: Path) -> int:
    """lmdb writes the meta page through a descriptor of its own, opened with O_DSYNC."""
    data_file = folder / "state" / "data.mdb"
    ours = [int(one.name) for one in Path("/proc/self/fd").iterdir() if one.resolve() == data_file]
    syncs = [descriptor for descriptor in ours if fcntl.fcntl(descriptor, fcntl.F_GETFL) & os.O_DSYNC]
    assert len(syncs) == 1
    return syncs[0]


def test_a_disk_that_fills_up_within_a_save_is_written_to_again_once_it_has_room(tmp_path: Path) -> None:
    """If the data pages are written and the meta page is refused, lmdb refuses all later writes."""
    store = stored_folder(tmp_path)
    meta_descriptor = meta_page_descriptor(tmp_path)
    good, refuses = os.dup(meta_descriptor), os.open(tmp_path / "state" / "data.mdb", os.O_RDONLY)
    os.dup2(refuses, meta_descriptor)
    with pytest.raises(lmdb.Error):
        store.write({"state": b"lost"})
    os.dup2(good, meta_descriptor)
    for value in (b"1", b"2"):
        store.write({"gateways": value})
    store.environment.close()
    for descriptor in (good, refuses):
        os.close(descriptor)
    with lmdb.open(str(tmp_path / "state"), readonly=True, lock=False) as read, read.begin() as transaction:
        assert (transaction.get(b"gateways") or b"")[4:] == b"2"


def test_a_folder_that_can_not_be_opened_anew_is_tried_at_each_save(tmp_path: Path) -> None:
    store = stored_folder(tmp_path)
    store.unusable = True
    (tmp_path / "state").rename(tmp_path / "away")
    for _ in range(2):
        with pytest.raises((lmdb.Error, OSError)):
            store.write({"gateways": b"5"})
    (tmp_path / "away").rename(tmp_path / "state")
    store.write({"gateways": b"6"})
    assert not store.unusable


def test_settings_and_configurations_are_checked_by_the_command(tmp_path: Path, capsys: Output) -> None:
    assert main(["check", "settings", str(settings_file(tmp_path, None))]) == 0
    assert json.loads(capsys.readouterr().out)["keeps_state"] is False
    assert main(["check", "settings", str(settings_file(tmp_path, None, seed_nodes=["x"]))]) == 1
    assert "x" in capsys.readouterr().err
    path = tmp_path / "configuration.json"
    path.write_text(json.dumps(document(7, routes=3)))
    assert main(["check", "configuration", str(path)]) == 0
    assert json.loads(capsys.readouterr().out) == {
        "version": "00000007",
        "routes": 3,
        "services": 1,
        "tenants": 1,
    }
    made = document(7)
    made["routes"]["r0"]["max_attempts"] = 0
    for text, why in (
        (json.dumps(made), "route r0 has no attempts"),
        ("{", "configuration.json"),
        (json.dumps({**made, "routes": {"r": 1}}), "configuration.routes.r: not an object"),
    ):
        path.write_text(text)
        assert main(["check", "configuration", str(path)]) == 1
        assert why in capsys.readouterr().err
