"""The types that a gateway and its decision logic exchange: settings, events and actions.

All times are in seconds. No object is changed after it is made. The four types made for every request are
not marked frozen, because that would double the cost of creating them.
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
        """Whether this outcome proves that the backend did not run the attempt.

        It does if nothing was sent, or if the backend itself says so. docs/design/execution-safety.md has the
        whole rule.
        """
        return self in (Outcome.TURNED_AWAY, Outcome.NO_CONNECTION, Outcome.NOT_SENT)

    @property
    def undelivered(self) -> bool:
        """Whether nothing of the attempt was sent, so that no backend can have passed on any of it."""
        return self in (Outcome.NO_CONNECTION, Outcome.NOT_SENT)


class Repeats(Enum):
    """Whether requests of a class may be repeated once an attempt may have run."""

    SAFE = "safe"
    BY_KEY = "by key"
    ONCE = "once"


class Scope(Enum):
    """Which backends share their memory of idempotency keys, and so drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(Enum):
    """What a list of backends is: changes, a whole list, one kept from before, or a failed call."""

    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"
    FAILED = "failed"


class Status(Enum):
    """The state of a backend according to discovery."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The rules for one kind of request, and what its answers are worth.

    `memory` is how long backends remember an idempotency key. An answer within `aim` seconds has its full
    worth; a later one, until the deadline, has the part `late_share` of it.
    """

    name: str
    repeats: Repeats
    scope: Scope
    memory: float
    aim: float
    deadline: float
    late_share: float
    worth: float
    stream: bool
    attempts: int = 0  # most backends that one request may be sent to; 0: the settings' max_attempts


@dataclass(frozen=True, slots=True)
class Plan:
    """A customer's contract: its quota (`rate`, `burst`), its hard ceiling, and the price of excess use.

    Rates are in units a second, `burst` and `ceiling_depth` in units. A rate of 0 means that there is no
    such limit.
    """

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
    """The settings of one gateway; `me` is its own number among all `gateways`.

    A restarted backend begins with the part `cold_from` of its capacity and has all of it after
    `warm_within` seconds. `counter_patience` is the time-out of a call to the counter service.
    """

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
    late_at: float = 0.35  # part of the aim above which an answer is late: short queues do not reach it
    max_saved_retries: float = -1.0  # most retries saved up for each service; negative: the default
    retry_share: float = 0.15  # retries earned by each first attempt: bounds the load they add
    count_all_customers: bool = False  # report every customer's demand, however far from its quota
    initial_fill: float = 1.0  # part of its burst that a new throttle starts with


@dataclass(frozen=True, slots=True)
class Backend:
    """One backend as discovery lists it; `started` is its last start, None if it counts as warm."""

    address: str
    zone: str
    kind: str
    cell: int
    status: Status
    rating: float
    started: float | None
    service: str = ""  # the service that it belongs to, where there are several
    slots: int = 0  # requests that it serves at once, if it reports that and its load; else 0


@dataclass(slots=True)
class Request:
    """A request that has arrived from a client; the gateway owes it exactly one final answer."""

    id: int
    klass: str
    plan: str
    customer: str
    deadline: float
    units: float
    width: int
    first_gateway: int
    repeat: bool
    service: str = ""  # the service whose backends it goes to


@dataclass(frozen=True, slots=True)
class BackendList:
    """What discovery answered."""

    kind: ListKind
    backends: tuple[Backend, ...]


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client has disconnected or no longer waits for its answer."""

    request: int


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """The first part of an attempt's answer is being passed on to the client."""

    request: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """How an attempt ended; `over` means that the request ended with it.

    `true_units` is the request's measured cost, 0 if unknown; `load` is what the backend reported.
    """

    request: int
    attempt: int
    backend: str
    outcome: Outcome
    elapsed: float
    over: bool
    true_units: float
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class CounterResult:
    """How a call of the counter service ended.

    With `alone` set, the outcome says nothing about calls for other names. `call` is the number of the Count
    action that it answers; 0 where answers come in the order of the calls.
    """

    name: str
    outcome: Outcome
    elapsed: float
    total: float
    alone: bool = False
    call: int = 0


@dataclass(frozen=True, slots=True)
class Probed:
    """How a probe of a backend ended."""

    backend: str
    outcome: Outcome
    elapsed: float
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by SetTimer has fired."""

    key: str


@dataclass(frozen=True, slots=True)
class Allotted:
    """This instance's part of a customer's quota and ceiling from now on, in the two-tier deployment.

    `share` and `ceiling` are fractions, 0 to 1, of the plan's rates and amounts. `cap` and `level` set how
    many units are left now of the ceiling (negative: in debt) and of the quota; None leaves them unchanged.
    `depth` is the capacity of its part of the ceiling, where that is not the same fraction of the plan's.
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
    """A request that another instance began and this one takes over, with the history of its attempts.

    `age` is the time since it arrived. Each attempt has its backend, the time since it was sent, and its
    outcome, None while it is in flight. The request's units were charged when it was first sent.
    """

    request: Request
    age: float
    attempts: tuple[tuple[str, float, Outcome | None], ...]


@dataclass(frozen=True, slots=True)
class Take:
    """The units that a question asks for from one customer's throttle."""

    customer: str
    plan: Plan
    units: float  # 0 only reads the state
    width: int  # gateways over which the customer's requests are spread, as in a Request
    shadow: bool = False  # charged if granted, but never a reason to refuse
    settles: bool = False  # used already: charged in any case, even below zero


@dataclass(frozen=True, slots=True)
class Question:
    """Another program's rate limit check: either all of its takes are granted, or nothing is charged."""

    id: int
    takes: tuple[Take, ...]


@dataclass(frozen=True, slots=True)
class Ruled:
    """A request whose quota another service has decided on: no quota is charged here, its ceiling holds."""

    request: Request
    allowed: bool
    retry_after: float


@dataclass(frozen=True, slots=True)
class BackendHold:
    """An operator takes a backend out of use, or puts it back, whatever discovery's list says of it.

    The backend is named by its id and need not be listed now. One put back may have been restarted.
    """

    backend: str
    out: bool


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Attempts in flight from other gateways, by backend; negative where the number is unknown."""

    out: dict[str, int]


@dataclass(frozen=True, slots=True)
class QuotaSlice:
    """This gateway's rate of a customer's quota, in units a second, from the service that sums the demand."""

    customer: str
    rate: float
    age: float | None = 0.0  # seconds since it was asked for; None: it was not, and expires with the last


@dataclass(frozen=True, slots=True)
class QuotaWidth:
    """By how many quotas are divided where no slice was assigned; 0: nothing may be used without a slice."""

    width: int


@dataclass(frozen=True, slots=True)
class BorrowResult:
    """The units that the quota reserve granted for a Borrow; negative: the reserve could not be asked."""

    customer: str
    units: float


@dataclass(frozen=True, slots=True)
class Configured:
    """Replaces the settings (classes, plans, number of gateways); requests in progress keep their class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Shared:
    """A second process of this gateway has started (`on`) or ended; both split its ceilings."""

    on: bool


Event = (
    Request
    | BackendList
    | ClientLeft
    | StreamBegun
    | AttemptEnded
    | CounterResult
    | Probed
    | TimerDue
    | Allotted
    | Inherited
    | Question
    | Ruled
    | BackendHold
    | Shared
    | Configured
    | BorrowResult
    | QuotaSlice
    | QuotaWidth
    | PeerLoad
)


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order of their Send actions."""

    request: int
    backend: str
    timeout: float
    write_by: float = math.inf  # it must not start later: the decision may be outdated by then


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the request is rejected, and it is safe for the client to try again."""

    request: int
    retry_after: float
    over_quota: bool = False  # rejected because it exceeds its customer's quota


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and may or may not have had an effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerDue event with this key after a delay."""

    delay: float
    key: str


@dataclass(frozen=True, slots=True)
class Count:
    """Add an amount to a named number of the counter service and get its total.

    The other fields tell the keeper of the counts what they are for. `width` gateways serve the customer:
    those numbered from `first` on, modulo their total (-1: unknown). `rate` is its quota in units a second.
    `running` marks a sum over a whole epoch, not the demand of one second. `corrects` is the part of the
    amount that is no use but corrects the sum. `call` numbers the action.
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
    """Ask the customer's quota reserve for units that its slice here lacks; BorrowResult is the answer."""

    customer: str
    units: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for the list of backends and for its changes from now on."""


@dataclass(frozen=True, slots=True)
class LimitState:
    """One take's part of a verdict: the state of its throttle after the decision."""

    granted: bool
    remaining: float  # units available now
    wait: float  # seconds until this take could be granted; 0 if it was
    full_in: float  # seconds until the whole burst is available again, if unused


@dataclass(frozen=True, slots=True)
class Verdict:
    """The answer to a question, with the state of each take's throttle."""

    question: int
    granted: bool
    states: tuple[LimitState, ...]


Action = Verdict | Send | Refuse | Fail | Cancel | SetTimer | Count | Subscribe | Borrow
