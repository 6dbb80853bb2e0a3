"""The durations that both roles keep, and why they hold without a common clock.

A forwarder lends its share of every ceiling to the planner it obeys. The loan rests on a beat of the planner
that the forwarder echoed. Let the beat go out at o by the planner's clock and its echo at s by the
forwarder's: o comes before s, whatever the clocks show.

- The forwarder takes its share to be lent until s + lease, and executes a grant only while the echo that the
  planner had when it granted (the batch's basis) is no older than `fresh`.
- The planner spends the share only until o + (lease - fresh), less what clocks may drift.

So the last execution that can rest on the share comes before s + lease, when the forwarder may use it again
or lend it to another. Clocks may run apart by DRIFT; what they show is never compared.

A forwarder that stops in order leaves its share for `bequest`, counted by the planner from the last beat that
was echoed; one that starts takes its share to be in use for as long from its start, since it does not know
how its last life ended. Where all forwarders obey one planner no other can have anything executed, so all
shares are its own at once, whatever was still lent before.
"""

from __future__ import annotations

import msgspec

DRIFT = 0.05  # by which one clock may run faster than another: a hundred times what clocks really do


class Terms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All in seconds."""

    lease: float = 0.9
    fresh: float = 0.4  # below the 500 ms of a drain: an older grant may be for a backend that drains since
    beat_every: float = 0.05
    silent_after: float = 0.25  # without a word from a planner, from which its parts go elsewhere
    dead_after: float = 3.0  # without a word, from which a link is closed: it may be open at this end only
    patience_part: float = 0.2  # of a request's budget that it waits for a planner to take it, at most
    patience_most: float = 0.3  # seconds of it, at most
    patience_least: float = 0.05  # for a planner that is asked after another kept it waiting
    gather: float = 0.1  # for which a planner that takes a part over waits for all forwarders' reports
    settle: float = 1.0  # from a planner's start until it takes parts back though not all are linked
    bequest: float = 5.0  # for which a planner may go on with the share of a forwarder that stopped in order
    resend_after: float = 0.0  # without a word of it, a batch goes out on another path; nought: by the others
    probe_every: float = 1.0  # on paths that are not in use
    recall: float = 0.1  # for which a forwarder waits for its share to be returned

    @property
    def usable(self) -> float:
        """From a beat's sending, for how long the planner may spend what was lent on it."""
        return (self.lease - self.fresh) * (1.0 - DRIFT)

    @property
    def resent_after(self) -> float:
        """A planner says what it has seen once a beat at the least, so the third beat without it is a loss.

        That has to be mended before a silence is noticed, also with few beats to one.
        """
        return self.resend_after or min(3 * self.beat_every, 0.6 * self.silent_after)


def check_terms(terms: Terms) -> None:
    """ValueError names what does not fit together."""
    if not 0 < terms.fresh <= 0.42:
        raise ValueError("fresh must be above nought and at most 0.42 s: drains are kept within 0.5 s")
    if terms.lease < 2 * terms.fresh:
        raise ValueError("lease must be at least twice fresh")
    if not 0 < terms.beat_every <= min(terms.fresh / 3, terms.usable / 3):
        raise ValueError("beat_every must be above nought and at most a third of fresh and of lease - fresh")
    if terms.silent_after < 2 * terms.beat_every:
        raise ValueError("silent_after must be at least two beats")
    if terms.resend_after and not 1.5 * terms.beat_every <= terms.resend_after < terms.silent_after:
        raise ValueError("resend_after must be nought, or from one and a half beats to below silent_after")
    if not terms.beat_every <= terms.probe_every <= terms.dead_after:
        raise ValueError("probe_every must be from a beat to dead_after")
    if terms.dead_after < 2 * terms.silent_after:
        raise ValueError("dead_after must be at least twice silent_after")
    if not 0 < terms.patience_part <= 0.5 or not 0 < terms.patience_most:
        raise ValueError("patience_part must be above nought and at most 0.5, patience_most above nought")
    if terms.bequest < terms.lease:
        raise ValueError("bequest must not be below lease")
    if min(terms.gather, terms.settle, terms.recall) < 0:
        raise ValueError("gather, settle and recall must not be below nought")
