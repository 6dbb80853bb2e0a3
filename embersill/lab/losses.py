"""`python -m embersill.lab.losses FILE...`: where a fleet's worth went, from the lines of `lab.tracing`.

One table for all gateways together: by second, what became of what was asked; by reason, class and plan, the
worth not served in time; by age and kind of backend, how long answers took and how attempts ended.
"""

from __future__ import annotations

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

LINE = re.compile(r"(?:\[?\d+\.\d+\]? )?(\d+\.\d+)\t(.*)")  # a log may put its own time ahead
AGES = (0.0, 2.0, 4.0, 8.0, 16.0)  # seconds since a backend's start, from


@dataclass
class Try:
    at: float
    klass: str
    plan: str
    units: float
    worth: float
    aim: float
    sends: list[tuple[float, str, str, float | None]] = field(default_factory=list)
    ends: list[tuple[float, str]] = field(default_factory=list)
    end: str = "open"
    ended: float = 0.0


class Fleet:
    """All that the lines of any number of gateways tell."""

    def __init__(self) -> None:
        self.classes: dict[str, list[str]] = {}
        self.plans: dict[str, list[str]] = {}
        self.tries: dict[tuple[str, int, int], Try] = {}
        self.lives: Counter[str] = Counter()
        self.others: list[tuple[float, str, list[str]]] = []

    def read(self, gateway: str, lines: Iterable[str]) -> None:
        for line in lines:
            found = LINE.match(line.rstrip("\n"))
            if found is None:
                continue
            at, (kind, *words) = float(found[1]), found[2].split("\t")
            self.step(gateway, at, kind, words)

    def step(self, gateway: str, at: float, kind: str, words: list[str]) -> None:
        if kind == "class":
            if words[0] in self.classes and words[0] == next(iter(self.classes)):
                self.lives[gateway] += 1  # a process that starts tells its classes first
            self.classes[words[0]] = words
        elif kind == "plan":
            self.plans[words[0]] = words
        elif kind == "request":
            klass, plan, units = words[1], words[2], float(words[4])
            worth = float(self.classes[klass][3]) * float(self.plans[plan][1]) * units
            self.tries[self.key(gateway, words[0])] = Try(
                at, klass, plan, units, worth, float(self.classes[klass][1])
            )
        elif kind in ("send", "ended", "refuse", "fail"):
            found = self.tries.get(self.key(gateway, words[0]))
            if found is not None:
                self.of(found, at, kind, words)
        else:
            self.others.append((at, kind, words))

    def key(self, gateway: str, number: str) -> tuple[str, int, int]:
        return gateway, self.lives[gateway], int(number)

    def of(self, found: Try, at: float, kind: str, words: list[str]) -> None:
        if kind == "send":
            age = None if words[3] == "-" else float(words[3])
            found.sends.append((at, words[1], words[2], age))
        elif kind == "ended":
            found.ends.append((at, words[3]))
            if words[3] == "SERVED" and found.end == "open":
                found.end, found.ended = "served" if at - found.at <= found.aim else "late", at
        elif found.end == "open":
            reason = words[1] if kind == "refuse" else "failed"
            if found.sends:
                last = found.ends[-1][1].lower() if found.ends else "out"
                reason = f"{kind} after {last}"
            found.end, found.ended = reason, at


def rows(fleet: Fleet) -> Iterable[str]:
    tries = list(fleet.tries.values())
    if not tries:
        return
    begin, whole = min(t.at for t in tries), sum(t.worth for t in tries)
    reasons: dict[str, float] = defaultdict(float)
    by_second: dict[int, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    by_kind: dict[tuple[str, str], dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for t in tries:
        reasons[t.end] += t.worth
        by_second[int(t.at - begin) // 2][t.end] += t.worth
        by_kind[t.klass, t.plan][t.end] += t.worth
    names = [name for name, _ in sorted(reasons.items(), key=lambda r: -r[1])[:12]]
    yield f"{len(tries)} tries, worth {whole:.0f}; percent of each row's worth by how it ended"
    yield "from   worth " + " ".join(f"{n[:16]:>16}" for n in names)
    shown = [(f"{2 * s:>4}", c) for s, c in sorted(by_second.items())]
    shown += [(f"{k} {p}", c) for (k, p), c in sorted(by_kind.items())] + [("all", reasons)]
    for name, counts in shown:
        total = sum(counts.values())
        yield f"{name:>14} {total:7.0f} " + " ".join(f"{100 * counts[n] / total:16.1f}" for n in names)
    yield from attempts(tries, begin)


def attempts(tries: list[Try], begin: float) -> Iterable[str]:
    took: dict[tuple[int, str, str], list[float]] = defaultdict(list)
    ended: dict[tuple[int, str, str], Counter[str]] = defaultdict(Counter)
    places: dict[tuple[int, str, str], set[str]] = defaultdict(set)
    for t in tries:
        for (at, backend, kind, age), (end, outcome) in zip(t.sends, t.ends, strict=False):
            grown = "warm" if age is None or age < 0 else f"{max(a for a in AGES if a <= age):g} s"
            key = int(at - begin) // 4, kind, grown
            took[key].append(end - at)
            ended[key][outcome] += 1
            places[key].add(backend)
    yield "from  kind     age     backends attempts a-s/backend   p50    p90  ended"
    for (second, kind, grown), times in sorted(took.items()):
        times.sort()
        key = second, kind, grown
        ends = ", ".join(f"{outcome} {number}" for outcome, number in ended[key].items())
        yield (
            f"{4 * second:>4}  {kind:8} {grown:8}{len(places[key]):>8}{len(times):>9}"
            f"{len(times) / 4 / len(places[key]):>10.1f} {times[len(times) // 2]:>9.2f}"
            f"{times[len(times) * 9 // 10]:>7.2f}  {ends}"
        )


def main(paths: list[str]) -> int:
    fleet = Fleet()
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            fleet.read(path, file)
    for row in rows(fleet):
        print(row)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
