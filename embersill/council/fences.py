"""Fencing at the receivers of an office's actions: actions under an outdated number are refused. No I/O.

Every receiver calls `Fence.check` before it acts. The fence knows what the receiver has accepted so far and,
if the receiver is a member of the council, the office's holder according to the register.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from embersill.council.messages import Act


OfficeLookup = Callable[[str], tuple[int, str]]  # an office's number and holder, as last seen in the register


class FenceResult(Enum):
    """Why an action is refused; TAKEN if it is accepted."""

    TAKEN = ""
    OLD = "the office was given up, or another holds it by now"
    REPEATED = "this act or a later one was taken"
    UNKNOWN = "nobody is known to have held the office under that number yet"
    STRANGER = "somebody else holds the office under that number"
    NO_OFFICE = "there is no such office"


class Fence:
    """The actions that one receiver has accepted, by office. `offices`: those that it accepts actions of."""

    def __init__(self, offices: frozenset[str]) -> None:
        self.offices = offices
        self.highest: dict[str, tuple[int, int]] = {}  # number and sequence, by office
        self.owners: dict[str, str] = {}  # the sender under the highest number
        self.counts = {result.name.lower(): 0 for result in FenceResult}

    def check(self, act: Act, sender: str, lookup: OfficeLookup) -> FenceResult:
        """Accepts an action, or returns why it is refused.

        A number that this member has not seen in the register yet is UNKNOWN: the receiver has to read the
        office, and the sender to repeat the action. So a made-up number has no effect.
        """
        result = self.evaluate(act, sender, lookup)
        self.counts[result.name.lower()] += 1
        if result is FenceResult.TAKEN:
            self.highest[act.office] = act.number, act.sequence
            self.owners[act.office] = sender
        return result

    def evaluate(self, act: Act, sender: str, lookup: OfficeLookup) -> FenceResult:
        """The result for an action, without accepting it."""
        if act.office not in self.offices:
            return FenceResult.NO_OFFICE
        number, sequence = self.highest.get(act.office, (0, 0))
        known_number, holder = lookup(act.office)
        if act.number < max(number, known_number):
            return FenceResult.OLD
        if act.number > known_number:
            return FenceResult.UNKNOWN
        if not holder:
            return FenceResult.OLD  # it was released
        if holder != sender or act.number == number and self.owners.get(act.office) != sender:
            return FenceResult.STRANGER
        if act.number == number and act.sequence <= sequence:
            return FenceResult.REPEATED
        return FenceResult.TAKEN

    def refused(self) -> int:
        """How many actions were refused."""
        return sum(count for name, count in self.counts.items() if name != "taken")
