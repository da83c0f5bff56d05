"""A JSON value held against msgspec types: every fault at once, where msgspec itself tells the first."""

import types
from collections.abc import Iterator
from typing import Annotated, Any, Literal, Union, get_args, get_origin

import msgspec

from wheatstile.config.violations import Violation, nearest, pointer


def faults(value: Any, kind: Any, at: tuple[str | int, ...] = ()) -> Iterator[Violation]:
    """Each way in which the value is not of this type. Structs and lists are gone into, unknown keys told."""
    if get_origin(kind) in (types.UnionType, Union) and value is not None:
        kinds = [one for one in get_args(kind) if one is not type(None)]
        kind = kinds[0] if len(kinds) == 1 else kind
    inner = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    if isinstance(inner, type) and issubclass(inner, msgspec.Struct) and isinstance(value, dict):
        yield from _struct_faults(value, inner, at)
    elif inner is Any:
        return
    elif get_origin(inner) is list and get_args(inner)[0] is not Any and isinstance(value, list):
        for index, element in enumerate(value):
            yield from faults(element, get_args(inner)[0], (*at, index))
    elif get_origin(inner) is dict and isinstance(value, dict):
        for key, element in value.items():
            yield from faults(element, get_args(inner)[1], (*at, key))
    elif get_origin(inner) is Literal and isinstance(value, str) and value not in get_args(inner):
        yield Violation(pointer(*at), f'"{value}" is not known{nearest(value, get_args(inner))}')
    else:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            yield Violation(pointer(*at), str(error).partition(" - at ")[0])


def _struct_faults(
    value: dict[str, Any], kind: type[msgspec.Struct], at: tuple[str | int, ...]
) -> Iterator[Violation]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for key, element in value.items():
        if key in fields:
            yield from faults(element, fields[key].type, (*at, key))
        else:
            yield Violation(pointer(*at, key), f"unknown key{nearest(key, fields)}")
    for name, field in fields.items():
        if field.required and name not in value:
            yield Violation(pointer(*at, name), "is missing")
