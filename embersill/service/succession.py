"""Succession of processes on the same addresses: which one serves, and what the next one must know. No I/O.

For a while both run, as one gateway. They share a folder, in which each writes its state (`Mark`) and both
keep the list of backends that operators have taken out of use. A file there may be old, damaged or foreign:
content that is not exactly valid is ignored, and the process then starts without any state.
"""

from __future__ import annotations

import json
import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

VERSION = 1
MAX_HELD = 10_000  # backends that operators have taken out of use, listed or not: more are refused
MAX_FILE_BYTES = 1 << 20


def encode_record(kind: str, value: object) -> bytes:
    """Encodes a value with its kind, version and checksum."""
    body = json.dumps({"kind": kind, "version": VERSION, "value": value}, sort_keys=True)
    return f"{zlib.crc32(body.encode()):08x} {body}\n".encode()


def decode_record(kind: str, text: bytes) -> object | None:
    """Decodes a value; None if kind, version or checksum do not match."""
    try:
        check, _, body = text.decode().rstrip("\n").partition(" ")
        if int(check, 16) != zlib.crc32(body.encode()):
            return None
        loaded = json.loads(body)
        if loaded["kind"] != kind or loaded["version"] != VERSION:
            return None
        value: object = loaded["value"]
        return value
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


@dataclass(frozen=True, slots=True)
class Mark:
    """The state of one process: its random id, its start (monotonic clock, seconds), whether it serves."""

    life: str
    since: float
    serves: bool

    def text(self) -> bytes:
        """The content of the process's mark file."""
        return encode_record("mark", [self.life, self.since, self.serves])

    @staticmethod
    def read(text: bytes) -> Mark | None:
        """Decodes a mark file; None if it is invalid."""
        match decode_record("mark", text):
            case [str(life), float(since), bool(serves)] if math.isfinite(since):
                return Mark(life, since, serves)
        return None


def held_text(held: set[str]) -> bytes:
    """The content of the file of backends out of use."""
    return encode_record("held", sorted(held))


def read_held(text: bytes) -> set[str] | None:
    """Decodes the file of backends out of use; None if it is invalid."""
    value = decode_record("held", text)
    if not isinstance(value, list) or len(value) > MAX_HELD or not all(isinstance(v, str) for v in value):
        return None
    return set(value)


class Stage(Enum):
    """What a process is among those of its gateway."""

    ALONE = "alone"  # no other process of this gateway runs
    BESIDE = "beside"  # another one runs; this one still accepts clients
    SUCCEEDED = "succeeded"  # a later process serves: new clients go to it


def stage_of(mine: Mark, running: Iterable[Mark]) -> Stage:
    """The stage of a process, from the marks of all that run; independent of earlier observations."""
    others = [m for m in running if m.life != mine.life]
    if any(m.serves and (m.since, m.life) > (mine.since, mine.life) for m in others):
        return Stage.SUCCEEDED
    return Stage.BESIDE if others else Stage.ALONE
