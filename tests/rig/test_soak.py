"""The soak without a deployment: drawing, judging and shrinking schedules, and its signals to a process."""

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
from embersill.rig.soak.record import (
    Answer,
    Change,
    ClientRequest,
    Exit,
    IdleState,
    InjectedFault,
    Record,
    Run,
    RunEnd,
)
from embersill.rig.soak.schedule import (
    FAULT_FREE_TAIL_S,
    BackendKind,
    Disconnect,
    FaultKind,
    Phase,
    Route,
    Schedule,
    generate,
)
from embersill.rig.soak.shrink import shrink
from tests.bed import run


def test_schedule_depends_only_on_the_seed() -> None:
    schedule = generate(7, 30.0)
    assert schedule == generate(7, 30.0) != generate(8, 30.0)
    assert all(action.at <= 30.0 - FAULT_FREE_TAIL_S for action in schedule.actions)
    assert {action.leave for action in schedule.actions} == {None, *Disconnect}
    assert {action.phase for action in schedule.actions} == set(Phase)
    assert msgspec.json.decode(msgspec.json.encode(schedule), type=Schedule) == schedule
    kinds = [trouble.kind for seed in range(40) for trouble in generate(seed, 60.0).troubles]
    assert set(kinds) == set(FaultKind)


def request(route: Route = Route.ASK, left_at: float = 0.0, **changes: object) -> ClientRequest:
    leave = Disconnect.CLOSE if left_at else None
    made = ClientRequest("a1", 0, 2, "wide", route, 3.0, 1.0, True, left_at, leave, Phase.WORKING)
    return msgspec.structs.replace(made, **changes)


def run_of(
    arrived: float = 1.0, ended: float = 4.0, end: RunEnd = RunEnd.FINISHED, closed_at: float = 0.0
) -> Run:
    return Run("a1", "i-1", BackendKind.SOUND, arrived, "wide", arrived, ended, closed_at, end)


def answer(status: int = 200, attempt: str = "a1", sealed: bool = True) -> Answer:
    return Answer(4.0, status, attempt, sealed, True)


def calm(version: int = 1, descriptors: int = 30, **high: float) -> IdleState:
    figures = {f"embersill_{name}": high.get(name, 0.0) for name in GAUGES}
    return IdleState(2, figures, version, descriptors)


BREACHES: dict[str, tuple[Rule, Record]] = {
    "works on": (Rule.RUNS_AFTER_LEAVE, Record([request(left_at=1.5)], [run_of()])),
    "told late": (Rule.RUNS_AFTER_LEAVE, Record([request(left_at=1.5)], [run_of(closed_at=3.9)])),
    "reached late": (Rule.RUNS_AFTER_LEAVE, Record([request(Route.ORDER, 1.5)], [run_of(arrived=2.8)])),
    "twice": (Rule.DOUBLED, Record([request(Route.ORDER)], [run_of(), run_of()])),
    "refused": (Rule.REFUSED_AFTER_RUN, Record([request(Route.ORDER, answers=[answer(503)])], [run_of()])),
    "foreign": (Rule.FOREIGN_ANSWER, Record([request(answers=[answer(attempt="a2")])], [run_of()])),
    "unsealed": (Rule.FOREIGN_ANSWER, Record([request(answers=[answer(sealed=False)])], [run_of()])),
    "second": (Rule.FOREIGN_ANSWER, Record([request(answers=[answer(), answer()])], [run_of()])),
    "cut": (
        Rule.LOST,
        Record(
            [request(cut_at=2.0, work=0.1)],
            [run_of(end=RunEnd.DROPPED)],
            [InjectedFault(FaultKind.TERM, 2, 1.5, 5.0)],
        ),
    ),
    "quota": (Rule.QUOTA, Record(runs=[run_of() for _ in range(60)], quotas={"wide": (5.0, 5.0)})),
    "invalid": (Rule.CONFIGURATION, Record(changes=[Change(2, 1, False, 1.0, [200])])),
    "both": (
        Rule.CONFIGURATION,
        Record(changes=[Change(2, 1, True, 1.0, [200]), Change(3, 1, True, 1.0, [200])]),
    ),
    "older": (Rule.CONFIGURATION, Record(changes=[Change(2, 1, True, 1.0, [0, 200])], calm=[calm()])),
    "held": (Rule.LEAKED, Record(calm=[calm(requests_pending=1.0)])),
    "files": (Rule.LEAKED, Record(calm=[calm(descriptors=900)])),
    "silent": (Rule.LEAKED, Record(calm=[IdleState(2, {}, 1, 30)])),
    "crash": (Rule.EXITS, Record(exits=[Exit(2, 3.0, 1, False)])),
    "overdue": (Rule.EXITS, Record(exits=[Exit(2, 9.0, -9, True, True)])),
}


@pytest.mark.parametrize("name", BREACHES)
def test_judge_finds_each_breach(name: str) -> None:
    rule, record = BREACHES[name]
    assert {found.rule for found in judge(record)} == {rule}


@pytest.mark.parametrize("record", [
    Record([request(left_at=1.5)], [run_of(ended=1.6, end=RunEnd.DROPPED, closed_at=1.6)]),
    Record([request(left_at=1.5)], [run_of(closed_at=1.6)]),  # it works on, but was told
    Record([request(Route.ORDER, 1.5)], [run_of()]),  # an order runs to its end
    Record([request(left_at=1.5, leave=Disconnect.SILENCE)], [run_of()]),  # it is still connected
    Record([request(left_at=1.5)], [run_of()], [InjectedFault(FaultKind.STOP, 2, 1.4, 4.0)]),
    Record([request(left_at=1.5)], [run_of()], stalls=[(1.4, 4.0)]),  # the soak itself stood still
    Record([request(cut_at=2.0)], [run_of(end=RunEnd.DROPPED)], [InjectedFault(FaultKind.KILL, 2, 2.0, 3.0)]),
    Record([request(cut_at=6.0)], [run_of(end=RunEnd.DROPPED)], [InjectedFault(FaultKind.TERM, 2, 0.9, 7.0)]),
    Record([request(Route.ORDER, answers=[answer(503)])], [run_of(end=RunEnd.DECLINED)]),
    Record([request(Route.ORDER, answers=[answer(502)])], [run_of(end=RunEnd.BROKEN)]),
    Record(changes=[Change(2, 1, True, 1.0, [200]), Change(3, 1, True, 1.0, [412])], calm=[calm(2)]),
    Record(exits=[Exit(2, 9.0, 0, True), Exit(2, 9.0, -9, True, True)],
           struck=[InjectedFault(FaultKind.STOP, 2, 3.0, 8.0)]),
])  # fmt: skip
def test_judge_accepts_what_keeps_the_rules(record: Record) -> None:
    assert not judge(record)


# A program that handles SIGHUP a while after its start, and ends with 7 for the first one that it gets.
HANDLES_LATE = "import signal, time; time.sleep(0.5); signal.signal(1, lambda *_: exit(7)); time.sleep(20)"
HANDLES_NEVER = "import time; time.sleep(20)"


@pytest.mark.parametrize(("program", "code"), [(HANDLES_LATE, 7), (HANDLES_NEVER, -signal.SIGHUP)])
def test_a_process_gets_sighup_once_its_program_takes_it_or_in_the_end(program: str, code: int) -> None:
    async def test() -> None:
        member = Member("g0", "gateway", [sys.executable, "-c", program], dict(os.environ))
        gateway_cluster: Any = SimpleNamespace(gateways=[member])
        await member.start()
        exits = list[Exit]()
        life = Life(gateway_cluster, 0, exits, asyncio.get_running_loop().time)
        await life.hang_up()
        while not exits:
            await asyncio.sleep(0.01)
        life.closing = True
        life.watching.cancel()
        assert [(ended.code, ended.wanted) for ended in exits] == [(code, False)]

    run(test)


def test_an_end_by_sighup_is_held_against_a_gateway_also_just_after_a_restart() -> None:
    restarted, hangup = Exit(2, 3.0, 0, True), InjectedFault(FaultKind.HUP, 2, 3.5, 3.5)
    findings = judge(Record(exits=[restarted, Exit(2, 3.6, -signal.SIGHUP, False)], struck=[hangup]))
    assert [(finding.rule, finding.gateway, finding.at) for finding in findings] == [(Rule.EXITS, 2, 3.6)]


def test_shrinking_keeps_what_breaks_a_rule() -> None:
    schedule = generate(3, 40.0)
    culprit = schedule.troubles[len(schedule.troubles) // 2]
    client = schedule.actions[0].client

    def still_breaks(smaller: Schedule) -> bool:
        clients = {action.client for action in smaller.actions}
        return culprit in smaller.troubles and client in clients

    found = shrink(schedule, still_breaks, max_runs=40)
    assert culprit in found.troubles and len(found.troubles) <= len(schedule.troubles) / 4
    assert len(found.actions) <= len(schedule.actions) / 4


@pytest.mark.parametrize("name", FENCES)
def test_every_fence_finds_its_lines(tmp_path: Path, name: str) -> None:
    environ = cut_copy(name, tmp_path)
    assert environ["PYTHONPATH"] == str(tmp_path) and (tmp_path / "embersill" / "edge").is_dir()
