"""Model checker: explores every interleaving of a small model up to a depth. No I/O.

It finds what random schedules may never reach. It is explicit-state model checking (as in Holzmann 1997, "The
Model Checker SPIN") on the code itself: a model's state holds the real objects, which are copied for every
possible step. States that were visited before, by their `fingerprint`, are not explored again. A fingerprint
that is equal for states which differ only in the names of equivalent processes halves the work (symmetry
reduction: Ip and Dill 1996, "Better verification through symmetry").

The search is breadth first, so the first violation found has a shortest path, which is the easiest to read.
Paths are stored instead of states, and replayed: a thousand of them need less memory than one state.
"""

from __future__ import annotations

import hashlib
import multiprocessing
import pickle
import signal
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from embersill.world.oracles import Broken

Path = tuple[str, ...]


class Model(Protocol):
    """A state and its possible next steps. It must be picklable."""

    def enabled(self) -> list[str]:
        """Returns the possible steps, in an order that depends on the state alone."""

    def step(self, name: str) -> None:
        """Executes a step; raises Broken if it violates a rule."""

    def fingerprint(self) -> bytes:
        """Returns a digest that is equal only for states with the same possible futures."""


@dataclass
class SearchResult:
    """Result of a search.

    `complete`: every state up to the depth was visited without reaching the limit of states.
    """

    states: int = 1
    steps: int = 0
    depth: int = 0
    complete: bool = True
    broken: str = ""  # description of the violation
    path: list[str] = field(default_factory=list)
    widths: list[int] = field(default_factory=list)  # new states, by depth


class Expander:
    """Expands states in each worker process; keeps the pickled initial state."""

    def __init__(self, make: Callable[[], Model]) -> None:
        self.initial = pickle.dumps(make(), protocol=pickle.HIGHEST_PROTOCOL)

    def expand(self, path: Path) -> list[tuple[str, bytes, str]]:
        """Returns each possible step after a path: name, fingerprint after it, violation or ""."""
        model: Model = pickle.loads(self.initial)
        for name in path:
            model.step(name)
        pickled = pickle.dumps(model, protocol=pickle.HIGHEST_PROTOCOL)
        expanded: list[tuple[str, bytes, str]] = []
        for name in model.enabled():
            after: Model = pickle.loads(pickled)
            try:
                after.step(name)
            except Broken as broken:
                expanded.append((name, b"", str(broken)))
                continue
            except Exception as error:  # the code under test crashes: a violation like any other
                expanded.append((name, b"", f"{type(error).__name__}: {error}"))
                continue
            expanded.append((name, after.fingerprint(), ""))
        return expanded


_expander: Expander | None = None


def _start_worker(make: Callable[[], Model]) -> None:
    """Prepares a process of the pool; it inherits handlers, and the pool ends it by SIGTERM."""
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    _init_worker(make)


def _init_worker(make: Callable[[], Model]) -> None:
    global _expander
    _expander = Expander(make)


def _expand(path: Path) -> list[tuple[str, bytes, str]]:
    assert _expander is not None
    return _expander.expand(path)


def search(make: Callable[[], Model], depth: int, max_states: int, processes: int = 1) -> SearchResult:
    """Visits all states within `depth` steps, at most `max_states`; stops at the first violation."""
    result, visited, frontier = SearchResult(), set[bytes](), list[Path]([()])
    pool = multiprocessing.Pool(processes, _start_worker, (make,)) if processes > 1 else None
    _init_worker(make)
    try:
        for level in range(1, depth + 1):
            expanded: Iterable[list[tuple[str, bytes, str]]] = (
                pool.imap(_expand, frontier, chunksize=16) if pool is not None else map(_expand, frontier)
            )
            following: list[Path] = []
            for path, steps in zip(frontier, expanded, strict=True):
                for name, fingerprint, broken in steps:
                    result.steps += 1
                    if broken:
                        result.broken, result.path, result.complete = broken, [*path, name], False
                        result.depth = level
                        return result
                    if fingerprint not in visited and result.states < max_states:
                        visited.add(fingerprint)
                        result.states += 1
                        following.append((*path, name))
                    elif fingerprint not in visited:
                        result.complete = False
            result.depth = level
            result.widths.append(len(following))
            if not following or not result.complete:
                break
            frontier = following
    finally:
        if pool is not None:
            pool.terminate()
            pool.join()
    return result


def canonical_digest(state: Any, skipped: frozenset[str], renames: Iterable[Mapping[str, str]]) -> bytes:
    """Returns the smallest digest of a state under the given renamings of strings.

    It is equal for states that differ only by one of the renamings. `skipped`: attributes that never change
    or have no influence. Floats are rounded to a microsecond.
    """
    return min(
        hashlib.blake2b(repr(canonical_form(state, skipped, names, {})).encode(), digest_size=16).digest()
        for names in renames
    )


def canonical_form(
    value: Any, skipped: frozenset[str], names: Mapping[str, str], visited: dict[int, int]
) -> Any:
    """Converts a value of any type to nested tuples; repeated objects are replaced by their number."""
    kind = type(value)
    if kind is str:
        return names.get(value, value)
    if kind is float:
        return round(value, 6)
    if value is None or kind is int or kind is bool or kind is bytes:
        return value
    if isinstance(value, Enum):
        return value.name
    if kind in (list, tuple) or kind.__name__ == "deque":
        return tuple([canonical_form(item, skipped, names, visited) for item in value])
    if isinstance(value, tuple):
        return tuple([canonical_form(item, skipped, names, visited) for item in value])
    if kind in (set, frozenset):
        return ("set", *sorted((canonical_form(item, skipped, names, visited) for item in value), key=repr))
    number = visited.get(id(value))
    if number is not None:
        return ("met", number)
    visited[id(value)] = len(visited)
    if isinstance(value, dict):
        # in the order of the renamed keys, so that objects are numbered in the same order as well
        keys = sorted(value, key=lambda key: repr(canonical_form(key, skipped, names, {})))
        return tuple(
            [
                (
                    canonical_form(key, skipped, names, visited),
                    canonical_form(value[key], skipped, names, visited),
                )
                for key in keys
            ]
        )
    if callable(value):
        return "call"
    fields = []
    for name in fields_of(kind, value):
        if name not in skipped:
            fields.append((name, canonical_form(getattr(value, name), skipped, names, visited)))
    return (kind.__name__, *fields)


_slots: dict[type, tuple[str, ...]] = {}


def fields_of(kind: type, value: Any) -> Iterable[str]:
    """Returns the names of an object's attributes: struct fields, slots, or instance attributes sorted."""
    known = _slots.get(kind)
    if known is None:
        slots = [name for base in kind.__mro__ for name in getattr(base, "__slots__", ())]
        struct = getattr(kind, "__struct_fields__", ())
        known = _slots[kind] = tuple(struct or [n for n in slots if n != "__weakref__"])
    if known:
        return known
    return sorted(vars(value))
