"""What a run of the soak does, drawn from one seed: requests of clients, troubles, kinds of backends. No I/O.

Times are seconds from the start of traffic. A schedule is plain data: it can be written to a file, cut down,
and played again.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from enum import Enum

import msgspec

MOST_PIPELINED = 5  # requests that a client sends at once
SHORT_WORK = (0.02, 0.2)  # seconds of work of most requests
LONG_WORK = 3.0  # seconds of work of the rest: long enough that a leave must be noticed in them
LONG_SHARE = 0.3  # of the requests
LEAVE_SHARE = 0.35  # of the actions of clients
FRESH_SHARE = 0.3  # of the actions, on a connection of their own
ASKS_PER_CLIENT = 0.8  # actions of one client a second
CALM_AT_END = 4.0  # seconds of the run without troubles: work and restarts of before come to their ends
BODY_BYTES = 20_000
CORE = 3  # gateways with a disk, the first ones


class Route(Enum):
    """Routes of the soak's configuration; the value begins their paths."""

    ASK = "ask"  # may be repeated
    ORDER = "order"  # runs once at most


class Leave(Enum):
    """How a client leaves."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half_close"
    SILENCE = "silence"  # it stays connected and reads nothing more


class Phase(Enum):
    """When a client leaves."""

    HEAD = "head"  # within the head of its request
    BODY = "body"  # within the body
    SENT = "sent"  # right after it has sent the whole
    WORKING = "working"  # some time later, while a backend may be at work


class BackendKind(Enum):
    """How a backend behaves."""

    SOUND = "sound"  # drops a request as its connection closes
    STUBBORN = "stubborn"  # works on
    SLOW = "slow"  # takes twice as long
    FULL = "full"  # declines every third request
    BREAKING = "breaking"  # breaks off every tenth answer after it ran the request
    SILENT = "silent"  # never answers every tenth request
    SURPLUS = "surplus"  # answers a request once more in the place of the next one's answer
    FLAPPING = "flapping"  # stops saying that it is there, for some seconds


class TroubleKind(Enum):
    """What happens to gateways, and what the operator does."""

    HUP = "hup"  # SIGHUP
    HUP_SERIES = "hup_series"  # five of them, within half a second
    TERM = "term"  # SIGTERM, and a new start once it has ended
    TERM_IN_CHANGE = "term_in_change"  # the same, right after a change was sent there
    KILL = "kill"  # SIGKILL, and a new start
    KILL_IN_DRAIN = "kill_in_drain"  # SIGKILL a moment after SIGTERM
    STOP = "stop"  # SIGSTOP, and SIGCONT some seconds later
    STARVE = "starve"  # runs for a part of each tenth of a second only
    ZONE = "zone"  # all of a zone are killed at once
    CORE_ROLL = "core_roll"  # the core ends one by one, with a change between
    WIPE = "wipe"  # one of the core is killed and comes back without its disk
    PORT_HELD = "port_held"  # killed, and started again while somebody else listens at its port
    DISK_FULL = "disk_full"  # its disk takes no more bytes for some seconds
    RELEASE = "release"  # a backend drains and ends, and another one comes in its place
    CHANGE = "change"  # a change of the configuration
    RACE = "race"  # two changes on the same version
    INVALID = "invalid"  # a change that has to be refused


PLANNED = frozenset(
    (TroubleKind.HUP, TroubleKind.HUP_SERIES, TroubleKind.TERM, TroubleKind.CHANGE, TroubleKind.RACE,
     TroubleKind.INVALID, TroubleKind.TERM_IN_CHANGE, TroubleKind.CORE_ROLL,
     TroubleKind.RELEASE, TroubleKind.DISK_FULL)
)  # fmt: skip


class Action(msgspec.Struct, frozen=True):
    """What one client does at one moment: it sends requests on a connection, and waits or leaves."""

    at: float
    client: int
    gateway: int
    fresh: bool
    route: Route
    work: float
    requests: int
    tenant: str
    leave: Leave | None = None
    phase: Phase = Phase.WORKING
    after: float = 0.0  # seconds from the last byte sent until it leaves
    slow_reader: bool = False


class Trouble(msgspec.Struct, frozen=True):
    """Something that happens to a gateway, or a call of the operator at one."""

    at: float
    kind: TroubleKind
    gateway: int
    seconds: float


class Schedule(msgspec.Struct, frozen=True):
    """One run."""

    seed: int
    seconds: float
    gateways: int
    backends: tuple[BackendKind, ...]
    actions: tuple[Action, ...]
    troubles: tuple[Trouble, ...]

    def with_clients(self, clients: Collection[int]) -> Schedule:
        """The same with the actions of these clients alone."""
        return msgspec.structs.replace(self, actions=tuple(a for a in self.actions if a.client in clients))


def generate(seed: int, seconds: float, gateways: int = 5, clients: int = 40) -> Schedule:
    """Draws a run. The same arguments give the same one."""
    chance = random.Random(f"soak {seed} {seconds} {gateways} {clients}")
    kinds = [BackendKind.SOUND] * 4 + [BackendKind.STUBBORN, *chance.sample(list(BackendKind), 3)]
    actions = [
        action for client in range(clients) for action in actions_of(chance, client, seconds, gateways)
    ]
    return Schedule(
        seed,
        seconds,
        gateways,
        tuple(kinds),
        tuple(sorted(actions, key=lambda action: action.at)),
        tuple(troubles_of(chance, seconds, gateways)),
    )


def actions_of(chance: random.Random, client: int, seconds: float, gateways: int) -> list[Action]:
    """What one client does over the run."""
    actions, at = [], chance.expovariate(ASKS_PER_CLIENT)
    while at < seconds - CALM_AT_END:
        actions.append(action_of(chance, at, client, gateways))
        at += chance.expovariate(ASKS_PER_CLIENT)
    return actions


def action_of(chance: random.Random, at: float, client: int, gateways: int) -> Action:
    """One thing that a client does."""
    long = chance.random() < LONG_SHARE
    leaves = chance.random() < LEAVE_SHARE
    return Action(
        at=round(at, 3),
        client=client,
        gateway=chance.randrange(gateways),
        fresh=chance.random() < FRESH_SHARE,
        route=chance.choice([Route.ASK, Route.ASK, Route.ORDER]),
        work=LONG_WORK if long else round(chance.uniform(*SHORT_WORK), 3),
        requests=chance.choice([1, 1, 1, 1, chance.randint(2, MOST_PIPELINED)]),
        tenant=chance.choice(["wide", "wide", "wide", "tight"]),
        leave=chance.choice(list(Leave)) if leaves else None,
        phase=chance.choice([*Phase, Phase.WORKING, Phase.WORKING]),
        after=round(chance.uniform(0.0, 0.4), 3),
        slow_reader=chance.random() < 0.05,
    )


def troubles_of(chance: random.Random, seconds: float, gateways: int) -> list[Trouble]:
    """Troubles in series that overlap: now and then several at once, at the same gateway or at others."""
    troubles: list[Trouble] = []
    at = chance.uniform(1.0, 3.0)
    while at < seconds - CALM_AT_END - 4.0:
        for _ in range(chance.choice([1, 1, 2, 3])):
            kind = chance.choice(list(TroubleKind))
            if kind is TroubleKind.WIPE and any(one.kind is kind for one in troubles):
                kind = (
                    TroubleKind.KILL
                )  # a second disk is more than is to be borne before the first is repaired
            when = round(at + chance.uniform(0.0, 0.5), 3)
            troubles.append(
                Trouble(when, kind, chance.randrange(gateways), round(chance.uniform(0.5, 3.0), 3))
            )
        at += chance.uniform(1.5, 6.0)
    return sorted(troubles, key=lambda trouble: trouble.at)
