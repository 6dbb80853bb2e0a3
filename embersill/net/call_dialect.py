"""The protocol between the gateway in service and its backends, as far as it is in message heads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from embersill.interface import Outcome
from embersill.net.attempt import Answer, Attempt

if TYPE_CHECKING:
    from embersill.net.backends import BackendConnection


class CallDialect:
    """The protocol of the gateway in service: budgets in seconds, rejections and billed units."""

    def head(self, attempt: Attempt, wait: float) -> bytes:
        """The attempt's head with the remaining budget."""
        return b"%bX-Budget: %.3f\r\n\r\n" % (attempt.head, wait)

    def header(self, connection: BackendConnection, name: bytes, value: bytes) -> None:
        """Reads the headers of rejections and billing, and set_idle_limit those that describe the body."""
        if name == b"x-rejected":
            connection.rejected = value.strip() == b"1"
        elif name == b"billed-units":
            connection.units = read_units(value)
        elif name in (b"content-type", b"content-encoding"):
            connection.headers += b"%b: %b\r\n" % (name.title(), value)

    def belongs(self, connection: BackendConnection, attempt: Attempt) -> bool:
        """Always true: these heads name no attempt."""
        return True

    def judge(self, connection: BackendConnection, attempt: Attempt, body: bytes) -> Answer:
        """The outcome by status; only an explicit rejection proves that the request was not run."""
        if connection.status == 200:
            return Answer(Outcome.SERVED, body, connection.units, connection.headers)
        turned_away = connection.status in (503, 504) and connection.rejected
        return Answer(Outcome.TURNED_AWAY if turned_away else Outcome.ERROR)


def read_units(value: bytes) -> float:
    """Billed units; 0 for a value that is invalid or out of bounds."""
    try:
        units = float(value)
    except ValueError:
        return 0.0
    return units if 0.0 < units < 1e6 else 0.0
