"""One attempt of a request at a backend: what is written, how it ended, and who is told.

An attempt is written once, on one connection, and never retried here: whether a request may be sent again
depends on how far its attempt came, which only the decision module judges.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from embersill.interface import Outcome
from embersill.net.deadlines import Deadline

if TYPE_CHECKING:
    from embersill.net.backends import BackendConnection

# statuses that tell a client that its request has not run and never will, so that it may send it again
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class Answer:
    """How an attempt ended, with the backend's response if it was complete."""

    outcome: Outcome
    body: bytes = b""
    units: float = 0.0
    headers: bytes = b""  # header lines for the client, such as Content-Type
    status: int = 0  # of a complete response of the backend
    load: tuple[float, ...] = ()  # the load that the backend reported


class Dialect(Protocol):
    """The protocol between gateways and backends, as far as it is in message heads."""

    def head(self, attempt: Attempt, wait: float) -> bytes:
        """The head of a request whose client waits `wait` seconds more."""
        ...

    def header(self, connection: BackendConnection, name: bytes, value: bytes) -> None:
        """Handles one header line of a response; its name is in lower case."""
        ...

    def judge(self, connection: BackendConnection, attempt: Attempt, body: bytes) -> Answer:
        """The outcome of an attempt that got a complete response."""
        ...

    def belongs(self, connection: BackendConnection, attempt: Attempt) -> bool:
        """True if a response belongs to the attempt, by its head: no other is streamed to the client."""
        ...


class Sink(Protocol):
    """Where a streamed response goes."""

    def send_piece(self, data: bytes) -> bool:
        """Takes a piece; False if the source must pause until it is told to resume."""
        ...


class Owner(Protocol):
    """Receives the outcome of an attempt."""

    def stream_began(
        self, attempt: Attempt, headers: bytes, length: int | None, source: BackendConnection
    ) -> Sink | None:
        """A response of more than 64 KiB begins; None if it is no longer wanted."""
        ...

    def attempt_ended(self, attempt: Attempt, answer: Answer) -> None:
        """The attempt has ended; called once."""
        ...


class Attempt:
    """One attempt: what to write, where to, and how it ended. Its owner is told of the end exactly once."""

    __slots__ = (
        "backend",
        "began_at",
        "body",
        "connection",
        "dial",
        "head",
        "id",
        "kernel_bytes",
        "outcome",
        "owner",
        "place",
        "body_pieces",
        "sent_at",
        "timer",
        "until",
        "write_by",
        "written",
    )

    def __init__(
        self,
        backend: str,
        head: bytes,
        body: bytes,
        sent_at: float,
        until: float,
        place: int,
        owner: Owner,
        write_by: float = math.inf,
    ) -> None:
        self.backend, self.head, self.body = backend, head, body
        self.sent_at, self.until, self.place, self.write_by = sent_at, until, place, write_by
        self.owner: Owner | None = owner
        self.body_pieces: list[bytes] | None = None  # the pieces of a body over 64 KiB, instead of `body`
        self.id = b""  # the client's id for it, where backends name the attempt that they answer
        self.began_at = 0.0  # when its response began to be streamed
        self.written = False  # any of it is sent: from then on the backend may run it
        self.outcome: Outcome | None = None  # how it ended
        self.kernel_bytes = 0  # bytes that the kernel had taken of it, if it is proven that it has not run
        self.connection: BackendConnection | None = None
        self.dial: asyncio.Task[None] | None = None
        self.timer: Deadline | None = None

    @property
    def ended(self) -> bool:
        """True once its owner has been told of the end."""
        return self.owner is None

    def end(self, answer: Answer) -> None:
        """Ends the attempt unless it has ended; stops its dial and closes a connection still in use."""
        owner, self.owner = self.owner, None  # also breaks the reference cycle with the owner
        if owner is None:
            return
        self.outcome = answer.outcome
        if self.timer is not None:
            self.timer.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if self.connection is not None:
            self.connection.give_up(self)
        owner.attempt_ended(self, answer)

    def fail(self, outcome: Outcome) -> None:
        """Ends the attempt without a response. `outcome` is that of an attempt which may have run.

        Only one of which nothing was written has certainly not run. See docs/design/execution-safety.md.
        """
        if not self.written and self.connection is not None:
            self.kernel_bytes = self.connection.request_bytes_taken()
        self.end(Answer(outcome if self.written else Outcome.NO_CONNECTION))

    def time_out(self) -> None:
        """Ends the attempt at its deadline."""
        connection = self.connection
        self.fail(Outcome.TIMED_OUT)
        if connection is not None:
            # The idle connections of an unreachable machine stay open and silent. A request written to one
            # may have run, whereas one that waits for a failed dial certainly has not.
            connection.endpoint.drop_idle()
