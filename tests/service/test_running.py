"""Operator calls to a running gateway, and successor processes, over real sockets."""

from __future__ import annotations

import asyncio
import pathlib
import socket
from collections.abc import Iterator

import pytest

from embersill.configuration.platform import build_configuration
from embersill.net.operators import MAX_CONNECTIONS
from embersill.roles import Program
from embersill.service.running import Operations
from tests.bed import READY, Bed, Client, request, roomy_settings, run, running
from tests.peers import HOST, SOON, serve_after


def free_address() -> str:
    """An unused address on loopback."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


@pytest.fixture(autouse=True)
def folder(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[pathlib.Path]:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    yield tmp_path


async def call(address: str, method: str, path: str) -> tuple[int, str]:
    """Makes an operator call; returns the status and the body."""
    host, port = address.split(":")
    async with asyncio.timeout(1.0):  # the timeout of an operator's call
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        text = (await reader.read()).decode()
        writer.close()
    head, _, body = text.partition("\r\n\r\n")
    return int(head.split()[1]), body


async def read_stats(address: str) -> dict[str, int]:
    """Reads a gateway's statistics."""
    _, text = await call(address, "GET", "/stats")
    return {k: int(v) for k, _, v in (line.partition("=") for line in text.splitlines())}


def operations(program: Program) -> Operations:
    assert program.operations is not None
    return program.operations


async def start_successor(bed: Bed) -> tuple[Program, str]:
    """Starts a second process of the same gateway, with its own operator address."""
    address = free_address()
    configuration = bed.told(roomy_settings(), 1024)
    program = Program(build_configuration(configuration, {"RELAY_OPERATOR": address}))
    program.listen = (HOST, bed.port)
    await program.start()
    return program, address


async def wait_until(condition: object) -> None:
    assert callable(condition)
    async with asyncio.timeout(SOON):
        while not condition():
            await asyncio.sleep(0.01)


def test_statistics_agree_with_the_counts_of_clients_and_backends() -> None:
    async def test() -> None:
        operator_address = free_address()
        async with running(2, operator=operator_address) as bed:
            client = await bed.client()
            for number in range(20):
                assert (await client.ask(request(number)))[0] == 200
            bed.backends[0].script = bed.backends[1].script = []
            stats = await read_stats(operator_address)
            assert stats["gateway.passed.lookup"] == 20 and stats["gateway.in_progress"] == 0
            assert stats["gateway.upstream_tries"] == len(bed.seen()) == 20
            assert stats["gateway.known_backends"] == 2 and stats["gateway.skipped_backends"] == 0
            release = asyncio.Event()
            for backend in bed.backends:
                backend.script = [serve_after(release)]
            client.send(request(30))
            await wait_until(lambda: bed.program.driver.unanswered == 1)
            assert (await read_stats(operator_address))["gateway.in_progress"] == 1
            release.set()
            await client.answer()

    run(test)


def test_the_operator_address_answers_beside_stalled_callers_and_rejects_invalid_calls() -> None:
    async def test() -> None:
        operator_address = free_address()
        host, port = operator_address.split(":")
        async with running(1, operator=operator_address):
            stalled = [await asyncio.open_connection(host, int(port)) for _ in range(2 * MAX_CONNECTIONS)]
            for _, writer in stalled[::2]:
                writer.write(b"GET /stats HT")
            assert (await call(operator_address, "GET", "/healthcheck"))[0] == 200
            assert (await call(operator_address, "GET", "/nothing"))[0] == 404
            assert (await call(operator_address, "GET", "/" + "x" * 20_000))[0] == 413
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"\x00\x01nonsense\r\n\r\n")
            assert b" 400 " in await reader.read()
            assert (await call(operator_address, "POST", "/backends/nobody/maint"))[0] == 404
            for _, writer in stalled:
                writer.close()

    run(test)


def test_a_backend_in_maintenance_gets_no_request_until_it_is_ready_again() -> None:
    async def test() -> None:
        operator_address = free_address()
        async with running(2, operator=operator_address) as bed:
            assert (await call(operator_address, "POST", "/backends/b0/maint"))[0] == 200
            client = await bed.client()
            for number in range(10):
                assert (await client.ask(request(number)))[0] == 200
            assert not bed.backends[0].seen
            assert (await read_stats(operator_address))["gateway.skipped_backends"] == 1
            assert (await call(operator_address, "POST", "/backends/b0/ready"))[0] == 200
            for number in range(10, 80):
                assert (await client.ask(request(number)))[0] == 200
            assert bed.backends[0].seen

    run(test)


def test_a_draining_gateway_closes_its_connections_and_can_resume_at_once() -> None:
    async def test() -> None:
        operator_address = free_address()
        async with running(1, operator=operator_address) as bed:
            idle, busy, late = await bed.client(), await bed.client(), await bed.client()
            await idle.ask(request(1))
            await late.ask(request(2))
            release = asyncio.Event()
            bed.backends[0].script = [serve_after(release)]
            busy.send(request(3))
            await wait_until(lambda: bed.program.driver.unanswered == 1)
            assert (await call(operator_address, "POST", "/healthcheck/fail"))[0] == 200
            readiness_client = await bed.client()
            assert (await readiness_client.ask(READY))[0] == 503
            assert (await late.ask(request(4)))[0] == 200  # no request is rejected
            assert await idle.closed()
            release.set()
            status, headers, _ = await busy.answer()
            assert status == 200 and headers["connection"] == "close"
            await wait_until(lambda: not bed.program.front.connections)
            assert (await call(operator_address, "GET", "/healthcheck"))[0] == 200
            assert (await call(operator_address, "POST", "/healthcheck/ok"))[0] == 200
            later_client = await bed.client()
            assert (await later_client.ask(READY))[0] == 200

    run(test)


def test_a_successor_process_takes_over_the_clients_and_keeps_backends_in_maintenance() -> None:
    async def test() -> None:
        operator_address = free_address()
        async with running(2, operator=operator_address) as bed:
            await call(operator_address, "POST", "/backends/b0/maint")
            kept_client = await bed.client()
            await kept_client.ask(request(1))
            successor, successor_address = await start_successor(bed)
            assert (await call(successor_address, "GET", "/healthcheck"))[0] == 200
            await wait_until(lambda: bed.program.front.listener is None)
            new_clients = [await bed.client() for _ in range(20)]
            for number, client in enumerate(new_clients):
                assert (await client.ask(request(100 + number)))[0] == 200
            assert len(successor.front.connections) == 20 and not bed.backends[0].seen
            status, headers, _ = await kept_client.ask(request(2))
            assert status == 200 and headers["connection"] == "close"
            await bed.program.stop()
            await wait_until(lambda: operations(successor).stage.value == "alone")
            assert (await call(successor_address, "POST", "/backends/b0/ready"))[0] == 200
            for number in range(200, 270):
                await new_clients[0].ask(request(number))
            assert bed.backends[0].seen
            await successor.stop(0.0, 0.0)

    run(test)


def test_if_the_successor_process_ends_the_first_one_accepts_clients_again() -> None:
    async def test() -> None:
        async with running(1, operator=free_address()) as bed:
            successor, _ = await start_successor(bed)
            await wait_until(lambda: bed.program.front.listener is None)
            await successor.stop(0.0, 0.0)
            await wait_until(lambda: bed.program.front.listener is not None)
            client: Client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200

    run(test)


@pytest.mark.parametrize("content", [b"", b"rubbish", b"00000000 {}", b"\xff" * 100])
def test_damaged_files_in_the_folder_do_not_prevent_a_start(content: bytes, folder: pathlib.Path) -> None:
    async def test() -> None:
        for name in ("held", "x.mark", "x.lock", "y.mark"):
            (folder / f"embersill.n0.{name}").write_bytes(content)
        operator_address = free_address()
        async with running(1, operator=operator_address) as bed:
            assert operations(bed.program).stage.value == "alone"
            client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200
            assert (await call(operator_address, "POST", "/backends/b0/maint"))[0] == 200

    run(test)
