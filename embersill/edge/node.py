"""One gateway's part in the system, put together: who is there, what is agreed on, which backends there are.

Everything here decides; nothing does I/O. Whoever drives it brings links, messages, calls and the time, and
carries out `effects`: mail to peers, and saves. What the data plane needs is told by `on_table`,
`on_instances`, and `on_slices` and `on_lent` of `demand`; what has changed, a line each, by `on_view`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from embersill.edge.consensus.agreement import Agreement
from embersill.edge.records import Effects, Message, Roster, Save, Stored
from embersill.edge.calls import Answered, Calls
from embersill.edge.discovery.registry import Registry
from embersill.edge.quota.demand import QUOTA_MESSAGE_KINDS, Demand
from embersill.edge.consensus.distribution import Distribution
from embersill.edge.configuration.document import EMPTY, State, read_document, revision
from embersill.edge.consensus.election import MESSAGE_KIND as ELECTION
from embersill.edge.throttling.figures import SlowdownCounts
from embersill.edge.consensus.founding import Founding
from embersill.edge.consensus.membership import Shortfall
from embersill.edge.configuration.policy import BUILT_IN_POLICY, Policy
from embersill.edge.throttling.reports import Reports
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.configuration.lapses import lapses_of, slowed_tenants
from embersill.edge.rollout.roller import RolloutRunner
from embersill.edge.configuration.rollouts import in_force, label
from embersill.edge.discovery.loads import Loads
from embersill.edge.throttling.squeezer import LapseRunner
from embersill.edge.configuration.routes import Table
from embersill.edge.status import status_of
from embersill.edge.verdict import done

ANSWERS = frozenset(("told", "result", "known", "reported", "watched", "lent"))  # to this life's questions

Handler = Callable[[str, Message], None]  # hears the peer's name and what it says


def counts(told: dict[str, Any]) -> dict[str, int]:
    """Numbers by name, as a message has them."""
    return {str(name): int(number) for name, number in told.items()}


class Node:
    """All parts of one gateway that decide about the system; see the module."""

    def __init__(
        self,
        hello: Hello,
        seeds: Iterable[str],
        stored: Stored,
        chance: random.Random,
        now: float,
        beat_every: float = 1.0,
    ) -> None:
        hello = msgspec.structs.replace(hello, elector=stored.open_vote is not None)
        self.me, self.now = hello, now
        self.effects = Effects()
        self.peers = PeerSet(hello, seeds, self.effects, now)
        self.agreement = Agreement(
            hello.name, hello.store, self.effects, chance, now, life=hello.boot, durable=hello.core
        )
        self.agreement.on_state, self.agreement.on_roster = self.adopt, self.seated
        self.registry = Registry(hello, self.peers, self.effects, beat_every)
        self.registry.on_news = self.news
        self.registry.speaks = self.agreement.speaks
        self.registry.departures.confirm = self.agreement.confirm
        self.loads = Loads(hello, self.peers, self.effects)
        self.founding = Founding(hello, self.peers, self.agreement, stored, self.effects, now)
        self.distribution = Distribution(
            self.peers, self.agreement, self.effects, lambda: self.state, lambda: self.now
        )
        self.founding.up_to_date = lambda name: self.distribution.has_version(name, revision(self.state))
        self.demand = Demand(hello, self.peers, self.agreement, self.effects, now)
        self.state: State = EMPTY
        self.table: Table | None = None
        self.on_table: Callable[[Table], None] = lambda table: None
        self.on_view: Callable[[str], None] = lambda text: None  # hears what has changed, a line each
        self.reports = Reports(hello, self.peers, self.effects)
        self.calls = Calls(hello, self.peers, self.agreement, self.registry, self.reports, self.effects)
        self.calls.when_applied = self.distribution.when_applied
        self.calls.on_view = lambda text: self.on_view(text)
        state, up_to_date = lambda: self.state, self.distribution.all_up_to_date
        self.squeezer = LapseRunner(hello, self.peers, self.agreement, state, up_to_date, now)
        self.roller = RolloutRunner(hello, self.peers, self.agreement, self.effects, state, up_to_date, now)
        self.handlers = self.handlers_by_kind()
        self.duties = self.squeezer.duty, self.roller.duty
        for duty in self.duties:
            duty.on_view = lambda text: self.on_view(text)
        self.policy: tuple[Policy, str] = BUILT_IN_POLICY, ""  # in force here, and the stretch of a run
        # hears of another policy, or another stretch of a run, in which requests are counted
        self.on_policy: Callable[[Policy, str], None] = lambda policy, label: None
        self.registry.on_view = lambda text: self.on_view(text)
        self.short: Shortfall | None = None  # what the members can't bear, as told last
        self.viewed = ("", 0)  # its zone's keeper and the number of gateways, as told last
        self.on_instances: Callable[[list[Any]], None] = lambda news: None
        self.agreement.load(stored)
        if self.agreement.roster is not None:
            self.peers.roster = self.agreement.roster
        self.backends = stored.backends
        if stored.gateways:
            self.peers.expect_count(stored.gateways, now)

    def begin(self) -> None:
        """Once whoever drives this listens: backends that the disk remembers serve from the start.

        The configuration doesn't: until a majority's word has come, here or by way of a member that has it,
        what the disk has may be old.
        """
        news = self.registry.restore(self.backends, self.now)
        if news:
            self.on_instances(news)

    def leave(self) -> None:
        """This gateway was told to stop: duties go to others, and its seat to a newcomer if there is one."""
        self.founding.stopping = True
        self.me = msgspec.structs.replace(self.me, leaving=True)
        for duty in self.duties:
            duty.hand_over()
        self.effects.mail.extend((name, {"kind": "leaving"}) for name in self.peers.linked)

    # links

    def hello(self) -> Hello:
        """How this gateway presents itself to a peer."""
        epoch = self.agreement.roster.epoch if self.agreement.roster is not None else 0
        version, orders = revision(self.state)
        return msgspec.structs.replace(self.me, epoch=epoch, version=version, orders=orders)

    def linked(self, hello: Hello, now: float) -> None:
        """A peer has presented itself. Each tells the other what it may lack."""
        self.now = max(self.now, now)
        self.peers.link(hello, self.now)
        mail = self.effects.mail
        roster = self.agreement.roster
        if roster is not None and roster.epoch > hello.epoch:
            mail.append((hello.name, self.agreement.roster_message(hello.name)))
        self.distribution.linked(hello)
        self.agreement.peer_linked(hello.name)
        self.registry.linked(hello.name)
        self.loads.linked(hello.name)
        self.on_view(f"link peer={hello.name} up zone={hello.zone} core={hello.core}")
        if self.peers.announced_count >= 0:
            mail.append((hello.name, {"kind": "present", "count": self.peers.announced_count}))
        self.demand.linked(hello)
        self.distribution.catch_up()

    def unlinked(self, name: str, now: float) -> None:
        """The link to a peer is gone."""
        self.now = max(self.now, now)
        self.peers.unlink(name, self.now)
        self.distribution.unlinked(name)
        self.registry.unlinked(name)
        self.loads.unlinked(name)
        self.on_view(f"link peer={name} down")

    def heard(self, peer: str, message: Message, now: float) -> None:
        """A message of a linked peer's; KeyError, TypeError, ValueError for one that is none."""
        self.now = self.agreement.now = max(self.now, now)
        self.peers.touch(peer, self.now)
        kind = message["kind"]
        if kind in ANSWERS and message["life"] != self.me.boot:
            return  # an earlier life of this process had asked, under a number that may stand for another now
        handle = self.handlers.get(kind)
        if handle is not None:
            handle(peer, message)

    def handlers_by_kind(self) -> dict[str, Handler]:
        """What becomes of each kind of message; others come from gateways of another version, and go by."""
        return {
            "ask": self.agreement.heard,
            "told": self.agreement.heard,
            "seated": lambda peer, told: self.agreement.handover.told(peer, int(told["epoch"])),
            "roster": lambda peer, told: self.agreement.begin(
                msgspec.convert(told["roster"], Roster), told["base"]
            ),
            ELECTION: lambda peer, told: self.founding.election.heard(peer, told["body"]),
            "version": self.distribution.heard,
            "fetch": lambda peer, told: self.distribution.send_state(peer),
            "document": lambda peer, told: self.adopt(msgspec.convert(told["state"], State)),
            "present": self.peers.heard,
            "leaving": lambda peer, told: self.peers.mark_leaving(peer),
            "news": lambda peer, told: self.registry.heard(peer, told, self.now),
            "known": lambda peer, told: self.registry.heard(peer, told, self.now),
            "out": lambda peer, told: self.loads.record_report(peer, counts(told["out"])),
            "loads": lambda peer, told: self.loads.heard(counts(told["out"])),
            "report": self.reports.gather.heard,
            "reported": self.reports.gather.heard,
            "watch": self.roller.gather.heard,
            "watched": self.roller.gather.heard,
            "call": lambda peer, told: self.calls.called(peer, told, self.now),
            "result": lambda peer, told: self.calls.result(told, self.now),
            **{
                kind: lambda peer, told: self.demand.heard(peer, told, self.now)
                for kind in QUOTA_MESSAGE_KINDS
            },
        }

    def tick(self, now: float) -> None:
        """What is due by now in every part."""
        self.now = max(self.now, now)
        self.agreement.tick(self.now)
        self.peers.tick(self.now)
        self.founding.tick(self.now)
        self.registry.tick(self.now)
        self.demand.tick(self.now)
        self.squeezer.tick(self.now)
        self.reports.gather.tick(self.now)
        self.roller.tick(self.now)
        self.view()
        self.calls.tick(self.now)
        self.distribution.tick()

    # the configuration

    def view(self) -> None:
        """Tells who keeps this zone's backends, how many gateways there are, and whether the members suffice,
        where that has changed."""
        viewed = self.peers.keeper(self.me.zone), self.peers.count
        if viewed != self.viewed:
            self.viewed = viewed
            self.on_view(f"view keeper={viewed[0] or 'none'} gateways={viewed[1]}")
        short = self.founding.shortfall() if self.agreement.member is not None else None
        if short != self.short:
            self.short = short
            self.on_view(f"members short: {short}" if short is not None else "members suffice")

    def seated(self, roster: Roster) -> None:
        """Other members have taken over the configuration."""
        self.peers.roster = roster
        self.on_view(f"members epoch={roster.epoch} names={','.join(sorted(roster.members))}")
        for name in self.peers.linked:
            self.effects.mail.append((name, self.agreement.roster_message(name)))

    def adopt(self, state: State) -> None:
        """A newer version is in force here from now on; an older one never is again."""
        if revision(state) <= revision(self.state):
            return
        document = read_document(state["document"])
        if document.is_error():
            return
        self.state, self.table = state, Table(document.ok, slowed_tenants(state))
        self.demand.table = self.table
        self.reports.figures.follow(lapses_of(state)["orders"])
        if self.me.core:
            self.effects.saves.append(Save("state", msgspec.msgpack.encode(state), lambda good: None))
        self.on_table(self.table)
        policy = in_force(state, self.me.zone, self.me.name), label(state)
        if policy != self.policy:
            self.policy = policy
            self.on_policy(*policy)
        self.distribution.announce()

    @property
    def figures(self) -> SlowdownCounts | None:
        """Where requests are counted; None while there are no orders about lapsed tenants."""
        return self.reports.figures if self.reports.figures.now else None

    # calls of operators and backends

    def call(self, what: str, body: Any, answered: Answered, now: float) -> None:
        """Settles a call, here or elsewhere; `answered` hears its verdict, once. `what`: see `calls`."""
        self.now = self.agreement.now = max(self.now, now)
        if what == "status":
            return answered(done(status_of(self)))
        return self.calls.call(what, body, answered, self.now)

    # news

    def news(self, news: list[Any]) -> None:
        """Backends have changed."""
        self.on_instances(news)
