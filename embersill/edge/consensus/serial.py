"""Operations that run one after the other, so that those of one process do not compete. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

Finished = Callable[[], None]
Operation = Callable[[Finished], None]


class Serial:
    """A bounded queue of operations, one of which runs at a time."""

    def __init__(self, most: int) -> None:
        """`most`: operations that may wait."""
        self.most = most
        self.waiting: deque[Operation] = deque()
        self.running = False

    def run(self, operation: Operation) -> bool:
        """Begins an operation once those before it have called `finished`; False if too many wait already."""
        if len(self.waiting) >= self.most:
            return False
        self.waiting.append(operation)
        self.next()
        return True

    def next(self) -> None:
        """Begins what may be begun."""
        while self.waiting and not self.running:
            self.running = True
            self.waiting.popleft()(self.finished)

    def finished(self) -> None:
        """The operation that runs has ended."""
        self.running = False
        self.next()
