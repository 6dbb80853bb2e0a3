"""Orders to slow a lapsed tenant down step by step, replicated beside the configuration. No I/O.

An order has a ladder of steps, each a share of the tenant's usual rate. A step down is first announced
(`told`), and takes effect (`step`) once the gateways have it, so that it begins everywhere at once; restoring
a tenant takes effect at once. Every change is applied to the newest state (compare and set), so that neither
an operator nor a second holder of the duty can skip a step or take one twice. Numbers only increase.
"""

from __future__ import annotations

from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked
from embersill.edge.configuration.document import (
    NO_LAPSES,
    Lapses,
    Order,
    Refusal,
    State,
    Step,
    with_next_number,
)

MAX_STEPS = 32
MAX_ORDERS = 1000
OPEN_PHASES = ("waiting", "squeezing", "paused")
ACTIONS = ("start", "pause", "resume", "restore")


class OrderRequest(TypedDict):
    """An operator's request: the body of PUT /api/lapses/{tenant}."""

    action: Literal["start", "pause", "resume", "restore"]
    by: str  # the operator
    ladder: NotRequired[list[Step]]
    usual_per_s: NotRequired[float]  # the rate that shares refer to; the tenant's quota by default
    based_on_number: NotRequired[int]  # the number of the orders on which this request is based


def lapses_of(state: State) -> Lapses:
    """The orders about lapsed tenants in a state."""
    return state.get("lapses") or NO_LAPSES


def with_order(state: State, tenant: str, order: Order) -> State:
    """The state with the tenant's order replaced, under the next number."""
    before = lapses_of(state)
    return with_next_number({**state, "lapses": {**before, "orders": {**before["orders"], tenant: order}}})


def ladder_error(request: OrderRequest, tenant: dict[str, Any]) -> str:
    """The first error in a ladder; empty if it is valid."""
    ladder = request.get("ladder", [])
    if not 0 < len(ladder) <= MAX_STEPS:
        return f"ladder: 1 to {MAX_STEPS} steps"
    last = 1.0
    for number, step in enumerate(ladder):
        if not 0.0 <= step["share"] <= last:
            return f"ladder[{number}].share: not between 0 and the step before it"
        if step.get("lasts_s", 1.0) <= 0 or ("lasts_s" not in step and number < len(ladder) - 1):
            return f"ladder[{number}].lasts_s: not above 0, or left out before the last step"
        last = step["share"]
    if request.get("usual_per_s", 1.0) <= 0:
        return "usual_per_s: not above 0"
    if not tenant.get("rate_per_s") and "usual_per_s" not in request:
        return "usual_per_s: required, because the tenant has no quota"
    return ""


def apply_order(state: State, name: str, body: Any) -> Result[State, Refusal]:
    """The state after an operator's request, or why it is refused; pure, as `document.apply_change` is.

    A request that is fulfilled already returns the state itself, so that requests may be repeated.
    """
    read = checked(body, OrderRequest, "lapse")
    if read.is_error():
        return Error(Refusal(400, read.error))
    request, lapses = read.ok, lapses_of(state)
    order, action = lapses["orders"].get(name), request["action"]
    if "based_on_number" in request and request["based_on_number"] != lapses["number"]:
        return Error(Refusal(412, f"number {lapses['number']} is in place"))
    if action == "start":
        tenant = state["document"].get("tenants", {}).get(name)
        if tenant is None:
            return Error(Refusal(404, f"no tenant {name!r}"))
        why = ladder_error(request, tenant)
        if why:
            return Error(Refusal(400, f"lapse.{why}"))
        if order is not None and order["phase"] in (*OPEN_PHASES, "ended"):
            same = order["ladder"] == request.get("ladder") and order["by"] == request["by"]
            return Ok(state) if same else Error(Refusal(412, f"an order of {order['by']} is in place"))
        if len(lapses["orders"]) >= MAX_ORDERS and name not in lapses["orders"]:
            kept_orders = {
                n: o for n, o in lapses["orders"].items() if o["phase"] != "restored"
            }  # restored ones are dropped
            if len(kept_orders) >= MAX_ORDERS:
                return Error(Refusal(503, f"{MAX_ORDERS} orders are in place"))
            state = {**state, "lapses": {**lapses, "orders": kept_orders}}
        made: Order = {
            "ladder": request["ladder"],
            "by": request["by"],
            "phase": "waiting",
            "step": -1,
            "told": -1,
        }
        if "usual_per_s" in request:
            made["usual_per_s"] = request["usual_per_s"]
        return Ok(with_order(state, name, made))
    if order is None:
        return Error(Refusal(404, f"no order for tenant {name!r}"))
    if action == "restore":
        if order["phase"] == "restored":
            return Ok(state)
        return Ok(
            with_order(
                state, name, {**order, "phase": "restored", "step": -1, "told": -1, "by": request["by"]}
            )
        )
    if order["phase"] not in OPEN_PHASES:
        return Error(Refusal(412, f"it is {order['phase']}"))
    if action == "pause":
        # a step that was announced and has not begun is announced again on resume
        paused: Order = {**order, "phase": "paused", "told": order["step"]}
        return Ok(state) if order["phase"] == "paused" else Ok(with_order(state, name, paused))
    resumed: Order = {**order, "phase": "squeezing" if order["step"] >= 0 else "waiting"}
    return Ok(state) if order["phase"] != "paused" else Ok(with_order(state, name, resumed))


# changes by the holder of the duty


def announce_step(state: State, tenant: str, step: int) -> State | None:
    """The state with the next step announced; None if it is no longer the next one."""
    order = lapses_of(state)["orders"].get(tenant)
    if order is None or order["phase"] not in ("waiting", "squeezing") or step >= len(order["ladder"]):
        return None
    if order["step"] != step - 1 or order["told"] != step - 1:
        return None
    return with_order(state, tenant, {**order, "told": step})


def activate_step(state: State, tenant: str, step: int) -> State | None:
    """The state with the announced step in force; None if another step was announced."""
    order = lapses_of(state)["orders"].get(tenant)
    if order is None or order["phase"] not in ("waiting", "squeezing"):
        return None
    if order["told"] != step or order["step"] != step - 1:
        return None
    return with_order(state, tenant, {**order, "phase": "squeezing", "step": step})


def finish_ladder(state: State, tenant: str, step: int) -> State | None:
    """The state with the ladder finished; its last step stays in force until the tenant is restored."""
    order = lapses_of(state)["orders"].get(tenant)
    if order is None or order["phase"] != "squeezing" or order["step"] != step:
        return None
    return with_order(state, tenant, {**order, "phase": "ended"})


def with_holder(state: State, before: str, holder: str) -> State | None:
    """The state with another holder of the duty; None if `before` is no longer the holder."""
    lapses = lapses_of(state)
    if lapses["holder"] != before:
        return None
    return with_next_number({**state, "lapses": {**lapses, "holder": holder}})


# what gateways apply


class Slowed(NamedTuple):
    """A slowed tenant's limits: requests per second, burst, and the share of its usual rate."""

    rate: float
    burst: float
    share: float


STOPPED = Slowed(0.0, 0.0, 0.0)


def slowed_tenants(state: State) -> dict[str, Slowed]:
    """The limits of tenants for which a step is in force; a rate and burst of 0 let none pass."""
    tenants, found = state["document"].get("tenants", {}), dict[str, Slowed]()
    for name, order in lapses_of(state)["orders"].items():
        tenant = tenants.get(name)
        if tenant is None or order["step"] < 0:
            continue
        share = order["ladder"][order["step"]]["share"]
        quota = tenant.get("rate_per_s", 0.0)
        rate = order.get("usual_per_s", quota) * share
        rate = min(rate, quota) if quota > 0 else rate  # a quota that was lowered meanwhile applies too
        usual = order.get("usual_per_s", quota)
        burst = (tenant.get("burst_size", 0.0) if quota > 0 else usual) * share
        found[name] = Slowed(rate, max(burst, 1.0), share) if rate > 0 else STOPPED
    return found
