"""Requests whose clients disconnect before they are answered, through complete gateways on loopback.

The stand-in for the backend records when each request arrived, and whether its work finished or was dropped
because the gateway closed the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from embersill.edge.program import GatewayProcess
from tests.edge.test_client_states import HOST
from tests.edge.test_client_states import Client as Connection
from tests.edge.test_sockets import Backend, answer, run_scenario, wait_until

WORK_S = 1.2  # what the backend takes for a request below /p0/long or /p1/long
MAX_NOTICE_S = 0.5  # the documented limit after which no backend works for a disconnected client
IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH = "/p0/long", "/p1/long"


@dataclass
class Run:
    """One request at the backend; times by the event loop's clock, 0 for what has not happened."""

    attempt_id: str
    started_at: float
    finished_at: float = 0.0
    dropped_at: float = 0.0


class WorkingBackend(Backend):
    """Works on each request for a while, and drops it if the connection closes meanwhile."""

    drops_on_close = True  # whether it stops working on a request when the connection closes

    async def start(self) -> None:
        """Listens; connections are served concurrently."""
        self.runs: list[Run] = []
        self.connections = 0
        await super().start()

    def run_of(self, attempt_id: str) -> Run | None:
        """The only run of a request; None if the request has not arrived."""
        matching = [run for run in self.runs if run.attempt_id == attempt_id]
        assert len(matching) <= 1, f"{attempt_id} ran {len(matching)} times"
        return matching[0] if matching else None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection, one request at a time."""
        self.connections += 1
        loop = asyncio.get_running_loop()
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_line, *lines = head.strip().split(b"\r\n")
                headers = {n.lower(): v for n, _, v in (line.partition(b": ") for line in lines)}
                await reader.readexactly(int(headers.get(b"content-length", b"0")))
                run = Run(headers[b"x-attempt-id"].decode(), loop.time())
                self.runs.append(run)
                if b"/long" in request_line:
                    if not await self.finishes_work(reader):
                        run.dropped_at = loop.time()
                        return writer.close()
                run.finished_at = loop.time()
                writer.write(answer(headers))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            writer.close()

    async def finishes_work(self, reader: asyncio.StreamReader) -> bool:
        """True when the work is done; False if the connection closed first and the work was dropped."""
        closing = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closing}, timeout=WORK_S)
        if done and self.drops_on_close:
            return False
        if done:
            await asyncio.sleep(WORK_S)
        closing.cancel()
        return True


def request(name: str, path: str = IDEMPOTENT_PATH, key: str = "k", deadline_ms: int = 3000) -> bytes:
    """A client's request."""
    method = "GET" if path.startswith("/p0") else "POST"
    length = "" if method == "GET" else "Content-Length: 0\r\n"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {name}\r\nX-Key: {key}\r\n"
        f"X-Deadline-Remaining-Ms: {deadline_ms}\r\n{length}\r\n"
    ).encode()


class Client(Connection):
    """A client connection with three ways to disconnect: close, reset and half-close."""

    @classmethod
    async def connect(cls, port: int) -> Client:
        """Opens a connection to the gateway's listener for clients."""
        return cls(*await asyncio.open_connection(HOST, port))

    def close(self) -> None:
        """Closes the connection in order."""
        self.writer.close()

    def half_close(self) -> None:
        """Closes the sending direction only."""
        self.writer.write_eof()


Disconnect = Callable[[Client], None]
DISCONNECTS: tuple[Disconnect, ...] = (Client.close, Client.reset, Client.half_close)
Scenario = Callable[[int, WorkingBackend, GatewayProcess], Awaitable[None]]


def run_with_working_backend(
    folder: Path, scenario: Scenario, backend_class: type[WorkingBackend] = WorkingBackend
) -> None:
    """Runs a scenario, which gets the client port, the backend and the gateway that clients connect to."""

    async def adapter(ports: list[int], backend: Backend, processes: list[GatewayProcess]) -> None:
        assert isinstance(backend, WorkingBackend)
        await scenario(ports[0], backend, processes[3])

    run_scenario(folder, lambda path, headers: None, adapter, backend_class)


def is_idle(process: GatewayProcess) -> bool:
    """True if no request or attempt is open, and each gauge of them is back at zero."""
    gauges = process.metrics.gauges()
    names = (
        "requests_unanswered",
        "requests_pending",
        "requests_held",
        "attempts_out",
        "attempts_counted_out",
    )
    return not any(gauges[name] for name in names)


@pytest.mark.parametrize("pipelined", [False, True], ids=["alone", "pipelined"])
@pytest.mark.parametrize("disconnect", DISCONNECTS, ids=[disconnect.__name__ for disconnect in DISCONNECTS])
def test_backends_stop_working_for_a_disconnected_client(
    tmp_path: Path, disconnect: Disconnect, pipelined: bool
) -> None:
    async def scenario(port: int, backend: WorkingBackend, process: GatewayProcess) -> None:
        names = ["one", "two", "three"] if pipelined else ["one"]
        client = await Client.connect(port)
        client.send(*map(request, names))
        await wait_until(lambda: len(backend.runs) == len(names))
        disconnect(client)
        disconnected_at = asyncio.get_running_loop().time()
        await asyncio.sleep(MAX_NOTICE_S)
        still_running = [
            run.attempt_id for run in backend.runs if not 0 < run.dropped_at - disconnected_at < MAX_NOTICE_S
        ]
        assert not still_running
        await wait_until(lambda: is_idle(process))

    run_with_working_backend(tmp_path, scenario)


@pytest.mark.parametrize("disconnect", DISCONNECTS, ids=[disconnect.__name__ for disconnect in DISCONNECTS])
def test_a_non_idempotent_request_of_a_disconnected_client_completes_once(
    tmp_path: Path, disconnect: Disconnect
) -> None:
    async def scenario(port: int, backend: WorkingBackend, process: GatewayProcess) -> None:
        client = await Client.connect(port)
        client.send(request("order", NON_IDEMPOTENT_PATH))
        await wait_until(lambda: len(backend.runs) == 1)
        disconnect(client)
        await wait_until(lambda: backend.runs[0].finished_at > 0)
        await wait_until(lambda: is_idle(process))
        assert not backend.runs[0].dropped_at and len(backend.runs) == 1
        server = process.gateway.servers["i-1"]
        # The answer counts for the backend though no client reads it.
        assert server.proven and not server.bad

    run_with_working_backend(tmp_path, scenario)


@pytest.mark.parametrize("disconnect", DISCONNECTS, ids=[disconnect.__name__ for disconnect in DISCONNECTS])
def test_a_disconnected_request_waiting_for_a_token_is_not_sent_and_returns_its_token(
    tmp_path: Path, disconnect: Disconnect
) -> None:
    async def scenario(port: int, backend: WorkingBackend, process: GatewayProcess) -> None:
        client, other = await Client.connect(port), await Client.connect(port)
        client.send(request("first", "/p0/short"))
        await wait_until(lambda: len(backend.runs) == 1)
        throttle = process.gateway.throttles["t"]
        throttle.asking, throttle.level = True, 0.0  # waits for an answer from the reserve
        other.send(request("before", "/p0/short"))
        client.send(request("held", "/p0/short"))
        await wait_until(lambda: len(throttle.queue) == 2)
        disconnect(client)
        await wait_until(lambda: len(throttle.queue) == 1)
        assert throttle.held == 1.0
        throttle.asking, throttle.level = False, throttle.level + 5.0
        process.gateway.admission.release(throttle)
        process.driver.perform(process.gateway.turn.actions)
        await wait_until(lambda: is_idle(process))
        assert {run.attempt_id for run in backend.runs} <= {"first", "before"}
        assert not process.driver.open  # the same attempt ID may be used again

    run_with_working_backend(tmp_path, scenario)


def test_a_request_disconnected_while_its_backend_is_dialled_is_not_sent_and_uses_no_quota(
    tmp_path: Path,
) -> None:
    async def scenario(port: int, backend: WorkingBackend, process: GatewayProcess) -> None:
        may_dial = asyncio.Event()
        connect = process.pool.connect

        async def slow_dial(*arguments: object) -> None:
            await may_dial.wait()
            await connect(*arguments)  # type: ignore[arg-type]

        process.pool.connect = slow_dial  # type: ignore[method-assign,assignment]
        client = await Client.connect(port)
        client.send(request("dialled"))
        await wait_until(lambda: bool(process.pool.dialling))
        # a bucket that nothing refills: if it is full again, a token that is given back does not show
        throttle = process.gateway.throttles["t"]
        throttle.refill = lambda now: None  # type: ignore[method-assign]
        throttle.level = 0.5
        client.close()
        await wait_until(lambda: is_idle(process))
        assert throttle.level == 1.5
        may_dial.set()
        await asyncio.sleep(0.05)
        assert not backend.runs and process.driver.disconnects.unsent == 1

    run_with_working_backend(tmp_path, scenario)


def test_a_disconnect_is_noticed_while_reading_is_paused(tmp_path: Path) -> None:
    """Up to sixteen requests are in flight, and more pipelined requests wait than the gateway reads ahead."""

    async def scenario(port: int, backend: WorkingBackend, process: GatewayProcess) -> None:
        client = await Client.connect(port)
        client.send(*(request(f"r{n}") for n in range(400)))
        await wait_until(lambda: len(backend.runs) >= 4)
        await wait_until(lambda: any(connection.paused for connection in process.front.connections))
        client.close()
        await wait_until(lambda: is_idle(process))
        started = len(backend.runs)
        await asyncio.sleep(MAX_NOTICE_S)
        assert len(backend.runs) == started <= 16 and all(run.dropped_at for run in backend.runs)

    run_with_working_backend(tmp_path, scenario)


def test_a_process_that_is_behind_checks_for_disconnects_before_it_sends(tmp_path: Path) -> None:
    async def scenario(port: int, backend: WorkingBackend, process: GatewayProcess) -> None:
        disconnecting, remaining = await Client.connect(port), await Client.connect(port)
        await asyncio.sleep(0.05)
        process.behind_until = process.clock() + 5.0
        disconnecting.send(request("left"))
        disconnecting.close()
        remaining.send(request("stays", "/p0/short"))
        await wait_until(lambda: any(run.finished_at for run in backend.runs))
        await wait_until(lambda: is_idle(process))
        assert [run.attempt_id for run in backend.runs] == ["stays"]

    run_with_working_backend(tmp_path, scenario)


def test_a_late_tick_marks_the_process_as_behind(tmp_path: Path) -> None:
    async def scenario(port: int, backend: WorkingBackend, process: GatewayProcess) -> None:
        now = process.clock()
        process.tick_due = now
        process.note_delay(now + 0.05)
        assert not process.is_behind()
        process.tick_due = now - 1.0
        process.note_delay(now)
        assert process.is_behind() and process.metrics.gauges()["loop_delay_max_seconds"] >= 1.0

    run_with_working_backend(tmp_path, scenario)


class NonCancellingBackend(WorkingBackend):
    """Finishes its work though the connection has closed."""

    drops_on_close = False


def test_a_backend_that_ignores_disconnects_is_not_sent_more_than_its_limit(tmp_path: Path) -> None:
    """A cancelled attempt occupies its slot for as long as such a request usually takes."""

    async def scenario(port: int, backend: WorkingBackend, process: GatewayProcess) -> None:
        server = process.gateway.servers["i-1"]
        for fleet in process.gateway.backends.fleets.values():
            fleet.usual["r0", 0.0] = WORK_S
        server.limit = 2.0
        run_counts = []
        for number in range(20):
            client = await Client.connect(port)
            client.send(request(f"r{number}"))
            await wait_until(lambda: not process.driver.unanswered or server.flight > 0)
            await asyncio.sleep(0.02)
            client.close()
            run_counts.append(len(backend.runs))
            await asyncio.sleep(0.01)
        assert len(backend.runs) == backend.connections == 2
        assert server.flight == 2 and not server.bad and not server.overdue
        await wait_until(lambda: is_idle(process))

    run_with_working_backend(tmp_path, scenario, NonCancellingBackend)


def test_no_retry_starts_for_a_disconnected_client(tmp_path: Path) -> None:
    class ClosingBackend(WorkingBackend):
        """Closes each connection while it works on a request."""

        async def finishes_work(self, reader: asyncio.StreamReader) -> bool:
            await asyncio.sleep(0.1)
            return False

    async def scenario(port: int, backend: WorkingBackend, process: GatewayProcess) -> None:
        for name, path in (("ask", IDEMPOTENT_PATH), ("order", NON_IDEMPOTENT_PATH)):
            client = await Client.connect(port)
            client.send(request(name, path))
            await wait_until(lambda name=name: backend.run_of(name) is not None)  # type: ignore[misc]
            client.close()
        await wait_until(lambda: is_idle(process))
        await asyncio.sleep(0.1)
        assert [run.attempt_id for run in backend.runs] == ["ask", "order"]

    run_with_working_backend(tmp_path, scenario, ClosingBackend)


def test_a_streamed_answer_ends_when_its_client_disconnects(tmp_path: Path) -> None:
    class StreamingBackend(WorkingBackend):
        """Answers with a long body, in small chunks, until the connection ends."""

        ended_at = 0.0

        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            """Serves one connection."""
            head = await reader.readuntil(b"\r\n\r\n")
            id_line = next(line for line in head.split(b"\r\n") if line.lower().startswith(b"x-attempt-id"))
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Backend-Seal: s1\r\n"
                + id_line
                + b"\r\nContent-Length: 9000000\r\n\r\n"
            )
            self.runs.append(Run(id_line.decode(), 0.0))
            while not writer.is_closing() and not reader.at_eof():
                writer.write(b"x" * 1000)
                await asyncio.sleep(0.005)
            self.ended_at = asyncio.get_running_loop().time()

    async def scenario(port: int, backend: WorkingBackend, process: GatewayProcess) -> None:
        assert isinstance(backend, StreamingBackend)
        for disconnect in DISCONNECTS:
            backend.ended_at = 0.0
            client = await Client.connect(port)
            client.send(request(disconnect.__name__))
            await client.reader.readexactly(2000)
            disconnect(client)
            disconnected_at = asyncio.get_running_loop().time()
            await wait_until(lambda: backend.ended_at > 0)
            assert backend.ended_at - disconnected_at < MAX_NOTICE_S
        await wait_until(lambda: is_idle(process))

    run_with_working_backend(tmp_path, scenario, StreamingBackend)
