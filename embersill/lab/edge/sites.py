"""Other deployments derived from a site's file: more members, or whole zones or regions that may be lost.

`python -m embersill.lab site SITE --variant zones` reads a site file (TOML) and prints the variant's (TOML),
for random days of faults.
"""

from __future__ import annotations

import argparse
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import tomli_w

Site = dict[str, Any]  # content of a site file


def with_members(site: Site, counts: tuple[int, ...], tolerated: dict[str, int]) -> Site:
    """Sets the number of core machines of each zone, in the file's order, and the tolerated losses."""
    remaining_counts = list(counts)
    machines = [
        {**group, "count": remaining_counts.pop(0)} if group.get("counted") else group
        for group in site["machines"]
    ]
    return {**site, "machines": machines, "tolerate": {"machines": 0, "zones": 0, "regions": 0, **tolerated}}


def five(site: Site) -> Site:
    """Five core members, of which two may be lost."""
    return with_members(site, (2, 2, 1), {"machines": 2})


def six(site: Site) -> Site:
    """Six core members, of which two may be lost."""
    return with_members(site, (2, 2, 2), {"machines": 2})


def zones(site: Site) -> Site:
    """Six core members, two in each zone; a whole zone may be lost."""
    return with_members(site, (2, 2, 2), {"machines": 1, "zones": 1})


def regions(site: Site) -> Site:
    """As `zones`, but each zone is a region of its own, of which one may be lost."""
    separate_regions = [{**zone, "region": f"region-{number}"} for number, zone in enumerate(site["zones"])]
    return {**with_members(site, (2, 2, 2), {"machines": 1, "regions": 1}), "zones": separate_regions}


VARIANTS: dict[str, Callable[[Site], Site]] = {"five": five, "six": six, "zones": zones, "regions": regions}


def variant(site: Site, name: str) -> Site:
    """A variant of a site, which must have three zones, each with one group of core machines."""
    if (
        sum(bool(group.get("counted")) for group in site["machines"]) != len(site["zones"])
        or len(site["zones"]) != 3
    ):
        raise ValueError("the site must have three zones, each with one group of machines that count")
    return {**VARIANTS[name](site), "name": f"{site['name']}-{name}"}


def add_to(subparsers: Any) -> None:
    """Adds the command and its options."""
    parser = subparsers.add_parser("site", help="derive a variant of a site's file")
    parser.set_defaults(what="site")
    parser.add_argument("site", type=Path, help="the site's file")
    parser.add_argument("--variant", choices=sorted(VARIANTS), required=True)


def main(options: argparse.Namespace) -> int:
    """Prints the variant as TOML."""
    site = variant(tomllib.loads(options.site.read_text()), options.variant)
    sys.stdout.write(tomli_w.dumps(site))
    return 0
