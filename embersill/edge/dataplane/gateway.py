"""The decisions of a gateway of the whole system, on top of the single gateway's in `Gateway`. No I/O.

`Gateway` does admission, attempts and answers. Added here: backends report their slots and load, quota slices
borrow from a reserve, the configuration changes at run time, and a request that no backend executed is not
charged.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from embersill.admission import Admission
from embersill.attempts import Attempts
from embersill.backends import Backends
from embersill.control import Gateway
from embersill.edge.configuration.lapses import Slowed
from embersill.edge.configuration.policy import Policy
from embersill.edge.dataplane.admission import QUEUE_WAIT_SHARE, EdgeAdmission
from embersill.edge.dataplane.attempts import EdgeAttempts
from embersill.edge.dataplane.backend_choice import REMOTE_ZONE_PENALTY_SHARE, EdgeBackends, LoadedFleet
from embersill.edge.dataplane.lingering import TIMER_KEY_PREFIX as LINGERING_KEY_PREFIX
from embersill.edge.rollout.watch import ByKind, Watch
from embersill.edge.throttling.slowdown_counts import SlowdownCounts
from embersill.interface import (
    BorrowResult,
    Configured,
    PeerLoad,
    QuotaSlice,
    QuotaWidth,
    Settings,
    TimerDue,
)


class EdgeGateway(Gateway):
    """The request decisions of one gateway of the system."""

    attempts: EdgeAttempts
    admission: EdgeAdmission
    backends: EdgeBackends

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.handlers |= {
            Configured: self.configured,
            BorrowResult: self.admission.lent,
            QuotaSlice: self.admission.sliced,
            QuotaWidth: self.divided,
            PeerLoad: self.others,
        }

    def slow(self, tenants: Mapping[str, Slowed], slowdown_counts: SlowdownCounts | None) -> None:
        """Slows down these tenants from now on; `slowdown_counts` counts requests while there are orders."""
        self.attempts.slowed_tenants, self.attempts.slowdown_counts = tenants, slowdown_counts
        self.admission.slowed_tenants = tenants  # requests queued already keep their wait bound

    def follow(self, policy: Policy, label: str) -> None:
        """Applies this policy from now on; `label`: the rollout stage to count requests under, if any."""
        self.admission.hold_share = policy.get("wait_share", QUEUE_WAIT_SHARE)
        self.backends.set_remote_zone_penalty(policy.get("far_share", REMOTE_ZONE_PENALTY_SHARE))
        if not label:
            self.attempts.rollout_watch = None
            return
        self.attempts.rollout_watch = self.attempts.rollout_watch or Watch()
        self.attempts.rollout_watch.follow(label)

    def seen(self) -> dict[str, ByKind]:
        """The counts of this gateway by rollout stage; empty if there is no rollout."""
        watch = self.attempts.rollout_watch
        if watch is None:
            return {}
        watch.record_missing(self.attempts.jobs.keys())
        return watch.stages

    def parts(self) -> tuple[Backends, Attempts, Admission]:
        """The backends, attempts and admission of this kind of gateway."""
        backends = EdgeBackends(self.turn)
        attempts = EdgeAttempts(self.turn, self.totals, backends)
        return backends, attempts, EdgeAdmission(self.turn, self.totals, attempts)

    def timer_due(self, event: TimerDue) -> None:
        """Handles a timer, here those of lingering attempts."""
        if event.key.startswith(LINGERING_KEY_PREFIX):
            return self.attempts.lingering.end(int(event.key[len(LINGERING_KEY_PREFIX) :]))
        return super().timer_due(event)

    def others(self, event: PeerLoad) -> None:
        """Takes the counts of other gateways' in-flight attempts at backends, from the zones' keepers."""
        for name, count in event.out.items():
            server = self.servers.get(name)
            if server is not None:
                server.others = count

    def slices_in_use(self, now: float) -> dict[str, float]:
        """The assigned slices that are still in use, by tenant."""
        return {name: throttle.rate for name, throttle in self.throttles.items() if throttle.read_until > now}

    def divided(self, event: QuotaWidth) -> None:
        """Takes another share of all quotas."""
        self.admission.set_quota_width(event.width)

    def configured(self, event: Configured) -> None:
        """Applies changed classes and plans; requests in progress keep their class."""
        self.turn.configure(event.settings)
        for klass in event.settings.classes:
            self.attempts.late.setdefault(klass.name, deque())
        for plan in event.settings.plans:
            for sure in (False, True):
                self.totals.granted.setdefault((plan.name, sure), float(sure))
        for fleet in self.backends.fleets.values():
            if isinstance(fleet, LoadedFleet):
                fleet.apply_settings()
        self.admission.replan()
