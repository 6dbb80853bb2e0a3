"""Which backends there are: what they said of themselves, in a form that any two gateways merge alike.

A backend's life has one id, and its state only goes forward: ready, draining, gone. So what two gateways know
of it has one right merge, whichever comes first: the later state, then the later call, then that it was lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NotRequired, TypedDict

import msgspec

READY, DRAINING, GONE = "ready", "draining", "gone"
RANKS = {READY: 0, DRAINING: 1, GONE: 2}
MOST = 5000  # backends that are remembered; a further one is turned away
KEPT_FOR = 60.0  # seconds that one which is gone is remembered, so that late news of it changes nothing


class Beat(TypedDict):
    """The body of a backend's call."""

    service: str
    address: str
    zone: str
    capacity_slots: int
    state: str
    call_sequence: int
    version: NotRequired[str]
    warmup_remaining_s: NotRequired[float]


class Instance(msgspec.Struct, frozen=True, array_like=True):
    """One backend's life, as far as it was told. `keeper`: the gateway that hears its calls."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    sequence: int
    cold: float  # seconds of its warm-up that were left when it was first heard of
    keeper: str = ""
    lost: bool = False  # nothing was heard of it for long

    @property
    def order(self) -> tuple[int, int, bool]:
        """The later of two states of one life is the greater."""
        return RANKS[self.state], self.sequence, self.lost

    @property
    def open(self) -> bool:
        """True if new requests may go there."""
        return self.state == READY and not self.lost


def instance(name: str, beat: Beat, keeper: str) -> Instance:
    """A backend as a heartbeat tells of it."""
    state = beat["state"] if beat["state"] in RANKS else READY
    cold = max(beat.get("warmup_remaining_s", 0.0), 0.0)
    return Instance(
        name,
        beat["service"],
        beat["address"],
        beat["zone"],
        max(beat["capacity_slots"], 0),
        state,
        beat["call_sequence"],
        cold,
        keeper,
    )


class Instances:
    """The table, and when those that call here were last heard."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.known: dict[str, Instance] = {}
        self.gone_at: dict[str, float] = {}
        self.heard: dict[str, float] = {}  # of those that call here

    def merge(self, told: Iterable[Instance], now: float) -> list[Instance]:
        """Takes over what is newer; gives back what changes where requests may go or who keeps a backend."""
        news = []
        for one in told:
            before = self.known.get(one.id)
            if before is not None and one.order <= before.order:
                continue
            if before is None and len(self.known) >= MOST:
                continue
            if one.state == GONE and one.id not in self.gone_at:
                self.gone_at[one.id] = now
            self.known[one.id] = one
            if before is None or (one.state, one.lost, one.keeper, one.address) != (
                before.state,
                before.lost,
                before.keeper,
                before.address,
            ):
                news.append(one)
        return news

    def hear(self, one: Instance, now: float) -> list[Instance]:
        """A backend's own call, here."""
        self.heard[one.id] = now
        return self.merge([one], now)

    def leave(self, name: str, now: float) -> list[Instance]:
        """It said that it ends. One that was never heard of is remembered too: its news may be on the way."""
        before = self.known.get(name) or Instance(name, "", "", "", 0, READY, 0, 0.0)
        self.heard.pop(name, None)
        return self.merge([msgspec.structs.replace(before, state=GONE, sequence=before.sequence + 1)], now)

    def excuse(self, now: float) -> None:
        """Silence up to now counts for nothing."""
        self.heard = dict.fromkeys(self.heard, now)

    def silent(self, now: float, after: float) -> list[Instance]:
        """Those that called here and do so no more: taken to be lost until they are heard again."""
        news: list[Instance] = []
        for name, at in list(self.heard.items()):
            one = self.known.get(name)
            if one is None or one.keeper != self.me or one.state == GONE:
                del self.heard[name]
            elif now - at > after:
                del self.heard[name]
                news += self.merge([msgspec.structs.replace(one, lost=True)], now)
        return news

    def orphans(self, keepers: Iterable[str]) -> list[Instance]:
        """Those whose keeper is none of these."""
        there = set(keepers)
        return [one for one in self.known.values() if one.state != GONE and one.keeper not in there]

    def adopt(self, orphans: Iterable[Instance], now: float) -> None:
        """Watches over backends whose keeper is gone: they have to be heard of from now on."""
        for one in orphans:
            self.known[one.id] = msgspec.structs.replace(one, keeper=self.me)
            self.heard[one.id] = now

    def forget(self, now: float) -> None:
        """Drops lives that ended long ago."""
        for name, at in list(self.gone_at.items()):
            if now - at > KEPT_FOR:
                del self.gone_at[name]
                self.known.pop(name, None)
