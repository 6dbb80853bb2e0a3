"""`python -m embersill.lab.tracing`: the platform's gateway, logging events and actions of its decision code.

It is used only when started instead of the gateway. One tab-separated line for each event or action, with the
time first; `embersill.lab.losses` reads the lines of a whole fleet. The output is bounded: past the
bound one line says so, and the gateway continues without tracing.
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

MAX_BYTES = 64 << 20  # of one process's trace
MAX_BUFFERED_LINES = 64  # lines buffered at most, and
MAX_BUFFER_TIME_S = 0.25  # for how long: a killed process loses what is buffered


class TracedGateway:
    """Wraps the gateway and logs its events and actions without changing them."""

    def __init__(
        self, gateway: Gateway, write: Callable[[bytes], object], max_bytes: int = MAX_BYTES
    ) -> None:
        self.gateway, self.settings = gateway, gateway.settings
        self.write, self.remaining_bytes = write, max_bytes
        self.lines: list[str] = []
        self.flushed_at = 0.0
        self.open_requests: dict[int, Request] = {}  # those that may still be refused
        for class_settings in self.settings.classes:
            self.write_line(
                gateway.turn.now,
                "class",
                class_settings.name,
                class_settings.aim,
                class_settings.deadline,
                class_settings.worth,
                class_settings.late_share,
                class_settings.repeats.value,
            )
        for plan in self.settings.plans:
            self.write_line(
                gateway.turn.now,
                "plan",
                plan.name,
                plan.worth_factor,
                plan.rate,
                plan.burst,
                plan.ceiling_rate,
                plan.ceiling_depth,
            )

    def handle(self, event: Event, now: float) -> list[Action]:
        """Passes an event to the gateway; logs it and the resulting actions."""
        actions = self.gateway.handle(event, now)
        if self.remaining_bytes > 0:
            self.write_event(event, now)
            for action in actions:
                self.write_action(action, now)
            if (
                len(self.lines) > MAX_BUFFERED_LINES
                or self.lines
                and now - self.flushed_at > MAX_BUFFER_TIME_S
            ):
                self.flush(now)
        return actions

    def write_line(self, now: float, *fields: object) -> None:
        """Buffers a line."""
        self.lines.append("\t".join((f"{now:.4f}", *map(str, fields))))

    def flush(self, now: float) -> None:
        """Writes the buffered lines."""
        text = ("\n".join(self.lines) + "\n").encode()
        self.lines, self.flushed_at = [], now
        self.remaining_bytes -= len(text)
        self.write(text if self.remaining_bytes > 0 else b"%.4f\tfull\n" % now)

    def write_event(self, event: Event, now: float) -> None:
        """Logs an event."""
        if isinstance(event, Request):
            self.open_requests[event.id] = event
            self.write_line(
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
                self.open_requests.pop(event.request, None)
            self.write_line(
                now,
                "ended",
                event.request,
                event.attempt,
                event.backend,
                event.outcome.name,
                f"{event.elapsed:.4f}",
            )
        elif isinstance(event, CounterResult) and event.outcome is not Outcome.SERVED:
            self.write_line(now, "uncounted", event.outcome.name, f"{event.elapsed:.4f}")
        elif isinstance(event, BackendList):
            serving = sum(len(fleet.order) for fleet in self.gateway.backends.fleets.values())
            self.write_line(now, "list", event.kind.name, len(event.backends), serving)

    def write_action(self, action: Action, now: float) -> None:
        """Logs an action."""
        if isinstance(action, Send):
            server = self.gateway.servers.get(action.backend)
            if server is not None:
                started = server.backend.started
                self.write_line(
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
            request = self.open_requests.pop(action.request, None)
            self.write_line(
                now,
                "refuse",
                action.request,
                self.refusal_reason(request) if request else "-",
                *self.fleet_state(),
            )
        elif isinstance(action, Fail):
            self.open_requests.pop(action.request, None)
            self.write_line(now, "fail", action.request)
        elif isinstance(action, Cancel):
            self.write_line(now, "cancel", action.request, action.attempt)

    def fleet_state(self) -> tuple[str, ...]:
        """Requests in flight, limit and share of requests passed, of all backends."""
        fleet = self.gateway.fleet("")
        return f"{fleet.flight}", f"{fleet.limit:.1f}", f"{fleet.passed:.2f}"

    def refusal_reason(self, request: Request) -> str:
        """Why a request is refused, judging by its throttle's present state."""
        throttle = self.gateway.throttles.get(request.customer)
        if throttle is None:
            return "unknown"
        if throttle.plan.ceiling_rate > 0 and request.units > throttle.cap:
            return "ceiling"
        return "quota" if throttle.queue or throttle.wait(request.units) > 0 else "shed"


async def serve() -> None:
    """Runs the traced gateway."""
    configuration = read_configuration(dict(os.environ))
    clock = start_clock()
    traced = TracedGateway(
        Gateway(configuration.settings, configuration.seed, clock()), lambda text: os.write(2, text)
    )
    await Program(configuration, clock, traced, counts=True).run()


if __name__ == "__main__":
    uvloop.run(serve())
    sys.exit(0)
