"""Validates parsed data against TypedDict schemas; errors name the path of the wrong value."""

from __future__ import annotations

import math
import types
import typing
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, is_typeddict

from expression import Error, Ok, Result

T = TypeVar("T")
MAX_DEPTH = 16  # of nested values; more than any schema here needs


class SchemaError(Exception):
    """The path of a value that does not match its schema, and the reason."""


@cache
def fields(shape: Any) -> tuple[dict[str, Any], frozenset[str]]:
    """The fields of a TypedDict, and which of them are required."""
    # a TypedDict's own sets of required keys are wrong for annotations that are strings
    hints = typing.get_type_hints(shape, include_extras=True)
    optional = {name for name, hint in hints.items() if get_origin(hint) is typing.NotRequired}
    return typing.get_type_hints(shape), frozenset(hints.keys() - optional)


def validate(value: Any, shape: Any, where: str, depth: int = 0) -> Any:
    """The value without unknown fields; raises SchemaError for the first one that does not match."""
    if depth > MAX_DEPTH:
        raise SchemaError(f"{where}: nested too deep")
    origin = get_origin(shape)
    if shape is Any:
        return value
    if is_typeddict(shape):
        if not isinstance(value, dict):
            raise SchemaError(f"{where}: not an object")
        hints, required = fields(shape)
        missing = required - value.keys()
        if missing:
            raise SchemaError(f"{where}: no {min(missing)}")
        return {
            name: validate(value[name], hint, f"{where}.{name}", depth + 1)
            for name, hint in hints.items()
            if name in value
        }
    if origin is list:
        if not isinstance(value, list):
            raise SchemaError(f"{where}: not a list")
        item = get_args(shape)[0]
        return [validate(v, item, f"{where}[{n}]", depth + 1) for n, v in enumerate(value)]
    if origin is dict:
        if not isinstance(value, dict):
            raise SchemaError(f"{where}: not an object")
        item = get_args(shape)[1]
        return {str(k): validate(v, item, f"{where}.{k}", depth + 1) for k, v in value.items()}
    if origin is typing.Literal:
        if value not in get_args(shape) or isinstance(value, bool):
            raise SchemaError(f"{where}: {value!r} is none of {', '.join(map(str, get_args(shape)))}")
        return value
    if origin in (Union, types.UnionType):
        for option in get_args(shape):
            try:
                return validate(value, option, where, depth + 1)
            except SchemaError as error:
                last = error
        raise last
    return scalar(value, shape, where)


def scalar(value: Any, shape: Any, where: str) -> Any:
    """A number, string, boolean or null of the given type; raises SchemaError otherwise."""
    if shape is float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise SchemaError(f"{where}: not a number")
        return float(value)
    if shape is int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise SchemaError(f"{where}: not a whole number")
        return value
    if shape is type(None):
        if value is not None:
            raise SchemaError(f"{where}: not null")
        return None
    if not isinstance(value, shape):
        raise SchemaError(f"{where}: not {'a text' if shape is str else shape.__name__}")
    return value


def checked(value: Any, shape: type[T], where: str) -> Result[T, str]:
    """Ok with the validated value, or Error with a one-line message that names the path."""
    try:
        return Ok(validate(value, shape, where))
    except SchemaError as error:
        return Error(str(error))
