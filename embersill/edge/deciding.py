"""The decisions of a gateway of the system: those of the program in service, where backends tell their load.

Admission, attempts and answers are `Gateway`'s. What is added: backends tell their slots and load, slices
borrow from a reserve, the configuration changes, and a request that no backend ran is not charged.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from embersill.admission import Admission
from embersill.attempts import Attempts
from embersill.backends import Backends
from embersill.control import Gateway
from embersill.edge.figures import Figures
from embersill.edge.lapses import Slowed
from embersill.edge.policy import Policy
from embersill.edge.watch import ByKind, Watch
from embersill.fleet import Fleet
from embersill.interface import (
    AttemptEnded,
    Backend,
    Borrow,
    ClientLeft,
    Configured,
    Lent,
    Others,
    Outcome,
    Plan,
    Repeats,
    Settings,
    Sliced,
)
from embersill.throttle import PERIOD, Throttle
from embersill.totals import READING_LIFE
from embersill.work import EPS, Attempt, Job, Server

DRAWN = 5  # backends looked at in the zone, and so many anywhere
FAR = 0.1  # of the aim that a backend of another zone has to be sooner by
LEAST_OUT = 2.0  # attempts that may always be out at a backend from here
SHORT_FOR = 1.0  # seconds after a reserve had nothing in which its tenant counts as short
REPEATS_FROM = 0.5  # of a short tenant's bank, from which those that come again get a token
HELD_PART = 0.22  # of the aim that a request may wait for a token: who is turned away by then loses least
SLOWED_PATIENCE = 0.1  # of the wait bound, for a slowed tenant: a long one differs with how many come
SPREAD_MOST = 15.0  # seconds that callers of a slowed tenant are told to wait, times one to two
DRY_FOR = 0.2  # seconds after which a reserve that had nothing is asked again


class LoadedFleet(Fleet):
    """A service whose backends tell how much they have to do."""

    far = FAR
    here: list[Server] = []  # of those that serve, the ones in this gateway's zone

    def set_order(self, servers: Iterable[Server]) -> None:
        """Takes the order in which backends are looked at, and notes those of this zone."""
        super().set_order(servers)
        self.here = [s for s in self.order if s.backend.zone == self.turn.settings.zone]

    def new_server(self, backend: Backend) -> Server:
        """A backend with the number of requests that may be out there at first: its part of all gateways."""
        start = (backend.slots + DRAWN) / self.turn.settings.gateways**0.5
        return Server(backend, max(LEAST_OUT, start), self.turn.now)

    def choose(self, job: Job) -> Server | None:
        """The best of a few that are drawn, by the work that each still has.

        All gateways see the same loads, so that the best of all would be everybody's at once.
        """
        usual = self.usual_for(job)
        chance, order, here = self.turn.random, self.order, self.here
        drawn = chance.sample(here, min(DRAWN, len(here)))
        drawn += chance.sample(order, min(DRAWN, len(order)))
        best, least = None, 0.0
        for server in drawn:
            if not self.may_send(job, server):
                continue
            cost = self.cost_by_load(job, server, usual)
            if best is None or cost < least:
                best, least = server, cost
        return best or next((s for s in order if self.may_send(job, s)), None)

    def cost_by_load(self, job: Job, server: Server, usual: float) -> float:
        """Seconds that a request would take there, and what speaks against the backend as if it were time."""
        now, slots = self.turn.now, max(server.backend.slots, 1)
        work = server.work(now)
        ahead = max(work + 1.0 - slots, 0.0) / slots + 0.25 * work / slots
        slow = self.kinds.get(server.backend.kind, 1.0) * (1.0 + ahead)
        if not server.warm:
            slow /= max(server.cold_share(now, self.turn.settings), 0.1)
        server.fade(now)
        held = server.bad + server.overdue
        if job.attempts:
            held += sum(1 for a in job.attempts if a.server is server)
        if server.full:
            held += server.is_full((job.klass.name, job.throttle.plan.name), now)
        if server.backend.zone != self.turn.settings.zone:
            held += self.far
        return usual * slow + held * job.klass.aim

    def resettle(self) -> None:
        """The settings have changed: a smaller part of further attempts holds at once."""
        if self.budgeted:
            self.most_credit = self.turn.settings.retry_store
            self.retry_credit = min(self.retry_credit, self.most_credit)


class EdgeBackends(Backends):
    """Each service's backends tell their load."""

    far = FAR

    def new_fleet(self) -> Fleet:
        """The backends of one service, chosen among by the load that they tell."""
        made = LoadedFleet(self.turn, self.may_send)
        made.far = self.far
        return made

    def set_far(self, far: float) -> None:
        """Takes the time by which a backend of another zone has to be sooner, as a share of the aim."""
        self.far = far
        for fleet in self.fleets.values():
            if isinstance(fleet, LoadedFleet):
                fleet.far = far


class EdgeAttempts(Attempts):
    """Attempts whose comings and goings are told to the keepers of the backends' zones."""

    on_flight: Callable[[Server], None] = staticmethod(lambda server: None)
    squeezed: Mapping[str, Slowed] = {}  # tenants that are slowed down
    figures: Figures | None = None  # where there are orders about any
    observed: Watch | None = None  # while a policy is on its way

    def count_out(self, job: Job, attempt: Attempt) -> None:
        """An attempt is out; others are told how many are."""
        super().count_out(job, attempt)
        self.on_flight(attempt.server)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """An attempt has ended; others are told, and a staged policy is judged by how."""
        job = self.jobs.get(event.request)
        super().attempt_ended(event)
        if job is not None and 0 <= event.attempt < len(job.attempts):
            self.on_flight(job.attempts[event.attempt].server)
            if self.observed is not None and event.over:
                self.note_end(self.observed, job, event.outcome)

    def note_end(self, watch: Watch, job: Job, outcome: Outcome) -> None:
        """Counts how a request ended, for whoever judges a staged policy."""
        if outcome is Outcome.SERVED:
            watch.served(job.request.id, job.klass.name, self.turn.now - job.arrived)
        else:
            watch.failed(job.request.id, job.klass.name)

    def client_left(self, event: ClientLeft) -> None:
        """The client of a request has gone."""
        if self.observed is not None:
            self.observed.left(event.request)
        super().client_left(event)

    def place(self, job: Job) -> None:
        """Sends a request that may go on to a backend."""
        if self.figures is not None and not job.attempts:
            self.figures.let(job.throttle.customer, self.turn.now - job.arrived)
        if self.observed is not None and not job.attempts:
            self.observed.let_on(job.request.id, job.klass.name)
        super().place(job)

    def send(self, job: Job, server: Server) -> None:
        """Sends an attempt, unless others of its backend go first; counts what is sent twice."""
        if self.squeezed and self.behind(job, server):
            return self.give_up(job)
        if self.observed is None or job.risky is None or job.klass.repeats is not Repeats.ONCE:
            return super().send(job, server)
        before = len(job.attempts)
        super().send(job, server)
        if len(job.attempts) > before:
            self.observed.doubled(job.request.id, job.klass.name)
        return None

    def behind(self, job: Job, server: Server) -> bool:
        """True where a slowed tenant's request would wait at its backend before others' that come later.

        Its place falls with its share: with the whole it may wait as one in each slot does, with none never.
        """
        slowed, slots = self.squeezed.get(job.throttle.customer), server.backend.slots
        return slowed is not None and server.work(self.turn.now) + 1.0 > max(slots, 1) * (1.0 + slowed.share)

    def after_failure(self, job: Job, outcome: Outcome) -> None:
        """Further attempts of a slowed tenant cost the others' budget nothing."""
        if self.squeezed and job.throttle.customer in self.squeezed and not outcome.came_nowhere:
            return self.answer(job, PERIOD)
        return super().after_failure(job, outcome)

    def answer(self, job: Job, retry_after: float, over_quota: bool = False) -> None:
        """A request that came to backends and that none of them ran has used nothing of its quota."""
        throttle = job.throttle
        if not job.ended and job.attempts and job.risky is None and not job.beyond:
            throttle.refill(self.turn.now)
            most = max(throttle.bank - throttle.held, throttle.level)
            throttle.level = min(throttle.level + job.request.units, most)
        if self.figures is not None and over_quota and not job.ended:
            self.figures.turned_away(throttle.customer)
        if self.observed is not None and not (job.ended or job.streaming):
            unrun = job.risky is None or job.klass.repeats is not Repeats.ONCE
            (self.observed.refused if unrun else self.observed.failed)(job.request.id, job.klass.name)
        super().answer(job, retry_after, over_quota)

    def advice(self, job: Job, wait: float, over_quota: bool) -> float:
        """Callers of a tenant that is slowed down are spread over what its rate can serve."""
        throttle = job.throttle
        if throttle.customer not in self.squeezed:
            return super().advice(job, wait, over_quota)
        longest = max(wait, 1.0 / max(throttle.rate, EPS))
        return min(longest, SPREAD_MOST) * self.turn.random.uniform(1.0, 2.0)


class EdgeAdmission(Admission):
    """What a slice lacks is borrowed from the tenant's reserve, as long as that has any."""

    hold_share, strict = HELD_PART, True
    squeezed: Mapping[str, Slowed] = {}

    def admit(self, job: Job) -> None:
        """Where a tenant's reserve is dry, one that comes again goes behind those that come first.

        Both would take the same token, and the first one's answer is worth more.
        """
        throttle = job.throttle
        throttle.refill(self.turn.now)
        short = self.turn.now < throttle.dry_until + SHORT_FOR and throttle.plan.rate > 0
        if short and job.request.repeat and throttle.level < REPEATS_FROM * throttle.bank:
            throttle.note_demand(job.request.units, self.turn.now)
            self.totals.start_counting(throttle)
            return self.overflow(job, PERIOD)
        if not self.squeezed or throttle.customer not in self.squeezed:
            return super().admit(job)
        usual = self.hold_share
        self.hold_share = usual * SLOWED_PATIENCE
        super().admit(job)
        self.hold_share = usual
        return None

    def join(self, customer: str, width: int, plan: Plan, first: int = -1) -> Throttle:
        """Where many share a quota, a full bank of less than a token would be one more request at each."""
        throttle = super().join(customer, width, plan, first)
        throttle.whole = throttle.width > 1
        return throttle

    def may_borrow(self, throttle: Throttle) -> bool:
        """True if a tenant's throttle may ask for more than its slice now."""
        return throttle.plan.rate > 0 and not throttle.asking and self.turn.now >= throttle.dry_until

    def borrow(self, throttle: Throttle) -> None:
        """Asks for the tokens that the throttle lacks."""
        throttle.asking = True
        self.turn.actions.append(Borrow(throttle.customer, max(math.ceil(-throttle.level), 1.0)))

    def lent(self, event: Lent) -> None:
        """What the reserve gave goes to those that wait; what it lacks is waited for, or refused."""
        throttle = self.throttles.get(event.customer)
        if throttle is None or not throttle.asking:
            return
        throttle.asking = False
        throttle.refill(self.turn.now)
        throttle.level += max(event.units, 0.0)
        # on its own it goes by its bank, however thin: with nobody to borrow from it would serve none
        throttle.whole = event.units >= 0.0 and throttle.width > 1
        if event.units < 1.0:
            throttle.dry_until = self.turn.now + DRY_FOR
        elif throttle.level < -EPS and throttle.queue:
            return self.borrow(throttle)
        return self.release(throttle)

    def sliced(self, event: Sliced) -> None:
        """The slice is told by whoever sums the demand, and never gives away more than the quota."""
        throttle = self.throttles.get(event.customer)
        if throttle is None or throttle.plan.rate <= 0:
            return
        until = throttle.read_until
        if event.age is not None:  # from the question on: who told it counts with it for longer, however late
            until = self.turn.now + READING_LIFE * PERIOD - event.age
        if until > self.turn.now:
            throttle.read_until = until
            throttle.set_share(event.rate / throttle.plan.rate, self.turn.now)
            self.release(throttle)

    def replan(self) -> None:
        """Quotas or the number of gateways have changed: a throttle goes on with its level."""
        for throttle in self.throttles.values():
            plan = self.turn.plans.get(throttle.plan.name, throttle.plan)
            if throttle.plan != plan or throttle.width != self.turn.settings.gateways:
                throttle.change(plan, self.turn.settings.gateways, self.turn.now)
                self.release(throttle)


class EdgeGateway(Gateway):
    """Decides for one gateway of the system."""

    attempts: EdgeAttempts
    admission: EdgeAdmission
    backends: EdgeBackends

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.handlers |= {
            Configured: self.configured,
            Lent: self.admission.lent,
            Sliced: self.admission.sliced,
            Others: self.others,
        }

    def slow(self, tenants: Mapping[str, Slowed], figures: Figures | None) -> None:
        """These tenants are slowed down from now on; `figures` counts requests where there are orders."""
        self.attempts.squeezed, self.attempts.figures = tenants, figures
        self.admission.squeezed = tenants  # what they hold already keeps the bound it came with

    def follow(self, policy: Policy, label: str) -> None:
        """Decides by this policy from now on; `label`: the stretch of a run in which requests are counted."""
        self.admission.hold_share = policy.get("wait_share", HELD_PART)
        self.backends.set_far(policy.get("far_share", FAR))
        if not label:
            self.attempts.observed = None
            return
        self.attempts.observed = self.attempts.observed or Watch()
        self.attempts.observed.follow(label)

    def seen(self) -> dict[str, ByKind]:
        """What was counted here, by stretch, while a policy is on its way."""
        watch = self.attempts.observed
        if watch is None:
            return {}
        watch.look_for_missing(self.attempts.jobs.keys())
        return watch.stretches

    def parts(self) -> tuple[Backends, Attempts, Admission]:
        """The parts of the decisions, with those of this gateway in place of the usual ones."""
        backends = EdgeBackends(self.turn)
        attempts = EdgeAttempts(self.turn, self.totals, backends)
        return backends, attempts, EdgeAdmission(self.turn, self.totals, attempts)

    def others(self, event: Others) -> None:
        """What other gateways have out at backends, by their keepers."""
        for name, count in event.out.items():
            server = self.servers.get(name)
            if server is not None:
                server.others = count

    def configured(self, event: Configured) -> None:
        """Takes over classes and plans; what is under way keeps its class."""
        self.turn.configure(event.settings)
        for klass in event.settings.classes:
            self.attempts.late.setdefault(klass.name, deque())
        for plan in event.settings.plans:
            for sure in (False, True):
                self.totals.granted.setdefault((plan.name, sure), float(sure))
        for fleet in self.backends.fleets.values():
            if isinstance(fleet, LoadedFleet):
                fleet.resettle()
        self.admission.replan()
