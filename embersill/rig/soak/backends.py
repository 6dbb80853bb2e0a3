"""Backends of the soak: they work as long as the path says, behave by their kind, and note what they saw."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from embersill.rig.hall import BACKEND_SLOTS, Backend, GatewayCluster
from embersill.rig.soak.record import Drain, Run, RunEnd
from embersill.rig.soak.schedule import BackendKind

HEAD_END = b"\r\n\r\n"
DECLINE_EVERY, BREAK_EVERY, SILENT_EVERY = 3, 10, 10  # requests
DRAIN_TRIES, DRAIN_PAUSE = 20, 0.2  # calls of a backend that leaves, and seconds between them
SERVES_ON = 3.5  # seconds from the acknowledgement until a backend that leaves ends
SLOWER = 2.0  # times as long
FLAP_EVERY, FLAP_FOR = 6.0, 3.0  # seconds


class SoakBackend(Backend):
    """One backend; each connection is served by a task, a request at a time."""

    def __init__(
        self,
        cluster: GatewayCluster,
        number: int,
        kind: BackendKind,
        runs: list[Run],
        clock: Callable[[], float],
    ) -> None:
        super().__init__(cluster, number)
        self.kind, self.runs, self.clock = kind, runs, clock
        self.served, self.lives, self.first_name = 0, 1, self.name
        self.late: dict[asyncio.StreamWriter, str] = {}  # whose answer comes once more, by connection
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens, and begins to say that it is there."""
        self.server = await asyncio.start_server(self.accepted, "127.0.0.1", 0, backlog=256)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())
        self.flapping = asyncio.create_task(self.flap())

    async def flap(self) -> None:
        """Says nothing for some seconds, again and again, if that is its kind."""
        while self.kind is BackendKind.FLAPPING:
            await asyncio.sleep(FLAP_EVERY)
            self.heartbeat_task.cancel()
            await asyncio.sleep(FLAP_FOR)
            self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    async def drain(self, drains: list[Drain]) -> None:
        """Says that it leaves, serves on, leaves, and begins another life at another address."""
        self.heartbeat_task.cancel()
        self.flapping.cancel()
        drain = Drain(self.name, 0.0)
        drains.append(drain)
        gateway = self.cluster.rng.randrange(self.cluster.size)
        for number in range(DRAIN_TRIES):
            if await self.report_state((gateway + number) % self.cluster.size, "draining"):
                drain.acknowledged_at = self.clock()
                break
            await asyncio.sleep(DRAIN_PAUSE)
        await asyncio.sleep(SERVES_ON)
        await self.cluster.control(gateway, "DELETE", f"/api/instances/{self.name}")
        await self.stop()
        self.lives += 1
        self.name, self.call_sequence = f"{self.first_name}.{self.lives}", 0
        await self.start()

    async def stop(self) -> None:
        """Ends at once."""
        self.heartbeat_task.cancel()
        self.flapping.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection to its end."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while await self.serve_one(reader, writer):
                    pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.late.pop(writer, None)
            writer.transport.abort()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serves one request; True if another may follow on this connection."""
        head = await reader.readuntil(HEAD_END)
        first, *lines = head.strip().decode("latin-1").split("\r\n")
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        attempt, tenant = headers.get("x-attempt-id", ""), headers.get("x-tenant-name", "")
        run = Run(attempt, self.name, self.kind, self.clock(), tenant)
        self.runs.append(run)
        self.served += 1
        late = self.late.pop(writer, None)
        if late is not None:
            writer.write(self.whole(late, f"0,0,{BACKEND_SLOTS}", b"late"))
        if headers.get("x-expected-instance", self.name) != self.name:
            return self.decline(writer, run, 421)
        if self.kind is BackendKind.FULL and self.served % DECLINE_EVERY == 0:
            return self.decline(writer, run, 503)
        path = first.split(" ")[1]
        if not await self.work(reader, run, float(path.rpartition("/w")[2]) / 1000.0):
            return False
        return self.answer(writer, run, body)

    def decline(self, writer: asyncio.StreamWriter, run: Run, status: int) -> bool:
        """Says that it has not run the request."""
        run.ended, run.end = self.clock(), RunEnd.DECLINED
        head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {run.attempt}\r\nX-Request-Not-Executed: 1\r\n"
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
        return True

    async def work(self, reader: asyncio.StreamReader, run: Run, seconds: float) -> bool:
        """Works on a request; False if the connection closed meanwhile and it was dropped."""
        self.waiting += 1
        closing = asyncio.ensure_future(reader.read(1))
        closing.add_done_callback(lambda done: self.closed(run, done))
        try:
            async with self.slots:
                self.waiting -= 1
                self.running += 1
                try:
                    return await self.work_in_slot(closing, run, seconds)
                finally:
                    self.running -= 1
        finally:
            closing.cancel()
            await asyncio.gather(closing, return_exceptions=True)  # one reader at a time

    def closed(self, run: Run, done: asyncio.Future[bytes]) -> None:
        """Notes that the connection closed while the backend was at work."""
        if not done.cancelled() and run.end is RunEnd.OPEN:
            run.closed_at = self.clock()
            done.exception()  # a reset is as good as an end

    async def work_in_slot(self, closing: asyncio.Future[bytes], run: Run, seconds: float) -> bool:
        """Works with a slot of its own."""
        run.began = self.clock()
        self.run_counts[run.attempt] = self.run_counts.get(run.attempt, 0) + 1
        wanted = seconds * (SLOWER if self.kind is BackendKind.SLOW else 1.0)
        if self.kind is BackendKind.STUBBORN:
            await asyncio.sleep(wanted)
        else:
            done, _ = await asyncio.wait({closing}, timeout=wanted)
            if done:
                run.ended, run.end = self.clock(), RunEnd.DROPPED
                return False
        run.ended = self.clock()
        return True

    def answer(self, writer: asyncio.StreamWriter, run: Run, body: bytes) -> bool:
        """Answers by its kind; True if another request may follow."""
        if self.kind is BackendKind.BREAKING and self.served % BREAK_EVERY == 0:
            run.end = RunEnd.BROKEN
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Len")
            return False
        if self.kind is BackendKind.SILENT and self.served % SILENT_EVERY == 0:
            run.end = RunEnd.SILENT
            return True
        run.end = RunEnd.FINISHED
        load = f"{self.running},{self.waiting},{BACKEND_SLOTS}"
        writer.write(self.whole(run.attempt, load, body or b"whole"))
        if self.kind is BackendKind.SURPLUS:
            self.late[writer] = run.attempt
        return True

    def whole(self, attempt: str, load: str, body: bytes) -> bytes:
        """A whole answer."""
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Backend-Seal: {self.name}\r\n"
            f"X-Backend-Load: {load}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body
