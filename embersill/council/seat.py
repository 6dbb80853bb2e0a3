"""One planner's seat in the council: member, offices and duties put together, still without I/O.

Whoever drives it brings questions and answers, ticks, and carries out what is asked for: `outbox` (questions
to members), `exporter.call` (to billing), `prober.due` (probes), `changes` (backends to leave out).
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from embersill.council.export import OFFICE as EXPORT
from embersill.council.export import Exporter
from embersill.council.fences import Fence, Why
from embersill.council.member import Member
from embersill.council.messages import (
    Answer, Ask, Confirmed, Entry, Offer, Suspect, Taken, Verdicts,
)
from embersill.council.offices import PREFIX, NotHeld, Post
from embersill.council.probes import OFFICE as PROBES
from embersill.council.probes import Advice, Prober, ProbeSettings, Suspicions
from embersill.council.register import Register
from embersill.council.terms import CouncilTerms
from embersill.council.usage import Tally

OFFER_EVERY = 0.2  # seconds
SEARCH_EVERY = 1.0  # seconds, while it is not known whom to offer it to
OFFERED = 8  # batches at a time
SUSPECT_EVERY = 0.5  # seconds
AGAIN = 0.3  # seconds after which what an owner has not answered is asked again


class Seat:
    """`prefer`: by office, who is to have it before others. Duties that are not wanted are None."""

    def __init__(
        self, register: Register, terms: CouncilTerms, chance: random.Random, now: float, *,
        prefer: Mapping[str, list[str]] | None = None, tally: Tally | None = None,
        probes: ProbeSettings | None = None, others: tuple[str, ...] = (),
    ) -> None:
        """`others`: offices without a duty of this package's."""
        self.register, self.terms = register, terms
        self.member = Member(register, terms, chance, now)
        names = [*([EXPORT] if tally is not None else []), *([PROBES] if probes is not None else []), *others]
        self.posts = {name: Post(name, self.member, terms, now, prefer=(prefer or {}).get(name, ()))
                      for name in names}
        self.fence = Fence(frozenset(names))
        self.tally = tally
        self.exporter = Exporter(self.posts[EXPORT], self.member) if tally is not None else None
        self.prober = Prober(probes) if probes is not None else None
        self.suspicions, self.advice = Suspicions(), Advice()
        self.now = now
        self.offer_at = self.suspect_at = now
        self.probing = 0  # the number under which this seat's verdicts were found
        register.on_accepted = self.entry_seen

    @property
    def outbox(self) -> list[tuple[str, int, Ask]]:
        """Taken by whoever sends it."""
        out, self.member.outbox = self.member.outbox, []
        return out

    def entry_seen(self, key: str, entry: Entry) -> None:
        if key.startswith(PREFIX) and key[len(PREFIX):] in self.posts:
            self.posts[key[len(PREFIX):]].observe(entry, self.now, read=False)

    # what members ask

    def handle(self, ask: Ask, now: float) -> Answer:
        """The answer; what `register.records` has by then must be on disk before it is sent."""
        self.now = max(self.now, now)
        if not isinstance(ask, Offer | Suspect | Verdicts):
            return self.register.handle(ask)
        register = self.register
        origin, boots, sender = register.answer_origin, register.known_boots(), ask.origin.name
        if isinstance(ask, Offer):  # of whatever life: what was used was used
            done = None if self.exporter is None else self.exporter.offer(ask.stream, ask.batch, ask.entries)
            if done is None:
                return Taken(origin, boots, "the export is not owned here")
            return Confirmed(origin, boots, ask.stream, done)
        if sender != register.me and not register.note_origin(ask.origin):
            return Taken(origin, boots, "a life that is over")
        if isinstance(ask, Suspect):
            if self.prober is None or not self.posts[PROBES].held(self.now):
                return Taken(origin, boots, "the probes are not owned here")
            self.prober.suspect(ask.backends, self.now)
            return Taken(origin, boots, "")
        why = self.fence.check(ask.act, sender, self.known)
        if why is Why.TAKEN:
            self.advice.take(ask.verdicts, self.now)
        elif why is Why.UNKNOWN:
            self.posts[ask.act.office].look(self.now)  # it has changed hands, and that was not heard here
        return Taken(origin, boots, why.value)

    def known(self, office: str) -> tuple[int, str]:
        post = self.posts[office]
        return post.known_number(), post.seen.held.holder if post.seen is not None else ""

    def answered(self, number: int, answer: Answer, now: float) -> None:
        self.now = max(self.now, now)
        if isinstance(answer, Confirmed):
            if self.tally is not None and answer.stream == self.tally.name:
                self.tally.confirm(answer.batch)
                self.offer_at = min(self.offer_at, self.now + OFFER_EVERY / 4)
            return
        if not isinstance(answer, Taken):
            self.member.answered(number, answer, self.now)

    # time

    def tick(self, now: float) -> None:
        self.now = now = max(self.now, now)
        self.member.tick(now)
        for post in self.posts.values():
            post.tick(now)
        if self.tally is not None:
            self.tally.tick(now)
            self.offer(now)
        if self.exporter is not None:
            self.exporter.tick(now)
        if self.prober is not None:
            self.probe(now)

    def ask(self, name: str, ask: Ask) -> None:
        self.member.outbox.append((name, 0, ask))

    def offer(self, now: float) -> None:
        """What waits to be booked goes to the owner, until it says that it is; to all while none is known.

        One that has no vote any more does not hear who it is, and its use has to be booked all the same.
        """
        assert self.tally is not None
        if now < self.offer_at:
            return
        owner = self.posts[EXPORT].holder(now)
        self.offer_at = now + (OFFER_EVERY if owner else SEARCH_EVERY)
        for batch, entries in self.tally.offers(OFFERED):
            for name in [owner] if owner else sorted(self.register.members):
                self.ask(name, Offer(self.register.origin, self.tally.name, batch, entries))

    def probe(self, now: float) -> None:
        assert self.prober is not None
        post = self.posts[PROBES]
        if now >= self.suspect_at and (owner := post.holder(now)):
            self.suspect_at = now + SUSPECT_EVERY
            suspected = self.suspicions.suspected(now)
            if suspected:
                self.ask(owner, Suspect(self.register.origin, suspected))
        if not post.held(now) or post.mine is None:
            return
        if post.mine.number != self.probing:
            self.probing = post.mine.number
            self.prober.reset()
        verdicts = self.prober.verdicts(now)
        if verdicts:
            try:
                permit = post.act(now)
            except NotHeld:
                return
            for name in sorted(self.register.members):
                self.ask(name, Verdicts(self.register.origin, permit.act, verdicts))

    def probes_due(self, now: float) -> list[str]:
        """Whom to probe now, while this seat owns the probes."""
        if self.prober is None or not self.posts[PROBES].held(now):
            return []
        return self.prober.due(now)

    # the end

    def leave(self, now: float) -> None:
        """Gives up in order what it holds."""
        self.now = max(self.now, now)
        for post in self.posts.values():
            post.leave(self.now)

    def left(self) -> bool:
        return not any(post.mine is not None or post.busy for post in self.posts.values())

    def status(self) -> dict[str, object]:
        """What an operator watches; docs/operate/offices.md explains each figure."""
        told: dict[str, object] = {
            "council": self.member.status(),
            "offices": [post.status(self.now) for post in self.posts.values()],
            "refused_effects": self.fence.refused()}
        if self.exporter is not None and self.tally is not None:
            told["export"] = {**self.exporter.status(), **self.tally.status()}
        if self.prober is not None:
            told["probes"] = {**self.prober.counts, **self.advice.counts, "out": sorted(self.advice.out)}
        return told
