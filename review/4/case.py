"""Backends that answer before they have read a long body, keep the connection and read on later."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from small import TROUBLE, Backend, Deployment, document, free_port, main, message, read_message

ORDERS = 6
BODY_BYTES = 8 << 20  # max_body_bytes of the configuration is 64 MiB, as in the pages' example
READ_FIRST = 64 << 10  # what a backend has read of the body when it answers
READ_ON_AFTER_S = 0.3
READ_ON_FOR_S = 6.0
DEADLINE_MS = 6000  # of `hist-udtraek`, the longest of the site file


class Early(Backend):
    """Answers an order once it has read a part of its body, keeps the connection and reads on later."""

    def __init__(self, *given: object) -> None:
        super().__init__(*given)  # type: ignore[arg-type]
        self.got: dict[str, bytes] = {}  # what came of each order's body
        self.ends: dict[str, str] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in head[1:])}
                size, attempt = int(headers.get("content-length", "0")), headers.get("x-attempt-id", "")
                first = READ_FIRST if TROUBLE else size
                body = bytearray(await reader.readexactly(min(first, size)))
                self.got[attempt] = bytes(body)
                named = {"X-Attempt-Id": attempt, "X-Backend-Load": "1,0,4"}
                writer.write(message(200, {**named, "X-Backend-Seal": f"{self.id}.{attempt[:4]}"}, b"taken"))
                await writer.drain()
                self.ran(attempt, head[0].split(" ")[1], headers)
                await asyncio.sleep(READ_ON_AFTER_S)
                self.ends[attempt] = "whole"
                try:
                    async with asyncio.timeout(READ_ON_FOR_S):
                        while len(body) < size:
                            piece = await reader.read(min(65536, size - len(body)))
                            if not piece:
                                self.ends[attempt] = "the connection ended"
                                break
                            body += piece
                except (TimeoutError, OSError) as error:
                    self.ends[attempt] = f"{type(error).__name__}"
                self.got[attempt] = bytes(body)
                if self.ends[attempt] != "whole":
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def case(d: Deployment) -> int:
    for number, (name, zone) in enumerate((("g1", "north"), ("g2", "south"), ("g3", "east"))):
        d.gateway(name, 1 + number, zone, core=True)
    gateways = list(d.gateways.values())
    d.seeds = [g.control for g in gateways]
    await asyncio.gather(*(g.start(first=True) for g in gateways))
    backends = []
    for number in range(3):
        ip = d.ip(100 + number)
        backends.append(Early(d, "a", f"{ip}:{free_port(ip)}", ("north", "south", "east")[number]))
        await backends[-1].start()
    v1 = document(1, 0, {"orders": ("/orders/", "a")}, ["a"], {"t": ["key-t"]})
    v1["routes"]["orders"] |= {"kind": "non_idempotent", "timeout_s": 6.0, "target_latency_s": 1.0}
    v1["limits"]["max_body_bytes"] = 64 << 20
    assert await d.order("PUT", v1) == 200
    for gateway in gateways:
        await d.until(gateway.is_ready, 15.0, f"{gateway.name} is not ready")
    await asyncio.sleep(2.0)

    sent: dict[str, tuple[bytes, int]] = {}
    for number in range(ORDERS):
        gateway, name, body = gateways[number % 3], f"{random.getrandbits(64):016x}", random.randbytes(BODY_BYTES)
        head = (f"POST /orders/new HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {name}\r\nX-Key: key-t\r\n"
                f"X-Deadline-Remaining-Ms: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n\r\n")
        reader, writer = await asyncio.open_connection(gateway.ip, d.front)
        status = 0
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000.0):
                writer.write(head.encode() + body)
                await writer.drain()
                first, _, _ = await read_message(reader)
                status = int(first.split(" ")[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        sent[name] = body, status
        d.note(f"client POST /orders/new id={name} at={gateway.name} sent {len(body)} bytes status={status}")
        await asyncio.sleep(0.5)
        writer.close()
    await asyncio.sleep(READ_ON_FOR_S)

    got = {name: body for one in backends for name, body in one.got.items()}
    ends = {name: end for one in backends for name, end in one.ends.items()}
    lost = 0
    for name, (body, status) in sent.items():
        here = got.get(name, b"")
        lost += status == 200 and here != body
        d.note(f"order {name}: sent {len(body)} bytes, the backend that took it got {len(here)} "
               f"({'equal so far' if body.startswith(here) else 'OTHER BYTES'}; {ends.get(name)}), status={status}")
    d.note(f"orders sent {len(sent)}, answered 200 {sum(s == 200 for _, s in sent.values())}")
    d.note(f"UNASKED: answered 200 and run by a backend that never got the client's whole body: {lost}")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, case))
