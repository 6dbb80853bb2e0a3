"""Rollouts of a policy to the sites: the replicated record, and the changes allowed on it. No I/O.

A run has steps of sites. A step is first announced (`told`), while gateways collect a baseline without the
policy, then put in force (`step`) at the step's sites. The holder of the duty continues if the measurements
are good, and otherwise rolls the policy back everywhere with one change. There is one run at a time.
"""

from __future__ import annotations

from typing import Any, Literal, NotRequired, TypedDict

from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked
from embersill.edge.configuration.document import (
    NO_ROLLOUTS,
    Past,
    Refusal,
    Rollouts,
    Run,
    State,
    with_next_number,
)
from embersill.edge.configuration.policy import BUILT_IN_POLICY, Policy, differences, read_policy
from embersill.edge.configuration.stages import Site, steps_of

MAX_PAST_RUNS = 16  # finished runs that are kept
DEFAULT_WATCH_S = 30.0  # that a step is watched by default
MIN_WATCH_S, MAX_WATCH_S = 2.0, 86400.0
DEFAULT_MAX_SHARE = 0.4  # of any kind of request that a step may hold, by default
OPEN = ("running", "paused", "resting")


class RolloutRequest(TypedDict):
    """An operator's request: the body of PUT /api/rollout."""

    action: Literal["start", "pause", "resume", "abort"]
    by: str
    policy: NotRequired[dict[str, Any]]
    sites: NotRequired[dict[str, Site]]
    last: NotRequired[list[str]]
    most_share: NotRequired[float]
    watch_s: NotRequired[float]
    based_on_number: NotRequired[int]  # the number of the run on which this request is based


def rollouts_of(state: State) -> Rollouts:
    """The rollouts in a state."""
    return state.get("rollouts") or NO_ROLLOUTS


def with_run(state: State, run: Run | None, **more: Any) -> State:
    """The state with this run in place of the current one, under the next number."""
    rollouts: Any = {**rollouts_of(state), "run": run, **more}
    return with_next_number({**state, "rollouts": rollouts})


def start_run(state: State, request: RolloutRequest) -> Result[State, Refusal]:
    """The state with a new run, or why it is refused."""
    rollouts = rollouts_of(state)
    policy = read_policy(request.get("policy"))
    if policy.is_error():
        return Error(Refusal(400, policy.error))
    steps = steps_of(
        request.get("sites", {}), request.get("last", []), request.get("most_share", DEFAULT_MAX_SHARE)
    )
    if steps.is_error():
        return Error(Refusal(400, steps.error))
    watch = request.get("watch_s", DEFAULT_WATCH_S)
    if not MIN_WATCH_S <= watch <= MAX_WATCH_S:
        return Error(Refusal(400, f"watch_s: not {MIN_WATCH_S:g} to {MAX_WATCH_S:g}"))
    run = rollouts["run"]
    if run is not None:
        same = run["policy"] == policy.ok and run["by"] == request["by"] and run["steps"] == steps.ok
        return (
            Ok(state)
            if same
            else Error(Refusal(412, f"policy {run['policy']['name']!r} is being rolled out"))
        )
    if not differences(rollouts["good"], policy.ok):
        return Error(Refusal(412, "the policy is in force already"))
    sites = request.get("sites", {})
    made: Run = {
        "policy": policy.ok,
        "by": request["by"],
        "steps": steps.ok,
        "watch_s": watch,
        "phase": "running",
        "places": {name: [*site.get("zones", []), *site.get("gateways", [])] for name, site in sites.items()},
        "step": -1,
        "told": -1,
        "tries": 0,
    }
    return Ok(with_run(state, made, number=rollouts["number"] + 1))


def apply_request(state: State, body: Any) -> Result[State, Refusal]:
    """The state after an operator's request, or why it is refused; the state itself if it is fulfilled."""
    read = checked(body, RolloutRequest, "rollout")
    if read.is_error():
        return Error(Refusal(400, read.error))
    request, rollouts = read.ok, rollouts_of(state)
    if "based_on_number" in request and request["based_on_number"] != rollouts["number"]:
        return Error(Refusal(412, f"number {rollouts['number']} is in place"))
    if request["action"] == "start":
        return start_run(state, request)
    run = rollouts["run"]
    if run is None:
        return Error(Refusal(404, "no policy is being rolled out"))
    if request["action"] == "abort":
        return Ok(end_run(state, run, "aborted", f"by {request['by']}"))
    if request["action"] == "pause":
        held: Run = {**run, "phase": "paused", "told": run["step"]}
        return Ok(state if run["phase"] == "paused" else with_run(state, held))
    return Ok(with_run(state, {**run, "phase": "running"}) if run["phase"] == "paused" else state)


def end_run(state: State, run: Run, how: Literal["done", "halted", "aborted"], why: str) -> State:
    """The state with the run finished: its policy is in force everywhere if done, otherwise nowhere."""
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
    return with_run(state, None, good=good, past=[*rollouts["past"], past][-MAX_PAST_RUNS:])


# changes by the holder of the duty: each returns None if it no longer applies


def run_at(state: State, number: int, phase: str, step: int, told: int) -> Run | None:
    """The current run if it has this number, phase and position; otherwise None."""
    rollouts = rollouts_of(state)
    run = rollouts["run"]
    if run is None or rollouts["number"] != number or run["phase"] != phase:
        return None
    return run if run["step"] == step and run["told"] == told else None


def announce_step(state: State, number: int, step: int) -> State | None:
    """The state with the next step announced to the gateways; None if it no longer applies."""
    run = run_at(state, number, "running", step - 1, step - 1)
    if run is None or step >= len(run["steps"]):
        return None
    return with_run(state, {**run, "told": step})


def activate_step(state: State, number: int, step: int) -> State | None:
    """The state with a step in force; None if it no longer applies."""
    run = run_at(state, number, "running", step - 1, step)
    return with_run(state, {**run, "step": step}) if run is not None else None


def complete_run(state: State, number: int) -> State | None:
    """The state with the run done after a good last step; None if it no longer applies."""
    run = rollouts_of(state)["run"]
    last = len(run["steps"]) - 1 if run is not None else -1
    run = run_at(state, number, "running", last, last)
    return end_run(state, run, "done", "") if run is not None else None


def roll_back(state: State, number: int, step: int, why: str, again: bool) -> State | None:
    """The state with the policy rolled back everywhere; with `again` the step is retried after a rest."""
    run = run_at(state, number, "running", step, step)
    if run is None:
        return None
    if again:
        before, tries = step - 1, run["tries"] + 1
        return with_run(state, {**run, "phase": "resting", "step": before, "told": before, "tries": tries})
    return end_run(state, run, "halted", why)


def resume_after_rest(state: State, number: int, step: int) -> State | None:
    """The state with the run resumed after its rest; None if it no longer applies."""
    run = run_at(state, number, "resting", step, step)
    return with_run(state, {**run, "phase": "running"}) if run is not None else None


def with_holder(state: State, before: str, holder: str) -> State | None:
    """The state with another holder of the duty; None if `before` is no longer the holder."""
    rollouts = rollouts_of(state)
    if rollouts["holder"] != before:
        return None
    return with_run(state, rollouts["run"], holder=holder)


# what gateways apply


def step_at(run: Run, zone: str, gateway: str) -> int:
    """The step to which a gateway belongs; the number of steps if it is in no site."""
    for step, names in enumerate(run["steps"]):
        if any(zone in run["places"][name] or gateway in run["places"][name] for name in names):
            return step
    return len(run["steps"])


def in_force(state: State, zone: str, gateway: str) -> Policy:
    """The policy in force at a gateway."""
    rollouts = rollouts_of(state)
    run = rollouts["run"]
    if run is not None and step_at(run, zone, gateway) <= run["step"]:
        return run["policy"]
    return rollouts["good"] or BUILT_IN_POLICY


def label(state: State) -> str:
    """Names the current stage of a run, for which gateways count together; empty without a run."""
    rollouts = rollouts_of(state)
    run = rollouts["run"]
    if run is None:
        return ""
    return stage_label(rollouts["number"], run["tries"], run["step"], run["told"])


def stage_label(number: int, tries: int, step: int, told: int) -> str:
    """The name under which requests of one stage of a run are counted."""
    return f"{number}.{tries}.{step}.{told}"
