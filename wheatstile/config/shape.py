"""A JSON value held against msgspec types: every violation at once, where msgspec itself raises the first."""

import types
from collections.abc import Iterator
from typing import Annotated, Any, Literal, Union, get_args, get_origin

import msgspec

from wheatstile.config.violations import Violation, nearest, pointer

Path = tuple[str | int, ...]  # keys and indices from the document's root


def find_violations(value: object, expected: Any, path: Path = ()) -> Iterator[Violation]:
    """Yield a violation for each way in which the value is not of the expected type.

    Structs, lists and dicts are gone into; a key that a struct does not have is a violation.
    """
    expected = _without_none(expected) if value is not None else expected
    inner = get_args(expected)[0] if get_origin(expected) is Annotated else expected
    if isinstance(inner, type) and issubclass(inner, msgspec.Struct) and isinstance(value, dict):
        yield from _struct_violations(value, inner, path)
    elif inner is Any:
        return
    elif get_origin(inner) is list and get_args(inner)[0] is not Any and isinstance(value, list):
        for index, element in enumerate(value):
            yield from find_violations(element, get_args(inner)[0], (*path, index))
    elif get_origin(inner) is dict and isinstance(value, dict):
        for key, element in value.items():
            yield from find_violations(element, get_args(inner)[1], (*path, key))
    elif get_origin(inner) is Literal and isinstance(value, str) and value not in get_args(inner):
        yield Violation(pointer(*path), f'"{value}" is not known{nearest(value, get_args(inner))}')
    else:
        yield from _value_violations(value, expected, path)


def _without_none(expected: Any) -> Any:
    """T of `T | None`, any other type as it is."""
    if get_origin(expected) not in (types.UnionType, Union):
        return expected
    alternatives = [kind for kind in get_args(expected) if kind is not type(None)]
    return alternatives[0] if len(alternatives) == 1 else expected


def _value_violations(value: object, expected: Any, path: Path) -> Iterator[Violation]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        yield Violation(pointer(*path), str(error).partition(" - at ")[0])


def _struct_violations(
    value: dict[str, object], expected: type[msgspec.Struct], path: Path
) -> Iterator[Violation]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(expected)}
    for key, element in value.items():
        if key in fields:
            yield from find_violations(element, fields[key].type, (*path, key))
        else:
            yield Violation(pointer(*path, key), f"unknown key{nearest(key, fields)}")
    for name, field in fields.items():
        if field.required and name not in value:
            yield Violation(pointer(*path, name), "is missing")
