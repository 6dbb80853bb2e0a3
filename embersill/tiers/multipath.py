"""One session between two members over several paths, with ordered exactly-once delivery. No I/O.

A path is a connection: a direct one, or one relayed by another planner. Batches are numbered over the whole
session. A batch that the other end has not acknowledged (`seen`) is kept, and is resent on another path
once its path is gone or suspect. Each end chooses its sending path independently, since a network may
deliver in one direction only. This is the scheme of Multipath TCP (RFC 8684) with its data sequence
numbers, and of QUIC's path validation (RFC 9000, section 8.2), applied to frames.

A path becomes suspect when a batch on it is not acknowledged, or a probe on it not answered, within
`resent_after`. It is preferred again once all its answers have been in time for `settle`, so that a flapping
path does not cause a switch each time.

A process that is short of CPU time looks like a bad path. So that an overload does not cause more traffic, an
end that was stalled itself judges no path until it has read what arrived meanwhile; where all paths are
suspect, the direct one is used unless another is clearly better; and unanswered probes are sent less and less
often, down to one per `probe_every`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from embersill.tiers.messages import AnyMessage, BadFrame, Batch, Missing, Probe, Probed, read_batch
from embersill.tiers.terms import Terms
from embersill.tiers.wire import pack

MAX_REORDERED_BATCHES = 4096  # far more batches than are in flight within `resent_after`
MAX_PENDING_PROBES = 64  # unanswered probes of one path
PROBES_PER_SETTLE = 5  # all answered in time, after which a path is trusted
DIRECT = ""  # name of the path without a relay
NEVER = float("-inf")


@dataclass(slots=True, eq=False)
class Path:
    """A connection of the session. `name`: the planner that relays it, or DIRECT."""

    name: str
    suspect: bool
    good_since: float = float("inf")  # since when every answer on it has been in time
    answered: float = NEVER  # when the latest answered probe was sent
    probed: float = NEVER
    every: float = field(kw_only=True)  # seconds between probes while it is suspect
    probes: dict[int, float] = field(default_factory=dict)  # unanswered probes: when each was sent


@dataclass(slots=True, eq=False)
class Unacked:
    """A batch that the other end has not acknowledged."""

    number: int
    frame: bytes
    path: Path | None
    sent: float


class Multipath:
    """One end of a session. `out` holds what the caller has to write: the path's name and the frame."""

    def __init__(self, terms: Terms, most_frame: int, most_unsent: int, beats: bool = False) -> None:
        """`beats`: the other end sends at each beat, so this end reports a silence with Missing."""
        self.beats = beats
        self.received_at = self.silence_reported_at = self.ticked = NEVER
        self.terms, self.most_frame, self.most_unsent = terms, most_frame, most_unsent
        self.probe_interval = (
            terms.settle / PROBES_PER_SETTLE
        )  # seconds between probes of a suspect path that answers
        self.paths: dict[str, Path] = {}
        self.out: list[tuple[str, bytes]] = []
        self.sent = self.got = self.last_probe = 0
        self.failed: set[str] = set()  # names of paths that were lost or suspect in this session
        self.unacked: deque[Unacked] = deque()
        self.unacked_bytes = 0
        self.reordered: dict[int, Batch] = {}  # received ahead of a missing batch, by number
        self.resent = self.switched = 0
        self.used: Path | None = None

    @property
    def overfull(self) -> bool:
        """More bytes are unacknowledged than a session may keep: it has to end."""
        return self.unacked_bytes > self.most_unsent

    # paths

    def join(self, name: str, now: float) -> None:
        """Adds a connection; a path that failed before is suspect at first if another path is trusted."""
        again = name in self.failed and any(not path.suspect for path in self.paths.values())
        self.paths[name] = Path(name, again, probed=now, every=self.probe_interval)
        self.settle(now)

    def leave(self, name: str, now: float) -> None:
        """Removes a connection; its unacknowledged batches are resent on another."""
        if self.paths.pop(name, None) is not None:
            self.failed.add(name)
            self.settle(now)

    def best(self) -> Path | None:
        """The path to send on: a trusted one, preferably the direct one; else the one answered last."""
        trusted = [path for path in self.paths.values() if not path.suspect]
        if trusted:
            return min(trusted, key=lambda path: path.name != DIRECT)
        if not self.paths:
            return None
        last = max(self.paths.values(), key=lambda path: (path.answered, path.name == DIRECT))
        for path in (self.paths.get(DIRECT), self.used):
            if (
                path is not None
                and self.paths.get(path.name) is path
                and (path.answered >= last.answered - self.terms.silent_after)
            ):
                return path  # no other is clearly better
        return last

    def settle(self, now: float) -> None:
        """Resends unacknowledged batches whose path is gone, or suspect while a better one exists."""
        best = self.best()
        if best is not self.used:
            self.switched += self.used is not None
            self.used = best
        if best is None:
            return
        for kept in self.unacked:
            path = kept.path
            if path is best:
                continue
            gone = path is None or self.paths.get(path.name) is not path
            if gone or (
                path is not None and path.suspect and (not best.suspect or best.answered > kept.sent)
            ):
                self.resent += path is not None
                kept.path, kept.sent = best, now
                self.out.append((best.name, kept.frame))

    # sending and receiving

    def send(self, messages: list[AnyMessage], basis: int, acked: int, now: float) -> None:
        """Sends messages in as few numbered batches as the frame size limit allows."""
        frame = pack(Batch(self.sent + 1, basis, acked, messages, self.got))
        if len(frame) > self.most_frame and len(messages) > 1:
            half = len(messages) // 2
            self.send(messages[:half], basis, acked, now)
            return self.send(messages[half:], basis, acked, now)
        self.sent += 1
        path = self.best()
        self.unacked.append(Unacked(self.sent, frame, path, now))
        self.unacked_bytes += len(frame)
        if path is not None:
            self.out.append((path.name, frame))
        return None

    def receive(self, name: str, frame: bytes, now: float) -> list[Batch]:
        """Takes in a frame; returns the batches that are now next in order. BadFrame ends the session."""
        batch = read_batch(frame)
        self.received_at = now
        if batch.seen > self.sent:
            raise BadFrame(f"batch {batch.seen} is acknowledged but only {self.sent} were sent")
        while self.unacked and self.unacked[0].number <= batch.seen:
            self.unacked_bytes -= len(self.unacked.popleft().frame)
        if batch.number == 0:
            self.receive_unordered(name, batch, now)
            return []
        if batch.number > self.got + MAX_REORDERED_BATCHES:
            raise BadFrame(f"batch {batch.number} is too far ahead of {self.got + 1}")
        if batch.number > self.got:
            self.reordered.setdefault(batch.number, batch)
        found = []
        while self.got + 1 in self.reordered:
            self.got += 1
            found.append(self.reordered.pop(self.got))
        return found

    def receive_unordered(self, name: str, batch: Batch, now: float) -> None:
        """Handles a batch outside the sequence, which concerns one path."""
        path = self.paths.get(name)
        for message in batch.messages:
            if isinstance(message, Probe):
                self.send_unordered(name, Probed(message.number))
            elif isinstance(message, Missing):
                self.on_missing(name, now)
            elif not isinstance(message, Probed):
                raise BadFrame(f"{type(message).__name__} in a batch outside the sequence")
            elif path is not None and message.number in path.probes:
                asked = path.probes.pop(message.number)
                path.answered = max(path.answered, asked)
                if now - asked <= self.terms.resent_after:
                    path.good_since = min(path.good_since, now)
                    path.every = self.probe_interval
                else:
                    self.suspect(path)

    def on_missing(self, name: str, now: float) -> None:
        """The other end has received nothing for long: moves the unacknowledged batches to this path."""
        if self.used is not None and self.used.name != name and self.unacked:
            self.suspect(self.used)
            self.settle(now)

    def send_unordered(self, name: str, message: AnyMessage) -> None:
        """Sends one message on one path, outside the sequence."""
        self.out.append((name, pack(Batch(0, 0, 0, [message], self.got))))

    # time

    def suspect(self, path: Path) -> None:
        """Marks a path as suspect; it has to prove itself for `settle` again."""
        if not path.suspect:
            path.every = self.probe_interval
        path.suspect, path.good_since = True, float("inf")
        self.failed.add(path.name)

    def judge(self, late: float, now: float) -> None:
        """Suspects paths with anything unanswered since before `late`; trusts those that have settled."""
        changed = False
        for kept in self.unacked:
            if kept.sent > late:
                break
            if kept.path is not None:
                self.suspect(kept.path)
                changed = True
        for path in self.paths.values():
            if path.probes and any(asked < late for asked in path.probes.values()):
                self.suspect(path)
                changed = True
            elif path.suspect and now - path.good_since >= self.terms.settle:
                path.suspect = False
                changed = True
        if changed:
            self.settle(now)
        if (
            self.beats
            and self.received_at > self.silence_reported_at
            and self.received_at < late
            and len(self.paths) > 1
        ):
            self.silence_reported_at = now  # once per silence
            for name in self.paths:
                self.send_unordered(name, Missing())

    def tick(self, now: float) -> None:
        """To be called about once per `beat_every`: probes the paths that are not in use, drops bad ones."""
        stalled, self.ticked = now - self.ticked > 2 * self.terms.beat_every, now
        late = now - self.terms.resent_after
        if not stalled:  # after a stall, answers may have arrived without being read yet
            self.judge(late, now)
        for path in self.paths.values():
            every = path.every if path.suspect else self.terms.probe_every
            if now - path.probed >= every and (path.suspect or path is not self.used):
                if any(asked < late for asked in path.probes.values()):
                    path.every = min(2 * path.every, self.terms.probe_every)
                self.last_probe += 1
                path.probed = path.probes[self.last_probe] = now
                while len(path.probes) > MAX_PENDING_PROBES:
                    del path.probes[next(iter(path.probes))]
                self.send_unordered(path.name, Probe(self.last_probe))
