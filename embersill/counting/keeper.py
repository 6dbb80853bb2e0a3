"""Decides which calls to make to the counters, and how far their answers can be trusted. No I/O.

The caller reports what happens: the module counts a use (`count`), a call ends (`answered`), an answer
arrives after its timeout (`late`), a heartbeat is due (`beat`), the list of counters changes (`move`), this
gateway stops (`leave`). Each method returns what to do: calls to make, and outcomes for the module. Times are
seconds of the clock that all gateways share.
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

MARK_RETENTION_S = MARK_LIFE - 5.0  # a counter that lost nothing may have dropped an older mark
READ_TTL_S = 1.0  # life of a name that is created by reading it
WATCH_S = 10.0  # how long the marks of a customer's gateways are read after a use
STAGGER_SHARE = 0.6  # share of a beat over which gateways spread their beats, so as not to burst the counter


@dataclass(frozen=True, slots=True)
class Call:
    """A call to make: add to a name at the counter at `place`. `answered` and `late` refer to it by `id`."""

    id: int
    place: str
    name: str
    amount: float
    forget_after: float


Step = Call | CounterResult


class PendingCall:
    """A call in flight, and its purpose."""

    __slots__ = (
        "action",
        "amount",
        "beat",
        "corrects",
        "counter",
        "kind",
        "lost_corrections",
        "lost_usage",
        "moves",
        "name",
        "second",
        "sent",
    )

    def __init__(self, kind: str, counter: CounterState, name: str, amount: float, sent: float) -> None:
        self.kind, self.counter, self.name, self.amount, self.sent = kind, counter, name, amount, sent
        self.action: Count | None = None
        self.lost_usage = self.lost_corrections = 0.0  # parts of the amount that restore lost units
        self.corrects = 0.0  # part of the amount that is no use but corrects the sum
        self.beat = counter.beat
        self.second = self.moves = 0

    def confirm(self, account: Account, now: float) -> None:
        """Records that the amount has been added."""
        account.confirm(self.beat, self.sent, now, self.amount, self.amount - self.corrects, self.lost_usage)


# calls that change a customer's sum or read it, and this gateway's own mark
USE, RESTORE, READ_SUM, MARK = "use", "repay", "sum", "mark"
# reads of marks: of the last second, in a search after a loss, of the anchor, of the time before the first
READ_MARKS, SEARCH, CHECK, READ_OLD = "read", "look", "check", "old"


class CounterState:
    """What is known of one counter."""

    def __init__(self, address: str, seen: Presence) -> None:
        self.address, self.presence = address, seen
        self.beat = 0
        self.marked_beat = -1  # the beat whose mark was last confirmed
        self.failures, self.quiet_until = 0, -math.inf
        self.marks: dict[int, tuple[float, float]] = {}  # confirmed own marks by second: sent, answered
        # The latest mark that is known to follow all earlier ones: the one before it was read in its beat.
        # While it is present nothing was lost, however many beats went unanswered meanwhile.
        self.anchor: int | None = None
        self.anchor_seen_beat = -1  # the beat in which the anchor was last read
        self.good_at = -math.inf  # when the last read that showed that nothing was lost was sent
        self.accounts: dict[str, Account] = {}
        self.settled_at = -math.inf
        self.losses = self.returns = 0
        self.restoring_beat = -1  # the beat in which the extent of a loss was last known
        self.search: Search | None = None
        self.corrections: list[Count] = []  # from the module, held until a check shows that nothing was lost
        self.checking = False

    def advance_anchor(self, now: float, settle: float) -> bool:
        """Makes this beat's mark the anchor if the previous anchor was read in the same beat.

        A first mark follows nothing: other gateways may be restoring what the counter lost before it, unless
        the counter turns out to have marks from before that time. Returns True for a first one.
        """
        latest = max(self.marks, default=None)
        if latest is not None and (
            self.anchor is None or self.anchor_seen_beat == self.beat == self.marked_beat
        ):
            is_first, self.anchor = self.anchor is None, latest
            if is_first:
                self.settled_at = max(self.settled_at, now + settle)
            return is_first
        return False


class Search:
    """Binary search for the last own mark that the counter still has.

    A counter that was restored to an earlier state has all marks up to a moment, and none after it.
    """

    def __init__(self, seconds: list[int], missing: int) -> None:
        self.seconds, self.missing = seconds, missing
        self.low, self.high = 0, len(seconds)  # marks below `low` are present, those from `high` on are not
        self.reading = False

    @property
    def done(self) -> bool:
        """Whether the last present mark is known."""
        return self.low >= self.high

    @property
    def next_second(self) -> int:
        """The second whose mark to read next."""
        return self.seconds[(self.low + self.high) // 2]

    def record(self, second: int, present: bool) -> None:
        """Narrows the search by whether the mark of a second is present."""
        index = self.seconds.index(second)
        if present:
            self.low = index + 1
        else:
            self.high = index


class Keeper:
    """The counting state of one gateway. `places` are the counters' addresses; at least one."""

    def __init__(self, terms: Terms, me: int, gateways: int, places: Sequence[str]) -> None:
        self.terms, self.me, self.gateways = terms, me, gateways
        self.addresses: tuple[str, ...] = tuple(places)
        self.counters = {address: self.new_counter(address) for address in self.addresses}
        self.known = dict(self.counters)  # also those no longer used, while they may have sums of this epoch
        self.in_flight: dict[int, PendingCall] = {}
        self.overdue: dict[int, PendingCall] = {}  # reported as timed out, in the order of their sending
        self.last_id = 0
        self.name_count = 0
        self.unrecorded = 0  # uses without an account, as there were more names than `most_names`
        self.moves = 0  # changes of the list of counters so far
        self.left = False

    def new_counter(self, address: str) -> CounterState:
        """The initial state of a counter."""
        return CounterState(address, Presence(self.gateways, self.me, self.terms))

    def counter_for(self, name: str) -> CounterState:
        """The counter that a customer's name is assigned to now."""
        return self.counters[place_of(name.rpartition(".")[0], self.addresses)]

    # events

    def count(self, action: Count, now: float) -> list[Step]:
        """Handles a count by the module, which gets the outcome of each exactly once."""
        counter = self.counter_for(action.name)
        counter.presence.watch(action.first, action.width, now + WATCH_S)
        if now < counter.quiet_until or len(self.in_flight) >= self.terms.most_calls:
            return [CounterResult(action.name, Outcome.NO_CONNECTION, 0.0, 0.0, True, action.call)]
        if action.corrects > 0:
            # The sum is lower than it can be, or the name is new, but a loss of sums looks the same.
            account = self.account_for(counter, action.name)
            if now < counter.settled_at or counter.search is not None or counter.anchor is None:
                if account is not None:  # valid at this gateway; other gateways are restoring lost sums
                    account.last_sum += action.corrects
                return [dropped_result(action)]
            if account is not None and account.correction_pending:
                return [dropped_result(action)]
            if account is not None:
                account.correction_pending = True
            counter.corrections.append(action)
            return self.check_anchor(counter, now)
        return [self.add_use(counter, action, now)]

    def answered(self, number: int, outcome: Outcome, elapsed: float, total: float, now: float) -> list[Step]:
        """Handles the end of a call: once for each, by its timeout at the latest."""
        pending = self.in_flight.pop(number, None)
        if pending is None:
            return []
        counter = pending.counter
        self.record_outcome(counter, outcome, now)
        if (
            pending.kind in (USE, RESTORE)
            and pending.moves != self.moves
            and self.counter_for(pending.name) is not counter
        ):
            return self.ended_after_move(pending, outcome, elapsed, now)
        served = outcome is Outcome.SERVED
        if pending.kind == MARK:
            if served:
                counter.marks[pending.second] = pending.sent, now
                counter.marked_beat = pending.beat
                if counter.advance_anchor(now, self.terms.settle) and counter.losses == 0:
                    before = int((now - self.terms.settle) // BEAT) - 1
                    return [self.read_marks(READ_OLD, counter, before, group_of(self.me), now)]
        elif pending.kind in (READ_MARKS, CHECK, SEARCH):
            return self.handle_marks(pending, served, total, now)
        elif pending.kind == READ_OLD:
            if served and total > 0 and counter.losses == 0 and counter.search is None:
                counter.settled_at = now  # it lost nothing for `settle` seconds: nobody is restoring sums
        elif pending.kind == READ_SUM:
            return self.restore_corrections(pending, total, now) if served else []
        else:
            return self.handle_added(number, pending, outcome, elapsed, total, now)
        return []

    def late(self, number: int, now: float) -> None:
        """Handles an answer to a call that was reported as timed out: its amount has been added after all."""
        pending = self.overdue.pop(number, None)
        account = pending.counter.accounts.get(pending.name) if pending is not None else None
        if pending is None or account is None:
            return
        if account.unconfirmed.pop(number, None) is not None:
            pending.confirm(account, now)
            account.doubtful_corrections = max(account.doubtful_corrections - pending.lost_corrections, 0.0)

    def next_beat(self, now: float) -> float:
        """When the next beat is due: once a second, at a different time for each gateway."""
        phase = 0.1 + STAGGER_SHARE * self.me / max(self.gateways, 1)
        due = math.floor(now / BEAT) * BEAT + phase
        return due if due > now else due + BEAT

    def beat(self, now: float) -> list[Step]:
        """Adds this second's mark, reads the marks of the last one, and restores what was lost."""
        steps: list[Step] = []
        second = int(now // BEAT)
        while self.overdue and now - next(iter(self.overdue.values())).sent > EPOCH:
            del self.overdue[next(iter(self.overdue))]
        for address, counter in list(self.known.items()):
            self.drop_expired(counter, now)
            if address not in self.counters and not counter.accounts:
                del self.known[address]
        for counter in self.counters.values():
            counter.beat += 1
            for group in counter.presence.groups_to_read(now):
                steps.append(self.read_marks(READ_MARKS, counter, second - 1, group, now))
            if counter.anchor is not None and counter.anchor != second - 1 and counter.search is None:
                steps.append(self.read_marks(CHECK, counter, counter.anchor, group_of(self.me), now))
            steps.append(self.add_mark(counter, second, now))
            if counter.search is not None and not counter.search.reading:
                steps += self.continue_search(counter, now)
            elif now >= counter.quiet_until:
                steps += self.restore_lost(counter, now)
        return steps

    def move(self, places: Sequence[str], now: float) -> list[Step]:
        """Uses the counters at these addresses from now on, and moves the sums whose counter changes."""
        before, self.addresses = self.addresses, tuple(places)
        self.moves += 1
        steps: list[Step] = []
        for address in self.addresses:
            if address not in self.known:
                self.known[address] = self.new_counter(address)
        self.counters = {address: self.known[address] for address in self.addresses}
        for old in before:
            counter = self.known[old]
            for name, account in list(counter.accounts.items()):
                customer = name.rpartition(".")[0]
                to = self.counter_for(name)
                if to is not counter and place_of(customer, before) == old:
                    account.move_to(self.account_for(to, name) or account)
                    to.settled_at, to.restoring_beat = now + self.terms.settle, to.beat
            if old not in self.counters:
                steps += self.drop_corrections(counter)
        for address, counter in self.counters.items():
            if address not in before:  # it may have been used earlier, and have lost its sums since
                steps += self.check_anchor(counter, now)
            steps += self.restore_lost(counter, now)
        return steps

    def leave(self, now: float) -> list[Step]:
        """Announces that this gateway stops, so that others need not reserve its part of each quota."""
        self.left = True
        return [self.add_mark(counter, int(now // BEAT), now) for counter in self.counters.values()]

    # calls

    def start_call(
        self, kind: str, counter: CounterState, name: str, amount: float, life: float, now: float
    ) -> Call:
        """A new call, recorded as in flight."""
        self.last_id += 1
        pending = self.in_flight[self.last_id] = PendingCall(kind, counter, name, amount, now)
        pending.moves = self.moves
        return Call(self.last_id, counter.address, name, amount, life)

    def read_marks(self, kind: str, counter: CounterState, second: int, group: int, now: float) -> Call:
        """A call that reads a group's marks of a second."""
        call = self.start_call(kind, counter, presence.name_of(second, group), 0.0, READ_TTL_S, now)
        self.in_flight[call.id].second = second
        return call

    def add_mark(self, counter: CounterState, second: int, now: float) -> Call:
        """A call that adds this gateway's mark of a second."""
        name = presence.name_of(second, group_of(self.me))
        call = self.start_call(MARK, counter, name, mark_of(self.me, self.left), MARK_LIFE, now)
        self.in_flight[call.id].second = second
        return call

    def add_use(self, counter: CounterState, action: Count, now: float) -> Call:
        """A call that adds the module's count, along with lost units of the same name."""
        account = self.account_for(counter, action.name) if action.running else None
        lost_usage, corrections = (0.0, 0.0) if account is None else account.take_lost()
        call = self.start_call(
            USE, counter, action.name, action.amount + lost_usage + corrections, action.forget_after, now
        )
        pending = self.in_flight[call.id]
        pending.action, pending.lost_usage, pending.lost_corrections, pending.corrects = (
            action,
            lost_usage,
            corrections,
            action.corrects + corrections,
        )
        return call

    def account_for(self, counter: CounterState, name: str) -> Account | None:
        """This gateway's account of a name, created if needed; None where there are too many names."""
        found = counter.accounts.get(name)
        if found is None:
            if self.name_count >= self.terms.most_names:
                self.unrecorded += 1
                return None
            found = counter.accounts[name] = Account(int(name.rpartition(".")[2]))
            self.name_count += 1
        return found

    def drop_expired(self, counter: CounterState, now: float) -> None:
        """Drops accounts of past epochs, and marks that the counter may have dropped by now."""
        epoch = int(now // EPOCH)
        for name in [name for name, account in counter.accounts.items() if account.epoch < epoch]:
            del counter.accounts[name]
            self.name_count -= 1
        for second in [s for s, (sent, _) in counter.marks.items() if now - sent >= MARK_RETENTION_S]:
            del counter.marks[second]
        if counter.anchor not in counter.marks:
            counter.anchor = None  # its absence would prove nothing: the counter may have expired it

    def restore_lost(self, counter: CounterState, now: float) -> list[Step]:
        """Restores lost sums, a bounded number at a time; the others wait for the next use of their name.

        Corrections follow a beat later: by then all gateways have restored what they passed on, and the sum
        shows what is still missing.
        """
        steps: list[Step] = []
        for name, account in counter.accounts.items():
            if len(steps) >= self.terms.repays_a_beat:
                break
            if account.lost_usage or account.lost_corrections:
                lost_usage, corrections = account.take_lost()
                call = self.start_call(RESTORE, counter, name, lost_usage + corrections, EPOCH, now)
                pending = self.in_flight[call.id]
                pending.lost_usage, pending.lost_corrections, pending.corrects = (
                    lost_usage,
                    corrections,
                    corrections,
                )
                steps.append(call)
            elif account.doubtful_corrections > 0 and counter.beat > counter.restoring_beat + 1:
                steps.append(self.start_call(READ_SUM, counter, name, 0.0, EPOCH, now))
        return steps

    # answers

    def record_outcome(self, counter: CounterState, outcome: Outcome, now: float) -> None:
        """Pauses uses of a counter that does not answer; its marks go on, and detect its recovery."""
        if outcome in (Outcome.SERVED, Outcome.TURNED_AWAY):
            counter.failures, counter.quiet_until = 0, -math.inf
            return
        counter.failures += 1
        if counter.failures >= self.terms.silent_from or outcome is Outcome.NO_CONNECTION:
            wait = self.terms.back_off * 2.0 ** min(counter.failures - 1, 16)
            counter.quiet_until = now + min(wait, self.terms.most_back_off)

    def handle_added(
        self, number: int, pending: PendingCall, outcome: Outcome, elapsed: float, total: float, now: float
    ) -> list[Step]:
        """Handles the end of a use or of a restored sum."""
        counter, action = pending.counter, pending.action
        account = counter.accounts.get(pending.name)
        if account is not None and pending.corrects > 0:
            account.correction_pending = False
        if outcome is Outcome.SERVED:
            if account is not None:
                pending.confirm(account, now)
                if pending.corrects > 0 and counter.presence.anyone_absent(now):
                    account.provisional_corrections += pending.corrects
            if action is None:
                return []
            trusted = self.trusted_sum(counter, account, action, total, now)
            return [CounterResult(action.name, outcome, elapsed, trusted, False, action.call)]
        if account is not None:
            if outcome is Outcome.TIMED_OUT:
                account.unconfirmed[number] = pending.amount - pending.corrects
                account.doubtful_corrections += pending.lost_corrections
                self.overdue[number] = pending
            else:
                account.lost_usage += pending.lost_usage
                account.lost_corrections += pending.lost_corrections
        if action is None:
            return []
        return [CounterResult(action.name, outcome, elapsed, 0.0, self.is_alone(outcome), action.call)]

    def restore_corrections(self, pending: PendingCall, total: float, now: float) -> list[Step]:
        """Handles the reading of a sum that lost corrections: restores those that it still lacks."""
        account = pending.counter.accounts.get(pending.name)
        missing = account.take_missing_corrections(total) if account is not None else 0.0
        if missing <= 0 or self.counter_for(pending.name) is not pending.counter:
            return []
        call = self.start_call(RESTORE, pending.counter, pending.name, missing, EPOCH, now)
        self.in_flight[call.id].corrects = missing
        return [call]

    def is_alone(self, outcome: Outcome) -> bool:
        """Whether a failure says nothing about names at other counters; an overload is one for all."""
        return len(self.counters) > 1 and outcome is not Outcome.TURNED_AWAY

    def ended_after_move(
        self, pending: PendingCall, outcome: Outcome, elapsed: float, now: float
    ) -> list[Step]:
        """Handles the end of a call at a counter that its name has left: what it added no longer counts."""
        old, account = (
            pending.counter.accounts.get(pending.name),
            self.account_for(self.counter_for(pending.name), pending.name),
        )
        not_added = outcome is not Outcome.SERVED and outcome is not Outcome.TIMED_OUT
        if old is not None and outcome is Outcome.SERVED:  # needed if the name moves back
            pending.confirm(old, now)
        if account is not None:  # what was certainly not added is counted again by the module itself
            account.lost_usage += pending.lost_usage if not_added else pending.amount - pending.corrects
            account.lost_corrections += pending.lost_corrections if not_added else pending.corrects
        if pending.action is None:
            return []
        reported = Outcome.NO_CONNECTION if not_added else Outcome.TIMED_OUT
        return [CounterResult(pending.action.name, reported, elapsed, 0.0, True, pending.action.call)]

    def trusted_sum(
        self, counter: CounterState, account: Account | None, action: Count, total: float, now: float
    ) -> float:
        """The sum that the module is to use: never below what this gateway knows it to be at least."""
        if not action.running:  # one second's demand: gateways that are cut off are taken to demand as much
            return total / counter.presence.present_share(action.first, action.width, now)
        if account is not None:
            total += account.uncertain_units
            settling = now < counter.settled_at or counter.search is not None
            if settling:
                total = max(total, account.min_sum)
            account.record_sum(total, now, -math.inf if settling else counter.good_at)
        epoch = int(action.name.rpartition(".")[2])
        return total + counter.presence.assumed_units(
            action.first, action.width, action.rate, epoch * EPOCH, now
        )

    # losses

    def check_anchor(self, counter: CounterState, now: float) -> list[Step]:
        """Reads the anchor's mark, once for all corrections that wait for it."""
        if counter.checking or counter.search is not None or counter.anchor is None:
            return []
        counter.checking = True
        return [self.read_marks(CHECK, counter, counter.anchor, group_of(self.me), now)]

    def handle_marks(self, pending: PendingCall, served: bool, total: float, now: float) -> list[Step]:
        """Handles the reading of a group's marks."""
        counter, own_group = pending.counter, group_of(self.me)
        if pending.kind == CHECK:
            counter.checking = False
        if pending.kind == SEARCH and counter.search is not None:
            counter.search.reading = False
        if not served:
            return self.drop_corrections(counter) if pending.kind == CHECK else []
        group = int(pending.name.rpartition(".")[2])
        present = bool(presence.digits_of(group, total).get(self.me, 0)) if group == own_group else False
        if pending.kind == SEARCH:
            if counter.search is None:
                return []
            counter.search.record(pending.second, present)
            return self.continue_search(counter, now)
        if pending.kind == READ_MARKS:
            counter.presence.record(group, total, now)
        conclusive = group == own_group and counter.search is None and pending.second in counter.marks
        if conclusive and not present:
            return self.start_search(counter, pending.second, now)
        if counter.presence.returns > counter.returns and counter.search is None:
            self.reunite(counter, now)
        if not conclusive:
            return []
        if pending.second == counter.anchor:
            counter.good_at = max(counter.good_at, pending.sent)
            counter.anchor_seen_beat = pending.beat
            counter.advance_anchor(now, self.terms.settle)
        return self.apply_corrections(counter, now) if pending.kind == CHECK else []

    def reunite(self, counter: CounterState, now: float) -> None:
        """Handles the return of an absent gateway, perhaps from the other half of a split counter."""
        counter.returns = counter.presence.returns
        counter.restoring_beat, counter.settled_at = (
            counter.beat,
            max(counter.settled_at, now + self.terms.settle),
        )
        for account in counter.accounts.values():
            account.reunite()

    def start_search(self, counter: CounterState, missing: int, now: float) -> list[Step]:
        """Handles the loss of a confirmed mark: the counter was replaced, or went back to an older state."""
        counter.losses += 1
        counter.returns = counter.presence.returns  # own corrections are lost: none is taken back
        counter.anchor = None
        counter.settled_at = now + self.terms.settle
        counter.search = Search(sorted(s for s in counter.marks if s < missing), missing)
        return [*self.drop_corrections(counter), *self.continue_search(counter, now)]

    def continue_search(self, counter: CounterState, now: float) -> list[Step]:
        """Reads the next mark of the search, or ends it."""
        search = counter.search
        assert search is not None
        if search.done:
            return self.end_search(counter, search, now)
        second = search.next_second
        search.reading = True
        return [self.read_marks(SEARCH, counter, second, group_of(self.me), now)]

    def end_search(self, counter: CounterState, search: Search, now: float) -> list[Step]:
        """Restores what this gateway has added since the moment to which the counter went back."""
        kept = search.seconds[search.low - 1] if search.low else None
        lost = [s for s in counter.marks if kept is None or s > kept]
        kept_until = -math.inf if kept is None else counter.marks[kept][0]
        lost_from = min((counter.marks[s][1] for s in lost), default=math.inf)
        was_split = counter.presence.split_since(kept_until, now)
        for account in counter.accounts.values():
            account.record_loss(kept_until, lost_from, counter.good_at, was_split)
        for second in lost:
            if second <= search.missing:  # later marks were added to the counter that was searched
                del counter.marks[second]
        counter.search = None
        counter.restoring_beat = counter.beat
        counter.good_at = now
        counter.settled_at = now + self.terms.settle
        # A mark at once, ahead of the restored sums: another loss before the next beat would go unnoticed and
        # take them along.
        return [self.add_mark(counter, int(now // BEAT), now), *self.restore_lost(counter, now)]

    def apply_corrections(self, counter: CounterState, now: float) -> list[Step]:
        """Makes the corrections that waited for a check."""
        waiting, counter.corrections = counter.corrections, []
        return [self.add_use(counter, action, now) for action in waiting]

    def drop_corrections(self, counter: CounterState) -> list[Step]:
        """Drops the waiting corrections: the module derived them from a sum that is not to be trusted."""
        waiting, counter.corrections = counter.corrections, []
        for action in waiting:
            account = counter.accounts.get(action.name)
            if account is not None:
                account.correction_pending = False
        return [dropped_result(action) for action in waiting]


def dropped_result(action: Count) -> CounterResult:
    """The outcome of a correction that was not made: its units stay with the module."""
    return CounterResult(action.name, Outcome.TURNED_AWAY, 0.0, 0.0, True, action.call)
