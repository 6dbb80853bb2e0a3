"""Staff's calls on a running gateway, and one process after another, over real sockets."""

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
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


@pytest.fixture(autouse=True)
def folder(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[pathlib.Path]:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    yield tmp_path


async def call(address: str, method: str, path: str) -> tuple[int, str]:
    host, port = address.split(":")
    async with asyncio.timeout(1.0):  # as long as a caller waits
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        text = (await reader.read()).decode()
        writer.close()
    head, _, body = text.partition("\r\n\r\n")
    return int(head.split()[1]), body


async def figures(address: str) -> dict[str, int]:
    _, text = await call(address, "GET", "/stats")
    return {k: int(v) for k, _, v in (line.partition("=") for line in text.splitlines())}


def operations(program: Program) -> Operations:
    assert program.operations is not None
    return program.operations


async def follow(bed: Bed) -> tuple[Program, str]:
    """A second process of the same gateway, at a door of its own."""
    address = free_address()
    told = bed.told(roomy_settings(), 1024)
    program = Program(build_configuration(told, {"RELAY_OPERATOR": address}))
    program.listen = (HOST, bed.port)
    await program.start()
    return program, address


async def until(done: object) -> None:
    assert callable(done)
    async with asyncio.timeout(SOON):
        while not done():
            await asyncio.sleep(0.01)


def test_figures_agree_with_what_clients_and_backends_counted() -> None:
    async def test() -> None:
        door = free_address()
        async with running(2, operator=door) as bed:
            client = await bed.client()
            for number in range(20):
                assert (await client.ask(request(number)))[0] == 200
            bed.backends[0].script = bed.backends[1].script = []
            told = await figures(door)
            assert told["gateway.passed.lookup"] == 20 and told["gateway.in_progress"] == 0
            assert told["gateway.upstream_tries"] == len(bed.seen()) == 20
            assert told["gateway.known_backends"] == 2 and told["gateway.skipped_backends"] == 0
            free = asyncio.Event()
            for backend in bed.backends:
                backend.script = [serve_after(free)]
            client.send(request(30))
            await until(lambda: bed.program.driver.unanswered == 1)
            assert (await figures(door))["gateway.in_progress"] == 1
            free.set()
            await client.answer()

    run(test)


def test_the_door_answers_while_callers_stall_and_refuses_what_is_no_call() -> None:
    async def test() -> None:
        door = free_address()
        host, port = door.split(":")
        async with running(1, operator=door):
            stalled = [await asyncio.open_connection(host, int(port)) for _ in range(2 * MAX_CONNECTIONS)]
            for _, writer in stalled[::2]:
                writer.write(b"GET /stats HT")
            assert (await call(door, "GET", "/healthcheck"))[0] == 200
            assert (await call(door, "GET", "/nothing"))[0] == 404
            assert (await call(door, "GET", "/" + "x" * 20_000))[0] == 413
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"\x00\x01nonsense\r\n\r\n")
            assert b" 400 " in await reader.read()
            assert (await call(door, "POST", "/backends/nobody/maint"))[0] == 404
            for _, writer in stalled:
                writer.close()

    run(test)


def test_a_backend_out_of_use_gets_nothing_until_it_is_put_back() -> None:
    async def test() -> None:
        door = free_address()
        async with running(2, operator=door) as bed:
            assert (await call(door, "POST", "/backends/b0/maint"))[0] == 200
            client = await bed.client()
            for number in range(10):
                assert (await client.ask(request(number)))[0] == 200
            assert not bed.backends[0].seen
            assert (await figures(door))["gateway.skipped_backends"] == 1
            assert (await call(door, "POST", "/backends/b0/ready"))[0] == 200
            for number in range(10, 80):
                assert (await client.ask(request(number)))[0] == 200
            assert bed.backends[0].seen

    run(test)


def test_a_drained_gateway_lets_its_clients_go_and_is_back_at_once() -> None:
    async def test() -> None:
        door = free_address()
        async with running(1, operator=door) as bed:
            idle, busy, late = await bed.client(), await bed.client(), await bed.client()
            await idle.ask(request(1))
            await late.ask(request(2))
            free = asyncio.Event()
            bed.backends[0].script = [serve_after(free)]
            busy.send(request(3))
            await until(lambda: bed.program.driver.unanswered == 1)
            assert (await call(door, "POST", "/healthcheck/fail"))[0] == 200
            asking = await bed.client()
            assert (await asking.ask(READY))[0] == 503
            assert (await late.ask(request(4)))[0] == 200  # none is turned away
            assert await idle.closed()
            free.set()
            status, headers, _ = await busy.answer()
            assert status == 200 and headers["connection"] == "close"
            await until(lambda: not bed.program.front.connections)
            assert (await call(door, "GET", "/healthcheck"))[0] == 200
            assert (await call(door, "POST", "/healthcheck/ok"))[0] == 200
            again = await bed.client()
            assert (await again.ask(READY))[0] == 200

    run(test)


def test_a_process_that_follows_takes_the_clients_and_keeps_the_bans() -> None:
    async def test() -> None:
        door = free_address()
        async with running(2, operator=door) as bed:
            await call(door, "POST", "/backends/b0/maint")
            kept = await bed.client()
            await kept.ask(request(1))
            following, its_door = await follow(bed)
            assert (await call(its_door, "GET", "/healthcheck"))[0] == 200
            await until(lambda: bed.program.front.listener is None)
            fresh = [await bed.client() for _ in range(20)]
            for number, client in enumerate(fresh):
                assert (await client.ask(request(100 + number)))[0] == 200
            assert len(following.front.connections) == 20 and not bed.backends[0].seen
            status, headers, _ = await kept.ask(request(2))
            assert status == 200 and headers["connection"] == "close"
            await bed.program.stop()
            await until(lambda: operations(following).stage.value == "alone")
            assert (await call(its_door, "POST", "/backends/b0/ready"))[0] == 200
            for number in range(200, 270):
                await fresh[0].ask(request(number))
            assert bed.backends[0].seen
            await following.stop(0.0, 0.0)

    run(test)


def test_a_process_that_follows_and_dies_leaves_the_clients_to_the_first() -> None:
    async def test() -> None:
        async with running(1, operator=free_address()) as bed:
            following, _ = await follow(bed)
            await until(lambda: bed.program.front.listener is None)
            await following.stop(0.0, 0.0)
            await until(lambda: bed.program.front.listener is not None)
            client: Client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200

    run(test)


@pytest.mark.parametrize("left", [b"", b"rubbish", b"00000000 {}", b"\xff" * 100])
def test_what_is_damaged_in_the_folder_stops_nothing(left: bytes, folder: pathlib.Path) -> None:
    async def test() -> None:
        for name in ("held", "x.mark", "x.lock", "y.mark"):
            (folder / f"embersill.n0.{name}").write_bytes(left)
        door = free_address()
        async with running(1, operator=door) as bed:
            assert operations(bed.program).stage.value == "alone"
            client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200
            assert (await call(door, "POST", "/backends/b0/maint"))[0] == 200

    run(test)
