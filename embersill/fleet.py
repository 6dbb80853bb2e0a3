"""The backends of one service as a gateway sees them: which one a request goes to, what is held against each.

Attempts speak: how long an answer took, whether it failed, what the backend said of its load. No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from embersill.interface import AttemptEnded, Backend, Outcome, Repeats, Status
from embersill.turn import Turn
from embersill.work import (
    HALF_LIFE_S, INITIAL_LIMIT, MAX_PENALTY, MIN_LIMIT, Attempt, Job, Server, adjusted_limit, dedup_group,
)

BLEND = 0.15  # weight of one sample in a backend's learned figures: about the last dozen answers count
UNPROVEN = 0.5  # held against a backend for what runs once, until it has served since its last failure
FEW_GATEWAYS = 10.0  # gateways from which each hears less of a backend, and remembers its failures for longer
LONGEST_MEMORY = 4.0  # times as long, at most
SHUN = 0.5  # what is held against a backend from which another draw is made in its place
COLD_PART = 0.34  # of the work that would push a cold backend over, at most: chance and large work double it
COLD_LIFT = 1.8  # times that part, at most, where the warm ones are too few, or late
LOOK_EVERY = 0.25  # seconds between looks at how warm the fleet is
LEAST_NEAR = 16  # backends that a gateway keeps to, at the least: two of them bad leave fourteen
COVER = 24.0  # gateways that each backend is used by, about, at the least: their uneven loads even out
GOLDEN = (5**0.5 - 1) / 2  # multiples of it lie evenly on a circle, however many they are
FULL_FOR = 15.0  # seconds a backend that turned a plan or a class away is passed over for it
LEAST_OUT = 1.0  # attempts a gateway may always have out; the fraction of one is drawn
PASS_LESS = 0.7  # times the part that is sent on for a late answer
PASS_MORE = 1.25  # and for one in time: it stands still where 38% are late
LEAST_PASSED = 0.05  # of requests sent on: with less nothing would tell that it is over
JUDGE_EVERY = 1.0  # seconds from which a judged answer counts in full: where more come each says less
RETRY_STORE = 10.0  # further attempts that may be saved up: enough for one backend's sudden end
CHOICES = 2  # candidates drawn for each send: two see the load, and more would herd on one gateway's view
DRAWS = 8  # draws for these: with half of the fleet unfit one in 256 fails, and a scan is made


class Fleet:
    """One service's backends, with what this gateway has learned of them."""

    def __init__(self, turn: Turn, may_send: Callable[[Job, Server], bool]) -> None:
        """`may_send`: the rules for one more attempt, which are the gateway's own."""
        self.turn, self.may_send = turn, may_send
        self.order: list[Server] = []  # those that serve, for drawing
        self.near: list[Server] = []  # of the warm ones, those that this gateway's connections go to
        self.near_cold: list[Server] = []  # and of those that still warm up
        self.cold_draws = 0.0  # part of the first draws that is for these
        # where this gateway's part of them begins: neighbours, who share customers, begin far apart
        self.phase = turn.settings.me * GOLDEN % 1.0
        self.drawn: Server | None = None  # the cold backend that the draw has let through
        self.warm_late = 0.0  # part of the warm backends' last answers that were late
        self.warmth, self.warmth_until = 1.0, turn.now  # the fleet's part of its whole capacity, until when
        self.kinds: dict[str, float] = {}  # answer time of a kind of machine against the fleet's
        self.usual: dict[tuple[str, float], float] = {}
        # further attempts: paid for by all gateways together, or by each; how many may be saved up
        self.budgeted = turn.settings.retry_store >= 0
        self.most_credit = turn.settings.retry_store if self.budgeted else RETRY_STORE
        self.retry_credit = self.most_credit * turn.settings.banks_from
        # each gateway finds out by itself, and again when it has forgotten: what that costs adds up over all
        self.half_life = HALF_LIFE_S * min(max(turn.settings.gateways / FEW_GATEWAYS, 1.0), LONGEST_MEMORY)
        self.passed, self.judged = 1.0, turn.now
        self.flight, self.limit = 0, float("inf")  # attempts out and not late, and how many may be

    def usual_for(self, job: Job) -> float:
        """Seconds such a request takes on the fleet."""
        fallback = self.usual.get((job.klass.name, 0.0), job.klass.aim / 8)
        return self.usual.get(job.latency_key, fallback)

    def choose(self, job: Job) -> Server | None:
        """The better of two that are drawn; more replace the unfit, and those that failed unless all did."""
        if self.turn.now >= self.warmth_until:
            self.look_around()
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
            if found >= CHOICES and least < SHUN * job.klass.aim:
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
        """The part kept of draws that fall on a cold backend, alike at all gateways: of a warm one's work."""
        part = min(1.0, self.turn.settings.fall_multiple * COLD_PART)
        # warm ones carry the rest: if most are cold, all take their share, and more if warm ones are late
        lift = min((1.0 + self.warm_late) / self.warmth, COLD_LIFT)
        return part * server.cold_share(self.turn.now, self.turn.settings) * lift

    def look_around(self) -> None:
        """Every so often: how warm the fleet is, and which backends are this gateway's to use.

        Where many gateways see few requests each, one and the same backend is met again too seldom: no
        connection is used twice, and nothing is learned of a backend before it matters. So each gateway keeps
        to a row of them, in an order that is the same everywhere, and all backends stand in as many rows.
        """
        self.warmth_until = self.turn.now + LOOK_EVERY
        settings, whole = self.turn.settings, 0.0
        warm: list[Server] = []
        cold: list[Server] = []
        for server in self.order:
            share = 1.0 if server.warm else server.cold_share(self.turn.now, settings)
            whole += share
            (warm if share >= 1.0 else cold).append(server)
        self.warmth = max(whole / max(len(self.order), 1), 1.0 / COLD_LIFT / 2)
        self.cold_draws = len(cold) / max(len(self.order), 1)
        self.near, self.near_cold = self.row_of(warm), self.row_of(cold)

    def row_of(self, servers: list[Server]) -> list[Server]:
        count = len(servers)
        size = max(LEAST_NEAR, math.ceil(COVER * count / self.turn.settings.gateways))
        if size >= count:
            return servers
        servers.sort(key=lambda s: s.order_key)
        begin = int(self.phase * count)
        return (servers + servers)[begin:begin + size]

    def pressed(self, job: Job) -> bool:
        """Sheds while answers are late, those with little credit first: overload no one backend shows."""
        throttle = job.throttle
        if self.flight >= self.limit + self.turn.random.random() - 0.5:
            return True
        good = throttle.level + throttle.held >= throttle.bank / 2
        return self.turn.random.random() > 2 * self.passed - (0.0 if good else 1.0)

    def judge(self, late: bool, server: Server) -> None:
        """Moves the limits and the part that is sent on, whose steps scale with itself at any width."""
        server.limit = adjusted_limit(server.limit, late, server.flight, server.least)
        if server.warm:
            self.warm_late += BLEND / 2 * (late - self.warm_late)
        least = max(LEAST_OUT, MIN_LIMIT * len(self.order) / self.turn.settings.gateways)
        self.limit = adjusted_limit(self.limit, late, self.flight, least)
        weight = min(1.0, (self.turn.now - self.judged) / JUDGE_EVERY)
        self.judged = self.turn.now
        self.passed *= (PASS_LESS if late else PASS_MORE) ** weight
        self.passed = min(max(self.passed, LEAST_PASSED), 1.0)

    def set_order(self, servers: Iterable[Server]) -> None:
        """The service's backends that requests may go to."""
        self.order = [s for s in servers if s.backend.status is Status.SERVING]
        self.warmth_until = self.turn.now

    def new_server(self, backend: Backend) -> Server:
        """What is known of a backend that is seen for the first time."""
        return Server(backend, max(1.0, INITIAL_LIMIT / self.turn.settings.gateways), self.turn.now)

    def learn(self, job: Job, attempt: Attempt, event: AttemptEnded) -> None:
        server, outcome = attempt.server, event.outcome
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        server.decay_penalty(self.turn.now)
        if event.load:
            server.set_load(event.load, self.turn.now)
        kind = (job.klass.name, job.throttle.plan.name)
        if outcome is Outcome.TURNED_AWAY:  # maybe for no other plan or class: no sign of its health
            return server.full.update({kind: self.turn.now + FULL_FOR})
        bad, late = outcome is not Outcome.SERVED, event.elapsed > self.turn.settings.late_at * job.klass.aim
        if not attempt.overdue and outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            self.judge(late, server)
        if bad:
            dead = outcome is Outcome.NO_CONNECTION  # no slowness of the fleet looks like this
            server.bad = max(min(2 * server.bad + 1.0, MAX_PENALTY), MAX_PENALTY / 2 if dead else 0.0)
            server.proven = False
            # what is late may be crowded, and is soon tried again; one that answers errors goes on with it
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
