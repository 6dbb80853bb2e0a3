"""Findings of a soak that KNOWN-RED.txt lists: they are printed, and don't fail the run. No I/O."""

from __future__ import annotations

import signal
from collections.abc import Callable

from embersill.rig.soak.judge import Finding, Rule
from embersill.rig.soak.lives import START_AGAIN, STARTING
from embersill.rig.soak.record import Exit, Record
from embersill.rig.soak.schedule import TroubleKind

HANDLERS_SET_WITHIN_S = START_AGAIN + STARTING  # from a process's end until its successor handles signals


def ended_by_hangup_in_start(finding: Finding, record: Record) -> bool:
    """Whether a SIGHUP ended a process that had been restarted and did not handle signals yet."""
    if finding.rule is not Rule.EXITS:
        return False
    for process_exit in record.exits:
        if process_exit.gateway != finding.gateway or process_exit.at != finding.at:
            continue
        if process_exit.code == -signal.SIGHUP and not process_exit.wanted:
            return hangup_since_restart(process_exit, record)
    return False


def hangup_since_restart(process_exit: Exit, record: Record) -> bool:
    """Whether a SIGHUP was sent between the previous exit of the process, if it was recent, and this one."""
    restarts = [
        earlier.at
        for earlier in record.exits
        if earlier.gateway == process_exit.gateway
        and 0 < process_exit.at - earlier.at <= HANDLERS_SET_WITHIN_S
    ]
    if not restarts:
        return False
    return any(
        struck.kind in (TroubleKind.HUP, TroubleKind.HUP_SERIES)
        and struck.gateway == process_exit.gateway
        and struck.began <= process_exit.at
        and struck.ended >= max(restarts)
        for struck in record.struck
    )


KNOWN_FAULTS: dict[str, Callable[[Finding, Record], bool]] = {
    "hangup-in-start": ended_by_hangup_in_start,
}
