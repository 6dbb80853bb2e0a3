"""Counts client disconnects before the response was complete, and what became of their attempts. No I/O.

The number of counters in a process is fixed. Durations are measured with the monotonic clock.
"""

from __future__ import annotations

from bisect import bisect_left
from enum import Enum

# upper bounds of the histogram of how long attempts ran on; one more bucket holds all longer ones
RAN_ON_BOUNDS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class LeftBy(Enum):
    """How the gateway noticed that a client's connection had ended."""

    CLOSE = "close"  # the client closed its side of the connection cleanly
    RESET = "reset"  # the connection broke


class ClientDisconnects:
    """The disconnect counters of one process."""

    def __init__(self) -> None:
        self.connections = dict.fromkeys(LeftBy, 0)  # connections that ended with requests in flight
        self.requests = 0  # requests without a complete response when their client left
        self.cancelled = 0  # attempts that were cancelled because of it
        self.unsent = 0  # attempts that were never written to a backend
        self.finished = 0  # attempts that ran to their own end after it
        # histogram of written attempts, by the time from the disconnect to their end
        self.ran_on = [0] * (len(RAN_ON_BOUNDS_S) + 1)
        self.seconds = 0.0  # the sum of these times

    def connection_ended(self, how: LeftBy) -> None:
        """Counts a connection that ended with requests in flight."""
        self.connections[how] += 1

    def attempt_ended(self, seconds: float, *, written: bool, cancelled: bool) -> None:
        """Counts an attempt that ended this long after the client of its request had left."""
        if not written:
            self.unsent += 1
            return
        if cancelled:
            self.cancelled += 1
        else:
            self.finished += 1
        self.ran_on[bisect_left(RAN_ON_BOUNDS_S, seconds)] += 1
        self.seconds += seconds

    def lines(self) -> list[str]:
        """The counters in the Prometheus text format (exposition format 0.0.4), one sample a line."""
        name = "embersill_client_disconnects"
        samples = [f'{name}_total{{how="{how.value}"}} {count}' for how, count in self.connections.items()]
        samples.append(f"{name}_requests_total {self.requests}")
        ends = (("cancelled", self.cancelled), ("unsent", self.unsent), ("finished", self.finished))
        samples += [f'{name}_attempts_total{{end="{end}"}} {count}' for end, count in ends]
        return samples + self.histogram(f"{name}_ran_on_seconds")

    def histogram(self, name: str) -> list[str]:
        """How long attempts ran on after the disconnect, as cumulative buckets."""
        samples, cumulative = [], 0
        for bound, count in zip([*map(str, RAN_ON_BOUNDS_S), "+Inf"], self.ran_on, strict=True):
            cumulative += count
            samples.append(f'{name}_bucket{{le="{bound}"}} {cumulative}')
        return [*samples, f"{name}_sum {self.seconds:.3f}", f"{name}_count {cumulative}"]
