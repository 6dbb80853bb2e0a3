"""Lapsed tenants: orders to slow one down step by step, agreed on beside the configuration. No I/O.

An order has a ladder of steps, each a share of the tenant's usual rate. A step down is *told* first, and
*bound* once the gateways have it, so that it begins everywhere at once; a restored tenant is free at once.
Every change is laid on the newest state (compare and set), so that nobody's word, and no second holder of the
duty, can skip a step or take one twice. The numbers grow; an old one never comes back.
"""

from __future__ import annotations

from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked
from embersill.edge.configuration.document import NO_LAPSES, Lapses, Order, Refusal, State, Step, raised

MOST_STEPS = 32
MOST_ORDERS = 1000
OPEN = ("waiting", "squeezing", "paused")
ACTIONS = ("start", "pause", "resume", "restore")


class Wish(TypedDict):
    """What an operator asks for: the body of PUT /api/lapses/{tenant}."""

    action: Literal["start", "pause", "resume", "restore"]
    by: str  # who ordered it
    ladder: NotRequired[list[Step]]
    usual_per_s: NotRequired[float]  # what shares are of; the tenant's quota if it is left out
    based_on_number: NotRequired[int]  # of the orders that this builds on


def lapses_of(state: State) -> Lapses:
    """The orders about lapsed tenants of a state; none where it has none."""
    return state.get("lapses") or NO_LAPSES


def laid(state: State, tenant: str, order: Order) -> State:
    """The state with this order in the place of the tenant's last one, under the next number."""
    before = lapses_of(state)
    return raised({**state, "lapses": {**before, "orders": {**before["orders"], tenant: order}}})


def unsound(wish: Wish, tenant: dict[str, Any]) -> str:
    """What is wrong with a ladder; empty if nothing is."""
    ladder = wish.get("ladder", [])
    if not 0 < len(ladder) <= MOST_STEPS:
        return f"ladder: 1 to {MOST_STEPS} steps"
    last = 1.0
    for number, step in enumerate(ladder):
        if not 0.0 <= step["share"] <= last:
            return f"ladder[{number}].share: not between 0 and the step before it"
        if step.get("lasts_s", 1.0) <= 0 or ("lasts_s" not in step and number < len(ladder) - 1):
            return f"ladder[{number}].lasts_s: how long it lasts, which only the last may leave open"
        last = step["share"]
    if wish.get("usual_per_s", 1.0) <= 0:
        return "usual_per_s: not above nought"
    if not tenant.get("rate_per_s") and "usual_per_s" not in wish:
        return "usual_per_s: the tenant has no quota that shares could be of"
    return ""


def ordered(state: State, name: str, body: Any) -> Result[State, Refusal]:
    """The state after an operator's wish, or why it is not taken; pure, as `document.changed` is.

    What is so already comes back as the state itself: a wish may be sent again.
    """
    read = checked(body, Wish, "lapse")
    if read.is_error():
        return Error(Refusal(400, read.error))
    wish, lapses = read.ok, lapses_of(state)
    order, action = lapses["orders"].get(name), wish["action"]
    if "based_on_number" in wish and wish["based_on_number"] != lapses["number"]:
        return Error(Refusal(412, f"number {lapses['number']} is in place"))
    if action == "start":
        tenant = state["document"].get("tenants", {}).get(name)
        if tenant is None:
            return Error(Refusal(404, f"no tenant {name!r}"))
        why = unsound(wish, tenant)
        if why:
            return Error(Refusal(400, f"lapse.{why}"))
        if order is not None and order["phase"] in (*OPEN, "ended"):
            same = order["ladder"] == wish.get("ladder") and order["by"] == wish["by"]
            return Ok(state) if same else Error(Refusal(412, f"an order of {order['by']} is in place"))
        if len(lapses["orders"]) >= MOST_ORDERS and name not in lapses["orders"]:
            there = {n: o for n, o in lapses["orders"].items() if o["phase"] != "restored"}  # these make way
            if len(there) >= MOST_ORDERS:
                return Error(Refusal(503, f"{MOST_ORDERS} orders are in place"))
            state = {**state, "lapses": {**lapses, "orders": there}}
        made: Order = {"ladder": wish["ladder"], "by": wish["by"], "phase": "waiting", "step": -1, "told": -1}
        if "usual_per_s" in wish:
            made["usual_per_s"] = wish["usual_per_s"]
        return Ok(laid(state, name, made))
    if order is None:
        return Error(Refusal(404, f"no order for tenant {name!r}"))
    if action == "restore":
        if order["phase"] == "restored":
            return Ok(state)
        return Ok(laid(state, name, {**order, "phase": "restored", "step": -1, "told": -1, "by": wish["by"]}))
    if order["phase"] not in OPEN:
        return Error(Refusal(412, f"it is {order['phase']}"))
    if action == "pause":
        # a step that was told and has not begun is told anew
        paused: Order = {**order, "phase": "paused", "told": order["step"]}
        return Ok(state) if order["phase"] == "paused" else Ok(laid(state, name, paused))
    resumed: Order = {**order, "phase": "squeezing" if order["step"] >= 0 else "waiting"}
    return Ok(state) if order["phase"] != "paused" else Ok(laid(state, name, resumed))


# what the holder of the duty lays


def told(state: State, tenant: str, step: int) -> State | None:
    """The next step, told; None if it is not the next one any more."""
    order = lapses_of(state)["orders"].get(tenant)
    if order is None or order["phase"] not in ("waiting", "squeezing") or step >= len(order["ladder"]):
        return None
    if order["step"] != step - 1 or order["told"] != step - 1:
        return None
    return laid(state, tenant, {**order, "told": step})


def bound(state: State, tenant: str, step: int) -> State | None:
    """The step that was told, in force from now on; None if it is not the one that was told."""
    order = lapses_of(state)["orders"].get(tenant)
    if order is None or order["phase"] not in ("waiting", "squeezing"):
        return None
    if order["told"] != step or order["step"] != step - 1:
        return None
    return laid(state, tenant, {**order, "phase": "squeezing", "step": step})


def ended(state: State, tenant: str, step: int) -> State | None:
    """The ladder's end: its last step stays in force until the tenant is restored."""
    order = lapses_of(state)["orders"].get(tenant)
    if order is None or order["phase"] != "squeezing" or order["step"] != step:
        return None
    return laid(state, tenant, {**order, "phase": "ended"})


def held(state: State, before: str, holder: str) -> State | None:
    """Another holder of the duty; None if somebody else has it by now."""
    lapses = lapses_of(state)
    if lapses["holder"] != before:
        return None
    return raised({**state, "lapses": {**lapses, "holder": holder}})


# what gateways go by


class Slowed(NamedTuple):
    """What a tenant is slowed down to: requests a second, burst, and the part of its usual that this is."""

    rate: float
    burst: float
    share: float


STOPPED = Slowed(0.0, 0.0, 0.0)


def squeezed(state: State) -> dict[str, Slowed]:
    """Tenants that a step is in force for: its rate and burst, both nought to let none pass."""
    tenants, found = state["document"].get("tenants", {}), dict[str, Slowed]()
    for name, order in lapses_of(state)["orders"].items():
        tenant = tenants.get(name)
        if tenant is None or order["step"] < 0:
            continue
        share = order["ladder"][order["step"]]["share"]
        quota = tenant.get("rate_per_s", 0.0)
        rate = order.get("usual_per_s", quota) * share
        rate = min(rate, quota) if quota > 0 else rate  # what was lowered meanwhile holds too
        usual = order.get("usual_per_s", quota)
        burst = (tenant.get("burst_size", 0.0) if quota > 0 else usual) * share
        found[name] = Slowed(rate, max(burst, 1.0), share) if rate > 0 else STOPPED
    return found
