"""Questions that one gateway asks all that are linked; reports on lapsed tenants, added up so. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from embersill.edge.records import Effects, Message
from embersill.edge.throttling.figures import Figures, Labelled, added, told
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.verdict import Verdict, done

WITHIN = 0.4  # seconds for gateways to tell theirs
MOST_OPEN = 16  # questions of a kind at a time

Told = Callable[[dict[str, Any], list[str]], None]


@dataclass(slots=True)
class Asked:
    """A question that is open."""

    told: Told
    until: float
    waits_for: set[str]
    found: dict[str, Any] = field(default_factory=dict)


class Gather:
    """One kind of question: what each gateway has to say of a subject, as far as it says it in time."""

    def __init__(
        self, kind: str, me: Hello, peers: PeerSet, effects: Effects, own: Callable[[str], Any]
    ) -> None:
        """`kind`: of the message that asks; its answer's ends in `ed`. `own`: what is told from here."""
        self.kind, self.me, self.peers, self.effects, self.own = kind, me, peers, effects, own
        self.open: dict[int, Asked] = {}
        self.number = 0

    def ask(self, subject: str, told: Told, now: float) -> None:
        """`told` hears what came, by gateway, and who was silent, once all have told or had their time."""
        self.number += 1
        if len(self.open) >= MOST_OPEN:
            self.end(min(self.open))
        asked = self.open[self.number] = Asked(told, now + WITHIN, set(self.peers.linked))
        asked.found[self.me.name] = self.own(subject)
        for name in self.peers.linked:
            self.effects.mail.append(
                (name, {"kind": self.kind, "n": self.number, "life": self.me.boot, "subject": subject})
            )
        if not asked.waits_for:
            self.end(self.number)

    def heard(self, peer: str, message: Message) -> None:
        """A gateway's question, or its answer to one from here."""
        number = int(message["n"])
        if message["kind"] == self.kind:
            counts = self.own(str(message["subject"]))
            self.effects.mail.append(
                (peer, {"kind": f"{self.kind}ed", "n": number, "life": message["life"], "counts": counts})
            )
            return
        asked = self.open.get(number)
        if asked is not None and peer in asked.waits_for:
            asked.found[peer] = message["counts"]
            asked.waits_for.discard(peer)
            if not asked.waits_for:
                self.end(number)

    def tick(self, now: float) -> None:
        """Ends questions that have had their time."""
        for number in [number for number, one in self.open.items() if now >= one.until]:
            self.end(number)

    def end(self, number: int) -> None:
        """Tells what has come."""
        asked = self.open.pop(number)
        asked.told(asked.found, sorted(asked.waits_for))


class Reports:
    """What lapsed tenants and all others met, over all gateways."""

    def __init__(self, me: Hello, peers: PeerSet, effects: Effects) -> None:
        self.figures = Figures()
        self.gather = Gather(
            "report", me, peers, effects, lambda tenant: msgspec.to_builtins(self.figures.of(tenant))
        )

    def ask(self, tenant: str, answered: Callable[[Verdict], None], now: float) -> None:
        """Gathers what all gateways have counted for a tenant."""

        def came(counts: dict[str, Any], silent: list[str]) -> None:
            found = {name: msgspec.convert(one, Labelled) for name, one in counts.items()}
            answered(
                done(
                    {
                        "tenant": tenant,
                        "silent": silent,
                        "whole": told(added(found.values())),
                        "gateways": {name: told(one) for name, one in sorted(found.items()) if one},
                    }
                )
            )

        self.gather.ask(tenant, came, now)
