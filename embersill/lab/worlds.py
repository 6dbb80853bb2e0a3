"""The worlds that schedules are played in: a package each, with the same modules and functions.

`generate.generate(seed, focus)`, `world.play(schedule, coverage=...)`, `shorten.breaks`, `.shorten` and
`.story`, `fences.FENCES` and `.BY_NAME`. They are imported when they are needed: whoever takes a fence out of
the product must do so before any of it is loaded.
"""

from __future__ import annotations

import importlib
from typing import Any

WORLDS = ("levels", "counting", "council")


def part_of(world: str, part: str) -> Any:
    """A world's module; ValueError if there is no such world."""
    if world not in WORLDS:
        raise ValueError(f"no world {world!r}; there are: {', '.join(WORLDS)}")
    return importlib.import_module(f"embersill.lab.{world}.{part}")
