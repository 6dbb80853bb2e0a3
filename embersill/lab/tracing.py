"""`python -m embersill.lab.tracing`: the platform's gateway, with what its module hears and says on its log.

Off unless it is started in the gateway's place. One line an event or action, tab-separated, its time first;
`embersill.lab.losses` reads the lines of a whole fleet. What is written is bounded: past the bound one line
says so, and the gateway goes on without.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable

import uvloop

from embersill.configuration.platform import read_configuration
from embersill.control import Gateway
from embersill.interface import (
    Action,
    AttemptEnded,
    BackendList,
    Cancel,
    CounterResult,
    Event,
    Fail,
    Outcome,
    Refuse,
    Request,
    Send,
)
from embersill.roles import Program, start_clock

MOST_BYTES = 64 << 20  # of one process's lines
KEPT = 64  # lines kept back at most, and
KEPT_FOR = 0.25  # seconds for which they are: one that is killed leaves the rest unsaid


class Traced:
    """Stands before the module and notes what passes; it changes nothing of it."""

    def __init__(self, gateway: Gateway, write: Callable[[bytes], object], most: int = MOST_BYTES) -> None:
        self.gateway, self.settings = gateway, gateway.settings
        self.write, self.left = write, most
        self.lines: list[str] = []
        self.flushed = 0.0
        self.open: dict[int, Request] = {}  # what may still be refused
        for c in self.settings.classes:
            self.note(
                gateway.turn.now, "class", c.name, c.aim, c.deadline, c.worth, c.late_share, c.repeats.value
            )
        for p in self.settings.plans:
            self.note(
                gateway.turn.now,
                "plan",
                p.name,
                p.worth_factor,
                p.rate,
                p.burst,
                p.ceiling_rate,
                p.ceiling_depth,
            )

    def handle(self, event: Event, now: float) -> list[Action]:
        actions = self.gateway.handle(event, now)
        if self.left > 0:
            self.told(event, now)
            for action in actions:
                self.said(action, now)
            if len(self.lines) > KEPT or self.lines and now - self.flushed > KEPT_FOR:
                self.flush(now)
        return actions

    def note(self, now: float, *words: object) -> None:
        self.lines.append("\t".join((f"{now:.4f}", *map(str, words))))

    def flush(self, now: float) -> None:
        text = ("\n".join(self.lines) + "\n").encode()
        self.lines, self.flushed = [], now
        self.left -= len(text)
        self.write(text if self.left > 0 else b"%.4f\tfull\n" % now)

    def told(self, event: Event, now: float) -> None:
        if isinstance(event, Request):
            self.open[event.id] = event
            self.note(
                now,
                "request",
                event.id,
                event.klass,
                event.plan,
                event.customer,
                f"{event.units:g}",
                int(event.repeat),
                f"{event.deadline:.4f}",
                event.width,
            )
        elif isinstance(event, AttemptEnded):
            if event.over:
                self.open.pop(event.request, None)
            self.note(
                now,
                "ended",
                event.request,
                event.attempt,
                event.backend,
                event.outcome.name,
                f"{event.elapsed:.4f}",
            )
        elif isinstance(event, CounterResult) and event.outcome is not Outcome.SERVED:
            self.note(now, "uncounted", event.outcome.name, f"{event.elapsed:.4f}")
        elif isinstance(event, BackendList):
            serving = sum(len(f.order) for f in self.gateway.backends.fleets.values())
            self.note(now, "list", event.kind.name, len(event.backends), serving)

    def said(self, action: Action, now: float) -> None:
        if isinstance(action, Send):
            server = self.gateway.servers.get(action.backend)
            if server is not None:
                started = server.backend.started
                self.note(
                    now,
                    "send",
                    action.request,
                    action.backend,
                    server.backend.kind,
                    f"{now - started:.2f}" if started is not None else "-",
                    server.flight,
                    f"{server.limit:.1f}",
                )
        elif isinstance(action, Refuse):
            request = self.open.pop(action.request, None)
            self.note(now, "refuse", action.request, self.reason(request) if request else "-", *self.state())
        elif isinstance(action, Fail):
            self.open.pop(action.request, None)
            self.note(now, "fail", action.request)
        elif isinstance(action, Cancel):
            self.note(now, "cancel", action.request, action.attempt)

    def state(self) -> tuple[str, ...]:
        fleet = self.gateway.fleet("")
        return f"{fleet.flight}", f"{fleet.limit:.1f}", f"{fleet.passed:.2f}"

    def reason(self, request: Request) -> str:
        """What stood against a request that is refused, by its throttle as it is now."""
        throttle = self.gateway.throttles.get(request.customer)
        if throttle is None:
            return "unknown"
        if throttle.plan.ceiling_rate > 0 and request.units > throttle.cap:
            return "ceiling"
        return "quota" if throttle.queue or throttle.wait(request.units) > 0 else "shed"


async def serve() -> None:
    told = read_configuration(dict(os.environ))
    clock = start_clock()
    traced = Traced(Gateway(told.settings, told.seed, clock()), lambda text: os.write(2, text))
    await Program(told, clock, traced, counts=True).run()


if __name__ == "__main__":
    uvloop.run(serve())
    sys.exit(0)
