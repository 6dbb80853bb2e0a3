"""The lease under which a core member may act on behalf of the whole system. No I/O.

A partitioned member can't know whether the others have changed the configuration or the membership.
Therefore it serves the configuration and acknowledges calls of backends only while it holds the lease: while
a quorum read that *began* at most `term` seconds ago has been answered by a majority. The term is measured on
this process's own monotonic clock from the beginning of that read, so that neither clock skew nor a paused
process can extend it (Gray and Cheriton 1989, "Leases").
"""

from __future__ import annotations

LEASE_MARGIN_S = 1.5  # by which a lease outlasts the interval between two quorum reads


class Lease:
    """Tracks until when a majority has confirmed the data that this member holds."""

    def __init__(self) -> None:
        self.renewed_at = float("-inf")
        self.term = LEASE_MARGIN_S

    def set_read_interval(self, read_interval: float) -> None:
        """Derives the term from the interval between two quorum reads, in seconds."""
        self.term = read_interval + LEASE_MARGIN_S

    def renew(self, read_began: float) -> None:
        """Renews the lease after a majority has answered a read that began at `read_began`."""
        self.renewed_at = max(self.renewed_at, read_began)

    def lapsed(self, now: float) -> bool:
        """True if the lease was held before and has expired: the majority has stopped answering."""
        return self.renewed_at > float("-inf") and not self.held(now)

    def held(self, now: float) -> bool:
        """True while this member may act for the system."""
        return now - self.renewed_at <= self.term
