"""Fences at whoever an office acts upon: the highest number goes, and whoever comes late is refused. No I/O.

The helper of all receivers: `Fence.check` before anything is done. It knows what a receiver has taken so far
and, where the receiver is a member of the council, what the register says of the office.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from embersill.council.messages import Act


Known = Callable[[str], tuple[int, str]]  # an office's number and holder, as the register showed them last


class Why(Enum):
    """Why an act is refused; TAKEN if it is not."""

    TAKEN = ""
    OLD = "the office was given up, or another holds it by now"
    REPEATED = "this act or a later one was taken"
    UNKNOWN = "nobody is known to have held the office under that number yet"
    STRANGER = "somebody else holds the office under that number"
    NO_OFFICE = "there is no such office"


class Fence:
    """What one receiver has taken of each office. `offices` bounds what it remembers."""

    def __init__(self, offices: frozenset[str]) -> None:
        self.offices = offices
        self.highest: dict[str, tuple[int, int]] = {}  # number and sequence, by office
        self.owners: dict[str, str] = {}  # who acted under the highest number
        self.counts = {why.name.lower(): 0 for why in Why}

    def check(self, act: Act, sender: str, known: Known) -> Why:
        """Takes an act, or says why not.

        A number that the register has not shown here yet is UNKNOWN: whoever checks has to read the office,
        and the sender to come again. So a figure from nowhere moves nothing.
        """
        why = self.judge(act, sender, known)
        self.counts[why.name.lower()] += 1
        if why is Why.TAKEN:
            self.highest[act.office] = act.number, act.sequence
            self.owners[act.office] = sender
        return why

    def judge(self, act: Act, sender: str, known: Known) -> Why:
        if act.office not in self.offices:
            return Why.NO_OFFICE
        number, sequence = self.highest.get(act.office, (0, 0))
        seen, holder = known(act.office)
        if act.number < max(number, seen):
            return Why.OLD
        if act.number > seen:
            return Why.UNKNOWN
        if not holder:
            return Why.OLD  # it was given up
        if holder != sender or act.number == number and self.owners.get(act.office) != sender:
            return Why.STRANGER
        if act.number == number and act.sequence <= sequence:
            return Why.REPEATED
        return Why.TAKEN

    def refused(self) -> int:
        return sum(count for name, count in self.counts.items() if name != "taken")
