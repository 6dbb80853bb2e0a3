"""Extracts the package as of an older commit, to be measured beside the current one."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

ROOT = Path(__file__).parent.parent


def extract_commit(commit: str, folder: Path) -> bool:
    """Extracts the commit's package into a folder; False if the repository lacks the commit."""
    command = ["git", "archive", commit, "embersill"]
    archive = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        return False
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter="data")
    return True
