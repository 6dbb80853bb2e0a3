"""The keeper's calls on sockets: connections to each counter, beats by the loop's timers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from embersill.counting.keeper import Call, Keeper, Step
from embersill.interface import Count, CounterResult, Outcome
from embersill.net.counter import Counter, CounterCall
from embersill.net.discovery import read_address


class Lines(Counter):
    """The connections to one counter; ends of calls go to the keeper by their numbers."""

    def __init__(self, counting: Counting, address: tuple[str, int]) -> None:
        super().__init__(counting.clock, address, counting.patience, counting.dial_timeout, counting.told)
        self.counting = counting

    def finish_call(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        if call.reported:
            if outcome is Outcome.SERVED:
                self.counting.keeper.late(call.token, self.clock())
            return
        call.reported = True
        if call.timer is not None:
            call.timer.cancel()
        self.counting.ended(call.token, outcome, self.clock() - call.started, total)


class Counting:
    """Stands where a gateway's one counter stands: the module's calls go through a keeper to the counters."""

    def __init__(
        self,
        keeper: Keeper,
        clock: Callable[[], float],
        patience: float,
        dial_timeout: float,
        told: Callable[[CounterResult], None],
    ) -> None:
        self.keeper, self.clock, self.told = keeper, clock, told
        self.patience, self.dial_timeout = patience, dial_timeout
        self.loop = asyncio.get_running_loop()
        self.lines: dict[str, Lines] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.open_lines(keeper.order)

    def open_lines(self, places: Sequence[str]) -> None:
        for place in places:
            if place not in self.lines:
                self.lines[place] = Lines(self, read_address(place))

    def start(self) -> None:
        self.beat()

    def beat(self) -> None:
        now = self.clock()
        self.perform(self.keeper.beat(now))
        self.timer = self.loop.call_later(max(self.keeper.next_beat(now) - now, 0.01), self.beat)

    def count(self, action: Count) -> None:
        self.perform(self.keeper.count(action, self.clock()))

    def ended(self, number: int, outcome: Outcome, elapsed: float, total: float) -> None:
        self.perform(self.keeper.answered(number, outcome, elapsed, total, self.clock()))

    def perform(self, steps: Iterable[Step]) -> None:
        for step in steps:
            if isinstance(step, Call):
                self.lines[step.place].add(step.name, step.amount, step.forget_after, step.id)
            else:
                self.told(step)

    def move(self, address: tuple[str, int]) -> None:
        """One counter from now on, as the platform's configuration names it."""
        self.move_all([f"{address[0]}:{address[1]}"])

    def move_all(self, places: Sequence[str]) -> None:
        if tuple(places) == self.keeper.order:
            return
        self.open_lines(places)
        steps = self.keeper.move(places, self.clock())
        for place in [place for place in self.lines if place not in places]:
            self.lines.pop(place).leave()
        self.perform(steps)

    def leave(self) -> None:
        """Tells the others that this gateway stops."""
        self.perform(self.keeper.leave(self.clock()))

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        for lines in self.lines.values():
            lines.close()
