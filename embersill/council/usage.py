"""The usage that one planner has granted, by customer and period, until it is booked at billing. No I/O.

Usage is counted as requests are granted, accumulated for `BATCH_INTERVAL_S`, and closed into batches numbered
consecutively. A batch is offered to the owner of the export, and kept on disk, until it is confirmed; usage
counted since the last batch is written to disk too (`notes`). A planner that starts with an empty disk begins
a new stream: batch numbers belong to a stream, not to a planner.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from embersill.council.journal import Damaged, Journal
from embersill.council.messages import MAX_ENTRIES

BATCH_INTERVAL_S = 0.5
MAX_BATCHES = 256  # waiting for confirmation; beyond that usage goes on accumulating by customer and period

UsageEntry = tuple[str, int, float]  # customer, period, units


class StreamRecord(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Journal record: the stream's name, and the last batches closed and confirmed before."""

    name: str
    closed: int
    confirmed: int


class UsageRecord(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Journal record: the usage since the last such record."""

    uses: list[UsageEntry]


class BatchRecord(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Journal record: a closed batch, whose entries are subtracted from the accumulated usage."""

    number: int
    entries: list[UsageEntry]


class ConfirmedRecord(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Journal record: batches up to this one are booked."""

    number: int


Record = StreamRecord | UsageRecord | BatchRecord | ConfirmedRecord
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


class Tally:
    """One planner's usage. `notes` and `records` go to its journal: the former at once, the latter synced."""

    def __init__(self, period: float) -> None:
        """`period`: seconds of the wall clock by which usage is aggregated."""
        self.period = period
        self.name = ""
        self.sums: dict[tuple[str, int], float] = {}  # counted and not closed
        self.notes: list[UsageEntry] = []
        self.records: list[Record] = []
        self.batches: dict[int, list[UsageEntry]] = {}  # closed and not confirmed
        self.closed = self.confirmed = 0
        self.durable_batch = (
            0  # the last batch on disk; later ones are not offered, since a crash would reuse their numbers
        )
        self.close_at = 0.0
        self.units = {"noted": 0.0, "closed": 0.0, "confirmed": 0.0}  # since the start

    # the disk

    def load(self, records: Iterable[bytes]) -> None:
        """Loads a journal's records; ValueError for an undecodable one, after those before it were loaded."""
        for data in records:
            try:
                record = _decoder.decode(data)
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                raise ValueError(f"undecodable journal record: {error}") from error
            if isinstance(record, StreamRecord):
                if self.name and record.name != self.name:
                    self.batches.clear()
                self.name, self.closed, self.confirmed = record.name, record.closed, record.confirmed
            elif isinstance(record, UsageRecord):
                self.accumulate(record.uses, 1.0)
            elif isinstance(record, BatchRecord):
                self.closed = record.number
                self.batches[record.number] = record.entries
                self.accumulate(record.entries, -1.0)
            else:
                self.forget(record.number)

    def begin_stream(self, name: str) -> None:
        """Begins a new stream, unless the disk has one."""
        if not self.name:
            self.name = name
            self.records.append(StreamRecord(name, 0, 0))

    def snapshot(self) -> list[Record]:
        """The records with which a rewritten journal begins: all that still matters."""
        noted = [(customer, period, units) for (customer, period), units in self.sums.items()]
        first = min(self.batches, default=self.closed + 1) - 1
        return [
            StreamRecord(self.name, first, self.confirmed),
            UsageRecord(noted),
            *(
                record
                for number, entries in self.batches.items()
                for record in (UsageRecord(entries), BatchRecord(number, entries))
            ),
        ]

    # usage

    def add(self, customer: str, units: float, wall: float) -> None:
        """Counts granted units; negative for units that reached no backend after all."""
        use = customer, int(wall // self.period), units
        self.notes.append(use)
        self.accumulate((use,), 1.0)
        self.units["noted"] += units

    def accumulate(self, uses: Iterable[UsageEntry], sign: float) -> None:
        """Adds entries to the accumulated usage, or subtracts them."""
        for customer, period, units in uses:
            key = customer, period
            left = self.sums.get(key, 0.0) + sign * units
            if abs(left) < 1e-9:
                self.sums.pop(key, None)
            else:
                self.sums[key] = left

    def take_notes(self) -> UsageRecord | None:
        """The usage since the last call, to be written to disk before the grants are sent."""
        if not self.notes:
            return None
        notes, self.notes = self.notes, []
        return UsageRecord(notes)

    def tick(self, now: float) -> None:
        """Closes the accumulated usage into batches when it is time."""
        if now < self.close_at or not self.sums:
            return
        self.close_at = now + BATCH_INTERVAL_S
        while self.sums and len(self.batches) < MAX_BATCHES:
            entries = [
                (customer, period, units)
                for (customer, period), units in list(self.sums.items())[:MAX_ENTRIES]
            ]
            self.accumulate(entries, -1.0)
            self.closed += 1
            self.batches[self.closed] = entries
            self.records.append(BatchRecord(self.closed, entries))
            self.units["closed"] += sum(units for _, _, units in entries)

    # the export's owner

    def offers(self, most: int) -> list[tuple[int, list[UsageEntry]]]:
        """The next `most` batches to be booked, in order."""
        numbers = sorted(number for number in self.batches if number <= self.durable_batch)
        return [(number, self.batches[number]) for number in numbers[:most]]

    def confirm(self, number: int) -> None:
        """The owner has confirmed that batches up to this one are booked."""
        if number > self.closed:  # the disk was restored: these numbers were already used for other batches
            self.batches.clear()
            self.name, self.closed, self.confirmed, self.durable_batch = f"{self.name}'", 0, 0, 0
            self.records.append(StreamRecord(self.name, 0, 0))
        elif number > self.confirmed:
            self.records.append(ConfirmedRecord(number))
            self.units["confirmed"] += sum(
                units for n, entries in self.batches.items() if n <= number for _, _, units in entries
            )
            self.forget(number)

    def forget(self, number: int) -> None:
        """Drops confirmed batches."""
        self.confirmed = max(self.confirmed, number)
        for n in [n for n in self.batches if n <= number]:
            del self.batches[n]

    def status(self) -> dict[str, object]:
        """Figures for operators: `unreported` units are lost if this planner never restarts."""
        waiting = sum(units for entries in self.batches.values() for _, _, units in entries)
        return {
            "stream": self.name,
            "closed": self.closed,
            "confirmed": self.confirmed,
            "unreported": round(waiting + sum(self.sums.values()), 3),
        }


class UsageJournal:
    """A tally and its journal. After a failed write the whole journal is rewritten once the disk works again.

    Until then the usage stays in memory and is not exported; it is lost if the process dies.
    """

    def __init__(self, journal: Journal, tally: Tally) -> None:
        self.journal, self.tally = journal, tally
        self.disk_error = ""  # of the last read or write, if it failed

    def open(self, stream: str) -> None:
        """Loads the journal. `stream`: the name of the stream if a new one begins. OSError if the disk cannot
        be written."""
        try:
            self.tally.load(self.journal.open(prefix=True) or ())
        except (Damaged, ValueError) as error:
            self.disk_error = str(error)
            self.tally = Tally(self.tally.period)
        self.tally.begin_stream(stream)
        self.rewrite_all()

    def rewrite_all(self) -> None:
        """Replaces the journal by all that still matters."""
        self.journal.rewrite(msgspec.msgpack.encode(record) for record in self.tally.snapshot())
        self.tally.take_notes()
        self.tally.records.clear()
        self.tally.durable_batch = self.tally.closed

    def write_notes(self) -> bool:
        """Writes new usage without a sync: it survives the process, not the machine. False if that failed."""
        if self.disk_error and not self.repair():
            return False
        noted = self.tally.take_notes()
        return noted is None or self.write([noted], sync=False)

    def sync_batches(self) -> bool:
        """Writes closed batches and confirmations, and syncs the journal."""
        if self.disk_error or self.journal.needs_compaction:
            return self.repair()
        closed = self.write_batches()
        if closed is None:
            return not self.disk_error
        try:
            self.journal.sync()
        except OSError as error:
            self.disk_error = error.strerror or "write failed"
            return False
        self.on_synced(*closed)
        return True

    def write_batches(self) -> tuple[str, int] | None:
        """Writes closed batches and confirmations without a sync; returns the arguments for `on_synced`.

        None if there is nothing to sync, or the write failed.
        """
        records, self.tally.records = self.tally.records, []
        if not records or not self.write(records, sync=False):
            return None
        return self.tally.name, self.tally.closed

    def on_synced(self, stream: str, closed: int) -> None:
        """Everything that `write_batches` wrote is on disk: batches up to `closed` may be offered."""
        if stream == self.tally.name:
            self.tally.durable_batch = max(self.tally.durable_batch, closed)

    def write(self, records: list[Record], sync: bool) -> bool:
        """Appends records to the journal; False if that failed."""
        try:
            self.journal.write([msgspec.msgpack.encode(record) for record in records], sync)
        except OSError as error:
            self.disk_error = error.strerror or "write failed"
            return False
        return True

    def repair(self) -> bool:
        """Tries to rewrite the journal; False if that failed."""
        try:
            self.rewrite_all()
        except OSError as error:
            self.disk_error = error.strerror or "write failed"
            return False
        self.disk_error = ""
        return True
