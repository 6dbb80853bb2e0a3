"""Stores a member's register on disk, and delays answers until the data behind them is written. No I/O.

The epoch is written in the same transaction as the first promises made in it, so that a member never restarts
in an older epoch, or in this one without its promises. A register that has yet to recover what it lost from
its peers is not written: read back, it would pass for a complete one.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from embersill.council.register import Register
from embersill.edge.configuration.document import State
from embersill.edge.records import EpochStart, Effects, RegisterSnapshot, Roster, Save

EPOCH_KEY = "begun"  # keys of the values in the store
REGISTER_KEY = "remembered"


class Persistence:
    """Saves one register in one epoch. Each later epoch and each restart has an instance of its own."""

    def __init__(
        self,
        register: Register,
        roster: Roster,
        base: State,
        effects: Effects,
        loaded: bool,
        on_epoch_saved: Callable[[], None],
    ) -> None:
        """`base`: the state with which the epoch begins. `loaded`: the epoch is on disk already; if not,
        `on_epoch_saved` is called once it is."""
        self.register, self.roster, self.base, self.effects = register, roster, base, effects
        self.epoch_on_disk, self.on_epoch_saved = loaded, on_epoch_saved
        self.waiting: list[Callable[[], None]] = []  # answers that depend on data not yet on disk
        self.saving = False
        self.replaced = False  # a later epoch has begun: the result of a pending write no longer matters

    def save(self) -> None:
        """Writes the whole register as one record; changes made during a write go into the next."""
        if self.saving or self.replaced:
            return
        register, values = self.register, dict[str, bytes]()
        register.records.clear()
        if not self.epoch_on_disk:
            values[EPOCH_KEY] = msgspec.json.encode(EpochStart(self.roster, self.base))
        if register.memory_complete:
            values[REGISTER_KEY] = msgspec.msgpack.encode(
                RegisterSnapshot(self.roster.epoch, register.snapshot())
            )
        if not values:
            return
        self.saving = True
        mark, remembered, waiting, self.waiting = register.mark, register.memory_complete, self.waiting, []

        def on_written(ok: bool) -> None:
            self.saving = False
            if self.replaced:
                return
            if ok:
                self.written(mark if remembered else None)
                for on_saved in waiting:
                    on_saved()
            # after a failed write the dependent answers are not sent: the askers retry
            if register.memory_complete and register.durable_mark < register.mark and (ok or self.waiting):
                self.save()

        name, data = values.popitem()
        self.effects.saves.append(Save(name, data, on_written, values))

    def written(self, mark: int | None) -> None:
        """Notes that the register's first `mark` records and the epoch are on disk; None: the epoch alone."""
        if mark is not None:
            self.register.mark_durable(mark)
        if not self.epoch_on_disk:
            self.epoch_on_disk = True
            self.on_epoch_saved()

    def after_save(self, on_saved: Callable[[], None]) -> None:
        """Calls `on_saved` once the whole register is on disk."""
        register = self.register
        if not register.memory_complete:
            return on_saved()  # none of its answers depends on stored data
        if not register.records and register.durable_mark >= register.mark:
            return on_saved()
        self.waiting.append(on_saved)
        return self.save()

    def tick(self) -> None:
        """Writes what has changed since the last save, and retries failed writes."""
        if self.register.records or not self.epoch_on_disk:
            self.save()
