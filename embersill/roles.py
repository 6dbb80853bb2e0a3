"""The parts of a process, put together by role, from start to stop."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from embersill.configuration.platform import BadConfiguration, Configuration, read_configuration
from embersill.control import Gateway
from embersill.net.backends import Pool
from embersill.net.clients import SLOW_WITHIN, Front
from embersill.net.counter import Counter
from embersill.net.discovery import Discovery
from embersill.net.driver import Decider, Driver
from embersill.pacing import DiscoveryPacing

if TYPE_CHECKING:
    from embersill.service.running import Operations

RESERVE = 64  # descriptors kept for the listener, discovery, the counter, and what the run-time itself needs
RESERVE_PART = 0.25  # of the descriptors, at most, that this may be
CLIENTS_PART = 0.6  # of the other descriptors: held requests need none at the backends' side
BODIES_PART = 0.3  # of the memory, for long bodies: a process that follows may need as much for a while
FIRST_LIST_WITHIN = 1.0  # seconds to wait for discovery's own word before the remembered list must do
STILL_COMING = 0.5  # seconds after SIGTERM in which clients still connect, by the protocol, and a little
ALL_ANSWERED = 3.4  # seconds after SIGTERM by which all is answered: it may be killed 0.3 s later
LAST_READ = 0.15  # seconds in which the last connections taken in bring what was already sent on them
LAST_BYTES = 0.25  # seconds for clients to take what was written to them

log = logging.getLogger("embersill")


def start_clock() -> Callable[[], float]:
    """Unix time that never jumps: periods and backends' starts are told by it at every gateway alike."""
    began = time.time() - time.monotonic()
    monotonic = time.monotonic
    return lambda: began + monotonic()


class Runs(Protocol):
    """Whatever is started, told to read its configuration again, and stopped."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def reload(self) -> None: ...


async def run_until_told(program: Runs) -> None:
    """Starts a program, and stops it in order on SIGTERM; SIGHUP has it read its configuration again."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    await program.start()
    gc.freeze()  # what start-up made stays: no need to look through it again
    await stop.wait()
    await program.stop()


async def wait_first_list(discovery: Discovery) -> None:
    """Until discovery has given a list of its own, or the remembered one must do."""
    try:
        async with asyncio.timeout(FIRST_LIST_WITHIN):
            await discovery.answered.wait()
    except TimeoutError:
        pass


class Program:
    """The parts of one gateway, from start to stop."""

    def __init__(
        self,
        told: Configuration,
        clock: Callable[[], float] | None = None,
        decider: Decider | None = None,
        counts: bool = False,
    ) -> None:
        """With no `decider` the module decides here. With one, `counts` says if it uses the counter."""
        clock = clock or start_clock()
        self.loop = asyncio.get_running_loop()
        free = told.sockets - min(RESERVE, int(told.sockets * RESERVE_PART))
        clients = int(free * CLIENTS_PART)
        self.pool = Pool(clock, told.limits.dial_timeout, told.limits.keepalive, free - clients)
        decides = decider or Gateway(told.settings, told.seed, clock())
        self.driver = Driver(decides, clock, self.pool)
        if told.counter is not None and (counts or decider is None):
            self.driver.counter = Counter(
                clock,
                told.counter,
                told.settings.counter_patience,
                told.limits.dial_timeout,
                self.driver.on_counted,
            )
        self.driver.list_told(told.known)
        pace = DiscoveryPacing(told.settings.list_pushed, told.settings.gateways, told.seed)
        self.discovery = Discovery(
            told.discovery, told.limits.dial_timeout, self.driver.list_told, pace, told.known.generation
        )
        self.front = Front(self.driver, told.settings, clock, clients, self.serves)
        self.listen, self.settings = told.listen, told.settings
        self.filed = told.discovery_filed, told.counter
        self.settled = False  # the list is discovery's own, or as good as can be had
        self.operator = told.operator
        self.operations: Operations | None = None
        if told.operator is not None:
            from embersill.service.running import Operations  # only where the platform names its address

            avoided = decides.avoided if isinstance(decides, Gateway) else lambda: 0
            self.operations = Operations(self, told.name, avoided)
            self.front.shares, self.front.read_within = True, SLOW_WITHIN
            self.pool.enable_streaming()
            self.front.room_in_all = self.front.room = int(told.memory * BODIES_PART)

    def serves(self) -> bool:
        return self.settled and bool(self.driver.serving)

    async def run(self) -> None:
        await run_until_told(self)

    async def start(self) -> None:
        if self.operations is not None:
            self.operations.begin()
            await self.operations.start()
        self.front.listen(self.listen)
        self.discovery.start()
        if self.settings.list_pushed or not self.driver.serving:
            await wait_first_list(self.discovery)
        self.settled = True
        if self.operations is not None:
            self.operations.serving()

    def reload(self) -> None:
        """Moves discovery and counter to where the file says now; without a usable file nothing changes."""
        try:
            fresh = read_configuration(dict(os.environ))
        except BadConfiguration as error:
            return log.warning("the configuration stays as it was: %s", error)
        # an address in the environment holds until the file's own is changed: that is the later word
        before, self.filed = self.filed, (fresh.discovery_filed, fresh.counter)
        if fresh.discovery_filed is not None and fresh.discovery_filed != before[0]:
            self.discovery.move(fresh.discovery_filed)
        counter = self.driver.counter
        if counter is not None and fresh.counter is not None and fresh.counter != before[1]:
            counter.move(fresh.counter)
        return None

    async def stop(self, still_coming: float = STILL_COMING, all_answered: float = ALL_ANSWERED) -> None:
        """Takes what still comes, answers all of it, and leaves nothing behind."""
        self.front.stopping = True
        if self.operations is not None and self.operations.succeeded():
            still_coming = 0.0  # new clients come to the process that follows
        await asyncio.sleep(still_coming)
        self.front.stop_listening()
        await asyncio.sleep(LAST_READ)
        self.front.close_idle()
        if not await self.driver.wait_answered(all_answered - still_coming - LAST_READ):
            self.driver.fail_unanswered()
        self.front.close_idle()
        await self.front.wait_drained(LAST_BYTES)
        self.front.close()
        if self.operations is not None:
            self.operations.close()
        self.discovery.stop()
        self.pool.close()
        if self.driver.counter is not None:
            self.driver.counter.close()
