"""Asking a rate limit service: what to ask, how long to wait, what a verdict means, how to settle. No I/O.

It stands in front of the decision module and is driven as the module is. A request of the plans that are
named is not given to the module until a service has ruled on its quota, or time is up; then the module places
or refuses it (`Ruled`), or decides it as any other (`share`). Rules on verdicts:

- **The first verdict binds.** One try may have been asked of two services. What comes later changes nothing
  for the request: an OK that was not the one that bound took units for nothing, which are credited.
- **A late verdict is news.** An OK after the request went on without one is its charge, and nothing is
  credited; a refusal is remembered until the service says that it is over, and heeded where no verdict comes.
- **Units are settled once.** The protocol can't take hits back, so what was charged too much goes off the
  customer's next question, and what was used without a charge, or beyond it, goes on top of it or is asked
  for at once. What is due is bounded by two bursts, and no question asks for more than one: it could never
  be granted.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from embersill.interface import (
    Action,
    AttemptEnded,
    ClientLeft,
    Event,
    Fail,
    Outcome,
    Refuse,
    Request,
    Ruled,
    Send,
    Settings,
)
from embersill.ratelimit.settings import AskTable

MOST_HITS = (1 << 32) - 1
SETTLE_KEY = "settle"  # entry of a descriptor that reports use: a rule of mode "settle" should be for it


@dataclass(frozen=True, slots=True)
class Call:
    """A question to send. Its answer or failure has to come back by its number, at `until` at the latest."""

    number: int
    service: str
    entries: tuple[tuple[str, str], ...]
    hits: int
    until: float


@dataclass(frozen=True, slots=True)
class Ruling:
    """What a service said: OK or over the limit, and for how long it stays so."""

    ok: bool
    reset: float = 0.0


@dataclass(slots=True)
class Service:
    """One address, and whether it is worth asking (circuit breaker)."""

    address: str
    fails: int = 0
    pause: float = 0.0
    open_until: float = 0.0
    probing: bool = False

    def ready(self, now: float) -> bool:
        return self.open_until <= now and not self.probing


@dataclass(slots=True)
class Account:
    """What is remembered of a customer between questions."""

    due: float = 0.0  # units used and not asked for yet; below nought: asked for and not used
    denied_until: float = 0.0


@dataclass(slots=True, eq=False)
class Waiting:
    """A request that was asked about, until it is over and all its calls have come back."""

    request: Request
    until: float  # when it goes on without a verdict
    retry_at: float  # when another service is asked
    due: float  # what of the customer's account went into its question
    calls: set[int] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    bound: bool = False  # a verdict, or its absence, has been acted on
    charged: bool = False  # a service took the units that this request uses
    sent: bool = False
    over: bool = False
    settled: bool = False
    denied: bool = False


class Asking:
    """Stands in front of a decider, as one."""

    def __init__(
        self, table: AskTable, settings: Settings, inner: Callable[[Event, float], list[Action]], now: float
    ) -> None:
        self.table, self.settings, self.inner = table, settings, inner
        self.plans, self.klasses = frozenset(table.plans), frozenset(table.classes)
        self.bursts = {p.name: p.burst for p in settings.plans}
        self.services = [Service(address) for address in table.services]
        self.turn = 0
        self.calls: dict[int, Waiting | None] = {}  # None: a report of use
        self.asked_of: dict[int, tuple[Service, float]] = {}  # service, units asked for
        self.waiting: dict[int, Waiting] = {}
        self.accounts: OrderedDict[str, Account] = OrderedDict()
        self.overrun, self.overrun_at = table.overrun_burst, now
        self.last = 0
        self.outbox: list[Call] = []
        self.queue: deque[tuple[float, int]] = deque()  # (when to look, request), in their order
        self.counts = {"asked": 0, "ok": 0, "over": 0, "none": 0, "late": 0, "credited": 0, "reports": 0}
        self.now = now

    def handle(self, event: Event, now: float) -> list[Action]:
        self.now = max(self.now, now)
        if isinstance(event, Request) and self.is_asked(event):
            return self.arrive(event)
        if isinstance(event, ClientLeft):
            waiting = self.waiting.get(event.request)
            if waiting is not None:
                waiting.over = True
                if not waiting.bound:
                    waiting.bound = True
                    self.unused(waiting)
                    self.forget(waiting)
                    return []
        if isinstance(event, AttemptEnded):
            self.attempt_ended(event)
        return self.tell(event)

    def is_asked(self, request: Request) -> bool:
        return request.plan in self.plans and (not self.klasses or request.klass in self.klasses)

    def tell(self, event: Event) -> list[Action]:
        actions = self.inner(event, self.now)
        for action in actions:
            if isinstance(action, Send):
                waiting = self.waiting.get(action.request)
                if waiting is not None:
                    waiting.sent = True
            elif isinstance(action, Refuse | Fail):
                waiting = self.waiting.get(action.request)
                if waiting is not None:
                    waiting.over = True
                    self.unused(waiting)
                    self.forget(waiting)
        return actions

    # asking

    def arrive(self, request: Request) -> list[Action]:
        self.counts["asked"] += 1
        account = self.accounts.pop(request.customer, None) or Account()
        self.accounts[request.customer] = account
        while len(self.accounts) > self.table.most_customers:
            self.accounts.popitem(last=False)
        budget = request.deadline - self.now
        within = min(self.table.within, self.table.within_part * budget)
        burst = self.bursts.get(request.plan, 0.0)
        due = min(account.due, max(burst - request.units, 0.0)) if burst else account.due
        account.due -= due
        waiting = Waiting(request, self.now + within, self.now + min(self.table.timeout, within), due)
        self.waiting[request.id] = waiting
        if len(self.calls) >= self.table.most_open or not self.ask(waiting):
            return self.without_verdict(waiting)
        self.queue.append((waiting.retry_at, request.id))
        return []

    def ask(self, waiting: Waiting) -> bool:
        """Asks a service that is fit and has not been asked of this request; False if there is none."""
        for step in range(len(self.services)):
            service = self.services[(self.turn + step) % len(self.services)]
            if service.address not in waiting.tried and service.ready(self.now):
                self.turn = (self.turn + step) % len(self.services)  # it stays the first while it is fit
                break
        else:
            return False
        waiting.tried.add(service.address)
        if service.fails >= self.table.break_after:
            service.probing = True
        request = waiting.request
        units = max(request.units + waiting.due, 0.0)
        entries = (("plan", request.plan), ("class", request.klass), ("customer", request.customer))
        number = self.call(service, entries, units, waiting)
        waiting.calls.add(number)
        return True

    def call(
        self, service: Service, entries: tuple[tuple[str, str], ...], units: float, waiting: Waiting | None
    ) -> int:
        self.last += 1
        hits = min(round(units), MOST_HITS)
        self.calls[self.last], self.asked_of[self.last] = waiting, (service, float(hits))
        self.outbox.append(Call(self.last, service.address, entries, hits, self.now + self.table.late))
        return self.last

    # what comes back

    def answered(self, number: int, ruling: Ruling | None, now: float) -> list[Action]:
        """A call's verdict, late or not; None for an answer that is none: an error, UNKNOWN, out of form."""
        self.now = max(self.now, now)
        if number not in self.calls:
            return []
        waiting = self.calls.pop(number)
        service, units = self.asked_of.pop(number)
        self.judge(service, ruling is not None)
        if waiting is None:
            return []
        waiting.calls.discard(number)
        account = self.accounts.get(waiting.request.customer)
        if ruling is not None and not ruling.ok and account is not None:
            account.denied_until = max(account.denied_until, self.now + ruling.reset)
        if waiting.bound:
            self.late(waiting, ruling, units)
            self.forget(waiting)
            return []
        if ruling is None:
            if self.ask(waiting):
                return []
            return self.without_verdict(waiting) if not waiting.calls else []
        waiting.bound = True
        if ruling.ok:
            self.charge(waiting, units)
            self.counts["ok"] += 1
            if account is not None:
                account.denied_until = 0.0
            return self.tell(Ruled(waiting.request, True, 0.0))
        self.counts["over"] += 1
        waiting.denied = True
        return self.tell(Ruled(waiting.request, False, ruling.reset))

    def late(self, waiting: Waiting, ruling: Ruling | None, units: float) -> None:
        """A verdict after the request went on, or after another bound: no answer changes, usage does."""
        if ruling is None:
            return
        self.counts["late"] += 1
        if not ruling.ok:
            return
        went_on = waiting.sent or not (waiting.over or waiting.denied)
        if went_on and not waiting.charged:
            self.charge(waiting, units)  # it is this request's charge after all
        else:
            self.counts["credited"] += 1
            self.owe(waiting.request, -units)

    def charge(self, waiting: Waiting, units: float) -> None:
        """A service took this request's units, and with them what its question held of what was due."""
        waiting.charged = True
        self.owe(waiting.request, waiting.request.units + waiting.due - units)
        waiting.due = 0.0

    def judge(self, service: Service, good: bool) -> None:
        service.probing = False
        if good:
            service.fails, service.pause, service.open_until = 0, 0.0, 0.0
            return
        service.fails += 1
        if service.fails >= self.table.break_after:
            service.pause = min(max(2 * service.pause, self.table.back_off), self.table.most_back_off)
            service.open_until = self.now + service.pause

    def without_verdict(self, waiting: Waiting) -> list[Action]:
        """The operator's choice: the module's own share, no, or yes up to a stated overrun."""
        waiting.bound = True
        self.counts["none"] += 1
        request = waiting.request
        account = self.accounts.get(request.customer)
        if account is not None and account.denied_until > self.now:
            waiting.denied = True
            return self.tell(Ruled(request, False, account.denied_until - self.now))
        if self.table.without_verdict == "share":
            return self.tell(request)
        if self.table.without_verdict == "allow" and self.spend_overrun(request.units):
            return self.tell(Ruled(request, True, 0.0))
        waiting.denied = True
        return self.tell(Ruled(request, False, self.table.timeout))

    def spend_overrun(self, units: float) -> bool:
        table = self.table
        level = min(table.overrun_burst, self.overrun + table.overrun * (self.now - self.overrun_at))
        self.overrun, self.overrun_at = level, self.now
        if units > level:
            return False
        self.overrun -= units
        return True

    # settling

    def owe(self, request: Request, units: float) -> None:
        """Units that a service should be asked for, or was asked for in vain if below nought."""
        account = self.accounts.get(request.customer)
        if account is not None and units:
            burst = self.bursts.get(request.plan, 0.0) or units
            account.due = max(-2 * abs(burst), min(account.due + units, 2 * abs(burst)))

    def unused(self, waiting: Waiting) -> None:
        """The request is over without a send: what a service took for it is credited."""
        if waiting.charged and not waiting.sent and not waiting.settled:
            waiting.settled = True
            self.counts["credited"] += 1
            self.owe(waiting.request, -waiting.request.units)

    def attempt_ended(self, event: AttemptEnded) -> None:
        waiting = self.waiting.get(event.request)
        if waiting is None:
            return
        if event.outcome is Outcome.SERVED and event.true_units > 0 and not waiting.settled:
            waiting.settled = True
            more = event.true_units - waiting.request.units
            if self.table.settle == "ask" and more > 0:
                self.report(waiting.request, more)
            else:
                self.owe(waiting.request, more)
        if event.over:
            waiting.over = True
            self.forget(waiting)

    def report(self, request: Request, units: float) -> None:
        """Tells a service of use at once, by a descriptor that no rule should refuse."""
        service = next((s for s in self.services if s.ready(self.now)), None)
        if service is None or len(self.calls) >= self.table.most_open:
            return self.owe(request, units)
        self.counts["reports"] += 1
        entries = (
            ("plan", request.plan),
            ("class", request.klass),
            ("customer", request.customer),
            (SETTLE_KEY, "1"),
        )
        self.call(service, entries, units, None)
        return None

    def forget(self, waiting: Waiting) -> None:
        if waiting.over and waiting.bound and not waiting.calls:
            if self.waiting.pop(waiting.request.id, None) is not None and not waiting.charged:
                used = waiting.request.units if waiting.sent else 0.0
                self.owe(waiting.request, used + waiting.due)

    # time

    def next_look(self) -> float | None:
        """When `tick` has something to do next."""
        return self.queue[0][0] if self.queue else None

    def tick(self, now: float) -> list[Action]:
        """Asks another service where one is late, and goes on without a verdict where time is up."""
        self.now = max(self.now, now)
        actions: list[Action] = []
        again: list[tuple[float, int]] = []
        while self.queue and self.queue[0][0] <= self.now:
            _, number = self.queue.popleft()
            waiting = self.waiting.get(number)
            if waiting is None or waiting.bound:
                continue
            if self.now >= waiting.until:
                actions += self.without_verdict(waiting)
            else:
                self.ask(waiting)
                again.append((waiting.until, number))
        if again:
            self.queue = deque(sorted([*self.queue, *again]))
        return actions
