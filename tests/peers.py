"""Scripted peers on loopback for the gateway's tests: backends, discovery and the counter."""

from __future__ import annotations

import asyncio
import json
import pathlib
import re
from collections.abc import Awaitable, Callable
from typing import Any

HOST = "127.0.0.1"
SOON = 10.0  # seconds for which tests wait for an event that comes much sooner in a passing run
Asked = tuple[str, dict[str, str], bytes]  # a request: first line, headers in lower case, body
Step = Callable[[asyncio.StreamWriter, Asked], Awaitable[None] | None]


class Peer:
    """A server on an ephemeral port that passes each connection to `serve`."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""
        self.connections = 0
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.connected, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the gateway closed it, or the test is over
        finally:
            self.open.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> Asked:
    """Reads an HTTP message: its first line, headers in lower case, and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip().split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def message(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def serve(writer: asyncio.StreamWriter, asked: Asked) -> None:
    writer.write(message(200, b"served " + asked[1]["x-call-id"].encode(), "Billed-Units: 2"))


def serve_after(free: asyncio.Event) -> Step:
    """A step that answers the request once the event is set."""

    async def step(writer: asyncio.StreamWriter, asked: Asked) -> None:
        await free.wait()
        serve(writer, asked)

    return step


class BackendPeer(Peer):
    """A backend that answers requests by the steps of `script`, and after these with the request's id."""

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[Asked] = []
        self.script: list[Step] = []
        self.arrived = asyncio.Condition()
        self.ended = 0  # connections that the gateway closed

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                asked = await read_message(reader)
            except asyncio.IncompleteReadError:
                async with self.arrived:
                    self.ended += 1
                    self.arrived.notify_all()
                return
            async with self.arrived:
                self.seen.append(asked)
                self.arrived.notify_all()
            if self.script:
                step = self.script.pop(0)(writer, asked)
                if step is not None:
                    await step
            else:
                serve(writer, asked)

    async def until(self, done: Callable[[], bool]) -> None:
        async with asyncio.timeout(SOON), self.arrived:
            await self.arrived.wait_for(done)


class DiscoveryPeer(Peer):
    """A discovery service that sends the whole list, and answers a watch once `change` is called."""

    def __init__(self) -> None:
        super().__init__()
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Condition()
        self.changes: list[dict[str, Any]] = []
        self.asked: list[str] = []
        self.deaf = 0  # how many further calls are never answered, as if the agent were down

    def entry(self, name: str, address: str, state: str = "SERVING", started: float = 0) -> dict[str, Any]:
        return {
            "instanceId": name,
            "hostPort": address,
            "zone": "z",
            "machineType": "k",
            "cell": 0,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": started,
        }

    def listing(self, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        return json.dumps({"generation": self.generation, "reset": whole, "instances": entries}).encode()

    async def change(self, *entries: dict[str, Any]) -> None:
        async with self.changed:
            self.generation += 1
            self.changes = list(entries)
            self.entries.update({e["instanceId"]: e for e in entries})
            self.changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            self.asked.append(first)
            since = re.search(r"since=(\d+)", first)
            async with self.changed:
                self.changed.notify_all()
                if self.deaf:
                    self.deaf -= 1
                    continue
                if since is None:
                    body = self.listing(True, list(self.entries.values()))
                else:
                    while self.generation <= int(since[1]):
                        await self.changed.wait()
                    body = self.listing(False, self.changes)
            writer.write(message(200, body))

    async def until_asked(self, times: int) -> None:
        async with asyncio.timeout(SOON), self.changed:
            await self.changed.wait_for(lambda: len(self.asked) >= times)


class CounterPeer(Peer):
    """A counter service; it answers while `free` is set, with the replies in `say` first."""

    def __init__(self) -> None:
        super().__init__()
        self.sums: dict[str, float] = {}
        self.calls: list[tuple[str, float]] = []
        self.say: list[bytes] = []
        self.free = asyncio.Event()
        self.free.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            words = []
            for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                words.append((await reader.readexactly(size + 2))[:-2].decode())
            name, amount = words[1], float(words[2])
            self.calls.append((name, amount))
            self.sums[name] = self.sums.get(name, 0.0) + amount
            total = f"{self.sums[name]:.7g}"
            await self.free.wait()
            writer.write(self.say.pop(0) if self.say else f"${len(total)}\r\n{total}\r\n".encode())


def settings_text(**limits: Any) -> dict[str, Any]:
    """The settings object of tests/batch.txt, which the adapter's tests use too."""
    text = (pathlib.Path(__file__).parent / "batch.txt").read_text()
    line = next(x for x in text.splitlines() if x.startswith("up\t"))
    loaded: dict[str, Any] = json.loads(line.split("\t", 2)[2])
    loaded["limits"].update(limits)
    return loaded
