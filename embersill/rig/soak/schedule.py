"""Schedule of a soak run, drawn from one seed: client requests, faults and kinds of backends. No I/O.

Times are seconds from the start of traffic. A schedule is plain data: it can be written to a file, shrunk and
run again.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from enum import Enum

import msgspec

MAX_PIPELINED = 5  # requests that a client sends at once
SHORT_WORK_RANGE_S = (0.02, 0.2)  # a backend's working time for most requests
LONG_WORK_S = 3.0  # for the rest: long enough that a disconnect must be noticed meanwhile
LONG_SHARE = 0.3  # of the requests
DISCONNECT_SHARE = 0.35  # of client actions
FRESH_CONNECTION_SHARE = 0.3  # of client actions, on a new connection
ACTIONS_PER_CLIENT_AND_S = 0.8  # on average
FAULT_FREE_TAIL_S = 4.0  # without faults: earlier work and restarts come to their ends
BODY_BYTES = 20_000
CORE_GATEWAYS = 3  # gateways with a disk, the first ones


class Route(Enum):
    """Routes of the soak's configuration; the value begins their paths."""

    ASK = "ask"  # may be repeated
    ORDER = "order"  # must run at most once


class Disconnect(Enum):
    """How a client disconnects."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half_close"
    SILENCE = "silence"  # it stays connected but reads no more


class Phase(Enum):
    """When a client disconnects."""

    HEAD = "head"  # within the head of its request
    BODY = "body"  # within the body
    SENT = "sent"  # right after it has sent all of it
    WORKING = "working"  # some time later, while a backend may run it


class BackendKind(Enum):
    """How a backend behaves."""

    SOUND = "sound"  # drops a request when its connection closes
    STUBBORN = "stubborn"  # continues to work
    SLOW = "slow"  # takes twice as long
    FULL = "full"  # declines every third request
    BREAKING = "breaking"  # runs every tenth request and breaks off its answer
    SILENT = "silent"  # never answers every tenth request
    SURPLUS = "surplus"  # sends an answer again in place of the next request's answer
    FLAPPING = "flapping"  # sends no heartbeats for some seconds, again and again


class FaultKind(Enum):
    """Faults of gateways, and actions of the operator."""

    HUP = "hup"  # SIGHUP
    HUP_SERIES = "hup_series"  # five of them, within half a second
    TERM = "term"  # SIGTERM, and a restart once it has ended
    TERM_IN_CHANGE = "term_in_change"  # the same, right after a change was sent to it
    KILL = "kill"  # SIGKILL and a restart
    KILL_IN_DRAIN = "kill_in_drain"  # SIGKILL a moment after SIGTERM
    STOP = "stop"  # SIGSTOP, and SIGCONT some seconds later
    STARVE = "starve"  # runs only for a share of each tenth of a second
    ZONE = "zone"  # all gateways of a zone are killed at once
    CORE_ROLL = "core_roll"  # the core restarts one by one, with a change after each
    WIPE = "wipe"  # a core gateway is killed and restarts without its disk
    PORT_HELD = "port_held"  # killed, and restarted while another process listens at its port
    DISK_FULL = "disk_full"  # writes to its disk fail for some seconds
    RELEASE = "release"  # a backend drains and stops, and another takes its place
    CHANGE = "change"  # a change of the configuration
    RACE = "race"  # two changes based on the same version
    INVALID = "invalid"  # a change that has to be rejected


PLANNED_KINDS = frozenset(
    (FaultKind.HUP, FaultKind.HUP_SERIES, FaultKind.TERM, FaultKind.CHANGE, FaultKind.RACE,
     FaultKind.INVALID, FaultKind.TERM_IN_CHANGE, FaultKind.CORE_ROLL,
     FaultKind.RELEASE, FaultKind.DISK_FULL)
)  # fmt: skip


class Action(msgspec.Struct, frozen=True):
    """One action of a client: it sends requests on a connection and waits for the answers or disconnects."""

    at: float
    client: int
    gateway: int
    fresh: bool
    route: Route
    work: float
    requests: int
    tenant: str
    leave: Disconnect | None = None
    phase: Phase = Phase.WORKING
    after: float = 0.0  # seconds from the last byte sent until it disconnects
    slow_reader: bool = False


class ScheduledFault(msgspec.Struct, frozen=True):
    """A fault of a gateway, or a call of the operator at one."""

    at: float
    kind: FaultKind
    gateway: int
    seconds: float


class Schedule(msgspec.Struct, frozen=True):
    """One run: what it consists of, and what happens when."""

    seed: int
    seconds: float
    gateways: int
    backends: tuple[BackendKind, ...]
    actions: tuple[Action, ...]
    troubles: tuple[ScheduledFault, ...]

    def with_clients(self, clients: Collection[int]) -> Schedule:
        """The schedule with only the actions of these clients."""
        return msgspec.structs.replace(self, actions=tuple(a for a in self.actions if a.client in clients))


def generate(seed: int, seconds: float, gateways: int = 5, clients: int = 40) -> Schedule:
    """Draws a schedule; the same arguments give the same one."""
    rng = random.Random(f"soak {seed} {seconds} {gateways} {clients}")
    kinds = [BackendKind.SOUND] * 4 + [BackendKind.STUBBORN, *rng.sample(list(BackendKind), 3)]
    actions = [action for client in range(clients) for action in draw_actions(rng, client, seconds, gateways)]
    return Schedule(
        seed,
        seconds,
        gateways,
        tuple(kinds),
        tuple(sorted(actions, key=lambda action: action.at)),
        tuple(draw_faults(rng, seconds, gateways)),
    )


def draw_actions(rng: random.Random, client: int, seconds: float, gateways: int) -> list[Action]:
    """Actions of one client over the run."""
    actions, at = [], rng.expovariate(ACTIONS_PER_CLIENT_AND_S)
    while at < seconds - FAULT_FREE_TAIL_S:
        actions.append(draw_action(rng, at, client, gateways))
        at += rng.expovariate(ACTIONS_PER_CLIENT_AND_S)
    return actions


def draw_action(rng: random.Random, at: float, client: int, gateways: int) -> Action:
    """One action of a client."""
    is_long = rng.random() < LONG_SHARE
    disconnects = rng.random() < DISCONNECT_SHARE
    return Action(
        at=round(at, 3),
        client=client,
        gateway=rng.randrange(gateways),
        fresh=rng.random() < FRESH_CONNECTION_SHARE,
        route=rng.choice([Route.ASK, Route.ASK, Route.ORDER]),
        work=LONG_WORK_S if is_long else round(rng.uniform(*SHORT_WORK_RANGE_S), 3),
        requests=rng.choice([1, 1, 1, 1, rng.randint(2, MAX_PIPELINED)]),
        tenant=rng.choice(["wide", "wide", "wide", "tight"]),
        leave=rng.choice(list(Disconnect)) if disconnects else None,
        phase=rng.choice([*Phase, Phase.WORKING, Phase.WORKING]),
        after=round(rng.uniform(0.0, 0.4), 3),
        slow_reader=rng.random() < 0.05,
    )


def draw_faults(rng: random.Random, seconds: float, gateways: int) -> list[ScheduledFault]:
    """Faults in overlapping series: sometimes several at once, at the same gateway or at others."""
    faults: list[ScheduledFault] = []
    at = rng.uniform(1.0, 3.0)
    while at < seconds - FAULT_FREE_TAIL_S - 4.0:
        for _ in range(rng.choice([1, 1, 2, 3])):
            kind = rng.choice(list(FaultKind))
            if kind is FaultKind.WIPE and any(fault.kind is kind for fault in faults):
                # the core need not tolerate the loss of a second disk before the first is repaired
                kind = FaultKind.KILL
            fault_at = round(at + rng.uniform(0.0, 0.5), 3)
            faults.append(
                ScheduledFault(fault_at, kind, rng.randrange(gateways), round(rng.uniform(0.5, 3.0), 3))
            )
        at += rng.uniform(1.5, 6.0)
    return sorted(faults, key=lambda fault: fault.at)
