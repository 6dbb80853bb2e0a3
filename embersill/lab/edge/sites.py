"""Other deployments made of a site's file: more members, whole zones or regions that may be lost.

`python -m embersill.lab site SITE --variant zones` reads a site file (TOML) and prints the variant's (TOML),
for days of trouble that are drawn for it.
"""

from __future__ import annotations

import argparse
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import tomli_w

Site = dict[str, Any]  # as its file has it


def with_members(site: Site, counts: tuple[int, ...], borne: dict[str, int]) -> Site:
    """So many machines that count in each zone, in the file's order; what may be lost of them at once."""
    left = list(counts)
    machines = [
        {**group, "count": left.pop(0)} if group.get("counted") else group for group in site["machines"]
    ]
    return {**site, "machines": machines, "tolerate": {"machines": 0, "zones": 0, "regions": 0, **borne}}


def five(site: Site) -> Site:
    """Five members, of which two may be lost."""
    return with_members(site, (2, 2, 1), {"machines": 2})


def six(site: Site) -> Site:
    """Six members, of which two may be lost."""
    return with_members(site, (2, 2, 2), {"machines": 2})


def zones(site: Site) -> Site:
    """Six members, two in a zone, of which a whole zone may be lost."""
    return with_members(site, (2, 2, 2), {"machines": 1, "zones": 1})


def regions(site: Site) -> Site:
    """Each zone is a region of its own, of which one may be lost."""
    apart = [{**zone, "region": f"region-{number}"} for number, zone in enumerate(site["zones"])]
    return {**with_members(site, (2, 2, 2), {"machines": 1, "regions": 1}), "zones": apart}


VARIANTS: dict[str, Callable[[Site], Site]] = {"five": five, "six": six, "zones": zones, "regions": regions}


def variant(site: Site, name: str) -> Site:
    """A variant of a site that has three zones, each with machines that count."""
    if (
        sum(bool(group.get("counted")) for group in site["machines"]) != len(site["zones"])
        or len(site["zones"]) != 3
    ):
        raise ValueError("the site must have three zones, each with one group of machines that count")
    return {**VARIANTS[name](site), "name": f"{site['name']}-{name}"}


def add_to(subparsers: Any) -> None:
    """The command's options."""
    parser = subparsers.add_parser("site", help="another deployment made of a site's file")
    parser.set_defaults(what="site")
    parser.add_argument("site", type=Path, help="the site's file")
    parser.add_argument("--variant", choices=sorted(VARIANTS), required=True)


def main(options: argparse.Namespace) -> int:
    """Prints the variant's file."""
    made = variant(tomllib.loads(options.site.read_text()), options.variant)
    sys.stdout.write(tomli_w.dumps(made))
    return 0
