"""Lines that keep the control plane safe: without any of them a scenario of its worst days finds it.

Nothing of the product is imported here: a line is taken out before its module is loaded, in a process of its
own (`embersill/world/fences.py`).
"""

from __future__ import annotations

import importlib
import subprocess
import sys
from dataclasses import dataclass
from typing import Any

from embersill.world.fences import Fence, take_out

SEEDS = 12  # that a scenario is played with until it finds something
FOUND = 3  # exit status of a process that found it; 1 would be that of any crash
WITHIN = 300.0  # seconds for one process
SCENARIOS = "embersill.lab.edge.control"
DAYS = "embersill.lab.edge.worst_days"
PLAY = "import sys; from embersill.lab.edge.control_fences import main; sys.exit(main(sys.argv[1]))"


@dataclass(frozen=True, slots=True)
class Guarded:
    """A fence, and the scenario that finds that it is gone."""

    scenario: str
    fence: Fence
    module: str = SCENARIOS


CELL = "embersill.edge.discovery.registry"
DISTRIBUTION = "embersill.edge.consensus.distribution"
FIRST_START = "embersill.lab.edge.first_start"
DEPARTURES, DOCUMENT = "embersill.edge.discovery.departures", "embersill.edge.configuration.document"
FOUNDING = "embersill.edge.consensus.founding"
ELECTION = "embersill.edge.consensus.election"
HANDOVER, LEASE = "embersill.edge.consensus.handover", "embersill.edge.consensus.lease"
MEMBERSHIP, NODE = "embersill.edge.consensus.membership", "embersill.edge.node"
PERSISTENCE = "embersill.edge.consensus.persistence"
GUARDED = (
    Guarded(
        "restarted_alone",
        Fence(
            "vouched-start",
            NODE,
            "a member that starts alone serves what its disk has",
            "self.backends = stored.backends\n",
            "self.backends = stored.backends\n"
            "        if stored.state is not None:\n            self.adopt(stored.state)\n",
        ),
    ),
    Guarded(
        "cut_member",
        Fence(
            "vouched-document",
            DISTRIBUTION,
            "a member that is cut off hands out an old configuration",
            "if self.agreement.speaks():",
            "if True:",
        ),
    ),
    Guarded(
        "paused_member",
        Fence(
            "lease-ends",
            LEASE,
            "what was vouched for once is vouched for ever",
            "return now - self.renewed_at <= self.term",
            "return self.renewed_at > 0",
        ),
    ),
    Guarded(
        "cut_member",
        Fence(
            "confirmed-leaving",
            DEPARTURES,
            "a member that is cut off confirms that a backend leaves",
            "self.confirm(confirmed)",
            "confirmed(True)",
        ),
    ),
    Guarded(
        "cut_member",
        Fence(
            "vouched-beats",
            CELL,
            "a member that is cut off keeps backends to itself",
            "if self.speaks() else refused(503, NO_MAJORITY)",
            "if True else refused(503, NO_MAJORITY)",
        ),
    ),
    Guarded(
        "late_resend",
        Fence(
            "known-again",
            DOCUMENT,
            "an order that was taken long ago is refused",
            "MAX_KEPT_DIGESTS = 512",
            "MAX_KEPT_DIGESTS = 64",
            ((DOCUMENT, 'if version <= state.get("forgotten", 0):', "if False:"),),
        ),
    ),
    Guarded(
        "racing_changes",
        Fence(
            "taken-known",
            DOCUMENT,
            "an order is refused as it is sent again",
            'if any(taken == version and known.startswith(digest_hex) for taken, known in state["taken"]):',
            "if False:",
        ),
    ),
    Guarded(
        "racing_changes",
        Fence(
            "one-base",
            DOCUMENT,
            "two operators are both confirmed on top of one version",
            'if based_on != state["version"]:',
            "if False:",
        ),
    ),
    Guarded(
        "second_loss",
        Fence(
            "one-step",
            MEMBERSHIP,
            "a newcomer takes no seat while the lost member has one",
            "if chosen is not None:",
            "if False:",
        ),
    ),
    Guarded(
        "second_loss_of_five",
        Fence(
            "soon-replaced",
            MEMBERSHIP,
            "a lost member keeps its seat until a further loss may come",
            "REPLACE_AFTER_S = 0.5",
            "REPLACE_AFTER_S = 5.0",
        ),
    ),
    Guarded(
        "last_copy",
        Fence(
            "last-copy",
            HANDOVER,
            "a member leaves with the only copy",
            "return saved >= majority(len(self.roster.members))",
            "return True",
        ),
    ),
    Guarded(
        "refused_epoch",
        Fence(
            "one-transaction",
            PERSISTENCE,
            "a member votes in an epoch that its disk does not have",
            "if not self.epoch_on_disk:\n            values[EPOCH_KEY]",
            "if not self.epoch_on_disk and not self.register.remembers:\n            values[EPOCH_KEY]",
        ),
    ),
    Guarded(
        "previous_process_answer",
        Fence(
            "own-life",
            NODE,
            "an answer to an earlier life is taken for this one's",
            'if kind in ANSWERS and message["life"] != self.me.boot:',
            "if False:",
        ),
    ),
    Guarded(
        "worst_day",
        Fence(
            "disk-first",
            PERSISTENCE,
            "a member answers before its records are on disk",
            "if not register.records and register.safe >= register.mark:",
            "if True:",
        ),
        DAYS,
    ),
    Guarded(
        "founder_lost_as_elected",
        Fence(
            "vote-on-disk",
            ELECTION,
            "a seed answers for a vote that its disk does not have",
            "        self.vote = vote\n",
            "        self.vote = vote\n        return on_saved()\n",
        ),
        FIRST_START,
    ),
    Guarded(
        "founder_lost_as_elected",
        Fence(
            "accepted-roster",
            ELECTION,
            "a proposer passes over the roster that a seed has taken",
            "ballots.proposed = ballots.latest_accepted().roster or self.roster()",
            "ballots.proposed = self.roster()",
        ),
        FIRST_START,
    ),
    Guarded(
        "first_losses",
        Fence(
            "elected-by-majority",
            ELECTION,
            "a seed founds with its own vote alone",
            "len(ballots.promises) < majority(len(self.seeds))",
            "len(ballots.promises) < 1",
            ((ELECTION, "len(ballots.accepted) == majority(len(self.seeds))", "len(ballots.accepted) == 1"),),
        ),
        FIRST_START,
    ),
    Guarded(
        "founder_lost_as_elected",
        Fence(
            "recalled-by-all",
            ELECTION,
            "a seed that lost its disk votes again without having asked all others",
            "if {self.ip, *ballots.promises, *ballots.blank} != set(self.seeds):",
            "if False:",
            ((FOUNDING, "linked.issuperset({*self.election.seeds} - {self.me.ip})", "linked"),),
        ),
        FIRST_START,
    ),
)
BY_NAME = {guarded.fence.name: guarded for guarded in GUARDED}


def main(name: str) -> int:
    """Takes a fence out and plays its scenario until that is found; the exit status of this process."""
    guarded = BY_NAME[name]
    take_out(guarded.fence)
    scenario: Any = getattr(importlib.import_module(guarded.module), guarded.scenario)
    for seed in range(SEEDS):
        try:
            failures = scenario(seed).failures
        except AssertionError as error:  # what is checked at every step
            failures = [str(error)]
        if failures:
            sys.stdout.write(f"seed {seed}: {failures[0]}\n")
            return FOUND
    return 0


def found(name: str) -> bool:
    """True if the scenario finds that the fence is gone; RuntimeError where that can't be told."""
    command = [sys.executable, "-c", PLAY, name]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=WITHIN, check=False)
    if ended.returncode not in (0, FOUND):
        raise RuntimeError(f"{name}: {ended.stdout[-500:]}{ended.stderr[-500:]}")
    return ended.returncode == FOUND
