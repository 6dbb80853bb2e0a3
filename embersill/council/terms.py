"""Durations and limits of the council, and why a lease is safe without a common clock.

An owner counts its lease from the moment at which it *began* to write the renewal, less the possible drift of
clocks (`usable`). Every other member counts a full lease from the moment at which it *saw* that renewal, and
may take the office over only by a write that finds the register unchanged since. The renewal began before it
was seen, so the old owner's lease ends first, whatever the clocks show; and if it was renewed in between, the
write finds another version.
"""

from __future__ import annotations

import msgspec

from embersill.tiers.terms import MAX_CLOCK_DRIFT

MAX_MEMBERS = 15
MAX_KEYS = 256
MAX_KEY_CHARS = 64
MAX_VALUE_BYTES = 4 << 20  # a configuration of some 10,000 routes


class CouncilTerms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The council's durations, all in seconds."""

    lease: float = 0.45  # of an office: how long it may be vacant after its owner has failed
    renew_every: float = 0.1
    stagger: float = 0.03  # between candidates for one office, by their order
    settle_back: float = 30.0  # how long a preferred member must be healthy to get the office back
    attempt: float = 0.15  # for a majority's answers to one round of a read or a write
    back_off: float = 0.02  # after a round overridden by another member's; doubled each time, and jittered
    most_back_off: float = 0.4
    within: float = 2.0  # for a whole read or write
    hello_every: float = 0.5
    settle: float = 1.0  # after a start, to wait for all other members; from then on a majority suffices

    @property
    def usable(self) -> float:
        """How long the owner may act, from the beginning of a renewal."""
        return self.lease * (1.0 - MAX_CLOCK_DRIFT)


def check_council_terms(terms: CouncilTerms) -> None:
    """Checks the terms; ValueError names those that are inconsistent."""
    if not 0 < terms.renew_every <= terms.usable / 3:
        raise ValueError("renew_every must be greater than 0 and at most a third of the lease less 5 %")
    if not 0 < terms.attempt <= terms.lease:
        raise ValueError("attempt must be greater than 0 and at most the lease")
    if not 0 < terms.back_off <= terms.most_back_off:
        raise ValueError("back_off must be greater than 0 and at most most_back_off")
    if terms.within < terms.attempt or terms.hello_every <= 0 or terms.settle < 0:
        raise ValueError("within must be at least attempt, hello_every greater than 0, settle at least 0")
    if terms.stagger < 0 or terms.settle_back < 2 * terms.hello_every:
        raise ValueError("stagger must be at least 0, settle_back at least twice hello_every")


def majority(members: int) -> int:
    """The size of a majority."""
    return members // 2 + 1
