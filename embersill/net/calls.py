"""Reads a client's request by the protocol and the settings, and words what is wrong with one that is not.

All that a client says is held against the settings' bounds here, before the module sees any of it: units
without a bound, in a customer's name, would eat that customer's quota.
"""

from __future__ import annotations

import re
from functools import lru_cache

from embersill.interface import Repeats, Settings
from embersill.net.driver import Call

CALL_ID = re.compile(rb"[0-9A-Za-z_.-]{1,64}")
CLIENT = re.compile(rb"[?&]client=([^&]*)")
CUSTOMER = re.compile(rb"[0-9A-Fa-f]{16}")
BUDGET = re.compile(rb"\d{1,6}(\.\d{1,9})?")
KEY = re.compile(rb"[!-~]{1,256}")
QUOTA = re.compile(rb"\s*([a-z_]+)\s*=\s*(\d{1,9}(?:\.\d{1,9})?)\s*")
CUSTOMERS = 1 << 33  # numbers that the protocol has for customers
OVER_DEADLINE = 1.01  # times its class's deadline that a budget may be: what rounding makes of it


class BadRequest(Exception):
    """What a client sent is not in the protocol's form."""

    def __init__(self, status: int, text: str, headers: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.headers = status, headers


@lru_cache(maxsize=4096)
def read_quota(text: bytes) -> tuple[float, int, int]:
    """Units, spread and first of a Quota-Info; kept, since few different ones come again and again."""
    found: dict[bytes, float] = {}
    for part in text.split(b","):
        match = QUOTA.fullmatch(part)
        if match is None or match[1] in found:
            raise BadRequest(400, "Quota-Info is not in its form")
        found[match[1]] = float(match[2])
    try:
        units, width, first = found[b"units"], found[b"spread"], found[b"first"]
    except KeyError as error:
        raise BadRequest(400, "Quota-Info lacks units, spread or first") from error
    if width != int(width) or first != int(first):
        raise BadRequest(400, "Quota-Info has a part of a gateway")
    return units, int(width), int(first)


class CallReader:
    """Turns requests into calls by the settings' classes and plans, and words what is wrong with the rest."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name for p in settings.plans}
        self.gateways, self.most_units = settings.gateways, settings.most_units

    def read(
        self,
        received: float,
        method: bytes,
        target: bytes,
        headers: dict[bytes, bytes],
        body: bytes,
        rest: list[bytes] | None = None,
        size: int = 0,
    ) -> Call:
        """`rest` holds a body of `size` bytes that is too long to be made one piece."""
        customer = self.customer(target)
        klass = self.classes.get((headers.get(b"x-call-class") or b"").decode("latin-1"))
        if klass is None:
            self.needed(headers, b"x-call-class")
            raise BadRequest(400, "X-Call-Class names no class")
        wanted = b"GET" if klass.repeats is Repeats.SAFE else b"POST"
        if method != wanted:
            raise BadRequest(405, "the class goes by another method", b"Allow: %b\r\n" % wanted)
        plan = (headers.get(b"plan") or b"").decode("latin-1")
        if plan not in self.plans:
            self.needed(headers, b"plan")
            raise BadRequest(400, "Plan names no plan")
        if (body or rest) and method == b"GET":
            raise BadRequest(400, "a GET with a body")
        units, width, first = read_quota(headers.get(b"quota-info") or self.needed(headers, b"quota-info"))
        if not (0 < units <= self.most_units and 1 <= width <= self.gateways and first < self.gateways):
            raise BadRequest(400, "Quota-Info is out of bounds")
        budget = float(self.matched(headers, b"x-budget", BUDGET))
        if not 0 < budget <= OVER_DEADLINE * klass.deadline:
            raise BadRequest(400, "X-Budget is nought, or longer than the class's deadline")
        call_id = self.matched(headers, b"x-call-id", CALL_ID)
        return Call(
            call_id,
            received,
            budget,
            klass.name,
            plan,
            customer,
            units,
            width,
            first,
            headers.get(b"x-again") == b"1",
            self.head(method, target, call_id, headers, klass.repeats, body, size),
            body,
            rest=rest,
        )

    def head(
        self,
        method: bytes,
        target: bytes,
        call_id: bytes,
        headers: dict[bytes, bytes],
        repeats: Repeats,
        body: bytes,
        size: int,
    ) -> bytes:
        """What goes on to a backend, unchanged; the budget is the gateway's own and comes last."""
        head = b"%b %b HTTP/1.1\r\nHost: %b\r\nX-Call-Id: %b\r\n" % (
            method,
            target,
            headers.get(b"host", b"backend.local"),
            call_id,
        )
        if repeats is Repeats.BY_KEY:
            head += b"Idempotency-Key: %b\r\n" % self.matched(headers, b"idempotency-key", KEY)
        elif b"idempotency-key" in headers:
            raise BadRequest(400, "Idempotency-Key on a class that carries none")
        if method != b"GET":
            head += b"Content-Length: %d\r\n" % (size or len(body))
            if b"content-type" in headers:
                head += b"Content-Type: %b\r\n" % headers[b"content-type"]
        return head

    def customer(self, target: bytes) -> str:
        found: list[bytes] = CLIENT.findall(target)
        if len(found) != 1 or not CUSTOMER.fullmatch(found[0]):
            raise BadRequest(400, "client is not 16 hex digits")
        if int(found[0], 16) >= CUSTOMERS:
            raise BadRequest(400, "client is out of bounds")
        return found[0].decode().lower()

    def needed(self, headers: dict[bytes, bytes], name: bytes) -> bytes:
        value = headers.get(name)
        if not value:
            raise BadRequest(400, f"no {name.decode().title()}")
        return value

    def matched(self, headers: dict[bytes, bytes], name: bytes, form: re.Pattern[bytes]) -> bytes:
        value = headers.get(name) or self.needed(headers, name)
        if not form.fullmatch(value):
            raise BadRequest(400, f"{name.decode().title()} is not in its form")
        return value
