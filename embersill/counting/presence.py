"""Which gateways reach the same counter, by heartbeat marks that each adds there every second. No I/O.

Each gateway adds its own power of eight to a name of the current second, so the total of a past second shows
which gateways were present: one base-8 digit each, of which seven are exact in a counter's seven decimal
digits. A gateway that stops in order adds four times as much. Clocks may differ by 0.3 s, so a second is read
a second later.

A gateway without marks is dead or cut off, which cannot be told apart (Fischer, Lynch and Paterson 1985). For
`release_after` it is taken to be alive and to use its even share of each quota, as a gateway does that is cut
off from the others.
"""

from __future__ import annotations

from embersill.counting.terms import Terms

BASE, DIGITS = 8, 7  # 8**7 - 1 is 2,097,151: below seven decimal digits
PRESENT_DIGIT, LEAVING_DIGIT = 1, 4
ABSENT, PRESENT, LEFT = "absent", "there", "left"


def group_of(gateway: int) -> int:
    """The group of gateways that share a name with this one."""
    return gateway // DIGITS


def mark_of(gateway: int, leaving: bool = False) -> float:
    """The amount that a gateway adds to its group's name of a second."""
    return float((LEAVING_DIGIT if leaving else PRESENT_DIGIT) * BASE ** (gateway % DIGITS))


def name_of(second: int, group: int) -> str:
    """The name for a group's marks of a second; customers' names have no tilde."""
    return f"~{second}.{group}"


def digits_of(group: int, total: float) -> dict[int, int]:
    """The digit that each gateway of a group added; empty if the total is not a sum of marks."""
    whole = round(total)
    if not 0 <= whole < BASE**DIGITS or abs(total - whole) > 1e-3:
        return {}
    return {group * DIGITS + position: whole // BASE**position % BASE for position in range(DIGITS)}


class GatewayPresence:
    """When a gateway's mark was last read, and when it was absent before that."""

    __slots__ = ("away_from", "away_to", "ever", "heard", "left")

    def __init__(self, now: float) -> None:
        self.heard, self.left, self.ever = now, False, False
        self.away_from = self.away_to = now


class Presence:
    """The gateways present at one counter. Those whose marks were never read are taken to be present."""

    def __init__(self, gateways: int, me: int, terms: Terms) -> None:
        self.gateways, self.me, self.terms = gateways, me, terms
        self.seen: dict[int, GatewayPresence] = {}
        self.read_at: dict[int, float] = {}  # by group: when its marks were last read
        self.returns = 0  # returns of absent gateways so far
        self.watched_until: dict[int, float] = {}  # by group: how long its marks are read

    def watch(self, first: int, width: int, until: float) -> None:
        """Reads the marks of a customer's gateways from now on, as the customer is counted here."""
        for gateway in self.members(first, width):
            self.watched_until[group_of(gateway)] = until

    def members(self, first: int, width: int) -> list[int]:
        """A customer's gateways; empty if they are not known."""
        if first < 0 or width < 1:
            return []
        return [(first + n) % self.gateways for n in range(min(width, self.gateways))]

    def groups_to_read(self, now: float) -> list[int]:
        """The groups whose marks to read at a beat, this gateway's own first."""
        self.watched_until = {group: until for group, until in self.watched_until.items() if until > now}
        own = group_of(self.me)
        others = sorted(group for group in self.watched_until if group != own)
        return [own, *others][: self.terms.most_groups]

    def record(self, group: int, total: float, now: float) -> dict[int, int]:
        """Records and returns the marks of a past second, by gateway."""
        found = digits_of(group, total)
        if not found:
            return found
        before = self.read_at.get(group, now)
        # After a time without readings, each gateway has the full `absent_after` again to be seen.
        resumed = now - before > self.terms.absent_after
        for gateway, digit in found.items():
            if gateway >= self.gateways:
                continue
            known = self.seen.get(gateway)
            if known is None:
                known = self.seen[gateway] = GatewayPresence(now)
            elif resumed and self.state(gateway, before) == PRESENT:
                known.heard = now
            if digit:
                was_absent = self.state(gateway, now, now) == ABSENT
                if was_absent:
                    known.away_from, known.away_to = known.heard, now
                self.returns += gateway != self.me and (was_absent or not known.ever)
                known.heard, known.left, known.ever = now, digit >= LEAVING_DIGIT, True
        self.read_at[group] = now
        return found

    def split_since(self, when: float, now: float) -> bool:
        """Whether any gateway was absent since then: both halves of a split counter may have been in use."""
        returned = any(g.away_from < g.away_to and g.away_to >= when for g in self.seen.values())
        return returned or self.anyone_absent(now)

    def anyone_absent(self, now: float) -> bool:
        """Whether any gateway may use another half: absent, or not seen yet since this gateway started."""
        return any(
            not known.ever and gateway != self.me or self.state(gateway, now) == ABSENT
            for gateway, known in self.seen.items()
        )

    def state(self, gateway: int, now: float, read_at: float | None = None) -> str:
        """PRESENT, ABSENT or LEFT. `read_at`: when its marks were read, if not at the last reading."""
        known = self.seen.get(gateway)
        if known is None or gateway == self.me:
            return PRESENT
        if known.left:
            return LEFT
        unseen_s = (self.read_at.get(group_of(gateway), now) if read_at is None else read_at) - known.heard
        if unseen_s <= self.terms.absent_after:
            return PRESENT
        return LEFT if 0 < self.terms.release_after < unseen_s else ABSENT

    def present_share(self, first: int, width: int, now: float) -> float:
        """The share of a customer's gateways that is not absent; 1 if they are not known."""
        members = self.members(first, width)
        if not members:
            return 1.0
        absent = sum(self.state(gateway, now) == ABSENT for gateway in members)
        return max(len(members) - absent, 1) / len(members)

    def assumed_units(self, first: int, width: int, rate: float, since: float, now: float) -> float:
        """Units that a customer's absent gateways are taken to have passed on since then, uncounted.

        Each is charged an even share of the quota from when it was last seen. One that is back is charged so
        until it had the time to restore its own sums.
        """
        units = 0.0
        for gateway in self.members(first, width):
            known = self.seen.get(gateway)
            if known is None:
                continue
            if self.state(gateway, now) == ABSENT:
                away_s = now - max(known.heard, since)
            elif not known.left and now < known.away_to + self.terms.settle:
                away_s = known.away_to - max(known.away_from, since)
            else:
                continue
            units += max(away_s, 0.0) * rate / width
        return units
