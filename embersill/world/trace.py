"""Traces: the events of a run in order, to be read, compared, and checked by the oracles.

An event is a typed record (`embersill/world/records.py`). Two runs of the same seed must have the same trace,
byte for byte, on any machine and with any hash seed; `Trace.digest` reduces that to one comparison.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator

from embersill.world.records import Record


class Trace:
    """The records of a run in order; listeners get each one immediately.

    With `keep` False the records are not stored: a run that is only checked needs no memory for them.
    """

    def __init__(self, keep: bool = True) -> None:
        self.keep = keep
        self.records: list[Record] = []
        self.listeners: list[Callable[[Record], None]] = []

    def add(self, record: Record) -> None:
        """Appends a record and notifies the listeners."""
        if self.keep:
            self.records.append(record)
        for listener in self.listeners:
            listener(record)

    def lines(self) -> Iterator[str]:
        """Yields the trace as text, one line per record."""
        for record in self.records:
            yield line_of(record)

    def digest(self) -> str:
        """Returns the SHA-256 digest of the lines in hexadecimal."""
        hasher = hashlib.sha256()
        for line in self.lines():
            hasher.update(line.encode() + b"\n")
        return hasher.hexdigest()


def line_of(record: Record) -> str:
    """Formats a record as one line: time, type, fields by name. Floats by repr, so that no digit is lost."""
    fields = " ".join(f"{name}={value!r}" for name, value in zip(record._fields[1:], record[1:], strict=True))
    return f"{record[0]!r} {type(record).__name__} {fields}"


def first_difference(before: list[str], after: list[str]) -> str:
    """Shows the first difference of two traces and up to three lines ahead of it; empty if they are equal."""
    for number, (left, right) in enumerate(zip(before, after, strict=False)):
        if left != right:
            context = "\n".join(f"  {line}" for line in before[max(0, number - 3) : number])
            return f"{context}\nline {number + 1}\n- {left}\n+ {right}"
    if len(before) != len(after):
        longer, sign = (before, "-") if len(before) > len(after) else (after, "+")
        return f"line {min(len(before), len(after)) + 1}\n{sign} {longer[min(len(before), len(after))]}"
    return ""
