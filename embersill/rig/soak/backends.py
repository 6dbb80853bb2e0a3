"""Backends of the soak: they work as long as the path says, behave by their kind and record requests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from embersill.rig.gateway_cluster import BACKEND_SLOTS, Backend, GatewayCluster
from embersill.rig.soak.record import Drain, Run, RunEnd
from embersill.rig.soak.schedule import BackendKind

HEAD_END = b"\r\n\r\n"
DECLINE_EVERY, BREAK_EVERY, SILENT_EVERY = 3, 10, 10  # every so many requests
DRAIN_REPORT_ATTEMPTS, DRAIN_REPORT_INTERVAL_S = 20, 0.2  # of a backend that drains
DRAIN_SERVE_S = 3.5  # from the acknowledgement of a drain until the backend stops
SLOW_FACTOR = 2.0  # by which a slow backend takes longer
FLAP_UP_S, FLAP_DOWN_S = 6.0, 3.0  # with heartbeats and without


class SoakBackend(Backend):
    """One backend; a task serves each connection, one request at a time."""

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
        self.request_count, self.incarnation, self.base_name = 0, 1, self.name
        self.surplus: dict[
            asyncio.StreamWriter, str
        ] = {}  # by connection: attempt whose answer is sent again
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens and begins to send heartbeats."""
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0, backlog=256)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())
        self.flap_task = asyncio.create_task(self.flap())

    async def flap(self) -> None:
        """Stops heartbeats for some seconds, again and again, if it is of the flapping kind."""
        while self.kind is BackendKind.FLAPPING:
            await asyncio.sleep(FLAP_UP_S)
            self.heartbeat_task.cancel()
            await asyncio.sleep(FLAP_DOWN_S)
            self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    async def drain(self, drains: list[Drain]) -> None:
        """Announces a drain, serves for a while, stops, and starts again under a new name and address."""
        self.heartbeat_task.cancel()
        self.flap_task.cancel()
        drain = Drain(self.name, 0.0)
        drains.append(drain)
        gateway = self.cluster.rng.randrange(self.cluster.size)
        for number in range(DRAIN_REPORT_ATTEMPTS):
            if await self.report_state((gateway + number) % self.cluster.size, "draining"):
                drain.acknowledged_at = self.clock()
                break
            await asyncio.sleep(DRAIN_REPORT_INTERVAL_S)
        await asyncio.sleep(DRAIN_SERVE_S)
        await self.cluster.control(gateway, "DELETE", f"/api/instances/{self.name}")
        await self.stop()
        self.incarnation += 1
        self.name, self.call_sequence = f"{self.base_name}.{self.incarnation}", 0
        await self.start()

    async def stop(self) -> None:
        """Stops at once."""
        self.heartbeat_task.cancel()
        self.flap_task.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while await self.serve_request(reader, writer):
                    pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.surplus.pop(writer, None)
            writer.transport.abort()

    async def serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serves one request; True if another may follow on this connection."""
        head = await reader.readuntil(HEAD_END)
        request_line, *lines = head.strip().decode("latin-1").split("\r\n")
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        attempt, tenant = headers.get("x-attempt-id", ""), headers.get("x-tenant-name", "")
        run = Run(attempt, self.name, self.kind, self.clock(), tenant)
        self.runs.append(run)
        self.request_count += 1
        surplus = self.surplus.pop(writer, None)
        if surplus is not None:
            writer.write(self.response_bytes(surplus, f"0,0,{BACKEND_SLOTS}", b"late"))
        if headers.get("x-expected-instance", self.name) != self.name:
            return self.decline(writer, run, 421)
        if self.kind is BackendKind.FULL and self.request_count % DECLINE_EVERY == 0:
            return self.decline(writer, run, 503)
        path = request_line.split(" ")[1]
        if not await self.work(reader, run, float(path.rpartition("/w")[2]) / 1000.0):
            return False
        return self.answer(writer, run, body)

    def decline(self, writer: asyncio.StreamWriter, run: Run, status: int) -> bool:
        """Answers that it has not run the request."""
        run.ended, run.end = self.clock(), RunEnd.DECLINED
        head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {run.attempt}\r\nX-Request-Not-Executed: 1\r\n"
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
        return True

    async def work(self, reader: asyncio.StreamReader, run: Run, seconds: float) -> bool:
        """Runs a request; False if it was dropped because the connection was closed."""
        self.waiting += 1
        closed = asyncio.ensure_future(reader.read(1))
        closed.add_done_callback(lambda done: self.note_closed(run, done))
        try:
            async with self.slots:
                self.waiting -= 1
                self.running += 1
                try:
                    return await self.work_in_slot(closed, run, seconds)
                finally:
                    self.running -= 1
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)  # one reader at a time

    def note_closed(self, run: Run, done: asyncio.Future[bytes]) -> None:
        """Records that the connection was closed while the backend ran the request."""
        if not done.cancelled() and run.end is RunEnd.OPEN:
            run.closed_at = self.clock()
            done.exception()  # retrieves the exception of a reset, which counts as a close too

    async def work_in_slot(self, closed: asyncio.Future[bytes], run: Run, seconds: float) -> bool:
        """Runs a request that has got a slot; returns as `work` does."""
        run.began = self.clock()
        self.run_counts[run.attempt] = self.run_counts.get(run.attempt, 0) + 1
        duration_s = seconds * (SLOW_FACTOR if self.kind is BackendKind.SLOW else 1.0)
        if self.kind is BackendKind.STUBBORN:
            await asyncio.sleep(duration_s)
        else:
            done, _ = await asyncio.wait({closed}, timeout=duration_s)
            if done:
                run.ended, run.end = self.clock(), RunEnd.DROPPED
                return False
        run.ended = self.clock()
        return True

    def answer(self, writer: asyncio.StreamWriter, run: Run, body: bytes) -> bool:
        """Answers as its kind does; True if another request may follow."""
        if self.kind is BackendKind.BREAKING and self.request_count % BREAK_EVERY == 0:
            run.end = RunEnd.BROKEN
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Len")
            return False
        if self.kind is BackendKind.SILENT and self.request_count % SILENT_EVERY == 0:
            run.end = RunEnd.SILENT
            return True
        run.end = RunEnd.FINISHED
        load = f"{self.running},{self.waiting},{BACKEND_SLOTS}"
        writer.write(self.response_bytes(run.attempt, load, body or b"whole"))
        if self.kind is BackendKind.SURPLUS:
            self.surplus[writer] = run.attempt
        return True

    def response_bytes(self, attempt: str, load: str, body: bytes) -> bytes:
        """A complete answer."""
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Backend-Seal: {self.name}\r\n"
            f"X-Backend-Load: {load}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body
