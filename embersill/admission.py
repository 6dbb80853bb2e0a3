"""Admission by the throttles: whether a request is sent at once, held in a queue, or rejected. No I/O."""

from __future__ import annotations

import math
from collections import deque

from embersill.interface import Allotted, Plan, Question, SetTimer, Shared, Take, Verdict
from embersill.throttle import PERIOD, Throttle
from embersill.totals import Totals
from embersill.turn import Turn
from embersill.work import EPS, AdmissionSink, Job

HOLD_SHARE = 0.4  # of the aim, for which a request may wait for credit: the rest is for the backend
SPARE_CAPACITY = 0.5  # of the in-flight limit, below which requests beyond a quota are sent if it pays


class Admission:
    """The throttles of all customers here. Requests that they admit or reject are passed to `after`."""

    hold_share = HOLD_SHARE
    strict = False  # rejects a held request as soon as its credit is known to come too late

    def __init__(self, turn: Turn, totals: Totals, after: AdmissionSink) -> None:
        self.turn, self.totals, self.after, self.born = turn, totals, after, turn.now
        self.throttles = totals.throttles
        self.sweep: deque[str] = deque()
        self.processes = 1  # processes of this gateway, which split its ceilings
        totals.release = self.release

    def admit(self, job: Job) -> None:
        """Admits a request if there is credit, else holds it as long as it may wait, or rejects it."""
        request, klass, throttle = job.request, job.klass, job.throttle
        plan, units = throttle.plan, request.units
        throttle.refill(self.turn.now)
        throttle.note_demand(units, self.turn.now)
        bound = min(self.hold_share * klass.aim, (request.deadline - self.turn.now) / 2)
        job.hold_until = self.turn.now + bound
        if throttle.thin:
            self.totals.read_level(job)
        else:
            self.totals.start_counting(throttle)
        if job.counted < 0 and not job.trusted:
            return self.after.answer(job, PERIOD)
        free = not throttle.queue and throttle.may_open() and not throttle.asking
        if free and (job.trusted or throttle.wait(units) <= 0):
            throttle.level -= units if plan.rate > 0 else 0.0
            self.totals.report_later(job)
            return self.after.place(job)
        borrows = self.may_borrow(throttle)
        # the queue holds as many units as the rate brings within the longest wait
        behind = throttle.wait(0.0 if throttle.queue else units)
        if throttle.plan.rate > 0:
            behind = max(behind, (min(units, throttle.bank) - throttle.level) / throttle.rate)
        if behind > bound and not throttle.asking and not borrows:
            return self.overflow(job, behind)
        throttle.queue.append(job)
        throttle.held += units
        throttle.level -= units
        if borrows:
            self.borrow(throttle)
        self.release(throttle)
        self.turn.actions.append(SetTimer(max(bound, 1e-6), f"h{request.id}"))

    def may_borrow(self, throttle: Throttle) -> bool:
        """Whether a reserve may lend what the slice lacks; never here: there is no reserve."""
        return False

    def borrow(self, throttle: Throttle) -> None:
        """Asks the reserve for the units that the queue waits for."""

    def drop_held(self, job: Job) -> None:
        throttle = job.throttle
        throttle.dequeue(job)
        throttle.level += job.request.units
        self.totals.take_back(job)
        self.overflow(job, throttle.wait(job.request.units))

    def overflow(self, job: Job, wait: float) -> None:
        """Rejects a request beyond its quota, unless the plan makes it worth more than it costs.

        Then it is sent, uncharged, while the fleet has spare capacity: it takes nothing from other customers.
        """
        plan = job.throttle.plan
        pays = plan.beyond_worth > plan.beyond_cost and plan.ceiling_rate <= 0
        roomy = job.fleet.passed >= 1.0 and job.fleet.flight < SPARE_CAPACITY * job.fleet.limit
        if pays and roomy and not job.attempts and not job.ended:
            job.beyond = True
            return self.after.place(job)
        return self.after.answer(job, wait, True)

    def release(self, throttle: Throttle) -> None:
        """Admits held requests that the credit covers, rejects those held too long, sets the next timer."""
        throttle.refill(self.turn.now)
        while throttle.queue and not throttle.asking:
            job = throttle.queue[0]
            wait = throttle.wait(job.request.units)
            if job.ended or (throttle.thin or self.strict) and self.turn.now + wait > job.hold_until + EPS:
                self.drop_held(job)
            elif throttle.may_open() and wait <= EPS:
                throttle.dequeue(job)
                self.totals.report_later(job)
                self.after.place(job)
            else:
                due = self.turn.now + wait
                if throttle.may_open() and (throttle.timer <= self.turn.now or due < throttle.timer - EPS):
                    throttle.timer = due
                    self.turn.actions.append(SetTimer(max(wait, 1e-6), "r" + throttle.customer))
                return

    def join(self, customer: str, width: int, plan: Plan, first: int = -1) -> Throttle:
        """Creates a customer's throttle; also checks two others, to evict idle ones without a full scan."""
        for _ in range(min(2, len(self.sweep))):
            candidate = self.sweep.popleft()
            old, now = self.throttles[candidate], self.turn.now
            if old.read_until < now and old.second < now // PERIOD and old.idle(now):
                del self.throttles[candidate]
            else:
                self.sweep.append(candidate)
        most = self.turn.settings.most_units if self.turn.settings.counter else 0.0
        # with `repays` every customer is counted by sums, however large its slice
        most = math.inf if self.totals.repays else most
        width = max(1, width or self.turn.settings.gateways)
        throttle = Throttle(customer, plan, width, self.turn.now, self.born, most, first)
        throttle.level *= self.turn.settings.initial_fill
        if self.processes > 1:
            throttle.set_ceiling(1.0 / width / self.processes, self.turn.now)
        self.throttles[customer] = throttle
        self.sweep.append(customer)
        return throttle

    def allotted(self, event: Allotted) -> None:
        """Sets the part of a customer's quota and ceiling that the instance in charge allots to this one."""
        plan = self.turn.plans.get(event.plan)
        if plan is not None:
            throttle = self.throttles.get(event.customer) or self.join(event.customer, 1, plan)
            throttle.allot(event, self.turn.now)
            self.release(throttle)

    def question(self, event: Question) -> None:
        """Grants all takes of another program's question, from the throttles that requests use, or none.

        It is decided at once: it never waits in a queue, and does not overtake the requests held there.
        """
        wanted: dict[str, float] = {}  # a customer may occur in it twice
        asked: list[tuple[Take, Throttle, bool]] = []
        for take in event.takes:
            throttle = self.throttles.get(take.customer) or self.join(take.customer, take.width, take.plan)
            if throttle.thin and self.turn.now >= throttle.read_until and throttle.share == 1.0:
                throttle.set_share(1.0 / throttle.width, self.turn.now)
            throttle.refill(self.turn.now)
            throttle.note_demand(take.units, self.turn.now)
            if not throttle.thin:
                self.totals.start_counting(throttle)
            before = wanted.get(take.customer, 0.0)
            # more than the largest request is never granted
            most = max(throttle.bank, self.turn.settings.most_units)
            free = take.units <= 0 or (not throttle.queue and take.units <= most)
            granted = take.settles or (free and throttle.wait(take.units, before) <= 0)
            asked.append((take, throttle, granted))
            if granted or take.shadow:
                wanted[take.customer] = before + take.units
        whole = all(granted or take.shadow for take, _, granted in asked)
        for take, throttle, granted in asked if whole else ():
            if take.shadow and not granted:
                continue  # it would have been refused: a shadow limit charges only what it would have granted
            throttle.level -= take.units if throttle.plan.rate > 0 else 0.0
            if not take.settles:
                throttle.charge(take.units, self.turn.now).final = True
            if throttle.thin and take.units > 0:
                self.totals.report_soon(throttle, take.units)
        states = tuple(throttle.state(take.units, granted) for take, throttle, granted in asked)
        self.turn.actions.append(Verdict(event.id, whole, states))

    def share_ceilings(self, event: Shared) -> None:
        """Halves every ceiling while two processes of this gateway run, and restores it afterwards."""
        if (self.processes == 2) == event.on:
            return
        self.processes = 2 if event.on else 1
        for throttle in self.throttles.values():
            throttle.set_ceiling(1.0 / throttle.width / self.processes, self.turn.now)
