"""The figures of one process, counted where each thing happens. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

PASSED, DROPPED, FAILED = "passed", "dropped", "bad_gateway"


class Figures:
    """Requests by class and how they ended: served, refused, failed. What a client abandoned is in none."""

    def __init__(self, classes: Iterable[str]) -> None:
        names = list(classes)
        self.ended = {end: dict.fromkeys(names, 0) for end in (PASSED, DROPPED, FAILED)}

    def count(self, klass: str, status: int) -> None:
        """One final answer of a request that was taken."""
        end = PASSED if status == 200 else DROPPED if status in (429, 503) else FAILED
        counts = self.ended[end]
        counts[klass] = counts.get(klass, 0) + 1

    def text(self, tries: int, in_progress: int, known: int, skipped: int) -> str:
        """All figures, one `gateway.NAME=NUMBER` a line."""
        lines = [
            f"gateway.{end}.{klass}={n}" for end, counts in self.ended.items() for klass, n in counts.items()
        ]
        lines += [
            f"gateway.upstream_tries={tries}",
            f"gateway.in_progress={in_progress}",
            f"gateway.known_backends={known}",
            f"gateway.skipped_backends={skipped}",
        ]
        return "\n".join(lines) + "\n"
