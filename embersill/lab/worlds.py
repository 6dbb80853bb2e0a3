"""The simulated worlds that schedules run in: one package each, with the same modules and functions.

`generate.generate(seed, focus)`, `world.play(schedule, coverage=...)`, `shorten.breaks`, `.shorten` and
`.story`, `fences.FENCES` and `.BY_NAME`. They are imported only when needed, because a fence must be removed
from the product before any of the product is loaded.
"""

from __future__ import annotations

import importlib
from typing import Any

WORLDS = ("levels", "counting", "council")


def part_of(world: str, part: str) -> Any:
    """Imports a world's module; ValueError if there is no such world."""
    if world not in WORLDS:
        raise ValueError(f"no world {world!r}; there are: {', '.join(WORLDS)}")
    return importlib.import_module(f"embersill.lab.{world}.{part}")
