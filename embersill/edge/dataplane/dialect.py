"""The headers that gateways and backends of this system exchange in addition to plain HTTP/1.1."""

from __future__ import annotations

from collections.abc import Callable

from embersill.interface import Outcome
from embersill.net.attempt import NOT_EXECUTED_STATUSES, Answer, Attempt
from embersill.net.backends import BackendConnection

# headers that concern one connection only, or that the other end writes itself
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)
MISDIRECTED_STATUS = 421


class EdgeDialect:
    """The headers between gateway and backend: expected instance, attempt id, deadline, load and seal."""

    def __init__(self, misdirected: Callable[[str], None] = lambda backend: None) -> None:
        """`misdirected`: called with a backend's id when another backend answers at its address."""
        self.misdirected = misdirected

    def head(self, attempt: Attempt, wait: float) -> bytes:
        """The request head of an attempt; `wait`: seconds left until its deadline."""
        return b"%bX-Deadline-Remaining-Ms: %d\r\nX-Expected-Instance: %b\r\n\r\n" % (
            attempt.head,
            max(int(wait * 1000), 1),
            attempt.backend.encode(),
        )

    def header(self, connection: BackendConnection, name: bytes, value: bytes) -> None:
        """Handles one header of a backend's response."""
        if name == b"x-request-not-executed":
            connection.rejected = True
        elif name == b"x-backend-load":
            connection.load = read_load(value)
        elif name == b"x-attempt-id":
            connection.answers_to = value.strip()
        elif name == b"keep-alive":
            connection.idle_limit_s = read_keep_alive(value)
        elif name == b"x-backend-seal":
            connection.units = 1.0
        if name not in HOP_BY_HOP_HEADERS:
            connection.headers += b"%b: %b\r\n" % (name, value)

    def belongs(self, connection: BackendConnection, attempt: Attempt) -> bool:
        """True if a response whose head has been read answers this attempt."""
        return connection.answers_to == attempt.id and bool(connection.units)

    def judge(self, connection: BackendConnection, attempt: Attempt, body: bytes) -> Answer:
        """The outcome of an attempt, from a complete response."""
        status, load = connection.status, connection.load
        if connection.answers_to != attempt.id and (connection.answers_to or status < 300):
            return Answer(Outcome.BROKEN)  # it answers another request
        if connection.idle_limit_s:
            connection.pool.set_idle_limit(connection.idle_limit_s)
        declined = connection.rejected or status == MISDIRECTED_STATUS
        # without a name it may be a late answer to an earlier request on this connection
        if declined and (connection.answers_to == attempt.id or not connection.is_reused()):
            if status == MISDIRECTED_STATUS:
                self.misdirected(attempt.backend)
            return Answer(Outcome.TURNED_AWAY, load=load)
        if status < 300 and not connection.units:
            return Answer(Outcome.BROKEN)  # without the seal it did not come from the backend
        failed = status >= 500 or status < 200 or status in NOT_EXECUTED_STATUSES
        outcome = Outcome.ERROR if failed else Outcome.SERVED
        return Answer(outcome, body, 0.0, connection.headers, status, load)


def read_load(value: bytes) -> tuple[float, ...]:
    """Running requests, queued requests and slots, from an X-Backend-Load value; empty if malformed."""
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() and len(part) < 8 for part in parts):
        return ()
    return tuple(float(part) for part in parts)


def read_keep_alive(value: bytes) -> float:
    """The seconds of `timeout=` in a Keep-Alive value; 0.0 if there are none."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit() and len(number) < 6:
            return float(number)
    return 0.0
