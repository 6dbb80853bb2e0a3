"""The reserve of its customers' ceilings that each forwarder holds for when it can reach no planner. No I/O.

A forwarder that is partitioned off may not spend its share of a ceiling while the share is still lent, and
its share is small where its customers use few forwarders. So a planner that holds all shares of a part
hands out some of a ceiling's depth in advance, to the forwarders that the customer uses: units that it has
deducted from its own level, and that belong to the forwarder from then on. This is the escrow of O'Neil
(1986, "The escrow transactional method"), as in the bounded counters of Balegas and others (2015).

Why no ceiling is exceeded: let T be the level of one global bucket, P the planner's, R the total of the
reserves, and S what forwarders without a planner have of their shares. A transfer changes P and R by the
same amount, in that order; a spend takes from one of P, R and S what it takes from T. Each fills at its
share's rate and together they fill no faster than T; and their depths together are at most the bucket's,
since a planner's depth is that of its shares less all that is or may be held in reserve (`depth_left`), and
a forwarder without a planner has its share's depth or its reserve, whichever is larger. So P + R + S never
exceeds T.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from embersill.interface import Plan

MAX_RESERVED_FRACTION = (
    0.5  # of a ceiling's depth: the planner needs the rest while only some forwarders lend a part
)
DEMAND_HALF_LIFE_S = 2.0  # of the weight of a requested unit: spans a few requests of a customer
REBALANCE_INTERVAL_S = 0.25  # between recalculations of where a customer's reserve should be
TOP_UP_BELOW = 0.5  # of its target: a forwarder that holds less gets more
RECALL_SURPLUS = 0.25  # of the whole reserve: what exceeds a forwarder's target by more is recalled
MIN_PORTION_CHANGE = 0.2  # of a forwarder's part of the demand, from which it is sent again
MIN_TRANSFER_UNITS = 1.0  # a smaller transfer is not worth a message
PLANNER_MIN_LEVEL = 0.25  # fraction of its own depth that a planner does not hand out
MIN_DEMAND_UNITS = 0.01  # below which a customer no longer counts as using a forwarder


def max_reserved(plan: Plan, most_units: float) -> float:
    """Units of a plan's ceiling that may be held in reserve, over all forwarders.

    The planner must still be able to admit a customer's whole burst, or two of the largest requests if the
    plan has no quota.
    """
    if plan.ceiling_rate <= 0:
        return 0.0
    wanted = plan.burst if plan.rate > 0 else 2 * most_units
    return max(min(MAX_RESERVED_FRACTION * plan.ceiling_depth, plan.ceiling_depth - wanted), 0.0)


def depth_left(plan: Plan, ceiling: float, held: float, lenders: int, forwarders: int, most: float) -> float:
    """The depth of a planner's bucket with the fraction `ceiling` of all shares, whose lenders hold `held`.

    Forwarders that do not lend may hold the rest of `most`. What fits into the share of one of them is not
    deducted, since its own bucket is shallower by as much.
    """
    unknown = max(most - held - plan.ceiling_depth / forwarders, 0.0) if lenders < forwarders else 0.0
    return max(plan.ceiling_depth * ceiling - held - unknown, 0.0)


@dataclass(slots=True)
class Demand:
    """A customer's recent demand by forwarder, and the portions that were sent to these."""

    at: float
    units: dict[str, float] = field(default_factory=dict)
    rebalanced_at: float = float("-inf")
    reported: dict[str, float] = field(default_factory=dict)  # portions

    def record(self, forwarder: str, units: float, now: float) -> None:
        """Adds a request to the demand, after decaying what was recorded before."""
        decay = 0.5 ** ((now - self.at) / DEMAND_HALF_LIFE_S)
        self.units = {
            name: left for name, asked in self.units.items() if (left := asked * decay) > MIN_DEMAND_UNITS
        }
        self.units[forwarder] = self.units.get(forwarder, 0.0) + units
        self.at = now

    def portions(self) -> dict[str, float]:
        """Each forwarder's fraction of the demand."""
        whole = sum(self.units.values())
        return {name: units / whole for name, units in self.units.items()} if whole > 0 else {}


@dataclass(frozen=True, slots=True)
class Transfer:
    """A message to a forwarder: units to add, or to return if negative, and its part of the demand."""

    forwarder: str
    units: float
    portion: float


def rebalance(
    demand: Demand, held: Mapping[str, float], most: float, available: float, now: float
) -> list[Transfer]:
    """The transfers that move a customer's reserve to its demand, computed once per REBALANCE_INTERVAL_S.

    `held`: by each forwarder that lends; `most`: in total; `available`: at the planner. What a forwarder
    holds for demand that has moved to another one is recalled, and transferred on once it has been
    returned.
    """
    if now - demand.rebalanced_at < REBALANCE_INTERVAL_S:
        return []
    demand.rebalanced_at = now
    portions, transfers = demand.portions(), []
    room = min(available, most - sum(held.values()))
    for forwarder in sorted(held):
        portion = portions.get(forwarder, 0.0)
        wanted, has, units = most * portion, held[forwarder], 0.0
        if has < TOP_UP_BELOW * wanted:
            units = max(min(wanted - has, room), 0.0)
        elif has > wanted + RECALL_SURPLUS * most:
            units = wanted - has
        if abs(units) < MIN_TRANSFER_UNITS:
            units = 0.0
        reported = demand.reported.get(forwarder, 1.0 / len(held))
        if units or abs(portion - reported) > MIN_PORTION_CHANGE:
            room -= max(units, 0.0)
            demand.reported[forwarder] = portion
            transfers.append(Transfer(forwarder, units, portion))
    return transfers
