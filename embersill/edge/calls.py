"""Calls of operators and backends: who settles each, and what becomes of those that another gateway settles.

Changes go to one member of the core, the first by name that is linked, which lays them one after the other:
members that propose at the same time would only hold one another up. Where it does not answer soon, or can't
settle a change, another member does; a change that both have laid is known by its digest. Calls of backends
go to the keeper of their zone, and to another member where that one has no majority. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.discovery.registry import Registry
from embersill.edge.configuration.document import State, revision
from embersill.edge.configuration.lapses import lapses_of
from embersill.edge.consensus.proposals import configuration_change, lapse_order, rollout_order
from embersill.edge.records import Effects, Message
from embersill.edge.throttling.reports import Reports
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.configuration.rollouts import rollouts_of
from embersill.edge.verdict import Execution, Verdict, done, refused, unknown

CALL_WITHIN = 0.8  # seconds for a backend's call that is passed on: it goes elsewhere after one
CHANGE_WITHIN = 0.9  # seconds for an operator's
HOP_WITHIN = 0.55  # seconds for one member to settle a change, after which another is asked
READS = "GET", "lapses", "rollouts"  # calls that change nothing
BACKENDS_CALLS = "beat", "leave"

Answered = Callable[[Verdict], None]
WhenApplied = Callable[[tuple[int, int], Callable[[], None]], None]  # calls it once gateways have a version


class Passed(msgspec.Struct):
    """A call that other members settle, one asked after the other."""

    what: str
    body: Any
    answered: Answered
    until: float  # its caller waits no longer
    others: list[str]  # members that were not asked yet
    hop_until: float = 0.0  # the one that is being asked has had its time by then
    unclear: bool = False  # one that was asked did not answer, and may have done it


class Calls:
    """The calls that arrive at one gateway, from outside or passed on by another gateway."""

    def __init__(
        self,
        me: Hello,
        peers: PeerSet,
        agreement: Agreement,
        registry: Registry,
        reports: Reports,
        effects: Effects,
    ) -> None:
        self.me, self.peers, self.agreement, self.registry = me, peers, agreement, registry
        self.reports, self.effects = reports, effects
        self.passed: dict[int, Passed] = {}
        self.number = 0
        self.when_applied: WhenApplied = lambda version, go_on: go_on()
        self.on_view: Callable[[str], None] = lambda text: None

    def call(self, what: str, body: Any, answered: Answered, now: float) -> None:
        """Settles a call here, or passes it on to who can; `answered` hears its verdict, once.

        `what`: PUT or PATCH lay a change on the configuration, GET reads it, beat and leave are a backend's,
        report, lapse, lapses, rollout and rollouts are the operators'.
        """
        if what in BACKENDS_CALLS or what == "report":
            if self.me.name in self.peers.core:
                return self.settle_here(what, body, answered, now)
            return self.pass_on(self.call_of_backend(what, body, answered, now), now)
        if what in READS and self.agreement.votes:
            return self.settle(what, body, answered)
        return self.pass_on(self.order(what, body, answered, now), now)

    def call_of_backend(self, what: str, body: Any, answered: Answered, now: float) -> Passed:
        """The zone's keeper is asked first, then the nearest."""
        keeper = self.peers.keeper(str(body.get("zone", "")))
        members = sorted(self.others(), key=lambda name: (name != keeper, self.peers.distance(name)))
        return Passed(what, body, answered, now + CALL_WITHIN, members, now + CALL_WITHIN)

    def order(self, what: str, body: Any, answered: Answered, now: float) -> Passed:
        """The first member that stays is asked first, then this gateway if it is one, then the nearest."""
        silent = set(self.peers.silent(now))
        ranks = {name: (name in silent, self.peers.leaving(name), name) for name in self.peers.core}
        first = min(ranks, key=lambda name: ranks[name], default="")
        members = sorted(self.others(), key=lambda name: (name != first, self.peers.distance(name)))
        if self.agreement.votes:
            members.insert(0 if first == self.me.name else 1, self.me.name)
        return Passed(what, body, answered, now + CHANGE_WITHIN, members)

    def others(self) -> list[str]:
        """The linked members of the core but this gateway."""
        return [name for name in self.peers.core if name != self.me.name]

    def pass_on(self, passed: Passed, now: float) -> None:
        """Has the next member settle a call."""
        passed.others = [name for name in passed.others if name in self.peers.core]
        if not passed.others:
            why = "no member of the core can settle it"
            return passed.answered(unknown(why) if passed.unclear else refused(503, why))
        name = passed.others.pop(0)
        if name == self.me.name:
            return self.settle(passed.what, passed.body, passed.answered)
        if passed.what not in BACKENDS_CALLS:
            passed.hop_until = now + HOP_WITHIN
        self.number += 1
        self.passed[self.number] = passed
        message = {
            "kind": "call",
            "n": self.number,
            "life": self.me.boot,
            "what": passed.what,
            "body": passed.body,
        }
        return self.effects.mail.append((name, message))

    def tick(self, now: float) -> None:
        """Gives up calls that nobody has settled in time, and asks the next member where one is silent."""
        for number, passed in list(self.passed.items()):
            if now >= passed.until:
                del self.passed[number]
                passed.answered(unknown("nobody settled it in time; it may be done"))
            elif now >= passed.hop_until and passed.others:
                del self.passed[number]
                passed.unclear = True
                self.pass_on(passed, now)

    def called(self, peer: str, message: Message, now: float) -> None:
        """A call that another gateway passes on."""
        number, life = message["n"], message["life"]

        def answered(verdict: Verdict) -> None:
            told = {"kind": "result", "n": number, "life": life, "verdict": msgspec.to_builtins(verdict)}
            self.effects.mail.append((peer, told))

        self.settle_here(str(message["what"]), message["body"], answered, now)

    def result(self, message: Message, now: float) -> None:
        """How a call ended that was passed on. A member that could do nothing leaves it to the next."""
        passed = self.passed.pop(message["n"], None)
        if passed is None:
            return
        verdict = msgspec.convert(message["verdict"], Verdict)
        if verdict.status == 503 and verdict.ran is Execution.NO and now < passed.until:
            if passed.others:
                return self.pass_on(passed, now)
            if passed.unclear:
                verdict = unknown("one member has not answered; it may be done")
        passed.answered(verdict)

    def settle_here(self, what: str, body: Any, answered: Answered, now: float) -> None:
        """Settles a call as a member of the core; 503 where this gateway is none."""
        if what in BACKENDS_CALLS and self.me.name in self.peers.core:
            return self.registry.call(what, body, answered, now)
        if what == "report":
            return self.reports.ask(str(body.get("id", "")), answered, now)
        if what not in BACKENDS_CALLS and self.agreement.votes and not self.agreement.lease.lapsed(now):
            return self.settle(what, body, answered)
        return answered(refused(503, "no member with a majority now"))

    def settle(self, what: str, body: Any, answered: Answered) -> None:
        """Settles an operator's call by what a majority agrees on."""

        def decided(verdict: Verdict, state: State | None) -> None:
            if what not in READS:
                why = verdict.body.get("error_message", "")
                self.on_view(f"change version={body.get('version')} status={verdict.status} {why}".rstrip())
            if verdict.ran is not Execution.YES or state is None:
                return answered(verdict)
            if what in READS:
                return answered(self.read(what, state))
            return self.when_applied(revision(state), lambda: answered(verdict))

        if what in READS:
            return self.agreement.read(decided)
        if what == "rollout":
            return self.agreement.decide(rollout_order(body), decided)
        if what == "lapse":
            wish = {name: value for name, value in body.items() if name != "id"}
            return self.agreement.decide(lapse_order(str(body.get("id", "")), wish), decided)
        return self.agreement.decide(configuration_change(what, body), decided)

    def read(self, what: str, state: State) -> Verdict:
        """What a read tells of the state."""
        if what == "lapses":
            return done({**lapses_of(state)})
        if what == "rollouts":
            return done({**rollouts_of(state)})
        return done(state["document"]) if state["version"] else refused(404, "none yet")
