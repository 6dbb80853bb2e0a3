"""Counts of clients that left before they had their answers, and of what went on for them. No I/O.

Sizes: a fixed number of counters a process. Seconds are those of the steady clock.
"""

from __future__ import annotations

from bisect import bisect_left
from enum import Enum

# upper bounds in seconds of the buckets for how long an attempt ran on; a last bucket is above all of them
RAN_ON_BOUNDS = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class LeftBy(Enum):
    """How the end of a client's connection was seen."""

    CLOSE = "close"  # the client ended its side of the connection in order
    RESET = "reset"  # the connection broke


class ClientDisconnects:
    """Counters of one process."""

    def __init__(self) -> None:
        self.connections = dict.fromkeys(LeftBy, 0)  # those that ended with requests under way
        self.requests = 0  # that had no whole answer when their client left
        self.cancelled = 0  # attempts that were broken off for it
        self.unsent = 0  # attempts that were not written any more
        self.finished = 0  # attempts that came to their own end after it
        self.ran_on = [0] * (
            len(RAN_ON_BOUNDS) + 1
        )  # written attempts, by seconds from the leave to their end
        self.seconds = 0.0  # the sum of these

    def connection_ended(self, how: LeftBy) -> None:
        """A connection with requests under way has ended."""
        self.connections[how] += 1

    def attempt_ended(self, seconds: float, *, written: bool, cancelled: bool) -> None:
        """An attempt has ended this long after the client of its request had left."""
        if not written:
            self.unsent += 1
            return
        if cancelled:
            self.cancelled += 1
        else:
            self.finished += 1
        self.ran_on[bisect_left(RAN_ON_BOUNDS, seconds)] += 1
        self.seconds += seconds

    def lines(self) -> list[str]:
        """The counters in the text format of Prometheus (exposition format 0.0.4), a line each."""
        name = "embersill_client_disconnects"
        told = [f'{name}_total{{how="{how.value}"}} {count}' for how, count in self.connections.items()]
        told.append(f"{name}_requests_total {self.requests}")
        ends = (("cancelled", self.cancelled), ("unsent", self.unsent), ("finished", self.finished))
        told += [f'{name}_attempts_total{{end="{end}"}} {count}' for end, count in ends]
        return told + self.histogram(f"{name}_ran_on_seconds")

    def histogram(self, name: str) -> list[str]:
        """How long attempts ran on, as cumulative buckets."""
        told, below = [], 0
        for bound, count in zip([*map(str, RAN_ON_BOUNDS), "+Inf"], self.ran_on, strict=True):
            below += count
            told.append(f'{name}_bucket{{le="{bound}"}} {below}')
        return [*told, f"{name}_sum {self.seconds:.3f}", f"{name}_count {below}"]
