"""Random orders of arrivals, ended attempts, timers and leaving clients: counts and tokens are returned once.

Only the decisions run; their actions are executed by a stand-in that keeps the driver's order of events.
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
from tests.edge.test_parts import make_gateway

SEEDS = range(150)
STEPS = 120
CLIENT_TIMEOUT_S = 3.0  # after which a client gives up
ENDS = (
    Outcome.SERVED,
    Outcome.SERVED,
    Outcome.ERROR,
    Outcome.BROKEN,
    Outcome.TURNED_AWAY,
    Outcome.NO_CONNECTION,
    Outcome.TIMED_OUT,
)


class ActionExecutor:
    """Executes the actions of the decisions as the driver does, and draws random events."""

    def __init__(self, gateway: EdgeGateway, seed: int) -> None:
        self.gateway, self.chance, self.now = gateway, random.Random(seed), 100.0
        self.attempts_under_way: dict[int, dict[int, Send]] = {}  # by request and attempt
        self.waiting: dict[int, str] = {}  # requests whose clients wait, and their routes
        self.left: set[int] = set()
        self.maybe_ran: set[int] = set()
        self.timers: list[tuple[float, str]] = []
        self.borrowed = 0.0
        self.number = 0

    def handle_event(self, event: Event) -> None:
        """Passes an event to the gateway and executes the resulting actions."""
        self.execute(self.gateway.handle(event, self.now))

    def execute(self, actions: Iterable[Action]) -> None:
        """Executes actions in order; cancellations and loans come last."""
        cancelled, asked = list[Cancel](), list[Borrow]()
        for action in actions:
            if isinstance(action, Send):
                assert action.request in self.waiting, "sent for a request that is over, or whose client left"
                attempts = self.attempts_under_way.setdefault(action.request, {})
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
            self.handle_event(BorrowResult(borrow.customer, units))

    def next_place(self, action: Send) -> int:
        """The index of a request's newest attempt."""
        return len(self.gateway.jobs[action.request].attempts) - 1

    def answered(self, action: Refuse | Fail) -> None:
        """Checks a final answer: it is sent once, and no request that may have run is refused."""
        route = self.waiting.pop(action.request, None)
        assert route is not None, "answered twice, or after the client had left"
        assert not (isinstance(action, Refuse) and route == "r1" and action.request in self.maybe_ran)

    def end(self, request: int, place: int, outcome: Outcome) -> None:
        """Ends an attempt with an outcome."""
        del self.attempts_under_way[request][place]
        if not outcome.never_ran:
            self.maybe_ran.add(request)
        if outcome is Outcome.SERVED:
            self.waiting.pop(request, None)
        over = request not in self.waiting
        server = self.gateway.jobs[request].attempts[place].server.backend.address
        self.handle_event(AttemptEnded(request, place, server, outcome, 0.1, over, 0.0, (1.0, 0.0, 2.0)))

    def arrive(self) -> None:
        """Sends a new client request."""
        self.number += 1
        route = self.chance.choice(["r0", "r1"])
        self.waiting[self.number] = route
        until = self.now + CLIENT_TIMEOUT_S
        self.handle_event(Request(self.number, route, "t", "t", until, 1.0, 0, -1, False, "s"))

    def leave(self) -> None:
        """A client leaves: its unsent attempts end first, then the gateway is notified."""
        request = self.chance.choice(sorted(self.waiting))
        del self.waiting[request]
        self.left.add(request)
        for place in list(self.attempts_under_way.get(request, ())):
            if self.chance.random() < 0.3:  # its connection was still being established
                self.end(request, place, Outcome.NOT_SENT)
        self.handle_event(ClientLeft(request))

    def end_any(self) -> None:
        """Ends a random attempt with a random outcome."""
        pairs = [(request, place) for request, places in self.attempts_under_way.items() for place in places]
        if pairs:
            request, place = self.chance.choice(pairs)
            self.end(request, place, self.chance.choice(ENDS))

    def advance(self, seconds: float) -> None:
        """Advances the clock and fires due timers in order."""
        end = self.now + seconds
        while self.timers and self.timers[0][0] <= end:
            due, key = heapq.heappop(self.timers)
            self.now = max(self.now, due)
            self.handle_event(TimerDue(key))
        self.now = end

    def play(self, moves: bool) -> None:
        """Plays a random run and then ends everything in it; `moves`: the clock advances."""
        for _ in range(STEPS):
            draw = self.chance.random()
            if draw < 0.45:
                self.arrive()
            elif draw < 0.65 and self.waiting:
                self.leave()
            elif draw < 0.9:
                self.end_any()
            elif moves:
                self.advance(self.chance.uniform(0.0, 0.3))
        while self.waiting:
            self.leave()
        while any(self.attempts_under_way.values()):
            self.end_any()
        if moves:
            self.advance(20.0)


def assert_calm(gateway: EdgeGateway) -> None:
    """Checks that nothing is under way and that all counts are back at 0."""
    throttle = gateway.throttles["t"]
    assert not gateway.jobs and not throttle.queue and not throttle.held and not throttle.open
    assert not any(server.overdue for server in gateway.servers.values())
    assert all(fleet.flight == 0 for fleet in gateway.backends.fleets.values())
    lingering = gateway.attempts.lingering
    assert sum(server.flight for server in gateway.servers.values()) == len(lingering.servers)


@pytest.mark.parametrize("seed", SEEDS)
def test_tokens_of_what_no_backend_ran_are_given_back_once(seed: int) -> None:
    """The clock stands still, so that no token is added by refill."""
    gateway = make_gateway(rate=40.0)  # a bank of ten here
    executor = ActionExecutor(gateway, seed)
    executor.play(moves=False)
    assert_calm(gateway)
    throttle = gateway.throttles["t"]
    assert throttle.level == pytest.approx(10.0 + executor.borrowed - len(executor.maybe_ran), abs=1e-6)


@pytest.mark.parametrize("seed", SEEDS)
def test_counts_come_back_whatever_meets(seed: int) -> None:
    gateway = make_gateway(rate=40.0)
    executor = ActionExecutor(gateway, seed)
    executor.play(moves=True)
    assert_calm(gateway)
    assert not gateway.attempts.lingering.servers and not gateway.attempts.lingering.serials_by_server
    throttle = gateway.throttles["t"]
    assert throttle.level <= max(throttle.bank, 10.0 + executor.borrowed)
    assert not any(server.flight for server in gateway.servers.values())
