"""Two forwarders, two planners, one part, one customer: all that can happen, up to a depth.

A step is one of: what is under way on a link in one direction arrives, a process ticks, time goes by, a
request comes, an attempt ends, a link breaks at one end, a planner dies and is back, a drain is told.
Processes that do not tick while time goes by stand still; batches that do not arrive are held: pauses and
delays need no steps of their own.
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
STEP = 0.3  # seconds that go by at once: more than a silence, less than a lease
CUSTOMER, UNITS = "pro0", 8.0
FORWARDERS, PLANNERS = ("f0", "f1"), ("p0", "p1")
LASTING = 60.0  # seconds that a request has: none is over within a search
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


class Even:
    """Chance that always falls alike: what is searched is order, not luck."""

    def random(self) -> float:
        return 0.25


@dataclass
class Bounds:
    """How many times each may happen."""

    advances: int = 3
    requests: int = 1
    ends: int = 1
    breaks: int = 1
    kills: int = 1
    drains: int = 0
    losses: int = 0  # of a session's direct path; it goes on over the other planner once that is found


class Small:
    """The model. Starts with all linked and the part led by its first planner, its ceiling full."""

    def __init__(self, bounds: Bounds | None = None) -> None:
        shape = {"forwarders": 2, "ceiling": (8.0, 16.0)}
        self.settings = settings_for(shape)
        self.now = 100.0
        self.left = bounds if bounds is not None else Bounds()
        self.rules = Rules(rule_terms(self.settings), plan_of)
        self.lives = dict.fromkeys(PLANNERS, 1)
        self.forwarders = {name: self.forwarder() for name in FORWARDERS}
        self.planners = {name: self.planner() for name in PLANNERS}
        self.sessions: dict[tuple[str, str], Session] = {}  # (forwarder, planner), as the planner has it
        self.linked: set[tuple[str, str]] = set()  # as the forwarder has it
        self.queues: dict[tuple[str, str], list[Batch]] = {}  # (from, to)
        self.ticked: set[str] = set()  # who has, at this moment
        self.asked = 0
        self.open: dict[int, str] = {}  # request: its forwarder
        self.out: dict[tuple[int, int], tuple[str, str]] = {}  # (request, attempt): forwarder, backend
        self.tries: dict[int, int] = {}
        self.lending: set[str] = set()  # forwarders whose Lend is on its way
        self.lost: set[tuple[str, str]] = set()  # (forwarder, planner): no path leads from one to the other
        self.over: dict[tuple[str, str], str] = {}  # sessions that go over a helper: which
        for forwarder in FORWARDERS:
            for planner in PLANNERS:
                self.link(forwarder, planner)
        self.settle(4.0)

    def forwarder(self) -> Forwarder:
        made = Forwarder(self.settings, 1, self.now, forwarders=2, planners=PLANNERS, parts=1, terms=TERMS)
        made.local.turn.random = Even()  # type: ignore[assignment]
        made.handle(self.listed(Status.SERVING, ListKind.WHOLE), self.now)
        return made

    def planner(self) -> Planner:
        made = Planner(self.settings, 1, self.now, forwarders=FORWARDERS, planners=2, parts=1, terms=TERMS)
        made.gateway.turn.random = Even()  # type: ignore[assignment]
        made.list_told(self.listed(Status.SERVING, ListKind.WHOLE), self.now)
        return made

    def listed(self, first: Status, kind: ListKind) -> BackendList:
        backends = [Backend("b0", "z", "k", 0, first, 1.0, None)]
        if kind is ListKind.WHOLE:
            backends.append(Backend("b1", "z", "k", 1, Status.SERVING, 1.0, None))
        return BackendList(kind, tuple(backends))

    def link(self, forwarder: str, planner: str) -> None:
        self.sessions[forwarder, planner] = self.planners[planner].link_up(forwarder, self.now)
        self.linked.add((forwarder, planner))
        self.queues[forwarder, planner], self.queues[planner, forwarder] = [], []
        life = f"{planner}.{self.lives[planner]}"
        self.did(forwarder, self.forwarders[forwarder].link_up(planner, life, self.now))
        self.flush_planner(planner)

    def settle(self, seconds: float) -> None:
        """Time goes by as it should: all tick, all arrives."""
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

    # the model's face

    def enabled(self) -> list[str]:
        steps = [
            f"deliver {sender} {to}"
            for (sender, to), queue in sorted(self.queues.items())
            if queue
            and (self.is_open(sender, to) or to in self.planners)
            and not self.lost & {(sender, to), (to, sender)}
        ]
        steps += [f"tick {name}" for name in (*FORWARDERS, *PLANNERS) if name not in self.ticked]
        left = self.left
        if left.advances:
            steps.append("advance")
        if left.requests:
            steps += [f"ask {name}" for name in FORWARDERS]
        if left.ends:
            steps += [
                f"end {number} {place} {how}"
                for number, place in sorted(self.out)
                for how in ("served", "broken")
            ]
        if left.breaks:
            steps += [
                f"break {one} {other}"
                for forwarder, planner in sorted(self.linked)
                for one, other in ((forwarder, planner), (planner, forwarder))
            ]
        if left.losses:
            steps += [f"lose {forwarder} {planner}" for forwarder, planner in sorted(self.linked - self.lost)]
        steps += [f"find {forwarder} {planner}" for forwarder, planner in sorted(self.lost & self.linked)]
        if left.kills:
            steps += [f"kill {name}" for name in PLANNERS]
        if left.drains:
            steps += [f"drain {name}" for name in (*FORWARDERS, *PLANNERS)]
        return steps

    def is_open(self, sender: str, to: str) -> bool:
        """True if what comes from a planner would be read."""
        return (to, sender) in self.linked

    def step(self, name: str) -> None:
        what, *rest = name.split(" ")
        getattr(self, f"do_{what}")(*rest)
        self.look()

    def fingerprint(self) -> bytes:
        state = (
            self.now,
            vars(self.left),
            self.lives,
            self.forwarders,
            self.planners,
            sorted(self.linked),
            sorted(self.lost),
            sorted(self.over.items()),
            self.sessions,
            self.queues,
            self.ticked,
            self.open,
            self.out,
            self.tries,
            self.lending,
            self.rules.ceilings.levels,
        )
        return searching.canonical_digest(state, SKIPPED, RENAMES)

    # steps

    def do_deliver(self, sender: str, to: str) -> None:
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
                self.did(to, self.forwarders[to].received(sender, batch, self.now), sender)

    def do_tick(self, name: str) -> None:
        self.ticked.add(name)
        if name in self.planners:
            self.planners[name].tick(self.now)
            self.flush_planner(name)
        else:
            self.did(name, self.forwarders[name].tick(self.now))

    def do_advance(self) -> None:
        self.left.advances -= 1
        self.now += STEP
        self.ticked.clear()

    def do_ask(self, name: str) -> None:
        self.left.requests -= 1
        self.asked += 1
        self.open[self.asked] = name
        self.rules.check(
            RequestReceived(self.now, self.asked, "extract", "pro", CUSTOMER, UNITS, name, self.now + LASTING)
        )
        request = Request(self.asked, "extract", "pro", CUSTOMER, self.now + LASTING, UNITS, 2, 0, False)
        self.did(name, self.forwarders[name].handle(request, self.now))

    def do_end(self, number: str, place: str, how: str) -> None:
        self.left.ends -= 1
        key = int(number), int(place)
        forwarder, backend = self.out.pop(key)
        outcome = Outcome.SERVED if how == "served" else Outcome.BROKEN
        self.rules.check(AttemptFinished(self.now, key[0], key[1], outcome.value, outcome.never_ran))
        over = key[0] not in self.open
        if outcome is Outcome.SERVED and not over:
            over = True
            self.answered(key[0], "served")
        self.did(
            forwarder,
            self.forwarders[forwarder].handle(
                AttemptEnded(key[0], key[1], backend, outcome, 0.1, over, 0.0, ()), self.now
            ),
        )

    def do_break(self, one: str, other: str) -> None:
        """A link ends at one end only: the other goes on as if nothing had been."""
        self.left.breaks -= 1
        self.lost -= {(one, other), (other, one)}
        if one in self.forwarders:
            self.linked.discard((one, other))
            self.did(one, self.forwarders[one].link_down(other, self.now))
        else:
            session = self.sessions.pop((other, one), None)
            if session is not None:
                self.planners[one].link_down(session, self.now)
                self.flush_planner(one)

    def do_lose(self, forwarder: str, planner: str) -> None:
        """The last path of a session goes, as both ends see; what is under way on it waits for another."""
        self.left.losses -= 1
        self.lose(forwarder, planner)

    def lose(self, forwarder: str, planner: str) -> None:
        self.lost.add((forwarder, planner))
        self.over.pop((forwarder, planner), None)
        session = self.sessions.get((forwarder, planner))
        if session is not None:
            self.planners[planner].link_lost(session)
        self.did(forwarder, self.forwarders[forwarder].link_lost(planner, self.now))

    def do_find(self, forwarder: str, planner: str) -> None:
        """The session goes on over the other planner, as long as that one lives."""
        self.lost.discard((forwarder, planner))
        self.over[forwarder, planner] = next(name for name in PLANNERS if name != planner)

    def do_kill(self, name: str) -> None:
        """A planner dies and is back at once, with nothing; its forwarders link anew."""
        self.left.kills -= 1
        for (forwarder, planner), helper in list(self.over.items()):
            if helper == name:
                self.lose(forwarder, planner)
        for forwarder in FORWARDERS:
            self.lost.discard((forwarder, name))
            self.over.pop((forwarder, name), None)
        self.lives[name] += 1
        self.planners[name] = self.planner()
        for forwarder in FORWARDERS:
            if (forwarder, name) in self.linked:
                self.did(forwarder, self.forwarders[forwarder].link_down(name, self.now))
            self.sessions.pop((forwarder, name), None)
            self.link(forwarder, name)

    def do_drain(self, name: str) -> None:
        self.left.drains -= 1
        self.rules.check(BackendNotified(self.now, name, "b0", False))
        event = self.listed(Status.DRAINING, ListKind.CHANGES)
        if name in self.planners:
            self.planners[name].list_told(event, self.now)
            self.flush_planner(name)
        else:
            self.did(name, self.forwarders[name].handle(event, self.now))

    # what processes do

    def flush_planner(self, name: str) -> None:
        core = self.planners[name]
        for (forwarder, planner), session in sorted(self.sessions.items(), key=lambda item: item[0]):
            if planner == name and (session.outbox or session.acked > session.acked_told):
                messages, basis, acked = core.take_outbox(session)
                if (forwarder, planner) in self.linked:
                    self.queues[planner, forwarder].append(Batch(0, basis, acked, messages))

    def did(self, name: str, actions: list[Action], decider: str = "") -> None:
        for action in actions:
            self.act(name, action, decider)
        core = self.forwarders[name]
        for planner, messages in core.outbox.items():
            if messages:
                core.outbox[planner] = list[AnyMessage]()
                if (name, planner) in self.linked:
                    self.queues[name, planner].append(Batch(0, 0, 0, messages))
                    if any(isinstance(message, Lend) for message in messages):
                        self.lending.add(name)

    def act(self, name: str, action: Action, decider: str) -> None:
        if isinstance(action, Send):
            place = self.tries.get(action.request, 0)
            self.tries[action.request] = place + 1
            self.out[action.request, place] = name, action.backend
            deciders = (name, decider) if decider else (name,)
            self.rules.check(
                Written(self.now, action.request, place, action.backend, action.backend, deciders)
            )
        elif isinstance(action, Refuse | Fail) and action.request in self.open:
            self.answered(action.request, "refused" if isinstance(action, Refuse) else "failed")
        elif isinstance(action, Cancel):
            found = self.out.pop((action.request, action.attempt), None)
            if found is not None:
                self.rules.check(
                    AttemptFinished(self.now, action.request, action.attempt, "cancelled", False)
                )

    def answered(self, number: int, how: str) -> None:
        del self.open[number]
        self.rules.check(RequestAnswered(self.now, number, how))

    # what the rules look at

    def look(self) -> None:
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
            kept = core.reserves.get(CUSTOMER)
            left = kept.units if kept is not None else 0.0
            if throttle is not None and (part.holder is None or throttle.queue):
                left = max(left, throttle.filled((throttle.cap, throttle.stamp), self.now))
            beliefs.append((name, left))
        self.rules.check(SharesHeld(self.now, 0, tuple((f, tuple(u)) for f, u in sorted(users.items()))))
        self.rules.check(CreditsBelieved(self.now, CUSTOMER, tuple(beliefs)))


def make(bounds: Bounds) -> Small:
    return Small(replace(bounds))


def search(depth: int, most_states: int, processes: int, bounds: Bounds | None = None) -> dict[str, Any]:
    """The search's figures; `way` is the shortest way to a breach, if there is one."""
    found = searching.search(partial(make, bounds or Bounds()), depth, most_states, processes)
    return {
        "states_explored": found.states,
        "steps": found.steps,
        "depth": found.depth,
        "search_complete": found.complete,
        "widths": found.widths,
        "broken": found.broken,
        "way": found.path,
    }
