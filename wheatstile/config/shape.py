"""Validates a JSON value against msgspec types. Unlike msgspec itself, it reports every violation."""

import types
from collections.abc import Iterator
from typing import Annotated, Any, Literal, Union, get_args, get_origin

import msgspec

from wheatstile.config.violations import Violation, json_pointer, suggestion_or_known_names

Path = tuple[str | int, ...]
"""The keys and indices from the root of the document to a value."""


def find_violations(value: object, expected: Any, path: Path = ()) -> Iterator[Violation]:
    """Yield every violation of the expected type by the value, its elements and its members.

    A key that the struct does not define is a violation.
    """
    if value is not None:
        expected = _without_none(expected)
    unannotated = get_args(expected)[0] if get_origin(expected) is Annotated else expected
    origin = get_origin(unannotated)
    arguments = get_args(unannotated)
    if unannotated is Any:
        return
    if isinstance(value, dict) and isinstance(unannotated, type) and issubclass(unannotated, msgspec.Struct):
        yield from _struct_violations(value, unannotated, path)
    elif isinstance(value, list) and origin is list and arguments[0] is not Any:
        for index, element in enumerate(value):
            yield from find_violations(element, arguments[0], (*path, index))
    elif isinstance(value, dict) and origin is dict:
        for key, element in value.items():
            yield from find_violations(element, arguments[1], (*path, key))
    elif isinstance(value, str) and origin is Literal and value not in arguments:
        yield Violation(
            json_pointer(*path), f'unknown value "{value}"{suggestion_or_known_names(value, arguments)}'
        )
    else:
        yield from _value_violations(value, expected, path)


def _without_none(expected: Any) -> Any:
    """Return T for `T | None`, and any other type unchanged."""
    if get_origin(expected) not in (types.UnionType, Union):
        return expected
    alternatives = [member for member in get_args(expected) if member is not type(None)]
    return alternatives[0] if len(alternatives) == 1 else expected


def _value_violations(value: object, expected: Any, path: Path) -> Iterator[Violation]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        yield Violation(json_pointer(*path), str(error).partition(" - at ")[0])


def _struct_violations(
    value: dict[str, object], expected: type[msgspec.Struct], path: Path
) -> Iterator[Violation]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(expected)}
    for key, element in value.items():
        if key in fields:
            yield from find_violations(element, fields[key].type, (*path, key))
        else:
            yield Violation(json_pointer(*path, key), f"unknown key{suggestion_or_known_names(key, fields)}")
    for name, field in fields.items():
        if field.required and name not in value:
            yield Violation(json_pointer(*path, name), "is missing")
