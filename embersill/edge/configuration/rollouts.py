"""A policy on its way down the sites: the agreed record, and what may be laid on it. No I/O.

A run has steps of sites. A step is *told* first, while gateways count how things are without it, then
*bound*: the policy is in force at the step's sites from then on. Whoever has the duty goes on when what is
seen is good, and takes the policy back everywhere with one change when it is not. One run at a time.
"""

from __future__ import annotations

from typing import Any, Literal, NotRequired, TypedDict

from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked
from embersill.edge.configuration.document import NO_ROLLOUTS, Past, Refusal, Rollouts, Run, State, raised
from embersill.edge.configuration.policy import AS_BUILT, Policy, differences, read_policy
from embersill.edge.configuration.stages import Site, steps_of

MOST_PAST = 16  # runs that are over and still told of
WATCH_S = 30.0  # seconds that a step is watched, where nothing else is said
LEAST_WATCH_S, MOST_WATCH_S = 2.0, 86400.0
MOST_SHARE = 0.4  # of any kind of request that a step may hold, where nothing else is said
OPEN = ("running", "paused", "resting")


class Wish(TypedDict):
    """What an operator asks for: the body of PUT /api/rollout."""

    action: Literal["start", "pause", "resume", "abort"]
    by: str
    policy: NotRequired[dict[str, Any]]
    sites: NotRequired[dict[str, Site]]
    last: NotRequired[list[str]]
    most_share: NotRequired[float]
    watch_s: NotRequired[float]
    based_on_number: NotRequired[int]  # of the runs that this builds on


def rollouts_of(state: State) -> Rollouts:
    """The roll-outs of a state; none where it has none."""
    return state.get("rollouts") or NO_ROLLOUTS


def with_run(state: State, run: Run | None, **more: Any) -> State:
    """The state with this run, under the next number."""
    rollouts: Any = {**rollouts_of(state), "run": run, **more}
    return raised({**state, "rollouts": rollouts})


def begun(state: State, wish: Wish) -> Result[State, Refusal]:
    """The state with a new run, or why there can be none."""
    rollouts = rollouts_of(state)
    policy = read_policy(wish.get("policy"))
    if policy.is_error():
        return Error(Refusal(400, policy.error))
    steps = steps_of(wish.get("sites", {}), wish.get("last", []), wish.get("most_share", MOST_SHARE))
    if steps.is_error():
        return Error(Refusal(400, steps.error))
    watch = wish.get("watch_s", WATCH_S)
    if not LEAST_WATCH_S <= watch <= MOST_WATCH_S:
        return Error(Refusal(400, f"watch_s: not {LEAST_WATCH_S:g} to {MOST_WATCH_S:g}"))
    run = rollouts["run"]
    if run is not None:
        same = run["policy"] == policy.ok and run["by"] == wish["by"] and run["steps"] == steps.ok
        return Ok(state) if same else Error(Refusal(412, f"policy {run['policy']['name']!r} is on its way"))
    if not differences(rollouts["good"], policy.ok):
        return Error(Refusal(412, "it is in force already"))
    sites = wish.get("sites", {})
    made: Run = {
        "policy": policy.ok,
        "by": wish["by"],
        "steps": steps.ok,
        "watch_s": watch,
        "phase": "running",
        "places": {name: [*site.get("zones", []), *site.get("gateways", [])] for name, site in sites.items()},
        "step": -1,
        "told": -1,
        "tries": 0,
    }
    return Ok(with_run(state, made, number=rollouts["number"] + 1))


def ordered(state: State, body: Any) -> Result[State, Refusal]:
    """The state after an operator's wish, or why it is not taken; what is so already is the state itself."""
    read = checked(body, Wish, "rollout")
    if read.is_error():
        return Error(Refusal(400, read.error))
    wish, rollouts = read.ok, rollouts_of(state)
    if "based_on_number" in wish and wish["based_on_number"] != rollouts["number"]:
        return Error(Refusal(412, f"number {rollouts['number']} is in place"))
    if wish["action"] == "start":
        return begun(state, wish)
    run = rollouts["run"]
    if run is None:
        return Error(Refusal(404, "no policy is on its way"))
    if wish["action"] == "abort":
        return Ok(ended(state, run, "aborted", f"by {wish['by']}"))
    if wish["action"] == "pause":
        held: Run = {**run, "phase": "paused", "told": run["step"]}
        return Ok(state if run["phase"] == "paused" else with_run(state, held))
    return Ok(with_run(state, {**run, "phase": "running"}) if run["phase"] == "paused" else state)


def ended(state: State, run: Run, how: Literal["done", "halted", "aborted"], why: str) -> State:
    """The run is over: its policy is the good one from now on, or it is in force nowhere."""
    rollouts = rollouts_of(state)
    past: Past = {
        "number": rollouts["number"],
        "policy": run["policy"],
        "by": run["by"],
        "how": how,
        "why": why,
        "step": run["step"],
        "steps": len(run["steps"]),
    }
    good = run["policy"] if how == "done" else rollouts["good"]
    return with_run(state, None, good=good, past=[*rollouts["past"], past][-MOST_PAST:])


# what the holder of the duty lays: each None where it is not so any more


def current(state: State, number: int, phase: str, step: int, told: int) -> Run | None:
    """The run, if it is that one and stands just there."""
    rollouts = rollouts_of(state)
    run = rollouts["run"]
    if run is None or rollouts["number"] != number or run["phase"] != phase:
        return None
    return run if run["step"] == step and run["told"] == told else None


def told(state: State, number: int, step: int) -> State | None:
    """The state with the next step told to the gateways; None if it is not wanted any more."""
    run = current(state, number, "running", step - 1, step - 1)
    if run is None or step >= len(run["steps"]):
        return None
    return with_run(state, {**run, "told": step})


def bound(state: State, number: int, step: int) -> State | None:
    """The state with a step in force; None if it is not wanted any more."""
    run = current(state, number, "running", step - 1, step)
    return with_run(state, {**run, "step": step}) if run is not None else None


def passed(state: State, number: int) -> State | None:
    """The last step was good: the policy is the good one."""
    run = rollouts_of(state)["run"]
    last = len(run["steps"]) - 1 if run is not None else -1
    run = current(state, number, "running", last, last)
    return ended(state, run, "done", "") if run is not None else None


def harmed(state: State, number: int, step: int, why: str, again: bool) -> State | None:
    """Back everywhere; with `again` the same step is tried once more after a rest."""
    run = current(state, number, "running", step, step)
    if run is None:
        return None
    if again:
        before, tries = step - 1, run["tries"] + 1
        return with_run(state, {**run, "phase": "resting", "step": before, "told": before, "tries": tries})
    return ended(state, run, "halted", why)


def rested(state: State, number: int, step: int) -> State | None:
    """The state with a run that goes on after its rest; None if it is not wanted any more."""
    run = current(state, number, "resting", step, step)
    return with_run(state, {**run, "phase": "running"}) if run is not None else None


def held(state: State, before: str, holder: str) -> State | None:
    """Another holder of the duty; None if somebody else has it by now."""
    rollouts = rollouts_of(state)
    if rollouts["holder"] != before:
        return None
    return with_run(state, rollouts["run"], holder=holder)


# what gateways go by


def step_at(run: Run, zone: str, gateway: str) -> int:
    """The step that a gateway belongs to; beyond all where no site has it."""
    for step, names in enumerate(run["steps"]):
        if any(zone in run["places"][name] or gateway in run["places"][name] for name in names):
            return step
    return len(run["steps"])


def in_force(state: State, zone: str, gateway: str) -> Policy:
    """The policy by which a gateway decides."""
    rollouts = rollouts_of(state)
    run = rollouts["run"]
    if run is not None and step_at(run, zone, gateway) <= run["step"]:
        return run["policy"]
    return rollouts["good"] or AS_BUILT


def label(state: State) -> str:
    """Names the stretch of a run in which gateways count together; empty while there is no run."""
    rollouts = rollouts_of(state)
    run = rollouts["run"]
    if run is None:
        return ""
    return stretch(rollouts["number"], run["tries"], run["step"], run["told"])


def stretch(number: int, tries: int, step: int, told: int) -> str:
    """Under which name requests are counted."""
    return f"{number}.{tries}.{step}.{told}"
