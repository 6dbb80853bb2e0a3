"""The rules of a gateway under random events, and one case for each failure found."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from embersill.control import Gateway
from embersill.interface import (
    ClientLeft,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Send,
    SetTimer,
    Status,
    TimerDue,
)
from tests.helpers import CAPPED, SETTINGS, Watch, backend, backends, ended, gateway, request

STEP = st.tuples(
    st.sampled_from(["ask", "end", "end", "wait", "leave", "drain", "count", "silence"]),
    st.integers(0, 10**6),
    st.floats(0.0, 1.5),
)
ENDS = [
    Outcome.SERVED,
    Outcome.ERROR,
    Outcome.TURNED_AWAY,
    Outcome.NO_CONNECTION,
    Outcome.BROKEN,
    Outcome.NOT_SENT,
    Outcome.CANCELLED,
]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_random_events_break_no_rule(steps: list[tuple[str, int, float]]) -> None:
    watch = Watch(gateway())
    names = ["a", "b", "c", "d"]
    watch.tell(backends(*(backend(n, i // 2) for i, n in enumerate(names))))
    asked = 0
    for kind, pick, span in steps:
        if kind == "ask":
            asked += 1
            klass, plan = ("read", "keyed", "pay")[pick % 3], ("small", "capped", "open")[pick // 3 % 3]
            watch.tell(
                request(
                    asked, klass, plan, plan + str(pick // 9 % 2), 1.0 + pick % 3, watch.now + 0.2 + 3 * span
                )
            )
        elif kind == "end":
            flying = [(n, a) for n in watch.sent for a in watch.out(n)]
            if flying:
                number, attempt = flying[pick % len(flying)]
                outcome = ENDS[pick // 7 % len(ENDS)]
                over = number not in watch.open or outcome is Outcome.SERVED
                where, when = watch.sent[number][attempt]
                watch.tell(ended(number, attempt, where, outcome, watch.now - when, over, 1.0 + pick % 5))
        elif kind == "wait":
            watch.run_to(watch.now + span)
        elif kind == "leave" and watch.open:
            watch.tell(ClientLeft(sorted(watch.open)[pick % len(watch.open)]))
        elif kind == "drain":
            status = [Status.SERVING, Status.DRAINING, Status.GONE][pick % 3]
            which = pick // 3 % 4
            watch.tell(backends(backend(names[which], which // 2, status), kind=ListKind.CHANGES))
        elif kind == "count":
            watch.answer_counts(float(pick % 20))
        elif kind == "silence":
            watch.answer_counts(0.0, Outcome.TIMED_OUT)
    watch.run_to(watch.now + 20)
    assert not watch.open  # every request has had exactly one answer
    for customer, units in watch.first_units.items():
        if customer.startswith("capped"):  # its share of the ceiling, over every interval
            for i, (start, _) in enumerate(units):
                for end, _ in units[i:]:
                    total = sum(u for t, u in units[i:] if t <= end)
                    assert total <= CAPPED.ceiling_depth / 2 + CAPPED.ceiling_rate / 2 * (end - start) + 1e-6
    for throttle in watch.gateway.throttles.values():
        assert throttle.level <= throttle.bank + 1e-6 and not throttle.queue and abs(throttle.held) < 1e-6
        assert throttle.open >= 0
    assert not watch.gateway.jobs or all(job.out for job in watch.gateway.jobs.values())


def where(actions: Sequence[object]) -> str:
    return next(a.backend for a in actions if isinstance(a, Send))


def test_once_is_refused_only_when_proven_unrun() -> None:
    made = gateway(listed=backends(backend("a")), max_attempts=1)
    made.handle(request(1, "pay"), 100.0)
    assert isinstance(made.handle(ended(1, 0, "a", Outcome.TURNED_AWAY), 100.1)[-1], Refuse)
    made.handle(request(2, "pay"), 100.2)
    assert isinstance(made.handle(ended(2, 0, "a", Outcome.BROKEN), 100.3)[-1], Fail)


def test_keyed_is_resent_only_within_its_group() -> None:
    made = gateway(listed=backends(backend("a", 0), backend("b", 1)))
    first = where(list(made.handle(request(1, "keyed"), 100.0)))
    again = made.handle(ended(1, 0, first, Outcome.ERROR), 100.1)
    assert [a.backend for a in again if isinstance(a, Send)] in ([], [first])


def test_nothing_goes_to_a_draining_backend() -> None:
    made = gateway(listed=backends(backend("a"), backend("b", status=Status.DRAINING)))
    for number in range(3):
        assert where(list(made.handle(request(number), 100.0))) == "a"


def test_a_cold_backend_gets_its_part_from_all_gateways_together() -> None:
    """Hundreds of gateways must not each send a request as soon as a cold backend is listed (incidents)."""
    for gateways in (2, 300):
        to_cold = 0
        for me in range(gateways):
            made = Gateway(replace(SETTINGS, gateways=gateways), me, 100.0)
            warm = [backend(f"w{n}") for n in range(5)]
            made.handle(backends(backend("cold", started=100.0), *warm), 100.0)
            for number in range(1200 // gateways):
                sent = where(list(made.handle(request(number, customer=f"x{number}", deadline=110.0), 100.1)))
                to_cold += sent == "cold"
                made.handle(ended(number, 0, sent, Outcome.SERVED), 100.2)
        assert 10 <= to_cold <= 70  # a warm one gets at least 200; the least that a cold one can take is 50


def cold_parts(cold: int, warm: int, age: float = 0.0) -> tuple[float, float]:
    """Requests sent to a cold and to a warm backend, relative to the mean, by 40 gateways with few each."""
    sent = {"c": 0, "w": 0}
    for me in range(40):
        made = Gateway(replace(SETTINGS, gateways=40), me, 100.0)
        made.handle(
            backends(
                *(backend(f"c{n}", started=100.0 - age) for n in range(cold)),
                *(backend(f"w{n}") for n in range(warm)),
            ),
            100.0,
        )
        for number in range(60):
            actions = list(made.handle(request(number, customer=f"x{number}", deadline=110.0), 100.1))
            if at := [a.backend for a in actions if isinstance(a, Send)]:
                sent[at[0][0]] += 1
                made.handle(ended(number, 0, at[0], Outcome.SERVED), 100.2)
    mean = 40 * 60 / (cold + warm)
    return sent["c"] / mean / cold, sent["w"] / mean / max(warm, 1)


def test_where_most_backends_are_cold_all_carry_by_what_they_can_do() -> None:
    """With six in ten backends replaced, warm ones must not get three times a cold one's load and be late."""
    share = 0.25 + 0.75 * 4.0 / 10.0  # the least capacity of a backend 4 s after its start
    to_cold, to_warm = cold_parts(36, 24, age=4.0)
    assert 0.8 * share < to_cold / to_warm < 1.1 * share
    assert to_cold < 3.0 * share / 1.5  # half of the bound, even for a warm fleet at full load


@pytest.mark.parametrize("cold", [12, 30, 54, 60])
def test_a_cold_backend_stays_under_the_rule_however_many_are_cold(cold: int) -> None:
    # relative to what a backend gets when all are warm, a load below a fleet's capacity
    to_cold, _ = cold_parts(cold, 60 - cold)
    assert to_cold < 0.25 * 2.0


def test_a_fleet_that_is_cold_as_a_whole_is_used() -> None:
    made = gateway(listed=backends(backend("a", started=99.0), backend("b", started=99.0)))
    tries = [made.handle(request(n, customer=f"x{n}", deadline=110.0), 100.0 + n / 10) for n in range(40)]
    assert 1 <= sum(isinstance(a, Send) for actions in tries for a in actions) <= 20


def test_late_events_for_ended_requests_are_ignored() -> None:
    made = gateway()
    assert made.handle(ended(9, 0, "a", Outcome.SERVED), 100.0) == []
    assert made.handle(ClientLeft(9), 100.0) == []
    assert made.handle(TimerDue("o0 9"), 100.0) == []
    assert made.handle(TimerDue("rnobody"), 100.0) == []


def test_slow_answers_do_not_lock_the_gateway() -> None:
    """After slow answers requests were refused for ever, or as long again as it was slow (incidents)."""
    made, sent = gateway(gateways=1), []
    for number in range(160):
        now = 100.0 + number / 2
        actions = made.handle(request(number, customer=f"x{number}", deadline=now + 4, width=1), now)
        sent.append(any(isinstance(a, Send) for a in actions))
        if sent[-1]:
            slow = 0.9 if number < 60 else 0.1
            made.handle(ended(number, 0, where(actions), Outcome.SERVED, slow), now + 0.4)
    assert sum(sent[40:60]) <= 10  # slow: most are refused, some are sent and show when it is over
    assert all(sent[140:])


def test_stuck_attempts_rest_their_backend_only() -> None:
    """Very slow backends must not use up a limit that all backends share (incident)."""
    made = gateway(gateways=1, listed=backends(backend("a"), backend("b")))
    stuck, timers = 0, list[tuple[float, str]]()
    for number in range(40):
        now = 100.0 + number
        actions = made.handle(request(number, customer=f"x{number}", deadline=now + 90, width=1), now)
        sent = where(list(actions))
        timers += [(now + a.delay, a.key) for a in actions if isinstance(a, SetTimer) and a.key[0] == "o"]
        if sent == "a":
            stuck += 1
        else:
            made.handle(ended(number, 0, sent, Outcome.SERVED, 0.1), now + 0.1)
        while timers and timers[0][0] < now + 1.0:
            due, key = timers.pop(0)
            more = made.handle(TimerDue(key), due)
            timers += [(due + a.delay, a.key) for a in more if isinstance(a, SetTimer)]
    assert stuck <= 9  # its own limit is reached


def test_a_refused_connection_sets_a_backend_aside_at_once() -> None:
    """Dead backends that were still listed must not get a third of the attempts (incident)."""
    made = gateway(gateways=1, listed=backends(backend("a"), backend("b"), backend("c")))
    number, now, dead = 0, 100.0, 0
    while dead == 0:
        number += 1
        sent = where(list(made.handle(request(number, customer=f"x{number}", width=1), now)))
        dead = number if sent == "a" else 0
    made.handle(ended(dead, 0, "a", Outcome.NO_CONNECTION), now + 0.1)
    for more in range(100, 110):
        assert where(list(made.handle(request(more, customer=f"x{more}", width=1), now + 0.2))) != "a"


def test_overload_is_seen_alike_from_one_gateway_and_from_many() -> None:
    """Each of many gateways sends a backend too little to see by itself that all overload it (incidents)."""
    for gateways in (2, 300):
        made = gateway(gateways=gateways, listed=backends(*(backend(f"b{n}") for n in range(60))))
        sent = 0
        for number in range(60):
            now = 100.0 + number / 2
            actions = made.handle(request(number, customer=f"x{number}", width=1, deadline=now + 4), now)
            if any(isinstance(a, Send) for a in actions):
                sent += number >= 40
                made.handle(ended(number, 0, where(actions), Outcome.SERVED, 0.9), now + 0.4)
        assert 0 < sent <= 10


def test_full_for_one_plan_or_class_is_remembered_and_is_no_ill_health() -> None:
    """Incident i9ba5ae: backends with free capacity rejected one plan, and were tried again and again."""
    made = gateway(gateways=1, listed=backends(*(backend(f"b{n}") for n in range(6))))
    full = {"b0", "b1", "b2"}
    away = 0
    for number in range(200):
        now = 100.0 + number / 10
        at = where(made.handle(request(number, customer=f"x{number}", width=1, deadline=now + 4), now))
        attempt = 0
        while at in full:
            away += 1
            more = made.handle(ended(number, attempt, at, Outcome.TURNED_AWAY), now + 0.01)
            attempt += 1
            at = where(more) if any(isinstance(a, Send) for a in more) else ""
        if at:
            made.handle(ended(number, attempt, at, Outcome.SERVED), now + 0.05)
    assert away <= 15 and made.servers["b0"].bad == 0
    asks = [request(500 + n, "pay", "capped", f"y{n}", 1.0, 190.0, 1) for n in range(9)]
    assert full & {where(made.handle(ask, 180.0)) for ask in asks}


def test_an_attempt_ends_once_its_answer_is_worthless() -> None:
    """Under overload, work on answers that had become worthless kept backends busy for seconds."""
    made = gateway()
    sent = next(a for a in made.handle(request(1, deadline=104.0), 100.0) if isinstance(a, Send))
    assert sent.timeout == 1.0  # the aim; late answers of this class are worth nothing


def test_time_going_back_stands_still_and_unknown_classes_are_refused() -> None:
    made = gateway()
    made.handle(request(1, klass="nonsense"), 100.0)
    assert made.jobs == {}
    made.handle(request(2), 101.0)
    made.handle(request(3), 50.0)
    assert made.turn.now == 101.0 and made.jobs[3].arrived == 101.0


def test_a_keyed_repeat_may_not_be_written_after_its_key_is_forgotten() -> None:
    """Connecting may outlast the memory of the key, so the send says until when it may be written."""
    made = gateway(listed=backends(backend("a", 0), backend("b", 0)))
    first = next(a for a in made.handle(request(1, "keyed"), 100.0) if isinstance(a, Send))
    assert first.write_by == float("inf")
    broken = ended(1, 0, first.backend, Outcome.BROKEN)
    again = next(a for a in made.handle(broken, 100.1) if isinstance(a, Send))
    memory = next(c.memory for c in SETTINGS.classes if c.name == "keyed")
    assert again.write_by == 100.0 + memory


def errors_met(gateways: int, seconds: float) -> float:
    """Errors a second at all gateways, with 6 of 30 backends failing, at 300 requests a second."""
    met = 0
    for me in range(gateways):
        made = Gateway(replace(SETTINGS, gateways=gateways), me, 100.0)
        made.handle(backends(*(backend(f"w{n}") for n in range(30))), 100.0)
        for number in range(int(300 * seconds / gateways)):
            now = 100.0 + number * gateways / 300
            actions = list(
                made.handle(request(number, customer=f"x{number}", deadline=now + 4, width=1), now)
            )
            for send in [a for a in actions if isinstance(a, Send)]:
                bad = int(send.backend[1:]) < 6
                met += bad
                outcome = Outcome.ERROR if bad else Outcome.SERVED
                made.handle(ended(number, 0, send.backend, outcome, over=True), now + 0.1)
    return met / seconds


def test_what_fails_is_not_tried_anew_by_each_of_many_gateways() -> None:
    """40 gateways that forgot failures in 8 s had errors on a tenth of all attempts, all day long."""
    assert errors_met(40, 40.0) < 2.0 * errors_met(10, 40.0)


def test_what_may_run_once_goes_to_backends_that_serve() -> None:
    made = gateway(listed=backends(*(backend(f"w{n}") for n in range(30))))
    for number in range(60):
        actions = list(made.handle(request(number, customer=f"x{number}"), 100.0 + number / 20))
        at = where(actions)
        outcome = Outcome.ERROR if int(at[1:]) < 6 else Outcome.SERVED
        made.handle(ended(number, 0, at, outcome, over=True), 100.0 + number / 20)
    proven = {s.backend.address for s in made.servers.values() if s.proven}
    sent = [
        where(list(made.handle(request(100 + n, "pay", customer=f"y{n}", deadline=107.0), 103.0)))
        for n in range(20)
    ]
    assert 10 < len(proven) <= 24 and set(sent) <= proven


def test_a_backend_that_turns_two_kinds_away_is_full_for_all() -> None:
    # a draining backend, not yet listed so, was tried with each class of each plan
    made = gateway(listed=backends(backend("a"), backend("b")))
    server = made.servers["a"]
    server.full = {("read", "small"): 110.0}
    assert server.is_full(("read", "small"), 100.0) and not server.is_full(("once", "small"), 100.0)
    server.full["keyed", "small"] = 110.0
    assert server.is_full(("once", "small"), 100.0) and not server.is_full(("once", "small"), 111.0)
