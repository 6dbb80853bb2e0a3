"""The logic of a planner: which shares of ceilings it may spend, and how much of them. No I/O.

The unchanged decision module, one instance per planner, decides all requests on the events of the
forwarders. All requests of a customer arrive at the planner to which its part is lent, so the whole quota
is one throttle of width one, and no counter is needed. `Allotted` sets how much of quota and ceiling the
module has: each forwarder that lends its share adds the fraction one in `forwarders`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from embersill.control import Gateway
from embersill.interface import (
    Action,
    Allotted,
    AttemptEnded,
    BackendHold,
    BackendList,
    Cancel,
    ClientLeft,
    Event,
    Fail,
    Inherited,
    Outcome,
    Plan,
    Question,
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    Status,
    TimerDue,
    Verdict,
)
from embersill.tiers.ledger import Ledger, horizon_of, replay
from embersill.tiers.messages import (
    AnyMessage,
    Ask,
    BadFrame,
    Batch,
    Beat,
    Bequeath,
    Cancelled,
    Echo,
    Ended,
    Failed,
    Grant,
    Holds,
    Leaving,
    Left,
    Lend,
    Open,
    Recall,
    Refused,
    Reserve,
    Returned,
    Spent,
    Taken,
    Used,
    Withdrawn,
    Yielded,
)
from embersill.tiers.parts import part_of
from embersill.tiers.reasons import limiting_factor
from embersill.tiers.reserves import PLANNER_MIN_LEVEL, Demand, depth_left, max_reserved, rebalance
from embersill.tiers.terms import MAX_CLOCK_DRIFT, Terms

OUTCOMES = {outcome.value: outcome for outcome in Outcome}
UNDELIVERED = frozenset(outcome.value for outcome in Outcome if outcome.undelivered)
MAX_BEATS = 64  # whose times are kept
SWEEP_INTERVAL_S = 1.0  # between searches for requests that should be over
BACKLOG_TIMER = "~"  # key of the timer that processes the backlog; the module's keys begin with letters
BACKLOG_INTERVAL_S = 0.01
BACKLOG_FRACTION = 0.1  # of the backlog per run
PARTS_PRUNED_PER_SWEEP = 4  # in which a sweep forgets customers whose throttles are gone
OVERDUE_S = 5.0  # after its client's deadline a request counts as forgotten by its forwarder


@dataclass(slots=True, eq=False)
class Session:
    """A forwarder's session, from its handshake until it ends."""

    name: str
    heard: float
    beats: dict[int, float] = field(default_factory=dict)  # beat number: when it was sent
    last_beat: int = 0
    lost: bool = False  # no path to the forwarder is open
    steady_since: float = float("-inf")  # since when it has been heard without a gap
    echoed: int = 0
    loan_until: float = float("-inf")  # until when the shares that it lent may be spent
    acked: int = 0  # the last ask that was received
    acked_told: int = 0
    asks: dict[int, int] = field(default_factory=dict)  # ask: the module's request number
    spends: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # reported before a Lend
    holds: dict[str, float] = field(default_factory=dict)  # also reported before a Lend
    outbox: list[AnyMessage] = field(default_factory=list)


@dataclass(slots=True)
class Lender:
    """A forwarder's loan of its share of one part."""

    session: Session
    free_at: float  # from when its share may be spent here
    known_since: float  # from when its spends are reported, on this clock
    spends: dict[str, list[tuple[float, float]]]  # as reported: (when, units)
    lent_at: float = 0.0
    term: int = 0  # the forwarder's identifier of this loan
    reserves: dict[str, float] = field(default_factory=dict)  # its reserves of ceilings, by customer
    bequest_until: float = float("-inf")  # until when the share may be spent after a clean stop

    @property
    def until(self) -> float:
        """When the loan ends."""
        return max(self.session.loan_until, self.bequest_until)


@dataclass(slots=True)
class Part:
    """A planner's state of one part of the customers."""

    number: int
    lenders: dict[str, Lender] = field(default_factory=dict)  # by forwarder
    customers: dict[str, str] = field(default_factory=dict)  # seen by this process, with their plans
    demands: dict[str, Demand] = field(default_factory=dict)
    taken_at: float = 0.0
    changed_at: float = 0.0  # when a forwarder last lent it
    whole: bool = False  # all forwarders have provably lent it at one moment: all spends are known
    ceiling: float = 0.0  # as last set in the module
    share: float = 0.0
    known: int = 0  # number of lenders from which the depths in the module were computed


@dataclass(slots=True)
class Job:
    """A request that this planner decides."""

    session: Session
    ask: int
    part: Part
    request: Request
    sent: int = 0  # attempts granted, or inherited
    undelivered_attempts: int = 0  # of these, the ones that reached no backend
    charged: float | None = None  # when its units were recorded, if they are in the ledger or a report


def proven_at(session: Session) -> float:
    """When the last echoed beat was sent: the forwarder followed this planner at some time since then."""
    return session.beats.get(session.echoed, float("-inf"))


class Planner:
    """One planner for the named `forwarders`; others may not connect."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        now: float,
        *,
        forwarders: Iterable[str],
        planners: int,
        parts: int,
        terms: Terms,
        most_customers: int = 100_000,
        most_open: int = 50_000,
    ) -> None:
        self.settings, self.terms = settings, terms
        self.forwarders = frozenset(forwarders)
        # to the backends the planners are like several gateways: each has a part of the load
        self.gateway = Gateway(replace(settings, gateways=planners, counter=False), seed, now)
        self.plans = {p.name: p for p in settings.plans}
        self.reserved = {p.name: max_reserved(p, settings.most_units) for p in settings.plans}
        self.parts = [Part(n) for n in range(parts)]
        self.unconfirmed: set[int] = set()  # parts that are lent but not whole
        self.unproven: set[int] = set()  # parts with a new lender since when not all others have echoed
        self.sessions: dict[str, Session] = {}
        self.jobs: dict[int, Job] = {}
        self.last_job = 0
        self.ledger = Ledger(settings.plans, most_customers, now)
        self.backlog: deque[tuple[Session, Ask, Part, float]] = (
            deque()
        )  # asks of parts that were just taken over
        self.most_open = most_open
        self.timers: list[tuple[float, str]] = []  # (delay, key) for the caller to schedule
        self.dead: list[Session] = []  # sessions to be closed, since nothing arrives on them
        self.born = self.now = self.swept_at = now
        self.gathered = False
        self.reach = 0  # number of forwarders that are heard
        self.review_at, self.pruned = now, 0
        self.leaving = False
        # for a council, if there is one: units used or refunded, and the outcomes of attempts
        self.on_use: Callable[[str, float], None] | None = None
        self.on_outcome: Callable[[str, Outcome], None] | None = None
        self.counts = {"asks": 0, "opens": 0, "grants": 0, "refused": 0, "failed": 0, "taken": 0}

    # links

    def link_up(self, forwarder: str, now: float) -> Session:
        """Starts a forwarder's session; ends an earlier one."""
        self.advance(now)
        if forwarder in self.sessions:
            self.link_down(self.sessions[forwarder], now)
        session = self.sessions[forwarder] = Session(forwarder, self.now)
        if self.gathered:
            session.steady_since = self.now
        if self.sessions.keys() >= self.forwarders:
            self.gathered = True
        self.count_reach()
        self.beat(session)
        if self.leaving:
            session.outbox.append(Leaving())
        return session

    def link_lost(self, session: Session) -> None:
        """No path leads to the forwarder; its shares may be spent until the end of the lease."""
        session.lost = True
        self.count_reach()

    def count_reach(self) -> None:
        """Counts the forwarders that have been heard for `settle`; all forwarders judge the planner by it.

        So the forwarders agree on a part's planner: flapping links are damped here, for all at the same
        moment.
        """
        silent, well = self.now - self.terms.silent_after, self.now - self.terms.settle
        self.reach = sum(
            not s.lost and s.heard >= silent and s.steady_since <= well for s in self.sessions.values()
        )

    def link_down(self, session: Session, now: float) -> None:
        """The forwarder has its shares back, and its requests are decided elsewhere."""
        self.advance(now)
        if self.sessions.get(session.name) is not session:
            return
        del self.sessions[session.name]
        self.count_reach()
        for number in list(session.asks.values()):
            self.drop(number)
        for part in self.parts:
            lender = part.lenders.get(session.name)
            if lender is None or lender.bequest_until <= self.now:
                self.unlend(part, session)
        session.outbox.clear()

    def received(self, session: Session, batch: Batch, now: float) -> None:
        """Handles a forwarder's batch; an invalid message raises BadFrame, after which the link is closed."""
        self.advance(now)
        if self.sessions.get(session.name) is not session:
            return
        if session.lost or self.now - session.heard > self.terms.silent_after:
            session.steady_since = self.now
        session.heard, session.lost = self.now, False
        for message in batch.messages:
            if isinstance(message, Ask):
                self.asked(session, message)
            elif isinstance(message, Ended):
                self.ended(session, message)
            elif isinstance(message, Echo):
                self.echoed(session, message.number)
            elif isinstance(message, Left):
                self.left(session, message.ask)
            elif isinstance(message, Spent):
                self.spent(session, message)
            elif isinstance(message, Lend):
                self.lend(session, message)
            elif isinstance(message, Open):
                self.opened(session, message)
            elif isinstance(message, Recall):
                self.recall(session, message)
            elif isinstance(message, Bequeath):
                self.bequeath(session)
            elif isinstance(message, Holds):
                session.holds.update(message.customers)
            elif isinstance(message, Used):
                self.used(session, message)
            elif isinstance(message, Yielded):
                self.yielded(session, message)
            else:
                raise BadFrame(f"{type(message).__name__} is not a message of a forwarder")

    # requests

    def part_for(self, session: Session, customer: str) -> Part:
        """The part of a customer; raises BadFrame if the forwarder does not lend it."""
        part = self.parts[part_of(customer, len(self.parts))]
        if session.name not in part.lenders:
            raise BadFrame("request for a part that is not lent")
        return part

    def asked(self, session: Session, ask: Ask) -> None:
        """Decides a new request, or queues it just after its part was taken over."""
        session.acked = max(session.acked, ask.ask)
        part = self.part_for(session, ask.customer)
        self.counts["asks"] += 1
        if self.now < part.taken_at + self.terms.gather and len(self.backlog) < self.most_open:
            # quotas and ceilings are unknown until all forwarders have reported their spends; and requests
            # that another planner left arrive in a burst that the backends' limits here would refuse
            if not self.backlog:
                self.timers.append((BACKLOG_INTERVAL_S, BACKLOG_TIMER))
            self.backlog.append((session, ask, part, self.now))
        else:
            self.decide(session, ask, part, self.now)

    def decide(self, session: Session, ask: Ask, part: Part, came: float) -> None:
        """Passes a new request to the module; refuses it at the bound on open requests."""
        left = ask.left - (self.now - came)
        if len(self.jobs) >= self.most_open:
            longest = self.settings.max_retry_after if self.settings.retry_after else 0.0
            session.outbox.append(Refused(ask.ask, min(1.0, longest)))
            return
        job = self.job(session, ask, part, left)
        self.allot_new(part, ask.customer, ask.plan)
        self.run_module(job.request)
        self.record_demand(session, part, ask)

    def job(self, session: Session, ask: Ask | Open, part: Part, left: float) -> Job:
        """Registers a request under a new number of the module."""
        self.last_job += 1
        request = Request(
            self.last_job, ask.klass, ask.plan, ask.customer, self.now + left, ask.units, 1, 0, ask.repeat
        )
        job = self.jobs[self.last_job] = Job(session, ask.ask, part, request)
        session.asks[ask.ask] = self.last_job
        return job

    def opened(self, session: Session, ask: Open) -> None:
        """Continues a request that another process has decided so far."""
        session.acked = max(session.acked, ask.ask)
        part = self.part_for(session, ask.customer)
        self.counts["opens"] += 1
        job = self.job(session, ask, part, ask.left)
        job.sent = len(ask.attempts)
        job.undelivered_attempts = sum(outcome in UNDELIVERED for _, _, outcome in ask.attempts)
        job.charged = self.now if job.undelivered_attempts < job.sent else None
        self.allot_new(part, ask.customer, ask.plan)
        try:
            attempts = tuple(
                (backend, age, OUTCOMES[outcome] if outcome is not None else None)
                for backend, age, outcome in ask.attempts
            )
        except KeyError as error:
            raise BadFrame(f"no outcome: {error}") from error
        self.run_module(Inherited(job.request, ask.age, attempts))
        self.forget(job.request.id)

    def left(self, session: Session, ask: int) -> None:
        """Drops a request that the forwarder no longer asks about."""
        number = session.asks.get(ask)
        if number is not None:
            return self.drop(number)
        self.backlog = deque(w for w in self.backlog if w[0] is not session or w[1].ask != ask)
        return None

    def ended(self, session: Session, ended: Ended) -> None:
        """Passes an attempt's outcome to the module."""
        number = session.asks.get(ended.ask)
        if number is None:
            return  # its end crossed a message about it from here
        outcome = OUTCOMES.get(ended.outcome)
        if outcome is None:
            raise BadFrame(f"no outcome: {ended.outcome!r}")
        units = ended.units if 0.0 <= ended.units <= self.settings.most_units else 0.0
        job = self.jobs[number]
        job.undelivered_attempts += outcome.undelivered
        if self.on_outcome is not None:
            self.on_outcome(ended.backend, outcome)
        if job.charged is not None and job.undelivered_attempts >= job.sent:
            self.ledger.cancel_spend(job.request.customer, job.request.units, job.charged)
            job.charged = None
            if self.on_use is not None:
                self.on_use(job.request.customer, -job.request.units)
        self.run_module(
            AttemptEnded(number, ended.attempt, ended.backend, outcome, ended.elapsed, ended.over, units, ())
        )
        self.forget(number)

    def question(self, question: Question, now: float) -> Verdict | None:
        """Decides an external rate limit query; None if a customer's part is not led here.

        The units that it takes are sent to one forwarder, which records them like its own spends.
        """
        self.advance(now)
        lenders: list[Lender] = []
        for take in question.takes:
            part = self.parts[part_of(take.customer, len(self.parts))]
            linked = [part.lenders[name] for name in sorted(part.lenders) if name in self.sessions]
            if not linked or (not part.whole and self.now < part.taken_at + self.terms.gather):
                return None
            lenders.append(linked[0])
            self.allot_new(part, take.customer, take.plan.name)
        question = replace(question, takes=tuple(replace(take, width=1) for take in question.takes))
        verdict: Verdict | None = None
        for action in self.gateway.handle(question, self.now):
            if isinstance(action, Verdict):
                verdict = action
            else:
                self.act(action)
        assert verdict is not None
        if verdict.granted:
            for take, state, lender in zip(question.takes, verdict.states, lenders, strict=True):
                if state.granted and take.units > 0:
                    name = lender.session.name
                    self.ledger.record(take.customer, take.plan.name, take.units, self.now, name)
                    if self.on_use is not None:
                        self.on_use(take.customer, take.units)
                    lender.session.outbox.append(Taken(take.customer, take.plan.name, take.units))
        return verdict

    def perform(self, actions: Iterable[Action], now: float) -> None:
        """Acts on decisions that were made after their event, as for requests that waited for a service."""
        self.advance(now)
        for action in actions:
            self.act(action)

    def drop(self, number: int) -> None:
        """Stops deciding a request: nothing more is sent about it, and nothing expected."""
        job = self.jobs.pop(number, None)
        if job is None:
            return
        job.session.asks.pop(job.ask, None)
        self.run_module(ClientLeft(number))
        known = self.gateway.jobs.get(number)
        for place, attempt in enumerate(known.attempts if known is not None else ()):
            if attempt.out:  # its outcome stays unknown: it must not count for the backend or its limit
                self.run_module(
                    AttemptEnded(
                        number, place, attempt.server.backend.address, Outcome.CANCELLED, 0.0, True, 0.0, ()
                    )
                )

    def forget(self, number: int) -> None:
        """Forgets a request that the module has finished."""
        job = self.jobs.get(number)
        if job is not None and number not in self.gateway.jobs:
            del self.jobs[number]
            job.session.asks.pop(job.ask, None)

    def run_module(self, event: Event) -> None:
        """Passes an event to the module and follows its actions."""
        for action in self.gateway.handle(event, self.now):
            self.act(action)

    def act(self, action: Action) -> None:
        """Sends an action of the module to the request's forwarder, or schedules its timer."""
        if isinstance(action, SetTimer):
            self.timers.append((action.delay, action.key))
            return
        if not isinstance(action, Send | Refuse | Fail | Cancel):
            return
        job = self.jobs.get(action.request)
        if job is None:
            return
        out = job.session.outbox
        if isinstance(action, Send):
            if job.charged is None:
                job.charged = self.now
                request = job.request
                self.ledger.record(request.customer, request.plan, request.units, self.now, job.session.name)
                if self.on_use is not None:
                    self.on_use(request.customer, request.units)
            out.append(Grant(job.ask, job.sent, action.backend, action.timeout))
            job.sent += 1
            self.counts["grants"] += 1
        elif isinstance(action, Cancel):
            out.append(Cancelled(job.ask, action.attempt))
        else:
            if isinstance(action, Refuse):
                out.append(Refused(job.ask, action.retry_after, self.refusal_reason(job)))
                self.counts["refused"] += 1
            else:
                out.append(Failed(job.ask))
                self.counts["failed"] += 1
            self.forget(action.request)

    def refusal_reason(self, job: Job) -> str:
        """Which limit refused a request, and whether its part was whole."""
        part = job.part
        all_lend = len(part.lenders) >= len(self.forwarders)
        state = "whole" if part.whole else "unproven" if all_lend else "in part"
        return (
            f"{limiting_factor(self.gateway.throttles.get(job.request.customer), job.request.units)}, {state}"
        )

    def timer_due(self, key: str, due: float, now: float) -> None:
        """One of `timers` is due; `now` is not before `due`."""
        self.advance(now)
        if key == BACKLOG_TIMER:
            self.process_backlog()
        elif key[:1] == "o" and now - due >= self.terms.silent_after:
            # an attempt that looks late only because this process was stalled says nothing about its backend:
            # first reads what its forwarder has sent meanwhile, which most likely moved to another planner
            self.timers.append((self.terms.beat_every, key))
        else:
            self.run_module(TimerDue(key))

    def list_told(self, event: BackendList, now: float) -> None:
        """A list from discovery; announces drains, so that grants in flight start no attempt there."""
        self.advance(now)
        self.run_module(event)
        gone = [b.address for b in event.backends if b.status is not Status.SERVING]
        if gone:
            for session in self.sessions.values():
                session.outbox.append(Withdrawn(gone))

    def hold(self, backend: str, out: bool, now: float) -> None:
        """Takes a backend out of rotation or back in, on a council's advice."""
        self.advance(now)
        self.run_module(BackendHold(backend, out))

    # loans

    def spent(self, session: Session, message: Spent) -> None:
        """Keeps reported spends until the Lend that follows them."""
        for customer, _, spends in message.customers:
            session.spends[customer] = [(self.now - age, units) for age, units in spends]

    def lend(self, session: Session, message: Lend) -> None:
        """Takes loans over, with the spends and reserves reported before them."""
        if not all(0 <= number < len(self.parts) for number in message.parts):
            raise BadFrame("no such part")
        spends: dict[int, dict[str, list[tuple[float, float]]]] = {n: {} for n in message.parts}
        holds: dict[int, dict[str, float]] = {n: {} for n in message.parts}
        for customer in list(session.spends):
            number = part_of(customer, len(self.parts))
            if number in spends:
                spends[number][customer] = session.spends.pop(customer)
        for customer in list(session.holds):
            number = part_of(customer, len(self.parts))
            if number in holds:
                holds[number][customer] = session.holds.pop(customer)
        for number in message.parts:
            part = self.parts[number]
            if not part.lenders:
                self.take(part)
            elif part.lenders.keys() != {session.name}:
                # the other lenders may have moved on and made the part whole at another planner, which then
                # spends every share; each must prove first that it still lends here
                part.changed_at = self.now
                self.unproven.add(number)
                self.review(part)
            part.lenders[session.name] = Lender(
                session,
                self.now + max(message.free_in, 0.0),
                self.now - message.remembers,
                spends[number],
                self.now,
                message.term,
                holds[number],
            )
            part.changed_at, part.whole = self.now, False
            self.unconfirmed.add(number)
        lenders = [self.parts[n].lenders for n in message.parts]
        if any(len(those) > 1 or those.keys() >= self.forwarders for those in lenders):
            for other in self.sessions.values():  # speeds up the echoes that prove the loans
                self.beat(other)
        self.review_at = self.now
        self.advance(self.now)

    def prove(self) -> None:
        """Uses the shares of a part with a new lender again once their forwarders have echoed since."""
        for number in sorted(self.unproven):
            part = self.parts[number]
            if all(self.is_proven(part, lender) for lender in part.lenders.values()):
                self.unproven.discard(number)
            self.review(part)

    def confirm(self) -> None:
        """Makes parts whole that all forwarders lend, once each has echoed a beat sent after the last Lend.

        Before that, one of them may have moved to another planner, with its Recall still in flight.
        """
        for number in list(self.unconfirmed):
            part = self.parts[number]
            if part.lenders.keys() >= self.forwarders and all(
                proven_at(lender.session) >= part.changed_at and self.sessions.get(name) is lender.session
                for name, lender in part.lenders.items()
            ):
                self.unconfirmed.discard(number)
                self.make_whole(part)

    def take(self, part: Part) -> None:
        """Takes over a part: nothing is known of its ceilings yet, so they start empty."""
        part.taken_at, part.whole, part.ceiling, part.share = self.now, False, 0.0, 0.0
        self.counts["taken"] += 1
        for customer, plan in part.customers.items():
            if customer in self.gateway.throttles:
                self.run_module(Allotted(customer, plan, 0.0, 0.0, 0.0))

    def make_whole(self, part: Part) -> None:
        """All forwarders follow this planner for the part, so their reports contain all spends."""
        part.whole = True
        for lender in part.lenders.values():
            lender.free_at = min(lender.free_at, self.now)  # no other planner can have anything executed
        self.review(part)
        for customer in list(part.customers):
            plan = self.plans.get(part.customers.get(customer, ""))
            if plan is not None and customer in self.gateway.throttles:
                cap, level = self.remaining(part, customer, plan)
                self.allot(part, customer, plan, cap, level)

    def known_span(self, part: Part) -> float:
        """How many seconds back all forwarders' spends are known."""
        return self.now - max((lender.known_since for lender in part.lenders.values()), default=self.now)

    def remaining(self, part: Part, customer: str, plan: Plan) -> tuple[float, float]:
        """A lower bound of what is left of a ceiling, and an estimate for the quota; the part is whole."""
        spends = [
            (self.now - at, units)
            for lender in part.lenders.values()
            for at, units in lender.spends.get(customer, ())
        ]
        # grants from before the takeover are in the reports, as far as they were executed
        reported = {name: lender.lent_at for name, lender in part.lenders.items()}
        spends += [
            (age, units)
            for age, units in self.ledger.spends_of(customer, self.now, reported)
            if age <= self.now - part.taken_at
        ]
        horizon = horizon_of(plan)
        span = min(horizon, max(self.known_span(part), 0.0))
        cap = replay(plan.ceiling_depth, plan.ceiling_rate, span, 0.0, spends)
        # quotas are soft: spends from before the known span are ignored
        level = replay(plan.burst, plan.rate, span, 0.0 if span >= horizon else plan.burst, spends)
        return cap - self.reserves_held(part, customer), level

    def allot(
        self, part: Part, customer: str, plan: Plan, cap: float | None = None, level: float | None = None
    ) -> None:
        """Sets the customer's part of quota and ceiling in the module, and the levels where known."""
        most, depth = self.reserved.get(plan.name, 0.0), None
        if most > 0:
            depth = depth_left(
                plan,
                part.ceiling,
                self.reserves_held(part, customer),
                len(part.lenders),
                len(self.forwarders),
                most,
            )
        self.run_module(Allotted(customer, plan.name, part.share, part.ceiling, cap, level, depth))

    # reserves

    def reserves_held(self, part: Part, customer: str) -> float:
        """The reserves of a customer's ceiling held by the forwarders that lend the part here."""
        return sum(lender.reserves.get(customer, 0.0) for lender in part.lenders.values())

    def record_demand(self, session: Session, part: Part, ask: Ask) -> None:
        """Records demand by forwarder, and moves the customer's reserve to the forwarders that it uses."""
        plan = self.plans.get(ask.plan)
        if plan is None or (plan.rate <= 0 and plan.ceiling_rate <= 0):
            return
        demand = part.demands.get(ask.customer)
        if demand is None:
            demand = part.demands[ask.customer] = Demand(self.now)
        demand.record(session.name, ask.units, self.now)
        throttle = self.gateway.throttles.get(ask.customer)
        if not part.whole or throttle is None:
            return
        throttle.refill(self.now)
        held = {name: lender.reserves.get(ask.customer, 0.0) for name, lender in part.lenders.items()}
        available = max(throttle.cap - PLANNER_MIN_LEVEL * throttle.cap_depth, 0.0)
        for transfer in rebalance(demand, held, self.reserved[plan.name], available, self.now):
            lender = part.lenders[transfer.forwarder]
            if self.sessions.get(transfer.forwarder) is not lender.session:
                continue
            if transfer.units > 0:
                lender.reserves[ask.customer] = held[transfer.forwarder] + transfer.units
                self.allot(part, ask.customer, plan, throttle.cap - transfer.units)
            lender.session.outbox.append(
                Reserve(ask.customer, plan.name, lender.term, transfer.units, transfer.portion)
            )

    def reserve_left(self, session: Session, customer: str, units: float) -> Part | None:
        """Deducts units from a forwarder's reserve; None if it does not lend the part."""
        part = self.parts[part_of(customer, len(self.parts))]
        lender = part.lenders.get(session.name)
        if lender is None or lender.session is not session:
            return None  # its Lend has reported or will report what it holds
        left = lender.reserves.pop(customer, 0.0) - units
        if left > 0:
            lender.reserves[customer] = left
        return part

    def used(self, session: Session, message: Used) -> None:
        """Records units that a forwarder spent of its reserve."""
        part = self.reserve_left(session, message.customer, message.units)
        plan = self.plans.get(message.plan)
        if part is None or plan is None:
            return
        self.ledger.record(message.customer, message.plan, message.units, self.now, session.name)
        if message.customer in self.gateway.throttles:
            self.allot(part, message.customer, plan)

    def yielded(self, session: Session, message: Yielded) -> None:
        """Takes returned reserve units back into the planner's level."""
        part = self.reserve_left(session, message.customer, message.units)
        throttle = self.gateway.throttles.get(message.customer)
        if part is not None and throttle is not None:
            throttle.refill(self.now)
            # if the part has ceased to be whole since the recall, the units are dropped
            cap = throttle.cap + message.units if part.whole else None
            self.allot(part, message.customer, throttle.plan, cap)

    def allot_new(self, part: Part, customer: str, plan_name: str) -> None:
        """Sets up a customer without a throttle: its first request, or the first after it was idle."""
        part.customers[customer] = plan_name
        plan = self.plans.get(plan_name)
        if plan is None or customer in self.gateway.throttles:
            return
        if part.whole:
            cap, level = self.remaining(part, customer, plan)
        else:
            rate = plan.ceiling_rate / len(self.forwarders)
            shares = [rate * (self.now - lender.free_at) for lender in self.usable(part)]
            cap, level = sum(shares), plan.burst
        self.allot(part, customer, plan, cap, level)

    def usable(self, part: Part) -> list[Lender]:
        """The loans of a part whose shares may be spent now."""
        return [
            lender
            for lender in part.lenders.values()
            if lender.free_at <= self.now < lender.until and self.is_proven(part, lender)
        ]

    def is_proven(self, part: Part, lender: Lender) -> bool:
        """True if the forwarder provably followed this planner after the part's last new loan."""
        if part.number not in self.unproven or lender.lent_at >= part.changed_at:
            return True
        return proven_at(lender.session) >= part.changed_at  # a stopped forwarder can't show it any more

    def recall(self, session: Session, message: Recall) -> None:
        """A forwarder takes parts back, with their requests."""
        wanted = set(message.parts)
        for number in [n for n in session.asks.values() if self.jobs[n].part.number in wanted]:
            self.drop(number)
        for part_number in wanted:
            if 0 <= part_number < len(self.parts):
                self.unlend(self.parts[part_number], session)
        if message.token:
            session.outbox.append(Returned(message.token))

    def bequeath(self, session: Session) -> None:
        """A forwarder stops cleanly: its shares may be spent for `bequest` after its last echo."""
        echoed = session.beats.get(session.echoed)
        if echoed is None:
            return
        for part in self.parts:
            lender = part.lenders.get(session.name)
            if lender is not None and lender.session is session:
                lender.bequest_until = echoed + self.terms.bequest * (1.0 - MAX_CLOCK_DRIFT)
        self.review_at = self.now

    def unlend(self, part: Part, session: Session) -> None:
        """Ends a forwarder's loan of a part."""
        self.backlog = deque(w for w in self.backlog if w[0] is not session or w[2] is not part)
        lender = part.lenders.get(session.name)
        if lender is None or lender.session is not session:
            return
        del part.lenders[session.name]
        part.whole = False
        self.review(part)
        if not part.lenders:
            self.unconfirmed.discard(part.number)
        else:
            self.unconfirmed.add(part.number)

    def review(self, part: Part) -> None:
        """Updates the module after a change in how much of the part's quotas and ceilings is lent here."""
        usable = len(self.usable(part))
        ceiling = usable / len(self.forwarders)
        most = 2 * len(part.lenders) > len(self.forwarders)
        # quotas are soft: the planner with most forwarders serves all of them, others their part
        share = 1.0 if most else len(part.lenders) / len(self.forwarders)
        known = len(part.lenders)
        if (ceiling, share, known) == (part.ceiling, part.share, part.known):
            return
        part.ceiling, part.share, part.known = ceiling, share, known
        for customer, name in list(part.customers.items()):
            plan = self.plans.get(name)
            if customer in self.gateway.throttles and plan is not None:
                self.allot(part, customer, plan)
            else:
                del part.customers[customer]

    # timers

    def echoed(self, session: Session, number: int) -> None:
        """Extends a forwarder's loans from the sending time of the echoed beat."""
        sent = session.beats.get(number)
        if sent is None:
            return
        if number > session.echoed:
            session.echoed = number
            usable_before = self.now < session.loan_until
            session.loan_until = sent + self.terms.usable
            if not usable_before:
                self.review_at = self.now
                self.advance(self.now)
            if self.unproven:
                self.prove()
            if self.unconfirmed:
                self.confirm()

    def beat(self, session: Session) -> None:
        """Sends a beat to a forwarder and remembers when."""
        session.last_beat += 1
        session.beats[session.last_beat] = self.now
        while len(session.beats) > MAX_BEATS:
            del session.beats[next(iter(session.beats))]
        session.outbox.append(Beat(session.last_beat, self.gathered, self.reach))

    def tick(self, now: float) -> None:
        """To be called every `beat_every`: asks all forwarders to renew their loans for one lease."""
        self.advance(now)
        if not self.gathered and self.now >= self.born + self.terms.settle:
            self.gathered = True
        self.count_reach()
        for session in self.sessions.values():
            self.beat(session)
            if self.now - session.heard > self.terms.dead_after:
                self.dead.append(session)
        if self.now >= self.swept_at + SWEEP_INTERVAL_S:
            # forwarders report every end; requests whose end was never reported must not fill the table
            self.swept_at = self.now
            for number in [n for n, job in self.jobs.items() if job.request.deadline + OVERDUE_S < self.now]:
                self.drop(number)
            throttles = self.gateway.throttles
            for _ in range(
                min(PARTS_PRUNED_PER_SWEEP, len(self.parts))
            ):  # customers seen once must not stay forever
                self.pruned = (self.pruned + 1) % len(self.parts)
                part = self.parts[self.pruned]
                part.customers = {c: plan for c, plan in part.customers.items() if c in throttles}
                part.demands = {c: demand for c, demand in part.demands.items() if c in throttles}

    def process_backlog(self) -> None:
        """Decides part of the backlog: the oldest asks of parts that are whole or have waited `gather`."""
        most = max(1, math.ceil(len(self.backlog) * BACKLOG_FRACTION))
        ready: list[tuple[Session, Ask, Part, float]] = []
        rest: deque[tuple[Session, Ask, Part, float]] = deque()
        for waiting in self.backlog:
            part = waiting[2]
            known = part.whole or self.now >= part.taken_at + self.terms.gather
            if known and len(ready) < most:
                ready.append(waiting)
            else:
                rest.append(waiting)
        self.backlog = rest
        for session, ask, part, came in ready:
            self.decide(session, ask, part, came)
        if self.backlog:
            self.timers.append((BACKLOG_INTERVAL_S, BACKLOG_TIMER))

    def advance(self, now: float) -> None:
        """Advances the time, and stops using shares whose loan has ended; precedes every decision."""
        self.now = max(self.now, now)
        if self.now < self.review_at:
            return
        changes = [s.loan_until for s in self.sessions.values() if s.loan_until > self.now]
        for part in self.parts:
            for lender in list(part.lenders.values()):
                if lender.free_at > self.now:
                    changes.append(lender.free_at)
                if lender.bequest_until > self.now:
                    changes.append(lender.bequest_until)
                elif self.sessions.get(lender.session.name) is not lender.session:
                    self.unlend(part, lender.session)  # the bequest has ended
            self.review(part)
        self.review_at = min(changes, default=float("inf"))

    def leave(self, now: float) -> None:
        """A planned stop: the forwarders lend their parts to other planners, and move their requests."""
        self.advance(now)
        self.leaving = True
        for session in self.sessions.values():
            session.outbox.append(Leaving())

    def holds_nothing(self) -> bool:
        """Whether no part is lent here any more."""
        return not any(part.lenders for part in self.parts)

    def status(self) -> dict[str, object]:
        """The status line's figures, explained in docs/operate/tiers.md."""
        led = [part for part in self.parts if part.lenders]
        return {
            "links": len(self.sessions),
            "leads": len(led),
            "whole": sum(part.whole for part in led),
            "open": len(self.jobs),
            "customers": len(self.gateway.throttles),
            **self.counts,
        }

    def take_outbox(self, session: Session) -> tuple[list[AnyMessage], int, int]:
        """Takes the session's outgoing messages: messages, basis, acked."""
        messages, session.outbox, session.acked_told = session.outbox, [], session.acked
        return messages, session.echoed, session.acked
