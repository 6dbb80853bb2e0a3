"""Which part of the customers one belongs to, and which planner comes first for a part.

Rendezvous hashing (Thaler and Ravishankar, 1998, "Using name-based mappings to increase hit rates"): every
pair of part and planner has a weight of its own and the heaviest comes first, so a planner that comes or
goes moves the parts it wins and no others.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from hashlib import blake2b


def part_of(customer: str, parts: int) -> int:
    """The part of a customer, 0 to `parts` - 1: alike on every machine, whatever its hash seed."""
    return zlib.crc32(customer.encode()) % parts


def weight(part: int, planner: str) -> bytes:
    return blake2b(f"{part}\0{planner}".encode(), digest_size=8).digest()


def ranking(part: int, planners: Iterable[str]) -> list[str]:
    """The planners of a part, the first choice first."""
    return sorted(planners, key=lambda name: (weight(part, name), name), reverse=True)
