"""Discovery: the whole list once, then one watch after the other, over one connection."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

from embersill.interface import Backend, ListKind, Status
from embersill.pacing import Pace
from embersill.settings import STATUSES

WATCH_MS = 4000  # a watch's wait: a silent agent is noticed soon after it
MOST_LIST = 4 * 1024 * 1024  # bytes: a fleet of thousands fits

log = logging.getLogger("embersill")


class BadList(Exception):
    """A list that the protocol does not allow, or no list at all."""


class TurnedAway(BadList):
    """Discovery has too much to do to answer now."""


@dataclass(frozen=True, slots=True)
class Entry:
    backend: Backend
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Listing:
    kind: ListKind
    generation: int
    entries: tuple[Entry, ...]

    @property
    def whole(self) -> bool:
        return self.kind is not ListKind.CHANGES


def read_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def read_entry(entry: dict[str, Any]) -> Entry:
    started = float(entry.get("startedAtMs") or 0.0) / 1000.0
    status = STATUSES[entry["lifecycle"]]
    backend = Backend(
        address=str(entry["instanceId"]),
        zone=str(entry.get("zone", "")),
        kind=str(entry.get("machineType", "")),
        cell=int(entry.get("cell", 0)),
        status=status,
        rating=float(entry.get("weight", 1.0)),
        started=started or None,
    )
    if not (math.isfinite(started) and math.isfinite(backend.rating) and backend.rating >= 0):
        raise ValueError("a start or a weight that is no number")  # JSON's readers take NaN and 1e999
    host_port = entry.get("hostPort")
    gone = status is Status.GONE and not host_port  # nothing is dialled there any more
    return Entry(backend, ("", 0) if gone else read_address(str(host_port)))


def read_listing(loaded: Any, kind: ListKind | None = None) -> Listing:
    """A list in discovery's form; BadList says what is wrong with it."""
    try:
        entries = tuple(read_entry(e) for e in loaded["instances"])
        told = kind or (ListKind.WHOLE if loaded["reset"] else ListKind.CHANGES)
        return Listing(told, int(loaded["generation"]), entries)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadList(f"{type(error).__name__}: {error}") from error


class DiscoveryConnection(asyncio.Protocol):
    """One connection to the agent; a call's answer, or its end, resolves the call's future."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[bytes] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.keep = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases

    def ask(self, target: str, host: str) -> asyncio.Future[bytes]:
        assert self.transport is not None
        self.body.clear()
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return self.answer

    def fail(self, why: str) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(BadList(why))
        if self.transport is not None:
            self.transport.abort()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.answer is None or self.answer.done():
            return
        self.keep = self.parser.should_keep_alive()  # the parser knows only while in this call
        status = self.parser.get_status_code()
        if status == 200:
            self.answer.set_result(bytes(self.body))
        else:
            self.answer.set_exception((TurnedAway if status == 503 else BadList)(f"status {status}"))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(str(error))
        if len(self.body) > MOST_LIST:
            self.fail("an oversized list")

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail("the connection ended")


class Agent:
    """Follows the list at one address until it is stopped, and tells every answer in order."""

    def __init__(
        self,
        address: tuple[str, int],
        dial_timeout: float,
        told: Callable[[Agent, Listing], None],
        pace: Pace,
        generation: int | None = None,
    ) -> None:
        """`generation`: of a list that the gateway has already, where asking for it again costs others."""
        self.address, self.dial_timeout, self.told, self.pace = address, dial_timeout, told, pace
        self.host = f"{address[0]}:{address[1]}"
        self.connection: DiscoveryConnection | None = None
        self.generation = generation
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        await asyncio.sleep(self.pace.first())
        while True:
            try:
                listing = await self.call()
            except (OSError, TimeoutError, BadList, ValueError) as error:
                self.drop()
                # the whole list is answered at once, a watch with the next change; but a service that has too
                # much to do is asked for no more than what is missing
                if self.pace.pushed or not isinstance(error, TurnedAway | TimeoutError):
                    self.generation = None
                await asyncio.sleep(self.pace.failed())
                continue
            self.pace.answered()
            self.generation = listing.generation
            try:
                self.told(self, listing)
            except Exception:  # one list that goes wrong must not end the following of all later ones
                log.exception("a list from discovery went wrong")

    async def call(self) -> Listing:
        if self.generation is None:
            target, within = "/v1/endpoints", self.pace.at_once
        else:
            target = f"/v1/endpoints?since={self.generation}&timeout_ms={WATCH_MS}"
            within = WATCH_MS / 1000.0 + self.pace.patience
        connection = self.connection or await self.connect()
        async with asyncio.timeout(within):
            body = await connection.ask(target, self.host)
        if not connection.keep:
            self.drop()
        return read_listing(json.loads(body))

    async def connect(self) -> DiscoveryConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self.dial_timeout):
            _, self.connection = await loop.create_connection(DiscoveryConnection, *self.address)
        return self.connection

    def drop(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def stop(self) -> None:
        self.task.cancel()
        self.drop()


class Discovery:
    """The list as told by one agent after another: an old one serves until the new one has told it whole."""

    def __init__(
        self,
        address: tuple[str, int],
        dial_timeout: float,
        told: Callable[[Listing], None],
        pace: Pace | None = None,
        known: int | None = None,
    ) -> None:
        """`known`: the generation of the remembered list. It is asked from where each call costs others."""
        self.address, self.dial_timeout, self.told = address, dial_timeout, told
        self.pace = pace or Pace()
        self.known = None if self.pace.pushed else known
        self.heard = asyncio.Event()  # set once discovery has answered at all
        self.agents: list[Agent] = []  # the one that is believed, and behind it the one that is to follow it

    def start(self) -> None:
        known = None if self.agents else self.known  # another service may number its lists otherwise
        self.agents.append(Agent(self.address, self.dial_timeout, self.agent_told, self.pace, known))

    def move(self, address: tuple[str, int]) -> None:
        self.address = address
        for overtaken in self.agents[1:]:
            overtaken.stop()
        del self.agents[1:]
        if not self.agents or self.agents[0].address != address:
            self.start()

    def agent_told(self, agent: Agent, listing: Listing) -> None:
        for old in self.agents[: self.agents.index(agent)]:
            old.stop()  # what it would still tell is older
            self.agents.remove(old)
        self.heard.set()
        self.told(listing)

    def stop(self) -> None:
        for agent in self.agents:
            agent.stop()
