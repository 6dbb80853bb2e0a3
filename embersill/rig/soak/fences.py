"""Lines of the product without which the soak has to find something: a copy of the package without them.

A fence names a place by its text, so that it fails loudly once that text has changed.
"""

from __future__ import annotations

import shutil
from pathlib import Path

import msgspec

PACKAGE = Path(__file__).parents[2]


class Cut(msgspec.Struct, frozen=True):
    """One piece of text, and what stands in its place."""

    file: str  # below the package
    text: str
    instead: str


FENCES: dict[str, tuple[Cut, ...]] = {
    # repeatable attempts are not broken off for a client that has left
    "cancel": (Cut("edge/dataplane/attempts.py", "if job.klass.repeats is not Repeats.SAFE:", "if True:"),),
    # an end of a client's stream is no leave
    "leave": (
        Cut(
            "net/clients.py",
            "        self.leave(LeftBy.CLOSE)\n        return False",
            "        self.ended = True\n        return bool(self.exchanges)",
        ),
    ),
    # a gateway that is told to end does not wait for what it has taken
    "drain": (
        Cut("edge/program.py", "max(end - self.clock() - 5 * SHORT, SHORT)", "SHORT"),
        Cut("edge/program.py", "self.driver.rescue_all()", "pass"),
    ),
    # whose answer it is isn't looked at
    "identity": (
        Cut("net/backends.py", "if self.answers_to and self.attempt is not None and", "if False and"),
        Cut("edge/dataplane/dialect.py", "if connection.answers_to != attempt.id and", "if False and"),
    ),
    # an attempt that has ended stays counted at its backend
    "count": (
        Cut(
            "attempts.py",
            "        if not attempt.begun:\n            attempt.server.flight -= 1",
            "        if not attempt.begun:\n            attempt.server.flight -= 0",
        ),
    ),
    # a held request whose client has left stays known
    "forget": (
        Cut(
            "net/driver.py",
            "            self.post(ClientLeft(number))\n            self.forget(pending)",
            "            self.post(ClientLeft(number))",
        ),
    ),
}


def cut_copy(name: str, folder: Path) -> dict[str, str]:
    """Copies the package without a fence; the variables with which processes run the copy.

    ValueError if a text of the fence is no longer there.
    """
    copy = folder / "embersill"
    shutil.copytree(PACKAGE, copy, ignore=shutil.ignore_patterns("__pycache__"))
    for cut in FENCES[name]:
        path = copy / cut.file
        text = path.read_text()
        if cut.text not in text:
            raise ValueError(f"fence {name}: {cut.file} has no {cut.text!r}")
        path.write_text(text.replace(cut.text, cut.instead, 1))
    return {"PYTHONPATH": str(folder), "PYTHONSAFEPATH": "1"}
