"""A forwarder's logic: which planner it asks, whose grants it executes, which shares it lends. No I/O.

All decisions on backends, retries and refusals come from the decision module: at a planner, or, if none can
be reached, from a local instance of the module that is limited to this forwarder's share.

A gateway's driver calls `Forwarder.handle` in place of the module's; the links call the other methods. Each
call returns actions for the driver, and leaves messages for planners in `outbox`.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from embersill.control import Gateway
from embersill.interface import (
    Action,
    Allotted,
    AttemptEnded,
    BackendList,
    Cancel,
    ClientLeft,
    Event,
    Fail,
    Inherited,
    Outcome,
    Plan,
    Refuse,
    Repeats,
    Request,
    Send,
    Settings,
    TimerDue,
)
from embersill.tiers.ledger import Ledger
from embersill.tiers.messages import (
    AnyMessage,
    Ask,
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
from embersill.tiers.parts import part_of, ranking
from embersill.tiers.reasons import limiting_factor
from embersill.tiers.terms import Terms

MAX_CUSTOMERS_PER_REVIEW = 2000  # whose spends are reported at once, or one part's: about 20 ms
CUSTOMERS_PER_MESSAGE = 50  # in one Spent message, which then fits any frame
ENDED_LOANS_KEPT_S = 60.0  # an ended loan is kept this long: the share may refill from its end
WRITE_GRACE_S = (
    0.05  # a request may be written this long after its grant's freshness: 0.5 s in all, less drift
)
ALONE_QUOTA_FACTOR = 1.5  # without a planner it serves this multiple of its part of a quota: rather too much
MAX_ECHOES = 64  # whose times are kept: far more than fit into a grant's freshness


@dataclass(slots=True)
class Link:
    """The state of one planner. While `up` is False nothing is sent to it."""

    name: str
    up: bool = False
    leaving: bool = False
    gathered: bool = False
    silent: bool = False
    incarnation: str = ""
    heard: float = 0.0  # when its last message arrived
    reach: int = -1  # forwarders that it says it receives from; negative: not reported yet
    short: bool = False  # it has reached fewer forwarders than another planner for `silent_after`
    short_since: float = float("inf")  # since when it has reached fewer, before that counts
    reachable_since: float = 0.0  # since when it is reachable
    echoes: dict[int, float] = field(default_factory=dict)  # beat number: when it was echoed
    last_echo: float = float("-inf")
    acked: int = 0

    @property
    def fit(self) -> bool:
        """Whether parts may be lent to the planner."""
        return self.up and not (self.leaving or self.silent)


@dataclass(slots=True)
class Part:
    """This forwarder's state of one part of the customers."""

    number: int
    order: list[str]  # its planners, the most preferred first
    holder: Link | None = None
    term: int = 0  # identifier of the loan to the holder
    lent: bool = True  # some planner may still use the share; updated at each tick
    # incarnations of planners that held it: until when each may use this forwarder's share of its ceilings
    loans: dict[str, float] = field(default_factory=dict)
    recalled: int = 0  # token of a pending Recall; zero if there is none
    recall_until: float = 0.0

    def free_at(self, but_for: str | None = None) -> float:
        """When no planner may use the share any more, except the incarnation `but_for`."""
        return max((until for life, until in self.loans.items() if life != but_for), default=0.0)

    def forget_ended(self, now: float) -> None:
        """Drops loans that ended more than ENDED_LOANS_KEPT_S ago."""
        self.loans = {life: until for life, until in self.loans.items() if until > now - ENDED_LOANS_KEPT_S}


@dataclass(slots=True)
class Reserved:
    """This forwarder's reserve of a customer's ceiling, and its fraction of the customer's demand."""

    units: float
    portion: float


NO_RESERVE = Reserved(0.0, 0.0)  # shared default of customers without a reserve; never modified


@dataclass(slots=True, eq=False)
class Task:
    """A request that is unanswered or has attempts in flight."""

    request: Request
    part: Part
    arrived: float
    ask: int = 0  # its identifier at the deciding planner; zero: decided locally, or waiting
    link: Link | None = None
    local: bool = False
    over: bool = False
    charged: float | None = None  # when its units were recorded in the ledger, if they are there
    # (backend, sent, outcome), indexed by the driver's attempt numbers
    attempts: list[tuple[str, float, Outcome | None]] = field(default_factory=list)
    planner_attempts: list[int] = field(
        default_factory=list
    )  # the planner's attempts: the driver's number of each


class Forwarder:
    """One of `forwarders` forwarders, which ask `planners` about the customers in `parts` parts."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        now: float,
        *,
        forwarders: int,
        planners: Iterable[str],
        parts: int,
        terms: Terms,
        most_customers: int = 20_000,
    ) -> None:
        self.settings, self.terms, self.share = settings, terms, 1.0 / forwarders
        self.plans = {p.name: p for p in settings.plans}
        self.keyed = {c.name: c for c in settings.classes if c.repeats is Repeats.BY_KEY}
        # the local module decides as one of several gateways, without a counter for the others' use
        alone = replace(settings, gateways=forwarders, counter=False)
        self.local = Gateway(alone, seed, now)
        self.links = {name: Link(name) for name in planners}
        self.parts = [
            # an earlier process may have lent the share, and it may still be in use
            Part(n, ranking(n, self.links), loans={"": now + terms.bequest})
            for n in range(parts)
        ]
        self.ledger = Ledger(settings.plans, most_customers, now, parts)
        self.lend_pending = False  # parts wait to be lent: a report takes time in which nothing is forwarded
        self.tasks: dict[int, Task] = {}
        self.asks: dict[int, Task] = {}
        self.last_ask = self.last_token = self.last_term = 0
        self.most_customers = most_customers
        self.reserves: dict[str, Reserved] = {}  # by customer, the most recently updated last
        self.patience: list[
            tuple[float, int]
        ] = []  # heap of (until, ask) that the planner has not acknowledged
        self.outbox: dict[str, list[AnyMessage]] = {name: [] for name in self.links}
        self.actions: list[Action] = []
        self.dead: list[str] = []  # planners whose links are to be closed, since nothing arrives on them
        self.withdrawn: list[str] = []  # backends that planners report as draining, for the driver's pool
        self.refusals: Counter[str] = Counter()  # by reason
        self.on_refused: Callable[[Request, str], None] | None = None  # called for each refusal
        self.counts = {"asked": 0, "local": 0, "moved": 0, "stale": 0}
        self.now = now
        self.stopping = False

    # called by the driver

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handles an event of the driver and returns actions for it."""
        self.now = max(self.now, now)
        self.actions = []
        if isinstance(event, Request):
            self.arrive(event)
        elif isinstance(event, AttemptEnded):
            self.attempt_ended(event)
        elif isinstance(event, ClientLeft):
            self.client_left(event)
        elif isinstance(event, BackendList | TimerDue):
            self.run_local(event)
        return self.actions

    def arrive(self, request: Request) -> None:
        """Starts a task for a new request."""
        part = self.parts[part_of(request.customer, len(self.parts))]
        task = Task(request, part, self.now)
        self.tasks[request.id] = task
        self.dispatch(task)

    def dispatch(self, task: Task) -> None:
        """Asks the part's holder about a task, or decides it locally if there is none."""
        part = task.part
        if part.holder is None:
            self.decide_here(task)
        elif not part.recalled:  # else it waits for the part to move, in `lend` or at a tick
            self.ask(task, part.holder)

    def ask(self, task: Task, link: Link) -> None:
        """Sends a task to a planner, and limits the wait for the planner's acknowledgement."""
        request = task.request
        self.last_ask += 1
        task.ask, task.link = self.last_ask, link
        self.asks[task.ask] = task
        task.planner_attempts = list(range(len(task.attempts)))
        left = request.deadline - self.now
        if task.attempts:
            attempts = [
                (backend, self.now - sent, outcome.value if outcome is not None else None)
                for backend, sent, outcome in task.attempts
            ]
            message: AnyMessage = Open(
                task.ask,
                request.klass,
                request.plan,
                request.customer,
                left,
                request.units,
                request.repeat,
                self.now - task.arrived,
                attempts,
            )
        else:
            message = Ask(
                task.ask, request.klass, request.plan, request.customer, left, request.units, request.repeat
            )
        self.outbox[link.name].append(message)
        self.counts["asked"] += 1
        budget = request.deadline - task.arrived
        until = task.arrived + min(self.terms.patience_part * budget, self.terms.patience_most)
        heapq.heappush(self.patience, (max(until, self.now + self.terms.patience_least), task.ask))

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Records an attempt's outcome and reports it to whoever decides the task."""
        task = self.tasks.get(event.request)
        if task is None or event.attempt >= len(task.attempts):
            return
        backend, sent, _ = task.attempts[event.attempt]
        task.attempts[event.attempt] = backend, sent, event.outcome
        if task.charged is not None and all(
            outcome is not None and outcome.undelivered for _, _, outcome in task.attempts
        ):
            self.ledger.cancel_spend(task.request.customer, task.request.units, task.charged)
            task.charged = None
        task.over = task.over or event.over
        if task.local:
            self.run_local(event)
        elif task.link is not None and event.attempt in task.planner_attempts:
            self.outbox[task.link.name].append(
                Ended(
                    task.ask,
                    task.planner_attempts.index(event.attempt),
                    event.backend,
                    event.outcome.value,
                    event.elapsed,
                    event.over,
                    event.true_units,
                )
            )
        self.forget(task)

    def client_left(self, event: ClientLeft) -> None:
        """Ends a task whose client disconnected."""
        task = self.tasks.get(event.request)
        if task is None:
            return
        task.over = True
        if task.local:
            self.run_local(event)
        elif task.link is not None:
            self.outbox[task.link.name].append(Left(task.ask))
        self.forget(task)

    def forget(self, task: Task) -> None:
        """Drops a request that is answered and whose last attempt has ended."""
        if task.over and all(outcome is not None for _, _, outcome in task.attempts):
            self.tasks.pop(task.request.id, None)
            self.asks.pop(task.ask, None)

    # local decisions

    def decide_here(self, task: Task) -> None:
        """Lets the local module decide a request, with its attempts so far and this forwarder's share."""
        self.release(task)
        task.local = True
        self.counts["local"] += 1
        request = replace(task.request, width=1)
        self.allot_alone(request.customer, request.plan, task.part)
        if task.attempts:
            self.run_local(
                Inherited(
                    request,
                    self.now - task.arrived,
                    tuple((backend, self.now - sent, outcome) for backend, sent, outcome in task.attempts),
                )
            )
        else:
            self.run_local(request)

    def allot_alone(self, customer: str, plan_name: str, part: Part) -> None:
        """Allots this forwarder's part of a quota, and of a ceiling once no planner may use it."""
        plan = self.plans.get(plan_name)
        if plan is None:
            return
        kept, cap = self.reserves.get(customer, NO_RESERVE), None
        if plan.ceiling_rate > 0 and (part.lent or customer not in self.local.throttles):
            cap = self.cap_alone(part, plan, kept)
        self.allot_local(part, customer, plan, kept, cap)

    def cap_alone(self, part: Part, plan: Plan, kept: Reserved) -> float:
        """The available part of a ceiling of which nothing was spent locally since it was last lent.

        The reserve is always available. The share fills from the moment that no planner may use it any more,
        even if this is computed later.
        """
        filled = 0.0 if part.lent else plan.ceiling_rate * self.share * (self.now - part.free_at())
        return kept.units + filled

    def allot_local(self, part: Part, customer: str, plan: Plan, kept: Reserved, cap: float | None) -> None:
        """Sets this forwarder's part of a customer's quota and ceiling in the local module."""
        # quotas are soft: a customer that is new to this forwarder gets at least an even part
        portion = min(ALONE_QUOTA_FACTOR * max(kept.portion, self.share), 1.0)
        ceiling, depth = self.share, max(plan.ceiling_depth * self.share, kept.units)
        if part.lent:  # a lent share does not fill here
            ceiling, depth = 0.0, kept.units
        self.run_local(Allotted(customer, plan.name, portion, ceiling, cap, None, depth))

    def allot_part(self, part: Part) -> None:
        """Updates the module after the share was lent or freed, so that it never spends a lent share."""
        part.lent = part.holder is not None or part.free_at() > self.now
        for customer, throttle in list(self.local.throttles.items()):
            plan = throttle.plan
            if plan.ceiling_rate > 0 and part_of(customer, len(self.parts)) == part.number:
                kept = self.reserves.get(customer, NO_RESERVE)
                self.allot_local(part, customer, plan, kept, self.cap_alone(part, plan, kept))

    def on_reserve(self, link: Link, message: Reserve) -> None:
        """A planner adds units to a reserve or recalls some; counts only within the current loan.

        The planner has forgotten what it sent in an earlier loan and would hand out the same units again.
        """
        part = self.parts[part_of(message.customer, len(self.parts))]
        if part.holder is not link or part.term != message.term or message.plan not in self.plans:
            return
        kept = self.reserves.pop(message.customer, None) or Reserved(0.0, self.share)
        if len(self.reserves) >= self.most_customers:
            del self.reserves[next(iter(self.reserves))]  # its units are lost until the part is lent again
        self.reserves[message.customer] = kept
        kept.portion = message.portion
        back = min(kept.units, max(-message.units, 0.0))
        kept.units += max(message.units, 0.0) - back
        if back:
            self.outbox[link.name].append(Yielded(message.customer, back))
        if message.customer in self.local.throttles:  # waiting requests may use what is held, and no more
            self.allot_local(part, message.customer, self.plans[message.plan], kept, kept.units)

    def take_reserve(self, task: Task) -> None:
        """Deducts the units of a locally decided request from the reserve."""
        request, part = task.request, task.part
        plan, kept = self.plans.get(request.plan), self.reserves.get(request.customer)
        if plan is None or plan.ceiling_rate <= 0 or kept is None:
            return
        kept.units = max(kept.units - request.units, 0.0)
        if part.holder is not None and not part.recalled:
            self.outbox[part.holder.name].append(Used(request.customer, request.plan, request.units))

    def run_local(self, event: Event) -> None:
        """Passes an event to the local module and follows its actions."""
        for action in self.local.handle(event, self.now):
            if isinstance(action, Send):
                task = self.tasks[action.request]
                self.started(task, action.backend)
            elif isinstance(action, Refuse | Fail):
                task = self.tasks[action.request]
                task.over = True
                if isinstance(action, Refuse):
                    throttle = self.local.throttles.get(task.request.customer)
                    self.refused(
                        task, f"{limiting_factor(throttle, task.request.units)}, {self.state(task.part)}"
                    )
                self.forget(task)
            self.actions.append(action)

    def started(self, task: Task, backend: str) -> None:
        """Records an attempt; a request's units are charged with its first one."""
        if task.charged is None:
            task.charged = self.now
            request = task.request
            self.ledger.record(request.customer, request.plan, request.units, self.now)
            if task.local:
                self.take_reserve(task)
        task.attempts.append((backend, self.now, None))

    def release(self, task: Task) -> None:
        """Takes a request back from its planner, whose later messages about it are ignored."""
        if task.link is not None and task.link.up:
            self.outbox[task.link.name].append(Left(task.ask))
        self.asks.pop(task.ask, None)
        task.ask, task.link = 0, None

    # called by the links

    def link_up(self, planner: str, incarnation: str, now: float) -> list[Action]:
        """A session with a planner has started; `incarnation` identifies the planner's process."""
        self.begin(now)
        link = self.links[planner]
        link.up, link.leaving, link.silent, link.gathered = True, False, False, False
        link.incarnation, link.heard, link.acked = incarnation, self.now, 0
        self.mark_reachable(link)
        link.echoes.clear()
        self.outbox[planner].clear()
        self.review()
        return self.actions

    def link_lost(self, planner: str, now: float) -> list[Action]:
        """No path leads to a planner: treats it as silent until a message arrives again."""
        self.begin(now)
        link = self.links[planner]
        if link.up and not link.silent:
            link.silent = True
            self.review()
        return self.actions

    def link_down(self, planner: str, now: float) -> list[Action]:
        """The session has ended: messages that have not arrived never will."""
        self.begin(now)
        link = self.links[planner]
        if link.up:
            link.up = False
            self.outbox[planner].clear()
            self.review()
        return self.actions

    def received(self, planner: str, batch: Batch, now: float) -> list[Action]:
        """Handles a batch from a planner whose link is up."""
        self.begin(now)
        link = self.links[planner]
        if not link.up:
            return self.actions
        link.heard, link.acked = self.now, max(link.acked, batch.acked)
        if link.silent:
            link.silent = False
            self.mark_reachable(link)
            self.review()
        for message in batch.messages:
            if isinstance(message, Grant):
                self.granted(link, message, batch.basis)
            elif isinstance(message, Refused | Failed):
                self.answered(link, message)
            elif isinstance(message, Cancelled):
                task = self.asks.get(message.ask)
                if task is not None and task.link is link and message.attempt < len(task.planner_attempts):
                    place = task.planner_attempts[message.attempt]
                    if place >= 0:
                        self.actions.append(Cancel(task.request.id, place))
            elif isinstance(message, Beat):
                self.echo(link, message)
            elif isinstance(message, Returned):
                self.returned(link, message.token)
            elif isinstance(message, Withdrawn):
                self.withdrawn.extend(message.backends)
            elif isinstance(message, Taken):
                self.ledger.record(message.customer, message.plan, message.units, self.now)
            elif isinstance(message, Reserve):
                self.on_reserve(link, message)
            elif isinstance(message, Leaving):
                link.leaving = True
                self.review()
        return self.actions

    def mark_reachable(self, link: Link) -> None:
        """A planner is reachable again. If another one has served meanwhile, waits for its next reach.

        So all forwarders return to it at the same time, also those that never lost it. A forwarder that
        lost all planners goes back to the first planner of each part at once, as all forwarders do.
        """
        link.reach = -1
        link.short = any(
            other.fit and self.now - other.reachable_since >= self.terms.settle
            for other in self.links.values()
            if other is not link
        )
        link.short_since, link.reachable_since = float("inf"), self.now

    def begin(self, now: float) -> None:
        """Starts a call: advances the time and clears the actions."""
        self.now = max(self.now, now)
        self.actions = []

    def echo(self, link: Link, beat: Beat) -> None:
        """Answers a beat, which renews the loans to the planner."""
        self.outbox[link.name].append(Echo(beat.number))
        link.echoes[beat.number] = link.last_echo = self.now
        while len(link.echoes) > MAX_ECHOES:
            del link.echoes[next(iter(link.echoes))]
        link.reach = beat.reach
        if beat.gathered and not link.gathered:
            link.gathered = True
            self.review()

    def granted(self, link: Link, grant: Grant, basis: int) -> None:
        """Starts a granted attempt, unless the grant is no longer fresh."""
        task = self.asks.get(grant.ask)
        if task is None or task.link is not link:
            return  # taken back or over: the planner is or will be notified
        if grant.attempt != len(task.planner_attempts):
            return  # already executed or rejected
        echoed = link.echoes.get(basis)
        if task.over or echoed is None or self.now - echoed > self.terms.fresh:
            # so old a grant may rely on a share that has been lent to another planner, or name a backend that
            # is draining by now
            self.counts["stale"] += 1
            task.planner_attempts.append(-1)
            self.outbox[link.name].append(
                Ended(task.ask, grant.attempt, grant.backend, Outcome.NOT_SENT.value, 0.0, task.over, 0.0)
            )
            return
        task.planner_attempts.append(len(task.attempts))
        self.started(task, grant.backend)
        # a slow dial does not extend the grant's freshness
        write_by = min(echoed + self.terms.fresh + WRITE_GRACE_S, self.remembered_until(task))
        self.actions.append(Send(task.request.id, grant.backend, grant.timeout, write_by))

    def remembered_until(self, task: Task) -> float:
        """Until when a keyed request may be repeated: while attempts that may have run are remembered."""
        klass = self.keyed.get(task.request.klass)
        if klass is None or len(task.attempts) < 2:
            return float("inf")
        risky = (sent for _, sent, outcome in task.attempts[:-1] if outcome is None or not outcome.never_ran)
        return min(risky, default=float("inf")) + klass.memory

    def answered(self, link: Link, message: Refused | Failed) -> None:
        """Passes a planner's final answer on to the driver."""
        task = self.asks.get(message.ask)
        if task is None or task.link is not link or task.over:
            return
        task.over = True
        number = task.request.id
        if isinstance(message, Refused):
            self.actions.append(Refuse(number, message.retry_after))
            self.refused(task, message.why)
        else:
            self.actions.append(Fail(number))
        self.forget(task)

    def refused(self, task: Task, why: str) -> None:
        """Counts a refusal by its reason."""
        self.refusals[why] += 1
        if self.on_refused is not None:
            self.on_refused(task.request, why)

    def state(self, part: Part) -> str:
        """The state of a part's share, for the reason of a local refusal."""
        if part.holder is not None:
            return "not taken"  # by the planner that was asked
        return "alone, still lent" if part.free_at() > self.now else "alone"

    # lending parts to planners

    def judge_reach(self) -> bool:
        """Updates which planners are short of forwarders; True if that changed.

        A planner can't use the shares of forwarders that it does not hear, so parts are better lent to a
        planner that hears more of them. All forwarders receive the same counts, hence they move together. A
        planner is left once it was short for `silent_after`, within which all planners notice a forwarder
        that is gone from all of them. It is used again as soon as its count is restored, since it counts
        only forwarders that it has heard for `settle`.
        """
        most = max((link.reach for link in self.links.values() if link.fit), default=0)
        changed = False
        for link in self.links.values():
            if not link.fit or (link.reach < 0 and not link.short):
                continue  # it has not reported its count yet
            if link.reach >= most:
                changed |= link.short
                link.short, link.short_since = False, float("inf")
            elif not link.short:
                link.short_since = min(link.short_since, self.now)
                if self.now - link.short_since >= self.terms.silent_after:
                    link.short = changed = True
        return changed

    def best_for(self, part: Part) -> Link | None:
        """The first reachable planner that is not short of forwarders, else the first reachable one."""
        fit = [link for link in map(self.links.__getitem__, part.order) if link.fit]
        return next((link for link in fit if not link.short), fit[0] if fit else None)

    def review(self) -> None:
        """Moves parts whose planner is gone, or whose preferred planner is back."""
        lent: dict[str, list[Part]] = {}
        room, self.lend_pending = MAX_CUSTOMERS_PER_REVIEW, False
        for part in self.parts:
            best = self.best_for(part)
            holder = part.holder
            if holder is not None and not (holder.up and not holder.silent):
                self.detach(part)
            elif holder is not None and best is not None and best is not holder:
                if best.gathered or holder.leaving or (holder.short and not best.short):
                    self.recall(part, holder)
                continue
            if part.holder is None and best is not None and not self.stopping:
                if room <= 0:
                    self.lend_pending = True  # continued at the next tick
                    continue
                room -= len(self.ledger.by_part[part.number])
                lent.setdefault(best.name, []).append(part)
        for name, parts in lent.items():
            self.lend(self.links[name], parts)

    def detach(self, part: Part) -> None:
        """The holder is gone or silent; it may use this forwarder's share until the loan ends."""
        link = part.holder
        assert link is not None
        part.holder, part.recalled = None, 0
        until = link.last_echo + self.terms.lease
        part.loans[link.incarnation] = max(part.loans.get(link.incarnation, until), until)
        part.forget_ended(self.now)
        if link.up:
            # it may only have paused: a late echo must not renew the loan of this part
            self.outbox[link.name].append(Recall([part.number], 0))
        self.allot_part(part)

    def recall(self, part: Part, holder: Link) -> None:
        """Asks the holder to return a part, once."""
        if not part.recalled:
            self.last_token += 1
            part.recalled, part.recall_until = self.last_token, self.now + self.terms.recall
            self.outbox[holder.name].append(Recall([part.number], part.recalled))

    def returned(self, link: Link, token: int) -> None:
        """The holder has returned its parts: lends them to another planner."""
        for part in self.parts:
            if part.recalled == token and part.holder is link:
                part.holder, part.recalled = None, 0
                part.loans[""] = max(part.loans.get("", 0.0), self.now)
                part.loans.pop(link.incarnation, None)
                self.review()
                if part.holder is None:
                    self.allot_part(part)
                return

    def lend(self, link: Link, parts: list[Part]) -> None:
        """Lends parts that have no holder, with the reports that the new holder needs."""
        numbers = {part.number for part in parts}
        out = self.outbox[link.name]
        report = [told for part in parts for told in self.ledger.report(part.number, self.now)]
        for start in range(0, len(report), CUSTOMERS_PER_MESSAGE):
            out.append(Spent(report[start : start + CUSTOMERS_PER_MESSAGE]))
        holds = [
            (customer, kept.units)
            for customer, kept in self.reserves.items()
            if kept.units > 0 and part_of(customer, len(self.parts)) in numbers
        ]
        for start in range(0, len(holds), CUSTOMERS_PER_MESSAGE):
            out.append(Holds(holds[start : start + CUSTOMERS_PER_MESSAGE]))
        remembers = self.now - self.ledger.since
        self.last_term += 1
        groups: dict[float, list[int]] = {}
        for part in parts:
            # what the same incarnation still has of an earlier loan does not conflict with the new one
            free_in = max(part.free_at(link.incarnation) - self.now, 0.0)
            groups.setdefault(free_in, []).append(part.number)
            part.holder, part.term = link, self.last_term
        for free_in, members in groups.items():
            out.append(Lend(members, remembers, free_in, self.last_term))
        self.counts["moved"] += len(parts)
        for task in list(self.tasks.values()):
            if task.part.number in numbers and not (task.local or task.over):
                # a request that waits for the move has no planner to be taken back from
                self.asks.pop(task.ask, None)
                self.ask(task, link)
            elif task.part.number in numbers and task.local and not (task.over or task.attempts):
                self.run_local(ClientLeft(task.request.id))  # it waits here for tokens that are lent now
                task.local = False
                self.ask(task, link)
            elif task.part.number in numbers and task.over and not task.local:
                self.asks.pop(
                    task.ask, None
                )  # answered: its attempts in flight do not concern the new holder
                task.link = None
        for part in parts:
            self.allot_part(part)

    # timers

    def tick(self, now: float) -> list[Action]:
        """To be called every few tens of milliseconds: bounds all waiting for planners."""
        self.begin(now)
        changed = False
        for link in self.links.values():
            if link.up and not link.silent and self.is_silent(link):
                link.silent = changed = True
            if link.up and self.now - link.heard > self.terms.dead_after:
                self.dead.append(link.name)
        for part in self.parts:
            if part.recalled and self.now >= part.recall_until:
                self.detach(part)
                changed = True
        if self.judge_reach() or changed or self.lend_pending:
            self.review()
        for part in self.parts:
            if part.lent and part.holder is None and part.free_at() <= self.now:
                self.allot_part(part)
        self.settle_unheld()
        while self.patience and self.patience[0][0] <= self.now:
            _, ask = heapq.heappop(self.patience)
            task = self.asks.get(ask)
            if task is not None and task.link is not None and not task.over and ask > task.link.acked:
                self.decide_here(task)
        return self.actions

    def is_silent(self, link: Link) -> bool:
        """Silent for `silent_after` while another planner is heard, or else for twice as long."""
        silent = self.now - link.heard
        if silent <= self.terms.silent_after:
            return False
        late = self.now - self.terms.resent_after
        other = any(other.fit and other.heard >= late for other in self.links.values() if other is not link)
        return other or silent > 2 * self.terms.silent_after

    def settle_unheld(self) -> None:
        """Decides locally the requests of parts without a holder, which no planner could take."""
        if all(part.holder is not None for part in self.parts):
            return
        for task in list(self.tasks.values()):
            if not (task.local or task.over) and task.part.holder is None:
                self.decide_here(task)

    def stop(self, now: float) -> None:
        """To be called after the last request: leaves the lent shares to their holders for `bequest`."""
        self.begin(now)
        self.stopping = True
        for name in {part.holder.name for part in self.parts if part.holder is not None}:
            self.outbox[name].append(Bequeath())

    def status(self) -> dict[str, object]:
        """The status line's figures, explained in docs/operate/tiers.md."""
        holders: dict[str, int] = {}
        for part in self.parts:
            name = part.holder.name if part.holder is not None else ""
            holders[name] = holders.get(name, 0) + 1
        fit = sorted(link.name for link in self.links.values() if link.fit)
        return {
            "links": fit,
            "holders": holders,
            "open": len(self.tasks),
            **self.counts,
            "refusals": dict(self.refusals),
            "reserved": round(sum(kept.units for kept in self.reserves.values()), 1),
        }
