"""Operations of a running gateway: the operators' server, and the folder shared with a successor process.

This is loaded only if the platform configures an address for operators.
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
    MAX_FILE_BYTES,
    MAX_HELD,
    Mark,
    Stage,
    held_text,
    read_held,
    stage_of,
)

if TYPE_CHECKING:
    from embersill.roles import Program

POLL_INTERVAL_S = 0.1  # between reads of the folder: the rule on drains counts from a call's response
MAX_MARKS = 16  # marks of other processes that are read: there is one successor at a time

log = logging.getLogger("embersill")


class Folder:
    """Small files that both processes read; each is replaced atomically."""

    def __init__(self, path: Path, name: str) -> None:
        safe = "".join(c if c.isalnum() else f"_{ord(c):x}_" for c in name)
        self.path, self.stem = path, f"embersill.{safe}"
        self.lock = -1

    def file(self, what: str) -> Path:
        """The path of one of the gateway's files."""
        return self.path / f"{self.stem}.{what}"

    def read(self, what: str) -> bytes | None:
        """A file's content, up to a limit; None if it can't be read."""
        try:
            with open(self.file(what), "rb") as file:
                return file.read(MAX_FILE_BYTES)
        except OSError:
            return None

    def write(self, what: str, text: bytes) -> bool:
        """Replaces a file; False if that failed."""
        target = self.file(what)
        temporary = target.with_name(f"{target.name}.{os.getpid()}")
        try:
            temporary.write_bytes(text)
            os.replace(temporary, target)
        except OSError as error:
            log.warning("%s can't be written: %s", target, error)
            with contextlib.suppress(OSError):
                temporary.unlink()
            return False
        return True

    def acquire_lock(self, life: str) -> None:
        """Takes a lock that is released when this process ends in any way: others can tell that it runs."""
        target = self.file(f"{life}.lock")
        temporary = target.with_name(f"{target.name}.new")
        self.lock = os.open(temporary, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.lock, fcntl.LOCK_EX)
        os.replace(temporary, target)  # it is locked before others can open it

    def is_running(self, life: str) -> bool:
        """True if the process with this id still holds its lock."""
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
        """The marks of the other running processes; removes the files of those that have ended."""
        found: list[Mark] = []
        for path in list(self.path.glob(f"{self.stem}.*.mark"))[:MAX_MARKS]:
            life = path.name.removeprefix(f"{self.stem}.").removesuffix(".mark")
            if life == mine:
                continue
            mark = Mark.read(self.read(f"{life}.mark") or b"")
            if self.is_running(life):
                found += [mark] if mark is not None and mark.life == life else []
            else:
                self.remove(life)
        return found

    def remove(self, life: str) -> None:
        """Deletes a process's files."""
        for what in ("mark", "lock"):
            with contextlib.suppress(OSError):
                self.file(f"{life}.{what}").unlink()


class Operations:
    """Carries out operators' calls, and hands over to a successor process."""

    def __init__(self, program: Program, name: str, avoided: Callable[[], int]) -> None:
        self.program, self.avoided = program, avoided
        self.folder = Folder(Path(os.environ.get("TMPDIR") or "/tmp"), name)
        self.server = OperatorServer(lambda method, path: route(method, path, self))
        self.figures = program.driver.figures = Figures(c.name for c in program.settings.classes)
        self.held: set[str] = set()
        self.mine, self.stage = Mark(os.urandom(8).hex(), time.monotonic(), False), Stage.ALONE
        self.task: asyncio.Task[None] | None = None
        self.last_held_text: bytes | None = None  # the last content of the file of backends out of use

    # start-up

    def begin(self) -> None:
        """Reads what the previous process has left: its holds apply from the first request on."""
        try:
            self.folder.acquire_lock(self.mine.life)
        except OSError as error:
            log.warning("no process can follow this one: %s", error)
        self.write_mark(False)
        self.poll()

    async def start(self) -> None:
        """Starts the operators' server and the polling of the folder."""
        operator = self.program.operator
        assert operator is not None
        await self.server.listen(operator)
        self.task = self.program.loop.create_task(self.watch())

    def serving(self) -> None:
        """Announces that this process serves clients."""
        self.write_mark(True)

    def write_mark(self, serves: bool) -> None:
        """Writes this process's mark."""
        self.mine = replace(self.mine, serves=serves)
        self.folder.write(f"{self.mine.life}.mark", self.mine.text())

    # operators' calls

    def can_serve(self) -> bool:
        """True if the gateway is ready for requests."""
        return self.program.serves()

    def stats(self) -> str:
        """The counters as text."""
        driver = self.program.driver
        return self.figures.text(driver.pool.tries, driver.unanswered, len(driver.listed), self.avoided())

    def hold(self, backend: str, out: bool) -> bool:
        """Takes a backend out of use, or puts it back; False if it is unknown or too many are out."""
        if backend not in self.program.driver.listed and (out or backend not in self.held):
            return False
        if out and len(self.held) >= MAX_HELD and backend not in self.held:
            return False
        changed = self.held | {backend} if out else self.held - {backend}
        self.folder.write("held", held_text(changed))
        self.set_held(changed)
        return True

    def set_draining(self, on: bool) -> None:
        """Begins to drain the gateway, or ends that."""
        self.program.front.set_draining(on)

    # the folder

    def apply_held(self, text: bytes | None) -> None:
        """Applies the file of backends out of use."""
        held = read_held(text) if text else None
        if held is not None:  # a damaged file is ignored: the present holds stay
            self.set_held(held)

    def set_held(self, held: set[str]) -> None:
        """Passes changes of the holds to the driver."""
        before, self.held = self.held, held
        for backend in sorted(before ^ held):
            self.program.driver.hold(BackendHold(backend, backend in held))

    async def watch(self) -> None:
        """Polls the folder until it is cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            try:
                self.poll()
            except Exception:  # one failure must not end the polling
                log.exception("a look at the folder failed")

    def poll(self) -> None:
        """Reads the folder, and hands over or takes back the clients if the stage has changed."""
        held = self.folder.read("held")
        if held != self.last_held_text:
            self.last_held_text = held
            self.apply_held(held)
        before, self.stage = self.stage, stage_of(self.mine, self.folder.marks(self.mine.life))
        if self.stage is before:
            return
        self.program.driver.post(Shared(self.stage is not Stage.ALONE))
        if self.stage is Stage.SUCCEEDED:
            self.program.front.hand_over()
        elif before is Stage.SUCCEEDED:
            self.program.front.listen_again()

    def succeeded(self) -> bool:
        """True if another process serves in place of this one."""
        return self.stage is Stage.SUCCEEDED

    def close(self) -> None:
        """Stops the server and the polling, and removes this process's files."""
        if self.task is not None:
            self.task.cancel()
        self.server.close()
        self.folder.remove(self.mine.life)
