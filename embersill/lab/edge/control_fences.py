"""Mutation tests of the control plane: each case removes one safeguard, and a scenario must detect that.

Nothing of the product is imported here: a line is replaced before its module is loaded, in a separate process
(`embersill/world/fences.py`).
"""

from __future__ import annotations

import importlib
import subprocess
import sys
from dataclasses import dataclass
from typing import Any

from embersill.world.fences import Fence, take_out

MAX_SEEDS = 12  # seeds tried per scenario before the mutation counts as undetected
DETECTED_STATUS = 3  # exit status if the mutation was detected; 1 would be that of any crash
PROCESS_TIMEOUT_S = 300.0
CONTROL_SCENARIOS = "embersill.lab.edge.control"
RANDOM_DAY_SCENARIOS = "embersill.lab.edge.random_days"
PROCESS_CODE = "import sys; from embersill.lab.edge.control_fences import main; sys.exit(main(sys.argv[1]))"


@dataclass(frozen=True, slots=True)
class FenceCase:
    """A safeguard to remove, and the scenario that must detect its removal."""

    scenario: str
    fence: Fence
    module: str = CONTROL_SCENARIOS


REGISTRY = "embersill.edge.discovery.registry"
DISTRIBUTION = "embersill.edge.consensus.distribution"
FIRST_START_SCENARIOS = "embersill.lab.edge.first_start"
DEPARTURES, DOCUMENT = "embersill.edge.discovery.departures", "embersill.edge.configuration.document"
FOUNDING = "embersill.edge.consensus.founding"
ELECTION = "embersill.edge.consensus.election"
HANDOVER, LEASE = "embersill.edge.consensus.handover", "embersill.edge.consensus.lease"
MEMBERSHIP, NODE = "embersill.edge.consensus.membership", "embersill.edge.node"
PERSISTENCE = "embersill.edge.consensus.persistence"
CASES = (
    FenceCase(
        "restarted_alone",
        Fence(
            "vouched-start",
            NODE,
            "a member that starts without a majority serves the configuration from its disk",
            "self.backends = stored.backends\n",
            "self.backends = stored.backends\n"
            "        if stored.state is not None:\n            self.adopt(stored.state)\n",
        ),
    ),
    FenceCase(
        "cut_member",
        Fence(
            "vouched-document",
            DISTRIBUTION,
            "an isolated member serves an old configuration",
            "if self.agreement.speaks():",
            "if True:",
        ),
    ),
    FenceCase(
        "paused_member",
        Fence(
            "lease-ends",
            LEASE,
            "a lease never expires",
            "return now - self.renewed_at <= self.term",
            "return self.renewed_at > 0",
        ),
    ),
    FenceCase(
        "cut_member",
        Fence(
            "confirmed-leaving",
            DEPARTURES,
            "an isolated member confirms that a backend leaves",
            "self.confirm(confirmed)",
            "confirmed(True)",
        ),
    ),
    FenceCase(
        "cut_member",
        Fence(
            "vouched-beats",
            REGISTRY,
            "an isolated member accepts heartbeats that no other member learns of",
            "if self.speaks() else refused(503, NO_MAJORITY)",
            "if True else refused(503, NO_MAJORITY)",
        ),
    ),
    FenceCase(
        "late_resend",
        Fence(
            "known-again",
            DOCUMENT,
            "a change that was accepted long ago is refused when sent again",
            "MAX_KEPT_DIGESTS = 512",
            "MAX_KEPT_DIGESTS = 64",
            ((DOCUMENT, 'if version <= state.get("forgotten", 0):', "if False:"),),
        ),
    ),
    FenceCase(
        "racing_changes",
        Fence(
            "taken-known",
            DOCUMENT,
            "an accepted change is refused when sent again",
            'if any(taken == version and known.startswith(digest_hex) for taken, known in state["taken"]):',
            "if False:",
        ),
    ),
    FenceCase(
        "racing_changes",
        Fence(
            "one-base",
            DOCUMENT,
            "two operators' changes are both accepted on top of the same version",
            'if based_on != state["version"]:',
            "if False:",
        ),
    ),
    FenceCase(
        "second_loss",
        Fence(
            "one-step",
            MEMBERSHIP,
            "a new member is not admitted while the lost member is still in the roster",
            "if chosen is not None:",
            "if False:",
        ),
    ),
    FenceCase(
        "second_loss_of_five",
        Fence(
            "soon-replaced",
            MEMBERSHIP,
            "a lost member stays in the roster until another loss is possible",
            "REPLACE_AFTER_S = 0.5",
            "REPLACE_AFTER_S = 5.0",
        ),
    ),
    FenceCase(
        "last_copy",
        Fence(
            "last-copy",
            HANDOVER,
            "a member leaves with the only copy of the state",
            "return saved >= majority(len(self.roster.members))",
            "return True",
        ),
    ),
    FenceCase(
        "refused_epoch",
        Fence(
            "one-transaction",
            PERSISTENCE,
            "a member votes in an epoch that is not on its disk",
            "if not self.epoch_on_disk:\n            values[EPOCH_KEY]",
            "if not self.epoch_on_disk and not self.register.memory_complete:\n            values[EPOCH_KEY]",
        ),
    ),
    FenceCase(
        "previous_process_answer",
        Fence(
            "own-life",
            NODE,
            "an answer to the previous process is taken for an answer to this one",
            'if kind in ANSWERS and message["life"] != self.me.boot:',
            "if False:",
        ),
    ),
    FenceCase(
        "random_day",
        Fence(
            "disk-first",
            PERSISTENCE,
            "a member answers before its records are saved",
            "if not register.records and register.durable_mark >= register.mark:",
            "if True:",
        ),
        RANDOM_DAY_SCENARIOS,
    ),
    FenceCase(
        "founder_lost_as_elected",
        Fence(
            "vote-on-disk",
            ELECTION,
            "a seed sends a vote that is not on its disk",
            "        self.vote = vote\n",
            "        self.vote = vote\n        return on_saved()\n",
        ),
        FIRST_START_SCENARIOS,
    ),
    FenceCase(
        "founder_lost_as_elected",
        Fence(
            "accepted-roster",
            ELECTION,
            "a proposer ignores the roster that a seed has accepted",
            "ballots.proposed = ballots.latest_accepted().roster or self.roster()",
            "ballots.proposed = self.roster()",
        ),
        FIRST_START_SCENARIOS,
    ),
    FenceCase(
        "first_losses",
        Fence(
            "elected-by-majority",
            ELECTION,
            "a seed is elected by its own vote alone",
            "len(ballots.promises) < majority(len(self.seeds))",
            "len(ballots.promises) < 1",
            ((ELECTION, "len(ballots.accepted) == majority(len(self.seeds))", "len(ballots.accepted) == 1"),),
        ),
        FIRST_START_SCENARIOS,
    ),
    FenceCase(
        "founder_lost_as_elected",
        Fence(
            "recalled-by-all",
            ELECTION,
            "a seed that lost its disk votes again without asking all other seeds first",
            "if {self.ip, *ballots.promises, *ballots.blank} != set(self.seeds):",
            "if False:",
            ((FOUNDING, "linked.issuperset({*self.election.seeds} - {self.me.ip})", "linked"),),
        ),
        FIRST_START_SCENARIOS,
    ),
)
BY_NAME = {case.fence.name: case for case in CASES}


def main(name: str) -> int:
    """Applies the mutation and runs its scenario until that is detected; returns the exit status."""
    case = BY_NAME[name]
    take_out(case.fence)
    scenario: Any = getattr(importlib.import_module(case.module), case.scenario)
    for seed in range(MAX_SEEDS):
        try:
            failures = scenario(seed).failures
        except AssertionError as error:  # from the invariants checked after every step
            failures = [str(error)]
        if failures:
            sys.stdout.write(f"seed {seed}: {failures[0]}\n")
            return DETECTED_STATUS
    return 0


def detects(name: str) -> bool:
    """True if the scenario detects the missing safeguard; RuntimeError if its process fails otherwise."""
    command = [sys.executable, "-c", PROCESS_CODE, name]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=PROCESS_TIMEOUT_S, check=False)
    if ended.returncode not in (0, DETECTED_STATUS):
        raise RuntimeError(f"{name}: {ended.stdout[-500:]}{ended.stderr[-500:]}")
    return ended.returncode == DETECTED_STATUS
