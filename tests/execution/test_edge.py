"""A request that may not be repeated runs at most once behind whole gateways, however an attempt ends."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from embersill.edge.program import GatewayProcess
from tests.edge.test_sockets import Backend, call, run_scenario, wait_until
from tests.execution.endings import (
    DECLINES,
    LONG_BODY_BYTES,
    WALKS,
    PROMISES,
    EndingBackend,
    Ledger,
    Point,
    Walk,
    Way,
    ask_once,
    play,
    reset,
)

FRONT_HOST = CONTROL_HOST = "127.0.0.4"
BACKENDS = 3
SEAL, NOT_EXECUTED = "X-Backend-Seal: s", "X-Request-Not-Executed: 1"


class EdgeWire:
    """Requests and answers between whole gateways and their backends."""

    id_header = "x-attempt-id"

    def __init__(self, busy_status: int = 503) -> None:
        """`busy_status`: that of `Way.BUSY`."""
        self.busy_status = busy_status

    def answer(self, request_id: str, way: Way, body: bytes) -> bytes:
        """A whole answer."""
        status, mark = {
            Way.ERROR: (500, SEAL),
            Way.BUSY: (self.busy_status, SEAL),
            Way.DECLINE: (503, NOT_EXECUTED),
            Way.DECLINE_AND_RESET: (503, NOT_EXECUTED),
        }.get(way, (200, SEAL))
        named = f"X-Attempt-Id: {request_id}"
        head = f"HTTP/1.1 {status} X\r\n{named}\r\n{mark}\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body


class Deployment:
    """Three gateways with disks and one without, before backends that let attempts end as a ledger says."""

    def __init__(self, ports: list[int], wire: EdgeWire) -> None:
        self.front, self.readiness, self.control, _ = ports
        self.ledger = Ledger()
        self.backends = [EndingBackend(f"i-e{number}", wire, self.ledger) for number in range(BACKENDS)]
        self.sequence = 0

    async def start(self, processes: list[GatewayProcess]) -> None:
        """Starts the backends, which take the place of the one that is there."""
        for backend in self.backends:
            await backend.start()
        await self.report()
        status, _, _ = await call(CONTROL_HOST, self.control, "DELETE /api/instances/i-1 HTTP/1.1")
        assert status == 200
        names = {backend.name for backend in self.backends}
        await wait_until(lambda: all(process.driver.serving == names for process in processes))

    async def report(self) -> None:
        """Sends a heartbeat of each backend."""
        self.sequence += 1
        for backend in self.backends:
            heartbeat = {
                "service": "s",
                "address": backend.address,
                "zone": "a",
                "capacity_slots": 4,
                "state": "ready",
                "call_sequence": self.sequence,
                "warmup_remaining_s": 0,
            }
            line = f"PUT /api/instances/{backend.name} HTTP/1.1"
            await call(CONTROL_HOST, self.control, line, heartbeat)

    async def ask(self, walk: Walk) -> int:
        """Sends a request of a non-idempotent route; returns the status of its answer."""
        await self.report()
        reader, writer = await asyncio.open_connection(FRONT_HOST, self.front)
        head = (
            f"POST /p1/order HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {walk.request_id}\r\nX-Key: k\r\n"
            f"X-Deadline-Remaining-Ms: {1000 * walk.budget_s:.0f}\r\nContent-Length: {walk.size}\r\n\r\n"
        )
        writer.write(head.encode() + b"x" * walk.size)
        status_line = await asyncio.wait_for(reader.readline(), 10.0)
        reset(writer)
        return int(status_line.split(b" ")[1])

    async def earn_retries(self) -> None:
        """Sends requests that are served: each adds to the retry budget."""
        for number in range(20):
            assert await self.ask(Walk(f"served{number}", (Point.REFUSED, Way.RESET), 2)) == 200
            await asyncio.sleep(0.1)  # within the tenant's quota

    async def stop(self) -> None:
        """Stops the backends."""
        for backend in self.backends:
            await backend.stop()


def run_deployment(
    folder: Path, scenario: Callable[[Deployment], Awaitable[None]], wire: EdgeWire | None = None
) -> None:
    """Runs a scenario in an event loop of its own."""

    async def adapter(ports: list[int], backend: Backend, processes: list[GatewayProcess]) -> None:
        deployment = Deployment(ports, wire or EdgeWire())
        await deployment.start(processes)
        try:
            await scenario(deployment)
        finally:
            await deployment.stop()

    run_scenario(folder, lambda path, headers: None, adapter)


@pytest.mark.parametrize("seed", range(2))
def test_an_order_runs_at_most_once_however_its_attempts_end(tmp_path: Path, seed: int) -> None:
    async def scenario(deployment: Deployment) -> None:
        played = await play(seed, WALKS, deployment.backends, deployment.ledger, deployment.ask)
        statuses = Counter(status for _, status in played)
        assert statuses[200] and statuses[502], statuses

    run_deployment(tmp_path, scenario)


def test_a_long_order_whose_answer_is_lost_while_its_body_is_sent_is_not_sent_again(tmp_path: Path) -> None:
    """Guards against review/2: a remainder that was not sent passed for proof that nothing had run."""

    async def scenario(deployment: Deployment) -> None:
        for number, point in enumerate((Point.BEFORE_BODY, Point.BODY)):
            walk = Walk(f"lost{number}", (point, Way.RESET), LONG_BODY_BYTES)
            assert await ask_once(walk, deployment.ledger, deployment.ask) == 502
            assert len(deployment.ledger.arrived[walk.request_id]) == 1

    run_deployment(tmp_path, scenario)


@pytest.mark.parametrize("way", DECLINES)
def test_an_order_that_its_backend_declines_is_sent_to_another(tmp_path: Path, way: Way) -> None:
    """Guards against refusing what another backend could serve, also if the body is in part unsent."""

    async def scenario(deployment: Deployment) -> None:
        await deployment.earn_retries()
        walk = Walk("declined", (Point.BEFORE_BODY, way), LONG_BODY_BYTES)
        assert await ask_once(walk, deployment.ledger, deployment.ask) == 200
        assert len(deployment.ledger.arrived[walk.request_id]) == 2

    run_deployment(tmp_path, scenario)


@pytest.mark.parametrize(
    ("point", "way", "proof"),
    [
        (Point.BEFORE_ANSWER, Way.DECLINE, "declined"),
        (Point.BEFORE_BODY, Way.DECLINE_AND_RESET, "declined"),
        (Point.REFUSED, Way.RESET, "nothing_written"),
    ],
)
def test_a_second_attempt_is_logged_with_its_proof(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, point: Point, way: Way, proof: str
) -> None:
    """Guards against a second run of which nobody could tell afterwards why it was allowed."""
    caplog.set_level(logging.INFO, "embersill.edge")

    async def scenario(deployment: Deployment) -> None:
        await deployment.earn_retries()
        if point is Point.REFUSED:
            await deployment.stop()
        walk = Walk("again", (point, way), 40)
        status = await ask_once(walk, deployment.ledger, deployment.ask)
        assert status == (503 if point is Point.REFUSED else 200)
        _, _, text = await call(FRONT_HOST, deployment.readiness, "GET /api/metrics HTTP/1.1")
        lines = [r.getMessage() for r in caplog.records if r.getMessage().startswith("second attempt ")]
        assert (
            len(lines) == 1
            and f'embersill_second_attempts_total{{proof="{proof}"}} {len(lines)}' in text.decode()
        )
        assert "embersill_second_attempts_contradicted_total 0" in text.decode()
        for line in lines:
            assert " request=again" in line and " repeatable=no " in line and f" proof={proof} " in line
            kernel_bytes = int(line.rpartition("kernel_bytes=")[2])
            assert kernel_bytes == 0 if proof == "nothing_written" else kernel_bytes > 40

    run_deployment(tmp_path, scenario)


@pytest.mark.parametrize("status", sorted(PROMISES - {421}))
def test_an_order_that_has_run_is_never_answered_as_not_run(tmp_path: Path, status: int) -> None:
    """Guards against a client's second try: a backend's own 503 was passed on, which promises no run."""

    async def scenario(deployment: Deployment) -> None:
        await deployment.earn_retries()
        walk = Walk("busy", (Point.BEFORE_ANSWER, Way.BUSY), 40)
        assert await ask_once(walk, deployment.ledger, deployment.ask) == 502
        assert len(deployment.ledger.arrived[walk.request_id]) == 1

    run_deployment(tmp_path, scenario, EdgeWire(busy_status=status))
