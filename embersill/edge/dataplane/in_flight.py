"""What a gateway has out at backends, gathered for a moment before the keepers of their zones are told."""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.node import Node
from embersill.interface import Others
from embersill.work import Server

SHARED_AFTER = 0.002  # seconds in which what has moved is gathered


class InFlight:
    """Between the data plane's attempts and the node's loads."""

    def __init__(
        self, node: Node, told: Callable[[Others], None], later: Callable[[float, Callable[[], None]], object]
    ) -> None:
        """`later`: calls something after so many seconds; one that is called after the end does nothing."""
        self.node, self.later = node, later
        self.moved: dict[str, Server] = {}  # backends at which more or less is out since it was told
        self.flushed: Callable[[], None] = lambda: None
        node.loads.on_others = lambda others: told(Others(others))
        node.loads.on_due = lambda delay: later(delay, self.due)

    def changed(self, server: Server) -> None:
        """The number of requests out at a backend has changed."""
        if not self.moved:
            self.later(SHARED_AFTER, self.share)
        self.moved[server.backend.address] = server

    def share(self) -> None:
        """Tells the changes that were gathered."""
        moved, self.moved = self.moved, {}
        self.node.loads.share({name: (s.backend.zone, s.flight) for name, s in moved.items()})
        self.flushed()

    def due(self) -> None:
        """Passes on what was gathered for gateways of this zone."""
        self.node.loads.flush()
        self.flushed()
