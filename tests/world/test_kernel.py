"""The kernel, its clocks and links: event order, named random streams, lives, pauses, reproducible traces."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from embersill.lab.levels.generate import generate
from embersill.lab.levels.world import World
from embersill.world.kernel import EventLimitExceeded, Kernel, Node
from embersill.world.network import Datagrams, LinkConditions, Network, Stream
from embersill.world.records import Fault
from embersill.world.trace import Trace, first_difference

CONSTANT_LATENCY = LinkConditions(least=0.01, most=0.01)


class RecordingNode(Node):
    """A node that records the data that it receives."""

    def __init__(self, kernel: Kernel, name: str) -> None:
        super().__init__(kernel, name)
        self.received: list[tuple[float, bytes]] = []
        self.closed_count = 0
        self.begin_life(0.0, 0.0)

    def stream_data(self, stream: Stream, data: bytes) -> None:
        self.received.append((round(self.kernel.now, 6), data))

    def stream_closed(self, stream: Stream) -> None:
        self.closed_count += 1


def pair(
    conditions: LinkConditions = CONSTANT_LATENCY,
) -> tuple[Kernel, Network, RecordingNode, RecordingNode, Stream]:
    kernel = Kernel(1)
    network = Network(kernel, conditions)
    node_a, node_b = RecordingNode(kernel, "a"), RecordingNode(kernel, "b")
    return kernel, network, node_a, node_b, Stream(network, node_a, node_b)


def test_calls_for_the_same_time_run_in_order() -> None:
    kernel, calls = Kernel(1), list[str]()
    kernel.at(1.0, calls.append, "second")
    kernel.at(0.5, calls.append, "first")
    kernel.at(1.0, calls.append, "third")
    kernel.first_at(1.0, calls.append, "ahead")
    kernel.run(2.0)
    assert calls == ["first", "ahead", "second", "third"]
    assert kernel.now == 2.0


def test_random_streams_are_independent() -> None:
    first, second = Kernel(7), Kernel(7)
    second.stream("else").random()
    assert first.stream("x").random() == second.stream("x").random()
    assert first.stream("x").random() != Kernel(8).stream("x").random()


def test_an_endless_run_is_stopped() -> None:
    kernel = Kernel(1, max_events=100)

    def again() -> None:
        kernel.at(kernel.now, again)

    again()
    with pytest.raises(EventLimitExceeded):
        kernel.run(1.0)


def test_a_pause_delays_timers_and_a_kill_drops_them() -> None:
    kernel, calls = Kernel(1), list[tuple[str, float]]()
    node = RecordingNode(kernel, "n")
    node.after(0.1, lambda: calls.append(("timer", kernel.now)))
    node.pause(1.0)
    kernel.run(2.0)
    assert calls == [("timer", 1.0)]
    node.after(0.1, lambda: calls.append(("never", kernel.now)))
    node.alive = False
    kernel.run(3.0)
    assert len(calls) == 1


def test_clocks_drift_jump_and_are_suspended() -> None:
    kernel = Kernel(1)
    node = Node(kernel, "n")
    node.begin_life(0.1, 50.0)
    kernel.run(10.0)
    assert node.clock() == pytest.approx(61.0)
    assert node.local_time(12.0) == pytest.approx(63.2)
    node.clocks.jump(-3600.0)
    assert node.clocks.wall() < 0 < node.clock()
    node.clocks.suspend(2.0)
    assert node.clock() == pytest.approx(58.8)


def test_a_stream_keeps_order_across_cuts_and_holds() -> None:
    kernel, network, node_a, node_b, stream = pair()
    stream.send(node_a, b"1")
    network.cut_for("a", "b", 0.5)
    stream.send(node_a, b"2")
    stream.send(node_b, b"back")  # the cut affects one direction only
    kernel.run(0.3)
    assert [data for _, data in node_a.received] == [b"back"] and node_b.received == []
    kernel.run(1.0)
    assert [data for _, data in node_b.received] == [b"1", b"2"]
    network.hold_for("a", "b", 1.0)
    stream.send(node_a, b"3")
    kernel.run(1.9)
    assert len(node_b.received) == 2
    kernel.run(2.1)
    assert node_b.received[2][1] == b"3"


def test_no_chunk_overtakes_one_that_a_cut_delayed() -> None:
    kernel, network, node_a, node_b, stream = pair()
    network.cut_for("a", "b", 0.03)
    for number in range(20):
        kernel.at(number * 0.005, stream.send, node_a, bytes([number]))
    kernel.run(0.02)
    kernel.at(0.04, network.heal)
    kernel.run(1.0)
    assert [data[0] for _, data in node_b.received] == list(range(20))


def test_a_half_open_connection_stays_open_at_one_end() -> None:
    kernel, _, node_a, node_b, stream = pair()
    stream.send(node_a, b"last")
    stream.close(node_a, reset=False)
    stream.send(node_b, b"into nothing")
    kernel.run(1.0)
    assert (node_a.closed_count, node_b.closed_count) == (1, 0)
    assert node_b.received and not node_a.received
    stream.close(node_b)
    assert node_b.closed_count == 1


def test_a_node_can_read_ahead_of_its_timers_after_a_pause() -> None:
    for first, expected in ((True, ["read", "timer"]), (False, ["timer", "read"])):
        kernel, _, node_a, node_b, stream = pair()
        calls: list[str] = []
        node_b.stream_data = lambda stream, data, calls=calls: calls.append("read")  # type: ignore[method-assign,misc]
        node_b.after(0.005, calls.append, "timer")
        node_b.reads_first = first
        node_b.pause(1.0)
        stream.send(node_a, b"x")
        kernel.run(2.0)
        assert calls == expected


def test_datagrams_are_lost_duplicated_and_reordered() -> None:
    kernel = Kernel(3)
    network = Network(kernel, LinkConditions(lost=0.2, doubled=0.2, reordered=0.5))
    node_a, node_b = RecordingNode(kernel, "a"), RecordingNode(kernel, "b")
    got: list[int] = []
    datagrams = Datagrams(network)
    for number in range(200):
        kernel.at(number * 0.001, datagrams.send, node_a, node_b, got.append, number)
    kernel.run(5.0)
    assert len(set(got)) < 200 and len(got) > len(set(got)) and got != sorted(got)
    network.cut_for("a", "b", 1.0)
    before = len(got)
    datagrams.send(node_a, node_b, got.append, 1000)
    kernel.run(10.0)
    assert len(got) == before  # datagrams are lost in a cut, not delayed


def test_watchers_are_called_for_their_moment_only() -> None:
    kernel, met = Kernel(1), list[dict[str, str]]()
    kernel.watch("sent Grant", met.append)
    kernel.moment("sent Echo", sender="f0")
    kernel.moment("sent Grant", sender="p0")
    assert met == [{"sender": "p0"}]


def test_different_traces_have_different_digests() -> None:
    first, second = Trace(), Trace()
    for trace in (first, second):
        trace.add(Fault(0.5, "kill", "p0", 0.1))
    assert first.digest() == second.digest()
    second.add(Fault(0.6, "kill", "p1", 0.1))
    assert first.digest() != second.digest()
    assert "p1" in first_difference(list(first.lines()), list(second.lines()))
    assert first_difference(list(first.lines()), list(first.lines())) == ""


def digest(seed: int) -> str:
    trace = Trace()
    World(generate(seed), trace=trace).run()
    return trace.digest()


def test_a_seed_has_the_same_trace_with_any_hash_seed() -> None:
    """Run in new processes: the trace may not depend on the machine, the time or the order of sets."""
    digests = set()
    for hash_seed in ("0", "4711"):
        result = subprocess.run(
            [
                sys.executable,
                "-c",
                "from tests.world.test_kernel import digest; print(digest(7), digest(31))",
            ],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            check=True,
        )
        digests.add(result.stdout)
    digests.add(f"{digest(7)} {digest(31)}\n")
    assert len(digests) == 1
