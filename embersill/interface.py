"""The types between a gateway and its decisions: settings, events and actions. All times are seconds.

None is changed once it is made. The four that every request makes are not marked frozen: that would double
what making them costs.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How an attempt, a probe or a counter call ended."""

    SERVED = "served"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def never_ran(self) -> bool:
        """True where this outcome proves that the backend did not run the attempt."""
        return self in (Outcome.TURNED_AWAY, Outcome.NO_CONNECTION, Outcome.NOT_SENT)

    @property
    def undelivered(self) -> bool:
        """True where the attempt did not come whole to any backend: nothing of it was passed on."""
        return self in (Outcome.NO_CONNECTION, Outcome.NOT_SENT)


class Repeats(Enum):
    """What a class allows once an attempt may have run."""

    SAFE = "safe"
    BY_KEY = "by key"
    ONCE = "once"


class Scope(Enum):
    """Which backends drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(Enum):
    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"
    FAILED = "failed"


class Status(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    repeats: Repeats
    scope: Scope
    memory: float
    aim: float
    deadline: float
    late_share: float
    worth: float
    stream: bool
    attempts: int = 0  # backends that one try may be sent to; nought for the settings' most


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    rate: float
    burst: float
    concurrency: int
    ceiling_rate: float
    ceiling_depth: float
    worth_factor: float
    beyond_worth: float
    beyond_cost: float


@dataclass(frozen=True, slots=True)
class Settings:
    me: int
    gateways: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: str
    list_pushed: bool
    ask_every: float
    counter: bool
    counter_patience: float
    counter_price: float
    may_cancel: bool
    may_probe: bool
    second_copies: bool
    max_attempts: int
    retry_after: bool
    max_retry_after: float
    cold_from: float
    warm_within: float
    fall_multiple: float
    overload_for: float
    report_fields: tuple[str, ...]
    most_units: float
    settles: bool
    late_at: float = 0.35  # of the aim from which an answer counts as late: short queues push none over
    retry_store: float = -1.0  # further attempts saved up, of each service; below nought: a default
    retry_share: float = 0.15  # further ones earned by each first one: bounds what they add in a bad hour
    counts_all: bool = False  # each customer's demand is told, however far from its quota
    banks_from: float = 1.0  # part of its bank that a throttle begins with


@dataclass(frozen=True, slots=True)
class Backend:
    address: str
    zone: str
    kind: str
    cell: int
    status: Status
    rating: float
    started: float | None
    service: str = ""  # what it serves, where there are several
    slots: int = 0  # requests that it works on at once, where it says so and tells its load


@dataclass(slots=True)
class Request:
    """A client's try that has arrived; the gateway owes it one final answer."""

    id: int
    klass: str
    plan: str
    customer: str
    deadline: float
    units: float
    width: int
    first_gateway: int
    repeat: bool
    service: str = ""  # whose backends it goes to


@dataclass(frozen=True, slots=True)
class BackendList:
    kind: ListKind
    backends: tuple[Backend, ...]


@dataclass(frozen=True, slots=True)
class ClientLeft:
    request: int


@dataclass(frozen=True, slots=True)
class StreamBegun:
    request: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    request: int
    attempt: int
    backend: str
    outcome: Outcome
    elapsed: float
    over: bool
    true_units: float
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Counted:
    """How a call of the counter ended. `alone`: it tells of this name, and nothing of the others' calls.

    `call` is the number of the Count that it ends; nought where ends come in the order of the calls.
    """

    name: str
    outcome: Outcome
    elapsed: float
    total: float
    alone: bool = False
    call: int = 0


@dataclass(frozen=True, slots=True)
class Probed:
    backend: str
    outcome: Outcome
    elapsed: float
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerDue:
    key: str


@dataclass(frozen=True, slots=True)
class Allotted:
    """This instance's part of a customer's quota and ceiling from now on, where two levels deal them out.

    `share` and `ceiling` are parts, 0 to 1, of the plan's rates and amounts. `cap` and `level` set what is
    left now of the ceiling (below nought: in debt) and of the quota, in units; None leaves each as it is.
    `depth` is the most that its part of the ceiling may hold, where that is not that part of the plan's.
    """

    customer: str
    plan: str
    share: float
    ceiling: float
    cap: float | None = None
    level: float | None = None
    depth: float | None = None


@dataclass(frozen=True, slots=True)
class Inherited:
    """A request that another instance began, and all that became of its attempts: it is decided here now.

    `age` is the time since it arrived. Each attempt has its backend, the time since it was sent, and its
    outcome, None while it is out. Its units were taken when it was first sent on.
    """

    request: Request
    age: float
    attempts: tuple[tuple[str, float, Outcome | None], ...]


@dataclass(frozen=True, slots=True)
class Take:
    """Units that a question asks for from one customer's throttle."""

    customer: str
    plan: Plan
    units: float  # nought only looks
    width: int  # gateways over which the customer's requests are spread, as in a Request
    shadow: bool = False  # counted, and never a reason to refuse
    settles: bool = False  # has been used already: taken in any case, also below nought


@dataclass(frozen=True, slots=True)
class Question:
    """Another program asks whether something may use units; all of it is granted or nothing is taken."""

    id: int
    takes: tuple[Take, ...]


@dataclass(frozen=True, slots=True)
class Ruled:
    """A request whose quota another service has ruled on: it is not charged here, but its ceiling holds."""

    request: Request
    allowed: bool
    retry_after: float


@dataclass(frozen=True, slots=True)
class BackendHold:
    """Staff take a backend out of use, or put it back: it goes before whatever the list says of it.

    It is named by its id, whether the list has it now or not. One that comes back may have been restarted.
    """

    backend: str
    out: bool


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Attempts that other gateways have out at backends; below nought where that is not known."""

    out: dict[str, int]


@dataclass(frozen=True, slots=True)
class Sliced:
    """This gateway's slice of a customer's quota, in units a second, by whoever sums the demand."""

    customer: str
    rate: float
    age: float | None = 0.0  # seconds since it was asked for; None: it was not, and holds as long as the last


@dataclass(frozen=True, slots=True)
class Lent:
    """What a reserve gave of the units that were asked for; below nought: it could not be asked."""

    customer: str
    units: float


@dataclass(frozen=True, slots=True)
class Configured:
    """Classes, plans and gateways are these from now on; what is under way keeps its class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Shared:
    """Another process of this same gateway lives, or does so no more: both keep its ceilings together."""

    on: bool


Event = (
    Request
    | BackendList
    | ClientLeft
    | StreamBegun
    | AttemptEnded
    | Counted
    | Probed
    | TimerDue
    | Allotted
    | Inherited
    | Question
    | Ruled
    | BackendHold
    | Shared
    | Configured
    | Lent
    | Sliced
    | PeerLoad
)


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order of their sends."""

    request: int
    backend: str
    timeout: float
    write_by: float = math.inf  # after which it must not begin: whoever decided may know better since


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, and trying again does no harm."""

    request: int
    retry_after: float
    over_quota: bool = False  # what it asks for is beyond its customer's quota


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    delay: float
    key: str


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a named number of the counter service and get its total.

    The rest tells whoever keeps the counts what they are for: the customer's gateways (`width` in a row from
    number `first`, counted round; -1: not known), its quota in units a second, whether the name is a sum that
    runs on through an epoch or the demand of one second, which part of the amount is no use but puts the
    sum right, and a number of its own.
    """

    name: str
    amount: float
    forget_after: float
    first: int = -1
    width: int = 0
    rate: float = 0.0
    running: bool = False
    corrects: float = 0.0
    call: int = 0


@dataclass(frozen=True, slots=True)
class Borrow:
    """Ask the customer's reserve for units that its slice here lacks; Lent tells what came of it."""

    customer: str
    units: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for the list and its changes from now on."""


@dataclass(frozen=True, slots=True)
class LimitState:
    """One take's part of a verdict, as the throttle is after it."""

    granted: bool
    remaining: float  # units that could be taken at once
    wait: float  # seconds until this take could be granted; nought if it was
    full_in: float  # seconds until all of the burst is there again, with no use


@dataclass(frozen=True, slots=True)
class Verdict:
    """The answer to a question, with a state for each of its takes."""

    question: int
    granted: bool
    states: tuple[LimitState, ...]


Action = Verdict | Send | Refuse | Fail | Cancel | SetTimer | Count | Subscribe | Borrow
