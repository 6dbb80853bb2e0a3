"""The lease under which a member of the core speaks for the whole system. No I/O.

A member that is cut off can't know whether the others have changed the configuration or the members. So it
hands out the configuration and acknowledges calls of backends only while a majority has vouched for what it
holds: while a quorum read that *began* at most `term` ago has been answered. The term is counted on this
process's own steady clock from the beginning of that read, so that neither clocks that disagree nor a process
that stood still can lengthen it (Gray and Cheriton 1989, "Leases").
"""

from __future__ import annotations

LEASE_SLACK = 1.5  # seconds by which a lease outlasts the interval between two quorum reads


class Lease:
    """Until when what this member holds is vouched for by a majority."""

    def __init__(self) -> None:
        self.vouched_at = float("-inf")
        self.term = LEASE_SLACK

    def follow(self, read_interval: float) -> None:
        """Takes the interval between two quorum reads, in seconds, as the basis of the term."""
        self.term = read_interval + LEASE_SLACK

    def renew(self, read_began: float) -> None:
        """A majority has answered a read that began at `read_began`."""
        self.vouched_at = max(self.vouched_at, read_began)

    def lapsed(self, now: float) -> bool:
        """True once it was held and is no more: a majority that was there does not answer."""
        return self.vouched_at > float("-inf") and not self.held(now)

    def held(self, now: float) -> bool:
        """True while this member may speak for the system."""
        return now - self.vouched_at <= self.term
