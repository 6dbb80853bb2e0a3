"""Assembles, starts and stops the parts of a gateway process."""

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
from embersill.net.backend_pool import Pool
from embersill.net.clients import SLOW_REQUEST_TIMEOUT_S, Front
from embersill.net.counter import Counter
from embersill.net.discovery import Discovery
from embersill.net.driver import Decider, Driver
from embersill.pacing import DiscoveryPacing

if TYPE_CHECKING:
    from embersill.service.running import Operations

RESERVED_DESCRIPTORS = 64  # for the listener, discovery, the counter, and the run-time itself
MAX_RESERVED_SHARE = 0.25  # of all descriptors
CLIENTS_PART = 0.6  # of the other descriptors: more than half, as held requests need none for a backend
BODY_MEMORY_SHARE = 0.3  # of the memory, for long bodies: a successor process may need as much for a while
FIRST_LIST_TIMEOUT_S = 1.0  # for discovery's first answer, after which the remembered list is used
ACCEPT_AFTER_SIGTERM_S = 0.5  # a little longer than clients may still connect by the protocol
ANSWERED_AFTER_SIGTERM_S = 3.4  # by which every request is answered: SIGKILL may follow 0.3 s later
LAST_READ_S = 0.15  # for requests already sent on the connections accepted last
LAST_WRITE_S = 0.25  # for clients to read what was written to them

log = logging.getLogger("embersill")


def start_clock() -> Callable[[], float]:
    """A clock of Unix time that never jumps; all gateways time periods and backends' starts by it."""
    began = time.time() - time.monotonic()
    monotonic = time.monotonic
    return lambda: began + monotonic()


class Runnable(Protocol):
    """A program that can be started, made to reload its configuration, and stopped."""

    async def start(self) -> None:
        """Begins to serve."""
        ...

    async def stop(self) -> None:
        """Finishes the work in progress and ends."""
        ...

    def reload(self) -> None:
        """Reads the configuration again."""
        ...


async def run_until_signal(program: Runnable) -> None:
    """Starts a program, stops it gracefully on SIGTERM or SIGINT, and reloads its configuration on SIGHUP."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    await program.start()
    gc.freeze()  # the objects made at start-up live on: later collections skip them
    await stop.wait()
    await program.stop()


async def wait_first_list(discovery: Discovery) -> None:
    """Waits for discovery's first list, but no longer than FIRST_LIST_TIMEOUT_S."""
    try:
        async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
            await discovery.answered.wait()
    except TimeoutError:
        pass


class Program:
    """A gateway process."""

    def __init__(
        self,
        config: Configuration,
        clock: Callable[[], float] | None = None,
        decider: Decider | None = None,
        counts: bool = False,
    ) -> None:
        """Without a `decider` a new Gateway decides. With one, `counts` says whether it uses the counter."""
        clock = clock or start_clock()
        self.loop = asyncio.get_running_loop()
        free = config.sockets - min(RESERVED_DESCRIPTORS, int(config.sockets * MAX_RESERVED_SHARE))
        clients = int(free * CLIENTS_PART)
        self.pool = Pool(clock, config.limits.dial_timeout, config.limits.keepalive, free - clients)
        decides = decider or Gateway(config.settings, config.seed, clock())
        self.driver = Driver(decides, clock, self.pool)
        if config.counter is not None and (counts or decider is None):
            self.driver.counter = Counter(
                clock,
                config.counter,
                config.settings.counter_patience,
                config.limits.dial_timeout,
                self.driver.on_counted,
            )
        self.driver.list_told(config.known)
        pace = DiscoveryPacing(config.settings.list_pushed, config.settings.gateways, config.seed)
        self.discovery = Discovery(
            config.discovery,
            config.limits.dial_timeout,
            self.driver.list_told,
            pace,
            config.known.generation,
        )
        self.front = Front(self.driver, config.settings, clock, clients, self.serves)
        self.listen, self.settings = config.listen, config.settings
        self.file_addresses = config.discovery_in_file, config.counter
        self.settled = False  # discovery has answered, or the wait for it is over
        self.operator = config.operator
        self.operations: Operations | None = None
        if config.operator is not None:
            from embersill.service.running import Operations  # only where the configuration names an address

            avoided = decides.avoided if isinstance(decides, Gateway) else lambda: 0
            self.operations = Operations(self, config.name, avoided)
            self.front.shares, self.front.request_timeout = True, SLOW_REQUEST_TIMEOUT_S
            self.pool.enable_streaming()
            self.front.body_room_total = self.front.body_room_free = int(config.memory * BODY_MEMORY_SHARE)

    def serves(self) -> bool:
        """Whether it is ready: the list is settled and at least one backend serves."""
        return self.settled and bool(self.driver.serving)

    async def run(self) -> None:
        """Runs until a signal ends it."""
        await run_until_signal(self)

    async def start(self) -> None:
        """Listens, and waits for a usable list of backends."""
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
        """Uses the addresses of discovery and counter that the file has now; ignores an invalid file."""
        try:
            fresh = read_configuration(dict(os.environ))
        except BadConfiguration as error:
            return log.warning("the configuration stays as it was: %s", error)
        # an address from the environment holds until the one in the file changes, which is then the newer
        before, self.file_addresses = self.file_addresses, (fresh.discovery_in_file, fresh.counter)
        if fresh.discovery_in_file is not None and fresh.discovery_in_file != before[0]:
            self.discovery.move(fresh.discovery_in_file)
        counter = self.driver.counter
        if counter is not None and fresh.counter is not None and fresh.counter != before[1]:
            counter.move(fresh.counter)
        return None

    async def stop(
        self, still_coming: float = ACCEPT_AFTER_SIGTERM_S, all_answered: float = ANSWERED_AFTER_SIGTERM_S
    ) -> None:
        """Accepts requests that still come, answers all of them, and closes everything."""
        self.front.stopping = True
        if self.operations is not None and self.operations.succeeded():
            still_coming = 0.0  # new clients connect to the successor process
        await asyncio.sleep(still_coming)
        self.front.stop_listening()
        await asyncio.sleep(LAST_READ_S)
        self.front.close_idle()
        if not await self.driver.wait_answered(all_answered - still_coming - LAST_READ_S):
            self.driver.fail_unanswered()
        self.front.close_idle()
        await self.front.wait_drained(LAST_WRITE_S)
        self.front.close()
        if self.operations is not None:
            self.operations.close()
        self.discovery.stop()
        self.pool.close()
        if self.driver.counter is not None:
            self.driver.counter.close()
