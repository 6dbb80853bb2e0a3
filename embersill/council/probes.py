"""Fleet-wide health probes of suspected backends, and how planners use the verdicts. No I/O.

On its own, each planner detects a bad backend by failing requests, and its recovery by more of them, and that
adds up over all planners. Instead, planners report suspected backends to the owner of the office `probes`. It
probes them within a budget for the whole fleet, and publishes verdicts with their age. Verdicts are advice: a
planner excludes a backend while verdicts say that it is unusable, for at most `VERDICT_TTL_S` after the last
one, and never more than a share of all backends it knows (`MAX_EXCLUDED_SHARE`): if nearly all look bad, the
owner or the probe is at fault. Without an owner, or without contact to it, each planner goes by its own
experience as before.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

OFFICE = "probes"
SUSPECT_AFTER_FAILURES = 3  # failed attempts of one planner in a row
SUSPICION_S = 10.0  # after the last failure, for which a suspicion is reported
PROBE_TIMEOUT_S = 0.5
FAILURES_TO_CONDEMN = 2  # failed probes in a row until a backend's verdict is unusable
SUCCESSES_TO_ACQUIT = 2  # successful probes in a row until it is usable again
FORGET_AFTER_S = 60.0  # after the last suspicion, for a usable backend
VERDICT_TTL_S = 3.0  # for which a verdict is valid without a newer one
MAX_EXCLUDED_SHARE = 1 / 3  # of all backends, that a planner excludes by verdicts
PUBLISH_INTERVAL_S = 0.5
MAX_BACKENDS = 1024  # suspected, or with verdicts


class ProbeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The [council.probes] table."""

    per_second: float = 4.0  # for the whole fleet, regardless of the numbers of processes and backends
    path: str = ""  # requested with GET, any status below 500 is a success; empty: a connection suffices


class Suspicions:
    """The backends that one planner suspects."""

    def __init__(self) -> None:
        self.failed: OrderedDict[str, tuple[int, float]] = (
            OrderedDict()
        )  # failures in a row, and the last one's time

    def note_outcome(self, backend: str, healthy: bool, now: float, unreachable: bool = False) -> None:
        """Notes that an attempt at a backend has succeeded, or failed through the backend's fault.

        `unreachable`: no connection was possible, which makes the backend suspected at once.
        """
        if healthy:
            self.failed.pop(backend, None)
            return
        count, _ = self.failed.pop(backend, (0, 0.0))
        self.failed[backend] = SUSPECT_AFTER_FAILURES if unreachable else count + 1, now
        if len(self.failed) > MAX_BACKENDS:
            self.failed.popitem(last=False)

    def suspected(self, now: float) -> list[str]:
        """The backends to report as suspected."""
        return [
            backend
            for backend, (count, last) in self.failed.items()
            if count >= SUSPECT_AFTER_FAILURES and now - last <= SUSPICION_S
        ]


@dataclass(slots=True)
class BackendState:
    """One backend that the owner probes."""

    suspected_at: float
    probed_at: float = float("-inf")
    probe_number: int = 0  # of its last probe
    failures: int = 0  # failed probes in a row
    successes: int = 0  # successful probes in a row
    unusable: bool = False  # the verdict
    in_flight: bool = False  # a probe is pending


class Prober:
    """The owner's part. The caller makes the probes that `due` returns, and passes in their results."""

    def __init__(self, settings: ProbeSettings) -> None:
        self.settings = settings
        self.backends: dict[str, BackendState] = {}
        self.tokens, self.filled_at = 1.0, 0.0
        self.published_at = float("-inf")
        self.counts = {"probes": 0, "condemned": 0, "acquitted": 0}

    def reset(self) -> None:
        """Forgets all backends: a new owner reaches its own verdicts."""
        self.backends.clear()

    def suspect(self, backends: Iterable[str], now: float) -> None:
        """Takes a planner's report of suspected backends."""
        for backend in backends:
            state = self.backends.get(backend)
            if state is not None:
                state.suspected_at = now
            elif len(self.backends) < MAX_BACKENDS:
                self.backends[backend] = BackendState(now)

    def due(self, now: float) -> list[str]:
        """The backends to probe now, longest unprobed first, within the fleet's budget."""
        burst = max(1.0, self.settings.per_second * PUBLISH_INTERVAL_S)
        self.tokens = min(burst, self.tokens + self.settings.per_second * max(now - self.filled_at, 0.0))
        self.filled_at = now
        for name in [
            n
            for n, c in self.backends.items()
            if not c.unusable and not c.in_flight and now - c.suspected_at > FORGET_AFTER_S
        ]:
            del self.backends[name]
        waiting = sorted(
            (c.probe_number, n)
            for n, c in self.backends.items()
            if not c.in_flight and (c.unusable or c.failures or now - c.suspected_at <= SUSPICION_S)
        )
        found: list[str] = []
        for _, name in waiting:
            if self.tokens < 1.0:
                break
            self.tokens -= 1.0
            self.counts["probes"] += 1
            state = self.backends[name]
            state.in_flight, state.probed_at, state.probe_number = True, now, self.counts["probes"]
            found.append(name)
        return found

    def on_probe_result(self, backend: str, healthy: bool) -> None:
        """Processes the result of a probe."""
        state = self.backends.get(backend)
        if state is None:
            return
        state.in_flight = False
        state.failures, state.successes = (0, state.successes + 1) if healthy else (state.failures + 1, 0)
        if state.failures >= FAILURES_TO_CONDEMN and not state.unusable:
            state.unusable = True
            self.counts["condemned"] += 1
        elif state.successes >= SUCCESSES_TO_ACQUIT and state.unusable:
            state.unusable = False
            self.counts["acquitted"] += 1

    def forget(self, backend: str) -> None:
        """Forgets a backend that discovery no longer lists."""
        self.backends.pop(backend, None)

    def verdicts(self, now: float) -> list[tuple[str, bool, float]] | None:
        """The verdicts to publish now; None if it is not time yet."""
        if now - self.published_at < PUBLISH_INTERVAL_S:
            return None
        self.published_at = now
        return [
            (name, not state.unusable, max(now - state.probed_at, 0.0))
            for name, state in self.backends.items()
            if state.probed_at > float("-inf")
        ]


class Advice:
    """The backends that one planner excludes because of verdicts."""

    def __init__(self) -> None:
        self.excluded_until: dict[str, float] = {}
        self.excluded: set[str] = set()  # now
        self.counts = {"left_out": 0, "too_many": 0}

    def update(self, verdicts: Iterable[tuple[str, bool, float]], now: float) -> None:
        """Takes published verdicts: backend, whether it is usable, age."""
        for backend, usable, age in verdicts:
            if usable:
                self.excluded_until.pop(backend, None)
            elif age < VERDICT_TTL_S and (
                backend in self.excluded_until or len(self.excluded_until) < MAX_BACKENDS
            ):
                self.excluded_until[backend] = now + VERDICT_TTL_S - age

    def changes(self, known: Mapping[str, bool], now: float) -> list[tuple[str, bool]]:
        """The backends to exclude (True) and to include again (False); `known`: all available backends."""
        for backend in [b for b, until in self.excluded_until.items() if now >= until]:
            del self.excluded_until[backend]
        wanted = {backend for backend in self.excluded_until if known.get(backend)}
        if len(wanted) > MAX_EXCLUDED_SHARE * len(known):
            self.counts["too_many"] += 1
            wanted = set()
        changes = [(backend, True) for backend in sorted(wanted - self.excluded)]
        changes += [(backend, False) for backend in sorted(self.excluded - wanted)]
        self.counts["left_out"] += len(wanted - self.excluded)
        self.excluded = wanted
        return changes
