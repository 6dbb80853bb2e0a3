"""Between the module and the counters: what to ask, and how far to believe the answers. No I/O.

The module asks (`count`), calls end (`answered`), an answer comes after its patience (`late`), a beat
is due (`beat`), the list of counters changes (`move`), this gateway stops (`leave`). Each tells what to do:
calls to make, and what to tell the module. Times are seconds of the clock that all gateways share.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from embersill.counting import presence
from embersill.counting.accounts import Account
from embersill.counting.placement import place_of
from embersill.counting.presence import Presence, group_of, mark_of
from embersill.counting.terms import BEAT, MARK_LIFE, Terms
from embersill.interface import Count, CounterResult, Outcome
from embersill.totals import EPOCH

MARKS_KEPT = MARK_LIFE - 5.0  # seconds: an older one may be forgotten by a counter that lost nothing
LOOK_LIFE = 1.0  # seconds of a name that is made by looking for it
WANTED_FOR = 10.0  # seconds for which a customer's gateways are listened for
STAGGER = 0.6  # of a beat over which the gateways' beats lie, so that they don't crowd the counter


@dataclass(frozen=True, slots=True)
class Call:
    """One call to make: add to a name at one counter. `id` names it in `answered` and `late`."""

    id: int
    place: str
    name: str
    amount: float
    forget_after: float


Step = Call | CounterResult


class Out:
    """A call that is out, and what it is for."""

    __slots__ = (
        "action",
        "amount",
        "beat",
        "corrects",
        "kind",
        "lost_corrections",
        "lost_usage",
        "moves",
        "name",
        "place",
        "second",
        "sent",
    )

    def __init__(self, kind: str, place: Place, name: str, amount: float, sent: float) -> None:
        self.kind, self.place, self.name, self.amount, self.sent = kind, place, name, amount, sent
        self.action: Count | None = None
        self.lost_usage = self.lost_corrections = 0.0  # restored by this amount: usage, corrections
        self.corrects = 0.0  # of it, what is no use but puts the sum right
        self.beat = place.beat
        self.second = self.moves = 0

    def confirm(self, account: Account, now: float) -> None:
        """The call has been added."""
        account.confirm(self.beat, self.sent, now, self.amount, self.amount - self.corrects, self.lost_usage)


USE, REPAY, SUM, MARK = "use", "repay", "sum", "mark"
READ, LOOK, CHECK, OLD = "read", "look", "check", "old"


class Place:
    """What is known of one counter."""

    def __init__(self, name: str, seen: Presence) -> None:
        self.name, self.presence = name, seen
        self.beat = 0
        self.marked = -1  # the beat whose mark was last confirmed
        self.fails, self.quiet_until = 0, -math.inf
        self.marks: dict[int, tuple[float, float]] = {}  # own seconds that were confirmed: sent, answered
        # the latest mark that is known to follow from all before it, by a look at the one before in its beat:
        # while it is there, nothing was lost, however many beats went without an answer meanwhile
        self.anchor: int | None = None
        self.linked = -1  # the beat in which the anchor was last seen to be there
        self.good_at = -math.inf  # sending of the last look that showed that nothing was lost
        self.accounts: dict[str, Account] = {}
        self.settled_at = -math.inf
        self.losses = self.returns = 0
        self.found_at = -1  # the beat in which it was last known what was lost
        self.search: Search | None = None
        self.corrections: list[Count] = []  # the module's, until a check shows that nothing was lost
        self.checking = False

    def link(self, now: float, settle: float) -> bool:
        """This beat's mark follows from the anchor, if both have been seen in the same beat.

        A first one follows from nothing: the others may be telling anew what the counter lost before it,
        unless it turns out to have marks from before that time. True for a first one.
        """
        latest = max(self.marks, default=None)
        if latest is not None and (self.anchor is None or self.linked == self.beat == self.marked):
            first, self.anchor = self.anchor is None, latest
            if first:
                self.settled_at = max(self.settled_at, now + settle)
            return first
        return False


class Search:
    """Halves the own seconds until the last one is found that the counter still has.

    A counter that came back with old sums has all up to a moment, and nothing after it.
    """

    def __init__(self, seconds: list[int], missing: int) -> None:
        self.seconds, self.missing = seconds, missing
        self.low, self.high = 0, len(seconds)  # the counter has those below low, and not those from high on
        self.asked = False

    @property
    def done(self) -> bool:
        return self.low >= self.high

    @property
    def next(self) -> int:
        return self.seconds[(self.low + self.high) // 2]

    def told(self, second: int, there: bool) -> None:
        place = self.seconds.index(second)
        if there:
            self.low = place + 1
        else:
            self.high = place


class Keeper:
    """One gateway's. `places` are the counters' addresses; at least one."""

    def __init__(self, terms: Terms, me: int, gateways: int, places: Sequence[str]) -> None:
        self.terms, self.me, self.gateways = terms, me, gateways
        self.order: tuple[str, ...] = tuple(places)
        self.places = {name: self.new_place(name) for name in self.order}
        self.known = dict(self.places)  # and those no longer used, while they may have sums of this epoch
        self.out: dict[int, Out] = {}
        self.overdue: dict[int, Out] = {}  # told as timed out, in the order of their sending
        self.ids = 0
        self.names = 0
        self.unkept = 0  # uses that went uncounted in accounts: more names than the bound
        self.moves = 0  # changes of the list so far
        self.left = False

    def new_place(self, name: str) -> Place:
        return Place(name, Presence(self.gateways, self.me, self.terms))

    def place_for(self, name: str) -> Place:
        """Where a customer's name is now."""
        return self.places[place_of(name.rpartition(".")[0], self.order)]

    # what comes in

    def count(self, action: Count, now: float) -> list[Step]:
        """The module wants a call. It is told the end of each exactly once."""
        place = self.place_for(action.name)
        place.presence.want(action.first, action.width, now + WANTED_FOR)
        if now < place.quiet_until or len(self.out) >= self.terms.most_calls:
            return [CounterResult(action.name, Outcome.NO_CONNECTION, 0.0, 0.0, True, action.call)]
        if action.corrects > 0:
            # the sum is too low to be true, or the name is new: a counter that lost its sums looks the same
            account = self.account_at(place, action.name)
            if now < place.settled_at or place.search is not None or place.anchor is None:
                if account is not None:  # right for here; the others are telling anew what they had told
                    account.last_sum += action.corrects
                return [dropped(action)]
            if account is not None and account.correction_pending:
                return [dropped(action)]
            if account is not None:
                account.correction_pending = True
            place.corrections.append(action)
            return self.check(place, now)
        return [self.use(place, action, now)]

    def answered(self, number: int, outcome: Outcome, elapsed: float, total: float, now: float) -> list[Step]:
        """A call has ended: once each, by its caller's patience at the latest."""
        out = self.out.pop(number, None)
        if out is None:
            return []
        place = out.place
        self.judge(place, outcome, now)
        if out.kind in (USE, REPAY) and out.moves != self.moves and self.place_for(out.name) is not place:
            return self.answered_elsewhere(out, outcome, elapsed, now)
        served = outcome is Outcome.SERVED
        if out.kind == MARK:
            if served:
                place.marks[out.second] = out.sent, now
                place.marked = out.beat
                if place.link(now, self.terms.settle) and place.losses == 0:
                    before = int((now - self.terms.settle) // BEAT) - 1
                    return [self.look(OLD, place, before, group_of(self.me), now)]
        elif out.kind in (READ, CHECK, LOOK):
            return self.looked(out, served, total, now)
        elif out.kind == OLD:
            if served and total > 0 and place.losses == 0 and place.search is None:
                place.settled_at = now  # it has lost nothing for so long: nobody is telling anything anew
        elif out.kind == SUM:
            return self.right(out, total, now) if served else []
        else:
            return self.added(number, out, outcome, elapsed, total, now)
        return []

    def late(self, number: int, now: float) -> None:
        """The answer of a call comes after it was told as timed out: it has been added after all."""
        out = self.overdue.pop(number, None)
        account = out.place.accounts.get(out.name) if out is not None else None
        if out is None or account is None:
            return
        if account.unconfirmed.pop(number, None) is not None:
            out.confirm(account, now)
            account.doubtful_corrections = max(account.doubtful_corrections - out.lost_corrections, 0.0)

    def next_beat(self, now: float) -> float:
        """When the next beat is due: once a second, gateways by turns."""
        phase = 0.1 + STAGGER * self.me / max(self.gateways, 1)
        due = math.floor(now / BEAT) * BEAT + phase
        return due if due > now else due + BEAT

    def beat(self, now: float) -> list[Step]:
        """Marks this second, reads the marks of the last one, and tells anew what was lost."""
        steps: list[Step] = []
        second = int(now // BEAT)
        while self.overdue and now - next(iter(self.overdue.values())).sent > EPOCH:
            del self.overdue[next(iter(self.overdue))]
        for name, place in list(self.known.items()):
            self.forget(place, now)
            if name not in self.places and not place.accounts:
                del self.known[name]
        for place in self.places.values():
            place.beat += 1
            for group in place.presence.groups(now):
                steps.append(self.look(READ, place, second - 1, group, now))
            if place.anchor is not None and place.anchor != second - 1 and place.search is None:
                steps.append(self.look(CHECK, place, place.anchor, group_of(self.me), now))
            steps.append(self.mark(place, second, now))
            if place.search is not None and not place.search.asked:
                steps += self.go_on(place, now)
            elif now >= place.quiet_until:
                steps += self.repay(place, now)
        return steps

    def move(self, places: Sequence[str], now: float) -> list[Step]:
        """Other counters from now on: sums whose counter changes are told anew where they are now."""
        before, self.order = self.order, tuple(places)
        self.moves += 1
        steps: list[Step] = []
        for name in self.order:
            if name not in self.known:
                self.known[name] = self.new_place(name)
        self.places = {name: self.known[name] for name in self.order}
        for old in before:
            place = self.known[old]
            for name, account in list(place.accounts.items()):
                customer = name.rpartition(".")[0]
                to = self.place_for(name)
                if to is not place and place_of(customer, before) == old:
                    account.move_to(self.account_at(to, name) or account)
                    to.settled_at, to.found_at = now + self.terms.settle, to.beat
            if old not in self.places:
                steps += self.drop_corrections(place)
        for name, place in self.places.items():
            if name not in before:  # it may have served before, and lost since what it had then
                steps += self.check(place, now)
            steps += self.repay(place, now)
        return steps

    def leave(self, now: float) -> list[Step]:
        """This gateway stops: the others need not hold its part for it."""
        self.left = True
        return [self.mark(place, int(now // BEAT), now) for place in self.places.values()]

    # calls

    def ask(self, kind: str, place: Place, name: str, amount: float, life: float, now: float) -> Call:
        self.ids += 1
        out = self.out[self.ids] = Out(kind, place, name, amount, now)
        out.moves = self.moves
        return Call(self.ids, place.name, name, amount, life)

    def look(self, kind: str, place: Place, second: int, group: int, now: float) -> Call:
        """Reads a group's marks of a second."""
        call = self.ask(kind, place, presence.name_of(second, group), 0.0, LOOK_LIFE, now)
        self.out[call.id].second = second
        return call

    def mark(self, place: Place, second: int, now: float) -> Call:
        name = presence.name_of(second, group_of(self.me))
        call = self.ask(MARK, place, name, mark_of(self.me, self.left), MARK_LIFE, now)
        self.out[call.id].second = second
        return call

    def use(self, place: Place, action: Count, now: float) -> Call:
        account = self.account_at(place, action.name) if action.running else None
        lost_usage, right = (0.0, 0.0) if account is None else account.take_lost()
        call = self.ask(USE, place, action.name, action.amount + lost_usage + right, action.forget_after, now)
        out = self.out[call.id]
        out.action, out.lost_usage, out.lost_corrections, out.corrects = (
            action,
            lost_usage,
            right,
            action.corrects + right,
        )
        return call

    def account_at(self, place: Place, name: str) -> Account | None:
        """This gateway's account of a name; a new one, or None where there are too many."""
        found = place.accounts.get(name)
        if found is None:
            if self.names >= self.terms.most_names:
                self.unkept += 1
                return None
            found = place.accounts[name] = Account(int(name.rpartition(".")[2]))
            self.names += 1
        return found

    def forget(self, place: Place, now: float) -> None:
        epoch = int(now // EPOCH)
        for name in [name for name, account in place.accounts.items() if account.epoch < epoch]:
            del place.accounts[name]
            self.names -= 1
        for second in [s for s, (sent, _) in place.marks.items() if now - sent >= MARKS_KEPT]:
            del place.marks[second]
        if place.anchor not in place.marks:
            place.anchor = None  # too old to tell by: a counter may have forgotten it by itself

    def repay(self, place: Place, now: float) -> list[Step]:
        """Tells lost sums anew, a bounded number at a time; the others' next use brings them along.

        Corrections come a beat later: by then all have told what was passed on, and it shows what is missing.
        """
        steps: list[Step] = []
        for name, account in place.accounts.items():
            if len(steps) >= self.terms.repays_a_beat:
                break
            if account.lost_usage or account.lost_corrections:
                lost_usage, right = account.take_lost()
                call = self.ask(REPAY, place, name, lost_usage + right, EPOCH, now)
                out = self.out[call.id]
                out.lost_usage, out.lost_corrections, out.corrects = lost_usage, right, right
                steps.append(call)
            elif account.doubtful_corrections > 0 and place.beat > place.found_at + 1:
                steps.append(self.ask(SUM, place, name, 0.0, EPOCH, now))
        return steps

    # answers

    def judge(self, place: Place, outcome: Outcome, now: float) -> None:
        """A counter that gives nothing is left alone for a while; its marks go on and find it back."""
        if outcome in (Outcome.SERVED, Outcome.TURNED_AWAY):
            place.fails, place.quiet_until = 0, -math.inf
            return
        place.fails += 1
        if place.fails >= self.terms.silent_from or outcome is Outcome.NO_CONNECTION:
            wait = self.terms.back_off * 2.0 ** min(place.fails - 1, 16)
            place.quiet_until = now + min(wait, self.terms.most_back_off)

    def added(
        self, number: int, out: Out, outcome: Outcome, elapsed: float, total: float, now: float
    ) -> list[Step]:
        place, action = out.place, out.action
        account = place.accounts.get(out.name)
        if account is not None and out.corrects > 0:
            account.correction_pending = False
        if outcome is Outcome.SERVED:
            if account is not None:
                out.confirm(account, now)
                if out.corrects > 0 and place.presence.anyone_absent(now):
                    account.provisional_corrections += out.corrects
            if action is None:
                return []
            believed = self.believe(place, account, action, total, now)
            return [CounterResult(action.name, outcome, elapsed, believed, False, action.call)]
        if account is not None:
            if outcome is Outcome.TIMED_OUT:
                account.unconfirmed[number] = out.amount - out.corrects
                account.doubtful_corrections += out.lost_corrections
                self.overdue[number] = out
            else:
                account.lost_usage += out.lost_usage
                account.lost_corrections += out.lost_corrections
        if action is None:
            return []
        return [CounterResult(action.name, outcome, elapsed, 0.0, self.is_alone(outcome), action.call)]

    def right(self, out: Out, total: float, now: float) -> list[Step]:
        """A sum that lost corrections is read: what it still wants of them is told anew."""
        account = out.place.accounts.get(out.name)
        wanted = account.take_missing_corrections(total) if account is not None else 0.0
        if wanted <= 0 or self.place_for(out.name) is not out.place:
            return []
        call = self.ask(REPAY, out.place, out.name, wanted, EPOCH, now)
        self.out[call.id].corrects = wanted
        return [call]

    def is_alone(self, outcome: Outcome) -> bool:
        """One counter of several that gives nothing says nothing of the others; a crowd is a crowd."""
        return len(self.places) > 1 and outcome is not Outcome.TURNED_AWAY

    def answered_elsewhere(self, out: Out, outcome: Outcome, elapsed: float, now: float) -> list[Step]:
        """The call went to where its name was then: whatever it did there counts nowhere now."""
        old, account = out.place.accounts.get(out.name), self.account_at(self.place_for(out.name), out.name)
        proven = outcome is not Outcome.SERVED and outcome is not Outcome.TIMED_OUT
        if old is not None and outcome is Outcome.SERVED:  # it is there, should the name come back
            out.confirm(old, now)
        if account is not None:  # what was proven not to be added the module tells again by itself
            account.lost_usage += out.lost_usage if proven else out.amount - out.corrects
            account.lost_corrections += out.lost_corrections if proven else out.corrects
        if out.action is None:
            return []
        told = Outcome.NO_CONNECTION if proven else Outcome.TIMED_OUT
        return [CounterResult(out.action.name, told, elapsed, 0.0, True, out.action.call)]

    def believe(
        self, place: Place, account: Account | None, action: Count, total: float, now: float
    ) -> float:
        """The sum as the module is to take it: never below what this gateway can know it to be."""
        if not action.running:  # one second's demand: those heard stand for those that are cut off
            return total / place.presence.heard_part(action.first, action.width, now)
        if account is not None:
            total += account.uncertain_units
            settling = now < place.settled_at or place.search is not None
            if settling:
                total = max(total, account.min_sum)
            account.record_sum(total, now, -math.inf if settling else place.good_at)
        epoch = int(action.name.rpartition(".")[2])
        return total + place.presence.assumed(action.first, action.width, action.rate, epoch * EPOCH, now)

    # losses

    def check(self, place: Place, now: float) -> list[Step]:
        """Looks whether the anchor is there, once for all corrections that wait for it."""
        if place.checking or place.search is not None or place.anchor is None:
            return []
        place.checking = True
        return [self.look(CHECK, place, place.anchor, group_of(self.me), now)]

    def looked(self, out: Out, served: bool, total: float, now: float) -> list[Step]:
        place, own = out.place, group_of(self.me)
        if out.kind == CHECK:
            place.checking = False
        if out.kind == LOOK and place.search is not None:
            place.search.asked = False
        if not served:
            return self.drop_corrections(place) if out.kind == CHECK else []
        group = int(out.name.rpartition(".")[2])
        there = bool(presence.digits_of(group, total).get(self.me, 0)) if group == own else False
        if out.kind == LOOK:
            if place.search is None:
                return []
            place.search.told(out.second, there)
            return self.go_on(place, now)
        if out.kind == READ:
            place.presence.read(group, total, now)
        judges = group == own and place.search is None and out.second in place.marks
        if judges and not there:
            return self.lose(place, out.second, now)
        if place.presence.returns > place.returns and place.search is None:
            self.reunite(place, now)
        if not judges:
            return []
        if out.second == place.anchor:
            place.good_at = max(place.good_at, out.sent)
            place.linked = out.beat
            place.link(now, self.terms.settle)
        return self.apply_corrections(place, now) if out.kind == CHECK else []

    def reunite(self, place: Place, now: float) -> None:
        """A gateway is back that was absent, perhaps from another half of the counter."""
        place.returns = place.presence.returns
        place.found_at, place.settled_at = place.beat, max(place.settled_at, now + self.terms.settle)
        for account in place.accounts.values():
            account.reunite()

    def lose(self, place: Place, missing: int, now: float) -> list[Step]:
        """A mark that this counter confirmed is gone: it is another one, or went back."""
        place.losses += 1
        place.returns = place.presence.returns  # own corrections are lost: none is undone
        place.anchor = None
        place.settled_at = now + self.terms.settle
        place.search = Search(sorted(s for s in place.marks if s < missing), missing)
        return [*self.drop_corrections(place), *self.go_on(place, now)]

    def go_on(self, place: Place, now: float) -> list[Step]:
        """The next look of the search, or its end."""
        search = place.search
        assert search is not None
        if search.done:
            return self.found(place, search, now)
        second = search.next
        search.asked = True
        return [self.look(LOOK, place, second, group_of(self.me), now)]

    def found(self, place: Place, search: Search, now: float) -> list[Step]:
        """It is known how far the counter went back: what this gateway added since is told anew."""
        kept = search.seconds[search.low - 1] if search.low else None
        gone = [s for s in place.marks if kept is None or s > kept]
        kept_until = -math.inf if kept is None else place.marks[kept][0]
        lost_from = min((place.marks[s][1] for s in gone), default=math.inf)
        halved = place.presence.halved_since(kept_until, now)
        for account in place.accounts.values():
            account.record_loss(kept_until, lost_from, place.good_at, halved)
        for second in gone:
            if second <= search.missing:  # later ones were made where the search was
                del place.marks[second]
        place.search = None
        place.found_at = place.beat
        place.good_at = now
        place.settled_at = now + self.terms.settle
        # a mark at once, ahead of what is told anew: another loss, before the next beat, would take it along
        return [self.mark(place, int(now // BEAT), now), *self.repay(place, now)]

    def apply_corrections(self, place: Place, now: float) -> list[Step]:
        waiting, place.corrections = place.corrections, []
        return [self.use(place, action, now) for action in waiting]

    def drop_corrections(self, place: Place) -> list[Step]:
        """The module made them from a sum that was not to be believed: they are not needed."""
        waiting, place.corrections = place.corrections, []
        for action in waiting:
            account = place.accounts.get(action.name)
            if account is not None:
                account.correction_pending = False
        return [dropped(action) for action in waiting]


def dropped(action: Count) -> CounterResult:
    """What a correction that was not made is told as: its units stay with the module."""
    return CounterResult(action.name, Outcome.TURNED_AWAY, 0.0, 0.0, True, action.call)
