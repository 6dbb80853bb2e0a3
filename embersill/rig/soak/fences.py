"""Lines of the product without which the soak has to find something: a copy of the package without them.

The fences are those of `embersill/world/fences.py`; processes of their own run a copy on disk.
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
            "repeatable attempts would go on for a client that has left",
            "if job.klass.repeats is Repeats.SAFE:",
            "if False:",
        ),
        Fence(
            "leave",
            "embersill.net.clients",
            "an end of a client's stream would be no leave",
            "        self.leave(LeftBy.CLOSE)\n        return False",
            "        self.ended = True\n        return bool(self.exchanges)",
        ),
        Fence(
            "drain",
            "embersill.edge.program",
            "a gateway that is told to end would not wait for what it has taken",
            "max(end - self.clock() - 5 * SHORT_PAUSE_S, SHORT_PAUSE_S)",
            "SHORT_PAUSE_S",
            (("embersill.edge.program", "self.driver.fail_unanswered()", "pass"),),
        ),
        Fence(
            "identity",
            "embersill.net.backends",
            "whose answer it is would not be looked at",
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
            "an attempt that has ended would stay counted at its backend",
            "        if not attempt.begun:\n            attempt.server.flight -= 1",
            "        if not attempt.begun:\n            attempt.server.flight -= 0",
        ),
        Fence(
            "forget",
            "embersill.net.driver",
            "a held request whose client has left would stay known",
            "            self.post(ClientLeft(number))\n            self.forget(pending)",
            "            self.post(ClientLeft(number))",
        ),
    )
}


def cut_copy(name: str, folder: Path) -> dict[str, str]:
    """Copies the package without a fence; the variables with which processes run the copy.

    FenceNotFound if a text of the fence does not occur there exactly once.
    """
    shutil.copytree(PACKAGE, folder / PACKAGE.name, ignore=shutil.ignore_patterns("__pycache__"))
    fence = FENCES[name]
    for module in fence.modules():
        path, source = source_of(module)
        copy = folder / Path(path).relative_to(PACKAGE.parent)
        copy.write_text(fence.applied(module, source))
    return {"PYTHONPATH": str(folder), "PYTHONSAFEPATH": "1"}
