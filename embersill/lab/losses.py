"""`python -m embersill.lab.losses FILE...`: how a fleet lost worth, from the log of `lab.tracing`.

One table for all gateways together: by time, class and plan, the outcomes of requests weighted by worth; by
age and kind of backend, how long answers took and how sends ended.
"""

from __future__ import annotations

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

LINE_PATTERN = re.compile(r"(?:\[?\d+\.\d+\]? )?(\d+\.\d+)\t(.*)")  # a log may prefix its own time
AGE_BOUNDS_S = (0.0, 2.0, 4.0, 8.0, 16.0)  # lower bounds of the age groups of backends


@dataclass
class Attempt:
    """One request, its sends, and its outcome."""

    at: float
    klass: str
    plan: str
    units: float
    worth: float
    target_latency_s: float
    sends: list[tuple[float, str, str, float | None]] = field(default_factory=list)
    ends: list[tuple[float, str]] = field(default_factory=list)
    outcome: str = "open"
    ended_at: float = 0.0


class TraceReader:
    """Reads the trace lines of any number of gateways."""

    def __init__(self) -> None:
        self.classes: dict[str, list[str]] = {}
        self.plans: dict[str, list[str]] = {}
        self.attempts: dict[tuple[str, int, int], Attempt] = {}
        self.process_starts: Counter[str] = Counter()
        self.other_events: list[tuple[float, str, list[str]]] = []

    def read(self, gateway: str, lines: Iterable[str]) -> None:
        """Reads the lines of one gateway."""
        for line in lines:
            match = LINE_PATTERN.match(line.rstrip("\n"))
            if match is None:
                continue
            at, (kind, *fields) = float(match[1]), match[2].split("\t")
            self.read_event(gateway, at, kind, fields)

    def read_event(self, gateway: str, at: float, kind: str, fields: list[str]) -> None:
        """Processes one event."""
        if kind == "class":
            if fields[0] in self.classes and fields[0] == next(iter(self.classes)):
                self.process_starts[gateway] += 1  # a starting process writes its classes first
            self.classes[fields[0]] = fields
        elif kind == "plan":
            self.plans[fields[0]] = fields
        elif kind == "request":
            klass, plan, units = fields[1], fields[2], float(fields[4])
            worth = float(self.classes[klass][3]) * float(self.plans[plan][1]) * units
            self.attempts[self.key(gateway, fields[0])] = Attempt(
                at, klass, plan, units, worth, float(self.classes[klass][1])
            )
        elif kind in ("send", "ended", "refuse", "fail"):
            attempt = self.attempts.get(self.key(gateway, fields[0]))
            if attempt is not None:
                self.update_attempt(attempt, at, kind, fields)
        else:
            self.other_events.append((at, kind, fields))

    def key(self, gateway: str, number: str) -> tuple[str, int, int]:
        """Identifies a request: its gateway, the process's number of starts, its id."""
        return gateway, self.process_starts[gateway], int(number)

    def update_attempt(self, attempt: Attempt, at: float, kind: str, fields: list[str]) -> None:
        """Records a send or an end of a request."""
        if kind == "send":
            age = None if fields[3] == "-" else float(fields[3])
            attempt.sends.append((at, fields[1], fields[2], age))
        elif kind == "ended":
            attempt.ends.append((at, fields[3]))
            if fields[3] == "SERVED" and attempt.outcome == "open":
                attempt.outcome, attempt.ended_at = (
                    "served" if at - attempt.at <= attempt.target_latency_s else "late",
                    at,
                )
        elif attempt.outcome == "open":
            reason = fields[1] if kind == "refuse" else "failed"
            if attempt.sends:
                last = attempt.ends[-1][1].lower() if attempt.ends else "out"
                reason = f"{kind} after {last}"
            attempt.outcome, attempt.ended_at = reason, at


def rows(reader: TraceReader) -> Iterable[str]:
    """The lines of the report."""
    attempts = list(reader.attempts.values())
    if not attempts:
        return
    start, total_worth = min(attempt.at for attempt in attempts), sum(attempt.worth for attempt in attempts)
    reasons: dict[str, float] = defaultdict(float)
    by_second: dict[int, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    by_kind: dict[tuple[str, str], dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for attempt in attempts:
        reasons[attempt.outcome] += attempt.worth
        by_second[int(attempt.at - start) // 2][attempt.outcome] += attempt.worth
        by_kind[attempt.klass, attempt.plan][attempt.outcome] += attempt.worth
    names = [name for name, _ in sorted(reasons.items(), key=lambda r: -r[1])[:12]]
    yield f"{len(attempts)} tries, worth {total_worth:.0f}; percent of each row's worth by how it ended"
    yield "from   worth " + " ".join(f"{n[:16]:>16}" for n in names)
    groups = [(f"{2 * s:>4}", c) for s, c in sorted(by_second.items())]
    groups += [(f"{k} {p}", c) for (k, p), c in sorted(by_kind.items())] + [("all", reasons)]
    for name, counts in groups:
        total = sum(counts.values())
        yield f"{name:>14} {total:7.0f} " + " ".join(f"{100 * counts[n] / total:16.1f}" for n in names)
    yield from send_rows(attempts, start)


def send_rows(attempts: list[Attempt], start: float) -> Iterable[str]:
    """The lines about sends, by time, kind and age of backend."""
    durations: dict[tuple[int, str, str], list[float]] = defaultdict(list)
    outcomes: dict[tuple[int, str, str], Counter[str]] = defaultdict(Counter)
    backends: dict[tuple[int, str, str], set[str]] = defaultdict(set)
    for attempt in attempts:
        for (at, backend, kind, age), (end, outcome) in zip(attempt.sends, attempt.ends, strict=False):
            age_group = (
                "warm" if age is None or age < 0 else f"{max(a for a in AGE_BOUNDS_S if a <= age):g} s"
            )
            key = int(at - start) // 4, kind, age_group
            durations[key].append(end - at)
            outcomes[key][outcome] += 1
            backends[key].add(backend)
    yield "from  kind     age     backends attempts a-s/backend   p50    p90  ended"
    for (second, kind, age_group), times in sorted(durations.items()):
        times.sort()
        key = second, kind, age_group
        ends = ", ".join(f"{outcome} {number}" for outcome, number in outcomes[key].items())
        yield (
            f"{4 * second:>4}  {kind:8} {age_group:8}{len(backends[key]):>8}{len(times):>9}"
            f"{len(times) / 4 / len(backends[key]):>10.1f} {times[len(times) // 2]:>9.2f}"
            f"{times[len(times) * 9 // 10]:>7.2f}  {ends}"
        )


def main(paths: list[str]) -> int:
    """Reads trace files and prints the report."""
    reader = TraceReader()
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            reader.read(path, file)
    for row in rows(reader):
        print(row)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
