"""A cluster of whole gateways as processes on loopback, with self-registering backends and an operator.

Each gateway has its own address (127.0.0.N) and the same ports, as machines have. Backends, clients and the
operator live in the process that opens the cluster, so that one clock times all events.
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

CORE_GATEWAYS = 3  # gateways with a disk, the first ones
ZONES = "north", "south", "east"
HEARTBEAT_INTERVAL_S = 1.0  # between a backend's reports
BACKEND_SLOTS = 8  # requests that a backend runs at a time
READY_TIMEOUT_S = 20.0  # for all gateways to become ready
CONTROL_TIMEOUT_S = 3.0  # for one call of the control API


@dataclass(frozen=True, slots=True)
class RequestResult:
    """How a client's request ended, as the client saw it."""

    tenant: str
    gateway: int
    sent_at: float
    duration_s: float
    status: int  # 0 without an answer
    retry_after_s: float


class Backend:
    """A backend: runs requests for a drawn time, seals its answers and registers itself with heartbeats."""

    def __init__(self, cluster: GatewayCluster, number: int) -> None:
        self.cluster, self.name, self.zone = cluster, f"i-{number}", ZONES[number % len(ZONES)]
        self.slots = asyncio.Semaphore(BACKEND_SLOTS)
        self.running = self.waiting = self.call_sequence = 0
        self.run_counts: dict[str, int] = {}  # by X-Attempt-Id
        self.address = ""

    async def start(self) -> None:
        """Listens and begins to send heartbeats."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.serve)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self.runner.addresses[0][1]}"
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    async def serve(self, request: web.Request) -> web.Response:
        """Runs a request, or answers 421 if it was meant for another instance."""
        attempt = request.headers.get("X-Attempt-Id", "")
        if request.headers.get("X-Expected-Instance", self.name) != self.name:
            return web.Response(status=421, headers={"X-Attempt-Id": attempt, "X-Request-Not-Executed": "1"})
        body = await request.read()
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.run_counts[attempt] = self.run_counts.get(attempt, 0) + 1
            await asyncio.sleep(self.cluster.rng.uniform(*self.cluster.work))
            self.running -= 1
        return web.Response(
            body=body or b"whole",
            headers={
                "X-Attempt-Id": attempt,
                "X-Backend-Seal": self.name,
                "X-Backend-Load": f"{self.running},{self.waiting},{BACKEND_SLOTS}",
            },
        )

    async def send_heartbeats(self) -> None:
        """Reports to one gateway, and changes to another if a report is not acknowledged."""
        gateway = self.cluster.rng.randrange(self.cluster.size)
        while True:
            acknowledged = await self.report_state(gateway, "ready")
            if not acknowledged:
                gateway = self.cluster.rng.randrange(self.cluster.size)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if acknowledged else 0.1)

    async def report_state(self, gateway: int, state: str) -> bool:
        """Reports its state, ready or draining, to one gateway; True if that was acknowledged."""
        self.call_sequence += 1
        report = {
            "service": "s",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity_slots": BACKEND_SLOTS,
            "state": state,
            "warmup_remaining_s": 0,
            "call_sequence": self.call_sequence,
        }
        status, _ = await self.cluster.control(gateway, "PUT", f"/api/instances/{self.name}", report)
        return status == 200

    async def stop(self) -> None:
        """Stops heartbeats and serving."""
        self.heartbeat_task.cancel()
        await self.runner.cleanup()


class GatewayCluster:
    """`async with GatewayCluster(...)` starts all, sends the configuration and waits for every gateway."""

    def __init__(
        self,
        folder: Path,
        size: int = 5,
        backends: int = 6,
        seed: int = 1,
        tenants: Mapping[str, tuple[float, float]] | None = None,
        work: tuple[float, float] = (0.02, 0.06),
        make_backend: Callable[[GatewayCluster, int], Backend] | None = None,
        grace: float = 3.0,
        environ: Mapping[str, str] | None = None,
    ) -> None:
        """`folder`: for settings and disks. `tenants`: rate and burst by name; the API key is the name.

        `work`: range of seconds that a backend takes. `make_backend`: makes a backend of another class.
        `environ`: additional variables for the gateways' processes.
        `grace`: seconds from SIGTERM to the platform's SIGKILL, as in the gateways' settings.
        """
        self.grace, self.environ = grace, dict(environ or {})
        self.folder, self.size, self.work = folder, size, work
        self.tenants = dict(tenants or {"t": (50.0, 50.0)})
        self.rng = random.Random(seed)
        self.ports = free_ports(4)
        make = make_backend or Backend
        self.backends = [make(self, number) for number in range(backends)]
        self.gateways = [self.make_process(number) for number in range(size)]
        self.request_count = 0

    def ip(self, number: int) -> str:
        """Address of a gateway."""
        return f"127.0.0.{number + 1}"

    def make_process(self, number: int) -> Member:
        """A gateway's process, not started yet."""
        environ = {
            **os.environ,
            **self.environ,
            "EMBERSILL_CONFIG": str(self.write_settings(number, first=True)),
        }
        return Member(f"g{number}", "gateway", [sys.executable, "-m", "embersill.edge"], environ)

    def write_settings(self, number: int, first: bool) -> Path:
        """Writes a gateway's settings file; `first`: the system has never been started before."""
        ip, is_core = self.ip(number), number < CORE_GATEWAYS
        front, ready, control, links = self.ports
        local: dict[str, Any] = {
            "node_name": f"g{number}",
            "ip_address": ip,
            "zone": ZONES[number % len(ZONES)],
            "first_start": first,
            "counts_toward_quorum": is_core,
            "heartbeat_interval_s": HEARTBEAT_INTERVAL_S,
            "listen_addresses": {
                "front_http": f"{ip}:{front}",
                "readiness": f"{ip}:{ready}",
                "control_plane": f"{ip}:{control}",
            },
            "internal_port_range": [links, links],
            "seed_nodes": [f"{self.ip(n)}:{control}" for n in range(min(CORE_GATEWAYS, self.size))],
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
        if is_core:
            local["data_directory"] = str(self.folder / f"g{number}")
        path = self.folder / f"g{number}.json"
        path.write_text(json.dumps(local))
        return path

    async def __aenter__(self) -> GatewayCluster:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        try:
            await asyncio.gather(*(gateway.start() for gateway in self.gateways))
            await asyncio.gather(*(backend.start() for backend in self.backends))
            await self.wait_ready()
            for number in range(self.size):  # for restarts
                self.write_settings(number, first=False)
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Kills the gateways and stops the backends."""
        for gateway in self.gateways:
            gateway.kill_now()
        await asyncio.gather(*(g.wait_exit() for g in self.gateways if g.process is not None))
        await asyncio.gather(*(b.stop() for b in self.backends if b.address))
        await self.session.close()

    async def wait_ready(self) -> None:
        """Sends the configuration and waits for readiness; raises TimeoutError."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while (await self.control(0, "PUT", "/api/configuration", self.configuration()))[0] != 200:
                await asyncio.sleep(0.1)
            for number in range(self.size):
                while not await self.is_ready(number):
                    await asyncio.sleep(0.05)

    async def is_ready(self, number: int) -> bool:
        """Whether a gateway answers that it is ready."""
        try:
            async with self.session.get(f"http://{self.ip(number)}:{self.ports[1]}/api/readiness") as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    def configuration(self, version: int = 1, based_on: int = 0) -> dict[str, Any]:
        """A configuration document with an idempotent and a non-idempotent route."""
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
        """Calls the control API: returns the status, 0 without an answer, and the answer's JSON."""
        url, timeout = (
            f"http://{self.ip(gateway)}:{self.ports[2]}{path}",
            aiohttp.ClientTimeout(CONTROL_TIMEOUT_S),
        )
        try:
            async with self.session.request(method, url, json=body, timeout=timeout) as answer:
                return answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, None

    async def send_request(
        self, tenant: str, gateway: int, route: str = "ask", timeout_s: float = 2.0, fresh: bool = False
    ) -> RequestResult:
        """Sends one request as a client, over a kept connection or, with `fresh`, over a new one."""
        self.request_count += 1
        headers = {
            "Host": "hall.example",
            "X-Key": tenant,
            "X-Attempt-Id": f"a{self.request_count}",
            "X-Deadline-Remaining-Ms": f"{timeout_s * 1000:.0f}",
        }
        if fresh:
            headers["Connection"] = "close"
        method = "GET" if route == "ask" else "POST"
        began = time.monotonic()
        status, retry_after_s = 0, 0.0
        try:
            url = f"http://{self.ip(gateway)}:{self.ports[0]}/{route}/x"
            async with self.session.request(
                method, url, headers=headers, timeout=aiohttp.ClientTimeout(timeout_s)
            ) as answer:
                await answer.read()
                status, retry_after_s = answer.status, float(answer.headers.get("Retry-After", "0"))
        except (aiohttp.ClientError, TimeoutError):
            status = 0
        return RequestResult(tenant, gateway, began, time.monotonic() - began, status, retry_after_s)

    def run_counts(self) -> dict[str, int]:
        """How often backends ran each request, by attempt id."""
        counts: dict[str, int] = {}
        for backend in self.backends:
            for name, count in backend.run_counts.items():
                counts[name] = counts.get(name, 0) + count
        return counts
