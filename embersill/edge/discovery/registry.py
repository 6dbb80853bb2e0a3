"""The registry of backends: who keeps those of which zone, news of them, when a leaving one is answered.

News is numbered by its sender and pushed down the held links; each gateway acknowledges by number. Calls are
acknowledged only while a majority vouches for this member (`lease`), and a leaving backend's only once the
gateways know of it (`departures`); else the backend is sent to another gateway. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from embersill.edge.records import Effects, Message, Save
from embersill.edge.configuration.check import checked
from embersill.edge.discovery.departures import NO_MAJORITY, Answered, Departures, Leaving
from embersill.edge.discovery.instances import DRAINING, GONE, Beat, Instance, Instances, instance
from embersill.edge.peers.peer_set import Hello, PeerSet
from embersill.edge.verdict import done, refused

MISSED = 3.4  # beats that did not come, after which a backend is taken to be lost
SAVE_EVERY = 0.3  # seconds between saves of the list, where it has changed
CONFIRMED_WITHIN = 2.2  # beats in which a backend that only the disk remembers has to be heard of
ADOPT_AFTER = 12.0  # seconds without its keeper after which a backend's next keeper watches over it


class Registry:
    """The registry of backends at one gateway: heartbeats where it is a member, news everywhere."""

    def __init__(self, me: Hello, peers: PeerSet, effects: Effects, beat_every: float) -> None:
        self.me, self.peers, self.effects, self.beat_every = me, peers, effects, beat_every
        self.instances = Instances(me.name)
        self.number = 0  # of the news told by this gateway
        self.departures = Departures()
        self.speaks: Callable[[], bool] = lambda: True  # whether a majority vouches for this member
        self.on_view: Callable[[str], None] = lambda text: None  # hears of what was first known here
        self.on_news: Callable[[list[Instance]], None] = lambda news: None
        self.now = 0.0
        self.save_at, self.changed, self.saving, self.counted = 0.0, False, False, 0
        self.restored: dict[str, float] = {}  # by id: known from the disk only, and until when

    def restore(self, saved: bytes, now: float) -> list[Instance]:
        """What the disk remembers serves at once, and only for as long as it takes a backend to call."""
        told: list[Instance] = []
        try:
            if saved:
                told = msgspec.msgpack.decode(saved, type=list[Instance])
        except msgspec.MsgspecError:
            return []  # it will be told anew
        news = self.instances.merge([one for one in told if one.open], now)
        self.restored = {one.id: now + CONFIRMED_WITHIN * self.beat_every for one in news}
        return news

    def save(self, now: float) -> None:
        """Writes the list, so that after a loss of power backends need not be waited for."""
        self.save_at, self.changed, self.saving = now + SAVE_EVERY, False, True
        self.counted = self.peers.count
        known = [one for one in self.instances.known.values() if one.open]

        def then(good: bool) -> None:
            self.saving = False

        self.effects.saves.append(Save("backends", msgspec.msgpack.encode(known), then))
        self.effects.saves.append(Save("gateways", b"%d" % self.peers.count, then))

    @property
    def in_core(self) -> bool:
        """True where this gateway is a member of the core."""
        return self.me.name in self.peers.core

    def linked(self, peer: str) -> None:
        """All that is known goes to a peer that was not linked: each may lack what the other has."""
        known = list(self.instances.known.values())
        if known and (self.in_core or self.peers.linked[peer].core):
            self.effects.mail.append((peer, self.message(known)))

    def unlinked(self, peer: str) -> None:
        """A gateway is not linked any more."""
        self.departures.unlinked(peer, self.now)

    def message(self, news: list[Instance]) -> Message:
        """News as a message, under the next number."""
        self.number += 1
        return {"kind": "news", "n": self.number, "life": self.me.boot, "backends": msgspec.to_builtins(news)}

    def heard(self, peer: str, message: Message, now: float) -> None:
        """News of another gateway's, or its acknowledgement of what was sent from here."""
        self.now = now
        if message["kind"] == "known":
            return self.departures.acked(peer, int(message["n"]), now)
        told = msgspec.convert(message["backends"], list[Instance])
        news = self.instances.merge(told, now)
        for one in told:
            self.restored.pop(one.id, None)
        self.effects.mail.append((peer, {"kind": "known", "n": message["n"], "life": message["life"]}))
        self.tell(news, but=peer, first=False)
        return None

    def tell(self, news: list[Instance], but: str = "", first: bool = True) -> int:
        """Puts news in force here and pushes it on; its number. `first`: nobody else has told it."""
        if not news:
            return 0
        for one in news if first else ():
            state = "lost" if one.lost else one.state
            self.on_view(f"backend id={one.id} service={one.service or '?'} zone={one.zone} state={state}")
        self.on_news(news)
        self.changed = True
        return self.push(news, but)

    def push(self, news: list[Instance], but: str = "") -> int:
        """Sends news to all linked gateways, where this is a member of the core; its number."""
        if self.in_core:
            message = self.message(news)
            self.effects.mail.extend((name, message) for name in self.peers.linked if name != but)
        return self.number

    def call(self, what: str, body: Any, answered: Answered, now: float) -> None:
        """A backend's own call."""
        self.now = now
        name = str(body.get("id", "")) if isinstance(body, dict) else ""
        if what == "leave":
            return self.leave(name, self.instances.leave(name, now), answered)
        read = checked(body, Beat, "instance")
        if read.is_error() or not name:
            return answered(refused(400, read.error if read.is_error() else "no id"))
        one = instance(name, read.ok, self.me.name)
        news = self.instances.hear(one, now)
        self.restored.pop(name, None)
        keeper = self.peers.keeper(one.zone)
        control = self.me.control if keeper in ("", self.me.name) else self.peers.linked[keeper].control
        if one.state in (DRAINING, GONE):
            return self.leave(name, news, answered)
        self.tell(news)
        # heard it is, whatever it is told: a member that is cut off may be the only one that it reaches
        return answered(done({"heartbeat_address": control}) if self.speaks() else refused(503, NO_MAJORITY))

    def leave(self, name: str, news: list[Instance], answered: Answered) -> None:
        """A backend's word that it leaves: gateways are told, again unless that was acknowledged."""
        known = self.instances.known.get(name)
        if known is None:
            return answered(refused(503, "no room for a further backend"))
        leaving = Leaving(name, known.state)
        if leaving in self.departures.acknowledged and self.speaks():
            return answered(done())
        if self.departures.joins(leaving, answered):
            return None
        number = self.tell(news) or self.push([known])
        return self.departures.begin(leaving, number, self.peers.linked, answered, self.now)

    def tick(self, now: float) -> None:
        """What is due by now: departures, backends that fell silent, the disk."""
        self.now = now
        self.departures.tick(now)
        if self.in_core:
            self.judge(now)
            self.changed = self.changed or self.peers.count > self.counted
            if self.changed and not self.saving and now >= self.save_at:
                self.save(now)
        self.instances.forget(now)
        late = [self.instances.known[name] for name, until in self.restored.items() if now >= until]
        if late:
            for one in late:
                del self.restored[one.id]
            self.tell(self.instances.merge([msgspec.structs.replace(one, lost=True) for one in late], now))

    def judge(self, now: float) -> None:
        """Takes backends for lost that were not heard for too long, as far as this member may.

        A keeper that others can't hear may hear its backends all the same, and be heard by gateways; and what
        it does not hear may be heard by the others. Who has no majority of the core judges none of them, and
        silence counts for it only once it has one again.
        """
        if self.peers.lacks_majority:
            self.instances.excuse(now)
            return
        self.tell(self.instances.silent(now, MISSED * self.beat_every))
        self.adopt(now)

    def adopt(self, now: float) -> None:
        """Watches over what a lost keeper kept, so that a backend that ended with it is noticed."""
        unlinked_since = self.peers.unlinked_since
        orphans = self.instances.orphans([*self.peers.linked, self.me.name])
        lost = [one for one in orphans if now - unlinked_since.get(one.keeper, now) >= ADOPT_AFTER]
        mine = [one for one in lost if not one.lost and self.peers.keeper(one.zone) == self.me.name]
        if mine:
            self.instances.adopt(mine, now)
