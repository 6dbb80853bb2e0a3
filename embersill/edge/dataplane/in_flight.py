"""Reports a gateway's in-flight counts in small batches to the keepers of the backends' zones."""

from __future__ import annotations

from collections.abc import Callable

from embersill.edge.node import Node
from embersill.interface import PeerLoad
from embersill.work import Server

REPORT_DELAY_S = 0.002  # changes are batched for this long


class InFlight:
    """Connects the data plane's attempts with the node's load reports."""

    def __init__(
        self,
        node: Node,
        post: Callable[[PeerLoad], None],
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        """`call_later`: calls a function after a delay in seconds; a call after shutdown does no harm."""
        self.node, self.call_later = node, call_later
        self.changed_servers: dict[str, Server] = {}  # by backend; since the last report
        self.on_flush: Callable[[], None] = lambda: None
        node.loads.on_others = lambda others: post(PeerLoad(others))
        node.loads.on_due = lambda delay: call_later(delay, self.flush_loads)

    def changed(self, server: Server) -> None:
        """Notes that the number of attempts in flight at a backend has changed."""
        if not self.changed_servers:
            self.call_later(REPORT_DELAY_S, self.report)
        self.changed_servers[server.backend.address] = server

    def report(self) -> None:
        """Reports the collected changes."""
        changed_servers, self.changed_servers = self.changed_servers, {}
        self.node.loads.report({name: (s.backend.zone, s.flight) for name, s in changed_servers.items()})
        self.on_flush()

    def flush_loads(self) -> None:
        """Sends the sums collected for the gateways of this zone."""
        self.node.loads.flush()
        self.on_flush()
