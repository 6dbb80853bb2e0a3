"""A gateway's decision logic, assembled. Its events and actions are defined in embersill/interface.py."""

from __future__ import annotations

from collections.abc import Callable

from embersill.admission import Admission
from embersill.attempts import Attempts
from embersill.backends import Backends
from embersill.fleet import Fleet
from embersill.interface import (
    Action, Allotted, AttemptEnded, BackendHold, BackendList, ClientLeft, CounterResult, Event, Inherited,
    Question, Refuse, Request, RequestClass, Ruled, Settings, Shared, StreamBegun, Subscribe, TimerDue,
)
from embersill.throttle import PERIOD, Throttle
from embersill.totals import Totals
from embersill.turn import Turn
from embersill.work import Job, Server


class Gateway:
    """Decides for one gateway, from its settings, its seed and the events that it is given alone."""

    def __init__(self, settings: Settings, seed: int, now: float, repays: bool = False) -> None:
        """`repays`: use beyond a quota, unknown to the other gateways, is charged to it afterwards."""
        self.turn = Turn(settings, seed, now)
        self.throttles: dict[str, Throttle] = {}
        self.totals = Totals(self.turn, self.throttles, repays)
        self.backends, self.attempts, self.admission = self.parts()
        self.attempts.admission = self.admission
        self.jobs = self.attempts.jobs
        self.handlers: dict[type, Callable[..., None]] = {
            Request: self.arrive, AttemptEnded: self.attempts.attempt_ended, TimerDue: self.timer_due,
            CounterResult: self.totals.counted, BackendList: self.backends.list_changed,
            ClientLeft: self.attempts.client_left, StreamBegun: self.attempts.stream_begun,
            Allotted: self.admission.allotted, Inherited: self.attempts.inherited,
            Question: self.admission.question, Ruled: self.ruled, BackendHold: self.backends.take_out,
            Shared: self.admission.share_ceilings,
        }

    def parts(self) -> tuple[Backends, Attempts, Admission]:
        """Creates the parts that other kinds of gateway replace by their own."""
        backends = Backends(self.turn)
        attempts = Attempts(self.turn, self.totals, backends)
        return backends, attempts, Admission(self.turn, self.totals, attempts)

    @property
    def settings(self) -> Settings:
        return self.turn.settings

    @property
    def servers(self) -> dict[str, Server]:
        return self.backends.servers

    @property
    def classes(self) -> dict[str, RequestClass]:
        return self.turn.classes

    def fleet(self, service: str) -> Fleet:
        """The fleet of a service."""
        return self.backends.fleet(service)

    def avoided(self) -> int:
        """The number of listed backends that get no requests now."""
        return self.backends.avoided()

    def handle(self, event: Event, now: float) -> list[Action]:
        if now > self.turn.now:
            self.turn.now = now
        self.turn.actions = []
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        return self.turn.actions

    def arrive(self, request: Request) -> None:
        if request.id in self.attempts.jobs:
            return
        klass, plan = self.turn.classes.get(request.klass), self.turn.plans.get(request.plan)
        if klass is None or plan is None or request.deadline <= self.turn.now:
            return self.turn.actions.append(Refuse(request.id, 0.0))
        throttle = self.admission.throttles.get(request.customer) or self.admission.join(
            request.customer, request.width, plan, request.first_gateway)
        self.attempts.jobs[request.id] = job = Job(
            request, klass, throttle, self.backends.fleet(request.service), self.turn.now)
        return self.admission.admit(job)

    def ruled(self, event: Ruled) -> None:
        """Sends a request whose quota another service has granted, or refuses it as that service decided."""
        request = event.request
        klass, plan = self.turn.classes.get(request.klass), self.turn.plans.get(request.plan)
        if request.id in self.attempts.jobs:
            return None
        if klass is None or plan is None or request.deadline <= self.turn.now:
            return self.turn.actions.append(Refuse(request.id, 0.0))
        throttle = self.admission.throttles.get(request.customer) or self.admission.join(
            request.customer, request.width, plan, request.first_gateway)
        throttle.refill(self.turn.now)
        self.attempts.jobs[request.id] = job = Job(
            request, klass, throttle, self.backends.fleet(request.service), self.turn.now)
        job.beyond = True  # not charged here, so nothing is returned or settled
        return self.attempts.place(job) if event.allowed else self.attempts.answer(job, event.retry_after)

    def timer_due(self, event: TimerDue) -> None:
        key = event.key
        if key == "list":
            return self.turn.actions.append(Subscribe())
        kind, rest = key[:1], key[1:]
        second, _, after = rest.partition(" ")
        if kind == "o":
            return self.attempts.look_for_late(rest)
        if kind == "h":
            job = self.attempts.jobs.get(int(rest))
            if job is not None and job in job.throttle.queue:
                # each held request has its own limit, wherever it is in the queue: its deadline may be nearer
                job.throttle.refill(self.turn.now)
                self.admission.drop_held(job)
                self.admission.release(job.throttle)
            return None
        rest = after if kind == "d" else rest
        throttle = self.admission.throttles.get(rest)
        if throttle is None:
            return None
        if kind == "r":
            throttle.timer = 0.0
            self.admission.release(throttle)
        elif kind == "c":
            self.totals.add_demand(throttle)
        elif kind == "d" and self.turn.now >= self.totals.quiet_until:
            throttle.reading = f"{rest}.{second}"
            self.totals.count(throttle, throttle.reading, 0.0, 4 * PERIOD)
        return None
