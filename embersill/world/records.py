"""Record types of a trace: one named tuple per event, independent of the code under test.

Records state what can be observed from outside (by clients and backends, and who was notified of what), not
what the code under test assumed. The exceptions are SharesHeld and CreditsBelieved: a simulation reads them
from the state of its processes at times of its choosing. `at` is the simulated time in seconds.

A front is the process that accepts a client's request: a gateway, or a forwarder of the two-level gateway.
"""

from __future__ import annotations

from typing import NamedTuple


class RequestReceived(NamedTuple):
    """A front accepted a client's request, which it has to answer exactly once, before `end`."""

    at: float
    request: int
    klass: str
    plan: str
    customer: str
    units: float
    front: str
    end: float


class RequestAnswered(NamedTuple):
    """A front answered a request; `how` is served, refused or failed."""

    at: float
    request: int
    how: str


class RequestDropped(NamedTuple):
    """The front was killed while it had the request; repeating it is up to the client."""

    at: float
    request: int


class BackendNotified(NamedTuple):
    """A process was notified whether a backend serves; otherwise the backend drains or is gone."""

    at: float
    process: str
    backend: str
    serving: bool


class BackendStarted(NamedTuple):
    """A backend started cold. `capacity`: requests per second that it can handle once it is warm."""

    at: float
    backend: str
    capacity: float


class Written(NamedTuple):
    """A backend received an attempt completely. `deciders`: the processes that chose the backend."""

    at: float
    request: int
    attempt: int
    backend: str
    group: str
    deciders: tuple[str, ...]


class AttemptFinished(NamedTuple):
    """A front learned an attempt's outcome; `never_ran`: the outcome proves that it was not executed."""

    at: float
    request: int
    attempt: int
    outcome: str
    never_ran: bool


class SharesHeld(NamedTuple):
    """Users of the shares of a part's ceilings: (lender, users), for lenders whose share has users."""

    at: float
    part: int
    users: tuple[tuple[str, tuple[str, ...]], ...]


class CreditsBelieved(NamedTuple):
    """What each process believes to be left of a customer's ceiling: (process, units)."""

    at: float
    customer: str
    beliefs: tuple[tuple[str, float], ...]


class MessageLogged(NamedTuple):
    """A message was sent (`phase` sent) or processed (`phase` got)."""

    at: float
    phase: str
    kind: str
    sender: str
    receiver: str


class Fault(NamedTuple):
    """The simulation injected a fault into a process or a link."""

    at: float
    what: str
    who: str
    seconds: float


Record = (
    RequestReceived
    | RequestAnswered
    | RequestDropped
    | BackendNotified
    | BackendStarted
    | Written
    | AttemptFinished
    | SharesHeld
    | CreditsBelieved
    | MessageLogged
    | Fault
)
