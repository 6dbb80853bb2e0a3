"""Generates random days of faults for the bench that runs whole deployments.

A day tests one of the points of the control plane, or mixes any kinds of fault at any time.
`python -m embersill.lab days SITE --point membership --seed 3` reads a site file (TOML) and prints a day
(TOML) with that site's own traffic and the point's faults at random times.
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

from embersill.lab.edge.fault_kinds import (
    EARLIEST_S,
    FAULTS,
    FIRST_START_S,
    LATEST_S,
    PLANNED,
    DayEvent,
    random_time,
    supported_kinds,
)

PlanAndFaults = tuple[list[DayEvent], list[DayEvent]]  # planned operations, faults
TEMPLATE_SLOT = "trouble"  # the day in this slot provides the traffic and labels
CORE_CUT_VARIANTS = (
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
CONFIG_CHANGE_VARIANTS = ("route", "weights", "timeout", "tenant", "quota", "idle")
CLOSINGS: tuple[DayEvent, ...] = (
    {"kind": "power_off_all", "down_s": 1.6},
    {"kind": "kill_all", "down_s": 1.4},
    {"kind": "wipe_after_ack", "down_s": 2.0, "how": "oldest"},
    {"kind": "wipe_after_ack", "down_s": 2.0, "how": "timed"},
    {"kind": "wipe_after_ack", "down_s": 2.0},
)

FIRST_START_KINDS = (
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


def changes(chance: random.Random, count: int, latest: float = 26.0) -> list[DayEvent]:
    """Configuration changes at random times of the day."""
    return [
        {
            "kind": "config_change",
            "at": random_time(chance, 1.0, latest),
            "how": chance.choice(CONFIG_CHANGE_VARIANTS),
        }
        for _ in range(count)
    ]


def cut_off(chance: random.Random) -> PlanAndFaults:
    """Isolates members for up to 20 s, with configuration changes and leaving backends in that time."""
    at = random_time(chance, 3.0, 8.0)
    faults: list[DayEvent] = [
        {
            "kind": "core_cut",
            "at": at,
            "for_s": chance.choice((6.0, 12.0, 20.0)),
            "count": 1,
            "how": chance.choice(CORE_CUT_VARIANTS),
        }
    ]
    if chance.random() < 0.4:
        faults.append(
            {
                "kind": "node_cut",
                "at": random_time(chance, 3.0, 20.0),
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
        {"kind": "config_race", "at": at + random_time(chance, 0.5, 9.0), "count": 2, "gap_s": 1.5},
    ]
    return plan, faults


def orders(chance: random.Random) -> PlanAndFaults:
    """Racing configuration changes with lost answers, at members that are killed or isolated."""
    faults: list[DayEvent] = [
        {
            "kind": "ack_lost",
            "at": random_time(chance, 1.0, 4.0),
            "for_s": 20.0,
            "x": chance.choice((0.4, 0.7, 0.9)),
        }
    ]
    kinds: tuple[DayEvent, ...] = (
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
    faults += [{**chance.choice(kinds), "at": random_time(chance, 2.0, 22.0)} for _ in range(3)]
    plan: list[DayEvent] = [
        {"kind": "config_race", "at": random_time(chance, 2.0, 20.0), "count": 4, "gap_s": 0.8}
        for _ in range(3)
    ]
    return [*plan, *changes(chance, 6), {"kind": "bad_config", "at": 12.0, "count": 2, "gap_s": 1.0}], faults


def membership(chance: random.Random) -> PlanAndFaults:
    """Replaces a member and loses another as soon as that has to be tolerated; twice."""
    at = random_time(chance, 2.0, 6.0)
    second_loss_delay = random_time(chance, 4.0, 7.0)
    second_kind = chance.choice(("after_ack_wipe", "after_ack_kill"))
    how = chance.choice(("oldest", "planned", "leader", ""))
    faults: list[DayEvent] = [
        {
            "kind": second_kind,
            "at": at + second_loss_delay,
            "for_s": 3.0,
            "how": chance.choice(("oldest", "", "timed")),
        },
        {"kind": "after_ack_wipe", "at": at + 2 * second_loss_delay + 3.0, "for_s": 3.0, "how": "oldest"},
    ]
    replacements: list[DayEvent] = [
        {"kind": "replace_core", "at": at, "x": chance.choice((0.5, 1.0, 2.0)), "how": how},
        {"kind": "replace_core", "at": at + second_loss_delay + 6.0, "x": 1.0, "how": "oldest"},
    ]
    plan = [replacement for replacement in replacements if "planned" in replacement["how"]]
    faults += [replacement for replacement in replacements if replacement not in plan]
    return [
        *plan,
        *changes(chance, 4),
        {"kind": "config_change", "at": at + second_loss_delay + 0.1, "how": "route"},
    ], faults


def catching_up(chance: random.Random) -> PlanAndFaults:
    """Some 140 changes while members are down for five seconds, wiped or have a full disk."""
    faults: list[DayEvent] = [
        {
            "kind": "node_kill",
            "on": "core",
            "count": 1,
            "for_s": 5.0,
            "at": random_time(chance, 5.0, 9.0),
            "how": "power",
        },
        {
            "kind": chance.choice(("after_ack_wipe", "after_ack_kill")),
            "at": random_time(chance, 16.0, 22.0),
            "for_s": 5.0,
            "how": "oldest",
        },
    ]
    if chance.random() < 0.5:
        faults.append({"kind": "disk_full", "at": random_time(chance, 2.0, 20.0), "for_s": 5.0, "count": 1})
    return [*changes(chance, 140), {"kind": "big_config", "at": 8.0, "count": 350}], faults


def answers(chance: random.Random) -> PlanAndFaults:
    """Connections that are reset, silent, late or corrupted, at backends, gateways and the core."""
    kinds: tuple[DayEvent, ...] = (
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
    faults = [{**chance.choice(kinds), "at": random_time(chance, 2.0, 22.0)} for _ in range(5)]
    plan: list[DayEvent] = [
        {"kind": "roll_term", "at": random_time(chance, 3.0, 15.0), "how": "busy", "gap_s": 1.0},
        {"kind": "hup", "at": 9.0, "share": 0.5, "gap_s": 2.0},
    ]
    return [*plan, *changes(chance, 2)], faults


def anything(chance: random.Random, contracts: Collection[str]) -> PlanAndFaults:
    """Any kinds of fault at any time, one of them twice; `contracts`: those of the site."""
    kinds, planned = supported_kinds(FAULTS, contracts), supported_kinds(PLANNED, contracts)
    faults = [chance.choice(kinds).draw(chance) for _ in range(chance.randrange(3, 7))]
    plan = [chance.choice(planned).draw(chance) for _ in range(chance.randrange(2, 6))]
    repeated = chance.choice(faults)
    faults.append({**repeated, "at": random_time(chance, EARLIEST_S, LATEST_S)})
    return [*plan, *changes(chance, 3)], faults


def first_start(chance: random.Random) -> PlanAndFaults:
    """Losses while the machines start and the first configuration is submitted, and a few more later."""
    early = [kind for kind in FAULTS if kind.name in FIRST_START_KINDS]
    faults = [
        chance.choice(early).draw(chance, FIRST_START_S, EARLIEST_S) for _ in range(chance.randrange(1, 4))
    ]
    faults += [chance.choice(early).draw(chance) for _ in range(2)]
    return changes(chance, 5), faults


ANYTHING = "anything"
POINTS: dict[str, Callable[[random.Random], PlanAndFaults]] = {
    "cut_off": cut_off,
    "orders": orders,
    "membership": membership,
    "catching_up": catching_up,
    "answers": answers,
    "first_start": first_start,
}


def day(site: dict[str, Any], point: str, seed: int) -> dict[str, Any]:
    """Generates one day for a site, as read from its file."""
    chance = random.Random(f"{point} {seed}")
    template = next(entry for entry in site["day"] if entry["slot"] == TEMPLATE_SLOT)
    if point == ANYTHING:
        plan, faults = anything(chance, site["contracts"])
    else:
        plan, faults = POINTS[point](chance)
    result = {name: value for name, value in template.items() if name not in ("closing", "labels")}
    result |= {
        "name": f"{point}-{seed}",
        "seed": chance.getrandbits(28),
        "labels": [],
        "plan": plan,
        "faults": faults,
    }
    if chance.random() < 0.6:
        result["closing"] = chance.choice(CLOSINGS)
    return result


def add_to(subparsers: Any) -> None:
    """Adds the command and its options."""
    parser = subparsers.add_parser("days", help="generate a random day of faults for a site")
    parser.set_defaults(what="days")
    parser.add_argument("site", type=Path, help="the site's file")
    parser.add_argument("--point", choices=[ANYTHING, *sorted(POINTS)], default="membership")
    parser.add_argument("--seed", type=int, default=1)


def main(options: argparse.Namespace) -> int:
    """Prints a day as TOML."""
    site = tomllib.loads(options.site.read_text())
    sys.stdout.write(tomli_w.dumps({"day": [day(site, options.point, options.seed)]}))
    return 0
