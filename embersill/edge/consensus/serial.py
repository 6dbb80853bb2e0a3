"""A queue that runs operations one at a time, so that those of one process don't contend. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

Finished = Callable[[], None]
Operation = Callable[[Finished], None]


class SerialQueue:
    """A bounded queue of asynchronous operations, of which one runs at a time."""

    def __init__(self, max_waiting: int) -> None:
        """`max_waiting`: how many operations may wait behind the running one."""
        self.max_waiting = max_waiting
        self.waiting: deque[Operation] = deque()
        self.running = False

    def submit(self, operation: Operation) -> bool:
        """Starts an operation once those before it have called `finished`; False if the queue is full."""
        if len(self.waiting) >= self.max_waiting:
            return False
        self.waiting.append(operation)
        self.start_next()
        return True

    def start_next(self) -> None:
        """Starts the next waiting operation unless one is running."""
        while self.waiting and not self.running:
            self.running = True
            self.waiting.popleft()(self.finished)

    def finished(self) -> None:
        """Called by the running operation when it has ended."""
        self.running = False
        self.start_next()
