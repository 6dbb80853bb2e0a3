"""`python -m embersill counting bound`: how far quotas can be passed, for a deployment's own figures."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import Any

from embersill.configuration.operator import read_operator
from embersill.configuration.platform import BadConfiguration
from embersill.counting.bound import TROUBLES, table
from embersill.counting.terms import Terms
from embersill.interface import Settings
from embersill.settings import read_settings


def read_gateway_settings(path: str) -> Settings:
    """Reads the settings from a gateway's configuration file, or from a file that holds only them."""
    try:
        content: Any = json.loads(Path(path).read_text(encoding="utf-8"))
        return read_settings(content.get("settings", content))
    except OSError as error:
        raise BadConfiguration(f"{path}: {error.strerror}") from error
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise BadConfiguration(f"{path}: {' '.join(str(error).split())}") from error


def format_table(rows: list[dict[str, float | str]]) -> list[str]:
    """The table as text: a line for each plan and width, a column for each kind of trouble."""
    kinds = list(TROUBLES)
    lines = [f"{'plan':<12} {'width':>5}" + "".join(f" {kind:>9}" for kind in kinds)]
    for key in dict.fromkeys((row["plan"], row["width"]) for row in rows):
        found = {row["trouble"]: row["excess_units"] for row in rows if (row["plan"], row["width"]) == key}
        lines.append(f"{key[0]:<12} {key[1]:>5}" + "".join(f" {found[kind]:>9}" for kind in kinds))
    return [
        "Units that a window may have beyond burst + rate * length, within one epoch of 60 s:",
        "the ordinary ones, and those of each trouble that touches the epoch.",
        "",
        *lines,
        "",
        *(f"{kind:<9} {text}" for kind, text in TROUBLES.items()),
        "",
        "Ceilings are not passed in any of these: each gateway has a fixed part, which no counter moves.",
    ]


def main(arguments: list[str]) -> int:
    """Runs the command; returns its exit status."""
    parser = argparse.ArgumentParser(prog="embersill counting", description=__doc__)
    bound = parser.add_subparsers(required=True, metavar="bound").add_parser(
        "bound", help="units by which a quota can be passed, by plan, width and trouble"
    )
    bound.add_argument("--settings", required=True, metavar="FILE", help="a gateway's RELAY_CONFIG file")
    bound.add_argument("--operator", metavar="FILE", default="", help="operator file with [counting.terms]")
    bound.add_argument("--json", action="store_true", help="a list of objects in place of the table")
    options = parser.parse_args(arguments)
    try:
        terms = Terms()
        if options.operator:
            counting = read_operator(options.operator).counting
            terms = counting.terms if counting is not None else terms
        rows = table(read_gateway_settings(options.settings), terms)
    except BadConfiguration as error:
        print(f"embersill: {error}", file=sys.stderr)
        return 2
    print(json.dumps(rows) if options.json else "\n".join(format_table(rows)))
    return 0
