"""What this gateway has added to one running sum, to be told anew if the counter loses it. No I/O.

An amount is surely in the counter, surely not, or one of the two and nobody knows which. The last kind stays
an interval: this gateway counts it where it reads the sum, and does not tell it again.
"""

from __future__ import annotations


class Spell:
    """What was added between two beats: from the first call's sending to the last one's answer.

    `used` of the units was passed on; the rest put the sum right.
    """

    __slots__ = ("answered", "sent", "units", "used")

    def __init__(self, sent: float, answered: float) -> None:
        self.sent, self.answered, self.units, self.used = sent, answered, 0.0, 0.0


class Account:
    """One name's. Units may be below nought: what was told too much is taken back."""

    __slots__ = (
        "blurred",
        "epoch",
        "high",
        "lower",
        "maybe",
        "owed",
        "owed_right",
        "provisional",
        "righting",
        "since",
        "spells",
        "unrighted",
    )

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.spells: dict[int, Spell] = {}  # confirmed, by the beat in which it was sent
        self.maybe: dict[int, float] = {}  # calls that may have been added: their answers may still come
        self.blurred = 0.0  # units that nobody will tell of
        self.owed = 0.0  # units passed on that are surely in no counter
        self.owed_right = 0.0  # units of corrections that are in none
        self.unrighted = 0.0  # of those, what may have been put right otherwise
        self.provisional = 0.0  # units of corrections made while another half may have made them too
        self.righting = False  # a correction waits or is out: another would put the sum right twice
        self.high = 0.0  # the sum as it was read last from a counter that had lost nothing
        self.since = 0.0  # units passed on from here since then
        self.lower: tuple[float, float] | None = None  # a lower one, and when: proven true by a later mark

    @property
    def unsure(self) -> float:
        """The upper end of what may be missing of this gateway's own; never below nought."""
        return max(self.blurred + sum(self.maybe.values()), 0.0) if self.maybe else max(self.blurred, 0.0)

    def confirm(
        self, beat: int, sent: float, answered: float, units: float, used: float, again: float
    ) -> None:
        """Units are there now: `used` of them were passed on, `again` of these were told before."""
        spell = self.spells.get(beat)
        if spell is None:
            spell = self.spells[beat] = Spell(sent, answered)
        spell.sent, spell.answered = min(spell.sent, sent), max(spell.answered, answered)
        spell.units += units
        spell.used += used
        self.since += used - again

    def read(self, total: float, now: float, good_at: float) -> None:
        """Notes a sum as it was read. A lower one stands once the counter is proven to have lost nothing."""
        if total >= self.least:
            self.high, self.since, self.lower = total, 0.0, None
        elif self.lower is None:
            self.lower = total, now
        elif good_at > self.lower[1]:
            self.high, self.since, self.lower = max(total, self.lower[0]), 0.0, None

    def lose(self, kept_until: float, lost_from: float, good_at: float, halved: bool) -> None:
        """The counter went back: it has what came up to `kept_until`, and not what came after `lost_from`.

        What was sent after `good_at`, when it was last seen to be whole, may have come to it before or after.
        `halved`: it may have been in two halves meanwhile, each of which put its own sums right.
        """
        self.provisional = 0.0
        for beat, spell in list(self.spells.items()):
            if spell.answered <= kept_until:
                continue
            del self.spells[beat]
            if spell.sent >= lost_from and spell.answered <= good_at:
                self.owed += spell.used
                if not halved:
                    self.owed_right += spell.units - spell.used
                    continue
            else:
                self.blurred += spell.used
            self.unrighted += spell.units - spell.used

    @property
    def least(self) -> float:
        """What the sum must be at least, whatever a counter says that has lost some of it."""
        return self.high + self.since

    def take_owed(self) -> tuple[float, float]:
        """What is to be told anew now: units passed on, and units of corrections."""
        owed, self.owed = self.owed, 0.0
        right, self.owed_right = self.owed_right, 0.0
        return owed, right

    def reunite(self) -> None:
        """The other half is back and tells what it passed on: corrections meanwhile stood for that too."""
        self.owed_right -= self.provisional
        self.unrighted += self.provisional
        self.provisional = 0.0

    def still_unrighted(self, total: float) -> float:
        """What of the lost corrections the sum wants still, as it stands; asked once.

        Not all: while a counter was in halves, each half put its own sum right.
        """
        wanted, self.unrighted = min(self.unrighted, self.high - total), 0.0
        return max(wanted, 0.0)

    @property
    def used(self) -> float:
        """Units passed on that are surely in this counter."""
        return sum(spell.used for spell in self.spells.values())

    @property
    def corrected(self) -> float:
        """Units there that put the sum right."""
        return sum(spell.units - spell.used for spell in self.spells.values())

    def move_to(self, other: Account) -> None:
        """The name goes to another counter, which may have some units from earlier."""
        other.owed = self.used + self.blurred + sum(self.maybe.values()) + self.owed - other.used
        other.owed_right = max(self.corrected + self.owed_right - other.corrected, 0.0)
        other.unrighted += self.unrighted
        other.blurred = 0.0
        other.maybe.clear()
        other.high, other.since, other.lower = max(other.least, self.least), 0.0, None
        self.owed = self.owed_right = self.unrighted = 0.0
