"""Changes of the agreed state before they are agreed on: what each makes of the newest state. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import expression
from expression import Error, Ok

from embersill.council.member import How
from embersill.edge.configuration import rollouts
from embersill.edge.configuration.document import Refusal, State, changed, revision, write_version
from embersill.edge.configuration.lapses import ordered
from embersill.edge.records import Value
from embersill.edge.verdict import Verdict, done, refused, unknown

Make = Callable[[State], expression.Result[State, Refusal]]  # the following state, or why there is none


def change_of(method: str, body: Any) -> Make:
    """An operator's change of the configuration."""
    return lambda state: changed(state, method, body)


def lapse_of(tenant: str, body: Any) -> Make:
    """An operator's wish about a lapsed tenant."""
    return lambda state: ordered(state, tenant, body)


def rollout_of(body: Any) -> Make:
    """An operator's wish about a policy."""
    return lambda state: rollouts.ordered(state, body)


def step_of(change: Callable[[State], State | None]) -> Make:
    """What a duty's holder has decided, if the state still wants it."""

    def made(state: State) -> expression.Result[State, Refusal]:
        after = change(state)
        return Ok(after) if after is not None else Error(Refusal(412, "it is not so any more"))

    return made


class Proposal:
    """One change, tried on each value that is found until a majority has taken one; the last try counts."""

    def __init__(self, make: Make) -> None:
        self.make = make
        self.refusal: Refusal | None = None
        self.known = False  # the state has it already

    def try_on(self, value: Value) -> Value | None:
        """What is to follow this value; None if nothing is."""
        self.refusal, self.known = None, False
        if value.next is not None:
            self.refusal = Refusal(503, "the members are changing")
            return None
        made = self.make(value.state)
        if made.is_error():
            self.refusal = made.error
            return None
        if made.ok is value.state:
            self.known = True
            return None
        return Value(made.ok)

    def verdict(self, how: How, state: State) -> Verdict:
        """What is told of it; `state`: the newest, where a majority has answered."""
        if how is How.DONE or how is How.REFUSED and self.known:
            version, number = revision(state)
            return done({"version": write_version(version), "number": number})
        if how is How.REFUSED and self.refusal is not None:
            return refused(self.refusal.status, self.refusal.why)
        if how is How.UNKNOWN:
            return unknown("no majority answers; it may be in force")
        return refused(503, "no majority answers")
