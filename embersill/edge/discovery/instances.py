"""The table of backends, as they describe themselves; any two gateways merge it in the same way.

A backend process has one id, and its state only moves forward: ready, draining, gone. So the knowledge of two
gateways merges to the same result in any order: the later state wins, then the later call, then a loss.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NotRequired, TypedDict

import msgspec

READY, DRAINING, GONE = "ready", "draining", "gone"
RANKS = {READY: 0, DRAINING: 1, GONE: 2}
MAX_BACKENDS = 5000  # further ones are rejected
GONE_RETENTION_S = 60.0  # how long a backend that is gone is remembered, so that late news cannot revive it


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
    """What is known of one backend process. `keeper`: the gateway that receives its heartbeats."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    sequence: int
    cold: float  # seconds of warm-up that were left at its first call
    keeper: str = ""
    lost: bool = False  # its heartbeats have stopped

    @property
    def order(self) -> tuple[int, int, bool]:
        """Sorts the states of one backend process: the later one is greater."""
        return RANKS[self.state], self.sequence, self.lost

    @property
    def open(self) -> bool:
        """True if new requests may be sent to it."""
        return self.state == READY and not self.lost


def instance(name: str, beat: Beat, keeper: str) -> Instance:
    """The instance that a heartbeat describes."""
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
    """The table of backends, and the last call of each backend that calls this gateway."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.known: dict[str, Instance] = {}
        self.gone_at: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}  # by id, of the backends that call here

    def merge(self, updates: Iterable[Instance], now: float) -> list[Instance]:
        """Merges newer entries; returns those that change where requests may go or who keeps a backend."""
        news = []
        for update in updates:
            before = self.known.get(update.id)
            if before is not None and update.order <= before.order:
                continue
            if before is None and len(self.known) >= MAX_BACKENDS:
                continue
            if update.state == GONE and update.id not in self.gone_at:
                self.gone_at[update.id] = now
            self.known[update.id] = update
            if before is None or (update.state, update.lost, update.keeper, update.address) != (
                before.state,
                before.lost,
                before.keeper,
                before.address,
            ):
                news.append(update)
        return news

    def record_call(self, caller: Instance, now: float) -> list[Instance]:
        """Merges a backend's own call to this gateway, and notes its time."""
        self.heard_at[caller.id] = now
        return self.merge([caller], now)

    def leave(self, name: str, now: float) -> list[Instance]:
        """Marks a backend as gone. An unknown one is stored too: news of it may still arrive."""
        before = self.known.get(name) or Instance(name, "", "", "", 0, READY, 0, 0.0)
        self.heard_at.pop(name, None)
        return self.merge([msgspec.structs.replace(before, state=GONE, sequence=before.sequence + 1)], now)

    def reset_silence(self, now: float) -> None:
        """Disregards silence up to now."""
        self.heard_at = dict.fromkeys(self.heard_at, now)

    def silent(self, now: float, after: float) -> list[Instance]:
        """Marks backends whose calls to this gateway stopped as lost, until they call again."""
        news: list[Instance] = []
        for name, at in list(self.heard_at.items()):
            caller = self.known.get(name)
            if caller is None or caller.keeper != self.me or caller.state == GONE:
                del self.heard_at[name]
            elif now - at > after:
                del self.heard_at[name]
                news += self.merge([msgspec.structs.replace(caller, lost=True)], now)
        return news

    def orphans(self, keepers: Iterable[str]) -> list[Instance]:
        """The backends that are not gone and whose keeper is none of these."""
        present = set(keepers)
        return [b for b in self.known.values() if b.state != GONE and b.keeper not in present]

    def adopt(self, orphans: Iterable[Instance], now: float) -> None:
        """Becomes the keeper of these backends: their heartbeats are expected here from now on."""
        for orphan in orphans:
            self.known[orphan.id] = msgspec.structs.replace(orphan, keeper=self.me)
            self.heard_at[orphan.id] = now

    def forget(self, now: float) -> None:
        """Drops backends that have been gone for long."""
        for name, at in list(self.gone_at.items()):
            if now - at > GONE_RETENTION_S:
                del self.gone_at[name]
                self.known.pop(name, None)
