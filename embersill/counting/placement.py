"""Assigns customers to counters. No I/O.

Rendezvous hashing (Thaler and Ravishankar 1998, "Using name-based mappings to increase hit rates").

All gateways with the same addresses agree without communication, whatever the order of their lists. Removing
an address moves only the names that were there.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence


def place_of(customer: str, places: Sequence[str]) -> str:
    """The address of a customer's counter; raises ValueError if there are no counters."""
    if not places:
        raise ValueError("there is no counter")
    if len(places) == 1:
        return places[0]
    return max(places, key=lambda place: (weight_of(customer, place), place))


def weight_of(customer: str, place: str) -> int:
    """The rendezvous weight, mixed: as CRC-32 is linear, one bit would decide between two places."""
    mixed = zlib.crc32(f"{place}\0{customer}".encode())
    mixed = (mixed ^ (mixed >> 16)) * 0x85EBCA6B & 0xFFFFFFFF  # MurmurHash3's finalizer
    mixed = (mixed ^ (mixed >> 13)) * 0xC2B2AE35 & 0xFFFFFFFF
    return mixed ^ (mixed >> 16)
