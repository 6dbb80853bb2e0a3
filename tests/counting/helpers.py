"""A keeper with counters in memory, whose calls are carried out at once or as a test chooses."""

from __future__ import annotations

from embersill.counting.keeper import Call, Keeper, Step
from embersill.counting.terms import Terms
from embersill.interface import Count, CounterResult, Outcome
from embersill.totals import EPOCH

A, B = "127.0.0.1:9001", "127.0.0.1:9002"
EPOCH_START_S = 6000.0  # start of an epoch


class CounterStore:
    """The sums of one counter, by name."""

    def __init__(self) -> None:
        self.names: dict[str, float] = {}

    def add(self, name: str, amount: float) -> float:
        """Adds to a name; returns its total, to seven digits as a counter does."""
        self.names[name] = self.names.get(name, 0.0) + amount
        return float(f"{self.names[name]:.7g}")


class KeeperHarness:
    """One gateway's keeper, and the counters it calls; `outcome` is how calls end now."""

    def __init__(
        self,
        me: int = 0,
        gateways: int = 1,
        stores: dict[str, CounterStore] | None = None,
        places: tuple[str, ...] = (A,),
        terms: Terms | None = None,
    ) -> None:
        self.keeper = Keeper(terms or Terms(), me, gateways, places)
        self.stores = stores if stores is not None else {A: CounterStore(), B: CounterStore()}
        self.outcome = Outcome.SERVED
        self.now = EPOCH_START_S + 1.0
        self.results: list[CounterResult] = []
        self.calls: list[Call] = []
        self.held_calls: list[Call] = []
        self.rejected_prefix = ""  # calls for names that start with it are turned away
        # whether calls stay in flight; whether the amount of a call that times out is added
        self.hold = self.adds_on_timeout = False

    def perform(self, steps: list[Step]) -> None:
        """Carries out calls, and keeps results."""
        for step in steps:
            if isinstance(step, CounterResult):
                self.results.append(step)
                continue
            self.calls.append(step)
            if self.hold:
                self.held_calls.append(step)
            else:
                self.carry_out(step)

    def carry_out(self, call: Call) -> None:
        """Ends a call with the present outcome."""
        total = 0.0
        if self.rejected_prefix and call.name.startswith(self.rejected_prefix):
            return self.perform(self.keeper.answered(call.id, Outcome.TURNED_AWAY, 0.001, 0.0, self.now))
        if self.outcome is Outcome.SERVED or self.adds_on_timeout:
            total = self.stores[call.place].add(call.name, call.amount)
        return self.perform(self.keeper.answered(call.id, self.outcome, 0.001, total, self.now))

    def beat(self, times: int = 1) -> None:
        """Runs beats, a second apart."""
        for _ in range(times):
            self.perform(self.keeper.beat(self.now))
            self.now += 1.0

    def name(self, customer: str = "c") -> str:
        """A customer's name in the present epoch."""
        return f"{customer}.{int(self.now // EPOCH)}"

    def count(
        self,
        units: float,
        customer: str = "c",
        corrects: float = 0.0,
        first: int = 0,
        width: int = 0,
        rate: float = 4.0,
        running: bool = True,
        number: int = 1,
    ) -> CounterResult | None:
        """A count by the module; its result, if there is one at once."""
        before, width = len(self.results), width or self.keeper.gateways
        action = Count(
            self.name(customer), units + corrects, EPOCH, first, width, rate, running, corrects, number
        )
        self.perform(self.keeper.count(action, self.now))
        return self.results[-1] if len(self.results) > before else None

    def sum(self, customer: str = "c", place: str = A) -> float:
        """A customer's sum at a counter."""
        return self.stores[place].names.get(self.name(customer), 0.0)


def beat_together(*harnesses: KeeperHarness, times: int = 1) -> None:
    """Runs beats of several gateways, in turn."""
    for _ in range(times):
        for harness in harnesses:
            harness.beat()
