"""Orders the sites for a rollout: least traffic first, sites with protected traffic last. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NotRequired, TypedDict

from expression import Error, Ok, Result

MAX_SITES = 200


class Site(TypedDict):
    """A part of the system, by zones or gateway names, and the requests per second that it serves."""

    asks: dict[str, float]  # by route, service or tenant, the same kind of name as in `last`
    zones: NotRequired[list[str]]
    gateways: NotRequired[list[str]]
    core: NotRequired[int]  # number of core members there


def validation_error(sites: Mapping[str, Site]) -> str:
    """The first error in the sites; empty if they are valid."""
    if not 0 < len(sites) <= MAX_SITES:
        return f"sites: 1 to {MAX_SITES}"
    owners: dict[tuple[str, str], str] = {}
    for name, site in sites.items():
        places = [("zone", zone) for zone in site.get("zones", [])]
        places += [("gateway", gateway) for gateway in site.get("gateways", [])]
        if not places:
            return f"sites.{name}: neither zones nor gateways"
        for place in places:
            if owners.setdefault(place, name) != name:
                return f"sites.{name}: {place[0]} {place[1]} belongs to {owners[place]}"
        if any(rate < 0 for rate in site["asks"].values()) or site.get("core", 0) < 0:
            return f"sites.{name}: a negative number"
    return ""


def steps_of(
    sites: Mapping[str, Site], last: Collection[str], most_share: float
) -> Result[list[list[str]], str]:
    """The sites of each step, or an error message if there is no such order.

    Sites that serve nothing of `last` go first, beginning with the smallest one alone. Sites that serve some
    of it go after all others, each alone, the one that serves most of it at the very end. No step holds more
    than `most_share` of any kind of request, or half of the core.
    """
    why = validation_error(sites)
    if why:
        return Error(why)
    if not 0 < most_share <= 1:
        return Error("most_share: not above 0 and at most 1")
    kinds = {kind for site in sites.values() for kind in site["asks"]}
    totals = {kind: sum(site["asks"].get(kind, 0.0) for site in sites.values()) for kind in kinds}
    core = sum(site.get("core", 0) for site in sites.values())
    unknown = sorted(set(last) - kinds)
    if unknown:
        return Error(f"last: nobody serves {unknown[0]!r}")

    def marked(name: str) -> float:
        return sum(sites[name]["asks"].get(kind, 0.0) / max(totals[kind], 1e-9) for kind in last)

    def most_of(names: list[str]) -> tuple[float, str]:
        shares = [
            (sum(sites[name]["asks"].get(kind, 0.0) for name in names) / totals[kind], kind)
            for kind in sorted(kinds)
            if totals[kind] > 0
        ]
        return max(shares, default=(0.0, ""))

    def fits(names: list[str]) -> bool:
        members = sum(sites[name].get("core", 0) for name in names)
        return most_of(names)[0] <= most_share and (len(names) == 1 or 2 * members < core or not members)

    for name in sorted(sites):
        if not fits([name]):
            share, kind = most_of([name])
            return Error(f"sites.{name}: it serves {share:.2f} of {kind!r}, more than most_share")
    order = sorted(sites, key=lambda name: (marked(name), sum(sites[name]["asks"].values()), name))
    steps: list[list[str]] = []
    for name in order:
        if len(steps) > 1 and not marked(name) and fits([*steps[-1], name]):
            steps[-1].append(name)
        else:
            steps.append([name])
    return Ok(steps)
