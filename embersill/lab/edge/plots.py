"""A report on a lapsed tenant as a picture: what it was served at each gateway, and what all others met."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

if TYPE_CHECKING:
    from matplotlib.figure import Figure

WIDE, HIGH = 9.0, 7.0  # inches
LEAST = 5  # requests below which a gateway's share is not drawn


def share(counts: dict[str, Any]) -> float:
    """Requests that were served, of those that were asked."""
    return float(counts["served"]) / max(float(counts["asked"]), 1.0)


def read_report(path: Path) -> Result[dict[str, Any], str]:
    """What `lapse report` printed; an error that names the place of what is wrong."""
    try:
        told = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        return Error(f"{path}: {error}")
    if not isinstance(told, dict):
        return Error(f"{path}: not a report")
    for name in ("tenant", "whole", "gateways"):
        if name not in told:
            return Error(f"{path}: no {name}")
    return Ok(told) if told["whole"] else Error(f"{path}: nothing was counted")


def drawn(report: dict[str, Any]) -> Figure:
    """By step: the tenant's share served at each gateway and in all, the others' share and waits."""
    from matplotlib.axes import Axes  # half a second to load, which no other command needs
    from matplotlib.figure import Figure

    steps = list(report["whole"])
    places = range(len(steps))
    figure = Figure((WIDE, HIGH), layout="constrained")
    above, below = figure.subplots(2, 1, sharex=True)
    assert isinstance(above, Axes) and isinstance(below, Axes)
    for name, told in report["gateways"].items():
        known = [
            (place, share(told[step]["tenant"]))
            for place, step in enumerate(steps)
            if step in told and told[step]["tenant"]["asked"] >= LEAST
        ]
        above.plot([place for place, _ in known], [part for _, part in known], "o", alpha=0.6, label=name)
    above.plot(places, [share(report["whole"][step]["tenant"]) for step in steps], "k-", label="all gateways")
    above.set_ylabel(f"share of {report['tenant']}'s requests served")
    above.set_ylim(-0.02, 1.05)
    above.legend(fontsize="x-small", ncols=4, loc="upper right")
    others = [report["whole"][step]["others"] for step in steps]
    below.plot(places, [share(one) for one in others], "o-", label="share served, all others")
    below.plot(
        places,
        [one["wait_p99_s"] if one["wait_p99_s"] is not None else 2.0 for one in others],
        "s--",
        label="seconds waited at p99, all others",
    )
    below.set_ylim(-0.02, 1.05)
    below.set_xticks(list(places), steps)
    below.legend(fontsize="x-small")
    silent = f"; silent: {', '.join(report['silent'])}" if report.get("silent") else ""
    figure.suptitle(f"{report['tenant']}, step by step{silent}")
    return figure


def add_to(subparsers: Any) -> None:
    """`python -m embersill.lab lapse-plot`."""
    parser = subparsers.add_parser("lapse-plot", help="draws what `lapse report` printed")
    parser.set_defaults(what="lapse-plot")
    parser.add_argument("report", type=Path, help="the report, as JSON")
    parser.add_argument("picture", type=Path, help="where to; .svg, .png or .pdf")


def main(arguments: argparse.Namespace) -> int:
    """Draws a report into a picture; 1 where either is unusable."""
    read = read_report(arguments.report)
    if read.is_error():
        print(f"lapse-plot: {read.error}", file=sys.stderr)
        return 1
    try:
        drawn(read.ok).savefig(arguments.picture)
    except (OSError, ValueError) as error:  # no such folder, no such kind of picture
        print(f"lapse-plot: {arguments.picture}: {error}", file=sys.stderr)
        return 1
    return 0
