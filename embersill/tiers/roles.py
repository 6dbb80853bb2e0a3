"""The processes of the two levels, put together: a forwarder's and a planner's."""

from __future__ import annotations

import asyncio
import json
import logging
import os
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from embersill.configuration.operator import Tiers
from embersill.configuration.platform import BadConfiguration, Configuration, read_configuration
from embersill.interface import BackendList, Status
from embersill.net.discovery import Discovery, Listing
from embersill.roles import Program, run_until_told, start_clock, wait_first_list
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.links import ForwarderLinks, PlannerServer
from embersill.tiers.planner import Planner
from embersill.tiers.wire import Secret, deployment_digest

LINKED_WITHIN = 0.5  # seconds that a forwarder waits for a planner before it is ready without one
HANDED_OVER = 2.0  # seconds for forwarders to lend their parts elsewhere when a planner stops
LOOK_EVERY = 0.02  # seconds between looks at whether they have

log = logging.getLogger("embersill")


def report_every(seconds: float, role: str, name: str, status: Callable[[], dict[str, object]]) -> None:
    """A line of JSON on the state now and then, where the operator wants it."""

    def report() -> None:
        print(json.dumps({"role": role, "name": name, **status()}), flush=True)
        loop.call_later(seconds, report)

    if seconds > 0:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, report)


def secret_of(tiers: Tiers) -> Secret:
    return Secret(tiers.secret, deployment_digest(tiers.forwarders, tiers.parts, tiers.terms))


class ForwarderProgram(Program):
    """A gateway's sockets, with a forwarder in place of the module."""

    def __init__(self, told: Configuration, tiers: Tiers) -> None:
        clock = start_clock()
        core = Forwarder(
            told.settings,
            told.seed,
            clock(),
            forwarders=len(tiers.forwarders),
            planners=tiers.planners,
            parts=tiers.parts,
            terms=tiers.terms,
            most_customers=tiers.most_customers,
        )
        self.links = ForwarderLinks(
            core,
            clock,
            secret_of(tiers),
            told.name,
            tiers.planners,
            most_frame=tiers.most_frame,
            most_unsent=tiers.most_unsent,
            helpers=tiers.helpers,
        )
        self.status_every = tiers.status_every
        if tiers.tell_refusals:
            core.on_refused = lambda request, why: print(
                json.dumps(
                    {"refusal": request.customer, "units": request.units, "at": round(clock(), 4), "why": why}
                ),
                flush=True,
            )
        super().__init__(told, clock, self.links)

    async def start(self) -> None:
        self.links.start(self.driver)
        await super().start()
        self.settled = False
        end = self.loop.time() + LINKED_WITHIN
        while self.loop.time() < end and not any(link.up for link in self.links.core.links.values()):
            await asyncio.sleep(LOOK_EVERY)
        self.settled = True
        report_every(self.status_every, "forwarder", self.links.name, self.links.status)

    async def stop(self, still_coming: float | None = None, all_answered: float | None = None) -> None:
        given = [x for x in (still_coming, all_answered) if x is not None]
        await super().stop(*given)
        self.links.close()
        await asyncio.sleep(0)  # the last words are with the kernel before the loop ends


class Seated(Protocol):
    """A planner's seat in the council, as far as this module knows of it."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def status(self) -> dict[str, object]: ...


class PlannerProgram:
    """A planner: links in place of clients, and no backend connection of its own."""

    def __init__(self, told: Configuration, tiers: Tiers) -> None:
        if told.name not in tiers.planners:
            raise BadConfiguration(f"tiers.planners: this planner, {told.name!r}, is not among them")
        self.clock = start_clock()
        self.core = Planner(
            told.settings,
            told.seed,
            self.clock(),
            forwarders=tiers.forwarders,
            planners=len(tiers.planners),
            parts=tiers.parts,
            terms=tiers.terms,
            most_customers=tiers.most_customers,
            most_open=tiers.most_open,
        )
        self.server = PlannerServer(
            self.core,
            self.clock,
            secret_of(tiers),
            told.name,
            most_frame=tiers.most_frame,
            most_unsent=tiers.most_unsent,
            others=tiers.planners,
        )
        self.address = tiers.planners[told.name]
        self.status_every = tiers.status_every
        self.settings = told.settings
        self.places: dict[str, tuple[str, int]] = {}
        self.filed = told.discovery_filed
        self.chair: Seated | None = None
        self.list_told(told.known)
        self.discovery = Discovery(told.discovery, told.limits.dial_timeout, self.list_told)

    def list_told(self, listing: Listing) -> None:
        backends = []
        for entry in listing.entries:
            backend = entry.backend
            if backend.status is Status.SERVING:
                for old in [b for b, place in self.places.items() if place == entry.address]:
                    if old != backend.address:  # its address has gone to another: it is no more
                        del self.places[old]
                        backends.append(replace(backend, address=old, status=Status.GONE))
                self.places[backend.address] = entry.address
            else:
                self.places.pop(backend.address, None)
            backends.append(backend)
        if listing.whole:
            named = {b.address for b in backends}
            self.places = {b: place for b, place in self.places.items() if b in named}
        self.core.list_told(BackendList(listing.kind, tuple(backends)), self.clock())
        self.server.due()

    def reload(self) -> None:
        """Moves discovery to where the file says now; without a usable file nothing changes."""
        try:
            fresh = read_configuration(dict(os.environ))
        except BadConfiguration as error:
            return log.warning("the configuration stays as it was: %s", error)
        before, self.filed = self.filed, fresh.discovery_filed
        if fresh.discovery_filed is not None and fresh.discovery_filed != before:
            self.discovery.move(fresh.discovery_filed)
        return None

    async def start(self) -> None:
        self.discovery.start()
        await wait_first_list(self.discovery)
        await self.server.start(self.address)
        report_every(self.status_every, "planner", self.server.name, self.status)

    def status(self) -> dict[str, object]:
        seated = self.chair.status() if self.chair is not None else {}
        return {**self.core.status(), **self.server.status(), **seated}

    async def stop(self) -> None:
        """Hands its parts over first: what it has decided is decided on elsewhere, not answered anew."""
        self.core.leave(self.clock())
        self.server.due()
        end = self.clock() + HANDED_OVER
        while not self.core.holds_nothing() and self.clock() < end:
            await asyncio.sleep(LOOK_EVERY)
        self.server.close()
        self.discovery.stop()

    async def run(self) -> None:
        await run_until_told(self)
