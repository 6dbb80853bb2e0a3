"""The duty of taking lapsed tenants through their slow-down steps, held by one core member at a time. No I/O.

The agreed record names the holder. It announces the next step when the current one has lasted its time, waits
until all linked gateways have it, and puts it in force. It names its successor when it leaves; when it is
lost, the next member on the ring takes over the duty, which needs a majority. Each member measures by its
own monotonic clock how long a step has been in force; one that has just started measures from zero, so a
step may last longer then, but none is skipped.
"""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.configuration.document import Order, State
from embersill.edge.consensus.duty import Change, Duty
from embersill.edge.configuration.lapses import (
    activate_step,
    finish_ladder,
    with_holder,
    lapses_of,
    announce_step,
)
from embersill.edge.peers.peer_set import Hello, PeerSet

ACK_TIMEOUT_S = 1.5  # how long a step waits for linked gateways that do not acknowledge it
DUTY = "lapses"  # the duty's name on the ring


class LapseRunner:
    """Takes the steps of orders about lapsed tenants while this member holds the duty."""

    def __init__(
        self,
        me: Hello,
        peers: PeerSet,
        agreement: Agreement,
        state: Callable[[], State],
        known: Callable[[], bool],
        now: float,
    ) -> None:
        """`state`: the configuration in force here; `known`: True once all linked gateways have it."""
        self.state, self.known = state, known
        self.duty = Duty(DUTY, me, peers, agreement, lambda: lapses_of(state())["holder"], with_holder)
        self.spent: dict[str, tuple[int, float]] = {}  # by tenant: step, seconds that it was in force
        self.number, self.since = -1, 0.0  # the last seen version of the orders, and since when
        self.last_tick = now

    def tick(self, now: float) -> None:
        """Updates the time spent in steps, and proposes the next change if one is due."""
        lapses, passed = lapses_of(self.state()), max(now - self.last_tick, 0.0)
        self.last_tick = now
        if lapses["number"] != self.number:
            self.number, self.since = lapses["number"], now
        active = {n: o for n, o in lapses["orders"].items() if o["phase"] in ("waiting", "squeezing")}
        self.spent = {
            name: self.time_in_step(name, order, passed) for name, order in lapses["orders"].items()
        }
        if not active or not self.duty.may_act(now):
            return
        for name, order in active.items():
            change = self.due(name, order, now)
            if change is not None:
                return self.duty.propose(
                    change, f"lapse tenant={name} from={order['step']} told={order['told']}"
                )

    def time_in_step(self, name: str, order: Order, passed: float) -> tuple[int, float]:
        """An order's step, and the seconds for which it has been in force."""
        step, before = self.spent.get(name, (order["step"], 0.0))
        if step != order["step"]:
            return order["step"], 0.0
        return step, before + (passed if order["phase"] == "squeezing" else 0.0)

    def due(self, name: str, order: Order, now: float) -> Change | None:
        """The change to propose for this order now, if any."""
        step, ladder = order["step"], order["ladder"]
        if order["told"] > step:
            if self.known() or now - self.since >= ACK_TIMEOUT_S:
                return lambda state: activate_step(state, name, step + 1)
            return None
        lasts = 0.0 if step < 0 else ladder[step].get("lasts_s", float("inf"))
        if self.spent[name][1] < lasts:
            return None
        if step + 1 < len(ladder):
            return lambda state: announce_step(state, name, step + 1)
        return lambda state: finish_ladder(state, name, step)
