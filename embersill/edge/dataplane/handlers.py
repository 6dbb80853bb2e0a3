"""Request handlers of a gateway's listeners: client traffic, readiness and metrics, control API."""

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

from embersill.edge.configuration.routes import PUBLIC, Table, CompiledRoute
from embersill.edge.dataplane.dialect import HOP_BY_HOP_HEADERS
from embersill.edge.dataplane.metrics import CONTENT_TYPE, Metrics
from embersill.edge.verdict import Verdict
from embersill.net.calls import BadRequest
from embersill.net.clients import ClientConnection, Exchange
from embersill.net.driver import Call, Driver

REMAINING_MS = re.compile(rb"\d{1,9}(\.\d{1,9})?")
NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"x-key",
    b"x-tenant-name",
    b"x-deadline-remaining-ms",
    b"x-expected-instance",
    b"x-attempt-id",
    b"host",
    b"expect",
}
RETRY_SOON = b"Retry-After: 0.2\r\n"  # while a gateway that has just started has no configuration or majority
JSON_CONTENT = b"Content-Type: application/json\r\n"
# a request with less than this part of the longest remaining time on its route is taken for a client's retry;
# first tries lose a little on their way here
RETRY_BUDGET_RATIO = 0.985
LONGEST_DECAY = 0.9995  # factor per request by which the remembered longest time decays
MAX_EARLY = 1000  # requests that may wait for the first configuration
EARLY_WAIT_S = 0.5  # longest wait for it: by then a gateway that can get a configuration has got it
EARLY_WAIT_SHARE = 0.4  # and the part of the client's remaining time: the rest is needed for a backend
STOPPED_RETRY_AFTER_S = 15.0, 30.0  # range of Retry-After for a tenant whose rate is reduced to zero
MAX_BUDGET_S = 3600.0  # longest deadline that a client may ask for
OPENAPI_PATH = Path(__file__).parent.with_name("openapi.json")


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A copy of a received request; its connection may read the next one meanwhile."""

    target: bytes
    headers: dict[bytes, bytes]
    body: list[bytes]
    body_size: int
    received: float


def remaining_ms(headers: dict[bytes, bytes]) -> bytes:
    """The client's X-Deadline-Remaining-Ms, unparsed; empty if there is none."""
    return headers.get(b"x-deadline-remaining-ms", b"").strip()


@dataclass(frozen=True, slots=True)
class EarlyRequest:
    """A request received before the first configuration, and until when it may wait for one."""

    arrived: ReceivedRequest
    exchange: Exchange
    method: bytes
    until: float


class ClientHandler:
    """Turns client requests into calls: finds their route, tenant and deadline."""

    def __init__(self, driver: Callable[[], Driver], chance: random.Random) -> None:
        self.driver, self.chance = driver, chance
        self.table: Table | None = None
        self.early: list[EarlyRequest] = []
        self.on_stopped: Callable[[str], None] = lambda tenant: None  # called per rejected request
        # True while the event loop lags: a client may have disconnected since it sent its request
        self.is_behind: Callable[[], bool] = lambda: False
        # calls a function once the sockets have been polled again, so that a client's disconnect is known
        self.after_next_poll: Callable[[Callable[[], None]], None] = lambda call: call()
        self.longest_budget: dict[str, float] = {}  # seconds by route

    def looks_like_retry(self, way: CompiledRoute, left: float) -> bool:
        """True if a request has less time left than others on its route, as a retry has."""
        longest_budget = self.longest_budget.get(way.name, 0.0)
        self.longest_budget[way.name] = max(longest_budget * LONGEST_DECAY, left)
        return left < RETRY_BUDGET_RATIO * longest_budget

    def take(self, connection: ClientConnection, exchange: Exchange, method: bytes) -> None:
        """Handles a client request whose head has been read; raises BadRequest to reject it."""
        if self.table is not None and not self.is_behind():
            return self.place(self.table, connection, exchange, method)
        arrived = ReceivedRequest(
            connection.target, connection.headers, connection.body, connection.body_size, connection.received
        )
        if self.table is not None:
            return self.after_next_poll(lambda: self.place_after_poll(arrived, exchange, method))
        # the gateway has just started: a client that retries only once would be lost by a 503
        if len(self.early) >= MAX_EARLY:
            raise BadRequest(503, "no configuration yet", RETRY_SOON)
        remaining = remaining_ms(arrived.headers)
        left = float(remaining) / 1000.0 if REMAINING_MS.fullmatch(remaining) else EARLY_WAIT_S
        until = arrived.received + min(EARLY_WAIT_S, EARLY_WAIT_SHARE * left)
        self.early.append(EarlyRequest(arrived, exchange, method, until))
        return None

    def place_after_poll(self, arrived: ReceivedRequest, exchange: Exchange, method: bytes) -> None:
        """Places a request that was read while the event loop lagged, unless its client has left by now."""
        if exchange.connection.left or self.table is None:
            return
        try:
            self.place(self.table, arrived, exchange, method)
        except BadRequest as error:
            exchange.connection.refuse(exchange, error)

    def apply_table(self, table: Table) -> None:
        """Applies a configuration, also to the requests that waited for the first one."""
        self.table = table
        early, self.early = self.early, []
        for waiting in early:
            if waiting.exchange.connection.left:
                continue
            try:
                self.place(table, waiting.arrived, waiting.exchange, waiting.method)
            except BadRequest as error:
                waiting.exchange.answer(error.status, f"{error}\n".encode(), error.headers)

    def expire_early(self, now: float) -> None:
        """Rejects requests that have waited for the first configuration for as long as they may."""
        expired = [waiting for waiting in self.early if now >= waiting.until]
        if expired:
            self.early = [waiting for waiting in self.early if now < waiting.until]
            for waiting in expired:
                waiting.exchange.answer(503, b"no configuration yet\n", RETRY_SOON)

    def place(
        self, table: Table, arrived: ReceivedRequest | ClientConnection, exchange: Exchange, method: bytes
    ) -> None:
        """Finds a request's route and tenant, and hands it to the decisions."""
        driver, headers = self.driver(), arrived.headers
        path = arrived.target.partition(b"?")[0].decode("latin-1")
        way = table.find(headers.get(b"host", b"").decode("latin-1"), path)
        if way is None:
            raise BadRequest(404, "no such route")
        tenant = self.tenant(table, way, headers)
        if table.stopped(tenant):
            self.on_stopped(tenant)
            return exchange.answer(
                429, b"", b"Retry-After: %.1f\r\n" % self.chance.uniform(*STOPPED_RETRY_AFTER_S)
            )
        left = remaining_ms(headers)
        budget = min(float(left) / 1000.0, MAX_BUDGET_S) if REMAINING_MS.fullmatch(left) else way.timeout
        call_id = headers.get(b"x-attempt-id", b"")
        if call_id and driver.is_open(call_id):
            raise BadRequest(409, "a request with this X-Attempt-Id is open")
        repeat = bool(left) and self.looks_like_retry(way, budget)
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

    def tenant(self, table: Table, way: CompiledRoute, headers: dict[bytes, bytes]) -> str:
        """The tenant whose key the request carries; `PUBLIC` where no key is needed."""
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
        """The request head for a backend; `EdgeDialect` adds deadline and instance when it is sent."""
        parts = [b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (method, target, headers.get(b"host", b""))]
        named = headers.get(b"connection")
        dropped = frozenset(n.strip().lower() for n in named.split(b",")) if named else frozenset()
        for name, value in headers.items():
            if name not in NOT_FORWARDED_HEADERS and name not in dropped:
                parts.append(b"%b: %b\r\n" % (name, value))
        if call_id:
            parts.append(b"X-Attempt-Id: %b\r\n" % call_id)
        if tenant:
            parts.append(b"X-Tenant-Name: %b\r\n" % tenant.encode())
        if size or method in (b"POST", b"PUT", b"PATCH"):
            parts.append(b"Content-Length: %d\r\n" % size)
        return b"".join(parts)


class ReadinessHandler:
    """Serves the readiness probe and the metrics."""

    def __init__(self, is_ready: Callable[[], bool], metrics: Metrics) -> None:
        self.is_ready, self.metrics = is_ready, metrics

    def take(self, connection: ClientConnection, exchange: Exchange, method: bytes) -> None:
        """Answers a probe or a scrape; raises BadRequest for anything else."""
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
    """The operation ids of the OpenAPI file by method and path, with `{id}` cut off the path."""
    paths = json.loads(OPENAPI_PATH.read_text())["paths"]
    return {
        (method.upper().encode(), path.partition("{")[0]): operation["operationId"]
        for path, methods in paths.items()
        for method, operation in methods.items()
    }


class ControlHandler:
    """The control API for backends and operators, as the OpenAPI file describes it."""

    def __init__(self, call: Callable[[str, Any, Callable[[Verdict], None]], None]) -> None:
        self.call = call

    def take(self, connection: ClientConnection, exchange: Exchange, method: bytes) -> None:
        """Handles a call of a backend or an operator; raises BadRequest for an unknown or malformed one."""
        path = connection.target.partition(b"?")[0].decode("latin-1")
        known, name = operations(), ""
        operation = known.get((method, path))
        if operation is None:
            folder, _, name = path.rpartition("/")
            operation = known.get((method, folder + "/")) if name else None
        if operation is None:
            candidates = {path, path.rpartition("/")[0] + "/"}
            allowed = [m for m, p in known if p in candidates]
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
            advice = JSON_CONTENT if verdict.status != 503 else JSON_CONTENT + RETRY_SOON
            exchange.answer(verdict.status, msgspec.json.encode(verdict.body), advice)

        self.call(operation, body, answered)
