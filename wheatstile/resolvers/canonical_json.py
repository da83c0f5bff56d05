"""Encodes canonical JSON (RFC 8785), and computes the digest that seals a document.

Pure: performs no I/O.
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
# Both encoders (msgspec and rfc8785) write a float in this range without an exponent.
MIN_PLAIN_FLOAT = 0.001
MAX_PLAIN_FLOAT = 1e6
MAX_EXACT_INTEGER = (1 << 53) - 1  # RFC 8785 excludes larger integers: a double cannot represent all of them

_is_plain_text = re.compile(r"[ !#-\[\]-~]*").fullmatch  # ASCII that needs no escapes in either encoder


def canonical_json(value: JsonValue) -> bytes:
    """Encode a JSON value in its canonical form.

    A long endpoint file consists mostly of objects in a list. msgspec encodes them if its output is
    canonical; the slower reference library encodes everything else.

    Raises:
        rfc8785.CanonicalizationError: the value has no canonical form.

    """
    if isinstance(value, dict):
        members = [
            rfc8785.dumps(key) + b":" + canonical_json(value[key]) for key in sorted(value, key=_utf_16_key)
        ]
        return b"{" + b",".join(members) + b"}"
    if isinstance(value, list):
        elements = [_encode_plain_object(element) or canonical_json(element) for element in value]
        return b"[" + b",".join(elements) + b"]"
    return rfc8785.dumps(value)


def digest_of(document: Mapping[str, JsonValue]) -> str:
    """Return the digest for the seal: XXH3-128 of the canonical JSON of the document without its seal.

    A seal that does not match shows that the document is incomplete or corrupt. The digest is not a
    signature: anyone who can write the file can compute it.

    Raises:
        rfc8785.CanonicalizationError: the document has no canonical form.

    """
    unsealed = {key: value for key, value in document.items() if key != SEAL_KEY}
    return DIGEST_PREFIX + xxhash.xxh3_128_hexdigest(canonical_json(unsealed))


def _utf_16_key(key: str) -> bytes:
    """Return the sort key of an object key: RFC 8785 sorts keys by UTF-16 code units."""
    return key.encode("utf-16-be")


def _encode_plain_object(value: JsonValue) -> bytes | None:
    """Encode an object that has only plain scalars, with msgspec. Return None for other values."""
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
    """Return a string or number that msgspec encodes canonically. Return None for other values."""
    if type(value) is str:
        return value if _is_plain_text(value) else None
    if type(value) is int:  # not isinstance(), because bool is a subclass of int
        return value if abs(value) <= MAX_EXACT_INTEGER else None
    if type(value) is float and MIN_PLAIN_FLOAT <= value <= MAX_PLAIN_FLOAT:
        return int(value) if value.is_integer() else value  # RFC 8785 writes 1.0 as 1
    return None
