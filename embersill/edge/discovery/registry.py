"""The registry of backends: their calls, news of them between gateways, and which member keeps them. No I/O.

News is numbered by its sender and pushed over the links; each gateway acknowledges by number. Calls are
acknowledged only while a majority vouches for this member (`lease`), and a leaving backend's only once the
gateways know of it (`departures`); otherwise the backend is told to ask another gateway.
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

MISSED_HEARTBEATS = 3.4  # heartbeat intervals without a call after which a backend counts as lost
SAVE_INTERVAL_S = 0.3  # between saves of a changed list
CONFIRM_HEARTBEATS = (
    2.2  # heartbeat intervals in which a backend restored from disk has to call or be reported
)
ADOPT_AFTER_S = 12.0  # how long a keeper is lost before the next one takes over its backends


class Registry:
    """The registry of backends at one gateway. Members of the core also receive heartbeats."""

    def __init__(self, me: Hello, peers: PeerSet, effects: Effects, beat_every: float) -> None:
        self.me, self.peers, self.effects, self.beat_every = me, peers, effects, beat_every
        self.instances = Instances(me.name)
        self.number = 0  # of the last news message of this gateway
        self.departures = Departures()
        self.speaks: Callable[[], bool] = lambda: True  # whether a majority vouches for it
        self.on_view: Callable[[str], None] = lambda text: None  # log lines on news first known here
        self.on_news: Callable[[list[Instance]], None] = lambda news: None
        self.now = 0.0
        self.save_at, self.changed, self.saving = 0.0, False, False
        self.restored: dict[str, float] = {}  # by id: only known from disk, valid until

    def restore(self, saved: bytes, now: float) -> list[Instance]:
        """Restores the saved backends, to be used at once but only until they should have called."""
        told: list[Instance] = []
        try:
            if saved:
                told = msgspec.msgpack.decode(saved, type=list[Instance])
        except msgspec.MsgspecError:
            return []  # unreadable: the backends' calls fill it again
        news = self.instances.merge([one for one in told if one.open], now)
        self.restored = {one.id: now + CONFIRM_HEARTBEATS * self.beat_every for one in news}
        return news

    def save(self, now: float) -> None:
        """Saves the list, so that a restart after a power loss need not wait for the backends' calls."""
        self.save_at, self.changed, self.saving = now + SAVE_INTERVAL_S, False, True
        known = [one for one in self.instances.known.values() if one.open]

        def then(good: bool) -> None:
            self.saving = False

        self.effects.saves.append(Save("backends", msgspec.msgpack.encode(known), then))

    @property
    def in_core(self) -> bool:
        """True if this gateway is a member of the core."""
        return self.me.name in self.peers.core

    def linked(self, peer: str) -> None:
        """Sends all known backends to a newly linked peer, since each side may lack some."""
        known = list(self.instances.known.values())
        if known and (self.in_core or self.peers.linked[peer].core):
            self.effects.mail.append((peer, self.message(known)))

    def unlinked(self, peer: str) -> None:
        """Handles the loss of a link."""
        self.departures.unlinked(peer, self.now)

    def message(self, news: list[Instance]) -> Message:
        """A message with this news, under the next number."""
        self.number += 1
        return {"kind": "news", "n": self.number, "life": self.me.boot, "backends": msgspec.to_builtins(news)}

    def heard(self, peer: str, message: Message, now: float) -> None:
        """Handles another gateway's news, or its acknowledgement of news from here."""
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
        """Applies news here and sends it on; returns its number. `first`: it did not come from a gateway."""
        if not news:
            return 0
        for one in news if first else ():
            state = "lost" if one.lost else one.state
            self.on_view(f"backend id={one.id} service={one.service or '?'} zone={one.zone} state={state}")
        self.on_news(news)
        self.changed = True
        return self.push(news, but)

    def push(self, news: list[Instance], but: str = "") -> int:
        """Sends news to all linked gateways if this is a core member; returns its number."""
        if self.in_core:
            message = self.message(news)
            self.effects.mail.extend((name, message) for name in self.peers.linked if name != but)
        return self.number

    def call(self, what: str, body: Any, answered: Answered, now: float) -> None:
        """Handles a backend's call."""
        self.now = now
        name = str(body.get("id", "")) if isinstance(body, dict) else ""
        if what == "leave":
            return self.leave(name, self.instances.leave(name, now), answered)
        read = checked(body, Beat, "instance")
        if read.is_error() or not name:
            return answered(refused(400, read.error if read.is_error() else "no id"))
        one = instance(name, read.ok, self.me.name)
        news = self.instances.record_call(one, now)
        self.restored.pop(name, None)
        keeper = self.peers.keeper(one.zone)
        control = self.me.control if keeper in ("", self.me.name) else self.peers.linked[keeper].control
        if one.state in (DRAINING, GONE):
            return self.leave(name, news, answered)
        self.tell(news)
        # the call counts even if it is refused: a member that is cut off may be the only one the backend
        # reaches
        return answered(done({"heartbeat_address": control}) if self.speaks() else refused(503, NO_MAJORITY))

    def leave(self, name: str, news: list[Instance], answered: Answered) -> None:
        """Handles a backend's leave; the news is sent again unless it was acknowledged already."""
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
        """Handles departures, silent backends, and saves that are due."""
        self.now = now
        self.departures.tick(now)
        if self.in_core:
            self.judge(now)
            if self.changed and not self.saving and now >= self.save_at:
                self.save(now)
        self.instances.forget(now)
        late = [self.instances.known[name] for name, until in self.restored.items() if now >= until]
        if late:
            for one in late:
                del self.restored[one.id]
            self.tell(self.instances.merge([msgspec.structs.replace(one, lost=True) for one in late], now))

    def judge(self, now: float) -> None:
        """Marks backends as lost that have been silent for too long, if this member may judge that.

        A keeper that is cut off from other members may still receive its backends' calls and reach
        gateways, and the others may receive calls that it does not. So a member without a majority of the
        core judges no backend, and silence counts for it only from when it has a majority again.
        """
        if self.peers.lacks_majority:
            self.instances.reset_silence(now)
            return
        self.tell(self.instances.silent(now, MISSED_HEARTBEATS * self.beat_every))
        self.adopt(now)

    def adopt(self, now: float) -> None:
        """Takes over the backends of a lost keeper, so that a backend that ended with it is noticed."""
        unlinked_since = self.peers.unlinked_since
        orphans = self.instances.orphans([*self.peers.linked, self.me.name])
        lost = [one for one in orphans if now - unlinked_since.get(one.keeper, now) >= ADOPT_AFTER_S]
        mine = [one for one in lost if not one.lost and self.peers.keeper(one.zone) == self.me.name]
        if mine:
            self.instances.adopt(mine, now)
