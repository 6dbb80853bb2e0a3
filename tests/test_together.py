"""Several gateways together, at large widths: ceilings, restarts, cold backends, and one shared counter."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from embersill.control import Gateway
from embersill.interface import (
    Action,
    BackendList,
    Count,
    CounterResult,
    ListKind,
    Outcome,
    Plan,
    Probed,
    Refuse,
    Request,
    Send,
    SetTimer,
    TimerDue,
)
from tests.helpers import CAPPED, PLAN, SETTINGS, backend, backends, ended, gateway, request

STEPS = st.lists(st.tuples(st.integers(0, 10**6), st.floats(0.0, 0.4)), min_size=40, max_size=160)


class Fleet:
    """Gateways with one counter and backends that answer at once; records what was sent and when."""

    def __init__(self, width: int, plan: Plan, now: float = 100.0) -> None:
        self.settings = replace(SETTINGS, gateways=width, plans=(plan,))
        self.width, self.now = width, now
        self.gateways = [self.start(me) for me in range(width)]
        self.sums: dict[str, float] = {}
        self.timers: list[tuple[float, int, str]] = []
        self.sent: list[tuple[float, float]] = []
        self.calls = 0

    def start(self, me: int) -> Gateway:
        made = Gateway(self.settings, me, self.now)
        made.handle(backends(backend("a"), backend("b", 1)), self.now)
        return made

    def take(self, me: int, actions: list[Action], units: float = 0.0) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, me, action.key))
            elif isinstance(action, Count):
                self.calls += 1
                self.sums[action.name] = self.sums.get(action.name, 0.0) + action.amount
                told = CounterResult(action.name, Outcome.SERVED, 0.001, self.sums[action.name])
                self.take(me, self.gateways[me].handle(told, self.now))
            elif isinstance(action, Send):
                job = self.gateways[me].jobs[action.request]
                self.sent.append((self.now, job.request.units))
                over = ended(action.request, 0, action.backend, Outcome.SERVED)
                self.take(me, self.gateways[me].handle(over, self.now))

    def go_to(self, until: float) -> None:
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.take(due[1], self.gateways[due[1]].handle(TimerDue(due[2]), self.now))
        self.now = until

    def ask(self, me: int, number: int, units: float) -> None:
        plan, end = self.settings.plans[0].name, self.now + 4
        asked = Request(number, "read", plan, "c", end, units, self.width, 0, False)
        self.take(me, self.gateways[me].handle(asked, self.now))


@settings(derandomize=True, max_examples=25, deadline=None)
@given(STEPS, st.sampled_from([2, 6]))
def test_all_gateways_together_keep_the_ceiling_also_through_restarts(
    steps: list[tuple[int, float]], width: int
) -> None:
    fleet = Fleet(width, CAPPED)
    fleet.go_to(110.0)
    for number, (pick, span) in enumerate(steps):
        if pick % 11 == 0:  # killed and restarted: its state is lost
            me = pick // 11 % width
            fleet.timers = [t for t in fleet.timers if t[1] != me]
            fleet.gateways[me] = fleet.start(me)
        fleet.ask(pick // 7 % width, number, 1.0 + pick % 2)
        fleet.go_to(fleet.now + span)
    store, last = CAPPED.ceiling_depth, 100.0
    for at, units in fleet.sent:
        store = min(CAPPED.ceiling_depth, store + CAPPED.ceiling_rate * (at - last)) - units
        last = at
        assert store >= -1e-6


@pytest.mark.parametrize(
    ("width", "rate", "least", "most"),
    [
        (100, 2.0, 0.95, 1.0),
        (100, 16.0, 0.2, 0.35),  # half of the quota of 4, and four times the quota
        (300, 2.0, 0.6, 1.0),
        (300, 16.0, 0.2, 0.5),  # a third is counted at first, the rest estimated
    ],
)
def test_a_quota_split_too_thin_is_neither_shut_out_nor_overrun(
    width: int, rate: float, least: float, most: float
) -> None:
    """A bank of 0.03 units let one request pass at each gateway and then none (seen at full size)."""
    fleet = Fleet(width, PLAN)
    fleet.now = 120.0
    for number in range(400):
        fleet.ask(number * 37 % 40, number, 1.0)
        fleet.go_to(fleet.now + 1.0 / rate)
    assert least <= len(fleet.sent) / 400 <= most
    assert fleet.calls <= 3 * 400  # a few for each request, however many gateways


def test_a_silent_counter_leaves_the_even_slice() -> None:
    made = gateway(gateways=100)
    for number in range(3):
        actions = made.handle(request(number, width=100), 100.0 + number)
        for action in actions:
            if isinstance(action, Count):
                made.handle(CounterResult(action.name, Outcome.TIMED_OUT, 0.05, 0.0), 100.05 + number)
    throttle = made.throttles["c"]
    assert throttle.share == 1 / 100 and throttle.bank == PLAN.burst / 100


def test_corrections_of_one_sum_do_not_run_away() -> None:
    """Gateways that corrected the same sum at once also corrected each other's corrections."""
    fleet = Fleet(60, PLAN)
    fleet.now = 115.0
    for number in range(120):
        fleet.ask(number % 60, number, 1.0)
        fleet.go_to(fleet.now + 0.01)
    assert all(abs(total) <= PLAN.rate * 60 + 2 * PLAN.burst for total in fleet.sums.values())


@pytest.mark.parametrize("width", [0, 5, 10**6])
def test_any_width_is_taken(width: int) -> None:
    made = gateway()
    assert made.handle(request(1, width=width), 100.0)


def test_events_of_backends_that_are_gone_and_empty_lists_are_harmless() -> None:
    made = gateway()
    sent = next(a for a in made.handle(request(1), 100.0) if isinstance(a, Send))
    made.handle(BackendList(ListKind.WHOLE, ()), 100.1)
    made.handle(Probed(sent.backend, Outcome.SERVED, 0.01, (1.0, 2.0, 3.0)), 100.2)
    made.handle(ended(1, 0, sent.backend, Outcome.SERVED), 100.3)
    assert isinstance(made.handle(request(2), 100.4)[-1], Refuse)


def test_settings_of_nought_raise_nothing_on_the_way() -> None:
    nought = replace(
        SETTINGS,
        plans=(replace(PLAN, rate=0.0, burst=0.0), CAPPED),
        warm_within=0.0,
        fall_multiple=0.0,
        overload_for=0.0,
        counter_patience=0.0,
        ask_every=0.0,
        cold_from=0.0,
        most_units=0.0,
        classes=tuple(replace(c, aim=0.0) for c in SETTINGS.classes),
    )
    made = Gateway(nought, 1, 100.0)
    made.handle(backends(backend("a", started=100.0)), 100.0)
    for number in range(20):
        for action in made.handle(request(number, plan=("small", "capped")[number % 2]), 101.0 + number / 10):
            if isinstance(action, SetTimer):
                assert action.delay > 0
                made.handle(TimerDue(action.key), 101.0 + number / 10 + action.delay)


def test_an_unknown_report_is_passed_over() -> None:
    made = gateway(report_fields=("never seen",))
    sent = next(a for a in made.handle(request(1), 100.0) if isinstance(a, Send))
    over = replace(ended(1, 0, sent.backend, Outcome.SERVED), load=(9.0, 9.0))
    made.handle(over, 100.1)
    assert made.jobs == {}
