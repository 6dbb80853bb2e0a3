"""The cost of ordinary requests in exact counts, and odd traffic that must pass byte for byte as recorded."""

from __future__ import annotations

import asyncio
import hashlib
import json
import pathlib
import sys
from collections.abc import Callable
from typing import Any

import pytest

from benchmarks.counts import CASES, CEILINGS, count, count_all, over
from embersill.lab.counting_harness import Harness, backend_response
from embersill.net.backends import BackendConnection
from embersill.net.clients import ClientConnection, Exchange

CORPUS = pathlib.Path(__file__).with_name("corpus.json")


def counted(**case: Any) -> dict[str, float]:
    async def run() -> dict[str, float]:
        return count(**case)

    return asyncio.run(run())


def ceilings() -> dict[str, dict[str, float]]:
    loaded: dict[str, dict[str, float]] = json.loads(CEILINGS.read_text())
    return loaded


def test_no_count_is_over_its_ceiling() -> None:
    assert not over(asyncio.run(count_all()), ceilings())


def test_counts_repeat_exactly() -> None:
    assert counted(**CASES["report"]) == counted(**CASES["report"])


def test_a_copy_and_a_timer_too_many_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    send, given = BackendConnection.send, Exchange.answer

    def copies(self: BackendConnection, *args: Any) -> None:
        copy = bytes(bytearray(args[0].body))
        send(self, *args)
        assert copy

    monkeypatch.setattr(BackendConnection, "send", copies)
    told = over({"extract of 16 KiB": counted(**CASES["extract of 16 KiB"])}, ceilings())
    assert any("peak_kib is" in line for line in told), told
    monkeypatch.setattr(BackendConnection, "send", send)

    def times(self: Exchange, *args: Any) -> None:
        self.connection.front.loop.call_later(1.0, print)
        given(self, *args)

    monkeypatch.setattr(Exchange, "answer", times)
    told = over({"lookup": counted(**CASES["lookup"])}, ceilings())
    assert any("lookup: timers_set is" in line and "1 over its" in line for line in told)


def test_a_body_that_comes_three_bytes_at_a_time_costs_in_proportion() -> None:
    async def calls(size: int) -> float:
        harness, seen = Harness(), 0

        def watch(frame: object, event: str, argument: object) -> None:
            nonlocal seen
            seen += event in ("call", "c_call")

        asked = harness.request("extract", size)
        pieces = [asked[i : i + 3] for i in range(0, len(asked), 3)]
        sys.setprofile(watch)
        try:
            harness.exchange(pieces, backend_response(200))
        finally:
            sys.setprofile(None)
        harness.close()
        return seen / len(pieces)

    small, large = asyncio.run(calls(8 * 1024)), asyncio.run(calls(64 * 1024))
    assert large <= 1.05 * small < 60


# unusual requests of clients and answers of backends

PLAIN = (
    b"GET /api?client=00000000000000c1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: %b\r\nX-Call-Class: lookup\r\n"
    b"Plan: free\r\nX-Budget: 2.000\r\nQuota-Info: units=1,spread=2,first=0\r\n%b\r\n"
)
POST = (
    b"POST /api?client=00000000000000C1&x=%%20y HTTP/1.1\r\nHost: other.host:80\r\nX-Call-Id: %b\r\n"
    b"X-Call-Class: %b\r\nPlan: free\r\nX-Budget: 2\r\n"
    b"Quota-Info: first=1, units=2.5, spread=1\r\n%b\r\n%b"
)


def requests() -> list[bytes]:
    """Unusual requests; some entries hold several."""
    plain = [
        PLAIN % (b"a1", more)
        for more in (
            b"",
            b"X-Again: 1\r\n",
            b"Connection: close\r\n",
            b"Connection: keep-alive\r\n",
            b"X-Odd:   spaced  \r\n",
            b"X-Long: " + b"y" * 8000 + b"\r\n",
            b"".join(b"X-%d: z\r\n" % n for n in range(300)),
            b"Plan: free\r\n",
            b"Host: c\r\n",
            b"Content-Length: 0\r\n",
            b"Content-Length: 5\r\n",
            b"Idempotency-Key: k\r\n",
            b"Expect: 100-continue\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b": empty\r\n",
            b"X-Budget: 1\r\n",
            b"Content-Type: text/plain\r\n",
            b"Upgrade: h2c\r\nConnection: Upgrade\r\n",
        )
    ]
    changed = [
        PLAIN.replace(old, new) % (b"a2", b"")
        for old, new in (
            (b"HTTP/1.1", b"HTTP/1.0"),
            (b"GET", b"HEAD"),
            (b"GET", b"PUT"),
            (b"GET", b"get"),
            (b"/api", b"/ready"),
            (b"/api", b"/nothing"),
            (b"00c1 ", b"00zz "),
            (b"?client=", b"?customer="),
            (b"00000000000000c1", b"ffffffffffffffff"),
            (b"lookup", b"look"),
            (b"free", b"gold"),
            (b"units=1", b"units=0"),
            (b"units=1", b"units=1e3"),
            (b"units=1,", b""),
            (b"spread=2", b"spread=9"),
            (b"2.000", b"-1"),
            (b"2.000", b"999"),
            (b"2.000", b"nan"),
            (b"Quota-Info: ", b"Quota: "),
            (b"\r\n", b"\n"),
            (b"/api?", b"/api?a=1&"),
            (b"client=", b"client=00000000000000c2&client="),
        )
    ]
    posts = [
        POST % (b"b1", klass, more, body)
        for klass, more, body in (
            (b"extract", b"Content-Length: 4\r\n", b"typed"[:4]),
            (b"report", b"Content-Length: 4\r\n", b"abcd"),
            (b"report", b"Content-Length: 4\r\nIdempotency-Key: k-1\r\n", b"abcd"),
            (b"extract", b"Content-Length: 4\r\nIdempotency-Key: k-1\r\n", b"abcd"),
            (b"extract", b"Transfer-Encoding: chunked\r\n", b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
            (b"extract", b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", b"0\r\n\r\n"),
            (b"extract", b"Content-Length: 65536\r\nContent-Type: a/b\r\n", b"x" * 65536),
            (b"extract", b"Content-Length: 65537\r\n", b"x" * 100),
            (b"extract", b"", b""),
            (b"extract", b"Content-Length: 0\r\n", b""),
            (b"lookup", b"Content-Length: 1\r\n", b"x"),
        )
    ]
    bursts = [
        b"".join(PLAIN % (b"p%d" % n, b"") for n in range(16)),
        b"\r\n\r\n" + PLAIN % (b"c1", b""),
        b"not http at all\r\n\r\n",
        b"\x00\x01\x02",
        PLAIN % (b"c2", b"") * 2,
    ]
    return plain + changed + posts + bursts


ANSWERS = [
    backend_response(200),
    b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 404 No\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
    b"noise",
    backend_response(65536),
    backend_response(65537),
    b"HTTP/1.1 200 OK\r\nBilled-Units: x\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
    backend_response(3) + b"and more",
]


def outcome(asked: bytes, answered: bytes, piece: int) -> dict[str, list[str]]:
    """The data sent to backends and to the client: as text, in order."""
    harness = Harness()
    client = ClientConnection(harness.front)
    near = harness.transport("client")
    client.connection_made(near)  # type: ignore[arg-type]
    forwarded = []
    for at in range(0, len(asked), piece or len(asked)):
        client.data_received(asked[at : at + (piece or len(asked))])
    for _ in range(20):
        busy = [(c, t) for c, t in harness.backends if t.written]
        for connection, transport in busy:
            forwarded += [text.decode("latin-1") for text in transport.written]
            transport.written.clear()
            connection.data_received(answered)
        harness.loop.advance(0.15)
    harness.loop.advance(4.0)
    told = {"forwarded": forwarded, "answered": [text.decode("latin-1") for text in near.written]}
    harness.close()
    return told


def digest(told: dict[str, list[str]]) -> dict[str, list[str]]:
    """Shortens long texts to their ends, so that the file stays readable."""
    return {
        kind: [t if len(t) < 400 else f"{t[:200]}…{len(t)}…{hash_of(t)}" for t in texts]
        for kind, texts in told.items()
    }


def hash_of(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def corpus() -> list[dict[str, list[str]]]:
    told = [digest(outcome(asked, ANSWERS[0], piece)) for asked in requests() for piece in (0, 700)]
    post = POST % (b"d1", b"extract", b"Content-Length: 2\r\n", b"ab")
    told += [digest(outcome(post, a, 0)) for a in ANSWERS]
    told += [digest(outcome(PLAIN % (b"d2", b""), a, 0)) for a in ANSWERS]
    return told


def recorded(make: Callable[[], list[dict[str, list[str]]]]) -> list[dict[str, list[str]]]:
    async def run() -> list[dict[str, list[str]]]:
        return make()

    return asyncio.run(run())


def test_odd_traffic_passes_byte_for_byte_as_recorded() -> None:
    known = json.loads(CORPUS.read_text())
    told = recorded(corpus)
    assert len(told) == len(known) > 100
    for number, (now, before) in enumerate(zip(told, known, strict=True)):
        assert now == before, f"entry {number}"


if __name__ == "__main__":
    CORPUS.write_text(json.dumps(recorded(corpus), indent=0, ensure_ascii=True) + "\n")
