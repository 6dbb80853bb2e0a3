"""What this gateway has added to one running sum, to be restored if the counter loses it. No I/O.

An amount is certainly in the counter, certainly not in it, or uncertain. An uncertain amount stays an
interval: this gateway includes it when it reads the sum, and does not add it again.
"""

from __future__ import annotations


class BeatUnits:
    """Units added between two beats, from the sending of the first call to the answer of the last one.

    `used` of the units was passed on; the rest corrected the sum.
    """

    __slots__ = ("answered", "sent", "units", "used")

    def __init__(self, sent: float, answered: float) -> None:
        self.sent, self.answered, self.units, self.used = sent, answered, 0.0, 0.0


class Account:
    """This gateway's record of one name. Units may be negative: an excess that was added is taken back."""

    __slots__ = (
        "confirmed",
        "correction_pending",
        "doubtful_corrections",
        "epoch",
        "last_sum",
        "lost_corrections",
        "lost_usage",
        "lower_reading",
        "provisional_corrections",
        "unconfirmed",
        "unresolved",
        "used_since",
    )

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.confirmed: dict[int, BeatUnits] = {}  # by the beat in which the calls were sent
        self.unconfirmed: dict[int, float] = {}  # calls that may have been added: an answer may still come
        self.unresolved = 0.0  # units that may have been added, and no answer will tell
        self.lost_usage = 0.0  # units passed on that are certainly in no counter
        self.lost_corrections = 0.0  # units of corrections that are certainly in no counter
        self.doubtful_corrections = 0.0  # lost units of corrections that others may already have made up for
        self.provisional_corrections = 0.0  # made while the other half of a split may have made them too
        self.correction_pending = False  # waiting or in flight: another one would correct the sum twice
        self.last_sum = 0.0  # as last read from a counter that had lost nothing
        self.used_since = 0.0  # units passed on from here since that reading
        self.lower_reading: tuple[float, float] | None = None  # sum and time; a later mark proves it true

    @property
    def uncertain_units(self) -> float:
        """The most that may be missing of this gateway's own units; never negative."""
        return (
            max(self.unresolved + sum(self.unconfirmed.values()), 0.0)
            if self.unconfirmed
            else max(self.unresolved, 0.0)
        )

    def confirm(
        self, beat: int, sent: float, answered: float, units: float, used: float, restored: float
    ) -> None:
        """The units are in the counter: `used` were passed on, of which `restored` had been added before."""
        added = self.confirmed.get(beat)
        if added is None:
            added = self.confirmed[beat] = BeatUnits(sent, answered)
        added.sent, added.answered = min(added.sent, sent), max(added.answered, answered)
        added.units += units
        added.used += used
        self.used_since += used - restored

    def record_sum(self, total: float, now: float, good_at: float) -> None:
        """Records a sum that was read. A lower one counts once the counter is proven to have lost nothing."""
        if total >= self.min_sum:
            self.last_sum, self.used_since, self.lower_reading = total, 0.0, None
        elif self.lower_reading is None:
            self.lower_reading = total, now
        elif good_at > self.lower_reading[1]:
            self.last_sum, self.used_since, self.lower_reading = max(total, self.lower_reading[0]), 0.0, None

    def record_loss(self, kept_until: float, lost_from: float, good_at: float, was_split: bool) -> None:
        """The counter went back: it has what arrived up to `kept_until`, and nothing sent after `lost_from`.

        The counter was last seen complete at `good_at`; what was sent later may have arrived before the loss
        or after it. `was_split`: the counter may have been in two halves, each of which corrected its sums.
        """
        self.provisional_corrections = 0.0
        for beat, added in list(self.confirmed.items()):
            if added.answered <= kept_until:
                continue
            del self.confirmed[beat]
            if added.sent >= lost_from and added.answered <= good_at:
                self.lost_usage += added.used
                if not was_split:
                    self.lost_corrections += added.units - added.used
                    continue
            else:
                self.unresolved += added.used
            self.doubtful_corrections += added.units - added.used

    @property
    def min_sum(self) -> float:
        """What the sum must be at least, also where a counter that lost a part of it returns less."""
        return self.last_sum + self.used_since

    def take_lost(self) -> tuple[float, float]:
        """Returns and clears what is to be restored now: units passed on, and units of corrections."""
        lost_usage, self.lost_usage = self.lost_usage, 0.0
        corrections, self.lost_corrections = self.lost_corrections, 0.0
        return lost_usage, corrections

    def reunite(self) -> None:
        """The other half is back and restores what it passed on, which corrections had stood in for."""
        self.lost_corrections -= self.provisional_corrections
        self.doubtful_corrections += self.provisional_corrections
        self.provisional_corrections = 0.0

    def take_missing_corrections(self, total: float) -> float:
        """Returns how much of the doubtful corrections the sum still lacks, and clears them.

        It may lack only a part: while a counter was split, each half corrected its own sum.
        """
        missing, self.doubtful_corrections = min(self.doubtful_corrections, self.last_sum - total), 0.0
        return max(missing, 0.0)

    @property
    def used(self) -> float:
        """Units passed on that are certainly in this counter."""
        return sum(added.used for added in self.confirmed.values())

    @property
    def confirmed_corrections(self) -> float:
        """Units of corrections that are certainly in this counter."""
        return sum(added.units - added.used for added in self.confirmed.values())

    def move_to(self, other: Account) -> None:
        """The name moves to another counter, which may have some units from earlier."""
        other.lost_usage = (
            self.used + self.unresolved + sum(self.unconfirmed.values()) + self.lost_usage - other.used
        )
        other.lost_corrections = max(
            self.confirmed_corrections + self.lost_corrections - other.confirmed_corrections, 0.0
        )
        other.doubtful_corrections += self.doubtful_corrections
        other.unresolved = 0.0
        other.unconfirmed.clear()
        other.last_sum, other.used_since, other.lower_reading = max(other.min_sum, self.min_sum), 0.0, None
        self.lost_usage = self.lost_corrections = self.doubtful_corrections = 0.0
