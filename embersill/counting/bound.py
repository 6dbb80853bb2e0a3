"""Bounds on how far a quota can be exceeded, by counter failure, as in docs/operate/counting.md. No I/O.

In any window of t seconds within one epoch (60 s of the shared clock), all gateways together pass on, for a
customer with quota `rate` and `burst`, at most burst + rate * t + the excess given here for normal operation
and for each trouble that touches the epoch. docs/design/counting.md derives each term.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from embersill.totals import RIGHT_FROM, SOON
from embersill.counting.terms import BEAT, Terms
from embersill.interface import Plan, Settings
from embersill.throttle import PERIOD

FRESH = PERIOD / 10  # seconds for which a reading is used before the next one
LOOKS = 7  # consecutive calls of a search over a minute's marks, including the check before it


@dataclass(frozen=True, slots=True)
class Case:
    """A customer's parameters: `width` in gateways, `largest` request in units, `patience` of a call."""

    rate: float
    burst: float
    width: int
    largest: float
    patience: float

    @property
    def untrimmed(self) -> float:
        """Units by which a sum may lag behind the quota's refill while the level is taken to be full."""
        return (RIGHT_FROM + 0.5) * self.burst

    @property
    def unseen(self) -> float:
        """Units that the other gateways may have passed on since one read the sum."""
        return (self.width - 1) * (self.burst + self.rate * (FRESH + self.patience))


ORDINARY = "ordinary"
# the descriptions that the table prints
TROUBLES = {
    ORDINARY: "no trouble: gateways read the sum a moment apart",
    "silent": "answers nothing or refuses connections, however long",
    "slow": "answers after its callers' patience, however long",
    "deaf": "adds and does not answer",
    "empty": "comes back with nothing, or is swapped for a fresh one",
    "stale": "comes back with sums of some time ago, however old",
    "split": "two halves, each with some gateways, however long",
    "cut": "one gateway does not reach it",
    "moved": "its names go to another counter, by reload",
    "killed": "a gateway dies with what it had not told",
}


def detected(case: Case) -> float:
    """Seconds until a loss is detected and the lost sums are restored: a beat for each, and the search."""
    return 2 * BEAT + (LOOKS + 2) * case.patience


def excess(trouble: str, case: Case, terms: Terms) -> float:
    """Units beyond burst + rate * t that one trouble may add; KeyError unless it is one of TROUBLES."""
    rate, burst = case.rate, case.burst
    # units that the sum may or may not contain: of the beat before, the one after, and one at the edge
    uncertain = burst + rate * 3 * BEAT
    lost = burst + rate * detected(case) + uncertain
    until_restored = burst + rate * (
        2 * BEAT + terms.most_back_off
    )  # until all gateways have reported what they passed on
    known = {
        ORDINARY: case.unseen + case.untrimmed + max(case.largest - burst, 0.0),
        "silent": burst + until_restored,
        "slow": burst + until_restored,
        "deaf": burst + until_restored,
        "empty": lost,
        "stale": lost,
        "split": burst + rate * terms.detection + lost,
        "cut": burst + rate * terms.detection + until_restored,
        "moved": lost,
        "killed": burst + burst / case.width + rate * (FRESH + SOON * PERIOD),
    }
    return known[trouble]


def allowed(case: Case, terms: Terms, troubles: Iterable[str]) -> float:
    """Units that a window may have beyond rate * t: the burst, and each trouble's excess in the epoch."""
    return case.burst + excess(ORDINARY, case, terms) + sum(excess(t, case, terms) for t in troubles)


def case_of(plan: Plan, settings: Settings, width: int) -> Case:
    """The parameters of a customer of this plan."""
    return Case(plan.rate, plan.burst, width, settings.most_units, settings.counter_patience)


def table(settings: Settings, terms: Terms) -> list[dict[str, float | str]]:
    """A row for each plan with a quota, width and trouble, with the excess in units."""
    return [
        {
            "plan": plan.name,
            "width": width,
            "trouble": trouble,
            "excess_units": round(excess(trouble, case_of(plan, settings, width), terms), 2),
        }
        for plan in settings.plans
        if plan.rate > 0
        for width in range(2, min(settings.gateways, 4) + 1)
        for trouble in TROUBLES
    ]


def ceiling_slack(plan: Plan, width: int) -> float:
    """Units by which a ceiling can be exceeded in any of these: 0, as each gateway has a fixed share of it.

    No answer of the counter raises that share, and a starting gateway's is empty; `width` does not matter.
    """
    return 0.0
