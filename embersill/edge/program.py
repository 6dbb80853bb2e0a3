"""The parts of one gateway of the system, put together, from start to stop."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import random
import time
import zlib
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
from expression import Error, Ok, Result

from embersill.edge.records import Save, Stored, Vote
from embersill.edge.dataplane.gateway import EdgeGateway
from embersill.edge.dataplane.dialect import EdgeDialect
from embersill.edge.dataplane.handlers import ControlHandler, ClientHandler, ReadinessHandler
from embersill.edge.dataplane.in_flight import InFlight
from embersill.edge.discovery.instances import GONE, Instance
from embersill.edge.peers.links import Links
from embersill.edge.listening import when_free
from embersill.edge.local import Local, bound, read_local
from embersill.edge.consensus.membership import Requirements
from embersill.edge.node import Node
from embersill.edge.consensus.founding import address_key
from embersill.edge.configuration.policy import Policy
from embersill.edge.peers.peer_set import Hello
from embersill.edge.configuration.routes import WARM_WITHIN, Table, settings_for
from embersill.edge.storage.store import Store
from embersill.edge.dataplane.metrics import Metrics
from embersill.edge.dataplane.tally import QuotaClient
from embersill.interface import Backend, Configured, ListKind, Settings, Status
from embersill.net.backends import Pool
from embersill.net.clients import Front
from embersill.net.discovery import Entry, Listing, read_address
from embersill.net.driver import Driver

TICK = 0.02  # seconds between looks at what is due
DIAL_WITHIN = 0.6  # seconds for a connection to a backend: under load an opening packet may wait
KEPT = 8.0  # seconds that one may be unused before its backends have said how long they keep it
FILES = 200  # descriptors that the machine keeps for files
OWN = 120  # descriptors for links, listeners and calls of control
CLIENTS_PART = 0.5  # of the rest
ROOM = 32 << 20  # bytes for long bodies under way
CONTROL_MOST = 200  # connections that call control
CONTROL_ROOM = 16 << 20
STOP_AT_LATEST = 0.7  # seconds before the platform's own end
SEEN_LEAVING = 2.3  # seconds after SIGTERM in which clients may still be sent here
LISTEN_WITHIN = 5.0  # seconds for an address that the process before this one still holds
SHORT = 0.05
BEHIND_BY = 0.1  # seconds that a tick comes late, from which clients may have left before they are read
BEHIND_FOR = 0.5  # seconds after such a tick in which that is looked for

log = logging.getLogger("embersill.edge")


class System:
    """One gateway: `Node` decides on the system, `Gateway` on requests; here they meet sockets and disk."""

    def __init__(self, local: Local, store: Store | None, stored: Stored) -> None:
        self.local, self.store = local, store
        self.loop = asyncio.get_running_loop()
        self.clock = time.monotonic
        name, seed = local["node_name"], random.SystemRandom().getrandbits(48)
        self.chance = random.Random(seed)
        self.me = zlib.crc32(name.encode()) % 997
        now = self.clock()
        control = local["listen_addresses"].get("control_plane", f"{local['ip_address']}:0")
        seeds = [read_address(text)[0] for text in local["seed_nodes"]]
        # where no machine has a disk those that count keep the state in memory, and learn it anew
        core = local["counts_toward_quorum"] and (store is not None or not local.get("data_directory"))
        hello = Hello(
            name,
            local["ip_address"],
            local["zone"],
            control,
            core,
            stored.store,
            f"{self.chance.getrandbits(48):012x}",
        )
        self.node = Node(hello, seeds, stored, self.chance, now, local.get("heartbeat_interval_s", 1.0))
        self.node.founding.requirements = requirements_of(local)
        self.node.demand.on_holding = self.holding
        self.node.on_view = log.info
        self.node.on_table, self.node.on_instances = self.table_came, self.instances_came
        self.node.on_policy = self.policy_came
        self.count = 1
        descriptors = int(local["limits"]["file_descriptors"]) - FILES - OWN
        clients = max(int(descriptors * CLIENTS_PART), 16)
        dialect = EdgeDialect(self.misdirected)
        self.pool = Pool(self.clock, DIAL_WITHIN, KEPT, max(descriptors - clients, 16), dialect)
        self.pool.enable_streaming()
        self.gateway = EdgeGateway(self.settings(), seed, now)
        self.node.roller.counts = self.gateway.seen
        self.driver = Driver(self.gateway, self.clock, self.pool)
        self.driver.busy_status = 503
        self.in_flight = InFlight(self.node, self.driver.post, self.loop.call_later)
        self.in_flight.on_flush = self.carry_out
        self.gateway.attempts.on_in_flight_change = self.in_flight.changed
        self.quota_client = QuotaClient(self.node, self.clock, self.driver.post, self.loop.call_later)
        self.quota_client.on_flush = self.carry_out
        self.driver.counter, self.driver.reserve = self.quota_client, self.quota_client.borrow
        sums = self.node.demand.sums
        sums.overshoot, sums.slack = bound(local, "quota_overshoot", 0.0), bound(local, "quota_slack", 0.0)
        self.handler = ClientHandler(lambda: self.driver, self.chance)
        self.handler.is_behind, self.handler.after_next_look = self.is_behind, self.after_next_look
        self.handler.on_stopped = self.node.reports.figures.count_rejected
        self.front = self.door(clients, self.handler, ROOM)
        self.metrics = Metrics(self.driver, self.gateway, self.front)
        self.ready = self.door(32, ReadinessHandler(self.is_ready, self.metrics), 0)
        self.control = self.door(CONTROL_MOST, ControlHandler(self.control_called), CONTROL_ROOM)
        port = local["internal_port_range"][0]
        self.links = Links(self.node, self.clock, local["ip_address"], port, self.node.peers.targets)
        self.links.flush = self.carry_out
        self.ticker: asyncio.TimerHandle | None = None
        self.tick_due, self.behind_until = now, 0.0
        self.stopping = False

    def door(self, most: int, desk: Any, room: int) -> Front:
        """A listener with bounds on its connections and on bytes under way."""
        front = Front(self.driver, self.settings(), self.clock, most, self.is_ready, desk)
        front.room_in_all = front.room = room
        return front

    def settings(self) -> Settings:
        """The settings of the decisions, by the configuration, the policy and the number of gateways."""
        return settings_for(
            self.node.table,
            zone=self.local["zone"],
            me=self.me,
            gateways=max(self.node.peers.count, 1),
            fresh=self.local["first_start"],
            ratio=bound(self.local, "retry_budget_ratio", 0.1),
            slack=bound(self.local, "retry_budget_slack", 10.0),
            policy=self.node.policy[0],
        )

    def is_ready(self) -> bool:
        """True if new clients may be sent here."""
        return not self.stopping and self.node.table is not None and bool(self.driver.serving)

    def holding(self) -> dict[str, float]:
        """Slices that were told and still decide, by tenant."""
        now = self.clock()
        return {
            name: throttle.rate
            for name, throttle in self.gateway.throttles.items()
            if throttle.read_until > now
        }

    # what the node tells

    def table_came(self, table: Table) -> None:
        """Another configuration is in force."""
        limits = table.document.get("limits", {})
        self.front.read_within = max(limits.get("header_timeout_s", 3.0), 1.0)
        self.front.idle_limit = limits.get("idle_timeout_s", 15.0) + 0.5
        self.gateway.slow(table.squeezed, self.node.figures)
        self.driver.post(Configured(self.settings()))
        self.handler.apply_table(table)
        log.info("configuration version=%d routes=%d", table.version, len(table.document["routes"]))

    def policy_came(self, policy: Policy, label: str) -> None:
        """Another policy is in force."""
        self.gateway.follow(policy, label)
        self.driver.post(Configured(self.settings()))
        log.info("policy name=%s stretch=%s", policy["name"].replace(" ", "_"), label or "none")

    def instances_came(self, news: list[Instance]) -> None:
        """Backends have changed."""
        now = self.clock()
        entries = []
        for one in news:
            ended = one.state == GONE or one.lost
            if ended:
                self.node.loads.forget(one.id)
            status = Status.SERVING if one.open else Status.GONE if ended else Status.DRAINING
            started = self.known_start(one.id)
            if started is None and one.cold > 0:
                started = now + one.cold - WARM_WITHIN
            backend = Backend(one.id, one.zone, one.id, 0, status, 1.0, started, one.service, one.slots)
            entries.append(Entry(backend, read_address(one.address) if one.address else ("", 0)))
        self.driver.list_told(Listing(ListKind.CHANGES, 0, tuple(entries)))

    def known_start(self, name: str) -> float | None:
        """When a backend that is known has started; None for another."""
        server = self.gateway.servers.get(name)
        return server.backend.started if server is not None else None

    def misdirected(self, backend: str) -> None:
        """Another backend is at that address: this one is gone, whatever was told."""
        registry = self.node.registry
        one = registry.instances.known.get(backend)
        if one is not None and one.open:
            registry.tell(registry.instances.merge([msgspec.structs.replace(one, lost=True)], self.clock()))

    def control_called(self, what: str, body: Any, answered: Any) -> None:
        """A call of a backend or an operator."""
        self.node.call(what, body, answered, self.clock())
        self.carry_out()

    def carry_out(self) -> None:
        """Sends the node's mail and asks for its saves, until there is nothing more."""
        effects = self.node.effects
        while effects.mail or effects.saves:
            mail, saves = effects.take()
            self.links.post(mail)
            for save in saves:
                if self.store is not None:
                    self.store.save(save)
                else:
                    save.then(True)

    def saved(self, save: Save, good: bool) -> None:
        """A save has ended."""
        save.then(good)
        self.carry_out()

    def tick(self) -> None:
        """What is due by now; called every `TICK` seconds."""
        self.ticker = self.loop.call_later(TICK, self.tick)
        self.note_delay(self.clock())
        try:
            self.node.tick(self.clock())
            self.links.tick()
            self.quota_client.tick()
            self.handler.expire_early(self.clock())
            if self.node.peers.count != self.count:
                self.count = self.node.peers.count
                self.driver.post(Configured(self.settings()))
            self.carry_out()
        except Exception:
            log.exception("a tick went wrong")

    def note_delay(self, now: float) -> None:
        """Notes by how much a tick came late: by so much all else that has come is read late."""
        late = now - self.tick_due
        self.tick_due = now + TICK
        self.metrics.note_timer_delay(late)
        if late > BEHIND_BY:
            self.behind_until = now + BEHIND_FOR

    def is_behind(self) -> bool:
        """True while requests are read some time after they came."""
        return self.clock() < self.behind_until

    def after_next_look(self, call: Callable[[], None]) -> None:
        """Calls something after the loop has looked at its sockets once more.

        What is called soon may run before that look; what it calls soon in its turn runs after it.
        """
        self.loop.call_soon(self.loop.call_soon, call)

    # from start to stop

    async def start(self) -> None:
        """Listens, links, and begins to serve."""
        if self.store is not None:
            self.store.start(self.saved)
        await when_free(self.links.start, LISTEN_WITHIN)
        listen = self.local["listen_addresses"]
        for front, text in (
            (self.front, listen.get("front_http")),
            (self.ready, listen.get("readiness")),
            (self.control, listen.get("control_plane")),
        ):
            if text:
                await when_free(partial(front.listen, read_address(text)), LISTEN_WITHIN)
        self.node.begin()
        self.tick()
        log.info("started node=%s zone=%s core=%s", self.node.me.name, self.local["zone"], self.node.me.core)

    def reload(self) -> None:
        """Reads the settings file again: its seeds hold from now on."""
        read = read_local(dict(os.environ))
        if read.is_error():
            return log.warning("settings stay as they were: %s", read.error)
        self.local = {**self.local, "seed_nodes": read.ok["seed_nodes"]}
        self.node.peers.seeds = [
            ip for ip, _ in map(read_address, read.ok["seed_nodes"]) if ip != self.node.me.ip
        ]
        return log.info("settings read again")

    async def stop(self) -> None:
        """Answers all that was taken and all that still comes, then ends."""
        self.stopping = True
        end = self.clock() + bound(self.local, "grace_period_s", 6.0) - STOP_AT_LATEST
        self.front.stopping = True
        self.node.leave()
        self.carry_out()
        await asyncio.sleep(min(SEEN_LEAVING, max(end - self.clock() - 1.0, 0.0)))
        self.front.stop_listening()
        await asyncio.sleep(3 * SHORT)
        self.front.close_idle()
        await self.driver.wait_answered(max(end - self.clock() - 5 * SHORT, SHORT))
        self.driver.fail_unanswered()
        self.handler.expire_early(math.inf)
        self.front.close_idle()
        await self.front.wait_drained(4 * SHORT)
        while not self.node.agreement.handover.complete and self.clock() < end:
            await asyncio.sleep(SHORT)
        for front in (self.front, self.control, self.ready):
            front.stop_listening()
            front.close()
        if self.ticker is not None:
            self.ticker.cancel()
        self.links.close()
        self.pool.close()
        self.quota_client.close()
        if self.store is not None:
            self.store.close()
        log.info("stopped node=%s", self.node.me.name)


def requirements_of(local: Local) -> Requirements:
    """What the membership has to bear, by the settings; one machine where they are silent."""
    borne = local.get("fault_tolerance", {"machine_failures": 1})
    regions, places = local.get("zones", {}), dict[str, str]()
    if borne.get("regions", 0) > 0:
        places = dict(regions)
    elif borne.get("zones", 0) > 0:
        places = {zone: zone for zone in regions or (local["zone"],)}
    return Requirements(max(2 * borne.get("machine_failures", 0) + 1, 3), places)


def first_vote(local: Local) -> Vote | None:
    """A seed's vote at the very first start of the system, before it has answered anything."""
    seeds = tuple(sorted((read_address(text)[0] for text in local["seed_nodes"]), key=address_key))
    return Vote(seeds) if local["first_start"] and local["ip_address"] in seeds else None


def prepared(environment: dict[str, str]) -> Result[tuple[Local, Store | None, Stored], str]:
    """Settings and what the disk remembers, or one line on what is wrong."""
    read = read_local(environment)
    if read.is_error():
        return Error(read.error)
    local = read.ok
    nonce = f"{random.SystemRandom().getrandbits(64):016x}"
    folder, vote = local.get("data_directory"), first_vote(local)
    without = Stored(nonce, vote=vote)
    if not folder:
        return Ok((local, None, without))
    try:
        store = Store(Path(folder), local["limits"].get("disk_mb", 64.0))
    except Exception as error:
        return Ok((local, do_without(f"{folder}: {error}"), without))
    begun = store.begin(lambda: nonce, vote)
    if begun.is_error():
        return Ok((local, do_without(begun.error), without))
    return Ok((local, store, begun.ok))


def do_without(why: str) -> Store | None:
    """A disk that can't be believed keeps nobody from being served: this gateway holds no state then."""
    log.error("disk not used: %s", why)
    return None
