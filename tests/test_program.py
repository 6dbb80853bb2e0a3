"""The program as a process: its configuration, its stop on SIGTERM, and serving with few descriptors."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import resource
import shlex
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from tests.bed import READY, Bed, Client, request, roomy_settings, run
from tests.peers import HOST, SOON, CounterPeer, DiscoveryPeer, serve_after

ROOT = pathlib.Path(__file__).parent.parent
# the command of the deploy file, if .ci/run sets it, so that the deployed program is tested
RUN = os.environ.get("EMBERSILL_RUN") or f"exec {shlex.quote(sys.executable)} -m embersill"


def start(path: str | None) -> subprocess.CompletedProcess[str]:
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    if path is not None:
        env["RELAY_CONFIG"] = path
    return subprocess.run(
        ["/bin/sh", "-c", RUN], cwd=ROOT, env=env, text=True, capture_output=True, timeout=60, check=False
    )


def told() -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"{HOST}:1",
        "discovery": f"{HOST}:2",
        "counter": f"{HOST}:3",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": []},
        "settings": roomy_settings(),
    }


@pytest.mark.parametrize(
    ("key", "wrong"),
    [
        ("listen", None),
        ("listen", "nowhere"),
        ("discovery", f"{HOST}:x"),
        ("counter", None),
        ("seed", "xyz"),
        ("known", {}),
        ("settings", {}),
        ("limits", {}),
        ("limits", {"sockets": 3}),
    ],
)
def test_a_wrong_configuration_is_told_in_one_line(key: str, wrong: Any, tmp_path: pathlib.Path) -> None:
    text = told()
    if wrong is None:
        del text[key]
    else:
        text[key] = wrong
    path = tmp_path / "config.json"
    path.write_text(json.dumps(text))
    done = start(str(path))
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and not done.stdout


def test_no_configuration_is_told_in_one_line(tmp_path: pathlib.Path) -> None:
    broken = tmp_path / "broken.json"
    broken.write_text("{")
    for path in (None, "", str(tmp_path / "none.json"), str(broken), str(tmp_path)):
        done = start(path)
        assert done.returncode == 2 and len(done.stderr.splitlines()) == 1


@asynccontextmanager
async def process(
    tmp_path: pathlib.Path, descriptors: int = 0, pinned: bool = False
) -> AsyncIterator[tuple[Bed, Any]]:
    """Runs the program as a separate process, with the peers in this one."""
    bed = Bed(1)
    for peer in (*bed.backends, bed.discovery, bed.counter):
        await peer.start()
    environ = {"RELAY_DISCOVERY": bed.discovery.address} if pinned else {}
    bed.discovery.entries = {"b0": bed.discovery.entry("b0", bed.backends[0].address)}
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        bed.port = probe.getsockname()[1]
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**bed.told(roomy_settings(), 1024), "listen": f"{HOST}:{bed.port}"}))

    def limit() -> None:
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    child = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        RUN,
        cwd=ROOT,
        env={**os.environ, "RELAY_CONFIG": str(path), **environ},
        preexec_fn=limit,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        await until_ready(bed)
        yield bed, child
    finally:
        if child.returncode is None:
            child.kill()
        await child.communicate()
        for peer in (*bed.backends, bed.discovery, bed.counter):
            await peer.stop()


async def until_ready(bed: Bed) -> None:
    async with asyncio.timeout(SOON):
        while True:
            try:
                client = await bed.client()
                if (await client.ask(READY))[0] == 200:
                    return client.writer.close()
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.01)


def test_sigterm_answers_all_that_was_taken_and_ends_well(tmp_path: pathlib.Path) -> None:
    async def test() -> None:
        async with process(tmp_path) as (bed, child):
            free = asyncio.Event()
            bed.backends[0].script = [serve_after(free)]
            held, kept = await bed.client(), await bed.client()
            assert (await kept.ask(READY))[0] == 200
            held.send(request(1))
            await bed.backends[0].until(lambda: len(bed.backends[0].seen) == 1)
            child.send_signal(signal.SIGTERM)
            status = 200
            while status == 200:  # until the signal has taken effect
                new = await bed.client()
                status, headers, _ = await new.ask(READY)
            assert status == 503 and headers["connection"] == "close"
            new = await bed.client()  # still accepted; a kept connection works too
            status, headers, _ = await new.ask(request(2))
            assert status == 200 and headers["connection"] == "close" and await new.closed()
            assert (await kept.ask(request(3)))[0] == 200 and await kept.closed()
            free.set()
            assert (await held.answer())[0] == 200 and await held.closed()
            async with asyncio.timeout(SOON):
                assert await child.wait() == 0
            assert await child.stderr.read() == b""

    run(test)


def test_more_clients_than_descriptors_are_all_answered(tmp_path: pathlib.Path) -> None:
    # the event loop's server closes a connection for which it has no descriptor, and loses its request
    async def test() -> None:
        async with process(tmp_path, descriptors=40) as (bed, child):
            clients = [await bed.client() for _ in range(60)]
            for client in clients:
                client.send(READY)

            async def answered(client: Client) -> int:
                status, _, _ = await client.answer()
                client.writer.close()
                return status

            assert await asyncio.gather(*(answered(c) for c in clients)) == [200] * 60
            assert (await (await bed.client()).ask(request(1)))[0] == 200
            assert child.returncode is None

    run(test)


@pytest.mark.parametrize("pinned", [False, True])
def test_sighup_moves_discovery_and_counter_to_where_the_file_says_now(
    tmp_path: pathlib.Path, pinned: bool
) -> None:
    # without a handler the signal ends the process, and with it all requests in progress
    async def test() -> None:
        async with process(tmp_path, pinned=pinned) as (bed, child):
            path = tmp_path / "config.json"
            text = json.loads(path.read_text())
            client = await bed.client()
            path.write_text("{")
            child.send_signal(signal.SIGHUP)
            async with asyncio.timeout(SOON):
                assert b"stays as it was" in await child.stderr.readline()
            assert (await client.ask(request(1)))[0] == 200
            discovery, counter = DiscoveryPeer(), CounterPeer()
            await discovery.start()
            await counter.start()
            discovery.entries = bed.discovery.entries
            path.write_text(json.dumps({**text, "discovery": discovery.address, "counter": counter.address}))
            child.send_signal(signal.SIGHUP)
            await discovery.until_asked(2)  # its whole list has been applied
            number = 1
            async with asyncio.timeout(SOON):
                while not counter.calls:
                    number += 1
                    await client.ask(request(number, plan="pro", units="8"))  # near its quota: counted
            assert child.returncode is None
            child.terminate()
            async with asyncio.timeout(SOON):
                assert await child.wait() == 0
            assert await child.stderr.read() == b""
            await discovery.stop()
            await counter.stop()

    run(test)
