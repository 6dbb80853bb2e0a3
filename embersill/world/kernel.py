"""Kernel of the deterministic simulation: event queue, seeded randomness, clocks and processes. No I/O.

The method is that of FoundationDB's simulation (Zhou et al. 2021, "FoundationDB: A Distributed Unbundled
Transactional Key Value Store", section 4): everything runs on a single event queue, in an order that is
determined by the seed alone. All times are in seconds.

Each user of randomness has a named random stream of its own (`Kernel.stream`), so that a component which
draws more or fewer values does not affect the others. This is why a schedule from which steps were removed
can still fail in the same way, which shrinking needs.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from embersill.world.trace import Trace


class EventLimitExceeded(Exception):
    """A run processed more events than `Kernel.max_events`, e.g. because a timer re-arms itself forever."""


class Kernel:
    """Simulated time and the event queue.

    `max_events` limits the events that are processed; exceeding it raises EventLimitExceeded, which says at
    which simulated time.
    """

    def __init__(self, seed: int, trace: Trace | None = None, max_events: int = 5_000_000) -> None:
        self.seed = seed
        self.now = 0.0
        self.trace = trace if trace is not None else Trace(keep=False)
        self.max_events, self.events = max_events, 0
        self.order, self.front_order = 0, -(1 << 60)
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.watchers: dict[str, list[Callable[[dict[str, str]], None]]] = {}

    def stream(self, name: str) -> random.Random:
        """Returns a random number generator that depends only on the seed and the name.

        Seeding with a string uses SHA-512 (random.seed, version 2), which does not depend on PYTHONHASHSEED.
        """
        return random.Random(f"{self.seed}/{name}")

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call; calls for the same time run in the order in which they were scheduled."""
        self.order += 1
        heapq.heappush(self.queue, (when if when > self.now else self.now, self.order, call, args))

    def first_at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call ahead of all calls that `at` scheduled for the same time."""
        self.front_order += 1
        heapq.heappush(self.queue, (when if when > self.now else self.now, self.front_order, call, args))

    def run(self, until: float) -> None:
        """Processes all events up to and including the time `until`."""
        queue, pop = self.queue, heapq.heappop
        while queue and queue[0][0] <= until:
            self.events += 1
            if self.events > self.max_events:
                raise EventLimitExceeded(f"{self.events} events by {self.now:.3f} s of simulated time")
            self.now, _, call, args = pop(queue)
            call(*args)
        self.now = max(self.now, until)

    # moments: named points in the execution at which a fault can be triggered

    def watch(self, moment: str, call: Callable[[dict[str, str]], None]) -> None:
        """Registers a callback for each occurrence of a moment; it gets the participants by role."""
        self.watchers.setdefault(moment, []).append(call)

    def moment(self, name: str, **participants: str) -> None:
        """Reports that a moment occurs now; its watchers are called immediately."""
        for call in tuple(self.watchers.get(name, ())):
            call(participants)


class Clock:
    """The two clocks of a machine: `monotonic`, which leases use, and `wall`, which can be set.

    The monotonic clock runs at `rate` and never goes back, but stops while the machine is suspended
    (`suspend`: a suspended virtual machine, as CLOCK_MONOTONIC does on Linux). The wall clock can jump in
    either direction.
    """

    def __init__(
        self, kernel: Kernel, rate: float = 1.0, offset: float = 0.0, wall_offset: float = 0.0
    ) -> None:
        self.kernel, self.rate, self.offset, self.wall_offset = kernel, rate, offset, wall_offset
        self.suspended_s = 0.0  # total time for which the monotonic clock was stopped

    def monotonic(self) -> float:
        """Returns the monotonic clock's reading."""
        return self.offset + self.rate * (self.kernel.now - self.suspended_s)

    def wall(self) -> float:
        """Returns the wall clock's reading."""
        return self.wall_offset + self.rate * self.kernel.now

    def jump(self, seconds: float) -> None:
        """Moves the wall clock; the monotonic clock is not affected."""
        self.wall_offset += seconds

    def suspend(self, seconds: float) -> None:
        """Makes the monotonic clock lag by so much more, as after a suspension of the machine."""
        self.suspended_s += seconds


class Node:
    """A simulated process that can be killed, restarted and paused, and has a clock of its own.

    A life is the time between a start and the end of the process. Timers (`after`) are dropped when their
    life ends; while the process is paused they are delayed, in order.
    """

    def __init__(self, kernel: Kernel, name: str) -> None:
        self.kernel, self.name = kernel, name
        self.life, self.alive = 0, False
        self.paused_until = 0.0
        self.reads_first = False  # after a pause, received data is handled before timers that are due
        self.clocks = Clock(kernel)

    def begin_life(self, drift: float, offset: float) -> None:
        """Starts the process with a new clock; `drift`: by how much it runs fast (0.01: one part in 100)."""
        self.life += 1
        self.alive = True
        self.clocks = Clock(self.kernel, 1.0 + drift, offset)

    def clock(self) -> float:
        """Returns the reading of the node's monotonic clock."""
        clocks = self.clocks
        return clocks.offset + clocks.rate * (self.kernel.now - clocks.suspended_s)

    def local_time(self, when: float) -> float:
        """Returns the reading of this node's clock at a simulated time."""
        return self.clock() + self.clocks.rate * (when - self.kernel.now)

    def pause(self, seconds: float) -> None:
        """Stops execution for so long, as in a long collection or with a stolen CPU; the clock goes on."""
        self.paused_until = max(self.paused_until, self.kernel.now + seconds)

    @property
    def is_running(self) -> bool:
        """Whether the process is alive and not paused."""
        return self.alive and self.paused_until <= self.kernel.now

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Sets a timer by this node's clock; it is dropped if the node's life ends before."""
        when = self.kernel.now + (delay / self.clocks.rate if delay > 0 else 0.0)
        self.kernel.at(when, self.run_timer, self.life, call, args)

    def run_timer(self, life: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Runs a timer that is due, or postpones it to the end of a pause."""
        if self.alive and self.life == life:
            if self.paused_until > self.kernel.now:
                self.kernel.at(self.paused_until, self.run_timer, life, call, args)
            else:
                call(*args)
