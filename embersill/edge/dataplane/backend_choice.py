"""Load balancing: which backend a request goes to, where backends report their load. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from embersill.backends import Backends
from embersill.fleet import Fleet
from embersill.interface import Backend
from embersill.work import Job, Server

SAMPLE_SIZE = 5  # backends compared per request in the gateway's zone, and as many from all zones
# share of the latency target by which a backend of another zone has to be faster
REMOTE_ZONE_PENALTY_SHARE = 0.1
MIN_IN_FLIGHT_LIMIT = 2.0  # attempts that this gateway may always have in flight at a backend


class LoadedFleet(Fleet):
    """The backends of one service, chosen by the load that they report."""

    far = REMOTE_ZONE_PENALTY_SHARE
    local_servers: list[Server] = []  # the serving backends in this gateway's zone

    def set_order(self, servers: Iterable[Server]) -> None:
        """Sets the order in which backends are tried, and collects those of this zone."""
        super().set_order(servers)
        self.local_servers = [s for s in self.order if s.backend.zone == self.turn.settings.zone]

    def new_server(self, backend: Backend) -> Server:
        """A backend with its initial in-flight limit: a share of the slots that falls with more gateways."""
        start = (backend.slots + SAMPLE_SIZE) / self.turn.settings.gateways**0.5
        return Server(backend, max(MIN_IN_FLIGHT_LIMIT, start), self.turn.now)

    def choose(self, job: Job) -> Server | None:
        """The backend with the least cost out of a small random sample.

        All gateways see the same loads, so they would all choose the least loaded backend at once.
        """
        usual = self.usual_for(job)
        chance, order, local_servers = self.turn.random, self.order, self.local_servers
        drawn = chance.sample(local_servers, min(SAMPLE_SIZE, len(local_servers)))
        drawn += chance.sample(order, min(SAMPLE_SIZE, len(order)))
        best, least = None, 0.0
        for server in drawn:
            if not self.may_send(job, server):
                continue
            cost = self.cost_by_load(job, server, usual)
            if best is None or cost < least:
                best, least = server, cost
        return best or next((s for s in order if self.may_send(job, s)), None)

    def cost_by_load(self, job: Job, server: Server, usual: float) -> float:
        """The expected seconds of a request there, plus penalties against the backend expressed as time."""
        now, slots = self.turn.now, max(server.backend.slots, 1)
        load = server.load(now)
        ahead = max(load + 1.0 - slots, 0.0) / slots + 0.25 * load / slots
        slow = self.kinds.get(server.backend.kind, 1.0) * (1.0 + ahead)
        if not server.warm:
            slow /= max(server.cold_share(now, self.turn.settings), 0.1)
        server.decay_penalty(now)
        penalty = server.bad + server.overdue
        if job.attempts:
            penalty += sum(1 for a in job.attempts if a.server is server)
        if server.full:
            penalty += server.is_full((job.klass.name, job.throttle.plan.name), now)
        if server.backend.zone != self.turn.settings.zone:
            penalty += self.far
        return usual * slow + penalty * job.klass.aim

    def must_shed(self, job: Job) -> bool:
        """True if a request is to be rejected at once, which never happens while a backend has a free slot.

        Where requests take longer than their latency target all answers are late, and the limits fall however
        idle the backends are.
        """
        return super().must_shed(job) and not self.has_free_slot()

    def has_free_slot(self) -> bool:
        """True if one backend of a random sample has fewer requests than slots."""
        drawn = self.turn.random.sample(self.order, min(2 * SAMPLE_SIZE, len(self.order)))
        return any(server.load(self.turn.now) < server.backend.slots for server in drawn)

    def judge(self, late: bool, server: Server) -> None:
        """Adjusts the backend's in-flight limit after an answer, which was late or not.

        A late answer from a backend with a free slot means long work, not overload: sending less would not
        make it faster.
        """
        super().judge(late and server.load(self.turn.now) > max(server.backend.slots, 1), server)

    def apply_settings(self) -> None:
        """Applies changed settings; a smaller retry budget takes effect at once."""
        if self.budgeted:
            self.most_credit = self.turn.settings.max_saved_retries
            self.retry_credit = min(self.retry_credit, self.most_credit)


class EdgeBackends(Backends):
    """The backends of all services, each chosen by reported load."""

    far = REMOTE_ZONE_PENALTY_SHARE

    def new_fleet(self) -> Fleet:
        """Makes the fleet of one service."""
        made = LoadedFleet(self.turn, self.may_send)
        made.far = self.far
        return made

    def set_remote_zone_penalty(self, far: float) -> None:
        """Sets by how much a backend of another zone has to be faster, as a share of the latency target."""
        self.far = far
        for fleet in self.fleets.values():
            if isinstance(fleet, LoadedFleet):
                fleet.far = far
