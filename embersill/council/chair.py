"""A planner's seat on real sockets and a real disk: links, journals, billing, probes.

The disk is written by a thread of its own, one batch at a time; the loop goes on meanwhile. What was used is
written in the loop, without a sync, before the grants go out that it counts (`note`).
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

from embersill.council.desk import Batch, GroupCommit
from embersill.council.export import Answered, Call, meta_of
from embersill.council.journal import Damaged, Folder, Journal
from embersill.council.links import MemberLine, MemberServer, council_digest
from embersill.council.messages import Answer, Question, Reply
from embersill.council.probes import PROBE_WITHIN
from embersill.council.register import Register
from embersill.council.seat import CouncilCore
from embersill.council.settings import Council
from embersill.council.usage import Tally, UseBook
from embersill.interface import Outcome
from embersill.tiers.wire import Secret

TICK_EVERY = 0.02  # seconds
BILLING_WITHIN = 1.0  # seconds for an answer of billing
LEFT_WITHIN = 1.0  # seconds at a stop for offices to be given up
ILL = (Outcome.NO_CONNECTION, Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.ERROR)

log = logging.getLogger("embersill")


class Chair:
    """What `name` has of the council that `told` describes. `key`: the deployment's secret."""

    def __init__(self, told: Council, name: str, key: bytes, clock: Callable[[], float]) -> None:
        self.told, self.name, self.clock = told, name, clock
        self.loop = asyncio.get_running_loop()
        self.folder = Folder(told.state)
        self.journal = Journal(self.folder, "council", "council", name)
        self.uses: UseBook | None = None
        if told.export is not None:
            self.uses = UseBook(Journal(self.folder, "use", "use", name), Tally(told.export.period))
            self.uses.open(f"{name}.{os.urandom(4).hex()}")
            if self.uses.why:
                log.warning("the use that was noted before can't be read, and a new stream begins: %s",
                            self.uses.why)
        register = Register(name, told.members)
        self.load(register)
        register.begin_life(os.urandom(8).hex())
        self.core = CouncilCore(
            register, told.terms, random.Random(os.urandom(16)), clock(), prefer=told.prefer,
            tally=self.uses.tally if self.uses is not None else None, probes=told.probes)
        self.group_commit = GroupCommit(self.core)
        secret = Secret(key, council_digest(told.members, told.terms))
        self.server = MemberServer(secret, name, frozenset(told.members), self.asked)
        self.secret = secret
        self.lines: dict[str, MemberLine] = {}
        self.writer = ThreadPoolExecutor(1, "embersill-journal")
        self.ticker: asyncio.TimerHandle | None = None
        self.session: aiohttp.ClientSession | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.places: Callable[[], dict[str, tuple[str, int]]] = lambda: {}  # of backends that could serve
        self.leave_out: Callable[[str, bool], None] = lambda backend, out: None
        self.was = ""
        self.syncing = False  # the thread syncs the journal of use

    def load(self, register: Register) -> None:
        try:
            register.load(self.journal.open())
        except (Damaged, ValueError) as error:
            log.warning("the memory of the council is lost, and is learned from the others: %s", error)
            register.load(None)

    async def start(self) -> None:
        await self.server.start(self.told.members[self.name])
        batch = self.group_commit.next_batch()
        if batch is not None:
            batch.save(self.journal)
            self.group_commit.batch_written(batch)
        for name, address in self.told.members.items():
            if name != self.name:
                self.lines[name] = MemberLine(
                    self.secret, self.name, name, address, lambda reply: self.answered(reply))
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=BILLING_WITHIN))
        self.tick()

    # questions and answers

    def asked(self, name: str, question: Question, say: Callable[[Answer], None]) -> None:
        self.group_commit.handle(question.ask, say, self.clock())
        self.write()

    def answered(self, reply: Reply) -> None:
        self.core.on_answer(reply.number, reply.answer, self.clock())
        self.send()

    def own(self, number: int) -> Callable[[Answer], None]:
        def say(answer: Answer) -> None:
            self.core.on_answer(number, answer, self.clock())
            self.loop.call_soon(self.send)

        return say

    def send(self) -> None:
        if not self.group_commit.may_send():
            return self.write()
        for to, number, request in self.core.outbox:
            if to == self.name:
                self.group_commit.handle(request, self.own(number), self.clock())
            else:
                self.lines[to].ask(Question(number, request))  # type: ignore[arg-type]
        return self.write()

    # the disk

    def write(self) -> None:
        """Begins to write what waits, unless that is under way."""
        batch = self.group_commit.next_batch(self.journal.grown)
        if batch is None:
            return
        if not batch.compact and not batch.records:
            self.group_commit.batch_written(batch)
            self.loop.call_soon(self.write)
            return
        future = self.loop.run_in_executor(self.writer, batch.save, self.journal)
        future.add_done_callback(lambda done: self.wrote(batch, done))

    def wrote(self, batch: Batch, done: asyncio.Future[None]) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if error is not None:
            why = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
            log.error("this planner has no vote in the council any more: its disk: %s", why)
            return self.group_commit.disk_failed(why)
        self.group_commit.batch_written(batch)
        return self.send()

    def note(self) -> None:
        """What was used is on its way to the disk before what it counts is sent on."""
        if self.uses is not None and self.uses.tally.notes:
            self.uses.note()

    def settle(self) -> None:
        """Batches that were closed or confirmed are synced by the thread, twice a second or so."""
        uses = self.uses
        if uses is None or self.syncing or not (uses.tally.records or uses.why):
            return
        uses.note()
        if uses.why or uses.journal.grown:  # seldom: all that matters is written anew
            uses.settle()
            return
        closed = uses.write_closed()
        if closed is not None:
            self.syncing = True
            future = self.loop.run_in_executor(self.writer, uses.journal.sync)
            future.add_done_callback(lambda done: self.synced(*closed, done))

    def synced(self, stream: str, closed: int, done: asyncio.Future[None]) -> None:
        assert self.uses is not None
        self.syncing = False
        error = None if done.cancelled() else done.exception()
        if error is not None:
            self.uses.why = str(error)
        elif not done.cancelled():
            self.uses.synced(stream, closed)

    # time

    def tick(self) -> None:
        self.ticker = self.loop.call_later(TICK_EVERY, self.tick)
        core, now = self.core, self.clock()
        self.note()
        core.tick(now)
        self.settle()
        self.tell_changes()
        for backend in core.probes_due(now):
            self.begin(self.probe(backend))
        if core.advice.out_until or core.advice.out:  # otherwise nothing can change
            for backend, out in core.advice.changes({name: True for name in self.places()}, now):
                self.leave_out(backend, out)
        exporter = core.exporter
        if exporter is not None and exporter.call is not None:
            call, exporter.call, exporter.out = exporter.call, None, True
            self.begin(self.bill(call))
        self.send()

    def tell_changes(self) -> None:
        """In the log, once: that this member has no vote, and why."""
        why = self.core.member.reason if not self.core.register.votes else ""
        if why != self.was and why not in ("starting", "founded"):
            log.warning("council: %s", f"no vote: {why}" if why else "this member votes again")
        self.was = why if why not in ("starting", "founded") else self.was

    def begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # others

    async def bill(self, call: Call) -> None:
        """One call, written before the office's lease is over or not at all."""
        assert self.session is not None and self.told.export is not None
        headers = {"Office-Number": str(call.permit.act.number), "If-Position": str(call.position),
                   "Office-Holder": f"{self.name}/{self.core.register.life.boot}"}
        answer = Answered(0)
        if self.clock() < call.permit.write_by:
            path, method = ("/usage/owner", "PUT") if call.body is None else ("/usage", "POST")
            try:
                async with self.session.request(
                        method, self.told.export.billing + path, json=call.body, headers=headers) as response:
                    told = await response.json(content_type=None)
                    answer = Answered(response.status, int(told.get("position", -1)), meta_of(told))
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError, AttributeError, TypeError):
                pass  # whether it is booked is not known: it is asked again
        exporter = self.core.exporter
        assert exporter is not None
        exporter.answered(call, answer, self.clock())
        self.send()

    async def probe(self, backend: str) -> None:
        """A connection, or an answer below 500 on the path that is named."""
        place, prober = self.places().get(backend), self.core.prober
        assert prober is not None
        if place is None:
            return prober.gone(backend)
        well = False
        try:
            async with asyncio.timeout(PROBE_WITHIN):
                reader, writer = await asyncio.open_connection(*place)
                path = prober.settings.path
                if path:
                    writer.write(f"GET {path} HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n".encode())
                    status = (await reader.readline()).split(b" ", 2)
                    well = len(status) > 1 and status[1].isdigit() and int(status[1]) < 500
                else:
                    well = True
                writer.close()
        except (OSError, TimeoutError, ValueError):
            pass
        return prober.probed(backend, well)

    # the planner's own

    def used(self, customer: str, units: float) -> None:
        if self.uses is not None:
            self.uses.tally.used(customer, units, self.clock())

    def outcome(self, backend: str, outcome: Outcome) -> None:
        if outcome is Outcome.SERVED or outcome in ILL:
            gone = outcome is Outcome.NO_CONNECTION
            self.core.suspicions.ended(backend, outcome is Outcome.SERVED, self.clock(), gone)

    def status(self) -> dict[str, object]:
        return self.core.status()

    # the end

    async def stop(self) -> None:
        """Gives up in order what it holds, and leaves all use on disk."""
        self.core.leave(self.clock())
        self.send()
        end = self.loop.time() + LEFT_WITHIN
        while not self.core.has_left() and self.loop.time() < end:
            await asyncio.sleep(TICK_EVERY)
        if self.ticker is not None:
            self.ticker.cancel()
        self.note()
        self.settle()
        self.server.close()
        for line in self.lines.values():
            line.close()
        for task in self.tasks:
            task.cancel()
        if self.session is not None:
            await self.session.close()
        self.writer.shutdown(wait=True)
        self.folder.close_all()
