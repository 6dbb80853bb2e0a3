"""A billing service to export use to: an append-only log over HTTP, with what such a service does wrong.

`GET /usage` tells the position, the highest office number that was taken, and the tail's own words (`meta`).
`POST /usage` appends the body at `If-Position`; 409 tells the true position if it is another. Writes name an
`Office-Number`: one below the highest taken is 412, one far above it 422 (`MOST_STEP`), for either would be
somebody's who does not hold the office, or a figure gone wrong. `PUT /usage/owner` only claims a number.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from embersill.rig.standins import StreamServer

MOST_BODY = 1 << 20
MOST_STEP = 1000  # by which an office's number may grow between two writes


@dataclass(slots=True)
class BillingBehaviour:
    """Parts of the writes that go wrong after they were booked (`silent`, `late`, `twice`) or before."""

    silent: float = 0.0  # booked and never answered
    late: float = 0.0  # booked and answered `late_by` seconds later
    late_by: float = 1.0
    twice: float = 0.0  # booked once and answered twice
    busy: float = 0.0  # 503, not booked


@dataclass(slots=True)
class Booked:
    """One append, as it was taken."""

    at: float
    number: int
    owner: str
    body: dict[str, Any]


@dataclass(slots=True)
class StandInBilling(StreamServer):
    behaviour: BillingBehaviour = field(default_factory=BillingBehaviour)
    seed: int = 1
    log: list[Booked] = field(default_factory=list)
    highest: int = 0
    owners: dict[int, str] = field(default_factory=dict)  # by number: who wrote with it
    counts: Counter[str] = field(default_factory=Counter)
    chance: random.Random = field(init=False)

    def __post_init__(self) -> None:
        StreamServer.__init__(self)
        self.chance = random.Random(f"{self.seed} billing")

    async def call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *fields = head.split("\r\n")
        method, path, _ = line.split(" ", 2)
        headers = {name.lower(): value.strip() for name, _, value in (f.partition(":") for f in fields if f)}
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(min(length, MOST_BODY))
        now = asyncio.get_running_loop().time()
        status, told = self.handle(method, path, headers, body, now)
        text = json.dumps(told).encode()
        answer = b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b" % (
            status,
            len(text),
            text,
        )
        draw, how = self.chance.random(), self.behaviour
        if method == "POST" and status == 201:
            if draw < how.silent:
                self.counts["silent"] += 1
                await asyncio.sleep(3600.0)
            if draw < how.silent + how.late:
                await asyncio.sleep(how.late_by)
            elif draw < how.silent + how.late + how.twice:
                answer += answer
        writer.write(answer)
        await writer.drain()

    def handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes, now: float
    ) -> tuple[int, dict[str, Any]]:
        """A call's status and answer; it is booked by then."""
        where = {
            "position": len(self.log),
            "number": self.highest,
            "meta": self.log[-1].body.get("meta") if self.log else None,
        }
        if method == "GET" and path == "/usage":
            return 200, where
        try:
            number, owner = int(headers["office-number"]), headers.get("office-holder", "")
            position = int(headers.get("if-position", "-1"))
            said = json.loads(body) if body else {}
        except (KeyError, ValueError):
            return 400, {"reason": "no office number, or no JSON"}
        if number < self.highest:
            self.counts["late_refused"] += 1
            return 412, {**where, "reason": "an office's old number"}
        if number > self.highest + MOST_STEP:
            self.counts["far_refused"] += 1
            return 422, {**where, "reason": "an office's number from nowhere"}
        if self.owners.setdefault(number, owner) != owner:
            self.counts["two_owners"] += 1  # two processes with one number: the council has failed
            return 412, {**where, "reason": "that number is somebody else's"}
        self.highest = number
        if method == "PUT" and path == "/usage/owner":
            self.counts["claims"] += 1
            return 200, {**where, "number": number}
        if method != "POST" or path != "/usage":
            return 404, {"reason": "no such thing"}
        if self.chance.random() < self.behaviour.busy:
            return 503, {**where, "reason": "busy"}
        if position != len(self.log):
            self.counts["position_refused"] += 1
            return 409, where
        self.log.append(Booked(now, number, owner, said))
        return 201, {"position": len(self.log), "number": number, "meta": said.get("meta")}
