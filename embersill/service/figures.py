"""Request counters of one process, for the operators' stats call. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

PASSED, DROPPED, FAILED = "passed", "dropped", "bad_gateway"


class Figures:
    """Requests by class and result: served, refused or failed. Abandoned requests are not counted."""

    def __init__(self, classes: Iterable[str]) -> None:
        names = list(classes)
        self.ended = {end: dict.fromkeys(names, 0) for end in (PASSED, DROPPED, FAILED)}

    def count(self, klass: str, status: int) -> None:
        """Counts the final response to an accepted request."""
        end = PASSED if status == 200 else DROPPED if status in (429, 503) else FAILED
        counts = self.ended[end]
        counts[klass] = counts.get(klass, 0) + 1

    def text(self, tries: int, in_progress: int, known: int, skipped: int) -> str:
        """All counters, one `gateway.NAME=NUMBER` a line."""
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
