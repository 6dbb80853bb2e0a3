"""Who owned what in a deployment with a council: by what receivers took, and what processes said."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from embersill.rig.billing import StandInBilling
from embersill.rig.deployment import Deployment
from embersill.rig.processes import Member

LOOK_EVERY = 0.02


@dataclass(slots=True)
class Claims:
    """What processes say: until when who holds an office, as far as was heard."""

    spans: dict[str, list[tuple[float, float, str]]] = field(default_factory=dict)  # from, until, whose
    killed: list[tuple[float, str]] = field(default_factory=list)  # when, who

    def heard(self, member: Member) -> None:
        now = asyncio.get_running_loop().time()
        for office in member.status.get("offices", ()):
            if office["held"]:
                self.spans.setdefault(office["name"], []).append((now, now + office["left"], member.name))

    def gaps(self, office: str, begin: float, end: float) -> list[float]:
        """How long nobody that lived held it, each time; else a lease is taken to be used to its end."""
        found: list[float] = []
        covered = begin
        for start, until, name in sorted(self.spans.get(office, ())):
            deaths = [when for when, who in self.killed if who == name and start <= when < until]
            until = min([until, *deaths])
            if start > covered and start <= end:
                found.append(start - covered)
            covered = max(covered, until)
        if end > covered:
            found.append(end - covered)
        return found

    def changes(self, office: str) -> int:
        """How often another than before was heard to hold it."""
        names = [name for _, _, name in sorted(self.spans.get(office, ()))]
        return sum(a != b for a, b in zip(names, names[1:], strict=False))


def listen(deployment: Deployment) -> Claims:
    """From now on what processes say is kept."""
    claims = Claims()
    for member in deployment.members.values():
        member.on_status = claims.heard
    return claims


def owner_of(deployment: Deployment, office: str) -> str:
    """Who said last that it holds an office; empty if nobody does."""
    for member in deployment.members.values():
        if member.running and not member.suspended:
            for told in member.status.get("offices", ()):
                if told["name"] == office and told["held"]:
                    return member.name
    return ""


async def wait_owner(deployment: Deployment, office: str, other_than: str = "", within: float = 30.0) -> str:
    """Who holds an office as soon as somebody does; TimeoutError if nobody does in time."""
    async with asyncio.timeout(within):
        while (found := owner_of(deployment, office)) in ("", other_than):
            await asyncio.sleep(LOOK_EVERY)
    return found


async def wait_writer(deployment: Deployment, within: float = 30.0) -> str:
    """The exporter, once billing has taken a call under its newest number; TimeoutError if none comes."""
    billing = deployment.billing
    async with asyncio.timeout(within):
        while True:
            owner = owner_of(deployment, "export")
            writer, _, _ = billing.owners.get(billing.highest_number, "").partition("/")
            if owner and writer == owner:
                return owner
            await asyncio.sleep(LOOK_EVERY)


async def wait_booked(deployment: Deployment, within: float = 30.0) -> None:
    """Until all planners' use is booked, and they know it."""
    async with asyncio.timeout(within):
        while any(
            m.running
            and (
                m.status.get("export", {}).get("unreported", 1.0)
                or m.status["export"]["closed"] != m.status["export"]["confirmed"]
            )
            for m in deployment.members.values()
            if m.role == "planner"
        ):
            await asyncio.sleep(LOOK_EVERY)


def judge_billing(billing: StandInBilling) -> dict[str, Any]:
    """What was booked, held against what has to be: each batch once, in order, and one owner at a time."""
    last: dict[str, int] = {}
    twice = missing = late = 0
    units, highest = 0.0, 0
    owners: dict[int, str] = {}
    for booked in billing.appends:
        late += booked.number < highest
        highest = max(highest, booked.number)
        owners.setdefault(booked.number, booked.owner)
        for batch in booked.body["batches"]:
            before = last.get(batch["stream"], 0)
            twice += batch["number"] <= before
            missing += max(batch["number"] - before - 1, 0)
            last[batch["stream"]] = max(before, batch["number"])
            units += sum(u for _, _, u in batch["uses"])
    at_once: Counter[int] = Counter(
        booked.number for booked in billing.appends if owners[booked.number] != booked.owner
    )
    return {
        "appends": len(billing.appends),
        "owners": len(owners),
        "streams": last,
        "units_exported": units,
        "exported_twice": twice,
        "exported_out_of_order": missing,
        "late_effects_taken": late,
        "late_effects_refused": billing.counts["late_refused"],
        "owners_at_once_most": 1 + (1 if at_once or billing.counts["two_owners"] or late else 0),
    }
