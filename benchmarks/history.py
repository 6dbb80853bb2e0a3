"""The code of an older commit, laid out to be measured beside today's."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

ROOT = Path(__file__).parent.parent


def lay_out(commit: str, folder: Path) -> bool:
    """Puts that commit's package into a folder; False where the history does not have it."""
    command = ["git", "archive", commit, "embersill"]
    packed = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    if packed.returncode:
        return False
    with tarfile.open(fileobj=io.BytesIO(packed.stdout)) as tar:
        tar.extractall(folder, filter="data")
    return True
