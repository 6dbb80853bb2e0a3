"""Attempts of admitted requests: the backend of each, what its outcome means, and the one final answer."""

from __future__ import annotations

from collections import deque

from embersill.admission import Admission
from embersill.backends import Backends
from embersill.interface import (
    AttemptEnded, Backend, Cancel, ClientLeft, Fail, Inherited, Outcome, Refuse, Repeats, RequestClass, Scope,
    Send, SetTimer, Status, StreamBegun,
)
from embersill.throttle import PERIOD, Charge
from embersill.totals import Totals
from embersill.turn import Turn
from embersill.work import EPS, Attempt, Job, Server, dedup_group

WORTH_WAITING = 0.5  # worth left after the aim, from which an attempt may run until the deadline


class Attempts:
    def __init__(self, turn: Turn, totals: Totals, backends: Backends) -> None:
        self.turn, self.totals, self.backends = turn, totals, backends
        self.admission: Admission  # admits requests to here, and is notified of their ends
        self.jobs: dict[int, Job] = {}
        # attempts by class, in the order in which they become late; a class's timer is set while it has any
        self.late: dict[str, deque[tuple[float, Attempt]]] = {c.name: deque() for c in turn.settings.classes}
        backends.may_send = self.may_send

    def place(self, job: Job) -> None:
        """Sends an admitted request to a backend, or rejects it if there is none."""
        server = None if not job.attempts and job.fleet.must_shed(job) else job.fleet.choose(job)
        if server is None:
            self.give_up(job)
        else:
            self.send(job, server)

    def give_up(self, job: Job) -> None:
        throttle = job.throttle
        if throttle.plan.rate > 0 and not job.attempts and not job.beyond:
            throttle.level = min(throttle.level + job.request.units, throttle.bank - throttle.held)
            self.totals.take_back(job)
        self.answer(job, PERIOD)

    def may_send(self, job: Job, server: Server) -> bool:
        """Checks all rules for one more attempt; they are checked nowhere else."""
        settings, first, plan = self.turn.settings, job.may_have_run, job.throttle.plan
        if job.ended or job.streaming or self.turn.now >= job.request.deadline:
            return False
        known = self.backends.servers.get(server.backend.address) is server and server.flight < server.limit
        if server.backend.status is not Status.SERVING or not known:
            return False
        if self.backends.held and server.backend.address in self.backends.held:
            return False
        most = job.klass.attempts or settings.max_attempts
        if len(job.attempts) >= most or (job.out and not settings.second_copies):
            return False
        if first is not None and job.klass.repeats is Repeats.ONCE:
            return False
        if first is not None and job.klass.repeats is Repeats.BY_KEY:
            apart = dedup_group(job.klass, first.server) != dedup_group(job.klass, server)
            if apart or self.turn.now - first.sent >= job.klass.memory:
                return False
        if not server.warm and not server.backend.slots and server is not job.fleet.drawn:
            if server.cold_share(self.turn.now, settings) < 1.0:
                return False
        return job.charge is not None or plan.ceiling_rate <= 0 or job.request.units <= job.throttle.cap + EPS

    def send(self, job: Job, server: Server) -> None:
        """Starts an attempt; nothing else does."""
        if not self.may_send(job, server):
            return self.give_up(job)
        if job.charge is None and job.throttle.plan.ceiling_rate > 0:
            job.charge = job.throttle.charge(job.request.units, self.turn.now)
        if not job.attempts:
            fleet = job.fleet  # each first attempt adds to the retry budget
            fleet.retry_credit = min(fleet.retry_credit + self.turn.settings.retry_share, fleet.most_credit)
        attempt = Attempt(server, job.fleet, self.turn.now, job.fleet.usual_for(job))
        self.count_out(job, attempt)
        job.attempts.append(attempt)
        send = Send(job.request.id, server.backend.address, self.useful_until(job) - self.turn.now)
        if job.may_have_run is None:
            job.may_have_run = attempt
        elif job.klass.repeats is Repeats.BY_KEY:  # connecting may outlast the memory of the key
            send.write_by = job.may_have_run.sent + job.klass.memory
        self.turn.actions.append(send)
        self.watch(job.klass, attempt, self.turn.now + max(self.turn.settings.late_at * job.klass.aim, EPS))

    def useful_until(self, job: Job) -> float:
        # an attempt is stopped once its answer is worth little, else a backlog of such work builds up
        end = job.arrived + job.klass.aim if job.klass.late_share < WORTH_WAITING else job.request.deadline
        return min(job.request.deadline, max(end, self.turn.now + self.turn.settings.late_at * job.klass.aim))

    def count_out(self, job: Job, attempt: Attempt) -> None:
        attempt.server.flight += 1
        job.fleet.flight += 1
        job.throttle.open += 1
        job.out += 1

    def watch(self, klass: RequestClass, attempt: Attempt, due: float) -> None:
        """Checks an attempt when it is due; one timer for each class skips the many that have ended."""
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
        attempt.overdue = True  # counted at once, and no longer against the limit that sound backends need
        attempt.server.overdue += 1
        attempt.fleet.flight -= 1
        attempt.fleet.judge(True, attempt.server)

    def attempt_ended(self, event: AttemptEnded) -> None:
        job = self.jobs.get(event.request)
        if job is None or not 0 <= event.attempt < len(job.attempts) or not job.attempts[event.attempt].out:
            return
        attempt = job.attempts[event.attempt]
        attempt.out, attempt.did_not_run = False, event.outcome.never_ran
        if not attempt.begun:
            attempt.server.flight -= 1
            attempt.server.overdue -= attempt.overdue
            job.fleet.flight -= not attempt.overdue
        job.out -= 1
        job.throttle.open -= 1
        if len(job.attempts) == 1:
            job.may_have_run = None if attempt.did_not_run else attempt
        else:
            job.may_have_run = next((a for a in job.attempts if not a.did_not_run), None)
        if job.charge is not None:
            attempt.not_delivered = event.outcome.undelivered
            self.passed_on(job, job.charge, attempt)
        job.fleet.learn(job, attempt, event)
        self.settle(job, event.true_units)
        job.ended = job.ended or event.over
        if not job.ended and not job.out:
            self.after_failure(job, event.outcome)
        if job.ended and not job.out:
            self.jobs.pop(event.request, None)
        if job.throttle.queue and job.throttle.plan.concurrency > 0:
            self.admission.release(job.throttle)

    def passed_on(self, job: Job, charge: Charge, attempt: Attempt) -> None:
        """Makes a ceiling charge final once an attempt reached a backend; undoes it if none has."""
        if not attempt.not_delivered:
            charge.final = True
        elif all(a.not_delivered for a in job.attempts):
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
            self.admission.release(throttle)

    def after_failure(self, job: Job, outcome: Outcome) -> None:
        end = min(job.request.deadline, job.arrived + job.klass.aim)
        fleet = job.fleet
        if fleet.budgeted:  # a budget that all gateways share: an attempt that reached a backend counts
            free = outcome.undelivered
        else:  # a rejected attempt cost no work: retrying it is expensive only under overload
            free = outcome.never_ran and self.turn.random.random() < fleet.passed
        useful = outcome is not Outcome.TIMED_OUT and end - self.turn.now > job.fleet.usual_for(job)
        if useful and (free or fleet.retry_credit >= 1.0):
            fleet.retry_credit -= 0.0 if free else 1.0
            self.place(job)
        else:
            self.answer(job, PERIOD)

    def answer(self, job: Job, retry_after: float, over_quota: bool = False) -> None:
        """Ends a request; nothing else does. Refuses it only if a retry by the client is proven harmless."""
        if job.ended or job.streaming:
            return
        job.ended = True
        keyed = job.klass.repeats is Repeats.BY_KEY and job.klass.scope is Scope.ALL
        harmless = keyed or job.klass.repeats is Repeats.SAFE
        if job.may_have_run is not None and not harmless:
            self.turn.actions.append(Fail(job.request.id))
        else:
            wait = self.advice(job, retry_after, over_quota)
            self.turn.actions.append(Refuse(job.request.id, wait, over_quota))
        self.call_off(job)
        if not job.out:
            self.jobs.pop(job.request.id, None)

    def advice(self, job: Job, wait: float, over_quota: bool) -> float:
        """Seconds until a refused client should try again; 0 where the settings allow no such advice."""
        longest = self.turn.settings.max_retry_after if self.turn.settings.retry_after else 0.0
        return min(max(wait, 0.0), longest)

    def call_off(self, job: Job) -> None:
        for number, attempt in enumerate(job.attempts):
            if attempt.out and self.turn.settings.may_cancel and not job.streaming:
                self.turn.actions.append(Cancel(job.request.id, number))

    def client_left(self, event: ClientLeft) -> None:
        job = self.jobs.get(event.request)
        if job is not None:
            job.ended = True
            self.call_off(job)
            self.admission.release(job.throttle)
            if not job.out:
                self.jobs.pop(event.request, None)

    def stream_begun(self, event: StreamBegun) -> None:
        """Notes that the answer is being streamed: nothing else ends the request now, nor is it late."""
        job = self.jobs.get(event.request)
        if job is None or job.streaming or not 0 <= event.attempt < len(job.attempts):
            return
        job.streaming = True
        attempt = job.attempts[event.attempt]
        if attempt.out and not attempt.begun:
            attempt.begun = True  # no longer counted in its backend's limit and cost
            attempt.server.flight -= 1
            attempt.server.overdue -= attempt.overdue
            job.fleet.flight -= not attempt.overdue

    def inherited(self, event: Inherited) -> None:
        """Takes over a request of another instance, with its attempts; charges nothing again."""
        request = event.request
        klass, plan = self.turn.classes.get(request.klass), self.turn.plans.get(request.plan)
        if request.id in self.jobs:
            return None
        if klass is None or plan is None:
            return self.turn.actions.append(Fail(request.id))  # an attempt may have run
        throttle = self.admission.throttles.get(request.customer) or self.admission.join(
            request.customer, request.width, plan, request.first_gateway)
        self.jobs[request.id] = job = Job(
            request, klass, throttle, self.backends.fleet(request.service), self.turn.now - event.age)
        last = Outcome.NOT_SENT
        for address, age, outcome in event.attempts:
            # a backend that is gone is in the dedup group of no known backend
            unknown = Backend(address, "\0", "", -1, Status.GONE, 1.0, None)
            server = self.backends.servers.get(address) or Server(unknown, 1.0, self.turn.now)
            attempt = Attempt(server, job.fleet, self.turn.now - age, job.fleet.usual_for(job))
            job.attempts.append(attempt)
            if outcome is None:
                self.count_out(job, attempt)
                late = self.turn.settings.late_at * klass.aim - age
                self.watch(klass, attempt, self.turn.now + max(late, EPS))
            else:
                attempt.out, attempt.did_not_run, last = False, outcome.never_ran, outcome
                attempt.not_delivered = outcome.undelivered
        job.may_have_run = next((a for a in job.attempts if not a.did_not_run), None)
        if any(not a.not_delivered for a in job.attempts):
            job.charge = Charge(self.turn.now, request.units, True)  # charged to the ceiling by that instance
        return None if job.out else self.after_failure(job, last)
