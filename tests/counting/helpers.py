"""A keeper beside a plain counter: calls are carried out at once, or as a test wants it."""

from __future__ import annotations

from embersill.counting.keeper import Call, Keeper, Step
from embersill.counting.terms import Terms
from embersill.interface import Count, CounterResult, Outcome
from embersill.totals import EPOCH

A, B = "127.0.0.1:9001", "127.0.0.1:9002"
BEGIN = 6000.0  # an epoch's first second


class Store:
    """Sums by name, at one address."""

    def __init__(self) -> None:
        self.names: dict[str, float] = {}

    def add(self, name: str, amount: float) -> float:
        self.names[name] = self.names.get(name, 0.0) + amount
        return float(f"{self.names[name]:.7g}")


class Bench:
    """One gateway's keeper, and the counters it calls; `how` is what becomes of calls now."""

    def __init__(
        self,
        me: int = 0,
        gateways: int = 1,
        stores: dict[str, Store] | None = None,
        places: tuple[str, ...] = (A,),
        terms: Terms | None = None,
    ) -> None:
        self.keeper = Keeper(terms or Terms(), me, gateways, places)
        self.stores = stores if stores is not None else {A: Store(), B: Store()}
        self.how = Outcome.SERVED
        self.now = BEGIN + 1.0
        self.told: list[CounterResult] = []
        self.calls: list[Call] = []
        self.held: list[Call] = []
        self.crowded = ""  # names that begin so are turned away
        self.hold = self.adds = False  # calls stay out; a call that times out is added all the same

    def perform(self, steps: list[Step]) -> None:
        for step in steps:
            if isinstance(step, CounterResult):
                self.told.append(step)
                continue
            self.calls.append(step)
            if self.hold:
                self.held.append(step)
            else:
                self.carry(step)

    def carry(self, call: Call) -> None:
        total = 0.0
        if self.crowded and call.name.startswith(self.crowded):
            return self.perform(self.keeper.answered(call.id, Outcome.TURNED_AWAY, 0.001, 0.0, self.now))
        if self.how is Outcome.SERVED or self.adds:
            total = self.stores[call.place].add(call.name, call.amount)
        return self.perform(self.keeper.answered(call.id, self.how, 0.001, total, self.now))

    def beat(self, times: int = 1) -> None:
        for _ in range(times):
            self.perform(self.keeper.beat(self.now))
            self.now += 1.0

    def name(self, customer: str = "c") -> str:
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
        """The module's call; what it was told of it, if it was told at once."""
        before, width = len(self.told), width or self.keeper.gateways
        action = Count(
            self.name(customer), units + corrects, EPOCH, first, width, rate, running, corrects, number
        )
        self.perform(self.keeper.count(action, self.now))
        return self.told[-1] if len(self.told) > before else None

    def sum(self, customer: str = "c", place: str = A) -> float:
        return self.stores[place].names.get(self.name(customer), 0.0)


def together(*benches: Bench, times: int = 1) -> None:
    """Beats of several gateways, in turn."""
    for _ in range(times):
        for bench in benches:
            bench.beat()
