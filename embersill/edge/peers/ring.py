"""Rendezvous hashing: an order of members per name that is the same on every gateway."""

from __future__ import annotations

import zlib
from collections.abc import Iterable


def rendezvous_order(name: str, members: Iterable[str]) -> list[str]:
    """The members in the order in which they are responsible for a name; each name has an order of its own.

    Highest random weight (Thaler and Ravishankar 1998): a leaving member does not move the names of others.
    """

    def weight(member: str) -> tuple[int, str]:
        return zlib.crc32(f"{name}\0{member}".encode()), member

    return sorted(members, key=weight, reverse=True)
