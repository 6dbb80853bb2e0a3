"""Fences in the keeper of the counters and in the totals of use, each with the change that disables it."""

from __future__ import annotations

from embersill.world.fences import Fence

KEEPER, PRESENCE, ACCOUNTS = (
    "embersill.counting.keeper",
    "embersill.counting.presence",
    "embersill.counting.accounts",
)
TOTALS = "embersill.totals"

FENCES = (
    Fence(
        "assumed",
        KEEPER,
        "gateways that are cut off are assumed to use nothing",
        "return total + counter.presence.assumed_units(",
        "return total + 0.0 * counter.presence.assumed_units(",
    ),
    Fence(
        "told-anew",
        ACCOUNTS,
        "use that a counter certainly lost is not restored",
        "                self.lost_usage += added.used\n",
        "                pass\n",
    ),
    Fence(
        "corrections-anew",
        ACCOUNTS,
        "corrections that a counter certainly lost are not restored",
        "                    self.lost_corrections += added.units - added.used\n",
        "                    pass\n",
    ),
    Fence(
        "unsure",
        KEEPER,
        "calls that may not have been added are assumed to be added",
        "total += account.uncertain_units",
        "pass",
    ),
    Fence(
        "lineage",
        KEEPER,
        "a loss between two marks that were not read is not detected",
        "if counter.anchor is not None and counter.anchor != second - 1 and counter.search is None:",
        "if False:",
        (
            (
                KEEPER,
                "self.anchor is None or self.anchor_seen_beat == self.beat == self.marked_beat",
                "self.anchor is None or True",
            ),
        ),
    ),
    Fence(
        "checked",
        KEEPER,
        "a sum that a counter lost is taken for a new one, and is corrected before it is restored",
        "            return self.check_anchor(counter, now)\n        return [self.add_use",
        "            return self.apply_corrections(counter, now)\n        return [self.add_use",
    ),
    Fence(
        "moved",
        KEEPER,
        "a name that moves to another counter starts there from zero",
        "account.move_to(self.account_for(to, name) or account)",
        "pass",
    ),
    Fence(
        "moved-back",
        ACCOUNTS,
        "a name that moves back is restored on top of the units that it left there",
        "self.unresolved + sum(self.unconfirmed.values()) + self.lost_usage - other.used",
        "self.unresolved + sum(self.unconfirmed.values()) + self.lost_usage",
    ),
    Fence(
        "repays",
        TOTALS,
        "use beyond the quota that was unknown to the other gateways is not charged",
        "if level < 0 < call[2] - call[1] and not self.repays:",
        "if level < 0 < call[2] - call[1]:",
    ),
    Fence(
        "share-in-a-crowd",
        TOTALS,
        "requests are admitted uncounted while the counter is overloaded",
        "            if self.repays:  # what a crowded",
        "            if False:  # what a crowded",
    ),
)

# the effect of these is less than the uncertainty that schedules allow; each has a test that fails without it
UNIT_TEST_FENCES = (
    Fence(
        "halves",
        ACCOUNTS,
        "after a split each half's corrections are repeated on top of the other's",
        "                if not was_split:\n",
        "                if True:\n",
    ),
    Fence(
        "least",
        KEEPER,
        "while lost sums are being restored, the part restored so far is taken for the whole sum",
        "total = max(total, account.min_sum)",
        "pass",
    ),
    Fence(
        "dropped-while-settling",
        KEEPER,
        "sums are corrected while other gateways are still restoring theirs",
        "            if now < counter.settled_at or counter.search is not None or counter.anchor is None:\n",
        "            if counter.search is not None or counter.anchor is None:\n",
    ),
    Fence(
        "righting",
        KEEPER,
        "several corrections of one sum are in flight at once",
        "            if account is not None and account.correction_pending:\n",
        "            if False:\n",
    ),
    Fence(
        "owed-back",
        KEEPER,
        "use that was to be restored by a rejected call is lost",
        "                account.lost_usage += pending.lost_usage\n",
        "                pass\n",
    ),
    Fence(
        "in-flight-at-move",
        KEEPER,
        "a call that ends after its name moved to another counter is taken to be counted there",
        "account.lost_usage += pending.lost_usage if not_added else pending.amount - pending.corrects",
        "account.lost_usage += pending.lost_usage if not_added else 0.0",
    ),
    Fence(
        "kept-part",
        ACCOUNTS,
        "use that a counter kept when it went back to an earlier state is added again",
        "            if added.answered <= kept_until:\n",
        "            if False:\n",
    ),
    Fence(
        "tells-by-itself",
        TOTALS,
        "a gateway without further requests never reports its use from a counter outage",
        "if self.repays and throttle.uncounted and not throttle.counting:",
        "if False:",
    ),
    Fence(
        "share-at-once",
        TOTALS,
        "after a call without an answer the previous reading still applies",
        "            if self.repays and call[1] > 0:  # the",
        "            if False:  # the",
    ),
)
BY_NAME = {fence.name: fence for fence in (*FENCES, *UNIT_TEST_FENCES)}
