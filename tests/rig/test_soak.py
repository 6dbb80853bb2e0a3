"""The soak's parts without processes: what it draws, what its judge finds and excuses, how it cuts down."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from embersill.rig.processes import Member

from embersill.rig.soak.fences import FENCES, cut_copy
from embersill.rig.soak.judge import GAUGES, Rule, judge
from embersill.rig.soak.lives import Life
from embersill.rig.soak.record import Answer, Calm, Change, Exit, Record, Run, RunEnd, Struck, Try
from embersill.rig.soak.schedule import (
    CALM_AT_END,
    BackendKind,
    Leave,
    Phase,
    Route,
    Schedule,
    TroubleKind,
    generate,
)
from embersill.rig.soak.shrink import shrink
from tests.bed import run


def test_the_same_seed_draws_the_same_run_and_another_seed_another() -> None:
    schedule = generate(7, 30.0)
    assert schedule == generate(7, 30.0) != generate(8, 30.0)
    assert all(action.at <= 30.0 - CALM_AT_END for action in schedule.actions)
    assert {action.leave for action in schedule.actions} == {None, *Leave}
    assert {action.phase for action in schedule.actions} == set(Phase)
    assert msgspec.json.decode(msgspec.json.encode(schedule), type=Schedule) == schedule
    kinds = [trouble.kind for seed in range(40) for trouble in generate(seed, 60.0).troubles]
    assert set(kinds) == set(TroubleKind)


def a_try(route: Route = Route.ASK, left_at: float = 0.0, **more: object) -> Try:
    leave = Leave.CLOSE if left_at else None
    one = Try("a1", 0, 2, "wide", route, 3.0, 1.0, True, left_at, leave, Phase.WORKING)
    return msgspec.structs.replace(one, **more)


def a_run(
    arrived: float = 1.0, ended: float = 4.0, end: RunEnd = RunEnd.FINISHED, closed_at: float = 0.0
) -> Run:
    return Run("a1", "i-1", BackendKind.SOUND, arrived, "wide", arrived, ended, closed_at, end)


def an_answer(status: int = 200, attempt: str = "a1", sealed: bool = True) -> Answer:
    return Answer(4.0, status, attempt, sealed, True)


def calm(version: int = 1, descriptors: int = 30, **high: float) -> Calm:
    figures = {f"embersill_{name}": high.get(name, 0.0) for name in GAUGES}
    return Calm(2, figures, version, descriptors)


BROKEN: dict[str, tuple[Rule, Record]] = {
    "works on": (Rule.RUNS_AFTER_LEAVE, Record([a_try(left_at=1.5)], [a_run()])),
    "told late": (Rule.RUNS_AFTER_LEAVE, Record([a_try(left_at=1.5)], [a_run(closed_at=3.9)])),
    "reached late": (Rule.RUNS_AFTER_LEAVE, Record([a_try(Route.ORDER, 1.5)], [a_run(arrived=2.8)])),
    "twice": (Rule.DOUBLED, Record([a_try(Route.ORDER)], [a_run(), a_run()])),
    "refused": (Rule.REFUSED_AFTER_RUN, Record([a_try(Route.ORDER, answers=[an_answer(503)])], [a_run()])),
    "foreign": (Rule.FOREIGN_ANSWER, Record([a_try(answers=[an_answer(attempt="a2")])], [a_run()])),
    "unsealed": (Rule.FOREIGN_ANSWER, Record([a_try(answers=[an_answer(sealed=False)])], [a_run()])),
    "second": (Rule.FOREIGN_ANSWER, Record([a_try(answers=[an_answer(), an_answer()])], [a_run()])),
    "cut": (
        Rule.LOST,
        Record(
            [a_try(cut_at=2.0, work=0.1)],
            [a_run(end=RunEnd.DROPPED)],
            [Struck(TroubleKind.TERM, 2, 1.5, 5.0)],
        ),
    ),
    "quota": (Rule.QUOTA, Record(runs=[a_run() for _ in range(60)], quotas={"wide": (5.0, 5.0)})),
    "invalid": (Rule.CONFIGURATION, Record(changes=[Change(2, 1, False, 1.0, [200])])),
    "both": (
        Rule.CONFIGURATION,
        Record(changes=[Change(2, 1, True, 1.0, [200]), Change(3, 1, True, 1.0, [200])]),
    ),
    "older": (Rule.CONFIGURATION, Record(changes=[Change(2, 1, True, 1.0, [0, 200])], calm=[calm()])),
    "held": (Rule.LEAKED, Record(calm=[calm(requests_pending=1.0)])),
    "files": (Rule.LEAKED, Record(calm=[calm(descriptors=900)])),
    "silent": (Rule.LEAKED, Record(calm=[Calm(2, {}, 1, 30)])),
    "crash": (Rule.EXITS, Record(exits=[Exit(2, 3.0, 1, False)])),
    "overdue": (Rule.EXITS, Record(exits=[Exit(2, 9.0, -9, True, True)])),
}


@pytest.mark.parametrize("name", BROKEN)
def test_the_judge_finds_what_breaks_a_rule(name: str) -> None:
    rule, record = BROKEN[name]
    assert {found.rule for found in judge(record)} == {rule}


@pytest.mark.parametrize("record", [
    Record([a_try(left_at=1.5)], [a_run(ended=1.6, end=RunEnd.DROPPED, closed_at=1.6)]),
    Record([a_try(left_at=1.5)], [a_run(closed_at=1.6)]),  # it works on, but was told
    Record([a_try(Route.ORDER, 1.5)], [a_run()]),  # an order runs to its end
    Record([a_try(left_at=1.5, leave=Leave.SILENCE)], [a_run()]),  # it is still connected
    Record([a_try(left_at=1.5)], [a_run()], [Struck(TroubleKind.STOP, 2, 1.4, 4.0)]),
    Record([a_try(left_at=1.5)], [a_run()], stalls=[(1.4, 4.0)]),  # the soak itself stood still
    Record([a_try(cut_at=2.0)], [a_run(end=RunEnd.DROPPED)], [Struck(TroubleKind.KILL, 2, 2.0, 3.0)]),
    Record([a_try(cut_at=6.0)], [a_run(end=RunEnd.DROPPED)], [Struck(TroubleKind.TERM, 2, 0.9, 7.0)]),
    Record([a_try(Route.ORDER, answers=[an_answer(503)])], [a_run(end=RunEnd.DECLINED)]),
    Record([a_try(Route.ORDER, answers=[an_answer(502)])], [a_run(end=RunEnd.BROKEN)]),
    Record(changes=[Change(2, 1, True, 1.0, [200]), Change(3, 1, True, 1.0, [412])], calm=[calm(2)]),
    Record(exits=[Exit(2, 9.0, 0, True), Exit(2, 9.0, -9, True, True)],
           struck=[Struck(TroubleKind.STOP, 2, 3.0, 8.0)]),
])  # fmt: skip
def test_the_judge_holds_nothing_against_what_keeps_the_rules(record: Record) -> None:
    assert not judge(record)


# A program that handles SIGHUP a while after its start, and ends with 7 for the first one that it gets.
HANDLES_LATE = "import signal, time; time.sleep(0.5); signal.signal(1, lambda *_: exit(7)); time.sleep(20)"
HANDLES_NEVER = "import time; time.sleep(20)"


@pytest.mark.parametrize(("program", "code"), [(HANDLES_LATE, 7), (HANDLES_NEVER, -signal.SIGHUP)])
def test_a_process_gets_sighup_once_its_program_takes_it_or_in_the_end(program: str, code: int) -> None:
    async def test() -> None:
        member = Member("g0", "gateway", [sys.executable, "-c", program], dict(os.environ))
        hall: Any = SimpleNamespace(gateways=[member])
        await member.start()
        exits = list[Exit]()
        life = Life(hall, 0, exits, asyncio.get_running_loop().time)
        await life.hang_up()
        while not exits:
            await asyncio.sleep(0.01)
        life.closing = True
        life.watching.cancel()
        assert [(ended.code, ended.wanted) for ended in exits] == [(code, False)]

    run(test)


def test_an_end_by_sighup_is_held_against_a_gateway_also_just_after_a_restart() -> None:
    restarted, hangup = Exit(2, 3.0, 0, True), Struck(TroubleKind.HUP, 2, 3.5, 3.5)
    findings = judge(Record(exits=[restarted, Exit(2, 3.6, -signal.SIGHUP, False)], struck=[hangup]))
    assert [(finding.rule, finding.gateway, finding.at) for finding in findings] == [(Rule.EXITS, 2, 3.6)]


def test_a_schedule_is_cut_down_to_what_still_breaks_a_rule() -> None:
    schedule = generate(3, 40.0)
    guilty = schedule.troubles[len(schedule.troubles) // 2]
    client = schedule.actions[0].client

    def still_breaks(smaller: Schedule) -> bool:
        clients = {action.client for action in smaller.actions}
        return guilty in smaller.troubles and client in clients

    found = shrink(schedule, still_breaks, most_plays=40)
    assert guilty in found.troubles and len(found.troubles) <= len(schedule.troubles) / 4
    assert len(found.actions) <= len(schedule.actions) / 4


@pytest.mark.parametrize("name", FENCES)
def test_each_fence_still_stands_where_it_is_cut(tmp_path: Path, name: str) -> None:
    environ = cut_copy(name, tmp_path)
    assert environ["PYTHONPATH"] == str(tmp_path) and (tmp_path / "embersill" / "edge").is_dir()
