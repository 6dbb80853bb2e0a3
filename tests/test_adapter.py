"""The adapter with the text frames of its protocol."""

from __future__ import annotations

import io
import json
import pathlib
import subprocess
import sys
from typing import Any

import pytest

from embersill.adapter import Host, Malformed, serve
from embersill.settings import read_settings

HERE = pathlib.Path(__file__).parent
FRAMES = (HERE / "batch.txt").read_text()


def env() -> dict[str, Any]:
    line = next(x for x in FRAMES.splitlines() if x.startswith("up\t"))
    loaded: dict[str, Any] = json.loads(line.split("\t", 2)[2])
    return loaded


def play(text: str) -> str:
    sink = io.StringIO()
    serve(io.StringIO(text), sink)
    return sink.getvalue()


def test_frames_are_answered_as_written() -> None:
    assert play(FRAMES) == (HERE / "batch.reply.txt").read_text()


def test_same_events_same_actions() -> None:
    assert play(FRAMES) == play(FRAMES)


@pytest.mark.parametrize(
    "text",
    [
        "hello\n",
        "frame\tx\ngo\n",
        "frame\t1\nabout\t0\nnonsense\t1\ngo\n",
        "frame\t1\nclient_left\t1\ngo\n",
        "frame\t1\nabout\t0\nclient_left\t1\ngo\n",
        "frame\t1\npage\t0\t3\ngo\n",
        "frame\t1\n",
        "frame\t1\nabout\t0\nup\t1\t{}\ngo\n",
        "frame\t1\nabout\t0\nup\t1\t{bad\ngo\n",
    ],
)
def test_malformed_input_is_told(text: str) -> None:
    with pytest.raises(Malformed):
        play(text)


def test_malformed_input_ends_with_one_plain_line() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "embersill.adapter"],
        input="rubbish\n",
        text=True,
        capture_output=True,
        cwd=HERE.parent,
        check=False,
    )
    assert done.returncode != 0 and done.stdout == ""
    assert len(done.stderr.strip().splitlines()) == 1 and "malformed" in done.stderr


def test_an_exception_goes_out_as_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    from embersill.control import Gateway

    def fail(*_: object) -> None:
        raise RuntimeError("it broke")

    monkeypatch.setattr(Gateway, "handle", fail)
    assert "crash\tRuntimeError: it broke" in play(FRAMES)


@pytest.mark.parametrize(
    ("part", "key"),
    [
        (None, "limits"),
        (None, "services"),
        ("limits", "max_attempts"),
        ("rules", "cold_from"),
        ("domain", "counter"),
    ],
)
def test_missing_keys_are_named(part: str | None, key: str) -> None:
    bad = env()
    del (bad[part] if part else bad)[key]
    with pytest.raises(ValueError, match=key):
        read_settings(bad)


def test_unknown_keys_are_passed_over() -> None:
    more = env()
    more["new"] = more["limits"]["new"] = 1
    assert read_settings(more) == read_settings(env())


def test_instances_share_nothing() -> None:
    host = Host()
    up = next(x for x in FRAMES.splitlines() if x.startswith("up\t"))
    host.batch(1.0, ["about\t0", up, "about\t1", up])
    host.batch(1.1, ["about\t1", "retire"])
    assert list(host.gateways) == [0]
