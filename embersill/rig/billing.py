"""Stand-in billing service for exported usage: an append-only log over HTTP, with typical faults.

`GET /usage` returns the position, the highest office number accepted, and the `meta` of the last append.
`POST /usage` appends the body at `If-Position`, or answers 409 with the true position if that differs. Writes
carry an `Office-Number`, a fencing token: one below the highest accepted is answered 412 and one far above it
422 (`MAX_NUMBER_STEP`), since either comes from a process that does not hold the office, or is corrupt.
`PUT /usage/owner` only claims a number.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from embersill.rig.standins import StreamServer

MAX_BODY_BYTES = 1 << 20
MAX_NUMBER_STEP = 1000  # by which the office number may grow between two writes


@dataclass(slots=True)
class BillingBehaviour:
    """Shares of the writes that fail: `busy_share` before the append is stored, the others after."""

    unanswered_share: float = 0.0  # stored and never answered
    late_share: float = 0.0  # stored and answered `late_by_s` later
    late_by_s: float = 1.0
    duplicate_share: float = 0.0  # stored once and answered twice
    busy_share: float = 0.0  # answered 503, not stored


@dataclass(slots=True)
class Append:
    """One append, as it was accepted."""

    at: float
    number: int
    owner: str
    body: dict[str, Any]


@dataclass(slots=True)
class StandInBilling(StreamServer):
    """The service, with its log and the owner of each office number."""

    behaviour: BillingBehaviour = field(default_factory=BillingBehaviour)
    seed: int = 1
    appends: list[Append] = field(default_factory=list)
    highest_number: int = 0
    owners: dict[int, str] = field(default_factory=dict)  # who wrote with each number
    counts: Counter[str] = field(default_factory=Counter)
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        StreamServer.__init__(self)
        self.rng = random.Random(f"{self.seed} billing")

    async def handle_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads and handles one call, and answers it as the drawn behaviour says."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *fields = head.split("\r\n")
        method, path, _ = line.split(" ", 2)
        headers = {name.lower(): value.strip() for name, _, value in (f.partition(":") for f in fields if f)}
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(min(length, MAX_BODY_BYTES))
        now = asyncio.get_running_loop().time()
        status, answer_body = self.handle(method, path, headers, body, now)
        text = json.dumps(answer_body).encode()
        answer = b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b" % (
            status,
            len(text),
            text,
        )
        draw, behaviour = self.rng.random(), self.behaviour
        if method == "POST" and status == 201:
            if draw < behaviour.unanswered_share:
                self.counts["silent"] += 1
                await asyncio.sleep(3600.0)
            if draw < behaviour.unanswered_share + behaviour.late_share:
                await asyncio.sleep(behaviour.late_by_s)
            elif draw < behaviour.unanswered_share + behaviour.late_share + behaviour.duplicate_share:
                answer += answer
        writer.write(answer)
        await writer.drain()

    def handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes, now: float
    ) -> tuple[int, dict[str, Any]]:
        """Status and answer of a call; an append has been stored by then."""
        position_info = {
            "position": len(self.appends),
            "number": self.highest_number,
            "meta": self.appends[-1].body.get("meta") if self.appends else None,
        }
        if method == "GET" and path == "/usage":
            return 200, position_info
        try:
            number, owner = int(headers["office-number"]), headers.get("office-holder", "")
            position = int(headers.get("if-position", "-1"))
            document = json.loads(body) if body else {}
        except (KeyError, ValueError):
            return 400, {"reason": "no office number, or no JSON"}
        if number < self.highest_number:
            self.counts["late_refused"] += 1
            return 412, {**position_info, "reason": "an office's old number"}
        if number > self.highest_number + MAX_NUMBER_STEP:
            self.counts["far_refused"] += 1
            return 422, {**position_info, "reason": "an office's number from nowhere"}
        if self.owners.setdefault(number, owner) != owner:
            # two processes with one number: the council's agreement has failed
            self.counts["two_owners"] += 1
            return 412, {**position_info, "reason": "that number is somebody else's"}
        self.highest_number = number
        if method == "PUT" and path == "/usage/owner":
            self.counts["claims"] += 1
            return 200, {**position_info, "number": number}
        if method != "POST" or path != "/usage":
            return 404, {"reason": "no such thing"}
        if self.rng.random() < self.behaviour.busy_share:
            return 503, {**position_info, "reason": "busy"}
        if position != len(self.appends):
            self.counts["position_refused"] += 1
            return 409, position_info
        self.appends.append(Append(now, number, owner, document))
        return 201, {"position": len(self.appends), "number": number, "meta": document.get("meta")}
