"""Demand over all gateways: what is reported of a customer's use, and the slice that follows. No I/O."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from embersill.fleet import BLEND
from embersill.interface import Count, CounterResult, Outcome, Plan, SetTimer
from embersill.throttle import PERIOD, Throttle, slice_of
from embersill.turn import Turn
from embersill.work import EPS, Job

READING_LIFE = 2.5  # periods for which a reading sets the slice: outlives one lost call, not an outage
DEMAND_BLEND = 0.5  # weight of the last period in the smoothed demand, which a few requests make jump
NEED_SHARE = 0.8  # of the even slice demanded, or of the bank spent, from which a customer is counted
LEAST_SLICE = 0.1  # of the even slice, always kept: a customer who moves to this gateway is not shut out
EPOCH = 60.0  # seconds of use that one counter name of a thin slice sums up: names are kept no longer
COUNTED_GATEWAYS = 100.0  # gateways whose calls, few each, a counter is assumed to serve in full at first
SOON = 0.25  # of the period until use is reported; of the burst unused until the sum is corrected
RIGHT_FROM = 0.05  # the latter where lost sums are reported again, and their error is stated
COUNT_MORE = 1.1  # factor on the counted part of thin requests for each prompt answer of the counter
COUNT_LESS = 0.7  # the same for a call that it rejects or answers late: at most one call in five fails
PROMPT = 1.25  # times the counter's shortest time, up to which an answer is prompt: it met hardly any queue
SHORTEST_GROWS = 1.001  # factor on the shortest time for each answer: the counter may have become slower
SILENT_FROM = 3  # consecutive failed calls from which the counter counts as down, not just overloaded
MIN_COUNTED_PART = 0.05  # of requests: with fewer counted the end of an overload would go unnoticed


class Totals:
    """Reports this gateway's use to the counter service, and reads the total of all gateways from it."""

    def __init__(self, turn: Turn, throttles: dict[str, Throttle], repays: bool) -> None:
        """`repays`: use beyond a quota, unknown to the other gateways, is charged to it afterwards."""
        self.turn, self.throttles, self.repays = turn, throttles, repays
        self.release: Callable[[Throttle], None] = lambda throttle: None  # admits what a reading allows
        settings = turn.settings
        self.quiet_until, self.count_fails = turn.now, 0
        self.calls = 0  # calls made to the counter
        self.shortest = settings.counter_patience  # shortest time of a counter's answer
        self.counted_part = min(1.0, COUNTED_GATEWAYS / settings.gateways)
        # fraction of the counted thin requests that had credit, by plan and whether the slice covered them
        self.granted = {(p.name, sure): float(sure) for p in settings.plans for sure in (False, True)}

    def start_counting(self, throttle: Throttle) -> None:
        """Sets a timer for a customer with new use, once a second at the same moment at all its gateways."""
        if not self.turn.settings.counter or throttle.counting:
            return
        if throttle.width < 2 or throttle.plan.rate <= 0:
            return
        throttle.counting = True
        due = (self.turn.now // PERIOD + 1 + (zlib.crc32(throttle.customer.encode()) % 997) / 1250) * PERIOD
        self.turn.actions.append(SetTimer(max(due - self.turn.now, 1e-6), "c" + throttle.customer))

    def add_demand(self, throttle: Throttle) -> None:
        """Reports the last second's demand, but not of customers far from their quota, who don't need it."""
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
        needy = needy or self.turn.settings.count_all_customers
        if self.turn.now >= self.quiet_until and needy:
            throttle.added = asked
            if asked > 0:
                self.count(throttle, f"{throttle.customer}.{second}", asked, 4 * PERIOD)
            wait = max(self.turn.settings.counter_patience, EPS)
            self.turn.actions.append(SetTimer(wait, f"d{second} {throttle.customer}"))
        self.release(throttle)

    def counted(self, event: CounterResult) -> None:
        throttle = self.throttles.get(event.name.rpartition(".")[0])
        if event.alone:
            pass  # the keeper of the counts backs off for that name alone; calls for others go on
        elif event.outcome is Outcome.SERVED:
            self.count_fails = 0
            self.shortest = min(self.shortest * SHORTEST_GROWS, event.elapsed)
            if event.elapsed <= PROMPT * self.shortest:
                self.counted_part = min(1.0, self.counted_part * COUNT_MORE)
        else:
            self.count_fails = min(self.count_fails + 1, 4)  # longer back-off; the slice is even
            if event.outcome is Outcome.NO_CONNECTION or self.count_fails >= SILENT_FROM:
                self.quiet_until = self.turn.now + PERIOD * 2 ** self.count_fails / 8
            else:  # overloaded
                self.counted_part = max(self.counted_part * COUNT_LESS, MIN_COUNTED_PART)
        if throttle is not None and throttle.thin:
            self.level_read(throttle, event)
        elif throttle is not None and event.outcome is Outcome.SERVED and event.name == throttle.reading:
            throttle.reading = ""
            self.read_total(throttle, event.total)

    def read_total(self, throttle: Throttle, total: float) -> None:
        if total < throttle.added * (1.0 - 1e-6) - EPS:
            return  # the counter lost counts: the previous reading stays in force
        throttle.total += DEMAND_BLEND * (total / PERIOD - throttle.total)
        throttle.total = max(throttle.total, throttle.own)
        throttle.read_until = self.turn.now + READING_LIFE * PERIOD
        rate = slice_of(throttle.own, throttle.total, throttle.plan.rate, throttle.width)
        least = LEAST_SLICE / throttle.width
        throttle.set_share(max(rate / throttle.plan.rate, least), self.turn.now)
        self.release(throttle)

    def read_level(self, job: Job) -> None:
        """Asks the counter for the level of a customer's whole quota where the slice here is too thin.

        A slice is thin where many gateways share a quota: its bank never holds a whole request, and its
        demand in a second is 0 or 1. Such a quota is not split: a reading gives the level of all of it, from
        the units that all gateways admitted. If the counter is overloaded, a sample is counted for the rest.
        """
        throttle, units = job.throttle, job.request.units
        even = self.turn.now >= throttle.read_until
        if even and throttle.share == 1.0:
            throttle.set_share(1.0 / throttle.width, self.turn.now)
        if throttle.asking or self.turn.now < max(throttle.fresh_until, self.quiet_until):
            return
        wait = throttle.wait(units)
        if not even and wait > job.hold_until - self.turn.now:
            return  # not enough, even if no other gateway has used any since
        sure = wait <= 0 and (even or throttle.level >= throttle.bank / 2)
        passes = not self.doubtful(throttle.plan, sure)
        if self.turn.random.random() >= self.counted_part:
            if self.repays:  # what a crowded counter leaves unknown is no reason to exceed the share
                return throttle.set_share(1.0 / throttle.width, self.turn.now)
            job.counted, job.trusted = -1.0, passes
            return
        # a counted request stands for the uncounted ones too, unless these are reported afterwards
        stands = passes and not self.repays
        job.sure, job.counted = sure, units / self.counted_part if stands else units
        throttle.asking = True
        self.count_use(throttle, job.counted)

    def doubtful(self, plan: Plan, sure: bool) -> bool:
        """Whether an uncounted request has a negative expected value, judged by the counted ones."""
        granted = self.granted[plan.name, sure]
        return granted + (1.0 - granted) * (plan.beyond_worth - plan.beyond_cost) < 0

    def count_use(self, throttle: Throttle, asked: float, right: float = 0.0) -> None:
        self.start_epoch(throttle)
        name = f"{throttle.customer}.{int(self.turn.now // EPOCH)}"
        self.calls += 1
        throttle.calls.append((name, asked, throttle.uncounted + asked, self.calls))
        self.count(throttle, name, throttle.uncounted + asked + right, EPOCH, right)
        throttle.uncounted = 0.0

    def count(self, throttle: Throttle, name: str, amount: float, life: float, right: float = 0.0) -> None:
        self.turn.actions.append(Count(
            name, amount, life, throttle.first, throttle.width, throttle.plan.rate, throttle.thin, right,
            self.calls))

    def report_later(self, job: Job) -> None:
        if job.throttle.thin and job.counted == 0:
            job.counted = job.request.units
            self.report_soon(job.throttle, job.counted)

    def take_back(self, job: Job) -> None:
        if job.throttle.thin and job.counted > 0:
            self.report_soon(job.throttle, -job.counted)
            job.counted = 0.0

    def start_epoch(self, throttle: Throttle) -> None:
        """Drops use that was not reported within its epoch: it is not charged to the next one."""
        epoch = int(self.turn.now // EPOCH)
        if self.repays and epoch != throttle.epoch:
            throttle.epoch, throttle.uncounted = epoch, 0.0

    def report_soon(self, throttle: Throttle, units: float) -> None:
        self.start_epoch(throttle)
        throttle.uncounted += units
        if not throttle.counting:
            throttle.counting = True
            wait = SOON * PERIOD / self.counted_part
            wait = min(wait, PERIOD) if self.repays else wait  # the stated error holds under load too
            self.turn.actions.append(SetTimer(wait, "c" + throttle.customer))

    def level_read(self, throttle: Throttle, event: CounterResult) -> None:
        """Sets the level by the units admitted since the epoch began; keeps the sum within a burst of it."""
        number, name = event.call, event.name
        call = next((c for c in throttle.calls if (c[3] == number if number else c[0] == name)), None)
        if call is None:
            return
        throttle.calls.remove(call)
        if event.outcome is Outcome.SERVED:
            burst = throttle.plan.burst
            spare = throttle.plan.rate * (self.turn.now % EPOCH) - event.total  # unused, without any burst
            if spare > burst and event.total <= call[2] + EPS:
                self.count_use(throttle, 0.0, spare)  # a new or forgotten name: the first caller corrects it
            elif call[2] and spare > (RIGHT_FROM if self.repays else SOON) * burst:
                self.count_use(throttle, 0.0, min(spare, burst / 2))  # others may correct it too
            throttle.set_share(1.0, self.turn.now)
            level = burst + spare + call[1]
            first = throttle.queue[0] if throttle.queue else None
            if call[1] > 0 and first is not None and first.counted > 0:
                key = (throttle.plan.name, first.sure)
                self.granted[key] += BLEND * ((level >= first.request.units) - self.granted[key])
            if level < 0 < call[2] - call[1] and not self.repays:  # beyond the quota: not charged to it
                self.report_soon(throttle, -min(call[2] - call[1], -level))
            throttle.level = min(burst, level) - throttle.held
            throttle.fresh_until = self.turn.now + PERIOD / 10
            throttle.read_until = self.turn.now + READING_LIFE * PERIOD
        else:
            self.start_epoch(throttle)
            past = self.repays and not event.name.endswith(f".{throttle.epoch}")
            if event.outcome is not Outcome.TIMED_OUT and not past:
                throttle.uncounted += call[2]
            if self.repays and call[1] > 0:  # the others' use is now unknown: no more than the share
                throttle.set_share(1.0 / throttle.width, self.turn.now)
            if self.repays and throttle.uncounted and not throttle.counting:
                throttle.counting = True  # reported as soon as possible, even if no further request comes
                self.turn.actions.append(SetTimer(PERIOD, "c" + throttle.customer))
        throttle.asking = False
        self.release(throttle)
