"""Which gateways reach the same counter: marks that each adds to one name a second. No I/O.

A gateway adds a power of eight of its own to the name of the present second, so the total of a second that is
over tells who was there: a digit each, seven of them exact in a counter's seven decimal digits. One that
stops in order adds four times as much. Clocks may differ by 0.3 s: a second is read a second later.

A gateway whose marks are missing is dead or cut off, which nobody can tell apart (Fischer, Lynch and Paterson
1985); for `release_after` it is taken to be alive and to use its even part of each quota, as a gateway does
that hears nothing of the others.
"""

from __future__ import annotations

from embersill.counting.terms import Terms

BASE, DIGITS = 8, 7  # 8**7 - 1 is 2,097,151: below seven decimal digits
PRESENT, LEAVING = 1, 4
ABSENT, THERE, LEFT = "absent", "there", "left"


def group_of(gateway: int) -> int:
    return gateway // DIGITS


def mark_of(gateway: int, leaving: bool = False) -> float:
    """What a gateway adds to its group's name of a second."""
    return float((LEAVING if leaving else PRESENT) * BASE ** (gateway % DIGITS))


def name_of(second: int, group: int) -> str:
    """The name of a second's marks; no customer's name has a tilde."""
    return f"~{second}.{group}"


def digits_of(group: int, total: float) -> dict[int, int]:
    """What each gateway of a group added; a total that is no sum of marks tells nothing of anyone."""
    whole = round(total)
    if not 0 <= whole < BASE**DIGITS or abs(total - whole) > 1e-3:
        return {}
    return {group * DIGITS + place: whole // BASE**place % BASE for place in range(DIGITS)}


class Seen:
    """What is known of one gateway: when it was last heard, and when it was away before that."""

    __slots__ = ("away_from", "away_to", "ever", "heard", "left")

    def __init__(self, now: float) -> None:
        self.heard, self.left, self.ever = now, False, False
        self.away_from = self.away_to = now


class Presence:
    """Who is there, at one counter. Gateways that were never asked about are taken to be there."""

    def __init__(self, gateways: int, me: int, terms: Terms) -> None:
        self.gateways, self.me, self.terms = gateways, me, terms
        self.seen: dict[int, Seen] = {}
        self.read_at: dict[int, float] = {}  # by group: when its marks were last read
        self.returns = 0  # gateways that were absent and are back, so far
        self.wanted: dict[int, float] = {}  # groups that customers need, and until when

    def want(self, first: int, width: int, until: float) -> None:
        """A customer of these gateways is counted here: their marks are read from now on."""
        for gateway in self.members(first, width):
            self.wanted[group_of(gateway)] = until

    def members(self, first: int, width: int) -> list[int]:
        """A customer's gateways; none where they are not known."""
        if first < 0 or width < 1:
            return []
        return [(first + n) % self.gateways for n in range(min(width, self.gateways))]

    def groups(self, now: float) -> list[int]:
        """The groups to read at a beat: this gateway's own first."""
        self.wanted = {group: until for group, until in self.wanted.items() if until > now}
        own = group_of(self.me)
        others = sorted(group for group in self.wanted if group != own)
        return [own, *others][: self.terms.most_groups]

    def read(self, group: int, total: float, now: float) -> dict[int, int]:
        """Takes in the marks of a second that is over; tells them."""
        found = digits_of(group, total)
        if not found:
            return found
        before = self.read_at.get(group, now)
        # after a silence of this side nobody has been missed yet: all have the full time to be heard again
        deaf = now - before > self.terms.absent_after
        for gateway, digit in found.items():
            if gateway >= self.gateways:
                continue
            known = self.seen.get(gateway)
            if known is None:
                known = self.seen[gateway] = Seen(now)
            elif deaf and self.state(gateway, before) == THERE:
                known.heard = now
            if digit:
                away = self.state(gateway, now, now) == ABSENT
                if away:
                    known.away_from, known.away_to = known.heard, now
                self.returns += gateway != self.me and (away or not known.ever)
                known.heard, known.left, known.ever = now, digit >= LEAVING, True
        self.read_at[group] = now
        return found

    def halved_since(self, when: float, now: float) -> bool:
        """Whether any gateway was absent since then: both halves of a counter may have gone on."""
        returned = any(k.away_from < k.away_to and k.away_to >= when for k in self.seen.values())
        return returned or self.anyone_absent(now)

    def anyone_absent(self, now: float) -> bool:
        """Whether any gateway may be at another half: absent, or not heard yet since this one started."""
        return any(
            not known.ever and gateway != self.me or self.state(gateway, now) == ABSENT
            for gateway, known in self.seen.items()
        )

    def state(self, gateway: int, now: float, read_at: float | None = None) -> str:
        known = self.seen.get(gateway)
        if known is None or gateway == self.me:
            return THERE
        if known.left:
            return LEFT
        silent = (self.read_at.get(group_of(gateway), now) if read_at is None else read_at) - known.heard
        if silent <= self.terms.absent_after:
            return THERE
        return LEFT if 0 < self.terms.release_after < silent else ABSENT

    def heard_part(self, first: int, width: int, now: float) -> float:
        """Of a customer's gateways, the part that is not absent; 1 where they are not known."""
        members = self.members(first, width)
        if not members:
            return 1.0
        absent = sum(self.state(gateway, now) == ABSENT for gateway in members)
        return max(len(members) - absent, 1) / len(members)

    def assumed(self, first: int, width: int, rate: float, since: float, now: float) -> float:
        """Units that a customer's absent gateways are taken to have passed on since then, unheard.

        An even part of the quota each, from when they were last heard. One that is back is charged so until
        it had the time to tell its own sums anew.
        """
        units = 0.0
        for gateway in self.members(first, width):
            known = self.seen.get(gateway)
            if known is None:
                continue
            if self.state(gateway, now) == ABSENT:
                away = now - max(known.heard, since)
            elif not known.left and now < known.away_to + self.terms.settle:
                away = known.away_to - max(known.away_from, since)
            else:
                continue
            units += max(away, 0.0) * rate / width
        return units
