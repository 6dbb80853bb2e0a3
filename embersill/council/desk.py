"""The order between a member's disk and its words: nothing is answered before it is written down. No I/O.

Questions are handled at once and their answers wait for the disk, together with all that came meanwhile: one
sync serves all of them (group commit). Answers go out in the order of their questions, also those that write
nothing, since they may tell what an earlier one has written.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from embersill.council.journal import Journal
from embersill.council.messages import Answer, Ask
from embersill.council.seat import Seat

MOST_WAITING = 4096  # answers that wait for the disk: further questions are dropped, and asked again

Say = Callable[[Answer], None]


@dataclass(frozen=True, slots=True)
class Batch:
    """What is to be written in one go. `anew`: in place of the whole journal."""

    records: list[bytes]
    anew: bool
    mark: int
    answers: list[tuple[Answer, Say]]

    def save(self, journal: Journal) -> None:
        """On disk once this returns. OSError as the system raises it."""
        if self.anew:
            journal.rewrite(self.records)
        elif self.records:
            journal.write(self.records)


class Desk:
    """Between a seat and its disk. One batch is under way at a time: `take`, write it, then `written`."""

    def __init__(self, seat: Seat) -> None:
        self.seat, self.register = seat, seat.register
        self.waiting: list[tuple[Answer, Say]] = []
        self.busy = False
        self.anew = not seat.register.memory_complete  # there is no journal that could be gone on with
        self.broken = ""  # the disk's last word: from then on nothing is answered
        seat.member.on_learned = self.learned

    def learned(self) -> None:
        self.anew = True

    def handle(self, ask: Ask, say: Say, now: float) -> None:
        """`say` is called with the answer once it may be given, or never."""
        if not self.broken and len(self.waiting) < MOST_WAITING:
            self.waiting.append((self.seat.handle(ask, now), say))

    def take(self, grown: bool = False) -> Batch | None:
        """The next batch, if there is anything to write or to say and none is under way.

        `grown`: the journal is to be written anew with all that still matters.
        """
        register = self.register
        if self.busy or self.broken or not (self.waiting or register.records):
            return None
        records, register.records = register.records, []
        if not register.memory_complete:  # what it meets while it has no memory need not be kept
            records = []
        anew = (self.anew or grown) and register.memory_complete
        if anew:
            self.anew = False
            records = [register.snapshot()]
        answers, self.waiting = self.waiting, []
        self.busy = True
        return Batch([msgspec.msgpack.encode(record) for record in records], anew, register.mark, answers)

    def written(self, batch: Batch) -> None:
        """It is on disk: its answers may go."""
        self.busy = False
        self.register.mark_durable(batch.mark)
        for answer, say in batch.answers:
            say(answer)

    def failed(self, why: str) -> None:
        """The disk does not take it: this member has no vote any more, and answers nothing."""
        self.busy, self.broken = False, why
        self.register.votes = False
        self.register.retired = True
        self.seat.member.why = f"its disk: {why}"
        self.waiting.clear()

    def may_speak(self) -> bool:
        """Under this life: it is on disk, so that the next life can't have the same number."""
        return self.register.life_mark <= self.register.durable_mark
