"""Checks what was read against typed dictionaries: one small walk, an error that names the place."""

from __future__ import annotations

import math
import types
import typing
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, is_typeddict

from expression import Error, Ok, Result

T = TypeVar("T")
MOST_DEPTH = 16  # of what is read: deeper than any shape here


class Misfit(Exception):
    """Where a value does not fit its shape, and why."""


@cache
def fields(shape: Any) -> tuple[dict[str, Any], frozenset[str]]:
    """A typed dictionary's fields and which of them must be there."""
    # the shape's own sets don't see through annotations that are texts
    hints = typing.get_type_hints(shape, include_extras=True)
    optional = {name for name, hint in hints.items() if get_origin(hint) is typing.NotRequired}
    return typing.get_type_hints(shape), frozenset(hints.keys() - optional)


def walk(value: Any, shape: Any, where: str, depth: int = 0) -> Any:
    """The value as its shape has it, without unknown fields; Misfit names the first place that is wrong."""
    if depth > MOST_DEPTH:
        raise Misfit(f"{where}: nested too deep")
    origin = get_origin(shape)
    if shape is Any:
        return value
    if is_typeddict(shape):
        if not isinstance(value, dict):
            raise Misfit(f"{where}: not an object")
        hints, required = fields(shape)
        missing = required - value.keys()
        if missing:
            raise Misfit(f"{where}: no {min(missing)}")
        return {
            name: walk(value[name], hint, f"{where}.{name}", depth + 1)
            for name, hint in hints.items()
            if name in value
        }
    if origin is list:
        if not isinstance(value, list):
            raise Misfit(f"{where}: not a list")
        item = get_args(shape)[0]
        return [walk(v, item, f"{where}[{n}]", depth + 1) for n, v in enumerate(value)]
    if origin is dict:
        if not isinstance(value, dict):
            raise Misfit(f"{where}: not an object")
        item = get_args(shape)[1]
        return {str(k): walk(v, item, f"{where}.{k}", depth + 1) for k, v in value.items()}
    if origin is typing.Literal:
        if value not in get_args(shape) or isinstance(value, bool):
            raise Misfit(f"{where}: {value!r} is none of {', '.join(map(str, get_args(shape)))}")
        return value
    if origin in (Union, types.UnionType):
        for one in get_args(shape):
            try:
                return walk(value, one, where, depth + 1)
            except Misfit as misfit:
                last = misfit
        raise last
    return scalar(value, shape, where)


def scalar(value: Any, shape: Any, where: str) -> Any:
    """A number, text or truth value of the shape that is asked for; Misfit names the place."""
    if shape is float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise Misfit(f"{where}: not a number")
        return float(value)
    if shape is int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise Misfit(f"{where}: not a whole number")
        return value
    if shape is type(None):
        if value is not None:
            raise Misfit(f"{where}: not null")
        return None
    if not isinstance(value, shape):
        raise Misfit(f"{where}: not {'a text' if shape is str else shape.__name__}")
    return value


def checked(value: Any, shape: type[T], where: str) -> Result[T, str]:
    """Ok with what fits the shape, or Error with one line that names the place."""
    try:
        return Ok(walk(value, shape, where))
    except Misfit as misfit:
        return Error(str(misfit))
