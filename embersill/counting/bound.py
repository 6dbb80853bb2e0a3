"""How far a quota can be passed, by trouble of the counter: what docs/operate/counting.md states. No I/O.

In any window of t seconds within one epoch (60 s of the shared clock), all gateways together pass on, for a
customer with quota `rate` and `burst`, at most burst + rate * t + the sum of what stands here for ordinary
days and for each trouble that touches the epoch. docs/design/counting.md derives each line.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from embersill.totals import RIGHT_FROM, SOON
from embersill.counting.terms import BEAT, Terms
from embersill.interface import Plan, Settings
from embersill.throttle import PERIOD

FRESH = PERIOD / 10  # seconds for which a reading serves without another
LOOKS = 7  # calls, one after another, of a search over the marks of a minute, and the check ahead of it


@dataclass(frozen=True, slots=True)
class Case:
    """A customer's figures: `width` gateways, `largest` units of one request, `patience` of a call."""

    rate: float
    burst: float
    width: int
    largest: float
    patience: float

    @property
    def untrimmed(self) -> float:
        """Units by which a sum may stand behind its quota's line while the level is taken to be full."""
        return (RIGHT_FROM + 0.5) * self.burst

    @property
    def unseen(self) -> float:
        """Units that the others may have passed on since a gateway read the sum."""
        return (self.width - 1) * (self.burst + self.rate * (FRESH + self.patience))


ORDINARY = "ordinary"
# what each trouble is, in the words of the table
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
    """Seconds until a loss is known and what was lost is told anew: a beat each, and the search."""
    return 2 * BEAT + (LOOKS + 2) * case.patience


def excess(trouble: str, case: Case, terms: Terms) -> float:
    """Units beyond burst + rate * t that one trouble may add; KeyError if it is none of TROUBLES."""
    rate, burst = case.rate, case.burst
    # what was passed on while nobody knows whether the sum has it: a beat before, one after, one at the edge
    blurred = burst + rate * 3 * BEAT
    lost = burst + rate * detected(case) + blurred
    whole_again = burst + rate * (2 * BEAT + terms.most_back_off)  # until all have told what they passed
    known = {
        ORDINARY: case.unseen + case.untrimmed + max(case.largest - burst, 0.0),
        "silent": burst + whole_again,
        "slow": burst + whole_again,
        "deaf": burst + whole_again,
        "empty": lost,
        "stale": lost,
        "split": burst + rate * terms.detection + lost,
        "cut": burst + rate * terms.detection + whole_again,
        "moved": lost,
        "killed": burst + burst / case.width + rate * (FRESH + SOON * PERIOD),
    }
    return known[trouble]


def allowed(case: Case, terms: Terms, troubles: Iterable[str]) -> float:
    """Units that a window may have beyond rate * t: the burst, and what all that touched the epoch adds."""
    return case.burst + excess(ORDINARY, case, terms) + sum(excess(t, case, terms) for t in troubles)


def case_of(plan: Plan, settings: Settings, width: int) -> Case:
    return Case(plan.rate, plan.burst, width, settings.most_units, settings.counter_patience)


def table(settings: Settings, terms: Terms) -> list[dict[str, float | str]]:
    """A row for each plan with a quota, width and trouble, with its excess in units."""
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
    """Units by which a ceiling can be passed in any of these: nought. Each gateway has its fixed part of it.

    No word of the counter raises that part, and one that starts has an empty one; `width` does not matter.
    """
    return 0.0
