"""Election of the first epoch: the seeds agree on its members; any majority of them suffices. No I/O.

At the very first start all gateways are configured with the same seeds. Each seed is an acceptor of one
decision, the first roster, in single-decree Paxos (Lamport 2001, "Paxos Made Simple"). An acceptor writes its
vote to disk before it answers, so that a restarted seed continues as the same acceptor. A seed that has lost
its vote (it has no disk, or lost it) no longer votes.

A seed whose disk is blank may have lost its data, or may have crashed before its first save. It may vote
again only once all other seeds have answered it: each promises to accept nothing older and reports what it
has accepted, or reports that it is blank as well. Any earlier decision is reported by some seed that kept its
disk.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from embersill.council.terms import majority
from embersill.edge.records import Effects, Roster, Save, Vote, VoteBallot

MESSAGE_KIND = "election"  # of election messages between gateways
VOTE_KEY = "vote"  # key of the vote in the store
NO_BALLOT = VoteBallot()


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Asks an acceptor to accept nothing under an older ballot."""

    ballot: VoteBallot


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """An acceptor will accept nothing older than `ballot`; carries what it accepted last, if anything."""

    ballot: VoteBallot
    accepted: VoteBallot
    roster: Roster | None


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """Asks an acceptor to accept a roster."""

    ballot: VoteBallot
    roster: Roster


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """An acceptor has accepted the roster of that ballot."""

    ballot: VoteBallot


class Preempted(msgspec.Struct, frozen=True, tag="outbid"):
    """Rejection: the acceptor has promised a later ballot than the one of the request."""

    ballot: VoteBallot
    promised: VoteBallot


class Recall(msgspec.Struct, frozen=True, tag="recall"):
    """As `Prepare`, but sent by a seed whose disk is blank; its configured `seeds` must match."""

    ballot: VoteBallot
    seeds: tuple[str, ...]


class Blank(msgspec.Struct, frozen=True, tag="blank"):
    """The answer to `Recall` from a seed that has no vote either."""

    ballot: VoteBallot


Question = Prepare | Propose | Recall
Body = Prepare | Promise | Propose | Accepted | Preempted | Recall | Blank
Reply = Callable[[Body], None]


class Acceptor:
    """A Paxos acceptor: one seed's vote, stored on disk."""

    def __init__(self, vote: Vote | None, effects: Effects) -> None:
        """`vote`: None for a gateway that is not a seed, or that has lost its vote."""
        self.vote, self.effects = vote, effects

    def prepare(self, asked: Prepare | Recall, reply: Reply) -> None:
        """Promises a ballot unless a later one has been promised."""
        vote = self.vote
        if vote is None:
            return
        if asked.ballot < vote.promised:
            return reply(Preempted(asked.ballot, vote.promised))
        promise = Promise(asked.ballot, vote.accepted, vote.roster)
        return self.keep(msgspec.structs.replace(vote, promised=asked.ballot), lambda: reply(promise))

    def accept(self, asked: Propose, reply: Reply) -> None:
        """Accepts a roster unless a later ballot has been promised."""
        vote = self.vote
        if vote is None:
            return
        if asked.ballot < vote.promised:
            return reply(Preempted(asked.ballot, vote.promised))
        after = Vote(vote.seeds, asked.ballot, asked.ballot, asked.roster)
        return self.keep(after, lambda: reply(Accepted(asked.ballot)))

    def keep(self, vote: Vote, on_saved: Callable[[], None]) -> None:
        """Calls `on_saved` once the vote is on disk; after a failed write the request is not answered."""
        self.vote = vote

        def on_written(ok: bool) -> None:
            if ok:
                on_saved()

        self.effects.saves.append(Save(VOTE_KEY, msgspec.json.encode(vote), on_written))


class BallotAttempts:
    """A proposer's current attempt, and the number of the next one."""

    def __init__(self, ip: str, life: str) -> None:
        self.ip, self.life = ip, life
        self.highest_round = 0  # seen in any ballot
        self.ballot = NO_BALLOT
        self.promises: dict[str, Promise] = {}  # by the acceptor's IP address
        self.accepted: set[str] = set()  # IP addresses of acceptors
        self.blank: set[str] = set()  # IP addresses of seeds without a vote
        self.proposed: Roster | None = None

    def next(self) -> VoteBallot:
        """Begins another attempt, under an unused ballot."""
        self.highest_round += 1
        self.ballot = VoteBallot(self.highest_round, self.ip, self.life)
        self.promises, self.accepted, self.blank, self.proposed = {}, set(), set(), None
        return self.ballot

    def latest_accepted(self) -> Promise:
        """The promise with the latest accepted roster; an empty promise if there is none."""
        nothing = Promise(self.ballot, NO_BALLOT, None)
        return max(self.promises.values(), key=lambda one: one.accepted, default=nothing)

    def seen(self, ballot: VoteBallot) -> None:
        """Notes a ballot of any proposer, so that the next attempt uses a higher round."""
        self.highest_round = max(self.highest_round, ballot.round)


class Election:
    """One gateway's part in electing the first roster: acceptor and, in its turn, proposer."""

    def __init__(
        self,
        ip: str,
        life: str,
        vote: Vote | None,
        effects: Effects,
        on_elected: Callable[[Roster], None],
        blank_seeds: tuple[str, ...] = (),
    ) -> None:
        """`life`: identifies this run of the process. `on_elected` is called with the decided roster.

        `blank_seeds`: the seeds' IP addresses for a seed whose disk is blank; empty for all other gateways.
        """
        self.ip, self.effects, self.on_elected = ip, effects, on_elected
        self.blank_seeds = blank_seeds
        self.undecided: Callable[[], bool] = lambda: True  # True while no roster is known here
        self.acceptor = Acceptor(vote, effects)
        self.ballots = BallotAttempts(ip, life)
        self.roster: Callable[[], Roster | None] = lambda: None  # the roster that this gateway would propose
        self.address_of: Callable[[str], str | None] = lambda name: None  # a linked gateway's IP address
        self.linked: Callable[[], list[str]] = list  # names of the linked gateways

    @property
    def votes(self) -> bool:
        """True while this gateway is a seed that has its vote."""
        return self.acceptor.vote is not None

    @property
    def seeds(self) -> tuple[str, ...]:
        """IP addresses of all acceptors."""
        vote = self.acceptor.vote
        return vote.seeds if vote is not None else self.blank_seeds

    @property
    def blank(self) -> bool:
        """True for a seed without a vote that may recover one from the other seeds."""
        return not self.votes and bool(self.blank_seeds)

    def recall(self) -> None:
        """Asks all other seeds for the vote that this one may have lost."""
        self.ask_others(Recall(self.ballots.next(), self.blank_seeds))

    def attempt(self) -> None:
        """Asks all seeds for their votes, under a new ballot."""
        if self.votes:
            self.ask_all(Prepare(self.ballots.next()))

    def ask_all(self, asked: Prepare | Propose) -> None:
        """Asks the linked seeds and this one."""
        self.ask_others(asked)
        self.asked(asked, lambda answer: self.on_answer(self.ip, answer))

    def ask_others(self, asked: Question) -> None:
        """Asks the linked seeds."""
        for name in self.linked():
            if self.address_of(name) in self.seeds:
                self.send(name, asked)

    def send(self, name: str, body: Body) -> None:
        """Queues a message to a linked gateway."""
        self.effects.mail.append((name, {"kind": MESSAGE_KIND, "body": msgspec.to_builtins(body)}))

    def heard(self, peer: str, message: object) -> None:
        """Handles a seed's request or answer; raises msgspec.ValidationError for anything else."""
        body = msgspec.convert(message, Body)
        if isinstance(body, Question):
            return self.asked(body, lambda answer: self.send(peer, answer)) if self.undecided() else None
        address = self.address_of(peer)
        return self.on_answer(address, body) if address in self.seeds else None

    def asked(self, body: Question, reply: Reply) -> None:
        """Handles a request to this gateway as an acceptor."""
        self.ballots.seen(body.ballot)
        if isinstance(body, Recall) and body.seeds != self.seeds:
            return None
        if self.blank and isinstance(body, Recall):
            return reply(Blank(body.ballot))
        if isinstance(body, Propose):
            return self.acceptor.accept(body, reply)
        return self.acceptor.prepare(body, reply)

    def on_answer(self, address: str | None, body: Body) -> None:
        """Handles an acceptor's answer to the current attempt; answers to earlier attempts are ignored."""
        if isinstance(body, Preempted):
            return self.ballots.seen(body.promised)
        if address is None or body.ballot != self.ballots.ballot:
            return None
        if self.blank:
            return self.on_recall_answer(address, body)
        if isinstance(body, Promise):
            return self.promised(address, body)
        if isinstance(body, Accepted):
            return self.on_accepted(address)
        return None

    def on_recall_answer(self, address: str, body: Body) -> None:
        """Restores this seed's vote from the others' accepted rosters, once all of them have answered."""
        ballots = self.ballots
        if isinstance(body, Promise):
            ballots.promises[address] = body
        elif isinstance(body, Blank):
            ballots.blank.add(address)
        if {self.ip, *ballots.promises, *ballots.blank} != set(self.seeds):
            return
        latest_accepted = ballots.latest_accepted()
        vote = Vote(self.blank_seeds, ballots.ballot, latest_accepted.accepted, latest_accepted.roster)
        self.acceptor.keep(vote, lambda: None)

    def promised(self, address: str, promise: Promise) -> None:
        """On a majority's promises, proposes the latest roster that one of them accepted, else its own."""
        ballots = self.ballots
        ballots.promises[address] = promise
        if ballots.proposed is not None or len(ballots.promises) < majority(len(self.seeds)):
            return
        ballots.proposed = ballots.latest_accepted().roster or self.roster()
        if ballots.proposed is not None:
            self.ask_all(Propose(ballots.ballot, ballots.proposed))

    def on_accepted(self, address: str) -> None:
        """Counts an acceptance; the roster is decided once a majority has accepted it under one ballot."""
        ballots = self.ballots
        ballots.accepted.add(address)
        if ballots.proposed is not None and len(ballots.accepted) == majority(len(self.seeds)):
            self.on_elected(ballots.proposed)
