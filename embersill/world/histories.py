"""Linearizability checker for histories of reads and writes of a single register. No I/O.

It is the search of Wing and Gong (1993, "Testing and Verifying Concurrent Objects") with the memoization of
Lowe (2017, "Testing for Linearizability"): it tries each operation that no other one precedes in real time,
and visits a combination of completed operations and register value only once. It is independent of the code
under test. Every write must have a unique value.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_CONCURRENT_OPS = 24  # overlapping operations; a history that exceeds this is truncated, not checked


@dataclass(frozen=True, slots=True)
class Op:
    """One operation; times are simulated or measured seconds.

    A completed read returned `found`. A completed write replaced `found` by `value` (compare and set). An
    operation without a known end (`ended` infinite, `sure` False) may take effect at any time after it began,
    or never.
    """

    began: float
    ended: float
    found: str | None
    value: str | None = None  # None for a read
    sure: bool = True


def is_linearizable(ops: list[Op]) -> bool:
    """True if some order of all completed operations and any of the others explains the returned values."""
    ops = sorted(ops, key=lambda op: op.began)
    # a write without a known end whose value was never found can be omitted
    found = {op.found for op in ops if op.sure}
    ops = [op for op in ops if op.sure or op.value in found]
    return search(ops)


def search(ops: list[Op]) -> bool:
    """Searches for a linearization; sets of operations are bit masks over the sorted list."""
    count = len(ops)
    completed = sum(1 << n for n, op in enumerate(ops) if op.sure)
    seen: set[tuple[int, str | None]] = set()
    stack: list[tuple[int, str | None]] = [(0, None)]
    while stack:
        done, value = stack.pop()
        if done & completed == completed:
            return True
        if (done, value) in seen:
            continue
        seen.add((done, value))
        # earliest end of the remaining operations: one that began later can't be next
        horizon = min((ops[n].ended for n in range(count) if not done >> n & 1), default=math.inf)
        for n in range(count):
            op = ops[n]
            if done >> n & 1:
                continue
            if op.began > horizon:
                break
            if op.value is None:
                if op.found == value:
                    stack.append((done | 1 << n, value))
            elif not op.sure or op.found == value:
                stack.append((done | 1 << n, op.value))
    return False
