"""Ownership of offices in a deployment with a council: by status reports, and by what billing accepted."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from embersill.rig.billing import StandInBilling
from embersill.rig.deployment import Deployment
from embersill.rig.processes import Member

POLL_INTERVAL_S = 0.02


@dataclass(slots=True)
class OwnershipLog:
    """Leases of offices, as the processes' status lines report them."""

    leases: dict[str, list[tuple[float, float, str]]] = field(default_factory=dict)  # start, end, holder
    kills: list[tuple[float, str]] = field(default_factory=list)  # time and process

    def record_status(self, member: Member) -> None:
        """Records the leases in a process's latest status."""
        now = asyncio.get_running_loop().time()
        for office in member.status.get("offices", ()):
            if office["held"]:
                self.leases.setdefault(office["name"], []).append((now, now + office["left"], member.name))

    def gaps(self, office: str, begin: float, end: float) -> list[float]:
        """Lengths of the times in which no living process held an office.

        A lease counts to its end, unless its holder was killed before.
        """
        gaps: list[float] = []
        covered = begin
        for start, until, name in sorted(self.leases.get(office, ())):
            deaths = [at for at, killed in self.kills if killed == name and start <= at < until]
            until = min([until, *deaths])
            if start > covered and start <= end:
                gaps.append(start - covered)
            covered = max(covered, until)
        if end > covered:
            gaps.append(end - covered)
        return gaps

    def changes(self, office: str) -> int:
        """How often a reported holder differs from the one before."""
        names = [name for _, _, name in sorted(self.leases.get(office, ()))]
        return sum(a != b for a, b in zip(names, names[1:], strict=False))


def record_ownership(deployment: Deployment) -> OwnershipLog:
    """Records the status lines of all processes from now on."""
    log = OwnershipLog()
    for member in deployment.members.values():
        member.on_status = log.record_status
    return log


def owner_of(deployment: Deployment, office: str) -> str:
    """A running process that reports that it holds an office; empty if none does."""
    for member in deployment.members.values():
        if member.running and not member.suspended:
            for office_status in member.status.get("offices", ()):
                if office_status["name"] == office and office_status["held"]:
                    return member.name
    return ""


async def wait_owner(
    deployment: Deployment, office: str, other_than: str = "", timeout_s: float = 30.0
) -> str:
    """Waits for a holder of an office other than `other_than`; raises TimeoutError."""
    async with asyncio.timeout(timeout_s):
        while (holder := owner_of(deployment, office)) in ("", other_than):
            await asyncio.sleep(POLL_INTERVAL_S)
    return holder


async def wait_writer(deployment: Deployment, timeout_s: float = 30.0) -> str:
    """Waits for an exporter whose number is the newest that billing has accepted; raises TimeoutError."""
    billing = deployment.billing
    async with asyncio.timeout(timeout_s):
        while True:
            owner = owner_of(deployment, "export")
            writer, _, _ = billing.owners.get(billing.highest_number, "").partition("/")
            if owner and writer == owner:
                return owner
            await asyncio.sleep(POLL_INTERVAL_S)


async def wait_exported(deployment: Deployment, timeout_s: float = 30.0) -> None:
    """Waits until all planners' usage is stored by billing and confirmed; raises TimeoutError."""
    async with asyncio.timeout(timeout_s):
        while any(
            m.running
            and (
                m.status.get("export", {}).get("unreported", 1.0)
                or m.status["export"]["closed"] != m.status["export"]["confirmed"]
            )
            for m in deployment.members.values()
            if m.role == "planner"
        ):
            await asyncio.sleep(POLL_INTERVAL_S)


def judge_billing(billing: StandInBilling) -> dict[str, Any]:
    """Checks the accepted appends: each batch once and in order, and one owner at a time."""
    last: dict[str, int] = {}
    twice = missing = late = 0
    units, highest = 0.0, 0
    owners: dict[int, str] = {}
    for append in billing.appends:
        late += append.number < highest
        highest = max(highest, append.number)
        owners.setdefault(append.number, append.owner)
        for batch in append.body["batches"]:
            previous = last.get(batch["stream"], 0)
            twice += batch["number"] <= previous
            missing += max(batch["number"] - previous - 1, 0)
            last[batch["stream"]] = max(previous, batch["number"])
            units += sum(u for _, _, u in batch["uses"])
    shared_numbers: Counter[int] = Counter(
        append.number for append in billing.appends if owners[append.number] != append.owner
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
        "owners_at_once_most": 1 + (1 if shared_numbers or billing.counts["two_owners"] or late else 0),
    }
