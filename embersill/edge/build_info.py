"""Which program this process runs: version, hash and folder of its sources, versions of its libraries."""

from __future__ import annotations

import hashlib
import os
import platform
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from importlib.metadata import PackageNotFoundError, version
from types import ModuleType

import embersill

LIBRARIES = "eliot", "expression", "httptools", "lmdb", "msgspec", "uvloop"
SOURCE_SUFFIXES = ".py", ".json"
HASH_DIGITS = 16
UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class BuildInfo:
    """The identity of a running program."""

    version: str
    sources: str  # a hash of all source files of the package
    folder: str  # the package's, without symbolic links
    foreign_modules: int  # loaded modules of the package that come from another folder
    cached_modules: int  # loaded modules beside which there is bytecode, which may be of other sources
    python: str
    kernel: str
    libraries: dict[str, str]  # versions by name

    def fields(self) -> dict[str, str]:
        """All of it by name, as text: for a log line, a status answer or a metric's labels."""
        own = ("version", "sources", "folder", "foreign_modules", "cached_modules", "python", "kernel")
        return {name: str(getattr(self, name)) for name in own} | self.libraries


def source_files(folder: str) -> Iterator[str]:
    """The paths of all source files below a folder, in a fixed order."""
    for parent, folders, files in os.walk(folder):
        folders.sort()
        yield from (os.path.join(parent, name) for name in sorted(files) if name.endswith(SOURCE_SUFFIXES))


def hash_sources(folder: str) -> str:
    """A hash of the paths and contents of all source files below a folder; `unknown` if one can't be read."""
    digest = hashlib.sha256()
    try:
        for path in source_files(folder):
            with open(path, "rb") as file:
                content = file.read()
            digest.update(f"{path[len(folder) :]} {len(content)}\n".encode())
            digest.update(content)
    except OSError:
        return UNKNOWN
    return digest.hexdigest()[:HASH_DIGITS]


def loaded_modules(package: str) -> list[ModuleType]:
    """The modules of a package that are loaded."""
    return [m for name, m in sorted(sys.modules.items()) if name.partition(".")[0] == package]


def is_foreign(module: ModuleType, folder: str) -> bool:
    """True if a module was read from outside a folder."""
    return not os.path.realpath(str(module.__file__)).startswith(folder + os.sep)


def has_cached_bytecode(module: ModuleType) -> bool:
    """True if there is bytecode of a module beside its source."""
    return os.path.exists(str(getattr(module, "__cached__", None)))


def library_version(name: str) -> str:
    """The version of an installed library; `unknown` if its package has no description."""
    try:
        return version(name)
    except PackageNotFoundError:
        return UNKNOWN


@cache
def read_build_info() -> BuildInfo:
    """The identity of the program in this process, as it is at the first call."""
    folder = os.path.realpath(os.path.dirname(str(embersill.__file__)))
    modules = loaded_modules(embersill.__name__)
    return BuildInfo(
        version=embersill.__version__,
        sources=hash_sources(folder),
        folder=folder,
        foreign_modules=sum(is_foreign(module, folder) for module in modules),
        cached_modules=sum(map(has_cached_bytecode, modules)),
        python=platform.python_version(),
        kernel=platform.release(),
        libraries={name: library_version(name) for name in LIBRARIES},
    )
