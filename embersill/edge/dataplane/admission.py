"""Admission control: requests are admitted, queued or rejected by their tenant's slice of its quota. No I/O.

A slice that runs out of tokens borrows from the tenant's reserve, which one gateway of the core holds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from embersill.admission import Admission
from embersill.edge.configuration.lapses import Slowed
from embersill.interface import Borrow, BorrowResult, Plan, QuotaSlice
from embersill.throttle import PERIOD, Throttle
from embersill.totals import READING_LIFE, Totals
from embersill.turn import Turn
from embersill.work import EPS, AdmissionSink, Job

SHORTAGE_S = 1.0  # how long a tenant counts as short of tokens after its reserve was empty
RETRY_MIN_LEVEL_SHARE = 0.5  # of a short tenant's bucket that must be full before client retries get a token
# share of the latency target that a request may wait for a token: a rejection by then costs the client least
QUEUE_WAIT_SHARE = 0.22
# of the usual wait bound, for a slowed tenant: with a long bound the wait depends on how many callers it has
SLOWED_QUEUE_WAIT_SHARE = 0.1
RESERVE_RETRY_S = 0.2  # how long after an empty reserve it is asked again
NO_SHARE_WIDTH = 10**9  # divisor of a gateway without a share of its own: it uses only what it is assigned


class EdgeAdmission(Admission):
    """Admission that borrows the tokens a slice lacks from the tenant's reserve while that has any."""

    hold_share, strict = QUEUE_WAIT_SHARE, True
    slowed_tenants: Mapping[str, Slowed] = {}

    def __init__(self, turn: Turn, totals: Totals, after: AdmissionSink) -> None:
        super().__init__(turn, totals, after)
        self.told_width: int | None = None  # as last set by `set_quota_width`

    @property
    def quota_width(self) -> int:
        """By how many a quota is divided where no slice was assigned: the number of gateways, if not told."""
        return self.turn.settings.gateways if self.told_width is None else self.told_width

    @property
    def has_share(self) -> bool:
        """True if this gateway may use a part of each quota without asking."""
        return self.quota_width < NO_SHARE_WIDTH

    def set_quota_width(self, width: int) -> None:
        """Sets by how many quotas are divided here; 0: this gateway has no share of its own."""
        self.told_width = width or NO_SHARE_WIDTH
        self.replan()

    def admit(self, job: Job) -> None:
        """Admits, queues or rejects a request; with an empty reserve, first tries go before retries.

        Both would take the same token, and the answer to a first try is worth more.
        """
        throttle = job.throttle
        throttle.refill(self.turn.now)
        short = self.turn.now < throttle.dry_until + SHORTAGE_S and throttle.plan.rate > 0
        if short and job.request.repeat and throttle.level < RETRY_MIN_LEVEL_SHARE * throttle.bank:
            throttle.note_demand(job.request.units, self.turn.now)
            self.totals.start_counting(throttle)
            return self.overflow(job, PERIOD)
        if not self.slowed_tenants or throttle.customer not in self.slowed_tenants:
            return super().admit(job)
        usual = self.hold_share
        self.hold_share = usual * SLOWED_QUEUE_WAIT_SHARE
        super().admit(job)
        self.hold_share = usual
        return None

    def join(self, customer: str, width: int, plan: Plan, first: int = -1) -> Throttle:
        """Adds a tenant's throttle, which needs whole tokens if several gateways share the quota.

        A full bucket of less than one token would otherwise admit one more request at each gateway.
        """
        throttle = super().join(customer, self.quota_width, plan, first)
        throttle.whole = throttle.width > 1
        return throttle

    def may_borrow(self, throttle: Throttle) -> bool:
        """True if a tenant's throttle may ask the reserve for tokens beyond its slice now."""
        return throttle.plan.rate > 0 and not throttle.asking and self.turn.now >= throttle.dry_until

    def borrow(self, throttle: Throttle) -> None:
        """Asks the reserve for the tokens that the throttle lacks."""
        throttle.asking = True
        self.turn.actions.append(Borrow(throttle.customer, max(math.ceil(-throttle.level), 1.0)))

    def lent(self, event: BorrowResult) -> None:
        """Gives borrowed tokens to queued requests; the requests beyond them keep waiting or are rejected."""
        throttle = self.throttles.get(event.customer)
        if throttle is None or not throttle.asking:
            return
        throttle.asking = False
        throttle.refill(self.turn.now)
        throttle.level += max(event.units, 0.0)
        # without a reachable reserve the throttle uses its bucket, however small: else it would serve nothing
        throttle.whole = (event.units >= 0.0 or not self.has_share) and throttle.width > 1
        if event.units < 1.0:
            throttle.dry_until = self.turn.now + RESERVE_RETRY_S
        elif throttle.level < -EPS and throttle.queue:
            return self.borrow(throttle)
        return self.release(throttle)

    def sliced(self, event: QuotaSlice) -> None:
        """Applies the slice set by the summing member; slices never add up to more than the quota."""
        throttle = self.throttles.get(event.customer)
        if throttle is None or throttle.plan.rate <= 0:
            return
        until = throttle.read_until
        # the age counts from the question: the member that set the slice reserves it for longer than it is
        # used here, however late the answer comes
        if event.age is not None:
            until = self.turn.now + READING_LIFE * PERIOD - event.age
        if until > self.turn.now:
            throttle.read_until = until
            throttle.set_share(event.rate / throttle.plan.rate, self.turn.now)
            self.release(throttle)

    def replan(self) -> None:
        """Applies changed quotas or another share of them; throttles keep their levels."""
        for throttle in self.throttles.values():
            plan = self.turn.plans.get(throttle.plan.name, throttle.plan)
            if throttle.plan != plan or throttle.width != self.quota_width:
                throttle.change(plan, self.quota_width, self.turn.now)
                throttle.whole = throttle.whole or not self.has_share
                self.release(throttle)
