"""`python -m embersill.lab`: a small deployment on loopback with live figures; commands without sockets."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from typing import Any

import uvloop
from rich.console import Console
from rich.live import Live
from rich.table import Table

from embersill.lab import commands, faults
from embersill.lab.edge import (
    control_command,
    days,
    plots,
    quota_walk,
    sites,
    soak_command,
    totals,
    town_command,
)
from embersill.lab.fuzzing import command as fuzzing
from embersill.rig.deployment import Deployment, Shape, run_with_faults

REFRESH_INTERVAL_S = 0.5  # of the displayed figures
RULES = (
    "answers_none",
    "answers_two",
    "answers_wrong",
    "unsafe_twice",
    "keyed_twice",
    "refused_after_run",
    "late_drain_sends",
    "ceiling_over_slack",
)


def status_table(deployment: Deployment, began: float, before: dict[str, float]) -> Table:
    """A table of the processes, the clients' results so far, and violated rules."""
    audit = deployment.audit
    figures, elapsed_s = audit.figures(), time.monotonic() - began
    table = Table(title=f"embersill lab, {elapsed_s:.0f} s", title_justify="left")
    for column in ("process", "role", "state", "cpu s"):
        table.add_column(column, justify="right" if column == "cpu s" else "left")
    for member in deployment.members.values():
        state = "running" if member.running else "down"
        status = member.status
        if member.role == "planner" and status:
            state += f", leads {status['leads']} parts ({status['whole']} whole), {status['open']} open"
        elif member.role == "forwarder" and status:
            held = ", ".join(f"{n or 'nobody'} {c}" for n, c in sorted(status["holders"].items()))
            state += f", obeys {held}; decided here {status['local']}"
        table.add_row(member.name, member.role, state, f"{member.earlier_cpu_s + member.cpu_seconds():.1f}")
    rate = (figures["tries"] - before.get("tries", 0.0)) / max(elapsed_s - before.get("passed", 0.0), 0.1)
    before.update(tries=figures["tries"], passed=elapsed_s)
    violations = {rule: int(figures[rule]) for rule in RULES if figures[rule]}
    table.caption = (
        f"{rate:.0f} tries/s; {figures['tries']:.0f} asked, {figures['served']:.0f} served, "
        f"{figures['refused']:.0f} refused, {figures['failed']:.0f} failed; "
        f"median {figures['median_ms']} ms, p99 {figures['p99_ms']} ms; rules broken: {violations or 'none'}"
    )
    table.caption_justify = "left"
    return table


async def run_deployment(options: argparse.Namespace) -> dict[str, Any]:
    """Runs a deployment as processes and displays its figures; returns the final figures."""
    front_count = options.gateways or options.forwarders
    deployment = Deployment(
        Shape(
            fronts=front_count,
            planners=0 if options.gateways else options.planners,
            backends=options.backends,
            rate=options.rate,
            seed=options.seed,
            customers=options.customers,
        )
    )
    run_task = asyncio.create_task(
        run_with_faults(
            deployment,
            options.seconds,
            planner_fault_every=options.trouble_every,
            drain_every=options.drain_every,
            restart_front_every=options.restart_front_every,
        )
    )
    began, before = time.monotonic(), dict[str, float]()
    console = Console(stderr=not sys.stdout.isatty())
    with Live(console=console, auto_refresh=False, transient=False) as live:
        while not run_task.done():
            await asyncio.wait([run_task], timeout=REFRESH_INTERVAL_S)
            if console.is_terminal and deployment.members:
                live.update(status_table(deployment, began, before), refresh=True)
    if not console.is_terminal:
        console.print(status_table(deployment, began, before))
    for line in deployment.logs():
        print(line, file=sys.stderr)
    return await run_task


def read_arguments() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(prog="python -m embersill.lab", description=__doc__)
    parser.set_defaults(what="run")
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of traffic")
    parser.add_argument("--forwarders", type=int, default=5)
    parser.add_argument("--planners", type=int, default=2)
    parser.add_argument(
        "--gateways", type=int, default=0, help="one level with this many gateways instead of two levels"
    )
    parser.add_argument("--backends", type=int, default=6)
    parser.add_argument("--customers", type=int, default=60)
    parser.add_argument("--rate", type=float, default=200.0, help="attempts a second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--trouble-every",
        type=float,
        default=3.0,
        metavar="S",
        help="kill or pause a planner every S seconds; 0: never",
    )
    parser.add_argument(
        "--drain-every",
        type=float,
        default=2.0,
        metavar="S",
        help="drain or restore a backend every S seconds; 0: never",
    )
    parser.add_argument(
        "--restart-front-every",
        type=float,
        default=0.0,
        metavar="S",
        help="kill and restart a front machine every S seconds; 0: never",
    )
    subparsers = parser.add_subparsers(title="other commands")
    commands.add_to(subparsers)
    fuzzing.add_to(subparsers)
    faults.add_to(subparsers)
    totals.add_to(subparsers)
    quota_walk.add_to(subparsers)
    control_command.add_to(subparsers)
    sites.add_to(subparsers)
    days.add_to(subparsers)
    plots.add_to(subparsers)
    town_command.add_to(subparsers)
    soak_command.add_to(subparsers)
    return parser.parse_args()


def main() -> int:
    """Runs the chosen command; returns its exit status."""
    options = read_arguments()
    if options.what == "fuzz":
        return fuzzing.fuzz(options)
    if options.what in commands.COMMANDS:
        return commands.COMMANDS[options.what](options)
    if options.what in faults.COMMANDS:
        return faults.COMMANDS[options.what](options)
    if options.what == "quotas":
        return quota_walk.main(options)
    if options.what == "totals":
        return totals.main(options)
    if options.what == "site":
        return sites.main(options)
    if options.what == "control":
        return control_command.main(options)
    if options.what == "days":
        return days.main(options)
    if options.what == "lapse-plot":
        return plots.main(options)
    if options.what == "soak":
        return soak_command.main(options)
    if options.what == "town":
        return town_command.main(options)
    result = uvloop.run(run_deployment(options))
    print(json.dumps(result))
    return 1 if result["breaches"] else 0


if __name__ == "__main__":
    sys.exit(main())
