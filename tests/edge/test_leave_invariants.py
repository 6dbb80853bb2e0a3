"""Drawn orders of arrivals, ends of attempts, timers and leaves: counts and tokens come back, each once.

The decisions alone are played; what carries them out is a stand-in that keeps the driver's order of events.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable

import pytest

from embersill.edge.dataplane.gateway import EdgeGateway
from embersill.interface import (
    Action,
    AttemptEnded,
    Borrow,
    BorrowResult,
    Cancel,
    ClientLeft,
    Event,
    Fail,
    Outcome,
    Refuse,
    Request,
    Send,
    SetTimer,
    TimerDue,
)
from tests.edge.test_parts import edge

SEEDS = range(150)
STEPS = 120
PATIENCE = 3.0  # seconds that a client waits
ENDS = (
    Outcome.SERVED,
    Outcome.SERVED,
    Outcome.ERROR,
    Outcome.BROKEN,
    Outcome.TURNED_AWAY,
    Outcome.NO_CONNECTION,
    Outcome.TIMED_OUT,
)


class Carrier:
    """Carries out what the decisions want, as the driver does, and draws what happens."""

    def __init__(self, gateway: EdgeGateway, seed: int) -> None:
        self.gateway, self.chance, self.now = gateway, random.Random(seed), 100.0
        self.out: dict[int, dict[int, Send]] = {}  # by request and attempt
        self.waiting: dict[int, str] = {}  # requests whose clients wait, and their routes
        self.left: set[int] = set()
        self.maybe_ran: set[int] = set()
        self.timers: list[tuple[float, str]] = []
        self.borrowed = 0.0
        self.number = 0

    def post(self, event: Event) -> None:
        """Hands an event on, and carries out what comes of it."""
        self.carry_out(self.gateway.handle(event, self.now))

    def carry_out(self, actions: Iterable[Action]) -> None:
        """Carries out actions, in their order."""
        cancelled, asked = list[Cancel](), list[Borrow]()
        for action in actions:
            if isinstance(action, Send):
                assert action.request in self.waiting, "sent for a request that is over, or whose client left"
                attempts = self.out.setdefault(action.request, {})
                attempts[max(attempts, default=-1) + 1 if attempts else self.next_place(action)] = action
            elif isinstance(action, SetTimer):
                heapq.heappush(self.timers, (self.now + action.delay, action.key))
            elif isinstance(action, Refuse | Fail):
                self.answered(action)
            elif isinstance(action, Cancel):
                cancelled.append(action)
            elif isinstance(action, Borrow):
                asked.append(action)
        for one in cancelled:
            assert self.gateway.jobs[one.request].klass.name == "r0", "an order was broken off"
            self.end(one.request, one.attempt, Outcome.CANCELLED)
        for borrow in asked:
            units = float(self.chance.randrange(3))
            self.borrowed += units
            self.post(BorrowResult(borrow.customer, units))

    def next_place(self, action: Send) -> int:
        """The number of a request's newest attempt."""
        return len(self.gateway.jobs[action.request].attempts) - 1

    def answered(self, action: Refuse | Fail) -> None:
        """A final answer goes out: once, and no promise for an order that may have run."""
        route = self.waiting.pop(action.request, None)
        assert route is not None, "answered twice, or after the client had left"
        assert not (isinstance(action, Refuse) and route == "r1" and action.request in self.maybe_ran)

    def end(self, request: int, place: int, outcome: Outcome) -> None:
        """An attempt ends."""
        del self.out[request][place]
        if not outcome.never_ran:
            self.maybe_ran.add(request)
        if outcome is Outcome.SERVED:
            self.waiting.pop(request, None)
        over = request not in self.waiting
        server = self.gateway.jobs[request].attempts[place].server.backend.address
        self.post(AttemptEnded(request, place, server, outcome, 0.1, over, 0.0, (1.0, 0.0, 2.0)))

    def arrive(self) -> None:
        """A client asks."""
        self.number += 1
        route = self.chance.choice(["r0", "r1"])
        self.waiting[self.number] = route
        until = self.now + PATIENCE
        self.post(Request(self.number, route, "t", "t", until, 1.0, 0, -1, False, "s"))

    def leave(self) -> None:
        """A client leaves: what was not written ends first, then the decisions hear of it."""
        request = self.chance.choice(sorted(self.waiting))
        del self.waiting[request]
        self.left.add(request)
        for place in list(self.out.get(request, ())):
            if self.chance.random() < 0.3:  # its connection was still dialled
                self.end(request, place, Outcome.NOT_SENT)
        self.post(ClientLeft(request))

    def end_any(self) -> None:
        """Some attempt ends somehow."""
        outs = [(request, place) for request, places in self.out.items() for place in places]
        if outs:
            request, place = self.chance.choice(outs)
            self.end(request, place, self.chance.choice(ENDS))

    def let_time_pass(self, seconds: float) -> None:
        """Timers come due, in their order."""
        end = self.now + seconds
        while self.timers and self.timers[0][0] <= end:
            due, key = heapq.heappop(self.timers)
            self.now = max(self.now, due)
            self.post(TimerDue(key))
        self.now = end

    def play(self, moves: bool) -> None:
        """Draws a run, and brings all of it to its end; `moves`: the clock goes on."""
        for _ in range(STEPS):
            draw = self.chance.random()
            if draw < 0.45:
                self.arrive()
            elif draw < 0.65 and self.waiting:
                self.leave()
            elif draw < 0.9:
                self.end_any()
            elif moves:
                self.let_time_pass(self.chance.uniform(0.0, 0.3))
        while self.waiting:
            self.leave()
        while any(self.out.values()):
            self.end_any()
        if moves:
            self.let_time_pass(20.0)


def assert_calm(gateway: EdgeGateway) -> None:
    """Nothing is under way, and each count of it is back at nought."""
    throttle = gateway.throttles["t"]
    assert not gateway.jobs and not throttle.queue and not throttle.held and not throttle.open
    assert not any(server.overdue for server in gateway.servers.values())
    assert all(fleet.flight == 0 for fleet in gateway.backends.fleets.values())
    lingering = gateway.attempts.lingering
    assert sum(server.flight for server in gateway.servers.values()) == len(lingering.servers)


@pytest.mark.parametrize("seed", SEEDS)
def test_tokens_of_what_no_backend_ran_are_given_back_once(seed: int) -> None:
    """The clock stands still, so that no token comes by itself."""
    gateway = edge(rate=40.0)  # a bank of ten here
    carrier = Carrier(gateway, seed)
    carrier.play(moves=False)
    assert_calm(gateway)
    throttle = gateway.throttles["t"]
    assert throttle.level == pytest.approx(10.0 + carrier.borrowed - len(carrier.maybe_ran), abs=1e-6)


@pytest.mark.parametrize("seed", SEEDS)
def test_counts_come_back_whatever_meets(seed: int) -> None:
    gateway = edge(rate=40.0)
    carrier = Carrier(gateway, seed)
    carrier.play(moves=True)
    assert_calm(gateway)
    assert not gateway.attempts.lingering.servers and not gateway.attempts.lingering.serials_by_server
    throttle = gateway.throttles["t"]
    assert throttle.level <= max(throttle.bank, 10.0 + carrier.borrowed)
    assert not any(server.flight for server in gateway.servers.values())
