"""Fences: code that enforces a rule, each with the change that disables it, to test the tests.

A test that still passes without a fence does not prove that the rule is kept. A fence is a text that occurs
exactly once in a module's source, and its replacement. It is taken out in memory, when the module is first
imported, in a process of its own: files do not change, and every importing module gets the changed one.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import importlib.util
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType


class FenceNotFound(Exception):
    """The text of a fence does not occur exactly once in its module."""


@dataclass(frozen=True)
class Fence:
    """A text in a module and its replacement.

    `name`: for the command line and reports; `guards`: what would happen without the fence.
    `more`: further replacements, where a rule is enforced in several places and removing one has no effect.
    """

    name: str
    module: str
    guards: str
    original: str
    replacement: str
    more: tuple[tuple[str, str, str], ...] = ()  # module, original, replacement

    def modules(self) -> list[str]:
        """Returns the modules that the fence changes."""
        return list(dict.fromkeys([self.module, *(module for module, _, _ in self.more)]))

    def applied(self, module: str, source: str) -> str:
        """Returns a module's source without the fence; FenceNotFound unless each text occurs exactly once."""
        for changed, original, replacement in ((self.module, self.original, self.replacement), *self.more):
            if changed != module:
                continue
            occurrences = source.count(original)
            if occurrences != 1:
                raise FenceNotFound(f"{self.name}: its text occurs {occurrences} times in {module}")
            source = source.replace(original, replacement)
        return source


def source_of(module: str) -> tuple[str, str]:
    """Returns a module's path and source without importing it."""
    spec = importlib.util.find_spec(module)
    if spec is None or spec.origin is None:
        raise FenceNotFound(f"there is no module {module}")
    return spec.origin, Path(spec.origin).read_text()


class ModifiedSourceLoader(importlib.abc.Loader):
    """Loads a module from a source that differs from its file."""

    def __init__(self, path: str, source: str) -> None:
        self.path, self.source = path, source

    def create_module(self, spec: importlib.machinery.ModuleSpec) -> ModuleType | None:
        """Uses the default module creation."""
        return None

    def exec_module(self, module: ModuleType) -> None:
        """Executes the modified source."""
        exec(compile(self.source, self.path, "exec"), module.__dict__)


class ModifiedSourceFinder(importlib.abc.MetaPathFinder):
    """Import hook that provides one module from a modified source."""

    def __init__(self, module: str, path: str, source: str) -> None:
        self.module, self.path, self.source = module, path, source

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns a spec for the modified module only."""
        if fullname != self.module:
            return None
        return importlib.util.spec_from_file_location(
            fullname, self.path, loader=ModifiedSourceLoader(self.path, self.source)
        )


def take_out(fence: Fence) -> None:
    """Makes this process import the module without the fence; must be called before the first import.

    Raises FenceNotFound if the module is already imported or does not contain the fence.
    """
    for module in fence.modules():
        _, source = source_of(module)
        replace_source(module, fence.applied(module, source))


def replace_source(module: str, source: str) -> None:
    """Makes this process import the module from the given source; FenceNotFound if already imported."""
    if module in sys.modules:
        raise FenceNotFound(f"{module} is already imported")
    path, _ = source_of(module)
    sys.meta_path.insert(0, ModifiedSourceFinder(module, path, source))
