"""Discovery client: reads the whole backend list once, then long-polls for changes over one connection."""

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
from embersill.pacing import DiscoveryPacing
from embersill.settings import STATUSES

WATCH_MS = 4000  # how long a watch waits for a change; a silent agent is noticed soon after it
MAX_LIST_BYTES = 4 * 1024 * 1024  # room for a fleet of thousands

log = logging.getLogger("embersill")


class BadList(Exception):
    """A response that is no valid backend list, or no response at all."""


class DiscoveryOverloaded(BadList):
    """Discovery is overloaded and has rejected the call (503)."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A backend and the address that it listens on."""

    backend: Backend
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Listing:
    """A whole list or the changes since an earlier one."""

    kind: ListKind
    generation: int
    entries: tuple[Entry, ...]

    @property
    def whole(self) -> bool:
        """True if backends that are not listed are gone."""
        return self.kind is not ListKind.CHANGES


def read_address(text: str) -> tuple[str, int]:
    """Splits HOST:PORT; an IPv6 host may stand in brackets."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def read_entry(entry: dict[str, Any]) -> Entry:
    """Reads one instance of a list in discovery's JSON form."""
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
        raise ValueError("startedAtMs or weight is out of range")  # JSON parsers accept NaN and 1e999
    host_port = entry.get("hostPort")
    gone = status is Status.GONE and not host_port  # nothing is dialled there any more
    return Entry(backend, ("", 0) if gone else read_address(str(host_port)))


def read_listing(loaded: Any, kind: ListKind | None = None) -> Listing:
    """Reads a list in discovery's JSON form; raises BadList if it is invalid."""
    try:
        entries = tuple(read_entry(e) for e in loaded["instances"])
        list_kind = kind or (ListKind.WHOLE if loaded["reset"] else ListKind.CHANGES)
        return Listing(list_kind, int(loaded["generation"]), entries)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadList(f"{type(error).__name__}: {error}") from error


class DiscoveryConnection(asyncio.Protocol):
    """One HTTP connection to the agent; the response, or the connection's end, resolves the call's future."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[bytes] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.keep = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Transport callback."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases

    def ask(self, target: str, host: str) -> asyncio.Future[bytes]:
        """Sends a GET request; the future yields the response's body."""
        assert self.transport is not None
        self.body.clear()
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return self.answer

    def fail(self, why: str) -> None:
        """Fails the call in progress and closes the connection."""
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(BadList(why))
        if self.transport is not None:
            self.transport.abort()

    def on_body(self, body: bytes) -> None:
        """Parser callback."""
        self.body += body

    def on_message_complete(self) -> None:
        """Parser callback: resolves the call's future."""
        if self.answer is None or self.answer.done():
            return
        self.keep = self.parser.should_keep_alive()  # the parser can only tell during this callback
        status = self.parser.get_status_code()
        if status == 200:
            self.answer.set_result(bytes(self.body))
        else:
            self.answer.set_exception((DiscoveryOverloaded if status == 503 else BadList)(f"status {status}"))

    def data_received(self, data: bytes) -> None:
        """Transport callback: feeds the parser."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(str(error))
        if len(self.body) > MAX_LIST_BYTES:
            self.fail("the list is too long")

    def connection_lost(self, exc: Exception | None) -> None:
        """Transport callback: fails the call in progress."""
        self.fail("the connection closed before the response was complete")


class ListWatcher:
    """Watches the list at one address until it is stopped, and passes on every response in order."""

    def __init__(
        self,
        address: tuple[str, int],
        dial_timeout: float,
        on_listing: Callable[[ListWatcher, Listing], None],
        pace: DiscoveryPacing,
        generation: int | None = None,
    ) -> None:
        """Starts watching.

        `generation` is that of a list that the gateway already has; it is given where fetching the whole
        list again would load a shared service.
        """
        self.address, self.dial_timeout, self.on_listing, self.pace = address, dial_timeout, on_listing, pace
        self.host = f"{address[0]}:{address[1]}"
        self.connection: DiscoveryConnection | None = None
        self.generation = generation
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Calls discovery until the task is cancelled."""
        await asyncio.sleep(self.pace.first())
        while True:
            try:
                listing = await self.call()
            except (OSError, TimeoutError, BadList, ValueError) as error:
                self.drop()
                # A call for the whole list is answered at once, a watch only with the next change.
                # However, an overloaded shared service is asked only for the missing changes.
                if self.pace.pushed or not isinstance(error, DiscoveryOverloaded | TimeoutError):
                    self.generation = None
                await asyncio.sleep(self.pace.failed())
                continue
            self.pace.answered()
            self.generation = listing.generation
            try:
                self.on_listing(self, listing)
            except Exception:  # a failure on one list must not stop the watch
                log.exception("a list from discovery could not be applied")

    async def call(self) -> Listing:
        """Fetches the whole list, or waits for changes since the last known generation."""
        if self.generation is None:
            target, timeout_s = "/v1/endpoints", self.pace.list_timeout
        else:
            target = f"/v1/endpoints?since={self.generation}&timeout_ms={WATCH_MS}"
            timeout_s = WATCH_MS / 1000.0 + self.pace.answer_timeout
        connection = self.connection or await self.connect()
        async with asyncio.timeout(timeout_s):
            body = await connection.ask(target, self.host)
        if not connection.keep:
            self.drop()
        return read_listing(json.loads(body))

    async def connect(self) -> DiscoveryConnection:
        """Opens a new connection and keeps it for later calls."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self.dial_timeout):
            _, self.connection = await loop.create_connection(DiscoveryConnection, *self.address)
        return self.connection

    def drop(self) -> None:
        """Closes the connection; the next call opens a new one."""
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def stop(self) -> None:
        """Stops watching."""
        self.task.cancel()
        self.drop()


class Discovery:
    """Follows the backend list across agents: the old agent is used until a new one has sent a list."""

    def __init__(
        self,
        address: tuple[str, int],
        dial_timeout: float,
        on_listing: Callable[[Listing], None],
        pace: DiscoveryPacing | None = None,
        known: int | None = None,
    ) -> None:
        """`known` is the generation of the remembered list.

        Watching continues from it where the discovery service is shared and a whole list would load it.
        """
        self.address, self.dial_timeout, self.on_listing = address, dial_timeout, on_listing
        self.pace = pace or DiscoveryPacing()
        self.known = None if self.pace.pushed else known
        self.answered = asyncio.Event()  # set once discovery has answered for the first time
        self.watchers: list[ListWatcher] = []  # the current one, followed by its replacement

    def start(self) -> None:
        """Starts to watch the list at the current address."""
        known = None if self.watchers else self.known  # another service numbers its lists differently
        self.watchers.append(
            ListWatcher(self.address, self.dial_timeout, self.watcher_answered, self.pace, known)
        )

    def move(self, address: tuple[str, int]) -> None:
        """Switches to another address, once the agent there has answered."""
        self.address = address
        for replaced in self.watchers[1:]:
            replaced.stop()
        del self.watchers[1:]
        if not self.watchers or self.watchers[0].address != address:
            self.start()

    def watcher_answered(self, watcher: ListWatcher, listing: Listing) -> None:
        """Passes on a watcher's list and stops the watchers before it."""
        for old in self.watchers[: self.watchers.index(watcher)]:
            old.stop()  # its lists are older
            self.watchers.remove(old)
        self.answered.set()
        self.on_listing(listing)

    def stop(self) -> None:
        """Stops all watching."""
        for watcher in self.watchers:
            watcher.stop()
