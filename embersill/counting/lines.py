"""Runs a keeper on sockets: connections to each counter, and beats by timers of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from embersill.counting.keeper import Call, Keeper, Step
from embersill.interface import Count, CounterResult, Outcome
from embersill.net.counter import Counter, CounterCall
from embersill.net.discovery import read_address


class KeeperCounter(Counter):
    """The connections to one counter; outcomes go to the keeper, with the numbers of their calls."""

    def __init__(self, counting: Counting, address: tuple[str, int]) -> None:
        super().__init__(
            counting.clock, address, counting.call_timeout, counting.dial_timeout, counting.on_counted
        )
        self.counting = counting

    def finish_call(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """Reports a call's outcome, or that an answer came after its timeout."""
        if call.reported:
            if outcome is Outcome.SERVED:
                self.counting.keeper.late(call.token, self.clock())
            return
        call.reported = True
        if call.timer is not None:
            call.timer.cancel()
        self.counting.ended(call.token, outcome, self.clock() - call.started, total)


class Counting:
    """Replaces a gateway's single counter: the module's calls go through a keeper to several counters."""

    def __init__(
        self,
        keeper: Keeper,
        clock: Callable[[], float],
        call_timeout: float,
        dial_timeout: float,
        on_counted: Callable[[CounterResult], None],
    ) -> None:
        self.keeper, self.clock, self.on_counted = keeper, clock, on_counted
        self.call_timeout, self.dial_timeout = call_timeout, dial_timeout
        self.loop = asyncio.get_running_loop()
        self.counters: dict[str, KeeperCounter] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.add_counters(keeper.addresses)

    def add_counters(self, places: Sequence[str]) -> None:
        """Prepares connections to counters that have none."""
        for place in places:
            if place not in self.counters:
                self.counters[place] = KeeperCounter(self, read_address(place))

    def start(self) -> None:
        """Starts the beats."""
        self.beat()

    def beat(self) -> None:
        """Makes the keeper's calls that are due, and sets the timer for the next beat."""
        now = self.clock()
        self.perform(self.keeper.beat(now))
        self.timer = self.loop.call_later(max(self.keeper.next_beat(now) - now, 0.01), self.beat)

    def count(self, action: Count) -> None:
        """Carries out an action of the module."""
        self.perform(self.keeper.count(action, self.clock()))

    def ended(self, number: int, outcome: Outcome, elapsed: float, total: float) -> None:
        """Passes a call's outcome to the keeper."""
        self.perform(self.keeper.answered(number, outcome, elapsed, total, self.clock()))

    def perform(self, steps: Iterable[Step]) -> None:
        """Makes the keeper's calls, and reports its outcomes to the module."""
        for step in steps:
            if isinstance(step, Call):
                self.counters[step.place].add(step.name, step.amount, step.forget_after, step.id)
            else:
                self.on_counted(step)

    def move(self, address: tuple[str, int]) -> None:
        """Uses one counter from now on, as named by the platform's configuration."""
        self.move_all([f"{address[0]}:{address[1]}"])

    def move_all(self, places: Sequence[str]) -> None:
        """Uses these counters from now on; calls in flight to others are still awaited."""
        if tuple(places) == self.keeper.addresses:
            return
        self.add_counters(places)
        steps = self.keeper.move(places, self.clock())
        for place in [place for place in self.counters if place not in places]:
            self.counters.pop(place).leave()
        self.perform(steps)

    def leave(self) -> None:
        """Tells the other gateways, through the counters, that this one stops."""
        self.perform(self.keeper.leave(self.clock()))

    def close(self) -> None:
        """Stops the beats and closes all connections."""
        if self.timer is not None:
            self.timer.cancel()
        for counters in self.counters.values():
            counters.close()
