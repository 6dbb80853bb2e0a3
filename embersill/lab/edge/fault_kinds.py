"""All kinds of fault and planned operation that the users' bench supports, with variants, for random days.

The kinds and their fields are those listed by `fleetbench kinds SITE`. Times are in seconds.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

DayEvent = dict[str, Any]  # as in a day's file: `kind`, `at` in seconds, and the fields of the kind
EARLIEST_S, LATEST_S = 1.0, 28.0  # range in which a fault begins, from the start of traffic
FIRST_START_S = -9.9  # when the machines have just started, from the start of traffic
DURATIONS_S = (1.5, 3.0, 6.0, 12.0, 20.0)


def random_time(chance: random.Random, earliest: float, latest: float) -> float:
    """A random time in seconds from the start of traffic."""
    return round(chance.uniform(earliest, latest), 2)


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of fault or planned operation, and the values its fields may have."""

    name: str
    variants: tuple[str, ...] = ("",)
    planned: bool = False  # an operation by the operators, not a fault
    lasts: bool = True  # has a duration
    fields: DayEvent = field(default_factory=dict)
    strengths: tuple[float, ...] = ()  # values for the field `x`
    contract: str = ""  # supported only by sites with this contract

    def draw(self, chance: random.Random, earliest: float = EARLIEST_S, latest: float = LATEST_S) -> DayEvent:
        """A random fault of this kind at a random time."""
        event: DayEvent = {"kind": self.name, "at": random_time(chance, earliest, latest)}
        event |= self.fields
        how = chance.choice(self.variants)
        if how:
            event["how"] = how
        if self.lasts:
            event["for_s"] = chance.choice(DURATIONS_S)
        if self.strengths:
            event["x"] = chance.choice(self.strengths)
        return event


ONE_CORE_MEMBER = {"on": "core", "count": 1}
PLANNED = (
    Kind("release", planned=True, lasts=False, fields={"share": 0.4, "gap_s": 1.0}, strengths=(1.0, 2.0)),
    Kind("scale_in", ("", "spot", "reclaim"), True, False, {"share": 0.15}, (2.0,)),
    Kind("scale_out", planned=True, lasts=False, fields={"share": 0.3, "gap_s": 3.0}),
    Kind("replace_with_reuse", ("drain",), True, False, {"share": 0.15}),
    Kind("roll_term", ("", "busy", "remove"), True, False, {"share": 0.4, "gap_s": 1.5}, (1.0, 2.0)),
    Kind("replace_core", ("planned", "oldest planned"), True, False, {}, (0.5, 1.0, 2.0)),
    Kind("seed_turnover", planned=True, lasts=False),
    Kind("hup", planned=True, lasts=False, fields={"share": 0.5, "gap_s": 2.0}),
    Kind("config_change", ("route", "weights", "timeout", "tenant", "quota", "topup", "idle"), True, False),
    Kind("config_race", planned=True, lasts=False, fields={"count": 3, "gap_s": 0.8}),
    Kind("big_config", planned=True, lasts=False, fields={"count": 300}),
    Kind("revoke", planned=True, lasts=False, fields={"count": 2, "gap_s": 1.0}),
    Kind(
        "bad_config",
        (
            "cut_short",
            "unknown_service",
            "same_place",
            "no_weight",
            "no_timeout",
            "old_version",
            "same_version",
            "stale_match",
            "shared_key",
        ),
        True,
        False,
        {"count": 2, "gap_s": 0.7},
    ),
)
FAULTS = (
    Kind("hot_tenant", fields={"count": 1}, strengths=(6.0, 10.0)),
    Kind("srv_crash", ("", "dark", "gone", "domain", "across dark"), fields={"share": 0.15}),
    Kind("answer_lost", ("", "reset"), fields={"share": 0.5}, strengths=(0.03, 0.06)),
    Kind(
        "garble", ("", "extra", "extra late", "unframed", "early"), fields={"share": 0.5}, strengths=(0.03,)
    ),
    Kind("node_kill", ("", "power"), fields={"share": 0.2}),
    Kind(
        "node_kill",
        (
            "leader",
            "leader race drain",
            "meet drain",
            "seed",
            "leader hard",
            "giver",
            "reader",
            "turn race",
            "power leader drain",
        ),
        fields=ONE_CORE_MEMBER,
    ),
    Kind("herd_kill", ("", "power"), fields={"share": 0.6}),
    Kind("herd_kill", ("", "off", "taken"), fields={"on": "core", "share": 1.0}),
    Kind("herd_kill", ("meet drain", "race"), fields={"on": "core", "share": 0.4}),
    Kind("replace_core", ("", "oldest", "leader"), lasts=False, strengths=(0.5, 1.0, 2.0)),
    Kind("after_ack_kill", ("", "kill", "timed", "taken")),
    Kind("after_ack_wipe", ("", "oldest", "timed")),
    Kind(
        "core_cut",
        (
            "",
            "behind",
            "split",
            "all",
            "near",
            "oldest",
            "one_way",
            "seeds",
            "both",
            "lure",
            "relieve",
            "leader race",
            "leader meet",
            "oldest drain",
            "reset",
            "refuse",
            "giver drain",
            "reader",
            "turn race",
            "split race",
        ),
        fields={"count": 1},
    ),
    Kind("node_cut", ("", "all", "servers", "all reset", "refuse", "servers reset"), fields={"share": 0.2}),
    Kind("burst", strengths=(1.5, 2.0)),
    Kind("retry_abuse", fields={"share": 0.3}, strengths=(2.0, 4.0)),
    Kind("give_up", fields={"share": 0.4}),
    Kind("srv_slow", fields={"share": 0.2}, strengths=(3.0, 6.0)),
    Kind("srv_grey", fields={"share": 0.15}, contract="health"),
    Kind("srv_lying_health", fields={"share": 0.2}, contract="health"),
    Kind("srv_flap", fields={"share": 0.15}, contract="health"),
    Kind("replace_with_reuse", ("", "dark"), lasts=False, fields={"share": 0.15}),
    Kind("idle_race", fields={"share": 0.5}, contract="pool"),
    Kind("node_freeze", fields={"share": 0.2}),
    Kind("node_freeze", fields=ONE_CORE_MEMBER),
    Kind("node_slow", fields={"share": 0.2}, strengths=(4.0,)),
    Kind("disk_slow", fields={"count": 1}, strengths=(30.0,)),
    Kind("disk_full", fields={"count": 1}),
    Kind("disk_stall", fields={"count": 1}),
    Kind("clock_step", ("", "back", "ahead"), fields={"share": 0.5}, strengths=(2000.0,)),
    Kind("reset_conns", fields={"share": 0.3}, strengths=(0.5, 1.0)),
    Kind("reset_conns", fields={**ONE_CORE_MEMBER}, strengths=(1.0,)),
    Kind("ack_lost", strengths=(0.5, 0.8)),
)


def supported_kinds(kinds: Collection[Kind], contracts: Collection[str]) -> list[Kind]:
    """The kinds that a site with these contracts supports."""
    return [kind for kind in kinds if not kind.contract or kind.contract in contracts]
