"""The fences of the counters' keeper and of the module under it, each with the change that takes it out."""

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
        "gateways that are cut off are taken to use nothing",
        "return total + counter.presence.assumed_units(",
        "return total + 0.0 * counter.presence.assumed_units(",
    ),
    Fence(
        "told-anew",
        ACCOUNTS,
        "what a counter surely lost is not told again",
        "                self.lost_usage += added.used\n",
        "                pass\n",
    ),
    Fence(
        "corrections-anew",
        ACCOUNTS,
        "corrections that a counter surely lost are not made again",
        "                    self.lost_corrections += added.units - added.used\n",
        "                    pass\n",
    ),
    Fence(
        "unsure",
        KEEPER,
        "calls that may not have been added are taken to be",
        "total += account.uncertain_units",
        "pass",
    ),
    Fence(
        "lineage",
        KEEPER,
        "a loss between two marks that nobody looked at goes unseen",
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
        "a sum that a counter lost passes for a new one, and is put right before it is told anew",
        "            return self.check_anchor(counter, now)\n        return [self.add_use",
        "            return self.apply_corrections(counter, now)\n        return [self.add_use",
    ),
    Fence(
        "moved",
        KEEPER,
        "a name that goes to another counter starts there from nothing",
        "account.move_to(self.account_for(to, name) or account)",
        "pass",
    ),
    Fence(
        "moved-back",
        ACCOUNTS,
        "a name that comes back is told anew on top of what it left there",
        "self.unresolved + sum(self.unconfirmed.values()) + self.lost_usage - other.used",
        "self.unresolved + sum(self.unconfirmed.values()) + self.lost_usage",
    ),
    Fence(
        "repays",
        TOTALS,
        "what was passed on unknown to the others is forgiven",
        "if level < 0 < call[2] - call[1] and not self.repays:",
        "if level < 0 < call[2] - call[1]:",
    ),
    Fence(
        "share-in-a-crowd",
        TOTALS,
        "requests go on unasked while the counter is crowded",
        "            if self.repays:  # what a crowded",
        "            if False:  # what a crowded",
    ),
)

# what these keep is less than what a schedule leaves unsure: a test stands for each, and fails without it
TESTED = (
    Fence(
        "halves",
        ACCOUNTS,
        "after a split each half's corrections are made again on top of the other's",
        "                if not was_split:\n",
        "                if True:\n",
    ),
    Fence(
        "least",
        KEEPER,
        "while lost sums are told anew, what is told so far passes for all",
        "total = max(total, account.min_sum)",
        "pass",
    ),
    Fence(
        "dropped-while-settling",
        KEEPER,
        "sums are put right while the others are still telling theirs anew",
        "            if now < counter.settled_at or counter.search is not None or counter.anchor is None:\n",
        "            if counter.search is not None or counter.anchor is None:\n",
    ),
    Fence(
        "righting",
        KEEPER,
        "a sum is put right by several corrections at once",
        "            if account is not None and account.correction_pending:\n",
        "            if False:\n",
    ),
    Fence(
        "owed-back",
        KEEPER,
        "what is told anew by a call that was turned away is forgotten",
        "                account.lost_usage += pending.lost_usage\n",
        "                pass\n",
    ),
    Fence(
        "in-flight-at-move",
        KEEPER,
        "a call that ends at the counter which its name has left counts as told",
        "account.lost_usage += pending.lost_usage if not_added else pending.amount - pending.corrects",
        "account.lost_usage += pending.lost_usage if not_added else 0.0",
    ),
    Fence(
        "kept-part",
        ACCOUNTS,
        "what a counter that went back still has is told again",
        "            if added.answered <= kept_until:\n",
        "            if False:\n",
    ),
    Fence(
        "tells-by-itself",
        TOTALS,
        "a gateway to which no request comes any more never tells what it passed on in a silence",
        "if self.repays and throttle.uncounted and not throttle.counting:",
        "if False:",
    ),
    Fence(
        "share-at-once",
        TOTALS,
        "after a call without an answer the last reading still decides",
        "            if self.repays and call[1] > 0:  # the",
        "            if False:  # the",
    ),
)
BY_NAME = {fence.name: fence for fence in (*FENCES, *TESTED)}
