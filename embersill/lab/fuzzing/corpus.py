"""Seed inputs of the fuzz targets, and the dictionary of tokens for mutations.

Further inputs, one in a file, may be in a folder named after the target: those that reached new code, and
those that were findings.
"""

from __future__ import annotations

import json
from pathlib import Path

from embersill.rig.settings import settings_object
from embersill.tiers.messages import (
    Ask,
    Batch,
    Beat,
    Bequeath,
    Cancelled,
    Echo,
    Ended,
    Failed,
    Grant,
    Leaving,
    Left,
    Lend,
    Open,
    Recall,
    Refused,
    Returned,
    Spent,
    Taken,
    Withdrawn,
)
from embersill.tiers.wire import ForwarderSide, PlannerSide, Secret, pack

GET = (
    b"GET /api?client=00000000b4d65521 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b1f03aa5c7e2d41\r\n"
    b"X-Call-Class: lookup\r\nPlan: free\r\nX-Budget: 0.480\r\nQuota-Info: units=2,spread=2,first=1\r\n\r\n"
)
POST = (
    b"POST /api?client=00000000b4d65521 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b1f03aa5c7e2d42\r\n"
    b"X-Call-Class: extract\r\nPlan: pro\r\nX-Budget: 2.0\r\nContent-Length: 5\r\n"
    b"Quota-Info: units=2,spread=2,first=1\r\n\r\nhello"
)
CHUNKED = POST.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked").replace(
    b"hello", b"5\r\nhello\r\n0\r\n\r\n"
)
OK = b"HTTP/1.1 200 OK\r\nBilled-Units: 2\r\nContent-Length: 5\r\n\r\nhello"
ENTRY = {
    "instanceId": "s",
    "hostPort": "127.0.0.1:5000",
    "zone": "a",
    "machineType": "m",
    "cell": 3,
    "lifecycle": "SERVING",
    "weight": 1.0,
    "startedAtMs": 0,
}
LIST = json.dumps({"generation": 41, "reset": True, "instances": [ENTRY]}).encode()
PLATFORM = json.dumps(
    {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "counter": "127.0.0.1:3",
        "seed": "8c1f",
        "limits": {"sockets": 256},
        "known": {"generation": 1, "reset": True, "instances": [ENTRY]},
        "settings": settings_object(2),
    }
).encode()
OPERATOR = (
    b'role = "planner"\n[tiers]\nforwarders = ["f1", "f2"]\nsecret_file = "s"\nparts = 8\n'
    b'[tiers.planners]\np1 = "127.0.0.1:7101"\n[tiers.terms]\nlease = 0.9\n'
)
FORWARDER_MESSAGES = [
    [Echo(1), Spent([("c", "pro", [(0.5, 2.0)])]), Lend([0], 5.0, 0.0)],
    [Ask(1, "extract", "pro", "c", 3.0, 2.0, False), Ended(1, 0, "b0", "served", 0.1, True, 2.0)],
    [Open(2, "report", "pro", "c", 3.0, 2.0, False, 0.4, [("b0", 0.2, None), ("b1", 0.3, "broken")])],
    [Left(1), Recall([0], 7), Bequeath()],
]
PLANNER_MESSAGES = [
    [Beat(1, True, 2), Grant(1, 0, "b0", 1.0), Grant(2, 0, "b1", 1.0)],
    [Refused(2, 0.5), Cancelled(1, 0), Withdrawn(["b0"]), Taken("c", "pro", 1.0)],
    [Returned(1), Failed(1), Leaving()],
]


def encode_batches(batches: list[list[object]]) -> bytes:
    """Returns the frames of batches with these messages."""
    return b"".join(pack(Batch(n, 1, 2, messages)) for n, messages in enumerate(batches, 1))  # type: ignore[arg-type]


def handshake_frames() -> list[bytes]:
    """Returns the frames of a valid handshake between a planner and a forwarder."""
    secret = Secret(b"another secret!!", "d")
    planner, forwarder = (
        PlannerSide(secret, "p0", "1", b"n" * 32),
        ForwarderSide(secret, "f0", "p0", b"m" * 32),
    )
    challenge = planner.challenge()
    proof = forwarder.read(challenge[4:])
    assert proof is not None
    return [challenge, proof, challenge + planner.welcome(planner.check(proof[4:], frozenset({"f0"})))]


def rate_limit_requests() -> list[bytes]:
    """Returns encoded requests of the rate limit service."""
    # hand-encoded: domain 1, descriptor 2 {entry 1 {key 1, value 2}, limit 2, hits 3}, hits_addend 3
    entry = b"\n\x0b\n\x03api\x12\x04look\n\r\n\x07account\x12\x02c1"
    return [b"\n\x06lookup\x12" + bytes([len(entry)]) + entry + b"\x18\x02", b"\n\x06lookup"]


SEEDS: dict[str, list[bytes]] = {
    "heads": [GET, POST, CHUNKED, GET + GET.replace(b"2d41", b"2d43"), b"GET /ready HTTP/1.1\r\n\r\n"],
    "answers": [
        OK,
        b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 100 C\r\n\r\n" + OK,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        OK + OK,
    ],
    "counter": [
        b"$4\r\n12.5\r\n$1\r\n7\r\n-BUSY\r\n-ERR no\r\n",
        b"$3\r\nnan\r\n",
        b":5\r\n+PONG\r\n",
        b"*1\r\n$-1\r\n",
    ],
    "listing": [LIST],
    "discovery": [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LIST), LIST)],
    "frames-to-planner": [encode_batches(FORWARDER_MESSAGES), encode_batches(FORWARDER_MESSAGES[:1])],  # type: ignore[arg-type]
    "frames-to-forwarder": [encode_batches(PLANNER_MESSAGES), encode_batches(PLANNER_MESSAGES[:1])],  # type: ignore[arg-type]
    "handshake": handshake_frames(),
    "operator-file": [OPERATOR],
    "platform-file": [PLATFORM],
    "kept-schedule": [b'{"schedule":{"seed":1,"steps":[{"what":"kill","at":1.0,"who":"p0"}]}}'],
    "question": rate_limit_requests(),
}
TOKENS = (
    b"0",
    b"-1",
    b"1e309",
    b"nan",
    b"inf",
    b"-0.0",
    b"99999999999999999999",
    b"\r\n",
    b"\r\n\r\n",
    b"\0",
    b"\xff",
    b"Content-Length: ",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"Upgrade: x\r\n",
    b"null",
    b"{}",
    b"[]",
    b'""',
    b"true",
    b"[[",
    b"\xcb\x7f\xf8\0\0\0\0\0\0",
    b"\xcb\x7f\xf0\0\0\0\0\0\0",
    b"\x90",
    b"\xc0",
    b"\xcf\xff\xff\xff\xff\xff\xff\xff\xff",
    b"\xff\xff\xff\xff",
    b"$-1\r\n",
    b"*1\r\n",
    b"HTTP/1.1 101 S\r\n",
)


def read_corpus(folder: Path | None, target: str) -> list[bytes]:
    """Returns a target's inputs: its seeds, then the files of its folder in the order of their names."""
    inputs = list(SEEDS[target])
    if folder is not None and (folder / target).is_dir():
        inputs += [path.read_bytes() for path in sorted((folder / target).iterdir())]
    return inputs
