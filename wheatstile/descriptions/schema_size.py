"""Derives the discriminator and the maximum size of a message from its JSON Schema. Performs no I/O."""

from collections.abc import Callable, Mapping
from typing import TypeAlias

from wheatstile.descriptions.model import JsonValue
from wheatstile.descriptions.references import DocumentNode

MAX_BYTES_PER_CHARACTER = 6  # length of an escape such as \u0000
QUOTES_BYTES = 2
BRACKETS_BYTES = 2
COMMA_BYTES = 1
LITERAL_BYTES = 5  # length of `false`, the longest of true, false and null
KEY_PUNCTUATION_BYTES = 4  # quotes, colon and comma

_Sizes: TypeAlias = dict[tuple[str, str], int | None]  # key: URI and JSON pointer of a schema
_SchemaObject: TypeAlias = dict[str, JsonValue]


def discriminator_of(schema: DocumentNode | None) -> str:
    """Return the name of the property that selects an alternative of the schema; empty if there is none."""
    if schema is None or not isinstance(schema.value, dict):
        return ""
    discriminator = schema.value.get("discriminator", "")
    if isinstance(discriminator, dict):
        discriminator = discriminator.get("propertyName", "")
    return discriminator if isinstance(discriminator, str) else ""


def max_json_bytes(schema: DocumentNode | None) -> int | None:
    """Return the maximum size of the compact JSON that the schema allows; None if it sets no limit."""
    return None if schema is None else _bound(schema, {})


def _bound(schema: DocumentNode, cache: _Sizes) -> int | None:
    """Return the maximum size of a schema's value; None if it is unbounded. The result is cached.

    A schema is recorded as unbounded before its members are visited, so that a recursive schema has no bound.
    """
    key = (schema.uri, schema.pointer)
    if key not in cache:
        cache[key] = None
        cache[key] = _compute_bound(schema, cache)
    return cache[key]


def _compute_bound(schema: DocumentNode, cache: _Sizes) -> int | None:
    value = schema.value
    if not isinstance(value, dict):
        return None
    if "const" in value:
        return _string_bytes(len(str(value["const"])))
    if isinstance(choices := value.get("enum"), list):
        return max((_string_bytes(len(str(choice))) for choice in choices), default=0)
    type_name = value.get("type")
    bound_function = BOUND_FUNCTIONS.get(type_name) if isinstance(type_name, str) else None
    return bound_function(schema, value, cache) if bound_function else None


def _string_bytes(characters: int) -> int:
    return MAX_BYTES_PER_CHARACTER * characters + QUOTES_BYTES


def _literal_bound(_schema: DocumentNode, _value: _SchemaObject, _cache: _Sizes) -> int | None:
    return LITERAL_BYTES


def _integer_bound(_schema: DocumentNode, value: _SchemaObject, _cache: _Sizes) -> int | None:
    maximum = value.get("maximum")
    minimum = value.get("minimum")
    if not isinstance(maximum, int) or not isinstance(minimum, int):
        return None
    return max(len(str(maximum)), len(str(minimum)))


def _string_bound(_schema: DocumentNode, value: _SchemaObject, _cache: _Sizes) -> int | None:
    length = value.get("maxLength")
    return _string_bytes(length) if isinstance(length, int) else None


def _array_bound(schema: DocumentNode, value: _SchemaObject, cache: _Sizes) -> int | None:
    max_items = value.get("maxItems")
    items = schema.get("items")
    if not isinstance(max_items, int) or not items:
        return None
    item_bytes = _bound(items, cache)
    return None if item_bytes is None else BRACKETS_BYTES + max_items * (item_bytes + COMMA_BYTES)


def _object_bound(schema: DocumentNode, value: _SchemaObject, cache: _Sizes) -> int | None:
    if value.get("additionalProperties") is not False or "patternProperties" in value:
        return None
    properties = schema.get("properties")
    total = BRACKETS_BYTES
    for name, member in properties.items() if properties else []:
        member_bytes = _bound(member, cache)
        if member_bytes is None:
            return None
        total += MAX_BYTES_PER_CHARACTER * len(name) + KEY_PUNCTUATION_BYTES + member_bytes
    return total


BOUND_FUNCTIONS: Mapping[str, Callable[[DocumentNode, _SchemaObject, _Sizes], int | None]] = {
    "boolean": _literal_bound,
    "null": _literal_bound,
    "integer": _integer_bound,
    "string": _string_bound,
    "array": _array_bound,
    "object": _object_bound,
}
"""Functions that return the maximum size of a value, by the `type` of its schema."""
