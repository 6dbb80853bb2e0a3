"""Metrics of one gateway's data plane, in Prometheus' text exposition format 0.0.4."""

from __future__ import annotations

from collections.abc import Mapping

from embersill.edge.dataplane.gateway import EdgeGateway
from embersill.edge.dataplane.second_attempts import SecondAttemptLog
from embersill.net.clients import Front
from embersill.net.driver import Driver

CONTENT_TYPE = b"Content-Type: text/plain; version=0.0.4\r\n"


class Metrics:
    """Reads metrics from the data plane's objects; itself it keeps only the longest event loop delay."""

    def __init__(
        self,
        driver: Driver,
        gateway: EdgeGateway,
        front: Front,
        second_attempts: SecondAttemptLog,
        build: Mapping[str, str],
    ) -> None:
        """`build`: the program's identity, which becomes the labels of `embersill_build_info`."""
        self.driver, self.gateway, self.front = driver, gateway, front
        self.second_attempts, self.build = second_attempts, build
        self.loop_delay = 0.0  # longest delay of a timer in seconds since the metrics were last read

    def note_timer_delay(self, seconds: float) -> None:
        """Notes that a periodic timer fired so many seconds late."""
        self.loop_delay = max(self.loop_delay, seconds)

    def gauges(self) -> dict[str, float]:
        """The current gauges by name; resets the event loop delay."""
        driver, pool = self.driver, self.driver.pool
        delay, self.loop_delay = self.loop_delay, 0.0
        return {
            "client_connections": len(self.front.connections),
            "backend_connections": len(pool.connections),
            "backend_dials": len(pool.dialling),
            "requests_unanswered": driver.unanswered,
            "requests_pending": len(driver.pending),
            "requests_held": sum(len(t.queue) for t in self.gateway.throttles.values()),
            "attempts_out": sum(pending.open_attempts for pending in driver.pending.values()),
            "attempts_counted_out": sum(server.flight for server in self.gateway.servers.values()),
            "loop_delay_max_seconds": round(delay, 4),
        }

    def text(self) -> bytes:
        """All metrics, one per line; counters count since the start."""
        lines = [f"embersill_{name} {value}" for name, value in self.gauges().items()]
        lines.append(f"embersill_requests_total {self.driver.taken}")
        pool = self.driver.pool
        lines.append(f"embersill_attempts_total {pool.tries}")
        lines.append(f'embersill_attempts_lost_total{{request="partly_sent"}} {pool.lost_sending}')
        lines.append(f'embersill_attempts_lost_total{{request="sent"}} {pool.lost_waiting}')
        lines += self.second_attempts.lines()
        lines += self.driver.disconnects.lines()
        lines.append(info_line("embersill_build_info", self.build))
        return "\n".join([*lines, ""]).encode()


def info_line(name: str, labels: Mapping[str, str]) -> str:
    """A metric that only carries labels: its value is always 1."""
    pairs = ",".join(f'{label}="{escape_label(text)}"' for label, text in labels.items())
    return f"{name}{{{pairs}}} 1"


def escape_label(text: str) -> str:
    """A label's value as the exposition format wants it."""
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
