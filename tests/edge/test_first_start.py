"""The very first start: the seeds elect one first roster in spite of losses during the election."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec
import pytest

from embersill.edge.consensus.election import (
    Accepted,
    Acceptor,
    Blank,
    Body,
    Election,
    Preempted,
    Prepare,
    Promise,
    Propose,
    Recall,
)
from embersill.edge.local import Local
from embersill.edge.program import first_vote
from embersill.edge.records import Effects, Roster, Seat, Vote, VoteBallot
from embersill.edge.storage.store import Store
from embersill.lab.edge import first_start

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
ROSTER_1 = Roster(1, {"m1": Seat(SEEDS[0], "s1")})
ROSTER_2 = Roster(1, {"m2": Seat(SEEDS[1], "s2")})


@pytest.mark.parametrize("seed", range(16))
def test_losses_within_the_first_start_leave_one_first_roster(seed: int) -> None:
    assert not first_start.first_losses(seed).failures


@pytest.mark.parametrize("seed", range(4))
def test_all_killed_in_the_first_start_go_on_by_their_disks(seed: int) -> None:
    assert not first_start.all_killed(seed).failures


@pytest.mark.parametrize("seed", range(8))
def test_seeds_that_died_before_their_first_save_get_votes_from_all_others(seed: int) -> None:
    assert not first_start.killed_before_the_first_save(seed).failures


@pytest.mark.parametrize("seed", range(6))
def test_another_seed_founds_in_the_place_of_one_that_is_lost(seed: int) -> None:
    assert not first_start.founder_gone(seed).failures


@pytest.mark.parametrize("seed", range(4))
def test_a_roster_that_was_decided_is_kept_though_its_proposer_is_lost(seed: int) -> None:
    assert not first_start.founder_lost_as_elected(seed).failures


class AcceptorHarness:
    """An acceptor whose saves succeed or fail as the test chooses, and its answers."""

    def __init__(self) -> None:
        self.effects = Effects()
        self.acceptor = Acceptor(Vote(SEEDS), self.effects)
        self.heard: list[Body] = []

    def prepare(self, ballot: VoteBallot, disk: bool = True) -> None:
        self.acceptor.prepare(Prepare(ballot), self.heard.append)
        self.end_saves(disk)

    def accept(self, ballot: VoteBallot, roster: Roster, disk: bool = True) -> None:
        self.acceptor.accept(Propose(ballot, roster), self.heard.append)
        self.end_saves(disk)

    def end_saves(self, good: bool) -> None:
        while self.effects.saves:
            self.effects.saves.pop(0).then(good)


def test_a_vote_is_answered_for_once_it_is_on_disk_and_an_older_ballot_never() -> None:
    harness = AcceptorHarness()
    first, second = VoteBallot(1, SEEDS[0], "a"), VoteBallot(2, SEEDS[1], "b")
    harness.accept(first, ROSTER_1, disk=False)
    assert harness.heard == []
    harness.accept(first, ROSTER_1)
    harness.prepare(second)
    assert harness.heard == [Accepted(first), Promise(second, first, ROSTER_1)]
    harness.accept(first, ROSTER_2)
    harness.prepare(first)
    assert harness.heard[2:] == [Preempted(first, second), Preempted(first, second)]


def test_a_gateway_without_a_vote_answers_nothing() -> None:
    heard: list[Body] = []
    acceptor = Acceptor(None, Effects())
    acceptor.prepare(Prepare(VoteBallot(1, SEEDS[0], "a")), heard.append)
    acceptor.accept(Propose(VoteBallot(1, SEEDS[0], "a"), ROSTER_1), heard.append)
    assert heard == [] and not acceptor.effects.saves


@pytest.mark.parametrize("seed", range(20))
def test_of_two_proposers_in_any_order_one_roster_is_decided(seed: int) -> None:
    """Simulates single-decree Paxos with reordered and lost messages; no two rosters may be decided."""
    chance = random.Random(seed)
    harnesses = {ip: AcceptorHarness() for ip in SEEDS}
    decided: set[str] = set()
    rounds = {ip: number for number, ip in enumerate(SEEDS[:2])}
    for _ in range(40):
        proposer, own = chance.choice(((SEEDS[0], ROSTER_1), (SEEDS[1], ROSTER_2)))
        rounds[proposer] += 1
        ballot = VoteBallot(rounds[proposer], proposer, "a")
        promises: list[Promise] = []
        for harness in chance.sample(list(harnesses.values()), chance.choice((1, 2, 3))):
            harness.prepare(ballot)
            answer = harness.heard[-1]
            if isinstance(answer, Promise) and answer.ballot == ballot:
                promises.append(answer)
        if len(promises) < 2:
            continue
        newest = max(promises, key=lambda promise: promise.accepted)
        roster = newest.roster or own
        accepted_count = 0
        for harness in chance.sample(list(harnesses.values()), chance.choice((0, 1, 2, 3))):
            harness.accept(ballot, roster)
            accepted_count += harness.heard[-1] == Accepted(ballot)
        if accepted_count >= 2:
            decided.update(roster.members)
    assert len(decided) <= 1


def local_of(first: bool, ip: str) -> Local:
    """The settings that matter for a vote."""
    settings = {"first_start": first, "ip_address": ip, "seed_nodes": [f"{seed}:80" for seed in SEEDS]}
    return settings  # type: ignore[return-value]


def test_only_a_seed_at_the_very_first_start_gets_a_vote_and_its_disk_has_it_at_once(tmp_path: Path) -> None:
    assert first_vote(local_of(True, SEEDS[1])) == Vote(SEEDS)
    assert first_vote(local_of(False, SEEDS[1])) is None
    assert first_vote(local_of(True, "10.0.0.9")) is None
    store = Store(tmp_path, 64.0)
    assert store.begin(lambda: "nonce", Vote(SEEDS)).ok.vote == Vote(SEEDS)
    store.environment.close()
    again = Store(tmp_path, 64.0)
    assert again.begin(lambda: "other").ok.vote == Vote(SEEDS)
    again.environment.close()
    empty = Store(tmp_path / "wiped", 64.0)
    assert empty.begin(lambda: "third").ok.blank
    empty.write({"gateways": b"3"})
    empty.environment.close()
    known = Store(tmp_path / "wiped", 64.0)
    assert not known.begin(lambda: "fourth").ok.blank, "it was part of a system"
    known.environment.close()


def seed_without_vote(seeds: tuple[str, ...] = SEEDS) -> tuple[Election, Effects]:
    effects = Effects()
    election = Election(SEEDS[0], "life", None, effects, lambda roster: None, seeds)
    election.linked = lambda: ["n2", "n3"]
    election.address_of = lambda name: {"n2": SEEDS[1], "n3": SEEDS[2]}.get(name)
    return election, effects


def test_a_blank_seed_takes_over_what_the_others_took_and_asks_all_of_them() -> None:
    election, effects = seed_without_vote()
    election.recall()
    asked = [name for name, _ in effects.mail]
    ballot, older = election.ballots.ballot, VoteBallot(0, SEEDS[1], "b")
    election.heard("n2", msgspec.to_builtins(Promise(ballot, older, ROSTER_1)))
    assert asked == ["n2", "n3"] and election.blank
    election.heard("n3", msgspec.to_builtins(Blank(ballot)))
    assert election.votes and election.acceptor.vote == Vote(SEEDS, ballot, older, ROSTER_1)


def test_a_blank_seed_that_knows_a_roster_or_was_told_other_seeds_answers_no_recall() -> None:
    recall = msgspec.to_builtins(Recall(VoteBallot(1, SEEDS[1], "b"), SEEDS))
    election, effects = seed_without_vote()
    election.heard("n2", recall)
    assert [told["body"]["type"] for _, told in effects.mail] == ["blank"]
    election.undecided = lambda: False
    election.heard("n2", recall)
    stranger, its_effects = seed_without_vote(("10.0.0.7", "10.0.0.8", SEEDS[0]))
    stranger.heard("n2", recall)
    assert len(effects.mail) == 1 and not its_effects.mail
