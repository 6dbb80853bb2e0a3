"""The checker of each rule: traces that it accepts and violations that it finds."""

from __future__ import annotations

import pytest

from embersill.world.oracles import Broken, Ceiling, ClassTerms, Rules, RuleTerms, first_violation
from embersill.world.records import (
    AttemptFinished,
    BackendNotified,
    BackendStarted,
    CreditsBelieved,
    Fault,
    Record,
    RequestAnswered,
    RequestDropped,
    RequestReceived,
    SharesHeld,
    Written,
)

TERMS = RuleTerms(
    classes={"read": ClassTerms("safe"), "order": ClassTerms("once"), "save": ClassTerms("by key", 1.0)},
    ceilings={"pro": Ceiling(2.0, 4.0, 1.0)},
    max_attempts=3,
)


def received(klass: str = "read", number: int = 1, units: float = 1.0, at: float = 0.0) -> RequestReceived:
    return RequestReceived(at, number, klass, "pro", "pro1", units, "f", at + 5.0)


def written(at: float, attempt: int = 0, number: int = 1, group: str = "0", backend: str = "b") -> Written:
    return Written(at, number, attempt, backend, group, ("f", "p"))


def finished(at: float, attempt: int = 0, never_ran: bool = False) -> AttemptFinished:
    return AttemptFinished(at, 1, attempt, "", never_ran)


def answered(at: float, how: str = "served") -> RequestAnswered:
    return RequestAnswered(at, 1, how)


VALID: list[list[Record]] = [
    [received(), written(0.1), finished(0.2), answered(0.2)],
    [received(), RequestDropped(0.1, 1)],  # the front was killed
    [
        received("order"),
        written(0.1),
        finished(0.2, never_ran=True),
        written(0.3, 1),
        finished(0.4, 1),
        answered(0.4),
    ],
    [received("save"), written(0.1), finished(0.2), written(1.0, 1), finished(1.1, 1), answered(1.1)],
    [received("order"), written(0.1), finished(0.2), answered(0.2, "failed")],
    [received(), BackendNotified(0.0, "p", "b", False), written(0.5), finished(0.6), answered(0.6)],
    [received(), Fault(1.0, "pause", "f", 6.0), answered(7.0)],  # a paused front can't answer
    [SharesHeld(0.0, 0, (("f", ("p0",)), ("g", ("p1",))))],
    [
        received(units=4.0),
        written(0.1),
        finished(0.2),
        answered(0.2),
        CreditsBelieved(1.0, "pro1", (("p0", 1.5), ("p1", -9.0))),
    ],
]
VIOLATIONS: list[tuple[str, list[Record]]] = [
    ("one answer", [received()]),
    ("one answer", [received(), answered(0.1), answered(0.2)]),
    ("one answer", [answered(0.1)]),
    ("one answer", [received(), answered(5.1)]),
    ("no second effect", [received("order"), written(0.1), finished(0.2), written(0.3, 1)]),
    ("no second effect", [received(), written(0.1), written(0.2, 1)]),
    ("no second effect", [received(), written(0.1), finished(0.2), written(0.3, 0)]),
    ("no second effect", [written(0.1)]),
    ("no second effect", [received("save"), written(0.1), finished(0.2), written(0.3, 1, group="1")]),
    ("no second effect", [received("save"), written(0.1), finished(0.2), written(1.2, 1)]),
    (
        "no second effect",
        [
            received(),
            *(record for n in range(4) for record in (written(0.1 + n, n), finished(0.2 + n, n, True))),
        ],
    ),
    ("honest refusals", [received("order"), written(0.1), finished(0.2), answered(0.3, "refused")]),
    ("drains kept", [received(), BackendNotified(0.0, "p", "b", False), written(0.6)]),
    (
        "drains kept",
        [
            received(),
            BackendNotified(0.0, "p", "b", False),
            BackendNotified(0.4, "p", "b", False),
            written(0.6),
        ],
    ),
    (
        "ceilings kept",
        [received(units=4.0), written(0.1), received(number=2, units=2.0), written(0.2, number=2)],
    ),
    ("one holder", [SharesHeld(0.0, 0, (("f", ("p0", "p1")),))]),
    (
        "credits conserved",
        [
            received(units=4.0),
            written(0.1),
            finished(0.2),
            answered(0.2),
            CreditsBelieved(1.0, "pro1", (("p0", 1.5), ("p1", 1.5))),
        ],
    ),
]


def rules() -> Rules:
    return Rules(TERMS, lambda customer: "pro")


@pytest.mark.parametrize("records", VALID)
def test_valid_traces_pass(records: list[Record]) -> None:
    assert first_violation(records, rules()) is None


@pytest.mark.parametrize(("rule", "records"), VIOLATIONS)
def test_violations_are_found(rule: str, records: list[Record]) -> None:
    violation = first_violation(records, rules())
    assert violation is not None and violation.rule == rule


def test_a_backend_may_be_used_again_after_its_drain_ended() -> None:
    assert (
        first_violation(
            [
                received(),
                BackendNotified(0.0, "p", "b", False),
                BackendNotified(0.4, "p", "b", True),
                written(0.9),
                finished(1.0),
                answered(1.0),
            ],
            rules(),
        )
        is None
    )


def test_a_warm_backends_load_on_a_cold_one_is_found() -> None:
    """Capacity 10 per s, 0.19 of it at first: three times the capacity over 3 s, about 20, overload it."""

    def records_of(interval_s: float) -> list[Record]:
        records: list[Record] = [BackendStarted(0.0, "b", 10.0)]
        for number in range(1, int(4.0 / interval_s)):
            at = number * interval_s
            records += [
                received(number=number, units=0.0, at=at),
                written(at, number=number),
                RequestAnswered(at, number, "served"),
            ]
        return records

    assert first_violation(records_of(0.2), rules()) is None
    violation = first_violation(records_of(0.05), rules())
    assert violation is not None and violation.rule == "cold backends kept"


def test_a_violation_names_rule_time_and_cause() -> None:
    with pytest.raises(
        Broken, match=r"one holder, at 1.000 s: the share of f in part 3 is used by p0 and p1"
    ):
        rules().check(SharesHeld(1.0, 3, (("f", ("p0", "p1")),)))
