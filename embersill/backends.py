"""The known backends, from discovery's list and the operators' holds, and each service's fleet. No I/O."""

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
        self.fleets: dict[str, Fleet] = {}  # by service; a single service has an empty name
        self.held: set[str] = set()  # taken out of use by an operator, listed or not
        self.may_send: Callable[[Job, Server], bool] = lambda job, server: False

    def new_fleet(self) -> Fleet:
        return Fleet(self.turn, self.may_send)

    def fleet(self, service: str) -> Fleet:
        """The fleet of a service, created when the service is first named."""
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
        """Gives each service's fleet those of its backends that requests may go to."""
        available = [s for s in self.servers.values() if s.backend.address not in self.held]
        services = {server.backend.service for server in available} | self.fleets.keys()
        for service in services:
            self.fleet(service).set_order(s for s in available if s.backend.service == service)

    def take_out(self, event: BackendHold) -> None:
        """Treats a held backend as draining; one put back counts as cold: it may have been restarted."""
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
        """The number of listed backends that get no requests: not serving, held, or for their penalty."""
        serving = [server for fleet in self.fleets.values() for server in fleet.order]
        for server in serving:
            server.decay_penalty(self.turn.now)
        return len(self.servers) - len(serving) + sum(s.bad >= MAX_PENALTY / 2 for s in serving)
