"""Which backends there are, by the list and by staff's word, and the fleet of each service. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from embersill.fleet import Fleet
from embersill.interface import BackendList, BackendHold, ListKind, SetTimer, Status, Subscribe
from embersill.turn import Turn
from embersill.work import EPS, MAX_PENALTY, Job, Server


class Backends:
    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.servers: dict[str, Server] = {}
        self.fleets: dict[str, Fleet] = {}  # by service; where there is but one its name is empty
        self.held: set[str] = set()  # taken out of use by hand, listed or not
        self.may_send: Callable[[Job, Server], bool] = lambda job, server: False

    def new_fleet(self) -> Fleet:
        return Fleet(self.turn, self.may_send)

    def fleet(self, service: str) -> Fleet:
        """The backends of a service, made as it is first named."""
        fleet = self.fleets.get(service)
        if fleet is None:
            fleet = self.fleets[service] = self.new_fleet()
        return fleet

    def list_changed(self, event: BackendList) -> None:
        if event.kind is ListKind.FAILED:
            delay = self.turn.settings.ask_every / 8 * (0.5 + self.turn.random.random())
            return self.turn.actions.append(SetTimer(max(delay, EPS), "list"))
        if event.kind is not ListKind.CHANGES:
            named = {b.address for b in event.backends}
            self.servers = {a: s for a, s in self.servers.items() if a in named}
        for backend in event.backends:
            server = self.servers.get(backend.address)
            if backend.status is Status.GONE:
                self.servers.pop(backend.address, None)
            elif server is None or server.backend.started != backend.started:
                self.servers[backend.address] = self.fleet(backend.service).new_server(backend)
            else:
                server.backend = backend
        self.set_order()
        if event.kind is ListKind.REMEMBERED and not self.turn.settings.list_pushed:
            self.turn.actions.append(Subscribe())

    def set_order(self) -> None:
        """Tells each service's fleet which of its backends requests may go to."""
        open_to = [s for s in self.servers.values() if s.backend.address not in self.held]
        services = {server.backend.service for server in open_to} | self.fleets.keys()
        for service in services:
            self.fleet(service).set_order(s for s in open_to if s.backend.service == service)

    def take_out(self, event: BackendHold) -> None:
        """By hand: as if it drained, whatever is listed; back, it is cold, for it may have been restarted."""
        if event.out:
            self.held.add(event.backend)
        elif event.backend in self.held:
            self.held.discard(event.backend)
            before = self.servers.get(event.backend)
            if before is not None:
                server = self.fleet(before.backend.service).new_server(before.backend)
                self.servers[event.backend] = server
                server.started, server.warm = self.turn.now, False
        self.set_order()

    def avoided(self) -> int:
        """Listed backends that get nothing now: by the list's word, by hand, or for what they did."""
        serving = [server for fleet in self.fleets.values() for server in fleet.order]
        for server in serving:
            server.decay_penalty(self.turn.now)
        return len(self.servers) - len(serving) + sum(s.bad >= MAX_PENALTY / 2 for s in serving)
