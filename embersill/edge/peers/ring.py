"""Places on a ring: who of several is responsible for a name, in an order that is the same everywhere."""

from __future__ import annotations

import zlib
from collections.abc import Iterable


def rendezvous_order(name: str, members: Iterable[str]) -> list[str]:
    """The members from the one that the name falls to on, each with its own order for each name.

    Highest random weight (Thaler and Ravishankar 1998): who leaves changes nothing for the others' names.
    """

    def weight(member: str) -> tuple[int, str]:
        return zlib.crc32(f"{name}\0{member}".encode()), member

    return sorted(members, key=weight, reverse=True)
