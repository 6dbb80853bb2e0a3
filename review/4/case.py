"""Clients that offer another protocol on their connection, as HTTP/1.1 allows, send orders with a body."""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from small import TROUBLE, Backend, Deployment, document, free_port, main, read_message

ORDERS = 30
# what a client sends that offers HTTP/2 on a clear connection (RFC 7540, section 3.2); a server that does not
# speak it ignores the offer (RFC 9110, section 7.8) and answers the request
OFFER = [
    "Connection: Upgrade, HTTP2-Settings",
    "Upgrade: h2c",
    "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA",
]


def short(body: bytes) -> str:
    """Length and digest of a body."""
    return f"{len(body)} bytes {hashlib.sha256(body).hexdigest()[:12]}"


class Register(Backend):
    """A backend that keeps the body of each order that it runs."""

    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.bodies: dict[str, bytes] = {}

    async def answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes:
        ran_before = self.served
        answer = await super().answer(first, headers, body)
        if self.served > ran_before:
            self.bodies[headers["x-attempt-id"]] = body
        return answer


async def case(d: Deployment) -> int:
    for number, (name, zone) in enumerate((("g1", "north"), ("g2", "south"), ("g3", "east"))):
        d.gateway(name, 1 + number, zone, core=True)
    gateways = list(d.gateways.values())
    d.seeds = [g.control for g in gateways]
    await asyncio.gather(*(g.start(first=True) for g in gateways))
    backends = []
    for number in range(3):
        ip = d.ip(100 + number)
        backends.append(Register(d, "a", f"{ip}:{free_port(ip)}", ("north", "south", "east")[number]))
        await backends[-1].start()
    v1 = document(1, 0, {"orders": ("/orders/", "a")}, ["a"], {"t": ["key-t"]})
    v1["routes"]["orders"]["kind"] = "non_idempotent"
    assert await d.order("PUT", v1) == 200
    for gateway in gateways:
        await d.until(gateway.is_ready, 15.0, f"{gateway.name} is not ready")
    await asyncio.sleep(2.0)

    sent: dict[str, tuple[bytes, int]] = {}
    for number in range(ORDERS):
        gateway = gateways[number % 3]
        name, body = f"{random.getrandbits(64):016x}", random.randbytes(random.randrange(200, 7200))
        in_chunks = number % 2 == 1
        lines = ["POST /orders/new HTTP/1.1", "Host: shop.example", f"X-Attempt-Id: {name}", "X-Key: key-t",
                 "X-Deadline-Remaining-Ms: 3000", "Content-Type: application/octet-stream"]
        lines += OFFER if TROUBLE else ["Connection: keep-alive"]
        lines += ["Transfer-Encoding: chunked"] if in_chunks else [f"Content-Length: {len(body)}"]
        text = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if in_chunks else body
        reader, writer = await asyncio.open_connection(gateway.ip, d.front)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        status = 0
        try:
            async with asyncio.timeout(3.0):
                first, _, _ = await read_message(reader)
                status = int(first.split(" ")[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        writer.close()
        sent[name] = body, status
        d.note(f"client POST /orders/new id={name} at={gateway.name} {'chunks' if in_chunks else 'length'} "
               f"sent {short(body)} status={status}")
    await asyncio.sleep(0.5)

    ran = {name: body for one in backends for name, body in one.bodies.items()}
    changed = confirmed = 0
    for name, (body, status) in sent.items():
        if name in ran and ran[name] != body:
            changed += 1
            confirmed += status == 200
            d.note(f"order {name}: the client sent {short(body)}, a backend ran {short(ran[name])}, status={status}")
    d.note(f"orders sent {len(sent)}, run {len(ran)}, answered 200 {sum(s == 200 for _, s in sent.values())}")
    d.note(f"UNASKED: run with another body {changed}, of these answered 200 {confirmed}")
    return 1 if changed else 0


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, case))
