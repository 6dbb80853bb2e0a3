"""Safeguards without which the soak must find a breach, and a copy of the package without one of them.

A `Fence` of `embersill/world/fences.py` names the lines to replace; the processes run a changed copy on disk.
"""

from __future__ import annotations

import shutil
from pathlib import Path

from embersill.world.fences import Fence, source_of

PACKAGE = Path(__file__).parents[2]

FENCES = {
    fence.name: fence
    for fence in (
        Fence(
            "cancel",
            "embersill.edge.dataplane.attempts",
            "repeatable attempts continue after the client has disconnected",
            "if job.klass.repeats is Repeats.SAFE:",
            "if False:",
        ),
        Fence(
            "leave",
            "embersill.net.clients",
            "the end of a client's stream does not count as a disconnect",
            "        self.leave(LeftBy.CLOSE)\n        return False",
            "        self.ended = True\n        return bool(self.exchanges)",
        ),
        Fence(
            "drain",
            "embersill.edge.program",
            "a gateway does not finish accepted requests after SIGTERM",
            "max(end - self.clock() - 5 * SHORT_PAUSE_S, SHORT_PAUSE_S)",
            "SHORT_PAUSE_S",
            (("embersill.edge.program", "self.driver.fail_unanswered()", "pass"),),
        ),
        Fence(
            "identity",
            "embersill.net.backends",
            "the attempt id of an answer is not checked",
            "if self.answers_to and self.attempt is not None and",
            "if False and",
            (
                (
                    "embersill.edge.dataplane.dialect",
                    "if connection.answers_to != attempt.id and",
                    "if False and",
                ),
            ),
        ),
        Fence(
            "count",
            "embersill.attempts",
            "an ended attempt stays counted at its backend",
            "        if not attempt.begun:\n            attempt.server.flight -= 1",
            "        if not attempt.begun:\n            attempt.server.flight -= 0",
        ),
        Fence(
            "forget",
            "embersill.net.driver",
            "a held request is not forgotten after its client has disconnected",
            "            self.post(ClientLeft(number))\n            self.forget(pending)",
            "            self.post(ClientLeft(number))",
        ),
    )
}


def cut_copy(name: str, folder: Path) -> dict[str, str]:
    """Copies the package without a fence; returns the environment variables to run the copy with.

    Raises NoFence unless each quoted text occurs exactly once.
    """
    shutil.copytree(PACKAGE, folder / PACKAGE.name, ignore=shutil.ignore_patterns("__pycache__"))
    fence = FENCES[name]
    for module in fence.modules():
        path, source = source_of(module)
        copy = folder / Path(path).relative_to(PACKAGE.parent)
        copy.write_text(fence.applied(module, source))
    return {"PYTHONPATH": str(folder), "PYTHONSAFEPATH": "1"}
