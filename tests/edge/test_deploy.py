"""The gateway's deploy file lists the system packages that are needed to build its requirements."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from importlib.metadata import distribution, requires
from pathlib import Path

from packaging.requirements import Requirement

ROOT = Path(__file__).parents[2]
PREBUILT = ("py3-none-any", "py2.py3-none-any", "manylinux")  # tags of wheels that need no compiler


def pinned(name: str) -> Iterator[Requirement]:
    """The requirements of a file and of the files it includes."""
    for line in (ROOT / name).read_text().splitlines():
        if line.startswith("-r "):
            yield from pinned(line.removeprefix("-r "))
        elif line.strip():
            yield Requirement(line)


def with_dependencies(name: str, found: set[str]) -> None:
    """Adds a distribution and its dependencies on this platform."""
    if name.lower() in found:
        return
    found.add(name.lower())
    for text in requires(name) or ():
        needed = Requirement(text)
        if needed.marker is None or needed.marker.evaluate({"extra": ""}):
            with_dependencies(needed.name, found)


def test_each_requirement_of_the_gateway_comes_as_a_wheel_or_its_packages_are_listed() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert isinstance(deploy["packages"], list)
    found: set[str] = set()
    for requirement in pinned("requirements-edge.txt"):
        assert str(requirement.specifier).startswith("=="), f"{requirement} is not pinned"
        with_dependencies(requirement.name, found)
    assert {"uvloop", "lmdb", "eliot"} <= found
    for name in found:
        tags = [line for line in (distribution(name).read_text("WHEEL") or "").splitlines() if "Tag:" in line]
        if not any(mark in tag for tag in tags for mark in PREBUILT):
            assert deploy["packages"], f"{name} is built from source, and no package is listed for that"
