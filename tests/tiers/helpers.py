"""Forwarder and planner cores on a perfect network, for tests that control every step."""

from __future__ import annotations

from collections.abc import Callable

from embersill.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    Status,
    TimerDue,
)
from embersill.rig.settings import lab_settings
from embersill.tiers.forwarder import Forwarder
from embersill.tiers.messages import Batch
from embersill.tiers.parts import part_of
from embersill.tiers.planner import Planner, Session
from embersill.tiers.terms import Terms

PARTS = 4
TERMS = Terms()


def backends(*names: str, status: Status = Status.SERVING, kind: ListKind = ListKind.WHOLE) -> BackendList:
    listed = (Backend(n, "z", "k", i % 2, status, 1.0, None) for i, n in enumerate(names))
    return BackendList(kind, tuple(listed))


class Bench:
    """Forwarders and planners on one clock; messages are delivered only when a test says so."""

    def __init__(self, forwarders: int = 2, planners: int = 2, settings: Settings | None = None) -> None:
        self.settings = settings or lab_settings(forwarders)
        self.names = [f"f{n}" for n in range(forwarders)]
        self.planner_names = [f"p{n}" for n in range(planners)]
        self.now = 100.0
        self.lives: dict[str, int] = {}
        self.planners: dict[str, Planner] = {}
        self.forwarders = {name: self.forwarder() for name in self.names}
        self.sessions: dict[tuple[str, str], Session] = {}
        self.actions: dict[str, list[Action]] = {name: [] for name in self.names}
        self.served: set[tuple[str, int, int]] = set()
        self.timers: list[tuple[float, str, str]] = []  # (due, whose, key)
        for name in self.planner_names:
            self.start_planner(name)

    def forwarder(self) -> Forwarder:
        made = Forwarder(
            self.settings,
            1,
            self.now,
            forwarders=len(self.names),
            planners=self.planner_names,
            parts=PARTS,
            terms=TERMS,
        )
        made.handle(backends("b0", "b1"), self.now)
        return made

    def start_planner(self, name: str) -> None:
        self.lives[name] = self.lives.get(name, 0) + 1
        self.planners[name] = Planner(
            self.settings,
            1,
            self.now,
            forwarders=self.names,
            planners=len(self.planner_names),
            parts=PARTS,
            terms=TERMS,
        )
        self.planners[name].list_told(backends("b0", "b1"), self.now)

    def link(self, forwarder: str, planner: str) -> None:
        self.sessions[forwarder, planner] = self.planners[planner].link_up(forwarder, self.now)
        life = f"{planner}.{self.lives[planner]}"
        self.did(forwarder, self.forwarders[forwarder].link_up(planner, life, self.now))

    def link_all(self) -> None:
        for forwarder in self.names:
            for planner in self.planner_names:
                self.link(forwarder, planner)
        self.run(0.3)

    def cut(self, forwarder: str, planner: str, forwarder_sees: bool = True) -> None:
        """Cuts a link; the planner does not notice unless a test tells it."""
        self.sessions.pop((forwarder, planner))
        if forwarder_sees:
            self.did(forwarder, self.forwarders[forwarder].link_down(planner, self.now))

    def did(self, forwarder: str, actions: list[Action]) -> None:
        self.actions[forwarder] += actions
        self.timers += [(self.now + a.delay, forwarder, a.key) for a in actions if isinstance(a, SetTimer)]

    def fire(self, frozen: tuple[str, ...]) -> None:
        """Fires the timers that are due, except those of frozen processes."""
        for name, planner in self.planners.items():
            self.timers += [(self.now + delay, name, key) for delay, key in planner.timers]
            planner.timers.clear()
        due = sorted(t for t in self.timers if t[0] <= self.now and t[1] not in frozen)
        self.timers = [t for t in self.timers if t not in due]
        for when, name, key in due:
            if name in self.planners:
                self.planners[name].timer_due(key, when, self.now)
            else:
                self.did(name, self.forwarders[name].handle(TimerDue(key), self.now))

    def to_planner(self, forwarder: str, planner: str) -> None:
        core = self.forwarders[forwarder]
        messages, core.outbox[planner] = core.outbox[planner], []
        if messages:
            self.planners[planner].received(
                self.sessions[forwarder, planner], Batch(0, 0, 0, messages), self.now
            )

    def to_forwarder(self, forwarder: str, planner: str) -> None:
        messages, basis, acked = self.planners[planner].take_outbox(self.sessions[forwarder, planner])
        self.did(
            forwarder,
            self.forwarders[forwarder].received(planner, Batch(0, basis, acked, messages), self.now),
        )

    def exchange(self) -> None:
        """Delivers all messages both ways, for four rounds."""
        for _ in range(4):
            for forwarder, planner in list(self.sessions):
                self.to_planner(forwarder, planner)
            for forwarder, planner in list(self.sessions):
                self.to_forwarder(forwarder, planner)

    def run(
        self, seconds: float, frozen: tuple[str, ...] = (), each: Callable[[], None] | None = None
    ) -> None:
        """Advances the time in small steps with beats and ticks, except for frozen processes."""
        end = self.now + seconds
        while self.now < end:
            self.now += TERMS.beat_every / 2
            self.fire(frozen)
            for name, planner in self.planners.items():
                if name not in frozen:
                    planner.tick(self.now)
            for name in self.names:
                if name not in frozen:
                    self.did(name, self.forwarders[name].tick(self.now))
            for forwarder, planner_name in list(self.sessions):
                if planner_name not in frozen and forwarder not in frozen:
                    self.to_planner(forwarder, planner_name)
                    self.to_forwarder(forwarder, planner_name)
            if each is not None:
                each()

    def ask(
        self,
        forwarder: str,
        number: int,
        klass: str = "lookup",
        plan: str = "free",
        customer: str = "c",
        units: float = 1.0,
        budget: float = 4.0,
    ) -> None:
        request = Request(number, klass, plan, customer, self.now + budget, units, 2, 0, False)
        self.did(forwarder, self.forwarders[forwarder].handle(request, self.now))

    def serve(self) -> None:
        """Answers every attempt in flight."""
        for name in self.names:
            for send in [a for a in self.actions[name] if isinstance(a, Send)]:
                attempts = [a for a in self.sends(name, send.request)]
                place = attempts.index(send)
                if (name, send.request, place) not in self.served:
                    self.served.add((name, send.request, place))
                    self.did(
                        name,
                        self.forwarders[name].handle(
                            AttemptEnded(
                                send.request, place, send.backend, Outcome.SERVED, 0.01, True, 0.0, ()
                            ),
                            self.now,
                        ),
                    )

    def holder(self, forwarder: str, customer: str = "c") -> str:
        holder = self.forwarders[forwarder].parts[part_of(customer, PARTS)].holder
        return holder.name if holder is not None else ""

    def sends(self, forwarder: str, number: int) -> list[Send]:
        return [a for a in self.actions[forwarder] if isinstance(a, Send) and a.request == number]

    def answers(self, forwarder: str, number: int) -> list[Refuse | Fail]:
        return [a for a in self.actions[forwarder] if isinstance(a, Refuse | Fail) and a.request == number]
