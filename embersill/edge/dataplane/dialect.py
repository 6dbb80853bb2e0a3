"""What gateways and backends say to one another in the heads of their messages, in the system's protocol."""

from __future__ import annotations

from collections.abc import Callable

from embersill.interface import Outcome
from embersill.net.backends import Answer, Attempt, BackendConnection

# of one connection, or worded anew at the other end
OWN = frozenset(
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
MISDIRECTED = 421


class EdgeDialect:
    """What backends of this system add to HTTP/1.1: who is asked, who answers, how long, with which load."""

    def __init__(self, misdirected: Callable[[str], None] = lambda backend: None) -> None:
        """`misdirected`: hears of a backend at whose address there is another one."""
        self.misdirected = misdirected

    def head(self, attempt: Attempt, wait: float) -> bytes:
        """The head of an attempt as it is sent now; `wait`: seconds that are left for it."""
        return b"%bX-Deadline-Remaining-Ms: %d\r\nX-Expected-Instance: %b\r\n\r\n" % (
            attempt.head,
            max(int(wait * 1000), 1),
            attempt.backend.encode(),
        )

    def header(self, connection: BackendConnection, name: bytes, value: bytes) -> None:
        """Notes one header of a backend's answer."""
        if name == b"x-request-not-executed":
            connection.rejected = True
        elif name == b"x-backend-load":
            connection.load = read_load(value)
        elif name == b"x-attempt-id":
            connection.answers_to = value.strip()
        elif name == b"keep-alive":
            connection.idles = read_keep_alive(value)
        elif name == b"x-backend-seal":
            connection.units = 1.0
        if name not in OWN:
            connection.headers += b"%b: %b\r\n" % (name, value)

    def belongs(self, connection: BackendConnection, attempt: Attempt) -> bool:
        """True if an answer whose head has been read is the attempt's own."""
        return connection.answers_to == attempt.id and bool(connection.units)

    def judge(self, connection: BackendConnection, attempt: Attempt, body: bytes) -> Answer:
        """What a whole answer means for the attempt that it came for."""
        status, load = connection.status, connection.load
        if connection.answers_to != attempt.id and (connection.answers_to or status < 300):
            return Answer(Outcome.BROKEN)  # another request's
        if connection.idles:
            connection.pool.keeps(connection.idles)
        if connection.rejected or status == MISDIRECTED:
            if status == MISDIRECTED:
                self.misdirected(attempt.backend)
            return Answer(Outcome.TURNED_AWAY, load=load)
        if status < 300 and not connection.units:
            return Answer(Outcome.BROKEN)  # without its seal it is not the backend's
        outcome = Outcome.ERROR if status >= 500 or status < 200 else Outcome.SERVED
        return Answer(outcome, body, 0.0, connection.headers, status, load)


def read_load(value: bytes) -> tuple[float, ...]:
    """Requests running, requests waiting and slots; empty for anything else."""
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() and len(part) < 8 for part in parts):
        return ()
    return tuple(float(part) for part in parts)


def read_keep_alive(value: bytes) -> float:
    """Seconds of `timeout=`; nought if it tells none."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit() and len(number) < 6:
            return float(number)
    return 0.0
