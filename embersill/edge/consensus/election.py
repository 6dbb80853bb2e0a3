"""The first epoch: the seeds agree on its members, so that any majority of them can found the system. No I/O.

At the very first start all gateways are told the same seeds. Each seed is an acceptor of one decision, the
first roster, by single-decree Paxos (Lamport 2001, "Paxos Made Simple"). What an acceptor has answered for is
on its disk before the answer leaves, so that a seed that is started again goes on as the same acceptor. One
that has forgotten (it has no disk, or lost it) does not vote any more.

A seed whose disk is blank may have lost it, or may have died before its first save. It gets a vote again only
once all other seeds have answered it: each promises to take nothing older, and tells what it took, or is
blank as well. Whatever had been decided before, some seed that was not lost tells of it.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from embersill.council.terms import majority
from embersill.edge.records import Effects, Roster, Save, Vote, VoteBallot

KIND = "election"  # of the messages here, among those between gateways
VOTE = "vote"  # name of the value on disk
NO_BALLOT = VoteBallot()


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Asks an acceptor to take nothing under an older ballot."""

    ballot: VoteBallot


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """An acceptor will take nothing under a ballot older than `ballot`; what it took last, if anything."""

    ballot: VoteBallot
    accepted: VoteBallot
    roster: Roster | None


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """Asks an acceptor to take a roster."""

    ballot: VoteBallot
    roster: Roster


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """An acceptor has taken the roster of that ballot."""

    ballot: VoteBallot


class Outbid(msgspec.Struct, frozen=True, tag="outbid"):
    """An acceptor has promised a later ballot than the one that it was asked under."""

    ballot: VoteBallot
    promised: VoteBallot


class Recall(msgspec.Struct, frozen=True, tag="recall"):
    """As `Prepare`, by a seed whose disk is blank, which is told the same `seeds`."""

    ballot: VoteBallot
    seeds: tuple[str, ...]


class Blank(msgspec.Struct, frozen=True, tag="blank"):
    """The answer to `Recall` of a seed that has no vote either."""

    ballot: VoteBallot


Question = Prepare | Propose | Recall
Body = Prepare | Promise | Propose | Accepted | Outbid | Recall | Blank
Reply = Callable[[Body], None]


class Acceptor:
    """One seed's vote, kept on disk."""

    def __init__(self, vote: Vote | None, effects: Effects) -> None:
        """`vote`: None for a gateway that is no seed, or has forgotten what it answered for."""
        self.vote, self.effects = vote, effects

    def prepare(self, asked: Prepare | Recall, reply: Reply) -> None:
        """Promises a ballot unless a later one is promised."""
        vote = self.vote
        if vote is None:
            return
        if asked.ballot < vote.promised:
            return reply(Outbid(asked.ballot, vote.promised))
        promise = Promise(asked.ballot, vote.accepted, vote.roster)
        return self.keep(msgspec.structs.replace(vote, promised=asked.ballot), lambda: reply(promise))

    def accept(self, asked: Propose, reply: Reply) -> None:
        """Takes a roster unless a later ballot is promised."""
        vote = self.vote
        if vote is None:
            return
        if asked.ballot < vote.promised:
            return reply(Outbid(asked.ballot, vote.promised))
        after = Vote(vote.seeds, asked.ballot, asked.ballot, asked.roster)
        return self.keep(after, lambda: reply(Accepted(asked.ballot)))

    def keep(self, vote: Vote, go_on: Callable[[], None]) -> None:
        """Goes on once the vote is on disk; where the disk refuses it the asker hears nothing."""
        self.vote = vote

        def then(good: bool) -> None:
            if good:
                go_on()

        self.effects.saves.append(Save(VOTE, msgspec.json.encode(vote), then))


class Ballots:
    """One attempt of a proposer's, and those after it."""

    def __init__(self, ip: str, life: str) -> None:
        self.ip, self.life = ip, life
        self.highest = 0  # round that was seen in any ballot
        self.ballot = NO_BALLOT
        self.promises: dict[str, Promise] = {}  # by the acceptor's IP number
        self.accepted: set[str] = set()  # IP numbers
        self.blank: set[str] = set()  # IP numbers of those without a vote
        self.proposed: Roster | None = None

    def next(self) -> VoteBallot:
        """Begins another attempt, under a ballot that nobody has used."""
        self.highest += 1
        self.ballot = VoteBallot(self.highest, self.ip, self.life)
        self.promises, self.accepted, self.blank, self.proposed = {}, set(), set(), None
        return self.ballot

    def newest(self) -> Promise:
        """The promise with the latest roster that was taken; one with none where nobody has promised."""
        nothing = Promise(self.ballot, NO_BALLOT, None)
        return max(self.promises.values(), key=lambda one: one.accepted, default=nothing)

    def seen(self, ballot: VoteBallot) -> None:
        """Notes a ballot of any proposer's, so that the next attempt goes beyond it."""
        self.highest = max(self.highest, ballot.round)


class Election:
    """One gateway's part in the decision on the first roster: acceptor and, in its turn, proposer."""

    def __init__(
        self,
        ip: str,
        life: str,
        vote: Vote | None,
        effects: Effects,
        elected: Callable[[Roster], None],
        blank_seeds: tuple[str, ...] = (),
    ) -> None:
        """`life`: names this life of the process. `elected` hears the roster that is decided.

        `blank_seeds`: the seeds' IP numbers, for a seed whose disk is blank; empty for all others.
        """
        self.ip, self.effects, self.elected = ip, effects, elected
        self.blank_seeds = blank_seeds
        self.open: Callable[[], bool] = lambda: True  # whether no roster is known here yet
        self.acceptor = Acceptor(vote, effects)
        self.ballots = Ballots(ip, life)
        self.roster: Callable[[], Roster | None] = lambda: None  # the one that this gateway would propose
        self.address_of: Callable[[str], str | None] = lambda name: None  # a linked gateway's IP number
        self.linked: Callable[[], list[str]] = list  # names of the linked gateways

    @property
    def votes(self) -> bool:
        """True while this gateway is a seed that remembers what it has answered for."""
        return self.acceptor.vote is not None

    @property
    def seeds(self) -> tuple[str, ...]:
        """IP numbers of all acceptors."""
        vote = self.acceptor.vote
        return vote.seeds if vote is not None else self.blank_seeds

    @property
    def blank(self) -> bool:
        """True for a seed without a vote that may ask for one."""
        return not self.votes and bool(self.blank_seeds)

    def recall(self) -> None:
        """Asks all other seeds what this one may have forgotten."""
        self.ask_others(Recall(self.ballots.next(), self.blank_seeds))

    def attempt(self) -> None:
        """Asks all seeds for their votes, under a new ballot."""
        if self.votes:
            self.ask_all(Prepare(self.ballots.next()))

    def ask_all(self, asked: Prepare | Propose) -> None:
        """Asks the linked seeds, and this one."""
        self.ask_others(asked)
        self.asked(asked, lambda answer: self.answered(self.ip, answer))

    def ask_others(self, asked: Question) -> None:
        """Asks the linked seeds."""
        for name in self.linked():
            if self.address_of(name) in self.seeds:
                self.send(name, asked)

    def send(self, name: str, body: Body) -> None:
        """Has a message go to a linked gateway."""
        self.effects.mail.append((name, {"kind": KIND, "body": msgspec.to_builtins(body)}))

    def heard(self, peer: str, told: object) -> None:
        """A seed's question or answer; msgspec.ValidationError for something else."""
        body = msgspec.convert(told, Body)
        if isinstance(body, Question):
            return self.asked(body, lambda answer: self.send(peer, answer)) if self.open() else None
        address = self.address_of(peer)
        return self.answered(address, body) if address in self.seeds else None

    def asked(self, body: Question, reply: Reply) -> None:
        """A question to this gateway's vote."""
        self.ballots.seen(body.ballot)
        if isinstance(body, Recall) and body.seeds != self.seeds:
            return None
        if self.blank and isinstance(body, Recall):
            return reply(Blank(body.ballot))
        if isinstance(body, Propose):
            return self.acceptor.accept(body, reply)
        return self.acceptor.prepare(body, reply)

    def answered(self, address: str | None, body: Body) -> None:
        """An acceptor's answer to the attempt under way; answers to earlier ones count for nothing."""
        if isinstance(body, Outbid):
            return self.ballots.seen(body.promised)
        if address is None or body.ballot != self.ballots.ballot:
            return None
        if self.blank:
            return self.recalled(address, body)
        if isinstance(body, Promise):
            return self.promised(address, body)
        if isinstance(body, Accepted):
            return self.taken(address)
        return None

    def recalled(self, address: str, body: Body) -> None:
        """With all other seeds' answers this one has a vote, and what they took stands in it."""
        ballots = self.ballots
        if isinstance(body, Promise):
            ballots.promises[address] = body
        elif isinstance(body, Blank):
            ballots.blank.add(address)
        if {self.ip, *ballots.promises, *ballots.blank} != set(self.seeds):
            return
        newest = ballots.newest()
        vote = Vote(self.blank_seeds, ballots.ballot, newest.accepted, newest.roster)
        self.acceptor.keep(vote, lambda: None)

    def promised(self, address: str, promise: Promise) -> None:
        """With a majority's promises the newest roster that one of them took is proposed, else one's own."""
        ballots = self.ballots
        ballots.promises[address] = promise
        if ballots.proposed is not None or len(ballots.promises) < majority(len(self.seeds)):
            return
        ballots.proposed = ballots.newest().roster or self.roster()
        if ballots.proposed is not None:
            self.ask_all(Propose(ballots.ballot, ballots.proposed))

    def taken(self, address: str) -> None:
        """The roster is decided once a majority has taken it under one ballot."""
        ballots = self.ballots
        ballots.accepted.add(address)
        if ballots.proposed is not None and len(ballots.accepted) == majority(len(self.seeds)):
            self.elected(ballots.proposed)
