"""Model checking of two forwarders and two planners with one part and one customer, up to a depth.

A step is one of: the messages in flight on a link in one direction arrive, a process ticks, time advances, a
request arrives, an attempt ends, a link breaks at one end, a planner is killed and restarted, a process is
notified of a drain, a session loses its direct path or finds another. Pauses and delays need no steps of
their own: a process that does not tick while time advances is paused, and batches that do not arrive are
delayed.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from embersill.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    Cancel,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Request,
    Send,
    Status,
)
from embersill.lab.levels.world import plan_of, rule_terms, settings_for, usable_at
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.messages import AnyMessage, Batch, Lend
from embersill.tiers.planner import Planner, Session
from embersill.tiers.terms import Terms
from embersill.world import search as searching
from embersill.world.oracles import Rules
from embersill.world.records import (
    AttemptFinished,
    BackendNotified,
    CreditsBelieved,
    RequestAnswered,
    RequestReceived,
    SharesHeld,
    Written,
)

TERMS = Terms(bequest=0.95, gather=0.0)
TIME_STEP_S = 0.3  # longer than Terms.silent_after, shorter than a lease
CUSTOMER, UNITS = "pro0", 8.0
FORWARDERS, PLANNERS = ("f0", "f1"), ("p0", "p1")
REQUEST_BUDGET_S = 60.0  # no request reaches its end within a search
RENAMES: tuple[dict[str, str], ...] = ({}, {"f0": "f1", "f1": "f0"})
SKIPPED = frozenset(
    {
        "settings",
        "terms",
        "plans",
        "classes",
        "random",
        "handlers",
        "actions",
        "forwarders",
        "checks",
        "keyed",
        "counts",
        "horizons",
        "order",
        "share",
        "patience",
        "timers",
        "dead",
        "withdrawn",
        "born",
        "kinds",
        "usual",
        "granted",
        "sweep",
        "late",
        "quiet_until",
        "shortest",
        "swept_at",
        "pruned",
        "plan_of",
    }
)


class FixedRandom:
    """Replaces random numbers by a constant: the search varies the order of steps, not random draws."""

    def random(self) -> float:
        """Returns a constant."""
        return 0.25


@dataclass
class Bounds:
    """How often each kind of step may occur on a path."""

    advances: int = 3
    requests: int = 1
    ends: int = 1
    breaks: int = 1
    kills: int = 1
    drains: int = 0
    losses: int = 0  # of a session's direct path; it continues over the other planner once that path is found


class SmallModel:
    """The model. At the start all are linked, the first planner leads the part, and the ceiling is full."""

    def __init__(self, bounds: Bounds | None = None) -> None:
        shape = {"forwarders": 2, "ceiling": (8.0, 16.0)}
        self.settings = settings_for(shape)
        self.now = 100.0
        self.remaining = bounds if bounds is not None else Bounds()
        self.rules = Rules(rule_terms(self.settings), plan_of)
        self.lives = dict.fromkeys(PLANNERS, 1)
        self.forwarders = {name: self.forwarder() for name in FORWARDERS}
        self.planners = {name: self.planner() for name in PLANNERS}
        self.sessions: dict[tuple[str, str], Session] = {}  # (forwarder, planner), as the planner sees it
        self.linked: set[tuple[str, str]] = set()  # (forwarder, planner), as the forwarder sees it
        self.queues: dict[tuple[str, str], list[Batch]] = {}  # (sender, receiver)
        self.ticked: set[str] = set()  # processes that ticked at the current time
        self.request_count = 0
        self.open: dict[int, str] = {}  # request: its forwarder
        self.in_flight: dict[tuple[int, int], tuple[str, str]] = {}  # (request, attempt): forwarder, backend
        self.attempt_counts: dict[int, int] = {}  # by request
        self.lending: set[str] = set()  # forwarders whose Lend is in flight
        self.lost: set[tuple[str, str]] = set()  # (forwarder, planner) whose session has no path
        self.helpers: dict[tuple[str, str], str] = {}  # planner that relays a (forwarder, planner) session
        for forwarder in FORWARDERS:
            for planner in PLANNERS:
                self.link(forwarder, planner)
        self.run_undisturbed(4.0)

    def forwarder(self) -> Forwarder:
        """Returns a new forwarder core."""
        core = Forwarder(self.settings, 1, self.now, forwarders=2, planners=PLANNERS, parts=1, terms=TERMS)
        core.local.turn.random = FixedRandom()  # type: ignore[assignment]
        core.handle(self.backend_list(Status.SERVING, ListKind.WHOLE), self.now)
        return core

    def planner(self) -> Planner:
        """Returns a new planner core."""
        core = Planner(self.settings, 1, self.now, forwarders=FORWARDERS, planners=2, parts=1, terms=TERMS)
        core.gateway.turn.random = FixedRandom()  # type: ignore[assignment]
        core.list_told(self.backend_list(Status.SERVING, ListKind.WHOLE), self.now)
        return core

    def backend_list(self, first: Status, kind: ListKind) -> BackendList:
        """Returns a list of both backends, or a change of the first one."""
        backends = [Backend("b0", "z", "k", 0, first, 1.0, None)]
        if kind is ListKind.WHOLE:
            backends.append(Backend("b1", "z", "k", 1, Status.SERVING, 1.0, None))
        return BackendList(kind, tuple(backends))

    def link(self, forwarder: str, planner: str) -> None:
        """Connects a forwarder and a planner."""
        self.sessions[forwarder, planner] = self.planners[planner].link_up(forwarder, self.now)
        self.linked.add((forwarder, planner))
        self.queues[forwarder, planner], self.queues[planner, forwarder] = [], []
        life = f"{planner}.{self.lives[planner]}"
        self.perform(forwarder, self.forwarders[forwarder].link_up(planner, life, self.now))
        self.flush_planner(planner)

    def run_undisturbed(self, seconds: float) -> None:
        """Advances time without faults: all processes tick and all messages arrive."""
        end = self.now + seconds
        while self.now < end:
            self.now += TERMS.beat_every
            for name in (*PLANNERS, *FORWARDERS):
                self.do_tick(name)
            while any(self.queues.values()):
                for (sender, to), queue in self.queues.items():
                    if queue:
                        self.do_deliver(sender, to)
        self.ticked.clear()

    # the interface of a model

    def enabled(self) -> list[str]:
        """Returns the possible steps."""
        steps = [
            f"deliver {sender} {to}"
            for (sender, to), queue in sorted(self.queues.items())
            if queue
            and (self.is_open(sender, to) or to in self.planners)
            and not self.lost & {(sender, to), (to, sender)}
        ]
        steps += [f"tick {name}" for name in (*FORWARDERS, *PLANNERS) if name not in self.ticked]
        remaining = self.remaining
        if remaining.advances:
            steps.append("advance")
        if remaining.requests:
            steps += [f"ask {name}" for name in FORWARDERS]
        if remaining.ends:
            steps += [
                f"end {number} {attempt} {how}"
                for number, attempt in sorted(self.in_flight)
                for how in ("served", "broken")
            ]
        if remaining.breaks:
            steps += [
                f"break {node} {peer}"
                for forwarder, planner in sorted(self.linked)
                for node, peer in ((forwarder, planner), (planner, forwarder))
            ]
        if remaining.losses:
            steps += [f"lose {forwarder} {planner}" for forwarder, planner in sorted(self.linked - self.lost)]
        steps += [f"find {forwarder} {planner}" for forwarder, planner in sorted(self.lost & self.linked)]
        if remaining.kills:
            steps += [f"kill {name}" for name in PLANNERS]
        if remaining.drains:
            steps += [f"drain {name}" for name in (*FORWARDERS, *PLANNERS)]
        return steps

    def is_open(self, sender: str, to: str) -> bool:
        """Whether a forwarder still reads messages of a planner."""
        return (to, sender) in self.linked

    def step(self, name: str) -> None:
        """Executes a step by the method do_<kind>, then checks the state."""
        kind, *args = name.split(" ")
        getattr(self, f"do_{kind}")(*args)
        self.check_state()

    def fingerprint(self) -> bytes:
        """Returns a digest of the state that is equal if the forwarders' names are swapped."""
        state = (
            self.now,
            vars(self.remaining),
            self.lives,
            self.forwarders,
            self.planners,
            sorted(self.linked),
            sorted(self.lost),
            sorted(self.helpers.items()),
            self.sessions,
            self.queues,
            self.ticked,
            self.open,
            self.in_flight,
            self.attempt_counts,
            self.lending,
            self.rules.ceilings.levels,
        )
        return searching.canonical_digest(state, SKIPPED, RENAMES)

    # steps

    def do_deliver(self, sender: str, to: str) -> None:
        """All messages in flight in one direction arrive."""
        batches, self.queues[sender, to] = self.queues[sender, to], []
        for batch in batches:
            if to in self.planners:
                session = self.sessions.get((sender, to))
                if session is not None:
                    self.planners[to].received(session, batch, self.now)
                    if any(isinstance(message, Lend) for message in batch.messages):
                        self.lending.discard(sender)
                    self.flush_planner(to)
            elif (to, sender) in self.linked:
                self.perform(to, self.forwarders[to].received(sender, batch, self.now), sender)

    def do_tick(self, name: str) -> None:
        """A process does its periodic work."""
        self.ticked.add(name)
        if name in self.planners:
            self.planners[name].tick(self.now)
            self.flush_planner(name)
        else:
            self.perform(name, self.forwarders[name].tick(self.now))

    def do_advance(self) -> None:
        """Time advances."""
        self.remaining.advances -= 1
        self.now += TIME_STEP_S
        self.ticked.clear()

    def do_ask(self, name: str) -> None:
        """A request arrives at a forwarder."""
        self.remaining.requests -= 1
        self.request_count += 1
        self.open[self.request_count] = name
        self.rules.check(
            RequestReceived(
                self.now,
                self.request_count,
                "extract",
                "pro",
                CUSTOMER,
                UNITS,
                name,
                self.now + REQUEST_BUDGET_S,
            )
        )
        request = Request(
            self.request_count, "extract", "pro", CUSTOMER, self.now + REQUEST_BUDGET_S, UNITS, 2, 0, False
        )
        self.perform(name, self.forwarders[name].handle(request, self.now))

    def do_end(self, number: str, attempt: str, how: str) -> None:
        """An attempt ends: served or broken."""
        self.remaining.ends -= 1
        key = int(number), int(attempt)
        forwarder, backend = self.in_flight.pop(key)
        outcome = Outcome.SERVED if how == "served" else Outcome.BROKEN
        self.rules.check(AttemptFinished(self.now, key[0], key[1], outcome.value, outcome.never_ran))
        over = key[0] not in self.open
        if outcome is Outcome.SERVED and not over:
            over = True
            self.answered(key[0], "served")
        self.perform(
            forwarder,
            self.forwarders[forwarder].handle(
                AttemptEnded(key[0], key[1], backend, outcome, 0.1, over, 0.0, ()), self.now
            ),
        )

    def do_break(self, node: str, peer: str) -> None:
        """A link is closed at one end only; the other end does not notice."""
        self.remaining.breaks -= 1
        self.lost -= {(node, peer), (peer, node)}
        if node in self.forwarders:
            self.linked.discard((node, peer))
            self.perform(node, self.forwarders[node].link_down(peer, self.now))
        else:
            session = self.sessions.pop((peer, node), None)
            if session is not None:
                self.planners[node].link_down(session, self.now)
                self.flush_planner(node)

    def do_lose(self, forwarder: str, planner: str) -> None:
        """A session loses its last path, which both ends notice; messages in flight wait for another path."""
        self.remaining.losses -= 1
        self.lose(forwarder, planner)

    def lose(self, forwarder: str, planner: str) -> None:
        """Removes the path of a session."""
        self.lost.add((forwarder, planner))
        self.helpers.pop((forwarder, planner), None)
        session = self.sessions.get((forwarder, planner))
        if session is not None:
            self.planners[planner].link_lost(session)
        self.perform(forwarder, self.forwarders[forwarder].link_lost(planner, self.now))

    def do_find(self, forwarder: str, planner: str) -> None:
        """A session continues over the other planner, until that one is killed."""
        self.lost.discard((forwarder, planner))
        self.helpers[forwarder, planner] = next(name for name in PLANNERS if name != planner)

    def do_kill(self, name: str) -> None:
        """A planner is killed and restarted immediately without state; its forwarders connect again."""
        self.remaining.kills -= 1
        for (forwarder, planner), helper in list(self.helpers.items()):
            if helper == name:
                self.lose(forwarder, planner)
        for forwarder in FORWARDERS:
            self.lost.discard((forwarder, name))
            self.helpers.pop((forwarder, name), None)
        self.lives[name] += 1
        self.planners[name] = self.planner()
        for forwarder in FORWARDERS:
            if (forwarder, name) in self.linked:
                self.perform(forwarder, self.forwarders[forwarder].link_down(name, self.now))
            self.sessions.pop((forwarder, name), None)
            self.link(forwarder, name)

    def do_drain(self, name: str) -> None:
        """A process is notified that a backend drains."""
        self.remaining.drains -= 1
        self.rules.check(BackendNotified(self.now, name, "b0", False))
        event = self.backend_list(Status.DRAINING, ListKind.CHANGES)
        if name in self.planners:
            self.planners[name].list_told(event, self.now)
            self.flush_planner(name)
        else:
            self.perform(name, self.forwarders[name].handle(event, self.now))

    # what driver and links do

    def flush_planner(self, name: str) -> None:
        """Queues the messages in a planner's outboxes."""
        core = self.planners[name]
        for (forwarder, planner), session in sorted(self.sessions.items(), key=lambda item: item[0]):
            if planner == name and (session.outbox or session.acked > session.acked_told):
                messages, basis, acked = core.take_outbox(session)
                if (forwarder, planner) in self.linked:
                    self.queues[planner, forwarder].append(Batch(0, basis, acked, messages))

    def perform(self, name: str, actions: list[Action], decider: str = "") -> None:
        """Executes the actions of a forwarder and queues the messages in its outbox."""
        for action in actions:
            self.execute(name, action, decider)
        core = self.forwarders[name]
        for planner, messages in core.outbox.items():
            if messages:
                core.outbox[planner] = list[AnyMessage]()
                if (name, planner) in self.linked:
                    self.queues[name, planner].append(Batch(0, 0, 0, messages))
                    if any(isinstance(message, Lend) for message in messages):
                        self.lending.add(name)

    def execute(self, name: str, action: Action, decider: str) -> None:
        """Executes one action of a forwarder."""
        if isinstance(action, Send):
            attempt = self.attempt_counts.get(action.request, 0)
            self.attempt_counts[action.request] = attempt + 1
            self.in_flight[action.request, attempt] = name, action.backend
            deciders = (name, decider) if decider else (name,)
            self.rules.check(
                Written(self.now, action.request, attempt, action.backend, action.backend, deciders)
            )
        elif isinstance(action, Refuse | Fail) and action.request in self.open:
            self.answered(action.request, "refused" if isinstance(action, Refuse) else "failed")
        elif isinstance(action, Cancel):
            found = self.in_flight.pop((action.request, action.attempt), None)
            if found is not None:
                self.rules.check(
                    AttemptFinished(self.now, action.request, action.attempt, "cancelled", False)
                )

    def answered(self, number: int, how: str) -> None:
        """Closes a request with its answer."""
        del self.open[number]
        self.rules.check(RequestAnswered(self.now, number, how))

    # state that the rules check

    def check_state(self) -> None:
        """Checks the users of shares and the beliefs about credits."""
        users: dict[str, list[str]] = {}
        beliefs: list[tuple[str, float]] = []
        for name, planner in self.planners.items():
            life = f"{name}.{self.lives[name]}"
            holders = (core.parts[0].holder for f, core in self.forwarders.items() if f not in self.lending)
            if not any(holder is not None and holder.incarnation == life for holder in holders):
                continue
            usable = usable_at(planner, 0, self.now)
            for lender in usable:
                users.setdefault(lender, []).append(life)
            throttle = planner.gateway.throttles.get(CUSTOMER)
            if throttle is not None:
                left = throttle.filled((throttle.cap, throttle.stamp), self.now)
                beliefs.append((life, min(left, throttle.plan.ceiling_depth * len(usable) / 2)))
        for name, core in self.forwarders.items():
            part, throttle = core.parts[0], core.local.throttles.get(CUSTOMER)
            if part.holder is None and part.free_at() <= self.now:
                users.setdefault(name, []).append(name)
            reserve = core.reserves.get(CUSTOMER)
            left = reserve.units if reserve is not None else 0.0
            if throttle is not None and (part.holder is None or throttle.queue):
                left = max(left, throttle.filled((throttle.cap, throttle.stamp), self.now))
            beliefs.append((name, left))
        self.rules.check(SharesHeld(self.now, 0, tuple((f, tuple(u)) for f, u in sorted(users.items()))))
        self.rules.check(CreditsBelieved(self.now, CUSTOMER, tuple(beliefs)))


def make(bounds: Bounds) -> SmallModel:
    """Returns the model in its initial state."""
    return SmallModel(replace(bounds))


def search(depth: int, max_states: int, processes: int, bounds: Bounds | None = None) -> dict[str, Any]:
    """Searches the model and returns figures; `way` is a shortest path to a violation, if there is one."""
    found = searching.search(partial(make, bounds or Bounds()), depth, max_states, processes)
    return {
        "states_explored": found.states,
        "steps": found.steps,
        "depth": found.depth,
        "search_complete": found.complete,
        "widths": found.widths,
        "broken": found.broken,
        "way": found.path,
    }
