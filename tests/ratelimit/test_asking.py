"""Verdicts in time, late, doubled, contradictory or missing: their effect on the request and the account."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec
import pytest

from embersill.control import Gateway
from embersill.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    ClientLeft,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Request,
    Send,
    Status,
)
from embersill.ratelimit.asking import Asking, Call, Ruling
from embersill.ratelimit.settings import AskTable, RateLimitTable, check_names, check_ratelimit
from embersill.rig.settings import lab_settings

OK, OVER = Ruling(True), Ruling(False, 0.5)


def table(**changes: Any) -> AskTable:
    told = {"services": ["a:1", "b:1"], "domain": "lookup", "plans": ["pro"], **changes}
    checked = msgspec.convert({"ask": told}, RateLimitTable)
    check_ratelimit(checked)
    assert checked.ask is not None
    return checked.ask


class Play:
    """A gateway behind `Asking`, with the services' answers given by the test."""

    def __init__(self, backends: int = 1, **changes: Any) -> None:
        self.settings = replace(lab_settings(1), counter=False)
        self.gateway, self.now = Gateway(self.settings, 1, 100.0), 200.0
        self.asking = Asking(table(**changes), self.settings, self.gateway.handle, self.now)
        self.actions: list[Action] = []
        listed = (Backend(f"b{n}", "z", "k", 0, Status.SERVING, 1.0, None) for n in range(backends))
        self.asking.handle(BackendList(ListKind.WHOLE, tuple(listed)), self.now)

    def ask(
        self,
        number: int,
        units: float = 2.0,
        plan: str = "pro",
        klass: str = "lookup",
        customer: str = "c",
        budget: float = 2.0,
    ) -> None:
        self.actions += self.asking.handle(
            Request(number, klass, plan, customer, self.now + budget, units, 1, 0, False), self.now
        )

    def calls(self) -> list[Call]:
        made, self.asking.outbox = self.asking.outbox, []
        return made

    def rule(self, call: Call, ruling: Ruling | None) -> None:
        self.actions += self.asking.answered(call.number, ruling, self.now)

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.actions += self.asking.tick(self.now)

    def serve(self, number: int, units: float = 0.0, outcome: Outcome = Outcome.SERVED) -> None:
        self.actions += self.asking.handle(
            AttemptEnded(number, 0, "b0", outcome, 0.01, outcome is Outcome.SERVED, units, ()), self.now
        )

    def of(self, number: int) -> list[str]:
        return [
            type(a).__name__
            for a in self.actions
            if isinstance(a, Send | Refuse | Fail) and a.request == number
        ]

    def due(self, customer: str = "c") -> float:
        return self.asking.accounts[customer].due


def test_the_verdict_decides_and_other_plans_are_not_asked_about() -> None:
    play = Play()
    play.ask(1)
    play.ask(2, plan="free", customer="d")
    (call,) = play.calls()
    assert (call.service, call.hits, dict(call.entries)["customer"]) == ("a:1", 2, "c")
    assert play.of(1) == [] and play.of(2) == ["Send"]
    play.rule(call, OK)
    play.ask(3)
    play.rule(play.calls()[0], OVER)
    assert play.of(1) == ["Send"] and play.of(3) == ["Refuse"]
    refusal = next(a for a in play.actions if isinstance(a, Refuse))
    assert refusal.retry_after == 0.5
    assert play.gateway.throttles["c"].level == 24.0  # charged at the service, not here


def test_the_ceiling_holds_whatever_the_service_says() -> None:
    play = Play(backends=20)
    play.settings = replace(
        play.settings,
        plans=tuple(
            replace(p, ceiling_rate=2.0, ceiling_depth=6.0) if p.name == "pro" else p
            for p in play.settings.plans
        ),
    )
    play.gateway = Gateway(play.settings, 1, 100.0)
    play.asking = Asking(table(), play.settings, play.gateway.handle, play.now)
    play.asking.handle(
        BackendList(
            ListKind.WHOLE, tuple(Backend(f"b{n}", "z", "k", 0, Status.SERVING, 1.0, None) for n in range(20))
        ),
        play.now,
    )
    for number in range(1, 6):
        play.ask(number)
        play.rule(play.calls()[0], OK)
    assert [play.of(n) for n in range(1, 6)] == [["Send"]] * 3 + [["Refuse"]] * 2
    # the service charged eight: six were used and two credited, since the fourth's came off the fifth
    assert play.due() == -2.0


def test_a_verdict_after_the_request_has_left_changes_usage_only() -> None:
    play = Play(services=["a:1"])
    play.ask(1)
    (call,) = play.calls()
    play.wait(0.2)
    assert play.of(1) == ["Send"]  # within the gateway's own share
    play.rule(call, OK)
    play.serve(1)
    assert play.of(1) == ["Send"] and play.due() == 0.0 and not play.asking.pending
    play.ask(2)
    (call,) = play.calls()
    play.wait(0.2)
    play.rule(call, OVER)  # too late to refuse this request, but remembered for the next
    assert play.of(2) == ["Send"]
    play.serve(2)
    assert play.due() == 2.0  # used without a charge
    play.ask(3)
    (call,) = play.calls()
    assert call.hits == 4
    play.wait(0.2)
    assert play.of(3) == ["Refuse"]


def test_a_late_ok_for_a_request_that_was_refused_is_credited() -> None:
    play = Play(services=["a:1"], without_verdict="deny")
    play.ask(1)
    (call,) = play.calls()
    play.wait(0.2)
    assert play.of(1) == ["Refuse"]
    play.rule(call, OK)
    assert play.due() == -2.0 and not play.asking.pending
    play.ask(2, units=3.0)
    assert play.calls()[0].hits == 1


@pytest.mark.parametrize("first", [0, 1])
@pytest.mark.parametrize("verdicts", [(OK, OVER), (OVER, OK), (OK, OK)])
def test_the_first_of_two_verdicts_binds_and_no_units_count_twice(
    first: int, verdicts: tuple[Ruling, Ruling]
) -> None:
    play = Play()
    play.ask(1)
    calls = play.calls()
    play.wait(0.06)  # the first service is late: the other is also asked
    calls += play.calls()
    assert [c.service for c in calls] == ["a:1", "b:1"]
    play.rule(calls[first], verdicts[0])
    bound = play.of(1)
    assert bound == (["Send"] if verdicts[0].ok else ["Refuse"])
    play.rule(calls[1 - first], verdicts[1])
    assert play.of(1) == bound
    if verdicts[0].ok:
        play.serve(1)
    charged, used = 2.0 * (verdicts[0].ok + verdicts[1].ok), 2.0 * verdicts[0].ok
    assert play.due() == used - charged
    assert not play.asking.pending and not play.asking.calls


def test_what_is_no_verdict_goes_to_the_next_service_at_once() -> None:
    play = Play()
    play.ask(1)
    play.rule(play.calls()[0], None)
    (call,) = play.calls()
    assert call.service == "b:1"
    play.rule(call, OK)
    assert play.of(1) == ["Send"]


def test_with_no_verdict_the_operators_choice_holds() -> None:
    for choice, answer in (("share", "Send"), ("deny", "Refuse")):
        play = Play(without_verdict=choice)
        play.ask(1)
        play.rule(play.calls()[0], None)
        play.rule(play.calls()[0], None)
        assert play.of(1) == [answer]
    play = Play(backends=20, without_verdict="allow", overrun=1.0, overrun_burst=5.0, services=["a:1"])
    for number in range(1, 5):
        play.ask(number)
        play.rule(play.calls()[0], None)
    assert [play.of(n)[0] for n in range(1, 5)] == ["Send", "Send", "Refuse", "Refuse"]
    play.wait(2.0)
    play.ask(5)
    play.rule(play.calls()[0], None)
    assert play.of(5) == ["Send"]


def test_a_service_that_fails_is_left_alone_and_tried_again() -> None:
    play = Play(services=["a:1"], break_after=3, back_off=1.0)
    for number in range(1, 4):
        play.ask(number, customer=f"c{number}")
        play.rule(play.calls()[0], None)
    play.ask(4)
    assert not play.calls() and play.of(4)  # it is skipped at once
    play.wait(1.1)
    play.ask(5)
    (probe,) = play.calls()
    play.ask(6)
    assert not play.calls()  # one probe at a time
    play.rule(probe, None)
    play.wait(1.1)
    play.ask(7)
    assert not play.calls()  # the pause has doubled
    play.wait(1.0)
    play.ask(8)
    play.rule(play.calls()[0], OK)
    play.ask(9)
    assert len(play.calls()) == 1


def test_true_units_are_settled_with_the_next_question_or_at_once() -> None:
    play = Play()
    play.ask(1)
    play.rule(play.calls()[0], OK)
    play.serve(1, units=5.0)
    assert play.due() == 3.0
    play.ask(2)
    (call,) = play.calls()
    assert call.hits == 5 and play.due() == 0.0
    play.rule(call, OVER)
    assert play.due() == 3.0  # nothing was charged: still due
    play = Play(settle="ask")
    play.ask(1)
    play.rule(play.calls()[0], OK)
    play.serve(1, units=5.0)
    (report,) = play.calls()
    assert report.hits == 3 and ("settle", "1") in report.entries and play.due() == 0.0
    play.rule(report, OK)
    assert not play.asking.calls


def test_units_that_were_not_used_go_off_the_next_question() -> None:
    play = Play()
    play.ask(1, units=6.0)
    play.rule(play.calls()[0], OK)
    play.serve(1, units=1.0)
    play.ask(2, units=3.0)
    assert play.calls()[0].hits == 0
    assert play.due() == 0.0


def test_what_is_due_is_bounded_so_that_a_customer_is_never_shut_out() -> None:
    play = Play(services=["a:1"], without_verdict="allow", overrun=1e6, overrun_burst=1e6)
    for number in range(1, 200):
        play.ask(number, units=4.0)
        for call in play.calls():
            play.rule(call, None)
        play.serve(number)
    assert play.due() <= 2 * 24.0
    play.asking.services[0].open_until = 0.0
    play.wait(20.0)
    play.ask(500, units=4.0)
    assert play.calls()[0].hits <= 24  # at most the burst: otherwise no service could grant it


def test_a_client_that_leaves_while_it_waits_costs_nothing() -> None:
    play = Play()
    play.ask(1)
    (call,) = play.calls()
    assert play.asking.handle(ClientLeft(1), play.now) == []
    play.rule(call, OK)
    play.wait(1.0)
    assert play.of(1) == [] and play.due() == -2.0 and not play.asking.pending


def test_a_request_waits_a_bounded_part_of_its_budget() -> None:
    play = Play()
    play.ask(1, budget=0.2)
    play.wait(0.041)
    assert play.of(1) == ["Send"]


def test_questions_over_the_bound_are_not_asked() -> None:
    play = Play(most_open=2, backends=20)
    for number in range(1, 5):
        play.ask(number)
    assert len(play.calls()) == 2 and play.of(3) == ["Send"] and play.of(4) == ["Send"]


def test_accounts_are_bounded() -> None:
    play = Play(most_customers=10)
    for number in range(1, 50):
        play.ask(number, customer=f"c{number}")
    assert len(play.asking.accounts) == 10


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"services": []}, "services must be 1"),
        ({"services": ["a:1", "a:1"]}, "all different"),
        ({"plans": []}, "must not be empty"),
        ({"timeout": 1.0}, "timeout must be"),
        ({"without_verdict": "allow"}, "needs overrun"),
        ({"overrun": 1.0}, "overrun is for"),
        ({"back_off": 0.0}, "back_off"),
        ({"most_open": 0}, "most_open"),
    ],
)
def test_tables_are_checked(change: dict[str, Any], reason: str) -> None:
    with pytest.raises(ValueError, match=reason):
        table(**change)


def test_plans_and_classes_must_be_the_platforms() -> None:
    made = lab_settings(1)
    wrong: list[tuple[dict[str, Any], str]] = [
        ({"plans": ["gold"]}, "ask.plans: 'gold' is none"),
        ({"classes": ["x"]}, "ask.classes: 'x' is none"),
    ]
    for change, reason in wrong:
        with pytest.raises(ValueError, match=reason):
            check_names(RateLimitTable(ask=table(**change)), made)
