"""Builders of settings and events for tests, and a driver that checks the rules on every action."""

from __future__ import annotations

from dataclasses import replace

from embersill.control import Gateway
from embersill.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    ClientLeft,
    Count,
    CounterResult,
    Event,
    Fail,
    ListKind,
    Outcome,
    Plan,
    Refuse,
    Repeats,
    Request,
    RequestClass,
    Scope,
    Send,
    SetTimer,
    Settings,
    Status,
    TimerDue,
)

SAFE = RequestClass("read", Repeats.SAFE, Scope.ALL, 5.0, 1.0, 4.0, 0.0, 1.0, False)
KEYED = RequestClass("keyed", Repeats.BY_KEY, Scope.CELL, 3.0, 1.0, 4.0, 0.0, 1.0, False)
ONCE = RequestClass("pay", Repeats.ONCE, Scope.ALL, 5.0, 2.0, 6.0, 0.0, 5.0, False)
PLAN = Plan("small", 4.0, 8.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
CAPPED = Plan("capped", 4.0, 8.0, 0, 6.0, 12.0, 1.0, 0.0, 1.0)
OPEN = Plan("open", 0.0, 0.0, 2, 0.0, 0.0, 1.0, 0.0, 1.0)

SETTINGS = Settings(
    me=0,
    gateways=2,
    classes=(SAFE, KEYED, ONCE),
    plans=(PLAN, CAPPED, OPEN),
    zone="z",
    list_pushed=True,
    ask_every=10.0,
    counter=True,
    counter_patience=0.05,
    counter_price=0.02,
    may_cancel=True,
    may_probe=True,
    second_copies=False,
    max_attempts=3,
    retry_after=True,
    max_retry_after=1.0,
    cold_from=0.25,
    warm_within=10.0,
    fall_multiple=3.0,
    overload_for=1.0,
    report_fields=(),
    most_units=4.0,
    settles=False,
)


def backend(
    name: str, cell: int = 0, status: Status = Status.SERVING, started: float | None = None
) -> Backend:
    return Backend(name, "z", "k", cell, status, 1.0, started)


def backends(*entries: Backend, kind: ListKind = ListKind.WHOLE) -> BackendList:
    return BackendList(kind, entries)


def request(
    number: int,
    klass: str = "read",
    plan: str = "small",
    customer: str = "c",
    units: float = 1.0,
    deadline: float = 104.0,
    width: int = 2,
) -> Request:
    return Request(number, klass, plan, customer, deadline, units, width, 0, False)


def ended(
    number: int,
    attempt: int,
    where: str,
    outcome: Outcome,
    elapsed: float = 0.1,
    over: bool | None = None,
    true_units: float = 0.0,
) -> AttemptEnded:
    final = outcome is Outcome.SERVED if over is None else over
    return AttemptEnded(number, attempt, where, outcome, elapsed, final, true_units, ())


def gateway(now: float = 100.0, listed: BackendList | None = None, **changes: object) -> Gateway:
    made = Gateway(replace(SETTINGS, **changes), 1, now)  # type: ignore[arg-type]
    made.handle(listed or backends(backend("a"), backend("b", 1)), now)
    return made


class Watch:
    """Simulates clients, backends and timers of one gateway, and asserts the rules on each action."""

    def __init__(self, made: Gateway, settings: Settings = SETTINGS) -> None:
        self.gateway, self.settings = made, settings
        self.classes = {c.name: c for c in settings.classes}
        self.now = 100.0
        self.open: dict[int, Request] = {}
        self.answered: dict[int, Action] = {}
        self.sent: dict[int, list[tuple[str, float]]] = {}
        self.outcomes: dict[int, dict[int, Outcome]] = {}
        self.timers: list[tuple[float, str]] = []
        self.counts: list[str] = []
        self.listed: dict[str, Backend] = {}
        self.first_units: dict[str, list[tuple[float, float]]] = {}

    def out(self, number: int) -> list[int]:
        return [n for n in range(len(self.sent.get(number, []))) if n not in self.outcomes.get(number, {})]

    def tell(self, event: Event) -> list[Action]:
        if isinstance(event, BackendList) and event.kind is not ListKind.FAILED:
            if event.kind is not ListKind.CHANGES:
                self.listed = {}
            self.listed.update({b.address: b for b in event.backends})
        if isinstance(event, Request):
            self.open[event.id] = event
        if isinstance(event, AttemptEnded):
            self.outcomes.setdefault(event.request, {})[event.attempt] = event.outcome
            if event.over:
                self.open.pop(event.request, None)
        if isinstance(event, ClientLeft):
            self.open.pop(event.request, None)
        actions = self.gateway.handle(event, self.now)
        for action in actions:
            self.check(action)
        return actions

    def risky(self, number: int) -> list[int]:
        gone = self.outcomes.get(number, {})
        return [n for n in range(len(self.sent.get(number, []))) if n not in gone or not gone[n].never_ran]

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.delay > 0
            self.timers.append((self.now + action.delay, action.key))
        elif isinstance(action, Count):
            self.counts.append(action.name)
        elif isinstance(action, Send):
            asked = self.open[action.request]  # KeyError: a send for a request that has ended
            klass, tries = self.classes[asked.klass], self.sent.setdefault(action.request, [])
            target = self.listed[action.backend]
            assert target.status is Status.SERVING
            assert self.settings.second_copies or not self.out(action.request)
            assert len(tries) < self.settings.max_attempts
            risky = self.risky(action.request)
            if risky:
                assert klass.repeats is not Repeats.ONCE
                if klass.repeats is Repeats.BY_KEY:
                    where, when = tries[risky[0]]
                    assert self.listed[where].cell == target.cell or klass.scope is Scope.ALL
                    assert self.now - when < klass.memory
            if not tries:
                self.first_units.setdefault(asked.customer, []).append((self.now, asked.units))
            tries.append((action.backend, self.now))
        elif isinstance(action, Refuse | Fail):
            asked = self.open.pop(action.request)  # KeyError: a second answer
            assert self.now <= asked.deadline + 0.008
            klass = self.classes[asked.klass]
            if isinstance(action, Refuse) and self.risky(action.request):
                assert klass.repeats is Repeats.SAFE or (
                    klass.repeats is Repeats.BY_KEY and klass.scope is Scope.ALL
                )
            self.answered[action.request] = action

    def run_to(self, until: float) -> None:
        """Advances the time: fires due timers, and times out attempts at their requests' deadlines."""
        while True:
            due = min(self.timers, default=(until + 1, ""))
            ends = [(r.deadline, n) for n, r in self.open.items() if self.out(n)]
            late = min(ends, default=(until + 1, 0))
            if min(due[0], late[0]) > until:
                break
            if due[0] <= late[0]:
                self.timers.remove(due)
                self.now = max(self.now, due[0])
                self.tell(TimerDue(due[1]))
            else:
                self.now = max(self.now, late[0])
                for n in self.out(late[1]):
                    where, when = self.sent[late[1]][n]
                    self.tell(ended(late[1], n, where, Outcome.TIMED_OUT, self.now - when, False))
        self.now = until

    def answer_counts(self, total: float, outcome: Outcome = Outcome.SERVED) -> None:
        names, self.counts = self.counts, []
        for name in names:
            self.tell(CounterResult(name, outcome, 0.001, total))
