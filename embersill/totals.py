"""Demand over all gateways: what is told of a customer's use, and the slice that a reading gives. No I/O."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from embersill.fleet import BLEND
from embersill.interface import Count, Counted, Outcome, Plan, SetTimer
from embersill.throttle import PERIOD, Throttle, slice_of
from embersill.turn import Turn
from embersill.work import EPS, Job

READING_LIFE = 2.5  # periods a reading decides the slice: outlives one lost call, not a silent counter
DEMAND_BLEND = 0.5  # weight of the last period in the smoothed demand: a few requests a second make it jump
NEED_SHARE = 0.8  # of the even slice asked for, or of the bank spent, from which a customer is worth counting
LEAST_SLICE = 0.1  # of the even slice that is always kept, so that a customer who moves is not shut out
EPOCH = 60.0  # seconds of use that one name of a thin customer adds up: the longest that a name may be kept
COUNTED_GATEWAYS = 100.0  # a counter is taken to serve in full at first: each makes few calls a second
SOON = 0.25  # of the period until the counter is told; of the burst unused until its sum is put right
RIGHT_FROM = 0.05  # the same where sums are told anew if they are lost, and their error is stated
COUNT_MORE = 1.1  # times the counted part of thin requests for each prompt answer of the counter
COUNT_LESS = 0.7  # and for a call it turns away or is late with: one call in five fails at most
PROMPT = 1.25  # times the counter's shortest time that a prompt answer takes: it found next to no queue
SHORTEST_GROWS = 1.001  # times, by each answer, that the shortest time is taken to be: it may have slowed
SILENT_FROM = 3  # calls that fail one after the other from which the counter is silent, not only crowded
LEAST_PART = 0.05  # of requests that are counted: with less nothing would tell that it is over


class Totals:
    """What this gateway counts of its customers, and what it reads of the others' counts."""

    def __init__(self, turn: Turn, throttles: dict[str, Throttle], repays: bool) -> None:
        """`repays`: what was sent on beyond a quota unknown to the others is taken from it afterwards."""
        self.turn, self.throttles, self.repays = turn, throttles, repays
        self.release: Callable[[Throttle], None] = lambda throttle: None  # lets go what a reading allows
        settings = turn.settings
        self.quiet_until, self.count_fails = turn.now, 0
        self.calls = 0  # of the counter, so far
        self.shortest = settings.counter_patience  # seconds of the counter's shortest answer
        self.counted_part = min(1.0, COUNTED_GATEWAYS / settings.gateways)
        # part of the counted thin requests that had the credit, by plan and whether the slice covered them
        self.granted = {(p.name, sure): float(sure) for p in settings.plans for sure in (False, True)}

    def start_counting(self, throttle: Throttle) -> None:
        """One timer a second for a customer with new use, at a moment that all its gateways share."""
        if not self.turn.settings.counter or throttle.counting:
            return
        if throttle.width < 2 or throttle.plan.rate <= 0:
            return
        throttle.counting = True
        due = (self.turn.now // PERIOD + 1 + (zlib.crc32(throttle.customer.encode()) % 997) / 1250) * PERIOD
        self.turn.actions.append(SetTimer(max(due - self.turn.now, 1e-6), "c" + throttle.customer))

    def add_demand(self, throttle: Throttle) -> None:
        """Adds the finished second's demand; skips customers far from their quota, who could not need it."""
        throttle.counting = False
        if throttle.thin:
            if throttle.uncounted and self.turn.now >= self.quiet_until:
                self.count_use(throttle, 0.0)
            return
        throttle.note_demand(0.0, self.turn.now)
        second, asked = throttle.second - 1, throttle.last_asked
        throttle.own += DEMAND_BLEND * (asked / PERIOD - throttle.own)
        throttle.refill(self.turn.now)
        if throttle.read_until < self.turn.now:
            throttle.set_share(1.0 / throttle.width, self.turn.now)
        if asked > 0 or throttle.asked > 0 or throttle.own > 0.05 * throttle.plan.rate:
            self.start_counting(throttle)
        even = throttle.plan.rate / throttle.width
        needy = throttle.level < (1.0 - NEED_SHARE) * throttle.bank or throttle.own > NEED_SHARE * even
        needy = needy or self.turn.settings.counts_all
        if self.turn.now >= self.quiet_until and needy:
            throttle.added = asked
            if asked > 0:
                self.count(throttle, f"{throttle.customer}.{second}", asked, 4 * PERIOD)
            wait = max(self.turn.settings.counter_patience, EPS)
            self.turn.actions.append(SetTimer(wait, f"d{second} {throttle.customer}"))
        self.release(throttle)

    def counted(self, event: Counted) -> None:
        throttle = self.throttles.get(event.name.rpartition(".")[0])
        if event.alone:
            pass  # whoever keeps the counts leaves that part of the counter alone; the others go on
        elif event.outcome is Outcome.SERVED:
            self.count_fails = 0
            self.shortest = min(self.shortest * SHORTEST_GROWS, event.elapsed)
            if event.elapsed <= PROMPT * self.shortest:
                self.counted_part = min(1.0, self.counted_part * COUNT_MORE)
        else:
            self.count_fails = min(self.count_fails + 1, 4)  # it is left alone for longer: the even slice
            if event.outcome is Outcome.NO_CONNECTION or self.count_fails >= SILENT_FROM:
                self.quiet_until = self.turn.now + PERIOD * 2 ** self.count_fails / 8
            else:  # crowded
                self.counted_part = max(self.counted_part * COUNT_LESS, LEAST_PART)
        if throttle is not None and throttle.thin:
            self.level_read(throttle, event)
        elif throttle is not None and event.outcome is Outcome.SERVED and event.name == throttle.reading:
            throttle.reading = ""
            self.read_total(throttle, event.total)

    def read_total(self, throttle: Throttle, total: float) -> None:
        if total < throttle.added * (1.0 - 1e-6) - EPS:
            return  # counts were lost, not demand: the reading before stands
        throttle.total += DEMAND_BLEND * (total / PERIOD - throttle.total)
        throttle.total = max(throttle.total, throttle.own)
        throttle.read_until = self.turn.now + READING_LIFE * PERIOD
        rate = slice_of(throttle.own, throttle.total, throttle.plan.rate, throttle.width)
        least = LEAST_SLICE / throttle.width
        throttle.set_share(max(rate / throttle.plan.rate, least), self.turn.now)
        self.release(throttle)

    def read_level(self, job: Job) -> None:
        """Asks the counter for the customer's level where the slice at this gateway can't tell.

        A slice is thin where many gateways share a quota: its bank never holds a request, and a second of its
        demand is nought or one. There the room is not split: a reading tells the level of the whole quota,
        from the units that all gateways sent on. Where the counter is crowded a part is counted for the rest.
        """
        throttle, units = job.throttle, job.request.units
        even = self.turn.now >= throttle.read_until
        if even and throttle.share == 1.0:
            throttle.set_share(1.0 / throttle.width, self.turn.now)
        if throttle.asking or self.turn.now < max(throttle.fresh_until, self.quiet_until):
            return
        wait = throttle.wait(units)
        if not even and wait > job.hold_until - self.turn.now:
            return  # too little, even if no other gateway has used any since
        sure = wait <= 0 and (even or throttle.level >= throttle.bank / 2)
        passes = not self.doubtful(throttle.plan, sure)
        if self.turn.random.random() >= self.counted_part:
            if self.repays:  # what a crowded counter does not tell is no reason to go beyond the share
                return throttle.set_share(1.0 / throttle.width, self.turn.now)
            job.counted, job.trusted = -1.0, passes
            return
        # one that is counted stands for those that are not, unless these are told afterwards
        stands = passes and not self.repays
        job.sure, job.counted = sure, units / self.counted_part if stands else units
        throttle.asking = True
        self.count_use(throttle, job.counted)

    def doubtful(self, plan: Plan, sure: bool) -> bool:
        """True where an uncounted request would more likely cost than earn, by those that were counted."""
        granted = self.granted[plan.name, sure]
        return granted + (1.0 - granted) * (plan.beyond_worth - plan.beyond_cost) < 0

    def count_use(self, throttle: Throttle, asked: float, right: float = 0.0) -> None:
        self.turn_epoch(throttle)
        name = f"{throttle.customer}.{int(self.turn.now // EPOCH)}"
        self.calls += 1
        throttle.calls.append((name, asked, throttle.uncounted + asked, self.calls))
        self.count(throttle, name, throttle.uncounted + asked + right, EPOCH, right)
        throttle.uncounted = 0.0

    def count(self, throttle: Throttle, name: str, amount: float, life: float, right: float = 0.0) -> None:
        self.turn.actions.append(Count(
            name, amount, life, throttle.first, throttle.width, throttle.plan.rate, throttle.thin, right,
            self.calls))

    def tell_later(self, job: Job) -> None:
        if job.throttle.thin and job.counted == 0:
            job.counted = job.request.units
            self.tell_soon(job.throttle, job.counted)

    def take_back(self, job: Job) -> None:
        if job.throttle.thin and job.counted > 0:
            self.tell_soon(job.throttle, -job.counted)
            job.counted = 0.0

    def turn_epoch(self, throttle: Throttle) -> None:
        """What an epoch's name was not told in time is not charged to the next one's."""
        epoch = int(self.turn.now // EPOCH)
        if self.repays and epoch != throttle.epoch:
            throttle.epoch, throttle.uncounted = epoch, 0.0

    def tell_soon(self, throttle: Throttle, units: float) -> None:
        self.turn_epoch(throttle)
        throttle.uncounted += units
        if not throttle.counting:
            throttle.counting = True
            wait = SOON * PERIOD / self.counted_part
            wait = min(wait, PERIOD) if self.repays else wait  # what it says of an error holds in a crowd too
            self.turn.actions.append(SetTimer(wait, "c" + throttle.customer))

    def level_read(self, throttle: Throttle, event: Counted) -> None:
        """Sets the level by the units sent on since the name's start; keeps the sum near a burst of it."""
        number, name = event.call, event.name
        call = next((c for c in throttle.calls if (c[3] == number if number else c[0] == name)), None)
        if call is None:
            return
        throttle.calls.remove(call)
        if event.outcome is Outcome.SERVED:
            burst = throttle.plan.burst
            spare = throttle.plan.rate * (self.turn.now % EPOCH) - event.total  # unused, were there no burst
            if spare > burst and event.total <= call[2] + EPS:
                self.count_use(throttle, 0.0, spare)  # a new or forgotten name: its first caller
            elif call[2] and spare > (RIGHT_FROM if self.repays else SOON) * burst:
                self.count_use(throttle, 0.0, min(spare, burst / 2))  # others may be doing the same
            throttle.set_share(1.0, self.turn.now)
            level = burst + spare + call[1]
            first = throttle.queue[0] if throttle.queue else None
            if call[1] > 0 and first is not None and first.counted > 0:
                key = (throttle.plan.name, first.sure)
                self.granted[key] += BLEND * ((level >= first.request.units) - self.granted[key])
            if level < 0 < call[2] - call[1] and not self.repays:  # beyond the quota: it takes nothing of it
                self.tell_soon(throttle, -min(call[2] - call[1], -level))
            throttle.level = min(burst, level) - throttle.held
            throttle.fresh_until = self.turn.now + PERIOD / 10
            throttle.read_until = self.turn.now + READING_LIFE * PERIOD
        else:
            self.turn_epoch(throttle)
            past = self.repays and not event.name.endswith(f".{throttle.epoch}")
            if event.outcome is not Outcome.TIMED_OUT and not past:
                throttle.uncounted += call[2]
            if self.repays and call[1] > 0:  # what is known of the others ends here: no more than the share
                throttle.set_share(1.0 / throttle.width, self.turn.now)
            if self.repays and throttle.uncounted and not throttle.counting:
                throttle.counting = True  # told as soon as it can be, though no request may come here again
                self.turn.actions.append(SetTimer(PERIOD, "c" + throttle.customer))
        throttle.asking = False
        self.release(throttle)
