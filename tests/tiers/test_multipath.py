"""A session over several paths: in order, nothing twice, nothing lost while any path carries."""

from __future__ import annotations

import random
import sys
import types
from collections import Counter

import pytest

from embersill.tiers import multipath
from embersill.tiers.messages import BadFrame, Batch, Beat, Left
from embersill.tiers.multipath import DIRECT, MAX_REORDERED_BATCHES, Multipath
from embersill.tiers.terms import Terms
from embersill.tiers.wire import pack

TERMS = Terms()
HOP = 0.002  # seconds over a path in order


def unframed(frame: bytes) -> bytes:
    return frame[4:]


class Net:
    """Two ends, and paths that are cut, drop one direction or delay. Each path is ordered, like TCP."""

    def __init__(self, names: tuple[str, ...], seed: int = 0, most_unsent: int = 1 << 20) -> None:
        self.chance = random.Random(seed)
        self.now = 0.0
        self.ends = [Multipath(TERMS, 1 << 18, most_unsent) for _ in range(2)]
        self.names, self.up = names, set[str]()
        self.swallowed: set[tuple[str, int]] = set()  # path and sending end
        self.late: dict[str, float] = {}
        self.queues: dict[tuple[str, int], list[tuple[float, bytes]]] = {}
        self.said, self.heard = [0, 0], [list[int](), list[int]()]
        for name in names:
            self.join(name)

    def join(self, name: str) -> None:
        self.up.add(name)
        for end in self.ends:
            end.join(name, self.now)

    def cut(self, name: str) -> None:
        """Loses what is in flight; both ends notice."""
        self.up.discard(name)
        for sender, end in enumerate(self.ends):
            self.queues.pop((name, sender), None)
            end.leave(name, self.now)

    def send(self, sender: int) -> None:
        self.said[sender] += 1
        self.ends[sender].send([Left(self.said[sender])], 0, 0, self.now)

    def step(self, seconds: float = 0.005) -> None:
        self.now += seconds
        for sender, end in enumerate(self.ends):
            out, end.out = end.out, []
            for name, frame in out:
                if name in self.up:
                    late = HOP + self.late.get(name, 0.0) * self.chance.random()
                    queue = self.queues.setdefault((name, sender), [])
                    queue.append((max(self.now + late, queue[-1][0] if queue else 0.0), frame))
        for (name, sender), queue in list(self.queues.items()):
            while queue and queue[0][0] <= self.now and (name, sender) not in self.swallowed:
                _, frame = queue.pop(0)
                for batch in self.ends[1 - sender].receive(name, unframed(frame), self.now):
                    self.heard[1 - sender] += [m.ask for m in batch.messages if isinstance(m, Left)]

    def run(self, seconds: float, every: float = 0.05, silent: tuple[int, ...] = ()) -> None:
        """Both ends send, and check their paths, once per `every`."""
        end, due = self.now + seconds, self.now
        while self.now < end:
            if self.now >= due:
                due += every
                for sender in (0, 1):
                    if sender not in silent:
                        self.send(sender)
                    self.ends[sender].tick(self.now)
            self.step()

    def whole(self) -> bool:
        return not any(end.reordered for end in self.ends) and all(
            self.heard[1 - n] == list(range(1, self.said[n] + 1)) for n in (0, 1)
        )


def test_a_calm_session_uses_the_direct_path_and_probes_the_other_now_and_then() -> None:
    net = Net((DIRECT, "p1"))
    net.run(4.0)
    net.run(0.04, silent=(0, 1))
    assert net.whole()
    for end in net.ends:
        assert end.used is not None and end.used.name == DIRECT
        assert end.resent == end.switched == 0 and len(end.unacked) <= 2
        assert 3 <= end.last_probe <= 5  # one per second


def test_a_cut_path_loses_nothing_and_the_other_takes_over_at_once() -> None:
    net = Net((DIRECT, "p1"))
    net.run(0.5)
    for sender in (0, 1):
        net.send(sender)
    net.step(0.0001)
    net.cut(DIRECT)  # with a batch in flight each way
    net.step()
    net.step()
    assert net.whole()
    net.run(1.0)
    net.join(DIRECT)
    net.run(0.5)
    assert all(end.used is not None and end.used.name == "p1" for end in net.ends)  # not yet trusted
    net.run(1.0)
    net.run(0.04, silent=(0, 1))
    assert net.whole() and all(end.used is not None and end.used.name == DIRECT for end in net.ends)


def test_one_direction_that_is_swallowed_is_left_by_its_sender() -> None:
    net = Net((DIRECT, "p1"))
    net.run(0.5)
    net.swallowed.add((DIRECT, 0))
    heard = len(net.heard[1])
    net.run(0.2)
    assert len(net.heard[1]) > heard  # within two beats and `resent_after`
    net.run(2.0)
    assert net.ends[0].used is not None and net.ends[0].used.name == "p1"
    net.swallowed.clear()
    net.run(4.0)  # its probes had become infrequent
    net.run(0.04, silent=(0, 1))
    assert net.whole() and net.ends[0].used is not None and net.ends[0].used.name == DIRECT


def test_a_late_path_is_left_and_one_that_comes_and_goes_is_not_followed() -> None:
    net = Net((DIRECT, "p1"), seed=3)
    net.late[DIRECT] = 0.5
    net.run(3.0)
    assert all(end.used is not None and end.used.name == "p1" for end in net.ends)
    before = [end.switched for end in net.ends]
    for _ in range(6):
        net.late.clear()
        net.run(0.5)
        net.late[DIRECT] = 0.5
        net.run(0.5)
    assert [end.switched for end in net.ends] == before
    net.late.clear()
    net.run(2.0)
    net.run(0.6, silent=(0, 1))
    assert net.whole()


def test_with_all_paths_gone_what_is_said_waits_and_then_comes() -> None:
    net = Net((DIRECT, "p1"))
    net.run(0.3)
    net.cut(DIRECT)
    net.cut("p1")
    for _ in range(5):
        net.send(0)
    net.run(0.5)
    net.join("p1")
    net.run(0.1)
    net.run(0.04, silent=(0, 1))
    assert net.whole()


def test_what_is_never_acknowledged_has_a_bound() -> None:
    net = Net((DIRECT,), most_unsent=2000)
    net.swallowed.add((DIRECT, 0))
    for _ in range(2000):
        net.send(0)
    assert net.ends[0].overfull and not net.ends[1].overfull


@pytest.mark.parametrize(
    "batch",
    [
        Batch(MAX_REORDERED_BATCHES + 2, 0, 0, []),
        Batch(1, 0, 0, [], 1),
        Batch(0, 0, 0, [Beat(1, True, 1)]),
    ],
)
def test_what_no_session_says_is_refused(batch: Batch) -> None:
    end = Multipath(TERMS, 1 << 18, 1 << 20)
    end.join(DIRECT, 0.0)
    with pytest.raises(BadFrame):
        end.receive(DIRECT, unframed(pack(batch)), 0.0)


def test_a_frame_over_the_bound_goes_out_in_pieces() -> None:
    net = Net((DIRECT,))
    net.ends[0].most_frame = 200
    net.ends[0].send([Left(n) for n in range(1, 101)], 0, 0, 0.0)
    net.said[0] = 100
    net.step()
    net.step()
    assert net.whole() and net.ends[0].sent > 1


def drawn_play(seed: int) -> Net:
    """Random path faults, then a healthy phase: all messages must arrive exactly once and in order."""
    chance = random.Random(seed)
    net = Net((DIRECT, "p1", "p2")[: chance.randint(1, 3)], seed)
    for _ in range(chance.randint(3, 8)):
        name = chance.choice(net.names)
        kind = chance.choice(("cut", "join", "swallow", "late", "heal"))
        if kind == "cut" and name in net.up:
            net.cut(name)
        elif kind == "join" and name not in net.up:
            net.join(name)
        elif kind == "swallow":
            net.swallowed.add((name, chance.randrange(2)))
        elif kind == "late":
            net.late[name] = chance.uniform(0.05, 0.8)
        else:
            net.swallowed.clear()
            net.late.clear()
        net.run(chance.uniform(0.02, 0.5), chance.uniform(0.02, 0.08))
    net.swallowed.clear()
    net.late.clear()
    for name in net.names:
        if name not in net.up:
            net.join(name)
    net.run(1.0)
    net.run(1.0, silent=(0, 1))
    return net


def test_thousands_of_drawn_troubles_lose_nothing_and_bring_nothing_twice() -> None:
    seen: Counter[str] = Counter()
    for seed in range(1000):
        net = drawn_play(seed)
        assert net.whole(), seed
        seen["resent"] += sum(end.resent for end in net.ends)
        seen["switched"] += sum(end.switched for end in net.ends)
    assert min(seen["resent"], seen["switched"]) > 1000


@pytest.mark.parametrize(
    ("line", "without"),
    [
        # a duplicate is recognized by its number
        ("if batch.number > self.got:", "if True:"),
        # a batch that arrives early waits for the missing ones
        ("while self.got + 1 in self.reordered:", "while self.reordered:"),
        # batches lost with a path are resent
        ("self.out.append((best.name, kept.frame))", "pass"),
        # only acknowledged batches are dropped
        ("while self.unacked and self.unacked[0].number <= batch.seen:", "while self.unacked:"),
    ],
)
def test_plays_find_each_fence_when_it_is_taken_out(
    line: str,
    without: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    path = multipath.__file__
    with open(path, encoding="utf-8") as file:
        source = file.read()
    assert source.count(line) == 1
    source = source.replace(line, without)
    if "self.reordered:" in without:
        source = source.replace("self.got += 1", "self.got = next(iter(self.reordered))")
    module = types.ModuleType("weak")
    monkeypatch.setitem(sys.modules, "weak", module)
    exec(compile(source, path, "exec"), module.__dict__)
    monkeypatch.setattr(f"{__name__}.Multipath", module.Multipath)

    def breaks(seed: int) -> bool:
        try:
            return not drawn_play(seed).whole()
        except (BadFrame, KeyError):
            return True

    assert any(breaks(seed) for seed in range(100))
