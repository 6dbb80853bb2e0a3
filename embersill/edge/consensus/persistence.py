"""How a member of an epoch keeps its register on disk, and holds answers back until it is there. No I/O.

The epoch goes to disk in the same transaction as the first promises made in it, so that a member never comes
back in an older epoch, or in this one without its promises. A register that has yet to learn what it forgot
is not written: read back, it would pass for one that remembers all.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from embersill.council.register import Register
from embersill.edge.configuration.document import State
from embersill.edge.records import Begun, Effects, Remembered, Roster, Save

BEGUN = "begun"  # names of the values on disk
REMEMBERED = "remembered"


class Persistence:
    """The saves of one register in one epoch. A later epoch, or a later life, has another."""

    def __init__(
        self,
        register: Register,
        roster: Roster,
        base: State,
        effects: Effects,
        loaded: bool,
        epoch_saved: Callable[[], None],
    ) -> None:
        """`base`: the state that the epoch begins with. `loaded`: the disk has the epoch already; else
        `epoch_saved` is called once it has."""
        self.register, self.roster, self.base, self.effects = register, roster, base, effects
        self.epoch_on_disk, self.epoch_saved = loaded, epoch_saved
        self.waiting: list[Callable[[], None]] = []  # answers that rest on what is not on disk yet
        self.saving = False
        self.replaced = False  # another epoch has begun: what is still being written means nothing any more

    def save(self) -> None:
        """All that the register holds, in one record: whatever was not saved before is in the next."""
        if self.saving or self.replaced:
            return
        register, values = self.register, dict[str, bytes]()
        register.records.clear()
        if not self.epoch_on_disk:
            values[BEGUN] = msgspec.json.encode(Begun(self.roster, self.base))
        if register.remembers:
            values[REMEMBERED] = msgspec.msgpack.encode(Remembered(self.roster.epoch, register.whole()))
        if not values:
            return
        self.saving = True
        mark, remembered, waiting, self.waiting = register.mark, register.remembers, self.waiting, []

        def then(good: bool) -> None:
            self.saving = False
            if self.replaced:
                return
            if good:
                self.written(mark if remembered else None)
                for go_on in waiting:
                    go_on()
            # where it is not, nobody hears an answer that rests on it: they ask again
            if register.remembers and register.safe < register.mark and (good or self.waiting):
                self.save()

        name, data = values.popitem()
        self.effects.saves.append(Save(name, data, then, values))

    def written(self, mark: int | None) -> None:
        """The register's first `mark` records are on disk, and the epoch with them; None: the epoch alone."""
        if mark is not None:
            self.register.saved(mark)
        if not self.epoch_on_disk:
            self.epoch_on_disk = True
            self.epoch_saved()

    def after_save(self, go_on: Callable[[], None]) -> None:
        """Calls it once all that the register has is on disk."""
        register = self.register
        if not register.remembers:
            return go_on()  # nothing that it says rests on a memory
        if not register.records and register.safe >= register.mark:
            return go_on()
        self.waiting.append(go_on)
        return self.save()

    def tick(self) -> None:
        """Writes what has come since the last save, and again what the disk refused."""
        if self.register.records or not self.epoch_on_disk:
            self.save()
