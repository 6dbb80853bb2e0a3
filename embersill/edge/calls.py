"""Calls of operators and backends: handles them here or forwards them to a core member. No I/O.

Changes go to one core member, the first linked one by name, which proposes them one after the other: members
that propose at the same time would only delay one another. If it does not answer soon, or can't carry out a
change, another member is tried; a change that both have proposed is recognised by its digest. Calls of
backends go to the keeper of their zone, and to another member if the keeper has no majority.
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

BACKEND_CALL_TIMEOUT_S = 0.8  # for a forwarded call of a backend, which calls another gateway after 1 s
CHANGE_TIMEOUT_S = 0.9  # for an operator's call
HOP_TIMEOUT_S = 0.55  # for one member to carry out a change, after which another is asked
READ_CALLS = "GET", "lapses", "rollouts"  # calls of operators that change nothing
BACKEND_CALLS = "beat", "leave"

Answered = Callable[[Verdict], None]
# calls back once all gateways have a version
WhenApplied = Callable[[tuple[int, int], Callable[[], None]], None]


class ForwardedCall(msgspec.Struct):
    """A call forwarded to core members, one after the other until one carries it out."""

    what: str
    body: Any
    answered: Answered
    until: float  # deadline of the caller
    others: list[str]  # members that have not been asked yet
    hop_until: float = 0.0  # deadline of the member that is being asked
    unclear: bool = False  # a member did not answer, and may have carried it out


class Calls:
    """Handles the calls that arrive at one gateway, from outside or forwarded by another gateway."""

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
        self.forwarded: dict[int, ForwardedCall] = {}
        self.number = 0
        self.when_applied: WhenApplied = lambda version, on_applied: on_applied()
        self.on_view: Callable[[str], None] = lambda text: None

    def call(self, what: str, body: Any, answered: Answered, now: float) -> None:
        """Handles a call here or forwards it; `answered` is called once, with the verdict.

        `what`: PUT and PATCH change the configuration, GET reads it; beat and leave are calls of backends;
        report, lapse, lapses, rollout and rollouts are calls of operators.
        """
        if what in BACKEND_CALLS or what == "report":
            if self.me.name in self.peers.core:
                return self.handle_locally(what, body, answered, now)
            return self.forward(self.plan_backend_call(what, body, answered, now), now)
        if what in READ_CALLS and self.agreement.votes:
            return self.run_on_majority(what, body, answered)
        return self.forward(self.plan_operator_call(what, body, answered, now), now)

    def plan_backend_call(self, what: str, body: Any, answered: Answered, now: float) -> ForwardedCall:
        """Forwards to the zone's keeper first, then to the nearest members."""
        keeper = self.peers.keeper(str(body.get("zone", "")))
        members = sorted(self.other_members(), key=lambda name: (name != keeper, self.peers.distance(name)))
        return ForwardedCall(
            what, body, answered, now + BACKEND_CALL_TIMEOUT_S, members, now + BACKEND_CALL_TIMEOUT_S
        )

    def plan_operator_call(self, what: str, body: Any, answered: Answered, now: float) -> ForwardedCall:
        """Forwards to the first member that is not leaving, then to this one, then to the nearest."""
        silent = set(self.peers.silent(now))
        ranks = {name: (name in silent, self.peers.leaving(name), name) for name in self.peers.core}
        first = min(ranks, key=lambda name: ranks[name], default="")
        members = sorted(self.other_members(), key=lambda name: (name != first, self.peers.distance(name)))
        if self.agreement.votes:
            members.insert(0 if first == self.me.name else 1, self.me.name)
        return ForwardedCall(what, body, answered, now + CHANGE_TIMEOUT_S, members)

    def other_members(self) -> list[str]:
        """The linked core members without this gateway."""
        return [name for name in self.peers.core if name != self.me.name]

    def forward(self, forwarded: ForwardedCall, now: float) -> None:
        """Sends a call to the next member."""
        forwarded.others = [name for name in forwarded.others if name in self.peers.core]
        if not forwarded.others:
            reason = "no core member can carry out the call"
            return forwarded.answered(unknown(reason) if forwarded.unclear else refused(503, reason))
        name = forwarded.others.pop(0)
        if name == self.me.name:
            return self.run_on_majority(forwarded.what, forwarded.body, forwarded.answered)
        if forwarded.what not in BACKEND_CALLS:
            forwarded.hop_until = now + HOP_TIMEOUT_S
        self.number += 1
        self.forwarded[self.number] = forwarded
        message = {
            "kind": "call",
            "n": self.number,
            "life": self.me.boot,
            "what": forwarded.what,
            "body": forwarded.body,
        }
        return self.effects.mail.append((name, message))

    def tick(self, now: float) -> None:
        """Fails calls past their deadline, and tries the next member if one has not answered."""
        for number, forwarded in list(self.forwarded.items()):
            if now >= forwarded.until:
                del self.forwarded[number]
                forwarded.answered(unknown("no member answered in time; the call may have been carried out"))
            elif now >= forwarded.hop_until and forwarded.others:
                del self.forwarded[number]
                forwarded.unclear = True
                self.forward(forwarded, now)

    def handle_forwarded(self, peer: str, message: Message, now: float) -> None:
        """Handles a call that another gateway has forwarded."""
        number, life = message["n"], message["life"]

        def answered(verdict: Verdict) -> None:
            reply = {"kind": "result", "n": number, "life": life, "verdict": msgspec.to_builtins(verdict)}
            self.effects.mail.append((peer, reply))

        self.handle_locally(str(message["what"]), message["body"], answered, now)

    def result(self, message: Message, now: float) -> None:
        """Handles the verdict of a forwarded call; if that member could not act, the next one is tried."""
        forwarded = self.forwarded.pop(message["n"], None)
        if forwarded is None:
            return
        verdict = msgspec.convert(message["verdict"], Verdict)
        if verdict.status == 503 and verdict.ran is Execution.NO and now < forwarded.until:
            if forwarded.others:
                return self.forward(forwarded, now)
            if forwarded.unclear:
                verdict = unknown("one member has not answered; the call may have been carried out")
        forwarded.answered(verdict)

    def handle_locally(self, what: str, body: Any, answered: Answered, now: float) -> None:
        """Handles a call as a core member; 503 if this gateway is not one, or has no majority."""
        if what in BACKEND_CALLS and self.me.name in self.peers.core:
            return self.registry.call(what, body, answered, now)
        if what == "report":
            return self.reports.ask(str(body.get("id", "")), answered, now)
        if what not in BACKEND_CALLS and self.agreement.votes and not self.agreement.lease.lapsed(now):
            return self.run_on_majority(what, body, answered)
        return answered(refused(503, "this gateway is not a member with a majority now"))

    def run_on_majority(self, what: str, body: Any, answered: Answered) -> None:
        """Carries out an operator's call by a majority's read or write."""

        def decided(verdict: Verdict, state: State | None) -> None:
            if what not in READ_CALLS:
                reason = verdict.body.get("error_message", "")
                self.on_view(
                    f"change version={body.get('version')} status={verdict.status} {reason}".rstrip()
                )
            if verdict.ran is not Execution.YES or state is None:
                return answered(verdict)
            if what in READ_CALLS:
                return answered(self.read(what, state))
            return self.when_applied(revision(state), lambda: answered(verdict))

        if what in READ_CALLS:
            return self.agreement.read(decided)
        if what == "rollout":
            return self.agreement.decide(rollout_order(body), decided)
        if what == "lapse":
            wish = {name: value for name, value in body.items() if name != "id"}
            return self.agreement.decide(lapse_order(str(body.get("id", "")), wish), decided)
        return self.agreement.decide(configuration_change(what, body), decided)

    def read(self, what: str, state: State) -> Verdict:
        """The answer to a read of the given state."""
        if what == "lapses":
            return done({**lapses_of(state)})
        if what == "rollouts":
            return done({**rollouts_of(state)})
        return done(state["document"]) if state["version"] else refused(404, "no configuration yet")
