"""Record of a soak run as clients, backends and the operator saw it: plain data, one monotonic clock.

Times are seconds from the start of traffic; 0 means that something has not happened.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from embersill.rig.soak.schedule import BackendKind, Disconnect, FaultKind, Phase, Route


class RunEnd(Enum):
    """How a request's work at a backend ended."""

    OPEN = "open"  # not yet
    FINISHED = "finished"
    DROPPED = "dropped"  # the backend stopped because the connection was closed
    DECLINED = "declined"  # not begun
    BROKEN = "broken"  # done, but the backend broke the answer off
    SILENT = "silent"  # done, but the backend sent no answer


class Answer(msgspec.Struct):
    """One answer on a client's connection."""

    at: float
    status: int
    attempt: str  # its X-Attempt-Id, empty without one
    sealed: bool
    whole: bool


class ClientRequest(msgspec.Struct):
    """One request of a client."""

    attempt: str
    client: int
    gateway: int
    tenant: str
    route: Route
    work: float
    sent_at: float
    whole: bool = False  # written completely
    left_at: float = 0.0
    leave: Disconnect | None = None
    phase: Phase | None = None
    answers: list[Answer] = msgspec.field(default_factory=list)
    cut_at: float = 0.0  # the gateway closed the connection without an answer

    @property
    def disconnected(self) -> bool:
        """Whether its client has disconnected; one that falls silent is still connected."""
        return self.left_at > 0 and self.leave is not Disconnect.SILENCE


class Run(msgspec.Struct):
    """One request at one backend."""

    attempt: str
    backend: str
    kind: BackendKind
    arrived: float
    tenant: str
    began: float = 0.0
    ended: float = 0.0
    closed_at: float = 0.0  # the gateway closed the connection while the backend ran the request
    end: RunEnd = RunEnd.OPEN


class InjectedFault(msgspec.Struct):
    """A fault as it was injected: the time in which it affected a gateway."""

    kind: FaultKind
    gateway: int
    began: float
    ended: float


class Change(msgspec.Struct):
    """A change that the operator sent."""

    version: int
    based_on: int
    valid: bool
    sent_at: float
    statuses: list[int] = msgspec.field(default_factory=list)


class Exit(msgspec.Struct):
    """A process that ended."""

    gateway: int
    at: float
    code: int
    wanted: bool  # caused by a signal of the soak
    overdue: bool = False  # still running at the end of the grace period after SIGTERM


class Drain(msgspec.Struct):
    """A backend that announced its drain."""

    backend: str
    acknowledged_at: float  # 0 without an acknowledgement


class IdleState(msgspec.Struct):
    """State of one gateway after the run, when nothing should be in flight."""

    gateway: int
    figures: dict[str, float]  # its metrics
    version: int  # of its configuration, 0 without an answer
    descriptors: int


class Record(msgspec.Struct):
    """Everything that was recorded in a run."""

    tries: list[ClientRequest] = msgspec.field(default_factory=list)
    runs: list[Run] = msgspec.field(default_factory=list)
    struck: list[InjectedFault] = msgspec.field(default_factory=list)
    changes: list[Change] = msgspec.field(default_factory=list)
    exits: list[Exit] = msgspec.field(default_factory=list)
    drains: list[Drain] = msgspec.field(default_factory=list)
    calm: list[IdleState] = msgspec.field(default_factory=list)
    stalls: list[tuple[float, float]] = msgspec.field(
        default_factory=list
    )  # times in which the soak itself was stalled
    processes_most: int = 0
    quotas: dict[str, tuple[float, float]] = msgspec.field(default_factory=dict)  # rate and burst by tenant
