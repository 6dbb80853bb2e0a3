"""The duty of carrying a policy down the sites: one member of the core has it, by the agreed record. No I/O.

The holder tells a step and lets gateways count for a while how things are without it, binds it, and watches:
all gateways tell what they have seen, `judging` says what is to be held of that. Slowness is tried once more
after a rest, since a trouble at the step's sites alone looks the same; lost or doubled work, or what can't be
known in three times the watch, halts. A holder that has just started begins the stretch anew.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.records import Effects
from embersill.edge.configuration.document import Run, State
from embersill.edge.consensus.duty import Duty
from embersill.edge.rollout.judging import Finding, judged
from embersill.edge.throttling.reports import Gather
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.configuration.rollouts import (
    bound,
    harmed,
    held,
    passed,
    rested,
    rollouts_of,
    step_at,
    stretch,
    told,
)
from embersill.edge.rollout.watch import ByKind, added

DUTY = "rollouts"  # its name on the ring
ASK_EVERY = 1.0  # seconds between questions what gateways have seen
WATCHES = 3.0  # times the watch after which what is not known to be good is taken back
RESTS = 1.0  # times the watch that a step that harmed rests before it is tried again
MOST_TRIES = 1  # further tries of steps, in a run


def one_word(text: str) -> str:
    """As a value of a log line."""
    return text.replace(" ", "_")


class Roller:
    """The duty of carrying a policy down the sites, judging each step."""

    def __init__(
        self,
        me: Hello,
        peers: PeerSet,
        agreement: Agreement,
        effects: Effects,
        state: Callable[[], State],
        known: Callable[[], bool],
        now: float,
    ) -> None:
        """`state`: what is in force here. `known`: True once all linked gateways have it."""
        self.me, self.peers, self.state, self.known = me, peers, state, known
        self.duty = Duty(DUTY, me, peers, agreement, lambda: rollouts_of(state())["holder"], held)
        self.counts: Callable[[], dict[str, ByKind]] = dict  # what this gateway has seen, by stretch
        self.gather = Gather("watch", me, peers, effects, lambda _: msgspec.to_builtins(self.counts()))
        self.key: tuple[Any, ...] = ()  # the stretch that the run is in
        self.spent = 0.0  # seconds in it
        self.looked = self.asked_at = now
        self.finding = Finding("more")

    def tick(self, now: float) -> None:
        """What is due by now."""
        rollouts = rollouts_of(self.state())
        run, passed_by, self.looked = rollouts["run"], max(now - self.looked, 0.0), now
        self.gather.tick(now)
        if run is None or run["phase"] == "paused":
            self.key = ()
            return
        key = rollouts["number"], run["phase"], run["tries"], run["step"], run["told"]
        if key != self.key:
            self.key, self.spent, self.finding, self.asked_at = key, 0.0, Finding("more"), now
        else:
            self.spent += passed_by
        if self.duty.may_act(now):
            self.act(rollouts["number"], run, now)

    def act(self, number: int, run: Run, now: float) -> None:
        """Takes the next step of a run, if it is due."""
        step, what = run["step"], f"rollout number={number} step={run['step']} told={run['told']}"
        if run["phase"] == "resting":
            if self.spent >= RESTS * run["watch_s"]:
                self.duty.propose(lambda state: rested(state, number, step), f"{what} did=rested")
        elif run["told"] > step:
            if self.spent >= run["watch_s"] and self.known():
                self.duty.propose(lambda state: bound(state, number, step + 1), f"{what} did=bound")
        elif step < 0:
            self.duty.propose(lambda state: told(state, number, 0), f"{what} did=told")
        else:
            self.judge(number, run, now)

    def judge(self, number: int, run: Run, now: float) -> None:
        """Goes on, waits or goes back, by what the gateways have seen."""
        step, found, watch = run["step"], self.finding, run["watch_s"]
        what = f"rollout number={number} step={step}"
        if found.how == "harm":
            again = not found.grave and run["tries"] < MOST_TRIES
            self.take_back(number, step, found.why, again)
        elif found.how == "good" and self.spent >= watch:
            if step + 1 < len(run["steps"]):
                self.duty.propose(lambda state: told(state, number, step + 1), f"{what} did=good")
            else:
                self.duty.propose(lambda state: passed(state, number), f"{what} did=done")
        elif self.spent >= WATCHES * watch:
            self.take_back(number, step, f"not to be known: {found.why or 'nobody told'}", False)
        elif now - self.asked_at >= ASK_EVERY:
            self.asked_at, key = now, self.key

            def came(counts: dict[str, Any], silent: list[str]) -> None:
                if self.key == key:
                    self.finding = self.found(number, run, counts, silent)

            self.gather.ask("", came, now)

    def take_back(self, number: int, step: int, why: str, again: bool) -> None:
        """Lays that a step did harm; `again`: it will be tried once more."""
        what = f"rollout number={number} step={step} did={'rest' if again else 'halt'} why={one_word(why)}"
        self.duty.propose(lambda state: harmed(state, number, step, why, again), what)

    def found(self, number: int, run: Run, counts: dict[str, Any], silent: list[str]) -> Finding:
        """What all gateways have seen, the sites with the policy against those without it."""
        step, tries = run["step"], run["tries"]
        sides: tuple[list[ByKind], ...] = ([], [], [], [])
        unheard, where = "", list[str]()
        for name, zone in self.zones().items():
            at = step_at(run, zone, name)
            if name in silent and at <= step:
                unheard = f"{name} does not tell"
            seen = msgspec.convert(counts.get(name, {}), dict[str, ByKind])
            since = seen.get(stretch(number, tries, step, step), {})
            where += [name for kind in since.values() if kind.doubled or kind.missing]
            if at > step:
                sides[2].append(seen.get(stretch(number, tries, step - 1, step), {}))
                sides[3].append(since)
                continue
            sides[1].append(since)
            before = [
                seen[label]
                for try_ in range(tries, -1, -1)
                if (label := stretch(number, try_, at - 1, at)) in seen
            ]
            sides[0].extend(before[:1])
        finding = judged(*map(added, sides))
        if finding.grave:
            return Finding("harm", f"{finding.why} at {', '.join(dict.fromkeys(where))}", True)
        return Finding("more", unheard) if unheard and finding.how == "good" else finding

    def zones(self) -> dict[str, str]:
        """Gateways that are there, and their zones."""
        return {self.me.name: self.me.zone, **{name: one.zone for name, one in self.peers.linked.items()}}
