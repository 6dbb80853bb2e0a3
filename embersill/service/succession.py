"""One process after another at the same addresses: who serves, and what the next one must know. No I/O.

Both live for a while and are one gateway. They share a folder, in which each tells what it is (`Mark`) and
both keep which backends are out of use by hand. What stands there may be old, damaged or somebody else's: a
text that is not exactly right counts as none, and the process starts as one that knows nothing.
"""

from __future__ import annotations

import json
import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

VERSION = 1
MOST_HELD = 10_000  # backends out of use by hand, of whatever ids: further ones are refused
MOST_BYTES = 1 << 20


def sealed(kind: str, value: object) -> bytes:
    """A text of ours, with its version and checksum."""
    body = json.dumps({"kind": kind, "version": VERSION, "value": value}, sort_keys=True)
    return f"{zlib.crc32(body.encode()):08x} {body}\n".encode()


def unsealed(kind: str, text: bytes) -> object | None:
    """What was sealed; None for anything else."""
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
    """A process of this gateway: its life, since when (the machine's clock, seconds), whether it serves."""

    life: str
    since: float
    serves: bool

    def text(self) -> bytes:
        return sealed("mark", [self.life, self.since, self.serves])

    @staticmethod
    def read(text: bytes) -> Mark | None:
        match unsealed("mark", text):
            case [str(life), float(since), bool(serves)] if math.isfinite(since):
                return Mark(life, since, serves)
        return None


def held_text(held: set[str]) -> bytes:
    return sealed("held", sorted(held))


def read_held(text: bytes) -> set[str] | None:
    value = unsealed("held", text)
    if not isinstance(value, list) or len(value) > MOST_HELD or not all(isinstance(v, str) for v in value):
        return None
    return set(value)


class Stage(Enum):
    ALONE = "alone"  # no other process of this gateway lives
    BESIDE = "beside"  # another lives; this one goes on taking clients in
    SUCCEEDED = "succeeded"  # another has said that it serves: new clients are its


def stage_of(mine: Mark, living: Iterable[Mark]) -> Stage:
    """What this process is among those that live, by the marks of all. It rests on nothing seen before."""
    others = [m for m in living if m.life != mine.life]
    if any(m.serves and (m.since, m.life) > (mine.since, mine.life) for m in others):
        return Stage.SUCCEEDED
    return Stage.BESIDE if others else Stage.ALONE
