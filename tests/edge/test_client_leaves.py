"""What becomes of requests whose clients leave before they have their answers, by whole gateways on loopback.

The judge is the stand-in for a backend: it notes when each request came, and whether its work came to its own
end or was dropped because the gateway closed the connection.
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

WORK = 1.2  # seconds that a backend takes for a request below /p0/long or /p1/long
NOTICED_WITHIN = 0.5  # seconds, by the operators' pages, after which nobody works for a client that has left
REPEATABLE, ORDER = "/p0/long", "/p1/long"


@dataclass
class Run:
    """One request at the backend; times by the loop's clock, 0 where it has not come to that."""

    attempt: str
    began: float
    finished: float = 0.0
    dropped: float = 0.0


class WorkingBackend(Backend):
    """Works on each request for a while, and drops it if the connection closes meanwhile."""

    drops = True  # it stops work as the connection closes

    async def start(self) -> None:
        """Listens; several connections are served side by side."""
        self.runs: list[Run] = []
        self.connections = 0
        await super().start()

    def run_of(self, attempt: str) -> Run | None:
        """The only run of a request; None if it has not come."""
        found = [run for run in self.runs if run.attempt == attempt]
        assert len(found) <= 1, f"{attempt} ran {len(found)} times"
        return found[0] if found else None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection, a request at a time."""
        self.connections += 1
        loop = asyncio.get_running_loop()
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.strip().split(b"\r\n")
                headers = {n.lower(): v for n, _, v in (one.partition(b": ") for one in lines)}
                await reader.readexactly(int(headers.get(b"content-length", b"0")))
                run = Run(headers[b"x-attempt-id"].decode(), loop.time())
                self.runs.append(run)
                if b"/long" in first:
                    if not await self.works(reader):
                        run.dropped = loop.time()
                        return writer.close()
                run.finished = loop.time()
                writer.write(answer(headers))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            writer.close()

    async def works(self, reader: asyncio.StreamReader) -> bool:
        """True once the work is done; False if the connection closed meanwhile and the work was dropped."""
        closing = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closing}, timeout=WORK)
        if done and self.drops:
            return False
        if done:
            await asyncio.sleep(WORK)
        closing.cancel()
        return True


def request(name: str, path: str = REPEATABLE, key: str = "k", wait_ms: int = 3000) -> bytes:
    """A client's request."""
    method = "GET" if path.startswith("/p0") else "POST"
    length = "" if method == "GET" else "Content-Length: 0\r\n"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {name}\r\nX-Key: {key}\r\n"
        f"X-Deadline-Remaining-Ms: {wait_ms}\r\n{length}\r\n"
    ).encode()


class Client(Connection):
    """A connection whose client leaves in one way or another."""

    @classmethod
    async def connect(cls, port: int) -> Client:
        """A new connection to the gateway's listener for clients."""
        return cls(*await asyncio.open_connection(HOST, port))

    def close(self) -> None:
        """Leaves in order."""
        self.writer.close()

    def half_close(self) -> None:
        """Ends its own direction only."""
        self.writer.write_eof()


Leave = Callable[[Client], None]
LEAVES: tuple[Leave, ...] = (Client.close, Client.reset, Client.half_close)
Then = Callable[[int, WorkingBackend, GatewayProcess], Awaitable[None]]


def play_working(folder: Path, then: Then, kind: type[WorkingBackend] = WorkingBackend) -> None:
    """Plays with four gateways; `then` has the port of clients, the backend and the gateway they talk to."""

    async def adapted(ports: list[int], backend: Backend, systems: list[GatewayProcess]) -> None:
        assert isinstance(backend, WorkingBackend)
        await then(ports[0], backend, systems[3])

    run_scenario(folder, lambda path, headers: None, adapted, kind)


def is_calm(system: GatewayProcess) -> bool:
    """True if nothing is under way any more, and each count of it is back at nought."""
    gauges = system.metrics.gauges()
    names = (
        "requests_unanswered",
        "requests_pending",
        "requests_held",
        "attempts_out",
        "attempts_counted_out",
    )
    return not any(gauges[name] for name in names)


@pytest.mark.parametrize("pipelined", [False, True], ids=["alone", "pipelined"])
@pytest.mark.parametrize("leave", LEAVES, ids=[leave.__name__ for leave in LEAVES])
def test_no_backend_works_on_for_a_client_that_has_left(
    tmp_path: Path, leave: Leave, pipelined: bool
) -> None:
    async def then(port: int, backend: WorkingBackend, system: GatewayProcess) -> None:
        names = ["one", "two", "three"] if pipelined else ["one"]
        client = await Client.connect(port)
        client.send(*map(request, names))
        await wait_until(lambda: len(backend.runs) == len(names))
        leave(client)
        left = asyncio.get_running_loop().time()
        await asyncio.sleep(NOTICED_WITHIN)
        ran_on = [run.attempt for run in backend.runs if not 0 < run.dropped - left < NOTICED_WITHIN]
        assert not ran_on
        await wait_until(lambda: is_calm(system))

    play_working(tmp_path, then)


@pytest.mark.parametrize("leave", LEAVES, ids=[leave.__name__ for leave in LEAVES])
def test_an_order_whose_client_has_left_runs_to_its_end_once(tmp_path: Path, leave: Leave) -> None:
    async def then(port: int, backend: WorkingBackend, system: GatewayProcess) -> None:
        client = await Client.connect(port)
        client.send(request("order", ORDER))
        await wait_until(lambda: len(backend.runs) == 1)
        leave(client)
        await wait_until(lambda: backend.runs[0].finished > 0)
        await wait_until(lambda: is_calm(system))
        assert not backend.runs[0].dropped and len(backend.runs) == 1
        server = system.gateway.servers["i-1"]
        assert server.proven and not server.bad  # its answer counts, though nobody reads it

    play_working(tmp_path, then)


@pytest.mark.parametrize("leave", LEAVES, ids=[leave.__name__ for leave in LEAVES])
def test_a_request_that_waits_for_a_token_goes_nowhere_and_gives_its_token_back(
    tmp_path: Path, leave: Leave
) -> None:
    async def then(port: int, backend: WorkingBackend, system: GatewayProcess) -> None:
        client, other = await Client.connect(port), await Client.connect(port)
        client.send(request("first", "/p0/short"))
        await wait_until(lambda: len(backend.runs) == 1)
        throttle = system.gateway.throttles["t"]
        throttle.asking, throttle.level = True, 0.0  # its reserve has not answered yet
        other.send(request("before", "/p0/short"))
        client.send(request("held", "/p0/short"))
        await wait_until(lambda: len(throttle.queue) == 2)
        leave(client)
        await wait_until(lambda: len(throttle.queue) == 1)
        assert throttle.held == 1.0
        throttle.asking, throttle.level = False, throttle.level + 5.0
        system.gateway.admission.release(throttle)
        system.driver.perform(system.gateway.turn.actions)
        await wait_until(lambda: is_calm(system))
        assert {run.attempt for run in backend.runs} <= {"first", "before"}
        assert not system.driver.open  # the same id may come again

    play_working(tmp_path, then)


def test_a_request_whose_connection_is_still_dialled_is_not_written_and_uses_no_quota(tmp_path: Path) -> None:
    async def then(port: int, backend: WorkingBackend, system: GatewayProcess) -> None:
        dials = asyncio.Event()
        connect = system.pool.connect

        async def slow_dial(*told: object) -> None:
            await dials.wait()
            await connect(*told)  # type: ignore[arg-type]

        system.pool.connect = slow_dial  # type: ignore[method-assign,assignment]
        client = await Client.connect(port)
        client.send(request("dialled"))
        await wait_until(lambda: bool(system.pool.dialling))
        throttle = system.gateway.throttles["t"]
        level = throttle.level
        client.close()
        await wait_until(lambda: is_calm(system))
        assert level + 1.0 <= throttle.level <= throttle.bank
        dials.set()
        await asyncio.sleep(0.05)
        assert not backend.runs and system.driver.disconnects.unsent == 1

    play_working(tmp_path, then)


def test_a_leave_is_seen_while_nothing_is_read(tmp_path: Path) -> None:
    """Sixteen requests are under way, and more than is read ahead waits behind them."""

    async def then(port: int, backend: WorkingBackend, system: GatewayProcess) -> None:
        client = await Client.connect(port)
        client.send(*(request(f"r{n}") for n in range(400)))
        await wait_until(lambda: len(backend.runs) >= 4)
        await wait_until(lambda: any(connection.paused for connection in system.front.connections))
        client.close()
        await wait_until(lambda: is_calm(system))
        came = len(backend.runs)
        await asyncio.sleep(NOTICED_WITHIN)
        assert len(backend.runs) == came <= 16 and all(run.dropped for run in backend.runs)

    play_working(tmp_path, then)


def test_a_process_that_is_behind_looks_for_a_leave_before_it_sends(tmp_path: Path) -> None:
    async def then(port: int, backend: WorkingBackend, system: GatewayProcess) -> None:
        client, stays = await Client.connect(port), await Client.connect(port)
        await asyncio.sleep(0.05)
        system.behind_until = system.clock() + 5.0
        client.send(request("left"))
        client.close()
        stays.send(request("stays", "/p0/short"))
        await wait_until(lambda: any(run.finished for run in backend.runs))
        await wait_until(lambda: is_calm(system))
        assert [run.attempt for run in backend.runs] == ["stays"]

    play_working(tmp_path, then)


def test_a_late_tick_tells_that_the_process_is_behind(tmp_path: Path) -> None:
    async def then(port: int, backend: WorkingBackend, system: GatewayProcess) -> None:
        now = system.clock()
        system.tick_due = now
        system.note_delay(now + 0.05)
        assert not system.is_behind()
        system.tick_due = now - 1.0
        system.note_delay(now)
        assert system.is_behind() and system.metrics.gauges()["loop_delay_max_seconds"] >= 1.0

    play_working(tmp_path, then)


class StubbornBackend(WorkingBackend):
    """Works on when a connection closes."""

    drops = False


def test_a_backend_that_works_on_is_not_sent_one_request_after_the_other(tmp_path: Path) -> None:
    """Its slot isn't free: what was broken off counts there for as long as it usually takes."""

    async def then(port: int, backend: WorkingBackend, system: GatewayProcess) -> None:
        server = system.gateway.servers["i-1"]
        for fleet in system.gateway.backends.fleets.values():
            fleet.usual["r0", 0.0] = WORK
        server.limit = 2.0
        statuses = []
        for number in range(20):
            client = await Client.connect(port)
            client.send(request(f"r{number}"))
            await wait_until(lambda: not system.driver.unanswered or server.flight > 0)
            await asyncio.sleep(0.02)
            client.close()
            statuses.append(len(backend.runs))
            await asyncio.sleep(0.01)
        assert len(backend.runs) == backend.connections == 2
        assert server.flight == 2 and not server.bad and not server.overdue
        await wait_until(lambda: is_calm(system))

    play_working(tmp_path, then, StubbornBackend)


def test_no_second_attempt_begins_for_a_client_that_has_left(tmp_path: Path) -> None:
    class Breaking(WorkingBackend):
        """Breaks each connection in the midst of the work."""

        async def works(self, reader: asyncio.StreamReader) -> bool:
            await asyncio.sleep(0.1)
            return False

    async def then(port: int, backend: WorkingBackend, system: GatewayProcess) -> None:
        for name, path in (("ask", REPEATABLE), ("order", ORDER)):
            client = await Client.connect(port)
            client.send(request(name, path))
            await wait_until(lambda name=name: backend.run_of(name) is not None)  # type: ignore[misc]
            client.close()
        await wait_until(lambda: is_calm(system))
        await asyncio.sleep(0.1)
        assert [run.attempt for run in backend.runs] == ["ask", "order"]

    play_working(tmp_path, then, Breaking)


def test_an_answer_that_is_passed_on_ends_with_its_client(tmp_path: Path) -> None:
    class Streaming(WorkingBackend):
        """Answers with a long body, a piece at a time, until the connection ends."""

        ended = 0.0

        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            """Serves one connection."""
            head = await reader.readuntil(b"\r\n\r\n")
            name = next(line for line in head.split(b"\r\n") if line.lower().startswith(b"x-attempt-id"))
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Backend-Seal: s1\r\n" + name + b"\r\nContent-Length: 9000000\r\n\r\n"
            )
            self.runs.append(Run(name.decode(), 0.0))
            while not writer.is_closing() and not reader.at_eof():
                writer.write(b"x" * 1000)
                await asyncio.sleep(0.005)
            self.ended = asyncio.get_running_loop().time()

    async def then(port: int, backend: WorkingBackend, system: GatewayProcess) -> None:
        assert isinstance(backend, Streaming)
        for leave in LEAVES:
            backend.ended = 0.0
            client = await Client.connect(port)
            client.send(request(leave.__name__))
            await client.reader.readexactly(2000)
            leave(client)
            left = asyncio.get_running_loop().time()
            await wait_until(lambda: backend.ended > 0)
            assert backend.ended - left < NOTICED_WITHIN
        await wait_until(lambda: is_calm(system))

    play_working(tmp_path, then, Streaming)
