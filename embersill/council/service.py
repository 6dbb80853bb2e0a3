"""A planner's part in the council with its I/O: links, journals, calls to billing, probes.

A thread of its own writes the disk, one batch at a time, while the loop goes on. Usage is written in the
loop, without a sync, before the grants that it counts are sent (`note_usage`).
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import aiohttp

from embersill.council.core import CouncilCore
from embersill.council.export import BillingAnswer, BillingCall, meta_from
from embersill.council.group_commit import Batch, GroupCommit
from embersill.council.journal import Damaged, Folder, Journal
from embersill.council.links import MemberConnection, MemberServer, council_digest
from embersill.council.messages import Answer, Question, Reply
from embersill.council.probes import PROBE_TIMEOUT_S
from embersill.council.register import Register
from embersill.council.settings import Council
from embersill.council.usage import Tally, UsageJournal
from embersill.interface import Outcome
from embersill.tiers.wire import Secret

TICK_INTERVAL_S = 0.02
BILLING_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 1.0  # for the release of offices when the planner stops
FAILURES = (Outcome.NO_CONNECTION, Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.ERROR)

log = logging.getLogger("embersill")


class CouncilService:
    """The member `name` of the council that `settings` describes, with its sockets and files."""

    def __init__(self, settings: Council, name: str, key: bytes, clock: Callable[[], float]) -> None:
        """`key`: the deployment's secret."""
        self.settings, self.name, self.clock = settings, name, clock
        self.loop = asyncio.get_running_loop()
        self.folder = Folder(settings.state)
        self.journal = Journal(self.folder, "council", "council", name)
        self.usage: UsageJournal | None = None
        if settings.export is not None:
            self.usage = UsageJournal(Journal(self.folder, "use", "use", name), Tally(settings.export.period))
            self.usage.open(f"{name}.{os.urandom(4).hex()}")
            if self.usage.disk_error:
                log.warning(
                    "the usage journal cannot be read; starting a new stream: %s", self.usage.disk_error
                )
        register = Register(name, settings.members)
        self.load(register)
        register.begin_life(os.urandom(8).hex())
        self.core = CouncilCore(
            register,
            settings.terms,
            random.Random(os.urandom(16)),
            clock(),
            prefer=settings.prefer,
            tally=self.usage.tally if self.usage is not None else None,
            probes=settings.probes,
        )
        self.group_commit = GroupCommit(self.core)
        secret = Secret(key, council_digest(settings.members, settings.terms))
        self.server = MemberServer(secret, name, frozenset(settings.members), self.on_request)
        self.secret = secret
        self.connections: dict[str, MemberConnection] = {}
        self.writer = ThreadPoolExecutor(1, "embersill-journal")
        self.ticker: asyncio.TimerHandle | None = None
        self.session: aiohttp.ClientSession | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        # the addresses of backends that are available
        self.backend_addresses: Callable[[], dict[str, tuple[str, int]]] = lambda: {}
        self.leave_out: Callable[[str, bool], None] = lambda backend, out: None
        self.logged_reason = ""
        self.syncing_usage = False  # the thread is syncing the usage journal

    def load(self, register: Register) -> None:
        """Loads the register's journal; if it is unusable, the state is recovered from other members."""
        try:
            register.load(self.journal.open())
        except (Damaged, ValueError) as error:
            log.warning("the council journal is unusable; recovering its state from other members: %s", error)
            register.load(None)

    async def start(self) -> None:
        """Listens, writes the new life to disk, and begins to dial the other members."""
        await self.server.start(self.settings.members[self.name])
        batch = self.group_commit.next_batch()
        if batch is not None:
            batch.save(self.journal)
            self.group_commit.batch_written(batch)
        for name, address in self.settings.members.items():
            if name != self.name:
                self.connections[name] = MemberConnection(
                    self.secret, self.name, name, address, lambda reply: self.on_reply(reply)
                )
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=BILLING_TIMEOUT_S))
        self.tick()

    # requests and answers

    def on_request(self, name: str, question: Question, deliver: Callable[[Answer], None]) -> None:
        """Handles another member's request."""
        self.group_commit.handle(question.ask, deliver, self.clock())
        self.start_write()

    def on_reply(self, reply: Reply) -> None:
        """Handles another member's answer."""
        self.core.on_answer(reply.number, reply.answer, self.clock())
        self.send()

    def answer_to_self(self, number: int) -> Callable[[Answer], None]:
        """The callback for an answer to this member's own request `number`."""

        def deliver(answer: Answer) -> None:
            self.core.on_answer(number, answer, self.clock())
            self.loop.call_soon(self.send)

        return deliver

    def send(self) -> None:
        """Sends the requests in the outbox once this life is on disk."""
        if not self.group_commit.may_send():
            return self.start_write()
        for to, number, request in self.core.outbox:
            if to == self.name:
                self.group_commit.handle(request, self.answer_to_self(number), self.clock())
            else:
                self.connections[to].ask(Question(number, request))  # type: ignore[arg-type]
        return self.start_write()

    # the disk

    def start_write(self) -> None:
        """Begins to write the next batch, unless one is being written."""
        batch = self.group_commit.next_batch(self.journal.needs_compaction)
        if batch is None:
            return
        if not batch.compact and not batch.records:
            self.group_commit.batch_written(batch)
            self.loop.call_soon(self.start_write)
            return
        future = self.loop.run_in_executor(self.writer, batch.save, self.journal)
        future.add_done_callback(lambda done: self.on_written(batch, done))

    def on_written(self, batch: Batch, done: asyncio.Future[None]) -> None:
        """A batch is on disk, or could not be written."""
        if done.cancelled():
            return
        error = done.exception()
        if error is not None:
            reason = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
            log.error("this planner has lost its vote in the council: disk error: %s", reason)
            return self.group_commit.disk_failed(reason)
        self.group_commit.batch_written(batch)
        return self.send()

    def note_usage(self) -> None:
        """Writes new usage to the journal, without a sync, before the grants that it counts are sent."""
        if self.usage is not None and self.usage.tally.notes:
            self.usage.write_notes()

    def sync_usage(self) -> None:
        """Has the thread sync closed and confirmed batches, about twice a second."""
        usage = self.usage
        if usage is None or self.syncing_usage or not (usage.tally.records or usage.disk_error):
            return
        usage.write_notes()
        if usage.disk_error or usage.journal.needs_compaction:  # rare: rewrites the whole journal
            usage.sync_batches()
            return
        closed = usage.write_batches()
        if closed is not None:
            self.syncing_usage = True
            future = self.loop.run_in_executor(self.writer, usage.journal.sync)
            future.add_done_callback(lambda done: self.on_usage_synced(*closed, done))

    def on_usage_synced(self, stream: str, closed: int, done: asyncio.Future[None]) -> None:
        """The usage journal is synced, or could not be."""
        assert self.usage is not None
        self.syncing_usage = False
        error = None if done.cancelled() else done.exception()
        if error is not None:
            self.usage.disk_error = str(error)
        elif not done.cancelled():
            self.usage.on_synced(stream, closed)

    # time

    def tick(self) -> None:
        """Advances the core by one tick and performs what it asks for."""
        self.ticker = self.loop.call_later(TICK_INTERVAL_S, self.tick)
        core, now = self.core, self.clock()
        self.note_usage()
        core.tick(now)
        self.sync_usage()
        self.log_vote_changes()
        for backend in core.probes_due(now):
            self.start_task(self.probe(backend))
        if core.advice.excluded_until or core.advice.excluded:  # otherwise nothing can change
            for backend, out in core.advice.changes({name: True for name in self.backend_addresses()}, now):
                self.leave_out(backend, out)
        exporter = core.exporter
        if exporter is not None and exporter.call is not None:
            call, exporter.call, exporter.in_flight = exporter.call, None, True
            self.start_task(self.call_billing(call))
        self.send()

    def log_vote_changes(self) -> None:
        """Logs once that this member has no vote, with the reason, and once that it has regained it."""
        reason = self.core.member.reason if not self.core.register.votes else ""
        if reason != self.logged_reason and reason not in ("starting", "founded"):
            log.warning("council: %s", f"no vote: {reason}" if reason else "this member has its vote again")
        self.logged_reason = reason if reason not in ("starting", "founded") else self.logged_reason

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task that `stop` cancels."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # billing and backends

    async def call_billing(self, call: BillingCall) -> None:
        """Makes one call to billing; it is sent before the office's lease ends or not at all."""
        assert self.session is not None and self.settings.export is not None
        headers = {
            "Office-Number": str(call.permit.act.number),
            "If-Position": str(call.position),
            "Office-Holder": f"{self.name}/{self.core.register.life.boot}",
        }
        answer = BillingAnswer(0)
        if self.clock() < call.permit.write_by:
            path, method = ("/usage/owner", "PUT") if call.body is None else ("/usage", "POST")
            try:
                async with self.session.request(
                    method, self.settings.export.billing + path, json=call.body, headers=headers
                ) as response:
                    content = await response.json(content_type=None)
                    answer = BillingAnswer(
                        response.status, int(content.get("position", -1)), meta_from(content)
                    )
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError, AttributeError, TypeError):
                pass  # unknown whether it was booked: the exporter retries
        exporter = self.core.exporter
        assert exporter is not None
        exporter.on_answer(call, answer, self.clock())
        self.send()

    async def probe(self, backend: str) -> None:
        """Probes a backend: a connection, or a status below 500 if a path is configured."""
        address, prober = self.backend_addresses().get(backend), self.core.prober
        assert prober is not None
        if address is None:
            return prober.forget(backend)
        healthy = False
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
                path = prober.settings.path
                if path:
                    writer.write(f"GET {path} HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n".encode())
                    status = (await reader.readline()).split(b" ", 2)
                    healthy = len(status) > 1 and status[1].isdigit() and int(status[1]) < 500
                else:
                    healthy = True
                writer.close()
        except (OSError, TimeoutError, ValueError):
            pass
        return prober.on_probe_result(backend, healthy)

    # called by the planner

    def on_use(self, customer: str, units: float) -> None:
        """Counts units that the planner granted."""
        if self.usage is not None:
            self.usage.tally.add(customer, units, self.clock())

    def on_outcome(self, backend: str, outcome: Outcome) -> None:
        """Notes how an attempt at a backend ended."""
        if outcome is Outcome.SERVED or outcome in FAILURES:
            unreachable = outcome is Outcome.NO_CONNECTION
            self.core.suspicions.note_outcome(backend, outcome is Outcome.SERVED, self.clock(), unreachable)

    def status(self) -> dict[str, object]:
        """Figures for operators; docs/operate/offices.md explains each of them."""
        return self.core.status()

    # shutdown

    async def stop(self) -> None:
        """Releases its leases, writes all usage to disk, and closes everything."""
        self.core.leave(self.clock())
        self.send()
        end = self.loop.time() + RELEASE_TIMEOUT_S
        while not self.core.has_left() and self.loop.time() < end:
            await asyncio.sleep(TICK_INTERVAL_S)
        if self.ticker is not None:
            self.ticker.cancel()
        self.note_usage()
        self.sync_usage()
        self.server.close()
        for connection in self.connections.values():
            connection.close()
        for task in self.tasks:
            task.cancel()
        if self.session is not None:
            await self.session.close()
        self.writer.shutdown(wait=True)
        self.folder.close_all()
