"""The client logic for a rate limit service: queries, time-outs, verdicts and settlement. No I/O.

It wraps the decision module and has the same interface. A request of one of the configured plans reaches the
module only once a service has ruled on its quota, or time is up; then the module places or refuses it
(`Ruled`), or decides it like any other (`share`). Rules on verdicts:

- **The first verdict binds.** Two services may have been asked about one request. A later verdict does not
  change the request: an OK other than the binding one charged units in vain, which are credited.
- **A late verdict still counts.** An OK after the request went on without a verdict is its charge, and
  nothing is credited; a refusal is remembered until its reset time, and applied to requests without a
  verdict.
- **Units are settled once.** The protocol can't refund hits, so an excess charge is deducted from the
  customer's next query, and use without or beyond a charge is added to it or asked for at once. The amount
  due is bounded by two bursts, and no query asks for more than one burst: it could never be granted.
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

MAX_HITS = (1 << 32) - 1
SETTLE_KEY = "settle"  # marks a descriptor that reports use: a rule of mode "settle" should match it


@dataclass(frozen=True, slots=True)
class Call:
    """A query to send. The caller returns its answer or failure, by its number, at `until` at the latest."""

    number: int
    service: str
    entries: tuple[tuple[str, str], ...]
    hits: int
    until: float


@dataclass(frozen=True, slots=True)
class Ruling:
    """A service's answer: OK or over the limit, and the seconds until the limit resets."""

    ok: bool
    reset: float = 0.0


@dataclass(slots=True)
class Service:
    """A service's address and its circuit breaker."""

    address: str
    fails: int = 0
    pause: float = 0.0
    open_until: float = 0.0
    probing: bool = False

    def ready(self, now: float) -> bool:
        """Whether the circuit breaker lets a query through."""
        return self.open_until <= now and not self.probing


@dataclass(slots=True)
class Account:
    """What is remembered of a customer between queries."""

    due: float = 0.0  # units used but not asked for yet; negative: asked for but not used
    denied_until: float = 0.0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request with a query, until it is over and all its calls have returned."""

    request: Request
    until: float  # when it goes on without a verdict
    retry_at: float  # when another service is asked
    due: float  # the part of the customer's account that its query includes
    calls: set[int] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    bound: bool = False  # a verdict, or the lack of one, has been acted on
    charged: bool = False  # a service has charged the units of this request
    sent: bool = False
    over: bool = False
    settled: bool = False
    denied: bool = False


class Asking:
    """Wraps a decision module, `decide`, with its own interface."""

    def __init__(
        self, table: AskTable, settings: Settings, decide: Callable[[Event, float], list[Action]], now: float
    ) -> None:
        self.table, self.settings, self.decide = table, settings, decide
        self.plans, self.klasses = frozenset(table.plans), frozenset(table.classes)
        self.bursts = {p.name: p.burst for p in settings.plans}
        self.services = [Service(address) for address in table.services]
        self.current = 0
        self.calls: dict[int, PendingRequest | None] = {}  # None: a report of use
        self.call_targets: dict[int, tuple[Service, float]] = {}  # service and units asked for
        self.pending: dict[int, PendingRequest] = {}
        self.accounts: OrderedDict[str, Account] = OrderedDict()
        self.overrun, self.overrun_at = table.overrun_burst, now
        self.last = 0
        self.outbox: list[Call] = []
        self.queue: deque[tuple[float, int]] = deque()  # (time, request), sorted by time
        self.counts = {"asked": 0, "ok": 0, "over": 0, "none": 0, "late": 0, "credited": 0, "reports": 0}
        self.now = now

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handles an event of the driver, as the decision module does."""
        self.now = max(self.now, now)
        if isinstance(event, Request) and self.is_asked(event):
            return self.arrive(event)
        if isinstance(event, ClientLeft):
            pending = self.pending.get(event.request)
            if pending is not None:
                pending.over = True
                if not pending.bound:
                    pending.bound = True
                    self.credit_unused(pending)
                    self.forget(pending)
                    return []
        if isinstance(event, AttemptEnded):
            self.attempt_ended(event)
        return self.run_module(event)

    def is_asked(self, request: Request) -> bool:
        """Whether a service decides on the request's quota."""
        return request.plan in self.plans and (not self.klasses or request.klass in self.klasses)

    def run_module(self, event: Event) -> list[Action]:
        """Passes an event to the decision module and follows its actions."""
        actions = self.decide(event, self.now)
        for action in actions:
            if isinstance(action, Send):
                pending = self.pending.get(action.request)
                if pending is not None:
                    pending.sent = True
            elif isinstance(action, Refuse | Fail):
                pending = self.pending.get(action.request)
                if pending is not None:
                    pending.over = True
                    self.credit_unused(pending)
                    self.forget(pending)
        return actions

    # asking

    def arrive(self, request: Request) -> list[Action]:
        """Sends the query for a new request, or decides without a verdict if none can be sent."""
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
        pending = PendingRequest(request, self.now + within, self.now + min(self.table.timeout, within), due)
        self.pending[request.id] = pending
        if len(self.calls) >= self.table.most_open or not self.ask(pending):
            return self.without_verdict(pending)
        self.queue.append((pending.retry_at, request.id))
        return []

    def ask(self, pending: PendingRequest) -> bool:
        """Asks an available service that has not been asked about this request; False if there is none."""
        for step in range(len(self.services)):
            service = self.services[(self.current + step) % len(self.services)]
            if service.address not in pending.tried and service.ready(self.now):
                self.current = (self.current + step) % len(
                    self.services
                )  # it stays the first choice while it is available
                break
        else:
            return False
        pending.tried.add(service.address)
        if service.fails >= self.table.break_after:
            service.probing = True
        request = pending.request
        units = max(request.units + pending.due, 0.0)
        entries = (("plan", request.plan), ("class", request.klass), ("customer", request.customer))
        number = self.call(service, entries, units, pending)
        pending.calls.add(number)
        return True

    def call(
        self,
        service: Service,
        entries: tuple[tuple[str, str], ...],
        units: float,
        pending: PendingRequest | None,
    ) -> int:
        """Puts a call into the outbox and returns its number."""
        self.last += 1
        hits = min(round(units), MAX_HITS)
        self.calls[self.last], self.call_targets[self.last] = pending, (service, float(hits))
        self.outbox.append(Call(self.last, service.address, entries, hits, self.now + self.table.late))
        return self.last

    # answers

    def answered(self, number: int, ruling: Ruling | None, now: float) -> list[Action]:
        """A call's verdict, late or not; None for an error, UNKNOWN or an invalid answer."""
        self.now = max(self.now, now)
        if number not in self.calls:
            return []
        pending = self.calls.pop(number)
        service, units = self.call_targets.pop(number)
        self.update_breaker(service, ruling is not None)
        if pending is None:
            return []
        pending.calls.discard(number)
        account = self.accounts.get(pending.request.customer)
        if ruling is not None and not ruling.ok and account is not None:
            account.denied_until = max(account.denied_until, self.now + ruling.reset)
        if pending.bound:
            self.late(pending, ruling, units)
            self.forget(pending)
            return []
        if ruling is None:
            if self.ask(pending):
                return []
            return self.without_verdict(pending) if not pending.calls else []
        pending.bound = True
        if ruling.ok:
            self.charge(pending, units)
            self.counts["ok"] += 1
            if account is not None:
                account.denied_until = 0.0
            return self.run_module(Ruled(pending.request, True, 0.0))
        self.counts["over"] += 1
        pending.denied = True
        return self.run_module(Ruled(pending.request, False, ruling.reset))

    def late(self, pending: PendingRequest, ruling: Ruling | None, units: float) -> None:
        """A verdict after the request went on or after a binding one: affects only the account."""
        if ruling is None:
            return
        self.counts["late"] += 1
        if not ruling.ok:
            return
        went_on = pending.sent or not (pending.over or pending.denied)
        if went_on and not pending.charged:
            self.charge(pending, units)  # it becomes this request's charge
        else:
            self.counts["credited"] += 1
            self.add_due(pending.request, -units)

    def charge(self, pending: PendingRequest, units: float) -> None:
        """A service has charged this request's units, with the amount due that its query included."""
        pending.charged = True
        self.add_due(pending.request, pending.request.units + pending.due - units)
        pending.due = 0.0

    def update_breaker(self, service: Service, good: bool) -> None:
        """Closes the circuit breaker after an answer, or opens it after `break_after` failures in a row."""
        service.probing = False
        if good:
            service.fails, service.pause, service.open_until = 0, 0.0, 0.0
            return
        service.fails += 1
        if service.fails >= self.table.break_after:
            service.pause = min(max(2 * service.pause, self.table.back_off), self.table.most_back_off)
            service.open_until = self.now + service.pause

    def without_verdict(self, pending: PendingRequest) -> list[Action]:
        """Decides as configured: by the module's own share, denied, or allowed up to the overrun."""
        pending.bound = True
        self.counts["none"] += 1
        request = pending.request
        account = self.accounts.get(request.customer)
        if account is not None and account.denied_until > self.now:
            pending.denied = True
            return self.run_module(Ruled(request, False, account.denied_until - self.now))
        if self.table.without_verdict == "share":
            return self.run_module(request)
        if self.table.without_verdict == "allow" and self.spend_overrun(request.units):
            return self.run_module(Ruled(request, True, 0.0))
        pending.denied = True
        return self.run_module(Ruled(request, False, self.table.timeout))

    def spend_overrun(self, units: float) -> bool:
        """Takes units from the overrun's token bucket; False if it holds too few."""
        table = self.table
        level = min(table.overrun_burst, self.overrun + table.overrun * (self.now - self.overrun_at))
        self.overrun, self.overrun_at = level, self.now
        if units > level:
            return False
        self.overrun -= units
        return True

    # settling

    def add_due(self, request: Request, units: float) -> None:
        """Adds units to be asked for with a later query; negative units were charged but not used."""
        account = self.accounts.get(request.customer)
        if account is not None and units:
            burst = self.bursts.get(request.plan, 0.0) or units
            account.due = max(-2 * abs(burst), min(account.due + units, 2 * abs(burst)))

    def credit_unused(self, pending: PendingRequest) -> None:
        """Credits what a service charged for a request that ended without an attempt."""
        if pending.charged and not pending.sent and not pending.settled:
            pending.settled = True
            self.counts["credited"] += 1
            self.add_due(pending.request, -pending.request.units)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Settles the difference between the charge and the true units of a request."""
        pending = self.pending.get(event.request)
        if pending is None:
            return
        if event.outcome is Outcome.SERVED and event.true_units > 0 and not pending.settled:
            pending.settled = True
            more = event.true_units - pending.request.units
            if self.table.settle == "ask" and more > 0:
                self.report(pending.request, more)
            else:
                self.add_due(pending.request, more)
        if event.over:
            pending.over = True
            self.forget(pending)

    def report(self, request: Request, units: float) -> None:
        """Reports use to a service at once, by a descriptor that no rule should refuse."""
        service = next((s for s in self.services if s.ready(self.now)), None)
        if service is None or len(self.calls) >= self.table.most_open:
            return self.add_due(request, units)
        self.counts["reports"] += 1
        entries = (
            ("plan", request.plan),
            ("class", request.klass),
            ("customer", request.customer),
            (SETTLE_KEY, "1"),
        )
        self.call(service, entries, units, None)
        return None

    def forget(self, pending: PendingRequest) -> None:
        """Drops a request that is over; what it used without a charge becomes due."""
        if pending.over and pending.bound and not pending.calls:
            if self.pending.pop(pending.request.id, None) is not None and not pending.charged:
                used = pending.request.units if pending.sent else 0.0
                self.add_due(pending.request, used + pending.due)

    # timers

    def next_tick_at(self) -> float | None:
        """When `tick` next has something to do; None if nothing is pending."""
        return self.queue[0][0] if self.queue else None

    def tick(self, now: float) -> list[Action]:
        """Asks another service if one is late, and decides without a verdict once time is up."""
        self.now = max(self.now, now)
        actions: list[Action] = []
        again: list[tuple[float, int]] = []
        while self.queue and self.queue[0][0] <= self.now:
            _, number = self.queue.popleft()
            pending = self.pending.get(number)
            if pending is None or pending.bound:
                continue
            if self.now >= pending.until:
                actions += self.without_verdict(pending)
            else:
                self.ask(pending)
                again.append((pending.until, number))
        if again:
            self.queue = deque(sorted([*self.queue, *again]))
        return actions
