"""Why tries were refused in a play: by which limit, where, and what one that sees all would have granted.

Forwarders write a line on each refusal (`tell_refusals`); it is matched to the try that the books have by
its front, customer, units and time. One that sees all has one bucket a customer and holds a request as long
as its time allows: what it grants is what the network's state has cost.
"""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from statistics import median
from typing import Any

from embersill.interface import Plan
from embersill.rig.books import Asked, Books, Level
from embersill.rig.deployment import Deployment
from embersill.rig.processes import Member

NEAR = 0.25  # seconds between a refusal at its front and its answer at the client, at most
SENT_BY = 0.2  # seconds before its end that a held request has to be sent on at the latest
UNTOLD = "not told"


class Causes:
    """Listens to a deployment from its start on."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.offset = time.time() - time.monotonic()
        self.told: dict[tuple[str, str, float], list[tuple[float, str]]] = defaultdict(list)
        self.looks: Counter[str] = Counter()  # parts by holder, summed over what forwarders said
        for member in deployment.members.values():
            member.on_refusal, member.on_status = self.refusal, self.status

    def refusal(self, member: Member, said: dict[str, Any]) -> None:
        key = member.name, said["refusal"], said["units"]
        self.told[key].append((said["at"] - self.offset, said["why"]))

    def status(self, member: Member) -> None:
        for holder, parts in member.status.get("holders", {}).items():
            self.looks["somebody" if holder else "nobody"] += parts

    def table(self) -> dict[str, Any]:
        """Refusals by why: how many, with room by the books, granted by one that sees all, by plan."""
        books = self.deployment.books
        wanted = all_seeing(books)
        rows: dict[str, Counter[str]] = defaultdict(Counter)
        waits: dict[str, list[float]] = defaultdict(list)
        for refusal in books.refusals:
            asked = refusal.asked
            why = self.why(asked, refusal.when)
            row = rows[why]
            row["refused"] += 1
            row["with_room"] += refusal.quota_left and refusal.ceiling_left
            row["granted_by_all_seeing"] += asked.call_id in wanted
            row[asked.plan] += 1
            waits[why].append(refusal.when - asked.at)
        by_plan: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
        for asked in books.tries.values():
            counts = by_plan[asked.plan]
            counts[0] += 1
            counts[1] += asked.sent
            counts[2] += asked.call_id in wanted
        looks = max(sum(self.looks.values()), 1)
        return {
            "refusals": {
                why: {**row, "held_ms": round(1000 * median(waits[why]))}
                for why, row in sorted(rows.items(), key=lambda item: -item[1]["refused"])
            },
            "plans": {
                plan: {"tries": tries, "sent": sent, "all_seeing": granted}
                for plan, (tries, sent, granted) in sorted(by_plan.items())
            },
            "lent_to_nobody": round(self.looks["nobody"] / looks, 3),
        }

    def why(self, asked: Asked, when: float) -> str:
        told = self.told[asked.front, asked.customer, asked.units]
        near = [(abs(at - when), at, why) for at, why in told if abs(at - when) < NEAR]
        if not near:
            return UNTOLD
        _, at, why = min(near)
        told.remove((at, why))
        return why


def all_seeing(books: Books) -> set[str]:
    """Tries that one bucket a customer grants, first come, each held for as long as its time allows."""
    buckets: dict[str, tuple[Level | None, Level | None]] = {}
    granted: set[str] = set()
    for asked in sorted(books.tries.values(), key=lambda asked: asked.at):
        plan = books.plans[asked.plan]
        quota, ceiling = buckets.setdefault(asked.customer, buckets_of(plan, asked.at))
        due = max(
            (free_at(level, asked.units, asked.at) for level in (quota, ceiling) if level is not None),
            default=asked.at,
        )
        if due > max(asked.end - SENT_BY, asked.at):
            continue
        for level in (quota, ceiling):
            if level is not None:
                level.take(asked.units, max(due, level.when))
        granted.add(asked.call_id)
    return granted


def buckets_of(plan: Plan, now: float) -> tuple[Level | None, Level | None]:
    quota = Level(plan.burst, plan.rate, plan.burst, now) if plan.rate > 0 else None
    ceiling = Level(plan.ceiling_depth, plan.ceiling_rate, plan.ceiling_depth, now)
    return quota, ceiling if plan.ceiling_rate > 0 else None


def free_at(level: Level, units: float, now: float) -> float:
    """When a bucket has so many units, but for what others that were granted before still wait for."""
    at = max(now, level.when)
    return at + max(min(units, level.depth) - level.at(at), 0.0) / level.rate
