"""Maps customers to parts (shards) and ranks the planners of a part.

Rendezvous hashing (Thaler and Ravishankar, 1998, "Using name-based mappings to increase hit rates"): every
pair of part and planner has its own weight and the planner with the highest weight comes first, so when a
planner joins or leaves, only the parts that it ranks first for move.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from hashlib import blake2b


def part_of(customer: str, parts: int) -> int:
    """The part of a customer, 0 to `parts` - 1: the same on every machine, whatever its hash seed."""
    return zlib.crc32(customer.encode()) % parts


def weight(part: int, planner: str) -> bytes:
    """The rendezvous hash of a part and a planner; higher ranks first."""
    return blake2b(f"{part}\0{planner}".encode(), digest_size=8).digest()


def ranking(part: int, planners: Iterable[str]) -> list[str]:
    """The planners of a part, the most preferred first."""
    return sorted(planners, key=lambda name: (weight(part, name), name), reverse=True)
