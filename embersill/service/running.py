"""The operators' side of a running gateway: its door, its marks in the shared folder, and what follows.

Nothing of this is loaded where the platform names no second address.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from embersill.interface import BackendHold, Shared
from embersill.net.operators import OperatorServer
from embersill.service.calls import route
from embersill.service.figures import Figures
from embersill.service.succession import (
    MOST_BYTES,
    MOST_HELD,
    Mark,
    Stage,
    held_text,
    read_held,
    stage_of,
)

if TYPE_CHECKING:
    from embersill.roles import Program

LOOK_EVERY = 0.1  # seconds between looks at the folder: the rule on drains counts from a call's answer

MOST_MARKS = 16  # of other processes that are looked at: one at a time follows another

log = logging.getLogger("embersill")


class Folder:
    """Small files that both processes read; each is replaced whole."""

    def __init__(self, path: Path, name: str) -> None:
        safe = "".join(c if c.isalnum() else f"_{ord(c):x}_" for c in name)
        self.path, self.stem = path, f"embersill.{safe}"
        self.lock = -1

    def file(self, what: str) -> Path:
        return self.path / f"{self.stem}.{what}"

    def read(self, what: str) -> bytes | None:
        try:
            with open(self.file(what), "rb") as file:
                return file.read(MOST_BYTES)
        except OSError:
            return None

    def write(self, what: str, text: bytes) -> bool:
        target = self.file(what)
        fresh = target.with_name(f"{target.name}.{os.getpid()}")
        try:
            fresh.write_bytes(text)
            os.replace(fresh, target)
        except OSError as error:
            log.warning("%s can't be written: %s", target, error)
            with contextlib.suppress(OSError):
                fresh.unlink()
            return False
        return True

    def enter(self, life: str) -> None:
        """Holds a lock for as long as this process lives, however it ends: others know by it that it does."""
        target = self.file(f"{life}.lock")
        fresh = target.with_name(f"{target.name}.new")
        self.lock = os.open(fresh, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.lock, fcntl.LOCK_EX)
        os.replace(fresh, target)  # locked before anyone can find it

    def lives(self, life: str) -> bool:
        try:
            lock = os.open(self.file(f"{life}.lock"), os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(lock)
        return False

    def marks(self, mine: str) -> list[Mark]:
        """Those of the other processes that live; what the dead have left goes."""
        found: list[Mark] = []
        for path in list(self.path.glob(f"{self.stem}.*.mark"))[:MOST_MARKS]:
            life = path.name.removeprefix(f"{self.stem}.").removesuffix(".mark")
            if life == mine:
                continue
            mark = Mark.read(self.read(f"{life}.mark") or b"")
            if self.lives(life):
                found += [mark] if mark is not None and mark.life == life else []
            else:
                self.remove(life)
        return found

    def remove(self, life: str) -> None:
        for what in ("mark", "lock"):
            with contextlib.suppress(OSError):
                self.file(f"{life}.{what}").unlink()


class Operations:
    """What staff's calls do, and what one process owes another that follows it."""

    def __init__(self, program: Program, name: str, avoided: Callable[[], int]) -> None:
        self.program, self.avoided = program, avoided
        self.folder = Folder(Path(os.environ.get("TMPDIR") or "/tmp"), name)
        self.server = OperatorServer(lambda method, path: route(method, path, self))
        self.figures = program.driver.figures = Figures(c.name for c in program.settings.classes)
        self.held: set[str] = set()
        self.mine, self.stage = Mark(os.urandom(8).hex(), time.monotonic(), False), Stage.ALONE
        self.task: asyncio.Task[None] | None = None
        self.looked: bytes | None = None  # what stood in the file of those out of use

    # before anything else starts

    def begin(self) -> None:
        """What the process before has left: a ban holds from the first request on."""
        try:
            self.folder.enter(self.mine.life)
        except OSError as error:
            log.warning("no process can follow this one: %s", error)
        self.tell(False)
        self.look()

    async def start(self) -> None:
        operator = self.program.operator
        assert operator is not None
        await self.server.listen(operator)
        self.task = self.program.loop.create_task(self.watch())

    def serving(self) -> None:
        self.tell(True)

    def tell(self, serves: bool) -> None:
        self.mine = replace(self.mine, serves=serves)
        self.folder.write(f"{self.mine.life}.mark", self.mine.text())

    # what calls ask for

    def can_serve(self) -> bool:
        return self.program.serves()

    def stats(self) -> str:
        driver = self.program.driver
        return self.figures.text(driver.pool.tries, driver.unanswered, len(driver.listed), self.avoided())

    def hold(self, backend: str, out: bool) -> bool:
        if backend not in self.program.driver.listed and (out or backend not in self.held):
            return False
        if out and len(self.held) >= MOST_HELD and backend not in self.held:
            return False
        changed = self.held | {backend} if out else self.held - {backend}
        self.folder.write("held", held_text(changed))
        self.set_held(changed)
        return True

    def empty(self, on: bool) -> None:
        self.program.front.empty(on)

    # the folder

    def take_held(self, text: bytes | None) -> None:
        held = read_held(text) if text else None
        if held is not None:  # a damaged file says nothing: what is known here stays
            self.set_held(held)

    def set_held(self, held: set[str]) -> None:
        before, self.held = self.held, held
        for backend in sorted(before ^ held):
            self.program.driver.hold(BackendHold(backend, backend in held))

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY)
            try:
                self.look()
            except Exception:  # one look that goes wrong must not end the looking
                log.exception("a look at the folder went wrong")

    def look(self) -> None:
        held = self.folder.read("held")
        if held != self.looked:
            self.looked = held
            self.take_held(held)
        before, self.stage = self.stage, stage_of(self.mine, self.folder.marks(self.mine.life))
        if self.stage is before:
            return
        self.program.driver.post(Shared(self.stage is not Stage.ALONE))
        if self.stage is Stage.SUCCEEDED:
            self.program.front.hand_over()
        elif before is Stage.SUCCEEDED:
            self.program.front.take_back()

    def succeeded(self) -> bool:
        return self.stage is Stage.SUCCEEDED

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.server.close()
        self.folder.remove(self.mine.life)
