"""The duty of rolling out a policy site by site, held by one core member at a time. No I/O.

The agreed record names the holder. It announces a step, lets gateways count for a while without it, puts it
in force, and watches: it collects the counts of all gateways, and `judging` decides on them. A step that
made requests slower is tried once more after a rest, since a problem at the step's sites alone looks the
same. Lost or doubled work halts the rollout, and so does a step without a clear result after three times
the watch time. A holder that has just started begins the stage again.
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
    activate_step,
    roll_back,
    with_holder,
    complete_run,
    resume_after_rest,
    rollouts_of,
    step_at,
    stage_label,
    announce_step,
)
from embersill.edge.rollout.watch import ByKind, total_by_kind

DUTY = "rollouts"  # the duty's name on the ring
QUERY_INTERVAL_S = 1.0  # between queries for the gateways' counts
MAX_WATCHES = 3.0  # multiple of the watch time after which a step without a clear result is taken back
REST_WATCHES = 1.0  # multiple of the watch time that a harmful step rests before it is tried again
MAX_RETRIES = 1  # of steps in a run


def log_value(text: str) -> str:
    """A text without spaces, as a value in a log line."""
    return text.replace(" ", "_")


class RolloutRunner:
    """Rolls out a policy site by site and judges each step, while this member holds the duty."""

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
        """`state`: the configuration in force here; `known`: True once all linked gateways have it."""
        self.me, self.peers, self.state, self.known = me, peers, state, known
        self.duty = Duty(DUTY, me, peers, agreement, lambda: rollouts_of(state())["holder"], with_holder)
        self.counts: Callable[[], dict[str, ByKind]] = dict  # this gateway's counts by stage
        self.gather = Gather("watch", me, peers, effects, lambda _: msgspec.to_builtins(self.counts()))
        self.key: tuple[Any, ...] = ()  # identifies the stage that the run is in
        self.spent = 0.0  # seconds in that stage
        self.last_tick = self.asked_at = now
        self.finding = Finding("more")

    def tick(self, now: float) -> None:
        """Updates the time spent in the stage, and acts if this member holds the duty."""
        rollouts = rollouts_of(self.state())
        run, passed_by, self.last_tick = rollouts["run"], max(now - self.last_tick, 0.0), now
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
        """Proposes the next change of a run, if it is due."""
        step, what = run["step"], f"rollout number={number} step={run['step']} told={run['told']}"
        if run["phase"] == "resting":
            if self.spent >= REST_WATCHES * run["watch_s"]:
                self.duty.propose(lambda state: resume_after_rest(state, number, step), f"{what} did=rested")
        elif run["told"] > step:
            if self.spent >= run["watch_s"] and self.known():
                self.duty.propose(lambda state: activate_step(state, number, step + 1), f"{what} did=bound")
        elif step < 0:
            self.duty.propose(lambda state: announce_step(state, number, 0), f"{what} did=told")
        else:
            self.judge(number, run, now)

    def judge(self, number: int, run: Run, now: float) -> None:
        """Goes on, waits or takes the step back, by the gateways' counts."""
        step, found, watch = run["step"], self.finding, run["watch_s"]
        what = f"rollout number={number} step={step}"
        if found.how == "harm":
            again = not found.grave and run["tries"] < MAX_RETRIES
            self.take_back(number, step, found.why, again)
        elif found.how == "good" and self.spent >= watch:
            if step + 1 < len(run["steps"]):
                self.duty.propose(lambda state: announce_step(state, number, step + 1), f"{what} did=good")
            else:
                self.duty.propose(lambda state: complete_run(state, number), f"{what} did=done")
        elif self.spent >= MAX_WATCHES * watch:
            self.take_back(number, step, f"not to be known: {found.why or 'nobody told'}", False)
        elif now - self.asked_at >= QUERY_INTERVAL_S:
            self.asked_at, key = now, self.key

            def collected(counts: dict[str, Any], silent: list[str]) -> None:
                if self.key == key:
                    self.finding = self.found(number, run, counts, silent)

            self.gather.ask("", collected, now)

    def take_back(self, number: int, step: int, why: str, again: bool) -> None:
        """Proposes to take a harmful step back; `again`: it will be tried once more."""
        what = f"rollout number={number} step={step} did={'rest' if again else 'halt'} why={log_value(why)}"
        self.duty.propose(lambda state: roll_back(state, number, step, why, again), what)

    def found(self, number: int, run: Run, counts: dict[str, Any], silent: list[str]) -> Finding:
        """Judges the counts of all gateways: the sites with the policy against those without it."""
        step, tries = run["step"], run["tries"]
        sides: tuple[list[ByKind], ...] = ([], [], [], [])
        unheard, where = "", list[str]()
        for name, zone in self.zones().items():
            at = step_at(run, zone, name)
            if name in silent and at <= step:
                unheard = f"{name} does not tell"
            seen = msgspec.convert(counts.get(name, {}), dict[str, ByKind])
            since = seen.get(stage_label(number, tries, step, step), {})
            where += [name for kind in since.values() if kind.doubled or kind.missing]
            if at > step:
                sides[2].append(seen.get(stage_label(number, tries, step - 1, step), {}))
                sides[3].append(since)
                continue
            sides[1].append(since)
            before = [
                seen[label]
                for try_ in range(tries, -1, -1)
                if (label := stage_label(number, try_, at - 1, at)) in seen
            ]
            sides[0].extend(before[:1])
        finding = judged(*map(total_by_kind, sides))
        if finding.grave:
            return Finding("harm", f"{finding.why} at {', '.join(dict.fromkeys(where))}", True)
        return Finding("more", unheard) if unheard and finding.how == "good" else finding

    def zones(self) -> dict[str, str]:
        """This gateway and all linked ones, with their zones."""
        return {self.me.name: self.me.zone, **{name: peer.zone for name, peer in self.peers.linked.items()}}
