"""Attempts at backends that tell their load: who hears of them, what they cost, which are retried. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from embersill.attempts import Attempts
from embersill.backends import Backends
from embersill.edge.configuration.lapses import Slowed
from embersill.edge.dataplane.lingering import LingeringAttempts
from embersill.edge.rollout.watch import Watch
from embersill.edge.throttling.figures import Figures
from embersill.interface import AttemptEnded, ClientLeft, Outcome, Repeats, SetTimer
from embersill.throttle import PERIOD
from embersill.totals import Totals
from embersill.turn import Turn
from embersill.work import EPS, Attempt, Job, Server

SPREAD_MOST = 15.0  # seconds that callers of a slowed tenant are told to wait, times one to two


class EdgeAttempts(Attempts):
    """Attempts whose comings and goings are told to the keepers of the backends' zones."""

    on_flight: Callable[[Server], None] = staticmethod(lambda server: None)
    squeezed: Mapping[str, Slowed] = {}  # tenants that are slowed down
    figures: Figures | None = None  # where there are orders about any
    observed: Watch | None = None  # while a policy is on its way

    def __init__(self, turn: Turn, totals: Totals, backends: Backends) -> None:
        super().__init__(turn, totals, backends)
        self.lingering = LingeringAttempts(
            lambda server: self.on_flight(server),
            lambda seconds, key: self.turn.actions.append(SetTimer(seconds, key)),
        )

    def count_out(self, job: Job, attempt: Attempt) -> None:
        """An attempt is out; others are told how many are."""
        super().count_out(job, attempt)
        self.on_flight(attempt.server)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """An attempt has ended; others are told, and a staged policy is judged by how."""
        job = self.jobs.get(event.request)
        if job is None or not 0 <= event.attempt < len(job.attempts) or not job.attempts[event.attempt].out:
            return
        attempt = job.attempts[event.attempt]
        super().attempt_ended(event)
        self.on_flight(attempt.server)
        if event.outcome is Outcome.CANCELLED and not attempt.begun:
            self.broken_off(job, attempt)
        elif event.load and self.lingering.by_server:
            self.lingering.load_told(attempt.server, sum(event.load[:2]))
        if event.over and not job.out and job.risky is None:
            self.give_back(job)
        if self.observed is not None and event.over:
            self.note_end(self.observed, job, event.outcome)

    def broken_off(self, job: Job, attempt: Attempt) -> None:
        """A backend's connection was closed while it had a request: it may work on for as long as usual."""
        left = job.fleet.usual_for(job) - (self.turn.now - attempt.sent)
        if left > EPS:
            self.lingering.add(attempt.server, left)

    def note_end(self, watch: Watch, job: Job, outcome: Outcome) -> None:
        """Counts how a request ended, for whoever judges a staged policy."""
        if outcome is Outcome.SERVED:
            watch.served(job.request.id, job.klass.name, self.turn.now - job.arrived)
        elif outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):  # its client has left: nothing has failed
            watch.left(job.request.id)
        else:
            watch.failed(job.request.id, job.klass.name)

    def client_left(self, event: ClientLeft) -> None:
        """The client of a request has left: what waits is dropped, what may be repeated is broken off."""
        if self.observed is not None:
            self.observed.left(event.request)
        job = self.jobs.get(event.request)
        if job is not None and job in job.throttle.queue:
            job.ended = True
            job.throttle.refill(self.turn.now)
            self.admission.drop_held(job)
        super().client_left(event)

    def call_off(self, job: Job) -> None:
        """Breaks off the attempts of a request that nobody waits for.

        One that must not be repeated may have begun to take effect, and its client may ask what came of it:
        it runs to its end.
        """
        if job.klass.repeats is Repeats.SAFE:
            super().call_off(job)

    def give_back(self, job: Job) -> None:
        """A request that none of its backends ran has used nothing of its quota. Called once a request."""
        throttle = job.throttle
        if job.attempts and not job.beyond:
            throttle.refill(self.turn.now)
            most = max(throttle.bank - throttle.held, throttle.level)
            throttle.level = min(throttle.level + job.request.units, most)

    def place(self, job: Job) -> None:
        """Sends a request that may go on to a backend."""
        if self.figures is not None and not job.attempts:
            self.figures.let(job.throttle.customer, self.turn.now - job.arrived)
        if self.observed is not None and not job.attempts:
            self.observed.let_on(job.request.id, job.klass.name)
        super().place(job)

    def send(self, job: Job, server: Server) -> None:
        """Sends an attempt, unless others of its backend go first; counts what is sent twice."""
        if self.squeezed and self.behind(job, server):
            return self.give_up(job)
        if self.observed is None or job.risky is None or job.klass.repeats is not Repeats.ONCE:
            return super().send(job, server)
        before = len(job.attempts)
        super().send(job, server)
        if len(job.attempts) > before:
            self.observed.doubled(job.request.id, job.klass.name)
        return None

    def behind(self, job: Job, server: Server) -> bool:
        """True where a slowed tenant's request would wait at its backend before others' that come later.

        Its place falls with its share: with the whole it may wait as one in each slot does, with none never.
        """
        slowed, slots = self.squeezed.get(job.throttle.customer), server.backend.slots
        return slowed is not None and server.work(self.turn.now) + 1.0 > max(slots, 1) * (1.0 + slowed.share)

    def after_failure(self, job: Job, outcome: Outcome) -> None:
        """Further attempts of a slowed tenant cost the others' budget nothing."""
        if self.squeezed and job.throttle.customer in self.squeezed and not outcome.undelivered:
            return self.answer(job, PERIOD)
        return super().after_failure(job, outcome)

    def answer(self, job: Job, retry_after: float, over_quota: bool = False) -> None:
        """A request that came to backends and that none of them ran has used nothing of its quota."""
        throttle = job.throttle
        if not job.ended and job.risky is None:
            self.give_back(job)
        if self.figures is not None and over_quota and not job.ended:
            self.figures.turned_away(throttle.customer)
        if self.observed is not None and not (job.ended or job.streaming):
            unrun = job.risky is None or job.klass.repeats is not Repeats.ONCE
            (self.observed.refused if unrun else self.observed.failed)(job.request.id, job.klass.name)
        super().answer(job, retry_after, over_quota)

    def advice(self, job: Job, wait: float, over_quota: bool) -> float:
        """Callers of a tenant that is slowed down are spread over what its rate can serve."""
        throttle = job.throttle
        if throttle.customer not in self.squeezed:
            return super().advice(job, wait, over_quota)
        longest = max(wait, 1.0 / max(throttle.rate, EPS))
        return min(longest, SPREAD_MOST) * self.turn.random.uniform(1.0, 2.0)
