"""Reads the discriminator of a message and a bound on its size from its JSON Schema. Pure."""

from collections.abc import Callable, Mapping
from typing import TypeAlias

from wheatstile.descriptions.model import JsonValue
from wheatstile.descriptions.references import DocumentNode

MAX_BYTES_PER_CHARACTER = 6  # an escape such as \u0000
QUOTES_BYTES = 2
BRACKETS_BYTES = 2
COMMA_BYTES = 1
LITERAL_BYTES = 5  # `false`, the longest of true, false and null
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
    """Return the size of the longest compact JSON that the schema allows; None if it sets no bound."""
    return None if schema is None else _bound(schema, {})


def _bound(schema: DocumentNode, known: _Sizes) -> int | None:
    """Return the bound of a schema, computed once for all references to it.

    A schema that contains itself has no bound: it is recorded as unbounded before its members are visited.
    """
    key = (schema.uri, schema.pointer)
    if key not in known:
        known[key] = None
        known[key] = _compute_bound(schema, known)
    return known[key]


def _compute_bound(schema: DocumentNode, known: _Sizes) -> int | None:
    value = schema.value
    if not isinstance(value, dict):
        return None
    if "const" in value:
        return _text_bytes(len(str(value["const"])))
    if isinstance(choices := value.get("enum"), list):
        return max((_text_bytes(len(str(choice))) for choice in choices), default=0)
    kind = value.get("type")
    bound = BOUNDS.get(kind) if isinstance(kind, str) else None
    return bound(schema, value, known) if bound else None


def _text_bytes(characters: int) -> int:
    return MAX_BYTES_PER_CHARACTER * characters + QUOTES_BYTES


def _literal_bound(_schema: DocumentNode, _value: _SchemaObject, _known: _Sizes) -> int | None:
    return LITERAL_BYTES


def _integer_bound(_schema: DocumentNode, value: _SchemaObject, _known: _Sizes) -> int | None:
    maximum = value.get("maximum")
    minimum = value.get("minimum")
    if not isinstance(maximum, int) or not isinstance(minimum, int):
        return None
    return max(len(str(maximum)), len(str(minimum)))


def _string_bound(_schema: DocumentNode, value: _SchemaObject, _known: _Sizes) -> int | None:
    length = value.get("maxLength")
    return _text_bytes(length) if isinstance(length, int) else None


def _array_bound(schema: DocumentNode, value: _SchemaObject, known: _Sizes) -> int | None:
    max_items = value.get("maxItems")
    items = schema.get("items")
    if not isinstance(max_items, int) or not items:
        return None
    item_bytes = _bound(items, known)
    return None if item_bytes is None else BRACKETS_BYTES + max_items * (item_bytes + COMMA_BYTES)


def _object_bound(schema: DocumentNode, value: _SchemaObject, known: _Sizes) -> int | None:
    if value.get("additionalProperties") is not False or "patternProperties" in value:
        return None
    properties = schema.get("properties")
    total = BRACKETS_BYTES
    for name, member in properties.items() if properties else []:
        member_bytes = _bound(member, known)
        if member_bytes is None:
            return None
        total += MAX_BYTES_PER_CHARACTER * len(name) + KEY_PUNCTUATION_BYTES + member_bytes
    return total


BOUNDS: Mapping[str, Callable[[DocumentNode, _SchemaObject, _Sizes], int | None]] = {
    "boolean": _literal_bound,
    "null": _literal_bound,
    "integer": _integer_bound,
    "string": _string_bound,
    "array": _array_bound,
    "object": _object_bound,
}
"""The function that bounds the size of a value, by the `type` of its schema."""
