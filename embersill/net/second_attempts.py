"""What is known of a request when it goes out once more: the evidence that it has not run yet."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from embersill.interface import Outcome
from embersill.net.attempt import Attempt


class Proof(Enum):
    """Why the attempts before are known not to have run."""

    NOTHING_WRITTEN = "nothing_written"
    DECLINED = "declined"
    NONE = "none"  # one of them may have run, so only a repeatable request may go out again


@dataclass(frozen=True, slots=True)
class SecondAttempt:
    """A second or later attempt of a request, as it is about to start."""

    request: bytes  # the client's id for it
    klass: str
    number: int  # 2 for the second attempt
    backend: str
    previous_backend: str
    previous_outcome: Outcome | None  # None while the attempt before is still out
    proof: Proof
    kernel_bytes: int  # of the attempt before, if it is proven not to have run; -1: the kernel did not tell
    is_contradicted: bool  # the kernel took bytes of an attempt before of which nothing counts as written


def proof_of(attempts: Sequence[Attempt]) -> Proof:
    """The proof that none of these attempts has run. That of a declined attempt needs its backend's word."""
    outcomes = [attempt.outcome for attempt in attempts]
    if any(outcome is None or not outcome.never_ran for outcome in outcomes):
        return Proof.NONE
    return Proof.DECLINED if Outcome.TURNED_AWAY in outcomes else Proof.NOTHING_WRITTEN


def second_attempt(klass: str, attempt: Attempt, before: Sequence[Attempt]) -> SecondAttempt:
    """Describes an attempt that follows others of the same request, the latest last."""
    previous = before[-1]
    unwritten = [a for a in before if a.outcome is not None and a.outcome.undelivered]
    return SecondAttempt(
        request=attempt.id,
        klass=klass,
        number=attempt.place + 1,
        backend=attempt.backend,
        previous_backend=previous.backend,
        previous_outcome=previous.outcome,
        proof=proof_of(before),
        kernel_bytes=previous.kernel_bytes,
        is_contradicted=any(a.kernel_bytes > 0 for a in unwritten),
    )
