"""One session between two members that goes on over several paths, in order and nothing twice. No I/O.

A path is a connection: a direct one, or one that another planner carries. Batches are numbered over the whole
session; what the other end has not said that it has (`seen`) is kept, and goes out again on another path once
the path that it went on is gone or suspect. Each end chooses the path that it sends on by itself, since a
network may carry one way only. This is the scheme of Multipath TCP (RFC 8684) with its data sequence numbers,
and of QUIC's path validation (RFC 9000, section 8.2), for frames of ours.

A path is suspect when what went on it is not acknowledged, or a probe on it not answered, within
`resent_after`. It is used again by choice once all its answers came in time for `settle`: a path that comes
and goes is not followed each time.

A process that is short of processor time looks like a bad path. So that an overload is not answered by more
traffic, an end that stood still itself judges nothing until it has read what came meanwhile; where all paths
are suspect the direct one is used unless another is clearly better; probes that are not answered in time
come less and less often, down to one in `probe_every`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from embersill.tiers.messages import AnyMessage, BadFrame, Batch, Missing, Probe, Probed, read_batch
from embersill.tiers.terms import Terms
from embersill.tiers.wire import pack

MOST_AHEAD = 4096  # batches that may overtake others: far more than are under way for `resent_after`
MOST_PROBES = 64  # of one path that wait for their answers
SETTLED_BY = 5  # probes in `settle`, all answered in time, after which a path is trusted
DIRECT = ""  # the path over no one else
NEVER = float("-inf")


@dataclass(slots=True, eq=False)
class Path:
    """A connection of the session. `name`: who carries it, or DIRECT."""

    name: str
    suspect: bool
    good_since: float = float("inf")  # from when on every answer on it came in time
    answered: float = NEVER  # when the last probe went out that was answered
    probed: float = NEVER
    every: float = field(kw_only=True)  # seconds between probes while it is suspect
    probes: dict[int, float] = field(default_factory=dict)  # unanswered: when each went out


@dataclass(slots=True, eq=False)
class Unacked:
    """A batch that the other end has not said that it has."""

    number: int
    frame: bytes
    path: Path | None
    sent: float


class Multipath:
    """One end of a session. What is to be written stands in `out`: the path's name and the frame."""

    def __init__(self, terms: Terms, most_frame: int, most_unsent: int, beats: bool = False) -> None:
        """`beats`: the other end speaks at each beat, and this one asks for what does not come."""
        self.beats = beats
        self.came_at = self.missed_at = self.ticked = NEVER
        self.terms, self.most_frame, self.most_unsent = terms, most_frame, most_unsent
        self.often = terms.settle / SETTLED_BY  # seconds between probes of a suspect path that answers
        self.paths: dict[str, Path] = {}
        self.out: list[tuple[str, bytes]] = []
        self.sent = self.got = self.last_probe = 0
        self.failed: set[str] = set()  # names of paths that were lost or suspect in this session
        self.unacked: deque[Unacked] = deque()
        self.unacked_bytes = 0
        self.ahead: dict[int, Batch] = {}  # that overtook others
        self.resent = self.switched = 0
        self.used: Path | None = None

    @property
    def overfull(self) -> bool:
        """More waits to be acknowledged than a session may keep: it has to end."""
        return self.unacked_bytes > self.most_unsent

    # paths

    def join(self, name: str, now: float) -> None:
        """A connection is there. One on a path that failed before is not trusted at once beside another."""
        again = name in self.failed and any(not path.suspect for path in self.paths.values())
        self.paths[name] = Path(name, again, probed=now, every=self.often)
        self.settle(now)

    def leave(self, name: str, now: float) -> None:
        """A connection is gone; what was on it goes out on another."""
        if self.paths.pop(name, None) is not None:
            self.failed.add(name)
            self.settle(now)

    def best(self) -> Path | None:
        """The path to send on: a trusted one, the direct one first; or else what was answered on last."""
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
        """Sends what is not acknowledged again, where its path is gone, or suspect beside a better one."""
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

    # what is said

    def say(self, messages: list[AnyMessage], basis: int, acked: int, now: float) -> None:
        """Numbers messages and sends them, in as few batches as the bound on a frame allows."""
        frame = pack(Batch(self.sent + 1, basis, acked, messages, self.got))
        if len(frame) > self.most_frame and len(messages) > 1:
            half = len(messages) // 2
            self.say(messages[:half], basis, acked, now)
            return self.say(messages[half:], basis, acked, now)
        self.sent += 1
        path = self.best()
        self.unacked.append(Unacked(self.sent, frame, path, now))
        self.unacked_bytes += len(frame)
        if path is not None:
            self.out.append((path.name, frame))
        return None

    def came(self, name: str, frame: bytes, now: float) -> list[Batch]:
        """The batches that are next in order, now that a frame came on a path; BadFrame ends the session."""
        batch = read_batch(frame)
        self.came_at = now
        if batch.seen > self.sent:
            raise BadFrame(f"batch {batch.seen} is seen where {self.sent} were sent")
        while self.unacked and self.unacked[0].number <= batch.seen:
            self.unacked_bytes -= len(self.unacked.popleft().frame)
        if batch.number == 0:
            self.aside(name, batch, now)
            return []
        if batch.number > self.got + MOST_AHEAD:
            raise BadFrame(f"batch {batch.number} where {self.got + 1} should come")
        if batch.number > self.got:
            self.ahead.setdefault(batch.number, batch)
        found = []
        while self.got + 1 in self.ahead:
            self.got += 1
            found.append(self.ahead.pop(self.got))
        return found

    def aside(self, name: str, batch: Batch, now: float) -> None:
        """What is said of one path, out of any order."""
        path = self.paths.get(name)
        for message in batch.messages:
            if isinstance(message, Probe):
                self.beside(name, Probed(message.number))
            elif isinstance(message, Missing):
                self.missed(name, now)
            elif not isinstance(message, Probed):
                raise BadFrame(f"{type(message).__name__} out of order")
            elif path is not None and message.number in path.probes:
                asked = path.probes.pop(message.number)
                path.answered = max(path.answered, asked)
                if now - asked <= self.terms.resent_after:
                    path.good_since = min(path.good_since, now)
                    path.every = self.often
                else:
                    self.suspect(path)

    def missed(self, name: str, now: float) -> None:
        """The other end has heard nothing for long: what another path should bring goes on this one."""
        if self.used is not None and self.used.name != name and self.unacked:
            self.suspect(self.used)
            self.settle(now)

    def beside(self, name: str, message: AnyMessage) -> None:
        self.out.append((name, pack(Batch(0, 0, 0, [message], self.got))))

    # time

    def suspect(self, path: Path) -> None:
        if not path.suspect:
            path.every = self.often
        path.suspect, path.good_since = True, float("inf")
        self.failed.add(path.name)

    def judge(self, late: float, now: float) -> None:
        """Leaves paths on which something has been under way since before `late`."""
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
        if self.beats and self.came_at > self.missed_at and self.came_at < late and len(self.paths) > 1:
            self.missed_at = now  # once in each silence
            for name in self.paths:
                self.beside(name, Missing())

    def tick(self, now: float) -> None:
        """To be called about once in `beat_every`: probes the paths that are not in use, leaves bad ones."""
        stood, self.ticked = now - self.ticked > 2 * self.terms.beat_every, now
        late = now - self.terms.resent_after
        if not stood:  # else what it waits for may have come, and not been read yet
            self.judge(late, now)
        for path in self.paths.values():
            every = path.every if path.suspect else self.terms.probe_every
            if now - path.probed >= every and (path.suspect or path is not self.used):
                if any(asked < late for asked in path.probes.values()):
                    path.every = min(2 * path.every, self.terms.probe_every)
                self.last_probe += 1
                path.probed = path.probes[self.last_probe] = now
                while len(path.probes) > MOST_PROBES:
                    del path.probes[next(iter(path.probes))]
                self.beside(path.name, Probe(self.last_probe))
