"""The time-outs and leases that both roles follow, and why they are safe without a common clock.

A forwarder lends its share of every ceiling to the planner that it follows. The loan is based on a beat of
the planner that the forwarder echoed. Let the beat be sent at time o on the planner's clock and its echo at
time s on the forwarder's clock: o happens before s, whatever the clocks show.

- The forwarder counts its share as lent until s + lease, and executes a grant only while the echo that the
  planner had received when it granted (the batch's basis) is no older than `fresh`.
- The planner spends the share only until o + (lease - fresh), less the allowance for clock drift.

So the last execution that can rely on the share happens before s + lease, when the forwarder may use the
share again or lend it to another planner. The clocks' rates may differ by MAX_CLOCK_DRIFT; their readings
are never compared.

A forwarder that shuts down cleanly leaves its share to the planner for `bequest`, which the planner counts
from the last echoed beat. A forwarder that starts treats its share as in use for the same time from its
start, since it does not know how its previous process ended. Where all forwarders follow one planner, no
other planner can have anything executed, so it owns all shares at once, whatever was still lent before.
"""

from __future__ import annotations

import msgspec

MAX_CLOCK_DRIFT = 0.05  # ratio by which one clock may run faster than another: a hundred times real drift


class Terms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the link between forwarders and planners; durations in seconds."""

    lease: float = 0.9
    fresh: float = 0.4  # below the 500 ms of a drain: an older grant may name a backend that drains by now
    beat_every: float = 0.05
    silent_after: float = 0.25  # silence of a planner after which its parts move to another
    dead_after: float = 3.0  # silence after which a link is closed: it may be half-open
    patience_part: float = 0.2  # largest fraction of a request's time budget spent waiting for a planner
    patience_most: float = 0.3  # upper bound on that wait
    patience_least: float = 0.05  # wait for a planner that is asked after another did not answer
    gather: float = 0.1  # a planner that takes over a part waits this long for all forwarders' reports
    settle: float = 1.0  # from its start, after which a planner takes parts even if not all are connected
    bequest: float = 5.0  # how long a planner may use the share of a forwarder that shut down cleanly
    resend_after: float = 0.0  # without acknowledgement, resends a batch on another path; 0: derived
    probe_every: float = 1.0  # on paths that carry no batches
    recall: float = 0.1  # how long a forwarder waits for its share to be returned

    @property
    def usable(self) -> float:
        """How long after sending a beat the planner may spend the shares lent on it."""
        return (self.lease - self.fresh) * (1.0 - MAX_CLOCK_DRIFT)

    @property
    def resent_after(self) -> float:
        """Time without an acknowledgement after which a batch counts as lost.

        A planner acknowledges at least once per beat, so a batch still unacknowledged at the third beat is
        lost. It must be resent before `silent_after` passes, also where that spans only a few beats.
        """
        return self.resend_after or min(3 * self.beat_every, 0.6 * self.silent_after)


def check_terms(terms: Terms) -> None:
    """Raises ValueError that names the settings that are out of bounds or inconsistent."""
    if not 0 < terms.fresh <= 0.42:
        raise ValueError("fresh must be above zero and at most 0.42 s: drains are kept within 0.5 s")
    if terms.lease < 2 * terms.fresh:
        raise ValueError("lease must be at least twice fresh")
    if not 0 < terms.beat_every <= min(terms.fresh / 3, terms.usable / 3):
        raise ValueError("beat_every must be above zero and at most a third of fresh and of lease - fresh")
    if terms.silent_after < 2 * terms.beat_every:
        raise ValueError("silent_after must be at least two beats")
    if terms.resend_after and not 1.5 * terms.beat_every <= terms.resend_after < terms.silent_after:
        raise ValueError("resend_after must be zero, or from one and a half beats to below silent_after")
    if not terms.beat_every <= terms.probe_every <= terms.dead_after:
        raise ValueError("probe_every must be from a beat to dead_after")
    if terms.dead_after < 2 * terms.silent_after:
        raise ValueError("dead_after must be at least twice silent_after")
    if not 0 < terms.patience_part <= 0.5 or not 0 < terms.patience_most:
        raise ValueError("patience_part must be above zero and at most 0.5, patience_most above zero")
    if terms.bequest < terms.lease:
        raise ValueError("bequest must not be below lease")
    if min(terms.gather, terms.settle, terms.recall) < 0:
        raise ValueError("gather, settle and recall must not be below zero")
