"""What a gateway remembers of its requests, their attempts, and the backends that they were sent to."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING, Protocol

from embersill.interface import Backend, Request, RequestClass, Scope, Settings

if TYPE_CHECKING:
    from embersill.fleet import Fleet
    from embersill.throttle import Charge, Throttle

HALF_LIFE_S = 8.0  # of a backend's penalty: troubles last five to forty seconds
FULL_KINDS = 2  # (class, plan) pairs rejected from which a backend counts as full for all
INITIAL_LIMIT = 8.0  # attempts in flight at a new backend, from all gateways together
MAX_PENALTY = 8.0  # of a backend: it is chosen again after four half-lives at the latest
LATE_DECREASE = 0.5  # by which a late answer lowers the limit
LATE_SLACK = 2.0  # attempts by which the limit may exceed those in flight before that: random bursts need it
LIMIT_INCREASE = 0.5  # by which an answer in time raises the limit while half of it is in use
EPS = 1e-9  # tolerance for floating-point comparisons of levels and times
LOAD_HALF_LIFE_S = 0.3  # after which half of the load that a backend reported is assumed to be gone
MIN_LIMIT = 4.0  # attempts in flight, from all gateways, at an overloaded backend: fewer leave cores idle


class AdmissionSink(Protocol):
    """What takes over the requests that admission has decided on."""

    def place(self, job: Job) -> None:
        """Sends an admitted request to a backend."""
        ...

    def answer(self, job: Job, retry_after: float, over_quota: bool = False) -> None:
        """Answers a request that was not admitted."""
        ...


class Job:
    """A request that this gateway has to answer, with its attempts (`out`: how many are in flight)."""

    def __init__(self, request: Request, klass: RequestClass, throttle: Throttle, fleet: Fleet,
                 now: float) -> None:
        self.request, self.klass, self.throttle, self.arrived = request, klass, throttle, now
        self.fleet = fleet
        self.attempts: list[Attempt] = []
        self.out, self.hold_until = 0, now
        self.ended = self.streaming = self.settled = self.trusted = self.sure = self.beyond = False
        # rounded up: clients choose the fractions, and each distinct value is kept for good
        self.latency_key = klass.name, float(math.ceil(request.units))
        self.charge: Charge | None = None  # its charge against the ceiling
        self.counted = 0.0  # its units reported to the counter; negative: it stays uncounted
        self.may_have_run: Attempt | None = None  # the first attempt not proven not to have run


class Attempt:
    """One sending of a request to a backend; `out` while it is in flight, `overdue` once it is late."""

    def __init__(self, server: Server, fleet: Fleet, now: float, weight: float) -> None:
        self.fleet = fleet
        self.server, self.sent, self.weight = server, now, weight
        self.out, self.did_not_run, self.overdue = True, False, False
        self.begun = False  # its answer is being streamed to the client: the backend has done the work
        self.not_delivered = False  # no backend received it whole, so none passed on any of its request


class Server:
    """What this gateway knows about one backend."""

    def __init__(self, backend: Backend, limit: float, now: float) -> None:
        self.backend, self.decayed_at = backend, now
        self.order_key = zlib.crc32(backend.address.encode())  # the same at every gateway
        self.started = backend.started  # or when an operator put it back: it may have been restarted then
        self.warm = self.started is None  # stays true: a restarted backend gets a new Server
        self.flight = self.overdue = 0  # attempts in flight, and how many of them are late
        self.half_life = HALF_LIFE_S  # of the penalty
        self.proven = False  # it has served a request from here, and none has failed since
        self.bad = 0.0  # the penalty: a failure doubles it and adds one; it decays
        self.full: dict[tuple[str, str], float] = {}  # by class and plan: not chosen until then
        self.last_load, self.load_at, self.sent_since = 0.0, now, 0.0
        self.others = -1  # attempts in flight there from other gateways; negative: unknown
        self.limit, self.least = limit, max(1.0, limit * MIN_LIMIT / INITIAL_LIMIT)  # attempts from here

    def set_load(self, load: tuple[float, ...], now: float) -> None:
        """Takes the load that an answer reported: requests running, waiting, and perhaps slots."""
        self.last_load, self.load_at, self.sent_since = sum(load[:2]), now, 0.0

    def load(self, now: float) -> float:
        """Estimates the requests there: the last report decays; those in flight from here are certain."""
        if self.others >= 0:
            return float(self.others + self.flight)
        known = self.last_load * 0.5 ** ((now - self.load_at) / LOAD_HALF_LIFE_S) if self.last_load else 0.0
        return max(known + self.sent_since, float(self.flight))

    def cold_share(self, now: float, settings: Settings) -> float:
        """The fraction of its capacity that it has at least while it warms up; 1 after that."""
        age = settings.warm_within if self.started is None else max(0.0, now - self.started)
        if age >= settings.warm_within:
            self.warm = True
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * age / settings.warm_within

    def is_full(self, kind: tuple[str, str], now: float) -> bool:
        """Whether it rejects this class and plan, or so many others that it may be draining."""
        if self.full.get(kind, 0.0) > now:
            return True
        return sum(until > now for until in self.full.values()) >= FULL_KINDS

    def decay_penalty(self, now: float) -> None:
        if self.bad:
            self.bad *= 0.5 ** ((now - self.decayed_at) / self.half_life)
        self.decayed_at = now


def adjusted_limit(limit: float, late: bool, out: int, least: float) -> float:
    """The limit on attempts in flight after an answer: lower if it was late, higher if half was in use."""
    if late:
        return max(min(limit, out + LATE_SLACK) - LATE_DECREASE, least)
    return limit + LIMIT_INCREASE if out + 1 > limit / 2 else limit


def dedup_group(klass: RequestClass, server: Server) -> str | int:
    """The group of backends that share their memory of idempotency keys with this one."""
    if klass.scope is Scope.ALL:
        return ""
    return server.backend.zone if klass.scope is Scope.ZONE else server.backend.cell
