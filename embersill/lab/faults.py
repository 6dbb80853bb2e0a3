"""`python -m embersill.lab faults FILE`: a scenario on processes, with what is cut and who owns what."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop
from rich.console import Console
from rich.live import Live
from rich.table import Table

from embersill.rig.deployment import Deployment
from embersill.rig.playing import RULES, ScenarioRun, office_holders, scenario_text, shape_of
from embersill.rig.scenarios import InvalidScenario, Scenario, read_scenario

REFRESH = 0.25  # seconds between looks


def table(play: ScenarioRun, began: float) -> Table:
    deployment = play.deployment
    figures = deployment.audit.figures()
    title = f"{play.scenario.name or 'scenario'}, {time.monotonic() - began:.0f} s"
    shown = Table(title=title, title_justify="left")
    for column in ("process", "role", "state"):
        shown.add_column(column)
    for member in list(deployment.members.values()):
        state = "down" if not member.running else "stopped" if member.suspended else "running"
        if member.role == "planner" and member.status:
            state += f", leads {member.status['leads']} parts ({member.status['whole']} whole)"
        shown.add_row(member.name, member.role, state)
    for office, holder in sorted(office_holders(deployment).items()):
        shown.add_row(office, "office", holder)
    for fault in play.active_faults:
        shown.add_row("", "fault", fault.describe())
    broken = {rule: int(figures[rule]) for rule in RULES if figures[rule]}
    asked, served, refused, failed = (int(figures[k]) for k in ("tries", "served", "refused", "failed"))
    shown.caption = (
        f"{asked} asked, {served} served, {refused} refused, {failed} failed; "
        f"rules broken: {broken or 'none'}"
    )
    shown.caption_justify = "left"
    return shown


async def run(scenario: Scenario) -> tuple[ScenarioRun, dict[str, Any]]:
    play = ScenarioRun(scenario, Deployment(shape_of(scenario)))
    playing = asyncio.create_task(play.run())
    began, console = time.monotonic(), Console(stderr=True)
    with Live(console=console, auto_refresh=False, transient=False) as live:
        while not playing.done():
            await asyncio.wait([playing], timeout=REFRESH)
            if console.is_terminal:
                live.update(table(play, began), refresh=True)
    if not console.is_terminal:
        console.print(table(play, began))
    for line in play.deployment.logs():
        print(line, file=sys.stderr)
    return play, await playing


def command(options: argparse.Namespace) -> int:
    """Exit code 0: no rule is broken; 1: one is, and the file to play again is named; 2: no scenario."""
    try:
        scenario = read_scenario(Path(options.file).read_text(encoding="utf-8"))
        if options.seed is not None:
            scenario = msgspec.structs.replace(scenario, seed=options.seed)
        play, told = uvloop.run(run(scenario))
    except (OSError, UnicodeDecodeError, InvalidScenario) as error:
        print(f"{options.file}: {error}", file=sys.stderr)
        return 2
    failed = bool(told["breaches"] or told["bad_ends"])
    if failed or options.keep:
        kept = Path(options.keep or f"found/{Path(options.file).stem}-{scenario.seed}.toml")
        kept.parent.mkdir(parents=True, exist_ok=True)
        kept.write_text(scenario_text(scenario, play.faults))
        told["kept"] = str(kept)
    print(json.dumps(told))
    return 1 if failed else 0


def add_to(commands: Any) -> None:
    parser = commands.add_parser("faults", help="plays a scenario of faults between processes, from a file")
    parser.set_defaults(what="faults")
    parser.add_argument("file", help="TOML; embersill/rig/scenarios.py says what may stand in it")
    parser.add_argument("--seed", type=int, default=None, help="in place of the file's")
    parser.add_argument("--keep", default="", metavar="FILE", help="write what was played, failing or not")


COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {"faults": command}
