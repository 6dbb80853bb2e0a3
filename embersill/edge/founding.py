"""The first epoch, and the next ones: who becomes a member, decided by one gateway at a time. No I/O.

At the very first start all gateways are told the same seeds, and these are up. The one with the lowest
address founds, once in its life, when no further core machine has shown up for a while. From then on the
members change themselves: the lowest one that is there seats newcomers, in the place of who is gone.
"""

from __future__ import annotations

from embersill.edge.agreement import Agreement, Roster, Seat
from embersill.edge.document import EMPTY
from embersill.edge.roll import Hello, Roll

MOST_SEATS = 9  # members: more would agree no better, only slower
SETTLED = 1.0  # seconds without a further core machine after which the first epoch is founded
AT_LATEST = 4.0  # seconds after which it is founded with those that are there
GONE_AFTER = 2.5  # seconds without a link from which a newcomer may take a member's place
LEFT_OUT_AFTER = 6.0  # from which one is left out without another in its place, if there are members enough
RESEAT_EVERY = 1.0  # seconds between attempts


def spread(cores: list[Hello]) -> list[Hello]:
    """One of each zone in turn, so that seats are not all in a few."""
    zones: dict[str, list[Hello]] = {}
    for hello in sorted(cores, key=lambda hello: hello.name):
        zones.setdefault(hello.zone, []).append(hello)
    rounds = max((len(names) for names in zones.values()), default=0)
    return [names[n] for n in range(rounds) for _, names in sorted(zones.items()) if n < len(names)]


def order(ip: str) -> tuple[int, ...]:
    return tuple(int(part) for part in ip.split("."))


class Founding:
    def __init__(self, me: Hello, roll: Roll, agreement: Agreement, now: float) -> None:
        """`least`: members without which the losses that are to be borne could not be."""
        self.least = 3
        self.me, self.roll, self.agreement = me, roll, agreement
        self.born = self.last = now
        self.found = 0
        self.missing: dict[str, float] = {}  # members that are not linked, since when
        self.again_at = now

    def tick(self, now: float) -> None:
        if self.agreement.roster is None:
            self.begin(now)
        elif self.agreement.votes and now >= self.again_at:
            self.reseat(now)

    def begin(self, now: float) -> None:
        """Founds, if this is the one to do it."""
        seeds = [*self.roll.seeds, self.me.ip]
        if not self.me.first or self.me.ip != min(seeds, key=order) or not self.me.seed:
            return
        cores = [hello for hello in self.roll.cores() if hello.first]
        if len(cores) != self.found:
            self.found, self.last = len(cores), now
        if not cores or now - self.born < SETTLED:
            return
        if now - self.last >= SETTLED and len(self.roll.linked) >= len(self.roll.seeds) or (
                now - self.born >= AT_LATEST):
            members = {hello.name: Seat(hello.ip, hello.store) for hello in spread(cores)[:MOST_SEATS]}
            self.agreement.begin(Roster(1, members), EMPTY)
            self.send_all()

    def send_all(self) -> None:
        """Every member is told the state that the first epoch begins with, by the founder itself."""
        roster = self.agreement.roster
        for name in self.roll.linked:
            if roster is not None and name in roster.members:
                told = self.agreement.told_roster(name)
                self.agreement.effects.mail.append((name, {**told, "base": EMPTY}))

    def reseat(self, now: float) -> None:
        """Seats a core machine that is no member yet, in the place of one that is gone if there is one."""
        roster = self.agreement.roster
        assert roster is not None
        there = self.roll.core
        self.missing = {name: self.missing.get(name, now) for name in roster.members if name not in there}
        if self.me.name != min(there):
            return
        newcomers = [hello for hello in self.roll.cores() if hello.name not in roster.members]
        newcomers.sort(key=lambda hello: hello.name)
        gone = sorted((since, name) for name, since in self.missing.items() if now - since >= GONE_AFTER)
        members = dict(roster.members)
        if gone and newcomers or (
                gone and len(members) > self.least and now - gone[0][0] >= LEFT_OUT_AFTER):
            del members[gone[0][1]]
        if newcomers and len(members) < MOST_SEATS:
            members[newcomers[0].name] = Seat(newcomers[0].ip, newcomers[0].store)
        if members != roster.members:
            self.again_at = now + RESEAT_EVERY
            self.agreement.reseat(members)
