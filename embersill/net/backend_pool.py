"""The pool of all connections to backends: dials, reuse of idle connections, and their limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from embersill.interface import Outcome
from embersill.net.attempt import Attempt, Dialect
from embersill.net.backends import MAX_BODY_BYTES, BackendConnection, Endpoint
from embersill.net.call_dialect import CallDialect
from embersill.net.deadlines import Deadlines

MAX_STREAM_BYTES = 32 * 1024 * 1024  # of a response's body if those over 64 KiB are streamed
MIN_IDLE_S = 0.01  # before a connection is reused: surplus data behind a response shows by then
IDLE_LIMIT_SHARE = 0.5  # of the backends' idle limit: connections are closed here well before that
MIN_IDLE_LIMIT_S = 0.05  # lower bound of the idle limit, however many idle connections turn out dead
IDLE_DECREASE, IDLE_INCREASE = 0.7, 1.01  # factors on the idle limit for a dead connection and a live one
MIN_LEFT_S = 0.001  # least time that a backend is told to be left
SWEEP_INTERVAL_S = 1.0  # between checks for idle connections


class Pool:
    """All connections to backends: at most `most`, including dials in progress."""

    def __init__(
        self,
        clock: Callable[[], float],
        dial_timeout: float,
        keepalive: float,
        most: int,
        dialect: Dialect | None = None,
    ) -> None:
        self.clock, self.dial_timeout, self.most = clock, dial_timeout, most
        self.dialect: Dialect = dialect or CallDialect()
        self.streams, self.most_body = False, MAX_BODY_BYTES
        self.idle_limit = self.most_idle = keepalive * IDLE_LIMIT_SHARE
        self.loop = asyncio.get_running_loop()
        self.deadlines = Deadlines(self.loop, lambda: self.clock())
        self.endpoints: dict[str, Endpoint] = {}
        self.connections: set[BackendConnection] = set()
        self.dialling: dict[Attempt, Endpoint] = {}
        self.tries = 0  # attempts of which any part was sent
        self.lost_sending = 0  # of these, lost with the connection while a part was unsent
        self.lost_waiting = 0  # the same with all of it sent
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def set_idle_limit(self, told: float) -> None:
        """Adopts a backend's announced idle limit, in seconds."""
        most = told * IDLE_LIMIT_SHARE
        if most != self.most_idle:
            self.idle_limit = self.most_idle = most

    def enable_streaming(self) -> None:
        """Allows response bodies over 64 KiB, which are streamed to the client."""
        self.streams, self.most_body = True, MAX_STREAM_BYTES

    def set_address(self, backend: str, address: tuple[str, int], started: float | None = None) -> None:
        """Sets a backend's address; connections to an earlier address or start are retired."""
        endpoint = self.endpoints.get(backend)
        if endpoint is None or (endpoint.address, endpoint.started) != (address, started):
            self.retire(backend)
            self.endpoints[backend] = Endpoint(backend, address, started)

    def at(self, address: tuple[str, int]) -> list[str]:
        """The backends that are listed with this address."""
        return [b for b, endpoint in self.endpoints.items() if endpoint.address == address]

    def retire(self, backend: str) -> None:
        """Stops writing to a backend that drains or is gone; attempts that are still dialling it end.

        Attempts in flight run to their ends, and their connections are closed after that.
        """
        endpoint = self.endpoints.pop(backend, None)
        if endpoint is not None:
            endpoint.drop_idle()
            for attempt in [a for a, target in self.dialling.items() if target is endpoint]:
                attempt.fail(Outcome.BROKEN)

    def suspend(self, backend: str) -> None:
        """Closes a backend's idle connections and ends attempts that are dialling it; for a hold."""
        endpoint = self.endpoints.get(backend)
        if endpoint is not None:
            endpoint.drop_idle()
        self.cancel_dials(backend)

    def cancel_dials(self, backend: str) -> None:
        """Ends attempts that are still dialling a backend, for which a drain was reported elsewhere."""
        for attempt in [a for a in self.dialling if a.backend == backend]:
            attempt.fail(Outcome.BROKEN)

    def forget_others(self, known: Iterable[str]) -> None:
        """Retires backends that a whole list does not name."""
        for backend in self.endpoints.keys() - set(known):
            self.retire(backend)

    def start(self, attempt: Attempt) -> None:
        """Writes an attempt to an idle connection, or dials one for it."""
        now = self.clock()
        attempt.timer = self.deadlines.at(attempt.until, Attempt.time_out, attempt)
        endpoint = self.endpoints.get(attempt.backend)
        if endpoint is None:
            return attempt.fail(Outcome.BROKEN)
        connection = self.take_idle(endpoint, now)
        if connection is not None:
            left = attempt.until - now
            return connection.send(attempt, left if left > MIN_LEFT_S else MIN_LEFT_S)
        if not self.has_room():
            return attempt.fail(Outcome.BROKEN)
        self.dialling[attempt] = endpoint
        attempt.dial = self.loop.create_task(self.connect(attempt, endpoint))
        return None

    def take_idle(self, endpoint: Endpoint, now: float) -> BackendConnection | None:
        """The last used connection that has been idle long enough; closes those that became unusable."""
        for place in range(len(endpoint.idle) - 1, -1, -1):
            connection = endpoint.idle[place]
            if now - connection.idle_since < MIN_IDLE_S:
                continue
            del endpoint.idle[place]
            fresh = now - connection.idle_since < self.idle_limit
            if fresh and connection.usable() and connection.is_quiet():
                connection.idle_time = now - connection.idle_since
                return connection
            connection.close()
        return None

    def lower_idle_limit(self, idle_time: float) -> None:
        """Lowers the idle limit: each idle connection that was closed without notice costs a request."""
        self.idle_limit = max(min(self.idle_limit, idle_time) * IDLE_DECREASE, MIN_IDLE_LIMIT_S)

    def raise_idle_limit(self, idle_time: float) -> None:
        """Raises the idle limit after a connection was reused well into it."""
        if idle_time > self.idle_limit / 2:
            self.idle_limit = min(self.idle_limit * IDLE_INCREASE, self.most_idle)

    def has_room(self) -> bool:
        """True if one more may be dialled; at the limit, the longest idle connection is closed for it."""
        if len(self.connections) + len(self.dialling) < self.most:
            return True
        oldest = min(
            (endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle),
            default=None,
            key=lambda c: c.idle_since,
        )
        if oldest is None:
            return False
        oldest.endpoint.idle.remove(oldest)
        oldest.close()
        return True

    async def connect(self, attempt: Attempt, endpoint: Endpoint) -> None:
        """Dials a connection and writes the attempt to it."""
        connection, up = BackendConnection(self, endpoint), False
        try:
            async with asyncio.timeout(self.dial_timeout):
                await self.loop.create_connection(lambda: connection, *endpoint.address)
            up = connection.usable() and connection.is_quiet()  # the backend may have closed it already
        except (OSError, TimeoutError):  # refused, unreachable, out of descriptors, or timed out
            pass
        finally:
            self.dialling.pop(attempt, None)
            attempt.dial = None
            if not up or attempt.ended:
                connection.close()  # also if the attempt ended just as its connection came up
        if up and self.clock() > attempt.write_by:  # the dial was slow, or this process was suspended
            up = False
            connection.close()
        if up and not attempt.ended:
            connection.send(attempt, max(attempt.until - self.clock(), MIN_LEFT_S))
        else:
            attempt.fail(Outcome.BROKEN)

    def opened(self, connection: BackendConnection) -> None:
        """Registers a connection."""
        self.connections.add(connection)

    def closed(self, connection: BackendConnection) -> None:
        """Removes a connection that was lost."""
        self.connections.discard(connection)
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)

    def put_back(self, connection: BackendConnection) -> None:
        """Keeps a connection for reuse, unless its backend has been retired."""
        endpoint = connection.endpoint
        if self.endpoints.get(endpoint.backend) is not endpoint:
            return connection.close()
        connection.idle_since = self.clock()
        return endpoint.idle.append(connection)

    def sweep(self) -> None:
        """Closes connections over the idle limit, at intervals; in each list the longest idle come first."""
        before = self.clock() - self.idle_limit
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since < before:
                endpoint.idle.pop(0).close()
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def close(self) -> None:
        """Closes all connections."""
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close()
