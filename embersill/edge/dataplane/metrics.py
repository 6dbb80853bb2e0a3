"""Figures of one gateway's data plane as text, for whoever collects metrics.

The format is Prometheus' text exposition format 0.0.4. Gauges are of the moment, counters since the start.
"""

from __future__ import annotations

from embersill.edge.dataplane.gateway import EdgeGateway
from embersill.net.clients import Front
from embersill.net.driver import Driver

CONTENT_TYPE = b"Content-Type: text/plain; version=0.0.4\r\n"


class Metrics:
    """Reads the figures where they arise; keeps none but the longest delay of the event loop."""

    def __init__(self, driver: Driver, gateway: EdgeGateway, front: Front) -> None:
        self.driver, self.gateway, self.front = driver, gateway, front
        self.loop_delay = 0.0  # seconds that a timer came late, at most, since the figures were last read

    def timer_late(self, seconds: float) -> None:
        """A periodic timer came so many seconds after it was due."""
        self.loop_delay = max(self.loop_delay, seconds)

    def gauges(self) -> dict[str, float]:
        """Figures of the moment, by name."""
        driver, pool = self.driver, self.driver.pool
        delay, self.loop_delay = self.loop_delay, 0.0
        return {
            "client_connections": len(self.front.connections),
            "backend_connections": len(pool.connections),
            "backend_dials": len(pool.dialling),
            "requests_unanswered": driver.unanswered,
            "requests_pending": len(driver.pending),
            "requests_held": sum(len(t.queue) for t in self.gateway.throttles.values()),
            "attempts_out": sum(pending.out for pending in driver.pending.values()),
            "attempts_counted_out": sum(server.flight for server in self.gateway.servers.values()),
            "loop_delay_max_seconds": round(delay, 4),
        }

    def text(self) -> bytes:
        """All figures, a line each."""
        lines = [f"embersill_{name} {value}" for name, value in self.gauges().items()]
        lines.append(f"embersill_requests_total {self.driver.taken}")
        lines.append(f"embersill_attempts_total {self.driver.pool.tries}")
        return "\n".join([*lines, *self.driver.disconnects.lines(), ""]).encode()
