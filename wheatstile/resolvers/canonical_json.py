"""Canonical JSON (RFC 8785) and the digest that seals a document. Pure: no input or output."""

import re
from collections.abc import Mapping
from typing import TypeAlias

import msgspec
import rfc8785
import xxhash

JsonValue: TypeAlias = "bool | int | float | str | list[JsonValue] | dict[str, JsonValue] | None"

DIGEST_PREFIX = "xxh3-128:"
SEAL_KEY = "seal"
# Floats between these are written without an exponent by both encoders.
MIN_PLAIN_FLOAT = 0.001
MAX_PLAIN_FLOAT = 1e6
MAX_EXACT_INTEGER = (1 << 53) - 1  # larger integers are not exact in a double, so the RFC rejects them

_is_plain_text = re.compile(r"[ !#-\[\]-~]*").fullmatch  # texts that every encoder writes alike


def canonical_json(value: JsonValue) -> bytes:
    """Encode a JSON value in its canonical form.

    The objects in a list, which make up nearly all of a long endpoint file, go through a faster encoder if it
    writes the same for them; everything else goes through the RFC's own library.

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
    """Compute the digest that a seal states: XXH3-128 of the document in canonical JSON without its seal.

    It tells a complete document from a damaged one. It is no signature: whoever can write the file can
    seal it.

    Raises:
        rfc8785.CanonicalizationError: the document has no canonical form.

    """
    unsealed = {key: value for key, value in document.items() if key != SEAL_KEY}
    return DIGEST_PREFIX + xxhash.xxh3_128_hexdigest(canonical_json(unsealed))


def _utf_16(key: str) -> bytes:
    """Return the sort key of an object's key: the RFC sorts by UTF-16 code units."""
    return key.encode("utf-16-be")


def _encode_plain_object(value: JsonValue) -> bytes | None:
    """Encode an object of plain texts and everyday numbers canonically; None for anything else."""
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
    """Return a plain text or everyday number as the faster encoder has to write it, else None."""
    if type(value) is str:
        return value if _is_plain_text(value) else None
    if type(value) is int:  # and no bool, which is an int too
        return value if abs(value) <= MAX_EXACT_INTEGER else None
    if type(value) is float and MIN_PLAIN_FLOAT <= value <= MAX_PLAIN_FLOAT:
        return int(value) if value.is_integer() else value  # the RFC writes 1.0 as 1
    return None
