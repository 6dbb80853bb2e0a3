"""Backends that leave: when their calls are acknowledged. No I/O.

A backend that has been acknowledged stops serving soon after. So the acknowledgement takes two things: all
gateways linked here know of it, or have had their time; and a majority of the core has answered a question
that was asked after the news went out. A member that is cut off has neither, and sends the backend elsewhere:
gateways that are in touch may still send there.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from embersill.edge.verdict import Verdict, done, refused

ACKED_WITHIN = 0.5  # seconds that a leaving backend waits for the gateways' word, at most
GIVEN_UP_AFTER = 0.8  # seconds that it waits for a majority's: its caller goes elsewhere after one
REMEMBERED_FOR = 60.0  # seconds for which it is known that all gateways were told
NO_MAJORITY = "no majority of the core answers here: ask another gateway"

Answered = Callable[[Verdict], None]
Confirm = Callable[[Callable[[bool], None]], None]


@dataclass(frozen=True, slots=True)
class Leaving:
    """What a backend has said: its id, and the state that it is in from now on."""

    name: str
    state: str


@dataclass(slots=True)
class Departure:
    """Calls with one and the same word of a backend that wait for their acknowledgement."""

    leaving: Leaving
    number: int  # of the news
    waits_for: set[str]  # gateways
    until: float  # they have had their time by then
    given_up_at: float
    answers: list[Answered]
    confirmed: bool = False


class Departures:
    """The departures that this member was told of by the backends themselves."""

    def __init__(self) -> None:
        self.confirm: Confirm = lambda ended: ended(True)  # asks whether a majority vouches from now on
        self.open: dict[Leaving, Departure] = {}
        self.acknowledged: dict[Leaving, float] = {}  # since when

    def joins(self, leaving: Leaving, answered: Answered) -> bool:
        """A call that was sent again while the first one waits is answered with it; True if so."""
        departure = self.open.get(leaving)
        if departure is not None:
            departure.answers.append(answered)
        return departure is not None

    def begin(
        self, leaving: Leaving, number: int, gateways: Iterable[str], answered: Answered, now: float
    ) -> None:
        """The news went out to these gateways under that number."""
        departure = Departure(
            leaving, number, set(gateways), now + ACKED_WITHIN, now + GIVEN_UP_AFTER, [answered]
        )
        self.open[leaving] = departure

        def confirmed(good: bool) -> None:
            departure.confirmed = good
            self.settle(departure, now)

        self.confirm(confirmed)

    def acked(self, gateway: str, number: int, now: float) -> None:
        """A gateway knows of the news with that number."""
        for departure in list(self.open.values()):
            if departure.number == number:
                departure.waits_for.discard(gateway)
                self.settle(departure, now)

    def unlinked(self, gateway: str, now: float) -> None:
        """A gateway that is not linked any more is out of touch, and not waited for."""
        for departure in list(self.open.values()):
            departure.waits_for.discard(gateway)
            self.settle(departure, now)

    def settle(self, departure: Departure, now: float) -> None:
        """Answers the calls as soon as it is certain what to answer."""
        if departure.leaving not in self.open:
            return
        if departure.confirmed and (not departure.waits_for or now >= departure.until):
            self.acknowledged[departure.leaving] = now
            self.end(departure, done())
        elif now >= departure.given_up_at:
            self.end(departure, refused(503, NO_MAJORITY))

    def end(self, departure: Departure, verdict: Verdict) -> None:
        """Answers all calls that wait for this departure."""
        del self.open[departure.leaving]
        for answered in departure.answers:
            answered(verdict)

    def tick(self, now: float) -> None:
        """What is due by now."""
        for departure in list(self.open.values()):
            self.settle(departure, now)
        for leaving, since in list(self.acknowledged.items()):
            if now - since > REMEMBERED_FOR:
                del self.acknowledged[leaving]
