"""Adapter for the simulator's line protocol: passes events to each instance's Gateway, writes its actions."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from embersill.control import Gateway
from embersill.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    Cancel,
    ClientLeft,
    Count,
    CounterResult,
    Event,
    Fail,
    ListKind,
    Outcome,
    Probed,
    Refuse,
    Request,
    Send,
    SetTimer,
    StreamBegun,
    Subscribe,
    TimerDue,
)
from embersill.settings import STATUSES, read_settings

OUTCOMES = {
    "GOOD": Outcome.SERVED,
    "BAD": Outcome.ERROR,
    "FULL": Outcome.TURNED_AWAY,
    "LATE": Outcome.TIMED_OUT,
    "NOCONN": Outcome.NO_CONNECTION,
    "RST": Outcome.BROKEN,
    "CXL": Outcome.CANCELLED,
    "NOP": Outcome.NOT_SENT,
}
KINDS = {
    "Partial": ListKind.CHANGES,
    "Complete": ListKind.WHOLE,
    "Persisted": ListKind.REMEMBERED,
    "Error": ListKind.FAILED,
}


class Malformed(Exception):
    """A line that the protocol does not allow."""


def lookup(table: dict[str, Any], value: str) -> Any:
    """The table's entry for a value; Malformed if there is none."""
    if value not in table:
        raise Malformed(f"unknown value {value!r}")
    return table[value]


def read_backend(parts: list[str]) -> Backend:
    """A backend from the fields of its line."""
    if len(parts) < 8 or parts[0] != "backend":
        raise Malformed("expected a backend line")
    started = 0.0 if parts[7] == "-" else float(parts[7]) / 1000.0
    return Backend(
        parts[1],
        parts[2],
        parts[3],
        int(parts[4]),
        lookup(STATUSES, parts[5]),
        float(parts[6]),
        started if started else None,
    )


def read_load(parts: list[str], at: int) -> tuple[float, ...]:
    """A reported load from the field at an index; empty if there is none."""
    text = value(parts, at, "-")
    return () if text in ("-", "") else tuple(float(v) for v in text.split(","))


def value(parts: list[str], at: int, absent: str) -> str:
    """The field at an index, or `absent` if it is missing or empty (-)."""
    return parts[at] if at < len(parts) and parts[at] != "-" else absent


def read_event(parts: list[str], lists: dict[int, tuple[Backend, ...]]) -> Event | None:
    """The event of one line; None if the gateway does not use events of that kind."""
    what = parts[0]
    if what == "job_in":
        return Request(
            id=int(parts[1]),
            klass=parts[2],
            plan=value(parts, 3, ""),
            customer=value(parts, 4, ""),
            deadline=float(parts[5]) / 1000.0,
            units=float(value(parts, 6, "1")),
            width=int(value(parts, 7, "0")),
            first_gateway=int(value(parts, 8, "0")),
            repeat=bool(int(value(parts, 9, "0")) & 2),
        )
    if what == "result":
        return AttemptEnded(
            request=int(parts[1]),
            attempt=int(parts[2]),
            backend=parts[3],
            outcome=lookup(OUTCOMES, parts[4]),
            elapsed=float(parts[5]) / 1000.0,
            over=value(parts, 6, "0") == "1",
            true_units=float(value(parts, 8, "0")),
            load=read_load(parts, 9),
        )
    if what == "deadline_hit":
        return TimerDue(parts[1])
    if what == "counted":
        total = float(value(parts, 3, "0"))
        return CounterResult(parts[1], lookup(OUTCOMES, parts[4]), float(parts[2]) / 1000.0, total)
    if what == "discovery":
        kind = lookup(KINDS, parts[2])
        if kind is ListKind.FAILED:
            return BackendList(kind, ())
        if int(parts[1]) not in lists:
            raise Malformed("discovery names an unknown page")
        return BackendList(kind, lists[int(parts[1])])
    if what == "client_left":
        return ClientLeft(int(parts[1]))
    if what == "ack_first":
        return StreamBegun(int(parts[1]), int(parts[2]))
    if what == "probe_result":
        return Probed(parts[1], lookup(OUTCOMES, parts[2]), float(parts[3]) / 1000.0, read_load(parts, 4))
    if what == "note_from":
        return None
    raise Malformed(f"unknown message {what!r}")


def write_action(action: Action) -> str:
    """The line for an action."""
    if isinstance(action, Send):
        return f"issue\t{action.request}\t{max(action.timeout * 1000.0, 0.001):.3f}\t{action.backend}"
    if isinstance(action, SetTimer):
        return f"timer\t{action.delay * 1000.0:.3f}\t{action.key}"
    if isinstance(action, Refuse):
        return f"deny\t{action.request}\t{action.retry_after * 1000.0:.3f}"
    if isinstance(action, Fail):
        return f"report_failure\t{action.request}"
    if isinstance(action, Count):
        return f"incr\t{action.name}\t{action.amount:.6g}\t{action.forget_after * 1000.0:.3f}"
    if isinstance(action, Cancel):
        return f"recall\t{action.request}\t{action.attempt}"
    assert isinstance(action, Subscribe)
    return "keep_informed\t1"


class Host:
    """All gateway instances of one process; they share only the numbered pages of backends."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.lists: dict[int, tuple[Backend, ...]] = {}

    def batch(self, now: float, lines: list[str]) -> list[str]:
        """Handles the lines between `frame` and `go`, and returns the reply's lines."""
        out: list[str] = []
        instance = speaking = -1
        at = 0
        while at < len(lines):
            parts = lines[at].split("\t")
            at += 1
            try:
                if parts[0] == "about":
                    instance = int(parts[1])
                    continue
                if parts[0] == "page":
                    count = int(parts[2])
                    if count < 0 or at + count > len(lines):
                        raise Malformed("a page with too few entries")
                    rows = lines[at : at + count]
                    self.lists[int(parts[1])] = tuple(read_backend(r.split("\t")) for r in rows)
                    at += count
                    continue
                if instance < 0:
                    raise Malformed("an event before any instance is named")
                if parts[0] == "retire":
                    self.gateways.pop(instance, None)
                    continue
                if parts[0] == "up":
                    seed = int(parts[1])
                    env = json.loads("\t".join(parts[2:]))
                    self.gateways[instance] = Gateway(read_settings(env), seed, now)
                    continue
                if instance not in self.gateways:
                    raise Malformed(f"an event for instance {instance}, which is not up")
                event = read_event(parts, self.lists)
            except (ValueError, IndexError, Malformed) as error:
                raise Malformed(f"{error} in line {lines[at - 1][:200]!r}") from error
            if event is None:
                continue
            try:
                actions = self.gateways[instance].handle(event, now)
            except Exception as error:  # a failure of the gateway is reported as a crash, with its text
                actions = []
                out += [f"speaking\t{instance}", f"crash\t{type(error).__name__}: {error}".replace("\n", " ")]
                speaking = instance
            if actions:
                if speaking != instance:
                    out.append(f"speaking\t{instance}")
                    speaking = instance
                out += [write_action(action) for action in actions]
        return out


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Answers batches until the input ends; Malformed if it ends within one."""
    host = Host()
    now: float | None = None
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\n")
        if now is None:
            parts = line.split("\t")
            if not line:
                continue
            if parts[0] != "frame" or len(parts) < 2:
                raise Malformed(f"expected a frame, got {line[:200]!r}")
            try:
                now = float(parts[1]) / 1000.0
            except ValueError as error:
                raise Malformed(f"a frame with no clock: {line[:200]!r}") from error
            lines = []
        elif line == "go":
            sink.write("\n".join([*host.batch(now, lines), "next", ""]))
            sink.flush()
            now = None
        else:
            lines.append(line)
    if now is not None:
        raise Malformed("the input ended inside a batch")


def main() -> int:
    """Serves standard input; the exit status is 2 after malformed input."""
    try:
        serve(sys.stdin, sys.stdout)
    except Malformed as error:
        print(f"embersill: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
