"""Attempts at backends that report their load: in-flight counts, quota refunds and retries. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from embersill.attempts import Attempts
from embersill.backends import Backends
from embersill.edge.configuration.lapses import Slowed
from embersill.edge.dataplane.lingering import LingeringAttempts
from embersill.edge.rollout.watch import Watch
from embersill.edge.throttling.slowdown_counts import SlowdownCounts
from embersill.interface import AttemptEnded, ClientLeft, Outcome, Repeats, SetTimer
from embersill.throttle import PERIOD
from embersill.totals import Totals
from embersill.turn import Turn
from embersill.work import EPS, Attempt, Job, Server

MAX_SPREAD_WAIT_S = (
    15.0  # longest Retry-After for a slowed tenant's callers, before a random factor of 1 to 2
)


class EdgeAttempts(Attempts):
    """Attempts whose starts and ends are reported to the gateways that keep the backends' zones."""

    on_in_flight_change: Callable[[Server], None] = staticmethod(lambda server: None)
    slowed_tenants: Mapping[str, Slowed] = {}  # the tenants that are slowed down
    slowdown_counts: SlowdownCounts | None = None  # set while there are slow-down orders
    rollout_watch: Watch | None = None  # set while a policy rollout is in progress

    def __init__(self, turn: Turn, totals: Totals, backends: Backends) -> None:
        super().__init__(turn, totals, backends)
        self.lingering = LingeringAttempts(
            lambda server: self.on_in_flight_change(server),
            lambda seconds, key: self.turn.actions.append(SetTimer(seconds, key)),
        )

    def count_out(self, job: Job, attempt: Attempt) -> None:
        """Counts an attempt as in flight and reports the backend's new count."""
        super().count_out(job, attempt)
        self.on_in_flight_change(attempt.server)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Handles the end of an attempt; the outcome also counts in judging a policy rollout."""
        job = self.jobs.get(event.request)
        if job is None or not 0 <= event.attempt < len(job.attempts) or not job.attempts[event.attempt].out:
            return
        attempt = job.attempts[event.attempt]
        super().attempt_ended(event)
        self.on_in_flight_change(attempt.server)
        if event.outcome is Outcome.CANCELLED and not attempt.begun:
            self.count_lingering(job, attempt)
        elif event.load and self.lingering.serials_by_server:
            self.lingering.end_freed(attempt.server, sum(event.load[:2]))
        if event.over and not job.out and job.may_have_run is None:
            self.refund_quota(job)
        if self.rollout_watch is not None and event.over:
            self.record_outcome(self.rollout_watch, job, event.outcome)

    def count_lingering(self, job: Job, attempt: Attempt) -> None:
        """Keeps counting an attempt with a closed connection: the backend may work on for the usual time."""
        left = job.fleet.usual_for(job) - (self.turn.now - attempt.sent)
        if left > EPS:
            self.lingering.add(attempt.server, left)

    def record_outcome(self, watch: Watch, job: Job, outcome: Outcome) -> None:
        """Counts how a request ended, for judging the policy rollout."""
        if outcome is Outcome.SERVED:
            watch.served(job.request.id, job.klass.name, self.turn.now - job.arrived)
        elif outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):  # the client has left: not a failure
            watch.left(job.request.id)
        else:
            watch.failed(job.request.id, job.klass.name)

    def client_left(self, event: ClientLeft) -> None:
        """Handles a client's disconnect: drops its queued request, cancels attempts safe to repeat."""
        if self.rollout_watch is not None:
            self.rollout_watch.left(event.request)
        job = self.jobs.get(event.request)
        if job is not None and job in job.throttle.queue:
            job.ended = True
            job.throttle.refill(self.turn.now)
            self.admission.drop_held(job)
        super().client_left(event)

    def call_off(self, job: Job) -> None:
        """Cancels the attempts of a request that nobody waits for any more.

        A request that must not be repeated runs to its end: it may have begun to take effect, and its
        client may ask for the outcome.
        """
        if job.klass.repeats is Repeats.SAFE:
            super().call_off(job)

    def refund_quota(self, job: Job) -> None:
        """Refunds the quota of a request that no backend executed. Called once per request."""
        throttle = job.throttle
        if job.attempts and not job.beyond:
            throttle.refill(self.turn.now)
            most = max(throttle.bank - throttle.held, throttle.level)
            throttle.level = min(throttle.level + job.request.units, most)

    def place(self, job: Job) -> None:
        """Sends an admitted request to a backend."""
        if self.slowdown_counts is not None and not job.attempts:
            self.slowdown_counts.count_admitted(job.throttle.customer, self.turn.now - job.arrived)
        if self.rollout_watch is not None and not job.attempts:
            self.rollout_watch.note_admitted(job.request.id, job.klass.name)
        super().place(job)

    def send(self, job: Job, server: Server) -> None:
        """Sends an attempt unless a slowed tenant has to yield; counts non-repeatable requests sent twice."""
        if self.slowed_tenants and self.must_yield(job, server):
            return self.give_up(job)
        if self.rollout_watch is None or job.may_have_run is None or job.klass.repeats is not Repeats.ONCE:
            return super().send(job, server)
        before = len(job.attempts)
        super().send(job, server)
        if len(job.attempts) > before:
            self.rollout_watch.doubled(job.request.id, job.klass.name)
        return None

    def must_yield(self, job: Job, server: Server) -> bool:
        """True if a slowed tenant's request would queue at its backend ahead of others' later requests.

        The allowed queue shrinks with the tenant's share: at the full share one request per slot may wait, at
        none no request may.
        """
        slowed, slots = self.slowed_tenants.get(job.throttle.customer), server.backend.slots
        return slowed is not None and server.load(self.turn.now) + 1.0 > max(slots, 1) * (1.0 + slowed.share)

    def after_failure(self, job: Job, outcome: Outcome) -> None:
        """Retries a failed attempt; a slowed tenant's only if undelivered, to spare the retry budget."""
        if self.slowed_tenants and job.throttle.customer in self.slowed_tenants and not outcome.undelivered:
            return self.answer(job, PERIOD)
        return super().after_failure(job, outcome)

    def answer(self, job: Job, retry_after: float, over_quota: bool = False) -> None:
        """Answers a request without a backend's answer, with a quota refund if no backend executed it."""
        throttle = job.throttle
        if not job.ended and job.may_have_run is None:
            self.refund_quota(job)
        if self.slowdown_counts is not None and over_quota and not job.ended:
            self.slowdown_counts.count_rejected(throttle.customer)
        if self.rollout_watch is not None and not (job.ended or job.streaming):
            not_executed = job.may_have_run is None or job.klass.repeats is not Repeats.ONCE
            (self.rollout_watch.refused if not_executed else self.rollout_watch.failed)(
                job.request.id, job.klass.name
            )
        super().answer(job, retry_after, over_quota)

    def advice(self, job: Job, wait: float, over_quota: bool) -> float:
        """The Retry-After in seconds; callers of a slowed tenant are spread over what its rate can serve."""
        throttle = job.throttle
        if throttle.customer not in self.slowed_tenants:
            return super().advice(job, wait, over_quota)
        longest = max(wait, 1.0 / max(throttle.rate, EPS))
        return min(longest, MAX_SPREAD_WAIT_S) * self.turn.random.uniform(1.0, 2.0)
