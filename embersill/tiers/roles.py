"""Assembles the processes of the two tiers: the forwarder and the planner."""

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
from embersill.roles import Program, run_until_signal, start_clock, wait_first_list
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.links import ForwarderLinks, PlannerServer
from embersill.tiers.planner import Planner
from embersill.tiers.wire import Secret, deployment_digest

LINK_WAIT_S = 0.5  # a forwarder waits this long for a planner before it is ready without one
HANDOVER_TIMEOUT_S = 2.0  # for forwarders to lend their parts elsewhere when a planner stops
POLL_INTERVAL_S = 0.02  # between checks in either wait

log = logging.getLogger("embersill")


def report_every(seconds: float, role: str, name: str, status: Callable[[], dict[str, object]]) -> None:
    """Prints a JSON status line at this interval; never if it is zero."""

    def report() -> None:
        print(json.dumps({"role": role, "name": name, **status()}), flush=True)
        loop.call_later(seconds, report)

    if seconds > 0:
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, report)


def secret_of(tiers: Tiers) -> Secret:
    """The shared secret, with the digest of what all members must have in common."""
    return Secret(tiers.secret, deployment_digest(tiers.forwarders, tiers.parts, tiers.terms))


class ForwarderProgram(Program):
    """A gateway process whose decisions come from a forwarder instead of the decision module."""

    def __init__(self, configuration: Configuration, tiers: Tiers) -> None:
        clock = start_clock()
        core = Forwarder(
            configuration.settings,
            configuration.seed,
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
            configuration.name,
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
        super().__init__(configuration, clock, self.links)

    async def start(self) -> None:
        """Starts the links, and waits up to LINK_WAIT_S for a planner."""
        self.links.start(self.driver)
        await super().start()
        self.settled = False
        end = self.loop.time() + LINK_WAIT_S
        while self.loop.time() < end and not any(link.up for link in self.links.core.links.values()):
            await asyncio.sleep(POLL_INTERVAL_S)
        self.settled = True
        report_every(self.status_every, "forwarder", self.links.name, self.links.status)

    async def stop(self, still_coming: float | None = None, all_answered: float | None = None) -> None:
        """Stops the gateway, then closes the links."""
        given = [x for x in (still_coming, all_answered) if x is not None]
        await super().stop(*given)
        self.links.close()
        await asyncio.sleep(0)  # hands the last messages to the kernel before the loop ends


class CouncilSeat(Protocol):
    """The interface of a planner's membership in the council."""

    async def start(self) -> None:
        """Joins the council."""
        ...

    async def stop(self) -> None:
        """Leaves the council."""
        ...

    def status(self) -> dict[str, object]:
        """The council's figures for the status line."""
        ...


class PlannerProgram:
    """A planner process: it serves forwarders' links instead of clients, and connects to no backend."""

    def __init__(self, configuration: Configuration, tiers: Tiers) -> None:
        if configuration.name not in tiers.planners:
            raise BadConfiguration(f"tiers.planners: this planner, {configuration.name!r}, is not among them")
        self.clock = start_clock()
        self.core = Planner(
            configuration.settings,
            configuration.seed,
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
            configuration.name,
            most_frame=tiers.most_frame,
            most_unsent=tiers.most_unsent,
            others=tiers.planners,
        )
        self.address = tiers.planners[configuration.name]
        self.status_every = tiers.status_every
        self.settings = configuration.settings
        self.places: dict[str, tuple[str, int]] = {}
        self.filed = configuration.discovery_in_file
        self.chair: CouncilSeat | None = None
        self.list_told(configuration.known)
        self.discovery = Discovery(configuration.discovery, configuration.limits.dial_timeout, self.list_told)

    def list_told(self, listing: Listing) -> None:
        """Passes a backend list on to the core; a backend whose address was reused is reported as gone."""
        backends = []
        for entry in listing.entries:
            backend = entry.backend
            if backend.status is Status.SERVING:
                for old in [b for b, place in self.places.items() if place == entry.address]:
                    if old != backend.address:  # its address belongs to another backend now: it is gone
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
        """Switches to the discovery address of the reread file; an unusable file changes nothing."""
        try:
            fresh = read_configuration(dict(os.environ))
        except BadConfiguration as error:
            return log.warning("the configuration stays as it was: %s", error)
        before, self.filed = self.filed, fresh.discovery_in_file
        if fresh.discovery_in_file is not None and fresh.discovery_in_file != before:
            self.discovery.move(fresh.discovery_in_file)
        return None

    async def start(self) -> None:
        """Waits for the first backend list, then starts to listen."""
        self.discovery.start()
        await wait_first_list(self.discovery)
        await self.server.start(self.address)
        report_every(self.status_every, "planner", self.server.name, self.status)

    def status(self) -> dict[str, object]:
        """The figures of the status line."""
        seated = self.chair.status() if self.chair is not None else {}
        return {**self.core.status(), **self.server.status(), **seated}

    async def stop(self) -> None:
        """Hands its parts over first, so that its requests are continued elsewhere and not answered twice."""
        self.core.leave(self.clock())
        self.server.due()
        end = self.clock() + HANDOVER_TIMEOUT_S
        while not self.core.holds_nothing() and self.clock() < end:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.server.close()
        self.discovery.stop()

    async def run(self) -> None:
        """Runs the planner until it is told to stop."""
        await run_until_signal(self)
