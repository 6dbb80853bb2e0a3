"""What each forwarder holds of its customers' ceilings in reserve, for when no planner can be asked. No I/O.

A forwarder that is cut off may not spend its share of a ceiling while that is still lent, and its share is
small where its customers come to few forwarders. So a planner that holds a part whole hands out some of a
ceiling's depth beforehand, to those that the customer comes to: units that it has taken from its own level,
and that are the forwarder's from then on. This is the escrow of O'Neil (1986, "The escrow transactional
method"), as in the bounded counters of Balegas and others (2015).

Why no ceiling is passed: let T be the level of a true bucket, P the planner's, R what is held in reserve, S
what forwarders on their own have of their shares. Handing over changes P and R by the same amount, in that
order; a spend takes from one of P, R and S what it takes from T. All fill at a share's rate each and together
at no more than T's; and their depths together are at most the bucket's, since a planner's depth is its
shares' less all that is held or may be (`depth_left`), and a forwarder on its own has its share's depth or
its reserve, whichever is larger. So P + R + S never is above T.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from embersill.interface import Plan

RESERVED = 0.5  # of a ceiling's depth at most: where only some lend a part their planner needs the rest
HALF_LIFE = 2.0  # seconds after which a unit asked for counts half: a few requests of a customer each
BALANCED_EVERY = 0.25  # seconds between looks at where a customer's reserve should be
TOP_UP = 0.5  # of what a forwarder should hold, below which it gets more
SURPLUS = 0.25  # of all that may be held, beyond what a forwarder should hold, from which it is asked back
PORTION_MOVED = 0.2  # by which a forwarder's part of the demand must have changed to be told anew
LEAST_UNITS = 1.0  # that are worth a message
KEPT_BACK = 0.25  # of its own depth that a planner does not hand out
FADED = 0.01  # units of demand below which a forwarder counts as left by a customer


def most_reserved(plan: Plan, most_units: float) -> float:
    """Units of a plan's ceiling that may be held in reserve, over all forwarders.

    A customer's whole burst has to pass at the planner still, or two of the largest requests without a quota.
    """
    if plan.ceiling_rate <= 0:
        return 0.0
    wanted = plan.burst if plan.rate > 0 else 2 * most_units
    return max(min(RESERVED * plan.ceiling_depth, plan.ceiling_depth - wanted), 0.0)


def depth_left(plan: Plan, ceiling: float, held: float, lenders: int, forwarders: int, most: float) -> float:
    """The depth of a planner's bucket that has the shares `ceiling`, 0 to 1, where its lenders hold `held`.

    Forwarders that do not lend may hold the rest of `most`; what fits into the share of one of them is no
    loss, as its own bucket is that much less deep.
    """
    unknown = max(most - held - plan.ceiling_depth / forwarders, 0.0) if lenders < forwarders else 0.0
    return max(plan.ceiling_depth * ceiling - held - unknown, 0.0)


@dataclass(slots=True)
class Demand:
    """What a customer asked for lately, by forwarder, and what these were told of it."""

    at: float
    units: dict[str, float] = field(default_factory=dict)
    balanced: float = float("-inf")
    told: dict[str, float] = field(default_factory=dict)  # portions

    def asked(self, who: str, units: float, now: float) -> None:
        faded = 0.5 ** ((now - self.at) / HALF_LIFE)
        self.units = {name: left for name, asked in self.units.items() if (left := asked * faded) > FADED}
        self.units[who] = self.units.get(who, 0.0) + units
        self.at = now

    def portions(self) -> dict[str, float]:
        whole = sum(self.units.values())
        return {name: units / whole for name, units in self.units.items()} if whole > 0 else {}


@dataclass(frozen=True, slots=True)
class Handed:
    """To be told to a forwarder: units more, or fewer below nought, and its part of the demand."""

    who: str
    units: float
    portion: float


def balanced(
    demand: Demand, held: Mapping[str, float], most: float, to_spare: float, now: float
) -> list[Handed]:
    """Who should be handed what of a customer's reserve now; nothing if that was looked at just before.

    `held` by each forwarder that lends, `most` in all, `to_spare` at the planner. What one holds for a demand
    that has gone elsewhere is asked back; it is handed on when it has come.
    """
    if now - demand.balanced < BALANCED_EVERY:
        return []
    demand.balanced = now
    portions, found = demand.portions(), []
    room = min(to_spare, most - sum(held.values()))
    for who in sorted(held):
        portion = portions.get(who, 0.0)
        wanted, has, units = most * portion, held[who], 0.0
        if has < TOP_UP * wanted:
            units = max(min(wanted - has, room), 0.0)
        elif has > wanted + SURPLUS * most:
            units = wanted - has
        if abs(units) < LEAST_UNITS:
            units = 0.0
        told = demand.told.get(who, 1.0 / len(held))
        if units or abs(portion - told) > PORTION_MOVED:
            room -= max(units, 0.0)
            demand.told[who] = portion
            found.append(Handed(who, units, portion))
    return found
