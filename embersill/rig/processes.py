"""Child processes of a test deployment: start, signals, CPU starvation, and the lines that they print."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

from embersill.rig.standins import HOST

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MAX_LOG_LINES = 200  # per process; further lines are dropped
LISTEN_PORT_RANGE = (10_000, 32_768)  # for the listening sockets of a deployment's processes
STOP_POLL_INTERVAL_S = 0.001
STOPPED_STATES = ("T", "Z", "X")  # stopped by a signal, ended, gone: see proc(5)
STARVE_PERIOD_S = 0.1  # a starved process runs for a share of each period


class Member:
    """One process of the deployment, across restarts."""

    def __init__(self, name: str, role: str, command: list[str], environ: dict[str, str]) -> None:
        self.name, self.role, self.command, self.environ = name, role, command, environ
        self.on_status: Callable[[Member], None] = lambda member: None
        self.on_refusal: Callable[[Member, dict[str, Any]], None] = lambda member, line: None
        self.start_count = 0
        self.process: asyncio.subprocess.Process | None = None
        self.status: dict[str, Any] = {}
        self.log: list[str] = []
        self.readers: list[asyncio.Task[None]] = []
        self.suspended = False
        self.earlier_cpu_s = 0.0  # CPU time of earlier runs

    async def start(self) -> None:
        """Starts the process, or starts it again, and begins to read what it prints."""
        self.process = await asyncio.create_subprocess_exec(
            *self.command, env=self.environ, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
        )
        self.start_count += 1
        self.suspended, self.status = False, {}  # an earlier run's status no longer holds
        assert self.process.stdout is not None and self.process.stderr is not None
        self.readers = [
            asyncio.create_task(self.read(self.process.stdout, True)),
            asyncio.create_task(self.read(self.process.stderr, False)),
        ]

    async def read(self, stream: asyncio.StreamReader, status: bool) -> None:
        """Reads lines to the end of the stream: JSON reports where `status` is set, log lines otherwise."""
        while line := await stream.readline():
            text = line.decode(errors="replace").rstrip()
            if status and text.startswith('{"refusal"'):
                self.on_refusal(self, json.loads(text))
            elif status and text.startswith("{"):
                self.status = json.loads(text)
                self.on_status(self)
            elif len(self.log) < MAX_LOG_LINES:
                self.log.append(text)

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal, if the process runs."""
        if self.running:
            assert self.process is not None
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the end; its CPU time is added to that of earlier runs."""
        self.earlier_cpu_s += self.cpu_seconds()
        self.send(signal.SIGKILL)
        await self.wait_exit()

    async def pause(self, seconds: float) -> None:
        """Suspends the process for so long; it then continues with what it was about to do."""
        self.suspend()
        try:
            await asyncio.sleep(seconds)
        finally:
            self.resume()

    def suspend(self) -> None:
        """Sends SIGSTOP."""
        self.send(signal.SIGSTOP)
        self.suspended = True

    async def starve(self, seconds: float, share: float) -> None:
        """Lets the process run only a `share` of the time for `seconds`, as on an overloaded machine."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end and self.running:
            await self.pause(STARVE_PERIOD_S * (1.0 - share))
            await asyncio.sleep(STARVE_PERIOD_S * share)

    @contextlib.asynccontextmanager
    async def while_suspended(self) -> AsyncIterator[None]:
        """Keeps the process from running, so that none of its files change within the block."""
        if not self.running or self.suspended:
            yield
            return
        assert self.process is not None
        self.suspend()
        try:
            while self.running and process_state(self.process.pid) not in STOPPED_STATES:
                await asyncio.sleep(STOP_POLL_INTERVAL_S)
            yield
        finally:
            self.resume()

    def resume(self) -> None:
        """Sends SIGCONT, if the process still exists."""
        self.suspended = False
        with contextlib.suppress(ProcessLookupError):
            self.send(signal.SIGCONT)

    def kill_now(self) -> None:
        """Sends SIGKILL without waiting for the end."""
        with contextlib.suppress(ProcessLookupError):
            self.send(signal.SIGKILL)

    async def wait_exit(self) -> int:
        """Waits until the process has ended and its output is read; returns the exit code."""
        assert self.process is not None
        code = await self.process.wait()
        for reader in self.readers:
            await reader
        return code

    def cpu_seconds(self) -> float:
        """CPU time of the current run, in seconds."""
        if not self.running:
            return 0.0
        assert self.process is not None
        return sum(processor_time(self.process.pid))


def process_state(pid: int) -> str:
    """State letter of a process as in proc(5); `X` if the process is gone."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0]
    except (FileNotFoundError, ProcessLookupError):
        return "X"


def processor_time(pid: int) -> tuple[float, float]:
    """CPU time of a process so far in seconds: user and system."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return int(fields[11]) / CLOCK_TICKS_PER_S, int(fields[12]) / CLOCK_TICKS_PER_S


def resident_kb(pid: int) -> int:
    """Resident memory of a process, in KiB."""
    with open(f"/proc/{pid}/status") as file:
        return int(next(line for line in file if line.startswith("VmRSS")).split()[1])


def first_ephemeral_port() -> int:
    """First port of the range that the system assigns to outgoing connections."""
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            return int(file.read().split()[0])
    except (OSError, ValueError, IndexError):
        return LISTEN_PORT_RANGE[1]


def free_ports(count: int) -> list[int]:
    """Distinct ports without a listener; their sockets are closed only once all are found.

    The ports lie below the range of outgoing connections: a process that begins to listen on its port later,
    or again after a restart, would otherwise sometimes find it taken.
    """
    lowest, highest = (
        LISTEN_PORT_RANGE[0],
        max(min(LISTEN_PORT_RANGE[1], first_ephemeral_port()), LISTEN_PORT_RANGE[0] + 1000),
    )
    held: list[socket.socket] = []
    while len(held) < count:
        sock = socket.socket()
        try:
            sock.bind((HOST, random.SystemRandom().randrange(lowest, highest)))
        except OSError:
            sock.close()
            continue
        held.append(sock)
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports
