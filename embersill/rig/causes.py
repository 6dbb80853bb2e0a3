"""Why requests were refused in a run: by which limit, where, and what a global limiter would have granted.

Forwarders print a line for each refusal (`tell_refusals`); it is matched to the audit's request by front,
customer, units and time. The global limiter knows all requests, has one bucket for each customer and holds a
request as long as its deadline allows; what it grants beyond the forwarders is what network faults have cost.
"""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from statistics import median
from typing import Any

from embersill.interface import Plan
from embersill.rig.audit import ClientRequest, TokenBucket, TrafficAudit
from embersill.rig.deployment import Deployment
from embersill.rig.processes import Member

MATCH_WINDOW_S = 0.25  # at most between a front's refusal and its answer at the client
SEND_MARGIN_S = 0.2  # before its deadline, by which a held request has to be sent on
UNREPORTED = "not told"


class RefusalCauses:
    """Collects the refusals and status lines of a deployment's processes, from its start on."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.offset = time.time() - time.monotonic()
        self.reported: dict[tuple[str, str, float], list[tuple[float, str]]] = defaultdict(list)
        self.holder_counts: Counter[str] = Counter()  # quota parts by holder, summed over status reports
        for member in deployment.members.values():
            member.on_refusal, member.on_status = self.record_refusal, self.record_status

    def record_refusal(self, member: Member, report: dict[str, Any]) -> None:
        """Keeps the reason that a process gave for a refusal."""
        key = member.name, report["refusal"], report["units"]
        self.reported[key].append((report["at"] - self.offset, report["why"]))

    def record_status(self, member: Member) -> None:
        """Counts the parts that a forwarder's planners hold, and those that none holds."""
        for holder, parts in member.status.get("holders", {}).items():
            self.holder_counts["somebody" if holder else "nobody"] += parts

    def table(self) -> dict[str, Any]:
        """Refusals by cause: count, with quota left, granted by a global limiter, and by plan."""
        audit = self.deployment.audit
        granted_globally = global_grants(audit)
        rows: dict[str, Counter[str]] = defaultdict(Counter)
        waits: dict[str, list[float]] = defaultdict(list)
        for refusal in audit.refusals:
            request = refusal.request
            cause = self.cause_of(request, refusal.time)
            row = rows[cause]
            row["refused"] += 1
            row["with_room"] += refusal.quota_left and refusal.ceiling_left
            row["granted_by_all_seeing"] += request.call_id in granted_globally
            row[request.plan] += 1
            waits[cause].append(refusal.time - request.sent_at)
        by_plan: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
        for request in audit.requests.values():
            counts = by_plan[request.plan]
            counts[0] += 1
            counts[1] += request.sent
            counts[2] += request.call_id in granted_globally
        total = max(sum(self.holder_counts.values()), 1)
        return {
            "refusals": {
                cause: {**row, "held_ms": round(1000 * median(waits[cause]))}
                for cause, row in sorted(rows.items(), key=lambda item: -item[1]["refused"])
            },
            "plans": {
                plan: {"tries": tries, "sent": sent, "all_seeing": granted}
                for plan, (tries, sent, granted) in sorted(by_plan.items())
            },
            "lent_to_nobody": round(self.holder_counts["nobody"] / total, 3),
        }

    def cause_of(self, request: ClientRequest, refused_at: float) -> str:
        """The reported reason closest in time to a refusal; each report is used once."""
        reported = self.reported[request.front, request.customer, request.units]
        matches = [
            (abs(at - refused_at), at, cause)
            for at, cause in reported
            if abs(at - refused_at) < MATCH_WINDOW_S
        ]
        if not matches:
            return UNREPORTED
        _, at, cause = min(matches)
        reported.remove((at, cause))
        return cause


def global_grants(audit: TrafficAudit) -> set[str]:
    """Call ids that one bucket for each customer grants in order of arrival, each held up to its deadline."""
    buckets: dict[str, tuple[TokenBucket | None, TokenBucket | None]] = {}
    granted: set[str] = set()
    for request in sorted(audit.requests.values(), key=lambda request: request.sent_at):
        plan = audit.plans[request.plan]
        quota, ceiling = buckets.setdefault(request.customer, buckets_of(plan, request.sent_at))
        due = max(
            (
                available_at(bucket, request.units, request.sent_at)
                for bucket in (quota, ceiling)
                if bucket is not None
            ),
            default=request.sent_at,
        )
        if due > max(request.deadline - SEND_MARGIN_S, request.sent_at):
            continue
        for bucket in (quota, ceiling):
            if bucket is not None:
                bucket.take(request.units, max(due, bucket.updated_at))
        granted.add(request.call_id)
    return granted


def buckets_of(plan: Plan, now: float) -> tuple[TokenBucket | None, TokenBucket | None]:
    """Full buckets of a plan's quota and ceiling, none where the plan has no such limit."""
    quota = TokenBucket(plan.burst, plan.rate, plan.burst, now) if plan.rate > 0 else None
    ceiling = TokenBucket(plan.ceiling_depth, plan.ceiling_rate, plan.ceiling_depth, now)
    return quota, ceiling if plan.ceiling_rate > 0 else None


def available_at(bucket: TokenBucket, units: float, now: float) -> float:
    """When a bucket will hold so many units, given the requests granted before, which may still wait."""
    at = max(now, bucket.updated_at)
    return at + max(min(units, bucket.depth) - bucket.level_at(at), 0.0) / bucket.rate
