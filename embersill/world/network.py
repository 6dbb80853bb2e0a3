"""Simulated network: streams and datagrams between nodes, with latency, loss and partitions. No I/O.

A `Network` keeps the state of each direction between two nodes: until when it is cut and until when new
messages are held. Connections (`Stream`) and `Datagrams` go through it. A cut or hold can affect one
direction only.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from embersill.world.kernel import Kernel, Node

RETRANSMIT_INTERVAL_S = (
    0.05  # between attempts to deliver over a cut link: a simple model of TCP's retransmission
)


@dataclass(frozen=True)
class LinkConditions:
    """Conditions of links without injected faults: latencies in seconds, and probabilities per message."""

    least: float = 0.0002  # minimum latency
    most: float = 0.004  # maximum latency without a stall
    stall: float = 0.0  # probability of an additional delay
    stall_most: float = 2.0  # maximum additional delay
    lost: float = (
        0.0  # applies to streams too, where a chunk goes missing: TCP never does that; readers must notice
    )
    doubled: float = 0.0
    reordered: float = 0.0  # datagrams only


class Network:
    """All links of a simulation. `calm` turns random faults off; `heal` also ends all cuts and holds."""

    def __init__(self, kernel: Kernel, conditions: LinkConditions) -> None:
        self.kernel, self.conditions = kernel, conditions
        self.cut: dict[tuple[str, str], float] = {}  # by (sender, receiver): until when nothing is delivered
        self.held: dict[tuple[str, str], float] = {}  # by (sender, receiver): until when new messages wait
        self.chances: dict[tuple[str, str], random.Random] = {}
        self.calm = False

    def chance_of(self, sender: str, receiver: str) -> random.Random:
        """Returns the random number generator of one direction."""
        key = sender, receiver
        found = self.chances.get(key)
        if found is None:
            found = self.chances[key] = self.kernel.stream(f"{sender}>{receiver}")
        return found

    def cut_for(self, sender: str, receiver: str, seconds: float) -> None:
        """Delivers nothing in this direction for so long; data of streams arrives after the cut."""
        key = sender, receiver
        self.cut[key] = max(self.cut.get(key, 0.0), self.kernel.now + seconds)

    def hold_for(self, sender: str, receiver: str, seconds: float) -> None:
        """Delays messages that are sent in this direction for so long; those in flight are not affected."""
        key = sender, receiver
        self.held[key] = max(self.held.get(key, 0.0), self.kernel.now + seconds)

    def heal(self) -> None:
        """Ends all cuts and holds, and turns random faults off."""
        self.calm = True
        self.cut.clear()
        self.held.clear()

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether nothing is delivered in this direction now."""
        return self.cut.get((sender, receiver), 0.0) > self.kernel.now

    def arrival_time(self, sender: str, receiver: str) -> float:
        """Draws the time at which a message that is sent now would arrive."""
        conditions, chance = self.conditions, self.chance_of(sender, receiver)
        delay = conditions.least + (conditions.most - conditions.least) * chance.random()
        if conditions.stall and not self.calm and chance.random() < conditions.stall:
            delay += conditions.stall_most * chance.random()
        begin = self.kernel.now
        if self.held:
            begin = max(begin, self.held.get((sender, receiver), 0.0))
        return begin + delay


class Stream:
    """A connection that delivers chunks in order in both directions until it is closed or reset.

    `close` with `reset` False leaves it half-open: closed at one end only.
    """

    def __init__(self, network: Network, first: Node, second: Node) -> None:
        self.network = network
        self.peers: dict[Node, Node] = {first: second, second: first}
        self.open = {first: True, second: True}
        self.lives = {first: first.life, second: second.life}
        self.last_arrival = {first: 0.0, second: 0.0}  # of the last chunk towards each end
        # queued towards each end: a delayed chunk is never overtaken by a later one
        self.in_flight: dict[Node, deque[tuple[Callable[..., None], tuple[Any, ...]]]] = {
            first: deque(),
            second: deque(),
        }

    def enqueue(self, to: Node, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call at one end, behind everything that was sent to it before."""
        network = self.network
        sender = self.peers[to].name
        arrival = network.arrival_time(sender, to.name)
        last = self.last_arrival[to] + 1e-6
        self.last_arrival[to] = arrival = arrival if arrival > last else last
        self.in_flight[to].append((call, args))
        network.kernel.at(arrival, self.arrive, sender, to)

    def arrive(self, sender: str, to: Node) -> None:
        """Makes the next call in flight, or postpones it while the link is cut or the receiver paused."""
        kernel = self.network.kernel
        if self.network.cut and self.network.is_cut(sender, to.name):
            kernel.at(kernel.now + RETRANSMIT_INTERVAL_S, self.arrive, sender, to)
        elif to.paused_until > kernel.now and to.alive and to.life == self.lives[to]:
            schedule = kernel.first_at if to.reads_first else kernel.at
            schedule(to.paused_until, self.arrive, sender, to)
        else:
            call, args = self.in_flight[to].popleft()
            if self.open[to] and to.alive and to.life == self.lives[to]:
                call(*args)

    def send(self, sender: Node, data: bytes) -> None:
        """Sends a chunk to the other end, unless the sender's end is closed."""
        if not self.open[sender]:
            return
        to, network = self.peers[sender], self.network
        conditions = network.conditions
        if (conditions.lost or conditions.doubled) and not network.calm:
            drawn = network.chance_of(sender.name, to.name).random()
            if drawn < conditions.lost:
                return
            if drawn < conditions.lost + conditions.doubled:
                data += data
        self.enqueue(to, self.deliver, to, data)

    def deliver(self, to: Any, data: bytes) -> None:
        """Hands a chunk to the receiving node."""
        to.stream_data(self, data)

    def close(self, node: Any, reset: bool = True) -> None:
        """Closes one end; the other is closed behind the data in flight, or not at all without `reset`."""
        if not self.open[node]:
            return
        self.open[node] = False
        if node.alive and node.life == self.lives[node]:
            node.stream_closed(self)
        if reset:
            peer = self.peers[node]
            self.enqueue(peer, self.close, peer, False)


class Datagrams:
    """Unconnected messages: can be lost, duplicated and reordered; a cut drops them."""

    def __init__(self, network: Network) -> None:
        self.network = network

    def send(self, sender: Node, to: Node, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call at the receiver for each copy that arrives: none, one or two.

        It is dropped if the receiver was restarted meanwhile.
        """
        network, conditions = self.network, self.network.conditions
        chance = network.chance_of(sender.name, to.name)
        copies = 1
        if not network.calm:
            drawn = chance.random()
            copies = (
                0 if drawn < conditions.lost else 2 if drawn < conditions.lost + conditions.doubled else 1
            )
        for _ in range(copies):
            arrival = network.arrival_time(sender.name, to.name)
            if conditions.reordered and not network.calm and chance.random() < conditions.reordered:
                arrival += conditions.most * chance.random()
            network.kernel.at(arrival, self.arrive, sender.name, to, to.life, call, args)

    def arrive(
        self, sender: str, to: Node, life: int, call: Callable[..., None], args: tuple[Any, ...]
    ) -> None:
        """Makes the call of a message that arrives, unless the link is cut or the receiver restarted."""
        if not self.network.is_cut(sender, to.name) and to.life == life:
            to.after(0.0, call, *args)
