"""What a forwarder decides itself: whom it asks, whose word it obeys, and what it lends. No I/O.

Everything about servers, retries and refusals comes from the decision module: at a planner, or, where none
can be asked, in an instance of the module here that has this forwarder's share and no more.

`Forwarder.handle` is what a gateway's driver calls in place of the module's; the links call the rest. Each
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

LENT_AT_ONCE = 2000  # customers whose spends are reported in one go, or those of one part: some 20 ms
REPORTED = 50  # customers in one Spent message: it fits any frame
REMEMBERED = 60.0  # seconds after its end that a loan is kept: for so long a share may have filled since
WRITTEN_WITHIN = 0.05  # seconds past its freshness that a grant's request may begin: 0.5 s in all, less drift
ALONE = 1.5  # times its part of a quota that a forwarder on its own serves: rather a little too much
KEPT_ECHOES = 64  # of which the times are kept: far more than fit into a grant's freshness


@dataclass(slots=True)
class Link:
    """What is known of one planner. Down: `up` is False, and nothing is sent to it."""

    name: str
    up: bool = False
    leaving: bool = False
    gathered: bool = False
    silent: bool = False
    incarnation: str = ""
    heard: float = 0.0  # when it last said anything
    reach: int = -1  # how many forwarders it hears, by its word; below nought: it has not said
    short: bool = False  # it has heard fewer than another planner for long enough to count
    turned: float = float("inf")  # since when it has heard fewer, while that does not count yet
    fit_since: float = 0.0  # when it was heard again, after it was not
    echoes: dict[int, float] = field(default_factory=dict)  # beat: when it was echoed
    last_echo: float = float("-inf")
    acked: int = 0

    @property
    def fit(self) -> bool:
        return self.up and not (self.leaving or self.silent)


@dataclass(slots=True)
class Part:
    """One part of the customers, as this forwarder sees it."""

    number: int
    order: list[str]  # its planners, the first choice first
    holder: Link | None = None
    term: int = 0  # of the loan to it
    lent: bool = True  # some planner may still use the share; looked at with each tick
    # incarnations of planners that held it: until when each may use this forwarder's share of its ceilings
    loans: dict[str, float] = field(default_factory=dict)
    recalled: int = 0  # token of a Recall that is out; nought if none is
    recall_until: float = 0.0

    def free_at(self, but_for: str | None = None) -> float:
        """When no planner uses the share any more, but for the life of one that is named."""
        return max((until for life, until in self.loans.items() if life != but_for), default=0.0)

    def forget_ended(self, now: float) -> None:
        self.loans = {life: until for life, until in self.loans.items() if until > now - REMEMBERED}


@dataclass(slots=True)
class Reserved:
    """What this forwarder holds of a customer's ceiling, and its part of what the customer asks for."""

    units: float
    portion: float


NOTHING = Reserved(0.0, 0.0)  # of a customer of whom this forwarder was told nothing: never changed


@dataclass(slots=True, eq=False)
class Task:
    """A request that the driver owes an answer or whose attempts are out."""

    request: Request
    part: Part
    arrived: float
    ask: int = 0  # its name at the planner that decides it; nought: it is decided here, or waits
    link: Link | None = None
    local: bool = False
    over: bool = False
    charged: float | None = None  # when its units were put into the ledger, if they stand there
    # (backend, sent, outcome) by the driver's numbers
    attempts: list[tuple[str, float, Outcome | None]] = field(default_factory=list)
    theirs: list[int] = field(default_factory=list)  # the driver's number of each attempt of the planner's


class Forwarder:
    """One forwarder among `forwarders`, which ask `planners` about `parts` parts of the customers."""

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
        # the module here decides alone, as one of the forwarders, with no counter to tell of the others
        alone = replace(settings, gateways=forwarders, counter=False)
        self.local = Gateway(alone, seed, now)
        self.links = {name: Link(name) for name in planners}
        self.parts = [
            # what an earlier life of this process lent may still be in use
            Part(n, ranking(n, self.links), loans={"": now + terms.bequest})
            for n in range(parts)
        ]
        self.ledger = Ledger(settings.plans, most_customers, now, parts)
        self.unlent = False  # parts wait to be lent: each costs time in which nothing is forwarded
        self.tasks: dict[int, Task] = {}
        self.asks: dict[int, Task] = {}
        self.last_ask = self.last_token = self.last_term = 0
        self.most_customers = most_customers
        self.reserves: dict[str, Reserved] = {}  # by customer, the one told of last at the end
        self.patience: list[tuple[float, int]] = []  # heap of (until, ask) not known to be taken
        self.outbox: dict[str, list[AnyMessage]] = {name: [] for name in self.links}
        self.actions: list[Action] = []
        self.dead: list[str] = []  # planners whose links are to be closed: nothing is heard on them
        self.withdrawn: list[str] = []  # backends that planners say drain, for the driver's pool
        self.refusals: Counter[str] = Counter()  # by reason
        self.on_refused: Callable[[Request, str], None] | None = None  # for whoever wants each
        self.counts = {"asked": 0, "local": 0, "moved": 0, "stale": 0}
        self.now = now
        self.stopping = False

    # the driver's side

    def handle(self, event: Event, now: float) -> list[Action]:
        self.now = max(self.now, now)
        self.actions = []
        if isinstance(event, Request):
            self.arrive(event)
        elif isinstance(event, AttemptEnded):
            self.attempt_ended(event)
        elif isinstance(event, ClientLeft):
            self.client_left(event)
        elif isinstance(event, BackendList | TimerDue):
            self.tell_local(event)
        return self.actions

    def arrive(self, request: Request) -> None:
        part = self.parts[part_of(request.customer, len(self.parts))]
        task = Task(request, part, self.now)
        self.tasks[request.id] = task
        self.dispatch(task)

    def dispatch(self, task: Task) -> None:
        part = task.part
        if part.holder is None:
            self.decide_here(task)
        elif not part.recalled:  # else it waits for the move, which `lend` or a tick ends
            self.ask(task, part.holder)

    def ask(self, task: Task, link: Link) -> None:
        request = task.request
        self.last_ask += 1
        task.ask, task.link = self.last_ask, link
        self.asks[task.ask] = task
        task.theirs = list(range(len(task.attempts)))
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
            self.tell_local(event)
        elif task.link is not None and event.attempt in task.theirs:
            self.outbox[task.link.name].append(
                Ended(
                    task.ask,
                    task.theirs.index(event.attempt),
                    event.backend,
                    event.outcome.value,
                    event.elapsed,
                    event.over,
                    event.true_units,
                )
            )
        self.forget(task)

    def client_left(self, event: ClientLeft) -> None:
        task = self.tasks.get(event.request)
        if task is None:
            return
        task.over = True
        if task.local:
            self.tell_local(event)
        elif task.link is not None:
            self.outbox[task.link.name].append(Left(task.ask))
        self.forget(task)

    def forget(self, task: Task) -> None:
        """A request is over with its answer and the end of its last attempt."""
        if task.over and all(outcome is not None for _, _, outcome in task.attempts):
            self.tasks.pop(task.request.id, None)
            self.asks.pop(task.ask, None)

    # decisions made here

    def decide_here(self, task: Task) -> None:
        """Has the module here decide a request, with its attempts so far and this forwarder's share."""
        self.release(task)
        task.local = True
        self.counts["local"] += 1
        request = replace(task.request, width=1)
        self.allot_here(request.customer, request.plan, task.part)
        if task.attempts:
            self.tell_local(
                Inherited(
                    request,
                    self.now - task.arrived,
                    tuple((backend, self.now - sent, outcome) for backend, sent, outcome in task.attempts),
                )
            )
        else:
            self.tell_local(request)

    def allot_here(self, customer: str, plan_name: str, part: Part) -> None:
        """This forwarder's part of a customer's quota, and of its ceiling once nobody else may use it."""
        plan = self.plans.get(plan_name)
        if plan is None:
            return
        kept, cap = self.reserves.get(customer, NOTHING), None
        if plan.ceiling_rate > 0 and (part.lent or customer not in self.local.throttles):
            cap = self.cap_here(part, plan, kept)
        self.allot_local(part, customer, plan, kept, cap)

    def cap_here(self, part: Part, plan: Plan, kept: Reserved) -> float:
        """What is here of a ceiling that nothing was spent of here since it was lent last.

        The reserve is there at any time. The share fills once no planner may use it any more, and as if from
        then on however late that is looked at.
        """
        filled = 0.0 if part.lent else plan.ceiling_rate * self.share * (self.now - part.free_at())
        return kept.units + filled

    def allot_local(self, part: Part, customer: str, plan: Plan, kept: Reserved, cap: float | None) -> None:
        # a quota is soft: one that comes here only since this forwarder is alone has an even part at least
        portion = min(ALONE * max(kept.portion, self.share), 1.0)
        ceiling, depth = self.share, max(plan.ceiling_depth * self.share, kept.units)
        if part.lent:  # it does not fill here
            ceiling, depth = 0.0, kept.units
        self.tell_local(Allotted(customer, plan.name, portion, ceiling, cap, None, depth))

    def allot_part(self, part: Part) -> None:
        """The share is lent, or is free again: nothing that waits here leaves on what is another's now."""
        part.lent = part.holder is not None or part.free_at() > self.now
        for customer, throttle in list(self.local.throttles.items()):
            plan = throttle.plan
            if plan.ceiling_rate > 0 and part_of(customer, len(self.parts)) == part.number:
                kept = self.reserves.get(customer, NOTHING)
                self.allot_local(part, customer, plan, kept, self.cap_here(part, plan, kept))

    def reserve_told(self, link: Link, message: Reserve) -> None:
        """A planner hands out units of a ceiling, or asks for some back, in the loan that holds now only.

        What it said in an earlier loan it has forgotten: it would hand the same units out again.
        """
        part = self.parts[part_of(message.customer, len(self.parts))]
        if part.holder is not link or part.term != message.term or message.plan not in self.plans:
            return
        kept = self.reserves.pop(message.customer, None) or Reserved(0.0, self.share)
        if len(self.reserves) >= self.most_customers:
            del self.reserves[next(iter(self.reserves))]  # nobody's until the part is lent anew
        self.reserves[message.customer] = kept
        kept.portion = message.portion
        back = min(kept.units, max(-message.units, 0.0))
        kept.units += max(message.units, 0.0) - back
        if back:
            self.outbox[link.name].append(Yielded(message.customer, back))
        if message.customer in self.local.throttles:  # what waits here may leave on what is held, no more
            self.allot_local(part, message.customer, self.plans[message.plan], kept, kept.units)

    def take_reserve(self, task: Task) -> None:
        """Units of a request that was decided here count against the reserve first."""
        request, part = task.request, task.part
        plan, kept = self.plans.get(request.plan), self.reserves.get(request.customer)
        if plan is None or plan.ceiling_rate <= 0 or kept is None:
            return
        kept.units = max(kept.units - request.units, 0.0)
        if part.holder is not None and not part.recalled:
            self.outbox[part.holder.name].append(Used(request.customer, request.plan, request.units))

    def tell_local(self, event: Event) -> None:
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
        """An attempt goes out; a request's units count with the first that comes to a backend."""
        if task.charged is None:
            task.charged = self.now
            request = task.request
            self.ledger.record(request.customer, request.plan, request.units, self.now)
            if task.local:
                self.take_reserve(task)
        task.attempts.append((backend, self.now, None))

    def release(self, task: Task) -> None:
        """Takes a request back from the planner that decided it: nothing that this one still says counts."""
        if task.link is not None and task.link.up:
            self.outbox[task.link.name].append(Left(task.ask))
        self.asks.pop(task.ask, None)
        task.ask, task.link = 0, None

    # the links' side

    def link_up(self, planner: str, incarnation: str, now: float) -> list[Action]:
        """A planner has let this forwarder in; `incarnation` names this life of its process."""
        self.begin(now)
        link = self.links[planner]
        link.up, link.leaving, link.silent, link.gathered = True, False, False, False
        link.incarnation, link.heard, link.acked = incarnation, self.now, 0
        self.fit_again(link)
        link.echoes.clear()
        self.outbox[planner].clear()
        self.review()
        return self.actions

    def link_lost(self, planner: str, now: float) -> list[Action]:
        """No path leads to a planner just now: as good as silence, until something is heard again."""
        self.begin(now)
        link = self.links[planner]
        if link.up and not link.silent:
            link.silent = True
            self.review()
        return self.actions

    def link_down(self, planner: str, now: float) -> list[Action]:
        """The link is broken: what was not heard over it will not be heard any more."""
        self.begin(now)
        link = self.links[planner]
        if link.up:
            link.up = False
            self.outbox[planner].clear()
            self.review()
        return self.actions

    def received(self, planner: str, batch: Batch, now: float) -> list[Action]:
        """A batch from a planner whose link is up."""
        self.begin(now)
        link = self.links[planner]
        if not link.up:
            return self.actions
        link.heard, link.acked = self.now, max(link.acked, batch.acked)
        if link.silent:
            link.silent = False
            self.fit_again(link)
            self.review()
        for message in batch.messages:
            if isinstance(message, Grant):
                self.granted(link, message, batch.basis)
            elif isinstance(message, Refused | Failed):
                self.answered(link, message)
            elif isinstance(message, Cancelled):
                task = self.asks.get(message.ask)
                if task is not None and task.link is link and message.attempt < len(task.theirs):
                    place = task.theirs[message.attempt]
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
                self.reserve_told(link, message)
            elif isinstance(message, Leaving):
                link.leaving = True
                self.review()
        return self.actions

    def fit_again(self, link: Link) -> None:
        """A planner is heard again. Where another has served meanwhile its word is waited for.

        So all forwarders take it at one time, also those that never lost it. One that lost all planners at
        once goes back to the first of each part at once, as all do.
        """
        link.reach = -1
        link.short = any(
            other.fit and self.now - other.fit_since >= self.terms.settle
            for other in self.links.values()
            if other is not link
        )
        link.turned, link.fit_since = float("inf"), self.now

    def begin(self, now: float) -> None:
        self.now = max(self.now, now)
        self.actions = []

    def echo(self, link: Link, beat: Beat) -> None:
        self.outbox[link.name].append(Echo(beat.number))
        link.echoes[beat.number] = link.last_echo = self.now
        while len(link.echoes) > KEPT_ECHOES:
            del link.echoes[next(iter(link.echoes))]
        link.reach = beat.reach
        if beat.gathered and not link.gathered:
            link.gathered = True
            self.review()

    def granted(self, link: Link, grant: Grant, basis: int) -> None:
        task = self.asks.get(grant.ask)
        if task is None or task.link is not link:
            return  # it has been taken back, or is over: the planner hears or has heard of that
        if grant.attempt != len(task.theirs):
            return  # it has been executed or turned away already
        echoed = link.echoes.get(basis)
        if task.over or echoed is None or self.now - echoed > self.terms.fresh:
            # a grant on its way for so long may rest on a share that was lent elsewhere since, or be for a
            # backend that drains since
            self.counts["stale"] += 1
            task.theirs.append(-1)
            self.outbox[link.name].append(
                Ended(task.ask, grant.attempt, grant.backend, Outcome.NOT_SENT.value, 0.0, task.over, 0.0)
            )
            return
        task.theirs.append(len(task.attempts))
        self.started(task, grant.backend)
        # a dial that takes long does not make the grant any fresher
        write_by = min(echoed + self.terms.fresh + WRITTEN_WITHIN, self.remembered_until(task))
        self.actions.append(Send(task.request.id, grant.backend, grant.timeout, write_by))

    def remembered_until(self, task: Task) -> float:
        """Until when a further attempt of a keyed request may begin, as those that may have run are known."""
        klass = self.keyed.get(task.request.klass)
        if klass is None or len(task.attempts) < 2:
            return float("inf")
        risky = (sent for _, sent, outcome in task.attempts[:-1] if outcome is None or not outcome.never_ran)
        return min(risky, default=float("inf")) + klass.memory

    def answered(self, link: Link, message: Refused | Failed) -> None:
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
        self.refusals[why] += 1
        if self.on_refused is not None:
            self.on_refused(task.request, why)

    def state(self, part: Part) -> str:
        """How this forwarder's share of a part stands where it decides itself."""
        if part.holder is not None:
            return "not taken"  # by the planner that was asked
        return "alone, still lent" if part.free_at() > self.now else "alone"

    # whom each part is lent to

    def judge_reach(self) -> bool:
        """Whether a planner now counts as short of forwarders, or no more.

        Shares of those that a planner does not hear are no use to it, so its parts are better lent where more
        forwarders are heard. All forwarders hear the same of it, hence they move together. A planner is left
        once it was short for `silent_after`, in which all planners notice a forwarder that is gone from all
        of them. It is taken again as soon as it says so: what it counts has been there for `settle`.
        """
        most = max((link.reach for link in self.links.values() if link.fit), default=0)
        changed = False
        for link in self.links.values():
            if not link.fit or (link.reach < 0 and not link.short):
                continue  # it has not said yet
            if link.reach >= most:
                changed |= link.short
                link.short, link.turned = False, float("inf")
            elif not link.short:
                link.turned = min(link.turned, self.now)
                if self.now - link.turned >= self.terms.silent_after:
                    link.short = changed = True
        return changed

    def best_for(self, part: Part) -> Link | None:
        """The part's first planner of those that hear most, or of those that are heard at all."""
        fit = [link for link in map(self.links.__getitem__, part.order) if link.fit]
        return next((link for link in fit if not link.short), fit[0] if fit else None)

    def review(self) -> None:
        """Moves parts whose planner is gone, or whose first choice is back."""
        lent: dict[str, list[Part]] = {}
        room, self.unlent = LENT_AT_ONCE, False
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
                    self.unlent = True  # the next tick goes on
                    continue
                room -= len(self.ledger.by_part[part.number])
                lent.setdefault(best.name, []).append(part)
        for name, parts in lent.items():
            self.lend(self.links[name], parts)

    def detach(self, part: Part) -> None:
        """The holder is gone or silent; it may use this forwarder's share until the loan's end."""
        link = part.holder
        assert link is not None
        part.holder, part.recalled = None, 0
        until = link.last_echo + self.terms.lease
        part.loans[link.incarnation] = max(part.loans.get(link.incarnation, until), until)
        part.forget_ended(self.now)
        if link.up:
            # it may only have paused: no echo that it still gets may lend it this part again
            self.outbox[link.name].append(Recall([part.number], 0))
        self.allot_part(part)

    def recall(self, part: Part, holder: Link) -> None:
        if not part.recalled:
            self.last_token += 1
            part.recalled, part.recall_until = self.last_token, self.now + self.terms.recall
            self.outbox[holder.name].append(Recall([part.number], part.recalled))

    def returned(self, link: Link, token: int) -> None:
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
        """Lends parts that nobody holds, with all that a new holder needs to know of them."""
        numbers = {part.number for part in parts}
        out = self.outbox[link.name]
        report = [told for part in parts for told in self.ledger.report(part.number, self.now)]
        for start in range(0, len(report), REPORTED):
            out.append(Spent(report[start : start + REPORTED]))
        holds = [
            (customer, kept.units)
            for customer, kept in self.reserves.items()
            if kept.units > 0 and part_of(customer, len(self.parts)) in numbers
        ]
        for start in range(0, len(holds), REPORTED):
            out.append(Holds(holds[start : start + REPORTED]))
        remembers = self.now - self.ledger.since
        self.last_term += 1
        groups: dict[float, list[int]] = {}
        for part in parts:
            # what this life of the planner still has of an earlier loan is its own anyway
            free_in = max(part.free_at(link.incarnation) - self.now, 0.0)
            groups.setdefault(free_in, []).append(part.number)
            part.holder, part.term = link, self.last_term
        for free_in, members in groups.items():
            out.append(Lend(members, remembers, free_in, self.last_term))
        self.counts["moved"] += len(parts)
        for task in list(self.tasks.values()):
            if task.part.number in numbers and not (task.local or task.over):
                # one that waits for the move has none to be taken back from
                self.asks.pop(task.ask, None)
                self.ask(task, link)
            elif task.part.number in numbers and task.local and not (task.over or task.attempts):
                self.tell_local(ClientLeft(task.request.id))  # it waits here for credit that is lent now
                task.local = False
                self.ask(task, link)
            elif task.part.number in numbers and task.over and not task.local:
                self.asks.pop(task.ask, None)  # answered: what is still out is no new holder's concern
                task.link = None
        for part in parts:
            self.allot_part(part)

    # time

    def tick(self, now: float) -> list[Action]:
        """To be called every few hundredths of a second: nothing waits for a planner without bound."""
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
        if self.judge_reach() or changed or self.unlent:
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
        """Not a word for `silent_after` while another is heard, or twice as long where all are late."""
        silent = self.now - link.heard
        if silent <= self.terms.silent_after:
            return False
        late = self.now - self.terms.resent_after
        other = any(other.fit and other.heard >= late for other in self.links.values() if other is not link)
        return other or silent > 2 * self.terms.silent_after

    def settle_unheld(self) -> None:
        """Requests of parts that nobody holds any more, and that no planner could take, are decided here."""
        if all(part.holder is not None for part in self.parts):
            return
        for task in list(self.tasks.values()):
            if not (task.local or task.over) and task.part.holder is None:
                self.decide_here(task)

    def stop(self, now: float) -> None:
        """After the last request: what is lent is left to its holders for the time of a bequest."""
        self.begin(now)
        self.stopping = True
        for name in {part.holder.name for part in self.parts if part.holder is not None}:
            self.outbox[name].append(Bequeath())

    def status(self) -> dict[str, object]:
        """What an operator watches; docs/operate/tiers.md explains each figure."""
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
