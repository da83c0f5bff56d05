"""Encodes canonical JSON (RFC 8785), and computes the digest that seals a document.

Pure: no input or output.
"""

import re
from collections.abc import Mapping
from typing import TypeAlias

import msgspec
import rfc8785
import xxhash

JsonValue: TypeAlias = "bool | int | float | str | list[JsonValue] | dict[str, JsonValue] | None"

DIGEST_PREFIX = "xxh3-128:"
SEAL_KEY = "seal"
# Both encoders write a float in this range without an exponent.
MIN_PLAIN_FLOAT = 0.001
MAX_PLAIN_FLOAT = 1e6
MAX_EXACT_INTEGER = (1 << 53) - 1  # the RFC rejects larger integers: a double cannot represent all of them

_is_plain_text = re.compile(r"[ !#-\[\]-~]*").fullmatch  # ASCII without escapes: both encoders write the same


def canonical_json(value: JsonValue) -> bytes:
    """Encode a JSON value in its canonical form.

    Objects in a list are most of a long endpoint file. They are encoded by msgspec if its output is the same;
    everything else is encoded by the slower reference library.

    Raises:
        rfc8785.CanonicalizationError: the value has no canonical form.

    """
    if isinstance(value, dict):
        members = [
            rfc8785.dumps(key) + b":" + canonical_json(value[key]) for key in sorted(value, key=_utf_16)
        ]
        return b"{" + b",".join(members) + b"}"
    if isinstance(value, list):
        elements = [_encode_plain_object(element) or canonical_json(element) for element in value]
        return b"[" + b",".join(elements) + b"]"
    return rfc8785.dumps(value)


def digest_of(document: Mapping[str, JsonValue]) -> str:
    """Return the digest that a seal states: XXH3-128 of the canonical JSON of the document without its seal.

    A wrong digest shows that a document is incomplete or damaged. The digest is not a signature: anyone who
    can write the file can compute it.

    Raises:
        rfc8785.CanonicalizationError: the document has no canonical form.

    """
    unsealed = {key: value for key, value in document.items() if key != SEAL_KEY}
    return DIGEST_PREFIX + xxhash.xxh3_128_hexdigest(canonical_json(unsealed))


def _utf_16(key: str) -> bytes:
    """Return the sort key of a member's name: the RFC sorts by UTF-16 code units."""
    return key.encode("utf-16-be")


def _encode_plain_object(value: JsonValue) -> bytes | None:
    """Return the canonical form of an object of plain scalars, encoded by msgspec; None for other values."""
    if not isinstance(value, dict):
        return None
    encodable: dict[str, str | int | float] = {}
    for key, element in value.items():
        plain = _plain_scalar(element)
        if plain is None or not _is_plain_text(key):
            return None
        encodable[key] = plain
    return msgspec.json.encode(encodable, order="sorted")


def _plain_scalar(value: JsonValue) -> str | int | float | None:
    """Return a text or number that msgspec writes canonically; None for other values."""
    if type(value) is str:
        return value if _is_plain_text(value) else None
    if type(value) is int:  # not isinstance(), which is true for a bool
        return value if abs(value) <= MAX_EXACT_INTEGER else None
    if type(value) is float and MIN_PLAIN_FLOAT <= value <= MAX_PLAIN_FLOAT:
        return int(value) if value.is_integer() else value  # the RFC writes 1.0 as 1
    return None
