"""SIGHUP during a process's start: without a handler it ends the process, so it has to stay pending."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import pytest

from embersill.roles import run_until_signal
from tests.bed import run

ROOT = pathlib.Path(__file__).parent.parent
CONFIGURATION_ERROR = 2  # exit status of a process without a configuration
SENT = "SIGHUP at the import of"
# Python runs it ahead of the program. It sends SIGHUP to its own process at each import of the product's
# modules and of uvloop, but for the command line's own, which are imported before any of its lines can run.
SIGNAL_AT_IMPORTS = f"""
import os, signal, sys

class SignalAtImports:
    def find_spec(self, name, path=None, target=None):
        entry = name in ("embersill", "embersill.edge") or name.endswith("__main__")
        if name == "uvloop" or name.startswith("embersill") and not entry:
            print({SENT!r}, name, file=sys.stderr, flush=True)
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalAtImports())
"""


@pytest.mark.parametrize(
    ("module", "imported"),
    [("embersill", "embersill.configuration.platform"), ("embersill.edge", "embersill.edge.program")],
)
def test_sighup_at_any_import_of_the_start_does_not_end_the_process(
    tmp_path: pathlib.Path, module: str, imported: str
) -> None:
    (tmp_path / "sitecustomize.py").write_text(SIGNAL_AT_IMPORTS)
    environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    environment["PYTHONPATH"] = str(tmp_path)
    ended = subprocess.run(
        [sys.executable, "-m", module],
        cwd=ROOT,
        env=environment,
        text=True,
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == CONFIGURATION_ERROR, ended.stderr
    assert f"{SENT} uvloop\n" in ended.stderr and f"{SENT} {imported}\n" in ended.stderr


class CountingProgram:
    """Counts reloads and asks to be stopped after the first one."""

    def __init__(self) -> None:
        self.reloads = 0
        self.stopped = False

    async def start(self) -> None:
        """Starts nothing."""

    async def stop(self) -> None:
        """Notes the stop."""
        self.stopped = True

    def reload(self) -> None:
        """Counts, and ends the program."""
        self.reloads += 1
        os.kill(os.getpid(), signal.SIGTERM)


def test_sighup_that_came_before_the_handler_reloads_the_configuration_once() -> None:
    program = CountingProgram()

    async def test() -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        for _ in range(3):
            signal.raise_signal(signal.SIGHUP)  # to this thread: threads of earlier tests don't block it
        await run_until_signal(program)
        await asyncio.sleep(0)

    run(test)
    assert program.reloads == 1 and program.stopped
