"""The durations and bounds of the council, and why a lease holds without a common clock.

An owner counts its lease from the moment at which it *began* to write the renewal, less what clocks may
drift (`usable`). Everyone else counts a whole lease from the moment at which it *saw* that renewal, and may
take the office over only by a write that finds the register as it was then. What was seen had begun before,
so the old owner is done first, whatever the clocks show; and if it renewed in between, the write finds
another version.
"""

from __future__ import annotations

import msgspec

from embersill.tiers.terms import MAX_CLOCK_DRIFT

MOST_MEMBERS = 15
MOST_KEYS = 256
MOST_KEY = 64  # characters
MOST_VALUE = 4 << 20  # bytes: a configuration of some 10,000 routes


class CouncilTerms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All in seconds."""

    lease: float = 0.45  # of an office: for so long it may stand empty after its owner was lost
    renew_every: float = 0.1
    stagger: float = 0.03  # between candidates for one office, by their order
    settle_back: float = 30.0  # that a member which goes before the owner has to be well to get the office
    attempt: float = 0.15  # for a majority's answers to one round of a read or a write
    back_off: float = 0.02  # after a round that was lost to another's; doubled each time, and jittered
    most_back_off: float = 0.4
    within: float = 2.0  # for a read or a write in all
    hello_every: float = 0.5
    settle: float = 1.0  # from a start, for which all others are waited for; then a majority must do

    @property
    def usable(self) -> float:
        """From a renewal's beginning, for how long the owner may act on it."""
        return self.lease * (1.0 - MAX_CLOCK_DRIFT)


def check_council_terms(terms: CouncilTerms) -> None:
    """ValueError names what does not fit together."""
    if not 0 < terms.renew_every <= terms.usable / 3:
        raise ValueError("renew_every must be above nought and at most a third of the lease less 5 %")
    if not 0 < terms.attempt <= terms.lease:
        raise ValueError("attempt must be above nought and at most the lease")
    if not 0 < terms.back_off <= terms.most_back_off:
        raise ValueError("back_off must be above nought and at most most_back_off")
    if terms.within < terms.attempt or terms.hello_every <= 0 or terms.settle < 0:
        raise ValueError("within must be at least attempt, hello_every above nought, settle not below")
    if terms.stagger < 0 or terms.settle_back < 2 * terms.hello_every:
        raise ValueError("stagger must not be below nought, settle_back at least twice hello_every")


def majority(members: int) -> int:
    return members // 2 + 1
