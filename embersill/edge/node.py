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

from embersill.edge.agreement import Agreement
from embersill.edge.records import Effects, Message, Roster, Save, Stored
from embersill.edge.calls import Answered, Calls
from embersill.edge.cell import Cell
from embersill.edge.demand import DEMAND, Demand
from embersill.edge.document import EMPTY, State, read_document, stand
from embersill.edge.figures import Figures
from embersill.edge.founding import Founding
from embersill.edge.policy import AS_BUILT, Policy
from embersill.edge.reports import Reports
from embersill.edge.roll import Hello, Roll
from embersill.edge.lapses import lapses_of, squeezed
from embersill.edge.roller import Roller
from embersill.edge.rollouts import in_force, label
from embersill.edge.loads import Loads
from embersill.edge.squeezer import Squeezer
from embersill.edge.routes import Table
from embersill.edge.status import status_of
from embersill.edge.verdict import done

FETCH_AGAIN = 0.4  # seconds after which a document that did not come is asked for elsewhere
ACKED_WITHIN = 0.5  # seconds that an operator's change waits for the gateways' word
ANSWERS = frozenset(("told", "result", "known", "reported", "watched", "lent"))  # to this life's questions


class Node:
    def __init__(
        self,
        hello: Hello,
        seeds: Iterable[str],
        stored: Stored,
        chance: random.Random,
        now: float,
        beat_every: float = 1.0,
    ) -> None:
        self.me, self.now = hello, now
        self.effects = Effects()
        self.roll = Roll(hello, seeds, self.effects, now)
        self.agreement = Agreement(
            hello.name, hello.store, self.effects, chance, now, life=hello.boot, durable=hello.core
        )
        self.agreement.on_state, self.agreement.on_roster = self.adopt, self.seated
        self.cell = Cell(hello, self.roll, self.effects, beat_every)
        self.cell.on_news = self.news
        self.cell.speaks = self.agreement.speaks
        self.cell.departures.confirm = self.agreement.confirm
        self.loads = Loads(hello, self.roll, self.effects)
        self.founding = Founding(hello, self.roll, self.agreement, now)
        self.founding.up_to_date = lambda name: self.newest.get(name, (0, 0)) >= stand(self.state)
        self.demand = Demand(hello, self.roll, self.agreement, self.effects, now)
        self.state: State = EMPTY
        self.table: Table | None = None
        self.newest: dict[str, tuple[int, int]] = {}  # how new what peers have is, as they told
        self.fetched_at, self.fetched_from = float("-inf"), ""
        # changes, until gateways have them
        self.waiting: list[tuple[float, tuple[int, int], Callable[[], None]]] = []
        self.on_table: Callable[[Table], None] = lambda table: None
        self.on_view: Callable[[str], None] = lambda text: None  # hears what has changed, a line each
        self.reports = Reports(hello, self.roll, self.effects)
        self.calls = Calls(hello, self.roll, self.agreement, self.cell, self.reports, self.effects)
        self.calls.when_applied = self.when_applied
        self.calls.on_view = lambda text: self.on_view(text)
        self.squeezer = Squeezer(
            hello,
            self.roll,
            self.agreement,
            lambda: self.state,
            lambda: self.all_have(stand(self.state)),
            now,
        )
        self.roller = Roller(
            hello,
            self.roll,
            self.agreement,
            self.effects,
            lambda: self.state,
            lambda: self.all_have(stand(self.state)),
            now,
        )
        self.gathers = {"report": self.reports.gather, "watch": self.roller.gather}
        self.duties = self.squeezer.duty, self.roller.duty
        for duty in self.duties:
            duty.on_view = lambda text: self.on_view(text)
        self.policy: tuple[Policy, str] = AS_BUILT, ""  # in force here, and the stretch of a run
        # hears of another policy, or another stretch of a run, in which requests are counted
        self.on_policy: Callable[[Policy, str], None] = lambda policy, label: None
        self.cell.on_view = lambda text: self.on_view(text)
        self.viewed = ("", 0)  # its zone's keeper and the number of gateways, as told last
        self.on_instances: Callable[[list[Any]], None] = lambda news: None
        self.agreement.load(stored)
        if self.agreement.roster is not None:
            self.roll.roster = self.agreement.roster
        self.backends = stored.backends
        if stored.gateways:
            self.roll.remember(stored.gateways, now)

    def begin(self) -> None:
        """Once whoever drives this listens: backends that the disk remembers serve from the start.

        The configuration doesn't: until a majority's word has come, here or by way of a member that has it,
        what the disk has may be old.
        """
        news = self.cell.restore(self.backends, self.now)
        if news:
            self.on_instances(news)

    def leave(self) -> None:
        """This gateway was told to stop: duties go to others, and its seat to a newcomer if there is one."""
        self.founding.stopping = True
        self.me = msgspec.structs.replace(self.me, leaving=True)
        for duty in self.duties:
            duty.hand_over()
        self.effects.mail.extend((name, {"kind": "leaving"}) for name in self.roll.linked)

    # links

    def hello(self) -> Hello:
        epoch = self.agreement.roster.epoch if self.agreement.roster is not None else 0
        version, orders = stand(self.state)
        return msgspec.structs.replace(self.me, epoch=epoch, version=version, orders=orders)

    def linked(self, hello: Hello, now: float) -> None:
        """A peer has presented itself. Each tells the other what it may lack."""
        self.now = max(self.now, now)
        self.roll.link(hello, self.now)
        self.newest[hello.name] = hello.version, hello.orders
        mail = self.effects.mail
        roster = self.agreement.roster
        if roster is not None and roster.epoch > hello.epoch:
            mail.append((hello.name, self.agreement.told_roster(hello.name)))
        if stand(self.state) > self.newest[hello.name]:
            mail.append((hello.name, self.version_told()))
        self.agreement.met(hello.name)
        self.cell.linked(hello.name)
        self.loads.linked(hello.name)
        self.on_view(f"link peer={hello.name} up zone={hello.zone} core={hello.core}")
        if self.roll.told >= 0:
            mail.append((hello.name, {"kind": "present", "count": self.roll.told}))
        self.demand.linked(hello)
        self.catch_up()

    def unlinked(self, name: str, now: float) -> None:
        self.now = max(self.now, now)
        self.roll.unlink(name, self.now)
        self.newest.pop(name, None)
        self.cell.unlinked(name)
        self.loads.unlinked(name)
        self.on_view(f"link peer={name} down")

    def heard(self, peer: str, message: Message, now: float) -> None:
        """A message of a linked peer's; KeyError, TypeError, ValueError for one that is none."""
        self.now = self.agreement.now = max(self.now, now)
        self.roll.hear(peer, self.now)
        kind = message["kind"]
        if kind in ANSWERS and message["life"] != self.me.boot:
            return  # an earlier life of this process had asked, under a number that may stand for another now
        if kind == "seated":
            self.agreement.handover.told(peer, int(message["epoch"]))
        elif kind in ("ask", "told"):
            self.agreement.heard(peer, message)
        elif kind == "roster":
            self.agreement.begin(msgspec.convert(message["roster"], Roster), message["base"])
        elif kind == "version":
            self.newest[peer] = int(message["version"]), int(message["orders"])
            self.check_applied()
            self.catch_up()
        elif kind == "leaving":
            self.roll.leaves(peer)
        elif kind == "fetch":
            self.fetched(peer)
        elif kind == "document":
            self.adopt(msgspec.convert(message["state"], State))
        elif kind in ("news", "known"):
            self.cell.heard(peer, message, self.now)
        elif kind == "present":
            self.roll.heard(peer, message)
        elif kind == "out":
            self.loads.told(peer, {str(k): int(v) for k, v in message["out"].items()})
        elif kind == "loads":
            self.loads.heard({str(k): int(v) for k, v in message["out"].items()})
        elif kind.removesuffix("ed") in self.gathers:
            self.gathers[kind.removesuffix("ed")].heard(peer, message)
        elif kind in DEMAND:
            self.demand.heard(peer, message, self.now)
        elif kind == "call":
            self.calls.called(peer, message, self.now)
        elif kind == "result":
            self.calls.result(message, self.now)

    def tick(self, now: float) -> None:
        self.now = max(self.now, now)
        self.agreement.tick(self.now)
        self.roll.tick(self.now)
        self.founding.tick(self.now)
        self.cell.tick(self.now)
        self.demand.tick(self.now)
        self.squeezer.tick(self.now)
        self.reports.gather.tick(self.now)
        self.roller.tick(self.now)
        self.catch_up()
        self.view()
        self.calls.tick(self.now)
        self.check_applied()

    # the configuration

    def view(self) -> None:
        """Tells who keeps this zone's backends and how many gateways there are, where that has changed."""
        viewed = self.roll.keeper(self.me.zone), self.roll.count
        if viewed != self.viewed:
            self.viewed = viewed
            self.on_view(f"view keeper={viewed[0] or 'none'} gateways={viewed[1]}")

    def seated(self, roster: Roster) -> None:
        self.roll.roster = roster
        self.on_view(f"members epoch={roster.epoch} names={','.join(sorted(roster.members))}")
        for name in self.roll.linked:
            self.effects.mail.append((name, self.agreement.told_roster(name)))

    def adopt(self, state: State) -> None:
        """A newer version is in force here from now on; an older one never is again."""
        if stand(state) <= stand(self.state):
            return
        document = read_document(state["document"])
        if document.is_error():
            return
        self.state, self.table = state, Table(document.ok, squeezed(state))
        self.demand.table = self.table
        self.reports.figures.follow(lapses_of(state)["orders"])
        if self.me.core:
            self.effects.saves.append(Save("state", msgspec.msgpack.encode(state), lambda good: None))
        self.on_table(self.table)
        policy = in_force(state, self.me.zone, self.me.name), label(state)
        if policy != self.policy:
            self.policy = policy
            self.on_policy(*policy)
        for name in self.roll.linked:
            self.effects.mail.append((name, self.version_told()))

    @property
    def figures(self) -> Figures | None:
        """Where requests are counted; None while there are no orders about lapsed tenants."""
        return self.reports.figures if self.reports.figures.now else None

    def version_told(self) -> Message:
        version, orders = stand(self.state)
        return {"kind": "version", "version": version, "orders": orders}

    def catch_up(self) -> None:
        """Asks a peer that has a newer version, one after the other."""
        version, members = stand(self.state), self.roll.core
        ahead = [name for name in members if self.newest.get(name, version) > version]
        if not ahead or (self.now - self.fetched_at < FETCH_AGAIN and self.fetched_from in ahead):
            return
        ahead.sort(key=lambda name: (name == self.fetched_from, self.roll.distance(name)))
        self.fetched_at, self.fetched_from = self.now, ahead[0]
        self.effects.mail.append((ahead[0], {"kind": "fetch"}))

    def fetched(self, peer: str) -> None:
        """Hands the configuration on, once a majority vouches that it is the one in force."""

        def vouched(good: bool) -> None:
            if good and self.state["version"]:
                handed = {**self.state, "taken": []}  # which orders were taken concerns members alone
                self.effects.mail.append((peer, {"kind": "document", "state": handed}))

        if self.agreement.speaks():
            vouched(True)
        else:
            self.agreement.confirm(vouched)

    def all_have(self, version: tuple[int, int]) -> bool:
        return all(self.newest.get(name, (0, 0)) >= version for name in self.roll.linked)

    def when_applied(self, version: tuple[int, int], go_on: Callable[[], None]) -> None:
        """Calls it once all linked gateways have the version, or have had their time."""
        self.waiting.append((self.now + ACKED_WITHIN, version, go_on))
        self.check_applied()

    def check_applied(self) -> None:
        for entry in list(self.waiting):
            until, version, go_on = entry
            if self.now >= until or self.all_have(version):
                self.waiting.remove(entry)
                go_on()

    # calls of operators and backends

    def call(self, what: str, body: Any, answered: Answered, now: float) -> None:
        """Settles a call, here or elsewhere; `answered` hears its verdict, once. `what`: see `calls`."""
        self.now = self.agreement.now = max(self.now, now)
        if what == "status":
            return answered(done(status_of(self)))
        return self.calls.call(what, body, answered, self.now)

    # news

    def news(self, news: list[Any]) -> None:
        self.on_instances(news)
