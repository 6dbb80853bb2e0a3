"""Members of one council in one process, on a network that a test controls message by message."""

from __future__ import annotations

import random
from collections.abc import Callable

from embersill.council.member import How, Member, Result
from embersill.council.messages import Answer, Request, Entry
from embersill.council.register import Register
from embersill.council.terms import CouncilTerms

TERMS = CouncilTerms()


class Bench:
    """`n` members with a fresh register. `settle` delivers messages; `drop` decides which are lost."""

    def __init__(self, n: int = 3, terms: CouncilTerms = TERMS) -> None:
        self.names = [f"m{k}" for k in range(n)]
        self.terms, self.now = terms, 100.0
        self.drop: Callable[[str, str, Request | Answer], bool] = lambda sender, to, message: False
        self.members: dict[str, Member] = {}
        self.held: list[Callable[[], None]] = []
        for name in self.names:
            self.start(name, None)
        self.settle(2.0)
        assert all(member.register.votes for member in self.members.values())

    def start(self, name: str, records: list[bytes] | None) -> Member:
        register = Register(name, self.names)
        register.load(records)
        register.begin_life(f"n{random.Random(f'{name} {self.now}').random()}")
        member = Member(register, self.terms, random.Random(f"bench {name}"), self.now)
        self.members[name] = member
        return member

    def deliver_round(self) -> bool:
        """Delivers the pending requests and their answers; False if there were none."""
        sent_any = False
        for name, member in list(self.members.items()):
            out, member.outbox = member.outbox, []
            for to, number, ask in out:
                sent_any = True
                receiver = self.members.get(to)
                if receiver is None or self.drop(name, to, ask):
                    continue
                answer = receiver.register.handle(ask)
                receiver.register.mark_durable(receiver.register.mark)
                if not self.drop(to, name, answer) and self.members.get(name) is member:
                    member.on_answer(number, answer, self.now)
        return sent_any

    def settle(self, seconds: float = 0.0) -> None:
        """Delivers messages until none are left, and advances time by `seconds`."""
        end = self.now + seconds
        while True:
            for _ in range(200):
                if not self.deliver_round():
                    break
            if self.now >= end:
                return
            self.now = min(self.now + 0.02, end)
            for member in self.members.values():
                member.tick(self.now)

    def write(self, name: str, key: str, text: str | None, wanted: str | None = "") -> list[Result]:
        """Begins a write; `wanted`: only if that is the present value (the empty text: unconditionally)."""
        results: list[Result] = []

        def change(entry: Entry | None) -> bytes | None:
            found = None if entry is None else entry.data.decode()
            return None if text is None or wanted not in ("", found) else text.encode()

        self.members[name].write(key, change, lambda result, now: results.append(result), self.now)
        return results

    def read(self, name: str, key: str) -> list[Result]:
        results: list[Result] = []
        self.members[name].read(key, lambda result, now: results.append(result), self.now)
        return results

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Drops all messages from the first to the second of each pair from now on."""
        gone = set(pairs)
        self.drop = lambda sender, to, message: (sender, to) in gone

    def isolate(self, name: str) -> None:
        others = [other for other in self.names if other != name]
        self.cut(*((name, other) for other in others), *((other, name) for other in others))


def value(results: list[Result]) -> str | None:
    """The value that a successful read found or a successful write wrote."""
    assert results and results[0].how is How.DONE, results
    entry = results[0].entry
    return None if entry is None else entry.data.decode()
