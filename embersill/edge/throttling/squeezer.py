"""The duty of taking lapsed tenants down their ladders: one member of the core has it, by the agreed record.

The holder tells the next step when the last one has had its time, waits until all linked gateways have it,
and binds it. It names its successor as it leaves; when it is lost, the next by the ring takes the duty, which
takes a majority. Each counts by its own steady clock how long a step has been in force; one that has just
started begins anew: a step may last longer then, and is never skipped. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.configuration.document import Order, State
from embersill.edge.consensus.duty import Change, Duty
from embersill.edge.configuration.lapses import bound, ended, held, lapses_of, told
from embersill.edge.peers.peer_set import Hello, PeerSet

HEARD_WITHIN = 1.5  # seconds that a step waits for gateways that are linked and do not say that they have it
DUTY = "lapses"  # its name on the ring


class Squeezer:
    """The duty of taking the steps of orders about lapsed tenants."""

    def __init__(
        self,
        me: Hello,
        peers: PeerSet,
        agreement: Agreement,
        state: Callable[[], State],
        known: Callable[[], bool],
        now: float,
    ) -> None:
        """`state`: what is in force here. `known`: True once all linked gateways have it."""
        self.state, self.known = state, known
        self.duty = Duty(DUTY, me, peers, agreement, lambda: lapses_of(state())["holder"], held)
        self.spent: dict[str, tuple[int, float]] = {}  # by tenant: step, and how long it was in force here
        self.number, self.since = -1, 0.0  # of the orders as seen last, and since when
        self.looked = now

    def tick(self, now: float) -> None:
        """What is due by now."""
        lapses, passed = lapses_of(self.state()), max(now - self.looked, 0.0)
        self.looked = now
        if lapses["number"] != self.number:
            self.number, self.since = lapses["number"], now
        at_work = {n: o for n, o in lapses["orders"].items() if o["phase"] in ("waiting", "squeezing")}
        self.spent = {name: self.counted(name, order, passed) for name, order in lapses["orders"].items()}
        if not at_work or not self.duty.may_act(now):
            return
        for name, order in at_work.items():
            change = self.due(name, order, now)
            if change is not None:
                return self.duty.propose(
                    change, f"lapse tenant={name} from={order['step']} told={order['told']}"
                )

    def counted(self, name: str, order: Order, passed: float) -> tuple[int, float]:
        """The step of an order, and for how long it has been in force."""
        step, before = self.spent.get(name, (order["step"], 0.0))
        if step != order["step"]:
            return order["step"], 0.0
        return step, before + (passed if order["phase"] == "squeezing" else 0.0)

    def due(self, name: str, order: Order, now: float) -> Change | None:
        """What is to be laid for this order now."""
        step, ladder = order["step"], order["ladder"]
        if order["told"] > step:
            if self.known() or now - self.since >= HEARD_WITHIN:
                return lambda state: bound(state, name, step + 1)
            return None
        lasts = 0.0 if step < 0 else ladder[step].get("lasts_s", float("inf"))
        if self.spent[name][1] < lasts:
            return None
        if step + 1 < len(ladder):
            return lambda state: told(state, name, step + 1)
        return lambda state: ended(state, name, step)
