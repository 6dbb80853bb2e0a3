"""`python -m embersill.lab faults FILE`: runs a fault scenario on processes and displays its state."""

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
from embersill.rig.scenario_run import RULES, ScenarioRun, office_holders, scenario_text, shape_of
from embersill.rig.scenarios import InvalidScenario, Scenario, read_scenario

REFRESH_INTERVAL_S = 0.25  # of the displayed state


def status_table(scenario_run: ScenarioRun, began: float) -> Table:
    """A table of the processes, office_holders offices, active faults, and violated rules."""
    deployment = scenario_run.deployment
    figures = deployment.audit.figures()
    title = f"{scenario_run.scenario.name or 'scenario'}, {time.monotonic() - began:.0f} s"
    table = Table(title=title, title_justify="left")
    for column in ("process", "role", "state"):
        table.add_column(column)
    for member in list(deployment.members.values()):
        state = "down" if not member.running else "stopped" if member.suspended else "running"
        if member.role == "planner" and member.status:
            state += f", leads {member.status['leads']} parts ({member.status['whole']} whole)"
        table.add_row(member.name, member.role, state)
    for office, holder in sorted(office_holders(deployment).items()):
        table.add_row(office, "office", holder)
    for fault in scenario_run.active_faults:
        table.add_row("", "fault", fault.describe())
    violations = {rule: int(figures[rule]) for rule in RULES if figures[rule]}
    asked, served, refused, failed = (int(figures[k]) for k in ("tries", "served", "refused", "failed"))
    table.caption = (
        f"{asked} asked, {served} served, {refused} refused, {failed} failed; "
        f"rules broken: {violations or 'none'}"
    )
    table.caption_justify = "left"
    return table


async def run(scenario: Scenario) -> tuple[ScenarioRun, dict[str, Any]]:
    """Runs a scenario and displays its state; returns the run and its final figures."""
    scenario_run = ScenarioRun(scenario, Deployment(shape_of(scenario)))
    run_task = asyncio.create_task(scenario_run.run())
    began, console = time.monotonic(), Console(stderr=True)
    with Live(console=console, auto_refresh=False, transient=False) as live:
        while not run_task.done():
            await asyncio.wait([run_task], timeout=REFRESH_INTERVAL_S)
            if console.is_terminal:
                live.update(status_table(scenario_run, began), refresh=True)
    if not console.is_terminal:
        console.print(status_table(scenario_run, began))
    for line in scenario_run.deployment.logs():
        print(line, file=sys.stderr)
    return scenario_run, await run_task


def command(options: argparse.Namespace) -> int:
    """Exit status 0: no rule violated; 1: a violation, with the file that replays it; 2: invalid scenario."""
    try:
        scenario = read_scenario(Path(options.file).read_text(encoding="utf-8"))
        if options.seed is not None:
            scenario = msgspec.structs.replace(scenario, seed=options.seed)
        scenario_run, result = uvloop.run(run(scenario))
    except (OSError, UnicodeDecodeError, InvalidScenario) as error:
        print(f"{options.file}: {error}", file=sys.stderr)
        return 2
    failed = bool(result["breaches"] or result["bad_ends"])
    if failed or options.keep:
        saved_path = Path(options.keep or f"found/{Path(options.file).stem}-{scenario.seed}.toml")
        saved_path.parent.mkdir(parents=True, exist_ok=True)
        saved_path.write_text(scenario_text(scenario, scenario_run.faults))
        result["kept"] = str(saved_path)
    print(json.dumps(result))
    return 1 if failed else 0


def add_to(subparsers: Any) -> None:
    """Adds the command and its options."""
    parser = subparsers.add_parser("faults", help="run a scenario of faults between processes, from a file")
    parser.set_defaults(what="faults")
    parser.add_argument("file", help="TOML file; embersill/rig/scenarios.py documents the format")
    parser.add_argument("--seed", type=int, default=None, help="overrides the seed in the file")
    parser.add_argument(
        "--keep", default="", metavar="FILE", help="write the run scenario to a file, failing or not"
    )


COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {"faults": command}
