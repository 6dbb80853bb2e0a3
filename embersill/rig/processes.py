"""Processes of a deployment: started, stopped, killed, starved, and what they write about themselves."""

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

TICKS = os.sysconf("SC_CLK_TCK")
MOST_LOG = 200  # lines of a process's log that are kept
LISTENING = (10_000, 32_768)  # ports that processes of a deployment are given
HALT_POLL_SECONDS = 0.001  # how often a halted process is looked at until it stands still
HALTED_STATES = ("T", "Z", "X")  # stopped by a signal, ended, gone: see proc(5)
STARVED_EVERY = 0.1  # seconds: a starved process runs for a part of each of these


class Member:
    """One process of the deployment."""

    def __init__(self, name: str, role: str, command: list[str], environ: dict[str, str]) -> None:
        self.name, self.role, self.command, self.environ = name, role, command, environ
        self.on_status: Callable[[Member], None] = lambda member: None
        self.on_refusal: Callable[[Member, dict[str, Any]], None] = lambda member, told: None
        self.lives = 0
        self.process: asyncio.subprocess.Process | None = None
        self.status: dict[str, Any] = {}
        self.log: list[str] = []
        self.readers: list[asyncio.Task[None]] = []
        self.stopped = False
        self.spent = 0.0  # seconds of processor time of earlier lives

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            *self.command, env=self.environ, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
        )
        self.lives += 1
        self.stopped, self.status = False, {}  # what an earlier life said counts no more
        assert self.process.stdout is not None and self.process.stderr is not None
        self.readers = [
            asyncio.create_task(self.read(self.process.stdout, True)),
            asyncio.create_task(self.read(self.process.stderr, False)),
        ]

    async def read(self, stream: asyncio.StreamReader, status: bool) -> None:
        while line := await stream.readline():
            text = line.decode(errors="replace").rstrip()
            if status and text.startswith('{"refusal"'):
                self.on_refusal(self, json.loads(text))
            elif status and text.startswith("{"):
                self.status = json.loads(text)
                self.on_status(self)
            elif len(self.log) < MOST_LOG:
                self.log.append(text)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        if self.running:
            assert self.process is not None
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.spent += self.cpu()
        self.send(signal.SIGKILL)
        await self.ended()

    async def stand(self, seconds: float) -> None:
        """Stops the process where it stands, and lets it go on: what it was about to do, it does then."""
        self.halt()
        try:
            await asyncio.sleep(seconds)
        finally:
            self.go_on()

    def halt(self) -> None:
        self.send(signal.SIGSTOP)
        self.stopped = True

    async def starve(self, seconds: float, share: float) -> None:
        """For so long it runs a `share` of the time only, as on a crowded machine."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end and self.running:
            await self.stand(STARVED_EVERY * (1.0 - share))
            await asyncio.sleep(STARVED_EVERY * share)

    @contextlib.asynccontextmanager
    async def held(self) -> AsyncIterator[None]:
        """Keeps the process from running: within the block none of its files change."""
        if not self.running or self.stopped:
            yield
            return
        assert self.process is not None
        self.halt()
        try:
            while self.running and process_state(self.process.pid) not in HALTED_STATES:
                await asyncio.sleep(HALT_POLL_SECONDS)
            yield
        finally:
            self.go_on()

    def go_on(self) -> None:
        self.stopped = False
        with contextlib.suppress(ProcessLookupError):
            self.send(signal.SIGCONT)

    def finish(self) -> None:
        """Ends it at once, whatever it does."""
        with contextlib.suppress(ProcessLookupError):
            self.send(signal.SIGKILL)

    async def ended(self) -> int:
        assert self.process is not None
        code = await self.process.wait()
        for reader in self.readers:
            await reader
        return code

    def cpu(self) -> float:
        """Seconds of processor time of this life."""
        if not self.running:
            return 0.0
        assert self.process is not None
        return sum(processor_time(self.process.pid))


def process_state(pid: int) -> str:
    """The state letter of a process as in proc(5); `X` for one that is gone."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0]
    except (FileNotFoundError, ProcessLookupError):
        return "X"


def processor_time(pid: int) -> tuple[float, float]:
    """Seconds of processor time of a process so far: user and system."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return int(fields[11]) / TICKS, int(fields[12]) / TICKS


def resident_kb(pid: int) -> int:
    """Memory that a process holds now."""
    with open(f"/proc/{pid}/status") as file:
        return int(next(line for line in file if line.startswith("VmRSS")).split()[1])


def first_ephemeral() -> int:
    """The first port that the system gives to whoever dials."""
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            return int(file.read().split()[0])
    except (OSError, ValueError, IndexError):
        return LISTENING[1]


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on now: closed again only once all are found.

    They are drawn from below those of connections that are dialled: a process that listens on one only some
    time later, or again after a while, would find it taken now and then.
    """
    least, most = LISTENING[0], max(min(LISTENING[1], first_ephemeral()), LISTENING[0] + 1000)
    held: list[socket.socket] = []
    while len(held) < count:
        sock = socket.socket()
        try:
            sock.bind((HOST, random.SystemRandom().randrange(least, most)))
        except OSError:
            sock.close()
            continue
        held.append(sock)
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports
