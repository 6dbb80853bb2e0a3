"""Queries: rules, bounds, all or nothing, and one throttle shared by requests and queries."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from embersill.control import Gateway
from embersill.interface import (
    AttemptEnded,
    Backend,
    BackendList,
    ListKind,
    Outcome,
    Plan,
    Question,
    Request,
    Send,
    Settings,
    Status,
    Take,
    Verdict,
)
from embersill.ratelimit.answering import Answering, BadQuestion, Descriptor, Override, per_unit
from embersill.ratelimit.settings import RateLimitTable, check_names, check_ratelimit
from embersill.rig.settings import lab_settings

CUSTOMER, OTHER = "00000000000000c1", "00000000000000c2"
RULES: list[dict[str, Any]] = [
    {"domain": "lookup", "match": {"settle": "*"}, "customer": "account", "plan": "pro", "mode": "settle"},
    {"domain": "lookup", "match": {"api": "try"}, "customer": "account", "plan": "pro", "mode": "shadow"},
    {"domain": "lookup", "match": {"api": "own"}, "customer": "account", "plan": "pro", "override": "apply"},
    {
        "domain": "lookup",
        "match": {"api": "fixed"},
        "customer": "account",
        "plan": "pro",
        "override": "refuse",
    },
    {"domain": "lookup", "match": {"api": "report"}, "customer": "account", "plan": "pro", "units": 2.0},
    {"domain": "lookup", "match": {}, "customer": "account", "plan_from": "plan"},
]


def table(**changes: Any) -> RateLimitTable:
    answer = {"listen": "127.0.0.1:0", "rules": RULES, **changes}
    return msgspec.convert({"answer": answer}, RateLimitTable)


class Desk:
    """A gateway of width one, queried at chosen times."""

    def __init__(self, **changes: Any) -> None:
        self.settings = replace(lab_settings(1), counter=False)
        self.gateway, self.now = Gateway(self.settings, 1, 100.0), 200.0
        told = table(**changes).answer
        assert told is not None
        self.answering = Answering(told, self.settings, self.decide)

    def decide(self, question: Question) -> Verdict:
        verdicts = [a for a in self.gateway.handle(question, self.now) if isinstance(a, Verdict)]
        assert len(verdicts) == 1
        return verdicts[0]

    def ask(self, *descriptors: Descriptor, hits: int = 0, domain: str = "lookup") -> Any:
        return self.answering.answer(domain, descriptors, hits)

    def level(self, customer: str = CUSTOMER) -> float:
        throttle = self.gateway.throttles[customer]
        throttle.refill(self.now)
        return throttle.level


def of(
    customer: str = CUSTOMER, hits: int | None = None, override: Override | None = None, **entries: str
) -> Descriptor:
    return Descriptor((("account", customer), *entries.items()), hits, override)


def test_a_question_takes_its_units_from_the_throttle_of_requests() -> None:
    desk = Desk()
    answer = desk.ask(of(api="report"), hits=3)  # two units per hit
    assert answer.ok and desk.level() == 18.0
    status = answer.statuses[0]
    assert (status.requests_per_unit, status.unit, status.remaining) == (12, 1, 18)
    assert status.reset == pytest.approx(6.0 / 12.0)
    refused = desk.ask(of(api="report"), hits=10)
    assert not refused.ok and desk.level() == 18.0
    assert refused.statuses[0].reset == pytest.approx(2.0 / 12.0)
    desk.now += 2.1 / 12.0
    assert desk.ask(of(api="report"), hits=10).ok


def test_several_descriptors_are_all_or_nothing() -> None:
    desk = Desk()
    assert not desk.ask(of(plan="pro", hits=20), of(OTHER, plan="pro", hits=25)).ok
    assert desk.level() == 24.0 and desk.level(OTHER) == 24.0
    # the same customer twice: the second can't use what the first takes
    assert not desk.ask(of(plan="pro", hits=20), of(plan="pro", hits=20)).ok
    assert desk.level() == 24.0
    assert desk.ask(of(plan="pro", hits=12), of(plan="pro", hits=12)).ok and desk.level() == 0.0


def test_shadow_rules_count_and_never_refuse() -> None:
    desk = Desk()
    for _ in range(30):
        assert desk.ask(of(api="try")).ok
    assert desk.answering.counts["shadow_refused"] == 6 and desk.level() == 0.0
    assert not desk.ask(of(plan="pro")).ok


def test_used_units_are_taken_below_nought() -> None:
    desk = Desk()
    assert desk.ask(of(settle="1", hits=30)).ok and desk.level() == -6.0
    assert not desk.ask(of(plan="pro")).ok


def test_no_hits_only_look() -> None:
    desk = Desk()
    answer = desk.ask(of(plan="pro", hits=0))
    assert answer.ok and answer.statuses[0].remaining == 24 and desk.level() == 24.0
    assert desk.ask(of(plan="pro"), hits=0).ok and desk.level() == 23.0  # unset counts as one


@pytest.mark.parametrize("hits", [25, 1000, 2**32 - 1])
def test_more_than_any_request_may_take_is_refused_and_takes_nothing(hits: int) -> None:
    desk = Desk()
    assert not desk.ask(of(plan="pro"), hits=hits).ok
    assert desk.level() == 24.0


def test_a_descriptors_own_limit_has_a_throttle_of_its_own() -> None:
    desk = Desk()
    own = of(api="own", override=Override(3, 1))
    assert [desk.ask(own).ok for _ in range(4)] == [True, True, True, False]
    assert CUSTOMER not in desk.gateway.throttles
    assert desk.ask(own).statuses[0].requests_per_unit == 3
    with pytest.raises(BadQuestion, match="takes no limit"):
        desk.ask(of(api="fixed", override=Override(3, 1)))
    for override in (Override(0, 1), Override(5, 0), Override(5, 99)):
        with pytest.raises(BadQuestion, match="no unit or no number"):
            desk.ask(of(api="own", override=override))


@pytest.mark.parametrize(
    ("domain", "descriptors", "reason"),
    [
        ("", [of(plan="pro")], "domain"),
        ("d" * 300, [of(plan="pro")], "domain"),
        ("lookup", [], "descriptors must be"),
        ("lookup", [of(plan="pro")] * 10_000, "descriptors must be"),
        ("lookup", [Descriptor(())], "no entries"),
        ("lookup", [of(plan="pro", x="y" * 300)], "too long"),
        ("lookup", [of("nobody", plan="pro")], "is not a customer"),
        ("lookup", [of(plan="gold")], "no plan"),
        ("lookup", [Descriptor((("", "x"),))], "key is empty"),
    ],
)
def test_what_is_out_of_form_is_told_and_takes_nothing(
    domain: str, descriptors: list[Descriptor], reason: str
) -> None:
    desk = Desk()
    with pytest.raises(BadQuestion, match=reason):
        desk.ask(*descriptors, domain=domain)
    assert not desk.gateway.throttles and desk.answering.counts["bad"] == 1


def test_what_no_rule_is_for_goes_by_the_operators_word() -> None:
    unknown = Descriptor((("colour", "red"),))
    allowed = Desk().ask(unknown)
    assert allowed.ok and allowed.statuses[0].unit == 0
    desk = Desk(unmatched="deny")
    denied = desk.ask(of(plan="pro", hits=5), unknown)
    assert not denied.ok and [s.ok for s in denied.statuses] == [True, False]
    assert desk.level() == 24.0


def test_a_question_and_a_request_at_once_for_the_last_units() -> None:
    for question_first in (True, False):
        desk = Desk()
        gateway = desk.gateway
        gateway.handle(
            BackendList(ListKind.WHOLE, (Backend("b", "z", "k", 0, Status.SERVING, 1.0, None),)), desk.now
        )
        assert desk.ask(of(plan="pro"), hits=20).ok  # four are left
        asked = Request(1, "lookup", "pro", CUSTOMER, desk.now + 0.01, 4.0, 1, 0, False)
        if question_first:
            granted = desk.ask(of(plan="pro"), hits=4).ok
            sent = any(isinstance(a, Send) for a in gateway.handle(asked, desk.now))
        else:
            sent = any(isinstance(a, Send) for a in gateway.handle(asked, desk.now))
            granted = desk.ask(of(plan="pro"), hits=4).ok
        assert (granted, sent) == (question_first, not question_first)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 0.5), st.integers(1, 8)), max_size=80))
def test_the_ceiling_holds_over_requests_and_questions(steps: list[tuple[bool, float, int]]) -> None:
    made = lab_settings(1)
    plan = Plan("pro", 50.0, 100.0, 0, 8.0, 16.0, 1.0, 0.0, 1.0)
    made = replace(made, counter=False, plans=(made.plans[0], plan, made.plans[2]))
    gateway, now = Gateway(made, 1, 100.0), 200.0
    gateway.handle(BackendList(ListKind.WHOLE, (Backend("b", "z", "k", 0, Status.SERVING, 1.0, None),)), now)
    level, number = 16.0, 0
    for as_question, wait, units in steps:
        now, number = now + wait, number + 1
        level = min(16.0, level + 8.0 * wait)
        if as_question:
            actions = gateway.handle(Question(number, (Take("c", plan, float(units), 1),)), now)
            passed = any(isinstance(a, Verdict) and a.granted for a in actions)
        else:
            asked = Request(number, "lookup", "pro", "c", now + 0.001, float(units), 1, 0, False)
            actions = gateway.handle(asked, now)
            passed = any(isinstance(a, Send) for a in actions)
            if passed:
                gateway.handle(AttemptEnded(number, 0, "b", Outcome.SERVED, 0.01, True, 0.0, ()), now)
        assert not passed or units <= level + 1e-6
        level -= units if passed else 0.0


def test_rates_are_told_in_whole_numbers() -> None:
    def told(rate: float) -> tuple[int, int]:
        return per_unit(Plan("p", rate, 1.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0))

    assert (told(12.0), told(1.25), told(0.001), told(0.0)) == ((12, 1), (75, 2), (1, 2), (0, 0))


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"rules": []}, "rules must be 1"),
        ({"most_open": 0}, "most_open: 0 is not"),
        ({"rules": [{**RULES[0], "domain": ""}]}, r"rules\[0\].domain is empty"),
        ({"rules": [{**RULES[0], "plan_from": "plan"}]}, "and not both"),
        ({"rules": [{**RULES[0], "units": 0.0}]}, "out of bounds"),
        ({"rules": [RULES[-1], RULES[0]]}, r"rules\[1\] is never reached"),
    ],
)
def test_rules_are_checked_when_they_are_loaded(change: dict[str, Any], reason: str) -> None:
    with pytest.raises(ValueError, match=reason):
        check_ratelimit(table(**change))


def test_names_are_checked_against_the_platforms() -> None:
    check_ratelimit(table())
    made: Settings = lab_settings(1)
    check_names(table(), made)
    with pytest.raises(ValueError, match="no plan 'gold'"):
        check_names(table(rules=[{**RULES[0], "plan": "gold"}]), made)
