"""Policies: tunable settings of the gateways' decisions, as one validated document. No I/O.

A policy is separate from the configuration of the protocol's page, which is in force everywhere at once.
It is rolled out to the sites step by step (`rollouts`, `rollout_runner`). Settings that it leaves out keep
their built-in values.
"""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

from expression import Error, Ok, Result

from embersill.edge.configuration.check import checked

MAX_NAME_CHARS = 100


class Policy(TypedDict):
    """Settings of the gateways' decisions that are rolled out to the sites in steps."""

    name: str
    wait_share: NotRequired[float]  # share of its target latency that a request may wait for a token
    far_share: NotRequired[float]  # share of the target latency by which a remote backend must be sooner
    most_attempts: NotRequired[int]  # attempts of one request, where its route allows more
    budget_share: NotRequired[float]  # share of the retry budget that is used
    advice_s: NotRequired[float]  # longest retry delay that a refused client is given


RANGES: dict[str, tuple[float, float]] = {
    "wait_share": (0.0, 0.5),
    "far_share": (0.0, 2.0),
    "most_attempts": (1, 10),
    "budget_share": (0.0, 1.0),
    "advice_s": (0.05, 5.0),
}
BUILT_IN_POLICY: Policy = {"name": "as built"}


def read_policy(loaded: Any, where: str = "policy") -> Result[Policy, str]:
    """A valid policy, or an error that names the wrong entry. Unknown entries are errors."""
    read = checked(loaded, Policy, where)
    if read.is_error():
        return read
    unknown = sorted(set(loaded) - set(read.ok))
    if unknown:
        return Error(f"{where}.{unknown[0]}: no such entry")
    if not 0 < len(read.ok["name"]) <= MAX_NAME_CHARS:
        return Error(f"{where}.name: not 1 to {MAX_NAME_CHARS} characters")
    entries: dict[str, Any] = {**read.ok}
    for name, (low, high) in RANGES.items():
        if name in entries and not low <= entries[name] <= high:
            return Error(f"{where}.{name}: not {low:g} to {high:g}")
    return Ok(read.ok)


def differences(before: Policy, after: Policy) -> dict[str, tuple[Any, Any]]:
    """The old and new value of each changed entry; None stands for the built-in value."""
    old: dict[str, Any] = {**before}
    new: dict[str, Any] = {**after}
    return {name: (old.get(name), new.get(name)) for name in RANGES if old.get(name) != new.get(name)}
