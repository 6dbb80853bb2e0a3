"""Backends that leave, and when their calls are acknowledged. No I/O.

A backend stops serving soon after the acknowledgement. So that needs two things: all gateways linked here
know of the departure, or did not acknowledge it in time; and a majority of the core has answered a query
that was sent after the news. A member that is cut off has neither and refuses the call, so that the backend
asks another gateway: the gateways with a connection to the core may still send requests to it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from embersill.edge.verdict import Verdict, done, refused

ACK_TIMEOUT_S = 0.5  # longest wait for the gateways' acknowledgements
MAJORITY_TIMEOUT_S = 0.8  # longest wait for a majority: the backend asks another gateway after 1 s
ACK_RETENTION_S = 60.0  # how long an acknowledged departure is remembered
NO_MAJORITY = "no majority of the core answers here: ask another gateway"

Answered = Callable[[Verdict], None]
Confirm = Callable[[Callable[[bool], None]], None]


@dataclass(frozen=True, slots=True)
class Leaving:
    """A backend's announcement: its id, and the state that it is in from now on."""

    name: str
    state: str


@dataclass(slots=True)
class Departure:
    """A backend's calls with one announcement, while they wait for the acknowledgement."""

    leaving: Leaving
    number: int  # of the news message
    waits_for: set[str]  # gateways that have not acknowledged it
    until: float  # deadline for them
    given_up_at: float  # deadline for the majority
    answers: list[Answered]
    confirmed: bool = False


class Departures:
    """The departures that backends announced to this member."""

    def __init__(self) -> None:
        self.confirm: Confirm = lambda ended: ended(
            True
        )  # asks whether a majority still vouches for this member
        self.open: dict[Leaving, Departure] = {}
        self.acknowledged: dict[Leaving, float] = {}  # and when

    def joins(self, leaving: Leaving, answered: Answered) -> bool:
        """Adds a repeated call to the departure that it repeats; False if none is open."""
        departure = self.open.get(leaving)
        if departure is not None:
            departure.answers.append(answered)
        return departure is not None

    def begin(
        self, leaving: Leaving, number: int, gateways: Iterable[str], answered: Answered, now: float
    ) -> None:
        """Opens a departure after its news was sent to these gateways under that number."""
        departure = Departure(
            leaving, number, set(gateways), now + ACK_TIMEOUT_S, now + MAJORITY_TIMEOUT_S, [answered]
        )
        self.open[leaving] = departure

        def confirmed(good: bool) -> None:
            departure.confirmed = good
            self.settle(departure, now)

        self.confirm(confirmed)

    def acked(self, gateway: str, number: int, now: float) -> None:
        """Handles a gateway's acknowledgement of the news with that number."""
        for departure in list(self.open.values()):
            if departure.number == number:
                departure.waits_for.discard(gateway)
                self.settle(departure, now)

    def unlinked(self, gateway: str, now: float) -> None:
        """Stops waiting for a gateway that is not linked any more."""
        for departure in list(self.open.values()):
            departure.waits_for.discard(gateway)
            self.settle(departure, now)

    def settle(self, departure: Departure, now: float) -> None:
        """Answers the calls as soon as the result is certain."""
        if departure.leaving not in self.open:
            return
        if departure.confirmed and (not departure.waits_for or now >= departure.until):
            self.acknowledged[departure.leaving] = now
            self.end(departure, done())
        elif now >= departure.given_up_at:
            self.end(departure, refused(503, NO_MAJORITY))

    def end(self, departure: Departure, verdict: Verdict) -> None:
        """Closes a departure and answers all calls that wait for it."""
        del self.open[departure.leaving]
        for answered in departure.answers:
            answered(verdict)

    def tick(self, now: float) -> None:
        """Handles deadlines, and forgets old acknowledgements."""
        for departure in list(self.open.values()):
            self.settle(departure, now)
        for leaving, since in list(self.acknowledged.items()):
            if now - since > ACK_RETENTION_S:
                del self.acknowledged[leaving]
