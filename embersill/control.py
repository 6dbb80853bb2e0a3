"""Every decision of a gateway. Its types, events and actions stand in embersill/interface.py."""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Callable

from embersill.interface import (
    Action, Allotted, AttemptEnded, Backend, BackendList, Cancel, ClientLeft, Count,
    Counted, Event, Fail, Held, Inherited, ListKind, Outcome, Plan, Question, Refuse, Repeats, Request,
    RequestClass, Ruled, Scope, Send, SetTimer, Settings, Shared, Status, StreamBegun, Subscribe, Take,
    TimerDue, Verdict,
)
from embersill.fleet import BLEND, Fleet
from embersill.throttle import PERIOD, Charge, Throttle, slice_of
from embersill.turn import Turn
from embersill.work import EPS, WORST, Attempt, Job, Server, group_of

HOLD_SHARE = 0.4  # of the aim that a request may wait for credit: the rest must do for the backend
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
ROOMY = 0.5  # of the limit on what is out, below which requests beyond a quota that pays for them go on
LEAST_PART = 0.05  # of requests that are counted: with less nothing would tell that it is over
WORTH_WAITING = 0.5  # of the worth left after the aim for which an attempt is kept on until the deadline


class Gateway:
    """Decides for one gateway, on its settings and the events that it is given, and on nothing else."""

    strict = False  # what can't be had within the wait bound is turned away as soon as that is known

    def __init__(self, settings: Settings, seed: int, now: float, repays: bool = False) -> None:
        """`repays`: what was sent on beyond a quota unknown to the others is taken from it afterwards."""
        check(settings)
        self.turn, self.repays, self.born = Turn(settings, seed, now), repays, now
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.servers: dict[str, Server] = {}
        self.fleets: dict[str, Fleet] = {}  # by service; where there is but one its name is empty
        self.held: set[str] = set()  # taken out of use by hand, listed or not
        self.processes = 1  # of this gateway, that keep its ceilings together
        self.jobs: dict[int, Job] = {}
        self.throttles: dict[str, Throttle] = {}
        self.sweep: deque[str] = deque()
        # attempts by when they are late, by class: each class's timer is set while there are any
        self.late: dict[str, deque[tuple[float, Attempt]]] = {c.name: deque() for c in settings.classes}
        self.quiet_until, self.count_fails = now, 0
        self.calls = 0  # of the counter, so far
        self.shortest = settings.counter_patience  # seconds of the counter's shortest answer
        self.counted_part = min(1.0, COUNTED_GATEWAYS / settings.gateways)
        self.handlers: dict[type, Callable[..., None]] = {
            Request: self.arrive, AttemptEnded: self.attempt_ended, TimerDue: self.timer_due,
            Counted: self.counted, BackendList: self.list_changed, ClientLeft: self.client_left,
            StreamBegun: self.stream_begun, Allotted: self.allotted, Inherited: self.inherited,
            Question: self.question, Ruled: self.ruled, Held: self.take_out, Shared: self.share_ceilings,
        }
        # part of the counted thin requests that had the credit, by plan and whether the slice covered them
        self.granted = {(p.name, sure): float(sure) for p in settings.plans for sure in (False, True)}

    def handle(self, event: Event, now: float) -> list[Action]:
        if now > self.turn.now:
            self.turn.now = now
        self.turn.actions = []
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        return self.turn.actions

    @property
    def settings(self) -> Settings:
        return self.turn.settings

    def new_fleet(self) -> Fleet:
        return Fleet(self.turn, self.may_send)

    def fleet(self, service: str) -> Fleet:
        """The backends of a service, made as it is first named."""
        fleet = self.fleets.get(service)
        if fleet is None:
            fleet = self.fleets[service] = self.new_fleet()
        return fleet

    def stream_begun(self, event: StreamBegun) -> None:
        """The answer is on its way to the client: nothing else ends the request, and it is late no more."""
        job = self.jobs.get(event.request)
        if job is None or job.streaming or not 0 <= event.attempt < len(job.attempts):
            return
        job.streaming = True
        attempt = job.attempts[event.attempt]
        if attempt.out and not attempt.begun:
            attempt.begun = True  # its backend is free of it, as far as limits and costs are concerned
            attempt.server.flight -= 1
            attempt.server.overdue -= attempt.overdue
            job.fleet.flight -= not attempt.overdue


    def arrive(self, request: Request) -> None:
        if request.id in self.jobs:
            return
        klass, plan = self.classes.get(request.klass), self.plans.get(request.plan)
        if klass is None or plan is None or request.deadline <= self.turn.now:
            return self.turn.actions.append(Refuse(request.id, 0.0))
        throttle = self.throttles.get(request.customer) or self.join(
            request.customer, request.width, plan, request.first_gateway)
        self.jobs[request.id] = job = Job(
            request, klass, throttle, self.fleet(request.service), self.turn.now)
        units = request.units
        throttle.refill(self.turn.now)
        throttle.note_demand(units, self.turn.now)
        bound = min(HOLD_SHARE * klass.aim, (request.deadline - self.turn.now) / 2)
        job.hold_until = self.turn.now + bound
        if throttle.thin:
            self.read_level(job)
        else:
            self.start_counting(throttle)
        if job.counted < 0 and not job.trusted:
            return self.answer(job, PERIOD)
        free = not throttle.queue and throttle.has_open() and not throttle.asking
        if free and (job.trusted or throttle.wait(units) <= 0):
            throttle.level -= units if plan.rate > 0 else 0.0
            self.tell_later(job)
            return self.place(job)
        borrows = self.may_borrow(throttle)
        # the buffer: as many units as the rate brings within the wait bound
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
        """True where others may have what a slice lacks: not here, where it is a quota's whole part."""
        return False

    def borrow(self, throttle: Throttle) -> None:
        """Asks for what the buffer here waits for."""

    def drop_held(self, job: Job) -> None:
        throttle = job.throttle
        throttle.unhold(job)
        throttle.level += job.request.units
        self.take_back(job)
        self.overflow(job, throttle.wait(job.request.units))

    def overflow(self, job: Job, wait: float) -> None:
        """Refuses what the buffer does not hold, but where the plan pays for it beyond its quota.

        There it goes on uncharged while the fleet has room: it takes nothing that is meant for another.
        """
        plan = job.throttle.plan
        pays = plan.beyond_worth > plan.beyond_cost and plan.ceiling_rate <= 0
        roomy = job.fleet.passed >= 1.0 and job.fleet.flight < ROOMY * job.fleet.limit
        if pays and roomy and not job.attempts and not job.ended:
            job.beyond = True
            return self.place(job)
        return self.answer(job, wait, True)

    def release(self, throttle: Throttle) -> None:
        """Lets go what the credit covers, turns away what waited too long, and sets the next exact timer."""
        throttle.refill(self.turn.now)
        while throttle.queue and not throttle.asking:
            job = throttle.queue[0]
            wait = throttle.wait(job.request.units)
            if job.ended or (throttle.thin or self.strict) and self.turn.now + wait > job.hold_until + EPS:
                self.drop_held(job)
            elif throttle.has_open() and wait <= EPS:
                throttle.unhold(job)
                self.tell_later(job)
                self.place(job)
            else:
                due = self.turn.now + wait
                if throttle.has_open() and (throttle.timer <= self.turn.now or due < throttle.timer - EPS):
                    throttle.timer = due
                    self.turn.actions.append(SetTimer(max(wait, 1e-6), "r" + throttle.customer))
                return

    def join(self, customer: str, width: int, plan: Plan, first: int = -1) -> Throttle:
        """A throttle for a customer; two others are looked at, so that idle full ones go without a scan."""
        for _ in range(min(2, len(self.sweep))):
            looked_at = self.sweep.popleft()
            old, now = self.throttles[looked_at], self.turn.now
            if old.read_until < now and old.second < now // PERIOD and old.idle(now):
                del self.throttles[looked_at]
            else:
                self.sweep.append(looked_at)
        most = self.turn.settings.most_units if self.turn.settings.counter else 0.0
        most = math.inf if self.repays else most  # then sums tell of every customer, however wide its slice
        width = max(1, width or self.turn.settings.gateways)
        throttle = Throttle(customer, plan, width, self.turn.now, self.born, most, first)
        throttle.level *= self.turn.settings.banks_from
        if self.processes > 1:
            throttle.set_ceiling(1.0 / width / self.processes, self.turn.now)
        self.throttles[customer] = throttle
        self.sweep.append(customer)
        return throttle

    def allotted(self, event: Allotted) -> None:
        """Takes over the part of a customer's quota and ceiling that whoever deals them out gives it."""
        plan = self.plans.get(event.plan)
        if plan is not None:
            throttle = self.throttles.get(event.customer) or self.join(event.customer, 1, plan)
            throttle.allot(event, self.turn.now)
            self.release(throttle)

    def inherited(self, event: Inherited) -> None:
        """Goes on with a request that another instance began: nothing is charged, no attempt forgotten."""
        request = event.request
        klass, plan = self.classes.get(request.klass), self.plans.get(request.plan)
        if request.id in self.jobs:
            return None
        if klass is None or plan is None:
            return self.turn.actions.append(Fail(request.id))  # an attempt may have run
        throttle = self.throttles.get(request.customer) or self.join(
            request.customer, request.width, plan, request.first_gateway)
        self.jobs[request.id] = job = Job(
            request, klass, throttle, self.fleet(request.service), self.turn.now - event.age)
        last = Outcome.NOT_SENT
        for address, age, outcome in event.attempts:
            # one that is gone shares its repeats' memory with no backend that is known
            unknown = Backend(address, "\0", "", -1, Status.GONE, 1.0, None)
            server = self.servers.get(address) or Server(unknown, 1.0, self.turn.now)
            attempt = Attempt(server, job.fleet, self.turn.now - age, job.fleet.usual_for(job))
            job.attempts.append(attempt)
            if outcome is None:
                self.count_out(job, attempt)
                late = self.turn.settings.late_at * klass.aim - age
                self.watch(klass, attempt, self.turn.now + max(late, EPS))
            else:
                attempt.out, attempt.unrun, last = False, outcome.never_ran, outcome
                attempt.nowhere = outcome.came_nowhere
        job.risky = next((a for a in job.attempts if not a.unrun), None)
        if any(not a.nowhere for a in job.attempts):
            job.charge = Charge(self.turn.now, request.units, True)  # taken from the ceiling where it began
        return None if job.out else self.after_failure(job, last)

    def question(self, event: Question) -> None:
        """Grants another program's question from the throttles that requests use, whole or not at all.

        It is decided at once: nothing waits in the buffer for it, and it does not overtake what waits there.
        """
        wanted: dict[str, float] = {}  # a customer may stand in it twice
        asked: list[tuple[Take, Throttle, bool]] = []
        for take in event.takes:
            throttle = self.throttles.get(take.customer) or self.join(take.customer, take.width, take.plan)
            if throttle.thin and self.turn.now >= throttle.read_until and throttle.share == 1.0:
                throttle.set_share(1.0 / throttle.width, self.turn.now)
            throttle.refill(self.turn.now)
            throttle.note_demand(take.units, self.turn.now)
            if not throttle.thin:
                self.start_counting(throttle)
            before = wanted.get(take.customer, 0.0)
            # no request takes more, nor may a question
            most = max(throttle.bank, self.turn.settings.most_units)
            free = take.units <= 0 or (not throttle.queue and take.units <= most)
            granted = take.settles or (free and throttle.wait(take.units, before) <= 0)
            asked.append((take, throttle, granted))
            if granted or take.shadow:
                wanted[take.customer] = before + take.units
        whole = all(granted or take.shadow for take, _, granted in asked)
        for take, throttle, granted in asked if whole else ():
            if take.shadow and not granted:
                continue  # it would have been refused: a shadow counts what it would have let through
            throttle.level -= take.units if throttle.plan.rate > 0 else 0.0
            if not take.settles:
                throttle.charge(take.units, self.turn.now).final = True
            if throttle.thin and take.units > 0:
                self.tell_soon(throttle, take.units)
        states = tuple(throttle.state(take.units, granted) for take, throttle, granted in asked)
        self.turn.actions.append(Verdict(event.id, whole, states))

    def ruled(self, event: Ruled) -> None:
        """Places a request whose quota another service has granted, or refuses it by that service's word."""
        request = event.request
        klass, plan = self.classes.get(request.klass), self.plans.get(request.plan)
        if request.id in self.jobs:
            return None
        if klass is None or plan is None or request.deadline <= self.turn.now:
            return self.turn.actions.append(Refuse(request.id, 0.0))
        throttle = self.throttles.get(request.customer) or self.join(
            request.customer, request.width, plan, request.first_gateway)
        throttle.refill(self.turn.now)
        self.jobs[request.id] = job = Job(
            request, klass, throttle, self.fleet(request.service), self.turn.now)
        job.beyond = True  # nothing is charged here, so nothing is given back or settled
        return self.place(job) if event.allowed else self.answer(job, event.retry_after)

    def count_out(self, job: Job, attempt: Attempt) -> None:
        attempt.server.flight += 1
        job.fleet.flight += 1
        job.throttle.open += 1
        job.out += 1

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


    def place(self, job: Job) -> None:
        """Finds a backend for a request that has its credit, or turns it away."""
        server = None if not job.attempts and job.fleet.pressed(job) else job.fleet.choose(job)
        if server is None:
            self.give_up(job)
        else:
            self.send(job, server)

    def give_up(self, job: Job) -> None:
        throttle = job.throttle
        if throttle.plan.rate > 0 and not job.attempts and not job.beyond:
            throttle.level = min(throttle.level + job.request.units, throttle.bank - throttle.held)
            self.take_back(job)
        self.answer(job, PERIOD)

    def may_send(self, job: Job, server: Server) -> bool:
        """The rules for one more attempt, each checked here and nowhere else."""
        settings, first, plan = self.turn.settings, job.risky, job.throttle.plan
        if job.ended or job.streaming or self.turn.now >= job.request.deadline:
            return False
        known = self.servers.get(server.backend.address) is server and server.flight < server.limit
        if server.backend.status is not Status.SERVING or not known:
            return False
        if self.held and server.backend.address in self.held:
            return False
        most = job.klass.attempts or settings.max_attempts
        if len(job.attempts) >= most or (job.out and not settings.second_copies):
            return False
        if first is not None and job.klass.repeats is Repeats.ONCE:
            return False
        if first is not None and job.klass.repeats is Repeats.BY_KEY:
            apart = group_of(job.klass, first.server) != group_of(job.klass, server)
            if apart or self.turn.now - first.sent >= job.klass.memory:
                return False
        if not server.warm and not server.backend.slots and server is not job.fleet.drawn:
            if server.cold_share(self.turn.now, settings) < 1.0:
                return False
        return job.charge is not None or plan.ceiling_rate <= 0 or job.request.units <= job.throttle.cap + EPS

    def send(self, job: Job, server: Server) -> None:
        """The one place where an attempt starts."""
        if not self.may_send(job, server):
            return self.give_up(job)
        if job.charge is None and job.throttle.plan.ceiling_rate > 0:
            job.charge = job.throttle.charge(job.request.units, self.turn.now)
        if not job.attempts:
            fleet = job.fleet  # a part of a further attempt is earned
            fleet.retry_credit = min(fleet.retry_credit + self.turn.settings.retry_share, fleet.most_credit)
        attempt = Attempt(server, job.fleet, self.turn.now, job.fleet.usual_for(job))
        self.count_out(job, attempt)
        job.attempts.append(attempt)
        send = Send(job.request.id, server.backend.address, self.useful_until(job) - self.turn.now)
        if job.risky is None:
            job.risky = attempt
        elif job.klass.repeats is Repeats.BY_KEY:  # a dial may outlast what the key is remembered for
            send.write_by = job.risky.sent + job.klass.memory
        self.turn.actions.append(send)
        self.watch(job.klass, attempt, self.turn.now + max(self.turn.settings.late_at * job.klass.aim, EPS))

    def useful_until(self, job: Job) -> float:
        # an attempt is given up once its answer is worth little, or a backlog of such work builds up
        end = job.arrived + job.klass.aim if job.klass.late_share < WORTH_WAITING else job.request.deadline
        return min(job.request.deadline, max(end, self.turn.now + self.turn.settings.late_at * job.klass.aim))

    def watch(self, klass: RequestClass, attempt: Attempt, due: float) -> None:
        """Looks at an attempt when it is late. One timer a class, which skips the many that have ended."""
        watched = self.late[klass.name]
        if not watched:
            self.turn.actions.append(SetTimer(due - self.turn.now, "o" + klass.name))
        watched.append((due, attempt))

    def look_for_late(self, klass: str) -> None:
        watched = self.late.get(klass, ())
        while watched and (watched[0][0] <= self.turn.now + EPS or not watched[0][1].out):
            _, attempt = watched.popleft()
            if attempt.out and not attempt.begun:
                self.attempt_late(attempt)
        if watched:
            self.turn.actions.append(SetTimer(max(watched[0][0] - self.turn.now, EPS), "o" + klass))

    def attempt_late(self, attempt: Attempt) -> None:
        attempt.overdue = True  # speaks at once, and no longer fills the limit that sound backends need
        attempt.server.overdue += 1
        attempt.fleet.flight -= 1
        attempt.fleet.judge(True, attempt.server)


    def attempt_ended(self, event: AttemptEnded) -> None:
        job = self.jobs.get(event.request)
        if job is None or not 0 <= event.attempt < len(job.attempts) or not job.attempts[event.attempt].out:
            return
        attempt = job.attempts[event.attempt]
        attempt.out, attempt.unrun = False, event.outcome.never_ran
        if not attempt.begun:
            attempt.server.flight -= 1
            attempt.server.overdue -= attempt.overdue
            job.fleet.flight -= not attempt.overdue
        job.out -= 1
        job.throttle.open -= 1
        if len(job.attempts) == 1:
            job.risky = None if attempt.unrun else attempt
        else:
            job.risky = next((a for a in job.attempts if not a.unrun), None)
        if job.charge is not None:
            attempt.nowhere = event.outcome.came_nowhere
            self.passed_on(job, job.charge, attempt)
        job.fleet.learn(job, attempt, event)
        self.settle(job, event.true_units)
        job.ended = job.ended or event.over
        if not job.ended and not job.out:
            self.after_failure(job, event.outcome)
        if job.ended and not job.out:
            self.jobs.pop(event.request, None)
        if job.throttle.queue and job.throttle.plan.concurrency > 0:
            self.release(job.throttle)

    def passed_on(self, job: Job, charge: Charge, attempt: Attempt) -> None:
        """A ceiling is taken from with the first attempt that comes to a backend, not with one before it."""
        if not attempt.nowhere:
            charge.final = True
        elif all(a.nowhere for a in job.attempts):
            job.throttle.uncharge(charge, self.turn.now)
            job.charge = None

    def settle(self, job: Job, true_units: float) -> None:
        throttle = job.throttle
        if true_units > 0 and not job.settled and throttle.plan.rate > 0 and not job.beyond:
            job.settled = True
            throttle.refill(self.turn.now)
            back = job.request.units - true_units
            throttle.level = min(throttle.level + back, throttle.bank - throttle.held)
            if throttle.thin and job.counted > 0:
                throttle.uncounted -= back * job.counted / job.request.units
            self.release(throttle)

    def after_failure(self, job: Job, outcome: Outcome) -> None:
        end = min(job.request.deadline, job.arrived + job.klass.aim)
        fleet = job.fleet
        if fleet.budgeted:  # by a budget that all gateways share: what came to a backend counts
            free = outcome.came_nowhere
        else:  # one turned away cost no work: only in overload does another come dear
            free = outcome.never_ran and self.turn.random.random() < fleet.passed
        useful = outcome is not Outcome.TIMED_OUT and end - self.turn.now > job.fleet.usual_for(job)
        if useful and (free or fleet.retry_credit >= 1.0):
            fleet.retry_credit -= 0.0 if free else 1.0
            self.place(job)
        else:
            self.answer(job, PERIOD)


    def answer(self, job: Job, retry_after: float, over_quota: bool = False) -> None:
        """The one place where the gateway ends a request; refuses only where a retry is proven harmless."""
        if job.ended or job.streaming:
            return
        job.ended = True
        keyed = job.klass.repeats is Repeats.BY_KEY and job.klass.scope is Scope.ALL
        harmless = keyed or job.klass.repeats is Repeats.SAFE
        if job.risky is not None and not harmless:
            self.turn.actions.append(Fail(job.request.id))
        else:
            longest = self.turn.settings.max_retry_after if self.turn.settings.retry_after else 0.0
            self.turn.actions.append(Refuse(job.request.id, min(max(retry_after, 0.0), longest), over_quota))
        self.call_off(job)
        if not job.out:
            self.jobs.pop(job.request.id, None)

    def call_off(self, job: Job) -> None:
        for number, attempt in enumerate(job.attempts):
            if attempt.out and self.turn.settings.may_cancel and not job.streaming:
                self.turn.actions.append(Cancel(job.request.id, number))

    def client_left(self, event: ClientLeft) -> None:
        job = self.jobs.get(event.request)
        if job is not None:
            job.ended = True
            self.call_off(job)
            self.release(job.throttle)
            if not job.out:
                self.jobs.pop(event.request, None)

    def timer_due(self, event: TimerDue) -> None:
        key = event.key
        if key == "list":
            return self.turn.actions.append(Subscribe())
        kind, rest = key[:1], key[1:]
        second, _, after = rest.partition(" ")
        if kind == "o":
            return self.look_for_late(rest)
        if kind == "h":
            job = self.jobs.get(int(rest))
            if job is not None and job in job.throttle.queue:
                # each held one has its own end, wherever it stands: its client may have less patience
                job.throttle.refill(self.turn.now)
                self.drop_held(job)
                self.release(job.throttle)
            return None
        rest = after if kind == "d" else rest
        throttle = self.throttles.get(rest)
        if throttle is None:
            return None
        if kind == "r":
            throttle.timer = 0.0
            self.release(throttle)
        elif kind == "c":
            self.add_demand(throttle)
        elif kind == "d" and self.turn.now >= self.quiet_until:
            throttle.reading = f"{rest}.{second}"
            self.count(throttle, throttle.reading, 0.0, 4 * PERIOD)
        return None

    def list_changed(self, event: BackendList) -> None:
        if event.kind is ListKind.FAILED:
            delay = self.turn.settings.ask_every / 8 * (0.5 + self.turn.random.random())
            return self.turn.actions.append(SetTimer(max(delay, EPS), "list"))
        if event.kind is not ListKind.CHANGES:
            named = {b.address for b in event.backends}
            self.servers = {a: s for a, s in self.servers.items() if a in named}
        for backend in event.backends:
            server = self.servers.get(backend.address)
            if backend.status is Status.GONE:
                self.servers.pop(backend.address, None)
            elif server is None or server.backend.started != backend.started:
                self.servers[backend.address] = self.fleet(backend.service).new_server(backend)
            else:
                server.backend = backend
        self.set_order()
        if event.kind is ListKind.REMEMBERED and not self.turn.settings.list_pushed:
            self.turn.actions.append(Subscribe())

    def set_order(self) -> None:
        """Tells each service's fleet which of its backends requests may go to."""
        open_to = [s for s in self.servers.values() if s.backend.address not in self.held]
        services = {server.backend.service for server in open_to} | self.fleets.keys()
        for service in services:
            self.fleet(service).set_order(s for s in open_to if s.backend.service == service)

    def take_out(self, event: Held) -> None:
        """By hand: as if it drained, whatever is listed; back, it is cold, for it may have been restarted."""
        if event.out:
            self.held.add(event.backend)
        elif event.backend in self.held:
            self.held.discard(event.backend)
            before = self.servers.get(event.backend)
            if before is not None:
                server = self.fleet(before.backend.service).new_server(before.backend)
                self.servers[event.backend] = server
                server.started, server.warm = self.turn.now, False
        self.set_order()

    def share_ceilings(self, event: Shared) -> None:
        """Two processes have half of every ceiling each, until one is alone with it again."""
        if (self.processes == 2) == event.on:
            return
        self.processes = 2 if event.on else 1
        for throttle in self.throttles.values():
            throttle.set_ceiling(1.0 / throttle.width / self.processes, self.turn.now)

    def avoided(self) -> int:
        """Listed backends that get nothing now: by the list's word, by hand, or for what they did."""
        serving = [server for fleet in self.fleets.values() for server in fleet.order]
        for server in serving:
            server.fade(self.turn.now)
        return len(self.servers) - len(serving) + sum(s.bad >= WORST / 2 for s in serving)


def check(settings: Settings) -> None:
    """ValueError with the name of a setting that makes no sense."""
    if settings.gateways < 1 or settings.max_attempts < 1:
        raise ValueError(f"settings: {'gateways' if settings.gateways < 1 else 'max_attempts'} is below 1")
    names = ("warm_within", "overload_for", "fall_multiple", "cold_from", "max_retry_after", "ask_every")
    sets: list[tuple[object, str, tuple[str, ...]]] = [(settings, "", names)]
    figures = ("rate", "burst", "ceiling_rate", "ceiling_depth", "concurrency")
    sets += [(plan, f" of plan {plan.name}", figures) for plan in settings.plans]
    sets += [(klass, f" of class {klass.name}", ("aim", "deadline", "memory")) for klass in settings.classes]
    for source, where, keys in sets:
        for name in keys:
            if getattr(source, name) < 0:
                raise ValueError(f"settings: {name}{where} is below nought")
