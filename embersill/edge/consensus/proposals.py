"""Proposed changes of the replicated state, as functions from the newest state to the next. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import expression
from expression import Error, Ok

from embersill.council.member import How
from embersill.edge.configuration import rollouts
from embersill.edge.configuration.document import Refusal, State, apply_change, revision, write_version
from embersill.edge.configuration.lapses import apply_order
from embersill.edge.records import Value
from embersill.edge.verdict import Verdict, done, refused, unknown

# from the newest state to the next one, or to why the change is refused
Transition = Callable[[State], expression.Result[State, Refusal]]


def configuration_change(method: str, body: Any) -> Transition:
    """An operator's change of the configuration, by the name of the call."""
    return lambda state: apply_change(state, method, body)


def lapse_order(tenant: str, body: Any) -> Transition:
    """An operator's order concerning a lapsed tenant."""
    return lambda state: apply_order(state, tenant, body)


def rollout_order(body: Any) -> Transition:
    """An operator's order concerning the rollout of a policy."""
    return lambda state: rollouts.apply_request(state, body)


def duty_step(change: Callable[[State], State | None]) -> Transition:
    """A step decided by the holder of a duty; refused if `change` finds that it no longer applies."""

    def made(state: State) -> expression.Result[State, Refusal]:
        after = change(state)
        return Ok(after) if after is not None else Error(Refusal(412, "the step no longer applies"))

    return made


class Proposal:
    """One change, applied anew to each value found until a majority accepts one; the last attempt counts."""

    def __init__(self, transition: Transition) -> None:
        self.transition = transition
        self.refusal: Refusal | None = None
        self.already_applied = False

    def next_value(self, value: Value) -> Value | None:
        """The value to write after this one; None if nothing is to be written."""
        self.refusal, self.already_applied = None, False
        if value.next is not None:
            self.refusal = Refusal(503, "the members are changing")
            return None
        made = self.transition(value.state)
        if made.is_error():
            self.refusal = made.error
            return None
        if made.ok is value.state:
            self.already_applied = True
            return None
        return Value(made.ok)

    def verdict(self, how: How, state: State) -> Verdict:
        """The answer to the caller; `state` is the newest one if a majority has answered."""
        if how is How.DONE or how is How.REFUSED and self.already_applied:
            version, number = revision(state)
            return done({"version": write_version(version), "number": number})
        if how is How.REFUSED and self.refusal is not None:
            return refused(self.refusal.status, self.refusal.why)
        if how is How.UNKNOWN:
            return unknown("no majority answers; it may be in force")
        return refused(503, "no majority answers")
