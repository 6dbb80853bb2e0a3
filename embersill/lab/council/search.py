"""Every interleaving of three members in the small: two who write and one who reads, and one memory lost.

The real registers and members. A step brings a question, and its answer with it unless that is one of the
few that come late; a member asks its own register at once. A round that is given up is a step, and so is a
memory that is lost and learned anew. After each step the history so far has to be linearizable.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from functools import partial
from typing import Any

from embersill.council.member import How, Member, Phase, Result
from embersill.council.messages import Answer, Request, Entry, Join, Life, Origin, JoinReply
from embersill.council.register import Register
from embersill.council.terms import CouncilTerms
from embersill.world import search as searching
from embersill.world.histories import Op, is_linearizable
from embersill.world.oracles import Broken
from embersill.world.search import canonical_digest

NAMES = ("m0", "m1", "m2")
KEY = "k"
SKIPPED = frozenset(
    {
        "chance",
        "counts",
        "latency",
        "write_latencies",
        "on_result",
        "change",
        "on_accepted",
        "on_recovered",
        "on_retired",
        "terms",
        "started_at",
        "next_hello_at",
        "peers",
        "began",
        "deadline",
        "phase_deadline",
        "now",
        "records",
        "marks",
        "mark",
        "durable_mark",
        "life_mark",
        "outbox",
        "steps",
    }
)


@dataclass(frozen=True)
class Bounds:
    """What may happen, and how often."""

    writers: tuple[str, ...] = ("m0", "m1")
    readers: tuple[str, ...] = ("m2",)
    lates: int = 2  # answers that come later than their questions
    agains: int = 1  # rounds that are given up, by each member
    forgets: tuple[str, ...] = ("m2",)  # members that lose their memory once


@dataclass(frozen=True)
class Message:
    sender: str
    to: str
    number: int
    what: Request | Answer


class Small:
    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.members = {name: self.member(name) for name in NAMES}
        self.messages: list[Message] = []
        self.open: dict[str, tuple[int, list[tuple[str | None, str]]]] = {}  # began, what it tried to write
        self.history: list[Op] = []
        self.steps = self.lates = 0
        self.begun: set[str] = set()
        self.agains = dict.fromkeys(NAMES, 0)
        self.forgot: set[str] = set()

    def member(self, name: str) -> Member:
        register = Register(name, NAMES)
        register.load([])
        register.lives = {other: Life(1, other) for other in NAMES}
        register.life, register.votes = Life(1, name), True
        member = Member(register, CouncilTerms(), random.Random(name), 100.0)
        member.next_hello_at = math.inf
        return member

    # what may happen

    def enabled(self) -> list[str]:
        bounds = self.bounds
        steps = [f"begin {name}" for name in (*bounds.writers, *bounds.readers) if name not in self.begun]
        steps += [f"bring {n}" for n in range(len(self.messages))]
        if self.lates < bounds.lates:
            steps += [
                f"late {n}" for n, message in enumerate(self.messages) if isinstance(message.what, Request)
            ]
        steps += [
            f"again {name}"
            for name, member in self.members.items()
            if member.operations and self.agains[name] < bounds.agains
        ]
        steps += [
            f"forget {name}" for name in bounds.forgets if name not in self.forgot and name not in self.open
        ]
        return steps

    def step(self, name: str) -> None:
        self.steps += 1
        what, _, who = name.partition(" ")
        getattr(self, what)(who)
        self.judge()

    def begin(self, who: str) -> None:
        self.begun.add(who)
        member, tried = self.members[who], list[tuple[str | None, str]]()
        self.open[who] = self.steps, tried
        if who in self.bounds.writers:
            member.write(KEY, partial(change, who, tried), partial(self.done, who), 100.0)
        else:
            member.read(KEY, partial(self.done, who), 100.0)
        self.send(who)

    def send(self, who: str) -> None:
        out, self.members[who].outbox = self.members[who].outbox, []
        own = [(number, request) for to, number, request in out if to == who]
        self.messages += [Message(who, to, number, request) for to, number, request in out if to != who]
        for number, request in own:
            self.answer(who, number, self.members[who].register.handle(request))

    def answer(self, to: str, number: int, answer: Answer) -> None:
        self.members[to].on_answer(number, answer, 100.0)
        self.send(to)

    def bring(self, place: str) -> None:
        message = self.messages.pop(int(place))
        if isinstance(message.what, Request):
            answer = self.members[message.to].register.handle(message.what)
            self.answer(message.sender, message.number, answer)
        else:
            self.answer(message.to, message.number, message.what)

    def late(self, place: str) -> None:
        self.lates += 1
        message = self.messages.pop(int(place))
        assert isinstance(message.what, Request)
        answer = self.members[message.to].register.handle(message.what)
        self.messages.append(Message(message.to, message.sender, message.number, answer))

    def again(self, who: str) -> None:
        self.agains[who] += 1
        member = self.members[who]
        operation = next(iter(member.operations.values()))
        if operation.phase is not Phase.WAIT:
            member.retry_later(operation)
        member.start_round(operation)
        self.send(who)

    def forget(self, who: str) -> None:
        """Its disk is lost, and it learns from both others at one moment: what was under way still comes."""
        self.forgot.add(who)
        life, states = Life(2, "new"), []
        for name, other in self.members.items():
            if name != who:
                answer = other.register.handle(Join(Origin(who, life, 0)))
                assert isinstance(answer, JoinReply)
                states.append(answer)
        fresh = self.member(who)
        fresh.register.cells.clear()
        fresh.register.learn(life, states)
        self.members[who] = fresh

    def done(self, who: str, result: Result, now: float) -> None:
        began, tried = self.open.pop(who)
        found = None if result.entry is None else result.entry.data.decode()
        if result.how is How.UNKNOWN:
            self.history += [Op(began, math.inf, before, value, sure=False) for before, value in tried]
        elif who in self.bounds.writers:
            self.history.append(Op(began, self.steps, dict((v, f) for f, v in tried)[found or ""], found))
        else:
            self.history.append(Op(began, self.steps, found))

    def judge(self) -> None:
        unsure = [
            Op(began, math.inf, before, value, sure=False)
            for began, tried in self.open.values()
            for before, value in tried
        ]
        if not is_linearizable([*self.history, *unsure]):
            raise Broken("register", self.steps, f"no order explains {self.history}")

    def fingerprint(self) -> bytes:
        times = {at for op in self.history for at in (op.began, op.ended)}
        times |= {began for began, _ in self.open.values()}
        rank = {at: n for n, at in enumerate(sorted(times))}
        history = [(rank[op.began], rank[op.ended], op.found, op.value, op.sure) for op in self.history]
        opened = sorted((who, rank[began], tuple(tried)) for who, (began, tried) in self.open.items())
        messages = sorted(repr((m.sender, m.to, m.number, m.what)) for m in self.messages)
        members = {
            name: (member.register, member.operations, member.prepared, member.highest_round)
            for name, member in self.members.items()
        }
        state = (
            members,
            messages,
            history,
            opened,
            sorted(self.begun),
            self.agains,
            self.lates,
            sorted(self.forgot),
        )
        return canonical_digest(state, SKIPPED, ({},))


def change(who: str, tried: list[tuple[str | None, str]], entry: Entry | None) -> bytes:
    value = f"{who}.{len(tried)}"
    tried.append((None if entry is None else entry.data.decode(), value))
    return value.encode()


def make(bounds: Bounds) -> Small:
    return Small(bounds)


def search(depth: int, most_states: int, processes: int, bounds: Bounds | None = None) -> dict[str, Any]:
    """The search's figures; `way` is the shortest way to a breach, if there is one."""
    found = searching.search(partial(make, bounds or Bounds()), depth, most_states, processes)
    return {
        "states_explored": found.states,
        "steps": found.steps,
        "depth": found.depth,
        "search_complete": found.complete,
        "widths": found.widths,
        "broken": found.broken,
        "way": found.path,
    }
