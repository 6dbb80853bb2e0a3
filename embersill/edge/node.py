"""The control plane of one gateway: peers, replicated configuration, backends and quotas, put together.

Everything here only decides and does no I/O. The driver supplies links, messages, calls and the time, and
carries out `effects`: messages to peers, and saves. The data plane is updated through `on_table`,
`on_instances`, and `on_slices` and `on_lent` of `demand`; `on_view` reports each change in one line.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from functools import partial
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
from embersill.edge.throttling.slowdown_counts import SlowdownCounts
from embersill.edge.consensus.founding import Founding
from embersill.edge.consensus.membership import Shortfall
from embersill.edge.configuration.policy import BUILT_IN_POLICY, Policy
from embersill.edge.throttling.reports import Reports
from embersill.edge.peers.directory import DIRECTORY_MESSAGE_KINDS, GatewayDirectory
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.peers.quota_share import QuotaShare
from embersill.edge.configuration.lapses import lapses_of, slowed_tenants
from embersill.edge.rollout.rollout_runner import RolloutRunner
from embersill.edge.configuration.rollouts import in_force, label
from embersill.edge.discovery.loads import Loads
from embersill.edge.throttling.lapse_runner import LapseRunner
from embersill.edge.configuration.routes import Table
from embersill.edge.status import status_of
from embersill.edge.verdict import done

ANSWERS = frozenset(
    ("told", "result", "known", "reported", "watched", "lent")
)  # to requests of this run of the process

Handler = Callable[[str, Message], None]  # called with the peer's name and its message


def counts(told: dict[str, Any]) -> dict[str, int]:
    """Reads the numbers by name in a message."""
    return {str(name): int(number) for name, number in told.items()}


class Node:
    """The control plane of one gateway; see the module."""

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
        self.agreement.on_state, self.agreement.on_roster = self.adopt, self.members_changed
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
        self.directory = GatewayDirectory(hello.name, self.peers, self.effects)
        self.quota_share = QuotaShare(hello.name, self.peers, self.effects, now)
        self.quota_share.on_view = lambda text: self.on_view(text)
        self.directory.on_own_width = partial(self.quota_share.note, hello.name)
        self.demand = Demand(
            hello, self.peers, self.agreement, self.directory, self.quota_share, self.effects, now
        )
        self.build: Mapping[str, str] = {}  # the program's identity, which `status` tells
        self.state: State = EMPTY
        self.table: Table | None = None
        self.on_table: Callable[[Table], None] = lambda table: None
        self.on_view: Callable[[str], None] = lambda text: None  # called with a line per change
        self.reports = Reports(hello, self.peers, self.effects)
        self.calls = Calls(hello, self.peers, self.agreement, self.registry, self.reports, self.effects)
        self.calls.when_applied = self.distribution.when_applied
        self.calls.on_view = lambda text: self.on_view(text)
        state, up_to_date = lambda: self.state, self.distribution.all_up_to_date
        self.lapse_runner = LapseRunner(hello, self.peers, self.agreement, state, up_to_date, now)
        self.rollout_runner = RolloutRunner(
            hello, self.peers, self.agreement, self.effects, state, up_to_date, now
        )
        self.handlers = self.handlers_by_kind()
        self.duties = self.lapse_runner.duty, self.rollout_runner.duty
        for duty in self.duties:
            duty.on_view = lambda text: self.on_view(text)
        self.policy: tuple[Policy, str] = (
            BUILT_IN_POLICY,
            "",
        )  # the policy in force here, and the stage of the run
        # called when the policy changes, or the stage of the run for which requests are counted
        self.on_policy: Callable[[Policy, str], None] = lambda policy, label: None
        self.registry.on_view = lambda text: self.on_view(text)
        self.short: Shortfall | None = None  # as last reported by `on_view`
        self.viewed = ("", 0)  # the zone's keeper and the number of gateways, as last reported
        self.on_instances: Callable[[list[Any]], None] = lambda news: None
        self.agreement.load(stored)
        if self.agreement.roster is not None:
            self.peers.roster = self.agreement.roster
            if self.agreement.member is not None:
                self.directory.restore(
                    stored.directory,
                    stored.gateways,
                    self.agreement.roster,
                    self.has_disk_of(self.agreement.roster),
                    now,
                )
        self.backends = stored.backends

    def begin(self) -> None:
        """Called once the driver is set up: backends stored on disk serve from the start.

        The stored configuration is not used: it may be outdated until a majority has confirmed it, to this
        gateway or to a member that sends it on.
        """
        news = self.registry.restore(self.backends, self.now)
        if news:
            self.on_instances(news)

    def leave(self) -> None:
        """Starts the shutdown: hands duties over, and gives the seat up to a newcomer if there is one."""
        self.founding.stopping = True
        self.me = msgspec.structs.replace(self.me, leaving=True)
        for duty in self.duties:
            duty.hand_over()
        self.effects.mail.extend((name, {"kind": "leaving"}) for name in self.peers.linked)

    # links

    def hello(self) -> Hello:
        """This gateway's current hello message."""
        epoch = self.agreement.roster.epoch if self.agreement.roster is not None else 0
        version, orders = revision(self.state)
        return msgspec.structs.replace(
            self.me, epoch=epoch, version=version, orders=orders, keeps_directory=True
        )

    def linked(self, hello: Hello, now: float) -> None:
        """Handles a new link: sends the peer what it may lack."""
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
        self.directory.linked(hello.name, self.now)
        self.demand.linked(hello)
        self.distribution.catch_up()

    def unlinked(self, name: str, now: float) -> None:
        """Handles the loss of a link to a peer."""
        self.now = max(self.now, now)
        self.peers.unlink(name, self.now)
        self.directory.unlinked(name, self.peers.unlinked_since.get(name, self.now))
        self.distribution.unlinked(name)
        self.registry.unlinked(name)
        self.loads.unlinked(name)
        self.on_view(f"link peer={name} down")

    def heard(self, peer: str, message: Message, now: float) -> None:
        """Handles a linked peer's message; raises KeyError, TypeError or ValueError for an invalid one."""
        self.now = self.agreement.now = max(self.now, now)
        self.peers.touch(peer, self.now)
        kind = message["kind"]
        if kind in ANSWERS and message["life"] != self.me.boot:
            return  # answers an earlier run of this process, whose request numbers may be in use again
        handle = self.handlers.get(kind)
        if handle is not None:
            handle(peer, message)

    def handlers_by_kind(self) -> dict[str, Handler]:
        """Handlers by message kind; unknown kinds, as of gateways of other versions, are ignored."""
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
            "present": self.quota_share.heard,
            "leaving": lambda peer, told: self.peers.mark_leaving(peer),
            "news": lambda peer, told: self.registry.heard(peer, told, self.now),
            "known": lambda peer, told: self.registry.heard(peer, told, self.now),
            "out": lambda peer, told: self.loads.record_report(peer, counts(told["out"])),
            "loads": lambda peer, told: self.loads.heard(counts(told["out"])),
            "report": self.reports.gather.heard,
            "reported": self.reports.gather.heard,
            "watch": self.rollout_runner.gather.heard,
            "watched": self.rollout_runner.gather.heard,
            "call": lambda peer, told: self.calls.handle_forwarded(peer, told, self.now),
            "result": lambda peer, told: self.calls.result(told, self.now),
            **{
                kind: lambda peer, told: self.demand.heard(peer, told, self.now)
                for kind in QUOTA_MESSAGE_KINDS
            },
            **{
                kind: lambda peer, told: self.directory.heard(peer, told, self.now)
                for kind in DIRECTORY_MESSAGE_KINDS
            },
        }

    def tick(self, now: float) -> None:
        """Runs everything that is due in each part."""
        self.now = max(self.now, now)
        self.agreement.tick(self.now)
        self.peers.tick(self.now)
        self.directory.tick(self.now)
        self.quota_share.tick(self.now)
        self.peers.count = self.quota_share.count
        self.founding.tick(self.now)
        self.registry.tick(self.now)
        self.demand.tick(self.now)
        self.lapse_runner.tick(self.now)
        self.reports.gather.tick(self.now)
        self.rollout_runner.tick(self.now)
        self.view()
        self.calls.tick(self.now)
        self.distribution.tick()

    # the configuration

    def view(self) -> None:
        """Reports changes of this zone's keeper, of the number of gateways, and of whether the members
        suffice."""
        viewed = self.peers.keeper(self.me.zone), self.peers.count
        if viewed != self.viewed:
            self.viewed = viewed
            self.on_view(f"view keeper={viewed[0] or 'none'} gateways={viewed[1]}")
        short = self.founding.shortfall() if self.agreement.member is not None else None
        if short != self.short:
            self.short = short
            self.on_view(f"members short: {short}" if short is not None else "members suffice")

    def has_disk_of(self, roster: Roster) -> bool:
        """True if the roster names this gateway with the disk that it has: what it stored is not lost."""
        seat = roster.members.get(self.me.name)
        return seat is not None and seat.store == self.me.store

    def members_changed(self, roster: Roster) -> None:
        """Handles a new epoch: announces its roster to all linked peers."""
        before, self.peers.roster = self.peers.roster, roster
        self.directory.change_members(before, roster, self.has_disk_of(roster), self.now)
        self.quota_share.change_members(roster)
        self.demand.change_members(before, roster, self.now)
        self.on_view(f"members epoch={roster.epoch} names={','.join(sorted(roster.members))}")
        for name in self.peers.linked:
            self.effects.mail.append((name, self.agreement.roster_message(name)))

    def adopt(self, state: State) -> None:
        """Puts a newer state in force here; older ones are ignored."""
        if revision(state) <= revision(self.state):
            return
        document = read_document(state["document"])
        if document.is_error():
            return
        self.state, self.table = state, Table(document.ok, slowed_tenants(state))
        self.demand.table = self.table
        self.reports.slowdown_counts.follow(lapses_of(state)["orders"])
        if self.me.core:
            self.effects.saves.append(Save("state", msgspec.msgpack.encode(state), lambda good: None))
        self.on_table(self.table)
        policy = in_force(state, self.me.zone, self.me.name), label(state)
        if policy != self.policy:
            self.policy = policy
            self.on_policy(*policy)
        self.distribution.announce()

    @property
    def slowdown_counts(self) -> SlowdownCounts | None:
        """Request counts for reports; None while there are no orders about lapsed tenants."""
        return self.reports.slowdown_counts if self.reports.slowdown_counts.now else None

    # calls of operators and backends

    def call(self, what: str, body: Any, answered: Answered, now: float) -> None:
        """Handles or forwards a call; `answered` is called once, with the verdict. `what`: see `calls`."""
        self.now = self.agreement.now = max(self.now, now)
        if what == "status":
            return answered(done(status_of(self)))
        return self.calls.call(what, body, answered, self.now)

    # news

    def news(self, news: list[Any]) -> None:
        """Passes changes of backends to the data plane."""
        self.on_instances(news)
