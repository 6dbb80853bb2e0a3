"""Policies: what operators may change of how gateways decide, as one checked document. No I/O.

The configuration of the protocol's page stays what it is, and is in force everywhere at once. A policy is
carried down the sites a step at a time (`rollouts`, `roller`). What it leaves out stays as it was built.
"""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked

MOST_NAME = 100


class Policy(TypedDict):
    """Settings of the decisions that are carried down the sites in steps."""

    name: str
    wait_share: NotRequired[float]  # of its aim, that a request may wait for a token
    far_share: NotRequired[float]  # of the aim that a backend of another zone has to be sooner by
    most_attempts: NotRequired[int]  # of one try, where its route allows more
    budget_share: NotRequired[float]  # of the budget of further attempts, that is used
    advice_s: NotRequired[float]  # the longest time to come back that a refused client is told


RANGES: dict[str, tuple[float, float]] = {
    "wait_share": (0.0, 0.5),
    "far_share": (0.0, 2.0),
    "most_attempts": (1, 10),
    "budget_share": (0.0, 1.0),
    "advice_s": (0.05, 5.0),
}
AS_BUILT: Policy = {"name": "as built"}


def read_policy(loaded: Any, where: str = "policy") -> Result[Policy, str]:
    """A policy that may be put in force, or what is wrong with it, with its place. Nothing unknown passes."""
    read = checked(loaded, Policy, where)
    if read.is_error():
        return read
    unknown = sorted(set(loaded) - set(read.ok))
    if unknown:
        return Error(f"{where}.{unknown[0]}: no such entry")
    if not 0 < len(read.ok["name"]) <= MOST_NAME:
        return Error(f"{where}.name: not 1 to {MOST_NAME} characters")
    entries: dict[str, Any] = {**read.ok}
    for name, (least, most) in RANGES.items():
        if name in entries and not least <= entries[name] <= most:
            return Error(f"{where}.{name}: not {least:g} to {most:g}")
    return Ok(read.ok)


def differences(before: Policy, after: Policy) -> dict[str, tuple[Any, Any]]:
    """By entry, what it was and what it is to be; None: as it was built."""
    old: dict[str, Any] = {**before}
    new: dict[str, Any] = {**after}
    return {name: (old.get(name), new.get(name)) for name in RANGES if old.get(name) != new.get(name)}
