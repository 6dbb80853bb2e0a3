"""Whether a history of reads and writes of one register is linearizable. It knows no code. No I/O.

The search of Wing and Gong (1993, "Testing and Verifying Concurrent Objects") with the memory of Lowe (2017,
"Testing for Linearizability"): operations that no other one precedes in real time are tried in turn, and a
set of done operations with a value is not searched twice. Every write has a value of its own.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MOST_OPEN = 24  # operations that overlap at a time: beyond it a history is cut, not judged


@dataclass(frozen=True, slots=True)
class Op:
    """One operation, by the world's clock.

    A read that ended returns `found`. A write that ended put `value` in the place of `found`. One whose end
    is unknown (`ended` infinite, `sure` False) may have taken effect at any time after it began, or never.
    """

    began: float
    ended: float
    found: str | None
    value: str | None = None  # of a write
    sure: bool = True


def is_linearizable(ops: list[Op]) -> bool:
    """True if there is an order of all sure operations, and of some others, that explains what was
    returned."""
    ops = sorted(ops, key=lambda op: op.began)
    # an unsure write whose value nobody ever found may be left out from the start
    found = {op.found for op in ops if op.sure}
    ops = [op for op in ops if op.sure or op.value in found]
    return search(ops)


def search(ops: list[Op]) -> bool:
    count = len(ops)
    wanted = sum(1 << n for n, op in enumerate(ops) if op.sure)
    seen: set[tuple[int, str | None]] = set()
    stack: list[tuple[int, str | None]] = [(0, None)]
    while stack:
        done, value = stack.pop()
        if done & wanted == wanted:
            return True
        if (done, value) in seen:
            continue
        seen.add((done, value))
        # whatever is not done and ended first: nothing that began after that end can come before it
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
