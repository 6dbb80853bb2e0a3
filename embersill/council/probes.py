"""Probes of suspected backends for the whole fleet, and what planners make of the verdicts. No I/O.

Each planner alone finds a bad backend out by requests that fail, and finds out that it is back by more of
them: what all do adds up. Here planners tell the owner of the office `probes` whom they suspect; it probes
within a budget that is the fleet's, and publishes verdicts with their age. They are advice: a planner leaves
a backend out while it hears that it can't be used, for `FRESH` at most, and never more than a part of all it
knows (`MOST_OUT`): where nearly all look bad it is the owner that is ill, or the probe. With no owner, or
none that is heard, each goes on by its own experience as before.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

OFFICE = "probes"
FAILURES = 3  # of the last attempts at a planner, in a row, that make a backend suspected
SUSPECTED_FOR = 10.0  # seconds for which that is told after the last failure
PROBE_WITHIN = 0.5  # seconds for a probe to be answered
TO_CONDEMN = 2  # failed probes in a row until a backend is said to be unusable
TO_ACQUIT = 2  # answered ones until it is said to be usable again
FORGET = 60.0  # seconds after which one that is fine and no longer suspected is forgotten
FRESH = 3.0  # seconds for which a verdict holds without a newer one
MOST_OUT = 1 / 3  # of all backends that a planner leaves out on such advice
PUBLISH_EVERY = 0.5  # seconds
MOST_BACKENDS = 1024  # that are suspected, or have verdicts


class ProbeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[council.probes]."""

    per_second: float = 4.0  # of the whole fleet, however many processes and backends there are
    path: str = ""  # asked for with GET, any answer below 500 will do; empty: a connection is enough


class Suspicions:
    """What one planner tells the owner."""

    def __init__(self) -> None:
        self.failed: OrderedDict[str, tuple[int, float]] = OrderedDict()  # in a row, and when last

    def ended(self, backend: str, well: bool, now: float, gone: bool = False) -> None:
        """An attempt at a backend has ended, well or by the backend's own fault.

        `gone`: nobody answers there, which needs no second failure to be suspected.
        """
        if well:
            self.failed.pop(backend, None)
            return
        count, _ = self.failed.pop(backend, (0, 0.0))
        self.failed[backend] = FAILURES if gone else count + 1, now
        if len(self.failed) > MOST_BACKENDS:
            self.failed.popitem(last=False)

    def suspected(self, now: float) -> list[str]:
        return [backend for backend, (count, last) in self.failed.items()
                if count >= FAILURES and now - last <= SUSPECTED_FOR]


@dataclass(slots=True)
class Case:
    """One backend that is watched by the owner."""

    suspected_at: float
    probed_at: float = float("-inf")
    turn: int = 0  # the number of its last probe
    bad: int = 0  # probes that failed, in a row
    good: int = 0
    out: bool = False  # the verdict: it can't be used
    asked: bool = False  # a probe is under way


class Prober:
    """The owner's part. Whoever has the sockets makes the probes of `due` and brings back what came."""

    def __init__(self, settings: ProbeSettings) -> None:
        self.settings = settings
        self.cases: dict[str, Case] = {}
        self.tokens, self.filled_at = 1.0, 0.0
        self.published_at = float("-inf")
        self.counts = {"probes": 0, "condemned": 0, "acquitted": 0}

    def reset(self) -> None:
        """Another owns it: verdicts are its own to find."""
        self.cases.clear()

    def suspect(self, backends: Iterable[str], now: float) -> None:
        for backend in backends:
            case = self.cases.get(backend)
            if case is not None:
                case.suspected_at = now
            elif len(self.cases) < MOST_BACKENDS:
                self.cases[backend] = Case(now)

    def due(self, now: float) -> list[str]:
        """Whom to probe now, the longest unprobed first: as many as the fleet's budget has."""
        burst = max(1.0, self.settings.per_second * PUBLISH_EVERY)
        self.tokens = min(burst, self.tokens + self.settings.per_second * max(now - self.filled_at, 0.0))
        self.filled_at = now
        for name in [n for n, c in self.cases.items()
                     if not c.out and not c.asked and now - c.suspected_at > FORGET]:
            del self.cases[name]
        waiting = sorted((c.turn, n) for n, c in self.cases.items() if not c.asked and (
            c.out or c.bad or now - c.suspected_at <= SUSPECTED_FOR))
        found: list[str] = []
        for _, name in waiting:
            if self.tokens < 1.0:
                break
            self.tokens -= 1.0
            self.counts["probes"] += 1
            case = self.cases[name]
            case.asked, case.probed_at, case.turn = True, now, self.counts["probes"]
            found.append(name)
        return found

    def probed(self, backend: str, well: bool) -> None:
        case = self.cases.get(backend)
        if case is None:
            return
        case.asked = False
        case.bad, case.good = (0, case.good + 1) if well else (case.bad + 1, 0)
        if case.bad >= TO_CONDEMN and not case.out:
            case.out = True
            self.counts["condemned"] += 1
        elif case.good >= TO_ACQUIT and case.out:
            case.out = False
            self.counts["acquitted"] += 1

    def gone(self, backend: str) -> None:
        """Discovery no longer names it."""
        self.cases.pop(backend, None)

    def verdicts(self, now: float) -> list[tuple[str, bool, float]] | None:
        """What to publish now; None while it is not time."""
        if now - self.published_at < PUBLISH_EVERY:
            return None
        self.published_at = now
        return [(name, not case.out, max(now - case.probed_at, 0.0))
                for name, case in self.cases.items() if case.probed_at > float("-inf")]


class Advice:
    """What one planner makes of the verdicts that it takes."""

    def __init__(self) -> None:
        self.out_until: dict[str, float] = {}
        self.out: set[str] = set()  # left out now
        self.counts = {"left_out": 0, "too_many": 0}

    def take(self, verdicts: Iterable[tuple[str, bool, float]], now: float) -> None:
        for backend, usable, age in verdicts:
            if usable:
                self.out_until.pop(backend, None)
            elif age < FRESH and (backend in self.out_until or len(self.out_until) < MOST_BACKENDS):
                self.out_until[backend] = now + FRESH - age

    def changes(self, known: Mapping[str, bool], now: float) -> list[tuple[str, bool]]:
        """What is to be left out (True) and what not any more; `known`: all backends that could serve."""
        for backend in [b for b, until in self.out_until.items() if now >= until]:
            del self.out_until[backend]
        wanted = {backend for backend in self.out_until if known.get(backend)}
        if len(wanted) > MOST_OUT * len(known):
            self.counts["too_many"] += 1
            wanted = set()
        changes = [(backend, True) for backend in sorted(wanted - self.out)]
        changes += [(backend, False) for backend in sorted(self.out - wanted)]
        self.counts["left_out"] += len(wanted - self.out)
        self.out = wanted
        return changes
