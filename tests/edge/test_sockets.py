"""Gateways of the system on loopback, with lmdb on disk and a stand-in for a backend: whole calls by HTTP."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from embersill.edge.records import Stored
from embersill.edge.__main__ import main
from embersill.edge.dataplane.handlers import OPENAPI_PATH, operations
from embersill.edge.local import Local
from embersill.edge.logs import line
from embersill.edge.program import GatewayProcess, first_vote
from embersill.edge.storage.store import Store
from embersill.lab.edge.fleet import change

SEAL = b"X-Backend-Seal: s1\r\n"
Answers = Callable[[bytes, dict[bytes, bytes]], bytes | None]


def free_ports() -> list[int]:
    """Ports that are free on all addresses used here."""
    held = [socket.socket() for _ in range(4)]
    for one in held:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def local(number: int, ports: list[int], folder: Path | None, core: bool) -> Local:
    ip = f"127.0.0.{number}"
    made: Local = {
        "node_name": f"n{number}",
        "ip_address": ip,
        "zone": "a",
        "first_start": True,
        "listen_addresses": {
            "front_http": f"{ip}:{ports[0]}",
            "readiness": f"{ip}:{ports[1]}",
            "control_plane": f"{ip}:{ports[2]}",
        },
        "internal_port_range": [ports[3], ports[3]],
        "seed_nodes": [f"127.0.0.{n}:{ports[2]}" for n in (1, 2, 3)],
        "counts_toward_quorum": core,
        "limits": {"memory_mb": 300, "file_descriptors": 1000},
        "bounds": {"grace_period_s": 3.0, "quota_slack": 20},
        "heartbeat_interval_s": 1.0,
    }
    if folder is not None:
        made["data_directory"] = str(folder)
    return made


async def call(host: str, port: int, text: str, body: Any = None) -> tuple[int, dict[str, str], bytes]:
    """One request on a connection of its own."""
    reader, writer = await asyncio.open_connection(host, port)
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{text}\r\nHost: a.example\r\nConnection: close\r\nContent-Length: {len(data)}\r\n\r\n"
    writer.write(head.encode() + data)
    told, _, rest = (await asyncio.wait_for(reader.read(), 5.0)).partition(b"\r\n\r\n")
    writer.close()
    first, *lines = told.decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (one.partition(": ") for one in lines)}
    return int(first.split(" ")[1]), headers, rest


class Backend:
    """A stand-in: answers by a function of path and headers; None breaks the connection."""

    def __init__(self, answers: Answers) -> None:
        self.answers = answers
        self.seen: list[dict[bytes, bytes]] = []
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def work(self, path: bytes) -> None:
        """What it does before it answers: nothing that takes time."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            first, *lines = head.strip().split(b"\r\n")
            headers = {n.lower(): v for n, _, v in (one.partition(b": ") for one in lines)}
            await reader.readexactly(int(headers.get(b"content-length", b"0")))
            self.seen.append(headers)
            path = first.split(b" ")[1]
            await self.work(path)
            answer = self.answers(path, headers)
            if answer is None:
                return writer.transport.abort()
            writer.write(answer)


def answer(
    headers: dict[bytes, bytes], status: bytes = b"200 OK", more: bytes = SEAL, body: bytes = b"whole"
) -> bytes:
    return b"HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        headers[b"x-attempt-id"],
        more,
        len(body),
        body,
    )


async def until(true: Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while not true():
            await asyncio.sleep(0.01)


async def with_system(
    folder: Path, answers: Answers, then: Callable[..., Awaitable[None]], kind: type[Backend] = Backend
) -> None:
    """Three gateways with disks and one without, a configuration in force, and a backend that is known."""
    ports, stores, systems = free_ports(), [], []
    for number in (1, 2, 3, 4):
        place = folder / f"n{number}" if number < 4 else None
        store = Store(place, 16) if place is not None else None
        settings = local(number, ports, place, number < 4)
        vote = first_vote(settings)
        stored = store.begin(lambda number=number: f"s{number}", vote) if store is not None else None  # type: ignore[misc]
        systems.append(GatewayProcess(settings, store, stored.ok if stored is not None else Stored("x")))
        stores.append(store)
    try:
        for system in systems:
            await system.start()
        backend = kind(answers)
        await backend.start()
        await until(lambda: sum(system.node.agreement.votes for system in systems) == 3)
        control = ports[2]
        route = change(1, 0, routes=2)
        route["routes"]["r1"]["kind"] = "non_idempotent"
        status, _, text = await call("127.0.0.4", control, "PUT /api/configuration HTTP/1.1", route)
        assert status == 200, text
        beat = {
            "service": "s",
            "address": backend.address,
            "zone": "a",
            "capacity_slots": 4,
            "state": "ready",
            "call_sequence": 1,
            "warmup_remaining_s": 0,
        }
        status, _, text = await call("127.0.0.4", control, "PUT /api/instances/i-1 HTTP/1.1", beat)
        assert status == 200 and json.loads(text)["heartbeat_address"].endswith(f":{control}")
        await until(lambda: all(system.is_ready() for system in systems))
        await then(ports, backend, systems)
    finally:
        for system in systems:
            system.front.close()
            system.ready.close()
            system.control.close()
            system.links.close()
            if system.ticker is not None:
                system.ticker.cancel()
        for store in stores:
            if store is not None:
                store.close()


def play(
    folder: Path, answers: Answers, then: Callable[..., Awaitable[None]], kind: type[Backend] = Backend
) -> None:
    asyncio.run(with_system(folder, answers, then, kind))


def try_of(number: int, path: str = "/p0/x", key: str = "k", method: str = "GET") -> str:
    return (
        f"{method} {path} HTTP/1.1\r\nX-Attempt-Id: a{number}\r\nX-Deadline-Remaining-Ms: 1500\r\n"
        f"X-Key: {key}\r\nX-Tenant-Name: forged"
    )


def test_a_request_goes_whole_from_client_to_backend_and_back(tmp_path: Path) -> None:
    async def then(ports: list[int], backend: Backend, systems: list[GatewayProcess]) -> None:
        assert (await call("127.0.0.4", ports[1], "GET /api/readiness HTTP/1.1"))[0] == 200
        status, headers, body = await call("127.0.0.4", ports[0], try_of(1))
        assert (status, headers["x-backend-seal"], body) == (200, "s1", b"whole")
        seen = backend.seen[-1]
        assert seen[b"x-tenant-name"] == b"t" and b"x-key" not in seen
        assert seen[b"x-expected-instance"] == b"i-1" and 0 < int(seen[b"x-deadline-remaining-ms"]) <= 1500
        assert (await call("127.0.0.4", ports[0], try_of(2, key="nobody")))[0] == 401
        assert (await call("127.0.0.4", ports[0], try_of(3, path="/none/")))[0] == 404
        read = await call("127.0.0.2", ports[2], "GET /api/configuration HTTP/1.1")
        assert read[0] == 200 and json.loads(read[2])["version"] == "00000001"
        assert (await call("127.0.0.2", ports[2], "POST /api/configuration HTTP/1.1"))[0] == 405
        assert (await call("127.0.0.2", ports[2], "PUT /api/configuration HTTP/1.1", [1]))[0] == 400
        gone = await call("127.0.0.2", ports[2], "DELETE /api/instances/i-1 HTTP/1.1")
        assert gone[0] == 200 and not any(system.driver.serving for system in systems)
        refused = await call("127.0.0.4", ports[0], try_of(4))
        assert refused[0] == 503 and float(refused[1]["retry-after"]) > 0

    play(tmp_path, lambda path, headers: answer(headers), then)


@pytest.mark.parametrize("fault", ["foreign", "unsealed", "surplus", "broken", "garbled", "declined"])
def test_what_a_backend_spoils_never_reaches_a_client_as_a_success(tmp_path: Path, fault: str) -> None:
    def spoils(path: bytes, headers: dict[bytes, bytes]) -> bytes | None:
        if fault == "foreign":
            return answer({b"x-attempt-id": b"another"})
        if fault == "unsealed":
            return answer(headers, more=b"")
        if fault == "surplus":
            return answer(headers) + answer({b"x-attempt-id": b"late"}, body=b"late!")
        if fault == "declined":
            return answer(headers, b"503 Service Unavailable", b"X-Request-Not-Executed: 1\r\n")
        return None if fault == "broken" else b"\x00\x01 no answer at all\r\n\r\n"

    async def then(ports: list[int], backend: Backend, systems: list[GatewayProcess]) -> None:
        for number in range(3):
            status, headers, body = await call("127.0.0.4", ports[0], try_of(number, "/p1/x", method="POST"))
            if fault == "surplus":
                assert (status, body) == (200, b"whole")
            else:  # only what was declined for sure may be promised not to have run
                assert status == (503 if fault == "declined" else 502)
        if fault != "surplus" and fault != "declined":
            assert len(backend.seen) == 3  # each ran once at most

    play(tmp_path, spoils, then)


@pytest.mark.parametrize("kind", ["late", "unsealed", "nameless", "own"])
def test_a_long_answer_is_passed_on_only_if_it_is_the_requests_own(tmp_path: Path, kind: str) -> None:
    """Over 64 KiB an answer is passed on as it comes: its head has to tell whose it is by then."""
    long = b"x" * 200_000

    def answers(path: bytes, headers: dict[bytes, bytes]) -> bytes | None:
        if kind == "late":
            return answer({b"x-attempt-id": b"another"}, body=long) + answer(headers)
        if kind == "nameless":
            return answer(headers, body=long).replace(b"X-Attempt-Id", b"X-Other-Name")
        return answer(headers, body=long, more=SEAL if kind == "own" else b"")

    async def then(ports: list[int], backend: Backend, systems: list[GatewayProcess]) -> None:
        status, _, body = await call("127.0.0.4", ports[0], try_of(1, "/p1/x", method="POST"))
        wanted = {"late": (200, b"whole"), "own": (200, long)}
        if kind in wanted:
            assert (status, body) == wanted[kind]
        else:
            assert status == 502 and long not in body
        assert len(backend.seen) == 1

    play(tmp_path, answers, then)


def test_a_backends_own_failure_goes_back_as_it_is(tmp_path: Path) -> None:
    async def then(ports: list[int], backend: Backend, systems: list[GatewayProcess]) -> None:
        status, headers, body = await call("127.0.0.4", ports[0], try_of(1, "/p1/x", method="POST"))
        assert (status, body, headers["x-backend-seal"]) == (500, b"whole", "s1")

    play(tmp_path, lambda path, headers: answer(headers, b"500 Internal Server Error"), then)


def test_the_interface_file_names_what_the_doors_take() -> None:
    assert set(operations().values()) == {
        "beat",
        "leave",
        "GET",
        "PUT",
        "PATCH",
        "status",
        "lapses",
        "lapse",
        "report",
        "rollouts",
        "rollout",
    }


def test_a_gateway_says_what_it_believes_in_the_form_of_the_interface_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def then(ports: list[int], backend: Backend, systems: list[GatewayProcess]) -> None:
        address = f"127.0.0.4:{ports[2]}"
        status = await asyncio.to_thread(main, ["status", address])
        told = json.loads(capsys.readouterr().out)
        schema = json.loads(OPENAPI_PATH.read_text())["components"]["schemas"]["Status"]
        assert status == 0 and set(told) == set(schema["required"]) == set(schema["properties"])
        assert told["members"] == {"n1": True, "n2": True, "n3": True} and told["epoch"] == 1
        assert told["version"] == "00000001" and told["backends"] == {"s": {"ready": 1}}
        assert told["gateways"] == 4 and told["keeper"] == "n1" and not told["core"] and not told["behind"]

    play(tmp_path, lambda path, headers: answer(headers), then)
    assert main(["status", "127.0.0.4:1"]) == 1 and "127.0.0.4:1" in capsys.readouterr().err


def test_a_lapsed_tenant_is_turned_away_at_any_gateway_until_it_is_restored(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def then(ports: list[int], backend: Backend, systems: list[GatewayProcess]) -> None:
        async def command(*words: str) -> tuple[int, Any]:
            status = await asyncio.to_thread(main, ["lapse", words[0], f"127.0.0.4:{ports[2]}", *words[1:]])
            told = capsys.readouterr()
            return status, json.loads(told.out) if status == 0 else told.err

        assert (await command("pause", "t", "--by", "me"))[1].endswith("404: no order for tenant 't'\n")
        status, told = await command("start", "t", "--by", "me", "--ladder", "0.5:0.1,0")
        assert status == 0 and told["number"] == 1
        await until(lambda: all(s.node.table is not None and s.node.table.stopped("t") for s in systems))
        for number in (1, 2, 3, 4):
            status, headers, _ = await call(f"127.0.0.{number}", ports[0], try_of(number))
            assert status == 429 and float(headers["retry-after"]) >= 15.0
        assert not backend.seen
        listed = (await command("list"))[1]
        assert listed["orders"]["t"]["step"] == 1 and listed["holder"] in ("n1", "n2", "n3")
        report = (await command("report", "t"))[1]
        assert report["whole"]["step 1"]["tenant"]["refused"] == 4 and len(report["gateways"]) == 4
        assert (await command("restore", "t", "--by", "me"))[0] == 0
        assert (await call("127.0.0.4", ports[0], try_of(9)))[0] == 200

    play(tmp_path, lambda path, headers: answer(headers), then)


def test_an_event_is_one_line_of_pairs() -> None:
    told = line({"message_type": "disk", "level": "warning", "text": "no space\nleft", "task_uuid": "x"})
    assert told == 'event=disk level=warning text="no space\\nleft"'
