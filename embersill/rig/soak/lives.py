"""Lives of the gateways of a soak: signals that overlap, and a platform that starts what has ended."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import shutil
import signal
import socket
from collections.abc import Callable

from embersill.rig.gateway_cluster import GatewayCluster
from embersill.rig.soak.record import Exit

START_AGAIN = 0.2  # seconds from a process's end to its next start
READY_WITHIN = 20.0  # seconds for one that has started
LOOK_EVERY = 0.05  # seconds
STARTING = 3.0  # seconds that a process may take until it handles signals
HANDLES_POLL_S = 0.001


class Life:
    """One gateway: whatever ends its process, it is started again."""

    def __init__(
        self, gateway_cluster: GatewayCluster, number: int, exits: list[Exit], clock: Callable[[], float]
    ) -> None:
        self.gateway_cluster, self.number, self.exits, self.clock = gateway_cluster, number, exits, clock
        self.member = gateway_cluster.gateways[number]
        self.started_at = -STARTING
        self.told_to_end = self.wipes = self.overdue = self.closing = False
        self.watching = asyncio.create_task(self.watch())

    async def watch(self) -> None:
        """Waits for the end of each process, notes it, and starts the next."""
        while not self.closing:
            code = await self.member.wait_exit()
            if self.closing:
                return
            wanted = self.told_to_end and code in self.codes_of_an_end()
            self.exits.append(Exit(self.number, self.clock(), code, wanted, self.overdue))
            if self.wipes:
                shutil.rmtree(self.gateway_cluster.folder / f"g{self.number}", ignore_errors=True)
            self.told_to_end = self.wipes = self.overdue = False
            await asyncio.sleep(START_AGAIN)
            self.started_at = self.clock()
            await self.member.start()

    def codes_of_an_end(self) -> tuple[int, ...]:
        """Exit codes of a process that was told to end; before it has set up, SIGTERM itself ends it."""
        starting = self.clock() - self.started_at < STARTING
        return (0, -signal.SIGKILL, -signal.SIGTERM) if starting else (0, -signal.SIGKILL)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process there is."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.told_to_end = True
        self.member.send(number)

    async def hang_up(self) -> None:
        """Sends SIGHUP; to a process that starts, as soon as its program takes the signal.

        Before the program's first line SIGHUP ends any process, whatever the program does. A program that
        does not take it within STARTING seconds gets it all the same.
        """
        end = self.clock() + STARTING
        while self.clock() < end and self.member.running:
            assert self.member.process is not None
            if takes_signal(self.member.process.pid, signal.SIGHUP):
                break
            await asyncio.sleep(HANDLES_POLL_S)
        self.signal(signal.SIGHUP)

    def kill(self, wipes: bool = False) -> None:
        """Ends the process at once; `wipes`: it comes back without its disk."""
        self.wipes = self.wipes or wipes
        self.signal(signal.SIGKILL)

    async def hold_port(self, seconds: float) -> None:
        """Ends the process, and listens at its port for so long: it can't start again until that is over."""
        self.kill()  # a start meanwhile waits for the address
        address = self.gateway_cluster.ip(self.number), self.gateway_cluster.ports[0]
        with socket.socket() as held:
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            while not bound(held, address):
                await asyncio.sleep(LOOK_EVERY / 5)
            held.listen()
            await asyncio.sleep(seconds)

    async def fill_disk(self, seconds: float) -> None:
        """The process can't write to any file for so long."""
        process = self.member.process
        if process is None or not self.member.running:
            return
        before = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, before[1]))
        await asyncio.sleep(seconds)
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, before)

    async def terminate(self, grace: float) -> None:
        """SIGTERM, and SIGKILL if the process is still there after the grace."""
        ended, began = self.member.start_count, self.clock()
        self.signal(signal.SIGTERM)
        while self.member.start_count == ended and self.member.running:
            if self.clock() - began > grace:
                self.overdue = True
                return self.kill()
            await asyncio.sleep(LOOK_EVERY)
        return None

    async def until_ready(self, life: int) -> None:
        """Waits until a life after this one is ready."""
        end = self.clock() + READY_WITHIN
        while self.clock() < end:
            if self.member.start_count > life and await self.gateway_cluster.is_ready(self.number):
                return
            await asyncio.sleep(LOOK_EVERY)


def takes_signal(pid: int, number: signal.Signals) -> bool:
    """True if a process blocks, ignores or handles a signal, so that it is not ended by it; see proc(5)."""
    try:
        with open(f"/proc/{pid}/status") as file:
            fields = dict(line.split(":", 1) for line in file)
    except (FileNotFoundError, ProcessLookupError):
        return False
    masks = (int(fields[name], 16) for name in ("SigBlk", "SigIgn", "SigCgt"))
    return any(mask >> (number - 1) & 1 for mask in masks)


def bound(sock: socket.socket, address: tuple[str, int]) -> bool:
    """True if the socket has the address now; False while another has it."""
    try:
        sock.bind(address)
    except OSError:
        return False
    return True
