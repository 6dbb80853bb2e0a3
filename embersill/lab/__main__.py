"""`python -m embersill.lab`: a small deployment on loopback with live figures, and what needs no sockets."""

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
from embersill.lab.edge import control_command, days, plots, sites, soak_command, totals, trying
from embersill.rig.deployment import Deployment, Shape, run_with_faults
from embersill.lab.fuzzing import command as fuzzing

REFRESH = 0.5  # seconds between looks at the figures
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


def table(deployment: Deployment, began: float, before: dict[str, float]) -> Table:
    """What clients got so far, what rules were broken, and who leads how much."""
    audit = deployment.audit
    figures, passed = audit.figures(), time.monotonic() - began
    shown = Table(title=f"embersill lab, {passed:.0f} s", title_justify="left")
    for column in ("process", "role", "state", "cpu s"):
        shown.add_column(column, justify="right" if column == "cpu s" else "left")
    for member in deployment.members.values():
        state = "running" if member.running else "down"
        status = member.status
        if member.role == "planner" and status:
            state += f", leads {status['leads']} parts ({status['whole']} whole), {status['open']} open"
        elif member.role == "forwarder" and status:
            held = ", ".join(f"{n or 'nobody'} {c}" for n, c in sorted(status["holders"].items()))
            state += f", obeys {held}; decided here {status['local']}"
        shown.add_row(member.name, member.role, state, f"{member.earlier_cpu_s + member.cpu_seconds():.1f}")
    rate = (figures["tries"] - before.get("tries", 0.0)) / max(passed - before.get("passed", 0.0), 0.1)
    before.update(tries=figures["tries"], passed=passed)
    broken = {rule: int(figures[rule]) for rule in RULES if figures[rule]}
    shown.caption = (
        f"{rate:.0f} tries/s; {figures['tries']:.0f} asked, {figures['served']:.0f} served, "
        f"{figures['refused']:.0f} refused, {figures['failed']:.0f} failed; "
        f"median {figures['median_ms']} ms, p99 {figures['p99_ms']} ms; rules broken: {broken or 'none'}"
    )
    shown.caption_justify = "left"
    return shown


async def run_deployment(options: argparse.Namespace) -> dict[str, Any]:
    fronts = options.gateways or options.forwarders
    deployment = Deployment(
        Shape(
            fronts=fronts,
            planners=0 if options.gateways else options.planners,
            backends=options.backends,
            rate=options.rate,
            seed=options.seed,
            customers=options.customers,
        )
    )
    playing = asyncio.create_task(
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
        while not playing.done():
            await asyncio.wait([playing], timeout=REFRESH)
            if console.is_terminal and deployment.members:
                live.update(table(deployment, began, before), refresh=True)
    if not console.is_terminal:
        console.print(table(deployment, began, before))
    for line in deployment.logs():
        print(line, file=sys.stderr)
    return await playing


def read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m embersill.lab", description=__doc__)
    parser.set_defaults(what="run")
    parser.add_argument("--seconds", type=float, default=20.0, help="how long traffic goes on")
    parser.add_argument("--forwarders", type=int, default=5)
    parser.add_argument("--planners", type=int, default=2)
    parser.add_argument("--gateways", type=int, default=0, help="one level of so many gateways instead")
    parser.add_argument("--backends", type=int, default=6)
    parser.add_argument("--customers", type=int, default=60)
    parser.add_argument("--rate", type=float, default=200.0, help="tries a second")
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
        help="drain a backend, or bring it back, every S seconds; 0: never",
    )
    parser.add_argument(
        "--restart-front-every",
        type=float,
        default=0.0,
        metavar="S",
        help="kill and restart a front machine every S seconds; 0: never",
    )
    others = parser.add_subparsers(title="other commands")
    commands.add_to(others)
    fuzzing.add_to(others)
    faults.add_to(others)
    totals.add_to(others)
    control_command.add_to(others)
    sites.add_to(others)
    days.add_to(others)
    plots.add_to(others)
    trying.add_to(others)
    soak_command.add_to(others)
    return parser.parse_args()


def main() -> int:
    options = read_arguments()
    if options.what == "fuzz":
        return fuzzing.fuzz(options)
    if options.what in commands.COMMANDS:
        return commands.COMMANDS[options.what](options)
    if options.what in faults.COMMANDS:
        return faults.COMMANDS[options.what](options)
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
        return trying.main(options)
    told = uvloop.run(run_deployment(options))
    print(json.dumps(told))
    return 1 if told["breaches"] else 0


if __name__ == "__main__":
    sys.exit(main())
