"""What a gateway remembers of its requests, their attempts, and the backends that these went to."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING, Protocol

from embersill.interface import Backend, Request, RequestClass, Scope, Settings

if TYPE_CHECKING:
    from embersill.fleet import Fleet
    from embersill.throttle import Charge, Throttle

FORGET = 8.0  # seconds in which what is held against a backend halves: troubles last five to forty
FULL_FOR_ALL = 2  # kinds of requests turned away from which a backend counts as full for each
START_LIMIT = 8.0  # attempts out at a backend, all gateways together, before anything is learned of it
WORST = 8.0  # most that is held against one: it is drawn again after four halvings at the latest
OUT_LESS = 0.5  # taken from what is out, as its limit, for a late answer
OUT_SLACK = 2.0  # attempts above what is out that a late answer leaves, less the half: chance alone needs it
OUT_MORE = 0.5  # added for one in time while half of the limit is in use
EPS = 1e-9  # float slack where levels and times are compared
LOAD_LIFE = 0.3  # seconds in which half of what a backend told of its load is no longer so
LEAST_LIMIT = 4.0  # the same once it is under pressure: less would leave the cores of a backend idle


class Outcomes(Protocol):
    """Where admission sends what it has decided on."""

    def place(self, job: Job) -> None:
        """It may go on to a backend."""
        ...

    def answer(self, job: Job, retry_after: float, over_quota: bool = False) -> None:
        """It is turned away."""
        ...


class Job:
    """A request this gateway owes an answer, with its attempts."""

    def __init__(self, request: Request, klass: RequestClass, throttle: Throttle, fleet: Fleet,
                 now: float) -> None:
        self.request, self.klass, self.throttle, self.arrived = request, klass, throttle, now
        self.fleet = fleet
        self.attempts: list[Attempt] = []
        self.out, self.hold_until = 0, now
        self.ended = self.streaming = self.settled = self.trusted = self.sure = self.beyond = False
        # whole units: a fraction is the client's word, and each other one would be kept for good
        self.usual_key = klass.name, float(math.ceil(request.units))
        self.charge: Charge | None = None  # what it took of its ceiling
        self.counted = 0.0  # units the counter was told of it; below nought: it stays uncounted
        self.risky: Attempt | None = None  # the first attempt not proven unrun


class Attempt:
    def __init__(self, server: Server, fleet: Fleet, now: float, weight: float) -> None:
        self.fleet = fleet
        self.server, self.sent, self.weight = server, now, weight
        self.out, self.unrun, self.overdue = True, False, False
        self.begun = False  # its answer is being passed on: the backend has done the work
        self.nowhere = False  # it did not come whole to any backend: nothing of its request was passed on


class Server:
    """What this gateway knows of one backend."""

    def __init__(self, backend: Backend, limit: float, now: float) -> None:
        self.backend, self.touched = backend, now
        self.place = zlib.crc32(backend.address.encode())  # in an order that is the same at every gateway
        self.started = backend.started  # or when staff put it back, which may have restarted it
        self.warm = self.started is None  # for good: a restarted backend is a new one
        self.flight = self.overdue = 0  # attempts out, and those of them that are late already
        self.forget = FORGET  # seconds in which that halves
        self.proven = False  # it has served a request from here, and failed none since
        self.bad = 0.0  # what is held against it: doubles and one more for each failure, halves with time
        self.full: dict[tuple[str, str], float] = {}  # class and plan: until when it is passed over
        self.told_work, self.told_at, self.sent_since = 0.0, now, 0.0
        self.others = -1  # attempts that other gateways have out there, where that is told
        self.limit, self.least = limit, max(1.0, limit * LEAST_LIMIT / START_LIMIT)  # attempts out from here

    def tell_load(self, load: tuple[float, ...], now: float) -> None:
        """What an answer said of it: requests running, requests waiting, and maybe slots."""
        self.told_work, self.told_at, self.sent_since = sum(load[:2]), now, 0.0

    def work(self, now: float) -> float:
        """Requests there, as far as can be known: what it last told fades, what is out from here is sure."""
        if self.others >= 0:
            return float(self.others + self.flight)
        told = self.told_work * 0.5 ** ((now - self.told_at) / LOAD_LIFE) if self.told_work else 0.0
        return max(told + self.sent_since, float(self.flight))

    def cold_share(self, now: float, settings: Settings) -> float:
        """The least part of its capacity that it has now; 1 once it must be warm."""
        age = settings.warm_within if self.started is None else max(0.0, now - self.started)
        if age >= settings.warm_within:
            self.warm = True
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * age / settings.warm_within

    def is_full(self, kind: tuple[str, str], now: float) -> bool:
        """Turns this class of this plan away, or by what it did to others all of them: it may be draining."""
        if self.full.get(kind, 0.0) > now:
            return True
        return sum(until > now for until in self.full.values()) >= FULL_FOR_ALL

    def fade(self, now: float) -> None:
        if self.bad:
            self.bad *= 0.5 ** ((now - self.touched) / self.forget)
        self.touched = now


def moved(limit: float, late: bool, out: int, least: float) -> float:
    """A limit on what is out, after an answer: under what was out for a late one, more if it was in use."""
    if late:
        return max(min(limit, out + OUT_SLACK) - OUT_LESS, least)
    return limit + OUT_MORE if out + 1 > limit / 2 else limit


def group_of(klass: RequestClass, server: Server) -> str | int:
    """Backends that share what they remember of keyed requests have the same group."""
    if klass.scope is Scope.ALL:
        return ""
    return server.backend.zone if klass.scope is Scope.ZONE else server.backend.cell
