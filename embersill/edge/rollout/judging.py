"""Whether a policy harms where it is in force, from what gateways have seen. No I/O.

Work that is missing or was sent on twice is harm at one case. Slowness and refusals are judged by Wald's
sequential probability ratio test (1945) with stated error rates, kind by kind: a part of requests above a
bound that few passed before, against so much more of them. What the other sites saw in the same time shifts
what is expected, so that a trouble that all of them have is not laid on the policy.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

from embersill.edge.rollout.watch import BOUNDS, Seen

FALSE_ALARM, MISSED = 0.001, 0.01  # error rates of each test
BUNCHED = 3.0  # requests that say no more than one: what is late comes in bunches
TAILS = (0.1, 0.01)  # parts above a bound at which slowness is looked for
LEAST_BEFORE = 100  # requests of a kind from before, below which nothing can be said of it
SLACK = 0.01  # by which a part may grow and be as before


@dataclass(frozen=True, slots=True)
class Finding:
    """`grave`: one case was enough, there is nothing to try again."""

    how: Literal["good", "harm", "more"]
    why: str = ""
    grave: bool = False


def above(seen: Seen, place: int) -> int:
    """Of those served, how many took longer than that bound."""
    return sum(seen.took[place + 1 :])


def bound_for(before: Seen, tail: float) -> int:
    """The least bound that no more than so large a part passed."""
    most = tail * max(before.served, 1)
    return next((n for n in range(len(BOUNDS)) if above(before, n) <= most), len(BOUNDS) - 1)


def part(count: int, of: int) -> float:
    """A share; nought of nothing."""
    return count / of if of else 0.0


def ratio(count: int, of: int, expected: float, harmful: float) -> float:
    """The logarithm of the likelihood of harm against that of none."""
    return (
        count * math.log(harmful / expected) + (of - count) * math.log((1 - harmful) / (1 - expected))
    ) / BUNCHED


def compared(count: int, of: int, before: float, drift: float) -> Literal["good", "harm", "more"]:
    """One sequential test of a part, against what it was, shifted by what others saw."""
    expected = min(max(before + max(drift, 0.0), SLACK) * 1.1 + SLACK / 2, 0.8)
    harmful = min(2 * expected + 0.02, 0.95)
    found = ratio(count, of, expected, harmful)
    if found >= math.log((1 - MISSED) / FALSE_ALARM):
        return "harm"
    return "good" if found <= math.log(MISSED / (1 - FALSE_ALARM)) else "more"


@dataclass(frozen=True, slots=True)
class Sides:
    """One kind of request: at sites with the policy and at the others, before it was in force and since."""

    before: Seen
    now: Seen
    others_before: Seen
    others_now: Seen

    def parts(self) -> list[tuple[str, int, int, float, float]]:
        """What is tested: its name, count and of how many, the part before, the drift that the others saw."""
        made = []
        for tail in TAILS:
            place = bound_for(self.before, tail)
            was = part(above(self.before, place), self.before.served)
            drift = part(above(self.others_now, place), self.others_now.served) - part(
                above(self.others_before, place), self.others_before.served
            )
            name = f"slower than {BOUNDS[place]:.3f} s"
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
    """What is to be held of the sites at which the policy is in force."""
    for kind, seen in sorted(now.items()):
        if seen.doubled or seen.missing:
            what, names = "sent on twice" if seen.doubled else "missing", seen.doubled or seen.missing
            return Finding("harm", f"{kind}: {what}: {', '.join(map(str, names))}", True)
    unsure = ""
    for kind, was in sorted(before.items()):
        sides = Sides(was, *(side.get(kind, Seen()) for side in (now, others_before, others_now)))
        if was.asked < LEAST_BEFORE:
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
