"""Decides whether a policy does harm where it is in force, from the counts of all gateways. No I/O.

A single lost or doubly executed request is harm. Slowness, rejections and failures are judged for each kind
of request by Wald's sequential probability ratio test (1945) with stated error rates: the share of requests
above a bound that few exceeded before, against a much larger share. What the other sites saw in the same
time shifts the expected share, so that a problem of all sites is not blamed on the policy.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

from embersill.edge.rollout.watch import BOUNDS_S, Seen

FALSE_ALARM, MISSED = 0.001, 0.01  # error rates of each test
CLUSTER_SIZE = 3.0  # late requests come in clusters: this many count as one observation
TAILS = (0.1, 0.01)  # shares of the slowest requests that are compared
MIN_BASELINE = 100  # requests of a kind before the step, below which it can't be judged
SLACK = 0.01  # growth of a share that still counts as unchanged


@dataclass(frozen=True, slots=True)
class Finding:
    """The result of judging; `grave`: a single case was enough, so that the step is not tried again."""

    how: Literal["good", "harm", "more"]
    why: str = ""
    grave: bool = False


def above(seen: Seen, place: int) -> int:
    """The number of served requests that took longer than that bound."""
    return sum(seen.took[place + 1 :])


def bound_for(before: Seen, tail: float) -> int:
    """The index of the least bound that at most this share of the requests exceeded."""
    most = tail * max(before.served, 1)
    return next((n for n in range(len(BOUNDS_S)) if above(before, n) <= most), len(BOUNDS_S) - 1)


def part(count: int, of: int) -> float:
    """A share; 0.0 if there is nothing to divide by."""
    return count / of if of else 0.0


def ratio(count: int, of: int, expected: float, harmful: float) -> float:
    """The log likelihood ratio of harm against no harm."""
    return (
        count * math.log(harmful / expected) + (of - count) * math.log((1 - harmful) / (1 - expected))
    ) / CLUSTER_SIZE


def compared(count: int, of: int, before: float, drift: float) -> Literal["good", "harm", "more"]:
    """One sequential test of a share against its earlier value, shifted by the drift at the other sites."""
    expected = min(max(before + max(drift, 0.0), SLACK) * 1.1 + SLACK / 2, 0.8)
    harmful = min(2 * expected + 0.02, 0.95)
    found = ratio(count, of, expected, harmful)
    if found >= math.log((1 - MISSED) / FALSE_ALARM):
        return "harm"
    return "good" if found <= math.log(MISSED / (1 - FALSE_ALARM)) else "more"


@dataclass(frozen=True, slots=True)
class Sides:
    """Counts of one kind of request: at sites with the policy and at others, before the step and since."""

    before: Seen
    now: Seen
    others_before: Seen
    others_now: Seen

    def parts(self) -> list[tuple[str, int, int, float, float]]:
        """The tests to make: name, count, total, share before, and drift at the other sites."""
        made = []
        for tail in TAILS:
            place = bound_for(self.before, tail)
            was = part(above(self.before, place), self.before.served)
            drift = part(above(self.others_now, place), self.others_now.served) - part(
                above(self.others_before, place), self.others_before.served
            )
            name = f"slower than {BOUNDS_S[place]:.3f} s"
            made.append((name, above(self.now, place), self.now.served, was, drift))
        for name in ("refused", "failed"):
            count, parts = (
                getattr(self.now, name),
                [
                    part(getattr(seen, name), seen.asked)
                    for seen in (self.before, self.others_before, self.others_now)
                ],
            )
            made.append((name, count, self.now.asked, parts[0], parts[2] - parts[1]))
        return made


def judged(
    before: Mapping[str, Seen],
    now: Mapping[str, Seen],
    others_before: Mapping[str, Seen],
    others_now: Mapping[str, Seen],
) -> Finding:
    """Judges the sites at which the policy is in force, by kind of request."""
    for kind, seen in sorted(now.items()):
        if seen.doubled or seen.missing:
            what, names = "sent on twice" if seen.doubled else "missing", seen.doubled or seen.missing
            return Finding("harm", f"{kind}: {what}: {', '.join(map(str, names))}", True)
    unsure = ""
    for kind, was in sorted(before.items()):
        sides = Sides(was, *(side.get(kind, Seen()) for side in (now, others_before, others_now)))
        if was.asked < MIN_BASELINE:
            unsure = unsure or f"{kind}: too few requests"
            continue
        for name, count, of, expected, drift in sides.parts():
            found = compared(count, of, expected, drift)
            if found == "harm":
                return Finding("harm", f"{kind}: {name}: {count} of {of}, {expected:.3f} of them before")
            if found == "more":
                unsure = unsure or f"{kind}: {name}: {count} of {of}"
    if not before:
        unsure = "no requests from before"
    return Finding("more", unsure) if unsure else Finding("good")
