"""Logs and counts each request that goes out once more, with the evidence that it has not run yet."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

from embersill.interface import Repeats, RequestClass
from embersill.net.second_attempts import Proof, SecondAttempt

log = logging.getLogger("embersill.edge")


class SecondAttemptLog:
    """Writes a line for each second attempt: those of repeatable requests at level debug, others at info."""

    def __init__(self, classes: Callable[[], tuple[RequestClass, ...]]) -> None:
        """`classes`: the request classes of the configuration in force."""
        self.classes = classes
        self.counts: Counter[Proof] = Counter()  # of all second attempts, by proof
        self.contradicted = 0  # of these, ones whose proof the kernel contradicts

    def note(self, second: SecondAttempt) -> None:
        """Counts and logs a second attempt that is about to start."""
        self.counts[second.proof] += 1
        self.contradicted += second.is_contradicted
        repeatable = self.is_repeatable(second.klass)
        level = logging.DEBUG if repeatable else logging.INFO
        if second.is_contradicted or (second.proof is Proof.NONE and not repeatable):
            level = logging.ERROR
        previous = second.previous_outcome
        log.log(
            level,
            "second attempt request=%s class=%s repeatable=%s number=%d backend=%s previous_backend=%s "
            "previous_outcome=%s proof=%s kernel_bytes=%d",
            second.request.decode("latin-1").replace(" ", "_"),
            second.klass.replace(" ", "_"),
            "yes" if repeatable else "no",
            second.number,
            second.backend.replace(" ", "_"),
            second.previous_backend.replace(" ", "_"),
            previous.value.replace(" ", "_") if previous is not None else "still_out",
            second.proof.value,
            second.kernel_bytes,
        )

    def is_repeatable(self, klass: str) -> bool:
        """True if requests of a class may run more than once."""
        return any(c.name == klass and c.repeats is Repeats.SAFE for c in self.classes())

    def lines(self) -> list[str]:
        """The metrics, one per line."""
        name = "embersill_second_attempts"
        lines = [f'{name}_total{{proof="{proof.value}"}} {self.counts[proof]}' for proof in Proof]
        return [*lines, f"{name}_contradicted_total {self.contradicted}"]
