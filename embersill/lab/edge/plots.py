"""Plots a report on a lapsed tenant: its served share at each gateway, and how all other tenants fared."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

if TYPE_CHECKING:
    from matplotlib.figure import Figure

WIDTH_INCHES, HEIGHT_INCHES = 9.0, 7.0
MIN_REQUESTS = 5  # a gateway's share of fewer requests is not plotted


def served_share(counts: dict[str, Any]) -> float:
    """The fraction of requests that were served."""
    return float(counts["served"]) / max(float(counts["asked"]), 1.0)


def read_report(path: Path) -> Result[dict[str, Any], str]:
    """Reads the output of `lapse report`; an error names what is invalid."""
    try:
        report = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        return Error(f"{path}: {error}")
    if not isinstance(report, dict):
        return Error(f"{path}: not a report")
    for name in ("tenant", "whole", "gateways"):
        if name not in report:
            return Error(f"{path}: no {name}")
    return Ok(report) if report["whole"] else Error(f"{path}: nothing was counted")


def draw(report: dict[str, Any]) -> Figure:
    """Plots the tenant's served share by step, overall and by gateway, and the others' share and p99 wait."""
    from matplotlib.axes import Axes  # takes half a second to import and no other command needs it
    from matplotlib.figure import Figure

    steps = list(report["whole"])
    positions = range(len(steps))
    figure = Figure((WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    above, below = figure.subplots(2, 1, sharex=True)
    assert isinstance(above, Axes) and isinstance(below, Axes)
    for name, by_step in report["gateways"].items():
        points = [
            (position, served_share(by_step[step]["tenant"]))
            for position, step in enumerate(steps)
            if step in by_step and by_step[step]["tenant"]["asked"] >= MIN_REQUESTS
        ]
        above.plot(
            [position for position, _ in points],
            [fraction for _, fraction in points],
            "o",
            alpha=0.6,
            label=name,
        )
    above.plot(
        positions,
        [served_share(report["whole"][step]["tenant"]) for step in steps],
        "k-",
        label="all gateways",
    )
    above.set_ylabel(f"share of {report['tenant']}'s requests served")
    above.set_ylim(-0.02, 1.05)
    above.legend(fontsize="x-small", ncols=4, loc="upper right")
    others = [report["whole"][step]["others"] for step in steps]
    below.plot(positions, [served_share(counts) for counts in others], "o-", label="share served, all others")
    below.plot(
        positions,
        [counts["wait_p99_s"] if counts["wait_p99_s"] is not None else 2.0 for counts in others],
        "s--",
        label="p99 wait in seconds, all others",
    )
    below.set_ylim(-0.02, 1.05)
    below.set_xticks(list(positions), steps)
    below.legend(fontsize="x-small")
    silent = f"; silent: {', '.join(report['silent'])}" if report.get("silent") else ""
    figure.suptitle(f"{report['tenant']}, step by step{silent}")
    return figure


def add_to(subparsers: Any) -> None:
    """`python -m embersill.lab lapse-plot`."""
    parser = subparsers.add_parser("lapse-plot", help="plot the output of `lapse report`")
    parser.set_defaults(what="lapse-plot")
    parser.add_argument("report", type=Path, help="the report, as JSON")
    parser.add_argument("picture", type=Path, help="output file; .svg, .png or .pdf")


def main(arguments: argparse.Namespace) -> int:
    """Plots a report; 1 if the report is invalid or the picture can't be written."""
    parsed = read_report(arguments.report)
    if parsed.is_error():
        print(f"lapse-plot: {parsed.error}", file=sys.stderr)
        return 1
    try:
        draw(parsed.ok).savefig(arguments.picture)
    except (OSError, ValueError) as error:  # missing folder or unsupported format
        print(f"lapse-plot: {arguments.picture}: {error}", file=sys.stderr)
        return 1
    return 0
