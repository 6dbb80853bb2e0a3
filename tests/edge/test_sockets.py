"""HTTP calls through complete gateways on loopback, with lmdb on disk and a stand-in for the backend."""

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
Responder = Callable[[bytes, dict[bytes, bytes]], bytes | None]


def free_ports() -> list[int]:
    """Four ports that are free on 127.0.0.1; every gateway uses them on an address of its own."""
    sockets = [socket.socket() for _ in range(4)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def local_settings(number: int, ports: list[int], folder: Path | None, core: bool) -> Local:
    """Settings of gateway `number`; without a folder it has no data directory."""
    ip = f"127.0.0.{number}"
    settings: Local = {
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
        settings["data_directory"] = str(folder)
    return settings


async def call(host: str, port: int, head: str, body: Any = None) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on a new connection; returns the status, headers and body of the answer.

    `head` is the request line, and any further headers, without the last line break.
    """
    reader, writer = await asyncio.open_connection(host, port)
    data = b"" if body is None else json.dumps(body).encode()
    request = f"{head}\r\nHost: a.example\r\nConnection: close\r\nContent-Length: {len(data)}\r\n\r\n"
    writer.write(request.encode() + data)
    answer_head, _, answer_body = (await asyncio.wait_for(reader.read(), 5.0)).partition(b"\r\n\r\n")
    writer.close()
    status_line, *lines = answer_head.decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
    return int(status_line.split(" ")[1]), headers, answer_body


class Backend:
    """A stand-in that answers by a function of path and headers; None aborts the connection."""

    def __init__(self, respond: Responder) -> None:
        self.respond = respond
        self.received: list[dict[bytes, bytes]] = []
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def process(self, path: bytes) -> None:
        """Runs before each answer; subclasses may wait here."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            request_line, *lines = head.strip().split(b"\r\n")
            headers = {n.lower(): v for n, _, v in (line.partition(b": ") for line in lines)}
            await reader.readexactly(int(headers.get(b"content-length", b"0")))
            self.received.append(headers)
            path = request_line.split(b" ")[1]
            await self.process(path)
            answer = self.respond(path, headers)
            if answer is None:
                return writer.transport.abort()
            writer.write(answer)


def answer(
    headers: dict[bytes, bytes],
    status: bytes = b"200 OK",
    extra_headers: bytes = SEAL,
    body: bytes = b"whole",
) -> bytes:
    """A backend's answer to the attempt that the request's headers name."""
    return b"HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        headers[b"x-attempt-id"],
        extra_headers,
        len(body),
        body,
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Polls until the condition holds; fails after 10 s."""
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


async def put_until_known(port: int, document: Any) -> tuple[int, dict[str, str], bytes]:
    """Sends a configuration as an operator does: one of which the outcome is not known is sent again.

    If the event loop, which all gateways share, stalls for the 0.9 s in which a forwarded change has to be
    answered, the gateway answers 500: the change may be in force. The same change sent again is acknowledged.
    """
    async with asyncio.timeout(10.0):
        while True:
            answered = await call("127.0.0.4", port, "PUT /api/configuration HTTP/1.1", document)
            if answered[0] != 500 or b"may have been carried out" not in answered[2]:
                return answered


async def with_gateways(
    folder: Path,
    respond: Responder,
    scenario: Callable[..., Awaitable[None]],
    backend_class: type[Backend] = Backend,
) -> None:
    """Runs a scenario on three gateways with disks and one without, with a configuration and a backend."""
    ports, stores, processes = free_ports(), [], []
    for number in (1, 2, 3, 4):
        directory = folder / f"n{number}" if number < 4 else None
        store = Store(directory, 16) if directory is not None else None
        settings = local_settings(number, ports, directory, number < 4)
        vote = first_vote(settings)
        stored = store.begin(lambda number=number: f"s{number}", vote) if store is not None else None  # type: ignore[misc]
        processes.append(GatewayProcess(settings, store, stored.ok if stored is not None else Stored("x")))
        stores.append(store)
    try:
        for process in processes:
            await process.start()
        backend = backend_class(respond)
        await backend.start()
        await wait_until(lambda: sum(process.node.agreement.votes for process in processes) == 3)
        control = ports[2]
        route = change(1, 0, routes=2)
        route["routes"]["r1"]["kind"] = "non_idempotent"
        status, _, body = await put_until_known(control, route)
        assert status == 200, body
        heartbeat = {
            "service": "s",
            "address": backend.address,
            "zone": "a",
            "capacity_slots": 4,
            "state": "ready",
            "call_sequence": 1,
            "warmup_remaining_s": 0,
        }
        status, _, body = await call("127.0.0.4", control, "PUT /api/instances/i-1 HTTP/1.1", heartbeat)
        assert status == 200 and json.loads(body)["heartbeat_address"].endswith(f":{control}")
        await wait_until(lambda: all(process.is_ready() for process in processes))
        await scenario(ports, backend, processes)
    finally:
        for process in processes:
            process.front.close()
            process.ready.close()
            process.control.close()
            process.links.close()
            if process.ticker is not None:
                process.ticker.cancel()
        for store in stores:
            if store is not None:
                store.close()


def run_scenario(
    folder: Path,
    respond: Responder,
    scenario: Callable[..., Awaitable[None]],
    backend_class: type[Backend] = Backend,
) -> None:
    """Runs `with_gateways` in an event loop of its own."""
    asyncio.run(with_gateways(folder, respond, scenario, backend_class))


def request_head(number: int, path: str = "/p0/x", key: str = "k", method: str = "GET") -> str:
    """The head of a client's request, with a forged tenant name that the gateway has to replace."""
    return (
        f"{method} {path} HTTP/1.1\r\nX-Attempt-Id: a{number}\r\nX-Deadline-Remaining-Ms: 1500\r\n"
        f"X-Key: {key}\r\nX-Tenant-Name: forged"
    )


def test_a_request_reaches_the_backend_and_its_answer_the_client(tmp_path: Path) -> None:
    async def scenario(ports: list[int], backend: Backend, processes: list[GatewayProcess]) -> None:
        assert (await call("127.0.0.4", ports[1], "GET /api/readiness HTTP/1.1"))[0] == 200
        status, headers, body = await call("127.0.0.4", ports[0], request_head(1))
        assert (status, headers["x-backend-seal"], body) == (200, "s1", b"whole")
        received = backend.received[-1]
        assert received[b"x-tenant-name"] == b"t" and b"x-key" not in received
        assert (
            received[b"x-expected-instance"] == b"i-1"
            and 0 < int(received[b"x-deadline-remaining-ms"]) <= 1500
        )
        assert (await call("127.0.0.4", ports[0], request_head(2, key="nobody")))[0] == 401
        assert (await call("127.0.0.4", ports[0], request_head(3, path="/none/")))[0] == 404
        read = await call("127.0.0.2", ports[2], "GET /api/configuration HTTP/1.1")
        assert read[0] == 200 and json.loads(read[2])["version"] == "00000001"
        assert (await call("127.0.0.2", ports[2], "POST /api/configuration HTTP/1.1"))[0] == 405
        assert (await call("127.0.0.2", ports[2], "PUT /api/configuration HTTP/1.1", [1]))[0] == 400
        deregistered = await call("127.0.0.2", ports[2], "DELETE /api/instances/i-1 HTTP/1.1")
        assert deregistered[0] == 200 and not any(process.driver.serving for process in processes)
        refused = await call("127.0.0.4", ports[0], request_head(4))
        assert refused[0] == 503 and float(refused[1]["retry-after"]) > 0

    run_scenario(tmp_path, lambda path, headers: answer(headers), scenario)


@pytest.mark.parametrize("fault", ["foreign", "unsealed", "surplus", "broken", "garbled", "declined"])
def test_an_invalid_backend_answer_never_reaches_a_client_as_a_success(tmp_path: Path, fault: str) -> None:
    def respond(path: bytes, headers: dict[bytes, bytes]) -> bytes | None:
        if fault == "foreign":
            return answer({b"x-attempt-id": b"another"})
        if fault == "unsealed":
            return answer(headers, extra_headers=b"")
        if fault == "surplus":
            return answer(headers) + answer({b"x-attempt-id": b"late"}, body=b"late!")
        if fault == "declined":
            return answer(headers, b"503 Service Unavailable", b"X-Request-Not-Executed: 1\r\n")
        return None if fault == "broken" else b"\x00\x01 no answer at all\r\n\r\n"

    async def scenario(ports: list[int], backend: Backend, processes: list[GatewayProcess]) -> None:
        for number in range(3):
            status, headers, body = await call(
                "127.0.0.4", ports[0], request_head(number, "/p1/x", method="POST")
            )
            if fault == "surplus":
                assert (status, body) == (200, b"whole")
            else:  # only a declined request may be reported as not executed
                assert status == (503 if fault == "declined" else 502)
        if fault != "surplus" and fault != "declined":
            assert len(backend.received) == 3  # each request runs at most once

    run_scenario(tmp_path, respond, scenario)


@pytest.mark.parametrize("kind", ["late", "unsealed", "nameless", "own"])
def test_a_long_answer_is_passed_on_only_if_it_is_the_requests_own(tmp_path: Path, kind: str) -> None:
    """An answer over 64 KiB is streamed, so its head alone has to show which request it belongs to."""
    long_body = b"x" * 200_000

    def respond(path: bytes, headers: dict[bytes, bytes]) -> bytes | None:
        if kind == "late":
            return answer({b"x-attempt-id": b"another"}, body=long_body) + answer(headers)
        if kind == "nameless":
            return answer(headers, body=long_body).replace(b"X-Attempt-Id", b"X-Other-Name")
        return answer(headers, body=long_body, extra_headers=SEAL if kind == "own" else b"")

    async def scenario(ports: list[int], backend: Backend, processes: list[GatewayProcess]) -> None:
        status, _, body = await call("127.0.0.4", ports[0], request_head(1, "/p1/x", method="POST"))
        expected = {"late": (200, b"whole"), "own": (200, long_body)}
        if kind in expected:
            assert (status, body) == expected[kind]
        else:
            assert status == 502 and long_body not in body
        assert len(backend.received) == 1

    run_scenario(tmp_path, respond, scenario)


def test_a_backends_own_error_reaches_the_client_unchanged(tmp_path: Path) -> None:
    async def scenario(ports: list[int], backend: Backend, processes: list[GatewayProcess]) -> None:
        status, headers, body = await call("127.0.0.4", ports[0], request_head(1, "/p1/x", method="POST"))
        assert (status, body, headers["x-backend-seal"]) == (500, b"whole", "s1")

    run_scenario(tmp_path, lambda path, headers: answer(headers, b"500 Internal Server Error"), scenario)


def test_the_openapi_document_names_every_operation() -> None:
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


def test_the_status_command_prints_the_fields_of_the_openapi_schema(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario(ports: list[int], backend: Backend, processes: list[GatewayProcess]) -> None:
        address = f"127.0.0.4:{ports[2]}"
        status = await asyncio.to_thread(main, ["status", address])
        printed = json.loads(capsys.readouterr().out)
        schema = json.loads(OPENAPI_PATH.read_text())["components"]["schemas"]["Status"]
        assert status == 0 and set(printed) == set(schema["required"]) == set(schema["properties"])
        assert printed["members"] == {"n1": True, "n2": True, "n3": True} and printed["epoch"] == 1
        assert printed["version"] == "00000001" and printed["backends"] == {"s": {"ready": 1}}
        assert (
            printed["gateways"] == 4
            and printed["keeper"] == "n1"
            and not printed["core"]
            and not printed["behind"]
        )

    run_scenario(tmp_path, lambda path, headers: answer(headers), scenario)
    assert main(["status", "127.0.0.4:1"]) == 1 and "127.0.0.4:1" in capsys.readouterr().err


def test_a_lapsed_tenant_is_turned_away_at_any_gateway_until_it_is_restored(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario(ports: list[int], backend: Backend, processes: list[GatewayProcess]) -> None:
        async def command(*arguments: str) -> tuple[int, Any]:
            status = await asyncio.to_thread(
                main, ["lapse", arguments[0], f"127.0.0.4:{ports[2]}", *arguments[1:]]
            )
            result = capsys.readouterr()
            return status, json.loads(result.out) if status == 0 else result.err

        assert (await command("pause", "t", "--by", "me"))[1].endswith("404: no order for tenant 't'\n")
        status, result = await command("start", "t", "--by", "me", "--ladder", "0.5:0.1,0")
        assert status == 0 and result["number"] == 1
        await wait_until(
            lambda: all(s.node.table is not None and s.node.table.stopped("t") for s in processes)
        )
        for number in (1, 2, 3, 4):
            status, headers, _ = await call(f"127.0.0.{number}", ports[0], request_head(number))
            assert status == 429 and float(headers["retry-after"]) >= 15.0
        assert not backend.received
        listed = (await command("list"))[1]
        assert listed["orders"]["t"]["step"] == 1 and listed["holder"] in ("n1", "n2", "n3")
        report = (await command("report", "t"))[1]
        assert report["whole"]["step 1"]["tenant"]["refused"] == 4 and len(report["gateways"]) == 4
        assert (await command("restore", "t", "--by", "me"))[0] == 0
        assert (await call("127.0.0.4", ports[0], request_head(9)))[0] == 200

    run_scenario(tmp_path, lambda path, headers: answer(headers), scenario)


def test_an_event_is_logged_as_one_line_of_name_value_pairs() -> None:
    logged = line({"message_type": "disk", "level": "warning", "text": "no space\nleft", "task_uuid": "x"})
    assert logged == 'event=disk level=warning text="no space\\nleft"'
