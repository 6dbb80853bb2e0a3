"""Group commit: holds answers back until the journal records behind them are on disk. No I/O.

Requests are handled at once, and their answers wait for the disk together with all that arrive meanwhile, so
that one sync serves all of them. Answers are sent in the order of their requests, including those that wrote
nothing, since they may contain what an earlier request has written.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from embersill.council.core import CouncilCore
from embersill.council.journal import Journal
from embersill.council.messages import Answer, Request

MAX_WAITING_ANSWERS = 4096  # for the disk; beyond it requests are dropped, and their senders retry

SendAnswer = Callable[[Answer], None]


@dataclass(frozen=True, slots=True)
class Batch:
    """Records to write at once, and the answers that wait for them. `compact`: they replace the journal."""

    records: list[bytes]
    compact: bool
    mark: int
    answers: list[tuple[Answer, SendAnswer]]

    def save(self, journal: Journal) -> None:
        """Writes and syncs the records. OSError as the system raises it."""
        if self.compact:
            journal.rewrite(self.records)
        elif self.records:
            journal.write(self.records)


class GroupCommit:
    """Puts the disk between a member's requests and its answers. One batch is written at a time:
    `next_batch`, write it, then `batch_written`."""

    def __init__(self, core: CouncilCore) -> None:
        self.core, self.register = core, core.register
        self.waiting: list[tuple[Answer, SendAnswer]] = []
        self.writing = False
        # without complete state there is no journal to append to
        self.compact = not core.register.memory_complete
        self.disk_error = ""  # once set, no request is answered any more
        core.member.on_recovered = self.on_recovered

    def on_recovered(self) -> None:
        """The state was recovered from other members: the next batch rewrites the journal with it."""
        self.compact = True

    def handle(self, request: Request, send: SendAnswer, now: float) -> None:
        """Handles a request; `send` is called with the answer once it may be sent, or never."""
        if not self.disk_error and len(self.waiting) < MAX_WAITING_ANSWERS:
            self.waiting.append((self.core.handle(request, now), send))

    def next_batch(self, needs_compaction: bool = False) -> Batch | None:
        """The next batch, if there is anything to write or to send and no batch is being written.

        `needs_compaction`: the journal is to be rewritten with only what still matters.
        """
        register = self.register
        if self.writing or self.disk_error or not (self.waiting or register.records):
            return None
        records, register.records = register.records, []
        if not register.memory_complete:  # lives learned before the state is recovered need not be stored
            records = []
        compact = (self.compact or needs_compaction) and register.memory_complete
        if compact:
            self.compact = False
            records = [register.snapshot()]
        answers, self.waiting = self.waiting, []
        self.writing = True
        return Batch([msgspec.msgpack.encode(record) for record in records], compact, register.mark, answers)

    def batch_written(self, batch: Batch) -> None:
        """The batch is on disk: sends its answers."""
        self.writing = False
        self.register.mark_durable(batch.mark)
        for answer, send in batch.answers:
            send(answer)

    def disk_failed(self, reason: str) -> None:
        """A write failed: this member loses its vote and answers no more requests."""
        self.writing, self.disk_error = False, reason
        self.register.votes = False
        self.register.retired = True
        self.core.member.reason = f"its disk: {reason}"
        self.waiting.clear()

    def may_send(self) -> bool:
        """Whether this life is on disk. Before that nothing may be sent, or a restart could begin another
        life with the same number."""
        return self.register.life_mark <= self.register.durable_mark
