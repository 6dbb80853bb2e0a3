"""Queries from one gateway to all linked ones, and the reports on lapsed tenants made from them. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from embersill.edge.records import Effects, Message
from embersill.edge.throttling.slowdown_counts import Labelled, SlowdownCounts, report_of, total_counts
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.verdict import Verdict, done

ANSWER_TIMEOUT_S = 0.4
MAX_OPEN_QUERIES = 16  # per kind

OnAnswers = Callable[[dict[str, Any], list[str]], None]


@dataclass(slots=True)
class Query:
    """A query that is not complete yet."""

    on_answers: OnAnswers
    until: float
    waits_for: set[str]
    found: dict[str, Any] = field(default_factory=dict)


class Gather:
    """One kind of query: collects what each gateway answers about a subject in time."""

    def __init__(
        self, kind: str, me: Hello, peers: PeerSet, effects: Effects, own: Callable[[str], Any]
    ) -> None:
        """`kind`: of the message that asks; the answer's has `ed` appended. `own`: the answer from here."""
        self.kind, self.me, self.peers, self.effects, self.own = kind, me, peers, effects, own
        self.open: dict[int, Query] = {}
        self.number = 0

    def ask(self, subject: str, on_answers: OnAnswers, now: float) -> None:
        """Sends a query; `on_answers` gets the answers by gateway, and who did not answer in time."""
        self.number += 1
        if len(self.open) >= MAX_OPEN_QUERIES:
            self.end(min(self.open))
        query = self.open[self.number] = Query(on_answers, now + ANSWER_TIMEOUT_S, set(self.peers.linked))
        query.found[self.me.name] = self.own(subject)
        for name in self.peers.linked:
            self.effects.mail.append(
                (name, {"kind": self.kind, "n": self.number, "life": self.me.boot, "subject": subject})
            )
        if not query.waits_for:
            self.end(self.number)

    def heard(self, peer: str, message: Message) -> None:
        """Handles a gateway's query, or its answer to one sent from here."""
        number = int(message["n"])
        if message["kind"] == self.kind:
            counts = self.own(str(message["subject"]))
            self.effects.mail.append(
                (peer, {"kind": f"{self.kind}ed", "n": number, "life": message["life"], "counts": counts})
            )
            return
        query = self.open.get(number)
        if query is not None and peer in query.waits_for:
            query.found[peer] = message["counts"]
            query.waits_for.discard(peer)
            if not query.waits_for:
                self.end(number)

    def tick(self, now: float) -> None:
        """Ends queries that have timed out."""
        for number in [number for number, query in self.open.items() if now >= query.until]:
            self.end(number)

    def end(self, number: int) -> None:
        """Ends a query with the answers that have arrived."""
        query = self.open.pop(number)
        query.on_answers(query.found, sorted(query.waits_for))


class Reports:
    """Reports on lapsed tenants and all others over all gateways."""

    def __init__(self, me: Hello, peers: PeerSet, effects: Effects) -> None:
        self.slowdown_counts = SlowdownCounts()
        self.gather = Gather(
            "report", me, peers, effects, lambda tenant: msgspec.to_builtins(self.slowdown_counts.of(tenant))
        )

    def ask(self, tenant: str, answered: Callable[[Verdict], None], now: float) -> None:
        """Collects the counts of all gateways for a tenant, and answers with the report."""

        def collected(counts: dict[str, Any], silent: list[str]) -> None:
            found = {name: msgspec.convert(answer, Labelled) for name, answer in counts.items()}
            answered(
                done(
                    {
                        "tenant": tenant,
                        "silent": silent,
                        "whole": report_of(total_counts(found.values())),
                        "gateways": {
                            name: report_of(answer) for name, answer in sorted(found.items()) if answer
                        },
                    }
                )
            )

        self.gather.ask(tenant, collected, now)
