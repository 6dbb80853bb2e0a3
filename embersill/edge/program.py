"""One gateway process: connects its parts, and runs them from start to stop."""

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
import uvloop
from expression import Error, Ok, Result

from embersill.edge.build_info import read_build_info
from embersill.edge.records import Save, Stored, Vote
from embersill.edge.dataplane.gateway import EdgeGateway
from embersill.edge.dataplane.dialect import EdgeDialect
from embersill.edge.dataplane.handlers import ControlHandler, ClientHandler, ReadinessHandler
from embersill.edge.dataplane.in_flight import InFlight
from embersill.edge.dataplane.second_attempts import SecondAttemptLog
from embersill.edge.discovery.instances import GONE, Instance
from embersill.edge.peers.links import Links
from embersill.edge.listening import listen_when_free
from embersill.edge.local import Local, bound, read_local
from embersill.edge.logs import log_event, start_logging
from embersill.edge.consensus.membership import Requirements
from embersill.edge.node import Node
from embersill.edge.consensus.founding import address_key
from embersill.edge.configuration.policy import Policy
from embersill.edge.peers.peer_set import Hello
from embersill.edge.configuration.routes import WARM_UP_RAMP_S, Table, settings_for
from embersill.edge.storage.store import Store
from embersill.edge.dataplane.metrics import Metrics
from embersill.edge.dataplane.quota_client import QuotaClient
from embersill.interface import Backend, Configured, ListKind, QuotaWidth, Settings, Status
from embersill.net.backend_pool import Pool
from embersill.net.clients import Front
from embersill.net.discovery import Entry, Listing, read_address
from embersill.net.driver import Driver
from embersill.roles import run_until_signal

TICK_S = 0.02  # interval of periodic work
DIAL_TIMEOUT_S = 0.6  # to connect to a backend: under load a SYN packet may wait
DEFAULT_IDLE_S = 8.0  # how long an idle connection is used until its backend states its keep-alive time
FILE_DESCRIPTORS = 200  # reserved for files
INTERNAL_DESCRIPTORS = 120  # reserved for links, listeners and control calls
CLIENT_DESCRIPTOR_SHARE = 0.5  # of the remaining descriptors
CLIENT_BODY_BYTES = 32 << 20  # buffered for long bodies in transit
MAX_CONTROL_CONNECTIONS = 200
CONTROL_BODY_BYTES = 16 << 20
STOP_MARGIN_S = 0.7  # how long before the end of the platform's grace period the process stops
DRAIN_NOTICE_S = 2.3  # how long after SIGTERM the load balancer may still send clients here
LISTEN_TIMEOUT_S = 5.0  # to wait for an address that the previous process still holds
SHORT_PAUSE_S = 0.05
LAG_THRESHOLD_S = 0.1  # delay of a tick from which clients may have left before their requests are read
LAG_RECOVERY_S = 0.5  # how long after such a tick requests are checked for that

log = logging.getLogger("embersill.edge")


class GatewayProcess:
    """One gateway: connects `Node` (the system) and `EdgeGateway` (the requests) to sockets and disk."""

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
        # without a data directory a core member keeps the state in memory, and fetches it again after a
        # restart
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
        self.node.demand.on_holding = lambda: self.gateway.slices_in_use(self.clock())
        self.node.on_view = log.info
        self.node.on_table, self.node.on_instances = self.configuration_changed, self.instances_changed
        self.node.on_policy = self.policy_changed
        self.count, self.quota_width = 1, -1  # as last passed to the decisions
        descriptors = int(local["limits"]["file_descriptors"]) - FILE_DESCRIPTORS - INTERNAL_DESCRIPTORS
        clients = max(int(descriptors * CLIENT_DESCRIPTOR_SHARE), 16)
        dialect = EdgeDialect(self.misdirected)
        self.pool = Pool(self.clock, DIAL_TIMEOUT_S, DEFAULT_IDLE_S, max(descriptors - clients, 16), dialect)
        self.pool.enable_streaming()
        self.gateway = EdgeGateway(self.settings(), seed, now)
        self.node.rollout_runner.counts = self.gateway.seen
        self.driver = Driver(self.gateway, self.clock, self.pool)
        self.driver.busy_status = 503
        self.in_flight = InFlight(self.node, self.driver.post, self.loop.call_later)
        self.in_flight.on_flush = self.flush_effects
        self.gateway.attempts.on_in_flight_change = self.in_flight.changed
        self.quota_client = QuotaClient(self.node, self.clock, self.driver.post, self.loop.call_later)
        self.quota_client.on_flush = self.flush_effects
        self.driver.counter, self.driver.reserve = self.quota_client, self.quota_client.borrow
        sums = self.node.demand.sums
        sums.overshoot, sums.slack = bound(local, "quota_overshoot", 0.0), bound(local, "quota_slack", 0.0)
        self.handler = ClientHandler(lambda: self.driver, self.chance)
        self.handler.is_behind, self.handler.after_next_poll = self.is_behind, self.after_next_poll
        self.handler.on_stopped = self.node.reports.slowdown_counts.count_rejected
        self.front = self.listener(clients, self.handler, CLIENT_BODY_BYTES)
        second_attempts = SecondAttemptLog(lambda: self.gateway.settings.classes)
        self.driver.on_second_attempt = second_attempts.note
        self.node.build = read_build_info().fields()
        self.metrics = Metrics(self.driver, self.gateway, self.front, second_attempts, self.node.build)
        self.ready = self.listener(32, ReadinessHandler(self.is_ready, self.metrics), 0)
        self.control = self.listener(
            MAX_CONTROL_CONNECTIONS, ControlHandler(self.handle_control_call), CONTROL_BODY_BYTES
        )
        port = local["internal_port_range"][0]
        self.links = Links(self.node, self.clock, local["ip_address"], port, self.node.peers.targets)
        self.links.flush = self.flush_effects
        self.ticker: asyncio.TimerHandle | None = None
        self.tick_due, self.behind_until = now, 0.0
        self.stopping = False

    def listener(self, most: int, desk: Any, room: int) -> Front:
        """A listener with limits on its connections and on buffered bytes."""
        front = Front(self.driver, self.settings(), self.clock, most, self.is_ready, desk)
        front.body_room_total = front.body_room_free = room
        return front

    def settings(self) -> Settings:
        """The settings for `EdgeGateway`, from the configuration, the policy and the number of gateways."""
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
        """True if the load balancer may send new clients here."""
        return not self.stopping and self.node.table is not None and bool(self.driver.serving)

    # callbacks of the node

    def configuration_changed(self, table: Table) -> None:
        """Applies a configuration."""
        limits = table.document.get("limits", {})
        self.front.request_timeout = max(limits.get("header_timeout_s", 3.0), 1.0)
        self.front.idle_limit = limits.get("idle_timeout_s", 15.0) + 0.5
        self.gateway.slow(table.slowed_tenants, self.node.slowdown_counts)
        self.driver.post(Configured(self.settings()))
        self.handler.apply_table(table)
        log.info("configuration version=%d routes=%d", table.version, len(table.document["routes"]))

    def policy_changed(self, policy: Policy, label: str) -> None:
        """Applies a policy; `label`: the rollout stage that requests are counted under, if any."""
        self.gateway.follow(policy, label)
        self.driver.post(Configured(self.settings()))
        log.info("policy name=%s stretch=%s", policy["name"].replace(" ", "_"), label or "none")

    def instances_changed(self, news: list[Instance]) -> None:
        """Applies changed backends."""
        now = self.clock()
        entries = []
        for one in news:
            ended = one.state == GONE or one.lost
            if ended:
                self.node.loads.forget(one.id)
            status = Status.SERVING if one.open else Status.GONE if ended else Status.DRAINING
            started = self.known_start(one.id)
            if started is None and one.cold > 0:
                started = now + one.cold - WARM_UP_RAMP_S
            backend = Backend(one.id, one.zone, one.id, 0, status, 1.0, started, one.service, one.slots)
            entries.append(Entry(backend, read_address(one.address) if one.address else ("", 0)))
        self.driver.list_told(Listing(ListKind.CHANGES, 0, tuple(entries)))

    def known_start(self, name: str) -> float | None:
        """When a backend started, if that is known."""
        server = self.gateway.servers.get(name)
        return server.backend.started if server is not None else None

    def misdirected(self, backend: str) -> None:
        """Marks a backend as lost because another one answers at its address."""
        registry = self.node.registry
        one = registry.instances.known.get(backend)
        if one is not None and one.open:
            registry.tell(registry.instances.merge([msgspec.structs.replace(one, lost=True)], self.clock()))

    def handle_control_call(self, what: str, body: Any, answered: Any) -> None:
        """Handles a control call of a backend or an operator."""
        self.node.call(what, body, answered, self.clock())
        self.flush_effects()

    def flush_effects(self) -> None:
        """Sends the node's messages and starts its saves, until there are none left."""
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
        """Completes a save."""
        save.then(good)
        self.flush_effects()

    def tick(self) -> None:
        """Does the periodic work; called every `TICK_S` seconds."""
        self.ticker = self.loop.call_later(TICK_S, self.tick)
        self.note_delay(self.clock())
        try:
            self.node.tick(self.clock())
            self.links.tick()
            self.quota_client.tick()
            self.handler.expire_early(self.clock())
            if self.node.peers.count != self.count:
                self.count = self.node.peers.count
                self.driver.post(Configured(self.settings()))
            if self.node.quota_share.width != self.quota_width:
                self.quota_width = self.node.quota_share.width
                self.driver.post(QuotaWidth(self.quota_width))
            self.flush_effects()
        except Exception:
            log.exception("a tick went wrong")

    def note_delay(self, now: float) -> None:
        """Notes the delay of a tick: whatever else has arrived is read equally late."""
        late = now - self.tick_due
        self.tick_due = now + TICK_S
        self.metrics.note_timer_delay(late)
        if late > LAG_THRESHOLD_S:
            self.behind_until = now + LAG_RECOVERY_S

    def is_behind(self) -> bool:
        """True while the event loop lags, so that requests are read some time after they arrived."""
        return self.clock() < self.behind_until

    def after_next_poll(self, call: Callable[[], None]) -> None:
        """Calls a function after the event loop has polled its sockets once more.

        A `call_soon` callback may run before that poll; a callback that it schedules runs after it.
        """
        self.loop.call_soon(self.loop.call_soon, call)

    # lifecycle

    async def start(self) -> None:
        """Starts listening, links to peers, and begins to serve."""
        if self.store is not None:
            self.store.start(self.saved)
        await listen_when_free(self.links.start, LISTEN_TIMEOUT_S)
        listen = self.local["listen_addresses"]
        for front, text in (
            (self.front, listen.get("front_http")),
            (self.ready, listen.get("readiness")),
            (self.control, listen.get("control_plane")),
        ):
            if text:
                await listen_when_free(partial(front.listen, read_address(text)), LISTEN_TIMEOUT_S)
        self.node.begin()
        self.tick()
        log.info("started node=%s zone=%s core=%s", self.node.me.name, self.local["zone"], self.node.me.core)

    def reload(self) -> None:
        """Reads the settings file again and applies its seeds."""
        read = read_local(dict(os.environ))
        if read.is_error():
            return log.warning("settings stay as they were: %s", read.error)
        self.local = {**self.local, "seed_nodes": read.ok["seed_nodes"]}
        self.node.peers.seeds = [
            ip for ip, _ in map(read_address, read.ok["seed_nodes"]) if ip != self.node.me.ip
        ]
        return log.info("settings read again")

    async def stop(self) -> None:
        """Drains the gateway: answers accepted requests and those that still arrive, then stops."""
        self.stopping = True
        end = self.clock() + bound(self.local, "grace_period_s", 6.0) - STOP_MARGIN_S
        self.front.stopping = True
        self.node.leave()
        self.flush_effects()
        await asyncio.sleep(min(DRAIN_NOTICE_S, max(end - self.clock() - 1.0, 0.0)))
        self.front.stop_listening()
        await asyncio.sleep(3 * SHORT_PAUSE_S)
        self.front.close_idle()
        await self.driver.wait_answered(max(end - self.clock() - 5 * SHORT_PAUSE_S, SHORT_PAUSE_S))
        self.driver.fail_unanswered()
        self.handler.expire_early(math.inf)
        self.front.close_idle()
        await self.front.wait_drained(4 * SHORT_PAUSE_S)
        while not self.node.agreement.handover.complete and self.clock() < end:
            await asyncio.sleep(SHORT_PAUSE_S)
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
    """The failures that the membership has to tolerate, by the settings; one machine by default."""
    tolerated = local.get("fault_tolerance", {"machine_failures": 1})
    regions, places = local.get("zones", {}), dict[str, str]()
    if tolerated.get("regions", 0) > 0:
        places = dict(regions)
    elif tolerated.get("zones", 0) > 0:
        places = {zone: zone for zone in regions or (local["zone"],)}
    return Requirements(max(2 * tolerated.get("machine_failures", 0) + 1, 3), places)


def first_vote(local: Local) -> Vote | None:
    """A seed's vote at the very first start of the system, before it has answered any peer."""
    seeds = tuple(sorted((read_address(text)[0] for text in local["seed_nodes"]), key=address_key))
    return Vote(seeds) if local["first_start"] and local["ip_address"] in seeds else None


def prepare(environment: dict[str, str]) -> Result[tuple[Local, Store | None, Stored], str]:
    """Reads the settings and the stored state; a one-line error if the settings are wrong."""
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
        return Ok((local, run_without_store(f"{folder}: {error}"), without))
    begun = store.begin(lambda: nonce, vote)
    if begun.is_error():
        return Ok((local, run_without_store(begun.error), without))
    return Ok((local, store, begun.ok))


def run_without_store(why: str) -> Store | None:
    """Logs why the disk is not used; the gateway still serves clients then, but is no core member."""
    log.error("disk not used: %s", why)
    return None


async def run(environment: dict[str, str]) -> int:
    """Runs a gateway until the process is signalled to stop; returns the exit status."""
    prepared = prepare(environment)
    if prepared.is_error():
        log.error("can't start: %s", prepared.error)
        return 2
    try:
        await run_until_signal(GatewayProcess(*prepared.ok))
    except OSError as error:
        log.error("can't run: %s", error)
        return 2
    return 0


def run_gateway(environment: dict[str, str], log_level: str) -> int:
    """Runs a gateway process, its logging included; returns the exit status."""
    start_logging(log_level)
    log_event("build", **read_build_info().fields())
    return uvloop.run(run(environment))
