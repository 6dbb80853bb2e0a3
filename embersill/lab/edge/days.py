"""Days of trouble drawn from a seed, for whoever plays whole deployments: the control side's five points, and
any kinds of trouble at any moments.

`python -m embersill.lab days SITE --point membership --seed 3` reads a site file (TOML) and prints a day
(TOML) with that site's own traffic and troubles of the point, at drawn moments.
"""

from __future__ import annotations

import argparse
import random
import sys
import tomllib
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any

import tomli_w

from embersill.lab.edge.troubles import (
    EARLIEST,
    FAULTS,
    FIRST_START,
    LATEST,
    PLANNED,
    Trouble,
    known,
    moment,
)

Troubles = tuple[list[Trouble], list[Trouble]]  # planned work, and faults
TEMPLATE = "trouble"  # the slot of the day whose traffic and marks are taken
CUTS = (
    "leader",
    "oldest",
    "lure",
    "both",
    "seeds",
    "one_way",
    "all",
    "near",
    "leader meet",
    "leader race",
    "oldest drain",
    "",
)
CHANGES = ("route", "weights", "timeout", "tenant", "quota", "idle")
CLOSINGS: tuple[Trouble, ...] = (
    {"kind": "power_off_all", "down_s": 1.6},
    {"kind": "kill_all", "down_s": 1.4},
    {"kind": "wipe_after_ack", "down_s": 2.0, "how": "oldest"},
    {"kind": "wipe_after_ack", "down_s": 2.0, "how": "timed"},
    {"kind": "wipe_after_ack", "down_s": 2.0},
)

STARTING_KINDS = (
    "node_kill",
    "herd_kill",
    "replace_core",
    "core_cut",
    "node_cut",
    "node_freeze",
    "node_slow",
    "disk_slow",
    "disk_full",
    "disk_stall",
    "reset_conns",
    "ack_lost",
)


def changes(chance: random.Random, count: int, latest: float = 26.0) -> list[Trouble]:
    """Changes of the configuration spread over the day."""
    return [
        {"kind": "config_change", "at": moment(chance, 1.0, latest), "how": chance.choice(CHANGES)}
        for _ in range(count)
    ]


def cut_off(chance: random.Random) -> Troubles:
    """Members cut off for up to twenty seconds, with orders and leaving backends meanwhile."""
    at = moment(chance, 3.0, 8.0)
    faults: list[Trouble] = [
        {
            "kind": "core_cut",
            "at": at,
            "for_s": chance.choice((6.0, 12.0, 20.0)),
            "count": 1,
            "how": chance.choice(CUTS),
        }
    ]
    if chance.random() < 0.4:
        faults.append(
            {
                "kind": "node_cut",
                "at": moment(chance, 3.0, 20.0),
                "for_s": 6.0,
                "share": 0.2,
                "how": chance.choice(("all", "servers", "")),
            }
        )
    if chance.random() < 0.3:
        faults.append({"kind": "ack_lost", "at": at, "for_s": 15.0, "x": 0.6})
    plan = [
        *changes(chance, 5),
        {"kind": "scale_in", "at": at + 3.0, "share": 0.13},
        {"kind": "config_race", "at": at + moment(chance, 0.5, 9.0), "count": 2, "gap_s": 1.5},
    ]
    return plan, faults


def orders(chance: random.Random) -> Troubles:
    """Orders that race, whose answers are lost, at members that die or are cut off."""
    faults: list[Trouble] = [
        {
            "kind": "ack_lost",
            "at": moment(chance, 1.0, 4.0),
            "for_s": 20.0,
            "x": chance.choice((0.4, 0.7, 0.9)),
        }
    ]
    kinds: tuple[Trouble, ...] = (
        {"kind": "node_kill", "on": "core", "count": 1, "how": "leader race drain"},
        {"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": "meet drain"},
        {"kind": "core_cut", "for_s": 4.0, "how": "leader race"},
        {"kind": "herd_kill", "on": "core", "share": 1.0},
        {"kind": "after_ack_kill", "for_s": 2.0, "how": "timed"},
        {"kind": "node_freeze", "share": 0.3, "for_s": 3.0},
        {"kind": "clock_step", "share": 0.5, "for_s": 5.0, "how": "back"},
        {"kind": "disk_slow", "count": 1, "for_s": 6.0},
        {"kind": "disk_stall", "count": 1, "for_s": 4.0},
    )
    faults += [{**chance.choice(kinds), "at": moment(chance, 2.0, 22.0)} for _ in range(3)]
    plan: list[Trouble] = [
        {"kind": "config_race", "at": moment(chance, 2.0, 20.0), "count": 4, "gap_s": 0.8} for _ in range(3)
    ]
    return [*plan, *changes(chance, 6), {"kind": "bad_config", "at": 12.0, "count": 2, "gap_s": 1.0}], faults


def membership(chance: random.Random) -> Troubles:
    """A member is replaced, and another is lost as soon as that is allowed; twice."""
    at = moment(chance, 2.0, 6.0)
    after = moment(chance, 4.0, 7.0)
    second = chance.choice(("after_ack_wipe", "after_ack_kill"))
    how = chance.choice(("oldest", "planned", "leader", ""))
    faults: list[Trouble] = [
        {"kind": second, "at": at + after, "for_s": 3.0, "how": chance.choice(("oldest", "", "timed"))},
        {"kind": "after_ack_wipe", "at": at + 2 * after + 3.0, "for_s": 3.0, "how": "oldest"},
    ]
    replaced: list[Trouble] = [
        {"kind": "replace_core", "at": at, "x": chance.choice((0.5, 1.0, 2.0)), "how": how},
        {"kind": "replace_core", "at": at + after + 6.0, "x": 1.0, "how": "oldest"},
    ]
    plan = [one for one in replaced if "planned" in one["how"]]
    faults += [one for one in replaced if one not in plan]
    return [
        *plan,
        *changes(chance, 4),
        {"kind": "config_change", "at": at + after + 0.1, "how": "route"},
    ], faults


def catching_up(chance: random.Random) -> Troubles:
    """Some 140 changes, with members down for five seconds, wiped or replaced among them."""
    faults: list[Trouble] = [
        {
            "kind": "node_kill",
            "on": "core",
            "count": 1,
            "for_s": 5.0,
            "at": moment(chance, 5.0, 9.0),
            "how": "power",
        },
        {
            "kind": chance.choice(("after_ack_wipe", "after_ack_kill")),
            "at": moment(chance, 16.0, 22.0),
            "for_s": 5.0,
            "how": "oldest",
        },
    ]
    if chance.random() < 0.5:
        faults.append({"kind": "disk_full", "at": moment(chance, 2.0, 20.0), "for_s": 5.0, "count": 1})
    return [*changes(chance, 140), {"kind": "big_config", "at": 8.0, "count": 350}], faults


def answers(chance: random.Random) -> Troubles:
    """Connections that are reset, silent, late or spoilt, at backends, gateways and the core."""
    kinds: tuple[Trouble, ...] = (
        {"kind": "reset_conns", "share": 0.5, "x": 0.6, "for_s": 4.0},
        {"kind": "answer_lost", "how": "reset", "share": 0.5, "x": 0.06, "for_s": 6.0},
        {"kind": "answer_lost", "share": 0.5, "x": 0.06, "for_s": 6.0},
        {"kind": "garble", "how": "extra late", "share": 0.6, "x": 0.04, "for_s": 6.0},
        {"kind": "garble", "how": "unframed", "share": 0.6, "x": 0.04, "for_s": 6.0},
        {"kind": "garble", "how": "early", "share": 0.6, "x": 0.04, "for_s": 6.0},
        {"kind": "srv_slow", "share": 0.3, "x": 6.0, "for_s": 5.0},
        {"kind": "node_freeze", "share": 0.3, "for_s": 3.0},
        {"kind": "srv_crash", "share": 0.2, "for_s": 4.0, "how": "dark"},
        {"kind": "give_up", "share": 0.3, "for_s": 6.0},
        {"kind": "retry_abuse", "share": 0.2, "x": 2.0, "for_s": 6.0},
        {"kind": "node_kill", "share": 0.2, "for_s": 2.0},
    )
    faults = [{**chance.choice(kinds), "at": moment(chance, 2.0, 22.0)} for _ in range(5)]
    plan: list[Trouble] = [
        {"kind": "roll_term", "at": moment(chance, 3.0, 15.0), "how": "busy", "gap_s": 1.0},
        {"kind": "hup", "at": 9.0, "share": 0.5, "gap_s": 2.0},
    ]
    return [*plan, *changes(chance, 2)], faults


def anything(chance: random.Random, contracts: Collection[str]) -> Troubles:
    """Any kinds of trouble at any moments, some of them twice; `contracts`: those of the site."""
    kinds, planned = known(FAULTS, contracts), known(PLANNED, contracts)
    faults = [chance.choice(kinds).draw(chance) for _ in range(chance.randrange(3, 7))]
    plan = [chance.choice(planned).draw(chance) for _ in range(chance.randrange(2, 6))]
    again = chance.choice(faults)
    faults.append({**again, "at": moment(chance, EARLIEST, LATEST)})
    return [*plan, *changes(chance, 3)], faults


def first_start(chance: random.Random) -> Troubles:
    """Losses while the machines start and the first configuration is brought, and some more in the day."""
    early = [kind for kind in FAULTS if kind.name in STARTING_KINDS]
    faults = [chance.choice(early).draw(chance, FIRST_START, EARLIEST) for _ in range(chance.randrange(1, 4))]
    faults += [chance.choice(early).draw(chance) for _ in range(2)]
    return changes(chance, 5), faults


ANYTHING = "anything"
POINTS: dict[str, Callable[[random.Random], Troubles]] = {
    "cut_off": cut_off,
    "orders": orders,
    "membership": membership,
    "catching_up": catching_up,
    "answers": answers,
    "first_start": first_start,
}


def day(site: dict[str, Any], point: str, seed: int) -> dict[str, Any]:
    """One day for a site, as read from its file."""
    chance = random.Random(f"{point} {seed}")
    template = next(one for one in site["day"] if one["slot"] == TEMPLATE)
    if point == ANYTHING:
        plan, faults = anything(chance, site["contracts"])
    else:
        plan, faults = POINTS[point](chance)
    made = {name: value for name, value in template.items() if name not in ("closing", "labels")}
    made |= {
        "name": f"{point}-{seed}",
        "seed": chance.getrandbits(28),
        "labels": [],
        "plan": plan,
        "faults": faults,
    }
    if chance.random() < 0.6:
        made["closing"] = chance.choice(CLOSINGS)
    return made


def add_to(subparsers: Any) -> None:
    """The command's options."""
    parser = subparsers.add_parser("days", help="draw a day of trouble for a site")
    parser.set_defaults(what="days")
    parser.add_argument("site", type=Path, help="the site's file")
    parser.add_argument("--point", choices=[ANYTHING, *sorted(POINTS)], default="membership")
    parser.add_argument("--seed", type=int, default=1)


def main(options: argparse.Namespace) -> int:
    """Prints a day."""
    site = tomllib.loads(options.site.read_text())
    sys.stdout.write(tomli_w.dumps({"day": [day(site, options.point, options.seed)]}))
    return 0
