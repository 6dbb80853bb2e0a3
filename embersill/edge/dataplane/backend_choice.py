"""Which backend a request goes to, where backends tell how much they have to do. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from embersill.backends import Backends
from embersill.fleet import Fleet
from embersill.interface import Backend
from embersill.work import Job, Server

DRAWN = 5  # backends looked at in the zone, and so many anywhere
FAR = 0.1  # of the aim that a backend of another zone has to be sooner by
LEAST_OUT = 2.0  # attempts that may always be out at a backend from here


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

    def pressed(self, job: Job) -> bool:
        """True if a request is to be turned away at once: not while a backend has a slot free.

        Where work takes longer than its aim all answers are late, and the limits fall however idle the
        backends are.
        """
        return super().pressed(job) and not self.has_free_slot()

    def has_free_slot(self) -> bool:
        """True if one of a few backends that are drawn works on fewer requests than it has slots."""
        drawn = self.turn.random.sample(self.order, min(2 * DRAWN, len(self.order)))
        return any(server.work(self.turn.now) < server.backend.slots for server in drawn)

    def judge(self, late: bool, server: Server) -> None:
        """Takes an answer, late or not, for the limits on what may be out.

        A late one from a backend that has a slot free tells of long work there, not of too much of it: with
        less sent on it would take as long.
        """
        super().judge(late and server.work(self.turn.now) > max(server.backend.slots, 1), server)

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
