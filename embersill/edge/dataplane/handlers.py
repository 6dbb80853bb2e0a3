"""What becomes of requests at a gateway's listeners: clients', the platform's probe, calls of control."""

from __future__ import annotations

import json
import random
import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path
from typing import Any
from urllib.parse import unquote

import msgspec

from embersill.edge.dataplane.dialect import OWN
from embersill.edge.dataplane.metrics import CONTENT_TYPE, Metrics
from embersill.edge.configuration.routes import PUBLIC, Table, Way
from embersill.edge.verdict import Verdict
from embersill.net.calls import BadRequest
from embersill.net.clients import ClientConnection, Exchange
from embersill.net.driver import Call, Driver

LEFT = re.compile(rb"\d{1,9}(\.\d{1,9})?")
NOT_PASSED = OWN | {
    b"x-key",
    b"x-tenant-name",
    b"x-deadline-remaining-ms",
    b"x-expected-instance",
    b"x-attempt-id",
    b"host",
    b"expect",
}
SOON = b"Retry-After: 0.2\r\n"  # until a gateway that has just started knows more
JSON = b"Content-Type: application/json\r\n"
REPEAT_BELOW = 0.985  # of the longest time left that a first try has, less what its way takes
FADES = 0.9995  # times, by each request, that the longest is remembered
MOST_EARLY = 1000  # requests that wait for the first configuration
EARLY_FOR = 0.5  # seconds that one does at most: by then a gateway that can be told it has been told
EARLY_PART = 0.4  # and of the time that its client has left: the rest must do for a backend
STOPPED_FOR = 15.0, 30.0  # seconds that callers of a tenant that is squeezed to nought are told to wait
MOST_LEFT = 3600.0  # seconds that a client may say it waits
INTERFACE = Path(__file__).parent.with_name("openapi.json")


@dataclass(frozen=True, slots=True)
class Arrived:
    """A request as its connection read it; the connection may read another meanwhile."""

    target: bytes
    headers: dict[bytes, bytes]
    body: list[bytes]
    body_size: int
    received: float


def left_of(headers: dict[bytes, bytes]) -> bytes:
    """Milliseconds that the client waits from when its request was received, as it words them."""
    return headers.get(b"x-deadline-remaining-ms", b"").strip()


@dataclass(frozen=True, slots=True)
class Early:
    """A request that came before there was a configuration, and until when it may wait for one."""

    arrived: Arrived
    exchange: Exchange
    method: bytes
    until: float


class ClientHandler:
    """Turns clients' requests into calls: their route, whose key they carry, how long they may take."""

    def __init__(self, driver: Callable[[], Driver], chance: random.Random) -> None:
        self.driver, self.chance = driver, chance
        self.table: Table | None = None
        self.early: list[Early] = []
        self.on_stopped: Callable[[str], None] = lambda tenant: None  # one of its requests is turned away
        # True while the process is behind: a client may have left between its request and now
        self.is_behind: Callable[[], bool] = lambda: False
        # calls something once the sockets have been looked at again, so that a client's leave is known
        self.after_next_look: Callable[[Callable[[], None]], None] = lambda call: call()
        self.longest: dict[str, float] = {}  # by route, the most time that clients come with

    def is_repeat(self, way: Way, left: float) -> bool:
        """One that comes with less time than others on its route was here before, or at another gateway."""
        longest = self.longest.get(way.name, 0.0)
        self.longest[way.name] = max(longest * FADES, left)
        return left < REPEAT_BELOW * longest

    def take(self, connection: ClientConnection, exchange: Exchange, method: bytes) -> None:
        """Takes a client's request whose head is read; BadRequest for one that is turned away."""
        if self.table is not None and not self.is_behind():
            return self.place(self.table, connection, exchange, method)
        arrived = Arrived(
            connection.target, connection.headers, connection.body, connection.body_size, connection.received
        )
        if self.table is not None:
            return self.after_next_look(lambda: self.place_late(arrived, exchange, method))
        # a gateway that has just started: where clients come again only once, a 503 would lose them
        if len(self.early) >= MOST_EARLY:
            raise BadRequest(503, "no configuration yet", SOON)
        told = left_of(arrived.headers)
        left = float(told) / 1000.0 if LEFT.fullmatch(told) else EARLY_FOR
        until = arrived.received + min(EARLY_FOR, EARLY_PART * left)
        self.early.append(Early(arrived, exchange, method, until))
        return None

    def place_late(self, arrived: Arrived, exchange: Exchange, method: bytes) -> None:
        """Places a request that was read by a process that is behind, unless its client has left by now."""
        if exchange.connection.left or self.table is None:
            return
        try:
            self.place(self.table, arrived, exchange, method)
        except BadRequest as error:
            exchange.connection.refuse(exchange, error)

    def begin(self, table: Table) -> None:
        """This configuration holds from now on, also for requests that came before there was any."""
        self.table = table
        early, self.early = self.early, []
        for one in early:
            if one.exchange.connection.left:
                continue  # its client has gone
            try:
                self.place(table, one.arrived, one.exchange, one.method)
            except BadRequest as error:
                one.exchange.answer(error.status, f"{error}\n".encode(), error.headers)

    def give_up(self, now: float) -> None:
        """Turns away those that have waited for a configuration as long as they may."""
        late = [one for one in self.early if now >= one.until]
        if late:
            self.early = [one for one in self.early if now < one.until]
            for one in late:
                one.exchange.answer(503, b"no configuration yet\n", SOON)

    def place(
        self, table: Table, arrived: Arrived | ClientConnection, exchange: Exchange, method: bytes
    ) -> None:
        """Finds where a request goes and whose it is, and hands it to the decisions."""
        driver, headers = self.driver(), arrived.headers
        path = arrived.target.partition(b"?")[0].decode("latin-1")
        way = table.find(headers.get(b"host", b"").decode("latin-1"), path)
        if way is None:
            raise BadRequest(404, "no such route")
        tenant = self.tenant(table, way, headers)
        if table.stopped(tenant):
            self.on_stopped(tenant)
            return exchange.answer(429, b"", b"Retry-After: %.1f\r\n" % self.chance.uniform(*STOPPED_FOR))
        left = left_of(headers)
        budget = min(float(left) / 1000.0, MOST_LEFT) if LEFT.fullmatch(left) else way.timeout
        call_id = headers.get(b"x-attempt-id", b"")
        if call_id and driver.is_open(call_id):
            raise BadRequest(409, "a request with this X-Attempt-Id is open")
        repeat = bool(left) and self.is_repeat(way, budget)
        body, rest = arrived.body, None
        if arrived.body_size > 65536:
            body, rest = [], arrived.body
        head = self.head(method, arrived.target, headers, arrived.body_size, call_id, tenant)
        exchange.number = driver.take(
            Call(
                call_id,
                arrived.received,
                min(budget, way.timeout),
                way.name,
                tenant,
                tenant,
                1.0,
                0,
                -1,
                repeat,
                head,
                b"".join(body),
                way.service(self.chance.random()),
                rest,
            ),
            exchange,
        )

    def tenant(self, table: Table, way: Way, headers: dict[bytes, bytes]) -> str:
        """Whose key the request carries; the public plan's name where it needs none."""
        if way.public or not table.keyed:
            return PUBLIC
        found = table.keys.get(headers.get(b"x-key", b"").decode("latin-1"))
        if found is None:
            raise BadRequest(401, "no key of a tenant")
        return found

    def head(
        self,
        method: bytes,
        target: bytes,
        headers: dict[bytes, bytes],
        size: int,
        call_id: bytes,
        tenant: str,
    ) -> bytes:
        """What goes on to a backend; the time left and the instance are added as it is sent."""
        parts = [b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (method, target, headers.get(b"host", b""))]
        named = headers.get(b"connection")
        dropped = frozenset(n.strip().lower() for n in named.split(b",")) if named else frozenset()
        for name, value in headers.items():
            if name not in NOT_PASSED and name not in dropped:
                parts.append(b"%b: %b\r\n" % (name, value))
        if call_id:
            parts.append(b"X-Attempt-Id: %b\r\n" % call_id)
        if tenant:
            parts.append(b"X-Tenant-Name: %b\r\n" % tenant.encode())
        if size or method in (b"POST", b"PUT", b"PATCH"):
            parts.append(b"Content-Length: %d\r\n" % size)
        return b"".join(parts)


class ReadinessHandler:
    """The platform asks whether new clients may come here, and how the gateway fares."""

    def __init__(self, is_ready: Callable[[], bool], metrics: Metrics) -> None:
        self.is_ready, self.metrics = is_ready, metrics

    def take(self, connection: ClientConnection, exchange: Exchange, method: bytes) -> None:
        """Answers the platform's question."""
        path = connection.target.partition(b"?")[0]
        if path not in (b"/api/readiness", b"/api/metrics"):
            raise BadRequest(404, "no such path")
        if method not in (b"GET", b"HEAD"):
            raise BadRequest(405, "only GET", b"Allow: GET\r\n")
        if path == b"/api/metrics":
            return exchange.answer(200, b"" if method == b"HEAD" else self.metrics.text(), CONTENT_TYPE)
        return exchange.answer(200 if self.is_ready() else 503, b"")


@lru_cache(maxsize=1)
def operations() -> dict[tuple[bytes, str], str]:
    """What the interface's file names: (method, path with `{id}` cut off) to the operation's id."""
    paths = json.loads(INTERFACE.read_text())["paths"]
    return {
        (method.upper().encode(), path.partition("{")[0]): operation["operationId"]
        for path, methods in paths.items()
        for method, operation in methods.items()
    }


class ControlHandler:
    """Calls of backends and operators, as the interface's file has them."""

    def __init__(self, call: Callable[[str, Any, Callable[[Verdict], None]], None]) -> None:
        self.call = call

    def take(self, connection: ClientConnection, exchange: Exchange, method: bytes) -> None:
        """Takes a call of a backend or an operator; BadRequest for one that there is none like."""
        path = connection.target.partition(b"?")[0].decode("latin-1")
        known, name = operations(), ""
        operation = known.get((method, path))
        if operation is None:
            folder, _, name = path.rpartition("/")
            operation = known.get((method, folder + "/")) if name else None
        if operation is None:
            there = {path, path.rpartition("/")[0] + "/"}
            allowed = [m for m, p in known if p in there]
            if allowed:
                raise BadRequest(405, "no such method here", b"Allow: %b\r\n" % b", ".join(allowed))
            raise BadRequest(404, "no such path")
        body: Any = {}
        if method in (b"PUT", b"PATCH"):
            try:
                body = msgspec.json.decode(b"".join(connection.body))
            except (msgspec.MsgspecError, ValueError, RecursionError):
                raise BadRequest(400, "the body is not JSON") from None
            if not isinstance(body, dict):
                raise BadRequest(400, "the body is not an object")
        if name:
            body = {**body, "id": unquote(name)}

        def answered(verdict: Verdict) -> None:
            advice = JSON if verdict.status != 503 else JSON + SOON
            exchange.answer(verdict.status, msgspec.json.encode(verdict.body), advice)

        self.call(operation, body, answered)
