"""A hall on loopback: gateways of the system as processes, backends that say what they are, an operator.

Each gateway has an address of its own (127.0.0.N) and the same ports, as machines have. Backends live in the
process of whoever opens the hall, as clients and the operator do, so that one clock sees all.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

import aiohttp
from aiohttp import web

from embersill.rig.processes import Member, free_ports

CORE = 3  # gateways with a disk
ZONES = "north", "south", "east"
BEAT = 1.0  # seconds between a backend's calls
SLOTS = 8  # requests that a backend works on at once
READY_WITHIN = 20.0  # seconds for all gateways to be ready
ASKED_WITHIN = 3.0  # seconds for one call of control


@dataclass(frozen=True, slots=True)
class Answered:
    """One try of a client's: how it ended, as the client saw it."""

    tenant: str
    gateway: int
    asked_at: float
    took: float
    status: int  # 0: no answer
    retry_after: float


class Backend:
    """Works on requests for a drawn time, seals its answers, and calls the system every so often."""

    def __init__(self, hall: Hall, number: int) -> None:
        self.hall, self.name, self.zone = hall, f"i-{number}", ZONES[number % len(ZONES)]
        self.slots = asyncio.Semaphore(SLOTS)
        self.running = self.waiting = self.calls = 0
        self.ran: dict[str, int] = {}  # by X-Attempt-Id
        self.address = ""

    async def start(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.serve)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self.runner.addresses[0][1]}"
        self.beating = asyncio.create_task(self.beat())

    async def serve(self, request: web.Request) -> web.Response:
        told = request.headers.get("X-Attempt-Id", "")
        if request.headers.get("X-Expected-Instance", self.name) != self.name:
            return web.Response(status=421, headers={"X-Attempt-Id": told, "X-Request-Not-Executed": "1"})
        body = await request.read()
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.ran[told] = self.ran.get(told, 0) + 1
            await asyncio.sleep(self.hall.chance.uniform(*self.hall.work))
            self.running -= 1
        return web.Response(
            body=body or b"whole",
            headers={
                "X-Attempt-Id": told,
                "X-Backend-Seal": self.name,
                "X-Backend-Load": f"{self.running},{self.waiting},{SLOTS}",
            },
        )

    async def beat(self) -> None:
        gateway = self.hall.chance.randrange(self.hall.size)
        while True:
            heard = await self.say(gateway, "ready")
            if not heard:
                gateway = self.hall.chance.randrange(self.hall.size)
            await asyncio.sleep(BEAT if heard else 0.1)

    async def say(self, gateway: int, state: str) -> bool:
        """Tells one gateway of itself, ready or draining; True if that was acknowledged."""
        self.calls += 1
        told = {
            "service": "s",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity_slots": SLOTS,
            "state": state,
            "warmup_remaining_s": 0,
            "call_sequence": self.calls,
        }
        status, _ = await self.hall.control(gateway, "PUT", f"/api/instances/{self.name}", told)
        return status == 200

    async def stop(self) -> None:
        self.beating.cancel()
        await self.runner.cleanup()


class Hall:
    """`async with Hall(...)` starts all, takes the configuration, and waits until every gateway is ready."""

    def __init__(
        self,
        folder: Path,
        size: int = 5,
        backends: int = 6,
        seed: int = 1,
        tenants: Mapping[str, tuple[float, float]] | None = None,
        work: tuple[float, float] = (0.02, 0.06),
        make_backend: Callable[[Hall, int], Backend] | None = None,
        grace: float = 3.0,
        environ: Mapping[str, str] | None = None,
    ) -> None:
        """`folder`: for settings and disks. `tenants`: rate and burst by name, whose key is the name.

        `work`: seconds that a backend takes, from and to. `make_backend`: another kind of backend, by number.
        `environ`: more variables for the gateways' processes.
        `grace`: seconds from SIGTERM to the platform's SIGKILL, as gateways are told.
        """
        self.grace, self.environ = grace, dict(environ or {})
        self.folder, self.size, self.work = folder, size, work
        self.tenants = dict(tenants or {"t": (50.0, 50.0)})
        self.chance = random.Random(seed)
        self.ports = free_ports(4)
        make = make_backend or Backend
        self.backends = [make(self, number) for number in range(backends)]
        self.gateways = [self.member(number) for number in range(size)]
        self.tries = 0

    def ip(self, number: int) -> str:
        return f"127.0.0.{number + 1}"

    def member(self, number: int) -> Member:
        environ = {**os.environ, **self.environ, "EMBERSILL_CONFIG": str(self.settings(number, first=True))}
        return Member(f"g{number}", "gateway", [sys.executable, "-m", "embersill.edge"], environ)

    def settings(self, number: int, first: bool) -> Path:
        """Writes a gateway's settings file; `first`: nothing has ever been started here."""
        ip, core = self.ip(number), number < CORE
        front, ready, control, links = self.ports
        local: dict[str, Any] = {
            "node_name": f"g{number}",
            "ip_address": ip,
            "zone": ZONES[number % len(ZONES)],
            "first_start": first,
            "counts_toward_quorum": core,
            "heartbeat_interval_s": BEAT,
            "listen_addresses": {
                "front_http": f"{ip}:{front}",
                "readiness": f"{ip}:{ready}",
                "control_plane": f"{ip}:{control}",
            },
            "internal_port_range": [links, links],
            "seed_nodes": [f"{self.ip(n)}:{control}" for n in range(min(CORE, self.size))],
            "limits": {"memory_mb": 300, "file_descriptors": 1000, "disk_mb": 64},
            "fault_tolerance": {"machine_failures": 1},
            "bounds": {
                "grace_period_s": self.grace,
                "quota_overshoot": 0.1,
                "quota_slack": 20,
                "retry_budget_ratio": 0.2,
                "retry_budget_slack": 68,
            },
        }
        if core:
            local["data_directory"] = str(self.folder / f"g{number}")
        path = self.folder / f"g{number}.json"
        path.write_text(json.dumps(local))
        return path

    async def __aenter__(self) -> Hall:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        try:
            await asyncio.gather(*(gateway.start() for gateway in self.gateways))
            await asyncio.gather(*(backend.start() for backend in self.backends))
            await self.until_ready()
            for number in range(self.size):  # for whoever is started again
                self.settings(number, first=False)
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        for gateway in self.gateways:
            gateway.kill_now()
        await asyncio.gather(*(g.wait_exit() for g in self.gateways if g.process is not None))
        await asyncio.gather(*(b.stop() for b in self.backends if b.address))
        await self.session.close()

    async def until_ready(self) -> None:
        """TimeoutError where the gateways don't take the configuration, or don't get ready."""
        async with asyncio.timeout(READY_WITHIN):
            while (await self.control(0, "PUT", "/api/configuration", self.configuration()))[0] != 200:
                await asyncio.sleep(0.1)
            for number in range(self.size):
                while not await self.is_ready(number):
                    await asyncio.sleep(0.05)

    async def is_ready(self, number: int) -> bool:
        try:
            async with self.session.get(f"http://{self.ip(number)}:{self.ports[1]}/api/readiness") as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    def configuration(self, version: int = 1, based_on: int = 0) -> dict[str, Any]:
        routes = {
            name: {
                "host": "hall.example",
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_s": 3.0,
                "target_latency_s": 0.5,
                "priority": 1,
                "service": "s",
                "max_attempts": 2,
            }
            for name, kind in (("ask", "idempotent"), ("order", "non_idempotent"))
        }
        return {
            "version": f"{version:08x}",
            "based_on_version": f"{based_on:08x}",
            "routes": routes,
            "services": {"s": {"health_path": "/health", "connection_limit": 200}},
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1 << 20,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "tenants": {
                name: {"api_keys": [name], "rate_per_s": rate, "burst_size": burst}
                for name, (rate, burst) in self.tenants.items()
            },
        }

    async def control(self, gateway: int, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """A call of control: its status, 0 where none came, and what the answer says."""
        url, within = f"http://{self.ip(gateway)}:{self.ports[2]}{path}", aiohttp.ClientTimeout(ASKED_WITHIN)
        try:
            async with self.session.request(method, url, json=body, timeout=within) as answer:
                return answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, None

    async def ask(
        self, tenant: str, gateway: int, route: str = "ask", patience: float = 2.0, fresh: bool = False
    ) -> Answered:
        """One try of a client's, on a kept connection, or on one of its own with `fresh`."""
        self.tries += 1
        headers = {
            "Host": "hall.example",
            "X-Key": tenant,
            "X-Attempt-Id": f"a{self.tries}",
            "X-Deadline-Remaining-Ms": f"{patience * 1000:.0f}",
        }
        if fresh:
            headers["Connection"] = "close"
        method = "GET" if route == "ask" else "POST"
        began = time.monotonic()
        status, wait = 0, 0.0
        try:
            url = f"http://{self.ip(gateway)}:{self.ports[0]}/{route}/x"
            async with self.session.request(
                method, url, headers=headers, timeout=aiohttp.ClientTimeout(patience)
            ) as answer:
                await answer.read()
                status, wait = answer.status, float(answer.headers.get("Retry-After", "0"))
        except (aiohttp.ClientError, TimeoutError):
            status = 0
        return Answered(tenant, gateway, began, time.monotonic() - began, status, wait)

    def ran(self) -> dict[str, int]:
        """How often backends ran each try."""
        runs: dict[str, int] = {}
        for backend in self.backends:
            for name, count in backend.ran.items():
                runs[name] = runs.get(name, 0) + count
        return runs
