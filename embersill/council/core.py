"""One planner's part in the council without its I/O: the member, its leases, the export and the probes.

The caller passes in requests and answers, calls `tick`, and performs the output: `outbox` (requests to
members), `exporter.call` (a call to billing), `probes_due` (probes), `advice.changes` (backends to hold out).
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from embersill.council.export import OFFICE as EXPORT
from embersill.council.export import Exporter
from embersill.council.fences import Fence, FenceResult
from embersill.council.member import Member
from embersill.council.messages import (
    Answer,
    Confirmed,
    Entry,
    Offer,
    OfficeReply,
    Request,
    Suspect,
    Verdicts,
)
from embersill.council.offices import KEY_PREFIX, NotHeld, OfficeLease
from embersill.council.probes import OFFICE as PROBES
from embersill.council.probes import Advice, Prober, ProbeSettings, Suspicions
from embersill.council.register import Register
from embersill.council.terms import CouncilTerms
from embersill.council.usage import Tally

OFFER_INTERVAL_S = 0.2
OWNER_SEARCH_INTERVAL_S = 1.0  # between offers to every member while the export's owner is not known
MAX_OFFERED_BATCHES = 8  # in one offer
SUSPECT_INTERVAL_S = 0.5
RETRY_S = 0.3  # after which a request that an owner has not answered is sent again


class CouncilCore:
    """The member, its leases and the work done under them. `exporter` and `prober` are None if not
    configured."""

    def __init__(
        self,
        register: Register,
        terms: CouncilTerms,
        chance: random.Random,
        now: float,
        *,
        prefer: Mapping[str, list[str]] | None = None,
        tally: Tally | None = None,
        probes: ProbeSettings | None = None,
        others: tuple[str, ...] = (),
    ) -> None:
        """`prefer`: by office, the members that take it before others. `others`: offices whose work is not
        part of this package."""
        self.register, self.terms = register, terms
        self.member = Member(register, terms, chance, now)
        names = [*([EXPORT] if tally is not None else []), *([PROBES] if probes is not None else []), *others]
        self.offices = {
            name: OfficeLease(name, self.member, terms, now, prefer=(prefer or {}).get(name, ()))
            for name in names
        }
        self.fence = Fence(frozenset(names))
        self.tally = tally
        self.exporter = Exporter(self.offices[EXPORT], self.member) if tally is not None else None
        self.prober = Prober(probes) if probes is not None else None
        self.suspicions, self.advice = Suspicions(), Advice()
        self.now = now
        self.next_offer_at = self.next_suspect_at = now
        self.probe_number = 0  # the office number under which the current verdicts were found
        register.on_accepted = self.entry_accepted

    @property
    def outbox(self) -> list[tuple[str, int, Request]]:
        """Returns and clears the requests to send: receiver, operation number, request."""
        out, self.member.outbox = self.member.outbox, []
        return out

    def entry_accepted(self, key: str, entry: Entry) -> None:
        """Passes an entry that this member's register has accepted to the lease that it belongs to."""
        if key.startswith(KEY_PREFIX) and key[len(KEY_PREFIX) :] in self.offices:
            self.offices[key[len(KEY_PREFIX) :]].observe(entry, self.now, confirmed=False)

    # requests of members

    def handle(self, request: Request, now: float) -> Answer:
        """Returns the answer to a request; `register.records` must be on disk before it is sent."""
        self.now = max(self.now, now)
        if not isinstance(request, Offer | Suspect | Verdicts):
            return self.register.handle(request)
        register = self.register
        origin, boots, sender = register.answer_origin, register.known_boots(), request.origin.name
        if isinstance(request, Offer):  # from any life, since its usage is valid in any case
            done = (
                None
                if self.exporter is None
                else self.exporter.offer(request.stream, request.batch, request.entries)
            )
            if done is None:
                return OfficeReply(origin, boots, "the export is not owned here")
            return Confirmed(origin, boots, request.stream, done)
        if sender != register.me and not register.note_origin(request.origin):
            return OfficeReply(origin, boots, "a life that is over")
        if isinstance(request, Suspect):
            if self.prober is None or not self.offices[PROBES].held(self.now):
                return OfficeReply(origin, boots, "the probes are not owned here")
            self.prober.suspect(request.backends, self.now)
            return OfficeReply(origin, boots, "")
        result = self.fence.check(request.act, sender, self.known_owner)
        if result is FenceResult.TAKEN:
            self.advice.update(request.verdicts, self.now)
        elif result is FenceResult.UNKNOWN:
            self.offices[request.act.office].refresh(self.now)  # its owner changed, and this member missed it
        return OfficeReply(origin, boots, result.value)

    def known_owner(self, office: str) -> tuple[int, str]:
        """The number and holder of an office as last seen in the register."""
        post = self.offices[office]
        return post.known_number(), post.observed.record.holder if post.observed is not None else ""

    def on_answer(self, number: int, answer: Answer, now: float) -> None:
        """Processes a member's answer to request `number`."""
        self.now = max(self.now, now)
        if isinstance(answer, Confirmed):
            if self.tally is not None and answer.stream == self.tally.name:
                self.tally.confirm(answer.batch)
                self.next_offer_at = min(self.next_offer_at, self.now + OFFER_INTERVAL_S / 4)
            return
        if not isinstance(answer, OfficeReply):
            self.member.on_answer(number, answer, self.now)

    # time

    def tick(self, now: float) -> None:
        """Advances time; to be called some fifty times a second."""
        self.now = now = max(self.now, now)
        self.member.tick(now)
        for post in self.offices.values():
            post.tick(now)
        if self.tally is not None:
            self.tally.tick(now)
            self.send_offers(now)
        if self.exporter is not None:
            self.exporter.tick(now)
        if self.prober is not None:
            self.probe(now)

    def enqueue(self, name: str, request: Request) -> None:
        """Adds a request that belongs to no register operation to the outbox."""
        self.member.outbox.append((name, 0, request))

    def send_offers(self, now: float) -> None:
        """Offers unconfirmed batches of usage to the export's owner, or to all members if it is not known.

        A member that has lost its vote no longer learns who the owner is, but its usage still has to be
        booked.
        """
        assert self.tally is not None
        if now < self.next_offer_at:
            return
        owner = self.offices[EXPORT].holder(now)
        self.next_offer_at = now + (OFFER_INTERVAL_S if owner else OWNER_SEARCH_INTERVAL_S)
        for batch, entries in self.tally.offers(MAX_OFFERED_BATCHES):
            for name in [owner] if owner else sorted(self.register.members):
                self.enqueue(name, Offer(self.register.origin, self.tally.name, batch, entries))

    def probe(self, now: float) -> None:
        """Sends suspicions to the probes' owner; publishes verdicts if this member is the owner."""
        assert self.prober is not None
        post = self.offices[PROBES]
        if now >= self.next_suspect_at and (owner := post.holder(now)):
            self.next_suspect_at = now + SUSPECT_INTERVAL_S
            suspected = self.suspicions.suspected(now)
            if suspected:
                self.enqueue(owner, Suspect(self.register.origin, suspected))
        if not post.held(now) or post.lease is None:
            return
        if post.lease.number != self.probe_number:
            self.probe_number = post.lease.number
            self.prober.reset()
        verdicts = self.prober.verdicts(now)
        if verdicts:
            try:
                permit = post.act(now)
            except NotHeld:
                return
            for name in sorted(self.register.members):
                self.enqueue(name, Verdicts(self.register.origin, permit.act, verdicts))

    def probes_due(self, now: float) -> list[str]:
        """The backends to probe now, if this member owns the probes."""
        if self.prober is None or not self.offices[PROBES].held(now):
            return []
        return self.prober.due(now)

    # shutdown

    def leave(self, now: float) -> None:
        """Releases all leases held here, so that others need not wait for them to expire."""
        self.now = max(self.now, now)
        for post in self.offices.values():
            post.leave(self.now)

    def has_left(self) -> bool:
        """Whether all leases are released and no write of them is under way."""
        return not any(post.lease is not None or post.busy for post in self.offices.values())

    def status(self) -> dict[str, object]:
        """Figures for operators; docs/operate/offices.md explains each of them."""
        status: dict[str, object] = {
            "council": self.member.status(),
            "offices": [post.status(self.now) for post in self.offices.values()],
            "refused_effects": self.fence.refused(),
        }
        if self.exporter is not None and self.tally is not None:
            status["export"] = {**self.exporter.status(), **self.tally.status()}
        if self.prober is not None:
            status["probes"] = {
                **self.prober.counts,
                **self.advice.counts,
                "out": sorted(self.advice.excluded),
            }
        return status
