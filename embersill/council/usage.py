"""What one planner has passed on, by customer and period, until billing has it. No I/O.

Use is noted as requests are granted, gathered for `BATCH_EVERY`, and closed into batches with numbers that
grow by one. A batch is offered to the owner of the export until it is confirmed, and kept on disk until
then; what was noted after the last batch is on disk too, by the words of `notes`. A planner that starts with
an empty disk begins a stream of its own: numbers are a stream's, not a planner's.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from embersill.council.journal import Damaged, Journal
from embersill.council.messages import MAX_ENTRIES

BATCH_EVERY = 0.5  # seconds
MOST_BATCHES = 256  # that wait to be confirmed; beyond that use is gathered on, by customer and period

Use = tuple[str, int, float]  # customer, period, units


class Stream(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A record: whose numbers these are, and the last that was closed and confirmed before."""

    name: str
    closed: int
    confirmed: int


class Noted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A record: used since the last one."""

    uses: list[Use]


class Closed(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A record: a batch, and by how much it takes what was noted."""

    number: int
    entries: list[Use]


class Done(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A record: batches up to this one are booked."""

    number: int


Record = Stream | Noted | Closed | Done
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


class Tally:
    """One planner's use. `notes` and `records` are for its journal: the first at once, the others synced."""

    def __init__(self, period: float) -> None:
        """`period`: seconds of the wall clock by which use is told apart."""
        self.period = period
        self.name = ""
        self.sums: dict[tuple[str, int], float] = {}  # noted and not closed
        self.notes: list[Use] = []
        self.records: list[Record] = []
        self.batches: dict[int, list[Use]] = {}  # closed and not confirmed
        self.closed = self.confirmed = 0
        self.safe = 0  # the last batch on disk: before that none is offered, or its number comes again
        self.close_at = 0.0
        self.units = {"noted": 0.0, "closed": 0.0, "confirmed": 0.0}  # of this life

    # the disk

    def load(self, records: Iterable[bytes]) -> None:
        """ValueError for a record that is none; those before it count."""
        for text in records:
            try:
                record = _decoder.decode(text)
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                raise ValueError(f"a record that is none: {error}") from error
            if isinstance(record, Stream):
                if self.name and record.name != self.name:
                    self.batches.clear()
                self.name, self.closed, self.confirmed = record.name, record.closed, record.confirmed
            elif isinstance(record, Noted):
                self.gather(record.uses, 1.0)
            elif isinstance(record, Closed):
                self.closed = record.number
                self.batches[record.number] = record.entries
                self.gather(record.entries, -1.0)
            else:
                self.forget(record.number)

    def begin(self, name: str) -> None:
        """A stream of one's own, where the disk has none."""
        if not self.name:
            self.name = name
            self.records.append(Stream(name, 0, 0))

    def whole(self) -> list[Record]:
        """All that still matters, as a journal that is written anew."""
        noted = [(customer, period, units) for (customer, period), units in self.sums.items()]
        first = min(self.batches, default=self.closed + 1) - 1
        return [Stream(self.name, first, self.confirmed), Noted(noted),
                *(record for number, entries in self.batches.items()
                  for record in (Noted(entries), Closed(number, entries)))]

    # use

    def used(self, customer: str, units: float, wall: float) -> None:
        """Units that were passed on; below nought for such as came to no backend after all."""
        use = customer, int(wall // self.period), units
        self.notes.append(use)
        self.gather((use,), 1.0)
        self.units["noted"] += units

    def gather(self, uses: Iterable[Use], sign: float) -> None:
        for customer, period, units in uses:
            key = customer, period
            left = self.sums.get(key, 0.0) + sign * units
            if abs(left) < 1e-9:
                self.sums.pop(key, None)
            else:
                self.sums[key] = left

    def take_notes(self) -> Noted | None:
        """What was used since the last call, for the disk: to be written before it is acted on."""
        if not self.notes:
            return None
        notes, self.notes = self.notes, []
        return Noted(notes)

    def tick(self, now: float) -> None:
        if now < self.close_at or not self.sums:
            return
        self.close_at = now + BATCH_EVERY
        while self.sums and len(self.batches) < MOST_BATCHES:
            entries = [(customer, period, units)
                       for (customer, period), units in list(self.sums.items())[:MAX_ENTRIES]]
            self.gather(entries, -1.0)
            self.closed += 1
            self.batches[self.closed] = entries
            self.records.append(Closed(self.closed, entries))
            self.units["closed"] += sum(units for _, _, units in entries)

    # the owner

    def offers(self, most: int) -> list[tuple[int, list[Use]]]:
        """The next batches to be booked, in order."""
        numbers = sorted(number for number in self.batches if number <= self.safe)
        return [(number, self.batches[number]) for number in numbers[:most]]

    def confirm(self, number: int) -> None:
        """The owner says that batches up to this one are booked."""
        if number > self.closed:  # the disk was put back: these numbers were used before, for what they say
            self.batches.clear()
            self.name, self.closed, self.confirmed, self.safe = f"{self.name}'", 0, 0, 0
            self.records.append(Stream(self.name, 0, 0))
        elif number > self.confirmed:
            self.records.append(Done(number))
            self.units["confirmed"] += sum(
                units for n, entries in self.batches.items() if n <= number for _, _, units in entries)
            self.forget(number)

    def forget(self, number: int) -> None:
        self.confirmed = max(self.confirmed, number)
        for n in [n for n in self.batches if n <= number]:
            del self.batches[n]

    def status(self) -> dict[str, object]:
        """What an operator watches: `unreported` units are lost if this planner never comes back."""
        waiting = sum(units for entries in self.batches.values() for _, _, units in entries)
        return {"stream": self.name, "closed": self.closed, "confirmed": self.confirmed,
                "unreported": round(waiting + sum(self.sums.values()), 3)}


class UseBook:
    """A tally and its journal. What the disk did not take is written with all the rest as soon as it does.

    The figures stay in memory meanwhile, and are not exported; a process that dies then loses them.
    """

    def __init__(self, journal: Journal, tally: Tally) -> None:
        self.journal, self.tally = journal, tally
        self.why = ""  # the disk's last word, if it was not well

    def open(self, stream: str) -> None:
        """`stream` names the numbers of a new journal. OSError if the disk does not even take that."""
        try:
            self.tally.load(self.journal.open(prefix=True) or ())
        except (Damaged, ValueError) as error:
            self.why = str(error)
            self.tally = Tally(self.tally.period)
        self.tally.begin(stream)
        self.write_anew()

    def write_anew(self) -> None:
        self.journal.rewrite(msgspec.msgpack.encode(record) for record in self.tally.whole())
        self.tally.take_notes()
        self.tally.records.clear()
        self.tally.safe = self.tally.closed

    def note(self) -> bool:
        """Writes what was used since, without a sync: it survives the process. False if the disk is ill."""
        if self.why and not self.mend():
            return False
        noted = self.tally.take_notes()
        return noted is None or self.write([noted], sync=False)

    def settle(self) -> bool:
        """Writes what was closed and confirmed, and syncs it and all before it."""
        if self.why or self.journal.needs_compaction:
            return self.mend()
        closed = self.write_closed()
        if closed is None:
            return not self.why
        try:
            self.journal.sync()
        except OSError as error:
            self.why = error.strerror or "it failed"
            return False
        self.synced(*closed)
        return True

    def write_closed(self) -> tuple[str, int] | None:
        """Writes what was closed and confirmed, without a sync; what to call `synced` with after one.

        None if there is nothing to sync, or the disk is ill.
        """
        records, self.tally.records = self.tally.records, []
        if not records or not self.write(records, sync=False):
            return None
        return self.tally.name, self.tally.closed

    def synced(self, stream: str, closed: int) -> None:
        """All that stood in the journal as `write_closed` ended is on disk: batches up to there may be
        offered."""
        if stream == self.tally.name:
            self.tally.safe = max(self.tally.safe, closed)

    def write(self, records: list[Record], sync: bool) -> bool:
        try:
            self.journal.write([msgspec.msgpack.encode(record) for record in records], sync)
        except OSError as error:
            self.why = error.strerror or "it failed"
            return False
        return True

    def mend(self) -> bool:
        try:
            self.write_anew()
        except OSError as error:
            self.why = error.strerror or "it failed"
            return False
        self.why = ""
        return True
