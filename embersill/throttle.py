"""A customer's throttle at one gateway: a token bucket and a queue of held requests, kept as one level."""

from __future__ import annotations

from collections import deque

from embersill.interface import Allotted, LimitState, Plan
from embersill.work import EPS, Job

PERIOD = 1.0  # seconds covered by one count of demand, as the design has it: short against client time-outs
MIN_SHARE = 1e-6  # of a quota or ceiling, where none is allotted: rates must not be zero as divisors


def slice_of(own: float, total: float, quota: float, width: int, room_part: float = 1.0) -> float:
    """A gateway's rate of a quota, in units a second: its own demand plus an even split of the unused quota.

    Where the total demand exceeds the quota, it is the quota times the gateway's fraction of that demand.
    `room_part` is the fraction of the unused quota that is split; the rest is left to a reserve.
    """
    if total <= quota:
        return own + room_part * (quota - total) / width
    return quota * own / total


class Charge:
    """What a request took of a ceiling, and when; final once an attempt of it may have reached a backend."""

    __slots__ = ("final", "units", "when")

    def __init__(self, when: float, units: float, final: bool = False) -> None:
        self.when, self.units, self.final = when, units, final


class Throttle:
    """Token bucket and request queue of one customer at this gateway, as one level.

    A positive level is credit, a negative one held units. Requests are charged on arrival and leave in that
    order, each once the credit covers it, not counting those behind it.
    """

    def __init__(
        self, customer: str, plan: Plan, width: int, now: float, born: float, most_units: float = 0.0,
        first: int = -1,
    ) -> None:
        self.customer, self.plan, self.width, self.first = customer, plan, width, first
        self.share = 1.0 / width
        self.rate, self.bank = plan.rate * self.share, plan.burst * self.share
        self.level, self.stamp = self.bank, now  # the stamp is the time of the last refill
        self.queue: deque[Job] = deque()
        self.held = self.timer = 0.0
        self.open = 0
        # this gateway's part of the ceiling, refilled since its start only: it may have sent before a restart
        self.cap_depth, self.cap_rate = plan.ceiling_depth / width, plan.ceiling_rate / width
        self.cap = min(self.cap_depth, self.cap_rate * (now - born))
        self.charges: deque[Charge] = deque()  # beginning with the oldest that is not final
        self.cap_base = self.cap, now  # the ceiling's level before these charges, and the time of that
        self.second, self.asked, self.last_asked = -1, 0.0, 0.0
        self.own = self.total = self.read_until = self.fresh_until = 0.0
        self.dry_until = 0.0  # the reserve could not lend enough: it is not asked again before
        self.whole = False  # a full bank smaller than a request does not admit it: the reserve must lend
        self.counting = self.asking = False  # a counting timer is set; requests wait for a counter reading
        self.added, self.reading = 0.0, ""  # units added here to the counter name being read, and that name
        self.thin = width > 1 and 0 < plan.burst < most_units * width and plan.rate > 0
        self.uncounted = 0.0  # admitted units not reported to the counter; negative: reported in excess
        self.epoch = 0  # to which `uncounted` belongs, where use beyond a quota is repaid
        self.calls: deque[tuple[str, float, float, int]] = deque()  # in flight: name, asked, to keep, number

    def set_ceiling(self, part: float, now: float, depth: float | None = None) -> None:
        """Sets this process's part of the ceiling; what it holds beyond the new depth is lost."""
        self.refill(now)
        self.cap_depth = self.plan.ceiling_depth * part if depth is None else depth
        self.cap_rate = self.plan.ceiling_rate * part
        self.cap = min(self.cap, self.cap_depth)
        self.charges.clear()
        self.cap_base = self.cap, self.stamp

    def refill(self, now: float) -> None:
        self.level = max(self.level, min(self.level + self.rate * (now - self.stamp), self.bank - self.held))
        self.cap = min(self.cap_depth, self.cap + self.cap_rate * (now - self.stamp))
        self.stamp = now

    def charge(self, units: float, now: float) -> Charge:
        """Takes units from the ceiling; the throttle must have been refilled."""
        taken = Charge(now, units)
        if self.plan.ceiling_rate > 0:
            self.cap -= units
            self.charges.append(taken)
            while self.charges[0].final:
                first = self.charges.popleft()
                self.cap_base = self.filled(self.cap_base, first.when) - first.units, first.when
        return taken

    def filled(self, base: tuple[float, float], when: float) -> float:
        """The ceiling's level at a time, from an earlier level and the time of that."""
        level, at = base
        return min(self.cap_depth, level + self.cap_rate * (when - at))

    def uncharge(self, charge: Charge, now: float) -> None:
        """Undoes the charge of a request that reached no backend.

        The level is computed anew without the charge. Adding the units back would admit them twice where the
        bucket, without the charge, would have been full and not have refilled meanwhile.
        """
        self.refill(now)
        if charge not in self.charges:
            return  # the ceiling has been set anew since then
        self.charges.remove(charge)
        base = self.cap_base
        for other in self.charges:
            base = self.filled(base, other.when) - other.units, other.when
        self.cap = self.filled(base, now)

    def change(self, plan: Plan, width: int, now: float) -> None:
        """Changes the plan or the number of gateways; accrued credit is kept, up to the new bank."""
        self.refill(now)
        even = self.share == 1.0 / self.width  # no counter reading has set its slice
        self.plan, self.width = plan, width
        self.set_share(1.0 / width if even else self.share, now)
        self.set_ceiling(1.0 / width, now)

    def set_share(self, share: float, now: float) -> None:
        self.refill(now)
        self.share = share
        self.rate, self.bank = self.plan.rate * share, self.plan.burst * share
        self.level = min(self.level, self.bank - self.held)

    def allot(self, part: Allotted, now: float) -> None:
        """Sets the fractions of quota and ceiling, and what is left of each where the event says so."""
        self.set_share(max(part.share, MIN_SHARE), now)
        self.set_ceiling(max(part.ceiling, MIN_SHARE), now, part.depth)
        if part.cap is not None:  # the new depth, set above, bounds it
            self.cap = min(part.cap, self.cap_depth)
            self.cap_base = self.cap, self.stamp
        if part.level is not None:
            self.level = min(part.level, self.bank) - self.held

    def wait(self, units: float, taken: float = 0.0) -> float:
        """Seconds until the head of the queue, or a request that comes to an empty queue, may leave.

        `taken` are units that others are about to take before it.
        """
        wait = 0.0
        short = (units if self.whole else min(units, self.bank)) - (self.level + self.held - taken)
        if self.plan.rate > 0 and short > EPS:
            wait = short / self.rate
        if self.plan.ceiling_rate > 0 and units + taken - self.cap > EPS:
            wait = max(wait, (units + taken - self.cap) / self.cap_rate)
        return wait

    def state(self, units: float, granted: bool) -> LimitState:
        """The state to report for a question; units held for queued requests are not available."""
        left, short = max(self.level, 0.0), self.bank - self.level
        if self.plan.ceiling_rate > 0:
            left = min(left, max(self.cap, 0.0)) if self.plan.rate > 0 else max(self.cap, 0.0)
        full_in = short / self.rate if self.plan.rate > 0 and short > EPS else 0.0
        return LimitState(granted, left, 0.0 if granted else max(self.wait(units), EPS), full_in)

    def may_open(self) -> bool:
        return self.plan.concurrency <= 0 or self.open < max(1, self.plan.concurrency // self.width)

    def note_demand(self, units: float, now: float) -> None:
        second = int(now // PERIOD)
        if second != self.second:
            self.last_asked = self.asked if second == self.second + 1 else 0.0
            self.second, self.asked = second, 0.0
        self.asked += units

    def dequeue(self, job: Job) -> None:
        self.queue.remove(job)
        self.held = self.held - job.request.units if self.queue else 0.0

    def idle(self, now: float) -> bool:
        self.refill(now)
        full = (self.plan.rate <= 0 or self.level >= self.bank - EPS) and self.cap >= self.cap_depth - EPS
        return full and not (self.queue or self.open or self.counting or self.calls or self.asking)
