"""The backends of one service as one gateway sees them: load balancing, penalties, and overload shedding.

All of it is learned from attempts: how long they took, whether they failed, the load reported. No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from embersill.interface import AttemptEnded, Backend, Outcome, Repeats, Status
from embersill.turn import Turn
from embersill.work import (
    HALF_LIFE_S, INITIAL_LIMIT, MAX_PENALTY, MIN_LIMIT, Attempt, Job, Server, adjusted_limit, dedup_group,
)

BLEND = 0.15  # weight of one sample in a moving average: about the last dozen answers count
UNPROVEN = 0.5  # penalty, for requests that must run once, until a backend has served after a failure
FEW_GATEWAYS = 10.0  # with more of them, each sees less of a backend and remembers its failures for longer
MAX_LIFE_FACTOR = 4.0  # by which penalties then last longer, at most
REDRAW_COST = 0.5  # of the aim: cost from which further candidates are drawn
COLD_PART = 0.34  # of the work that would overload a cold backend: chance and large requests double it
COLD_LIFT = 1.8  # most by which that part is multiplied where warm backends are too few, or late
WARMTH_INTERVAL_S = 0.25  # between checks of how warm the fleet is
MIN_SUBSET = 16  # backends in a gateway's subset, at the least: with two of them bad fourteen are left
COVER = 24.0  # gateways, about, that use each backend at the least: their uneven loads even out
GOLDEN = (5**0.5 - 1) / 2  # its multiples, modulo 1, are spread evenly, however many there are
FULL_FOR_S = 15.0  # during which a backend that rejected a class or plan is not chosen for it
MIN_IN_FLIGHT = 1.0  # attempts that a gateway may always have in flight; a fraction is drawn at random
PASS_DECREASE = 0.7  # factor on the admitted part for a late answer
PASS_INCREASE = 1.25  # the same for one in time: they balance where 38% are late
MIN_ADMITTED = 0.05  # of requests: with fewer sent the end of an overload would go unnoticed
JUDGE_INTERVAL_S = 1.0  # from the answer before, for an answer to count in full; a sooner one counts less
RETRY_BURST = 10.0  # retries that may be saved up: enough for the sudden loss of one backend
CHOICES = 2  # candidates for each send: two balance the load; more would herd on one gateway's view
DRAWS = 8  # most draws for them: with half of the fleet unusable 1 in 256 finds none, then all are scanned


class Fleet:
    """One service's backends, with what this gateway has learned about them."""

    def __init__(self, turn: Turn, may_send: Callable[[Job, Server], bool]) -> None:
        """`may_send`: the gateway's rules for one more attempt."""
        self.turn, self.may_send = turn, may_send
        self.order: list[Server] = []  # all that are serving
        self.near: list[Server] = []  # of the warm ones, the subset that this gateway connects to
        self.near_cold: list[Server] = []  # the same of those still warming up
        self.cold_draws = 0.0  # fraction of the first draws made among these
        # where this gateway's subset begins: those of neighbours, who share customers, begin far apart
        self.phase = turn.settings.me * GOLDEN % 1.0
        self.drawn: Server | None = None  # the cold backend that the current draw permits
        self.warm_late = 0.0  # moving fraction of the warm backends' answers that were late
        self.warmth, self.warmth_until = 1.0, turn.now  # fraction of the fleet's capacity there, valid until
        self.kinds: dict[str, float] = {}  # answer time of a kind of machine relative to the fleet's
        self.usual: dict[tuple[str, float], float] = {}
        # the retry budget: shared by all gateways or this gateway's own; how many may be saved up
        self.budgeted = turn.settings.max_saved_retries >= 0
        self.most_credit = turn.settings.max_saved_retries if self.budgeted else RETRY_BURST
        self.retry_credit = self.most_credit * turn.settings.initial_fill
        # each gateway finds failures by itself, and again after they decay: the cost adds up over all
        self.half_life = HALF_LIFE_S * min(max(turn.settings.gateways / FEW_GATEWAYS, 1.0), MAX_LIFE_FACTOR)
        self.passed, self.judged = 1.0, turn.now
        self.flight, self.limit = 0, float("inf")  # attempts in flight and not late, and their limit

    def usual_for(self, job: Job) -> float:
        """The typical time, in seconds, of such a request on this fleet."""
        fallback = self.usual.get((job.klass.name, 0.0), job.klass.aim / 8)
        return self.usual.get(job.latency_key, fallback)

    def choose(self, job: Job) -> Server | None:
        """The better of two random candidates; more are drawn while these are unusable or have failed."""
        if self.turn.now >= self.warmth_until:
            self.update_warmth()
        pool = self.near
        if job.may_have_run is not None and job.klass.repeats is Repeats.BY_KEY:
            group = dedup_group(job.klass, job.may_have_run.server)
            pool = [s for s in self.order if dedup_group(job.klass, s) == group]
        best, least, found = None, 0.0, 0
        usual, self.drawn = self.usual_for(job), None
        if self.near_cold and pool is self.near and self.turn.random.random() < self.cold_draws:
            server = self.near_cold[int(self.turn.random.random() * len(self.near_cold))]
            if self.turn.random.random() < self.cold_chance(server):
                self.drawn = server
                if self.may_send(job, server):
                    return server
        for _ in range(DRAWS if pool else 0):
            server = pool[int(self.turn.random.random() * len(pool))]
            cost = self.cost(job, server, usual) if self.may_send(job, server) else -1.0
            if cost >= 0 and (best is None or cost < least):
                best, least = server, cost
            found += cost >= 0
            if found >= CHOICES and least < REDRAW_COST * job.klass.aim:
                break
        return best or next((s for s in self.order if self.may_send(job, s)), None)

    def cost(self, job: Job, server: Server, usual: float) -> float:
        server.decay_penalty(self.turn.now)
        held = server.bad + server.overdue
        if job.attempts:
            held += sum(1 for a in job.attempts if a.server is server)
        if server.full:
            held += server.is_full((job.klass.name, job.throttle.plan.name), self.turn.now)
        if not server.proven and job.klass.repeats is Repeats.ONCE:
            held += UNPROVEN
        slow = self.kinds.get(server.backend.kind, 1.0) * (server.flight + 1.0)
        return usual * slow + held * job.klass.aim

    def cold_chance(self, server: Server) -> float:
        """The probability of keeping a draw that fell on a cold backend, the same at all gateways."""
        part = min(1.0, self.turn.settings.fall_multiple * COLD_PART)
        # warm ones carry the rest: if most are cold, all take their share, and more if warm ones are late
        lift = min((1.0 + self.warm_late) / self.warmth, COLD_LIFT)
        return part * server.cold_share(self.turn.now, self.turn.settings) * lift

    def update_warmth(self) -> None:
        """Periodically updates the warmth of the fleet and this gateway's subset of its backends.

        Where many gateways see few requests each, a gateway would return to the same backend too seldom: no
        connection is reused, and nothing is learned about a backend before it matters. So each gateway uses
        a contiguous subset of an order that is the same everywhere; every backend is in equally many subsets.
        """
        self.warmth_until = self.turn.now + WARMTH_INTERVAL_S
        settings, whole = self.turn.settings, 0.0
        warm: list[Server] = []
        cold: list[Server] = []
        for server in self.order:
            share = 1.0 if server.warm else server.cold_share(self.turn.now, settings)
            whole += share
            (warm if share >= 1.0 else cold).append(server)
        self.warmth = max(whole / max(len(self.order), 1), 1.0 / COLD_LIFT / 2)
        self.cold_draws = len(cold) / max(len(self.order), 1)
        self.near, self.near_cold = self.subset_of(warm), self.subset_of(cold)

    def subset_of(self, servers: list[Server]) -> list[Server]:
        count = len(servers)
        size = max(MIN_SUBSET, math.ceil(COVER * count / self.turn.settings.gateways))
        if size >= count:
            return servers
        servers.sort(key=lambda s: s.order_key)
        begin = int(self.phase * count)
        return (servers + servers)[begin:begin + size]

    def must_shed(self, job: Job) -> bool:
        """Whether to shed a request, those with little credit first, since the fleet as a whole is late."""
        throttle = job.throttle
        if self.flight >= self.limit + self.turn.random.random() - 0.5:
            return True
        good = throttle.level + throttle.held >= throttle.bank / 2
        return self.turn.random.random() > 2 * self.passed - (0.0 if good else 1.0)

    def judge(self, late: bool, server: Server) -> None:
        """Adapts the limits and the admitted part; the steps of that are relative, whatever its size."""
        server.limit = adjusted_limit(server.limit, late, server.flight, server.least)
        if server.warm:
            self.warm_late += BLEND / 2 * (late - self.warm_late)
        least = max(MIN_IN_FLIGHT, MIN_LIMIT * len(self.order) / self.turn.settings.gateways)
        self.limit = adjusted_limit(self.limit, late, self.flight, least)
        weight = min(1.0, (self.turn.now - self.judged) / JUDGE_INTERVAL_S)
        self.judged = self.turn.now
        self.passed *= (PASS_DECREASE if late else PASS_INCREASE) ** weight
        self.passed = min(max(self.passed, MIN_ADMITTED), 1.0)

    def set_order(self, servers: Iterable[Server]) -> None:
        """Takes the service's backends that requests may go to."""
        self.order = [s for s in servers if s.backend.status is Status.SERVING]
        self.warmth_until = self.turn.now

    def new_server(self, backend: Backend) -> Server:
        """The initial state of a backend that is seen for the first time."""
        return Server(backend, max(1.0, INITIAL_LIMIT / self.turn.settings.gateways), self.turn.now)

    def learn(self, job: Job, attempt: Attempt, event: AttemptEnded) -> None:
        server, outcome = attempt.server, event.outcome
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        server.decay_penalty(self.turn.now)
        if event.load:
            server.set_load(event.load, self.turn.now)
        kind = (job.klass.name, job.throttle.plan.name)
        if outcome is Outcome.TURNED_AWAY:  # perhaps only this class or plan: not a sign of bad health
            return server.full.update({kind: self.turn.now + FULL_FOR_S})
        bad, late = outcome is not Outcome.SERVED, event.elapsed > self.turn.settings.late_at * job.klass.aim
        if not attempt.overdue and outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            self.judge(late, server)
        if bad:
            dead = outcome is Outcome.NO_CONNECTION  # overload of the fleet does not cause this
            server.bad = max(min(2 * server.bad + 1.0, MAX_PENALTY), MAX_PENALTY / 2 if dead else 0.0)
            server.proven = False
            # a late backend may be overloaded and is tried again soon; one that answers errors goes on so
            server.half_life = self.half_life if outcome is Outcome.ERROR else HALF_LIFE_S
            return None
        server.bad /= 2
        server.proven = True
        server.full.pop(kind, None)
        for key in (job.latency_key, (job.klass.name, 0.0)):
            before = self.usual.get(key, event.elapsed)
            self.usual[key] = before + BLEND / 3 * (event.elapsed - before)
        name, slow = server.backend.kind, event.elapsed / max(attempt.weight, 1e-4)
        self.kinds[name] = self.kinds.get(name, 1.0) + BLEND / 3 * (slow - self.kinds.get(name, 1.0))
        return None
