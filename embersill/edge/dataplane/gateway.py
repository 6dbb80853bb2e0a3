"""The decisions of a gateway of the system: those of the program in service, where backends tell their load.

Admission, attempts and answers are `Gateway`'s. What is added: backends tell their slots and load, slices
borrow from a reserve, the configuration changes, and a request that no backend ran is not charged. No I/O.
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
from embersill.edge.dataplane.admission import HELD_PART, EdgeAdmission
from embersill.edge.dataplane.attempts import EdgeAttempts
from embersill.edge.dataplane.backend_choice import FAR, EdgeBackends, LoadedFleet
from embersill.edge.dataplane.lingering import TIMER as LINGERING
from embersill.edge.rollout.watch import ByKind, Watch
from embersill.edge.throttling.figures import Figures
from embersill.interface import Configured, Lent, Others, Settings, Sliced, TimerDue


class EdgeGateway(Gateway):
    """Decides for one gateway of the system."""

    attempts: EdgeAttempts
    admission: EdgeAdmission
    backends: EdgeBackends

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.handlers |= {
            Configured: self.configured,
            Lent: self.admission.lent,
            Sliced: self.admission.sliced,
            Others: self.others,
        }

    def slow(self, tenants: Mapping[str, Slowed], figures: Figures | None) -> None:
        """These tenants are slowed down from now on; `figures` counts requests where there are orders."""
        self.attempts.squeezed, self.attempts.figures = tenants, figures
        self.admission.squeezed = tenants  # what they hold already keeps the bound it came with

    def follow(self, policy: Policy, label: str) -> None:
        """Decides by this policy from now on; `label`: the stretch of a run in which requests are counted."""
        self.admission.hold_share = policy.get("wait_share", HELD_PART)
        self.backends.set_far(policy.get("far_share", FAR))
        if not label:
            self.attempts.observed = None
            return
        self.attempts.observed = self.attempts.observed or Watch()
        self.attempts.observed.follow(label)

    def seen(self) -> dict[str, ByKind]:
        """What was counted here, by stretch, while a policy is on its way."""
        watch = self.attempts.observed
        if watch is None:
            return {}
        watch.look_for_missing(self.attempts.jobs.keys())
        return watch.stretches

    def parts(self) -> tuple[Backends, Attempts, Admission]:
        """The parts of the decisions, with those of this gateway in place of the usual ones."""
        backends = EdgeBackends(self.turn)
        attempts = EdgeAttempts(self.turn, self.totals, backends)
        return backends, attempts, EdgeAdmission(self.turn, self.totals, attempts)

    def timer_due(self, event: TimerDue) -> None:
        """A timer of the decisions is due."""
        if event.key.startswith(LINGERING):
            return self.attempts.lingering.end(int(event.key[len(LINGERING) :]))
        return super().timer_due(event)

    def others(self, event: Others) -> None:
        """What other gateways have out at backends, by their keepers."""
        for name, count in event.out.items():
            server = self.servers.get(name)
            if server is not None:
                server.others = count

    def configured(self, event: Configured) -> None:
        """Takes over classes and plans; what is under way keeps its class."""
        self.turn.configure(event.settings)
        for klass in event.settings.classes:
            self.attempts.late.setdefault(klass.name, deque())
        for plan in event.settings.plans:
            for sure in (False, True):
                self.totals.granted.setdefault((plan.name, sure), float(sure))
        for fleet in self.backends.fleets.values():
            if isinstance(fleet, LoadedFleet):
                fleet.resettle()
        self.admission.replan()
